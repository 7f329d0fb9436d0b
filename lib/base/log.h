#ifndef BSH_BASE_LOG_H
#define BSH_BASE_LOG_H

/*
 * NAME
 *	log - non-blocking structured log on standard output
 *
 * DESCRIPTION
 *	The daemons log one line per decision or change of state.  A line
 *	consists of the time (RFC 3339, UTC), the level, the program name and
 *	a message of the form "event key=value ...".  bsh_log() may be called
 *	from any thread; each line is written by one write(2).
 *
 *	Logging never blocks: standard output is made non-blocking, and a line
 *	that does not fit into the pipe is dropped.  Lines of level info and
 *	debug are also subject to a rate limit.  Before the next line that is
 *	written, the number of dropped lines is logged as "log-dropped
 *	lines=N".
 *
 *	After bsh_log_set_instance(), a line names its instance and ends with
 *	the timestamp of a hybrid logical clock, "hlc=MICROSECONDS.COUNT".
 *	Messages between processes carry timestamps of the same clock, so that
 *	the lines of all instances can be sorted in causal order although
 *	their wall clocks differ.
 */

#include <stdbool.h>
#include <stdint.h>

#include "base/hlc.h"

typedef enum {
	BSH_LOG_ERROR,
	BSH_LOG_WARNING,
	BSH_LOG_INFO,
	BSH_LOG_DEBUG
} bsh_log_level_t;

/* bsh_log_init - set the program name and the most detailed level that is
 * written, and make standard output non-blocking. */
void bsh_log_init(const char *program, bsh_log_level_t level);

/* bsh_log_set_rate_limit - lines per second above which lines of level info and
 * debug are dropped; 0: no limit. */
void bsh_log_set_rate_limit(uint32_t lines_per_s);

/* bsh_log_set_instance - add the instance and a timestamp of the hybrid logical
 * clock to the lines that follow. */
void bsh_log_set_instance(const char *instance);

/* bsh_log_stamp - timestamp for a message that is about to be sent. */
bsh_hlc_stamp_t bsh_log_stamp(void);

/* bsh_log_receive_stamp - advance the clock beyond the timestamp of a received
 * message.  False if the timestamp is more than BSH_HLC_MAX_AHEAD_US ahead of
 * the local wall clock and was ignored. */
bool bsh_log_receive_stamp(bsh_hlc_stamp_t stamp);

/* bsh_log_dropped - lines dropped since the start of the process. */
uint64_t bsh_log_dropped(void);

/* bsh_log_level_parse - level named "error", "warning", "info" or "debug"; -1
 * for any other name. */
int bsh_log_level_parse(const char *name);

/* bsh_log - write one line, truncated to 1 KiB plus the timestamp.  Control
 * characters are written as \xNN. */
void bsh_log(bsh_log_level_t level, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* bsh_log_last_event - beginning of the last message of the calling thread; ""
 * if it has written none. */
const char *bsh_log_last_event(void);

/* bsh_log_from_handler - write one line of level error from a signal handler:
 * takes no lock and allocates nothing. */
void bsh_log_from_handler(const char *text);

#endif
