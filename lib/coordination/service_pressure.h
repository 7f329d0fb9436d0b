#ifndef BSH_COORDINATION_SERVICE_PRESSURE_H
#define BSH_COORDINATION_SERVICE_PRESSURE_H

/*
 * NAME
 *	service_pressure - whether the targets of a service may be full
 *
 * DESCRIPTION
 *	An instance sends to the targets of a calm service as it likes.  Where
 *	they may be full, or end under rejections, it needs a place for each
 *	request (coordination/place_hold.h):
 *
 *	unknown  no answer of the service for BSH_PRESSURE_AGE_US
 *	crowded  a target has rejected a request for want of room, or all of its
 *	         places were taken and requests waited, within
 *	         BSH_PRESSURE_CROWDED_US
 *	brittle  an answer has named the rejections that its target bears in a
 *	         second, and no other one that came BSH_PRESSURE_AGE_US after
 *	         the last of these has named none
 *
 *	What one target names holds for all of its service, also for processes
 *	that have just started.
 *
 *	Pure: no I/O and no clock.
 */

#include <stdbool.h>
#include <stdint.h>

#include "protocol/message.h"

#define BSH_PRESSURE_AGE_US	INT64_C(3000000)
#define BSH_PRESSURE_CROWDED_US INT64_C(5000000)

typedef enum {
	BSH_PRESSURE_CALM,
	BSH_PRESSURE_UNKNOWN,
	BSH_PRESSURE_CROWDED,
	BSH_PRESSURE_BRITTLE
} bsh_pressure_t;

typedef struct {
	int64_t answered_us; /* 0: never */
	int64_t crowded_us;
	int64_t brittle_us;
	uint32_t rejections_max; /* least that was named since brittle_us */
} bsh_service_pressure_t;

/* bsh_service_pressure_answer - a target of the service has answered;
 * rejections_max: BSH_REJECTIONS_ANY if it named none. */
void bsh_service_pressure_answer(bsh_service_pressure_t *pressure,
				 bool rejected, uint32_t rejections_max,
				 int64_t now_us);
/* bsh_service_pressure_waits - requests wait for a place of a target, here or at
 * other instances. */
void bsh_service_pressure_waits(bsh_service_pressure_t *pressure,
				int64_t now_us);

bsh_pressure_t
bsh_service_pressure_state(const bsh_service_pressure_t *pressure,
			   int64_t now_us);
const char *bsh_pressure_name(bsh_pressure_t state);

#endif
