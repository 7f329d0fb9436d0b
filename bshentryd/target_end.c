/* Ends of targets' processes, and the requests that were there.  A lost
 * connection may have other reasons, so that an end counts only if the process
 * refuses a new connection or the target has another process. */
#include "traffic.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"

#define CONNECT_TIMEOUT_MS 300U
/* The list of targets shows another process within this time. */
#define CUT_MEMORY_US INT64_C(5000000)

/* An attempt whose connection ended. */
typedef struct {
	char id[BSH_ATTEMPT_ID_SIZE];
	suspects_t suspects;
	int64_t cut_us;
	bool beginning; /* its answer had not begun, or had just begun */
	bool complete;	/* the answer may be complete: it has no length */
	bool outlived;	/* its process accepted a connection later */
} cut_t;

/* A process at which attempts were cut. */
typedef struct {
	traffic_t *traffic;
	uint64_t process;
	char target[BSH_NAME_SIZE];
	uint64_t started_ms;
	GArray *cuts; /* cut_t, not yet logged */
	int64_t first_us;
	bsh_http_call_t *call; /* connection that is being tried */
	bool connected;
	bool refused; /* a connection, and it is not known yet what that shows */
	bool has_ended;
} end_t;

static bsh_counter_t ends_counter =
	BSH_COUNTER("bsh_target_ends_total",
		    "Processes of targets that ended while requests of this "
		    "instance were there.");

static void free_end(void *data)
{
	end_t *end = data;

	if (end->call != NULL)
		bsh_http_call_cancel(end->call);
	g_array_free(end->cuts, TRUE);
	g_free(end);
}

void target_end_init(traffic_t *t)
{
	bsh_counter_register(&ends_counter);
	t->ends = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					free_end);
}

void target_end_finish(traffic_t *t)
{
	g_hash_table_destroy(t->ends);
}

static uint32_t open_attempts(const end_t *end)
{
	uint32_t n = 0;

	for (GList *l = end->traffic->requests.head; l != NULL; l = l->next) {
		const request_t *r = l->data;

		for (size_t i = 0; i < G_N_ELEMENTS(r->attempts); i++)
			n += r->attempts[i].active &&
			     r->attempts[i].target_started_ms ==
				     end->started_ms &&
			     strcmp(r->attempts[i].target_id, end->target) == 0;
	}
	return n;
}

static void log_cut(const end_t *end, const cut_t *cut)
{
	g_autoptr(GString) keys = g_string_new(NULL);

	for (uint32_t i = 0; i < cut->suspects.n; i++)
		g_string_append_printf(keys, "%s%016" G_GINT64_MODIFIER "x",
				       i > 0 ? "," : "", cut->suspects.keys[i]);
	bsh_log(BSH_LOG_INFO,
		"target-ended-under id=%s target=%s "
		"process=%016" G_GINT64_MODIFIER "x beginning=%d keys=%s",
		cut->id, end->target, end->process, cut->beginning, keys->str);
}

/* A brittle target ends under what it has to reject, whatever it runs. */
static bool is_brittle(const end_t *end)
{
	const target_state_t *state =
		g_hash_table_lookup(end->traffic->targets, end->target);

	return state != NULL && places_are_brittle(end->traffic, state);
}

static void report_cuts(end_t *end)
{
	bool accuse = !is_brittle(end);

	for (guint i = 0; i < end->cuts->len; i++) {
		const cut_t *cut = &g_array_index(end->cuts, cut_t, i);

		log_cut(end, cut);
		if (cut->beginning && accuse)
			suspects_accuse(end->traffic, &cut->suspects,
					end->process, cut->cut_us);
	}
	g_array_set_size(end->cuts, 0);
}

/* Drops attempts that the process outlived; those whose answer is complete are
 * cleared. */
static void drop_outlived(end_t *end)
{
	guint kept = 0;

	for (guint i = 0; i < end->cuts->len; i++) {
		const cut_t *cut = &g_array_index(end->cuts, cut_t, i);

		if (!cut->outlived)
			g_array_index(end->cuts, cut_t, kept++) = *cut;
		else if (cut->complete)
			suspects_clear(end->traffic, &cut->suspects);
	}
	g_array_set_size(end->cuts, kept);
}

static void confirm(end_t *end, const char *evidence)
{
	uint32_t beginning = 0;

	if (end->has_ended)
		return;
	end->has_ended = true;
	for (guint i = 0; i < end->cuts->len; i++)
		beginning += g_array_index(end->cuts, cut_t, i).beginning;
	bsh_counter_add(&ends_counter, 1);
	bsh_log(BSH_LOG_WARNING,
		"target-ended target=%s process=%016" G_GINT64_MODIFIER
		"x started_ms=%" G_GUINT64_FORMAT
		" evidence=%s cut=%u beginning=%u open=%u",
		end->target, end->process, end->started_ms, evidence,
		end->cuts->len, beginning, open_attempts(end));
	report_cuts(end);
}

static const view_target_t *find_target(const traffic_t *t, const char *id)
{
	for (guint i = 0; i < t->view->targets->len; i++) {
		const view_target_t *target =
			&g_array_index(t->view->targets, view_target_t, i);

		if (strcmp(target->id, id) == 0)
			return target;
	}
	return NULL;
}

static void try_connection(end_t *end, const char *address);

/* A refused connection shows the end of a process only if another target accepts
 * one: an instance that is cut off may be refused by all. */
static void verify_refusals(traffic_t *t)
{
	if (reach_is_cut(t))
		target_end_judge(t, false);
	else if (reach_is_certain(t))
		target_end_judge(t, true);
	else
		reach_failed(t);
}

static bool refuse_to_send(void *ctx)
{
	end_t *end = ctx;

	end->connected = true;
	return false;
}

static void on_connection_tried(void *ctx, const bsh_http_result_t *result)
{
	end_t *end = ctx;
	const view_target_t *target;

	end->call = NULL;
	if (result->refused) {
		end->refused = true;
		verify_refusals(end->traffic);
		return;
	}
	bsh_log(BSH_LOG_INFO,
		"target-cut target=%s process=%016" G_GINT64_MODIFIER
		"x connected=%d cut=%u",
		end->target, end->process, end->connected, end->cuts->len);
	if (!end->connected) {
		reach_failed(end->traffic);
		return;
	}
	drop_outlived(end);
	/* Others were cut while this connection was tried. */
	target = find_target(end->traffic, end->target);
	if (end->cuts->len > 0 && target != NULL &&
	    target->started_ms == end->started_ms)
		try_connection(end, target->address);
}

static const bsh_http_handler_t connection_handler = {
	.may_send = refuse_to_send,
	.on_end = on_connection_tried,
};

static void try_connection(end_t *end, const char *address)
{
	static const char *const headers[] = { NULL };
	g_autofree char *url = g_strconcat("http://", address, "/", NULL);
	bsh_http_call_spec_t spec = {
		.method = "GET",
		.url = url,
		.headers = headers,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.fresh_connection = true,
	};
	bsh_error_t err;

	end->connected = false;
	for (guint i = 0; i < end->cuts->len; i++)
		g_array_index(end->cuts, cut_t, i).outlived = true;
	err = bsh_http_client_start(end->traffic->client, &spec,
				    &connection_handler, end, &end->call);
	if (err != BSH_OK)
		bsh_log(BSH_LOG_WARNING,
			"connection-not-tried target=%s error=%s", end->target,
			bsh_error_name(err));
}

static end_t *find_end(traffic_t *t, const attempt_t *a)
{
	uint64_t process = bsh_process_key(a->target_id, a->target_started_ms);
	end_t *end = g_hash_table_lookup(t->ends, &process);

	if (end != NULL)
		return end;
	end = g_new0(end_t, 1);
	end->traffic = t;
	end->process = process;
	g_strlcpy(end->target, a->target_id, sizeof(end->target));
	end->started_ms = a->target_started_ms;
	end->first_us = traffic_now_us(t);
	end->cuts = g_array_new(FALSE, FALSE, sizeof(cut_t));
	g_hash_table_insert(t->ends, &end->process, end);
	return end;
}

static gboolean is_forgotten(void *key, void *value, void *ctx)
{
	const end_t *end = value;
	const traffic_t *t = ctx;

	(void)key;
	return end->call == NULL &&
	       traffic_now_us(t) - end->first_us > CUT_MEMORY_US;
}

/* Keeps the attempt until it is known whether its process has ended. */
static void add_cut(attempt_t *a, bool complete)
{
	const request_t *r = a->request;
	traffic_t *t = r->traffic;
	const view_target_t *target = find_target(t, a->target_id);
	cut_t cut = { .cut_us = traffic_now_us(t), .complete = complete };
	end_t *end;

	g_hash_table_foreach_remove(t->ends, is_forgotten, t);
	end = find_end(t, a);
	g_strlcpy(cut.id, r->info.log_id, sizeof(cut.id));
	suspects_of(a, &cut.suspects);
	cut.beginning = a->spoke_us == 0 ||
			cut.cut_us - a->spoke_us < BSH_ANSWER_BEGINNING_US;
	g_array_append_val(end->cuts, cut);
	if (end->has_ended)
		report_cuts(end);
	else if (end->call == NULL && target != NULL &&
		 target->started_ms == end->started_ms)
		try_connection(end, target->address);
}

void target_end_attempt_cut(attempt_t *a)
{
	add_cut(a, false);
	suspects_await_verdict(a->request);
}

void target_end_verify(attempt_t *a)
{
	add_cut(a, true);
}

void target_end_refused(traffic_t *t, target_state_t *state,
			uint64_t started_ms)
{
	uint64_t process = bsh_process_key(state->id, started_ms);
	end_t *end = g_hash_table_lookup(t->ends, &process);

	state->refusal_pending = true;
	state->refusal_started_ms = started_ms;
	if (end != NULL)
		end->refused = true;
	verify_refusals(t);
}

static void judge_states(traffic_t *t, bool is_reached)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, t->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		target_state_t *state = value;

		if (!state->refusal_pending)
			continue;
		state->refusal_pending = false;
		if (!is_reached)
			continue;
		state->refused_started_ms = state->refusal_started_ms;
		state->refused_us = traffic_now_us(t);
		demand_send_soon(t);
	}
}

void target_end_judge(traffic_t *t, bool is_reached)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, t->ends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		end_t *end = value;

		if (!end->refused)
			continue;
		end->refused = false;
		if (is_reached)
			confirm(end, "refused");
		else
			g_array_set_size(end->cuts, 0);
	}
	judge_states(t, is_reached);
}

void target_end_view_changed(traffic_t *t)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, t->ends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		end_t *end = value;
		const view_target_t *target = find_target(t, end->target);

		if (target != NULL && target->started_ms > end->started_ms)
			confirm(end, "new-process");
	}
}
