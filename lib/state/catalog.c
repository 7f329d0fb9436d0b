#include "state/catalog.h"

#include <string.h>
#include <xxhash.h>

static void free_route(void *data)
{
	bsh_route_rule_t *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->path_prefix);
	g_array_free(route->splits, TRUE);
	g_free(route);
}

static void clear_model(void *data)
{
	bsh_model_rule_t *model = data;

	g_free(model->name);
}

static void free_service(void *data)
{
	bsh_service_rule_t *service = data;

	g_free(service->name);
	g_array_free(service->models, TRUE);
	g_hash_table_destroy(service->by_hash);
	g_free(service);
}

static void free_list(void *data)
{
	g_ptr_array_free(data, TRUE);
}

bsh_catalog_t *bsh_catalog_new(void)
{
	bsh_catalog_t *catalog = g_new0(bsh_catalog_t, 1);

	catalog->refs = 1;
	catalog->routes = g_ptr_array_new_with_free_func(free_route);
	catalog->services = g_ptr_array_new_with_free_func(free_service);
	catalog->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_list);
	return catalog;
}

bsh_catalog_t *bsh_catalog_ref(bsh_catalog_t *catalog)
{
	g_atomic_int_inc(&catalog->refs);
	return catalog;
}

void bsh_catalog_unref(bsh_catalog_t *catalog)
{
	if (catalog == NULL || !g_atomic_int_dec_and_test(&catalog->refs))
		return;
	g_hash_table_destroy(catalog->hosts);
	g_ptr_array_free(catalog->routes, TRUE);
	g_ptr_array_free(catalog->services, TRUE);
	bsh_accounts_free(catalog->accounts);
	g_free(catalog);
}

bsh_service_rule_t *bsh_catalog_add_service(bsh_catalog_t *catalog,
					    const char *name)
{
	bsh_service_rule_t *service = g_new0(bsh_service_rule_t, 1);

	service->name = g_strdup(name);
	service->models = g_array_new(FALSE, TRUE, sizeof(bsh_model_rule_t));
	g_array_set_clear_func(service->models, clear_model);
	service->by_hash = g_hash_table_new(NULL, NULL);
	g_ptr_array_add(catalog->services, service);
	return service;
}

void bsh_service_add_model(bsh_service_rule_t *service, const char *name,
			   const bsh_model_rule_t *model)
{
	bsh_model_rule_t copy = *model;

	copy.name = g_strdup(name);
	copy.hash = bsh_catalog_hash(name, strlen(name));
	g_array_append_val(service->models, copy);
	g_hash_table_insert(service->by_hash, GUINT_TO_POINTER(copy.hash),
			    GUINT_TO_POINTER(service->models->len));
}

bsh_route_rule_t *bsh_catalog_add_route(bsh_catalog_t *catalog,
					const char *name, const char *host,
					const char *path_prefix)
{
	bsh_route_rule_t *route = g_new0(bsh_route_rule_t, 1);

	route->name = g_strdup(name);
	route->host = g_ascii_strdown(host, -1);
	route->path_prefix = g_strdup(path_prefix);
	route->prefix_bytes = strlen(path_prefix);
	route->splits = g_array_new(FALSE, TRUE, sizeof(bsh_route_split_t));
	g_ptr_array_add(catalog->routes, route);
	return route;
}

/* Sorts routes by descending length of the path prefix. */
static gint compare_prefix_length(gconstpointer a, gconstpointer b)
{
	const bsh_route_rule_t *const *x = a;
	const bsh_route_rule_t *const *y = b;

	if ((*x)->prefix_bytes == (*y)->prefix_bytes)
		return 0;
	return (*x)->prefix_bytes > (*y)->prefix_bytes ? -1 : 1;
}

void bsh_catalog_build_index(bsh_catalog_t *catalog)
{
	GHashTableIter iter;
	void *list;

	for (guint i = 0; i < catalog->routes->len; i++) {
		bsh_route_rule_t *route = g_ptr_array_index(catalog->routes, i);

		list = g_hash_table_lookup(catalog->hosts, route->host);
		if (list == NULL) {
			list = g_ptr_array_new();
			g_hash_table_insert(catalog->hosts, route->host, list);
		}
		g_ptr_array_add(list, route);
	}
	g_hash_table_iter_init(&iter, catalog->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &list))
		g_ptr_array_sort(list, compare_prefix_length);
}

int32_t bsh_catalog_service(const bsh_catalog_t *catalog, const char *name)
{
	for (guint i = 0; i < catalog->services->len; i++) {
		const bsh_service_rule_t *service =
			g_ptr_array_index(catalog->services, i);

		if (strcmp(service->name, name) == 0)
			return (int32_t)i;
	}
	return -1;
}

const bsh_service_rule_t *bsh_catalog_service_at(const bsh_catalog_t *catalog,
						 uint32_t index)
{
	return g_ptr_array_index(catalog->services, index);
}

const bsh_model_rule_t *bsh_service_model(const bsh_service_rule_t *service,
					  uint32_t hash)
{
	guint index = GPOINTER_TO_UINT(
		g_hash_table_lookup(service->by_hash, GUINT_TO_POINTER(hash)));

	if (index == 0)
		return NULL;
	return &g_array_index(service->models, bsh_model_rule_t, index - 1);
}

const bsh_route_rule_t *bsh_catalog_match(const bsh_catalog_t *catalog,
					  const char *host, const char *path)
{
	const GPtrArray *list;
	char name[256];

	if (host == NULL || strlen(host) >= sizeof(name))
		return NULL;
	g_strlcpy(name, host, sizeof(name));
	name[strcspn(name, ":")] = '\0';
	for (char *c = name; *c != '\0'; c++)
		*c = g_ascii_tolower(*c);
	list = g_hash_table_lookup(catalog->hosts, name);
	for (guint i = 0; list != NULL && i < list->len; i++) {
		const bsh_route_rule_t *route = g_ptr_array_index(list, i);

		if (strncmp(path, route->path_prefix, route->prefix_bytes) == 0)
			return route;
	}
	return NULL;
}

uint32_t bsh_catalog_hash(const char *name, size_t size)
{
	uint32_t hash = XXH32(name, size, 0);

	return hash != 0 ? hash : 1;
}

void bsh_adapter_name(uint32_t number, char name[BSH_ADAPTER_NAME_SIZE])
{
	g_snprintf(name, BSH_ADAPTER_NAME_SIZE, "a%u", number);
}

uint32_t bsh_adapter_hash(uint32_t number)
{
	char name[BSH_ADAPTER_NAME_SIZE];

	bsh_adapter_name(number, name);
	return bsh_catalog_hash(name, strlen(name));
}

uint32_t bsh_adapter_number(uint32_t hash, uint32_t n)
{
	for (uint32_t number = 1; number <= n; number++)
		if (bsh_adapter_hash(number) == hash)
			return number;
	return 0;
}

uint32_t bsh_route_pick_split(const bsh_route_rule_t *route, uint32_t random)
{
	uint32_t total = 0;
	uint32_t at;

	for (guint i = 0; i < route->splits->len; i++)
		total += g_array_index(route->splits, bsh_route_split_t, i)
				 .weight;
	at = random % MAX(total, 1);
	for (guint i = 0; i < route->splits->len; i++) {
		const bsh_route_split_t *split =
			&g_array_index(route->splits, bsh_route_split_t, i);

		if (at < split->weight)
			return split->service;
		at -= split->weight;
	}
	return g_array_index(route->splits, bsh_route_split_t, 0).service;
}
