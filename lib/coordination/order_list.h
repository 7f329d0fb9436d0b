#ifndef BSH_COORDINATION_ORDER_LIST_H
#define BSH_COORDINATION_ORDER_LIST_H

/*
 * NAME
 *	order_list - list of recent orders of a released lease, in parts
 *
 * DESCRIPTION
 *	The holder of the order lease that releases it lists the targets of
 *	its recent orders, so that its successor excludes only those
 *	(coordination/lease.h).  A long list is sent in several datagrams
 *	(bsh_msg_release_keys_t), any of which may be lost, repeated or
 *	delayed.  A list counts only once all its parts have been received.
 *
 *	The holder sends one list for each revision that it releases: entries
 *	must not move from one part to another between repeated sends.
 *
 *	Targets are named by bsh_target_key(): two targets with one key are
 *	both excluded.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Microseconds of a clock that continues while the machine is suspended.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"
#include "protocol/message.h"

/* Targets in one list. */
#define BSH_ORDER_LIST_MAX (BSH_RELEASE_KEYS_MAX * BSH_RELEASE_PARTS_MAX)

typedef struct {
	uint32_t key;	    /* bsh_target_key() */
	int64_t ordered_us; /* last order to the target, or later */
} bsh_order_time_t;

/* Memory of the blobs of one message. */
typedef struct {
	uint32_t keys[BSH_RELEASE_KEYS_MAX];
	uint16_t ages[BSH_RELEASE_KEYS_MAX];
} bsh_order_list_part_t;

/* A list that is being received. */
typedef struct {
	char sender[BSH_NAME_SIZE];
	uint64_t revision;
	uint32_t parts;
	uint32_t received; /* one bit for each part */
	GArray *orders;	   /* bsh_order_time_t */
} bsh_order_list_t;

/* bsh_order_list_parts - number of messages for a list of n targets, at least
 * 1; n is at most BSH_ORDER_LIST_MAX. */
uint32_t bsh_order_list_parts(uint32_t n);

/* bsh_order_list_encode - set part, parts, keys and ages of a message, of which
 * the blobs are in memory. */
void bsh_order_list_encode(const bsh_order_time_t *orders, uint32_t n,
			   uint32_t part, int64_t now_us,
			   bsh_order_list_part_t *memory,
			   bsh_msg_release_keys_t *message);

void bsh_order_list_init(bsh_order_list_t *list);
void bsh_order_list_finish(bsh_order_list_t *list);

/*
 * bsh_order_list_receive - add a received part; one of a later revision begins
 * a new list.  Malformed parts and those of earlier revisions are ignored.
 *
 * RETURN VALUE
 *	True if this part has completed list->orders.
 */
bool bsh_order_list_receive(bsh_order_list_t *list, const char *sender,
			    const bsh_msg_release_keys_t *message,
			    int64_t now_us);

#endif
