/* Instances that have lost all targets, while callers, the store and the other
 * instances still reach them. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "support/platform_rig.h"

#define ENGINES 4
#define DESKS	3
/* Time after the begin of the cut from which the platform counts. */
#define CONTACT_MS 3000
#define MEASURE_MS 4000
#define TICK_MS	   20
/* Time in which the others must know of the cut, or of its end. */
#define KNOWN_MS 1500

/* Time in which a request is refused that no instance can serve, once that is
 * known. */
#define REFUSED_MS 300
/* Interval of cuts that begin and end. */
#define FLAP_MS 700
#define FLAPS	8

typedef struct {
	rig_reply_t reply;
	char id[16];
	bool far;
	bool once; /* must not run twice */
} call_t;

/* Instances that keep their targets, those that lose them, and how. */
typedef struct {
	int near;
	int far;
	rig_cut_t cut;
} layout_t;

typedef struct {
	platform_rig_t rig;
	const layout_t *layout;
	int entries;
	GPtrArray *calls; /* call_t, open */
	uint32_t n;
	/* First tries since the counters were set to 0; [1]: at the far one. */
	uint32_t sent[2];
	uint32_t served[2];
	uint32_t quarantined;
	uint32_t untruthful; /* runs that an answer denies, and second runs */
	uint32_t refused;
	uint32_t refused_late;
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
	f->layout = data;
	f->entries = f->layout->near + f->layout->far;
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	for (int i = 0; i < ENGINES; i++)
		platform_rig_add_worker(&f->rig, "llm", "m0")->work_ms = 20;
	for (int i = 0; i < DESKS; i++)
		platform_rig_add_worker(&f->rig, "desk", NULL)->work_ms = 10;
	for (int i = 0; i < f->layout->near; i++)
		platform_rig_add_entry(&f->rig);
	for (int i = 0; i < f->layout->far; i++)
		platform_rig_add_far_entry(&f->rig);
	for (int i = 0; i < f->entries; i++)
		platform_rig_wait_ready(&f->rig, &f->rig.entries[i]);
	platform_rig_run(&f->rig, 500);
	f->calls = g_ptr_array_new_with_free_func(g_free);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (guint i = 0; i < f->calls->len; i++)
		platform_rig_reply_clear(
			&((call_t *)g_ptr_array_index(f->calls, i))->reply);
	g_ptr_array_free(f->calls, TRUE);
	platform_rig_finish(&f->rig);
}

static void send_one(fixture_t *f)
{
	static const char *const prefixes[] = { "/stream/", "/look/",
						"/book/" };
	uint32_t entries = (uint32_t)f->entries;
	uint32_t entry = f->n % entries;
	uint32_t kind = f->n / entries % G_N_ELEMENTS(prefixes);
	bool stream = kind == 0;
	call_t *call = g_new0(call_t, 1);
	g_autofree char *path = g_strdup_printf("%s%u", prefixes[kind], f->n);
	g_autofree char *prompt =
		g_strdup_printf("5a:90,%x:60,%x:200", f->n % 7, 0x10000 + f->n);
	rig_request_t request = {
		.address = f->rig.entries[entry].front,
		.path = path,
		.id = call->id,
		.model = stream ? "m0" : NULL,
		.deadline_ms = 3000,
		.prompt = stream ? prompt : NULL,
	};

	g_snprintf(call->id, sizeof(call->id), "c%u", f->n++);
	call->once = kind == 2;
	call->far = entry >= (uint32_t)f->layout->near;
	f->sent[call->far]++;
	platform_rig_start(&f->rig, &request, &call->reply);
	g_ptr_array_add(f->calls, call);
}

/* Counts an answer that does not tell what happened. */
static void check_truth(fixture_t *f, const call_t *call)
{
	guint runs = platform_rig_runs(&f->rig, call->id);
	bool denied = call->reply.body != NULL &&
		      strstr(call->reply.body, "\"not-run\"") != NULL;
	bool answered = call->reply.status == 200 && call->reply.complete;

	if ((denied && call->once && runs > 0) || (call->once && runs > 1) ||
	    (answered && runs == 0)) {
		f->untruthful++;
		g_test_message("untruthful id=%s status=%d runs=%u", call->id,
			       call->reply.status, runs);
	}
}

static void collect(fixture_t *f)
{
	for (guint i = f->calls->len; i > 0; i--) {
		call_t *call = g_ptr_array_index(f->calls, i - 1);

		if (!call->reply.done)
			continue;
		f->served[call->far] +=
			call->reply.status == 200 && call->reply.complete;
		check_truth(f, call);
		f->refused += call->reply.status == 503;
		f->refused_late += call->reply.status == 503 &&
				   call->reply.took_us > REFUSED_MS * 1000;
		f->quarantined +=
			call->reply.status == 503 &&
			strstr(call->reply.body, "problem:quarantined") != NULL;
		platform_rig_reply_clear(&call->reply);
		g_ptr_array_remove_index_fast(f->calls, i - 1);
	}
}

/* Sends first tries, in turn to all entries, and waits for what is open. */
static void run_callers(fixture_t *f, uint32_t ms)
{
	memset(f->sent, 0, sizeof(f->sent));
	memset(f->served, 0, sizeof(f->served));
	f->quarantined = 0;
	f->refused = 0;
	f->refused_late = 0;
	for (uint32_t at = 0; at < ms; at += TICK_MS) {
		send_one(f);
		platform_rig_run(&f->rig, TICK_MS);
		collect(f);
	}
	for (int i = 0; i < 60 && f->calls->len > 0; i++) {
		platform_rig_run(&f->rig, 50);
		collect(f);
	}
}

static double share(const fixture_t *f, bool far)
{
	return (double)f->served[far] / f->sent[far];
}

/* Guards against an instance that refuses, or lets wait, what instances that
 * reach the targets could serve. */
static void test_first_tries(fixture_t *f, gconstpointer data)
{
	const layout_t *layout = data;

	run_callers(f, 1000);
	g_assert_cmpfloat(share(f, true), >, 0.95);
	platform_rig_cut(&f->rig, layout->cut);
	run_callers(f, CONTACT_MS);
	run_callers(f, MEASURE_MS);
	g_test_message("far=%u/%u near=%u/%u", f->served[1], f->sent[1],
		       f->served[0], f->sent[0]);
	/* The platform's bound. */
	g_assert_cmpfloat(share(f, true) * 3, >=, share(f, false) * 2);
	platform_rig_cut(&f->rig, RIG_CUT_NONE);
	run_callers(f, CONTACT_MS);
	run_callers(f, 1000);
	g_assert_cmpfloat(share(f, true), >, 0.95);
	g_assert_cmpuint(f->untruthful, ==, 0);
}

/* Guards against requests that go round between instances of which none reaches
 * a target, or wait there, and against instances that stay cut off. */
static void test_all_cut(fixture_t *f, gconstpointer data)
{
	const layout_t *layout = data;
	uint32_t runs = 0;

	run_callers(f, 1000);
	platform_rig_cut(&f->rig, layout->cut);
	run_callers(f, CONTACT_MS);
	for (uint32_t i = 0; i < f->rig.n_workers; i++)
		runs += f->rig.workers[i].runs;
	run_callers(f, MEASURE_MS);
	g_test_message("sent=%u served=%u refused=%u late=%u", f->sent[1],
		       f->served[1], f->refused, f->refused_late);
	g_assert_cmpuint(f->refused, ==, f->sent[1]);
	g_assert_cmpuint(f->refused_late, ==, 0);
	for (uint32_t i = 0; i < f->rig.n_workers; i++)
		runs -= f->rig.workers[i].runs;
	g_assert_cmpuint(runs, ==, 0);
	platform_rig_cut(&f->rig, RIG_CUT_NONE);
	run_callers(f, CONTACT_MS);
	run_callers(f, 1000);
	g_assert_cmpfloat(share(f, true), >, 0.95);
	g_assert_cmpuint(f->untruthful, ==, 0);
}

/* Guards against a request that runs twice, or whose answer denies that it has
 * run, as it was passed on while a cut began or ended. */
static void test_cut_comes_and_goes(fixture_t *f, gconstpointer data)
{
	const layout_t *layout = data;

	run_callers(f, 1000);
	for (int i = 0; i < FLAPS; i++) {
		platform_rig_cut(&f->rig,
				 i % 2 == 0 ? layout->cut : RIG_CUT_NONE);
		run_callers(f, FLAP_MS);
	}
	run_callers(f, CONTACT_MS);
	run_callers(f, 1000);
	g_assert_cmpfloat(share(f, true), >, 0.95);
	g_assert_cmpuint(f->untruthful, ==, 0);
}

/* Guards against an instance that goes on passing requests to one that has
 * ended. */
static void test_peer_ends(fixture_t *f, gconstpointer data)
{
	const layout_t *layout = data;

	run_callers(f, 1000);
	platform_rig_cut(&f->rig, layout->cut);
	run_callers(f, CONTACT_MS);
	platform_rig_signal(&f->rig.entries[0], SIGKILL);
	run_callers(f, 2000);
	run_callers(f, MEASURE_MS);
	g_test_message("far=%u/%u", f->served[1], f->sent[1]);
	g_assert_cmpfloat(share(f, true), >, 0.95);
	g_assert_cmpuint(f->untruthful, ==, 0);
}

static uint32_t aborted_runs(const fixture_t *f)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->rig.n_workers; i++)
		n += f->rig.workers[i].aborted;
	return n;
}

/* Guards against a target that goes on with a stream whose caller has left, as
 * one instance passed it on to another. */
static void test_caller_leaves(fixture_t *f, gconstpointer data)
{
	const layout_t *layout = data;
	rig_request_t request = {
		.address = f->rig.entries[layout->near].front,
		.path = "/stream/leaves",
		.id = "leaves",
		.model = "m0",
		.deadline_ms = 3000,
	};
	rig_reply_t reply;
	uint32_t before;

	run_callers(f, 500);
	platform_rig_cut(&f->rig, layout->cut);
	run_callers(f, KNOWN_MS);
	before = aborted_runs(f);
	platform_rig_start(&f->rig, &request, &reply);
	for (int i = 0; i < 200 && !reply.done && reply.received->len == 0; i++)
		platform_rig_run(&f->rig, 5);
	g_assert_false(reply.done);
	g_assert_cmpuint(reply.received->len, >, 0);
	bsh_http_call_cancel(reply.call);
	reply.call = NULL;
	platform_rig_run(&f->rig, 500);
	g_assert_cmpuint(aborted_runs(f) - before, ==, 1);
	platform_rig_reply_clear(&reply);
}

/* Guards against what an instance without targets says of these to the others:
 * that processes have ended, and under which requests. */
static void test_others_unharmed(fixture_t *f, gconstpointer data)
{
	const layout_t *layout = data;
	uint32_t loads = 0;

	run_callers(f, 1000);
	platform_rig_cut(&f->rig, layout->cut);
	for (uint32_t i = 0; i < f->rig.n_workers; i++)
		loads += f->rig.workers[i].loads;
	run_callers(f, CONTACT_MS);
	g_test_message("near=%u/%u quarantined=%u", f->served[0], f->sent[0],
		       f->quarantined);
	g_assert_cmpfloat(share(f, false), >, 0.98);
	g_assert_cmpuint(f->quarantined, ==, 0);
	for (uint32_t i = 0; i < f->rig.n_workers; i++)
		loads -= f->rig.workers[i].loads;
	g_assert_cmpuint(loads, ==, 0);
}

static bool resolves_to(fixture_t *f, int asked, int named)
{
	rig_entry_t *entry = &f->rig.entries[asked];
	rig_reply_t reply;
	bool found;

	platform_rig_send(&f->rig, entry->directory,
			  "/api/resolve?name=" RIG_HOST, "r", NULL, 2000,
			  &reply);
	platform_rig_wait(&f->rig, &reply.done);
	found = reply.status == 200 &&
		strstr(reply.body, f->rig.entries[named].front) != NULL;
	platform_rig_reply_clear(&reply);
	return found;
}

/* Guards against callers that are sent to an instance that reaches no target
 * while others do, and against one that stays left out. */
static void test_resolve(fixture_t *f, gconstpointer data)
{
	const layout_t *layout = data;

	run_callers(f, 1000);
	for (int i = 0; i < f->entries; i++)
		g_assert_true(resolves_to(f, i, layout->near));
	platform_rig_cut(&f->rig, layout->cut);
	run_callers(f, KNOWN_MS);
	for (int i = 0; i < f->entries; i++) {
		g_assert_false(resolves_to(f, i, layout->near));
		g_assert_true(resolves_to(f, i, 0));
	}
	platform_rig_cut(&f->rig, RIG_CUT_NONE);
	run_callers(f, KNOWN_MS);
	for (int i = 0; i < f->entries; i++)
		g_assert_true(resolves_to(f, i, layout->near));
}

static void add_tests(const layout_t *layout, const char *name)
{
	static const struct {
		const char *name;
		void (*fn)(fixture_t *f, gconstpointer data);
		bool for_all; /* layouts but the one without targets */
	} tests[] = {
		{ "first-tries", test_first_tries, true },
		{ "others-unharmed", test_others_unharmed, false },
		{ "resolve", test_resolve, false },
		{ "comes-and-goes", test_cut_comes_and_goes, true },
		{ "peer-ends", test_peer_ends, false },
		{ "caller-leaves", test_caller_leaves, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
		g_autofree char *path = g_strdup_printf("/cut-instance/%s/%s",
							name, tests[i].name);

		if (tests[i].for_all || layout->near > layout->far)
			g_test_add(path, fixture_t, layout, set_up, tests[i].fn,
				   tear_down);
	}
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		layout_t layout;
	} layouts[] = {
		{ "refused", { 2, 1, RIG_CUT_REFUSES } },
		{ "hanging", { 2, 1, RIG_CUT_HANGS } },
		{ "half-refused", { 2, 2, RIG_CUT_REFUSES } },
		{ "half-hanging", { 2, 2, RIG_CUT_HANGS } },
		{ "most-refused", { 1, 3, RIG_CUT_REFUSES } },
		{ "most-hanging", { 1, 3, RIG_CUT_HANGS } },
	};
	static const layout_t all_refused = { 0, 3, RIG_CUT_REFUSES };
	static const layout_t all_hanging = { 0, 3, RIG_CUT_HANGS };

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(layouts); i++)
		add_tests(&layouts[i].layout, layouts[i].name);
	g_test_add("/cut-instance/all-refused", fixture_t, &all_refused, set_up,
		   test_all_cut, tear_down);
	g_test_add("/cut-instance/all-hanging", fixture_t, &all_hanging, set_up,
		   test_all_cut, tear_down);
	return g_test_run();
}
