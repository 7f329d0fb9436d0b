/*
 * Command timeline: merges the events of all processes and of the store in the
 * order of the hybrid logical clock.
 */
#include "bshctl.h"

#include <err.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json_text.h"

#define HTTP_OK 200

typedef struct {
	json_t *json;
	int64_t hlc_us;
	int64_t hlc_logical;
	const char *process;
	int64_t incarnation;
	int64_t sequence;
} event_t;

typedef struct {
	GPtrArray *events; /* event_t */
	uint32_t malformed;
	uint32_t unread_sources;   /* sources that could not be read */
	uint64_t missing_events;   /* missing between two that were read */
	GHashTable *read_directly; /* set of process keys */
	GPtrArray *instances;	   /* names; their controllers were read */
	uint32_t missing_routers;  /* instances without a router event */
	uint32_t missing_starts;   /* processes without their first events */
} merged_t;

static void free_event(gpointer data)
{
	event_t *event = data;

	json_decref(event->json);
	g_free(event);
}

static bool get_integer(const json_t *json, const char *key, int64_t *out)
{
	const json_t *value = json_object_get(json, key);

	*out = json_integer_value(value);
	return json_is_integer(value);
}

static void add_event(merged_t *merged, json_t *json)
{
	event_t event = { .json = json };

	event.process = ctl_json_string(json, "process", NULL);
	if (event.process == NULL ||
	    ctl_json_string(json, "event", NULL) == NULL ||
	    !get_integer(json, "hlc_us", &event.hlc_us) ||
	    !get_integer(json, "hlc_logical", &event.hlc_logical) ||
	    !get_integer(json, "incarnation", &event.incarnation) ||
	    !get_integer(json, "sequence", &event.sequence) ||
	    event.hlc_us < 0 || event.sequence < 1) {
		merged->malformed++;
		return;
	}
	json_incref(json);
	g_ptr_array_add(merged->events, g_memdup2(&event, sizeof(event)));
}

static void add_lines(merged_t *merged, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);

	for (int i = 0; lines[i] != NULL; i++) {
		json_t *json;

		if (lines[i][0] == '\0')
			continue;
		json = json_loads(lines[i], JSON_REJECT_DUPLICATES, NULL);
		add_event(merged, json);
		json_decref(json);
	}
	g_strfreev(lines);
}

/* A flushed batch is an array of events, an object with such an array, or text
 * with one event a line. */
static void add_batch(merged_t *merged, json_t *value)
{
	size_t index;
	json_t *event;

	if (json_is_object(value))
		value = json_object_get(value, "events");
	if (json_is_string(value)) {
		add_lines(merged, json_string_value(value));
		return;
	}
	if (!json_is_array(value))
		merged->malformed++;
	json_array_foreach(value, index, event)
	{
		if (json_is_string(event))
			add_lines(merged, json_string_value(event));
		else
			add_event(merged, event);
	}
}

static int compare_events(gconstpointer a, gconstpointer b)
{
	const event_t *x = *(const event_t *const *)a;
	const event_t *y = *(const event_t *const *)b;
	int order;

	if (x->hlc_us != y->hlc_us)
		return x->hlc_us < y->hlc_us ? -1 : 1;
	if (x->hlc_logical != y->hlc_logical)
		return x->hlc_logical < y->hlc_logical ? -1 : 1;
	order = strcmp(x->process, y->process);
	if (order != 0)
		return order;
	if (x->incarnation != y->incarnation)
		return x->incarnation < y->incarnation ? -1 : 1;
	if (x->sequence != y->sequence)
		return x->sequence < y->sequence ? -1 : 1;
	return 0;
}

static GHashTable *new_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Hash key of one incarnation of a process; to be freed. */
static char *process_key(const event_t *event)
{
	return g_strdup_printf("%s %" G_GINT64_FORMAT, event->process,
			       (gint64)event->incarnation);
}

static bool is_router(const event_t *event)
{
	return g_str_has_suffix(event->process, "/bshrouterd");
}

/* Sorts the events, removes those that were read from two sources, and counts
 * the gaps in the sequence of each process. */
static void sort_events(merged_t *merged)
{
	GHashTable *last =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GPtrArray *events = merged->events;
	guint kept = 0;

	g_ptr_array_sort(events, compare_events);
	g_ptr_array_set_free_func(events, NULL);
	for (guint i = 0; i < events->len; i++) {
		event_t *event = g_ptr_array_index(events, i);
		char *process =
			g_strdup_printf("%s %" G_GINT64_FORMAT, event->process,
					(gint64)event->incarnation);
		int64_t before = (int64_t)GPOINTER_TO_SIZE(
			g_hash_table_lookup(last, process));

		if (before != 0 && event->sequence <= before) {
			free_event(event);
			g_free(process);
			continue;
		}
		if (before == 0 && event->sequence > 1)
			merged->missing_starts++;
		if (before != 0)
			merged->missing_events +=
				(uint64_t)(event->sequence - before - 1);
		g_hash_table_replace(last, process,
				     GSIZE_TO_POINTER((gsize)event->sequence));
		events->pdata[kept++] = event;
	}
	g_ptr_array_set_size(events, (gint)kept);
	g_ptr_array_set_free_func(events, free_event);
	g_hash_table_destroy(last);
}

static void read_event_file(merged_t *merged, const char *path)
{
	g_autofree char *text = NULL;
	GError *error = NULL;

	if (g_file_get_contents(path, &text, NULL, &error)) {
		add_lines(merged, text);
		return;
	}
	warnx("%s", error->message);
	g_clear_error(&error);
	merged->unread_sources++;
}

/* Sends one request to one address; false, with a message, when it fails. */
static bool get_from(const ctl_t *ctl, merged_t *merged, const char *address,
		     const char *path, bsh_control_answer_t *answer)
{
	bsh_control_client_t client;
	bool done = false;

	if (bsh_control_client_init(&client, address,
				    ctl->options.timeout_ms) != BSH_OK) {
		warnx("%s", client.failure);
		merged->unread_sources++;
		return false;
	}
	if (bsh_control_request(&client, "GET", path, NULL, -1, answer) !=
	    BSH_OK) {
		warnx("cannot read events: %s", client.failure);
	} else if (answer->status != HTTP_OK) {
		ctl_unexpected(answer, path);
		bsh_control_answer_finish(answer);
	} else {
		done = true;
	}
	bsh_control_client_finish(&client);
	if (!done)
		merged->unread_sources++;
	return done;
}

static bool read_process(const ctl_t *ctl, merged_t *merged,
			 const char *address)
{
	bsh_control_answer_t answer;

	if (!get_from(ctl, merged, address, "/timeline", &answer))
		return false;
	add_lines(merged, answer.body->str);
	bsh_control_answer_finish(&answer);
	return true;
}

/* Reads the events of a router or console from the process itself, which has
 * all events up to now.  Events of a router that are read from its controller
 * can lack the last ones. */
static void read_process_directly(const ctl_t *ctl, merged_t *merged,
				  const char *address)
{
	guint before = merged->events->len;
	bool is_controller = false;

	if (!read_process(ctl, merged, address))
		return;
	for (guint i = before; i < merged->events->len; i++) {
		const event_t *event = g_ptr_array_index(merged->events, i);

		is_controller =
			is_controller ||
			g_str_has_suffix(event->process, "/bshcontrold");
	}
	for (guint i = before; i < merged->events->len && !is_controller; i++)
		g_hash_table_add(
			merged->read_directly,
			process_key(g_ptr_array_index(merged->events, i)));
}

static void read_store(const ctl_t *ctl, merged_t *merged)
{
	bsh_control_answer_t answer;
	size_t index;
	json_t *item;

	if (!get_from(ctl, merged, ctl->options.store, "/v1/objects/timeline",
		      &answer))
		return;
	if (!json_is_array(json_object_get(answer.json, "items")))
		merged->malformed++;
	json_array_foreach(json_object_get(answer.json, "items"), index, item)
	{
		add_batch(merged, json_object_get(item, "value"));
	}
	bsh_control_answer_finish(&answer);
}

static ctl_status_t read_instances(ctl_t *ctl, merged_t *merged)
{
	bsh_control_answer_t answer;
	size_t index;
	json_t *member;
	ctl_status_t status = ctl_connect(ctl);

	if (status == CTL_OK)
		status = ctl_get_json(ctl, "/v1/status", &answer);
	if (status != CTL_OK)
		return status;
	json_array_foreach(json_object_get(answer.json, "members"), index,
			   member)
	{
		const char *control = ctl_json_string(member, "control", "");

		if (!ctl_is_present(member))
			continue;
		if (control[0] == '\0') {
			warnx("%s: the status lists no control address",
			      ctl_json_string(member, "name", "?"));
			merged->unread_sources++;
			continue;
		}
		if (read_process(ctl, merged, control))
			g_ptr_array_add(
				merged->instances,
				g_strdup(ctl_json_string(member, "name", "")));
	}
	if (json_array_size(json_object_get(answer.json, "members")) == 0)
		read_process(ctl, merged, answer.address);
	bsh_control_answer_finish(&answer);
	return CTL_OK;
}

static bool text_matches(const json_t *details, const char *key,
			 const char *wanted)
{
	return wanted == NULL ||
	       strcmp(ctl_json_string(details, key, ""), wanted) == 0;
}

/* A request is identified by the X-Request-Id of its response, or by the number
 * that its router assigned. */
static bool request_matches(const json_t *details, const char *wanted)
{
	const json_t *number = json_object_get(details, "request");
	g_autofree char *text = NULL;

	if (wanted == NULL || text_matches(details, "attempt", wanted) ||
	    text_matches(details, "request", wanted))
		return true;
	if (!json_is_integer(number))
		return false;
	text = g_strdup_printf("%" JSON_INTEGER_FORMAT,
			       json_integer_value(number));
	return strcmp(text, wanted) == 0;
}

static bool matches(const ctl_options_t *o, const event_t *event)
{
	const json_t *details = json_object_get(event->json, "details");
	const json_t *generation = json_object_get(details, "generation");

	if (!request_matches(details, o->request) ||
	    !text_matches(details, "key", o->key))
		return false;
	/* Events of routers carry a model or service as "name", events of
	 * controllers a model as "model". */
	if (!text_matches(details, "model", o->model) &&
	    !text_matches(details, "name", o->model))
		return false;
	if (o->generation >= 0 &&
	    (!json_is_integer(generation) ||
	     json_integer_value(generation) != o->generation))
		return false;
	if (o->since_us > 0 && event->hlc_us < o->since_us)
		return false;
	return o->until_us <= 0 || event->hlc_us < o->until_us;
}

/* Hash key of the request of an event; NULL when the event concerns none.  A
 * request number is unique only within one incarnation of a router. */
static char *request_key(const event_t *event)
{
	const json_t *details = json_object_get(event->json, "details");
	const json_t *number = json_object_get(details, "request");
	const char *text = ctl_json_string(details, "request", NULL);

	if (text == NULL)
		text = ctl_json_string(details, "attempt", NULL);
	if (text != NULL && text[0] == '\0')
		text = NULL;
	if (json_is_integer(number))
		return g_strdup_printf(
			"%s %" G_GINT64_FORMAT " %" JSON_INTEGER_FORMAT,
			event->process, (gint64)event->incarnation,
			json_integer_value(number));
	return g_strdup(text);
}

/* Adds the request key and the attempt id of an event to set. */
static void add_request_keys(GHashTable *set, const event_t *event)
{
	const json_t *details = json_object_get(event->json, "details");
	const char *attempt = ctl_json_string(details, "attempt", "");
	char *request = request_key(event);

	if (request != NULL)
		g_hash_table_add(set, request);
	/* A request that was never sent has no attempt id. */
	if (attempt[0] != '\0')
		g_hash_table_add(set, g_strdup(attempt));
}

static bool is_related(GHashTable *set, const event_t *event)
{
	const json_t *details = json_object_get(event->json, "details");
	const char *attempt = ctl_json_string(details, "attempt", NULL);
	g_autofree char *request = request_key(event);

	return (request != NULL && g_hash_table_contains(set, request)) ||
	       (attempt != NULL && g_hash_table_contains(set, attempt));
}

/*
 * Selects the events that match, and the other events of the same requests.
 * The event with the idempotency key has no attempt id, and the event with the
 * target has no key: two passes lead from the key through the request number to
 * the attempt ids.
 */
static GPtrArray *select_events(const ctl_options_t *o, const merged_t *merged)
{
	GHashTable *related = new_set();
	GPtrArray *selected = g_ptr_array_new();
	bool by_request = o->request != NULL || o->key != NULL;

	for (int round = 0; by_request && round < 2; round++) {
		for (guint i = 0; i < merged->events->len; i++) {
			event_t *event = g_ptr_array_index(merged->events, i);

			if (matches(o, event) || is_related(related, event))
				add_request_keys(related, event);
		}
	}
	for (guint i = 0; i < merged->events->len; i++) {
		event_t *event = g_ptr_array_index(merged->events, i);

		if (matches(o, event) || is_related(related, event))
			g_ptr_array_add(selected, event);
	}
	g_hash_table_destroy(related);
	return selected;
}

static void print_time(int64_t us)
{
	g_autoptr(GDateTime) time =
		g_date_time_new_from_unix_utc(us / G_USEC_PER_SEC);
	g_autofree char *text = NULL;

	if (time != NULL)
		text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S");
	printf("%s.%06dZ\t", text != NULL ? text : "-",
	       (int)(us % G_USEC_PER_SEC));
}

static void print_events(const ctl_options_t *o, const GPtrArray *events)
{
	if (!o->json && !o->no_header)
		puts("TIME\tLOGICAL\tPROCESS\tEVENT\tDETAILS");
	for (guint i = 0; i < events->len; i++) {
		const event_t *event = g_ptr_array_index(events, i);
		json_t *details = json_object_get(event->json, "details");
		char *text;

		if (o->json) {
			text = bsh_json_text(event->json, JSON_COMPACT);
			puts(text != NULL ? text : "{}");
			free(text);
			continue;
		}
		print_time(event->hlc_us);
		printf("%" G_GINT64_FORMAT "\t", (gint64)event->hlc_logical);
		ctl_print_field(event->process, false);
		ctl_print_field(ctl_json_string(event->json, "event", "-"),
				false);
		text = bsh_json_text(details, JSON_COMPACT | JSON_ENCODE_ANY);
		ctl_print_field(text != NULL ? text : "{}", true);
		free(text);
	}
}

typedef struct {
	GHashTable *answered; /* keys of requests with this outcome */
	GHashTable *unknown;
	GHashTable *not_run;
	GHashTable *dispatched; /* keys of requests sent to a target */
	GHashTable *targets;
	GHashTable *processes;
	GHashTable *generations;
	uint32_t sends;	 /* to targets, of all requests */
	bool in_journal; /* the journal holds the answer */
} verdict_t;

static void verdict_add_event(verdict_t *v, const event_t *event)
{
	const json_t *details = json_object_get(event->json, "details");
	const json_t *generation = json_object_get(details, "generation");
	const char *outcome = ctl_json_string(details, "outcome", "");
	const char *target = ctl_json_string(details, "target", "");
	char *request = request_key(event);
	GHashTable *set = NULL;

	g_hash_table_add(v->processes, g_strdup(event->process));
	if (json_is_integer(generation))
		g_hash_table_add(
			v->generations,
			g_strdup_printf("%" JSON_INTEGER_FORMAT,
					json_integer_value(generation)));
	if (strcmp(outcome, "answered") == 0)
		set = v->answered;
	else if (strcmp(outcome, "unknown") == 0)
		set = v->unknown;
	else if (strcmp(outcome, "not-run") == 0)
		set = v->not_run;
	else if (target[0] != '\0')
		set = v->dispatched;
	if (target[0] != '\0') {
		g_hash_table_add(v->targets, g_strdup(target));
		v->sends++;
	}
	if (request == NULL)
		v->in_journal = v->in_journal || set == v->answered;
	if (request != NULL && set != NULL)
		g_hash_table_add(set, request);
	else
		g_free(request);
}

/* Adds the newest generation that the process of the event first had adopted
 * before it. */
static void verdict_add_adopted(verdict_t *v, const merged_t *merged,
				const event_t *first)
{
	const json_t *found = NULL;

	for (guint i = 0; i < merged->events->len; i++) {
		const event_t *event = g_ptr_array_index(merged->events, i);
		const json_t *generation = json_object_get(
			json_object_get(event->json, "details"), "generation");

		if (event == first)
			break;
		if (strcmp(event->process, first->process) == 0 &&
		    event->incarnation == first->incarnation &&
		    json_is_integer(generation))
			found = generation;
	}
	if (found != NULL)
		g_hash_table_add(v->generations,
				 g_strdup_printf("%" JSON_INTEGER_FORMAT,
						 json_integer_value(found)));
}

/* Counts requests that were sent to a target and have no outcome event. */
static uint32_t count_unresolved(const verdict_t *v)
{
	GHashTableIter iter;
	gpointer attempt;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, v->dispatched);
	while (g_hash_table_iter_next(&iter, &attempt, NULL)) {
		if (!g_hash_table_contains(v->answered, attempt) &&
		    !g_hash_table_contains(v->unknown, attempt) &&
		    !g_hash_table_contains(v->not_run, attempt))
			count++;
	}
	return count;
}

/*
 * Lists routers whose last events may be missing: they were not read directly,
 * and their last event is not that of a graceful shutdown.
 */
static char *list_open_ended(const merged_t *merged)
{
	GHashTable *seen = new_set();
	GString *text = g_string_new(NULL);

	for (guint i = merged->events->len; i-- > 0;) {
		const event_t *event = g_ptr_array_index(merged->events, i);
		char *process;

		if (!is_router(event))
			continue;
		process = process_key(event);
		if (!g_hash_table_contains(seen, process) &&
		    !g_hash_table_contains(merged->read_directly, process) &&
		    strcmp(ctl_json_string(event->json, "event", ""),
			   "drain-end") != 0)
			g_string_append_printf(text, "%s%s@%" G_GINT64_FORMAT,
					       text->len > 0 ? " " : "",
					       event->process,
					       (gint64)event->hlc_us);
		g_hash_table_add(seen, process);
	}
	g_hash_table_destroy(seen);
	return g_string_free(text, FALSE);
}

static const char *verdict_name(const verdict_t *v, uint32_t unknown,
				bool complete)
{
	if (g_hash_table_size(v->answered) > 0 || v->in_journal)
		return "answered";
	if (unknown > 0)
		return "unknown";
	if (g_hash_table_size(v->not_run) > 0)
		return "not-run";
	/* Absence is proven only by a complete time line. */
	return complete ? "no-record" : "not-known";
}

static char *join_set(GHashTable *set)
{
	GList *keys = g_list_sort(g_hash_table_get_keys(set),
				  (GCompareFunc)(void (*)(void))strcmp);
	GString *text = g_string_new(NULL);

	for (const GList *k = keys; k != NULL; k = k->next)
		g_string_append_printf(text, "%s%s", text->len > 0 ? " " : "",
				       (const char *)k->data);
	g_list_free(keys);
	return g_string_free(text, FALSE);
}

static void print_verdict(const ctl_options_t *o, const verdict_t *v,
			  bool complete, const char *open_ended)
{
	uint32_t unknown = g_hash_table_size(v->unknown) + count_unresolved(v);
	g_autofree char *targets = join_set(v->targets);
	g_autofree char *processes = join_set(v->processes);
	g_autofree char *generations = join_set(v->generations);
	const char *subject = o->request != NULL ? o->request : o->key;
	json_t *json = bsh_json_pack(
		"{s:s, s:s, s:i, s:i, s:i, s:i, s:s, s:s, s:s, s:s, s:b}",
		"subject", subject, "verdict",
		verdict_name(v, unknown, complete), "answered",
		(int)g_hash_table_size(v->answered), "unknown", (int)unknown,
		"not-run", (int)g_hash_table_size(v->not_run), "sent",
		(int)v->sends, "targets", targets, "processes", processes,
		"generations", generations, "open-ended", open_ended,
		"complete", complete);
	const char *key;
	json_t *value;

	if (o->json) {
		ctl_print_json(json);
		return;
	}
	json_object_foreach(json, key, value)
	{
		printf("%s\t", key);
		if (json_is_string(value))
			ctl_print_field(json_string_value(value), true);
		else if (json_is_integer(value))
			printf("%" JSON_INTEGER_FORMAT "\n",
			       json_integer_value(value));
		else
			puts(json_is_true(value) ? "yes" : "no");
	}
	json_decref(json);
}

static void report_verdict(const ctl_options_t *o, const merged_t *merged,
			   const GPtrArray *events)
{
	verdict_t v = { .answered = new_set(),
			.unknown = new_set(),
			.not_run = new_set(),
			.dispatched = new_set(),
			.targets = new_set(),
			.processes = new_set(),
			.generations = new_set() };
	g_autofree char *open_ended = list_open_ended(merged);
	bool complete = open_ended[0] == '\0' && merged->missing_events == 0 &&
			merged->missing_starts == 0 &&
			merged->unread_sources == 0 &&
			merged->missing_routers == 0 && merged->malformed == 0;

	for (guint i = 0; i < events->len; i++)
		verdict_add_event(&v, g_ptr_array_index(events, i));
	if (events->len > 0 && g_hash_table_size(v.generations) == 0)
		verdict_add_adopted(&v, merged, g_ptr_array_index(events, 0));
	print_verdict(o, &v, complete, open_ended);
	g_hash_table_destroy(v.answered);
	g_hash_table_destroy(v.unknown);
	g_hash_table_destroy(v.not_run);
	g_hash_table_destroy(v.dispatched);
	g_hash_table_destroy(v.targets);
	g_hash_table_destroy(v.processes);
	g_hash_table_destroy(v.generations);
}

/* Counts instances without any event of their router.  A controller holds the
 * events of its router until they are in the store, and a running router has at
 * least its start event. */
static void count_missing_routers(merged_t *merged)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < merged->events->len; i++) {
		const event_t *event = g_ptr_array_index(merged->events, i);

		g_hash_table_add(seen, (gpointer)event->process);
	}
	for (guint i = 0; i < merged->instances->len; i++) {
		g_autofree char *process = g_strdup_printf(
			"%s/bshrouterd",
			(const char *)g_ptr_array_index(merged->instances, i));

		if (!g_hash_table_contains(seen, process))
			merged->missing_routers++;
	}
	g_hash_table_destroy(seen);
}

static ctl_status_t report_gaps(const merged_t *merged, guint found)
{
	if (merged->unread_sources > 0)
		warnx("%u source%s could not be read", merged->unread_sources,
		      merged->unread_sources == 1 ? "" : "s");
	if (merged->missing_events > 0)
		warnx("%" G_GUINT64_FORMAT
		      " events are missing between those that were read",
		      (guint64)merged->missing_events);
	if (merged->missing_routers > 0)
		warnx("no event of the routers of %u instances was read: add "
		      "--store, or their admin addresses with --process",
		      merged->missing_routers);
	if (merged->missing_starts > 0)
		warnx("the first events of %u processes were not read",
		      merged->missing_starts);
	if (merged->malformed > 0)
		warnx("%u malformed events were skipped", merged->malformed);
	if (merged->malformed > 0)
		return CTL_REFUSED;
	if (merged->unread_sources > 0 || merged->missing_routers > 0 ||
	    merged->missing_events > 0)
		return CTL_UNREACHABLE;
	return found > 0 ? CTL_OK : CTL_DIFFERS;
}

int ctl_timeline(ctl_t *ctl)
{
	const ctl_options_t *o = &ctl->options;
	merged_t merged = { 0 };
	GPtrArray *selected;
	ctl_status_t status = CTL_OK;

	if (o->verdict && o->request == NULL && o->key == NULL) {
		warnx("--verdict needs --request or --key");
		return CTL_USAGE;
	}
	merged.events = g_ptr_array_new_with_free_func(free_event);
	merged.read_directly = new_set();
	merged.instances = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; o->files != NULL && o->files[i] != NULL; i++)
		read_event_file(&merged, o->files[i]);
	if (o->store != NULL)
		read_store(ctl, &merged);
	for (int i = 0; o->processes != NULL && o->processes[i] != NULL; i++)
		read_process_directly(ctl, &merged, o->processes[i]);
	/* A saved time line can be read without a controller. */
	if (o->servers != NULL ||
	    (o->files == NULL && o->store == NULL && o->processes == NULL))
		status = read_instances(ctl, &merged);
	if (status != CTL_OK)
		goto out;
	count_missing_routers(&merged);
	sort_events(&merged);
	selected = select_events(o, &merged);
	if (o->verdict)
		report_verdict(o, &merged, selected);
	else
		print_events(o, selected);
	status = report_gaps(&merged, selected->len);
	g_ptr_array_free(selected, TRUE);
out:
	g_ptr_array_free(merged.events, TRUE);
	g_ptr_array_free(merged.instances, TRUE);
	g_hash_table_destroy(merged.read_directly);
	return status;
}
