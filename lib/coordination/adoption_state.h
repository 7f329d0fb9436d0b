#ifndef BSH_COORDINATION_ADOPTION_STATE_H
#define BSH_COORDINATION_ADOPTION_STATE_H

/*
 * NAME
 *	adoption_state - private state of the adoption module
 *
 * DESCRIPTION
 *	adoption.c adopts and fetches documents.  adoption_fresh.c obtains
 *	confirmations (store reads, parents, votes) and records the instances
 *	that it confirmed.  adoption_propose.c runs proposals, reports when an
 *	accepted generation is in force and maintains the witness set.
 */

#include "base/rng.h"
#include "coordination/adoption.h"

/* Past documents kept as bases of deltas. */
#define BSH_HISTORY_MAX 4

/* Peers that may be queried for a confirmation, best first. */
#define BSH_PARENTS_MAX 4

/* Upper bound on another clock of a duration that is us on this one. */
#define BSH_WITH_DRIFT(us) ((us) + (us) / 16)

#define BSH_NEVER_US (INT64_MIN / 2)

typedef struct {
	char name[BSH_NAME_SIZE];
	uint64_t query_sequence; /* 0: no reply pending */
	int64_t query_sent_us;
	int64_t vote_us;	  /* send time of the last query that it
				   * answered with a vote */
	uint64_t vote_generation; /* of that vote */
	uint64_t settled;	  /* last reported by this witness */
	bool prepared;		  /* for the proposal in progress */
} bsh_witness_t;

typedef enum {
	BSH_READ_NONE = 0,
	BSH_READ_POLL,	  /* confirmation or fetch */
	BSH_READ_PROPOSE, /* base of a proposal */
	BSH_READ_BACK	  /* after an update of unknown outcome */
} bsh_read_purpose_t;

typedef struct {
	uint64_t tag; /* 0: no read in progress */
	bsh_read_purpose_t purpose;
	int64_t start_us;
	uint64_t watched_version; /* 0: plain read */
} bsh_read_t;

typedef enum {
	BSH_PROPOSE_IDLE = 0,
	BSH_PROPOSE_READ,      /* reading the base version */
	BSH_PROPOSE_PREPARE,   /* waiting for a majority of witnesses */
	BSH_PROPOSE_UPDATE,    /* conditional update in progress */
	BSH_PROPOSE_READ_BACK, /* reading after an update of unknown outcome */
	BSH_PROPOSE_FENCE      /* rewriting so that a lost update conflicts */
} bsh_propose_state_t;

typedef struct {
	bsh_propose_state_t state;
	uint64_t request;	      /* 0: started by the module itself */
	uint64_t base;		      /* generation it replaces */
	bsh_adoption_object_t object; /* proposed; version is the base's */
	bool witnesses_changed;	      /* the proposal changes the witness set */
	bool may_have_applied; /* an earlier update may have taken effect */
	uint64_t sequence;     /* of PREPARE, new for each attempt */
	uint64_t tag;	       /* of the update in progress, 0: none */
	uint32_t attempts;     /* failed attempts so far */
	int64_t retry_at_us;
	int64_t deadline_us; /* of the current state */
} bsh_proposal_t;

/* Accepted generation that is not known to be in force yet. */
typedef struct {
	uint64_t request;
	uint64_t generation;
	int64_t accepted_us;
	bool waits_full_period; /* the witness set changed, so `settled` does
				 * not cover all: in force after fresh_ms */
} bsh_pending_generation_t;

/* Instance that received a confirmation from this one. */
typedef struct {
	uint64_t settled; /* last reported by the recipient */
	int64_t last_confirmed_us;
} bsh_recipient_t;

struct bsh_adoption {
	bsh_adoption_config_t config;
	bsh_members_t *members;
	const bsh_adoption_ops_t *ops;
	void *ctx;
	bsh_rng_t rng;
	int64_t fresh_us;	 /* lifetime of a confirmation */
	int64_t direct_fresh_us; /* lifetime of direct_confirmed_us */
	int64_t started_us;
	bsh_adoption_stats_t stats;

	bsh_adoption_object_t current;
	struct {
		uint64_t generation;
		uint64_t hash;
		GBytes *document;
	} history[BSH_HISTORY_MAX];
	uint32_t history_next;

	/* Fetching of generations that peers reported. */
	uint64_t highest_known; /* generation reported by peer or store */
	char fetch_source[BSH_NAME_SIZE];
	uint64_t fetch_sequence; /* 0: no fetch in progress */
	int64_t fetch_deadline_us;
	uint32_t fetch_attempts;
	bool fetch_full; /* a delta failed: request the full document */

	/* Confirmations. */
	int64_t confirmed_us;	     /* date of the latest confirmation that
				      * may be passed on */
	int64_t direct_confirmed_us; /* start of the last successful store read
				      * made while not a witness; not passed
				      * on */
	uint64_t next_sequence;	     /* last tag or sequence number issued */
	char parents[BSH_PARENTS_MAX][BSH_NAME_SIZE];
	uint32_t n_parents;
	uint32_t parent_index; /* current parent, modulo n_parents */
	bool is_relay;	       /* confirms leaves, queries witnesses */
	/* Membership version and adopted generation at the last choice of
	 * parents. */
	uint64_t parents_version;
	uint64_t parents_generation;
	int64_t next_parents_us; /* earliest time of the next choice */
	uint64_t parent_query_sequence;
	int64_t parent_query_sent_us;
	int64_t next_parent_query_us;
	int64_t parent_query_deadline_us; /* 0: no query in progress */
	GHashTable *recipients;	   /* "name/incarnation" -> bsh_recipient_t */
	int64_t last_sweep_us;	   /* last removal of expired recipients */
	uint64_t settled_reported; /* in the last query to a parent */

	/* Store. */
	bsh_read_t read;
	int64_t next_read_us;
	bool has_read;		/* a store read found the object, or none */
	uint64_t first_version; /* first version that this process read */
	uint64_t max_version;	/* highest version observed */

	/* Witness. */
	bsh_witness_t witnesses[BSH_WITNESSES_MAX]; /* as current.witnesses */
	int64_t next_votes_us;
	uint64_t prepared;	   /* generation prepared last, 0: none */
	uint64_t prepared_version; /* store version it is based on */
	int64_t prepared_us;
	uint64_t rewrite_tag;	  /* 0: no rewrite in progress */
	int64_t rewrite_timer_us; /* timeout of the rewrite in progress, or
				   * earliest time of the next one */
	int64_t witnesses_changed_us;

	/* Proposer. */
	bsh_proposal_t proposal;
	GArray *pending; /* bsh_pending_generation_t */
	int64_t next_settled_query_us;
	int64_t next_maintenance_us;
	int64_t replacement_due_since_us; /* 0: no witness to replace */
};

/* adoption.c */
const char *bsh_adoption_self(const bsh_adoption_t *a);
void bsh_adoption_adopt(bsh_adoption_t *a, int64_t now_us,
			const bsh_adoption_object_t *object);
void bsh_adoption_object_copy(bsh_adoption_object_t *to,
			      const bsh_adoption_object_t *from);
void bsh_adoption_object_clear(bsh_adoption_object_t *object);
bool bsh_adoption_has_witness(const bsh_adoption_object_t *object,
			      const char *name);
uint64_t bsh_adoption_history_hash(const bsh_adoption_t *a, uint64_t generation,
				   bool *found);
void bsh_adoption_observe_version(bsh_adoption_t *a, uint64_t version);

/* adoption_fresh.c */
void bsh_fresh_init(bsh_adoption_t *a, int64_t now_us);
void bsh_fresh_finish(bsh_adoption_t *a);
int64_t bsh_fresh_tick(bsh_adoption_t *a, int64_t now_us);
void bsh_fresh_adopted(bsh_adoption_t *a, int64_t now_us);
void bsh_fresh_query_witness(bsh_adoption_t *a, int64_t now_us,
			     bsh_witness_t *witness, bool vote);
void bsh_fresh_receive_query(bsh_adoption_t *a, int64_t now_us,
			     const char *from, uint64_t incarnation,
			     const bsh_adoption_message_t *msg);
void bsh_fresh_receive_reply(bsh_adoption_t *a, int64_t now_us,
			     const char *from,
			     const bsh_adoption_message_t *msg);
void bsh_fresh_receive_prepare(bsh_adoption_t *a, int64_t now_us,
			       const char *from,
			       const bsh_adoption_message_t *msg);
bool bsh_fresh_prepare(bsh_adoption_t *a, int64_t now_us, uint64_t generation,
		       uint64_t version);
uint64_t bsh_fresh_settled(bsh_adoption_t *a, int64_t now_us);
bool bsh_fresh_rewrite_done(bsh_adoption_t *a, int64_t now_us, uint64_t tag,
			    bsh_error_t err, uint64_t version);
void bsh_fresh_read(bsh_adoption_t *a, int64_t now_us,
		    bsh_read_purpose_t purpose, uint64_t watch_version,
		    uint32_t timeout_ms);
bsh_witness_t *bsh_fresh_witness(bsh_adoption_t *a, const char *name);

/* adoption_propose.c */
int64_t bsh_propose_tick(bsh_adoption_t *a, int64_t now_us);
void bsh_propose_finish(bsh_adoption_t *a);
void bsh_propose_read_done(bsh_adoption_t *a, int64_t now_us,
			   bsh_read_purpose_t purpose, bsh_error_t err,
			   const bsh_adoption_object_t *object);
void bsh_propose_update_done(bsh_adoption_t *a, int64_t now_us, uint64_t tag,
			     bsh_error_t err, uint64_t version);
void bsh_propose_receive(bsh_adoption_t *a, int64_t now_us, const char *from,
			 const bsh_adoption_message_t *msg);

#endif
