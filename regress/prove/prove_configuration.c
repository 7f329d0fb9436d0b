#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/member.h"
#include "naive/naive_config.h"
#include "support/fleet.h"

/*
 * Guards against a configuration that is accepted but not in force, that
 * reverts, or that is said to be in force when it is not.  The same seeded
 * faults run against the naive version and berylshunt.
 */
#define INSTANCES 7
#define ZONES	  3
#define FIRST_US  (3 * SIM_S)
#define READY_US  (25 * SIM_S)
#define WINDOW_US (60 * SIM_S)
#define TAIL_US	  (25 * SIM_S)
#define HOUR_US	  (3600 * SIM_S)
#define RACE_US	  (2 * SIM_MS)

enum {
	STORE_DOWN = 1 << 0,
	STORE_SLOW = 1 << 1,
	ANSWER_LOST = 1 << 2,
	OPERATORS = 1 << 3,
	FROZEN = 1 << 4,
	CUT = 1 << 5,
	CUT_ONE_WAY = 1 << 6,
	RESTARTED = 1 << 7,
	LAGGING_LIST = 1 << 8,
	LATE = 1 << 9,
	REGION_HOUR = 1 << 10,
	STORE_HOUR = 1 << 11,
	TWICE = 1 << 12,
	LOSS = 1 << 13,
	PAUSED = 1 << 14,
	WITNESS_LEAVES = 1 << 15
};

#define ALL_SHORT                                                              \
	(STORE_DOWN | STORE_SLOW | ANSWER_LOST | OPERATORS | FROZEN | CUT |    \
	 CUT_ONE_WAY | RESTARTED | LAGGING_LIST | LATE | LOSS | PAUSED |       \
	 WITNESS_LEAVES)

typedef struct {
	const char *name;
	uint32_t faults;
	uint32_t seeds;
} row_t;

static const row_t rows[] = {
	{ "store-slow", STORE_SLOW, 18 },
	{ "answer-lost", ANSWER_LOST, 18 },
	{ "two-operators", OPERATORS, 18 },
	{ "frozen", FROZEN, 18 },
	{ "cut", CUT, 18 },
	{ "cut-one-way", CUT_ONE_WAY, 18 },
	{ "restarted+store-slow", RESTARTED | STORE_SLOW, 18 },
	{ "lagging-list", LAGGING_LIST, 18 },
	{ "lagging-list+cut", LAGGING_LIST | CUT, 18 },
	{ "proposer-paused", PAUSED, 18 },
	{ "proposer-paused-twice", PAUSED | TWICE, 18 },
	{ "witness-leaves", WITNESS_LEAVES, 18 },
	{ "late-messages", LATE, 18 },
	{ "frozen-twice", FROZEN | TWICE, 18 },
	{ "cut-twice", CUT | TWICE, 18 },
	{ "store-down+cut", STORE_DOWN | CUT, 18 },
	{ "frozen+answer-lost", FROZEN | ANSWER_LOST, 18 },
	{ "restarted+cut+operators", RESTARTED | CUT | OPERATORS, 18 },
	{ "all", ALL_SHORT, 25 },
	{ "all-twice", ALL_SHORT | TWICE, 25 },
	{ "region-hour", REGION_HOUR, 3 },
};

/*
 * The naive version stands these: without a change, or with working polls, it
 * has nothing to break.  They are no rows of the proof, but must hold.
 */
static const row_t also[] = {
	{ "store-down", STORE_DOWN, 18 },
	{ "loss", LOSS, 18 },
	{ "store-hour", STORE_HOUR, 2 },
	{ "region+store-hour", REGION_HOUR | STORE_HOUR, 2 },
};

typedef struct {
	fleet_t fleet;
	uint32_t faults;
} run_t;

static guint any_node(run_t *run)
{
	return bsh_rng_below(&run->fleet.sim.rng, INSTANCES);
}

/* ---- faults: each starts, lasts and ends by itself ---- */

static void end_store(void *ctx, void *data)
{
	fleet_t *f = &((run_t *)ctx)->fleet;

	(void)data;
	f->store_down = false;
	f->store_min_us = 1 * SIM_MS;
	f->store_max_us = 4 * SIM_MS;
	f->lose_answer = 0;
	f->late = 0;
	f->loss = 0;
}

static void end_cut(void *ctx, void *data)
{
	fleet_t *f = &((run_t *)ctx)->fleet;

	(void)data;
	memset(f->cut, 0, sizeof(f->cut));
	memset(f->store_cut, 0, sizeof(f->store_cut));
	f->update_delay_us = 0;
}

static void start_again(void *ctx, void *data)
{
	run_t *run = ctx;
	guint node = GPOINTER_TO_UINT(data);

	if (run->fleet.nodes[node].app == NULL)
		fleet_start(&run->fleet, node);
}

/* One zone, or one instance, on the far side; the store on either. */
static void cut(run_t *run, bool one_way)
{
	fleet_t *f = &run->fleet;
	guint zone = bsh_rng_below(&f->sim.rng, ZONES);
	bool whole_zone = sim_chance(&f->sim, 0.5);
	guint single = any_node(run);
	guint from = one_way ? bsh_rng_below(&f->sim.rng, 2) : 0;

	for (guint i = 0; i < INSTANCES; i++)
		f->nodes[i].side = whole_zone ? i % ZONES == zone : i == single;
	f->cut[from][1 - from] = true;
	if (!one_way)
		f->cut[1][0] = true;
	f->store_cut[1] = sim_chance(&f->sim, 0.5);
}

static void restart_others(void *ctx, void *data)
{
	run_t *run = ctx;

	(void)data;
	for (guint i = 0; i < INSTANCES; i++) {
		if (run->fleet.nodes[i].side == 0) {
			fleet_kill(&run->fleet, i);
			start_again(run, GUINT_TO_POINTER(i));
		}
	}
}

static void leave_alone(void *ctx, void *data)
{
	fleet_t *f = &((run_t *)ctx)->fleet;

	(void)data;
	f->cut[0][1] = f->cut[1][0] = true;
	f->store_cut[0] = true;
}

/*
 * A proposer has its majority and its update is under way for long, while the
 * witnesses restart, or lose the store and the proposer.
 */
static void pause_proposer(run_t *run, guint node)
{
	fleet_t *f = &run->fleet;
	sim_t *sim = &f->sim;
	int64_t restart_us = sim_delay(sim, 30 * SIM_MS, 2 * SIM_S);

	for (guint i = 0; i < INSTANCES; i++)
		f->nodes[i].side = i == node;
	f->update_delay_us = sim_delay(sim, SIM_S, 20 * SIM_S);
	fleet_apply(f, node);
	if (sim_chance(sim, 0.5))
		sim_after(sim, restart_us, restart_others, run, NULL);
	sim_after(sim, restart_us + sim_delay(sim, 0, 6 * SIM_S), leave_alone,
		  run, NULL);
	sim_after(sim, 45 * SIM_S, end_cut, run, NULL);
}

static void change_elsewhere(void *ctx, void *data)
{
	run_t *run = ctx;
	guint node = any_node(run);

	(void)data;
	if (run->fleet.nodes[node].side == 0)
		fleet_apply(&run->fleet, node);
}

static void isolate(void *ctx, void *data)
{
	run_t *run = ctx;
	fleet_t *f = &run->fleet;

	for (guint i = 0; i < INSTANCES; i++)
		f->nodes[i].side = i == GPOINTER_TO_UINT(data);
	f->cut[0][1] = f->cut[1][0] = f->store_cut[1] = true;
	for (int i = 1; i <= 10; i++)
		sim_after(&f->sim, i * 700 * SIM_MS, change_elsewhere, run,
			  NULL);
	sim_after(&f->sim, 12 * SIM_S, end_cut, run, NULL);
}

/*
 * A witness is cut off from everything while the others replace it, and keeps
 * its confirmation; changes follow at once.
 */
static void lose_witness(run_t *run, guint node)
{
	fleet_t *f = &run->fleet;

	if (f->app == &fleet_berylshunt && f->nodes[node].app != NULL) {
		bsh_members_leave(fleet_members(f->nodes[node].app),
				  f->sim.now_us);
		fleet_wake(f, node);
	}
	sim_after(&f->sim, sim_delay(&f->sim, 9 * SIM_S, 15 * SIM_S), isolate,
		  run, GUINT_TO_POINTER(node));
}

static void on_fault(void *ctx, void *data)
{
	run_t *run = ctx;
	fleet_t *f = &run->fleet;
	int64_t last_us = sim_delay(&f->sim, 3 * SIM_S, 25 * SIM_S);
	guint node = any_node(run);

	switch (GPOINTER_TO_UINT(data)) {
	case STORE_DOWN:
		f->store_down = true;
		break;
	case STORE_SLOW:
		f->store_min_us = 200 * SIM_MS;
		f->store_max_us = 2500 * SIM_MS;
		break;
	case ANSWER_LOST:
		f->lose_answer = 0.4;
		break;
	case LATE:
		f->late = 0.3;
		break;
	case LOSS:
		f->loss = 0.05;
		break;
	case FROZEN:
		fleet_freeze(f, node, last_us);
		return;
	case RESTARTED:
		fleet_kill(f, node);
		sim_after(&f->sim, last_us / 5, start_again, run,
			  GUINT_TO_POINTER(node));
		return;
	case WITNESS_LEAVES:
		lose_witness(run, node);
		return;
	case PAUSED:
		pause_proposer(run, node);
		return;
	case CUT:
	case CUT_ONE_WAY:
		cut(run, GPOINTER_TO_UINT(data) == CUT_ONE_WAY);
		sim_after(&f->sim, last_us, end_cut, run, NULL);
		return;
	default:
		return;
	}
	sim_after(&f->sim, last_us, end_store, run, NULL);
}

static void on_change(void *ctx, void *data)
{
	run_t *run = ctx;
	fleet_t *f = &run->fleet;

	(void)data;
	fleet_apply(f, any_node(run));
}

static void schedule_faults(run_t *run)
{
	fleet_t *f = &run->fleet;
	int times = run->faults & TWICE ? 2 : 1;

	for (uint32_t bit = 1; bit <= WITNESS_LEAVES; bit <<= 1) {
		for (int i = 0; i < times && (run->faults & bit); i++)
			sim_after(&f->sim,
				  sim_delay(&f->sim, 0, WINDOW_US / 2) +
					  i * WINDOW_US / 2,
				  on_fault, run, GUINT_TO_POINTER(bit));
	}
}

static void schedule_changes(run_t *run, int64_t until_us, int64_t gap_us)
{
	int64_t at_us = 0;

	while (at_us < until_us) {
		at_us += sim_delay(&run->fleet.sim, gap_us / 4, gap_us * 2);
		for (int i = 0; i < (run->faults & OPERATORS ? 3 : 1); i++)
			sim_after(&run->fleet.sim, at_us + i * RACE_US,
				  on_change, run, NULL);
	}
}

/* An hour's cut or outage: changes are rare, service must go on. */
static void long_window(run_t *run)
{
	fleet_t *f = &run->fleet;
	bool reaches_store = sim_chance(&f->sim, 0.5);

	if (run->faults & REGION_HOUR) {
		for (guint i = 0; i < INSTANCES; i++)
			f->nodes[i].side = i % ZONES == 0;
		f->cut[0][1] = f->cut[1][0] = true;
		f->store_cut[1] = !reaches_store;
	}
	f->store_down = (run->faults & STORE_HOUR) != 0;
	schedule_changes(run, HOUR_US, 120 * SIM_S);
	fleet_run(f, f->sim.now_us + HOUR_US);
	end_cut(run, NULL);
	end_store(run, NULL);
}

/* The outage alone: everyone must keep serving. */
static void outage_window(run_t *run)
{
	fleet_t *f = &run->fleet;

	f->serve_after_us = f->sim.now_us;
	f->store_down = true;
	schedule_changes(run, HOUR_US, 300 * SIM_S);
	fleet_run(f, f->sim.now_us + HOUR_US);
	f->serve_after_us = 0;
	end_store(run, NULL);
}

typedef struct {
	fleet_violations_t bad;
	uint64_t calls;
} result_t;

static GArray *reached_us; /* acceptance to nobody running an older one */
static GArray *told_us;	   /* acceptance to the answer "in force" */
static uint64_t not_told;

static void collect(const fleet_t *f)
{
	for (guint i = 1; i < f->accepted->len; i++) {
		const fleet_accepted_t *a =
			&g_array_index(f->accepted, fleet_accepted_t, i);
		int64_t reached = a->last_old_us - a->accepted_us;
		int64_t told = a->told_us - a->accepted_us;

		g_array_append_val(reached_us, reached);
		if (a->told_us != 0)
			g_array_append_val(told_us, told);
		else
			not_told++;
	}
}

static result_t run_seed(const fleet_app_t *app, uint32_t faults, uint32_t seed,
			 bool verbose)
{
	run_t run = { .faults = faults };
	fleet_t *f = &run.fleet;
	result_t result;

	fleet_init(f, app, INSTANCES, ZONES, seed);
	f->verbose = verbose;
	if (faults & LAGGING_LIST) {
		f->list_lag_us = 40 * SIM_S;
		f->nodes[INSTANCES - 1].listed_us = -1;
	}
	for (guint i = 0; i < INSTANCES; i++) {
		if (f->nodes[i].listed_us == 0)
			fleet_start(f, i);
	}
	fleet_run(f, FIRST_US);
	fleet_apply(f, 0);
	fleet_run(f, READY_US);
	if (faults & LAGGING_LIST)
		fleet_start(f, INSTANCES - 1);
	if (faults == STORE_HOUR) {
		outage_window(&run);
	} else if (faults & (REGION_HOUR | STORE_HOUR)) {
		long_window(&run);
	} else {
		schedule_faults(&run);
		schedule_changes(&run, WINDOW_US, 4 * SIM_S);
		fleet_run(f, READY_US + WINDOW_US);
	}
	fleet_run(f, f->sim.now_us + TAIL_US);
	end_store(&run, NULL);
	end_cut(&run, NULL);
	fleet_run(f, f->sim.now_us + TAIL_US);
	if (app == &fleet_berylshunt)
		collect(f);
	result = (result_t){ f->bad, f->store_calls };
	if (verbose)
		fprintf(stderr,
			"old %" PRIu64 " revert %" PRIu64 " fork %" PRIu64
			" untrue %" PRIu64 " idle %" PRIu64
			" overwrite %" PRIu64 ", %u accepted\n",
			f->bad.old, f->bad.revert, f->bad.fork, f->bad.untrue,
			f->bad.idle, f->bad.overwrite, f->accepted->len);
	fleet_finish(f);
	return result;
}

static uint64_t total(const result_t *r)
{
	return r->bad.old + r->bad.revert + r->bad.fork + r->bad.untrue +
	       r->bad.idle + r->bad.overwrite;
}

static gint by_value(gconstpointer x, gconstpointer y)
{
	int64_t a = *(const int64_t *)x;
	int64_t b = *(const int64_t *)y;

	return a < b ? -1 : a > b;
}

static double at_share(GArray *times, guint percent)
{
	guint i = MIN(times->len * percent / 100, times->len - 1);

	return (double)g_array_index(times, int64_t, i) / 1e6;
}

static void print_times(const char *what, GArray *times)
{
	if (times->len == 0)
		return;
	g_array_sort(times, by_value);
	fprintf(stderr,
		"%s: %u changes, median %.2f s, p95 %.2f s, max %.2f s\n", what,
		times->len, at_share(times, 50), at_share(times, 95),
		at_share(times, 100));
}

/* Returns berylshunt's violations. */
static uint64_t run_row(const row_t *row, bool is_row)
{
	uint64_t naive = 0;
	uint64_t ours = 0;
	uint32_t first_bad = 0;

	for (uint32_t seed = 1; seed <= row->seeds; seed++) {
		result_t n =
			run_seed(&fleet_naive_config, row->faults, seed, false);
		result_t b =
			run_seed(&fleet_berylshunt, row->faults, seed, false);

		naive += total(&n);
		ours += total(&b);
		if (total(&b) > 0 && first_bad == 0)
			first_bad = seed;
	}
	fprintf(is_row ? stdout : stderr,
		"configuration\t%s\t%u\t%" PRIu64 "\t%" PRIu64 "\n", row->name,
		row->seeds, naive, ours);
	fflush(stdout);
	if (first_bad != 0)
		fprintf(stderr,
			"first failing seed: --faults %s --seed %u --verbose\n",
			row->name, first_bad);
	print_times("  nobody older", reached_us);
	print_times("  in force told", told_us);
	g_array_set_size(reached_us, 0);
	g_array_set_size(told_us, 0);
	return ours;
}

typedef struct {
	const char *faults;
	uint32_t seed;
	bool verbose;
	bool naive;
} options_t;

static uint64_t run_rows(const options_t *o, const row_t *list, size_t n,
			 bool is_row)
{
	uint64_t ours = 0;

	for (size_t i = 0; i < n; i++) {
		if (o->faults != NULL && strcmp(o->faults, list[i].name) != 0)
			continue;
		if (o->seed != 0)
			run_seed(o->naive ? &fleet_naive_config
					  : &fleet_berylshunt,
				 list[i].faults, o->seed, o->verbose);
		else
			ours += run_row(&list[i], is_row);
	}
	return ours;
}

int main(int argc, char **argv)
{
	options_t o = { 0 };

	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--seed") == 0 && i + 1 < argc)
			o.seed = (uint32_t)strtoul(argv[++i], NULL, 10);
		else if (strcmp(argv[i], "--faults") == 0 && i + 1 < argc)
			o.faults = argv[++i];
		else if (strcmp(argv[i], "--verbose") == 0)
			o.verbose = true;
		else if (strcmp(argv[i], "--naive") == 0)
			o.naive = true;
	}
	reached_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	told_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	run_rows(&o, rows, G_N_ELEMENTS(rows), true);
	return run_rows(&o, also, G_N_ELEMENTS(also), false) != 0;
}
