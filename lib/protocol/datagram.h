#ifndef BSH_PROTOCOL_DATAGRAM_H
#define BSH_PROTOCOL_DATAGRAM_H

/*
 * NAME
 *	datagram - authenticated messages between instances over UDP
 *
 * DESCRIPTION
 *	Each datagram carries one message (protocol/message.h) under a seal
 *	(protocol/auth.h).  Forged, malformed, duplicate and replayed
 *	datagrams are dropped and counted.  Delivery is not guaranteed.
 */

#include <glib.h>

#include "protocol/auth.h"
#include "protocol/message.h"
#include "transport/udp.h"

/* Largest encoded message that fits into a datagram with its seal. */
#define BSH_DATAGRAM_MESSAGE_MAX_BYTES (BSH_UDP_MAX_BYTES - BSH_SEAL_SIZE_BYTES)

/* message is valid during the call. */
typedef void (*bsh_datagram_fn_t)(void *ctx, const bsh_message_t *message);

typedef struct {
	const uint8_t *key;
	const char *sender;   /* name of this instance */
	uint64_t incarnation; /* of this process */
	uint64_t sequence;    /* number of the last datagram sealed */
	bsh_udp_t *udp;
	GHashTable *windows; /* sender name to bsh_replay_window_t */
	bsh_datagram_fn_t on_message;
	void *ctx;
} bsh_datagram_socket_t;

/*
 * bsh_datagram_socket_init - bind address and start to receive.  key and sender
 * must outlive the socket.
 *
 * RETURN VALUE
 *	BSH_OK, or BSH_ERR_SYSTEM if the address cannot be bound.
 */
bsh_error_t bsh_datagram_socket_init(bsh_datagram_socket_t *sock,
				     bsh_loop_t *loop, const char *address,
				     const uint8_t *key, const char *sender,
				     uint64_t incarnation,
				     bsh_datagram_fn_t on_message, void *ctx);
void bsh_datagram_socket_finish(bsh_datagram_socket_t *sock);

/* Sealed message, may be sent to any number of receivers. */
typedef struct {
	uint8_t data[BSH_UDP_MAX_BYTES];
	size_t size_bytes;
} bsh_datagram_t;

/*
 * bsh_datagram_socket_seal - encode and seal a message.  Sender and incarnation
 * are those of the socket.
 *
 * RETURN VALUE
 *	BSH_OK, or BSH_ERR_TOO_LARGE above BSH_DATAGRAM_MESSAGE_MAX_BYTES.
 */
bsh_error_t bsh_datagram_socket_seal(bsh_datagram_socket_t *sock,
				     const bsh_message_t *message,
				     bsh_datagram_t *datagram);

/* bsh_datagram_socket_send - send to one "IP:port"; errors as for
 * bsh_udp_send(). */
bsh_error_t bsh_datagram_socket_send(bsh_datagram_socket_t *sock,
				     const char *address,
				     const bsh_datagram_t *datagram);

#endif
