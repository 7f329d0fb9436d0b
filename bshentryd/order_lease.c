/* The lease of the instance that gives orders to targets: calls to the store,
 * the quorum that extends it, release and handover. */
#include "orders_private.h"

#include <string.h>

#include "base/counter.h"
#include "base/json_text.h"
#include "base/log.h"
#include "base/name.h"

/* Times that the messages of a release are sent, as datagrams may be lost. */
#define RELEASE_SENDS 4U
/* Of these, the last ones that include a RELEASE without a list: a successor that
 * lacks a part takes over 60 ms after it, and waits for all targets then. */
#define RELEASE_SENDS_UNLISTED 2U
/* Targets in a RELEASE message: as many as fit into a datagram.  More are listed
 * by their keys, in RELEASE_KEYS messages. */
#define RELEASE_TARGETS_MAX 40U

#define LEASE_OBJECT "orders"

/* Interval at which the voters that this instance would name are chosen. */
#define VOTERS_INTERVAL_US INT64_C(500000)
/* Interval at which larger instances are looked for. */
#define YIELDS_INTERVAL_US INT64_C(250000)
/* Time for which the choice must not change before it is named: instances are
 * discovered one after the other, and each change needs the voters of the one
 * before for some time. */
#define VOTERS_SETTLE_US INT64_C(2000000)

static bsh_counter_t lease_held =
	BSH_GAUGE("bsh_order_lease_held", "1 while this instance may order.");

/* Last order to the targets with one key. */
typedef struct {
	char *target; /* NULL: not known by its name */
	bool shared;  /* several targets have the key */
	int64_t last_us;
} ordered_t;

static void free_ordered(void *data)
{
	ordered_t *ordered = data;

	g_free(ordered->target);
	g_free(ordered);
}

GHashTable *order_lease_new_times(void)
{
	return g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
				     free_ordered);
}

static void note_name(ordered_t *ordered, const char *target)
{
	if (ordered->target == NULL)
		ordered->target = g_strdup(target);
	else if (strcmp(ordered->target, target) != 0)
		ordered->shared = true;
}

/* Records the time of an order for the list that is part of a released lease.
 */
static ordered_t *record_order_time(const orders_t *orders, uint32_t key,
				    int64_t ordered_us)
{
	ordered_t *ordered =
		g_hash_table_lookup(orders->ordered, GUINT_TO_POINTER(key));

	if (ordered == NULL) {
		ordered = g_new0(ordered_t, 1);
		g_hash_table_insert(orders->ordered, GUINT_TO_POINTER(key),
				    ordered);
	}
	ordered->last_us = MAX(ordered->last_us, ordered_us);
	return ordered;
}

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

int64_t order_lease_exclusion_us(const orders_t *orders)
{
	return orders->lease.lease_us + BSH_LEASE_MARGIN_US;
}

void order_lease_exclude_target(const orders_t *orders, uint32_t key,
				int64_t ordered_us)
{
	record_order_time(orders, key, ordered_us);
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_defer_orders(
			service->planner, key,
			ordered_us + order_lease_exclusion_us(orders),
			now_us(orders));
	}
}

typedef void (*ordered_fn_t)(void *ctx, uint32_t key, const ordered_t *ordered);

/* Calls fn for each target whose last order is within the exclusion time, and
 * forgets the others. */
static void foreach_ordered(const orders_t *orders, ordered_fn_t fn, void *ctx)
{
	GHashTableIter iter;
	void *key;
	void *ordered;

	g_hash_table_iter_init(&iter, orders->ordered);
	while (g_hash_table_iter_next(&iter, &key, &ordered)) {
		if (now_us(orders) - ((const ordered_t *)ordered)->last_us <
		    order_lease_exclusion_us(orders))
			fn(ctx, GPOINTER_TO_UINT(key), ordered);
		else
			g_hash_table_iter_remove(&iter);
	}
}

static uint32_t order_age_ms(const orders_t *orders, const ordered_t *ordered)
{
	/* An order of a former holder may still be given. */
	return (uint32_t)(MAX(now_us(orders) - ordered->last_us, 0) / 1000);
}

static void count_ordered(void *ctx, uint32_t key, const ordered_t *ordered)
{
	(void)key;
	(void)ordered;
	++*(uint32_t *)ctx;
}

uint32_t order_lease_count_recent(const orders_t *orders)
{
	uint32_t n = 0;

	foreach_ordered(orders, count_ordered, &n);
	return n;
}

static void add_key(void *ctx, uint32_t key, const ordered_t *ordered)
{
	bsh_order_time_t entry = { key, ordered->last_us };

	g_array_append_val((GArray *)ctx, entry);
}

/* A list that names targets. */
typedef struct {
	const orders_t *orders;
	GArray *names;	/* bsh_recent_order_t; strings of orders->ordered */
	bool all_named; /* each target has a name that no other shares */
} named_list_t;

static void add_name(void *ctx, uint32_t key, const ordered_t *ordered)
{
	named_list_t *list = ctx;
	bsh_recent_order_t entry = { ordered->target,
				     order_age_ms(list->orders, ordered) };

	(void)key;
	if (ordered->target == NULL || ordered->shared)
		list->all_named = false;
	else
		g_array_append_val(list->names, entry);
}

static void resolve_name(void *ctx, const bsh_target_t *target)
{
	const orders_t *orders = ctx;
	ordered_t *ordered = g_hash_table_lookup(
		orders->ordered, GUINT_TO_POINTER(bsh_target_key(target->id)));

	if (ordered != NULL)
		note_name(ordered, target->id);
}

/* Lists the recent orders by the names of their targets; false if one of them
 * is known by its key only. */
static bool list_names(orders_t *orders, GArray *names)
{
	named_list_t list = { orders, names, true };

	targets_foreach(orders->control->targets, resolve_name, orders);
	foreach_ordered(orders, add_name, &list);
	return list.all_named;
}

typedef struct {
	const orders_t *orders;
	const service_t *service;
} deferral_t;

static void defer_orders(void *ctx, uint32_t key, const ordered_t *ordered)
{
	const deferral_t *deferral = ctx;

	bsh_planner_defer_orders(
		deferral->service->planner, key,
		ordered->last_us + order_lease_exclusion_us(deferral->orders),
		now_us(deferral->orders));
}

void order_lease_defer_recent(const orders_t *orders, const service_t *service)
{
	deferral_t deferral = { orders, service };

	foreach_ordered(orders, defer_orders, &deferral);
}

static bool decode_key(const char *text, uint32_t *key)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 16, 0, UINT32_MAX, &value, NULL))
		return false;
	*key = (uint32_t)value;
	return true;
}

/* Excludes the targets that the former holder listed in the released lease.
 * Returns false if the lease contains no list, or one that cannot be read. */
static bool exclude_listed_targets(orders_t *orders, const json_t *spec)
{
	json_t *names = json_object_get(spec, "ordered_ms");
	json_t *keys = json_object_get(spec, "ordered_keys_ms");
	bool has_names = json_is_object(names);
	json_t *list = has_names ? names : keys;
	const char *target;
	json_t *age;
	uint32_t key;

	if (!json_is_object(list))
		return false;
	json_object_foreach(list, target, age)
	{
		if (has_names)
			key = bsh_target_key(target);
		else if (!decode_key(target, &key))
			return false;
		order_lease_exclude_target(
			orders, key,
			now_us(orders) - 1000 * json_integer_value(age));
	}
	return true;
}

/* The object names the epoch of the store that its writer knew.  One that was
 * written in an earlier epoch comes from the copy from which the store was
 * restored, or from an update that arrived late. */
static bool is_from_before_restore(const json_t *spec, uint64_t revision)
{
	return json_integer_value(json_object_get(spec, "epoch")) !=
	       (json_int_t)platform_revision_epoch(revision);
}

/* Reads a list of voters of the lease object.  Without a list, or with one that
 * cannot be used, no voters are known. */
static void decode_voters(const json_t *spec, const char *key,
			  bsh_voters_t *voters)
{
	const json_t *list = json_object_get(spec, key);
	size_t n = json_array_size(list);

	memset(voters, 0, sizeof(*voters));
	for (size_t i = 0; i < n && i < BSH_VOTERS_MAX; i++) {
		const char *name = json_string_value(json_array_get(list, i));

		if (name != NULL)
			bsh_voters_add(voters, name);
	}
	if (voters->n == n && (list == NULL || json_is_array(list)))
		return;
	bsh_log(BSH_LOG_WARNING, "lease-voters-ignored key=%s", key);
	voters->n = 0;
}

static void read_voters(orders_t *orders, const json_t *spec, uint64_t revision)
{
	bsh_voters_t voters;
	bsh_voters_t former_voters;

	decode_voters(spec, "voters", &voters);
	decode_voters(spec, "former_voters", &former_voters);
	/* A set that cannot be read may be needed: no support is counted. */
	if (former_voters.n == 0 &&
	    json_array_size(json_object_get(spec, "former_voters")) > 0)
		voters.n = 0;
	bsh_lease_set_voters(&orders->lease, revision, &voters, &former_voters);
}

static json_t *encode_voters(const bsh_voters_t *voters)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < voters->n; i++)
		json_array_append_new(list, bsh_json_string(voters->names[i]));
	return list;
}

static void on_lease_answer(void *ctx, const platform_answer_t *answer)
{
	orders_t *orders = ctx;
	const char *holder = NULL;
	uint64_t revision = answer->revision;
	char name[BSH_LOG_TEXT_SIZE];
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
			bsh_log_text(holder, name), revision,
			(int)(answer->took_us / 1000));
	bsh_lease_done(&orders->lease, lease_result(answer->result), holder,
		       active, revision, now_us(orders));
	if (holder != NULL &&
	    is_from_before_restore(answer->objects[0].spec, revision))
		bsh_lease_set_restored(&orders->lease, revision);
	if (holder != NULL) {
		read_voters(orders, answer->objects[0].spec, revision);
		bsh_lease_set_logged(
			&orders->lease, revision,
			json_is_true(json_object_get(answer->objects[0].spec,
						     "logged")));
	}
	if (holder != NULL && holder[0] == '\0' &&
	    exclude_listed_targets(orders, answer->objects[0].spec))
		bsh_lease_set_has_order_list(&orders->lease, revision);
}

/* A list of a lease object. */
typedef struct {
	const orders_t *orders;
	json_t *list;
} order_object_t;

static void add_key_to_object(void *ctx, uint32_t key, const ordered_t *ordered)
{
	const order_object_t *object = ctx;
	char text[16];

	g_snprintf(text, sizeof(text), "%08x", key);
	json_object_set_new(
		object->list, text,
		json_integer(order_age_ms(object->orders, ordered)));
}

/* Adds the list of recent orders to a lease object, by names, which earlier
 * versions read too, or by keys if a name is not known. */
static void add_order_list(orders_t *orders, json_t *spec)
{
	g_autoptr(GArray) names =
		g_array_new(FALSE, FALSE, sizeof(bsh_recent_order_t));
	bool by_name = list_names(orders, names);
	order_object_t object = { orders, json_object() };

	for (guint i = 0; by_name && i < names->len; i++) {
		const bsh_recent_order_t *order =
			&g_array_index(names, bsh_recent_order_t, i);

		json_object_set_new(object.list, order->target,
				    json_integer(order->age_ms));
	}
	if (!by_name)
		foreach_ordered(orders, add_key_to_object, &object);
	json_object_set_new(spec, by_name ? "ordered_ms" : "ordered_keys_ms",
			    object.list);
}

static json_t *lease_spec(orders_t *orders)
{
	/* The time changes with each renewal, so that the store raises the
	 * revision. */
	json_t *spec = bsh_json_pack(
		"{s:s, s:b, s:I, s:I, s:o, s:o}", "holder",
		orders->lease.releasing ? "" : orders->lease.self, "active",
		orders->lease.update_active, "renewed_us",
		(json_int_t)g_get_real_time(), "epoch",
		(json_int_t)orders->control->store.epoch, "voters",
		encode_voters(&orders->lease.voters), "former_voters",
		encode_voters(&orders->lease.former_voters));

	if (orders->lease.update_logged)
		json_object_set_new(spec, "logged", json_true());
	if (orders->lease.releasing &&
	    bsh_lease_is_order_list_complete(&orders->lease, now_us(orders)))
		add_order_list(orders, spec);
	return spec;
}

static void add_candidate(void *ctx, const char *name)
{
	orders_t *orders = ctx;

	bsh_candidates_add(&orders->candidates, name, now_us(orders));
}

/* Chooses the voters that the next update may name. */
static void choose_candidates(orders_t *orders)
{
	int64_t now = now_us(orders);
	bsh_voters_t voters;

	if (orders->lease.known && !bsh_lease_is_holder(&orders->lease, now))
		return;
	if (orders->voters_us > 0 &&
	    now - orders->voters_us < VOTERS_INTERVAL_US)
		return;
	orders->voters_us = now;
	/* Voters of the former holder may be known to it alone. */
	if (orders->voters_term != orders->lease.term)
		for (uint32_t i = 0; i < orders->lease.voters.n; i++)
			add_candidate(orders, orders->lease.voters.names[i]);
	orders->voters_term = orders->lease.term;
	peers_foreach_known(orders->control->peers, add_candidate, orders);
	bsh_candidates_choose(&orders->candidates, now, &voters);
	if (!bsh_voters_equal(&voters, &orders->next_voters)) {
		orders->next_voters = voters;
		orders->next_voters_us = now;
	}
	/* The first object names voters, too. */
	if (!orders->lease.known ||
	    now - orders->next_voters_us >= VOTERS_SETTLE_US)
		bsh_lease_set_candidates(&orders->lease, &voters);
}

/* Leaves the lease to larger instances, which can carry the holder's messages. */
static void update_yields(orders_t *orders)
{
	int64_t now = now_us(orders);

	if (now - orders->yields_us < YIELDS_INTERVAL_US)
		return;
	orders->yields_us = now;
	bsh_lease_set_yields(&orders->lease,
			     peers_has_larger(orders->control->peers));
}

static void call_lease(orders_t *orders)
{
	platform_store_t *store = &orders->control->store;

	/* An update states the epoch of the store. */
	if (!store->epoch_known)
		return;
	if (store->epoch != orders->store_epoch) {
		orders->store_epoch = store->epoch;
		bsh_lease_store_restored(&orders->lease, now_us(orders));
	}
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

/* Keeps the list of recent orders as it is at a release: the messages that are
 * sent for it must have the same targets in each part. */
static void begin_release(orders_t *orders)
{
	orders->released_revision = orders->lease.revision;
	orders->release_sends = RELEASE_SENDS;
	orders->released_complete = bsh_lease_is_order_list_complete(
		&orders->lease, now_us(orders));
	g_array_set_size(orders->released, 0);
	foreach_ordered(orders, add_key, orders->released);
}

static void send_release_keys(const orders_t *orders)
{
	const bsh_order_time_t *released =
		(const bsh_order_time_t *)(void *)orders->released->data;
	bsh_message_t message = { .type = BSH_MSG_RELEASE_KEYS };
	bsh_msg_release_keys_t *keys = &message.release_keys;
	uint32_t n = orders->released->len;
	bsh_order_list_part_t memory;

	keys->term = orders->lease.term;
	keys->revision = orders->released_revision;
	keys->active = orders->lease.active;
	for (uint32_t part = 0; part < bsh_order_list_parts(n); part++) {
		bsh_order_list_encode(released, n, part, now_us(orders),
				      &memory, keys);
		peers_broadcast(orders->control->peers, &message);
	}
}

/* Whether a RELEASE without a list is due: at once if the object in the store has
 * the list, and after the list by keys has been repeated otherwise. */
static bool sends_unlisted(const orders_t *orders, bool by_keys)
{
	return !by_keys || orders->lease.releasing ||
	       orders->release_sends <= RELEASE_SENDS_UNLISTED;
}

static void send_release(orders_t *orders)
{
	g_autoptr(GArray) names =
		g_array_new(FALSE, FALSE, sizeof(bsh_recent_order_t));
	bsh_message_t message = { .type = BSH_MSG_RELEASE };
	bsh_msg_release_t *release = &message.release;
	bool by_keys;

	/* Another instance has taken the lease, and the state sent below would
	 * be that of its term. */
	if (orders->lease.revision != orders->released_revision) {
		orders->release_sends = 0;
		return;
	}
	release->term = orders->lease.term;
	release->revision = orders->released_revision;
	release->active = orders->lease.active;
	release->has_order_list = orders->released_complete &&
				  list_names(orders, names) &&
				  names->len <= RELEASE_TARGETS_MAX;
	by_keys = !release->has_order_list && orders->released_complete &&
		  orders->released->len <= BSH_ORDER_LIST_MAX;
	if (release->has_order_list) {
		release->ordered =
			(const bsh_recent_order_t *)(void *)names->data;
		release->ordered_count = names->len;
	}
	if (by_keys)
		send_release_keys(orders);
	if (sends_unlisted(orders, by_keys))
		peers_broadcast(orders->control->peers, &message);
	orders->release_sends--;
}

static void set_withholds(orders_t *orders, bool withholds, uint32_t listed)
{
	if (withholds == orders->withholds)
		return;
	orders->withholds = withholds;
	bsh_log(BSH_LOG_INFO,
		"orders-withheld held=%d term=%" G_GUINT64_FORMAT " ordered=%u",
		withholds, orders->lease.term, listed);
}

/* Hands the lease over if the store answers other instances but not this one:
 * one of them can continue at once.  A release lists BSH_ORDER_LIST_MAX targets,
 * so a holder that has ordered more of them lately waits until fewer are left. */
static void hand_over_if_cut_off(orders_t *orders)
{
	int64_t store_age_us =
		bsh_loop_clock_us() - orders->control->store.answered_us;
	uint32_t listed;
	bsh_handover_t step;

	if (!bsh_lease_is_holder(&orders->lease, now_us(orders))) {
		set_withholds(orders, false, 0);
		return;
	}
	listed = order_lease_count_recent(orders);
	step = bsh_lease_handover_step(&orders->lease, store_age_us,
				       now_us(orders) - orders->peer_reached_us,
				       orders->withholds, listed,
				       BSH_ORDER_LIST_MAX, now_us(orders));
	/* A call to the store that is not answered yet may delay the handover;
	 * orders go on until then if the list is short enough. */
	set_withholds(orders,
		      step == BSH_HANDOVER_WITHHOLD ||
			      (step == BSH_HANDOVER_NOW && orders->withholds),
		      listed);
	if (step != BSH_HANDOVER_NOW ||
	    !bsh_lease_hand_over(&orders->lease, now_us(orders)))
		return;
	set_withholds(orders, false, listed);
	bsh_log(BSH_LOG_WARNING,
		"lease-handed-over term=%" G_GUINT64_FORMAT
		" revision=%" G_GUINT64_FORMAT " store_age_ms=%d ordered=%u",
		orders->lease.term, orders->lease.revision,
		(int)(store_age_us / 1000), listed);
}

static void log_term(orders_t *orders, bool holder)
{
	orders->first_order_us = orders->lease.first_order_us;
	bsh_log(BSH_LOG_INFO,
		"order-lease held=%d term=%" G_GUINT64_FORMAT
		" revision=%" G_GUINT64_FORMAT
		" first_order_in_ms=%d voters=%u former_voters=%u",
		holder, orders->lease.term, orders->lease.revision,
		(int)((orders->first_order_us - now_us(orders)) / 1000),
		orders->lease.voters.n, orders->lease.former_voters.n);
}

static void update_term(orders_t *orders)
{
	bool holder = bsh_lease_is_holder(&orders->lease, now_us(orders));

	if (holder == orders->was_holder) {
		/* The support of a majority shortens the wait of a new holder
		 * before its first order. */
		if (holder &&
		    orders->first_order_us != orders->lease.first_order_us)
			log_term(orders, holder);
		return;
	}
	orders->was_holder = holder;
	bsh_counter_set(&lease_held, holder);
	log_term(orders, holder);
	if (!holder) {
		if (orders->lease.holder[0] == '\0')
			begin_release(orders);
		return;
	}
	orders->release_sends = 0;
	g_strlcpy(orders->holder, orders->lease.self, sizeof(orders->holder));
	logged_orders_begin_term(orders);
	announcer_begin_term(orders->control->announcer);
	for (guint i = 0; i < orders->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(orders->services, i);

		bsh_planner_begin_term(service->planner);
	}
}

void orders_receive_release(orders_t *orders, const char *sender,
			    const bsh_msg_release_t *release)
{
	if (!bsh_lease_released(&orders->lease, sender, release->active,
				release->has_order_list, release->revision,
				now_us(orders)))
		return;
	for (uint32_t i = 0; i < release->ordered_count; i++)
		order_lease_exclude_target(
			orders, bsh_target_key(release->ordered[i].target),
			now_us(orders) -
				1000 * (int64_t)release->ordered[i].age_ms);
	bsh_promise_end(&orders->promise, release->term, now_us(orders));
	orders->holder_contact_us = 0;
}

void orders_receive_release_keys(orders_t *orders, const char *sender,
				 const bsh_msg_release_keys_t *release)
{
	const GArray *list = orders->received.orders;

	if (!bsh_order_list_receive(&orders->received, sender, release,
				    now_us(orders)) ||
	    !bsh_lease_released(&orders->lease, sender, release->active, true,
				release->revision, now_us(orders)))
		return;
	for (guint i = 0; i < list->len; i++) {
		const bsh_order_time_t *order =
			&g_array_index(list, bsh_order_time_t, i);

		order_lease_exclude_target(orders, order->key,
					   order->ordered_us);
	}
	bsh_promise_end(&orders->promise, release->term, now_us(orders));
	orders->holder_contact_us = 0;
}

/* Counts the voters that support the term of this instance, and extends the
 * lease accordingly. */
static void update_quorum(orders_t *orders)
{
	static const bsh_voters_t no_voters;
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
	bsh_lease_voters_supported(lease,
				   bsh_quorum_support_until(&orders->quorum,
							    &lease->voters,
							    &no_voters),
				   now);
	bsh_lease_supported(lease,
			    bsh_quorum_support_until(&orders->quorum,
						     &lease->voters,
						     &lease->former_voters),
			    now);
}

void order_lease_register(void)
{
	bsh_counter_register(&lease_held);
}

void order_lease_record_order(const orders_t *orders, const char *target)
{
	note_name(record_order_time(orders, bsh_target_key(target),
				    now_us(orders)),
		  target);
}

void order_lease_tick(orders_t *orders)
{
	choose_candidates(orders);
	update_yields(orders);
	call_lease(orders);
	update_quorum(orders);
	hand_over_if_cut_off(orders);
	update_term(orders);
	logged_orders_read_former(orders);
	if (orders->release_sends > 0)
		send_release(orders);
}
