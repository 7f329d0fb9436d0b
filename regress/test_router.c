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

#define LARGE_BODY_BYTES 3000000

/* Behavior of a target on each request. */
typedef enum {
	TARGET_RESPOND,		/* complete, at once */
	TARGET_HOLD_STREAM,	/* begin a stream and leave it open */
	TARGET_TRUNCATE_STREAM, /* one and a half events, then close */
	TARGET_WRONG_ID,	/* respond with the id of another request */
	TARGET_RESPOND_503,	/* 503 with the request id */
	TARGET_LARGE_BODY,	/* a body of LARGE_BODY_BYTES at once */
	TARGET_NO_RESPONSE	/* nothing */
} target_behavior_t;

typedef struct {
	struct fixture *fixture;
	bsh_http_server_t *server;
	char address[32];
	target_behavior_t behavior;
	int request_count;
	int aborted;		  /* responses not delivered */
	bsh_http_request_t *held; /* request of the open stream, or the one
				   * without a response */
	char *key;		  /* Idempotency-Key of the last request */
	char *path;
} target_t;

/* Response to a caller. */
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
} response_t;

/* Router, two targets and what the controller received. */
typedef struct fixture {
	rig_t rig;
	target_t a;
	target_t b;
	int need_count;
	int intent_count;
	int result_count;
	int drain_count;
	uint64_t need_id;
	uint64_t intent_id;
	uint8_t attempt[BSH_ATTEMPT_SIZE_BYTES];
	uint32_t outcome; /* of the last INTENT_DONE */
	char *recorded;	  /* body of the last INTENT_DONE */
} fixture_t;

/* Targets. */

static void on_target_done(void *ctx, bool delivered)
{
	target_t *target = ctx;

	target->held = NULL;
	target->aborted += !delivered;
}

static void respond(target_t *target, bsh_http_request_t *request)
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

	target->request_count++;
	g_free(target->key);
	g_free(target->path);
	target->key =
		g_strdup(bsh_http_request_header(request, "Idempotency-Key"));
	target->path = g_strdup(bsh_http_request_target(request));
	bsh_http_request_set_handler(request, &handler, target);
	bsh_http_response_add_header(
		request, "X-Request-Id",
		target->behavior == TARGET_WRONG_ID
			? "0000000000000001-0000000000000001-1"
			: id);
	switch (target->behavior) {
	case TARGET_WRONG_ID:
	case TARGET_RESPOND:
		respond(target, request);
		break;
	case TARGET_HOLD_STREAM:
		target->held = request;
		begin_stream(request, "data: {\"t\":1}\n\n");
		break;
	case TARGET_TRUNCATE_STREAM:
		begin_stream(request, "data: {\"t\":1}\n\ndata: {\"t\"");
		bsh_http_response_abort(request);
		break;
	case TARGET_RESPOND_503:
		bsh_http_response_send(request, 503, "", 0);
		break;
	case TARGET_LARGE_BODY: {
		g_autofree char *text = g_malloc(LARGE_BODY_BYTES);

		for (int i = 0; i < LARGE_BODY_BYTES; i++)
			text[i] = (char)('a' + i % 23);
		bsh_http_response_send(request, 200, text, LARGE_BODY_BYTES);
		break;
	}
	case TARGET_NO_RESPONSE:
		target->held = request;
		break;
	}
}

static void target_init(target_t *target, fixture_t *fixture)
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
	target->fixture = fixture;
	if (bsh_http_server_new(&target->server, &fixture->rig.loop, &config) !=
	    BSH_OK)
		g_error("cannot listen");
	g_snprintf(target->address, sizeof(target->address), "127.0.0.1:%u",
		   bsh_http_server_port(target->server));
}

/* Fixture. */

static void on_message(void *ctx, const bsh_message_t *message)
{
	fixture_t *f = ctx;

	switch (message->type) {
	case BSH_MSG_NEED:
		f->need_count++;
		f->need_id = message->need.id;
		break;
	case BSH_MSG_INTENT:
		f->intent_count++;
		f->intent_id = message->intent.id;
		memcpy(f->attempt, message->intent.attempt, sizeof(f->attempt));
		break;
	case BSH_MSG_INTENT_DONE:
		f->result_count++;
		f->outcome = message->intent_done.outcome;
		g_free(f->recorded);
		f->recorded = g_strndup((const char *)message->intent_done.body,
					message->intent_done.body_bytes);
		break;
	case BSH_MSG_DRAIN:
		f->drain_count++;
		break;
	default:
		break;
	}
}

static void set_model_target(fixture_t *f)
{
	const char *const models[] = { "a", f->a.address, NULL };

	rig_set_targets(&f->rig, "m", false, models);
}

static void fixture_init(fixture_t *f, const char *extra)
{
	memset(f, 0, sizeof(*f));
	rig_init(&f->rig, extra);
	f->rig.on_message = on_message;
	f->rig.ctx = f;
	target_init(&f->a, f);
	target_init(&f->b, f);
	rig_send_config(&f->rig, DOCUMENT);
	rig_wait_ready(&f->rig);
}

static void fixture_finish(fixture_t *f)
{
	bsh_http_server_free(f->a.server);
	bsh_http_server_free(f->b.server);
	rig_finish(&f->rig);
	g_free(f->a.key);
	g_free(f->a.path);
	g_free(f->b.key);
	g_free(f->b.path);
	g_free(f->recorded);
}

/* Callers. */

static void on_response_header(void *ctx, const char *name, size_t name_size,
			       const char *value, size_t value_size)
{
	response_t *response = ctx;
	g_autofree char *n = g_strndup(name, name_size);
	g_autofree char *v = g_strndup(value, value_size);

	if (strcmp(n, "Berylshunt-Outcome") == 0)
		g_strlcpy(response->outcome, v, sizeof(response->outcome));
	else if (strcmp(n, "Retry-After") == 0)
		g_strlcpy(response->retry_after, v,
			  sizeof(response->retry_after));
	else if (strcmp(n, "Berylshunt-Entry") == 0)
		g_strlcpy(response->entry, v, sizeof(response->entry));
}

static void on_response_data(void *ctx, const char *data, size_t size)
{
	response_t *response = ctx;

	g_string_append_len(response->body, data, (gssize)size);
	response->bytes += (int)size;
}

static void on_response_end(void *ctx, const bsh_http_result_t *result)
{
	response_t *response = ctx;

	response->status = result->status;
	response->err = result->err;
	response->done = 1;
}

static void call(fixture_t *f, response_t *response, const char *path,
		 const char *body, const char *header)
{
	static const bsh_http_handler_t handler = {
		.on_header = on_response_header,
		.on_data = on_response_data,
		.on_end = on_response_end,
	};
	const char *headers[] = { header, NULL };
	g_autofree char *url =
		g_strconcat("http://", f->rig.listen, path, NULL);
	bsh_http_call_spec_t spec = {
		.method = body != NULL ? "POST" : "GET",
		.url = url,
		.headers = headers,
		.body = body,
		.body_size = body != NULL ? strlen(body) : 0,
	};

	memset(response, 0, sizeof(*response));
	response->body = g_string_new(NULL);
	if (bsh_http_client_start(f->rig.client, &spec, &handler, response,
				  &response->call) != BSH_OK)
		g_error("bad call %s", path);
}

static void response_free(response_t *response)
{
	g_string_free(response->body, TRUE);
}

/* Sends a request, waits for the response, and checks its status and that its
 * body contains part. */
static void expect(fixture_t *f, const char *path, const char *body,
		   const char *header, int status, const char *part)
{
	response_t response;

	call(f, &response, path, body, header);
	rig_wait(&f->rig, &response.done, 1);
	g_test_message("%s: %d %s", path, response.status, response.body->str);
	g_assert_cmpint(response.status, ==, status);
	g_assert_nonnull(strstr(response.body->str, part));
	response_free(&response);
}

#define CHAT_PATH "/v1/chat/completions"

/* Guards against a response or stream of a loaded model that is altered on its
 * way to the caller. */
static void test_warm_model(void)
{
	response_t response;
	fixture_t f;

	fixture_init(&f, NULL);
	set_model_target(&f);
	expect(&f, CHAT_PATH, CHAT, NULL, 200, "{\"ok\":true}");
	call(&f, &response, CHAT_PATH, STREAM, NULL);
	rig_wait(&f.rig, &response.done, 1);
	g_assert_cmpint(response.err, ==, BSH_OK);
	g_assert_cmpstr(response.body->str, ==,
			"data: {\"t\":1}\n\ndata: [DONE]\n\n");
	response_free(&response);
	expect(&f, "/v1/models", NULL, NULL, 200, "\"id\":\"m\"");
	g_assert_cmpint(rig_counter(&f.rig, "bsh_router_retries_total"), ==, 0);
	g_assert_cmpint(f.need_count, ==, 0);
	fixture_finish(&f);
}

/* Guards against a malformed, truncated or oversized request that gets no
 * specific error, reaches a target, or breaks an open stream. */
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
	response_t stream;
	fixture_t f;

	fixture_init(&f, "[router]\nbody_max_bytes=2000\n");
	set_model_target(&f);
	f.a.behavior = TARGET_HOLD_STREAM;
	call(&f, &stream, CHAT_PATH, STREAM, NULL);
	rig_wait(&f.rig, &stream.bytes, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		expect(&f, cases[i].path, cases[i].body, cases[i].header,
		       cases[i].status, cases[i].part);
	expect(&f, CHAT_PATH, big, NULL, 413, "longer than 2000");
	g_assert_cmpint(f.a.request_count, ==, 1);
	bsh_http_response_write(f.a.held, "data: [DONE]\n\n", 14);
	bsh_http_response_end(f.a.held);
	rig_wait(&f.rig, &stream.done, 1);
	g_assert_cmpint(stream.err, ==, BSH_OK);
	g_assert_cmpstr(stream.body->str, ==,
			"data: {\"t\":1}\n\ndata: [DONE]\n\n");
	response_free(&stream);
	fixture_finish(&f);
}

/* Guards against a broken stream that ends without an error event, and against
 * a partial event before the error event.  The target closes the connection in
 * the middle of an event. */
static void test_broken_stream(void)
{
	response_t response;
	fixture_t f;

	fixture_init(&f, NULL);
	set_model_target(&f);
	f.a.behavior = TARGET_TRUNCATE_STREAM;
	call(&f, &response, CHAT_PATH, STREAM, NULL);
	rig_wait(&f.rig, &response.done, 1);
	g_test_message("%s", response.body->str);
	g_assert_true(g_str_has_prefix(
		response.body->str, "data: {\"t\":1}\n\nevent: error\ndata: "));
	g_assert_nonnull(strstr(response.body->str, "\"outcome\":\"unknown\""));
	g_assert_null(strstr(response.body->str, "[DONE]"));
	g_assert_cmpint(f.a.request_count, ==, 1);
	response_free(&response);
	fixture_finish(&f);
}

/* Guards against a response to another request that reaches the caller.  The
 * target sends an X-Request-Id that does not match. */
static void test_mismatched_response(void)
{
	fixture_t f;

	fixture_init(&f, NULL);
	set_model_target(&f);
	f.a.behavior = TARGET_WRONG_ID;
	expect(&f, CHAT_PATH, CHAT, NULL, 502, "answer-mismatch");
	expect(&f, CHAT_PATH, STREAM, NULL, 502, "answer-mismatch");
	fixture_finish(&f);
}

/* Guards against the outcome not-run for a call that was sent, and the outcome
 * unknown for one that was not: one target is unreachable, one is silent. */
static void test_outcomes(void)
{
	const char *const unreachable[] = { "dead", "127.0.0.1:1", NULL };
	response_t response;
	fixture_t f;

	fixture_init(&f, NULL);
	rig_set_targets(&f.rig, "pay", true, unreachable);
	call(&f, &response, "/services/pay/deposit?x=1", "{}", NULL);
	rig_wait(&f.rig, &response.done, 1);
	g_assert_cmpint(response.status, ==, 503);
	g_assert_cmpstr(response.outcome, ==, "not-run");
	g_assert_cmpstr(response.retry_after, !=, "");
	response_free(&response);

	f.a.behavior = TARGET_NO_RESPONSE;
	rig_set_targets(&f.rig, "pay", true,
			(const char *const[]){ "a", f.a.address, NULL });
	call(&f, &response, "/services/pay/deposit?x=1", "{}",
	     "Berylshunt-Deadline-Ms: 600");
	rig_wait(&f.rig, &response.done, 1);
	g_assert_cmpint(response.status, ==, 504);
	g_assert_cmpstr(response.outcome, ==, "unknown");
	g_assert_cmpstr(f.a.path, ==, "/deposit?x=1");
	g_assert_cmpint(f.a.request_count, ==, 1);
	response_free(&response);
	fixture_finish(&f);
}

static void send_need_answer(fixture_t *f, uint32_t verdict, uint64_t ms)
{
	bsh_message_t message = { .type = BSH_MSG_NEED_ANSWER };

	message.need_answer.id = f->need_id;
	message.need_answer.model = "m";
	message.need_answer.verdict = verdict;
	message.need_answer.estimate_ms = ms;
	message.need_answer.retry_after_ms = ms;
	message.need_answer.error =
		verdict == BSH_NEED_REFUSED ? BSH_ERR_CAPACITY : BSH_OK;
	rig_send(&f->rig, &message);
}

/* Guards against a request for a cold model that is dropped or not started once
 * the model is ready, and against a refusal that waits for the deadline when
 * the load cannot finish by then. */
static void test_cold_model(void)
{
	response_t first;
	response_t second;
	fixture_t f;

	fixture_init(&f, NULL);
	call(&f, &first, CHAT_PATH, CHAT, NULL);
	rig_wait(&f.rig, &f.need_count, 1);
	send_need_answer(&f, BSH_NEED_LOADING, 300);
	call(&f, &second, CHAT_PATH, CHAT, "Berylshunt-Deadline-Ms: 3600000");
	set_model_target(&f);
	rig_wait(&f.rig, &first.done, 1);
	rig_wait(&f.rig, &second.done, 1);
	g_assert_cmpint(first.status, ==, 200);
	g_assert_cmpint(second.status, ==, 200);
	response_free(&first);
	response_free(&second);

	rig_set_targets(&f.rig, "m", false, (const char *const[]){ NULL });
	call(&f, &first, CHAT_PATH, CHAT, "Berylshunt-Deadline-Ms: 3600000");
	rig_wait(&f.rig, &f.need_count, 2);
	send_need_answer(&f, BSH_NEED_LOADING, 4000000);
	/* The estimated load time exceeds the deadline: refused long before
	 * it. */
	rig_wait(&f.rig, &first.done, 1);
	g_assert_cmpint(first.status, ==, 503);
	g_assert_cmpstr(first.outcome, ==, "not-run");
	g_assert_cmpstr(first.retry_after, !=, "");
	response_free(&first);
	fixture_finish(&f);
}

/* Guards against a request that fails on the refusal of one target although
 * another can serve it.  The retry budget starts empty; the first requests earn
 * it. */
static void test_retry(void)
{
	response_t response;
	fixture_t f;
	int a_before;

	fixture_init(&f, NULL);
	set_model_target(&f);
	for (int i = 0; i < 20; i++)
		expect(&f, CHAT_PATH, CHAT, NULL, 200, "ok");
	a_before = f.a.request_count;
	f.a.behavior = TARGET_RESPOND_503;
	rig_set_targets(&f.rig, "m", false,
			(const char *const[]){ "a", f.a.address, "b",
					       f.b.address, NULL });
	for (int i = 0; i < 20 && f.a.request_count == a_before; i++)
		expect(&f, CHAT_PATH, CHAT, NULL, 200, "ok");
	g_assert_cmpint(f.a.request_count, ==, a_before + 1);
	g_assert_cmpint(rig_counter(&f.rig, "bsh_router_retries_total"), ==, 1);
	/* Without another target the refusal is reported as not-run. */
	set_model_target(&f);
	call(&f, &response, CHAT_PATH, CHAT, "Berylshunt-Deadline-Ms: 400");
	rig_wait(&f.rig, &response.done, 1);
	g_assert_cmpint(response.status, ==, 503);
	g_assert_cmpstr(response.outcome, ==, "not-run");
	response_free(&response);
	fixture_finish(&f);
}

/* Sends a request to the target a, which is silent, beside b with this
 * behavior. */
static void call_silent_target(fixture_t *f, response_t *response,
			       target_behavior_t behavior)
{
	fixture_init(f, NULL);
	set_model_target(f);
	/* These earn the retry budget. */
	for (int i = 0; i < 20; i++)
		expect(f, CHAT_PATH, CHAT, NULL, 200, "ok");
	f->a.request_count = 0;
	f->a.behavior = TARGET_NO_RESPONSE;
	f->b.behavior = behavior;
	call(f, response, CHAT_PATH, CHAT, NULL);
	rig_wait(&f->rig, &f->a.request_count, 1);
	rig_set_targets(&f->rig, "m", false,
			(const char *const[]){ "a", f->a.address, "b",
					       f->b.address, NULL });
}

/* Guards against a call that is lost because its target pauses longer than the
 * first-byte timeout while the other one refuses it. */
static void test_silent_target_beside_refusal(void)
{
	response_t response;
	fixture_t f;

	call_silent_target(&f, &response, TARGET_RESPOND_503);
	rig_wait(&f.rig, &f.b.request_count, 1);
	g_assert_cmpint(f.a.aborted, ==, 0);
	respond(&f.a, f.a.held);
	rig_wait(&f.rig, &response.done, 1);
	g_assert_cmpint(response.status, ==, 200);
	g_assert_cmpstr(response.body->str, ==, "{\"ok\":true}");
	g_assert_cmpint(f.a.request_count, ==, 1);
	response_free(&response);
	fixture_finish(&f);
}

/* Guards against a request that waits for a silent target until its deadline
 * although another one serves it, and against a run that is left at the silent
 * one. */
static void test_silent_target_is_replaced(void)
{
	response_t response;
	fixture_t f;

	call_silent_target(&f, &response, TARGET_RESPOND);
	rig_wait(&f.rig, &response.done, 1);
	g_assert_cmpint(response.status, ==, 200);
	rig_wait(&f.rig, &f.a.aborted, 1);
	g_assert_cmpint(f.b.request_count, ==, 1);
	response_free(&response);
	fixture_finish(&f);
}

/* Guards against a run that is left at either target after the caller has
 * disconnected from a request with two attempts. */
static void test_disconnect_beside_silent_target(void)
{
	response_t response;
	fixture_t f;

	call_silent_target(&f, &response, TARGET_NO_RESPONSE);
	rig_wait(&f.rig, &f.b.request_count, 1);
	bsh_http_call_cancel(response.call);
	rig_wait(&f.rig, &f.a.aborted, 1);
	rig_wait(&f.rig, &f.b.aborted, 1);
	response_free(&response);
	fixture_finish(&f);
}

/* Guards against lost bytes or a wrong length when a response is larger than
 * all buffers, so that reading from the target has to be paused. */
static void test_large_response(void)
{
	response_t response;
	fixture_t f;
	int wrong = 0;

	fixture_init(&f, NULL);
	rig_set_targets(&f.rig, "ping", true,
			(const char *const[]){ "a", f.a.address, NULL });
	f.a.behavior = TARGET_LARGE_BODY;
	call(&f, &response, "/services/ping/x", NULL, NULL);
	rig_wait(&f.rig, &response.done, 1);
	g_assert_cmpint(response.err, ==, BSH_OK);
	g_assert_cmpuint(response.body->len, ==, LARGE_BODY_BYTES);
	for (int i = 0; i < LARGE_BODY_BYTES; i++)
		wrong += response.body->str[i] != (char)('a' + i % 23);
	g_assert_cmpint(wrong, ==, 0);
	response_free(&response);
	fixture_finish(&f);
}

/* Guards against a stream that continues at the target after its caller has
 * disconnected. */
static void test_caller_disconnect(void)
{
	response_t response;
	fixture_t f;

	fixture_init(&f, NULL);
	set_model_target(&f);
	f.a.behavior = TARGET_HOLD_STREAM;
	call(&f, &response, CHAT_PATH, STREAM, NULL);
	rig_wait(&f.rig, &response.bytes, 1);
	bsh_http_call_cancel(response.call);
	rig_wait(&f.rig, &f.a.aborted, 1);
	response_free(&response);
	fixture_finish(&f);
}

/* Guards against new requests on a configuration that is no longer confirmed,
 * and against an open stream that is cut when the confirmation ends. */
static void test_stale_configuration(void)
{
	response_t stream;
	fixture_t f;
	int status;

	fixture_init(&f, NULL);
	set_model_target(&f);
	f.a.behavior = TARGET_HOLD_STREAM;
	call(&f, &stream, CHAT_PATH, STREAM, NULL);
	rig_wait(&f.rig, &stream.bytes, 1);
	f.rig.fresh_ms = 0;
	rig_send_fresh(&f.rig);
	do
		g_free(rig_get(&f.rig, "/readyz", &status));
	while (status == 200);
	expect(&f, CHAT_PATH, CHAT, NULL, 503, "stale-configuration");
	bsh_http_response_write(f.a.held, "data: [DONE]\n\n", 14);
	bsh_http_response_end(f.a.held);
	rig_wait(&f.rig, &stream.done, 1);
	g_assert_nonnull(strstr(stream.body->str, "[DONE]"));
	response_free(&stream);
	f.rig.fresh_ms = 8000;
	rig_send_fresh(&f.rig);
	rig_wait_ready(&f.rig);
	fixture_finish(&f);
}

static void send_intent_answer(fixture_t *f, uint32_t verdict, const char *body)
{
	bsh_message_t message = { .type = BSH_MSG_INTENT_ANSWER };

	message.intent_answer.id = f->intent_id;
	message.intent_answer.verdict = verdict;
	message.intent_answer.status = 201;
	message.intent_answer.retry_after_ms = 2000;
	message.intent_answer.content_type = "text/plain";
	message.intent_answer.body = (const uint8_t *)body;
	message.intent_answer.body_bytes = (uint32_t)strlen(body);
	rig_send(&f->rig, &message);
}

/* Guards against a call with an idempotency key that is sent before its intent
 * is committed, is not recorded, or runs again on any other verdict. */
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
	response_t response;
	fixture_t f;

	fixture_init(&f, NULL);
	rig_set_targets(&f.rig, "pay", true,
			(const char *const[]){ "a", f.a.address, NULL });
	call(&f, &response, "/services/pay/deposit", "{}",
	     "Idempotency-Key: k1");
	rig_wait(&f.rig, &f.intent_count, 1);
	g_assert_cmpint(f.a.request_count, ==, 0);
	send_intent_answer(&f, BSH_VERDICT_RUN, "");
	rig_wait(&f.rig, &response.done, 1);
	g_assert_cmpint(response.status, ==, 200);
	g_assert_cmpstr(f.a.key, ==, "k1");
	rig_wait(&f.rig, &f.result_count, 1);
	g_assert_cmpuint(f.outcome, ==, BSH_OUTCOME_ANSWERED);
	g_assert_cmpstr(f.recorded, ==, response.body->str);
	response_free(&response);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		call(&f, &response, "/services/pay/deposit", "{}",
		     "Idempotency-Key: k1");
		rig_wait(&f.rig, &f.intent_count, (int)i + 2);
		send_intent_answer(&f, cases[i].verdict, "recorded");
		rig_wait(&f.rig, &response.done, 1);
		g_assert_cmpint(response.status, ==, cases[i].status);
		g_assert_nonnull(strstr(response.body->str, cases[i].part));
		response_free(&response);
	}
	g_assert_cmpint(f.a.request_count, ==, 1);
	g_assert_cmpint(f.result_count, ==, 1);
	fixture_finish(&f);
}

/* Guards against an intent that stays open, or a call that is sent, after the
 * caller has disconnected before the verdict. */
static void test_intent_withdrawn(void)
{
	response_t response;
	fixture_t f;

	fixture_init(&f, NULL);
	rig_set_targets(&f.rig, "pay", true,
			(const char *const[]){ "a", f.a.address, NULL });
	call(&f, &response, "/services/pay/deposit", "{}",
	     "Idempotency-Key: k1");
	rig_wait(&f.rig, &f.intent_count, 1);
	bsh_http_call_cancel(response.call);
	rig_wait(&f.rig, &f.result_count, 1);
	g_assert_cmpuint(f.outcome, ==, BSH_OUTCOME_NOT_RUN);
	send_intent_answer(&f, BSH_VERDICT_RUN, "");
	expect(&f, "/v1/models", NULL, NULL, 200, "list");
	g_assert_cmpint(f.a.request_count, ==, 0);
	response_free(&response);
	fixture_finish(&f);
}

/* Guards against a drain that cuts an open stream or accepts new requests. */
static void test_drain(void)
{
	bsh_message_t message = { .type = BSH_MSG_DRAIN };
	response_t stream;
	response_t late;
	fixture_t f;
	int status = 200;

	fixture_init(&f, NULL);
	set_model_target(&f);
	f.a.behavior = TARGET_HOLD_STREAM;
	call(&f, &stream, CHAT_PATH, STREAM, NULL);
	rig_wait(&f.rig, &stream.bytes, 1);
	message.drain.phase = BSH_PHASE_BEGIN;
	message.drain.alternative = "127.0.0.9:80";
	rig_send(&f.rig, &message);
	kill(f.rig.pid, SIGTERM);
	rig_wait(&f.rig, &f.drain_count, 1);
	while (status == 200)
		g_free(rig_get(&f.rig, "/readyz", &status));
	call(&f, &late, CHAT_PATH, CHAT, NULL);
	rig_wait(&f.rig, &late.done, 1);
	g_assert_cmpint(late.status, ==, 503);
	g_assert_cmpstr(late.outcome, ==, "not-run");
	g_assert_cmpstr(late.retry_after, ==, "0");
	g_assert_cmpstr(late.entry, ==, "127.0.0.9:80");
	response_free(&late);
	bsh_http_response_write(f.a.held, "data: [DONE]\n\n", 14);
	bsh_http_response_end(f.a.held);
	rig_wait(&f.rig, &stream.done, 1);
	g_assert_cmpint(stream.err, ==, BSH_OK);
	g_assert_nonnull(strstr(stream.body->str, "[DONE]"));
	response_free(&stream);
	g_assert_cmpint(rig_wait_exit(&f.rig), ==, 0);
	fixture_finish(&f);
}

/* Guards against a timeline without the steps of a request. */
static void test_timeline(void)
{
	g_autofree char *text = NULL;
	const char *last;
	fixture_t f;

	fixture_init(&f, NULL);
	set_model_target(&f);
	expect(&f, CHAT_PATH, CHAT, NULL, 200, "ok");
	text = rig_get(&f.rig, "/timeline", NULL);
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
	fixture_finish(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/router/warm", test_warm_model);
	g_test_add_func("/router/bad-requests", test_bad_requests);
	g_test_add_func("/router/broken-stream", test_broken_stream);
	g_test_add_func("/router/crossed-answer", test_mismatched_response);
	g_test_add_func("/router/outcomes", test_outcomes);
	g_test_add_func("/router/cold", test_cold_model);
	g_test_add_func("/router/retry", test_retry);
	g_test_add_func("/router/silent-kept",
			test_silent_target_beside_refusal);
	g_test_add_func("/router/silent-replaced",
			test_silent_target_is_replaced);
	g_test_add_func("/router/silent-caller-gone",
			test_disconnect_beside_silent_target);
	g_test_add_func("/router/big-answer", test_large_response);
	g_test_add_func("/router/caller-gone", test_caller_disconnect);
	g_test_add_func("/router/stale", test_stale_configuration);
	g_test_add_func("/router/intent", test_intent);
	g_test_add_func("/router/intent-withdrawn", test_intent_withdrawn);
	g_test_add_func("/router/drain", test_drain);
	g_test_add_func("/router/timeline", test_timeline);
	return g_test_run();
}
