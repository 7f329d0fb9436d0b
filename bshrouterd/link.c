#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "protocol/frame.h"
#include "protocol/message.h"
#include "router.h"

/* Results for the journal kept while the controller is away. */
#define MAX_KEPT_RESULTS 65536
/* Results are dropped after the controller was away for this long, so that a
 * drain without a controller ends. */
#define KEEP_RESULTS_US INT64_C(30000000)
/* Refusal while the controller is away: it is usually back within this. */
#define LINK_RETRY_MS 1000
/* A round of the loop that took longer than this was not the loop's doing:
 * the process was stopped, and what it reads now may be as old. */
#define STALL_US	INT64_C(500000)
#define STALL_TICK_US	INT64_C(100000)
#define EVENTS_EVERY_US INT64_C(250000)
/* Of one message; a frame has at most 1 MiB. */
#define EVENTS_MAX_BYTES 262144

/* One encoded message on its way between the threads. */
typedef struct {
	router_t *router;
	char *data;
	size_t size;
	int64_t until_us; /* FRESH: end of the confirmation */
} parcel_t;

/* An intent without its answer, or a result that has not left yet. */
typedef struct {
	uint64_t id;
	char *data;
	size_t size;
} kept_t;

struct router_link {
	router_t *router;
	bsh_identity_t identity;
	bsh_channel_t *channel;
	router_config_t *config;
	GHashTable *intents; /* id -> kept_t, until answered */
	GQueue results;	     /* kept_t, until sent */
	bool draining;
	bool drain_ended;
	bsh_loop_timer_t tick;
	int64_t ticked_us;
	int64_t stalled_until_us;
	int64_t down_since_us;
	bsh_loop_timer_t events_timer;
	uint64_t events_sent; /* sequence of the last event sent */
};

static void free_kept(void *data)
{
	kept_t *kept = data;

	free(kept->data);
	g_free(kept);
}

static kept_t *keep(uint64_t id, const char *data, size_t size)
{
	kept_t *kept = g_new0(kept_t, 1);

	kept->id = id;
	kept->data = malloc(size);
	if (kept->data == NULL)
		abort();
	memcpy(kept->data, data, size);
	kept->size = size;
	return kept;
}

/* To the traffic thread. */

static void route_entries(router_t *router, const bsh_msg_routes_t *msg)
{
	router_route_t *routes = g_new0(router_route_t, msg->entry_count + 1);

	for (uint32_t i = 0; i < msg->entry_count; i++) {
		const bsh_route_entry_t *e = &msg->entries[i];

		routes[i] = (router_route_t){
			.name = e->name,
			.is_service = e->is_service,
			.target = e->target,
			.target_incarnation = e->target_incarnation,
			.address = e->address,
			.zone = e->zone,
			.leaving = e->leaving,
			.max_running = e->max_running,
		};
	}
	router_on_routes(router, msg->cell, msg->epoch, msg->sequence, routes,
			 msg->entry_count);
	g_free(routes);
}

static void target_reports(router_t *router, const bsh_msg_report_t *msg)
{
	for (uint32_t i = 0; i < msg->entry_count; i++) {
		const bsh_report_entry_t *e = &msg->entries[i];
		router_report_t report = {
			.name = e->model,
			.target = e->target,
			.target_incarnation = e->target_incarnation,
			.running = e->running,
			.waiting = e->waiting,
		};

		router_on_report(router, &report);
	}
}

static void need_answer(router_t *router, const bsh_msg_need_answer_t *msg)
{
	if (msg->verdict == BSH_NEED_LOADING)
		router_on_load_accepted(router, msg->model, msg->estimate_ms);
	else if (msg->verdict == BSH_NEED_REFUSED)
		router_on_load_refused(
			router, msg->model,
			(uint32_t)MIN(msg->retry_after_ms, UINT32_MAX));
}

static router_intent_verdict_t intent_verdict(uint32_t verdict)
{
	switch ((bsh_msg_verdict_t)verdict) {
	case BSH_VERDICT_RUN:
		return ROUTER_INTENT_RUN;
	case BSH_VERDICT_ANSWERED:
		return ROUTER_INTENT_ANSWERED;
	case BSH_VERDICT_IN_PROGRESS:
		return ROUTER_INTENT_IN_PROGRESS;
	case BSH_VERDICT_MISMATCH:
		return ROUTER_INTENT_MISMATCH;
	case BSH_VERDICT_UNAVAILABLE:
		return ROUTER_INTENT_UNAVAILABLE;
	case BSH_VERDICT_NOT_KEPT:
		return ROUTER_INTENT_NOT_KEPT;
	case BSH_VERDICT_UNKNOWN:
	case BSH_VERDICT_END:
		break;
	}
	/* A verdict that this version does not know must not run the call. */
	return ROUTER_INTENT_UNKNOWN;
}

static void intent_answer(router_t *router, const bsh_msg_intent_answer_t *msg)
{
	router_result_t result = {
		.outcome = BSH_OUTCOME_ANSWERED,
		.status = msg->status,
		.content_type = msg->content_type,
		.body = msg->body,
		.body_bytes = msg->body_bytes,
	};

	router_on_intent_answer(router, msg->id, intent_verdict(msg->verdict),
				(uint32_t)MIN(msg->retry_after_ms, UINT32_MAX),
				&result);
}

static void dispatch(router_t *router, const bsh_message_t *message,
		     int64_t until_us)
{
	switch (message->type) {
	case BSH_MSG_ROUTES:
		route_entries(router, &message->routes);
		break;
	case BSH_MSG_REPORT:
		target_reports(router, &message->report);
		break;
	case BSH_MSG_FRESH:
		router_on_fresh(router, message->fresh.generation, until_us);
		break;
	case BSH_MSG_NEED_ANSWER:
		need_answer(router, &message->need_answer);
		break;
	case BSH_MSG_INTENT_ANSWER:
		intent_answer(router, &message->intent_answer);
		break;
	case BSH_MSG_DRAIN:
		router_on_drain(router, message->drain.alternative);
		break;
	default:
		break;
	}
}

static void deliver(void *ctx)
{
	parcel_t *parcel = ctx;
	bsh_message_t message;

	if (bsh_message_decode(&message, parcel->data, parcel->size) ==
	    BSH_OK) {
		dispatch(parcel->router, &message, parcel->until_us);
		bsh_message_finish(&message);
	}
	free(parcel->data);
	g_free(parcel);
}

/* Strings of a message belong to it, so the other thread gets a copy in the
 * encoded form. */
static void pass(router_link_t *link, const bsh_message_t *message,
		 int64_t until_us)
{
	parcel_t *parcel = g_new0(parcel_t, 1);

	if (bsh_message_encode(message, &parcel->data, &parcel->size) !=
	    BSH_OK) {
		g_free(parcel);
		return;
	}
	parcel->router = link->router;
	parcel->until_us = until_us;
	bsh_loop_post(&link->router->traffic_loop, deliver, parcel);
}

typedef struct {
	router_t *router;
	router_config_t *config;
} config_post_t;

static void deliver_config(void *ctx)
{
	config_post_t *post = ctx;

	router_on_config(post->router, post->config);
	g_free(post);
}

typedef struct {
	router_t *router;
	uint32_t sent;
} left_post_t;

static void deliver_left(void *ctx)
{
	left_post_t *post = ctx;

	router_on_results_dequeued(post->router, post->sent);
	g_free(post);
}

static void tell_left(router_link_t *link, uint32_t sent)
{
	left_post_t *post = g_new0(left_post_t, 1);

	post->router = link->router;
	post->sent = sent;
	bsh_loop_post(&link->router->traffic_loop, deliver_left, post);
}

/* Configuration. */

static void adopt(router_link_t *link, router_config_t *config)
{
	config_post_t *post = g_new0(config_post_t, 1);
	router_t *router = link->router;

	router_config_unref(link->config);
	link->config = config;
	bsh_counter_set(&router_counters.generation,
			(int64_t)config->generation);
	bsh_timeline_add(&router->timeline, "config-adopted", "{s:I, s:s}",
			 "generation", (json_int_t)config->generation, "hash",
			 config->doc.hash);
	bsh_log(BSH_LOG_INFO, "config-adopted generation=%" G_GUINT64_FORMAT,
		config->generation);
	post->router = router;
	post->config = router_config_ref(config);
	bsh_loop_post(&router->traffic_loop, deliver_config, post);
}

static void on_config(router_link_t *link, const bsh_msg_config_t *msg)
{
	GArray *problems;
	router_config_t *config;
	bsh_error_t err;

	/* The generation only rises. */
	if (link->config != NULL && msg->generation <= link->config->generation)
		return;
	config = g_new0(router_config_t, 1);
	g_atomic_ref_count_init(&config->refs);
	config->generation = msg->generation;
	problems = bsh_doc_problems_new();
	err = bsh_document_init(&config->doc, msg->text, strlen(msg->text),
				problems);
	if (err == BSH_OK) {
		adopt(link, config);
	} else {
		g_free(config);
		bsh_log(BSH_LOG_ERROR,
			"config-rejected generation=%" G_GUINT64_FORMAT
			" error=%s path=%s",
			msg->generation, bsh_error_name(err),
			problems->len > 0
				? g_array_index(problems, bsh_doc_problem_t, 0)
					  .path
				: "");
	}
	g_array_free(problems, TRUE);
}

/* The record of a dropped result stays open, and its key answers "unknown"
 * later, which is true. */
static void drop_results(router_link_t *link)
{
	uint32_t dropped = g_queue_get_length(&link->results);

	if (dropped == 0)
		return;
	bsh_log(BSH_LOG_WARNING, "results-dropped count=%u", dropped);
	g_queue_clear_full(&link->results, free_kept);
	tell_left(link, dropped);
}

/* Freshness. */

static void on_tick(void *ctx)
{
	router_link_t *link = ctx;
	int64_t now_us = bsh_loop_clock_us();

	link->ticked_us = now_us;
	if (!bsh_channel_is_up(link->channel) &&
	    now_us - link->down_since_us > KEEP_RESULTS_US)
		drop_results(link);
	bsh_loop_timer_start(&link->tick, now_us + STALL_TICK_US);
}

/*
 * FRESH says how long its confirmation is still valid at its sending.  A frame
 * may have waited in the socket while this process stood still.  Its stamp
 * shows that, unless a clock ahead of ours has moved the stamps; so after a
 * stall of this loop, what was waiting counts for nothing.
 */
static int64_t fresh_until(router_link_t *link, const bsh_message_t *message)
{
	int64_t now_us = bsh_loop_clock_us();
	int64_t waited_us = g_get_real_time() - message->stamp.physical_us;

	if (now_us - link->ticked_us > STALL_US)
		link->stalled_until_us = now_us + STALL_US;
	if (!message->fresh.confirmed || now_us < link->stalled_until_us)
		return now_us;
	return now_us - MAX(waited_us, 0) +
	       (int64_t)MIN(message->fresh.remaining_ms,
			    link->router->settings.fresh_ms) *
		       1000;
}

/* Channel. */

static void send_kept(const router_link_t *link, const kept_t *kept)
{
	bsh_message_t message;

	if (bsh_message_decode(&message, kept->data, kept->size) != BSH_OK)
		return;
	bsh_channel_send(link->channel, &message);
	bsh_message_finish(&message);
}

static void send_results(router_link_t *link)
{
	kept_t *kept;
	uint32_t sent = 0;

	while (bsh_channel_is_up(link->channel) &&
	       (kept = g_queue_pop_head(&link->results)) != NULL) {
		send_kept(link, kept);
		free_kept(kept);
		sent++;
	}
	if (sent > 0)
		tell_left(link, sent);
}

/* Sends events up to the end of line that is nearest below the size limit. */
static size_t send_some_events(const router_link_t *link, char *text)
{
	bsh_message_t message = { .type = BSH_MSG_EVENTS };
	size_t length = strlen(text);
	char *end;

	if (length > EVENTS_MAX_BYTES) {
		end = memrchr(text, '\n', EVENTS_MAX_BYTES);
		length = end != NULL ? (size_t)(end - text) + 1 : length;
	}
	end = text + length;
	/* The rest of the text begins after the zero byte of this part. */
	if (*end != '\0')
		end[-1] = '\0';
	message.events.lines = text;
	if (bsh_channel_send(link->channel, &message) != BSH_OK)
		return 0;
	return length;
}

/*
 * The controller writes the events of both daemons to the store, because a
 * router that dies takes its ring with it.
 */
static void send_events(router_link_t *link)
{
	g_autoptr(GString) text = g_string_new(NULL);
	uint64_t last;
	size_t sent = 0;

	if (!bsh_channel_is_up(link->channel))
		return;
	last = bsh_timeline_print(&link->router->timeline, link->events_sent,
				  text);
	while (sent < text->len) {
		size_t n = send_some_events(link, text->str + sent);

		if (n == 0)
			return; /* sent again from the same event */
		sent += n;
	}
	link->events_sent = last;
}

static void on_events_timer(void *ctx)
{
	router_link_t *link = ctx;

	send_events(link);
	bsh_loop_timer_after(&link->events_timer, EVENTS_EVERY_US);
}

static void send_drain(router_link_t *link, bool ended, uint32_t running)
{
	bsh_message_t message = { .type = BSH_MSG_DRAIN };

	message.drain.phase = ended ? BSH_PHASE_ENDED : BSH_PHASE_BEGIN;
	message.drain.alternative = "";
	message.drain.running = running;
	/* The controller may end as soon as it knows of the end. */
	if (ended)
		send_events(link);
	bsh_channel_send(link->channel, &message);
}

static void on_up(void *ctx, bsh_channel_t *channel)
{
	router_link_t *link = ctx;
	GHashTableIter it;
	void *kept;

	bsh_counter_set(&router_counters.link_up, 1);
	bsh_log(BSH_LOG_INFO, "link-up controller=%s",
		bsh_channel_peer_name(channel));
	link->events_sent = 0;
	/* The same attempt id gets the same verdict. */
	g_hash_table_iter_init(&it, link->intents);
	while (g_hash_table_iter_next(&it, NULL, &kept))
		send_kept(link, kept);
	send_results(link);
	if (link->draining)
		send_drain(link, link->drain_ended, 0);
}

static void on_down(void *ctx, bsh_channel_t *channel)
{
	router_link_t *link = ctx;

	(void)channel;
	link->down_since_us = bsh_loop_clock_us();
	bsh_counter_set(&router_counters.link_up, 0);
	bsh_log(BSH_LOG_WARNING, "link-down");
}

static void on_message(void *ctx, bsh_channel_t *channel,
		       const bsh_message_t *message)
{
	router_link_t *link = ctx;
	int64_t until_us = 0;

	(void)channel;
	if (message->type == BSH_MSG_CONFIG) {
		on_config(link, &message->config);
		return;
	}
	if (message->type == BSH_MSG_INTENT_ANSWER)
		g_hash_table_remove(link->intents, &message->intent_answer.id);
	if (message->type == BSH_MSG_FRESH)
		until_us = fresh_until(link, message);
	if (message->type == BSH_MSG_DRAIN &&
	    message->drain.phase != BSH_PHASE_BEGIN)
		return;
	pass(link, message, until_us);
}

static const bsh_channel_ops_t channel_ops = { on_up, on_message, on_down };

void router_link_start(router_t *router)
{
	router_link_t *link = g_new0(router_link_t, 1);

	link->router = router;
	link->identity = (bsh_identity_t){
		.key = router->settings.key,
		.instance = router->settings.instance,
		.incarnation = router->incarnation,
		.role = BSH_ROLE_ROUTER,
		.address = router->settings.router_listen,
		.timeline = &router->timeline,
	};
	link->intents = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      free_kept);
	g_queue_init(&link->results);
	bsh_loop_timer_init(&link->tick, &router->control_loop, on_tick, link);
	bsh_loop_timer_init(&link->events_timer, &router->control_loop,
			    on_events_timer, link);
	bsh_frame_register_counters();
	router->link = link;
	link->down_since_us = bsh_loop_clock_us();
	link->channel = bsh_channel_connect(
		&router->control_loop, &link->identity,
		router->settings.control_link, &channel_ops, link);
	on_tick(link);
	on_events_timer(link);
}

void router_link_stop(router_t *router)
{
	router_link_t *link = router->link;

	bsh_loop_timer_stop(&link->tick);
	bsh_loop_timer_stop(&link->events_timer);
	bsh_channel_close(link->channel);
	g_hash_table_destroy(link->intents);
	g_queue_clear_full(&link->results, free_kept);
	router_config_unref(link->config);
	g_free(link);
	router->link = NULL;
}

/* From the traffic thread. */

static void refuse_intent(router_link_t *link, uint64_t id)
{
	bsh_message_t message = { .type = BSH_MSG_INTENT_ANSWER };

	message.sender = "";
	message.intent_answer.id = id;
	message.intent_answer.verdict = BSH_VERDICT_UNAVAILABLE;
	message.intent_answer.retry_after_ms = LINK_RETRY_MS;
	message.intent_answer.content_type = "";
	pass(link, &message, 0);
}

static void out_intent(router_link_t *link, bsh_message_t *message,
		       const parcel_t *parcel)
{
	uint64_t id = message->intent.id;
	kept_t *kept;

	if (!bsh_channel_is_up(link->channel) ||
	    bsh_channel_send(link->channel, message) != BSH_OK) {
		refuse_intent(link, id);
		return;
	}
	kept = keep(id, parcel->data, parcel->size);
	g_hash_table_replace(link->intents, &kept->id, kept);
}

static bool is_same_attempt(const kept_t *kept, const uint8_t *attempt)
{
	bsh_message_t message;
	bool same;

	if (bsh_message_decode(&message, kept->data, kept->size) != BSH_OK)
		return false;
	same = memcmp(message.intent.attempt, attempt,
		      BSH_ATTEMPT_SIZE_BYTES) == 0;
	bsh_message_finish(&message);
	return same;
}

/* A result also withdraws an intent that is still without an answer. */
static void forget_intent(const router_link_t *link, const uint8_t *attempt)
{
	GHashTableIter it;
	void *kept;

	g_hash_table_iter_init(&it, link->intents);
	while (g_hash_table_iter_next(&it, NULL, &kept)) {
		if (is_same_attempt(kept, attempt)) {
			g_hash_table_iter_remove(&it);
			return;
		}
	}
}

static void out_result(router_link_t *link, const bsh_message_t *message,
		       const parcel_t *parcel)
{
	forget_intent(link, message->intent_done.attempt);
	if (g_queue_get_length(&link->results) >= MAX_KEPT_RESULTS)
		drop_results(link);
	g_queue_push_tail(&link->results, keep(0, parcel->data, parcel->size));
	send_results(link);
}

static void out(void *ctx)
{
	parcel_t *parcel = ctx;
	router_link_t *link = parcel->router->link;
	bsh_message_t message;

	if (link == NULL ||
	    bsh_message_decode(&message, parcel->data, parcel->size) != BSH_OK)
		goto done;
	switch (message.type) {
	case BSH_MSG_INTENT:
		out_intent(link, &message, parcel);
		break;
	case BSH_MSG_INTENT_DONE:
		out_result(link, &message, parcel);
		break;
	case BSH_MSG_DRAIN:
		link->draining = true;
		link->drain_ended = message.drain.phase == BSH_PHASE_ENDED;
		send_drain(link, link->drain_ended, message.drain.running);
		break;
	default:
		/* NEED is repeated, a report is replaced by the next one. */
		bsh_channel_send(link->channel, &message);
		break;
	}
	bsh_message_finish(&message);
done:
	free(parcel->data);
	g_free(parcel);
}

static void post(router_t *router, bsh_message_t *message)
{
	parcel_t *parcel = g_new0(parcel_t, 1);

	message->sender = "";
	if (bsh_message_encode(message, &parcel->data, &parcel->size) !=
	    BSH_OK) {
		g_free(parcel);
		return;
	}
	parcel->router = router;
	bsh_loop_post(&router->control_loop, out, parcel);
}

void router_send_need(router_t *router, uint64_t id, const char *model,
		      uint64_t deadline_ms, uint32_t priority, uint32_t waiting)
{
	bsh_message_t message = { .type = BSH_MSG_NEED };

	message.need = (bsh_msg_need_t){
		.id = id,
		.model = model,
		.deadline_ms = deadline_ms,
		.priority = priority,
		.waiting = waiting,
	};
	post(router, &message);
}

void router_send_report(router_t *router, const router_report_t *entries,
			uint32_t count)
{
	g_autofree bsh_report_entry_t *out_entries =
		g_new0(bsh_report_entry_t, count + 1);
	bsh_message_t message = { .type = BSH_MSG_REPORT };

	for (uint32_t i = 0; i < count; i++)
		out_entries[i] = (bsh_report_entry_t){
			.model = entries[i].name,
			.target = entries[i].target,
			.target_incarnation = entries[i].target_incarnation,
			.started = entries[i].started,
			.running = entries[i].running,
			.waiting = entries[i].waiting,
		};
	message.report.entries = out_entries;
	message.report.entry_count = count;
	post(router, &message);
}

void router_send_intent(router_t *router, const router_intent_t *intent)
{
	bsh_message_t message = { .type = BSH_MSG_INTENT };

	message.intent.id = intent->id;
	message.intent.service = intent->service;
	message.intent.key = intent->key;
	memcpy(message.intent.digest, intent->digest, BSH_DIGEST_SIZE_BYTES);
	memcpy(message.intent.attempt, intent->attempt, BSH_ATTEMPT_SIZE_BYTES);
	post(router, &message);
}

void router_send_intent_done(router_t *router, const router_intent_t *intent,
			     const router_result_t *result)
{
	bsh_message_t message = { .type = BSH_MSG_INTENT_DONE };
	bsh_msg_intent_done_t *done = &message.intent_done;

	done->service = intent->service;
	done->key = intent->key;
	memcpy(done->digest, intent->digest, BSH_DIGEST_SIZE_BYTES);
	memcpy(done->attempt, intent->attempt, BSH_ATTEMPT_SIZE_BYTES);
	done->outcome = (uint32_t)result->outcome;
	done->status = result->status;
	done->content_type =
		result->content_type != NULL ? result->content_type : "";
	done->body = result->body;
	done->body_bytes = result->body_bytes;
	done->body_too_large = result->body_too_large;
	post(router, &message);
}

void router_send_drain(router_t *router, bool ended, uint32_t running)
{
	bsh_message_t message = { .type = BSH_MSG_DRAIN };

	message.drain.phase = ended ? BSH_PHASE_ENDED : BSH_PHASE_BEGIN;
	message.drain.alternative = "";
	message.drain.running = running;
	post(router, &message);
}
