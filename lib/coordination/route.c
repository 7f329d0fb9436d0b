#include "coordination/route.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define PREFIX_WAYS 4
/* Longest expected delay of a cache event.  An eviction event that arrives
 * within this time after the last use of a block may predate that use and is
 * ignored. */
#define EVENT_DELAY_MAX_MS 2000
/* Older entries are ignored: the target may have evicted the block. */
#define PREFIX_MAX_AGE_MS 600000
/* Weight of entries older than the last loss of the target's cache events. */
#define GAP_CONFIDENCE 0.5
/* Requests of this and lower priority do not use the last 1/8 of the slots. */
#define LOW_PRIORITY	5
#define RESERVE_DIVISOR 8
#define SAMPLE_TARGETS	8

/* The ready targets of a key in one cell. */
typedef struct cell_set {
	struct cell_set *next;
	char *cell;
	uint64_t epoch;
	uint64_t sequence;
	uint32_t count;
	uint32_t *targets;
} cell_set_t;

typedef struct {
	cell_set_t *cells;
	uint32_t count;
	uint32_t *ready; /* union of the cells, ascending indexes */
} ready_set_t;

typedef struct {
	uint32_t target;
	uint32_t match;	   /* leading blocks expected in the cache */
	double confidence; /* of the match */
} candidate_t;

typedef struct {
	candidate_t list[BSH_ROUTE_CANDIDATES_MAX];
	uint32_t count;
	bool any_usable;  /* a usable target exists */
	bool any_full;	  /* a usable target is at its limit */
	int64_t retry_us; /* earliest next breaker probe, or 0 */
} candidates_t;

/* Load by others: requests at a target that this router did not send. */
typedef struct {
	double open;
	double waiting;
} load_t;

static void free_ready_set(void *data)
{
	ready_set_t *set = data;
	cell_set_t *next;

	for (cell_set_t *p = set->cells; p != NULL; p = next) {
		next = p->next;
		g_free(p->cell);
		g_free(p->targets);
		g_free(p);
	}
	g_free(set->ready);
	g_free(set);
}

void bsh_route_config_default(bsh_route_config_t *config)
{
	memset(config, 0, sizeof(*config));
	config->max_running = 32;
	config->max_targets = 8192;
	config->prefix_entries = 65536;
	config->base_us = 10000;
	config->block_us = 8000;
	config->running_us = 500;
	config->score_noise_us = 10000;
	config->wait_us = 50000;
	config->zone_penalty_us = 2000;
	config->seed = 1;
}

void bsh_route_init(bsh_route_t *route, const bsh_route_config_t *config)
{
	uint32_t entries = PREFIX_WAYS;

	memset(route, 0, sizeof(*route));
	route->config = *config;
	route->targets = g_ptr_array_new_with_free_func(g_free);
	route->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	route->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_ready_set);
	while (entries < config->prefix_entries)
		entries *= 2;
	route->prefix_mask = entries - 1;
	route->prefixes = g_new0(bsh_route_prefix_entry_t, entries);
	bsh_rng_init(&route->rng, config->seed);
}

void bsh_route_finish(bsh_route_t *route)
{
	g_hash_table_destroy(route->keys);
	g_hash_table_destroy(route->by_name);
	g_ptr_array_free(route->targets, TRUE);
	g_free(route->prefixes);
	bsh_rng_finish(&route->rng);
}

static bsh_route_target_t *target_at(const bsh_route_t *route, uint32_t index)
{
	return g_ptr_array_index(route->targets, index);
}

const bsh_route_target_t *bsh_route_target(const bsh_route_t *route,
					   uint32_t index)
{
	return index < route->targets->len ? target_at(route, index) : NULL;
}

static bool find(const bsh_route_t *route, const char *name, uint32_t *index)
{
	void *value = g_hash_table_lookup(route->by_name, name);

	if (value == NULL)
		return false;
	*index = GPOINTER_TO_UINT(value) - 1;
	return true;
}

static bool is_leaving(const bsh_route_target_t *t)
{
	return t->leaving_known && t->leaving_incarnation >= t->incarnation;
}

static void remove_prefixes(bsh_route_t *route, uint32_t target)
{
	for (uint32_t i = 0; i <= route->prefix_mask; i++) {
		if (route->prefixes[i].target == target)
			route->prefixes[i].hash = 0;
	}
}

/* Reuse a record that is not a target, in no ready set and without open
 * requests. */
static bool reclaim(bsh_route_t *route, uint32_t *index)
{
	for (uint32_t i = 0; i < route->targets->len; i++) {
		bsh_route_target_t *t;

		route->reclaim_index =
			(route->reclaim_index + 1) % route->targets->len;
		t = target_at(route, route->reclaim_index);
		if (t->known || t->keys > 0 || t->open > 0)
			continue;
		g_hash_table_remove(route->by_name, t->name);
		remove_prefixes(route, route->reclaim_index);
		memset(t, 0, sizeof(*t));
		*index = route->reclaim_index;
		return true;
	}
	return false;
}

/* Find the record of a name, or add one.  False if there is no free record. */
static bool find_or_add(bsh_route_t *route, const char *name, uint32_t *index)
{
	bsh_route_target_t *t;

	if (find(route, name, index))
		return true;
	if (route->targets->len < route->config.max_targets) {
		t = g_new0(bsh_route_target_t, 1);
		*index = route->targets->len;
		g_ptr_array_add(route->targets, t);
	} else if (!reclaim(route, index)) {
		return false;
	}
	t = target_at(route, *index);
	g_strlcpy(t->name, name, sizeof(t->name));
	g_hash_table_insert(route->by_name, t->name,
			    GUINT_TO_POINTER(*index + 1));
	return true;
}

static bool is_valid_name(const char *name)
{
	size_t length = name == NULL ? 0 : strlen(name);

	return length > 0 && length < BSH_ROUTE_NAME_SIZE;
}

static void reset_incarnation(bsh_route_t *route, uint32_t index,
			      uint64_t incarnation)
{
	bsh_route_target_t *t = target_at(route, index);

	if (t->incarnation != 0)
		remove_prefixes(route, index);
	t->incarnation = incarnation;
	t->open = 0;
	t->pending = 0;
	t->pending_us = 0;
	t->reported = 0;
	t->waiting = 0;
	t->open_at_report = 0;
	t->pending_at_report = 0;
	t->reported_us = 0;
	t->cache_gap_us = 0;
	memset(t->samples, 0, sizeof(t->samples));
	t->breaker = (bsh_breaker_t){ 0 };
}

bsh_error_t bsh_route_set_target(bsh_route_t *route, const char *name,
				 uint64_t incarnation, const char *address,
				 const char *zone, uint32_t max_running)
{
	bsh_route_target_t *t;
	uint32_t index;

	if (!is_valid_name(name) || address == NULL ||
	    strlen(address) >= BSH_ROUTE_ADDRESS_SIZE)
		return BSH_ERR_INVALID;
	if (!find_or_add(route, name, &index))
		return BSH_ERR_CAPACITY;
	t = target_at(route, index);
	if (incarnation < t->incarnation)
		return BSH_ERR_CONFLICT;
	if (incarnation > t->incarnation || !t->known)
		reset_incarnation(route, index, incarnation);
	t->known = true;
	g_strlcpy(t->address, address, sizeof(t->address));
	t->same_zone = zone == NULL || strcmp(zone, route->config.zone) == 0;
	t->max_running =
		max_running > 0 ? max_running : route->config.max_running;
	return BSH_OK;
}

void bsh_route_remove_target(bsh_route_t *route, const char *name,
			     uint64_t incarnation)
{
	uint32_t index;

	/* A stale target list may name this incarnation again; the mark
	 * keeps it unusable. */
	bsh_route_set_leaving(route, name, incarnation);
	if (find(route, name, &index) &&
	    target_at(route, index)->incarnation <= incarnation)
		target_at(route, index)->known = false;
}

bool bsh_route_set_leaving(bsh_route_t *route, const char *name,
			   uint64_t incarnation)
{
	bsh_route_target_t *t;
	uint32_t index;

	if (!is_valid_name(name) || !find_or_add(route, name, &index))
		return false;
	t = target_at(route, index);
	if (t->leaving_known && t->leaving_incarnation >= incarnation)
		return false;
	t->leaving_known = true;
	t->leaving_incarnation = incarnation;
	return true;
}

bool bsh_route_is_leaving(const bsh_route_t *route, const char *name,
			  uint64_t incarnation)
{
	uint32_t index;

	return find(route, name, &index) &&
	       target_at(route, index)->leaving_known &&
	       target_at(route, index)->leaving_incarnation >= incarnation;
}

static void clear_cell(bsh_route_t *route, cell_set_t *cell_set)
{
	for (uint32_t i = 0; i < cell_set->count; i++)
		target_at(route, cell_set->targets[i])->keys--;
	g_free(cell_set->targets);
	cell_set->targets = NULL;
	cell_set->count = 0;
}

static int compare_index(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static void merge_cells(ready_set_t *set)
{
	uint32_t count = 0;
	uint32_t kept = 0;

	for (const cell_set_t *p = set->cells; p != NULL; p = p->next)
		count += p->count;
	g_free(set->ready);
	set->ready = g_new(uint32_t, MAX(count, 1));
	count = 0;
	for (const cell_set_t *p = set->cells; p != NULL; p = p->next) {
		for (uint32_t i = 0; i < p->count; i++)
			set->ready[count++] = p->targets[i];
	}
	qsort(set->ready, count, sizeof(*set->ready), compare_index);
	for (uint32_t i = 0; i < count; i++) {
		if (kept == 0 || set->ready[i] != set->ready[kept - 1])
			set->ready[kept++] = set->ready[i];
	}
	set->count = kept;
}

static cell_set_t *find_or_add_cell(ready_set_t *set, const char *cell,
				    bool *is_new)
{
	cell_set_t *p = set->cells;

	while (p != NULL && strcmp(p->cell, cell) != 0)
		p = p->next;
	*is_new = p == NULL;
	if (p == NULL) {
		p = g_new0(cell_set_t, 1);
		p->cell = g_strdup(cell);
		p->next = set->cells;
		set->cells = p;
	}
	return p;
}

bool bsh_route_set_ready(bsh_route_t *route, const char *key, const char *cell,
			 uint64_t epoch, uint64_t sequence,
			 const char *const *names, size_t count)
{
	ready_set_t *set = g_hash_table_lookup(route->keys, key);
	uint32_t *targets;
	uint32_t kept = 0;
	bool is_new;
	cell_set_t *cell_set;

	if (set == NULL) {
		set = g_new0(ready_set_t, 1);
		g_hash_table_insert(route->keys, g_strdup(key), set);
	}
	cell_set = find_or_add_cell(set, cell, &is_new);
	if (!is_new &&
	    (epoch < cell_set->epoch ||
	     (epoch == cell_set->epoch && sequence <= cell_set->sequence)))
		return false;
	clear_cell(route, cell_set);
	targets = g_new(uint32_t, MAX(count, 1));
	for (size_t i = 0; i < count; i++) {
		if (is_valid_name(names[i]) &&
		    find_or_add(route, names[i], &targets[kept]))
			target_at(route, targets[kept++])->keys++;
	}
	cell_set->targets = targets;
	cell_set->count = kept;
	cell_set->epoch = epoch;
	cell_set->sequence = sequence;
	merge_cells(set);
	return true;
}

void bsh_route_remove_key(bsh_route_t *route, const char *key)
{
	ready_set_t *set = g_hash_table_lookup(route->keys, key);

	if (set == NULL)
		return;
	for (cell_set_t *p = set->cells; p != NULL; p = p->next)
		clear_cell(route, p);
	g_hash_table_remove(route->keys, key);
}

static bsh_route_sample_t sample_now(const bsh_route_target_t *t)
{
	return (bsh_route_sample_t){ .open = (uint16_t)MIN(t->open, UINT16_MAX),
				     .pending = (uint16_t)MIN(t->pending,
							      UINT16_MAX) };
}

/* This router's requests at the target at a past time, or now if there is no
 * sample of that time. */
static bsh_route_sample_t sample_at(const bsh_route_target_t *t, int64_t at_us)
{
	uint32_t at_ms = (uint32_t)(at_us / 1000);
	bsh_route_sample_t best = sample_now(t);

	for (int i = 0; i < BSH_ROUTE_SAMPLES; i++) {
		const bsh_route_sample_t *s = &t->samples[i];

		if (s->at_ms != 0 && s->at_ms <= at_ms &&
		    s->at_ms >= best.at_ms)
			best = *s;
	}
	return best;
}

static void take_sample(bsh_route_target_t *t, int64_t now_us)
{
	uint32_t now_ms = (uint32_t)(now_us / 1000);
	uint32_t last =
		(t->sample_next + BSH_ROUTE_SAMPLES - 1) % BSH_ROUTE_SAMPLES;

	bsh_route_sample_t sample = sample_now(t);

	sample.at_ms = MAX(now_ms, 1);
	if (t->samples[last].at_ms != 0 &&
	    now_ms - t->samples[last].at_ms < BSH_ROUTE_SAMPLE_INTERVAL_MS) {
		sample.at_ms = t->samples[last].at_ms;
		t->samples[last] = sample;
		return;
	}
	t->samples[t->sample_next] = sample;
	t->sample_next = (t->sample_next + 1) % BSH_ROUTE_SAMPLES;
}

void bsh_route_report(bsh_route_t *route, const char *name,
		      uint64_t incarnation, uint32_t running, uint32_t waiting,
		      int64_t measured_us)
{
	bsh_route_sample_t own;
	bsh_route_target_t *t;
	uint32_t index;

	if (!find(route, name, &index))
		return;
	t = target_at(route, index);
	if (t->incarnation != incarnation || measured_us <= t->reported_us)
		return;
	own = sample_at(t, measured_us);
	t->reported = running + waiting;
	t->waiting = waiting;
	t->open_at_report = MIN(own.open, t->reported);
	t->pending_at_report = MIN(own.pending, waiting);
	t->reported_us = measured_us;
}

static bsh_route_prefix_entry_t *prefix_set(const bsh_route_t *route,
					    uint64_t hash)
{
	return &route->prefixes[hash & route->prefix_mask &
				~(uint64_t)(PREFIX_WAYS - 1)];
}

static void record_prefix(bsh_route_t *route, uint64_t hash, uint32_t target,
			  uint32_t now_ms)
{
	bsh_route_prefix_entry_t *set = prefix_set(route, hash);
	bsh_route_prefix_entry_t *slot = &set[0];

	for (int i = 0; i < PREFIX_WAYS; i++) {
		if (set[i].hash == hash && set[i].target == target) {
			slot = &set[i];
			break;
		}
		if (set[i].hash == 0 ||
		    (slot->hash != 0 && set[i].seen_ms < slot->seen_ms))
			slot = &set[i];
	}
	slot->hash = hash;
	slot->target = target;
	slot->seen_ms = now_ms;
}

void bsh_route_cache_event(bsh_route_t *route, const char *name, uint64_t hash,
			   bool stored, int64_t now_us)
{
	uint32_t now_ms = (uint32_t)(now_us / 1000);
	bsh_route_prefix_entry_t *set;
	uint32_t index;

	if (hash == 0 || !find(route, name, &index))
		return;
	if (stored) {
		record_prefix(route, hash, index, now_ms);
		return;
	}
	set = prefix_set(route, hash);
	for (int i = 0; i < PREFIX_WAYS; i++) {
		if (set[i].hash == hash && set[i].target == index &&
		    now_ms - set[i].seen_ms > EVENT_DELAY_MAX_MS)
			set[i].hash = 0;
	}
}

void bsh_route_cache_gap(bsh_route_t *route, const char *name, int64_t now_us)
{
	uint32_t index;

	if (find(route, name, &index))
		target_at(route, index)->cache_gap_us = now_us;
}

static bool is_ready(const ready_set_t *set, uint32_t target)
{
	return bsearch(&target, set->ready, set->count, sizeof(target),
		       compare_index) != NULL;
}

static bool is_candidate(const candidates_t *found, uint32_t target)
{
	for (uint32_t i = 0; i < found->count; i++) {
		if (found->list[i].target == target)
			return true;
	}
	return false;
}

static bool is_excluded(const bsh_route_request_t *request, uint32_t target)
{
	for (uint32_t i = 0; i < request->excluded_count; i++) {
		if (request->excluded[i] == target)
			return true;
	}
	return false;
}

/* Weight of a report: 1 when new, decreasing to 0 with its age. */
static double report_weight(const bsh_route_target_t *t, int64_t tau_us,
			    int64_t now_us)
{
	int64_t age_us = MAX(now_us - t->reported_us, 0);

	if (t->reported_us == 0)
		return 0.0;
	return (double)tau_us / (double)(tau_us + age_us);
}

static double others_open(const bsh_route_target_t *t)
{
	return (double)(t->reported - t->open_at_report);
}

static bool is_full(const bsh_route_target_t *t, uint8_t priority,
		    int64_t now_us)
{
	uint32_t limit = t->max_running;

	if (priority >= LOW_PRIORITY)
		limit -= limit / RESERVE_DIVISOR;
	if (t->open >= limit)
		return true;
	/* The load by others is known only with a delay, so it excludes the
	 * target only if the total is far above the limit. */
	return t->open + others_open(t) * report_weight(t,
							BSH_ROUTE_REPORT_TAU_US,
							now_us) >=
	       2.0 * t->max_running;
}

/* Add a target to the candidates if it can take the request now. */
static void add_candidate(const bsh_route_t *route,
			  const bsh_route_request_t *request,
			  candidates_t *found, candidate_t candidate,
			  int64_t now_us)
{
	const bsh_route_target_t *t = target_at(route, candidate.target);
	int64_t retry_us;

	if (!t->known || is_leaving(t))
		return;
	found->any_usable = true;
	if (is_excluded(request, candidate.target))
		return;
	if (!bsh_breaker_allows(&t->breaker, now_us)) {
		retry_us = bsh_breaker_retry_us(&t->breaker);
		if (found->retry_us == 0 || retry_us < found->retry_us)
			found->retry_us = retry_us;
		return;
	}
	if (is_full(t, request->priority, now_us)) {
		found->any_full = true;
		return;
	}
	if (found->count < BSH_ROUTE_CANDIDATES_MAX &&
	    !is_candidate(found, candidate.target))
		found->list[found->count++] = candidate;
}

/* Add the targets that hold the longest part of the prefix. */
static void add_prefix_candidates(const bsh_route_t *route,
				  const ready_set_t *set,
				  const bsh_route_request_t *request,
				  candidates_t *found, int64_t now_us)
{
	uint32_t now_ms = (uint32_t)(now_us / 1000);

	for (uint32_t b = MIN(request->prefix_count, BSH_ROUTE_MAX_PREFIX);
	     b > 0 && found->count < PREFIX_WAYS; b--) {
		uint64_t hash = request->prefix[b - 1];
		const bsh_route_prefix_entry_t *entry = prefix_set(route, hash);

		for (int i = 0; i < PREFIX_WAYS; i++, entry++) {
			candidate_t c = { entry->target, b, 1.0 };

			if (entry->hash != hash || hash == 0 ||
			    now_ms - entry->seen_ms > PREFIX_MAX_AGE_MS ||
			    !is_ready(set, entry->target))
				continue;
			if (entry->seen_ms <
			    target_at(route, entry->target)->cache_gap_us /
				    1000)
				c.confidence = GAP_CONFIDENCE;
			add_candidate(route, request, found, c, now_us);
		}
	}
}

static void collect_candidates(bsh_route_t *route, const ready_set_t *set,
			       const bsh_route_request_t *request,
			       candidates_t *found, int64_t now_us)
{
	bool all = set->count <= BSH_ROUTE_CANDIDATES_MAX;
	uint32_t tries = all ? set->count : SAMPLE_TARGETS;
	uint32_t start = bsh_rng_below(&route->rng, set->count);

	if (request->prefix != NULL)
		add_prefix_candidates(route, set, request, found, now_us);
	for (uint32_t i = 0; i < tries; i++) {
		uint32_t n = all ? (start + i) % set->count
				 : bsh_rng_below(&route->rng, set->count);
		candidate_t c = { set->ready[n], 0, 1.0 };

		add_candidate(route, request, found, c, now_us);
	}
	/* Too few of the sample can take the request: scan all targets. */
	for (uint32_t i = 0;
	     !all && i < set->count && found->count < SAMPLE_TARGETS / 2; i++) {
		candidate_t c = { set->ready[(start + i) % set->count], 0,
				  1.0 };

		add_candidate(route, request, found, c, now_us);
	}
}

static double others_waiting(const bsh_route_target_t *t)
{
	return (double)(t->waiting - t->pending_at_report);
}

/* Mean load by others over the candidates with a report. */
static void average_load(const bsh_route_t *route, const candidates_t *found,
			 load_t *load)
{
	uint32_t count = 0;

	*load = (load_t){ 0 };

	for (uint32_t i = 0; i < found->count; i++) {
		const bsh_route_target_t *t =
			target_at(route, found->list[i].target);

		if (t->reported_us == 0)
			continue;
		load->open += others_open(t);
		load->waiting += others_waiting(t);
		count++;
	}
	if (count == 0)
		return;
	load->open /= count;
	load->waiting /= count;
}

static int64_t prefill_us(const bsh_route_t *route, uint32_t blocks,
			  const candidate_t *candidate)
{
	double missing =
		blocks - MIN(candidate->match * candidate->confidence, blocks);

	return route->config.base_us +
	       (int64_t)(missing * route->config.block_us);
}

/* Estimated time to the first token in microseconds. */
static double score_us(const bsh_route_t *route, uint32_t blocks,
		       const candidate_t *candidate, const load_t *mean,
		       int64_t now_us)
{
	const bsh_route_target_t *t = target_at(route, candidate->target);
	const bsh_route_config_t *config = &route->config;
	double weight = report_weight(t, BSH_ROUTE_REPORT_TAU_US, now_us);
	double queue_weight =
		report_weight(t, BSH_ROUTE_WAITING_TAU_US, now_us);
	double open =
		t->open + weight * others_open(t) + (1.0 - weight) * mean->open;
	double waiting = queue_weight * others_waiting(t) +
			 (1.0 - queue_weight) * mean->waiting;
	double own_us = (double)prefill_us(route, blocks, candidate);
	/* A waiting request of others is assumed to prefill half as many
	 * blocks as this one has. */
	double other_us = config->base_us + 0.5 * blocks * config->block_us;
	double us = (double)t->pending_us + waiting * other_us + own_us +
		    open * config->running_us;

	if (open >= t->max_running)
		us += (open - t->max_running + 1.0) * config->wait_us;
	return us + (t->same_zone ? 0.0 : config->zone_penalty_us);
}

/* The candidate with the lowest score, or NULL.  Without allow_probes, only
 * candidates with a closed breaker are considered. */
static const candidate_t *choose_candidate(bsh_route_t *route,
					   const candidates_t *found,
					   uint32_t blocks, bool allow_probes,
					   int64_t now_us)
{
	load_t mean;
	const candidate_t *chosen = NULL;
	double lowest = INFINITY;

	average_load(route, found, &mean);

	for (uint32_t i = 0; i < found->count; i++) {
		const candidate_t *c = &found->list[i];
		double s;

		if (!allow_probes &&
		    target_at(route, c->target)->breaker.state !=
			    BSH_BREAKER_CLOSED)
			continue;
		s = score_us(route, blocks, c, &mean, now_us) +
		    bsh_rng_unit(&route->rng) * route->config.score_noise_us;
		if (s < lowest) {
			lowest = s;
			chosen = c;
		}
	}
	return chosen;
}

bsh_error_t bsh_route_choose(bsh_route_t *route,
			     const bsh_route_request_t *request,
			     bsh_route_choice_t *choice, int64_t now_us)
{
	const ready_set_t *set = g_hash_table_lookup(route->keys, request->key);
	candidates_t found = { .count = 0 };
	const candidate_t *chosen;
	uint32_t blocks = 0;

	memset(choice, 0, sizeof(*choice));
	choice->target = BSH_ROUTE_NONE;
	if (set == NULL || set->count == 0)
		return BSH_ERR_NOT_FOUND;
	collect_candidates(route, set, request, &found, now_us);
	if (!found.any_usable)
		return BSH_ERR_NOT_FOUND;
	if (found.count == 0 && found.any_full)
		return BSH_ERR_CAPACITY;
	if (found.count == 0) {
		choice->retry_us = found.retry_us;
		return BSH_ERR_CONNECT;
	}
	if (request->prefix != NULL)
		blocks = MIN(request->prefix_count, BSH_ROUTE_MAX_PREFIX);
	/* A request that may not be repeated is sent as a breaker probe only
	 * if every candidate needs a probe. */
	chosen = choose_candidate(route, &found, blocks, request->repeatable,
				  now_us);
	if (chosen == NULL)
		chosen = choose_candidate(route, &found, blocks, true, now_us);
	choice->target = chosen->target;
	choice->incarnation = target_at(route, chosen->target)->incarnation;
	choice->prefix_match = chosen->match;
	choice->cost_us = prefill_us(route, blocks, chosen);
	return BSH_OK;
}

bool bsh_route_may_send(const bsh_route_t *route,
			const bsh_route_choice_t *choice)
{
	const bsh_route_target_t *t = bsh_route_target(route, choice->target);

	return t != NULL && t->known && !is_leaving(t) &&
	       t->incarnation == choice->incarnation;
}

void bsh_route_start(bsh_route_t *route, const bsh_route_request_t *request,
		     const bsh_route_choice_t *choice, int64_t now_us)
{
	bsh_route_target_t *t = target_at(route, choice->target);

	if (t->incarnation != choice->incarnation)
		return;
	t->open++;
	t->pending++;
	t->pending_us += choice->cost_us;
	take_sample(t, now_us);
	bsh_breaker_start(&t->breaker, now_us);
	for (uint32_t b = 0;
	     request->prefix != NULL &&
	     b < MIN(request->prefix_count, BSH_ROUTE_MAX_PREFIX);
	     b++)
		record_prefix(route, request->prefix[b], choice->target,
			      (uint32_t)(now_us / 1000));
}

static void end_prefill(bsh_route_target_t *t, const bsh_route_choice_t *choice)
{
	if (choice->cost_us <= 0)
		return;
	if (t->pending > 0)
		t->pending--;
	t->pending_us -= MIN(t->pending_us, choice->cost_us);
}

void bsh_route_first_byte(bsh_route_t *route, bsh_route_choice_t *choice,
			  int64_t now_us)
{
	bsh_route_target_t *t;

	if (choice->target >= route->targets->len)
		return;
	t = target_at(route, choice->target);
	if (t->incarnation == choice->incarnation) {
		end_prefill(t, choice);
		take_sample(t, now_us);
	}
	choice->cost_us = 0;
}

void bsh_route_end(bsh_route_t *route, const bsh_route_choice_t *choice,
		   bsh_route_result_t result, int64_t now_us)
{
	bsh_route_target_t *t;

	if (choice->target >= route->targets->len)
		return;
	t = target_at(route, choice->target);
	if (t->incarnation != choice->incarnation)
		return;
	if (t->open > 0)
		t->open--;
	end_prefill(t, choice);
	take_sample(t, now_us);
	if (result == BSH_ROUTE_NEUTRAL)
		bsh_breaker_release(&t->breaker);
	else
		bsh_breaker_result(&t->breaker, result == BSH_ROUTE_SUCCESS,
				   bsh_rng_unit(&route->rng), now_us);
}

uint32_t bsh_route_slots(const bsh_route_t *route, const char *key)
{
	const ready_set_t *set = g_hash_table_lookup(route->keys, key);
	uint32_t slots = 0;

	for (uint32_t i = 0; set != NULL && i < set->count; i++) {
		const bsh_route_target_t *t = target_at(route, set->ready[i]);

		if (t->known && !is_leaving(t))
			slots += t->max_running;
	}
	return slots;
}

uint32_t bsh_route_hash_prefix(const char *key, const char *text, size_t size,
			       uint64_t out[BSH_ROUTE_MAX_PREFIX])
{
	uint64_t seed = XXH3_64bits(key, strlen(key));
	uint32_t count = 0;

	while (count < BSH_ROUTE_MAX_PREFIX &&
	       size >= (count + 1) * (size_t)BSH_ROUTE_BLOCK_BYTES) {
		seed = XXH3_64bits_withSeed(
			text + (size_t)count * BSH_ROUTE_BLOCK_BYTES,
			BSH_ROUTE_BLOCK_BYTES, seed);
		out[count++] = seed;
	}
	return count;
}
