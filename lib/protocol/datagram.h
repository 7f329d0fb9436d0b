#ifndef BSH_PROTOCOL_DATAGRAM_H
#define BSH_PROTOCOL_DATAGRAM_H

/*
 * NAME
 *	datagram - sealed messages between instances over UDP
 *
 * DESCRIPTION
 *	Each datagram carries one message (protocol/message.h) under a seal
 *	(protocol/auth.h).  Repeated, replayed and forged datagrams are
 *	dropped and counted.
 */

#include <glib.h>

#include "protocol/auth.h"
#include "protocol/message.h"
#include "transport/udp.h"

/* What is left of a datagram for the message behind the seal. */
#define BSH_DATAGRAM_MESSAGE_MAX_BYTES (BSH_UDP_MAX_BYTES - BSH_SEAL_SIZE_BYTES)

typedef void (*bsh_datagram_fn_t)(void *ctx, const bsh_message_t *message);

typedef struct {
	const uint8_t *key;
	const char *sender;
	uint64_t incarnation;
	uint64_t sequence; /* of the last datagram sent */
	bsh_udp_t *udp;
	GHashTable *windows; /* sender to bsh_replay_window_t */
	bsh_datagram_fn_t on_message;
	void *ctx;
} bsh_datagram_socket_t;

/*
 * bsh_datagram_socket_init - bind address and receive.  key and sender must outlive
 * the result.
 *
 * RETURN VALUE
 *	BSH_OK, or BSH_ERR_SYSTEM when the address cannot be bound.
 */
bsh_error_t bsh_datagram_socket_init(bsh_datagram_socket_t *datagrams,
				     bsh_loop_t *loop, const char *address,
				     const uint8_t *key, const char *sender,
				     uint64_t incarnation,
				     bsh_datagram_fn_t on_message, void *ctx);
void bsh_datagram_socket_finish(bsh_datagram_socket_t *datagrams);

/* A message that is ready to be sent to any number of receivers. */
typedef struct {
	uint8_t data[BSH_UDP_MAX_BYTES];
	size_t size_bytes;
} bsh_datagram_t;

/*
 * bsh_datagram_socket_seal - add the sender, its incarnation and the seal.
 *
 * RETURN VALUE
 *	BSH_OK, or BSH_ERR_TOO_LARGE.
 */
bsh_error_t bsh_datagram_socket_seal(bsh_datagram_socket_t *datagrams,
				     const bsh_message_t *message,
				     bsh_datagram_t *datagram);

/* bsh_datagram_socket_send - to one receiver; errors of bsh_udp_send(). */
bsh_error_t bsh_datagram_socket_send(bsh_datagram_socket_t *datagrams,
				     const char *address,
				     const bsh_datagram_t *datagram);

#endif
