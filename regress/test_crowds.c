/* Crowds of clients that are not controlled: large bodies that stop just short of
 * their end, chunks, connections, heads, and responses that nobody reads.  The
 * process has to stay within the memory and the descriptors that its settings
 * name, and to answer an ordinary request beside the crowd. */
#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/platform_rig.h"

#define MB	     (1024.0 * 1024)
#define MEMORY_MB    40
#define DESCRIPTORS  300
#define BODY_BYTES   (4U << 20) /* the largest legal one */
#define BODIES	     16
#define CHUNK_BYTES  (64U << 10)
#define TINY_CALLERS 100
#define TINY_BYTES   (400U << 10) /* of the body, in chunks of one byte */
#define SILENT	     600
#define HEADS	     600
#define HEAD_BYTES   (15U << 10)
#define READERS	     160
#define ANSWER_BYTES (250U << 10)
#define CROWD_MAX    600
#define SETTLE_MS    300
#define CALM_MS	     2500
/* Resident memory may be this much above that before the crowd: what the process
 * has grown by with its first requests. */
#define CALM_MB 10.0

#define TEXT(number) #number
#define VALUE(name)  TEXT(name)

static const char settings[] = "[instance]\nmemory_mb=" VALUE(
	MEMORY_MB) "\nmax_descriptors=" VALUE(DESCRIPTORS) "\n";

typedef struct {
	platform_rig_t rig;
	worker_t *worker;
	rig_entry_t *entry;
	int fds[CROWD_MAX]; /* -1: closed by the instance */
	uint32_t n;
	uint32_t asked;
	double calm_mb;
} fixture_t;

/* The process. */

static double memory_mb(const fixture_t *f, const char *key)
{
	g_autofree char *path =
		g_strdup_printf("/proc/%d/status", (int)f->entry->pid);
	g_autofree char *text = NULL;
	const char *at;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return -1;
	at = strstr(text, key);
	return at != NULL ? g_ascii_strtod(at + strlen(key), NULL) / 1024 : -1;
}

static int open_descriptors(const fixture_t *f)
{
	g_autofree char *path =
		g_strdup_printf("/proc/%d/fd", (int)f->entry->pid);
	DIR *folder = opendir(path);
	int n = 0;

	if (folder == NULL)
		return -1;
	while (readdir(folder) != NULL)
		n++;
	closedir(folder);
	return n - 2;
}

static void set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_init(&f->rig);
	f->rig.settings = settings;
	platform_rig_configure(&f->rig, NULL);
	f->worker = platform_rig_add_worker(&f->rig, "desk", NULL);
	f->entry = platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, f->entry);
	platform_rig_run(&f->rig, 500);
	f->calm_mb = memory_mb(f, "VmRSS:");
}

static void leave(fixture_t *f, uint32_t first, uint32_t step)
{
	for (uint32_t i = first; i < f->n; i += step) {
		if (f->fds[i] >= 0)
			close(f->fds[i]);
		f->fds[i] = -1;
	}
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	leave(f, 0, 1);
	platform_rig_finish(&f->rig);
}

/* The crowd. */

static void join(fixture_t *f)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	g_autofree char *host = g_strdup(f->entry->front);
	char *colon = strrchr(host, ':');
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(fd, >=, 0);
	*colon = '\0';
	g_assert_cmpint(inet_pton(AF_INET, host, &address.sin_addr), ==, 1);
	address.sin_port = htons((uint16_t)atoi(colon + 1));
	fcntl(fd, F_SETFL, O_NONBLOCK);
	if (connect(fd, (const struct sockaddr *)&address, sizeof(address)) !=
		    0 &&
	    errno != EINPROGRESS) {
		close(fd);
		fd = -1;
	}
	f->fds[f->n++] = fd;
}

/* What each caller still has to send. */
typedef struct {
	GString *bytes;
	size_t sent[CROWD_MAX];
	size_t piece; /* most at a time */
} upload_t;

/* Sends in turn until all have sent all, or the instance takes no more from any for
 * a second: it may have refused or closed. */
static void upload(fixture_t *f, upload_t *u)
{
	uint32_t idle = 0;

	while (idle < 100) {
		bool moved = false;
		bool left = false;

		for (uint32_t i = 0; i < f->n; i++) {
			size_t rest = u->bytes->len - u->sent[i];
			ssize_t n;

			if (f->fds[i] < 0 || rest == 0)
				continue;
			n = send(f->fds[i], u->bytes->str + u->sent[i],
				 MIN(rest, u->piece), MSG_NOSIGNAL);
			if (n > 0) {
				u->sent[i] += (size_t)n;
				moved = true;
			} else if (errno != EAGAIN && errno != ENOTCONN) {
				close(f->fds[i]);
				f->fds[i] = -1;
				continue;
			}
			left = left || u->sent[i] < u->bytes->len;
		}
		if (!left)
			break;
		idle = moved ? 0 : idle + 1;
		platform_rig_run(&f->rig, moved ? 0 : 10);
	}
	g_string_free(u->bytes, TRUE);
	platform_rig_run(&f->rig, SETTLE_MS);
}

static GString *head(const char *fields)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text,
			"POST /book/1 HTTP/1.1\r\nHost: " RIG_HOST
			"\r\nBerylshunt-Request-Try-Id: crowd\r\n"
			"Berylshunt-Deadline-Ms: 60000\r\n%s\r\n",
			fields);
	return text;
}

/* What has to hold. */

/* An ordinary caller, which may be refused and comes back, as callers do. */
static void expect_ordinary(fixture_t *f)
{
	int status = 0;

	for (int tries = 0; tries < 20 && status != 200; tries++) {
		g_autofree char *id = g_strdup_printf("calm-%u", f->asked++);
		rig_reply_t reply;

		platform_rig_send(&f->rig, f->entry->front, "/book/1", id, NULL,
				  5000, &reply);
		platform_rig_wait(&f->rig, &reply.done);
		status = reply.status;
		platform_rig_reply_clear(&reply);
		if (status != 200)
			platform_rig_run(&f->rig, 200);
	}
	g_assert_cmpint(status, ==, 200);
}

static void expect_bounds(fixture_t *f)
{
	double most = memory_mb(f, "VmHWM:");
	int descriptors = open_descriptors(f);

	platform_rig_reap(&f->rig);
	g_test_message("calm=%.1f MB most=%.1f MB descriptors=%d", f->calm_mb,
		       most, descriptors);
	g_assert_true(f->entry->alive);
	g_assert_cmpfloat(most, >, 0);
	g_assert_cmpfloat(most, <=, MEMORY_MB);
	g_assert_cmpint(descriptors, <=, DESCRIPTORS);
}

/* Nothing is counted as held any more, and no amount has gone below 0. */
static void expect_nothing_held(fixture_t *f)
{
	static const char *const kinds[] = { "uploads", "requests",
					     "responses" };
	rig_reply_t reply;

	platform_rig_send(&f->rig, f->entry->metrics, "/metrics", "m", NULL,
			  5000, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		g_autofree char *line = g_strdup_printf(
			"\nbsh_memory_held_bytes{kind=\"%s\"} 0\n", kinds[i]);

		g_test_message("%s", kinds[i]);
		g_assert_nonnull(strstr(reply.body, line));
	}
	platform_rig_reply_clear(&reply);
}

/* After the crowd has left, all is given back. */
static void expect_calm(fixture_t *f)
{
	leave(f, 0, 1);
	platform_rig_run(&f->rig, CALM_MS);
	g_assert_cmpfloat(memory_mb(f, "VmRSS:"), <=, f->calm_mb + CALM_MB);
	expect_nothing_held(f);
	expect_ordinary(f);
}

static void check(fixture_t *f)
{
	expect_bounds(f);
	expect_ordinary(f);
	expect_calm(f);
	expect_bounds(f);
}

/* Guards against bodies of legal size that are kept whole until their last byte
 * comes, however many there are. */
static void test_bodies(fixture_t *f, gconstpointer data)
{
	g_autofree char *field =
		g_strdup_printf("Content-Length: %u\r\n", BODY_BYTES);
	upload_t u = { .bytes = head(field), .piece = GPOINTER_TO_SIZE(data) };

	g_string_set_size(u.bytes, u.bytes->len + BODY_BYTES - 1);
	for (uint32_t i = 0; i < BODIES; i++)
		join(f);
	upload(f, &u);
	check(f);
}

/* Guards against the same with chunks, whose body has no declared length. */
static void test_chunks(fixture_t *f, gconstpointer data)
{
	upload_t u = { .bytes = head("Transfer-Encoding: chunked\r\n"),
		       .piece = CHUNK_BYTES };

	(void)data;
	for (uint32_t sent = 0; sent + CHUNK_BYTES < BODY_BYTES;
	     sent += CHUNK_BYTES) {
		g_string_append_printf(u.bytes, "%x\r\n", CHUNK_BYTES);
		g_string_set_size(u.bytes, u.bytes->len + CHUNK_BYTES);
		g_string_append(u.bytes, "\r\n");
	}
	for (uint32_t i = 0; i < BODIES; i++)
		join(f);
	upload(f, &u);
	check(f);
}

/* Guards against chunks of one byte, which cost more than they bring. */
static void test_tiny_chunks(fixture_t *f, gconstpointer data)
{
	upload_t u = { .bytes = head("Transfer-Encoding: chunked\r\n"),
		       .piece = CHUNK_BYTES };

	(void)data;
	for (uint32_t i = 0; i < TINY_BYTES; i++)
		g_string_append(u.bytes, "1\r\nx\r\n");
	for (uint32_t i = 0; i < TINY_CALLERS; i++)
		join(f);
	upload(f, &u);
	check(f);
}

/* Guards against connections that take all descriptors, which targets, other
 * instances and the store need; half leave early. */
static void test_connections(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (uint32_t i = 0; i < SILENT; i++) {
		join(f);
		if (i % 50 == 0)
			platform_rig_run(&f->rig, 20);
	}
	platform_rig_run(&f->rig, SETTLE_MS);
	expect_bounds(f);
	leave(f, 0, 2);
	platform_rig_run(&f->rig, SETTLE_MS);
	check(f);
}

/* Guards against heads that do not end. */
static void test_heads(fixture_t *f, gconstpointer data)
{
	upload_t u = { .bytes = head(""), .piece = 1024 };

	(void)data;
	g_string_truncate(u.bytes, u.bytes->len - 2);
	g_string_append(u.bytes, "X-Long: ");
	while (u.bytes->len < HEAD_BYTES)
		g_string_append_c(u.bytes, 'a');
	for (uint32_t i = 0; i < HEADS; i++)
		join(f);
	upload(f, &u);
	check(f);
}

/* Guards against answers that are kept for callers which do not read them. */
static void test_unread_answers(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->worker->answer_bytes = ANSWER_BYTES;
	for (uint32_t i = 0; i < READERS; i++) {
		g_autofree char *fields = g_strdup_printf(
			"Content-Length: 0\r\nX-Number: %u\r\n", i);
		GString *text = head(fields);
		int small = 4096;

		join(f);
		if (f->fds[i] >= 0) {
			setsockopt(f->fds[i], SOL_SOCKET, SO_RCVBUF, &small,
				   sizeof(small));
			/* It connects on loopback at once. */
			(void)!send(f->fds[i], text->str, text->len,
				    MSG_NOSIGNAL);
		}
		g_string_free(text, TRUE);
		platform_rig_run(&f->rig, 5);
	}
	platform_rig_run(&f->rig, SETTLE_MS);
	f->worker->answer_bytes = 0;
	check(f);
}

/* Guards against a limit that refuses a single request of the largest legal size
 * while nothing else is there. */
static void test_single(fixture_t *f, gconstpointer data)
{
	g_autofree char *field =
		g_strdup_printf("Content-Length: %u\r\n", BODY_BYTES);
	upload_t u = { .bytes = head(field), .piece = CHUNK_BYTES };
	char answer[64] = "";

	(void)data;
	g_string_set_size(u.bytes, u.bytes->len + BODY_BYTES);
	join(f);
	upload(f, &u);
	for (int i = 0; i < 100 && answer[0] == '\0'; i++) {
		platform_rig_run(&f->rig, 20);
		(void)!recv(f->fds[0], answer, sizeof(answer) - 1,
			    MSG_DONTWAIT);
	}
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	expect_bounds(f);
}

#define ADD(path, fn, data)                                                    \
	g_test_add("/crowds/" path, fixture_t, data, set_up, fn, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	ADD("single", test_single, NULL);
	ADD("bodies", test_bodies, GSIZE_TO_POINTER(BODY_BYTES));
	ADD("bodies-in-pieces", test_bodies, GSIZE_TO_POINTER(8192));
	ADD("chunks", test_chunks, NULL);
	ADD("tiny-chunks", test_tiny_chunks, NULL);
	ADD("connections", test_connections, NULL);
	ADD("heads", test_heads, NULL);
	ADD("unread-answers", test_unread_answers, NULL);
	return g_test_run();
}
