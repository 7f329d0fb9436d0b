/* A request under which each process of a target ends, and which comes again as
 * it was, at any instance. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "support/platform_rig.h"

#define ENTRIES 3
#define ENGINES 6
#define DESKS	4
/* Time in which all instances must know after the third end, and the requests
 * that may still be sent after it: the platform's rule. */
#define CONTACT_MS     3000
#define SENDS_MAX      3
#define FIRST_ENDS_MAX 3
/* Longer than the time after the last end at which a request is tried again. */
#define WATCH_MS   7000
#define REFUSED_MS 300
/* Longest wait for the quarantine, with the bad request at this interval. */
#define QUARANTINE_WAIT_MS 8000
#define QUARANTINE_BAD_MS  400
#define TICK_MS		   20
#define SOUND_MS	   40
#define MANY_ALIKE	   8
#define BAD_MS_SLOW	   400U
#define BAD_MS_FAST	   60U

/* A kind of request. */
typedef struct {
	const char *bad_path;
	const char *prefix; /* of the paths of sound requests */
	const char *prompt; /* all parts but the last; NULL: none */
	uint32_t bad_ms;
} kind_t;

static const kind_t kinds[] = {
	{ "/book/bad", "/book/", NULL, BAD_MS_SLOW },
	{ "/look/bad", "/look/", NULL, BAD_MS_SLOW },
	{ "/look/bad", "/look/", NULL, BAD_MS_FAST },
	{ "/once/bad", "/once/", "5a:90,c1:60", BAD_MS_SLOW },
	{ "/stream/bad", "/stream/", "5a:90,c1:60", BAD_MS_SLOW },
};

typedef struct {
	rig_reply_t reply;
	bool bad;
	bool alike;
} call_t;

typedef struct {
	platform_rig_t rig;
	const kind_t *kind;
	GPtrArray *calls; /* call_t, open */
	uint32_t n;	  /* requests sent */
	/* Sound requests, since the counters were set to 0. */
	uint32_t sound;
	uint32_t sound_served;
	uint32_t sound_quarantined;
	uint32_t alike_quarantined; /* of these, one that comes again */
	uint32_t bad_unavailable;   /* refused with 503 */
	uint32_t bad_slow;	    /* of these, later than REFUSED_MS */
	uint32_t bad_retry_after;   /* of these, with Retry-After */
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
	f->kind = data;
	platform_rig_init(&f->rig);
	f->rig.restart_ms = 700;
	platform_rig_configure(&f->rig, NULL);
	for (int i = 0; i < ENGINES; i++)
		platform_rig_add_worker(&f->rig, "llm", "m0")->work_ms = 30;
	for (int i = 0; i < DESKS; i++)
		platform_rig_add_worker(&f->rig, "desk", NULL)->work_ms = 30;
	for (int i = 0; i < ENTRIES; i++)
		platform_rig_add_entry(&f->rig);
	for (int i = 0; i < ENTRIES; i++)
		platform_rig_wait_ready(&f->rig, &f->rig.entries[i]);
	platform_rig_run(&f->rig, 300);
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

static void start_request(fixture_t *f, uint32_t entry, const char *path,
			  const char *id, rig_reply_t *reply)
{
	g_autofree char *prompt =
		f->kind->prompt != NULL
			? g_strdup_printf("%s,%x:200", f->kind->prompt, f->n)
			: NULL;
	rig_request_t request = {
		.address = f->rig.entries[entry].front,
		.path = path,
		.id = id,
		.model = f->kind->prompt != NULL ? "m0" : NULL,
		.deadline_ms = 4000,
		.prompt = prompt,
	};

	platform_rig_start(&f->rig, &request, reply);
}

static void send_request(fixture_t *f, const char *path, bool bad, bool alike)
{
	call_t *call = g_new0(call_t, 1);
	g_autofree char *id = g_strdup_printf("p%u", f->n);

	call->bad = bad;
	call->alike = alike;
	start_request(f, f->n++ % ENTRIES, path, id, &call->reply);
	g_ptr_array_add(f->calls, call);
}

static bool is_quarantined(const rig_reply_t *reply)
{
	return reply->status == 503 &&
	       strstr(reply->body, "problem:quarantined") != NULL;
}

static void collect(fixture_t *f)
{
	for (guint i = f->calls->len; i > 0; i--) {
		call_t *call = g_ptr_array_index(f->calls, i - 1);
		bool quarantined;

		if (!call->reply.done)
			continue;
		quarantined = is_quarantined(&call->reply);
		if (!call->bad) {
			f->sound++;
			f->sound_served += call->reply.status == 200;
			f->sound_quarantined += quarantined;
			f->alike_quarantined += quarantined && call->alike;
		} else if (quarantined) {
			f->bad_unavailable++;
			f->bad_slow += call->reply.took_us > REFUSED_MS * 1000;
			f->bad_retry_after += call->reply.retry_after != NULL;
		}
		platform_rig_reply_clear(&call->reply);
		g_ptr_array_remove_index_fast(f->calls, i - 1);
	}
}

/* Sends requests for a time, or until so many processes have ended: a sound one
 * each SOUND_MS, one in MANY_ALIKE of them always the same, and the bad one each
 * bad_ms, 0: never. */
static void run_callers(fixture_t *f, uint32_t ms, uint32_t bad_ms,
			uint32_t ends)
{
	f->sound = 0;
	f->sound_served = 0;
	for (uint32_t at = 0; at < ms && f->rig.crashes < ends; at += TICK_MS) {
		if (at % SOUND_MS == 0) {
			bool alike = f->n % MANY_ALIKE == 0;
			g_autofree char *path = g_strdup_printf(
				"%s%u", f->kind->prefix, alike ? 0 : f->n);

			send_request(f, path, false, alike);
		}
		if (bad_ms > 0 && at % bad_ms == 0)
			send_request(f, f->kind->bad_path, true, false);
		platform_rig_run(&f->rig, TICK_MS);
		collect(f);
	}
}

/* An instance that has just started knows the request from the others. */
static void check_started_instance(fixture_t *f)
{
	rig_entry_t *entry = &f->rig.entries[0];
	uint32_t sends = f->rig.crash_part_runs;
	rig_reply_t reply;

	platform_rig_signal(entry, SIGKILL);
	while (entry->alive)
		platform_rig_run(&f->rig, 5);
	platform_rig_spawn(&f->rig, entry);
	platform_rig_wait_ready(&f->rig, entry);
	start_request(f, 0, f->kind->bad_path, "started", &reply);
	platform_rig_wait(&f->rig, &reply.done);
	g_assert_true(is_quarantined(&reply));
	g_assert_cmpuint(f->rig.crash_part_runs, ==, sends);
	platform_rig_reply_clear(&reply);
}

/* Guards against a request that ends one process after the other, as no instance
 * knows it again when it comes with another id, and against sound requests that
 * are refused with it: those of its path, with its prompt parts, and one that
 * often comes again. */
static void test_request_is_quarantined(fixture_t *f, gconstpointer data)
{
	const kind_t *kind = data;
	uint32_t sends;
	double before;
	double after;

	run_callers(f, 2000, 0, UINT32_MAX);
	before = (double)f->sound_served / f->sound;
	f->rig.crash_path = kind->bad_path;
	run_callers(f, 8000, kind->bad_ms, FIRST_ENDS_MAX);
	run_callers(f, CONTACT_MS, kind->bad_ms, UINT32_MAX);
	sends = f->rig.crash_part_runs;
	f->bad_unavailable = 0;
	f->bad_slow = 0;
	run_callers(f, WATCH_MS, kind->bad_ms, UINT32_MAX);
	after = (double)f->sound_served / f->sound;
	g_test_message("ends=%u sent=%u sent_after=%u sound_before=%.3f "
		       "sound_after=%.3f sound_quarantined=%u refused=%u "
		       "slowly=%u",
		       f->rig.crashes, f->rig.crash_part_runs,
		       f->rig.crash_part_runs - sends, before, after,
		       f->sound_quarantined, f->bad_unavailable, f->bad_slow);
	g_assert_cmpuint(f->rig.crash_part_runs - sends, <=, SENDS_MAX);
	g_assert_cmpfloat(after, >=, before * 0.9);
	g_assert_cmpuint(f->sound_quarantined, ==, 0);
	/* What cannot be served is refused at once, for good. */
	g_assert_cmpuint(f->bad_unavailable, >, 0);
	g_assert_cmpuint(f->bad_slow, ==, 0);
	g_assert_cmpuint(f->bad_retry_after, ==, 0);
	check_started_instance(f);
}

/* Guards against a request that ends processes again after all instances were
 * killed at once, and with them all that they knew of it. */
static void test_known_after_restart(fixture_t *f, gconstpointer data)
{
	const kind_t *kind = data;
	uint32_t sends;
	rig_reply_t reply;

	f->rig.crash_path = kind->bad_path;
	run_callers(f, 8000, kind->bad_ms, FIRST_ENDS_MAX);
	run_callers(f, CONTACT_MS, kind->bad_ms, UINT32_MAX);
	sends = f->rig.crash_part_runs;
	for (int i = 0; i < ENTRIES; i++)
		platform_rig_signal(&f->rig.entries[i], SIGKILL);
	for (int i = 0; i < ENTRIES; i++) {
		while (f->rig.entries[i].alive)
			platform_rig_run(&f->rig, 5);
		platform_rig_spawn(&f->rig, &f->rig.entries[i]);
	}
	for (int i = 0; i < ENTRIES; i++) {
		platform_rig_wait_ready(&f->rig, &f->rig.entries[i]);
		start_request(f, (uint32_t)i, kind->bad_path, "restarted",
			      &reply);
		platform_rig_wait(&f->rig, &reply.done);
		g_assert_true(is_quarantined(&reply));
		platform_rig_reply_clear(&reply);
	}
	run_callers(f, WATCH_MS, kind->bad_ms, UINT32_MAX);
	g_assert_cmpuint(f->rig.crash_part_runs - sends, <=, SENDS_MAX);
}

/* Guards against a request that is refused for a day although it no longer ends
 * processes, and whose quarantine outlives a restart of all instances. */
static void test_answer_ends_quarantine(fixture_t *f, gconstpointer data)
{
	const kind_t *kind = data;

	f->rig.crash_path = kind->bad_path;
	run_callers(f, 8000, kind->bad_ms, FIRST_ENDS_MAX);
	/* The third end may be one event with the one before. */
	for (int i = 0; i < QUARANTINE_WAIT_MS / TICK_MS; i++) {
		if (f->bad_unavailable > 0)
			break;
		run_callers(f, TICK_MS,
			    i * TICK_MS % QUARANTINE_BAD_MS == 0 ? TICK_MS : 0,
			    UINT32_MAX);
	}
	g_assert_cmpuint(f->bad_unavailable, >, 0);
	g_assert_cmpuint(f->rig.crashes, <=, FIRST_ENDS_MAX + SENDS_MAX);
	f->rig.crash_path = NULL;
	run_callers(f, WATCH_MS, kind->bad_ms, UINT32_MAX);
	f->bad_unavailable = 0;
	run_callers(f, CONTACT_MS, kind->bad_ms, UINT32_MAX);
	g_assert_cmpuint(f->bad_unavailable, ==, 0);
	g_assert_cmpuint(platform_rig_count(&f->rig, "berylshunt-suspects"), ==,
			 0);
}

int main(int argc, char **argv)
{
	static const char *const names[] = { "call", "idempotent-call",
					     "frequent-idempotent-call",
					     "stream", "resumable-stream" };

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		g_autofree char *path =
			g_strdup_printf("/crashing-request/%s", names[i]);

		g_test_add(path, fixture_t, &kinds[i], set_up,
			   test_request_is_quarantined, tear_down);
	}
	g_test_add("/crashing-request/known-after-restart", fixture_t,
		   &kinds[0], set_up, test_known_after_restart, tear_down);
	g_test_add("/crashing-request/answer-ends-quarantine", fixture_t,
		   &kinds[0], set_up, test_answer_ends_quarantine, tear_down);
	return g_test_run();
}
