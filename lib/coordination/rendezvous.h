#ifndef BSH_COORDINATION_RENDEZVOUS_H
#define BSH_COORDINATION_RENDEZVOUS_H

/*
 * NAME
 *	rendezvous - score of a pair of hashes for rendezvous hashing
 *
 * DESCRIPTION
 *	Of several candidates the one with the highest score is preferred for
 *	a key.  A candidate that joins or leaves changes the choice only for
 *	the keys that prefer it.
 */

#include <stdint.h>

static inline uint64_t bsh_rendezvous_score(uint64_t key, uint64_t candidate)
{
	uint64_t x = key ^ (candidate * UINT64_C(0x9e3779b97f4a7c15));

	x ^= x >> 33;
	x *= UINT64_C(0xff51afd7ed558ccd);
	x ^= x >> 33;
	return x;
}

#endif
