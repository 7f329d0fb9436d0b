#include <math.h>
#include <stdio.h>

#include "policy.h"

/*
 * Arrivals: each model gets episodes of requests by a Poisson process whose
 * rate follows the time of day; some episodes start a group of models.
 */

#define BURST_REQUESTS_MAX 12
#define BURST_US	   (2 * SIM_S)
#define EPISODE_MEAN_S	   1200.0
#define EPISODE_GAP_MEAN_S 90.0
#define RUN_MIN_S	   2.0
#define RUN_MEAN_S	   4.0
#define GROUP_PROBABILITY  0.1
#define GROUP_SIZE	   4
#define RATE_SIGMA	   1.3 /* of the logarithm of wakes per day of a model */
#define LOAD_BASE_MS	   2000
#define LOAD_MS_PER_GIB	   700
#define SHORT_DEADLINE_US  (45 * SIM_S)
#define LONG_DEADLINE_US   (600 * SIM_S)
#define MIB_PER_GIB	   1024

/*
 * Within an hour 10 % of the models get a first request or become idle, which
 * is 0.05 wakes per model and hour, or 1.2 per day.
 */
static const deployment_t deployment_table[] = {
	{ "shikotsu", 0.3, 50, 40, 9, 3, 4, 8, 19, 0.05, 1.2, 0.1, 2, 1 },
	{ "fahrstart", 0.7, 50, 60, 9, 6, 4, 6, 21, 0.1, 1.2, 0.4, 2, 1 },
};

const deployment_t *deployments(size_t *count)
{
	*count = G_N_ELEMENTS(deployment_table);
	return deployment_table;
}

static double random_normal(bsh_rng_t *rng)
{
	double a = MAX(bsh_rng_unit(rng), 1e-12);

	return sqrt(-2 * log(a)) * cos(2 * G_PI * bsh_rng_unit(rng));
}

static uint32_t random_model_gib(bsh_rng_t *rng)
{
	double u = bsh_rng_unit(rng);

	if (u < 0.3)
		return 8;
	if (u < 0.65)
		return 16;
	return u < 0.9 ? 28 : 56;
}

static void make_models(workload_t *load, bsh_rng_t *rng)
{
	const deployment_t *d = load->d;
	double sum = 0;

	load->model_count = d->models + d->adapters;
	load->models = g_new0(bench_model_t, load->model_count);
	for (int i = 0; i < load->model_count; i++) {
		bench_model_t *m = &load->models[i];
		bool is_adapter = i >= d->models;

		snprintf(m->name, sizeof(m->name), "%s-%d",
			 is_adapter ? "adapter" : "model", i);
		m->base = is_adapter ? (int)bsh_rng_below(
					       rng, (uint32_t)d->models / 5)
				     : -1;
		m->memory_mib =
			is_adapter ? 512 : random_model_gib(rng) * MIB_PER_GIB;
		m->load_ms = LOAD_BASE_MS +
			     m->memory_mib * LOAD_MS_PER_GIB / MIB_PER_GIB;
		m->priority = (uint8_t)(2 + bsh_rng_below(rng, 6));
		m->deadline_us = bsh_rng_unit(rng) < d->long_deadline_ratio
					 ? LONG_DEADLINE_US
					 : SHORT_DEADLINE_US;
		m->wakes_per_day = exp(RATE_SIGMA * random_normal(rng));
		sum += m->wakes_per_day;
	}
	for (int i = 0; i < load->model_count; i++)
		load->models[i].wakes_per_day *=
			d->wakes_per_day * load->model_count / sum;
}

static void add_request(workload_t *load, bsh_rng_t *rng, int model,
			int64_t at_us)
{
	request_t r = {
		.at_us = at_us,
		.model = model,
		.run_us = (int64_t)((RUN_MIN_S +
				     bsh_rng_exponential(rng, RUN_MEAN_S)) *
				    1e6)
	};

	if (at_us < load->end_us)
		g_array_append_val(load->requests, r);
}

/* A burst of first requests at many routers, then single ones to the end. */
static void add_episode(workload_t *load, bsh_rng_t *rng, int model,
			int64_t at_us)
{
	int64_t end_us =
		at_us +
		(int64_t)(bsh_rng_exponential(rng, EPISODE_MEAN_S) * 1e6);
	uint32_t burst = 1 + bsh_rng_below(rng, BURST_REQUESTS_MAX);

	for (uint32_t i = 0; i < burst; i++)
		add_request(load, rng, model,
			    at_us + (int64_t)(bsh_rng_unit(rng) * BURST_US));
	while ((at_us +=
		(int64_t)(bsh_rng_exponential(rng, EPISODE_GAP_MEAN_S) * 1e6)) <
	       end_us)
		add_request(load, rng, model, at_us);
}

/* Arrival rate at an hour of the day; its mean over the day is 1. */
static double rate_at_hour(const deployment_t *d, double hour)
{
	double day = d->day_to_h - d->day_from_h;
	double mean = (day + (24 - day) * d->night_ratio) / 24;

	return (hour >= d->day_from_h && hour < d->day_to_h ? 1
							    : d->night_ratio) /
	       mean;
}

static void make_wakes(workload_t *load, bsh_rng_t *rng, int model)
{
	double rate = load->models[model].wakes_per_day;
	double peak = 24.0; /* upper bound of rate_at_hour() */
	double t_days = 0;
	double end_days = (double)load->end_us / DAY_US;

	/* Thinning of a Poisson process with the peak rate. */
	while ((t_days += bsh_rng_exponential(rng, 1 / (rate * peak))) <
	       end_days) {
		double hour = fmod(t_days * 24, 24);

		if (bsh_rng_unit(rng) >= rate_at_hour(load->d, hour) / peak)
			continue;
		add_episode(load, rng, model, (int64_t)(t_days * DAY_US));
		if (bsh_rng_unit(rng) >= GROUP_PROBABILITY)
			continue;
		for (int i = 0; i < GROUP_SIZE - 1; i++)
			add_episode(load, rng,
				    (int)bsh_rng_below(
					    rng, (uint32_t)load->model_count),
				    (int64_t)(t_days * DAY_US) + i * SIM_S);
	}
}

static gint compare_by_time(gconstpointer a, gconstpointer b)
{
	const request_t *x = a;
	const request_t *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->model - y->model;
}

void workload_init(workload_t *load, const deployment_t *d, uint32_t seed)
{
	bsh_rng_t rng;

	bsh_rng_init(&rng, seed);
	load->d = d;
	load->begin_us = d->warm_up_days * DAY_US;
	load->end_us = load->begin_us + d->measured_days * DAY_US;
	load->requests = g_array_new(FALSE, FALSE, sizeof(request_t));
	make_models(load, &rng);
	for (int i = 0; i < load->model_count; i++)
		make_wakes(load, &rng, i);
	g_array_sort(load->requests, compare_by_time);
	bsh_rng_finish(&rng);
}

void workload_finish(workload_t *load)
{
	g_array_free(load->requests, TRUE);
	g_free(load->models);
}
