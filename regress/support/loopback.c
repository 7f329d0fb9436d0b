#include "support/loopback.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

const char *loopback_ip(void)
{
	static char ip[20];
	unsigned int pid = (unsigned int)getpid();

	if (ip[0] == '\0')
		g_snprintf(ip, sizeof(ip), "127.%u.%u.%u",
			   1 + pid / 62500 % 250, 1 + pid / 250 % 250,
			   1 + pid % 250);
	return ip;
}

uint16_t loopback_free_port(void)
{
	static GHashTable *used;
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	int fd;

	if (used == NULL)
		used = g_hash_table_new(NULL, NULL);
	do {
		fd = socket(AF_INET, SOCK_STREAM, 0);
		address.sin_port = 0;
		inet_pton(AF_INET, loopback_ip(), &address.sin_addr);
		g_assert_cmpint(bind(fd, (struct sockaddr *)&address, size), ==,
				0);
		g_assert_cmpint(
			getsockname(fd, (struct sockaddr *)&address, &size), ==,
			0);
		close(fd);
	} while (!g_hash_table_add(used, GUINT_TO_POINTER(address.sin_port)));
	return ntohs(address.sin_port);
}
