#ifndef BSH_COORDINATION_TARGET_LIMIT_H
#define BSH_COORDINATION_TARGET_LIMIT_H

/*
 * NAME
 *	target_limit - rate limit that a target names, shared by all instances
 *
 * DESCRIPTION
 *	A target may name in its answers how many requests a second it takes
 *	from all instances together.  That holds until an answer of the same
 *	process names another limit or none, or the target has another
 *	process.
 *
 *	Each instance that may use the target has a token bucket of one token
 *	that starts empty and is filled with its share of the limit; each send
 *	takes a token, whatever it is for.  n buckets let n + 4 L requests
 *	pass in 4 s, too many if the limit is small and the instances are
 *	many.  So only bsh_limit_users() instances use the target: those that
 *	rendezvous hashing of its process ranks first.  An instance that does
 *	not know its rank takes an equal part of all.
 *
 *	A limit below BSH_LIMIT_TRICKLE_PER_S, 0 included, counts as this: its
 *	end can only be learnt from an answer.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Limits are requests a second, times microseconds of a monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

/* One request in 5 s. */
#define BSH_LIMIT_TRICKLE_PER_S 0.2
#define BSH_LIMIT_NONE		(-1.0)
/* A share that was not confirmed for this time is no longer used: the instance
 * takes an equal part of all again. */
#define BSH_LIMIT_SHARE_MAX_AGE_US INT64_C(3000000)

typedef struct {
	uint64_t process;  /* that named the limit; 0: none */
	double per_s;	   /* BSH_LIMIT_NONE: none */
	int64_t named_us;  /* last answer that named this limit, or none */
	double share;	   /* part of this instance, 0 to 1 */
	int64_t shared_us; /* when the share was set; 0: never */
	double tokens;
	int64_t promised_us; /* last time at which a caller may return */
	int64_t filled_us;
} bsh_target_limit_t;

void bsh_target_limit_init(bsh_target_limit_t *limit);

/*
 * bsh_target_limit_name - an answer of the process, seen at named_us, named this
 * limit, or BSH_LIMIT_NONE.  An older answer than the last one is ignored.
 *
 * RETURN VALUE
 *	True if the limit changes.
 */
bool bsh_target_limit_name(bsh_target_limit_t *limit, uint64_t process,
			   double per_s, int64_t named_us, int64_t now_us);
/* bsh_target_limit_set_share - the part of the limit of this instance. */
void bsh_target_limit_set_share(bsh_target_limit_t *limit, double share,
				int64_t now_us);

/* bsh_target_limit_wait_us - time until a request may be sent, 0: now;
 * INT64_MAX: this instance does not use the target.  instances: their number. */
int64_t bsh_target_limit_wait_us(bsh_target_limit_t *limit, uint32_t instances,
				 int64_t now_us);
/* bsh_target_limit_take - a request is sent. */
void bsh_target_limit_take(bsh_target_limit_t *limit, uint32_t instances,
			   int64_t now_us);

/* bsh_target_limit_promise - time after which a refused caller may return: that
 * of the first token that was not promised to another one.  INT64_MAX: another
 * instance may serve it at once. */
int64_t bsh_target_limit_promise(bsh_target_limit_t *limit, uint32_t instances,
				 int64_t now_us);

/* bsh_limit_users - number of instances that may use a target with this limit,
 * of n that live. */
uint32_t bsh_limit_users(double per_s, uint32_t n);
/* bsh_limit_share - part of the limit of the instance with this rank, 0: the
 * first. */
double bsh_limit_share(double per_s, uint32_t rank, uint32_t n);

#endif
