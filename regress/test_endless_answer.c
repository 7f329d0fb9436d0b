/* Answers of targets that end with their connection, and bytes without end. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "support/platform_rig.h"
#include "support/raw_target.h"

/* A caller gets an answer, or a cut, within this time. */
#define ANSWER_MAX_US INT64_C(3000000)
/* What a target may write before its connection is closed: the bounds in bytes
 * and the buffers of both sockets. */
#define WRITTEN_MAX_BYTES (80LL << 20)
/* Memory of an instance, of which a hundred endless answers at once may use a
 * part only. */
#define MEMORY_MAX_KIB (260 * 1024 / 2)
#define AT_ONCE	       100

#define SEAL	"Berylshunt-Server-Seal: s\r\n"
#define OK_HEAD "HTTP/1.1 200 OK\r\n" SEAL
#define EVENTS	"Content-Type: text/event-stream\r\n"

typedef struct {
	const char *name;
	const char *text;   /* written once */
	const char *repeat; /* written until the connection is closed; NULL */
	bool reset;	    /* the connection is reset after text */
	bool stream;
	/* Expected at the caller. */
	int status;
	const char
		*body; /* NULL: anything, and not complete if status is 200 */
} answer_t;

static const answer_t answers[] = {
	/* Ended by the connection. */
	{ "unframed-call", OK_HEAD "Connection: close\r\n\r\nwhole", NULL,
	  false, false, 200, "whole" },
	{ "unframed-stream",
	  OK_HEAD EVENTS "Connection: close\r\n\r\nid: 1\ndata: a\n\n"
			 "id: 2\ndata: b\n\n",
	  NULL, false, true, 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" },
	{ "unframed-stream-inside-event",
	  OK_HEAD EVENTS "\r\nid: 1\ndata: a\n\nid: 2\nda", NULL, false, true,
	  200, NULL },
	{ "unframed-stream-reset", OK_HEAD EVENTS "\r\nid: 1\ndata: a\n\n",
	  NULL, true, true, 200, NULL },
	{ "unframed-stream-empty", OK_HEAD EVENTS "\r\n", NULL, false, true,
	  502, NULL },
	{ "unframed-call-reset", OK_HEAD "\r\nhal", NULL, true, false, 502,
	  NULL },
	/* Without end. */
	{ "status-line", "HTTP/1.1 200 ", "xxxxxxxxxxxxxxxx", false, false, 502,
	  NULL },
	{ "header-line", OK_HEAD "X: ", "xxxxxxxxxxxxxxxx", false, false, 502,
	  NULL },
	{ "headers", OK_HEAD, "X-A: xxxxxxxxx\r\n", false, false, 502, NULL },
	{ "interim-heads", "", "HTTP/1.1 102 Processing\r\n\r\n", false, false,
	  502, NULL },
	{ "no-answer", "", "\001\002xxxxxxxxxxxxxx", false, false, 502, NULL },
	{ "trailers",
	  OK_HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
	  "X-A: xxxxxxxxx\r\n", false, false, 502, NULL },
	{ "body", OK_HEAD "\r\n", "xxxxxxxxxxxxxxxx", false, false, 200, NULL },
	{ "chunks", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n",
	  "40\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	  "xx"
	  "\r\n",
	  false, false, 200, NULL },
	{ "chunk-size", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n",
	  "0000000000000000", false, false, 502, NULL },
	{ "chunk-extension", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n5;",
	  "xxxxxxxxxxxxxxxx", false, false, -1, NULL },
	{ "interim-headers", "HTTP/1.1 103 Early Hints\r\n",
	  "X-A: xxxxxxxxx\r\n", false, false, 502, NULL },
	{ "empty-lines", OK_HEAD EVENTS "\r\n", "\n\n\n\n\n\n\n\n", false, true,
	  -1, NULL },
	{ "failure-body", "HTTP/1.1 500 Failed\r\n" SEAL "\r\n",
	  "xxxxxxxxxxxxxxxx", false, false, 500, NULL },
	{ "event", OK_HEAD EVENTS "\r\nid: 1\ndata: ", "xxxxxxxxxxxxxxxx",
	  false, true, 502, NULL },
	{ "comments", OK_HEAD EVENTS "\r\n", ": xxxxxxxxxxxx\n\n", false, true,
	  -1, NULL },
};

/* The first bytes of an answer; size -1: all. */
static void set_answer(raw_target_t *target, const answer_t *answer, int size)
{
	raw_answer_t raw = {
		.text = answer->text,
		.size = size < 0 ? strlen(answer->text) : (size_t)size,
		.repeat = answer->repeat,
		.end = answer->reset ? RAW_RESET : RAW_CLOSE,
	};

	raw_target_set(target, &raw);
}

static void stop_target(platform_rig_t *rig, raw_target_t *target)
{
	int64_t until_us = bsh_loop_clock_us() + 5000000;

	raw_target_stop(target);
	/* The connections were closed by the instance. */
	while (atomic_load(&target->open) > 0) {
		g_assert_cmpint(bsh_loop_clock_us(), <, until_us);
		platform_rig_run(rig, 5);
	}
}

static long memory_kib(const rig_entry_t *entry)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/statm", entry->pid);
	g_autofree char *text = NULL;
	long pages = 0;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	g_assert_cmpint(sscanf(text, "%*s %ld", &pages), ==, 1);
	return pages * (sysconf(_SC_PAGESIZE) / 1024);
}

static void check_answer(const answer_t *answer, const rig_reply_t *reply)
{
	if (answer->body != NULL) {
		g_assert_cmpint(reply->status, ==, answer->status);
		g_assert_true(reply->complete);
		g_assert_cmpstr(reply->body, ==, answer->body);
	} else if (answer->status >= 0) {
		/* A cut cannot be taken for a whole answer. */
		g_assert_cmpint(reply->status, ==, answer->status);
		if (answer->status != 502)
			g_assert_false(reply->complete);
	}
}

typedef struct {
	platform_rig_t rig;
	rig_entry_t *entry;
	raw_target_t target;
	uint32_t asked;
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
	const answer_t *answer = data;
	worker_t *worker;

	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	worker = platform_rig_add_worker(&f->rig,
					 answer->stream ? "llm" : "desk",
					 answer->stream ? "m0" : NULL);
	raw_target_start(&f->target, worker->address, sizeof(worker->address));
	set_answer(&f->target, answer, -1);
	platform_rig_publish_worker(worker, "ready");
	f->entry = platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, f->entry);
	platform_rig_run(&f->rig, 200);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	stop_target(&f->rig, &f->target);
	platform_rig_finish(&f->rig);
}

static void send_request(fixture_t *f, const answer_t *answer, const char *id,
			 uint32_t deadline_ms, rig_reply_t *reply)
{
	platform_rig_send(&f->rig, f->entry->front,
			  answer->stream ? "/once/1" : "/book/1", id,
			  answer->stream ? "m0" : NULL, deadline_ms, reply);
}

/* Guards against an answer that looks complete and is not, an endless one that is
 * read for ever, and a caller that gets no true answer. */
static void test_answer(fixture_t *f, gconstpointer data)
{
	const answer_t *answer = data;
	rig_reply_t reply;

	send_request(f, answer, "e1", 2500, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	check_answer(answer, &reply);
	g_assert_cmpint(reply.took_us, <, ANSWER_MAX_US);
	platform_rig_reply_clear(&reply);
	platform_rig_run(&f->rig, 100);
	g_assert_cmpint(atomic_load(&f->target.written), <, WRITTEN_MAX_BYTES);
	g_assert_cmpint(atomic_load(&f->target.served), ==, 1);
}

/* Guards against memory that endless answers use up together. */
static void test_memory(fixture_t *f, gconstpointer data)
{
	const answer_t *answer = data;
	rig_reply_t *replies = g_new0(rig_reply_t, AT_ONCE);
	long most_kib = 0;

	for (int i = 0; i < AT_ONCE; i++) {
		g_autofree char *id = g_strdup_printf("m%d", i);

		send_request(f, answer, id, 3000, &replies[i]);
	}
	for (int i = 0; i < AT_ONCE; i++)
		while (!replies[i].done) {
			platform_rig_run(&f->rig, 5);
			most_kib = MAX(most_kib, memory_kib(f->entry));
		}
	for (int i = 0; i < AT_ONCE; i++)
		platform_rig_reply_clear(&replies[i]);
	g_free(replies);
	g_test_message("most=%ld KiB", most_kib);
	g_assert_cmpint(most_kib, <, MEMORY_MAX_KIB);
}

/* Whole answers, each byte of which is tried as the place of the close. */
static const answer_t whole_answers[] = {
	{ "length", OK_HEAD "Content-Length: 5\r\nX-A: b\r\n\r\nwhole", NULL,
	  false, false, 200, "whole" },
	{ "chunks",
	  OK_HEAD "Transfer-Encoding: chunked\r\nX-A: b\r\n\r\n"
		  "2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
	  NULL, false, false, 200, "whole" },
	{ "close", OK_HEAD "X-A: b\r\n\r\nwhole", NULL, false, false, 200,
	  "whole" },
	{ "empty-body", OK_HEAD "Content-Length: 0\r\nX-A: b\r\n\r\n", NULL,
	  false, false, 200, "" },
	{ "stream-chunks",
	  OK_HEAD EVENTS "Transfer-Encoding: chunked\r\n\r\n"
			 "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
	  NULL, false, true, 200, "id: 1\ndata: a\n\n" },
	{ "stream-close", OK_HEAD EVENTS "X-A: b\r\n\r\nid: 1\ndata: a\n\n",
	  NULL, false, true, 200, "id: 1\ndata: a\n\n" },
};

/* Sends a request whose answer is closed after this many bytes; -1: none. */
static void ask(fixture_t *f, const answer_t *answer, int cut,
		rig_reply_t *reply)
{
	g_autofree char *id = g_strdup_printf("cut-%u", f->asked++);

	set_answer(&f->target, answer, cut);
	send_request(f, answer, id, 2500, reply);
	platform_rig_wait(&f->rig, &reply->done);
}

/* Guards against a whole answer, with an empty or a short body, for a target
 * that has closed within its head or before the end of its body. */
static void test_cut(fixture_t *f, gconstpointer data)
{
	const answer_t *answer = data;
	int size = (int)strlen(answer->text);
	int head = (int)(strstr(answer->text, "\r\n\r\n") + 4 - answer->text);
	bool framed = strstr(answer->text, "Content-Length") != NULL ||
		      strstr(answer->text, "chunked") != NULL;

	for (int cut = 1; cut < size; cut++) {
		rig_reply_t reply;
		bool whole;

		ask(f, answer, cut, &reply);
		whole = reply.status == 200 && reply.complete;
		g_test_message("cut after %d of %d bytes, head %d: status %d "
			       "complete %d body \"%s\"",
			       cut, size, head, reply.status, reply.complete,
			       reply.body);
		if (cut < head)
			g_assert_cmpint(reply.status, ==, 502);
		/* The end of a body without a length cannot be told from a
		 * close within it; a stream ends after an event. */
		else if (whole && (framed || answer->stream))
			g_assert_cmpstr(reply.body, ==, answer->body);
		platform_rig_reply_clear(&reply);
		/* A target that fails several times in a row gets a pause. */
		ask(f, answer, -1, &reply);
		g_assert_cmpint(reply.status, ==, 200);
		g_assert_cmpstr(reply.body, ==, answer->body);
		platform_rig_reply_clear(&reply);
	}
	g_assert_cmpint(atomic_load(&f->target.served), ==, 2 * (size - 1));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		g_autofree char *path =
			g_strdup_printf("/endless-answer/%s", answers[i].name);

		g_test_add(path, fixture_t, &answers[i], set_up, test_answer,
			   tear_down);
		if (strcmp(answers[i].name, "event") == 0 ||
		    strcmp(answers[i].name, "headers") == 0 ||
		    strcmp(answers[i].name, "failure-body") == 0) {
			g_autofree char *memory =
				g_strdup_printf("%s-memory", path);

			g_test_add(memory, fixture_t, &answers[i], set_up,
				   test_memory, tear_down);
		}
	}
	for (size_t i = 0; i < G_N_ELEMENTS(whole_answers); i++) {
		g_autofree char *path = g_strdup_printf("/cut-answer/%s",
							whole_answers[i].name);

		g_test_add(path, fixture_t, &whole_answers[i], set_up, test_cut,
			   tear_down);
	}
	return g_test_run();
}
