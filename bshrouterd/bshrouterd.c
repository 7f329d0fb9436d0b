#include <apr_general.h>
#include <err.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/log.h"
#include "router.h"

#define VERSION "0.1"

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

static void usage(void)
{
	fprintf(stderr, "usage: bshrouterd -c file [--check-config]\n");
	exit(1);
}

static void parse_options(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_add_main_entries(context, options, NULL);
	g_option_context_set_summary(
		context, "Routes callers' requests to the targets that serve "
			 "them.");
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		warnx("%s", error->message);
		usage();
	}
	g_option_context_free(context);
	if (show_version) {
		printf("bshrouterd %s\n", VERSION);
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

/* Signals are blocked in all threads and read from a descriptor. */
static int open_signals(void)
{
	sigset_t set;
	int fd;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	if (pthread_sigmask(SIG_BLOCK, &set, NULL) != 0)
		errx(1, "cannot block signals");
	fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (fd < 0)
		err(1, "signalfd");
	return fd;
}

static void on_signal(void *ctx, int fd, unsigned int events)
{
	struct signalfd_siginfo info;

	(void)events;
	while (read(fd, &info, sizeof(info)) == (ssize_t)sizeof(info)) {
		bsh_log(BSH_LOG_INFO, "drain-begin signal=%u", info.ssi_signo);
		router_begin_drain(ctx);
	}
}

static void init(router_t *router)
{
	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0)
		errx(1, "cannot initialise the libraries");
	bsh_log_init("bshrouterd", (bsh_log_level_t)bsh_log_level_parse(
					   router->settings.log_level));
	router->incarnation = (uint64_t)g_get_real_time();
	bsh_hlc_init(&router->clock);
	bsh_timeline_init(&router->timeline, &router->clock,
			  router->settings.instance, "bshrouterd",
			  router->incarnation,
			  router->settings.timeline_events);
	router_counters_register();
	router->not_ready = ROUTER_NO_CONFIG | ROUTER_NOT_FRESH;
	router->traffic_alive_us = bsh_loop_clock_us();
	if (bsh_loop_init(&router->control_loop) != BSH_OK ||
	    bsh_loop_init(&router->traffic_loop) != BSH_OK)
		errx(1, "cannot create an event loop");
}

/* Each request uses one descriptor to its caller and one to its target. */
static void check_descriptors(const bsh_settings_t *settings)
{
	rlim_t needed = (rlim_t)settings->router_max_requests * 2;
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < needed)
		bsh_log(BSH_LOG_WARNING,
			"descriptor-limit have=%lu needed=%lu "
			"setting=router.max_requests",
			(unsigned long)limit.rlim_cur, (unsigned long)needed);
}

static void run(router_t *router, int signal_fd)
{
	bsh_loop_watch_t *watch;
	pthread_t thread;

	check_descriptors(&router->settings);
	watch = bsh_loop_watch(&router->control_loop, signal_fd, BSH_LOOP_READ,
			       on_signal, router);
	if (watch == NULL)
		errx(1, "cannot watch signals");
	if (router_traffic_init(router) != BSH_OK)
		errx(1, "cannot listen on %s", router->settings.router_listen);
	if (router_admin_start(router) != BSH_OK)
		errx(1, "cannot listen on %s", router->settings.router_admin);
	if (pthread_create(&thread, NULL, router_traffic_main, router) != 0)
		errx(1, "cannot create a thread");
	router_link_start(router);
	bsh_timeline_add(&router->timeline, "start", "{s:s, s:s}", "listen",
			 router->settings.router_listen, "zone",
			 router->settings.zone);
	bsh_log(BSH_LOG_INFO, "start instance=%s listen=%s admin=%s",
		router->settings.instance, router->settings.router_listen,
		router->settings.router_admin);
	bsh_loop_run(&router->control_loop);
	pthread_join(thread, NULL);
	router_link_stop(router);
	router_admin_stop();
	router_traffic_finish(router);
	bsh_loop_unwatch(watch);
}

int main(int argc, char **argv)
{
	static router_t router;
	int signal_fd;

	parse_options(argc, argv);
	load_settings(&router.settings);
	if (check_only)
		return 0;
	signal_fd = open_signals();
	init(&router);
	run(&router, signal_fd);
	close(signal_fd);
	bsh_log(BSH_LOG_INFO, "stop");
	bsh_loop_finish(&router.control_loop);
	bsh_loop_finish(&router.traffic_loop);
	bsh_timeline_finish(&router.timeline);
	g_free(settings_path);
	return 0;
}
