#ifndef BSH_OPERATOR_LOG_CUT_H
#define BSH_OPERATOR_LOG_CUT_H

/*
 * NAME
 *	log_cut - why a response was cut off, by the lines of all instances
 *
 * DESCRIPTION
 *	Streams of one target that are cut on several instances at once show
 *	the end of that target's process, or of its links; one that is cut by
 *	an instance at the end of its drain shows only that it lasted longer
 *	than the instance.
 *
 * UNITS
 *	Times in the text are seconds and milliseconds.
 */

#include "operator/log_read.h"

/* bsh_log_cut_text - what a "response-cut" line and the lines around it say; to
 * be released with g_free(). */
char *bsh_log_cut_text(const bsh_log_t *log, const bsh_log_line_t *cut);

#endif
