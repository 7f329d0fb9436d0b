#include "coordination/member_view.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define HOUR_US (INT64_C(3600) * 1000000)

/* Dead members are probed for a day: a cut-off region may return late. */
#define DEAD_KEEP_US (24 * HOUR_US)
#define GONE_KEEP_US HOUR_US
#define HINT_KEEP_US HOUR_US
/*
 * Leaving flags of targets are sent with their age, rounded up.  Without it
 * members that still hold a flag would restore it for ever at members that
 * have removed it.
 */
#define TARGET_KEEP_US (24 * HOUR_US)
#define MINUTE_US      (INT64_C(60) * 1000000)

/* Suspicions by different members that shorten the timeout to its minimum. */
#define SUSPECT_VOTES_MAX 3

static guint64 rank_of(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

static bool is_self(const bsh_view_t *v, const bsh_member_record_t *r)
{
	return r == v->self;
}

bsh_member_record_t *bsh_view_find(const bsh_view_t *v, const char *name)
{
	return g_hash_table_lookup(v->by_name, name);
}

bsh_member_record_t *bsh_view_at(const bsh_view_t *v, guint index)
{
	return g_ptr_array_index(v->by_rank, index);
}

static void queue_update(bsh_view_t *v, bsh_record_t *record, bool forward)
{
	if (!forward)
		return;
	bsh_gossip_queue_add(&v->gossip_queue, &record->gossip_item);
	v->has_new_updates = true;
}

static guint position_of(const bsh_view_t *v, const bsh_member_t *member)
{
	guint low = 0;
	guint high = v->by_rank->len;

	while (low < high) {
		guint middle = (low + high) / 2;
		const bsh_member_t *m = &bsh_view_at(v, middle)->pub;

		if (m->rank < member->rank ||
		    (m->rank == member->rank &&
		     strcmp(m->name, member->name) < 0))
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

guint bsh_view_position(const bsh_view_t *v, uint64_t rank)
{
	bsh_member_t key = { .rank = rank };

	return position_of(v, &key);
}

static bsh_member_record_t *add_member(bsh_view_t *v, int64_t now_us,
				       const char *name, uint64_t incarnation)
{
	bsh_member_record_t *r = g_new0(bsh_member_record_t, 1);

	r->record.type = RECORD_MEMBER;
	bsh_gossip_item_init(&r->record.gossip_item, r);
	g_strlcpy(r->pub.name, name, sizeof(r->pub.name));
	r->pub.rank = rank_of(name);
	r->pub.incarnation = incarnation;
	r->pub.changed_us = now_us;
	r->pub.confirm_age_ms = BSH_MEMBER_AGE_NONE_MS;
	r->pub.is_hint = true;
	g_ptr_array_insert(v->by_rank, (gint)position_of(v, &r->pub), r);
	g_hash_table_insert(v->by_name, r->pub.name, r);
	return r;
}

static void remove_member(bsh_view_t *v, bsh_member_record_t *r)
{
	bsh_gossip_queue_remove(&v->gossip_queue, &r->record.gossip_item);
	g_ptr_array_remove(v->joined, r);
	g_ptr_array_remove_index(v->by_rank, position_of(v, &r->pub));
	g_hash_table_remove(v->by_name, r->pub.name);
	g_free(r);
}

/* A record before a change, for finish_change() to compare with. */
typedef struct {
	bool live;
	bool dead;
	bsh_member_t copy;
} snapshot_t;

static snapshot_t take_snapshot(const bsh_member_record_t *r)
{
	snapshot_t before = { .live = bsh_member_is_live(&r->pub),
			      .dead = !r->pub.is_hint &&
				      r->pub.state == BSH_MEMBER_DEAD,
			      .copy = r->pub };

	return before;
}

/*
 * Updates the counters and flags of the view after a change of r, queues r for
 * gossip and calls ops->changed().
 */
static void finish_change(bsh_view_t *v, int64_t now_us, bsh_member_record_t *r,
			  const snapshot_t *before, bool forward)
{
	bool live = bsh_member_is_live(&r->pub);
	bool changed = before->copy.state != r->pub.state ||
		       before->copy.incarnation != r->pub.incarnation ||
		       before->copy.is_hint != r->pub.is_hint;
	bool leaving = before->copy.leaving != r->pub.leaving;
	/*
	 * Other members read the platform's list too.  If each confirmed hint
	 * were forwarded, a starting fleet of n would forward n^2 updates.
	 */
	bool confirms_hint = before->copy.is_hint && !leaving &&
			     before->copy.incarnation == r->pub.incarnation;

	if (changed)
		r->pub.changed_us = now_us;
	if (leaving || (changed && (r->pub.leaving || before->copy.leaving)))
		v->is_leaving_digest_stale = true;
	if (live != before->live) {
		v->live += live ? 1 : -1;
		v->version++;
		if (live)
			g_ptr_array_add(v->joined, r);
		if (live && before->dead &&
		    before->copy.incarnation == r->pub.incarnation)
			v->saw_false_death = true;
	} else if (before->copy.incarnation != r->pub.incarnation) {
		v->version++;
	}
	if (before->copy.is_hint && !r->pub.is_hint)
		v->records_added++;
	if (leaving && r->pub.leaving)
		v->has_leaving_updates = true;
	if (changed || leaving) {
		queue_update(v, &r->record,
			     forward && !r->pub.is_hint && !confirms_hint);
		v->ops->changed(v->ctx, &r->pub);
	} else if (r == v->self && before->copy.revision != r->pub.revision) {
		/*
		 * Other members forward a higher revision only if it changes
		 * the state.  After a partition every member refutes, and
		 * most of the others never suspected it.
		 */
		queue_update(v, &r->record, forward);
	}
}

/*
 * Lower bound of the suspicion timeout: an update needs about log10(n) periods
 * to reach the suspect and the refutation as many to return, and one period is
 * added for packet loss.
 */
static int64_t suspect_min_us(const bsh_view_t *v)
{
	double periods = 2.0 * log10((double)MAX(v->live, 1)) + 1.0;

	return (int64_t)(MAX(periods, 3.0) * v->period_us);
}

static void start_suspicion(bsh_view_t *v, int64_t now_us,
			    bsh_member_record_t *r, guint64 from_rank)
{
	r->pub.state = BSH_MEMBER_SUSPECT;
	r->pub.suspect_max_us = 2 * suspect_min_us(v);
	r->pub.suspect_votes = 1;
	r->pub.suspect_from[0] = from_rank;
	r->pub.suspect_until_us = now_us + r->pub.suspect_max_us;
}

/*
 * Counts a further suspicion, one for each member that reports it.  The timeout
 * falls with the log of the number of suspicions, from suspect_max_us at one to
 * half of it at SUSPECT_VOTES_MAX.
 */
static void count_vote(bsh_view_t *v, bsh_member_record_t *r, guint64 from_rank,
		       bool forward)
{
	int64_t max_us = r->pub.suspect_max_us;
	int64_t min_us = max_us / 2;
	int64_t start_us;
	double share;

	for (guint32 i = 0; i < r->pub.suspect_votes; i++) {
		if (r->pub.suspect_from[i] == from_rank)
			return;
	}
	if (r->pub.suspect_votes >= SUSPECT_VOTES_MAX)
		return;
	start_us =
		r->pub.suspect_until_us -
		(int64_t)((double)max_us - (double)(max_us - min_us) *
						   log(r->pub.suspect_votes) /
						   log(SUSPECT_VOTES_MAX));
	r->pub.suspect_from[r->pub.suspect_votes++] = from_rank;
	share = log(r->pub.suspect_votes) / log(SUSPECT_VOTES_MAX);
	r->pub.suspect_until_us = start_us + max_us -
				  (int64_t)((double)(max_us - min_us) * share);
	queue_update(v, &r->record, forward);
}

void bsh_view_suspect(bsh_view_t *v, int64_t now_us, bsh_member_record_t *r)
{
	snapshot_t before = take_snapshot(r);

	v->stats.suspicions++;
	if (r->pub.state == BSH_MEMBER_ALIVE) {
		start_suspicion(v, now_us, r, v->self->pub.rank);
		finish_change(v, now_us, r, &before, true);
	} else if (r->pub.state == BSH_MEMBER_SUSPECT) {
		count_vote(v, r, v->self->pub.rank, true);
	}
}

void bsh_view_announce(bsh_view_t *v, int64_t now_us, uint32_t revision)
{
	snapshot_t before = take_snapshot(v->self);

	v->self->pub.revision = MAX(revision, v->self->pub.revision + 1);
	finish_change(v, now_us, v->self, &before, true);
}

/*
 * Updates about this instance: only the leaving flag is applied; a suspicion or
 * death is refuted with a higher revision.
 */
static void merge_self(bsh_view_t *v, int64_t now_us,
		       const bsh_member_update_t *u)
{
	snapshot_t before = take_snapshot(v->self);

	if (u->incarnation != v->self->pub.incarnation)
		return;
	if (u->leaving && !v->self->pub.leaving) {
		v->self->pub.leaving = true;
		finish_change(v, now_us, v->self, &before, true);
	}
	if ((u->state == BSH_MEMBER_SUSPECT || u->state == BSH_MEMBER_DEAD) &&
	    u->revision >= v->self->pub.revision) {
		v->stats.refutations++;
		v->did_refute = true;
		/*
		 * This instance was cut off from the member that declared it
		 * dead, and may have declared live members dead itself.
		 */
		if (u->state == BSH_MEMBER_DEAD)
			v->saw_false_death = true;
		bsh_view_announce(v, now_us, u->revision + 1);
	}
}

static void copy_place(bsh_member_record_t *r, const bsh_member_update_t *u)
{
	if (u->has_place) {
		r->pub.place = u->place;
		r->pub.has_place = true;
	}
}

static void replace_state(bsh_view_t *v, int64_t now_us, bsh_member_record_t *r,
			  const bsh_member_update_t *u)
{
	r->pub.is_hint = false;
	r->pub.incarnation = u->incarnation;
	r->pub.revision = u->revision;
	r->pub.state = u->state;
	r->pub.leaving = u->leaving;
	r->pub.generation = 0;
	r->pub.confirm_age_ms = BSH_MEMBER_AGE_NONE_MS;
	copy_place(r, u);
	if (u->state == BSH_MEMBER_SUSPECT)
		start_suspicion(v, now_us, r, 0);
}

/*
 * A death without a prior suspicion may be outdated, for example from the other
 * side of a healed partition.  The member is suspected first, so that it has
 * time to refute.
 */
static void merge_death(bsh_view_t *v, int64_t now_us, bsh_member_record_t *r,
			const bsh_member_update_t *u, guint64 from_rank)
{
	if (r->pub.state == BSH_MEMBER_SUSPECT &&
	    u->revision >= r->pub.revision) {
		r->pub.state = BSH_MEMBER_DEAD;
	} else if (r->pub.state == BSH_MEMBER_ALIVE) {
		start_suspicion(v, now_us, r, from_rank);
		r->pub.suspect_until_us = now_us + suspect_min_us(v);
	}
	r->pub.revision = u->revision;
}

/*
 * Queues a refutation again when another member still sends the suspicion or
 * death that it refuted.
 */
static void repeat_refutation(bsh_view_t *v, bsh_member_record_t *r,
			      bool forward)
{
	if (r->pub.state == BSH_MEMBER_ALIVE && r->record.gossip_item.level < 0)
		queue_update(v, &r->record, forward);
}

static void merge_state(bsh_view_t *v, int64_t now_us, bsh_member_record_t *r,
			const bsh_member_update_t *u, guint64 from_rank,
			bool forward)
{
	if (u->revision < r->pub.revision && u->state != BSH_MEMBER_GONE) {
		if (u->state != BSH_MEMBER_ALIVE)
			repeat_refutation(v, r, forward);
		return;
	}
	switch (u->state) {
	case BSH_MEMBER_ALIVE:
		if (u->revision > r->pub.revision) {
			r->pub.state = BSH_MEMBER_ALIVE;
			r->pub.revision = u->revision;
			copy_place(r, u);
		}
		break;
	case BSH_MEMBER_SUSPECT:
		if (u->revision > r->pub.revision ||
		    (u->revision == r->pub.revision &&
		     r->pub.state == BSH_MEMBER_ALIVE)) {
			r->pub.revision = u->revision;
			start_suspicion(v, now_us, r, from_rank);
		} else if (u->revision == r->pub.revision &&
			   r->pub.state == BSH_MEMBER_SUSPECT) {
			count_vote(v, r, from_rank, forward);
		}
		break;
	case BSH_MEMBER_DEAD:
		merge_death(v, now_us, r, u, from_rank);
		break;
	default:
		r->pub.state = BSH_MEMBER_GONE;
		break;
	}
}

static void merge_member(bsh_view_t *v, int64_t now_us,
			 const bsh_member_record_t *from,
			 const bsh_member_update_t *u, bool forward)
{
	bsh_member_record_t *r = bsh_view_find(v, u->name);
	guint64 from_rank = from != NULL ? from->pub.rank : 0;
	snapshot_t before;

	if (r == v->self) {
		merge_self(v, now_us, u);
		return;
	}
	if (r == NULL) {
		/* An unknown member is added only if live and with a place. */
		if (u->state > BSH_MEMBER_SUSPECT || !u->has_place)
			return;
		r = add_member(v, now_us, u->name, 0);
	}
	if (u->incarnation < r->pub.incarnation) {
		v->stats.ignored++;
		return;
	}
	before = take_snapshot(r);
	if (u->incarnation > r->pub.incarnation ||
	    (r->pub.is_hint && r->pub.state != BSH_MEMBER_GONE)) {
		bool leaving =
			r->pub.leaving && u->incarnation == r->pub.incarnation;

		replace_state(v, now_us, r, u);
		r->pub.leaving |= leaving;
	} else if (r->pub.state != BSH_MEMBER_GONE) {
		if (!r->pub.has_place)
			copy_place(r, u);
		r->pub.leaving |= u->leaving;
		merge_state(v, now_us, r, u, from_rank, forward);
	}
	finish_change(v, now_us, r, &before, forward);
}

static bsh_resource_record_t *find_oldest(GHashTable *table)
{
	bsh_resource_record_t *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bsh_resource_record_t *r = value;

		if (oldest == NULL || r->changed_us < oldest->changed_us)
			oldest = r;
	}
	return oldest;
}

static void remove_resource(bsh_view_t *v, GHashTable *table,
			    bsh_resource_record_t *r)
{
	v->is_leaving_digest_stale = true;
	bsh_gossip_queue_remove(&v->gossip_queue, &r->record.gossip_item);
	g_hash_table_remove(table, r->name);
}

static void merge_resource(bsh_view_t *v, int64_t now_us, GHashTable *table,
			   const bsh_member_update_t *u, guint max,
			   bool forward)
{
	bsh_resource_record_t *r = g_hash_table_lookup(table, u->name);
	bool is_target = table == v->targets;

	if (r != NULL && u->incarnation <= r->incarnation)
		return;
	if (is_target && u->revision * MINUTE_US > TARGET_KEEP_US)
		return;
	if (r == NULL) {
		if (g_hash_table_size(table) >= max)
			remove_resource(v, table, find_oldest(table));
		r = g_new0(bsh_resource_record_t, 1);
		r->record.type = is_target ? RECORD_TARGET : RECORD_CELL;
		bsh_gossip_item_init(&r->record.gossip_item, r);
		g_strlcpy(r->name, u->name, sizeof(r->name));
		g_hash_table_insert(table, r->name, r);
		v->records_added++;
	}
	r->incarnation = u->incarnation;
	r->changed_us = now_us - (is_target ? u->revision * MINUTE_US : 0);
	g_strlcpy(r->owner, u->owner, sizeof(r->owner));
	queue_update(v, &r->record, forward);
	if (is_target) {
		v->is_leaving_digest_stale = true;
		v->has_leaving_updates = true;
		v->ops->target_leaving(v->ctx, r->name, r->incarnation);
	} else {
		v->ops->cell_owner(v->ctx, r->name, r->owner, r->incarnation);
	}
}

void bsh_view_merge(bsh_view_t *v, int64_t now_us,
		    const bsh_member_record_t *from,
		    const bsh_member_update_t *u, bool forward)
{
	switch (u->type) {
	case BSH_UPDATE_TARGET:
		merge_resource(v, now_us, v->targets, u, BSH_TARGETS_MAX,
			       forward);
		break;
	case BSH_UPDATE_CELL:
		merge_resource(v, now_us, v->cells, u, BSH_CELLS_MAX, forward);
		break;
	default:
		merge_member(v, now_us, from, u, forward);
		break;
	}
}

bsh_member_record_t *bsh_view_add_hint(bsh_view_t *v, int64_t now_us,
				       const char *name, uint64_t incarnation,
				       const bsh_member_place_t *place)
{
	bsh_member_record_t *r = bsh_view_find(v, name);

	if (r == NULL)
		r = add_member(v, now_us, name, incarnation);
	if (r->pub.is_hint) {
		r->pub.incarnation = MAX(r->pub.incarnation, incarnation);
		r->pub.changed_us = now_us;
	}
	if (place != NULL && !r->pub.has_place) {
		r->pub.place = *place;
		r->pub.has_place = true;
	}
	return r;
}

static bool is_expired(const bsh_member_t *m, int64_t now_us)
{
	int64_t age_us = now_us - m->changed_us;

	if (m->is_hint)
		return age_us > HINT_KEEP_US;
	if (m->state == BSH_MEMBER_DEAD)
		return age_us > DEAD_KEEP_US;
	return m->state == BSH_MEMBER_GONE && age_us > GONE_KEEP_US;
}

static gboolean is_expired_target(gpointer key, gpointer value, gpointer ctx)
{
	bsh_resource_record_t *r = value;
	const int64_t *now_us = ctx;

	(void)key;
	/* A queued record is linked into the gossip queue; keep it. */
	return r->record.gossip_item.level < 0 &&
	       *now_us - r->changed_us > TARGET_KEEP_US;
}

void bsh_view_expire(bsh_view_t *v, int64_t now_us)
{
	for (guint i = 0; i < v->by_rank->len; i++) {
		bsh_member_record_t *r = bsh_view_at(v, i);

		if (is_self(v, r))
			continue;
		if (r->pub.state == BSH_MEMBER_SUSPECT && !r->pub.is_hint &&
		    now_us >= r->pub.suspect_until_us) {
			snapshot_t before = take_snapshot(r);

			r->pub.state = BSH_MEMBER_DEAD;
			v->stats.deaths++;
			finish_change(v, now_us, r, &before, true);
		} else if (is_expired(&r->pub, now_us)) {
			remove_member(v, r);
			i--;
		}
	}
	if (g_hash_table_foreach_remove(v->targets, is_expired_target,
					&now_us) > 0)
		v->is_leaving_digest_stale = true;
}

void bsh_view_drop_failure_reports(bsh_view_t *v, int64_t now_us)
{
	for (guint i = 0; i < v->by_rank->len; i++) {
		bsh_member_record_t *r = bsh_view_at(v, i);
		snapshot_t before = take_snapshot(r);

		if (r->pub.is_hint || (r->pub.state != BSH_MEMBER_DEAD &&
				       r->pub.state != BSH_MEMBER_SUSPECT))
			continue;
		bsh_gossip_queue_remove(&v->gossip_queue,
					&r->record.gossip_item);
		if (r->pub.state == BSH_MEMBER_SUSPECT) {
			r->pub.state = BSH_MEMBER_ALIVE;
			finish_change(v, now_us, r, &before, false);
		}
	}
}

void bsh_view_extend_suspicions(bsh_view_t *v, int64_t late_us)
{
	for (guint i = 0; i < v->by_rank->len; i++) {
		bsh_member_record_t *r = bsh_view_at(v, i);

		if (r->pub.state == BSH_MEMBER_SUSPECT)
			r->pub.suspect_until_us += late_us;
	}
}

void bsh_view_make_update(const bsh_record_t *record, int64_t now_us,
			  bool with_place, bsh_member_update_t *u)
{
	const bsh_member_record_t *member = (const void *)record;
	const bsh_resource_record_t *resource = (const void *)record;

	u->has_place = false;
	u->leaving = false;
	u->revision = 0;
	u->state = BSH_MEMBER_ALIVE;
	if (record->type != RECORD_MEMBER) {
		u->type = record->type == RECORD_TARGET ? BSH_UPDATE_TARGET
							: BSH_UPDATE_CELL;
		g_strlcpy(u->name, resource->name, sizeof(u->name));
		g_strlcpy(u->owner, resource->owner, sizeof(u->owner));
		u->incarnation = resource->incarnation;
		if (record->type == RECORD_TARGET)
			u->revision =
				(uint32_t)((now_us - resource->changed_us) /
					   MINUTE_US) +
				1;
		return;
	}
	u->type = BSH_UPDATE_MEMBER;
	g_strlcpy(u->name, member->pub.name, sizeof(u->name));
	u->incarnation = member->pub.incarnation;
	u->revision = member->pub.revision;
	u->state = member->pub.state;
	u->leaving = member->pub.leaving;
	if (member->pub.has_place && bsh_member_is_live(&member->pub) &&
	    (with_place || (member->pub.state == BSH_MEMBER_ALIVE &&
			    member->pub.revision == 0))) {
		u->has_place = true;
		u->place = member->pub.place;
	}
}

guint bsh_view_bucket(const bsh_record_t *record)
{
	const bsh_member_record_t *member = (const void *)record;
	const bsh_resource_record_t *resource = (const void *)record;
	guint64 rank = record->type == RECORD_MEMBER ? member->pub.rank
						     : rank_of(resource->name);

	return (guint)(rank % BSH_MEMBER_SYNC_BUCKETS);
}

static void add_digest(uint32_t *digests, const bsh_record_t *record, guint64 a,
		       guint64 b, guint64 c)
{
	guint64 key[3] = { a, b, c };

	digests[bsh_view_bucket(record)] ^=
		(uint32_t)XXH3_64bits_withSeed(key, sizeof(key), record->type);
}

static void add_resource_digests(uint32_t *digests, GHashTable *table)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bsh_resource_record_t *r = value;

		add_digest(digests, &r->record, rank_of(r->name),
			   r->incarnation, 0);
	}
}

/*
 * Covers live members only.  If deaths were exchanged too, the two sides of a
 * healed partition would adopt each other's and hold all members dead.
 */
void bsh_view_digests(const bsh_view_t *v,
		      uint32_t digests[BSH_MEMBER_SYNC_BUCKETS])
{
	memset(digests, 0, BSH_MEMBER_SYNC_BUCKETS * sizeof(digests[0]));
	for (guint i = 0; i < v->by_rank->len; i++) {
		const bsh_member_record_t *r = bsh_view_at(v, i);

		if (bsh_member_is_live(&r->pub))
			add_digest(digests, &r->record, r->pub.rank,
				   r->pub.incarnation, r->pub.leaving);
	}
	add_resource_digests(digests, v->targets);
	add_resource_digests(digests, v->cells);
}

uint32_t bsh_view_leaving_digest(bsh_view_t *v)
{
	uint32_t digests[BSH_MEMBER_SYNC_BUCKETS] = { 0 };

	if (!v->is_leaving_digest_stale)
		return v->leaving_digest;
	add_resource_digests(digests, v->targets);
	for (guint i = 0; i < v->by_rank->len; i++) {
		const bsh_member_record_t *r = bsh_view_at(v, i);

		if (r->pub.leaving && bsh_member_is_live(&r->pub))
			add_digest(digests, &r->record, r->pub.rank,
				   r->pub.incarnation, 0);
	}
	v->leaving_digest = 0;
	for (guint i = 0; i < BSH_MEMBER_SYNC_BUCKETS; i++)
		v->leaving_digest ^= digests[i];
	v->is_leaving_digest_stale = false;
	return v->leaving_digest;
}

void bsh_view_init(bsh_view_t *v, const bsh_members_config_t *config,
		   const bsh_members_ops_t *ops, void *ctx, int64_t now_us)
{
	v->ops = ops;
	v->ctx = ctx;
	v->period_us = config->period_ms * 1000u;
	v->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	v->by_rank = g_ptr_array_new();
	v->joined = g_ptr_array_new();
	v->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	v->cells = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	bsh_gossip_queue_init(&v->gossip_queue);
	v->self = add_member(v, now_us, config->name, config->incarnation);
	v->self->pub.is_hint = false;
	v->self->pub.place = config->place;
	v->self->pub.has_place = true;
	v->live = 1;
	v->version = 1;
	queue_update(v, &v->self->record, true);
}

void bsh_view_finish(bsh_view_t *v)
{
	g_hash_table_destroy(v->by_name);
	for (guint i = 0; i < v->by_rank->len; i++)
		g_free(bsh_view_at(v, i));
	g_ptr_array_free(v->by_rank, TRUE);
	g_ptr_array_free(v->joined, TRUE);
	g_hash_table_destroy(v->targets);
	g_hash_table_destroy(v->cells);
}
