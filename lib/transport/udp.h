#ifndef BSH_TRANSPORT_UDP_H
#define BSH_TRANSPORT_UDP_H

/*
 * NAME
 *	udp - UDP socket on an event loop
 *
 * DESCRIPTION
 *	One non-blocking socket sends and receives.  A datagram that the
 *	kernel does not accept for sending is dropped and counted in
 *	bsh_udp_send_failed_total; there is no retransmission.  Received
 *	datagrams over BSH_UDP_MAX_BYTES are ignored.
 *
 *	All functions and callbacks run on the loop's thread.
 */

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "transport/loop.h"

/* Fits into one Ethernet frame, so that no datagram is fragmented. */
#define BSH_UDP_MAX_BYTES 1400

typedef struct bsh_udp bsh_udp_t;

/* Called for each received datagram; data is valid during the call. */
typedef void (*bsh_udp_fn_t)(void *ctx, const uint8_t *data, size_t size_bytes);

/* bsh_udp_open - bind a socket to "IP:port" (port 0: any free port); NULL on
 * failure. */
bsh_udp_t *bsh_udp_open(bsh_loop_t *loop, const char *address,
			bsh_udp_fn_t on_datagram, void *ctx);
/* bsh_udp_port - local port, also when port 0 was given. */
uint16_t bsh_udp_port(const bsh_udp_t *udp);
void bsh_udp_close(bsh_udp_t *udp);

/*
 * bsh_udp_send - send one datagram to "IP:port".
 *
 * RETURN VALUE
 *	BSH_OK, BSH_ERR_INVALID for a malformed address, BSH_ERR_TOO_LARGE
 *	over BSH_UDP_MAX_BYTES, BSH_ERR_SYSTEM if the kernel did not accept
 *	the datagram.
 */
bsh_error_t bsh_udp_send(bsh_udp_t *udp, const char *address, const void *data,
			 size_t size_bytes);

#endif
