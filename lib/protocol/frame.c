#include "protocol/frame.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"

struct bsh_channel {
	bsh_loop_t *loop;
	const bsh_identity_t *identity;
	const bsh_channel_ops_t *ops;
	void *ctx;
	void *data;
	bsh_frame_link_t *link;		  /* NULL while not connected */
	bsh_channel_listener_t *listener; /* NULL unless accepted */
	char *connect_address;
	bsh_session_t session;
	bsh_loop_timer_t timer; /* reconnect delay, or handshake timeout */
	int64_t retry_us;
	bool is_up;
	bool closed;
	bsh_loop_task_t free_task; /* frees once the callbacks have returned */
	bsh_role_t peer_role;
	char peer_name[BSH_NAME_SIZE];
	char peer_address[BSH_ADDRESS_SIZE];
	uint64_t peer_incarnation;
};

struct bsh_channel_listener {
	bsh_loop_t *loop;
	const bsh_identity_t *identity;
	const bsh_channel_ops_t *ops;
	void *ctx;
	bsh_frame_listener_t *listener;
	GPtrArray *channels;
};

enum {
	REJECT_AUTH,
	REJECT_MALFORMED,
	REJECT_TOO_LARGE,
	REJECT_COUNT
};

static bsh_counter_t rejected[REJECT_COUNT] = {
	BSH_COUNTER_LABELS("bsh_frames_rejected_total",
			   "Frames that failed a check.", "reason=\"auth\""),
	BSH_COUNTER_LABELS("bsh_frames_rejected_total",
			   "Frames that failed a check.",
			   "reason=\"malformed\""),
	BSH_COUNTER_LABELS("bsh_frames_rejected_total",
			   "Frames that failed a check.",
			   "reason=\"too-large\""),
};
static bsh_counter_t sent =
	BSH_COUNTER("bsh_frames_sent_total", "Frames sent.");
static bsh_counter_t received =
	BSH_COUNTER("bsh_frames_received_total", "Frames accepted.");
static bsh_counter_t sent_bytes =
	BSH_COUNTER("bsh_frames_sent_bytes_total", "Bytes of frames sent.");

void bsh_frame_register_counters(void)
{
	for (int i = 0; i < REJECT_COUNT; i++)
		bsh_counter_register(&rejected[i]);
	bsh_counter_register(&sent);
	bsh_counter_register(&received);
	bsh_counter_register(&sent_bytes);
}

static void free_channel(void *ctx)
{
	bsh_channel_t *channel = ctx;

	g_free(channel->connect_address);
	g_free(channel);
}

static void close_link(bsh_channel_t *channel)
{
	if (channel->link != NULL)
		bsh_frame_link_close(channel->link);
	channel->link = NULL;
}

void bsh_channel_close(bsh_channel_t *channel)
{
	if (channel->closed)
		return;
	if (channel->listener != NULL)
		g_ptr_array_remove_fast(channel->listener->channels, channel);
	channel->closed = true;
	channel->is_up = false;
	bsh_loop_timer_stop(&channel->timer);
	close_link(channel);
	bsh_loop_task_schedule(&channel->free_task);
}

/* Closes the link and reports the end of an established session.  A connecting
 * channel then schedules a reconnection, an accepted one is closed. */
static void disconnect(bsh_channel_t *channel)
{
	bool was_up = channel->is_up;

	close_link(channel);
	channel->is_up = false;
	bsh_loop_timer_stop(&channel->timer);
	if (was_up)
		channel->ops->on_down(channel->ctx, channel);
	if (channel->closed)
		return;
	if (channel->listener != NULL) {
		bsh_channel_close(channel);
		return;
	}
	bsh_loop_timer_after(&channel->timer, channel->retry_us);
	channel->retry_us =
		MIN(2 * channel->retry_us, BSH_CHANNEL_RETRY_MAX_US);
}

static void reject(bsh_channel_t *channel, int reason)
{
	bsh_counter_add(&rejected[reason], 1);
	disconnect(channel);
}

static bsh_error_t send_message(bsh_channel_t *channel, bsh_message_t *message)
{
	const bsh_identity_t *self = channel->identity;
	uint8_t seal[BSH_SEAL_SIZE_BYTES];
	char *body;
	size_t size;
	bsh_error_t err;

	message->stamp = bsh_timeline_stamp(self->timeline);
	message->sender = self->instance;
	message->incarnation = self->incarnation;
	err = bsh_message_encode(message, &body, &size);
	if (err != BSH_OK)
		return err;
	bsh_session_seal(&channel->session, seal, body, size);
	err = bsh_frame_link_send(channel->link, seal, sizeof(seal), body,
				  size);
	free(body);
	if (err != BSH_OK)
		return BSH_ERR_CONNECT;
	bsh_counter_add(&sent, 1);
	bsh_counter_add(&sent_bytes, (int64_t)(size + sizeof(seal) + 4));
	return BSH_OK;
}

static void send_hello(bsh_channel_t *channel)
{
	bsh_message_t hello = { .type = BSH_MSG_HELLO };

	memcpy(hello.hello.nonce, channel->session.own_nonce,
	       sizeof(hello.hello.nonce));
	hello.hello.role = channel->identity->role;
	hello.hello.address = channel->identity->address;
	send_message(channel, &hello);
}

/* Decodes the message of an authenticated frame; rejects a malformed one and
 * returns false. */
static bool decode(bsh_channel_t *channel, bsh_message_t *message,
		   const uint8_t *data, size_t size)
{
	if (bsh_message_decode(message,
			       (const char *)data + BSH_SEAL_SIZE_BYTES,
			       size - BSH_SEAL_SIZE_BYTES) == BSH_OK)
		return true;
	reject(channel, REJECT_MALFORMED);
	return false;
}

static void on_hello(bsh_channel_t *channel, const uint8_t *data, size_t size)
{
	bsh_message_t message;

	if (bsh_session_open_hello(&channel->session, data, size) != BSH_OK) {
		reject(channel, REJECT_AUTH);
		return;
	}
	if (!decode(channel, &message, data, size))
		return;
	if (message.type != BSH_MSG_HELLO ||
	    bsh_session_set_peer_nonce(&channel->session,
				       message.hello.nonce) != BSH_OK ||
	    g_strlcpy(channel->peer_name, message.sender,
		      sizeof(channel->peer_name)) >=
		    sizeof(channel->peer_name)) {
		bsh_message_finish(&message);
		reject(channel, REJECT_AUTH);
		return;
	}
	channel->peer_role = (bsh_role_t)message.hello.role;
	channel->peer_incarnation = message.incarnation;
	g_strlcpy(channel->peer_address, message.hello.address,
		  sizeof(channel->peer_address));
	bsh_message_finish(&message);
	/* Sent under both nonces: proves to the peer that this side has the
	 * key. */
	send_hello(channel);
}

static void establish_session(bsh_channel_t *channel)
{
	channel->is_up = true;
	channel->retry_us = BSH_CHANNEL_RETRY_MIN_US;
	bsh_loop_timer_stop(&channel->timer);
	channel->ops->on_up(channel->ctx, channel);
}

static void on_session_frame(bsh_channel_t *channel, const uint8_t *data,
			     size_t size)
{
	bsh_message_t message;

	if (bsh_session_open_frame(&channel->session, data, size) != BSH_OK) {
		reject(channel, REJECT_AUTH);
		return;
	}
	if (!decode(channel, &message, data, size))
		return;
	bsh_counter_add(&received, 1);
	bsh_timeline_receive(channel->identity->timeline, message.stamp);
	if (!channel->is_up)
		establish_session(channel);
	else
		channel->ops->on_message(channel->ctx, channel, &message);
	bsh_message_finish(&message);
}

static void on_frame(void *ctx, bsh_frame_link_t *link, const uint8_t *data,
		     size_t size)
{
	bsh_channel_t *channel = ctx;

	(void)link;
	if (!channel->session.has_peer_nonce)
		on_hello(channel, data, size);
	else
		on_session_frame(channel, data, size);
}

static void on_link_close(void *ctx, bsh_frame_link_t *link, bsh_error_t reason)
{
	bsh_channel_t *channel = ctx;

	(void)link;
	channel->link = NULL;
	if (reason == BSH_ERR_TOO_LARGE)
		bsh_counter_add(&rejected[REJECT_TOO_LARGE], 1);
	disconnect(channel);
}

static void start_session(bsh_channel_t *channel)
{
	bsh_session_init(&channel->session, channel->identity->key);
	bsh_loop_timer_after(&channel->timer, BSH_CHANNEL_HANDSHAKE_TIMEOUT_US);
	send_hello(channel);
}

static void on_open(void *ctx, bsh_frame_link_t *link)
{
	(void)link;
	start_session(ctx);
}

static const bsh_frame_link_ops_t link_ops = {
	.on_open = on_open,
	.on_frame = on_frame,
	.on_close = on_link_close,
};

static void connect_link(bsh_channel_t *channel)
{
	channel->link = bsh_frame_link_connect(
		channel->loop, channel->connect_address, &link_ops, channel);
	/* Limits the time for connecting; start_session() restarts it. */
	bsh_loop_timer_after(&channel->timer, BSH_CHANNEL_HANDSHAKE_TIMEOUT_US);
}

static void on_timer(void *ctx)
{
	bsh_channel_t *channel = ctx;

	if (channel->link == NULL && channel->listener == NULL)
		connect_link(channel);
	else
		disconnect(channel);
}

static bsh_channel_t *make_channel(bsh_loop_t *loop,
				   const bsh_identity_t *identity,
				   const bsh_channel_ops_t *ops, void *ctx)
{
	bsh_channel_t *channel = g_new0(bsh_channel_t, 1);

	channel->loop = loop;
	channel->identity = identity;
	channel->ops = ops;
	channel->ctx = ctx;
	channel->retry_us = BSH_CHANNEL_RETRY_MIN_US;
	bsh_loop_timer_init(&channel->timer, loop, on_timer, channel);
	bsh_loop_task_init(&channel->free_task, loop, free_channel, channel);
	return channel;
}

bsh_channel_t *bsh_channel_connect(bsh_loop_t *loop,
				   const bsh_identity_t *identity,
				   const char *address,
				   const bsh_channel_ops_t *ops, void *ctx)
{
	bsh_channel_t *channel = make_channel(loop, identity, ops, ctx);

	channel->connect_address = g_strdup(address);
	connect_link(channel);
	return channel;
}

bool bsh_channel_is_up(const bsh_channel_t *channel)
{
	return channel->is_up;
}

bsh_role_t bsh_channel_peer_role(const bsh_channel_t *channel)
{
	return channel->peer_role;
}

const char *bsh_channel_peer_name(const bsh_channel_t *channel)
{
	return channel->peer_name;
}

uint64_t bsh_channel_peer_incarnation(const bsh_channel_t *channel)
{
	return channel->peer_incarnation;
}

const char *bsh_channel_peer_address(const bsh_channel_t *channel)
{
	return channel->peer_address;
}

void bsh_channel_set_data(bsh_channel_t *channel, void *data)
{
	channel->data = data;
}

void *bsh_channel_data(const bsh_channel_t *channel)
{
	return channel->data;
}

bsh_error_t bsh_channel_send(bsh_channel_t *channel, bsh_message_t *message)
{
	if (!channel->is_up || channel->link == NULL)
		return BSH_ERR_CONNECT;
	return send_message(channel, message);
}

static void on_accept(void *ctx, bsh_frame_link_t *link)
{
	bsh_channel_listener_t *listener = ctx;
	bsh_channel_t *channel =
		make_channel(listener->loop, listener->identity, listener->ops,
			     listener->ctx);

	channel->listener = listener;
	channel->link = link;
	g_ptr_array_add(listener->channels, channel);
	bsh_frame_link_set_ops(link, &link_ops, channel);
	start_session(channel);
}

bsh_channel_listener_t *
bsh_channel_listen(bsh_loop_t *loop, const bsh_identity_t *identity,
		   const char *address, const bsh_channel_ops_t *ops, void *ctx)
{
	bsh_channel_listener_t *listener = g_new0(bsh_channel_listener_t, 1);

	listener->loop = loop;
	listener->identity = identity;
	listener->ops = ops;
	listener->ctx = ctx;
	listener->channels = g_ptr_array_new();
	listener->listener =
		bsh_frame_listener_open(loop, address, on_accept, listener);
	if (listener->listener == NULL) {
		bsh_channel_listener_close(listener);
		return NULL;
	}
	return listener;
}

uint16_t bsh_channel_listener_port(const bsh_channel_listener_t *listener)
{
	return bsh_frame_listener_port(listener->listener);
}

void bsh_channel_listener_close(bsh_channel_listener_t *listener)
{
	while (listener->channels->len > 0)
		bsh_channel_close(g_ptr_array_index(listener->channels, 0));
	g_ptr_array_free(listener->channels, TRUE);
	if (listener->listener != NULL)
		bsh_frame_listener_close(listener->listener);
	g_free(listener);
}
