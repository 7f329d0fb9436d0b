#ifndef BSH_PROTOCOL_AUTH_H
#define BSH_PROTOCOL_AUTH_H

/*
 * NAME
 *	auth - message authentication and replay protection
 *
 * DESCRIPTION
 *	A sealed frame is a 16-byte MAC, an 8-byte big-endian sequence and
 *	the body.  The MAC is keyed BLAKE2b (libsodium).
 *
 *	In a TCP session it covers the nonce of the sender, the nonce of the
 *	receiver, the sequence and the body, so a frame is valid in one
 *	session and one direction only.  The sequence must rise by one with
 *	each frame.  HELLO has sequence 0 and is sealed over its body alone,
 *	which carries the sender's nonce.
 *
 *	A datagram's body holds sender and incarnation, and its sequence rises
 *	per incarnation.  A window of BSH_REPLAY_WINDOW_SIZE accepts reordering;
 *	repeats, sequences behind the window and older incarnations are
 *	refused.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/settings.h"
#include "protocol/message.h"

#define BSH_MAC_SIZE_BYTES     16
#define BSH_SEAL_SIZE_BYTES    (BSH_MAC_SIZE_BYTES + 8)
#define BSH_REPLAY_WINDOW_SIZE 64

typedef struct {
	const uint8_t *key;
	uint8_t own_nonce[BSH_NONCE_SIZE_BYTES];
	uint8_t peer_nonce[BSH_NONCE_SIZE_BYTES];
	bool has_peer_nonce;
	uint64_t sent;	   /* sequence of the last frame sent */
	uint64_t received; /* sequence of the last frame accepted */
} bsh_session_t;

/* bsh_session_init - draws the own nonce; key must outlive the session. */
void bsh_session_init(bsh_session_t *session, const uint8_t *key);

/* bsh_session_seal - write MAC and sequence of the next frame to seal. */
void bsh_session_seal(bsh_session_t *session, uint8_t *seal, const void *body,
		      size_t body_bytes);

/*
 * bsh_session_open_hello - check the first frame received.  Its body carries
 * the peer's nonce and is checked before it is decoded; the nonce is then set
 * by bsh_session_set_peer_nonce(), which refuses the own nonce (a reflected frame).
 *
 * bsh_session_open_frame - check a frame after HELLO.  The peer has proved that it
 * holds the key when the first one is accepted: a HELLO alone can be a replay.
 *
 * RETURN VALUE
 *	BSH_OK, BSH_ERR_INVALID if shorter than a seal, BSH_ERR_AUTH for a
 *	wrong key, session or sequence.  On error the session is unchanged.
 */
bsh_error_t bsh_session_open_hello(const bsh_session_t *session,
				   const uint8_t *frame, size_t frame_bytes);
bsh_error_t bsh_session_set_peer_nonce(bsh_session_t *session,
				       const uint8_t *nonce);
bsh_error_t bsh_session_open_frame(bsh_session_t *session, const uint8_t *frame,
				   size_t frame_bytes);

/* Replay window of one sender of datagrams. */
typedef struct {
	uint64_t incarnation;
	uint64_t highest;
	uint64_t seen; /* bit i: highest - i was accepted */
} bsh_replay_window_t;

/* bsh_replay_window_accept - true once for each new datagram. */
bool bsh_replay_window_accept(bsh_replay_window_t *window, uint64_t incarnation,
			      uint64_t sequence);

/* Seal and check of datagrams; both are stateless. */
void bsh_datagram_seal(const uint8_t *key, uint64_t sequence, uint8_t *seal,
		       const void *body, size_t body_bytes);
bsh_error_t bsh_datagram_check(const uint8_t *key, const uint8_t *datagram,
			       size_t datagram_bytes, uint64_t *sequence);

#endif
