/* Orders to targets that the holder of the lease gives, and what it tells. */
#include "orders_private.h"

#include <string.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"
#include "platform/worker.h"

/* Between messages of the holder, by which the others know that it lives. */
#define BEACON_US INT64_C(300000)
/* An estimate is passed on again after this time at the earliest. */
#define ESTIMATE_US INT64_C(100000)
/* Without a message of the holder for this long, no orders are expected. */
#define HOLDER_SILENT_US INT64_C(4000000)
/* Without a message of the holder, or with one that says that the holder has
 * not heard of the store, for this long, the list is followed in the store: a
 * target that leaves has to be known within its drain time. */
#define TOLD_MAX_AGE_US	   INT64_C(1000000)
#define CONTACT_MAX_AGE_US INT64_C(1200000)
/* A lost announcement is made up for in this time, or the store is asked. */
#define GAP_MAX_US INT64_C(900000)

/* Entries of demand in one datagram; those with most waiting requests come
 * first, and what is left out is told when it waits too. */
#define DEMAND_MAX 40U

/* An order or a question that is out. */
typedef struct {
	orders_t *orders;
	char *service;
	char *target;
	char *what; /* for the log */
	uint64_t expected;
	int64_t began_us;
} order_call_t;

static bsh_counter_t results[] = {
	BSH_COUNTER_LABELS("bsh_orders_total", "Orders to targets by result.",
			   "result=\"accepted\""),
	BSH_COUNTER_LABELS("bsh_orders_total", "Orders to targets by result.",
			   "result=\"holds\""),
	BSH_COUNTER_LABELS("bsh_orders_total", "Orders to targets by result.",
			   "result=\"busy\""),
	BSH_COUNTER_LABELS("bsh_orders_total", "Orders to targets by result.",
			   "result=\"fenced\""),
	BSH_COUNTER_LABELS("bsh_orders_total", "Orders to targets by result.",
			   "result=\"wrong\""),
	BSH_COUNTER_LABELS("bsh_orders_total", "Orders to targets by result.",
			   "result=\"not-sent\""),
	BSH_COUNTER_LABELS("bsh_orders_total", "Orders to targets by result.",
			   "result=\"unknown\""),
};

#define ORDER_TIME(result)                                                     \
	BSH_HISTOGRAM("bsh_order_seconds",                                     \
		      "Time to a target's answer to an order.",                \
		      "result=\"" result "\"")
static bsh_histogram_t order_times[] = {
	[PLATFORM_ORDER_ACCEPTED] = ORDER_TIME("accepted"),
	[PLATFORM_ORDER_HOLDS] = ORDER_TIME("holds"),
	[PLATFORM_ORDER_BUSY] = ORDER_TIME("busy"),
	[PLATFORM_ORDER_FENCED] = ORDER_TIME("fenced"),
	[PLATFORM_ORDER_WRONG] = ORDER_TIME("wrong"),
	[PLATFORM_ORDER_NOT_SENT] = ORDER_TIME("not-sent"),
	[PLATFORM_ORDER_UNKNOWN] = ORDER_TIME("unknown"),
};
/* Orders of this instance by what they ask for. */
enum {
	GIVEN_STORE,
	GIVEN_COPY,
	GIVEN_ADAPTER,
	GIVEN_UNLOAD,
	GIVEN_REPEATED
};
#define GIVEN(what)                                                            \
	BSH_COUNTER_LABELS("bsh_orders_given_total",                           \
			   "Orders by what they ask for; repeated ones count " \
			   "once more.",                                       \
			   "what=\"" what "\"")
static bsh_counter_t given[] = {
	[GIVEN_STORE] = GIVEN("load-from-store"),
	[GIVEN_COPY] = GIVEN("load-from-copy"),
	[GIVEN_ADAPTER] = GIVEN("load-adapter"),
	[GIVEN_UNLOAD] = GIVEN("unload"),
	[GIVEN_REPEATED] = GIVEN("repeated"),
};
static bsh_histogram_t load_time =
	BSH_HISTOGRAM("bsh_load_seconds",
		      "Time from an accepted order to load until the target "
		      "was seen to hold the model or adapter.",
		      NULL);

static service_t *find_service(const orders_t *orders, const char *name)
{
	for (guint i = 0; i < orders->services->len; i++) {
		service_t *service = g_ptr_array_index(orders->services, i);

		if (strcmp(service->service, name) == 0)
			return service;
	}
	return NULL;
}

static order_call_t *new_call(const service_t *service,
			      const bsh_target_t *target)
{
	order_call_t *call = g_new0(order_call_t, 1);

	call->orders = service->orders;
	call->service = g_strdup(service->service);
	call->target = g_strdup(target->id);
	call->began_us = now_us(service->orders);
	return call;
}

static void free_call(order_call_t *call)
{
	g_free(call->service);
	g_free(call->target);
	g_free(call->what);
	g_free(call);
}

static bsh_order_result_t translate(platform_order_result_t result)
{
	switch (result) {
	case PLATFORM_ORDER_ACCEPTED:
		return BSH_ORDER_ACCEPTED;
	case PLATFORM_ORDER_HOLDS:
		return BSH_ORDER_HOLDS;
	case PLATFORM_ORDER_BUSY:
	case PLATFORM_ORDER_FENCED:
		return BSH_ORDER_BUSY;
	case PLATFORM_ORDER_WRONG:
		return BSH_ORDER_WRONG_TARGET;
	case PLATFORM_ORDER_NOT_SENT:
		return BSH_ORDER_NOT_SENT;
	case PLATFORM_ORDER_UNKNOWN:
		break;
	}
	return BSH_ORDER_UNKNOWN;
}

static void on_ordered(void *ctx, platform_order_result_t result)
{
	order_call_t *call = ctx;
	orders_t *orders = call->orders;
	service_t *service = find_service(orders, call->service);

	bsh_counter_add(&results[result], 1);
	bsh_histogram_observe(&order_times[result],
			  now_us(orders) - call->began_us);
	bsh_log(BSH_LOG_INFO,
		"order target=%s %s expected=%" G_GUINT64_FORMAT
		" term=%" G_GUINT64_FORMAT " result=%s took_ms=%d",
		call->target, call->what, call->expected, orders->lease.term,
		platform_order_result_name(result),
		(int)((now_us(orders) - call->began_us) / 1000));
	if (service != NULL)
		bsh_planner_ordered(service->planner, call->target,
				    translate(result), now_us(orders));
	free_call(call);
	/* The next order to this target need not wait for the tick. */
	orders_tick(orders);
}

/* Empty for an order of the model itself. */
static void find_adapter(const bsh_model_rule_t *model, uint32_t hash,
			 char *name, gulong size)
{
	name[0] = '\0';
	for (uint32_t n = 1; hash != 0 && n <= model->adapters; n++) {
		int length = g_snprintf(name, size, "a%u", n);

		if (bsh_catalog_hash(name, (size_t)length) == hash)
			return;
	}
	name[0] = '\0';
}

static const bsh_model_rule_t *find_model(const service_t *service,
					  uint32_t hash)
{
	const bsh_catalog_t *catalog =
		catalogs_current(service->orders->control->catalogs);
	int32_t index = bsh_catalog_service(catalog, service->service);

	if (index < 0)
		return NULL;
	return bsh_service_model(
		bsh_catalog_service_at(catalog, (uint32_t)index), hash);
}

/* What an order is about, for the log. */
static char *describe(const bsh_order_t *order, const bsh_model_rule_t *model,
		      const char *adapter)
{
	return g_strdup_printf("op=%s model=%s%s%s",
			       order->load ? "load" : "unload",
			       model != NULL ? model->name : "-",
			       adapter[0] != '\0' ? "/" : "", adapter);
}

static void send_order(void *ctx, const bsh_target_t *target,
		       const bsh_order_t *order)
{
	service_t *service = ctx;
	orders_t *orders = service->orders;
	const bsh_model_rule_t *model = find_model(service, order->model);
	platform_order_t call_order = {
		.address = target->address,
		.target = target->id,
		.load = order->load,
		.model = model->name,
		.expected = order->expected,
		.holder = orders->control->entry->settings.instance,
		.fence = orders->lease.term,
	};
	char adapter[16];
	order_call_t *call = new_call(service, target);

	find_adapter(model, order->adapter, adapter, sizeof(adapter));
	if (adapter[0] != '\0')
		call_order.adapter = adapter;
	call->expected = order->expected;
	call->what = describe(order, model, adapter);
	order_lease_note(orders, target->id);
	platform_worker_order(orders->control->client, &call_order, on_ordered,
			      call);
}

static void on_done(void *ctx, const bsh_target_t *target,
		    const bsh_order_t *order, int64_t took_us)
{
	const service_t *service = ctx;
	const bsh_model_rule_t *model = find_model(service, order->model);
	g_autofree char *what = NULL;
	char adapter[16] = "";

	if (model != NULL)
		find_adapter(model, order->adapter, adapter, sizeof(adapter));
	what = describe(order, model, adapter);
	if (order->load)
		bsh_histogram_observe(&load_time, took_us);
	bsh_log(BSH_LOG_INFO,
		"order-done target=%s %s expected=%" G_GUINT64_FORMAT
		" term=%" G_GUINT64_FORMAT " took_ms=%d",
		target->id, what, order->expected, service->orders->lease.term,
		(int)(took_us / 1000));
}

static void on_reported(void *ctx, const bsh_target_report_t *report)
{
	order_call_t *call = ctx;
	orders_t *orders = call->orders;
	service_t *service = find_service(orders, call->service);

	if (report == NULL)
		bsh_log(BSH_LOG_INFO, "report-missing target=%s", call->target);
	if (service != NULL)
		bsh_planner_reported(service->planner, call->target, report,
				     now_us(orders));
	free_call(call);
}

static void send_report(void *ctx, const bsh_target_t *target)
{
	service_t *service = ctx;

	platform_worker_report(service->orders->control->client,
			       target->address, target->id, on_reported,
			       new_call(service, target));
}

static void on_placed(void *ctx, const bsh_target_t *target,
		      const bsh_holdings_t *usable, uint64_t version)
{
	service_t *service = ctx;
	control_t *control = service->orders->control;

	(void)usable;
	(void)version;
	if (!orders_is_holder(service->orders))
		return;
	/* The own view changes like that of the others. */
	control_changed(control);
	announcer_changed(control->announcer, target->id);
}

static const bsh_planner_ops_t planner_ops = {
	.order = send_order,
	.report = send_report,
	.placed = on_placed,
	.done = on_done,
};

/* What the holder tells. */

static void take_ready(orders_t *orders, const bsh_msg_placement_t *placement)
{
	int64_t now = now_us(orders);

	if (placement->ready_count == 0)
		return;
	g_array_set_size(orders->ready, 0);
	for (uint32_t i = 0; i < placement->ready_count; i++) {
		const bsh_ready_entry_t *entry = &placement->ready[i];
		view_ready_t ready = { .model = entry->model,
				       .adapter = entry->adapter,
				       .ready_us = INT64_MAX,
				       .told_us = now };

		if (entry->ready_in_ms != UINT32_MAX)
			ready.ready_us = now + entry->ready_in_ms * 1000LL;
		g_array_append_val(orders->ready, ready);
	}
	control_changed(orders->control);
}

/* Counts the announcements that are known without a gap. */
static void count_announcements(orders_t *orders,
				const bsh_msg_placement_t *placement)
{
	/* One part of the answer to an instance that knew nothing. */
	if (placement->from == UINT64_MAX)
		return;
	if (orders->have_term != placement->term) {
		orders->have_term = placement->term;
		/* An instance that has just read the list needs only what follows. */
		orders->have = targets_reached(orders->control->targets)
				       ? placement->from
				       : 0;
	}
	if (placement->from <= orders->have)
		orders->have = MAX(orders->have, placement->to);
	orders->last_told = MAX(placement->to, orders->have);
}

/* The newest message of the holder, by which this instance supports it. */
static void note_echo(orders_t *orders, const bsh_msg_placement_t *placement)
{
	if (placement->term == orders->echo_term &&
	    placement->sent_us <= orders->echo_us)
		return;
	orders->echo_term = placement->term;
	orders->echo_us = placement->sent_us;
	orders->echo_heard_us = now_us(orders);
}

void orders_placement(orders_t *orders, const char *sender,
		      const bsh_msg_placement_t *placement)
{
	int64_t now = now_us(orders);

	if (orders->lease.known && placement->revision < orders->lease.revision)
		return;
	bsh_lease_heard(&orders->lease, sender, placement->active,
			placement->revision, now);
	note_echo(orders, placement);
	if (strcmp(orders->holder, sender) != 0) {
		bsh_log(BSH_LOG_INFO,
			"order-holder name=%s term=%" G_GUINT64_FORMAT, sender,
			placement->term);
		g_strlcpy(orders->holder, sender, sizeof(orders->holder));
	}
	orders->heard_us = now;
	orders->contact_us = now - placement->contact_age_ms * 1000LL;
	for (uint32_t i = 0; i < placement->entry_count; i++)
		targets_told(orders->control->targets, &placement->entries[i],
			     placement->term);
	count_announcements(orders, placement);
	take_ready(orders, placement);
}

/* The list is followed in the store by the holder, and by every instance that
 * does not hear of a holder that reaches the store. */
static void choose_source(orders_t *orders)
{
	int64_t now = now_us(orders);
	bool hears = !orders_is_holder(orders) && orders->have_term > 0 &&
		     now - orders->heard_us <= TOLD_MAX_AGE_US &&
		     now - orders->contact_us <= CONTACT_MAX_AGE_US;
	bool own = !hears;

	if (!hears || orders->have >= orders->last_told) {
		orders->gap_us = 0;
	} else {
		/* A gap that is made up for within a moment changes nothing. */
		if (orders->gap_us == 0)
			orders->gap_us = now;
		own = now - orders->gap_us > GAP_MAX_US;
	}
	if (own)
		targets_follow(orders->control->targets, true);
	else if (targets_listed(orders->control->targets))
		targets_follow(orders->control->targets, false);
}

void orders_send_demand(orders_t *orders, const GArray *entries)
{
	const char *self = orders->control->entry->settings.instance;
	bsh_message_t message = { .type = BSH_MSG_DEMAND };
	bsh_msg_demand_t *demand = &message.demand;

	demand->term = orders->have_term;
	demand->have = orders->have;
	demand->entries = (const bsh_demand_entry_t *)(void *)entries->data;
	demand->entry_count = MIN(entries->len, DEMAND_MAX);
	if (bsh_promise_give(&orders->promise, orders->echo_term,
			     orders->echo_heard_us, now_us(orders))) {
		demand->supports = orders->echo_term;
		demand->echo_us = orders->echo_us;
	}
	demand->reaches_store =
		targets_reached(orders->control->targets) &&
		bsh_loop_clock_us() -
				targets_confirmed_us(orders->control->targets) <
			REACHED_US;
	if (strcmp(orders->holder, self) == 0)
		orders_demand(orders, self, demand);
	else if (orders->holder[0] != '\0')
		peers_send(orders->control->peers, orders->holder, &message);
}

static void add_ready(void *ctx, const bsh_ready_entry_t *entry)
{
	orders_t *orders = ctx;
	view_ready_t ready = { .model = entry->model,
			       .adapter = entry->adapter,
			       .ready_us = INT64_MAX,
			       .told_us = now_us(orders) };

	if (entry->ready_in_ms != UINT32_MAX)
		ready.ready_us = now_us(orders) + entry->ready_in_ms * 1000LL;
	g_array_append_val(orders->ready, ready);
}

static void estimate(orders_t *orders)
{
	guint before = orders->ready->len;

	if (now_us(orders) - orders->estimate_us < ESTIMATE_US)
		return;
	orders->estimate_us = now_us(orders);
	g_array_set_size(orders->ready, 0);
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_ready(service->planner, now_us(orders), add_ready,
				  orders);
	}
	if (before > 0 || orders->ready->len > 0)
		control_changed(orders->control);
}

static void count_given(const orders_t *orders)
{
	int64_t sums[G_N_ELEMENTS(given)] = { 0 };

	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);
		const bsh_planner_stats_t *stats =
			bsh_planner_stats(service->planner);

		sums[GIVEN_STORE] += (int64_t)stats->store_loads;
		sums[GIVEN_COPY] += (int64_t)stats->copy_loads;
		sums[GIVEN_ADAPTER] += (int64_t)stats->adapter_loads;
		sums[GIVEN_UNLOAD] += (int64_t)stats->unloads;
		sums[GIVEN_REPEATED] += (int64_t)stats->repeated;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(given); i++)
		bsh_counter_set(&given[i], sums[i]);
}

void orders_tick(orders_t *orders)
{
	int64_t now = now_us(orders);

	bsh_lease_reached(&orders->lease,
			  targets_reached(orders->control->targets), now);
	order_lease_tick(orders);
	choose_source(orders);
	if (!bsh_lease_is_holder(&orders->lease, now))
		return;
	orders->heard_us = now;
	if (bsh_lease_may_order(&orders->lease, now)) {
		for (guint i = 0; i < orders->services->len; i++) {
			const service_t *service =
				g_ptr_array_index(orders->services, i);

			bsh_planner_tick(service->planner, now);
		}
		estimate(orders);
	}
	if (now - orders->beacon_us >= BEACON_US) {
		count_given(orders);
		orders->beacon_us = now;
		announcer_beacon(orders->control->announcer);
	}
}

static void free_service(void *data)
{
	service_t *service = data;

	bsh_planner_free(service->planner);
	g_free(service->service);
	g_free(service);
}

orders_t *orders_new(control_t *control)
{
	const bsh_settings_t *settings = &control->entry->settings;
	orders_t *orders = g_new0(orders_t, 1);
	order_lease_register();
	for (size_t i = 0; i < G_N_ELEMENTS(results); i++) {
		bsh_counter_register(&results[i]);
		bsh_histogram_register(&order_times[i]);
	}
	bsh_histogram_register(&load_time);
	for (size_t i = 0; i < G_N_ELEMENTS(given); i++)
		bsh_counter_register(&given[i]);
	orders->control = control;
	orders->services = g_ptr_array_new_with_free_func(free_service);
	orders->ready = g_array_new(FALSE, TRUE, sizeof(view_ready_t));
	orders->ordered =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	bsh_quorum_init(&orders->quorum);
	bsh_promise_init(&orders->promise, now_us(orders));
	bsh_lease_init(&orders->lease, settings->instance,
		       settings->entry_order_lease_ms,
		       settings->entry_order_start_ms * 1000U +
			       bsh_lease_delay_us(settings->instance,
						  settings->entry_cpu_share),
		       now_us(orders));
	return orders;
}

void orders_free(orders_t *orders)
{
	g_ptr_array_free(orders->services, TRUE);
	g_array_free(orders->ready, TRUE);
	g_hash_table_destroy(orders->ordered);
	bsh_quorum_finish(&orders->quorum);
	g_free(orders);
}

static void add_target(void *ctx, const bsh_target_t *target)
{
	orders_target(ctx, target);
}

static service_t *add_service(orders_t *orders, const char *name)
{
	const bsh_settings_t *settings = &orders->control->entry->settings;
	bsh_planner_config_t config = {
		.concurrent_loads = settings->entry_store_loads,
		.seed_loads = settings->entry_seed_loads,
	};
	service_t *service = g_new0(service_t, 1);

	service->orders = orders;
	service->service = g_strdup(name);
	service->planner = bsh_planner_new(&config, &planner_ops, service);
	g_ptr_array_add(orders->services, service);
	return service;
}

void orders_set_catalog(orders_t *orders, bsh_catalog_t *catalog)
{
	bool added = false;

	for (guint i = 0; i < catalog->services->len; i++) {
		const bsh_service_rule_t *rule =
			bsh_catalog_service_at(catalog, i);
		service_t *service = find_service(orders, rule->name);

		if (!rule->has_engine)
			continue;
		if (service == NULL) {
			service = add_service(orders, rule->name);
			added = true;
		}
		bsh_planner_set_service(service->planner, catalog, rule);
	}
	if (added)
		targets_foreach(orders->control->targets, add_target, orders);
}

void orders_target(orders_t *orders, const bsh_target_t *target)
{
	const service_t *service = find_service(orders, target->service);

	if (service != NULL)
		bsh_planner_target(service->planner, target, now_us(orders));
}

void orders_target_gone(orders_t *orders, const char *id)
{
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_target_gone(service->planner, id);
	}
	g_hash_table_remove(orders->ordered, id);
}

void orders_demand(orders_t *orders, const char *instance,
		   const bsh_msg_demand_t *demand)
{
	if (demand->supports != 0 && demand->supports == orders->quorum_term)
		bsh_quorum_add(&orders->quorum, instance,
			       (int64_t)demand->echo_us);
	if (demand->reaches_store && strcmp(instance, orders->lease.self) != 0)
		orders->peer_reached_us = now_us(orders);
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_demand(service->planner, instance, demand->entries,
				   demand->entry_count, now_us(orders));
	}
}

void orders_fill(const orders_t *orders, view_t *view)
{
	g_array_append_vals(view->ready, orders->ready->data,
			    orders->ready->len);
	view->has_holder = orders->heard_us > 0 &&
			   now_us(orders) - orders->heard_us < HOLDER_SILENT_US;
}

void orders_release(orders_t *orders)
{
	bsh_lease_release(&orders->lease);
	orders_tick(orders);
}

int64_t orders_told_age_us(const orders_t *orders)
{
	return orders->contact_us > 0 ? now_us(orders) - orders->contact_us
				      : INT64_MAX;
}

bool orders_is_holder(const orders_t *orders)
{
	return bsh_lease_is_holder(&orders->lease, now_us(orders));
}

const bsh_lease_t *orders_lease(const orders_t *orders)
{
	return &orders->lease;
}

const GArray *orders_ready(const orders_t *orders)
{
	return orders->ready;
}

const bsh_holdings_t *orders_usable(const orders_t *orders,
				    const bsh_target_t *target,
				    uint64_t *version)
{
	const service_t *service = find_service(orders, target->service);

	*version = 0;
	if (service == NULL || !orders_is_holder(orders))
		return NULL;
	return bsh_planner_usable(service->planner, target->id, version);
}
