#include "base/rng.h"

#include <math.h>

void bsh_rng_init(bsh_rng_t *rng, uint32_t seed)
{
	rng->rand = g_rand_new_with_seed(seed);
}

void bsh_rng_finish(bsh_rng_t *rng)
{
	g_rand_free(rng->rand);
	rng->rand = NULL;
}

uint32_t bsh_rng_below(bsh_rng_t *rng, uint32_t n)
{
	return (uint32_t)(g_rand_double(rng->rand) * n);
}

double bsh_rng_unit(bsh_rng_t *rng)
{
	return g_rand_double(rng->rand);
}

double bsh_rng_exponential(bsh_rng_t *rng, double mean)
{
	return -mean * log(1.0 - g_rand_double(rng->rand));
}
