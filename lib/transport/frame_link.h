#ifndef BSH_TRANSPORT_FRAME_LINK_H
#define BSH_TRANSPORT_FRAME_LINK_H

/*
 * NAME
 *	frame_link - length-prefixed frames over TCP on an event loop
 *
 * DESCRIPTION
 *	A frame is a 4-byte big-endian length followed by that many bytes, at
 *	most BSH_FRAME_MAX_BYTES.  The content is opaque at this layer;
 *	protocol/frame.h adds authentication and typed messages and is the
 *	interface that daemons use.
 *
 *	All functions and callbacks run on the loop's thread.  A callback may
 *	close any link, including its own.  Sends are queued.  A link whose
 *	send queue would exceed BSH_LINK_QUEUE_MAX_BYTES is closed, so that a
 *	peer that does not read cannot exhaust the memory of this process.
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
	/* The connection is established.  Called only for links made by
	 * bsh_frame_link_connect(); may be NULL. */
	void (*on_open)(void *ctx, bsh_frame_link_t *link);
	/* A frame was received; data excludes the length and is valid during
	 * the call. */
	void (*on_frame)(void *ctx, bsh_frame_link_t *link, const uint8_t *data,
			 size_t size_bytes);
	/*
	 * The link is closed: BSH_OK after an orderly close by the peer,
	 * BSH_ERR_CONNECT if it was never established, BSH_ERR_TOO_LARGE for
	 * an oversized frame, BSH_ERR_CONNECTION_LOST otherwise.  The link is
	 * freed after the call.  Not called after bsh_frame_link_close().
	 */
	void (*on_close)(void *ctx, bsh_frame_link_t *link, bsh_error_t reason);
} bsh_frame_link_ops_t;

/*
 * bsh_frame_link_connect - start to connect to "IP:port".  Frames may be sent
 * at once; they are queued until the connection is established.
 *
 * RETURN VALUE
 *	The link, or NULL if the address is malformed or the socket could not
 *	be created.
 */
bsh_frame_link_t *bsh_frame_link_connect(bsh_loop_t *loop, const char *address,
					 const bsh_frame_link_ops_t *ops,
					 void *ctx);

/* bsh_frame_link_set_ops - set the callbacks of an accepted link. */
void bsh_frame_link_set_ops(bsh_frame_link_t *link,
			    const bsh_frame_link_ops_t *ops, void *ctx);

/*
 * bsh_frame_link_send - queue a frame that consists of head followed by body.
 *
 * RETURN VALUE
 *	BSH_OK, BSH_ERR_TOO_LARGE for a frame over BSH_FRAME_MAX_BYTES, or
 *	BSH_ERR_CONNECTION_LOST if the link is closed or about to be closed.
 */
bsh_error_t bsh_frame_link_send(bsh_frame_link_t *link, const void *head,
				size_t head_bytes, const void *body,
				size_t body_bytes);

/* bsh_frame_link_close - close immediately; queued frames may be lost.  The
 * link is freed before the loop polls again. */
void bsh_frame_link_close(bsh_frame_link_t *link);

/*
 * bsh_frame_listener_open - accept links on "IP:port" (port 0: any free port).
 * on_accept must call bsh_frame_link_set_ops() or close the link.
 *
 * RETURN VALUE
 *	The listener, or NULL if the address is malformed or cannot be bound.
 */
bsh_frame_listener_t *
bsh_frame_listener_open(bsh_loop_t *loop, const char *address,
			void (*on_accept)(void *ctx, bsh_frame_link_t *link),
			void *ctx);
uint16_t bsh_frame_listener_port(const bsh_frame_listener_t *listener);
void bsh_frame_listener_close(bsh_frame_listener_t *listener);

#endif
