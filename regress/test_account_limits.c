/* Limits of client accounts over many instances, under a virtual clock: what is
 * used of a limit, and what passes in a window. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/rng.h"
#include "coordination/account_limit.h"
#include "coordination/fair_order.h"

#define US_PER_S      INT64_C(1000000)
#define ACCOUNT	      7U
#define RATE	      60000.0
#define OVERAGE	      0.1
#define SLACK	      110000.0
#define WINDOW_S      8
#define STEP_US	      INT64_C(10000)
#define INSTANCES_MAX 1100
#define DELAY_MAX_US  30000
#define SLOTS	      4096
#define SEEDS	      5
#define COST_MEAN     700.0

typedef struct {
	bsh_account_share_t share;
	int64_t heard_us;
	int64_t report_us; /* next report */
	uint64_t incarnation;
	bsh_account_reporter_t reporter;
	bool lives;
	bool frozen; /* neither sends nor admits */
	bool cut;    /* from the other instances */
} instance_t;

typedef struct {
	uint32_t n;
	double rate;	   /* of the limit, and burst */
	double demand;	   /* tokens a second, all together */
	double exponent;   /* of the weights of instances; 0: even */
	double large_part; /* of requests, with large_cost each */
	uint32_t large_cost;
	int64_t until_us;
	/* Called before each step. */
	void (*event)(void *fleet, int64_t now_us);
} load_t;

typedef struct {
	bsh_rng_t rng;
	load_t load;
	instance_t instances[INSTANCES_MAX];
	double weights[INSTANCES_MAX];
	double total_weight;
	bsh_account_ledger_t *ledger;
	bsh_account_bounds_t bounds;
	uint32_t keeper; /* INSTANCES_MAX: none */
	/* What the keeper answers, in order of arrival. */
	double admitted_by_step[SLOTS];
	double offered;
	double admitted;
	int64_t now_us;
} fleet_t;

static void keep(fleet_t *f, uint32_t keeper, double filled)
{
	if (f->ledger != NULL)
		bsh_account_ledger_free(f->ledger);
	f->ledger = bsh_account_ledger_new();
	f->keeper = keeper;
	for (uint32_t i = 0; i < f->load.n; i++)
		bsh_account_reporter_changed(&f->instances[i].reporter,
					     f->now_us);
	bsh_account_ledger_set(f->ledger, ACCOUNT, &f->bounds, filled,
			       f->now_us);
}

static void start(fleet_t *f, uint32_t i)
{
	instance_t *instance = &f->instances[i];

	memset(instance, 0, sizeof(*instance));
	bsh_account_share_init(&instance->share);
	instance->lives = true;
	bsh_account_reporter_init(&instance->reporter);
	instance->incarnation = (uint64_t)f->now_us + 1;
	instance->report_us =
		f->now_us +
		bsh_rng_below(&f->rng,
			      (uint32_t)bsh_account_report_us(f->load.n));
}

static fleet_t *new_fleet(const load_t *load, uint64_t seed)
{
	fleet_t *f = g_new0(fleet_t, 1);

	bsh_rng_init(&f->rng, (uint32_t)seed);
	f->load = *load;
	f->bounds = (bsh_account_bounds_t){ load->rate, load->rate, OVERAGE,
					    SLACK };
	/* The ledger is older than the processes. */
	f->now_us = US_PER_S - BSH_ACCOUNT_NEW_US;
	keep(f, 0, 1.0);
	f->now_us = US_PER_S;
	for (uint32_t i = 0; i < load->n; i++) {
		start(f, i);
		f->weights[i] = pow(i + 1, -load->exponent);
		f->total_weight += f->weights[i];
	}
	return f;
}

static void free_fleet(fleet_t *f)
{
	bsh_account_ledger_free(f->ledger);
	bsh_rng_finish(&f->rng);
	g_free(f);
}

static void report(fleet_t *f, uint32_t i)
{
	instance_t *instance = &f->instances[i];
	int64_t sent_us = f->now_us;

	bsh_account_reporter_names_all(&instance->reporter, f->load.n, sent_us);
	instance->report_us += bsh_account_report_us(f->load.n);
	if (f->keeper == INSTANCES_MAX || instance->cut ||
	    f->instances[f->keeper].cut || !f->instances[f->keeper].lives ||
	    f->instances[f->keeper].frozen || bsh_rng_below(&f->rng, 50) == 0)
		return;
	bsh_account_ledger_hear(
		f->ledger, i + 1, instance->incarnation,
		bsh_account_reporter_is_first(&instance->reporter, f->now_us),
		f->now_us);
	bsh_account_ledger_note(f->ledger, i + 1, ACCOUNT,
				&instance->share.totals, f->now_us);
	/* The answer may be lost, too. */
	if (bsh_rng_below(&f->rng, 50) == 0)
		return;
	instance->share.fraction = bsh_account_ledger_fraction(
		f->ledger, ACCOUNT, f->load.n, f->now_us);
	instance->heard_us = sent_us;
	bsh_account_reporter_answered(&instance->reporter, sent_us);
}

static uint32_t draw_instance(fleet_t *f)
{
	double at = bsh_rng_unit(&f->rng) * f->total_weight;
	uint32_t i;

	for (i = 0; i + 1 < f->load.n && at > f->weights[i]; i++)
		at -= f->weights[i];
	return i;
}

static void offer(fleet_t *f, uint32_t i, uint32_t cost, double *step)
{
	instance_t *instance = &f->instances[i];

	if (!instance->lives || instance->frozen)
		return;
	f->offered += cost;
	if (!bsh_account_share_admit(&instance->share, &f->bounds, cost,
				     instance->heard_us, f->load.n, f->now_us))
		return;
	f->admitted += cost;
	*step += cost;
}

static uint32_t draw_cost(fleet_t *f)
{
	if (bsh_rng_unit(&f->rng) < f->load.large_part)
		return f->load.large_cost;
	return (uint32_t)(COST_MEAN * (0.5 + bsh_rng_unit(&f->rng)));
}

/* Plays the load; admitted_by_step is filled. */
static uint32_t play(fleet_t *f)
{
	double mean = COST_MEAN * (1 - f->load.large_part) +
		      f->load.large_part * f->load.large_cost;
	double owed = 0;
	uint32_t steps = 0;

	for (; f->now_us < f->load.until_us; f->now_us += STEP_US, steps++) {
		double *step = &f->admitted_by_step[steps % SLOTS];

		*step = 0;
		if (f->load.event != NULL)
			f->load.event(f, f->now_us);
		owed += f->load.demand / mean * (double)STEP_US / 1e6;
		/* Arrivals are random: an exponential gap each. */
		while (owed > 0) {
			owed -= bsh_rng_exponential(&f->rng, 1);
			offer(f, draw_instance(f), draw_cost(f), step);
		}
		for (uint32_t i = 0; i < f->load.n; i++)
			if (f->instances[i].lives && !f->instances[i].frozen &&
			    f->now_us >= f->instances[i].report_us)
				report(f, i);
	}
	return steps;
}

/* Most that was admitted in any window. */
static double most_in_window(const fleet_t *f, uint32_t steps)
{
	uint32_t window = (uint32_t)(WINDOW_S * US_PER_S / STEP_US);
	double sum = 0;
	double most = 0;

	for (uint32_t i = 0; i < steps; i++) {
		sum += f->admitted_by_step[i];
		if (i >= window)
			sum -= f->admitted_by_step[i - window];
		most = MAX(most, sum);
	}
	return most;
}

static double bound(const fleet_t *f)
{
	return (f->bounds.rate_per_s * WINDOW_S + f->bounds.burst) *
		       (1 + OVERAGE) +
	       f->bounds.slack;
}

/* Share of the allowance that is used, of what is allowed and asked for. */
static double used(const fleet_t *f, double seconds)
{
	double allowed = f->bounds.rate_per_s * seconds + f->bounds.burst;

	return f->admitted / MIN(allowed, f->offered);
}

/* Guards against equal shares, of which sparse requests use a half, and against
 * instances that admit more together than the account may use. */
static void test_used(void)
{
	static const uint32_t sizes[] = { 3, 60, 300, 1100 };
	static const double demands[] = { 0.5, 1, 3 };
	static const double exponents[] = { 0, 1 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(demands); j++)
			for (size_t k = 0; k < G_N_ELEMENTS(exponents); k++)
				for (uint64_t seed = 0; seed < SEEDS; seed++) {
					load_t load = {
						.n = sizes[i],
						.rate = RATE,
						.demand = demands[j] * RATE,
						.exponent = exponents[k],
						.large_part = 0.02,
						.large_cost = 9000,
						.until_us = 31 * US_PER_S,
					};
					fleet_t *f = new_fleet(&load, seed);
					uint32_t steps = play(f);
					double most = most_in_window(f, steps);

					g_test_message(
						"n=%u demand=%.1f "
						"exponent=%.0f used=%.3f "
						"most=%.3f of the bound",
						load.n, demands[j],
						exponents[k], used(f, 30),
						most / bound(f));
					/* At the largest size reports come more rarely than
 * the level settles. */
					g_assert_cmpfloat(used(f, 30), >=,
							  load.n <= 300 ? 0.9
									: 0.8);
					g_assert_cmpfloat(most, <=, bound(f));
					free_fleet(f);
				}
}

/* An account that sends many times its usual at all instances, for some
 * seconds. */
static void hot(void *fleet, int64_t now_us)
{
	fleet_t *f = fleet;

	f->load.demand = now_us >= 8 * US_PER_S && now_us < 15 * US_PER_S
				 ? 7.5 * f->load.rate / 1.8
				 : f->load.rate / 1.8;
}

/* Guards against what passes until all instances know of a sudden load. */
static void test_hot(void)
{
	static const double rates[] = { 29000, 60000, 333000 };

	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++)
		for (uint64_t seed = 0; seed < SEEDS; seed++) {
			load_t load = { .n = 68,
					.rate = rates[i],
					.large_part = 0.02,
					.large_cost = 9000,
					.until_us = 26 * US_PER_S,
					.event = hot };
			fleet_t *f = new_fleet(&load, seed);
			double most = most_in_window(f, play(f));

			g_test_message("rate=%.0f admitted=%.3f most=%.3f of "
				       "the bound",
				       load.rate,
				       f->admitted /
					       (load.rate * (18 / 1.8 + 7 + 1)),
				       most / bound(f));
			g_assert_cmpfloat(most, <=, bound(f));
			/* 18 s of the usual and 7 s of the limit. */
			g_assert_cmpfloat(f->admitted, >=,
					  0.9 * load.rate * (18 / 1.8 + 7));
			free_fleet(f);
		}
}

/* The keeper ends; another one is known 2.5 s later. */
static void lose_keeper(void *fleet, int64_t now_us)
{
	fleet_t *f = fleet;

	if (now_us == 10 * US_PER_S)
		f->instances[0].lives = false;
	if (now_us == 12 * US_PER_S + US_PER_S / 2)
		keep(f, 1, 0.5);
}

/* A third of the instances is cut off, the keeper among them; each side has a
 * keeper of its own, but that of the cut side has none to hear. */
static void cut(void *fleet, int64_t now_us)
{
	fleet_t *f = fleet;

	for (uint32_t i = 0; i < f->load.n / 3; i++)
		f->instances[i].cut =
			now_us >= 10 * US_PER_S && now_us < 16 * US_PER_S;
	if (now_us == 12 * US_PER_S + US_PER_S / 2)
		keep(f, f->load.n - 1, 0.5);
}

/* Half of the instances is frozen for four seconds, others start again. */
static void freeze_and_restart(void *fleet, int64_t now_us)
{
	fleet_t *f = fleet;

	for (uint32_t i = 1; i < f->load.n; i += 2)
		f->instances[i].frozen =
			now_us >= 8 * US_PER_S && now_us < 12 * US_PER_S;
	for (uint32_t i = 2; i < f->load.n; i += 4) {
		if (now_us == 14 * US_PER_S)
			f->instances[i].lives = false;
		if (now_us == 16 * US_PER_S)
			start(f, i);
	}
}

/* The limit falls to a half. */
static void lower(void *fleet, int64_t now_us)
{
	fleet_t *f = fleet;

	if (now_us != 10 * US_PER_S)
		return;
	f->bounds.rate_per_s /= 2;
	f->bounds.burst /= 2;
	bsh_account_ledger_set(f->ledger, ACCOUNT, &f->bounds, 0, now_us);
}

typedef struct {
	const char *name;
	void (*event)(void *fleet, int64_t now_us);
	double least; /* used of the rate while the demand is 0.55 of it */
} failure_t;

static const failure_t failures[] = {
	{ "keeper-ends", lose_keeper, 0.85 },
	{ "cut", cut, 0.8 },
	{ "freeze-and-restart", freeze_and_restart, 0.9 },
};

/* Guards against instances that admit together more than the account may use
 * while they cannot hear of one another, and against refusals below the limit. */
static void test_failures(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(failures); i++)
		for (uint64_t seed = 0; seed < 2 * SEEDS; seed++) {
			bool usual = seed < SEEDS;
			load_t load = { .n = 68,
					.rate = RATE,
					.demand = usual ? RATE / 1.8 : 3 * RATE,
					.until_us = 31 * US_PER_S,
					.event = failures[i].event };
			fleet_t *f = new_fleet(&load, seed);
			double most = most_in_window(f, play(f));

			g_test_message(
				"%s demand=%.2f admitted=%.3f of the offered "
				"most=%.3f of the bound",
				failures[i].name, load.demand / RATE,
				f->admitted / f->offered, most / bound(f));
			g_assert_cmpfloat(most, <=, bound(f));
			if (usual)
				g_assert_cmpfloat(f->admitted / f->offered, >=,
						  failures[i].least);
			free_fleet(f);
		}
}

/* Guards against a lower limit that binds only when the old burst is used up. */
static void test_lowered(void)
{
	for (uint64_t seed = 0; seed < SEEDS; seed++) {
		load_t load = { .n = 68,
				.rate = RATE,
				.demand = 3 * RATE,
				.until_us = 31 * US_PER_S,
				.event = lower };
		fleet_t *f = new_fleet(&load, seed);
		uint32_t steps = play(f);
		uint32_t from = (uint32_t)(10 * US_PER_S / STEP_US);

		memset(f->admitted_by_step, 0,
		       from * sizeof(f->admitted_by_step[0]));
		g_assert_cmpfloat(most_in_window(f, steps), <=, bound(f));
		free_fleet(f);
	}
}

/* Guards against tokens that are lost with requests that did not run, against
 * reports that overtake one another, and against totals of a former process. */
static void test_totals(void)
{
	bsh_account_bounds_t bounds = { 100, 1000, 0, 0 };
	bsh_account_ledger_t *ledger = bsh_account_ledger_new();
	bsh_account_totals_t totals = { 500, 500, 0 };

	bsh_account_ledger_set(ledger, ACCOUNT, &bounds, 1, US_PER_S);
	bsh_account_ledger_hear(ledger, 1, 1, false, US_PER_S);
	/* Used before the ledger began. */
	bsh_account_ledger_note(ledger, 1, ACCOUNT, &totals, US_PER_S);
	g_assert_cmpfloat(bsh_account_ledger_level(ledger, ACCOUNT), ==, 1000);
	totals = (bsh_account_totals_t){ 900, 800, 0 };
	bsh_account_ledger_note(ledger, 1, ACCOUNT, &totals, US_PER_S);
	g_assert_cmpfloat(bsh_account_ledger_level(ledger, ACCOUNT), ==, 700);
	totals.given_back = 100;
	bsh_account_ledger_note(ledger, 1, ACCOUNT, &totals, US_PER_S);
	g_assert_cmpfloat(bsh_account_ledger_level(ledger, ACCOUNT), ==, 800);
	totals = (bsh_account_totals_t){ 600, 600, 0 };
	bsh_account_ledger_note(ledger, 1, ACCOUNT, &totals, US_PER_S);
	g_assert_cmpfloat(bsh_account_ledger_level(ledger, ACCOUNT), ==, 800);
	bsh_account_ledger_hear(ledger, 1, 2, true, US_PER_S);
	totals = (bsh_account_totals_t){ 50, 50, 0 };
	bsh_account_ledger_note(ledger, 1, ACCOUNT, &totals, US_PER_S);
	g_assert_cmpfloat(bsh_account_ledger_level(ledger, ACCOUNT), ==, 750);
	/* The former process again, and the new one. */
	g_assert_false(bsh_account_ledger_hear(ledger, 1, 1, false, US_PER_S));
	g_assert_true(bsh_account_ledger_hear(ledger, 1, 2, false, US_PER_S));
	bsh_account_ledger_note(ledger, 1, ACCOUNT, &totals, US_PER_S);
	g_assert_cmpfloat(bsh_account_ledger_level(ledger, ACCOUNT), ==, 750);
	bsh_account_ledger_free(ledger);
}

/* An instance sends a report about an account, or none that names it; a lost one
 * does not arrive. */
static void send_report(bsh_account_ledger_t *ledger,
			bsh_account_reporter_t *reporter, uint32_t account,
			uint32_t used, bool lost, int64_t now_us)
{
	bsh_account_totals_t totals = { used, used, 0 };
	bool all = bsh_account_reporter_names_all(reporter, 3, now_us);
	bool first = bsh_account_reporter_is_first(reporter, now_us);

	if (lost)
		return;
	bsh_account_ledger_hear(ledger, 1, 1, first, now_us);
	if (all || used > 0)
		bsh_account_ledger_note(ledger, 1, account, &totals, now_us);
	bsh_account_reporter_answered(reporter, now_us);
}

/* Guards against use that counts for nothing as the first report of a process, or
 * the first one to a keeper, was lost, or as that keeper first hears of an account
 * when it is used. */
static void test_lost_first_report(void)
{
	bsh_account_bounds_t bounds = { 100, 1000, 0, 0 };
	bsh_account_reporter_t reporter;

	bsh_account_reporter_init(&reporter);
	for (uint32_t i = 0; i < 2; i++) {
		bsh_account_ledger_t *ledger = bsh_account_ledger_new();
		int64_t now_us = (i + 1) * 10 * US_PER_S;

		/* The process begins before the second ledger. */
		bsh_account_ledger_set(ledger, ACCOUNT + i, &bounds, 1,
				       i == 0 ? US_PER_S : now_us);
		bsh_account_reporter_changed(&reporter, now_us);
		send_report(ledger, &reporter, ACCOUNT + i, 0, true, now_us);
		if (i == 1)
			send_report(ledger, &reporter, ACCOUNT + i, 0, false,
				    now_us + US_PER_S / 5);
		send_report(ledger, &reporter, ACCOUNT + i, 300, false,
			    now_us + 2 * US_PER_S / 5);
		g_assert_cmpfloat(bsh_account_ledger_level(ledger, ACCOUNT + i),
				  ==, 700);
		g_assert_false(bsh_account_reporter_names_all(
			&reporter, 3, now_us + 3 * US_PER_S / 5));
		bsh_account_ledger_free(ledger);
	}
	/* An answer of the keeper before says nothing about this one. */
	bsh_account_reporter_changed(&reporter, 30 * US_PER_S);
	bsh_account_reporter_answered(&reporter, 30 * US_PER_S - 1);
	g_assert_true(
		bsh_account_reporter_names_all(&reporter, 3, 30 * US_PER_S));
}

/* Guards against a keeper that counts what an instance has used for long while
 * there was none. */
static void test_long_alone(void)
{
	bsh_account_bounds_t bounds = { 100, 1000, 0, 0 };
	bsh_account_ledger_t *ledger = bsh_account_ledger_new();
	bsh_account_reporter_t reporter;

	bsh_account_reporter_init(&reporter);
	bsh_account_reporter_names_all(&reporter, 3, 10 * US_PER_S);
	/* Younger than the process, which is new or not. */
	bsh_account_ledger_set(ledger, ACCOUNT, &bounds, 1, 11 * US_PER_S);
	send_report(ledger, &reporter, ACCOUNT, 900, false, 12 * US_PER_S);
	g_assert_cmpfloat(bsh_account_ledger_level(ledger, ACCOUNT), ==, 1000);
	bsh_account_reporter_init(&reporter);
	bsh_account_reporter_names_all(&reporter, 3, 10 * US_PER_S);
	g_assert_false(bsh_account_reporter_is_first(
		&reporter, 10 * US_PER_S + BSH_ACCOUNT_NEW_US));
	bsh_account_ledger_free(ledger);
}

/* A place that takes one request at a time, from those that wait. */
typedef struct {
	uint32_t account;
	double tag;
	uint32_t arrived;
} waiting_t;

static gint compare_waiting(gconstpointer a, gconstpointer b)
{
	const waiting_t *x = a;
	const waiting_t *y = b;

	if (x->tag != y->tag)
		return x->tag < y->tag ? -1 : 1;
	return x->arrived < y->arrived ? -1 : x->arrived > y->arrived;
}

#define PATIENCE 40 /* requests that are served while one waits */

/* Share of the requests of the small account that are served when the other one
 * sends ten times as many, and half of all can be served. */
static double served_small(bool fair)
{
	g_autoptr(GArray) waiting =
		g_array_new(FALSE, FALSE, sizeof(waiting_t));
	bsh_fair_order_t order;
	uint32_t small = 0;
	uint32_t small_served = 0;

	bsh_fair_order_init(&order);
	for (uint32_t i = 0; i < 22000; i++) {
		uint32_t account = i % 11 == 0 ? 1 : 2;
		waiting_t new = { account,
				  fair ? bsh_fair_order_tag(&order, account,
							    700, 29000)
				       : 0,
				  i };

		small += account == 1;
		g_array_append_val(waiting, new);
		while (waiting->len > 0 &&
		       g_array_index(waiting, waiting_t, 0).arrived +
				       2 * PATIENCE <
			       i)
			g_array_remove_index(waiting, 0);
		if (i % 2 == 0)
			continue;
		g_array_sort(waiting, compare_waiting);
		new = g_array_index(waiting, waiting_t, 0);
		small_served += new.account == 1;
		bsh_fair_order_sent(&order, new.tag);
		g_array_remove_index(waiting, 0);
	}
	bsh_fair_order_finish(&order);
	return (double)small_served / small;
}

/* Guards against an account that sends ten times as much as another one and has it
 * wait behind its own requests: in order of arrival half of both are served. */
static void test_fair_order(void)
{
	g_test_message("served of the small account: %.3f, in order of arrival "
		       "%.3f",
		       served_small(true), served_small(false));
	g_assert_cmpfloat(served_small(false), <, 0.7);
	g_assert_cmpfloat(served_small(true), >=, 0.95);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/account-limits/totals", test_totals);
	g_test_add_func("/account-limits/lost-first-report",
			test_lost_first_report);
	g_test_add_func("/account-limits/long-alone", test_long_alone);
	g_test_add_func("/account-limits/used", test_used);
	g_test_add_func("/account-limits/hot", test_hot);
	g_test_add_func("/account-limits/failures", test_failures);
	g_test_add_func("/account-limits/lowered", test_lowered);
	g_test_add_func("/account-limits/fair-order", test_fair_order);
	return g_test_run();
}
