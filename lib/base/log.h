#ifndef BSH_BASE_LOG_H
#define BSH_BASE_LOG_H

/*
 * NAME
 *	log - one structured line on standard output per decision or change
 *
 * DESCRIPTION
 *	A line holds the time (RFC 3339, UTC), the level, the program name
 *	and a message of the form "event key=value ...".  Logging is safe
 *	from any thread; each line is written by one write(2).
 *
 *	Logging never waits: standard output is made non-blocking, and a line
 *	that the reader has no room for is left out.  Lines of level info and
 *	debug are also bounded to a number a second.  The next line that is
 *	written says how many were left out ("log-dropped lines=N").
 *
 *	With bsh_log_instance() a line names its instance and ends with the
 *	stamp of a hybrid logical clock ("hlc=microseconds.count").  Messages
 *	between processes carry stamps of the same clock, so that the lines
 *	of all instances can be put in the order of causes although their
 *	clocks differ.
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

/* bsh_log_init - program name and the most detailed level written. */
void bsh_log_init(const char *program, bsh_log_level_t level);

/* bsh_log_limit - lines of level info and debug a second; 0: no bound. */
void bsh_log_set_rate_limit(uint32_t lines_per_s);

/* bsh_log_instance - name the instance and write stamps from now on. */
void bsh_log_set_instance(const char *instance);

/* bsh_log_stamp - for a message that is sent now. */
bsh_hlc_stamp_t bsh_log_stamp(void);

/* bsh_log_received - the stamp of a message that has come; false if it is too
 * far ahead of the clock of this machine and was not adopted. */
bool bsh_log_receive_stamp(bsh_hlc_stamp_t stamp);

/* bsh_log_dropped - lines left out since the start. */
uint64_t bsh_log_dropped(void);

/* bsh_log_level_parse - "error".."debug"; -1 when the name is unknown. */
int bsh_log_level_parse(const char *name);

void bsh_log(bsh_log_level_t level, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#endif
