/* Where an instance would send a request now: bshctl where and /where on the admin
 * address. */
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "support/fake_control.h"
#include "support/platform_rig.h"

#define OPEN_ROUTE                                                             \
	"{\"name\":\"open\",\"host\":\"" RIG_HOST                              \
	"\",\"pathPrefix\":\"/open/\",\"kind\":\"idempotent\",\"service\":"    \
	"\"desk\",\"maxAttempts\":2,\"timeoutMs\":10000,"                      \
	"\"targetLatencyMs\":500,\"priority\":0,\"anonymous\":true}"
#define ACCOUNTS                                                               \
	"[{\"name\":\"acme\",\"apiKeys\":[\"key-of-acme\"]},"                  \
	"{\"name\":\"zinc\",\"apiKeys\":[\"key-of-zinc\"],"                    \
	"\"ratePerS\":1,\"burst\":1}]"

/* Metrics that change without any request. */
static const char *const moving[] = { "bsh_store_" };

typedef struct {
	platform_rig_t rig;
	rig_entry_t *entry;
	json_t *answer;
	uint32_t n; /* requests sent */
} fixture_t;

/* data: client accounts, or NULL. */
static void set_up(fixture_t *f, gconstpointer data)
{
	platform_rig_init(&f->rig);
	f->rig.accounts = data;
	platform_rig_configure(&f->rig, OPEN_ROUTE);
	platform_rig_add_worker(&f->rig, "llm", "m0");
	for (int i = 0; i < 2; i++)
		platform_rig_add_worker(&f->rig, "desk", NULL)->work_ms = 5;
	f->entry = platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, f->entry);
	platform_rig_run(&f->rig, 300);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	json_decref(f->answer);
	platform_rig_finish(&f->rig);
}

static worker_t *desk(fixture_t *f, int i)
{
	return &f->rig.workers[1 + i];
}

typedef struct {
	int status;
	char *body;
	bool done;
} get_t;

static void on_end(void *ctx, const bsh_http_result_t *result)
{
	get_t *call = ctx;

	call->status = result->status;
	call->body = g_strdup(result->body);
	call->done = true;
}

static int get(fixture_t *f, const char *path, char **body)
{
	static const bsh_http_handler_t handler = { .on_end = on_end };
	g_autofree char *url =
		g_strdup_printf("http://%s%s", f->entry->metrics, path);
	bsh_http_call_spec_t spec = { .method = "GET", .url = url };
	get_t call = { 0 };
	bsh_http_call_t *handle;

	g_assert_cmpint(bsh_http_client_start(f->rig.client, &spec, &handler,
					      &call, &handle),
			==, BSH_OK);
	platform_rig_wait(&f->rig, &call.done);
	*body = call.body;
	return call.status;
}

/* Asks, and returns the decision. */
static json_t *ask(fixture_t *f, const char *host, const char *arguments)
{
	g_autofree char *path =
		g_strdup_printf("/where?host=%s&%s", host, arguments);
	g_autofree char *body = NULL;
	int status;

	json_decref(f->answer);
	status = get(f, path, &body);
	g_assert_cmpint(status, ==, 200);
	f->answer = json_loads(body, 0, NULL);
	g_test_message("%s", body);
	g_assert_nonnull(f->answer);
	return json_object_get(f->answer, "decision");
}

static const char *text(const json_t *object, const char *key)
{
	const char *value = json_string_value(json_object_get(object, key));

	return value != NULL ? value : "";
}

static json_int_t number(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static const json_t *candidate(const fixture_t *f, const char *id)
{
	const json_t *item;
	size_t i;

	json_array_foreach(json_object_get(f->answer, "candidates"), i, item)
	{
		if (strcmp(text(item, "target"), id) == 0)
			return item;
	}
	return NULL;
}

static void send_calls(fixture_t *f, const char *path, int n, int status)
{
	for (int i = 0; i < n; i++) {
		g_autofree char *id = g_strdup_printf("c%u", f->n++);
		rig_reply_t reply = { 0 };

		platform_rig_send(&f->rig, f->entry->front, path, id, NULL,
				  3000, &reply);
		platform_rig_wait(&f->rig, &reply.done);
		if (status != 0)
			g_assert_cmpint(reply.status, ==, status);
		platform_rig_reply_clear(&reply);
	}
}

/* Sends requests, of which some must be answered: the state of a service is not
 * known until then, and an instance asks for a place before it sends. */
static void warm_up(fixture_t *f)
{
	rig_reply_t reply = { 0 };

	send_calls(f, "/look/1", 2, 200);
	platform_rig_send(&f->rig, f->entry->front, "/stream/1", "s", "m0",
			  3000, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	g_assert_cmpint(reply.status, ==, 200);
	platform_rig_reply_clear(&reply);
}

/* Guards against an answer that names another target than the request is then
 * sent to, or another route or service. */
static void test_send(fixture_t *f, gconstpointer data)
{
	const json_t *decision;
	const char *target;
	uint32_t runs[2];

	(void)data;
	warm_up(f);
	decision = ask(f, RIG_HOST, "path=/look/1");
	g_assert_cmpstr(text(decision, "action"), ==, "send");
	g_assert_cmpstr(text(json_object_get(f->answer, "route"), "name"), ==,
			"look");
	g_assert_cmpstr(text(f->answer, "service"), ==, "desk");
	g_assert_cmpint(number(f->answer, "configuration"), ==, 1);
	g_assert_cmpuint(
		json_array_size(json_object_get(f->answer, "candidates")), ==,
		2);
	target = text(decision, "target");
	g_assert_nonnull(candidate(f, target));
	for (int i = 0; i < 2; i++)
		runs[i] = desk(f, i)->runs;
	send_calls(f, "/look/1", 1, 200);
	for (int i = 0; i < 2; i++)
		g_assert_cmpuint(desk(f, i)->runs - runs[i], ==,
				 strcmp(desk(f, i)->id, target) == 0);
	decision = ask(f, RIG_HOST,
		       "path=/stream/1&model=m0&tokens=800,10&"
		       "prompt=a1:700,b2:100");
	g_assert_cmpstr(text(decision, "action"), ==, "send");
	g_assert_cmpstr(text(decision, "target"), ==, f->rig.workers[0].id);
	g_assert_true(json_is_true(json_object_get(
		candidate(f, f->rig.workers[0].id), "has_model")));
	g_assert_cmpfloat(
		json_number_value(json_object_get(
			candidate(f, f->rig.workers[0].id), "first_ms")),
		>, 0);
}

/* Guards against a question that makes an instance load a model, and against an
 * unknown model that seems to be worth a wait. */
static void test_no_model(fixture_t *f, gconstpointer data)
{
	const json_t *decision = ask(f, RIG_HOST, "path=/stream/1&model=m3");

	(void)data;
	g_assert_cmpstr(text(decision, "action"), ==, "wait");
	g_assert_cmpstr(text(decision, "for"), ==, "model");
	g_assert_cmpstr(text(candidate(f, f->rig.workers[0].id), "excluded"),
			==, "no-model");
	platform_rig_run(&f->rig, 800);
	g_assert_cmpuint(f->rig.workers[0].loads, ==, 0);
	decision = ask(f, RIG_HOST, "path=/stream/1&model=no-such");
	g_assert_cmpstr(text(decision, "action"), ==, "refuse");
	g_assert_cmpstr(text(decision, "error"), ==, "not-found");
	g_assert_cmpint(number(decision, "status"), ==, 404);
}

/* Guards against an answer without a decision for a request that no route
 * takes. */
static void test_no_route(fixture_t *f, gconstpointer data)
{
	const json_t *decision = ask(f, "no-such-host", "path=/look/1");

	(void)data;
	g_assert_cmpstr(text(decision, "action"), ==, "refuse");
	g_assert_cmpstr(text(decision, "error"), ==, "not-found");
	g_assert_true(json_is_null(json_object_get(f->answer, "route")));
	decision = ask(f, RIG_HOST, "path=/nothing");
	g_assert_cmpstr(text(decision, "error"), ==, "not-found");
}

/* Guards against an answer that chooses a target that leaves, or does not say
 * why another is chosen. */
static void test_leaving(fixture_t *f, gconstpointer data)
{
	const json_t *decision;
	worker_t *used;

	(void)data;
	send_calls(f, "/look/1", 1, 200);
	used = desk(f, desk(f, 0)->runs > 0 ? 0 : 1);
	used->leaving = true;
	send_calls(f, "/look/1", 1, 200);
	decision = ask(f, RIG_HOST, "path=/look/1");
	g_assert_cmpstr(text(decision, "action"), ==, "send");
	g_assert_cmpstr(text(decision, "target"), !=, used->id);
	g_assert_cmpstr(text(candidate(f, used->id), "excluded"), ==,
			"leaving");
}

/* Guards against a pause that an answer does not show, and a refusal without the
 * time after which a caller may return. */
static void test_paused(fixture_t *f, gconstpointer data)
{
	const json_t *decision;

	(void)data;
	for (int i = 0; i < 2; i++) {
		desk(f, i)->mode = WORKER_IS_FULL;
		desk(f, i)->pause = "20";
	}
	send_calls(f, "/look/1", 4, 0);
	decision = ask(f, RIG_HOST, "path=/look/1");
	g_assert_cmpstr(text(decision, "action"), ==, "refuse");
	g_assert_cmpstr(text(decision, "error"), ==, "capacity");
	g_assert_cmpint(number(decision, "retry_after_ms"), >, 10000);
	g_assert_cmpint(number(decision, "retry_after_ms"), <=, 20001);
	for (int i = 0; i < 2; i++) {
		const json_t *target = candidate(f, desk(f, i)->id);

		g_assert_cmpstr(text(target, "excluded"), ==, "paused");
		g_assert_cmpint(number(target, "wait_ms"), >, 10000);
	}
}

/* Guards against a target that failed several times and seems usable, and against
 * a question that counts as the one request that probes it afterwards. */
static void test_breaker(fixture_t *f, gconstpointer data)
{
	const json_t *decision = NULL;
	int open = 0;

	(void)data;
	warm_up(f);
	for (int i = 0; i < 2; i++)
		desk(f, i)->mode = WORKER_CLOSES_AFTER_RUN;
	for (int i = 0; i < 20 && open < 2; i++) {
		send_calls(f, "/look/1", 1, 0);
		decision = ask(f, RIG_HOST, "path=/look/1");
		open = 0;
		for (int n = 0; n < 2; n++) {
			const json_t *target = candidate(f, desk(f, n)->id);

			open += strcmp(text(target, "excluded"), "breaker") ==
					0 &&
				number(target, "wait_ms") > 0;
		}
	}
	g_assert_cmpint(open, ==, 2);
	g_assert_cmpstr(text(decision, "action"), ==, "refuse");
	for (int i = 0; i < 2; i++)
		desk(f, i)->mode = WORKER_ANSWERS;
	/* Longer than the longest pause. */
	platform_rig_run(&f->rig, 4200);
	for (int i = 0; i < 5; i++) {
		decision = ask(f, RIG_HOST, "path=/look/1");
		g_assert_cmpstr(text(decision, "action"), !=, "refuse");
	}
	send_calls(f, "/look/1", 1, 200);
}

/* Guards against a limit of a target that a question uses up. */
static void test_limited(fixture_t *f, gconstpointer data)
{
	int limited = 0;

	(void)data;
	for (int i = 0; i < 2; i++)
		desk(f, i)->limit = "0.2";
	send_calls(f, "/look/1", 4, 0);
	ask(f, RIG_HOST, "path=/look/1");
	for (int i = 0; i < 2; i++) {
		const json_t *target = candidate(f, desk(f, i)->id);

		limited += strcmp(text(target, "excluded"), "limit") == 0;
	}
	g_assert_cmpint(limited, >=, 1);
}

/* The metrics, but for those that change without any request. */
static char *steady_metrics(fixture_t *f)
{
	g_autofree char *body = NULL;
	char **lines;
	GString *kept = g_string_new(NULL);
	int status;

	status = get(f, "/metrics", &body);
	g_assert_cmpint(status, ==, 200);
	lines = g_strsplit(body, "\n", -1);
	for (int i = 0; lines[i] != NULL; i++) {
		bool moves = false;

		for (size_t n = 0; n < G_N_ELEMENTS(moving); n++)
			moves = moves || strstr(lines[i], moving[n]) != NULL;
		if (!moves)
			g_string_append_printf(kept, "%s\n", lines[i]);
	}
	g_strfreev(lines);
	return g_string_free(kept, FALSE);
}

/* Guards against a question that is counted, that uses up a limit or that reaches
 * a worker. */
static void test_changes_nothing(fixture_t *f, gconstpointer data)
{
	g_autofree char *before = NULL;
	g_autofree char *after = NULL;
	rig_request_t request = { .address = f->entry->front,
				  .path = "/look/1",
				  .id = "z",
				  .deadline_ms = 3000,
				  .authorization = "Bearer key-of-zinc" };
	rig_reply_t reply = { 0 };
	uint32_t arrivals = 0;

	(void)data;
	/* From then on the use of the account is counted. */
	platform_rig_start(&f->rig, &request, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	g_assert_cmpint(reply.status, ==, 200);
	platform_rig_reply_clear(&reply);
	/* Until the place of the request has lapsed. */
	platform_rig_run(&f->rig, 2500);
	before = steady_metrics(f);
	for (int i = 0; i < 50; i++) {
		ask(f, RIG_HOST, "path=/look/1&account=zinc");
		ask(f, RIG_HOST, "path=/stream/1&model=m0&account=acme");
		ask(f, RIG_HOST, "path=/stream/1&model=m3&account=acme");
		ask(f, "no-such-host", "path=/look/1");
	}
	platform_rig_run(&f->rig, 600);
	ask(f, RIG_HOST, "path=/look/1&account=zinc");
	g_assert_true(json_is_true(json_object_get(
		json_object_get(f->answer, "account"), "admitted")));
	for (int i = 0; i < 2; i++)
		g_assert_cmpint(number(candidate(f, desk(f, i)->id), "open"),
				==, 0);
	after = steady_metrics(f);
	g_assert_cmpuint(strlen(before), >, 1000);
	g_assert_cmpstr(before, ==, after);
	for (uint32_t i = 0; i < f->rig.n_workers; i++) {
		const worker_t *worker = &f->rig.workers[i];

		g_assert_cmpuint(worker->loads, ==, 0);
		arrivals += worker->arrivals_us != NULL
				    ? worker->arrivals_us->len
				    : 0;
	}
	g_assert_cmpuint(arrivals, ==, 1);
}

/* Guards against a decision by another account, and against an answer that shows
 * or needs a key. */
static void test_accounts(fixture_t *f, gconstpointer data)
{
	const json_t *decision = ask(f, RIG_HOST, "path=/look/1&account=acme");
	g_autofree char *whole = json_dumps(f->answer, 0);

	(void)data;
	/* Nothing was sent before: a place is asked for first. */
	g_assert_cmpstr(text(decision, "action"), ==, "wait");
	g_assert_cmpstr(text(decision, "for"), ==, "place");
	g_assert_nonnull(candidate(f, text(decision, "target")));
	g_assert_null(strstr(whole, "key-of"));
	decision = ask(f, RIG_HOST, "path=/look/1");
	g_assert_cmpint(number(decision, "status"), ==, 401);
	decision = ask(f, RIG_HOST, "path=/look/1&account=nobody");
	g_assert_cmpint(number(decision, "status"), ==, 401);
	g_assert_true(json_is_false(json_object_get(
		json_object_get(f->answer, "account"), "known")));
	decision = ask(f, RIG_HOST, "path=/open/1");
	g_assert_cmpstr(text(decision, "action"), ==, "wait");
	g_assert_true(json_is_true(json_object_get(
		json_object_get(f->answer, "route"), "anonymous")));
}

/* Guards against bad arguments that stop the instance, or that are taken for
 * others. */
static void test_bad_input(fixture_t *f, gconstpointer data)
{
	static const struct {
		const char *arguments;
		const char *error;
	} cases[] = {
		{ "", "host must be" },
		{ "?host=x", "path must be" },
		{ "?path=/x", "host must be" },
		{ "?host=x&path=x", "path must be" },
		{ "?host=x&path=/x&tokens=many", "tokens must be" },
		{ "?host=x&path=/x&tokens=-1,2", "tokens must be" },
		{ "?host=x&path=/x&tokens=99999999999,1", "tokens must be" },
		{ "?host=x&path=/x&prompt=1:2,", "prompt must be" },
		{ "?host=x&path=/x&prompt=g:2", "prompt must be" },
		{ "?host=x&path=/x&model=/a", "model must be" },
		{ "?host=x&path=/x&model=", "model must be" },
		{ "?host=x&path=/x&account=%ff", "account must be" },
		{ "?host=" RIG_HOST "&path=/look/1&service=shop",
		  "no such service" },
	};

	(void)data;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/where%s", cases[i].arguments);
		g_autofree char *body = NULL;
		int status = get(f, path, &body);

		g_assert_cmpint(status, ==, 400);
		if (strstr(body, cases[i].error) == NULL)
			g_test_message("%s: %s", path, body);
		g_assert_nonnull(strstr(body, cases[i].error));
	}
	g_assert_true(f->entry->alive);
}

typedef struct {
	char *out;
	char *err;
	const char *const *arguments;
	int status;
	bool done;
} run_t;

static gpointer run_thread(gpointer data)
{
	run_t *run = data;

	run->status =
		run_program(&run->out, &run->err, "bshctl", run->arguments);
	__atomic_store_n(&run->done, true, __ATOMIC_RELEASE);
	return NULL;
}

/* Runs bshctl while the loop of the rig goes on. */
static void run(fixture_t *f, int status, const char *part, const char *where,
		const char *const *arguments)
{
	run_t run = { .arguments = arguments };
	GThread *thread = g_thread_new("bshctl", run_thread, &run);
	const char *output;

	while (!__atomic_load_n(&run.done, __ATOMIC_ACQUIRE))
		platform_rig_run(&f->rig, 5);
	g_thread_join(thread);
	output = strcmp(where, "out") == 0 ? run.out : run.err;
	if (run.status != status || strstr(output, part) == NULL)
		g_test_message("status %d: %s%s", run.status, run.out, run.err);
	g_assert_cmpint(run.status, ==, status);
	g_assert_nonnull(strstr(output, part));
	g_free(run.out);
	g_free(run.err);
}

#define RUN(f, status, part, where, ...)                                       \
	run(f, status, part, where, (const char *const[]){ __VA_ARGS__, NULL })

/* Guards against a command that hides an error, or whose exit status does not
 * tell a refusal from a send. */
static void test_command(fixture_t *f, gconstpointer data)
{
	const char *address = f->entry->metrics;

	(void)data;
	warm_up(f);
	RUN(f, 0, "send to ", "out", "where", address, "--host", RIG_HOST,
	    "--path", "/look/1");
	RUN(f, 0, "TARGET\tZONE", "out", "where", address, "--host", RIG_HOST,
	    "--path", "/look/1");
	RUN(f, 0, "wait for model", "out", "where", address, "--host", RIG_HOST,
	    "--path", "/stream/1", "--model", "m4");
	RUN(f, 0, "\"action\": \"send\"", "out", "where", "--json", address,
	    "--host", RIG_HOST, "--path", "/stream/1", "--model", "m0",
	    "--tokens", "10,20", "--prompt", "a:5,b:5");
	RUN(f, 1, "refuse with not-found, status 404", "out", "where", address,
	    "--host", "x", "--path", "/look/1");
	RUN(f, 2, "tokens must be", "err", "where", address, "--host", RIG_HOST,
	    "--path", "/look/1", "--tokens", "x&path=/");
	RUN(f, 2, "--host and --path", "err", "where", address, "--host", "x");
	RUN(f, 2, "usage: bshctl where", "err", "where", "--host", "x",
	    "--path", "/");
	RUN(f, 2, "admin address", "err", "where", "localhost", "--host", "x",
	    "--path", "/");
	RUN(f, 5, "no answer", "err", "where", "127.0.0.1:1", "--host", "x",
	    "--path", "/");
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		const char *accounts;
		void (*test)(fixture_t *f, gconstpointer data);
	} tests[] = {
		{ "/where/send", NULL, test_send },
		{ "/where/no-model", NULL, test_no_model },
		{ "/where/no-route", NULL, test_no_route },
		{ "/where/leaving", NULL, test_leaving },
		{ "/where/paused", NULL, test_paused },
		{ "/where/breaker", NULL, test_breaker },
		{ "/where/limited", NULL, test_limited },
		{ "/where/changes-nothing", ACCOUNTS, test_changes_nothing },
		{ "/where/accounts", ACCOUNTS, test_accounts },
		{ "/where/bad-input", NULL, test_bad_input },
		{ "/where/command", NULL, test_command },
	};

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++)
		g_test_add(tests[i].name, fixture_t, tests[i].accounts, set_up,
			   tests[i].test, tear_down);
	return g_test_run();
}
