/* The last log line of a process that ends by itself. */
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/crash.h"
#include "base/log.h"
#include "support/platform_rig.h"
#include "transport/http_server.h"

#define OUTPUT_MAX_BYTES 65536
#define LOOPBACK	 "127.0.0.1:0"

typedef struct {
	const char *path;
	void (*fn)(void);
	int signal;
	const char *expected[4]; /* parts of the line */
} crash_case_t;

static void fail_heap_check(void)
{
	/* Volatile, so that the compiler does not see the misuse. */
	void *volatile block = malloc(100);
	void *volatile same = block;

	free(block);
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the failure under test */
	free(same);
}

static void fail_access(void)
{
	char *page =
		mmap(NULL, 1, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);

	memset(page, 1, 1);
}

static uint32_t overflow_stack(volatile uint32_t depth)
{
	volatile char frame[4096];

	frame[0] = (char)depth;
	if (depth == UINT32_MAX)
		return 0;
	return overflow_stack(depth + 1) + (uint32_t)frame[0];
}

static void fail_stack(void)
{
	overflow_stack(0);
}

static void *thread_main(void *ctx)
{
	(void)ctx;
	bsh_crash_init_thread("traffic");
	bsh_log(BSH_LOG_INFO, "request-begun id=aa01");
	fail_stack();
	return NULL;
}

static void fail_thread(void)
{
	g_thread_join(g_thread_new(NULL, thread_main, NULL));
}

static void fail_misuse(void)
{
	sodium_misuse();
}

static void fail_message(void)
{
	g_log("GLib", G_LOG_FLAG_FATAL | G_LOG_LEVEL_CRITICAL, "list broken");
}

static void fail_quotes(void)
{
	bsh_crash_abort("a \"b\"\nc");
}

/* libmicrohttpd ends the process if it cannot take a socket out of its set. */
static void fail_descriptor(void)
{
	const bsh_http_server_config_t config = { .address = LOOPBACK,
						  .max_connections = 4,
						  .body_max_bytes = 100 };
	bsh_http_server_t *server;
	bsh_loop_t loop;

	apr_initialize();
	if (bsh_loop_init(&loop) != BSH_OK ||
	    bsh_http_server_new(&server, &loop, &config) != BSH_OK)
		_exit(1);
	for (int fd = 3; fd < 64; fd++)
		close(fd);
	bsh_http_server_stop(server);
	bsh_http_server_free(server);
}

static void run_child(void (*fn)(void), int out)
{
	dup2(out, STDOUT_FILENO);
	for (int number = 1; number < NSIG; number++)
		signal(number, SIG_DFL);
	bsh_log_init("test", BSH_LOG_INFO);
	bsh_log_set_instance("entry-1");
	bsh_crash_init();
	bsh_log(BSH_LOG_INFO, "target-entry-unusable target=h5");
	fn();
	_exit(0);
}

static char *output_of(void (*fn)(void), int *status)
{
	g_autofree char *text = g_malloc0(OUTPUT_MAX_BYTES);
	size_t size = 0;
	ssize_t n;
	int fds[2];
	pid_t pid;

	g_assert_cmpint(pipe(fds), ==, 0);
	pid = fork();
	if (pid == 0)
		run_child(fn, fds[1]);
	close(fds[1]);
	while ((n = read(fds[0], text + size, OUTPUT_MAX_BYTES - 1 - size)) > 0)
		size += (size_t)n;
	close(fds[0]);
	g_assert_cmpint(waitpid(pid, status, 0), ==, pid);
	return g_steal_pointer(&text);
}

/* Guards against a process that ends by a signal without saying why, and against a
 * status that no longer names the signal. */
static void test_reported(gconstpointer data)
{
	const crash_case_t *c = data;
	int status;
	g_autofree char *text = output_of(c->fn, &status);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);

	g_assert_true(WIFSIGNALED(status));
	g_assert_cmpint(WTERMSIG(status), ==, c->signal);
	g_assert_cmpuint(g_strv_length(lines), >=, 4);
	/* Written whole: the last one, with its end. */
	g_assert_cmpstr(lines[g_strv_length(lines) - 1], ==, "");
	g_assert_nonnull(strstr(lines[g_strv_length(lines) - 2],
				" backtrace=\"test_crash+0x"));
	for (size_t i = 0; i < G_N_ELEMENTS(c->expected); i++) {
		const char *last = lines[g_strv_length(lines) - 3];

		if (c->expected[i] == NULL)
			break;
		if (strstr(last, c->expected[i]) == NULL)
			g_test_message("%s", text);
		g_assert_nonnull(strstr(last, c->expected[i]));
		g_assert_nonnull(strstr(last, " error test/entry-1: "));
		g_assert_nonnull(strstr(last, " hlc="));
	}
}

/* Guards against lines with a wrong time, which would be sorted elsewhere. */
static void test_time(void)
{
	int status;
	g_autofree char *text = output_of(fail_quotes, &status);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	g_autoptr(GDateTime) before = NULL;
	g_autoptr(GDateTime) end = NULL;

	g_assert_cmpuint(g_strv_length(lines), ==, 4);
	*strchr(lines[0], ' ') = '\0';
	*strchr(lines[1], ' ') = '\0';
	before = g_date_time_new_from_iso8601(lines[0], NULL);
	end = g_date_time_new_from_iso8601(lines[1], NULL);
	g_assert_nonnull(before);
	g_assert_nonnull(end);
	g_assert_cmpint(g_date_time_difference(end, before), >=, 0);
	g_assert_cmpint(g_date_time_difference(end, before), <, G_USEC_PER_SEC);
}

/* Guards against a daemon that ends by a signal without a line in its log. */
static void test_daemon(void)
{
	g_autofree char *text = NULL;
	rig_entry_t *entry;
	platform_rig_t rig;

	platform_rig_init(&rig);
	platform_rig_configure(&rig, NULL);
	platform_rig_add_worker(&rig, "desk", NULL);
	entry = platform_rig_add_entry(&rig);
	platform_rig_wait_ready(&rig, entry);
	platform_rig_signal(entry, SIGABRT);
	while (entry->alive) {
		platform_rig_run(&rig, 10);
		platform_rig_reap(&rig);
	}
	g_assert_true(WIFSIGNALED(entry->status));
	g_assert_cmpint(WTERMSIG(entry->status), ==, SIGABRT);
	g_assert_cmpuint(rig.unexpected_ends, ==, 0);
	g_assert_true(g_file_get_contents(entry->log_path, &text, NULL, NULL));
	g_assert_nonnull(strstr(text, " error bshentryd/entry-1: process-ended "
				      "signal=SIGABRT thread=control "));
	platform_rig_finish(&rig);
}

static void end_instance(void)
{
	platform_rig_t rig;

	platform_rig_init(&rig);
	platform_rig_configure(&rig, NULL);
	platform_rig_wait_ready(&rig, platform_rig_add_entry(&rig));
	/* Not by platform_rig_signal(). */
	kill(rig.entries[0].pid, SIGABRT);
	platform_rig_run(&rig, 300);
	platform_rig_finish(&rig);
	_exit(0);
}

/* Guards against a test that passes although an instance ended by itself. */
static void test_rig(void)
{
	int status;
	g_autofree char *text = output_of(end_instance, &status);

	g_assert_true(WIFSIGNALED(status));
}

int main(int argc, char **argv)
{
	static const crash_case_t cases[] = {
		{ "/crash/heap",
		  fail_heap_check,
		  SIGABRT,
		  { "signal=SIGABRT thread=control said=\"",
		    "last=\"target-entry-unusable target=h5\"",
		    "double free" } },
		{ "/crash/access",
		  fail_access,
		  SIGSEGV,
		  { "signal=SIGSEGV thread=control said=\"\"" } },
		{ "/crash/stack",
		  fail_stack,
		  SIGSEGV,
		  { "signal=SIGSEGV thread=control" } },
		{ "/crash/thread",
		  fail_thread,
		  SIGSEGV,
		  { "signal=SIGSEGV thread=traffic said=\"\" "
		    "last=\"request-begun id=aa01\"" } },
		{ "/crash/libsodium",
		  fail_misuse,
		  SIGABRT,
		  { "said=\"libsodium: " } },
		{ "/crash/glib",
		  fail_message,
		  SIGTRAP,
		  { "signal=SIGTRAP thread=control said=\"list broken\"" } },
		{ "/crash/libmicrohttpd",
		  fail_descriptor,
		  SIGABRT,
		  { "said=\"libmicrohttpd: " } },
		{ "/crash/quotes",
		  fail_quotes,
		  SIGABRT,
		  { "said=\"a 'b' c\" last=" } },
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].path, &cases[i], test_reported);
	g_test_add_func("/crash/time", test_time);
	/* The rig needs the output of its daemons in files. */
	g_unsetenv("BSH_RIG_LOG");
	g_test_add_func("/crash/daemon", test_daemon);
	g_test_add_func("/crash/rig", test_rig);
	return g_test_run();
}
