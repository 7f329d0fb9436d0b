#include "coordination/memory_budget.h"

#include <glib.h>
#include <string.h>

#define BYTES_PER_MB (UINT64_C(1) << 20)

static uint64_t for_callers(uint32_t memory_mb)
{
	uint64_t memory = memory_mb * BYTES_PER_MB;

	if (memory <= BSH_MEMORY_BASE_BYTES)
		return BYTES_PER_MB;
	return MAX((uint64_t)((double)(memory - BSH_MEMORY_BASE_BYTES) *
			      BSH_MEMORY_PART),
		   BYTES_PER_MB);
}

void bsh_memory_budget_init(bsh_memory_budget_t *budget, uint32_t memory_mb)
{
	memset(budget, 0, sizeof(*budget));
	if (memory_mb > 0)
		budget->bound = (uint64_t)((double)for_callers(memory_mb) *
					   (1 - BSH_MEMORY_HEADS_PART));
}

uint64_t bsh_memory_budget_held(const bsh_memory_budget_t *budget)
{
	uint64_t sum = 0;

	for (int i = 0; i < BSH_MEMORY_KINDS; i++)
		sum += budget->held[i];
	return sum;
}

static uint64_t large_part(uint64_t size)
{
	return size > BSH_MEMORY_LARGE_BYTES ? size : 0;
}

bool bsh_memory_budget_grow(bsh_memory_budget_t *budget, uint64_t from,
			    uint64_t to)
{
	uint64_t held = bsh_memory_budget_held(budget) - from + to;
	uint64_t large = budget->large - large_part(from) + large_part(to);

	/* The one upload that is there may be as large as is legal. */
	if (budget->bound > 0 && to > from && held > to &&
	    (held > budget->bound ||
	     (large_part(to) > 0 &&
	      (double)large > (double)budget->bound * BSH_MEMORY_LARGE_PART)))
		return false;
	budget->held[BSH_MEMORY_UPLOADS] += to - from;
	budget->large = large;
	return true;
}

void bsh_memory_budget_end(bsh_memory_budget_t *budget, uint64_t size)
{
	budget->large -= large_part(size);
	bsh_memory_budget_release(budget, BSH_MEMORY_UPLOADS, size);
}

void bsh_memory_budget_add(bsh_memory_budget_t *budget, bsh_memory_kind_t kind,
			   uint64_t bytes)
{
	budget->held[kind] += bytes;
}

void bsh_memory_budget_release(bsh_memory_budget_t *budget,
			       bsh_memory_kind_t kind, uint64_t bytes)
{
	budget->held[kind] -= bytes;
	budget->freed += bytes;
}

bool bsh_memory_budget_is_short(const bsh_memory_budget_t *budget)
{
	return budget->bound > 0 &&
	       (double)bsh_memory_budget_held(budget) >
		       (double)budget->bound * BSH_MEMORY_SHORT_PART;
}

bool bsh_memory_budget_wants_trim(bsh_memory_budget_t *budget)
{
	if (budget->bound == 0 || budget->freed < BSH_MEMORY_TRIM_BYTES)
		return false;
	budget->freed = 0;
	return true;
}

uint32_t bsh_memory_connections(uint32_t memory_mb, uint32_t descriptors,
				uint32_t most)
{
	uint64_t limit = most;
	uint64_t sockets = descriptors > BSH_MEMORY_FILES
				   ? descriptors - BSH_MEMORY_FILES
				   : 0;

	if (descriptors > 0)
		limit = MIN(limit, (uint64_t)((double)sockets *
					      BSH_MEMORY_CALLERS_PART));
	if (memory_mb > 0)
		limit = MIN(limit, (uint64_t)((double)for_callers(memory_mb) *
					      BSH_MEMORY_HEADS_PART /
					      BSH_MEMORY_HEAD_BYTES));
	return (uint32_t)MAX(limit, BSH_MEMORY_CALLERS_MIN);
}
