#include "protocol/event_relay.h"

#include <string.h>

void bsh_event_relay_init(bsh_event_relay_t *relay, uint64_t after_id)
{
	relay->pending = g_string_new(NULL);
	relay->last_id = after_id;
	relay->passed = 0;
}

void bsh_event_relay_finish(bsh_event_relay_t *relay)
{
	if (relay->pending != NULL)
		g_string_free(relay->pending, TRUE);
	relay->pending = NULL;
}

/* Size of the first event with its empty line, or 0 if it is incomplete. */
static size_t first_event_bytes(const char *text, size_t size)
{
	size_t at = 0;

	while (at < size) {
		const char *lf = memchr(text + at, '\n', size - at);
		size_t line;

		if (lf == NULL)
			return 0;
		line = (size_t)(lf - text) - at;
		if (line == 0 || (line == 1 && text[at] == '\r'))
			return at + line + 1;
		at += line + 1;
	}
	return 0;
}

/* Value of the id field, or 0 if the event has none. */
static uint64_t event_id(const char *text, size_t size)
{
	size_t at = 0;

	while (at < size) {
		const char *lf = memchr(text + at, '\n', size - at);
		size_t end = lf != NULL ? (size_t)(lf - text) : size;

		if (end - at > 3 && memcmp(text + at, "id:", 3) == 0) {
			char number[24];
			size_t digits = MIN(end - at - 3, sizeof(number) - 1);

			memcpy(number, text + at + 3, digits);
			number[digits] = '\0';
			return g_ascii_strtoull(number, NULL, 10);
		}
		at = end + 1;
	}
	return 0;
}

static bsh_error_t relay_event(bsh_event_relay_t *relay, const char *event,
			       size_t size, GString *out)
{
	uint64_t id = event_id(event, size);

	if (id > 0 && id <= relay->last_id)
		return BSH_OK;
	if (id > 0 && id != relay->last_id + 1)
		return BSH_ERR_MISMATCH;
	if (id > 0)
		relay->last_id = id;
	relay->passed++;
	g_string_append_len(out, event, (gssize)size);
	return BSH_OK;
}

bsh_error_t bsh_event_relay_feed(bsh_event_relay_t *relay, const char *data,
				 size_t size, GString *out)
{
	bsh_error_t err = BSH_OK;
	size_t at = 0;
	size_t end;

	g_string_append_len(relay->pending, data, (gssize)size);
	while (err == BSH_OK) {
		end = first_event_bytes(relay->pending->str + at,
					relay->pending->len - at);
		if (end == 0)
			break;
		err = relay_event(relay, relay->pending->str + at, end, out);
		at += end;
	}
	g_string_erase(relay->pending, 0, (gssize)at);
	if (err == BSH_OK && relay->pending->len > BSH_EVENT_MAX_BYTES)
		err = BSH_ERR_TOO_LARGE;
	return err;
}

void bsh_event_relay_restart(bsh_event_relay_t *relay)
{
	g_string_truncate(relay->pending, 0);
}

bool bsh_event_relay_is_between_events(const bsh_event_relay_t *relay)
{
	return relay->pending->len == 0;
}
