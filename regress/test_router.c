#include <arpa/inet.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/rig.h"
#include "transport/http_server.h"

#define DOCUMENT                                                               \
	"{\"deployment\":\"d\",\"weight\":0.5,\"weight_store\":"               \
	"{\"loads_per_s\":3,\"concurrent\":4},\"pools\":["                     \
	"{\"name\":\"e\",\"kind\":\"engine\",\"fencing\":true,"                \
	"\"memory_mib\":1000,\"max_running\":64},"                             \
	"{\"name\":\"s\",\"kind\":\"service\",\"fencing\":false,"              \
	"\"memory_mib\":1,\"max_running\":64}],\"models\":["                   \
	"{\"name\":\"m\",\"version\":\"1\",\"pool\":\"e\","                    \
	"\"memory_mib\":100,\"max_replicas\":2,\"priority\":5,"                \
	"\"load_ms\":200,\"deadline_ms\":20000,\"repeatable\":true}],"         \
	"\"services\":[{\"name\":\"pay\",\"pool\":\"s\",\"repeatable\":false," \
	"\"deadline_ms\":10000},{\"name\":\"ping\",\"pool\":\"s\","            \
	"\"repeatable\":true,\"deadline_ms\":10000}]}"

#define CHAT                                                                   \
	"{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}" \
	"]}"
#define STREAM                                                                 \
	"{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\","   \
	"\"content\":\"x\"}]}"

#define BIG_BYTES 3000000

/* What a target does with the next request. */
typedef enum {
	DO_ANSWER, /* whole, at once */
	DO_HOLD,   /* begin a stream and leave it open */
	DO_CUT,	   /* one event, half an event, then close */
	DO_CROSS,  /* answer with the id of another request */
	DO_REFUSE, /* 503 that names the request */
	DO_BIG,	   /* a body of BIG_BYTES at once */
	DO_SILENT  /* nothing */
} deed_t;

typedef struct {
	struct world *world;
	bsh_http_server_t *server;
	char address[32];
	deed_t deed;
	int requests;
	int gone;
	bsh_http_request_t *held;
	char *key; /* Idempotency-Key of the last request */
	char *path;
} target_t;

typedef struct {
	int done;
	int bytes; /* received so far */
	int status;
	bsh_error_t err;
	GString *body;
	char outcome[16];
	char retry_after[16];
	char entry[64];
	bsh_http_call_t *call;
} reply_t;

typedef struct world {
	rig_t rig;
	target_t a;
	target_t b;
	int needs;
	int intents;
	int dones;
	int drains;
	uint64_t need_id;
	uint64_t intent_id;
	uint8_t attempt[BSH_ATTEMPT_SIZE_BYTES];
	uint32_t outcome; /* of the last INTENT_DONE */
	char *recorded;
} world_t;

/* Targets. */

static void on_target_done(void *ctx, bool delivered)
{
	target_t *target = ctx;

	target->held = NULL;
	target->gone += !delivered;
}

static void answer(target_t *target, bsh_http_request_t *request)
{
	static const char text[] = "{\"ok\":true}";
	const char *body = bsh_http_request_body(request, NULL);

	(void)target;
	if (strstr(body, "\"stream\":true") != NULL) {
		static const char events[] =
			"data: {\"t\":1}\n\ndata: [DONE]\n\n";

		bsh_http_response_add_header(request, "Content-Type",
					     "text/event-stream");
		bsh_http_response_begin(request, 200, -1);
		bsh_http_response_write(request, events, strlen(events));
		bsh_http_response_end(request);
		return;
	}
	bsh_http_response_add_header(request, "Content-Type",
				     "application/json");
	bsh_http_response_send(request, 200, text, strlen(text));
}

static void begin_stream(bsh_http_request_t *request, const char *text)
{
	bsh_http_response_add_header(request, "Content-Type",
				     "text/event-stream");
	bsh_http_response_begin(request, 200, -1);
	bsh_http_response_write(request, text, strlen(text));
}

static void on_target_request(void *ctx, bsh_http_request_t *request)
{
	static const bsh_http_request_handler_t handler = { on_target_done,
							    NULL };
	target_t *target = ctx;
	const char *id = bsh_http_request_header(request, "X-Request-Id");

	target->requests++;
	g_free(target->key);
	g_free(target->path);
	target->key =
		g_strdup(bsh_http_request_header(request, "Idempotency-Key"));
	target->path = g_strdup(bsh_http_request_target(request));
	bsh_http_request_set_handler(request, &handler, target);
	bsh_http_response_add_header(
		request, "X-Request-Id",
		target->deed == DO_CROSS ? "0000000000000001-0000000000000001-1"
					 : id);
	switch (target->deed) {
	case DO_CROSS:
	case DO_ANSWER:
		answer(target, request);
		break;
	case DO_HOLD:
		target->held = request;
		begin_stream(request, "data: {\"t\":1}\n\n");
		break;
	case DO_CUT:
		begin_stream(request, "data: {\"t\":1}\n\ndata: {\"t\"");
		bsh_http_response_abort(request);
		break;
	case DO_REFUSE:
		bsh_http_response_send(request, 503, "", 0);
		break;
	case DO_BIG: {
		g_autofree char *text = g_malloc(BIG_BYTES);

		for (int i = 0; i < BIG_BYTES; i++)
			text[i] = (char)('a' + i % 23);
		bsh_http_response_send(request, 200, text, BIG_BYTES);
		break;
	}
	case DO_SILENT:
		break;
	}
}

static void target_init(target_t *target, world_t *world)
{
	bsh_http_server_config_t config = {
		.address = "127.0.0.1:0",
		.max_connections = 1000,
		.idle_timeout_s = 60,
		.body_max_bytes = 1 << 20,
		.on_request = on_target_request,
		.ctx = target,
	};

	memset(target, 0, sizeof(*target));
	target->world = world;
	if (bsh_http_server_new(&target->server, &world->rig.loop, &config) !=
	    BSH_OK)
		g_error("cannot listen");
	g_snprintf(target->address, sizeof(target->address), "127.0.0.1:%u",
		   bsh_http_server_port(target->server));
}

/* World. */

static void on_message(void *ctx, const bsh_message_t *message)
{
	world_t *w = ctx;

	switch (message->type) {
	case BSH_MSG_NEED:
		w->needs++;
		w->need_id = message->need.id;
		break;
	case BSH_MSG_INTENT:
		w->intents++;
		w->intent_id = message->intent.id;
		memcpy(w->attempt, message->intent.attempt, sizeof(w->attempt));
		break;
	case BSH_MSG_INTENT_DONE:
		w->dones++;
		w->outcome = message->intent_done.outcome;
		g_free(w->recorded);
		w->recorded = g_strndup((const char *)message->intent_done.body,
					message->intent_done.body_bytes);
		break;
	case BSH_MSG_DRAIN:
		w->drains++;
		break;
	default:
		break;
	}
}

static void set_warm(world_t *w)
{
	const char *const models[] = { "a", w->a.address, NULL };

	rig_set_targets(&w->rig, "m", false, models);
}

static void world_init(world_t *w, const char *extra)
{
	memset(w, 0, sizeof(*w));
	rig_init(&w->rig, extra);
	w->rig.on_message = on_message;
	w->rig.ctx = w;
	target_init(&w->a, w);
	target_init(&w->b, w);
	rig_send_config(&w->rig, DOCUMENT);
	rig_wait_ready(&w->rig);
}

static void world_finish(world_t *w)
{
	bsh_http_server_free(w->a.server);
	bsh_http_server_free(w->b.server);
	rig_finish(&w->rig);
	g_free(w->a.key);
	g_free(w->a.path);
	g_free(w->b.key);
	g_free(w->b.path);
	g_free(w->recorded);
}

/* Callers. */

static void on_reply_header(void *ctx, const char *name, size_t name_size,
			    const char *value, size_t value_size)
{
	reply_t *reply = ctx;
	g_autofree char *n = g_strndup(name, name_size);
	g_autofree char *v = g_strndup(value, value_size);

	if (strcmp(n, "Berylshunt-Outcome") == 0)
		g_strlcpy(reply->outcome, v, sizeof(reply->outcome));
	else if (strcmp(n, "Retry-After") == 0)
		g_strlcpy(reply->retry_after, v, sizeof(reply->retry_after));
	else if (strcmp(n, "Berylshunt-Entry") == 0)
		g_strlcpy(reply->entry, v, sizeof(reply->entry));
}

static void on_reply_data(void *ctx, const char *data, size_t size)
{
	reply_t *reply = ctx;

	g_string_append_len(reply->body, data, (gssize)size);
	reply->bytes += (int)size;
}

static void on_reply_end(void *ctx, const bsh_http_result_t *result)
{
	reply_t *reply = ctx;

	reply->status = result->status;
	reply->err = result->err;
	reply->done = 1;
}

static void call(world_t *w, reply_t *reply, const char *path, const char *body,
		 const char *header)
{
	static const bsh_http_handler_t handler = {
		.on_header = on_reply_header,
		.on_data = on_reply_data,
		.on_end = on_reply_end,
	};
	const char *headers[] = { header, NULL };
	g_autofree char *url =
		g_strconcat("http://", w->rig.listen, path, NULL);
	bsh_http_call_spec_t spec = {
		.method = body != NULL ? "POST" : "GET",
		.url = url,
		.headers = headers,
		.body = body,
		.body_size = body != NULL ? strlen(body) : 0,
	};

	memset(reply, 0, sizeof(*reply));
	reply->body = g_string_new(NULL);
	if (bsh_http_client_start(w->rig.client, &spec, &handler, reply,
				  &reply->call) != BSH_OK)
		g_error("bad call %s", path);
}

static void reply_free(reply_t *reply)
{
	g_string_free(reply->body, TRUE);
}

/* Sends a request, waits, and checks status and a part of the body. */
static void expect(world_t *w, const char *path, const char *body,
		   const char *header, int status, const char *part)
{
	reply_t reply;

	call(w, &reply, path, body, header);
	rig_wait(&w->rig, &reply.done, 1);
	g_test_message("%s: %d %s", path, reply.status, reply.body->str);
	g_assert_cmpint(reply.status, ==, status);
	g_assert_nonnull(strstr(reply.body->str, part));
	reply_free(&reply);
}

#define CHAT_PATH "/v1/chat/completions"

/* Guards against a warm request or stream that is altered on its way. */
static void test_warm(void)
{
	reply_t reply;
	world_t w;

	world_init(&w, NULL);
	set_warm(&w);
	expect(&w, CHAT_PATH, CHAT, NULL, 200, "{\"ok\":true}");
	call(&w, &reply, CHAT_PATH, STREAM, NULL);
	rig_wait(&w.rig, &reply.done, 1);
	g_assert_cmpint(reply.err, ==, BSH_OK);
	g_assert_cmpstr(reply.body->str, ==,
			"data: {\"t\":1}\n\ndata: [DONE]\n\n");
	reply_free(&reply);
	expect(&w, "/v1/models", NULL, NULL, 200, "\"id\":\"m\"");
	g_assert_cmpint(rig_counter(&w.rig, "bsh_router_retries_total"), ==, 0);
	g_assert_cmpint(w.needs, ==, 0);
	world_finish(&w);
}

/* Guards against a malformed, truncated or oversized request that gets no
 * clear error, reaches a target, or disturbs an open stream. */
static void test_bad_requests(void)
{
	static const struct {
		const char *path;
		const char *body;
		const char *header;
		int status;
		const char *part;
	} cases[] = {
		{ CHAT_PATH, "{\"model\":", NULL, 400, "not JSON" },
		{ CHAT_PATH, "{\"model\":\"m\"}", NULL, 400, "messages" },
		{ CHAT_PATH, "[1]", NULL, 400, "JSON object" },
		{ "/v1/completions", CHAT, NULL, 400, "prompt: is missing" },
		{ CHAT_PATH,
		  "{\"model\":\"x\",\"messages\":[{\"role\":\"u\"}]}", NULL,
		  404, "no model 'x'" },
		{ CHAT_PATH, CHAT, "Berylshunt-Deadline-Ms: 0", 400,
		  "Berylshunt-Deadline-Ms" },
		{ CHAT_PATH, CHAT, "Berylshunt-Priority: 10", 400,
		  "Berylshunt-Priority" },
		{ "/services/none/x", "x", NULL, 404, "no service 'none'" },
		{ "/nothing", NULL, NULL, 404, "no such path" },
		{ CHAT_PATH, NULL, NULL, 405, "unsupported" },
	};
	g_autofree char *big = g_strnfill(3000, ' ');
	reply_t stream;
	world_t w;

	world_init(&w, "[router]\nbody_max_bytes=2000\n");
	set_warm(&w);
	w.a.deed = DO_HOLD;
	call(&w, &stream, CHAT_PATH, STREAM, NULL);
	rig_wait(&w.rig, &stream.bytes, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		expect(&w, cases[i].path, cases[i].body, cases[i].header,
		       cases[i].status, cases[i].part);
	expect(&w, CHAT_PATH, big, NULL, 413, "longer than 2000");
	g_assert_cmpint(w.a.requests, ==, 1);
	bsh_http_response_write(w.a.held, "data: [DONE]\n\n", 14);
	bsh_http_response_end(w.a.held);
	rig_wait(&w.rig, &stream.done, 1);
	g_assert_cmpint(stream.err, ==, BSH_OK);
	g_assert_cmpstr(stream.body->str, ==,
			"data: {\"t\":1}\n\ndata: [DONE]\n\n");
	reply_free(&stream);
	world_finish(&w);
}

/* Guards against a stream that breaks without the caller being told, and
 * against half an event in front of the error. */
static void test_broken_stream(void)
{
	reply_t reply;
	world_t w;

	world_init(&w, NULL);
	set_warm(&w);
	w.a.deed = DO_CUT;
	call(&w, &reply, CHAT_PATH, STREAM, NULL);
	rig_wait(&w.rig, &reply.done, 1);
	g_test_message("%s", reply.body->str);
	g_assert_true(g_str_has_prefix(
		reply.body->str, "data: {\"t\":1}\n\nevent: error\ndata: "));
	g_assert_nonnull(strstr(reply.body->str, "\"outcome\":\"unknown\""));
	g_assert_null(strstr(reply.body->str, "[DONE]"));
	g_assert_cmpint(w.a.requests, ==, 1);
	reply_free(&reply);
	world_finish(&w);
}

/* Guards against an answer of another request that reaches the caller. */
static void test_crossed_answer(void)
{
	world_t w;

	world_init(&w, NULL);
	set_warm(&w);
	w.a.deed = DO_CROSS;
	expect(&w, CHAT_PATH, CHAT, NULL, 502, "answer-mismatch");
	expect(&w, CHAT_PATH, STREAM, NULL, 502, "answer-mismatch");
	world_finish(&w);
}

/* Guards against a "not run" for a call that was sent, and the reverse. */
static void test_outcomes(void)
{
	const char *const dead[] = { "dead", "127.0.0.1:1", NULL };
	reply_t reply;
	world_t w;

	world_init(&w, NULL);
	rig_set_targets(&w.rig, "pay", true, dead);
	call(&w, &reply, "/services/pay/deposit?x=1", "{}", NULL);
	rig_wait(&w.rig, &reply.done, 1);
	g_assert_cmpint(reply.status, ==, 503);
	g_assert_cmpstr(reply.outcome, ==, "not-run");
	g_assert_cmpstr(reply.retry_after, !=, "");
	reply_free(&reply);

	w.a.deed = DO_SILENT;
	rig_set_targets(&w.rig, "pay", true,
		  (const char *const[]){ "a", w.a.address, NULL });
	call(&w, &reply, "/services/pay/deposit?x=1", "{}",
	     "Berylshunt-Deadline-Ms: 600");
	rig_wait(&w.rig, &reply.done, 1);
	g_assert_cmpint(reply.status, ==, 504);
	g_assert_cmpstr(reply.outcome, ==, "unknown");
	g_assert_cmpstr(w.a.path, ==, "/deposit?x=1");
	g_assert_cmpint(w.a.requests, ==, 1);
	reply_free(&reply);
	world_finish(&w);
}

static void answer_need(world_t *w, uint32_t verdict, uint64_t ms)
{
	bsh_message_t message = { .type = BSH_MSG_NEED_ANSWER };

	message.need_answer.id = w->need_id;
	message.need_answer.model = "m";
	message.need_answer.verdict = verdict;
	message.need_answer.estimate_ms = ms;
	message.need_answer.retry_after_ms = ms;
	message.need_answer.error =
		verdict == BSH_NEED_REFUSED ? BSH_ERR_CAPACITY : BSH_OK;
	rig_send(&w->rig, &message);
}

/* Guards against a cold request that is dropped or not started when its model
 * is ready, and a certain refusal held back until near the deadline. */
static void test_cold(void)
{
	reply_t first;
	reply_t second;
	world_t w;

	world_init(&w, NULL);
	call(&w, &first, CHAT_PATH, CHAT, NULL);
	rig_wait(&w.rig, &w.needs, 1);
	answer_need(&w, BSH_NEED_LOADING, 300);
	call(&w, &second, CHAT_PATH, CHAT, "Berylshunt-Deadline-Ms: 3600000");
	set_warm(&w);
	rig_wait(&w.rig, &first.done, 1);
	rig_wait(&w.rig, &second.done, 1);
	g_assert_cmpint(first.status, ==, 200);
	g_assert_cmpint(second.status, ==, 200);
	reply_free(&first);
	reply_free(&second);

	rig_set_targets(&w.rig, "m", false, (const char *const[]){ NULL });
	call(&w, &first, CHAT_PATH, CHAT, "Berylshunt-Deadline-Ms: 3600000");
	rig_wait(&w.rig, &w.needs, 2);
	answer_need(&w, BSH_NEED_LOADING, 4000000);
	/* The wait gives up long before the deadline. */
	rig_wait(&w.rig, &first.done, 1);
	g_assert_cmpint(first.status, ==, 503);
	g_assert_cmpstr(first.outcome, ==, "not-run");
	g_assert_cmpstr(first.retry_after, !=, "");
	reply_free(&first);
	world_finish(&w);
}

/* Guards against a refused or unreachable target that fails a request which
 * another target can serve; the retry budget has to be earned first. */
static void test_retry(void)
{
	reply_t reply;
	world_t w;
	int from_a;

	world_init(&w, NULL);
	set_warm(&w);
	for (int i = 0; i < 20; i++)
		expect(&w, CHAT_PATH, CHAT, NULL, 200, "ok");
	from_a = w.a.requests;
	w.a.deed = DO_REFUSE;
	rig_set_targets(&w.rig, "m", false,
		  (const char *const[]){ "a", w.a.address, "b", w.b.address,
					 NULL });
	for (int i = 0; i < 20 && w.a.requests == from_a; i++)
		expect(&w, CHAT_PATH, CHAT, NULL, 200, "ok");
	g_assert_cmpint(w.a.requests, ==, from_a + 1);
	g_assert_cmpint(rig_counter(&w.rig, "bsh_router_retries_total"), ==, 1);
	/* No other target and no budget needed: a refusal is told as one. */
	set_warm(&w);
	call(&w, &reply, CHAT_PATH, CHAT, "Berylshunt-Deadline-Ms: 400");
	rig_wait(&w.rig, &reply.done, 1);
	g_assert_cmpint(reply.status, ==, 503);
	g_assert_cmpstr(reply.outcome, ==, "not-run");
	reply_free(&reply);
	world_finish(&w);
}

/* Guards against bytes lost or a length that is not kept when an answer is
 * larger than all buffers, so that its source has to be paused. */
static void test_big_answer(void)
{
	reply_t reply;
	world_t w;
	int wrong = 0;

	world_init(&w, NULL);
	rig_set_targets(&w.rig, "ping", true,
		  (const char *const[]){ "a", w.a.address, NULL });
	w.a.deed = DO_BIG;
	call(&w, &reply, "/services/ping/x", NULL, NULL);
	rig_wait(&w.rig, &reply.done, 1);
	g_assert_cmpint(reply.err, ==, BSH_OK);
	g_assert_cmpuint(reply.body->len, ==, BIG_BYTES);
	for (int i = 0; i < BIG_BYTES; i++)
		wrong += reply.body->str[i] != (char)('a' + i % 23);
	g_assert_cmpint(wrong, ==, 0);
	reply_free(&reply);
	world_finish(&w);
}

/* Guards against a stream that runs on at the target for nobody. */
static void test_caller_gone(void)
{
	reply_t reply;
	world_t w;

	world_init(&w, NULL);
	set_warm(&w);
	w.a.deed = DO_HOLD;
	call(&w, &reply, CHAT_PATH, STREAM, NULL);
	rig_wait(&w.rig, &reply.bytes, 1);
	bsh_http_call_cancel(reply.call);
	rig_wait(&w.rig, &w.a.gone, 1);
	reply_free(&reply);
	world_finish(&w);
}

/* Guards against new work on an unconfirmed configuration, and against a
 * stream that is cut when it becomes one. */
static void test_stale(void)
{
	reply_t stream;
	world_t w;
	int status;

	world_init(&w, NULL);
	set_warm(&w);
	w.a.deed = DO_HOLD;
	call(&w, &stream, CHAT_PATH, STREAM, NULL);
	rig_wait(&w.rig, &stream.bytes, 1);
	w.rig.fresh_ms = 0;
	rig_send_fresh(&w.rig);
	do
		g_free(rig_get(&w.rig, "/readyz", &status));
	while (status == 200);
	expect(&w, CHAT_PATH, CHAT, NULL, 503, "stale-configuration");
	bsh_http_response_write(w.a.held, "data: [DONE]\n\n", 14);
	bsh_http_response_end(w.a.held);
	rig_wait(&w.rig, &stream.done, 1);
	g_assert_nonnull(strstr(stream.body->str, "[DONE]"));
	reply_free(&stream);
	w.rig.fresh_ms = 8000;
	rig_send_fresh(&w.rig);
	rig_wait_ready(&w.rig);
	world_finish(&w);
}

static void answer_intent(world_t *w, uint32_t verdict, const char *body)
{
	bsh_message_t message = { .type = BSH_MSG_INTENT_ANSWER };

	message.intent_answer.id = w->intent_id;
	message.intent_answer.verdict = verdict;
	message.intent_answer.status = 201;
	message.intent_answer.retry_after_ms = 2000;
	message.intent_answer.content_type = "text/plain";
	message.intent_answer.body = (const uint8_t *)body;
	message.intent_answer.body_bytes = (uint32_t)strlen(body);
	rig_send(&w->rig, &message);
}

/* Guards against a keyed call that is sent before its intent is committed, is
 * not recorded, or runs again when the journal knows its answer. */
static void test_intent(void)
{
	static const struct {
		uint32_t verdict;
		int status;
		const char *part;
	} cases[] = {
		{ BSH_VERDICT_ANSWERED, 201, "recorded" },
		{ BSH_VERDICT_IN_PROGRESS, 409, "in-progress" },
		{ BSH_VERDICT_UNKNOWN, 409, "outcome-unknown" },
		{ BSH_VERDICT_MISMATCH, 422, "key-reused" },
		{ BSH_VERDICT_UNAVAILABLE, 503, "store-unavailable" },
		{ BSH_VERDICT_NOT_KEPT, 409, "answer-not-kept" },
	};
	reply_t reply;
	world_t w;

	world_init(&w, NULL);
	rig_set_targets(&w.rig, "pay", true,
		  (const char *const[]){ "a", w.a.address, NULL });
	call(&w, &reply, "/services/pay/deposit", "{}", "Idempotency-Key: k1");
	rig_wait(&w.rig, &w.intents, 1);
	g_assert_cmpint(w.a.requests, ==, 0);
	answer_intent(&w, BSH_VERDICT_RUN, "");
	rig_wait(&w.rig, &reply.done, 1);
	g_assert_cmpint(reply.status, ==, 200);
	g_assert_cmpstr(w.a.key, ==, "k1");
	rig_wait(&w.rig, &w.dones, 1);
	g_assert_cmpuint(w.outcome, ==, BSH_OUTCOME_ANSWERED);
	g_assert_cmpstr(w.recorded, ==, reply.body->str);
	reply_free(&reply);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		call(&w, &reply, "/services/pay/deposit", "{}",
		     "Idempotency-Key: k1");
		rig_wait(&w.rig, &w.intents, (int)i + 2);
		answer_intent(&w, cases[i].verdict, "recorded");
		rig_wait(&w.rig, &reply.done, 1);
		g_assert_cmpint(reply.status, ==, cases[i].status);
		g_assert_nonnull(strstr(reply.body->str, cases[i].part));
		reply_free(&reply);
	}
	g_assert_cmpint(w.a.requests, ==, 1);
	g_assert_cmpint(w.dones, ==, 1);
	world_finish(&w);
}

/* Guards against an intent that stays open after its caller's deadline. */
static void test_intent_withdrawn(void)
{
	reply_t reply;
	world_t w;

	world_init(&w, NULL);
	rig_set_targets(&w.rig, "pay", true,
		  (const char *const[]){ "a", w.a.address, NULL });
	call(&w, &reply, "/services/pay/deposit", "{}", "Idempotency-Key: k1");
	rig_wait(&w.rig, &w.intents, 1);
	bsh_http_call_cancel(reply.call);
	rig_wait(&w.rig, &w.dones, 1);
	g_assert_cmpuint(w.outcome, ==, BSH_OUTCOME_NOT_RUN);
	answer_intent(&w, BSH_VERDICT_RUN, "");
	expect(&w, "/v1/models", NULL, NULL, 200, "list");
	g_assert_cmpint(w.a.requests, ==, 0);
	reply_free(&reply);
	world_finish(&w);
}

/* Guards against a shutdown that cuts a stream, or takes new work. */
static void test_drain(void)
{
	bsh_message_t message = { .type = BSH_MSG_DRAIN };
	reply_t stream;
	reply_t late;
	world_t w;
	int status = 200;

	world_init(&w, NULL);
	set_warm(&w);
	w.a.deed = DO_HOLD;
	call(&w, &stream, CHAT_PATH, STREAM, NULL);
	rig_wait(&w.rig, &stream.bytes, 1);
	message.drain.phase = BSH_PHASE_BEGIN;
	message.drain.alternative = "127.0.0.9:80";
	rig_send(&w.rig, &message);
	kill(w.rig.pid, SIGTERM);
	rig_wait(&w.rig, &w.drains, 1);
	while (status == 200)
		g_free(rig_get(&w.rig, "/readyz", &status));
	call(&w, &late, CHAT_PATH, CHAT, NULL);
	rig_wait(&w.rig, &late.done, 1);
	g_assert_cmpint(late.status, ==, 503);
	g_assert_cmpstr(late.outcome, ==, "not-run");
	g_assert_cmpstr(late.retry_after, ==, "0");
	g_assert_cmpstr(late.entry, ==, "127.0.0.9:80");
	reply_free(&late);
	bsh_http_response_write(w.a.held, "data: [DONE]\n\n", 14);
	bsh_http_response_end(w.a.held);
	rig_wait(&w.rig, &stream.done, 1);
	g_assert_cmpint(stream.err, ==, BSH_OK);
	g_assert_nonnull(strstr(stream.body->str, "[DONE]"));
	reply_free(&stream);
	g_assert_cmpint(rig_wait_exit(&w.rig), ==, 0);
	world_finish(&w);
}

/* Guards against a timeline that does not show what became of a request. */
static void test_timeline(void)
{
	g_autofree char *text = NULL;
	const char *last;
	world_t w;

	world_init(&w, NULL);
	set_warm(&w);
	expect(&w, CHAT_PATH, CHAT, NULL, 200, "ok");
	text = rig_get(&w.rig, "/timeline", NULL);
	last = text;
	for (int i = 0; i < 4; i++) {
		static const char *const events[] = {
			"\"event\":\"config-adopted\"",
			"\"event\":\"admitted\"", "\"event\":\"sent\"",
			"\"event\":\"answered\""
		};

		last = strstr(last, events[i]);
		g_assert_nonnull(last);
	}
	g_assert_nonnull(strstr(text, "\"target\":\"a\""));
	world_finish(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/router/warm", test_warm);
	g_test_add_func("/router/bad-requests", test_bad_requests);
	g_test_add_func("/router/broken-stream", test_broken_stream);
	g_test_add_func("/router/crossed-answer", test_crossed_answer);
	g_test_add_func("/router/outcomes", test_outcomes);
	g_test_add_func("/router/cold", test_cold);
	g_test_add_func("/router/retry", test_retry);
	g_test_add_func("/router/big-answer", test_big_answer);
	g_test_add_func("/router/caller-gone", test_caller_gone);
	g_test_add_func("/router/stale", test_stale);
	g_test_add_func("/router/intent", test_intent);
	g_test_add_func("/router/intent-withdrawn", test_intent_withdrawn);
	g_test_add_func("/router/drain", test_drain);
	g_test_add_func("/router/timeline", test_timeline);
	return g_test_run();
}
