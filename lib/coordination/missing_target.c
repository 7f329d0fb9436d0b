#include "coordination/missing_target.h"

#include <glib.h>

/* Share of the drain time for which a missing target is kept. */
#define GRACE_PERCENT 60
/* Latest end of the grace time, as a share of the drain time since the list was
 * last complete; the rest is left for requests that are being sent. */
#define LATEST_PERCENT 80

int64_t bsh_missing_target_until_us(int64_t now_us, int64_t complete_us,
				    int64_t drain_us, int64_t outage_until_us)
{
	int64_t grace_end_us = now_us + drain_us * GRACE_PERCENT / 100;
	int64_t latest_us = complete_us + drain_us * LATEST_PERCENT / 100;
	int64_t until_us = MAX(MIN(grace_end_us, latest_us), now_us);

	return MAX(until_us, outage_until_us);
}
