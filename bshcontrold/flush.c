/* Writes new events of the time line to the store, in batches. */
#include "control.h"

#include <stdlib.h>
#include <string.h>

#include "base/counter.h"

#define KIND "timeline"
/* Of one object; the rest follows with the next batch. */
#define BATCH_MAX_BYTES 900000

struct flush {
	bsh_loop_timer_t timer;
	uint64_t written;	 /* sequence of the last event in the store */
	uint64_t writing;	 /* of the batch under way */
	uint64_t router_written; /* the same for the router's events */
	uint64_t router_writing;
	bool is_writing;
	uint64_t number; /* of the next batch */
	bool is_final;	 /* the last batch has been started */
};

static bsh_counter_t batches = BSH_COUNTER("bsh_timeline_batches_total",
					   "Batches written to the store.");
static bsh_counter_t lost = BSH_COUNTER("bsh_timeline_lost_total",
					"Events overwritten before they were "
					"written to the store.");

static void on_written(void *ctx, const bsh_store_answer_t *answer)
{
	control_t *control = ctx;
	struct flush *flush = control->flush;

	/*
	 * On a conflict an earlier try took effect, perhaps with fewer events:
	 * all are written again under the next number, and readers drop what
	 * they have twice.
	 */
	if (answer->result == BSH_CALL_CONFLICT)
		flush->number++;
	if (answer->result == BSH_CALL_DONE) {
		flush->written = flush->writing;
		flush->router_written = flush->router_writing;
		flush->number++;
		bsh_counter_add(&batches, 1);
	}
	flush->is_writing = false;
}

/* Lines up to the size limit; returns the sequence of the last one. */
static uint64_t add_lines(json_t *list, char *text, uint64_t since)
{
	size_t bytes = 0;
	uint64_t last = since;
	char *save = NULL;

	for (char *line = strtok_r(text, "\n", &save);
	     line != NULL && bytes < BATCH_MAX_BYTES;
	     line = strtok_r(NULL, "\n", &save)) {
		json_t *event = json_loads(line, 0, NULL);

		bytes += strlen(line) + 1;
		if (event == NULL)
			continue;
		last = (uint64_t)json_integer_value(
			json_object_get(event, "sequence"));
		json_array_append_new(list, event);
	}
	return last;
}

static void write_batch(control_t *control)
{
	struct flush *flush = control->flush;
	g_autoptr(GString) text = g_string_new(NULL);
	g_autofree char *name = NULL;
	json_t *list = json_array();
	json_t *value;
	uint64_t first;
	uint64_t overwritten;
	char *body;

	bsh_timeline_print(&control->timeline, flush->written, text);
	flush->writing = add_lines(list, text->str, flush->written);
	first = (uint64_t)json_integer_value(
		json_object_get(json_array_get(list, 0), "sequence"));
	if (first > flush->written + 1)
		bsh_counter_add(&lost, (int64_t)(first - flush->written - 1));
	flush->router_writing =
		events_append(control, list, flush->router_written,
			      BATCH_MAX_BYTES - MIN(BATCH_MAX_BYTES, text->len),
			      &overwritten);
	bsh_counter_add(&lost, (int64_t)overwritten);
	if (json_array_size(list) == 0) {
		json_decref(list);
		return;
	}
	flush->is_writing = true;
	/* Numbers of a later process are higher: they begin at its start. */
	name = g_strdup_printf("%s-%" G_GUINT64_FORMAT,
			       control->settings.instance,
			       control->incarnation + flush->number);
	value = json_pack("{s:o}", "events", list);
	body = json_dumps(value, JSON_COMPACT);
	bsh_store_put(&control->store, KIND, name, 0, body, strlen(body),
		      on_written, control);
	free(body);
	json_decref(value);
}

static void on_timer(void *ctx)
{
	control_t *control = ctx;
	struct flush *flush = control->flush;

	bsh_loop_timer_after(&flush->timer,
			     (int64_t)control->settings.timeline_flush_ms *
				     1000);
	if (!flush->is_writing)
		write_batch(control);
}

void flush_start(control_t *control)
{
	control->flush = g_new0(struct flush, 1);
	bsh_counter_register(&batches);
	bsh_counter_register(&lost);
	bsh_loop_timer_init(&control->flush->timer, &control->loop, on_timer,
			    control);
	bsh_loop_timer_after(&control->flush->timer,
			     (int64_t)control->settings.timeline_flush_ms *
				     1000);
}

bool flush_finish(control_t *control)
{
	struct flush *flush = control->flush;

	if (flush->is_writing)
		return false;
	if (flush->is_final)
		return true;
	flush->is_final = true;
	write_batch(control);
	return !flush->is_writing;
}

void flush_stop(control_t *control)
{
	bsh_loop_timer_stop(&control->flush->timer);
	g_free(control->flush);
}
