#ifndef BSH_COORDINATION_TARGET_CHOICE_H
#define BSH_COORDINATION_TARGET_CHOICE_H

/*
 * NAME
 *	target_choice - load balancer that chooses the target of a request
 *
 * DESCRIPTION
 *	The target with the lowest expected delay is chosen.
 *
 *	Plain services.  The delay is the smoothed time to the first byte of
 *	recent answers, scaled by the share of the target's slots that are in
 *	use and by its share of failures, plus a penalty for another
 *	availability zone.  Among targets of nearly equal delay, rendezvous
 *	hashing decides.
 *
 *	Engines.  The delay is the estimated time to the first token: the
 *	prefill work that is open at the target, by this instance's requests
 *	and by those of the others (bsh_target_set_others()), and the prefill
 *	of this request, scaled by how the target's answers have compared with
 *	the estimates.  The parts of a prompt that other requests share are
 *	expected to be cached at the target that rendezvous hashing of them
 *	ranks first, and less so at the next ranks.
 *
 *	The work of others is known with a delay.  If all instances chose the
 *	least loaded of all targets, they would send to the same one until
 *	they know better, so only the first two ranks are compared, unless
 *	both are much worse than another target.
 *
 *	A target that has just started or recovered and has as many requests
 *	as its pace allows (coordination/target_pace.h) is left out if another
 *	one takes the request at once and is not much slower.  Otherwise it is
 *	chosen like any other, so that no request is refused for it.
 *
 *	After several failures in a row, or if no connection can be made, a
 *	target is paused for a time that doubles with each further failure.
 *	After the pause one request at a time probes it.
 *
 *	Pure: no I/O and no clock.
 */

#include <stdbool.h>
#include <stdint.h>

/* What a request takes of an engine; all 0: the target is a plain service. */
typedef struct {
	double prefill_us; /* estimated prefill time of the whole prompt */
	double shared_us;  /* of it, of parts shared with other requests */
} bsh_target_work_t;

/* Results of this instance's requests to one target. */
typedef struct {
	uint32_t running;     /* requests of this instance in progress */
	double first_byte_us; /* smoothed time to the first byte */
	int64_t last_first_byte_at_us; /* 0: no response has begun yet */
	uint32_t failures;	       /* in a row */
	double failure_share;	       /* smoothed share of failed requests */
	int64_t paused_until_us;       /* end of the pause after failures */
	bool probing; /* a probe request is in progress after a pause */
	/* Engines only. */
	double work_us; /* own open prefill work, estimated */
	/* Of the others, when last received. */
	double others_us;
	uint32_t others_running;
	int64_t others_at_us;
	/* Own values in the last report, which the sums contain. */
	double reported_us;
	uint32_t reported_running;
	double slowness; /* smoothed observed / expected time; 0: no sample */
	int64_t slowness_at_us;
} bsh_target_record_t;

typedef struct {
	const bsh_target_record_t *record;
	uint32_t slots;
	uint64_t target_hash; /* of the target's id */
	bool same_zone;	      /* as this instance */
	/* Requests need a place there (coordination/place_hold.h), and the wait
	 * for one; 0: it is free. */
	bool needs_place;
	int64_t wait_us;
	/* Its entry was removed from the platform's list and the grace time
	 * still runs, or it has said that it leaves: chosen only if no other
	 * target is usable. */
	bool leaving;
	bool at_pace; /* has as many requests of this instance as its pace */
	/* Set by bsh_target_choose(). */
	uint32_t rank; /* usable candidates preferred by rendezvous hashing */
	bool is_substitute; /* chosen instead of one that is at its pace */
} bsh_target_candidate_t;

/*
 * bsh_target_choose - choose the target of a request; affinity is the hash of
 * the request's shared prompt prefix, work may be NULL for a plain service.
 *
 * RETURN VALUE
 *	Index of the candidate, or -1 if none is usable.
 */
int32_t bsh_target_choose(bsh_target_candidate_t *candidates, uint32_t n,
			  const bsh_target_work_t *work, uint64_t affinity,
			  int64_t now_us);

/* bsh_target_delay_us - expected delay of the request at a candidate of the last
 * choice: the time to the first byte or, of an engine, to the first token. */
double bsh_target_delay_us(const bsh_target_candidate_t *candidate,
			   const bsh_target_work_t *work, int64_t now_us);
/* bsh_target_own_us - estimated prefill time of the request at a candidate of
 * the last choice, without the parts that are expected to be cached there. */
double bsh_target_own_us(const bsh_target_candidate_t *candidate,
			 const bsh_target_work_t *work);
/* bsh_target_ahead_us - estimated work that is open at the target. */
double bsh_target_ahead_us(const bsh_target_record_t *record, int64_t now_us);

/* bsh_target_set_others - set what all instances together have open at the
 * target; the part of this instance, by its last report, is taken off. */
void bsh_target_set_others(bsh_target_record_t *record, double sum_us,
			   uint32_t sum_running, int64_t now_us);

/* bsh_target_usable - false while a target is paused or being probed. */
bool bsh_target_usable(const bsh_target_record_t *record, int64_t now_us);

/* bsh_target_is_left_out - the target was paused after failures, and no request
 * to it has ended without one since. */
bool bsh_target_is_left_out(const bsh_target_record_t *record);

/* bsh_target_started - a request with this prefill work was sent to the target;
 * 0 for a plain service. */
void bsh_target_started(bsh_target_record_t *record, double work_us,
			int64_t now_us);
/* bsh_target_work_done - the answer has begun, or the request has ended before
 * that: its work is no longer open. */
void bsh_target_work_done(bsh_target_record_t *record, double work_us);
/* bsh_target_first_byte - the answer began took_us after the request; expected:
 * the estimate of that time, 0 for a plain service. */
void bsh_target_first_byte(bsh_target_record_t *record, int64_t took_us,
			   double expected_us, int64_t now_us);
/* bsh_target_ended - a request ended; failed: with a failure of the target. */
void bsh_target_ended(bsh_target_record_t *record, bool failed, int64_t now_us);
/* bsh_target_cancelled - a request was cancelled here: it says nothing of the
 * target. */
void bsh_target_cancelled(bsh_target_record_t *record);
/* bsh_target_restarted - the target has another process: the failures and the
 * slowness of the former one say nothing of it. */
void bsh_target_restarted(bsh_target_record_t *record);
/* bsh_target_unreachable - the request ended without a connection. */
void bsh_target_unreachable(bsh_target_record_t *record, int64_t now_us);

#endif
