#include "coordination/target_choice.h"

#include <glib.h>
#include <math.h>

/* Weight of a new answer in the smoothed time to the first byte. */
#define FIRST_BYTE_WEIGHT 0.25
/* Expected time to the first byte of a target without recent answers. */
#define FIRST_BYTE_DEFAULT_US 20000.0
/* Age at which the smoothed value has half of its weight and the default the
 * other half, so that a slow target is used again after it has been idle. */
#define FIRST_BYTE_HALF_LIFE_US 3e6
/* Roughly the round-trip time between availability zones. */
#define OTHER_ZONE_PENALTY_US 2000.0
/* Delays within this factor of the lowest one count as equal. */
#define SAME_DELAY_FACTOR 1.3
#define FAILURE_WEIGHT	  0.2
/* A target where half of the requests fail counts as about ten times slower. */
#define FAILURE_PENALTY 20.0
#define PAUSE_MIN_US	INT64_C(500000)
#define PAUSE_MAX_US	INT64_C(4000000)
/* Failures in a row after which a target is paused; a single failure can be
 * caused by the request itself. */
#define FAILURES_TO_PAUSE 3

static double delay_us(const bsh_target_candidate_t *c, int64_t now_us)
{
	const bsh_target_record_t *r = c->record;
	double expected_us = FIRST_BYTE_DEFAULT_US;
	double load = (double)r->running / MAX(c->slots, 1);

	if (r->last_first_byte_at_us > 0) {
		double age = (double)(now_us - r->last_first_byte_at_us);
		double weight = exp2(-age / FIRST_BYTE_HALF_LIFE_US);

		expected_us = weight * r->first_byte_us +
			      (1.0 - weight) * FIRST_BYTE_DEFAULT_US;
	}
	expected_us *= 1.0 + 4.0 * load + (load >= 1.0 ? 8.0 * load : 0.0);
	expected_us *= 1.0 + FAILURE_PENALTY * r->failure_share;
	return expected_us + (c->same_zone ? 0.0 : OTHER_ZONE_PENALTY_US);
}

bool bsh_target_usable(const bsh_target_record_t *record, int64_t now_us)
{
	if (record->failures < FAILURES_TO_PAUSE)
		return true;
	return now_us >= record->paused_until_us && !record->probing;
}

/* Rendezvous hashing: the target with the highest score is preferred. */
static uint64_t rendezvous_score(uint64_t a, uint64_t b)
{
	uint64_t x = a ^ (b * UINT64_C(0x9e3779b97f4a7c15));

	x ^= x >> 33;
	x *= UINT64_C(0xff51afd7ed558ccd);
	x ^= x >> 33;
	return x;
}

static int32_t choose(const bsh_target_candidate_t *candidates, uint32_t n,
		      uint64_t affinity, bool entry_removed, int64_t now_us)
{
	double lowest = INFINITY;
	uint64_t best_score = 0;
	int32_t best = -1;

	for (uint32_t i = 0; i < n; i++)
		if (candidates[i].entry_removed == entry_removed &&
		    bsh_target_usable(candidates[i].record, now_us))
			lowest = MIN(lowest, delay_us(&candidates[i], now_us));
	for (uint32_t i = 0; i < n; i++) {
		uint64_t value;

		if (candidates[i].entry_removed != entry_removed ||
		    !bsh_target_usable(candidates[i].record, now_us) ||
		    delay_us(&candidates[i], now_us) >
			    lowest * SAME_DELAY_FACTOR)
			continue;
		value = rendezvous_score(affinity, candidates[i].target_hash);
		if (best < 0 || value > best_score) {
			best = (int32_t)i;
			best_score = value;
		}
	}
	return best;
}

int32_t bsh_target_choose(const bsh_target_candidate_t *candidates, uint32_t n,
			  uint64_t affinity, int64_t now_us)
{
	int32_t best = choose(candidates, n, affinity, false, now_us);

	if (best < 0)
		best = choose(candidates, n, affinity, true, now_us);
	return best;
}

void bsh_target_started(bsh_target_record_t *record, int64_t now_us)
{
	record->running++;
	if (record->failures >= FAILURES_TO_PAUSE &&
	    now_us >= record->paused_until_us)
		record->probing = true;
}

void bsh_target_first_byte(bsh_target_record_t *record, int64_t took_us,
			   int64_t now_us)
{
	if (record->last_first_byte_at_us == 0)
		record->first_byte_us = (double)took_us;
	else
		record->first_byte_us +=
			FIRST_BYTE_WEIGHT *
			((double)took_us - record->first_byte_us);
	record->last_first_byte_at_us = now_us;
}

static void pause_target(bsh_target_record_t *record, int64_t now_us)
{
	uint32_t doublings = record->failures - FAILURES_TO_PAUSE;
	int64_t pause_us = PAUSE_MIN_US << MIN(doublings, 3U);

	record->paused_until_us = now_us + MIN(pause_us, PAUSE_MAX_US);
}

void bsh_target_ended(bsh_target_record_t *record, bool failed, int64_t now_us)
{
	if (record->running > 0)
		record->running--;
	record->probing = false;
	record->failure_share +=
		FAILURE_WEIGHT * ((failed ? 1.0 : 0.0) - record->failure_share);
	if (!failed) {
		record->failures = 0;
		return;
	}
	record->failures++;
	if (record->failures >= FAILURES_TO_PAUSE)
		pause_target(record, now_us);
}

void bsh_target_unreachable(bsh_target_record_t *record, int64_t now_us)
{
	if (record->running > 0)
		record->running--;
	record->probing = false;
	/* Unlike a failed answer, this shows that the target itself is down or
	 * unreachable, so a single failure is enough for a pause. */
	record->failures = MAX(record->failures + 1, FAILURES_TO_PAUSE);
	pause_target(record, now_us);
}
