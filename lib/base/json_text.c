#include "base/json_text.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"

/* What of a format is not read yet, and its arguments. */
typedef struct {
	const char *at;
	va_list ap;
} packer_t;

json_t *bsh_json_string(const char *text)
{
	json_t *json = json_string(text);
	GString *clean;

	if (json != NULL || text == NULL)
		return json;
	clean = g_string_new(NULL);
	while (*text != '\0') {
		gunichar c = g_utf8_get_char_validated(text, -1);

		/* (gunichar)-1 and -2 stand for bytes that are no UTF-8. */
		if (c < (gunichar)-2)
			g_string_append_unichar(clean, c);
		else
			g_string_append_c(clean, '?');
		text += c < (gunichar)-2 ? g_utf8_skip[(guchar)*text] : 1;
	}
	json = json_string(clean->str);
	g_string_free(clean, TRUE);
	return json;
}

static json_t *pack_value(packer_t *packer);

static void skip_separators(packer_t *packer)
{
	packer->at += strspn(packer->at, " \t\n,:");
}

/* True, and skipped, if the value may be NULL. */
static bool is_optional(packer_t *packer)
{
	if (*packer->at != '?')
		return false;
	packer->at++;
	return true;
}

static json_t *pack_text(packer_t *packer)
{
	const char *text = va_arg(packer->ap, const char *);
	bool optional = is_optional(packer);

	if (text != NULL)
		return bsh_json_string(text);
	return optional ? json_null() : NULL;
}

static json_t *pack_reference(packer_t *packer, bool is_taken)
{
	json_t *value = va_arg(packer->ap, json_t *);
	bool optional = is_optional(packer);

	if (value == NULL)
		return optional ? json_null() : NULL;
	return is_taken ? value : json_incref(value);
}

/* Returns false for a member without a value; all arguments are read, as values
 * of "o" are taken over in any case. */
static bool pack_member(packer_t *packer, json_t *object)
{
	const char *key;
	json_t *value;

	if (*packer->at++ != 's')
		return false;
	key = va_arg(packer->ap, const char *);
	skip_separators(packer);
	value = pack_value(packer);
	return json_object_set_new(object, key, value) == 0;
}

static json_t *pack_container(packer_t *packer, char end)
{
	bool is_object = end == '}';
	json_t *container = is_object ? json_object() : json_array();
	bool is_whole = true;

	for (skip_separators(packer); *packer->at != end;
	     skip_separators(packer)) {
		bool is_packed = false;

		if (*packer->at == '\0') {
			json_decref(container);
			return NULL;
		}
		if (is_object)
			is_packed = pack_member(packer, container);
		else
			is_packed = json_array_append_new(
					    container, pack_value(packer)) == 0;
		is_whole = is_whole && is_packed;
	}
	packer->at++;
	if (is_whole)
		return container;
	json_decref(container);
	return NULL;
}

static json_t *pack_value(packer_t *packer)
{
	skip_separators(packer);
	if (*packer->at == '\0')
		return NULL;
	switch (*packer->at++) {
	case '{':
		return pack_container(packer, '}');
	case '[':
		return pack_container(packer, ']');
	case 's':
		return pack_text(packer);
	case 'i':
		return json_integer(va_arg(packer->ap, int));
	case 'I':
		return json_integer(va_arg(packer->ap, json_int_t));
	case 'f':
		return json_real(va_arg(packer->ap, double));
	case 'b':
		return json_boolean(va_arg(packer->ap, int));
	case 'n':
		return json_null();
	case 'o':
		return pack_reference(packer, true);
	case 'O':
		return pack_reference(packer, false);
	default:
		return NULL;
	}
}

json_t *bsh_json_vpack(const char *format, va_list ap)
{
	packer_t packer = { .at = format };
	json_t *json;

	va_copy(packer.ap, ap);
	json = pack_value(&packer);
	va_end(packer.ap);
	return json;
}

json_t *bsh_json_pack(const char *format, ...)
{
	json_t *json;
	va_list ap;

	va_start(ap, format);
	json = bsh_json_vpack(format, ap);
	va_end(ap);
	return json;
}

char *bsh_json_text(const json_t *json, size_t flags)
{
	char *text = json_dumps(json, flags);

	if (text != NULL)
		return text;
	bsh_log(BSH_LOG_ERROR, "json-not-written");
	return g_strdup("null");
}
