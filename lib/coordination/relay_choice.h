#ifndef BSH_COORDINATION_RELAY_CHOICE_H
#define BSH_COORDINATION_RELAY_CHOICE_H

/*
 * NAME
 *	relay_choice - instances to which one that reaches no target passes
 *	requests
 *
 * DESCRIPTION
 *	The control thread lists some peers: members that are alive, do not
 *	leave and have not said that they reach no target.  Those of the own
 *	availability zone come first.  Which ones are listed differs between
 *	instances, so that many that are cut off together do not all choose
 *	the same peers.
 *
 *	The traffic thread chooses one of them for each request: of two drawn
 *	from the nearest usable ones, the one with fewer requests from here.
 *
 *	Pure: no I/O and no clock.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/member.h"

#define BSH_RELAY_PEERS_MAX 16U

typedef struct {
	char name[BSH_NAME_SIZE];
	char address[BSH_ADDRESS_SIZE]; /* IP:port that callers connect to */
	uint64_t hash;			/* of the name */
	uint64_t score;			/* for this instance */
	bool same_zone;
} bsh_relay_peer_t;

/* bsh_relay_peers_add - add a member, cut: that reaches no target, to an array of
 * bsh_relay_peer_t if it qualifies and is one of the best BSH_RELAY_PEERS_MAX. */
void bsh_relay_peers_add(GArray *peers, const bsh_member_t *member, bool cut,
			 const char *own_name, const char *own_zone);

/* What the traffic thread knows of a peer. */
typedef struct {
	uint32_t open; /* requests from here */
	bool same_zone;
	bool usable; /* not tried for this request, and not paused */
} bsh_relay_candidate_t;

/* bsh_relay_choose - index of the peer, or -1: none is usable. */
int32_t bsh_relay_choose(const bsh_relay_candidate_t *candidates, uint32_t n,
			 uint64_t random);

#endif
