#include <math.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "coordination/adoption_state.h"

#define MS_US INT64_C(1000)

/*
 * A witness keeps one short watch open.  It observes a change at once, and each
 * watch that ends without a change is a confirmation dated at its start.
 */
#define WATCH_TIMEOUT_MS 500
#define READ_TIMEOUT_US	 (3000 * MS_US)

/* Between reads while the object does not exist yet. */
#define READ_ABSENT_INTERVAL_US (5000 * MS_US)

/*
 * Intervals between confirmation queries.  While no message is lost, the
 * confirmation of a leaf below a relay is at most one watch, one relay interval
 * and one leaf interval old, about 3 s of the 8 s of fresh_ms.
 */
#define QUERY_RELAY_INTERVAL_US (1000 * MS_US)
#define QUERY_LEAF_INTERVAL_US	(1500 * MS_US)
#define QUERY_TIMEOUT_US	(400 * MS_US)
#define QUERY_RETRY_US		(400 * MS_US)

/* Relays are used when there are more non-witnesses than this per witness. */
#define CHILDREN_PER_WITNESS_MAX 16
#define LEAVES_PER_RELAY	 10

/*
 * Age of the confirmation at which a witness also requests votes, and at which
 * a non-witness reads the store itself and tries another parent.
 */
#define VOTE_AFTER_US(a)	((a)->fresh_us / 3)
#define DIRECT_READ_AFTER_US(a) ((a)->fresh_us / 2)
#define VOTE_INTERVAL_US	(500 * MS_US)
#define DIRECT_READ_INTERVAL_US (500 * MS_US)

#define PARENTS_INTERVAL_US (1000 * MS_US)
#define SWEEP_INTERVAL_US   (1000 * MS_US)

/* Witnesses rewrite the object at staggered times, in the order of the set. */
#define REWRITE_STAGGER_US     (400 * MS_US)
#define REWRITE_START_DELAY_US (2000 * MS_US)
#define REWRITE_RETRY_US       (2000 * MS_US)
#define REWRITE_TIMEOUT_US     (5000 * MS_US)

/* ---- store reads ---- */

void bsh_fresh_read(bsh_adoption_t *a, int64_t now_us,
		    bsh_read_purpose_t purpose, uint64_t watch_version,
		    uint32_t timeout_ms)
{
	a->read.tag = ++a->next_sequence;
	a->read.purpose = purpose;
	a->read.start_us = now_us;
	a->read.watched_version = watch_version;
	a->stats.store_reads++;
	a->ops->store_read(a->ctx, a->read.tag, watch_version, timeout_ms);
}

static int64_t read_tick(bsh_adoption_t *a, int64_t now_us)
{
	uint64_t version = a->current.version;
	int64_t at_us = a->next_read_us;

	if (a->read.tag != 0) {
		if (now_us < a->read.start_us + READ_TIMEOUT_US)
			return a->read.start_us + READ_TIMEOUT_US;
		/* Report the timeout to a proposal that waits for the read. */
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
		bsh_fresh_read(a, now_us, BSH_READ_POLL, version,
			       WATCH_TIMEOUT_MS);
		return now_us + READ_TIMEOUT_US;
	}
	if (a->current.generation == 0)
		at_us += a->has_read ? READ_ABSENT_INTERVAL_US : 0;
	else if (now_us - a->confirmed_us <= DIRECT_READ_AFTER_US(a))
		return a->confirmed_us + DIRECT_READ_AFTER_US(a) + 1;
	else
		at_us += DIRECT_READ_INTERVAL_US;
	if (now_us < at_us)
		return at_us;
	bsh_fresh_read(a, now_us, BSH_READ_POLL, version, 0);
	return now_us + READ_TIMEOUT_US;
}

/* ---- choice of parents ---- */

typedef struct {
	const char *name;
	guint64 score; /* hash of both ranks; the lowest is preferred */
	bool same_zone;
} candidate_t;

typedef struct {
	bsh_adoption_t *a;
	guint non_witnesses; /* live members that are not witnesses */
	guint live_witnesses;
	guint n_relays; /* the non-witnesses with the lowest ranks */
	guint position; /* of the next non-witness in order of rank */
	GArray *candidates;
} choice_t;

static bool may_confirm(const bsh_member_t *m)
{
	return m->state == BSH_MEMBER_ALIVE && !m->leaving && m->has_place;
}

static void count_member(void *ctx, const bsh_member_t *m)
{
	choice_t *choice = ctx;

	if (!may_confirm(m))
		return;
	if (bsh_adoption_has_witness(&choice->a->current, m->name))
		choice->live_witnesses++;
	else
		choice->non_witnesses++;
}

static void add_candidate(choice_t *choice, const bsh_member_t *m)
{
	const bsh_member_t *self = bsh_members_self(choice->a->members);
	guint64 key[2] = { self->rank, m->rank };
	candidate_t candidate = { .name = m->name,
				  .score = XXH3_64bits(key, sizeof(key)) };

	if (m == self)
		return;
	candidate.same_zone = strcmp(m->place.zone, self->place.zone) == 0;
	g_array_append_val(choice->candidates, candidate);
}

static void choose_member(void *ctx, const bsh_member_t *m)
{
	choice_t *choice = ctx;
	bsh_adoption_t *a = choice->a;

	if (!may_confirm(m))
		return;
	if (bsh_adoption_has_witness(&a->current, m->name)) {
		if (choice->n_relays == 0 || a->is_relay)
			add_candidate(choice, m);
		return;
	}
	if (choice->position++ < choice->n_relays && !a->is_relay)
		add_candidate(choice, m);
}

static void detect_relay_role(void *ctx, const bsh_member_t *m)
{
	choice_t *choice = ctx;

	if (!may_confirm(m) ||
	    bsh_adoption_has_witness(&choice->a->current, m->name))
		return;
	if (choice->position++ < choice->n_relays &&
	    m == bsh_members_self(choice->a->members))
		choice->a->is_relay = true;
}

static gint by_preference(gconstpointer x, gconstpointer y)
{
	const candidate_t *a = x;
	const candidate_t *b = y;

	if (a->same_zone != b->same_zone)
		return a->same_zone ? -1 : 1;
	if (a->score != b->score)
		return a->score < b->score ? -1 : 1;
	return 0;
}

/*
 * Instances with the same membership view compute the same relays: the
 * non-witnesses with the lowest ranks.  A leaf prefers the same parent each
 * time, because a former parent counts the leaf in `settled` for fresh_ms.
 */
static void choose_parents(bsh_adoption_t *a, int64_t now_us)
{
	choice_t choice = { .a = a };

	if (a->parents_version == bsh_members_version(a->members) &&
	    a->parents_generation == a->current.generation)
		return;
	if (now_us < a->next_parents_us && a->n_parents > 0)
		return;
	a->next_parents_us = now_us + PARENTS_INTERVAL_US;
	a->parents_version = bsh_members_version(a->members);
	a->parents_generation = a->current.generation;
	choice.candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	bsh_members_foreach(a->members, count_member, &choice);
	if (choice.non_witnesses >
	    CHILDREN_PER_WITNESS_MAX * MAX(choice.live_witnesses, 1))
		choice.n_relays = choice.non_witnesses / LEAVES_PER_RELAY;
	a->is_relay = false;
	bsh_members_foreach(a->members, detect_relay_role, &choice);
	choice.position = 0;
	bsh_members_foreach(a->members, choose_member, &choice);
	g_array_sort(choice.candidates, by_preference);
	a->n_parents = MIN(choice.candidates->len, BSH_PARENTS_MAX);
	for (uint32_t i = 0; i < a->n_parents; i++)
		g_strlcpy(a->parents[i],
			  g_array_index(choice.candidates, candidate_t, i).name,
			  BSH_NAME_SIZE);
	a->parent_index = 0;
	g_array_free(choice.candidates, TRUE);
}

/* ---- confirmation and vote queries ---- */

static void send_query(bsh_adoption_t *a, int64_t now_us, const char *to,
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
		a->settled_reported = msg.settled;
	a->stats.queries++;
	a->ops->send(a->ctx, to, &msg);
}

void bsh_fresh_query_witness(bsh_adoption_t *a, int64_t now_us,
			     bsh_witness_t *witness, bool vote)
{
	witness->query_sequence = ++a->next_sequence;
	witness->query_sent_us = now_us;
	send_query(a, now_us, witness->name, witness->query_sequence, vote,
		   false);
}

static int64_t query_interval_us(bsh_adoption_t *a)
{
	int64_t us =
		a->is_relay ? QUERY_RELAY_INTERVAL_US : QUERY_LEAF_INTERVAL_US;

	return us - bsh_rng_below(&a->rng, (uint32_t)(us / 8));
}

static void query_parent(bsh_adoption_t *a, int64_t now_us)
{
	a->parent_query_sequence = ++a->next_sequence;
	a->parent_query_sent_us = now_us;
	a->parent_query_deadline_us = now_us + QUERY_TIMEOUT_US;
	send_query(a, now_us, a->parents[a->parent_index % a->n_parents],
		   a->parent_query_sequence, false, true);
}

static int64_t query_tick(bsh_adoption_t *a, int64_t now_us)
{
	if (a->current.generation == 0 || bsh_adoption_is_witness(a))
		return INT64_MAX;
	choose_parents(a, now_us);
	if (a->n_parents == 0)
		return now_us + PARENTS_INTERVAL_US;
	if (a->parent_query_deadline_us != 0) {
		if (now_us < a->parent_query_deadline_us)
			return a->parent_query_deadline_us;
		/*
		 * No reply: query the next parent at once; after one round
		 * over all parents, or when stale, after an interval.
		 */
		a->parent_index++;
		a->parent_query_deadline_us = 0;
		a->next_parent_query_us = now_us;
		if (a->parent_index % a->n_parents == 0 ||
		    !bsh_adoption_is_fresh(a, now_us))
			a->next_parent_query_us += query_interval_us(a);
	}
	if (now_us < a->next_parent_query_us)
		return a->next_parent_query_us;
	query_parent(a, now_us);
	return a->parent_query_deadline_us;
}

static int64_t vote_tick(bsh_adoption_t *a, int64_t now_us)
{
	if (!bsh_adoption_is_witness(a))
		return INT64_MAX;
	if (now_us - a->confirmed_us < VOTE_AFTER_US(a))
		return a->confirmed_us + VOTE_AFTER_US(a);
	if (now_us < a->next_votes_us)
		return a->next_votes_us;
	a->next_votes_us = now_us + VOTE_INTERVAL_US;
	for (uint32_t i = 0; i < a->current.n_witnesses; i++) {
		if (strcmp(a->witnesses[i].name, bsh_adoption_self(a)) != 0)
			bsh_fresh_query_witness(a, now_us, &a->witnesses[i],
						true);
	}
	return a->next_votes_us;
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
 * The former incarnation of this witness may have prepared a proposal of which
 * this one has no record.  The update of that proposal conflicts once a version
 * above the first one read exists.
 */
static bool may_vote(const bsh_adoption_t *a)
{
	return bsh_adoption_is_witness(a) && a->has_read &&
	       a->max_version > a->first_version &&
	       a->highest_known == a->current.generation &&
	       a->prepared <= a->current.generation;
}

static gint by_time_descending(gconstpointer x, gconstpointer y)
{
	const int64_t *a = x;
	const int64_t *b = y;

	return *a < *b ? 1 : *a > *b ? -1 : 0;
}

/* Dates the confirmation at the oldest vote of the newest majority. */
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
	qsort(times, n, sizeof(times[0]), by_time_descending);
	a->confirmed_us = MAX(a->confirmed_us, times[majority - 1]);
}

/*
 * A prepared proposal can no longer be accepted once a higher version exists
 * that still has the old generation: its conditional update conflicts.
 * (bsh_fresh_adopted() clears it when its own generation is adopted.)
 */
static void clear_settled_proposal(bsh_adoption_t *a)
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
	bsh_adoption_observe_version(a, version);
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

static bool rewrite_is_due(const bsh_adoption_t *a, int64_t now_us,
			   int64_t *due_us)
{
	int64_t stagger_us = own_index(a) * REWRITE_STAGGER_US;

	if (!bsh_adoption_is_witness(a) || !a->has_read)
		return false;
	if (a->prepared > a->current.generation)
		*due_us = a->prepared_us + BSH_WITH_DRIFT(a->fresh_us) +
			  stagger_us;
	else if (a->max_version <= a->first_version)
		*due_us = a->started_us + REWRITE_START_DELAY_US + stagger_us;
	else
		return false;
	return now_us >= *due_us;
}

/*
 * Rewrites the object unchanged, so that an update based on the former version
 * can no longer take effect.  The rewrite is conditional on the version read
 * last, so it cannot overwrite a newer object.
 */
static int64_t rewrite_tick(bsh_adoption_t *a, int64_t now_us)
{
	int64_t due_us = INT64_MAX;

	clear_settled_proposal(a);
	if (a->rewrite_tag != 0) {
		if (now_us < a->rewrite_timer_us)
			return a->rewrite_timer_us;
		a->rewrite_tag = 0;
	}
	if (!rewrite_is_due(a, now_us, &due_us))
		return due_us;
	if (now_us < a->rewrite_timer_us)
		return a->rewrite_timer_us;
	/* A higher version exists; the watch will return it. */
	if (a->current.version < a->max_version)
		return now_us + REWRITE_STAGGER_US;
	a->rewrite_tag = ++a->next_sequence;
	a->rewrite_timer_us = now_us + REWRITE_TIMEOUT_US;
	a->stats.store_updates++;
	a->stats.rewrites++;
	a->ops->store_update(a->ctx, a->rewrite_tag, &a->current);
	return a->rewrite_timer_us;
}

bool bsh_fresh_rewrite_done(bsh_adoption_t *a, int64_t now_us, uint64_t tag,
			    bsh_error_t err, uint64_t version)
{
	if (tag == 0 || tag != a->rewrite_tag)
		return false;
	a->rewrite_tag = 0;
	a->rewrite_timer_us = now_us + (err == BSH_OK ? REWRITE_STAGGER_US
						      : REWRITE_RETRY_US);
	/*
	 * The rewrite was conditional on the version of the adopted
	 * generation, so the new version holds that generation too.  A
	 * generation adopted since then has a higher version, which is kept.
	 */
	if (err == BSH_OK && version > a->current.version &&
	    a->highest_known == a->current.generation)
		a->current.version = version;
	clear_settled_proposal(a);
	return true;
}

/* ---- record of confirmed instances ---- */

static void expire_recipients(bsh_adoption_t *a, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	a->last_sweep_us = now_us;
	g_hash_table_iter_init(&iter, a->recipients);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bsh_recipient_t *r = value;

		if (now_us - r->last_confirmed_us > BSH_WITH_DRIFT(a->fresh_us))
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Returns the lowest generation that this instance or one that it confirmed may
 * still run.  A witness reports 0 for fresh_ms after its start, because it has
 * no record of the instances that its former incarnation confirmed.  Other
 * instances need not: their parent still counts their former incarnation.
 */
uint64_t bsh_fresh_settled(bsh_adoption_t *a, int64_t now_us)
{
	uint64_t settled = a->current.generation;
	GHashTableIter iter;
	gpointer value;

	if (bsh_adoption_is_witness(a) &&
	    now_us - a->started_us < BSH_WITH_DRIFT(a->fresh_us))
		return 0;
	if (now_us - a->last_sweep_us > SWEEP_INTERVAL_US)
		expire_recipients(a, now_us);
	g_hash_table_iter_init(&iter, a->recipients);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		settled = MIN(settled, ((bsh_recipient_t *)value)->settled);
	return settled;
}

static void note_recipient(bsh_adoption_t *a, int64_t now_us, const char *name,
			   uint64_t incarnation, uint64_t settled,
			   bool confirmed)
{
	char key[BSH_NAME_SIZE + 24];
	bsh_recipient_t *r;

	snprintf(key, sizeof(key), "%s/%" G_GUINT64_FORMAT, name,
		 (guint64)incarnation);
	r = g_hash_table_lookup(a->recipients, key);
	if (r == NULL) {
		if (!confirmed)
			return;
		r = g_new0(bsh_recipient_t, 1);
		g_hash_table_insert(a->recipients, g_strdup(key), r);
	}
	r->settled = settled;
	if (confirmed)
		r->last_confirmed_us = now_us;
}

/*
 * A witness neither confirms another witness nor records it as a recipient:
 * each reports `settled` to the proposer itself, and two that recorded each
 * other would wait for each other.
 */
void bsh_fresh_receive_query(bsh_adoption_t *a, int64_t now_us,
			     const char *from, uint64_t incarnation,
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
	/* Report to the parent soon that all recipients have adopted. */
	if (a->is_relay && a->settled_reported < answer.settled)
		a->next_parent_query_us =
			MIN(a->next_parent_query_us, now_us + 50 * MS_US);
}

static void receive_from_parent(bsh_adoption_t *a, int64_t now_us,
				const bsh_adoption_message_t *msg)
{
	bool usable = msg->confirm_age_ms != BSH_MEMBER_AGE_NONE_MS &&
		      msg->generation <= a->current.generation;
	int64_t dated_us;

	a->parent_query_deadline_us = 0;
	a->next_parent_query_us = now_us + query_interval_us(a);
	if (!usable) {
		/*
		 * Retry early only while fresh: when no instance can reach
		 * the store, more queries are useless.
		 */
		if (bsh_adoption_is_fresh(a, now_us))
			a->next_parent_query_us = now_us + QUERY_RETRY_US;
		if (msg->generation <= a->current.generation)
			a->parent_index++;
		return;
	}
	dated_us = a->parent_query_sent_us - msg->confirm_age_ms * MS_US;
	a->confirmed_us = MAX(a->confirmed_us, dated_us);
	/* Use an old confirmation, but query another parent next time. */
	if (msg->confirm_age_ms * MS_US > DIRECT_READ_AFTER_US(a))
		a->parent_index++;
	else if (a->is_relay &&
		 a->settled_reported < bsh_fresh_settled(a, now_us))
		a->next_parent_query_us = now_us + 50 * MS_US;
}

void bsh_fresh_receive_reply(bsh_adoption_t *a, int64_t now_us,
			     const char *from,
			     const bsh_adoption_message_t *msg)
{
	bsh_witness_t *w = bsh_fresh_witness(a, from);

	if (a->parent_query_deadline_us != 0 &&
	    msg->sequence == a->parent_query_sequence) {
		receive_from_parent(a, now_us, msg);
	} else if (w != NULL && msg->sequence == w->query_sequence) {
		w->query_sequence = 0;
		if (msg->vote) {
			w->vote_us = w->query_sent_us;
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
		bsh_adoption_generation_reported(a, now_us, from,
						 msg->generation, 0);
}

/* ---- life cycle ---- */

static void renew_witness_states(bsh_adoption_t *a)
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
	int64_t query_us = now_us + bsh_rng_below(&a->rng, 200000);

	renew_witness_states(a);
	if (a->prepared <= a->current.generation)
		a->prepared = 0;
	/*
	 * Report the adopted generation to the parent soon; relays wait for
	 * their leaves to report first.
	 */
	if (a->is_relay)
		query_us += 300 * MS_US;
	a->next_parent_query_us = MIN(a->next_parent_query_us, query_us);
}

int64_t bsh_fresh_tick(bsh_adoption_t *a, int64_t now_us)
{
	int64_t due_us = read_tick(a, now_us);

	due_us = MIN(due_us, query_tick(a, now_us));
	due_us = MIN(due_us, vote_tick(a, now_us));
	return MIN(due_us, rewrite_tick(a, now_us));
}

void bsh_fresh_init(bsh_adoption_t *a, int64_t now_us)
{
	a->recipients =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->last_sweep_us = now_us;
	a->next_parent_query_us = now_us;
	a->next_read_us = now_us;
}

void bsh_fresh_finish(bsh_adoption_t *a)
{
	g_hash_table_destroy(a->recipients);
}
