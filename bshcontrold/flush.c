/*
 * Copies new events of the time line, and those received from the router, to
 * the store in batches, one object each.
 */
#include "control.h"

#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/json_text.h"

#define OBJECT_KIND "timeline"
/* A batch ends when it exceeds this size; the store takes objects of up to
 * 1 MB.  Further events follow in the next batch. */
#define BATCH_MAX_BYTES 900000

struct flush {
	bsh_loop_timer_t timer;
	uint64_t written_sequence; /* last own event in the store */
	uint64_t batch_sequence;   /* last own event of the pending batch */
	uint64_t router_written_arrival; /* last router event in the store */
	uint64_t router_batch_arrival;	 /* last router event of that batch */
	bool is_writing;		 /* a batch is pending at the store */
	uint64_t next_batch;		 /* number of the next batch, from 0 */
	bool has_final_batch; /* flush_finish() has written its batch */
};

static bsh_counter_t batches_counter = BSH_COUNTER(
	"bsh_timeline_batches_total", "Batches written to the store.");
static bsh_counter_t lost_counter = BSH_COUNTER(
	"bsh_timeline_lost_total", "Events overwritten before they were "
				   "written to the store.");

static void on_written(void *ctx, const bsh_store_answer_t *answer)
{
	control_t *control = ctx;
	struct flush *flush = control->flush;

	/*
	 * A conflict means that an earlier write of this batch took effect
	 * although its answer was lost, perhaps with fewer events.  All events
	 * are written again under the next number; readers drop duplicates.
	 */
	if (answer->result == BSH_CALL_CONFLICT)
		flush->next_batch++;
	if (answer->result == BSH_CALL_DONE) {
		flush->written_sequence = flush->batch_sequence;
		flush->router_written_arrival = flush->router_batch_arrival;
		flush->next_batch++;
		bsh_counter_add(&batches_counter, 1);
	}
	flush->is_writing = false;
}

/* Append events, one a line of text, up to the size limit.  Returns the
 * sequence of the last one, or since if there is none. */
static uint64_t append_events(json_t *list, char *text, uint64_t since)
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

	bsh_timeline_print(&control->timeline, flush->written_sequence, text);
	flush->batch_sequence =
		append_events(list, text->str, flush->written_sequence);
	first = (uint64_t)json_integer_value(
		json_object_get(json_array_get(list, 0), "sequence"));
	if (first > flush->written_sequence + 1)
		bsh_counter_add(&lost_counter,
				(int64_t)(first - flush->written_sequence - 1));
	flush->router_batch_arrival =
		events_append(control, list, flush->router_written_arrival,
			      BATCH_MAX_BYTES - MIN(BATCH_MAX_BYTES, text->len),
			      &overwritten);
	bsh_counter_add(&lost_counter, (int64_t)overwritten);
	if (json_array_size(list) == 0) {
		json_decref(list);
		return;
	}
	flush->is_writing = true;
	/* The incarnation is the start of the process, so a later process uses
	 * higher numbers. */
	name = g_strdup_printf("%s-%" G_GUINT64_FORMAT,
			       control->settings.instance,
			       control->incarnation + flush->next_batch);
	value = bsh_json_pack("{s:o}", "events", list);
	body = bsh_json_text(value, JSON_COMPACT);
	bsh_store_put(&control->store, OBJECT_KIND, name, 0, body, strlen(body),
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
	bsh_counter_register(&batches_counter);
	bsh_counter_register(&lost_counter);
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
	if (flush->has_final_batch)
		return true;
	flush->has_final_batch = true;
	write_batch(control);
	return !flush->is_writing;
}

void flush_stop(control_t *control)
{
	bsh_loop_timer_stop(&control->flush->timer);
	g_free(control->flush);
}
