#include "stand.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SLOTS	       64
#define WEIGHTS_MB     200000
#define MODEL_MB       72700
#define IDLE_TIMEOUT_S 60
#define TEMPLATE       "deploy/berylshunt.conf.in"

typedef struct {
	stand_engine_t *engine;
	stand_order_t order;
	bsh_loop_timer_t timer;
	bool done;
} late_order_t;

/* A request whose answer waits until the engine goes on. */
typedef struct {
	stand_engine_t *engine;
	bsh_http_request_t *request;
	bsh_loop_timer_t timer;
	bool stream;
	uint32_t next_event;
	uint32_t n_events;
	uint32_t gap_ms;
	bool begun;
	char attempt[80];
	char model[32]; /* that it runs on */
} answer_t;

static void fail(const char *what)
{
	fprintf(stderr, "case cannot run: %s\n", what);
	exit(2);
}

int64_t stand_now_ms(const stand_t *stand)
{
	return (bsh_loop_clock_us() - stand->began_us) / 1000;
}

void stand_log(stand_t *stand, const char *fmt, ...)
{
	va_list ap;

	fprintf(stand->record, "%7.3f s  ",
		(double)stand_now_ms(stand) / 1000.0);
	va_start(ap, fmt);
	vfprintf(stand->record, fmt, ap);
	va_end(ap);
	fputc('\n', stand->record);
	fflush(stand->record);
}

/* Entries and models of engines. */

static json_t *models_of(const stand_engine_t *engine)
{
	json_t *list = json_array();
	const char *name;
	json_t *adapters;

	json_object_foreach(engine->models, name, adapters)
	{
		json_array_append_new(list, json_pack("{s:s, s:i, s:O}", "name",
						      name, "version", 1,
						      "adapters", adapters));
	}
	return list;
}

/* Each load leaves copies in memory and on disk. */
static json_t *at_hand(const stand_engine_t *engine)
{
	return json_pack("{s:O, s:O}", "inMemory", engine->copies, "onDisk",
			 engine->copies);
}

static void add_copy(stand_engine_t *engine, const char *model)
{
	const json_t *copy;
	size_t i;

	json_array_foreach(engine->copies, i, copy)
	{
		if (strcmp(json_string_value(copy), model) == 0)
			return;
	}
	json_array_append_new(engine->copies, json_string(model));
}

static void publish(stand_engine_t *engine)
{
	json_t *spec = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:o, s:o, s:I, s:I}",
		"service", engine->service, "address", engine->address, "zone",
		engine->zone, "version", engine->version, "slots", SLOTS,
		"state", engine->leaving ? "draining" : "ready",
		"coldRemainingMs", 0, "models", models_of(engine), "atHand",
		at_hand(engine), "born", (json_int_t)engine->started_ms, "seq",
		(json_int_t)++engine->beats);

	platform_rig_write(&engine->stand->rig, "servers", engine->id, spec);
}

static void on_beat(void *ctx)
{
	stand_engine_t *engine = ctx;

	publish(engine);
	bsh_loop_timer_after(&engine->beat_timer,
			     STAND_HEARTBEAT_MS * INT64_C(1000));
}

static void on_loaded(void *ctx)
{
	stand_engine_t *engine = ctx;

	json_object_set_new(engine->models, engine->loading, json_array());
	add_copy(engine, engine->loading);
	stand_log(engine->stand, "engine %s has loaded %s", engine->id,
		  engine->loading);
	engine->loading[0] = '\0';
	publish(engine);
}

static bool is_busy(const stand_engine_t *engine)
{
	return engine->loading[0] != '\0' || engine->unloading[0] != '\0';
}

/* An unload waits for the runs of its model. */
static void end_unload(stand_engine_t *engine)
{
	if (engine->unloading[0] == '\0' ||
	    GPOINTER_TO_UINT(
		    g_hash_table_lookup(engine->runs, engine->unloading)) > 0)
		return;
	json_object_del(engine->models, engine->unloading);
	engine->unloading[0] = '\0';
	publish(engine);
}

static void count_run(stand_engine_t *engine, const char *model, int change)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(engine->runs, model));

	g_hash_table_replace(engine->runs, g_strdup(model),
			     GUINT_TO_POINTER(n + (guint)change));
	end_unload(engine);
}

static void note_load(stand_engine_t *engine)
{
	size_t n = json_object_size(engine->models) + 1;

	if (n * MODEL_MB <= WEIGHTS_MB)
		return;
	engine->overloads++;
	stand_log(engine->stand,
		  "engine %s is ordered to hold %zu models of %d MB, and has "
		  "room for %d MB",
		  engine->id, n, MODEL_MB, WEIGHTS_MB);
}

/* Carries the order out; returns the status of the answer. */
static int execute(stand_engine_t *engine, const stand_order_t *order)
{
	bool holds = json_object_get(engine->models, order->model) != NULL;

	if (order->expected != engine->orders || is_busy(engine))
		return 409;
	if (holds == order->load)
		return 200;
	engine->orders++;
	if (!order->load) {
		g_strlcpy(engine->unloading, order->model,
			  sizeof(engine->unloading));
		end_unload(engine);
		return 202;
	}
	note_load(engine);
	g_strlcpy(engine->loading, order->model, sizeof(engine->loading));
	bsh_loop_timer_after(&engine->load_timer,
			     engine->stand->load_ms * INT64_C(1000));
	return 202;
}

static void on_late(void *ctx)
{
	late_order_t *late = ctx;
	int status = execute(late->engine, &late->order);

	late->done = true;
	stand_log(late->engine->stand,
		  "engine %s carries out late: %s %s expected=%u -> %d",
		  late->engine->id, late->order.load ? "load" : "unload",
		  late->order.model, (unsigned)late->order.expected, status);
}

static void copy(char *out, size_t size, const json_t *body, const char *key)
{
	const char *text = json_string_value(json_object_get(body, key));

	g_strlcpy(out, text != NULL ? text : "", size);
}

static void on_unanswered_done(void *ctx, bool delivered)
{
	(void)ctx;
	(void)delivered;
}

static void receive_order(stand_engine_t *engine, bsh_http_request_t *request)
{
	static const bsh_http_request_handler_t handler = { on_unanswered_done,
							    NULL };
	stand_t *stand = engine->stand;
	stand_order_t order = { .at_ms = stand_now_ms(stand) };
	size_t size;
	const char *text = bsh_http_request_body(request, &size);
	json_t *body = json_loadb(text, size, 0, NULL);
	const char *op = json_string_value(json_object_get(body, "op"));
	uint32_t late_ms;
	int status;

	g_strlcpy(order.engine, engine->id, sizeof(order.engine));
	copy(order.holder, sizeof(order.holder), body, "holder");
	copy(order.model, sizeof(order.model), body, "model");
	copy(order.adapter, sizeof(order.adapter), body, "adapter");
	order.load = g_strcmp0(op, "load") == 0;
	order.fence =
		(uint64_t)json_integer_value(json_object_get(body, "fence"));
	order.expected =
		(uint64_t)json_integer_value(json_object_get(body, "expected"));
	json_decref(body);
	late_ms = order.load && engine->late_loads_ms > 0
			  ? engine->late_loads_ms
			  : engine->late_ms;
	if (late_ms > 0) {
		late_order_t *late = g_new0(late_order_t, 1);

		g_strlcpy(order.result, "unanswered", sizeof(order.result));
		late->engine = engine;
		late->order = order;
		bsh_loop_timer_init(&late->timer, &stand->rig.loop, on_late,
				    late);
		bsh_loop_timer_after(&late->timer, late_ms * INT64_C(1000));
		g_ptr_array_add(engine->late, late);
		bsh_http_request_set_handler(request, &handler, engine);
	} else {
		status = execute(engine, &order);
		g_snprintf(order.result, sizeof(order.result), "%d", status);
		bsh_http_response_send(request, status, "", 0);
	}
	g_array_append_val(stand->orders, order);
	stand_log(stand,
		  "order at %s from holder %s fence=%" G_GUINT64_FORMAT
		  " %s %s%s%s expected=%u: %s (holder in the store: %s)",
		  order.engine, order.holder, order.fence,
		  order.load ? "load" : "unload", order.model,
		  order.adapter[0] != '\0' ? "/" : "", order.adapter,
		  (unsigned)order.expected, order.result, stand_holder(stand));
}

/* Answers to requests and reports. */

static void free_answer(void *ctx, bool delivered)
{
	answer_t *answer = ctx;

	(void)delivered;
	bsh_loop_timer_stop(&answer->timer);
	if (answer->stream)
		count_run(answer->engine, answer->model, -1);
	g_free(answer);
}

static void send_report(const answer_t *answer)
{
	const stand_engine_t *engine = answer->engine;
	json_t *body = json_pack(
		"{s:s, s:o, s:o, s:b, s:I, s:i, s:i, s:i, s:i, s:i, s:I}",
		"stage", "colocated", "models", models_of(engine), "atHand",
		at_hand(engine), "busy", is_busy(engine), "seq",
		(json_int_t)engine->orders, "queued", 0, "inFlight", 0,
		"kvUsed", 0, "kvTotal", 250000, "handles", 0, "born",
		(json_int_t)engine->started_ms);
	char *text = json_dumps(body, JSON_COMPACT);

	stand_log(engine->stand, "engine %s sends a report: seq=%u busy=%d",
		  engine->id, (unsigned)engine->orders, is_busy(engine));
	bsh_http_response_add_header(answer->request, "Content-Type",
				     "application/json");
	bsh_http_response_send(answer->request, 200, text, strlen(text));
	free(text);
	json_decref(body);
}

static void add_server_headers(const answer_t *answer)
{
	bsh_http_response_add_header(answer->request, "Berylshunt-Server-Seal",
				     answer->engine->id);
	bsh_http_response_add_header(
		answer->request, "Berylshunt-Request-Try-Id", answer->attempt);
}

static void send_event(answer_t *answer)
{
	char event[64];
	int size;

	if (!answer->begun) {
		add_server_headers(answer);
		bsh_http_response_add_header(answer->request, "Content-Type",
					     "text/event-stream");
		bsh_http_response_begin(answer->request, 200, -1);
		answer->begun = true;
	}
	if (answer->next_event >= answer->n_events) {
		bsh_http_response_end(answer->request);
		return;
	}
	answer->next_event++;
	size = g_snprintf(event, sizeof(event), "id: %u\ndata: e%u %s\n\n",
			  answer->next_event, answer->next_event,
			  answer->engine->version);
	bsh_http_response_write(answer->request, event, (size_t)size);
	bsh_loop_timer_after(&answer->timer, answer->gap_ms * INT64_C(1000));
}

static void on_answer_timer(void *ctx)
{
	answer_t *answer = ctx;

	if (bsh_loop_clock_us() < answer->engine->silent_until_us)
		bsh_loop_timer_start(&answer->timer,
				     answer->engine->silent_until_us);
	else if (answer->stream)
		send_event(answer);
	else
		send_report(answer);
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

/* model: of the stream; NULL: a report. */
static void begin_answer(stand_engine_t *engine, bsh_http_request_t *request,
			 const char *model)
{
	bool stream = model != NULL;
	static const bsh_http_request_handler_t handler = { free_answer, NULL };
	const char *id =
		bsh_http_request_header(request, "Berylshunt-Request-Try-Id");
	const char *after = bsh_http_request_header(request, "Last-Event-Id");
	answer_t *answer = g_new0(answer_t, 1);

	answer->engine = engine;
	answer->request = request;
	answer->stream = stream;
	answer->n_events = engine->n_events;
	answer->gap_ms = engine->gap_ms;
	answer->next_event =
		after != NULL ? (uint32_t)g_ascii_strtoull(after, NULL, 10) : 0;
	g_strlcpy(answer->attempt, id != NULL ? id : "",
		  sizeof(answer->attempt));
	g_strlcpy(answer->model, stream ? model : "", sizeof(answer->model));
	bsh_http_request_set_handler(request, &handler, answer);
	bsh_loop_timer_init(&answer->timer, &engine->stand->rig.loop,
			    on_answer_timer, answer);
	bsh_loop_timer_after(&answer->timer,
			     stream ? engine->work_ms * INT64_C(1000) : 0);
	if (!stream)
		return;
	count_run(engine, model, 1);
	stand_log(engine->stand, "engine %s runs %s after event %u", engine->id,
		  answer->attempt, answer->next_event);
}

static void on_request(void *ctx, bsh_http_request_t *request)
{
	stand_engine_t *engine = ctx;
	const char *path = bsh_http_request_path(request);
	const char *expect =
		bsh_http_request_header(request, "Berylshunt-Expect-Instance");
	const char *model =
		bsh_http_request_header(request, "Berylshunt-Model");

	if (expect != NULL && strcmp(expect, engine->id) != 0)
		refuse(request, 421);
	else if (strcmp(path, "/api/order") == 0)
		receive_order(engine, request);
	else if (strcmp(path, "/api/report") == 0)
		begin_answer(engine, request, NULL);
	else if (model == NULL || strcmp(model, engine->unloading) == 0 ||
		 json_object_get(engine->models, model) == NULL)
		refuse(request, 421);
	else
		begin_answer(engine, request, model);
}

static void listen_engine(stand_engine_t *engine, const char *address)
{
	bsh_http_server_config_t config = { .address = address,
					    .max_connections = 360,
					    .idle_timeout_s = IDLE_TIMEOUT_S,
					    .body_max_bytes = 1 << 20,
					    .on_request = on_request,
					    .ctx = engine };

	if (bsh_http_server_new(&engine->server, &engine->stand->rig.loop,
				&config) != BSH_OK)
		fail("an engine cannot listen");
}

static void on_started_again(void *ctx)
{
	stand_engine_t *engine = ctx;

	engine->started_ms = (uint64_t)(g_get_real_time() / 1000);
	listen_engine(engine, engine->address);
	stand_log(engine->stand, "engine %s has started again, empty, as %s",
		  engine->id, engine->version);
	on_beat(engine);
}

static void end_process(stand_engine_t *engine, uint32_t down_ms)
{
	bsh_http_server_free(engine->server);
	engine->server = NULL;
	bsh_loop_timer_stop(&engine->beat_timer);
	bsh_loop_timer_stop(&engine->load_timer);
	json_object_clear(engine->models);
	g_hash_table_remove_all(engine->runs);
	engine->loading[0] = '\0';
	engine->unloading[0] = '\0';
	engine->orders = 0;
	bsh_loop_timer_init(&engine->start_timer, &engine->stand->rig.loop,
			    on_started_again, engine);
	bsh_loop_timer_after(&engine->start_timer, down_ms * INT64_C(1000));
}

void stand_crash_engine(stand_engine_t *engine, uint32_t down_ms)
{
	stand_log(engine->stand, "engine %s crashes", engine->id);
	end_process(engine, down_ms);
}

static void on_drained(void *ctx)
{
	stand_engine_t *engine = ctx;
	worker_t entry = { .rig = &engine->stand->rig };

	stand_log(engine->stand, "engine %s has left", engine->id);
	engine->leaving = false;
	g_strlcpy(engine->version, engine->next_version,
		  sizeof(engine->version));
	end_process(engine, engine->down_ms);
	g_strlcpy(entry.id, engine->id, sizeof(entry.id));
	platform_rig_remove_worker(&entry);
}

void stand_replace_engine(stand_engine_t *engine, const char *version,
			  uint32_t drain_ms, uint32_t down_ms)
{
	stand_log(engine->stand, "engine %s drains, to be replaced by %s",
		  engine->id, version);
	engine->leaving = true;
	engine->down_ms = down_ms;
	g_strlcpy(engine->next_version, version, sizeof(engine->next_version));
	publish(engine);
	bsh_loop_timer_init(&engine->start_timer, &engine->stand->rig.loop,
			    on_drained, engine);
	bsh_loop_timer_after(&engine->start_timer, drain_ms * INT64_C(1000));
}

stand_engine_t *stand_add_engine(stand_t *stand, const char *service,
				 const char *const *models)
{
	stand_engine_t *engine = &stand->engines[stand->n_engines++];
	if (stand->n_engines > STAND_ENGINES_MAX)
		fail("too many engines");
	engine->stand = stand;
	engine->models = json_object();
	engine->copies = json_array();
	for (; models != NULL && *models != NULL; models++) {
		json_object_set_new(engine->models, *models, json_array());
		add_copy(engine, *models);
	}
	engine->started_ms = (uint64_t)(g_get_real_time() / 1000);
	engine->late = g_ptr_array_new_with_free_func(g_free);
	engine->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	engine->work_ms = 20;
	engine->gap_ms = 20;
	engine->n_events = 10;
	g_snprintf(engine->id, sizeof(engine->id), "i-%08x",
		   stand->n_engines * 0x1f3a91c2U);
	g_strlcpy(engine->service, service, sizeof(engine->service));
	g_strlcpy(engine->version, "v1", sizeof(engine->version));
	g_snprintf(engine->zone, sizeof(engine->zone), "zone-%c",
		   'a' + (char)((stand->n_engines - 1) % 3));
	bsh_loop_timer_init(&engine->start_timer, &stand->rig.loop,
			    on_started_again, engine);
	listen_engine(engine, "127.0.0.1:0");
	g_snprintf(engine->address, sizeof(engine->address), "127.0.0.1:%u",
		   bsh_http_server_port(engine->server));
	bsh_loop_timer_init(&engine->beat_timer, &stand->rig.loop, on_beat,
			    engine);
	bsh_loop_timer_init(&engine->load_timer, &stand->rig.loop, on_loaded,
			    engine);
	on_beat(engine);
	return engine;
}

/* Configuration. */

char *stand_route(const char *name, const char *kind, const char *service,
		  uint32_t max_attempts, bool resumable, uint32_t timeout_ms,
		  uint32_t aim_ms)
{
	return g_strdup_printf(
		"{\"name\":\"%s\",\"host\":\"" RIG_HOST
		"\",\"pathPrefix\":\"/%s/\",\"kind\":\"%s\",\"service\":\"%s\","
		"\"maxAttempts\":%u,\"resumable\":%s,\"timeoutMs\":%u,"
		"\"targetLatencyMs\":%u,\"gapAimMs\":400,\"priority\":0,"
		"\"sticky\":true}",
		name, name, kind, service, max_attempts,
		resumable ? "true" : "false", timeout_ms, aim_ms);
}

char *stand_service(const stand_t *stand, const char *name, uint32_t first,
		    uint32_t n_models)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(
		text,
		"{\"name\":\"%s\",\"engine\":{\"slots\":%d,"
		"\"kvCapacity\":251514,\"weightsMb\":%d,\"adapterSlots\":8,"
		"\"loadsPerS\":3.3,\"models\":[",
		name, SLOTS, WEIGHTS_MB);
	for (uint32_t i = 0; i < n_models; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"m%u\",\"weightsMb\":%d,\"loadS\":%.2f,"
			"\"adapters\":0,\"adapterMb\":66}",
			i > 0 ? "," : "", first + i, MODEL_MB,
			stand->load_ms / 1000.0);
	g_string_append(text, "]}}");
	return g_string_free(text, FALSE);
}

void stand_configure(stand_t *stand, const char *routes, const char *services)
{
	g_autofree char *text = g_strdup_printf(
		"{\"version\":%u,\"routes\":[%s],\"services\":[%s],"
		"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
		"\"headerTimeoutMs\":10000,\"idleTimeoutMs\":60000}}",
		++stand->rig.version, routes, services);
	json_t *spec = json_loads(text, 0, NULL);

	if (spec == NULL)
		fail("the configuration is no JSON");
	platform_rig_write(&stand->rig, "config", "main", spec);
	stand_log(stand, "configuration %u: services %s", stand->rig.version,
		  services);
}

/* Instances. */

static uint16_t any_port(const char *ip)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, ip, &address.sin_addr);
	if (fd < 0 || bind(fd, (struct sockaddr *)&address, size) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &size) != 0)
		fail("no free port");
	close(fd);
	return ntohs(address.sin_port);
}

/* A free port that was not returned before. */
static uint16_t free_port(const char *ip)
{
	static bool returned[65536];
	uint16_t port = any_port(ip);

	for (int i = 0; i < 1000 && returned[port]; i++)
		port = any_port(ip);
	returned[port] = true;
	return port;
}

static char *fill(char *text, const char *field, const char *value)
{
	g_autofree char *old = text;
	g_autofree char *mark = g_strdup_printf("{{%s}}", field);
	g_auto(GStrv) pieces = g_strsplit(old, mark, -1);

	return g_strjoinv(value, pieces);
}

static char *settings_of(stand_t *stand, const rig_entry_t *entry,
			 const char *ip, const char *store)
{
	g_autofree char *gossip = g_strdup_printf("%u", free_port(ip));
	g_autofree char *link = g_strdup_printf("%u", free_port(ip));
	g_autofree char *zone = g_strdup_printf(
		"zone-%c", 'a' + (char)((stand->rig.n_entries - 1) % 3));
	const char *const fields[][2] = {
		{ "nodeName", entry->name },
		{ "zone", zone },
		{ "region", "region-a" },
		{ "platform.address", store },
		{ "listen.front", entry->front },
		{ "listen.directory", entry->directory },
		{ "listen.readyAddr", entry->ready },
		{ "ip", ip },
		{ "portRange.0", gossip },
		{ "portRange.1", link },
		{ "limits.cpuShare", "0.25" },
		{ "bounds.leaseMs", G_STRINGIFY(STAND_LEASE_MS) },
		{ "bounds.graceS", G_STRINGIFY(STAND_GRACE_S) },
		{ "bounds.drainMs", G_STRINGIFY(STAND_DRAIN_MS) },
		{ "bounds.retryBudgetRatio", "0.2" },
		{ "bounds.retrySlack", "54" },
		{ "bounds.budgetWindowS", "10" },
	};
	const char *key;
	char *text;

	if (!g_file_get_contents(TEMPLATE, &text, NULL, NULL))
		fail("no template of the settings");
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		text = fill(text, fields[i][0], fields[i][1]);
	if (strstr(text, "{{") != NULL)
		fail("a field of the template is not known");
	g_snprintf(stand->gossip[stand->rig.n_entries - 1],
		   sizeof(stand->gossip[0]), "%s:%s", ip, gossip);
	key = strstr(text, "\nkey=");
	if (key == NULL)
		fail("the template has no key");
	g_strlcpy(stand->key, key + strlen("\nkey="), sizeof(stand->key));
	return text;
}

void stand_ip(uint32_t host, char *ip, size_t size)
{
	unsigned pid = (unsigned)getpid();

	g_snprintf(ip, size, "127.%u.%u.%u", 100 + pid / 100 % 100,
		   100 + pid % 100, host);
}

rig_entry_t *stand_add_instance(stand_t *stand, const char *store)
{
	rig_entry_t *entry = &stand->rig.entries[stand->rig.n_entries++];
	char ip[32];
	g_autofree char *text = NULL;
	int fd;

	stand_ip(10 + stand->rig.n_entries, ip, sizeof(ip));
	g_snprintf(entry->name, sizeof(entry->name), "front-%u",
		   stand->rig.n_entries);
	g_snprintf(entry->front, sizeof(entry->front), "%s:%u", ip,
		   free_port(ip));
	g_snprintf(entry->ready, sizeof(entry->ready), "%s:%u", ip,
		   free_port(ip));
	g_snprintf(entry->directory, sizeof(entry->directory), "%s:%u", ip,
		   free_port(ip));
	g_snprintf(entry->metrics, sizeof(entry->metrics), "%s:9464", ip);
	text = settings_of(stand, entry, ip,
			   store != NULL ? store : stand->rig.store_address);
	fd = g_file_open_tmp("bsh-review-XXXXXX", &entry->settings_path, NULL);
	if (fd < 0)
		fail("no temporary file");
	close(fd);
	if (!g_file_set_contents(entry->settings_path, text, -1, NULL))
		fail("settings not written");
	platform_rig_spawn(&stand->rig, entry);
	return entry;
}

void stand_wait_ready(stand_t *stand, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		platform_rig_wait_ready(&stand->rig, &stand->rig.entries[i]);
}

const char *stand_holder(const stand_t *stand)
{
	const json_t *object =
		platform_rig_object(&stand->rig, "berylshunt-leases", "orders");
	const char *holder = json_string_value(
		json_object_get(json_object_get(object, "spec"), "holder"));

	return holder != NULL ? holder : "";
}

rig_entry_t *stand_instance(stand_t *stand, const char *name)
{
	for (uint32_t i = 0; i < stand->rig.n_entries; i++)
		if (strcmp(stand->rig.entries[i].name, name) == 0)
			return &stand->rig.entries[i];
	return NULL;
}

bool stand_is_running(stand_t *stand, const rig_entry_t *entry)
{
	platform_rig_reap(&stand->rig);
	return entry->alive;
}

void stand_init(stand_t *stand, const char *record_path)
{
	const char *trouble = g_getenv("TROUBLE");

	memset(stand, 0, sizeof(*stand));
	g_setenv("BSH_BUILD", "target", TRUE);
	stand->record = fopen(record_path, "w");
	if (stand->record == NULL)
		fail("no record");
	stand->began_us = bsh_loop_clock_us();
	stand->trouble = g_strcmp0(trouble, "0") != 0;
	stand->load_ms = 600;
	stand->orders = g_array_new(FALSE, FALSE, sizeof(stand_order_t));
	platform_rig_init(&stand->rig);
	stand_log(stand, "trouble=%d", stand->trouble);
}

void stand_finish(stand_t *stand)
{
	for (uint32_t i = 0; i < stand->n_engines; i++) {
		stand_engine_t *engine = &stand->engines[i];

		bsh_loop_timer_stop(&engine->beat_timer);
		bsh_loop_timer_stop(&engine->load_timer);
		bsh_loop_timer_stop(&engine->start_timer);
		for (guint j = 0; j < engine->late->len; j++) {
			late_order_t *late = g_ptr_array_index(engine->late, j);

			bsh_loop_timer_stop(&late->timer);
		}
	}
	for (uint32_t i = 0; i < stand->rig.n_entries; i++)
		if (stand->rig.entries[i].pid != 0)
			kill(stand->rig.entries[i].pid, SIGCONT);
	for (uint32_t i = 0; i < stand->n_engines; i++) {
		if (stand->engines[i].server != NULL)
			bsh_http_server_free(stand->engines[i].server);
		json_decref(stand->engines[i].models);
		json_decref(stand->engines[i].copies);
		g_ptr_array_free(stand->engines[i].late, TRUE);
		g_hash_table_destroy(stand->engines[i].runs);
	}
	platform_rig_finish(&stand->rig);
	g_array_free(stand->orders, TRUE);
	fclose(stand->record);
}
