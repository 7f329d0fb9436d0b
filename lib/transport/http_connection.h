#ifndef BSH_TRANSPORT_HTTP_CONNECTION_H
#define BSH_TRANSPORT_HTTP_CONNECTION_H

/*
 * NAME
 *	http_connection - established connections of an HTTP client
 *
 * DESCRIPTION
 *	libcurl does not name the socket of a kept connection that it uses
 *	again, only the addresses of both ends.  The table finds the socket by
 *	them, from the time at which the connection is established to that at
 *	which its socket is closed.
 */

#include <glib.h>
#include <stdbool.h>

typedef struct {
	char *name; /* addresses of both ends */
	int fd;
	void *user; /* for the caller: the call that it carries, or NULL */
} bsh_http_connection_t;

typedef struct {
	GHashTable *by_name; /* owns the connections */
	GHashTable *by_fd;
} bsh_http_connections_t;

void bsh_http_connections_init(bsh_http_connections_t *table);
void bsh_http_connections_finish(bsh_http_connections_t *table);

/* bsh_http_connection_add - enter a new connection; there is none of this name. */
bsh_http_connection_t *bsh_http_connection_add(bsh_http_connections_t *table,
					       int fd, const char *name);

/* bsh_http_connection_find, bsh_http_connection_of - the connection of this name,
 * or with this socket; NULL: none. */
bsh_http_connection_t *
bsh_http_connection_find(const bsh_http_connections_t *table, const char *name);
bsh_http_connection_t *
bsh_http_connection_of(const bsh_http_connections_t *table, int fd);

/* bsh_http_connection_remove - remove and free the connection. */
void bsh_http_connection_remove(bsh_http_connections_t *table,
				bsh_http_connection_t *connection);

/* bsh_http_connection_has_input - bytes have arrived that were not read; false
 * for NULL. */
bool bsh_http_connection_has_input(const bsh_http_connection_t *connection);

/* bsh_http_connection_ended - the peer has closed without a reset, and its kernel
 * has received all that was sent.  A peer that closes with a part of it unread
 * resets the connection, but one to which more is on its way closes it first and
 * resets it then.  True where the system does not tell. */
bool bsh_http_connection_ended(const bsh_http_connection_t *connection);

#endif
