#ifndef BSH_PROTOCOL_FRAME_H
#define BSH_PROTOCOL_FRAME_H

/*
 * NAME
 *	frame - authenticated message channel over TCP
 *
 * DESCRIPTION
 *	A channel connects two processes of the system.  In each TCP session
 *	both sides send HELLO first; every later frame is verified against the
 *	key, both nonces and the sequence number (protocol/auth.h).  A frame
 *	that fails a check changes no state; it is counted and ends the
 *	session.
 *
 *	A channel made by bsh_channel_connect() reconnects after a loss, with
 *	a delay of BSH_CHANNEL_RETRY_MIN_US that doubles up to
 *	BSH_CHANNEL_RETRY_MAX_US.  An accepted channel ends with its
 *	connection and is freed after on_down has returned.
 *
 * THREADS
 *	All calls and callbacks run on the thread of the loop.
 */

#include "base/timeline.h"
#include "protocol/auth.h"
#include "protocol/message.h"
#include "transport/frame_link.h"
#include "transport/loop.h"

#define BSH_CHANNEL_RETRY_MIN_US	 INT64_C(50000)
#define BSH_CHANNEL_RETRY_MAX_US	 INT64_C(1000000)
#define BSH_CHANNEL_HANDSHAKE_TIMEOUT_US INT64_C(2000000)

/* Identity of this process; shared by its channels and must outlive them. */
typedef struct {
	const uint8_t *key; /* BSH_KEY_SIZE_BYTES */
	const char *instance;
	uint64_t incarnation;
	bsh_role_t role;
	const char *address; /* IP:port that callers connect to, may be "" */
	bsh_timeline_t *timeline; /* source of the clock stamps of frames */
} bsh_identity_t;

typedef struct bsh_channel bsh_channel_t;
typedef struct bsh_channel_listener bsh_channel_listener_t;

typedef struct {
	/* The session is established: the peer has proved that it has the
	 * key.  The bsh_channel_peer_*() functions are valid from here on. */
	void (*on_up)(void *ctx, bsh_channel_t *channel);
	/* message is valid during the call. */
	void (*on_message)(void *ctx, bsh_channel_t *channel,
			   const bsh_message_t *message);
	/* An established session has ended. */
	void (*on_down)(void *ctx, bsh_channel_t *channel);
} bsh_channel_ops_t;

/* bsh_channel_connect - connect to "IP:port"; reconnects until closed. */
bsh_channel_t *bsh_channel_connect(bsh_loop_t *loop,
				   const bsh_identity_t *identity,
				   const char *address,
				   const bsh_channel_ops_t *ops, void *ctx);

/* bsh_channel_close - close and free the channel; on_down is not called.  May
 * be called from a callback. */
void bsh_channel_close(bsh_channel_t *channel);

bool bsh_channel_is_up(const bsh_channel_t *channel);

/* Contents of the peer's HELLO; valid while the channel is up. */
bsh_role_t bsh_channel_peer_role(const bsh_channel_t *channel);
const char *bsh_channel_peer_name(const bsh_channel_t *channel);
uint64_t bsh_channel_peer_incarnation(const bsh_channel_t *channel);
const char *bsh_channel_peer_address(const bsh_channel_t *channel);

/* Pointer for the owner's use. */
void bsh_channel_set_data(bsh_channel_t *channel, void *data);
void *bsh_channel_data(const bsh_channel_t *channel);

/*
 * bsh_channel_send - encode and queue a message.  The caller sets the type and
 * its fields; stamp, sender and incarnation are filled in.
 *
 * RETURN VALUE
 *	BSH_OK, BSH_ERR_CONNECT if there is no session, BSH_ERR_TOO_LARGE.
 */
bsh_error_t bsh_channel_send(bsh_channel_t *channel, bsh_message_t *message);

/* bsh_channel_listen - accept channels at "IP:port"; ops and ctx are used for
 * each of them.  NULL if the address cannot be bound. */
bsh_channel_listener_t *bsh_channel_listen(bsh_loop_t *loop,
					   const bsh_identity_t *identity,
					   const char *address,
					   const bsh_channel_ops_t *ops,
					   void *ctx);
uint16_t bsh_channel_listener_port(const bsh_channel_listener_t *listener);
/* bsh_channel_listener_close - also closes the accepted channels. */
void bsh_channel_listener_close(bsh_channel_listener_t *listener);

/* bsh_frame_register_counters - call once per process. */
void bsh_frame_register_counters(void);

#endif
