#ifndef REVIEW_LINK_H
#define REVIEW_LINK_H

/*
 * NAME
 *	link - the network between one instance, the others and the store
 *
 * DESCRIPTION
 *	A proxy on loopback.  The other instances know the instance by an
 *	address of the proxy, it knows them by others, and it calls the store
 *	through the proxy, which replaces the addresses in what passes and
 *	renews the seal of datagrams with the key of the deployment.  Nothing
 *	else is changed.  While the link is cut, datagrams are lost, and
 *	connections to the store hang or are reset.  Callers and workers reach the instance
 *	as before, and so does an instance on the same side of the cut.
 */

#include "stand.h"
#include "transport/udp.h"

#define LINK_OTHERS_MAX	  6
#define LINK_ADDRESS_SIZE 32

typedef struct link link_t;

/* An address and the one in its place; both are of one length. */
typedef struct {
	link_t *link;
	char real[LINK_ADDRESS_SIZE];
	char proxy[LINK_ADDRESS_SIZE];
	bsh_udp_t *udp; /* at the proxy's address */
	bool kept;	/* on the same side of the cut */
} link_end_t;

struct link {
	stand_t *stand;
	uint8_t key[32];
	link_end_t self;
	link_end_t others[LINK_OTHERS_MAX];
	uint32_t n_others;
	int listener; /* for connections to the store */
	bsh_loop_watch_t *watch;
	char store[LINK_ADDRESS_SIZE]; /* its address */
	GPtrArray *pipes;	       /* open connections to the store */
	bool cut;
	bool resets;   /* a cut resets connections to the store */
	char kept[32]; /* instance on the same side of the cut, or "" */
	const link_t *kept_link; /* its link */
	uint32_t passed;	 /* datagrams */
	uint32_t dropped;
};

/* link_add_instance - start an instance behind a link to all others, which have
 * been started before. */
rig_entry_t *link_add_instance(link_t *link, stand_t *stand);
void link_set_cut(link_t *link, bool cut);
/* link_keep - this instance, which is behind a link as well, is on the same side
 * of the cut.  The others know it by the address of its proxy alone. */
void link_keep(link_t *link, const char *name, const link_t *its_link);
void link_finish(link_t *link);

#endif
