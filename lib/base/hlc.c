#include "base/hlc.h"

void bsh_hlc_init(bsh_hlc_t *clock)
{
	clock->last.physical_us = 0;
	clock->last.logical = 0;
}

int bsh_hlc_compare(bsh_hlc_stamp_t a, bsh_hlc_stamp_t b)
{
	if (a.physical_us != b.physical_us)
		return a.physical_us < b.physical_us ? -1 : 1;
	if (a.logical != b.logical)
		return a.logical < b.logical ? -1 : 1;
	return 0;
}

bsh_hlc_stamp_t bsh_hlc_tick(bsh_hlc_t *clock, int64_t wall_us)
{
	if (wall_us > clock->last.physical_us) {
		clock->last.physical_us = wall_us;
		clock->last.logical = 0;
	} else {
		clock->last.logical++;
	}
	return clock->last;
}

bool bsh_hlc_receive(bsh_hlc_t *clock, int64_t wall_us, bsh_hlc_stamp_t remote)
{
	bool is_plausible =
		remote.physical_us <= wall_us + BSH_HLC_MAX_AHEAD_US;

	if (is_plausible && bsh_hlc_compare(remote, clock->last) > 0)
		clock->last = remote;
	bsh_hlc_tick(clock, wall_us);
	return is_plausible;
}
