#include "quarantine_store.h"

#include "base/json_text.h"
#include "base/log.h"
#include "base/name.h"

/* What the store has of a key. */
typedef struct {
	uint32_t written; /* ends in its object, by this instance; 0: unknown */
	uint32_t ends;	  /* that count now; 0: it is neither isolated nor
			   * quarantined */
	bool listed; /* its object was read, and is up to date until it is known
		      * better */
} known_t;

void quarantine_store_init(quarantine_store_t *qs, platform_store_t *store,
			   quarantine_listed_fn_t on_listed,
			   quarantine_owns_fn_t owns, void *ctx)
{
	*qs = (quarantine_store_t){
		.store = store,
		.on_listed = on_listed,
		.owns = owns,
		.ctx = ctx,
		.known = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free),
	};
}

void quarantine_store_finish(quarantine_store_t *qs)
{
	g_hash_table_destroy(qs->known);
}

static known_t *find_or_add(quarantine_store_t *qs, uint64_t key)
{
	known_t *known = g_hash_table_lookup(qs->known, &key);

	if (known != NULL ||
	    g_hash_table_size(qs->known) >= QUARANTINE_STORE_MAX)
		return known;
	known = g_new0(known_t, 1);
	g_hash_table_insert(qs->known, g_memdup2(&key, sizeof(key)), known);
	return known;
}

static void object_name(uint64_t key, char *name, size_t size)
{
	g_snprintf(name, size, "%016" G_GINT64_MODIFIER "x", key);
}

static json_t *encode_facts(const GArray *facts)
{
	int64_t now_ms = g_get_real_time() / 1000;
	json_t *ends = json_array();

	for (guint i = 0; i < facts->len; i++) {
		const bsh_suspect_fact_t *fact =
			&g_array_index(facts, bsh_suspect_fact_t, i);
		char process[20];

		if (fact->cleared)
			continue;
		object_name(fact->process, process, sizeof(process));
		json_array_append_new(
			ends,
			bsh_json_pack("{s:s, s:I, s:I}", "process", process,
				      "at_ms",
				      (json_int_t)(now_ms - fact->age_ms),
				      "ran_ms", (json_int_t)fact->ran_ms));
	}
	return bsh_json_pack("{s:o}", "ends", ends);
}

/* False: it was not written by this system. */
static bool decode_end(const json_t *end, int64_t now_ms,
		       bsh_suspect_fact_t *fact)
{
	const char *process =
		json_string_value(json_object_get(end, "process"));
	const json_t *at_ms = json_object_get(end, "at_ms");
	const json_t *ran_ms = json_object_get(end, "ran_ms");

	if (process == NULL || !json_is_integer(at_ms) ||
	    !json_is_integer(ran_ms))
		return false;
	fact->process = g_ascii_strtoull(process, NULL, 16);
	/* The clock of the instance that wrote it may be ahead. */
	fact->age_ms = (uint32_t)CLAMP(now_ms - json_integer_value(at_ms), 0,
				       UINT32_MAX);
	fact->ran_ms =
		(uint32_t)CLAMP(json_integer_value(ran_ms), 0, UINT32_MAX);
	return fact->process != 0;
}

static void decode_object(quarantine_store_t *qs,
			  const platform_object_t *object, GArray *facts)
{
	int64_t now_ms = g_get_real_time() / 1000;
	bsh_suspect_fact_t fact = { .key = g_ascii_strtoull(object->name, NULL,
							    16) };
	known_t *known = find_or_add(qs, fact.key);
	char name[BSH_LOG_TEXT_SIZE];
	const json_t *end;
	size_t i;

	if (fact.key == 0 || known == NULL)
		return;
	known->listed = true;
	json_array_foreach(json_object_get(object->spec, "ends"), i,
			   end) if (decode_end(end, now_ms, &fact))
		g_array_append_val(facts, fact);
	else bsh_log(BSH_LOG_WARNING, "suspect-not-decoded object=%s",
		     bsh_log_text(object->name, name));
}

static void on_list(void *ctx, const platform_answer_t *answer)
{
	quarantine_store_t *qs = ctx;
	g_autoptr(GArray) facts =
		g_array_new(FALSE, FALSE, sizeof(bsh_suspect_fact_t));

	qs->calling = false;
	if (answer->result != PLATFORM_DONE) {
		bsh_log(BSH_LOG_WARNING,
			"suspects-not-listed result=%s status=%d",
			platform_result_name(answer->result), answer->status);
		return;
	}
	qs->listed = true;
	for (uint32_t i = 0; i < answer->n; i++)
		decode_object(qs, &answer->objects[i], facts);
	bsh_log(BSH_LOG_INFO, "suspects-listed objects=%u ends=%u", answer->n,
		facts->len);
	qs->on_listed(qs->ctx, facts);
}

static void on_written(void *ctx, const platform_answer_t *answer)
{
	quarantine_store_t *qs = ctx;
	known_t *known = g_hash_table_lookup(qs->known, &qs->called_key);

	qs->calling = false;
	bsh_log(BSH_LOG_INFO,
		"suspect-stored key=%016" G_GINT64_MODIFIER
		"x result=%s status=%d",
		qs->called_key, platform_result_name(answer->result),
		answer->status);
	/* Tried again at the next tick. */
	if (answer->result != PLATFORM_DONE && known != NULL)
		known->written = 0;
}

static void on_deleted(void *ctx, const platform_answer_t *answer)
{
	quarantine_store_t *qs = ctx;

	qs->calling = false;
	bsh_log(BSH_LOG_INFO,
		"suspect-deleted key=%016" G_GINT64_MODIFIER
		"x result=%s status=%d",
		qs->called_key, platform_result_name(answer->result),
		answer->status);
	if (answer->result == PLATFORM_DONE ||
	    answer->result == PLATFORM_ABSENT)
		g_hash_table_remove(qs->known, &qs->called_key);
}

typedef struct {
	quarantine_store_t *qs;
	const bsh_quarantine_t *table;
	int64_t now_us;
} tick_t;

/* An object that exists already is replaced: another instance may have written
 * it before its rank changed. */
static void on_created(void *ctx, const platform_answer_t *answer)
{
	quarantine_store_t *qs = ctx;
	known_t *known = g_hash_table_lookup(qs->known, &qs->called_key);

	if (answer->result != PLATFORM_CONFLICT || known == NULL) {
		on_written(ctx, answer);
		return;
	}
	qs->calling = false;
	known->written = 1;
}

static void write_object(const tick_t *tick, uint64_t key, known_t *known)
{
	quarantine_store_t *qs = tick->qs;
	g_autoptr(GArray) facts =
		g_array_new(FALSE, FALSE, sizeof(bsh_suspect_fact_t));
	bool exists = known->written > 0;
	char name[20];

	bsh_quarantine_collect_key(tick->table, key, facts, tick->now_us);
	object_name(key, name, sizeof(name));
	qs->calling = true;
	qs->called_key = key;
	known->written = known->ends;
	if (exists)
		platform_store_replace(qs->store, PLATFORM_KIND_SUSPECTS, name,
				       0, encode_facts(facts), on_written, qs);
	else
		platform_store_create(qs->store, PLATFORM_KIND_SUSPECTS, name,
				      encode_facts(facts), on_created, qs);
}

static void delete_object(quarantine_store_t *qs, uint64_t key)
{
	char name[20];

	object_name(key, name, sizeof(name));
	qs->calling = true;
	qs->called_key = key;
	platform_store_delete(qs->store, PLATFORM_KIND_SUSPECTS, name, 0,
			      on_deleted, qs);
}

static void note_isolated(void *ctx, uint64_t key, uint32_t ends)
{
	const tick_t *tick = ctx;
	known_t *known = find_or_add(tick->qs, key);

	if (known == NULL)
		return;
	known->ends = ends;
	if (known->listed)
		known->written = ends;
	known->listed = false;
}

static void call_one(const tick_t *tick)
{
	quarantine_store_t *qs = tick->qs;
	GHashTableIter iter;
	void *key_ptr;
	void *value;

	g_hash_table_iter_init(&iter, qs->known);
	while (g_hash_table_iter_next(&iter, &key_ptr, &value)) {
		uint64_t key = *(const uint64_t *)key_ptr;
		known_t *known = value;

		if (!qs->owns(qs->ctx, key)) {
			/* Its owner deletes it. */
			if (known->ends == 0)
				g_hash_table_iter_remove(&iter);
			continue;
		}
		if (known->ends == 0) {
			delete_object(qs, key);
			return;
		}
		if (known->written < known->ends) {
			write_object(tick, key, known);
			return;
		}
	}
}

void quarantine_store_tick(quarantine_store_t *qs,
			   const bsh_quarantine_t *table, int64_t now_us)
{
	tick_t tick = { qs, table, now_us };
	GHashTableIter iter;
	void *value;

	if (qs->calling)
		return;
	if (!qs->listed) {
		qs->calling = true;
		qs->called_key = 0;
		platform_store_list(qs->store, PLATFORM_KIND_SUSPECTS, NULL,
				    false, on_list, qs);
		return;
	}
	g_hash_table_iter_init(&iter, qs->known);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((known_t *)value)->ends = 0;
	bsh_quarantine_foreach_isolated(table, now_us, note_isolated, &tick);
	call_one(&tick);
}

void quarantine_store_restored(quarantine_store_t *qs)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, qs->known);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((known_t *)value)->written = 0;
}
