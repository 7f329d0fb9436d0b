#include "protocol/relay_mark.h"
#include "support/platform_rig.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support/loopback.h"

#define WAIT_TIMEOUT_MS 15000
/* Of a log, printed after an end that is not expected. */
#define LAST_LINES    12
#define MODEL_MB      100
#define LOAD_MS	      120
#define STREAM_EVENTS 6
#define EVENT_GAP_US  10000
/* Interval of the bytes of a stream that never gets on. */
#define DRIP_INTERVAL_US     20000
#define ENGINE_SLOTS	     8
#define IDLE_CONNECTIONS_MAX 64
#define STEP_US		     INT64_C(5000)
#define SERVER_LIMITS                                                          \
	.max_connections = 2000, .idle_timeout_s = 60, .body_max_bytes = 8 << 20

/* A change of an object in the store. */
typedef struct {
	int64_t revision;
	char *kind;
	json_t *object;
	bool deleted;
} event_t;

/* A pending watch request. */
typedef struct {
	bsh_http_request_t *request;
	char *kind;
	int64_t after_revision;
	int64_t until_us; /* time of an answer without changes */
	platform_rig_t *rig;
} watch_t;

/* An execution at a worker whose answer is not complete. */
typedef struct {
	worker_t *worker;
	bsh_http_request_t *request;
	bsh_loop_timer_t timer;
	char attempt[80];
	char began_by[80]; /* attempt that began the stream */
	bool stream;
	bool crashes; /* its prompt has the part under which processes end */
	uint32_t next_event;
	bool header_sent;
	bool ended; /* its answer is complete, perhaps not yet delivered */
	int64_t began_us;
} run_t;

static void answer_json(bsh_http_request_t *request, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	bsh_http_response_add_header(request, "Content-Type",
				     "application/json");
	bsh_http_response_send(request, status, text, strlen(text));
	free(text);
	json_decref(body);
}

/* Object store. */

/* Each answer of the store contains its era. */
static void add_store_headers(const platform_rig_t *rig,
			      bsh_http_request_t *request)
{
	g_autofree char *era = g_strdup_printf("%u", rig->era);

	bsh_http_response_add_header(request, "Store-Era", era);
}

/* Far entries get the addresses of the relays in place of those of the workers. */
static char *replace_addresses(const platform_rig_t *rig, char *text)
{
	for (uint32_t i = 0; i < rig->n_far_relays; i++) {
		g_autofree char *old = text;
		g_autofree char *from =
			g_strdup_printf("\"%s\"", rig->workers[i].address);
		g_autofree char *to =
			g_strdup_printf("\"%s\"", rig->far_relays[i].address);
		g_auto(GStrv) pieces = g_strsplit(old, from, -1);

		text = g_strjoinv(to, pieces);
	}
	return text;
}

static char *put_odd_text(const platform_rig_t *rig, char *text)
{
	g_autofree char *old = text;
	g_auto(GStrv) pieces = g_strsplit(old, "\"@odd@\"", -1);

	return g_strjoinv(rig->odd_text != NULL ? rig->odd_text : "\"\"",
			  pieces);
}

/* True if the call is of a far entry. */
static bool is_far(const platform_rig_t *rig, bsh_http_request_t *request)
{
	return rig->far_store != NULL &&
	       g_strcmp0(bsh_http_request_header(request, "Host"),
			 rig->far_host) == 0;
}

/* True if the call gets no answer. */
static bool is_silent(const platform_rig_t *rig, bsh_http_request_t *request,
		      const char *kind)
{
	return g_strcmp0(rig->far_silent_kind, kind) == 0 &&
	       is_far(rig, request);
}

static void answer_object(const platform_rig_t *rig,
			  bsh_http_request_t *request, int status, json_t *body)
{
	bool far = is_far(rig, request);
	g_autofree char *text = NULL;
	char *dumped;

	add_store_headers(rig, request);
	if (!far && rig->odd_text == NULL) {
		answer_json(request, status, body);
		return;
	}
	dumped = json_dumps(body, JSON_COMPACT);
	text = put_odd_text(rig, g_strdup(dumped));
	if (far)
		text = replace_addresses(rig, text);
	free(dumped);
	json_decref(body);
	bsh_http_response_add_header(request, "Content-Type",
				     "application/json");
	bsh_http_response_send(request, status, text, strlen(text));
}

static void free_event(void *data)
{
	event_t *event = data;

	g_free(event->kind);
	json_decref(event->object);
}

static json_t *events_after(const platform_rig_t *rig, const char *kind,
			    int64_t after)
{
	json_t *list = json_array();

	for (guint i = 0; i < rig->events->len; i++) {
		const event_t *event = &g_array_index(rig->events, event_t, i);

		if (event->revision > after && strcmp(event->kind, kind) == 0)
			json_array_append_new(
				list,
				json_pack("{s:O, s:b}", "object", event->object,
					  "deleted", event->deleted));
	}
	return list;
}

static void answer_watch(watch_t *watch, json_t *events)
{
	answer_object(watch->rig, watch->request, 200,
		      json_pack("{s:o, s:I}", "events", events, "currentRev",
				(json_int_t)watch->rig->revision));
	g_ptr_array_remove_fast(watch->rig->watches, watch);
}

static void serve_watches(platform_rig_t *rig)
{
	int64_t now_us = bsh_loop_clock_us();

	if (rig->store_watches_stalled)
		return;
	for (guint i = rig->watches->len; i > 0; i--) {
		watch_t *watch = g_ptr_array_index(rig->watches, i - 1);
		json_t *events;

		if (is_silent(rig, watch->request, watch->kind))
			continue;
		events = events_after(rig, watch->kind, watch->after_revision);
		if (json_array_size(events) > 0 || now_us >= watch->until_us)
			answer_watch(watch, events);
		else
			json_decref(events);
	}
}

static void on_watch_done(void *ctx, bool delivered)
{
	watch_t *watch = ctx;

	(void)delivered;
	g_ptr_array_remove_fast(watch->rig->watches, watch);
	g_free(watch->kind);
	g_free(watch);
}

static void record_change(platform_rig_t *rig, const char *kind,
			  const char *name, json_t *spec)
{
	g_autofree char *key = g_strdup_printf("%s/%s", kind, name);
	event_t event = { .revision = ++rig->revision,
			  .kind = g_strdup(kind),
			  .deleted = spec == NULL };
	json_t *old = g_hash_table_lookup(rig->objects, key);

	event.object =
		json_pack("{s:{s:s, s:I}, s:O}", "metadata", "name", name,
			  "revision", (json_int_t)rig->revision, "spec",
			  spec != NULL ? spec : json_object_get(old, "spec"));
	if (spec != NULL)
		g_hash_table_replace(rig->objects, g_strdup(key),
				     json_incref(event.object));
	else
		g_hash_table_remove(rig->objects, key);
	g_array_append_val(rig->events, event);
	serve_watches(rig);
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Answers with a page of the objects of a kind, in order of their names. */
static void list_kind(platform_rig_t *rig, bsh_http_request_t *request,
		      const char *kind)
{
	const char *after = bsh_http_request_argument(request, "after");
	g_autofree char *prefix = g_strdup_printf("%s/", kind);
	g_autofree char *first =
		g_strconcat(prefix, after != NULL ? after : "", NULL);
	g_autoptr(GPtrArray) keys = g_ptr_array_new();
	json_t *items = json_array();
	GHashTableIter iter;
	void *key;
	guint page;

	g_hash_table_iter_init(&iter, rig->objects);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (g_str_has_prefix(key, prefix) && strcmp(key, first) > 0)
			g_ptr_array_add(keys, key);
	g_ptr_array_sort(keys, compare_keys);
	page = rig->store_page_items > 0 ? MIN(keys->len, rig->store_page_items)
					 : keys->len;
	for (guint i = 0; i < page; i++)
		json_array_append(
			items, g_hash_table_lookup(rig->objects,
						   g_ptr_array_index(keys, i)));
	answer_object(rig, request, 200,
		      json_pack("{s:o, s:b, s:I}", "items", items, "truncated",
				page < keys->len, "currentRev",
				(json_int_t)rig->revision));
}

/* Sets the objects to the result of all recorded changes. */
static void rebuild_objects(platform_rig_t *rig)
{
	g_hash_table_remove_all(rig->objects);
	for (guint i = 0; i < rig->events->len; i++) {
		const event_t *event = &g_array_index(rig->events, event_t, i);
		const char *name = json_string_value(json_object_get(
			json_object_get(event->object, "metadata"), "name"));
		char *key = g_strdup_printf("%s/%s", event->kind, name);

		g_hash_table_remove(rig->objects, key);
		if (event->deleted)
			g_free(key);
		else
			g_hash_table_insert(rig->objects, key,
					    json_incref(event->object));
	}
}

void platform_rig_set_back(platform_rig_t *rig, int64_t revision)
{
	guint kept = 0;

	while (kept < rig->events->len &&
	       g_array_index(rig->events, event_t, kept).revision <= revision)
		kept++;
	g_array_set_size(rig->events, kept);
	rebuild_objects(rig);
	rig->revision = revision;
	rig->era++;
	for (guint i = rig->watches->len; i > 0 && !rig->store_keeps_watches;
	     i--) {
		const watch_t *watch = g_ptr_array_index(rig->watches, i - 1);

		bsh_http_response_abort(watch->request);
	}
}

const json_t *platform_rig_object(const platform_rig_t *rig, const char *kind,
				  const char *name)
{
	g_autofree char *key = g_strdup_printf("%s/%s", kind, name);

	return g_hash_table_lookup(rig->objects, key);
}

void platform_rig_compact(platform_rig_t *rig, const char *spared_kind)
{
	rig->compacted_revision = rig->revision;
	for (guint i = rig->watches->len; i > 0; i--) {
		const watch_t *watch = g_ptr_array_index(rig->watches, i - 1);

		if (strcmp(watch->kind, spared_kind) != 0)
			bsh_http_response_abort(watch->request);
	}
}

static void watch_kind(platform_rig_t *rig, bsh_http_request_t *request,
		       const char *kind, const char *after)
{
	static const bsh_http_request_handler_t handler = { on_watch_done,
							    NULL };
	const char *wait = bsh_http_request_argument(request, "waitMs");
	watch_t *watch = g_new0(watch_t, 1);

	watch->request = request;
	watch->kind = g_strdup(kind);
	watch->after_revision = g_ascii_strtoll(after, NULL, 10);
	watch->until_us =
		bsh_loop_clock_us() +
		(wait != NULL ? g_ascii_strtoll(wait, NULL, 10) : 0) * 1000;
	watch->rig = rig;
	bsh_http_request_set_handler(request, &handler, watch);
	g_ptr_array_add(rig->watches, watch);
	serve_watches(rig);
}

static int64_t expected_revision(bsh_http_request_t *request,
				 const json_t *body)
{
	const char *query = bsh_http_request_argument(request, "revision");

	if (query != NULL)
		return g_ascii_strtoll(query, NULL, 10);
	return json_integer_value(
		json_object_get(json_object_get(body, "metadata"), "revision"));
}

static void write_object(platform_rig_t *rig, bsh_http_request_t *request,
			 const char *kind, const char *name)
{
	const char *method = bsh_http_request_method(request);
	g_autofree char *key = g_strdup_printf("%s/%s", kind, name);
	json_t *old = g_hash_table_lookup(rig->objects, key);
	size_t size;
	const char *text = bsh_http_request_body(request, &size);
	json_t *body = json_loadb(text, size, 0, NULL);
	int64_t revision = expected_revision(request, body);
	bool is_create = strcmp(method, "POST") == 0;

	if (old == NULL && !is_create) {
		answer_object(rig, request, 404, json_object());
	} else if (old != NULL &&
		   (is_create ||
		    (revision > 0 &&
		     revision != json_integer_value(json_object_get(
					 json_object_get(old, "metadata"),
					 "revision"))))) {
		answer_object(rig, request, 409, json_incref(old));
	} else if (strcmp(method, "DELETE") == 0) {
		record_change(rig, kind, name, NULL);
		answer_object(rig, request, 200, json_object());
	} else {
		record_change(rig, kind, name, json_object_get(body, "spec"));
		answer_object(
			rig, request, 200,
			json_incref(g_hash_table_lookup(rig->objects, key)));
	}
	json_decref(body);
}

static void on_store_request(void *ctx, bsh_http_request_t *request)
{
	platform_rig_t *rig = ctx;
	const char *path = bsh_http_request_path(request);
	const char *watch = bsh_http_request_argument(request, "watch");
	g_auto(GStrv) parts = g_strsplit(path, "/", 6);
	json_t *object;
	g_autofree char *key = NULL;

	/* From a caller of another run, whose instance had this port before. */
	if (g_strv_length(parts) < 4) {
		bsh_http_response_send(request, 404, "", 0);
		return;
	}
	if (rig->store_unresponsive || is_silent(rig, request, parts[3]))
		return;
	if (rig->before_call != NULL)
		rig->before_call(rig, request);
	if (rig->store_down) {
		add_store_headers(rig, request);
		bsh_http_response_send(request, 503, "", 0);
		return;
	}
	/* The parts of a path are "", "api", "objects", KIND and NAME. */
	if (g_strv_length(parts) == 4 && watch != NULL &&
	    !rig->store_watches_stalled &&
	    (g_ascii_strtoll(watch, NULL, 10) < rig->compacted_revision ||
	     g_ascii_strtoll(watch, NULL, 10) > rig->revision)) {
		answer_object(rig, request, 410, json_object());
	} else if (g_strv_length(parts) == 4 && watch != NULL) {
		watch_kind(rig, request, parts[3], watch);
	} else if (g_strv_length(parts) == 4) {
		list_kind(rig, request, parts[3]);
	} else if (strcmp(bsh_http_request_method(request), "GET") == 0) {
		key = g_strdup_printf("%s/%s", parts[3], parts[4]);
		object = g_hash_table_lookup(rig->objects, key);
		if (object != NULL)
			answer_object(rig, request, 200, json_incref(object));
		else
			answer_object(rig, request, 404, json_object());
	} else {
		write_object(rig, request, parts[3], parts[4]);
	}
}

static void append_engine(GString *text, const char *name, uint32_t weights_mb)
{
	g_string_append_printf(
		text,
		"{\"name\":\"%s\",\"engine\":{\"slots\":%d,"
		"\"weightsMb\":%u,\"adapterSlots\":2,\"loadsPerS\":4,"
		"\"models\":[",
		name, ENGINE_SLOTS, weights_mb);
	for (int i = 0; i < 6; i++)
		g_string_append_printf(text,
				       "%s{\"name\":\"m%d\",\"weightsMb\":%d,"
				       "\"loadS\":0.12,\"adapters\":0,"
				       "\"adapterMb\":1}",
				       i > 0 ? "," : "", i, MODEL_MB);
	g_string_append(text, "]}},");
}

void platform_rig_configure(platform_rig_t *rig, const char *extra)
{
	static const char *const routes[][5] = {
		{ "stream", "stream", "llm", "2", "true" },
		{ "once", "stream", "llm", "1", "false" },
		{ "book", "non_idempotent", "desk", "1", "false" },
		{ "look", "idempotent", "desk", "2", "false" },
	};
	GString *text = g_string_new(NULL);
	json_t *spec;

	g_string_printf(text, "{\"version\":%u,\"routes\":[", ++rig->version);
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"%s\",\"host\":\"" RIG_HOST
			"\",\"pathPrefix\":\"/%s/\",\"kind\":\"%s\","
			"\"service\":\"%s\",\"maxAttempts\":%s,"
			"\"resumable\":%s,\"timeoutMs\":10000,"
			"\"targetLatencyMs\":500,\"priority\":0}",
			i > 0 ? "," : "", routes[i][0], routes[i][0],
			routes[i][1], routes[i][2], routes[i][3], routes[i][4]);
	if (extra != NULL)
		g_string_append_printf(text, ",%s", extra);
	g_string_append(text, "],\"services\":[");
	append_engine(text, "llm", rig->weights_mb);
	if (rig->has_second_engine)
		append_engine(text, "llm2", rig->weights_mb);
	g_string_append(
		text, "{\"name\":\"desk\"},{\"name\":\"shop\"}],\"limits\":{}");
	if (rig->accounts != NULL)
		g_string_append_printf(text, ",\"tenants\":%s", rig->accounts);
	g_string_append_c(text, '}');
	spec = json_loads(text->str, 0, NULL);
	g_assert_nonnull(spec);
	record_change(rig, "config", "main", spec);
	json_decref(spec);
	g_string_free(text, TRUE);
}

void platform_rig_write(platform_rig_t *rig, const char *kind, const char *name,
			json_t *spec)
{
	record_change(rig, kind, name, spec);
	json_decref(spec);
}

/* Workers. */

static json_t *worker_models(const worker_t *worker)
{
	json_t *list = json_array();
	const char *name;
	json_t *adapters;

	json_object_foreach(worker->models, name, adapters)
	{
		json_array_append_new(list, json_pack("{s:s, s:i, s:O}", "name",
						      name, "version", 1,
						      "adapters", adapters));
	}
	return list;
}

void platform_rig_publish_worker(worker_t *worker, const char *state)
{
	json_t *spec = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:o, s:I, s:i}", "service",
		worker->service, "address", worker->address, "zone", "z1",
		"version", worker->version, "slots", ENGINE_SLOTS, "state",
		state, "coldRemainingMs", 0, "models", worker_models(worker),
		"born", (json_int_t)worker->started_ms, "seq", 1);

	record_change(worker->rig, "servers", worker->id, spec);
	json_decref(spec);
}

void platform_rig_remove_worker(worker_t *worker)
{
	record_change(worker->rig, "servers", worker->id, NULL);
}

static void free_run(run_t *run)
{
	bsh_loop_timer_stop(&run->timer);
	g_ptr_array_remove_fast(run->worker->rig->pending_runs, run);
	g_free(run);
}

static void on_run_done(void *ctx, bool delivered)
{
	run_t *run = ctx;

	if (delivered) {
		run->worker->delivered++;
		run->worker->delivered_us +=
			bsh_loop_clock_us() - run->began_us;
	} else {
		run->worker->aborted++;
	}
	free_run(run);
}

static void add_brittle(const worker_t *worker, bsh_http_request_t *request)
{
	g_autofree char *text = g_strdup_printf("%u", worker->brittle);

	if (worker->brittle > 0)
		bsh_http_response_add_header(request, "Server-Brittle", text);
}

static void add_server_headers(const run_t *run)
{
	bsh_http_response_add_header(run->request, "Berylshunt-Server-Seal",
				     run->worker->id);
	bsh_http_response_add_header(run->request, "Berylshunt-Request-Try-Id",
				     run->attempt);
	if (run->worker->limit != NULL)
		bsh_http_response_add_header(run->request, "Server-Limit",
					     run->worker->limit);
	if (run->worker->leaving)
		bsh_http_response_add_header(run->request, "Server-Leaving",
					     "1");
	add_brittle(run->worker, run->request);
}

static void send_stream_header(run_t *run)
{
	if (run->header_sent)
		return;
	add_server_headers(run);
	bsh_http_response_add_header(run->request, "Content-Type",
				     "text/event-stream");
	bsh_http_response_begin(run->request, 200, -1);
	run->header_sent = true;
}

/* Counts the stream once if another version has written events of it. */
static void record_version(const run_t *run)
{
	static const char mixed[] = "mixed";
	platform_rig_t *rig = run->worker->rig;
	const char *version =
		g_hash_table_lookup(rig->stream_versions, run->began_by);

	if (version == NULL) {
		version = run->worker->version;
	} else if (strcmp(version, run->worker->version) != 0 &&
		   strcmp(version, mixed) != 0) {
		rig->mixed_streams++;
		/* A comment in the output of a test. */
		printf("# mixed-stream began_by=%s attempt=%s target=%s "
		       "software=%s before=%s event=%u\n",
		       run->began_by, run->attempt, run->worker->id,
		       run->worker->version, version, run->next_event + 1);
		version = mixed;
	} else {
		return;
	}
	g_hash_table_replace(rig->stream_versions, g_strdup(run->began_by),
			     g_strdup(version));
}

static void record_event(const run_t *run)
{
	platform_rig_t *rig = run->worker->rig;
	const char *name = run->worker->version;
	uint32_t event = run->next_event + 1;
	uint32_t written =
		platform_rig_event_versions(rig, run->attempt, event);
	guint version;

	if (!g_ptr_array_find_with_equal_func(rig->versions, name, g_str_equal,
					      &version)) {
		version = rig->versions->len;
		g_ptr_array_add(rig->versions, g_strdup(name));
	}
	g_hash_table_replace(rig->event_versions,
			     g_strdup_printf("%s/%u", run->attempt, event),
			     GUINT_TO_POINTER(written | 1U << version));
}

static void write_event(run_t *run)
{
	char event[64];
	int size;

	send_stream_header(run);
	record_version(run);
	record_event(run);
	run->worker->events++;
	run->next_event++;
	size = g_snprintf(event, sizeof(event), "id: %u\ndata: e%u\n\n",
			  run->next_event, run->next_event);
	bsh_http_response_write(run->request, event, (size_t)size);
}

static void on_worker_request(void *ctx, bsh_http_request_t *request);

static void listen_worker(worker_t *worker, const char *address)
{
	bsh_http_server_config_t config = { .address = address,
					    SERVER_LIMITS,
					    .on_request = on_worker_request,
					    .ctx = worker };

	g_assert_cmpint(bsh_http_server_new(&worker->server, &worker->rig->loop,
					    &config),
			==, BSH_OK);
}

static void start_process(void *ctx)
{
	worker_t *worker = ctx;

	worker->has_ended = false;
	worker->orders = 0;
	worker->started_ms++;
	listen_worker(worker, worker->address);
	platform_rig_publish_worker(worker, "ready");
}

static void end_process(void *ctx)
{
	worker_t *worker = ctx;
	platform_rig_t *rig = worker->rig;

	bsh_http_server_free(worker->server);
	worker->server = NULL;
	rig->crashes++;
	bsh_loop_timer_init(&worker->process_timer, &rig->loop, start_process,
			    worker);
	bsh_loop_timer_after(&worker->process_timer, 1000LL * rig->restart_ms);
}

/* The server is freed outside the callbacks of its requests. */
static void crash_worker(worker_t *worker)
{
	if (worker->has_ended)
		return;
	worker->has_ended = true;
	bsh_loop_timer_init(&worker->process_timer, &worker->rig->loop,
			    end_process, worker);
	bsh_loop_timer_after(&worker->process_timer, 0);
}

static uint32_t stream_events(const run_t *run)
{
	const worker_t *worker = run->worker;

	if (worker->rig->stream_length != NULL)
		return worker->rig->stream_length(run->began_by);
	return worker->stream_events > 0 ? worker->stream_events
					 : STREAM_EVENTS;
}

static int64_t event_gap_us(const run_t *run)
{
	const platform_rig_t *rig = run->worker->rig;

	return rig->stream_gap_us != NULL ? rig->stream_gap_us(run->began_by)
					  : EVENT_GAP_US;
}

static void on_run_timer(void *ctx)
{
	run_t *run = ctx;
	const worker_t *worker = run->worker;

	if (worker->mode == WORKER_NEVER_ANSWERS)
		return;
	if (run->crashes) {
		crash_worker(run->worker);
		return;
	}
	if (bsh_loop_clock_us() < worker->silent_until_us) {
		bsh_loop_timer_start(&run->timer, worker->silent_until_us);
		return;
	}
	/* A begun stream can no longer answer 500: sending one would end it as
	 * if it were complete. */
	if (worker->mode == WORKER_FAILS && run->header_sent) {
		bsh_http_response_abort(run->request);
		return;
	}
	if (worker->mode == WORKER_FAILS) {
		bsh_http_response_send(run->request, 500, "failed", 6);
		return;
	}
	if (worker->mode == WORKER_CLOSES_AFTER_RUN) {
		bsh_http_response_abort(run->request);
		return;
	}
	if (!run->stream) {
		run->ended = true;
		add_server_headers(run);
		if (worker->answer_bytes > 0) {
			char *body = g_malloc0(worker->answer_bytes);

			bsh_http_response_send(run->request, 200, body,
					       worker->answer_bytes);
			g_free(body);
			return;
		}
		bsh_http_response_send(run->request, 200, "done", 4);
		return;
	}
	if (worker->mode == WORKER_SENDS_HEAD_ONLY) {
		send_stream_header(run);
		return;
	}
	if (worker->mode == WORKER_STALLS && run->next_event >= 2)
		return;
	if (worker->mode == WORKER_DRIPS && run->next_event >= 2) {
		bsh_http_response_write(run->request, "x", 1);
		bsh_loop_timer_after(&run->timer, DRIP_INTERVAL_US);
		return;
	}
	if (worker->mode == WORKER_BREAKS_STREAM && run->next_event >= 2) {
		bsh_http_response_abort(run->request);
		return;
	}
	if (run->next_event >= stream_events(run)) {
		run->ended = true;
		bsh_http_response_end(run->request);
		return;
	}
	write_event(run);
	bsh_loop_timer_after(&run->timer, event_gap_us(run));
}

static void refuse(bsh_http_request_t *request, int status)
{
	const char *id =
		bsh_http_request_header(request, "Berylshunt-Request-Try-Id");

	if (id != NULL)
		bsh_http_response_add_header(request,
					     "Berylshunt-Request-Try-Id", id);
	bsh_http_response_add_header(request, "Berylshunt-Not-Executed", "1");
	bsh_http_response_send(request, status, "", 0);
}

static uint32_t open_runs(const worker_t *worker)
{
	const GPtrArray *runs = worker->rig->pending_runs;
	uint32_t n = 0;

	for (guint i = 0; i < runs->len; i++) {
		const run_t *run = g_ptr_array_index(runs, i);

		n += run->worker == worker && !run->ended;
	}
	return n;
}

/* Rejects a request for want of room; a brittle process ends under too many of
 * these in a second. */
static void reject(worker_t *worker, bsh_http_request_t *request)
{
	const GArray *at = worker->rejected_us;
	int64_t now_us = bsh_loop_clock_us();

	g_array_append_val(worker->rejected_us, now_us);
	add_brittle(worker, request);
	refuse(request, 503);
	if (worker->brittle == 0 || at->len <= worker->brittle ||
	    now_us - g_array_index(at, int64_t, at->len - 1 - worker->brittle) >
		    1000000)
		return;
	worker->falls += !worker->has_ended;
	crash_worker(worker);
}

/* Counts an execution of the attempt at the worker. */
static void record_run(const run_t *run)
{
	const worker_t *worker = run->worker;
	platform_rig_t *rig = worker->rig;
	uint32_t bit = 1U << (worker - rig->workers);
	guint runs = platform_rig_runs(rig, run->attempt) + 1;
	guint workers = platform_rig_run_workers(rig, run->attempt) | bit;

	g_hash_table_replace(rig->runs, g_strdup(run->attempt),
			     GUINT_TO_POINTER(runs));
	g_hash_table_replace(rig->run_workers, g_strdup(run->attempt),
			     GUINT_TO_POINTER(workers));
}

static void note_credentials(worker_t *worker,
			     const bsh_http_request_t *request)
{
	const char *account =
		bsh_http_request_header(request, "Berylshunt-Tenant");

	g_strlcpy(worker->account, account != NULL ? account : "",
		  sizeof(worker->account));
	worker->keys_seen +=
		bsh_http_request_header(request, "Authorization") != NULL;
}

static void start_run(worker_t *worker, bsh_http_request_t *request)
{
	static const bsh_http_request_handler_t handler = { on_run_done, NULL };
	platform_rig_t *rig = worker->rig;
	const char *id =
		bsh_http_request_header(request, "Berylshunt-Request-Try-Id");
	const char *model =
		bsh_http_request_header(request, "Berylshunt-Model");
	const char *after = bsh_http_request_header(request, "Last-Event-Id");
	const char *resumes = bsh_http_request_header(request, "Resumes");
	const char *prompt =
		bsh_http_request_header(request, "Berylshunt-Prompt-Prefix");
	bool crashes =
		(rig->crash_part != NULL && prompt != NULL &&
		 strstr(prompt, rig->crash_part) != NULL) ||
		g_strcmp0(bsh_http_request_path(request), rig->crash_path) == 0;
	int64_t now_us = bsh_loop_clock_us();
	run_t *run;

	rig->crash_part_runs += crashes;
	note_credentials(worker, request);
	g_array_append_val(worker->arrivals_us, now_us);

	if (worker->mode == WORKER_IS_FULL) {
		worker->refused++;
		if (worker->pause != NULL)
			bsh_http_response_add_header(request, "Retry-After",
						     worker->pause);
		refuse(request, 503);
		return;
	}
	if (model != NULL && json_object_get(worker->models, model) == NULL) {
		refuse(request, 421);
		return;
	}
	if (worker->places > 0 && open_runs(worker) >= worker->places) {
		reject(worker, request);
		return;
	}
	run = g_new0(run_t, 1);
	run->worker = worker;
	run->request = request;
	run->stream = model != NULL;
	run->crashes = crashes;
	run->began_us = now_us;
	run->next_event =
		after != NULL ? (uint32_t)g_ascii_strtoull(after, NULL, 10) : 0;
	g_strlcpy(run->attempt, id != NULL ? id : "", sizeof(run->attempt));
	g_strlcpy(run->began_by, resumes != NULL ? resumes : run->attempt,
		  sizeof(run->began_by));
	worker->runs++;
	record_run(run);
	if (rig->on_run != NULL)
		rig->on_run(rig->on_run_ctx, worker, run->attempt);
	bsh_loop_timer_init(&run->timer, &rig->loop, on_run_timer, run);
	g_ptr_array_add(rig->pending_runs, run);
	bsh_http_request_set_handler(request, &handler, run);
	bsh_loop_timer_after(&run->timer, 1000LL * worker->work_ms);
}

/* Counts orders that come less than the lease time after another holder's. */
static void record_holder(worker_t *worker, const char *holder)
{
	int64_t now_us = bsh_loop_clock_us();

	if (worker->holder[0] != '\0' && strcmp(worker->holder, holder) != 0 &&
	    now_us - worker->order_us < worker->rig->lease_ms * INT64_C(1000))
		worker->lease_overlaps++;
	g_strlcpy(worker->holder, holder, sizeof(worker->holder));
	worker->order_us = now_us;
}

/* Counts orders whose fencing token does not show that they are newer. */
static void record_fence(worker_t *worker, const char *holder, uint64_t fence)
{
	if (fence < worker->fence ||
	    (fence == worker->fence && strcmp(worker->holder, holder) != 0))
		worker->fence_reuses++;
	worker->fence = MAX(worker->fence, fence);
}

static void execute_order(worker_t *worker, bsh_http_request_t *request)
{
	size_t size;
	const char *text = bsh_http_request_body(request, &size);
	json_t *order = json_loadb(text, size, 0, NULL);
	const char *model = json_string_value(json_object_get(order, "model"));
	const char *op = json_string_value(json_object_get(order, "op"));
	bool load = g_strcmp0(op, "load") == 0;
	const char *holder =
		json_string_value(json_object_get(order, "holder"));
	json_int_t fence = json_integer_value(json_object_get(order, "fence"));

	record_fence(worker, holder, (uint64_t)fence);
	record_holder(worker, holder);
	if (json_integer_value(json_object_get(order, "expected")) !=
	    (json_int_t)worker->orders) {
		bsh_http_response_send(request, 409, "", 0);
	} else if ((json_object_get(worker->models, model) != NULL) == load) {
		bsh_http_response_send(request, 200, "", 0);
	} else {
		worker->orders++;
		if (load) {
			worker->loads++;
			json_object_set_new(worker->models, model,
					    json_array());
		} else {
			json_object_del(worker->models, model);
		}
		if (json_object_size(worker->models) * MODEL_MB >
		    worker->rig->weights_mb)
			worker->overloads++;
		bsh_http_response_send(request, 202, "", 0);
		platform_rig_publish_worker(worker, "ready");
	}
	json_decref(order);
}

static void on_worker_request(void *ctx, bsh_http_request_t *request)
{
	worker_t *worker = ctx;
	const char *path = bsh_http_request_path(request);
	const char *expect =
		bsh_http_request_header(request, "Berylshunt-Expect-Instance");

	if (expect != NULL && strcmp(expect, worker->id) != 0)
		refuse(request, 421);
	else if (strcmp(path, "/api/order") == 0)
		execute_order(worker, request);
	else if (strcmp(path, "/api/report") == 0)
		answer_json(request, 200,
			    json_pack("{s:o, s:b, s:I, s:I}", "models",
				      worker_models(worker), "busy", 0, "seq",
				      (json_int_t)worker->orders, "born",
				      (json_int_t)worker->started_ms));
	else
		start_run(worker, request);
}

worker_t *platform_rig_add_worker(platform_rig_t *rig, const char *service,
				  const char *model)
{
	worker_t *worker = &rig->workers[rig->n_workers++];

	g_assert_cmpuint(rig->n_workers, <=, RIG_WORKERS_MAX);
	worker->rig = rig;
	bsh_loop_timer_init(&worker->process_timer, &rig->loop, start_process,
			    worker);
	worker->arrivals_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	worker->rejected_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	worker->work_ms = 10;
	worker->started_ms = 1700000000000ULL + rig->n_workers;
	worker->models = json_object();
	if (model != NULL)
		json_object_set_new(worker->models, model, json_array());
	g_snprintf(worker->id, sizeof(worker->id), "i-%u", rig->n_workers);
	g_strlcpy(worker->service, service, sizeof(worker->service));
	g_strlcpy(worker->version, "v1", sizeof(worker->version));
	listen_worker(worker, "127.0.0.1:0");
	g_snprintf(worker->address, sizeof(worker->address), "127.0.0.1:%u",
		   bsh_http_server_port(worker->server));
	platform_rig_publish_worker(worker, "ready");
	return worker;
}

void platform_rig_silence_worker(worker_t *worker, uint32_t ms)
{
	worker->silent_until_us = bsh_loop_clock_us() + 1000LL * ms;
}

void platform_rig_restart_worker(worker_t *worker)
{
	for (guint i = worker->rig->pending_runs->len; i > 0; i--) {
		run_t *run =
			g_ptr_array_index(worker->rig->pending_runs, i - 1);

		if (run->worker == worker)
			bsh_http_response_abort(run->request);
	}
	json_object_clear(worker->models);
	worker->orders = 0;
	worker->started_ms++;
	platform_rig_publish_worker(worker, "ready");
}

/* Entry daemons. */

/* Kills the daemon when the test process dies. */
static void die_with_parent(void *ctx)
{
	(void)ctx;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void platform_rig_spawn(platform_rig_t *rig, rig_entry_t *entry)
{
	/* Entries of an earlier build beside those of this one, every second
	 * one, if this names its folder. */
	const char *other = g_getenv("BSH_OTHER_BUILD");
	bool is_other = other != NULL && (entry - rig->entries) % 2 == 1;
	const char *build = is_other ? other : g_getenv("BSH_BUILD");
	const char *show_output = g_getenv("BSH_RIG_LOG");
	g_autofree char *program = g_build_filename(
		build != NULL ? build : "build", "bshentryd", NULL);
	char *argv[] = { program, (char *)"-c", entry->settings_path, NULL };
	GSpawnFlags flags = G_SPAWN_DO_NOT_REAP_CHILD;
	GError *error = NULL;
	int out = -1;

	if (show_output == NULL && entry->log_path == NULL) {
		flags |= G_SPAWN_STDOUT_TO_DEV_NULL;
	} else if (show_output == NULL) {
		out = open(entry->log_path,
			   O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
		g_assert_cmpint(out, >=, 0);
	}
	g_spawn_async_with_fds(NULL, argv, NULL, flags, die_with_parent, NULL,
			       &entry->pid, -1, out, -1, &error);
	g_assert_no_error(error);
	if (out >= 0)
		close(out);
	entry->alive = true;
	entry->sent_signals = 0;
	entry->stopped = false;
}

const uint8_t platform_rig_key[32] = { [31] = 7 };

static void write_settings(rig_entry_t *entry, const char *store_address,
			   uint32_t lease_ms, uint32_t grace_s,
			   const char *further)
{
	g_autofree char *text = g_strdup_printf(
		"[instance]\nname=%s\nzone=z1\n[security]\nkey=%064d\n"
		"[store]\naddress=%s\n[router]\nlisten=%s\nadmin=%s\n"
		"[control]\nlisten=%s\nlink=%s\ngossip=%s:%u\n"
		"[entry]\nready=%s\ngrace_s=%u\norder_lease_ms=%u\n"
		"order_start_ms=0\nseed_loads=0\n"
		"[timing]\nprobe_period_ms=200\n%s",
		entry->name, platform_rig_key[sizeof(platform_rig_key) - 1],
		store_address, entry->front, entry->metrics, entry->directory,
		entry->directory, loopback_ip(), loopback_free_port(),
		entry->ready, grace_s, lease_ms,
		further != NULL ? further : "");
	int fd = g_file_open_tmp("bsh-entry-XXXXXX", &entry->settings_path,
				 NULL);

	g_assert_cmpint(fd, >=, 0);
	close(fd);
	entry->log_path = g_strconcat(entry->settings_path, ".log", NULL);
	g_assert_true(
		g_file_set_contents(entry->settings_path, text, -1, NULL));
}

uint32_t platform_rig_count(const platform_rig_t *rig, const char *kind)
{
	g_autofree char *prefix = g_strconcat(kind, "/", NULL);
	GHashTableIter iter;
	void *key;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, rig->objects);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		n += g_str_has_prefix(key, prefix);
	return n;
}

static rig_entry_t *add_entry(platform_rig_t *rig, const char *store_address)
{
	rig_entry_t *entry = &rig->entries[rig->n_entries++];
	char *const addresses[] = { entry->front, entry->ready,
				    entry->directory, entry->metrics };

	g_assert_cmpuint(rig->n_entries, <=, RIG_ENTRIES_MAX);
	g_snprintf(entry->name, sizeof(entry->name), "entry-%u",
		   rig->n_entries);
	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++)
		g_snprintf(addresses[i], sizeof(entry->front), "%s:%u",
			   loopback_ip(), loopback_free_port());
	write_settings(entry, store_address, rig->lease_ms,
		       rig->grace_s > 0 ? rig->grace_s : 3, rig->settings);
	platform_rig_spawn(rig, entry);
	return entry;
}

rig_entry_t *platform_rig_add_entry(platform_rig_t *rig)
{
	return add_entry(rig, rig->store_address);
}

uint16_t platform_rig_start_far_store(platform_rig_t *rig)
{
	bsh_http_server_config_t config = { .address = "127.0.0.1:0",
					    SERVER_LIMITS,
					    .on_request = on_store_request,
					    .ctx = rig };

	g_assert_cmpint(
		bsh_http_server_new(&rig->far_store, &rig->loop, &config), ==,
		BSH_OK);
	g_snprintf(rig->far_store_address, sizeof(rig->far_store_address),
		   "127.0.0.1:%u", bsh_http_server_port(rig->far_store));
	g_strlcpy(rig->far_host, rig->far_store_address, sizeof(rig->far_host));
	for (; rig->n_far_relays < rig->n_workers; rig->n_far_relays++)
		relay_init(&rig->far_relays[rig->n_far_relays], &rig->loop,
			   bsh_http_server_port(
				   rig->workers[rig->n_far_relays].server));
	return bsh_http_server_port(rig->far_store);
}

rig_entry_t *platform_rig_add_far_entry(platform_rig_t *rig)
{
	if (rig->far_store == NULL)
		platform_rig_start_far_store(rig);
	return add_entry(rig, rig->far_store_address);
}

void platform_rig_cut(platform_rig_t *rig, rig_cut_t cut)
{
	for (uint32_t i = 0; i < rig->n_far_relays; i++) {
		relay_set_hanging(&rig->far_relays[i], cut == RIG_CUT_HANGS);
		relay_set_refusing(&rig->far_relays[i], cut == RIG_CUT_REFUSES);
	}
}

void platform_rig_signal(rig_entry_t *entry, int number)
{
	entry->sent_signals |= UINT64_C(1) << number;
	kill(entry->pid, number);
}

static void print_last_lines(const rig_entry_t *entry)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	guint n;

	if (!g_file_get_contents(entry->log_path, &text, NULL, NULL))
		return;
	lines = g_strsplit(text, "\n", -1);
	n = g_strv_length(lines);
	for (guint i = n > LAST_LINES ? n - LAST_LINES : 0; i < n; i++)
		g_printerr("%s\n", lines[i]);
	g_printerr("log of %s: %s\n", entry->name, entry->log_path);
}

static bool was_sent(const rig_entry_t *entry, int number)
{
	return (entry->sent_signals >> number & 1) != 0;
}

static void check_end(platform_rig_t *rig, rig_entry_t *entry)
{
	int number = WIFSIGNALED(entry->status) ? WTERMSIG(entry->status) : 0;
	int code = WIFEXITED(entry->status) ? WEXITSTATUS(entry->status) : 0;

	/* Without a log, the entry is the caller's own, and so are its signals. */
	if (entry->log_path == NULL ||
	    (number != 0 ? was_sent(entry, number)
			 : code == 0 && was_sent(entry, SIGTERM)))
		return;
	rig->unexpected_ends++;
	entry->keep_log = true;
	g_printerr("process-ended instance=%s signal=%d status=%d\n",
		   entry->name, number, code);
	print_last_lines(entry);
}

void platform_rig_reap(platform_rig_t *rig)
{
	for (uint32_t i = 0; i < rig->n_entries; i++) {
		rig_entry_t *entry = &rig->entries[i];

		if (entry->pid != 0 && waitpid(entry->pid, &entry->status,
					       WNOHANG) == entry->pid) {
			entry->pid = 0;
			entry->alive = false;
			check_end(rig, entry);
		}
	}
}

/* Callers. */

static void on_reply_header(void *ctx, const char *name, size_t name_size,
			    const char *value, size_t value_size)
{
	rig_reply_t *reply = ctx;

	if (name_size == 11 &&
	    g_ascii_strncasecmp(name, "Retry-After", 11) == 0)
		reply->retry_after = g_strndup(value, value_size);
}

static void on_reply_data(void *ctx, const char *data, size_t size)
{
	rig_reply_t *reply = ctx;

	g_string_append_len(reply->received, data, (gssize)size);
}

static void on_reply_end(void *ctx, const bsh_http_result_t *result)
{
	rig_reply_t *reply = ctx;

	reply->call = NULL;
	reply->done = true;
	reply->status = result->status;
	reply->sent = result->sent;
	reply->complete = result->err == BSH_OK;
	reply->body = g_string_free(reply->received, FALSE);
	reply->received = NULL;
	reply->took_us = bsh_loop_clock_us() - reply->took_us;
}

/* Adds the header unless value is NULL. */
static void add_header(GPtrArray *headers, const char *name, const char *value)
{
	if (value != NULL)
		g_ptr_array_add(headers,
				g_strdup_printf("%s: %s", name, value));
}

void platform_rig_start(platform_rig_t *rig, const rig_request_t *request,
			rig_reply_t *reply)
{
	static const bsh_http_handler_t handler = { .on_header =
							    on_reply_header,
						    .on_data = on_reply_data,
						    .on_end = on_reply_end };
	bsh_http_client_t *client =
		request->client != NULL ? request->client : rig->client;
	g_autofree char *url =
		g_strdup_printf("http://%s%s", request->address, request->path);
	g_autofree char *deadline = g_strdup_printf("%u", request->deadline_ms);
	g_autofree char *after =
		request->last_event_id > 0
			? g_strdup_printf("%u", request->last_event_id)
			: NULL;
	g_autoptr(GPtrArray) headers = g_ptr_array_new_with_free_func(g_free);
	bool has_body = !g_str_has_prefix(request->path, "/api/") &&
			!g_str_has_prefix(request->path, "/look/");
	bsh_http_call_spec_t spec = { .method = has_body ? "POST" : "GET",
				      .url = url,
				      .body = has_body ? "x" : NULL,
				      .body_size = has_body ? 1 : 0,
				      .idle_timeout_ms = 20000,
				      .fresh_connection =
					      request->client == NULL };

	add_header(headers, "Host", RIG_HOST);
	add_header(headers, "Berylshunt-Request-Try-Id", request->id);
	add_header(headers, "Berylshunt-Deadline-Ms", deadline);
	add_header(headers, "Berylshunt-Model", request->model);
	add_header(headers, "Last-Event-Id", after);
	add_header(headers, "Resumes", request->began_by);
	add_header(headers, "Berylshunt-Prompt-Prefix", request->prompt);
	add_header(headers, BSH_RELAY_HEADER, request->relay_mark);
	add_header(headers, BSH_RELAY_VERSION_HEADER, request->relay_version);
	add_header(headers, "Authorization", request->authorization);
	add_header(headers, "Berylshunt-Tenant", request->claimed_account);
	add_header(headers, "Berylshunt-Token-Usage", request->tokens);
	g_ptr_array_add(headers, NULL);
	spec.headers = (const char *const *)headers->pdata;
	memset(reply, 0, sizeof(*reply));
	reply->took_us = bsh_loop_clock_us();
	reply->received = g_string_new(NULL);
	g_assert_cmpint(bsh_http_client_start(client, &spec, &handler, reply,
					      &reply->call),
			==, BSH_OK);
}

void platform_rig_resume(platform_rig_t *rig, const char *address,
			 const char *path, const char *id, const char *model,
			 uint32_t deadline_ms, uint32_t last_event_id,
			 const char *began_by, rig_reply_t *reply)
{
	rig_request_t request = { .address = address,
				  .path = path,
				  .id = id,
				  .model = model,
				  .deadline_ms = deadline_ms,
				  .last_event_id = last_event_id,
				  .began_by = began_by };

	platform_rig_start(rig, &request, reply);
}

void platform_rig_send(platform_rig_t *rig, const char *address,
		       const char *path, const char *id, const char *model,
		       uint32_t deadline_ms, rig_reply_t *reply)
{
	platform_rig_resume(rig, address, path, id, model, deadline_ms, 0, NULL,
			    reply);
}

void platform_rig_reply_clear(rig_reply_t *reply)
{
	if (reply->call != NULL)
		bsh_http_call_cancel(reply->call);
	if (reply->received != NULL)
		g_string_free(reply->received, TRUE);
	g_free(reply->body);
	g_free(reply->retry_after);
	memset(reply, 0, sizeof(*reply));
}

/* Ends the test, also where other assertions let it go on. */
static void check_wait(int64_t until_us)
{
	if (bsh_loop_clock_us() >= until_us)
		g_error("waited for more than %d ms", WAIT_TIMEOUT_MS);
}

static void step(platform_rig_t *rig)
{
	bsh_loop_step(&rig->loop, STEP_US);
	serve_watches(rig);
	platform_rig_reap(rig);
}

void platform_rig_run(platform_rig_t *rig, int64_t ms)
{
	int64_t until_us = bsh_loop_clock_us() + ms * 1000;

	while (bsh_loop_clock_us() < until_us)
		step(rig);
}

void platform_rig_wait(platform_rig_t *rig, const bool *flag)
{
	int64_t until_us =
		bsh_loop_clock_us() + WAIT_TIMEOUT_MS * INT64_C(1000);

	while (!*flag) {
		check_wait(until_us);
		step(rig);
	}
}

void platform_rig_wait_ready(platform_rig_t *rig, rig_entry_t *entry)
{
	int64_t until_us =
		bsh_loop_clock_us() + WAIT_TIMEOUT_MS * INT64_C(1000);
	int status = 0;

	while (status != 200) {
		rig_reply_t reply;

		check_wait(until_us);
		platform_rig_send(rig, entry->ready, "/api/ready", "r", NULL,
				  1000, &reply);
		platform_rig_wait(rig, &reply.done);
		status = reply.status;
		platform_rig_reply_clear(&reply);
		if (status != 200)
			platform_rig_run(rig, 1);
	}
}

uint32_t platform_rig_runs(const platform_rig_t *rig, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(rig->runs, id));
}

uint32_t platform_rig_run_workers(const platform_rig_t *rig, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(rig->run_workers, id));
}

uint32_t platform_rig_event_versions(const platform_rig_t *rig,
				     const char *attempt, uint32_t event)
{
	g_autofree char *key = g_strdup_printf("%s/%u", attempt, event);

	return GPOINTER_TO_UINT(g_hash_table_lookup(rig->event_versions, key));
}

void platform_rig_init(platform_rig_t *rig)
{
	bsh_http_server_config_t config = { .address = "127.0.0.1:0",
					    SERVER_LIMITS,
					    .on_request = on_store_request,
					    .ctx = rig };

	memset(rig, 0, sizeof(*rig));
	apr_initialize();
	signal(SIGPIPE, SIG_IGN);
	g_assert_cmpint(bsh_loop_init(&rig->loop), ==, BSH_OK);
	rig->client = bsh_http_client_new(&rig->loop, IDLE_CONNECTIONS_MAX);
	rig->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)json_decref);
	rig->events = g_array_new(FALSE, TRUE, sizeof(event_t));
	g_array_set_clear_func(rig->events, free_event);
	rig->watches = g_ptr_array_new();
	rig->pending_runs = g_ptr_array_new();
	rig->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rig->run_workers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rig->stream_versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rig->event_versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rig->versions = g_ptr_array_new_with_free_func(g_free);
	rig->lease_ms = 1000;
	rig->weights_mb = 2 * MODEL_MB;
	g_assert_cmpint(bsh_http_server_new(&rig->store, &rig->loop, &config),
			==, BSH_OK);
	g_snprintf(rig->store_address, sizeof(rig->store_address),
		   "127.0.0.1:%u", bsh_http_server_port(rig->store));
}

void platform_rig_finish(platform_rig_t *rig)
{
	platform_rig_reap(rig);
	for (uint32_t i = 0; i < rig->n_entries; i++) {
		rig_entry_t *entry = &rig->entries[i];

		if (entry->pid != 0) {
			platform_rig_signal(entry, SIGKILL);
			waitpid(entry->pid, &entry->status, 0);
			check_end(rig, entry);
		}
		unlink(entry->settings_path);
		if (entry->log_path != NULL && !entry->keep_log)
			unlink(entry->log_path);
		g_free(entry->settings_path);
		g_free(entry->log_path);
	}
	for (uint32_t i = 0; i < rig->n_far_relays; i++)
		relay_finish(&rig->far_relays[i]);
	if (rig->far_store != NULL)
		bsh_http_server_free(rig->far_store);
	bsh_http_server_free(rig->store);
	for (uint32_t i = 0; i < rig->n_workers; i++) {
		bsh_loop_timer_stop(&rig->workers[i].process_timer);
		if (rig->workers[i].server != NULL)
			bsh_http_server_free(rig->workers[i].server);
		g_array_free(rig->workers[i].arrivals_us, TRUE);
		g_array_free(rig->workers[i].rejected_us, TRUE);
		json_decref(rig->workers[i].models);
	}
	bsh_http_client_free(rig->client);
	g_array_free(rig->events, TRUE);
	g_ptr_array_free(rig->watches, TRUE);
	g_ptr_array_free(rig->pending_runs, TRUE);
	g_hash_table_destroy(rig->objects);
	g_hash_table_destroy(rig->runs);
	g_hash_table_destroy(rig->run_workers);
	g_hash_table_destroy(rig->stream_versions);
	g_hash_table_destroy(rig->event_versions);
	g_ptr_array_free(rig->versions, TRUE);
	bsh_loop_finish(&rig->loop);
	/* Ends the program, so that no list of known failures hides it. */
	if (rig->unexpected_ends > 0)
		g_error("%u instances ended by themselves",
			rig->unexpected_ends);
}
