#include "coordination/prefill.h"

/* Fewest tokens of a sample: with fewer, the fixed part of the time to the first
 * byte is too large a share of it. */
#define SAMPLE_MIN_TOKENS 400U
/* Most work ahead of a sample, as a share of the time that it took. */
#define SAMPLE_MAX_AHEAD 0.3
/* Fixed part of the time to the first byte: network and one engine step. */
#define FIXED_US      8000.0
#define FASTER_WEIGHT 0.3
#define SLOWER_WEIGHT 0.05

void bsh_prefill_init(bsh_prefill_t *prefill)
{
	prefill->models = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						NULL, g_free);
	prefill->mean_us = BSH_PREFILL_DEFAULT_US;
}

void bsh_prefill_finish(bsh_prefill_t *prefill)
{
	g_hash_table_destroy(prefill->models);
	prefill->models = NULL;
}

double bsh_prefill_token_us(const bsh_prefill_t *prefill, uint32_t model)
{
	const double *learnt =
		g_hash_table_lookup(prefill->models, GUINT_TO_POINTER(model));

	return learnt != NULL ? *learnt : prefill->mean_us;
}

static void move_towards(double *estimate, double sample)
{
	double weight = sample < *estimate ? FASTER_WEIGHT : SLOWER_WEIGHT;

	*estimate += weight * (sample - *estimate);
	*estimate = CLAMP(*estimate, BSH_PREFILL_MIN_US, BSH_PREFILL_MAX_US);
}

void bsh_prefill_observe(bsh_prefill_t *prefill, uint32_t model,
			 uint32_t tokens, int64_t took_us, double ahead_us)
{
	double sample = MAX((double)took_us - FIXED_US, 0.0) / MAX(tokens, 1U);
	double *learnt;

	if (tokens < SAMPLE_MIN_TOKENS || took_us <= 0 ||
	    ahead_us > SAMPLE_MAX_AHEAD * (double)took_us)
		return;
	move_towards(&prefill->mean_us, sample);
	learnt = g_hash_table_lookup(prefill->models, GUINT_TO_POINTER(model));
	if (learnt == NULL) {
		if (g_hash_table_size(prefill->models) >=
		    BSH_PREFILL_MODELS_MAX)
			return;
		learnt = g_new(double, 1);
		*learnt = CLAMP(sample, BSH_PREFILL_MIN_US, BSH_PREFILL_MAX_US);
		g_hash_table_insert(prefill->models, GUINT_TO_POINTER(model),
				    learnt);
		return;
	}
	move_towards(learnt, sample);
}
