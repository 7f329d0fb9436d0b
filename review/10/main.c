/* A worker leaves an order to load unanswered and carries it out late; it crashes
 * and starts again in between, and the holder of the order lease is stopped by
 * SIGTERM. */
#include <signal.h>
#include <string.h>

#include "stand.h"

#define INSTANCES 3
#define MODELS	  3
#define CALLS_MAX 400
/* The holder releases the lease 4 s after SIGTERM. */
#define ORDER_AFTER_TERM_MS 2500
#define LATE_MS		    9000
#define DOWN_MS		    800

typedef struct {
	stand_t stand;
	rig_entry_t *holder;
	rig_reply_t stream;
	rig_reply_t replies[CALLS_MAX];
	uint32_t n;
} case_t;

static void configure(case_t *c)
{
	g_autofree char *route =
		stand_route("reply", "stream", "llm", 2, true, 6000, 2500);
	g_autofree char *service = stand_service(&c->stand, "llm", 0, MODELS);

	stand_configure(&c->stand, route, service);
}

/* Sends a request to an instance that is not about to stop. */
static void call(case_t *c, const char *model)
{
	rig_entry_t *entry = &c->stand.rig.entries[c->n % INSTANCES];
	char id[32];

	if (c->n == CALLS_MAX)
		return;
	if (entry == c->holder)
		entry = &c->stand.rig.entries[(c->n + 1) % INSTANCES];
	g_snprintf(id, sizeof(id), "call-%u", c->n);
	platform_rig_send(&c->stand.rig, entry->front, "/reply/1", id, model,
			  3000, &c->replies[c->n++]);
}

static void call_until(case_t *c, int64_t at_ms, const char *one,
		       const char *other)
{
	while (stand_now_ms(&c->stand) < at_ms) {
		call(c, one);
		if (other != NULL)
			call(c, other);
		platform_rig_run(&c->stand.rig, 150);
	}
}

/* Waits until the engine was given one more order to load this model. */
static bool wait_order(case_t *c, const char *model, guint from)
{
	for (int i = 0; i < 600; i++) {
		const GArray *orders = c->stand.orders;

		for (guint j = from; j < orders->len; j++) {
			const stand_order_t *order =
				&g_array_index(orders, stand_order_t, j);

			if (order->load && strcmp(order->model, model) == 0)
				return true;
		}
		platform_rig_run(&c->stand.rig, 5);
	}
	return false;
}

int main(int argc, char **argv)
{
	static const char *const first[] = { "m0", NULL };
	static case_t c;
	stand_engine_t *worker;
	int64_t term_ms;
	guint n;
	int broken;

	stand_init(&c.stand, argc > 1 ? argv[1] : "record.txt");
	configure(&c);
	worker = stand_add_engine(&c.stand, "llm", first);
	/* It has had all models before. */
	for (int i = 1; i < MODELS; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "m%d", i);
		json_array_append_new(worker->copies, json_string(name));
	}
	for (int i = 0; i < INSTANCES; i++)
		stand_add_instance(&c.stand, NULL);
	stand_wait_ready(&c.stand, INSTANCES);
	call_until(&c, 8000, "m0", "m1");
	c.holder = stand_instance(&c.stand, stand_holder(&c.stand));
	if (c.holder == NULL)
		return 2;
	worker->n_events = 60;
	worker->gap_ms = 100;
	platform_rig_send(&c.stand.rig, c.holder->front, "/reply/1", "long-1",
			  "m0", 6000, &c.stream);
	platform_rig_run(&c.stand.rig, 200);
	worker->n_events = 10;
	worker->gap_ms = 20;
	term_ms = stand_now_ms(&c.stand);
	stand_log(&c.stand, "SIGTERM to the holder %s", c.holder->name);
	kill(c.holder->pid, SIGTERM);
	call_until(&c, term_ms + ORDER_AFTER_TERM_MS, "m0", NULL);
	n = c.stand.orders->len;
	if (c.stand.trouble)
		worker->late_loads_ms = LATE_MS;
	for (int i = 0; i < 3; i++)
		call(&c, "m2");
	if (!wait_order(&c, "m2", n))
		return 2;
	worker->late_loads_ms = 0;
	platform_rig_run(&c.stand.rig, 200);
	if (c.stand.trouble)
		stand_crash_engine(worker, DOWN_MS);
	call_until(&c, term_ms + 20000, "m0", "m1");
	broken = worker->overloads > 0;
	stand_log(&c.stand, "%sorders=%u overloads=%u",
		  broken ? "BROKEN: " : "", c.stand.orders->len,
		  worker->overloads);
	printf("orders=%u overloads=%u\n", c.stand.orders->len,
	       worker->overloads);
	for (uint32_t i = 0; i < c.n; i++)
		platform_rig_reply_clear(&c.replies[i]);
	platform_rig_reply_clear(&c.stream);
	stand_finish(&c.stand);
	return broken;
}
