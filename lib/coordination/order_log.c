#include "coordination/order_log.h"

#include <string.h>

void bsh_order_log_init(bsh_order_log_t *log, int64_t absent_us,
			int64_t exclusion_us, int64_t now_us)
{
	memset(log, 0, sizeof(*log));
	log->ready_us = now_us + absent_us;
	log->keep_us = BSH_ORDER_LOG_VALID_US + exclusion_us;
	log->entries = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					     NULL, g_free);
}

void bsh_order_log_finish(bsh_order_log_t *log)
{
	g_hash_table_destroy(log->entries);
}

static void note_receipt(bsh_order_log_t *log, uint32_t key, int64_t now_us)
{
	int64_t *received_us =
		g_hash_table_lookup(log->entries, GUINT_TO_POINTER(key));

	if (received_us == NULL) {
		received_us = g_new0(int64_t, 1);
		g_hash_table_insert(log->entries, GUINT_TO_POINTER(key),
				    received_us);
	}
	*received_us = now_us;
}

static void drop_old(bsh_order_log_t *log, int64_t now_us)
{
	GHashTableIter iter;
	void *received;

	g_hash_table_iter_init(&iter, log->entries);
	while (g_hash_table_iter_next(&iter, NULL, &received))
		if (now_us - *(const int64_t *)received >= log->keep_us)
			g_hash_table_iter_remove(&iter);
}

bool bsh_order_log_append(bsh_order_log_t *log, uint64_t term,
			  const uint32_t *keys, uint32_t n, int64_t now_us)
{
	if (term < log->term || now_us < log->ready_us)
		return false;
	log->term = term;
	if (g_hash_table_size(log->entries) > BSH_ORDER_LIST_MAX)
		drop_old(log, now_us);
	for (uint32_t i = 0; i < n; i++)
		note_receipt(log, keys[i], now_us);
	return true;
}

bool bsh_order_log_read(bsh_order_log_t *log, uint64_t term, GArray *list,
			int64_t now_us)
{
	GHashTableIter iter;
	void *key;
	void *received;

	if (term < log->term || now_us < log->ready_us)
		return false;
	log->term = term;
	drop_old(log, now_us);
	g_hash_table_iter_init(&iter, log->entries);
	while (g_hash_table_iter_next(&iter, &key, &received)) {
		bsh_order_time_t entry = { GPOINTER_TO_UINT(key),
					   *(const int64_t *)received };

		g_array_append_val(list, entry);
	}
	return true;
}

void bsh_order_log_writer_init(bsh_order_log_writer_t *writer)
{
	memset(writer, 0, sizeof(*writer));
	writer->valid = g_array_new(FALSE, FALSE, sizeof(bsh_order_time_t));
	bsh_quorum_init(&writer->acknowledged);
}

void bsh_order_log_writer_finish(bsh_order_log_writer_t *writer)
{
	g_array_free(writer->valid, TRUE);
	bsh_quorum_finish(&writer->acknowledged);
}

void bsh_order_log_writer_begin(bsh_order_log_writer_t *writer, uint64_t term)
{
	writer->term = term;
	g_array_set_size(writer->valid, 0);
	bsh_quorum_begin(&writer->acknowledged);
}

static void drop_invalid(bsh_order_log_writer_t *writer, int64_t now_us)
{
	guint n = 0;

	while (n < writer->valid->len &&
	       !bsh_order_log_is_valid(
		       g_array_index(writer->valid, bsh_order_time_t, n)
			       .ordered_us,
		       now_us))
		n++;
	if (n > 0)
		g_array_remove_range(writer->valid, 0, n);
}

int64_t bsh_order_log_write(bsh_order_log_writer_t *writer, uint32_t key,
			    int64_t now_us)
{
	bsh_order_time_t entry = { key, MAX(now_us, writer->made_us) };

	drop_invalid(writer, now_us);
	if (writer->valid->len >= BSH_ORDER_LOG_KEYS_MAX)
		return 0;
	g_array_append_val(writer->valid, entry);
	writer->made_us = entry.ordered_us;
	return entry.ordered_us;
}

uint32_t bsh_order_log_message(bsh_order_log_writer_t *writer,
			       uint32_t keys[BSH_ORDER_LOG_KEYS_MAX],
			       int64_t *sent_us, int64_t now_us)
{
	drop_invalid(writer, now_us);
	for (guint i = 0; i < writer->valid->len; i++)
		keys[i] = g_array_index(writer->valid, bsh_order_time_t, i).key;
	/* Later than each entry in it, and earlier than each that is made after
	 * it, also within one microsecond. */
	writer->made_us = MAX(now_us, writer->made_us + 1);
	*sent_us = writer->made_us;
	return writer->valid->len;
}

void bsh_order_log_acknowledge(bsh_order_log_writer_t *writer,
			       const char *voter, int64_t sent_us)
{
	bsh_quorum_add(&writer->acknowledged, voter, sent_us);
}

int64_t bsh_order_log_acknowledged(const bsh_order_log_writer_t *writer,
				   const bsh_voters_t *voters,
				   const bsh_voters_t *former_voters)
{
	int64_t until_us = bsh_quorum_support_until(&writer->acknowledged,
						    voters, former_voters);

	return MAX(until_us - BSH_QUORUM_PROMISE_US, 0);
}

bool bsh_order_log_is_valid(int64_t written_us, int64_t now_us)
{
	return now_us - written_us < BSH_ORDER_LOG_VALID_US;
}

bool bsh_order_log_permits(int64_t written_us, int64_t acknowledged_us,
			   int64_t now_us)
{
	return acknowledged_us > written_us &&
	       bsh_order_log_is_valid(written_us, now_us);
}

static void free_list(void *data)
{
	bsh_order_list_finish(data);
	g_free(data);
}

void bsh_order_log_reader_init(bsh_order_log_reader_t *reader)
{
	reader->term = 0;
	reader->lists = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_list);
	bsh_quorum_init(&reader->voters);
}

void bsh_order_log_reader_finish(bsh_order_log_reader_t *reader)
{
	g_hash_table_destroy(reader->lists);
	bsh_quorum_finish(&reader->voters);
}

void bsh_order_log_reader_begin(bsh_order_log_reader_t *reader, uint64_t term)
{
	reader->term = term;
	g_hash_table_remove_all(reader->lists);
	bsh_quorum_begin(&reader->voters);
}

void bsh_order_log_add_answer(bsh_order_log_reader_t *reader, const char *voter)
{
	bsh_quorum_add(&reader->voters, voter, 1);
}

const GArray *bsh_order_log_receive(bsh_order_log_reader_t *reader,
				    const char *voter,
				    const bsh_msg_release_keys_t *message,
				    int64_t now_us)
{
	bsh_order_list_t *list;

	if (reader->term == 0 || message->term != reader->term)
		return NULL;
	list = g_hash_table_lookup(reader->lists, voter);
	if (list == NULL) {
		list = g_new0(bsh_order_list_t, 1);
		bsh_order_list_init(list);
		g_hash_table_insert(reader->lists, g_strdup(voter), list);
	}
	if (!bsh_order_list_receive(list, voter, message, now_us))
		return NULL;
	bsh_order_log_add_answer(reader, voter);
	return list->orders;
}

bool bsh_order_log_is_read(const bsh_order_log_reader_t *reader,
			   const bsh_voters_t *voters,
			   const bsh_voters_t *former_voters)
{
	return reader->term != 0 &&
	       bsh_quorum_support_until(&reader->voters, voters,
					former_voters) > 0;
}
