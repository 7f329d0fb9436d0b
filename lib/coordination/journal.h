#ifndef BSH_COORDINATION_JOURNAL_H
#define BSH_COORDINATION_JOURNAL_H

/*
 * NAME
 *	journal - idempotency keys of non-repeatable calls, kept in the store
 *
 * DESCRIPTION
 *	Each key belongs to one of BSH_JOURNAL_BUCKETS objects intent/<n>.
 *	A record holds the hash of service and key, the digest of the
 *	request, the attempt id, the instance with its router's incarnation,
 *	the state (open, answered, unknown), and the recorded answer.
 *
 *	Intents and results of one bucket that arrive while a write of that
 *	bucket is under way are committed together by the next one.  Writes
 *	and reads are limited per second over all buckets (token buckets).
 *
 *	An intent is answered BSH_INTENT_RUN only after the store confirmed
 *	an update that contains it, or a read showed it with this attempt
 *	id.  If the answer of an update was lost, the object is read back.
 *	If the version is then unchanged, the lost update may still arrive;
 *	so the object is written once more at that version, which makes one
 *	of the two conflict, before anything is concluded from its absence.
 *
 *	An intent that cannot be decided by its deadline, or while the store
 *	is down, is answered BSH_INTENT_UNAVAILABLE at once.  If its update
 *	may still take effect, a removal of it is queued.
 *
 *	Records are removed keep_s after their last change, by the wall
 *	clock, plus BSH_JOURNAL_SKEW_MS.  An open record of a live instance
 *	never expires.  When an object comes close to 1 MB, the oldest
 *	recorded bodies are dropped first (the key then answers NOT_KEPT);
 *	records are never dropped early, so the bucket refuses new keys.
 *
 *	Callbacks must not call into this module.
 *
 *	Not thread-safe.  Pure: no I/O and no clock.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/rng.h"
#include "coordination/attempt.h"

/* Changing this number makes recorded keys unreachable. */
#define BSH_JOURNAL_BUCKETS	  256
#define BSH_JOURNAL_HASH_BYTES	  16
#define BSH_JOURNAL_BODY_MAX_BYTES	  BSH_ATTEMPT_RECORDED_BODY_MAX_BYTES
#define BSH_JOURNAL_TYPE_SIZE	  64
#define BSH_JOURNAL_INSTANCE_SIZE 64
#define BSH_JOURNAL_KEY_MAX	  255
#define BSH_JOURNAL_OBJECT_MAX_BYTES	  900000 /* of the store's 1 MB */
#define BSH_JOURNAL_SKEW_MS	  INT64_C(60000)

typedef struct {
	uint32_t writes_per_s;
	uint32_t reads_per_s;
	uint32_t max_pending;	  /* intents and results not yet written */
	uint32_t cache_bytes;	  /* of decoded buckets */
	uint32_t keep_s;	  /* journal_keep_s */
	int64_t store_timeout_us; /* a call without an answer counts as lost */
	int64_t window_us;	  /* wait for more before a write */
	int64_t result_keep_us;	  /* give up recording a result */
	int64_t wall_offset_us;	  /* wall clock minus now_us */
	uint32_t seed;
} bsh_journal_config_t;

/* Result of a call. */
typedef struct {
	bsh_outcome_t outcome;
	uint16_t status;	  /* answered */
	const char *content_type; /* answered; may be NULL */
	const uint8_t *body;	  /* answered; NULL when not kept */
	size_t body_size;
} bsh_journal_result_t;

typedef struct {
	const char *service;
	const char *key;			 /* Idempotency-Key */
	uint8_t digest[BSH_JOURNAL_HASH_BYTES];	 /* bsh_journal_digest() */
	uint8_t attempt[BSH_JOURNAL_HASH_BYTES]; /* unique per intent */
	const char *instance;
	uint64_t incarnation; /* of the router that sends the call */
	int64_t deadline_us;
	uint64_t token; /* returned with the answer */
} bsh_intent_t;

/* How a store call ended. */
typedef enum {
	BSH_STORE_OK,
	BSH_STORE_MISSING,  /* read: 404 */
	BSH_STORE_CONFLICT, /* write: 409 */
	BSH_STORE_RATE,	    /* 429, not applied */
	BSH_STORE_DOWN,	    /* 503 or not reached, not applied */
	BSH_STORE_LOST	    /* no answer; a write may have been applied */
} bsh_store_status_t;

typedef struct {
	/* read, write - one call to the store; call identifies its result.
	 * name is the object's name in kind "intent".  version 0: must not
	 * exist. */
	void (*read)(void *ctx, uint64_t call, const char *name);
	void (*write)(void *ctx, uint64_t call, const char *name,
		      uint64_t version, const char *value, size_t size);
	/* answer - INTENT_ANSWER; result only with BSH_INTENT_ANSWERED. */
	void (*answer)(void *ctx, uint64_t token, bsh_intent_verdict_t verdict,
		       const bsh_journal_result_t *result,
		       uint32_t retry_after_ms);
	/* recorded - a result was written, or given up (ok false). */
	void (*recorded)(void *ctx, uint64_t token, bool ok);
	/*
	 * is_gone - true only if this incarnation of an instance's router
	 * is known to be gone: the platform's list says so, or a newer one
	 * was seen.
	 */
	bool (*is_gone)(void *ctx, const char *instance, uint64_t incarnation);
} bsh_journal_ops_t;

struct bsh_journal_bucket;

typedef struct {
	bsh_journal_config_t config;
	bsh_journal_ops_t orders;
	void *ctx;
	struct bsh_journal_bucket *buckets[BSH_JOURNAL_BUCKETS];
	uint32_t pending;
	size_t cached_bytes;
	uint64_t next_call;
	double write_tokens;
	double read_tokens;
	int64_t tokens_us;
	int64_t down_until_us; /* store down: next probe */
	uint32_t down_count;
	uint32_t turn; /* bucket that is served first at the next tick */
	bsh_rng_t rng;
	/* Figures for counters. */
	uint64_t writes;
	uint64_t reads;
	uint64_t committed;
	uint64_t conflicts;
	uint64_t read_backs;
} bsh_journal_t;

void bsh_journal_config_default(bsh_journal_config_t *config);
void bsh_journal_init(bsh_journal_t *journal,
		      const bsh_journal_config_t *config,
		      const bsh_journal_ops_t *orders, void *ctx);

/* bsh_journal_finish - pending intents are forgotten without an answer. */
void bsh_journal_finish(bsh_journal_t *journal);

/* bsh_journal_digest - digest of method, path and body (BLAKE2b). */
void bsh_journal_digest(const char *method, const char *path, const void *body,
			size_t size, uint8_t out[BSH_JOURNAL_HASH_BYTES]);

/* bsh_journal_set_wall - the wall clock moved against now_us. */
void bsh_journal_set_wall_offset(bsh_journal_t *journal, int64_t wall_offset_us);

/*
 * bsh_journal_intent - commit an intent.  The verdict comes through the order
 * answer, possibly before the return.  The same attempt id may be given
 * again (after a lost link); it gets the same verdict.
 *
 * ERRORS (no order answer is given)
 *	BSH_ERR_INVALID		key, service or instance empty or too long
 */
bsh_error_t bsh_journal_intent(bsh_journal_t *journal,
			       const bsh_intent_t *intent, int64_t now_us);

/*
 * bsh_journal_done - record the result of a call: not-run removes the intent.
 * intent names service, key, digest, attempt, instance, incarnation, token.
 * Also withdraws an intent that is not decided yet (with not-run).
 *
 * ERRORS
 *	BSH_ERR_INVALID, BSH_ERR_CAPACITY (max_pending; try again later)
 */
bsh_error_t bsh_journal_record_result(bsh_journal_t *journal, const bsh_intent_t *intent,
			     const bsh_journal_result_t *result,
			     int64_t now_us);

/* bsh_journal_read_done, _write_done - result of a store call.  A call that
 * is no longer awaited is ignored.  retry_after_ms is that of a 429. */
void bsh_journal_read_done(bsh_journal_t *journal, uint64_t call,
			   bsh_store_status_t status, uint64_t version,
			   const char *value, size_t size,
			   uint32_t retry_after_ms, int64_t now_us);
void bsh_journal_write_done(bsh_journal_t *journal, uint64_t call,
			    bsh_store_status_t status, uint64_t version,
			    uint32_t retry_after_ms, int64_t now_us);

/* bsh_journal_tick - to be called at bsh_journal_next_us(). */
void bsh_journal_tick(bsh_journal_t *journal, int64_t now_us);
int64_t bsh_journal_next_us(const bsh_journal_t *journal);

/* bsh_journal_pending - intents and results not written yet, for drain. */
uint32_t bsh_journal_pending(const bsh_journal_t *journal);

#endif
