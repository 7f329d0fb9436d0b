/*
 * Loopback TCP proxy with fault injection.
 *
 *	standin_relay PORT TARGET_PORT
 *
 * Listens on PORT (0: any free one), prints "ready PORT" and forwards to
 * TARGET_PORT until SIGTERM.  SIGUSR1 shuts down all connections and closes new
 * ones, SIGUSR2 admits new ones again.  SIGSTOP stalls all connections without
 * closing them.
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

/* One direction of a proxied connection. */
typedef struct {
	int from;
	int to;
} direction_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int open_fds[2 * PAIRS_MAX]; /* all descriptors since the start */
static int open_count;
static bool is_cut;
static uint16_t target_port;

static struct sockaddr_in loopback(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port),
				       .sin_addr.s_addr =
					       htonl(INADDR_LOOPBACK) };

	return address;
}

/* Forwards one direction until an end of file or an error.  Descriptors are
 * only shut down, and closed at the exit of the process, so that no number is
 * reused while the thread of the other direction still uses it. */
static void *copy(void *data)
{
	direction_t *direction = data;
	char buffer[65536];
	ssize_t n;

	while ((n = read(direction->from, buffer, sizeof(buffer))) > 0) {
		for (ssize_t done = 0; done < n;) {
			ssize_t written = write(direction->to, buffer + done,
						(size_t)(n - done));

			if (written <= 0)
				goto out;
			done += written;
		}
	}
out:
	shutdown(direction->from, SHUT_RDWR);
	shutdown(direction->to, SHUT_RDWR);
	free(direction);
	return NULL;
}

static void start_copy(int from, int to)
{
	direction_t *direction = malloc(sizeof(*direction));
	pthread_t thread;

	if (direction == NULL)
		abort();
	direction->from = from;
	direction->to = to;
	pthread_create(&thread, NULL, copy, direction);
	pthread_detach(thread);
}

static void open_pair(int fd)
{
	struct sockaddr_in address = loopback(target_port);
	int out = socket(AF_INET, SOCK_STREAM, 0);

	pthread_mutex_lock(&lock);
	if (is_cut || open_count + 2 > 2 * PAIRS_MAX ||
	    connect(out, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		close(out);
	} else {
		open_fds[open_count++] = fd;
		open_fds[open_count++] = out;
		start_copy(fd, out);
		start_copy(out, fd);
	}
	pthread_mutex_unlock(&lock);
}

static void *accept_main(void *data)
{
	int listener = *(int *)data;
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0)
		open_pair(fd);
	return NULL;
}

static void set_cut(bool on)
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

	target_port = argc > 2 ? (uint16_t)atoi(argv[2]) : 0;
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
		set_cut(signo == SIGUSR1);
	return 0;
}
