#include "coordination/voters.h"

#include <string.h>
#include <xxhash.h>

#include "coordination/rendezvous.h"

static uint64_t score(const char *name)
{
	return bsh_rendezvous_score(0, XXH64(name, strlen(name), 0));
}

bool bsh_voters_contain(const bsh_voters_t *voters, const char *name)
{
	for (uint32_t i = 0; i < voters->n; i++)
		if (strcmp(voters->names[i], name) == 0)
			return true;
	return false;
}

static uint32_t find_lowest_score(const bsh_voters_t *voters)
{
	uint32_t lowest = 0;

	for (uint32_t i = 1; i < voters->n; i++)
		if (score(voters->names[i]) < score(voters->names[lowest]))
			lowest = i;
	return lowest;
}

void bsh_voters_add(bsh_voters_t *voters, const char *name)
{
	uint32_t at = voters->n;

	if (name[0] == '\0' || strlen(name) >= BSH_NAME_SIZE ||
	    bsh_voters_contain(voters, name))
		return;
	if (at == BSH_VOTERS_MAX) {
		at = find_lowest_score(voters);
		if (score(name) < score(voters->names[at]))
			return;
	} else {
		voters->n++;
	}
	g_strlcpy(voters->names[at], name, BSH_NAME_SIZE);
}

bool bsh_voters_equal(const bsh_voters_t *a, const bsh_voters_t *b)
{
	if (a->n != b->n)
		return false;
	for (uint32_t i = 0; i < a->n; i++)
		if (!bsh_voters_contain(b, a->names[i]))
			return false;
	return true;
}

void bsh_candidates_init(bsh_candidates_t *candidates)
{
	candidates->known_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void bsh_candidates_finish(bsh_candidates_t *candidates)
{
	g_hash_table_destroy(candidates->known_us);
}

void bsh_candidates_add(bsh_candidates_t *candidates, const char *name,
			int64_t now_us)
{
	int64_t *known_us = g_hash_table_lookup(candidates->known_us, name);

	if (known_us == NULL) {
		known_us = g_new0(int64_t, 1);
		g_hash_table_insert(candidates->known_us, g_strdup(name),
				    known_us);
	}
	*known_us = now_us;
}

void bsh_candidates_choose(bsh_candidates_t *candidates, int64_t now_us,
			   bsh_voters_t *voters)
{
	GHashTableIter iter;
	void *name;
	void *known_us;

	memset(voters, 0, sizeof(*voters));
	g_hash_table_iter_init(&iter, candidates->known_us);
	while (g_hash_table_iter_next(&iter, &name, &known_us)) {
		if (now_us - *(const int64_t *)known_us >=
		    BSH_CANDIDATE_KEEP_US)
			g_hash_table_iter_remove(&iter);
		else
			bsh_voters_add(voters, name);
	}
}
