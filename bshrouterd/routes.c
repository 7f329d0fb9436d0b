#include <jansson.h>
#include <string.h>

#include "base/log.h"
#include "traffic.h"

#define MODEL_PREFIX	 "model:"
#define SERVICE_PREFIX	 "service:"
#define KEY_PREFIX_BYTES 8 /* both are shorter; see traffic_key_name() */

/* Expected times before anything was measured.  A model's first byte is the
 * goal of the design, section 1.4. */
#define MODEL_FIRST_US	   INT64_C(320000)
#define MODEL_SERVICE_US   INT64_C(5000000)
#define SERVICE_FIRST_US   INT64_C(50000)
#define SERVICE_SERVICE_US INT64_C(100000)

#define MAX_CELLS 65536

/* The last ROUTES of one cell. */
typedef struct {
	uint64_t epoch;
	uint64_t sequence;
	GHashTable *ready; /* key -> GPtrArray of target names */
} cell_t;

void traffic_key(char key[TRAFFIC_KEY_SIZE], const char *name, bool is_service)
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

static void free_cell(void *data)
{
	cell_t *cell = data;

	g_hash_table_destroy(cell->ready);
	g_free(cell);
}

static GHashTable *new_ready(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)g_ptr_array_unref);
}

void traffic_routes_init(router_traffic_t *t)
{
	t->cells = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_cell);
	t->models_body = g_string_new("{\"object\":\"list\",\"data\":[]}");
}

void traffic_routes_finish(router_traffic_t *t)
{
	g_hash_table_destroy(t->cells);
	g_string_free(t->models_body, TRUE);
	router_config_unref(t->config);
}

/* Routes. */

/* A model can have replicas in several cells of its pool. */
static void apply_key(router_traffic_t *t, const char *key)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new();
	GHashTableIter it;
	cell_t *cell;

	g_hash_table_iter_init(&it, t->cells);
	while (g_hash_table_iter_next(&it, NULL, (void **)&cell)) {
		GPtrArray *part = g_hash_table_lookup(cell->ready, key);

		for (guint i = 0; part != NULL && i < part->len; i++)
			g_ptr_array_add(names, g_ptr_array_index(part, i));
	}
	bsh_route_set_ready(&t->route, key, 1, ++t->route_sequence,
			    (const char *const *)names->pdata, names->len);
	bsh_admission_slots(&t->admission, key, bsh_route_slots(&t->route, key),
			    bsh_loop_now_us(t->loop));
}

static void apply_keys(router_traffic_t *t, GHashTable *keys)
{
	GHashTableIter it;
	const char *key;

	g_hash_table_iter_init(&it, keys);
	while (g_hash_table_iter_next(&it, (void **)&key, NULL))
		apply_key(t, key);
}

/* True if the target may get new work. */
static bool note_target(router_traffic_t *t, const router_route_t *route)
{
	bsh_route_set_target(&t->route, route->target,
			     route->target_incarnation, route->address,
			     route->zone, route->max_running);
	if (!route->leaving)
		return true;
	if (bsh_route_leaving(&t->route, route->target,
			      route->target_incarnation))
		bsh_timeline_add(&t->router->timeline, "target-leaving",
				 "{s:s, s:I}", "target", route->target,
				 "incarnation",
				 (json_int_t)route->target_incarnation);
	return false;
}

static GHashTable *read_routes(router_traffic_t *t,
			       const router_route_t *routes, uint32_t count)
{
	GHashTable *ready = new_ready();

	for (uint32_t i = 0; i < count; i++) {
		char key[TRAFFIC_KEY_SIZE];
		GPtrArray *names;

		if (!note_target(t, &routes[i]))
			continue;
		traffic_key(key, routes[i].name, routes[i].is_service);
		names = g_hash_table_lookup(ready, key);
		if (names == NULL) {
			names = g_ptr_array_new_with_free_func(g_free);
			g_hash_table_insert(ready, g_strdup(key), names);
		}
		g_ptr_array_add(names, g_strdup(routes[i].target));
	}
	return ready;
}

static bool is_newer(const cell_t *cell, uint64_t epoch, uint64_t sequence)
{
	if (epoch != cell->epoch)
		return epoch > cell->epoch;
	return sequence > cell->sequence;
}

void router_on_routes(router_t *router, const char *name, uint64_t epoch,
		      uint64_t sequence, const router_route_t *routes,
		      uint32_t count)
{
	router_traffic_t *t = router->traffic;
	cell_t *cell = g_hash_table_lookup(t->cells, name);
	GHashTable *before;

	if (cell != NULL && !is_newer(cell, epoch, sequence))
		return;
	if (cell == NULL) {
		if (g_hash_table_size(t->cells) >= MAX_CELLS)
			return;
		cell = g_new0(cell_t, 1);
		cell->ready = new_ready();
		g_hash_table_insert(t->cells, g_strdup(name), cell);
	}
	cell->epoch = epoch;
	cell->sequence = sequence;
	before = cell->ready;
	cell->ready = read_routes(t, routes, count);
	/* Keys that have lost all their targets, then those that have some. */
	apply_keys(t, before);
	apply_keys(t, cell->ready);
	g_hash_table_destroy(before);
	traffic_touch(t);
}

/* Freshness. */

bool traffic_is_fresh(router_traffic_t *t, int64_t now_us)
{
	bool fresh = t->config != NULL && now_us < t->fresh_until_us &&
		     t->fresh_generation <= t->config->generation;

	if (fresh == t->was_fresh)
		return fresh;
	t->was_fresh = fresh;
	router_set_not_ready(t->router, ROUTER_NOT_FRESH, !fresh);
	bsh_timeline_add(
		&t->router->timeline, fresh ? "fresh" : "stale", "{s:I, s:I}",
		"generation",
		(json_int_t)(t->config != NULL ? t->config->generation : 0),
		"confirmed", (json_int_t)t->fresh_generation);
	bsh_log(BSH_LOG_INFO, "configuration-%s", fresh ? "fresh" : "stale");
	/* What has not been sent yet is new work. */
	if (!fresh)
		bsh_admission_refuse_all(&t->admission, BSH_ERR_STALE, now_us);
	return fresh;
}

void router_on_fresh(router_t *router, uint64_t generation, int64_t until_us)
{
	router_traffic_t *t = router->traffic;

	t->fresh_until_us = until_us;
	t->fresh_generation = generation;
	traffic_is_fresh(t, bsh_loop_now_us(t->loop));
	traffic_touch(t);
}

/* Configuration. */

static void declare_model(router_traffic_t *t, const bsh_document_t *doc,
			  const bsh_doc_model_t *model)
{
	bsh_admission_model_config_t config = {
		.priority = (uint8_t)model->priority,
		.load_us = (int64_t)model->load_ms * 1000,
		.first_us = MODEL_FIRST_US,
		.service_us = MODEL_SERVICE_US,
		.load_slots =
			bsh_document_pool_at(doc, model->pool)->max_running,
	};
	char key[TRAFFIC_KEY_SIZE];

	traffic_key(key, model->name, false);
	bsh_admission_declare(&t->admission, key, &config);
	apply_key(t, key);
}

static void declare_service(router_traffic_t *t, const bsh_document_t *doc,
			    const bsh_doc_service_t *service)
{
	bsh_admission_model_config_t config = {
		.always_warm = true,
		.first_us = SERVICE_FIRST_US,
		.service_us = SERVICE_SERVICE_US,
		.load_slots =
			bsh_document_pool_at(doc, service->pool)->max_running,
	};
	char key[TRAFFIC_KEY_SIZE];

	traffic_key(key, service->name, true);
	bsh_admission_declare(&t->admission, key, &config);
	apply_key(t, key);
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

	traffic_key(key, name, is_service);
	bsh_admission_remove(&t->admission, key, bsh_loop_now_us(t->loop));
	bsh_route_remove_key(&t->route, key);
}

static void remove_old(router_traffic_t *t, const bsh_document_t *old,
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

static void write_models(router_traffic_t *t, const bsh_document_t *doc)
{
	json_t *list = json_array();
	json_t *json;
	char *text;

	for (guint i = 0; i < doc->models->len; i++) {
		const bsh_doc_model_t *model =
			&g_array_index(doc->models, bsh_doc_model_t, i);

		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:i, s:s, s:s}",
						"id", model->name, "object",
						"model", "created", 0,
						"owned_by", doc->deployment,
						"version", model->version));
	}
	json = json_pack("{s:s, s:o}", "object", "list", "data", list);
	text = json_dumps(json, JSON_COMPACT);
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
		remove_old(t, &old->doc, &config->doc);
	declare_all(t, &config->doc);
	write_models(t, &config->doc);
	router_config_unref(old);
	router_set_not_ready(router, ROUTER_NO_CONFIG, false);
	traffic_is_fresh(t, bsh_loop_now_us(t->loop));
	traffic_touch(t);
}
