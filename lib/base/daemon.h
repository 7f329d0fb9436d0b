#ifndef BSH_BASE_DAEMON_H
#define BSH_BASE_DAEMON_H

/*
 * NAME
 *	daemon - command line, settings and signal handling of the daemons
 */

#include "base/settings.h"

#define BSH_VERSION "0.1"

/*
 * bsh_daemon_start - parse the command line, load the settings and initialise
 * the log and the report of fatal signals.  Exits with status 0 after --help, --version or a successful
 * --check-config, and with status 1 for an invalid command line or invalid
 * settings.
 */
void bsh_daemon_start(bsh_settings_t *settings, const char *name,
		      const char *summary, int argc, char **argv);

/* bsh_daemon_settings_path - path of the file that bsh_daemon_start() loaded.
 */
const char *bsh_daemon_settings_path(void);

/*
 * bsh_daemon_open_signals - ignore SIGPIPE and receive SIGTERM, SIGINT and, if
 * with_hangup is set, SIGHUP through a descriptor.  The signals are blocked in
 * the calling thread and in all threads that it starts later.  Exits on
 * failure.
 *
 * RETURN VALUE
 *	A non-blocking signalfd(2) descriptor.
 */
int bsh_daemon_open_signals(bool with_hangup);

/* bsh_daemon_read_signal - number of the next pending signal; 0 if none. */
uint32_t bsh_daemon_read_signal(int fd);

#endif
