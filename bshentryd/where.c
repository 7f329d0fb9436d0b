/* Where a request would be sent now, and why: follows its way without sending
 * it. */
#include "where.h"

#include <string.h>

#include "base/json_text.h"

/* Targets that an answer lists; the chosen one is among them. */
#define TARGETS_MAX 500U

static const char *const exclusions[] = {
	[PICK_OTHER_SERVICE] = "service",
	[PICK_OTHER_SOFTWARE] = "software",
	[PICK_NO_MODEL] = "no-model",
	[PICK_ENDED] = "ended",
	[PICK_LEFT] = "left",
	[PICK_PAUSED] = "paused",
	[PICK_LIMITED] = "limit",
};

static const char *const waits[] = {
	[WAITS_FOR_NOTHING] = "nothing", [WAITS_FOR_MODEL] = "model",
	[WAITS_FOR_VERSION] = "version", [WAITS_FOR_LIMIT] = "limit",
	[WAITS_FOR_PAUSE] = "pause",
};

/* The request that is asked about. */
typedef struct {
	where_ask_t *ask;
	const where_ops_t *ops;
	request_t r;
	const bsh_account_rule_t *account; /* NULL: none of this name */
	GPtrArray *findings;		   /* pick_finding_t; NULL: none yet */
	json_t *answer;
} question_t;

static json_t *milliseconds(int64_t us)
{
	return us == INT64_MAX ? json_null() : json_integer(us / 1000);
}

/* The decisions. */

static void refuse(const question_t *q, bsh_error_t err, int64_t retry_ms)
{
	const bsh_error_info_t *info = bsh_error_info(err);

	json_object_set_new(q->answer, "decision",
			    bsh_json_pack("{s:s, s:s, s:i, s:o}", "action",
					  "refuse", "error", info->name,
					  "status", (int)info->http_status,
					  "retry_after_ms",
					  info->retry_after && retry_ms >= 0
						  ? json_integer(retry_ms)
						  : json_null()));
}

/* wait_us: INT64_MAX: not known. */
static void wait_for(const question_t *q, const char *what, int64_t wait_us)
{
	json_object_set_new(q->answer, "decision",
			    bsh_json_pack("{s:s, s:s, s:o}", "action", "wait",
					  "for", what, "expected_ms",
					  milliseconds(wait_us)));
}

static void decide_send(const question_t *q, const pick_finding_t *chosen)
{
	const request_t *r = &q->r;
	int64_t wait_us = chosen->candidate.wait_us;
	int64_t next_us = bsh_place_hold_next_wait_us(
		&chosen->state.hold, bsh_loop_now_us(r->traffic->loop));

	if (wait_us > r->route->latency_objective_ms * INT64_C(1000)) {
		refuse(q, BSH_ERR_CAPACITY,
		       MAX(next_us / 1000, RETRY_DEFAULT_MS));
	} else if (wait_us > 0) {
		wait_for(q, "place", wait_us);
		json_object_set_new(json_object_get(q->answer, "decision"),
				    "target",
				    bsh_json_string(chosen->target->id));
	} else {
		json_object_set_new(
			q->answer, "decision",
			bsh_json_pack(
				"{s:s, s:s, s:o}", "action", "send", "target",
				chosen->target->id, "expected_ms",
				milliseconds((int64_t)chosen->expected_us)));
	}
}

static int64_t retry_ms(request_t *r, const outlook_t *outlook)
{
	const traffic_t *t = r->traffic;
	int64_t wait_us;

	if (outlook->waits_for == WAITS_FOR_PAUSE)
		return r->pause_wait_us / 1000 + 1;
	if (outlook->waits_for != WAITS_FOR_LIMIT)
		return outlook->retry_ms;
	/* The state of the target is a copy. */
	wait_us = bsh_target_limit_promise(&r->limited_by->limit,
					   t->view->instances,
					   bsh_loop_now_us(t->loop));
	return wait_us < INT64_MAX ? wait_us / 1000 : outlook->retry_ms;
}

static int64_t wait_us(const request_t *r, const outlook_t *outlook)
{
	const view_ready_t *ready = outlook->ready;

	if (outlook->waits_for == WAITS_FOR_LIMIT)
		return r->limit_wait_us;
	if (outlook->waits_for == WAITS_FOR_PAUSE)
		return r->pause_wait_us;
	if (ready == NULL || ready->ready_us == INT64_MAX)
		return INT64_MAX;
	return ready->ready_us - ready->estimated_us;
}

static void decide_without_target(question_t *q)
{
	outlook_t outlook;

	q->ops->outlook(&q->r, &outlook);
	if (outlook.err != BSH_OK)
		refuse(q, outlook.err, retry_ms(&q->r, &outlook));
	else
		wait_for(q, waits[outlook.waits_for], wait_us(&q->r, &outlook));
}

/* A prompt part that other requests share is quarantined. */
static bool is_quarantined(const request_t *r)
{
	const traffic_t *t = r->traffic;

	for (uint32_t i = 0; i + 1 < r->info.n_parts; i++)
		if (bsh_quarantine_state(
			    &t->quarantine,
			    bsh_suspect_part_key(r->service->name,
						 r->info.parts[i].id),
			    bsh_loop_now_us(t->loop)) ==
		    BSH_SUSPECT_QUARANTINED)
			return true;
	return false;
}

/* True if the software version that began the stream serves. */
static bool is_software_known(const question_t *q)
{
	if (q->r.software == 0)
		return true;
	for (guint i = 0; i < q->findings->len; i++) {
		const pick_finding_t *finding =
			g_ptr_array_index(q->findings, i);

		if (finding->pick != PICK_OTHER_SOFTWARE)
			return true;
	}
	return false;
}

/* The account. */

static void find_account(question_t *q)
{
	const bsh_accounts_t *accounts = q->r.catalog->accounts;
	const char *name = q->ask->account;

	if (accounts == NULL || name == NULL)
		return;
	q->account = bsh_accounts_find(accounts,
				       bsh_catalog_hash(name, strlen(name)));
	if (q->account != NULL && strcmp(q->account->name, name) != 0)
		q->account = NULL;
}

/* False if the request exceeds the limit of its account, and is refused. */
static bool check_account(question_t *q)
{
	const request_t *r = &q->r;
	account_standing_t standing = { .fraction = 1.0, .admits = true };
	const bsh_account_rule_t *account = q->account;
	json_t *out;

	if (q->ask->account == NULL)
		return true;
	out = bsh_json_pack("{s:s, s:b}", "name", q->ask->account, "known",
			    account != NULL);
	json_object_set_new(q->answer, "account", out);
	if (account == NULL || r->route->anonymous || account->rate_per_s <= 0)
		return true;
	account_limits_standing(
		&r->traffic->account_limits, account,
		account_limits_cost(account, (uint64_t)r->info.prompt_tokens +
						     r->info.answer_tokens),
		r->traffic->view->instances, r->arrived_boot_us, &standing);
	json_object_set_new(out, "limit_per_s", json_real(account->rate_per_s));
	json_object_set_new(out, "fraction", json_real(standing.fraction));
	json_object_set_new(out, "admitted", json_boolean(standing.admits));
	if (!standing.admits)
		refuse(q, BSH_ERR_RATE_LIMITED, standing.retry_ms);
	return standing.admits;
}

/* False if the request is refused for its key. */
static bool check_access(const question_t *q)
{
	bsh_access_t access = q->ops->access(&q->r, q->account != NULL);

	if (access == BSH_ACCESS_KEY_UNKNOWN)
		refuse(q, BSH_ERR_KEY_UNKNOWN, -1);
	else if (access == BSH_ACCESS_UNCONFIRMED)
		refuse(q, BSH_ERR_STALE_CONFIG, RETRY_DEFAULT_MS);
	return access == BSH_ACCESS_GRANTED;
}

/* The route. */

static json_t *services_of(const request_t *r)
{
	json_t *services = json_array();

	for (guint i = 0; i < r->route->splits->len; i++) {
		const bsh_route_split_t *split =
			&g_array_index(r->route->splits, bsh_route_split_t, i);

		json_array_append_new(
			services,
			bsh_json_pack("{s:s, s:i}", "name",
				      bsh_catalog_service_at(r->catalog,
							     split->service)
					      ->name,
				      "weight", (int)split->weight));
	}
	return services;
}

/* The service that is asked about, or else the one with the largest weight; -1:
 * the route has no service of this name. */
static int32_t find_service(const question_t *q)
{
	const GArray *splits = q->r.route->splits;
	const bsh_route_split_t *best = NULL;

	for (guint i = 0; i < splits->len; i++) {
		const bsh_route_split_t *split =
			&g_array_index(splits, bsh_route_split_t, i);
		const bsh_service_rule_t *service =
			bsh_catalog_service_at(q->r.catalog, split->service);

		if (q->ask->service != NULL &&
		    strcmp(q->ask->service, service->name) != 0)
			continue;
		if (best == NULL || split->weight > best->weight)
			best = split;
	}
	return best != NULL ? (int32_t)best->service : -1;
}

/* False if the request has no route and is refused. */
static bool find_route(question_t *q)
{
	request_t *r = &q->r;
	int32_t service;

	r->route = bsh_catalog_match(r->catalog, q->ask->host, q->ask->path);
	if (r->route == NULL) {
		refuse(q, q->ops->unknown_error(r->traffic), RETRY_DEFAULT_MS);
		return false;
	}
	json_object_set_new(q->answer, "route",
			    bsh_json_pack("{s:s, s:b, s:o}", "name",
					  r->route->name, "anonymous",
					  r->route->anonymous, "services",
					  services_of(r)));
	service = find_service(q);
	if (service < 0) {
		q->ask->error = "the route has no such service";
		return false;
	}
	q->ops->follow_route(r, (uint32_t)service);
	if (q->ask->software != NULL)
		r->software =
			bsh_software_key(r->service->name, q->ask->software);
	json_object_set_new(q->answer, "service",
			    bsh_json_string(r->service->name));
	return true;
}

/* The targets. */

/* What keeps the request from the target now; NULL: nothing.  chosen: the target
 * of the choice, or NULL. */
static const char *exclusion_of(const pick_finding_t *finding,
				const pick_finding_t *chosen, int64_t now_us,
				int64_t *wait)
{
	const bsh_target_candidate_t *candidate = &finding->candidate;
	const bsh_target_record_t *record = candidate->record;

	*wait = 0;
	if (finding->pick != PICK_CANDIDATE)
		return exclusions[finding->pick];
	if (!bsh_target_usable(record, now_us)) {
		*wait = MAX(record->paused_until_us - now_us, 0);
		return "breaker";
	}
	if (candidate->leaving && chosen != NULL && !chosen->candidate.leaving)
		return "leaving";
	if (candidate->at_pace && chosen != NULL &&
	    chosen->candidate.is_substitute)
		return "pace";
	*wait = candidate->wait_us;
	return candidate->wait_us > 0 ? "place" : NULL;
}

static int64_t finding_wait_us(const question_t *q, pick_finding_t *finding)
{
	const traffic_t *t = q->r.traffic;
	int64_t now_us = bsh_loop_now_us(t->loop);

	if (finding->pick == PICK_PAUSED)
		return bsh_target_notice_wait_us(&finding->state.notice,
						 finding->state.notice.process,
						 now_us);
	if (finding->pick == PICK_LIMITED)
		return bsh_target_limit_wait_us(&finding->state.limit,
						t->view->instances, now_us);
	return 0;
}

static json_t *target_json(const question_t *q, pick_finding_t *finding,
			   const pick_finding_t *chosen)
{
	const view_target_t *target = finding->target;
	const bsh_target_record_t *record = &finding->state.record;
	int64_t wait;
	const char *exclusion = exclusion_of(
		finding, chosen, bsh_loop_now_us(q->r.traffic->loop), &wait);

	if (finding->pick != PICK_CANDIDATE)
		wait = finding_wait_us(q, finding);
	return bsh_json_pack(
		"{s:s, s:s, s:b, s:b, s:b, s:i, s:i, s:i, s:o, s:s?, s:o}",
		"target", target->id, "software", target->software, "same_zone",
		target->same_zone, "has_model", finding->holds_model, "leaving",
		finding->candidate.leaving, "open", (int)record->running,
		"open_others", (int)record->others_running, "slots",
		(int)target->slots, "first_ms",
		finding->expected_us < 0
			? json_null()
			: json_real(finding->expected_us / 1000.0),
		"excluded", exclusion, "wait_ms", milliseconds(wait));
}

static void list_targets(const question_t *q, pick_finding_t *chosen)
{
	json_t *targets = json_array();
	guint omitted = 0;

	if (chosen != NULL)
		json_array_append_new(targets, target_json(q, chosen, chosen));
	for (guint i = 0; i < q->findings->len; i++) {
		pick_finding_t *finding = g_ptr_array_index(q->findings, i);

		if (finding == chosen)
			continue;
		if (json_array_size(targets) < TARGETS_MAX)
			json_array_append_new(targets,
					      target_json(q, finding, chosen));
		else
			omitted++;
	}
	json_object_set_new(q->answer, "candidates", targets);
	json_object_set_new(q->answer, "omitted", json_integer(omitted));
}

/* The request is passed on by an instance that reaches no target. */
static bool is_passed_on(const question_t *q)
{
	const traffic_t *t = q->r.traffic;

	if (!q->ops->is_cut(t))
		return false;
	if (!t->view->cut)
		wait_for(q, "instances", INT64_MAX);
	else if (t->view->peers->len > 0)
		json_object_set_new(
			q->answer, "decision",
			bsh_json_pack("{s:s}", "action", "pass-on"));
	return !t->view->cut || t->view->peers->len > 0;
}

static void decide(question_t *q)
{
	request_t *r = &q->r;
	pick_finding_t *chosen;
	bool admitted;

	if (!find_route(q))
		return;
	find_account(q);
	admitted = check_account(q);
	q->findings = q->ops->survey(r, &chosen);
	list_targets(q, chosen);
	if (!admitted)
		return;
	if (!q->ops->drain_takes(r, 0)) {
		refuse(q, BSH_ERR_DRAINING, RETRY_ELSEWHERE_MS);
		return;
	}
	if (!check_access(q))
		return;
	if (!is_software_known(q))
		refuse(q, BSH_ERR_NOT_RESUMABLE, RETRY_DEFAULT_MS);
	else if (is_quarantined(r))
		refuse(q, BSH_ERR_QUARANTINED, -1);
	else if (is_passed_on(q))
		return;
	else if (chosen != NULL)
		decide_send(q, chosen);
	else
		decide_without_target(q);
}

static void init_request(question_t *q)
{
	traffic_t *t = q->ask->traffic;
	request_t *r = &q->r;

	r->traffic = t;
	r->state = REQUEST_ENDED; /* as of each request that arrives */
	r->info = q->ask->info;
	r->attempt = &r->attempts[0];
	r->arrived_us = bsh_loop_now_us(t->loop);
	r->arrived_boot_us = q->ops->boot_now_us();
	r->client_deadline_us = INT64_MAX;
}

void where_answer(where_ask_t *ask, const where_ops_t *ops)
{
	g_autofree question_t *q = g_new0(question_t, 1);
	const view_t *view = ask->traffic->view;

	q->ask = ask;
	q->ops = ops;
	q->answer = bsh_json_pack(
		"{s:s, s:I, s:n, s:n, s:n, s:[]}", "instance",
		ask->traffic->entry->settings.instance, "configuration",
		(json_int_t)(view != NULL ? view->catalog->version : 0),
		"route", "service", "account", "candidates");
	init_request(q);
	if (view == NULL) {
		refuse(q, BSH_ERR_STALE_CONFIG, RETRY_DEFAULT_MS);
	} else {
		q->r.catalog = view->catalog;
		decide(q);
		bsh_event_relay_finish(&q->r.relay);
	}
	if (q->findings != NULL)
		g_ptr_array_free(q->findings, TRUE);
	ask->answer = q->answer;
	bsh_loop_post(ask->loop, ask->on_answer, ask);
}
