#include "protocol/engine_client.h"

#include <stdlib.h>
#include <string.h>

#include "base/json_text.h"

typedef struct {
	bsh_engine_fn_t fn;
	bsh_engine_status_fn_t status_fn;
	void *ctx;
} pending_t;

static pending_t *make_pending(bsh_engine_fn_t fn, void *ctx)
{
	pending_t *pending = g_new0(pending_t, 1);

	pending->fn = fn;
	pending->ctx = ctx;
	return pending;
}

static void on_order_answer(void *ctx, const bsh_call_answer_t *call)
{
	pending_t *pending = ctx;
	const char *error =
		json_string_value(json_object_get(call->json, "error"));
	json_int_t fence =
		json_integer_value(json_object_get(call->json, "fence"));
	bsh_engine_answer_t answer = { .result = call->result,
				       .sent = call->sent,
				       .no_memory = call->status == 507 };

	if (call->result == BSH_CALL_CONFLICT && error != NULL &&
	    strcmp(error, "stale-fence") == 0 && fence >= 0) {
		answer.stale_fence = true;
		answer.fence = (uint64_t)fence;
	}
	pending->fn(pending->ctx, &answer);
	g_free(pending);
}

static void send_order(bsh_json_client_t *client, const char *address,
		       const char *path, const json_t *body, pending_t *pending)
{
	char *text = bsh_json_text(body, JSON_COMPACT);
	bsh_call_spec_t spec = { .method = "POST",
				 .address = address,
				 .path = path,
				 .body = text,
				 .body_size = strlen(text),
				 .timeout_ms = BSH_ENGINE_CALL_TIMEOUT_MS };

	bsh_call_start(client, &spec, on_order_answer, pending);
	free(text);
}

void bsh_engine_load(bsh_json_client_t *client, const char *address,
		     const bsh_engine_order_t *order, bsh_engine_fn_t fn,
		     void *ctx)
{
	json_t *body = bsh_json_pack(
		"{s:s, s:s, s:s, s:s, s:I, s:I}", "model", order->model,
		"version", order->version, "base", order->base, "attempt",
		order->attempt, "fence", (json_int_t)order->fence, "memory_mib",
		(json_int_t)order->memory_mib);

	send_order(client, address, "/v1/models/load", body,
		   make_pending(fn, ctx));
	json_decref(body);
}

void bsh_engine_unload(bsh_json_client_t *client, const char *address,
		       const bsh_engine_order_t *order, bsh_engine_fn_t fn,
		       void *ctx)
{
	json_t *body = bsh_json_pack("{s:s, s:s, s:I}", "model", order->model,
				     "attempt", order->attempt, "fence",
				     (json_int_t)order->fence);

	send_order(client, address, "/v1/models/unload", body,
		   make_pending(fn, ctx));
	json_decref(body);
}

static bool read_u32(const json_t *json, const char *name, bool required,
		     uint32_t *out)
{
	const json_t *value = json_object_get(json, name);
	json_int_t number = json_integer_value(value);

	*out = 0;
	if (value == NULL)
		return !required;
	if (!json_is_integer(value) || number < 0 || number > UINT32_MAX)
		return false;
	*out = (uint32_t)number;
	return true;
}

static bool read_state(const char *name, bsh_engine_model_state_t *state)
{
	static const char *const names[] = { "loading", "ready", "unloading" };

	for (size_t i = 0; name != NULL && i < G_N_ELEMENTS(names); i++) {
		if (strcmp(name, names[i]) == 0) {
			*state = (bsh_engine_model_state_t)i;
			return true;
		}
	}
	return false;
}

static const char *read_text(const json_t *json, const char *name)
{
	return json_string_value(json_object_get(json, name));
}

static bool read_model(const json_t *json, bsh_engine_model_t *model)
{
	model->model = read_text(json, "model");
	model->version = read_text(json, "version");
	model->attempt = read_text(json, "attempt");
	if (model->attempt == NULL)
		model->attempt = "";
	return model->model != NULL && model->version != NULL &&
	       read_state(read_text(json, "state"), &model->state) &&
	       read_u32(json, "memory_mib", false, &model->memory_mib);
}

static bool read_head(const json_t *json, bsh_engine_status_t *status)
{
	const json_t *incarnation = json_object_get(json, "incarnation");
	const char *state = read_text(json, "state");

	status->name = read_text(json, "name");
	if (status->name == NULL || state == NULL ||
	    !json_is_integer(incarnation) ||
	    json_integer_value(incarnation) < 0)
		return false;
	status->incarnation = (uint64_t)json_integer_value(incarnation);
	status->leaving = strcmp(state, "leaving") == 0;
	return read_u32(json, "memory_total_mib", true,
			&status->memory_total_mib) &&
	       read_u32(json, "memory_used_mib", true,
			&status->memory_used_mib) &&
	       read_u32(json, "running", true, &status->running) &&
	       read_u32(json, "waiting", true, &status->waiting);
}

/* Rejects the status if any part of it is invalid: it is no evidence about the
 * target then, as a loaded model could appear to be absent. */
static bool read_status(const bsh_call_answer_t *call,
			bsh_engine_status_t *status, bsh_engine_model_t *models)
{
	const json_t *list = json_object_get(call->json, "models");

	if (call->result != BSH_CALL_DONE || !json_is_array(list) ||
	    !read_head(call->json, status))
		return false;
	status->model_count = json_array_size(list);
	for (size_t i = 0; i < status->model_count; i++) {
		if (!read_model(json_array_get(list, i), &models[i]))
			return false;
	}
	status->models = models;
	status->began_us = call->began_us;
	return true;
}

static void on_status(void *ctx, const bsh_call_answer_t *call)
{
	pending_t *pending = ctx;
	size_t count = json_array_size(json_object_get(call->json, "models"));
	bsh_engine_model_t *models = g_new0(bsh_engine_model_t, count + 1);
	bsh_engine_status_t status = { 0 };
	bool ok = read_status(call, &status, models);

	pending->status_fn(pending->ctx, ok ? &status : NULL);
	g_free(models);
	g_free(pending);
}

void bsh_engine_status(bsh_json_client_t *client, const char *address,
		       bsh_engine_status_fn_t fn, void *ctx)
{
	bsh_call_spec_t spec = { .method = "GET",
				 .address = address,
				 .path = "/v1/status",
				 .timeout_ms = BSH_ENGINE_STATUS_TIMEOUT_MS };
	pending_t *pending = make_pending(NULL, ctx);

	pending->status_fn = fn;
	bsh_call_start(client, &spec, on_status, pending);
}
