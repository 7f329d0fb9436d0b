#include "draft.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json_text.h"

#define NUMBER_TEXT_MAX_BYTES 64

static const draft_field_t settings_fields[] = {
	{ "deployment", "Deployment", DRAFT_FIELD_TEXT,
	  "name of this deployment" },
	{ "weight", "Weight", DRAFT_FIELD_NUMBER,
	  "0: only cold-start time counts, 1: only idle accelerator hours" },
	{ "loads_per_s", "Loads per second", DRAFT_FIELD_NUMBER,
	  "that the weight store allows" },
	{ "concurrent", "Concurrent loads", DRAFT_FIELD_NUMBER,
	  "at full speed of the weight store" },
};

static const draft_field_t pool_fields[] = {
	{ "name", "Name", DRAFT_FIELD_TEXT, "" },
	{ "kind", "Kind", DRAFT_FIELD_POOL_KIND, "of its targets" },
	{ "fencing", "Fencing", DRAFT_FIELD_BOOL,
	  "targets refuse orders with an old fencing number" },
	{ "memory_mib", "Memory (MiB)", DRAFT_FIELD_NUMBER,
	  "accelerator memory of each target" },
	{ "max_running", "Max running", DRAFT_FIELD_NUMBER,
	  "requests that one target runs at most" },
	{ "cells", "Cells", DRAFT_FIELD_NUMBER,
	  "placement objects of the pool" },
};

static const draft_field_t model_fields[] = {
	{ "name", "Name", DRAFT_FIELD_TEXT, "" },
	{ "version", "Version", DRAFT_FIELD_TEXT, "" },
	{ "pool", "Pool", DRAFT_FIELD_POOL_NAME, "of kind engine" },
	{ "base", "Base", DRAFT_FIELD_TEXT,
	  "makes it an adapter of this model" },
	{ "memory_mib", "Memory (MiB)", DRAFT_FIELD_NUMBER, "of one replica" },
	{ "max_replicas", "Max replicas", DRAFT_FIELD_NUMBER, "" },
	{ "priority", "Priority", DRAFT_FIELD_NUMBER,
	  "0 is the highest, 9 the lowest" },
	{ "load_ms", "Load (ms)", DRAFT_FIELD_NUMBER, "expected load time" },
	{ "deadline_ms", "Deadline (ms)", DRAFT_FIELD_NUMBER, "" },
	{ "repeatable", "Repeatable", DRAFT_FIELD_BOOL, "" },
};

static const draft_field_t service_fields[] = {
	{ "name", "Name", DRAFT_FIELD_TEXT, "part of the URL" },
	{ "pool", "Pool", DRAFT_FIELD_POOL_NAME, "of kind service" },
	{ "repeatable", "Repeatable", DRAFT_FIELD_BOOL,
	  "false: a call runs at most once" },
	{ "deadline_ms", "Deadline (ms)", DRAFT_FIELD_NUMBER, "" },
};

static const draft_section_t sections[] = {
	{ DRAFT_SETTINGS, "Settings", "settings", settings_fields,
	  G_N_ELEMENTS(settings_fields) },
	{ "pools", "Pools", "pool", pool_fields, G_N_ELEMENTS(pool_fields) },
	{ "models", "Models and adapters", "model or adapter", model_fields,
	  G_N_ELEMENTS(model_fields) },
	{ "services", "Services", "service", service_fields,
	  G_N_ELEMENTS(service_fields) },
};

const draft_section_t *draft_sections(size_t *count)
{
	*count = G_N_ELEMENTS(sections);
	return sections;
}

const draft_section_t *draft_section(const char *name)
{
	for (size_t i = 0; name != NULL && i < G_N_ELEMENTS(sections); i++) {
		if (strcmp(sections[i].name, name) == 0)
			return &sections[i];
	}
	return NULL;
}

static const char *get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL ? text : "";
}

void draft_init(draft_t *draft, int64_t generation)
{
	draft->generation = generation;
	draft->changes = json_array();
}

void draft_finish(draft_t *draft)
{
	json_decref(draft->changes);
	draft->changes = NULL;
}

static bool is_valid_change(const json_t *change)
{
	const json_t *base = json_object_get(change, "base");
	const json_t *value = json_object_get(change, "value");

	return draft_section(get_string(change, "section")) != NULL &&
	       get_string(change, "id")[0] != '\0' &&
	       (json_is_object(base) || json_is_null(base)) &&
	       (json_is_object(value) || json_is_null(value));
}

bool draft_parse(draft_t *draft, const char *generation, const char *changes)
{
	char *end;
	size_t index;
	json_t *change;

	if (generation == NULL || changes == NULL || generation[0] < '0' ||
	    generation[0] > '9')
		return false;
	draft->generation = g_ascii_strtoll(generation, &end, 10);
	if (*end != '\0' || draft->generation < 0)
		return false;
	draft->changes = json_loads(changes, JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_array(draft->changes) ||
	    json_array_size(draft->changes) > DRAFT_CHANGES_MAX)
		goto fail;
	json_array_foreach(draft->changes, index, change)
	{
		if (!is_valid_change(change))
			goto fail;
	}
	return true;
fail:
	draft_finish(draft);
	return false;
}

char *draft_text(const draft_t *draft)
{
	return bsh_json_text(draft->changes, JSON_COMPACT);
}

static json_t *new_settings_entry(const json_t *document)
{
	const json_t *store = json_object_get(document, "weight_store");
	json_t *entry = json_object();

	/* json_object_set() fails for a NULL value, so a missing member stays
	 * missing. */
	json_object_set(entry, "deployment",
			json_object_get(document, "deployment"));
	json_object_set(entry, "weight", json_object_get(document, "weight"));
	json_object_set(entry, "loads_per_s",
			json_object_get(store, "loads_per_s"));
	json_object_set(entry, "concurrent",
			json_object_get(store, "concurrent"));
	return entry;
}

json_t *draft_document_entry(const json_t *document, const char *section,
			     const char *id)
{
	size_t index;
	json_t *entry;

	if (strcmp(section, DRAFT_SETTINGS) == 0)
		return new_settings_entry(document);
	json_array_foreach(json_object_get(document, section), index, entry)
	{
		if (strcmp(get_string(entry, "name"), id) == 0)
			return json_incref(entry);
	}
	return NULL;
}

static size_t find_change(const draft_t *draft, const char *section,
			  const char *id)
{
	size_t index;
	json_t *change;

	json_array_foreach(draft->changes, index, change)
	{
		if (strcmp(get_string(change, "section"), section) == 0 &&
		    strcmp(get_string(change, "id"), id) == 0)
			return index;
	}
	return SIZE_MAX;
}

json_t *draft_change(const draft_t *draft, const char *section, const char *id)
{
	size_t index = find_change(draft, section, id);

	return index != SIZE_MAX ? json_array_get(draft->changes, index) : NULL;
}

json_t *draft_entry(const draft_t *draft, const json_t *document,
		    const char *section, const char *id)
{
	json_t *change = draft_change(draft, section, id);
	json_t *value = json_object_get(change, "value");

	if (change == NULL)
		return draft_document_entry(document, section, id);
	return json_is_object(value) ? json_incref(value) : NULL;
}

void draft_revert(draft_t *draft, const char *section, const char *id)
{
	size_t index = find_change(draft, section, id);

	if (index != SIZE_MAX)
		json_array_remove(draft->changes, index);
}

void draft_set_entry(draft_t *draft, const json_t *document,
		     const char *section, const char *id, json_t *value)
{
	json_t *change = draft_change(draft, section, id);
	json_t *base = draft_document_entry(document, section, id);

	/* Neither a new entry that is removed again nor a value equal to that
	 * of the document is a change. */
	if ((value == NULL && base == NULL) ||
	    (value != NULL && base != NULL && json_equal(value, base))) {
		draft_revert(draft, section, id);
	} else if (change != NULL) {
		json_object_set_new(change, "value",
				    value != NULL ? json_incref(value)
						  : json_null());
	} else {
		change = bsh_json_pack("{s:s, s:s, s:O?, s:O?}", "section",
				       section, "id", id, "base", base, "value",
				       value);
		if (change != NULL)
			json_array_append_new(draft->changes, change);
	}
	json_decref(base);
}

char *draft_new_id(const draft_t *draft, const char *section)
{
	for (unsigned int n = 1;; n++) {
		char *id = g_strdup_printf("+%u", n);

		if (draft_change(draft, section, id) == NULL)
			return id;
		g_free(id);
	}
}

static json_t *parse_value(const draft_field_t *field, const char *text)
{
	json_t *value = NULL;

	if (field->type == DRAFT_FIELD_BOOL && strcmp(text, "true") == 0)
		return json_true();
	if (field->type == DRAFT_FIELD_BOOL && strcmp(text, "false") == 0)
		return json_false();
	if (field->type == DRAFT_FIELD_NUMBER &&
	    strlen(text) < NUMBER_TEXT_MAX_BYTES)
		value = json_loads(text, JSON_DECODE_ANY, NULL);
	if (value != NULL && !json_is_number(value)) {
		json_decref(value);
		value = NULL;
	}
	return value != NULL ? value : bsh_json_string(text);
}

void draft_parse_field(json_t *entry, const draft_field_t *field,
		       const char *text)
{
	g_autofree char *trimmed = g_strstrip(g_strdup(text));
	g_autofree char *before = draft_format_field(entry, field);
	json_t *value;

	/* Unchanged text keeps the exact value: the text of a real number is
	 * rounded. */
	if (strcmp(before, trimmed) == 0 &&
	    json_object_get(entry, field->key) != NULL)
		return;
	if (trimmed[0] == '\0') {
		json_object_del(entry, field->key);
		return;
	}
	value = parse_value(field, trimmed);
	if (value != NULL)
		json_object_set_new(entry, field->key, value);
}

char *draft_format_field(const json_t *entry, const draft_field_t *field)
{
	const json_t *value = json_object_get(entry, field->key);
	char *text;
	char *copy;

	if (value == NULL)
		return g_strdup("");
	if (json_is_string(value))
		return g_strdup(json_string_value(value));
	text = bsh_json_text(value, JSON_ENCODE_ANY | JSON_COMPACT |
					    JSON_REAL_PRECISION(15));
	copy = g_strdup(text != NULL ? text : "");
	free(text);
	return copy;
}

GPtrArray *draft_entry_ids(const draft_t *draft, const json_t *document,
			   const char *section)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	GHashTable *in_document = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *removed = g_hash_table_new(g_str_hash, g_str_equal);
	size_t index;
	json_t *entry;

	json_array_foreach(draft->changes, index, entry)
	{
		if (json_is_null(json_object_get(entry, "value")) &&
		    strcmp(get_string(entry, "section"), section) == 0)
			g_hash_table_add(removed,
					 (gpointer)get_string(entry, "id"));
	}
	json_array_foreach(json_object_get(document, section), index, entry)
	{
		const char *name = get_string(entry, "name");

		g_hash_table_add(in_document, (gpointer)name);
		if (!g_hash_table_contains(removed, name))
			g_ptr_array_add(ids, g_strdup(name));
	}
	/* New entries, and changed ones that another operator removed from the
	 * document. */
	json_array_foreach(draft->changes, index, entry)
	{
		const char *id = get_string(entry, "id");

		if (strcmp(get_string(entry, "section"), section) == 0 &&
		    !g_hash_table_contains(in_document, id) &&
		    !g_hash_table_contains(removed, id))
			g_ptr_array_add(ids, g_strdup(id));
	}
	g_hash_table_destroy(in_document);
	g_hash_table_destroy(removed);
	return ids;
}

static void build_settings(const draft_t *draft, json_t *drafted)
{
	json_t *entry =
		draft_entry(draft, drafted, DRAFT_SETTINGS, DRAFT_SETTINGS);
	json_t *store = json_object();

	json_object_del(drafted, "deployment");
	json_object_del(drafted, "weight");
	json_object_set(drafted, "deployment",
			json_object_get(entry, "deployment"));
	json_object_set(drafted, "weight", json_object_get(entry, "weight"));
	json_object_set(store, "loads_per_s",
			json_object_get(entry, "loads_per_s"));
	json_object_set(store, "concurrent",
			json_object_get(entry, "concurrent"));
	json_object_set_new(drafted, "weight_store", store);
	json_decref(entry);
}

/* draft_entry() is linear in the size of the section, so all entries are
 * looked up in a hash table. */
static json_t *build_section(const draft_t *draft, const json_t *document,
			     const char *section)
{
	GPtrArray *ids = draft_entry_ids(draft, document, section);
	GHashTable *table = g_hash_table_new(g_str_hash, g_str_equal);
	json_t *list = json_array();
	size_t index;
	json_t *entry;

	json_array_foreach(json_object_get(document, section), index, entry)
	{
		g_hash_table_insert(table, (gpointer)get_string(entry, "name"),
				    entry);
	}
	json_array_foreach(draft->changes, index, entry)
	{
		if (strcmp(get_string(entry, "section"), section) == 0)
			g_hash_table_insert(table,
					    (gpointer)get_string(entry, "id"),
					    json_object_get(entry, "value"));
	}
	for (guint i = 0; i < ids->len; i++)
		json_array_append(
			list,
			g_hash_table_lookup(table, g_ptr_array_index(ids, i)));
	g_hash_table_destroy(table);
	g_ptr_array_free(ids, TRUE);
	return list;
}

json_t *draft_build_document(const draft_t *draft, const json_t *document)
{
	json_t *drafted = document != NULL ? json_copy((json_t *)document)
					   : json_object();

	build_settings(draft, drafted);
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		const char *name = sections[i].name;

		if (strcmp(name, DRAFT_SETTINGS) != 0)
			json_object_set_new(
				drafted, name,
				build_section(draft, document, name));
	}
	return drafted;
}

bool draft_change_conflicts(const json_t *change, const json_t *document)
{
	json_t *base =
		draft_document_entry(document, get_string(change, "section"),
				     get_string(change, "id"));
	const json_t *before = json_object_get(change, "base");
	bool same =
		base != NULL ? json_equal(base, before) : json_is_null(before);

	json_decref(base);
	return !same;
}

static void clear_problem(gpointer data)
{
	draft_problem_t *problem = data;

	g_free(problem->id);
	g_free(problem->field);
	g_free(problem->path);
	g_free(problem->value);
	g_free(problem->allowed);
}

typedef struct {
	const char *section;
	GPtrArray *ids;
	GHashTable *by_name; /* name -> position in ids + 1 */
} entry_index_t;

/* When two entries have the same name, by_name refers to the later one, which
 * is the one added to the draft. */
static void init_index(entry_index_t *index, const draft_t *draft,
		       const json_t *document, const json_t *drafted,
		       const char *section)
{
	size_t position;
	json_t *entry;

	index->section = section;
	index->ids = draft_entry_ids(draft, document, section);
	index->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	json_array_foreach(json_object_get(drafted, section), position, entry)
	{
		g_hash_table_insert(index->by_name,
				    (gpointer)get_string(entry, "name"),
				    GSIZE_TO_POINTER(position + 1));
	}
}

static void finish_index(entry_index_t *index)
{
	g_ptr_array_free(index->ids, TRUE);
	g_hash_table_destroy(index->by_name);
}

static void set_location(draft_problem_t *problem, const entry_index_t *index,
			 size_t position, const char *field)
{
	if (position >= index->ids->len)
		return;
	problem->section = index->section;
	problem->id = g_strdup(g_ptr_array_index(index->ids, position));
	problem->field = g_strdup(field);
}

/* "NAME" or "NAME.FIELD".  A name may contain dots, so the longest prefix that
 * is the name of an entry is used. */
static void locate_by_name(draft_problem_t *problem, const entry_index_t *index,
			   const char *text)
{
	g_autofree char *name = g_strdup(text);
	size_t length = strlen(name);

	for (;;) {
		size_t position = GPOINTER_TO_SIZE(
			g_hash_table_lookup(index->by_name, name));
		char *dot = strrchr(name, '.');

		if (position != 0) {
			set_location(problem, index, position - 1,
				     strlen(name) < length
					     ? text + strlen(name) + 1
					     : "");
			return;
		}
		if (dot == NULL)
			return;
		*dot = '\0';
	}
}

/* "[POSITION]" or "[POSITION].FIELD" */
static void locate_by_position(draft_problem_t *problem,
			       const entry_index_t *index, const char *text)
{
	char *end;
	guint64 position = g_ascii_strtoull(text + 1, &end, 10);

	if (*end == ']')
		set_location(problem, index, position,
			     end[1] == '.' ? end + 2 : "");
}

static void locate_in_section(draft_problem_t *problem,
			      const entry_index_t *index)
{
	size_t length = strlen(index->section);
	const char *rest = problem->path + length;

	if (!g_str_has_prefix(problem->path, index->section))
		return;
	if (rest[0] == '/')
		locate_by_name(problem, index, rest + 1);
	else if (rest[0] == '[')
		locate_by_position(problem, index, rest);
}

static void locate_in_settings(draft_problem_t *problem)
{
	static const char store[] = "weight_store";
	const char *path = problem->path;

	if (strcmp(path, "deployment") != 0 && strcmp(path, "weight") != 0 &&
	    !g_str_has_prefix(path, store))
		return;
	problem->section = DRAFT_SETTINGS;
	problem->id = g_strdup(DRAFT_SETTINGS);
	if (g_str_has_prefix(path, "weight_store."))
		path += strlen("weight_store.");
	problem->field = g_strdup(path);
}

GArray *draft_locate_problems(const draft_t *draft, const json_t *document,
			      const json_t *problems)
{
	GArray *located = g_array_new(FALSE, TRUE, sizeof(draft_problem_t));
	json_t *drafted = draft_build_document(draft, document);
	entry_index_t indexes[G_N_ELEMENTS(sections)];
	size_t index;
	json_t *json;

	g_array_set_clear_func(located, clear_problem);
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++)
		init_index(&indexes[i], draft, document, drafted,
			   sections[i].name);
	json_array_foreach((json_t *)problems, index, json)
	{
		draft_problem_t problem = { 0 };

		problem.path = g_strdup(get_string(json, "path"));
		problem.value = g_strdup(get_string(json, "value"));
		problem.allowed = g_strdup(get_string(json, "allowed"));
		locate_in_settings(&problem);
		for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
			if (problem.section == NULL)
				locate_in_section(&problem, &indexes[i]);
		}
		g_array_append_val(located, problem);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++)
		finish_index(&indexes[i]);
	json_decref(drafted);
	return located;
}
