#include "coordination/relay_choice.h"

#include <string.h>
#include <xxhash.h>

#include "coordination/rendezvous.h"

static bool is_better(const bsh_relay_peer_t *a, const bsh_relay_peer_t *b)
{
	if (a->same_zone != b->same_zone)
		return a->same_zone;
	return a->score > b->score;
}

void bsh_relay_peers_add(GArray *peers, const bsh_member_t *member, bool cut,
			 const char *own_name, const char *own_zone)
{
	uint64_t own_hash = XXH64(own_name, strlen(own_name), 0);
	bsh_relay_peer_t peer = {
		.hash = member->rank,
		.score = bsh_rendezvous_score(own_hash, member->rank),
		.same_zone = strcmp(member->place.zone, own_zone) == 0,
	};
	guint at;

	if (cut || member->leaving || !member->has_place ||
	    member->state != BSH_MEMBER_ALIVE ||
	    strcmp(member->name, own_name) == 0)
		return;
	g_strlcpy(peer.name, member->name, sizeof(peer.name));
	g_strlcpy(peer.address, member->place.entry, sizeof(peer.address));
	for (at = peers->len; at > 0; at--)
		if (!is_better(&peer,
			       &g_array_index(peers, bsh_relay_peer_t, at - 1)))
			break;
	if (at == BSH_RELAY_PEERS_MAX)
		return;
	g_array_insert_val(peers, at, peer);
	if (peers->len > BSH_RELAY_PEERS_MAX)
		g_array_set_size(peers, BSH_RELAY_PEERS_MAX);
}

/* The candidate with this number among those of the zone that are usable. */
static int32_t nth_usable(const bsh_relay_candidate_t *candidates, uint32_t n,
			  bool same_zone, uint64_t number)
{
	for (uint32_t i = 0; i < n; i++) {
		if (!candidates[i].usable ||
		    candidates[i].same_zone != same_zone)
			continue;
		if (number == 0)
			return (int32_t)i;
		number--;
	}
	return -1;
}

static uint32_t count_usable(const bsh_relay_candidate_t *candidates,
			     uint32_t n, bool same_zone)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < n; i++)
		count += candidates[i].usable &&
			 candidates[i].same_zone == same_zone;
	return count;
}

int32_t bsh_relay_choose(const bsh_relay_candidate_t *candidates, uint32_t n,
			 uint64_t random)
{
	bool same_zone = count_usable(candidates, n, true) > 0;
	uint32_t usable = count_usable(candidates, n, same_zone);
	uint64_t first_number;
	int32_t first;
	int32_t second;

	if (usable == 0)
		return -1;
	first_number = (random & UINT32_MAX) % usable;
	first = nth_usable(candidates, n, same_zone, first_number);
	if (usable == 1)
		return first;
	second = nth_usable(candidates, n, same_zone,
			    (first_number + 1 + (random >> 32) % (usable - 1)) %
				    usable);
	return candidates[second].open < candidates[first].open ? second
								: first;
}
