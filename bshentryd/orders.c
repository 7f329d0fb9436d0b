/* The lease, and the orders to targets that its holder gives. */
#include "control.h"

#include <string.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"
#include "coordination/quorum.h"
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

/* A holder that the store has not answered for this time hands its lease over
 * to an instance that the store answers; renewals come six times as often. */
#define CUT_OFF_US INT64_C(1200000)
/* What instances say of the store is new for this time. */
#define REACHED_US INT64_C(1000000)
/* A release is told so often, in case datagrams are lost. */
#define RELEASE_TIMES 3U
/* Targets in a release: as many as fit into a datagram. */
#define ORDERED_MAX 40U

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
	int64_t contact_us; /* when the store last answered that holder */
	bsh_promise_t promise;
	bsh_quorum_t quorum;
	uint64_t quorum_term;
	uint64_t echo_term; /* of the holder's last message */
	uint64_t echo_us;   /* its sent_us */
	int64_t echo_heard_us;
	int64_t peer_reached_us; /* last time that one said so */
	int64_t first_order_us;	 /* as it was logged */
	uint64_t released_revision;
	uint32_t tell_release; /* times that a release is still told */
	GHashTable *ordered;   /* target to when it was last ordered */
	uint64_t have_term;    /* of the announcements that are counted */
	uint64_t have;	       /* known without a gap up to this one */
	uint64_t last_told;
	int64_t gap_us; /* since when announcements are missing; 0: none are */
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
	bsh_histogram_add(&order_times[result],
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

static void note_ordered(const orders_t *orders, const char *target,
			 int64_t ordered_us)
{
	int64_t *known_us = g_hash_table_lookup(orders->ordered, target);

	if (known_us == NULL) {
		known_us = g_new0(int64_t, 1);
		g_hash_table_insert(orders->ordered, g_strdup(target),
				    known_us);
	}
	*known_us = MAX(*known_us, ordered_us);
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
	note_ordered(orders, target->id, now_us(orders));
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
		bsh_histogram_add(&load_time, took_us);
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

/* Time after an order in which no other holder may order its target. */
static int64_t order_gap_us(const orders_t *orders)
{
	return orders->lease.lease_us + BSH_LEASE_MARGIN_US;
}

/* The list of a former holder is passed on with the own one. */
static void hold_target(const orders_t *orders, const char *target,
			int64_t age_us)
{
	int64_t ordered_us = now_us(orders) - age_us;

	note_ordered(orders, target, ordered_us);
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_hold(service->planner, target,
				 ordered_us + order_gap_us(orders),
				 now_us(orders));
	}
}

typedef void (*ordered_fn_t)(void *ctx, const char *target, uint32_t age_ms);

/* Targets that were ordered lately, and how long ago. */
static void foreach_ordered(const orders_t *orders, ordered_fn_t fn, void *ctx)
{
	GHashTableIter iter;
	void *target;
	void *at_us;

	g_hash_table_iter_init(&iter, orders->ordered);
	while (g_hash_table_iter_next(&iter, &target, &at_us)) {
		int64_t age_us = now_us(orders) - *(const int64_t *)at_us;

		if (age_us < order_gap_us(orders))
			fn(ctx, target, (uint32_t)(age_us / 1000));
	}
}

static void add_to_object(void *ctx, const char *target, uint32_t age_ms)
{
	json_object_set_new(ctx, target, json_integer(age_ms));
}

static void add_to_array(void *ctx, const char *target, uint32_t age_ms)
{
	bsh_ordered_entry_t entry = { target, age_ms };

	g_array_append_val((GArray *)ctx, entry);
}

/* The former holder has stopped; what it ordered lately has to wait.  False if
 * it left no list. */
static bool take_ordered(orders_t *orders, const json_t *spec)
{
	const json_t *list = json_object_get(spec, "ordered_ms");
	const char *target;
	const json_t *age;
	void *iter;

	if (!json_is_object(list))
		return false;
	for (iter = json_object_iter((json_t *)list); iter != NULL;
	     iter = json_object_iter_next((json_t *)list, iter)) {
		target = json_object_iter_key(iter);
		age = json_object_iter_value(iter);
		hold_target(orders, target, 1000 * json_integer_value(age));
	}
	return true;
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
	if (holder != NULL && holder[0] == '\0' &&
	    take_ordered(orders, answer->objects[0].spec))
		bsh_lease_set_clean(&orders->lease, revision);
}

static json_t *lease_spec(const orders_t *orders)
{
	/* The time makes each renewal a change, which raises the revision. */
	json_t *spec =
		json_pack("{s:s, s:b, s:I}", "holder",
			  orders->lease.releasing ? "" : orders->lease.self,
			  "active", orders->lease.began_active, "renewed_us",
			  (json_int_t)g_get_real_time());

	if (orders->lease.releasing &&
	    bsh_lease_is_list_whole(&orders->lease, now_us(orders))) {
		json_t *list = json_object();

		foreach_ordered(orders, add_to_object, list);
		json_object_set_new(spec, "ordered_ms", list);
	}
	return spec;
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

static GArray *list_ordered(const orders_t *orders)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(bsh_ordered_entry_t));

	foreach_ordered(orders, add_to_array, list);
	return list;
}

static void tell_release(orders_t *orders)
{
	g_autoptr(GArray) list = list_ordered(orders);
	bsh_message_t message = { .type = BSH_MSG_RELEASE };
	bsh_msg_release_t *release = &message.release;

	/* Another instance has taken the lease: what is told now would be
	 * about its term. */
	if (orders->lease.revision != orders->released_revision) {
		orders->tell_release = 0;
		return;
	}
	release->term = orders->lease.term;
	release->revision = orders->released_revision;
	release->active = orders->lease.active;
	release->listed =
		list->len <= ORDERED_MAX &&
		bsh_lease_is_list_whole(&orders->lease, now_us(orders));
	if (release->listed) {
		release->ordered =
			(const bsh_ordered_entry_t *)(void *)list->data;
		release->ordered_count = list->len;
	}
	peers_broadcast(orders->control->peers, &message);
	orders->tell_release--;
}

/* The store answers others, but not this instance: one of them can go on at
 * once.  While it answers nobody, this one goes on with a majority. */
static void consider_handover(orders_t *orders)
{
	int64_t contact_us =
		bsh_loop_clock_us() - orders->control->store.answered_us;
	g_autoptr(GArray) list = NULL;

	if (contact_us < CUT_OFF_US ||
	    now_us(orders) - orders->peer_reached_us > REACHED_US ||
	    !orders_is_holder(orders))
		return;
	list = list_ordered(orders);
	if (list->len > ORDERED_MAX ||
	    !bsh_lease_hand_over(&orders->lease, now_us(orders)))
		return;
	bsh_log(BSH_LOG_WARNING,
		"lease-handed-over term=%" G_GUINT64_FORMAT
		" revision=%" G_GUINT64_FORMAT " store_age_ms=%d",
		orders->lease.term, orders->lease.revision,
		(int)(contact_us / 1000));
}

static void log_term(orders_t *orders, bool holder)
{
	orders->first_order_us = orders->lease.first_order_us;
	bsh_log(BSH_LOG_INFO,
		"order-lease held=%d term=%" G_GUINT64_FORMAT
		" revision=%" G_GUINT64_FORMAT " first_order_in_ms=%d",
		holder, orders->lease.term, orders->lease.revision,
		(int)((orders->first_order_us - now_us(orders)) / 1000));
}

static void note_term(orders_t *orders)
{
	bool holder = bsh_lease_is_holder(&orders->lease, now_us(orders));

	if (holder == orders->was_holder) {
		/* A majority makes the wait of a new holder shorter. */
		if (holder &&
		    orders->first_order_us != orders->lease.first_order_us)
			log_term(orders, holder);
		return;
	}
	orders->was_holder = holder;
	bsh_counter_set(&holding, holder);
	log_term(orders, holder);
	if (!holder) {
		if (orders->lease.holder[0] == '\0') {
			orders->released_revision = orders->lease.revision;
			orders->tell_release = RELEASE_TIMES;
		}
		return;
	}
	orders->tell_release = 0;
	g_strlcpy(orders->holder, orders->lease.self, sizeof(orders->holder));
	announcer_begin(orders->control->announcer);
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_begin(service->planner);
	}
}

void orders_released(orders_t *orders, const char *sender,
		     const bsh_msg_release_t *release)
{
	if (!bsh_lease_released(&orders->lease, sender, release->active,
				release->listed, release->revision,
				now_us(orders)))
		return;
	for (uint32_t i = 0; i < release->ordered_count; i++)
		hold_target(orders, release->ordered[i].target,
			    1000 * (int64_t)release->ordered[i].age_ms);
	bsh_promise_end(&orders->promise, release->term, now_us(orders));
	orders->contact_us = 0;
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

/* Counts who supports the own term; the holder is one of them. */
static void count_support(orders_t *orders)
{
	bsh_lease_t *lease = &orders->lease;
	int64_t now = now_us(orders);

	if (!bsh_lease_is_holder(lease, now))
		return;
	if (orders->quorum_term != lease->term) {
		orders->quorum_term = lease->term;
		bsh_quorum_begin(&orders->quorum);
	}
	if (bsh_promise_give(&orders->promise, lease->term, now, now))
		bsh_quorum_add(&orders->quorum, lease->self, now);
	bsh_quorum_known(&orders->quorum, peers_known(orders->control->peers),
			 now);
	bsh_lease_supported(lease, bsh_quorum_until(&orders->quorum), now);
}

void orders_tick(orders_t *orders)
{
	int64_t now = now_us(orders);

	bsh_lease_reached(&orders->lease,
			  targets_reached(orders->control->targets), now);
	call_lease(orders);
	count_support(orders);
	consider_handover(orders);
	note_term(orders);
	if (orders->tell_release > 0)
		tell_release(orders);
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
	bsh_counter_register(&holding);
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
