#ifndef BSH_TRANSPORT_UDP_H
#define BSH_TRANSPORT_UDP_H

/*
 * NAME
 *	udp - datagrams on an event loop
 *
 * DESCRIPTION
 *	One socket for sending and receiving.  A datagram that the system
 *	does not take is lost, as datagrams may be, and counted.
 */

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "transport/loop.h"

/* Fits into one Ethernet frame, so that no datagram is fragmented. */
#define BSH_UDP_MAX_BYTES 1400

typedef struct bsh_udp bsh_udp_t;

typedef void (*bsh_udp_fn_t)(void *ctx, const uint8_t *data, size_t size_bytes);

/* bsh_udp_open - bind "IP:port" (port 0: a free one); NULL on failure. */
bsh_udp_t *bsh_udp_open(bsh_loop_t *loop, const char *address,
			bsh_udp_fn_t on_datagram, void *ctx);
uint16_t bsh_udp_port(const bsh_udp_t *udp);
void bsh_udp_close(bsh_udp_t *udp);

/*
 * bsh_udp_send - to "IP:port".
 *
 * RETURN VALUE
 *	BSH_OK, BSH_ERR_INVALID for a malformed address, BSH_ERR_TOO_LARGE
 *	over BSH_UDP_MAX_BYTES, BSH_ERR_SYSTEM when it was not taken.
 */
bsh_error_t bsh_udp_send(bsh_udp_t *udp, const char *address, const void *data,
			 size_t size_bytes);

#endif
