#include "support/world.h"

/*
 * Guards against a deposit that is executed twice.  The targets count
 * executions: per idempotency key over all tries and instances, or per request
 * without a key.
 */

static const world_case_t cases[] = {
	{ "store-lost", FAULT_STORE_LOST | FAULT_BREAK, 1 },
	{ "store-down", FAULT_STORE_DOWN | FAULT_BREAK, 1 },
	{ "store-slow", FAULT_STORE_SLOW | FAULT_SILENT, 1 },
	{ "silent", FAULT_SILENT, 1 },
	{ "cut", FAULT_CUT, 1 },
	{ "break", FAULT_BREAK, 1 },
	{ "late", FAULT_LATE, 1 },
	{ "crossed", FAULT_CROSSED | FAULT_LATE, 1 },
	{ "target-killed", FAULT_KILL | FAULT_LATE, 2 },
	{ "router-killed", FAULT_ROUTER_KILL, 2 },
	{ "frozen", FAULT_FREEZE | FAULT_SILENT, 2 },
	{ "key-race", FAULT_RACE, 1 },
	{ "caller-gone", FAULT_CALLER_GONE | FAULT_BREAK, 1 },
	{ "shutdown", FAULT_SHUTDOWN | FAULT_SILENT, 1 },
	{ "all", 0x1fffff, 1 },
	{ "all-twice", 0x1fffff, 2 },
	{ NULL, 0, 0 }
};

static void prepare(world_t *w)
{
	w->weights[KIND_DEPOSIT] = 1;
}

static int violations(const world_t *w)
{
	int count = 0;

	for (guint i = 0; i < w->submissions->len; i++) {
		const submission_t *sub = g_ptr_array_index(w->submissions, i);
		int executions_of_call =
			g_array_index(w->executions, int, sub->call);

		if (sub->kind != KIND_DEPOSIT)
			continue;
		if (sub->tries == 0)
			count += sub->keyed ? executions_of_call > 1
					    : sub->executions > 1;
	}
	return count;
}

int main(int argc, char **argv)
{
	static const world_proof_t proof = { "at-most-once", cases, 300,
					     prepare, violations };

	return world_prove(&proof, argc, argv);
}
