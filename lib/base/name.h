#ifndef BSH_BASE_NAME_H
#define BSH_BASE_NAME_H

/*
 * NAME
 *	name - check of names that other programs write
 *
 * DESCRIPTION
 *	Names of targets, instances, services, zones and versions go into log
 *	lines of key=value pairs, headers, URLs, and buffers of a fixed size.
 *	A name is UTF-8 of at least one character, all of which are visible
 *	and none of which is '"', '=' or '\'.
 */

#include <stdbool.h>
#include <stddef.h>

#define BSH_LOG_TEXT_SIZE 80

/* bsh_is_name - whether text is a name that fits size bytes, with its end.
 * text may be NULL. */
bool bsh_is_name(const char *text, size_t size);

/*
 * bsh_log_text - copy text for a log line: characters that no name has are
 * replaced by '?', and what exceeds out is cut off.
 *
 * RETURN VALUE
 *	out; "-" for an empty text or NULL.
 */
const char *bsh_log_text(const char *text, char out[BSH_LOG_TEXT_SIZE]);

#endif
