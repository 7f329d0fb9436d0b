#include "coordination/quorum.h"

void bsh_promise_init(bsh_promise_t *promise, int64_t now_us)
{
	promise->term = 0;
	promise->until_us = now_us + BSH_QUORUM_PROMISE_US;
}

bool bsh_promise_give(bsh_promise_t *promise, uint64_t term,
		      int64_t received_us, int64_t now_us)
{
	int64_t until_us = received_us + BSH_QUORUM_PROMISE_US;

	if (term < promise->term || now_us >= until_us)
		return false;
	if (term > promise->term && now_us < promise->until_us)
		return false;
	promise->term = term;
	promise->until_us = MAX(promise->until_us, until_us);
	return true;
}

void bsh_promise_end(bsh_promise_t *promise, uint64_t term, int64_t now_us)
{
	if (promise->term == term)
		promise->until_us = MIN(promise->until_us, now_us);
}

void bsh_quorum_init(bsh_quorum_t *quorum)
{
	quorum->echoes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void bsh_quorum_finish(bsh_quorum_t *quorum)
{
	g_hash_table_destroy(quorum->echoes);
}

void bsh_quorum_begin(bsh_quorum_t *quorum)
{
	g_hash_table_remove_all(quorum->echoes);
}

void bsh_quorum_add(bsh_quorum_t *quorum, const char *instance, int64_t echo_us)
{
	int64_t *newest_us = g_hash_table_lookup(quorum->echoes, instance);

	if (newest_us == NULL) {
		newest_us = g_new0(int64_t, 1);
		g_hash_table_insert(quorum->echoes, g_strdup(instance),
				    newest_us);
	}
	*newest_us = MAX(*newest_us, echo_us);
}

static gint newest_first(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x > y ? -1 : x < y;
}

static int64_t majority_until(const bsh_quorum_t *quorum,
			      const bsh_voters_t *voters)
{
	uint32_t majority = voters->n / 2 + 1;
	g_autoptr(GArray) echoes = g_array_new(FALSE, FALSE, sizeof(int64_t));

	for (uint32_t i = 0; i < voters->n; i++) {
		const int64_t *echo_us =
			g_hash_table_lookup(quorum->echoes, voters->names[i]);

		if (echo_us != NULL)
			g_array_append_val(echoes, *echo_us);
	}
	if (echoes->len < majority)
		return 0;
	g_array_sort(echoes, newest_first);
	return g_array_index(echoes, int64_t, majority - 1) +
	       BSH_QUORUM_PROMISE_US;
}

int64_t bsh_quorum_support_until(const bsh_quorum_t *quorum,
				 const bsh_voters_t *voters,
				 const bsh_voters_t *former_voters)
{
	int64_t until_us = majority_until(quorum, voters);

	if (former_voters->n > 0)
		until_us = MIN(until_us, majority_until(quorum, former_voters));
	return until_us;
}
