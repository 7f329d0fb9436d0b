/* The target of an attempt: candidates among the targets of the view. */
#include "traffic.h"

#include "coordination/rendezvous.h"

/* An entry may lapse, and come back, while its process goes on. */
static void restore_notice(traffic_t *t, target_state_t *state)
{
	const bsh_target_notice_t *kept =
		g_hash_table_lookup(t->notices, state->id);

	if (kept == NULL)
		return;
	state->notice = *kept;
	g_hash_table_remove(t->notices, state->id);
}

static void keep_notice(const traffic_t *t, const target_state_t *state)
{
	if (bsh_target_notice_holds(&state->notice, traffic_now_us(t)))
		g_hash_table_replace(
			t->notices, g_strdup(state->id),
			g_memdup2(&state->notice, sizeof(state->notice)));
}

static gboolean is_past_notice(void *key, void *value, void *ctx)
{
	(void)key;
	return !bsh_target_notice_holds(value, traffic_now_us(ctx));
}

target_state_t *target_pick_state(traffic_t *t, const char *id)
{
	target_state_t *state = g_hash_table_lookup(t->targets, id);

	if (state != NULL)
		return state;
	state = g_new0(target_state_t, 1);
	g_strlcpy(state->id, id, sizeof(state->id));
	state->key = bsh_target_key(id);
	bsh_target_limit_init(&state->limit);
	bsh_target_notice_init(&state->notice);
	restore_notice(t, state);
	state->rejections_max = -1;
	g_hash_table_insert(t->targets, state->id, state);
	return state;
}

bool target_pick_was_tried(const request_t *r, uint64_t hash)
{
	for (uint32_t i = 0; i < r->n_tried; i++)
		if (r->tried[i] == hash)
			return true;
	return false;
}

/* True if an attempt of the request runs at the target. */
static bool is_in_use(const request_t *r, const target_state_t *state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(r->attempts); i++)
		if (r->attempts[i].target == state)
			return true;
	return false;
}

static bool holds_model(const request_t *r, const view_target_t *target)
{
	return !demand_is_counted(r) ||
	       (bsh_holdings_has(&target->holdings, r->info.model, 0) &&
		bsh_holdings_has(&target->holdings, r->info.model,
				 r->info.adapter));
}

/* By what the view shows of the target. */
static pick_t check_listed(const request_t *r, const view_target_t *target)
{
	if (strcmp(target->service, r->service->name) != 0)
		return PICK_OTHER_SERVICE;
	if (r->software != 0 && target->software_key != r->software)
		return PICK_OTHER_SOFTWARE;
	return holds_model(r, target) ? PICK_CANDIDATE : PICK_NO_MODEL;
}

/* Hash by which requests with a common prompt prefix prefer the same target and
 * its KV cache.  The last of several parts is left out: it belongs to the
 * request or its session alone. */
static uint64_t affinity_of(const request_t *r)
{
	const bsh_request_info_t *info = &r->info;
	uint64_t part = 0;

	if (info->n_parts >= 2)
		part = info->parts[info->n_parts - 2].id;
	else if (info->n_parts == 1)
		part = info->parts[0].id;
	return part ^ info->model;
}

/* A request with an isolated key goes to the same target at all instances, so
 * that one process is at risk. */
static int32_t choose_isolated(const request_t *r)
{
	const traffic_t *t = r->traffic;
	int32_t best = -1;
	uint64_t best_score = 0;

	for (guint i = 0; i < t->candidates->len; i++) {
		const bsh_target_candidate_t *candidate = &g_array_index(
			t->candidates, bsh_target_candidate_t, i);
		uint64_t score = bsh_rendezvous_score(r->isolated[0],
						      candidate->target_hash);

		if (!bsh_target_usable(candidate->record, traffic_now_us(t)) ||
		    (best >= 0 && score <= best_score))
			continue;
		best = (int32_t)i;
		best_score = score;
	}
	return best;
}

/* True if the limit of the target keeps the request away. */
static bool is_limited(request_t *r, target_state_t *state, uint64_t started_ms)
{
	int64_t wait_us = limits_wait_us(r->traffic, state, started_ms);

	if (wait_us == 0)
		return false;
	if (r->limited_by == NULL || wait_us < r->limit_wait_us) {
		r->limited_by = state;
		r->limit_wait_us = wait_us;
	}
	return true;
}

/* True if the request should rather go elsewhere.  One that was sent before has
 * few attempts left, and goes where it is served first. */
static bool is_at_pace(const request_t *r, const target_state_t *state)
{
	const traffic_t *t = r->traffic;

	return r->n_tried == 0 &&
	       pace_is_reached(&t->pace, &state->pace, state->record.running,
			       traffic_now_us(t));
}

static void set_pace(traffic_t *t, target_state_t *state,
		     const view_target_t *target)
{
	pace_process_t process = { .id = target->id,
				   .service = target->service,
				   .started_ms = target->started_ms,
				   .slots = target->slots };
	bool is_new = state->last_view == 0 ||
		      state->started_ms != target->started_ms;

	pace_set_target(&t->pace, &state->pace, &process, is_new,
			traffic_now_us(t));
}

/* By what answers, and the ends of attempts, have shown of its process. */
static pick_t check_process(request_t *r, const view_target_t *target,
			    target_state_t *state)
{
	const traffic_t *t = r->traffic;

	if (demand_is_counted(r) &&
	    engine_load_has_ended(state, target->started_ms, traffic_now_us(t)))
		return PICK_ENDED;
	if (notices_forbid(t, state, target->started_ms))
		return PICK_LEFT;
	if (notices_are_paused(r, state, target->started_ms))
		return PICK_PAUSED;
	if (is_limited(r, state, target->started_ms))
		return PICK_LIMITED;
	return PICK_CANDIDATE;
}

static bsh_target_candidate_t candidate_of(const request_t *r,
					   const view_target_t *target,
					   target_state_t *state)
{
	const traffic_t *t = r->traffic;

	return (bsh_target_candidate_t){
		.record = &state->record,
		.slots = target->slots,
		.target_hash = target->hash,
		.same_zone = target->same_zone,
		.needs_place = places_are_counted(t, state),
		.wait_us = places_delay_us(t, state),
		.leaving = target->entry_removed ||
			   notices_is_leaving(state, target->started_ms),
		.at_pace = is_at_pace(r, state),
	};
}

/* Affinity of the request after this candidate: requests for places are spread
 * over the targets. */
static uint64_t affinity_with(const request_t *r, uint64_t affinity,
			      const bsh_target_candidate_t *candidate)
{
	return candidate->wait_us > 0 && !demand_is_counted(r)
		       ? bsh_target_key(r->info.attempt_id)
		       : affinity;
}

static int32_t choose(const request_t *r, GArray *candidates, uint64_t affinity,
		      bsh_target_work_t *work)
{
	engine_load_work(r, work);
	return bsh_target_choose(
		(bsh_target_candidate_t *)(void *)candidates->data,
		candidates->len, work, affinity, traffic_now_us(r->traffic));
}

const view_target_t *target_pick(request_t *r, bsh_target_candidate_t *chosen)
{
	traffic_t *t = r->traffic;
	const GArray *targets = t->view->targets;
	bsh_target_work_t work;
	uint64_t affinity = affinity_of(r);
	int32_t best;

	if (r->attempt->active && suspects_risk_second(r))
		return NULL;
	r->limited_by = NULL;
	r->pause_wait_us = 0;
	g_array_set_size(t->candidates, 0);
	g_ptr_array_set_size(t->candidate_targets, 0);
	for (guint i = 0; i < targets->len; i++) {
		view_target_t *target =
			&g_array_index(targets, view_target_t, i);
		bsh_target_candidate_t candidate;
		target_state_t *state;

		if (check_listed(r, target) != PICK_CANDIDATE ||
		    target_pick_was_tried(r, target->hash))
			continue;
		state = target_pick_state(t, target->id);
		if (is_in_use(r, state) ||
		    check_process(r, target, state) != PICK_CANDIDATE)
			continue;
		candidate = candidate_of(r, target, state);
		affinity = affinity_with(r, affinity, &candidate);
		g_array_append_val(t->candidates, candidate);
		g_ptr_array_add(t->candidate_targets, target);
	}
	r->candidates = t->candidates->len;
	best = choose(r, t->candidates, affinity, &work);
	if (r->n_isolated > 0)
		best = choose_isolated(r);
	if (best < 0)
		return NULL;
	if (g_array_index(t->candidates, bsh_target_candidate_t, best)
		    .is_substitute)
		pace_substituted();
	if (chosen != NULL)
		*chosen = g_array_index(t->candidates, bsh_target_candidate_t,
					best);
	return g_ptr_array_index(t->candidate_targets, best);
}

/* The state is a copy: to ask for the time until a limit lets a request pass
 * fills its bucket. */
static pick_finding_t *new_finding(request_t *r, const view_target_t *target)
{
	const target_state_t *state =
		g_hash_table_lookup(r->traffic->targets, target->id);
	pick_finding_t *finding;

	if (state == NULL)
		return NULL;
	finding = g_new0(pick_finding_t, 1);
	finding->target = target;
	finding->state = *state;
	finding->holds_model = holds_model(r, target);
	finding->pick = check_listed(r, target);
	if (finding->pick == PICK_CANDIDATE)
		finding->pick = check_process(r, target, &finding->state);
	finding->candidate = candidate_of(r, target, &finding->state);
	finding->expected_us = -1.0;
	return finding;
}

/* Notes what the choice has found out of the candidates. */
static void note_choice(const GPtrArray *findings, const GArray *candidates,
			const bsh_target_work_t *work, int64_t now_us)
{
	guint n = 0;

	for (guint i = 0; i < findings->len; i++) {
		pick_finding_t *finding = g_ptr_array_index(findings, i);

		if (finding->pick != PICK_CANDIDATE)
			continue;
		finding->candidate =
			g_array_index(candidates, bsh_target_candidate_t, n++);
		finding->expected_us =
			bsh_target_delay_us(&finding->candidate, work, now_us);
	}
}

GPtrArray *target_pick_survey(request_t *r, pick_finding_t **chosen)
{
	const GArray *targets = r->traffic->view->targets;
	GPtrArray *findings = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GArray) candidates =
		g_array_new(FALSE, FALSE, sizeof(bsh_target_candidate_t));
	g_autoptr(GPtrArray) owners = g_ptr_array_new();
	uint64_t affinity = affinity_of(r);
	bsh_target_work_t work;
	int32_t best;

	for (guint i = 0; i < targets->len; i++) {
		const view_target_t *target =
			&g_array_index(targets, view_target_t, i);
		pick_finding_t *finding;

		if (check_listed(r, target) == PICK_OTHER_SERVICE)
			continue;
		finding = new_finding(r, target);
		if (finding == NULL)
			continue;
		g_ptr_array_add(findings, finding);
		if (finding->pick != PICK_CANDIDATE)
			continue;
		affinity = affinity_with(r, affinity, &finding->candidate);
		g_array_append_val(candidates, finding->candidate);
		g_ptr_array_add(owners, finding);
	}
	best = choose(r, candidates, affinity, &work);
	note_choice(findings, candidates, &work, traffic_now_us(r->traffic));
	*chosen = best >= 0 ? g_ptr_array_index(owners, best) : NULL;
	return findings;
}

static gboolean is_stale_target(void *key, void *value, void *ctx)
{
	const target_state_t *state = value;
	const traffic_t *t = ctx;

	(void)key;
	if (state->last_view == t->view_number || state->record.running > 0 ||
	    state->hold.wanted > 0)
		return FALSE;
	keep_notice(t, state);
	return TRUE;
}

void target_pick_view_changed(traffic_t *t)
{
	for (guint i = 0; i < t->view->targets->len; i++) {
		const view_target_t *target =
			&g_array_index(t->view->targets, view_target_t, i);
		target_state_t *state = target_pick_state(t, target->id);

		set_pace(t, state, target);
		state->last_view = t->view_number;
		if (state->started_ms != target->started_ms)
			bsh_target_restarted(&state->record);
		state->started_ms = target->started_ms;
		places_set_target(t, state, target);
	}
	pace_view_changed(&t->pace, t->view->listed, t->view->instances);
	g_hash_table_foreach_remove(t->targets, is_stale_target, t);
	g_hash_table_foreach_remove(t->notices, is_past_notice, t);
}
