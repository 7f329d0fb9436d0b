#include "support/raw_target.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define REPEAT_BLOCK_BYTES 65536
/* Receive buffer of a connection: the peer cannot send more before it is read. */
#define RECEIVE_BYTES  65536
#define RESET_DELAY_US 100000
/* Step in which a kept connection sees that the target is stopped. */
#define STOP_STEP_US 20000
/* Time between two pieces, in which the peer reads the first. */
#define PIECE_DELAY_US 200

static const char refusal[] = "HTTP/1.1 503 Busy\r\n"
			      "Content-Length: 0\r\n\r\n";

typedef struct {
	raw_target_t *target;
	int fd;
} connection_t;

static bool write_all(int fd, const char *data, size_t size)
{
	while (size > 0) {
		ssize_t n = send(fd, data, size, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		size -= (size_t)n;
	}
	return true;
}

static bool write_pieces(int fd, const raw_answer_t *answer)
{
	size_t step = answer->piece_bytes;

	if (step == 0)
		return write_all(fd, answer->text, answer->size);
	for (size_t at = 0; at < answer->size; at += step) {
		if (!write_all(fd, answer->text + at,
			       MIN(step, answer->size - at)))
			return false;
		g_usleep(PIECE_DELAY_US);
	}
	return true;
}

static void write_answer(raw_target_t *target, int fd,
			 const raw_answer_t *answer)
{
	GString *block = g_string_new(NULL);
	long long written = (long long)answer->size;

	while (answer->repeat != NULL && block->len < REPEAT_BLOCK_BYTES)
		g_string_append(block, answer->repeat);
	if (write_pieces(fd, answer))
		while (answer->repeat != NULL &&
		       written < RAW_REPEAT_MAX_BYTES &&
		       write_all(fd, block->str, block->len))
			written += (long long)block->len;
	if (written > atomic_load(&target->written))
		atomic_store(&target->written, written);
	g_string_free(block, TRUE);
}

static void read_some(int fd, size_t size)
{
	char block[4096];
	ssize_t n = 1;

	while (size > 0 && n > 0) {
		n = recv(fd, block, MIN(size, sizeof(block)), 0);
		size -= n > 0 ? (size_t)n : 0;
	}
}

static void write_later(int fd, const raw_answer_t *answer)
{
	if (answer->later == NULL)
		return;
	g_usleep(answer->later_us);
	write_all(fd, answer->later, strlen(answer->later));
}

static void end_connection(int fd, raw_end_t end)
{
	struct linger reset = { 1, 0 };

	if (end == RAW_RESET) {
		g_usleep(RESET_DELAY_US);
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	} else if (end == RAW_FINISH) {
		shutdown(fd, SHUT_WR);
		read_some(fd, SIZE_MAX);
	}
	close(fd);
}

/* Returns the size of the head, or what recv(2) returns at the end. */
static ssize_t read_head(const raw_target_t *target, int fd, char *head,
			 size_t size)
{
	struct timeval step = { .tv_usec = STOP_STEP_US };
	ssize_t n;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &step, sizeof(step));
	do
		n = recv(fd, head, size, 0);
	while (n < 0 && errno == EAGAIN && !atomic_load(&target->stopped));
	step.tv_usec = 0;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &step, sizeof(step));
	return n;
}

/* Reads the rest of a body of which the first bytes came with the head. */
static void read_request(int fd, size_t body_bytes, const char *head,
			 size_t size)
{
	const char *end = memmem(head, size, "\r\n\r\n", 4);
	size_t had = end != NULL ? size - (size_t)(end + 4 - head) : 0;

	if (body_bytes > had)
		read_some(fd, body_bytes - had);
}

/* Reads the head of a request and answers it.  A connection that is only tried
 * sends nothing. */
static raw_end_t serve_request(raw_target_t *target, int fd)
{
	raw_answer_t answer;
	char head[4096];
	ssize_t n = read_head(target, fd, head, sizeof(head));

	if (n <= 0)
		return RAW_CLOSE;
	if (memmem(head, (size_t)n, " /api/", 6) != NULL) {
		write_all(fd, refusal, sizeof(refusal) - 1);
		return RAW_CLOSE;
	}
	g_mutex_lock(&target->mutex);
	answer = target->answer;
	g_mutex_unlock(&target->mutex);
	atomic_fetch_add(&target->served, 1);
	read_request(fd, answer.request_bytes, head, (size_t)n);
	write_answer(target, fd, &answer);
	write_later(fd, &answer);
	read_some(fd, answer.read_bytes);
	return answer.end;
}

static void *serve_connection(void *ctx)
{
	connection_t *connection = ctx;
	raw_target_t *target = connection->target;
	raw_end_t end;

	do
		end = serve_request(target, connection->fd);
	while (end == RAW_KEEP);
	end_connection(connection->fd, end);
	atomic_fetch_sub(&target->open, 1);
	g_free(connection);
	return NULL;
}

static void *accept_connections(void *ctx)
{
	raw_target_t *target = ctx;
	int no_delay = 1;
	int fd;

	while ((fd = accept(target->fd, NULL, NULL)) >= 0) {
		connection_t *connection = g_new0(connection_t, 1);
		pthread_t thread;

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay,
			   sizeof(no_delay));
		connection->target = target;
		connection->fd = fd;
		atomic_fetch_add(&target->open, 1);
		pthread_create(&thread, NULL, serve_connection, connection);
		pthread_detach(thread);
	}
	return NULL;
}

void raw_target_start(raw_target_t *target, char *address, size_t size)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t at_size = sizeof(at);
	int receive_bytes = RECEIVE_BYTES;

	memset(target, 0, sizeof(*target));
	g_mutex_init(&target->mutex);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	target->fd = socket(AF_INET, SOCK_STREAM, 0);
	/* Connections inherit it. */
	setsockopt(target->fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
		   sizeof(receive_bytes));
	g_assert_cmpint(bind(target->fd, (struct sockaddr *)&at, sizeof(at)),
			==, 0);
	g_assert_cmpint(listen(target->fd, 512), ==, 0);
	getsockname(target->fd, (struct sockaddr *)&at, &at_size);
	g_snprintf(address, (gulong)size, "127.0.0.1:%u", ntohs(at.sin_port));
	pthread_create(&target->thread, NULL, accept_connections, target);
}

void raw_target_set(raw_target_t *target, const raw_answer_t *answer)
{
	g_mutex_lock(&target->mutex);
	target->answer = *answer;
	g_mutex_unlock(&target->mutex);
}

void raw_target_stop(raw_target_t *target)
{
	atomic_store(&target->stopped, true);
	shutdown(target->fd, SHUT_RDWR);
	pthread_join(target->thread, NULL);
	close(target->fd);
}
