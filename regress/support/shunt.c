#include <string.h>

#include "coordination/admission.h"
#include "coordination/drain.h"
#include "coordination/route.h"
#include "support/world.h"

/* Modules of one instance, connected as its daemons connect them. */
typedef struct {
	world_t *w;
	int router;
	uint64_t sequence; /* of the last route update */
	bsh_admission_t admission;
	bsh_attempts_t attempts;
	bsh_route_t route;
	bsh_journal_t journal;
	bsh_drain_t drain;
} router_modules_t;

/* A request that is open at the router. */
typedef struct {
	router_modules_t *modules;
	submission_t *sub; /* NULL: detached, the caller has its result */
	request_kind_t kind;
	int call;
	bsh_admission_request_t waiting;
	bsh_attempt_t attempt;
	/* Of each attempt, by its number less 1. */
	conn_t *conns[BSH_ATTEMPT_RETRIES_MAX + 1];
	int64_t started_us[BSH_ATTEMPT_RETRIES_MAX + 1];
	GArray *held; /* chunk_t, not yet sent to the caller */
} request_t;

/* INTENT_ANSWER in flight from the controller. */
typedef struct {
	router_modules_t *modules;
	world_t *w;
	uint64_t router_incarnation;
	bsh_request_id_t id; /* in flight, incarnation is the router's index */
	bsh_intent_verdict_t verdict;
	uint32_t retry_ms;
	chunk_t chunk;
} intent_answer_t;

static int64_t now_us(const router_modules_t *s)
{
	return s->w->sim.now_us;
}

static void arm_timer(router_modules_t *s)
{
	int64_t next_us = bsh_admission_next_us(&s->admission);

	bsh_drain_set(&s->drain, BSH_DRAIN_JOURNAL,
		      bsh_journal_pending(&s->journal), now_us(s));
	next_us = MIN(next_us, bsh_attempts_next_us(&s->attempts));
	next_us = MIN(next_us, bsh_journal_next_us(&s->journal));
	next_us = MIN(next_us, bsh_drain_next_us(&s->drain, now_us(s)));
	world_arm(s->w, s->router, next_us);
}

static const char *model_key(const request_t *r)
{
	return world_model_name(world_model_of(r->kind));
}

static void send_held(request_t *r)
{
	for (guint i = 0; r->sub != NULL && i < r->held->len; i++)
		world_chunk(r->sub, &g_array_index(r->held, chunk_t, i));
	g_array_set_size(r->held, 0);
}

static bsh_route_request_t route_request(const request_t *r)
{
	bsh_route_request_t request = { .key = model_key(r),
					.priority = r->waiting.priority,
					.repeatable =
						r->attempt.spec.repeatable,
					.excluded_count =
						r->attempt.tried_count };

	memcpy(request.excluded, r->attempt.tried, sizeof(request.excluded));
	return request;
}

static bsh_start_t on_start(void *ctx, bsh_admission_request_t *waiting)
{
	router_modules_t *s = ctx;
	request_t *r = waiting->user;
	bsh_route_request_t request = route_request(r);
	bsh_route_choice_t choice;
	char id[BSH_ATTEMPT_ID_SIZE];
	uint32_t kept = bsh_attempt_kept_target(&r->attempt);
	conn_t *conn;
	bsh_error_t err =
		bsh_route_choose(&s->route, &request, &choice, now_us(s));

	if (err == BSH_ERR_CONNECT) {
		request.excluded_count = kept != BSH_ROUTE_NONE ? 1 : 0;
		request.excluded[0] = kept;
		err = bsh_route_choose(&s->route, &request, &choice, now_us(s));
		waiting->not_before_us = choice.retry_us;
	}
	if (err == BSH_ERR_NOT_FOUND)
		return BSH_START_COLD;
	if (err == BSH_ERR_CONNECT && kept != BSH_ROUTE_NONE)
		return BSH_START_NONE;
	if (err != BSH_OK ||
	    !bsh_attempt_start(&s->attempts, &r->attempt, &choice, now_us(s)))
		return BSH_START_FULL;
	bsh_route_start(&s->route, &request, &choice, now_us(s));
	bsh_request_id_print(&r->attempt.id, id);
	conn = world_open(
		s->w, s->router,
		bsh_route_target(&s->route, choice.target)->address[0] - '0',
		r->sub, id);
	conn->id = r->attempt.id;
	conn->request = r;
	r->conns[conn->id.attempt - 1] = conn;
	r->started_us[conn->id.attempt - 1] = now_us(s);
	return BSH_START_OK;
}

static void on_refuse(void *ctx, bsh_admission_request_t *waiting,
		      bsh_error_t err, uint32_t retry_ms)
{
	router_modules_t *s = ctx;
	request_t *r = waiting->user;

	bsh_attempt_refused(&s->attempts, &r->attempt, err, retry_ms,
			    now_us(s));
}

static void on_need(void *ctx, const char *key, uint8_t priority,
		    int64_t deadline_us)
{
	router_modules_t *s = ctx;

	(void)priority;
	(void)deadline_us;
	/* "cold" is the only model name with this second letter. */
	world_need(s->w, s->router, key[1] == 'o' ? 1 : 0);
}

/* The key of the result is valid until the next call. */
static bsh_intent_t make_intent(const request_t *r)
{
	static char text[16];
	bsh_intent_t intent = {
		.service = "deposits",
		.key = text,
		.instance = world_router_name(r->modules->router),
		.incarnation =
			r->modules->w->routers[r->modules->router].incarnation,
		.deadline_us = r->attempt.spec.deadline_us,
		.token = r->attempt.id.sequence
	};

	g_snprintf(text, sizeof(text), "call-%d", r->call);
	bsh_journal_digest("POST", "/services/deposits", text, strlen(text),
			   intent.digest);
	memcpy(intent.attempt, &r->attempt.id, sizeof(intent.attempt));
	return intent;
}

static void on_intent(void *ctx, bsh_attempt_t *a)
{
	router_modules_t *s = ctx;
	bsh_intent_t intent = make_intent(a->spec.user);

	bsh_journal_intent(&s->journal, &intent, now_us(s));
}

static void deliver_intent_answer(void *ctx, void *data)
{
	intent_answer_t *m = data;
	world_t *w = ctx;
	request_t *r;
	router_modules_t *s = w->routers[m->id.incarnation].self;

	if (s == NULL ||
	    w->routers[s->router].incarnation != m->router_incarnation) {
		g_free(m);
		return;
	}
	m->id.incarnation = s->attempts.incarnation;
	if (m->verdict == BSH_INTENT_ANSWERED) {
		bsh_attempt_t *a =
			g_hash_table_lookup(s->attempts.open, &m->id.sequence);

		r = a == NULL ? NULL : a->spec.user;
		if (r != NULL && a->state == BSH_ATTEMPT_INTENT)
			g_array_append_val(r->held, m->chunk);
	}
	bsh_attempt_intent(&s->attempts, &m->id, m->verdict, m->retry_ms,
			   now_us(s));
	arm_timer(s);
	g_free(m);
}

static void on_intent_answer(void *ctx, uint64_t token,
			     bsh_intent_verdict_t verdict,
			     const bsh_journal_result_t *result,
			     uint32_t retry_ms)
{
	router_modules_t *s = ctx;
	intent_answer_t *m = g_new0(intent_answer_t, 1);

	m->router_incarnation = s->w->routers[s->router].incarnation;
	m->id.incarnation = (uint64_t)s->router;
	m->id.sequence = token;
	m->verdict = verdict;
	m->retry_ms = retry_ms;
	if (result != NULL && result->body_size == sizeof(m->chunk))
		memcpy(&m->chunk, result->body, sizeof(m->chunk));
	sim_after(&s->w->sim, 100, deliver_intent_answer, s->w, m);
}

static void on_recorded(void *ctx, uint64_t token, bool ok)
{
	(void)ctx;
	(void)token;
	(void)ok;
}

static void on_store_read(void *ctx, uint64_t call, const char *name)
{
	router_modules_t *s = ctx;

	world_store_read(s->w, s->router, call, name);
}

static void on_store_write(void *ctx, uint64_t call, const char *name,
			   uint64_t version, const char *value, size_t size)
{
	router_modules_t *s = ctx;

	world_store_write(s->w, s->router, call, name, version, value, size);
}

static bool on_is_gone(void *ctx, const char *instance, uint64_t incarnation)
{
	router_modules_t *s = ctx;

	return world_is_gone(s->w, instance, incarnation);
}

static void on_enqueue(void *ctx, bsh_attempt_t *a, bool retry)
{
	router_modules_t *s = ctx;
	request_t *r = a->spec.user;

	if (retry)
		bsh_admission_requeue(&s->admission, model_key(r), &r->waiting,
				      now_us(s));
	else
		bsh_admission_submit(&s->admission, model_key(r), &r->waiting,
				     now_us(s));
}

static void on_dequeue(void *ctx, bsh_attempt_t *a)
{
	router_modules_t *s = ctx;
	request_t *r = a->spec.user;

	bsh_admission_cancel(&s->admission, &r->waiting);
}

static void on_cancel(void *ctx, bsh_attempt_t *a)
{
	request_t *r = a->spec.user;

	(void)ctx;
	world_close(r->conns[a->id.attempt - 1]);
	g_array_set_size(r->held, 0);
}

static void on_release(void *ctx, bsh_attempt_t *a)
{
	request_t *r = a->spec.user;

	(void)ctx;
	if (r->sub != NULL)
		world_head(r->sub);
	send_held(r);
}

static void on_target_result(void *ctx, bsh_attempt_t *a,
			     bsh_route_result_t result)
{
	router_modules_t *s = ctx;
	request_t *r = a->spec.user;

	bsh_route_end(&s->route, &a->target, result, now_us(s));
	bsh_admission_ended(&s->admission, model_key(r),
			    result == BSH_ROUTE_SUCCESS
				    ? now_us(s) -
					      r->started_us[a->id.attempt - 1]
				    : -1,
			    now_us(s));
}

static void on_first_byte(void *ctx, bsh_attempt_t *a)
{
	router_modules_t *s = ctx;

	bsh_route_first_byte(&s->route, &a->target, now_us(s));
}

static void on_detach(void *ctx, bsh_attempt_t *a, bsh_error_t err,
		      bsh_outcome_t outcome)
{
	request_t *r = a->spec.user;

	(void)ctx;
	world_end(r->sub, err, outcome, 0);
	r->sub = NULL;
}

static void on_record(void *ctx, bsh_attempt_t *a, bsh_outcome_t outcome)
{
	router_modules_t *s = ctx;
	request_t *r = a->spec.user;
	bsh_intent_t intent = make_intent(r);
	bsh_journal_result_t result = { .outcome = outcome,
					.status = a->status };

	if (outcome == BSH_OUTCOME_ANSWERED && r->held->len > 0) {
		result.body = (const uint8_t *)r->held->data;
		result.body_size = sizeof(chunk_t);
	}
	bsh_journal_record_result(&s->journal, &intent, &result, now_us(s));
}

static void end_request(request_t *r, bsh_error_t err, bsh_outcome_t outcome,
			uint32_t retry_ms)
{
	router_modules_t *s = r->modules;

	if (r->sub != NULL) {
		if (err == BSH_OK)
			send_held(r);
		if (retry_ms == 0 && bsh_error_info(err)->retry_after &&
		    err != BSH_ERR_DRAINING)
			retry_ms = bsh_admission_retry_after(
				&s->admission, model_key(r), 500, now_us(s));
		world_end(r->sub, err, outcome, retry_ms);
	}
	g_array_free(r->held, TRUE);
	g_free(r);
	bsh_drain_release(&s->drain, now_us(s));
}

static void on_finish(void *ctx, bsh_attempt_t *a, bsh_error_t err,
		      bsh_outcome_t outcome, uint32_t retry_ms)
{
	(void)ctx;
	end_request(a->spec.user, err, outcome, retry_ms);
}

static void on_drained(void *ctx, bool clean)
{
	router_modules_t *s = ctx;

	(void)clean;
	world_exit(s->w, s->router);
}

static void declare_models(router_modules_t *s)
{
	for (int m = 0; m < WORLD_MODELS; m++) {
		bsh_admission_model_config_t config = {
			.priority = (uint8_t)(2 + m),
			.always_warm = m == 2,
			.load_us = 2 * SIM_S,
			.first_us = 150 * SIM_MS,
			.service_us = 400 * SIM_MS,
			.load_slots = 8
		};

		bsh_admission_declare(&s->admission, world_model_name(m),
				      &config);
	}
}

static void *create(world_t *w, int router)
{
	static const bsh_admission_ops_t admission_ops = { .start = on_start,
							   .refuse = on_refuse,
							   .need = on_need };
	static const bsh_attempt_ops_t attempt_ops = { .intent = on_intent,
						       .enqueue = on_enqueue,
						       .dequeue = on_dequeue,
						       .cancel = on_cancel,
						       .release = on_release,
						       .first_byte =
							       on_first_byte,
						       .target_result =
							       on_target_result,
						       .detach = on_detach,
						       .record = on_record,
						       .finish = on_finish };
	static const bsh_journal_ops_t journal_ops = { .read = on_store_read,
						       .write = on_store_write,
						       .answer =
							       on_intent_answer,
						       .recorded = on_recorded,
						       .is_gone = on_is_gone };
	static const bsh_drain_ops_t drain_ops = { .exit = on_drained };
	uint32_t seed = bsh_rng_below(&w->sim.rng, 1U << 31);
	uint64_t incarnation = w->routers[router].incarnation;
	bsh_admission_config_t admission;
	bsh_attempts_config_t attempts;
	bsh_journal_config_t journal;
	bsh_route_config_t route;
	router_modules_t *s = g_new0(router_modules_t, 1);

	s->w = w;
	s->router = router;
	bsh_admission_config_default(&admission);
	bsh_attempts_config_default(&attempts);
	bsh_journal_config_default(&journal);
	bsh_route_config_default(&route);
	admission.seed = journal.seed = route.seed = seed;
	route.prefix_entries = 64;
	route.max_running = 8;
	bsh_admission_init(&s->admission, &admission, &admission_ops, s);
	bsh_attempts_init(&s->attempts, &attempts,
			  incarnation * 16 + (uint64_t)router, &attempt_ops, s);
	bsh_journal_init(&s->journal, &journal, &journal_ops, s);
	bsh_route_init(&s->route, &route);
	/* 8 s is shorter than the longest streams, which a drain must not
	 * cut. */
	bsh_drain_init(&s->drain, 8000, &drain_ops, s);
	declare_models(s);
	return s;
}

static void free_request(void *key, void *value, void *data)
{
	const bsh_attempt_t *a = value;
	request_t *r = a->spec.user;

	(void)key;
	(void)data;
	g_array_free(r->held, TRUE);
	g_free(r);
}

static void destroy(void *self)
{
	router_modules_t *s = self;

	g_hash_table_foreach(s->attempts.open, free_request, NULL);
	bsh_admission_finish(&s->admission);
	bsh_attempts_finish(&s->attempts);
	bsh_journal_finish(&s->journal);
	bsh_route_finish(&s->route);
	g_free(s);
}

static void submit(void *self, submission_t *sub)
{
	router_modules_t *s = self;
	request_t *r;
	bsh_attempt_spec_t spec = { .deadline_us = sub->deadline_us,
				    .repeatable = sub->kind != KIND_DEPOSIT,
				    .has_key = sub->keyed,
				    .stream = sub->kind == KIND_STREAM,
				    .engine = sub->kind != KIND_DEPOSIT,
				    .first_us = 150 * SIM_MS };
	bsh_error_t err;

	if (!bsh_drain_admit(&s->drain)) {
		world_end(sub, BSH_ERR_DRAINING, BSH_OUTCOME_NOT_RUN, 0);
		return;
	}
	r = g_new0(request_t, 1);
	r->modules = s;
	r->sub = sub;
	r->kind = sub->kind;
	r->call = sub->call;
	r->held = g_array_new(FALSE, FALSE, sizeof(chunk_t));
	r->waiting.user = r;
	r->waiting.deadline_us = sub->deadline_us;
	r->waiting.priority = (uint8_t)(2 + sub->number % 3);
	r->waiting.caller = (uint64_t)(1 + sub->call % 7);
	spec.user = r;
	sub->request = r;
	err = bsh_attempt_begin(&s->attempts, &r->attempt, &spec, now_us(s));
	if (err != BSH_OK)
		end_request(r, err, BSH_OUTCOME_NOT_RUN, 0);
	arm_timer(s);
}

static void caller_gone(void *self, submission_t *sub)
{
	router_modules_t *s = self;
	request_t *r = sub->request;

	if (r->attempt.caller_gone)
		return;
	bsh_attempt_caller_gone(&s->attempts, &r->attempt, now_us(s));
	arm_timer(s);
}

static bool connected(void *self, conn_t *conn)
{
	router_modules_t *s = self;
	const request_t *r = conn->request;

	if (!bsh_route_may_send(&s->route, &r->attempt.target)) {
		bsh_attempt_target_leaving(&s->attempts, &conn->id, now_us(s));
		arm_timer(s);
		return false;
	}
	bsh_attempt_sent(&s->attempts, &conn->id, now_us(s));
	arm_timer(s);
	return true;
}

static void head(void *self, conn_t *conn, const bsh_answer_head_t *head)
{
	router_modules_t *s = self;
	request_t *r = conn->request;

	if (bsh_attempt_head(&s->attempts, &conn->id, head, now_us(s)) !=
	    BSH_ANSWER_DROP)
		bsh_admission_first_byte(
			&s->admission, model_key(r),
			now_us(s) - r->started_us[conn->id.attempt - 1],
			now_us(s));
	arm_timer(s);
}

static void body(void *self, conn_t *conn, const chunk_t *chunk)
{
	router_modules_t *s = self;
	request_t *r = conn->request;

	switch (bsh_attempt_body(&s->attempts, &conn->id, 1, chunk->done,
				 now_us(s))) {
	case BSH_ANSWER_DROP:
		break;
	case BSH_ANSWER_HOLD:
		g_array_append_val(r->held, *chunk);
		break;
	case BSH_ANSWER_FORWARD:
		send_held(r);
		world_chunk(r->sub, chunk);
		break;
	}
	arm_timer(s);
}

static void end(void *self, conn_t *conn)
{
	router_modules_t *s = self;

	bsh_attempt_end(&s->attempts, &conn->id, now_us(s));
	arm_timer(s);
}

static void failed(void *self, conn_t *conn)
{
	router_modules_t *s = self;

	bsh_attempt_failed(&s->attempts, &conn->id, now_us(s));
	arm_timer(s);
}

static void need_answer(void *self, int model, int64_t ready_us,
			uint32_t retry_ms)
{
	router_modules_t *s = self;

	if (ready_us > 0)
		bsh_admission_load_accepted(&s->admission,
					    world_model_name(model), ready_us,
					    now_us(s));
	else
		bsh_admission_load_refused(&s->admission,
					   world_model_name(model), retry_ms,
					   now_us(s));
	arm_timer(s);
}

static void update_slots(router_modules_t *s)
{
	for (int m = 0; m < WORLD_MODELS; m++) {
		const char *key = world_model_name(m);

		bsh_admission_set_slots(&s->admission, key,
					bsh_route_slots(&s->route, key),
					now_us(s));
	}
	arm_timer(s);
}

static void ready(void *self, int model)
{
	router_modules_t *s = self;
	const char *names[WORLD_TARGETS];
	int first;
	int count;

	world_model_targets(model, &first, &count);
	for (int i = 0; i < count; i++)
		names[i] = world_target_name(first + i);
	bsh_route_set_ready(&s->route, world_model_name(model), "cell", 1,
			    ++s->sequence, names, (size_t)count);
	update_slots(s);
}

static void list(void *self, int target, uint64_t incarnation, bool leaving)
{
	router_modules_t *s = self;
	const char *name = world_target_name(target);
	char address[2] = { (char)('0' + target), '\0' };

	bsh_route_set_target(&s->route, name, incarnation, address, NULL, 0);
	if (leaving)
		bsh_route_set_leaving(&s->route, name, incarnation);
	update_slots(s);
}

static void leaving_reported(void *self, int target, uint64_t incarnation)
{
	router_modules_t *s = self;

	bsh_route_set_leaving(&s->route, world_target_name(target),
			      incarnation);
	update_slots(s);
}

static void store_done(void *self, uint64_t call, bool writing,
		       bsh_store_status_t status, uint64_t version,
		       const char *value)
{
	router_modules_t *s = self;

	if (writing)
		bsh_journal_write_done(&s->journal, call, status, version, 0,
				       now_us(s));
	else
		bsh_journal_read_done(&s->journal, call, status, version, value,
				      value == NULL ? 0 : strlen(value), 0,
				      now_us(s));
	arm_timer(s);
}

static void terminate(void *self)
{
	router_modules_t *s = self;

	bsh_drain_begin(&s->drain, now_us(s));
	arm_timer(s);
}

static void tick(void *self)
{
	router_modules_t *s = self;

	bsh_admission_tick(&s->admission, now_us(s));
	bsh_attempts_tick(&s->attempts, now_us(s));
	bsh_journal_tick(&s->journal, now_us(s));
	bsh_drain_tick(&s->drain, now_us(s));
	arm_timer(s);
}

const adapter_t berylshunt_adapter = { .name = "berylshunt",
				       .create = create,
				       .destroy = destroy,
				       .submit = submit,
				       .caller_gone = caller_gone,
				       .connected = connected,
				       .head = head,
				       .body = body,
				       .end = end,
				       .failed = failed,
				       .need_answer = need_answer,
				       .ready = ready,
				       .list = list,
				       .leaving_reported = leaving_reported,
				       .store_done = store_done,
				       .terminate = terminate,
				       .tick = tick };
