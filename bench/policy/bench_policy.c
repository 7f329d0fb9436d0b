/*
 * bench_policy: compares the load and unload decisions of berylshunt with fixed
 * keep-alive times in a discrete-event simulation.
 */
#include <err.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy.h"

#define CURVE_POINTS	13
#define SEEDS_MAX	64
#define SEEDS_MAX_TEXT	G_STRINGIFY(SEEDS_MAX)
#define REFERENCE_POINT 6 /* curve point whose cost is 1 */

static const double keep_alive_s[CURVE_POINTS] = {
	0, 10, 30, 60, 180, 300, 600, 1200, 2400, 3600, 10800, 43200, INFINITY
};
static const char *const scenario_names[SCENARIOS] = { "plain", "slow-weights",
						       "reclaimed",
						       "store-down" };

typedef struct {
	const deployment_t *d;
	int seeds; /* runs */
	scenario_t scenario;
	double weight; /* of idle accelerator time in the decisions */
	outcome_t ours[SEEDS_MAX];
	outcome_t planner[SEEDS_MAX];
	outcome_t naive[CURVE_POINTS][SEEDS_MAX];
} experiment_t;

typedef struct {
	experiment_t *experiment;
	int seed;
	int point; /* of the keep-alive curve; -1: berylshunt, planner */
} job_t;

static void run_job(gpointer data, gpointer ctx)
{
	job_t *j = data;
	experiment_t *s = j->experiment;
	workload_t load;

	(void)ctx;
	workload_init(&load, s->d, (uint32_t)j->seed + 1);
	if (j->point < 0) {
		s->ours[j->seed] = run_ours(&load, s->scenario,
					    (uint32_t)j->seed + 1, s->weight);
		s->planner[j->seed] = run_planner(&load);
	} else {
		double keep = keep_alive_s[j->point];

		s->naive[j->point][j->seed] = run_naive(
			&load, s->scenario, (uint32_t)j->seed + 1,
			isinf(keep) ? INT64_MAX : (int64_t)(keep * 1e6));
	}
	workload_finish(&load);
	g_free(j);
}

static void push_jobs(GThreadPool *pool, experiment_t *s, int point)
{
	for (int i = 0; i < s->seeds; i++) {
		job_t *j = g_new0(job_t, 1);

		j->experiment = s;
		j->seed = i;
		j->point = point;
		g_thread_pool_push(pool, j, NULL);
	}
}

static void run_experiment(experiment_t *s, int threads, bool is_curve)
{
	GThreadPool *pool =
		g_thread_pool_new(run_job, NULL, threads, TRUE, NULL);

	push_jobs(pool, s, -1);
	for (int i = 0; i < CURVE_POINTS && is_curve; i++)
		push_jobs(pool, s, i);
	g_thread_pool_free(pool, FALSE, TRUE);
}

typedef struct {
	double mean, low, high;
} summary_t;

static summary_t summarize(const outcome_t *o, int n, size_t offset)
{
	summary_t s = { .low = INFINITY, .high = -INFINITY };

	for (int i = 0; i < n; i++) {
		double value;

		memcpy(&value, (const char *)&o[i] + offset, sizeof(value));
		s.mean += value / n;
		s.low = MIN(s.low, value);
		s.high = MAX(s.high, value);
	}
	return s;
}

#define MEAN(o, n, field) summarize((o), (n), offsetof(outcome_t, field)).mean

/* Weighted cost; 1 is the naive policy with the reference keep-alive. */
static double cost(const experiment_t *s, const outcome_t *o)
{
	const outcome_t *ref = s->naive[REFERENCE_POINT];

	return s->d->weight * MEAN(o, s->seeds, idle_hours) /
		       MEAN(ref, s->seeds, idle_hours) +
	       (1 - s->d->weight) * MEAN(o, s->seeds, p99_s) /
		       MEAN(ref, s->seeds, p99_s);
}

static int best_point(const experiment_t *s)
{
	int best = 0;

	for (int i = 1; i < CURVE_POINTS; i++) {
		if (cost(s, s->naive[i]) < cost(s, s->naive[best]))
			best = i;
	}
	return best;
}

static void print_summary(const char *name, const outcome_t *o, int n,
			  size_t offset)
{
	summary_t s = summarize(o, n, offset);

	printf("  %-18s %10.3f  (%.3f to %.3f)\n", name, s.mean, s.low, s.high);
}

static void print_outcome(const char *title, const outcome_t *o, int n)
{
	printf("%s\n", title);
	print_summary("p50 s", o, n, offsetof(outcome_t, p50_s));
	print_summary("p99 s", o, n, offsetof(outcome_t, p99_s));
	print_summary("p99.9 s", o, n, offsetof(outcome_t, p999_s));
	print_summary("idle hours", o, n, offsetof(outcome_t, idle_hours));
	print_summary("late part", o, n, offsetof(outcome_t, late_part));
	print_summary("loads", o, n, offsetof(outcome_t, loads));
	print_summary("hit rate", o, n, offsetof(outcome_t, hit_rate));
	print_summary("store calls/wake", o, n,
		      offsetof(outcome_t, store_calls_per_wake));
}

static void write_csv(FILE *f, const experiment_t *s)
{
	for (int i = -1; i < CURVE_POINTS; i++) {
		const outcome_t *o = i < 0 ? s->ours : s->naive[i];

		fprintf(f, "%s,%s,%s,", s->d->name, scenario_names[s->scenario],
			i < 0 ? "berylshunt" : "naive");
		if (i >= 0)
			fprintf(f, "%g", keep_alive_s[i]);
		fprintf(f, ",%.4f,%.4f,%.4f,%.4f,%.6f,%.1f,%.4f\n",
			MEAN(o, s->seeds, p50_s), MEAN(o, s->seeds, p99_s),
			MEAN(o, s->seeds, p999_s),
			MEAN(o, s->seeds, idle_hours),
			MEAN(o, s->seeds, late_part), MEAN(o, s->seeds, loads),
			MEAN(o, s->seeds, hit_rate));
	}
}

static void write_svg(const char *path, const experiment_t *s)
{
	const double width = 640;
	const double height = 400;
	const double margin = 60;
	double max_idle_hours =
		MEAN(s->naive[CURVE_POINTS - 1], s->seeds, idle_hours);
	double max_p99_s = MEAN(s->ours, s->seeds, p99_s);
	FILE *f = fopen(path, "w");

	if (f == NULL)
		err(1, "%s", path);
	for (int i = 0; i < CURVE_POINTS; i++)
		max_p99_s = MAX(max_p99_s, MEAN(s->naive[i], s->seeds, p99_s));
	fprintf(f,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%g\" "
		"height=\"%g\" font-family=\"sans-serif\" font-size=\"12\">\n"
		"<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"
		"<text x=\"%g\" y=\"20\">%s: fixed keep-alives (line) and "
		"berylshunt (dot)</text>\n"
		"<text x=\"%g\" y=\"%g\">idle accelerator hours, 0 to %.0f"
		"</text>\n"
		"<text x=\"10\" y=\"40\">p99 cold start, 0 to %.1f s</text>\n"
		"<path d=\"M%g %gV%gH%g\" fill=\"none\" stroke=\"black\"/>\n"
		"<polyline fill=\"none\" stroke=\"gray\" points=\"",
		width, height, margin, s->d->name, margin, height - 20,
		max_idle_hours, max_p99_s, margin, margin, height - margin,
		width - margin);
	for (int i = 0; i < CURVE_POINTS; i++)
		fprintf(f, "%.1f,%.1f ",
			margin + (width - 2 * margin) *
					 MEAN(s->naive[i], s->seeds,
					      idle_hours) /
					 max_idle_hours,
			height - margin -
				(height - 2 * margin) *
					MEAN(s->naive[i], s->seeds, p99_s) /
					max_p99_s);
	fprintf(f,
		"\"/>\n<circle r=\"5\" fill=\"black\" cx=\"%.1f\" "
		"cy=\"%.1f\"/>\n</svg>\n",
		margin + (width - 2 * margin) *
				 MEAN(s->ours, s->seeds, idle_hours) /
				 max_idle_hours,
		height - margin -
			(height - 2 * margin) * MEAN(s->ours, s->seeds, p99_s) /
				max_p99_s);
	if (fclose(f) != 0)
		err(1, "%s", path);
}

static void print_comparison(const experiment_t *s)
{
	int best = best_point(s);
	const outcome_t *naive = s->naive[best];
	double late = MEAN(naive, s->seeds, late_part);
	char title[64];
	uint64_t loads_refused = 0;

	printf("== %s, %s, weight %.2f, %d seeds\n", s->d->name,
	       scenario_names[s->scenario], s->d->weight, s->seeds);
	print_outcome("berylshunt", s->ours, s->seeds);
	snprintf(title, sizeof(title), "best naive, keep-alive %g s",
		 keep_alive_s[best]);
	print_outcome(title, naive, s->seeds);
	for (int i = 0; i < s->seeds; i++)
		loads_refused += s->ours[i].loads_refused;
	printf("cost: ours %.3f, best naive %.3f, planner %.3f; loads "
	       "refused for memory %" G_GUINT64_FORMAT "\n",
	       cost(s, s->ours), cost(s, naive), cost(s, s->planner),
	       loads_refused);
	printf("policy\t%s%s%s\t%.3f\t%.3f\t%.3f\n", s->d->name,
	       s->scenario == SCENARIO_PLAIN ? "" : "/",
	       s->scenario == SCENARIO_PLAIN ? "" : scenario_names[s->scenario],
	       MEAN(s->ours, s->seeds, p99_s) / MEAN(naive, s->seeds, p99_s),
	       MEAN(s->ours, s->seeds, idle_hours) /
		       MEAN(naive, s->seeds, idle_hours),
	       late > 0 ? MEAN(s->ours, s->seeds, late_part) / late
	       : MEAN(s->ours, s->seeds, late_part) > 0 ? INFINITY
							: 1.0);
	fflush(stdout);
}

int main(int argc, char **argv)
{
	int seeds = 20;
	int threads = 4;
	double weight = -1;
	gboolean is_plain = FALSE;
	gboolean is_size = FALSE;
	char *out = NULL;
	GOptionEntry entries[] = {
		{ "seeds", 0, 0, G_OPTION_ARG_INT, &seeds, "seeds", "N" },
		{ "threads", 0, 0, G_OPTION_ARG_INT, &threads, "threads", "N" },
		{ "weight", 0, 0, G_OPTION_ARG_DOUBLE, &weight,
		  "weight of idle time in the decisions, not in the cost",
		  "W" },
		{ "plain", 0, 0, G_OPTION_ARG_NONE, &is_plain,
		  "skip the failure scenarios", NULL },
		{ "size", 0, 0, G_OPTION_ARG_NONE, &is_size,
		  "only measure memory and CPU time by number of models",
		  NULL },
		{ "out", 0, 0, G_OPTION_ARG_FILENAME, &out,
		  "directory for the CSV and SVG files", "DIR" },
		{ NULL }
	};
	GOptionContext *context = g_option_context_new(NULL);
	size_t count;
	const deployment_t *d = deployments(&count);
	experiment_t *s;
	FILE *csv = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || seeds < 1 ||
	    seeds > SEEDS_MAX || threads < 1)
		errx(1, "invalid option; seeds: 1 to " SEEDS_MAX_TEXT
			", threads: at least 1");
	g_option_context_free(context);
	if (is_size) {
		measure_size();
		return 0;
	}
	s = g_new0(experiment_t, 1);
	if (out != NULL) {
		g_autofree char *path =
			g_build_filename(out, "policy.csv", NULL);

		csv = fopen(path, "w");
		if (csv == NULL)
			err(1, "%s", path);
		fprintf(csv, "deployment,scene,policy,keep_s,p50_s,p99_s,"
			     "p999_s,idle_hours,late_part,loads,hit_rate\n");
	}
	for (size_t i = 0; i < count; i++) {
		for (scenario_t scenario = 0;
		     scenario < (is_plain ? 1 : SCENARIOS); scenario++) {
			s->d = &d[i];
			s->seeds = seeds;
			s->scenario = scenario;
			s->weight = weight >= 0 ? weight : d[i].weight;
			run_experiment(s, threads, true);
			print_comparison(s);
			if (csv != NULL)
				write_csv(csv, s);
			if (out != NULL && scenario == SCENARIO_PLAIN) {
				g_autofree char *path = g_strdup_printf(
					"%s/policy-%s.svg", out, d[i].name);

				write_svg(path, s);
			}
		}
	}
	if (csv != NULL && fclose(csv) != 0)
		err(1, "policy.csv");
	g_free(out);
	g_free(s);
	return 0;
}
