#include "work.h"

#include <stdlib.h>
#include <string.h>

/* Heartbeats of silence after which the store removes an entry. */
#define LAPSE_BEATS 3
/* Time from a request to its rejection by a worker that wants a pause. */
#define REJECT_MS 5

/* A request that runs. */
typedef struct {
	work_t *work;
	bsh_http_request_t *request;
	bsh_loop_timer_t timer;
	char id[40];
	uint32_t next_event;
	bool begun;
	int failure;
} run_t;

static json_t *models_of(const work_t *work)
{
	json_t *list = json_array();

	if (work->model != NULL)
		json_array_append_new(list,
				      json_pack("{s:s, s:i, s:[]}", "name",
						work->model, "version", 1,
						"adapters"));
	return list;
}

static void publish(work_t *work)
{
	json_t *spec = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:o, s:I, s:I}", "service",
		work->service, "address", work->address, "zone", work->zone,
		"version", "v1", "slots", (int)work->slots, "state", "ready",
		"coldRemainingMs", 0, "models", models_of(work), "born",
		(json_int_t)work->started_ms, "seq", (json_int_t)++work->beats);

	platform_rig_write(&work->stand->rig, "servers", work->id, spec);
}

static void on_beat(void *ctx)
{
	work_t *work = ctx;

	if (!work->store_cut) {
		publish(work);
		bsh_loop_timer_after(&work->lapse_timer,
				     LAPSE_BEATS * STAND_HEARTBEAT_MS *
					     INT64_C(1000));
	}
	bsh_loop_timer_after(&work->beat_timer,
			     STAND_HEARTBEAT_MS * INT64_C(1000));
}

static void on_lapse(void *ctx)
{
	work_t *work = ctx;
	worker_t entry = { .rig = &work->stand->rig };

	stand_log(work->stand, "the store removes the entry of worker %s",
		  work->id);
	g_strlcpy(entry.id, work->id, sizeof(entry.id));
	platform_rig_remove_worker(&entry);
}

void work_cut_store(work_t *work, bool cut)
{
	stand_log(work->stand, "worker %s %s", work->id,
		  cut ? "is partitioned from the store"
		      : "reaches the store again");
	work->store_cut = cut;
}

static void add_headers(bsh_http_request_t *request, const char *id)
{
	if (id[0] != '\0')
		bsh_http_response_add_header(
			request, "Berylshunt-Request-Try-Id", id);
}

static void reject(bsh_http_request_t *request, const char *id, int status,
		   const char *pause)
{
	add_headers(request, id);
	bsh_http_response_add_header(request, "Berylshunt-Not-Executed", "1");
	if (pause != NULL)
		bsh_http_response_add_header(request, "Retry-After", pause);
	bsh_http_response_send(request, status, "", 0);
}

/* A rejection that is sent a little later. */
static void on_reject_timer(void *ctx)
{
	const run_t *run = ctx;

	reject(run->request, run->id, 503, run->work->pause);
}

static void free_rejection(void *ctx, bool delivered)
{
	run_t *run = ctx;

	(void)delivered;
	bsh_loop_timer_stop(&run->timer);
	g_free(run);
}

static void reject_later(work_t *work, bsh_http_request_t *request,
			 const char *id)
{
	static const bsh_http_request_handler_t handler = { free_rejection,
							    NULL };
	run_t *run = g_new0(run_t, 1);

	run->work = work;
	run->request = request;
	g_strlcpy(run->id, id, sizeof(run->id));
	bsh_http_request_set_handler(request, &handler, run);
	bsh_loop_timer_init(&run->timer, &work->stand->rig.loop,
			    on_reject_timer, run);
	bsh_loop_timer_after(&run->timer, REJECT_MS * INT64_C(1000));
}

static void free_run(void *ctx, bool delivered)
{
	run_t *run = ctx;

	(void)delivered;
	bsh_loop_timer_stop(&run->timer);
	run->work->running--;
	g_free(run);
}

static void add_seal(const run_t *run)
{
	add_headers(run->request, run->id);
	bsh_http_response_add_header(run->request, "Berylshunt-Server-Seal",
				     run->work->id);
}

static void on_run_timer(void *ctx)
{
	run_t *run = ctx;
	work_t *work = run->work;
	char event[64];
	int size;

	if (run->failure != 0) {
		add_seal(run);
		bsh_http_response_send(run->request, run->failure, "failed", 6);
		return;
	}
	if (work->model == NULL) {
		add_seal(run);
		bsh_http_response_send(run->request, 200, "done", 4);
		return;
	}
	if (!run->begun) {
		add_seal(run);
		bsh_http_response_add_header(run->request, "Content-Type",
					     "text/event-stream");
		bsh_http_response_begin(run->request, 200, -1);
		run->begun = true;
	}
	if (run->next_event >= work->n_events) {
		bsh_http_response_end(run->request);
		return;
	}
	run->next_event++;
	size = g_snprintf(event, sizeof(event), "id: %u\ndata: e%u\n\n",
			  run->next_event, run->next_event);
	bsh_http_response_write(run->request, event, (size_t)size);
	bsh_loop_timer_after(&run->timer, work->gap_ms * INT64_C(1000));
}

static void begin_run(work_t *work, bsh_http_request_t *request,
		      work_arrival_t *arrival)
{
	static const bsh_http_request_handler_t handler = { free_run, NULL };
	const char *after = bsh_http_request_header(request, "Last-Event-Id");
	run_t *run = g_new0(run_t, 1);

	run->work = work;
	run->request = request;
	run->next_event =
		after != NULL ? (uint32_t)g_ascii_strtoull(after, NULL, 10) : 0;
	g_strlcpy(run->id, arrival->id, sizeof(run->id));
	work->running++;
	work->n_runs++;
	if (work->failure != 0 && work->n_runs % work->fail_every == 0)
		run->failure = work->failure;
	arrival->ran = true;
	arrival->status = run->failure != 0 ? run->failure : 200;
	bsh_http_request_set_handler(request, &handler, run);
	bsh_loop_timer_init(&run->timer, &work->stand->rig.loop, on_run_timer,
			    run);
	bsh_loop_timer_after(&run->timer, work->work_ms * INT64_C(1000));
}

static void receive(work_t *work, bsh_http_request_t *request)
{
	const char *id =
		bsh_http_request_header(request, "Berylshunt-Request-Try-Id");
	work_arrival_t arrival = { .at_ms = stand_now_ms(work->stand),
				   .status = 503 };

	g_strlcpy(arrival.id, id != NULL ? id : "", sizeof(arrival.id));
	if (work->pause != NULL)
		reject_later(work, request, arrival.id);
	else if (work->running >= work->slots)
		reject(request, arrival.id, 503, NULL);
	else
		begin_run(work, request, &arrival);
	stand_log(work->stand, "worker %s: %s %s", work->id, arrival.id,
		  !arrival.ran		   ? "rejected, 503"
		  : arrival.status == 200 ? "runs"
					   : "runs, and will fail");
	g_array_append_val(work->arrivals, arrival);
}

static void send_report(const work_t *work, bsh_http_request_t *request)
{
	json_t *body = json_pack(
		"{s:s, s:o, s:b, s:i, s:i, s:I, s:i, s:i, s:i, s:I}", "stage",
		"colocated", "models", models_of(work), "busy", 0, "seq", 0,
		"queued", 0, "inFlight", (json_int_t)work->running, "kvUsed", 0,
		"kvTotal", 250000, "handles", 0, "born",
		(json_int_t)work->started_ms);
	char *text = json_dumps(body, JSON_COMPACT);

	bsh_http_response_add_header(request, "Content-Type",
				     "application/json");
	bsh_http_response_send(request, 200, text, strlen(text));
	free(text);
	json_decref(body);
}

static void on_request(void *ctx, bsh_http_request_t *request)
{
	work_t *work = ctx;
	const char *path = bsh_http_request_path(request);
	const char *expect =
		bsh_http_request_header(request, "Berylshunt-Expect-Instance");

	if (expect != NULL && strcmp(expect, work->id) != 0)
		reject(request, "", 421, NULL);
	else if (strcmp(path, "/api/report") == 0)
		send_report(work, request);
	else if (strcmp(path, "/api/order") == 0)
		bsh_http_response_send(request, 409, "", 0);
	else
		receive(work, request);
}

work_t *work_add(stand_t *stand, const char *service, const char *model,
		 uint32_t slots)
{
	static uint32_t n;
	work_t *work = g_new0(work_t, 1);
	bsh_http_server_config_t config = { .address = "127.0.0.1:0",
					    .max_connections = 1000,
					    .idle_timeout_s = 60,
					    .body_max_bytes = 1 << 20,
					    .on_request = on_request,
					    .ctx = work };

	n++;
	work->stand = stand;
	work->model = model;
	work->slots = slots;
	work->work_ms = 20;
	work->n_events = 5;
	work->gap_ms = 20;
	work->fail_every = 1;
	work->started_ms = (uint64_t)(g_get_real_time() / 1000);
	work->arrivals = g_array_new(FALSE, TRUE, sizeof(work_arrival_t));
	g_snprintf(work->id, sizeof(work->id), "i-%08x", n * 0x2b7a91c3U);
	g_strlcpy(work->service, service, sizeof(work->service));
	g_snprintf(work->zone, sizeof(work->zone), "zone-%c",
		   'a' + (char)((n - 1) % 3));
	if (bsh_http_server_new(&work->server, &stand->rig.loop, &config) !=
	    BSH_OK) {
		fprintf(stderr, "case cannot run: a worker cannot listen\n");
		exit(2);
	}
	g_snprintf(work->address, sizeof(work->address), "127.0.0.1:%u",
		   bsh_http_server_port(work->server));
	bsh_loop_timer_init(&work->beat_timer, &stand->rig.loop, on_beat, work);
	bsh_loop_timer_init(&work->lapse_timer, &stand->rig.loop, on_lapse,
			    work);
	on_beat(work);
	return work;
}

void work_free(work_t *work)
{
	bsh_loop_timer_stop(&work->beat_timer);
	bsh_loop_timer_stop(&work->lapse_timer);
	bsh_http_server_free(work->server);
	g_array_free(work->arrivals, TRUE);
	g_free(work);
}
