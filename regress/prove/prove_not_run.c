#include "support/world.h"

/*
 * Guards against a refusal that reports "not run" for a request that a target
 * executes before or after it.
 */

static const world_case_t cases[] = {
	{ "silent", FAULT_SILENT, 1 },
	{ "break", FAULT_BREAK, 1 },
	{ "late", FAULT_LATE, 1 },
	{ "crossed-and-late", FAULT_CROSSED | FAULT_LATE, 1 },
	{ "target-killed", FAULT_KILL | FAULT_BREAK, 2 },
	{ "cut", FAULT_CUT, 1 },
	{ "refused", FAULT_REFUSE | FAULT_LATE, 1 },
	{ "store-down", FAULT_STORE_DOWN | FAULT_SILENT, 1 },
	{ "store-lost", FAULT_STORE_LOST | FAULT_STORE_SLOW | FAULT_BREAK, 1 },
	{ "overload", FAULT_OVERLOAD | FAULT_BREAK, 1 },
	{ "caller-gone", FAULT_CALLER_GONE | FAULT_SILENT, 1 },
	{ "all", 0x1fffff, 1 },
	{ "all-twice", 0x1fffff, 2 },
	{ NULL, 0, 0 }
};

static void prepare(world_t *w)
{
	/* A refusal follows only after several failed attempts, so a
	 * fault has to last long enough for all of them to fail. */
	w->fault_duration_max_us = 2 * w->span_us;
	w->weights[KIND_STREAM] = 2;
	w->weights[KIND_PLAIN] = 2;
	w->weights[KIND_COLD] = 1;
	w->weights[KIND_DEPOSIT] = 2;
}

static int violations(const world_t *w)
{
	int count = 0;

	for (guint i = 0; i < w->submissions->len; i++) {
		const submission_t *sub = g_ptr_array_index(w->submissions, i);

		count += sub->ends > 0 && !sub->ok && !sub->cut &&
			 sub->outcome == BSH_OUTCOME_NOT_RUN &&
			 sub->executions > 0;
	}
	return count;
}

int main(int argc, char **argv)
{
	static const world_proof_t proof = { "not-run", cases, 300, prepare,
					     violations };

	return world_prove(&proof, argc, argv);
}
