#include "state/target.h"

#include <string.h>
#include <xxhash.h>

uint64_t bsh_software_key(const char *service, const char *software)
{
	uint64_t seed = XXH64(service, strlen(service), 0);

	if (software[0] == '\0')
		return 0;
	return MAX(XXH64(software, strlen(software), seed), 1);
}

uint32_t bsh_target_key(const char *id)
{
	return (uint32_t)XXH64(id, strlen(id), 0);
}

bool bsh_holdings_has(const bsh_holdings_t *holdings, uint32_t model,
		      uint32_t adapter)
{
	for (uint32_t i = 0; i < holdings->n; i++)
		if (holdings->items[i].model == model &&
		    holdings->items[i].adapter == adapter)
			return true;
	return false;
}

bool bsh_holdings_add(bsh_holdings_t *holdings, uint32_t model,
		      uint32_t adapter)
{
	if (bsh_holdings_has(holdings, model, adapter))
		return true;
	if (holdings->n >= BSH_TARGET_HOLDINGS_MAX)
		return false;
	holdings->items[holdings->n].model = model;
	holdings->items[holdings->n].adapter = adapter;
	holdings->n++;
	return true;
}

void bsh_holdings_remove(bsh_holdings_t *holdings, uint32_t model,
			 uint32_t adapter)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < holdings->n; i++) {
		const bsh_holding_t *item = &holdings->items[i];

		if (item->model == model &&
		    (adapter == 0 || item->adapter == adapter))
			continue;
		holdings->items[kept++] = *item;
	}
	holdings->n = kept;
}

bool bsh_holdings_equal(const bsh_holdings_t *a, const bsh_holdings_t *b)
{
	if (a->n != b->n)
		return false;
	for (uint32_t i = 0; i < a->n; i++)
		if (!bsh_holdings_has(b, a->items[i].model,
				      a->items[i].adapter))
			return false;
	return true;
}

bool bsh_target_equal(const bsh_target_t *a, const bsh_target_t *b)
{
	return a->leaving == b->leaving && a->started_ms == b->started_ms &&
	       a->slots == b->slots && strcmp(a->address, b->address) == 0 &&
	       strcmp(a->service, b->service) == 0 &&
	       strcmp(a->software, b->software) == 0 &&
	       bsh_holdings_equal(&a->holdings, &b->holdings);
}

static bool contains(const uint32_t *list, uint32_t n, uint32_t model)
{
	for (uint32_t i = 0; i < n; i++)
		if (list[i] == model)
			return true;
	return false;
}

bool bsh_copies_in_memory(const bsh_copies_t *copies, uint32_t model)
{
	return contains(copies->memory, copies->n_memory, model);
}

bool bsh_copies_on_disk(const bsh_copies_t *copies, uint32_t model)
{
	return contains(copies->disk, copies->n_disk, model);
}

uint64_t bsh_process_key(const char *id, uint64_t started_ms)
{
	return MAX(XXH64(id, strlen(id), started_ms), 1);
}
