/* Load and unload orders that the lease holder sends to targets, and the
 * placements that it announces to the other instances. */
#include "orders_private.h"

#include <string.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"
#include "platform/target_client.h"

/* Interval of the holder's heartbeats, by which the other instances detect that
 * it is alive. */
#define HEARTBEAT_INTERVAL_US INT64_C(300000)
/* Shortest time between two updates of the estimates of readiness. */
#define ESTIMATE_INTERVAL_US INT64_C(100000)
/* After this long without a message of the holder, views show that no instance
 * gives orders. */
#define HOLDER_TIMEOUT_US INT64_C(4000000)

/* An order is not sent if its connection takes longer: the margin of the lease
 * covers this and the way to the target. */
#define CONNECT_TIME_MAX_US (BSH_LEASE_MARGIN_US * 3 / 4)

/* Demand entries in one datagram.  Those with most waiting requests come first;
 * an entry that is left out is reported once requests wait for it too. */
#define DEMAND_ENTRIES_MAX 40U

static bsh_counter_t order_results[] = {
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
/* Series of bsh_orders_given_total. */
enum {
	ORDERS_GIVEN_STORE,
	ORDERS_GIVEN_COPY,
	ORDERS_GIVEN_ADAPTER,
	ORDERS_GIVEN_UNLOAD,
	ORDERS_GIVEN_REPEATED
};
#define ORDERS_GIVEN_COUNTER(what)                                             \
	BSH_COUNTER_LABELS("bsh_orders_given_total",                           \
			   "Orders by what they ask for; repeated ones count " \
			   "once more.",                                       \
			   "what=\"" what "\"")
static bsh_counter_t loads_failed = BSH_COUNTER(
	"bsh_loads_failed_total",
	"Loads that a target has accepted and whose model it does not hold.");
static bsh_counter_t orders_given[] = {
	[ORDERS_GIVEN_STORE] = ORDERS_GIVEN_COUNTER("load-from-store"),
	[ORDERS_GIVEN_COPY] = ORDERS_GIVEN_COUNTER("load-from-copy"),
	[ORDERS_GIVEN_ADAPTER] = ORDERS_GIVEN_COUNTER("load-adapter"),
	[ORDERS_GIVEN_UNLOAD] = ORDERS_GIVEN_COUNTER("unload"),
	[ORDERS_GIVEN_REPEATED] = ORDERS_GIVEN_COUNTER("repeated"),
};
static bsh_histogram_t load_times =
	BSH_HISTOGRAM("bsh_load_seconds",
		      "Time from an accepted order to load until the target "
		      "was seen to hold the model or adapter.",
		      NULL);

static service_t *find_service(const orders_t *orders, const char *name)
{
	for (guint i = 0; i < orders->services->len; i++) {
		service_t *service = g_ptr_array_index(orders->services, i);

		if (strcmp(service->name, name) == 0)
			return service;
	}
	return NULL;
}

static order_call_t *new_call(const service_t *service,
			      const bsh_target_t *target)
{
	order_call_t *call = g_new0(order_call_t, 1);

	call->orders = service->orders;
	call->service = g_strdup(service->name);
	call->target = g_strdup(target->id);
	call->started_us = now_us(service->orders);
	return call;
}

static void free_call(order_call_t *call)
{
	g_free(call->service);
	g_free(call->target);
	g_free(call->description);
	g_free(call->address);
	g_free(call->model);
	g_free(call->adapter);
	g_free(call);
}

static bsh_order_result_t to_planner_result(platform_order_result_t result)
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

static void on_order_result(void *ctx, platform_order_result_t result)
{
	order_call_t *call = ctx;
	orders_t *orders = call->orders;
	service_t *service = find_service(orders, call->service);

	bsh_counter_add(&order_results[result], 1);
	bsh_histogram_observe(&order_times[result],
			      now_us(orders) - call->started_us);
	bsh_log(BSH_LOG_INFO,
		"order target=%s %s expected=%" G_GUINT64_FORMAT
		" term=%" G_GUINT64_FORMAT " result=%s took_ms=%d",
		call->target, call->description, call->expected,
		orders->lease.term, platform_order_result_name(result),
		(int)((now_us(orders) - call->started_us) / 1000));
	if (service != NULL)
		bsh_planner_order_result(service->planner, call->target,
					 to_planner_result(result),
					 now_us(orders));
	free_call(call);
	/* Sends the next order to this target without waiting for the tick. */
	orders_tick(orders);
}

/* Operation and model or adapter of an order, as keys of a log line. */
static char *describe_order(const bsh_order_t *order,
			    const bsh_model_rule_t *model, const char *adapter)
{
	return g_strdup_printf("op=%s model=%s%s%s",
			       order->load ? "load" : "unload",
			       model != NULL ? model->name : "-",
			       adapter[0] != '\0' ? "/" : "", adapter);
}

bool orders_may_order(const orders_t *orders)
{
	return bsh_lease_may_order(&orders->lease, now_us(orders)) &&
	       !orders->withholds;
}

/* Checked again once there is a connection: a process that was frozen meanwhile
 * sent its order on waking, seconds after its term. */
static bool may_send_call(void *ctx)
{
	const order_call_t *call = ctx;
	const orders_t *orders = call->orders;

	return orders_may_order(orders) &&
	       now_us(orders) - call->sent_us < CONNECT_TIME_MAX_US;
}

void orders_send_call(order_call_t *call)
{
	orders_t *orders = call->orders;
	platform_order_t request = {
		.address = call->address,
		.target = call->target,
		.load = call->load,
		.model = call->model,
		.adapter = call->adapter,
		.expected = call->expected,
		.holder = orders->control->entry->settings.instance,
		.fence = orders->lease.term,
	};

	call->sent_us = now_us(orders);
	order_lease_record_order(orders, call->target);
	platform_target_order(orders->control->client, &request, may_send_call,
			      on_order_result, call);
}

void orders_drop_call(order_call_t *call)
{
	orders_t *orders = call->orders;
	service_t *service = find_service(orders, call->service);

	if (service != NULL)
		bsh_planner_order_result(service->planner, call->target,
					 BSH_ORDER_NOT_SENT, now_us(orders));
	free_call(call);
}

static bool send_order(void *ctx, const bsh_target_t *target,
		       const bsh_order_t *order)
{
	service_t *service = ctx;
	orders_t *orders = service->orders;
	const bsh_model_rule_t *model =
		bsh_planner_model(service->planner, order->model);
	char adapter[BSH_ADAPTER_NAME_SIZE] = "";
	order_call_t *call;

	/* A report that arrives after a release would repeat an unanswered
	 * order. */
	if (!orders_may_order(orders))
		return false;
	/* Without its adapter the order would be one for the model. */
	if (model == NULL ||
	    (order->adapter != 0 &&
	     !bsh_planner_adapter_name(service->planner, order->model,
				       order->adapter, adapter))) {
		bsh_log(BSH_LOG_WARNING,
			"order-not-named target=%s service=%s model=%08x "
			"adapter=%08x",
			target->id, service->name, order->model,
			order->adapter);
		return false;
	}
	call = new_call(service, target);
	call->address = g_strdup(target->address);
	call->load = order->load;
	call->model = g_strdup(model->name);
	call->adapter = order->adapter != 0 ? g_strdup(adapter) : NULL;
	call->expected = order->expected;
	call->description = describe_order(order, model, adapter);
	switch (logged_orders_add(orders, call)) {
	case LOGGED_ORDERS_SEND:
		orders_send_call(call);
		return true;
	case LOGGED_ORDERS_QUEUED:
		return true;
	case LOGGED_ORDERS_FULL:
		break;
	}
	free_call(call);
	return false;
}

static void on_order_done(void *ctx, const bsh_target_t *target,
			  const bsh_order_t *order, int64_t took_us)
{
	const service_t *service = ctx;
	g_autofree char *description = NULL;
	char adapter[BSH_ADAPTER_NAME_SIZE] = "";

	if (order->adapter != 0 &&
	    !bsh_planner_adapter_name(service->planner, order->model,
				      order->adapter, adapter))
		g_strlcpy(adapter, "-", sizeof(adapter));
	description = describe_order(
		order, bsh_planner_model(service->planner, order->model),
		adapter);
	if (order->load)
		bsh_histogram_observe(&load_times, took_us);
	bsh_log(BSH_LOG_INFO,
		"order-done target=%s %s expected=%" G_GUINT64_FORMAT
		" term=%" G_GUINT64_FORMAT " took_ms=%d",
		target->id, description, order->expected,
		service->orders->lease.term, (int)(took_us / 1000));
}

static void on_report(void *ctx, const bsh_target_report_t *report)
{
	order_call_t *call = ctx;
	orders_t *orders = call->orders;
	service_t *service = find_service(orders, call->service);

	if (report == NULL)
		bsh_log(BSH_LOG_INFO, "report-missing target=%s", call->target);
	if (service != NULL)
		bsh_planner_report_result(service->planner, call->target,
					  report, now_us(orders));
	free_call(call);
	logged_orders_flush(orders);
}

static void request_report(void *ctx, const bsh_target_t *target)
{
	service_t *service = ctx;

	platform_target_report(service->orders->control->client,
			       target->address, target->id, on_report,
			       new_call(service, target));
}

static void on_usable_changed(void *ctx, const bsh_target_t *target,
			      const bsh_holdings_t *usable, uint64_t version)
{
	service_t *service = ctx;
	control_t *control = service->orders->control;

	(void)usable;
	(void)version;
	if (!orders_is_holder(service->orders))
		return;
	/* Requests of this instance use the new holdings too. */
	control_schedule_view(control);
	announcer_queue_target(control->announcer, target->id);
}

static const bsh_planner_ops_t planner_ops = {
	.order = send_order,
	.report = request_report,
	.placed = on_usable_changed,
	.done = on_order_done,
};

void orders_send_demand(orders_t *orders, const GArray *entries)
{
	const char *self = orders->control->entry->settings.instance;
	bsh_message_t message = { .type = BSH_MSG_DEMAND };
	bsh_msg_demand_t *demand = &message.demand;

	demand->term = orders->announced.term;
	demand->received_through = orders->announced.through;
	demand->entries = (const bsh_demand_entry_t *)(void *)entries->data;
	demand->entry_count = MIN(entries->len, DEMAND_ENTRIES_MAX);
	if (bsh_promise_give(&orders->promise, orders->echo_term,
			     orders->echo_received_us, now_us(orders))) {
		demand->supported_term = orders->echo_term;
		demand->echo_us = orders->echo_us;
	}
	demand->reaches_store =
		targets_is_synced(orders->control->targets) &&
		bsh_loop_clock_us() -
				targets_confirmed_us(orders->control->targets) <
			BSH_LEASE_STORE_REACHED_MAX_AGE_US;
	if (strcmp(orders->holder, self) == 0)
		orders_receive_demand(orders, self, demand);
	else if (orders->holder[0] != '\0')
		peers_send(orders->control->peers, orders->holder, &message);
}

static void add_ready(void *ctx, const bsh_ready_entry_t *entry)
{
	orders_t *orders = ctx;
	view_ready_t ready = { .model = entry->model,
			       .adapter = entry->adapter,
			       .ready_us = INT64_MAX,
			       .estimated_us = now_us(orders) };

	if (entry->ready_in_ms != UINT32_MAX)
		ready.ready_us = now_us(orders) + entry->ready_in_ms * 1000LL;
	g_array_append_val(orders->ready, ready);
}

static void update_ready_estimates(orders_t *orders)
{
	guint before = orders->ready->len;

	if (now_us(orders) - orders->estimated_us < ESTIMATE_INTERVAL_US)
		return;
	orders->estimated_us = now_us(orders);
	g_array_set_size(orders->ready, 0);
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_estimate_ready(service->planner, now_us(orders),
					   add_ready, orders);
	}
	if (before > 0 || orders->ready->len > 0)
		control_schedule_view(orders->control);
}

static void update_orders_given(const orders_t *orders)
{
	int64_t totals[G_N_ELEMENTS(orders_given)] = { 0 };
	int64_t failed = 0;

	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);
		const bsh_planner_stats_t *stats =
			bsh_planner_stats(service->planner);

		totals[ORDERS_GIVEN_STORE] += (int64_t)stats->store_loads;
		totals[ORDERS_GIVEN_COPY] += (int64_t)stats->copy_loads;
		totals[ORDERS_GIVEN_ADAPTER] += (int64_t)stats->adapter_loads;
		totals[ORDERS_GIVEN_UNLOAD] += (int64_t)stats->unloads;
		totals[ORDERS_GIVEN_REPEATED] += (int64_t)stats->repeated;
		failed += (int64_t)stats->failed_loads;
	}
	if (failed > bsh_counter_get(&loads_failed))
		bsh_log(BSH_LOG_WARNING, "loads-failed total=%" G_GINT64_FORMAT,
			failed);
	bsh_counter_set(&loads_failed, failed);
	for (size_t i = 0; i < G_N_ELEMENTS(orders_given); i++)
		bsh_counter_set(&orders_given[i], totals[i]);
}

void orders_tick(orders_t *orders)
{
	int64_t now = now_us(orders);

	bsh_lease_set_store_reachable(
		&orders->lease, targets_is_synced(orders->control->targets),
		now);
	logged_orders_update_lease(orders);
	order_lease_tick(orders);
	holder_list_choose_source(orders);
	if (!bsh_lease_is_holder(&orders->lease, now)) {
		logged_orders_flush(orders);
		return;
	}
	orders->holder_seen_us = now;
	if (orders_may_order(orders)) {
		for (guint i = 0; i < orders->services->len; i++) {
			const service_t *service =
				g_ptr_array_index(orders->services, i);

			bsh_planner_tick(service->planner, now);
		}
		update_ready_estimates(orders);
	}
	logged_orders_flush(orders);
	if (now - orders->heartbeat_us >= HEARTBEAT_INTERVAL_US) {
		update_orders_given(orders);
		orders->heartbeat_us = now;
		announcer_send_heartbeat(orders->control->announcer);
	}
}

static void free_service(void *data)
{
	service_t *service = data;

	bsh_planner_free(service->planner);
	g_free(service->name);
	g_free(service);
}

orders_t *orders_new(control_t *control)
{
	const bsh_settings_t *settings = &control->entry->settings;
	orders_t *orders = g_new0(orders_t, 1);
	order_lease_register();
	for (size_t i = 0; i < G_N_ELEMENTS(order_results); i++) {
		bsh_counter_register(&order_results[i]);
		bsh_histogram_register(&order_times[i]);
	}
	bsh_histogram_register(&load_times);
	bsh_counter_register(&loads_failed);
	for (size_t i = 0; i < G_N_ELEMENTS(orders_given); i++)
		bsh_counter_register(&orders_given[i]);
	orders->control = control;
	orders->started_us = now_us(orders);
	orders->services = g_ptr_array_new_with_free_func(free_service);
	orders->ready = g_array_new(FALSE, TRUE, sizeof(view_ready_t));
	orders->ordered = order_lease_new_times();
	orders->released = g_array_new(FALSE, FALSE, sizeof(bsh_order_time_t));
	bsh_order_list_init(&orders->received);
	bsh_candidates_init(&orders->candidates);
	bsh_quorum_init(&orders->quorum);
	bsh_promise_init(&orders->promise, now_us(orders));
	bsh_lease_init(
		&orders->lease, settings->instance,
		settings->entry_order_lease_ms,
		settings->entry_order_start_ms * 1000U +
			bsh_lease_takeover_delay_us(settings->instance,
						    settings->entry_cpu_share),
		now_us(orders));
	bsh_lease_set_released_delay(
		&orders->lease,
		bsh_lease_released_delay_us(settings->instance,
					    settings->entry_cpu_share));
	logged_orders_init(orders);
	return orders;
}

void orders_free(orders_t *orders)
{
	logged_orders_finish(orders);
	g_ptr_array_free(orders->services, TRUE);
	g_array_free(orders->ready, TRUE);
	g_hash_table_destroy(orders->ordered);
	g_array_free(orders->released, TRUE);
	bsh_order_list_finish(&orders->received);
	bsh_candidates_finish(&orders->candidates);
	bsh_quorum_finish(&orders->quorum);
	g_free(orders);
}

static void add_target(void *ctx, const bsh_target_t *target)
{
	orders_update_target(ctx, target);
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
	service->name = g_strdup(name);
	service->planner = bsh_planner_new(&config, &planner_ops, service);
	g_ptr_array_add(orders->services, service);
	order_lease_defer_recent(orders, service);
	return service;
}

/* Ends the planners of services that have left the configuration, or have no
 * engine any more. */
static void end_unlisted_services(orders_t *orders,
				  const bsh_catalog_t *catalog)
{
	for (guint i = 0; i < orders->services->len; i++) {
		service_t *service = g_ptr_array_index(orders->services, i);
		int32_t index = bsh_catalog_service(catalog, service->name);

		if (index >= 0 &&
		    bsh_catalog_service_at(catalog, (uint32_t)index)
			    ->has_engine)
			continue;
		bsh_planner_end_service(service->planner);
	}
}

void orders_set_catalog(orders_t *orders, bsh_catalog_t *catalog)
{
	bool added = false;

	end_unlisted_services(orders, catalog);
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

void orders_update_target(orders_t *orders, const bsh_target_t *target)
{
	const service_t *service = find_service(orders, target->service);

	if (service != NULL)
		bsh_planner_update_target(service->planner, target,
					  now_us(orders));
}

void orders_remove_target(orders_t *orders, const char *id)
{
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_remove_target(service->planner, id, now_us(orders));
	}
}

void orders_receive_demand(orders_t *orders, const char *instance,
			   const bsh_msg_demand_t *demand)
{
	if (demand->supported_term != 0 &&
	    demand->supported_term == orders->quorum_term)
		bsh_quorum_add(&orders->quorum, instance,
			       (int64_t)demand->echo_us);
	if (demand->reaches_store && strcmp(instance, orders->lease.self) != 0)
		orders->peer_reached_us = now_us(orders);
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_update_demand(service->planner, instance,
					  demand->entries, demand->entry_count,
					  now_us(orders));
	}
}

void orders_check_target(orders_t *orders, uint32_t key)
{
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_check_target(service->planner, key, now_us(orders));
	}
}

void orders_note_loads(orders_t *orders, const GArray *sums)
{
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_update_loads(
			service->planner,
			(const bsh_load_entry_t *)(void *)sums->data,
			sums->len);
	}
}

void orders_fill(const orders_t *orders, view_t *view)
{
	g_array_append_vals(view->ready, orders->ready->data,
			    orders->ready->len);
	view->has_holder =
		orders->holder_seen_us > 0 &&
		now_us(orders) - orders->holder_seen_us < HOLDER_TIMEOUT_US;
}

void orders_release_lease(orders_t *orders)
{
	bsh_lease_release(&orders->lease);
	orders_tick(orders);
}

int64_t orders_holder_contact_age_us(const orders_t *orders)
{
	return orders->holder_contact_us > 0
		       ? now_us(orders) - orders->holder_contact_us
		       : INT64_MAX;
}

bool orders_is_holder(const orders_t *orders)
{
	return bsh_lease_is_holder(&orders->lease, now_us(orders));
}

const char *orders_holder(const orders_t *orders)
{
	return orders->holder;
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
