#include "coordination/document_fetch.h"

#include <string.h>

/* Time for one level of the tree to have received the document. */
#define LEVEL_DELAY_US INT64_C(40000)
/* After this long without a part the query is repeated. */
#define REPEAT_US INT64_C(80000)
/* Queries without progress until the next source is tried. */
#define TELLER_AFTER_TRIES 3U
#define ANY_AFTER_TRIES	   5U
#define STORE_AFTER_TRIES  21U
/* Between two queries to any instance.  Each goes to one at random, so it need not
 * wait for the last answer: while instances are parted, most that are asked cannot
 * answer or lack the version. */
#define ANY_INTERVAL_US INT64_C(20000)
/* Until the store is asked again, which has its own repetitions.  Meanwhile the
 * instances are asked: others may have read the version, and the store may not
 * answer this one. */
#define STORE_WAIT_US INT64_C(2000000)
/* A version that the store does not have is not fetched for this long. */
#define ABSENT_US INT64_C(10000000)

void bsh_document_fetch_init(bsh_document_fetch_t *fetch)
{
	memset(fetch, 0, sizeof(*fetch));
}

static void drop_parts(bsh_document_fetch_t *fetch)
{
	if (fetch->received != NULL)
		g_ptr_array_unref(fetch->received);
	fetch->received = NULL;
	fetch->version = 0;
	fetch->parts = 0;
}

void bsh_document_fetch_finish(bsh_document_fetch_t *fetch)
{
	drop_parts(fetch);
}

uint32_t bsh_document_parent(uint32_t rank)
{
	return rank < BSH_DOCUMENT_FANOUT ? UINT32_MAX
					  : rank / BSH_DOCUMENT_FANOUT - 1;
}

void bsh_document_fetch_want(bsh_document_fetch_t *fetch, uint64_t version,
			     uint32_t rank, int64_t now_us)
{
	int64_t delay_us = 0;

	if (version <= fetch->known || version <= fetch->wanted ||
	    (version == fetch->absent && now_us - fetch->absent_us < ABSENT_US))
		return;
	/* A fetch of an earlier version goes on with the next query. */
	if (fetch->wanted == 0) {
		for (rank = bsh_document_parent(rank); rank != UINT32_MAX;
		     rank = bsh_document_parent(rank))
			delay_us += LEVEL_DELAY_US;
		fetch->next_us = now_us + delay_us;
		fetch->tries = 0;
	}
	fetch->wanted = version;
	fetch->told_us = now_us;
	fetch->asked_store = false;
}

void bsh_document_fetch_confirmed(bsh_document_fetch_t *fetch, uint64_t version,
				  int64_t at_us)
{
	if (version == fetch->absent && at_us > fetch->absent_us)
		fetch->absent = 0;
}

void bsh_document_fetch_set_known(bsh_document_fetch_t *fetch, uint64_t version)
{
	fetch->known = MAX(fetch->known, version);
	if (fetch->wanted <= fetch->known)
		fetch->wanted = 0;
	if (fetch->version <= fetch->known)
		drop_parts(fetch);
}

void bsh_document_fetch_store_read(bsh_document_fetch_t *fetch,
				   int64_t began_us, int64_t now_us)
{
	/* A read that began earlier may have missed the version. */
	if (fetch->wanted == 0 || began_us <= fetch->told_us ||
	    !fetch->asked_store)
		return;
	fetch->absent = fetch->wanted;
	fetch->absent_us = now_us;
	fetch->wanted = 0;
	drop_parts(fetch);
}

uint32_t bsh_document_choose(const uint64_t *versions, uint32_t n,
			     uint64_t known, uint64_t partial)
{
	for (uint32_t i = 0; i < n; i++)
		if (versions[i] == partial && partial > known)
			return i;
	return n > 0 && versions[0] > known ? 0 : n;
}

static uint32_t first_missing(const bsh_document_fetch_t *fetch)
{
	uint32_t i = 0;

	while (i < fetch->parts &&
	       g_ptr_array_index(fetch->received, i) != NULL)
		i++;
	return i;
}

bsh_document_source_t bsh_document_fetch_next(bsh_document_fetch_t *fetch,
					      int64_t now_us, uint32_t *from)
{
	uint32_t tries = fetch->tries;

	*from = first_missing(fetch);
	if (fetch->wanted == 0 || now_us < fetch->next_us)
		return BSH_DOCUMENT_NOTHING;
	fetch->tries++;
	fetch->asked_until = *from + BSH_DOCUMENT_WINDOW;
	fetch->next_us = now_us + REPEAT_US;
	if (tries < TELLER_AFTER_TRIES)
		return BSH_DOCUMENT_PARENT;
	if (tries < ANY_AFTER_TRIES)
		return BSH_DOCUMENT_TELLER;
	fetch->next_us = now_us + ANY_INTERVAL_US;
	if (tries < STORE_AFTER_TRIES ||
	    (fetch->asked_store && now_us < fetch->store_again_us))
		return BSH_DOCUMENT_ANY;
	fetch->asked_store = true;
	fetch->store_again_us = now_us + STORE_WAIT_US;
	return BSH_DOCUMENT_STORE;
}

int64_t bsh_document_fetch_due_us(const bsh_document_fetch_t *fetch)
{
	return fetch->wanted > 0 ? fetch->next_us : INT64_MAX;
}

static GBytes *join_parts(const bsh_document_fetch_t *fetch)
{
	GByteArray *whole = g_byte_array_new();

	for (uint32_t i = 0; i < fetch->parts; i++) {
		gsize size;
		const void *data = g_bytes_get_data(
			g_ptr_array_index(fetch->received, i), &size);

		g_byte_array_append(whole, data, (guint)size);
	}
	return g_byte_array_free_to_bytes(whole);
}

static void free_part(void *part)
{
	if (part != NULL)
		g_bytes_unref(part);
}

GBytes *bsh_document_fetch_part(bsh_document_fetch_t *fetch, uint64_t version,
				uint32_t part, uint32_t parts, const void *data,
				size_t size_bytes, int64_t now_us)
{
	if (fetch->wanted == 0 || version <= fetch->known || part >= parts ||
	    version < fetch->version ||
	    (version == fetch->version && parts != fetch->parts))
		return NULL;
	if (version > fetch->version) {
		drop_parts(fetch);
		fetch->version = version;
		fetch->parts = parts;
		/* Its source answers from the first part on. */
		fetch->asked_until = BSH_DOCUMENT_WINDOW;
		fetch->received = g_ptr_array_new_full(parts, free_part);
		g_ptr_array_set_size(fetch->received, (gint)parts);
	}
	if (g_ptr_array_index(fetch->received, part) != NULL)
		return NULL;
	g_ptr_array_index(fetch->received, part) =
		g_bytes_new(data, size_bytes);
	fetch->tries = 0;
	fetch->next_us = now_us + REPEAT_US;
	if (first_missing(fetch) < fetch->parts) {
		/* The whole window has come: the next one is asked for. */
		if (first_missing(fetch) >= fetch->asked_until)
			fetch->next_us = now_us;
		return NULL;
	}
	/* A version that was told meanwhile is fetched at once. */
	fetch->next_us = now_us;
	return join_parts(fetch);
}

void bsh_document_fetch_refused(bsh_document_fetch_t *fetch, int64_t now_us)
{
	drop_parts(fetch);
	fetch->tries = MAX(fetch->tries, ANY_AFTER_TRIES);
	fetch->next_us = now_us + REPEAT_US;
}
