#include "coordination/stream_journal.h"

#include <string.h>

/* A record as big-endian bytes: the stream, then its version. */
#define RECORD_BYTES 16U

void bsh_stream_journal_init(bsh_stream_journal_t *journal)
{
	memset(journal, 0, sizeof(*journal));
	journal->interval_us = BSH_STREAM_WRITE_INTERVAL_US;
	for (uint32_t i = 0; i < BSH_STREAM_SEGMENTS; i++)
		journal->segments[i].records =
			g_array_new(FALSE, FALSE, sizeof(bsh_stream_record_t));
	journal->known = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
}

void bsh_stream_journal_finish(bsh_stream_journal_t *journal)
{
	for (uint32_t i = 0; i < BSH_STREAM_SEGMENTS; i++)
		g_array_free(journal->segments[i].records, TRUE);
	g_hash_table_destroy(journal->known);
}

static bool is_over(const bsh_stream_segment_t *segment, int64_t now_us)
{
	return segment->records->len >= BSH_STREAM_SEGMENT_RECORDS_MAX ||
	       (segment->records->len > 0 &&
		now_us - segment->began_us >= BSH_STREAM_SEGMENT_US);
}

static void begin_segment(bsh_stream_journal_t *journal)
{
	bsh_stream_segment_t *segment;

	journal->current = (journal->current + 1) % BSH_STREAM_SEGMENTS;
	segment = &journal->segments[journal->current];
	g_array_set_size(segment->records, 0);
	segment->stored = 0;
	g_hash_table_remove_all(journal->known);
}

void bsh_stream_journal_add(bsh_stream_journal_t *journal, uint64_t stream,
			    uint64_t software, int64_t now_us)
{
	bsh_stream_record_t record = { stream, software };
	bsh_stream_segment_t *segment;
	const uint64_t *known;

	if (stream == 0 || software == 0)
		return;
	if (is_over(&journal->segments[journal->current], now_us))
		begin_segment(journal);
	segment = &journal->segments[journal->current];
	known = g_hash_table_lookup(journal->known, &stream);
	if (known != NULL && *known == software)
		return;
	g_hash_table_replace(journal->known, g_memdup2(&stream, sizeof(stream)),
			     g_memdup2(&software, sizeof(software)));
	if (segment->records->len == 0)
		segment->began_us = now_us;
	g_array_append_val(segment->records, record);
	if (journal->pending_us == 0)
		journal->pending_us = now_us;
}

static bool has_news(const bsh_stream_segment_t *segment)
{
	return segment->stored < segment->records->len;
}

/* Number of the oldest segment with records that the store does not have;
 * BSH_STREAM_SEGMENTS: there is none. */
static uint32_t oldest_with_news(const bsh_stream_journal_t *journal)
{
	for (uint32_t i = 1; i <= BSH_STREAM_SEGMENTS; i++) {
		uint32_t at = (journal->current + i) % BSH_STREAM_SEGMENTS;

		if (has_news(&journal->segments[at]))
			return at;
	}
	return BSH_STREAM_SEGMENTS;
}

int64_t bsh_stream_journal_next_us(const bsh_stream_journal_t *journal)
{
	int64_t next_us;
	bool is_left;

	if (journal->writing || journal->pending_us == 0)
		return INT64_MAX;
	next_us = journal->pending_us + BSH_STREAM_WRITE_DELAY_US;
	/* What is left of a segment that is over does not delay the current
	 * one, unless the store fails. */
	is_left = oldest_with_news(journal) != journal->current &&
		  journal->interval_us == BSH_STREAM_WRITE_INTERVAL_US;
	if (journal->written_us != 0 && !is_left)
		next_us = MAX(next_us,
			      journal->written_us + journal->interval_us);
	return next_us;
}

const GArray *bsh_stream_journal_begin_write(bsh_stream_journal_t *journal,
					     uint32_t *number, int64_t now_us)
{
	uint32_t at = oldest_with_news(journal);

	if (at == BSH_STREAM_SEGMENTS ||
	    now_us < bsh_stream_journal_next_us(journal))
		return NULL;
	journal->writing = true;
	journal->writing_at = at;
	journal->writing_n = journal->segments[at].records->len;
	/* The interval is that of the current segment. */
	if (at == journal->current ||
	    journal->interval_us != BSH_STREAM_WRITE_INTERVAL_US)
		journal->written_us = now_us;
	*number = at;
	return journal->segments[at].records;
}

static void update_pending(bsh_stream_journal_t *journal, int64_t now_us)
{
	bool is_pending = false;

	for (uint32_t i = 0; i < BSH_STREAM_SEGMENTS; i++)
		is_pending = is_pending || has_news(&journal->segments[i]);
	journal->pending_us = is_pending ? now_us : 0;
}

void bsh_stream_journal_end_write(bsh_stream_journal_t *journal, bool stored,
				  int64_t now_us)
{
	bsh_stream_segment_t *segment = &journal->segments[journal->writing_at];

	journal->writing = false;
	journal->interval_us = stored ? BSH_STREAM_WRITE_INTERVAL_US
				      : MIN(journal->interval_us * 2,
					    BSH_STREAM_WRITE_BACKOFF_MAX_US);
	/* It may have been used again meanwhile. */
	if (stored && segment->records->len >= journal->writing_n)
		segment->stored = MAX(segment->stored, journal->writing_n);
	update_pending(journal, now_us);
}

void bsh_stream_journal_lost(bsh_stream_journal_t *journal, int64_t now_us)
{
	for (uint32_t i = 0; i < BSH_STREAM_SEGMENTS; i++)
		journal->segments[i].stored = 0;
	update_pending(journal, now_us);
}

static void put_be64(uint8_t *at, uint64_t value)
{
	value = GUINT64_TO_BE(value);
	memcpy(at, &value, sizeof(value));
}

static uint64_t get_be64(const uint8_t *at)
{
	uint64_t value;

	memcpy(&value, at, sizeof(value));
	return GUINT64_FROM_BE(value);
}

char *bsh_stream_records_encode(const GArray *records)
{
	uint8_t *bytes = g_malloc0_n(records->len + 1, RECORD_BYTES);
	char *text;

	for (guint i = 0; i < records->len; i++) {
		const bsh_stream_record_t *record =
			&g_array_index(records, bsh_stream_record_t, i);

		put_be64(bytes + i * RECORD_BYTES, record->stream);
		put_be64(bytes + i * RECORD_BYTES + 8, record->software);
	}
	text = g_base64_encode(bytes, (gsize)records->len * RECORD_BYTES);
	g_free(bytes);
	return text;
}

bool bsh_stream_records_decode(const char *text, GArray *records)
{
	g_autofree uint8_t *bytes = NULL;
	size_t length = strlen(text);
	gsize size = 0;

	if (length % 4 != 0 ||
	    strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
			 "0123456789+/=") != length)
		return false;
	bytes = g_base64_decode(text, &size);
	if (size % RECORD_BYTES != 0 ||
	    size / RECORD_BYTES > BSH_STREAM_SEGMENT_RECORDS_MAX)
		return false;
	for (gsize at = 0; at < size; at += RECORD_BYTES) {
		bsh_stream_record_t record = { get_be64(bytes + at),
					       get_be64(bytes + at + 8) };

		if (record.stream != 0 && record.software != 0)
			g_array_append_val(records, record);
	}
	return true;
}
