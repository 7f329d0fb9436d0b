/*
 * Randomized fault injection test: bshentryd processes on a simulated platform,
 * with faults of the processes, the workers, the store and its connections.
 * Invariants are checked against what callers and workers observe, not against
 * what the daemons report about themselves.
 *
 *	soak_entry [--seed N] [--seconds N] [--entries N] [--workers N]
 *
 * Prints each violated invariant ("BROKEN ...") and one line with the totals.
 * The exit status is the number of violations, at most 100; 101: usage error.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/rng.h"
#include "support/platform_rig.h"
#include "support/relay.h"

#define CALLERS		  24
#define DEADLINE_MS	  3000
#define STEP_MS		  10
#define LATE_TOLERANCE_MS 600  /* of an answer after the deadline */
#define SETTLE_MS	  4000 /* without faults, before the recovery check */
#define FAULT_GAP_MS	  350  /* mean time between faults */
#define CLEAR_MAX_MS	  2500 /* longest time until all faults are cleared */
#define EXIT_STATUS_MAX	  100
/* A request may be late or unanswered for this time after a fault of its
 * instance. */
#define FAULT_GRACE_US INT64_C(4000000)

typedef struct {
	rig_reply_t reply;
	rig_entry_t *entry; /* instance that receives the request */
	char id[32];	    /* attempt id */
	const char *path;
	bool once;   /* runs at most once */
	bool stream; /* the answer is a stream of events */
	bool busy;   /* a request is pending */
} caller_t;

typedef struct {
	platform_rig_t rig;
	relay_t store_relay; /* between the instances and the store */
	caller_t callers[CALLERS];
	bsh_rng_t rng;
	uint64_t sequence;
	int64_t last_fault_us[RIG_ENTRIES_MAX]; /* of each instance */
	int64_t clear_us;			/* time to clear all faults */
	uint32_t sent;
	uint32_t answered; /* whole answers 200 */
	uint32_t refused;  /* answers 429 and 503 */
	uint32_t unknown;  /* other or incomplete answers: may have run */
	uint32_t closed;   /* no answer */
	uint32_t faults;   /* injected */
	uint32_t broken;   /* violated invariants */
	bool loud;
} soak_t;

static const char whole_stream[] =
	"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
	"id: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n";

static void report_violation(soak_t *soak, const caller_t *caller,
			     const char *violation)
{
	g_autofree char *body = g_strescape(
		caller->reply.body != NULL ? caller->reply.body : "", NULL);

	soak->broken++;
	printf("BROKEN %s id=%s path=%s instance=%s status=%d runs=%u "
	       "took_ms=%d body=%s\n",
	       violation, caller->id, caller->path, caller->entry->name,
	       caller->reply.status, platform_rig_runs(&soak->rig, caller->id),
	       (int)(caller->reply.took_us / 1000), body);
}

/* Returns true if the instance is down or has had a fault recently. */
static bool had_recent_fault(const soak_t *soak, const rig_entry_t *entry)
{
	int64_t at_us = soak->last_fault_us[entry - soak->rig.entries];

	return !entry->alive || entry->stopped ||
	       bsh_loop_clock_us() - at_us < FAULT_GRACE_US;
}

/* Checks the invariants of a request that has ended. */
static void check_reply(soak_t *soak, caller_t *caller)
{
	const rig_reply_t *reply = &caller->reply;
	uint32_t runs = platform_rig_runs(&soak->rig, caller->id);

	if (caller->once && runs > 1)
		report_violation(soak, caller, "ran-twice");
	if (reply->status == 200 && reply->complete) {
		soak->answered++;
		if (strcmp(reply->body,
			   caller->stream ? whole_stream : "done") != 0)
			report_violation(soak, caller, "wrong-answer");
		if (runs == 0)
			report_violation(soak, caller, "answer-without-run");
	} else if (reply->status == 503 || reply->status == 429) {
		soak->refused++;
		if (caller->once && runs > 0)
			report_violation(soak, caller, "refused-after-run");
		if (reply->retry_after == NULL)
			report_violation(soak, caller, "refused-without-time");
	} else if (reply->status != 0) {
		soak->unknown++;
		if (reply->status == 404)
			report_violation(soak, caller, "denied");
	} else {
		soak->closed++;
		if (!had_recent_fault(soak, caller->entry))
			report_violation(soak, caller, "no-answer");
	}
	if (reply->took_us >
		    (DEADLINE_MS + LATE_TOLERANCE_MS) * INT64_C(1000) &&
	    !had_recent_fault(soak, caller->entry))
		report_violation(soak, caller, "late");
	platform_rig_reply_clear(&caller->reply);
	caller->busy = false;
}

static void send_one(soak_t *soak, caller_t *caller)
{
	static const char *const paths[] = { "/book/1", "/look/1", "/once/1",
					     "/stream/1" };
	uint32_t kind = bsh_rng_below(&soak->rng, G_N_ELEMENTS(paths));
	char model[8];

	caller->entry = &soak->rig.entries[bsh_rng_below(&soak->rng,
							 soak->rig.n_entries)];
	if (!caller->entry->alive)
		return;
	caller->path = paths[kind];
	caller->once = kind == 0 || kind == 2;
	caller->stream = kind >= 2;
	caller->busy = true;
	g_snprintf(caller->id, sizeof(caller->id), "s%" G_GUINT64_FORMAT,
		   ++soak->sequence);
	/* Skew the demand to a few models. */
	g_snprintf(model, sizeof(model), "m%u",
		   bsh_rng_below(&soak->rng, bsh_rng_below(&soak->rng, 6) + 1));
	soak->sent++;
	platform_rig_send(&soak->rig, caller->entry->front, caller->path,
			  caller->id, caller->stream ? model : NULL,
			  DEADLINE_MS, &caller->reply);
}

static void run_callers(soak_t *soak, bool send)
{
	for (int i = 0; i < CALLERS; i++) {
		caller_t *caller = &soak->callers[i];

		if (caller->busy && caller->reply.done)
			check_reply(soak, caller);
		if (!caller->busy && send && bsh_rng_below(&soak->rng, 8) == 0)
			send_one(soak, caller);
	}
}

/* Faults. */

static void inject_entry_fault(soak_t *soak, rig_entry_t *entry)
{
	static const int signals[] = { SIGKILL, SIGTERM, SIGSTOP, SIGHUP };
	int number = signals[bsh_rng_below(&soak->rng, G_N_ELEMENTS(signals))];

	if (!entry->alive || entry->stopped)
		return;
	if (number != SIGHUP)
		soak->last_fault_us[entry - soak->rig.entries] =
			bsh_loop_clock_us();
	entry->stopped = number == SIGSTOP;
	kill(entry->pid, number);
}

static void inject_worker_fault(soak_t *soak)
{
	worker_t *worker = &soak->rig.workers[bsh_rng_below(
		&soak->rng, soak->rig.n_workers)];

	switch (bsh_rng_below(&soak->rng, 6)) {
	case 0:
		platform_rig_restart_worker(worker);
		break;
	case 1:
		platform_rig_remove_worker(worker);
		break;
	default:
		worker->mode = (worker_mode_t)bsh_rng_below(
			&soak->rng, WORKER_NEVER_ANSWERS + 1);
		break;
	}
}

static void inject_store_fault(soak_t *soak)
{
	switch (bsh_rng_below(&soak->rng, 5)) {
	case 0:
		soak->rig.store_down = true;
		break;
	case 1:
		soak->rig.store_watches_stalled = true;
		break;
	case 2:
		platform_rig_compact(&soak->rig, "config");
		break;
	case 3:
		relay_reset_all(&soak->store_relay);
		break;
	default:
		relay_set_mode(
			&soak->store_relay,
			(relay_mode_t)bsh_rng_below(&soak->rng, RELAY_MODES));
		break;
	}
}

/* Clears all faults but exited processes, which restart_entries() restarts. */
static void clear_faults(soak_t *soak)
{
	soak->rig.store_down = false;
	soak->rig.store_watches_stalled = false;
	relay_set_mode(&soak->store_relay, RELAY_PASSES);
	for (uint32_t i = 0; i < soak->rig.n_workers; i++) {
		soak->rig.workers[i].mode = WORKER_ANSWERS;
		platform_rig_publish_worker(&soak->rig.workers[i], "ready");
	}
	for (uint32_t i = 0; i < soak->rig.n_entries; i++) {
		rig_entry_t *entry = &soak->rig.entries[i];

		if (entry->stopped) {
			soak->last_fault_us[i] = bsh_loop_clock_us();
			kill(entry->pid, SIGCONT);
			entry->stopped = false;
		}
	}
}

static void restart_entries(soak_t *soak)
{
	for (uint32_t i = 0; i < soak->rig.n_entries; i++) {
		rig_entry_t *entry = &soak->rig.entries[i];

		if (entry->alive || entry->pid != 0)
			continue;
		soak->last_fault_us[i] = bsh_loop_clock_us();
		platform_rig_spawn(&soak->rig, entry);
	}
}

/* Injects a random fault, or a change of the configuration. */
static void inject_fault(soak_t *soak)
{
	soak->faults++;
	switch (bsh_rng_below(&soak->rng, 4)) {
	case 0:
		inject_store_fault(soak);
		break;
	case 1:
		inject_worker_fault(soak);
		break;
	case 2:
		platform_rig_configure(&soak->rig, NULL);
		break;
	default:
		inject_entry_fault(soak,
				   &soak->rig.entries[bsh_rng_below(
					   &soak->rng, soak->rig.n_entries)]);
		break;
	}
}

static void run(soak_t *soak, int64_t ms, bool send, bool inject)
{
	int64_t until_us = bsh_loop_clock_us() + ms * 1000;
	int64_t next_fault_us = bsh_loop_clock_us();

	soak->clear_us = next_fault_us + CLEAR_MAX_MS * INT64_C(1000);
	while (bsh_loop_clock_us() < until_us) {
		platform_rig_run(&soak->rig, STEP_MS);
		run_callers(soak, send);
		restart_entries(soak);
		if (!inject)
			continue;
		if (bsh_loop_clock_us() >= next_fault_us) {
			inject_fault(soak);
			next_fault_us =
				bsh_loop_clock_us() +
				1000LL * bsh_rng_below(&soak->rng,
						       2 * FAULT_GAP_MS);
		}
		if (bsh_loop_clock_us() >= soak->clear_us) {
			clear_faults(soak);
			soak->clear_us = bsh_loop_clock_us() +
					 1000LL * bsh_rng_below(&soak->rng,
								CLEAR_MAX_MS);
		}
	}
}

/* Checks the invariants that the workers observe: memory and order lease. */
static void check_workers(soak_t *soak)
{
	for (uint32_t i = 0; i < soak->rig.n_workers; i++) {
		const worker_t *worker = &soak->rig.workers[i];

		if (worker->overloads > 0) {
			soak->broken++;
			printf("BROKEN overloaded worker=%s times=%u\n",
			       worker->id, worker->overloads);
		}
		if (worker->lease_overlaps > 0) {
			soak->broken++;
			printf("BROKEN holders-took-turns worker=%s times=%u\n",
			       worker->id, worker->lease_overlaps);
		}
	}
}

/* Checks that three quarters of the requests are answered after all faults have
 * been cleared. */
static void check_recovery(soak_t *soak)
{
	uint32_t answered_before = soak->answered;
	uint32_t sent_before = soak->sent;

	run(soak, 2000, true, false);
	run(soak, DEADLINE_MS + LATE_TOLERANCE_MS, false, false);
	if ((soak->answered - answered_before) * 4 <
	    (soak->sent - sent_before) * 3) {
		soak->broken++;
		printf("BROKEN recovery answered=%u of %u\n",
		       soak->answered - answered_before,
		       soak->sent - sent_before);
	}
}

static void start(soak_t *soak, int entries, int workers)
{
	const char *port;

	platform_rig_init(&soak->rig);
	port = strchr(soak->rig.store_address, ':') + 1;
	relay_init(&soak->store_relay, &soak->rig.loop,
		   (uint16_t)g_ascii_strtoull(port, NULL, 10));
	/* The settings of the instances name the relay as the store. */
	g_strlcpy(soak->rig.store_address, soak->store_relay.address,
		  sizeof(soak->rig.store_address));
	platform_rig_configure(&soak->rig, NULL);
	for (int i = 0; i < workers; i++) {
		char model[8];

		g_snprintf(model, sizeof(model), "m%d", i % 6);
		if (i % 3 == 2)
			platform_rig_add_worker(&soak->rig, "desk", NULL);
		else
			platform_rig_add_worker(&soak->rig, "llm", model);
	}
	for (int i = 0; i < entries; i++)
		platform_rig_add_entry(&soak->rig);
	for (int i = 0; i < entries; i++)
		platform_rig_wait_ready(&soak->rig, &soak->rig.entries[i]);
}

static void finish(soak_t *soak)
{
	for (int i = 0; i < CALLERS; i++)
		if (soak->callers[i].busy)
			platform_rig_reply_clear(&soak->callers[i].reply);
	relay_finish(&soak->store_relay);
	platform_rig_finish(&soak->rig);
}

int main(int argc, char **argv)
{
	static soak_t soak;
	gint seed = 1;
	gint seconds = 10;
	gint entries = 4;
	gint workers = 6;
	const GOptionEntry options[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
		  "Time with faults", "N" },
		{ "entries", 0, 0, G_OPTION_ARG_INT, &entries, "Entry daemons",
		  "N" },
		{ "workers", 0, 0, G_OPTION_ARG_INT, &workers, "Workers", "N" },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new(NULL);
	gboolean parsed;

	g_option_context_add_main_entries(context, options, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!parsed || entries < 1 || entries > RIG_ENTRIES_MAX ||
	    workers < 3 || workers > RIG_WORKERS_MAX) {
		fprintf(stderr, "usage: soak_entry [--seed N] [--seconds N] "
				"[--entries N] [--workers N]\n");
		return 101;
	}
	bsh_rng_init(&soak.rng, (uint32_t)seed);
	start(&soak, entries, workers);
	run(&soak, seconds * 1000LL, true, true);
	clear_faults(&soak);
	run(&soak, SETTLE_MS, true, false);
	check_recovery(&soak);
	check_workers(&soak);
	printf("soak seed=%d sent=%u answered=%u refused=%u unknown=%u "
	       "closed=%u faults=%u broken=%u\n",
	       seed, soak.sent, soak.answered, soak.refused, soak.unknown,
	       soak.closed, soak.faults, soak.broken);
	finish(&soak);
	return (int)MIN(soak.broken, EXIT_STATUS_MAX);
}
