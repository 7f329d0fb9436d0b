#ifndef BSH_BASE_JSON_TEXT_H
#define BSH_BASE_JSON_TEXT_H

/*
 * NAME
 *	json_text - JSON from text that may hold any bytes
 *
 * DESCRIPTION
 *	jansson refuses text that is not UTF-8: json_string() and json_pack()
 *	return NULL, and so does json_dumps() for what was made without that
 *	check.  Text from outside (ids, paths, keys, names) may hold any bytes,
 *	or be cut inside a character.  These functions take any text: each byte
 *	that is not part of a character becomes '?', as in log lines
 *	(bsh_log_text()).
 *
 *	All programs make JSON in this way; `make lint` finds calls of the
 *	functions of jansson that can fail on text.
 *
 * RETURN VALUE
 *	Not NULL, except for text that is NULL, and that of bsh_json_pack() for a
 *	malformed format or a value that is NULL without "?".
 */

#include <jansson.h>
#include <stdarg.h>

/* bsh_json_string - a string; NULL if text is. */
json_t *bsh_json_string(const char *text);

/*
 * bsh_json_pack - make a value, like json_pack(): objects and arrays of
 * s (text), i and I (integers), f (number), b (boolean), n (null), o (value, whose
 * reference is taken over), O (value) and nested ones.  NULL for "s?", "o?" and
 * "O?" is null.
 */
json_t *bsh_json_pack(const char *format, ...);
json_t *bsh_json_vpack(const char *format, va_list ap);

/* bsh_json_text - the text of a value, to be freed with free(); "null" if it
 * cannot be written, which is logged.  flags: of json_dumps(). */
char *bsh_json_text(const json_t *json, size_t flags);

#endif
