#include "base/json_text.h"
#include "base/timeline.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void bsh_timeline_init(bsh_timeline_t *tl, bsh_hlc_t *clock,
		       const char *instance, const char *program,
		       uint64_t incarnation, uint32_t capacity)
{
	memset(tl, 0, sizeof(*tl));
	pthread_mutex_init(&tl->lock, NULL);
	tl->clock = clock;
	snprintf(tl->process, sizeof(tl->process), "%s/%s", instance, program);
	tl->incarnation = incarnation;
	tl->capacity = capacity;
	tl->ring = g_new0(bsh_timeline_event_t, capacity);
	tl->next_sequence = 1;
}

void bsh_timeline_finish(bsh_timeline_t *tl)
{
	for (uint32_t i = 0; i < tl->capacity; i++)
		free(tl->ring[i].json);
	g_free(tl->ring);
	tl->ring = NULL;
	pthread_mutex_destroy(&tl->lock);
}

bsh_hlc_stamp_t bsh_timeline_stamp(bsh_timeline_t *tl)
{
	bsh_hlc_stamp_t stamp;

	pthread_mutex_lock(&tl->lock);
	stamp = bsh_hlc_tick(tl->clock, g_get_real_time());
	pthread_mutex_unlock(&tl->lock);
	return stamp;
}

void bsh_timeline_receive(bsh_timeline_t *tl, bsh_hlc_stamp_t remote)
{
	pthread_mutex_lock(&tl->lock);
	bsh_hlc_receive(tl->clock, g_get_real_time(), remote);
	pthread_mutex_unlock(&tl->lock);
}

static void append_event(bsh_timeline_t *tl, const char *kind, json_t *details)
{
	bsh_timeline_event_t *slot;
	bsh_hlc_stamp_t stamp = bsh_hlc_tick(tl->clock, g_get_real_time());
	json_t *event;

	event = bsh_json_pack("{s:I, s:i, s:s, s:I, s:I, s:s, s:o}", "hlc_us",
			      (json_int_t)stamp.physical_us, "hlc_logical",
			      (int)stamp.logical, "process", tl->process,
			      "incarnation", (json_int_t)tl->incarnation,
			      "sequence", (json_int_t)tl->next_sequence,
			      "event", kind, "details", details);
	if (event == NULL)
		return;
	slot = &tl->ring[tl->next_sequence % tl->capacity];
	free(slot->json);
	slot->json = bsh_json_text(event, JSON_COMPACT);
	slot->stamp = stamp;
	slot->sequence = tl->next_sequence++;
	json_decref(event);
}

void bsh_timeline_add(bsh_timeline_t *tl, const char *kind, const char *format,
		      ...)
{
	json_t *details = NULL;
	va_list ap;

	if (format != NULL) {
		va_start(ap, format);
		details = bsh_json_vpack(format, ap);
		va_end(ap);
	}
	/* If the details cannot be packed, record the event without them. */
	if (details == NULL)
		details = json_object();
	pthread_mutex_lock(&tl->lock);
	append_event(tl, kind, details);
	pthread_mutex_unlock(&tl->lock);
}

uint64_t bsh_timeline_print(bsh_timeline_t *tl, uint64_t since, GString *out)
{
	uint64_t oldest = 1;

	pthread_mutex_lock(&tl->lock);
	if (tl->next_sequence > tl->capacity)
		oldest = tl->next_sequence - tl->capacity;
	if (since + 1 < oldest)
		since = oldest - 1;
	while (since + 1 < tl->next_sequence) {
		since++;
		g_string_append(out, tl->ring[since % tl->capacity].json);
		g_string_append_c(out, '\n');
	}
	pthread_mutex_unlock(&tl->lock);
	return since;
}
