/* Requests that callers are still sending while an instance is stopped. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/platform_rig.h"

#define SECOND	 INT64_C(1000000)
#define GRACE_S	 4U
#define STEP_MS	 20
#define PIECES	 16
#define PIECE_US (SECOND / 5)
#define UPLOADS	 28
/* Between the starts of two uploads; the first is a second before SIGTERM, the
 * last before the listener closes. */
#define START_PAUSE_US (SECOND * 14 / 100)
/* Time in which a caller is told that its request will not run. */
#define TOLD_US (SECOND * 3 / 10)
/* Time after SIGTERM at which what is left is aborted, and by which all callers
 * must have their answers. */
#define ABORT_US    (SECOND * 7 / 2)
#define ANSWERED_US (SECOND * 37 / 10)

typedef struct {
	int fd; /* -1: closed */
	char id[32];
	bool call;
	bool reads_last; /* reads nothing before it has sent all */
	int pieces;	 /* sent; PIECES: the body is whole */
	int64_t start_us;
	int64_t next_us;     /* of the next piece; 0: not begun */
	int64_t answered_us; /* first byte of the answer; 0: none */
	char answer[2048];
	size_t size;
	int error; /* of its connection */
} upload_t;

typedef struct {
	platform_rig_t rig;
	rig_entry_t *stopping;
	upload_t uploads[UPLOADS];
	int64_t term_us; /* 0: not stopped yet */
} fixture_t;

static fixture_t fixture;

static void set_up(void)
{
	fixture_t *f = &fixture;

	memset(f, 0, sizeof(*f));
	platform_rig_init(&f->rig);
	f->rig.lease_ms = 1000;
	f->rig.grace_s = GRACE_S;
	platform_rig_configure(&f->rig, NULL);
	platform_rig_add_worker(&f->rig, "llm", "m0")->stream_events = 20;
	platform_rig_add_worker(&f->rig, "desk", NULL);
	for (int i = 0; i < 2; i++)
		platform_rig_add_entry(&f->rig);
	for (int i = 0; i < 2; i++)
		platform_rig_wait_ready(&f->rig, &f->rig.entries[i]);
	platform_rig_run(&f->rig, 1500);
	f->stopping = &f->rig.entries[0];
}

/* The time that calls and streams take is known before the stop. */
static void run_before(void)
{
	fixture_t *f = &fixture;
	rig_reply_t replies[6];

	for (size_t i = 0; i < G_N_ELEMENTS(replies); i++) {
		g_autofree char *id = g_strdup_printf("before-%zu", i);

		platform_rig_send(&f->rig, f->stopping->front,
				  i % 2 == 0 ? "/book/1" : "/once/1", id,
				  i % 2 == 0 ? NULL : "m0", 9000, &replies[i]);
		platform_rig_wait(&f->rig, &replies[i].done);
		g_assert_cmpint(replies[i].status, ==, 200);
		platform_rig_reply_clear(&replies[i]);
	}
}

static void close_upload(upload_t *u)
{
	if (u->fd >= 0)
		close(u->fd);
	u->fd = -1;
}

static bool send_text(upload_t *u, const char *text)
{
	if (send(u->fd, text, strlen(text), MSG_NOSIGNAL) ==
	    (ssize_t)strlen(text))
		return true;
	u->error = errno;
	return false;
}

static void begin_upload(upload_t *u, int64_t now_us)
{
	g_auto(GStrv) parts = g_strsplit(fixture.stopping->front, ":", 2);
	struct sockaddr_in to = { .sin_family = AF_INET };
	g_autofree char *head =
		g_strdup_printf("POST /%s/1 HTTP/1.1\r\nHost: " RIG_HOST "\r\n"
				"Berylshunt-Request-Try-Id: %s\r\n%s"
				"Berylshunt-Deadline-Ms: 9000\r\n"
				"Transfer-Encoding: chunked\r\n\r\n",
				u->call ? "book" : "once", u->id,
				u->call ? "" : "Berylshunt-Model: m0\r\n");

	to.sin_port = htons((uint16_t)atoi(parts[1]));
	g_assert_cmpint(inet_pton(AF_INET, parts[0], &to.sin_addr), ==, 1);
	u->fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(u->fd, >=, 0);
	u->next_us = now_us + PIECE_US;
	u->start_us = now_us;
	if (connect(u->fd, (struct sockaddr *)&to, sizeof(to)) != 0 ||
	    !send_text(u, head))
		close_upload(u);
}

static void send_piece(upload_t *u, int64_t now_us)
{
	static const char piece[] = "40\r\n"
				    "0123456789abcdef0123456789abcdef"
				    "0123456789abcdef0123456789abcdef\r\n";

	u->next_us = now_us + PIECE_US;
	u->pieces++;
	if (!send_text(u, u->pieces == PIECES ? "0\r\n\r\n" : piece))
		u->pieces = PIECES; /* the instance has closed */
}

static void read_answer(upload_t *u, int64_t now_us)
{
	ssize_t n = recv(u->fd, u->answer + u->size,
			 sizeof(u->answer) - 1 - u->size, MSG_DONTWAIT);

	if (n > 0) {
		if (u->answered_us == 0)
			u->answered_us = now_us;
		u->size += (size_t)n;
	} else if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
		if (n < 0)
			u->error = errno;
		close_upload(u);
	}
}

static void step_upload(upload_t *u, int64_t now_us)
{
	if (u->next_us == 0) {
		if (now_us >= u->start_us)
			begin_upload(u, now_us);
		return;
	}
	if (u->fd >= 0 && u->pieces < PIECES && u->size == 0 &&
	    now_us >= u->next_us)
		send_piece(u, now_us);
	if (u->fd >= 0 && (!u->reads_last || u->pieces == PIECES))
		read_answer(u, now_us);
}

static void step(void)
{
	fixture_t *f = &fixture;

	platform_rig_run(&f->rig, STEP_MS);
	platform_rig_reap(&f->rig);
	for (int i = 0; i < UPLOADS; i++)
		step_upload(&f->uploads[i], bsh_loop_clock_us());
}

static void run_uploads(void)
{
	fixture_t *f = &fixture;
	int64_t began_us = bsh_loop_clock_us();

	for (int i = 0; i < UPLOADS; i++) {
		upload_t *u = &f->uploads[i];

		g_snprintf(u->id, sizeof(u->id), "upload-%d", i);
		u->fd = -1;
		u->call = i % 2 == 0;
		u->reads_last = i % 4 >= 2;
		u->start_us = began_us + i * START_PAUSE_US;
	}
	while (bsh_loop_clock_us() < began_us + SECOND)
		step();
	f->term_us = bsh_loop_clock_us();
	platform_rig_signal(f->stopping, SIGTERM);
	while (f->stopping->alive)
		step();
	for (int i = 0; i < 3 * PIECES; i++)
		step();
}

static bool is_answer_whole(const upload_t *u)
{
	const char *body = strstr(u->answer, "\r\n\r\n");
	const char *length = strstr(u->answer, "Content-Length: ");

	if (body == NULL)
		return false;
	if (length == NULL || length > body)
		return strstr(body, "0\r\n\r\n") != NULL; /* chunked */
	return strlen(body + 4) == strtoul(length + 16, NULL, 10);
}

static void check_upload(const upload_t *u)
{
	int64_t start_us = u->start_us - fixture.term_us;
	int64_t answered_us = u->answered_us - fixture.term_us;
	uint32_t runs = platform_rig_runs(&fixture.rig, u->id);
	int status = u->size > 12 ? atoi(u->answer + 9) : 0;

	g_test_message("%s %s began %d ms after SIGTERM, %d pieces: status %d "
		       "at %d ms, runs %u, error %d",
		       u->id, u->call ? "call" : "stream",
		       (int)(start_us / 1000), u->pieces, status,
		       status > 0 ? (int)(answered_us / 1000) : -1, runs,
		       u->error);
	g_assert_true(is_answer_whole(u));
	if (runs > 0) {
		g_assert_cmpint(status, ==, 200);
		return;
	}
	g_assert_cmpint(status, ==, 503);
	g_assert_nonnull(strstr(u->answer, "Retry-After:"));
	if (u->reads_last)
		return;
	g_assert_cmpint(answered_us, <, ANSWERED_US);
	if (!u->call)
		g_assert_cmpint(answered_us, <, MAX(start_us, 0) + TOLD_US);
}

/* Guards against callers that are still sending when their instance ends: their
 * connections were closed without an answer, so that one with a request that
 * must not be repeated did not know whether it had run; and against one that
 * sends for seconds before it is told that its request will not run. */
static void test_uploads(void)
{
	fixture_t *f = &fixture;
	uint32_t served = 0;

	set_up();
	run_before();
	run_uploads();
	for (int i = 0; i < UPLOADS; i++) {
		check_upload(&f->uploads[i]);
		served += platform_rig_runs(&f->rig, f->uploads[i].id);
		close_upload(&f->uploads[i]);
	}
	/* Calls that are whole before the abort are served. */
	g_assert_cmpuint(served, >=, 3);
	platform_rig_finish(&f->rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/late-uploads/answered", test_uploads);
	return g_test_run();
}
