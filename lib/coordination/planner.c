#include "coordination/planner.h"

#include <string.h>

#include "coordination/planner_private.h"

/* Delay between the withdrawal of a model and the order to unload it, in which
 * the announcement reaches the instances and requests already sent arrive. */
#define WITHDRAWAL_DELAY_US INT64_C(40000)
/* A target's report shows its state of about 100 ms earlier. */
#define REPORT_LAG_US INT64_C(150000)
/* Interval between reports of a target while an order is overdue. */
#define REPORT_POLL_US INT64_C(300000)
/* An entry of the platform's list is up to two heartbeats old. */
#define ENTRY_LAG_US INT64_C(3000000)
/* Delay of the next order after a target could not be reached. */
#define UNREACHABLE_BACKOFF_US INT64_C(700000)
/* Expected duration of an adapter load: the adapter is fetched in about ten
 * milliseconds, and the target then serves it. */
#define ADAPTER_LOAD_MS 25U
/* A load is slow if it takes more than this multiple of its expected time. */
#define SLOW_LOAD_FACTOR 1.25
/* Increase of the store's concurrency after a load that was not slow. */
#define STORE_CONCURRENCY_STEP 0.5
/* After an unload the load that follows is refused until the last request of the
 * unloaded model has ended.  Another target, which would have to unload a model
 * first, too, is sooner only if that takes longer than these tries. */
#define BUSY_RETRIES_MAX 2U
#define BUSY_RETRY_US	 INT64_C(60000)
/* A load from a copy at the target takes a known time; this is added to it.  A
 * report would show its end only some hundred milliseconds later. */
#define COPY_LOAD_MARGIN_MS 20U
/* An overdue load is expected to take 1/OVERDUE_DIVISOR of its time longer. */
#define OVERDUE_DIVISOR 4U
/* Expected duration of an unload, which waits for the model's requests. */
#define UNLOAD_MS 40U

static void set_state(planner_target_t *t, planner_state_t state,
		      int64_t now_us)
{
	t->state = state;
	t->state_us = now_us;
}

static void free_rule(void *data)
{
	bsh_model_rule_t *rule = data;

	g_free(rule->name);
	g_free(rule);
}

bsh_planner_t *bsh_planner_new(const bsh_planner_config_t *config,
			       const bsh_planner_ops_t *ops, void *ctx)
{
	bsh_planner_t *planner = g_new0(bsh_planner_t, 1);

	planner->config = *config;
	planner->ops = *ops;
	planner->ctx = ctx;
	planner->targets = g_ptr_array_new_with_free_func(g_free);
	planner->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	planner->deferred = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						  NULL, g_free);
	planner->departed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	planner->former = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						NULL, free_rule);
	planner->store_concurrency = config->concurrent_loads;
	planner_demand_init(planner);
	return planner;
}

void bsh_planner_free(bsh_planner_t *planner)
{
	planner_demand_finish(planner);
	g_hash_table_destroy(planner->deferred);
	g_hash_table_destroy(planner->departed);
	g_hash_table_destroy(planner->former);
	g_hash_table_destroy(planner->by_id);
	g_ptr_array_free(planner->targets, TRUE);
	bsh_catalog_unref(planner->catalog);
	g_free(planner);
}

const bsh_model_rule_t *bsh_planner_model(const bsh_planner_t *planner,
					  uint32_t hash)
{
	const bsh_model_rule_t *rule = NULL;

	if (planner->service != NULL)
		rule = bsh_service_model(planner->service, hash);
	if (rule == NULL)
		rule = g_hash_table_lookup(planner->former,
					   GUINT_TO_POINTER(hash));
	return rule;
}

bool bsh_planner_adapter_name(const bsh_planner_t *planner, uint32_t model,
			      uint32_t hash, char name[BSH_ADAPTER_NAME_SIZE])
{
	const bsh_model_rule_t *rule = bsh_planner_model(planner, model);
	const bsh_model_rule_t *former =
		g_hash_table_lookup(planner->former, GUINT_TO_POINTER(model));
	uint32_t number = 0;

	if (rule != NULL)
		number = bsh_adapter_number(hash, rule->adapters);
	if (number == 0 && former != NULL)
		number = bsh_adapter_number(hash, former->adapters);
	bsh_adapter_name(number, name);
	return number != 0;
}

bool planner_is_listed(const bsh_planner_t *planner, uint32_t model,
		       uint32_t adapter)
{
	const bsh_model_rule_t *rule;

	if (!planner->listed)
		return false;
	rule = bsh_service_model(planner->service, model);
	return rule != NULL &&
	       (adapter == 0 ||
		bsh_adapter_number(adapter, rule->adapters) != 0);
}

static bool is_in_use(const bsh_planner_t *planner, uint32_t model)
{
	for (guint i = 0; i < planner->targets->len; i++) {
		const planner_target_t *t =
			g_ptr_array_index(planner->targets, i);

		if (bsh_holdings_has(&t->held, model, 0) ||
		    (t->has_order && t->order.model == model))
			return true;
	}
	return false;
}

/* Keeps the rules of models that the new service lacks, or has with fewer
 * adapters, while a target holds them. */
static void keep_former_models(bsh_planner_t *planner,
			       const bsh_service_rule_t *service)
{
	GHashTableIter iter;
	void *hash;

	if (planner->service == NULL)
		return;
	for (guint i = 0; i < planner->service->models->len; i++) {
		const bsh_model_rule_t *rule = &g_array_index(
			planner->service->models, bsh_model_rule_t, i);
		const bsh_model_rule_t *next =
			bsh_service_model(service, rule->hash);
		const bsh_model_rule_t *before = g_hash_table_lookup(
			planner->former, GUINT_TO_POINTER(rule->hash));
		bsh_model_rule_t *copy;

		if (next != NULL && next->adapters >= rule->adapters)
			continue;
		copy = g_memdup2(rule, sizeof(*rule));
		copy->name = g_strdup(rule->name);
		if (before != NULL)
			copy->adapters = MAX(copy->adapters, before->adapters);
		g_hash_table_replace(planner->former,
				     GUINT_TO_POINTER(rule->hash), copy);
	}
	g_hash_table_iter_init(&iter, planner->former);
	while (g_hash_table_iter_next(&iter, &hash, NULL))
		if (!is_in_use(planner, GPOINTER_TO_UINT(hash)))
			g_hash_table_iter_remove(&iter);
}

void bsh_planner_set_service(bsh_planner_t *planner, bsh_catalog_t *catalog,
			     const bsh_service_rule_t *service)
{
	bsh_catalog_t *old = planner->catalog;

	keep_former_models(planner, service);
	planner->catalog = bsh_catalog_ref(catalog);
	planner->service = service;
	bsh_catalog_unref(old);
	if (planner->listed)
		return;
	planner->listed = true;
	/* Nobody has followed the targets meanwhile. */
	for (guint i = 0; i < planner->targets->len; i++) {
		planner_target_t *t = g_ptr_array_index(planner->targets, i);

		if (t->state == PLANNER_IDLE)
			set_state(t, PLANNER_UNCERTAIN, t->state_us);
		t->next_report_us = 0;
	}
}

static planner_target_t *find(const bsh_planner_t *planner, const char *id)
{
	return g_hash_table_lookup(planner->by_id, id);
}

bool planner_serves(const planner_target_t *t, uint32_t model, uint32_t adapter)
{
	return !t->target.leaving && bsh_holdings_has(&t->usable, model, 0) &&
	       bsh_holdings_has(&t->usable, model, adapter);
}

/* Announces the usable holdings of the target if they have changed. */
static void publish(bsh_planner_t *planner, planner_target_t *t)
{
	bsh_holdings_t usable = t->held;

	if (!t->reported)
		return;
	if (t->down)
		usable.n = 0;
	if (t->has_order && !t->order.load)
		bsh_holdings_remove(&usable, t->order.model, t->order.adapter);
	if (bsh_holdings_equal(&usable, &t->usable))
		return;
	t->usable = usable;
	t->version++;
	planner->ops.placed(planner->ctx, &t->target, &t->usable, t->version);
}

void bsh_planner_end_service(bsh_planner_t *planner)
{
	if (!planner->listed)
		return;
	planner->listed = false;
	for (guint i = 0; i < planner->targets->len; i++) {
		planner_target_t *t = g_ptr_array_index(planner->targets, i);

		t->planned_load = 0;
		if (t->state != PLANNER_WITHDRAWN)
			continue;
		/* The order to unload has not been sent. */
		t->has_order = false;
		set_state(t, PLANNER_IDLE, t->state_us);
		publish(planner, t);
	}
}

static uint32_t elapsed_ms(const planner_target_t *t, int64_t now_us)
{
	return (uint32_t)(MAX(now_us - t->state_us, 0) / 1000);
}

uint32_t planner_order_left_ms(const bsh_planner_t *planner,
			       const planner_target_t *t, int64_t now_us)
{
	uint32_t total_ms = t->order_ms;
	uint32_t spent_ms = elapsed_ms(t, now_us);

	if (t->from_store) {
		const bsh_model_rule_t *model =
			bsh_planner_model(planner, t->order.model);

		if (model != NULL)
			total_ms = planner_store_load_ms(
				planner, model->load_ms,
				planner_store_loads(planner));
		/* Extend the estimate of an overdue load. */
		if (spent_ms > total_ms + total_ms / OVERDUE_DIVISOR)
			total_ms = spent_ms + spent_ms / OVERDUE_DIVISOR;
	}
	return total_ms > spent_ms ? total_ms - spent_ms : 0;
}

/* A load that is slow even for the number of concurrent loads shows that the
 * store serves fewer of them at full speed than estimated. */
static void lower_store_concurrency(bsh_planner_t *planner,
				    const planner_target_t *t, int64_t now_us)
{
	const bsh_model_rule_t *model =
		bsh_planner_model(planner, t->order.model);
	uint32_t n = planner_store_loads(planner);
	uint32_t spent_ms = elapsed_ms(t, now_us);

	if (model == NULL || n < 2 ||
	    spent_ms < SLOW_LOAD_FACTOR * planner_store_load_ms(
						  planner, model->load_ms, n))
		return;
	planner->store_concurrency =
		MAX((double)n * model->load_ms / spent_ms, 1.0);
}

/* A load that was not slow raises the estimate by one step. */
static void raise_store_concurrency(bsh_planner_t *planner,
				    const planner_target_t *t, int64_t now_us)
{
	const bsh_model_rule_t *model =
		bsh_planner_model(planner, t->order.model);

	if (model != NULL &&
	    elapsed_ms(t, now_us) < SLOW_LOAD_FACTOR * model->load_ms)
		planner->store_concurrency =
			MIN(planner->store_concurrency + STORE_CONCURRENCY_STEP,
			    planner->config.concurrent_loads);
}

/* Makes the target idle, after its order has ended or turned out redundant. */
static void finish_order(bsh_planner_t *planner, planner_target_t *t,
			 int64_t now_us)
{
	if (t->order.load && t->from_store)
		raise_store_concurrency(planner, t, now_us);
	if (t->order.load && t->order.adapter == 0) {
		t->loaded_us = now_us;
		if (t->planned_load == t->order.model)
			t->planned_load = 0;
	}
	t->has_order = false;
	if (t->state == PLANNER_WORKING && planner->ops.done != NULL)
		planner->ops.done(planner->ctx, &t->target, &t->order,
				  now_us - t->state_us);
	set_state(t, PLANNER_IDLE, now_us);
}

/* Records that copies of the unanswered order may still arrive. */
static void note_unacked_order(const bsh_planner_t *planner,
			       planner_target_t *t, int64_t now_us)
{
	if (now_us >= t->unacked_until_us) {
		t->unacked_mb = 0;
		t->unacked_adapters = 0;
	}
	t->unacked_mb += planner_order_mb(planner, &t->order);
	t->unacked_adapters += t->order.load && t->order.adapter != 0;
	t->unacked_until_us = now_us + BSH_PLANNER_ORDER_DELAY_MAX_US;
}

/* After a restart the count of orders starts again, so the target may carry out
 * copies of unanswered orders: reserve their memory. */
static void reserve_unacked(const bsh_planner_t *planner, planner_target_t *t,
			    int64_t now_us)
{
	if (t->state == PLANNER_SENT && planner->service != NULL)
		note_unacked_order(planner, t, now_us);
	if (now_us >= t->unacked_until_us)
		return;
	if (now_us >= t->reserved_until_us) {
		t->reserved_mb = 0;
		t->reserved_adapters = 0;
	}
	t->reserved_mb += t->unacked_mb;
	t->reserved_adapters += t->unacked_adapters;
	t->reserved_until_us = MAX(t->reserved_until_us, t->unacked_until_us);
	t->unacked_until_us = 0;
}

void bsh_planner_begin_term(bsh_planner_t *planner)
{
	planner->term_us = 0;
	planner->demand_us = 0;
	for (guint i = 0; i < planner->targets->len; i++) {
		planner_target_t *t = g_ptr_array_index(planner->targets, i);

		if (t->state == PLANNER_SENT && planner->service != NULL)
			note_unacked_order(planner, t, t->state_us);
		t->has_order = false;
		t->planned_load = 0;
		t->report_pending = false;
		t->next_report_us = 0;
		t->reported = false;
		t->suspected = false;
		t->down = false;
		t->held = t->target.holdings;
		t->usable = t->held;
		t->unverified.n = 0;
		set_state(t, PLANNER_UNCERTAIN, 0);
	}
}

static void target_restarted(bsh_planner_t *planner, planner_target_t *t,
			     const bsh_target_t *target, int64_t now_us)
{
	reserve_unacked(planner, t, now_us);
	t->target = *target;
	t->held = target->holdings;
	t->unverified.n = 0;
	t->unloading = 0;
	t->orders = 0;
	t->suspected = false;
	t->down = false;
	t->has_order = false;
	t->planned_load = 0;
	t->next_report_us = 0;
	t->reported = false;
	t->usable = t->held;
	set_state(t, PLANNER_UNCERTAIN, now_us);
}

static gboolean has_expired(gpointer key, gpointer until_us, gpointer now_us)
{
	(void)key;
	return *(const int64_t *)until_us <= *(const int64_t *)now_us;
}

void bsh_planner_defer_orders(bsh_planner_t *planner, uint32_t key,
			      int64_t until_us, int64_t now_us)
{
	int64_t *deferred_until_us;

	g_hash_table_foreach_remove(planner->deferred, has_expired, &now_us);
	deferred_until_us =
		g_hash_table_lookup(planner->deferred, GUINT_TO_POINTER(key));
	if (deferred_until_us == NULL) {
		deferred_until_us = g_new0(int64_t, 1);
		g_hash_table_insert(planner->deferred, GUINT_TO_POINTER(key),
				    deferred_until_us);
	}
	*deferred_until_us = MAX(*deferred_until_us, until_us);
	for (guint i = 0; i < planner->targets->len; i++) {
		planner_target_t *t = g_ptr_array_index(planner->targets, i);

		if (t->load_key == key)
			t->next_order_us = MAX(t->next_order_us, until_us);
	}
}

static gboolean reservation_has_ended(gpointer id, gpointer reservation,
				      gpointer now_us)
{
	(void)id;
	return ((const planner_reservation_t *)reservation)->until_us <=
	       *(const int64_t *)now_us;
}

/* Keeps what unanswered orders to a target that leaves the list may take. */
static void keep_reservation(bsh_planner_t *planner, planner_target_t *t,
			     int64_t now_us)
{
	planner_reservation_t *kept;

	g_hash_table_foreach_remove(planner->departed, reservation_has_ended,
				    &now_us);
	reserve_unacked(planner, t, now_us);
	if (now_us >= t->reserved_until_us)
		return;
	kept = g_new0(planner_reservation_t, 1);
	kept->mb = t->reserved_mb;
	kept->adapters = t->reserved_adapters;
	kept->until_us = t->reserved_until_us;
	g_hash_table_replace(planner->departed, g_strdup(t->target.id), kept);
}

static void take_reservation(bsh_planner_t *planner, planner_target_t *t)
{
	const planner_reservation_t *kept =
		g_hash_table_lookup(planner->departed, t->target.id);

	if (kept == NULL)
		return;
	t->reserved_mb = kept->mb;
	t->reserved_adapters = kept->adapters;
	t->reserved_until_us = kept->until_us;
	g_hash_table_remove(planner->departed, t->target.id);
}

void bsh_planner_update_target(bsh_planner_t *planner,
			       const bsh_target_t *target, int64_t now_us)
{
	planner_target_t *t = find(planner, target->id);
	const int64_t *deferred_until_us;

	if (t == NULL) {
		t = g_new0(planner_target_t, 1);
		t->target = *target;
		t->load_key = bsh_target_key(target->id);
		deferred_until_us = g_hash_table_lookup(
			planner->deferred, GUINT_TO_POINTER(t->load_key));
		if (deferred_until_us != NULL)
			t->next_order_us = *deferred_until_us;
		t->held = target->holdings;
		t->usable = target->holdings;
		take_reservation(planner, t);
		set_state(t, PLANNER_UNCERTAIN, now_us);
		g_ptr_array_add(planner->targets, t);
		g_hash_table_insert(planner->by_id, t->target.id, t);
		return;
	}
	if (target->started_ms != t->target.started_ms ||
	    strcmp(target->address, t->target.address) != 0) {
		target_restarted(planner, t, target, now_us);
		return;
	}
	t->target = *target;
	if (!t->reported) {
		t->held = target->holdings;
		t->usable = target->holdings;
		return;
	}
	if (t->state == PLANNER_WORKING && t->order.load &&
	    bsh_holdings_has(&target->holdings, t->order.model,
			     t->order.adapter)) {
		bsh_holdings_add(&t->held, t->order.model, t->order.adapter);
		finish_order(planner, t, now_us);
	} else if (t->state == PLANNER_IDLE &&
		   now_us - t->state_us > ENTRY_LAG_US &&
		   !bsh_holdings_equal(&t->held, &target->holdings)) {
		/* The holdings changed without an order of this instance. */
		set_state(t, PLANNER_UNCERTAIN, now_us);
		t->next_report_us = now_us;
	}
	publish(planner, t);
}

void bsh_planner_remove_target(bsh_planner_t *planner, const char *id,
			       int64_t now_us)
{
	planner_target_t *t = find(planner, id);

	if (t == NULL)
		return;
	keep_reservation(planner, t, now_us);
	g_hash_table_remove(planner->by_id, id);
	g_ptr_array_remove_fast(planner->targets, t);
}

void bsh_planner_check_target(bsh_planner_t *planner, uint32_t key,
			      int64_t now_us)
{
	for (guint i = 0; i < planner->targets->len; i++) {
		planner_target_t *t = g_ptr_array_index(planner->targets, i);

		if (t->load_key != key || t->suspected)
			continue;
		t->suspected = true;
		if (t->state == PLANNER_IDLE)
			set_state(t, PLANNER_UNCERTAIN, now_us);
		t->next_report_us = now_us;
	}
}

void bsh_planner_update_loads(bsh_planner_t *planner,
			      const bsh_load_entry_t *entries, uint32_t n)
{
	g_autoptr(GHashTable) running =
		g_hash_table_new(g_direct_hash, g_direct_equal);

	for (uint32_t i = 0; i < n; i++)
		g_hash_table_insert(running,
				    GUINT_TO_POINTER(entries[i].target),
				    GUINT_TO_POINTER(entries[i].running));
	for (guint i = 0; i < planner->targets->len; i++) {
		planner_target_t *t = g_ptr_array_index(planner->targets, i);

		t->running = GPOINTER_TO_UINT(g_hash_table_lookup(
			running, GUINT_TO_POINTER(t->load_key)));
	}
}

static uint32_t expected_order_ms(const bsh_planner_t *planner,
				  const planner_target_t *t,
				  const bsh_order_t *order)
{
	const bsh_model_rule_t *model =
		bsh_planner_model(planner, order->model);
	uint32_t store_loads = planner_store_loads(planner);

	if (!order->load)
		return UNLOAD_MS;
	if (order->adapter != 0)
		return ADAPTER_LOAD_MS;
	if (bsh_copies_in_memory(&t->target.copies, order->model))
		return model->memory_load_ms;
	if (bsh_copies_on_disk(&t->target.copies, order->model))
		return model->disk_load_ms;
	return planner_store_load_ms(planner, model->load_ms, store_loads);
}

/* Makes the target uncertain after an order that did not reach it. */
static void drop_unsent_order(bsh_planner_t *planner, planner_target_t *t,
			      int64_t now_us)
{
	t->has_order = false;
	t->planned_load = 0;
	t->next_order_us =
		MAX(t->next_order_us, now_us + UNREACHABLE_BACKOFF_US);
	t->next_report_us = now_us + UNREACHABLE_BACKOFF_US;
	set_state(t, PLANNER_UNCERTAIN, now_us);
	publish(planner, t);
}

static bool send_order(bsh_planner_t *planner, planner_target_t *t,
		       int64_t now_us)
{
	if (!planner->ops.order(planner->ctx, &t->target, &t->order))
		return false;
	set_state(t, PLANNER_SENT, now_us);
	planner->stats.orders++;
	return true;
}

static void count_order(bsh_planner_t *planner, const planner_target_t *t)
{
	if (!t->order.load)
		planner->stats.unloads++;
	else if (t->order.adapter != 0)
		planner->stats.adapter_loads++;
	else if (t->from_store)
		planner->stats.store_loads++;
	else
		planner->stats.copy_loads++;
}

void planner_issue_order(bsh_planner_t *planner, planner_target_t *t, bool load,
			 uint32_t model, uint32_t adapter, int64_t now_us)
{
	t->order.load = load;
	t->order.model = model;
	t->order.adapter = adapter;
	t->order.expected = t->orders;
	t->from_store = load && adapter == 0 && planner_needs_store(t, model);
	t->has_order = true;
	t->order_ms = expected_order_ms(planner, t, &t->order);
	count_order(planner, t);
	if (load) {
		if (!send_order(planner, t, now_us))
			drop_unsent_order(planner, t, now_us);
		return;
	}
	set_state(t, PLANNER_WITHDRAWN, now_us);
	publish(planner, t);
}

static void order_accepted(bsh_planner_t *planner, planner_target_t *t,
			   int64_t now_us)
{
	t->orders = t->order.expected + 1;
	t->busy_retries = 0;
	set_state(t, PLANNER_WORKING, now_us);
	t->next_report_us = now_us + t->order_ms * 1000LL + REPORT_LAG_US;
	if (!t->order.load && t->order.adapter == 0) {
		t->unloading = t->order.model;
		t->unloading_orders = t->orders;
		bsh_holdings_remove(&t->held, t->order.model, 0);
		publish(planner, t);
	}
}

static void order_redundant(bsh_planner_t *planner, planner_target_t *t,
			    int64_t now_us)
{
	if (t->order.load) {
		bsh_holdings_add(&t->held, t->order.model, t->order.adapter);
	} else {
		bsh_holdings_remove(&t->held, t->order.model, t->order.adapter);
		/* An unused adapter is unloaded at once; the target counts
		 * that order although it reports it as redundant. */
		if (t->order.adapter != 0)
			t->orders = t->order.expected + 1;
	}
	finish_order(planner, t, now_us);
	publish(planner, t);
}

/* A planned load that is refused as the unload before it has not ended. */
static bool tries_planned_load_again(planner_target_t *t, int64_t now_us)
{
	if (!t->order.load || t->planned_load != t->order.model ||
	    t->unloading_orders != t->orders ||
	    t->busy_retries >= BUSY_RETRIES_MAX)
		return false;
	t->busy_retries++;
	t->has_order = false;
	t->next_order_us = MAX(t->next_order_us, now_us + BUSY_RETRY_US);
	set_state(t, PLANNER_IDLE, now_us);
	return true;
}

void bsh_planner_order_result(bsh_planner_t *planner, const char *id,
			      bsh_order_result_t result, int64_t now_us)
{
	planner_target_t *t = find(planner, id);

	if (t == NULL || t->state != PLANNER_SENT)
		return;
	switch (result) {
	case BSH_ORDER_ACCEPTED:
		order_accepted(planner, t, now_us);
		break;
	case BSH_ORDER_HOLDS:
		order_redundant(planner, t, now_us);
		break;
	case BSH_ORDER_BUSY:
		if (tries_planned_load_again(t, now_us))
			break;
		/* The count differs, or another order is still running: an
		 * unload waits for requests of up to their whole deadline.  The
		 * planned load is free to go elsewhere. */
		t->has_order = false;
		t->planned_load = 0;
		set_state(t, PLANNER_UNCERTAIN, now_us);
		t->next_report_us = now_us + REPORT_LAG_US;
		publish(planner, t);
		break;
	case BSH_ORDER_UNKNOWN:
		/* Keep the order: the target may carry it out. */
		note_unacked_order(planner, t, now_us);
		set_state(t, PLANNER_UNCERTAIN, now_us);
		t->next_report_us = now_us + REPORT_LAG_US;
		break;
	case BSH_ORDER_NOT_SENT:
	case BSH_ORDER_WRONG_TARGET:
		drop_unsent_order(planner, t, now_us);
		break;
	}
}

/* Handles a report of a target whose last order has an unknown result. */
static void resolve_unknown(bsh_planner_t *planner, planner_target_t *t,
			    const bsh_target_report_t *report, int64_t now_us)
{
	if (report->orders > t->order.expected) {
		set_state(t, PLANNER_WORKING, now_us);
		if (!report->busy) {
			finish_order(planner, t, now_us);
			publish(planner, t);
		}
		return;
	}
	/* The number of accepted orders refuses a late copy of the order once
	 * the target has accepted another one. */
	if (t->order.load &&
	    !planner_is_listed(planner, t->order.model, t->order.adapter)) {
		t->has_order = false;
		t->planned_load = 0;
		if (!report->busy)
			set_state(t, PLANNER_IDLE, now_us);
		return;
	}
	if (planner->listed && send_order(planner, t, now_us))
		planner->stats.repeated++;
}

/* True if the process that the list shows has ended. */
static bool is_other_process(const planner_target_t *t,
			     const bsh_target_report_t *report)
{
	return report->started_ms != 0 && t->target.started_ms != 0 &&
	       report->started_ms != t->target.started_ms;
}

void bsh_planner_report_result(bsh_planner_t *planner, const char *id,
			       const bsh_target_report_t *report,
			       int64_t now_us)
{
	planner_target_t *t = find(planner, id);
	uint32_t absent;

	if (t == NULL)
		return;
	t->report_pending = false;
	t->next_report_us = now_us + REPORT_POLL_US;
	if (!t->down &&
	    (report == NULL ? t->suspected : is_other_process(t, report))) {
		t->down = true;
		t->planned_load = 0;
		publish(planner, t);
	}
	absent = report != NULL && !is_other_process(t, report)
			 ? planner_verify_absent(t, report)
			 : 0;
	/* A load that failed has ended; a busy target may still load. */
	if (absent > 0) {
		planner->stats.failed_loads += report->busy ? 0 : absent;
		set_state(t, PLANNER_UNCERTAIN, now_us);
	}
	/* In the other states the planner's own data is newer than a report. */
	if (report == NULL ||
	    (t->state != PLANNER_UNCERTAIN && t->state != PLANNER_WORKING))
		return;
	if (is_other_process(t, report))
		return;
	t->suspected = false;
	t->down = false;
	/* The report precedes the last accepted order. */
	if (report->orders < t->orders)
		return;
	t->reported = true;
	t->orders = report->orders;
	t->held = report->holdings;
	t->unverified.n = 0;
	/* A target reports a model that it unloads until the requests that
	 * use it have ended. */
	if (report->busy && report->orders == t->unloading_orders)
		bsh_holdings_remove(&t->held, t->unloading, 0);
	if (report->has_copies)
		t->target.copies = report->copies;
	if (t->state == PLANNER_WORKING) {
		if (!report->busy &&
		    (t->order.load ||
		     !bsh_holdings_has(&t->held, t->order.model,
				       t->order.adapter)))
			finish_order(planner, t, now_us);
	} else if (t->state == PLANNER_UNCERTAIN && t->has_order) {
		resolve_unknown(planner, t, report, now_us);
	} else if (t->state == PLANNER_UNCERTAIN && !report->busy) {
		set_state(t, PLANNER_IDLE, now_us);
	}
	publish(planner, t);
}

/* Short orders are considered done after their expected duration without a report:
 * if one still runs, the target refuses the next order, and requests for the
 * model, and a report is requested then.  The unload of an adapter does need a
 * report: the target accepts other orders meanwhile, and the adapter's slot stays
 * in use until the unload has ended. */
static bool ends_without_report(const planner_target_t *t, int64_t now_us)
{
	uint32_t spent_ms = elapsed_ms(t, now_us);

	if (t->order.load && t->order.adapter == 0)
		return !t->from_store &&
		       spent_ms >= t->order_ms + COPY_LOAD_MARGIN_MS;
	return t->order.load == (t->order.adapter != 0) &&
	       spent_ms >= t->order_ms;
}

static void advance(bsh_planner_t *planner, planner_target_t *t, int64_t now_us)
{
	bool verify;

	if (t->state == PLANNER_WITHDRAWN &&
	    now_us >= t->state_us + WITHDRAWAL_DELAY_US) {
		if (!send_order(planner, t, now_us))
			drop_unsent_order(planner, t, now_us);
		return;
	}
	if (t->state == PLANNER_WORKING && ends_without_report(t, now_us)) {
		if (t->order.load)
			bsh_holdings_add(&t->held, t->order.model,
					 t->order.adapter);
		if (t->order.load && t->order.adapter == 0)
			planner_verify_add(t, t->order.model, now_us);
		finish_order(planner, t, now_us);
		publish(planner, t);
		return;
	}
	if (t->state == PLANNER_WORKING && t->order.load && t->from_store)
		lower_store_concurrency(planner, t, now_us);
	verify = planner_verify_is_due(planner, t, now_us);
	if ((verify || t->state == PLANNER_UNCERTAIN ||
	     t->state == PLANNER_WORKING) &&
	    !t->report_pending && now_us >= t->next_report_us) {
		t->report_pending = true;
		t->verifying = verify;
		planner->ops.report(planner->ctx, &t->target);
	}
}

void bsh_planner_tick(bsh_planner_t *planner, int64_t now_us)
{
	if (!planner->listed)
		return;
	planner_demand_expire(planner, now_us);
	for (guint i = 0; i < planner->targets->len; i++)
		advance(planner, g_ptr_array_index(planner->targets, i),
			now_us);
	planner_choose(planner, now_us);
}

void bsh_planner_estimate_ready(bsh_planner_t *planner, int64_t now_us,
				void (*fn)(void *ctx,
					   const bsh_ready_entry_t *entry),
				void *ctx)
{
	GHashTableIter iter;
	void *data;

	if (!planner->listed)
		return;
	g_hash_table_iter_init(&iter, planner->demand);
	while (g_hash_table_iter_next(&iter, &data, NULL)) {
		const planner_demand_t *demand = data;
		bsh_ready_entry_t entry = { .model = demand->model,
					    .adapter = demand->adapter };

		if (demand->waiting == 0)
			continue;
		entry.ready_in_ms = planner_estimate_ms(
			planner, demand->model, demand->adapter, now_us);
		fn(ctx, &entry);
	}
}

const bsh_holdings_t *bsh_planner_usable(const bsh_planner_t *planner,
					 const char *id, uint64_t *version)
{
	const planner_target_t *t = find(planner, id);

	if (t == NULL || !t->reported)
		return NULL;
	if (version != NULL)
		*version = t->version + 1;
	return &t->usable;
}

const bsh_planner_stats_t *bsh_planner_stats(const bsh_planner_t *planner)
{
	return &planner->stats;
}
