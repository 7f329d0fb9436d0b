/* Requests with a part in their prompts under which each process of an engine
 * ends as it begins to write an answer. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "support/platform_rig.h"

#define ENTRIES	 3
#define WORKERS	 6
#define SUBJECTS 12
/* Time in which all instances must know after the fifth end, and the requests
 * that may still be sent then: the platform's rule. */
#define CONTACT_MS     3000
#define SENDS_MAX      3
#define MEASURE_MS     3000
#define FIRST_ENDS_MAX 5
#define TICK_MS	       20

typedef struct {
	rig_reply_t reply;
	bool bad;
	bool first_attempt;
} call_t;

typedef struct {
	platform_rig_t rig;
	GPtrArray *calls; /* call_t, open */
	uint32_t n;	  /* requests sent */
	/* Sound requests, since the counters were set to 0. */
	uint32_t sound;
	uint32_t sound_begun;
	uint32_t bad_unavailable; /* refused with 503 */
	uint32_t bad_slow;	  /* of these, later than 300 ms */
	bool many_bad;		  /* each bad request has another part */
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_init(&f->rig);
	f->rig.restart_ms = 700;
	platform_rig_configure(&f->rig, NULL);
	for (int i = 0; i < WORKERS; i++)
		platform_rig_add_worker(&f->rig, "llm", "m0")->work_ms = 30;
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

static void send_prompt(fixture_t *f, const char *subject, bool bad)
{
	call_t *call = g_new0(call_t, 1);
	uint32_t n = f->n++;
	g_autofree char *id = g_strdup_printf("p%u", n);
	/* The first part is that of all requests, the last one its own. */
	g_autofree char *prompt =
		g_strdup_printf("5a:90,%s:60,%x:200", subject, 0x10000 + n);
	rig_request_t request = {
		.address = f->rig.entries[n % ENTRIES].front,
		.path = "/stream/1",
		.id = id,
		.model = "m0",
		.deadline_ms = 4000,
		.prompt = prompt,
	};

	call->bad = bad;
	platform_rig_start(&f->rig, &request, &call->reply);
	g_ptr_array_add(f->calls, call);
}

static void collect(fixture_t *f)
{
	for (guint i = f->calls->len; i > 0; i--) {
		call_t *call = g_ptr_array_index(f->calls, i - 1);

		if (!call->reply.done)
			continue;
		if (!call->bad) {
			f->sound++;
			f->sound_begun += call->reply.status == 200;
		} else if (call->reply.status == 503) {
			f->bad_unavailable++;
			f->bad_slow += call->reply.took_us > 300000;
		}
		platform_rig_reply_clear(&call->reply);
		g_ptr_array_remove_index_fast(f->calls, i - 1);
	}
}

/* Sends requests for a time, or until so many processes have ended: a sound one
 * each 40 ms, and one with the bad part each bad_ms. */
static void run_callers(fixture_t *f, uint32_t ms, uint32_t bad_ms,
			uint32_t ends)
{
	char subject[16];

	f->sound = 0;
	f->sound_begun = 0;
	for (uint32_t at = 0; at < ms && f->rig.crashes < ends; at += TICK_MS) {
		if (at % 40 == 0) {
			g_snprintf(subject, sizeof(subject), "c%x",
				   f->n % SUBJECTS);
			send_prompt(f, subject, false);
		}
		if (at % bad_ms == 0) {
			g_snprintf(subject, sizeof(subject), "bad%x",
				   f->many_bad ? f->n : 1);
			send_prompt(f, subject, true);
		}
		platform_rig_run(&f->rig, TICK_MS);
		collect(f);
	}
}

/* An instance that has just started knows the part from the others. */
static void check_started_instance(fixture_t *f)
{
	rig_entry_t *entry = &f->rig.entries[0];
	uint32_t sends = f->rig.crash_part_runs;
	rig_reply_t reply;
	rig_request_t request = { .address = entry->front,
				  .path = "/stream/1",
				  .id = "started",
				  .model = "m0",
				  .deadline_ms = 4000,
				  .prompt = "5a:90,bad1:60,ffff:200" };

	platform_rig_signal(entry, SIGKILL);
	while (entry->alive)
		platform_rig_run(&f->rig, 5);
	platform_rig_spawn(&f->rig, entry);
	platform_rig_wait_ready(&f->rig, entry);
	platform_rig_start(&f->rig, &request, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	g_assert_cmpint(reply.status, ==, 503);
	g_assert_cmpuint(f->rig.crash_part_runs, ==, sends);
	platform_rig_reply_clear(&reply);
}

/* Guards against a prompt that ends one process after the other, as no instance
 * keeps what was there when a process ended, and against sound requests with
 * the same first part that are refused with it. */
static void test_part_is_quarantined(fixture_t *f, gconstpointer bad_ms)
{
	uint32_t every_ms = GPOINTER_TO_UINT(bad_ms);
	uint32_t sends;
	double before;
	double after;

	run_callers(f, 2000, UINT32_MAX, UINT32_MAX);
	before = (double)f->sound_begun / f->sound;
	f->rig.crash_part = "bad1:";
	run_callers(f, 6000, every_ms, FIRST_ENDS_MAX);
	run_callers(f, CONTACT_MS, every_ms, UINT32_MAX);
	sends = f->rig.crash_part_runs;
	f->bad_unavailable = 0;
	f->bad_slow = 0;
	run_callers(f, CONTACT_MS, every_ms, UINT32_MAX);
	g_assert_cmpuint(f->rig.crash_part_runs - sends, <=, SENDS_MAX);
	run_callers(f, MEASURE_MS, every_ms, UINT32_MAX);
	after = (double)f->sound_begun / f->sound;
	g_test_message("ends=%u sent=%u sent_after=%u sound_before=%.3f "
		       "sound_after=%.3f refused=%u slowly=%u",
		       f->rig.crashes, f->rig.crash_part_runs,
		       f->rig.crash_part_runs - sends, before, after,
		       f->bad_unavailable, f->bad_slow);
	g_assert_cmpuint(f->rig.crash_part_runs - sends, <=, SENDS_MAX);
	g_assert_cmpuint(f->sound, >=, 20);
	g_assert_cmpfloat(after, >=, before / 2);
	check_started_instance(f);
	/* What cannot be served is refused at once. */
	g_assert_cmpuint(f->bad_unavailable, >, 0);
	g_assert_cmpuint(f->bad_slow, ==, 0);
}

/* Guards against a part that all requests share and that is refused for long, as
 * processes ended again and again under other parts or for another reason, and
 * nothing that is refused can clear it. */
static void test_shared_part_recovers(fixture_t *f, gconstpointer bad_ms)
{
	f->rig.crash_part = "bad";
	f->many_bad = true;
	run_callers(f, 3000, GPOINTER_TO_UINT(bad_ms), UINT32_MAX);
	f->rig.crash_part = NULL;
	/* The first request with it is sent 5 s after the last end. */
	run_callers(f, 7000, UINT32_MAX, UINT32_MAX);
	run_callers(f, MEASURE_MS, UINT32_MAX, UINT32_MAX);
	g_test_message("ends=%u sound=%u begun=%u", f->rig.crashes, f->sound,
		       f->sound_begun);
	g_assert_cmpuint(f->sound_begun, ==, f->sound);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add("/crashing-prompt/quarantined-at-slow-rate", fixture_t,
		   GUINT_TO_POINTER(400), set_up, test_part_is_quarantined,
		   tear_down);
	g_test_add("/crashing-prompt/quarantined-at-high-rate", fixture_t,
		   GUINT_TO_POINTER(60), set_up, test_part_is_quarantined,
		   tear_down);
	g_test_add("/crashing-prompt/shared-part-recovers", fixture_t,
		   GUINT_TO_POINTER(60), set_up, test_shared_part_recovers,
		   tear_down);
	return g_test_run();
}
