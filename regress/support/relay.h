#ifndef SUPPORT_RELAY_H
#define SUPPORT_RELAY_H

/*
 * NAME
 *	relay - a loopback TCP proxy that harms connections on purpose
 *
 * DESCRIPTION
 *	Runs in the calling thread's loop.  Faults concern the connections
 *	that are open and those that are made while they are set.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "transport/loop.h"

typedef enum {
	RELAY_PASSES,
	RELAY_DELAYS,	     /* each piece by RELAY_DELAY_MS */
	RELAY_HOLDS_ALL,     /* takes everything and passes nothing on */
	RELAY_HOLDS_ANSWERS, /* passes requests on and keeps answers back */
	RELAY_STALLS_OPEN,   /* old connections are silent, new ones pass */
	RELAY_MODES
} relay_mode_t;

#define RELAY_DELAY_MS 150

typedef struct {
	bsh_loop_t *loop;
	int listener;
	bsh_loop_watch_t *watch;
	uint16_t to_port;
	char address[32]; /* where the relay listens */
	relay_mode_t mode;
	GPtrArray *links;
} relay_t;

/* relay_init - pass on to 127.0.0.1:to_port. */
void relay_init(relay_t *relay, bsh_loop_t *loop, uint16_t to_port);
void relay_finish(relay_t *relay);
void relay_set_mode(relay_t *relay, relay_mode_t mode);
/* relay_reset_all - reset all connections. */
void relay_reset_all(relay_t *relay);

#endif
