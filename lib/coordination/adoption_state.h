#ifndef BSH_COORDINATION_ADOPTION_STATE_H
#define BSH_COORDINATION_ADOPTION_STATE_H

/*
 * NAME
 *	adoption_state - shared by the parts of adoption, private to it
 *
 * DESCRIPTION
 *	adoption.c adopts and fetches documents; adoption_fresh.c confirms
 *	(store reads, parents, votes) and keeps account of whom it confirmed;
 *	adoption_propose.c accepts a change and tells when it is in force.
 */

#include "base/rng.h"
#include "coordination/adoption.h"

/* Documents kept to compute deltas from. */
#define BSH_HISTORY 4

/* Candidates to ask for a confirmation, best first. */
#define BSH_PARENTS 4

/* What holds for fresh_ms at one clock holds for 17/16 of it at another. */
#define BSH_DRIFT(us) ((us) + (us) / 16)

#define BSH_NEVER_US (INT64_MIN / 2)

typedef struct {
	char name[BSH_NAME_SIZE];
	uint64_t asked_sequence;
	int64_t asked_us;
	int64_t vote_us; /* when the last granted vote was asked for */
	uint64_t vote_generation;
	uint64_t settled;
	bool prepared; /* for the running proposal */
} bsh_witness_t;

typedef enum {
	BSH_READ_NONE = 0,
	BSH_READ_POLL,
	BSH_READ_PROPOSE,
	BSH_READ_BACK
} bsh_read_purpose_t;

typedef struct {
	uint64_t tag; /* 0: none under way */
	bsh_read_purpose_t purpose;
	int64_t begun_us;
	uint64_t begun_version; /* watched */
} bsh_read_t;

typedef enum {
	BSH_PROPOSE_IDLE = 0,
	BSH_PROPOSE_READ,
	BSH_PROPOSE_PREPARE,
	BSH_PROPOSE_UPDATE,
	BSH_PROPOSE_READ_BACK,
	BSH_PROPOSE_FENCE
} bsh_propose_state_t;

typedef struct {
	bsh_propose_state_t state;
	uint64_t request;	      /* 0: started by the module itself */
	uint64_t base;		      /* generation */
	bsh_adoption_object_t object; /* proposed; version is the base's */
	bool sets_changed;
	bool is_uncertain; /* an earlier update may have taken effect */
	uint64_t sequence; /* of PREPARE, new for each attempt */
	uint64_t tag;	   /* of the update under way */
	uint32_t attempts;
	int64_t retry_at_us;
	int64_t deadline_us;
} bsh_proposal_t;

typedef struct {
	uint64_t request;
	uint64_t generation;
	int64_t accepted_us;
	bool is_slow; /* only time tells */
} bsh_pending_t;

typedef struct {
	uint64_t settled;
	int64_t given_us;
} bsh_recipient_t;

struct bsh_adoption {
	bsh_adoption_config_t config;
	bsh_members_t *members;
	const bsh_adoption_ops_t *ops;
	void *ctx;
	bsh_rng_t rng;
	int64_t fresh_us;
	int64_t alone_us;
	int64_t started_us;
	bsh_adoption_stats_t stats;

	bsh_adoption_object_t current;
	struct {
		uint64_t generation;
		uint64_t hash;
		GBytes *document;
	} history[BSH_HISTORY];
	uint32_t history_next;

	/* Fetching what was heard of. */
	uint64_t known;
	char known_from[BSH_NAME_SIZE];
	uint64_t fetch_sequence; /* 0: none under way */
	int64_t fetch_until_us;
	uint32_t fetch_tries;
	bool fetch_full;

	/* Confirmations. */
	int64_t confirmed_us;
	int64_t confirmed_alone_us;
	uint64_t next_sequence;
	char parents[BSH_PARENTS][BSH_NAME_SIZE];
	uint32_t n_parents;
	uint32_t parent;
	bool is_relay;
	uint64_t parents_version;
	uint64_t parents_generation;
	int64_t parents_us;
	uint64_t ask_sequence;
	int64_t ask_us;
	int64_t ask_at_us;
	int64_t ask_until_us;	/* 0: none under way */
	GHashTable *recipients; /* "name/incarnation" -> bsh_recipient_t */
	int64_t swept_us;
	uint64_t settled_told;

	/* Store. */
	bsh_read_t read;
	int64_t read_at_us;
	bool has_read;
	uint64_t first_version; /* that this process read */
	uint64_t max_version;	/* known to exist */

	/* Witness. */
	bsh_witness_t witnesses[BSH_WITNESSES_MAX]; /* as current.witnesses */
	int64_t votes_at_us;
	uint64_t prepared;
	uint64_t prepared_version;
	int64_t prepared_us;
	uint64_t rewrite_tag;
	int64_t rewrite_at_us;
	int64_t set_changed_us;

	/* Proposer. */
	bsh_proposal_t proposal;
	GArray *pending; /* bsh_pending_t */
	int64_t pending_ask_us;
	int64_t maintain_at_us;
	int64_t maintain_since_us; /* 0: the set is as it should be */
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
uint64_t bsh_adoption_past_hash(const bsh_adoption_t *a, uint64_t generation,
				bool *found);
void bsh_adoption_saw_version(bsh_adoption_t *a, uint64_t version);

/* adoption_fresh.c */
void bsh_fresh_init(bsh_adoption_t *a, int64_t now_us);
void bsh_fresh_finish(bsh_adoption_t *a);
int64_t bsh_fresh_tick(bsh_adoption_t *a, int64_t now_us);
void bsh_fresh_adopted(bsh_adoption_t *a, int64_t now_us);
void bsh_fresh_ask(bsh_adoption_t *a, int64_t now_us, bsh_witness_t *witness,
		   bool vote);
void bsh_fresh_receive_ask(bsh_adoption_t *a, int64_t now_us, const char *from,
			   uint64_t incarnation,
			   const bsh_adoption_message_t *msg);
void bsh_fresh_receive(bsh_adoption_t *a, int64_t now_us, const char *from,
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
