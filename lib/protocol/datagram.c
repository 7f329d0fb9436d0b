#include "protocol/datagram.h"

#include <stdlib.h>
#include <string.h>

#include "base/counter.h"

enum {
	DROP_AUTH,
	DROP_MALFORMED,
	DROP_REPLAY,
	DROP_COUNT
};

static bsh_counter_t dropped[DROP_COUNT] = {
	BSH_COUNTER_LABELS("bsh_datagrams_rejected_total",
			   "Datagrams that failed a check.", "reason=\"auth\""),
	BSH_COUNTER_LABELS("bsh_datagrams_rejected_total",
			   "Datagrams that failed a check.",
			   "reason=\"malformed\""),
	BSH_COUNTER_LABELS("bsh_datagrams_rejected_total",
			   "Datagrams that failed a check.",
			   "reason=\"replay\""),
};
static bsh_counter_t sent =
	BSH_COUNTER("bsh_datagrams_sent_total", "Datagrams sent.");
static bsh_counter_t sent_bytes = BSH_COUNTER("bsh_datagrams_sent_bytes_total",
					      "Bytes of datagrams sent.");

static bool accept_sequence(bsh_datagram_socket_t *sock,
			    const bsh_message_t *message, uint64_t sequence)
{
	bsh_replay_window_t *window =
		g_hash_table_lookup(sock->windows, message->sender);

	if (window == NULL) {
		window = g_new0(bsh_replay_window_t, 1);
		g_hash_table_insert(sock->windows, g_strdup(message->sender),
				    window);
	}
	return bsh_replay_window_accept(window, message->incarnation, sequence);
}

static void on_datagram(void *ctx, const uint8_t *data, size_t size)
{
	bsh_datagram_socket_t *sock = ctx;
	bsh_message_t message;
	uint64_t sequence;

	if (bsh_datagram_check(sock->key, data, size, &sequence) != BSH_OK) {
		bsh_counter_add(&dropped[DROP_AUTH], 1);
		return;
	}
	if (bsh_message_decode(&message,
			       (const char *)data + BSH_SEAL_SIZE_BYTES,
			       size - BSH_SEAL_SIZE_BYTES) != BSH_OK) {
		bsh_counter_add(&dropped[DROP_MALFORMED], 1);
		return;
	}
	if (accept_sequence(sock, &message, sequence))
		sock->on_message(sock->ctx, &message);
	else
		bsh_counter_add(&dropped[DROP_REPLAY], 1);
	bsh_message_finish(&message);
}

bsh_error_t bsh_datagram_socket_init(bsh_datagram_socket_t *sock,
				     bsh_loop_t *loop, const char *address,
				     const uint8_t *key, const char *sender,
				     uint64_t incarnation,
				     bsh_datagram_fn_t on_message, void *ctx)
{
	memset(sock, 0, sizeof(*sock));
	for (int i = 0; i < DROP_COUNT; i++)
		bsh_counter_register(&dropped[i]);
	bsh_counter_register(&sent);
	bsh_counter_register(&sent_bytes);
	sock->key = key;
	sock->sender = sender;
	sock->incarnation = incarnation;
	sock->on_message = on_message;
	sock->ctx = ctx;
	sock->udp = bsh_udp_open(loop, address, on_datagram, sock);
	if (sock->udp == NULL)
		return BSH_ERR_SYSTEM;
	sock->windows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return BSH_OK;
}

void bsh_datagram_socket_finish(bsh_datagram_socket_t *sock)
{
	if (sock->udp == NULL)
		return;
	bsh_udp_close(sock->udp);
	g_hash_table_destroy(sock->windows);
	sock->udp = NULL;
}

bsh_error_t bsh_datagram_socket_seal(bsh_datagram_socket_t *sock,
				     const bsh_message_t *message,
				     bsh_datagram_t *datagram)
{
	bsh_message_t copy = *message;
	bsh_error_t err;
	char *body;
	size_t size;

	copy.sender = sock->sender;
	copy.incarnation = sock->incarnation;
	err = bsh_message_encode(&copy, &body, &size);
	if (err != BSH_OK)
		return err;
	if (size > BSH_DATAGRAM_MESSAGE_MAX_BYTES) {
		err = BSH_ERR_TOO_LARGE;
		goto out;
	}
	memcpy(datagram->data + BSH_SEAL_SIZE_BYTES, body, size);
	bsh_datagram_seal(sock->key, ++sock->sequence, datagram->data, body,
			  size);
	datagram->size_bytes = size + BSH_SEAL_SIZE_BYTES;
out:
	free(body);
	return err;
}

bsh_error_t bsh_datagram_socket_send(bsh_datagram_socket_t *sock,
				     const char *address,
				     const bsh_datagram_t *datagram)
{
	bsh_counter_add(&sent, 1);
	bsh_counter_add(&sent_bytes, (int64_t)datagram->size_bytes);
	return bsh_udp_send(sock->udp, address, datagram->data,
			    datagram->size_bytes);
}
