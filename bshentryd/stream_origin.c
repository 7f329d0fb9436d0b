/* The software version to which a stream is bound: that of the target that wrote
 * its first event, in this attempt of its caller or in an earlier one. */
#include "traffic.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "coordination/version_history.h"

/* Records of the streams that this instance forwards. */
#define RECORDS_MAX 4096U

static bsh_counter_t unknown_refused =
	BSH_COUNTER("bsh_streams_not_resumed_total",
		    "Resumed streams refused as their version is not known or "
		    "does not serve.");

void stream_origin_init(traffic_t *t)
{
	bsh_counter_register(&unknown_refused);
	bsh_stream_table_init(&t->streams, RECORDS_MAX);
	t->new_streams = g_array_new(FALSE, FALSE, sizeof(bsh_stream_record_t));
	t->unrecorded = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
}

void stream_origin_finish(traffic_t *t)
{
	bsh_stream_table_finish(&t->streams);
	g_array_free(t->new_streams, TRUE);
	g_hash_table_destroy(t->unrecorded);
}

static void post_records(traffic_t *t, GArray *records)
{
	control_stream_records_msg_t *message =
		g_new0(control_stream_records_msg_t, 1);

	message->control = t->entry->control;
	message->records = records;
	bsh_loop_post(&t->entry->control_loop, control_stream_records, message);
}

void stream_origin_send(void *ctx)
{
	traffic_t *t = ctx;
	GArray *records = t->new_streams;

	t->new_streams = g_array_new(FALSE, FALSE, sizeof(bsh_stream_record_t));
	post_records(t, records);
}

static bool is_list_fresh(const traffic_t *t)
{
	int64_t confirmed_us = __atomic_load_n(&t->entry->freshness.targets_us,
					       __ATOMIC_RELAXED);

	return confirmed_us != 0 &&
	       traffic_now_us(t) - confirmed_us <= BSH_LIST_AGE_MAX_US;
}

/* True if this instance is cut off from the store and from all others for as long
 * as a target takes to leave: another one, of another version, may serve under
 * its id and address by now.  While only the store is away, others are
 * heard. */
static bool may_be_replaced(const traffic_t *t)
{
	const freshness_t *freshness = &t->entry->freshness;
	int64_t targets_us =
		__atomic_load_n(&freshness->targets_us, __ATOMIC_RELAXED);
	int64_t peers_us =
		__atomic_load_n(&freshness->peers_us, __ATOMIC_RELAXED);

	return peers_us != 0 &&
	       traffic_now_us(t) - MAX(targets_us, peers_us) >=
		       t->entry->settings.entry_drain_ms * INT64_C(1000);
}

bool stream_origin_may_move(const request_t *r)
{
	return r->software == 0 || !may_be_replaced(r->traffic);
}

bool stream_origin_is_constrained(const request_t *r)
{
	const view_software_t *software =
		view_find_software(r->traffic->view, r->service->name);

	return r->software != 0 && software != NULL && software->several;
}

/* True if one version alone has served all streams of the route. */
static bool has_only_version(const request_t *r)
{
	const view_software_t *software =
		view_find_software(r->traffic->view, r->service->name);

	return software != NULL && software->only != 0 &&
	       is_list_fresh(r->traffic) && r->route->splits->len == 1;
}

/* Sends all records of this instance to others. */
static void send_unrecorded(traffic_t *t)
{
	g_hash_table_remove_all(t->unrecorded);
	bsh_stream_table_collect(&t->streams, t->new_streams,
				 traffic_now_us(t));
	bsh_loop_task_schedule(&t->streams_task);
}

/* True if the service has had one version only since its streams without a record
 * began, as far as this instance knows. */
static bool still_has_only_version(const traffic_t *t, uint64_t service)
{
	for (guint i = 0; i < t->view->software->len; i++) {
		const view_software_t *software =
			&g_array_index(t->view->software, view_software_t, i);

		if (bsh_service_key(software->service) == service)
			return software->only != 0;
	}
	return false;
}

void stream_origin_check(traffic_t *t)
{
	GHashTableIter iter;
	void *key;

	if (g_hash_table_size(t->unrecorded) == 0)
		return;
	if (!is_list_fresh(t)) {
		send_unrecorded(t);
		return;
	}
	g_hash_table_iter_init(&iter, t->unrecorded);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!still_has_only_version(t, *(const uint64_t *)key)) {
			send_unrecorded(t);
			return;
		}
}

/* Records the version of a stream here and, unless all streams have the same
 * one, at other instances. */
static void record(request_t *r)
{
	traffic_t *t = r->traffic;
	bsh_stream_record_t item = { r->stream, r->software };

	bsh_stream_table_set(&t->streams, r->stream, r->software,
			     traffic_now_us(t));
	if (has_only_version(r)) {
		uint64_t service = bsh_service_key(r->service->name);

		g_hash_table_add(t->unrecorded,
				 g_memdup2(&service, sizeof(service)));
		return;
	}
	g_array_append_val(t->new_streams, item);
	bsh_loop_task_schedule(&t->streams_task);
}

bool stream_origin_bind(request_t *r, const attempt_t *a)
{
	/* Started again with another version since the request was sent, or
	 * before that and listed only now. */
	bool is_certain = a->software_key != 0 &&
			  a->software_key == a->target->software_key &&
			  !may_be_replaced(r->traffic);

	if (!r->route->resumable)
		return true;
	/* The other instance knows the version and goes on with it.  Here the
	 * stream is not continued after that. */
	if (a->at_peer) {
		if (r->software == 0)
			r->software = BSH_SOFTWARE_UNCERTAIN;
		return true;
	}
	if (r->software != 0)
		return is_certain || a->spoke_us > 0;
	r->software = is_certain ? a->software_key : BSH_SOFTWARE_UNCERTAIN;
	if (r->stream == 0)
		r->stream = bsh_stream_key(r->info.attempt_id);
	record(r);
	return true;
}

static bool is_resumed_by_caller(const request_t *r)
{
	return r->is_stream && r->route->resumable &&
	       g_ascii_strtoull(r->info.last_event_id, NULL, 10) > 0;
}

bool stream_origin_find(request_t *r)
{
	traffic_t *t = r->traffic;
	control_stream_query_msg_t *message;

	if (!is_resumed_by_caller(r))
		return true;
	r->stream = bsh_stream_key(r->info.began_by);
	r->software = bsh_stream_table_find(&t->streams, r->stream,
					    traffic_now_us(t));
	if (r->software == 0 && r->stream == 0)
		r->software = BSH_SOFTWARE_UNCERTAIN;
	if (r->software != 0)
		return true;
	/* Asked also if one version alone is listed here: an instance that is
	 * cut off, or has just started, may not know of another one. */
	r->awaits_software = true;
	message = g_new0(control_stream_query_msg_t, 1);
	message->control = t->entry->control;
	message->stream = r->stream;
	/* The stream may have begun at another service of a split route. */
	if (r->route->splits->len == 1)
		message->service = bsh_service_key(r->service->name);
	bsh_loop_post(&t->entry->control_loop, control_stream_query, message);
	return false;
}

bool stream_origin_answer(request_t *r, const traffic_stream_msg_t *answer)
{
	if (!r->awaits_software || r->stream != answer->stream)
		return false;
	r->awaits_software = false;
	r->software = answer->software;
	if (r->software == 0)
		r->software = BSH_SOFTWARE_UNCERTAIN;
	else
		record(r);
	return true;
}

/* The service of the route's splits that has the target, or NULL. */
static const bsh_service_rule_t *service_of(const request_t *r,
					    const view_target_t *target)
{
	const GArray *splits = r->route->splits;

	for (guint i = 0; i < splits->len; i++) {
		const bsh_service_rule_t *service = bsh_catalog_service_at(
			r->catalog,
			g_array_index(splits, bsh_route_split_t, i).service);

		if (strcmp(target->service, service->name) == 0)
			return service;
	}
	return NULL;
}

bool stream_origin_serves(request_t *r)
{
	const GArray *targets = r->traffic->view->targets;
	const bsh_service_rule_t *service;

	if (r->software == 0)
		return true;
	/* A target may be another one under its id since the list was read. */
	if ((stream_origin_is_constrained(r) && !is_list_fresh(r->traffic)) ||
	    !stream_origin_may_move(r))
		goto refuse;
	for (guint i = 0; i < targets->len; i++) {
		const view_target_t *target =
			&g_array_index(targets, view_target_t, i);

		if (target->software_key != r->software)
			continue;
		service = service_of(r, target);
		if (service == NULL)
			continue;
		r->service = service;
		return true;
	}
refuse:
	bsh_counter_add(&unknown_refused, 1);
	return false;
}

/* A target was started again with another version, maybe before the list showed
 * it: the versions of the streams that it has begun are not certain, and it must
 * not go on with others. */
static void check_attempt(attempt_t *a, uint64_t software_key)
{
	request_t *r = a->request;

	if (r->software == 0 || a->software_key == software_key)
		return;
	if (a->spoke_us == 0) {
		attempts_abort(a, BSH_ERR_NOT_RESUMABLE);
	} else if (a == r->attempt) {
		r->software = BSH_SOFTWARE_UNCERTAIN;
		record(r);
	}
}

static void check_restart(traffic_t *t, target_state_t *state,
			  const view_target_t *target)
{
	bool is_other = state->software_key != 0 &&
			state->software_key != target->software_key;

	state->software_key = target->software_key;
	if (!is_other)
		return;
	bsh_log(BSH_LOG_WARNING, "target-version-changed target=%s software=%s",
		state->id, target->software);
	for (GList *l = t->requests.head; l != NULL; l = l->next) {
		request_t *r = l->data;

		for (size_t i = 0; i < G_N_ELEMENTS(r->attempts); i++)
			if (r->attempts[i].target == state)
				check_attempt(&r->attempts[i],
					      target->software_key);
	}
}

static bool has_same_services(const bsh_catalog_t *catalog,
			      const bsh_route_rule_t *route,
			      const bsh_catalog_t *other_catalog,
			      const bsh_route_rule_t *other)
{
	if (route->splits->len != other->splits->len)
		return false;
	for (guint i = 0; i < route->splits->len; i++) {
		uint32_t service =
			g_array_index(route->splits, bsh_route_split_t, i)
				.service;
		uint32_t other_service =
			g_array_index(other->splits, bsh_route_split_t, i)
				.service;

		if (strcmp(bsh_catalog_service_at(catalog, service)->name,
			   bsh_catalog_service_at(other_catalog, other_service)
				   ->name) != 0)
			return false;
	}
	return true;
}

static const bsh_route_rule_t *find_route(const bsh_catalog_t *catalog,
					  const char *name)
{
	for (guint i = 0; i < catalog->routes->len; i++) {
		const bsh_route_rule_t *route =
			g_ptr_array_index(catalog->routes, i);

		if (strcmp(route->name, name) == 0)
			return route;
	}
	return NULL;
}

/* True if streams of a route may be taken up at other services than those at which
 * they began. */
static bool is_some_route_moved(const bsh_catalog_t *before,
				const bsh_catalog_t *now)
{
	if (before->version == now->version)
		return false;
	for (guint i = 0; i < before->routes->len; i++) {
		const bsh_route_rule_t *route =
			g_ptr_array_index(before->routes, i);
		const bsh_route_rule_t *moved;

		if (!route->resumable)
			continue;
		moved = find_route(now, route->name);
		if (moved != NULL &&
		    !has_same_services(before, route, now, moved))
			return true;
	}
	return false;
}

void stream_origin_view_changed(traffic_t *t, const view_t *before)
{
	const view_t *view = t->view;

	for (guint i = 0; i < view->targets->len; i++) {
		const view_target_t *target =
			&g_array_index(view->targets, view_target_t, i);

		check_restart(t, target_pick_state(t, target->id), target);
	}
	/* The only version of another service says nothing about streams that
	 * began before the route was moved or split. */
	if (before != NULL && g_hash_table_size(t->unrecorded) > 0 &&
	    is_some_route_moved(before->catalog, view->catalog))
		send_unrecorded(t);
	else
		stream_origin_check(t);
}
