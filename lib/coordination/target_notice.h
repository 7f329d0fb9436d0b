#ifndef BSH_COORDINATION_TARGET_NOTICE_H
#define BSH_COORDINATION_TARGET_NOTICE_H

/*
 * NAME
 *	target_notice - what a target says of itself in its answers
 *
 * DESCRIPTION
 *	A target that leaves says so in each answer, perhaps before the
 *	platform's list does, or instead of it.  It is used for half of the
 *	drain time, if no other target is usable, and then no longer.
 *
 *	A target that turns a request away may name the time for which it wants
 *	no other from this instance.  It is kept, up to BSH_NOTICE_PAUSE_MAX_US;
 *	a shorter time that is named later does not end it.
 *
 *	A notice holds for the process that gave it.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Times are microseconds of a monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

/* A target that names more is tried again after this time. */
#define BSH_NOTICE_PAUSE_MAX_US INT64_C(600000000)
/* A process that said that it leaves has ended within this time. */
#define BSH_NOTICE_LEAVING_MAX_US INT64_C(600000000)

typedef struct {
	uint64_t process;   /* that the notices are from; 0: none */
	int64_t leaving_us; /* first answer that said so; 0: none */
	int64_t paused_until_us;
} bsh_target_notice_t;

void bsh_target_notice_init(bsh_target_notice_t *notice);

/* bsh_target_notice_leaving - an answer of the process says that it leaves.
 * Returns true if that is new. */
bool bsh_target_notice_leaving(bsh_target_notice_t *notice, uint64_t process,
			       int64_t now_us);

/* bsh_target_notice_is_leaving - the process has said that it leaves. */
bool bsh_target_notice_is_leaving(const bsh_target_notice_t *notice,
				  uint64_t process);
/* bsh_target_notice_has_left - nothing more may be sent to the process. */
bool bsh_target_notice_has_left(const bsh_target_notice_t *notice,
				uint64_t process, int64_t drain_us,
				int64_t now_us);

/* bsh_target_notice_pause - an answer of the process asks for a pause.  Returns
 * true if that makes the pause longer. */
bool bsh_target_notice_pause(bsh_target_notice_t *notice, uint64_t process,
			     int64_t pause_us, int64_t now_us);
/* bsh_target_notice_wait_us - time until the end of the pause, 0: none. */
int64_t bsh_target_notice_wait_us(const bsh_target_notice_t *notice,
				  uint64_t process, int64_t now_us);

/* bsh_target_notice_holds - something that the process has said still matters, so
 * that it must be kept although the target is on no list for a time. */
bool bsh_target_notice_holds(const bsh_target_notice_t *notice, int64_t now_us);

#endif
