#include "transport/http_connection.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

static void free_connection(void *data)
{
	bsh_http_connection_t *connection = data;

	g_free(connection->name);
	g_free(connection);
}

void bsh_http_connections_init(bsh_http_connections_t *table)
{
	table->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_connection);
	table->by_fd = g_hash_table_new(NULL, NULL);
}

void bsh_http_connections_finish(bsh_http_connections_t *table)
{
	g_hash_table_destroy(table->by_fd);
	g_hash_table_destroy(table->by_name);
}

bsh_http_connection_t *bsh_http_connection_add(bsh_http_connections_t *table,
					       int fd, const char *name)
{
	bsh_http_connection_t *connection = g_new0(bsh_http_connection_t, 1);

	connection->name = g_strdup(name);
	connection->fd = fd;
	g_hash_table_insert(table->by_name, connection->name, connection);
	g_hash_table_insert(table->by_fd, GINT_TO_POINTER(fd), connection);
	return connection;
}

bsh_http_connection_t *
bsh_http_connection_find(const bsh_http_connections_t *table, const char *name)
{
	return g_hash_table_lookup(table->by_name, name);
}

bsh_http_connection_t *
bsh_http_connection_of(const bsh_http_connections_t *table, int fd)
{
	return g_hash_table_lookup(table->by_fd, GINT_TO_POINTER(fd));
}

void bsh_http_connection_remove(bsh_http_connections_t *table,
				bsh_http_connection_t *connection)
{
	g_hash_table_remove(table->by_fd, GINT_TO_POINTER(connection->fd));
	g_hash_table_remove(table->by_name, connection->name);
}

bool bsh_http_connection_has_input(const bsh_http_connection_t *connection)
{
	char next;

	return connection != NULL &&
	       recv(connection->fd, &next, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool bsh_http_connection_ended(const bsh_http_connection_t *connection)
{
	struct tcp_info info = { .tcpi_state = TCP_CLOSE_WAIT };
	socklen_t size = sizeof(info);
	int unacked_bytes = 0;

	/* Errors leave the values that stand for an end. */
	getsockopt(connection->fd, IPPROTO_TCP, TCP_INFO, &info, &size);
	ioctl(connection->fd, SIOCOUTQ, &unacked_bytes);
	return info.tcpi_state == TCP_CLOSE_WAIT && unacked_bytes == 0;
}
