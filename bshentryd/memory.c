/* What is held for callers: the budget, its metrics, and refusals. */
#include "traffic.h"

#include <malloc.h>

#include "base/counter.h"
#include "base/log.h"

static bsh_counter_t held[] = {
#define HELD(kind)                                                             \
	{                                                                      \
		.name = "bsh_memory_held_bytes",                               \
		.help = "Bytes held for callers.",                             \
		.labels = "kind=\"" kind "\"", .is_gauge = 1                   \
	}
	[BSH_MEMORY_UPLOADS] = HELD("uploads"),
	[BSH_MEMORY_REQUESTS] = HELD("requests"),
	[BSH_MEMORY_RESPONSES] = HELD("responses"),
};
static bsh_counter_t connections =
	BSH_GAUGE("bsh_connections_open", "Connections of callers.");
static bsh_counter_t refused = BSH_COUNTER(
	"bsh_uploads_refused_total",
	"Requests refused before their body was received, for want of memory "
	"or as it is too large.");
static bsh_counter_t closed =
	BSH_COUNTER("bsh_connections_closed_total",
		    "Connections of callers that were closed for others.");

static bool grow_body(void *ctx, size_t from, size_t to)
{
	traffic_t *t = ctx;

	return bsh_memory_budget_grow(&t->memory, from, to);
}

static void end_body(void *ctx, size_t size)
{
	traffic_t *t = ctx;

	bsh_memory_budget_end(&t->memory, size);
}

static void buffered(void *ctx, ssize_t bytes)
{
	memory_held_changed(ctx, bytes);
}

static size_t body_limit(void *ctx)
{
	const traffic_t *t = ctx;

	return t->view != NULL ? t->view->catalog->limits.body_max_bytes
			       : SIZE_MAX;
}

static void on_closed(void *ctx)
{
	(void)ctx;
	bsh_counter_add(&closed, 1);
}

static void refuse(void *ctx, bsh_http_request_t *http, bool too_large)
{
	traffic_t *t = ctx;

	bsh_counter_add(&refused, 1);
	bsh_log(BSH_LOG_INFO,
		"upload-refused reason=%s held_bytes=%" G_GUINT64_FORMAT,
		too_large ? "too-large" : "memory",
		bsh_memory_budget_held(&t->memory));
	traffic_refuse_upload(t, http,
			      too_large ? BSH_ERR_TOO_LARGE : BSH_ERR_CAPACITY);
}

void memory_init(traffic_t *t, bsh_http_server_config_t *config)
{
	const bsh_settings_t *s = &t->entry->settings;

	for (size_t i = 0; i < G_N_ELEMENTS(held); i++)
		bsh_counter_register(&held[i]);
	bsh_counter_register(&connections);
	bsh_counter_register(&refused);
	bsh_counter_register(&closed);
	bsh_memory_budget_init(&t->memory, s->instance_memory_mb);
	config->max_connections = bsh_memory_connections(
		s->instance_memory_mb, s->instance_max_descriptors,
		config->max_connections);
	config->buffered = buffered;
	config->on_closed = on_closed;
	if (s->instance_memory_mb == 0)
		return;
	config->grow_body = grow_body;
	config->end_body = end_body;
	config->body_limit = body_limit;
	config->on_no_room = refuse;
}

void memory_refresh(traffic_t *t)
{
	for (int i = 0; i < BSH_MEMORY_KINDS; i++)
		bsh_counter_set(&held[i], (int64_t)t->memory.held[i]);
	bsh_counter_set(&connections, bsh_http_server_connections(t->server));
	if (bsh_memory_budget_wants_trim(&t->memory))
		malloc_trim(0);
}

void memory_request_taken(request_t *r)
{
	r->held_bytes = r->body_bytes;
	bsh_memory_budget_add(&r->traffic->memory, BSH_MEMORY_REQUESTS,
			      r->held_bytes);
}

void memory_request_freed(const request_t *r)
{
	bsh_memory_budget_release(&r->traffic->memory, BSH_MEMORY_REQUESTS,
				  r->held_bytes);
}

void memory_held_changed(traffic_t *t, int64_t bytes)
{
	if (bytes > 0)
		bsh_memory_budget_add(&t->memory, BSH_MEMORY_RESPONSES,
				      (uint64_t)bytes);
	else if (bytes < 0)
		bsh_memory_budget_release(&t->memory, BSH_MEMORY_RESPONSES,
					  (uint64_t)-bytes);
}
