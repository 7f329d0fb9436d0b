/*
 * Stand-in for the platform's object store and its list of instances.
 *
 *	standin_store [PORT]
 *
 * Control, besides the faults of support/standin.h:
 *	instances	replace the list of instances
 *	instance	add or update one instance, by name
 *	writes_per_s, reads_per_s
 *			rate limits, 429 above (0: unlimited)
 *	lag_ms		delay until a change of the instances is visible
 *	reads_down, writes_down
 *			503 while 1
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "support/standin.h"

#define VALUE_MAX_BYTES 1000000

typedef struct {
	int64_t version;
	json_t *value;
} object_t;

/* A token bucket with a capacity of one second. */
typedef struct {
	double tokens;
	int64_t at_us; /* time of the last refill */
} bucket_t;

/* A state of the list of instances; its version is its index plus one. */
typedef struct {
	int64_t visible_us; /* time from which it is returned */
	json_t *list;
} snapshot_t;

static GHashTable *objects; /* "KIND/NAME" to object_t */
static int64_t last_version;
static bucket_t reads;
static bucket_t writes;
static GArray *snapshots; /* snapshot_t in order of creation */
static json_t *write_log; /* one record for each accepted PUT */
static json_t *counts; /* "reads", "writes", "conflicts" and "rate_limited" */

static void count(const char *name)
{
	json_object_set_new(counts, name,
			    json_integer(standin_int(counts, name) + 1));
}

static void free_object(void *data)
{
	object_t *object = data;

	json_decref(object->value);
	g_free(object);
}

/* Takes a token from the bucket; false if none is left.  rate: tokens per
 * second; 0: unlimited. */
static bool take_token(bucket_t *bucket, double rate)
{
	int64_t now_us = standin_now_us();

	if (rate <= 0)
		return true;
	bucket->tokens += (double)(now_us - bucket->at_us) * rate / 1e6;
	bucket->tokens = MIN(bucket->tokens, rate);
	bucket->at_us = now_us;
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}

static bool is_admitted(standin_answer_t *answer, bool is_write)
{
	if (standin_fault(is_write ? "writes_down" : "reads_down") != 0) {
		standin_answer(answer, 503, NULL);
		return false;
	}
	if (is_write
		    ? take_token(&writes, (double)standin_fault("writes_per_s"))
		    : take_token(&reads, (double)standin_fault("reads_per_s")))
		return true;
	count("rate_limited");
	standin_answer(answer, 429, NULL);
	answer->header = "Retry-After";
	g_strlcpy(answer->value, "1", sizeof(answer->value));
	return false;
}

static json_t *object_json(const char *name, const object_t *object)
{
	const char *slash = strchr(name, '/');

	return json_pack("{s:s, s:I, s:O}", "name",
			 slash != NULL ? slash + 1 : name, "version",
			 (json_int_t)object->version, "value", object->value);
}

static void get_list(const char *kind, standin_answer_t *answer)
{
	g_autofree char *prefix = g_strconcat(kind, "/", NULL);
	json_t *items = json_array();
	GHashTableIter it;
	gpointer name;
	gpointer object;

	g_hash_table_iter_init(&it, objects);
	while (g_hash_table_iter_next(&it, &name, &object)) {
		if (g_str_has_prefix(name, prefix))
			json_array_append_new(items, object_json(name, object));
	}
	standin_answer(answer, 200, json_pack("{s:o}", "items", items));
}

/* GET of one object.  With watch=VERSION it waits until the object has a higher
 * version, and answers 204 after timeout_ms. */
static void get_object(const standin_request_t *request, const char *name,
		       standin_answer_t *answer)
{
	const char *watch = standin_query(request, "watch");
	const char *timeout = standin_query(request, "timeout_ms");
	int64_t deadline_us = standin_now_us() +
			      (timeout != NULL ? atoll(timeout) * 1000 : 0);
	const object_t *object = g_hash_table_lookup(objects, name);

	while (watch != NULL &&
	       (object == NULL || object->version <= atoll(watch))) {
		if (standin_now_us() >= deadline_us ||
		    standin_fault("outage") != 0) {
			standin_answer(answer, 204, NULL);
			return;
		}
		standin_wait((deadline_us - standin_now_us() + 999) / 1000);
		object = g_hash_table_lookup(objects, name);
	}
	if (object == NULL)
		standin_answer(answer, 404, NULL);
	else
		standin_answer(answer, 200, object_json(name, object));
}

/* Returns true if If-Match names the version of the object (0: absent). */
static bool is_current(const standin_request_t *request, const object_t *object)
{
	const char *match = standin_header(request, "If-Match");

	return match != NULL && match[0] == '"' &&
	       atoll(match + 1) == (object != NULL ? object->version : 0);
}

static void answer_version(standin_answer_t *answer, unsigned int status,
			   int64_t version)
{
	standin_answer(answer, status,
		       json_pack("{s:I}", "version", (json_int_t)version));
}

static void put_object(const standin_request_t *request, const char *name,
		       standin_answer_t *answer)
{
	object_t *object = g_hash_table_lookup(objects, name);

	if (strlen(request->text) > VALUE_MAX_BYTES) {
		standin_answer(answer, 413, NULL);
	} else if (request->body == NULL) {
		standin_answer(answer, 400, NULL);
	} else if (!is_current(request, object)) {
		count("conflicts");
		answer_version(answer, 409,
			       object != NULL ? object->version : 0);
	} else {
		if (object == NULL) {
			object = g_new0(object_t, 1);
			g_hash_table_insert(objects, g_strdup(name), object);
		}
		json_decref(object->value);
		object->value = json_incref(request->body);
		object->version = ++last_version;
		count("writes");
		json_array_append_new(
			write_log,
			json_pack("{s:s, s:I, s:I, s:I}", "name", name,
				  "version", (json_int_t)last_version, "at_us",
				  (json_int_t)standin_now_us(), "generation",
				  (json_int_t)standin_int(request->body,
							  "generation")));
		standin_wake();
		answer_version(answer, 200, last_version);
	}
}

static void delete_object(const standin_request_t *request, const char *name,
			  standin_answer_t *answer)
{
	const object_t *object = g_hash_table_lookup(objects, name);

	if (object == NULL || !is_current(request, object)) {
		answer_version(answer, object == NULL ? 404 : 409,
			       object != NULL ? object->version : 0);
		return;
	}
	g_hash_table_remove(objects, name);
	last_version++;
	answer_version(answer, 200, last_version);
}

/* Returns the version of the newest snapshot that is visible; 0: none. */
static guint visible_version(void)
{
	guint newest = 0;

	for (guint i = 0; i < snapshots->len; i++) {
		if (g_array_index(snapshots, snapshot_t, i).visible_us <=
		    standin_now_us())
			newest = i + 1;
	}
	return newest;
}

static const json_t *find_instance(const json_t *list, const char *name)
{
	size_t i;
	json_t *item;

	json_array_foreach((json_t *)list, i, item)
	{
		if (strcmp(standin_text(item, "name"), name) == 0)
			return item;
	}
	return NULL;
}

/* Returns the changes after version since; the whole list if it is 0 or not
 * visible. */
static json_t *instances(guint since)
{
	guint newest = visible_version();
	json_t *items = json_array();
	json_t *removed = json_array();
	const json_t *old = NULL;
	json_t *list = NULL;
	json_t *item;
	size_t i;

	if (newest > 0)
		list = g_array_index(snapshots, snapshot_t, newest - 1).list;
	if (since > 0 && since <= newest)
		old = g_array_index(snapshots, snapshot_t, since - 1).list;
	json_array_foreach(list, i, item)
	{
		if (!json_equal(item,
				find_instance(old, standin_text(item, "name"))))
			json_array_append(items, item);
	}
	json_array_foreach((json_t *)old, i, item)
	{
		if (find_instance(list, standin_text(item, "name")) == NULL)
			json_array_append(removed,
					  json_object_get(item, "name"));
	}
	return json_pack("{s:I, s:b, s:o, s:o}", "version", (json_int_t)newest,
			 "partial", old != NULL, "items", items, "removed",
			 removed);
}

static void handle(const standin_request_t *request, standin_answer_t *answer)
{
	bool is_write = strcmp(request->method, "GET") != 0;
	const char *name;

	if (!is_admitted(answer, is_write))
		return;
	if (!is_write)
		count("reads");
	if (strcmp(request->path, "/v1/instances") == 0) {
		const char *since = standin_query(request, "since");

		standin_answer(
			answer, 200,
			instances(since != NULL ? (guint)atoll(since) : 0));
		return;
	}
	if (!g_str_has_prefix(request->path, "/v1/objects/")) {
		standin_answer(answer, 404, NULL);
		return;
	}
	name = request->path + strlen("/v1/objects/");
	if (strcmp(request->method, "PUT") == 0)
		put_object(request, name, answer);
	else if (strcmp(request->method, "DELETE") == 0)
		delete_object(request, name, answer);
	else if (strchr(name, '/') == NULL)
		get_list(name, answer);
	else
		get_object(request, name, answer);
}

static void replace_instance(json_t *list, const json_t *item)
{
	size_t i;
	json_t *old;

	json_array_foreach(list, i, old)
	{
		if (strcmp(standin_text(old, "name"),
			   standin_text(item, "name")) == 0) {
			json_object_update(old, (json_t *)item);
			return;
		}
	}
	json_array_append_new(list, json_deep_copy(item));
}

static void control(const char *name, const json_t *value)
{
	snapshot_t snapshot = { .visible_us = standin_now_us() +
					      standin_fault("lag_ms") * 1000 };

	if (strcmp(name, "instances") == 0) {
		snapshot.list = json_deep_copy(value);
	} else if (strcmp(name, "instance") == 0) {
		snapshot.list =
			snapshots->len > 0
				? json_deep_copy(
					  g_array_index(snapshots, snapshot_t,
							snapshots->len - 1)
						  .list)
				: json_array();
		replace_instance(snapshot.list, value);
	} else {
		return;
	}
	g_array_append_val(snapshots, snapshot);
	standin_wake();
}

static json_t *records(void)
{
	return json_pack("{s:O, s:O}", "counts", counts, "writes", write_log);
}

int main(int argc, char **argv)
{
	static const standin_t store = { "standin_store", handle, control,
					 records };

	objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					free_object);
	snapshots = g_array_new(FALSE, FALSE, sizeof(snapshot_t));
	write_log = json_array();
	counts = json_object();
	return standin_run(&store, argc > 1 ? atoi(argv[1]) : 0);
}
