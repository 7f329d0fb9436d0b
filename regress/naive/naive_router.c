#include <string.h>

#include "support/world.h"

/*
 * The router as one writes it first, baseline of the proofs on world.h: round
 * robin over the platform's list, a queue without a deadline check, retries on
 * any error, answers accepted from whatever connection they arrive on,
 * idempotency keys held in memory only, and a fixed grace time at shutdown.
 */
#define TIMEOUT_US   (4 * SIM_S)
#define GRACE_US     (5 * SIM_S)
#define ATTEMPTS_MAX 3

typedef struct naive_router naive_router_t;

typedef struct {
	naive_router_t *router;
	submission_t *sub;
	conn_t *conn;
	int attempts;
	int64_t activity_us; /* start of the attempt or last part received */
} request_t;

struct naive_router {
	world_t *w;
	int router;
	bool draining;
	bool ready[WORLD_MODELS];
	bool leaving[WORLD_TARGETS];
	int next_turn;	      /* round-robin counter */
	int64_t exit_us;      /* end of the grace time */
	int64_t need_sent_us; /* last repetition of NEED */
	GPtrArray *waiting;   /* request_t, for the cold model */
	GPtrArray *open;      /* request_t, all unfinished */
	GHashTable *answered; /* set of answered keyed calls, as call + 1 */
};

static void schedule_tick(naive_router_t *n)
{
	if (n->open->len > 0 || n->waiting->len > 0 || n->draining)
		world_arm(n->w, n->router, n->w->sim.now_us + 250 * SIM_MS);
}

static void finish(request_t *r, bsh_error_t err, bsh_outcome_t outcome)
{
	naive_router_t *n = r->router;
	submission_t *sub = r->sub;

	g_ptr_array_remove_fast(n->open, r);
	if (r->conn != NULL) {
		world_close(r->conn);
		r->conn->request = NULL;
	}
	if (err == BSH_OK && sub->keyed)
		g_hash_table_add(n->answered, GINT_TO_POINTER(sub->call + 1));
	g_free(r);
	world_end(sub, err, outcome, err == BSH_OK ? 0 : 1000);
}

static void start_attempt(request_t *r)
{
	naive_router_t *n = r->router;
	int first;
	int count;

	world_model_targets(world_model_of(r->sub->kind), &first, &count);
	r->attempts++;
	r->activity_us = n->w->sim.now_us;
	for (int i = 0; i < count; i++) {
		int target = first + n->next_turn++ % count;

		if (n->leaving[target])
			continue;
		r->conn = world_open(n->w, n->router, target, r->sub, "");
		r->conn->request = r;
		return;
	}
	finish(r, BSH_ERR_CAPACITY, BSH_OUTCOME_NOT_RUN);
}

static void retry(request_t *r)
{
	if (r->conn != NULL) {
		world_close(r->conn);
		r->conn->request = NULL;
		r->conn = NULL;
	}
	if (r->attempts < ATTEMPTS_MAX)
		start_attempt(r);
	else
		finish(r, BSH_ERR_CONNECT, BSH_OUTCOME_NOT_RUN);
}

static void *create(world_t *w, int router)
{
	naive_router_t *n = g_new0(naive_router_t, 1);

	n->w = w;
	n->router = router;
	n->waiting = g_ptr_array_new();
	n->open = g_ptr_array_new();
	n->answered = g_hash_table_new(NULL, NULL);
	return n;
}

static void destroy(void *self)
{
	naive_router_t *n = self;

	for (conn_t *c = n->w->conns; c != NULL; c = c->next) {
		if (c->router == n->router)
			c->request = NULL;
	}
	for (guint i = 0; i < n->open->len; i++)
		g_free(g_ptr_array_index(n->open, i));
	g_ptr_array_free(n->waiting, TRUE);
	g_ptr_array_free(n->open, TRUE);
	g_hash_table_destroy(n->answered);
	g_free(n);
}

static void submit(void *self, submission_t *sub)
{
	naive_router_t *n = self;
	chunk_t chunk = { .call = sub->call };
	request_t *r;

	if (n->draining) {
		world_end(sub, BSH_ERR_DRAINING, BSH_OUTCOME_NOT_RUN, 0);
		return;
	}
	if (sub->keyed &&
	    g_hash_table_contains(n->answered,
				  GINT_TO_POINTER(sub->call + 1))) {
		world_chunk(sub, &chunk);
		world_end(sub, BSH_OK, BSH_OUTCOME_ANSWERED, 0);
		return;
	}
	r = g_new0(request_t, 1);
	r->router = n;
	r->sub = sub;
	r->activity_us = n->w->sim.now_us;
	sub->request = r;
	g_ptr_array_add(n->open, r);
	if (n->ready[world_model_of(sub->kind)]) {
		start_attempt(r);
	} else {
		g_ptr_array_add(n->waiting, r);
		world_need(n->w, n->router, world_model_of(sub->kind));
	}
	schedule_tick(n);
}

static void caller_gone(void *self, submission_t *sub)
{
	(void)self;
	(void)sub;
}

static bool connected(void *self, conn_t *conn)
{
	(void)self;
	return conn->request != NULL;
}

static void head(void *self, conn_t *conn, const bsh_answer_head_t *head)
{
	request_t *r = conn->request;

	(void)self;
	if (r == NULL)
		return;
	r->activity_us = r->router->w->sim.now_us;
	if (head->status == 429)
		retry(r);
}

static void body(void *self, conn_t *conn, const chunk_t *chunk)
{
	request_t *r = conn->request;

	(void)self;
	if (r == NULL)
		return;
	r->activity_us = r->router->w->sim.now_us;
	world_chunk(r->sub, chunk);
}

static void end(void *self, conn_t *conn)
{
	(void)self;
	if (conn->request != NULL)
		finish(conn->request, BSH_OK, BSH_OUTCOME_ANSWERED);
}

static void failed(void *self, conn_t *conn)
{
	(void)self;
	if (conn->request != NULL)
		retry(conn->request);
}

static void need_answer(void *self, int model, int64_t ready_us,
			uint32_t retry_ms)
{
	(void)self;
	(void)model;
	(void)ready_us;
	(void)retry_ms;
}

static void ready(void *self, int model)
{
	naive_router_t *n = self;

	n->ready[model] = true;
	if (model != 1)
		return;
	while (n->waiting->len > 0)
		start_attempt(g_ptr_array_steal_index(n->waiting, 0));
}

static void list(void *self, int target, uint64_t incarnation, bool leaving)
{
	naive_router_t *n = self;

	(void)incarnation;
	n->leaving[target] = leaving;
}

static void leaving_reported(void *self, int target, uint64_t incarnation)
{
	(void)self;
	(void)target;
	(void)incarnation;
}

static void store_done(void *self, uint64_t call, bool writing,
		       bsh_store_status_t status, uint64_t version,
		       const char *value)
{
	(void)self;
	(void)call;
	(void)writing;
	(void)status;
	(void)version;
	(void)value;
}

static void terminate(void *self)
{
	naive_router_t *n = self;

	n->draining = true;
	n->exit_us = n->w->sim.now_us + GRACE_US;
	schedule_tick(n);
}

static void tick(void *self)
{
	naive_router_t *n = self;
	int64_t now_us = n->w->sim.now_us;

	if (n->draining && (now_us >= n->exit_us || n->open->len == 0)) {
		world_exit(n->w, n->router);
		return;
	}
	if (n->waiting->len > 0 && now_us - n->need_sent_us >= SIM_S) {
		n->need_sent_us = now_us;
		world_need(n->w, n->router, 1);
	}
	for (guint i = 0; i < n->open->len; i++) {
		request_t *r = g_ptr_array_index(n->open, i);

		if (r->conn != NULL && now_us - r->activity_us >= TIMEOUT_US) {
			retry(r);
			break;
		}
	}
	schedule_tick(n);
}

const adapter_t naive_adapter = { .name = "naive",
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
