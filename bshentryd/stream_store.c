#include "stream_store.h"

#include "base/counter.h"
#include "base/json_text.h"
#include "base/log.h"
#include "base/name.h"

static bsh_counter_t segments_written =
	BSH_COUNTER("bsh_stream_segments_written_total",
		    "Segments of stream records that were written to the "
		    "store.");

static void write_segment(void *ctx);
static void list_page(stream_store_t *ss);

void stream_store_init(stream_store_t *ss, platform_store_t *store,
		       bsh_loop_t *loop, const char *instance,
		       stream_store_read_fn_t on_read, void *ctx)
{
	*ss = (stream_store_t){
		.store = store,
		.instance = instance,
		.on_read = on_read,
		.ctx = ctx,
		.records =
			g_array_new(FALSE, FALSE, sizeof(bsh_stream_record_t)),
	};
	bsh_counter_register(&segments_written);
	bsh_stream_journal_init(&ss->journal);
	bsh_loop_timer_init(&ss->write_timer, loop, write_segment, ss);
}

void stream_store_finish(stream_store_t *ss)
{
	bsh_loop_timer_stop(&ss->write_timer);
	bsh_stream_journal_finish(&ss->journal);
	g_array_free(ss->records, TRUE);
	g_free(ss->after);
}

static void schedule_write(stream_store_t *ss)
{
	int64_t next_us = bsh_stream_journal_next_us(&ss->journal);

	if (next_us != INT64_MAX)
		bsh_loop_timer_after(&ss->write_timer,
				     MAX(next_us - bsh_loop_clock_us(), 0));
}

static void on_written(void *ctx, const platform_answer_t *answer)
{
	stream_store_t *ss = ctx;
	bool stored = answer->result == PLATFORM_DONE;

	/* Created by an earlier process of this instance, or deleted. */
	if (answer->result == PLATFORM_CONFLICT)
		ss->exists[ss->writing] = true;
	else if (answer->result == PLATFORM_ABSENT)
		ss->exists[ss->writing] = false;
	else
		ss->exists[ss->writing] = ss->exists[ss->writing] || stored;
	if (stored)
		bsh_counter_add(&segments_written, 1);
	else if (answer->result != PLATFORM_CONFLICT)
		bsh_log(BSH_LOG_WARNING,
			"stream-segment-not-stored segment=%u result=%s "
			"status=%d",
			ss->writing, platform_result_name(answer->result),
			answer->status);
	bsh_stream_journal_end_write(&ss->journal, stored, bsh_loop_clock_us());
	schedule_write(ss);
}

static void write_segment(void *ctx)
{
	stream_store_t *ss = ctx;
	const GArray *records = bsh_stream_journal_begin_write(
		&ss->journal, &ss->writing, bsh_loop_clock_us());
	g_autofree char *text = NULL;
	g_autofree char *name = NULL;
	json_t *spec;

	if (records == NULL) {
		schedule_write(ss);
		return;
	}
	text = bsh_stream_records_encode(records);
	name = g_strdup_printf("%s-%u", ss->instance, ss->writing);
	spec = bsh_json_pack("{s:s}", "records", text);
	if (ss->exists[ss->writing])
		platform_store_replace(ss->store, PLATFORM_KIND_STREAMS, name,
				       0, spec, on_written, ss);
	else
		platform_store_create(ss->store, PLATFORM_KIND_STREAMS, name,
				      spec, on_written, ss);
}

void stream_store_add(stream_store_t *ss, const bsh_stream_record_t *records,
		      uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		bsh_stream_journal_add(&ss->journal, records[i].stream,
				       records[i].software,
				       bsh_loop_clock_us());
	schedule_write(ss);
}

static void end_read(stream_store_t *ss)
{
	ss->reading = false;
	ss->on_read(ss->ctx, ss->records);
	g_array_set_size(ss->records, 0);
}

static void on_page(void *ctx, const platform_answer_t *answer)
{
	stream_store_t *ss = ctx;

	g_clear_pointer(&ss->after, g_free);
	if (answer->result != PLATFORM_DONE) {
		bsh_log(BSH_LOG_WARNING,
			"stream-segments-not-read result=%s status=%d",
			platform_result_name(answer->result), answer->status);
		g_array_set_size(ss->records, 0);
		end_read(ss);
		return;
	}
	for (uint32_t i = 0; i < answer->n; i++) {
		const platform_object_t *object = &answer->objects[i];
		const char *text = json_string_value(
			json_object_get(object->spec, "records"));
		char name[BSH_LOG_TEXT_SIZE];

		if (text == NULL ||
		    !bsh_stream_records_decode(text, ss->records))
			bsh_log(BSH_LOG_WARNING,
				"stream-segment-not-decoded object=%s",
				bsh_log_text(object->name, name));
	}
	if (answer->truncated && answer->n > 0) {
		ss->after = g_strdup(answer->objects[answer->n - 1].name);
		list_page(ss);
		return;
	}
	bsh_log(BSH_LOG_INFO, "stream-segments-read records=%u",
		ss->records->len);
	end_read(ss);
}

static void list_page(stream_store_t *ss)
{
	g_autofree char *after = g_strdup(ss->after);

	platform_store_list(ss->store, PLATFORM_KIND_STREAMS, after, false,
			    on_page, ss);
}

bool stream_store_read(stream_store_t *ss)
{
	int64_t now_us = bsh_loop_clock_us();

	if (ss->reading)
		return true;
	if (ss->read_us != 0 &&
	    now_us - ss->read_us < STREAM_STORE_READ_INTERVAL_US)
		return false;
	ss->reading = true;
	ss->read_us = now_us;
	list_page(ss);
	return true;
}

void stream_store_restored(stream_store_t *ss)
{
	bsh_stream_journal_lost(&ss->journal, bsh_loop_clock_us());
	schedule_write(ss);
}
