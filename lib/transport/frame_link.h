#ifndef BSH_TRANSPORT_FRAME_LINK_H
#define BSH_TRANSPORT_FRAME_LINK_H

/*
 * NAME
 *	frame_link - length-prefixed frames over TCP on an event loop
 *
 * DESCRIPTION
 *	Splits a TCP stream into frames of a 4-byte big-endian length and as
 *	many bytes, at most BSH_FRAME_MAX_BYTES.  The content is opaque at
 *	this layer; protocol/frame.h adds authentication and typed messages
 *	and is what daemons use.
 *
 *	All functions and callbacks run on the loop's thread.  A callback may
 *	close any link, its own included.  Sends are queued; a link whose
 *	queue exceeds BSH_LINK_QUEUE_MAX_BYTES is closed, because a peer that
 *	does not read must not use up the memory of this process.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "transport/loop.h"

#define BSH_FRAME_MAX_BYTES	 (1 << 20)
#define BSH_LINK_QUEUE_MAX_BYTES (16 << 20)

typedef struct bsh_frame_link bsh_frame_link_t;
typedef struct bsh_frame_listener bsh_frame_listener_t;

typedef struct {
	/* The connection is established; only for bsh_frame_link_connect(). */
	void (*on_open)(void *ctx, bsh_frame_link_t *link);
	/* One frame without its length; data is valid during the call. */
	void (*on_frame)(void *ctx, bsh_frame_link_t *link, const uint8_t *data,
			 size_t size_bytes);
	/*
	 * The link has ended: BSH_OK after an orderly close by the peer,
	 * BSH_ERR_CONNECT if it was never established, BSH_ERR_TOO_LARGE for
	 * an oversized frame, BSH_ERR_BROKEN otherwise.  The link is freed
	 * after the call.  Not called after bsh_frame_link_close().
	 */
	void (*on_close)(void *ctx, bsh_frame_link_t *link, bsh_error_t reason);
} bsh_frame_link_ops_t;

/*
 * bsh_frame_link_connect - begin to connect to "IP:port".
 *
 * RETURN VALUE
 *	NULL if no socket could be made or the address is malformed.
 */
bsh_frame_link_t *bsh_frame_link_connect(bsh_loop_t *loop, const char *address,
					 const bsh_frame_link_ops_t *ops,
					 void *ctx);

/* bsh_frame_link_set_ops - for accepted links, from on_accept. */
void bsh_frame_link_set_ops(bsh_frame_link_t *link,
			    const bsh_frame_link_ops_t *ops, void *ctx);

/*
 * bsh_frame_link_send - queue one frame; head and body are joined.
 *
 * RETURN VALUE
 *	BSH_OK, BSH_ERR_TOO_LARGE, or BSH_ERR_BROKEN if the link is closing.
 */
bsh_error_t bsh_frame_link_send(bsh_frame_link_t *link, const void *head,
				size_t head_bytes, const void *body,
				size_t body_bytes);

/* bsh_frame_link_close - close at once; queued frames may be lost. */
void bsh_frame_link_close(bsh_frame_link_t *link);

/*
 * bsh_frame_listener_open - accept links on "IP:port" (port 0: a free one).
 * on_accept must call bsh_frame_link_set_ops() or close the link.
 */
bsh_frame_listener_t *
bsh_frame_listener_open(bsh_loop_t *loop, const char *address,
			void (*on_accept)(void *ctx, bsh_frame_link_t *link),
			void *ctx);
uint16_t bsh_frame_listener_port(const bsh_frame_listener_t *listener);
void bsh_frame_listener_close(bsh_frame_listener_t *listener);

#endif
