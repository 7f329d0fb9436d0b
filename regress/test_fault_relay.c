/* The proxy with which tests cut daemons off. */
#include <apr_general.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/relay.h"

static struct sockaddr_in address_of(const relay_t *relay)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(relay->port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

/* Returns 0 or the error of connect(2). */
static int try_connect(const relay_t *relay)
{
	struct sockaddr_in address = address_of(relay);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int error = 0;

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
		error = errno;
	close(fd);
	return error;
}

/* Returns 0 or the error of bind(2). */
static int try_bind(const relay_t *relay)
{
	struct sockaddr_in address = address_of(relay);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int error = 0;

	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
		error = errno;
	close(fd);
	return error;
}

/* Guards against a port that another process takes while the relay refuses
 * connections: the relay cannot listen there again, and its users reach a
 * foreign server. */
static void test_keeps_port(void)
{
	bsh_loop_t loop;
	relay_t relay;

	g_assert_cmpint(bsh_loop_init(&loop), ==, BSH_OK);
	relay_init(&relay, &loop, 1);
	for (int i = 0; i < 3; i++) {
		g_assert_cmpint(try_connect(&relay), ==, 0);
		relay_set_refusing(&relay, true);
		g_assert_cmpint(try_connect(&relay), ==, ECONNREFUSED);
		g_assert_cmpint(try_bind(&relay), ==, EADDRINUSE);
		relay_set_refusing(&relay, false);
	}
	g_assert_cmpint(try_connect(&relay), ==, 0);
	relay_finish(&relay);
	g_assert_cmpint(try_connect(&relay), ==, ECONNREFUSED);
	bsh_loop_finish(&loop);
}

int main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fault-relay/keeps-port", test_keeps_port);
	return g_test_run();
}
