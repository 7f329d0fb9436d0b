#include "coordination/place_hold.h"

#include <glib.h>
#include <string.h>

/* Interval of needs that are not answered, and of those that only confirm. */
#define REPEAT_US  INT64_C(20000)
#define CONFIRM_US INT64_C(500000)
/* Age at which an expected wait says nothing any more. */
#define WAIT_MAX_AGE_US INT64_C(300000)

void bsh_place_hold_set_target(bsh_place_hold_t *hold, uint64_t target)
{
	uint32_t wanted = hold->wanted;
	uint32_t urgency = hold->urgency;

	if (hold->target == target)
		return;
	memset(hold, 0, sizeof(*hold));
	hold->target = target;
	hold->wanted = wanted;
	hold->urgency = urgency;
}

uint32_t bsh_place_hold_open(bsh_place_hold_t *hold, uint32_t running,
			     int64_t now_us)
{
	if (now_us >= hold->lingers_until_us)
		hold->lingering = 0;
	return running + hold->lingering;
}

void bsh_place_hold_linger(bsh_place_hold_t *hold, int64_t run_us,
			   int64_t now_us)
{
	if (now_us >= hold->lingers_until_us)
		hold->lingering = 0;
	hold->lingering++;
	hold->lingers_until_us = now_us + run_us;
}

void bsh_place_hold_rejected(bsh_place_hold_t *hold)
{
	hold->unreported++;
}

bool bsh_place_hold_is_free(const bsh_place_hold_t *hold, uint32_t open,
			    int64_t now_us)
{
	return hold->granted_us != 0 && open < hold->places &&
	       now_us - hold->granted_us < BSH_PLACE_GRANT_TTL_US;
}

int64_t bsh_place_hold_next_wait_us(const bsh_place_hold_t *hold,
				    int64_t now_us)
{
	if (hold->wait_at_us == 0 ||
	    now_us - hold->wait_at_us > WAIT_MAX_AGE_US)
		return 0;
	return hold->wait_us;
}

int64_t bsh_place_hold_wait_us(const bsh_place_hold_t *hold, int64_t now_us)
{
	return MAX(bsh_place_hold_next_wait_us(hold, now_us) -
			   (now_us - hold->wait_at_us),
		   0);
}

bool bsh_place_hold_may_reuse(const bsh_place_hold_t *hold, int64_t now_us)
{
	return hold->wanted > 0 &&
	       now_us - hold->granted_us < BSH_PLACE_SLICE_US;
}

bool bsh_place_hold_is_silent(const bsh_place_hold_t *hold, int64_t now_us)
{
	return hold->asked_us != 0 &&
	       now_us - hold->asked_us >= BSH_PLACE_SILENT_US;
}

bool bsh_place_hold_is_due(const bsh_place_hold_t *hold, uint32_t open,
			   int64_t now_us)
{
	int64_t age_us = now_us - hold->told_us;

	if (hold->told_us == 0)
		return open > 0 || hold->wanted > 0;
	if (hold->asked_us != 0)
		return age_us >= REPEAT_US;
	if (hold->unreported > 0 ||
	    (hold->wanted != hold->told && open + hold->wanted > hold->places))
		return true;
	/* Others wait for what is not used, or would be given here in vain. */
	if (hold->contended &&
	    (hold->places > open + hold->wanted || hold->wanted < hold->told))
		return true;
	return (open > 0 || hold->wanted > 0 || hold->places > 0) &&
	       age_us >= CONFIRM_US;
}

static void renew(bsh_place_hold_t *hold, uint32_t open, int64_t now_us)
{
	/* By then the ledger has forgotten this instance. */
	if (now_us - hold->told_us >= BSH_PLACE_HOLDER_TTL_US)
		hold->rejected = 0;
	hold->rejected += hold->unreported;
	hold->unreported = 0;
	hold->sequence++;
	hold->places = MIN(hold->places, open);
	hold->told = hold->wanted;
	hold->told_open = open;
}

void bsh_place_hold_need(bsh_place_hold_t *hold, uint32_t open, int64_t now_us,
			 bsh_place_need_t *need)
{
	if (hold->asked_us == 0 ||
	    now_us - hold->renewed_us >= BSH_PLACE_RENEW_US) {
		renew(hold, open, now_us);
		hold->renewed_us = now_us;
	}
	hold->told_us = now_us;
	if (hold->asked_us == 0)
		hold->asked_us = now_us;
	need->target = hold->target;
	need->sequence = hold->sequence;
	need->open = hold->told_open;
	need->wanted = hold->told;
	need->urgency = hold->urgency;
	need->rejected = hold->rejected;
}

bool bsh_place_hold_grant(bsh_place_hold_t *hold,
			  const bsh_place_grant_t *grant, int64_t now_us)
{
	if (grant->target != hold->target || grant->sequence != hold->sequence)
		return false;
	hold->places = grant->places;
	hold->contended = grant->contended;
	hold->granted_us = hold->renewed_us;
	hold->asked_us = 0;
	hold->wait_us = grant->wait_ms * INT64_C(1000);
	hold->wait_at_us = grant->wait_ms > 0 ? now_us : 0;
	return true;
}
