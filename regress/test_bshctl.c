/* bshctl against a fake controller: exit statuses, conflicts, lost and
 * malformed answers, and the merged time line. */
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support/fake_control.h"
#include "support/raw_target.h"

#define DOC_HEAD                                                               \
	"{\"deployment\":\"fahrstart\",\"weight\":0.8,"                        \
	"\"weight_store\":{\"loads_per_s\":6,\"concurrent\":4},"               \
	"\"pools\":[{\"name\":\"review\",\"kind\":\"engine\","                 \
	"\"fencing\":true,\"memory_mib\":80000}],"                             \
	"\"models\":[{\"name\":\"contract\",\"pool\":\"review\","              \
	"\"memory_mib\":16000,\"max_replicas\":"

static const char doc_1[] = DOC_HEAD "1}]}";
static const char doc_2[] = DOC_HEAD "2}]}";
static const char doc_3[] = DOC_HEAD "3}]}";
/* Invalid in two places: a value out of range and a missing key. */
static const char doc_bad[] = "{\"deployment\":\"x\",\"weight\":7,"
			      "\"weight_store\":{\"loads_per_s\":6}}";

/* Answer to /v1/config, 16 bytes. */
#define NO_DOCUMENT "{\"generation\":0}"

typedef struct {
	fake_control_t fake;
	char *directory;
	char *out;
	char *err;
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	fake_control_init(&f->fake);
	f->directory = g_dir_make_tmp("bshctl-XXXXXX", NULL);
	g_assert_nonnull(f->directory);
}

static void clear_output(fixture_t *f)
{
	g_clear_pointer(&f->out, g_free);
	g_clear_pointer(&f->err, g_free);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	GDir *dir = g_dir_open(f->directory, 0, NULL);
	const char *name;

	(void)data;
	while ((name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *path =
			g_build_filename(f->directory, name, NULL);

		g_unlink(path);
	}
	g_dir_close(dir);
	g_rmdir(f->directory);
	g_free(f->directory);
	clear_output(f);
	fake_control_finish(&f->fake);
}

static char *save(const fixture_t *f, const char *name, const char *text)
{
	char *path = g_build_filename(f->directory, name, NULL);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

/* Runs bshctl and compares the exit status. */
static void run(fixture_t *f, int expected, const char *const *arguments)
{
	int status;

	clear_output(f);
	status = run_program(&f->out, &f->err, "bshctl", arguments);
	if (status != expected)
		g_test_message("%s: %s%s", arguments[0], f->out, f->err);
	g_assert_cmpint(status, ==, expected);
}

#define RUN(f, expected, ...)                                                  \
	run(f, expected, (const char *const[]){ __VA_ARGS__, NULL })

#define CONTAINS(text, part) g_assert_nonnull(strstr((text), (part)))

/* Guards against a check that needs a controller, or that reports only the
 * first error of a document. */
static void test_check(fixture_t *f, gconstpointer data)
{
	g_autofree char *good = save(f, "good", doc_1);
	g_autofree char *bad = save(f, "bad", doc_bad);
	g_autofree char *text = save(f, "text", "{\"deployment\":");
	g_autofree char *blanks = g_strnfill(1000001, ' ');
	g_autofree char *large = save(f, "large", blanks);

	(void)data;
	RUN(f, 0, "check", good);
	CONTAINS(f->out, "valid\t");
	RUN(f, 3, "check", bad);
	CONTAINS(f->out, "weight\t7\ta number from 0 to 1\n");
	CONTAINS(f->out, "weight_store.concurrent\t\t");
	RUN(f, 3, "check", "--json", bad);
	CONTAINS(f->out, "\"allowed\": \"a number from 0 to 1\"");
	RUN(f, 3, "check", text);
	CONTAINS(f->out, "line 1");
	RUN(f, 3, "check", large);
	CONTAINS(f->out, "at most 1000000 bytes");
	RUN(f, 2, "check", "/nonexistent/document.json");
	RUN(f, 2, "check");
	RUN(f, 2, "check", "--generation", "1", good);
	RUN(f, 2, "no-such-command");
	RUN(f, 2, "status", "-s", "localhost");
	RUN(f, 0, "--version");
	RUN(f, 0, "apply", "--help");
	g_assert_cmpstr(f->err, ==, "");
}

/* Guards against a diff in the wrong direction, and against one that fails
 * before the first document is accepted. */
static void test_diff(fixture_t *f, gconstpointer data)
{
	g_autofree char *one = save(f, "1", doc_1);
	g_autofree char *two = save(f, "2", doc_2);

	(void)data;
	RUN(f, 1, "diff", one, two);
	g_assert_cmpstr(f->out, ==, "~ models/contract.max_replicas: 1 -> 2\n");
	RUN(f, 0, "diff", one, one);
	RUN(f, 1, "diff", "-s", f->fake.address, one);
	CONTAINS(f->out, "# no document is accepted yet\n");
	fake_control_accept(&f->fake, doc_1);
	RUN(f, 1, "diff", "-s", f->fake.address, two);
	CONTAINS(f->out, "1 -> 2");
	RUN(f, 0, "diff", "-s", f->fake.address, one);
	RUN(f, 1, "diff", "--json", "-s", f->fake.address, two);
	CONTAINS(f->out, "\"generation\": 1");
}

/* Guards against a second apply of the same document that raises the
 * generation, and against an apply that ignores the generation given by -g. */
static void test_apply(fixture_t *f, gconstpointer data)
{
	g_autofree char *one = save(f, "1", doc_1);
	g_autofree char *two = save(f, "2", doc_2);

	(void)data;
	RUN(f, 0, "apply", "-s", f->fake.address, one);
	g_assert_cmpstr(f->out, ==, "accepted\tgeneration 1\n");
	RUN(f, 0, "apply", "-s", f->fake.address, one);
	g_assert_cmpstr(f->out, ==, "unchanged\tgeneration 1\n");
	g_assert_cmpuint(f->fake.puts, ==, 1);
	RUN(f, 0, "apply", "-s", f->fake.address, "-g", "1", two);
	RUN(f, 0, "apply", "-s", f->fake.address, "-g", "1", two);
	CONTAINS(f->out, "unchanged\tgeneration 2");
	RUN(f, 4, "apply", "-s", f->fake.address, "-g", "1", one);
	CONTAINS(f->err, "generation 2");
	CONTAINS(f->out, "2 -> 1");
	g_assert_cmpuint(f->fake.puts, ==, 2);
	g_assert_cmpint(f->fake.generation, ==, 2);
}

/* Guards against a lost update or a silent merge when two operators apply
 * documents concurrently. */
static void test_conflict(fixture_t *f, gconstpointer data)
{
	g_autofree char *two = save(f, "2", doc_2);

	(void)data;
	fake_control_accept(&f->fake, doc_1);
	f->fake.concurrent_document = g_strdup(doc_3);
	RUN(f, 4, "apply", "-s", f->fake.address, two);
	CONTAINS(f->out, "other operator\n~ models/contract.max_replicas: "
			 "1 -> 3\n");
	CONTAINS(f->out, "generation 2\n~ models/contract.max_replicas: "
			 "3 -> 2\n");
	g_assert_cmpstr(f->fake.document, ==, doc_3);
	f->fake.concurrent_document = g_strdup(doc_1);
	RUN(f, 4, "apply", "--json", "-s", f->fake.address, two);
	CONTAINS(f->out, "\"result\": \"conflict\"");
}

/* Guards against reporting a failure, or applying twice, when the change is
 * accepted but its answer is lost. */
static void test_lost_answer(fixture_t *f, gconstpointer data)
{
	g_autofree char *two = save(f, "2", doc_2);

	(void)data;
	fake_control_accept(&f->fake, doc_1);
	f->fake.lose_put_answer = true;
	RUN(f, 0, "apply", "-s", f->fake.address, "-s", f->fake.address, two);
	CONTAINS(f->out, "accepted\tgeneration 2");
	g_assert_cmpint(f->fake.generation, ==, 2);
	g_assert_cmpuint(f->fake.puts, ==, 2);
	fake_control_accept(&f->fake, doc_1);
	f->fake.lose_put_answer = true;
	RUN(f, 5, "apply", "-s", f->fake.address, two);
	CONTAINS(f->err, "may have been accepted");
	RUN(f, 0, "apply", "-s", f->fake.address, two);
	CONTAINS(f->out, "unchanged\tgeneration 4");
}

/* Guards against reporting a document as in force that is only accepted. */
static void test_in_force(fixture_t *f, gconstpointer data)
{
	g_autofree char *one = save(f, "1", doc_1);

	(void)data;
	RUN(f, 0, "apply", "-w", "60", "-s", f->fake.address, one);
	g_assert_cmpstr(f->out, ==,
			"accepted\tgeneration 1\nin force\tgeneration 1\n");
	f->fake.generation = 1000;
	RUN(f, 6, "apply", "-w", "1", "-s", f->fake.address, one);
	CONTAINS(f->err, "not in force after 1 s");
}

/* Guards against a rejection that prints only the first error, or passes
 * control characters of the answer to the terminal. */
static void test_rejection(fixture_t *f, gconstpointer data)
{
	g_autofree char *one = save(f, "1", doc_1);
	g_autofree char *bad = save(f, "bad", doc_bad);

	(void)data;
	RUN(f, 3, "apply", "-s", f->fake.address, bad);
	g_assert_cmpuint(f->fake.puts, ==, 0);
	fake_control_accept(&f->fake, doc_2);
	f->fake.canned_path = "/v1/config";
	f->fake.canned_method = "PUT";
	f->fake.canned_status = 422;
	f->fake.canned_body =
		"{\"problems\":[{\"path\":\"a\",\"value\":\"1\\t\\u001b\","
		"\"allowed\":\"b\"},{\"path\":\"c\",\"value\":\"2\","
		"\"allowed\":\"d\"}]}";
	RUN(f, 3, "apply", "-s", f->fake.address, one);
	g_assert_cmpstr(f->out, ==, "a\t1  \tb\nc\t2\td\n");
	f->fake.canned_body = "{\"problems\":7}";
	RUN(f, 7, "apply", "-s", f->fake.address, one);
	f->fake.canned_status = 200;
	f->fake.canned_body = "{\"generation\":\"3\"}";
	RUN(f, 7, "apply", "-s", f->fake.address, one);
}

/* Guards against acting on malformed answers of a controller. */
static void test_malformed(fixture_t *f, gconstpointer data)
{
	static const char *const bodies[] = {
		"",
		"[]",
		"not json",
		"{\"generation\":\"1\",\"document\":{}}",
		"{\"generation\":-1,\"document\":{}}",
		"{\"generation\":1}",
		"{\"generation\":1,\"document\":{\"weight\":2}}",
		"{\"generation\":1,\"in_force\":1,\"members\":{}}",
	};
	g_autofree char *one = save(f, "1", doc_1);
	char *server = f->fake.address;

	(void)data;
	f->fake.canned_path = "/v1/";
	f->fake.canned_status = 200;
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		f->fake.canned_body = bodies[i];
		RUN(f, 7, "apply", "-s", server, one);
		RUN(f, 7, "diff", "-s", server, one);
		RUN(f, 7, "status", "-s", server);
		RUN(f, 7, "entry", "-s", server);
		RUN(f, 7, "drain", "-s", server, "entry-1");
		CONTAINS(f->err, "malformed");
	}
	f->fake.canned_status = 503;
	f->fake.canned_body = "{\"title\":\"a\\u001b[2Jb\\u009bc\"}";
	RUN(f, 7, "apply", "-s", server, one);
	CONTAINS(f->err, "status 503: a [2Jb  c\n");
	f->fake.canned_path = "/metrics";
	f->fake.canned_status = 200;
	f->fake.canned_body = "bsh_requests_total\n";
	RUN(f, 7, "counters", "-s", server);
}

/* Guards against an answer whose head or framing is none, and that is read to
 * the end of its connection. */
static void test_broken_answer(fixture_t *f, gconstpointer data)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 16x\r\n\r\n" NO_DOCUMENT,
		"HTTP/1.1 200 OK\r\nContent-Length 16\r\n\r\n" NO_DOCUMENT,
		"HTTP/1.1 200 OK\r\nX A: b\r\n\r\n" NO_DOCUMENT,
		"HTTP/1.1 200 OK\r\n\r\n" NO_DOCUMENT,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"10 x\r\n" NO_DOCUMENT "\r\n0\r\n\r\n",
	};
	g_autofree char *one = save(f, "1", doc_1);
	raw_answer_t answer = { .text = "HTTP/1.1 200 OK\r\nContent-Length: "
					"16\r\n\r\n" NO_DOCUMENT };
	raw_target_t controller;
	char address[32];

	(void)data;
	raw_target_start(&controller, address, sizeof(address));
	answer.size = strlen(answer.text);
	raw_target_set(&controller, &answer);
	RUN(f, 1, "diff", "-s", address, one);
	CONTAINS(f->out, "# no document is accepted yet\n");
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		answer.text = answers[i];
		answer.size = strlen(answer.text);
		raw_target_set(&controller, &answer);
		RUN(f, 5, "diff", "-s", address, one);
		CONTAINS(f->err, "no controller answered");
	}
	raw_target_stop(&controller);
	while (atomic_load(&controller.open) > 0)
		g_usleep(1000);
}

/* Guards against a command that fails when the first of several controllers is
 * down. */
static void test_next_controller(fixture_t *f, gconstpointer data)
{
	fake_control_t stopped;

	(void)data;
	fake_control_init(&stopped);
	fake_control_finish(&stopped);
	fake_control_accept(&f->fake, doc_1);
	RUN(f, 0, "status", "-s", stopped.address, "-s", f->fake.address);
	CONTAINS(f->out, "entry-1\ta\tlive\t1\t0\t3\t127.0.0.1:");
	RUN(f, 0, "status", "-HT", "-s", f->fake.address);
	g_assert_cmpstr(f->out, ==, "t1\tgpu\ta\tlive\t4\t127.0.0.8:1\n");
	RUN(f, 5, "status", "-s", stopped.address);
	CONTAINS(f->err, stopped.address);
	g_setenv("BERYLSHUNT_SERVER", f->fake.address, TRUE);
	RUN(f, 0, "status", "--json");
	CONTAINS(f->out, "\"members\"");
	g_unsetenv("BERYLSHUNT_SERVER");
	RUN(f, 2, "status");
}

/* Guards against commands that query dead instances, hide unreachable ones or
 * drain an unknown one. */
static void test_instances(fixture_t *f, gconstpointer data)
{
	char *server = f->fake.address;

	(void)data;
	f->fake.metrics = "# HELP bsh_x X.\n# TYPE bsh_x counter\n"
			  "bsh_x{kind=\"a b\"} 7\n";
	RUN(f, 0, "counters", "-H", "--all", "-s", server);
	g_assert_cmpstr(f->out, ==, "entry-1\tbsh_x{kind=\"a b\"}\t7\n");
	/* A dead instance is not queried; a live one that does not answer is
	 * reported. */
	f->fake.extra_members = ",{\"name\":\"e3\",\"state\":\"dead\","
				"\"control\":\"127.0.0.1:1\"}";
	RUN(f, 0, "counters", "--all", "-s", server);
	f->fake.extra_members = ",{\"name\":\"e3\",\"state\":\"live\","
				"\"control\":\"127.0.0.1:1\"}";
	RUN(f, 5, "counters", "--all", "-s", server);
	CONTAINS(f->out, "entry-1\t");
	RUN(f, 0, "entry", "-H", "-s", server, "-z", "a&b=c");
	g_assert_cmpstr(f->out, ==, "127.0.0.9:1\ta&b=c\t30\n");
	RUN(f, 7, "drain", "-s", server, "entry-9");
	g_assert_cmpuint(f->fake.drains, ==, 0);
	RUN(f, 0, "drain", "-w", "60", "-s", server, "entry-1");
	g_assert_cmpuint(f->fake.drains, ==, 1);
	g_assert_cmpstr(f->fake.drain_body, ==, "{\"instance\":\"entry-1\"}");
}

#define ACCOUNT_METRICS(keeper, allowance, admitted)                           \
	"# TYPE bsh_account_keeper gauge\nbsh_account_keeper " keeper "\n"     \
	"bsh_account_allowance_per_s{account=\"a b\"} " allowance "\n"         \
	"bsh_account_admitted_total{account=\"a b\"} " admitted "\n"           \
	"bsh_account_refused_total{account=\"a b\"} 7\n"                       \
	"bsh_account_given_back_total{account=\"a b\"} 2\n"                    \
	"bsh_accounts_short 1\n"

/* Guards against sums that lack an instance without a word, against limits of which
 * one instance's is taken for that of all, and against an answer of another
 * program that counts as an instance without accounts. */
static void test_accounts(fixture_t *f, gconstpointer data)
{
	fake_control_t other;
	g_autofree char *ledger = NULL;

	(void)data;
	fake_control_init(&other);
	f->fake.metrics = ACCOUNT_METRICS(
		"0", "100",
		"5000000000") "bsh_account_admitted_total{account=\"0\"} 1\n";
	other.metrics = ACCOUNT_METRICS("1", "100", "30");
	RUN(f, 0, "accounts", f->fake.address, other.address);
	ledger = g_strdup_printf(
		"ACCOUNT\tALLOWANCE\tADMITTED\tREFUSED\tGIVEN-BACK\n"
		"0\t0\t1\t0\t0\na b\t100\t5000000030\t14\t4\nledger\t%s\n",
		other.address);
	g_assert_cmpstr(f->out, ==, ledger);
	RUN(f, 0, "accounts", "-H", f->fake.address);
	CONTAINS(f->out, "a b\t100\t5000000000\t7\t2\nledger\t-\n");
	other.metrics = ACCOUNT_METRICS("1", "40", "30");
	RUN(f, 0, "accounts", "-H", f->fake.address, other.address);
	CONTAINS(f->out, "a b\t40-100\t");
	RUN(f, 0, "accounts", "--json", f->fake.address, other.address);
	CONTAINS(f->out, "\"allowance_low\": 40");
	CONTAINS(f->out, "\"admitted\": 5000000030");
	/* One instance does not answer; what the other one says is printed. */
	RUN(f, 5, "accounts", "127.0.0.1:1", other.address);
	CONTAINS(f->out, "a b\t40\t30\t7\t2\n");
	CONTAINS(f->err, "127.0.0.1:1");
	other.metrics = "bsh_x 1\n";
	RUN(f, 7, "accounts", other.address);
	RUN(f, 2, "accounts");
	fake_control_finish(&other);
}

#define EVENT(us, logical, process, sequence, kind, details)                   \
	"{\"hlc_us\":" us ",\"hlc_logical\":" logical                          \
	",\"process\":\"" process                                              \
	"\",\"incarnation\":1,\"sequence\":" sequence ",\"event\":\"" kind     \
	"\",\"details\":" details "}"

#define START EVENT("500000", "0", "entry-1/bshrouterd", "1", "start", "{}")
#define DRAIN_END                                                              \
	EVENT("600000", "0", "entry-1/bshrouterd", "2", "drain-end", "{}")
#define CONTROL EVENT("400000", "0", "entry-1/bshcontrold", "1", "start", "{}")
/* Events as a router writes them: a request has a number, an attempt has the id
 * that the caller receives. */
#define ADOPTED                                                                \
	EVENT("1000000", "0", "e1/r", "1", "adopted", "{\"generation\":42}")
#define INTENT                                                                 \
	EVENT("3000000", "1", "e1/r", "2", "intent",                           \
	      "{\"request\":1,\"key\":\"k1\"}")
#define SEND                                                                   \
	EVENT("3000000", "2", "e1/r", "3", "sent",                             \
	      "{\"request\":1,\"attempt\":\"a1\",\"target\":\"t7\"}")
#define DONE                                                                   \
	EVENT("5000000", "0", "e1/r", "4", "done",                             \
	      "{\"request\":1,\"attempt\":\"a1\",\"outcome\":\"answered\"}")
#define REFUSE                                                                 \
	EVENT("6000000", "0", "e1/r", "5", "refused",                          \
	      "{\"request\":2,\"attempt\":\"a2\",\"outcome\":\"not-run\"}")
#define SENT_ONLY                                                              \
	EVENT("7000000", "0", "e1/r", "6", "sent",                             \
	      "{\"request\":3,\"attempt\":\"a3\",\"target\":\"t8\"}")
/* Answered from the journal: not sent to a target, so without an attempt id. */
#define REPEAT                                                                 \
	EVENT("7100000", "0", "e1/r", "7", "intent",                           \
	      "{\"request\":4,\"key\":\"k1\"}")
#define REPEAT_DONE                                                            \
	EVENT("7200000", "0", "e1/r", "8", "answered",                         \
	      "{\"request\":4,\"attempt\":\"\",\"outcome\":\"answered\"}")
#define OTHER_KEY                                                              \
	EVENT("7300000", "0", "e1/r", "9", "answered",                         \
	      "{\"request\":5,\"attempt\":\"\",\"outcome\":\"answered\"}")
/* The same request number at another router identifies another request. */
#define OTHER                                                                  \
	EVENT("8000000", "0", "e9/r", "1", "sent",                             \
	      "{\"request\":1,\"attempt\":\"b1\",\"target\":\"t9\"}")
#define LOAD                                                                   \
	EVENT("2000000", "0", "e2/c", "1", "load", "{\"model\":\"contract\"}")

/* Guards against printing events in the order of reading, printing an event
 * from two sources twice, and not reporting gaps. */
static void test_timeline(fixture_t *f, gconstpointer data)
{
	g_autofree char *events =
		save(f, "events",
		     SENT_ONLY "\n" SEND "\n" ADOPTED "\n" LOAD "\n" INTENT
			       "\n" DONE "\n" REFUSE "\n");
	const char *order[] = { "adopted", "load", "intent",
				"sent",	   "done", "refused" };
	char *server = f->fake.address;
	const char *at;

	(void)data;
	RUN(f, 0, "timeline", "-H", "-f", events);
	at = f->out;
	for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
		at = strstr(at, order[i]);
		g_assert_nonnull(at);
	}
	RUN(f, 0, "timeline", "-H", "-f", events, "-m", "contract");
	g_assert_cmpstr(f->out, ==,
			"1970-01-01T00:00:02.000000Z\t0\te2/c\tload\t"
			"{\"model\":\"contract\"}\n");
	RUN(f, 1, "timeline", "-H", "-f", events, "-g", "43");
	f->fake.store_items = "[{\"name\":\"e1-1\",\"version\":1,\"value\":"
			      "{\"events\":[" ADOPTED "," INTENT "]}}]";
	f->fake.timeline = START "\n" INTENT "\n" SEND "\n" DONE "\n";
	RUN(f, 0, "timeline", "-j", "-s", server, "--store", server);
	g_assert_cmpuint(strlen(f->out), ==,
			 strlen(START ADOPTED INTENT SEND DONE) + 5);
	f->fake.timeline = DONE "\n";
	RUN(f, 5, "timeline", "-s", server, "--store", server);
	CONTAINS(f->err, "1 events are missing");
	f->fake.timeline = DONE "\n{\"event\":1}\n";
	RUN(f, 7, "timeline", "-s", server);
	CONTAINS(f->err, "1 malformed");
	CONTAINS(f->out, "done");
	f->fake.timeline = DONE "\n";
	f->fake.extra_members = ",{\"name\":\"e3\",\"state\":\"live\","
				"\"control\":\"127.0.0.1:1\"}";
	RUN(f, 5, "timeline", "-s", server);
	CONTAINS(f->err, "1 source could not be read");
}

/* Guards against a verdict that the events do not prove, in particular
 * "no-record" while sources or the last events of a router are missing. */
static void test_verdict(fixture_t *f, gconstpointer data)
{
	g_autofree char *events =
		save(f, "events",
		     ADOPTED "\n" INTENT "\n" SEND "\n" DONE "\n" REFUSE
			     "\n" SENT_ONLY "\n" OTHER "\n" REPEAT
			     "\n" REPEAT_DONE "\n" OTHER_KEY "\n");
	g_autofree char *tail = save(f, "tail", DONE "\n" REFUSE "\n");
	const char *const names[][2] = { { "-r", "a1" }, { "-k", "k1" } };

	(void)data;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		RUN(f, 0, "timeline", "-f", events, names[i][0], names[i][1],
		    "--verdict");
		CONTAINS(f->out, "verdict\tanswered\n");
		CONTAINS(f->out, i == 0 ? "answered\t1\n" : "answered\t2\n");
		CONTAINS(f->out, "sent\t1\ntargets\tt7\n");
		CONTAINS(f->out, "generations\t42\n");
		CONTAINS(f->out, "complete\tyes\n");
	}
	RUN(f, 0, "timeline", "-f", events, "-r", "a2", "--verdict");
	CONTAINS(f->out, "verdict\tnot-run\n");
	CONTAINS(f->out, "sent\t0\ntargets\t\n");
	RUN(f, 0, "timeline", "-f", events, "-r", "a3", "--verdict");
	CONTAINS(f->out, "verdict\tunknown\n");
	RUN(f, 1, "timeline", "-f", events, "-r", "a4", "--verdict");
	CONTAINS(f->out, "verdict\tno-record\n");
	RUN(f, 0, "timeline", "-f", tail, "-r", "a2", "--verdict");
	CONTAINS(f->out, "complete\tno\n");
	RUN(f, 2, "timeline", "-f", events, "--verdict");
	/* A time line without the router of a live instance is incomplete. */
	f->fake.timeline = LOAD "\n" OTHER "\n";
	RUN(f, 5, "timeline", "-s", f->fake.address, "-r", "b1", "--verdict");
	CONTAINS(f->err, "routers of 1 instances");
	CONTAINS(f->out, "complete\tno\n");
	/* So is a time line whose router was read only through its controller:
	 * its last events may not have arrived there yet. */
	f->fake.timeline = START "\n" LOAD "\n";
	RUN(f, 1, "timeline", "-s", f->fake.address, "-r", "b1", "--verdict");
	CONTAINS(f->out, "verdict\tnot-known\n");
	CONTAINS(f->out, "open-ended\tentry-1/bshrouterd@500000\n");
	RUN(f, 1, "timeline", "-p", f->fake.address, "-r", "b1", "--verdict");
	CONTAINS(f->out, "verdict\tno-record\n");
	CONTAINS(f->out, "complete\tyes\n");
	f->fake.timeline = START "\n" CONTROL "\n";
	RUN(f, 1, "timeline", "-p", f->fake.address, "-r", "b1", "--verdict");
	CONTAINS(f->out, "verdict\tnot-known\n");
	f->fake.timeline = START "\n" DRAIN_END "\n" CONTROL "\n";
	RUN(f, 1, "timeline", "-s", f->fake.address, "-r", "b1", "--verdict");
	CONTAINS(f->out, "verdict\tno-record\n");
}

#define ADD(path, function)                                                    \
	g_test_add(path, fixture_t, NULL, set_up, function, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/bshctl/check", test_check);
	ADD("/bshctl/diff", test_diff);
	ADD("/bshctl/apply", test_apply);
	ADD("/bshctl/conflict", test_conflict);
	ADD("/bshctl/lost-answer", test_lost_answer);
	ADD("/bshctl/in-force", test_in_force);
	ADD("/bshctl/rejection", test_rejection);
	ADD("/bshctl/malformed", test_malformed);
	ADD("/bshctl/broken-answer", test_broken_answer);
	ADD("/bshctl/next-controller", test_next_controller);
	ADD("/bshctl/instances", test_instances);
	ADD("/bshctl/accounts", test_accounts);
	ADD("/bshctl/timeline", test_timeline);
	ADD("/bshctl/verdict", test_verdict);
	return g_test_run();
}
