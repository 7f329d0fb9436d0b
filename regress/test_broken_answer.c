/* Answers of targets in trouble that are no answers of the protocol: their heads
 * or their framing are spoilt, or they break off while the request is sent. */
#include <glib.h>
#include <string.h>

#include "support/platform_rig.h"
#include "support/raw_caller.h"
#include "support/raw_target.h"

/* Longest body that is accepted, and more than the kernel takes for a peer that
 * reads nothing. */
#define UPLOAD_BYTES ((size_t)4 << 20)
/* Longest wait of the loop while a caller waits for its answer. */
#define STEP_US 200
/* Requests between two looks of the store at its watches. */
#define WATCH_REQUESTS 16
/* Places of an upload at which its connection ends. */
#define EARLY_ENDS 16

#define SEAL	     "Berylshunt-Server-Seal: s\r\n"
#define STATUS	     "HTTP/1.1 200 OK\r\n"
#define OK_HEAD	     STATUS SEAL
#define EVENTS	     "Content-Type: text/event-stream\r\n"
#define EVENT	     "id: 1\ndata: a\n\n"
#define LENGTH	     "Content-Length: 5\r\n"
#define CHUNKED	     "Transfer-Encoding: chunked\r\n"
#define CHUNKS	     "2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"
#define BYTES(bytes) .text = bytes, .size = sizeof(bytes) - 1

typedef struct {
	const char *name;
	const char *text;
	size_t size;
	raw_end_t end;
	size_t upload_bytes; /* body of the request; 0: one byte */
	bool stream;
	bool reads_first; /* the whole request, before it answers */
	bool may_repeat;  /* sent on a kept connection */
} answer_t;

typedef struct {
	const char *name;
	const answer_t *answers;
	size_t n;
	bool at_once; /* not in pieces */
} group_t;

static const size_t pieces_bytes[] = { 0, 1, 7 };

/* None of them is an answer: the caller gets 502. */

/* The length of the body. */
static const answer_t length_answers[] = {
	{ "length-letter", BYTES(OK_HEAD "Content-Length: 5x\r\n\r\nwhole") },
	{ "length-negative", BYTES(OK_HEAD "Content-Length: -5\r\n\r\nwhole") },
	{ "length-plus", BYTES(OK_HEAD "Content-Length: +5\r\n\r\nwhole") },
	{ "length-hexadecimal",
	  BYTES(OK_HEAD "Content-Length: 0x5\r\n\r\nwhole") },
	{ "length-empty", BYTES(OK_HEAD "Content-Length:\r\n\r\nwhole") },
	{ "length-blank-inside",
	  BYTES(OK_HEAD "Content-Length: 5 5\r\n\r\nwhole") },
	{ "length-list", BYTES(OK_HEAD "Content-Length: 5, 6\r\n\r\nwhole") },
	{ "length-nul", BYTES(OK_HEAD "Content-Length: 5\0\r\n\r\nwhole") },
	{ "length-control",
	  BYTES(OK_HEAD "Content-Length: \0015\r\n\r\nwhole") },
	{ "length-overflow",
	  BYTES(OK_HEAD "Content-Length: 99999999999999999999\r\n\r\nwhole") },
	{ "length-twice",
	  BYTES(OK_HEAD LENGTH "Content-Length: 3\r\n\r\nwhole") },
	{ "length-and-chunks", BYTES(OK_HEAD LENGTH CHUNKED "\r\n" CHUNKS) },
};

/* How the body is coded. */
static const answer_t coding_answers[] = {
	{ "coding-letter-missing",
	  BYTES(OK_HEAD "Transfer-Encoding: chunke\r\n\r\n" CHUNKS) },
	{ "coding-unknown",
	  BYTES(OK_HEAD "Transfer-Encoding: xchunked\r\n\r\n" CHUNKS) },
	{ "coding-identity",
	  BYTES(OK_HEAD "Transfer-Encoding: identity\r\n\r\nwhole") },
	{ "coding-list",
	  BYTES(OK_HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n" CHUNKS) },
	{ "coding-twice", BYTES(OK_HEAD CHUNKED CHUNKED "\r\n" CHUNKS) },
	{ "coding-empty", BYTES(OK_HEAD "Transfer-Encoding:\r\n\r\nwhole") },
	{ "coding-http-1.0",
	  BYTES("HTTP/1.0 200 OK\r\n" SEAL CHUNKED "\r\n" CHUNKS) },
};

/* Lines that are no field. */
static const answer_t lines_answers[] = {
	{ "line-without-colon",
	  BYTES(OK_HEAD "Content-Length 5\r\n\r\nwhole") },
	{ "line-semicolon", BYTES(OK_HEAD "Content-Length; 5\r\n\r\nwhole") },
	{ "line-text", BYTES(OK_HEAD "no field\r\n" LENGTH "\r\nwhole") },
	{ "line-without-name", BYTES(OK_HEAD ": 5\r\n\r\nwhole") },
	{ "line-two-status-lines", BYTES(STATUS OK_HEAD LENGTH "\r\nwhole") },
	{ "line-feed-alone", BYTES(OK_HEAD "X-A: b\n" LENGTH "\r\nwhole") },
	{ "line-return-alone",
	  BYTES(OK_HEAD "X-A: b\rX-B: c\r\n" LENGTH "\r\nwhole") },
};

/* Lines that begin with a blank. */
static const answer_t folded_answers[] = {
	{ "line-folded", BYTES(OK_HEAD "X-A: b\r\n c\r\n" LENGTH "\r\nwhole") },
};

/* libcurl ends the process on it after a sound answer. */
static const answer_t folded_first_answers[] = {
	{ "line-folded-first",
	  BYTES(STATUS " X-A: b\r\n" SEAL LENGTH "\r\nwhole") },
};

/* Names and values of fields. */
static const answer_t names_answers[] = {
	{ "name-blank-before-colon",
	  BYTES(OK_HEAD "Content-Length : 5\r\n\r\nwhole") },
	{ "name-tab-before-colon",
	  BYTES(OK_HEAD "Content-Length\t: 5\r\n\r\nwhole") },
	{ "name-blank-inside",
	  BYTES(OK_HEAD "Content Length: 5\r\n\r\nwhole") },
	{ "name-blank-of-any", BYTES(OK_HEAD "X A: b\r\n" LENGTH "\r\nwhole") },
	{ "name-control", BYTES(OK_HEAD "Content\001Length: 5\r\n\r\nwhole") },
	{ "name-control-of-any",
	  BYTES(OK_HEAD "X\001A: b\r\n" LENGTH "\r\nwhole") },
	{ "name-nul", BYTES(OK_HEAD "X\0A: b\r\n" LENGTH "\r\nwhole") },
	{ "name-delete", BYTES(OK_HEAD "X\177A: b\r\n" LENGTH "\r\nwhole") },
	{ "name-high-byte", BYTES(OK_HEAD "X\200A: b\r\n" LENGTH "\r\nwhole") },
	{ "name-separator", BYTES(OK_HEAD "X(A): b\r\n" LENGTH "\r\nwhole") },
	{ "value-control", BYTES(OK_HEAD "X-A: \001\r\n" LENGTH "\r\nwhole") },
	{ "value-nul", BYTES(OK_HEAD "X-A: a\0b\r\n" LENGTH "\r\nwhole") },
};

/* The status line. */
static const answer_t status_answers[] = {
	{ "status-000", BYTES("HTTP/1.1 000 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-000-without-length",
	  BYTES("HTTP/1.1 000 OK\r\n" SEAL "\r\nwhole") },
	{ "status-099", BYTES("HTTP/1.1 099 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-600", BYTES("HTTP/1.1 600 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-999", BYTES("HTTP/1.1 999 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-two-digits",
	  BYTES("HTTP/1.1 20 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-four-digits",
	  BYTES("HTTP/1.1 2000 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-negative",
	  BYTES("HTTP/1.1 -20 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-letter",
	  BYTES("HTTP/1.1 2x0 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-no-blank",
	  BYTES("HTTP/1.1 200OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-two-blanks",
	  BYTES("HTTP/1.1  200 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-blank-first",
	  BYTES(" HTTP/1.1 200 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-no-version",
	  BYTES("HTTP 200 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-lower-case",
	  BYTES("http/1.1 200 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-version-2",
	  BYTES("HTTP/2 200 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-version-1.9",
	  BYTES("HTTP/1.9 200 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-control",
	  BYTES("HTTP/1.1 200 O\001K\r\n" SEAL LENGTH "\r\nwhole") },
	{ "status-switch",
	  BYTES("HTTP/1.1 101 Switching\r\n" SEAL LENGTH "\r\nwhole") },
};

/* Heads of interim responses. */
static const answer_t interim_answers[] = {
	{ "length-in-interim-head",
	  BYTES("HTTP/1.1 103 Early\r\nContent-Length: 3\r\n\r\n" OK_HEAD
		"\r\nwhole") },
	{ "line-in-interim-head",
	  BYTES("HTTP/1.1 103 Early\r\nno field\r\n\r\n" OK_HEAD LENGTH
		"\r\nwhole") },
};

/* Chunks. */
static const answer_t chunk_answers[] = {
	{ "chunk-size-hexadecimal-mark",
	  BYTES(OK_HEAD CHUNKED "\r\n0x5\r\nwhole\r\n0\r\n\r\n") },
	{ "chunk-size-letter",
	  BYTES(OK_HEAD CHUNKED "\r\n5z\r\nwhole\r\n0\r\n\r\n") },
	{ "chunk-size-zero",
	  BYTES(OK_HEAD CHUNKED "\r\n0\r\nwhole\r\n0\r\n\r\n") },
	{ "chunk-size-negative",
	  BYTES(OK_HEAD CHUNKED "\r\n-5\r\nwhole\r\n0\r\n\r\n") },
	{ "chunk-size-control",
	  BYTES(OK_HEAD CHUNKED "\r\n5\001\r\nwhole\r\n0\r\n\r\n") },
	{ "chunk-size-nul",
	  BYTES(OK_HEAD CHUNKED "\r\n0\0005\r\nwhole\r\n0\r\n\r\n") },
	{ "chunk-size-empty",
	  BYTES(OK_HEAD CHUNKED "\r\n\r\nwhole\r\n0\r\n\r\n") },
	{ "chunk-size-overflow",
	  BYTES(OK_HEAD CHUNKED
		"\r\n10000000000000005\r\nwhole\r\n0\r\n\r\n") },
	{ "chunk-size-too-small",
	  BYTES(OK_HEAD CHUNKED "\r\n3\r\nwhole\r\n0\r\n\r\n") },
	{ "chunk-size-line-feed-alone",
	  BYTES(OK_HEAD CHUNKED "\r\n5\nwhole\r\n0\r\n\r\n") },
	{ "chunk-end-spoilt",
	  BYTES(OK_HEAD CHUNKED "\r\n5\r\nwhole\rx0\r\n\r\n") },
	{ "chunk-extension-control",
	  BYTES(OK_HEAD CHUNKED "\r\n5;a\001\r\nwhole\r\n0\r\n\r\n") },
	{ "trailer-without-colon",
	  BYTES(OK_HEAD CHUNKED "\r\n5\r\nwhole\r\n0\r\nno field\r\n\r\n") },
	{ "trailer-name-control",
	  BYTES(OK_HEAD CHUNKED "\r\n5\r\nwhole\r\n0\r\nX\001: b\r\n\r\n") },
};

/* Bytes behind the end of the body. */
static const answer_t behind_answers[] = {
	{ "length-too-small", BYTES(OK_HEAD "Content-Length: 3\r\n\r\nwhole") },
	{ "length-zero", BYTES(OK_HEAD "Content-Length: 0\r\n\r\nwhole") },
	{ "bytes-behind-last-chunk",
	  BYTES(OK_HEAD CHUNKED "\r\n" CHUNKS "more") },
};

/* Streams. */
static const answer_t stream_answers[] = {
	{ "stream-length-letter",
	  BYTES(OK_HEAD EVENTS "Content-Length: 15x\r\n\r\n" EVENT),
	  .stream = true },
	{ "stream-name-blank", BYTES(OK_HEAD EVENTS "X A: b\r\n\r\n" EVENT),
	  .stream = true },
	{ "stream-coding-spoilt",
	  BYTES(OK_HEAD EVENTS "Transfer-Encoding: chunkee\r\n\r\n" EVENT),
	  .stream = true },
	{ "stream-status-000",
	  BYTES("HTTP/1.1 000 OK\r\n" SEAL EVENTS "\r\n" EVENT),
	  .stream = true },
	{ "stream-length-too-small",
	  BYTES(OK_HEAD EVENTS "Content-Length: 5\r\n\r\n" EVENT),
	  .stream = true },
};

/* The connection is reset while the request is still being sent. */
static const answer_t early_answers[] = {
	{ "unframed", BYTES(OK_HEAD "\r\nwho"), RAW_RESET, UPLOAD_BYTES },
	{ "unframed-at-once", BYTES(OK_HEAD "\r\nwho"), RAW_CLOSE,
	  UPLOAD_BYTES },
	{ "unframed-close", BYTES(OK_HEAD "\r\nwho"), RAW_FINISH,
	  UPLOAD_BYTES },
	{ "unframed-failure",
	  BYTES("HTTP/1.1 404 Not Found\r\n" SEAL "\r\nwho"), RAW_RESET,
	  UPLOAD_BYTES },
	{ "length", BYTES(OK_HEAD LENGTH "\r\nwho"), RAW_RESET, UPLOAD_BYTES },
	{ "chunks", BYTES(OK_HEAD CHUNKED "\r\n3\r\nwho\r\n"), RAW_RESET,
	  UPLOAD_BYTES },
};

/* Answers that are unusual, and answers: the caller gets "whole". */
static const answer_t unusual_answers[] = {
	{ "length", BYTES(OK_HEAD LENGTH "\r\nwhole") },
	{ "length-zeros", BYTES(OK_HEAD "Content-Length: 0005\r\n\r\nwhole") },
	{ "length-blanks",
	  BYTES(OK_HEAD "content-length: \t 5 \t \r\n\r\nwhole") },
	{ "length-no-blank", BYTES(OK_HEAD "Content-Length:5\r\n\r\nwhole") },
	{ "chunks", BYTES(OK_HEAD CHUNKED "\r\n" CHUNKS) },
	{ "chunks-capitals",
	  BYTES(OK_HEAD "TRANSFER-ENCODING: Chunked\r\n\r\n" CHUNKS) },
	{ "chunks-extension",
	  BYTES(OK_HEAD CHUNKED
		"\r\n2;a=b\r\nwh\r\n03 ;c=\"d e\"\r\nole\r\n000;e\r\n\r\n") },
	{ "chunks-trailers",
	  BYTES(OK_HEAD CHUNKED "\r\n5\r\nwhole\r\n0\r\nX-A: b\r\n\r\n") },
	{ "close", BYTES(OK_HEAD "\r\nwhole") },
	{ "values",
	  BYTES(OK_HEAD
		"X-A:\r\nX-B: \300\t\"b\"\r\n!#$%&'*+-.^_`|~1: c\r\n" LENGTH
		"\r\nwhole") },
	{ "no-reason", BYTES("HTTP/1.1 200\r\n" SEAL LENGTH "\r\nwhole") },
	{ "empty-reason", BYTES("HTTP/1.1 200 \r\n" SEAL LENGTH "\r\nwhole") },
	{ "version-1.0", BYTES("HTTP/1.0 200 OK\r\n" SEAL LENGTH "\r\nwhole") },
	{ "interim-heads",
	  BYTES("HTTP/1.1 102 Processing\r\n\r\n"
		"HTTP/1.1 103 Early\r\nX-Early: a\r\n\r\n" OK_HEAD LENGTH
		"\r\nwhole") },
	{ "close-after-2-kB", BYTES(OK_HEAD "\r\nwhole"), RAW_CLOSE, 2000,
	  .reads_first = true },
	{ "close-after-70-kB", BYTES(OK_HEAD "\r\nwhole"), RAW_CLOSE, 70000,
	  .reads_first = true },
	{ "close-after-upload", BYTES(OK_HEAD "\r\nwhole"), RAW_CLOSE,
	  UPLOAD_BYTES, .reads_first = true },
	{ "early-length", BYTES(OK_HEAD LENGTH "\r\nwhole"), RAW_FINISH,
	  UPLOAD_BYTES },
};

typedef struct {
	platform_rig_t rig;
	rig_entry_t *entry;
	raw_target_t target;
	uint32_t asked;
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
	const group_t *group = data;
	bool stream = group->answers[0].stream;
	worker_t *worker;

	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	worker = platform_rig_add_worker(&f->rig, stream ? "llm" : "desk",
					 stream ? "m0" : NULL);
	raw_target_start(&f->target, worker->address, sizeof(worker->address));
	platform_rig_publish_worker(worker, "ready");
	f->entry = platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, f->entry);
	platform_rig_run(&f->rig, 200);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	int64_t until_us = bsh_loop_clock_us() + 5000000;

	(void)data;
	raw_target_stop(&f->target);
	while (atomic_load(&f->target.open) > 0 &&
	       bsh_loop_clock_us() < until_us)
		platform_rig_run(&f->rig, 5);
	/* The threads of the target use its memory. */
	if (atomic_load(&f->target.open) > 0)
		g_error("connections to the target are still open");
	platform_rig_finish(&f->rig);
}

/* Sends a request that the target answers in this way. */
static void ask(fixture_t *f, const answer_t *answer, const raw_answer_t *raw,
		raw_caller_t *caller)
{
	const char *path = answer->stream	? "/once/1"
			   : answer->may_repeat ? "/look/1"
						: "/book/1";
	size_t upload_bytes = answer->may_repeat ? 0 : 1;
	g_autofree char *fields = g_strdup_printf(
		"Host: " RIG_HOST "\r\nBerylshunt-Request-Try-Id: b%u\r\n"
		"Berylshunt-Deadline-Ms: 4000\r\n%s",
		f->asked++, answer->stream ? "Berylshunt-Model: m0\r\n" : "");

	raw_target_set(&f->target, raw);
	raw_caller_start(caller, f->entry->front, path, fields,
			 MAX(answer->upload_bytes, upload_bytes));
	while (!atomic_load(&caller->done))
		bsh_loop_step(&f->rig.loop, STEP_US);
	/* The store serves its watches. */
	if (f->asked % WATCH_REQUESTS == 0)
		platform_rig_run(&f->rig, 1);
	raw_caller_read(caller);
	g_test_message("%s, pieces of %zu: valid %d status %d complete %d "
		       "body \"%s\"",
		       answer->name, raw->piece_bytes, caller->valid,
		       caller->status, caller->complete, caller->body->str);
}

static raw_answer_t raw_answer(const answer_t *answer, size_t piece_bytes)
{
	raw_answer_t raw = { .text = answer->text,
			     .size = answer->size,
			     .end = answer->end,
			     .request_bytes = answer->reads_first
						      ? answer->upload_bytes
						      : 0,
			     .piece_bytes = piece_bytes };

	return raw;
}

/* A target that fails several times in a row gets a pause, so that it answers
 * in between. */
static void ask_sound(fixture_t *f, bool stream)
{
	static const answer_t call = { "sound",
				       BYTES(OK_HEAD LENGTH "\r\nwhole") };
	static const answer_t events = { "sound",
					 BYTES(OK_HEAD EVENTS "\r\n" EVENT),
					 .stream = true };
	const answer_t *answer = stream ? &events : &call;
	raw_answer_t raw = raw_answer(answer, 0);
	raw_caller_t caller;

	ask(f, answer, &raw, &caller);
	g_assert_cmpint(caller.status, ==, 200);
	g_assert_true(caller.complete);
	raw_caller_clear(&caller);
}

static void check_refused(fixture_t *f, const answer_t *answer,
			  const raw_answer_t *raw)
{
	raw_caller_t caller;

	ask(f, answer, raw, &caller);
	g_assert_true(caller.valid);
	g_assert_cmpint(caller.status, ==, 502);
	raw_caller_clear(&caller);
	ask_sound(f, answer->stream);
}

/* Guards against an answer for a head or a framing that is none, with lines or
 * a body that are not the target's. */
static void test_broken(fixture_t *f, gconstpointer data)
{
	const group_t *group = data;

	for (size_t i = 0; i < group->n; i++)
		for (size_t j = 0; j < G_N_ELEMENTS(pieces_bytes); j++) {
			raw_answer_t raw =
				raw_answer(&group->answers[i], pieces_bytes[j]);

			/* Bytes that come later follow a whole answer. */
			if (group->at_once && raw.piece_bytes > 0)
				continue;
			check_refused(f, &group->answers[i], &raw);
		}
}

/* Guards against a part of an answer without a length that looks whole, as its
 * connection is reset at any moment of an upload. */
static void test_early(fixture_t *f, gconstpointer data)
{
	const group_t *group = data;

	for (size_t i = 0; i < group->n; i++)
		for (size_t n = 0; n < EARLY_ENDS; n++) {
			raw_answer_t raw = raw_answer(&group->answers[i], 0);

			/* The rest is more than the target's kernel takes. */
			raw.read_bytes = n * UPLOAD_BYTES / 2 / EARLY_ENDS;
			check_refused(f, &group->answers[i], &raw);
		}
}

/* Guards against sound answers that are taken for broken ones, and fields of an
 * interim head that are passed on. */
static void test_unusual(fixture_t *f, gconstpointer data)
{
	const group_t *group = data;

	for (size_t i = 0; i < group->n; i++)
		for (size_t j = 0; j < G_N_ELEMENTS(pieces_bytes); j++) {
			raw_answer_t raw =
				raw_answer(&group->answers[i], pieces_bytes[j]);
			raw_caller_t caller;

			ask(f, &group->answers[i], &raw, &caller);
			g_assert_true(caller.valid);
			g_assert_cmpint(caller.status, ==, 200);
			g_assert_true(caller.complete);
			g_assert_cmpstr(caller.body->str, ==, "whole");
			g_assert_null(strstr(caller.head->str, "X-Early"));
			raw_caller_clear(&caller);
		}
}

/* Guards against bytes that come late on a kept connection and are taken for
 * the answer to the next request. */
static void test_late(fixture_t *f, gconstpointer data)
{
	static const uint32_t later_us[] = { 0, 300, 1000, 5000, 20000 };
	const group_t *group = data;

	for (size_t i = 0; i < group->n * G_N_ELEMENTS(later_us); i++) {
		const answer_t *answer = &group->answers[i % group->n];
		raw_answer_t raw = raw_answer(answer, 0);
		raw_caller_t caller;
		bool is_refused;

		raw.later = OK_HEAD LENGTH "\r\nlater";
		raw.later_us = later_us[i / group->n];
		ask(f, answer, &raw, &caller);
		g_assert_true(caller.valid);
		is_refused = caller.status == 502;
		if (!is_refused)
			g_assert_cmpstr(caller.body->str, ==, "whole");
		raw_caller_clear(&caller);
		/* The late bytes have come before the next request. */
		platform_rig_run(&f->rig, 30);
		/* A target that fails three times in a row is left out. */
		if (is_refused)
			ask_sound(f, answer->stream);
	}
}

/* Whole answers, each byte of which is spoilt in turn. */
static const answer_t spoilt_answers[] = {
	{ "length",
	  BYTES(OK_HEAD "Content-Length: 15\r\nX-A: b\r\n\r\n" EVENT) },
	{ "chunks", BYTES(OK_HEAD CHUNKED "\r\nf\r\n" EVENT "\r\n0\r\n\r\n") },
	{ "close", BYTES(OK_HEAD "X-A: b\r\n\r\n" EVENT) },
	{ "stream-length",
	  BYTES(OK_HEAD EVENTS "Content-Length: 15\r\n\r\n" EVENT),
	  .stream = true },
	{ "stream-chunks",
	  BYTES(OK_HEAD EVENTS CHUNKED "\r\nf\r\n" EVENT "\r\n0\r\n\r\n"),
	  .stream = true },
};

/* A head that no longer says how the body ends leaves all that follows it to the
 * end of the connection. */
static const char *body_of(const char *text)
{
	bool framed = strstr(text, "\r\nTransfer-Encoding:") != NULL ||
		      strstr(text, "\r\nContent-Length:") != NULL;

	return framed ? EVENT : strstr(text, "\r\n\r\n") + 4;
}

static void check_spoilt(const raw_caller_t *caller, const char *text)
{
	g_assert_true(caller->valid);
	if (caller->status == 502)
		return;
	/* What is passed on is the target's. */
	g_assert_cmpint(caller->status, ==, atoi(text + 9));
	if (caller->complete)
		g_assert_cmpstr(caller->body->str, ==, body_of(text));
}

/* Guards against an answer with another status, body or field than the target's
 * for any byte of its head or of its framing that is spoilt. */
static void test_spoilt(fixture_t *f, gconstpointer data)
{
	static const char bytes[] = "\0\001\t\n\r :;,-01x\177\200";
	const group_t *group = data;
	const answer_t *answer = group->answers;
	const char *body = g_strstr_len(answer->text, -1, EVENT);
	uint32_t passed = 0;

	for (size_t at = 0; at < answer->size; at++) {
		if (answer->text + at >= body &&
		    answer->text + at < body + strlen(EVENT))
			continue;
		for (size_t i = 0; i < sizeof(bytes) - 1; i++) {
			g_autofree char *text =
				g_memdup2(answer->text, answer->size + 1);
			raw_answer_t raw = raw_answer(answer, 0);
			raw_caller_t caller;

			text[at] = bytes[i];
			raw.text = text;
			ask(f, answer, &raw, &caller);
			g_test_message("byte %zu is %d", at, bytes[i]);
			check_spoilt(&caller, text);
			passed += caller.status == 200;
			if (caller.status != 200)
				ask_sound(f, answer->stream);
			raw_caller_clear(&caller);
		}
	}
	/* Most bytes of a value may be any. */
	g_assert_cmpuint(passed, >, 0);
}

/* Answers to calls that are kept on a connection. */
static const answer_t kept_answers[] = {
	{ "length", BYTES(OK_HEAD LENGTH "\r\nwhole"), RAW_KEEP,
	  .may_repeat = true },
	{ "chunks", BYTES(OK_HEAD CHUNKED "\r\n" CHUNKS), RAW_KEEP,
	  .may_repeat = true },
};

#define GROUP(name, answers)                                                   \
	{                                                                      \
		name, answers, G_N_ELEMENTS(answers), false                    \
	}

static const group_t broken[] = {
	GROUP("length", length_answers),
	GROUP("coding", coding_answers),
	GROUP("lines", lines_answers),
	GROUP("folded", folded_answers),
	GROUP("folded-first", folded_first_answers),
	GROUP("names", names_answers),
	GROUP("status", status_answers),
	GROUP("interim", interim_answers),
	GROUP("chunk", chunk_answers),
	GROUP("stream", stream_answers),
	{ "behind", behind_answers, G_N_ELEMENTS(behind_answers), true },
};

static const group_t early = GROUP("early-reset", early_answers);
static const group_t unusual = GROUP("unusual", unusual_answers);
static const group_t late = GROUP("late-bytes", kept_answers);
static group_t spoilt[G_N_ELEMENTS(spoilt_answers)];

static void add(const group_t *group, const char *kind,
		void (*test)(fixture_t *f, gconstpointer data))
{
	g_autofree char *path =
		g_strdup_printf("/broken-answer/%s%s", kind, group->name);

	g_test_add(path, fixture_t, group, set_up, test, tear_down);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(broken); i++)
		add(&broken[i], "", test_broken);
	add(&early, "", test_early);
	add(&unusual, "", test_unusual);
	add(&late, "", test_late);
	for (size_t i = 0; i < G_N_ELEMENTS(spoilt); i++) {
		spoilt[i] = (group_t){ spoilt_answers[i].name,
				       &spoilt_answers[i], 1, false };
		add(&spoilt[i], "spoilt-", test_spoilt);
	}
	return g_test_run();
}
