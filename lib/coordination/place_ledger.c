#include "coordination/place_ledger.h"

#include <math.h>
#include <string.h>

/* Places beyond the slots of a target that is not brittle, of its slots. */
#define SPARE_SHARE 0.25
/* Places that rejections leave, of the slots. */
#define LEAST_SHARE 0.25
/* Rejections within this time are one sign that the places are too many. */
#define SHRINK_INTERVAL_US INT64_C(200000)
#define GROW_PER_S	   1.0
#define WINDOW_US	   INT64_C(1000000)
#define RUN_DEFAULT_MS	   50U
/* Time for which a target counts as brittle after the last need that said so. */
#define BRITTLE_MEMORY_US INT64_C(3000000)
/* A target without holders is forgotten after this time. */
#define MEMORY_US INT64_C(10000000)

typedef struct {
	char name[BSH_NAME_SIZE];
	uint64_t incarnation;
	uint32_t sequence;
	uint32_t held;
	uint32_t total; /* that it could use: open and waiting */
	uint32_t urgency;
	uint32_t rejected; /* in all, by its last need */
	int64_t waits_since_us;
	int64_t heard_us;
	bool is_due; /* a grant is to be sent */
	bool knows_contended;
} holder_t;

typedef struct {
	int64_t at_us;
	uint32_t n;
} rejections_t;

typedef struct {
	uint64_t key;
	uint32_t slots;
	uint32_t run_ms;
	double most; /* places, by rejections; HUGE_VAL: no rejection yet */
	int64_t changed_us;
	int64_t shrunk_us;
	int64_t created_us;
	int64_t used_us;
	uint32_t rejections_max; /* a second; BSH_REJECTIONS_ANY */
	int64_t named_us;	 /* last need that named it */
	GArray *rejections;	 /* rejections_t of the last second */
	GPtrArray *holders;	 /* holder_t */
} target_places_t;

static void free_target(void *data)
{
	target_places_t *target = data;

	g_array_free(target->rejections, TRUE);
	g_ptr_array_free(target->holders, TRUE);
	g_free(target);
}

void bsh_place_ledger_init(bsh_place_ledger_t *ledger)
{
	ledger->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, free_target);
}

void bsh_place_ledger_finish(bsh_place_ledger_t *ledger)
{
	g_hash_table_destroy(ledger->targets);
	ledger->targets = NULL;
}

uint32_t bsh_place_ledger_size(const bsh_place_ledger_t *ledger)
{
	return g_hash_table_size(ledger->targets);
}

static target_places_t *find_target(bsh_place_ledger_t *ledger, uint64_t key,
				    int64_t now_us)
{
	target_places_t *target = g_hash_table_lookup(ledger->targets, &key);

	if (target != NULL)
		return target;
	target = g_new0(target_places_t, 1);
	target->key = key;
	target->run_ms = RUN_DEFAULT_MS;
	target->most = HUGE_VAL;
	target->created_us = now_us;
	target->rejections_max = BSH_REJECTIONS_ANY;
	target->rejections = g_array_new(FALSE, FALSE, sizeof(rejections_t));
	target->holders = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_insert(ledger->targets, &target->key, target);
	return target;
}

static holder_t *find_holder(target_places_t *target, const char *name)
{
	holder_t *holder;

	for (guint i = 0; i < target->holders->len; i++) {
		holder = g_ptr_array_index(target->holders, i);
		if (strcmp(holder->name, name) == 0)
			return holder;
	}
	holder = g_new0(holder_t, 1);
	g_strlcpy(holder->name, name, sizeof(holder->name));
	g_ptr_array_add(target->holders, holder);
	return holder;
}

static bool is_brittle(const target_places_t *target)
{
	return target->rejections_max != BSH_REJECTIONS_ANY;
}

static uint32_t held_places(const target_places_t *target)
{
	uint32_t n = 0;

	for (guint i = 0; i < target->holders->len; i++)
		n += ((const holder_t *)g_ptr_array_index(target->holders, i))
			     ->held;
	return n;
}

/* Rejections that were told of within the last second. */
static uint32_t recent_rejections(target_places_t *target, int64_t now_us)
{
	uint32_t n = 0;

	while (target->rejections->len > 0 &&
	       now_us - g_array_index(target->rejections, rejections_t, 0)
				       .at_us >
		       WINDOW_US)
		g_array_remove_index(target->rejections, 0);
	for (guint i = 0; i < target->rejections->len; i++)
		n += g_array_index(target->rejections, rejections_t, i).n;
	return n;
}

static bool is_frozen(target_places_t *target, int64_t now_us)
{
	return is_brittle(target) &&
	       2 * (uint64_t)recent_rejections(target, now_us) >=
		       MAX(target->rejections_max, 1U);
}

/* Places of the target, if it rejects nothing. */
static double usable(const target_places_t *target)
{
	double slots = MAX(target->slots, 1U);

	return is_brittle(target) ? slots : slots + ceil(slots * SPARE_SHARE);
}

static void note_rejections(target_places_t *target, uint32_t n, int64_t now_us)
{
	rejections_t entry = { now_us, n };
	double least = ceil(target->slots * LEAST_SHARE);

	g_array_append_val(target->rejections, entry);
	if (now_us - target->shrunk_us < SHRINK_INTERVAL_US)
		return;
	target->shrunk_us = now_us;
	target->changed_us = now_us;
	target->most = MIN(target->most, usable(target)) - 1.0;
	/* Until then some holders may not be known. */
	if (now_us - target->created_us >= BSH_PLACE_HOLDER_TTL_US)
		target->most = MIN(target->most, held_places(target) - 1.0);
	target->most = MAX(target->most, MAX(least, 1.0));
}

/* Places of the target in all. */
static uint32_t places(target_places_t *target, int64_t now_us)
{
	double most = usable(target);

	if (target->most < most) {
		target->most += GROW_PER_S *
				(double)(now_us - target->changed_us) / 1e6;
		target->changed_us = now_us;
		most = MIN(most, target->most);
	}
	if (now_us - target->created_us < BSH_PLACE_WARMUP_US)
		most = ceil(most / 2);
	return (uint32_t)most;
}

/* True if a is to get a place before b. */
static bool is_before(const holder_t *a, const holder_t *b)
{
	if (a->urgency != b->urgency)
		return a->urgency < b->urgency;
	return a->waits_since_us < b->waits_since_us;
}

static holder_t *next_waiting(const target_places_t *target)
{
	holder_t *next = NULL;

	for (guint i = 0; i < target->holders->len; i++) {
		holder_t *holder = g_ptr_array_index(target->holders, i);

		if (holder->held < holder->total &&
		    (next == NULL || is_before(holder, next)))
			next = holder;
	}
	return next;
}

static uint32_t unmet(const holder_t *holder)
{
	return holder->total - MIN(holder->total, holder->held);
}

static void give_out(target_places_t *target, int64_t now_us)
{
	uint32_t n = held_places(target);
	uint32_t most = places(target, now_us);
	holder_t *holder;

	if (is_frozen(target, now_us))
		return;
	while (n < most && (holder = next_waiting(target)) != NULL) {
		holder->held++;
		holder->is_due = true;
		/* Instances with several requests take turns with the others. */
		holder->waits_since_us = now_us;
		n++;
	}
}

static uint32_t to_wait_ms(const target_places_t *target, uint64_t ahead,
			   uint32_t most)
{
	return (uint32_t)MIN(ahead * target->run_ms / MAX(most, 1U) + 1,
			     UINT32_MAX);
}

/* Time until the last request of the instance that waits gets a place, or a new
 * one would, if others wait. */
static uint32_t wait_ms(const target_places_t *target, const holder_t *holder,
			uint32_t all_unmet, uint32_t most)
{
	uint64_t ahead = unmet(holder);

	if (all_unmet == 0)
		return 0;
	if (ahead == 0)
		return to_wait_ms(target, all_unmet + UINT64_C(1), most);
	for (guint i = 0; i < target->holders->len; i++) {
		const holder_t *other = g_ptr_array_index(target->holders, i);

		if (other != holder && is_before(other, holder))
			ahead += unmet(other);
	}
	return to_wait_ms(target, ahead, most);
}

static void send_grants(target_places_t *target, int64_t now_us,
			bsh_place_grant_fn_t fn, void *ctx)
{
	uint32_t most = places(target, now_us);
	uint32_t all_unmet = 0;

	for (guint i = 0; i < target->holders->len; i++)
		all_unmet += unmet(g_ptr_array_index(target->holders, i));
	for (guint i = 0; i < target->holders->len; i++) {
		holder_t *holder = g_ptr_array_index(target->holders, i);
		bsh_place_grant_t grant = {
			.target = target->key,
			.sequence = holder->sequence,
			.places = holder->held,
			.wait_ms = wait_ms(target, holder, all_unmet, most),
			.contended = all_unmet > 0,
		};

		/* Whoever holds places is to give back what it does not use as
		 * soon as others wait. */
		if (!holder->is_due &&
		    (all_unmet == 0 || holder->knows_contended ||
		     holder->held == 0))
			continue;
		holder->is_due = false;
		holder->knows_contended = all_unmet > 0;
		fn(ctx, holder->name, &grant);
	}
}

/* An instance that has just started does not know yet what the others do. */
static void note_rejections_max(target_places_t *target,
				uint32_t rejections_max, int64_t now_us)
{
	if (rejections_max == BSH_REJECTIONS_ANY &&
	    now_us - target->named_us < BRITTLE_MEMORY_US)
		return;
	target->rejections_max = rejections_max;
	if (rejections_max != BSH_REJECTIONS_ANY)
		target->named_us = now_us;
}

static void take_need(target_places_t *target, holder_t *holder,
		      const bsh_place_need_t *need, int64_t now_us)
{
	/* An instance that was not heard of counts from 0 again. */
	uint32_t rejected = need->rejected >= holder->rejected
				    ? need->rejected - holder->rejected
				    : need->rejected;

	target->slots = need->slots;
	note_rejections_max(target, need->rejections_max, now_us);
	if (rejected > 0)
		note_rejections(target, rejected, now_us);
	if (unmet(holder) == 0 || need->urgency < holder->urgency)
		holder->waits_since_us = now_us;
	holder->sequence = need->sequence;
	holder->held = need->open;
	holder->total = need->open + MIN(need->wanted, UINT32_MAX - need->open);
	holder->urgency = need->urgency;
	holder->rejected = need->rejected;
	holder->heard_us = now_us;
	holder->is_due = true;
	target->used_us = now_us;
	if (need->run_ms > 0)
		target->run_ms = need->run_ms;
}

static bool is_overtaken(const holder_t *holder, uint64_t incarnation,
			 const bsh_place_need_t *need)
{
	if (holder->heard_us == 0 || incarnation > holder->incarnation)
		return false;
	return incarnation < holder->incarnation ||
	       (int32_t)(need->sequence - holder->sequence) < 0;
}

void bsh_place_ledger_need(bsh_place_ledger_t *ledger, const char *instance,
			   uint64_t incarnation, const bsh_place_need_t *need,
			   int64_t now_us, bsh_place_grant_fn_t fn, void *ctx)
{
	target_places_t *target = find_target(ledger, need->target, now_us);
	holder_t *holder = find_holder(target, instance);

	if (is_overtaken(holder, incarnation, need))
		return;
	if (holder->incarnation != incarnation)
		holder->rejected = 0;
	if (holder->heard_us != 0 && holder->incarnation == incarnation &&
	    holder->sequence == need->sequence) {
		/* A repetition: what it asked for is done, its grant lost. */
		holder->heard_us = now_us;
		holder->is_due = true;
		send_grants(target, now_us, fn, ctx);
		return;
	}
	holder->incarnation = incarnation;
	take_need(target, holder, need, now_us);
	give_out(target, now_us);
	send_grants(target, now_us, fn, ctx);
}

static void drop_silent(target_places_t *target, int64_t now_us)
{
	for (guint i = target->holders->len; i > 0; i--) {
		const holder_t *holder =
			g_ptr_array_index(target->holders, i - 1);

		if (now_us - holder->heard_us >= BSH_PLACE_HOLDER_TTL_US)
			g_ptr_array_remove_index_fast(target->holders, i - 1);
	}
}

void bsh_place_ledger_run(bsh_place_ledger_t *ledger, int64_t now_us,
			  bsh_place_grant_fn_t fn, void *ctx)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		target_places_t *target = value;

		drop_silent(target, now_us);
		if (target->holders->len == 0 &&
		    now_us - target->used_us > MEMORY_US) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		give_out(target, now_us);
		send_grants(target, now_us, fn, ctx);
	}
}
