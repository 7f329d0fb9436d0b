#ifndef BSH_OPERATOR_LOG_READ_H
#define BSH_OPERATOR_LOG_READ_H

/*
 * NAME
 *	log_read - parser and merger for the log files of several instances
 *
 * DESCRIPTION
 *	Parses lines in the format of bsh_log().  A log collector may have put
 *	a prefix in front; its last word is taken as the instance of a line
 *	that names none.  Lines are sorted by their hybrid logical clock
 *	stamps, so that a cause precedes its effect although the clocks of the
 *	instances differ; lines without a stamp are sorted by their local
 *	time.  Duplicate lines are removed.
 *
 *	Gaps are counted and reported: truncated and malformed lines, lines
 *	that an instance dropped, instances that other logs name but whose
 *	own log was not read, and clocks that are behind.
 *
 * UNITS
 *	Times are microseconds since the epoch.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/hlc.h"

typedef struct {
	bsh_hlc_stamp_t stamp; /* sort key; the local time when has_stamp is
				  false */
	bool has_stamp;
	int64_t time_us;      /* on the local clock of the instance */
	const char *instance; /* "?": not known */
	const char *level;
	char *event;
	char *details;	  /* key=value pairs, without the stamp */
	guint read_index; /* position in the input, from 0 */
} bsh_log_line_t;

typedef struct {
	GPtrArray *lines;   /* bsh_log_line_t */
	GStringChunk *text; /* names of instances and levels */
	uint32_t truncated; /* lines that lack the stamp at their end */
	uint32_t malformed; /* lines that cannot be parsed */
	uint64_t dropped;   /* lines that instances report as dropped */
} bsh_log_t;

void bsh_log_read_init(bsh_log_t *log);
void bsh_log_read_finish(bsh_log_t *log);

/*
 * bsh_log_read_file - parse a file; "-" is the standard input.
 *
 * RETURN VALUE
 *	False with a message in *problem (to be freed with g_free()) if it
 *	cannot be read.
 */
bool bsh_log_read_file(bsh_log_t *log, const char *path, char **problem);

/* bsh_log_read_text - parse lines; source is the instance name of lines that
 * carry none. */
void bsh_log_read_text(bsh_log_t *log, const char *source, const char *text,
		       gsize size);

/* bsh_log_read_sort - sort all lines and remove duplicates; called once, after
 * the last file. */
void bsh_log_read_sort(bsh_log_t *log);

/* bsh_log_value - value of a key without its quotes, to be freed with g_free();
 * NULL if the line does not have the key. */
char *bsh_log_value(const bsh_log_line_t *line, const char *key);
bool bsh_log_value_is(const bsh_log_line_t *line, const char *key,
		      const char *value);
/* bsh_log_number - value of a key as a number; fallback if the key is absent
 * or its value is not a number. */
int64_t bsh_log_number(const bsh_log_line_t *line, const char *key,
		       int64_t fallback);

/* bsh_log_notes - gaps in the logs and clock differences, one sentence each;
 * to be freed with g_ptr_array_free(). */
GPtrArray *bsh_log_notes(const bsh_log_t *log);

#endif
