#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "coordination/route.h"

/*
 * bench-route: compares the route module with round robin and least reported
 * load in a discrete-event simulation, and measures the time of a decision and
 * the memory of the tables.
 *
 * Model of an engine: prefills run one at a time and take a base time plus a
 * time per prompt block that is not cached.  From its first to its last token
 * a request occupies one of MAX_RUNNING slots.  The cache holds the prefix of
 * each group as a whole and evicts the least recently used.
 */

#define MS		   INT64_C(1000)
#define S		   INT64_C(1000000)
#define TARGETS		   12
#define ROUTERS		   6
#define GROUPS		   600 /* of requests with a common prompt prefix */
#define MAX_RUNNING	   32
#define CACHE_MAX_BLOCKS   400
#define PREFILL_BASE_US	   (5 * MS)
#define PREFILL_BLOCK_US   (8 * MS)
#define RATE_PER_S	   110.0
#define DECODE_MEAN_US	   (2 * S)
#define REPORT_PERIOD_US   (250 * MS)
#define RUN_US		   (60 * S)
#define WARM_UP_US	   (10 * S)
#define EVENT_LOSS_RATIO   0.1
#define EVENT_DELAY_MAX_US (2 * S)
#define RETRY_US	   (20 * MS)
#define REQUESTS_MAX	   16384

typedef enum {
	ROUND_ROBIN,
	LEAST_REPORTED,
	BERYLSHUNT,
	POLICIES
} policy_t;

static const char *const policy_names[POLICIES] = { "round robin",
						    "least reported load",
						    "berylshunt" };

typedef enum {
	ARRIVAL, /* of a request at a router */
	FIRST_TOKEN,
	REQUEST_END,
	REPORT_DUE, /* a target sends its load to all routers */
	REPORT_RECEIVED,
	CACHE_EVENT_RECEIVED
} kind_t;

typedef struct {
	int64_t at_us;
	uint64_t sequence; /* order of events of the same time */
	kind_t kind;
	int router;
	int target;
	int group;	  /* -1: a cache event was lost */
	uint32_t value;	  /* running requests, or 1: group cached */
	uint32_t waiting; /* requests */
	int64_t end_us;	  /* last token */
	int64_t sent_us;  /* arrival of the request, or send of the report */
	bsh_route_choice_t choice;
} event_t;

typedef struct {
	int64_t prefill_free_us;
	int running; /* requests, after their first token */
	int waiting; /* requests, before their first token */
	int64_t slot_free_us[MAX_RUNNING];
	int64_t last_use_us[GROUPS]; /* 0: not cached */
	int cached;		     /* blocks */
} engine_t;

typedef struct {
	policy_t policy;
	int64_t report_delay_us;
	int64_t now_us;
	bsh_rng_t rng;
	GArray *heap; /* event_t, earliest first */
	uint64_t next_sequence;
	engine_t engines[TARGETS];
	int blocks[GROUPS];
	uint64_t hashes[GROUPS][BSH_ROUTE_MAX_PREFIX];
	bsh_route_t routes[ROUTERS];
	uint32_t reported[ROUTERS][TARGETS]; /* running and waiting */
	int next_target[ROUTERS];
	double *first_ms; /* time to first token */
	int count;	  /* of first_ms */
	int64_t hit_blocks;
	int64_t all_blocks;
} run_t;

static char names[TARGETS][8];

static bool is_before(const event_t *a, const event_t *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us
				    : a->sequence < b->sequence;
}

static void push(run_t *r, event_t event)
{
	guint i = r->heap->len;

	event.sequence = r->next_sequence++;
	g_array_append_val(r->heap, event);
	while (i > 0) {
		event_t *child = &g_array_index(r->heap, event_t, i);
		event_t *parent = &g_array_index(r->heap, event_t, (i - 1) / 2);
		event_t copy = *child;

		if (!is_before(child, parent))
			return;
		*child = *parent;
		*parent = copy;
		i = (i - 1) / 2;
	}
}

static event_t pop(run_t *r)
{
	event_t first = g_array_index(r->heap, event_t, 0);
	guint length = r->heap->len - 1;
	event_t *heap = (event_t *)(void *)r->heap->data;
	event_t moved = heap[length];
	guint i = 0;

	g_array_set_size(r->heap, length);
	while (2 * i + 1 < length) {
		guint c = 2 * i + 1;

		if (c + 1 < length && is_before(&heap[c + 1], &heap[c]))
			c++;
		if (!is_before(&heap[c], &moved))
			break;
		heap[i] = heap[c];
		i = c;
	}
	if (length > 0)
		heap[i] = moved;
	return first;
}

/*
 * Sends a cache event to each router with a random delay.  A lost event arrives
 * as a gap.
 */
static void send_cache_event(run_t *r, int target, int group, bool stored)
{
	for (int i = 0; r->policy == BERYLSHUNT && i < ROUTERS; i++) {
		event_t event = { .kind = CACHE_EVENT_RECEIVED,
				  .router = i,
				  .target = target,
				  .group = group,
				  .value = stored };

		if (bsh_rng_unit(&r->rng) < EVENT_LOSS_RATIO)
			event.group = -1;
		event.at_us = r->now_us + (int64_t)(bsh_rng_unit(&r->rng) *
						    (double)EVENT_DELAY_MAX_US);
		push(r, event);
	}
}

static void cache_prefix(run_t *r, int target, int group)
{
	engine_t *e = &r->engines[target];
	bool is_new = e->last_use_us[group] == 0;

	e->last_use_us[group] = r->now_us;
	if (!is_new)
		return;
	e->cached += r->blocks[group];
	send_cache_event(r, target, group, true);
	while (e->cached > CACHE_MAX_BLOCKS) {
		int oldest = group;

		for (int g = 0; g < GROUPS; g++) {
			if (e->last_use_us[g] != 0 &&
			    e->last_use_us[g] < e->last_use_us[oldest])
				oldest = g;
		}
		e->last_use_us[oldest] = 0;
		e->cached -= r->blocks[oldest];
		send_cache_event(r, target, oldest, false);
	}
}

/* Starts a request on its target and sets the times of its tokens. */
static void run_request(run_t *r, event_t *event)
{
	int target = event->target;
	int group = event->group;
	engine_t *e = &r->engines[target];
	int missing = e->last_use_us[group] != 0 ? 0 : r->blocks[group];
	int slot = 0;
	int64_t first_us;

	for (int i = 1; i < MAX_RUNNING; i++) {
		if (e->slot_free_us[i] < e->slot_free_us[slot])
			slot = i;
	}
	first_us =
		MAX(MAX(r->now_us, e->prefill_free_us), e->slot_free_us[slot]) +
		PREFILL_BASE_US + missing * PREFILL_BLOCK_US;
	e->prefill_free_us = first_us;
	e->slot_free_us[slot] = first_us + (int64_t)bsh_rng_exponential(
						   &r->rng, DECODE_MEAN_US);
	cache_prefix(r, target, group);
	e->waiting++;
	if (r->now_us >= WARM_UP_US && r->count < REQUESTS_MAX) {
		r->first_ms[r->count++] =
			(double)(first_us - event->sent_us) / 1e3;
		r->hit_blocks += r->blocks[group] - missing;
		r->all_blocks += r->blocks[group];
	}
	event->at_us = first_us;
	event->end_us = e->slot_free_us[slot];
}

static int least_reported(run_t *r, int router)
{
	int start = (int)bsh_rng_below(&r->rng, TARGETS);
	int best = start;

	for (int i = 1; i < TARGETS; i++) {
		int t = (start + i) % TARGETS;

		if (r->reported[router][t] < r->reported[router][best])
			best = t;
	}
	return best;
}

static void route_request(run_t *r, event_t event)
{
	bsh_route_request_t request = {
		.key = "m",
		.repeatable = true,
		.prefix = r->hashes[event.group],
		.prefix_count = (uint32_t)r->blocks[event.group]
	};
	bsh_route_t *route = &r->routes[event.router];

	switch (r->policy) {
	case ROUND_ROBIN:
		event.target = r->next_target[event.router]++ % TARGETS;
		break;
	case LEAST_REPORTED:
		event.target = least_reported(r, event.router);
		break;
	default:
		if (bsh_route_choose(route, &request, &event.choice,
				     r->now_us) != BSH_OK) {
			event.at_us = r->now_us + RETRY_US;
			push(r, event);
			return;
		}
		bsh_route_start(route, &request, &event.choice, r->now_us);
		event.target = (int)event.choice.target;
	}
	run_request(r, &event);
	event.kind = FIRST_TOKEN;
	push(r, event);
}

static void send_reports(run_t *r, event_t event)
{
	for (int i = 0; i < ROUTERS; i++) {
		event_t report = {
			.kind = REPORT_RECEIVED,
			.router = i,
			.target = event.target,
			.value = (uint32_t)r->engines[event.target].running,
			.waiting = (uint32_t)r->engines[event.target].waiting,
			.sent_us = r->now_us,
			.at_us = r->now_us + r->report_delay_us
		};

		push(r, report);
	}
	event.at_us = r->now_us + REPORT_PERIOD_US;
	push(r, event);
}

static void receive_cache(run_t *r, const event_t *event)
{
	bsh_route_t *route = &r->routes[event->router];

	if (event->group < 0) {
		bsh_route_cache_gap(route, names[event->target], r->now_us);
		return;
	}
	for (int b = 0; b < r->blocks[event->group]; b++)
		bsh_route_cache_event(route, names[event->target],
				      r->hashes[event->group][b],
				      event->value != 0, r->now_us);
}

static void handle(run_t *r, event_t event)
{
	switch (event.kind) {
	case ARRIVAL:
		route_request(r, event);
		break;
	case FIRST_TOKEN:
		r->engines[event.target].waiting--;
		r->engines[event.target].running++;
		if (r->policy == BERYLSHUNT)
			bsh_route_first_byte(&r->routes[event.router],
					     &event.choice, r->now_us);
		event.kind = REQUEST_END;
		event.at_us = event.end_us;
		push(r, event);
		break;
	case REQUEST_END:
		r->engines[event.target].running--;
		if (r->policy == BERYLSHUNT)
			bsh_route_end(&r->routes[event.router], &event.choice,
				      BSH_ROUTE_SUCCESS, r->now_us);
		break;
	case REPORT_DUE:
		send_reports(r, event);
		break;
	case REPORT_RECEIVED:
		r->reported[event.router][event.target] =
			event.value + event.waiting;
		if (r->policy == BERYLSHUNT)
			bsh_route_report(&r->routes[event.router],
					 names[event.target], 1, event.value,
					 event.waiting, event.sent_us);
		break;
	case CACHE_EVENT_RECEIVED:
		receive_cache(r, &event);
		break;
	}
}

static void init_routes(run_t *r, uint32_t seed)
{
	const char *list[TARGETS];
	bsh_route_config_t config;

	bsh_route_config_default(&config);
	config.max_running = MAX_RUNNING;
	for (int i = 0; i < ROUTERS; i++) {
		config.seed = seed * ROUTERS + (uint32_t)i;
		bsh_route_init(&r->routes[i], &config);
		for (int t = 0; t < TARGETS; t++) {
			list[t] = names[t];
			bsh_route_set_target(&r->routes[i], names[t], 1,
					     "127.0.0.1:1", NULL, 0);
		}
		bsh_route_set_ready(&r->routes[i], "m", "c", 1, 1, list,
				    TARGETS);
	}
}

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Generates prompts and schedules all arrivals and the first reports. */
static void schedule_arrivals(run_t *r)
{
	int64_t at_us = 0;

	for (int g = 0; g < GROUPS; g++) {
		r->blocks[g] = 4 + (int)bsh_rng_below(&r->rng, 13);
		for (int b = 0; b < r->blocks[g]; b++)
			r->hashes[g][b] = ((uint64_t)g_random_int() << 32) |
					  g_random_int();
	}
	for (int t = 0; t < TARGETS; t++)
		push(r, (event_t){ .kind = REPORT_DUE,
				   .target = t,
				   .at_us = t * REPORT_PERIOD_US / TARGETS });
	while (at_us < RUN_US) {
		double u = bsh_rng_unit(&r->rng);
		event_t event = { .kind = ARRIVAL };

		at_us +=
			(int64_t)bsh_rng_exponential(&r->rng, 1e6 / RATE_PER_S);
		event.at_us = event.sent_us = at_us;
		event.router = (int)bsh_rng_below(&r->rng, ROUTERS);
		/* Skewed popularity: few groups get most requests. */
		event.group = (int)(u * u * GROUPS);
		push(r, event);
	}
}

/* One run: p99 and mean time to first token in ms, cache hit rate in %. */
static void run(policy_t policy, int64_t report_delay_us, uint32_t seed,
		double *p99, double *mean, double *hit)
{
	run_t *r = g_new0(run_t, 1);

	r->policy = policy;
	r->report_delay_us = report_delay_us;
	r->first_ms = g_new(double, REQUESTS_MAX);
	r->heap = g_array_new(FALSE, FALSE, sizeof(event_t));
	bsh_rng_init(&r->rng, seed);
	g_random_set_seed(seed);
	init_routes(r, seed);
	schedule_arrivals(r);
	while (r->heap->len > 0) {
		event_t event = pop(r);

		if (event.at_us > RUN_US)
			break;
		r->now_us = event.at_us;
		handle(r, event);
	}
	qsort(r->first_ms, (size_t)r->count, sizeof(double), compare_double);
	*p99 = r->first_ms[r->count * 99 / 100];
	*mean = 0.0;
	for (int i = 0; i < r->count; i++)
		*mean += r->first_ms[i] / r->count;
	*hit = 100.0 * (double)r->hit_blocks / (double)r->all_blocks;
	for (int i = 0; i < ROUTERS; i++)
		bsh_route_finish(&r->routes[i]);
	bsh_rng_finish(&r->rng);
	g_array_free(r->heap, TRUE);
	g_free(r->first_ms);
	g_free(r);
}

static void mean_and_sd(const double *values, int count, double *mean,
			double *sd)
{
	double sum = 0.0;
	double squares = 0.0;

	for (int i = 0; i < count; i++)
		sum += values[i];
	*mean = sum / count;
	for (int i = 0; i < count; i++)
		squares += (values[i] - *mean) * (values[i] - *mean);
	*sd = count > 1 ? sqrt(squares / (count - 1)) : 0.0;
}

static void compare_policies(int seeds)
{
	static const int64_t lags_ms[] = { 100, 500, 1000, 2000, 5000 };
	g_autofree double *p99 = g_new(double, (gsize)seeds);
	g_autofree double *avg = g_new(double, (gsize)seeds);
	g_autofree double *hit = g_new(double, (gsize)seeds);

	printf("lag_ms\tpolicy\tp99_first_token_ms\tsd\tmean_ms\tsd\t"
	       "hit_percent\tsd\n");
	for (guint l = 0; l < G_N_ELEMENTS(lags_ms); l++) {
		for (int policy = 0; policy < POLICIES; policy++) {
			double mean[3];
			double sd[3];

			for (int i = 0; i < seeds; i++)
				run((policy_t)policy, lags_ms[l] * MS,
				    (uint32_t)i + 1, &p99[i], &avg[i], &hit[i]);
			mean_and_sd(p99, seeds, &mean[0], &sd[0]);
			mean_and_sd(avg, seeds, &mean[1], &sd[1]);
			mean_and_sd(hit, seeds, &mean[2], &sd[2]);
			printf("%d\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\n",
			       (int)lags_ms[l], policy_names[policy], mean[0],
			       sd[0], mean[1], sd[1], mean[2], sd[2]);
		}
	}
}

static int64_t clock_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * INT64_C(1000000000) + t.tv_nsec;
}

static void add_targets(bsh_route_t *route, int targets)
{
	g_autofree const char **list = g_new(const char *, (gsize)targets);
	bsh_route_config_t config;

	bsh_route_config_default(&config);
	bsh_route_init(route, &config);
	for (int i = 0; i < targets; i++) {
		g_autofree char *name = g_strdup_printf("engine-%d", i);

		bsh_route_set_target(route, name, 1, "10.0.0.1:8000", "a", 0);
		bsh_route_report(route, name, 1, (uint32_t)(i % 16), 0, S);
		list[i] = bsh_route_target(route, (uint32_t)i)->name;
	}
	bsh_route_set_ready(route, "m", "c", 1, 1, list, (size_t)targets);
}

static void measure_decisions(int targets, bool prefixes)
{
	enum {
		DECISIONS = 300000
	};
	bsh_route_t route;
	bsh_route_choice_t choice;
	uint64_t hashes[BSH_ROUTE_MAX_PREFIX];
	bsh_route_request_t request = { .key = "m", .repeatable = true };
	int64_t best_ns = INT64_MAX;

	add_targets(&route, targets);
	for (int round = 0; round < 5; round++) {
		int64_t begin_ns = clock_ns();

		for (int i = 0; i < DECISIONS; i++) {
			int64_t now_us = S + i * 30;

			if (prefixes) {
				request.prefix = hashes;
				request.prefix_count = BSH_ROUTE_MAX_PREFIX;
				for (int b = 0; b < BSH_ROUTE_MAX_PREFIX; b++)
					hashes[b] = (uint64_t)(i % 500 * 64 +
							       b + 1) *
						    0x9e3779b97f4a7c15U;
			}
			bsh_route_choose(&route, &request, &choice, now_us);
			bsh_route_start(&route, &request, &choice, now_us);
			bsh_route_end(&route, &choice, BSH_ROUTE_SUCCESS,
				      now_us);
		}
		best_ns = MIN(best_ns, clock_ns() - begin_ns);
	}
	printf("%d\t%s\t%.0f\n", targets, prefixes ? "16 blocks" : "none",
	       (double)best_ns / DECISIONS);
	bsh_route_finish(&route);
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void measure_memory(void)
{
	enum {
		COUNT = 3900,
		KEYS = 5270
	};
	bsh_route_t route;
	size_t before = heap_bytes();
	size_t filled;
	const char *ready[2];

	add_targets(&route, COUNT);
	filled = heap_bytes();
	for (int i = 0; i < KEYS; i++) {
		g_autofree char *key = g_strdup_printf("model-%d@1", i);

		for (int n = 0; n < 2; n++)
			ready[n] =
				bsh_route_target(
					&route, (uint32_t)((i * 2 + n) % COUNT))
					->name;
		bsh_route_set_ready(&route, key, "cell", 1, 1, ready, 2);
	}
	printf("prefix table\t%zu bytes\n",
	       ((size_t)route.prefix_mask + 1) *
		       sizeof(bsh_route_prefix_entry_t));
	printf("target\t%.0f bytes (%d targets)\n",
	       (double)(filled - before -
			((size_t)route.prefix_mask + 1) *
				sizeof(bsh_route_prefix_entry_t)) /
		       COUNT,
	       COUNT);
	printf("model with 2 ready targets\t%.0f bytes (%d models)\n",
	       (double)(heap_bytes() - filled) / KEYS, KEYS);
	bsh_route_finish(&route);
}

int main(int argc, char **argv)
{
	int seeds = argc > 1 ? atoi(argv[1]) : 20;

	if (seeds < 1) {
		fprintf(stderr, "usage: bench-route [seeds]\n");
		return 2;
	}
	for (int t = 0; t < TARGETS; t++)
		g_snprintf(names[t], sizeof(names[t]), "e%d", t);
	printf("seeds\t%d\n", seeds);
	compare_policies(seeds);
	printf("\ntargets\tprefix\tns_per_decision\n");
	measure_decisions(12, false);
	measure_decisions(12, true);
	measure_decisions(3900, false);
	measure_decisions(3900, true);
	printf("\n");
	measure_memory();
	return 0;
}
