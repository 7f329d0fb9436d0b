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
#define EVENTS	     256
#define BUFFER_BYTES 65536

typedef struct side {
	int fd;
	struct side *other;
	char *rest; /* not yet written to fd */
	size_t rest_size;
	gboolean closed;
} side_t;

static int epoll_fd;
static struct sockaddr_in target_address;
static GPtrArray *closed_sides; /* freed after a round */

static void watch(side_t *side, int op, uint32_t events)
{
	struct epoll_event event = { .events = events, .data.ptr = side };

	if (epoll_ctl(epoll_fd, op, side->fd, &event) != 0)
		err(1, "epoll_ctl");
}

static void close_pair(side_t *side)
{
	side_t *pair[] = { side, side->other };

	for (int i = 0; i < 2; i++) {
		if (pair[i]->closed)
			continue;
		pair[i]->closed = TRUE;
		close(pair[i]->fd);
		g_ptr_array_add(closed_sides, pair[i]);
	}
}

static void free_side(side_t *side)
{
	g_free(side->rest);
	g_free(side);
}

static side_t *new_side(int fd)
{
	side_t *side = g_new0(side_t, 1);
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	side->fd = fd;
	return side;
}

static void accept_pair(int listener)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
	int out;
	side_t *a;
	side_t *b;

	if (fd < 0)
		return;
	/* On loopback the connection is made within the call. */
	out = socket(AF_INET, SOCK_STREAM, 0);
	if (out < 0 || connect(out, (const struct sockaddr *)&target_address,
			       sizeof(target_address)) != 0) {
		warn("connect");
		close(fd);
		return;
	}
	a = new_side(fd);
	b = new_side(out);
	a->other = b;
	b->other = a;
	watch(a, EPOLL_CTL_ADD, EPOLLIN);
	watch(b, EPOLL_CTL_ADD, EPOLLIN);
}

static void keep_rest(side_t *side, const char *data, size_t size)
{
	side->rest = g_memdup2(data, size);
	side->rest_size = size;
	watch(side, EPOLL_CTL_MOD, EPOLLOUT);
	watch(side->other, EPOLL_CTL_MOD, 0);
}

static void copy(side_t *side)
{
	static char buffer[BUFFER_BYTES];
	ssize_t n = recv(side->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	ssize_t m;

	if (n <= 0) {
		if (n == 0 || errno != EAGAIN)
			close_pair(side);
		return;
	}
	m = send(side->other->fd, buffer, (size_t)n,
		 MSG_DONTWAIT | MSG_NOSIGNAL);
	if (m < 0 && errno != EAGAIN) {
		close_pair(side);
		return;
	}
	m = MAX(m, 0);
	if (m < n)
		keep_rest(side->other, buffer + m, (size_t)(n - m));
}

static void write_rest(side_t *side)
{
	ssize_t m = send(side->fd, side->rest, side->rest_size,
			 MSG_DONTWAIT | MSG_NOSIGNAL);

	if (m < 0) {
		if (errno != EAGAIN)
			close_pair(side);
		return;
	}
	side->rest_size -= (size_t)m;
	memmove(side->rest, side->rest + m, side->rest_size);
	if (side->rest_size > 0)
		return;
	g_free(side->rest);
	side->rest = NULL;
	watch(side, EPOLL_CTL_MOD, EPOLLIN);
	watch(side->other, EPOLL_CTL_MOD, EPOLLIN);
}

static void run(int listener)
{
	struct epoll_event events[EVENTS];
	struct epoll_event own = { .events = EPOLLIN, .data.ptr = NULL };

	closed_sides = g_ptr_array_new();
	epoll_fd = epoll_create1(0);
	if (epoll_fd < 0 ||
	    epoll_ctl(epoll_fd, EPOLL_CTL_ADD, listener, &own) != 0)
		err(1, "epoll");
	for (;;) {
		int n = epoll_wait(epoll_fd, events, EVENTS, -1);

		for (int i = 0; i < n; i++) {
			side_t *side = events[i].data.ptr;

			if (side == NULL)
				accept_pair(listener);
			else if (side->closed)
				continue;
			else if (side->rest != NULL)
				write_rest(side);
			else
				copy(side);
		}
		for (guint i = 0; i < closed_sides->len; i++)
			free_side(g_ptr_array_index(closed_sides, i));
		g_ptr_array_set_size(closed_sides, 0);
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
		err(1, "cannot listen");
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
