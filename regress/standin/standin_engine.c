/*
 * Stand-in for an inference engine that loads models and generates tokens.
 *
 *	standin_engine NAME PORT MEMORY_MIB WEIGHTS_ADDRESS [fencing]
 *
 * WEIGHTS_ADDRESS is the "host:port" of standin_weights.  With "fencing", load
 * and unload orders whose fencing token is below the highest seen for the model
 * are answered 409.
 *
 * Control, besides the faults of support/standin.h:
 *	incarnation	incarnation in the status
 *	leaving		1: state "leaving"; loads are answered 503
 *	token_ms	time per generated token
 *	max_running	requests running at once (0: unlimited)
 *	report_lag_ms	age up to which the reported load is kept (200)
 *	disk_ms		load time of a model that was fetched before
 *	unload_ms	unload time
 *	cut_streams	break the next N answers, streams after two tokens
 *	cross_answers	send a wrong X-Request-Id in the next N answers
 *	fail_load	fail the next N loads
 *	cache_lag_ms	delay until a cache event is visible
 *	cache_gap	drop every Nth cache event (0: none)
 *	forget		any value but an integer: unload all models and forget
 *			the fencing tokens, under a new incarnation
 */
#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/standin.h"

/* A model that is loading, ready or unloading. */
typedef struct {
	char *name;
	char *version;
	char *attempt;
	const char *state; /* "loading", "ready" or "unloading" */
	int64_t memory_mib;
	int64_t serial; /* of the last order; a job of an earlier one ends */
	json_t *record; /* entry of loads */
} model_t;

/* A completion that is running or waiting. */
typedef struct {
	char *id;
	char *model;
	char *prompt;
	int64_t tokens;	   /* to generate */
	int64_t generated; /* tokens so far */
	int64_t priority;  /* lower runs first */
	bool stream;
	bool is_running;
	bool is_cut; /* broken off by the fault cut_streams */
	bool cancelled;
	GString *pending; /* stream data to send */
	size_t offset;	  /* bytes of pending already sent */
	bool is_complete; /* the last token was generated */
	json_t *record;	  /* entry of requests */
} answer_t;

static const char *name;
static const char *weights_address;
static bool is_fencing;
static int64_t memory_total_mib;
static int64_t memory_used_mib;
static int64_t memory_peak_mib;
static GHashTable *models;  /* name to model_t */
static GHashTable *fences;  /* model name to highest token, int64_t */
static GHashTable *on_disk; /* names of models with weights on disk */
static GPtrArray *answers;  /* answer_t of each completion in progress */
static int64_t next_serial;
static int64_t reported_us; /* time of the last update */
static int64_t reported_running;
static int64_t reported_waiting;
static int64_t cache_event_count; /* including dropped events */
static json_t *cache_events;
static json_t *loads;
static json_t *requests;
static json_t *orders;

static void free_model(void *data)
{
	model_t *model = data;

	json_object_set_new(model->record, "ended_us",
			    json_integer(standin_now_us()));
	memory_used_mib -= model->memory_mib;
	g_free(model->name);
	g_free(model->version);
	g_free(model->attempt);
	g_free(model);
}

static size_t discard(const void *data, size_t size, size_t n, void *ctx)
{
	(void)data;
	(void)ctx;
	return size * n;
}

/* Returns the HTTP status of one fetch, 0 on failure.  Releases the lock
 * meanwhile. */
static long fetch(const char *model)
{
	g_autofree char *url = g_strdup_printf("http://%s/v1/weights/%s",
					       weights_address, model);
	CURL *curl = curl_easy_init();
	long status = 0;

	standin_unlock();
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	standin_lock();
	return status;
}

/* Loads the weights from disk or from the weight store, which it retries after
 * 429.  Returns false on failure or if another order has replaced this one. */
static bool obtain_weights(const char *model, int64_t serial)
{
	long status = 429;

	if (g_hash_table_contains(on_disk, model)) {
		standin_sleep(standin_fault("disk_ms"));
		return true;
	}
	while (status == 429) {
		const model_t *current = g_hash_table_lookup(models, model);

		if (current == NULL || current->serial != serial)
			return false;
		status = fetch(model);
		if (status == 429)
			standin_sleep(100);
	}
	if (status == 200)
		g_hash_table_add(on_disk, g_strdup(model));
	return status == 200;
}

/* Argument of a load or unload thread. */
typedef struct {
	char *name;
	int64_t serial;
} job_t;

static void *load_main(void *data)
{
	job_t *job = data;
	model_t *model;
	bool ok;

	standin_lock();
	ok = !standin_consume_fault("fail_load") &&
	     obtain_weights(job->name, job->serial);
	model = g_hash_table_lookup(models, job->name);
	if (model != NULL && model->serial == job->serial &&
	    strcmp(model->state, "loading") == 0) {
		if (ok) {
			model->state = "ready";
			json_object_set_new(model->record, "ready_us",
					    json_integer(standin_now_us()));
		} else {
			g_hash_table_remove(models, job->name);
		}
	}
	standin_wake();
	standin_unlock();
	g_free(job->name);
	g_free(job);
	return NULL;
}

static void *unload_main(void *data)
{
	job_t *job = data;
	const model_t *model;

	standin_lock();
	standin_sleep(standin_fault("unload_ms"));
	model = g_hash_table_lookup(models, job->name);
	if (model != NULL && model->serial == job->serial)
		g_hash_table_remove(models, job->name);
	standin_unlock();
	g_free(job->name);
	g_free(job);
	return NULL;
}

static void start_job(void *(*fn)(void *), const model_t *model)
{
	job_t *job = g_new(job_t, 1);
	pthread_t thread;

	job->name = g_strdup(model->name);
	job->serial = model->serial;
	pthread_create(&thread, NULL, fn, job);
	pthread_detach(thread);
}

/* Answers 409 and returns false if the order has a lower fencing token than an
 * earlier one for the model. */
static bool check_fence(const json_t *order, standin_answer_t *answer)
{
	const char *model = standin_text(order, "model");
	int64_t fence = standin_int(order, "fence");
	int64_t *seen = g_hash_table_lookup(fences, model);

	if (!is_fencing)
		return true;
	if (seen == NULL) {
		seen = g_new0(int64_t, 1);
		g_hash_table_insert(fences, g_strdup(model), seen);
	}
	if (fence < *seen) {
		standin_answer(answer, 409,
			       json_pack("{s:s, s:I}", "error", "stale-fence",
					 "fence", (json_int_t)*seen));
		return false;
	}
	*seen = fence;
	return true;
}

static void add_model(const json_t *order)
{
	model_t *model = g_new0(model_t, 1);

	model->name = g_strdup(standin_text(order, "model"));
	model->version = g_strdup(standin_text(order, "version"));
	model->attempt = g_strdup(standin_text(order, "attempt"));
	model->memory_mib = standin_int(order, "memory_mib");
	model->state = "loading";
	model->serial = ++next_serial;
	model->record =
		json_pack("{s:s, s:s, s:I, s:I, s:I}", "model", model->name,
			  "attempt", model->attempt, "fence",
			  (json_int_t)standin_int(order, "fence"), "memory_mib",
			  (json_int_t)model->memory_mib, "began_us",
			  (json_int_t)standin_now_us());
	json_array_append_new(loads, model->record);
	memory_used_mib += model->memory_mib;
	memory_peak_mib = MAX(memory_peak_mib, memory_used_mib);
	g_hash_table_insert(models, g_strdup(model->name), model);
	start_job(load_main, model);
}

static void load(const json_t *order, standin_answer_t *answer)
{
	model_t *model =
		g_hash_table_lookup(models, standin_text(order, "model"));

	if (!check_fence(order, answer))
		return;
	if (model != NULL) {
		/* A repeated order, or the order of another sender for a model
		 * that is already present: take over its attempt id. */
		if (strcmp(model->state, "unloading") == 0) {
			standin_answer(
				answer, 409,
				json_pack("{s:s}", "error", "unloading"));
			return;
		}
		g_free(model->attempt);
		model->attempt = g_strdup(standin_text(order, "attempt"));
		standin_answer(answer, 202, json_object());
		return;
	}
	if (standin_fault("leaving") != 0) {
		standin_answer(answer, 503,
			       json_pack("{s:s}", "error", "leaving"));
		return;
	}
	if (memory_used_mib + standin_int(order, "memory_mib") >
	    memory_total_mib) {
		standin_answer(answer, 507,
			       json_pack("{s:s}", "error", "memory"));
		return;
	}
	add_model(order);
	standin_answer(answer, 202, json_object());
}

static void unload(const json_t *order, standin_answer_t *answer)
{
	model_t *model =
		g_hash_table_lookup(models, standin_text(order, "model"));

	if (!check_fence(order, answer))
		return;
	if (model != NULL && strcmp(model->state, "unloading") != 0) {
		model->state = "unloading";
		model->serial = ++next_serial;
		start_job(unload_main, model);
	}
	standin_answer(answer, 202, json_object());
}

static void count_answers(int64_t *running, int64_t *waiting)
{
	*running = 0;
	*waiting = 0;
	for (guint i = 0; i < answers->len; i++) {
		const answer_t *a = g_ptr_array_index(answers, i);

		if (a->is_running)
			(*running)++;
		else
			(*waiting)++;
	}
}

static json_t *model_json(const model_t *model)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:I}", "model", model->name,
			 "version", model->version, "state", model->state,
			 "attempt", model->attempt, "memory_mib",
			 (json_int_t)model->memory_mib);
}

static void status(standin_answer_t *answer)
{
	json_t *list = json_array();
	GHashTableIter it;
	gpointer model;

	/* Report a load that is up to report_lag_ms old. */
	if (standin_now_us() - reported_us >=
	    standin_fault("report_lag_ms") * 1000) {
		reported_us = standin_now_us();
		count_answers(&reported_running, &reported_waiting);
	}
	g_hash_table_iter_init(&it, models);
	while (g_hash_table_iter_next(&it, NULL, &model))
		json_array_append_new(list, model_json(model));
	standin_answer(
		answer, 200,
		json_pack("{s:s, s:I, s:s, s:I, s:I, s:o, s:I, s:I}", "name",
			  name, "incarnation",
			  (json_int_t)standin_fault("incarnation"), "state",
			  standin_fault("leaving") != 0 ? "leaving" : "live",
			  "memory_total_mib", (json_int_t)memory_total_mib,
			  "memory_used_mib", (json_int_t)memory_used_mib,
			  "models", list, "running",
			  (json_int_t)reported_running, "waiting",
			  (json_int_t)reported_waiting));
}

static void add_event(const answer_t *a)
{
	int64_t gap = standin_fault("cache_gap");

	cache_event_count++;
	if (gap > 0 && cache_event_count % gap == 0)
		return;
	json_array_append_new(cache_events,
			      json_pack("{s:I, s:s, s:s, s:I}", "seq",
					(json_int_t)cache_event_count, "model",
					a->model, "prefix", a->prompt, "at_us",
					(json_int_t)standin_now_us()));
}

static void get_events(const standin_request_t *request,
		       standin_answer_t *answer)
{
	const char *since = standin_query(request, "since");
	int64_t visible_us =
		standin_now_us() - standin_fault("cache_lag_ms") * 1000;
	json_t *list = json_array();
	json_t *event;
	size_t i;

	json_array_foreach(cache_events, i, event)
	{
		if (standin_int(event, "at_us") <= visible_us &&
		    standin_int(event, "seq") >
			    (since != NULL ? atoll(since) : 0))
			json_array_append(list, event);
	}
	standin_answer(answer, 200, json_pack("{s:o}", "events", list));
}

/* Returns true if a waiting completion may start: a slot is free and none of a
 * lower priority value waits. */
static bool may_start(const answer_t *a)
{
	int64_t running;
	int64_t waiting;
	int64_t max = standin_fault("max_running");

	count_answers(&running, &waiting);
	if (max > 0 && running >= max)
		return false;
	for (guint i = 0; i < answers->len; i++) {
		const answer_t *other = g_ptr_array_index(answers, i);

		if (!other->is_running && other->priority < a->priority)
			return false;
	}
	return true;
}

static void free_answer(void *ctx)
{
	answer_t *a = ctx;

	standin_lock();
	json_object_set_new(a->record, "ended_us",
			    json_integer(standin_now_us()));
	json_object_set_new(a->record, "tokens", json_integer(a->generated));
	json_object_set_new(a->record, "whole", json_boolean(a->is_complete));
	json_object_set_new(a->record, "cancelled", json_boolean(a->cancelled));
	g_ptr_array_remove_fast(answers, a);
	standin_wake();
	standin_unlock();
	g_free(a->id);
	g_free(a->model);
	g_free(a->prompt);
	g_string_free(a->pending, TRUE);
	g_free(a);
}

/* Returns token n of an answer: word n of the prompt, starting again after the
 * last word. */
static char *token(const answer_t *a, int64_t n)
{
	char **words = g_strsplit(a->prompt, " ", -1);
	guint count = g_strv_length(words);
	char *text =
		g_strdup_printf("%s%s", n > 0 ? " " : "",
				count > 0 ? words[(guint)n % count] : "empty");

	g_strfreev(words);
	return text;
}

static void append_chunk(answer_t *a, const char *text, const char *finish)
{
	json_t *chunk = json_pack(
		"{s:s, s:s, s:s, s:[{s:i, s:{s:s}, s:s?}]}", "id", a->id,
		"object", "chat.completion.chunk", "model", a->model, "choices",
		"index", 0, "delta", "content", text, "finish_reason", finish);
	char *line = json_dumps(chunk, JSON_COMPACT);

	g_string_append_printf(a->pending, "data: %s\n\n", line);
	free(line);
	json_decref(chunk);
}

/* Generates the next token, or the end of the stream. */
static void generate_token(answer_t *a)
{
	g_autofree char *text = NULL;

	standin_sleep(standin_fault("token_ms"));
	if (a->generated == a->tokens) {
		append_chunk(a, "", "stop");
		g_string_append(a->pending, "data: [DONE]\n\n");
		a->is_complete = true;
		return;
	}
	text = token(a, a->generated++);
	append_chunk(a, text, NULL);
	if (a->generated == 2 && standin_consume_fault("cut_streams"))
		a->is_cut = true;
}

static ssize_t read_stream(void *ctx, uint64_t position, char *out, size_t max)
{
	answer_t *a = ctx;
	ssize_t n;

	(void)position;
	standin_lock();
	if (a->offset == a->pending->len) {
		g_string_truncate(a->pending, 0);
		a->offset = 0;
		if (!a->is_complete && !a->is_cut && !a->cancelled)
			generate_token(a);
	}
	while (standin_fault("freeze") != 0)
		standin_wait(1000);
	n = (ssize_t)MIN(max, a->pending->len - a->offset);
	memcpy(out, a->pending->str + a->offset, (size_t)n);
	a->offset += (size_t)n;
	standin_unlock();
	if (n > 0)
		return n;
	return a->is_complete ? MHD_CONTENT_READER_END_OF_STREAM
			      : MHD_CONTENT_READER_END_WITH_ERROR;
}

/* Returns the last message of a chat, or the prompt of a completion. */
static const char *prompt_of(const json_t *body)
{
	const json_t *messages = json_object_get(body, "messages");
	size_t n = json_array_size(messages);

	if (n == 0)
		return standin_text(body, "prompt");
	return standin_text(json_array_get(messages, n - 1), "content");
}

static answer_t *add_answer(const standin_request_t *request)
{
	const char *id = standin_header(request, "X-Request-Id");
	const char *priority = standin_header(request, "X-Priority");
	int64_t max_tokens = standin_int(request->body, "max_tokens");
	answer_t *a = g_new0(answer_t, 1);

	a->id = g_strdup(id != NULL ? id : "");
	a->model = g_strdup(standin_text(request->body, "model"));
	a->prompt = g_strdup(prompt_of(request->body));
	a->tokens = max_tokens > 0 ? max_tokens : 8;
	a->priority = priority != NULL ? atoll(priority) : 5;
	a->stream = json_is_true(json_object_get(request->body, "stream"));
	a->pending = g_string_new(NULL);
	a->record = json_pack("{s:s, s:s, s:s, s:I}", "id", a->id, "model",
			      a->model, "content", a->prompt, "began_us",
			      (json_int_t)standin_now_us());
	json_array_append_new(requests, a->record);
	g_ptr_array_add(answers, a);
	return a;
}

static void set_request_id(answer_t *a, standin_answer_t *answer)
{
	answer->header = "X-Request-Id";
	g_strlcpy(answer->value,
		  standin_consume_fault("cross_answers") ? "another-request"
							 : a->id,
		  sizeof(answer->value));
}

static void answer_unstreamed(answer_t *a, standin_answer_t *answer)
{
	g_autoptr(GString) text = g_string_new(NULL);

	while (a->generated < a->tokens && !a->cancelled) {
		g_autofree char *part = token(a, a->generated++);

		standin_sleep(standin_fault("token_ms"));
		g_string_append(text, part);
	}
	a->is_complete = !a->cancelled;
	answer->drop = a->cancelled || standin_consume_fault("cut_streams");
	standin_answer(
		answer, 200,
		json_pack("{s:s, s:s, s:s, s:[{s:i, s:{s:s, s:s}, s:s}]}", "id",
			  a->id, "object", "chat.completion", "model", a->model,
			  "choices", "index", 0, "message", "role", "assistant",
			  "content", text->str, "finish_reason", "stop"));
	standin_unlock();
	free_answer(a);
	standin_lock();
}

static void complete(const standin_request_t *request, standin_answer_t *answer)
{
	const model_t *model = g_hash_table_lookup(
		models, standin_text(request->body, "model"));
	answer_t *a;

	if (model == NULL || strcmp(model->state, "ready") != 0) {
		standin_answer(answer, 404,
			       json_pack("{s:s}", "error", "not-loaded"));
		answer->header = "X-Request-Id";
		g_strlcpy(answer->value,
			  standin_header(request, "X-Request-Id") != NULL
				  ? standin_header(request, "X-Request-Id")
				  : "",
			  sizeof(answer->value));
		return;
	}
	a = add_answer(request);
	while (!may_start(a) && !a->cancelled)
		standin_wait(1000);
	a->is_running = true;
	add_event(a);
	set_request_id(a, answer);
	if (!a->stream) {
		answer_unstreamed(a, answer);
		return;
	}
	answer->status = 200;
	answer->response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, 4096, read_stream, a, free_answer);
	MHD_add_response_header(answer->response, "Content-Type",
				"text/event-stream");
}

static void cancel(const char *id, standin_answer_t *answer)
{
	answer->status = 404;
	for (guint i = 0; i < answers->len; i++) {
		answer_t *a = g_ptr_array_index(answers, i);

		if (strcmp(a->id, id) == 0) {
			a->cancelled = true;
			answer->status = 202;
		}
	}
	standin_wake();
}

static void handle(const standin_request_t *request, standin_answer_t *answer)
{
	const char *path = request->path;

	if (g_str_has_prefix(path, "/v1/models/")) {
		json_array_append_new(
			orders, json_pack("{s:s, s:O?, s:I}", "path", path,
					  "order", request->body, "at_us",
					  (json_int_t)standin_now_us()));
		if (strcmp(path, "/v1/models/load") == 0)
			load(request->body, answer);
		else if (strcmp(path, "/v1/models/unload") == 0)
			unload(request->body, answer);
	} else if (strcmp(path, "/v1/status") == 0) {
		status(answer);
	} else if (strcmp(path, "/v1/cache/events") == 0) {
		get_events(request, answer);
	} else if (strcmp(path, "/v1/chat/completions") == 0 ||
		   strcmp(path, "/v1/completions") == 0) {
		complete(request, answer);
	} else if (g_str_has_prefix(path, "/v1/requests/")) {
		cancel(path + strlen("/v1/requests/"), answer);
	}
}

static void control(const char *member, const json_t *value)
{
	(void)value;
	if (strcmp(member, "forget") != 0)
		return;
	g_hash_table_remove_all(models);
	g_hash_table_remove_all(fences);
	standin_set_fault("incarnation", standin_fault("incarnation") + 1);
}

static json_t *records(void)
{
	return json_pack("{s:s, s:O, s:O, s:O, s:I, s:I, s:I}", "name", name,
			 "loads", loads, "requests", requests, "orders", orders,
			 "memory_used_mib", (json_int_t)memory_used_mib,
			 "most_memory_mib", (json_int_t)memory_peak_mib,
			 "memory_total_mib", (json_int_t)memory_total_mib);
}

int main(int argc, char **argv)
{
	static const standin_t engine = { "standin_engine", handle, control,
					  records };

	if (argc < 5) {
		fprintf(stderr, "usage: standin_engine name port memory_mib "
				"weights_address [fencing]\n");
		return 1;
	}
	name = argv[1];
	memory_total_mib = atoll(argv[3]);
	weights_address = argv[4];
	is_fencing = argc > 5 && strcmp(argv[5], "fencing") == 0;
	curl_global_init(CURL_GLOBAL_ALL);
	models = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				       free_model);
	fences = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	on_disk = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	answers = g_ptr_array_new();
	cache_events = json_array();
	loads = json_array();
	requests = json_array();
	orders = json_array();
	standin_set_fault("incarnation", g_get_real_time());
	standin_set_fault("report_lag_ms", 200);
	return standin_run(&engine, atoi(argv[2]));
}
