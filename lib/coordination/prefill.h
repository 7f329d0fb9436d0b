#ifndef BSH_COORDINATION_PREFILL_H
#define BSH_COORDINATION_PREFILL_H

/*
 * NAME
 *	prefill - estimate of the time that an engine takes to read a prompt
 *
 * DESCRIPTION
 *	The time per token differs between models by their size and is not
 *	declared.  It is learnt for each model from the time to the first byte
 *	of answers.  That time also contains waits and tokens of other
 *	requests, so the estimate follows a shorter time quickly and a longer
 *	one slowly.  A model without samples uses the mean of the others.
 *
 *	The number of models is bounded by BSH_PREFILL_MODELS_MAX; further
 *	ones use the mean.
 *
 *	Pure: no I/O and no clock.
 */

#include <glib.h>
#include <stdint.h>

#define BSH_PREFILL_MODELS_MAX 4096U
/* Time per token before the first sample, and the bounds of what is learnt. */
#define BSH_PREFILL_DEFAULT_US 30.0
#define BSH_PREFILL_MIN_US     1.0
#define BSH_PREFILL_MAX_US     300.0

typedef struct {
	GHashTable *models; /* hash of the name to double, us per token */
	double mean_us;	    /* per token, over all samples */
} bsh_prefill_t;

void bsh_prefill_init(bsh_prefill_t *prefill);
void bsh_prefill_finish(bsh_prefill_t *prefill);

/* bsh_prefill_token_us - estimated time per prompt token. */
double bsh_prefill_token_us(const bsh_prefill_t *prefill, uint32_t model);

/*
 * bsh_prefill_observe - learn from an answer that began took_us after its
 * request was sent to a target where ahead_us of work was estimated before it.
 * Requests with few tokens and those behind others are ignored.
 */
void bsh_prefill_observe(bsh_prefill_t *prefill, uint32_t model,
			 uint32_t tokens, int64_t took_us, double ahead_us);

#endif
