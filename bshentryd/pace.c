/* Pace of targets that have just started or recovered. */
#include "pace.h"

#include "base/counter.h"
#include "base/log.h"
#include "state/target.h"

static bsh_counter_t begun =
	BSH_COUNTER("bsh_target_paces_total",
		    "Targets that were paced after a start or a recovery.");
static bsh_counter_t substituted =
	BSH_COUNTER("bsh_target_pace_substitutes_total",
		    "Choices of another target for one at its pace.");
static bsh_counter_t against =
	BSH_COUNTER("bsh_target_pace_reductions_total",
		    "Rejections, failures and late answers of paced targets.");

void pace_init(pace_t *pace, bool enabled, uint64_t instance_key)
{
	bsh_counter_register(&begun);
	bsh_counter_register(&substituted);
	bsh_counter_register(&against);
	pace->enabled = enabled;
	pace->listed = false;
	pace->instance_key = instance_key;
	pace->instances = 1;
	pace->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void pace_finish(pace_t *pace)
{
	g_hash_table_destroy(pace->peers);
}

static bsh_pace_peers_t *peers_of(pace_t *pace, const char *service)
{
	bsh_pace_peers_t *peers = g_hash_table_lookup(pace->peers, service);

	if (peers != NULL)
		return peers;
	peers = g_new0(bsh_pace_peers_t, 1);
	g_hash_table_insert(pace->peers, g_strdup(service), peers);
	return peers;
}

static void set_window(const pace_t *pace, pace_target_t *target,
		       const pace_process_t *process, int64_t from_us)
{
	double lot =
		bsh_pace_lot(pace->instance_key,
			     bsh_process_key(process->id, process->started_ms));

	bsh_pace_begin(&target->window, process->slots, pace->instances, lot,
		       from_us);
}

static void begin(const pace_t *pace, pace_target_t *target,
		  const pace_process_t *process, const char *reason,
		  int64_t from_us)
{
	set_window(pace, target, process, from_us);
	target->began_us = from_us;
	target->against = 0;
	bsh_counter_add(&begun, 1);
	bsh_log(BSH_LOG_INFO,
		"target-paced target=%s service=%s reason=%s slots=%u "
		"instances=%u open_max=%u",
		process->id, process->service, reason, process->slots,
		pace->instances, bsh_pace_open_max(&target->window, from_us));
}

static void log_end(const pace_target_t *target, const char *id,
		    const char *reason, int64_t now_us)
{
	bsh_log(BSH_LOG_INFO,
		"target-pace-ended target=%s reason=%s after_ms=%d "
		"kept=%u against=%u",
		id, reason, (int)((now_us - target->began_us) / 1000),
		target->window.kept, target->against);
}

static void expire(pace_target_t *target, const char *id, int64_t now_us)
{
	if (bsh_pace_expire(&target->window, now_us))
		log_end(target, id, "quiet", now_us);
}

void pace_set_target(pace_t *pace, pace_target_t *target,
		     const pace_process_t *process, bool is_new, int64_t now_us)
{
	if (!pace->enabled)
		return;
	target->peers = peers_of(pace, process->service);
	if (is_new && pace->listed)
		begin(pace, target, process, "new-process", now_us);
	else
		expire(target, process->id, now_us);
}

void pace_view_changed(pace_t *pace, bool listed, uint32_t instances)
{
	/* To an instance that has just started all targets are new. */
	pace->listed = pace->listed || listed;
	pace->instances = instances;
}

void pace_left_out(const pace_t *pace, pace_target_t *target,
		   const pace_process_t *process, int64_t until_us)
{
	if (!pace->enabled || target->peers == NULL)
		return;
	/* Each further failure moves the beginning. */
	if (target->window.active)
		set_window(pace, target, process, until_us);
	else
		begin(pace, target, process, "left-out", until_us);
}

bool pace_is_reached(const pace_t *pace, const pace_target_t *target,
		     uint32_t open, int64_t now_us)
{
	return pace->enabled &&
	       open >= bsh_pace_open_max(&target->window, now_us);
}

void pace_substituted(void)
{
	bsh_counter_add(&substituted, 1);
}

static void note_against(pace_target_t *target)
{
	target->against++;
	bsh_counter_add(&against, 1);
}

void pace_answered(const pace_t *pace, pace_target_t *target, const char *id,
		   const bsh_pace_answer_t *answer, int64_t now_us)
{
	bool was_active;

	if (!pace->enabled || target->peers == NULL)
		return;
	expire(target, id, now_us);
	was_active = target->window.active;
	if (!bsh_pace_answered(&target->window, target->peers, answer, now_us))
		note_against(target);
	else if (was_active && !target->window.active)
		log_end(target, id, "kept-up", now_us);
}

void pace_failed(const pace_t *pace, pace_target_t *target, const char *id,
		 int64_t now_us)
{
	if (!pace->enabled || !target->window.active)
		return;
	expire(target, id, now_us);
	if (!target->window.active)
		return;
	bsh_pace_failed(&target->window, now_us);
	note_against(target);
}
