/*
 * bshcontrold: controller of one entry instance.  Starts the parts described in
 * control.h and runs them on one event loop until the drain has ended.
 */
#include <apr_general.h>
#include <curl/curl.h>
#include <err.h>
#include <sodium.h>
#include <time.h>
#include <unistd.h>

#include "base/daemon.h"
#include "base/log.h"
#include "control.h"

/* Idle HTTP connections kept open to the store, engines and controllers. */
#define IDLE_CONNECTIONS_MAX 256

int64_t control_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

void control_timer_at(bsh_loop_timer_t *timer, int64_t at_us)
{
	int64_t now_us = control_now_us();

	/* INT64_MAX: the module has no further work scheduled. */
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

static void on_signal(void *ctx, int fd, unsigned int events)
{
	(void)events;
	while (bsh_daemon_read_signal(fd) != 0)
		shutdown_begin(ctx);
}

static void init_control(control_t *control)
{
	bsh_settings_t *s = &control->settings;

	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0 ||
	    curl_global_init(CURL_GLOBAL_ALL) != 0)
		errx(1, "cannot initialise APR, libsodium or libcurl");
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
	control->http =
		bsh_http_client_new(&control->loop, IDLE_CONNECTIONS_MAX);
	if (control->http == NULL)
		errx(1, "cannot set up libcurl for the HTTP client");
	bsh_json_client_init(&control->caller, &control->loop, control->http);
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
	bsh_json_client_finish(&control->caller);
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

	bsh_daemon_start(&control.settings, "bshcontrold",
			 "Controls membership, placement, loads and "
			 "configuration of one instance.",
			 argc, argv);
	signal_fd = bsh_daemon_open_signals(false);
	init_control(&control);
	watch = bsh_loop_watch(&control.loop, signal_fd, BSH_LOOP_READ,
			       on_signal, &control);
	if (watch == NULL)
		errx(1, "cannot watch the signal descriptor");
	start_parts(&control);
	bsh_timeline_add(&control.timeline, "start", "{s:s, s:s}", "listen",
			 control.settings.control_listen, "zone",
			 control.settings.zone);
	bsh_log(BSH_LOG_INFO, "start instance=%s listen=%s",
		control.settings.instance, control.settings.control_listen);
	bsh_loop_run(&control.loop);
	bsh_loop_unwatch(watch);
	stop_parts(&control);
	bsh_loop_step(&control.loop, 0); /* frees closed channels */
	bsh_http_client_free(control.http);
	bsh_timeline_finish(&control.timeline);
	bsh_loop_finish(&control.loop);
	close(signal_fd);
	return 0;
}
