#include "coordination/reach.h"

#include <string.h>

void bsh_reach_init(bsh_reach_t *reach)
{
	memset(reach, 0, sizeof(*reach));
}

bool bsh_reach_is_certain(const bsh_reach_t *reach, int64_t now_us)
{
	return reach->state == BSH_REACH_REACHED && reach->accepted_us != 0 &&
	       now_us - reach->accepted_us <= BSH_REACH_VALID_US;
}

bool bsh_reach_failed(bsh_reach_t *reach, int64_t now_us)
{
	if (reach->state != BSH_REACH_REACHED ||
	    bsh_reach_is_certain(reach, now_us))
		return false;
	reach->state = BSH_REACH_CHECKING;
	return true;
}

bool bsh_reach_is_due(const bsh_reach_t *reach, int64_t now_us)
{
	return reach->state == BSH_REACH_CUT && reach->open == 0 &&
	       now_us - reach->round_us >= BSH_REACH_INTERVAL_US;
}

static bsh_reach_verdict_t reach_is_shown(bsh_reach_t *reach, int64_t now_us)
{
	reach->state = BSH_REACH_REACHED;
	reach->accepted_us = now_us;
	return BSH_REACH_TARGETS_FAILED;
}

bsh_reach_verdict_t bsh_reach_begin(bsh_reach_t *reach, uint32_t n,
				    int64_t now_us)
{
	reach->open = n;
	reach->round_size = n;
	reach->accepted = false;
	reach->round_us = now_us;
	if (n >= BSH_REACH_TARGETS_MIN)
		return BSH_REACH_UNKNOWN;
	reach->open = 0;
	return reach_is_shown(reach, now_us);
}

bsh_reach_verdict_t bsh_reach_result(bsh_reach_t *reach, bool accepted,
				     int64_t now_us)
{
	if (reach->open > 0)
		reach->open--;
	if (accepted && !reach->accepted) {
		reach->accepted = true;
		return reach_is_shown(reach, now_us);
	}
	if (reach->open > 0 || reach->accepted)
		return BSH_REACH_UNKNOWN;
	reach->state = BSH_REACH_CUT;
	return BSH_REACH_IS_CUT;
}

const char *bsh_reach_state_name(bsh_reach_state_t state)
{
	static const char *const names[] = { "reached", "checking", "cut" };

	return names[state];
}
