#include "support/relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES    16384
#define SEND_RETRY_US 5000

typedef struct link link_t;

/* One direction of a proxied connection. */
typedef struct {
	link_t *link;
	int from;
	int to;
	GString *pending;	/* read and not yet sent */
	bsh_loop_timer_t timer; /* delay or send retry */
	bool ended;		/* end of file read from the source */
	bool from_server;
} pipe_t;

struct link {
	relay_t *relay;
	int fds[2]; /* client, server */
	bsh_loop_watch_t *watches[2];
	pipe_t pipes[2];
	bool stalled; /* forwards nothing until it is closed */
};

static void destroy_link(link_t *link, bool reset)
{
	struct linger reset_on_close = { .l_onoff = 1 };

	for (int i = 0; i < 2; i++) {
		bsh_loop_timer_stop(&link->pipes[i].timer);
		bsh_loop_unwatch(link->watches[i]);
		if (reset)
			setsockopt(link->fds[i], SOL_SOCKET, SO_LINGER,
				   &reset_on_close, sizeof(reset_on_close));
		close(link->fds[i]);
		g_string_free(link->pipes[i].pending, TRUE);
	}
	g_free(link);
}

static void close_link(link_t *link, bool reset)
{
	g_ptr_array_remove_fast(link->relay->links, link);
	destroy_link(link, reset);
}

static bool is_held_back(const pipe_t *pipe)
{
	relay_mode_t mode = pipe->link->relay->mode;

	return pipe->link->stalled || mode == RELAY_HOLDS_ALL ||
	       (mode == RELAY_HOLDS_ANSWERS && pipe->from_server);
}

/* Sends pending data unless the mode holds it back.  Returns false if the link
 * was closed and freed. */
static bool flush(pipe_t *pipe)
{
	while (pipe->pending->len > 0 && !is_held_back(pipe)) {
		ssize_t n = send(pipe->to, pipe->pending->str,
				 pipe->pending->len, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			bsh_loop_timer_after(&pipe->timer, SEND_RETRY_US);
			return true;
		}
		if (n < 0) {
			close_link(pipe->link, true);
			return false;
		}
		g_string_erase(pipe->pending, 0, n);
	}
	if (pipe->pending->len == 0 && pipe->ended) {
		close_link(pipe->link, false);
		return false;
	}
	return true;
}

static void on_pipe_timer(void *ctx)
{
	flush(ctx);
}

static void on_readable(void *ctx, int fd, unsigned int events)
{
	link_t *link = ctx;
	pipe_t *pipe = &link->pipes[fd == link->fds[0] ? 0 : 1];
	char data[READ_BYTES];
	ssize_t n = recv(fd, data, sizeof(data), MSG_DONTWAIT);

	(void)events;
	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
		return;
	if (n < 0) {
		close_link(link, true);
		return;
	}
	if (n == 0) {
		pipe->ended = true;
		bsh_loop_watch_set(link->watches[fd == link->fds[0] ? 0 : 1],
				   0);
	}
	g_string_append_len(pipe->pending, data, n);
	if (link->relay->mode == RELAY_DELAYS)
		bsh_loop_timer_after(&pipe->timer, RELAY_DELAY_MS * 1000);
	else
		flush(pipe);
}

static int connect_to(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void on_connection(void *ctx, int fd, unsigned int events)
{
	relay_t *relay = ctx;
	int client = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int server;
	link_t *link;

	(void)events;
	if (client < 0)
		return;
	server = connect_to(relay->to_port);
	if (server < 0) {
		close(client);
		return;
	}
	link = g_new0(link_t, 1);
	link->relay = relay;
	link->fds[0] = client;
	link->fds[1] = server;
	for (int i = 0; i < 2; i++) {
		link->pipes[i].link = link;
		link->pipes[i].from = link->fds[i];
		link->pipes[i].to = link->fds[1 - i];
		link->pipes[i].from_server = i == 1;
		link->pipes[i].pending = g_string_new(NULL);
		bsh_loop_timer_init(&link->pipes[i].timer, relay->loop,
				    on_pipe_timer, &link->pipes[i]);
		link->watches[i] =
			bsh_loop_watch(relay->loop, link->fds[i], BSH_LOOP_READ,
				       on_readable, link);
	}
	g_ptr_array_add(relay->links, link);
}

static int bound_socket(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, sizeof(address)),
			==, 0);
	return fd;
}

/* Takes a free port with a socket that never listens and stays bound, so that no
 * other process gets the port while the relay does not listen. */
static void take_port(relay_t *relay)
{
	struct sockaddr_in address = { 0 };
	socklen_t size = sizeof(address);

	relay->port_owner = bound_socket(0);
	g_assert_cmpint(getsockname(relay->port_owner,
				    (struct sockaddr *)&address, &size),
			==, 0);
	relay->port = ntohs(address.sin_port);
}

static void start_listening(relay_t *relay)
{
	relay->listener = bound_socket(relay->port);
	g_assert_cmpint(listen(relay->listener, 128), ==, 0);
	relay->watch = bsh_loop_watch(relay->loop, relay->listener,
				      BSH_LOOP_READ, on_connection, relay);
}

static void stop_listening(relay_t *relay)
{
	if (relay->hanging)
		relay_set_hanging(relay, false);
	if (relay->watch == NULL)
		return;
	bsh_loop_unwatch(relay->watch);
	relay->watch = NULL;
	close(relay->listener);
}

void relay_init(relay_t *relay, bsh_loop_t *loop, uint16_t to_port)
{
	memset(relay, 0, sizeof(*relay));
	relay->loop = loop;
	relay->to_port = to_port;
	relay->links = g_ptr_array_new();
	take_port(relay);
	start_listening(relay);
	g_snprintf(relay->address, sizeof(relay->address), "127.0.0.1:%u",
		   relay->port);
}

void relay_set_refusing(relay_t *relay, bool refusing)
{
	if (refusing) {
		stop_listening(relay);
		relay_reset_all(relay);
	} else if (relay->watch == NULL && !relay->hanging) {
		start_listening(relay);
	}
}

/* Connections beyond the queue of a listener that accepts none are not
 * established. */
static void fill_queue(relay_t *relay)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(relay->port) };

	bsh_loop_unwatch(relay->watch);
	relay->watch = NULL;
	listen(relay->listener, 0);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (size_t i = 0; i < G_N_ELEMENTS(relay->fillers); i++) {
		relay->fillers[i] = socket(
			AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
		if (connect(relay->fillers[i], (struct sockaddr *)&address,
			    sizeof(address)) != 0)
			g_assert_cmpint(errno, ==, EINPROGRESS);
	}
}

void relay_set_hanging(relay_t *relay, bool hanging)
{
	if (hanging == relay->hanging)
		return;
	relay->hanging = hanging;
	if (hanging) {
		relay_set_mode(relay, RELAY_HOLDS_ALL);
		fill_queue(relay);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(relay->fillers); i++)
		close(relay->fillers[i]);
	listen(relay->listener, 128);
	relay->watch = bsh_loop_watch(relay->loop, relay->listener,
				      BSH_LOOP_READ, on_connection, relay);
	relay_set_mode(relay, RELAY_PASSES);
}

void relay_set_mode(relay_t *relay, relay_mode_t mode)
{
	relay->mode = mode == RELAY_STALLS_OPEN ? RELAY_PASSES : mode;
	for (guint i = relay->links->len; i > 0; i--) {
		link_t *link = g_ptr_array_index(relay->links, i - 1);

		if (mode == RELAY_STALLS_OPEN)
			link->stalled = true;
		else if (flush(&link->pipes[0]))
			flush(&link->pipes[1]);
	}
}

void relay_reset_all(relay_t *relay)
{
	while (relay->links->len > 0)
		destroy_link(g_ptr_array_steal_index_fast(relay->links, 0),
			     true);
}

void relay_finish(relay_t *relay)
{
	relay_reset_all(relay);
	stop_listening(relay);
	close(relay->port_owner);
	g_ptr_array_free(relay->links, TRUE);
}
