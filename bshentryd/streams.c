/* Records of the software versions that began streams, kept by some instances
 * for all: a caller may resume a stream at an instance that never saw it, after
 * the one that did has ended. */
#include "control.h"

#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"
#include "coordination/stream_table.h"

/* Records kept for the others. */
#define RECORDS_MAX 16384U
/* Time for the answers to a query: several round trips between availability
 * zones.  An instance that has just ended is still asked. */
#define QUERY_TIMEOUT_US INT64_C(50000)

/* A query of this instance. */
typedef struct {
	streams_t *streams;
	uint64_t stream;
	uint32_t asked; /* instances that may still answer */
	bool answered;	/* some have */
	bool several;	/* one has seen several versions of the service */
	bsh_loop_timer_t timer;
} query_t;

struct streams {
	control_t *control;
	bsh_stream_table_t table;
	GHashTable *queries;  /* stream to query_t */
	GHashTable *software; /* key of a service to bsh_software_history_t */
};

static bsh_counter_t records_gauge =
	BSH_GAUGE("bsh_stream_records",
		  "Streams whose software version is kept for all instances.");
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

streams_t *streams_new(control_t *control)
{
	streams_t *streams = g_new0(streams_t, 1);

	bsh_counter_register(&records_gauge);
	bsh_counter_register(&queries_sent);
	bsh_counter_register(&queries_unknown);
	streams->control = control;
	bsh_stream_table_init(&streams->table, RECORDS_MAX);
	streams->queries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, free_query);
	streams->software = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free);
	return streams;
}

void streams_free(streams_t *streams)
{
	g_hash_table_destroy(streams->queries);
	g_hash_table_destroy(streams->software);
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

void streams_record(streams_t *streams, const GArray *records)
{
	const peers_t *peers = streams->control->peers;
	g_autoptr(GHashTable) batches = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, free_array);
	char keepers[PEERS_KEEPERS][BSH_NAME_SIZE];
	GHashTableIter iter;
	void *instance;
	void *batch;

	for (guint i = 0; i < records->len; i++) {
		const bsh_stream_record_t *record =
			&g_array_index(records, bsh_stream_record_t, i);
		uint32_t n =
			peers_choose_keepers(peers, record->stream, keepers);

		for (uint32_t k = 0; k < n; k++) {
			batch = g_hash_table_lookup(batches, keepers[k]);
			if (batch == NULL) {
				batch = g_array_new(FALSE, FALSE,
						    sizeof(*record));
				g_hash_table_insert(
					batches, g_strdup(keepers[k]), batch);
			}
			g_array_append_vals(batch, record, 1);
		}
	}
	g_hash_table_iter_init(&iter, batches);
	while (g_hash_table_iter_next(&iter, &instance, &batch))
		send_records(streams, instance, batch);
}

void streams_receive_records(streams_t *streams,
			     const bsh_msg_stream_records_t *message)
{
	int64_t now_us = control_now_us(streams->control);

	for (uint32_t i = 0; i < message->record_count; i++)
		bsh_stream_table_set(&streams->table,
				     message->records[i].stream,
				     message->records[i].software, now_us);
	bsh_counter_set(&records_gauge, bsh_stream_table_size(&streams->table));
}

static bsh_software_history_t *history_of(streams_t *streams, uint64_t service)
{
	bsh_software_history_t *history =
		g_hash_table_lookup(streams->software, &service);
	uint64_t *key;

	if (history != NULL)
		return history;
	key = g_new(uint64_t, 1);
	*key = service;
	history = g_new0(bsh_software_history_t, 1);
	g_hash_table_insert(streams->software, key, history);
	return history;
}

static void add_service(view_t *view, const char *service)
{
	view_software_t item = { .only = 0 };

	for (guint i = 0; i < view->software->len; i++)
		if (strcmp(g_array_index(view->software, view_software_t, i)
				   .service,
			   service) == 0)
			return;
	g_strlcpy(item.service, service, sizeof(item.service));
	g_array_append_val(view->software, item);
}

void streams_fill(streams_t *streams, view_t *view)
{
	int64_t now_us = control_now_us(streams->control);

	for (guint i = 0; i < view->targets->len; i++) {
		const view_target_t *target =
			&g_array_index(view->targets, view_target_t, i);

		bsh_software_history_note(
			history_of(streams, bsh_service_key(target->service)),
			target->software_key, now_us);
		add_service(view, target->service);
	}
	for (guint i = 0; i < view->software->len; i++) {
		view_software_t *item =
			&g_array_index(view->software, view_software_t, i);

		item->only = bsh_software_history_only(
			history_of(streams, bsh_service_key(item->service)),
			now_us);
	}
}

/* True if this instance has seen several versions of the service recently. */
static bool has_several(streams_t *streams, uint64_t service)
{
	const bsh_software_history_t *history = history_of(streams, service);

	return history->n > 0 &&
	       bsh_software_history_only(history,
					 control_now_us(streams->control)) == 0;
}

static void resolve(const streams_t *streams, uint64_t stream,
		    uint64_t software, bool one_version, const char *source)
{
	entry_t *entry = streams->control->entry;
	traffic_stream_msg_t *message = g_new0(traffic_stream_msg_t, 1);

	bsh_log(BSH_LOG_INFO,
		"stream-version stream=%016" G_GINT64_MODIFIER "x known=%d "
		"one_version=%d source=%s",
		stream, software != 0, one_version, source);
	if (software == 0)
		bsh_counter_add(&queries_unknown, 1);
	message->traffic = entry->traffic;
	message->stream = stream;
	message->software = software;
	message->one_version = one_version;
	bsh_loop_post(&entry->traffic_loop, traffic_set_stream_version,
		      message);
}

static void end_query(query_t *query, const char *source)
{
	streams_t *streams = query->streams;

	resolve(streams, query->stream, 0, query->answered && !query->several,
		source);
	g_hash_table_remove(streams->queries, &query->stream);
}

static void on_query_timeout(void *ctx)
{
	end_query(ctx, "timeout");
}

void streams_query(streams_t *streams, uint64_t stream, uint64_t service)
{
	char keepers[PEERS_KEEPERS][BSH_NAME_SIZE];
	bsh_message_t message = { .type = BSH_MSG_STREAM_QUERY };
	uint64_t software = bsh_stream_table_find(
		&streams->table, stream, control_now_us(streams->control));
	query_t *query;
	uint32_t n;

	bsh_counter_add(&queries_sent, 1);
	if (software != 0) {
		resolve(streams, stream, software, false, "own");
		return;
	}
	/* Two attempts of one caller wait for the same answer. */
	if (g_hash_table_contains(streams->queries, &stream))
		return;
	n = peers_choose_keepers(streams->control->peers, stream, keepers);
	if (n == 0) {
		resolve(streams, stream, 0, !has_several(streams, service),
			"alone");
		return;
	}
	query = g_new0(query_t, 1);
	query->streams = streams;
	query->stream = stream;
	query->asked = n;
	query->several = has_several(streams, service);
	bsh_loop_timer_init(&query->timer, streams->control->loop,
			    on_query_timeout, query);
	bsh_loop_timer_after(&query->timer, QUERY_TIMEOUT_US);
	g_hash_table_insert(streams->queries, &query->stream, query);
	message.stream_query.stream = stream;
	message.stream_query.service = service;
	for (uint32_t i = 0; i < n; i++)
		peers_send(streams->control->peers, keepers[i], &message);
}

void streams_receive_query(streams_t *streams, const char *sender,
			   const bsh_msg_stream_query_t *query)
{
	bsh_message_t message = { .type = BSH_MSG_STREAM_ANSWER };

	message.stream_answer.stream = query->stream;
	message.stream_answer.software =
		bsh_stream_table_find(&streams->table, query->stream,
				      control_now_us(streams->control));
	message.stream_answer.several = has_several(streams, query->service);
	peers_send(streams->control->peers, sender, &message);
}

void streams_receive_answer(streams_t *streams,
			    const bsh_msg_stream_answer_t *answer)
{
	query_t *query = g_hash_table_lookup(streams->queries, &answer->stream);

	if (query == NULL)
		return;
	if (answer->software != 0) {
		resolve(streams, answer->stream, answer->software, false,
			"peer");
		g_hash_table_remove(streams->queries, &answer->stream);
		return;
	}
	query->answered = true;
	query->several = query->several || answer->several;
	if (--query->asked == 0)
		end_query(query, "peer");
}
