/* bshconsoled: form-based console for operators.  Reads the settings, runs the
 * HTTP server on an event loop, and drains it on a termination signal. */
#include <apr_general.h>
#include <curl/curl.h>
#include <err.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/daemon.h"
#include "base/log.h"
#include "console.h"
#include "transport/loop.h"

#define SETTINGS_FILE	"/etc/berylshunt/berylshunt.conf"
#define CONNECTIONS_MAX 64
#define IDLE_TIMEOUT_S	10
#define DRAIN_POLL_US	20000

typedef struct {
	bsh_settings_t settings;
	console_t console;
	bsh_loop_t loop;
	bsh_http_server_t *server;
	bsh_loop_timer_t drain_timer;
	int64_t drain_end_us;
	int signal_fd;
} daemon_t;

typedef struct {
	char *settings_path;
	gboolean check_config;
	gboolean version;
} options_t;

static void usage(void)
{
	fprintf(stderr, "usage: bshconsoled [-c file] [--check-config]\n");
}

static int parse_options(options_t *options, int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME,
		  &options->settings_path,
		  "Read the settings from FILE (default " SETTINGS_FILE ")",
		  "FILE" },
		{ "check-config", 0, 0, G_OPTION_ARG_NONE,
		  &options->check_config,
		  "Check the settings, print every error, and exit", NULL },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &options->version,
		  "Print the version and exit", NULL },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *context =
		g_option_context_new("- console of berylshunt");
	GError *error = NULL;
	int status = 0;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		warnx("%s", error->message);
		usage();
		status = 2;
	} else if (argc > 1) {
		usage();
		status = 2;
	}
	g_clear_error(&error);
	g_option_context_free(context);
	return status;
}

static int load_settings(daemon_t *daemon, const char *path)
{
	GString *problems = g_string_new(NULL);
	bsh_error_t err = bsh_settings_load(&daemon->settings, path, problems);

	fputs(problems->str, stderr);
	if (err == BSH_OK)
		bsh_log_init("bshconsoled",
			     (bsh_log_level_t)bsh_log_level_parse(
				     daemon->settings.log_level));
	g_string_free(problems, TRUE);
	return err == BSH_OK ? 0 : 1;
}

/* Stops the loop when no connection is open, or drain_ms after the signal, so
 * that a client which does not read its response cannot block the exit. */
static void check_drained(void *ctx)
{
	daemon_t *daemon = ctx;

	if (bsh_http_server_connections(daemon->server) == 0 ||
	    bsh_loop_now_us(&daemon->loop) >= daemon->drain_end_us)
		bsh_loop_stop(&daemon->loop);
	else
		bsh_loop_timer_after(&daemon->drain_timer, DRAIN_POLL_US);
}

static void on_signal(void *ctx, int fd, unsigned int events)
{
	daemon_t *daemon = ctx;
	uint32_t number = bsh_daemon_read_signal(fd);

	(void)events;
	if (number == 0 || daemon->console.draining)
		return;
	bsh_log(BSH_LOG_INFO, "drain signal=%u", number);
	bsh_timeline_add(&daemon->console.timeline, "drain", NULL);
	daemon->console.draining = true;
	daemon->drain_end_us = bsh_loop_now_us(&daemon->loop) +
			       (int64_t)daemon->settings.drain_ms * 1000;
	bsh_http_server_stop(daemon->server);
	check_drained(daemon);
}

static bsh_error_t watch_signals(daemon_t *daemon)
{
	daemon->signal_fd = bsh_daemon_open_signals(false);
	if (bsh_loop_watch(&daemon->loop, daemon->signal_fd, BSH_LOOP_READ,
			   on_signal, daemon) == NULL)
		return BSH_ERR_SYSTEM;
	return BSH_OK;
}

static bsh_error_t listen_console(daemon_t *daemon)
{
	const bsh_http_server_config_t config = {
		.address = daemon->settings.console_listen,
		.max_connections = CONNECTIONS_MAX,
		.idle_timeout_s = IDLE_TIMEOUT_S,
		.body_max_bytes = CONSOLE_BODY_MAX_BYTES,
		.on_request = console_on_request,
		.on_too_large = console_on_too_large,
		.ctx = &daemon->console,
	};
	bsh_error_t err =
		bsh_http_server_new(&daemon->server, &daemon->loop, &config);

	if (err != BSH_OK) {
		bsh_log(BSH_LOG_ERROR, "listen-failed address=%s error=%s",
			config.address, bsh_error_name(err));
		return err;
	}
	bsh_log(BSH_LOG_INFO, "listening address=%s port=%u", config.address,
		bsh_http_server_port(daemon->server));
	return BSH_OK;
}

static int serve(daemon_t *daemon)
{
	console_t *console = &daemon->console;
	int status = 1;

	console->settings = &daemon->settings;
	if (bsh_control_client_init(&console->control,
				    daemon->settings.control_listen,
				    CONSOLE_TIMEOUT_MS) != BSH_OK) {
		bsh_log(BSH_LOG_ERROR, "control-address %s",
			console->control.failure);
		return 1;
	}
	bsh_hlc_init(&console->clock);
	bsh_timeline_init(&console->timeline, &console->clock,
			  daemon->settings.instance, "bshconsoled",
			  (uint64_t)g_get_real_time(),
			  daemon->settings.timeline_events);
	console_register_counters();
	if (bsh_loop_init(&daemon->loop) != BSH_OK)
		goto finish_console;
	bsh_loop_timer_init(&daemon->drain_timer, &daemon->loop, check_drained,
			    daemon);
	if (watch_signals(daemon) != BSH_OK) {
		bsh_log(BSH_LOG_ERROR, "signals-failed");
	} else if (listen_console(daemon) == BSH_OK) {
		bsh_timeline_add(&console->timeline, "start", NULL);
		bsh_loop_run(&daemon->loop);
		bsh_loop_timer_stop(&daemon->drain_timer);
		bsh_http_server_free(daemon->server);
		bsh_log(BSH_LOG_INFO, "stopped");
		status = 0;
	}
	bsh_loop_finish(&daemon->loop);
finish_console:
	bsh_timeline_finish(&console->timeline);
	bsh_control_client_finish(&console->control);
	return status;
}

static int run(daemon_t *daemon, const options_t *options)
{
	const char *path = options->settings_path != NULL
				   ? options->settings_path
				   : SETTINGS_FILE;

	if (sodium_init() < 0) {
		warnx("cannot initialise libsodium");
		return 1;
	}
	if (load_settings(daemon, path) != 0)
		return 1;
	if (options->check_config)
		return 0;
	if (daemon->settings.console_listen[0] == '\0') {
		bsh_log(BSH_LOG_INFO,
			"console.listen is empty; the console is disabled");
		return 0;
	}
	return serve(daemon);
}

int main(int argc, char **argv)
{
	options_t options = { 0 };
	daemon_t daemon = { .signal_fd = -1 };
	int status = parse_options(&options, argc, argv);

	if (status == 0 && options.version) {
		puts("bshconsoled " BSH_VERSION);
	} else if (status == 0) {
		apr_initialize();
		curl_global_init(CURL_GLOBAL_DEFAULT);
		status = run(&daemon, &options);
		curl_global_cleanup();
		apr_terminate();
	}
	if (daemon.signal_fd >= 0)
		close(daemon.signal_fd);
	g_free(options.settings_path);
	return status;
}
