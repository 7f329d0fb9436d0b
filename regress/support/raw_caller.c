#include "support/raw_caller.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define ANSWER_TIMEOUT_S 5

static int connect_to(const char *address)
{
	g_auto(GStrv) parts = g_strsplit(address, ":", 2);
	struct sockaddr_in to = { .sin_family = AF_INET };
	struct timeval timeout = { .tv_sec = ANSWER_TIMEOUT_S };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(fd, >=, 0);
	to.sin_port = htons((uint16_t)atoi(parts[1]));
	g_assert_cmpint(inet_pton(AF_INET, parts[0], &to.sin_addr), ==, 1);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	g_assert_cmpint(connect(fd, (struct sockaddr *)&to, sizeof(to)), ==, 0);
	return fd;
}

static void *call(void *ctx)
{
	raw_caller_t *caller = ctx;
	int fd = connect_to(caller->address);
	size_t sent = 0;
	char block[65536];
	ssize_t n = 1;

	while (sent < caller->request->len && n > 0) {
		n = send(fd, caller->request->str + sent,
			 caller->request->len - sent, MSG_NOSIGNAL);
		sent += n > 0 ? (size_t)n : 0;
	}
	while ((n = recv(fd, block, sizeof(block), 0)) > 0)
		g_string_append_len(caller->bytes, block, n);
	close(fd);
	atomic_store(&caller->done, true);
	return NULL;
}

void raw_caller_start(raw_caller_t *caller, const char *address,
		      const char *path, const char *fields, size_t body_bytes)
{
	size_t head_bytes;

	memset(caller, 0, sizeof(*caller));
	g_strlcpy(caller->address, address, sizeof(caller->address));
	caller->bytes = g_string_new(NULL);
	caller->head = g_string_new(NULL);
	caller->body = g_string_new(NULL);
	caller->request = g_string_new(NULL);
	g_string_printf(caller->request,
			"%s %s HTTP/1.1\r\n%sConnection: close\r\n",
			body_bytes > 0 ? "POST" : "GET", path, fields);
	if (body_bytes > 0)
		g_string_append_printf(caller->request,
				       "Content-Length: %zu\r\n", body_bytes);
	g_string_append(caller->request, "\r\n");
	head_bytes = caller->request->len;
	g_string_set_size(caller->request, head_bytes + body_bytes);
	memset(caller->request->str + head_bytes, 'x', body_bytes);
	g_assert_cmpint(pthread_create(&caller->thread, NULL, call, caller), ==,
			0);
}

/* True for a field: a token, a colon and a value without control bytes. */
static bool is_field(const char *line, size_t size)
{
	const char *colon = memchr(line, ':', size);

	if (colon == NULL || colon == line)
		return false;
	for (const char *at = line; at < colon; at++)
		if (!g_ascii_isalnum(*at) &&
		    (*at == '\0' || strchr("!#$%&'*+-.^_`|~", *at) == NULL))
			return false;
	for (const char *at = colon + 1; at < line + size; at++)
		if (((unsigned char)*at < ' ' && *at != '\t') || *at == 0x7f)
			return false;
	return true;
}

static bool read_status(raw_caller_t *caller, const char *line, size_t size)
{
	if (size < 12 || memcmp(line, "HTTP/1.1 ", 9) != 0)
		return false;
	for (int i = 9; i < 12; i++) {
		if (!g_ascii_isdigit(line[i]))
			return false;
		caller->status = caller->status * 10 + (line[i] - '0');
	}
	return caller->status >= 200 && caller->status < 600 &&
	       (size == 12 || line[12] == ' ');
}

/* Value of the field that begins with name and a colon, or NULL. */
static const char *field(const raw_caller_t *caller, const char *name)
{
	g_autofree char *start = g_strdup_printf("\r\n%s: ", name);
	const char *at = strstr(caller->head->str, start);

	return at != NULL ? at + strlen(start) : NULL;
}

/* Appends the data of all chunks.  Returns true if the last one has come. */
static bool read_chunks(raw_caller_t *caller, const char *at, const char *end)
{
	while (at < end) {
		char *after;
		guint64 size = g_ascii_strtoull(at, &after, 16);

		if (after == at || end - after < 2 ||
		    memcmp(after, "\r\n", 2) != 0)
			return false;
		at = after + 2;
		if (size == 0)
			return end - at == 2 && memcmp(at, "\r\n", 2) == 0;
		g_string_append_len(caller->body, at,
				    (gssize)MIN(size, (guint64)(end - at)));
		if ((guint64)(end - at) < size + 2)
			return false;
		at += size + 2;
	}
	return false;
}

static void read_body(raw_caller_t *caller, const char *at, const char *end)
{
	const char *length = field(caller, "Content-Length");

	if (field(caller, "Transfer-Encoding") != NULL) {
		caller->complete = read_chunks(caller, at, end);
		return;
	}
	g_string_append_len(caller->body, at, end - at);
	caller->complete =
		length == NULL ||
		caller->body->len == g_ascii_strtoull(length, NULL, 10);
}

void raw_caller_read(raw_caller_t *caller)
{
	const char *at = caller->bytes->str;
	const char *end = at + caller->bytes->len;
	const char *head_end = g_strstr_len(at, end - at, "\r\n\r\n");
	bool first = true;

	pthread_join(caller->thread, NULL);
	if (head_end == NULL || memchr(at, '\0', (size_t)(head_end - at)))
		return;
	g_string_append_len(caller->head, at, head_end + 2 - at);
	caller->valid = true;
	while (at < head_end) {
		const char *next = g_strstr_len(at, end - at, "\r\n");
		size_t size = (size_t)(next - at);

		caller->valid =
			caller->valid && (first ? read_status(caller, at, size)
						: is_field(at, size));
		first = false;
		at = next + 2;
	}
	read_body(caller, head_end + 4, end);
}

void raw_caller_clear(raw_caller_t *caller)
{
	g_string_free(caller->request, TRUE);
	g_string_free(caller->bytes, TRUE);
	g_string_free(caller->head, TRUE);
	g_string_free(caller->body, TRUE);
	memset(caller, 0, sizeof(*caller));
}
