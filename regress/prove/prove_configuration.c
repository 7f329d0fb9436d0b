#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/member.h"
#include "naive/naive_config.h"
#include "support/fleet.h"

/*
 * Guards against a configuration that is accepted but not adopted everywhere
 * within the bound, that reverts, or that is reported in force when it is not.
 * The same seeded faults run against the naive version and berylshunt.
 */
#define INSTANCES	7
#define ZONES		3
#define FIRST_CHANGE_US (3 * SIM_S)
#define FAULTS_BEGIN_US (25 * SIM_S)
#define FAULTS_US	(60 * SIM_S) /* within which faults start */
#define RECOVERY_US	(25 * SIM_S) /* after FAULTS_US and again at the end */
#define HOUR_US		(3600 * SIM_S)
#define OPERATOR_GAP_US (2 * SIM_MS) /* between changes of several operators */

/* Fault classes, a bit mask. */
enum {
	STORE_DOWN = 1 << 0,
	STORE_SLOW = 1 << 1,
	STORE_ANSWER_LOST = 1 << 2,
	CONCURRENT_OPERATORS = 1 << 3,
	FROZEN = 1 << 4,
	NETWORK_CUT = 1 << 5,
	NETWORK_CUT_ONE_WAY = 1 << 6,
	RESTARTED = 1 << 7,
	LAGGING_LIST = 1 << 8,
	MESSAGES_LATE = 1 << 9,
	REGION_HOUR = 1 << 10,
	STORE_HOUR = 1 << 11,
	EACH_TWICE = 1 << 12,
	MESSAGES_LOST = 1 << 13,
	PROPOSER_PAUSED = 1 << 14,
	WITNESS_LEAVES = 1 << 15
};

#define ALL_SHORT                                                              \
	(STORE_DOWN | STORE_SLOW | STORE_ANSWER_LOST | CONCURRENT_OPERATORS |  \
	 FROZEN | NETWORK_CUT | NETWORK_CUT_ONE_WAY | RESTARTED |              \
	 LAGGING_LIST | MESSAGES_LATE | MESSAGES_LOST | PROPOSER_PAUSED |      \
	 WITNESS_LEAVES)

typedef struct {
	const char *name;
	uint32_t faults;
	uint32_t seeds;
} row_t;

static const row_t rows[] = {
	{ "store-slow", STORE_SLOW, 18 },
	{ "answer-lost", STORE_ANSWER_LOST, 18 },
	{ "two-operators", CONCURRENT_OPERATORS, 18 },
	{ "frozen", FROZEN, 18 },
	{ "cut", NETWORK_CUT, 18 },
	{ "cut-one-way", NETWORK_CUT_ONE_WAY, 18 },
	{ "restarted+store-slow", RESTARTED | STORE_SLOW, 18 },
	{ "lagging-list", LAGGING_LIST, 18 },
	{ "lagging-list+cut", LAGGING_LIST | NETWORK_CUT, 18 },
	{ "proposer-paused", PROPOSER_PAUSED, 18 },
	{ "proposer-paused-twice", PROPOSER_PAUSED | EACH_TWICE, 18 },
	{ "witness-leaves", WITNESS_LEAVES, 18 },
	{ "late-messages", MESSAGES_LATE, 18 },
	{ "frozen-twice", FROZEN | EACH_TWICE, 18 },
	{ "cut-twice", NETWORK_CUT | EACH_TWICE, 18 },
	{ "store-down+cut", STORE_DOWN | NETWORK_CUT, 18 },
	{ "frozen+answer-lost", FROZEN | STORE_ANSWER_LOST, 18 },
	{ "restarted+cut+operators",
	  RESTARTED | NETWORK_CUT | CONCURRENT_OPERATORS, 18 },
	{ "all", ALL_SHORT, 25 },
	{ "all-twice", ALL_SHORT | EACH_TWICE, 25 },
	{ "region-hour", REGION_HOUR, 3 },
};

/*
 * Faults under which the naive version has no violation either: with the store
 * down nothing changes, and with the polls working every change arrives.  The
 * proof has no rows for them, but berylshunt must have no violation.
 */
static const row_t extra_rows[] = {
	{ "store-down", STORE_DOWN, 18 },
	{ "loss", MESSAGES_LOST, 18 },
	{ "store-hour", STORE_HOUR, 2 },
	{ "region+store-hour", REGION_HOUR | STORE_HOUR, 2 },
};

typedef struct {
	fleet_t fleet;
	uint32_t faults;
} run_t;

static guint random_node(run_t *run)
{
	return bsh_rng_below(&run->fleet.sim.rng, INSTANCES);
}

/* ---- faults: each schedules its own end ---- */

static void end_store_faults(void *ctx, void *data)
{
	fleet_t *f = &((run_t *)ctx)->fleet;

	(void)data;
	f->store_down = false;
	f->store_min_us = 1 * SIM_MS;
	f->store_max_us = 4 * SIM_MS;
	f->store_response_loss = 0;
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

static void restart_node(void *ctx, void *data)
{
	run_t *run = ctx;
	guint node = GPOINTER_TO_UINT(data);

	if (run->fleet.nodes[node].app == NULL)
		fleet_start(&run->fleet, node);
}

/* Cuts one availability zone or one instance off from the others, in one or
 * both directions, and in half of the cases also from the store. */
static void cut_network(run_t *run, bool one_way)
{
	fleet_t *f = &run->fleet;
	guint zone = bsh_rng_below(&f->sim.rng, ZONES);
	bool whole_zone = sim_chance(&f->sim, 0.5);
	guint single = random_node(run);
	guint from = one_way ? bsh_rng_below(&f->sim.rng, 2) : 0;

	for (guint i = 0; i < INSTANCES; i++)
		f->nodes[i].side = whole_zone ? i % ZONES == zone : i == single;
	f->cut[from][1 - from] = true;
	if (!one_way)
		f->cut[1][0] = true;
	f->store_cut[1] = sim_chance(&f->sim, 0.5);
}

static void restart_witnesses(void *ctx, void *data)
{
	run_t *run = ctx;

	(void)data;
	for (guint i = 0; i < INSTANCES; i++) {
		if (run->fleet.nodes[i].side == 0) {
			fleet_kill(&run->fleet, i);
			restart_node(run, GUINT_TO_POINTER(i));
		}
	}
}

static void cut_off_witnesses(void *ctx, void *data)
{
	fleet_t *f = &((run_t *)ctx)->fleet;

	(void)data;
	f->cut[0][1] = f->cut[1][0] = true;
	f->store_cut[0] = true;
}

/*
 * A proposer has its majority and its update takes long to reach the store.
 * Meanwhile the witnesses may restart, and then lose the store and the
 * proposer.
 */
static void delay_proposal(run_t *run, guint node)
{
	fleet_t *f = &run->fleet;
	sim_t *sim = &f->sim;
	int64_t restart_us = sim_delay(sim, 30 * SIM_MS, 2 * SIM_S);

	for (guint i = 0; i < INSTANCES; i++)
		f->nodes[i].side = i == node;
	f->update_delay_us = sim_delay(sim, SIM_S, 20 * SIM_S);
	fleet_apply(f, node);
	if (sim_chance(sim, 0.5))
		sim_after(sim, restart_us, restart_witnesses, run, NULL);
	sim_after(sim, restart_us + sim_delay(sim, 0, 6 * SIM_S),
		  cut_off_witnesses, run, NULL);
	sim_after(sim, 45 * SIM_S, end_cut, run, NULL);
}

static void change_outside(void *ctx, void *data)
{
	run_t *run = ctx;
	guint node = random_node(run);

	(void)data;
	if (run->fleet.nodes[node].side == 0)
		fleet_apply(&run->fleet, node);
}

static void isolate_witness(void *ctx, void *data)
{
	run_t *run = ctx;
	fleet_t *f = &run->fleet;

	for (guint i = 0; i < INSTANCES; i++)
		f->nodes[i].side = i == GPOINTER_TO_UINT(data);
	f->cut[0][1] = f->cut[1][0] = f->store_cut[1] = true;
	for (int i = 1; i <= 10; i++)
		sim_after(&f->sim, i * 700 * SIM_MS, change_outside, run, NULL);
	sim_after(&f->sim, 12 * SIM_S, end_cut, run, NULL);
}

/*
 * A witness leaves; 9 to 15 s later, while the others replace it, it is cut off
 * from everything and keeps its confirmation.  The others accept changes at
 * once.
 */
static void remove_witness(run_t *run, guint node)
{
	fleet_t *f = &run->fleet;

	if (f->app == &fleet_berylshunt && f->nodes[node].app != NULL) {
		bsh_members_leave(fleet_members(f->nodes[node].app),
				  f->sim.now_us);
		fleet_tick(f, node);
	}
	sim_after(&f->sim, sim_delay(&f->sim, 9 * SIM_S, 15 * SIM_S),
		  isolate_witness, run, GUINT_TO_POINTER(node));
}

static void start_fault(void *ctx, void *data)
{
	run_t *run = ctx;
	fleet_t *f = &run->fleet;
	int64_t duration_us = sim_delay(&f->sim, 3 * SIM_S, 25 * SIM_S);
	guint node = random_node(run);

	switch (GPOINTER_TO_UINT(data)) {
	case STORE_DOWN:
		f->store_down = true;
		break;
	case STORE_SLOW:
		f->store_min_us = 200 * SIM_MS;
		f->store_max_us = 2500 * SIM_MS;
		break;
	case STORE_ANSWER_LOST:
		f->store_response_loss = 0.4;
		break;
	case MESSAGES_LATE:
		f->late = 0.3;
		break;
	case MESSAGES_LOST:
		f->loss = 0.05;
		break;
	case FROZEN:
		fleet_freeze(f, node, duration_us);
		return;
	case RESTARTED:
		fleet_kill(f, node);
		sim_after(&f->sim, duration_us / 5, restart_node, run,
			  GUINT_TO_POINTER(node));
		return;
	case WITNESS_LEAVES:
		remove_witness(run, node);
		return;
	case PROPOSER_PAUSED:
		delay_proposal(run, node);
		return;
	case NETWORK_CUT:
	case NETWORK_CUT_ONE_WAY:
		cut_network(run, GPOINTER_TO_UINT(data) == NETWORK_CUT_ONE_WAY);
		sim_after(&f->sim, duration_us, end_cut, run, NULL);
		return;
	default:
		return;
	}
	sim_after(&f->sim, duration_us, end_store_faults, run, NULL);
}

static void submit_change(void *ctx, void *data)
{
	run_t *run = ctx;
	fleet_t *f = &run->fleet;

	(void)data;
	fleet_apply(f, random_node(run));
}

static void schedule_faults(run_t *run)
{
	fleet_t *f = &run->fleet;
	int times = run->faults & EACH_TWICE ? 2 : 1;

	for (uint32_t bit = 1; bit <= WITNESS_LEAVES; bit <<= 1) {
		for (int i = 0; i < times && (run->faults & bit); i++)
			sim_after(&f->sim,
				  sim_delay(&f->sim, 0, FAULTS_US / 2) +
					  i * FAULTS_US / 2,
				  start_fault, run, GUINT_TO_POINTER(bit));
	}
}

static void schedule_changes(run_t *run, int64_t until_us, int64_t gap_us)
{
	int64_t at_us = 0;

	while (at_us < until_us) {
		at_us += sim_delay(&run->fleet.sim, gap_us / 4, gap_us * 2);
		for (int i = 0;
		     i < (run->faults & CONCURRENT_OPERATORS ? 3 : 1); i++)
			sim_after(&run->fleet.sim, at_us + i * OPERATOR_GAP_US,
				  submit_change, run, NULL);
	}
}

/* A network cut of an hour, with or without a store outage, and few changes.
 * Instances that take no work are not counted. */
static void run_long_fault(run_t *run)
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
	end_store_faults(run, NULL);
}

/* A store outage of an hour and no other fault: every instance must continue to
 * take work. */
static void run_store_outage(run_t *run)
{
	fleet_t *f = &run->fleet;

	f->serve_after_us = f->sim.now_us;
	f->store_down = true;
	schedule_changes(run, HOUR_US, 300 * SIM_S);
	fleet_run(f, f->sim.now_us + HOUR_US);
	f->serve_after_us = 0;
	end_store_faults(run, NULL);
}

typedef struct {
	fleet_violations_t bad;
	uint64_t calls; /* of the store */
} result_t;

/* int64_t, microseconds from the acceptance of a change until no instance takes
 * work with an older one, and until it is reported in force. */
static GArray *adoption_times;
static GArray *report_times;
static uint64_t unreported; /* changes never reported in force */

static void collect_times(const fleet_t *f)
{
	for (guint i = 1; i < f->accepted->len; i++) {
		const fleet_accepted_t *a =
			&g_array_index(f->accepted, fleet_accepted_t, i);
		int64_t adopted = a->last_old_us - a->accepted_us;
		int64_t reported = a->told_us - a->accepted_us;

		g_array_append_val(adoption_times, adopted);
		if (a->told_us != 0)
			g_array_append_val(report_times, reported);
		else
			unreported++;
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
	fleet_run(f, FIRST_CHANGE_US);
	fleet_apply(f, 0);
	fleet_run(f, FAULTS_BEGIN_US);
	if (faults & LAGGING_LIST)
		fleet_start(f, INSTANCES - 1);
	if (faults == STORE_HOUR) {
		run_store_outage(&run);
	} else if (faults & (REGION_HOUR | STORE_HOUR)) {
		run_long_fault(&run);
	} else {
		schedule_faults(&run);
		schedule_changes(&run, FAULTS_US, 4 * SIM_S);
		fleet_run(f, FAULTS_BEGIN_US + FAULTS_US);
	}
	fleet_run(f, f->sim.now_us + RECOVERY_US);
	end_store_faults(&run, NULL);
	end_cut(&run, NULL);
	fleet_run(f, f->sim.now_us + RECOVERY_US);
	if (app == &fleet_berylshunt)
		collect_times(f);
	result = (result_t){ f->bad, f->store_calls };
	if (verbose)
		fprintf(stderr,
			"old %" PRIu64 " revert %" PRIu64 " fork %" PRIu64
			" untrue %" PRIu64 " idle %" PRIu64
			" overwrite %" PRIu64 ", %u accepted\n",
			f->bad.old, f->bad.revert, f->bad.fork,
			f->bad.false_in_force, f->bad.idle, f->bad.overwrite,
			f->accepted->len);
	fleet_finish(f);
	return result;
}

static uint64_t total(const result_t *r)
{
	return r->bad.old + r->bad.revert + r->bad.fork +
	       r->bad.false_in_force + r->bad.idle + r->bad.overwrite;
}

static gint compare_times(gconstpointer x, gconstpointer y)
{
	int64_t a = *(const int64_t *)x;
	int64_t b = *(const int64_t *)y;

	return a < b ? -1 : a > b;
}

static double percentile_s(GArray *times, guint percent)
{
	guint i = MIN(times->len * percent / 100, times->len - 1);

	return (double)g_array_index(times, int64_t, i) / 1e6;
}

static void print_times(const char *what, GArray *times)
{
	if (times->len == 0)
		return;
	g_array_sort(times, compare_times);
	fprintf(stderr,
		"%s: %u changes, median %.2f s, p95 %.2f s, max %.2f s\n", what,
		times->len, percentile_s(times, 50), percentile_s(times, 95),
		percentile_s(times, 100));
}

/* Prints the row, on standard error unless it is of the proof, and returns the
 * violations of berylshunt. */
static uint64_t run_row(const row_t *row, bool is_proof_row)
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
	fprintf(is_proof_row ? stdout : stderr,
		"configuration\t%s\t%u\t%" PRIu64 "\t%" PRIu64 "\n", row->name,
		row->seeds, naive, ours);
	fflush(stdout);
	if (first_bad != 0)
		fprintf(stderr,
			"first failing seed: --faults %s --seed %u --verbose\n",
			row->name, first_bad);
	print_times("  adopted by all", adoption_times);
	print_times("  reported in force", report_times);
	g_array_set_size(adoption_times, 0);
	g_array_set_size(report_times, 0);
	return ours;
}

typedef struct {
	const char *faults;
	uint32_t seed;
	bool verbose;
	bool naive;
} options_t;

static uint64_t run_rows(const options_t *o, const row_t *list, size_t n,
			 bool is_proof_row)
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
			ours += run_row(&list[i], is_proof_row);
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
	adoption_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	report_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	run_rows(&o, rows, G_N_ELEMENTS(rows), true);
	return run_rows(&o, extra_rows, G_N_ELEMENTS(extra_rows), false) != 0;
}
