/* Records of the software versions that began streams, kept by some instances
 * for all: a caller may resume a stream at an instance that never saw it, after
 * the one that did has ended. */
#include "control.h"

#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"
#include "coordination/stream_table.h"
#include "stream_store.h"

/* Records kept for the others. */
#define RECORDS_MAX 16384U
/* Time for the answers to a query: several round trips between availability
 * zones.  An instance that has just ended is still asked. */
#define QUERY_TIMEOUT_US INT64_C(50000)
/* An instance has heard of the others by this time after its start. */
#define PEERS_KNOWN_US INT64_C(3000000)
#define PEERS_RETRY_US INT64_C(100000)
/* Records that are looked at in each call of streams_tick() after instances have
 * changed: at 1,100 instances each takes some 20 us. */
#define COPIES_PER_TICK 256U
/* While several versions serve, this many instances write the records to the
 * store: one may be cut off from it.  They are the first ones by rendezvous
 * hashing of WRITERS_KEY. */
#define WRITERS	    2U
#define WRITERS_KEY UINT64_C(0x53747265616d7772)

/* A query of this instance. */
typedef struct {
	streams_t *streams;
	uint64_t stream;
	uint64_t service;
	uint32_t asked; /* instances that may still answer; 0: none asked yet */
	bool reads_store; /* no instance knows it; the store is read */
	bool several;	  /* one has seen several versions of the service */
	uint64_t only; /* the only version, by one that can tell; 0: none can */
	bsh_loop_timer_t timer;
} query_t;

struct streams {
	control_t *control;
	bsh_stream_table_t table;
	GHashTable *queries; /* stream to query_t */
	stream_store_t store;
	bool are_keepers_changed; /* since the last begin of a look */
	GArray *to_copy; /* bsh_stream_record_t, not yet looked at since */
};

static bsh_counter_t records_gauge =
	BSH_GAUGE("bsh_stream_records",
		  "Streams whose software version is kept for all instances.");
static bsh_counter_t records_copied =
	BSH_COUNTER("bsh_stream_records_copied_total",
		    "Records sent to an instance because it was started again "
		    "or took the place of another one.");
static bsh_counter_t queries_sent =
	BSH_COUNTER("bsh_stream_queries_total",
		    "Resumed streams whose version was asked for.");
static bsh_counter_t queries_unknown =
	BSH_COUNTER("bsh_stream_queries_unknown_total",
		    "Of these, those whose version no instance knew.");

static void free_query(void *data)
{
	query_t *query = data;

	bsh_loop_timer_stop(&query->timer);
	g_free(query);
}

static void on_store_read(void *ctx, const GArray *records);

streams_t *streams_new(control_t *control)
{
	streams_t *streams = g_new0(streams_t, 1);

	bsh_counter_register(&records_gauge);
	bsh_counter_register(&records_copied);
	bsh_counter_register(&queries_sent);
	bsh_counter_register(&queries_unknown);
	streams->control = control;
	bsh_stream_table_init(&streams->table, RECORDS_MAX);
	stream_store_init(&streams->store, &control->store, control->loop,
			  control->entry->settings.instance, on_store_read,
			  streams);
	streams->queries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, free_query);
	streams->to_copy =
		g_array_new(FALSE, FALSE, sizeof(bsh_stream_record_t));
	return streams;
}

void streams_free(streams_t *streams)
{
	g_hash_table_destroy(streams->queries);
	g_array_free(streams->to_copy, TRUE);
	stream_store_finish(&streams->store);
	bsh_stream_table_finish(&streams->table);
	g_free(streams);
}

static void send_records(const streams_t *streams, const char *instance,
			 const GArray *records)
{
	bsh_message_t message = { .type = BSH_MSG_STREAM_RECORDS };

	for (guint at = 0; at < records->len; at += BSH_STREAM_RECORDS_MAX) {
		message.stream_records.records =
			&g_array_index(records, const bsh_stream_record_t, at);
		message.stream_records.record_count =
			MIN(records->len - at, BSH_STREAM_RECORDS_MAX);
		peers_send(streams->control->peers, instance, &message);
	}
}

static void free_array(void *array)
{
	g_array_free(array, TRUE);
}

static void add_to_batch(GHashTable *batches, const char *instance,
			 const bsh_stream_record_t *records, guint n)
{
	GArray *batch = g_hash_table_lookup(batches, instance);

	if (batch == NULL) {
		batch = g_array_new(FALSE, FALSE, sizeof(*records));
		g_hash_table_insert(batches, g_strdup(instance), batch);
	}
	g_array_append_vals(batch, records, n);
}

/* Has the instances that write to the store write the records. */
static void add_to_writers(streams_t *streams, GHashTable *batches,
			   const GArray *records)
{
	const peers_t *peers = streams->control->peers;
	const char *self = streams->control->entry->settings.instance;

	if (records->len == 0 ||
	    !versions_have_several(streams->control->versions))
		return;
	for (uint32_t rank = 0; rank < WRITERS; rank++) {
		const char *name = peers_at_rank(peers, WRITERS_KEY, rank);
		const bsh_stream_record_t *first =
			&g_array_index(records, bsh_stream_record_t, 0);

		if (name == NULL)
			return;
		if (strcmp(name, self) == 0)
			stream_store_add(&streams->store, first, records->len);
		else
			add_to_batch(batches, name, first, records->len);
	}
}

static void send_batches(const streams_t *streams, GHashTable *batches)
{
	GHashTableIter iter;
	void *instance;
	void *batch;

	g_hash_table_iter_init(&iter, batches);
	while (g_hash_table_iter_next(&iter, &instance, &batch))
		send_records(streams, instance, batch);
}

void streams_record(streams_t *streams, const GArray *records)
{
	const peers_t *peers = streams->control->peers;
	g_autoptr(GHashTable) batches = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, free_array);
	peers_keeper_t keepers[PEERS_KEEPERS];

	for (guint i = 0; i < records->len; i++) {
		const bsh_stream_record_t *record =
			&g_array_index(records, bsh_stream_record_t, i);
		uint32_t n =
			peers_choose_keepers(peers, record->stream, keepers);

		bsh_stream_table_set(&streams->table, record->stream,
				     record->software,
				     control_now_us(streams->control));
		for (uint32_t k = 0; k < n; k++) {
			bsh_stream_table_note_holder(&streams->table,
						     record->stream,
						     keepers[k].process);
			add_to_batch(batches, keepers[k].name, record, 1);
		}
	}
	add_to_writers(streams, batches, records);
	send_batches(streams, batches);
}

/* The sender has the record, and sends it to all keepers. */
static void note_holders(streams_t *streams, uint64_t stream, uint64_t sender)
{
	peers_keeper_t keepers[PEERS_KEEPERS];
	uint32_t n =
		peers_choose_keepers(streams->control->peers, stream, keepers);

	bsh_stream_table_note_holder(&streams->table, stream, sender);
	for (uint32_t i = 0; i < n; i++)
		bsh_stream_table_note_holder(&streams->table, stream,
					     keepers[i].process);
}

void streams_receive_records(streams_t *streams, const bsh_message_t *received)
{
	const bsh_msg_stream_records_t *message = &received->stream_records;
	uint64_t sender =
		peers_process_key(received->sender, received->incarnation);
	int64_t now_us = control_now_us(streams->control);
	uint32_t n;

	for (uint32_t i = 0; i < message->record_count; i++) {
		bsh_stream_table_set(&streams->table,
				     message->records[i].stream,
				     message->records[i].software, now_us);
		note_holders(streams, message->records[i].stream, sender);
	}
	bsh_counter_set(&records_gauge, bsh_stream_table_size(&streams->table));
	if (versions_have_several(streams->control->versions) &&
	    peers_rank(streams->control->peers, WRITERS_KEY, &n) < WRITERS)
		stream_store_add(&streams->store, message->records,
				 message->record_count);
}

void streams_instances_changed(streams_t *streams)
{
	streams->are_keepers_changed = true;
}

/* Sends records to keepers that were started again, and to those that took the
 * place of others. */
static void copy_records(streams_t *streams)
{
	const peers_t *peers = streams->control->peers;
	g_autoptr(GHashTable) batches = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, free_array);

	for (uint32_t i = 0; i < COPIES_PER_TICK && streams->to_copy->len > 0;
	     i++) {
		guint last = streams->to_copy->len - 1;
		bsh_stream_record_t record = g_array_index(
			streams->to_copy, bsh_stream_record_t, last);
		peers_keeper_t keepers[PEERS_KEEPERS];
		uint32_t n =
			peers_choose_keepers(peers, record.stream, keepers);

		g_array_set_size(streams->to_copy, last);
		for (uint32_t k = 0; k < n; k++) {
			if (!bsh_stream_table_note_holder(&streams->table,
							  record.stream,
							  keepers[k].process))
				continue;
			add_to_batch(batches, keepers[k].name, &record, 1);
			bsh_counter_add(&records_copied, 1);
		}
	}
	send_batches(streams, batches);
}

void streams_tick(streams_t *streams)
{
	if (streams->to_copy->len == 0 && streams->are_keepers_changed) {
		streams->are_keepers_changed = false;
		bsh_stream_table_collect(&streams->table, streams->to_copy,
					 control_now_us(streams->control));
	}
	if (streams->to_copy->len > 0)
		copy_records(streams);
}

static void resolve(const streams_t *streams, uint64_t stream,
		    uint64_t software, const char *source)
{
	entry_t *entry = streams->control->entry;
	traffic_stream_msg_t *message = g_new0(traffic_stream_msg_t, 1);

	bsh_log(BSH_LOG_INFO,
		"stream-version stream=%016" G_GINT64_MODIFIER "x known=%d "
		"source=%s",
		stream, software != 0, source);
	if (software == 0)
		bsh_counter_add(&queries_unknown, 1);
	message->traffic = entry->traffic;
	message->stream = stream;
	message->software = software;
	bsh_loop_post(&entry->traffic_loop, traffic_set_stream_version,
		      message);
}

/* Notes what one instance knows of the versions of the service. */
static void add_answer(query_t *query, uint64_t only, bool several)
{
	query->several = query->several || several ||
			 (only != 0 && query->only != 0 && only != query->only);
	if (only != 0)
		query->only = only;
}

static void finish_query(query_t *query, uint64_t software, const char *source)
{
	streams_t *streams = query->streams;

	resolve(streams, query->stream, software, source);
	g_hash_table_remove(streams->queries, &query->stream);
}

/* No instance has a record of the stream: it is of the only version, if there is
 * one by an instance that can tell; else the store may have a record. */
static void end_query(query_t *query)
{
	streams_t *streams = query->streams;
	uint64_t software;

	if (query->only != 0 && !query->several) {
		finish_query(query, query->only, "only-version");
		return;
	}
	query->asked = 0;
	query->reads_store = true;
	if (stream_store_read(&streams->store))
		return;
	software = bsh_stream_table_find(&streams->table, query->stream,
					 control_now_us(streams->control));
	finish_query(query, software, software != 0 ? "store" : "none");
}

static void on_store_read(void *ctx, const GArray *records)
{
	streams_t *streams = ctx;
	int64_t now_us = control_now_us(streams->control);
	g_autoptr(GList) queries = g_hash_table_get_values(streams->queries);

	for (guint i = 0; i < records->len; i++) {
		const bsh_stream_record_t *record =
			&g_array_index(records, bsh_stream_record_t, i);

		bsh_stream_table_set(&streams->table, record->stream,
				     record->software, now_us);
	}
	for (GList *l = queries; l != NULL; l = l->next) {
		query_t *query = l->data;
		uint64_t software = bsh_stream_table_find(
			&streams->table, query->stream, now_us);

		if (query->reads_store)
			finish_query(query, software,
				     software != 0 ? "store" : "none");
	}
}

void streams_store_was_restored(streams_t *streams)
{
	stream_store_restored(&streams->store);
}

/* Asks the keepers of the stream's record.  Returns false if none is known. */
static bool send_query(query_t *query)
{
	peers_t *peers = query->streams->control->peers;
	peers_keeper_t keepers[PEERS_KEEPERS];
	bsh_message_t message = { .type = BSH_MSG_STREAM_QUERY };

	message.stream_query.stream = query->stream;
	message.stream_query.service = query->service;
	query->asked = peers_choose_keepers(peers, query->stream, keepers);
	for (uint32_t i = 0; i < query->asked; i++)
		peers_send(peers, keepers[i].name, &message);
	return query->asked > 0;
}

static void on_query_timer(void *ctx)
{
	query_t *query = ctx;
	streams_t *streams = query->streams;
	int64_t age_us = versions_age_us(streams->control->versions);

	if (query->reads_store)
		return;
	if (query->asked == 0 && send_query(query)) {
		bsh_loop_timer_after(&query->timer, QUERY_TIMEOUT_US);
		return;
	}
	if (query->asked == 0 && age_us < PEERS_KNOWN_US) {
		bsh_loop_timer_after(&query->timer, PEERS_RETRY_US);
		return;
	}
	end_query(query);
}

void streams_query(streams_t *streams, uint64_t stream, uint64_t service)
{
	versions_t *versions = streams->control->versions;
	int64_t now_us = control_now_us(streams->control);
	uint64_t software =
		bsh_stream_table_find(&streams->table, stream, now_us);
	query_t *query;

	bsh_counter_add(&queries_sent, 1);
	if (software != 0) {
		resolve(streams, stream, software, "own");
		return;
	}
	/* Two attempts of one caller wait for the same answer. */
	if (g_hash_table_contains(streams->queries, &stream))
		return;
	query = g_new0(query_t, 1);
	query->streams = streams;
	query->stream = stream;
	query->service = service;
	bsh_loop_timer_init(&query->timer, streams->control->loop,
			    on_query_timer, query);
	g_hash_table_insert(streams->queries, &query->stream, query);
	add_answer(query, versions_only(versions, service),
		   versions_several(versions, service));
	on_query_timer(query);
}

void streams_receive_query(streams_t *streams, const char *sender,
			   const bsh_msg_stream_query_t *query)
{
	bsh_message_t message = { .type = BSH_MSG_STREAM_ANSWER };
	bsh_msg_stream_answer_t *answer = &message.stream_answer;
	versions_t *versions = streams->control->versions;
	int64_t now_us = control_now_us(streams->control);

	answer->stream = query->stream;
	answer->software =
		bsh_stream_table_find(&streams->table, query->stream, now_us);
	answer->only = versions_only(versions, query->service);
	answer->several = versions_several(versions, query->service);
	peers_send(streams->control->peers, sender, &message);
}

void streams_receive_answer(streams_t *streams,
			    const bsh_msg_stream_answer_t *answer)
{
	query_t *query = g_hash_table_lookup(streams->queries, &answer->stream);

	if (query == NULL || query->asked == 0)
		return;
	if (answer->software != 0) {
		finish_query(query, answer->software, "peer");
		return;
	}
	add_answer(query, answer->only, answer->several);
	if (--query->asked == 0)
		end_query(query);
}
