#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "capacity.h"
#include "coordination/adoption.h"
#include "support/fleet.h"

#define WARM_UP_US     (30 * SIM_S)
#define START_MAX_US   (600 * SIM_S)
#define STEADY_S       60
#define SECOND_US      SIM_S
#define KILLED_MEMBERS 5
#define DAY_S	       86400.0

/* Event rates in the requirements for 1,100 instances; scaled by count. */
#define REFERENCE_INSTANCES 1100.0
#define FAILURES_PER_DAY    97.0
#define RESTARTS_PER_DAY    370.0
#define CHANGES_PER_DAY	    15000.0

#define PARTITION_S 60
#define HEAL_MAX_S  300

typedef struct {
	fleet_t fleet;
	guint n;
	uint64_t *before;	/* bytes sent and received, by node */
	double max_bytes_per_s; /* sent and received, maximum over nodes */
} bench_t;

static uint64_t bytes_of(const fleet_node_t *n)
{
	return n->sent_bytes + n->received_bytes + n->stream_bytes;
}

/* Runs in steps of 1 s and updates max_bytes_per_s. */
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

			b->max_bytes_per_s = MAX(b->max_bytes_per_s, bytes);
		}
	}
}

typedef struct {
	double sent, received; /* bytes/s and node */
	double messages;       /* sent, 1/s and node */
	double worst_node;     /* sent and received, bytes/s */
	double cpu_ns;	       /* sum over nodes */
	double store;	       /* calls/s, sum over nodes */
	uint64_t handled;      /* received messages, sum over nodes */
} traffic_t;

/* Means over nodes and time; worst_node is the mean of the busiest node. */
static traffic_t measure(bench_t *b, int seconds)
{
	fleet_t *f = &b->fleet;
	fleet_node_t *before = g_memdup2(f->nodes, b->n * sizeof(*before));
	uint64_t store = f->store_calls;
	traffic_t traffic = { 0 };

	b->max_bytes_per_s = 0;
	run_seconds(b, seconds);
	for (guint i = 0; i < b->n; i++) {
		const fleet_node_t *n = &f->nodes[i];
		double both = (double)(bytes_of(n) - bytes_of(&before[i]));

		traffic.sent += (double)(n->sent_bytes - before[i].sent_bytes);
		traffic.received +=
			(double)(n->received_bytes - before[i].received_bytes);
		traffic.messages += (double)(n->sent - before[i].sent);
		traffic.handled += n->received - before[i].received;
		traffic.cpu_ns += (double)(n->cpu_ns - before[i].cpu_ns);
		traffic.worst_node = MAX(traffic.worst_node, both / seconds);
	}
	traffic.sent /= (double)b->n * seconds;
	traffic.received /= (double)b->n * seconds;
	traffic.messages /= (double)b->n * seconds;
	traffic.store = (double)(f->store_calls - store) / seconds;
	g_free(before);
	return traffic;
}

static void report_traffic(const char *part, bench_t *b,
			   const traffic_t *traffic)
{
	capacity_row(part, "sent", b->n, traffic->sent, "B/s", 0);
	capacity_row(part, "received", b->n, traffic->received, "B/s", 0);
	capacity_row(part, "sent+received", b->n,
		     traffic->sent + traffic->received, "B/s",
		     LIMIT_BYTES_PER_S);
	capacity_row(part, "worst-node", b->n, traffic->worst_node, "B/s",
		     LIMIT_BYTES_PER_S);
	capacity_row(part, "worst-node-second", b->n, b->max_bytes_per_s, "B",
		     0);
	capacity_row(part, "datagrams-sent", b->n, traffic->messages, "1/s", 0);
	capacity_row(part, "store-calls", b->n, traffic->store, "1/s", 0);
}

static void open_fleet(bench_t *b, guint n, uint32_t seed)
{
	fleet_t *f = &b->fleet;

	memset(b, 0, sizeof(*b));
	b->n = n;
	b->before = g_new0(uint64_t, n);
	fleet_init(f, &fleet_berylshunt, n, n < 50 ? 3 : 8, seed);
	/* Below 50 instances: zones of one region; else several regions. */
	f->delay_max_us = n < 50 ? 1500 : 10 * SIM_MS;
	for (guint i = 0; i < n; i++)
		fleet_start(f, i);
	sim_run(&f->sim, 3 * SIM_S);
	fleet_apply(f, 0);
	sim_run(&f->sim, WARM_UP_US);
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

/* Worst case: all instances start at the same time. */
static void measure_start(bench_t *b)
{
	fleet_t *f = &b->fleet;

	b->max_bytes_per_s = 0;
	while (complete_views(b) < b->n && f->sim.now_us < START_MAX_US)
		run_seconds(b, 1);
	capacity_row("start", "complete-views", b->n, complete_views(b), "", 0);
	capacity_row("start", "all-complete-after", b->n,
		     (double)f->sim.now_us / 1e6, "s", 0);
	capacity_row("start", "worst-node-second-after-30s", b->n,
		     b->max_bytes_per_s, "B", 0);
	while (queued(b) > b->n && f->sim.now_us < START_MAX_US)
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

static void measure_steady(bench_t *b)
{
	double reference_ns = capacity_reference_ns();
	size_t held = 0;
	traffic_t traffic;

	b->fleet.measure_cpu = true;
	traffic = measure(b, STEADY_S);
	b->fleet.measure_cpu = false;
	report_traffic("steady", b, &traffic);
	capacity_row("steady", "cpu", b->n,
		     traffic.cpu_ns / ((double)b->n * STEADY_S) / 1e7, "%",
		     LIMIT_CPU_PERCENT);
	capacity_row("steady", "cpu-per-datagram", b->n,
		     traffic.cpu_ns / (double)traffic.handled / 1000, "us", 0);
	capacity_row("steady", "reference-loop", b->n, reference_ns / 1000,
		     "us", 0);
	capacity_row("steady", "cpu-per-datagram/reference", b->n,
		     traffic.cpu_ns / (double)traffic.handled / reference_ns,
		     "", 0);
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

/* ---- time to detect a failure and to disseminate it ---- */

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

static void measure_detection(bench_t *b)
{
	fleet_t *f = &b->fleet;
	double first = 0;
	double spread = 0;
	double first_max = 0;
	double all_max = 0;
	double join_max = 0;

	for (guint v = 0; v < KILLED_MEMBERS; v++) {
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
	capacity_row("failure", "first-detects-mean", b->n,
		     first / KILLED_MEMBERS, "s", 0);
	capacity_row("failure", "first-detects-max", b->n, first_max, "s", 0);
	capacity_row("failure", "spread-to-all-mean", b->n,
		     spread / KILLED_MEMBERS, "s", 0);
	capacity_row("failure", "known-to-all-max", b->n, all_max, "s", 0);
}

/* ---- traffic under churn and configuration changes ---- */

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
 * A short run has too few events at the real rate.  The run raises the rate,
 * and the bytes per event give the traffic at the real rate.
 */
static void measure_churn(bench_t *b, double baseline)
{
	fleet_t *f = &b->fleet;
	double per_s = (FAILURES_PER_DAY + RESTARTS_PER_DAY) / DAY_S * b->n /
		       REFERENCE_INSTANCES;
	int seconds = 60;
	guint events = 6;
	traffic_t traffic;
	double per_event;

	for (guint i = 0; i < events; i++) {
		guint node = (i * 11 + 1) % b->n;
		int64_t at_us = i * (seconds / 2) * SIM_S / events;

		sim_after(&f->sim, at_us, on_kill, b, GUINT_TO_POINTER(node));
		sim_after(&f->sim, at_us + (i % 2 ? 25 : 3) * SIM_S, on_restart,
			  b, GUINT_TO_POINTER(node));
	}
	traffic = measure(b, seconds);
	per_event =
		(traffic.sent + traffic.received - baseline) * seconds / events;
	capacity_row("churn", "bytes-per-node-and-event", b->n, per_event, "B",
		     0);
	capacity_row("churn", "events", b->n, per_s * DAY_S, "1/day", 0);
	capacity_row("churn", "sent+received", b->n,
		     baseline + per_event * per_s, "B/s", LIMIT_BYTES_PER_S);
	run_seconds(b, 20);
}

static int compare_doubles(const void *x, const void *y)
{
	double a = *(const double *)x;
	double b = *(const double *)y;

	return a < b ? -1 : a > b;
}

static void measure_changes(bench_t *b)
{
	fleet_t *f = &b->fleet;
	double times[64] = { 0 };
	guint from = f->accepted->len;
	guint n;
	traffic_t traffic = { 0 };

	for (int i = 0; i < 10; i++) {
		fleet_apply(f, (guint)(i * 5 + 2) % b->n);
		if (i == 0)
			traffic = measure(b, (int)(DAY_S / CHANGES_PER_DAY));
		else
			fleet_run(f, f->sim.now_us +
					     (int64_t)(DAY_S / CHANGES_PER_DAY *
						       1e6));
	}
	report_traffic("changes", b, &traffic);
	n = MIN(f->accepted->len - from, G_N_ELEMENTS(times));
	capacity_row("changes", "accepted-of-10", b->n, n, "", 0);
	for (guint i = 0; i < n; i++) {
		const fleet_accepted_t *a =
			&g_array_index(f->accepted, fleet_accepted_t, from + i);

		times[i] = (double)(a->last_old_us - a->accepted_us) / 1e6;
	}
	qsort(times, n, sizeof(times[0]), compare_doubles);
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
	qsort(times, n, sizeof(times[0]), compare_doubles);
	if (n > 0) {
		capacity_row("changes", "in-force-told-median", b->n,
			     times[n / 2], "s", 11);
		capacity_row("changes", "in-force-told-max", b->n, times[n - 1],
			     "s", 11);
	}
}

/* ---- leaving targets ---- */

#define LEAVING_TARGETS 5

static void measure_leaving(bench_t *b, double loss)
{
	fleet_t *f = &b->fleet;
	double max_s = 0;

	f->loss = loss;
	for (guint t = 0; t < LEAVING_TARGETS; t++) {
		int64_t marked_us = f->sim.now_us;
		guint reporter = (t * 17 + 1) % b->n;
		char name[32];
		guint observers = 0;

		g_snprintf(name, sizeof(name), "engine-%u-%.0f", t, loss * 100);
		bsh_members_target_leaving(members_at(b, reporter), marked_us,
					   name, 1);
		fleet_tick(f, reporter);
		while (observers < b->n &&
		       f->sim.now_us < marked_us + 60 * SIM_S) {
			sim_run(&f->sim, f->sim.now_us + 20 * SIM_MS);
			observers = 0;
			for (guint i = 0; i < b->n; i++)
				observers += bsh_members_is_target_leaving(
					members_at(b, i), name, 1);
		}
		max_s = MAX(max_s, (double)(f->sim.now_us - marked_us) / 1e6);
		run_seconds(b, 3);
	}
	f->loss = 0;
	capacity_row(loss > 0 ? "leaving-loss-5%" : "leaving",
		     "known-to-all-max", b->n, max_s, "s", 3);
}

/* ---- network partitions ---- */

static void measure_partition(bench_t *b, const char *name, guint share)
{
	fleet_t *f = &b->fleet;
	char part[32];
	traffic_t traffic;
	int s = 0;

	g_snprintf(part, sizeof(part), "cut-%s", name);
	for (guint i = 0; i < b->n; i++)
		f->nodes[i].side =
			share == 0 ? i < MAX(b->n / 50, 1) : i % 8 < share;
	f->cut[0][1] = f->cut[1][0] = f->store_cut[1] = true;
	traffic = measure(b, PARTITION_S);
	capacity_row(part, "during-sent+received", b->n,
		     traffic.sent + traffic.received, "B/s", LIMIT_BYTES_PER_S);
	capacity_row(part, "during-worst-node", b->n, traffic.worst_node, "B/s",
		     LIMIT_BYTES_PER_S);
	memset(f->cut, 0, sizeof(f->cut));
	f->store_cut[1] = false;
	traffic = measure(b, 30);
	capacity_row(part, "heal-30s-sent+received", b->n,
		     traffic.sent + traffic.received, "B/s", LIMIT_BYTES_PER_S);
	capacity_row(part, "heal-30s-worst-node", b->n, traffic.worst_node,
		     "B/s", LIMIT_BYTES_PER_S);
	capacity_row(part, "heal-worst-node-second", b->n, b->max_bytes_per_s,
		     "B", 0);
	for (s = 30; complete_views(b) < b->n && s < HEAL_MAX_S; s++)
		run_seconds(b, 1);
	capacity_row(part, "complete-after", b->n, s, "s", 0);
	run_seconds(b, 20);
}

/* ---- false positives ---- */

typedef struct {
	uint64_t suspicions, deaths;
} detector_counts_t;

static detector_counts_t count_verdicts(bench_t *b)
{
	detector_counts_t v = { 0 };

	for (guint i = 0; i < b->n; i++) {
		v.suspicions += stats_at(b, i)->suspicions;
		v.deaths += stats_at(b, i)->deaths;
	}
	return v;
}

static void measure_false_positives(bench_t *b)
{
	fleet_t *f = &b->fleet;
	detector_counts_t before = count_verdicts(b);
	detector_counts_t after;
	guint frozen = MAX(b->n / 50, 1);

	f->loss = 0.05;
	run_seconds(b, 120);
	f->loss = 0;
	after = count_verdicts(b);
	capacity_row("loss-5%", "suspicions", b->n,
		     (double)(after.suspicions - before.suspicions), "", 0);
	capacity_row("loss-5%", "false-deaths", b->n,
		     (double)(after.deaths - before.deaths), "", 0);
	run_seconds(b, 20);
	before = count_verdicts(b);
	for (guint i = 0; i < frozen; i++)
		fleet_freeze(f, (i * 13 + 5) % b->n, 3 * SIM_S);
	run_seconds(b, 40);
	after = count_verdicts(b);
	capacity_row("frozen-3s", "suspicions", b->n,
		     (double)(after.suspicions - before.suspicions), "", 0);
	capacity_row("frozen-3s", "false-deaths", b->n,
		     (double)(after.deaths - before.deaths), "", 0);
	before = count_verdicts(b);
	for (guint i = 0; i < frozen; i++)
		before.deaths -= stats_at(b, (i * 13 + 5) % b->n)->deaths;
	for (guint i = 0; i < frozen; i++)
		fleet_freeze(f, (i * 13 + 5) % b->n, 30 * SIM_S);
	run_seconds(b, 60);
	after = count_verdicts(b);
	for (guint i = 0; i < frozen; i++)
		after.deaths -= stats_at(b, (i * 13 + 5) % b->n)->deaths;
	/* Members silent for 30 s are correctly declared dead. */
	capacity_row("frozen-30s", "frozen-members", b->n, frozen, "", 0);
	capacity_row("frozen-30s", "complete-views", b->n, complete_views(b),
		     "", 0);
}

void capacity_members(guint n)
{
	bench_t b;
	traffic_t baseline;

	open_fleet(&b, n, 1);
	measure_start(&b);
	measure_steady(&b);
	baseline = measure(&b, 20);
	measure_detection(&b);
	measure_churn(&b, baseline.sent + baseline.received);
	measure_changes(&b);
	measure_leaving(&b, 0);
	measure_leaving(&b, 0.05);
	measure_false_positives(&b);
	if (n >= 50)
		measure_partition(&b, "rack", 0);
	measure_partition(&b, "zone", 1);
	measure_partition(&b, "region", 2);
	close_fleet(&b);
}
