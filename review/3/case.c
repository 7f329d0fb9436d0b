/* A worker has asked for a pause of 30 s.  It is partitioned from the store for
 * 5 s, so that its entry lapses and comes back. */
#include <string.h>

#include "work.h"

#define INSTANCES   2
#define WORKERS	    5
#define SLOTS	    8
#define WORK_MS	    30
#define DEADLINE_MS 1500
#define GROUP	    12 /* requests that callers send at once */
#define GROUP_MS    120
#define CUT_MS	    5000
#define PAUSE_S	    30
#define REQUESTS_MAX 3000
/* The rule: no more than these, from half a second after the answer on. */
#define MOST	   2
#define AFTER_MS   500

typedef struct {
	stand_t stand;
	work_t *workers[WORKERS];
	rig_reply_t replies[REQUESTS_MAX];
	uint32_t n;
	int64_t next_ms;
} case_t;

/* All callers use the first machine. */
static void run(case_t *c, int64_t ms)
{
	int64_t until_ms = stand_now_ms(&c->stand) + ms;

	while (stand_now_ms(&c->stand) < until_ms) {
		platform_rig_run(&c->stand.rig, 5);
		if (stand_now_ms(&c->stand) < c->next_ms)
			continue;
		c->next_ms = stand_now_ms(&c->stand) + GROUP_MS;
		for (int i = 0; i < GROUP && c->n < REQUESTS_MAX; i++) {
			char id[32];

			g_snprintf(id, sizeof(id), "try-%05u", c->n);
			platform_rig_send(&c->stand.rig,
					  c->stand.rig.entries[0].front,
					  "/look/1", id, NULL, DEADLINE_MS,
					  &c->replies[c->n++]);
		}
	}
}

static void configure(case_t *c)
{
	g_autofree char *route = stand_route("look", "idempotent", "desk", 2,
					     false, DEADLINE_MS, 300);

	stand_configure(&c->stand, route,
			"{\"name\":\"desk\",\"maxConnections\":100}");
}

static int judge(case_t *c, const work_t *work)
{
	int64_t named_ms = -1;
	uint32_t n = 0;

	for (guint i = 0; i < work->arrivals->len; i++) {
		const work_arrival_t *a =
			&g_array_index(work->arrivals, work_arrival_t, i);

		if (named_ms < 0 && a->status == 503)
			named_ms = a->at_ms;
		if (named_ms < 0 || a->at_ms < named_ms + AFTER_MS ||
		    a->at_ms > named_ms + PAUSE_S * 1000)
			continue;
		n++;
		stand_log(&c->stand,
			  "%s reaches worker %s %.3f s after the worker has "
			  "answered 503 with Retry-After: %d",
			  a->id, work->id,
			  (double)(a->at_ms - named_ms) / 1000, PAUSE_S);
	}
	stand_log(&c->stand, "%s%u requests in the pause, allowed %d",
		  n > MOST ? "BROKEN: " : "", n, MOST);
	printf("requests=%u in the pause=%u\n", c->n, n);
	return named_ms < 0 ? 2 : n > MOST;
}

int main(int argc, char **argv)
{
	static case_t c;
	uint32_t served = 0;
	int broken;

	stand_init(&c.stand, argc > 1 ? argv[1] : "record.txt");
	configure(&c);
	for (int i = 0; i < WORKERS; i++) {
		c.workers[i] = work_add(&c.stand, "desk", NULL, SLOTS);
		c.workers[i]->work_ms = WORK_MS;
	}
	for (int i = 0; i < INSTANCES; i++)
		stand_add_instance(&c.stand, NULL);
	stand_wait_ready(&c.stand, INSTANCES);
	platform_rig_run(&c.stand.rig, 5000);
	run(&c, 2000);
	c.workers[0]->pause = G_STRINGIFY(PAUSE_S);
	run(&c, 2000);
	if (c.stand.trouble)
		work_cut_store(c.workers[0], true);
	run(&c, CUT_MS);
	if (c.stand.trouble)
		work_cut_store(c.workers[0], false);
	run(&c, 6000);
	platform_rig_run(&c.stand.rig, 2000);
	for (uint32_t i = 0; i < c.n; i++) {
		served += c.replies[i].status == 200;
		stand_log(&c.stand, "try-%05u: %d", i, c.replies[i].status);
		platform_rig_reply_clear(&c.replies[i]);
	}
	stand_log(&c.stand, "served %u of %u", served, c.n);
	broken = judge(&c, c.workers[0]);
	for (int i = 0; i < WORKERS; i++)
		work_free(c.workers[i]);
	stand_finish(&c.stand);
	return broken;
}
