/*
 * Time line events received from the router of this instance.  The newest ones
 * are held in memory, and flush.c copies them to the store.
 */
#include "control.h"

#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/json_text.h"

typedef struct {
	json_t *json;
	size_t size_bytes; /* length of its line, with the newline */
	uint64_t arrival;  /* number of the event in this process, from 1 */
} event_t;

struct events {
	GQueue queue;	       /* event_t, oldest first */
	uint64_t last_arrival; /* arrival number of the newest event */
	uint64_t incarnation;  /* of the router that sent the newest event */
	uint64_t sequence;     /* of the newest event at that router */
};

static bsh_counter_t received_counter =
	BSH_COUNTER("bsh_router_events_total", "Events taken from the router.");
static bsh_counter_t rejected_counter =
	BSH_COUNTER("bsh_router_events_rejected_total",
		    "Events of the router that were malformed.");

static void free_event(void *data)
{
	event_t *event = data;

	json_decref(event->json);
	g_free(event);
}

/* A router sends all events of its ring again after it has reconnected; those
 * already received are dropped here. */
static bool is_new(struct events *events, const json_t *json)
{
	uint64_t incarnation = (uint64_t)json_integer_value(
		json_object_get(json, "incarnation"));
	uint64_t sequence =
		(uint64_t)json_integer_value(json_object_get(json, "sequence"));

	if (incarnation < events->incarnation ||
	    (incarnation == events->incarnation &&
	     sequence <= events->sequence))
		return false;
	events->incarnation = incarnation;
	events->sequence = sequence;
	return true;
}

static void add_event(control_t *control, const char *line)
{
	struct events *events = control->events;
	json_t *json = json_loads(line, JSON_REJECT_DUPLICATES, NULL);
	event_t *event;

	if (!json_is_object(json)) {
		bsh_counter_add(&rejected_counter, 1);
		json_decref(json);
		return;
	}
	if (!is_new(events, json)) {
		json_decref(json);
		return;
	}
	event = g_new0(event_t, 1);
	event->json = json;
	event->size_bytes = strlen(line) + 1;
	event->arrival = ++events->last_arrival;
	g_queue_push_tail(&events->queue, event);
	while (g_queue_get_length(&events->queue) >
	       control->settings.timeline_events)
		free_event(g_queue_pop_head(&events->queue));
	bsh_counter_add(&received_counter, 1);
}

void events_receive(control_t *control, const bsh_message_t *message)
{
	g_autofree char *text = g_strdup(message->events.lines);
	char *save = NULL;

	for (char *line = strtok_r(text, "\n", &save); line != NULL;
	     line = strtok_r(NULL, "\n", &save))
		add_event(control, line);
}

uint64_t events_append(const control_t *control, json_t *list, uint64_t since,
		       size_t limit_bytes, uint64_t *overwritten)
{
	size_t bytes = 0;

	*overwritten = 0;
	for (const GList *l = control->events->queue.head; l != NULL;
	     l = l->next) {
		const event_t *event = l->data;

		if (event->arrival <= since)
			continue;
		if (bytes >= limit_bytes)
			break;
		*overwritten += event->arrival - since - 1;
		since = event->arrival;
		bytes += event->size_bytes;
		json_array_append(list, event->json);
	}
	return since;
}

void events_print(const control_t *control, GString *out)
{
	for (const GList *l = control->events->queue.head; l != NULL;
	     l = l->next) {
		const event_t *event = l->data;
		char *line = bsh_json_text(event->json, JSON_COMPACT);

		g_string_append(out, line);
		g_string_append_c(out, '\n');
		free(line);
	}
}

void events_start(control_t *control)
{
	control->events = g_new0(struct events, 1);
	g_queue_init(&control->events->queue);
	bsh_counter_register(&received_counter);
	bsh_counter_register(&rejected_counter);
}

void events_stop(control_t *control)
{
	g_queue_clear_full(&control->events->queue, free_event);
	g_free(control->events);
	control->events = NULL;
}
