#include "coordination/journal.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HASH	     BSH_JOURNAL_HASH_BYTES
#define DOWN_MIN_US  INT64_C(1000000)
#define DOWN_MAX_US  INT64_C(8000000)
#define CONFLICT_US  10000 /* back-off unit after a conflict */
#define RECORD_BYTES 400   /* JSON of a record without its body, at most */
#define RETRY_MS     1000

typedef enum {
	RECORD_OPEN = 0,
	RECORD_ANSWERED,
	RECORD_UNKNOWN
} record_state_t;

typedef struct {
	uint8_t hash[HASH];
	uint8_t digest[HASH];
	uint8_t attempt[HASH];
	char *instance; /* interned reference string */
	uint64_t incarnation;
	int64_t changed_ms; /* wall clock */
	char *content_type;
	uint8_t *body; /* NULL: not kept */
	uint32_t body_size;
	uint16_t status;
	uint8_t state; /* record_state_t */
	bool removed;  /* in a change only: remove the record */
	char *text;    /* JSON, made when it is first written */
} record_t;

typedef enum {
	OP_INTENT,
	OP_DONE
} op_kind_t;

typedef struct {
	op_kind_t kind;
	record_t *record; /* what it wants the record to be */
	uint64_t token;
	int64_t deadline_us;
	int64_t asked_us;
	bool written;	/* part of a write whose result is not known yet */
	bool tried;	/* was part of a write that may take effect */
	bool withdrawn; /* nobody waits for the answer */
} op_t;

typedef struct bsh_journal_bucket {
	uint32_t number;
	char name[8];
	GHashTable *records; /* hash -> record_t, as in the store */
	GHashTable *changes; /* of the write under way */
	uint64_t version;
	bool loaded;
	bool writing;
	int64_t loaded_us; /* begin of the read that loaded it */
	GQueue ops;	   /* op_t, in order of arrival */
	uint64_t call;	   /* store call under way, 0: none */
	int64_t called_us;
	int64_t not_before_us;
	int64_t used_us;
	uint32_t conflicts; /* in a row */
	size_t bytes;	    /* estimated size of the object */
} bucket_t;

static guint hash_of(const void *key)
{
	guint value;

	memcpy(&value, key, sizeof(value));
	return value;
}

static gboolean same_hash(const void *a, const void *b)
{
	return memcmp(a, b, HASH) == 0;
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
	return g_hash_table_new_full(hash_of, same_hash, NULL, free_record);
}

static void put_record(GHashTable *table, record_t *r)
{
	/* The key is inside the value: replace both. */
	g_hash_table_replace(table, r->hash, r);
}

static size_t record_bytes(const record_t *r)
{
	return RECORD_BYTES + ((size_t)r->body_size + 2) / 3 * 4;
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
	config->window_us = 4000;
	config->result_keep_us = 60000000;
	config->seed = 1;
}

void bsh_journal_init(bsh_journal_t *j, const bsh_journal_config_t *config,
		      const bsh_journal_ops_t *orders, void *ctx)
{
	memset(j, 0, sizeof(*j));
	j->config = *config;
	j->orders = *orders;
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
	g_queue_clear_full(&b->ops, free_op);
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

static void hash_parts(uint8_t out[HASH], const char *a, const char *b,
		       const void *data, size_t size)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, HASH);
	crypto_generichash_update(&state, (const uint8_t *)a, strlen(a) + 1);
	crypto_generichash_update(&state, (const uint8_t *)b, strlen(b) + 1);
	if (size > 0)
		crypto_generichash_update(&state, data, size);
	crypto_generichash_final(&state, out, HASH);
}

void bsh_journal_digest(const char *method, const char *path, const void *body,
			size_t size, uint8_t out[HASH])
{
	hash_parts(out, method, path, body, size);
}

/* Text form of a bucket. */

static void put_hex(json_t *object, const char *key, const uint8_t hash[HASH])
{
	char hex[2 * HASH + 1];

	sodium_bin2hex(hex, sizeof(hex), hash, HASH);
	json_object_set_new(object, key, json_string(hex));
}

static bool get_hex(const json_t *object, const char *key, uint8_t out[HASH])
{
	const char *hex = json_string_value(json_object_get(object, key));
	size_t size;

	return hex != NULL &&
	       sodium_hex2bin(out, HASH, hex, strlen(hex), NULL, &size, NULL) ==
		       0 &&
	       size == HASH;
}

static json_t *print_record(const record_t *r)
{
	json_t *object = json_object();

	put_hex(object, "key", r->hash);
	put_hex(object, "digest", r->digest);
	put_hex(object, "attempt", r->attempt);
	json_object_set_new(object, "instance", json_string(r->instance));
	json_object_set_new(object, "incarnation",
			    json_integer((json_int_t)r->incarnation));
	json_object_set_new(object, "state", json_integer(r->state));
	json_object_set_new(object, "changed_ms", json_integer(r->changed_ms));
	if (r->state != RECORD_ANSWERED)
		return object;
	json_object_set_new(object, "status", json_integer(r->status));
	if (r->content_type != NULL)
		json_object_set_new(object, "type",
				    json_string(r->content_type));
	if (r->body != NULL) {
		size_t size = sodium_base64_encoded_len(
			r->body_size, sodium_base64_VARIANT_ORIGINAL);
		char *text = g_malloc(size);

		sodium_bin2base64(text, size, r->body, r->body_size,
				  sodium_base64_VARIANT_ORIGINAL);
		json_object_set_new(object, "body", json_string(text));
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

/* NULL when the text is not a bucket: it is then left alone. */
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

static bucket_t *bucket_of(bsh_journal_t *j, const uint8_t hash[HASH],
			   int64_t now_us)
{
	uint32_t number = hash_of(hash) % BSH_JOURNAL_BUCKETS;
	bucket_t *b = j->buckets[number];

	if (b == NULL) {
		b = g_new0(bucket_t, 1);
		b->number = number;
		snprintf(b->name, sizeof(b->name), "%u", number);
		g_queue_init(&b->ops);
		j->buckets[number] = b;
	}
	b->used_us = now_us;
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

static void measure(bsh_journal_t *j, bucket_t *b)
{
	GHashTableIter iter;
	void *value;

	j->cached_bytes -= b->bytes;
	b->bytes = 0;
	g_hash_table_iter_init(&iter, b->records);
	/* A record holds its body and its text. */
	while (g_hash_table_iter_next(&iter, NULL, &value))
		b->bytes += 2 * record_bytes(value);
	j->cached_bytes += b->bytes;
}

/* Drop the least recently used idle buckets above the limit. */
static void trim_cache(bsh_journal_t *j)
{
	while (j->cached_bytes > j->config.cache_bytes) {
		bucket_t *oldest = NULL;

		for (int i = 0; i < BSH_JOURNAL_BUCKETS; i++) {
			bucket_t *b = j->buckets[i];

			if (b == NULL || b->call != 0 || b->ops.length > 0 ||
			    b->bytes == 0)
				continue;
			if (oldest == NULL || b->used_us < oldest->used_us)
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
	       j->orders.is_gone(j->ctx, r->instance, r->incarnation);
}

/* The record as the store has it, without an expired one. */
static const record_t *lookup(const bsh_journal_t *j, const bucket_t *b,
			      const uint8_t hash[HASH], int64_t now_us)
{
	const record_t *r = g_hash_table_lookup(b->records, hash);

	return r == NULL || is_expired(j, r, now_us) ? NULL : r;
}

/* Operations. */

static void remove_op(bsh_journal_t *j, bucket_t *b, op_t *op)
{
	g_queue_remove(&b->ops, op);
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
		j->orders.answer(j->ctx, token, verdict,
				 verdict == BSH_INTENT_ANSWERED ? &result
								: NULL,
				 retry_ms);
}

static uint32_t retry_ms(bsh_journal_t *j, uint32_t base_ms)
{
	return base_ms + bsh_rng_below(&j->rng, base_ms / 2 + 1);
}

static op_t *find_op(const bucket_t *b, op_kind_t kind,
		     const uint8_t attempt[HASH])
{
	for (GList *l = b->ops.head; l != NULL; l = l->next) {
		op_t *op = l->data;

		if (op->kind == kind &&
		    memcmp(op->record->attempt, attempt, HASH) == 0)
			return op;
	}
	return NULL;
}

/* An intent that nobody waits for any more, but that may be in the store. */
static void turn_into_removal(bsh_journal_t *j, bucket_t *b, op_t *op)
{
	if (find_op(b, OP_DONE, op->record->attempt) != NULL) {
		remove_op(j, b, op);
		return;
	}
	op->kind = OP_DONE;
	op->record->removed = true;
	op->withdrawn = true;
	op->written = false;
	/* Given up like a result: the record then stays open, which answers
	 * "unknown" once this process is gone. */
	op->deadline_us = op->asked_us + j->config.result_keep_us;
}

/*
 * Answer an undecided intent.  If a write may have carried it, the operation
 * stays as a removal, which is only done once a later version is written.
 */
static void give_up(bsh_journal_t *j, bucket_t *b, op_t *op, uint32_t base_ms)
{
	bool withdrawn = op->withdrawn;
	uint64_t token = op->token;

	if (op->tried)
		turn_into_removal(j, b, op);
	else
		remove_op(j, b, op);
	if (!withdrawn)
		j->orders.answer(j->ctx, token, BSH_INTENT_UNAVAILABLE, NULL,
				 retry_ms(j, base_ms));
}

static void recorded(bsh_journal_t *j, bucket_t *b, op_t *op, bool ok)
{
	bool withdrawn = op->withdrawn;
	uint64_t token = op->token;

	remove_op(j, b, op);
	if (!withdrawn)
		j->orders.recorded(j->ctx, token, ok);
}

/* Call fn for each operation; fn may remove the one that it is given. */
static void each_op(bsh_journal_t *j, bucket_t *b,
		    void (*fn)(bsh_journal_t *j, bucket_t *b, op_t *op,
			       int64_t now_us),
		    int64_t now_us)
{
	GList *next;

	for (GList *l = b->ops.head; l != NULL; l = next) {
		next = l->next;
		fn(j, b, l->data, now_us);
	}
}

/* What an operation needs, given the bucket as it is in the store. */
typedef enum {
	NEED_NOTHING, /* answered */
	NEED_READ,    /* a read that began after the operation came */
	NEED_WRITE
} op_need_t;

static op_need_t decide_intent(bsh_journal_t *j, bucket_t *b, op_t *op,
			       int64_t now_us)
{
	const record_t *r = lookup(j, b, op->record->hash, now_us);

	if (r == NULL)
		return NEED_WRITE;
	if (memcmp(r->attempt, op->record->attempt, HASH) == 0 &&
	    r->state == RECORD_OPEN) {
		j->committed++;
		answer(j, b, op, BSH_INTENT_RUN, NULL, 0);
		return NEED_NOTHING;
	}
	/* Another instance may have closed it since it was read. */
	if (r->state == RECORD_OPEN && b->loaded_us < op->asked_us)
		return NEED_READ;
	if (memcmp(r->digest, op->record->digest, HASH) != 0)
		answer(j, b, op, BSH_INTENT_MISMATCH, NULL, 0);
	else if (r->state == RECORD_ANSWERED)
		answer(j, b, op,
		       r->body != NULL ? BSH_INTENT_ANSWERED
				       : BSH_INTENT_NOT_KEPT,
		       r, 0);
	else if (r->state == RECORD_UNKNOWN ||
		 j->orders.is_gone(j->ctx, r->instance, r->incarnation))
		answer(j, b, op, BSH_INTENT_UNKNOWN, NULL, 0);
	else
		answer(j, b, op, BSH_INTENT_IN_PROGRESS, NULL,
		       retry_ms(j, RETRY_MS));
	return NEED_NOTHING;
}

static op_need_t decide_done(bsh_journal_t *j, bucket_t *b, op_t *op,
			     int64_t now_us)
{
	const record_t *r = lookup(j, b, op->record->hash, now_us);

	/* A write even if there is nothing to remove: it makes an earlier
	 * write that is still under way conflict. */
	if (r == NULL)
		return NEED_WRITE;
	if (memcmp(r->attempt, op->record->attempt, HASH) != 0) {
		recorded(j, b, op, op->record->removed);
		return NEED_NOTHING;
	}
	if (r->state == RECORD_OPEN)
		return NEED_WRITE;
	recorded(j, b, op, !op->record->removed);
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
	j->orders.read(j->ctx, b->call, b->name);
}

static void fill_change(const bsh_journal_t *j, bucket_t *b, op_t *op,
			int64_t now_us)
{
	record_t *change = copy_record(op->record);

	change->changed_ms = wall_ms(j, now_us);
	put_record(b->changes, change);
	op->written = true;
}

/* Collect what the next write contains: one operation per key. */
static void collect_changes(bsh_journal_t *j, bucket_t *b, int64_t now_us)
{
	GList *next;

	b->changes = new_table();
	for (GList *l = b->ops.head; l != NULL; l = next) {
		op_t *op = l->data;

		next = l->next;
		if (g_hash_table_contains(b->changes, op->record->hash))
			continue;
		if (decide(j, b, op, now_us) == NEED_WRITE)
			fill_change(j, b, op, now_us);
	}
}

static int compare_changed(const void *a, const void *b)
{
	const record_t *x = *(record_t *const *)a;
	const record_t *y = *(record_t *const *)b;

	return (x->changed_ms > y->changed_ms) -
	       (x->changed_ms < y->changed_ms);
}

/* The records that the object will hold. */
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
		*bytes += record_bytes(g_ptr_array_index(list, i));
	return list;
}

/* Drop the oldest bodies until the object fits; false if it cannot. */
static bool fit(GPtrArray *list, size_t bytes)
{
	if (bytes <= BSH_JOURNAL_OBJECT_MAX_BYTES)
		return true;
	g_ptr_array_sort(list, compare_changed);
	for (guint i = 0; i < list->len && bytes > BSH_JOURNAL_OBJECT_MAX_BYTES;
	     i++) {
		record_t *r = g_ptr_array_index(list, i);

		bytes -= record_bytes(r) - RECORD_BYTES;
		g_clear_pointer(&r->body, g_free);
		g_clear_pointer(&r->text, free);
		r->body_size = 0;
	}
	return bytes <= BSH_JOURNAL_OBJECT_MAX_BYTES;
}

/* Most records are unchanged since the last write of their bucket, so their
 * texts are kept: printing all of a full bucket takes several milliseconds. */
static GString *print_records(const GPtrArray *list, size_t bytes)
{
	GString *text = g_string_sized_new(bytes);

	g_string_append(text, "{\"records\":[");
	for (guint i = 0; i < list->len; i++) {
		record_t *r = g_ptr_array_index(list, i);

		if (r->text == NULL) {
			json_t *object = print_record(r);

			r->text = json_dumps(object, JSON_COMPACT);
			json_decref(object);
		}
		if (i > 0)
			g_string_append_c(text, ',');
		g_string_append(text, r->text);
	}
	return g_string_append(text, "]}");
}

static void forget_op_write(bsh_journal_t *j, bucket_t *b, op_t *op,
			    int64_t now_us)
{
	(void)now_us;
	if (op->written && op->kind == OP_INTENT && op->withdrawn)
		turn_into_removal(j, b, op);
	else
		op->written = false;
}

static void forget_write(bsh_journal_t *j, bucket_t *b)
{
	if (b->changes != NULL)
		g_hash_table_destroy(b->changes);
	b->changes = NULL;
	each_op(j, b, forget_op_write, 0);
}

/* A full bucket takes no new key, but results of known ones. */
static void refuse_intents(bsh_journal_t *j, bucket_t *b, op_t *op,
			   int64_t now_us)
{
	(void)now_us;
	if (op->kind == OP_INTENT && op->written)
		give_up(j, b, op, RETRY_MS * 10);
}

static void start_write(bsh_journal_t *j, bucket_t *b, int64_t now_us)
{
	GPtrArray *list;
	size_t bytes;
	GString *text;

	collect_changes(j, b, now_us);
	if (g_hash_table_size(b->changes) == 0) {
		forget_write(j, b);
		return;
	}
	list = next_records(j, b, now_us, &bytes);
	if (!fit(list, bytes)) {
		g_ptr_array_free(list, TRUE);
		each_op(j, b, refuse_intents, now_us);
		forget_write(j, b);
		b->not_before_us = now_us + RETRY_MS * 1000;
		return;
	}
	text = print_records(list, bytes);
	g_ptr_array_free(list, TRUE);
	j->write_tokens -= 1.0;
	j->writes++;
	for (GList *l = b->ops.head; l != NULL; l = l->next)
		((op_t *)l->data)->tried |= ((op_t *)l->data)->written;
	begin_call(j, b, true, now_us);
	j->orders.write(j->ctx, b->call, b->name, b->version, text->str,
			text->len);
	g_string_free(text, TRUE);
}

/* Answer what the cached bucket decides; true if an operation needs more. */
static bool decide_all(bsh_journal_t *j, bucket_t *b, bool *needs_read,
		       int64_t now_us)
{
	bool needs_write = false;
	GList *next;

	*needs_read = false;
	for (GList *l = b->ops.head; l != NULL; l = next) {
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

static bool is_down(const bsh_journal_t *j)
{
	return j->down_count > 0;
}

static void refuse_undecided(bsh_journal_t *j, bucket_t *b, op_t *op,
			     int64_t now_us)
{
	(void)now_us;
	if (op->kind == OP_INTENT)
		give_up(j, b, op, RETRY_MS);
}

static void wait_for_token(bucket_t *b, double tokens, uint32_t per_s,
			   int64_t now_us)
{
	b->not_before_us = now_us + (int64_t)((1.0 - tokens) * 1e6 / per_s) + 1;
}

/* Move a bucket on: decide, read or write. */
static void serve(bsh_journal_t *j, bucket_t *b, int64_t now_us)
{
	bool needs_read = false;

	if (b->call != 0 || b->ops.length == 0)
		return;
	if (b->loaded && !decide_all(j, b, &needs_read, now_us) && !needs_read)
		return;
	if (is_down(j)) {
		each_op(j, b, refuse_undecided, now_us);
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

/* Text that JSON can hold: what cannot be read back would spoil a bucket. */
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
	op->asked_us = now_us;
	op->record = g_new0(record_t, 1);
	hash_parts(op->record->hash, intent->service, intent->key, NULL, 0);
	memcpy(op->record->digest, intent->digest, HASH);
	memcpy(op->record->attempt, intent->attempt, HASH);
	op->record->instance = g_ref_string_new_intern(intent->instance);
	op->record->incarnation = intent->incarnation;
	return op;
}

static void add_op(bsh_journal_t *j, bucket_t *b, op_t *op, int64_t now_us)
{
	bool first = b->ops.length == 0;

	g_queue_push_tail(&b->ops, op);
	j->pending++;
	/* Wait a moment for others, unless the cache decides. */
	if (first && b->call == 0 && b->loaded &&
	    b->not_before_us < now_us + j->config.window_us)
		b->not_before_us = now_us + j->config.window_us;
	serve(j, b, now_us);
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
		j->orders.answer(j->ctx, intent->token, BSH_INTENT_UNAVAILABLE,
				 NULL, retry_ms(j, RETRY_MS));
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
	if (result->body == NULL || result->body_size > BSH_JOURNAL_BODY_MAX_BYTES)
		return;
	/* An empty body is kept too. */
	r->body = g_malloc(MAX(result->body_size, 1));
	if (result->body_size > 0)
		memcpy(r->body, result->body, result->body_size);
	r->body_size = (uint32_t)result->body_size;
}

/* The request of an undecided intent ended: nobody waits for the verdict. */
static bool withdraw(bsh_journal_t *j, bucket_t *b, const op_t *done)
{
	op_t *op = find_op(b, OP_INTENT, done->record->attempt);
	bool tried;

	if (op == NULL)
		return false;
	if (op->written) {
		op->withdrawn = true;
		return false;
	}
	tried = op->tried;
	remove_op(j, b, op);
	return !tried;
}

bsh_error_t bsh_journal_record_result(bsh_journal_t *j, const bsh_intent_t *intent,
			     const bsh_journal_result_t *result, int64_t now_us)
{
	op_t *op = new_op(OP_DONE, intent, now_us);
	op_t *known;
	bucket_t *b;

	if (op == NULL)
		return BSH_ERR_INVALID;
	op->deadline_us = now_us + j->config.result_keep_us;
	set_result(op->record, result);
	b = bucket_of(j, op->record->hash, now_us);
	if (op->record->removed && withdraw(j, b, op)) {
		free_op(op);
		j->orders.recorded(j->ctx, intent->token, true);
		return BSH_OK;
	}
	known = find_op(b, OP_DONE, op->record->attempt);
	if (known != NULL && !known->withdrawn) {
		known->token = op->token;
		free_op(op);
		return BSH_OK;
	}
	/* Results have twice the room, so that new keys cannot block them. */
	if (j->pending >= 2 * j->config.max_pending) {
		free_op(op);
		return BSH_ERR_CAPACITY;
	}
	add_op(j, b, op, now_us);
	return BSH_OK;
}

/* Results of store calls. */

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

static void went_down(bsh_journal_t *j, int64_t now_us)
{
	int64_t wait_us = DOWN_MIN_US << MIN(j->down_count, 3);

	j->down_count++;
	wait_us = MIN(wait_us, DOWN_MAX_US);
	wait_us -= (int64_t)((double)wait_us * 0.3 * bsh_rng_unit(&j->rng));
	j->down_until_us = now_us + wait_us;
	for (int i = 0; i < BSH_JOURNAL_BUCKETS; i++) {
		if (j->buckets[i] != NULL && j->buckets[i]->call == 0)
			each_op(j, j->buckets[i], refuse_undecided, now_us);
	}
}

static void came_up(bsh_journal_t *j)
{
	j->down_count = 0;
	j->down_until_us = 0;
}

/* Refuse an intent whose deadline comes before the next store call. */
static void refuse_late(bsh_journal_t *j, bucket_t *b, op_t *op, int64_t now_us)
{
	if (op->kind == OP_INTENT && !op->written &&
	    op->deadline_us <= b->not_before_us)
		give_up(j, b, op,
			(uint32_t)((b->not_before_us - now_us) / 1000));
}

/* The rate limit applies to all buckets alike. */
static void back_off(bsh_journal_t *j, uint32_t wait_ms, int64_t now_us)
{
	int64_t until_us = now_us + MAX(wait_ms, 100) * INT64_C(1000);

	for (int i = 0; i < BSH_JOURNAL_BUCKETS; i++) {
		bucket_t *b = j->buckets[i];

		if (b == NULL)
			continue;
		b->not_before_us =
			MAX(b->not_before_us,
			    until_us + (int64_t)bsh_rng_below(&j->rng, 100000));
		each_op(j, b, refuse_late, now_us);
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
		back_off(j, retry_after_ms, now_us);
		return;
	case BSH_STORE_CONFLICT:
	case BSH_STORE_DOWN:
	case BSH_STORE_LOST:
		went_down(j, now_us);
		return;
	}
	came_up(j);
	if (records == NULL) {
		/* Not a bucket: nothing may be run on the strength of it, and
		 * it is not overwritten. */
		b->not_before_us = now_us + RETRY_MS * 1000;
		each_op(j, b, refuse_undecided, now_us);
		return;
	}
	unload(j, b);
	b->records = records;
	b->version = version;
	b->loaded = true;
	b->loaded_us = b->called_us;
	measure(j, b);
	serve(j, b, now_us);
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
	measure(j, b);
}

static void settle_written(bsh_journal_t *j, bucket_t *b, op_t *op,
			   int64_t now_us)
{
	(void)now_us;
	if (!op->written)
		return;
	if (op->kind == OP_DONE) {
		recorded(j, b, op, true);
		return;
	}
	if (op->withdrawn) {
		turn_into_removal(j, b, op);
		return;
	}
	j->committed++;
	answer(j, b, op, BSH_INTENT_RUN, NULL, 0);
}

static void write_lost(bsh_journal_t *j, bucket_t *b, int64_t now_us)
{
	j->read_backs++;
	forget_write(j, b);
	unload(j, b);
	serve(j, b, now_us);
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
		came_up(j);
		b->version = version;
		/* The update shows that nobody else wrote until then. */
		b->loaded_us = b->called_us;
		b->conflicts = 0;
		apply_changes(j, b, now_us);
		each_op(j, b, settle_written, now_us);
		forget_write(j, b);
		serve(j, b, now_us);
		trim_cache(j);
		return;
	case BSH_STORE_CONFLICT:
	case BSH_STORE_MISSING:
		j->conflicts++;
		b->conflicts++;
		wait_us = (int64_t)CONFLICT_US << MIN(b->conflicts, 5);
		b->not_before_us = now_us + (int64_t)((double)wait_us *
						      bsh_rng_unit(&j->rng));
		forget_write(j, b);
		unload(j, b);
		serve(j, b, now_us);
		return;
	case BSH_STORE_RATE:
		forget_write(j, b);
		back_off(j, retry_after_ms, now_us);
		return;
	case BSH_STORE_DOWN:
		forget_write(j, b);
		went_down(j, now_us);
		return;
	case BSH_STORE_LOST:
		write_lost(j, b, now_us);
		return;
	}
}

/* Time. */

static void check_deadline(bsh_journal_t *j, bucket_t *b, op_t *op,
			   int64_t now_us)
{
	if (now_us < op->deadline_us)
		return;
	if (op->kind == OP_INTENT && op->withdrawn)
		return;
	if (op->kind == OP_INTENT && !op->written) {
		give_up(j, b, op, RETRY_MS);
	} else if (op->kind == OP_INTENT) {
		/* Its write is under way: answer now, remove it afterwards. */
		op->withdrawn = true;
		j->orders.answer(j->ctx, op->token, BSH_INTENT_UNAVAILABLE,
				 NULL, retry_ms(j, RETRY_MS));
	} else if (!op->written) {
		recorded(j, b, op, false);
	}
}

static void check_bucket(bsh_journal_t *j, bucket_t *b, int64_t now_us)
{
	if (b->call != 0 &&
	    now_us - b->called_us >= j->config.store_timeout_us) {
		b->call = 0;
		if (b->writing)
			write_lost(j, b, now_us);
		else
			went_down(j, now_us);
	}
	each_op(j, b, check_deadline, now_us);
	serve(j, b, now_us);
}

/* While the store is down, one read at a time finds out whether it is back. */
static void probe(bsh_journal_t *j, int64_t now_us)
{
	bucket_t *b = NULL;

	for (int i = 0; i < BSH_JOURNAL_BUCKETS; i++) {
		if (j->buckets[i] == NULL)
			continue;
		if (j->buckets[i]->call != 0)
			return;
		if (b == NULL || j->buckets[i]->ops.length > 0)
			b = j->buckets[i];
	}
	if (now_us < j->down_until_us)
		return;
	if (b == NULL) {
		/* Nothing to read; the next intent finds out. */
		came_up(j);
		return;
	}
	refill(j, now_us);
	j->down_until_us = now_us + j->config.store_timeout_us;
	start_read(j, b, now_us);
}

void bsh_journal_tick(bsh_journal_t *j, int64_t now_us)
{
	/* Buckets take turns when the rates do not suffice for all. */
	j->turn = (j->turn + 1) % BSH_JOURNAL_BUCKETS;
	for (uint32_t i = 0; i < BSH_JOURNAL_BUCKETS; i++) {
		bucket_t *b = j->buckets[(j->turn + i) % BSH_JOURNAL_BUCKETS];

		if (b != NULL && (b->ops.length > 0 || b->call != 0))
			check_bucket(j, b, now_us);
	}
	if (is_down(j))
		probe(j, now_us);
}

static int64_t bucket_next_us(const bsh_journal_t *j, const bucket_t *b)
{
	int64_t next_us = INT64_MAX;

	for (GList *l = b->ops.head; l != NULL; l = l->next) {
		const op_t *op = l->data;

		if (op->kind == OP_INTENT ? !op->withdrawn : !op->written)
			next_us = MIN(next_us, op->deadline_us);
	}
	if (b->call != 0)
		return MIN(next_us, b->called_us + j->config.store_timeout_us);
	if (b->ops.length == 0 || is_down(j))
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
	/* The next probe waits for the calls under way. */
	if (is_down(j) && !calling)
		next_us = MIN(next_us, j->down_until_us);
	return next_us;
}

uint32_t bsh_journal_pending(const bsh_journal_t *j)
{
	return j->pending;
}
