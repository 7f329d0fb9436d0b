#include "support/world.h"

/*
 * Guards against a graceful shutdown that cuts or drops a request or does not
 * end.
 */

#define ALL (0x1fffff & ~FAULT_ROUTER_KILL)

static const world_case_t cases[] = {
	{ "shutdown", FAULT_SHUTDOWN, 1 },
	{ "overload", FAULT_SHUTDOWN | FAULT_OVERLOAD, 1 },
	{ "silent", FAULT_SHUTDOWN | FAULT_SILENT, 1 },
	{ "late", FAULT_SHUTDOWN | FAULT_LATE, 1 },
	{ "slow-load", FAULT_SHUTDOWN | FAULT_SLOW_LOAD, 1 },
	{ "store", FAULT_SHUTDOWN | FAULT_STORE_DOWN | FAULT_STORE_LOST, 1 },
	{ "caller-gone", FAULT_SHUTDOWN | FAULT_CALLER_GONE, 1 },
	{ "twice", FAULT_SHUTDOWN, 2 },
	{ "all", ALL, 1 },
	{ "all-twice", ALL, 2 },
	{ NULL, 0, 0 }
};

static void prepare(world_t *w)
{
	w->weights[KIND_STREAM] = 3;
	w->weights[KIND_PLAIN] = 1;
	w->weights[KIND_COLD] = 1;
	w->weights[KIND_DEPOSIT] = 1;
	w->chunk_interval_max_us = 8 * SIM_S;
}

static int violations(const world_t *w)
{
	int count = 0;

	for (guint i = 0; i < w->submissions->len; i++) {
		const submission_t *sub = g_ptr_array_index(w->submissions, i);

		if (sub->submitted_us > 0 && sub->gone_us == 0)
			count += sub->cut || sub->ended_us == 0;
	}
	for (int r = 0; r < WORLD_ROUTERS; r++)
		count += w->routers[r].terminated_us > 0 &&
			 w->routers[r].exited_us == 0;
	return count;
}

int main(int argc, char **argv)
{
	static const world_proof_t proof = { "shutdown", cases, 300, prepare,
					     violations };

	return world_prove(&proof, argc, argv);
}
