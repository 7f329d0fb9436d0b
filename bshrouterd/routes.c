#include <jansson.h>
#include <string.h>

#include "base/json_text.h"
#include "base/log.h"
#include "traffic.h"

#define MODEL_PREFIX   "model:"
#define SERVICE_PREFIX "service:"

/* Estimates until times are observed.  MODEL_FIRST_BYTE_US is the objective of
 * the design, section 1.4. */
#define MODEL_FIRST_BYTE_US   INT64_C(320000)
#define MODEL_DURATION_US     INT64_C(5000000)
#define SERVICE_FIRST_BYTE_US INT64_C(50000)
#define SERVICE_DURATION_US   INT64_C(100000)

#define SCOPES_MAX 65536

/* Last ROUTES message of one scope. */
typedef struct {
	uint64_t epoch;
	uint64_t sequence;
	GHashTable *ready; /* key -> GPtrArray of target names */
} scope_t;

void traffic_make_key(char key[TRAFFIC_KEY_SIZE], const char *name,
		      bool is_service)
{
	g_strlcpy(key, is_service ? SERVICE_PREFIX : MODEL_PREFIX,
		  TRAFFIC_KEY_SIZE);
	g_strlcat(key, name, TRAFFIC_KEY_SIZE);
}

const char *traffic_key_name(const char *key)
{
	const char *colon = strchr(key, ':');

	return colon != NULL ? colon + 1 : key;
}

static void free_scope(void *data)
{
	scope_t *scope = data;

	g_hash_table_destroy(scope->ready);
	g_free(scope);
}

static GHashTable *new_ready_sets(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)g_ptr_array_unref);
}

void traffic_routes_init(router_traffic_t *t)
{
	t->scopes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  free_scope);
	t->models_body = g_string_new("{\"object\":\"list\",\"data\":[]}");
}

void traffic_routes_finish(router_traffic_t *t)
{
	g_hash_table_destroy(t->scopes);
	g_string_free(t->models_body, TRUE);
	router_config_unref(t->config);
}

/* Ready targets. */

static void update_slots(router_traffic_t *t, const char *key)
{
	bsh_admission_set_slots(&t->admission, key,
				bsh_route_slots(&t->route, key),
				bsh_loop_now_us(t->loop));
}

/* Adds or updates the target; true if it may get new requests. */
static bool update_target(router_traffic_t *t, const router_route_t *route)
{
	bsh_route_set_target(&t->route, route->target,
			     route->target_incarnation, route->address,
			     route->zone, route->max_running);
	if (!route->leaving)
		return true;
	if (bsh_route_set_leaving(&t->route, route->target,
				  route->target_incarnation))
		bsh_timeline_add(&t->router->timeline, "target-leaving",
				 "{s:s, s:I}", "target", route->target,
				 "incarnation",
				 (json_int_t)route->target_incarnation);
	return false;
}

/* Updates the targets and returns the ready ones: key -> array of names. */
static GHashTable *build_ready_sets(router_traffic_t *t,
				    const router_route_t *routes,
				    uint32_t count)
{
	GHashTable *ready = new_ready_sets();

	for (uint32_t i = 0; i < count; i++) {
		char key[TRAFFIC_KEY_SIZE];
		GPtrArray *names;

		if (!update_target(t, &routes[i]))
			continue;
		traffic_make_key(key, routes[i].name, routes[i].is_service);
		names = g_hash_table_lookup(ready, key);
		if (names == NULL) {
			names = g_ptr_array_new_with_free_func(g_free);
			g_hash_table_insert(ready, g_strdup(key), names);
		}
		g_ptr_array_add(names, g_strdup(routes[i].target));
	}
	return ready;
}

/* Sets, for one scope, the ready targets of each key in keys; a key that is not
 * in scope->ready has none. */
static void set_ready_targets(router_traffic_t *t, const char *scope_name,
			      const scope_t *scope, GHashTable *keys)
{
	GHashTableIter it;
	const char *key;

	g_hash_table_iter_init(&it, keys);
	while (g_hash_table_iter_next(&it, (void **)&key, NULL)) {
		const GPtrArray *names = g_hash_table_lookup(scope->ready, key);

		bsh_route_set_ready(&t->route, key, scope_name, scope->epoch,
				    scope->sequence,
				    names != NULL
					    ? (const char *const *)names->pdata
					    : NULL,
				    names != NULL ? names->len : 0);
		update_slots(t, key);
	}
}

static scope_t *find_scope(router_traffic_t *t, const char *scope_name)
{
	scope_t *scope = g_hash_table_lookup(t->scopes, scope_name);

	if (scope != NULL || g_hash_table_size(t->scopes) >= SCOPES_MAX)
		return scope;
	scope = g_new0(scope_t, 1);
	scope->ready = new_ready_sets();
	g_hash_table_insert(t->scopes, g_strdup(scope_name), scope);
	return scope;
}

static bool is_newer(const scope_t *scope, uint64_t epoch, uint64_t sequence)
{
	if (epoch != scope->epoch)
		return epoch > scope->epoch;
	return sequence > scope->sequence;
}

void router_on_routes(router_t *router, const char *scope_name, uint64_t epoch,
		      uint64_t sequence, const router_route_t *routes,
		      uint32_t count)
{
	router_traffic_t *t = router->traffic;
	scope_t *scope = find_scope(t, scope_name);
	GHashTable *before;

	if (scope == NULL || !is_newer(scope, epoch, sequence))
		return;
	scope->epoch = epoch;
	scope->sequence = sequence;
	before = scope->ready;
	scope->ready = build_ready_sets(t, routes, count);
	/* The first call covers all previous keys, also those that lost all
	 * their targets.  The route module accepts a stamp only once per key,
	 * so the second call has an effect on new keys only. */
	set_ready_targets(t, scope_name, scope, before);
	set_ready_targets(t, scope_name, scope, scope->ready);
	g_hash_table_destroy(before);
	bsh_counter_add(&router_counters.routes, 1);
	traffic_schedule_task(t);
}

void router_on_report(router_t *router, const router_report_t *report)
{
	router_traffic_t *t = router->traffic;

	bsh_route_report(&t->route, report->target, report->target_incarnation,
			 report->running, report->waiting,
			 bsh_loop_now_us(t->loop));
}

/* Confirmation of the configuration. */

bool traffic_is_fresh(router_traffic_t *t, int64_t now_us)
{
	bool fresh = t->config != NULL && now_us < t->fresh_until_us &&
		     t->fresh_generation <= t->config->generation;

	if (fresh == t->was_fresh)
		return fresh;
	t->was_fresh = fresh;
	router_set_not_ready(t->router, ROUTER_CONFIG_STALE, !fresh);
	bsh_timeline_add(
		&t->router->timeline, fresh ? "fresh" : "stale", "{s:I, s:I}",
		"generation",
		(json_int_t)(t->config != NULL ? t->config->generation : 0),
		"confirmed", (json_int_t)t->fresh_generation);
	bsh_log(BSH_LOG_INFO, "configuration-%s", fresh ? "fresh" : "stale");
	/* Requests that were not sent yet must not start on a stale
	 * configuration. */
	if (!fresh)
		bsh_admission_refuse_all(&t->admission, BSH_ERR_STALE_CONFIG,
					 now_us);
	return fresh;
}

void router_on_fresh(router_t *router, uint64_t generation, int64_t until_us)
{
	router_traffic_t *t = router->traffic;

	t->fresh_until_us = until_us;
	t->fresh_generation = generation;
	traffic_is_fresh(t, bsh_loop_now_us(t->loop));
	traffic_schedule_task(t);
}

/* Configuration. */

static void declare_model(router_traffic_t *t, const bsh_document_t *doc,
			  const bsh_doc_model_t *model)
{
	bsh_admission_model_config_t config = {
		.priority = (uint8_t)model->priority,
		.load_us = (int64_t)model->load_ms * 1000,
		.first_us = MODEL_FIRST_BYTE_US,
		.service_us = MODEL_DURATION_US,
		.load_slots =
			bsh_document_pool_at(doc, model->pool)->max_running,
	};
	char key[TRAFFIC_KEY_SIZE];

	traffic_make_key(key, model->name, false);
	bsh_admission_declare(&t->admission, key, &config);
	update_slots(t, key);
}

static void declare_service(router_traffic_t *t, const bsh_document_t *doc,
			    const bsh_doc_service_t *service)
{
	bsh_admission_model_config_t config = {
		.always_warm = true,
		.first_us = SERVICE_FIRST_BYTE_US,
		.service_us = SERVICE_DURATION_US,
		.load_slots =
			bsh_document_pool_at(doc, service->pool)->max_running,
	};
	char key[TRAFFIC_KEY_SIZE];

	traffic_make_key(key, service->name, true);
	bsh_admission_declare(&t->admission, key, &config);
	update_slots(t, key);
}

static void declare_all(router_traffic_t *t, const bsh_document_t *doc)
{
	for (guint i = 0; i < doc->models->len; i++)
		declare_model(t, doc,
			      &g_array_index(doc->models, bsh_doc_model_t, i));
	for (guint i = 0; i < doc->services->len; i++)
		declare_service(
			t, doc,
			&g_array_index(doc->services, bsh_doc_service_t, i));
}

static void remove_key(router_traffic_t *t, const char *name, bool is_service)
{
	char key[TRAFFIC_KEY_SIZE];

	traffic_make_key(key, name, is_service);
	bsh_admission_remove(&t->admission, key, bsh_loop_now_us(t->loop));
	bsh_route_remove_key(&t->route, key);
}

static void remove_undeclared(router_traffic_t *t, const bsh_document_t *old,
			      const bsh_document_t *doc)
{
	for (guint i = 0; i < old->models->len; i++) {
		const char *name =
			g_array_index(old->models, bsh_doc_model_t, i).name;

		if (bsh_document_model(doc, name) == NULL)
			remove_key(t, name, false);
	}
	for (guint i = 0; i < old->services->len; i++) {
		const char *name =
			g_array_index(old->services, bsh_doc_service_t, i).name;

		if (bsh_document_service(doc, name) == NULL)
			remove_key(t, name, true);
	}
}

static void write_models_body(router_traffic_t *t, const bsh_document_t *doc)
{
	json_t *list = json_array();
	json_t *json;
	char *text;

	for (guint i = 0; i < doc->models->len; i++) {
		const bsh_doc_model_t *model =
			&g_array_index(doc->models, bsh_doc_model_t, i);

		json_array_append_new(list,
				      bsh_json_pack("{s:s, s:s, s:i, s:s, s:s}",
						    "id", model->name, "object",
						    "model", "created", 0,
						    "owned_by", doc->deployment,
						    "version", model->version));
	}
	json = bsh_json_pack("{s:s, s:o}", "object", "list", "data", list);
	text = bsh_json_text(json, JSON_COMPACT);
	g_string_assign(t->models_body, text);
	free(text);
	json_decref(json);
}

void router_on_config(router_t *router, router_config_t *config)
{
	router_traffic_t *t = router->traffic;
	router_config_t *old = t->config;

	t->config = config;
	if (old != NULL)
		remove_undeclared(t, &old->doc, &config->doc);
	declare_all(t, &config->doc);
	write_models_body(t, &config->doc);
	router_config_unref(old);
	router_set_not_ready(router, ROUTER_NO_CONFIG, false);
	traffic_is_fresh(t, bsh_loop_now_us(t->loop));
	traffic_schedule_task(t);
}
