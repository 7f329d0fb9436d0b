#include "operator/log_read.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* "2026-06-15T02:18:51.048Z" */
#define TIME_BYTES 24
/* Smaller clock differences do not mislead the reader of a log. */
#define CLOCK_LAG_NOTE_US INT64_C(100000)
/* Number of instances named in one note. */
#define NAMES_MAX 8U

void bsh_log_read_init(bsh_log_t *log)
{
	memset(log, 0, sizeof(*log));
	log->text = g_string_chunk_new(4096);
}

static void free_line(gpointer data)
{
	bsh_log_line_t *line = data;

	g_free(line->event);
	g_free(line->details);
	g_free(line);
}

void bsh_log_read_finish(bsh_log_t *log)
{
	if (log->lines != NULL)
		g_ptr_array_free(log->lines, TRUE);
	g_string_chunk_free(log->text);
}

static bool is_time(const char *at, gsize size)
{
	static const char shape[] = "dddd-dd-ddTdd:dd:dd.dddZ";

	if (size < TIME_BYTES)
		return false;
	for (int i = 0; i < TIME_BYTES; i++) {
		if (shape[i] == 'd' ? !g_ascii_isdigit(at[i])
				    : at[i] != shape[i])
			return false;
	}
	return true;
}

static bool parse_time(const char *at, int64_t *time_us)
{
	char text[TIME_BYTES + 1];
	g_autoptr(GDateTime) time = NULL;

	memcpy(text, at, TIME_BYTES);
	text[TIME_BYTES] = '\0';
	time = g_date_time_new_from_iso8601(text, NULL);
	if (time == NULL)
		return false;
	*time_us = g_date_time_to_unix(time) * G_USEC_PER_SEC +
		   g_date_time_get_microsecond(time);
	return true;
}

/* Returns the last word before the time, where log collectors put the source;
 * fallback if there is none. */
static const char *instance_from_prefix(bsh_log_t *log, const char *prefix,
					gsize size, const char *fallback)
{
	gsize end = size;
	gsize begin;

	while (end > 0 && strchr(" \t|:[]", prefix[end - 1]) != NULL)
		end--;
	begin = end;
	while (begin > 0 && strchr(" \t|[", prefix[begin - 1]) == NULL)
		begin--;
	if (begin == end)
		return fallback;
	return g_string_chunk_insert_const(
		log->text, g_string_chunk_insert_len(log->text, prefix + begin,
						     (gssize)(end - begin)));
}

/* Parses the stamp at the end of the details and removes it from them. */
static bool strip_stamp(char *details, bsh_hlc_stamp_t *stamp)
{
	char *at = g_strrstr(details, "hlc=");
	gint64 physical_us;
	guint64 logical;
	char *end;

	if (at == NULL || (at != details && at[-1] != ' '))
		return false;
	physical_us = g_ascii_strtoll(at + 4, &end, 10);
	if (*end != '.' || physical_us <= 0)
		return false;
	logical = g_ascii_strtoull(end + 1, &end, 10);
	if (*end != '\0' || logical > UINT32_MAX)
		return false;
	stamp->physical_us = physical_us;
	stamp->logical = (uint32_t)logical;
	*at = '\0';
	g_strchomp(details);
	return true;
}

/* Returns the instance of "program/instance:"; NULL if it names none. */
static const char *instance_from_program(bsh_log_t *log, const char *program)
{
	const char *slash = strchr(program, '/');
	const char *colon = strrchr(program, ':');

	if (slash == NULL || colon == NULL || colon <= slash + 1)
		return NULL;
	return g_string_chunk_insert_const(
		log->text, g_string_chunk_insert_len(log->text, slash + 1,
						     colon - slash - 1));
}

/* Parses "TIME LEVEL PROGRAM: EVENT DETAILS". */
static bool parse_line(bsh_log_t *log, const char *text, bsh_log_line_t *line)
{
	char **words = g_strsplit(text, " ", 5);
	const char *instance;
	bool parsed = g_strv_length(words) >= 4 &&
		      g_str_has_suffix(words[2], ":") && words[3][0] != '\0' &&
		      parse_time(words[0], &line->time_us);

	if (!parsed)
		goto out;
	instance = instance_from_program(log, words[2]);
	line->level = g_string_chunk_insert_const(log->text, words[1]);
	line->event = g_strdup(words[3]);
	line->details = g_strdup(words[4] != NULL ? words[4] : "");
	line->has_stamp = strip_stamp(line->details, &line->stamp);
	/* A line that names its instance is written with a stamp at its end; a
	 * missing stamp means that the line was truncated. */
	if (instance != NULL && !line->has_stamp)
		log->truncated++;
	if (instance != NULL)
		line->instance = instance;
	if (!line->has_stamp)
		line->stamp.physical_us = line->time_us;
out:
	g_strfreev(words);
	return parsed;
}

static void add_line(bsh_log_t *log, const char *source, const char *text,
		     gsize size)
{
	bsh_log_line_t line = { .read_index = log->lines->len };
	g_autofree char *copy = NULL;
	gsize at = 0;

	while (at < size && !is_time(text + at, size - at))
		at++;
	if (at == size) {
		log->malformed += size > 0;
		return;
	}
	line.instance = instance_from_prefix(log, text, at, source);
	copy = g_strndup(text + at, size - at);
	g_strchomp(copy);
	if (!parse_line(log, copy, &line)) {
		log->malformed++;
		return;
	}
	if (strcmp(line.event, "log-dropped") == 0)
		log->dropped +=
			(uint64_t)MAX(bsh_log_number(&line, "lines", 0), 0);
	g_ptr_array_add(log->lines, g_memdup2(&line, sizeof(line)));
}

void bsh_log_read_text(bsh_log_t *log, const char *source, const char *text,
		       gsize size)
{
	const char *name = g_string_chunk_insert_const(log->text, source);
	const char *end = text + size;

	if (log->lines == NULL)
		log->lines = g_ptr_array_new_with_free_func(free_line);
	while (text < end) {
		const char *line_end = memchr(text, '\n', (gsize)(end - text));

		if (line_end == NULL)
			line_end = end;
		add_line(log, name, text, (gsize)(line_end - text));
		text = line_end + 1;
	}
}

static bool read_stdin(GString *text, char **problem)
{
	char block[65536];
	size_t n;

	while ((n = fread(block, 1, sizeof(block), stdin)) > 0)
		g_string_append_len(text, block, (gssize)n);
	if (ferror(stdin) == 0)
		return true;
	*problem = g_strdup("cannot read standard input");
	return false;
}

bool bsh_log_read_file(bsh_log_t *log, const char *path, char **problem)
{
	g_autoptr(GString) input = g_string_new(NULL);
	g_autoptr(GMappedFile) file = NULL;
	g_autoptr(GError) error = NULL;
	g_autofree char *name = NULL;

	if (strcmp(path, "-") == 0) {
		if (!read_stdin(input, problem))
			return false;
		bsh_log_read_text(log, "?", input->str, input->len);
		return true;
	}
	file = g_mapped_file_new(path, FALSE, &error);
	if (file == NULL) {
		*problem = g_strdup(error->message);
		return false;
	}
	name = g_path_get_basename(path);
	if (g_str_has_suffix(name, ".log"))
		name[strlen(name) - 4] = '\0';
	if (g_mapped_file_get_length(file) > 0)
		bsh_log_read_text(log, name, g_mapped_file_get_contents(file),
				  g_mapped_file_get_length(file));
	return true;
}

static gint compare_lines(gconstpointer a, gconstpointer b)
{
	const bsh_log_line_t *x = *(const bsh_log_line_t *const *)a;
	const bsh_log_line_t *y = *(const bsh_log_line_t *const *)b;
	int order = bsh_hlc_compare(x->stamp, y->stamp);

	if (order == 0)
		order = strcmp(x->instance, y->instance);
	if (order == 0)
		order = x->read_index < y->read_index
				? -1
				: x->read_index > y->read_index;
	return order;
}

/* An instance issues each stamp once, so that equal stamps of one instance mean
 * the same line. */
static bool is_duplicate(const bsh_log_line_t *a, const bsh_log_line_t *b)
{
	return a->has_stamp && b->has_stamp &&
	       bsh_hlc_compare(a->stamp, b->stamp) == 0 &&
	       strcmp(a->instance, b->instance) == 0 &&
	       strcmp(a->event, b->event) == 0 &&
	       strcmp(a->details, b->details) == 0;
}

void bsh_log_read_sort(bsh_log_t *log)
{
	GPtrArray *kept = g_ptr_array_new_with_free_func(free_line);

	if (log->lines == NULL) {
		log->lines = kept;
		return;
	}
	g_ptr_array_sort(log->lines, compare_lines);
	g_ptr_array_set_free_func(log->lines, NULL);
	for (guint i = 0; i < log->lines->len; i++) {
		bsh_log_line_t *line = g_ptr_array_index(log->lines, i);

		if (kept->len > 0 &&
		    is_duplicate(line, g_ptr_array_index(kept, kept->len - 1)))
			free_line(line);
		else
			g_ptr_array_add(kept, line);
	}
	g_ptr_array_free(log->lines, TRUE);
	log->lines = kept;
}

/* Returns the value of a key, not terminated, and its size; NULL if the key is
 * absent.  A value ends at a blank, or at its closing quote. */
static const char *find_value(const bsh_log_line_t *line, const char *key,
			      gsize *size)
{
	gsize key_size = strlen(key);
	const char *at = line->details;

	while (*at != '\0') {
		const char *equals = strchr(at, '=');
		const char *value;
		const char *end;

		if (equals == NULL)
			return NULL;
		value = equals + 1;
		if (*value == '"') {
			value++;
			end = strchr(value, '"');
		} else {
			end = strchr(value, ' ');
		}
		*size = end != NULL ? (gsize)(end - value) : strlen(value);
		if ((gsize)(equals - at) == key_size &&
		    strncmp(at, key, key_size) == 0)
			return value;
		if (end == NULL)
			return NULL;
		at = *end == '"' ? end + 1 : end;
		while (*at == ' ')
			at++;
	}
	return NULL;
}

char *bsh_log_value(const bsh_log_line_t *line, const char *key)
{
	gsize size;
	const char *value = find_value(line, key, &size);

	return value != NULL ? g_strndup(value, size) : NULL;
}

bool bsh_log_value_is(const bsh_log_line_t *line, const char *key,
		      const char *value)
{
	gsize size;
	const char *found = find_value(line, key, &size);

	return found != NULL && strlen(value) == size &&
	       strncmp(found, value, size) == 0;
}

int64_t bsh_log_number(const bsh_log_line_t *line, const char *key,
		       int64_t fallback)
{
	gsize size;
	const char *value = find_value(line, key, &size);
	char *end;
	gint64 number;

	if (value == NULL || size == 0)
		return fallback;
	number = g_ascii_strtoll(value, &end, 10);
	return end == value + size ? number : fallback;
}

/* Facts about one instance that the notes report. */
typedef struct {
	const char *name;
	bool has_log;
	bool has_start;
	GArray *clock_lag_us; /* int64_t; behind the fastest clock, by line */
} instance_t;

static instance_t *get_instance(GHashTable *table, const char *name)
{
	instance_t *instance = g_hash_table_lookup(table, name);

	if (instance != NULL)
		return instance;
	instance = g_new0(instance_t, 1);
	instance->name = name;
	instance->clock_lag_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	g_hash_table_insert(table, (gpointer)name, instance);
	return instance;
}

static void free_instance(gpointer data)
{
	instance_t *instance = data;

	g_array_free(instance->clock_lag_us, TRUE);
	g_free(instance);
}

/* Adds the instance that a line of another instance names. */
static void add_named_instance(const bsh_log_t *log, GHashTable *table,
			       const bsh_log_line_t *line)
{
	g_autofree char *name = NULL;

	if (strcmp(line->event, "instance") != 0 &&
	    strcmp(line->event, "order-holder") != 0)
		return;
	name = bsh_log_value(line, "name");
	if (name != NULL && name[0] != '\0')
		get_instance(table,
			     g_string_chunk_insert_const(log->text, name));
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp((*(const instance_t *const *)a)->name,
		      (*(const instance_t *const *)b)->name);
}

static GPtrArray *collect_instances(const bsh_log_t *log, GHashTable *table)
{
	GPtrArray *instances = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < log->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(log->lines, i);
		instance_t *instance = get_instance(table, line->instance);
		int64_t clock_lag_us = line->stamp.physical_us - line->time_us;

		instance->has_log = true;
		if (strcmp(line->event, "start") == 0)
			instance->has_start = true;
		if (line->has_stamp)
			g_array_append_val(instance->clock_lag_us,
					   clock_lag_us);
		add_named_instance(log, table, line);
	}
	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(instances, value);
	g_ptr_array_sort(instances, compare_names);
	return instances;
}

static void add_instance_note(GPtrArray *notes, const GPtrArray *instances,
			      bool (*matches)(const instance_t *instance),
			      const char *text)
{
	g_autoptr(GString) names = g_string_new(NULL);
	guint n = 0;

	for (guint i = 0; i < instances->len; i++) {
		const instance_t *instance = g_ptr_array_index(instances, i);

		if (!matches(instance))
			continue;
		if (++n <= NAMES_MAX)
			g_string_append_printf(names, "%s%s", n > 1 ? ", " : "",
					       instance->name);
	}
	if (n > NAMES_MAX)
		g_string_append_printf(names, " and %u more", n - NAMES_MAX);
	if (n > 0)
		g_ptr_array_add(notes,
				g_strdup_printf("%s: %s", text, names->str));
}

static bool has_no_log(const instance_t *instance)
{
	return !instance->has_log;
}

static bool lacks_start(const instance_t *instance)
{
	return instance->has_log && !instance->has_start;
}

static void add_clock_notes(GPtrArray *notes, const GPtrArray *instances)
{
	for (guint i = 0; i < instances->len; i++) {
		const instance_t *instance = g_ptr_array_index(instances, i);
		GArray *lags = instance->clock_lag_us;
		int64_t median_us;

		if (lags->len == 0)
			continue;
		/* The median, because the first lines are written before any
		 * message has advanced the stamp. */
		g_array_sort(lags, compare_times);
		median_us = g_array_index(lags, int64_t, lags->len / 2);
		if (median_us >= CLOCK_LAG_NOTE_US)
			g_ptr_array_add(
				notes,
				g_strdup_printf(
					"the clock of %s is %" G_GINT64_FORMAT
					" ms behind the fastest one",
					instance->name,
					(gint64)(median_us / 1000)));
	}
}

static void add_count(GPtrArray *notes, uint64_t n, const char *text)
{
	if (n > 0)
		g_ptr_array_add(notes,
				g_strdup_printf("%" G_GUINT64_FORMAT " %s",
						(guint64)n, text));
}

GPtrArray *bsh_log_notes(const bsh_log_t *log)
{
	GPtrArray *notes = g_ptr_array_new_with_free_func(g_free);
	GHashTable *table = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  free_instance);
	GPtrArray *instances = collect_instances(log, table);

	add_count(notes, log->truncated, "lines are cut");
	add_count(notes, log->malformed, "lines cannot be read");
	add_count(notes, log->dropped,
		  "lines were left out by instances (log-dropped)");
	add_instance_note(notes, instances, has_no_log,
			  "no log was read for instances that others name");
	add_instance_note(notes, instances, lacks_start,
			  "the log does not go back to the start of");
	add_clock_notes(notes, instances);
	g_ptr_array_free(instances, TRUE);
	g_hash_table_destroy(table);
	return notes;
}
