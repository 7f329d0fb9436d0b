#include "operator/log_diagnosis.h"

#include <string.h>

#include "operator/log_cut.h"
#include "operator/log_reason.h"

/* Interval around a request in which orders can explain a missing model: a load
 * from the weight store takes up to 30 s while other loads run. */
#define ORDERS_BEFORE_US INT64_C(30000000)
#define ORDERS_AFTER_US	 INT64_C(15000000)
/* The lease for orders has a new holder within this time after the former
 * holder ended. */
#define LEASE_BEFORE_US INT64_C(10000000)
/* Window before and after an attempt in which other attempts at the same target
 * are counted. */
#define SAME_TARGET_WINDOW_US INT64_C(1000000)
/* Time within which the failure of a target appears in the list of targets. */
#define LIST_LAG_US INT64_C(5000000)
/* An instance writes many lines a second; one that wrote none for this long
 * while others did was suspended or starved of CPU time. */
#define PAUSE_MIN_US INT64_C(1500000)
/* Length of the interval examined, from the given time on, when no line carries
 * the request's id. */
#define INSTANCE_WINDOW_US INT64_C(3000000)

typedef struct {
	const bsh_log_t *log;
	bsh_diagnosis_t *diag;
	char *model; /* without the adapter; NULL: none */
	/* Key for which it was refused, and the part of its prompt that has it,
	 * "-": it as a whole; NULL: none. */
	char *suspect_key;
	char *part;
	GHashTable *targets;  /* names in the lines with the request's id */
	GHashTable *selected; /* bsh_log_line_t */
} analysis_t;

static const bsh_log_line_t *line_at(const bsh_log_t *log, guint i)
{
	return g_ptr_array_index(log->lines, i);
}

static int64_t line_time_us(const bsh_log_line_t *line)
{
	return line->stamp.physical_us;
}

static bool is_event(const bsh_log_line_t *line, const char *event)
{
	return strcmp(line->event, event) == 0;
}

static bool is_from(const bsh_log_line_t *line, const char *instance)
{
	return instance != NULL && strcmp(line->instance, instance) == 0;
}

static bool is_between(const bsh_log_line_t *line, int64_t from_us,
		       int64_t until_us)
{
	return line_time_us(line) >= from_us && line_time_us(line) <= until_us;
}

static void add_finding(bsh_diagnosis_t *diag, const char *code,
			const char *fmt, ...) G_GNUC_PRINTF(3, 4);

static void add_finding(bsh_diagnosis_t *diag, const char *code,
			const char *fmt, ...)
{
	bsh_finding_t *finding = g_new0(bsh_finding_t, 1);
	va_list ap;

	va_start(ap, fmt);
	finding->code = g_strdup(code);
	finding->text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(diag->findings, finding);
}

static void free_finding(gpointer data)
{
	bsh_finding_t *finding = data;

	g_free(finding->code);
	g_free(finding->text);
	g_free(finding);
}

/* Time of a line relative to the start of the request, in seconds; negative
 * before it. */
static double offset_s(const bsh_diagnosis_t *diag, const bsh_log_line_t *line)
{
	return (double)(line_time_us(line) - diag->begin_us) / 1e6;
}

/* Selection of the relevant lines. */

static void select_line(analysis_t *a, const bsh_log_line_t *line)
{
	if (line != NULL)
		g_hash_table_add(a->selected, (gpointer)line);
}

/* Records the targets and the model that a line of the request names. */
static void record_names(analysis_t *a, const bsh_log_line_t *line)
{
	char *target = bsh_log_value(line, "target");
	char *model = bsh_log_value(line, "model");

	if (target != NULL && strcmp(target, "-") != 0)
		g_hash_table_add(a->targets, g_steal_pointer(&target));
	if (model != NULL && strcmp(model, "-") != 0 && a->model == NULL) {
		char *adapter = strchr(model, '/');

		if (adapter != NULL)
			*adapter = '\0';
		a->model = g_steal_pointer(&model);
	}
	if (is_event(line, "request-quarantined") && a->suspect_key == NULL) {
		a->suspect_key = bsh_log_value(line, "key");
		a->part = bsh_log_value(line, "part");
	}
	g_free(target);
	g_free(model);
}

static void select_request_lines(analysis_t *a)
{
	bsh_diagnosis_t *diag = a->diag;
	bool found = false;

	for (guint i = 0; i < a->log->lines->len; i++) {
		const bsh_log_line_t *line = line_at(a->log, i);

		if (!bsh_log_value_is(line, "id", diag->id))
			continue;
		if (!found)
			diag->begin_us = line_time_us(line);
		found = true;
		diag->end_us = line_time_us(line);
		diag->instance = line->instance;
		if (is_event(line, "request"))
			diag->end = line;
		select_line(a, line);
		record_names(a, line);
	}
	/* The first line can be written long after the request arrived. */
	if (diag->end != NULL)
		diag->begin_us =
			MIN(diag->begin_us,
			    line_time_us(diag->end) -
				    1000 * bsh_log_number(diag->end, "total_ms",
							  0));
}

/* Selects the state of the instance when the request arrived: the last line of
 * each event, and for store events of each kind of object. */
static void select_state_before(analysis_t *a)
{
	const bsh_diagnosis_t *diag = a->diag;
	g_autoptr(GHashTable) seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = a->log->lines->len; i-- > 0;) {
		const bsh_log_line_t *line = line_at(a->log, i);
		g_autofree char *kind = NULL;
		char *key;

		if (line_time_us(line) >= diag->begin_us ||
		    !is_from(line, diag->instance) ||
		    !bsh_log_is_instance_state(line))
			continue;
		kind = bsh_log_value(line, "kind");
		/* store-lost and store-reached are values of one state. */
		key = g_strdup_printf("%s %s",
				      g_str_has_prefix(line->event, "store-")
					      ? "store"
					      : line->event,
				      kind != NULL ? kind : "");
		if (g_hash_table_add(seen, key))
			select_line(a, line);
		/* Earlier lines describe a previous process. */
		if (is_event(line, "start"))
			break;
	}
}

static bool has_request_target(const analysis_t *a, const bsh_log_line_t *line)
{
	g_autofree char *target = bsh_log_value(line, "target");

	return target != NULL && g_hash_table_contains(a->targets, target);
}

static bool has_request_model(const analysis_t *a, const bsh_log_line_t *line)
{
	g_autofree char *model = bsh_log_value(line, "model");
	size_t size;

	if (a->model == NULL || model == NULL)
		return false;
	size = strlen(a->model);
	return strncmp(model, a->model, size) == 0 &&
	       (model[size] == '\0' || model[size] == '/');
}

static bool is_order_event(const bsh_log_line_t *line)
{
	return is_event(line, "order") || is_event(line, "order-done");
}

static bool is_relevant(const analysis_t *a, const bsh_log_line_t *line)
{
	const bsh_diagnosis_t *diag = a->diag;

	if (is_from(line, diag->instance) && bsh_log_is_instance_state(line) &&
	    is_between(line, diag->begin_us, diag->end_us))
		return true;
	if (a->suspect_key != NULL && bsh_log_ended_under(line, a->suspect_key))
		return line_time_us(line) <= diag->end_us;
	if (g_str_has_prefix(line->event, "target-"))
		return is_from(line, diag->instance) &&
		       has_request_target(a, line) &&
		       is_between(line, diag->begin_us,
				  diag->end_us + LIST_LAG_US);
	if (is_order_event(line))
		return (has_request_model(a, line) ||
			has_request_target(a, line)) &&
		       is_between(line, diag->begin_us - ORDERS_BEFORE_US,
				  diag->end_us + ORDERS_AFTER_US) &&
		       (has_request_model(a, line) ||
			is_between(line, diag->begin_us, diag->end_us));
	return is_event(line, "order-lease") && a->model != NULL &&
	       is_between(line, diag->begin_us - LEASE_BEFORE_US, diag->end_us);
}

/* The last line of any instance before the request that has this event and this
 * value of key. */
static const bsh_log_line_t *last_line_before(const analysis_t *a,
					      const char *event,
					      const char *key,
					      const char *value)
{
	const bsh_log_line_t *found = NULL;

	for (guint i = 0; i < a->log->lines->len; i++) {
		const bsh_log_line_t *line = line_at(a->log, i);

		if (line_time_us(line) >= a->diag->begin_us)
			break;
		if (is_event(line, event) && bsh_log_value_is(line, key, value))
			found = line;
	}
	return found;
}

static void select_targets_before(analysis_t *a)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, a->targets);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		const bsh_log_line_t *last = NULL;

		for (guint i = 0; i < a->log->lines->len; i++) {
			const bsh_log_line_t *line = line_at(a->log, i);

			if (line_time_us(line) >= a->diag->begin_us)
				break;
			if (is_from(line, a->diag->instance) &&
			    g_str_has_prefix(line->event, "target-") &&
			    bsh_log_value_is(line, "target", name))
				last = line;
		}
		select_line(a, last);
	}
}

static void collect_lines(analysis_t *a)
{
	if (a->diag->instance != NULL) {
		select_state_before(a);
		select_targets_before(a);
	}
	if (a->model != NULL)
		select_line(a, last_line_before(a, "order-lease", "held", "1"));
	for (guint i = 0; i < a->log->lines->len; i++) {
		const bsh_log_line_t *line = line_at(a->log, i);

		if (g_hash_table_contains(a->selected, line) ||
		    is_relevant(a, line))
			g_ptr_array_add(a->diag->lines, (gpointer)line);
	}
}

/* Findings from the selected lines. */

static void report_drain(const analysis_t *a)
{
	bsh_diagnosis_t *diag = a->diag;

	for (guint i = 0; i < diag->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(diag->lines, i);

		if (is_event(line, "drain-begin") &&
		    is_from(line, diag->instance))
			add_finding(diag, "instance-stopping",
				    "the instance began to drain at %+.3f s",
				    offset_s(diag, line));
	}
}

static void report_store(const analysis_t *a)
{
	bsh_diagnosis_t *diag = a->diag;
	g_autoptr(GHashTable) lost =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer kind;
	gpointer line;

	for (guint i = 0; i < diag->lines->len; i++) {
		const bsh_log_line_t *at = g_ptr_array_index(diag->lines, i);
		char *name = NULL;

		if (!is_from(at, diag->instance) ||
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
		add_finding(diag, "store-away",
			    "the instance received no answer from the store "
			    "for %s from %+.3f s on",
			    (const char *)kind, offset_s(diag, line));
}

/* Reports a missing or changed lease for orders; only its holder loads
 * models. */
static void report_lease(const analysis_t *a)
{
	bsh_diagnosis_t *diag = a->diag;
	const bsh_log_line_t *acquired = NULL;

	for (guint i = 0; i < diag->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(diag->lines, i);

		if (!is_event(line, "order-lease") ||
		    line_time_us(line) > diag->end_us)
			continue;
		if (bsh_log_value_is(line, "held", "1"))
			acquired = line;
		else if (acquired != NULL && is_from(line, acquired->instance))
			acquired = NULL;
	}
	if (acquired == NULL) {
		add_finding(diag, "no-order-lease",
			    "the logs show no instance that held the lease for "
			    "orders when the request ended");
		return;
	}
	if (offset_s(diag, acquired) +
		    (double)bsh_log_number(acquired, "first_order_in_ms", 0) /
			    1e3 >
	    0)
		add_finding(diag, "order-lease-changed",
			    "%s got the lease for orders at %+.3f s and had to "
			    "wait %" G_GINT64_FORMAT
			    " ms before its first order",
			    acquired->instance, offset_s(diag, acquired),
			    (gint64)bsh_log_number(acquired,
						   "first_order_in_ms", 0));
}

/* Reports the load order for the model of the request, and when a load next
 * completed. */
static void report_loads(const analysis_t *a)
{
	bsh_diagnosis_t *diag = a->diag;
	const bsh_log_line_t *order = NULL;
	const bsh_log_line_t *done = NULL;

	for (guint i = 0; i < diag->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(diag->lines, i);
		bool load = is_order_event(line) &&
			    has_request_model(a, line) &&
			    bsh_log_value_is(line, "op", "load");

		if (!load)
			continue;
		if (is_event(line, "order-done") && done == NULL &&
		    line_time_us(line) >= diag->begin_us)
			done = line;
		/* The last order before the end of the request, else the first
		 * one after it. */
		if (is_event(line, "order") &&
		    (order == NULL || line_time_us(line) <= diag->end_us))
			order = line;
	}
	if (order == NULL && done == NULL) {
		add_finding(diag, "model-not-ordered",
			    "no load of %s was ordered from %d s before the "
			    "request to %d s after its end",
			    a->model, (int)(ORDERS_BEFORE_US / G_USEC_PER_SEC),
			    (int)(ORDERS_AFTER_US / G_USEC_PER_SEC));
		return;
	}
	if (order != NULL) {
		g_autofree char *result = bsh_log_value(order, "result");
		g_autofree char *target = bsh_log_value(order, "target");

		add_finding(diag, "model-ordered",
			    "a load of %s was ordered at %+.3f s by %s on %s: "
			    "%s",
			    a->model, offset_s(diag, order), order->instance,
			    target != NULL ? target : "?",
			    result != NULL ? result : "?");
	}
	if (done != NULL)
		add_finding(diag, "model-loaded",
			    "a load of %s was observed complete at %+.3f s, "
			    "%" G_GINT64_FORMAT " ms after it was accepted",
			    a->model, offset_s(diag, done),
			    (gint64)bsh_log_number(done, "took_ms", 0));
}

static void report_wait(const analysis_t *a)
{
	bsh_diagnosis_t *diag = a->diag;

	for (guint i = 0; i < diag->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(diag->lines, i);
		int64_t ready_ms;

		if (!is_event(line, "request-waiting") ||
		    !bsh_log_value_is(line, "id", diag->id))
			continue;
		ready_ms = bsh_log_number(line, "ready_in_ms", -1);
		if (ready_ms >= 0)
			add_finding(
				diag, "waited-for-model",
				"no usable target had %s loaded; it was "
				"expected in %" G_GINT64_FORMAT " ms, and the "
				"request had %" G_GINT64_FORMAT " ms left",
				a->model != NULL ? a->model : "its model",
				(gint64)ready_ms,
				(gint64)bsh_log_number(line, "left_ms", -1));
		else
			add_finding(
				diag, "waited-for-model",
				"no usable target had %s loaded, and nothing "
				"was known about when one would; the request "
				"had %" G_GINT64_FORMAT " ms left",
				a->model != NULL ? a->model : "its model",
				(gint64)bsh_log_number(line, "left_ms", -1));
	}
}

/* Counts other attempts at the same target, at about the same time, that ended
 * the same way, and requests that it answered. */
static void report_same_target(const analysis_t *a,
			       const bsh_log_line_t *attempt)
{
	bsh_diagnosis_t *diag = a->diag;
	g_autofree char *target = bsh_log_value(attempt, "target");
	g_autofree char *end = bsh_log_value(attempt, "end");
	uint32_t same = 0;
	uint32_t answered = 0;

	for (guint i = 0; i < a->log->lines->len; i++) {
		const bsh_log_line_t *line = line_at(a->log, i);

		if (line_time_us(line) >
		    line_time_us(attempt) + SAME_TARGET_WINDOW_US)
			break;
		if (line == attempt ||
		    line_time_us(line) <
			    line_time_us(attempt) - SAME_TARGET_WINDOW_US ||
		    !bsh_log_value_is(line, "target", target))
			continue;
		same += is_event(line, "attempt-ended") &&
			bsh_log_value_is(line, "end", end);
		answered += is_event(line, "request") &&
			    bsh_log_value_is(line, "end", "answered");
	}
	add_finding(diag, "at-same-target",
		    "within %d s on all instances, %u other attempts at %s "
		    "ended the same way and %u requests were answered there",
		    (int)(SAME_TARGET_WINDOW_US / G_USEC_PER_SEC), same, target,
		    answered);
}

static void report_target_changes(const analysis_t *a)
{
	bsh_diagnosis_t *diag = a->diag;

	for (guint i = 0; i < diag->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(diag->lines, i);
		g_autofree char *target = bsh_log_value(line, "target");

		if (!g_str_has_prefix(line->event, "target-") || target == NULL)
			continue;
		if (is_event(line, "target-listed") &&
		    bsh_log_value_is(line, "leaving", "1"))
			add_finding(diag, "target-leaving",
				    "%s was listed as leaving at %+.3f s",
				    target, offset_s(diag, line));
		else if (is_event(line, "target-missing") ||
			 is_event(line, "target-gone"))
			add_finding(diag, line->event,
				    "the entry of %s had vanished at %+.3f s "
				    "(%s)",
				    target, offset_s(diag, line), line->event);
	}
}

static void report_attempts(const analysis_t *a)
{
	bsh_diagnosis_t *diag = a->diag;
	guint n = diag->findings->len;

	for (guint i = 0; i < diag->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(diag->lines, i);
		g_autofree char *target = NULL;
		g_autofree char *error = NULL;
		g_autofree char *end = NULL;
		g_autofree char *repeat = NULL;
		bool again;

		if (!is_event(line, "attempt-ended") ||
		    !bsh_log_value_is(line, "id", diag->id))
			continue;
		target = bsh_log_value(line, "target");
		error = bsh_log_value(line, "error");
		end = bsh_log_value(line, "end");
		repeat = bsh_log_value(line, "repeat");
		again = bsh_log_value_is(line, "again", "1");
		add_finding(
			diag, "attempt",
			"the attempt at %s ended at %+.3f s: %s (%s, status "
			"%" G_GINT64_FORMAT ") after %" G_GINT64_FORMAT
			" ms; %s%s",
			target != NULL ? target : "?", offset_s(diag, line),
			end != NULL ? end : "?", error != NULL ? error : "?",
			(gint64)bsh_log_number(line, "status", 0),
			(gint64)bsh_log_number(line, "took_ms", -1),
			again ? "it was sent again" : "it was not sent again: ",
			again || repeat == NULL ? ""
						: bsh_log_repeat_text(repeat));
		report_same_target(a, line);
	}
	if (diag->findings->len > n)
		report_target_changes(a);
}

/* Reports the longest interval of the request in which the instance wrote no
 * line although other instances did. */
static void report_pause(const analysis_t *a)
{
	bsh_diagnosis_t *diag = a->diag;
	const bsh_log_line_t *before = NULL;
	int64_t longest_us = 0;
	int64_t since_us = 0;
	uint32_t others = 0;

	for (guint i = 0; i < a->log->lines->len; i++) {
		const bsh_log_line_t *line = line_at(a->log, i);

		if (line_time_us(line) > diag->end_us)
			break;
		if (!is_from(line, diag->instance)) {
			others++;
			continue;
		}
		if (before != NULL && others > 0 &&
		    line_time_us(line) > diag->begin_us &&
		    line_time_us(line) - line_time_us(before) > longest_us) {
			longest_us = line_time_us(line) - line_time_us(before);
			since_us = line_time_us(before);
		}
		before = line;
		others = 0;
	}
	if (longest_us >= PAUSE_MIN_US)
		add_finding(diag, "instance-paused",
			    "%s wrote nothing from %+.3f s to %+.3f s, while "
			    "other instances did: it was suspended or starved "
			    "of CPU time",
			    diag->instance,
			    (double)(since_us - diag->begin_us) / 1e6,
			    (double)(since_us + longest_us - diag->begin_us) /
				    1e6);
}

static void report_cut(const analysis_t *a)
{
	for (guint i = 0; i < a->diag->lines->len; i++) {
		const bsh_log_line_t *line =
			g_ptr_array_index(a->diag->lines, i);
		g_autofree char *text = NULL;

		if (!is_event(line, "response-cut") ||
		    !bsh_log_value_is(line, "id", a->diag->id))
			continue;
		text = bsh_log_cut_text(a->log, line);
		add_finding(a->diag, "cut", "%s", text);
	}
}

/* Reports the ends of processes for which the request was refused. */
static void report_quarantine(const analysis_t *a)
{
	bsh_diagnosis_t *diag = a->diag;

	if (a->suspect_key == NULL)
		return;
	if (a->part != NULL && strcmp(a->part, "-") != 0)
		add_finding(diag, "quarantined",
			    "it was refused for part %s of its prompt, under "
			    "which processes of targets had ended",
			    a->part);
	else
		add_finding(diag, "quarantined",
			    "it was refused as processes of targets had ended "
			    "under the same request (key %s)",
			    a->suspect_key);
	for (guint i = 0; i < diag->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(diag->lines, i);
		g_autofree char *target = NULL;
		g_autofree char *id = NULL;

		if (!bsh_log_ended_under(line, a->suspect_key))
			continue;
		target = bsh_log_value(line, "target");
		id = bsh_log_value(line, "id");
		add_finding(diag, "target-ended",
			    "the process of %s had ended at %+.3f s while "
			    "request %s was beginning there, by the log of %s",
			    target != NULL ? target : "?", offset_s(diag, line),
			    id != NULL ? id : "?", line->instance);
	}
}

static void report_end(const analysis_t *a)
{
	bsh_diagnosis_t *diag = a->diag;
	const bsh_log_line_t *end = diag->end;
	g_autofree char *outcome = bsh_log_value(end, "end");
	g_autofree char *reason = bsh_log_value(end, "reason");
	bool answered = bsh_log_value_is(end, "end", "answered");

	add_finding(diag, "end",
		    "%s with status %" G_GINT64_FORMAT " after "
		    "%" G_GINT64_FORMAT " ms%s%s; sent %" G_GINT64_FORMAT
		    " times, waited %" G_GINT64_FORMAT " ms",
		    outcome != NULL ? outcome : "?",
		    (gint64)bsh_log_number(end, "status", 0),
		    (gint64)bsh_log_number(end, "total_ms", -1),
		    answered ? "" : ", reason ",
		    answered || reason == NULL ? "" : reason,
		    (gint64)bsh_log_number(end, "sends", 0),
		    (gint64)bsh_log_number(end, "waited_ms", 0));
	add_finding(diag, "ages",
		    "decided under configuration %" G_GINT64_FORMAT
		    ", confirmed %" G_GINT64_FORMAT " ms before, and a list of "
		    "targets confirmed %" G_GINT64_FORMAT " ms before",
		    (gint64)bsh_log_number(end, "config", 0),
		    (gint64)bsh_log_number(end, "config_age_ms", -1),
		    (gint64)bsh_log_number(end, "targets_age_ms", -1));
	report_quarantine(a);
	report_wait(a);
	report_attempts(a);
	report_cut(a);
	if (a->model != NULL && !answered &&
	    bsh_log_number(end, "sends", 0) == 0) {
		report_loads(a);
		report_lease(a);
	}
	report_pause(a);
	report_drain(a);
	report_store(a);
}

static const bsh_log_line_t *last_line_from(const analysis_t *a,
					    int64_t until_us)
{
	const bsh_log_line_t *found = NULL;

	for (guint i = 0; i < a->log->lines->len; i++) {
		const bsh_log_line_t *line = line_at(a->log, i);

		if (line_time_us(line) > until_us)
			break;
		/* It follows process-ended, which tells more. */
		if (is_from(line, a->diag->instance) &&
		    !is_event(line, "process-backtrace"))
			found = line;
	}
	return found;
}

static void report_process_end(const analysis_t *a, const bsh_log_line_t *line)
{
	g_autofree char *number = bsh_log_value(line, "signal");
	g_autofree char *thread = bsh_log_value(line, "thread");
	g_autofree char *said = bsh_log_value(line, "said");

	add_finding(a->diag, "process-ended",
		    "the process of %s ended by %s in its %s thread at "
		    "%+.3f s, and the last that a library said is \"%s\"; the "
		    "outcome of what it had sent is not known",
		    a->diag->instance, number != NULL ? number : "?",
		    thread != NULL ? thread : "?", offset_s(a->diag, line),
		    said != NULL ? said : "");
}

/* Returns the line of the first end of a process of the instance by a signal that
 * it could report, from this time on. */
static const bsh_log_line_t *process_end_after(const analysis_t *a,
					       int64_t from_us)
{
	for (guint i = 0; i < a->log->lines->len; i++) {
		const bsh_log_line_t *line = line_at(a->log, i);

		if (line_time_us(line) >= from_us &&
		    is_from(line, a->diag->instance) &&
		    is_event(line, "process-ended"))
			return line;
	}
	return NULL;
}

/* Reports a request that an instance accepted without logging its end. */
static void report_missing_end(const analysis_t *a)
{
	bsh_diagnosis_t *diag = a->diag;
	const bsh_log_line_t *last = last_line_from(a, INT64_MAX);
	const bsh_log_line_t *ended = process_end_after(a, diag->begin_us);

	if (ended != NULL) {
		report_process_end(a, ended);
		report_attempts(a);
		return;
	}
	add_finding(diag, "no-end",
		    "the log has no line for the end of the request; the last "
		    "line of %s is %s at %+.3f s: a process that is killed "
		    "writes no such line, and the outcome of what it had sent "
		    "is not known",
		    diag->instance, last->event, offset_s(diag, last));
	report_attempts(a);
}

static void analysis_init(analysis_t *a, const bsh_log_t *log,
			  bsh_diagnosis_t *diag, const char *id)
{
	memset(diag, 0, sizeof(*diag));
	memset(a, 0, sizeof(*a));
	a->log = log;
	a->diag = diag;
	a->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	a->selected = g_hash_table_new(g_direct_hash, g_direct_equal);
	diag->id = g_strdup(id);
	diag->lines = g_ptr_array_new();
	diag->findings = g_ptr_array_new_with_free_func(free_finding);
}

static void analysis_finish(analysis_t *a)
{
	g_free(a->model);
	g_free(a->suspect_key);
	g_free(a->part);
	g_hash_table_destroy(a->targets);
	g_hash_table_destroy(a->selected);
}

void bsh_diagnosis_init(bsh_diagnosis_t *diag, const bsh_log_t *log,
			const char *id)
{
	analysis_t a;

	analysis_init(&a, log, diag, id);
	select_request_lines(&a);
	collect_lines(&a);
	if (diag->instance == NULL)
		add_finding(diag, "not-found",
			    "no line names the request: it reached no instance "
			    "whose log was read, or its lines were dropped");
	else if (diag->end != NULL)
		report_end(&a);
	else
		report_missing_end(&a);
	analysis_finish(&a);
}

static void report_instance(const analysis_t *a)
{
	bsh_diagnosis_t *diag = a->diag;
	const bsh_log_line_t *before = last_line_from(a, diag->begin_us);
	const bsh_log_line_t *after = NULL;

	for (guint i = 0; i < a->log->lines->len && after == NULL; i++) {
		const bsh_log_line_t *line = line_at(a->log, i);

		if (line_time_us(line) > diag->begin_us &&
		    is_from(line, diag->instance))
			after = line;
	}
	if (before == NULL && after == NULL) {
		add_finding(diag, "not-found", "no line of %s was read",
			    diag->instance);
		return;
	}
	if (before != NULL && is_event(before, "process-ended"))
		report_process_end(a, before);
	if (before == NULL || is_event(before, "stop") ||
	    is_event(before, "process-ended"))
		add_finding(diag, "not-running", "%s was not running",
			    diag->instance);
	if (before != NULL)
		add_finding(diag, "line-before",
			    "its last line before that time is %s at %+.3f s",
			    before->event, offset_s(diag, before));
	if (after != NULL)
		add_finding(diag, "line-after",
			    "its next line is %s at %+.3f s", after->event,
			    offset_s(diag, after));
	if (before != NULL && !is_event(before, "stop") &&
	    !is_event(before, "process-ended") && after != NULL &&
	    is_event(after, "start"))
		add_finding(diag, "killed",
			    "it ended without a stop line: it was killed "
			    "between the two lines, and the requests that it "
			    "had accepted are lost");
	report_drain(a);
	report_store(a);
}

void bsh_diagnosis_init_at(bsh_diagnosis_t *diag, const bsh_log_t *log,
			   const char *id, const char *instance, int64_t at_us)
{
	analysis_t a;

	analysis_init(&a, log, diag, id);
	diag->instance = instance;
	diag->begin_us = at_us;
	diag->end_us = at_us + INSTANCE_WINDOW_US;
	collect_lines(&a);
	report_instance(&a);
	analysis_finish(&a);
}

void bsh_diagnosis_finish(bsh_diagnosis_t *diag)
{
	g_free(diag->id);
	g_ptr_array_free(diag->lines, TRUE);
	g_ptr_array_free(diag->findings, TRUE);
}
