#include "coordination/journal.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json_text.h"

#define HASH_BYTES BSH_JOURNAL_HASH_BYTES

/* Interval of probes while the store is down; doubled per failure. */
#define PROBE_DELAY_MIN_US INT64_C(1000000)
#define PROBE_DELAY_MAX_US INT64_C(8000000)

/* Unit of the back-off after a conflict: a random delay below this, doubled per
 * conflict of the bucket in a row, at most five times. */
#define CONFLICT_BACKOFF_US 10000

#define RECORD_MAX_BYTES 400 /* JSON of a record without its body */
#define RETRY_AFTER_MS	 1000

typedef enum {
	RECORD_OPEN = 0,
	RECORD_ANSWERED,
	RECORD_UNKNOWN
} record_state_t;

typedef struct {
	uint8_t hash[HASH_BYTES];
	uint8_t digest[HASH_BYTES];
	uint8_t attempt[HASH_BYTES];
	char *instance; /* interned reference string */
	uint64_t incarnation;
	int64_t changed_ms; /* wall clock */
	char *content_type;
	uint8_t *body; /* NULL: not kept */
	uint32_t body_size;
	uint16_t status;
	uint8_t state; /* record_state_t */
	bool removed;  /* only in a change: remove the record */
	char *text;    /* cached JSON, NULL until first written */
} record_t;

typedef enum {
	OP_INTENT,
	OP_DONE
} op_kind_t;

typedef struct {
	op_kind_t kind;
	record_t *record; /* as it is to be written */
	uint64_t token;
	int64_t deadline_us;
	int64_t submitted_us;
	bool in_write;	/* part of the write in progress */
	bool was_sent;	/* part of a write that has or may yet take effect */
	bool withdrawn; /* the router needs no reply */
} op_t;

typedef struct bsh_journal_bucket {
	uint32_t number;
	char name[8];
	GHashTable *records; /* hash -> record_t, as in the store */
	GHashTable *changes; /* of the write in progress */
	uint64_t version;
	bool loaded;
	bool writing;
	int64_t loaded_us; /* start of the call that showed this state */
	GQueue operations; /* op_t, in order of arrival */
	uint64_t call;	   /* store call in progress, 0: none */
	int64_t called_us;
	int64_t not_before_us;
	int64_t last_used_us;
	uint32_t conflicts; /* in a row */
	size_t bytes;	    /* estimated memory of the records */
} bucket_t;

static guint hash_of(const void *key)
{
	guint value;

	memcpy(&value, key, sizeof(value));
	return value;
}

static gboolean hash_equal(const void *a, const void *b)
{
	return memcmp(a, b, HASH_BYTES) == 0;
}

static void free_record(void *data)
{
	record_t *r = data;

	if (r == NULL)
		return;
	if (r->instance != NULL)
		g_ref_string_release(r->instance);
	g_free(r->content_type);
	g_free(r->body);
	free(r->text);
	g_free(r);
}

static record_t *copy_record(const record_t *from)
{
	record_t *r = g_new(record_t, 1);

	*r = *from;
	r->text = NULL;
	r->instance = g_ref_string_acquire(from->instance);
	r->content_type = g_strdup(from->content_type);
	if (from->body != NULL)
		r->body = g_memdup2(from->body, MAX(from->body_size, 1));
	return r;
}

static GHashTable *new_table(void)
{
	return g_hash_table_new_full(hash_of, hash_equal, NULL, free_record);
}

static void put_record(GHashTable *table, record_t *r)
{
	/* The key is part of the value, so both must be replaced. */
	g_hash_table_replace(table, r->hash, r);
}

static size_t record_max_bytes(const record_t *r)
{
	return RECORD_MAX_BYTES + ((size_t)r->body_size + 2) / 3 * 4;
}

static int64_t wall_ms(const bsh_journal_t *j, int64_t now_us)
{
	return (now_us + j->config.wall_offset_us) / 1000;
}

void bsh_journal_config_default(bsh_journal_config_t *config)
{
	memset(config, 0, sizeof(*config));
	config->writes_per_s = 20;
	config->reads_per_s = 40;
	config->max_pending = 4096;
	config->cache_bytes = 16 * 1024 * 1024;
	config->keep_s = 86400;
	config->store_timeout_us = 2000000;
	config->batch_window_us = 4000;
	config->result_timeout_us = 60000000;
	config->seed = 1;
}

void bsh_journal_init(bsh_journal_t *j, const bsh_journal_config_t *config,
		      const bsh_journal_ops_t *ops, void *ctx)
{
	memset(j, 0, sizeof(*j));
	j->config = *config;
	j->ops = *ops;
	j->ctx = ctx;
	j->next_call = 1;
	j->write_tokens = config->writes_per_s;
	j->read_tokens = config->reads_per_s;
	bsh_rng_init(&j->rng, config->seed);
}

static void free_op(void *data)
{
	op_t *op = data;

	free_record(op->record);
	g_free(op);
}

static void free_bucket(bsh_journal_t *j, bucket_t *b)
{
	j->buckets[b->number] = NULL;
	j->cached_bytes -= b->bytes;
	g_queue_clear_full(&b->operations, free_op);
	if (b->records != NULL)
		g_hash_table_destroy(b->records);
	if (b->changes != NULL)
		g_hash_table_destroy(b->changes);
	g_free(b);
}

void bsh_journal_finish(bsh_journal_t *j)
{
	for (int i = 0; i < BSH_JOURNAL_BUCKETS; i++) {
		if (j->buckets[i] != NULL)
			free_bucket(j, j->buckets[i]);
	}
	bsh_rng_finish(&j->rng);
}

void bsh_journal_set_wall_offset(bsh_journal_t *j, int64_t wall_offset_us)
{
	j->config.wall_offset_us = wall_offset_us;
}

static void hash_parts(uint8_t out[HASH_BYTES], const char *a, const char *b,
		       const void *data, size_t size)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, HASH_BYTES);
	crypto_generichash_update(&state, (const uint8_t *)a, strlen(a) + 1);
	crypto_generichash_update(&state, (const uint8_t *)b, strlen(b) + 1);
	if (size > 0)
		crypto_generichash_update(&state, data, size);
	crypto_generichash_final(&state, out, HASH_BYTES);
}

void bsh_journal_digest(const char *method, const char *path, const void *body,
			size_t size, uint8_t out[HASH_BYTES])
{
	hash_parts(out, method, path, body, size);
}

/* JSON form of a bucket. */

static void put_hex(json_t *object, const char *key,
		    const uint8_t hash[HASH_BYTES])
{
	char hex[2 * HASH_BYTES + 1];

	sodium_bin2hex(hex, sizeof(hex), hash, HASH_BYTES);
	json_object_set_new(object, key, bsh_json_string(hex));
}

static bool get_hex(const json_t *object, const char *key,
		    uint8_t out[HASH_BYTES])
{
	const char *hex = json_string_value(json_object_get(object, key));
	size_t size;

	return hex != NULL &&
	       sodium_hex2bin(out, HASH_BYTES, hex, strlen(hex), NULL, &size,
			      NULL) == 0 &&
	       size == HASH_BYTES;
}

static json_t *print_record(const record_t *r)
{
	json_t *object = json_object();

	put_hex(object, "key", r->hash);
	put_hex(object, "digest", r->digest);
	put_hex(object, "attempt", r->attempt);
	json_object_set_new(object, "instance", bsh_json_string(r->instance));
	json_object_set_new(object, "incarnation",
			    json_integer((json_int_t)r->incarnation));
	json_object_set_new(object, "state", json_integer(r->state));
	json_object_set_new(object, "changed_ms", json_integer(r->changed_ms));
	if (r->state != RECORD_ANSWERED)
		return object;
	json_object_set_new(object, "status", json_integer(r->status));
	if (r->content_type != NULL)
		json_object_set_new(object, "type",
				    bsh_json_string(r->content_type));
	if (r->body != NULL) {
		size_t size = sodium_base64_encoded_len(
			r->body_size, sodium_base64_VARIANT_ORIGINAL);
		char *text = g_malloc(size);

		sodium_bin2base64(text, size, r->body, r->body_size,
				  sodium_base64_VARIANT_ORIGINAL);
		json_object_set_new(object, "body", bsh_json_string(text));
		g_free(text);
	}
	return object;
}

static bool parse_body(const json_t *object, record_t *r)
{
	const json_t *body = json_object_get(object, "body");
	const char *type = json_string_value(json_object_get(object, "type"));
	size_t size = 0;

	r->status =
		(uint16_t)json_integer_value(json_object_get(object, "status"));
	r->content_type = g_strdup(type);
	if (body == NULL)
		return true;
	if (!json_is_string(body) ||
	    json_string_length(body) > BSH_JOURNAL_BODY_MAX_BYTES / 3 * 4 + 8)
		return false;
	r->body = g_malloc(BSH_JOURNAL_BODY_MAX_BYTES + 8);
	if (sodium_base642bin(r->body, BSH_JOURNAL_BODY_MAX_BYTES + 8,
			      json_string_value(body), json_string_length(body),
			      NULL, &size, NULL,
			      sodium_base64_VARIANT_ORIGINAL) != 0)
		return false;
	r->body_size = (uint32_t)size;
	r->body = g_realloc(r->body, MAX(size, 1));
	return true;
}

static record_t *parse_record(const json_t *object)
{
	const char *instance =
		json_string_value(json_object_get(object, "instance"));
	const json_t *state = json_object_get(object, "state");
	record_t *r = g_new0(record_t, 1);

	if (!get_hex(object, "key", r->hash) ||
	    !get_hex(object, "digest", r->digest) ||
	    !get_hex(object, "attempt", r->attempt) || instance == NULL ||
	    !json_is_integer(state) || json_integer_value(state) < 0 ||
	    json_integer_value(state) > RECORD_UNKNOWN)
		goto invalid;
	r->instance = g_ref_string_new_intern(instance);
	r->incarnation = (uint64_t)json_integer_value(
		json_object_get(object, "incarnation"));
	r->changed_ms =
		json_integer_value(json_object_get(object, "changed_ms"));
	r->state = (uint8_t)json_integer_value(state);
	if (r->state != RECORD_ANSWERED || parse_body(object, r))
		return r;
invalid:
	free_record(r);
	return NULL;
}

/* Returns NULL if the text is not a valid bucket; it is not overwritten. */
static GHashTable *parse_bucket(const char *value, size_t size)
{
	json_t *root = json_loadb(value, size, 0, NULL);
	const json_t *list = json_object_get(root, "records");
	GHashTable *records = new_table();
	size_t i;
	json_t *item;

	if (!json_is_array(list))
		goto invalid;
	json_array_foreach(list, i, item)
	{
		record_t *r = parse_record(item);

		if (r == NULL)
			goto invalid;
		put_record(records, r);
	}
	json_decref(root);
	return records;
invalid:
	json_decref(root);
	g_hash_table_destroy(records);
	return NULL;
}

/* Buckets. */

static bucket_t *bucket_of(bsh_journal_t *j, const uint8_t hash[HASH_BYTES],
			   int64_t now_us)
{
	uint32_t number = hash_of(hash) % BSH_JOURNAL_BUCKETS;
	bucket_t *b = j->buckets[number];

	if (b == NULL) {
		b = g_new0(bucket_t, 1);
		b->number = number;
		snprintf(b->name, sizeof(b->name), "%u", number);
		g_queue_init(&b->operations);
		j->buckets[number] = b;
	}
	b->last_used_us = now_us;
	return b;
}

static void unload(bsh_journal_t *j, bucket_t *b)
{
	b->loaded = false;
	j->cached_bytes -= b->bytes;
	b->bytes = 0;
	if (b->records != NULL)
		g_hash_table_destroy(b->records);
	b->records = NULL;
}

static void update_cached_bytes(bsh_journal_t *j, bucket_t *b)
{
	GHashTableIter iter;
	void *value;

	j->cached_bytes -= b->bytes;
	b->bytes = 0;
	g_hash_table_iter_init(&iter, b->records);
	/* A record in memory holds its body and its JSON. */
	while (g_hash_table_iter_next(&iter, NULL, &value))
		b->bytes += 2 * record_max_bytes(value);
	j->cached_bytes += b->bytes;
}

/* Evicts the least recently used idle buckets above cache_bytes. */
static void trim_cache(bsh_journal_t *j)
{
	while (j->cached_bytes > j->config.cache_bytes) {
		bucket_t *oldest = NULL;

		for (int i = 0; i < BSH_JOURNAL_BUCKETS; i++) {
			bucket_t *b = j->buckets[i];

			if (b == NULL || b->call != 0 ||
			    b->operations.length > 0 || b->bytes == 0)
				continue;
			if (oldest == NULL ||
			    b->last_used_us < oldest->last_used_us)
				oldest = b;
		}
		if (oldest == NULL)
			return;
		free_bucket(j, oldest);
	}
}

static bool is_expired(const bsh_journal_t *j, const record_t *r,
		       int64_t now_us)
{
	int64_t age_ms = wall_ms(j, now_us) - r->changed_ms;

	if (age_ms <= j->config.keep_s * INT64_C(1000) + BSH_JOURNAL_SKEW_MS)
		return false;
	return r->state != RECORD_OPEN ||
	       j->ops.is_gone(j->ctx, r->instance, r->incarnation);
}

/* Returns the stored record; NULL if there is none or it has expired. */
static const record_t *lookup(const bsh_journal_t *j, const bucket_t *b,
			      const uint8_t hash[HASH_BYTES], int64_t now_us)
{
	const record_t *r = g_hash_table_lookup(b->records, hash);

	return r == NULL || is_expired(j, r, now_us) ? NULL : r;
}

/* Operations. */

static void remove_op(bsh_journal_t *j, bucket_t *b, op_t *op)
{
	g_queue_remove(&b->operations, op);
	j->pending--;
	free_op(op);
}

static void answer(bsh_journal_t *j, bucket_t *b, op_t *op,
		   bsh_intent_verdict_t verdict, const record_t *r,
		   uint32_t retry_ms)
{
	bsh_journal_result_t result = { .outcome = BSH_OUTCOME_ANSWERED };
	bool withdrawn = op->withdrawn;
	uint64_t token = op->token;

	if (r != NULL) {
		result.status = r->status;
		result.content_type = r->content_type;
		result.body = r->body;
		result.body_size = r->body_size;
	}
	remove_op(j, b, op);
	if (!withdrawn)
		j->ops.answer(j->ctx, token, verdict,
			      verdict == BSH_INTENT_ANSWERED ? &result : NULL,
			      retry_ms);
}

static uint32_t retry_ms(bsh_journal_t *j, uint32_t base_ms)
{
	return base_ms + bsh_rng_below(&j->rng, base_ms / 2 + 1);
}

static op_t *find_op(const bucket_t *b, op_kind_t kind,
		     const uint8_t attempt[HASH_BYTES])
{
	for (GList *l = b->operations.head; l != NULL; l = l->next) {
		op_t *op = l->data;

		if (op->kind == kind &&
		    memcmp(op->record->attempt, attempt, HASH_BYTES) == 0)
			return op;
	}
	return NULL;
}

/* Replaces an abandoned intent that may be in the store by its removal. */
static void convert_to_removal(bsh_journal_t *j, bucket_t *b, op_t *op)
{
	if (find_op(b, OP_DONE, op->record->attempt) != NULL) {
		remove_op(j, b, op);
		return;
	}
	op->kind = OP_DONE;
	op->record->removed = true;
	op->withdrawn = true;
	op->in_write = false;
	/*
	 * The removal is abandoned like a result.  The record then stays open
	 * and is answered "unknown" once this process is gone.
	 */
	op->deadline_us = op->submitted_us + j->config.result_timeout_us;
}

/*
 * Answers an undecided intent as unavailable.  If a write that contained it may
 * take effect, the operation becomes a removal, which is complete only when a
 * later version has been written.
 */
static void reject_intent(bsh_journal_t *j, bucket_t *b, op_t *op,
			  uint32_t base_ms)
{
	bool withdrawn = op->withdrawn;
	uint64_t token = op->token;

	if (op->was_sent)
		convert_to_removal(j, b, op);
	else
		remove_op(j, b, op);
	if (!withdrawn)
		j->ops.answer(j->ctx, token, BSH_INTENT_UNAVAILABLE, NULL,
			      retry_ms(j, base_ms));
}

static void report_recorded(bsh_journal_t *j, bucket_t *b, op_t *op, bool ok)
{
	bool withdrawn = op->withdrawn;
	uint64_t token = op->token;

	remove_op(j, b, op);
	if (!withdrawn)
		j->ops.recorded(j->ctx, token, ok);
}

/* Calls fn for each operation; fn may remove that operation. */
static void for_each_op(bsh_journal_t *j, bucket_t *b,
			void (*fn)(bsh_journal_t *j, bucket_t *b, op_t *op,
				   int64_t now_us),
			int64_t now_us)
{
	GList *next;

	for (GList *l = b->operations.head; l != NULL; l = next) {
		next = l->next;
		fn(j, b, l->data, now_us);
	}
}

/* What an operation needs next, given the stored bucket. */
typedef enum {
	NEED_NOTHING, /* answered and removed */
	NEED_READ,    /* a read that starts after the submission */
	NEED_WRITE
} op_need_t;

/* True if both are of the same attempt.  Routers of several instances that have
 * started in the same microsecond give out the same attempt ids. */
static bool is_same_attempt(const record_t *a, const record_t *b)
{
	return memcmp(a->attempt, b->attempt, HASH_BYTES) == 0 &&
	       a->incarnation == b->incarnation &&
	       strcmp(a->instance, b->instance) == 0;
}

static op_need_t decide_intent(bsh_journal_t *j, bucket_t *b, op_t *op,
			       int64_t now_us)
{
	const record_t *r = lookup(j, b, op->record->hash, now_us);

	if (r == NULL)
		return NEED_WRITE;
	if (is_same_attempt(r, op->record) && r->state == RECORD_OPEN) {
		j->committed++;
		answer(j, b, op, BSH_INTENT_RUN, NULL, 0);
		return NEED_NOTHING;
	}
	/* Another instance may have recorded its result since the read. */
	if (r->state == RECORD_OPEN && b->loaded_us < op->submitted_us)
		return NEED_READ;
	if (memcmp(r->digest, op->record->digest, HASH_BYTES) != 0)
		answer(j, b, op, BSH_INTENT_MISMATCH, NULL, 0);
	else if (r->state == RECORD_ANSWERED)
		answer(j, b, op,
		       r->body != NULL ? BSH_INTENT_ANSWERED
				       : BSH_INTENT_NOT_KEPT,
		       r, 0);
	else if (r->state == RECORD_UNKNOWN ||
		 j->ops.is_gone(j->ctx, r->instance, r->incarnation))
		answer(j, b, op, BSH_INTENT_UNKNOWN, NULL, 0);
	else
		answer(j, b, op, BSH_INTENT_IN_PROGRESS, NULL,
		       retry_ms(j, RETRY_AFTER_MS));
	return NEED_NOTHING;
}

static op_need_t decide_done(bsh_journal_t *j, bucket_t *b, op_t *op,
			     int64_t now_us)
{
	const record_t *r = lookup(j, b, op->record->hash, now_us);

	/*
	 * Write even if there is nothing to remove: this makes an earlier
	 * write that may still take effect conflict.
	 */
	if (r == NULL)
		return NEED_WRITE;
	if (!is_same_attempt(r, op->record)) {
		report_recorded(j, b, op, op->record->removed);
		return NEED_NOTHING;
	}
	if (r->state == RECORD_OPEN)
		return NEED_WRITE;
	report_recorded(j, b, op, !op->record->removed);
	return NEED_NOTHING;
}

static op_need_t decide(bsh_journal_t *j, bucket_t *b, op_t *op, int64_t now_us)
{
	if (op->kind == OP_INTENT)
		return decide_intent(j, b, op, now_us);
	return decide_done(j, b, op, now_us);
}

/* Store calls. */

static void refill(bsh_journal_t *j, int64_t now_us)
{
	double elapsed_s = (double)(now_us - j->tokens_us) / 1e6;

	j->tokens_us = now_us;
	j->write_tokens =
		MIN(j->write_tokens + elapsed_s * j->config.writes_per_s,
		    j->config.writes_per_s);
	j->read_tokens = MIN(j->read_tokens + elapsed_s * j->config.reads_per_s,
			     j->config.reads_per_s);
}

static void begin_call(bsh_journal_t *j, bucket_t *b, bool writing,
		       int64_t now_us)
{
	b->call = j->next_call++;
	b->called_us = now_us;
	b->writing = writing;
}

static void start_read(bsh_journal_t *j, bucket_t *b, int64_t now_us)
{
	j->read_tokens -= 1.0;
	j->reads++;
	begin_call(j, b, false, now_us);
	j->ops.read(j->ctx, b->call, b->name);
}

static void add_change(const bsh_journal_t *j, bucket_t *b, op_t *op,
		       int64_t now_us)
{
	record_t *change = copy_record(op->record);

	change->changed_ms = wall_ms(j, now_us);
	put_record(b->changes, change);
	op->in_write = true;
}

/* Collects the changes of the next write, at most one per key. */
static void collect_changes(bsh_journal_t *j, bucket_t *b, int64_t now_us)
{
	GList *next;

	b->changes = new_table();
	for (GList *l = b->operations.head; l != NULL; l = next) {
		op_t *op = l->data;

		next = l->next;
		if (g_hash_table_contains(b->changes, op->record->hash))
			continue;
		if (decide(j, b, op, now_us) == NEED_WRITE)
			add_change(j, b, op, now_us);
	}
}

static int compare_changed(const void *a, const void *b)
{
	const record_t *x = *(record_t *const *)a;
	const record_t *y = *(record_t *const *)b;

	return (x->changed_ms > y->changed_ms) -
	       (x->changed_ms < y->changed_ms);
}

/* Returns the records of the next version and their size. */
static GPtrArray *next_records(const bsh_journal_t *j, const bucket_t *b,
			       int64_t now_us, size_t *bytes)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	*bytes = 64;
	g_hash_table_iter_init(&iter, b->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *r = value;

		if (!is_expired(j, r, now_us) &&
		    !g_hash_table_contains(b->changes, r->hash))
			g_ptr_array_add(list, r);
	}
	g_hash_table_iter_init(&iter, b->changes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((record_t *)value)->removed)
			g_ptr_array_add(list, value);
	}
	for (guint i = 0; i < list->len; i++)
		*bytes += record_max_bytes(g_ptr_array_index(list, i));
	return list;
}

/* Drops the oldest bodies until the object fits; false if it cannot. */
static bool drop_bodies_to_fit(GPtrArray *list, size_t bytes)
{
	if (bytes <= BSH_JOURNAL_OBJECT_MAX_BYTES)
		return true;
	g_ptr_array_sort(list, compare_changed);
	for (guint i = 0; i < list->len && bytes > BSH_JOURNAL_OBJECT_MAX_BYTES;
	     i++) {
		record_t *r = g_ptr_array_index(list, i);

		bytes -= record_max_bytes(r) - RECORD_MAX_BYTES;
		g_clear_pointer(&r->body, g_free);
		g_clear_pointer(&r->text, free);
		r->body_size = 0;
	}
	return bytes <= BSH_JOURNAL_OBJECT_MAX_BYTES;
}

/*
 * The JSON of each record is cached, because most records of a bucket do not
 * change between writes and encoding a full bucket takes several milliseconds.
 */
static GString *print_records(const GPtrArray *list, size_t bytes)
{
	GString *text = g_string_sized_new(bytes);

	g_string_append(text, "{\"records\":[");
	for (guint i = 0; i < list->len; i++) {
		record_t *r = g_ptr_array_index(list, i);

		if (r->text == NULL) {
			json_t *object = print_record(r);

			r->text = bsh_json_text(object, JSON_COMPACT);
			json_decref(object);
		}
		if (i > 0)
			g_string_append_c(text, ',');
		g_string_append(text, r->text);
	}
	return g_string_append(text, "]}");
}

static void discard_op_write(bsh_journal_t *j, bucket_t *b, op_t *op,
			     int64_t now_us)
{
	(void)now_us;
	if (op->in_write && op->kind == OP_INTENT && op->withdrawn)
		convert_to_removal(j, b, op);
	else
		op->in_write = false;
}

static void discard_write(bsh_journal_t *j, bucket_t *b)
{
	if (b->changes != NULL)
		g_hash_table_destroy(b->changes);
	b->changes = NULL;
	for_each_op(j, b, discard_op_write, 0);
}

/* A full bucket refuses new keys, but still accepts results. */
static void reject_written_intents(bsh_journal_t *j, bucket_t *b, op_t *op,
				   int64_t now_us)
{
	(void)now_us;
	if (op->kind == OP_INTENT && op->in_write)
		reject_intent(j, b, op, RETRY_AFTER_MS * 10);
}

static void start_write(bsh_journal_t *j, bucket_t *b, int64_t now_us)
{
	GPtrArray *list;
	size_t bytes;
	GString *text;

	collect_changes(j, b, now_us);
	if (g_hash_table_size(b->changes) == 0) {
		discard_write(j, b);
		return;
	}
	list = next_records(j, b, now_us, &bytes);
	if (!drop_bodies_to_fit(list, bytes)) {
		g_ptr_array_free(list, TRUE);
		for_each_op(j, b, reject_written_intents, now_us);
		discard_write(j, b);
		b->not_before_us = now_us + RETRY_AFTER_MS * 1000;
		return;
	}
	text = print_records(list, bytes);
	g_ptr_array_free(list, TRUE);
	j->write_tokens -= 1.0;
	j->writes++;
	for (GList *l = b->operations.head; l != NULL; l = l->next)
		((op_t *)l->data)->was_sent |= ((op_t *)l->data)->in_write;
	begin_call(j, b, true, now_us);
	j->ops.write(j->ctx, b->call, b->name, b->version, text->str,
		     text->len);
	g_string_free(text, TRUE);
}

/*
 * Answers the operations that the cached bucket decides.  Returns true if any
 * other needs a write; *needs_read is set if any needs a read.
 */
static bool decide_ops(bsh_journal_t *j, bucket_t *b, bool *needs_read,
		       int64_t now_us)
{
	bool needs_write = false;
	GList *next;

	*needs_read = false;
	for (GList *l = b->operations.head; l != NULL; l = next) {
		next = l->next;
		switch (decide(j, b, l->data, now_us)) {
		case NEED_READ:
			*needs_read = true;
			break;
		case NEED_WRITE:
			needs_write = true;
			break;
		case NEED_NOTHING:
			break;
		}
	}
	return needs_write;
}

static bool store_is_down(const bsh_journal_t *j)
{
	return j->down_count > 0;
}

static void reject_undecided(bsh_journal_t *j, bucket_t *b, op_t *op,
			     int64_t now_us)
{
	(void)now_us;
	if (op->kind == OP_INTENT)
		reject_intent(j, b, op, RETRY_AFTER_MS);
}

static void wait_for_token(bucket_t *b, double tokens, uint32_t per_s,
			   int64_t now_us)
{
	b->not_before_us = now_us + (int64_t)((1.0 - tokens) * 1e6 / per_s) + 1;
}

/* Answers what can be decided, then starts a read or a write if needed. */
static void advance_bucket(bsh_journal_t *j, bucket_t *b, int64_t now_us)
{
	bool needs_read = false;

	if (b->call != 0 || b->operations.length == 0)
		return;
	if (b->loaded && !decide_ops(j, b, &needs_read, now_us) && !needs_read)
		return;
	if (store_is_down(j)) {
		for_each_op(j, b, reject_undecided, now_us);
		return;
	}
	if (now_us < b->not_before_us)
		return;
	refill(j, now_us);
	if (!b->loaded || needs_read) {
		if (j->read_tokens >= 1.0)
			start_read(j, b, now_us);
		else
			wait_for_token(b, j->read_tokens, j->config.reads_per_s,
				       now_us);
	} else if (j->write_tokens >= 1.0) {
		start_write(j, b, now_us);
	} else {
		wait_for_token(b, j->write_tokens, j->config.writes_per_s,
			       now_us);
	}
}

/* Interface for routers. */

/* Only valid UTF-8, because other text would make the bucket unreadable. */
static bool is_text(const char *text, size_t max)
{
	return text != NULL && *text != '\0' && strlen(text) <= max &&
	       g_utf8_validate(text, -1, NULL);
}

static op_t *new_op(op_kind_t kind, const bsh_intent_t *intent, int64_t now_us)
{
	op_t *op;

	if (!is_text(intent->service, BSH_JOURNAL_KEY_MAX) ||
	    !is_text(intent->key, BSH_JOURNAL_KEY_MAX) ||
	    !is_text(intent->instance, BSH_JOURNAL_INSTANCE_SIZE - 1))
		return NULL;
	op = g_new0(op_t, 1);
	op->kind = kind;
	op->token = intent->token;
	op->deadline_us = intent->deadline_us;
	op->submitted_us = now_us;
	op->record = g_new0(record_t, 1);
	hash_parts(op->record->hash, intent->service, intent->key, NULL, 0);
	memcpy(op->record->digest, intent->digest, HASH_BYTES);
	memcpy(op->record->attempt, intent->attempt, HASH_BYTES);
	op->record->instance = g_ref_string_new_intern(intent->instance);
	op->record->incarnation = intent->incarnation;
	return op;
}

static void add_op(bsh_journal_t *j, bucket_t *b, op_t *op, int64_t now_us)
{
	bool first = b->operations.length == 0;

	g_queue_push_tail(&b->operations, op);
	j->pending++;
	/* Delay the write to batch others; the cache may decide at once. */
	if (first && b->call == 0 && b->loaded &&
	    b->not_before_us < now_us + j->config.batch_window_us)
		b->not_before_us = now_us + j->config.batch_window_us;
	advance_bucket(j, b, now_us);
}

bsh_error_t bsh_journal_intent(bsh_journal_t *j, const bsh_intent_t *intent,
			       int64_t now_us)
{
	op_t *op = new_op(OP_INTENT, intent, now_us);
	op_t *known;
	bucket_t *b;

	if (op == NULL)
		return BSH_ERR_INVALID;
	b = bucket_of(j, op->record->hash, now_us);
	known = find_op(b, OP_INTENT, op->record->attempt);
	if (known != NULL) {
		known->token = op->token;
		free_op(op);
		return BSH_OK;
	}
	if (j->pending >= j->config.max_pending ||
	    find_op(b, OP_DONE, op->record->attempt) != NULL) {
		free_op(op);
		j->ops.answer(j->ctx, intent->token, BSH_INTENT_UNAVAILABLE,
			      NULL, retry_ms(j, RETRY_AFTER_MS));
		return BSH_OK;
	}
	add_op(j, b, op, now_us);
	return BSH_OK;
}

static void set_result(record_t *r, const bsh_journal_result_t *result)
{
	switch (result->outcome) {
	case BSH_OUTCOME_NOT_RUN:
		r->removed = true;
		return;
	case BSH_OUTCOME_UNKNOWN:
		r->state = RECORD_UNKNOWN;
		return;
	case BSH_OUTCOME_ANSWERED:
		break;
	}
	r->state = RECORD_ANSWERED;
	r->status = result->status;
	if (is_text(result->content_type, BSH_JOURNAL_TYPE_SIZE - 1))
		r->content_type = g_strdup(result->content_type);
	if (result->body == NULL ||
	    result->body_size > BSH_JOURNAL_BODY_MAX_BYTES)
		return;
	/* Also record an empty body; NULL would mean that it was not kept. */
	r->body = g_malloc(MAX(result->body_size, 1));
	if (result->body_size > 0)
		memcpy(r->body, result->body, result->body_size);
	r->body_size = (uint32_t)result->body_size;
}

/*
 * Withdraws an undecided intent whose request has ended.  Returns true if it
 * cannot be in the store, so that no removal is needed.
 */
static bool withdraw_intent(bsh_journal_t *j, bucket_t *b, const op_t *done)
{
	op_t *op = find_op(b, OP_INTENT, done->record->attempt);
	bool was_sent;

	if (op == NULL)
		return false;
	if (op->in_write) {
		op->withdrawn = true;
		return false;
	}
	was_sent = op->was_sent;
	remove_op(j, b, op);
	return !was_sent;
}

bsh_error_t bsh_journal_record_result(bsh_journal_t *j,
				      const bsh_intent_t *intent,
				      const bsh_journal_result_t *result,
				      int64_t now_us)
{
	op_t *op = new_op(OP_DONE, intent, now_us);
	op_t *known;
	bucket_t *b;

	if (op == NULL)
		return BSH_ERR_INVALID;
	op->deadline_us = now_us + j->config.result_timeout_us;
	set_result(op->record, result);
	b = bucket_of(j, op->record->hash, now_us);
	if (op->record->removed && withdraw_intent(j, b, op)) {
		free_op(op);
		j->ops.recorded(j->ctx, intent->token, true);
		return BSH_OK;
	}
	known = find_op(b, OP_DONE, op->record->attempt);
	if (known != NULL && !known->withdrawn) {
		known->token = op->token;
		free_op(op);
		return BSH_OK;
	}
	/* Results have twice the limit, so that new keys cannot block them. */
	if (j->pending >= 2 * j->config.max_pending) {
		free_op(op);
		return BSH_ERR_CAPACITY;
	}
	add_op(j, b, op, now_us);
	return BSH_OK;
}

/* Completion of store calls. */

static bucket_t *bucket_of_call(const bsh_journal_t *j, uint64_t call,
				bool writing)
{
	for (int i = 0; call != 0 && i < BSH_JOURNAL_BUCKETS; i++) {
		bucket_t *b = j->buckets[i];

		if (b != NULL && b->call == call && b->writing == writing)
			return b;
	}
	return NULL;
}

static void mark_store_down(bsh_journal_t *j, int64_t now_us)
{
	int64_t wait_us = PROBE_DELAY_MIN_US << MIN(j->down_count, 3);

	j->down_count++;
	wait_us = MIN(wait_us, PROBE_DELAY_MAX_US);
	wait_us -= (int64_t)((double)wait_us * 0.3 * bsh_rng_unit(&j->rng));
	j->next_probe_us = now_us + wait_us;
	for (int i = 0; i < BSH_JOURNAL_BUCKETS; i++) {
		if (j->buckets[i] != NULL && j->buckets[i]->call == 0)
			for_each_op(j, j->buckets[i], reject_undecided, now_us);
	}
}

static void mark_store_up(bsh_journal_t *j)
{
	j->down_count = 0;
	j->next_probe_us = 0;
}

/* Rejects an intent whose deadline is before the next store call. */
static void reject_late(bsh_journal_t *j, bucket_t *b, op_t *op, int64_t now_us)
{
	if (op->kind == OP_INTENT && !op->in_write &&
	    op->deadline_us <= b->not_before_us)
		reject_intent(j, b, op,
			      (uint32_t)((b->not_before_us - now_us) / 1000));
}

/* The rate limit of the store applies to all buckets. */
static void apply_rate_limit(bsh_journal_t *j, uint32_t wait_ms, int64_t now_us)
{
	int64_t until_us = now_us + MAX(wait_ms, 100) * INT64_C(1000);

	for (int i = 0; i < BSH_JOURNAL_BUCKETS; i++) {
		bucket_t *b = j->buckets[i];

		if (b == NULL)
			continue;
		b->not_before_us =
			MAX(b->not_before_us,
			    until_us + (int64_t)bsh_rng_below(&j->rng, 100000));
		for_each_op(j, b, reject_late, now_us);
	}
}

void bsh_journal_read_done(bsh_journal_t *j, uint64_t call,
			   bsh_store_status_t status, uint64_t version,
			   const char *value, size_t size,
			   uint32_t retry_after_ms, int64_t now_us)
{
	bucket_t *b = bucket_of_call(j, call, false);
	GHashTable *records = NULL;

	if (b == NULL)
		return;
	b->call = 0;
	switch (status) {
	case BSH_STORE_OK:
		records = parse_bucket(value, size);
		break;
	case BSH_STORE_MISSING:
		records = new_table();
		version = 0;
		break;
	case BSH_STORE_RATE:
		apply_rate_limit(j, retry_after_ms, now_us);
		return;
	case BSH_STORE_CONFLICT:
	case BSH_STORE_DOWN:
	case BSH_STORE_LOST:
		mark_store_down(j, now_us);
		return;
	}
	mark_store_up(j);
	if (records == NULL) {
		/*
		 * Not a valid bucket.  Reject the intents, because their keys
		 * may have run before, and do not overwrite the object.
		 */
		b->not_before_us = now_us + RETRY_AFTER_MS * 1000;
		for_each_op(j, b, reject_undecided, now_us);
		return;
	}
	unload(j, b);
	b->records = records;
	b->version = version;
	b->loaded = true;
	b->loaded_us = b->called_us;
	update_cached_bytes(j, b);
	advance_bucket(j, b, now_us);
	trim_cache(j);
}

static void apply_changes(bsh_journal_t *j, bucket_t *b, int64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, b->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_expired(j, value, now_us))
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_iter_init(&iter, b->changes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *change = value;

		g_hash_table_iter_steal(&iter);
		if (change->removed) {
			g_hash_table_remove(b->records, change->hash);
			free_record(change);
		} else {
			put_record(b->records, change);
		}
	}
	update_cached_bytes(j, b);
}

static void complete_written(bsh_journal_t *j, bucket_t *b, op_t *op,
			     int64_t now_us)
{
	(void)now_us;
	if (!op->in_write)
		return;
	if (op->kind == OP_DONE) {
		report_recorded(j, b, op, true);
		return;
	}
	if (op->withdrawn) {
		convert_to_removal(j, b, op);
		return;
	}
	j->committed++;
	answer(j, b, op, BSH_INTENT_RUN, NULL, 0);
}

static void handle_lost_write(bsh_journal_t *j, bucket_t *b, int64_t now_us)
{
	j->read_backs++;
	discard_write(j, b);
	unload(j, b);
	advance_bucket(j, b, now_us);
}

void bsh_journal_write_done(bsh_journal_t *j, uint64_t call,
			    bsh_store_status_t status, uint64_t version,
			    uint32_t retry_after_ms, int64_t now_us)
{
	bucket_t *b = bucket_of_call(j, call, true);
	int64_t wait_us;

	if (b == NULL)
		return;
	b->call = 0;
	switch (status) {
	case BSH_STORE_OK:
		mark_store_up(j);
		b->version = version;
		/* Its success shows that no other write came before it. */
		b->loaded_us = b->called_us;
		b->conflicts = 0;
		apply_changes(j, b, now_us);
		for_each_op(j, b, complete_written, now_us);
		discard_write(j, b);
		advance_bucket(j, b, now_us);
		trim_cache(j);
		return;
	case BSH_STORE_CONFLICT:
	case BSH_STORE_MISSING:
		j->conflicts++;
		b->conflicts++;
		wait_us = (int64_t)CONFLICT_BACKOFF_US << MIN(b->conflicts, 5);
		b->not_before_us = now_us + (int64_t)((double)wait_us *
						      bsh_rng_unit(&j->rng));
		discard_write(j, b);
		unload(j, b);
		advance_bucket(j, b, now_us);
		return;
	case BSH_STORE_RATE:
		discard_write(j, b);
		apply_rate_limit(j, retry_after_ms, now_us);
		return;
	case BSH_STORE_DOWN:
		discard_write(j, b);
		mark_store_down(j, now_us);
		return;
	case BSH_STORE_LOST:
		handle_lost_write(j, b, now_us);
		return;
	}
}

/* Timeouts. */

static void check_deadline(bsh_journal_t *j, bucket_t *b, op_t *op,
			   int64_t now_us)
{
	if (now_us < op->deadline_us)
		return;
	if (op->kind == OP_INTENT && op->withdrawn)
		return;
	if (op->kind == OP_INTENT && !op->in_write) {
		reject_intent(j, b, op, RETRY_AFTER_MS);
	} else if (op->kind == OP_INTENT) {
		/* Its write is in progress: answer now, remove it later. */
		op->withdrawn = true;
		j->ops.answer(j->ctx, op->token, BSH_INTENT_UNAVAILABLE, NULL,
			      retry_ms(j, RETRY_AFTER_MS));
	} else if (!op->in_write) {
		report_recorded(j, b, op, false);
	}
}

static void check_bucket(bsh_journal_t *j, bucket_t *b, int64_t now_us)
{
	if (b->call != 0 &&
	    now_us - b->called_us >= j->config.store_timeout_us) {
		b->call = 0;
		if (b->writing)
			handle_lost_write(j, b, now_us);
		else
			mark_store_down(j, now_us);
	}
	for_each_op(j, b, check_deadline, now_us);
	advance_bucket(j, b, now_us);
}

/* While the store is down, one read at a time tests whether it is up again. */
static void probe(bsh_journal_t *j, int64_t now_us)
{
	bucket_t *b = NULL;

	for (int i = 0; i < BSH_JOURNAL_BUCKETS; i++) {
		if (j->buckets[i] == NULL)
			continue;
		if (j->buckets[i]->call != 0)
			return;
		if (b == NULL || j->buckets[i]->operations.length > 0)
			b = j->buckets[i];
	}
	if (now_us < j->next_probe_us)
		return;
	if (b == NULL) {
		/* No bucket to read; the next intent tests the store. */
		mark_store_up(j);
		return;
	}
	refill(j, now_us);
	j->next_probe_us = now_us + j->config.store_timeout_us;
	start_read(j, b, now_us);
}

void bsh_journal_tick(bsh_journal_t *j, int64_t now_us)
{
	/* Round robin, so that a rate limit does not starve any bucket. */
	j->first_bucket = (j->first_bucket + 1) % BSH_JOURNAL_BUCKETS;
	for (uint32_t i = 0; i < BSH_JOURNAL_BUCKETS; i++) {
		bucket_t *b =
			j->buckets[(j->first_bucket + i) % BSH_JOURNAL_BUCKETS];

		if (b != NULL && (b->operations.length > 0 || b->call != 0))
			check_bucket(j, b, now_us);
	}
	if (store_is_down(j))
		probe(j, now_us);
}

static int64_t bucket_next_us(const bsh_journal_t *j, const bucket_t *b)
{
	int64_t next_us = INT64_MAX;

	for (GList *l = b->operations.head; l != NULL; l = l->next) {
		const op_t *op = l->data;

		if (op->kind == OP_INTENT ? !op->withdrawn : !op->in_write)
			next_us = MIN(next_us, op->deadline_us);
	}
	if (b->call != 0)
		return MIN(next_us, b->called_us + j->config.store_timeout_us);
	if (b->operations.length == 0 || store_is_down(j))
		return next_us;
	return MIN(next_us, b->not_before_us);
}

int64_t bsh_journal_next_us(const bsh_journal_t *j)
{
	int64_t next_us = INT64_MAX;
	bool calling = false;

	for (int i = 0; i < BSH_JOURNAL_BUCKETS; i++) {
		if (j->buckets[i] == NULL)
			continue;
		next_us = MIN(next_us, bucket_next_us(j, j->buckets[i]));
		calling |= j->buckets[i]->call != 0;
	}
	/* The next probe waits for the calls in progress. */
	if (store_is_down(j) && !calling)
		next_us = MIN(next_us, j->next_probe_us);
	return next_us;
}

uint32_t bsh_journal_pending(const bsh_journal_t *j)
{
	return j->pending;
}
