#ifndef SUPPORT_RELAY_H
#define SUPPORT_RELAY_H

/*
 * NAME
 *	relay - loopback TCP proxy with fault injection
 *
 * DESCRIPTION
 *	Forwards each connection to a server port and can delay its data, hold
 *	it back or reset the connection.  A mode applies to the open
 *	connections and to those accepted while it is set; data that it held
 *	back is forwarded under the next mode.  RELAY_STALLS_OPEN applies to
 *	the open connections only, until they are closed.
 *
 *	Not thread-safe: runs in the given loop, which must outlive the relay.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "transport/loop.h"

typedef enum {
	RELAY_PASSES,	     /* forwards all data */
	RELAY_DELAYS,	     /* forwards data after RELAY_DELAY_MS */
	RELAY_HOLDS_ALL,     /* forwards nothing */
	RELAY_HOLDS_ANSWERS, /* forwards only the data of clients */
	RELAY_STALLS_OPEN,   /* stalls open connections, forwards new ones */
	RELAY_MODES	     /* number of modes */
} relay_mode_t;

#define RELAY_DELAY_MS 150

typedef struct {
	bsh_loop_t *loop;
	int port_owner; /* bound, does not listen */
	int listener;
	bsh_loop_watch_t *watch;
	uint16_t to_port; /* of the server, on 127.0.0.1 */
	uint16_t port;	  /* listening */
	char address[32]; /* listening address, "host:port" */
	relay_mode_t mode;
	GPtrArray *links; /* open connections */
	int fillers[4];	  /* connections that fill the queue of the listener */
	bool hanging;
} relay_t;

/* relay_init - listen on a free loopback port and forward to
 * 127.0.0.1:to_port. */
void relay_init(relay_t *relay, bsh_loop_t *loop, uint16_t to_port);
/* relay_finish - reset all connections and stop listening. */
void relay_finish(relay_t *relay);
/* relay_set_mode - set the fault mode and forward data that it releases. */
void relay_set_mode(relay_t *relay, relay_mode_t mode);
/* relay_set_refusing - true: reset all connections and refuse new ones; false:
 * accept them again at the same address. */
void relay_set_refusing(relay_t *relay, bool refusing);
/* relay_set_hanging - true: the open connections are silent and new ones are not
 * established; false: they go on. */
void relay_set_hanging(relay_t *relay, bool hanging);
/* relay_reset_all - close all connections with TCP RST. */
void relay_reset_all(relay_t *relay);

#endif
