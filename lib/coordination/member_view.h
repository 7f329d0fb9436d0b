#ifndef BSH_COORDINATION_MEMBER_VIEW_H
#define BSH_COORDINATION_MEMBER_VIEW_H

/*
 * NAME
 *	member_view - records of the membership module, private to it
 *
 * DESCRIPTION
 *	Holds what is known of members, leaving targets and cell owners, and
 *	merges updates into it.  Records that changed are queued as news.
 */

#include "coordination/member.h"
#include "coordination/news.h"

/* Bounds of the small tables; the oldest record is replaced when full. */
#define BSH_TARGETS_MAX 8192
#define BSH_CELLS_MAX	2048

typedef enum {
	RECORD_MEMBER,
	RECORD_TARGET,
	RECORD_CELL
} bsh_record_type_t;

/* First field of each record, so that a queued item tells what it is. */
typedef struct {
	bsh_record_type_t type;
	bsh_news_item_t news;
} bsh_record_t;

typedef struct {
	bsh_record_t record;
	bsh_member_t pub;
} bsh_member_record_t;

typedef struct {
	bsh_record_t record;
	char name[BSH_NAME_SIZE];
	char owner[BSH_NAME_SIZE]; /* of a cell */
	uint64_t incarnation;	   /* epoch of a cell */
	int64_t changed_us;
} bsh_small_record_t;

typedef struct {
	GHashTable *by_name; /* name -> bsh_member_record_t */
	GPtrArray *by_rank;  /* bsh_member_record_t, sorted by rank, name */
	GHashTable *targets; /* name -> bsh_small_record_t */
	GHashTable *cells;
	bsh_news_t news;
	bsh_member_record_t *self;
	guint live;
	uint64_t version;
	uint32_t leaving_digest;
	bool is_digest_old;
	uint32_t period_us;
	const bsh_members_ops_t *ops;
	void *ctx;
	bsh_members_stats_t stats;
	/* Set by merging, consumed by the protocol. */
	GPtrArray *joined; /* records that became live */
	bool has_news;
	bool has_leaving_news;
	bool was_refuted; /* this instance had to refute a suspicion */
	bool did_return;  /* a dead member refuted: a partition heals */
	guint added;	  /* records that were new since the last look */
} bsh_view_t;

void bsh_view_init(bsh_view_t *v, const bsh_members_config_t *config,
		   const bsh_members_ops_t *ops, void *ctx, int64_t now_us);
void bsh_view_finish(bsh_view_t *v);

bsh_member_record_t *bsh_view_find(const bsh_view_t *v, const char *name);
bsh_member_record_t *bsh_view_at(const bsh_view_t *v, guint index);

/* bsh_view_position - index of the first record of this rank or above. */
guint bsh_view_position(const bsh_view_t *v, uint64_t rank);

static inline bool bsh_member_is_live(const bsh_member_t *member)
{
	return !member->is_hint && member->state <= BSH_MEMBER_SUSPECT;
}

/*
 * bsh_view_hint - a name and place from the platform's list; added as a hint
 * when unknown.
 */
bsh_member_record_t *bsh_view_hint(bsh_view_t *v, int64_t now_us,
				   const char *name, uint64_t incarnation,
				   const bsh_member_place_t *place);

/*
 * bsh_view_merge - apply one update told by the member `from`.  spread: pass
 * it on when it is new.
 */
void bsh_view_merge(bsh_view_t *v, int64_t now_us,
		    const bsh_member_record_t *from,
		    const bsh_member_update_t *update, bool spread);

/* bsh_view_suspect - the own probe of this member failed. */
void bsh_view_suspect(bsh_view_t *v, int64_t now_us,
		      bsh_member_record_t *member);

/* bsh_view_announce - raise the own revision and tell everyone. */
void bsh_view_announce(bsh_view_t *v, int64_t now_us, uint32_t revision);

/* bsh_view_expire - suspicions that timed out, records to forget. */
void bsh_view_expire(bsh_view_t *v, int64_t now_us);

/*
 * bsh_view_drop_verdicts - void the suspicions and do not pass on deaths that
 * are queued as news.  When a partition heals these are about the other side,
 * and each of them would make the whole fleet suspect a live member.
 */
void bsh_view_drop_verdicts(bsh_view_t *v, int64_t now_us);

/* bsh_view_forgive - time lost by this process counts for the suspected. */
void bsh_view_forgive(bsh_view_t *v, int64_t lost_us);

/*
 * bsh_view_update - what is known of a record, as an update.  The place is only
 * needed by those that may not know the member: with_place, or a first news.
 */
void bsh_view_update(const bsh_record_t *record, int64_t now_us,
		     bool with_place, bsh_member_update_t *update);

/* bsh_view_digests - one digest for each bucket of records. */
void bsh_view_digests(const bsh_view_t *v,
		      uint32_t digests[BSH_MEMBER_SYNC_BUCKETS]);
guint bsh_view_bucket(const bsh_record_t *record);

/* bsh_view_leaving_digest - of the leaving targets and live instances. */
uint32_t bsh_view_leaving_digest(bsh_view_t *v);

#endif
