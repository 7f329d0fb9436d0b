#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "protocol/frame.h"
#include "protocol/message.h"
#include "router.h"

/* INTENT_DONE messages queued while the link is down; when the queue is full,
 * all of them are dropped. */
#define RESULTS_QUEUED_MAX 65536
/* The queue is dropped after the link was down for this long, so that a drain
 * ends also without a controller. */
#define RESULTS_KEEP_US INT64_C(30000000)
/* Retry-After while the link is down; the controller usually reconnects within
 * this time. */
#define LINK_RETRY_AFTER_MS 1000
/* No round of this loop takes as long as this, so ticks further apart mean that
 * the process was stopped; messages that it reads now may be as old as the stop
 * was long. */
#define STALL_THRESHOLD_US INT64_C(500000)
#define TICK_INTERVAL_US   INT64_C(100000)
#define EVENTS_INTERVAL_US INT64_C(250000)
/* Of one EVENTS message; a frame has at most 1 MiB. */
#define EVENTS_MAX_BYTES 262144

/* Encoded message posted to the other thread. */
typedef struct {
	router_t *router;
	char *data;
	size_t size;
	int64_t until_us; /* FRESH: end of the confirmation, monotonic */
} encoded_msg_t;

/* Encoded INTENT without a verdict, or INTENT_DONE not sent yet. */
typedef struct {
	uint64_t id;
	char *data;
	size_t size;
} saved_msg_t;

struct router_link {
	router_t *router;
	bsh_identity_t identity;
	bsh_channel_t *channel;
	router_config_t *config;
	GHashTable *intents; /* id -> saved_msg_t, until the verdict */
	GQueue results;	     /* saved_msg_t, until sent */
	bool draining;
	bool drain_ended;
	bsh_loop_timer_t tick;
	int64_t last_tick_us;
	int64_t ignore_fresh_until_us;
	int64_t down_since_us;
	bsh_loop_timer_t events_timer;
	uint64_t events_sent; /* sequence of the last event sent */
};

static void free_saved_msg(void *data)
{
	saved_msg_t *saved = data;

	free(saved->data);
	g_free(saved);
}

static saved_msg_t *save_msg(uint64_t id, const char *data, size_t size)
{
	saved_msg_t *saved = g_new0(saved_msg_t, 1);

	saved->id = id;
	saved->data = malloc(size);
	if (saved->data == NULL)
		abort();
	memcpy(saved->data, data, size);
	saved->size = size;
	return saved;
}

/* Messages for the traffic thread. */

static void handle_routes(router_t *router, const bsh_msg_routes_t *msg)
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

static void handle_report(router_t *router, const bsh_msg_report_t *msg)
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

static void handle_need_answer(router_t *router,
			       const bsh_msg_need_answer_t *msg)
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
	/* A verdict unknown to this version must not run the call. */
	return ROUTER_INTENT_UNKNOWN;
}

static void handle_intent_answer(router_t *router,
				 const bsh_msg_intent_answer_t *msg)
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

static void handle_message(router_t *router, const bsh_message_t *message,
			   int64_t until_us)
{
	switch (message->type) {
	case BSH_MSG_ROUTES:
		handle_routes(router, &message->routes);
		break;
	case BSH_MSG_REPORT:
		handle_report(router, &message->report);
		break;
	case BSH_MSG_FRESH:
		router_on_fresh(router, message->fresh.generation, until_us);
		break;
	case BSH_MSG_NEED_ANSWER:
		handle_need_answer(router, &message->need_answer);
		break;
	case BSH_MSG_INTENT_ANSWER:
		handle_intent_answer(router, &message->intent_answer);
		break;
	case BSH_MSG_DRAIN:
		router_on_drain(router, message->drain.alternative);
		break;
	default:
		break;
	}
}

static void run_message(void *ctx)
{
	encoded_msg_t *encoded = ctx;
	bsh_message_t message;

	if (bsh_message_decode(&message, encoded->data, encoded->size) ==
	    BSH_OK) {
		handle_message(encoded->router, &message, encoded->until_us);
		bsh_message_finish(&message);
	}
	free(encoded->data);
	g_free(encoded);
}

/* Posts an encoded copy, because the message owns its strings. */
static void post_to_traffic(router_link_t *link, const bsh_message_t *message,
			    int64_t until_us)
{
	encoded_msg_t *encoded = g_new0(encoded_msg_t, 1);

	if (bsh_message_encode(message, &encoded->data, &encoded->size) !=
	    BSH_OK) {
		g_free(encoded);
		return;
	}
	encoded->router = link->router;
	encoded->until_us = until_us;
	bsh_loop_post(&link->router->traffic_loop, run_message, encoded);
}

typedef struct {
	router_t *router;
	router_config_t *config;
} config_post_t;

static void run_config(void *ctx)
{
	config_post_t *post = ctx;

	router_on_config(post->router, post->config);
	g_free(post);
}

typedef struct {
	router_t *router;
	uint32_t count;
} dequeued_post_t;

static void run_results_dequeued(void *ctx)
{
	dequeued_post_t *post = ctx;

	router_on_results_dequeued(post->router, post->count);
	g_free(post);
}

static void post_results_dequeued(router_link_t *link, uint32_t count)
{
	dequeued_post_t *post = g_new0(dequeued_post_t, 1);

	post->router = link->router;
	post->count = count;
	bsh_loop_post(&link->router->traffic_loop, run_results_dequeued, post);
}

/* Configuration. */

static void adopt_config(router_link_t *link, router_config_t *config)
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
	bsh_loop_post(&router->traffic_loop, run_config, post);
}

static void on_config(router_link_t *link, const bsh_msg_config_t *msg)
{
	GArray *problems;
	router_config_t *config;
	bsh_error_t err;

	/* The generation only increases. */
	if (link->config != NULL && msg->generation <= link->config->generation)
		return;
	config = g_new0(router_config_t, 1);
	g_atomic_ref_count_init(&config->refs);
	config->generation = msg->generation;
	problems = bsh_doc_problems_new();
	err = bsh_document_init(&config->doc, msg->text, strlen(msg->text),
				problems);
	if (err == BSH_OK) {
		adopt_config(link, config);
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

/* The intent of a dropped result stays open in the journal, so a later request
 * with its key gets the verdict "unknown", which is correct. */
static void drop_results(router_link_t *link)
{
	uint32_t dropped = g_queue_get_length(&link->results);

	if (dropped == 0)
		return;
	bsh_log(BSH_LOG_WARNING, "results-dropped count=%u", dropped);
	g_queue_clear_full(&link->results, free_saved_msg);
	post_results_dequeued(link, dropped);
}

/* Confirmation of the configuration. */

static void on_tick(void *ctx)
{
	router_link_t *link = ctx;
	int64_t now_us = bsh_loop_clock_us();

	link->last_tick_us = now_us;
	if (!bsh_channel_is_up(link->channel) &&
	    now_us - link->down_since_us > RESULTS_KEEP_US)
		drop_results(link);
	bsh_loop_timer_start(&link->tick, now_us + TICK_INTERVAL_US);
}

/*
 * End of the confirmation in a FRESH message.  Its remaining time counts from
 * the send, and the frame may have waited in the socket while this process was
 * stopped.  The wait is taken from the stamp of the frame.  As a peer clock
 * that runs ahead can advance the stamps and hide the wait, confirmations read
 * within STALL_THRESHOLD_US after a stall of this loop are ignored.
 */
static int64_t fresh_until(router_link_t *link, const bsh_message_t *message)
{
	int64_t now_us = bsh_loop_clock_us();
	int64_t waited_us = g_get_real_time() - message->stamp.physical_us;

	if (now_us - link->last_tick_us > STALL_THRESHOLD_US)
		link->ignore_fresh_until_us = now_us + STALL_THRESHOLD_US;
	if (!message->fresh.confirmed || now_us < link->ignore_fresh_until_us)
		return now_us;
	return now_us - MAX(waited_us, 0) +
	       (int64_t)MIN(message->fresh.remaining_ms,
			    link->router->settings.fresh_ms) *
		       1000;
}

/* Channel. */

static void send_saved_msg(const router_link_t *link, const saved_msg_t *saved)
{
	bsh_message_t message;

	if (bsh_message_decode(&message, saved->data, saved->size) != BSH_OK)
		return;
	bsh_channel_send(link->channel, &message);
	bsh_message_finish(&message);
}

static void send_results(router_link_t *link)
{
	saved_msg_t *saved;
	uint32_t sent = 0;

	while (bsh_channel_is_up(link->channel) &&
	       (saved = g_queue_pop_head(&link->results)) != NULL) {
		send_saved_msg(link, saved);
		free_saved_msg(saved);
		sent++;
	}
	if (sent > 0)
		post_results_dequeued(link, sent);
}

/* Sends whole lines up to EVENTS_MAX_BYTES; number of bytes sent, or 0. */
static size_t send_events_part(const router_link_t *link, char *text)
{
	bsh_message_t message = { .type = BSH_MSG_EVENTS };
	size_t length = strlen(text);
	char *end;

	if (length > EVENTS_MAX_BYTES) {
		end = memrchr(text, '\n', EVENTS_MAX_BYTES);
		length = end != NULL ? (size_t)(end - text) + 1 : length;
	}
	end = text + length;
	/* The terminator replaces the last newline; the next part begins after
	 * it. */
	if (*end != '\0')
		end[-1] = '\0';
	message.events.lines = text;
	if (bsh_channel_send(link->channel, &message) != BSH_OK)
		return 0;
	return length;
}

/*
 * Sends new timeline events to the controller, which writes the events of both
 * daemons to the store: the ring buffer of this process is lost when it dies.
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
		size_t n = send_events_part(link, text->str + sent);

		if (n == 0)
			return; /* all parts are sent again next time */
		sent += n;
	}
	link->events_sent = last;
}

static void on_events_timer(void *ctx)
{
	router_link_t *link = ctx;

	send_events(link);
	bsh_loop_timer_after(&link->events_timer, EVENTS_INTERVAL_US);
}

static void send_drain(router_link_t *link, bool ended, uint32_t running)
{
	bsh_message_t message = { .type = BSH_MSG_DRAIN };

	message.drain.phase = ended ? BSH_PHASE_ENDED : BSH_PHASE_BEGIN;
	message.drain.alternative = "";
	message.drain.running = running;
	/* The controller may exit on receipt of BSH_PHASE_ENDED, so the
	 * events are sent before it. */
	if (ended)
		send_events(link);
	bsh_channel_send(link->channel, &message);
}

static void on_up(void *ctx, bsh_channel_t *channel)
{
	router_link_t *link = ctx;
	GHashTableIter it;
	void *saved;

	bsh_counter_set(&router_counters.link_up, 1);
	bsh_log(BSH_LOG_INFO, "link-up controller=%s",
		bsh_channel_peer_name(channel));
	link->events_sent = 0;
	/* Repeating an intent is safe: the same attempt id gets the same
	 * verdict. */
	g_hash_table_iter_init(&it, link->intents);
	while (g_hash_table_iter_next(&it, NULL, &saved))
		send_saved_msg(link, saved);
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
	post_to_traffic(link, message, until_us);
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
					      free_saved_msg);
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
	g_queue_clear_full(&link->results, free_saved_msg);
	router_config_unref(link->config);
	g_free(link);
	router->link = NULL;
}

/* Messages from the traffic thread. */

static void refuse_intent(router_link_t *link, uint64_t id)
{
	bsh_message_t message = { .type = BSH_MSG_INTENT_ANSWER };

	message.sender = "";
	message.intent_answer.id = id;
	message.intent_answer.verdict = BSH_VERDICT_UNAVAILABLE;
	message.intent_answer.retry_after_ms = LINK_RETRY_AFTER_MS;
	message.intent_answer.content_type = "";
	post_to_traffic(link, &message, 0);
}

static void send_intent(router_link_t *link, bsh_message_t *message,
			const encoded_msg_t *encoded)
{
	uint64_t id = message->intent.id;
	saved_msg_t *saved;

	if (!bsh_channel_is_up(link->channel) ||
	    bsh_channel_send(link->channel, message) != BSH_OK) {
		refuse_intent(link, id);
		return;
	}
	saved = save_msg(id, encoded->data, encoded->size);
	g_hash_table_replace(link->intents, &saved->id, saved);
}

static bool is_same_attempt(const saved_msg_t *saved, const uint8_t *attempt)
{
	bsh_message_t message;
	bool same;

	if (bsh_message_decode(&message, saved->data, saved->size) != BSH_OK)
		return false;
	same = memcmp(message.intent.attempt, attempt,
		      BSH_ATTEMPT_SIZE_BYTES) == 0;
	bsh_message_finish(&message);
	return same;
}

/* Removes the saved intent of an attempt that ended: its result also withdraws
 * an intent without a verdict. */
static void remove_intent(const router_link_t *link, const uint8_t *attempt)
{
	GHashTableIter it;
	void *saved;

	g_hash_table_iter_init(&it, link->intents);
	while (g_hash_table_iter_next(&it, NULL, &saved)) {
		if (is_same_attempt(saved, attempt)) {
			g_hash_table_iter_remove(&it);
			return;
		}
	}
}

static void queue_result(router_link_t *link, const bsh_message_t *message,
			 const encoded_msg_t *encoded)
{
	remove_intent(link, message->intent_done.attempt);
	if (g_queue_get_length(&link->results) >= RESULTS_QUEUED_MAX)
		drop_results(link);
	g_queue_push_tail(&link->results,
			  save_msg(0, encoded->data, encoded->size));
	send_results(link);
}

static void run_outgoing(void *ctx)
{
	encoded_msg_t *encoded = ctx;
	router_link_t *link = encoded->router->link;
	bsh_message_t message;

	if (link == NULL || bsh_message_decode(&message, encoded->data,
					       encoded->size) != BSH_OK)
		goto done;
	switch (message.type) {
	case BSH_MSG_INTENT:
		send_intent(link, &message, encoded);
		break;
	case BSH_MSG_INTENT_DONE:
		queue_result(link, &message, encoded);
		break;
	case BSH_MSG_DRAIN:
		link->draining = true;
		link->drain_ended = message.drain.phase == BSH_PHASE_ENDED;
		send_drain(link, link->drain_ended, message.drain.running);
		break;
	default:
		/* May be lost: NEED is repeated, and the next REPORT replaces
		 * this one. */
		bsh_channel_send(link->channel, &message);
		break;
	}
	bsh_message_finish(&message);
done:
	free(encoded->data);
	g_free(encoded);
}

static void post_to_control(router_t *router, bsh_message_t *message)
{
	encoded_msg_t *encoded = g_new0(encoded_msg_t, 1);

	message->sender = "";
	if (bsh_message_encode(message, &encoded->data, &encoded->size) !=
	    BSH_OK) {
		g_free(encoded);
		return;
	}
	encoded->router = router;
	bsh_loop_post(&router->control_loop, run_outgoing, encoded);
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
	post_to_control(router, &message);
}

void router_send_report(router_t *router, const router_report_t *entries,
			uint32_t count)
{
	g_autofree bsh_report_entry_t *msg_entries =
		g_new0(bsh_report_entry_t, count + 1);
	bsh_message_t message = { .type = BSH_MSG_REPORT };

	for (uint32_t i = 0; i < count; i++)
		msg_entries[i] = (bsh_report_entry_t){
			.model = entries[i].name,
			.target = entries[i].target,
			.target_incarnation = entries[i].target_incarnation,
			.started = entries[i].started,
			.running = entries[i].running,
			.waiting = entries[i].waiting,
		};
	message.report.entries = msg_entries;
	message.report.entry_count = count;
	post_to_control(router, &message);
}

void router_send_intent(router_t *router, const router_intent_t *intent)
{
	bsh_message_t message = { .type = BSH_MSG_INTENT };

	message.intent.id = intent->id;
	message.intent.service = intent->service;
	message.intent.key = intent->key;
	memcpy(message.intent.digest, intent->digest, BSH_DIGEST_SIZE_BYTES);
	memcpy(message.intent.attempt, intent->attempt, BSH_ATTEMPT_SIZE_BYTES);
	post_to_control(router, &message);
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
	post_to_control(router, &message);
}

void router_send_drain(router_t *router, bool ended, uint32_t running)
{
	bsh_message_t message = { .type = BSH_MSG_DRAIN };

	message.drain.phase = ended ? BSH_PHASE_ENDED : BSH_PHASE_BEGIN;
	message.drain.alternative = "";
	message.drain.running = running;
	post_to_control(router, &message);
}
