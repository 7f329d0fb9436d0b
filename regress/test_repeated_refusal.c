/* A faulty target that writes an earlier refusal once more on a connection that
 * is kept: the request that is sent there may run. */
#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/platform_rig.h"

#define HEAD_MAX 8192
#define REQUESTS 6

typedef struct {
	const char *path;
	bool echoes; /* the refusal names its attempt */
	bool may_repeat;

} kind_t;

typedef struct {
	int fd; /* listening */
	const kind_t *kind;
	pthread_t thread;
	atomic_int open;
	GMutex lock;
	GHashTable *ran; /* ids of attempts that have run, to their number */
	char *refusal;	 /* the first one; NULL: none yet */
	atomic_int repeated; /* times that it was written once more */
} target_t;

typedef struct {
	target_t *target;
	int fd;
} connection_t;

static bool read_head(int fd, char *head)
{
	size_t size = 0;

	while (size < HEAD_MAX - 1) {
		ssize_t n = recv(fd, head + size, HEAD_MAX - 1 - size, 0);

		if (n <= 0)
			return false;
		size += (size_t)n;
		head[size] = '\0';
		if (strstr(head, "\r\n\r\n") != NULL)
			return true;
	}
	return false;
}

static void copy_id(const char *head, char *id, size_t size)
{
	const char *name = "Berylshunt-Request-Try-Id: ";
	const char *at = strstr(head, name);

	id[0] = '\0';
	if (at == NULL)
		return;
	at += strlen(name);
	g_strlcpy(id, at, MIN(size, strcspn(at, "\r") + 1));
}

static void record_run(target_t *target, const char *id)
{
	g_mutex_lock(&target->lock);
	g_hash_table_replace(
		target->ran, g_strdup(id),
		GUINT_TO_POINTER(
			GPOINTER_TO_UINT(g_hash_table_lookup(target->ran, id)) +
			1));
	g_mutex_unlock(&target->lock);
}

static void write_text(int fd, const char *text)
{
	if (send(fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		return;
}

/* Refuses the first request of all, and returns NULL for it; the text of that
 * refusal for the others. */
static char *refuse_first(connection_t *connection, const char *echo)
{
	target_t *target = connection->target;
	char *text = NULL;

	g_mutex_lock(&target->lock);
	if (target->refusal != NULL) {
		text = g_strdup(target->refusal);
	} else {
		target->refusal =
			g_strdup_printf("HTTP/1.1 503 Full\r\n"
					"Berylshunt-Not-Executed: 1\r\n%s"
					"Content-Length: 0\r\n\r\n",
					target->kind->echoes ? echo : "");
		write_text(connection->fd, target->refusal);
	}
	g_mutex_unlock(&target->lock);
	return text;
}

/* The first request of all is refused.  From the second one of a connection on,
 * that refusal is written once more before each answer. */
static void *serve_connection(void *ctx)
{
	connection_t *connection = ctx;
	target_t *target = connection->target;
	char head[HEAD_MAX];
	char id[128];
	uint32_t n = 0; /* answered on this connection */

	while (read_head(connection->fd, head)) {
		g_autofree char *echo = NULL;
		g_autofree char *answer = NULL;
		g_autofree char *refusal = NULL;

		if (strstr(head, " /api/") != NULL) {
			write_text(connection->fd, "HTTP/1.1 503 Busy\r\n"
						   "Content-Length: 0\r\n\r\n");
			continue;
		}
		copy_id(head, id, sizeof(id));
		echo = g_strdup_printf("Berylshunt-Request-Try-Id: %s\r\n", id);
		refusal = refuse_first(connection, echo);
		if (refusal == NULL)
			continue;
		record_run(target, id);
		if (n++ > 0) {
			atomic_fetch_add(&target->repeated, 1);
			write_text(connection->fd, refusal);
			g_usleep(20000);
		}
		answer = g_strdup_printf("HTTP/1.1 200 OK\r\n"
					 "Berylshunt-Server-Seal: s\r\n%s"
					 "Content-Length: 4\r\n\r\ndone",
					 echo);
		write_text(connection->fd, answer);
	}
	close(connection->fd);
	atomic_fetch_sub(&target->open, 1);
	g_free(connection);
	return NULL;
}

static void *accept_connections(void *ctx)
{
	target_t *target = ctx;
	int fd;

	while ((fd = accept(target->fd, NULL, NULL)) >= 0) {
		connection_t *connection = g_new0(connection_t, 1);
		pthread_t thread;

		connection->target = target;
		connection->fd = fd;
		atomic_fetch_add(&target->open, 1);
		pthread_create(&thread, NULL, serve_connection, connection);
		pthread_detach(thread);
	}
	return NULL;
}

static void start_target(target_t *target, const kind_t *kind, char *address,
			 size_t size)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t at_size = sizeof(at);

	memset(target, 0, sizeof(*target));
	target->kind = kind;
	g_mutex_init(&target->lock);
	target->ran =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	target->fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(target->fd, (struct sockaddr *)&at, sizeof(at)),
			==, 0);
	g_assert_cmpint(listen(target->fd, 512), ==, 0);
	getsockname(target->fd, (struct sockaddr *)&at, &at_size);
	g_snprintf(address, (gulong)size, "127.0.0.1:%u", ntohs(at.sin_port));
	pthread_create(&target->thread, NULL, accept_connections, target);
}

typedef struct {
	platform_rig_t rig;
	rig_entry_t *entry;
	target_t target;
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
	const kind_t *kind = data;
	bool is_engine = strcmp(kind->path, "/stream/1") == 0 ||
			 strcmp(kind->path, "/once/1") == 0;
	worker_t *worker;

	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	worker = platform_rig_add_worker(&f->rig, is_engine ? "llm" : "desk",
					 is_engine ? "m0" : NULL);
	start_target(&f->target, kind, worker->address,
		     sizeof(worker->address));
	platform_rig_publish_worker(worker, "ready");
	f->entry = platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, f->entry);
	platform_rig_run(&f->rig, 200);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_finish(&f->rig);
	shutdown(f->target.fd, SHUT_RDWR);
	pthread_join(f->target.thread, NULL);
	close(f->target.fd);
	while (atomic_load(&f->target.open) > 0)
		g_usleep(1000);
	g_hash_table_destroy(f->target.ran);
	g_free(f->target.refusal);
	g_mutex_clear(&f->target.lock);
}

static uint32_t runs_of(fixture_t *f, const char *id)
{
	uint32_t n;

	g_mutex_lock(&f->target.lock);
	n = GPOINTER_TO_UINT(g_hash_table_lookup(f->target.ran, id));
	g_mutex_unlock(&f->target.lock);
	return n;
}

/* Guards against a caller that is told that its request has not run, as the
 * refusal of an earlier one on the same connection was taken for its answer. */
static void test_refusals_are_true(fixture_t *f, gconstpointer data)
{
	const kind_t *kind = data;
	bool is_engine = strcmp(kind->path, "/stream/1") == 0 ||
			 strcmp(kind->path, "/once/1") == 0;

	for (int i = 0; i < REQUESTS; i++) {
		/* A caller that keeps its id is one more way to be misled. */
		g_autofree char *id =
			g_strdup_printf("r%d", i == REQUESTS - 1 ? 0 : i);
		rig_reply_t reply = { 0 };

		platform_rig_send(&f->rig, f->entry->front, kind->path, id,
				  is_engine ? "m0" : NULL, 600, &reply);
		platform_rig_wait(&f->rig, &reply.done);
		platform_rig_run(&f->rig, 40);
		if (reply.status == 503 || reply.status == 429)
			g_assert_cmpuint(runs_of(f, id), ==, 0);
		if (!kind->may_repeat)
			g_assert_cmpuint(runs_of(f, id), <=, 1);
		platform_rig_reply_clear(&reply);
	}
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		kind_t kind;
	} cases[] = {
		{ "lookup", { "/look/1", true, true } },
		{ "lookup-without-id", { "/look/1", false, true } },
		{ "call", { "/book/1", true, false } },
		{ "call-without-id", { "/book/1", false, false } },
		{ "resumable-stream", { "/stream/1", true, true } },
		{ "resumable-stream-without-id", { "/stream/1", false, true } },
		{ "stream", { "/once/1", true, false } },
		{ "stream-without-id", { "/once/1", false, false } },
	};

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
			g_strconcat("/repeated-refusal/", cases[i].name, NULL);

		g_test_add(path, fixture_t, &cases[i].kind, set_up,
			   test_refusals_are_true, tear_down);
	}
	return g_test_run();
}
