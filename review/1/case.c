/* Two of three machines are cut off from the third one and from the store for
 * 12 s.  Meanwhile two machines are added. */
#include <signal.h>
#include <string.h>

#include "link.h"

#define MODELS	     10
#define DEADLINE_MS  8000
#define CUT_MS	     12000
#define ADD_AFTER_MS 3500
#define ADDED	     2
#define TAIL_MS	     3000
#define ENGINES	     2
#define REQUESTS_MAX 600
#define ASK_MS	     250

typedef struct {
	stand_t stand;
	link_t links[2];
	rig_reply_t replies[REQUESTS_MAX];
	uint32_t n;
	int64_t next_ms;
} case_t;

static void configure(case_t *c)
{
	g_autofree char *route = stand_route("reply", "stream", "llm", 2, true,
					     DEADLINE_MS, 300);
	g_autofree char *service = stand_service(&c->stand, "llm", 0, MODELS);

	stand_configure(&c->stand, route, service);
}

/* Callers ask for one model after the other, at all machines. */
static void run(case_t *c, int64_t ms)
{
	int64_t until_ms = stand_now_ms(&c->stand) + ms;
	platform_rig_t *rig = &c->stand.rig;

	while (stand_now_ms(&c->stand) < until_ms) {
		uint32_t ask;

		platform_rig_run(rig, 5);
		if (stand_now_ms(&c->stand) < c->next_ms)
			continue;
		c->next_ms = stand_now_ms(&c->stand) + ASK_MS;
		ask = (uint32_t)(stand_now_ms(&c->stand) / 1000);
		for (uint32_t i = 0; i < rig->n_entries; i++) {
			char id[32];
			char model[16];

			if (c->n == REQUESTS_MAX || rig->entries[i].pid == 0)
				continue;
			g_snprintf(id, sizeof(id), "try-%05u", c->n);
			g_snprintf(model, sizeof(model), "m%u", ask % MODELS);
			platform_rig_send(rig, rig->entries[i].front,
					  "/reply/1", id, model, DEADLINE_MS,
					  &c->replies[c->n++]);
		}
	}
}

static void run_quietly(case_t *c, int64_t ms)
{
	platform_rig_run(&c->stand.rig, ms);
}

/* The lease is held by one of the two. */
static void move_lease(case_t *c)
{
	rig_entry_t *first = &c->stand.rig.entries[0];

	if (strcmp(stand_holder(&c->stand), first->name) != 0)
		return;
	kill(first->pid, SIGKILL);
	while (strcmp(stand_holder(&c->stand), first->name) == 0)
		run_quietly(c, 50);
	while (stand_is_running(&c->stand, first))
		run_quietly(c, 5);
	platform_rig_spawn(&c->stand.rig, first);
	stand_wait_ready(&c->stand, 3);
}

/* What breaks the rule, at each worker. */
static int judge(case_t *c)
{
	const GArray *orders = c->stand.orders;
	uint32_t turns = 0;
	uint32_t lower = 0;

	for (guint i = 0; i < orders->len; i++) {
		const stand_order_t *b =
			&g_array_index(orders, stand_order_t, i);

		for (guint j = i; j > 0; j--) {
			const stand_order_t *a =
				&g_array_index(orders, stand_order_t, j - 1);

			if (strcmp(a->engine, b->engine) != 0)
				continue;
			if (strcmp(a->holder, b->holder) == 0)
				break;
			if (b->fence < a->fence) {
				lower++;
				stand_log(&c->stand,
					  "at %s %.3f s: %s with fence "
					  "%" G_GUINT64_FORMAT
					  " after %s with %" G_GUINT64_FORMAT,
					  b->engine, (double)b->at_ms / 1000,
					  b->holder, b->fence, a->holder,
					  a->fence);
			}
			if (b->at_ms - a->at_ms < STAND_LEASE_MS) {
				turns++;
				stand_log(&c->stand,
					  "at %s %.3f s: %s, %.3f s after %s",
					  b->engine, (double)b->at_ms / 1000,
					  b->holder,
					  (double)(b->at_ms - a->at_ms) / 1000,
					  a->holder);
			}
			break;
		}
	}
	stand_log(&c->stand,
		  "%sorders=%u turns within %d ms=%u lower fences=%u",
		  turns + lower > 0 ? "BROKEN: " : "", orders->len,
		  STAND_LEASE_MS, turns, lower);
	printf("orders=%u turns=%u lower fences=%u\n", orders->len, turns,
	       lower);
	return turns + lower > 0;
}

static void set_cut(case_t *c, bool cut)
{
	for (int i = 0; i < 2; i++) {
		c->links[i].resets = true;
		link_set_cut(&c->links[i], cut);
	}
}

int main(int argc, char **argv)
{
	static const char *const models[] = { "m0", NULL };
	static case_t c;
	int broken;

	stand_init(&c.stand, argc > 1 ? argv[1] : "record.txt");
	configure(&c);
	for (int i = 0; i < ENGINES; i++)
		stand_add_engine(&c.stand, "llm", models);
	stand_add_instance(&c.stand, NULL);
	stand_wait_ready(&c.stand, 1);
	for (int i = 0; i < 2; i++) {
		link_add_instance(&c.links[i], &c.stand);
		if (i == 1) {
			link_keep(&c.links[0], c.stand.rig.entries[2].name,
				  &c.links[1]);
			link_keep(&c.links[1], c.stand.rig.entries[1].name,
				  &c.links[0]);
		}
		stand_wait_ready(&c.stand, 2 + (uint32_t)i);
	}
	run_quietly(&c, 5000);
	move_lease(&c);
	run(&c, 8000);
	stand_log(&c.stand, "holder of the lease: %s", stand_holder(&c.stand));
	if (strcmp(stand_holder(&c.stand), c.stand.rig.entries[0].name) == 0) {
		stand_finish(&c.stand);
		return 2;
	}
	if (c.stand.trouble) {
		stand_log(&c.stand,
			  "%s and %s are cut off from %s and the store",
			  c.stand.rig.entries[1].name,
			  c.stand.rig.entries[2].name,
			  c.stand.rig.entries[0].name);
		set_cut(&c, true);
	}
	run(&c, ADD_AFTER_MS);
	for (int i = 0; i < ADDED; i++) {
		stand_add_instance(&c.stand, NULL);
		stand_log(&c.stand, "%s is added",
			  c.stand.rig.entries[3 + i].name);
	}
	run(&c, CUT_MS - ADD_AFTER_MS);
	if (c.stand.trouble)
		stand_log(&c.stand, "the cut ends");
	broken = judge(&c);
	set_cut(&c, false);
	run(&c, TAIL_MS);
	for (uint32_t i = 0; i < c.n; i++)
		platform_rig_reply_clear(&c.replies[i]);
	for (int i = 0; i < 2; i++)
		link_finish(&c.links[i]);
	stand_finish(&c.stand);
	return broken;
}
