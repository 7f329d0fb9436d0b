/*
 * A TCP relay: PORT TARGET_PORT.  SIGUSR1 cuts all connections and refuses new
 * ones, SIGUSR2 lets new ones through again.  SIGSTOP makes them silent.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define PAIRS_MAX 1024

typedef struct {
	int from;
	int to;
} way_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int open_fds[2 * PAIRS_MAX];
static int open_count;
static bool is_cut;
static uint16_t target;

static struct sockaddr_in loopback(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port),
				       .sin_addr.s_addr =
					       htonl(INADDR_LOOPBACK) };

	return address;
}

/* Descriptors are shut down here and closed when the process ends, so that a
 * number is never reused while the other direction still runs. */
static void *copy(void *data)
{
	way_t *way = data;
	char buffer[65536];
	ssize_t n;

	while ((n = read(way->from, buffer, sizeof(buffer))) > 0) {
		for (ssize_t done = 0; done < n;) {
			ssize_t m = write(way->to, buffer + done,
					  (size_t)(n - done));

			if (m <= 0)
				goto out;
			done += m;
		}
	}
out:
	shutdown(way->from, SHUT_RDWR);
	shutdown(way->to, SHUT_RDWR);
	free(way);
	return NULL;
}

static void start(int from, int to)
{
	way_t *way = malloc(sizeof(*way));
	pthread_t thread;

	if (way == NULL)
		abort();
	way->from = from;
	way->to = to;
	pthread_create(&thread, NULL, copy, way);
	pthread_detach(thread);
}

static void relay(int fd)
{
	struct sockaddr_in address = loopback(target);
	int out = socket(AF_INET, SOCK_STREAM, 0);

	pthread_mutex_lock(&lock);
	if (is_cut || open_count + 2 > 2 * PAIRS_MAX ||
	    connect(out, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		close(out);
	} else {
		open_fds[open_count++] = fd;
		open_fds[open_count++] = out;
		start(fd, out);
		start(out, fd);
	}
	pthread_mutex_unlock(&lock);
}

static void *accept_main(void *data)
{
	int listener = *(int *)data;
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0)
		relay(fd);
	return NULL;
}

static void cut(bool on)
{
	pthread_mutex_lock(&lock);
	is_cut = on;
	for (int i = 0; on && i < open_count; i++)
		shutdown(open_fds[i], SHUT_RDWR);
	pthread_mutex_unlock(&lock);
}

int main(int argc, char **argv)
{
	struct sockaddr_in address =
		loopback(argc > 1 ? (uint16_t)atoi(argv[1]) : 0);
	socklen_t size = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	pthread_t thread;
	sigset_t signals;
	int signo;

	target = argc > 2 ? (uint16_t)atoi(argv[2]) : 0;
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGUSR1);
	sigaddset(&signals, SIGUSR2);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	if (bind(listener, (struct sockaddr *)&address, size) != 0 ||
	    listen(listener, 64) != 0 ||
	    getsockname(listener, (struct sockaddr *)&address, &size) != 0)
		return 1;
	pthread_create(&thread, NULL, accept_main, &listener);
	printf("ready %d\n", ntohs(address.sin_port));
	fflush(stdout);
	while (sigwait(&signals, &signo) == 0 && signo != SIGTERM)
		cut(signo == SIGUSR1);
	return 0;
}
