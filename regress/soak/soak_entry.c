/*
 * Randomized fault injection test: bshentryd processes on a simulated platform,
 * with faults of the processes, the workers, the store and its connections.
 * Faults come in series and overlap.  Invariants are checked against what
 * callers and workers observe, not against what the daemons report about
 * themselves, except for the open requests and the bytes held for callers at rest.
 *
 *	soak_entry [--seed N] [--seconds N] [--entries N] [--workers N]
 *
 * Prints each violated invariant ("BROKEN ...") and one line with the totals.
 * The exit status is the number of violations, at most 100; 101: usage error.
 */
#include <glib.h>
#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "coordination/stream_journal.h"
#include "soak/soak.h"

#define STEP_MS	     10
#define SETTLE_MS    4000 /* without faults, before the recovery check */
#define FAULT_GAP_MS 280  /* mean time between faults */
/* Ends of workers after which their prompt part must be known, and requests with
 * it that may still be sent then. */
#define QUARANTINE_ENDS	   5
#define BAD_RUNS_MAX	   3
#define BURST_MAX	   3	/* faults at the same time */
#define RESTART_MS	   400	/* of a worker that has ended */
#define CLEAR_MAX_MS	   2500 /* longest time until all faults are cleared */
#define STOP_MAX_MS	   2500 /* of a process */
#define CUT_MAX_MS	   2500 /* of a cut, and between two */
#define FOLLOW_MAX_MS	   1500 /* until the next signal of a series */
#define PHASE_MAX_MS	   1500 /* of a worker that leaves */
#define FREEZE_GAP_MS	   1500 /* at least, while keys change */
#define SILENCE_MIN_MS	   300
#define SILENCE_MAX_MS	   2000
#define SILENT_WORKERS_MAX 3
#define CONFIGURE_GAP_MS   400 /* longest, within a series */
#define WORK_MAX_MS	   80  /* until an answer or a first event */
/* Between the six events of a stream; the longest is under the time without events
 * after which another worker is asked. */
#define GAP_MEDIAN_US	20000.0
#define GAP_SIGMA	1.4
#define GAP_MIN_US	1000.0
#define GAP_MAX_US	420000.0
#define WORKERS_MIN	5 /* three of llm, one of each plain service */
#define EXIT_STATUS_MAX 100
/* Fewer attempts to go on with a stream than this are no basis to judge the
 * share that went on. */
#define RESUMES_MIN 12

static int64_t after_ms(soak_t *soak, uint32_t max_ms)
{
	return bsh_loop_clock_us() + 1000LL * bsh_rng_below(&soak->rng, max_ms);
}

/* Configurations. */

static void configure(soak_t *soak)
{
	static const char route[] =
		"{\"name\":\"%s\",\"host\":\"" RIG_HOST
		"\",\"pathPrefix\":\"/%s/\",\"kind\":\"%s\","
		"\"resumable\":%s,\"maxAttempts\":2,\"service\":\"%s\"}";
	GString *extra = g_string_new(NULL);

	soak->has_moved = bsh_rng_below(&soak->rng, 2) == 0;
	soak->has_added = bsh_rng_below(&soak->rng, 2) == 0;
	g_string_append_printf(extra, route, "move", "move", "idempotent",
			       "false", soak->has_moved ? "shop" : "desk");
	g_string_append_c(extra, ',');
	g_string_append_printf(extra, route, "shift", "shift", "stream", "true",
			       soak->has_moved ? "llm2" : "llm");
	if (soak->has_added) {
		g_string_append_c(extra, ',');
		g_string_append_printf(extra, route, "added", "added",
				       "idempotent", "false", "desk");
	}
	if (soak->accounts.used)
		g_string_append(extra,
				",{\"name\":\"open\",\"host\":\"" RIG_HOST
				"\",\"pathPrefix\":\"/open/\",\"kind\":"
				"\"idempotent\",\"maxAttempts\":2,"
				"\"anonymous\":true,\"service\":\"desk\"}");
	soak_accounts_configure(soak);
	platform_rig_configure(&soak->rig, extra->str);
	g_string_free(extra, TRUE);
}

static void begin_configurations(soak_t *soak)
{
	soak->configurations_left = 1 + bsh_rng_below(&soak->rng, 3);
	soak->configure_us = after_ms(soak, CONFIGURE_GAP_MS);
}

static void step_configurations(soak_t *soak)
{
	if (soak->configurations_left == 0 ||
	    bsh_loop_clock_us() < soak->configure_us)
		return;
	soak->configurations_left--;
	soak->configure_us = after_ms(soak, CONFIGURE_GAP_MS);
	configure(soak);
}

/* Instances. */

static void resume_entry(soak_t *soak, uint32_t i)
{
	rig_entry_t *entry = &soak->rig.entries[i];

	soak->entries[i].resume_us = 0;
	if (!entry->stopped)
		return;
	soak->entries[i].fault_us = bsh_loop_clock_us();
	soak->entries[i].crash_us = bsh_loop_clock_us();
	platform_rig_signal(entry, SIGCONT);
	entry->stopped = false;
}

/* Sends a random signal, which may begin a series of them. */
static void signal_entry(soak_t *soak, uint32_t i)
{
	static const int signals[] = { SIGKILL, SIGTERM, SIGTERM, SIGSTOP,
				       SIGHUP };
	int number = signals[bsh_rng_below(&soak->rng, G_N_ELEMENTS(signals))];
	rig_entry_t *entry = &soak->rig.entries[i];
	soak_entry_t *state = &soak->entries[i];
	int64_t now_us = bsh_loop_clock_us();

	state->follow_us = 0;
	if (!entry->alive)
		return;
	if (number != SIGHUP)
		state->fault_us = now_us;
	if (number == SIGKILL || number == SIGSTOP)
		state->crash_us = now_us;
	/* The grace time begins with the first one. */
	if (number == SIGTERM && state->term_us < state->spawn_us)
		state->term_us = now_us;
	if (number == SIGSTOP) {
		entry->stopped = true;
		state->resume_us = after_ms(soak, STOP_MAX_MS);
	}
	if (bsh_rng_below(&soak->rng, 3) == 0)
		state->follow_us = after_ms(soak, FOLLOW_MAX_MS);
	platform_rig_signal(entry, number);
}

static void spawn_entry(soak_t *soak, uint32_t i)
{
	soak->entries[i].fault_us = bsh_loop_clock_us();
	soak->entries[i].spawn_us = bsh_loop_clock_us();
	soak->entries[i].resume_us = 0;
	soak->entries[i].follow_us = 0;
	platform_rig_spawn(&soak->rig, &soak->rig.entries[i]);
}

static void step_entries(soak_t *soak)
{
	int64_t now_us = bsh_loop_clock_us();

	for (uint32_t i = 0; i < soak->rig.n_entries; i++) {
		const rig_entry_t *entry = &soak->rig.entries[i];
		const soak_entry_t *state = &soak->entries[i];

		if (!entry->alive && entry->pid == 0)
			spawn_entry(soak, i);
		if (state->resume_us > 0 && now_us >= state->resume_us)
			resume_entry(soak, i);
		if (state->follow_us > 0 && now_us >= state->follow_us)
			signal_entry(soak, i);
	}
}

/* An instance stands still while a key is removed, for longer than the bound of
 * removals: on waking it finds requests with that key. */
static void step_accounts(soak_t *soak)
{
	bsh_rng_t *rng = &soak->accounts.rng;
	int64_t now_us = bsh_loop_clock_us();
	uint32_t i;

	if (!soak->accounts.used || now_us < soak->accounts.freeze_us)
		return;
	soak->accounts.freeze_us =
		now_us +
		1000LL * (FREEZE_GAP_MS + bsh_rng_below(rng, FREEZE_GAP_MS));
	i = bsh_rng_below(rng, soak->rig.n_entries);
	if (!soak->rig.entries[i].alive || soak->rig.entries[i].stopped)
		return;
	soak->entries[i].fault_us = now_us;
	soak->entries[i].crash_us = now_us;
	soak->entries[i].resume_us =
		now_us +
		1000LL * (SOAK_REVOKE_MS + bsh_rng_below(rng, SOAK_REVOKE_MS));
	platform_rig_signal(&soak->rig.entries[i], SIGSTOP);
	soak->rig.entries[i].stopped = true;
	soak_accounts_remove_key(soak);
	configure(soak);
}

/* Workers. */

static void begin_phase(soak_t *soak, uint32_t i, soak_phase_t phase)
{
	soak->workers[i].phase = phase;
	soak->workers[i].phase_us = after_ms(soak, PHASE_MAX_MS);
}

/* Starts a new incarnation, under a new id and empty, of any software version
 * or of the same one. */
static void restart_worker(soak_t *soak, uint32_t i, bool any_version)
{
	worker_t *worker = &soak->rig.workers[i];

	soak->workers[i].phase = PHASE_SERVES;
	soak->workers[i].harm_us = bsh_loop_clock_us();
	g_snprintf(worker->id, sizeof(worker->id), "i-%u-%u", i + 1,
		   ++soak->workers[i].incarnation);
	/* Another worker for its holders. */
	worker->holder[0] = '\0';
	if (any_version)
		g_snprintf(worker->version, sizeof(worker->version), "v%u",
			   1 + bsh_rng_below(&soak->rng, 2));
	platform_rig_restart_worker(worker);
	/* A worker that joins is given the model of most demand. */
	if (any_version && g_str_has_prefix(worker->service, "llm")) {
		json_object_set_new(worker->models, "m0", json_array());
		platform_rig_publish_worker(worker, "ready");
	}
}

static void end_phase(soak_t *soak, uint32_t i)
{
	worker_t *worker = &soak->rig.workers[i];

	switch (soak->workers[i].phase) {
	case PHASE_SERVES:
		break;
	case PHASE_LAPSED:
		soak->workers[i].phase = PHASE_SERVES;
		platform_rig_publish_worker(worker, "ready");
		break;
	case PHASE_DRAINS:
		platform_rig_remove_worker(worker);
		begin_phase(soak, i, PHASE_GONE);
		break;
	case PHASE_GONE:
		restart_worker(soak, i, true);
		break;
	}
}

static void step_workers(soak_t *soak)
{
	int64_t now_us = bsh_loop_clock_us();

	for (uint32_t i = 0; i < soak->rig.n_workers; i++) {
		if (soak_worker_breaks(&soak->rig.workers[i]))
			soak->workers[i].harm_us = now_us;
		if (soak->workers[i].phase != PHASE_SERVES &&
		    now_us >= soak->workers[i].phase_us)
			end_phase(soak, i);
	}
}

static worker_t *any_worker(soak_t *soak)
{
	return &soak->rig.workers[bsh_rng_below(&soak->rng,
						soak->rig.n_workers)];
}

/* A worker names a limit, some of them no usable one, or none any more. */
static void change_limit(soak_t *soak)
{
	static const char *const limits[] = {
		NULL, "0", "0.5", "3", "40", "x"
	};
	worker_t *worker = &soak->rig.workers[bsh_rng_below(
		&soak->prompt_rng, soak->rig.n_workers)];

	worker->limit =
		limits[bsh_rng_below(&soak->prompt_rng, G_N_ELEMENTS(limits))];
}

static void inject_worker_fault(soak_t *soak)
{
	worker_t *worker = any_worker(soak);
	uint32_t i = (uint32_t)(worker - soak->rig.workers);
	uint32_t kind = bsh_rng_below(&soak->rng, 8);

	if (kind < 4)
		worker->mode = (worker_mode_t)bsh_rng_below(&soak->rng,
							    WORKER_STALLS + 1);
	if (kind < 4 || soak->workers[i].phase != PHASE_SERVES)
		return;
	switch (kind) {
	case 4:
		platform_rig_remove_worker(worker);
		restart_worker(soak, i, false);
		break;
	case 5:
		platform_rig_remove_worker(worker);
		begin_phase(soak, i, PHASE_LAPSED);
		break;
	default:
		platform_rig_publish_worker(worker, "draining");
		begin_phase(soak, i, PHASE_DRAINS);
		break;
	}
}

/* Workers fall silent and go on, beside a series of configurations; some of the
 * others are full meanwhile. */
static void inject_silence(soak_t *soak)
{
	uint32_t silent = 1 + bsh_rng_below(&soak->rng, SILENT_WORKERS_MAX);
	uint32_t full = bsh_rng_below(&soak->rng, SILENT_WORKERS_MAX);

	while (silent-- > 0)
		platform_rig_silence_worker(
			any_worker(soak),
			SILENCE_MIN_MS +
				bsh_rng_below(&soak->rng,
					      SILENCE_MAX_MS - SILENCE_MIN_MS));
	while (full-- > 0)
		any_worker(soak)->mode = WORKER_IS_FULL;
	begin_configurations(soak);
}

/* The connections between the last instance and the workers. */

static void step_cuts(soak_t *soak)
{
	static const rig_cut_t cuts[] = { RIG_CUT_REFUSES, RIG_CUT_HANGS };
	soak_entry_t *far = &soak->entries[soak->rig.n_entries - 1];
	int64_t now_us = bsh_loop_clock_us();
	bool was_cut = soak->cut != RIG_CUT_NONE;

	if (soak->cuts && now_us >= soak->cut_next_us) {
		soak->cut = was_cut ? RIG_CUT_NONE
				    : cuts[bsh_rng_below(&soak->cut_rng,
							 G_N_ELEMENTS(cuts))];
		soak->cut_next_us =
			now_us +
			1000LL * bsh_rng_below(&soak->cut_rng, CUT_MAX_MS);
		platform_rig_cut(&soak->rig, soak->cut);
	}
	/* What it has passed on shares the faults of all other instances. */
	if (was_cut || soak->cut != RIG_CUT_NONE)
		far->fault_us = far->crash_us = now_us;
}

/* The store and its connections. */

/* Harms the connections of one instance to the store, or of all. */
static void inject_connection_fault(soak_t *soak)
{
	uint32_t first = bsh_rng_below(&soak->rng, soak->rig.n_entries);
	uint32_t n =
		bsh_rng_below(&soak->rng, 2) == 0 ? 1 : soak->rig.n_entries;
	uint32_t mode = bsh_rng_below(&soak->rng, RELAY_MODES);

	for (uint32_t i = 0; i < n; i++) {
		relay_t *relay =
			&soak->entries[(first + i) % soak->rig.n_entries].store;

		if (mode == RELAY_PASSES)
			relay_reset_all(relay);
		else
			relay_set_mode(relay, (relay_mode_t)mode);
	}
}

static void inject_store_fault(soak_t *soak)
{
	switch (bsh_rng_below(&soak->rng, 6)) {
	case 0:
		soak->rig.store_down = true;
		break;
	case 1:
		soak->rig.store_watches_stalled = true;
		break;
	case 2:
		platform_rig_compact(&soak->rig, "config");
		break;
	default:
		inject_connection_fault(soak);
		break;
	}
}

static bool store_takes_writes(const soak_t *soak)
{
	if (soak->rig.store_down)
		return false;
	for (uint32_t i = 0; i < soak->rig.n_entries; i++)
		if (soak->entries[i].store.mode == RELAY_PASSES)
			return true;
	return false;
}

/* After a fault, instances write the versions of streams at their next try. */
static void step_store(soak_t *soak)
{
	if (!store_takes_writes(soak))
		soak->store_writes_us = INT64_MAX;
	else if (soak->store_writes_us == INT64_MAX)
		soak->store_writes_us =
			bsh_loop_clock_us() + BSH_STREAM_WRITE_BACKOFF_MAX_US;
}

/* All faults. */

/* Clears the faults of the store and the workers' modes; the others end by
 * themselves. */
static void clear_faults(soak_t *soak)
{
	soak->rig.store_down = false;
	soak->rig.store_watches_stalled = false;
	for (uint32_t i = 0; i < soak->rig.n_entries; i++)
		relay_set_mode(&soak->entries[i].store, RELAY_PASSES);
	for (uint32_t i = 0; i < soak->rig.n_workers; i++)
		soak->rig.workers[i].mode = WORKER_ANSWERS;
	for (uint32_t i = 0; i < soak->rig.n_workers; i++)
		soak->rig.workers[i].limit = NULL;
}

/* Ends all faults but silences, which are short. */
static void end_faults(soak_t *soak)
{
	clear_faults(soak);
	soak->cuts = false;
	soak->cut = RIG_CUT_NONE;
	platform_rig_cut(&soak->rig, RIG_CUT_NONE);
	for (uint32_t i = 0; i < soak->rig.n_workers; i++)
		while (soak->workers[i].phase != PHASE_SERVES)
			end_phase(soak, i);
	for (uint32_t i = 0; i < soak->rig.n_entries; i++) {
		resume_entry(soak, i);
		soak->entries[i].follow_us = 0;
	}
	soak->configurations_left = 0;
}

/* Injects a random fault, or a change of the configuration. */
static void inject_fault(soak_t *soak)
{
	soak->faults++;
	if (soak->prompts)
		change_limit(soak);
	switch (bsh_rng_below(&soak->rng, 6)) {
	case 0:
		inject_store_fault(soak);
		break;
	case 1:
	case 2:
		inject_worker_fault(soak);
		break;
	case 3:
		inject_silence(soak);
		break;
	case 4:
		begin_configurations(soak);
		break;
	default:
		signal_entry(soak,
			     bsh_rng_below(&soak->rng, soak->rig.n_entries));
		break;
	}
}

static void step_faults(soak_t *soak, int64_t *next_us)
{
	if (bsh_loop_clock_us() >= *next_us) {
		uint32_t n = 1 + bsh_rng_below(&soak->rng, BURST_MAX);

		while (n-- > 0)
			inject_fault(soak);
		*next_us = after_ms(soak, 2 * BURST_MAX * FAULT_GAP_MS / 2);
	}
	if (bsh_loop_clock_us() >= soak->clear_us) {
		clear_faults(soak);
		soak->clear_us = after_ms(soak, CLEAR_MAX_MS);
	}
}

static void run(soak_t *soak, int64_t ms, bool send, bool inject)
{
	int64_t until_us = bsh_loop_clock_us() + ms * 1000;
	int64_t next_us = bsh_loop_clock_us();

	soak->clear_us = next_us + CLEAR_MAX_MS * INT64_C(1000);
	while (bsh_loop_clock_us() < until_us) {
		platform_rig_run(&soak->rig, STEP_MS);
		step_store(soak);
		soak_callers_step(soak, send);
		step_entries(soak);
		step_workers(soak);
		step_configurations(soak);
		step_cuts(soak);
		if (inject) {
			step_faults(soak, &next_us);
			soak_writers_step(soak);
			step_accounts(soak);
		}
	}
}

/* Checks at the end. */

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

/* Checks that streams go on at least half as often as new ones begin. */
static void check_resumes(soak_t *soak)
{
	if (soak->resumes < RESUMES_MIN ||
	    2.0 * soak->resumed * soak->begins >=
		    1.0 * soak->begun * soak->resumes)
		return;
	soak->broken++;
	printf("BROKEN resumed-too-rarely resumed=%u/%u begun=%u/%u\n",
	       soak->resumed, soak->resumes, soak->begun, soak->begins);
}

/* Checks that a part under which workers have ended is no longer sent, by
 * instances that were in contact for as long as the platform allows. */
static void check_quarantine(soak_t *soak, uint32_t bad_runs)
{
	if (soak->rig.crashes < QUARANTINE_ENDS || bad_runs <= BAD_RUNS_MAX)
		return;
	soak->broken++;
	printf("BROKEN quarantine crashes=%u sent_after=%u\n",
	       soak->rig.crashes, bad_runs);
}

/* Checks that three quarters of the requests are answered after all faults have
 * been cleared. */
static void check_recovery(soak_t *soak)
{
	uint32_t answered = soak->answered + soak->dropped;
	uint32_t sent = soak->sent - soak->left;
	uint32_t bad_runs = soak->rig.crash_part_runs;

	soak->settled = true;
	run(soak, 2000, true, false);
	run(soak, SOAK_DEADLINE_MS + SOAK_LATE_MS, false, false);
	answered = soak->answered + soak->dropped - answered;
	sent = soak->sent - soak->left - sent;
	if (answered * 4 < sent * 3) {
		soak->broken++;
		printf("BROKEN recovery answered=%u of %u\n", answered, sent);
	}
	check_quarantine(soak, soak->rig.crash_part_runs - bad_runs);
}

/* Sum of a metric over its labels; -1 if there is none. */
static int64_t sum_metric(const rig_reply_t *reply, const char *name)
{
	g_auto(GStrv) lines =
		g_strsplit(reply->body != NULL ? reply->body : "", "\n", -1);
	int64_t sum = -1;

	for (uint32_t i = 0; lines[i] != NULL; i++) {
		size_t length = strlen(name);
		const char *value = strrchr(lines[i], ' ');

		if (!g_str_has_prefix(lines[i], name) || value == NULL ||
		    (lines[i][length] != ' ' && lines[i][length] != '{'))
			continue;
		sum = MAX(sum, 0) + g_ascii_strtoll(value, NULL, 10);
	}
	return sum;
}

/* Checks that no instance holds anything when all callers have ended. */
static void check_rest(soak_t *soak)
{
	static const char *const metrics[] = { "bsh_requests_open",
					       "bsh_memory_held_bytes" };

	for (uint32_t i = 0; i < soak->rig.n_entries; i++) {
		const rig_entry_t *entry = &soak->rig.entries[i];
		rig_reply_t reply;

		if (!entry->alive)
			continue;
		platform_rig_send(&soak->rig, entry->metrics, "/metrics", "m",
				  NULL, 1000, &reply);
		platform_rig_wait(&soak->rig, &reply.done);
		for (size_t j = 0; j < G_N_ELEMENTS(metrics); j++) {
			int64_t sum = sum_metric(&reply, metrics[j]);

			if (sum == 0)
				continue;
			soak->broken++;
			printf("BROKEN rest instance=%s status=%d %s=%" PRId64
			       "\n",
			       entry->name, reply.status, metrics[j], sum);
		}
		platform_rig_reply_clear(&reply);
	}
}

/* Start and end. */

static void add_worker(soak_t *soak, uint32_t i)
{
	static const char *const services[] = { "llm",	"llm", "llm2", "desk",
						"shop", "llm", "llm",  "llm2",
						"desk", "llm", "llm",  "desk" };
	const char *service = services[i];
	bool has_models = g_str_has_prefix(service, "llm");
	char model[8];
	worker_t *worker;

	/* Each has the model of most demand and another one. */
	g_snprintf(model, sizeof(model), "m%u", 1 + i % (SOAK_MODELS - 1));
	worker = platform_rig_add_worker(&soak->rig, service,
					 has_models ? model : NULL);
	worker->work_ms = 1 + bsh_rng_below(&soak->rng, WORK_MAX_MS);
	if (has_models)
		json_object_set_new(worker->models, "m0", json_array());
	g_snprintf(worker->version, sizeof(worker->version), "v%u", 1 + i % 2);
	platform_rig_publish_worker(worker, "ready");
}

/* The settings of each instance name its relay as the store. */
static void add_entry(soak_t *soak, uint16_t store_port)
{
	uint32_t i = soak->rig.n_entries;
	relay_t *relay = &soak->entries[i].store;

	relay_init(relay, &soak->rig.loop, store_port);
	g_strlcpy(soak->rig.store_address, relay->address,
		  sizeof(soak->rig.store_address));
	platform_rig_add_entry(&soak->rig);
	soak->entries[i].spawn_us = bsh_loop_clock_us();
}

/* The last one: its connections to the workers pass relays, too. */
static void add_far_entry(soak_t *soak)
{
	add_entry(soak, platform_rig_start_far_store(&soak->rig));
	g_strlcpy(soak->rig.far_host, soak->rig.store_address,
		  sizeof(soak->rig.far_host));
}

/* Time between two events, always the same for an attempt: log-normal, so that
 * the longest stream so far is no bound of the next one. */
static int64_t stream_gap_us(const char *attempt)
{
	GRand *rand = g_rand_new_with_seed(g_str_hash(attempt));
	double u = 1.0 - g_rand_double(rand);
	double v = g_rand_double(rand);
	double normal = sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v);

	g_rand_free(rand);
	return (int64_t)CLAMP(GAP_MEDIAN_US * exp(GAP_SIGMA * normal),
			      GAP_MIN_US, GAP_MAX_US);
}

static void start(soak_t *soak, int entries, int workers)
{
	const char *port;
	uint16_t store_port;

	platform_rig_init(&soak->rig);
	port = strchr(soak->rig.store_address, ':') + 1;
	store_port = (uint16_t)g_ascii_strtoull(port, NULL, 10);
	soak->rig.has_second_engine = true;
	if (soak->lengths)
		soak->rig.stream_gap_us = stream_gap_us;
	/* Voters log orders from 11.4 s after their start on. */
	soak->rig.settings = "[entry]\norder_log_targets=1\n";
	soak_accounts_start(soak);
	configure(soak);
	for (int i = 0; i < workers; i++)
		add_worker(soak, (uint32_t)i);
	for (int i = 0; i + soak->cuts < entries; i++)
		add_entry(soak, store_port);
	if (soak->cuts)
		add_far_entry(soak);
	for (int i = 0; i < entries; i++)
		platform_rig_wait_ready(&soak->rig, &soak->rig.entries[i]);
	soak_callers_init(soak);
}

static void finish(soak_t *soak)
{
	soak_callers_finish(soak);
	for (uint32_t i = 0; i < soak->rig.n_entries; i++)
		relay_finish(&soak->entries[i].store);
	platform_rig_finish(&soak->rig);
	soak_accounts_finish(soak);
}

int main(int argc, char **argv)
{
	static soak_t soak;
	gint seed = 1;
	gint seconds = 10;
	gint entries = 4;
	gint workers = RIG_WORKERS_MAX;
	gboolean prompts = FALSE;
	gboolean cuts = FALSE;
	gboolean lengths = FALSE;
	gboolean writers = FALSE;
	gboolean accounts = FALSE;
	const GOptionEntry options[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
		  "Time with faults", "N" },
		{ "entries", 0, 0, G_OPTION_ARG_INT, &entries, "Entry daemons",
		  "N" },
		{ "workers", 0, 0, G_OPTION_ARG_INT, &workers, "Workers", "N" },
		{ "prompts", 0, 0, G_OPTION_ARG_NONE, &prompts,
		  "Prompts that end workers, and limits", NULL },
		{ "cuts", 0, 0, G_OPTION_ARG_NONE, &cuts,
		  "An instance loses all workers at times", NULL },
		{ "lengths", 0, 0, G_OPTION_ARG_NONE, &lengths,
		  "Streams of unequal lengths", NULL },
		{ "writers", 0, 0, G_OPTION_ARG_NONE, &writers,
		  "Another writer of the store, and kills of all instances",
		  NULL },
		{ "accounts", 0, 0, G_OPTION_ARG_NONE, &accounts,
		  "Client accounts, whose keys change", NULL },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new(NULL);
	gboolean parsed;

	g_option_context_add_main_entries(context, options, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!parsed || entries < 1 || entries > RIG_ENTRIES_MAX ||
	    workers < WORKERS_MIN || workers > RIG_WORKERS_MAX) {
		fprintf(stderr, "usage: soak_entry [--seed N] [--seconds N] "
				"[--entries N] [--workers N] "
				"[--prompts] [--cuts] [--lengths] "
				"[--writers] [--accounts]\n");
		return 101;
	}
	bsh_rng_init(&soak.rng, (uint32_t)seed);
	bsh_rng_init(&soak.prompt_rng, (uint32_t)seed);
	soak.prompts = prompts;
	bsh_rng_init(&soak.cut_rng, (uint32_t)seed);
	soak.cuts = cuts;
	soak.lengths = lengths;
	soak.writers = writers;
	bsh_rng_init(&soak.writer_rng, (uint32_t)seed);
	if (accounts)
		soak_accounts_init(&soak, (uint32_t)seed);
	start(&soak, entries, workers);
	if (prompts) {
		soak.rig.crash_part = SOAK_BAD_PART;
		soak.rig.restart_ms = RESTART_MS;
	}
	run(&soak, seconds * 1000LL, true, true);
	end_faults(&soak);
	run(&soak, SETTLE_MS, true, false);
	check_recovery(&soak);
	check_rest(&soak);
	check_workers(&soak);
	check_resumes(&soak);
	soak_accounts_check(&soak);
	printf("soak seed=%d sent=%u answered=%u refused=%u unknown=%u "
	       "closed=%u left=%u dropped=%u resumed=%u/%u begun=%u/%u "
	       "mixed=%u faults=%u crashes=%u bad=%u broken=%u\n",
	       seed, soak.sent, soak.answered, soak.refused, soak.unknown,
	       soak.closed, soak.left, soak.dropped, soak.resumed, soak.resumes,
	       soak.begun, soak.begins, soak.mixed, soak.faults,
	       soak.rig.crashes, soak.rig.crash_part_runs, soak.broken);
	finish(&soak);
	return (int)MIN(soak.broken, EXIT_STATUS_MAX);
}
