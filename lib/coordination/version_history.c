#include "coordination/version_history.h"

#define US_PER_MS INT64_C(1000)

typedef struct {
	bsh_software_history_t seen;
	/* Start of the coverage that continues the one of another instance; 0:
	 * there is none. */
	int64_t since_us;
} service_t;

void bsh_version_history_init(bsh_version_history_t *history,
			      int64_t gap_max_us)
{
	*history = (bsh_version_history_t){
		.services = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free),
		.gap_max_us = gap_max_us,
	};
}

void bsh_version_history_finish(bsh_version_history_t *history)
{
	g_hash_table_destroy(history->services);
}

static const service_t *find_service(const bsh_version_history_t *history,
				     uint64_t service)
{
	return g_hash_table_lookup(history->services, &service);
}

static service_t *add_service(bsh_version_history_t *history, uint64_t service)
{
	service_t *item = g_hash_table_lookup(history->services, &service);
	uint64_t *key;

	if (item != NULL)
		return item;
	key = g_new(uint64_t, 1);
	*key = service;
	item = g_new0(service_t, 1);
	g_hash_table_insert(history->services, key, item);
	return item;
}

static void end_coverage(bsh_version_history_t *history)
{
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, history->services);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		service_t *service = data;

		service->since_us = 0;
	}
}

int64_t bsh_version_history_confirm(bsh_version_history_t *history,
				    int64_t at_us)
{
	int64_t gap_us = 0;

	if (at_us <= history->until_us)
		return 0;
	if (history->since_us != 0 &&
	    at_us - history->until_us > history->gap_max_us) {
		gap_us = at_us - history->until_us;
		end_coverage(history);
	}
	if (history->since_us == 0 || gap_us > 0)
		history->since_us = at_us;
	history->until_us = at_us;
	return gap_us;
}

void bsh_version_history_note(bsh_version_history_t *history, uint64_t service,
			      uint64_t software, int64_t now_us)
{
	bsh_software_history_note(&add_service(history, service)->seen,
				  software, now_us);
}

/* Start of the coverage of a service; 0: there is none. */
static int64_t covered_since_us(const bsh_version_history_t *history,
				const service_t *service)
{
	return service != NULL && service->since_us != 0 ? service->since_us
							 : history->since_us;
}

bool bsh_version_history_is_covered(const bsh_version_history_t *history,
				    uint64_t service, int64_t now_us)
{
	int64_t since_us =
		covered_since_us(history, find_service(history, service));

	return since_us != 0 && now_us - since_us >= BSH_STREAM_MEMORY_US &&
	       now_us - history->until_us <= BSH_LIST_AGE_MAX_US;
}

uint64_t bsh_version_history_only(const bsh_version_history_t *history,
				  uint64_t service, int64_t now_us)
{
	const service_t *item = find_service(history, service);

	if (item == NULL ||
	    !bsh_version_history_is_covered(history, service, now_us))
		return 0;
	return bsh_software_history_only(&item->seen, now_us);
}

bool bsh_version_history_several(const bsh_version_history_t *history,
				 uint64_t service, int64_t now_us)
{
	const service_t *item = find_service(history, service);

	return item != NULL &&
	       bsh_software_history_several(&item->seen, now_us);
}

bool bsh_version_history_have_several(const bsh_version_history_t *history,
				      int64_t now_us)
{
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, history->services);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const service_t *service = data;

		if (bsh_software_history_several(&service->seen, now_us))
			return true;
	}
	return false;
}

/* The time since then, rounded down. */
static uint32_t age_ms(int64_t at_us, int64_t now_us)
{
	return (uint32_t)CLAMP((now_us - at_us) / US_PER_MS, 0, UINT32_MAX);
}

bool bsh_version_history_report(const bsh_version_history_t *history,
				const bsh_msg_versions_query_t *query,
				bsh_version_seen_t *seen,
				bsh_msg_versions_answer_t *answer,
				int64_t now_us)
{
	const service_t *service = find_service(history, query->service);

	if (history->since_us == 0)
		return false;
	*answer = (bsh_msg_versions_answer_t){
		.service = query->service,
		.asked_us = query->asked_us,
		.since_age_ms =
			age_ms(covered_since_us(history, service), now_us),
		/* Rounded up: the list was known until then at least. */
		.until_age_ms = age_ms(history->until_us, now_us) + 1,
		.seen = seen,
	};
	if (service == NULL)
		return true;
	for (uint32_t i = 0; i < service->seen.n; i++)
		seen[answer->seen_count++] = (bsh_version_seen_t){
			service->seen.seen[i].software,
			age_ms(service->seen.seen[i].seen_us, now_us)
		};
	/* More versions than fit: all that this says is that there are
	 * several. */
	if (service->seen.overflow_us != 0)
		answer->since_age_ms =
			MIN(answer->since_age_ms,
			    age_ms(service->seen.overflow_us, now_us));
	return true;
}

bool bsh_version_history_merge(bsh_version_history_t *history,
			       const bsh_msg_versions_answer_t *answer,
			       int64_t now_us)
{
	int64_t asked_us = (int64_t)answer->asked_us;
	int64_t since_us = now_us - answer->since_age_ms * US_PER_MS;
	int64_t until_us = asked_us - answer->until_age_ms * US_PER_MS;
	service_t *service;

	/* This process asks only once it has a list of its own. */
	if (history->since_us == 0 || asked_us < history->since_us ||
	    asked_us > now_us)
		return false;
	service = add_service(history, answer->service);
	for (uint32_t i = 0; i < answer->seen_count; i++) {
		int64_t age_us = answer->seen[i].age_ms * US_PER_MS;

		if (age_us < BSH_STREAM_MEMORY_US)
			bsh_software_history_note(&service->seen,
						  answer->seen[i].software,
						  now_us - age_us);
	}
	if (until_us < history->since_us ||
	    since_us >= covered_since_us(history, service))
		return false;
	service->since_us = since_us;
	return true;
}
