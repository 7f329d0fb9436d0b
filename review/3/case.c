/* The operator moves a route from one engine service to another one with the
 * same models, and then takes the first service out of the configuration. */
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "stand.h"

#define INSTANCES   3
#define MODELS	    5
#define CALLS_MAX   900
#define CALL_GAP_MS 40
/* The configuration that drops the first service, and the time for which cut
 * requests count beside it: configApplyMs and 1 s after its acknowledgement. */
#define DROP_AT_MS 14000
#define WINDOW_MS  3000
#define END_MS	   40000
#define STEP_MS	   20

typedef struct {
	stand_t stand;
	rig_reply_t replies[CALLS_MAX];
	int64_t ended_ms[CALLS_MAX];
	uint32_t n;
	uint32_t ends; /* processes that ended by themselves */
	int64_t next_call_ms;
	int64_t restart_ms[INSTANCES]; /* 0: runs */
} case_t;

static void configure(case_t *c, const char *service, bool with_first)
{
	g_autofree char *route =
		stand_route("reply", "stream", service, 2, true, 6000, 2500);
	g_autofree char *first = stand_service(&c->stand, "llm-1", 0, MODELS);
	g_autofree char *second = stand_service(&c->stand, "llm-2", 0, MODELS);
	g_autofree char *both = g_strdup_printf("%s,%s", first, second);

	stand_configure(&c->stand, route, with_first ? both : second);
}

/* Starts ended processes again after a short pause, as the platform does. */
static void check_processes(case_t *c)
{
	int64_t now_ms = stand_now_ms(&c->stand);

	for (uint32_t i = 0; i < INSTANCES; i++) {
		rig_entry_t *entry = &c->stand.rig.entries[i];

		if (stand_is_running(&c->stand, entry))
			continue;
		if (c->restart_ms[i] == 0) {
			c->ends++;
			c->restart_ms[i] = now_ms + 1000;
			stand_log(&c->stand,
				  "BROKEN: %s has ended by itself: %s %d",
				  entry->name,
				  WIFSIGNALED(entry->status) ? "signal"
							     : "status",
				  WIFSIGNALED(entry->status)
					  ? WTERMSIG(entry->status)
					  : WEXITSTATUS(entry->status));
		} else if (now_ms >= c->restart_ms[i]) {
			c->restart_ms[i] = 0;
			platform_rig_spawn(&c->stand.rig, entry);
		}
	}
}

static void call(case_t *c)
{
	rig_entry_t *entry = &c->stand.rig.entries[c->n % INSTANCES];
	char id[32];
	char model[8];

	if (c->n == CALLS_MAX || !entry->alive)
		return;
	g_snprintf(id, sizeof(id), "call-%u", c->n);
	g_snprintf(model, sizeof(model), "m%u", c->n % MODELS);
	platform_rig_send(&c->stand.rig, entry->front, "/reply/1", id, model,
			  6000, &c->replies[c->n++]);
}

static void note_ends(case_t *c)
{
	for (uint32_t i = 0; i < c->n; i++)
		if (c->replies[i].done && c->ended_ms[i] == 0)
			c->ended_ms[i] = stand_now_ms(&c->stand);
}

static void run_until(case_t *c, int64_t at_ms)
{
	while (stand_now_ms(&c->stand) < at_ms) {
		platform_rig_run(&c->stand.rig, STEP_MS);
		check_processes(c);
		note_ends(c);
		if (stand_now_ms(&c->stand) < c->next_call_ms)
			continue;
		c->next_call_ms = stand_now_ms(&c->stand) + CALL_GAP_MS;
		call(c);
	}
}

/* A process has ended by itself, or, as the rule has it, requests were cut beside
 * the configuration over three times as often as at other times. */
static int judge(case_t *c)
{
	uint32_t answered = 0;
	uint32_t beside = 0;
	uint32_t other = 0;
	bool lost;

	for (uint32_t i = 0; i < c->n; i++) {
		const rig_reply_t *reply = &c->replies[i];
		bool cut = reply->done && !reply->complete && reply->sent;
		bool in_window = c->ended_ms[i] >= DROP_AT_MS &&
				 c->ended_ms[i] < DROP_AT_MS + WINDOW_MS;

		answered += reply->status == 200 && reply->complete;
		beside += cut && in_window;
		other += cut && !in_window;
		stand_log(&c->stand, "call-%u: status %d%s", i, reply->status,
			  !reply->done ? " (not ended)"
			  : cut	       ? " (cut)"
				       : "");
	}
	lost = beside > 0 &&
	       beside * (END_MS - WINDOW_MS) > 3 * other * WINDOW_MS;
	stand_log(&c->stand,
		  "%scalls=%u answered=%u cut beside the configuration=%u "
		  "cut at other times=%u processes ended by themselves=%u",
		  lost || c->ends > 0 ? "BROKEN: " : "", c->n, answered, beside,
		  other, c->ends);
	printf("calls=%u answered=%u cut_beside=%u cut_else=%u ends=%u\n", c->n,
	       answered, beside, other, c->ends);
	return lost || c->ends > 0;
}

int main(int argc, char **argv)
{
	static const char *const first[] = { "m0", NULL };
	static const char *const second[] = { "m1", "m2", NULL };
	static const char *const third[] = { "m3", "m4", NULL };
	static case_t c;
	int broken;

	stand_init(&c.stand, argc > 1 ? argv[1] : "record.txt");
	configure(&c, "llm-1", true);
	stand_add_engine(&c.stand, "llm-1", first);
	stand_add_engine(&c.stand, "llm-1", second);
	stand_add_engine(&c.stand, "llm-2", second);
	stand_add_engine(&c.stand, "llm-2", third);
	for (uint32_t i = 0; i < c.stand.n_engines; i++) {
		c.stand.engines[i].n_events = 14;
		c.stand.engines[i].gap_ms = 40;
	}
	for (int i = 0; i < INSTANCES; i++)
		stand_add_instance(&c.stand, NULL);
	stand_wait_ready(&c.stand, INSTANCES);
	run_until(&c, 8000);
	configure(&c, "llm-2", true);
	run_until(&c, DROP_AT_MS);
	configure(&c, "llm-2", !c.stand.trouble);
	run_until(&c, END_MS);
	broken = judge(&c);
	for (uint32_t i = 0; i < c.n; i++)
		platform_rig_reply_clear(&c.replies[i]);
	stand_finish(&c.stand);
	return broken;
}
