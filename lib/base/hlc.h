#ifndef BSH_BASE_HLC_H
#define BSH_BASE_HLC_H

/*
 * NAME
 *	hlc - hybrid logical clock
 *
 * DESCRIPTION
 *	Orders events over processes in agreement with cause and close to
 *	physical time.  Every frame carries a stamp; receiving one moves the
 *	local clock past it.  A stamp more than BSH_HLC_MAX_AHEAD_US ahead of
 *	the local physical clock is not adopted, so that one wrong clock
 *	cannot carry all others away.
 *
 * SOURCE
 *	Kulkarni, Demirbas et al., Logical Physical Clocks, 2014.
 */

#include <stdbool.h>
#include <stdint.h>

#define BSH_HLC_MAX_AHEAD_US INT64_C(60000000)

typedef struct {
	int64_t physical_us; /* wall clock, microseconds since the epoch */
	uint32_t logical;
} bsh_hlc_stamp_t;

typedef struct {
	bsh_hlc_stamp_t last;
} bsh_hlc_t;

void bsh_hlc_init(bsh_hlc_t *clock);

/* bsh_hlc_tick - stamp for a local event or a send at wall time wall_us. */
bsh_hlc_stamp_t bsh_hlc_tick(bsh_hlc_t *clock, int64_t wall_us);

/* bsh_hlc_receive - stamp for a receive; false if remote was not adopted. */
bool bsh_hlc_receive(bsh_hlc_t *clock, int64_t wall_us, bsh_hlc_stamp_t remote);

/* bsh_hlc_compare - negative, zero or positive. */
int bsh_hlc_compare(bsh_hlc_stamp_t a, bsh_hlc_stamp_t b);

#endif
