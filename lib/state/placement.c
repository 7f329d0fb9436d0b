#include "state/placement.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define US_PER_S       1e6
#define US_PER_MS      1000
#define DAY_S	       86400.0
#define DAY_BIN_S      (DAY_S / BSH_PLACEMENT_DAY_BINS)
#define HORIZON_S      DAY_S /* gains beyond a day are not predictable */
#define GAP_MIN_S      1.0   /* shorter pauses belong to one use */
#define GAP_DECAY      0.97  /* weights about the latest 33 gaps of a model */
#define POOL_GAP_DECAY 0.999
/* Weights of the pooled and of the heavy-tailed prior, in gaps. */
#define PRIOR_POOL_GAPS	      2.0
#define PRIOR_TAIL_GAPS	      0.25
#define PRIOR_TAIL_SCALE_S    60.0
#define DAY_PRIOR_WAKES	      1.0 /* added to each half hour as a prior */
#define DAY_DECAY_S	      (5 * DAY_S)
#define DAY_RATE_MIN	      0.05
#define SLOWDOWN_EWMA_WEIGHT  0.3
#define SLOWDOWN_MIN	      0.25
#define SLOWDOWN_STEP_MAX     4.0
#define SLOWDOWN_MAX	      50.0
#define EVICT_HORIZON_US      (INT64_C(600) * 1000000)
#define EVICT_PROBABILITY_MIN 1e-4
/* Costs added to the load time of a candidate target. */
#define LOADING_COST_US (INT64_C(500) * US_PER_MS) /* per other load */
#define RUNNING_COST_US (INT64_C(20) * US_PER_MS)  /* per request */
#define ZONE_COST_US	(INT64_C(100) * US_PER_MS) /* other zone */
#define EVICT_COST_US	(INT64_C(2000) * US_PER_MS)
#define TOKENS_MAX	1.0
/*
 * At weight 0.5, the idle accelerator seconds that cost as much as one second
 * of cold start.
 */
#define COLD_START_PRICE 0.08
/*
 * Factor by which the expected saving of a prefetch must exceed its cost: a
 * prefetch that is not needed wastes memory and rate of the weight store.
 */
#define PREFETCH_MARGIN 1.5

void bsh_placement_init(bsh_placement_t *p,
			const bsh_placement_limits_t *limits)
{
	memset(p, 0, sizeof(*p));
	p->limits = *limits;
	p->models =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	p->tokens = TOKENS_MAX;
	p->day_wall_us = -1;
	for (int i = 0; i < BSH_PLACEMENT_DAY_BINS; i++)
		p->rate[i] = 1;
	for (int i = 0; i <= BSH_COPY_REMOTE; i++)
		p->slowdown[i] = 1;
}

void bsh_placement_finish(bsh_placement_t *p)
{
	g_hash_table_destroy(p->models);
	p->models = NULL;
}

void bsh_placement_set_limits(bsh_placement_t *p,
			      const bsh_placement_limits_t *limits)
{
	p->limits = *limits;
}

static bsh_placement_model_t *find_model(const bsh_placement_t *p,
					 const char *name)
{
	return g_hash_table_lookup(p->models, name);
}

void bsh_placement_set_model(bsh_placement_t *p, const char *name,
			     const char *base, uint32_t memory_mib,
			     uint32_t load_ms, uint8_t priority)
{
	bsh_placement_model_t *m = find_model(p, name);

	if (m == NULL) {
		m = g_new0(bsh_placement_model_t, 1);
		g_strlcpy(m->name, name, sizeof(m->name));
		m->last_us = -1;
		g_hash_table_insert(p->models, m->name, m);
	}
	g_strlcpy(m->base, base == NULL ? "" : base, sizeof(m->base));
	m->memory_mib = memory_mib;
	m->load_ms = load_ms;
	m->priority = priority;
}

void bsh_placement_remove_model(bsh_placement_t *p, const char *name)
{
	g_hash_table_remove(p->models, name);
}

static int day_bin(int64_t wall_us)
{
	double second = fmod((double)wall_us / US_PER_S, DAY_S);

	if (second < 0)
		second += DAY_S;
	return MIN((int)(second / DAY_BIN_S), BSH_PLACEMENT_DAY_BINS - 1);
}

static void record_wake(bsh_placement_t *p, int64_t wall_us)
{
	double sum = 0;

	if (p->day_wall_us >= 0 && wall_us > p->day_wall_us) {
		double age_s = (double)(wall_us - p->day_wall_us) / US_PER_S;

		for (int i = 0; i < BSH_PLACEMENT_DAY_BINS; i++)
			p->day[i] *= exp(-age_s / DAY_DECAY_S);
	}
	p->day_wall_us = wall_us;
	p->day[day_bin(wall_us)]++;
	for (int i = 0; i < BSH_PLACEMENT_DAY_BINS; i++) {
		int before = (i + BSH_PLACEMENT_DAY_BINS - 1) %
			     BSH_PLACEMENT_DAY_BINS;
		int after = (i + 1) % BSH_PLACEMENT_DAY_BINS;

		/* Smoothing over adjacent bins, since wakes may be few. */
		p->rate[i] =
			(p->day[before] + 2 * p->day[i] + p->day[after]) / 4 +
			DAY_PRIOR_WAKES;
		sum += p->rate[i];
	}
	for (int i = 0; i < BSH_PLACEMENT_DAY_BINS; i++)
		p->rate[i] = MAX(p->rate[i] * BSH_PLACEMENT_DAY_BINS / sum,
				 DAY_RATE_MIN);
}

/* Seconds between two wall times, each weighted by its bin's rate of wakes. */
static double weighted_s(const bsh_placement_t *p, int64_t from_us,
			 int64_t to_us)
{
	double remaining_s = (double)(to_us - from_us) / US_PER_S;
	double days = floor(remaining_s / DAY_S);
	double at_s = (double)from_us / US_PER_S;
	double sum_s = days * DAY_S;

	if (remaining_s <= 0)
		return 0;
	remaining_s -= days * DAY_S;
	while (remaining_s > 0) {
		double to_edge_s = DAY_BIN_S - fmod(at_s, DAY_BIN_S);
		double step = MIN(to_edge_s, remaining_s);

		sum_s += step * p->rate[day_bin((int64_t)(at_s * US_PER_S))];
		/* The addend passes the edge of the bin despite rounding. */
		at_s += step + 1e-6;
		remaining_s -= step;
	}
	return sum_s;
}

/*
 * Inverse of weighted_s(): the seconds from *wall_s on that make up the given
 * weighted seconds, at most about HORIZON_S.  Advances *wall_s.
 */
static double real_s(const bsh_placement_t *p, double *wall_s, double weighted)
{
	double sum_s = 0;

	while (weighted > 0 && sum_s < HORIZON_S) {
		double rate = p->rate[day_bin((int64_t)(*wall_s * US_PER_S))];
		double to_edge_s = DAY_BIN_S - fmod(*wall_s, DAY_BIN_S);
		double step = MIN(to_edge_s, weighted / rate);

		weighted -= step * rate;
		sum_s += step;
		*wall_s += step + 1e-6;
		if (weighted < 1e-9)
			break;
	}
	return sum_s;
}

static int gap_bin(double gap_s)
{
	int bin = gap_s <= 1 ? 0 : (int)(2 * log2(gap_s));

	return MIN(bin, BSH_PLACEMENT_GAP_BINS - 1);
}

/* Lower edge of a bin, in seconds. */
static double gap_edge(int bin)
{
	return bin == 0 ? 0 : exp2(bin / 2.0);
}

static void record_gap(bsh_placement_t *p, bsh_placement_model_t *m,
		       double gap_s)
{
	int bin = gap_bin(gap_s);

	m->gap_sum = 0;
	p->gap_sum = 0;
	for (int i = 0; i < BSH_PLACEMENT_GAP_BINS; i++) {
		m->gaps[i] *= (float)GAP_DECAY;
		p->gaps[i] *= (float)POOL_GAP_DECAY;
		if (i == bin) {
			m->gaps[i]++;
			p->gaps[i]++;
		}
		m->gap_sum += m->gaps[i];
		p->gap_sum += p->gaps[i];
	}
}

void bsh_placement_record_use(bsh_placement_t *p, const char *model,
			      int64_t now_us, int64_t wall_us)
{
	bsh_placement_model_t *m = find_model(p, model);

	if (m == NULL)
		return;
	if (m->last_us < 0) {
		record_wake(p, wall_us);
	} else if ((double)(now_us - m->last_us) > GAP_MIN_S * US_PER_S) {
		record_gap(p, m, weighted_s(p, m->last_wall_us, wall_us));
		record_wake(p, wall_us);
	}
	m->last_us = MAX(m->last_us, now_us);
	m->last_wall_us = MAX(m->last_wall_us, wall_us);
}

static double tail_survival(double gap_s)
{
	return 1 / sqrt(1 + gap_s / PRIOR_TAIL_SCALE_S);
}

/*
 * Survival function of the gap at each bin's lower edge.  It mixes the model's
 * own gaps, the gaps of all models and a heavy tail for lengths not observed.
 */
static void survival(const bsh_placement_t *p, const bsh_placement_model_t *m,
		     double curve[BSH_PLACEMENT_GAP_BINS + 1])
{
	double pool_weight = p->gap_sum > 0 ? PRIOR_POOL_GAPS : 0;
	double total = (double)m->gap_sum + pool_weight + PRIOR_TAIL_GAPS;
	double own = 0;
	double pool = 0;

	for (int i = BSH_PLACEMENT_GAP_BINS; i >= 0; i--) {
		if (i < BSH_PLACEMENT_GAP_BINS) {
			own += (double)m->gaps[i];
			if (p->gap_sum > 0)
				pool += (double)(p->gaps[i] / p->gap_sum);
		}
		curve[i] = (own + pool_weight * pool +
			    PRIOR_TAIL_GAPS * tail_survival(gap_edge(i))) /
			   total;
	}
}

/* Survival function at gap_s, interpolated linearly within the bin. */
static double survival_at(const double curve[BSH_PLACEMENT_GAP_BINS + 1],
			  double gap_s)
{
	int bin = gap_bin(gap_s);
	double low = gap_edge(bin);
	double high = gap_edge(bin + 1);
	double part = CLAMP((gap_s - low) / (high - low), 0.0, 1.0);

	return curve[bin] + (curve[bin + 1] - curve[bin]) * part;
}

/* Weighted seconds since the model's latest use. */
static double age_s(const bsh_placement_t *p, const bsh_placement_model_t *m,
		    int64_t wall_us)
{
	if (m->last_us < 0)
		return 0;
	return weighted_s(p, m->last_wall_us, wall_us);
}

double bsh_placement_wake_probability(const bsh_placement_t *p,
				      const char *model, int64_t horizon_us,
				      int64_t now_us, int64_t wall_us)
{
	const bsh_placement_model_t *m = find_model(p, model);
	double curve[BSH_PLACEMENT_GAP_BINS + 1];
	double age;
	double later;

	(void)now_us;
	if (m == NULL)
		return 0;
	survival(p, m, curve);
	age = age_s(p, m, wall_us);
	later = age + weighted_s(p, wall_us, wall_us + horizon_us);
	return 1 - survival_at(curve, later) / survival_at(curve, age);
}

typedef struct {
	double gain;	    /* idle accelerator seconds saved; 0: no gain */
	double keep_s;	    /* keep-alive time, not weighted */
	double probability; /* of a wake within keep_s */
} keep_alive_t;

/*
 * Keep-alive time with the highest gain.  A wake within the first loading_s
 * seconds saves nothing: a prefetch is still loading then.
 */
static keep_alive_t best_keep_alive(const bsh_placement_t *p,
				    const bsh_placement_model_t *m,
				    double share, double load_s,
				    double loading_s, int64_t wall_us)
{
	double weight = CLAMP(p->limits.weight, 0.01, 0.99);
	double cold_cost = (1 - weight) * load_s * COLD_START_PRICE;
	double idle_price = weight * share;
	double curve[BSH_PLACEMENT_GAP_BINS + 1];
	double wall_s = (double)wall_us / US_PER_S;
	double age = age_s(p, m, wall_us);
	double ready_age =
		age + weighted_s(p, wall_us,
				 wall_us + (int64_t)(loading_s * US_PER_S));
	keep_alive_t best = { 0 };
	double at_age;
	double before;
	double wakes_early;
	double held_s = 0;
	double idle_s = 0;
	double from = age;

	survival(p, m, curve);
	at_age = survival_at(curve, age);
	before = at_age;
	wakes_early = at_age - survival_at(curve, ready_age);
	for (int i = gap_bin(age) + 1;
	     i <= BSH_PLACEMENT_GAP_BINS && held_s < HORIZON_S; i++) {
		double edge = gap_edge(i);
		double step = real_s(p, &wall_s, edge - from);
		double after = curve[i];
		double gain;

		held_s += step;
		idle_s += step * (before + after) / 2 / at_age;
		gain = MAX(at_age - after - wakes_early, 0) / at_age *
			       cold_cost -
		       idle_price * idle_s;
		if (gain > best.gain) {
			best.gain = gain;
			best.keep_s = held_s;
			best.probability = (at_age - after) / at_age;
		}
		before = after;
		from = edge;
	}
	return best;
}

int64_t bsh_placement_keep_alive_us(const bsh_placement_t *p, const char *model,
				    double share, int64_t load_us,
				    int64_t now_us, int64_t wall_us,
				    char reason[BSH_PLACEMENT_REASON_SIZE])
{
	const bsh_placement_model_t *m = find_model(p, model);
	keep_alive_t best;

	(void)now_us;
	if (m == NULL) {
		g_strlcpy(reason, "not in the document",
			  BSH_PLACEMENT_REASON_SIZE);
		return 0;
	}
	/* Loaded only as the base of an adapter: no latest use, no age. */
	if (m->last_us < 0) {
		g_strlcpy(reason, "no use of its own",
			  BSH_PLACEMENT_REASON_SIZE);
		return 0;
	}
	best = best_keep_alive(p, m, share, (double)load_us / US_PER_S, 0,
			       wall_us);
	if (best.gain > 0)
		snprintf(reason, BSH_PLACEMENT_REASON_SIZE,
			 "wake chance %.3f within %.0f s", best.probability,
			 best.keep_s);
	else
		g_strlcpy(reason, "idle time costs more than a reload",
			  BSH_PLACEMENT_REASON_SIZE);
	return (int64_t)(best.keep_s * US_PER_S);
}

bool bsh_placement_prefetch(const bsh_placement_t *p, const char *model,
			    double share, int64_t load_us, int64_t now_us,
			    int64_t wall_us,
			    char reason[BSH_PLACEMENT_REASON_SIZE])
{
	const bsh_placement_model_t *m = find_model(p, model);
	double load_s = (double)load_us / US_PER_S;
	keep_alive_t best;

	(void)now_us;
	if (m == NULL || m->last_us < 0)
		return false;
	best = best_keep_alive(p, m, share, load_s / PREFETCH_MARGIN, load_s,
			       wall_us);
	if (best.gain <= 0)
		return false;
	snprintf(reason, BSH_PLACEMENT_REASON_SIZE,
		 "prefetch: wake chance %.3f within %.0f s", best.probability,
		 best.keep_s);
	return true;
}

void bsh_placement_record_load(bsh_placement_t *p, const char *model,
			       bsh_copy_t copy, int64_t load_us)
{
	double nominal = (double)bsh_placement_load_us(p, model, copy) /
			 p->slowdown[copy];
	double ratio;

	if (nominal <= 0)
		return;
	ratio = CLAMP((double)load_us / nominal, SLOWDOWN_MIN, SLOWDOWN_MAX);
	/* A load measured across a pause of this process seems very slow.
	 * Without a bound, later loads would seem to miss every deadline. */
	ratio = MIN(ratio, SLOWDOWN_STEP_MAX * p->slowdown[copy]);
	p->slowdown[copy] += SLOWDOWN_EWMA_WEIGHT * (ratio - p->slowdown[copy]);
}

int64_t bsh_placement_load_us(const bsh_placement_t *p, const char *model,
			      bsh_copy_t copy)
{
	const bsh_placement_model_t *m = find_model(p, model);
	uint32_t permille = 1000;

	if (m == NULL)
		return 0;
	if (copy == BSH_COPY_MEMORY)
		permille = p->limits.memory_permille;
	else if (copy == BSH_COPY_DISK)
		permille = p->limits.disk_permille;
	return (int64_t)((double)m->load_ms * permille * p->slowdown[copy]);
}

static const char *copy_name(bsh_copy_t copy)
{
	static const char *const names[] = { "in memory", "on disk", "remote" };

	return names[copy];
}

static int64_t candidate_cost(const bsh_placement_t *p,
			      const bsh_placement_model_t *m, const char *zone,
			      const bsh_placement_candidate_t *c)
{
	int64_t cost = bsh_placement_load_us(p, m->name, c->copy);

	if (m->base[0] != '\0' && !c->has_base)
		cost += bsh_placement_load_us(p, m->base, BSH_COPY_REMOTE);
	if (zone != NULL && zone[0] != '\0' && strcmp(zone, c->zone) != 0)
		cost += ZONE_COST_US;
	if (c->free_mib < m->memory_mib)
		cost += EVICT_COST_US;
	return cost + LOADING_COST_US * c->loading +
	       RUNNING_COST_US * c->running;
}

void bsh_placement_choose_target(const bsh_placement_t *p, const char *model,
				 const char *zone,
				 const bsh_placement_candidate_t *candidates,
				 size_t count, bsh_choice_t *choice)
{
	const bsh_placement_model_t *m = find_model(p, model);
	int64_t best = INT64_MAX;
	size_t fits = 0;

	memset(choice, 0, sizeof(*choice));
	choice->index = SIZE_MAX;
	for (size_t i = 0; m != NULL && i < count; i++) {
		const bsh_placement_candidate_t *c = &candidates[i];
		uint64_t room = (uint64_t)c->free_mib + c->evictable_mib;
		int64_t cost;

		if (c->excluded || c->has_model || room < m->memory_mib)
			continue;
		fits++;
		cost = candidate_cost(p, m, zone, c);
		/* At equal cost the target with the least free memory, which
		 * leaves large free blocks on the others. */
		if (cost > best ||
		    (cost == best &&
		     c->free_mib >= candidates[choice->index].free_mib))
			continue;
		best = cost;
		choice->index = i;
	}
	if (choice->index == SIZE_MAX) {
		g_strlcpy(choice->reason, "no target has room",
			  sizeof(choice->reason));
		return;
	}
	choice->copy = candidates[choice->index].copy;
	choice->needs_evict =
		candidates[choice->index].free_mib < m->memory_mib;
	choice->load_us = bsh_placement_load_us(p, model, choice->copy);
	snprintf(choice->reason, sizeof(choice->reason),
		 "copy %s, cheapest of %zu targets (%.1f s)%s",
		 copy_name(choice->copy), fits, (double)best / US_PER_S,
		 choice->needs_evict ? ", after eviction" : "");
}

/*
 * Expected loss by an eviction, per MiB: probability of a wake times load time,
 * weighted by priority.
 */
static double victim_cost(const bsh_placement_t *p, const bsh_victim_t *v,
			  int64_t now_us, int64_t wall_us)
{
	const bsh_placement_model_t *m = find_model(p, v->model);
	double probability;

	if (m == NULL || v->memory_mib == 0)
		return 0;
	probability = bsh_placement_wake_probability(
		p, v->model, EVICT_HORIZON_US, now_us, wall_us);
	if (v->is_idle_binding)
		probability *= EVICT_PROBABILITY_MIN;
	return MAX(probability, EVICT_PROBABILITY_MIN) * m->load_ms *
	       (10 - MIN(m->priority, 9)) / v->memory_mib;
}

static bool may_evict(const bsh_victim_t *v, const char *target)
{
	return strcmp(v->target, target) == 0 && v->running == 0 &&
	       !v->is_waiting && !v->is_base_in_use && v->memory_mib > 0;
}

/*
 * Marks victims in order of cost until need_mib is freed.  Returns their
 * number, or 0 if all of them do not free need_mib.
 */
static size_t mark_victims(const double *costs, const bsh_victim_t *victims,
			   size_t count, uint32_t need_mib, bool *chosen)
{
	uint64_t freed = 0;
	size_t marked = 0;

	while (freed < need_mib) {
		size_t best = SIZE_MAX;

		for (size_t i = 0; i < count; i++) {
			if (!chosen[i] && isfinite(costs[i]) &&
			    (best == SIZE_MAX || costs[i] < costs[best]))
				best = i;
		}
		if (best == SIZE_MAX) {
			memset(chosen, 0, count * sizeof(*chosen));
			return 0;
		}
		chosen[best] = true;
		freed += victims[best].memory_mib;
		marked++;
	}
	/* A large victim marked last can make small ones unnecessary. */
	for (size_t i = 0; i < count; i++) {
		if (chosen[i] && freed - victims[i].memory_mib >= need_mib) {
			chosen[i] = false;
			freed -= victims[i].memory_mib;
			marked--;
		}
	}
	return marked;
}

size_t bsh_placement_choose_victims(const bsh_placement_t *p,
				    const char *target, uint32_t need_mib,
				    uint8_t priority,
				    const bsh_victim_t *victims, size_t count,
				    int64_t now_us, int64_t wall_us,
				    bool *chosen,
				    char reason[BSH_PLACEMENT_REASON_SIZE])
{
	double *costs = g_new(double, count + 1);
	size_t marked;

	memset(chosen, 0, count * sizeof(*chosen));
	for (size_t i = 0; i < count; i++)
		costs[i] =
			may_evict(&victims[i], target)
				? victim_cost(p, &victims[i], now_us, wall_us)
				: INFINITY;
	marked = mark_victims(costs, victims, count, need_mib, chosen);
	g_free(costs);
	snprintf(reason, BSH_PLACEMENT_REASON_SIZE,
		 "evicted for a waiting model of priority %u (%u MiB)",
		 priority, need_mib);
	return marked;
}

/* Latest time at which the load must start to meet the deadline. */
static int64_t latest_start_us(const bsh_placement_waiting_t *w)
{
	return w->deadline_us - w->load_us;
}

static int compare_waiting(const void *a, const void *b, void *ctx)
{
	const bsh_placement_waiting_t *x = a;
	const bsh_placement_waiting_t *y = b;
	int64_t now_us = *(const int64_t *)ctx;
	bool x_late = latest_start_us(x) < now_us;
	bool y_late = latest_start_us(y) < now_us;

	if ((x->waiting == 0) != (y->waiting == 0))
		return x->waiting == 0 ? 1 : -1;
	if (x_late != y_late)
		return x_late ? 1 : -1;
	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (latest_start_us(x) != latest_start_us(y))
		return latest_start_us(x) < latest_start_us(y) ? -1 : 1;
	return strcmp(x->model, y->model);
}

void bsh_placement_sort_waiting(bsh_placement_waiting_t *waiting, size_t count,
				int64_t now_us)
{
	g_qsort_with_data(waiting, (gint)count, sizeof(*waiting),
			  compare_waiting, &now_us);
}

/* Tokens in the bucket at now_us. */
static double tokens_at(const bsh_placement_t *p, int64_t now_us)
{
	double passed_s = (double)(now_us - p->tokens_us) / US_PER_S;

	return MIN(p->tokens + MAX(passed_s, 0) * p->limits.loads_per_s,
		   TOKENS_MAX);
}

bool bsh_placement_take_token(bsh_placement_t *p, uint32_t running,
			      int64_t now_us)
{
	double tokens = tokens_at(p, now_us);

	if (running >= MAX(p->limits.concurrent, 1) || tokens < 1 - 1e-9)
		return false;
	p->tokens = tokens - 1;
	p->tokens_us = now_us;
	return true;
}

int64_t bsh_placement_next_token_us(const bsh_placement_t *p, int64_t now_us)
{
	double missing = 1 - tokens_at(p, now_us);

	if (missing <= 0 || p->limits.loads_per_s <= 0)
		return now_us;
	return now_us +
	       (int64_t)ceil(missing / p->limits.loads_per_s * US_PER_S);
}

int64_t bsh_placement_estimate_us(const bsh_placement_t *p, uint32_t ahead,
				  uint32_t running, int64_t load_us,
				  int64_t now_us)
{
	uint32_t concurrent = MAX(p->limits.concurrent, 1);
	int64_t token_us = bsh_placement_next_token_us(p, now_us) - now_us;
	int64_t wait_us = token_us;

	if (p->limits.loads_per_s > 0)
		wait_us += (int64_t)(ahead / p->limits.loads_per_s * US_PER_S);
	if (ahead + running >= concurrent) {
		uint32_t rounds = (ahead + running) / concurrent;

		wait_us = MAX(wait_us, rounds * load_us);
	}
	return wait_us + load_us;
}
