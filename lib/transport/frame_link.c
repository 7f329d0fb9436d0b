#include "transport/frame_link.h"

#include <apr_network_io.h>
#include <apr_portable.h>
#include <glib.h>
#include <string.h>

#include "base/settings.h"

#define READ_BYTES     65536
#define LISTEN_BACKLOG 512
#define LENGTH_BYTES   4

struct bsh_frame_link {
	bsh_loop_t *loop;
	apr_pool_t *pool;
	apr_socket_t *socket;
	bsh_loop_watch_t *watch;
	const bsh_frame_link_ops_t *ops;
	void *ctx;
	GByteArray *in;
	GByteArray *out;
	size_t out_offset;
	/* Reports a failure found during a send, and frees a closed link.  Both
	 * are deferred, because the caller on the stack may still use the
	 * link. */
	bsh_loop_task_t task;
	bsh_error_t close_reason;
	bool connecting;
	bool closed; /* socket closed, link not yet freed */
};

struct bsh_frame_listener {
	bsh_loop_t *loop;
	apr_pool_t *pool;
	apr_socket_t *socket;
	bsh_loop_watch_t *watch;
	uint16_t port;
	void (*on_accept)(void *ctx, bsh_frame_link_t *link);
	void *ctx;
};

static void free_link(bsh_frame_link_t *link)
{
	bsh_loop_task_cancel(&link->task);
	g_byte_array_free(link->in, TRUE);
	g_byte_array_free(link->out, TRUE);
	apr_pool_destroy(link->pool);
	g_free(link);
}

void bsh_frame_link_close(bsh_frame_link_t *link)
{
	if (link->closed)
		return;
	link->closed = true;
	if (link->watch != NULL)
		bsh_loop_unwatch(link->watch);
	link->watch = NULL;
	apr_socket_close(link->socket);
	bsh_loop_task_schedule(&link->task);
}

static void close_and_report(bsh_frame_link_t *link, bsh_error_t reason)
{
	if (link->closed)
		return;
	bsh_frame_link_close(link);
	if (link->ops != NULL)
		link->ops->on_close(link->ctx, link, reason);
}

static void on_deferred_task(void *ctx)
{
	bsh_frame_link_t *link = ctx;

	if (link->closed)
		free_link(link);
	else
		close_and_report(link, link->close_reason);
}

static void close_later(bsh_frame_link_t *link, bsh_error_t reason)
{
	link->close_reason = reason;
	bsh_loop_task_schedule(&link->task);
}

static uint32_t decode_length(const uint8_t *bytes)
{
	return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
	       (uint32_t)bytes[2] << 8 | bytes[3];
}

/* Pass all complete frames of the input buffer to on_frame. */
static void deliver_frames(bsh_frame_link_t *link)
{
	size_t offset = 0;

	while (!link->closed && link->in->len - offset >= LENGTH_BYTES) {
		uint32_t length = decode_length(link->in->data + offset);

		if (length > BSH_FRAME_MAX_BYTES) {
			close_and_report(link, BSH_ERR_TOO_LARGE);
			return;
		}
		if (link->in->len - offset < LENGTH_BYTES + (size_t)length)
			break;
		if (link->ops != NULL)
			link->ops->on_frame(
				link->ctx, link,
				link->in->data + offset + LENGTH_BYTES, length);
		offset += LENGTH_BYTES + (size_t)length;
	}
	if (offset > 0)
		g_byte_array_remove_range(link->in, 0, (guint)offset);
}

static void read_input(bsh_frame_link_t *link)
{
	uint8_t chunk[READ_BYTES];
	apr_size_t n = sizeof(chunk);
	apr_status_t status = apr_socket_recv(link->socket, (char *)chunk, &n);

	if (n > 0) {
		g_byte_array_append(link->in, chunk, (guint)n);
		deliver_frames(link);
	}
	if (link->closed)
		return;
	if (status == APR_EOF)
		close_and_report(link, link->in->len == 0
					       ? BSH_OK
					       : BSH_ERR_CONNECTION_LOST);
	else if (status != APR_SUCCESS && !APR_STATUS_IS_EAGAIN(status))
		close_and_report(link, BSH_ERR_CONNECTION_LOST);
}

/* Send as much of the queue as the socket accepts; false if the connection is
 * lost. */
static bool flush_output(bsh_frame_link_t *link)
{
	while (link->out_offset < link->out->len) {
		apr_size_t n = link->out->len - link->out_offset;
		apr_status_t status = apr_socket_send(
			link->socket,
			(const char *)link->out->data + link->out_offset, &n);

		link->out_offset += n;
		if (APR_STATUS_IS_EAGAIN(status))
			break;
		if (status != APR_SUCCESS)
			return false;
	}
	if (link->out_offset == link->out->len) {
		g_byte_array_set_size(link->out, 0);
		link->out_offset = 0;
	} else if (link->out_offset > READ_BYTES) {
		g_byte_array_remove_range(link->out, 0,
					  (guint)link->out_offset);
		link->out_offset = 0;
	}
	bsh_loop_watch_set(link->watch, link->out->len > 0
						? BSH_LOOP_READ | BSH_LOOP_WRITE
						: BSH_LOOP_READ);
	return true;
}

static void on_connect_done(bsh_frame_link_t *link)
{
	int error = 0;
	socklen_t size = sizeof(error);
	apr_os_sock_t fd;

	apr_os_sock_get(&fd, link->socket);
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
	    error != 0) {
		close_and_report(link, BSH_ERR_CONNECT);
		return;
	}
	link->connecting = false;
	if (link->ops->on_open != NULL)
		link->ops->on_open(link->ctx, link);
	if (!link->closed && !flush_output(link))
		close_and_report(link, BSH_ERR_CONNECTION_LOST);
}

static void on_event(void *ctx, int fd, unsigned int events)
{
	bsh_frame_link_t *link = ctx;

	(void)fd;
	if (link->connecting) {
		on_connect_done(link);
		return;
	}
	if (events & (BSH_LOOP_READ | BSH_LOOP_ERROR))
		read_input(link);
	if (!link->closed && (events & BSH_LOOP_WRITE) && !flush_output(link))
		close_and_report(link, BSH_ERR_CONNECTION_LOST);
}

bsh_error_t bsh_frame_link_send(bsh_frame_link_t *link, const void *head,
				size_t head_bytes, const void *body,
				size_t body_bytes)
{
	size_t length = head_bytes + body_bytes;
	uint8_t prefix[LENGTH_BYTES] = { (uint8_t)(length >> 24),
					 (uint8_t)(length >> 16),
					 (uint8_t)(length >> 8),
					 (uint8_t)length };

	if (length > BSH_FRAME_MAX_BYTES)
		return BSH_ERR_TOO_LARGE;
	if (link->closed || link->task.queued)
		return BSH_ERR_CONNECTION_LOST;
	if (link->out->len - link->out_offset + length >
	    BSH_LINK_QUEUE_MAX_BYTES) {
		close_later(link, BSH_ERR_CONNECTION_LOST);
		return BSH_ERR_CONNECTION_LOST;
	}
	g_byte_array_append(link->out, prefix, sizeof(prefix));
	g_byte_array_append(link->out, head, (guint)head_bytes);
	g_byte_array_append(link->out, body, (guint)body_bytes);
	if (!link->connecting && !flush_output(link)) {
		close_later(link, BSH_ERR_CONNECTION_LOST);
		return BSH_ERR_CONNECTION_LOST;
	}
	return BSH_OK;
}

static void set_socket_options(apr_socket_t *socket)
{
	apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(socket, 0);
	apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
}

static bsh_frame_link_t *create_link(bsh_loop_t *loop, apr_pool_t *pool,
				     apr_socket_t *socket, unsigned int events)
{
	bsh_frame_link_t *link = g_new0(bsh_frame_link_t, 1);
	apr_os_sock_t fd;

	link->loop = loop;
	link->pool = pool;
	link->socket = socket;
	link->in = g_byte_array_new();
	link->out = g_byte_array_new();
	bsh_loop_task_init(&link->task, loop, on_deferred_task, link);
	apr_os_sock_get(&fd, socket);
	link->watch = bsh_loop_watch(loop, fd, events, on_event, link);
	if (link->watch == NULL) {
		apr_socket_close(socket);
		free_link(link);
		return NULL;
	}
	return link;
}

static apr_socket_t *create_socket(apr_pool_t *pool, const char *address,
				   apr_sockaddr_t **sockaddr)
{
	char host[BSH_ADDRESS_SIZE];
	apr_socket_t *socket = NULL;
	uint16_t port;

	if (bsh_address_split(address, host, sizeof(host), &port) != BSH_OK ||
	    apr_sockaddr_info_get(sockaddr, host, APR_UNSPEC, port, 0, pool) !=
		    APR_SUCCESS ||
	    apr_socket_create(&socket, (*sockaddr)->family, SOCK_STREAM,
			      APR_PROTO_TCP, pool) != APR_SUCCESS)
		return NULL;
	return socket;
}

bsh_frame_link_t *bsh_frame_link_connect(bsh_loop_t *loop, const char *address,
					 const bsh_frame_link_ops_t *ops,
					 void *ctx)
{
	apr_pool_t *pool;
	apr_sockaddr_t *sockaddr;
	apr_socket_t *socket;
	bsh_frame_link_t *link;
	apr_status_t status;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return NULL;
	socket = create_socket(pool, address, &sockaddr);
	if (socket == NULL) {
		apr_pool_destroy(pool);
		return NULL;
	}
	set_socket_options(socket);
	status = apr_socket_connect(socket, sockaddr);
	link = create_link(loop, pool, socket, BSH_LOOP_WRITE);
	if (link == NULL)
		return NULL;
	link->ops = ops;
	link->ctx = ctx;
	link->connecting = true;
	if (status != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(status))
		close_later(link, BSH_ERR_CONNECT);
	return link;
}

void bsh_frame_link_set_ops(bsh_frame_link_t *link,
			    const bsh_frame_link_ops_t *ops, void *ctx)
{
	link->ops = ops;
	link->ctx = ctx;
}

static void on_connection_pending(void *ctx, int fd, unsigned int events)
{
	bsh_frame_listener_t *listener = ctx;
	apr_pool_t *pool;
	apr_socket_t *socket;
	bsh_frame_link_t *link;

	(void)fd;
	(void)events;
	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return;
	if (apr_socket_accept(&socket, listener->socket, pool) != APR_SUCCESS) {
		apr_pool_destroy(pool);
		return;
	}
	set_socket_options(socket);
	link = create_link(listener->loop, pool, socket, BSH_LOOP_READ);
	if (link != NULL)
		listener->on_accept(listener->ctx, link);
}

static bool open_listener(bsh_frame_listener_t *listener, const char *address)
{
	apr_sockaddr_t *sockaddr;
	apr_os_sock_t fd;

	listener->socket = create_socket(listener->pool, address, &sockaddr);
	if (listener->socket == NULL)
		return false;
	apr_socket_opt_set(listener->socket, APR_SO_REUSEADDR, 1);
	apr_socket_opt_set(listener->socket, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(listener->socket, 0);
	if (apr_socket_bind(listener->socket, sockaddr) != APR_SUCCESS ||
	    apr_socket_listen(listener->socket, LISTEN_BACKLOG) !=
		    APR_SUCCESS ||
	    apr_socket_addr_get(&sockaddr, APR_LOCAL, listener->socket) !=
		    APR_SUCCESS)
		return false;
	listener->port = sockaddr->port;
	apr_os_sock_get(&fd, listener->socket);
	listener->watch = bsh_loop_watch(listener->loop, fd, BSH_LOOP_READ,
					 on_connection_pending, listener);
	return listener->watch != NULL;
}

bsh_frame_listener_t *
bsh_frame_listener_open(bsh_loop_t *loop, const char *address,
			void (*on_accept)(void *ctx, bsh_frame_link_t *link),
			void *ctx)
{
	bsh_frame_listener_t *listener = g_new0(bsh_frame_listener_t, 1);

	listener->loop = loop;
	listener->on_accept = on_accept;
	listener->ctx = ctx;
	if (apr_pool_create(&listener->pool, NULL) != APR_SUCCESS) {
		g_free(listener);
		return NULL;
	}
	if (!open_listener(listener, address)) {
		bsh_frame_listener_close(listener);
		return NULL;
	}
	return listener;
}

uint16_t bsh_frame_listener_port(const bsh_frame_listener_t *listener)
{
	return listener->port;
}

void bsh_frame_listener_close(bsh_frame_listener_t *listener)
{
	if (listener->watch != NULL)
		bsh_loop_unwatch(listener->watch);
	/* Destroying the pool closes the socket. */
	apr_pool_destroy(listener->pool);
	g_free(listener);
}
