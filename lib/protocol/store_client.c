#include "protocol/store_client.h"

#include <stdio.h>

typedef struct {
	bsh_store_fn_t fn;
	bsh_store_list_fn_t list_fn;
	void *ctx;
	bool is_read;
	bsh_store_client_t *store;
} pending_t;

void bsh_store_client_init(bsh_store_client_t *store, bsh_json_client_t *client,
			   const char *address)
{
	store->client = client;
	store->reads = 0;
	store->writes = 0;
	store->list = json_object();
	store->list_version = 0;
	store->list_reported_us = 0;
	g_strlcpy(store->address, address, sizeof(store->address));
}

void bsh_store_client_finish(bsh_store_client_t *store)
{
	json_decref(store->list);
	store->list = NULL;
}

static bool read_version(const json_t *json, uint64_t *version)
{
	const json_t *v = json_object_get(json, "version");

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return false;
	*version = (uint64_t)json_integer_value(v);
	return true;
}

static void on_answer(void *ctx, const bsh_call_answer_t *call)
{
	pending_t *pending = ctx;
	bsh_store_answer_t answer = { .result = call->result,
				      .status = call->status,
				      .retry_after_ms = call->retry_after_ms,
				      .began_us = call->began_us };
	bool has_version = read_version(call->json, &answer.version);

	if (call->result == BSH_CALL_DONE) {
		answer.value = json_object_get(call->json, "value");
		if (!has_version || (pending->is_read && answer.value == NULL))
			answer.result = BSH_CALL_UNKNOWN;
	}
	pending->fn(pending->ctx, &answer);
	g_free(pending);
}

static pending_t *make_pending(bsh_store_fn_t fn, void *ctx, bool is_read)
{
	pending_t *pending = g_new0(pending_t, 1);

	pending->fn = fn;
	pending->ctx = ctx;
	pending->is_read = is_read;
	return pending;
}

static char *object_path(const char *kind, const char *name)
{
	g_autofree char *escaped = g_uri_escape_string(name, NULL, FALSE);

	return g_strdup_printf("/v1/objects/%s/%s", kind, escaped);
}

void bsh_store_get(bsh_store_client_t *store, const char *kind,
		   const char *name, bsh_store_fn_t fn, void *ctx)
{
	g_autofree char *path = object_path(kind, name);
	bsh_call_spec_t spec = { .method = "GET",
				 .address = store->address,
				 .path = path,
				 .timeout_ms = BSH_STORE_CALL_TIMEOUT_MS };

	store->reads++;
	bsh_call_start(store->client, &spec, on_answer,
		       make_pending(fn, ctx, true));
}

void bsh_store_watch(bsh_store_client_t *store, const char *kind,
		     const char *name, uint64_t version, uint32_t timeout_ms,
		     bsh_store_fn_t fn, void *ctx)
{
	g_autofree char *object = object_path(kind, name);
	g_autofree char *path =
		g_strdup_printf("%s?watch=%" G_GUINT64_FORMAT "&timeout_ms=%u",
				object, version, timeout_ms);
	bsh_call_spec_t spec = { .method = "GET",
				 .address = store->address,
				 .path = path,
				 .timeout_ms = timeout_ms +
					       BSH_STORE_CALL_TIMEOUT_MS };

	store->reads++;
	bsh_call_start(store->client, &spec, on_answer,
		       make_pending(fn, ctx, true));
}

static void update_object(bsh_store_client_t *store, const char *method,
			  const char *kind, const char *name, uint64_t version,
			  const char *value, size_t size, pending_t *pending)
{
	g_autofree char *path = object_path(kind, name);
	g_autofree char *if_match =
		g_strdup_printf("If-Match: \"%" G_GUINT64_FORMAT "\"", version);
	bsh_call_spec_t spec = { .method = method,
				 .address = store->address,
				 .path = path,
				 .header = if_match,
				 .body = value,
				 .body_size = size,
				 .timeout_ms = BSH_STORE_CALL_TIMEOUT_MS };

	store->writes++;
	bsh_call_start(store->client, &spec, on_answer, pending);
}

void bsh_store_put(bsh_store_client_t *store, const char *kind,
		   const char *name, uint64_t version, const char *value,
		   size_t size, bsh_store_fn_t fn, void *ctx)
{
	update_object(store, "PUT", kind, name, version, value, size,
		      make_pending(fn, ctx, false));
}

void bsh_store_delete(bsh_store_client_t *store, const char *kind,
		      const char *name, uint64_t version, bsh_store_fn_t fn,
		      void *ctx)
{
	update_object(store, "DELETE", kind, name, version, NULL, 0,
		      make_pending(fn, ctx, false));
}

static bool read_instance(const json_t *json, bsh_store_instance_t *item)
{
	json_int_t incarnation;
	json_int_t memory = 0;

	/* json_unpack() takes a mutable object but does not change it. */
	if (json_unpack((json_t *)json,
			"{s:s, s:I, s:s, s:s, s:s, s:s, s:s, s?I, s:s}", "name",
			&item->name, "incarnation", &incarnation, "kind",
			&item->kind, "pool", &item->pool, "zone", &item->zone,
			"address", &item->address, "control", &item->control,
			"memory_mib", &memory, "state", &item->state) != 0 ||
	    incarnation < 0 || memory < 0 || memory > UINT32_MAX)
		return false;
	item->incarnation = (uint64_t)incarnation;
	item->memory_mib = (uint32_t)memory;
	return true;
}

/* Validates all changes, so that none is applied when one is malformed. */
static bool is_valid_list(const json_t *body)
{
	const json_t *items = json_object_get(body, "items");
	const json_t *removed = json_object_get(body, "removed");
	bsh_store_instance_t item;

	if (!json_is_array(items) ||
	    (removed != NULL && !json_is_array(removed)))
		return false;
	for (size_t i = 0; i < json_array_size(items); i++) {
		if (!read_instance(json_array_get(items, i), &item))
			return false;
	}
	for (size_t i = 0; i < json_array_size(removed); i++) {
		if (!json_is_string(json_array_get(removed, i)))
			return false;
	}
	return true;
}

/* Returns whether the cached list has changed. */
static bool apply_list(bsh_store_client_t *store, const json_t *body)
{
	bool is_whole = !json_is_true(json_object_get(body, "partial"));
	const json_t *items = json_object_get(body, "items");
	const json_t *removed = json_object_get(body, "removed");

	if (is_whole)
		json_object_clear(store->list);
	for (size_t i = 0; i < json_array_size(items); i++) {
		json_t *item = json_array_get(items, i);

		json_object_set(
			store->list,
			json_string_value(json_object_get(item, "name")), item);
	}
	for (size_t i = 0; i < json_array_size(removed); i++)
		json_object_del(store->list,
				json_string_value(json_array_get(removed, i)));
	return is_whole || json_array_size(items) > 0 ||
	       json_array_size(removed) > 0;
}

static void report_list(const pending_t *pending, int64_t began_us)
{
	json_t *list = pending->store->list;
	g_autofree bsh_store_instance_t *items =
		g_new0(bsh_store_instance_t, json_object_size(list) + 1);
	size_t count = 0;
	const char *name;
	json_t *item;

	json_object_foreach(list, name, item)
	{
		if (read_instance(item, &items[count]))
			count++;
	}
	pending->store->list_reported_us = began_us;
	pending->list_fn(pending->ctx, BSH_CALL_DONE, items, count, began_us);
}

static void on_list(void *ctx, const bsh_call_answer_t *call)
{
	pending_t *pending = ctx;
	bsh_store_client_t *store = pending->store;
	bsh_call_result_t result = call->result;
	bool is_resync_due = call->began_us - store->list_reported_us >
			     BSH_STORE_LIST_RESYNC_US;

	if (result == BSH_CALL_DONE && !is_valid_list(call->json))
		result = BSH_CALL_UNKNOWN;
	if (result == BSH_CALL_DONE && !apply_list(store, call->json) &&
	    !is_resync_due)
		result = BSH_CALL_UNCHANGED;
	if ((result == BSH_CALL_DONE || result == BSH_CALL_UNCHANGED) &&
	    !read_version(call->json, &store->list_version))
		store->list_version = 0;
	if (result == BSH_CALL_DONE)
		report_list(pending, call->began_us);
	else
		pending->list_fn(pending->ctx, result, NULL, 0, call->began_us);
	g_free(pending);
}

void bsh_store_instances(bsh_store_client_t *store, bsh_store_list_fn_t fn,
			 void *ctx)
{
	g_autofree char *path = g_strdup_printf(
		"/v1/instances?since=%" G_GUINT64_FORMAT, store->list_version);
	bsh_call_spec_t spec = { .method = "GET",
				 .address = store->address,
				 .path = path,
				 .timeout_ms = BSH_STORE_CALL_TIMEOUT_MS };
	pending_t *pending = make_pending(NULL, ctx, true);

	pending->list_fn = fn;
	pending->store = store;
	store->reads++;
	bsh_call_start(store->client, &spec, on_list, pending);
}
