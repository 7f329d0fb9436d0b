#ifndef BSH_COORDINATION_MEMBER_VIEW_H
#define BSH_COORDINATION_MEMBER_VIEW_H

/*
 * NAME
 *	member_view - membership table, private to the membership module
 *
 * DESCRIPTION
 *	Holds a record for each known member, leaving target and cell owner,
 *	and merges updates into them.  Records that changed are queued for
 *	gossip.
 */

#include "coordination/gossip_queue.h"
#include "coordination/member.h"

/* Bounds of the two tables; the oldest record is replaced when one is full. */
#define BSH_TARGETS_MAX 8192
#define BSH_CELLS_MAX	2048

typedef enum {
	RECORD_MEMBER,
	RECORD_TARGET,
	RECORD_CELL
} bsh_record_type_t;

/* First field of each record; gives the type of a queued record. */
typedef struct {
	bsh_record_type_t type;
	bsh_gossip_item_t gossip_item;
} bsh_record_t;

typedef struct {
	bsh_record_t record;
	bsh_member_t pub; /* the part that callers may read */
} bsh_member_record_t;

/* A leaving target or the owner of a cell. */
typedef struct {
	bsh_record_t record;
	char name[BSH_NAME_SIZE];
	char owner[BSH_NAME_SIZE]; /* of a cell, else empty */
	uint64_t incarnation;	   /* of a target, or epoch of a cell */
	int64_t changed_us;	   /* of a target: when it was found leaving */
} bsh_resource_record_t;

typedef struct {
	GHashTable *by_name; /* name -> bsh_member_record_t */
	GPtrArray *by_rank;  /* bsh_member_record_t, sorted by rank, name */
	GHashTable *targets; /* name -> bsh_resource_record_t */
	GHashTable *cells;   /* name -> bsh_resource_record_t */
	bsh_gossip_queue_t gossip_queue;
	bsh_member_record_t *self;
	guint live; /* members alive or suspected, with this instance */
	/* Raised when the set of live members or an incarnation changes. */
	uint64_t version;
	uint32_t leaving_digest; /* valid unless is_leaving_digest_stale */
	bool is_leaving_digest_stale;
	uint32_t period_us;
	const bsh_members_ops_t *ops;
	void *ctx;
	bsh_members_stats_t stats;
	/* Set by merging, read and cleared by member.c. */
	GPtrArray *joined;	  /* records that became live */
	bool has_new_updates;	  /* updates were queued for gossip */
	bool has_leaving_updates; /* a leaving flag was set */
	bool did_refute;	  /* this instance refuted its own suspicion */
	/* A live member, or this instance, had been declared dead: a partition
	 * may be healing. */
	bool saw_false_death;
	guint records_added; /* since the last digest exchange was requested */
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
 * bsh_view_add_hint - add a member that the platform's list shows, as a hint.
 *
 * A known member gets the place if it has none.
 */
bsh_member_record_t *bsh_view_add_hint(bsh_view_t *v, int64_t now_us,
				       const char *name, uint64_t incarnation,
				       const bsh_member_place_t *place);

/*
 * bsh_view_merge - apply one update sent by the member `from`, NULL for one of
 * this instance.  forward: queue it for gossip when it changes a record.
 */
void bsh_view_merge(bsh_view_t *v, int64_t now_us,
		    const bsh_member_record_t *from,
		    const bsh_member_update_t *update, bool forward);

/* bsh_view_suspect - report that this instance's probe of a member failed. */
void bsh_view_suspect(bsh_view_t *v, int64_t now_us,
		      bsh_member_record_t *member);

/*
 * bsh_view_announce - raise this instance's revision, at least to `revision`,
 * and queue its record for gossip.
 */
void bsh_view_announce(bsh_view_t *v, int64_t now_us, uint32_t revision);

/*
 * bsh_view_expire - declare members dead whose suspicion timed out, and remove
 * records whose retention time has passed.
 */
void bsh_view_expire(bsh_view_t *v, int64_t now_us);

/*
 * bsh_view_drop_failure_reports - set suspected members alive, and remove
 * suspicions and deaths from the gossip queue.  When a partition heals they
 * concern the other side, and each would make the whole fleet suspect a live
 * member.
 */
void bsh_view_drop_failure_reports(bsh_view_t *v, int64_t now_us);

/*
 * bsh_view_extend_suspicions - extend the timeout of all suspicions by the time
 * that this process was late.
 */
void bsh_view_extend_suspicions(bsh_view_t *v, int64_t late_us);

/*
 * bsh_view_make_update - fill in an update from a record.  The place is only
 * included when receivers may not know the member: with_place, or an alive
 * member of revision 0.
 */
void bsh_view_make_update(const bsh_record_t *record, int64_t now_us,
			  bool with_place, bsh_member_update_t *update);

/* bsh_view_digests - compute the digest of each bucket of records. */
void bsh_view_digests(const bsh_view_t *v,
		      uint32_t digests[BSH_MEMBER_SYNC_BUCKETS]);
guint bsh_view_bucket(const bsh_record_t *record);

/* bsh_view_leaving_digest - digest of leaving targets and live instances. */
uint32_t bsh_view_leaving_digest(bsh_view_t *v);

#endif
