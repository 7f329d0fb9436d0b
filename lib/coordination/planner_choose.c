#include <math.h>
#include <stdlib.h>

#include "coordination/planner_private.h"

/* Share of a target's request slots that a model's requests may use on average
 * before another replica is wanted. */
#define REPLICA_UTILIZATION 0.4
/* Requests a second from which a model gets a second replica, which serves if
 * the first one fails. */
#define SECOND_REPLICA_RATE 1.0
/* Value of a model without known demand, so that ties are resolved in favour of
 * the models already loaded. */
#define MODEL_BASE_VALUE 0.02
/* A recently loaded model has an added value for this time, as the requests
 * that waited for it are still in transit. */
#define RECENT_LOAD_US	  INT64_C(400000)
#define RECENT_LOAD_VALUE 3.0
/* Cost of one eviction, and of one unit of lost value, in load time. */
#define EVICTION_COST_MS 150.0
#define LOSS_COST_MS	 1000.0
/* An unload waits for the model's running requests, of which a typical one takes
 * this long. */
#define RUN_WAIT_MS 1000.0
/* Greatest loss for which a load without waiting requests evicts models. */
#define SEED_MAX_LOSS 0.3
/* The instances report their demand several times a second. */
#define DEMAND_KNOWN_US INT64_C(500000)
/* Once there is demand, models without any are loaded only after this time: each
 * load takes the weight store from a model whose first request is about to
 * come, or came before a change of the lease holder. */
#define DEMAND_COMPLETE_US INT64_C(5000000)
/* Models tried for a load without waiting requests in one run, which bounds its
 * processor time. */
#define SEED_TRIES_MAX 8U
#define VICTIMS_MAX    8U
/* Time from the order to the first request, added to an estimate. */
#define ESTIMATE_MARGIN_MS 150U
#define NEVER_MS	   UINT32_MAX

/* Demand for one model and its replicas. */
typedef struct {
	const bsh_model_rule_t *rule;
	uint32_t serving; /* targets that requests can use */
	uint32_t coming;  /* loads that run or are planned */
	uint32_t copies;  /* targets that hold the model or have a copy */
	uint32_t copy_at; /* number of the last target counted in copies */
	bool seed_tried;  /* in seed_copies() */
	bool has_room;	  /* some serving target may have room for an adapter */
	uint32_t wanted;  /* replicas; running requests until set_wanted() */
	double rate;	  /* requests a second */
	double running;	  /* requests in progress */
	uint32_t waiting; /* requests */
	double gain;	  /* value of one more replica */
} model_need_t;

/* Model that a target holds, as a candidate for an eviction. */
typedef struct {
	uint32_t model;
	uint32_t mb;
	double loss;
	double wait_ms; /* expected, for its running requests */
} resident_t;

/* What a target holds.  Remains valid for one round: a target that is given an
 * order takes no further part in it. */
typedef struct {
	uint32_t used_mb; /* UINT32_MAX: not known */
	uint32_t n;
	resident_t residents[BSH_TARGET_HOLDINGS_MAX]; /* by loss */
} contents_t;

/* Data of one run of planner_choose(). */
typedef struct {
	bsh_planner_t *planner;
	int64_t now_us;
	model_need_t *models; /* in the order of the service's list */
	uint32_t n_models;
	contents_t **contents; /* of each target; NULL until needed */
	GHashTable *adapters;  /* placed ones, as adapter_key() */
} round_t;

/* Models to evict from one target, and their total loss. */
typedef struct {
	uint32_t models[VICTIMS_MAX];
	uint32_t n;
	double loss;
	double wait_ms; /* expected, for their running requests */
} victims_t;

static model_need_t *find_need(const round_t *round, uint32_t model)
{
	guint index = GPOINTER_TO_UINT(g_hash_table_lookup(
		round->planner->service->by_hash, GUINT_TO_POINTER(model)));

	return index > 0 ? &round->models[index - 1] : NULL;
}

static bool is_free(const planner_target_t *t, int64_t now_us)
{
	return t->state == PLANNER_IDLE && !t->target.leaving &&
	       t->planned_load == 0 && now_us >= t->next_order_us;
}

static int64_t adapter_key(uint32_t model, uint32_t adapter)
{
	return (int64_t)((uint64_t)model << 32 | adapter);
}

static void add_placed_adapter(const round_t *round, uint32_t model,
			       uint32_t adapter)
{
	int64_t *key = g_new(int64_t, 1);

	*key = adapter_key(model, adapter);
	g_hash_table_insert(round->adapters, key, key);
}

/* Counts the target once, also if it holds the model and has copies of it. */
static void count_copy(const round_t *round, uint32_t model, uint32_t number)
{
	model_need_t *need = find_need(round, model);

	if (need == NULL || need->copy_at == number)
		return;
	need->copy_at = number;
	need->copies++;
}

static void count_copies(const round_t *round, const planner_target_t *t,
			 uint32_t number)
{
	const bsh_copies_t *copies = &t->target.copies;

	for (uint32_t i = 0; i < t->held.n; i++)
		if (t->held.items[i].adapter == 0)
			count_copy(round, t->held.items[i].model, number);
	for (uint32_t i = 0; i < copies->n_memory; i++)
		count_copy(round, copies->memory[i], number);
	for (uint32_t i = 0; i < copies->n_disk; i++)
		count_copy(round, copies->disk[i], number);
}

static void count_usable(const round_t *round, const planner_target_t *t)
{
	bool has_room = is_free(t, round->now_us) &&
			planner_used_slots(t, round->now_us) <
				round->planner->service->adapter_slots;

	for (uint32_t i = 0; i < t->usable.n; i++) {
		const bsh_holding_t *item = &t->usable.items[i];
		model_need_t *need = find_need(round, item->model);

		if (need != NULL && item->adapter == 0) {
			need->serving++;
			need->has_room = need->has_room || has_room;
		} else if (item->adapter != 0 &&
			   planner_serves(t, item->model, item->adapter)) {
			add_placed_adapter(round, item->model, item->adapter);
		}
	}
}

static void count_order(const round_t *round, const planner_target_t *t,
			uint32_t number)
{
	uint32_t loading = 0;
	model_need_t *need;

	if (t->has_order && t->order.load && t->order.adapter != 0)
		add_placed_adapter(round, t->order.model, t->order.adapter);
	else if (t->has_order && t->order.load)
		loading = t->order.model;
	need = find_need(round, loading);
	if (need != NULL) {
		need->coming++;
		count_copy(round, loading, number);
	}
	need = find_need(round, t->planned_load);
	if (need != NULL && t->planned_load != loading)
		need->coming++;
}

static void count_target(const round_t *round, const planner_target_t *t,
			 uint32_t number)
{
	if (t->target.leaving)
		return;
	count_usable(round, t);
	count_order(round, t, number);
	count_copies(round, t, number);
}

/* Requests for an adapter count for its base model, which they also need. */
static void count_demand(const round_t *round)
{
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, round->planner->demand);
	while (g_hash_table_iter_next(&iter, &data, NULL)) {
		const planner_demand_t *demand = data;
		model_need_t *need = find_need(round, demand->model);
		double age_s;

		if (need == NULL)
			continue;
		need->rate += planner_demand_rate(demand, round->now_us);
		need->wanted += (uint32_t)lround(demand->running);
		need->running += demand->running;
		if (demand->waiting == 0)
			continue;
		age_s = (double)(round->now_us - demand->waiting_since_us) /
			1e6;
		need->waiting += demand->waiting;
		need->gain += demand->waiting * (1.0 + MAX(age_s, 0.0));
	}
}

static void set_wanted(const round_t *round, model_need_t *need)
{
	double slots_per_replica =
		REPLICA_UTILIZATION * round->planner->service->slots;
	uint32_t replicas =
		(uint32_t)ceil(need->wanted / MAX(slots_per_replica, 1.0));

	need->wanted = replicas;
	if (need->rate >= SECOND_REPLICA_RATE)
		need->wanted = MAX(need->wanted, 2);
	else if (need->rate > 0 || need->waiting > 0)
		need->wanted = MAX(need->wanted, 1);
	/* Requests that wait although the model is served or being loaded wait
	 * for something other than a replica. */
	if (need->serving > 0 || need->coming > 0)
		need->gain = 0;
	if (need->waiting > 0 && need->serving == 0)
		need->gain += need->rate;
	else if (need->serving + need->coming < need->wanted)
		need->gain = need->rate / (need->serving + need->coming + 1);
}

static void begin_round(round_t *round, bsh_planner_t *planner, int64_t now_us)
{
	const GArray *rules = planner->service->models;

	round->planner = planner;
	round->now_us = now_us;
	round->n_models = rules->len;
	round->models = g_new0(model_need_t, rules->len + 1);
	for (guint i = 0; i < rules->len; i++)
		round->models[i].rule =
			&g_array_index(rules, bsh_model_rule_t, i);
	round->contents = g_new0(contents_t *, planner->targets->len + 1);
	round->adapters = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, NULL);
	for (guint i = 0; i < planner->targets->len; i++)
		count_target(round, g_ptr_array_index(planner->targets, i),
			     i + 1);
	count_demand(round);
	for (uint32_t i = 0; i < round->n_models; i++)
		set_wanted(round, &round->models[i]);
}

static void end_round(round_t *round)
{
	for (guint i = 0; i < round->planner->targets->len; i++)
		g_free(round->contents[i]);
	g_hash_table_destroy(round->adapters);
	g_free(round->contents);
	g_free(round->models);
}

/* Value lost if the model is evicted from this target. */
static double loss(const round_t *round, const planner_target_t *t,
		   uint32_t model)
{
	const model_need_t *need = find_need(round, model);
	double value;

	if (need == NULL)
		return 0;
	if (need->serving > need->wanted)
		value = 0.1 * need->rate / need->serving;
	else
		value = need->rate / MAX(need->serving, 1) + need->waiting;
	if (need->serving <= 1 && need->copies <= 1)
		value += MODEL_BASE_VALUE;
	if (t->loaded_us > 0 && round->now_us - t->loaded_us < RECENT_LOAD_US &&
	    need->rate > 0)
		value += RECENT_LOAD_VALUE;
	return value + MODEL_BASE_VALUE;
}

/* Expected wait for the model's requests at the target, until the last one ends.
 * Of a model on several targets only the total number is known. */
static double run_wait_ms(const round_t *round, const planner_target_t *t,
			  uint32_t model)
{
	const model_need_t *need = find_need(round, model);

	if (need == NULL)
		return 0;
	return RUN_WAIT_MS *
	       log1p(MIN(need->running / MAX(need->serving, 1), t->running));
}

static int compare_loss(const void *a, const void *b)
{
	const resident_t *x = a;
	const resident_t *y = b;

	return x->loss < y->loss ? -1 : x->loss > y->loss;
}

static const contents_t *contents_of(const round_t *round, guint index)
{
	const planner_target_t *t =
		g_ptr_array_index(round->planner->targets, index);
	contents_t *contents = round->contents[index];

	if (contents != NULL)
		return contents;
	contents = g_new0(contents_t, 1);
	round->contents[index] = contents;
	contents->used_mb = planner_used_mb(round->planner, t, round->now_us);
	if (contents->used_mb == UINT32_MAX)
		return contents;
	for (uint32_t i = 0; i < t->held.n; i++) {
		const bsh_holding_t *item = &t->held.items[i];
		resident_t *resident = &contents->residents[contents->n];

		if (item->adapter != 0)
			continue;
		resident->model = item->model;
		resident->mb = bsh_planner_model(round->planner, item->model)
				       ->weights_mb;
		resident->loss = loss(round, t, item->model);
		resident->wait_ms = run_wait_ms(round, t, item->model);
		contents->n++;
	}
	qsort(contents->residents, contents->n, sizeof(resident_t),
	      compare_loss);
	return contents;
}

/* Chooses the models with the least loss to evict for a new one.  Returns false
 * if it cannot fit. */
static bool choose_victims(const round_t *round, guint index,
			   const bsh_model_rule_t *rule, victims_t *victims)
{
	uint32_t capacity = round->planner->service->weights_mb;
	const contents_t *contents = contents_of(round, index);
	uint64_t used = contents->used_mb;

	victims->n = 0;
	victims->loss = 0;
	victims->wait_ms = 0;
	if (used == UINT32_MAX)
		return false;
	while (used + rule->weights_mb > capacity) {
		const resident_t *resident = &contents->residents[victims->n];

		if (victims->n == contents->n || victims->n == VICTIMS_MAX)
			return false;
		victims->models[victims->n++] = resident->model;
		victims->loss += resident->loss;
		victims->wait_ms = MAX(victims->wait_ms, resident->wait_ms);
		used -= MIN(used, resident->mb);
	}
	return true;
}

static uint32_t expected_load_ms(const planner_target_t *t,
				 const bsh_model_rule_t *rule)
{
	if (bsh_copies_in_memory(&t->target.copies, rule->hash))
		return rule->memory_load_ms;
	if (bsh_copies_on_disk(&t->target.copies, rule->hash))
		return rule->disk_load_ms;
	return rule->load_ms;
}

/* Evicts the first victim, or loads the model if there is none. */
static void evict_or_load(const round_t *round, planner_target_t *t,
			  const bsh_model_rule_t *rule,
			  const victims_t *victims)
{
	t->planned_load = rule->hash;
	t->planned_from_store = planner_needs_store(t, rule->hash);
	if (victims->n > 0)
		planner_issue_order(round->planner, t, false,
				    victims->models[0], 0, round->now_us);
	else
		planner_issue_order(round->planner, t, true, rule->hash, 0,
				    round->now_us);
}

/* Returns the free target with the lowest cost in load time, evictions and lost
 * value. */
static planner_target_t *best_target(const round_t *round,
				     const bsh_model_rule_t *rule,
				     double max_loss, bool store_allowed,
				     victims_t *best_victims)
{
	planner_target_t *best = NULL;
	double lowest = INFINITY;

	for (guint i = 0; i < round->planner->targets->len; i++) {
		planner_target_t *t =
			g_ptr_array_index(round->planner->targets, i);
		victims_t victims;
		double cost;

		if (!is_free(t, round->now_us) ||
		    bsh_holdings_has(&t->held, rule->hash, 0) ||
		    (!store_allowed && planner_needs_store(t, rule->hash)) ||
		    !choose_victims(round, i, rule, &victims) ||
		    victims.loss > max_loss)
			continue;
		cost = expected_load_ms(t, rule) +
		       EVICTION_COST_MS * victims.n + victims.wait_ms +
		       LOSS_COST_MS * victims.loss;
		if (cost < lowest) {
			lowest = cost;
			best = t;
			*best_victims = victims;
		}
	}
	return best;
}

/* Continues the planned loads of targets whose eviction has ended. */
static void continue_planned_loads(const round_t *round)
{
	for (guint i = 0; i < round->planner->targets->len; i++) {
		planner_target_t *t =
			g_ptr_array_index(round->planner->targets, i);
		const bsh_model_rule_t *rule;
		victims_t victims;

		if (t->state != PLANNER_IDLE || t->planned_load == 0 ||
		    round->now_us < t->next_order_us)
			continue;
		rule = bsh_service_model(round->planner->service,
					 t->planned_load);
		if (rule == NULL || t->target.leaving ||
		    bsh_holdings_has(&t->held, t->planned_load, 0) ||
		    !choose_victims(round, i, rule, &victims)) {
			t->planned_load = 0;
			continue;
		}
		evict_or_load(round, t, rule, &victims);
	}
}

static model_need_t *highest_gain(const round_t *round)
{
	model_need_t *best = NULL;

	for (uint32_t i = 0; i < round->n_models; i++) {
		model_need_t *need = &round->models[i];

		if (need->gain > 0 && (best == NULL || need->gain > best->gain))
			best = need;
	}
	return best;
}

static void serve_demand(const round_t *round)
{
	bsh_planner_t *planner = round->planner;
	model_need_t *need;

	while ((need = highest_gain(round)) != NULL) {
		bool store_allowed = planner_store_loads(planner) <
				     planner_store_limit(planner);
		victims_t victims;
		planner_target_t *t = best_target(round, need->rule, need->gain,
						  store_allowed, &victims);

		need->gain = 0;
		if (t == NULL)
			continue;
		need->coming++;
		evict_or_load(round, t, need->rule, &victims);
	}
}

/* Notes the demand of this round.  Returns true if models that nobody has asked
 * for may be loaded. */
static bool may_seed_unasked(const round_t *round)
{
	bsh_planner_t *planner = round->planner;

	if (planner->term_us == 0)
		planner->term_us = round->now_us;
	for (uint32_t i = 0; planner->demand_us == 0 && i < round->n_models;
	     i++)
		if (round->models[i].rate > 0)
			planner->demand_us = round->now_us;
	if (planner->demand_us == 0)
		return round->now_us - planner->term_us >= DEMAND_KNOWN_US;
	return round->now_us - planner->demand_us >= DEMAND_COMPLETE_US;
}

/* The model without a copy that was asked for most, lately if at all; marks it
 * as tried. */
static model_need_t *next_to_seed(const round_t *round, bool unasked)
{
	model_need_t *best = NULL;

	for (uint32_t i = 0; i < round->n_models; i++) {
		model_need_t *need = &round->models[i];

		if (need->copies == 0 && need->coming == 0 &&
		    !need->seed_tried && (unasked || need->rate > 0) &&
		    (best == NULL || need->rate > best->rate))
			best = need;
	}
	if (best != NULL)
		best->seed_tried = true;
	return best;
}

/* Loads models without a copy on any target while the store has spare capacity,
 * so that a later load can use the copy.  Those that were asked for come first:
 * their requests may have been refused, as the load would take too long, and so
 * do not wait for it. */
static void seed_copies(const round_t *round)
{
	bsh_planner_t *planner = round->planner;
	bool unasked = may_seed_unasked(round);
	uint32_t limit =
		MIN(planner->config.seed_loads, planner_store_limit(planner));

	for (uint32_t i = 0;
	     i < SEED_TRIES_MAX && planner_store_loads(planner) < limit; i++) {
		const model_need_t *need = next_to_seed(round, unasked);
		planner_target_t *t;
		victims_t victims;

		if (need == NULL)
			return;
		t = best_target(round, need->rule, SEED_MAX_LOSS, true,
				&victims);
		if (t != NULL)
			evict_or_load(round, t, need->rule, &victims);
	}
}

static bool adapter_is_placed(const round_t *round, uint32_t model,
			      uint32_t adapter)
{
	int64_t key = adapter_key(model, adapter);

	return g_hash_table_contains(round->adapters, &key);
}

static bool has_room_for_adapter(const round_t *round,
				 const planner_target_t *t,
				 const bsh_model_rule_t *rule)
{
	const bsh_service_rule_t *service = round->planner->service;
	uint64_t used = planner_used_mb(round->planner, t, round->now_us);

	return planner_used_slots(t, round->now_us) < service->adapter_slots &&
	       used + rule->adapter_mb <= service->weights_mb;
}

/* The adapter of a target with the lowest request rate among those without
 * running requests; NULL if there is none. */
static const bsh_holding_t *least_used_adapter(const round_t *round,
					       const planner_target_t *t)
{
	const bsh_holding_t *best = NULL;
	double lowest = INFINITY;

	for (uint32_t i = 0; i < t->held.n; i++) {
		const bsh_holding_t *item = &t->held.items[i];
		const planner_demand_t *demand = planner_demand_of(
			round->planner, item->model, item->adapter);
		double rate = planner_demand_rate(demand, round->now_us);
		char name[BSH_ADAPTER_NAME_SIZE];

		if (item->adapter == 0 || rate >= lowest ||
		    (demand != NULL && demand->running > 0) ||
		    !bsh_planner_adapter_name(round->planner, item->model,
					      item->adapter, name))
			continue;
		lowest = rate;
		best = item;
	}
	return best;
}

static void place_adapter(const round_t *round, const bsh_model_rule_t *rule,
			  uint32_t adapter, bool evict)
{
	planner_target_t *best = NULL;
	const bsh_holding_t *victim;
	uint32_t fewest = UINT32_MAX;

	for (guint i = 0; i < round->planner->targets->len; i++) {
		planner_target_t *t =
			g_ptr_array_index(round->planner->targets, i);
		uint32_t used = planner_used_slots(t, round->now_us);

		if (!is_free(t, round->now_us) ||
		    !planner_serves(t, rule->hash, 0) || used >= fewest ||
		    (!evict && !has_room_for_adapter(round, t, rule)))
			continue;
		best = t;
		fewest = used;
	}
	if (best == NULL)
		return;
	if (has_room_for_adapter(round, best, rule)) {
		add_placed_adapter(round, rule->hash, adapter);
		planner_issue_order(round->planner, best, true, rule->hash,
				    adapter, round->now_us);
		return;
	}
	victim = least_used_adapter(round, best);
	if (victim != NULL)
		planner_issue_order(round->planner, best, false, victim->model,
				    victim->adapter, round->now_us);
}

static void serve_adapter_demand(const round_t *round)
{
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, round->planner->demand);
	while (g_hash_table_iter_next(&iter, &data, NULL)) {
		const planner_demand_t *demand = data;
		const model_need_t *need = find_need(round, demand->model);

		if (need == NULL || demand->adapter == 0 ||
		    demand->waiting == 0 ||
		    adapter_is_placed(round, demand->model, demand->adapter) ||
		    !planner_is_listed(round->planner, demand->model,
				       demand->adapter))
			continue;
		place_adapter(round, need->rule, demand->adapter, true);
	}
}

/* Loads adapters before they are requested, as they are small. */
static void seed_adapters(const round_t *round)
{
	for (uint32_t i = 0; i < round->n_models; i++) {
		const model_need_t *need = &round->models[i];

		if (!need->has_room)
			continue;
		for (uint32_t n = 1; n <= need->rule->adapters; n++) {
			uint32_t adapter = bsh_adapter_hash(n);

			if (!adapter_is_placed(round, need->rule->hash,
					       adapter))
				place_adapter(round, need->rule, adapter,
					      false);
		}
	}
}

void planner_choose(bsh_planner_t *planner, int64_t now_us)
{
	round_t round;

	begin_round(&round, planner, now_us);
	continue_planned_loads(&round);
	serve_adapter_demand(&round);
	serve_demand(&round);
	seed_adapters(&round);
	seed_copies(&round);
	end_round(&round);
}

/* Shortest time until a running or planned load of the model ends; NEVER_MS if
 * there is none. */
static uint32_t running_load_ms(const bsh_planner_t *planner, uint32_t model,
				int64_t now_us)
{
	uint32_t shortest = NEVER_MS;

	for (guint i = 0; i < planner->targets->len; i++) {
		const planner_target_t *t =
			g_ptr_array_index(planner->targets, i);
		const bsh_model_rule_t *rule =
			bsh_service_model(planner->service, model);

		if (t->has_order && t->order.load && t->order.adapter == 0 &&
		    t->order.model == model)
			shortest =
				MIN(shortest,
				    planner_order_left_ms(planner, t, now_us));
		else if (t->planned_load == model && rule != NULL)
			shortest = MIN(shortest,
				       expected_load_ms(t, rule) +
					       (uint32_t)EVICTION_COST_MS);
	}
	return shortest;
}

/* Number of models and adapters that wait for a load and have waited longer. */
static uint32_t models_queued_ahead(const bsh_planner_t *planner,
				    const planner_demand_t *demand)
{
	GHashTableIter iter;
	uint32_t ahead = 0;
	void *data;

	g_hash_table_iter_init(&iter, planner->demand);
	while (g_hash_table_iter_next(&iter, &data, NULL)) {
		const planner_demand_t *other = data;

		ahead += other != demand && other->waiting > 0 &&
			 other->waiting_since_us < demand->waiting_since_us;
	}
	return ahead;
}

uint32_t planner_estimate_ms(bsh_planner_t *planner, uint32_t model,
			     uint32_t adapter, int64_t now_us)
{
	const bsh_model_rule_t *rule =
		bsh_service_model(planner->service, model);
	const planner_demand_t *demand =
		planner_demand_of(planner, model, adapter);
	uint32_t estimate = running_load_ms(planner, model, now_us);
	uint32_t shortest = NEVER_MS;

	if (rule == NULL || demand == NULL)
		return NEVER_MS;
	if (estimate != NEVER_MS)
		return estimate + ESTIMATE_MARGIN_MS;
	for (guint i = 0; i < planner->targets->len; i++) {
		const planner_target_t *t =
			g_ptr_array_index(planner->targets, i);

		if (t->target.leaving)
			continue;
		if (planner_serves(t, model, 0))
			return ESTIMATE_MARGIN_MS;
		if (!planner_needs_store(t, model))
			shortest = MIN(
				shortest,
				expected_load_ms(t, rule) +
					(t->has_order
						 ? planner_order_left_ms(
							   planner, t, now_us)
						 : 0));
	}
	if (shortest != NEVER_MS)
		return shortest + (uint32_t)EVICTION_COST_MS +
		       ESTIMATE_MARGIN_MS;
	if (planner->targets->len == 0)
		return NEVER_MS;
	return planner_store_load_ms(planner, rule->load_ms, 1) *
	       (1 + (planner_store_loads(planner) +
		     models_queued_ahead(planner, demand)) /
			    planner_store_limit(planner));
}
