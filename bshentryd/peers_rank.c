/* Choice of instances by rendezvous hashing of their names. */
#include "control.h"

#include <string.h>
#include <xxhash.h>

#include "coordination/member.h"
#include "coordination/rendezvous.h"

static uint64_t name_score(uint64_t key, const char *name)
{
	return bsh_rendezvous_score(key, XXH64(name, strlen(name), 0));
}

typedef struct {
	const char *self;
	uint64_t stream;
	uint32_t n;
	uint64_t scores[PEERS_KEEPERS]; /* the highest first */
	const bsh_member_t *members[PEERS_KEEPERS];
} keepers_t;

static void rank_keeper(void *ctx, const bsh_member_t *member)
{
	keepers_t *keepers = ctx;
	uint64_t score;
	uint32_t at;

	if (strcmp(member->name, keepers->self) == 0 || !member->has_place ||
	    member->state != BSH_MEMBER_ALIVE)
		return;
	score = name_score(keepers->stream, member->name);
	for (at = keepers->n; at > 0 && keepers->scores[at - 1] < score; at--)
		if (at < PEERS_KEEPERS) {
			keepers->scores[at] = keepers->scores[at - 1];
			keepers->members[at] = keepers->members[at - 1];
		}
	if (at == PEERS_KEEPERS)
		return;
	keepers->scores[at] = score;
	keepers->members[at] = member;
	keepers->n = MIN(keepers->n + 1, PEERS_KEEPERS);
}

uint64_t peers_process_key(const char *name, uint64_t incarnation)
{
	return XXH64(name, strlen(name), incarnation);
}

uint32_t peers_choose_keepers(const peers_t *peers, uint64_t stream,
			      peers_keeper_t keepers[PEERS_KEEPERS])
{
	keepers_t chosen = {
		.self = peers_self(peers),
		.stream = stream,
	};

	bsh_members_foreach(peers_members(peers), rank_keeper, &chosen);
	for (uint32_t i = 0; i < chosen.n; i++) {
		const bsh_member_t *member = chosen.members[i];

		g_strlcpy(keepers[i].name, member->name, BSH_NAME_SIZE);
		keepers[i].process =
			peers_process_key(member->name, member->incarnation);
	}
	return chosen.n;
}

typedef struct {
	const char *self;
	uint64_t key;
	uint64_t own_score;
	uint32_t before; /* others with a higher score */
	uint32_t n;
} rank_t;

static void rank_member(void *ctx, const bsh_member_t *member)
{
	rank_t *rank = ctx;

	if (strcmp(member->name, rank->self) == 0 ||
	    member->state != BSH_MEMBER_ALIVE)
		return;
	rank->n++;
	rank->before += name_score(rank->key, member->name) > rank->own_score;
}

uint32_t peers_rank(const peers_t *peers, uint64_t key, uint32_t *n)
{
	const char *self = peers_self(peers);
	rank_t rank = { .self = self,
			.key = key,
			.own_score = name_score(key, self),
			.n = 1 };

	bsh_members_foreach(peers_members(peers), rank_member, &rank);
	*n = rank.n;
	return rank.before;
}

typedef struct {
	uint64_t score;
	const char *name;
} scored_t;

typedef struct {
	uint64_t key;
	GArray *scored;
} scoring_t;

static void add_scored(void *ctx, const bsh_member_t *member)
{
	const scoring_t *scoring = ctx;
	scored_t entry = { name_score(scoring->key, member->name),
			   member->name };

	if (member->state == BSH_MEMBER_ALIVE)
		g_array_append_val(scoring->scored, entry);
}

static gint compare_scores(gconstpointer a, gconstpointer b)
{
	uint64_t left = ((const scored_t *)a)->score;
	uint64_t right = ((const scored_t *)b)->score;

	return left > right ? -1 : left < right;
}

const char *peers_at_rank(const peers_t *peers, uint64_t key, uint32_t at)
{
	g_autoptr(GArray) scored = g_array_new(FALSE, FALSE, sizeof(scored_t));
	scoring_t scoring = { key, scored };

	bsh_members_foreach(peers_members(peers), add_scored, &scoring);
	g_array_sort(scored, compare_scores);
	return at < scored->len ? g_array_index(scored, scored_t, at).name
				: NULL;
}

const char *peers_any(const peers_t *peers)
{
	uint32_t n;
	uint32_t own = peers_rank(peers, 0, &n);
	uint32_t at;

	if (n < 2)
		return NULL;
	at = (uint32_t)g_random_int_range(0, (gint32)n - 1);
	return peers_at_rank(peers, 0, at < own ? at : at + 1);
}

typedef struct {
	uint64_t key;
	GHashTable *left_out; /* names */
	uint64_t score;
	const char *name;
} first_t;

static void rank_first(first_t *first, const char *name)
{
	uint64_t score = name_score(first->key, name);

	if ((first->left_out != NULL &&
	     g_hash_table_contains(first->left_out, name)) ||
	    (first->name != NULL && score <= first->score))
		return;
	first->score = score;
	first->name = name;
}

static void rank_first_member(void *ctx, const bsh_member_t *member)
{
	if (member->state == BSH_MEMBER_ALIVE && !member->leaving &&
	    member->has_place)
		rank_first(ctx, member->name);
}

const char *peers_first(const peers_t *peers, uint64_t key,
			GHashTable *left_out)
{
	first_t first = { .key = key, .left_out = left_out };

	bsh_members_foreach(peers_members(peers), rank_first_member, &first);
	if (!peers_is_leaving(peers))
		rank_first(&first, peers_self(peers));
	return first.name;
}
