#include "support/world.h"

/*
 * Guards against new work at a leaving target more than 3 s after any router
 * was informed.  The targets count it.  The fake membership disseminates the
 * information within 2 s, which is an assumption here.
 */

static const world_case_t cases[] = {
	{ "leaving", FAULT_LEAVING, 1 },
	{ "lagging-list", FAULT_LEAVING | FAULT_LIST_LAG, 1 },
	{ "silent", FAULT_LEAVING | FAULT_SILENT, 1 },
	{ "cut", FAULT_LEAVING | FAULT_CUT, 1 },
	{ "refused", FAULT_LEAVING | FAULT_LIST_LAG | FAULT_REFUSE, 1 },
	{ "overload", FAULT_LEAVING | FAULT_LIST_LAG | FAULT_OVERLOAD, 1 },
	{ "target-killed", FAULT_LEAVING | FAULT_LIST_LAG | FAULT_KILL, 2 },
	{ "all", 0x1fffff & ~FAULT_FREEZE, 1 },
	{ "all-twice", 0x1fffff & ~FAULT_FREEZE, 2 },
	{ NULL, 0, 0 }
};

static void prepare(world_t *w)
{
	w->weights[KIND_STREAM] = 2;
	w->weights[KIND_PLAIN] = 1;
	w->weights[KIND_DEPOSIT] = 2;
	w->requests = 80;
	w->span_us = 20 * SIM_S;
}

static int violations(const world_t *w)
{
	int count = 0;

	for (int t = 0; t < WORLD_TARGETS; t++)
		count += w->targets[t].late_requests;
	return count;
}

int main(int argc, char **argv)
{
	static const world_proof_t proof = { "leaving", cases, 300, prepare,
					     violations };

	return world_prove(&proof, argc, argv);
}
