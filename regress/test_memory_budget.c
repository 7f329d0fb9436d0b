/* What a process may hold for callers: crowds of uploads, bodies that grow, single
 * large ones, and the limit of connections, on the machines of the deployments. */
#include <glib.h>

#include "base/rng.h"
#include "coordination/memory_budget.h"

#define KB	       UINT64_C(1024)
#define MB	       (UINT64_C(1) << 20)
#define SMALLEST_MB    120
#define BODY_MAX_BYTES (4 * MB) /* the largest legal one */
#define CONNECTIONS    2000U	/* limit without the bounds */
/* Requests at an instance when all of a deployment, some 560 a second over 68
 * instances, stay for their longest deadline of 15 s. */
#define ORDINARY   125
#define CROWD	   400
#define STEP_BYTES 4096 /* least reservation of a body without a length */

static bool is_empty(const bsh_memory_budget_t *budget)
{
	return bsh_memory_budget_held(budget) == 0 && budget->large == 0;
}

/* Callers send the largest bodies, and stay; small requests come beside them.
 * Guards against a crowd that takes all memory, and against ordinary callers that
 * are refused because of it. */
static void test_crowd_of_large(void)
{
	bsh_memory_budget_t budget;
	uint32_t taken = 0;

	bsh_memory_budget_init(&budget, SMALLEST_MB);
	for (int i = 0; i < CROWD; i++)
		taken += bsh_memory_budget_grow(&budget, 0, BODY_MAX_BYTES);
	/* A few large ones at a time are usual. */
	g_assert_cmpuint(taken, >=, 4);
	g_assert_cmpuint(bsh_memory_budget_held(&budget), ==,
			 taken * BODY_MAX_BYTES);
	g_assert_cmpuint(bsh_memory_budget_held(&budget), <=, budget.bound);
	for (int i = 0; i < ORDINARY; i++)
		g_assert_true(bsh_memory_budget_grow(&budget, 0, 64 * KB));
	g_assert_false(bsh_memory_budget_grow(&budget, 0, BODY_MAX_BYTES));
	/* One of the crowd leaves: another one has its room. */
	bsh_memory_budget_end(&budget, BODY_MAX_BYTES);
	g_assert_true(bsh_memory_budget_grow(&budget, 0, BODY_MAX_BYTES));
	for (int i = 0; i < ORDINARY; i++)
		bsh_memory_budget_end(&budget, 64 * KB);
	for (uint32_t i = 0; i < taken; i++)
		bsh_memory_budget_end(&budget, BODY_MAX_BYTES);
	g_assert_true(is_empty(&budget));
}

/* As many small uploads as there may be connections, all of the largest small
 * size, on each machine.  Guards against a crowd of these that fills the bound,
 * since no small one is dropped for another. */
static void test_crowd_of_small(void)
{
	static const uint32_t memory_mb[] = { 120, 160, 400, 512 };

	for (size_t i = 0; i < G_N_ELEMENTS(memory_mb); i++) {
		uint32_t n =
			bsh_memory_connections(memory_mb[i], 0, CONNECTIONS);
		bsh_memory_budget_t budget;

		bsh_memory_budget_init(&budget, memory_mb[i]);
		for (uint32_t j = 0; j < n; j++)
			g_assert_true(bsh_memory_budget_grow(
				&budget, 0, BSH_MEMORY_LARGE_BYTES));
		for (uint32_t j = 0; j < n; j++)
			bsh_memory_budget_end(&budget, BSH_MEMORY_LARGE_BYTES);
		g_assert_true(is_empty(&budget));
	}
}

/* Bodies without a declared length, of which each grows in steps that double.
 * Guards against a reservation that a refused growth changes, and against a sum
 * above the bound. */
static void test_growth(void)
{
	uint64_t sizes[CROWD] = { 0 };
	bsh_memory_budget_t budget;
	uint32_t refused = 0;
	uint32_t whole = 0;

	bsh_memory_budget_init(&budget, SMALLEST_MB);
	for (uint64_t to = STEP_BYTES; to <= BODY_MAX_BYTES; to *= 2) {
		for (int i = 0; i < CROWD; i++) {
			uint64_t before = bsh_memory_budget_held(&budget);

			/* A body that found no room is not received further. */
			if (sizes[i] != to / 2 && to > STEP_BYTES)
				continue;
			if (bsh_memory_budget_grow(&budget, sizes[i], to)) {
				sizes[i] = to;
				continue;
			}
			refused++;
			g_assert_cmpuint(bsh_memory_budget_held(&budget), ==,
					 before);
		}
		g_assert_cmpuint(bsh_memory_budget_held(&budget), <=,
				 budget.bound);
	}
	g_assert_cmpuint(refused, >, 0);
	for (int i = 0; i < CROWD; i++) {
		whole += sizes[i] == BODY_MAX_BYTES;
		if (sizes[i] > 0)
			bsh_memory_budget_end(&budget, sizes[i]);
	}
	g_test_message("refused=%u whole=%u", refused, whole);
	g_assert_true(is_empty(&budget));
	/* After the crowd, one grows to the end. */
	for (uint64_t to = STEP_BYTES; to <= BODY_MAX_BYTES; to *= 2)
		g_assert_true(bsh_memory_budget_grow(
			&budget, to == STEP_BYTES ? 0 : to / 2, to));
	bsh_memory_budget_end(&budget, BODY_MAX_BYTES);
	g_assert_true(is_empty(&budget));
}

/* Guards against a legal request that is refused although nothing else is there, on
 * the smallest machine beside ordinary requests, and on one whose bound is below
 * the size. */
static void test_single_upload(void)
{
	bsh_memory_budget_t budget;

	bsh_memory_budget_init(&budget, SMALLEST_MB);
	g_assert_true(bsh_memory_budget_grow(&budget, 0, BODY_MAX_BYTES));
	bsh_memory_budget_end(&budget, BODY_MAX_BYTES);
	for (int i = 0; i < ORDINARY; i++) {
		g_assert_true(bsh_memory_budget_grow(&budget, 0, 16 * KB));
		bsh_memory_budget_end(&budget, 16 * KB);
		bsh_memory_budget_add(&budget, BSH_MEMORY_REQUESTS, 16 * KB);
		bsh_memory_budget_add(&budget, BSH_MEMORY_RESPONSES, 16 * KB);
	}
	g_assert_true(bsh_memory_budget_grow(&budget, 0, BODY_MAX_BYTES));
	bsh_memory_budget_end(&budget, BODY_MAX_BYTES);
	for (int i = 0; i < ORDINARY; i++) {
		bsh_memory_budget_release(&budget, BSH_MEMORY_REQUESTS,
					  16 * KB);
		bsh_memory_budget_release(&budget, BSH_MEMORY_RESPONSES,
					  16 * KB);
	}
	g_assert_true(is_empty(&budget));

	bsh_memory_budget_init(&budget, 20);
	g_assert_cmpuint(budget.bound, <, BODY_MAX_BYTES);
	g_assert_true(bsh_memory_budget_grow(&budget, 0, BODY_MAX_BYTES));
	g_assert_false(bsh_memory_budget_grow(&budget, 0, BODY_MAX_BYTES));
	bsh_memory_budget_end(&budget, BODY_MAX_BYTES);
	g_assert_true(bsh_memory_budget_grow(&budget, 0, 2 * MB));
	g_assert_true(bsh_memory_budget_grow(&budget, 2 * MB, BODY_MAX_BYTES));
	bsh_memory_budget_end(&budget, BODY_MAX_BYTES);
	g_assert_true(is_empty(&budget));
}

/* Guards against more connections than the memory or the descriptors of a machine
 * bear, and against fewer than its ordinary callers need. */
static void test_connections(void)
{
	static const struct {
		uint32_t memory_mb;
		uint32_t descriptors;
	} machines[] = {
		{ 120, 3075 }, { 160, 4100 }, { 400, 10250 }, { 512, 8192 }
	};

	for (size_t i = 0; i < G_N_ELEMENTS(machines); i++) {
		uint32_t n = bsh_memory_connections(machines[i].memory_mb,
						    machines[i].descriptors,
						    CONNECTIONS);
		bsh_memory_budget_t budget;

		bsh_memory_budget_init(&budget, machines[i].memory_mb);
		g_test_message("memory_mb=%u descriptors=%u connections=%u "
			       "bound=%.1f MB",
			       machines[i].memory_mb, machines[i].descriptors,
			       n, (double)budget.bound / (double)MB);
		g_assert_cmpuint(n, >=, 2 * ORDINARY);
		g_assert_cmpuint(n, <=, CONNECTIONS);
		/* All heads and the whole budget, and the process itself. */
		g_assert_cmpuint(n * (uint64_t)BSH_MEMORY_HEAD_BYTES +
					 budget.bound + BSH_MEMORY_BASE_BYTES,
				 <=, machines[i].memory_mb * MB);
		/* As many are left for targets, instances and the store. */
		g_assert_cmpuint(2 * n + BSH_MEMORY_FILES, <=,
				 machines[i].descriptors);
	}
	/* Either bound alone; none at all; a machine that is too small. */
	g_assert_cmpuint(bsh_memory_connections(0, 3075, CONNECTIONS), ==,
			 1437);
	g_assert_cmpuint(bsh_memory_connections(0, 300, CONNECTIONS), ==, 50);
	g_assert_cmpuint(bsh_memory_connections(0, 8192, CONNECTIONS), ==,
			 CONNECTIONS);
	g_assert_cmpuint(bsh_memory_connections(120, 0, CONNECTIONS), <,
			 bsh_memory_connections(160, 0, CONNECTIONS));
	g_assert_cmpuint(bsh_memory_connections(0, 0, CONNECTIONS), ==,
			 CONNECTIONS);
	g_assert_cmpuint(bsh_memory_connections(10, 100, CONNECTIONS), ==,
			 BSH_MEMORY_CALLERS_MIN);
}

/* Guards against producers that do not learn that memory is short, or do not go on
 * afterwards, and against freed memory that stays with the process. */
static void test_short(void)
{
	bsh_memory_budget_t budget;

	bsh_memory_budget_init(&budget, SMALLEST_MB);
	g_assert_false(bsh_memory_budget_is_short(&budget));
	g_assert_false(bsh_memory_budget_wants_trim(&budget));
	bsh_memory_budget_add(&budget, BSH_MEMORY_RESPONSES, budget.bound);
	g_assert_true(bsh_memory_budget_is_short(&budget));
	g_assert_false(bsh_memory_budget_grow(&budget, 0, KB));
	/* What runs goes on: it is added beyond the bound, too. */
	bsh_memory_budget_add(&budget, BSH_MEMORY_RESPONSES, MB);
	g_assert_false(bsh_memory_budget_wants_trim(&budget));
	bsh_memory_budget_release(&budget, BSH_MEMORY_RESPONSES,
				  budget.bound + MB);
	g_assert_false(bsh_memory_budget_is_short(&budget));
	g_assert_true(bsh_memory_budget_wants_trim(&budget));
	g_assert_false(bsh_memory_budget_wants_trim(&budget));
	g_assert_true(is_empty(&budget));
}

/* Guards against a deployment that names no memory and has its callers refused. */
static void test_no_bound(void)
{
	bsh_memory_budget_t budget;

	bsh_memory_budget_init(&budget, 0);
	for (int i = 0; i < CROWD; i++)
		g_assert_true(
			bsh_memory_budget_grow(&budget, 0, BODY_MAX_BYTES));
	g_assert_false(bsh_memory_budget_is_short(&budget));
	for (int i = 0; i < CROWD; i++)
		bsh_memory_budget_end(&budget, BODY_MAX_BYTES);
	g_assert_false(bsh_memory_budget_wants_trim(&budget));
	g_assert_true(is_empty(&budget));
}

/* Uploads that begin, grow and end in random order, beside what runs.  Guards
 * against sums that drift: what is lost from them is never given out again. */
static void test_sums(void)
{
	uint64_t sizes[64] = { 0 };
	uint64_t running[64] = { 0 };
	bsh_memory_budget_t budget;
	bsh_rng_t rng;

	bsh_rng_init(&rng, 1);
	bsh_memory_budget_init(&budget, SMALLEST_MB);
	for (int i = 0; i < 200000; i++) {
		uint32_t j = bsh_rng_below(&rng, G_N_ELEMENTS(sizes));
		uint64_t to = sizes[j] + 1 +
			      bsh_rng_below(&rng, (uint32_t)(200 * KB));

		if (bsh_rng_below(&rng, 8) > 0) {
			if (bsh_memory_budget_grow(&budget, sizes[j], to))
				sizes[j] = to;
			continue;
		}
		/* The body is whole, and the request that had it is over. */
		bsh_memory_budget_end(&budget, sizes[j]);
		bsh_memory_budget_release(&budget, BSH_MEMORY_REQUESTS,
					  running[j]);
		running[j] = sizes[j];
		sizes[j] = 0;
		bsh_memory_budget_add(&budget, BSH_MEMORY_REQUESTS, running[j]);
	}
	for (size_t j = 0; j < G_N_ELEMENTS(sizes); j++) {
		bsh_memory_budget_end(&budget, sizes[j]);
		bsh_memory_budget_release(&budget, BSH_MEMORY_REQUESTS,
					  running[j]);
	}
	for (int kind = 0; kind < BSH_MEMORY_KINDS; kind++)
		g_assert_cmpuint(budget.held[kind], ==, 0);
	g_assert_true(is_empty(&budget));
	bsh_rng_finish(&rng);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/memory-budget/crowd-of-large", test_crowd_of_large);
	g_test_add_func("/memory-budget/crowd-of-small", test_crowd_of_small);
	g_test_add_func("/memory-budget/growth", test_growth);
	g_test_add_func("/memory-budget/single-upload", test_single_upload);
	g_test_add_func("/memory-budget/connections", test_connections);
	g_test_add_func("/memory-budget/short", test_short);
	g_test_add_func("/memory-budget/no-bound", test_no_bound);
	g_test_add_func("/memory-budget/sums", test_sums);
	return g_test_run();
}
