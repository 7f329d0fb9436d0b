#include "operator/log_story.h"

#include <string.h>

/* Orders that may explain where a model was: a load from the weight store takes
 * up to half a minute while others run. */
#define ORDERS_BEFORE_US INT64_C(30000000)
#define ORDERS_AFTER_US	 INT64_C(15000000)
/* A lease changes hands within this time of a holder's end. */
#define LEASE_BEFORE_US INT64_C(10000000)
/* What other requests met at the same target. */
#define NEAR_US INT64_C(1000000)
/* A target's trouble is seen in the list within this time. */
#define LIST_LAG_US INT64_C(5000000)
/* An instance writes many lines a second; one that wrote none for this time
 * while others did was frozen or starved. */
#define PAUSE_US INT64_C(1500000)
/* Around a time at which nothing is known of a request. */
#define AROUND_US INT64_C(3000000)

typedef struct {
	const bsh_log_t *log;
	bsh_story_t *story;
	char *model;	     /* without the adapter; NULL: none */
	GHashTable *targets; /* names in the request's own lines */
	GHashTable *chosen;  /* bsh_log_line_t */
} search_t;

static const bsh_log_line_t *line_at(const bsh_log_t *log, guint i)
{
	return g_ptr_array_index(log->lines, i);
}

static int64_t at_us(const bsh_log_line_t *line)
{
	return line->stamp.physical_us;
}

static bool is_event(const bsh_log_line_t *line, const char *event)
{
	return strcmp(line->event, event) == 0;
}

static bool is_of(const bsh_log_line_t *line, const char *instance)
{
	return instance != NULL && strcmp(line->instance, instance) == 0;
}

static bool is_between(const bsh_log_line_t *line, int64_t from_us,
		       int64_t until_us)
{
	return at_us(line) >= from_us && at_us(line) <= until_us;
}

static void add_finding(bsh_story_t *story, const char *code, const char *fmt,
			...) G_GNUC_PRINTF(3, 4);

static void add_finding(bsh_story_t *story, const char *code, const char *fmt,
			...)
{
	bsh_finding_t *finding = g_new0(bsh_finding_t, 1);
	va_list ap;

	va_start(ap, fmt);
	finding->code = g_strdup(code);
	finding->text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(story->findings, finding);
}

static void free_finding(gpointer data)
{
	bsh_finding_t *finding = data;

	g_free(finding->code);
	g_free(finding->text);
	g_free(finding);
}

/* Seconds of a line after the request came, with a sign. */
static double offset_s(const bsh_story_t *story, const bsh_log_line_t *line)
{
	return (double)(at_us(line) - story->begin_us) / 1e6;
}

/* Which lines belong to the story. */

static void choose(search_t *s, const bsh_log_line_t *line)
{
	if (line != NULL)
		g_hash_table_add(s->chosen, (gpointer)line);
}

static void note_names(search_t *s, const bsh_log_line_t *line)
{
	char *target = bsh_log_value(line, "target");
	char *model = bsh_log_value(line, "model");

	if (target != NULL && strcmp(target, "-") != 0)
		g_hash_table_add(s->targets, g_steal_pointer(&target));
	if (model != NULL && strcmp(model, "-") != 0 && s->model == NULL) {
		char *adapter = strchr(model, '/');

		if (adapter != NULL)
			*adapter = '\0';
		s->model = g_steal_pointer(&model);
	}
	g_free(target);
	g_free(model);
}

static void find_own_lines(search_t *s)
{
	bsh_story_t *story = s->story;
	bool found = false;

	for (guint i = 0; i < s->log->lines->len; i++) {
		const bsh_log_line_t *line = line_at(s->log, i);

		if (!bsh_log_value_is(line, "id", story->id))
			continue;
		if (!found)
			story->begin_us = at_us(line);
		found = true;
		story->end_us = at_us(line);
		story->instance = line->instance;
		if (is_event(line, "request"))
			story->end = line;
		choose(s, line);
		note_names(s, line);
	}
	/* The first line can come long after the request did. */
	if (story->end != NULL)
		story->begin_us =
			MIN(story->begin_us,
			    at_us(story->end) -
				    1000 * bsh_log_number(story->end,
							  "total_ms", 0));
}

static bool is_own_state(const bsh_log_line_t *line)
{
	static const char *const events[] = {
		"configuration-adopted",
		"targets-source",
		"order-holder",
		"order-lease",
		"store-lost",
		"store-reached",
		"readiness",
		"drain-begin",
		"start",
		"stop",
		"reload",
		"log-dropped",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
		if (is_event(line, events[i]))
			return true;
	return false;
}

/* The state of the instance when the request came: of each event, and for the
 * store of each kind of object, the last line. */
static void find_state_before(search_t *s)
{
	const bsh_story_t *story = s->story;
	g_autoptr(GHashTable) seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = s->log->lines->len; i-- > 0;) {
		const bsh_log_line_t *line = line_at(s->log, i);
		g_autofree char *kind = NULL;
		char *key;

		if (at_us(line) >= story->begin_us ||
		    !is_of(line, story->instance) || !is_own_state(line))
			continue;
		kind = bsh_log_value(line, "kind");
		/* Lost and reached are one state. */
		key = g_strdup_printf("%s %s",
				      g_str_has_prefix(line->event, "store-")
					      ? "store"
					      : line->event,
				      kind != NULL ? kind : "");
		if (g_hash_table_add(seen, key))
			choose(s, line);
		/* What was before this start does not count. */
		if (is_event(line, "start"))
			break;
	}
}

static bool is_named_target(const search_t *s, const bsh_log_line_t *line)
{
	g_autofree char *target = bsh_log_value(line, "target");

	return target != NULL && g_hash_table_contains(s->targets, target);
}

static bool is_own_model(const search_t *s, const bsh_log_line_t *line)
{
	g_autofree char *model = bsh_log_value(line, "model");
	size_t size;

	if (s->model == NULL || model == NULL)
		return false;
	size = strlen(s->model);
	return strncmp(model, s->model, size) == 0 &&
	       (model[size] == '\0' || model[size] == '/');
}

static bool is_order(const bsh_log_line_t *line)
{
	return is_event(line, "order") || is_event(line, "order-done");
}

static bool belongs(const search_t *s, const bsh_log_line_t *line)
{
	const bsh_story_t *story = s->story;

	if (is_of(line, story->instance) && is_own_state(line) &&
	    is_between(line, story->begin_us, story->end_us))
		return true;
	if (g_str_has_prefix(line->event, "target-"))
		return is_of(line, story->instance) &&
		       is_named_target(s, line) &&
		       is_between(line, story->begin_us,
				  story->end_us + LIST_LAG_US);
	if (is_order(line))
		return (is_own_model(s, line) || is_named_target(s, line)) &&
		       is_between(line, story->begin_us - ORDERS_BEFORE_US,
				  story->end_us + ORDERS_AFTER_US) &&
		       (is_own_model(s, line) ||
			is_between(line, story->begin_us, story->end_us));
	return is_event(line, "order-lease") && s->model != NULL &&
	       is_between(line, story->begin_us - LEASE_BEFORE_US,
			  story->end_us);
}

/* The last line of an event before the request, of any instance. */
static const bsh_log_line_t *last_before(const search_t *s, const char *event,
					 const char *key, const char *value)
{
	const bsh_log_line_t *found = NULL;

	for (guint i = 0; i < s->log->lines->len; i++) {
		const bsh_log_line_t *line = line_at(s->log, i);

		if (at_us(line) >= s->story->begin_us)
			break;
		if (is_event(line, event) && bsh_log_value_is(line, key, value))
			found = line;
	}
	return found;
}

static void find_targets_before(search_t *s)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, s->targets);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		const bsh_log_line_t *last = NULL;

		for (guint i = 0; i < s->log->lines->len; i++) {
			const bsh_log_line_t *line = line_at(s->log, i);

			if (at_us(line) >= s->story->begin_us)
				break;
			if (is_of(line, s->story->instance) &&
			    g_str_has_prefix(line->event, "target-") &&
			    bsh_log_value_is(line, "target", name))
				last = line;
		}
		choose(s, last);
	}
}

static void collect(search_t *s)
{
	if (s->story->instance != NULL) {
		find_state_before(s);
		find_targets_before(s);
	}
	if (s->model != NULL)
		choose(s, last_before(s, "order-lease", "held", "1"));
	for (guint i = 0; i < s->log->lines->len; i++) {
		const bsh_log_line_t *line = line_at(s->log, i);

		if (g_hash_table_contains(s->chosen, line) || belongs(s, line))
			g_ptr_array_add(s->story->lines, (gpointer)line);
	}
}

/* What follows from the lines. */

static void find_drain(const search_t *s)
{
	bsh_story_t *story = s->story;

	for (guint i = 0; i < story->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(story->lines, i);

		if (is_event(line, "drain-begin") &&
		    is_of(line, story->instance))
			add_finding(story, "instance-stopping",
				    "the instance had begun to stop at %+.3f s",
				    offset_s(story, line));
	}
}

static void find_store(const search_t *s)
{
	bsh_story_t *story = s->story;
	g_autoptr(GHashTable) lost =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer kind;
	gpointer line;

	for (guint i = 0; i < story->lines->len; i++) {
		const bsh_log_line_t *at = g_ptr_array_index(story->lines, i);
		char *name = NULL;

		if (!is_of(at, story->instance) ||
		    !g_str_has_prefix(at->event, "store-"))
			continue;
		name = bsh_log_value(at, "kind");
		if (name != NULL && is_event(at, "store-lost"))
			g_hash_table_replace(lost, g_steal_pointer(&name),
					     (gpointer)at);
		else if (name != NULL)
			g_hash_table_remove(lost, name);
		g_free(name);
	}
	g_hash_table_iter_init(&iter, lost);
	while (g_hash_table_iter_next(&iter, &kind, &line))
		add_finding(story, "store-away",
			    "the instance had no answer of the store for %s "
			    "from %+.3f s on",
			    (const char *)kind, offset_s(story, line));
}

/* Without the lease nobody loads models. */
static void find_lease(const search_t *s)
{
	bsh_story_t *story = s->story;
	const bsh_log_line_t *held = NULL;

	for (guint i = 0; i < story->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(story->lines, i);

		if (!is_event(line, "order-lease") ||
		    at_us(line) > story->end_us)
			continue;
		if (bsh_log_value_is(line, "held", "1"))
			held = line;
		else if (held != NULL && is_of(line, held->instance))
			held = NULL;
	}
	if (held == NULL) {
		add_finding(story, "no-order-lease",
			    "no instance held the lease for orders when the "
			    "request ended, as far as the logs tell");
		return;
	}
	if (offset_s(story, held) +
		    (double)bsh_log_number(held, "first_order_in_ms", 0) / 1e3 >
	    0)
		add_finding(
			story, "order-lease-changed",
			"%s got the lease for orders at %+.3f s and had to "
			"wait %" G_GINT64_FORMAT " ms before its first order",
			held->instance, offset_s(story, held),
			(gint64)bsh_log_number(held, "first_order_in_ms", 0));
}

/* When the model of the request was loaded next. */
static void find_loads(const search_t *s)
{
	bsh_story_t *story = s->story;
	const bsh_log_line_t *order = NULL;
	const bsh_log_line_t *done = NULL;

	for (guint i = 0; i < story->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(story->lines, i);
		bool load = is_order(line) && is_own_model(s, line) &&
			    bsh_log_value_is(line, "op", "load");

		if (!load)
			continue;
		if (is_event(line, "order-done") && done == NULL &&
		    at_us(line) >= story->begin_us)
			done = line;
		/* The last one before the end, else the first one after. */
		if (is_event(line, "order") &&
		    (order == NULL || at_us(line) <= story->end_us))
			order = line;
	}
	if (order == NULL && done == NULL) {
		add_finding(story, "model-not-ordered",
			    "no load of %s was ordered from %d s before the "
			    "request to %d s after its end",
			    s->model, (int)(ORDERS_BEFORE_US / G_USEC_PER_SEC),
			    (int)(ORDERS_AFTER_US / G_USEC_PER_SEC));
		return;
	}
	if (order != NULL) {
		g_autofree char *result = bsh_log_value(order, "result");
		g_autofree char *target = bsh_log_value(order, "target");

		add_finding(story, "model-ordered",
			    "a load of %s was ordered at %+.3f s by %s on %s: "
			    "%s",
			    s->model, offset_s(story, order), order->instance,
			    target != NULL ? target : "?",
			    result != NULL ? result : "?");
	}
	if (done != NULL)
		add_finding(story, "model-loaded",
			    "a load of %s was seen to be done at %+.3f s, "
			    "%" G_GINT64_FORMAT " ms after it was accepted",
			    s->model, offset_s(story, done),
			    (gint64)bsh_log_number(done, "took_ms", 0));
}

static void find_wait(const search_t *s)
{
	bsh_story_t *story = s->story;

	for (guint i = 0; i < story->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(story->lines, i);
		int64_t ready_ms;

		if (!is_event(line, "request-waiting") ||
		    !bsh_log_value_is(line, "id", story->id))
			continue;
		ready_ms = bsh_log_number(line, "ready_in_ms", -1);
		if (ready_ms >= 0)
			add_finding(
				story, "waited-for-model",
				"no usable target held %s; it was expected "
				"in %" G_GINT64_FORMAT " ms, and the "
				"request had %" G_GINT64_FORMAT " ms left",
				s->model != NULL ? s->model : "its model",
				(gint64)ready_ms,
				(gint64)bsh_log_number(line, "left_ms", -1));
		else
			add_finding(
				story, "waited-for-model",
				"no usable target held %s, and nothing was "
				"known of when one would; the request had "
				"%" G_GINT64_FORMAT " ms left",
				s->model != NULL ? s->model : "its model",
				(gint64)bsh_log_number(line, "left_ms", -1));
	}
}

/* Whether others met the same at a target at the same time. */
static void find_neighbours(const search_t *s, const bsh_log_line_t *attempt)
{
	bsh_story_t *story = s->story;
	g_autofree char *target = bsh_log_value(attempt, "target");
	g_autofree char *end = bsh_log_value(attempt, "end");
	uint32_t same = 0;
	uint32_t answered = 0;

	for (guint i = 0; i < s->log->lines->len; i++) {
		const bsh_log_line_t *line = line_at(s->log, i);

		if (at_us(line) > at_us(attempt) + NEAR_US)
			break;
		if (line == attempt || at_us(line) < at_us(attempt) - NEAR_US ||
		    !bsh_log_value_is(line, "target", target))
			continue;
		same += is_event(line, "attempt-ended") &&
			bsh_log_value_is(line, "end", end);
		answered += is_event(line, "request") &&
			    bsh_log_value_is(line, "end", "answered");
	}
	add_finding(story, "at-same-target",
		    "within %d s, %u other attempts at %s ended so on all "
		    "instances and %u requests were answered there",
		    (int)(NEAR_US / G_USEC_PER_SEC), same, target, answered);
}

static void find_target_changes(const search_t *s)
{
	bsh_story_t *story = s->story;

	for (guint i = 0; i < story->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(story->lines, i);
		g_autofree char *target = bsh_log_value(line, "target");

		if (!g_str_has_prefix(line->event, "target-") || target == NULL)
			continue;
		if (is_event(line, "target-listed") &&
		    bsh_log_value_is(line, "leaving", "1"))
			add_finding(story, "target-leaving",
				    "%s was listed as leaving at %+.3f s",
				    target, offset_s(story, line));
		else if (is_event(line, "target-missing") ||
			 is_event(line, "target-gone"))
			add_finding(story, line->event,
				    "the entry of %s had vanished at %+.3f s "
				    "(%s)",
				    target, offset_s(story, line), line->event);
	}
}

static const char *explain_repeat(const char *repeat)
{
	static const struct {
		const char *name;
		const char *text;
	} reasons[] = {
		{ "attempts-used", "its route allows no more attempts" },
		{ "no-time", "no time was left" },
		{ "may-have-run", "it may have run and may not run twice" },
		{ "answer-begun",
		  "the caller already had a part of an answer that cannot go "
		  "on elsewhere" },
		{ "budget-empty", "the budget of repeats was used up" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++)
		if (strcmp(reasons[i].name, repeat) == 0)
			return reasons[i].text;
	return repeat;
}

static void find_attempts(const search_t *s)
{
	bsh_story_t *story = s->story;
	guint n = story->findings->len;

	for (guint i = 0; i < story->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(story->lines, i);
		g_autofree char *target = NULL;
		g_autofree char *error = NULL;
		g_autofree char *end = NULL;
		g_autofree char *repeat = NULL;
		bool again;

		if (!is_event(line, "attempt-ended") ||
		    !bsh_log_value_is(line, "id", story->id))
			continue;
		target = bsh_log_value(line, "target");
		error = bsh_log_value(line, "error");
		end = bsh_log_value(line, "end");
		repeat = bsh_log_value(line, "repeat");
		again = bsh_log_value_is(line, "again", "1");
		add_finding(
			story, "attempt",
			"the attempt at %s ended at %+.3f s: %s (%s, status "
			"%" G_GINT64_FORMAT ") after %" G_GINT64_FORMAT
			" ms; %s%s",
			target != NULL ? target : "?", offset_s(story, line),
			end != NULL ? end : "?", error != NULL ? error : "?",
			(gint64)bsh_log_number(line, "status", 0),
			(gint64)bsh_log_number(line, "took_ms", -1),
			again ? "it was sent again" : "it was not sent again: ",
			again || repeat == NULL ? "" : explain_repeat(repeat));
		find_neighbours(s, line);
	}
	if (story->findings->len > n)
		find_target_changes(s);
}

/* The longest time without a line of the instance while the request was there,
 * although others wrote. */
static void find_pause(const search_t *s)
{
	bsh_story_t *story = s->story;
	const bsh_log_line_t *before = NULL;
	int64_t longest_us = 0;
	int64_t since_us = 0;
	uint32_t others = 0;

	for (guint i = 0; i < s->log->lines->len; i++) {
		const bsh_log_line_t *line = line_at(s->log, i);

		if (at_us(line) > story->end_us)
			break;
		if (!is_of(line, story->instance)) {
			others++;
			continue;
		}
		if (before != NULL && others > 0 &&
		    at_us(line) > story->begin_us &&
		    at_us(line) - at_us(before) > longest_us) {
			longest_us = at_us(line) - at_us(before);
			since_us = at_us(before);
		}
		before = line;
		others = 0;
	}
	if (longest_us >= PAUSE_US)
		add_finding(story, "instance-paused",
			    "%s wrote nothing from %+.3f s to %+.3f s, while "
			    "other instances did: it was frozen or starved",
			    story->instance,
			    (double)(since_us - story->begin_us) / 1e6,
			    (double)(since_us + longest_us - story->begin_us) /
				    1e6);
}

static void find_end(const search_t *s)
{
	bsh_story_t *story = s->story;
	const bsh_log_line_t *end = story->end;
	g_autofree char *how = bsh_log_value(end, "end");
	g_autofree char *reason = bsh_log_value(end, "reason");
	bool answered = bsh_log_value_is(end, "end", "answered");

	add_finding(story, "end",
		    "%s with status %" G_GINT64_FORMAT " after "
		    "%" G_GINT64_FORMAT " ms%s%s; sent %" G_GINT64_FORMAT
		    " times, waited %" G_GINT64_FORMAT " ms",
		    how != NULL ? how : "?",
		    (gint64)bsh_log_number(end, "status", 0),
		    (gint64)bsh_log_number(end, "total_ms", -1),
		    answered ? "" : ", reason ",
		    answered || reason == NULL ? "" : reason,
		    (gint64)bsh_log_number(end, "sends", 0),
		    (gint64)bsh_log_number(end, "waited_ms", 0));
	add_finding(story, "ages",
		    "decided under configuration %" G_GINT64_FORMAT
		    ", confirmed %" G_GINT64_FORMAT " ms before, and a list of "
		    "targets confirmed %" G_GINT64_FORMAT " ms before",
		    (gint64)bsh_log_number(end, "config", 0),
		    (gint64)bsh_log_number(end, "config_age_ms", -1),
		    (gint64)bsh_log_number(end, "targets_age_ms", -1));
	find_wait(s);
	find_attempts(s);
	if (s->model != NULL && !answered &&
	    bsh_log_number(end, "sends", 0) == 0) {
		find_loads(s);
		find_lease(s);
	}
	find_pause(s);
	find_drain(s);
	find_store(s);
}

static const bsh_log_line_t *last_line_of(const search_t *s, int64_t until_us)
{
	const bsh_log_line_t *found = NULL;

	for (guint i = 0; i < s->log->lines->len; i++) {
		const bsh_log_line_t *line = line_at(s->log, i);

		if (at_us(line) > until_us)
			break;
		if (is_of(line, s->story->instance))
			found = line;
	}
	return found;
}

/* The instance took the request and wrote nothing of its end. */
static void find_lost_end(const search_t *s)
{
	bsh_story_t *story = s->story;
	const bsh_log_line_t *last = last_line_of(s, INT64_MAX);

	add_finding(story, "no-end",
		    "the log has no end of the request; the last line of %s is "
		    "%s at %+.3f s: a process that is killed writes no end, "
		    "and of what it had sent the outcome is not known",
		    story->instance, last->event, offset_s(story, last));
	find_attempts(s);
}

static void begin_search(search_t *s, const bsh_log_t *log, bsh_story_t *story,
			 const char *id)
{
	memset(story, 0, sizeof(*story));
	memset(s, 0, sizeof(*s));
	s->log = log;
	s->story = story;
	s->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->chosen = g_hash_table_new(g_direct_hash, g_direct_equal);
	story->id = g_strdup(id);
	story->lines = g_ptr_array_new();
	story->findings = g_ptr_array_new_with_free_func(free_finding);
}

static void end_search(search_t *s)
{
	g_free(s->model);
	g_hash_table_destroy(s->targets);
	g_hash_table_destroy(s->chosen);
}

void bsh_story_init(bsh_story_t *story, const bsh_log_t *log, const char *id)
{
	search_t s;

	begin_search(&s, log, story, id);
	find_own_lines(&s);
	collect(&s);
	if (story->instance == NULL)
		add_finding(story, "not-found",
			    "no line names the request: it reached no instance "
			    "whose log was read, or its lines were left out");
	else if (story->end != NULL)
		find_end(&s);
	else
		find_lost_end(&s);
	end_search(&s);
}

static void find_life(const search_t *s)
{
	bsh_story_t *story = s->story;
	const bsh_log_line_t *before = last_line_of(s, story->begin_us);
	const bsh_log_line_t *after = NULL;

	for (guint i = 0; i < s->log->lines->len && after == NULL; i++) {
		const bsh_log_line_t *line = line_at(s->log, i);

		if (at_us(line) > story->begin_us &&
		    is_of(line, story->instance))
			after = line;
	}
	if (before == NULL && after == NULL) {
		add_finding(story, "not-found", "no line of %s was read",
			    story->instance);
		return;
	}
	if (before == NULL || is_event(before, "stop"))
		add_finding(story, "not-running", "%s was not running",
			    story->instance);
	if (before != NULL)
		add_finding(story, "line-before",
			    "its last line before is %s at %+.3f s",
			    before->event, offset_s(story, before));
	if (after != NULL)
		add_finding(story, "line-after",
			    "its next line is %s at %+.3f s", after->event,
			    offset_s(story, after));
	if (before != NULL && !is_event(before, "stop") && after != NULL &&
	    is_event(after, "start"))
		add_finding(story, "killed",
			    "it ended without a stop line: it was killed "
			    "between the two, and what it had taken is lost");
	find_drain(s);
	find_store(s);
}

void bsh_story_init_at(bsh_story_t *story, const bsh_log_t *log, const char *id,
		       const char *instance, int64_t when_us)
{
	search_t s;

	begin_search(&s, log, story, id);
	story->instance = instance;
	story->begin_us = when_us;
	story->end_us = when_us + AROUND_US;
	collect(&s);
	find_life(&s);
	end_search(&s);
}

void bsh_story_finish(bsh_story_t *story)
{
	g_free(story->id);
	g_ptr_array_free(story->lines, TRUE);
	g_ptr_array_free(story->findings, TRUE);
}
