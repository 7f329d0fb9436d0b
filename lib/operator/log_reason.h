#ifndef BSH_OPERATOR_LOG_REASON_H
#define BSH_OPERATOR_LOG_REASON_H

/*
 * NAME
 *	log_reason - what single values and lines of the log mean
 */

#include "operator/log_read.h"

/* bsh_log_repeat_text - why a request was not sent again, by the key repeat; an
 * unknown value is returned as it is. */
const char *bsh_log_repeat_text(const char *repeat);

/* bsh_log_ended_under - the line says that a process of a target ended while a
 * request with this key was beginning there. */
bool bsh_log_ended_under(const bsh_log_line_t *line, const char *key);

/* bsh_log_is_instance_state - the line states what holds for the whole instance
 * from then on. */
bool bsh_log_is_instance_state(const bsh_log_line_t *line);

#endif
