#ifndef BSH_PROTOCOL_AUTH_H
#define BSH_PROTOCOL_AUTH_H

/*
 * NAME
 *	auth - message authentication and replay protection
 *
 * DESCRIPTION
 *	A frame or datagram consists of a seal and a body.  The seal is a
 *	16-byte MAC and an 8-byte big-endian sequence number.  The MAC is
 *	keyed BLAKE2b (libsodium).
 *
 *	In a TCP session the MAC covers the nonce of the sender, the nonce of
 *	the receiver, the sequence number and the body, so that a frame is
 *	valid in one session and one direction only.  The sequence number
 *	increases by one with each frame.  HELLO has number 0; its MAC covers
 *	the number and the body, which contains the sender's nonce.
 *
 *	The body of a datagram contains the sender and its incarnation; the
 *	sequence number increases within an incarnation.  A replay window of
 *	BSH_REPLAY_WINDOW_SIZE numbers tolerates reordering.  Duplicates,
 *	numbers below the window and older incarnations are rejected.
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
	const uint8_t *key; /* BSH_KEY_SIZE_BYTES */
	uint8_t own_nonce[BSH_NONCE_SIZE_BYTES];
	uint8_t peer_nonce[BSH_NONCE_SIZE_BYTES];
	bool has_peer_nonce;
	uint64_t sent;	   /* frames sent: sequence number of the next one */
	uint64_t received; /* sequence number of the last frame accepted */
} bsh_session_t;

/* bsh_session_init - generate the own nonce; key must outlive the session. */
void bsh_session_init(bsh_session_t *session, const uint8_t *key);

/* bsh_session_seal - write the seal of the next frame, BSH_SEAL_SIZE_BYTES. */
void bsh_session_seal(bsh_session_t *session, uint8_t *seal, const void *body,
		      size_t body_bytes);

/*
 * bsh_session_open_hello - verify the first frame received, before its body is
 * decoded.  The peer's nonce in the body is then set with
 * bsh_session_set_peer_nonce(), which rejects the own nonce (a reflected
 * frame).
 *
 * bsh_session_open_frame - verify a frame after HELLO.  The first one accepted
 * proves that the peer has the key; a HELLO alone can be a replay.
 *
 * RETURN VALUE
 *	BSH_OK, BSH_ERR_INVALID if shorter than a seal, BSH_ERR_AUTH for a
 *	wrong key, session or sequence number.  On error the session is
 *	unchanged.
 */
bsh_error_t bsh_session_open_hello(const bsh_session_t *session,
				   const uint8_t *frame, size_t frame_bytes);
bsh_error_t bsh_session_set_peer_nonce(bsh_session_t *session,
				       const uint8_t *nonce);
bsh_error_t bsh_session_open_frame(bsh_session_t *session, const uint8_t *frame,
				   size_t frame_bytes);

/* Replay window of one sender of datagrams. */
typedef struct {
	uint64_t incarnation; /* highest accepted */
	uint64_t highest;     /* sequence number accepted in it, 0: none */
	uint64_t seen;	      /* bit i: highest - i was accepted */
} bsh_replay_window_t;

/* bsh_replay_window_accept - true for a new datagram, which is recorded; false
 * for a duplicate or one that is too old. */
bool bsh_replay_window_accept(bsh_replay_window_t *window, uint64_t incarnation,
			      uint64_t sequence);

/*
 * bsh_datagram_seal - write the seal of a datagram, BSH_SEAL_SIZE_BYTES.
 *
 * bsh_datagram_check - verify the MAC and read the sequence number, which is
 * then checked by the replay window.  Returns BSH_OK, BSH_ERR_INVALID or
 * BSH_ERR_AUTH, as above.
 */
void bsh_datagram_seal(const uint8_t *key, uint64_t sequence, uint8_t *seal,
		       const void *body, size_t body_bytes);
bsh_error_t bsh_datagram_check(const uint8_t *key, const uint8_t *datagram,
			       size_t datagram_bytes, uint64_t *sequence);

#endif
