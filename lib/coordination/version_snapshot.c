#include "coordination/version_snapshot.h"

#include <string.h>

#include "base/json_text.h"

#define KEY_DIGITS 16

typedef struct {
	uint64_t service;
	uint32_t since_age_ms;
	bool overflow; /* more versions than fit */
	uint32_t seen_count;
	bsh_version_seen_t seen[BSH_SOFTWARE_VERSIONS_MAX];
} service_t;

void bsh_version_snapshot_init(bsh_version_snapshot_t *snapshot)
{
	*snapshot = (bsh_version_snapshot_t){
		.services = g_array_new(FALSE, FALSE, sizeof(service_t)),
	};
}

void bsh_version_snapshot_finish(bsh_version_snapshot_t *snapshot)
{
	g_array_free(snapshot->services, TRUE);
}

/* Keys do not fit the integers of JSON, which have a sign. */
static json_t *encode_key(uint64_t key)
{
	char text[KEY_DIGITS + 1];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", key);
	return bsh_json_string(text);
}

static bool decode_key(const json_t *value, uint64_t *key)
{
	const char *text = json_string_value(value);

	if (text == NULL || strlen(text) != KEY_DIGITS ||
	    strspn(text, "0123456789abcdef") != KEY_DIGITS)
		return false;
	*key = g_ascii_strtoull(text, NULL, 16);
	return true;
}

static bool decode_age(const json_t *value, uint32_t *age_ms)
{
	json_int_t age = json_integer_value(value);

	if (!json_is_integer(value) || age < 0 || age > UINT32_MAX)
		return false;
	*age_ms = (uint32_t)age;
	return true;
}

static json_t *encode_service(const bsh_msg_versions_answer_t *answer)
{
	json_t *seen = json_array();

	for (uint32_t i = 0; i < answer->seen_count; i++)
		json_array_append_new(
			seen,
			bsh_json_pack("[o, I]",
				      encode_key(answer->seen[i].software),
				      (json_int_t)answer->seen[i].age_ms));
	return bsh_json_pack("{s:o, s:I, s:o}", "service",
			     encode_key(answer->service), "since_ms",
			     (json_int_t)answer->since_age_ms, "seen", seen);
}

json_t *bsh_version_snapshot_encode(const bsh_version_history_t *history,
				    const uint64_t *services, uint32_t n,
				    uint64_t revision, int64_t now_us)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < n; i++) {
		bsh_msg_versions_query_t query = { .service = services[i] };
		bsh_version_seen_t seen[BSH_SOFTWARE_VERSIONS_MAX];
		bsh_msg_versions_answer_t answer;

		if (bsh_version_history_is_covered(history, services[i],
						   now_us) &&
		    bsh_version_history_report(history, &query, seen, &answer,
					       now_us))
			json_array_append_new(list, encode_service(&answer));
	}
	if (json_array_size(list) == 0) {
		json_decref(list);
		return NULL;
	}
	return bsh_json_pack("{s:I, s:o}", "revision", (json_int_t)revision,
			     "services", list);
}

static bool decode_service(const json_t *value, service_t *service)
{
	const json_t *seen = json_object_get(value, "seen");
	const json_t *item;
	size_t i;

	*service = (service_t){ 0 };
	if (!decode_key(json_object_get(value, "service"), &service->service) ||
	    !decode_age(json_object_get(value, "since_ms"),
			&service->since_age_ms) ||
	    !json_is_array(seen) ||
	    json_array_size(seen) > BSH_SOFTWARE_VERSIONS_MAX)
		return false;
	json_array_foreach(seen, i, item)
	{
		bsh_version_seen_t *version =
			&service->seen[service->seen_count++];

		if (json_array_size(item) != 2 ||
		    !decode_key(json_array_get(item, 0), &version->software) ||
		    !decode_age(json_array_get(item, 1), &version->age_ms))
			return false;
	}
	return true;
}

bool bsh_version_snapshot_decode(const json_t *object,
				 bsh_version_snapshot_t *snapshot)
{
	const json_t *revision = json_object_get(object, "revision");
	const json_t *services = json_object_get(object, "services");
	const json_t *value;
	size_t i;

	g_array_set_size(snapshot->services, 0);
	if (json_integer_value(revision) <= 0 || !json_is_array(services))
		return false;
	snapshot->revision = (uint64_t)json_integer_value(revision);
	json_array_foreach(services, i, value)
	{
		service_t service;

		if (!decode_service(value, &service))
			return false;
		g_array_append_val(snapshot->services, service);
	}
	return true;
}

static void note_version(service_t *service, uint64_t software)
{
	for (uint32_t i = 0; i < service->seen_count; i++)
		if (service->seen[i].software == software) {
			service->seen[i].age_ms = 0;
			return;
		}
	if (service->seen_count == BSH_SOFTWARE_VERSIONS_MAX)
		service->overflow = true;
	else
		service->seen[service->seen_count++].software = software;
}

void bsh_version_snapshot_note(bsh_version_snapshot_t *snapshot,
			       uint64_t service, uint64_t software)
{
	for (guint i = 0; i < snapshot->services->len; i++) {
		service_t *item =
			&g_array_index(snapshot->services, service_t, i);

		if (item->service == service)
			note_version(item, software);
	}
}

uint32_t bsh_version_snapshot_merge(const bsh_version_snapshot_t *snapshot,
				    bsh_version_history_t *history,
				    int64_t asked_us, int64_t now_us)
{
	uint32_t n = 0;

	for (guint i = 0; i < snapshot->services->len; i++) {
		const service_t *service =
			&g_array_index(snapshot->services, service_t, i);
		bsh_msg_versions_answer_t answer = {
			.service = service->service,
			.asked_us = (uint64_t)asked_us,
			.since_age_ms = service->since_age_ms,
			.seen = service->seen,
			.seen_count = service->seen_count,
		};

		n += !service->overflow &&
		     bsh_version_history_merge(history, &answer, now_us);
	}
	return n;
}
