#include "case2.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Time after the start of the instances until the disruption; contactMs is 3 s,
 * and a holder names its voters after 2 s. */
#define SETTLE_MS 12000
#define STEP_MS	  20
/* Pause before an attempt that nothing delays. */
#define PAUSE_US INT64_C(50000)

/* As deploy/berylshunt.conf.in, with the bounds of the site. */
static const char settings[] = "[entry]\ndrain_ms=2000\n"
			       "[retry]\nratio=0.2\nslack=54\nwindow_s=10\n";

void case2_init(case2_t *c, int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");

	memset(c, 0, sizeof(*c));
	if (argc < 2) {
		fprintf(stderr, "usage: %s RECORD\n", argv[0]);
		exit(2);
	}
	c->record = fopen(argv[1], "w");
	if (c->record == NULL) {
		perror(argv[1]);
		exit(2);
	}
	c->trouble = g_strcmp0(trouble, "0") != 0;
	platform_rig_init(&c->rig);
	c->rig.lease_ms = 3000;
	c->rig.grace_s = 8;
	c->rig.settings = settings;
	c->began_us = bsh_loop_clock_us();
	case2_note(c, "trouble=%d", c->trouble);
}

void case2_start(case2_t *c, const char *routes)
{
	platform_rig_configure(&c->rig, routes);
	for (uint32_t i = 0; i < CASE2_ENTRIES; i++)
		platform_rig_add_entry(&c->rig);
	for (uint32_t i = 0; i < CASE2_ENTRIES; i++)
		platform_rig_wait_ready(&c->rig, &c->rig.entries[i]);
	platform_rig_run(&c->rig, SETTLE_MS);
	case2_note(c, "%d instances are ready", CASE2_ENTRIES);
}

void case2_note(const case2_t *c, const char *format, ...)
{
	va_list args;

	fprintf(c->record, "%7d ms  ",
		(int)((bsh_loop_clock_us() - c->began_us) / 1000));
	va_start(args, format);
	vfprintf(c->record, format, args);
	va_end(args);
	fputc('\n', c->record);
	fflush(c->record);
}

int case2_end(case2_t *c, bool broken)
{
	case2_note(c, "rule %s", broken ? "broken" : "held");
	platform_rig_finish(&c->rig);
	fclose(c->record);
	return broken ? CASE2_BROKEN : CASE2_HELD;
}

static uint16_t port_of(const char *address)
{
	return (uint16_t)strtoul(strrchr(address, ':') + 1, NULL, 10);
}

void case2_add_worker(case2_t *c, case2_worker_t *w, const char *service,
		      const char *model, const char *version)
{
	w->worker = platform_rig_add_worker(&c->rig, service, model);
	relay_init(&w->relay, &c->rig.loop, port_of(w->worker->address));
	g_strlcpy(w->worker->address, w->relay.address,
		  sizeof(w->worker->address));
	g_strlcpy(w->worker->version, version, sizeof(w->worker->version));
	platform_rig_publish_worker(w->worker, "ready");
	case2_note(c, "worker %s service=%s model=%s version=%s", w->worker->id,
		   service, model, version);
}

void case2_crash(case2_t *c, case2_worker_t *w)
{
	case2_note(c, "worker %s ends", w->worker->id);
	relay_set_refusing(&w->relay, true);
}

void case2_restart(case2_t *c, case2_worker_t *w, const char *version,
		   const char *model)
{
	g_strlcpy(w->worker->version, version, sizeof(w->worker->version));
	platform_rig_restart_worker(w->worker);
	if (model != NULL) {
		json_object_set_new(w->worker->models, model, json_array());
		platform_rig_publish_worker(w->worker, "ready");
	}
	relay_set_refusing(&w->relay, false);
	case2_note(c, "worker %s starts again, version=%s", w->worker->id,
		   version);
}

static void send_attempt(case2_t *c, case2_caller_t *caller)
{
	int64_t left_us = caller->until_us - bsh_loop_clock_us();
	const char *address = c->rig.entries[caller->entry].front;

	caller->from[caller->attempts] = caller->last + 1;
	caller->attempts++;
	caller->again_us = 0;
	memset(&caller->reply, 0, sizeof(caller->reply));
	case2_note(c, "caller %s sends %s to %s after event %u", caller->first,
		   caller->id, c->rig.entries[caller->entry].name,
		   caller->last);
	if (caller->last == 0)
		platform_rig_send(&c->rig, address, caller->path, caller->id,
				  caller->model, (uint32_t)(left_us / 1000),
				  &caller->reply);
	else
		platform_rig_resume(&c->rig, address, caller->path, caller->id,
				    caller->model, (uint32_t)(left_us / 1000),
				    caller->last, caller->first,
				    &caller->reply);
}

void case2_caller_begin(case2_t *c, case2_caller_t *caller, const char *id,
			const char *path, const char *model, uint32_t entry,
			uint32_t deadline_ms)
{
	memset(caller, 0, sizeof(*caller));
	caller->path = path;
	caller->model = model;
	caller->entry = entry % CASE2_ENTRIES;
	caller->until_us = bsh_loop_clock_us() + 1000LL * deadline_ms;
	g_strlcpy(caller->first, id, sizeof(caller->first));
	g_strlcpy(caller->id, id, sizeof(caller->id));
	send_attempt(c, caller);
}

/* Counts whole events only: a part of one is not an event. */
static void read_events(case2_caller_t *caller)
{
	const char *text = caller->reply.received != NULL
				   ? caller->reply.received->str
				   : caller->reply.body;
	const char *at;
	const char *end;

	if (text == NULL || (caller->reply.done && caller->reply.status != 200))
		return;
	for (at = text; (end = strstr(at, "\n\n")) != NULL; at = end + 2)
		if (strncmp(at, "id: ", 4) == 0)
			caller->last = MAX(caller->last,
					   (uint32_t)strtoul(at + 4, NULL, 10));
}

/* Clients honour Retry-After up to a third of the time that they have left. */
static void plan_attempt(case2_caller_t *caller, int64_t now_us)
{
	int64_t pause_us = PAUSE_US;

	if (caller->reply.retry_after != NULL)
		pause_us = (int64_t)(strtod(caller->reply.retry_after, NULL) *
				     1e6);
	pause_us = MIN(pause_us, (caller->until_us - now_us) / 3);
	caller->again_us = now_us + MAX(pause_us, 1);
}

static void act(case2_t *c, case2_caller_t *caller)
{
	int64_t now_us = bsh_loop_clock_us();

	if (caller->over)
		return;
	read_events(caller);
	if (caller->again_us == 0 && !caller->reply.done &&
	    now_us < caller->until_us)
		return;
	if (caller->again_us == 0) {
		case2_note(c,
			   "caller %s: answer to %s status=%d complete=%d, "
			   "has event %u",
			   caller->first, caller->id, caller->reply.status,
			   caller->reply.complete, caller->last);
		caller->complete =
			caller->reply.status == 200 && caller->reply.complete;
		caller->over = caller->complete || now_us >= caller->until_us ||
			       caller->attempts >= CASE2_ATTEMPTS_MAX;
		if (!caller->over)
			plan_attempt(caller, now_us);
		return;
	}
	if (now_us < caller->again_us)
		return;
	if (caller->attempts == 1)
		caller->last_before = caller->last;
	platform_rig_reply_clear(&caller->reply);
	caller->entry = (caller->entry + 1) % CASE2_ENTRIES;
	g_snprintf(caller->id, sizeof(caller->id), "%s-%u", caller->first,
		   caller->attempts);
	send_attempt(c, caller);
}

void case2_caller_leave(case2_t *c, case2_caller_t *caller)
{
	if (caller->over)
		return;
	read_events(caller);
	case2_note(c, "caller %s leaves %s after event %u", caller->first,
		   caller->id, caller->last);
	platform_rig_reply_clear(&caller->reply);
	memset(&caller->reply, 0, sizeof(caller->reply));
	plan_attempt(caller, bsh_loop_clock_us());
}

void case2_callers_run(case2_t *c, case2_caller_t *callers, uint32_t n,
		       int64_t ms)
{
	int64_t until_us = bsh_loop_clock_us() + 1000 * ms;

	while (bsh_loop_clock_us() < until_us) {
		platform_rig_run(&c->rig, STEP_MS);
		for (uint32_t i = 0; i < n; i++)
			act(c, &callers[i]);
	}
}

void case2_callers_clear(case2_caller_t *callers, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		platform_rig_reply_clear(&callers[i].reply);
}
