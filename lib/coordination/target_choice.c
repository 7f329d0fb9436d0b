#include "coordination/target_choice.h"

#include <glib.h>
#include <math.h>

#include "coordination/rendezvous.h"

/* Weight of a new answer in the smoothed time to the first byte. */
#define FIRST_BYTE_WEIGHT 0.25
/* Expected time to the first byte of a target without recent answers. */
#define FIRST_BYTE_DEFAULT_US 20000.0
/* Age at which the smoothed value has half of its weight and the default the
 * other half, so that a slow target is used again after it has been idle. */
#define FIRST_BYTE_HALF_LIFE_US 3e6
/* Half-life of the known work of others: without news it counts as done. */
#define OTHERS_HALF_LIFE_US 400000.0
/* How a target's answers compare with the estimates: weight of a new one, half
 * of the weight is lost in this time, and bounds. */
#define SLOWNESS_WEIGHT	      0.25
#define SLOWNESS_HALF_LIFE_US 5e6
#define SLOWNESS_MIN	      0.5
#define SLOWNESS_MAX	      8.0
/* Delay of a first token by one running request, which only adds to the batch,
 * and by a batch that is full. */
#define RUNNING_DELAY_US 300.0
#define FULL_DELAY_US	 2e6
/* Ranks that are compared, and how much better another one has to be. */
#define COMPARED_RANKS	    2U
#define OTHER_RANK_DELAY_US 150000.0
/* Roughly the round-trip time between availability zones. */
#define OTHER_ZONE_PENALTY_US 2000.0
/* A target at its pace is left out unless the other one takes this much longer.
 * Less than 50 ms leaves a new plain target its flood, as its expected delay is
 * the default; more delays requests when the other engines are nearly full. */
#define PACE_DELAY_US 50000.0
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

/* Which candidates are compared. */
typedef enum {
	AMONG_UNPACED, /* neither leaving nor at their pace */
	AMONG_STAYING, /* not leaving */
	AMONG_LEAVING
} among_t;

static double aged(double value, double neutral, int64_t age_us,
		   double half_life_us)
{
	double weight = exp2(-(double)MAX(age_us, 0) / half_life_us);

	return weight * value + (1.0 - weight) * neutral;
}

static double service_delay_us(const bsh_target_candidate_t *c, int64_t now_us)
{
	const bsh_target_record_t *r = c->record;
	double expected_us = FIRST_BYTE_DEFAULT_US;
	double load = (double)r->running / MAX(c->slots, 1);

	if (r->last_first_byte_at_us > 0)
		expected_us = aged(r->first_byte_us, FIRST_BYTE_DEFAULT_US,
				   now_us - r->last_first_byte_at_us,
				   FIRST_BYTE_HALF_LIFE_US);
	expected_us *= 1.0 + 4.0 * load + (load >= 1.0 ? 8.0 * load : 0.0);
	expected_us *= 1.0 + FAILURE_PENALTY * r->failure_share;
	expected_us += (double)c->wait_us;
	return expected_us + (c->same_zone ? 0.0 : OTHER_ZONE_PENALTY_US);
}

double bsh_target_ahead_us(const bsh_target_record_t *r, int64_t now_us)
{
	if (r->others_at_us == 0)
		return r->work_us;
	return r->work_us + aged(r->others_us, 0.0, now_us - r->others_at_us,
				 OTHERS_HALF_LIFE_US);
}

double bsh_target_own_us(const bsh_target_candidate_t *c,
			 const bsh_target_work_t *work)
{
	return work->prefill_us -
	       work->shared_us * exp2(-(double)MIN(c->rank, 32U));
}

static double engine_delay_us(const bsh_target_candidate_t *c,
			      const bsh_target_work_t *work, int64_t now_us)
{
	const bsh_target_record_t *r = c->record;
	double delay_us =
		bsh_target_ahead_us(r, now_us) + bsh_target_own_us(c, work);
	uint32_t running = r->running + r->others_running;

	if (r->slowness > 0.0)
		delay_us *= aged(r->slowness, 1.0, now_us - r->slowness_at_us,
				 SLOWNESS_HALF_LIFE_US);
	delay_us *= 1.0 + FAILURE_PENALTY * r->failure_share;
	delay_us += RUNNING_DELAY_US * running;
	if (running >= c->slots && !c->needs_place)
		delay_us += FULL_DELAY_US;
	delay_us += (double)c->wait_us;
	return delay_us + (c->same_zone ? 0.0 : OTHER_ZONE_PENALTY_US);
}

double bsh_target_delay_us(const bsh_target_candidate_t *candidate,
			   const bsh_target_work_t *work, int64_t now_us)
{
	return work != NULL && work->prefill_us > 0.0
		       ? engine_delay_us(candidate, work, now_us)
		       : service_delay_us(candidate, now_us);
}

bool bsh_target_usable(const bsh_target_record_t *record, int64_t now_us)
{
	if (record->failures < FAILURES_TO_PAUSE)
		return true;
	return now_us >= record->paused_until_us && !record->probing;
}

bool bsh_target_is_left_out(const bsh_target_record_t *record)
{
	return record->failures >= FAILURES_TO_PAUSE;
}

static bool is_eligible(const bsh_target_candidate_t *c, among_t among,
			int64_t now_us)
{
	return c->leaving == (among == AMONG_LEAVING) &&
	       !(among == AMONG_UNPACED && c->at_pace) &&
	       bsh_target_usable(c->record, now_us);
}

static int32_t choose_service(const bsh_target_candidate_t *candidates,
			      uint32_t n, uint64_t affinity, among_t among,
			      int64_t now_us)
{
	double lowest = INFINITY;
	uint64_t best_score = 0;
	int32_t best = -1;

	for (uint32_t i = 0; i < n; i++)
		if (is_eligible(&candidates[i], among, now_us))
			lowest = MIN(lowest,
				     service_delay_us(&candidates[i], now_us));
	for (uint32_t i = 0; i < n; i++) {
		uint64_t value;

		if (!is_eligible(&candidates[i], among, now_us) ||
		    service_delay_us(&candidates[i], now_us) >
			    lowest * SAME_DELAY_FACTOR)
			continue;
		value = bsh_rendezvous_score(affinity,
					     candidates[i].target_hash);
		if (best < 0 || value > best_score) {
			best = (int32_t)i;
			best_score = value;
		}
	}
	return best;
}

static void set_ranks(bsh_target_candidate_t *candidates, uint32_t n,
		      uint64_t affinity, among_t among, int64_t now_us)
{
	for (uint32_t i = 0; i < n; i++) {
		uint64_t score = bsh_rendezvous_score(
			affinity, candidates[i].target_hash);

		candidates[i].rank = 0;
		for (uint32_t j = 0; j < n; j++)
			candidates[i].rank +=
				j != i &&
				is_eligible(&candidates[j], among, now_us) &&
				bsh_rendezvous_score(
					affinity, candidates[j].target_hash) >
					score;
	}
}

static int32_t choose_engine(bsh_target_candidate_t *candidates, uint32_t n,
			     const bsh_target_work_t *work, uint64_t affinity,
			     among_t among, int64_t now_us)
{
	double lowest = INFINITY;
	int32_t best = -1;

	set_ranks(candidates, n, affinity, among, now_us);
	for (uint32_t i = 0; i < n; i++) {
		const bsh_target_candidate_t *c = &candidates[i];
		double delay_us;

		if (!is_eligible(c, among, now_us))
			continue;
		delay_us = engine_delay_us(c, work, now_us);
		if (c->rank >= COMPARED_RANKS)
			delay_us += OTHER_RANK_DELAY_US;
		if (delay_us >= lowest)
			continue;
		lowest = delay_us;
		best = (int32_t)i;
	}
	return best;
}

static bool is_engine_work(const bsh_target_work_t *work)
{
	return work != NULL && work->prefill_us > 0.0;
}

static int32_t choose_among(bsh_target_candidate_t *candidates, uint32_t n,
			    const bsh_target_work_t *work, uint64_t affinity,
			    among_t among, int64_t now_us)
{
	return is_engine_work(work)
		       ? choose_engine(candidates, n, work, affinity, among,
				       now_us)
		       : choose_service(candidates, n, affinity, among, now_us);
}

static double delay_of(const bsh_target_candidate_t *c,
		       const bsh_target_work_t *work, int64_t now_us)
{
	return is_engine_work(work) ? engine_delay_us(c, work, now_us)
				    : service_delay_us(c, now_us);
}

/* With half of the targets at their pace the others are too few to take their
 * requests as well. */
static bool are_most_unpaced(const bsh_target_candidate_t *candidates,
			     uint32_t n, int64_t now_us)
{
	uint32_t staying = 0;
	uint32_t unpaced = 0;

	for (uint32_t i = 0; i < n; i++) {
		staying += is_eligible(&candidates[i], AMONG_STAYING, now_us);
		unpaced += is_eligible(&candidates[i], AMONG_UNPACED, now_us);
	}
	return 2 * unpaced > staying;
}

/* True if the candidate takes the request now, as far as is known here, and not
 * much later than the one that is at its pace. */
static bool can_replace(const bsh_target_candidate_t *c, double paced_delay_us,
			const bsh_target_work_t *work, int64_t now_us)
{
	const bsh_target_record_t *r = c->record;

	return c->wait_us == 0 && r->running + r->others_running < c->slots &&
	       delay_of(c, work, now_us) <= paced_delay_us + PACE_DELAY_US;
}

/* The candidate instead of the one that is at its pace, or -1. */
static int32_t choose_substitute(bsh_target_candidate_t *candidates, uint32_t n,
				 const bsh_target_work_t *work,
				 uint64_t affinity, int32_t paced,
				 int64_t now_us)
{
	double paced_delay_us = delay_of(&candidates[paced], work, now_us);
	int32_t best = choose_among(candidates, n, work, affinity,
				    AMONG_UNPACED, now_us);

	if (best < 0 ||
	    !can_replace(&candidates[best], paced_delay_us, work, now_us))
		return -1;
	candidates[best].is_substitute = true;
	return best;
}

int32_t bsh_target_choose(bsh_target_candidate_t *candidates, uint32_t n,
			  const bsh_target_work_t *work, uint64_t affinity,
			  int64_t now_us)
{
	int32_t best = choose_among(candidates, n, work, affinity,
				    AMONG_STAYING, now_us);
	int32_t other;

	if (best < 0)
		return choose_among(candidates, n, work, affinity,
				    AMONG_LEAVING, now_us);
	if (!candidates[best].at_pace ||
	    !are_most_unpaced(candidates, n, now_us))
		return best;
	other = choose_substitute(candidates, n, work, affinity, best, now_us);
	if (other >= 0)
		return other;
	/* Sets the ranks among all again. */
	return choose_among(candidates, n, work, affinity, AMONG_STAYING,
			    now_us);
}

void bsh_target_set_others(bsh_target_record_t *record, double sum_us,
			   uint32_t sum_running, int64_t now_us)
{
	record->others_us = MAX(sum_us - record->reported_us, 0.0);
	record->others_running =
		sum_running - MIN(sum_running, record->reported_running);
	record->others_at_us = now_us;
}

void bsh_target_started(bsh_target_record_t *record, double work_us,
			int64_t now_us)
{
	record->running++;
	record->work_us += work_us;
	if (record->failures >= FAILURES_TO_PAUSE &&
	    now_us >= record->paused_until_us)
		record->probing = true;
}

void bsh_target_work_done(bsh_target_record_t *record, double work_us)
{
	record->work_us = MAX(record->work_us - work_us, 0.0);
}

static void note_slowness(bsh_target_record_t *record, double sample,
			  int64_t now_us)
{
	double before = 1.0;

	if (record->slowness > 0.0)
		before = aged(record->slowness, 1.0,
			      now_us - record->slowness_at_us,
			      SLOWNESS_HALF_LIFE_US);
	sample = CLAMP(sample, SLOWNESS_MIN, SLOWNESS_MAX);
	record->slowness = before + SLOWNESS_WEIGHT * (sample - before);
	record->slowness_at_us = now_us;
}

void bsh_target_first_byte(bsh_target_record_t *record, int64_t took_us,
			   double expected_us, int64_t now_us)
{
	if (expected_us > 0.0)
		note_slowness(record, (double)took_us / expected_us, now_us);
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

void bsh_target_cancelled(bsh_target_record_t *record)
{
	if (record->running > 0)
		record->running--;
	record->probing = false;
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

void bsh_target_restarted(bsh_target_record_t *record)
{
	record->failures = 0;
	record->failure_share = 0.0;
	record->paused_until_us = 0;
	record->probing = false;
	record->slowness = 0.0;
	record->slowness_at_us = 0;
}
