#ifndef BSH_SUPPORT_SIM_H
#define BSH_SUPPORT_SIM_H

/*
 * NAME
 *	sim - virtual clock and ordered event queue for logic tests
 *
 * DESCRIPTION
 *	Events run in order of time, and in order of insertion within one
 *	microsecond, so a run depends on its seed only.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"

#define SIM_MS INT64_C(1000)
#define SIM_S  INT64_C(1000000)

typedef void (*sim_event_fn_t)(void *ctx, void *data);

typedef struct {
	int64_t now_us;
	uint64_t next_order;
	GArray *heap;
	bsh_rng_t rng;
} sim_t;

void sim_init(sim_t *sim, uint32_t seed);

/* sim_finish - pending events are dropped; their data is not freed. */
void sim_finish(sim_t *sim);

/* sim_after - run fn(ctx, data) after delay_us (at least 0). */
void sim_after(sim_t *sim, int64_t delay_us, sim_event_fn_t fn, void *ctx,
	       void *data);

/* sim_step - run the next event due at or before until_us; false if none. */
bool sim_step(sim_t *sim, int64_t until_us);

/* sim_run - run all events due until until_us, then move the clock there. */
void sim_run(sim_t *sim, int64_t until_us);

/* sim_chance - true with the given probability. */
bool sim_chance(sim_t *sim, double probability);

/* sim_delay - uniform in [min_us, max_us]. */
int64_t sim_delay(sim_t *sim, int64_t min_us, int64_t max_us);

#endif
