/* The software version to which a stream is bound: that of the target that wrote
 * its first event, in this attempt of its caller or in an earlier one. */
#include "traffic.h"

#include "base/counter.h"
#include "base/log.h"

/* Records of the streams that this instance forwards. */
#define RECORDS_MAX 4096U
/* An instance that is cut off notices it within this time; its list of targets
 * may then lack a new version. */
#define LIST_AGE_MAX_US INT64_C(3000000)

static bsh_counter_t unknown_refused =
	BSH_COUNTER("bsh_streams_not_resumed_total",
		    "Resumed streams refused as their version is not known or "
		    "does not serve.");

void stream_origin_init(traffic_t *t)
{
	bsh_counter_register(&unknown_refused);
	bsh_stream_table_init(&t->streams, RECORDS_MAX);
	t->new_streams = g_array_new(FALSE, FALSE, sizeof(bsh_stream_record_t));
}

void stream_origin_finish(traffic_t *t)
{
	bsh_stream_table_finish(&t->streams);
	g_array_free(t->new_streams, TRUE);
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

/* The only version that has served recently, by a list that is up to date; 0:
 * there may be several. */
static uint64_t only_version(const request_t *r)
{
	const traffic_t *t = r->traffic;
	int64_t confirmed_us = __atomic_load_n(&t->entry->freshness.targets_us,
					       __ATOMIC_RELAXED);

	if (confirmed_us == 0 ||
	    traffic_now_us(t) - confirmed_us > LIST_AGE_MAX_US)
		return 0;
	return view_only_software(t->view, r->service->name);
}

bool stream_origin_is_constrained(const request_t *r)
{
	return r->software != 0 && only_version(r) != r->software;
}

/* Records the version of a stream here and, if others serve beside it, at other
 * instances. */
static void record(request_t *r)
{
	traffic_t *t = r->traffic;
	bsh_stream_record_t item = { r->stream, r->software };

	bsh_stream_table_set(&t->streams, r->stream, r->software,
			     traffic_now_us(t));
	if (only_version(r) != 0)
		return;
	g_array_append_val(t->new_streams, item);
	bsh_loop_task_schedule(&t->streams_task);
}

void stream_origin_bind(request_t *r, const attempt_t *a)
{
	if (r->software != 0 || !r->route->resumable)
		return;
	r->software = bsh_software_key(a->software);
	/* A version that is not known matches no other target. */
	if (r->software == 0)
		r->software = BSH_SOFTWARE_UNCERTAIN;
	if (r->stream == 0)
		r->stream = bsh_stream_key(r->info.attempt_id);
	record(r);
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
	if (r->software == 0 && answer->one_version)
		r->software = only_version(r);
	if (r->software == 0)
		r->software = BSH_SOFTWARE_UNCERTAIN;
	else
		record(r);
	return true;
}

bool stream_origin_serves(const request_t *r)
{
	const GArray *targets = r->traffic->view->targets;

	if (r->software == 0)
		return true;
	for (guint i = 0; i < targets->len; i++) {
		const view_target_t *target =
			&g_array_index(targets, view_target_t, i);

		if (target->software_key == r->software &&
		    strcmp(target->service, r->service->name) == 0)
			return true;
	}
	bsh_counter_add(&unknown_refused, 1);
	return false;
}

/* A target that was started again with another version may have been so before
 * the list showed it, so the versions of the streams that it has begun are not
 * certain. */
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

		if (r->software == 0 || r->attempt->target != state)
			continue;
		r->software = BSH_SOFTWARE_UNCERTAIN;
		record(r);
	}
}

void stream_origin_view_changed(traffic_t *t, const view_t *before)
{
	const view_t *view = t->view;
	bool comes = false;

	for (guint i = 0; i < view->targets->len; i++) {
		const view_target_t *target =
			&g_array_index(view->targets, view_target_t, i);

		check_restart(t, target_pick_state(t, target->id), target);
	}
	for (guint i = 0; before != NULL && i < before->software->len; i++) {
		const view_software_t *service =
			&g_array_index(before->software, view_software_t, i);

		comes = comes || (service->only != 0 &&
				  view_only_software(view, service->service) !=
					  service->only);
	}
	/* Streams that began while one version alone served are recorded only
	 * here so far. */
	if (comes) {
		bsh_stream_table_collect(&t->streams, t->new_streams,
					 traffic_now_us(t));
		bsh_loop_task_schedule(&t->streams_task);
	}
}
