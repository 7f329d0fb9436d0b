/* Decoders of what other programs write, on mutated samples.  With a checker of
 * memory accesses, and by hand with more rounds: BSH_ROUNDS=N, BSH_SEED=N. */
#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/name.h"
#include "base/rng.h"
#include "base/settings.h"
#include "coordination/stream_journal.h"
#include "operator/log_diagnosis.h"
#include "platform/decode.h"
#include "platform/read_json.h"
#include "protocol/event_relay.h"
#include "protocol/openai.h"
#include "protocol/relay_mark.h"
#include "protocol/sse.h"
#include "state/document.h"
#include "transport/http_check.h"

#define ROUNDS_DEFAULT 20000
#define CHANGES_MAX    6
#define PIECE_MAX      24

typedef struct {
	const char *path;
	const char *samples[3];
	/* data is of exactly size bytes, and text is the same with an end. */
	void (*decode)(const char *data, size_t size, const char *text);
	uint32_t divisor; /* of the rounds, for decoders that are slow */
} decoder_t;

static void decode_entry(const char *data, size_t size, const char *text)
{
	uint32_t skipped;
	json_t *spec = platform_read_json(data, size, &skipped);
	bsh_target_t target;

	if (platform_decode_target("i-1", spec, &target, NULL) == BSH_OK) {
		char host[BSH_ADDRESS_SIZE];
		uint16_t port;

		g_assert_true(
			bsh_is_name(target.service, sizeof(target.service)));
		g_assert_cmpint(bsh_address_split(target.address, host,
						  sizeof(host), &port),
				==, BSH_OK);
	}
	platform_decode_target(text, spec, &target, NULL);
	json_decref(spec);
}

static void decode_report(const char *data, size_t size, const char *text)
{
	bsh_target_report_t report;

	(void)text;
	platform_decode_report(data, size, &report);
}

static void decode_catalog(const char *data, size_t size, const char *text)
{
	g_autoptr(GString) problem = g_string_new(NULL);
	uint32_t skipped;
	json_t *spec = platform_read_json(data, size, &skipped);
	bsh_catalog_t *catalog = platform_decode_catalog(spec, NULL, problem);

	(void)text;
	g_assert_true((catalog == NULL) == (problem->len > 0));
	if (catalog != NULL)
		bsh_catalog_unref(catalog);
	json_decref(spec);
}

static void decode_records(const char *data, size_t size, const char *text)
{
	g_autoptr(GArray) records =
		g_array_new(FALSE, FALSE, sizeof(bsh_stream_record_t));

	(void)data;
	(void)size;
	if (!bsh_stream_records_decode(text, records))
		g_assert_cmpuint(records->len, ==, 0);
}

static void decode_mark(const char *data, size_t size, const char *text)
{
	static const uint8_t secret[BSH_RELAY_SECRET_BYTES];
	bsh_relay_mark_t mark = { .id = "a", .method = "GET", .path = "/" };

	(void)data;
	(void)size;
	bsh_relay_mark_decode(secret, text, &mark);
}

static void decode_head(const char *data, size_t size, const char *text)
{
	bsh_http_check_t check;

	(void)text;
	bsh_http_check_init(&check);
	while (size > 0 && !check.head_complete) {
		const char *end = memchr(data, '\n', size);
		size_t line = end != NULL ? (size_t)(end - data) + 1 : size;

		if (bsh_http_check_line(&check, data, line) != NULL)
			return;
		data += line;
		size -= line;
	}
	if (check.head_complete && size > 0 &&
	    bsh_http_check_body(&check, data, size) == NULL)
		bsh_http_check_is_complete(&check);
}

static void decode_events(const char *data, size_t size, const char *text)
{
	g_autoptr(GString) out = g_string_new(NULL);
	bsh_event_relay_t relay;
	bsh_sse_result_t result;
	bsh_sse_t sse;
	size_t half = size / 2;

	(void)text;
	bsh_event_relay_init(&relay, 1);
	if (bsh_event_relay_feed(&relay, data, half, out) == BSH_OK)
		bsh_event_relay_feed(&relay, data + half, size - half, out);
	bsh_event_relay_finish(&relay);
	/* Events are passed on, or left out, but none is made up. */
	g_assert_cmpuint(out->len, <=, size);
	bsh_sse_init(&sse, NULL, NULL);
	if (bsh_sse_feed(&sse, data, half, &result) == BSH_OK) {
		g_assert_cmpuint(result.complete_bytes, <=, half);
		bsh_sse_feed(&sse, data + half, size - half, &result);
	}
	bsh_sse_finish(&sse);
}

static void decode_openai(const char *data, size_t size, const char *text)
{
	bsh_openai_request_t request;
	char detail[BSH_OPENAI_DETAIL_SIZE];

	(void)text;
	if (bsh_openai_parse(&request, BSH_OPENAI_CHAT, data, size, detail) ==
	    BSH_OK)
		bsh_openai_finish(&request);
}

static void decode_document(const char *data, size_t size, const char *text)
{
	g_autoptr(GArray) problems = bsh_doc_problems_new();
	bsh_document_t document;

	(void)text;
	if (bsh_document_init(&document, data, size, problems) == BSH_OK)
		bsh_document_finish(&document);
	else
		g_assert_cmpuint(problems->len, >, 0);
}

static void decode_settings(const char *data, size_t size, const char *text)
{
	static char path[] = "/tmp/bsh-settings-XXXXXX";
	static int fd = -1;
	g_autoptr(GString) problems = g_string_new(NULL);
	bsh_settings_t settings;

	(void)text;
	if (fd < 0)
		fd = g_mkstemp(path);
	g_assert_cmpint(ftruncate(fd, 0), ==, 0);
	g_assert_cmpint(pwrite(fd, data, size, 0), ==, (ssize_t)size);
	if (bsh_settings_load(&settings, path, problems) != BSH_OK)
		g_assert_cmpuint(problems->len, >, 0);
}

static void decode_log(const char *data, size_t size, const char *text)
{
	bsh_diagnosis_t diag;
	bsh_log_t log;

	(void)text;
	bsh_log_read_init(&log);
	bsh_log_read_text(&log, "a", data, size);
	bsh_log_read_sort(&log);
	bsh_diagnosis_init(&diag, &log, "ab01");
	bsh_diagnosis_finish(&diag);
	bsh_diagnosis_init_at(&diag, &log, "ab01", "a", 1781489946000000);
	bsh_diagnosis_finish(&diag);
	bsh_log_read_finish(&log);
}

#define KEY "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define T   "2026-06-15T02:19:"

static const decoder_t decoders[] = {
	{ .path = "/decoders/entry",
	  .samples = { "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":"
		       "\"z\",\"slots\":6,\"state\":\"ready\",\"seq\":9,"
		       "\"version\":\"v1.2\",\"born\":1700000000000,"
		       "\"models\":[{\"name\":\"m1\",\"adapters\":[\"a2@3\"]}],"
		       "\"atHand\":{\"inMemory\":[\"m1\"],\"onDisk\":[]}}",
		       "{\"service\":\"\303\274\304\260\364\217\277\277\","
		       "\"address\":\"[::1]:80\",\"zone\":\"z\\n\","
		       "\"slots\":1e9,\"state\":\"draining\",\"seq\":1}" },
	  .decode = decode_entry },
	{ .path = "/decoders/report",
	  .samples = { "{\"models\":[{\"name\":\"m1\",\"version\":1,"
		       "\"adapters\":[\"a1\"]}],\"coming\":[\"m1/a2@1\"],"
		       "\"busy\":true,\"seq\":4,\"queued\":1,\"inFlight\":2,"
		       "\"atHand\":{\"inMemory\":[\"m1\"],\"onDisk\":[]}}" },
	  .decode = decode_report },
	{ .path = "/decoders/catalog",
	  .samples = { "{\"version\":7,\"services\":[{\"name\":\"s\","
		       "\"maxConnections\":9,\"engine\":{\"slots\":4,"
		       "\"weightsMb\":100,\"models\":[{\"name\":\"m\","
		       "\"weightsMb\":1.5,\"adapters\":2,\"loadS\":6}]}}],"
		       "\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		       "\"pathPrefix\":\"/a/\",\"kind\":\"stream\","
		       "\"timeoutMs\":900,\"trafficSplit\":[{\"service\":"
		       "\"s\",\"weight\":3}]}],\"limits\":{}}" },
	  .decode = decode_catalog },
	{ .path = "/decoders/stream-records",
	  .samples = { "0123456789abcdef0123456789abcdef,"
		       "1123456789abcdef0123456789abcdef",
		       "" },
	  .decode = decode_records },
	{ .path = "/decoders/relay-mark",
	  .samples = { "3.0123456789abcdef0123456789abcdef", "1" },
	  .decode = decode_mark },
	{ .path = "/decoders/head",
	  .samples = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
		       "Server-Limit: 0.5\r\n\r\nhello",
		       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
		       "Transfer-Encoding: "
		       "chunked\r\n\r\n5;a=\"b\"\r\nhello\r\n"
		       "0\r\nA: b\r\n\r\n" },
	  .decode = decode_head },
	{ .path = "/decoders/events",
	  .samples = { "id: 1\ndata: e1\n\nid: 2\r\ndata: e2\r\n\r\n"
		       ": c\nid: 3\nevent: x\ndata: a\ndata: b\n\n",
		       "data: [DONE]\n\n" },
	  .decode = decode_events },
	{ .path = "/decoders/openai",
	  .samples = { "{\"model\":\"m\",\"stream\":true,\"messages\":["
		       "{\"role\":\"user\",\"content\":\"hi\"},{\"content\":"
		       "[{\"type\":\"text\",\"text\":\"x\"}]}]}" },
	  .decode = decode_openai },
	{ .path = "/decoders/document",
	  .samples = { "{\"deployment\":\"first\",\"weight\":0.5,"
		       "\"weight_store\":{\"loads_per_s\":3,\"concurrent\":4},"
		       "\"pools\":[{\"name\":\"gpu\",\"kind\":\"engine\","
		       "\"fencing\":true,\"memory_mib\":80000}],\"models\":["
		       "{\"name\":\"reply\",\"pool\":\"gpu\",\"memory_mib\":"
		       "16000,\"max_replicas\":2}]}" },
	  .decode = decode_document,
	  .divisor = 4 },
	{ .path = "/decoders/settings",
	  .samples = { "[instance]\nname=entry-1\nzone=a\n[security]\nkey=" KEY
		       "\n[store]\naddress=127.0.0.1:7000\n[router]\n"
		       "listen=[::1]:7001\nadmin=127.0.0.1:7002\n[control]\n"
		       "listen=127.0.0.1:7003\nlink=127.0.0.1:7004\n"
		       "gossip=127.0.0.1:7005\n[timing]\nfresh_ms=8e3\n" },
	  .decode = decode_settings,
	  .divisor = 20 },
	{ .path = "/decoders/log",
	  .samples = { T
		       "01.000Z info bshentryd/a: start instance=a "
		       "hlc=1781489941000000.0\n" T
		       "05.000Z info bshentryd/a: request-waiting id=ab01 "
		       "model=m1 hlc=1781489945000000.0\n" T
		       "05.500Z error bshentryd/a: process-ended "
		       "signal=SIGABRT thread=traffic said=\"a b\" last=\"\" "
		       "backtrace=\"a+0x1\" hlc=1781489945500000.0\n" T
		       "09.000Z info bshentryd/a: request id=ab01 end=refused "
		       "status=503 reason=deadline total_ms=4 "
		       "hlc=1781489949000000.0\n" },
	  .decode = decode_log,
	  .divisor = 4 },
};

static uint32_t from_environment(const char *name, uint32_t fallback)
{
	const char *text = g_getenv(name);

	return text != NULL ? (uint32_t)g_ascii_strtoull(text, NULL, 10)
			    : fallback;
}

/* Changes a byte, takes a piece out, repeats one, or sets one from the other
 * sample. */
static void mutate(bsh_rng_t *rng, GString *data, const char *other)
{
	static const char alphabet[] =
		"{}[]\",:\\0e9.-+;= \t\r\n\xff\xc3\x80\x7f";
	gsize at = data->len > 0 ? bsh_rng_below(rng, (uint32_t)data->len) : 0;
	gsize length = bsh_rng_below(rng, PIECE_MAX);
	gsize size = MIN(data->len - at, length);
	g_autofree char *piece = g_strndup(data->str + at, size);
	gsize from = bsh_rng_below(rng, (uint32_t)strlen(other) + 1);

	switch (bsh_rng_below(rng, 5)) {
	case 0:
		if (data->len > 0)
			data->str[at] =
				alphabet[bsh_rng_below(rng, sizeof(alphabet))];
		break;
	case 1:
		if (data->len > 0)
			data->str[at] = (char)bsh_rng_below(rng, 256);
		break;
	case 2:
		g_string_erase(data, (gssize)at, (gssize)size);
		break;
	case 3:
		g_string_insert(data, (gssize)at, piece);
		break;
	default:
		g_string_insert_len(data, (gssize)at, other + from,
				    (gssize)MIN(strlen(other + from), size));
		break;
	}
}

/* Guards against texts of other programs that end a process or are read past
 * their end. */
static void test_mutated(gconstpointer data)
{
	const decoder_t *decoder = data;
	uint32_t rounds = from_environment("BSH_ROUNDS", ROUNDS_DEFAULT) /
			  MAX(decoder->divisor, 1);
	uint32_t samples = 0;
	bsh_rng_t rng;

	while (samples < G_N_ELEMENTS(decoder->samples) &&
	       decoder->samples[samples] != NULL)
		samples++;
	bsh_rng_init(&rng, from_environment("BSH_SEED", 1));
	for (uint32_t i = 0; i < rounds; i++) {
		g_autoptr(GString) text = g_string_new(
			decoder->samples[bsh_rng_below(&rng, samples)]);
		const char *other =
			decoder->samples[bsh_rng_below(&rng, samples)];
		uint32_t changes = bsh_rng_below(&rng, CHANGES_MAX);
		g_autofree char *exact = NULL;

		while (changes-- > 0)
			mutate(&rng, text, other);
		exact = g_memdup2(text->str, text->len);
		decoder->decode(exact != NULL ? exact : "", text->len,
				text->str);
	}
	bsh_rng_finish(&rng);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(decoders); i++)
		g_test_add_data_func(decoders[i].path, &decoders[i],
				     test_mutated);
	return g_test_run();
}
