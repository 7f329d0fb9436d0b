#include "base/name.h"

#include <glib.h>
#include <string.h>

static bool is_name_character(gunichar c)
{
	return g_unichar_isgraph(c) && !g_unichar_isspace(c) && c != '"' &&
	       c != '=' && c != '\\';
}

bool bsh_is_name(const char *text, size_t size)
{
	if (text == NULL || text[0] == '\0' || strlen(text) >= size ||
	    !g_utf8_validate(text, -1, NULL))
		return false;
	for (; *text != '\0'; text = g_utf8_next_char(text))
		if (!is_name_character(g_utf8_get_char(text)))
			return false;
	return true;
}

const char *bsh_log_text(const char *text, char out[BSH_LOG_TEXT_SIZE])
{
	size_t n = 0;

	while (text != NULL && *text != '\0') {
		gunichar c = g_utf8_get_char_validated(text, -1);
		/* (gunichar)-1 and -2 stand for bytes that are no UTF-8. */
		bool is_valid = c < (gunichar)-2;
		size_t size = is_valid ? (size_t)g_unichar_to_utf8(c, NULL) : 1;
		bool is_kept = is_valid && is_name_character(c);

		if (n + (is_kept ? size : 1) >= BSH_LOG_TEXT_SIZE)
			break;
		if (is_kept)
			memcpy(out + n, text, size);
		else
			out[n] = '?';
		n += is_kept ? size : 1;
		text += size;
	}
	if (n == 0)
		out[n++] = '-';
	out[n] = '\0';
	return out;
}
