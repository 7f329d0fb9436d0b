#ifndef BSH_BASE_DAEMON_H
#define BSH_BASE_DAEMON_H

/*
 * NAME
 *	daemon - command line, settings and signals that the daemons share
 */

#include "base/settings.h"

#define BSH_VERSION "0.1"

/*
 * bsh_daemon_start - parse the command line, load the settings and set up the
 * log.  Prints and exits for --help, --version and --check-config (status 0),
 * and for a wrong command line or settings with a problem (status 1).
 */
void bsh_daemon_start(bsh_settings_t *settings, const char *name,
		      const char *summary, int argc, char **argv);

/* bsh_daemon_settings_path - the file that bsh_daemon_start() loaded. */
const char *bsh_daemon_settings_path(void);

/*
 * bsh_daemon_signals - ignore SIGPIPE, block SIGTERM, SIGINT and, with_hangup,
 * SIGHUP in all threads started later, and return a descriptor that reports
 * them.  Exits on failure.
 */
int bsh_daemon_open_signals(bool with_hangup);

/* bsh_daemon_signal - number of the next signal that has come, or 0. */
uint32_t bsh_daemon_read_signal(int fd);

#endif
