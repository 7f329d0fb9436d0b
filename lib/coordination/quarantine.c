#include "coordination/quarantine.h"

#include <string.h>

/* How long keys of a kind are quarantined without a further end, and how often
 * they are tried meanwhile. */
typedef struct {
	int64_t quarantine_us;
	uint32_t probes_max;
} policy_t;

static const policy_t policies[] = {
	[BSH_SUSPECT_PROMPT_PART] = { BSH_QUARANTINE_US, UINT32_MAX },
	[BSH_SUSPECT_REQUEST] = { BSH_QUARANTINE_REQUEST_US, 1 },
};

/* A key that is cleared of all ends is kept for this time, so that an instance
 * that knows only the ends does not accuse it again. */
#define CLEARED_MEMORY_US INT64_C(60000000)
/* Times of an end differ between instances by the delay of messages.  What was
 * dropped to make room is not added again when others send it. */
#define DROPPED_MARGIN_US INT64_C(500000)

/* An attempt that was sent at once after an end may seem to be this much older,
 * by the rounding of ages. */
#define SENT_TOLERANCE_US INT64_C(2000)
/* The same request may be known to end this much earlier elsewhere. */
#define PROBE_TOLERANCE_US INT64_C(250000)

/* An end of a process at which a request with the key was beginning. */
typedef struct {
	uint64_t process;
	int64_t end_us;
	int64_t ran_us; /* the attempt that was there; of several: least */
	bool cleared;
} end_t;

typedef struct {
	uint64_t key;
	int64_t dropped_us; /* latest end that was dropped; 0: none */
	uint32_t n;
	end_t ends[BSH_SUSPECT_ENDS_MAX]; /* the earliest first */
} record_t;

void bsh_quarantine_init(bsh_quarantine_t *quarantine, uint32_t limit)
{
	quarantine->records = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
	quarantine->limit = limit;
	quarantine->dropped_us = 0;
}

void bsh_quarantine_finish(bsh_quarantine_t *quarantine)
{
	g_hash_table_destroy(quarantine->records);
}

const char *bsh_suspect_state_name(bsh_suspect_state_t state)
{
	static const char *const names[] = { "normal", "accused", "isolated",
					     "quarantined" };

	return names[state];
}

static int64_t sent_us(const end_t *end)
{
	return end->end_us - end->ran_us;
}

/* The next end that counts after this one, NULL: the first.  Counted are the first
 * end of which the key is not cleared, and each one at which the request was sent
 * after the counted one before. */
static const end_t *next_counted(const record_t *record, const end_t *counted)
{
	const end_t *end = counted != NULL ? counted + 1 : record->ends;

	for (; end < record->ends + record->n; end++)
		if (!end->cleared &&
		    (counted == NULL ||
		     sent_us(end) + SENT_TOLERANCE_US >= counted->end_us))
			return end;
	return NULL;
}

/* *last, unless NULL, is the last counted end. */
static uint32_t count_ends(const record_t *record, const end_t **last)
{
	const end_t *counted = NULL;
	const end_t *end;
	uint32_t n = 0;

	while ((end = next_counted(record, counted)) != NULL) {
		counted = end;
		n++;
	}
	if (last != NULL)
		*last = counted;
	return n;
}

/* The number of ends from which the state follows.  A request that comes again is
 * at several processes at once more rarely than the first part of a prompt: after
 * two separate events each end counts. */
static uint32_t weigh_ends(const record_t *record, const end_t **last)
{
	uint32_t n = count_ends(record, last);

	if (bsh_suspect_kind(record->key) != BSH_SUSPECT_REQUEST ||
	    n < BSH_SUSPECT_ISOLATE_ENDS)
		return n;
	n = 0;
	for (uint32_t i = 0; i < record->n; i++)
		n += !record->ends[i].cleared;
	return n;
}

static bool was_at(const record_t *record, uint64_t process)
{
	for (uint32_t i = 0; i < record->n; i++)
		if (record->ends[i].process == process)
			return !record->ends[i].cleared;
	return false;
}

static const policy_t *policy_of(uint64_t key)
{
	/* Another instance may have a newer version, with a further kind. */
	return &policies[MIN((size_t)bsh_suspect_kind(key),
			     G_N_ELEMENTS(policies) - 1)];
}

static bool is_among(uint64_t key, const uint64_t *keys, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		if (keys[i] == key)
			return true;
	return false;
}

/* Ends that count for the key and at which the other one was, too. */
static uint32_t count_common(const record_t *record, const record_t *other)
{
	const end_t *counted = NULL;
	uint32_t n = 0;

	while ((counted = next_counted(record, counted)) != NULL)
		n += was_at(other, counted->process);
	return n;
}

/* True if the other key explains the ends of this one as well.  Processes end for
 * other reasons, too: a part may have missed one end of several, but not the last:
 * while sound parts count as rivals the bad one goes on ending processes. */
static bool is_rival(const record_t *record, uint32_t ends,
		     uint64_t last_process, const record_t *other)
{
	bsh_suspect_kind_t kind = bsh_suspect_kind(record->key);
	bsh_suspect_kind_t other_kind = bsh_suspect_kind(other->key);

	if (other == record || other_kind < kind)
		return false;
	if (!was_at(other, last_process))
		return false;
	if (other_kind == BSH_SUSPECT_PROMPT_PART) {
		uint32_t common = count_common(record, other);

		return common >= BSH_SUSPECT_ISOLATE_ENDS && common + 1 >= ends;
	}
	return weigh_ends(other, NULL) >= ends;
}

/* True if the key has a rival other than these keys. */
static bool has_rival(const bsh_quarantine_t *quarantine,
		      const record_t *record, uint32_t ends,
		      uint64_t last_process, const uint64_t *keys, uint32_t n)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const record_t *other = value;

		if (!is_among(other->key, keys, n) &&
		    is_rival(record, ends, last_process, other))
			return true;
	}
	return false;
}

static int64_t last_end_us(const record_t *record)
{
	return record->n > 0 ? record->ends[record->n - 1].end_us : 0;
}

static bool may_quarantine(const record_t *record, int64_t now_us)
{
	return weigh_ends(record, NULL) >= BSH_SUSPECT_QUARANTINE_ENDS &&
	       now_us - last_end_us(record) <=
		       policy_of(record->key)->quarantine_us;
}

/* The state of the key for a request with these keys. */
static bsh_suspect_state_t state_of(const bsh_quarantine_t *quarantine,
				    const record_t *record,
				    const uint64_t *keys, uint32_t n_keys,
				    int64_t now_us)
{
	const end_t *last;
	uint32_t n = weigh_ends(record, &last);

	if (n == 0)
		return BSH_SUSPECT_NORMAL;
	if (n < BSH_SUSPECT_ISOLATE_ENDS)
		return BSH_SUSPECT_ACCUSED;
	if (!may_quarantine(record, now_us) ||
	    has_rival(quarantine, record, n, last->process, keys, n_keys))
		return BSH_SUSPECT_ISOLATED;
	return BSH_SUSPECT_QUARANTINED;
}

static record_t *find(const bsh_quarantine_t *quarantine, uint64_t key)
{
	return g_hash_table_lookup(quarantine->records, &key);
}

static bool is_expired(const record_t *record, int64_t now_us)
{
	int64_t age_us = now_us - last_end_us(record);
	uint32_t n = weigh_ends(record, NULL);

	if (n == 0)
		return age_us > CLEARED_MEMORY_US;
	if (n < BSH_SUSPECT_QUARANTINE_ENDS)
		return age_us > BSH_SUSPECT_MEMORY_US;
	return age_us >
	       policy_of(record->key)->quarantine_us + BSH_SUSPECT_MEMORY_US;
}

void bsh_quarantine_expire(bsh_quarantine_t *quarantine, int64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_expired(value, now_us))
			g_hash_table_iter_remove(&iter);
}

/* Makes room by dropping the key with the fewest ends, of these the one whose
 * last end is the oldest. */
static void drop_least(bsh_quarantine_t *quarantine)
{
	record_t *least = NULL;
	uint32_t least_ends = UINT32_MAX;
	int64_t least_us = INT64_MAX;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;
		uint32_t n = weigh_ends(record, NULL);
		int64_t at_us = last_end_us(record);

		if (n > least_ends || (n == least_ends && at_us >= least_us))
			continue;
		least = record;
		least_ends = n;
		least_us = at_us;
	}
	if (least == NULL)
		return;
	quarantine->dropped_us = MAX(quarantine->dropped_us, least_us);
	g_hash_table_remove(quarantine->records, &least->key);
}

/* NULL: there is no room for a key that was at an end as long ago. */
static record_t *find_or_add(bsh_quarantine_t *quarantine, uint64_t key,
			     int64_t end_us, int64_t now_us)
{
	record_t *record = find(quarantine, key);

	if (record != NULL)
		return record;
	if (g_hash_table_size(quarantine->records) >= quarantine->limit)
		bsh_quarantine_expire(quarantine, now_us);
	if (g_hash_table_size(quarantine->records) >= quarantine->limit) {
		if (quarantine->dropped_us > 0 &&
		    end_us <= quarantine->dropped_us + DROPPED_MARGIN_US)
			return NULL;
		drop_least(quarantine);
	}
	record = g_new0(record_t, 1);
	record->key = key;
	g_hash_table_insert(quarantine->records, &record->key, record);
	return record;
}

/* Adds an end, in place of the earliest one if there is no room.  False: it is
 * older than what was dropped. */
static bool insert_end(record_t *record, const end_t *end)
{
	uint32_t at;

	if (record->dropped_us > 0 &&
	    end->end_us <= record->dropped_us + DROPPED_MARGIN_US)
		return false;
	if (record->n == BSH_SUSPECT_ENDS_MAX) {
		record->dropped_us = record->ends[0].end_us;
		memmove(&record->ends[0], &record->ends[1],
			(record->n - 1) * sizeof(record->ends[0]));
		record->n--;
	}
	for (at = record->n;
	     at > 0 && record->ends[at - 1].end_us > end->end_us; at--)
		record->ends[at] = record->ends[at - 1];
	record->ends[at] = *end;
	record->n++;
	return true;
}

static end_t *find_process(record_t *record, uint64_t process)
{
	for (uint32_t i = 0; i < record->n; i++)
		if (record->ends[i].process == process)
			return &record->ends[i];
	return NULL;
}

bool bsh_quarantine_merge(bsh_quarantine_t *quarantine,
			  const bsh_suspect_fact_t *fact, int64_t now_us)
{
	end_t end = { fact->process, now_us - fact->age_ms * INT64_C(1000),
		      fact->ran_ms * INT64_C(1000), fact->cleared };
	record_t *record;
	end_t *known;

	if (fact->key == 0 || fact->process == 0 ||
	    now_us - end.end_us >
		    policy_of(fact->key)->quarantine_us + BSH_SUSPECT_MEMORY_US)
		return false;
	record = find_or_add(quarantine, fact->key, end.end_us, now_us);
	if (record == NULL)
		return false;
	known = find_process(record, fact->process);
	if (known == NULL)
		return insert_end(record, &end);
	/* The time of the end stays as first learnt: each message adds its delay
	 * to an age, but not to a duration. */
	if (known->cleared || (!end.cleared && end.ran_us >= known->ran_us))
		return false;
	known->cleared = end.cleared;
	known->ran_us = MIN(known->ran_us, end.ran_us);
	return true;
}

bsh_suspect_state_t bsh_quarantine_state_in(const bsh_quarantine_t *quarantine,
					    uint64_t key, const uint64_t *keys,
					    uint32_t n, int64_t now_us)
{
	const record_t *record = find(quarantine, key);

	if (record == NULL || is_expired(record, now_us))
		return BSH_SUSPECT_NORMAL;
	return state_of(quarantine, record, keys, n, now_us);
}

bsh_suspect_state_t bsh_quarantine_state(const bsh_quarantine_t *quarantine,
					 uint64_t key, int64_t now_us)
{
	return bsh_quarantine_state_in(quarantine, key, &key, 1, now_us);
}

/* Time from the last end to the next request that is sent; INT64_MAX: none is.
 * Of a part only ends of such requests lengthen it: while it had rivals there may
 * have been many others. */
static int64_t probe_after_us(const record_t *record)
{
	int64_t after_us = BSH_PROBE_FIRST_US;
	const end_t *before = NULL;
	const end_t *end;
	uint32_t failed = 0;
	uint32_t n = 0;

	while ((end = next_counted(record, before)) != NULL) {
		if (n++ >= BSH_SUSPECT_QUARANTINE_ENDS &&
		    (bsh_suspect_kind(record->key) == BSH_SUSPECT_REQUEST ||
		     end->end_us - before->end_us + PROBE_TOLERANCE_US >=
			     after_us)) {
			failed++;
			if (after_us < BSH_QUARANTINE_US)
				after_us *= 4;
		}
		before = end;
	}
	return failed < policy_of(record->key)->probes_max ? after_us
							   : INT64_MAX;
}

void bsh_quarantine_foreach_probe(
	const bsh_quarantine_t *quarantine, int64_t now_us,
	void (*fn)(void *ctx, uint64_t key, int64_t end_us), void *ctx)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const record_t *record = value;
		int64_t end_us = last_end_us(record);

		if (!is_expired(record, now_us) &&
		    may_quarantine(record, now_us) &&
		    now_us - end_us >= probe_after_us(record))
			fn(ctx, record->key, end_us);
	}
}

void bsh_quarantine_info(const bsh_quarantine_t *quarantine, uint64_t key,
			 int64_t now_us, bsh_suspect_info_t *info)
{
	const record_t *record = find(quarantine, key);
	const end_t *last = NULL;

	memset(info, 0, sizeof(*info));
	info->state = bsh_quarantine_state(quarantine, key, now_us);
	if (record != NULL)
		info->ends = weigh_ends(record, &last);
	if (last == NULL)
		return;
	info->process = last->process;
	info->end_us = last->end_us;
}

static uint32_t age_ms(int64_t at_us, int64_t now_us)
{
	return (uint32_t)(MAX(now_us - at_us, 0) / 1000);
}

static void append_fact(const record_t *record, const end_t *end, GArray *facts,
			int64_t now_us)
{
	bsh_suspect_fact_t fact = {
		.key = record->key,
		.process = end->process,
		.age_ms = age_ms(end->end_us, now_us),
		.ran_ms = (uint32_t)(end->ran_us / 1000),
		.cleared = end->cleared,
	};

	g_array_append_val(facts, fact);
}

uint32_t bsh_quarantine_clear(bsh_quarantine_t *quarantine, uint64_t key,
			      int64_t attempt_us, int64_t now_us, GArray *facts)
{
	record_t *record = find(quarantine, key);
	bool counts = false;
	uint32_t n = 0;

	if (record == NULL)
		return 0;
	for (uint32_t i = 0; i < record->n; i++) {
		end_t *end = &record->ends[i];

		counts = counts ||
			 (!end->cleared &&
			  attempt_us + SENT_TOLERANCE_US >= end->end_us);
		if (!counts || end->cleared)
			continue;
		end->cleared = true;
		append_fact(record, end, facts, now_us);
		n++;
	}
	return n;
}

void bsh_quarantine_foreach_isolated(
	const bsh_quarantine_t *quarantine, int64_t now_us,
	void (*fn)(void *ctx, uint64_t key, uint32_t ends), void *ctx)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const record_t *record = value;

		if (!is_expired(record, now_us) &&
		    state_of(quarantine, record, NULL, 0, now_us) >=
			    BSH_SUSPECT_ISOLATED)
			fn(ctx, record->key, weigh_ends(record, NULL));
	}
}

void bsh_quarantine_collect_key(const bsh_quarantine_t *quarantine,
				uint64_t key, GArray *facts, int64_t now_us)
{
	const record_t *record = find(quarantine, key);

	for (uint32_t i = 0; record != NULL && i < record->n; i++)
		append_fact(record, &record->ends[i], facts, now_us);
}

static void collect(const bsh_quarantine_t *quarantine, GArray *facts,
		    int64_t now_us, bool several_ends)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const record_t *record = value;

		if ((record->n > 1) != several_ends ||
		    is_expired(record, now_us))
			continue;
		for (uint32_t i = 0; i < record->n; i++)
			append_fact(record, &record->ends[i], facts, now_us);
	}
}

void bsh_quarantine_collect(const bsh_quarantine_t *quarantine, GArray *facts,
			    int64_t now_us)
{
	collect(quarantine, facts, now_us, true);
	collect(quarantine, facts, now_us, false);
}

uint32_t bsh_quarantine_size(const bsh_quarantine_t *quarantine)
{
	return g_hash_table_size(quarantine->records);
}

uint32_t bsh_quarantine_count(const bsh_quarantine_t *quarantine,
			      bsh_suspect_state_t state, int64_t now_us)
{
	GHashTableIter iter;
	void *value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const record_t *record = value;

		n += !is_expired(record, now_us) &&
		     state_of(quarantine, record, NULL, 0, now_us) == state;
	}
	return n;
}
