#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/openai.h"
#include "protocol/problem.h"
#include "protocol/sse.h"

static void append_event(void *ctx, const char *data, size_t size)
{
	g_string_append_len(ctx, data, (gssize)size);
	g_string_append_c(ctx, '|');
}

static const char stream[] =
	": comment\n\n"
	"data: one\n\ndata:two\ndata: lines\r\n\r\n"
	"event: x\rdata: three\r\r: ping\n\ndata: [DONE]\n\n";

/* Guards against events that are lost, joined or cut when the network splits
 * the stream at any byte. */
static void test_sse_any_split(void)
{
	size_t size = sizeof(stream) - 1;

	for (size_t cut = 0; cut <= size; cut++) {
		g_autoptr(GString) events = g_string_new(NULL);
		bsh_sse_result_t a;
		bsh_sse_result_t b;
		bsh_sse_t sse;

		bsh_sse_init(&sse, append_event, events);
		g_assert_cmpint(bsh_sse_feed(&sse, stream, cut, &a), ==,
				BSH_OK);
		g_assert_false(a.done && cut < size);
		g_assert_cmpint(
			bsh_sse_feed(&sse, stream + cut, size - cut, &b), ==,
			BSH_OK);
		g_assert_cmpstr(events->str, ==,
				"one|two\nlines|three|[DONE]|");
		g_assert_cmpuint(a.events + b.events, ==, 4);
		g_assert_true(a.done || b.done);
		g_assert_true(bsh_sse_is_between_events(&sse));
		g_assert_true(cut == size || b.complete_bytes == size - cut);
		bsh_sse_finish(&sse);
	}
}

/* Guards against an incomplete event that is forwarded as complete. */
static void test_sse_complete_bytes(void)
{
	bsh_sse_result_t r;
	bsh_sse_t sse;

	bsh_sse_init(&sse, NULL, NULL);
	bsh_sse_feed(&sse, "data: a\n\ndata: b", 16, &r);
	g_assert_cmpuint(r.complete_bytes, ==, 9);
	g_assert_false(bsh_sse_is_between_events(&sse));
	bsh_sse_feed(&sse, "\n", 1, &r);
	g_assert_cmpuint(r.complete_bytes, ==, 0);
	bsh_sse_feed(&sse, "\ndat", 4, &r);
	g_assert_cmpuint(r.complete_bytes, ==, 1);
	bsh_sse_finish(&sse);
}

/* Guards against text that merely contains [DONE] and ends the stream, and
 * against data accepted after [DONE]. */
static void test_sse_done(void)
{
	static const char *const not_done[] = {
		"data: [DONE] \n\n",
		"data: \"[DONE]\"\n\n",
		"data: [DONE]\n",
		"[DONE]\n\n",
		"data: [DONE]\ndata: x\n\n",
	};
	bsh_sse_result_t r;
	bsh_sse_t sse;

	for (size_t i = 0; i < G_N_ELEMENTS(not_done); i++) {
		bsh_sse_init(&sse, NULL, NULL);
		bsh_sse_feed(&sse, not_done[i], strlen(not_done[i]), &r);
		g_assert_false(r.done);
		bsh_sse_finish(&sse);
	}
	bsh_sse_init(&sse, NULL, NULL);
	g_assert_cmpint(bsh_sse_feed(&sse, "data: [DONE]\n\n: bye\n\n", 21, &r),
			==, BSH_OK);
	g_assert_cmpint(bsh_sse_feed(&sse, "data: x\n\n", 9, &r), ==,
			BSH_ERR_INVALID);
	g_assert_cmpint(bsh_sse_feed(&sse, ":\n", 2, &r), ==, BSH_ERR_INVALID);
	bsh_sse_finish(&sse);
}

/* Guards against unbounded memory for an event that never ends. */
static void test_sse_too_large(void)
{
	g_autofree char *piece = g_strnfill(65536, 'x');
	bsh_sse_result_t r;
	bsh_sse_t sse;
	bsh_error_t err = BSH_OK;
	size_t fed = 0;

	bsh_sse_init(&sse, NULL, NULL);
	for (; err == BSH_OK && fed < 2 * BSH_SSE_EVENT_MAX_BYTES; fed += 65536)
		err = bsh_sse_feed(&sse, piece, 65536, &r);
	g_assert_cmpint(err, ==, BSH_ERR_TOO_LARGE);
	g_assert_cmpuint(fed, <=, BSH_SSE_EVENT_MAX_BYTES + 65536);
	bsh_sse_finish(&sse);
}

/* Guards against a request that is rejected because of members that only the
 * engine interprets, and against a part of the prompt that is lost. */
static void test_openai_valid(void)
{
	static const char chat[] =
		"{\"model\":\"m\",\"stream\":true,\"top_k\":3,\"messages\":["
		"{\"role\":\"system\",\"content\":\"be brief\"},"
		"{\"role\":\"user\",\"content\":[{\"type\":\"text\","
		"\"text\":\"hi\"}]},{\"role\":\"assistant\"}]}";
	static const char completion[] = "{\"model\":\"m\",\"prompt\":\"a\"}";
	char detail[BSH_OPENAI_DETAIL_SIZE];
	bsh_openai_request_t request;

	g_assert_cmpint(bsh_openai_parse(&request, BSH_OPENAI_CHAT, chat,
					 strlen(chat), detail),
			==, BSH_OK);
	g_assert_cmpstr(request.model, ==, "m");
	g_assert_true(request.stream);
	g_assert_cmpstr(request.prompt->str, ==,
			"systembe briefuserhiassistant");
	bsh_openai_finish(&request);
	g_assert_cmpint(bsh_openai_parse(&request, BSH_OPENAI_COMPLETION,
					 completion, strlen(completion),
					 detail),
			==, BSH_OK);
	g_assert_false(request.stream);
	bsh_openai_finish(&request);
}

/* Guards against an invalid body that is accepted, and against an error text
 * that does not name the member at fault. */
static void test_openai_invalid(void)
{
	static const struct {
		const char *body;
		const char *detail;
	} cases[] = {
		{ "", "body: is empty" },
		{ "{\"model\":", "body: not JSON" },
		{ "{\"model\":\"m\"} trailing", "body: not JSON" },
		{ "[]", "body: must be a JSON object" },
		{ "{\"messages\":[]}", "model: is missing" },
		{ "{\"model\":1}", "model: must be" },
		{ "{\"model\":\"a\\u0000b\"}", "model: must not hold" },
		{ "{\"model\":\"m\",\"model\":\"n\"}", "body: not JSON" },
		{ "{\"model\":\"m\",\"stream\":1}", "stream: must be" },
		{ "{\"model\":\"m\"}", "messages: is missing" },
		{ "{\"model\":\"m\",\"messages\":[]}", "messages: must be" },
		{ "{\"model\":\"m\",\"messages\":[3]}", "messages[0]: must" },
		{ "{\"model\":\"m\",\"messages\":[{}]}", "messages[0].role:" },
		{ "{\"model\":\"m\",\"messages\":[{\"role\":\"u\","
		  "\"content\":1}]}",
		  "messages[0].content:" },
		{ "{\"model\":\"m\xff\"}", "body: not JSON" },
	};
	g_autofree char *deeply_nested = g_strnfill(100000, '[');
	g_autofree char *name = g_strnfill(200, 'n');
	g_autofree char *long_name =
		g_strdup_printf("{\"model\":\"%s\"}", name);
	char detail[BSH_OPENAI_DETAIL_SIZE];
	bsh_openai_request_t request;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_assert_cmpint(bsh_openai_parse(&request, BSH_OPENAI_CHAT,
						 cases[i].body,
						 strlen(cases[i].body), detail),
				==, BSH_ERR_INVALID);
		g_test_message("%s", detail);
		g_assert_true(g_str_has_prefix(detail, cases[i].detail));
	}
	g_assert_cmpint(bsh_openai_parse(&request, BSH_OPENAI_CHAT,
					 deeply_nested, strlen(deeply_nested),
					 detail),
			==, BSH_ERR_INVALID);
	g_assert_cmpint(bsh_openai_parse(&request, BSH_OPENAI_CHAT, long_name,
					 strlen(long_name), detail),
			==, BSH_ERR_INVALID);
}

/* Guards against an error body without its outcome or with invalid JSON. */
static void test_problem(void)
{
	g_autoptr(GString) event = g_string_new(NULL);
	bsh_problem_t problem;
	json_t *json;
	char *body;

	bsh_problem_init(&problem, BSH_ERR_DEADLINE);
	problem.retry_after_ms = 1001;
	problem.detail = "a \"quote\" and a bad byte \xff";
	body = bsh_problem_body(&problem);
	json = json_loads(body, 0, NULL);
	g_assert_nonnull(json);
	g_assert_cmpstr(json_string_value(json_object_get(json, "outcome")), ==,
			"not-run");
	g_assert_cmpstr(json_string_value(json_object_get(json, "type")), ==,
			"urn:berylshunt:problem:deadline");
	g_assert_cmpint(json_integer_value(json_object_get(json, "status")), ==,
			503);
	g_assert_cmpint(bsh_problem_retry_after_s(&problem), ==, 2);
	json_decref(json);
	free(body);
	bsh_problem_event(&problem, event);
	g_assert_true(g_str_has_prefix(event->str, "event: error\ndata: {"));
	g_assert_true(g_str_has_suffix(event->str, "}\n\n"));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sse/any-split", test_sse_any_split);
	g_test_add_func("/sse/complete-bytes", test_sse_complete_bytes);
	g_test_add_func("/sse/done", test_sse_done);
	g_test_add_func("/sse/too-large", test_sse_too_large);
	g_test_add_func("/openai/valid", test_openai_valid);
	g_test_add_func("/openai/invalid", test_openai_invalid);
	g_test_add_func("/problem/body", test_problem);
	return g_test_run();
}
