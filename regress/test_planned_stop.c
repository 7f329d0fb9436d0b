/* An instance that is stopped in order, while callers still send it requests on
 * new and on kept connections. */
#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "coordination/run_time.h"
#include "support/platform_rig.h"

#define SECOND	     INT64_C(1000000)
#define GRACE_S	     4U
#define CALLERS	     8
#define REQUESTS_MAX 2000
#define DEADLINE_MS  10000U
/* Of streams that end before the grace time, by it if not by themselves. */
#define SOON_DEADLINE_MS 2500U
#define STEP_MS		 20

/* Guards against a call of some milliseconds that is refused as its deadline is
 * long, and against a stream that is taken and cut. */
static void test_fits(void)
{
	bsh_run_time_t calls = { .longest_us = 0 };
	bsh_run_time_t streams = { .longest_us = 0 };

	for (int i = 0; i < 10; i++) {
		bsh_run_time_add(&calls, 30000, i * SECOND);
		bsh_run_time_add(&streams, i == 4 ? 6 * SECOND : SECOND,
				 i * SECOND);
	}
	g_assert_true(bsh_run_time_fits(&calls, 0, 15 * SECOND, SECOND / 2));
	g_assert_false(bsh_run_time_fits(&calls, 0, 15 * SECOND, SECOND / 10));
	g_assert_false(bsh_run_time_fits(&calls, SECOND, 15 * SECOND, SECOND));
	g_assert_true(bsh_run_time_fits(&streams, 0, 15 * SECOND, 8 * SECOND));
	g_assert_false(bsh_run_time_fits(&streams, 0, 15 * SECOND, 6 * SECOND));
	/* The deadline ends it before the abort. */
	g_assert_true(bsh_run_time_fits(&streams, 0, SECOND, 2 * SECOND));
	g_assert_true(bsh_run_time_fits(NULL, 0, SECOND, 2 * SECOND));
	g_assert_false(bsh_run_time_fits(NULL, 0, 15 * SECOND, 8 * SECOND));
}

/* Guards against a route whose run time stays unknown, or follows a single slow
 * request for ever. */
static void test_windows(void)
{
	bsh_run_time_t time = { .longest_us = 0 };

	g_assert_cmpint(bsh_run_time_bound_us(&time), ==, INT64_MAX);
	bsh_run_time_add(&time, 8 * SECOND, 100 * SECOND);
	bsh_run_time_add(&time, SECOND, 130 * SECOND);
	g_assert_cmpint(bsh_run_time_bound_us(&time), >, 8 * SECOND);
	bsh_run_time_add(&time, SECOND, 161 * SECOND);
	g_assert_cmpint(bsh_run_time_bound_us(&time), >, 8 * SECOND);
	bsh_run_time_add(&time, SECOND, 222 * SECOND);
	g_assert_cmpint(bsh_run_time_bound_us(&time), <, 2 * SECOND);
	/* The last known time is better than none. */
	g_assert_cmpint(bsh_run_time_bound_us(&time), >, SECOND);
}

typedef struct {
	rig_reply_t reply;
	char id[32];
	int64_t sent_us; /* after SIGTERM */
	bool call;
} sent_t;

typedef struct {
	platform_rig_t rig;
	rig_entry_t *stopping;
	bsh_http_client_t *kept[CALLERS]; /* one connection each */
	int at[CALLERS]; /* request on that connection; -1: none */
	sent_t sent[REQUESTS_MAX];
	int n;
	int64_t term_us;
} fixture_t;

/* What happens beside the stop. */
typedef struct {
	uint32_t stream_events; /* 10 ms each */
	bool store_down;
	bool more_signals;
	bool holder; /* the one that stops has the order lease */
} stop_t;

static void send_request(fixture_t *f, bsh_http_client_t *client, bool call,
			 uint32_t deadline_ms)
{
	sent_t *sent = &f->sent[f->n];
	rig_request_t request = { .address = f->stopping->front,
				  .path = call ? "/book/1" : "/once/1",
				  .id = sent->id,
				  .model = call ? NULL : "m0",
				  .deadline_ms = deadline_ms,
				  .client = client };

	if (f->n == REQUESTS_MAX)
		return;
	g_snprintf(sent->id, sizeof(sent->id), "stop-%d", f->n++);
	sent->call = call;
	sent->sent_us = f->term_us > 0 ? bsh_loop_clock_us() - f->term_us : 0;
	platform_rig_start(&f->rig, &request, &sent->reply);
}

/* Each caller sends its next stream as the last one ends, on the connection that
 * it keeps. */
static void run_callers(fixture_t *f)
{
	for (int i = 0; i < CALLERS; i++) {
		if (f->at[i] >= 0 && !f->sent[f->at[i]].reply.done)
			continue;
		if (f->n == REQUESTS_MAX)
			return;
		f->at[i] = f->n;
		send_request(f, f->kept[i], false, DEADLINE_MS);
	}
}

static void set_up(fixture_t *f, const stop_t *stop)
{
	memset(f, 0, sizeof(*f));
	platform_rig_init(&f->rig);
	f->rig.lease_ms = 1000;
	f->rig.grace_s = GRACE_S;
	platform_rig_configure(&f->rig, NULL);
	for (int i = 0; i < 3; i++)
		platform_rig_add_worker(&f->rig, "llm", "m0")->stream_events =
			stop->stream_events;
	platform_rig_add_worker(&f->rig, "desk", NULL);
	for (int i = 0; i < 2; i++)
		platform_rig_add_entry(&f->rig);
	for (int i = 0; i < 2; i++)
		platform_rig_wait_ready(&f->rig, &f->rig.entries[i]);
	platform_rig_run(&f->rig, 1500);
	f->stopping = &f->rig.entries[0];
	for (int i = 0; i < CALLERS; i++) {
		f->kept[i] = bsh_http_client_new(&f->rig.loop, 1);
		f->at[i] = -1;
	}
}

static const char *lease_holder(const fixture_t *f)
{
	const json_t *object =
		platform_rig_object(&f->rig, "berylshunt-leases", "orders");

	return json_string_value(
		json_object_get(json_object_get(object, "spec"), "holder"));
}

static void stop_instance(fixture_t *f, const stop_t *stop)
{
	int steps = 0;

	if (stop->holder && g_strcmp0(lease_holder(f), f->stopping->name) != 0)
		f->stopping = &f->rig.entries[1];
	/* The time that streams and calls take is known before the stop. */
	for (int i = 0; i < 2 * (int)stop->stream_events * 10 / STEP_MS + 20;
	     i++) {
		if (i % 3 == 0)
			run_callers(f);
		if (i % 10 == 0)
			send_request(f, NULL, true, DEADLINE_MS);
		platform_rig_run(&f->rig, STEP_MS);
	}
	f->rig.store_down = stop->store_down;
	f->term_us = bsh_loop_clock_us();
	platform_rig_signal(f->stopping, SIGTERM);
	while (f->stopping->alive) {
		run_callers(f);
		if (steps % 5 == 0) {
			send_request(f, NULL, false,
				     steps % 10 == 0 ? SOON_DEADLINE_MS
						     : DEADLINE_MS);
			send_request(f, NULL, true, DEADLINE_MS);
		}
		if (stop->more_signals && steps % 40 == 20)
			platform_rig_signal(f->stopping, steps % 80 == 20
								 ? SIGHUP
								 : SIGTERM);
		platform_rig_run(&f->rig, STEP_MS);
		platform_rig_reap(&f->rig);
		steps++;
	}
}

/* Checks the requests; returns the number of streams, sent after SIGTERM, that
 * were served. */
static int check(const fixture_t *f, int64_t *last_call_us)
{
	int served = 0;

	for (int i = 0; i < f->n; i++) {
		const sent_t *sent = &f->sent[i];
		const rig_reply_t *reply = &sent->reply;
		uint32_t runs = platform_rig_runs(&f->rig, sent->id);

		if (reply->status != 200 || !reply->complete)
			g_test_message("%s sent at %d ms: status %d complete "
				       "%d runs %u",
				       sent->id, (int)(sent->sent_us / 1000),
				       reply->status, reply->complete, runs);
		/* Taken: answered in full.  Else it has not run. */
		if (runs > 0)
			g_assert_true(reply->status == 200 && reply->complete);
		else if (reply->status != 0)
			g_assert_true(reply->status == 503 &&
				      reply->retry_after != NULL);
		if (sent->sent_us == 0 || reply->status != 200)
			continue;
		served += !sent->call;
		if (sent->call)
			*last_call_us = sent->sent_us;
	}
	return served;
}

static void tear_down(fixture_t *f)
{
	for (int i = 0; i < f->n; i++)
		platform_rig_reply_clear(&f->sent[i].reply);
	for (int i = 0; i < CALLERS; i++)
		bsh_http_client_free(f->kept[i]);
	platform_rig_finish(&f->rig);
}

/* Guards against requests that come late in a planned stop, on new or on kept
 * connections, and are taken and cut at the end of the grace time; and against
 * an instance that refuses all requests from SIGTERM on, also streams that their
 * deadline ends in time. */
static void test_stop(gconstpointer data)
{
	static fixture_t fixture;
	const stop_t *stop = data;
	int64_t last_call_us = 0;

	set_up(&fixture, stop);
	stop_instance(&fixture, stop);
	g_assert_cmpint(check(&fixture, &last_call_us), >, 0);
	g_assert_cmpint(last_call_us, >, 2 * SECOND);
	tear_down(&fixture);
}

static int connect_to(const char *address)
{
	g_auto(GStrv) parts = g_strsplit(address, ":", 2);
	struct sockaddr_in to = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(fd, >=, 0);
	to.sin_port = htons((uint16_t)atoi(parts[1]));
	g_assert_cmpint(inet_pton(AF_INET, parts[0], &to.sin_addr), ==, 1);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&to, sizeof(to)), ==, 0);
	return fd;
}

static void send_text(int fd, const char *text)
{
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(text));
}

/* Guards against a caller that is cut off while it still sends its request: the
 * instance has time left to run it. */
static void test_upload(void)
{
	static const stop_t stop = { .stream_events = 20 };
	static fixture_t fixture;
	fixture_t *f = &fixture;
	char answer[512] = "";
	ssize_t n = 0;
	int fd;

	set_up(f, &stop);
	for (int i = 0; i < 3; i++) {
		send_request(f, NULL, true, DEADLINE_MS);
		platform_rig_run(&f->rig, 100);
	}
	fd = connect_to(f->stopping->front);
	send_text(fd, "POST /book/1 HTTP/1.1\r\nHost: " RIG_HOST "\r\n"
		      "Berylshunt-Request-Try-Id: upload-1\r\n"
		      "Content-Length: 8\r\n\r\nhalf");
	platform_rig_run(&f->rig, 100);
	f->term_us = bsh_loop_clock_us();
	platform_rig_signal(f->stopping, SIGTERM);
	platform_rig_run(&f->rig, 1000 * (GRACE_S - 1) + 150);
	send_text(fd, "half");
	for (int i = 0; i < 15 && n <= 0; i++) {
		platform_rig_run(&f->rig, STEP_MS);
		n = recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT);
	}
	g_assert_cmpint(n, >, 0);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_assert_cmpuint(platform_rig_runs(&f->rig, "upload-1"), ==, 1);
	close(fd);
	while (f->stopping->alive) {
		platform_rig_run(&f->rig, STEP_MS);
		platform_rig_reap(&f->rig);
	}
	tear_down(f);
}

/* Guards against a stop that does not end before it is killed, as a caller does
 * not read what it is sent: it keeps its connection and sends more requests. */
static void test_caller_reads_nothing(void)
{
	static const char text[] =
		"GET /nowhere/ HTTP/1.1\r\nHost: " RIG_HOST "\r\n\r\n";
	static const stop_t stop = { .stream_events = 20 };
	static fixture_t fixture;
	fixture_t *f = &fixture;
	int small = 1;
	int64_t ended_us;
	int fd;

	set_up(f, &stop);
	fd = connect_to(f->stopping->front);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	/* Until the buffers in both directions are full. */
	for (int blocked = 0; blocked < 50;) {
		ssize_t n = send(fd, text, sizeof(text) - 1,
				 MSG_DONTWAIT | MSG_NOSIGNAL);

		if (n == (ssize_t)sizeof(text) - 1)
			continue;
		blocked++;
		platform_rig_run(&f->rig, STEP_MS);
		if (n > 0)
			break;
	}
	platform_rig_run(&f->rig, 500);
	f->term_us = bsh_loop_clock_us();
	platform_rig_signal(f->stopping, SIGTERM);
	while (f->stopping->alive &&
	       bsh_loop_clock_us() - f->term_us < (GRACE_S + 3) * SECOND) {
		platform_rig_run(&f->rig, STEP_MS);
		platform_rig_reap(&f->rig);
	}
	ended_us = bsh_loop_clock_us() - f->term_us;
	g_test_message("ended_us=%" G_GINT64_FORMAT, ended_us);
	g_assert_false(f->stopping->alive);
	g_assert_cmpint(ended_us, <, GRACE_S * SECOND);
	close(fd);
	tear_down(f);
}

int main(int argc, char **argv)
{
	static const stop_t calm = { .stream_events = 130 };
	static const stop_t shorter = { .stream_events = 70 };
	static const stop_t store_down = { .stream_events = 100,
					   .store_down = true };
	static const stop_t signals = { .stream_events = 130,
					.more_signals = true,
					.holder = true };

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/run-time/fits", test_fits);
	g_test_add_func("/run-time/windows", test_windows);
	g_test_add_data_func("/planned-stop/calm", &calm, test_stop);
	g_test_add_data_func("/planned-stop/short-streams", &shorter,
			     test_stop);
	g_test_add_data_func("/planned-stop/store-down", &store_down,
			     test_stop);
	g_test_add_data_func("/planned-stop/more-signals", &signals, test_stop);
	g_test_add_func("/planned-stop/upload", test_upload);
	g_test_add_func("/planned-stop/caller-reads-nothing",
			test_caller_reads_nothing);
	return g_test_run();
}
