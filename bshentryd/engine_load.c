/* Load of the engines: estimates of the prefill work of requests, and what is
 * open at each target by this instance and by the others. */
#include "traffic.h"

/* Estimated time to the first byte apart from prefill work. */
#define FIRST_BYTE_FIXED_US 10000.0
/* A refused connection counts until the list shows another process, at most for
 * this time: the list may be a few seconds old. */
#define REFUSED_MAX_US INT64_C(5000000)
/* It is reported to the lease holder for this time, as a report may be lost. */
#define REFUSED_REPORT_US INT64_C(600000)
/* Prompt length that is assumed if the caller names none. */
#define PROMPT_DEFAULT_TOKENS 500U

/* Tokens of the prompt parts that other requests share: all but the last part,
 * which belongs to the request or its session. */
static uint32_t shared_tokens(const bsh_request_info_t *info)
{
	uint64_t tokens = 0;

	for (uint32_t i = 0; i + 1 < info->n_parts; i++)
		tokens += info->parts[i].tokens;
	return (uint32_t)MIN(tokens, info->prompt_tokens);
}

/* A prompt of an absurd length counts as one that fills the KV cache. */
static uint32_t prompt_tokens(const request_t *r)
{
	uint32_t tokens = r->info.prompt_tokens;

	if (tokens == 0)
		tokens = PROMPT_DEFAULT_TOKENS;
	if (r->service->kv_capacity_tokens > 0)
		tokens = MIN(tokens, r->service->kv_capacity_tokens);
	return tokens;
}

void engine_load_work(const request_t *r, bsh_target_work_t *work)
{
	uint32_t tokens;
	double token_us;

	work->prefill_us = 0.0;
	work->shared_us = 0.0;
	if (!demand_is_counted(r))
		return;
	tokens = prompt_tokens(r);
	token_us = bsh_prefill_token_us(&r->traffic->prefill, r->info.model);
	work->prefill_us = token_us * tokens;
	work->shared_us = token_us * MIN(shared_tokens(&r->info), tokens);
}

void engine_load_began(attempt_t *a, int64_t took_us)
{
	const request_t *r = a->request;
	traffic_t *t = r->traffic;
	bsh_pace_answer_t answer = { .took_us = took_us,
				     .expected_us = a->expected_us };

	bsh_target_first_byte(&a->target->record, took_us, a->expected_us,
			      traffic_now_us(t));
	if (a->expected_us > 0.0)
		bsh_prefill_observe(
			&t->prefill, r->info.model, a->uncached_tokens, took_us,
			a->expected_us - FIRST_BYTE_FIXED_US - a->work_us);
	pace_answered(&t->pace, &a->target->pace, a->target_id, &answer,
		      traffic_now_us(t));
	engine_load_ended(a);
}

void engine_load_ended(attempt_t *a)
{
	bsh_target_work_done(&a->target->record, a->work_us);
	a->work_us = 0.0;
	a->expected_us = 0.0;
}

void engine_load_started(attempt_t *a, const bsh_target_candidate_t *candidate)
{
	const request_t *r = a->request;
	int64_t now_us = traffic_now_us(r->traffic);
	bsh_target_work_t work;

	engine_load_work(r, &work);
	a->work_us = 0.0;
	a->expected_us = 0.0;
	if (work.prefill_us > 0.0) {
		a->work_us = bsh_target_own_us(candidate, &work);
		a->expected_us =
			FIRST_BYTE_FIXED_US + a->work_us +
			bsh_target_ahead_us(&a->target->record, now_us);
		a->uncached_tokens = (uint32_t)(prompt_tokens(r) * a->work_us /
						work.prefill_us);
	}
	bsh_target_started(&a->target->record, a->work_us, now_us);
}

static bsh_load_entry_t *find_entry(GArray *entries, uint32_t target)
{
	bsh_load_entry_t entry = { .target = target };

	for (guint i = 0; i < entries->len; i++) {
		bsh_load_entry_t *known =
			&g_array_index(entries, bsh_load_entry_t, i);

		if (known->target == target)
			return known;
	}
	g_array_append_val(entries, entry);
	return &g_array_index(entries, bsh_load_entry_t, entries->len - 1);
}

static void note_reported(traffic_t *t)
{
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, t->targets);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		target_state_t *target = data;

		target->record.reported_us = target->record.work_us;
		target->record.reported_running = target->record.running;
	}
}

static void add_attempt(GArray *entries, const attempt_t *a)
{
	bsh_load_entry_t *entry;

	if (!a->active)
		return;
	entry = find_entry(entries, a->target->key);
	entry->work_ms += (uint32_t)(a->work_us / 1000.0);
	entry->running++;
}

GArray *engine_load_collect(traffic_t *t)
{
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(bsh_load_entry_t));

	for (GList *l = t->requests.head; l != NULL; l = l->next) {
		const request_t *r = l->data;

		if (!demand_is_counted(r))
			continue;
		for (size_t i = 0; i < G_N_ELEMENTS(r->attempts); i++)
			add_attempt(entries, &r->attempts[i]);
	}
	note_reported(t);
	bsh_load_sort(entries);
	return entries;
}

bool engine_load_has_ended(const target_state_t *state, uint64_t started_ms,
			   int64_t now_us)
{
	return state->refused_us > 0 &&
	       state->refused_started_ms == started_ms &&
	       now_us - state->refused_us < REFUSED_MAX_US;
}

GArray *engine_load_refused(traffic_t *t)
{
	int64_t now_us = traffic_now_us(t);
	GArray *keys = NULL;
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, t->targets);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const target_state_t *state = data;
		uint32_t key = GUINT32_TO_BE(state->key);

		if (state->refused_us == 0 ||
		    now_us - state->refused_us > REFUSED_REPORT_US)
			continue;
		if (keys == NULL)
			keys = g_array_new(FALSE, FALSE, sizeof(key));
		g_array_append_val(keys, key);
	}
	return keys;
}

void traffic_set_loads(void *data)
{
	traffic_loads_msg_t *message = data;
	traffic_t *t = message->traffic;
	g_autoptr(GHashTable) sums =
		g_hash_table_new(g_direct_hash, g_direct_equal);
	int64_t now_us = traffic_now_us(t);
	GHashTableIter iter;
	void *item;

	for (guint i = 0; i < message->entries->len; i++) {
		bsh_load_entry_t *entry =
			&g_array_index(message->entries, bsh_load_entry_t, i);

		g_hash_table_insert(sums, GUINT_TO_POINTER(entry->target),
				    entry);
	}
	g_hash_table_iter_init(&iter, t->targets);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		target_state_t *target = item;
		const bsh_load_entry_t *sum = g_hash_table_lookup(
			sums, GUINT_TO_POINTER(target->key));

		bsh_target_set_others(&target->record,
				      sum != NULL ? sum->work_ms * 1e3 : 0.0,
				      sum != NULL ? sum->running : 0, now_us);
	}
	g_array_free(message->entries, TRUE);
	g_free(message);
}
