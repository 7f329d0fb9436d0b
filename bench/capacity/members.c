#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "capacity.h"
#include "coordination/adoption.h"
#include "support/fleet.h"

#define WARM_US	  (30 * SIM_S)
#define START_MAX (600 * SIM_S)
#define STEADY_S  60
#define SECOND_US SIM_S
#define VICTIMS	  5
#define DAY_S	  86400.0

/* From the requirements, for 1,100 instances; scaled by their number. */
#define FLEET	     1100.0
#define FAILURES_DAY 97.0
#define RESTARTS_DAY 370.0
#define CHANGES_DAY  15000.0

#define CUT_S	 60
#define HEAL_MAX 300

typedef struct {
	fleet_t fleet;
	guint n;
	uint64_t *before; /* bytes sent and received by node */
	double worst;	  /* bytes in one second, any node, each way */
} bench_t;

static uint64_t bytes_of(const fleet_node_t *n)
{
	return n->sent_bytes + n->received_bytes + n->stream_bytes;
}

/* Run for some seconds; remember the worst second of any node. */
static void run_seconds(bench_t *b, int seconds)
{
	fleet_t *f = &b->fleet;

	for (int s = 0; s < seconds; s++) {
		for (guint i = 0; i < b->n; i++)
			b->before[i] = bytes_of(&f->nodes[i]);
		sim_run(&f->sim, f->sim.now_us + SECOND_US);
		for (guint i = 0; i < b->n; i++) {
			double bytes =
				(double)(bytes_of(&f->nodes[i]) - b->before[i]);

			b->worst = MAX(b->worst, bytes);
		}
	}
}

typedef struct {
	double sent, received, messages, worst_node, cpu_ns, store;
	uint64_t handled;
} load_t;

/* Averages per node and second over a span; worst_node is its average. */
static load_t measure(bench_t *b, int seconds)
{
	fleet_t *f = &b->fleet;
	fleet_node_t *before = g_memdup2(f->nodes, b->n * sizeof(*before));
	uint64_t store = f->store_calls;
	load_t load = { 0 };

	b->worst = 0;
	run_seconds(b, seconds);
	for (guint i = 0; i < b->n; i++) {
		const fleet_node_t *n = &f->nodes[i];
		double both = (double)(bytes_of(n) - bytes_of(&before[i]));

		load.sent += (double)(n->sent_bytes - before[i].sent_bytes);
		load.received +=
			(double)(n->received_bytes - before[i].received_bytes);
		load.messages += (double)(n->sent - before[i].sent);
		load.handled += n->received - before[i].received;
		load.cpu_ns += (double)(n->cpu_ns - before[i].cpu_ns);
		load.worst_node = MAX(load.worst_node, both / seconds);
	}
	load.sent /= (double)b->n * seconds;
	load.received /= (double)b->n * seconds;
	load.messages /= (double)b->n * seconds;
	load.store = (double)(f->store_calls - store) / seconds;
	g_free(before);
	return load;
}

static void report_load(const char *part, bench_t *b, const load_t *load)
{
	capacity_row(part, "sent", b->n, load->sent, "B/s", 0);
	capacity_row(part, "received", b->n, load->received, "B/s", 0);
	capacity_row(part, "sent+received", b->n, load->sent + load->received,
		     "B/s", LIMIT_BYTES_PER_S);
	capacity_row(part, "worst-node", b->n, load->worst_node, "B/s",
		     LIMIT_BYTES_PER_S);
	capacity_row(part, "worst-node-second", b->n, b->worst, "B", 0);
	capacity_row(part, "datagrams-sent", b->n, load->messages, "1/s", 0);
	capacity_row(part, "store-calls", b->n, load->store, "1/s", 0);
}

static void open_fleet(bench_t *b, guint n, uint32_t seed)
{
	fleet_t *f = &b->fleet;

	memset(b, 0, sizeof(*b));
	b->n = n;
	b->before = g_new0(uint64_t, n);
	fleet_init(f, &fleet_berylshunt, n, n < 50 ? 3 : 8, seed);
	/* Zones of one region are close, others are farther away. */
	f->delay_max_us = n < 50 ? 1500 : 10 * SIM_MS;
	for (guint i = 0; i < n; i++)
		fleet_start(f, i);
	sim_run(&f->sim, 3 * SIM_S);
	fleet_apply(f, 0);
	sim_run(&f->sim, WARM_US);
}

static bsh_members_t *members_at(bench_t *b, guint node)
{
	return fleet_members(b->fleet.nodes[node].app);
}

static guint complete_views(bench_t *b)
{
	guint n = 0;

	for (guint i = 0; i < b->n; i++)
		n += bsh_members_live(members_at(b, i)) == b->n;
	return n;
}

static guint queued(bench_t *b)
{
	guint n = 0;

	for (guint i = 0; i < b->n; i++)
		n += bsh_members_queued(members_at(b, i));
	return n;
}

/* All instances start in the same moment, which is the worst case. */
static void report_start(bench_t *b)
{
	fleet_t *f = &b->fleet;

	b->worst = 0;
	while (complete_views(b) < b->n && f->sim.now_us < START_MAX)
		run_seconds(b, 1);
	capacity_row("start", "complete-views", b->n, complete_views(b), "", 0);
	capacity_row("start", "all-complete-after", b->n,
		     (double)f->sim.now_us / 1e6, "s", 0);
	capacity_row("start", "worst-node-second-after-30s", b->n, b->worst,
		     "B", 0);
	while (queued(b) > b->n && f->sim.now_us < START_MAX)
		run_seconds(b, 1);
	capacity_row("start", "news-passed-on-after", b->n,
		     (double)f->sim.now_us / 1e6, "s", 0);
	run_seconds(b, 30);
}

static void close_fleet(bench_t *b)
{
	fleet_finish(&b->fleet);
	g_free(b->before);
}

static const bsh_members_stats_t *stats_at(bench_t *b, guint node)
{
	return bsh_members_stats(members_at(b, node));
}

static void steady(bench_t *b)
{
	double reference_ns = capacity_reference_ns();
	size_t held = 0;
	load_t load;

	b->fleet.measure_cpu = true;
	load = measure(b, STEADY_S);
	b->fleet.measure_cpu = false;
	report_load("steady", b, &load);
	capacity_row("steady", "cpu", b->n,
		     load.cpu_ns / ((double)b->n * STEADY_S) / 1e7, "%",
		     LIMIT_CPU_PERCENT);
	capacity_row("steady", "cpu-per-datagram", b->n,
		     load.cpu_ns / (double)load.handled / 1000, "us", 0);
	capacity_row("steady", "reference-loop", b->n, reference_ns / 1000,
		     "us", 0);
	capacity_row("steady", "cpu-per-datagram/reference", b->n,
		     load.cpu_ns / (double)load.handled / reference_ns, "", 0);
	for (guint i = 0; i < b->n; i++)
		held += bsh_members_bytes(members_at(b, i));
	capacity_row("steady", "memory-members", b->n,
		     (double)held / b->n / 1048576, "MiB", LIMIT_MEMORY_MIB);
	capacity_row("steady", "memory-per-member", b->n,
		     (double)held / b->n / b->n, "B", 0);
	capacity_row("steady", "heap-per-node", b->n,
		     (double)mallinfo2().uordblks / b->n / 1048576, "MiB",
		     LIMIT_MEMORY_MIB);
}

/* ---- time to detect and to spread ---- */

static guint count_dead(bench_t *b, guint victim)
{
	guint n = 0;

	for (guint i = 0; i < b->n; i++) {
		const bsh_member_t *m;

		if (b->fleet.nodes[i].app == NULL)
			continue;
		m = bsh_members_find(members_at(b, i),
				     b->fleet.nodes[victim].name);
		n += m != NULL && m->state == BSH_MEMBER_DEAD;
	}
	return n;
}

static void detect(bench_t *b)
{
	fleet_t *f = &b->fleet;
	double first = 0;
	double spread = 0;
	double first_max = 0;
	double all_max = 0;
	double join_max = 0;

	for (guint v = 0; v < VICTIMS; v++) {
		guint victim = (v * 7 + 3) % b->n;
		int64_t killed_us = f->sim.now_us;
		int64_t first_us = 0;
		guint dead = 0;

		fleet_kill(f, victim);
		while (dead < b->n - 1 &&
		       f->sim.now_us < killed_us + 120 * SIM_S) {
			sim_run(&f->sim, f->sim.now_us + 100 * SIM_MS);
			dead = count_dead(b, victim);
			if (dead > 0 && first_us == 0)
				first_us = f->sim.now_us;
		}
		first += (double)(first_us - killed_us) / 1e6;
		first_max =
			MAX(first_max, (double)(first_us - killed_us) / 1e6);
		spread += (double)(f->sim.now_us - first_us) / 1e6;
		all_max =
			MAX(all_max, (double)(f->sim.now_us - killed_us) / 1e6);
		killed_us = f->sim.now_us;
		fleet_start(f, victim);
		while (bsh_members_live(members_at(b, victim)) < b->n &&
		       f->sim.now_us < killed_us + 120 * SIM_S)
			sim_run(&f->sim, f->sim.now_us + 100 * SIM_MS);
		join_max = MAX(join_max,
			       (double)(f->sim.now_us - killed_us) / 1e6);
		sim_run(&f->sim, f->sim.now_us + 10 * SIM_S);
	}
	capacity_row("restart", "view-complete-max", b->n, join_max, "s", 0);
	capacity_row("failure", "first-detects-mean", b->n, first / VICTIMS,
		     "s", 0);
	capacity_row("failure", "first-detects-max", b->n, first_max, "s", 0);
	capacity_row("failure", "spread-to-all-mean", b->n, spread / VICTIMS,
		     "s", 0);
	capacity_row("failure", "known-to-all-max", b->n, all_max, "s", 0);
}

/* ---- load with events ---- */

static void on_restart(void *ctx, void *data)
{
	bench_t *b = ctx;
	guint node = GPOINTER_TO_UINT(data);

	if (b->fleet.nodes[node].app == NULL)
		fleet_start(&b->fleet, node);
}

static void on_kill(void *ctx, void *data)
{
	bench_t *b = ctx;

	fleet_kill(&b->fleet, GPOINTER_TO_UINT(data));
}

/*
 * At the real rate too few events fall into a short run, so churn is raised by
 * a factor and the bytes per event give the load at the real rate.
 */
static void churn(bench_t *b, double quiet)
{
	fleet_t *f = &b->fleet;
	double per_s = (FAILURES_DAY + RESTARTS_DAY) / DAY_S * b->n / FLEET;
	int seconds = 60;
	guint events = 6;
	load_t load;
	double per_event;

	for (guint i = 0; i < events; i++) {
		guint node = (i * 11 + 1) % b->n;
		int64_t at_us = i * (seconds / 2) * SIM_S / events;

		sim_after(&f->sim, at_us, on_kill, b, GUINT_TO_POINTER(node));
		sim_after(&f->sim, at_us + (i % 2 ? 25 : 3) * SIM_S, on_restart,
			  b, GUINT_TO_POINTER(node));
	}
	load = measure(b, seconds);
	per_event = (load.sent + load.received - quiet) * seconds / events;
	capacity_row("churn", "bytes-per-node-and-event", b->n, per_event, "B",
		     0);
	capacity_row("churn", "events", b->n, per_s * DAY_S, "1/day", 0);
	capacity_row("churn", "sent+received", b->n, quiet + per_event * per_s,
		     "B/s", LIMIT_BYTES_PER_S);
	run_seconds(b, 20);
}

static int by_value(const void *x, const void *y)
{
	double a = *(const double *)x;
	double b = *(const double *)y;

	return a < b ? -1 : a > b;
}

static void changes(bench_t *b)
{
	fleet_t *f = &b->fleet;
	double times[64] = { 0 };
	guint from = f->accepted->len;
	guint n;
	load_t load = { 0 };

	for (int i = 0; i < 10; i++) {
		fleet_apply(f, (guint)(i * 5 + 2) % b->n);
		if (i == 0)
			load = measure(b, (int)(DAY_S / CHANGES_DAY));
		else
			fleet_run(f,
				  f->sim.now_us +
					  (int64_t)(DAY_S / CHANGES_DAY * 1e6));
	}
	report_load("changes", b, &load);
	n = MIN(f->accepted->len - from, G_N_ELEMENTS(times));
	capacity_row("changes", "accepted-of-10", b->n, n, "", 0);
	for (guint i = 0; i < n; i++) {
		const fleet_accepted_t *a =
			&g_array_index(f->accepted, fleet_accepted_t, from + i);

		times[i] = (double)(a->last_old_us - a->accepted_us) / 1e6;
	}
	qsort(times, n, sizeof(times[0]), by_value);
	if (n > 0) {
		capacity_row("changes", "nobody-older-median", b->n,
			     times[n / 2], "s", 11);
		capacity_row("changes", "nobody-older-max", b->n, times[n - 1],
			     "s", 11);
	}
	for (guint i = 0; i < n; i++) {
		const fleet_accepted_t *a =
			&g_array_index(f->accepted, fleet_accepted_t, from + i);

		times[i] = (double)(a->told_us - a->accepted_us) / 1e6;
	}
	qsort(times, n, sizeof(times[0]), by_value);
	if (n > 0) {
		capacity_row("changes", "in-force-told-median", b->n,
			     times[n / 2], "s", 11);
		capacity_row("changes", "in-force-told-max", b->n, times[n - 1],
			     "s", 11);
	}
}

/* ---- leaving targets ---- */

#define TARGETS 5

static void leaving(bench_t *b, double loss)
{
	fleet_t *f = &b->fleet;
	double worst = 0;

	f->loss = loss;
	for (guint t = 0; t < TARGETS; t++) {
		int64_t told_us = f->sim.now_us;
		guint teller = (t * 17 + 1) % b->n;
		char name[32];
		guint know = 0;

		g_snprintf(name, sizeof(name), "engine-%u-%.0f", t, loss * 100);
		bsh_members_target_leaving(members_at(b, teller), told_us, name,
					   1);
		fleet_tick(f, teller);
		while (know < b->n && f->sim.now_us < told_us + 60 * SIM_S) {
			sim_run(&f->sim, f->sim.now_us + 20 * SIM_MS);
			know = 0;
			for (guint i = 0; i < b->n; i++)
				know += bsh_members_is_target_leaving(
					members_at(b, i), name, 1);
		}
		worst = MAX(worst, (double)(f->sim.now_us - told_us) / 1e6);
		run_seconds(b, 3);
	}
	f->loss = 0;
	capacity_row(loss > 0 ? "leaving-loss-5%" : "leaving",
		     "known-to-all-max", b->n, worst, "s", 3);
}

/* ---- cuts ---- */

static void cut(bench_t *b, const char *name, guint share)
{
	fleet_t *f = &b->fleet;
	char part[32];
	load_t load;
	int s = 0;

	g_snprintf(part, sizeof(part), "cut-%s", name);
	for (guint i = 0; i < b->n; i++)
		f->nodes[i].side =
			share == 0 ? i < MAX(b->n / 50, 1) : i % 8 < share;
	f->cut[0][1] = f->cut[1][0] = f->store_cut[1] = true;
	load = measure(b, CUT_S);
	capacity_row(part, "during-sent+received", b->n,
		     load.sent + load.received, "B/s", LIMIT_BYTES_PER_S);
	capacity_row(part, "during-worst-node", b->n, load.worst_node, "B/s",
		     LIMIT_BYTES_PER_S);
	memset(f->cut, 0, sizeof(f->cut));
	f->store_cut[1] = false;
	load = measure(b, 30);
	capacity_row(part, "heal-30s-sent+received", b->n,
		     load.sent + load.received, "B/s", LIMIT_BYTES_PER_S);
	capacity_row(part, "heal-30s-worst-node", b->n, load.worst_node, "B/s",
		     LIMIT_BYTES_PER_S);
	capacity_row(part, "heal-worst-node-second", b->n, b->worst, "B", 0);
	for (s = 30; complete_views(b) < b->n && s < HEAL_MAX; s++)
		run_seconds(b, 1);
	capacity_row(part, "complete-after", b->n, s, "s", 0);
	run_seconds(b, 20);
}

/* ---- false positives ---- */

typedef struct {
	uint64_t suspicions, deaths;
} verdicts_t;

static verdicts_t verdicts(bench_t *b)
{
	verdicts_t v = { 0 };

	for (guint i = 0; i < b->n; i++) {
		v.suspicions += stats_at(b, i)->suspicions;
		v.deaths += stats_at(b, i)->deaths;
	}
	return v;
}

static void false_positives(bench_t *b)
{
	fleet_t *f = &b->fleet;
	verdicts_t before = verdicts(b);
	verdicts_t after;
	guint frozen = MAX(b->n / 50, 1);

	f->loss = 0.05;
	run_seconds(b, 120);
	f->loss = 0;
	after = verdicts(b);
	capacity_row("loss-5%", "suspicions", b->n,
		     (double)(after.suspicions - before.suspicions), "", 0);
	capacity_row("loss-5%", "false-deaths", b->n,
		     (double)(after.deaths - before.deaths), "", 0);
	run_seconds(b, 20);
	before = verdicts(b);
	for (guint i = 0; i < frozen; i++)
		fleet_freeze(f, (i * 13 + 5) % b->n, 3 * SIM_S);
	run_seconds(b, 40);
	after = verdicts(b);
	capacity_row("frozen-3s", "suspicions", b->n,
		     (double)(after.suspicions - before.suspicions), "", 0);
	capacity_row("frozen-3s", "false-deaths", b->n,
		     (double)(after.deaths - before.deaths), "", 0);
	before = verdicts(b);
	for (guint i = 0; i < frozen; i++)
		before.deaths -= stats_at(b, (i * 13 + 5) % b->n)->deaths;
	for (guint i = 0; i < frozen; i++)
		fleet_freeze(f, (i * 13 + 5) % b->n, 30 * SIM_S);
	run_seconds(b, 60);
	after = verdicts(b);
	for (guint i = 0; i < frozen; i++)
		after.deaths -= stats_at(b, (i * 13 + 5) % b->n)->deaths;
	/* Silent for 30 s, a frozen member is rightly declared dead. */
	capacity_row("frozen-30s", "frozen-members", b->n, frozen, "", 0);
	capacity_row("frozen-30s", "complete-views", b->n, complete_views(b),
		     "", 0);
}

void capacity_members(guint n)
{
	bench_t b;
	load_t quiet;

	open_fleet(&b, n, 1);
	report_start(&b);
	steady(&b);
	quiet = measure(&b, 20);
	detect(&b);
	churn(&b, quiet.sent + quiet.received);
	changes(&b);
	leaving(&b, 0);
	leaving(&b, 0.05);
	false_positives(&b);
	if (n >= 50)
		cut(&b, "rack", 0);
	cut(&b, "zone", 1);
	cut(&b, "region", 2);
	close_fleet(&b);
}
