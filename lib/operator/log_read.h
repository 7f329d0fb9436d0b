#ifndef BSH_OPERATOR_LOG_READ_H
#define BSH_OPERATOR_LOG_READ_H

/*
 * NAME
 *	log_read - the logs of several instances, read from files and merged
 *
 * DESCRIPTION
 *	Reads lines as bsh_log() writes them, with any text of a collector in
 *	front.  Lines are ordered by their stamps, so that a cause stands
 *	before its effect although the clocks of the instances differ; lines
 *	without a stamp are ordered by their time.  A line that was read
 *	twice is kept once.
 *
 *	What the logs cannot tell is counted: lines that are cut or not
 *	readable, lines that an instance left out, instances that others name
 *	and whose log was not read, and clocks that are behind.
 *
 * UNITS
 *	Times are microseconds since the epoch.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/hlc.h"

typedef struct {
	bsh_hlc_stamp_t stamp; /* of the order; from the time if has_stamp is
				  false */
	bool has_stamp;
	int64_t time_us;      /* of the clock of its instance */
	const char *instance; /* "?": not known */
	const char *level;
	char *event;
	char *details; /* key=value pairs, without the stamp */
	guint number;  /* in the order of reading */
} bsh_log_line_t;

typedef struct {
	GPtrArray *lines;   /* bsh_log_line_t */
	GStringChunk *text; /* names of instances and levels */
	uint32_t cut;	    /* lines without their end */
	uint32_t unreadable;
	uint64_t left_out; /* by the instances */
} bsh_log_t;

void bsh_log_read_init(bsh_log_t *log);
void bsh_log_read_finish(bsh_log_t *log);

/*
 * bsh_log_read_file - add a file; "-" is the standard input.
 *
 * RETURN VALUE
 *	False with a message in *problem (to be freed with g_free()) if it
 *	cannot be read.
 */
bool bsh_log_read_file(bsh_log_t *log, const char *path, char **problem);

/* bsh_log_read_text - add lines; source names the instance of lines that do
 * not. */
void bsh_log_read_text(bsh_log_t *log, const char *source, const char *text,
		       gsize size);

/* bsh_log_read_order - put what was read in order, once after the last file. */
void bsh_log_read_order(bsh_log_t *log);

/* bsh_log_value - value of a key without its quotes, to be freed with g_free();
 * NULL if the line has none. */
char *bsh_log_value(const bsh_log_line_t *line, const char *key);
bool bsh_log_value_is(const bsh_log_line_t *line, const char *key,
		      const char *value);
/* bsh_log_number - value of a key as a number, or fallback. */
int64_t bsh_log_number(const bsh_log_line_t *line, const char *key,
		       int64_t fallback);

/* bsh_log_notes - what the logs cannot tell, a sentence each. */
GPtrArray *bsh_log_notes(const bsh_log_t *log);

#endif
