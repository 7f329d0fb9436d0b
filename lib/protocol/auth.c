#include "protocol/auth.h"

#include <sodium.h>
#include <string.h>

/* Domain separation: a seal made for one use of the key is invalid for the
 * others. */
#define CONTEXT_HELLO	 "bsh hello"
#define CONTEXT_FRAME	 "bsh frame"
#define CONTEXT_DATAGRAM "bsh dgram"

static void store_be64(uint8_t *out, uint64_t value)
{
	for (int i = 0; i < 8; i++)
		out[i] = (uint8_t)(value >> (56 - 8 * i));
}

static uint64_t load_be64(const uint8_t *in)
{
	uint64_t value = 0;

	for (int i = 0; i < 8; i++)
		value = value << 8 | in[i];
	return value;
}

/* from and to are the nonces of sender and receiver, NULL for HELLO and for
 * datagrams. */
static void compute_mac(uint8_t *mac, const uint8_t *key, const char *context,
			const uint8_t *from, const uint8_t *to,
			const uint8_t *sequence, const void *body,
			size_t body_bytes)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, key, BSH_KEY_SIZE_BYTES,
				BSH_MAC_SIZE_BYTES);
	crypto_generichash_update(&state, (const uint8_t *)context,
				  strlen(context));
	if (from != NULL)
		crypto_generichash_update(&state, from, BSH_NONCE_SIZE_BYTES);
	if (to != NULL)
		crypto_generichash_update(&state, to, BSH_NONCE_SIZE_BYTES);
	crypto_generichash_update(&state, sequence, 8);
	crypto_generichash_update(&state, body, body_bytes);
	crypto_generichash_final(&state, mac, BSH_MAC_SIZE_BYTES);
}

static bsh_error_t check_mac(const uint8_t *frame, size_t frame_bytes,
			     const uint8_t *key, const char *context,
			     const uint8_t *from, const uint8_t *to)
{
	uint8_t mac[BSH_MAC_SIZE_BYTES];

	if (frame_bytes < BSH_SEAL_SIZE_BYTES)
		return BSH_ERR_INVALID;
	compute_mac(mac, key, context, from, to, frame + BSH_MAC_SIZE_BYTES,
		    frame + BSH_SEAL_SIZE_BYTES,
		    frame_bytes - BSH_SEAL_SIZE_BYTES);
	if (sodium_memcmp(mac, frame, sizeof(mac)) != 0)
		return BSH_ERR_AUTH;
	return BSH_OK;
}

void bsh_session_init(bsh_session_t *session, const uint8_t *key)
{
	memset(session, 0, sizeof(*session));
	session->key = key;
	randombytes_buf(session->own_nonce, sizeof(session->own_nonce));
}

void bsh_session_seal(bsh_session_t *session, uint8_t *seal, const void *body,
		      size_t body_bytes)
{
	bool is_hello = session->sent == 0;

	store_be64(seal + BSH_MAC_SIZE_BYTES, session->sent++);
	compute_mac(seal, session->key,
		    is_hello ? CONTEXT_HELLO : CONTEXT_FRAME,
		    is_hello ? NULL : session->own_nonce,
		    is_hello ? NULL : session->peer_nonce,
		    seal + BSH_MAC_SIZE_BYTES, body, body_bytes);
}

bsh_error_t bsh_session_open_hello(const bsh_session_t *session,
				   const uint8_t *frame, size_t frame_bytes)
{
	if (frame_bytes >= BSH_SEAL_SIZE_BYTES &&
	    load_be64(frame + BSH_MAC_SIZE_BYTES) != 0)
		return BSH_ERR_AUTH;
	return check_mac(frame, frame_bytes, session->key, CONTEXT_HELLO, NULL,
			 NULL);
}

bsh_error_t bsh_session_set_peer_nonce(bsh_session_t *session,
				       const uint8_t *nonce)
{
	if (session->has_peer_nonce ||
	    sodium_memcmp(nonce, session->own_nonce, BSH_NONCE_SIZE_BYTES) == 0)
		return BSH_ERR_AUTH;
	memcpy(session->peer_nonce, nonce, BSH_NONCE_SIZE_BYTES);
	session->has_peer_nonce = true;
	return BSH_OK;
}

bsh_error_t bsh_session_open_frame(bsh_session_t *session, const uint8_t *frame,
				   size_t frame_bytes)
{
	bsh_error_t err;

	if (!session->has_peer_nonce)
		return BSH_ERR_AUTH;
	err = check_mac(frame, frame_bytes, session->key, CONTEXT_FRAME,
			session->peer_nonce, session->own_nonce);
	if (err != BSH_OK)
		return err;
	if (load_be64(frame + BSH_MAC_SIZE_BYTES) != session->received + 1)
		return BSH_ERR_AUTH;
	session->received++;
	return BSH_OK;
}

bool bsh_replay_window_accept(bsh_replay_window_t *window, uint64_t incarnation,
			      uint64_t sequence)
{
	uint64_t behind;

	if (incarnation < window->incarnation || sequence == 0)
		return false;
	if (incarnation > window->incarnation) {
		window->incarnation = incarnation;
		window->highest = 0;
		window->seen = 0;
	}
	if (sequence > window->highest) {
		uint64_t ahead = sequence - window->highest;

		window->seen = ahead < BSH_REPLAY_WINDOW_SIZE
				       ? window->seen << ahead
				       : 0;
		window->seen |= 1;
		window->highest = sequence;
		return true;
	}
	behind = window->highest - sequence;
	if (behind >= BSH_REPLAY_WINDOW_SIZE ||
	    (window->seen & UINT64_C(1) << behind) != 0)
		return false;
	window->seen |= UINT64_C(1) << behind;
	return true;
}

void bsh_datagram_seal(const uint8_t *key, uint64_t sequence, uint8_t *seal,
		       const void *body, size_t body_bytes)
{
	store_be64(seal + BSH_MAC_SIZE_BYTES, sequence);
	compute_mac(seal, key, CONTEXT_DATAGRAM, NULL, NULL,
		    seal + BSH_MAC_SIZE_BYTES, body, body_bytes);
}

bsh_error_t bsh_datagram_check(const uint8_t *key, const uint8_t *datagram,
			       size_t datagram_bytes, uint64_t *sequence)
{
	bsh_error_t err = check_mac(datagram, datagram_bytes, key,
				    CONTEXT_DATAGRAM, NULL, NULL);

	if (err == BSH_OK)
		*sequence = load_be64(datagram + BSH_MAC_SIZE_BYTES);
	return err;
}
