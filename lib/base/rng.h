#ifndef BSH_BASE_RNG_H
#define BSH_BASE_RNG_H

/*
 * NAME
 *	rng - seeded pseudo-random numbers for jitter, sampling and tests
 *
 * DESCRIPTION
 *	A wrapper of GRand (Mersenne Twister) that makes a run reproducible
 *	from its seed.  Not for secrets; those come from libsodium.  A
 *	generator is not locked; the caller serialises access.
 */

#include <glib.h>
#include <stdint.h>

typedef struct {
	GRand *rand;
} bsh_rng_t;

void bsh_rng_init(bsh_rng_t *rng, uint32_t seed);
void bsh_rng_finish(bsh_rng_t *rng);

/* bsh_rng_below - uniform integer in [0, n); n must be positive. */
uint32_t bsh_rng_below(bsh_rng_t *rng, uint32_t n);

/* bsh_rng_unit - uniform in [0, 1). */
double bsh_rng_unit(bsh_rng_t *rng);

/* bsh_rng_exponential - exponentially distributed with the given mean. */
double bsh_rng_exponential(bsh_rng_t *rng, double mean);

#endif
