#include "coordination/member_view.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define HOUR_US (INT64_C(3600) * 1000000)

/* A dead member is tried for a day, as parted regions come back later. */
#define DEAD_KEEP_US (24 * HOUR_US)
#define GONE_KEEP_US HOUR_US
#define HINT_KEEP_US HOUR_US
/*
 * Flags of targets travel with their age, rounded up, so that members that
 * still have one cannot teach it to those that forgot it for ever.
 */
#define TARGET_KEEP_US (24 * HOUR_US)
#define MINUTE_US      (INT64_C(60) * 1000000)

/* Independent suspicions that shorten the timeout to its minimum. */
#define SUSPECT_VOTES 3

static guint64 rank_of(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

static bool is_fixed(const bsh_view_t *v, const bsh_member_record_t *r)
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

static void publish(bsh_view_t *v, bsh_record_t *record, bool spread)
{
	if (!spread)
		return;
	bsh_news_add(&v->news, &record->news);
	v->has_news = true;
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
	bsh_news_item_init(&r->record.news, r);
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
	bsh_news_remove(&v->news, &r->record.news);
	g_ptr_array_remove(v->joined, r);
	g_ptr_array_remove_index(v->by_rank, position_of(v, &r->pub));
	g_hash_table_remove(v->by_name, r->pub.name);
	g_free(r);
}

/* The state before a change is compared with the one after it. */
typedef struct {
	bool live;
	bool dead;
	bsh_member_t copy;
} before_t;

static before_t note(const bsh_member_record_t *r)
{
	before_t before = { .live = bsh_member_is_live(&r->pub),
			    .dead = !r->pub.is_hint &&
				    r->pub.state == BSH_MEMBER_DEAD,
			    .copy = r->pub };

	return before;
}

static void conclude(bsh_view_t *v, int64_t now_us, bsh_member_record_t *r,
		     const before_t *before, bool spread)
{
	bool live = bsh_member_is_live(&r->pub);
	bool changed = before->copy.state != r->pub.state ||
		       before->copy.incarnation != r->pub.incarnation ||
		       before->copy.is_hint != r->pub.is_hint;
	bool leaving = before->copy.leaving != r->pub.leaving;
	/*
	 * Others have the platform's list too.  If each confirmed entry were
	 * news, a fleet that starts would pass on its square.
	 */
	bool confirms_hint = before->copy.is_hint && !leaving &&
			     before->copy.incarnation == r->pub.incarnation;

	if (changed)
		r->pub.changed_us = now_us;
	if (leaving || (changed && (r->pub.leaving || before->copy.leaving)))
		v->is_digest_old = true;
	if (live != before->live) {
		v->live += live ? 1 : -1;
		v->version++;
		if (live)
			g_ptr_array_add(v->joined, r);
		if (live && before->dead &&
		    before->copy.incarnation == r->pub.incarnation)
			v->did_return = true;
	} else if (before->copy.incarnation != r->pub.incarnation) {
		v->version++;
	}
	if (before->copy.is_hint && !r->pub.is_hint)
		v->added++;
	if (leaving && r->pub.leaving)
		v->has_leaving_news = true;
	if (changed || leaving) {
		publish(v, &r->record,
			spread && !r->pub.is_hint && !confirms_hint);
		v->ops->changed(v->ctx, &r->pub);
	} else if (r == v->self && before->copy.revision != r->pub.revision) {
		/*
		 * Others pass a higher revision on only where it changes
		 * something.  After a partition every member refutes, and
		 * most of the others never doubted it.
		 */
		publish(v, &r->record, spread);
	}
}

/*
 * Lower bound of the suspicion timeout: news needs about log10(n) periods to
 * reach the suspect and its refutation as many to come back, and one period
 * is added for loss.
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

static void count_vote(bsh_view_t *v, bsh_member_record_t *r, guint64 from_rank,
		       bool spread)
{
	int64_t max_us = r->pub.suspect_max_us;
	int64_t min_us = max_us / 2;
	int64_t start_us;
	double share;

	for (guint32 i = 0; i < r->pub.suspect_votes; i++) {
		if (r->pub.suspect_from[i] == from_rank)
			return;
	}
	if (r->pub.suspect_votes >= SUSPECT_VOTES)
		return;
	start_us =
		r->pub.suspect_until_us -
		(int64_t)((double)max_us - (double)(max_us - min_us) *
						   log(r->pub.suspect_votes) /
						   log(SUSPECT_VOTES));
	r->pub.suspect_from[r->pub.suspect_votes++] = from_rank;
	share = log(r->pub.suspect_votes) / log(SUSPECT_VOTES);
	r->pub.suspect_until_us = start_us + max_us -
				  (int64_t)((double)(max_us - min_us) * share);
	publish(v, &r->record, spread);
}

void bsh_view_suspect(bsh_view_t *v, int64_t now_us, bsh_member_record_t *r)
{
	before_t before = note(r);

	v->stats.suspicions++;
	if (r->pub.state == BSH_MEMBER_ALIVE) {
		start_suspicion(v, now_us, r, v->self->pub.rank);
		conclude(v, now_us, r, &before, true);
	} else if (r->pub.state == BSH_MEMBER_SUSPECT) {
		count_vote(v, r, v->self->pub.rank, true);
	}
}

void bsh_view_announce(bsh_view_t *v, int64_t now_us, uint32_t revision)
{
	before_t before = note(v->self);

	v->self->pub.revision = MAX(revision, v->self->pub.revision + 1);
	conclude(v, now_us, v->self, &before, true);
}

/* What others say about this instance: it alone decides, but for leaving. */
static void merge_self(bsh_view_t *v, int64_t now_us,
		       const bsh_member_update_t *u)
{
	before_t before = note(v->self);

	if (u->incarnation != v->self->pub.incarnation)
		return;
	if (u->leaving && !v->self->pub.leaving) {
		v->self->pub.leaving = true;
		conclude(v, now_us, v->self, &before, true);
	}
	if ((u->state == BSH_MEMBER_SUSPECT || u->state == BSH_MEMBER_DEAD) &&
	    u->revision >= v->self->pub.revision) {
		v->stats.refutations++;
		v->was_refuted = true;
		/* Cut off from the accuser, this instance misjudged as well. */
		if (u->state == BSH_MEMBER_DEAD)
			v->did_return = true;
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

static void renew(bsh_view_t *v, int64_t now_us, bsh_member_record_t *r,
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
 * A death that comes without a suspicion before it may be old, for example
 * from the other half of a healed partition.  The member gets the time to
 * refute.
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

/* An accusation that was refuted: the refutation has not got everywhere. */
static void correct(bsh_view_t *v, bsh_member_record_t *r, bool spread)
{
	if (r->pub.state == BSH_MEMBER_ALIVE && r->record.news.level < 0)
		publish(v, &r->record, spread);
}

static void merge_state(bsh_view_t *v, int64_t now_us, bsh_member_record_t *r,
			const bsh_member_update_t *u, guint64 from_rank,
			bool spread)
{
	if (u->revision < r->pub.revision && u->state != BSH_MEMBER_GONE) {
		if (u->state != BSH_MEMBER_ALIVE)
			correct(v, r, spread);
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
			count_vote(v, r, from_rank, spread);
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
			 const bsh_member_update_t *u, bool spread)
{
	bsh_member_record_t *r = bsh_view_find(v, u->name);
	guint64 from_rank = from != NULL ? from->pub.rank : 0;
	before_t before;

	if (r == v->self) {
		merge_self(v, now_us, u);
		return;
	}
	if (r == NULL) {
		/* Nothing can be done with the end of an unknown member. */
		if (u->state > BSH_MEMBER_SUSPECT || !u->has_place)
			return;
		r = add_member(v, now_us, u->name, 0);
	}
	if (u->incarnation < r->pub.incarnation) {
		v->stats.ignored++;
		return;
	}
	before = note(r);
	if (u->incarnation > r->pub.incarnation ||
	    (r->pub.is_hint && r->pub.state != BSH_MEMBER_GONE)) {
		bool leaving =
			r->pub.leaving && u->incarnation == r->pub.incarnation;

		renew(v, now_us, r, u);
		r->pub.leaving |= leaving;
	} else if (r->pub.state != BSH_MEMBER_GONE) {
		if (!r->pub.has_place)
			copy_place(r, u);
		r->pub.leaving |= u->leaving;
		merge_state(v, now_us, r, u, from_rank, spread);
	}
	conclude(v, now_us, r, &before, spread);
}

static bsh_small_record_t *oldest_of(GHashTable *table)
{
	bsh_small_record_t *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bsh_small_record_t *r = value;

		if (oldest == NULL || r->changed_us < oldest->changed_us)
			oldest = r;
	}
	return oldest;
}

static void remove_small(bsh_view_t *v, GHashTable *table,
			 bsh_small_record_t *r)
{
	v->is_digest_old = true;
	bsh_news_remove(&v->news, &r->record.news);
	g_hash_table_remove(table, r->name);
}

static void merge_small(bsh_view_t *v, int64_t now_us, GHashTable *table,
			const bsh_member_update_t *u, guint max, bool spread)
{
	bsh_small_record_t *r = g_hash_table_lookup(table, u->name);
	bool is_target = table == v->targets;

	if (r != NULL && u->incarnation <= r->incarnation)
		return;
	if (is_target && u->revision * MINUTE_US > TARGET_KEEP_US)
		return;
	if (r == NULL) {
		if (g_hash_table_size(table) >= max)
			remove_small(v, table, oldest_of(table));
		r = g_new0(bsh_small_record_t, 1);
		r->record.type = is_target ? RECORD_TARGET : RECORD_CELL;
		bsh_news_item_init(&r->record.news, r);
		g_strlcpy(r->name, u->name, sizeof(r->name));
		g_hash_table_insert(table, r->name, r);
		v->added++;
	}
	r->incarnation = u->incarnation;
	r->changed_us = now_us - (is_target ? u->revision * MINUTE_US : 0);
	g_strlcpy(r->owner, u->owner, sizeof(r->owner));
	publish(v, &r->record, spread);
	if (is_target) {
		v->is_digest_old = true;
		v->has_leaving_news = true;
		v->ops->target_leaving(v->ctx, r->name, r->incarnation);
	} else {
		v->ops->cell_owner(v->ctx, r->name, r->owner, r->incarnation);
	}
}

void bsh_view_merge(bsh_view_t *v, int64_t now_us,
		    const bsh_member_record_t *from,
		    const bsh_member_update_t *u, bool spread)
{
	switch (u->type) {
	case BSH_UPDATE_TARGET:
		merge_small(v, now_us, v->targets, u, BSH_TARGETS_MAX, spread);
		break;
	case BSH_UPDATE_CELL:
		merge_small(v, now_us, v->cells, u, BSH_CELLS_MAX, spread);
		break;
	default:
		merge_member(v, now_us, from, u, spread);
		break;
	}
}

bsh_member_record_t *bsh_view_hint(bsh_view_t *v, int64_t now_us,
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

static bool is_forgotten(const bsh_member_t *m, int64_t now_us)
{
	int64_t age_us = now_us - m->changed_us;

	if (m->is_hint)
		return age_us > HINT_KEEP_US;
	if (m->state == BSH_MEMBER_DEAD)
		return age_us > DEAD_KEEP_US;
	return m->state == BSH_MEMBER_GONE && age_us > GONE_KEEP_US;
}

static gboolean is_old_target(gpointer key, gpointer value, gpointer ctx)
{
	bsh_small_record_t *r = value;
	const int64_t *now_us = ctx;

	(void)key;
	/* Queued records are linked into the news and stay. */
	return r->record.news.level < 0 &&
	       *now_us - r->changed_us > TARGET_KEEP_US;
}

void bsh_view_expire(bsh_view_t *v, int64_t now_us)
{
	for (guint i = 0; i < v->by_rank->len; i++) {
		bsh_member_record_t *r = bsh_view_at(v, i);

		if (is_fixed(v, r))
			continue;
		if (r->pub.state == BSH_MEMBER_SUSPECT && !r->pub.is_hint &&
		    now_us >= r->pub.suspect_until_us) {
			before_t before = note(r);

			r->pub.state = BSH_MEMBER_DEAD;
			v->stats.deaths++;
			conclude(v, now_us, r, &before, true);
		} else if (is_forgotten(&r->pub, now_us)) {
			remove_member(v, r);
			i--;
		}
	}
	if (g_hash_table_foreach_remove(v->targets, is_old_target, &now_us) > 0)
		v->is_digest_old = true;
}

void bsh_view_drop_verdicts(bsh_view_t *v, int64_t now_us)
{
	for (guint i = 0; i < v->by_rank->len; i++) {
		bsh_member_record_t *r = bsh_view_at(v, i);
		before_t before = note(r);

		if (r->pub.is_hint || (r->pub.state != BSH_MEMBER_DEAD &&
				       r->pub.state != BSH_MEMBER_SUSPECT))
			continue;
		bsh_news_remove(&v->news, &r->record.news);
		if (r->pub.state == BSH_MEMBER_SUSPECT) {
			r->pub.state = BSH_MEMBER_ALIVE;
			conclude(v, now_us, r, &before, false);
		}
	}
}

void bsh_view_forgive(bsh_view_t *v, int64_t lost_us)
{
	for (guint i = 0; i < v->by_rank->len; i++) {
		bsh_member_record_t *r = bsh_view_at(v, i);

		if (r->pub.state == BSH_MEMBER_SUSPECT)
			r->pub.suspect_until_us += lost_us;
	}
}

void bsh_view_update(const bsh_record_t *record, int64_t now_us,
		     bool with_place, bsh_member_update_t *u)
{
	const bsh_member_record_t *member = (const void *)record;
	const bsh_small_record_t *small = (const void *)record;

	u->has_place = false;
	u->leaving = false;
	u->revision = 0;
	u->state = BSH_MEMBER_ALIVE;
	if (record->type != RECORD_MEMBER) {
		u->type = record->type == RECORD_TARGET ? BSH_UPDATE_TARGET
							: BSH_UPDATE_CELL;
		g_strlcpy(u->name, small->name, sizeof(u->name));
		g_strlcpy(u->owner, small->owner, sizeof(u->owner));
		u->incarnation = small->incarnation;
		if (record->type == RECORD_TARGET)
			u->revision = (uint32_t)((now_us - small->changed_us) /
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
	const bsh_small_record_t *small = (const void *)record;
	guint64 rank = record->type == RECORD_MEMBER ? member->pub.rank
						     : rank_of(small->name);

	return (guint)(rank % BSH_MEMBER_SYNC_BUCKETS);
}

static void add_digest(uint32_t *digests, const bsh_record_t *record, guint64 a,
		       guint64 b, guint64 c)
{
	guint64 key[3] = { a, b, c };

	digests[bsh_view_bucket(record)] ^=
		(uint32_t)XXH3_64bits_withSeed(key, sizeof(key), record->type);
}

static void add_small_digests(uint32_t *digests, GHashTable *table)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bsh_small_record_t *r = value;

		add_digest(digests, &r->record, rank_of(r->name),
			   r->incarnation, 0);
	}
}

/*
 * Only live members count.  If the dead were exchanged too, two halves of a
 * healed partition would convince each other of the death of everyone.
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
	add_small_digests(digests, v->targets);
	add_small_digests(digests, v->cells);
}

uint32_t bsh_view_leaving_digest(bsh_view_t *v)
{
	uint32_t digests[BSH_MEMBER_SYNC_BUCKETS] = { 0 };

	if (!v->is_digest_old)
		return v->leaving_digest;
	add_small_digests(digests, v->targets);
	for (guint i = 0; i < v->by_rank->len; i++) {
		const bsh_member_record_t *r = bsh_view_at(v, i);

		if (r->pub.leaving && bsh_member_is_live(&r->pub))
			add_digest(digests, &r->record, r->pub.rank,
				   r->pub.incarnation, 0);
	}
	v->leaving_digest = 0;
	for (guint i = 0; i < BSH_MEMBER_SYNC_BUCKETS; i++)
		v->leaving_digest ^= digests[i];
	v->is_digest_old = false;
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
	bsh_news_init(&v->news);
	v->self = add_member(v, now_us, config->name, config->incarnation);
	v->self->pub.is_hint = false;
	v->self->pub.place = config->place;
	v->self->pub.has_place = true;
	v->live = 1;
	v->version = 1;
	publish(v, &v->self->record, true);
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
