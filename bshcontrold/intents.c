/*
 * Journal of idempotency keys: connects the router of this instance with the
 * journal module, and the journal with its buckets in the store.
 */
#include "control.h"

#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/json_text.h"
#include "coordination/journal.h"

#define OBJECT_KIND "intent"
/* An intent that is not decided by then is answered as unavailable.  The store
 * usually answers within milliseconds. */
#define DECISION_TIMEOUT_US INT64_C(5000000)

/* An intent whose answer the router waits for. */
typedef struct {
	uint64_t token; /* assigned by this process */
	uint64_t id;	/* assigned by the router */
	bsh_channel_t *router;
} intent_t;

typedef struct {
	control_t *control;
	uint64_t call; /* of the journal, returned with the answer */
} store_call_t;

struct intents {
	bsh_journal_t journal;
	bsh_loop_timer_t timer;
	GHashTable *open;    /* &intent->token to intent_t, not yet answered */
	uint64_t next_token; /* token of the newest intent */
};

static bsh_counter_t pending_gauge =
	BSH_GAUGE("bsh_journal_pending", "Intents and results not written.");
static bsh_counter_t writes_counter =
	BSH_COUNTER("bsh_journal_writes_total", "Bucket writes.");
static bsh_counter_t commits_counter =
	BSH_COUNTER("bsh_journal_committed_total", "Intents committed.");

static void run(control_t *control);

static bsh_store_status_t store_status(const bsh_store_answer_t *answer)
{
	switch (answer->result) {
	case BSH_CALL_DONE:
		return BSH_STORE_OK;
	case BSH_CALL_NOT_FOUND:
		return BSH_STORE_MISSING;
	case BSH_CALL_CONFLICT:
		return BSH_STORE_CONFLICT;
	case BSH_CALL_REFUSED:
		return BSH_STORE_RATE;
	case BSH_CALL_UNAVAILABLE:
		return BSH_STORE_DOWN;
	default:
		return BSH_STORE_LOST;
	}
}

static void on_read(void *ctx, const bsh_store_answer_t *answer)
{
	store_call_t *call = ctx;
	control_t *control = call->control;
	bsh_store_status_t status = store_status(answer);
	char *text = status == BSH_STORE_OK
			     ? bsh_json_text(answer->value,
					     JSON_COMPACT | JSON_ENCODE_ANY)
			     : NULL;

	bsh_journal_read_done(&control->intents->journal, call->call, status,
			      answer->version, text,
			      text != NULL ? strlen(text) : 0,
			      answer->retry_after_ms, control_now_us());
	free(text);
	g_free(call);
	run(control);
}

static void on_write(void *ctx, const bsh_store_answer_t *answer)
{
	store_call_t *call = ctx;
	control_t *control = call->control;

	bsh_journal_write_done(&control->intents->journal, call->call,
			       store_status(answer), answer->version,
			       answer->retry_after_ms, control_now_us());
	g_free(call);
	run(control);
}

static store_call_t *make_call(control_t *control, uint64_t number)
{
	store_call_t *call = g_new0(store_call_t, 1);

	call->control = control;
	call->call = number;
	return call;
}

static void read_bucket(void *ctx, uint64_t call, const char *name)
{
	control_t *control = ctx;

	bsh_store_get(&control->store, OBJECT_KIND, name, on_read,
		      make_call(control, call));
}

static void write_bucket(void *ctx, uint64_t call, const char *name,
			 uint64_t version, const char *value, size_t size)
{
	control_t *control = ctx;

	bsh_store_put(&control->store, OBJECT_KIND, name, version, value, size,
		      on_write, make_call(control, call));
}

static bsh_msg_verdict_t message_verdict(bsh_intent_verdict_t verdict)
{
	switch (verdict) {
	case BSH_INTENT_RUN:
		return BSH_VERDICT_RUN;
	case BSH_INTENT_ANSWERED:
		return BSH_VERDICT_ANSWERED;
	case BSH_INTENT_NOT_KEPT:
		return BSH_VERDICT_NOT_KEPT;
	case BSH_INTENT_IN_PROGRESS:
		return BSH_VERDICT_IN_PROGRESS;
	case BSH_INTENT_MISMATCH:
		return BSH_VERDICT_MISMATCH;
	case BSH_INTENT_UNAVAILABLE:
		return BSH_VERDICT_UNAVAILABLE;
	case BSH_INTENT_UNKNOWN:
		break;
	}
	return BSH_VERDICT_UNKNOWN;
}

static void send_answer(void *ctx, uint64_t token, bsh_intent_verdict_t verdict,
			const bsh_journal_result_t *result,
			uint32_t retry_after_ms)
{
	control_t *control = ctx;
	const intent_t *intent =
		g_hash_table_lookup(control->intents->open, &token);
	bsh_message_t message = { .type = BSH_MSG_INTENT_ANSWER };

	bsh_timeline_add(&control->timeline, "intent", "{s:I, s:s}", "token",
			 (json_int_t)token, "verdict",
			 verdict == BSH_INTENT_RUN ? "run" : "not-run");
	if (intent == NULL)
		return;
	message.intent_answer.id = intent->id;
	message.intent_answer.verdict = message_verdict(verdict);
	message.intent_answer.retry_after_ms = retry_after_ms;
	if (verdict == BSH_INTENT_ANSWERED && result != NULL) {
		message.intent_answer.status = result->status;
		message.intent_answer.content_type = result->content_type;
		message.intent_answer.body = result->body;
		message.intent_answer.body_bytes = (uint32_t)result->body_size;
	}
	bsh_channel_send(intent->router, &message);
	g_hash_table_remove(control->intents->open, &token);
}

static void on_recorded(void *ctx, uint64_t token, bool ok)
{
	control_t *control = ctx;

	bsh_timeline_add(&control->timeline, "intent-recorded", "{s:I, s:b}",
			 "token", (json_int_t)token, "ok", ok);
}

static bool is_router_gone(void *ctx, const char *instance,
			   uint64_t incarnation)
{
	control_t *control = ctx;

	if (strcmp(instance, control->settings.instance) == 0)
		return routers_incarnation(control) > incarnation;
	return targets_is_entry_gone(control, instance);
}

static const bsh_journal_ops_t journal_ops = {
	.read = read_bucket,
	.write = write_bucket,
	.answer = send_answer,
	.recorded = on_recorded,
	.is_gone = is_router_gone,
};

static void run(control_t *control)
{
	struct intents *intents = control->intents;
	bsh_journal_t *journal = &intents->journal;

	bsh_journal_set_wall_offset(journal,
				    g_get_real_time() - control_now_us());
	bsh_journal_tick(journal, control_now_us());
	bsh_counter_set(&pending_gauge, bsh_journal_pending(journal));
	bsh_counter_set(&writes_counter, (int64_t)journal->writes);
	bsh_counter_set(&commits_counter, (int64_t)journal->committed);
	control_timer_at(&intents->timer, bsh_journal_next_us(journal));
}

static void on_timer(void *ctx)
{
	run(ctx);
}

static void receive_intent(control_t *control, bsh_channel_t *router,
			   const bsh_message_t *message)
{
	intent_t *intent = g_new0(intent_t, 1);
	bsh_intent_t in = { .service = message->intent.service,
			    .key = message->intent.key,
			    .instance = message->sender,
			    .incarnation = message->incarnation,
			    .deadline_us =
				    control_now_us() + DECISION_TIMEOUT_US,
			    .token = ++control->intents->next_token };

	intent->token = in.token;
	intent->id = message->intent.id;
	intent->router = router;
	memcpy(in.digest, message->intent.digest, sizeof(in.digest));
	memcpy(in.attempt, message->intent.attempt, sizeof(in.attempt));
	g_hash_table_insert(control->intents->open, &intent->token, intent);
	if (bsh_journal_intent(&control->intents->journal, &in,
			       control_now_us()) != BSH_OK)
		send_answer(control, in.token, BSH_INTENT_UNAVAILABLE, NULL,
			    1000);
}

static void receive_result(control_t *control, const bsh_message_t *message)
{
	const bsh_msg_intent_done_t *done = &message->intent_done;
	bsh_intent_t in = { .service = done->service,
			    .key = done->key,
			    .instance = message->sender,
			    .incarnation = message->incarnation,
			    .token = ++control->intents->next_token };
	bsh_journal_result_t result = {
		.outcome = (bsh_outcome_t)done->outcome,
		.status = (uint16_t)done->status,
		.content_type = done->content_type,
		.body = done->body_too_large ? NULL : done->body,
		.body_size = done->body_too_large ? 0 : done->body_bytes
	};

	memcpy(in.digest, done->digest, sizeof(in.digest));
	memcpy(in.attempt, done->attempt, sizeof(in.attempt));
	bsh_journal_record_result(&control->intents->journal, &in, &result,
				  control_now_us());
}

void intents_receive(control_t *control, bsh_channel_t *router,
		     const bsh_message_t *message)
{
	if (message->type == BSH_MSG_INTENT)
		receive_intent(control, router, message);
	else
		receive_result(control, message);
	run(control);
}

static gboolean is_of_router(gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	return ((intent_t *)value)->router == ctx;
}

void intents_router_down(control_t *control, bsh_channel_t *router)
{
	g_hash_table_foreach_remove(control->intents->open, is_of_router,
				    router);
}

uint32_t intents_pending(const control_t *control)
{
	return bsh_journal_pending(&control->intents->journal);
}

void intents_start(control_t *control)
{
	struct intents *intents = g_new0(struct intents, 1);
	bsh_journal_config_t config;

	bsh_counter_register(&pending_gauge);
	bsh_counter_register(&writes_counter);
	bsh_counter_register(&commits_counter);
	bsh_journal_config_default(&config);
	config.keep_s = control->settings.journal_keep_s;
	config.wall_offset_us = g_get_real_time() - control_now_us();
	config.seed = control_seed();
	control->intents = intents;
	intents->open = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	bsh_journal_init(&intents->journal, &config, &journal_ops, control);
	bsh_loop_timer_init(&intents->timer, &control->loop, on_timer, control);
}

void intents_stop(control_t *control)
{
	struct intents *intents = control->intents;

	bsh_loop_timer_stop(&intents->timer);
	bsh_journal_finish(&intents->journal);
	g_hash_table_destroy(intents->open);
	g_free(intents);
}
