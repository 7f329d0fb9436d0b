/* Records of the software versions that began streams, kept by some instances
 * for all: a caller may resume a stream at an instance that never saw it, after
 * the one that did has ended. */
#include "control.h"

#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"
#include "coordination/stream_table.h"
#include "coordination/version_history.h"
#include "stream_store.h"

/* Records kept for the others. */
#define RECORDS_MAX 16384U
/* Time for the answers to a query: several round trips between availability
 * zones.  An instance that has just ended is still asked. */
#define QUERY_TIMEOUT_US INT64_C(50000)
/* An instance whose coverage is short asks this many others at a time, as some of
 * them may have started with it, in intervals that double from the first to the
 * longest. */
#define HISTORY_PEERS		2
#define HISTORY_INTERVAL_US	INT64_C(100000)
#define HISTORY_INTERVAL_MAX_US INT64_C(2000000)
/* Beyond the interval of confirmations: a round trip to a slow store. */
#define GAP_MARGIN_US INT64_C(1000000)
/* CLOCK_BOOTTIME gains less than this on CLOCK_MONOTONIC unless the machine is
 * suspended. */
#define SUSPENDED_MIN_US INT64_C(50000)
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
	bsh_version_history_t versions;
	stream_store_t store;
	GArray *listed;		  /* listed_version_t, of the last view */
	bool are_keepers_changed; /* since the last begin of a look */
	GArray *to_copy;    /* bsh_stream_record_t, not yet looked at since */
	int64_t history_us; /* next question to others */
	int64_t history_interval_us; /* and the one after it */
	int64_t clock_lead_us; /* of CLOCK_BOOTTIME over CLOCK_MONOTONIC */
	int64_t resumed_us;    /* end of a suspension was noticed; loop clock */
};

typedef struct {
	uint64_t service;
	uint64_t software;
} listed_version_t;

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

static bsh_counter_t history_gaps =
	BSH_COUNTER("bsh_version_history_gaps_total",
		    "Times in which the list of targets was not known for so "
		    "long that earlier versions are not known, either.");
static bsh_counter_t history_queries =
	BSH_COUNTER("bsh_version_history_queries_total",
		    "Messages that asked other instances for the versions that "
		    "have served.");

static void free_query(void *data)
{
	query_t *query = data;

	bsh_loop_timer_stop(&query->timer);
	g_free(query);
}

static void on_store_read(void *ctx, const GArray *records);

static int64_t clock_lead_us(const control_t *control)
{
	return control_now_us(control) - bsh_loop_clock_us();
}

streams_t *streams_new(control_t *control)
{
	streams_t *streams = g_new0(streams_t, 1);

	bsh_counter_register(&records_gauge);
	bsh_counter_register(&records_copied);
	bsh_counter_register(&queries_sent);
	bsh_counter_register(&queries_unknown);
	bsh_counter_register(&history_gaps);
	bsh_counter_register(&history_queries);
	streams->control = control;
	bsh_stream_table_init(&streams->table, RECORDS_MAX);
	stream_store_init(&streams->store, &control->store, control->loop,
			  control->entry->settings.instance, on_store_read,
			  streams);
	streams->queries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, free_query);
	streams->listed = g_array_new(FALSE, FALSE, sizeof(listed_version_t));
	streams->to_copy =
		g_array_new(FALSE, FALSE, sizeof(bsh_stream_record_t));
	streams->history_interval_us = HISTORY_INTERVAL_US;
	streams->clock_lead_us = clock_lead_us(control);
	bsh_version_history_init(
		&streams->versions,
		MAX(BSH_LIST_AGE_MAX_US,
		    targets_confirm_interval_us(control->targets) +
			    GAP_MARGIN_US));
	return streams;
}

void streams_free(streams_t *streams)
{
	g_hash_table_destroy(streams->queries);
	bsh_version_history_finish(&streams->versions);
	g_array_free(streams->listed, TRUE);
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

/* True if several versions of some service have served recently.  Only then may
 * a stream be of a version that its service's list does not tell. */
static bool have_several(const streams_t *streams)
{
	return bsh_version_history_have_several(
		&streams->versions, control_now_us(streams->control));
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

	if (records->len == 0 || !have_several(streams))
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
	if (have_several(streams) &&
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

static void follow_keepers(streams_t *streams, int64_t now_us)
{
	if (streams->to_copy->len == 0 && streams->are_keepers_changed) {
		streams->are_keepers_changed = false;
		bsh_stream_table_collect(&streams->table, streams->to_copy,
					 now_us);
	}
	if (streams->to_copy->len > 0)
		copy_records(streams);
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

/* Notes until when the list of targets is known.  The time that the machine was
 * suspended does not show in the age of the list, so a list from before that
 * confirms nothing. */
static void confirm_list(streams_t *streams)
{
	int64_t lead_us = clock_lead_us(streams->control);
	int64_t confirmed_us = targets_confirmed_us(streams->control->targets);
	int64_t gap_us;

	if (lead_us - streams->clock_lead_us >= SUSPENDED_MIN_US)
		streams->resumed_us = bsh_loop_clock_us();
	streams->clock_lead_us = lead_us;
	if (!targets_listed(streams->control->targets) ||
	    confirmed_us <= streams->resumed_us)
		return;
	gap_us = bsh_version_history_confirm(&streams->versions,
					     confirmed_us + lead_us);
	if (gap_us == 0)
		return;
	bsh_counter_add(&history_gaps, 1);
	bsh_log(BSH_LOG_WARNING, "version-history-gap gap_ms=%d",
		(int)(gap_us / 1000));
	streams->history_us = 0;
	streams->history_interval_us = HISTORY_INTERVAL_US;
	control_schedule_view(streams->control);
}

static uint64_t only_version(streams_t *streams, uint64_t service,
			     int64_t now_us)
{
	confirm_list(streams);
	return bsh_version_history_only(&streams->versions, service, now_us);
}

/* The versions of the last view have served until now. */
static void note_listed(streams_t *streams, int64_t now_us)
{
	for (guint i = 0; i < streams->listed->len; i++) {
		const listed_version_t *item =
			&g_array_index(streams->listed, listed_version_t, i);

		bsh_version_history_note(&streams->versions, item->service,
					 item->software, now_us);
	}
}

static void list_version(streams_t *streams, uint64_t service,
			 uint64_t software)
{
	listed_version_t item = { service, software };

	for (guint i = 0; i < streams->listed->len; i++) {
		const listed_version_t *other =
			&g_array_index(streams->listed, listed_version_t, i);

		if (other->service == service && other->software == software)
			return;
	}
	g_array_append_val(streams->listed, item);
}

void streams_fill(streams_t *streams, view_t *view)
{
	int64_t now_us = control_now_us(streams->control);

	note_listed(streams, now_us);
	g_array_set_size(streams->listed, 0);
	for (guint i = 0; i < view->targets->len; i++) {
		const view_target_t *target =
			&g_array_index(view->targets, view_target_t, i);

		list_version(streams, bsh_service_key(target->service),
			     target->software_key);
		add_service(view, target->service);
	}
	note_listed(streams, now_us);
	for (guint i = 0; i < view->software->len; i++) {
		view_software_t *item =
			&g_array_index(view->software, view_software_t, i);
		uint64_t service = bsh_service_key(item->service);

		item->only = only_version(streams, service, now_us);
		item->several = bsh_version_history_several(&streams->versions,
							    service, now_us);
	}
}

/* Returns false if no other instance is known. */
static bool ask_for_history(const streams_t *streams, uint64_t service,
			    int64_t now_us)
{
	peers_t *peers = streams->control->peers;
	bsh_message_t message = { .type = BSH_MSG_VERSIONS_QUERY };
	const char *instance = NULL;

	message.versions_query.service = service;
	message.versions_query.asked_us = (uint64_t)now_us;
	for (int i = 0; i < HISTORY_PEERS; i++) {
		instance = peers_any(peers);
		if (instance == NULL)
			continue;
		peers_send(peers, instance, &message);
		bsh_counter_add(&history_queries, 1);
	}
	return instance != NULL;
}

/* True if no earlier item of the list is of the same service. */
static bool is_first_of_service(const streams_t *streams, guint at)
{
	const listed_version_t *items =
		(const listed_version_t *)streams->listed->data;

	for (guint i = 0; i < at; i++)
		if (items[i].service == items[at].service)
			return false;
	return true;
}

void streams_tick(streams_t *streams)
{
	int64_t now_us = control_now_us(streams->control);
	bool asked = false;

	follow_keepers(streams, now_us);
	confirm_list(streams);
	note_listed(streams, now_us);
	if (streams->versions.since_us == 0 || now_us < streams->history_us)
		return;
	for (guint i = 0; i < streams->listed->len; i++) {
		uint64_t service =
			g_array_index(streams->listed, listed_version_t, i)
				.service;

		if (is_first_of_service(streams, i) &&
		    !bsh_version_history_is_covered(&streams->versions, service,
						    now_us) &&
		    ask_for_history(streams, service, now_us))
			asked = true;
	}
	streams->history_us = now_us + streams->history_interval_us;
	streams->history_interval_us =
		asked ? MIN(streams->history_interval_us * 2,
			    HISTORY_INTERVAL_MAX_US)
		      : HISTORY_INTERVAL_US;
}

void streams_receive_versions_query(streams_t *streams, const char *sender,
				    const bsh_msg_versions_query_t *query)
{
	bsh_version_seen_t seen[BSH_SOFTWARE_VERSIONS_MAX];
	bsh_message_t message = { .type = BSH_MSG_VERSIONS_ANSWER };

	confirm_list(streams);
	if (bsh_version_history_report(&streams->versions, query, seen,
				       &message.versions_answer,
				       control_now_us(streams->control)))
		peers_send(streams->control->peers, sender, &message);
}

void streams_receive_versions(streams_t *streams, const char *sender,
			      const bsh_msg_versions_answer_t *answer)
{
	int64_t now_us = control_now_us(streams->control);

	confirm_list(streams);
	if (!bsh_version_history_merge(&streams->versions, answer, now_us))
		return;
	bsh_log(BSH_LOG_INFO,
		"version-history-continued instance=%s since_ms=%u versions=%u",
		sender, answer->since_age_ms, answer->seen_count);
	control_schedule_view(streams->control);
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
	int64_t age_us =
		control_now_us(streams->control) - streams->versions.since_us;

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
	add_answer(query, only_version(streams, service, now_us),
		   bsh_version_history_several(&streams->versions, service,
					       now_us));
	on_query_timer(query);
}

void streams_receive_query(streams_t *streams, const char *sender,
			   const bsh_msg_stream_query_t *query)
{
	bsh_message_t message = { .type = BSH_MSG_STREAM_ANSWER };
	bsh_msg_stream_answer_t *answer = &message.stream_answer;
	int64_t now_us = control_now_us(streams->control);

	answer->stream = query->stream;
	answer->software =
		bsh_stream_table_find(&streams->table, query->stream, now_us);
	answer->only = only_version(streams, query->service, now_us);
	answer->several = bsh_version_history_several(&streams->versions,
						      query->service, now_us);
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
