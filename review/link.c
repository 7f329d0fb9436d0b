#include "link.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "protocol/auth.h"

#define READ_BYTES 65536
/* Where the sender of a datagram is named. */
#define SENDER_WITHIN_BYTES (BSH_SEAL_SIZE_BYTES + 64)

/* One connection of the instance to the store. */
typedef struct {
	link_t *link;
	int fds[2]; /* of the instance, of the store */
	bsh_loop_watch_t *watches[2];
} pipe_t;

static void fail(const char *what)
{
	fprintf(stderr, "case cannot run: %s\n", what);
	exit(2);
}

static void replace(uint8_t *data, size_t size, const char *from,
		    const char *to)
{
	size_t length = strlen(from);

	if (length != strlen(to))
		fail("addresses of different lengths");
	for (size_t at = 0; at + length <= size; at++)
		if (memcmp(data + at, from, length) == 0)
			memcpy(data + at, to, length);
}

/* Addresses as the instance knows them, or as the others do. */
static void rewrite(const link_t *link, uint8_t *data, size_t size,
		    bool towards_self)
{
	const link_end_t *self = &link->self;

	if (link->kept_link != NULL && !towards_self)
		replace(data, size, link->kept_link->self.real,
			link->kept_link->self.proxy);
	replace(data, size, towards_self ? self->proxy : self->real,
		towards_self ? self->real : self->proxy);
	for (uint32_t i = 0; i < link->n_others; i++) {
		const link_end_t *other = &link->others[i];

		replace(data, size, towards_self ? other->real : other->proxy,
			towards_self ? other->proxy : other->real);
	}
}

/* The sender is the first name in a datagram. */
static bool is_from(const uint8_t *data, size_t size, const char *name)
{
	const uint8_t *first = memmem(data, MIN(size, SENDER_WITHIN_BYTES),
				      "front-", strlen("front-"));
	size_t length = strlen(name);

	return length > 0 && first != NULL &&
	       (size_t)(data + size - first) > length &&
	       memcmp(first, name, length) == 0;
}

static bool is_lost(const link_end_t *end, const uint8_t *data, size_t size)
{
	const link_t *link = end->link;

	if (!link->cut)
		return false;
	return end == &link->self ? !is_from(data, size, link->kept)
				  : !end->kept;
}

static void on_datagram(void *ctx, const uint8_t *data, size_t size)
{
	link_end_t *end = ctx;
	link_t *link = end->link;
	uint8_t copy[BSH_UDP_MAX_BYTES];
	uint64_t sequence;

	if (is_lost(end, data, size) ||
	    bsh_datagram_check(link->key, data, size, &sequence) != BSH_OK) {
		link->dropped++;
		return;
	}
	memcpy(copy, data, size);
	rewrite(link, copy + BSH_SEAL_SIZE_BYTES, size - BSH_SEAL_SIZE_BYTES,
		end == &link->self);
	bsh_datagram_seal(link->key, sequence, copy, copy + BSH_SEAL_SIZE_BYTES,
			  size - BSH_SEAL_SIZE_BYTES);
	link->passed++;
	bsh_udp_send(end->udp, end->real, copy, size);
}

/* The address in place of the real one is of the same host: a record of an
 * instance names its host once. */
static void open_end(link_t *link, link_end_t *end, const char *real)
{
	g_auto(GStrv) parts = g_strsplit(real, ":", 2);
	g_autofree char *address = g_strdup_printf("%s:0", parts[0]);

	end->link = link;
	g_strlcpy(end->real, real, sizeof(end->real));
	end->udp =
		bsh_udp_open(&link->stand->rig.loop, address, on_datagram, end);
	if (end->udp == NULL)
		fail("no socket for datagrams");
	g_snprintf(end->proxy, sizeof(end->proxy), "%s:%u", parts[0],
		   bsh_udp_port(end->udp));
}

/* Connections to the store. */

static void close_pipe(pipe_t *pipe)
{
	for (int i = 0; i < 2; i++) {
		bsh_loop_unwatch(pipe->watches[i]);
		close(pipe->fds[i]);
	}
	g_ptr_array_remove_fast(pipe->link->pipes, pipe);
	g_free(pipe);
}

static void on_pipe(void *ctx, int fd, unsigned int events)
{
	pipe_t *pipe = ctx;
	int from = fd == pipe->fds[0] ? 0 : 1;
	static uint8_t data[READ_BYTES];
	ssize_t n;

	(void)events;
	n = recv(fd, data, sizeof(data), MSG_DONTWAIT);
	if (n > 0) {
		rewrite(pipe->link, data, (size_t)n, from == 1);
		if (send(pipe->fds[1 - from], data, (size_t)n, MSG_NOSIGNAL) ==
		    n)
			return;
	}
	close_pipe(pipe);
}

static void connect_store(const link_t *link, int fd)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	g_auto(GStrv) parts = g_strsplit(link->store, ":", 2);

	inet_pton(AF_INET, parts[0], &address.sin_addr);
	address.sin_port = htons((uint16_t)atoi(parts[1]));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
		fail("the store cannot be reached");
}

static void watch_pipe(pipe_t *pipe, bool cut)
{
	for (int i = 0; i < 2; i++)
		bsh_loop_watch_set(pipe->watches[i], cut ? 0 : BSH_LOOP_READ);
}

static void reset(int fd)
{
	struct linger linger = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

static void on_connection(void *ctx, int fd, unsigned int events)
{
	link_t *link = ctx;
	pipe_t *pipe = g_new0(pipe_t, 1);

	(void)events;
	if (link->cut && link->resets) {
		reset(accept(fd, NULL, NULL));
		g_free(pipe);
		return;
	}
	pipe->link = link;
	pipe->fds[0] = accept(fd, NULL, NULL);
	pipe->fds[1] = socket(AF_INET, SOCK_STREAM, 0);
	connect_store(link, pipe->fds[1]);
	for (int i = 0; i < 2; i++)
		pipe->watches[i] =
			bsh_loop_watch(&link->stand->rig.loop, pipe->fds[i],
				       BSH_LOOP_READ, on_pipe, pipe);
	g_ptr_array_add(link->pipes, pipe);
	watch_pipe(pipe, link->cut);
}

static void listen_store(link_t *link, const char *ip, char *address,
			 size_t size)
{
	struct sockaddr_in any = { .sin_family = AF_INET };
	socklen_t length = sizeof(any);

	inet_pton(AF_INET, ip, &any.sin_addr);
	link->listener = socket(AF_INET, SOCK_STREAM, 0);
	if (link->listener < 0 ||
	    bind(link->listener, (struct sockaddr *)&any, length) != 0 ||
	    listen(link->listener, 64) != 0 ||
	    getsockname(link->listener, (struct sockaddr *)&any, &length) != 0)
		fail("the proxy cannot listen");
	link->watch = bsh_loop_watch(&link->stand->rig.loop, link->listener,
				     BSH_LOOP_READ, on_connection, link);
	g_snprintf(address, size, "%s:%u", ip, ntohs(any.sin_port));
}

static void read_key(link_t *link)
{
	char digits[3] = "";

	for (size_t i = 0; i < sizeof(link->key); i++) {
		memcpy(digits, link->stand->key + 2 * i, 2);
		link->key[i] = (uint8_t)strtoul(digits, NULL, 16);
	}
}

rig_entry_t *link_add_instance(link_t *link, stand_t *stand)
{
	char ip[LINK_ADDRESS_SIZE];
	char store[LINK_ADDRESS_SIZE];
	rig_entry_t *entry;
	uint32_t n = stand->rig.n_entries;

	memset(link, 0, sizeof(*link));
	link->stand = stand;
	link->pipes = g_ptr_array_new();
	stand_ip(60, ip, sizeof(ip));
	g_strlcpy(link->store, stand->rig.store_address, sizeof(link->store));
	listen_store(link, ip, store, sizeof(store));
	entry = stand_add_instance(stand, store);
	read_key(link);
	open_end(link, &link->self, stand->gossip[n]);
	for (uint32_t i = 0; i < n; i++)
		open_end(link, &link->others[link->n_others++],
			 stand->gossip[i]);
	return entry;
}

void link_set_cut(link_t *link, bool cut)
{
	link->cut = cut;
	while (cut && link->resets && link->pipes->len > 0)
		close_pipe(g_ptr_array_index(link->pipes, 0));
	for (guint i = 0; i < link->pipes->len; i++)
		watch_pipe(g_ptr_array_index(link->pipes, i), cut);
}

void link_keep(link_t *link, const char *name, const link_t *its_link)
{
	const stand_t *stand = link->stand;

	link->kept_link = its_link;
	g_strlcpy(link->kept, name, sizeof(link->kept));
	for (uint32_t i = 0; i < link->n_others; i++)
		if (strcmp(stand->rig.entries[i].name, name) == 0)
			link->others[i].kept = true;
}

void link_finish(link_t *link)
{
	while (link->pipes->len > 0)
		close_pipe(g_ptr_array_index(link->pipes, 0));
	g_ptr_array_free(link->pipes, TRUE);
	bsh_loop_unwatch(link->watch);
	close(link->listener);
	bsh_udp_close(link->self.udp);
	for (uint32_t i = 0; i < link->n_others; i++)
		bsh_udp_close(link->others[i].udp);
}
