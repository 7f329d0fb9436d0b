#include "support/world.h"

/*
 * Guards against a request that receives neither the first byte of an answer
 * nor a refusal by its deadline, and against a refusal that is delayed although
 * the router was informed that the deadline cannot be met.
 */

/* From that information to the refusal. */
#define REFUSAL_DELAY_MAX_US (100 * SIM_MS)

static const world_case_t cases[] = {
	{ "slow-load", FAULT_SLOW_LOAD, 1 },
	{ "no-load", FAULT_NO_LOAD, 1 },
	{ "no-control", FAULT_NO_CONTROL, 1 },
	{ "overload", FAULT_OVERLOAD | FAULT_SLOW_LOAD, 1 },
	{ "silent", FAULT_SILENT, 1 },
	{ "late", FAULT_LATE, 1 },
	{ "cut", FAULT_CUT, 1 },
	{ "break", FAULT_BREAK | FAULT_CUT, 1 },
	{ "target-killed", FAULT_KILL | FAULT_SILENT, 2 },
	{ "refused", FAULT_REFUSE | FAULT_LATE, 1 },
	{ "store", FAULT_STORE_DOWN | FAULT_STORE_SLOW | FAULT_SILENT, 1 },
	{ "leaving", FAULT_LEAVING | FAULT_LIST_LAG | FAULT_SILENT, 1 },
	{ "all", 0x1fffff & ~(FAULT_ROUTER_KILL | FAULT_FREEZE), 1 },
	{ "all-twice", 0x1fffff & ~(FAULT_ROUTER_KILL | FAULT_FREEZE), 2 },
	{ NULL, 0, 0 }
};

static void prepare(world_t *w)
{
	w->weights[KIND_STREAM] = 2;
	w->weights[KIND_PLAIN] = 1;
	w->weights[KIND_COLD] = 3;
	w->weights[KIND_DEPOSIT] = 1;
}

static bool is_late(const submission_t *sub)
{
	int64_t response_us = sub->first_us > 0 ? sub->first_us : sub->ended_us;

	/* Never submitted, or the caller disconnected. */
	if (sub->submitted_us == 0 || sub->gone_us > 0)
		return false;
	if (response_us == 0 || response_us > sub->deadline_us)
		return true;
	return sub->unmeetable_us > 0 && !sub->ok &&
	       sub->ended_us > sub->unmeetable_us + REFUSAL_DELAY_MAX_US;
}

static int violations(const world_t *w)
{
	int count = 0;

	for (guint i = 0; i < w->submissions->len; i++)
		count += is_late(g_ptr_array_index(w->submissions, i));
	return count;
}

int main(int argc, char **argv)
{
	static const world_proof_t proof = { "in-time", cases, 300, prepare,
					     violations };

	return world_prove(&proof, argc, argv);
}
