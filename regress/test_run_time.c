/* What an instance that is being stopped takes, under a virtual clock: requests
 * of random lengths from several distributions, of several models on a route, a
 * random number of them seen before the stop. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "coordination/run_time.h"
#include "support/sim.h"

#define SEEDS	   3000U
#define MODELS_MAX 4U
/* A call is short, whatever its distribution. */
#define SHORT_CALL_US (60 * SIM_MS)

typedef enum {
	LENGTH_EQUAL,
	LENGTH_UNIFORM,
	LENGTH_EXPONENTIAL,
	LENGTH_LOG_NORMAL,
	LENGTH_WIDE_LOG_NORMAL,
	LENGTH_PARETO,
	LENGTHS
} length_t;

typedef enum {
	KIND_STREAM,
	KIND_CALL,
	KIND_CALL_ONCE,
	KINDS
} kind_t;

/* By the end of the run at the target. */
typedef struct {
	uint32_t taken[KINDS];
	uint32_t refused[KINDS];
	uint32_t cut[KINDS];
	uint32_t short_refused; /* calls, a second or more before the abort */
	uint32_t short_cut;
} totals_t;

typedef struct {
	sim_t sim;
	length_t length;
	uint32_t models;
	double pace[MODELS_MAX]; /* relative to the fastest model */
	double mean_us;
	int64_t stop_us;
	int64_t abort_us;
	int64_t mean_gap_us; /* between two requests */
	bool short_calls;    /* of milliseconds, which name no model */
	bool naive;	     /* the longest of the route so far is a bound */
	bsh_run_time_t times[KINDS];
	totals_t *totals;
} world_t;

typedef struct {
	kind_t kind;
	uint32_t model;
	int64_t run_us;
} run_t;

static double normal(world_t *w)
{
	double u = 1.0 - bsh_rng_unit(&w->sim.rng);

	return sqrt(-2.0 * log(u)) *
	       cos(2.0 * G_PI * bsh_rng_unit(&w->sim.rng));
}

/* About 1 on average. */
static double relative_length(world_t *w)
{
	switch (w->length) {
	case LENGTH_UNIFORM:
		return 2.0 * bsh_rng_unit(&w->sim.rng);
	case LENGTH_EXPONENTIAL:
		return bsh_rng_exponential(&w->sim.rng, 1.0);
	case LENGTH_LOG_NORMAL:
		return exp(0.7 * normal(w) - 0.245);
	case LENGTH_WIDE_LOG_NORMAL:
		return exp(1.4 * normal(w) - 0.98);
	case LENGTH_PARETO:
		return pow(1.0 - bsh_rng_unit(&w->sim.rng), -1 / 1.5) / 3.0;
	default:
		return 1.0;
	}
}

static void on_end(void *ctx, void *data)
{
	world_t *w = ctx;
	run_t *run = data;

	bsh_run_time_add(&w->times[run->kind], run->run_us, w->sim.now_us);
	g_free(run);
}

static bool takes(world_t *w, const run_t *run, int64_t limit_us)
{
	int64_t left_us = w->abort_us - w->sim.now_us;
	const bsh_run_time_t *time = &w->times[run->kind];
	bsh_late_request_t request = {
		.is_stream = run->kind == KIND_STREAM,
		.repeatable = run->kind != KIND_CALL_ONCE,
		.limit_us = limit_us,
		.left_us = left_us,
	};

	if (time->requests + time->former_requests == 0)
		time = NULL;
	return w->naive ? bsh_run_time_fits(time, 0, limit_us, left_us)
			: bsh_run_time_takes(time, &request);
}

static void draw_run(world_t *w, run_t *run)
{
	double length = relative_length(w);

	run->kind = bsh_rng_below(&w->sim.rng, KINDS);
	run->model = bsh_rng_below(&w->sim.rng, w->models);
	if (run->kind != KIND_STREAM && w->short_calls)
		run->model = 0;
	run->run_us = (int64_t)(length * w->mean_us * w->pace[run->model]);
	if (run->kind != KIND_STREAM)
		run->run_us = w->short_calls
				      ? MIN(run->run_us / 50, SHORT_CALL_US)
				      : run->run_us / 4;
}

static void on_request(void *ctx, void *data)
{
	world_t *w = ctx;
	totals_t *totals = w->totals;
	int64_t now_us = w->sim.now_us;
	int64_t limit_us = sim_delay(&w->sim, SIM_S, 20 * SIM_S);
	run_t *run = g_new0(run_t, 1);
	bool is_short;
	bool is_cut;

	(void)data;
	sim_after(&w->sim,
		  (int64_t)bsh_rng_exponential(&w->sim.rng,
					       (double)w->mean_gap_us),
		  on_request, w, NULL);
	draw_run(w, run);
	is_short = run->kind != KIND_STREAM && w->short_calls;
	if (now_us >= w->stop_us && !takes(w, run, limit_us)) {
		totals->refused[run->kind]++;
		totals->short_refused +=
			is_short && now_us + SIM_S < w->abort_us;
		g_free(run);
		return;
	}
	run->run_us = MIN(run->run_us, limit_us);
	is_cut = now_us + run->run_us > w->abort_us;
	if (now_us >= w->stop_us) {
		totals->taken[run->kind]++;
		totals->cut[run->kind] += is_cut;
		totals->short_cut += is_short && is_cut;
	}
	sim_after(&w->sim, run->run_us, on_end, w, run);
}

static void play(uint32_t seed, bool naive, totals_t *totals)
{
	world_t w = { .naive = naive, .totals = totals };

	sim_init(&w.sim, seed);
	w.length = bsh_rng_below(&w.sim.rng, LENGTHS);
	w.short_calls = sim_chance(&w.sim, 0.5);
	w.models = 1 + bsh_rng_below(&w.sim.rng, MODELS_MAX);
	for (uint32_t i = 0; i < w.models; i++)
		w.pace[i] = 1.0 + 9.0 * bsh_rng_unit(&w.sim.rng);
	w.mean_us = (double)sim_delay(&w.sim, 100 * SIM_MS, 2 * SIM_S);
	w.mean_gap_us = sim_delay(&w.sim, 20 * SIM_MS, SIM_S);
	w.stop_us = sim_delay(&w.sim, 0, 20 * SIM_S);
	w.abort_us = w.stop_us + sim_delay(&w.sim, SIM_S, 8 * SIM_S);
	sim_after(&w.sim, 0, on_request, &w, NULL);
	sim_run(&w.sim, w.abort_us);
	sim_finish(&w.sim);
}

static void say(const char *name, const totals_t *t)
{
	g_test_message(
		"%s: streams taken %u, refused %u, cut %u; calls %u, "
		"%u, %u; calls that must not be repeated %u, %u, %u; short "
		"calls refused %u, cut %u",
		name, t->taken[KIND_STREAM], t->refused[KIND_STREAM],
		t->cut[KIND_STREAM], t->taken[KIND_CALL], t->refused[KIND_CALL],
		t->cut[KIND_CALL], t->taken[KIND_CALL_ONCE],
		t->refused[KIND_CALL_ONCE], t->cut[KIND_CALL_ONCE],
		t->short_refused, t->short_cut);
}

/* Guards against a promise that rests on an estimate: a stream that is taken
 * although nothing ends it before the abort; against short calls that are cut, or
 * refused more often than by the estimate alone; and against calls of unknown
 * outcome, which must not be repeated, as often as by the estimate alone. */
static void test_lengths(void)
{
	totals_t now;
	totals_t naive;

	memset(&now, 0, sizeof(now));
	memset(&naive, 0, sizeof(naive));
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		play(seed, false, &now);
		play(seed, true, &naive);
	}
	say("now", &now);
	say("longest of the route", &naive);
	g_assert_cmpuint(naive.cut[KIND_STREAM], >, 0);
	g_assert_cmpuint(now.cut[KIND_STREAM], ==, 0);
	g_assert_cmpuint(now.taken[KIND_STREAM], >, 0);
	g_assert_cmpuint(now.short_cut, ==, 0);
	g_assert_cmpuint(now.short_refused, <=, naive.short_refused);
	g_assert_cmpuint(now.cut[KIND_CALL_ONCE], <,
			 naive.cut[KIND_CALL_ONCE] / 4);
}

static bool takes_late(const bsh_run_time_t *time, bool is_stream,
		       bool repeatable, bool has_begun)
{
	bsh_late_request_t request = { .is_stream = is_stream,
				       .repeatable = repeatable,
				       .has_begun = has_begun,
				       .limit_us = 15 * SIM_S,
				       .left_us = 2 * SIM_S };

	return bsh_run_time_takes(time, &request);
}

/* Guards against a stream that is ended although one attempt more may complete it;
 * and against a call of unknown outcome that a margin avoids. */
static void test_kinds(void)
{
	bsh_run_time_t time = { .longest_us = 0 };

	bsh_run_time_add(&time, SIM_S, 0);
	g_assert_false(takes_late(&time, true, true, false));
	g_assert_true(takes_late(&time, true, true, true));
	g_assert_true(takes_late(&time, false, true, false));
	g_assert_false(takes_late(&time, false, false, false));
	g_assert_true(takes_late(&time, false, false, true));
	g_assert_false(takes_late(NULL, false, true, false));
	g_assert_true(takes_late(NULL, true, true, true));
	bsh_run_time_add(&time, 3 * SIM_S, 0);
	g_assert_true(takes_late(&time, true, true, true));
	g_assert_false(takes_late(&time, false, true, false));
	g_assert_cmpuint(bsh_run_time_requests(&time), ==, 2);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/run-time/lengths", test_lengths);
	g_test_add_func("/run-time/kinds", test_kinds);
	return g_test_run();
}
