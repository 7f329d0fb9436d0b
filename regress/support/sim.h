#ifndef BSH_SUPPORT_SIM_H
#define BSH_SUPPORT_SIM_H

/*
 * NAME
 *	sim - discrete event simulator with a virtual clock
 *
 * DESCRIPTION
 *	Events run in order of time, and in order of insertion within one
 *	microsecond, so a run depends on its seed only.  Not thread-safe.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"

#define SIM_MS INT64_C(1000)
#define SIM_S  INT64_C(1000000)

typedef void (*sim_event_fn_t)(void *ctx, void *data);

typedef struct {
	int64_t now_us;	     /* virtual time since sim_init() */
	uint64_t next_order; /* insertion number of the next event */
	GArray *heap;	     /* binary heap of pending events, earliest first */
	bsh_rng_t rng;
} sim_t;

void sim_init(sim_t *sim, uint32_t seed);

/* sim_finish - discard pending events; their data is not freed. */
void sim_finish(sim_t *sim);

/* sim_after - schedule fn(ctx, data) after delay_us; below 0 counts as 0. */
void sim_after(sim_t *sim, int64_t delay_us, sim_event_fn_t fn, void *ctx,
	       void *data);

/* sim_step - run the next event due at or before until_us; false if none. */
bool sim_step(sim_t *sim, int64_t until_us);

/* sim_run - run all events due at or before until_us, then advance the clock
 * to it. */
void sim_run(sim_t *sim, int64_t until_us);

/* sim_chance - true with the given probability. */
bool sim_chance(sim_t *sim, double probability);

/* sim_delay - random delay, uniform in [min_us, max_us]. */
int64_t sim_delay(sim_t *sim, int64_t min_us, int64_t max_us);

#endif
