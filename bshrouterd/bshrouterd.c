#include <apr_general.h>
#include <err.h>
#include <errno.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "base/daemon.h"
#include "base/log.h"
#include "router.h"

static void on_signal(void *ctx, int fd, unsigned int events)
{
	uint32_t number;

	(void)events;
	while ((number = bsh_daemon_read_signal(fd)) != 0) {
		bsh_log(BSH_LOG_INFO, "drain-begin signal=%u", number);
		router_begin_drain(ctx);
	}
}

static void init(router_t *router)
{
	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0)
		errx(1, "cannot initialise libapr or libsodium");
	router->incarnation = (uint64_t)g_get_real_time();
	bsh_hlc_init(&router->clock);
	bsh_timeline_init(&router->timeline, &router->clock,
			  router->settings.instance, "bshrouterd",
			  router->incarnation,
			  router->settings.timeline_events);
	router_counters_register();
	router->not_ready = ROUTER_NO_CONFIG | ROUTER_CONFIG_STALE;
	router->traffic_heartbeat_us = bsh_loop_clock_us();
	if (bsh_loop_init(&router->control_loop) != BSH_OK ||
	    bsh_loop_init(&router->traffic_loop) != BSH_OK)
		errx(1, "cannot create an event loop");
}

/* Each request needs one descriptor for its caller and one for its target. */
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
		errx(1, "cannot add the signal descriptor to the event loop");
	if (router_traffic_init(router) != BSH_OK)
		errx(1, "cannot start the HTTP server on %s",
		     router->settings.router_listen);
	if (router_admin_start(router) != BSH_OK)
		errx(1, "cannot start the admin server on %s",
		     router->settings.router_admin);
	if (pthread_create(&thread, NULL, router_traffic_main, router) != 0)
		errx(1, "cannot create the traffic thread");
	router_link_start(router);
	bsh_timeline_add(&router->timeline, "start", "{s:s, s:s}", "listen",
			 router->settings.router_listen, "zone",
			 router->settings.zone);
	bsh_log(BSH_LOG_INFO,
		"start instance=%s listen=%s admin=%s "
		"incarnation=%" G_GUINT64_FORMAT,
		router->settings.instance, router->settings.router_listen,
		router->settings.router_admin, router->incarnation);
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

	bsh_daemon_start(&router.settings, "bshrouterd",
			 "Routes callers' requests to the targets that serve "
			 "them.",
			 argc, argv);
	signal_fd = bsh_daemon_open_signals(false);
	init(&router);
	run(&router, signal_fd);
	close(signal_fd);
	bsh_log(BSH_LOG_INFO, "stop");
	bsh_loop_finish(&router.control_loop);
	bsh_loop_finish(&router.traffic_loop);
	bsh_timeline_finish(&router.timeline);
	return 0;
}
