/* Pace of targets that have just started or recovered: a simulation of many
 * instances that choose among the targets of a service, with a pace and without
 * one. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "coordination/target_choice.h"
#include "coordination/target_pace.h"

#define INSTANCES    70
#define TARGETS_MAX  72
#define JOBS_MAX     64
#define ATTEMPTS_MAX 3
#define SEEDS	     3
#define STEP_US	     INT64_C(1000)
#define SECOND_US    INT64_C(1000000)
/* The event of a load happens then, and the run ends so much later.  Counts are
 * of the first 5 s, in which a window may last without answers against it. */
#define EVENT_US INT64_C(6000000)
#define END_US	 (EVENT_US + INT64_C(8000000))
#define SPAN_US	 INT64_C(5000000)
#define NOISE	 0.3 /* standard deviation of the log of run times */
/* Engines: part of the prefill that requests share, estimated time to the first
 * byte without it, and the interval of the sums of the lease holder. */
#define SHARED_PART 0.5
#define FIXED_US    10000.0
#define SUMS_US	    INT64_C(200000)

/* What happens at EVENT_US. */
typedef struct {
	const char *name;
	uint32_t targets;
	uint32_t slots;
	double rate;	    /* requests a second, of all instances */
	int64_t run_us;	    /* of one at speed 1 */
	int64_t prefill_us; /* before that, one at a time; 0: not an engine */
	int64_t late_us;    /* a first byte later than this is late */
	uint32_t started;   /* targets with a new process */
	bool fails;	    /* down for 2 s, and then recovers */
	double factor;	    /* run times are longer by this */
	int64_t slow_us;    /* for so long */
	bool broken;	    /* and fails all requests instead */
} load_t;

typedef struct {
	uint32_t sent;	   /* to the targets of the event */
	uint32_t rejected; /* by them */
	uint32_t failed;   /* by them */
	uint32_t all_rejected;
	uint32_t refused; /* requests after all attempts */
	uint32_t late;
	uint32_t requests;
	uint32_t first_second; /* sent to them in the first second */
	double total_us;       /* of answered requests */
	uint32_t answered;
} result_t;

typedef struct {
	uint32_t instance;
	uint64_t affinity;
	int64_t arrived_us;
	uint32_t attempts;
	uint32_t tried[ATTEMPTS_MAX];
	int64_t sent_us;
	int64_t prefill_us; /* that is left */
	int64_t left_us;    /* run time that is left */
	double work_us;	    /* estimates of engine_load.c */
	double expected_us;
} job_t;

typedef struct {
	double speed;
	uint32_t n; /* jobs, of which the first ones run */
	job_t jobs[JOBS_MAX];
} sim_target_t;

typedef struct {
	bsh_target_record_t record;
	bsh_target_pace_t pace;
} known_t;

typedef struct {
	const load_t *load;
	bool paced;
	GRand *random;
	int64_t now_us;
	sim_target_t targets[TARGETS_MAX];
	known_t known[INSTANCES][TARGETS_MAX];
	bsh_pace_peers_t peers[INSTANCES];
	result_t result;
} sim_t;

static bool is_event_target(const sim_t *sim, uint32_t target)
{
	return target < sim->load->started;
}

static bool is_counted(const sim_t *sim)
{
	return sim->now_us >= EVENT_US && sim->now_us < EVENT_US + SPAN_US;
}

static double normal(GRand *random)
{
	double u = 1.0 - g_rand_double(random);

	return sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * g_rand_double(random));
}

static int64_t vary(const sim_t *sim, uint32_t target, int64_t at_speed_1_us)
{
	const load_t *load = sim->load;
	double time_us = (double)at_speed_1_us / sim->targets[target].speed;

	if (is_event_target(sim, target) && sim->now_us >= EVENT_US &&
	    sim->now_us < EVENT_US + load->slow_us)
		time_us *= load->factor;
	return (int64_t)(time_us * exp(NOISE * normal(sim->random)));
}

static bool was_tried(const job_t *job, uint32_t target)
{
	for (uint32_t i = 0; i < job->attempts; i++)
		if (job->tried[i] == target)
			return true;
	return false;
}

static int32_t choose(const sim_t *sim, job_t *job)
{
	bsh_target_candidate_t candidates[TARGETS_MAX];
	uint32_t index[TARGETS_MAX];
	uint32_t n = 0;
	int32_t best;
	bsh_target_work_t work = {
		.prefill_us = (double)sim->load->prefill_us,
		.shared_us = (double)sim->load->prefill_us * SHARED_PART,
	};

	for (uint32_t i = 0; i < sim->load->targets; i++) {
		const known_t *known = &sim->known[job->instance][i];

		if (was_tried(job, i))
			continue;
		index[n] = i;
		candidates[n++] = (bsh_target_candidate_t){
			.record = &known->record,
			.slots = sim->load->slots,
			.target_hash = i + 1,
			.same_zone = true,
			.at_pace = job->attempts == 0 &&
				   known->record.running >=
					   bsh_pace_open_max(&known->pace,
							     sim->now_us),
		};
	}
	best = bsh_target_choose(candidates, n, &work, job->affinity,
				 sim->now_us);
	if (best < 0)
		return -1;
	if (sim->load->prefill_us > 0) {
		job->work_us = bsh_target_own_us(&candidates[best], &work);
		job->expected_us = FIXED_US + job->work_us +
				   bsh_target_ahead_us(candidates[best].record,
						       sim->now_us);
	}
	return (int32_t)index[best];
}

static void begin_pace(sim_t *sim, uint32_t instance, uint32_t target,
		       int64_t at_us)
{
	if (sim->paced)
		bsh_pace_begin(&sim->known[instance][target].pace,
			       sim->load->slots, INSTANCES,
			       bsh_pace_lot(instance + 1000, target + 1),
			       at_us);
}

static void first_byte(sim_t *sim, const job_t *job, uint32_t target)
{
	known_t *known = &sim->known[job->instance][target];
	int64_t took_us = sim->now_us - job->sent_us;
	bsh_pace_answer_t answer = { .took_us = took_us,
				     .expected_us = job->expected_us };

	bsh_target_first_byte(&known->record, took_us, job->expected_us,
			      sim->now_us);
	bsh_target_work_done(&known->record, job->work_us);
	bsh_pace_expire(&known->pace, sim->now_us);
	bsh_pace_answered(&known->pace, &sim->peers[job->instance], &answer,
			  sim->now_us);
	if (job->arrived_us < EVENT_US || job->arrived_us >= EVENT_US + SPAN_US)
		return;
	sim->result.answered++;
	sim->result.total_us += (double)(sim->now_us - job->arrived_us);
	sim->result.late += sim->now_us - job->arrived_us > sim->load->late_us;
}

static void fail_pace(sim_t *sim, uint32_t instance, uint32_t target)
{
	known_t *known = &sim->known[instance][target];

	bsh_pace_expire(&known->pace, sim->now_us);
	bsh_pace_failed(&known->pace, sim->now_us);
	if (bsh_target_is_left_out(&known->record))
		begin_pace(sim, instance, target,
			   known->record.paused_until_us);
}

/* True if the target has taken the request. */
static bool send_to(sim_t *sim, job_t *job, uint32_t target)
{
	const load_t *load = sim->load;
	sim_target_t *t = &sim->targets[target];
	known_t *known = &sim->known[job->instance][target];
	bool at_event = is_event_target(sim, target) && is_counted(sim);
	int64_t since_us = sim->now_us - EVENT_US;

	sim->result.sent += at_event;
	sim->result.first_second += at_event && since_us < SECOND_US;
	bsh_target_started(&known->record, job->work_us, sim->now_us);
	if (load->fails && is_event_target(sim, target) &&
	    since_us >= -2 * SECOND_US && since_us < 0) {
		bsh_target_unreachable(&known->record, sim->now_us);
		fail_pace(sim, job->instance, target);
		return false;
	}
	if (load->broken && at_event && since_us < load->slow_us) {
		sim->result.failed++;
		bsh_target_ended(&known->record, true, sim->now_us);
		fail_pace(sim, job->instance, target);
		return false;
	}
	/* As many as half of the slots may wait. */
	if (t->n >= load->slots + load->slots / 2) {
		sim->result.rejected += at_event;
		sim->result.all_rejected += is_counted(sim);
		bsh_target_ended(&known->record, false, sim->now_us);
		fail_pace(sim, job->instance, target);
		return false;
	}
	job->sent_us = sim->now_us;
	job->left_us = vary(sim, target, load->run_us);
	/* Only the first ranks have the shared part in their cache. */
	job->prefill_us = vary(sim, target, (int64_t)job->work_us);
	t->jobs[t->n++] = *job;
	return true;
}

static void dispatch(sim_t *sim, job_t *job)
{
	while (job->attempts < ATTEMPTS_MAX) {
		int32_t target = choose(sim, job);

		if (target < 0)
			break;
		if (send_to(sim, job, (uint32_t)target))
			return;
		bsh_target_work_done(&sim->known[job->instance][target].record,
				     job->work_us);
		job->tried[job->attempts++] = (uint32_t)target;
	}
	sim->result.refused += is_counted(sim);
}

/* True if the job has ended.  One prefill runs at a time. */
static bool run_job(sim_t *sim, job_t *job, uint32_t target, uint32_t *prefills)
{
	bool is_engine = sim->load->prefill_us > 0;

	if (job->prefill_us > 0) {
		if ((*prefills)++ > 0)
			return false;
		job->prefill_us -= STEP_US;
		if (job->prefill_us <= 0)
			first_byte(sim, job, target);
		return false;
	}
	job->left_us -= STEP_US;
	if (job->left_us > 0)
		return false;
	if (!is_engine)
		first_byte(sim, job, target);
	return true;
}

/* What all have open at the targets, as the lease holder tells it. */
static void set_sums(sim_t *sim)
{
	for (uint32_t target = 0; target < sim->load->targets; target++) {
		double work_us = 0.0;

		for (uint32_t i = 0; i < INSTANCES; i++)
			work_us += sim->known[i][target].record.work_us;
		for (uint32_t i = 0; i < INSTANCES; i++) {
			bsh_target_record_t *r = &sim->known[i][target].record;

			r->reported_us = r->work_us;
			r->reported_running = r->running;
			bsh_target_set_others(r, work_us,
					      sim->targets[target].n,
					      sim->now_us);
		}
	}
}

static void run_target(sim_t *sim, uint32_t target)
{
	sim_target_t *t = &sim->targets[target];
	uint32_t running = MIN(t->n, sim->load->slots);
	uint32_t prefills = 0;
	uint32_t kept = 0;

	for (uint32_t i = 0; i < t->n; i++) {
		job_t *job = &t->jobs[i];

		if (i < running && run_job(sim, job, target, &prefills))
			bsh_target_ended(
				&sim->known[job->instance][target].record,
				false, sim->now_us);
		else
			t->jobs[kept++] = *job;
	}
	t->n = kept;
}

static void happen(sim_t *sim)
{
	for (uint32_t target = 0; target < sim->load->started; target++) {
		if (sim->load->fails)
			continue;
		for (uint32_t i = 0; i < INSTANCES; i++) {
			known_t *known = &sim->known[i][target];
			uint32_t running = known->record.running;
			double work_us = known->record.work_us;

			/* As a target that is new in the list. */
			memset(known, 0, sizeof(*known));
			known->record.running = running;
			known->record.work_us = work_us;
			begin_pace(sim, i, target, sim->now_us);
		}
	}
}

static void arrive(sim_t *sim)
{
	double left = sim->load->rate * (double)STEP_US / 1e6;

	/* Poisson arrivals. */
	for (left += log(1.0 - g_rand_double(sim->random)); left > 0.0;
	     left += log(1.0 - g_rand_double(sim->random))) {
		job_t job = {
			.instance = (uint32_t)g_rand_int_range(sim->random, 0,
							       INSTANCES),
			.affinity = g_rand_int(sim->random),
			.arrived_us = sim->now_us,
		};

		sim->result.requests += is_counted(sim);
		dispatch(sim, &job);
	}
}

static void add(result_t *sum, const result_t *r)
{
	sum->sent += r->sent;
	sum->rejected += r->rejected;
	sum->failed += r->failed;
	sum->all_rejected += r->all_rejected;
	sum->refused += r->refused;
	sum->late += r->late;
	sum->requests += r->requests;
	sum->first_second += r->first_second;
	sum->total_us += r->total_us;
	sum->answered += r->answered;
}

static void run_seed(const load_t *load, bool paced, uint32_t seed,
		     result_t *sum)
{
	sim_t *sim = g_new0(sim_t, 1);

	sim->load = load;
	sim->paced = paced;
	sim->random = g_rand_new_with_seed(seed);
	/* Speeds of a service differ by 0.55 to 1.2. */
	for (uint32_t i = 0; i < load->targets; i++)
		sim->targets[i].speed =
			g_rand_double_range(sim->random, 0.55, 1.2);
	for (sim->now_us = STEP_US; sim->now_us < END_US;
	     sim->now_us += STEP_US) {
		if (sim->now_us == EVENT_US)
			happen(sim);
		if (load->prefill_us > 0 && sim->now_us % SUMS_US == 0)
			set_sums(sim);
		for (uint32_t i = 0; i < load->targets; i++)
			run_target(sim, i);
		arrive(sim);
	}
	add(sum, &sim->result);
	g_rand_free(sim->random);
	g_free(sim);
}

static double mean_ms(const result_t *r)
{
	return r->total_us / MAX(r->answered, 1) / 1000.0;
}

static void run(const load_t *load, bool paced, result_t *sum)
{
	memset(sum, 0, sizeof(*sum));
	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		run_seed(load, paced, seed, sum);
	g_test_message("%s pace=%d requests=%u sent=%u first_second=%u "
		       "rejected=%u failed=%u all_rejected=%u refused=%u "
		       "late=%u mean_ms=%.1f",
		       load->name, paced, sum->requests, sum->sent,
		       sum->first_second, sum->rejected, sum->failed,
		       sum->all_rejected, sum->refused, sum->late,
		       mean_ms(sum));
}

/* 186 calls a second to 4 targets with 6 slots: 41 % of them are in use. */
#define PLAIN_AT(rate_s)                                                       \
	.targets = 4, .slots = 6, .rate = (rate_s), .run_us = 50000,           \
	.late_us = 150000
#define PLAIN PLAIN_AT(186)
/* 364 streams a second to 72 engines with 16 slots. */
#define ENGINES                                                                \
	.targets = 72, .slots = 16, .rate = 364, .run_us = 1500000,            \
	.late_us = 400000
/* Four times slower for 3 s. */
#define COLD .factor = 4, .slow_us = 3 * SECOND_US

/* Guards against a flood of a plain target that has just started: its expected
 * delay is a default that is shorter than that of its peers. */
static void test_one_cold(void)
{
	static const load_t load = {
		.name = "one-cold", PLAIN, .started = 1, COLD
	};
	result_t without;
	result_t with;

	run(&load, false, &without);
	run(&load, true, &with);
	g_assert_cmpuint(with.rejected * 10, <, without.rejected);
	g_assert_cmpuint(with.late * 3, <, without.late);
	g_assert_cmpuint(with.refused, ==, 0);
}

/* The same while the other targets can hardly take what it would have got: no
 * request may be refused for the pace. */
static void test_one_cold_busy(void)
{
	static const load_t load = {
		.name = "one-cold-busy", PLAIN_AT(280), .started = 1, COLD
	};
	result_t without;
	result_t with;

	run(&load, false, &without);
	run(&load, true, &with);
	g_assert_cmpuint(with.rejected * 5, <, without.rejected);
	g_assert_cmpuint(with.late, <, without.late);
	g_assert_cmpuint(with.refused, <=, without.refused);
}

/* Guards against engines that all instances choose at once after a start, as
 * nothing is open there. */
static void test_engines_cold(void)
{
	static const load_t loads[] = {
		{ .name = "engines-cold",
		  ENGINES,
		  .prefill_us = 60000,
		  .started = 18,
		  COLD },
		/* The other engines are nearly full then. */
		{ .name = "engines-cold-long",
		  ENGINES,
		  .prefill_us = 200000,
		  .started = 18,
		  COLD },
	};
	result_t without[2];
	result_t with[2];

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		run(&loads[i], false, &without[i]);
		run(&loads[i], true, &with[i]);
		g_assert_cmpuint(with[i].late, <, without[i].late);
		g_assert_cmpuint(with[i].refused, <=, without[i].refused);
	}
	g_assert_cmpuint(with[0].late * 2, <, without[0].late);
}

/* Guards against a pace that leaves callers without a target when there are no
 * others: all is as without a pace, within 2 percent of the requests. */
static void test_all_cold(void)
{
	static const load_t loads[] = {
		{ .name = "all-cold", PLAIN, .started = 4, COLD },
		{ .name = "all-cold-light", PLAIN_AT(60), .started = 4, COLD },
		{ .name = "all-engines-cold",
		  ENGINES,
		  .prefill_us = 60000,
		  .started = 72,
		  COLD },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		result_t without;
		result_t with;
		uint32_t margin;

		run(&loads[i], false, &without);
		run(&loads[i], true, &with);
		margin = without.requests / 50;
		g_assert_cmpuint(with.refused, <=, without.refused + margin);
		g_assert_cmpuint(with.late, <=, without.late + margin);
	}
}

/* Guards against a target that was unreachable for 2 s, and is four times slower
 * from then on, being probed by all instances at once. */
static void test_recovered_slow(void)
{
	static const load_t load = { .name = "recovered-slow",
				     PLAIN,
				     .started = 1,
				     .fails = true,
				     .factor = 4,
				     .slow_us = 8 * SECOND_US };
	result_t without;
	result_t with;

	run(&load, false, &without);
	run(&load, true, &with);
	g_assert_cmpuint(with.rejected * 4, <, without.rejected);
	g_assert_cmpuint(with.late, <, without.late);
	g_assert_cmpuint(with.refused, ==, 0);
}

/* Guards against trust in what is said of a target: one that is listed as sound
 * and fails all requests for 3 s, and ones that are fast while a hint or their
 * start makes them cold. */
static void test_false_state(void)
{
	static const load_t broken = { .name = "listed-but-broken",
				       PLAIN,
				       .started = 1,
				       .factor = 1,
				       .slow_us = 3 * SECOND_US,
				       .broken = true };
	static const load_t warm[] = {
		{ .name = "warm", PLAIN, .started = 1 },
		{ .name = "warm-busy", PLAIN_AT(280), .started = 1 },
		{ .name = "engines-warm",
		  ENGINES,
		  .prefill_us = 60000,
		  .started = 18 },
	};
	result_t without;
	result_t with;

	run(&broken, false, &without);
	run(&broken, true, &with);
	g_assert_cmpuint(with.failed * 4, <, without.failed);
	for (size_t i = 0; i < G_N_ELEMENTS(warm); i++) {
		run(&warm[i], false, &without);
		run(&warm[i], true, &with);
		/* Within half a percent of the requests. */
		g_assert_cmpuint(with.late, <=,
				 without.late + without.requests / 200);
		g_assert_cmpuint(with.refused, <=, without.refused);
		g_assert_cmpfloat(mean_ms(&with), <, mean_ms(&without) * 1.1);
	}
}

/* Guards against a cost without a fault: the choices are the same. */
static void test_noise(void)
{
	static const load_t load = { .name = "noise", PLAIN };
	result_t without;
	result_t with;

	run(&load, false, &without);
	run(&load, true, &with);
	g_assert_cmpmem(&without, sizeof(without), &with, sizeof(with));
}

/* Guards against instances that each try a new target: at the beginning as many
 * take part as may have requests open together. */
static void test_shares(void)
{
	bsh_target_pace_t pace;
	uint32_t first = 0;
	uint32_t later = 0;

	for (uint32_t process = 1; process <= 100; process++)
		for (uint32_t i = 0; i < INSTANCES; i++) {
			bsh_pace_begin(&pace, 16, INSTANCES,
				       bsh_pace_lot(i + 1000, process), 0);
			first += bsh_pace_open_max(&pace, 0);
			later += bsh_pace_open_max(&pace, 3 * SECOND_US);
		}
	/* A quarter of 16 slots at each of 100 processes. */
	g_assert_cmpuint(first, >, 300);
	g_assert_cmpuint(first, <, 500);
	g_assert_cmpuint(later, >=, 100 * INSTANCES);
	bsh_pace_begin(&pace, 16, 1, 0.99, 0);
	g_assert_cmpuint(bsh_pace_open_max(&pace, 0), ==, 4);
}

static void answer_after(bsh_target_pace_t *pace, bsh_pace_peers_t *peers,
			 int64_t took_us, int64_t now_us)
{
	bsh_pace_answer_t answer = { .took_us = took_us };

	bsh_pace_expire(pace, now_us);
	bsh_pace_answered(pace, peers, &answer, now_us);
}

/* Guards against a window that ends too early, or never. */
static void test_ends(void)
{
	bsh_pace_peers_t peers = { .last_us = 0 };
	bsh_target_pace_t peer = { .active = false };
	bsh_target_pace_t pace;

	for (int i = 0; i < 10; i++)
		answer_after(&peer, &peers, 50000, SECOND_US);
	/* Answers in time. */
	bsh_pace_begin(&pace, 16, 1, 0.0, SECOND_US);
	for (uint32_t i = 0; i < BSH_PACE_KEPT; i++)
		answer_after(&pace, &peers, 60000, SECOND_US + 1000);
	g_assert_true(pace.active);
	answer_after(&pace, &peers, 60000, SECOND_US + BSH_PACE_KEPT_US);
	g_assert_false(pace.active);
	/* No answer; a rejection starts the time again. */
	bsh_pace_begin(&pace, 16, 1, 0.0, 0);
	bsh_pace_failed(&pace, 4 * SECOND_US);
	g_assert_cmpuint(bsh_pace_open_max(&pace, 5 * SECOND_US), <,
			 UINT32_MAX);
	g_assert_false(bsh_pace_expire(&pace, 5 * SECOND_US));
	g_assert_cmpuint(bsh_pace_open_max(&pace, 9 * SECOND_US), ==,
			 UINT32_MAX);
	g_assert_true(bsh_pace_expire(&pace, 9 * SECOND_US));
	/* Late answers keep it, and the window small. */
	bsh_pace_begin(&pace, 16, 1, 0.0, 10 * SECOND_US);
	for (int i = 0; i < 100; i++)
		answer_after(&pace, &peers, 250000,
			     10 * SECOND_US + i * SECOND_US / 10);
	g_assert_true(pace.active);
	g_assert_cmpuint(bsh_pace_open_max(&pace, 20 * SECOND_US), <=, 1);
}

/* Guards against a request that is refused, delayed or sent to a target that is
 * leaving because the pace of another one is reached. */
static void test_last_resort(void)
{
	bsh_target_record_t free_record = { .running = 0 };
	bsh_target_record_t full = { .running = 6,
				     .first_byte_us = 20000,
				     .last_first_byte_at_us = SECOND_US };
	bsh_target_candidate_t c[3] = {
		{ .record = &free_record,
		  .slots = 6,
		  .target_hash = 1,
		  .same_zone = true,
		  .at_pace = true },
		{ .record = &free_record,
		  .slots = 6,
		  .target_hash = 2,
		  .same_zone = true },
		{ .record = &free_record,
		  .slots = 6,
		  .target_hash = 3,
		  .same_zone = true },
	};

	for (uint64_t affinity = 1; affinity < 50; affinity++) {
		g_assert_cmpint(
			bsh_target_choose(c, 3, NULL, affinity, SECOND_US), >,
			0);
		/* Alone. */
		g_assert_cmpint(
			bsh_target_choose(c, 1, NULL, affinity, SECOND_US), ==,
			0);
	}
	/* The others have no room, a wait for a place, or are leaving. */
	c[1].record = &full;
	c[2].record = &full;
	g_assert_cmpint(bsh_target_choose(c, 3, NULL, 1, SECOND_US), ==, 0);
	c[1].record = &free_record;
	c[2].record = &free_record;
	c[1].wait_us = 10000;
	c[2].wait_us = 10000;
	g_assert_cmpint(bsh_target_choose(c, 3, NULL, 1, SECOND_US), ==, 0);
	c[1].wait_us = 0;
	c[2].wait_us = 0;
	c[1].leaving = true;
	c[2].leaving = true;
	g_assert_cmpint(bsh_target_choose(c, 3, NULL, 1, SECOND_US), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/target-pace/shares", test_shares);
	g_test_add_func("/target-pace/ends", test_ends);
	g_test_add_func("/target-pace/last-resort", test_last_resort);
	g_test_add_func("/target-pace/one-cold", test_one_cold);
	g_test_add_func("/target-pace/one-cold-busy", test_one_cold_busy);
	g_test_add_func("/target-pace/engines-cold", test_engines_cold);
	g_test_add_func("/target-pace/all-cold", test_all_cold);
	g_test_add_func("/target-pace/recovered-slow", test_recovered_slow);
	g_test_add_func("/target-pace/false-state", test_false_state);
	g_test_add_func("/target-pace/noise", test_noise);
	return g_test_run();
}
