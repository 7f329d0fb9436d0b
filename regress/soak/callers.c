/* Callers of the fault soak, and the invariants of what they get. */
#include <stdio.h>
#include <string.h>

#include "soak/soak.h"

/* One of so many prompts has the part under which workers end. */
#define BAD_PROMPT_RATE	    30
#define SUBJECTS	    12
#define STREAM_EVENTS	    6
#define EVENT_BYTES	    16
#define RESUME_ATTEMPTS	    6
#define RESUME_DELAY_MAX_MS 1500
/* A request may be late or unanswered for this time after a fault of its
 * instance. */
#define FAULT_GRACE_US INT64_C(4000000)
/* A resumed process works off what it missed before it can serve as usual. */
#define CRASH_GRACE_US INT64_C(1500000)
/* A request that was read later than the close of its connection is answered
 * or closed within this time. */
#define CROSSING_US INT64_C(300000)
/* A stream may be lost if all instances end within this time after its first
 * event: 0.3 s until the store has its version, and a step of the callers. */
#define UNRECORDED_US INT64_C(400000)
/* The instances abort what is left in the last sixth of their grace time. */
#define DRAIN_ABORT_US INT64_C(2500000)
/* A process that is short of processor time handles SIGTERM within this time. */
#define SIGNAL_US INT64_C(200000)
/* Before the deadline, instances give a failure of their own. */
#define DEADLINE_MARGIN_US INT64_C(250000)
/* A process that has just been started may not handle SIGTERM yet. */
#define START_US INT64_C(500000)

static const char whole_stream[] =
	"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
	"id: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n";

static const soak_route_t routes[] = {
	{ .path = "/stream/1",
	  .service = "llm",
	  .stream = true,
	  .resumable = true },
	{ .path = "/stream/2",
	  .service = "llm",
	  .stream = true,
	  .resumable = true },
	{ .path = "/shift/1",
	  .service = "llm",
	  .moves_to = "llm2",
	  .stream = true,
	  .resumable = true },
	{ .path = "/once/1", .service = "llm", .once = true, .stream = true },
	{ .path = "/book/1", .service = "desk", .once = true },
	{ .path = "/look/1", .service = "desk" },
	{ .path = "/move/1", .service = "desk", .moves_to = "shop" },
	{ .path = "/added/1", .service = "desk", .added = true },
	/* Only with client accounts. */
	{ .path = "/open/1", .service = "desk", .anonymous = true },
};

static void report_violation(soak_t *soak, const soak_caller_t *caller,
			     const char *violation)
{
	g_autofree char *body = g_strescape(
		caller->reply.body != NULL ? caller->reply.body : "", NULL);

	soak->broken++;
	printf("BROKEN %s id=%s path=%s model=%s instance=%s status=%d runs=%u "
	       "workers=%#x kept=%d sent=%d took_ms=%d began_by=%s events=%u "
	       "body=%s\n",
	       violation, caller->id, caller->route->path, caller->model,
	       caller->entry->name, caller->reply.status,
	       platform_rig_runs(&soak->rig, caller->id),
	       platform_rig_run_workers(&soak->rig, caller->id),
	       caller->client != NULL, caller->reply.sent,
	       (int)(caller->reply.took_us / 1000), caller->began_by,
	       caller->events, body);
}

static const soak_entry_t *entry_state(const soak_t *soak,
				       const soak_caller_t *caller)
{
	return &soak->entries[caller->entry - soak->rig.entries];
}

/* Returns true if the instance is down or has had a fault recently. */
static bool had_recent_fault(const soak_t *soak, const soak_caller_t *caller)
{
	int64_t at_us = entry_state(soak, caller)->fault_us;

	return !caller->entry->alive || caller->entry->stopped ||
	       bsh_loop_clock_us() - at_us < FAULT_GRACE_US;
}

/* Returns true if the instance was killed or stopped during the attempt, or was
 * resumed just before. */
static bool instance_crashed(const soak_t *soak, const soak_caller_t *caller)
{
	const soak_entry_t *state = entry_state(soak, caller);

	return caller->entry->stopped ||
	       state->crash_us >= caller->started_us - CRASH_GRACE_US ||
	       (state->term_us >= caller->started_us - CRASH_GRACE_US &&
		state->term_us - state->spawn_us < START_US);
}

/* Returns true if the instance has been told to stop so long ago that it may
 * abort what is left.  A stream that came after that it must not take, unless it
 * answers it. */
static bool drain_is_over(const soak_t *soak, const soak_caller_t *caller)
{
	int64_t term_us = entry_state(soak, caller)->term_us;
	int64_t before_us = caller->route->stream ? SIGNAL_US : FAULT_GRACE_US;

	return term_us > caller->started_us - before_us &&
	       bsh_loop_clock_us() >= term_us + DRAIN_ABORT_US;
}

bool soak_worker_breaks(const worker_t *worker)
{
	return worker->has_ended || (worker->mode != WORKER_ANSWERS &&
				     worker->mode != WORKER_IS_FULL);
}

/* Returns true if a worker that ran the attempt broke it off or held it. */
static bool worker_harmed(const soak_t *soak, const soak_caller_t *caller)
{
	uint32_t ran = platform_rig_run_workers(&soak->rig, caller->id);

	for (uint32_t i = 0; i < soak->rig.n_workers; i++)
		if ((ran & 1U << i) != 0 &&
		    (soak_worker_breaks(&soak->rig.workers[i]) ||
		     soak->workers[i].harm_us >= caller->started_us))
			return true;
	return false;
}

/* Returns true if nothing but silences, configurations and trouble of the store
 * can have kept the request from its answer. */
static bool owes_answer(const soak_t *soak, const soak_caller_t *caller)
{
	return !instance_crashed(soak, caller) &&
	       soak_accounts_owes(soak, caller) &&
	       !drain_is_over(soak, caller) && !worker_harmed(soak, caller) &&
	       caller->reply.took_us <
		       SOAK_DEADLINE_MS * INT64_C(1000) - DEADLINE_MARGIN_US;
}

static uint32_t workers_of(const soak_t *soak, const char *version,
			   const char *model)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < soak->rig.n_workers; i++) {
		const worker_t *worker = &soak->rig.workers[i];

		if (soak->workers[i].phase == PHASE_SERVES &&
		    strcmp(worker->service, "llm") == 0 &&
		    worker->mode == WORKER_ANSWERS &&
		    strcmp(worker->version, version) == 0 &&
		    json_object_get(worker->models, model) != NULL)
			n++;
	}
	return n;
}

/* Returns true if two workers of the stream's software version serve with its
 * model; for a stream that has not begun, of some version. */
static bool is_comparable(const soak_t *soak, const soak_caller_t *caller)
{
	const char *version = g_hash_table_lookup(soak->rig.stream_versions,
						  caller->began_by);

	if (!caller->route->resumable || caller->route->moves_to != NULL ||
	    (caller->lost && caller->events > 0) ||
	    !soak_accounts_owes(soak, caller) ||
	    soak_accounts_is_limited(soak, caller))
		return false;
	if (caller->events > 0)
		return version != NULL &&
		       workers_of(soak, version, caller->model) >= 2;
	return workers_of(soak, "v1", caller->model) >= 2 ||
	       workers_of(soak, "v2", caller->model) >= 2;
}

static void count_share(soak_t *soak, const soak_caller_t *caller,
			bool brought_event)
{
	if (caller->events > 0) {
		soak->resumes++;
		soak->resumed += brought_event;
	} else {
		soak->begins++;
		soak->begun += brought_event;
	}
}

/* Checks that the body goes on after the events received so far, without gap or
 * repeat, and counts its events. */
static void take_events(soak_t *soak, soak_caller_t *caller, const char *body)
{
	const char *expected = whole_stream + EVENT_BYTES * caller->events;
	uint32_t events = (uint32_t)strlen(body) / EVENT_BYTES;

	if (!g_str_has_prefix(expected, body)) {
		report_violation(soak, caller, "wrong-events");
		return;
	}
	if (events > 0 && caller->events == 0)
		g_strlcpy(caller->began_by, caller->id,
			  sizeof(caller->began_by));
	while (events-- > 0)
		caller->versions &= platform_rig_event_versions(
			&soak->rig, caller->id, ++caller->events);
	if (caller->versions == 0 && caller->events > 0) {
		soak->mixed++;
		report_violation(soak, caller, "mixed-versions");
		caller->versions = UINT32_MAX;
	}
}

/* Schedules the next attempt of a stream that has begun and not ended. */
static void schedule_resume(soak_t *soak, soak_caller_t *caller)
{
	int64_t delay_us = 0;

	caller->resume_us = 0;
	if (!caller->route->resumable || caller->events == 0 ||
	    caller->events >= STREAM_EVENTS ||
	    ++caller->attempts > RESUME_ATTEMPTS)
		return;
	if (caller->reply.retry_after != NULL)
		delay_us = (int64_t)(g_ascii_strtod(caller->reply.retry_after,
						    NULL) *
				     1e6);
	caller->resume_us =
		bsh_loop_clock_us() + delay_us +
		1000LL * bsh_rng_below(&soak->rng, RESUME_DELAY_MAX_MS);
}

static void end_attempt(soak_t *soak, soak_caller_t *caller)
{
	schedule_resume(soak, caller);
	platform_rig_reply_clear(&caller->reply);
	caller->busy = false;
}

static void check_answer(soak_t *soak, const soak_caller_t *caller,
			 uint32_t events_before)
{
	const char *expected =
		caller->route->stream
			? whole_stream + EVENT_BYTES * events_before
			: "done";

	soak->answered++;
	if (strcmp(caller->reply.body, expected) != 0)
		report_violation(soak, caller, "wrong-answer");
	if (platform_rig_runs(&soak->rig, caller->id) == 0)
		report_violation(soak, caller, "answer-without-run");
}

static void check_refusal(soak_t *soak, const soak_caller_t *caller)
{
	soak->refused++;
	if (caller->route->once &&
	    platform_rig_runs(&soak->rig, caller->id) > 0)
		report_violation(soak, caller, "refused-after-run");
	/* A prompt that ends workers is refused for good; no other one is. */
	if (strstr(caller->reply.body, "problem:quarantined") != NULL) {
		if (!caller->bad)
			report_violation(soak, caller, "sound-quarantined");
		if (caller->reply.retry_after != NULL)
			report_violation(soak, caller, "quarantined-with-time");
	} else if (caller->reply.retry_after == NULL) {
		report_violation(soak, caller, "refused-without-time");
	}
}

/* A request without a known key does not run, and no other one is denied. */
static void check_denied(soak_t *soak, const soak_caller_t *caller)
{
	soak->accounts.denied++;
	if (caller->route->once &&
	    platform_rig_runs(&soak->rig, caller->id) > 0)
		report_violation(soak, caller, "denied-after-run");
	if (soak_accounts_owes(soak, caller))
		report_violation(soak, caller, "key-denied");
}

static void check_failure(soak_t *soak, const soak_caller_t *caller)
{
	if (caller->reply.status == 401) {
		check_denied(soak, caller);
		return;
	}
	if (caller->reply.status == 404 && caller->route->added) {
		soak->dropped++;
		return;
	}
	soak->unknown++;
	if (caller->reply.status == 404)
		report_violation(soak, caller, "denied");
	else if (owes_answer(soak, caller))
		report_violation(soak, caller,
				 caller->reply.status == 200 ? "cut" : "lost");
}

/* A request on a connection that its instance closes while it drains may cross
 * the close, but one that was read gets an answer or a refusal. */
static void check_closed(soak_t *soak, const soak_caller_t *caller)
{
	bool was_read =
		platform_rig_runs(&soak->rig, caller->id) > 0 ||
		(caller->reply.sent && caller->reply.took_us > CROSSING_US);

	soak->closed++;
	if (!had_recent_fault(soak, caller))
		report_violation(soak, caller, "no-answer");
	else if (was_read && owes_answer(soak, caller))
		report_violation(soak, caller, "lost-in-drain");
}

/* Returns true if a request of the route may run at the service: at that of
 * the last configuration, or of any if one is recent. */
static bool may_run_at(const soak_t *soak, const soak_route_t *route,
		       const char *service)
{
	if (route->moves_to == NULL)
		return strcmp(service, route->service) == 0;
	if (soak->settled)
		return strcmp(service, soak->has_moved ? route->moves_to
						       : route->service) == 0;
	return strcmp(service, route->service) == 0 ||
	       strcmp(service, route->moves_to) == 0;
}

static void check_route(soak_t *soak, const soak_caller_t *caller)
{
	uint32_t ran = platform_rig_run_workers(&soak->rig, caller->id);

	for (uint32_t i = 0; i < soak->rig.n_workers; i++)
		if ((ran & 1U << i) != 0 &&
		    !may_run_at(soak, caller->route,
				soak->rig.workers[i].service))
			report_violation(soak, caller, "wrong-service");
	if (caller->route->added && soak->settled &&
	    (caller->reply.status == 404) == soak->has_added)
		report_violation(soak, caller, "old-configuration");
}

/* Checks the invariants of a request that has ended. */
static void check_reply(soak_t *soak, soak_caller_t *caller)
{
	const rig_reply_t *reply = &caller->reply;
	uint32_t events_before = caller->events;

	if (caller->comparable && reply->status != 0 &&
	    is_comparable(soak, caller))
		count_share(soak, caller,
			    reply->status == 200 &&
				    strlen(reply->body) >= EVENT_BYTES);
	if (caller->route->stream && reply->status == 200)
		take_events(soak, caller, reply->body);
	if (caller->route->once &&
	    platform_rig_runs(&soak->rig, caller->id) > 1)
		report_violation(soak, caller, "ran-twice");
	if (reply->status == 200 && reply->complete)
		check_answer(soak, caller, events_before);
	else if (reply->status == 503 || reply->status == 429)
		check_refusal(soak, caller);
	else if (reply->status != 0)
		check_failure(soak, caller);
	else
		check_closed(soak, caller);
	check_route(soak, caller);
	if (reply->took_us >
		    (SOAK_DEADLINE_MS + SOAK_LATE_MS) * INT64_C(1000) &&
	    !had_recent_fault(soak, caller))
		report_violation(soak, caller, "late");
	caller->keeps = reply->status != 0;
	end_attempt(soak, caller);
}

/* The caller breaks its connection off. */
static void leave(soak_t *soak, soak_caller_t *caller)
{
	soak->left++;
	if (caller->comparable && is_comparable(soak, caller))
		count_share(soak, caller, true);
	take_events(soak, caller, caller->reply.received->str);
	caller->keeps = false;
	end_attempt(soak, caller);
}

/* Parts of a prompt: that of all requests, one of some subjects or the one under
 * which workers end, and the request's own. */
static char *make_prompt(soak_t *soak)
{
	if (bsh_rng_below(&soak->prompt_rng, BAD_PROMPT_RATE) == 0)
		return g_strdup_printf("5a:90,%s60,%x:100", SOAK_BAD_PART,
				       (unsigned int)soak->sequence);
	return g_strdup_printf("5a:90,c%x:60,%x:100",
			       bsh_rng_below(&soak->prompt_rng, SUBJECTS),
			       (unsigned int)soak->sequence);
}

static void send_attempt(soak_t *soak, soak_caller_t *caller)
{
	g_autofree char *prompt = NULL;
	rig_request_t request = { .address = caller->entry->front,
				  .path = caller->route->path,
				  .id = caller->id,
				  .deadline_ms = SOAK_DEADLINE_MS,
				  .last_event_id = caller->events,
				  .client = caller->client };

	g_snprintf(caller->id, sizeof(caller->id), "s%" G_GUINT64_FORMAT,
		   ++soak->sequence);
	if (caller->route->stream)
		request.model = caller->model;
	soak_accounts_sign(soak, caller, &request);
	if (caller->route->stream && soak->prompts)
		request.prompt = prompt = make_prompt(soak);
	caller->bad = prompt != NULL && strstr(prompt, SOAK_BAD_PART) != NULL;
	if (caller->events > 0)
		request.began_by = caller->began_by;
	caller->leave_after = 0;
	if (caller->route->resumable && bsh_rng_below(&soak->rng, 4) == 0)
		caller->leave_after =
			1 + bsh_rng_below(&soak->rng, STREAM_EVENTS - 1);
	caller->started_us = bsh_loop_clock_us();
	caller->comparable = is_comparable(soak, caller);
	caller->busy = true;
	soak->sent++;
	platform_rig_start(&soak->rig, &request, &caller->reply);
}

static rig_entry_t *any_entry(soak_t *soak)
{
	return &soak->rig.entries[bsh_rng_below(&soak->rng,
						soak->rig.n_entries)];
}

/* Chooses where a stream is taken up: at the same instance, at one that has
 * started since, at one without its store, or at any. */
static rig_entry_t *choose_for_resume(soak_t *soak, soak_caller_t *caller)
{
	uint32_t kind = bsh_rng_below(&soak->rng, 4);

	if (kind == 0)
		return caller->entry;
	for (uint32_t i = 0; kind < 3 && i < soak->rig.n_entries; i++) {
		const soak_entry_t *state = &soak->entries[i];

		if (kind == 1 ? state->spawn_us > caller->begun_us
			      : state->store.mode != RELAY_PASSES)
			return &soak->rig.entries[i];
	}
	return any_entry(soak);
}

static void resume_stream(soak_t *soak, soak_caller_t *caller)
{
	if (caller->client == NULL || !caller->keeps)
		caller->entry = choose_for_resume(soak, caller);
	if (!caller->entry->alive) {
		caller->keeps = false;
		return;
	}
	caller->resume_us = 0;
	send_attempt(soak, caller);
}

static void send_request(soak_t *soak, soak_caller_t *caller)
{
	rig_entry_t *stopped = NULL;
	uint32_t n_routes;

	soak_accounts_choose_key(soak, caller);
	if (caller->client == NULL || !caller->keeps) {
		caller->entry = any_entry(soak);
		stopped = soak_accounts_choose_entry(soak, caller);
	}
	if (stopped != NULL)
		caller->entry = stopped;
	if (!caller->entry->alive) {
		caller->keeps = false;
		return;
	}
	n_routes = G_N_ELEMENTS(routes) - (soak->accounts.used ? 0 : 1);
	caller->route = &routes[bsh_rng_below(&soak->rng, n_routes)];
	/* Skew the demand to a few models. */
	g_snprintf(caller->model, sizeof(caller->model), "m%u",
		   bsh_rng_below(&soak->rng,
				 bsh_rng_below(&soak->rng, SOAK_MODELS) + 1));
	caller->began_by[0] = '\0';
	caller->events = 0;
	caller->versions = UINT32_MAX;
	caller->attempts = 0;
	caller->begun_us = bsh_loop_clock_us();
	caller->event_us = 0;
	caller->recorded = false;
	caller->lost = false;
	send_attempt(soak, caller);
}

static bool has_event(const soak_caller_t *caller)
{
	return caller->events > 0 ||
	       (caller->busy && caller->reply.received != NULL &&
		caller->reply.received->len >= EVENT_BYTES);
}

/* Notes when the stream began, and when the store has its software version. */
static void step_record(const soak_t *soak, soak_caller_t *caller)
{
	int64_t now_us = bsh_loop_clock_us();

	if (caller->event_us == 0 && has_event(caller))
		caller->event_us = now_us;
	if (caller->event_us > 0 &&
	    now_us - UNRECORDED_US >=
		    MAX(caller->event_us, soak->store_writes_us))
		caller->recorded = true;
}

static void step_caller(soak_t *soak, soak_caller_t *caller, bool send)
{
	const rig_reply_t *reply = &caller->reply;

	step_record(soak, caller);
	if (caller->busy && reply->done)
		check_reply(soak, caller);
	else if (caller->busy && caller->leave_after > 0 &&
		 reply->received->len >=
			 (gsize)caller->leave_after * EVENT_BYTES)
		leave(soak, caller);
	if (caller->busy || !send)
		return;
	if (caller->resume_us > 0) {
		if (bsh_loop_clock_us() >= caller->resume_us)
			resume_stream(soak, caller);
	} else if (bsh_rng_below(&soak->rng, 8) == 0) {
		send_request(soak, caller);
	}
}

void soak_callers_step(soak_t *soak, bool send)
{
	for (uint32_t i = 0; i < soak->n_callers; i++)
		step_caller(soak, &soak->callers[i], send);
}

void soak_callers_killed_all(soak_t *soak)
{
	for (uint32_t i = 0; i < soak->n_callers; i++)
		soak->callers[i].lost |= !soak->callers[i].recorded;
}

void soak_callers_init(soak_t *soak)
{
	soak->n_callers = MAX(SOAK_CALLERS_MIN, 2 * soak->rig.n_entries);
	for (uint32_t i = 0; i < soak->n_callers; i += SOAK_KEPT_INTERVAL) {
		soak->callers[i].client =
			bsh_http_client_new(&soak->rig.loop, 1);
		g_assert_nonnull(soak->callers[i].client);
	}
}

void soak_callers_finish(soak_t *soak)
{
	for (uint32_t i = 0; i < soak->n_callers; i++) {
		soak_caller_t *caller = &soak->callers[i];

		if (caller->busy)
			platform_rig_reply_clear(&caller->reply);
		if (caller->client != NULL)
			bsh_http_client_free(caller->client);
	}
}
