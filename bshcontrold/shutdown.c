/*
 * Drain of the instance (design, section 4.5): reports the pending work of the
 * other parts to the drain module until it allows the process to exit.
 */
#include "control.h"

#include "base/log.h"
#include "coordination/drain.h"
#include "coordination/member.h"

#define CHECK_PERIOD_US INT64_C(50000)
/* Probe periods after which several members have received the update that this
 * instance is leaving. */
#define DISSEMINATION_PERIODS 2

struct shutdown {
	bsh_drain_t drain;
	bsh_loop_timer_t timer;
	int64_t disseminated_us; /* leaving counts as announced from then on */
};

static void announce_leaving(void *ctx)
{
	control_t *control = ctx;

	control->shutdown->disseminated_us =
		control_now_us() + (int64_t)control->settings.probe_period_ms *
					   1000 * DISSEMINATION_PERIODS;
	peers_leave(control);
}

static void hand_over_cells(void *ctx)
{
	cells_drain(ctx);
}

static void withdraw_from_entry(void *ctx)
{
	control_t *control = ctx;
	api_entry_t entry = { .address = "" };

	/* An instance that is leaving is not chosen.  The drain module calls
	 * this before announce_leaving(), though, so the address may still be
	 * that of this instance.  It is empty if there is none. */
	api_choose_entry(control, control->settings.zone, &entry);
	routers_drain(control, entry.address);
}

static void on_drained(void *ctx, bool clean)
{
	control_t *control = ctx;

	bsh_log(BSH_LOG_INFO, "drain-ended clean=%d", clean);
	bsh_loop_stop(&control->loop);
}

static const bsh_drain_ops_t drain_ops = {
	.announce_leaving = announce_leaving,
	.hand_over_cells = hand_over_cells,
	.withdraw_from_entry = withdraw_from_entry,
	.exit = on_drained,
};

/* Pending writes to the store.  The time line is written after everything else
 * has ended, so that it contains the handover. */
static uint32_t pending_writes(control_t *control)
{
	uint32_t pending = intents_pending(control);

	if (pending > 0 || !cells_drained(control) || routers_busy(control))
		return pending;
	return flush_finish(control) ? 0 : 1;
}

static void check(control_t *control)
{
	struct shutdown *shutdown = control->shutdown;
	int64_t now_us = control_now_us();
	bool is_disseminated = now_us >= shutdown->disseminated_us ||
			       bsh_members_live(peers_members(control)) <= 1;

	/* JOURNAL is set first: the drain ends as soon as no kind has pending
	 * work, and the value of JOURNAL depends on the other kinds. */
	bsh_drain_set(&shutdown->drain, BSH_DRAIN_JOURNAL,
		      pending_writes(control), now_us);
	bsh_drain_set(&shutdown->drain, BSH_DRAIN_REQUESTS,
		      routers_busy(control), now_us);
	bsh_drain_set(&shutdown->drain, BSH_DRAIN_CELLS,
		      !cells_drained(control), now_us);
	bsh_drain_set(&shutdown->drain, BSH_DRAIN_MEMBERSHIP, !is_disseminated,
		      now_us);
	bsh_drain_tick(&shutdown->drain, now_us);
}

static void on_timer(void *ctx)
{
	control_t *control = ctx;

	check(control);
	bsh_loop_timer_after(&control->shutdown->timer, CHECK_PERIOD_US);
}

void shutdown_begin(control_t *control)
{
	struct shutdown *shutdown = control->shutdown;

	if (shutdown_is_draining(control))
		return;
	bsh_log(BSH_LOG_INFO, "drain-begin");
	bsh_timeline_add(&control->timeline, "drain-begin", NULL);
	/* Pending work is set first, so that the drain does not end at once. */
	bsh_drain_set(&shutdown->drain, BSH_DRAIN_MEMBERSHIP, 1,
		      control_now_us());
	bsh_drain_begin(&shutdown->drain, control_now_us());
	bsh_loop_timer_after(&shutdown->timer, 0);
}

bool shutdown_is_draining(const control_t *control)
{
	return control->shutdown != NULL &&
	       !bsh_drain_accepts(&control->shutdown->drain);
}

void shutdown_start(control_t *control)
{
	struct shutdown *shutdown = g_new0(struct shutdown, 1);

	control->shutdown = shutdown;
	bsh_drain_init(&shutdown->drain, control->settings.drain_ms, &drain_ops,
		       control);
	bsh_loop_timer_init(&shutdown->timer, &control->loop, on_timer,
			    control);
}

void shutdown_stop(control_t *control)
{
	bsh_loop_timer_stop(&control->shutdown->timer);
	g_free(control->shutdown);
}
