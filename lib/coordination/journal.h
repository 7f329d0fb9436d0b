#ifndef BSH_COORDINATION_JOURNAL_H
#define BSH_COORDINATION_JOURNAL_H

/*
 * NAME
 *	journal - write-ahead intents and results of idempotency keys
 *
 * DESCRIPTION
 *	Makes non-repeatable calls with an idempotency key run at most once.
 *	The records are kept in the store, in BSH_JOURNAL_BUCKETS objects
 *	intent/<n>; a hash of service and key selects the object.  A record
 *	holds that hash, the digest of the request, the attempt id, the
 *	instance with the incarnation of its router, the state (open,
 *	answered, unknown) and the recorded answer.
 *
 *	Group commit: intents and results that arrive while a write of their
 *	bucket is in progress are committed together by the next write.
 *	Token buckets limit the reads and writes per second over all buckets.
 *
 *	An intent is answered BSH_INTENT_RUN only after the store confirmed
 *	an update that contains it, or after a read returned it with this
 *	attempt id, instance and incarnation.  If the reply to an update is
 *	lost, the object is read back.  While its version is unchanged, the lost update may still take
 *	effect.  The object is then written again conditionally on that
 *	version, so that one of the two updates conflicts; only after that is
 *	anything concluded from the absence of the intent.
 *
 *	An intent that cannot be decided by its deadline, or while the store
 *	is down, is answered BSH_INTENT_UNAVAILABLE at once.  If its update
 *	may still take effect, its removal is queued.
 *
 *	Records are removed keep_s plus BSH_JOURNAL_SKEW_MS after their last
 *	change, by the wall clock.  An open record of a live instance never
 *	expires.  When an object approaches the store's limit of 1 MB, the
 *	oldest recorded bodies are dropped first (their keys are then answered
 *	BSH_INTENT_NOT_KEPT).  Records are never removed early; a full bucket
 *	refuses new keys instead.
 *
 *	Callbacks must not call into this module.
 *
 *	Not thread-safe.  No I/O and no clock.
 *
 * UNITS
 *	now_us and times that end in _us are microseconds of one monotonic
 *	clock; wall_offset_us converts them to the wall clock.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/rng.h"
#include "coordination/attempt.h"

/* Recorded keys become unreachable when this number changes. */
#define BSH_JOURNAL_BUCKETS	     256
#define BSH_JOURNAL_HASH_BYTES	     16
#define BSH_JOURNAL_BODY_MAX_BYTES   BSH_ATTEMPT_RECORDED_BODY_MAX_BYTES
#define BSH_JOURNAL_TYPE_SIZE	     64
#define BSH_JOURNAL_INSTANCE_SIZE    64
#define BSH_JOURNAL_KEY_MAX	     255
#define BSH_JOURNAL_OBJECT_MAX_BYTES 900000 /* below the limit of 1 MB */
#define BSH_JOURNAL_SKEW_MS	     INT64_C(60000)

typedef struct {
	uint32_t writes_per_s;
	uint32_t reads_per_s;
	uint32_t max_pending;	   /* intents and results not yet written */
	uint32_t cache_bytes;	   /* of decoded buckets */
	uint32_t keep_s;	   /* lifetime of records (journal_keep_s) */
	int64_t store_timeout_us;  /* of a store call, then counted as lost */
	int64_t batch_window_us;   /* delay of a write to collect others */
	int64_t result_timeout_us; /* until a result is abandoned */
	int64_t wall_offset_us;	   /* wall clock minus now_us */
	uint32_t seed;		   /* of the random number generator */
} bsh_journal_config_t;

/* Result of a call; all but outcome only if outcome is answered. */
typedef struct {
	bsh_outcome_t outcome;
	uint16_t status;	  /* HTTP status */
	const char *content_type; /* may be NULL */
	const uint8_t *body;	  /* NULL when not kept */
	size_t body_size;
} bsh_journal_result_t;

typedef struct {
	const char *service;
	const char *key;			 /* Idempotency-Key */
	uint8_t digest[BSH_JOURNAL_HASH_BYTES];	 /* bsh_journal_digest() */
	uint8_t attempt[BSH_JOURNAL_HASH_BYTES]; /* id, unique per intent of an
						  * incarnation of an instance */
	const char *instance;
	uint64_t incarnation; /* of the router that sends the call */
	int64_t deadline_us;
	uint64_t token; /* returned with the answer */
} bsh_intent_t;

/* Result of a store call. */
typedef enum {
	BSH_STORE_OK,
	BSH_STORE_MISSING,  /* 404 to a read */
	BSH_STORE_CONFLICT, /* 409 to a write */
	BSH_STORE_RATE,	    /* 429, not applied */
	BSH_STORE_DOWN,	    /* 503 or no connection, not applied */
	BSH_STORE_LOST	    /* no response; a write may have been applied */
} bsh_store_status_t;

typedef struct {
	/*
	 * read, write - start a store call on the object `name` of kind
	 * "intent"; call identifies its result.  A write with version 0
	 * requires that the object does not exist.
	 */
	void (*read)(void *ctx, uint64_t call, const char *name);
	void (*write)(void *ctx, uint64_t call, const char *name,
		      uint64_t version, const char *value, size_t size);
	/*
	 * answer - send INTENT_ANSWER; result is NULL except with
	 * BSH_INTENT_ANSWERED.
	 */
	void (*answer)(void *ctx, uint64_t token, bsh_intent_verdict_t verdict,
		       const bsh_journal_result_t *result,
		       uint32_t retry_after_ms);
	/* recorded - a result was written or, if ok is false, abandoned. */
	void (*recorded)(void *ctx, uint64_t token, bool ok);
	/*
	 * is_gone - true only if this incarnation of the instance's router is
	 * known to have ended: the platform's list reports it gone, or a newer
	 * incarnation was observed.
	 */
	bool (*is_gone)(void *ctx, const char *instance, uint64_t incarnation);
} bsh_journal_ops_t;

struct bsh_journal_bucket;

typedef struct {
	bsh_journal_config_t config;
	bsh_journal_ops_t ops;
	void *ctx;
	struct bsh_journal_bucket *buckets[BSH_JOURNAL_BUCKETS];
	uint32_t pending; /* queued operations of all buckets */
	size_t cached_bytes;
	uint64_t next_call;
	double write_tokens;
	double read_tokens;
	int64_t tokens_us;
	int64_t next_probe_us; /* while the store is down */
	uint32_t down_count;   /* failures in a row, 0: store is up */
	uint32_t first_bucket; /* bucket that the last tick processed first */
	bsh_rng_t rng;
	/* Counters. */
	uint64_t writes;
	uint64_t reads;
	uint64_t committed;
	uint64_t conflicts;
	uint64_t read_backs;
} bsh_journal_t;

void bsh_journal_config_default(bsh_journal_config_t *config);
void bsh_journal_init(bsh_journal_t *journal,
		      const bsh_journal_config_t *config,
		      const bsh_journal_ops_t *ops, void *ctx);

/*
 * bsh_journal_finish - release the journal.  Pending intents are dropped
 * without an answer.
 */
void bsh_journal_finish(bsh_journal_t *journal);

/* bsh_journal_digest - compute the BLAKE2b of method, path and body. */
void bsh_journal_digest(const char *method, const char *path, const void *body,
			size_t size, uint8_t out[BSH_JOURNAL_HASH_BYTES]);

/*
 * bsh_journal_set_wall_offset - set the offset after a change of the wall
 * clock.
 */
void bsh_journal_set_wall_offset(bsh_journal_t *journal,
				 int64_t wall_offset_us);

/*
 * bsh_journal_intent - commit an intent.  The verdict is passed to the callback
 * answer, possibly before this function returns.  An intent may be submitted
 * again with the same attempt id (after the loss of a link); it gets the same
 * verdict.
 *
 * ERRORS (the callback answer is not called)
 *	BSH_ERR_INVALID		key, service or instance is empty, too long or
 *				not UTF-8
 */
bsh_error_t bsh_journal_intent(bsh_journal_t *journal,
			       const bsh_intent_t *intent, int64_t now_us);

/*
 * bsh_journal_record_result - record the result of a call; not-run removes the
 * intent, also one that is not decided yet.  The service, key, digest, attempt,
 * instance, incarnation and token of `intent` are used.
 *
 * ERRORS
 *	BSH_ERR_INVALID		as for bsh_journal_intent()
 *	BSH_ERR_CAPACITY	2 * max_pending operations are pending; retry
 *				later
 */
bsh_error_t bsh_journal_record_result(bsh_journal_t *journal,
				      const bsh_intent_t *intent,
				      const bsh_journal_result_t *result,
				      int64_t now_us);

/*
 * bsh_journal_read_done, _write_done - completion of a store call.  The result
 * of a call that has timed out is ignored.  retry_after_ms is that of a 429.
 */
void bsh_journal_read_done(bsh_journal_t *journal, uint64_t call,
			   bsh_store_status_t status, uint64_t version,
			   const char *value, size_t size,
			   uint32_t retry_after_ms, int64_t now_us);
void bsh_journal_write_done(bsh_journal_t *journal, uint64_t call,
			    bsh_store_status_t status, uint64_t version,
			    uint32_t retry_after_ms, int64_t now_us);

/* bsh_journal_tick - run due timers; call at bsh_journal_next_us(). */
void bsh_journal_tick(bsh_journal_t *journal, int64_t now_us);
int64_t bsh_journal_next_us(const bsh_journal_t *journal);

/* bsh_journal_pending - intents and results not written yet, for drain. */
uint32_t bsh_journal_pending(const bsh_journal_t *journal);

#endif
