/* Start-up and shutdown of bshentryd.  The main thread runs the control loop,
 * a second thread runs the traffic loop. */
#include <apr_general.h>
#include <err.h>
#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/crash.h"
#include "base/daemon.h"
#include "base/log.h"
#include "entry.h"

static void on_signal(void *ctx, int fd, unsigned int events)
{
	entry_t *entry = ctx;
	uint32_t number;

	(void)events;
	while ((number = bsh_daemon_read_signal(fd)) != 0) {
		if (number == SIGHUP)
			control_reload(entry->control, "signal");
		else
			control_drain(entry->control, number);
	}
}

static void *traffic_main(void *ctx)
{
	entry_t *entry = ctx;

	bsh_crash_init_thread("traffic");
	bsh_loop_run(&entry->traffic_loop);
	bsh_loop_post(&entry->control_loop, control_traffic_ended,
		      entry->control);
	return NULL;
}

static void init(entry_t *entry)
{
	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0)
		errx(1, "cannot initialise APR or libsodium");
	entry->incarnation = (uint64_t)g_get_real_time();
	bsh_log_set_rate_limit(entry->settings.log_lines_per_s);
	bsh_log_set_instance(entry->settings.instance);
	if (bsh_loop_init(&entry->control_loop) != BSH_OK ||
	    bsh_loop_init(&entry->traffic_loop) != BSH_OK)
		errx(1, "cannot create an event loop");
}

static void run(entry_t *entry, int signal_fd)
{
	bsh_loop_watch_t *watch;
	pthread_t thread;

	watch = bsh_loop_watch(&entry->control_loop, signal_fd, BSH_LOOP_READ,
			       on_signal, entry);
	if (watch == NULL)
		errx(1, "cannot watch the signal descriptor");
	if (traffic_start(entry) != BSH_OK)
		errx(1, "cannot listen on %s", entry->settings.router_listen);
	if (control_start(entry) != BSH_OK)
		errx(1, "cannot start the control thread");
	bsh_log(BSH_LOG_INFO, "start instance=%s zone=%s listen=%s store=%s",
		entry->settings.instance, entry->settings.zone,
		entry->settings.router_listen, entry->settings.store_address);
	if (pthread_create(&thread, NULL, traffic_main, entry) != 0)
		errx(1, "cannot create the traffic thread");
	bsh_loop_run(&entry->control_loop);
	pthread_join(thread, NULL);
	control_stop(entry->control);
	traffic_stop(entry->traffic);
	bsh_loop_unwatch(watch);
}

int main(int argc, char **argv)
{
	static entry_t entry;
	int signal_fd;

	bsh_daemon_start(&entry.settings, "bshentryd",
			 "Forwards callers' requests to targets and loads "
			 "models on targets as requests need them.",
			 argc, argv);
	g_strlcpy(entry.settings_path, bsh_daemon_settings_path(),
		  sizeof(entry.settings_path));
	signal_fd = bsh_daemon_open_signals(true);
	init(&entry);
	run(&entry, signal_fd);
	close(signal_fd);
	bsh_log(BSH_LOG_INFO, "stop");
	bsh_loop_finish(&entry.control_loop);
	bsh_loop_finish(&entry.traffic_loop);
	return 0;
}
