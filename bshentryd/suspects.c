/* Requests under which processes of targets have ended: what this instance has
 * seen of them, and whether a request may be sent. */
#include "traffic.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "coordination/rendezvous.h"

/* A request with several isolated parts in its prompt waits this long for the
 * others to be cleared, so that the next end or answer tells which of them it was. */
#define SEVERAL_HELD_US INT64_C(1000000)
/* Longest wait of a request after the start for what other instances know. */
#define START_HELD_MAX_US INT64_C(1000000)
/* Longest wait of an instance until it is its turn to send an isolated request;
 * an end or an answer at another one is known here within some 50 ms. */
#define TURN_MAX_US UINT64_C(1000000)
/* Longest wait of a request for others with the same key. */
#define HELD_MAX_US INT64_C(2000000)
/* Time in which a lost connection is found to be the end of a process. */
#define VERDICT_US INT64_C(50000)

static bsh_counter_t refused =
	BSH_COUNTER("bsh_requests_quarantined_total",
		    "Requests refused as processes of targets ended under "
		    "them.");
static bsh_counter_t held_counter =
	BSH_COUNTER("bsh_requests_isolated_total",
		    "Suspected requests that were held back or sent alone.");
static bsh_counter_t quarantined_gauge =
	BSH_GAUGE("bsh_suspects_quarantined",
		  "Requests and prompt parts that are refused.");

/* Requests that wait look again without a wait for the next view: what they wait
 * for may be quarantined, or out of reach. */
static void on_recheck(void *traffic)
{
	traffic_retry_waiting(traffic);
}

void suspects_init(traffic_t *t)
{
	bsh_counter_register(&refused);
	bsh_counter_register(&held_counter);
	bsh_counter_register(&quarantined_gauge);
	bsh_quarantine_init(&t->quarantine, BSH_SUSPECTS_MAX);
	t->isolated = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->probes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  NULL);
	bsh_loop_task_init(&t->recheck_task, t->loop, on_recheck, t);
}

void suspects_finish(traffic_t *t)
{
	bsh_loop_task_cancel(&t->recheck_task);
	bsh_quarantine_finish(&t->quarantine);
	g_hash_table_destroy(t->isolated);
	g_hash_table_destroy(t->probes);
}

/* Value of a header that the caller sent; NULL: none. */
static const char *find_header(const GPtrArray *headers, const char *name)
{
	size_t size = strlen(name);

	for (guint i = 0; i < headers->len; i++) {
		const char *line = g_ptr_array_index(headers, i);

		if (g_ascii_strncasecmp(line, name, size) == 0 &&
		    line[size] == ':')
			return g_str_has_prefix(line + size, ": ")
				       ? line + size + 2
				       : line + size + 1;
	}
	return NULL;
}

static uint64_t request_key(const request_t *r)
{
	uint64_t parts[BSH_PROMPT_PARTS_MAX];
	char digest[BSH_ACCOUNT_KEY_HEX_SIZE];
	bsh_suspect_request_t request = {
		.method = r->method,
		.host = find_header(r->info.headers, "Host"),
		.path = r->path,
		.credential = find_header(r->info.credentials, "Authorization"),
		.model = r->info.model_name,
		.parts = parts,
		.n_parts = MAX(r->info.n_parts, 1) - 1,
		.body = r->body,
		.body_bytes = r->body_bytes,
	};

	/* An instance to which the request was passed on knows the digest
	 * alone. */
	if (r->catalog->accounts != NULL && r->info.has_key) {
		bsh_account_key_encode(&r->info.key, digest);
		request.credential = digest;
	}
	for (uint32_t i = 0; i < request.n_parts; i++)
		parts[i] = r->info.parts[i].id;
	return bsh_suspect_request_key(r->traffic->entry->settings.key,
				       r->service->name, &request);
}

static void find_keys(request_t *r)
{
	const bsh_request_info_t *info = &r->info;

	if (r->suspect_service == r->service)
		return;
	r->suspect_service = r->service;
	r->n_suspect_keys = 0;
	for (uint32_t i = 0; i + 1 < info->n_parts; i++)
		r->suspect_keys[r->n_suspect_keys++] = bsh_suspect_part_key(
			r->service->name, info->parts[i].id);
	r->suspect_keys[r->n_suspect_keys++] = request_key(r);
}

static void log_state(traffic_t *t, const bsh_suspect_fact_t *fact,
		      bsh_suspect_state_t before, const char *source)
{
	bsh_suspect_info_t info;

	bsh_quarantine_info(&t->quarantine, fact->key, traffic_now_us(t),
			    &info);
	if (info.state == before)
		return;
	bsh_log(BSH_LOG_INFO,
		"suspect key=%016" G_GINT64_MODIFIER
		"x kind=%s state=%s before=%s ends=%u "
		"process=%016" G_GINT64_MODIFIER
		"x cleared=%d age_ms=%u source=%s",
		fact->key, bsh_suspect_kind_name(fact->key),
		bsh_suspect_state_name(info.state),
		bsh_suspect_state_name(before), info.ends, fact->process,
		fact->cleared, fact->age_ms, source);
	if (info.state != BSH_SUSPECT_QUARANTINED &&
	    before != BSH_SUSPECT_QUARANTINED)
		return;
	bsh_counter_set(&quarantined_gauge,
			bsh_quarantine_count(&t->quarantine,
					     BSH_SUSPECT_QUARANTINED,
					     traffic_now_us(t)));
	if (info.state == BSH_SUSPECT_QUARANTINED)
		bsh_loop_task_schedule(&t->recheck_task);
}

/* Merges a fact; false if it was known. */
static bool merge(traffic_t *t, const bsh_suspect_fact_t *fact,
		  const char *source)
{
	int64_t now_us = traffic_now_us(t);
	bsh_suspect_state_t before =
		bsh_quarantine_state(&t->quarantine, fact->key, now_us);

	if (!bsh_quarantine_merge(&t->quarantine, fact, now_us))
		return false;
	log_state(t, fact, before, source);
	return true;
}

static void post_facts(traffic_t *t, GArray *facts)
{
	control_suspect_facts_msg_t *message;

	if (facts->len == 0) {
		g_array_free(facts, TRUE);
		return;
	}
	message = g_new0(control_suspect_facts_msg_t, 1);
	message->control = t->entry->control;
	message->facts = facts;
	bsh_loop_post(&t->entry->control_loop, control_suspect_facts, message);
}

void suspects_of(const attempt_t *a, suspects_t *suspects)
{
	request_t *r = a->request;

	find_keys(r);
	suspects->sent_us = a->began_us;
	suspects->n = r->n_suspect_keys;
	memcpy(suspects->keys, r->suspect_keys, sizeof(suspects->keys));
}

void suspects_accuse(traffic_t *t, const suspects_t *suspects, uint64_t process,
		     int64_t end_us)
{
	int64_t now_us = traffic_now_us(t);
	GArray *facts = g_array_new(FALSE, FALSE, sizeof(bsh_suspect_fact_t));

	for (uint32_t i = 0; i < suspects->n; i++) {
		bsh_suspect_fact_t fact = {
			.key = suspects->keys[i],
			.process = process,
			.age_ms = (uint32_t)((now_us - end_us) / 1000),
			.ran_ms =
				(uint32_t)((end_us - suspects->sent_us) / 1000),
		};

		if (merge(t, &fact, "own"))
			g_array_append_val(facts, fact);
	}
	post_facts(t, facts);
}

/* The worst state of a key of the request. */
static bsh_suspect_state_t worst_state(request_t *r)
{
	const traffic_t *t = r->traffic;
	bsh_suspect_state_t worst = BSH_SUSPECT_NORMAL;

	if (bsh_quarantine_size(&t->quarantine) == 0)
		return BSH_SUSPECT_NORMAL;
	find_keys(r);
	for (uint32_t i = 0; i < r->n_suspect_keys; i++)
		worst = MAX(worst, bsh_quarantine_state(&t->quarantine,
							r->suspect_keys[i],
							traffic_now_us(t)));
	return worst;
}

bool suspects_are_accused(request_t *r)
{
	return worst_state(r) != BSH_SUSPECT_NORMAL;
}

bool suspects_risk_second(request_t *r)
{
	return worst_state(r) >= BSH_SUSPECT_ISOLATED;
}

void suspects_clear(traffic_t *t, const suspects_t *suspects)
{
	int64_t now_us = traffic_now_us(t);
	GArray *facts;

	if (bsh_quarantine_size(&t->quarantine) == 0)
		return;
	facts = g_array_new(FALSE, FALSE, sizeof(bsh_suspect_fact_t));
	for (uint32_t i = 0; i < suspects->n; i++) {
		uint64_t key = suspects->keys[i];
		bsh_suspect_state_t before =
			bsh_quarantine_state(&t->quarantine, key, now_us);

		if (bsh_quarantine_clear(&t->quarantine, key, suspects->sent_us,
					 now_us, facts) > 0)
			log_state(t,
				  &g_array_index(facts, bsh_suspect_fact_t,
						 facts->len - 1),
				  before, "own");
	}
	post_facts(t, facts);
}

void traffic_probe_suspect(void *data)
{
	traffic_probe_msg_t *message = data;

	bsh_log(BSH_LOG_INFO, "suspect-probe key=%016" G_GINT64_MODIFIER "x",
		message->key);
	g_hash_table_add(message->traffic->probes,
			 g_memdup2(&message->key, sizeof(message->key)));
	g_free(message);
}

void traffic_merge_suspect_facts(void *data)
{
	traffic_suspect_facts_msg_t *message = data;

	for (guint i = 0; i < message->facts->len; i++)
		merge(message->traffic,
		      &g_array_index(message->facts, bsh_suspect_fact_t, i),
		      "peer");
	g_array_free(message->facts, TRUE);
	g_free(message);
}

static void log_refusal(const request_t *r, uint32_t i)
{
	const traffic_t *t = r->traffic;
	int64_t now_us = traffic_now_us(t);
	uint64_t key = r->suspect_keys[i];
	char part[32] = "-";
	bsh_suspect_info_t info;

	if (bsh_suspect_kind(key) == BSH_SUSPECT_PROMPT_PART)
		g_snprintf(part, sizeof(part), "%" G_GINT64_MODIFIER "x",
			   r->info.parts[i].id);
	bsh_quarantine_info(&t->quarantine, key, now_us, &info);
	bsh_counter_add(&refused, 1);
	bsh_log(BSH_LOG_INFO,
		"request-quarantined id=%s kind=%s part=%s "
		"key=%016" G_GINT64_MODIFIER
		"x ends=%u process=%016" G_GINT64_MODIFIER "x end_age_ms=%d",
		r->info.log_id, bsh_suspect_kind_name(key), part, key,
		info.ends, info.process, (int)((now_us - info.end_us) / 1000));
}

static void log_held(const request_t *r, const char *reason)
{
	bsh_counter_add(&held_counter, 1);
	bsh_log(BSH_LOG_INFO,
		"request-isolated id=%s key=%016" G_GINT64_MODIFIER
		"x isolated_keys=%u reason=%s",
		r->info.log_id, r->isolated[0], r->n_isolated, reason);
}

/* True if a request that runs has one of the isolated keys. */
static bool must_wait(const request_t *r)
{
	for (uint32_t i = 0; i < r->n_isolated; i++) {
		const request_t *other = g_hash_table_lookup(
			r->traffic->isolated, &r->isolated[i]);

		if (other != NULL && other != r)
			return true;
	}
	return false;
}

/* Wait of this instance for the others, so that not all of them send an isolated
 * request at once; 0 for a part of a prompt that is not as good as quarantined:
 * many sound requests share it. */
static int64_t turn_us(const request_t *r, uint64_t key)
{
	const traffic_t *t = r->traffic;
	bsh_suspect_info_t info;

	bsh_quarantine_info(&t->quarantine, key, traffic_now_us(t), &info);
	if (bsh_suspect_kind(key) == BSH_SUSPECT_PROMPT_PART &&
	    info.ends < BSH_SUSPECT_QUARANTINE_ENDS)
		return 0;
	return (int64_t)(bsh_rendezvous_score(key, t->entry->incarnation) %
			 TURN_MAX_US);
}

/* Finds the isolated keys; false if the request is refused for one.  Quarantined
 * keys count as isolated if the least of them is to be probed: instances probe
 * different keys, but all agree on the least. */
static bool find_isolated(request_t *r)
{
	const traffic_t *t = r->traffic;
	uint32_t refused_at = 0;
	uint64_t least_key = 0;

	find_keys(r);
	r->turn_us = 0;
	for (uint32_t i = 0; i < r->n_suspect_keys; i++) {
		uint64_t key = r->suspect_keys[i];
		bsh_suspect_state_t state = bsh_quarantine_state_in(
			&t->quarantine, key, r->suspect_keys, r->n_suspect_keys,
			traffic_now_us(t));

		if (state == BSH_SUSPECT_QUARANTINED &&
		    (least_key == 0 || key < least_key)) {
			least_key = key;
			refused_at = i;
		}
		if (state >= BSH_SUSPECT_ISOLATED)
			r->isolated[r->n_isolated++] = key;
		if (state == BSH_SUSPECT_ISOLATED)
			r->turn_us = MAX(r->turn_us, turn_us(r, key));
	}
	if (least_key == 0 || g_hash_table_contains(t->probes, &least_key))
		return true;
	r->n_isolated = 0;
	log_refusal(r, refused_at);
	return false;
}

/* True if others with one of the isolated parts may show which of them it is. */
static bool has_several_parts(const request_t *r)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < r->n_isolated; i++)
		n += bsh_suspect_kind(r->isolated[i]) ==
		     BSH_SUSPECT_PROMPT_PART;
	return n > 1;
}

static suspect_t check_isolated(request_t *r)
{
	int64_t now_us = traffic_now_us(r->traffic);
	int64_t held_us;

	if (r->held_since_us == 0) {
		r->held_since_us = now_us;
		log_held(r, must_wait(r) ? "others-run" : "alone");
	}
	held_us = now_us - r->held_since_us;
	if (must_wait(r) || (has_several_parts(r) && held_us < SEVERAL_HELD_US))
		return held_us < HELD_MAX_US ? SUSPECT_HELD : SUSPECT_EXPIRED;
	return SUSPECT_NONE;
}

/* True at the start of the process until the others have told what they know. */
static bool must_ask_first(const request_t *r)
{
	return !__atomic_load_n(&r->traffic->entry->suspects_known,
				__ATOMIC_ACQUIRE) &&
	       traffic_now_us(r->traffic) - r->arrived_us < START_HELD_MAX_US;
}

suspect_t suspects_check(request_t *r)
{
	const traffic_t *t = r->traffic;

	suspects_release(r);
	r->n_isolated = 0;
	if (must_ask_first(r))
		return SUSPECT_HELD;
	if (bsh_quarantine_size(&t->quarantine) == 0)
		return SUSPECT_NONE;
	if (traffic_now_us(t) < r->verdict_us)
		return SUSPECT_HELD;
	if (!find_isolated(r))
		return SUSPECT_QUARANTINED;
	return r->n_isolated > 0 ? check_isolated(r) : SUSPECT_NONE;
}

bool suspects_has_turn(request_t *r)
{
	int64_t now_us = traffic_now_us(r->traffic);

	if (r->turn_us == 0)
		return true;
	if (r->turn_since_us == 0)
		r->turn_since_us = now_us;
	return now_us - r->turn_since_us >= r->turn_us;
}

void suspects_await_verdict(request_t *r)
{
	if (suspects_are_accused(r))
		r->verdict_us = traffic_now_us(r->traffic) + VERDICT_US;
}

void suspects_sent(request_t *r)
{
	for (uint32_t i = 0; i < r->n_isolated; i++) {
		g_hash_table_replace(r->traffic->isolated, &r->isolated[i], r);
		g_hash_table_remove(r->traffic->probes, &r->isolated[i]);
	}
}

void suspects_release(const request_t *r)
{
	for (uint32_t i = 0; i < r->n_isolated; i++)
		if (g_hash_table_lookup(r->traffic->isolated,
					&r->isolated[i]) == r)
			g_hash_table_remove(r->traffic->isolated,
					    &r->isolated[i]);
}
