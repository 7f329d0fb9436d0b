/*
 * Commands on the logs of bshentryd: explain (diagnosis of one request) and
 * summary (count of requests by outcome).
 */
#include "bshctl.h"

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json_text.h"
#include "operator/log_diagnosis.h"

/* Parses the log files from argument first on, or the standard input if there
 * are none.  Unreadable files are reported; the others are still used. */
static ctl_status_t read_logs(const ctl_t *ctl, int first, bsh_log_t *log)
{
	static char stdin_name[] = "-";
	char *standard[] = { stdin_name };
	char **paths = ctl->argc > first ? ctl->argv + first : standard;
	int n = ctl->argc > first ? ctl->argc - first : 1;
	ctl_status_t status = CTL_OK;

	bsh_log_read_init(log);
	for (int i = 0; i < n; i++) {
		g_autofree char *problem = NULL;

		if (bsh_log_read_file(log, paths[i], &problem))
			continue;
		warnx("%s", problem);
		status = CTL_UNREACHABLE;
	}
	bsh_log_read_sort(log);
	return status;
}

static void format_time(int64_t us, char *text, size_t size)
{
	g_autoptr(GDateTime) time =
		g_date_time_new_from_unix_utc(us / G_USEC_PER_SEC);
	g_autofree char *second =
		time != NULL ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%S")
			     : g_strdup("-");

	g_snprintf(text, (gulong)size, "%s.%03dZ", second,
		   (int)(us % G_USEC_PER_SEC / 1000));
}

static json_t *notes_json(const GPtrArray *notes)
{
	json_t *array = json_array();

	for (guint i = 0; i < notes->len; i++)
		json_array_append_new(
			array, bsh_json_string(g_ptr_array_index(notes, i)));
	return array;
}

static void print_notes(const GPtrArray *notes)
{
	for (guint i = 0; i < notes->len; i++)
		warnx("%s", (const char *)g_ptr_array_index(notes, i));
}

/* explain */

static json_t *log_line_json(const bsh_diagnosis_t *diag,
			     const bsh_log_line_t *line)
{
	g_autofree char *details = g_utf8_make_valid(line->details, -1);
	char time[40];

	format_time(line->stamp.physical_us, time, sizeof(time));
	return bsh_json_pack(
		"{s:s, s:f, s:s, s:s, s:s, s:s, s:b}", "time", time, "offset_s",
		(double)(line->stamp.physical_us - diag->begin_us) / 1e6,
		"instance", line->instance, "level", line->level, "event",
		line->event, "details", details, "stamped", line->has_stamp);
}

static void print_diagnosis_json(const bsh_diagnosis_t *diag,
				 const GPtrArray *notes)
{
	json_t *findings = json_array();
	json_t *lines = json_array();

	for (guint i = 0; i < diag->findings->len; i++) {
		const bsh_finding_t *finding =
			g_ptr_array_index(diag->findings, i);

		json_array_append_new(findings,
				      bsh_json_pack("{s:s, s:s}", "code",
						    finding->code, "text",
						    finding->text));
	}
	for (guint i = 0; i < diag->lines->len; i++)
		json_array_append_new(
			lines,
			log_line_json(diag, g_ptr_array_index(diag->lines, i)));
	ctl_print_json(bsh_json_pack("{s:s, s:s?, s:o, s:o, s:o}", "id",
				     diag->id, "instance", diag->instance,
				     "findings", findings, "lines", lines,
				     "notes", notes_json(notes)));
}

static void print_diagnosis(const ctl_options_t *o, const bsh_diagnosis_t *diag)
{
	for (guint i = 0; i < diag->findings->len; i++) {
		const bsh_finding_t *finding =
			g_ptr_array_index(diag->findings, i);

		ctl_print_field(finding->code, false);
		ctl_print_field(finding->text, true);
	}
	if (diag->lines->len == 0)
		return;
	putchar('\n');
	if (!o->no_header)
		puts("TIME\tSECONDS\tINSTANCE\tEVENT\tDETAILS");
	for (guint i = 0; i < diag->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(diag->lines, i);
		char time[40];

		format_time(line->stamp.physical_us, time, sizeof(time));
		printf("%s\t%+.3f\t", time,
		       (double)(line->stamp.physical_us - diag->begin_us) /
			       1e6);
		ctl_print_field(line->instance, false);
		ctl_print_field(line->event, false);
		ctl_print_field(line->details, true);
	}
}

/* Parses the argument of --at, a time in the format of the logs. */
static bool parse_at(const char *text, int64_t *us)
{
	g_autoptr(GDateTime) time = g_date_time_new_from_iso8601(text, NULL);

	if (time == NULL)
		return false;
	*us = g_date_time_to_unix(time) * G_USEC_PER_SEC +
	      g_date_time_get_microsecond(time);
	return true;
}

int ctl_explain(ctl_t *ctl)
{
	const ctl_options_t *o = &ctl->options;
	GPtrArray *notes;
	bsh_diagnosis_t diag;
	bsh_log_t log;
	int64_t at_us = 0;
	ctl_status_t status;

	if ((o->at == NULL) != (o->instance == NULL)) {
		warnx("--instance and --at must be given together");
		return CTL_USAGE;
	}
	if (o->at != NULL && !parse_at(o->at, &at_us)) {
		warnx("--at needs a time such as 2026-12-04T10:15:00.250Z");
		return CTL_USAGE;
	}
	status = read_logs(ctl, 1, &log);
	bsh_diagnosis_init(&diag, &log, ctl->argv[0]);
	if (diag.instance == NULL && o->at != NULL) {
		bsh_diagnosis_finish(&diag);
		bsh_diagnosis_init_at(&diag, &log, ctl->argv[0], o->instance,
				      at_us);
	}
	notes = bsh_log_notes(&log);
	if (o->json)
		print_diagnosis_json(&diag, notes);
	else
		print_diagnosis(o, &diag);
	if (!o->json)
		print_notes(notes);
	if (status == CTL_OK && diag.instance == NULL)
		status = CTL_DIFFERS;
	g_ptr_array_free(notes, TRUE);
	bsh_diagnosis_finish(&diag);
	bsh_log_read_finish(&log);
	return status;
}

/* summary */

typedef struct {
	char *key;	/* "minute kind route end reason", separated by tabs */
	uint32_t count; /* of requests */
} group_t;

static char *group_key(const bsh_log_line_t *line)
{
	g_autofree char *kind = bsh_log_value(line, "kind");
	g_autofree char *route = bsh_log_value(line, "route");
	g_autofree char *end = bsh_log_value(line, "end");
	g_autofree char *reason = bsh_log_value(line, "reason");
	char minute[40];

	format_time(line->stamp.physical_us, minute, sizeof(minute));
	g_strlcpy(minute + strlen("2026-06-15T02:18"), "Z", 2);
	return g_strdup_printf(
		"%s\t%s\t%s\t%s\t%s", minute, kind != NULL ? kind : "?",
		route != NULL ? route : "?", end != NULL ? end : "?",
		reason != NULL ? reason : "?");
}

static gint compare_groups(gconstpointer a, gconstpointer b)
{
	return strcmp((*(const group_t *const *)a)->key,
		      (*(const group_t *const *)b)->key);
}

static void free_group(gpointer data)
{
	group_t *group = data;

	g_free(group->key);
	g_free(group);
}

static GPtrArray *count_ends(const ctl_options_t *o, const bsh_log_t *log)
{
	GHashTable *table = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *groups = g_ptr_array_new_with_free_func(free_group);

	for (guint i = 0; i < log->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(log->lines, i);
		char *key;
		group_t *group;

		if (strcmp(line->event, "request") != 0 ||
		    (!o->all && bsh_log_value_is(line, "end", "answered")))
			continue;
		key = group_key(line);
		group = g_hash_table_lookup(table, key);
		if (group == NULL) {
			group = g_new0(group_t, 1);
			group->key = g_steal_pointer(&key);
			g_hash_table_insert(table, group->key, group);
			g_ptr_array_add(groups, group);
		}
		group->count++;
		g_free(key);
	}
	g_hash_table_destroy(table);
	g_ptr_array_sort(groups, compare_groups);
	return groups;
}

static void print_summary_json(const GPtrArray *groups, const GPtrArray *notes)
{
	json_t *array = json_array();

	for (guint i = 0; i < groups->len; i++) {
		const group_t *group = g_ptr_array_index(groups, i);
		char **cells = g_strsplit(group->key, "\t", 5);

		json_array_append_new(
			array, bsh_json_pack("{s:s, s:s, s:s, s:s, s:s, s:i}",
					     "minute", cells[0], "kind",
					     cells[1], "route", cells[2], "end",
					     cells[3], "reason", cells[4],
					     "count", (int)group->count));
		g_strfreev(cells);
	}
	ctl_print_json(bsh_json_pack("{s:o, s:o}", "requests", array, "notes",
				     notes_json(notes)));
}

static void print_summary(const ctl_options_t *o, const GPtrArray *groups)
{
	if (!o->no_header)
		puts("MINUTE\tKIND\tROUTE\tEND\tREASON\tCOUNT");
	for (guint i = 0; i < groups->len; i++) {
		const group_t *group = g_ptr_array_index(groups, i);
		char **cells = g_strsplit(group->key, "\t", 5);

		for (int c = 0; cells[c] != NULL; c++)
			ctl_print_field(cells[c], false);
		printf("%u\n", group->count);
		g_strfreev(cells);
	}
}

int ctl_summary(ctl_t *ctl)
{
	const ctl_options_t *o = &ctl->options;
	GPtrArray *groups;
	GPtrArray *notes;
	bsh_log_t log;
	ctl_status_t status = read_logs(ctl, 0, &log);

	groups = count_ends(o, &log);
	notes = bsh_log_notes(&log);
	if (o->json)
		print_summary_json(groups, notes);
	else
		print_summary(o, groups);
	if (!o->json)
		print_notes(notes);
	g_ptr_array_free(groups, TRUE);
	g_ptr_array_free(notes, TRUE);
	bsh_log_read_finish(&log);
	return status;
}
