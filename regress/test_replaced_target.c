/* Streams at an instance that is cut off from the store and from all others,
 * while a target is replaced in place by one of another software version. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "support/platform_rig.h"

#define STREAMS	      6
#define STREAM_EVENTS 200 /* 10 ms each */
/* Longer than the drain time of targets, so that one may be replaced. */
#define CUT_MS	    2600
#define SILENT_MS   900
#define DEADLINE_MS 9000

typedef struct {
	platform_rig_t rig;
	rig_entry_t *apart;
	rig_entry_t *other;
	worker_t *old;
	worker_t *replaced;
	rig_reply_t replies[STREAMS];
} fixture_t;

static worker_t *add_engine(fixture_t *f)
{
	worker_t *engine = platform_rig_add_worker(&f->rig, "llm", "m0");

	engine->stream_events = STREAM_EVENTS;
	g_strlcpy(engine->version, "v1", sizeof(engine->version));
	platform_rig_publish_worker(engine, "ready");
	return engine;
}

static void set_up(fixture_t *f)
{
	memset(f, 0, sizeof(*f));
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	f->old = add_engine(f);
	f->replaced = add_engine(f);
	f->apart = platform_rig_add_entry(&f->rig);
	f->other = platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, f->apart);
	platform_rig_wait_ready(&f->rig, f->other);
	/* Until the instances know each other. */
	platform_rig_run(&f->rig, 1500);
}

static void cut_off(fixture_t *f)
{
	f->rig.store_unresponsive = true;
	platform_rig_signal(f->other, SIGSTOP);
	f->other->stopped = true;
}

static void send_streams(fixture_t *f, const char *kind)
{
	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("%s-%d", kind, i);

		platform_rig_send(&f->rig, f->apart->front, "/stream/1", id,
				  "m0", DEADLINE_MS, &f->replies[i]);
	}
}

/* Silences one target at a time, so that the other one is asked to go on. */
static void silence(fixture_t *f, worker_t *worker)
{
	platform_rig_silence_worker(worker, SILENT_MS);
	platform_rig_run(&f->rig, SILENT_MS + 300);
}

static void end(fixture_t *f)
{
	uint32_t whole = 0;

	for (int i = 0; i < STREAMS; i++) {
		platform_rig_wait(&f->rig, &f->replies[i].done);
		whole += f->replies[i].status == 200 && f->replies[i].complete;
		platform_rig_reply_clear(&f->replies[i]);
	}
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
	/* A silence is no reason to give a stream up. */
	g_assert_cmpuint(whole, ==, STREAMS);
	platform_rig_signal(f->other, SIGCONT);
	f->other->stopped = false;
	platform_rig_finish(&f->rig);
}

/* Guards against a stream that begins at a target which the instance takes for
 * its predecessor, of another version, and goes on at one of that version. */
static void test_begun_after(void)
{
	static fixture_t f;

	set_up(&f);
	cut_off(&f);
	platform_rig_run(&f.rig, CUT_MS);
	g_strlcpy(f.replaced->version, "v2", sizeof(f.replaced->version));
	send_streams(&f, "after");
	platform_rig_run(&f.rig, 300);
	silence(&f, f.replaced);
	end(&f);
}

/* Guards against a stream that begins before the cut and goes on at a target that
 * was replaced by one of another version. */
static void test_begun_before(void)
{
	static fixture_t f;

	set_up(&f);
	f.old->stream_events = 2 * STREAM_EVENTS;
	f.replaced->stream_events = 2 * STREAM_EVENTS;
	cut_off(&f);
	platform_rig_run(&f.rig, 1000);
	f.replaced->mode = WORKER_IS_FULL;
	send_streams(&f, "before");
	platform_rig_run(&f.rig, CUT_MS - 1000);
	f.replaced->mode = WORKER_ANSWERS;
	g_strlcpy(f.replaced->version, "v2", sizeof(f.replaced->version));
	silence(&f, f.old);
	end(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/replaced-target/begun-after", test_begun_after);
	g_test_add_func("/replaced-target/begun-before", test_begun_before);
	return g_test_run();
}
