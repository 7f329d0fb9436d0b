#include "support/world.h"

/*
 * Guards against an answer that ends as complete but is not: a part missing,
 * repeated, out of order or of another request; and against two answers.
 */

static const world_case_t cases[] = {
	{ "silent", FAULT_SILENT, 1 },
	{ "break", FAULT_BREAK, 1 },
	{ "late", FAULT_LATE, 1 },
	{ "crossed", FAULT_CROSSED, 1 },
	{ "late-and-crossed", FAULT_CROSSED | FAULT_LATE, 2 },
	{ "target-killed", FAULT_KILL | FAULT_LATE, 2 },
	{ "cut", FAULT_CUT, 1 },
	{ "store", FAULT_STORE_LOST | FAULT_STORE_SLOW | FAULT_BREAK, 1 },
	{ "all", 0x1fffff, 1 },
	{ "all-twice", 0x1fffff, 2 },
	{ NULL, 0, 0 }
};

static void prepare(world_t *w)
{
	w->weights[KIND_STREAM] = 3;
	w->weights[KIND_PLAIN] = 2;
	w->weights[KIND_COLD] = 1;
	w->weights[KIND_DEPOSIT] = 1;
	w->chunk_interval_max_us = 400 * SIM_MS;
}

static int violations(const world_t *w)
{
	int count = 0;

	for (guint i = 0; i < w->submissions->len; i++) {
		const submission_t *sub = g_ptr_array_index(w->submissions, i);

		count += sub->wrong_chunk || sub->ends > 1 ||
			 (sub->ok && sub->chunks != sub->expected);
	}
	return count;
}

int main(int argc, char **argv)
{
	static const world_proof_t proof = { "whole-answer", cases, 300,
					     prepare, violations };

	return world_prove(&proof, argc, argv);
}
