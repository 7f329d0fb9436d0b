/* Load patterns: several instances send to engines that read prompts one after
 * the other, under a virtual clock.  The instances know the work of others only
 * by the sums of the last exchange. */
#include <glib.h>
#include <math.h>

#include "coordination/load_table.h"
#include "coordination/prefill.h"
#include "coordination/target_choice.h"
#include "support/sim.h"

#define INSTANCES 24
#define ENGINES	  6
#define PREFIXES  40
/* Prefill times, and the latency objective of the requests. */
#define SHARED_US    160000.0
#define OWN_US	     75000.0
#define OBJECTIVE_US 800000
#define REQUESTS_S   42
#define RUN_S	     60
/* Intervals of the reports to the holder and of its sums. */
#define REPORT_MS 250
#define SUM_MS	  200
/* Stated aims of the load: share of requests within the objective, and work of
 * the busiest engine against the mean. */
#define IN_AIM_MIN  0.85
#define BUSIEST_MAX 1.6

typedef struct {
	int64_t free_us; /* end of the prefills that are queued */
	double busy_us;
	double speed;
	bool cached[PREFIXES];
} engine_t;

typedef struct {
	sim_t sim;
	engine_t engines[ENGINES];
	bsh_target_record_t records[INSTANCES][ENGINES];
	bsh_load_table_t table;
	bool by_hash_alone; /* the naive rule: the first rank, always */
	uint32_t requests;
	uint32_t in_aim;
} model_t;

typedef struct {
	model_t *model;
	int instance;
	int engine;
	double work_us;
	double expected_us;
	int64_t sent_us;
} pending_t;

/* Few prefixes are asked for often, many seldom. */
static int pick_prefix(model_t *m)
{
	double u = bsh_rng_below(&m->sim.rng, 1000000) / 1e6;

	return (int)(PREFIXES * u * u);
}

static void on_first_byte(void *ctx, void *data)
{
	pending_t *p = data;
	model_t *m = ctx;
	bsh_target_record_t *record = &m->records[p->instance][p->engine];
	int64_t took_us = m->sim.now_us - p->sent_us;

	bsh_target_first_byte(record, took_us, p->expected_us, m->sim.now_us);
	bsh_target_work_done(record, p->work_us);
	bsh_target_ended(record, false, m->sim.now_us);
	m->in_aim += took_us <= OBJECTIVE_US;
	g_free(p);
}

static void send_request(model_t *m, int instance, int prefix)
{
	bsh_target_candidate_t list[ENGINES];
	bsh_target_work_t work = { SHARED_US + OWN_US, SHARED_US };
	uint64_t affinity = (uint64_t)prefix * UINT64_C(0x9e3779b97f4a7c15);
	pending_t *p = g_new0(pending_t, 1);
	engine_t *engine;
	double prefill_us;

	for (int i = 0; i < ENGINES; i++) {
		memset(&list[i], 0, sizeof(list[i]));
		list[i].record = &m->records[instance][i];
		list[i].slots = 64;
		list[i].target_hash = (uint64_t)i + 1;
		list[i].same_zone = true;
	}
	p->engine = bsh_target_choose(list, ENGINES, &work, affinity,
				      m->sim.now_us);
	g_assert_cmpint(p->engine, >=, 0);
	for (int i = 0; m->by_hash_alone && i < ENGINES; i++)
		if (list[i].rank == 0)
			p->engine = i;
	p->instance = instance;
	p->sent_us = m->sim.now_us;
	p->work_us = bsh_target_own_us(&list[p->engine], &work);
	p->expected_us = p->work_us +
			 bsh_target_ahead_us(&m->records[instance][p->engine],
					     m->sim.now_us);
	bsh_target_started(&m->records[instance][p->engine], p->work_us,
			   m->sim.now_us);
	engine = &m->engines[p->engine];
	prefill_us = (OWN_US + (engine->cached[prefix] ? 0 : SHARED_US)) *
		     engine->speed;
	engine->cached[prefix] = true;
	engine->busy_us += prefill_us;
	engine->free_us =
		MAX(engine->free_us, m->sim.now_us) + (int64_t)prefill_us;
	sim_after(&m->sim, engine->free_us - m->sim.now_us, on_first_byte, m,
		  p);
	m->requests++;
}

static void on_arrival(void *ctx, void *data)
{
	model_t *m = ctx;
	double u = (bsh_rng_below(&m->sim.rng, 999999) + 1) / 1e6;

	(void)data;
	send_request(m, (int)bsh_rng_below(&m->sim.rng, INSTANCES),
		     pick_prefix(m));
	sim_after(&m->sim, (int64_t)(-log(u) * 1e6 / REQUESTS_S), on_arrival, m,
		  NULL);
}

static void on_report(void *ctx, void *data)
{
	model_t *m = ctx;
	int instance = GPOINTER_TO_INT(data);
	bsh_load_entry_t entries[ENGINES] = { 0 };
	char name[16];

	for (int i = 0; i < ENGINES; i++) {
		bsh_target_record_t *record = &m->records[instance][i];

		entries[i].target = (uint32_t)i;
		entries[i].work_ms = (uint32_t)(record->work_us / 1000);
		entries[i].running = record->running;
		record->reported_us = record->work_us;
		record->reported_running = record->running;
	}
	g_snprintf(name, sizeof(name), "entry-%d", instance);
	bsh_load_table_set(&m->table, name, entries, ENGINES, m->sim.now_us);
	sim_after(&m->sim, REPORT_MS * SIM_MS, on_report, m, data);
}

static void on_sums(void *ctx, void *data)
{
	model_t *m = ctx;
	g_autoptr(GArray) sums = bsh_load_table_sum(&m->table, m->sim.now_us);

	(void)data;
	for (guint i = 0; i < sums->len; i++) {
		const bsh_load_entry_t *sum =
			&g_array_index(sums, bsh_load_entry_t, i);

		for (int n = 0; n < INSTANCES; n++)
			bsh_target_set_others(&m->records[n][sum->target],
					      sum->work_ms * 1e3, sum->running,
					      m->sim.now_us);
	}
	sim_after(&m->sim, SUM_MS * SIM_MS, on_sums, m, NULL);
}

/* Runs the pattern.  Returns the share of requests within the objective, and
 * the busy time of the busiest engine against the mean. */
static double run_pattern(bool by_hash_alone, const double *speeds,
			  uint32_t seed, double *busiest)
{
	g_autofree model_t *m = g_new0(model_t, 1);
	double sum = 0.0;
	double most = 0.0;

	m->by_hash_alone = by_hash_alone;
	sim_init(&m->sim, seed);
	bsh_load_table_init(&m->table);
	for (int i = 0; i < ENGINES; i++)
		m->engines[i].speed = speeds[i];
	for (int n = 0; n < INSTANCES; n++)
		sim_after(&m->sim, n * REPORT_MS * SIM_MS / INSTANCES,
			  on_report, m, GINT_TO_POINTER(n));
	sim_after(&m->sim, 0, on_sums, m, NULL);
	sim_after(&m->sim, 0, on_arrival, m, NULL);
	sim_run(&m->sim, RUN_S * SIM_S);
	for (int i = 0; i < ENGINES; i++) {
		sum += m->engines[i].busy_us;
		most = MAX(most, m->engines[i].busy_us);
	}
	*busiest = most / (sum / ENGINES);
	bsh_load_table_finish(&m->table);
	sim_finish(&m->sim);
	return (double)m->in_aim / m->requests;
}

static void check_pattern(const double *speeds)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		double busiest;
		double naive_busiest;
		double in_aim = run_pattern(false, speeds, seed, &busiest);
		double naive = run_pattern(true, speeds, seed, &naive_busiest);

		g_test_message("seed %u: in aim %.3f, busiest %.2f; by hash "
			       "alone %.3f, %.2f",
			       seed, in_aim, busiest, naive, naive_busiest);
		g_assert_cmpfloat(in_aim, >=, IN_AIM_MIN);
		g_assert_cmpfloat(in_aim, >, naive);
		g_assert_cmpfloat(busiest, <, BUSIEST_MAX);
	}
}

/* Guards against prompts that queue at the engine that their shared prefix
 * prefers while others idle, and against instances that all choose the engine
 * that was least loaded at the last exchange. */
static void test_hot_model_with_shared_prompts(void)
{
	static const double speeds[ENGINES] = { 1, 1, 1, 1, 1, 1 };

	check_pattern(speeds);
}

/* The same, and a third of the engines is slower. */
static void test_engines_of_unequal_speed(void)
{
	static const double speeds[ENGINES] = { 1, 1.3, 1, 1, 1.3, 1 };

	check_pattern(speeds);
}

/* Guards against an estimate of the time per token that follows waits behind
 * other prompts, or that absurd figures turn into zero or infinity. */
static void test_prefill_rate(void)
{
	bsh_prefill_t prefill;

	bsh_prefill_init(&prefill);
	for (int i = 0; i < 50; i++) {
		bsh_prefill_observe(&prefill, 7, 4000, 108000, 0.0);
		bsh_prefill_observe(&prefill, 7, 4000, 900000, 700000.0);
	}
	g_assert_cmpfloat_with_epsilon(bsh_prefill_token_us(&prefill, 7), 25.0,
				       1.0);
	bsh_prefill_observe(&prefill, 8, 0, 1000, 0.0);
	bsh_prefill_observe(&prefill, 8, UINT32_MAX, 1, 0.0);
	bsh_prefill_observe(&prefill, 9, 500, INT64_MAX, 0.0);
	g_assert_cmpfloat(bsh_prefill_token_us(&prefill, 8), >=,
			  BSH_PREFILL_MIN_US);
	g_assert_cmpfloat(bsh_prefill_token_us(&prefill, 9), <=,
			  BSH_PREFILL_MAX_US);
	bsh_prefill_finish(&prefill);
}

/* Guards against the load of an instance that has died being counted for good,
 * and against the own load being counted as that of others. */
static void test_load_sums(void)
{
	bsh_load_entry_t entries[] = { { 5, 100, 2 }, { 6, 50, 1 } };
	bsh_target_record_t record = { .reported_us = 100e3,
				       .reported_running = 2 };
	bsh_load_table_t table;
	GArray *sums;

	bsh_load_table_init(&table);
	bsh_load_table_set(&table, "a", entries, 2, 0);
	bsh_load_table_set(&table, "b", entries, 1, 1000000);
	sums = bsh_load_table_sum(&table, 1000000);
	g_assert_cmpuint(sums->len, ==, 2);
	g_assert_cmpuint(g_array_index(sums, bsh_load_entry_t, 0).work_ms, ==,
			 200);
	bsh_target_set_others(&record, 200e3, 4, 1000000);
	g_assert_cmpfloat(record.others_us, ==, 100e3);
	g_assert_cmpuint(record.others_running, ==, 2);
	g_array_free(sums, TRUE);
	sums = bsh_load_table_sum(&table, 2000000);
	g_assert_cmpuint(g_array_index(sums, bsh_load_entry_t, 0).work_ms, ==,
			 100);
	g_array_free(sums, TRUE);
	bsh_load_table_finish(&table);
}

/* Guards against a target that hangs and counts as sound again because an
 * attempt at it was cancelled for another one. */
static void test_cancelled_attempt(void)
{
	bsh_target_record_t record = { .running = 0 };

	for (int i = 0; i < 3; i++) {
		bsh_target_started(&record, 0.0, 1000);
		bsh_target_ended(&record, true, 1000);
	}
	g_assert_false(bsh_target_usable(&record, 2000));
	bsh_target_started(&record, 0.0, 2000);
	bsh_target_cancelled(&record);
	g_assert_cmpuint(record.running, ==, 0);
	g_assert_false(bsh_target_usable(&record, 2000));
	g_assert_cmpuint(record.failures, ==, 3);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* A pattern that fails is reported by its name, and the others run. */
	g_test_set_nonfatal_assertions();
	g_test_add_func("/load/hot-model-with-shared-prompts",
			test_hot_model_with_shared_prompts);
	g_test_add_func("/load/engines-of-unequal-speed",
			test_engines_of_unequal_speed);
	g_test_add_func("/load/prefill-rate", test_prefill_rate);
	g_test_add_func("/load/sums", test_load_sums);
	g_test_add_func("/load/cancelled-attempt", test_cancelled_attempt);
	return g_test_run();
}
