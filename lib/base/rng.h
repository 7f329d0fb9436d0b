#ifndef BSH_BASE_RNG_H
#define BSH_BASE_RNG_H

/*
 * NAME
 *	rng - seeded generator for jitter, sampling and tests
 *
 * DESCRIPTION
 *	A thin layer over GRand (Mersenne Twister), so that a run replays
 *	from its seed.  Not for secrets; those come from libsodium.
 */

#include <glib.h>
#include <stdint.h>

typedef struct {
	GRand *rand;
} bsh_rng_t;

void bsh_rng_init(bsh_rng_t *rng, uint32_t seed);
void bsh_rng_finish(bsh_rng_t *rng);

/* bsh_rng_below - uniform in [0, n); n must be above zero. */
uint32_t bsh_rng_below(bsh_rng_t *rng, uint32_t n);

/* bsh_rng_unit - uniform in [0, 1). */
double bsh_rng_unit(bsh_rng_t *rng);

/* bsh_rng_exponential - exponential with the given mean. */
double bsh_rng_exponential(bsh_rng_t *rng, double mean);

#endif
