/* The lease, and the orders to targets that its holder gives. */
#include "control.h"

#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"
#include "platform/worker.h"

/* Between messages of the holder, by which the others know that it lives. */
#define BEACON_US INT64_C(300000)
/* An estimate is passed on again after this time at the earliest. */
#define ESTIMATE_US INT64_C(100000)
/* Without a message of the holder for this long, no orders are expected. */
#define HOLDER_SILENT_US INT64_C(4000000)
/* What a beacon repeats of the placement, so that lost messages are made up. */
#define BEACON_TARGETS 4U
#define READY_MAX      40U

#define LEASE_OBJECT "orders"

typedef struct {
	orders_t *orders;
	char *service;
	bsh_planner_t *planner;
} service_t;

struct orders {
	control_t *control;
	bsh_lease_t lease;
	bool was_holder;
	GPtrArray *services; /* service_t */
	GArray *ready;	     /* view_ready_t, own or as told by the holder */
	int64_t beacon_us;
	int64_t estimate_us;
	uint32_t beacon_next;	    /* target that the next beacon repeats */
	char holder[BSH_NAME_SIZE]; /* as last heard */
	int64_t heard_us;
};

/* An order or a question that is out. */
typedef struct {
	orders_t *orders;
	char *service;
	char *target;
	char *what; /* for the log */
	uint64_t expected;
	int64_t began_us;
} order_call_t;

static bsh_counter_t holding =
	BSH_GAUGE("bsh_order_lease_held", "1 while this instance may order.");
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

static int64_t now_us(const orders_t *orders)
{
	return control_now_us(orders->control);
}

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

static void send_order(void *ctx, const bsh_target_t *target,
		       const bsh_order_t *order)
{
	service_t *service = ctx;
	orders_t *orders = service->orders;
	const bsh_catalog_t *catalog =
		catalogs_current(orders->control->catalogs);
	int32_t index = bsh_catalog_service(catalog, service->service);
	const bsh_service_rule_t *rule =
		bsh_catalog_service_at(catalog, (uint32_t)index);
	const bsh_model_rule_t *model = bsh_service_model(rule, order->model);
	platform_order_t call_order = {
		.address = target->address,
		.target = target->id,
		.load = order->load,
		.model = model->name,
		.expected = order->expected,
		.holder = orders->control->entry->settings.instance,
		.fence = orders->lease.term,
	};
	char adapter[16] = "";
	order_call_t *call = new_call(service, target);

	for (uint32_t n = 1; order->adapter != 0 && n <= model->adapters; n++) {
		int size = g_snprintf(adapter, sizeof(adapter), "a%u", n);

		if (bsh_catalog_hash(adapter, (size_t)size) == order->adapter)
			break;
	}
	if (adapter[0] != '\0')
		call_order.adapter = adapter;
	call->expected = order->expected;
	call->what = g_strdup_printf(
		"op=%s model=%s%s%s", order->load ? "load" : "unload",
		model->name, adapter[0] != '\0' ? "/" : "", adapter);
	platform_worker_order(orders->control->client, &call_order, on_ordered,
			      call);
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

/* Messages to the other instances. */

static void encode_pairs(const bsh_holdings_t *holdings, uint32_t *pairs)
{
	for (uint32_t i = 0; i < holdings->n; i++) {
		pairs[2 * i] = GUINT32_TO_BE(holdings->items[i].model);
		pairs[2 * i + 1] = GUINT32_TO_BE(holdings->items[i].adapter);
	}
}

static void send_placement(orders_t *orders,
			   const bsh_placement_entry_t *entries, uint32_t n,
			   bool with_ready)
{
	bsh_message_t message = { .type = BSH_MSG_PLACEMENT };
	bsh_ready_entry_t ready[READY_MAX];
	int64_t now = now_us(orders);
	uint32_t n_ready = 0;

	for (guint i = 0;
	     with_ready && i < orders->ready->len && n_ready < READY_MAX; i++) {
		const view_ready_t *item =
			&g_array_index(orders->ready, view_ready_t, i);

		ready[n_ready].model = item->model;
		ready[n_ready].adapter = item->adapter;
		ready[n_ready].ready_in_ms =
			item->ready_us == INT64_MAX
				? UINT32_MAX
				: (uint32_t)(MAX(item->ready_us - now, 0) /
					     1000);
		n_ready++;
	}
	message.placement.term = orders->lease.term;
	message.placement.revision = orders->lease.revision;
	message.placement.released = orders->lease.holder[0] == '\0';
	message.placement.entries = entries;
	message.placement.entry_count = n;
	message.placement.ready = ready;
	message.placement.ready_count = n_ready;
	peers_broadcast(orders->control->peers, &message);
}

static void fill_entry(bsh_placement_entry_t *entry, const bsh_target_t *target,
		       const bsh_holdings_t *usable, uint64_t version,
		       uint32_t *pairs)
{
	encode_pairs(usable, pairs);
	entry->target = target->id;
	entry->started_ms = target->started_ms;
	entry->version = version;
	entry->holdings = (const uint8_t *)pairs;
	entry->holdings_bytes = usable->n * 2 * (uint32_t)sizeof(uint32_t);
}

static void on_placed(void *ctx, const bsh_target_t *target,
		      const bsh_holdings_t *usable, uint64_t version)
{
	service_t *service = ctx;
	orders_t *orders = service->orders;
	uint32_t pairs[2 * BSH_TARGET_HOLDINGS_MAX];
	bsh_placement_entry_t entry;

	if (!bsh_lease_is_holder(&orders->lease, now_us(orders)))
		return;
	fill_entry(&entry, target, usable, version, pairs);
	targets_placed(orders->control->targets, &entry, orders->lease.term);
	send_placement(orders, &entry, 1, false);
}

static const bsh_planner_ops_t planner_ops = {
	.order = send_order,
	.report = send_report,
	.placed = on_placed,
};

typedef struct {
	bsh_placement_entry_t entries[BEACON_TARGETS];
	uint32_t pairs[BEACON_TARGETS][2 * BSH_TARGET_HOLDINGS_MAX];
	uint32_t n;
	uint32_t seen;
	uint32_t from;
} beacon_t;

static void add_to_beacon(void *ctx, const bsh_target_t *target,
			  const bsh_holdings_t *usable, uint64_t version)
{
	beacon_t *beacon = ctx;

	if (beacon->seen++ < beacon->from || beacon->n == BEACON_TARGETS)
		return;
	fill_entry(&beacon->entries[beacon->n], target, usable, version,
		   beacon->pairs[beacon->n]);
	beacon->n++;
}

static void send_beacon(orders_t *orders)
{
	beacon_t beacon = { .from = orders->beacon_next };

	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_foreach(service->planner, add_to_beacon, &beacon);
	}
	orders->beacon_next = beacon.from + BEACON_TARGETS < beacon.seen
				      ? beacon.from + BEACON_TARGETS
				      : 0;
	send_placement(orders, beacon.entries, beacon.n, true);
}

void orders_placement(orders_t *orders, const char *sender,
		      const bsh_msg_placement_t *placement)
{
	int64_t now = now_us(orders);

	if (orders->lease.known && placement->revision < orders->lease.revision)
		return;
	bsh_lease_heard(&orders->lease, placement->released ? "" : sender,
			placement->revision, now);
	if (strcmp(orders->holder, sender) != 0) {
		bsh_log(BSH_LOG_INFO,
			"order-holder name=%s term=%" G_GUINT64_FORMAT, sender,
			placement->term);
		g_strlcpy(orders->holder, sender, sizeof(orders->holder));
	}
	orders->heard_us = now;
	for (uint32_t i = 0; i < placement->entry_count; i++)
		targets_placed(orders->control->targets, &placement->entries[i],
			       placement->term);
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

/* The lease. */

static bsh_lease_result_t lease_result(platform_result_t result)
{
	switch (result) {
	case PLATFORM_DONE:
		return BSH_LEASE_DONE;
	case PLATFORM_CONFLICT:
		return BSH_LEASE_CONFLICT;
	case PLATFORM_ABSENT:
		return BSH_LEASE_ABSENT;
	case PLATFORM_REFUSED:
	case PLATFORM_HISTORY_GONE:
		return BSH_LEASE_FAILED;
	case PLATFORM_UNKNOWN:
		break;
	}
	return BSH_LEASE_UNKNOWN;
}

static void on_lease_answer(void *ctx, const platform_answer_t *answer)
{
	orders_t *orders = ctx;
	const char *holder = NULL;
	uint64_t revision = answer->revision;
	bool active = false;

	if (answer->n > 0) {
		const json_t *spec = answer->objects[0].spec;

		holder = json_string_value(json_object_get(spec, "holder"));
		active = json_is_true(json_object_get(spec, "active"));
		revision = answer->objects[0].revision;
	}
	if (answer->result != PLATFORM_DONE)
		bsh_log(BSH_LOG_INFO,
			"lease-call result=%s status=%d holder=%s "
			"revision=%" G_GUINT64_FORMAT " took_ms=%d",
			platform_result_name(answer->result), answer->status,
			holder != NULL ? holder : "-", revision,
			(int)(answer->took_us / 1000));
	bsh_lease_done(&orders->lease, lease_result(answer->result), holder,
		       active, revision, now_us(orders));
}

static json_t *lease_spec(const orders_t *orders)
{
	/* The time makes each renewal a change, which raises the revision. */
	return json_pack("{s:s, s:b, s:I}", "holder",
			 orders->lease.releasing ? "" : orders->lease.self,
			 "active",
			 bsh_lease_may_order(&orders->lease, now_us(orders)),
			 "renewed_us", (json_int_t)g_get_real_time());
}

static void call_lease(orders_t *orders)
{
	platform_store_t *store = &orders->control->store;

	switch (bsh_lease_next(&orders->lease, now_us(orders))) {
	case BSH_LEASE_NOTHING:
		break;
	case BSH_LEASE_CREATE:
		platform_store_create(store, PLATFORM_KIND_LEASES, LEASE_OBJECT,
				      lease_spec(orders), on_lease_answer,
				      orders);
		break;
	case BSH_LEASE_REPLACE:
		platform_store_replace(store, PLATFORM_KIND_LEASES,
				       LEASE_OBJECT, orders->lease.revision,
				       lease_spec(orders), on_lease_answer,
				       orders);
		break;
	case BSH_LEASE_READ:
		platform_store_get(store, PLATFORM_KIND_LEASES, LEASE_OBJECT,
				   on_lease_answer, orders);
		break;
	}
}

static void note_term(orders_t *orders)
{
	bool holder = bsh_lease_is_holder(&orders->lease, now_us(orders));

	if (holder == orders->was_holder)
		return;
	orders->was_holder = holder;
	bsh_counter_set(&holding, holder);
	bsh_log(BSH_LOG_INFO,
		"order-lease held=%d term=%" G_GUINT64_FORMAT
		" revision=%" G_GUINT64_FORMAT " first_order_in_ms=%d",
		holder, orders->lease.term, orders->lease.revision,
		(int)((orders->lease.first_order_us - now_us(orders)) / 1000));
	if (!holder) {
		if (orders->lease.holder[0] == '\0')
			send_beacon(orders);
		return;
	}
	g_strlcpy(orders->holder, orders->lease.self, sizeof(orders->holder));
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_begin(service->planner);
	}
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

void orders_tick(orders_t *orders)
{
	int64_t now = now_us(orders);

	call_lease(orders);
	note_term(orders);
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
		orders->beacon_us = now;
		send_beacon(orders);
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
	/* The one whose name hashes lowest tries first, the others a little
	 * later, when they have heard of it. */
	uint32_t spread_us =
		XXH32(settings->instance, strlen(settings->instance), 0) %
		400000U;

	bsh_counter_register(&holding);
	for (size_t i = 0; i < G_N_ELEMENTS(results); i++)
		bsh_counter_register(&results[i]);
	orders->control = control;
	orders->services = g_ptr_array_new_with_free_func(free_service);
	orders->ready = g_array_new(FALSE, TRUE, sizeof(view_ready_t));
	bsh_lease_init(&orders->lease, settings->instance,
		       settings->entry_order_lease_ms,
		       settings->entry_order_start_ms * 1000U + spread_us,
		       now_us(orders));
	return orders;
}

void orders_free(orders_t *orders)
{
	g_ptr_array_free(orders->services, TRUE);
	g_array_free(orders->ready, TRUE);
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
}

void orders_demand(orders_t *orders, const char *instance,
		   const bsh_demand_entry_t *entries, uint32_t n)
{
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_demand(service->planner, instance, entries, n,
				   now_us(orders));
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

const char *orders_holder(const orders_t *orders)
{
	return orders->holder;
}
