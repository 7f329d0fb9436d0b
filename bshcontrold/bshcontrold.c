#include <apr_general.h>
#include <curl/curl.h>
#include <err.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

#include "base/log.h"
#include "control.h"

#define VERSION		 "0.1"
#define IDLE_CONNECTIONS 256

static char *settings_path;
static gboolean check_only;
static gboolean show_version;

static const GOptionEntry options[] = {
	{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &settings_path,
	  "Settings file", "FILE" },
	{ "check-config", 0, 0, G_OPTION_ARG_NONE, &check_only,
	  "Check the settings file and exit", NULL },
	{ "version", 0, 0, G_OPTION_ARG_NONE, &show_version,
	  "Print the version and exit", NULL },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

int64_t control_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

void control_timer_at(bsh_loop_timer_t *timer, int64_t at_us)
{
	int64_t now_us = control_now_us();

	/* A module without a next time answers INT64_MAX. */
	if (at_us == INT64_MAX)
		bsh_loop_timer_stop(timer);
	else
		bsh_loop_timer_after(timer,
				     at_us > now_us ? at_us - now_us : 0);
}

uint32_t control_seed(void)
{
	return randombytes_random();
}

static void usage(void)
{
	fprintf(stderr, "usage: bshcontrold -c file [--check-config]\n");
	exit(1);
}

static void parse_options(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_add_main_entries(context, options, NULL);
	g_option_context_set_summary(
		context, "Controls membership, placement, loads and "
			 "configuration of one instance.");
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		warnx("%s", error->message);
		usage();
	}
	g_option_context_free(context);
	if (show_version) {
		printf("bshcontrold %s\n", VERSION);
		exit(0);
	}
	if (settings_path == NULL || argc > 1)
		usage();
}

static void load_settings(bsh_settings_t *settings)
{
	GString *problems = g_string_new(NULL);

	if (bsh_settings_load(settings, settings_path, problems) != BSH_OK) {
		fputs(problems->str, stderr);
		exit(1);
	}
	if (bsh_log_level_parse(settings->log_level) < 0)
		errx(1, "%s: log.level: '%s' is not a level", settings_path,
		     settings->log_level);
	g_string_free(problems, TRUE);
}

static int open_signals(void)
{
	sigset_t set;
	int fd;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	if (sigprocmask(SIG_BLOCK, &set, NULL) != 0)
		err(1, "sigprocmask");
	fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (fd < 0)
		err(1, "signalfd");
	return fd;
}

static void on_signal(void *ctx, int fd, unsigned int events)
{
	struct signalfd_siginfo info;

	(void)events;
	while (read(fd, &info, sizeof(info)) == (ssize_t)sizeof(info))
		shutdown_begin(ctx);
}

static void init(control_t *control)
{
	bsh_settings_t *s = &control->settings;

	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0 ||
	    curl_global_init(CURL_GLOBAL_ALL) != 0)
		errx(1, "cannot initialise the libraries");
	bsh_log_init("bshcontrold",
		     (bsh_log_level_t)bsh_log_level_parse(s->log_level));
	control->incarnation = (uint64_t)g_get_real_time();
	bsh_hlc_init(&control->clock);
	bsh_timeline_init(&control->timeline, &control->clock, s->instance,
			  "bshcontrold", control->incarnation,
			  s->timeline_events);
	bsh_frame_register_counters();
	if (bsh_loop_init(&control->loop) != BSH_OK)
		errx(1, "cannot create the event loop");
	control->identity = (bsh_identity_t){ s->key,
					      s->instance,
					      control->incarnation,
					      BSH_ROLE_CONTROLLER,
					      s->router_listen,
					      &control->timeline };
	control->http = bsh_http_client_new(&control->loop, IDLE_CONNECTIONS);
	if (control->http == NULL)
		errx(1, "cannot set up the HTTP client");
	bsh_caller_init(&control->caller, &control->loop, control->http);
	bsh_store_client_init(&control->store, &control->caller,
			      s->store_address);
}

static void start_parts(control_t *control)
{
	events_start(control);
	routers_start(control);
	peers_start(control);
	config_start(control);
	targets_start(control);
	demands_start(control);
	cells_start(control);
	intents_start(control);
	shutdown_start(control);
	flush_start(control);
	api_start(control);
}

static void stop_parts(control_t *control)
{
	bsh_caller_finish(&control->caller);
	bsh_store_client_finish(&control->store);
	api_stop(control);
	flush_stop(control);
	peers_stop(control);
	shutdown_stop(control);
	intents_stop(control);
	cells_stop(control);
	demands_stop(control);
	targets_stop(control);
	config_stop(control);
	routers_stop(control);
	events_stop(control);
}

int main(int argc, char **argv)
{
	static control_t control;
	bsh_loop_watch_t *watch;
	int signal_fd;

	parse_options(argc, argv);
	load_settings(&control.settings);
	if (check_only)
		return 0;
	signal_fd = open_signals();
	init(&control);
	watch = bsh_loop_watch(&control.loop, signal_fd, BSH_LOOP_READ,
			       on_signal, &control);
	if (watch == NULL)
		errx(1, "cannot watch signals");
	start_parts(&control);
	bsh_timeline_add(&control.timeline, "start", "{s:s, s:s}", "listen",
			 control.settings.control_listen, "zone",
			 control.settings.zone);
	bsh_log(BSH_LOG_INFO, "start instance=%s listen=%s",
		control.settings.instance, control.settings.control_listen);
	bsh_loop_run(&control.loop);
	bsh_loop_unwatch(watch);
	stop_parts(&control);
	bsh_loop_step(&control.loop, 0); /* frees closed links */
	bsh_http_client_free(control.http);
	bsh_timeline_finish(&control.timeline);
	bsh_loop_finish(&control.loop);
	close(signal_fd);
	return 0;
}
