#include "transport/udp.h"

#include <apr_network_io.h>
#include <apr_portable.h>

#include "base/counter.h"
#include "base/settings.h"

/* Bound of the datagrams read in one round, so that a flood of them does not
 * delay timers. */
#define ROUND_DATAGRAMS_MAX 64

struct bsh_udp {
	bsh_loop_t *loop;
	apr_pool_t *pool;
	apr_pool_t *send_pool; /* cleared after each send */
	apr_socket_t *socket;
	bsh_loop_watch_t *watch;
	uint16_t port;
	bsh_udp_fn_t on_datagram;
	void *ctx;
};

static bsh_counter_t send_failures = BSH_COUNTER(
	"bsh_udp_send_failed_total", "Datagrams that the system refused.");

static void on_readable(void *ctx, int fd, unsigned int events)
{
	bsh_udp_t *udp = ctx;
	uint8_t data[BSH_UDP_MAX_BYTES + 1];

	(void)fd;
	(void)events;
	for (int i = 0; i < ROUND_DATAGRAMS_MAX; i++) {
		apr_size_t n = sizeof(data);

		if (apr_socket_recv(udp->socket, (char *)data, &n) !=
		    APR_SUCCESS)
			return;
		if (n <= BSH_UDP_MAX_BYTES)
			udp->on_datagram(udp->ctx, data, n);
	}
}

static apr_sockaddr_t *parse_address(apr_pool_t *pool, const char *address)
{
	char host[BSH_ADDRESS_SIZE];
	apr_sockaddr_t *sockaddr;
	uint16_t port;

	if (bsh_address_split(address, host, sizeof(host), &port) != BSH_OK ||
	    apr_sockaddr_info_get(&sockaddr, host, APR_UNSPEC, port, 0, pool) !=
		    APR_SUCCESS)
		return NULL;
	return sockaddr;
}

static bool open_socket(bsh_udp_t *udp, const char *address)
{
	apr_sockaddr_t *sockaddr = parse_address(udp->pool, address);
	apr_os_sock_t fd;

	if (sockaddr == NULL ||
	    apr_socket_create(&udp->socket, sockaddr->family, SOCK_DGRAM,
			      APR_PROTO_UDP, udp->pool) != APR_SUCCESS)
		return false;
	apr_socket_opt_set(udp->socket, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(udp->socket, 0);
	if (apr_socket_bind(udp->socket, sockaddr) != APR_SUCCESS ||
	    apr_socket_addr_get(&sockaddr, APR_LOCAL, udp->socket) !=
		    APR_SUCCESS)
		return false;
	udp->port = sockaddr->port;
	apr_os_sock_get(&fd, udp->socket);
	udp->watch =
		bsh_loop_watch(udp->loop, fd, BSH_LOOP_READ, on_readable, udp);
	return udp->watch != NULL;
}

bsh_udp_t *bsh_udp_open(bsh_loop_t *loop, const char *address,
			bsh_udp_fn_t on_datagram, void *ctx)
{
	bsh_udp_t *udp = g_new0(bsh_udp_t, 1);

	bsh_counter_register(&send_failures);
	udp->loop = loop;
	udp->on_datagram = on_datagram;
	udp->ctx = ctx;
	if (apr_pool_create(&udp->pool, NULL) != APR_SUCCESS) {
		g_free(udp);
		return NULL;
	}
	if (apr_pool_create(&udp->send_pool, udp->pool) != APR_SUCCESS ||
	    !open_socket(udp, address)) {
		bsh_udp_close(udp);
		return NULL;
	}
	return udp;
}

uint16_t bsh_udp_port(const bsh_udp_t *udp)
{
	return udp->port;
}

void bsh_udp_close(bsh_udp_t *udp)
{
	if (udp->watch != NULL)
		bsh_loop_unwatch(udp->watch);
	/* Destroying the pool closes the socket. */
	apr_pool_destroy(udp->pool);
	g_free(udp);
}

bsh_error_t bsh_udp_send(bsh_udp_t *udp, const char *address, const void *data,
			 size_t size_bytes)
{
	apr_size_t n = size_bytes;
	apr_sockaddr_t *sockaddr;
	bsh_error_t err = BSH_OK;

	if (size_bytes > BSH_UDP_MAX_BYTES)
		return BSH_ERR_TOO_LARGE;
	sockaddr = parse_address(udp->send_pool, address);
	if (sockaddr == NULL) {
		err = BSH_ERR_INVALID;
	} else if (apr_socket_sendto(udp->socket, sockaddr, 0, data, &n) !=
		   APR_SUCCESS) {
		bsh_counter_add(&send_failures, 1);
		err = BSH_ERR_SYSTEM;
	}
	apr_pool_clear(udp->send_pool);
	return err;
}
