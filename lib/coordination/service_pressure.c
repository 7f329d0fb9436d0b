#include "coordination/service_pressure.h"

#include <glib.h>

static bool is_within(int64_t at_us, int64_t age_us, int64_t now_us)
{
	return at_us != 0 && now_us - at_us < age_us;
}

void bsh_service_pressure_answer(bsh_service_pressure_t *p, bool rejected,
				 uint32_t rejections_max, int64_t now_us)
{
	p->answered_us = now_us;
	if (rejected)
		p->crowded_us = now_us;
	if (rejections_max == BSH_REJECTIONS_ANY) {
		if (!is_within(p->brittle_us, BSH_PRESSURE_AGE_US, now_us))
			p->brittle_us = 0;
		return;
	}
	if (!is_within(p->brittle_us, BSH_PRESSURE_AGE_US, now_us))
		p->rejections_max = rejections_max;
	p->rejections_max = MIN(p->rejections_max, rejections_max);
	p->brittle_us = now_us;
}

void bsh_service_pressure_waits(bsh_service_pressure_t *p, int64_t now_us)
{
	p->crowded_us = now_us;
}

bsh_pressure_t bsh_service_pressure_state(const bsh_service_pressure_t *p,
					  int64_t now_us)
{
	if (p->brittle_us != 0)
		return BSH_PRESSURE_BRITTLE;
	if (is_within(p->crowded_us, BSH_PRESSURE_CROWDED_US, now_us))
		return BSH_PRESSURE_CROWDED;
	return is_within(p->answered_us, BSH_PRESSURE_AGE_US, now_us)
		       ? BSH_PRESSURE_CALM
		       : BSH_PRESSURE_UNKNOWN;
}

const char *bsh_pressure_name(bsh_pressure_t state)
{
	static const char *const names[] = { "calm", "unknown", "crowded",
					     "brittle" };

	return names[state];
}
