/*
 * bench_policy: loads and unloads of berylshunt's decision modules against
 * fixed keep-alives, under a virtual clock.
 */
#include <err.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy.h"

#define CURVE_POINTS 13
#define SEEDS_MAX    64
#define REFERENCE    6 /* point of the curve whose figures scale the cost */

static const double keep_s[CURVE_POINTS] = { 0,	    10,	   30,	    60,	  180,
					     300,   600,   1200,    2400, 3600,
					     10800, 43200, INFINITY };
static const char *const scene_names[SCENES] = { "plain", "slow-weights",
						 "reclaimed", "store-down" };

typedef struct {
	const deployment_t *d;
	int seeds;
	scene_t scene;
	double weight;
	outcome_t ours[SEEDS_MAX];
	outcome_t planner[SEEDS_MAX];
	outcome_t naive[CURVE_POINTS][SEEDS_MAX];
} set_t;

typedef struct {
	set_t *set;
	int seed;
	int point; /* -1: ours */
} job_t;

static void run_job(gpointer data, gpointer ctx)
{
	job_t *j = data;
	set_t *s = j->set;
	workload_t load;

	(void)ctx;
	workload_init(&load, s->d, (uint32_t)j->seed + 1);
	if (j->point < 0) {
		s->ours[j->seed] = run_ours(&load, s->scene,
					    (uint32_t)j->seed + 1, s->weight);
		s->planner[j->seed] = run_planner(&load);
	} else {
		double keep = keep_s[j->point];

		s->naive[j->point][j->seed] = run_naive(
			&load, s->scene, (uint32_t)j->seed + 1,
			isinf(keep) ? INT64_MAX : (int64_t)(keep * 1e6));
	}
	workload_finish(&load);
	g_free(j);
}

static void push(GThreadPool *pool, set_t *s, int point)
{
	for (int i = 0; i < s->seeds; i++) {
		job_t *j = g_new0(job_t, 1);

		j->set = s;
		j->seed = i;
		j->point = point;
		g_thread_pool_push(pool, j, NULL);
	}
}

static void run_set(set_t *s, int threads, bool is_curve)
{
	GThreadPool *pool =
		g_thread_pool_new(run_job, NULL, threads, TRUE, NULL);

	push(pool, s, -1);
	for (int i = 0; i < CURVE_POINTS && is_curve; i++)
		push(pool, s, i);
	g_thread_pool_free(pool, FALSE, TRUE);
}

typedef struct {
	double mean, low, high;
} spread_t;

static spread_t spread(const outcome_t *o, int n, size_t offset)
{
	spread_t s = { .low = INFINITY, .high = -INFINITY };

	for (int i = 0; i < n; i++) {
		double value;

		memcpy(&value, (const char *)&o[i] + offset, sizeof(value));
		s.mean += value / n;
		s.low = MIN(s.low, value);
		s.high = MAX(s.high, value);
	}
	return s;
}

#define MEAN(o, n, field) spread((o), (n), offsetof(outcome_t, field)).mean

/* Weighted cost; 1 is the naive version with the reference keep-alive. */
static double cost(const set_t *s, const outcome_t *o)
{
	const outcome_t *ref = s->naive[REFERENCE];

	return s->d->weight * MEAN(o, s->seeds, idle_hours) /
		       MEAN(ref, s->seeds, idle_hours) +
	       (1 - s->d->weight) * MEAN(o, s->seeds, p99_s) /
		       MEAN(ref, s->seeds, p99_s);
}

static int best_point(const set_t *s)
{
	int best = 0;

	for (int i = 1; i < CURVE_POINTS; i++) {
		if (cost(s, s->naive[i]) < cost(s, s->naive[best]))
			best = i;
	}
	return best;
}

static void print_spread(const char *name, const outcome_t *o, int n,
			 size_t offset)
{
	spread_t s = spread(o, n, offset);

	printf("  %-18s %10.3f  (%.3f to %.3f)\n", name, s.mean, s.low, s.high);
}

static void print_outcome(const char *title, const outcome_t *o, int n)
{
	printf("%s\n", title);
	print_spread("p50 s", o, n, offsetof(outcome_t, p50_s));
	print_spread("p99 s", o, n, offsetof(outcome_t, p99_s));
	print_spread("p99.9 s", o, n, offsetof(outcome_t, p999_s));
	print_spread("idle hours", o, n, offsetof(outcome_t, idle_hours));
	print_spread("late part", o, n, offsetof(outcome_t, late_part));
	print_spread("loads", o, n, offsetof(outcome_t, loads));
	print_spread("hit rate", o, n, offsetof(outcome_t, hit_rate));
	print_spread("store calls/wake", o, n,
		     offsetof(outcome_t, store_calls_per_wake));
}

static void write_csv(FILE *f, const set_t *s)
{
	for (int i = -1; i < CURVE_POINTS; i++) {
		const outcome_t *o = i < 0 ? s->ours : s->naive[i];

		fprintf(f, "%s,%s,%s,", s->d->name, scene_names[s->scene],
			i < 0 ? "berylshunt" : "naive");
		if (i >= 0)
			fprintf(f, "%g", keep_s[i]);
		fprintf(f, ",%.4f,%.4f,%.4f,%.4f,%.6f,%.1f,%.4f\n",
			MEAN(o, s->seeds, p50_s), MEAN(o, s->seeds, p99_s),
			MEAN(o, s->seeds, p999_s),
			MEAN(o, s->seeds, idle_hours),
			MEAN(o, s->seeds, late_part), MEAN(o, s->seeds, loads),
			MEAN(o, s->seeds, hit_rate));
	}
}

static void write_svg(const char *path, const set_t *s)
{
	const double width = 640;
	const double height = 400;
	const double margin = 60;
	double most_idle =
		MEAN(s->naive[CURVE_POINTS - 1], s->seeds, idle_hours);
	double most_p99 = MEAN(s->ours, s->seeds, p99_s);
	FILE *f = fopen(path, "w");

	if (f == NULL)
		err(1, "%s", path);
	for (int i = 0; i < CURVE_POINTS; i++)
		most_p99 = MAX(most_p99, MEAN(s->naive[i], s->seeds, p99_s));
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
		most_idle, most_p99, margin, margin, height - margin,
		width - margin);
	for (int i = 0; i < CURVE_POINTS; i++)
		fprintf(f, "%.1f,%.1f ",
			margin + (width - 2 * margin) *
					 MEAN(s->naive[i], s->seeds,
					      idle_hours) /
					 most_idle,
			height - margin -
				(height - 2 * margin) *
					MEAN(s->naive[i], s->seeds, p99_s) /
					most_p99);
	fprintf(f,
		"\"/>\n<circle r=\"5\" fill=\"black\" cx=\"%.1f\" "
		"cy=\"%.1f\"/>\n</svg>\n",
		margin + (width - 2 * margin) *
				 MEAN(s->ours, s->seeds, idle_hours) /
				 most_idle,
		height - margin -
			(height - 2 * margin) * MEAN(s->ours, s->seeds, p99_s) /
				most_p99);
	if (fclose(f) != 0)
		err(1, "%s", path);
}

static void compare(const set_t *s)
{
	int best = best_point(s);
	const outcome_t *naive = s->naive[best];
	double late = MEAN(naive, s->seeds, late_part);
	char title[64];
	uint64_t overcommits = 0;

	printf("== %s, %s, weight %.2f, %d seeds\n", s->d->name,
	       scene_names[s->scene], s->d->weight, s->seeds);
	print_outcome("berylshunt", s->ours, s->seeds);
	snprintf(title, sizeof(title), "best naive, keep-alive %g s",
		 keep_s[best]);
	print_outcome(title, naive, s->seeds);
	for (int i = 0; i < s->seeds; i++)
		overcommits += s->ours[i].overcommits;
	printf("cost: ours %.3f, best naive %.3f, planner %.3f; loads "
	       "refused for memory %" G_GUINT64_FORMAT "\n",
	       cost(s, s->ours), cost(s, naive), cost(s, s->planner),
	       overcommits);
	printf("policy\t%s%s%s\t%.3f\t%.3f\t%.3f\n", s->d->name,
	       s->scene == SCENE_PLAIN ? "" : "/",
	       s->scene == SCENE_PLAIN ? "" : scene_names[s->scene],
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
		  "weight given to the decisions only", "W" },
		{ "plain", 0, 0, G_OPTION_ARG_NONE, &is_plain,
		  "without the scenes of failures", NULL },
		{ "size", 0, 0, G_OPTION_ARG_NONE, &is_size,
		  "only bytes, CPU and memory by number of models", NULL },
		{ "out", 0, 0, G_OPTION_ARG_FILENAME, &out,
		  "directory for the CSV and SVG files", "DIR" },
		{ NULL }
	};
	GOptionContext *context = g_option_context_new(NULL);
	size_t count;
	const deployment_t *d = deployments(&count);
	set_t *s;
	FILE *csv = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || seeds < 1 ||
	    seeds > SEEDS_MAX || threads < 1)
		errx(1, "bad arguments");
	g_option_context_free(context);
	if (is_size) {
		measure_size();
		return 0;
	}
	s = g_new0(set_t, 1);
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
		for (scene_t scene = 0; scene < (is_plain ? 1 : SCENES);
		     scene++) {
			s->d = &d[i];
			s->seeds = seeds;
			s->scene = scene;
			s->weight = weight >= 0 ? weight : d[i].weight;
			run_set(s, threads, true);
			compare(s);
			if (csv != NULL)
				write_csv(csv, s);
			if (out != NULL && scene == SCENE_PLAIN) {
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
