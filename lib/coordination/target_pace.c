#include "coordination/target_pace.h"

#include <glib.h>
#include <math.h>

#include "coordination/rendezvous.h"

/* Part of the slots that all instances use together at the beginning. */
#define START_DIVISOR 4
/* Time in which a window doubles: from a quarter of 16 slots to one request of
 * each of 70 instances in 2.9 s.  With 500 ms a target that is four times slower
 * for 3 s rejects four times as many (regress/test_target_pace.c, one-cold). */
#define DOUBLE_US 700000.0
/* Time after an answer against the target before its window grows again. */
#define HOLD_US INT64_C(500000)
/* Factors of the window with an answer. */
#define FACTOR_KEPT   1.25
#define FACTOR_LATE   0.7
#define FACTOR_FAILED 0.5
/* Lower bound of the window, as a part of its beginning. */
#define MIN_DIVISOR 4.0
/* Weight of a new answer in the smoothed ratio: a target four times slower is
 * late with its second answer. */
#define LATE_WEIGHT 0.4
/* Weight of a new answer in the mean of the peers, which are many. */
#define PEERS_WEIGHT 0.05
/* A window above this has no bound: an instance never has as many open. */
#define WINDOW_MAX 1e6

double bsh_pace_lot(uint64_t instance_key, uint64_t process_key)
{
	uint64_t score = bsh_rendezvous_score(instance_key, process_key);

	return (double)(score >> 11) / (double)(UINT64_C(1) << 53);
}

void bsh_pace_begin(bsh_target_pace_t *pace, uint32_t slots, uint32_t instances,
		    double lot, int64_t now_us)
{
	double start = MAX((double)slots / START_DIVISOR, 1.0) /
		       (double)MAX(instances, 1);

	pace->active = true;
	pace->lot = lot;
	pace->window = start;
	pace->window_min = start / MIN_DIVISOR;
	pace->changed_us = now_us;
	pace->against_us = now_us;
	pace->late_log = 0.0;
	pace->kept = 0;
}

static double window_at(const bsh_target_pace_t *pace, int64_t now_us)
{
	int64_t age_us = MAX(now_us - pace->changed_us, 0);

	return MIN(pace->window * exp2((double)age_us / DOUBLE_US), WINDOW_MAX);
}

uint32_t bsh_pace_open_max(const bsh_target_pace_t *pace, int64_t now_us)
{
	double window;

	if (!pace->active || now_us - pace->against_us >= BSH_PACE_QUIET_US)
		return UINT32_MAX;
	window = window_at(pace, now_us);
	if (window >= 1.0)
		return (uint32_t)window;
	return pace->lot < window ? 1 : 0;
}

static void shrink(bsh_target_pace_t *pace, double factor, int64_t now_us)
{
	pace->window = MAX(window_at(pace, now_us) * factor, pace->window_min);
	pace->changed_us = now_us + HOLD_US;
	pace->against_us = now_us;
	pace->kept = 0;
}

/* Natural logarithm of the time per size of work. */
static double log_time(const bsh_pace_answer_t *answer)
{
	double expected_us =
		answer->expected_us > 0.0 ? answer->expected_us : 1.0;

	return log(MAX((double)answer->took_us, 1.0) / expected_us);
}

static void note_peer(bsh_pace_peers_t *peers, double value, int64_t now_us)
{
	if (peers->last_us == 0)
		peers->mean_log = value;
	else
		peers->mean_log += PEERS_WEIGHT * (value - peers->mean_log);
	peers->last_us = now_us;
}

static bool is_late(bsh_target_pace_t *pace, const bsh_pace_peers_t *peers,
		    double value, int64_t now_us)
{
	if (peers->last_us == 0 || now_us - peers->last_us > BSH_PACE_PEERS_US)
		return false;
	pace->late_log +=
		LATE_WEIGHT * (value - peers->mean_log - pace->late_log);
	return pace->late_log > log(BSH_PACE_LATE_FACTOR);
}

bool bsh_pace_expire(bsh_target_pace_t *pace, int64_t now_us)
{
	if (!pace->active || now_us - pace->against_us < BSH_PACE_QUIET_US)
		return false;
	pace->active = false;
	return true;
}

bool bsh_pace_answered(bsh_target_pace_t *pace, bsh_pace_peers_t *peers,
		       const bsh_pace_answer_t *answer, int64_t now_us)
{
	double value = log_time(answer);

	if (!pace->active) {
		note_peer(peers, value, now_us);
		return true;
	}
	if (is_late(pace, peers, value, now_us)) {
		shrink(pace, FACTOR_LATE, now_us);
		return false;
	}
	pace->window = MIN(window_at(pace, now_us) * FACTOR_KEPT, WINDOW_MAX);
	pace->changed_us = MAX(pace->changed_us, now_us);
	pace->kept++;
	if (pace->kept >= BSH_PACE_KEPT &&
	    now_us - pace->against_us >= BSH_PACE_KEPT_US)
		pace->active = false;
	return true;
}

void bsh_pace_failed(bsh_target_pace_t *pace, int64_t now_us)
{
	if (pace->active)
		shrink(pace, FACTOR_FAILED, now_us);
}
