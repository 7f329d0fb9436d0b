#ifndef BSH_COORDINATION_GOSSIP_QUEUE_H
#define BSH_COORDINATION_GOSSIP_QUEUE_H

/*
 * NAME
 *	gossip_queue - queue of updates, each sent a bounded number of times
 *
 * DESCRIPTION
 *	Each item is embedded in the record that the update describes.  Items
 *	sent least often come first; an item sent `limit` times leaves the
 *	queue.  Adding, removing and counting a transmission take constant
 *	time.
 */

#include <glib.h>
#include <stdbool.h>

/* Upper bound of `limit`; member.c passes 18 for 10^7 members. */
#define BSH_GOSSIP_LEVELS 32

typedef struct {
	GList link; /* its data is the record */
	int level;  /* number of transmissions; -1: not queued */
} bsh_gossip_item_t;

typedef struct {
	GQueue levels[BSH_GOSSIP_LEVELS]; /* by number of transmissions */
	guint length;			  /* items in all levels */
} bsh_gossip_queue_t;

void bsh_gossip_queue_init(bsh_gossip_queue_t *queue);
void bsh_gossip_item_init(bsh_gossip_item_t *item, gpointer record);

/* bsh_gossip_queue_add - queue an item with its transmission count reset. */
void bsh_gossip_queue_add(bsh_gossip_queue_t *queue, bsh_gossip_item_t *item);
void bsh_gossip_queue_remove(bsh_gossip_queue_t *queue,
			     bsh_gossip_item_t *item);

/*
 * bsh_gossip_queue_peek - store the items sent least often, up to max, in out.
 * They stay queued and are not counted as sent.
 *
 * RETURN VALUE
 *	The number of items stored.
 */
guint bsh_gossip_queue_peek(const bsh_gossip_queue_t *queue,
			    bsh_gossip_item_t **out, guint max);

/* bsh_gossip_queue_mark_sent - count one transmission; dequeue at limit. */
void bsh_gossip_queue_mark_sent(bsh_gossip_queue_t *queue,
				bsh_gossip_item_t *item, int limit);

#endif
