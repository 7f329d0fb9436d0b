#ifndef BSH_PROTOCOL_FRAME_H
#define BSH_PROTOCOL_FRAME_H

/*
 * NAME
 *	frame - authenticated typed messages over frame links
 *
 * DESCRIPTION
 *	A channel is one TCP session between two processes of the system.
 *	Each side sends HELLO first; from then on every frame is checked
 *	against the key, both nonces and the sequence (protocol/auth.h).  A
 *	frame that fails a check changes nothing, is counted and ends the
 *	session.
 *
 *	A channel made by bsh_channel_connect() connects again after a loss,
 *	after BSH_CHANNEL_RETRY_MIN_US, doubled up to
 *	BSH_CHANNEL_RETRY_MAX_US.  An accepted channel ends with its
 *	connection and is freed after on_down has returned.
 */

#include "base/timeline.h"
#include "protocol/auth.h"
#include "protocol/message.h"
#include "transport/frame_link.h"
#include "transport/loop.h"

#define BSH_CHANNEL_RETRY_MIN_US	 INT64_C(50000)
#define BSH_CHANNEL_RETRY_MAX_US	 INT64_C(1000000)
#define BSH_CHANNEL_HANDSHAKE_TIMEOUT_US INT64_C(2000000)

/* What this process is; shared by all its channels. */
typedef struct {
	const uint8_t *key; /* BSH_KEY_SIZE_BYTES */
	const char *instance;
	uint64_t incarnation;
	bsh_role_t role;
	const char *address;	  /* for callers, may be empty */
	bsh_timeline_t *timeline; /* stamps frames */
} bsh_identity_t;

typedef struct bsh_channel bsh_channel_t;
typedef struct bsh_channel_listener bsh_channel_listener_t;

typedef struct {
	/* The peer has proved the key; channel_peer is valid from here on. */
	void (*on_up)(void *ctx, bsh_channel_t *channel);
	/* message is valid during the call. */
	void (*on_message)(void *ctx, bsh_channel_t *channel,
			   const bsh_message_t *message);
	void (*on_down)(void *ctx, bsh_channel_t *channel);
} bsh_channel_ops_t;

/* bsh_channel_connect - connect to "IP:port" and stay connected. */
bsh_channel_t *bsh_channel_connect(bsh_loop_t *loop,
				   const bsh_identity_t *identity,
				   const char *address,
				   const bsh_channel_ops_t *ops, void *ctx);

/* bsh_channel_close - end for good and free; on_down is not called. */
void bsh_channel_close(bsh_channel_t *channel);

bool bsh_channel_is_up(const bsh_channel_t *channel);

/* The peer's HELLO: role, instance and incarnation; only while up. */
bsh_role_t bsh_channel_peer_role(const bsh_channel_t *channel);
const char *bsh_channel_peer_name(const bsh_channel_t *channel);
uint64_t bsh_channel_peer_incarnation(const bsh_channel_t *channel);
const char *bsh_channel_peer_address(const bsh_channel_t *channel);

/* Free slot for the owner's own data. */
void bsh_channel_set_data(bsh_channel_t *channel, void *data);
void *bsh_channel_data(const bsh_channel_t *channel);

/*
 * bsh_channel_send - stamp, encode and queue.  Only type and fields need to be
 * set.
 *
 * RETURN VALUE
 *	BSH_OK, BSH_ERR_CONNECT while down, BSH_ERR_TOO_LARGE.
 */
bsh_error_t bsh_channel_send(bsh_channel_t *channel, bsh_message_t *message);

/* bsh_channel_listen - ops is used for each accepted channel. */
bsh_channel_listener_t *bsh_channel_listen(bsh_loop_t *loop,
					   const bsh_identity_t *identity,
					   const char *address,
					   const bsh_channel_ops_t *ops,
					   void *ctx);
uint16_t bsh_channel_listener_port(const bsh_channel_listener_t *listener);
/* Also closes the accepted channels. */
void bsh_channel_listener_close(bsh_channel_listener_t *listener);

/* Register the counters of this module; once per process. */
void bsh_frame_register_counters(void);

#endif
