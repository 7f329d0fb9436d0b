#include "forwarder.h"

#include <err.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG	     1024
#define EVENTS_MAX   256
#define BUFFER_BYTES 65536

typedef struct endpoint {
	int fd;
	struct endpoint *peer;
	char *unsent; /* bytes still to be sent to fd; NULL: none */
	size_t unsent_bytes;
	gboolean is_closed;
} endpoint_t;

static int epoll_fd;
static struct sockaddr_in target_address;
static GPtrArray *closed_endpoints; /* freed after each batch of events */

static void watch(endpoint_t *endpoint, int op, uint32_t events)
{
	struct epoll_event event = { .events = events, .data.ptr = endpoint };

	if (epoll_ctl(epoll_fd, op, endpoint->fd, &event) != 0)
		err(1, "epoll_ctl");
}

static void close_pair(endpoint_t *endpoint)
{
	endpoint_t *pair[] = { endpoint, endpoint->peer };

	for (int i = 0; i < 2; i++) {
		if (pair[i]->is_closed)
			continue;
		pair[i]->is_closed = TRUE;
		close(pair[i]->fd);
		g_ptr_array_add(closed_endpoints, pair[i]);
	}
}

static void free_endpoint(endpoint_t *endpoint)
{
	g_free(endpoint->unsent);
	g_free(endpoint);
}

static endpoint_t *new_endpoint(int fd)
{
	endpoint_t *endpoint = g_new0(endpoint_t, 1);
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	endpoint->fd = fd;
	return endpoint;
}

static void accept_pair(int listener)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
	int out;
	endpoint_t *a;
	endpoint_t *b;

	if (fd < 0)
		return;
	/* On loopback a blocking connect completes at once. */
	out = socket(AF_INET, SOCK_STREAM, 0);
	if (out < 0 || connect(out, (const struct sockaddr *)&target_address,
			       sizeof(target_address)) != 0) {
		warn("cannot connect to the target");
		close(fd);
		return;
	}
	a = new_endpoint(fd);
	b = new_endpoint(out);
	a->peer = b;
	b->peer = a;
	watch(a, EPOLL_CTL_ADD, EPOLLIN);
	watch(b, EPOLL_CTL_ADD, EPOLLIN);
}

static void keep_unsent(endpoint_t *endpoint, const char *data, size_t size)
{
	endpoint->unsent = g_memdup2(data, size);
	endpoint->unsent_bytes = size;
	watch(endpoint, EPOLL_CTL_MOD, EPOLLOUT);
	watch(endpoint->peer, EPOLL_CTL_MOD, 0);
}

static void forward(endpoint_t *endpoint)
{
	static char buffer[BUFFER_BYTES];
	ssize_t n = recv(endpoint->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	ssize_t m;

	if (n <= 0) {
		if (n == 0 || errno != EAGAIN)
			close_pair(endpoint);
		return;
	}
	m = send(endpoint->peer->fd, buffer, (size_t)n,
		 MSG_DONTWAIT | MSG_NOSIGNAL);
	if (m < 0 && errno != EAGAIN) {
		close_pair(endpoint);
		return;
	}
	m = MAX(m, 0);
	if (m < n)
		keep_unsent(endpoint->peer, buffer + m, (size_t)(n - m));
}

static void write_unsent(endpoint_t *endpoint)
{
	ssize_t m = send(endpoint->fd, endpoint->unsent, endpoint->unsent_bytes,
			 MSG_DONTWAIT | MSG_NOSIGNAL);

	if (m < 0) {
		if (errno != EAGAIN)
			close_pair(endpoint);
		return;
	}
	endpoint->unsent_bytes -= (size_t)m;
	memmove(endpoint->unsent, endpoint->unsent + m, endpoint->unsent_bytes);
	if (endpoint->unsent_bytes > 0)
		return;
	g_free(endpoint->unsent);
	endpoint->unsent = NULL;
	watch(endpoint, EPOLL_CTL_MOD, EPOLLIN);
	watch(endpoint->peer, EPOLL_CTL_MOD, EPOLLIN);
}

static void run(int listener)
{
	struct epoll_event events[EVENTS_MAX];
	struct epoll_event own = { .events = EPOLLIN, .data.ptr = NULL };

	closed_endpoints = g_ptr_array_new();
	epoll_fd = epoll_create1(0);
	if (epoll_fd < 0 ||
	    epoll_ctl(epoll_fd, EPOLL_CTL_ADD, listener, &own) != 0)
		err(1, "cannot set up epoll");
	for (;;) {
		int n = epoll_wait(epoll_fd, events, EVENTS_MAX, -1);

		for (int i = 0; i < n; i++) {
			endpoint_t *endpoint = events[i].data.ptr;

			if (endpoint == NULL)
				accept_pair(listener);
			else if (endpoint->is_closed)
				continue;
			else if (endpoint->unsent != NULL)
				write_unsent(endpoint);
			else
				forward(endpoint);
		}
		for (guint i = 0; i < closed_endpoints->len; i++)
			free_endpoint(g_ptr_array_index(closed_endpoints, i));
		g_ptr_array_set_size(closed_endpoints, 0);
	}
}

pid_t forwarder_start(uint16_t target, uint16_t *port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	pid_t pid;

	if (listener < 0 ||
	    bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(listener, BACKLOG) != 0 ||
	    getsockname(listener, (struct sockaddr *)&address, &size) != 0)
		err(1, "cannot listen on the loopback address");
	*port = ntohs(address.sin_port);
	target_address = address;
	target_address.sin_port = htons(target);
	pid = fork();
	if (pid < 0)
		err(1, "fork");
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		run(listener);
	}
	close(listener);
	return pid;
}
