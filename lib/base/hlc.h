#ifndef BSH_BASE_HLC_H
#define BSH_BASE_HLC_H

/*
 * NAME
 *	hlc - hybrid logical clock
 *
 * DESCRIPTION
 *	Assigns timestamps to the events of several processes.  The order of
 *	the timestamps is consistent with causality, and a timestamp stays
 *	close to physical time.  Every message carries the timestamp of its
 *	send; receiving it advances the local clock beyond that timestamp.  A
 *	timestamp more than BSH_HLC_MAX_AHEAD_US ahead of the local wall clock
 *	is ignored, so that one wrong clock does not advance the clocks of all
 *	other processes.
 *
 *	A clock is not locked; the caller serialises access.
 *
 * SOURCE
 *	Kulkarni, Demirbas et al., Logical Physical Clocks, 2014.
 */

#include <stdbool.h>
#include <stdint.h>

#define BSH_HLC_MAX_AHEAD_US INT64_C(60000000)

typedef struct {
	int64_t physical_us; /* wall clock, microseconds since the epoch */
	uint32_t logical;    /* event counter within physical_us */
} bsh_hlc_stamp_t;

typedef struct {
	bsh_hlc_stamp_t last; /* timestamp of the latest local event */
} bsh_hlc_t;

void bsh_hlc_init(bsh_hlc_t *clock);

/* bsh_hlc_tick - advance the clock for a local event or a send at wall time
 * wall_us and return the timestamp of the event. */
bsh_hlc_stamp_t bsh_hlc_tick(bsh_hlc_t *clock, int64_t wall_us);

/*
 * bsh_hlc_receive - advance the clock for a received message with timestamp
 * remote.
 *
 * RETURN VALUE
 *	False if remote was too far ahead of wall_us and was ignored; the
 *	clock advances by a local event all the same.
 */
bool bsh_hlc_receive(bsh_hlc_t *clock, int64_t wall_us, bsh_hlc_stamp_t remote);

/* bsh_hlc_compare - negative if a is before b, positive if after, else zero. */
int bsh_hlc_compare(bsh_hlc_stamp_t a, bsh_hlc_stamp_t b);

#endif
