#include <math.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "coordination/adoption_state.h"

#define MS_US INT64_C(1000)

/*
 * A witness keeps one short watch open: it learns of a change at once, and
 * each end of it without a change is a confirmation dated at its begin.
 */
#define WATCH_MS	500
#define READ_TIMEOUT_US (3000 * MS_US)
#define READ_EMPTY_US	(5000 * MS_US) /* the object does not exist yet */

/*
 * Intervals between questions.  The oldest confirmation below a relay is then
 * a watch, a relay's and a leaf's interval old, about 3 s of 8.
 */
#define ASK_RELAY_US   (1000 * MS_US)
#define ASK_LEAF_US    (1500 * MS_US)
#define ASK_TIMEOUT_US (400 * MS_US)
#define ASK_AGAIN_US   (400 * MS_US)

/* One giver of confirmations serves this many instances without relays. */
#define DIRECT_PER_WITNESS 16
#define LEAVES_PER_RELAY   10

/* Shares of fresh_ms after which other ways to confirm are tried. */
#define VOTE_AFTER(a)  ((a)->fresh_us / 3)
#define ALONE_AFTER(a) ((a)->fresh_us / 2)
#define VOTE_EVERY_US  (500 * MS_US)
#define ALONE_EVERY_US (500 * MS_US)

#define PARENTS_EVERY_US (1000 * MS_US)
#define SWEEP_EVERY_US	 (1000 * MS_US)

/* Witnesses that want to rewrite the object do not all do it at once. */
#define REWRITE_STEP_US	   (400 * MS_US)
#define REWRITE_START_US   (2000 * MS_US)
#define REWRITE_RETRY_US   (2000 * MS_US)
#define REWRITE_TIMEOUT_US (5000 * MS_US)

/* ---- store reads ---- */

void bsh_fresh_read(bsh_adoption_t *a, int64_t now_us,
		    bsh_read_purpose_t purpose, uint64_t watch_version,
		    uint32_t timeout_ms)
{
	a->read.tag = ++a->next_sequence;
	a->read.purpose = purpose;
	a->read.begun_us = now_us;
	a->read.begun_version = watch_version;
	a->stats.store_reads++;
	a->ops->store_read(a->ctx, a->read.tag, watch_version, timeout_ms);
}

static int64_t read_tick(bsh_adoption_t *a, int64_t now_us)
{
	uint64_t version = a->current.version;
	int64_t at_us = a->read_at_us;

	if (a->read.tag != 0) {
		if (now_us < a->read.begun_us + READ_TIMEOUT_US)
			return a->read.begun_us + READ_TIMEOUT_US;
		/* A proposal must not wait for a read that was given up. */
		if (a->read.purpose != BSH_READ_POLL) {
			bsh_adoption_store_read_done(a, now_us, a->read.tag,
						     BSH_ERR_STORE, NULL);
			return now_us;
		}
		a->read.tag = 0;
	}
	if (bsh_adoption_is_witness(a)) {
		if (now_us < at_us)
			return at_us;
		bsh_fresh_read(a, now_us, BSH_READ_POLL, version, WATCH_MS);
		return now_us + READ_TIMEOUT_US;
	}
	if (a->current.generation == 0)
		at_us += a->has_read ? READ_EMPTY_US : 0;
	else if (now_us - a->confirmed_us <= ALONE_AFTER(a))
		return a->confirmed_us + ALONE_AFTER(a) + 1;
	else
		at_us += ALONE_EVERY_US;
	if (now_us < at_us)
		return at_us;
	bsh_fresh_read(a, now_us, BSH_READ_POLL, version, 0);
	return now_us + READ_TIMEOUT_US;
}

/* ---- whom to ask ---- */

typedef struct {
	const char *name;
	guint64 score;
	bool near;
} candidate_t;

typedef struct {
	bsh_adoption_t *a;
	guint others; /* live members that are no witnesses */
	guint givers; /* live witnesses */
	guint relays; /* how many of the others, in order of rank */
	guint seen;
	GArray *candidates;
} choice_t;

static bool may_give(const bsh_member_t *m)
{
	return m->state == BSH_MEMBER_ALIVE && !m->leaving && m->has_place;
}

static void count_member(void *ctx, const bsh_member_t *m)
{
	choice_t *choice = ctx;

	if (!may_give(m))
		return;
	if (bsh_adoption_has_witness(&choice->a->current, m->name))
		choice->givers++;
	else
		choice->others++;
}

static void add_candidate(choice_t *choice, const bsh_member_t *m)
{
	const bsh_member_t *self = bsh_members_self(choice->a->members);
	guint64 key[2] = { self->rank, m->rank };
	candidate_t candidate = { .name = m->name,
				  .score = XXH3_64bits(key, sizeof(key)) };

	if (m == self)
		return;
	candidate.near = strcmp(m->place.zone, self->place.zone) == 0;
	g_array_append_val(choice->candidates, candidate);
}

static void choose_member(void *ctx, const bsh_member_t *m)
{
	choice_t *choice = ctx;
	bsh_adoption_t *a = choice->a;

	if (!may_give(m))
		return;
	if (bsh_adoption_has_witness(&a->current, m->name)) {
		if (choice->relays == 0 || a->is_relay)
			add_candidate(choice, m);
		return;
	}
	if (choice->seen++ < choice->relays && !a->is_relay)
		add_candidate(choice, m);
}

static void find_self(void *ctx, const bsh_member_t *m)
{
	choice_t *choice = ctx;

	if (!may_give(m) ||
	    bsh_adoption_has_witness(&choice->a->current, m->name))
		return;
	if (choice->seen++ < choice->relays &&
	    m == bsh_members_self(choice->a->members))
		choice->a->is_relay = true;
}

static gint by_preference(gconstpointer x, gconstpointer y)
{
	const candidate_t *a = x;
	const candidate_t *b = y;

	if (a->near != b->near)
		return a->near ? -1 : 1;
	if (a->score != b->score)
		return a->score < b->score ? -1 : 1;
	return 0;
}

/*
 * Everyone computes the same set of relays from the same view: the others
 * with the lowest ranks.  A leaf keeps to one parent, so that its former
 * parents do not hold back `settled`.
 */
static void choose_parents(bsh_adoption_t *a, int64_t now_us)
{
	choice_t choice = { .a = a };

	if (a->parents_version == bsh_members_version(a->members) &&
	    a->parents_generation == a->current.generation)
		return;
	if (now_us < a->parents_us && a->n_parents > 0)
		return;
	a->parents_us = now_us + PARENTS_EVERY_US;
	a->parents_version = bsh_members_version(a->members);
	a->parents_generation = a->current.generation;
	choice.candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	bsh_members_foreach(a->members, count_member, &choice);
	if (choice.others > DIRECT_PER_WITNESS * MAX(choice.givers, 1))
		choice.relays = choice.others / LEAVES_PER_RELAY;
	a->is_relay = false;
	bsh_members_foreach(a->members, find_self, &choice);
	choice.seen = 0;
	bsh_members_foreach(a->members, choose_member, &choice);
	g_array_sort(choice.candidates, by_preference);
	a->n_parents = MIN(choice.candidates->len, BSH_PARENTS);
	for (uint32_t i = 0; i < a->n_parents; i++)
		g_strlcpy(a->parents[i],
			  g_array_index(choice.candidates, candidate_t, i).name,
			  BSH_NAME_SIZE);
	a->parent = 0;
	g_array_free(choice.candidates, TRUE);
}

/* ---- questions ---- */

static void send_ask(bsh_adoption_t *a, int64_t now_us, const char *to,
		     uint64_t sequence, bool vote, bool confirm)
{
	bsh_adoption_message_t msg = { .kind = BSH_ADOPTION_FRESH_REQUEST,
				       .sequence = sequence,
				       .generation = a->current.generation,
				       .vote = vote,
				       .confirm = confirm,
				       .confirm_age_ms =
					       BSH_MEMBER_AGE_NONE_MS };

	msg.settled = bsh_fresh_settled(a, now_us);
	if (confirm)
		a->settled_told = msg.settled;
	a->stats.asks++;
	a->ops->send(a->ctx, to, &msg);
}

void bsh_fresh_ask(bsh_adoption_t *a, int64_t now_us, bsh_witness_t *witness,
		   bool vote)
{
	witness->asked_sequence = ++a->next_sequence;
	witness->asked_us = now_us;
	send_ask(a, now_us, witness->name, witness->asked_sequence, vote,
		 false);
}

static int64_t ask_interval(bsh_adoption_t *a)
{
	int64_t us = a->is_relay ? ASK_RELAY_US : ASK_LEAF_US;

	return us - bsh_rng_below(&a->rng, (uint32_t)(us / 8));
}

static void ask_parent(bsh_adoption_t *a, int64_t now_us)
{
	a->ask_sequence = ++a->next_sequence;
	a->ask_us = now_us;
	a->ask_until_us = now_us + ASK_TIMEOUT_US;
	send_ask(a, now_us, a->parents[a->parent % a->n_parents],
		 a->ask_sequence, false, true);
}

static int64_t ask_tick(bsh_adoption_t *a, int64_t now_us)
{
	if (a->current.generation == 0 || bsh_adoption_is_witness(a))
		return INT64_MAX;
	choose_parents(a, now_us);
	if (a->n_parents == 0)
		return now_us + PARENTS_EVERY_US;
	if (a->ask_until_us != 0) {
		if (now_us < a->ask_until_us)
			return a->ask_until_us;
		/* No answer: the next candidate, at once for one round. */
		a->parent++;
		a->ask_until_us = 0;
		a->ask_at_us = now_us;
		if (a->parent % a->n_parents == 0 ||
		    !bsh_adoption_is_fresh(a, now_us))
			a->ask_at_us += ask_interval(a);
	}
	if (now_us < a->ask_at_us)
		return a->ask_at_us;
	ask_parent(a, now_us);
	return a->ask_until_us;
}

static int64_t vote_tick(bsh_adoption_t *a, int64_t now_us)
{
	if (!bsh_adoption_is_witness(a))
		return INT64_MAX;
	if (now_us - a->confirmed_us < VOTE_AFTER(a))
		return a->confirmed_us + VOTE_AFTER(a);
	if (now_us < a->votes_at_us)
		return a->votes_at_us;
	a->votes_at_us = now_us + VOTE_EVERY_US;
	for (uint32_t i = 0; i < a->current.n_witnesses; i++) {
		if (strcmp(a->witnesses[i].name, bsh_adoption_self(a)) != 0)
			bsh_fresh_ask(a, now_us, &a->witnesses[i], true);
	}
	return a->votes_at_us;
}

/* ---- witness ---- */

bsh_witness_t *bsh_fresh_witness(bsh_adoption_t *a, const char *name)
{
	for (uint32_t i = 0; i < a->current.n_witnesses; i++) {
		if (strcmp(a->witnesses[i].name, name) == 0)
			return &a->witnesses[i];
	}
	return NULL;
}

/*
 * An earlier incarnation may have prepared a proposal that it no longer knows
 * of.  Its update conflicts once the version has moved on.
 */
static bool may_vote(const bsh_adoption_t *a)
{
	return bsh_adoption_is_witness(a) && a->has_read &&
	       a->max_version > a->first_version &&
	       a->known == a->current.generation &&
	       a->prepared <= a->current.generation;
}

static gint by_time(gconstpointer x, gconstpointer y)
{
	const int64_t *a = x;
	const int64_t *b = y;

	return *a < *b ? 1 : *a > *b ? -1 : 0;
}

/* The confirmation is as old as the oldest vote of the best majority. */
static void count_votes(bsh_adoption_t *a, int64_t now_us)
{
	int64_t times[BSH_WITNESSES_MAX];
	uint32_t n = 0;
	uint32_t majority = a->current.n_witnesses / 2 + 1;

	for (uint32_t i = 0; i < a->current.n_witnesses; i++) {
		const bsh_witness_t *w = &a->witnesses[i];

		if (strcmp(w->name, bsh_adoption_self(a)) == 0) {
			if (may_vote(a))
				times[n++] = now_us;
		} else if (w->vote_generation == a->current.generation) {
			times[n++] = w->vote_us;
		}
	}
	if (n < majority)
		return;
	qsort(times, n, sizeof(times[0]), by_time);
	a->confirmed_us = MAX(a->confirmed_us, times[majority - 1]);
}

/*
 * A prepared proposal is settled by any higher version with the generation
 * that was there before, and by its own generation.
 */
static void settle(bsh_adoption_t *a)
{
	if (a->prepared > a->current.generation &&
	    a->max_version > a->prepared_version &&
	    a->current.version > a->prepared_version)
		a->prepared = 0;
}

bool bsh_fresh_prepare(bsh_adoption_t *a, int64_t now_us, uint64_t generation,
		       uint64_t version)
{
	if (generation <= a->current.generation || version < a->max_version)
		return false;
	bsh_adoption_saw_version(a, version);
	a->prepared = MAX(a->prepared, generation);
	a->prepared_version = version;
	a->prepared_us = now_us;
	return true;
}

void bsh_fresh_receive_prepare(bsh_adoption_t *a, int64_t now_us,
			       const char *from,
			       const bsh_adoption_message_t *msg)
{
	bsh_adoption_message_t answer = { .kind = BSH_ADOPTION_PREPARED,
					  .sequence = msg->sequence,
					  .generation = msg->generation };

	answer.accepted =
		bsh_fresh_prepare(a, now_us, msg->generation, msg->version);
	answer.version = a->max_version;
	a->ops->send(a->ctx, from, &answer);
}

static uint32_t own_index(const bsh_adoption_t *a)
{
	uint32_t i = 0;

	while (i < a->current.n_witnesses &&
	       strcmp(a->current.witnesses[i], bsh_adoption_self(a)) != 0)
		i++;
	return i;
}

static bool wants_rewrite(const bsh_adoption_t *a, int64_t now_us,
			  int64_t *due_us)
{
	int64_t step_us = own_index(a) * REWRITE_STEP_US;

	if (!bsh_adoption_is_witness(a) || !a->has_read)
		return false;
	if (a->prepared > a->current.generation)
		*due_us = a->prepared_us + BSH_DRIFT(a->fresh_us) + step_us;
	else if (a->max_version <= a->first_version)
		*due_us = a->started_us + REWRITE_START_US + step_us;
	else
		return false;
	return now_us >= *due_us;
}

/*
 * The object is rewritten unchanged, so that an update based on the former
 * version can no longer take effect.  Only what the store showed last may be
 * rewritten; the conditional update makes sure of that.
 */
static int64_t rewrite_tick(bsh_adoption_t *a, int64_t now_us)
{
	int64_t due_us = INT64_MAX;

	settle(a);
	if (a->rewrite_tag != 0) {
		if (now_us < a->rewrite_at_us)
			return a->rewrite_at_us;
		a->rewrite_tag = 0;
	}
	if (!wants_rewrite(a, now_us, &due_us))
		return due_us;
	if (now_us < a->rewrite_at_us)
		return a->rewrite_at_us;
	/* A higher version is known: the watch will bring it. */
	if (a->current.version < a->max_version)
		return now_us + REWRITE_STEP_US;
	a->rewrite_tag = ++a->next_sequence;
	a->rewrite_at_us = now_us + REWRITE_TIMEOUT_US;
	a->stats.store_updates++;
	a->stats.rewrites++;
	a->ops->store_update(a->ctx, a->rewrite_tag, &a->current);
	return a->rewrite_at_us;
}

bool bsh_fresh_rewrite_done(bsh_adoption_t *a, int64_t now_us, uint64_t tag,
			    bsh_error_t err, uint64_t version)
{
	if (tag == 0 || tag != a->rewrite_tag)
		return false;
	a->rewrite_tag = 0;
	a->rewrite_at_us =
		now_us + (err == BSH_OK ? REWRITE_STEP_US : REWRITE_RETRY_US);
	/*
	 * The update was on the version of the adopted generation, so the
	 * new version still has it, even if a newer one was adopted since.
	 */
	if (err == BSH_OK && version > a->current.version &&
	    a->known == a->current.generation)
		a->current.version = version;
	settle(a);
	return true;
}

/* ---- account of whom was confirmed ---- */

static void sweep(bsh_adoption_t *a, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	a->swept_us = now_us;
	g_hash_table_iter_init(&iter, a->recipients);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bsh_recipient_t *r = value;

		if (now_us - r->given_us > BSH_DRIFT(a->fresh_us))
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * A witness that started lately does not know whom its former incarnation
 * confirmed.  For others their parent still has the account of the former one.
 */
uint64_t bsh_fresh_settled(bsh_adoption_t *a, int64_t now_us)
{
	uint64_t settled = a->current.generation;
	GHashTableIter iter;
	gpointer value;

	if (bsh_adoption_is_witness(a) &&
	    now_us - a->started_us < BSH_DRIFT(a->fresh_us))
		return 0;
	if (now_us - a->swept_us > SWEEP_EVERY_US)
		sweep(a, now_us);
	g_hash_table_iter_init(&iter, a->recipients);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		settled = MIN(settled, ((bsh_recipient_t *)value)->settled);
	return settled;
}

static void note_recipient(bsh_adoption_t *a, int64_t now_us, const char *name,
			   uint64_t incarnation, uint64_t settled, bool given)
{
	char key[BSH_NAME_SIZE + 24];
	bsh_recipient_t *r;

	snprintf(key, sizeof(key), "%s/%" G_GUINT64_FORMAT, name,
		 (guint64)incarnation);
	r = g_hash_table_lookup(a->recipients, key);
	if (r == NULL) {
		if (!given)
			return;
		r = g_new0(bsh_recipient_t, 1);
		g_hash_table_insert(a->recipients, g_strdup(key), r);
	}
	r->settled = settled;
	if (given)
		r->given_us = now_us;
}

/*
 * Witnesses report to a proposer themselves, so they are not accounted for by
 * each other; otherwise two of them would wait for each other.
 */
void bsh_fresh_receive_ask(bsh_adoption_t *a, int64_t now_us, const char *from,
			   uint64_t incarnation,
			   const bsh_adoption_message_t *msg)
{
	bsh_adoption_message_t answer = { .kind = BSH_ADOPTION_FRESH,
					  .sequence = msg->sequence,
					  .generation = a->current.generation };
	bool is_peer = bsh_adoption_is_witness(a) &&
		       bsh_adoption_has_witness(&a->current, from);

	answer.confirm_age_ms = is_peer || !msg->confirm
					? BSH_MEMBER_AGE_NONE_MS
					: bsh_adoption_age_ms(a, now_us);
	if (!is_peer && msg->confirm)
		note_recipient(a, now_us, from, incarnation, msg->settled,
			       answer.confirm_age_ms != BSH_MEMBER_AGE_NONE_MS);
	answer.vote = msg->vote && may_vote(a);
	answer.settled = bsh_fresh_settled(a, now_us);
	a->ops->send(a->ctx, from, &answer);
	/* Tell the parent soon when all below have followed. */
	if (a->is_relay && a->settled_told < answer.settled)
		a->ask_at_us = MIN(a->ask_at_us, now_us + 50 * MS_US);
}

static void receive_from_parent(bsh_adoption_t *a, int64_t now_us,
				const bsh_adoption_message_t *msg)
{
	bool usable = msg->confirm_age_ms != BSH_MEMBER_AGE_NONE_MS &&
		      msg->generation <= a->current.generation;
	int64_t dated_us;

	a->ask_until_us = 0;
	a->ask_at_us = now_us + ask_interval(a);
	if (!usable) {
		/* When all are cut off from the store, asking more is idle. */
		if (bsh_adoption_is_fresh(a, now_us))
			a->ask_at_us = now_us + ASK_AGAIN_US;
		if (msg->generation <= a->current.generation)
			a->parent++;
		return;
	}
	dated_us = a->ask_us - msg->confirm_age_ms * MS_US;
	a->confirmed_us = MAX(a->confirmed_us, dated_us);
	/* An old confirmation is used, but another parent may be better. */
	if (msg->confirm_age_ms * MS_US > ALONE_AFTER(a))
		a->parent++;
	else if (a->is_relay && a->settled_told < bsh_fresh_settled(a, now_us))
		a->ask_at_us = now_us + 50 * MS_US;
}

void bsh_fresh_receive(bsh_adoption_t *a, int64_t now_us, const char *from,
		       const bsh_adoption_message_t *msg)
{
	bsh_witness_t *w = bsh_fresh_witness(a, from);

	if (a->ask_until_us != 0 && msg->sequence == a->ask_sequence) {
		receive_from_parent(a, now_us, msg);
	} else if (w != NULL && msg->sequence == w->asked_sequence) {
		w->asked_sequence = 0;
		if (msg->vote) {
			w->vote_us = w->asked_us;
			w->vote_generation = msg->generation;
		}
		w->settled = msg->settled;
		if (bsh_adoption_is_witness(a))
			count_votes(a, now_us);
	} else {
		a->stats.obsolete++;
		return;
	}
	if (msg->generation > a->current.generation)
		bsh_adoption_heard(a, now_us, from, msg->generation, 0);
}

/* ---- life cycle ---- */

static void renew_witnesses(bsh_adoption_t *a)
{
	bsh_witness_t old[BSH_WITNESSES_MAX];

	memcpy(old, a->witnesses, sizeof(old));
	memset(a->witnesses, 0, sizeof(a->witnesses));
	for (uint32_t i = 0; i < a->current.n_witnesses; i++) {
		for (uint32_t j = 0; j < BSH_WITNESSES_MAX; j++) {
			if (strcmp(old[j].name, a->current.witnesses[i]) == 0)
				a->witnesses[i] = old[j];
		}
		g_strlcpy(a->witnesses[i].name, a->current.witnesses[i],
			  BSH_NAME_SIZE);
	}
}

void bsh_fresh_adopted(bsh_adoption_t *a, int64_t now_us)
{
	int64_t soon_us = now_us + bsh_rng_below(&a->rng, 200000);

	renew_witnesses(a);
	if (a->prepared <= a->current.generation)
		a->prepared = 0;
	/* Report the change to the parent: leaves first, then relays. */
	if (a->is_relay)
		soon_us += 300 * MS_US;
	a->ask_at_us = MIN(a->ask_at_us, soon_us);
}

int64_t bsh_fresh_tick(bsh_adoption_t *a, int64_t now_us)
{
	int64_t due_us = read_tick(a, now_us);

	due_us = MIN(due_us, ask_tick(a, now_us));
	due_us = MIN(due_us, vote_tick(a, now_us));
	return MIN(due_us, rewrite_tick(a, now_us));
}

void bsh_fresh_init(bsh_adoption_t *a, int64_t now_us)
{
	a->recipients =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->swept_us = now_us;
	a->ask_at_us = now_us;
	a->read_at_us = now_us;
}

void bsh_fresh_finish(bsh_adoption_t *a)
{
	g_hash_table_destroy(a->recipients);
}
