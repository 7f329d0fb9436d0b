#include "state/document.h"

#include <math.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/json_text.h"
#include "state/cell.h"

#define VALUE_SHOWN_MAX_BYTES 80
#define DEADLINE_DEFAULT_MS   30000
#define DEADLINE_MAX_MS	      3600000
#define LOAD_DEFAULT_MS	      10000
#define LOAD_MAX_MS	      3600000
#define PRIORITY_DEFAULT      5
#define PRIORITY_MAX	      9
#define REPLICAS_MAX	      1024
#define RUNNING_DEFAULT	      64
#define RUNNING_MAX	      100000
#define CELLS_MAX	      256
#define MEMORY_MAX_MIB	      (64 * 1024 * 1024)
#define LOADS_PER_S_MAX	      10000
#define LOAD_CONCURRENT_MAX   10000

typedef enum {
	FIELD_NAME,    /* letters, digits and "._:/-" */
	FIELD_SEGMENT, /* name used as a path segment of a URL: no slash */
	FIELD_TEXT,    /* any text, may be empty */
	FIELD_UINT,
	FIELD_NUMBER,
	FIELD_BOOL,
	FIELD_KIND /* "engine" or "service" */
} field_type_t;

typedef struct {
	const char *key;
	field_type_t type;
	bool required;
	size_t offset; /* in the entry, which holds the defaults */
	double min;    /* for FIELD_UINT and FIELD_NUMBER */
	double max;
} field_t;

#define OFFSET(type, member) offsetof(type, member)

static const field_t pool_fields[] = {
	{ "name", FIELD_NAME, true, OFFSET(bsh_doc_pool_t, name), 0, 0 },
	{ "kind", FIELD_KIND, true, OFFSET(bsh_doc_pool_t, kind), 0, 0 },
	{ "fencing", FIELD_BOOL, false, OFFSET(bsh_doc_pool_t, fencing), 0, 0 },
	{ "memory_mib", FIELD_UINT, false, OFFSET(bsh_doc_pool_t, memory_mib),
	  1, MEMORY_MAX_MIB },
	{ "max_running", FIELD_UINT, false, OFFSET(bsh_doc_pool_t, max_running),
	  1, RUNNING_MAX },
	{ "cells", FIELD_UINT, false, OFFSET(bsh_doc_pool_t, cells), 1,
	  CELLS_MAX },
};

/* "pool" is read by read_pool_name(), which resolves it to an index. */
static const field_t model_fields[] = {
	{ "name", FIELD_NAME, true, OFFSET(bsh_doc_model_t, name), 0, 0 },
	{ "version", FIELD_TEXT, false, OFFSET(bsh_doc_model_t, version), 0,
	  0 },
	{ "base", FIELD_NAME, false, OFFSET(bsh_doc_model_t, base), 0, 0 },
	{ "memory_mib", FIELD_UINT, true, OFFSET(bsh_doc_model_t, memory_mib),
	  1, MEMORY_MAX_MIB },
	{ "max_replicas", FIELD_UINT, true,
	  OFFSET(bsh_doc_model_t, max_replicas), 0, REPLICAS_MAX },
	{ "load_ms", FIELD_UINT, false, OFFSET(bsh_doc_model_t, load_ms), 1,
	  LOAD_MAX_MS },
	{ "deadline_ms", FIELD_UINT, false,
	  OFFSET(bsh_doc_model_t, deadline_ms), 1, DEADLINE_MAX_MS },
	{ "priority", FIELD_UINT, false, OFFSET(bsh_doc_model_t, priority), 0,
	  PRIORITY_MAX },
	{ "repeatable", FIELD_BOOL, false, OFFSET(bsh_doc_model_t, repeatable),
	  0, 0 },
};

/* repeatable has no default: if it were wrongly true, a retry could execute a
 * deposit twice. */
static const field_t service_fields[] = {
	{ "name", FIELD_SEGMENT, true, OFFSET(bsh_doc_service_t, name), 0, 0 },
	{ "deadline_ms", FIELD_UINT, false,
	  OFFSET(bsh_doc_service_t, deadline_ms), 1, DEADLINE_MAX_MS },
	{ "repeatable", FIELD_BOOL, true, OFFSET(bsh_doc_service_t, repeatable),
	  0, 0 },
};

static const char *const top_keys[] = { "deployment", "weight", "weight_store",
					"pools",      "models", "services" };
static const char *const sections[] = { "pools", "models", "services" };

static void clear_problem(gpointer data)
{
	bsh_doc_problem_t *problem = data;

	g_free(problem->path);
	g_free(problem->value);
	g_free(problem->allowed);
}

GArray *bsh_doc_problems_new(void)
{
	GArray *problems = g_array_new(FALSE, FALSE, sizeof(bsh_doc_problem_t));

	g_array_set_clear_func(problems, clear_problem);
	return problems;
}

json_t *bsh_doc_problems_json(const GArray *problems)
{
	json_t *list = json_array();

	for (guint i = 0; i < problems->len; i++) {
		const bsh_doc_problem_t *p =
			&g_array_index(problems, bsh_doc_problem_t, i);

		json_array_append_new(list,
				      bsh_json_pack("{s:s, s:s, s:s}", "path",
						    p->path, "value", p->value,
						    "allowed", p->allowed));
	}
	return list;
}

/* The value as JSON, cut at a UTF-8 boundary; empty when missing. */
static char *format_value(const json_t *value)
{
	char *text;
	char *shown;
	const char *end;

	if (value == NULL)
		return g_strdup("");
	text = bsh_json_text(value, JSON_ENCODE_ANY | JSON_COMPACT |
					    JSON_REAL_PRECISION(15));
	if (text == NULL)
		return g_strdup("");
	if (strlen(text) <= VALUE_SHOWN_MAX_BYTES) {
		shown = g_strdup(text);
	} else {
		g_utf8_validate(text, VALUE_SHOWN_MAX_BYTES, &end);
		shown = g_strdup_printf("%.*s...", (int)(end - text), text);
	}
	free(text);
	return shown;
}

static void add_problem(GArray *problems, const json_t *value,
			const char *allowed, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

static void add_problem(GArray *problems, const json_t *value,
			const char *allowed, const char *fmt, ...)
{
	bsh_doc_problem_t *problem;
	va_list ap;

	g_array_set_size(problems, problems->len + 1);
	problem =
		&g_array_index(problems, bsh_doc_problem_t, problems->len - 1);
	va_start(ap, fmt);
	problem->path = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	problem->value = format_value(value);
	problem->allowed = g_strdup(allowed);
}

static bool is_name(const char *text, bool allow_slash)
{
	size_t length = strlen(text);

	if (length == 0 || length >= BSH_DOC_NAME_SIZE ||
	    !g_ascii_isalnum(text[0]))
		return false;
	for (size_t i = 0; i < length; i++) {
		if (!g_ascii_isalnum(text[i]) &&
		    strchr("._:-", text[i]) == NULL &&
		    !(allow_slash && text[i] == '/'))
			return false;
	}
	return true;
}

static bool read_string(const field_t *field, const json_t *value, char *out)
{
	const char *text = json_string_value(value);

	if (text == NULL || strlen(text) != json_string_length(value))
		return false;
	if (field->type != FIELD_TEXT &&
	    !is_name(text, field->type == FIELD_NAME))
		return false;
	return g_strlcpy(out, text, BSH_DOC_NAME_SIZE) < BSH_DOC_NAME_SIZE;
}

static bool read_kind(const json_t *value, bsh_doc_kind_t *kind)
{
	const char *text = json_string_value(value);

	if (g_strcmp0(text, "engine") == 0)
		*kind = BSH_DOC_ENGINE;
	else if (g_strcmp0(text, "service") == 0)
		*kind = BSH_DOC_SERVICE;
	else
		return false;
	return true;
}

static bool read_value(const field_t *field, const json_t *value, void *out)
{
	double number = json_number_value(value);

	switch (field->type) {
	case FIELD_NAME:
	case FIELD_SEGMENT:
	case FIELD_TEXT:
		return read_string(field, value, out);
	case FIELD_KIND:
		return read_kind(value, out);
	case FIELD_BOOL:
		*(bool *)out = json_is_true(value);
		return json_is_boolean(value);
	case FIELD_UINT:
		if (!json_is_integer(value) || number < field->min ||
		    number > field->max)
			return false;
		*(uint32_t *)out = (uint32_t)json_integer_value(value);
		return true;
	case FIELD_NUMBER:
		if (!json_is_number(value) || !isfinite(number) ||
		    number < field->min || number > field->max)
			return false;
		*(double *)out = number;
		return true;
	}
	return false;
}

/* Text of what a field allows, for a problem. */
static char *describe_allowed(const field_t *field)
{
	switch (field->type) {
	case FIELD_NAME:
		return g_strdup("1 to 95 letters, digits or ._:/-, beginning "
				"with a letter or digit");
	case FIELD_SEGMENT:
		return g_strdup("1 to 95 letters, digits or ._:-, beginning "
				"with a letter or digit");
	case FIELD_TEXT:
		return g_strdup("at most 95 bytes of text");
	case FIELD_KIND:
		return g_strdup("\"engine\" or \"service\"");
	case FIELD_BOOL:
		return g_strdup("true or false");
	case FIELD_UINT:
		return g_strdup_printf("a whole number from %.0f to %.0f",
				       field->min, field->max);
	case FIELD_NUMBER:
		break;
	}
	return g_strdup_printf("a number from %g to %g", field->min,
			       field->max);
}

static const field_t *find_field(const field_t *fields, size_t count,
				 const char *key)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(fields[i].key, key) == 0)
			return &fields[i];
	}
	return NULL;
}

/* Reads an object's fields into entry and reports unknown keys.  extra is a
 * further key, which the caller reads, or NULL. */
static void read_fields(const json_t *object, const char *path,
			const field_t *fields, size_t count, const char *extra,
			char *entry, GArray *problems)
{
	const char *key;
	json_t *value;

	for (size_t i = 0; i < count; i++) {
		const field_t *field = &fields[i];
		g_autofree char *allowed = describe_allowed(field);

		value = json_object_get(object, field->key);
		if (value == NULL && !field->required)
			continue;
		if (value == NULL ||
		    !read_value(field, value, entry + field->offset))
			add_problem(problems, value, allowed, "%s.%s", path,
				    field->key);
	}
	json_object_foreach((json_t *)object, key, value)
	{
		if (find_field(fields, count, key) == NULL &&
		    g_strcmp0(key, extra) != 0)
			add_problem(problems, value, "no such key", "%s.%s",
				    path, key);
	}
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	/* The name is the first member of each entry type. */
	return strcmp(a, b);
}

static const void *find_entry(const GArray *entries, size_t size_bytes,
			      const char *name)
{
	/* An empty array has no data, which bsearch() must not be given. */
	if (entries->len == 0)
		return NULL;
	return bsearch(name, entries->data, entries->len, size_bytes,
		       compare_names);
}

const bsh_doc_pool_t *bsh_document_pool(const bsh_document_t *doc,
					const char *name)
{
	return find_entry(doc->pools, sizeof(bsh_doc_pool_t), name);
}

const bsh_doc_model_t *bsh_document_model(const bsh_document_t *doc,
					  const char *name)
{
	return find_entry(doc->models, sizeof(bsh_doc_model_t), name);
}

const bsh_doc_service_t *bsh_document_service(const bsh_document_t *doc,
					      const char *name)
{
	return find_entry(doc->services, sizeof(bsh_doc_service_t), name);
}

static void check_unique(const GArray *entries, size_t size_bytes,
			 const char *section, GArray *problems)
{
	for (guint i = 1; i < entries->len; i++) {
		const char *name = entries->data + i * size_bytes;
		const char *previous = name - size_bytes;

		if (name[0] != '\0' && strcmp(name, previous) == 0)
			add_problem(problems, NULL,
				    "each name only once in its section",
				    "%s/%s", section, name);
	}
}

static char *entry_path(const char *section, const json_t *entry, size_t index)
{
	const char *name = json_string_value(json_object_get(entry, "name"));

	if (name != NULL && is_name(name, true))
		return g_strdup_printf("%s/%s", section, name);
	return g_strdup_printf("%s[%zu]", section, index);
}

static void read_pool(bsh_document_t *doc, const json_t *entry,
		      const char *path, GArray *problems)
{
	bsh_doc_pool_t pool = { .max_running = RUNNING_DEFAULT, .cells = 1 };

	read_fields(entry, path, pool_fields, G_N_ELEMENTS(pool_fields), NULL,
		    (char *)&pool, problems);
	if (strlen(pool.name) > BSH_CELL_POOL_NAME_MAX)
		add_problem(problems, json_object_get(entry, "name"),
			    "a name of 52 characters at most", "%s.name", path);
	/* fencing has no default: what is safe depends on whether the targets
	 * check fences. */
	if (pool.kind == BSH_DOC_ENGINE &&
	    json_object_get(entry, "fencing") == NULL)
		add_problem(problems, NULL, "true or false", "%s.fencing",
			    path);
	if (pool.kind == BSH_DOC_ENGINE &&
	    json_object_get(entry, "memory_mib") == NULL)
		add_problem(problems, NULL, "a whole number of MiB",
			    "%s.memory_mib", path);
	g_array_append_val(doc->pools, pool);
}

static uint32_t read_pool_name(const bsh_document_t *doc, const json_t *entry,
			       bsh_doc_kind_t kind, const char *path,
			       GArray *problems)
{
	const json_t *value = json_object_get(entry, "pool");
	const bsh_doc_pool_t *pool = NULL;

	if (json_is_string(value))
		pool = bsh_document_pool(doc, json_string_value(value));
	if (pool != NULL && pool->kind == kind)
		return (uint32_t)(pool - &g_array_index(doc->pools,
							bsh_doc_pool_t, 0));
	add_problem(problems, value,
		    kind == BSH_DOC_ENGINE
			    ? "the name of a pool of kind engine"
			    : "the name of a pool of kind service",
		    "%s.pool", path);
	return UINT32_MAX;
}

static void read_model(bsh_document_t *doc, const json_t *entry,
		       const char *path, GArray *problems)
{
	bsh_doc_model_t model = { .load_ms = LOAD_DEFAULT_MS,
				  .deadline_ms = DEADLINE_DEFAULT_MS,
				  .priority = PRIORITY_DEFAULT,
				  .repeatable = true };

	read_fields(entry, path, model_fields, G_N_ELEMENTS(model_fields),
		    "pool", (char *)&model, problems);
	model.pool = read_pool_name(doc, entry, BSH_DOC_ENGINE, path, problems);
	g_array_append_val(doc->models, model);
}

static void read_service(bsh_document_t *doc, const json_t *entry,
			 const char *path, GArray *problems)
{
	bsh_doc_service_t service = { .deadline_ms = DEADLINE_DEFAULT_MS };

	read_fields(entry, path, service_fields, G_N_ELEMENTS(service_fields),
		    "pool", (char *)&service, problems);
	service.pool =
		read_pool_name(doc, entry, BSH_DOC_SERVICE, path, problems);
	g_array_append_val(doc->services, service);
}

typedef void (*read_entry_fn_t)(bsh_document_t *doc, const json_t *entry,
				const char *path, GArray *problems);

static void read_section(bsh_document_t *doc, const json_t *top,
			 const char *section, GArray *entries,
			 size_t size_bytes, read_entry_fn_t read_entry,
			 GArray *problems)
{
	json_t *list = json_object_get(top, section);
	json_t *entry;
	size_t index;

	if (list != NULL && !json_is_array(list))
		add_problem(problems, list, "a list of objects", "%s", section);
	json_array_foreach(list, index, entry)
	{
		g_autofree char *path = entry_path(section, entry, index);

		if (json_is_object(entry))
			read_entry(doc, entry, path, problems);
		else
			add_problem(problems, entry, "an object", "%s", path);
	}
	g_array_sort(entries, compare_names);
	check_unique(entries, size_bytes, section, problems);
}

static void check_model(const bsh_document_t *doc, const bsh_doc_model_t *model,
			GArray *problems)
{
	const bsh_doc_model_t *base = NULL;
	const bsh_doc_pool_t *pool;
	uint64_t needed_mib = model->memory_mib;

	if (model->pool >= doc->pools->len)
		return;
	pool = bsh_document_pool_at(doc, model->pool);
	if (model->base[0] != '\0') {
		base = bsh_document_model(doc, model->base);
		if (base == NULL || base->base[0] != '\0' ||
		    base->pool != model->pool) {
			add_problem(problems, NULL,
				    "the name of a model of the same pool "
				    "that is not an adapter",
				    "models/%s.base", model->name);
			return;
		}
		needed_mib += base->memory_mib;
	}
	if (needed_mib > pool->memory_mib)
		add_problem(problems, NULL,
			    "together with its base at most the memory_mib of "
			    "the pool",
			    "models/%s.memory_mib", model->name);
}

static void read_weight_store(bsh_document_t *doc, const json_t *top,
			      GArray *problems)
{
	static const field_t fields[] = {
		{ "loads_per_s", FIELD_NUMBER, true,
		  OFFSET(bsh_document_t, loads_per_s), 0.001, LOADS_PER_S_MAX },
		{ "concurrent", FIELD_UINT, true,
		  OFFSET(bsh_document_t, load_concurrent), 1,
		  LOAD_CONCURRENT_MAX },
	};
	const json_t *value = json_object_get(top, "weight_store");

	if (!json_is_object(value)) {
		add_problem(problems, value,
			    "an object with loads_per_s and concurrent",
			    "weight_store");
		return;
	}
	read_fields(value, "weight_store", fields, G_N_ELEMENTS(fields), NULL,
		    (char *)doc, problems);
}

static void read_top(bsh_document_t *doc, const json_t *top, GArray *problems)
{
	static const field_t fields[] = {
		{ "deployment", FIELD_NAME, true,
		  OFFSET(bsh_document_t, deployment), 0, 0 },
		{ "weight", FIELD_NUMBER, true, OFFSET(bsh_document_t, weight),
		  0, 1 },
	};
	const char *key;
	json_t *value;

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		g_autofree char *allowed = describe_allowed(&fields[i]);

		value = json_object_get(top, fields[i].key);
		if (value == NULL ||
		    !read_value(&fields[i], value,
				(char *)doc + fields[i].offset))
			add_problem(problems, value, allowed, "%s",
				    fields[i].key);
	}
	json_object_foreach((json_t *)top, key, value)
	{
		bool known = false;

		for (size_t i = 0; i < G_N_ELEMENTS(top_keys); i++)
			known = known || strcmp(key, top_keys[i]) == 0;
		if (!known)
			add_problem(problems, value, "no such key", "%s", key);
	}
}

static int compare_json_names(const void *a, const void *b)
{
	const json_t *const *left = a;
	const json_t *const *right = b;

	return strcmp(json_string_value(json_object_get(*left, "name")),
		      json_string_value(json_object_get(*right, "name")));
}

/* Copy with each section sorted by name; bsh_document_text() sorts the keys. */
static json_t *canonical_copy(const json_t *top)
{
	json_t *copy = json_copy((json_t *)top);

	for (size_t s = 0; s < G_N_ELEMENTS(sections); s++) {
		json_t *list = json_object_get(top, sections[s]);
		json_t *sorted = json_array();
		g_autoptr(GPtrArray) order = g_ptr_array_new();

		for (size_t i = 0; i < json_array_size(list); i++)
			g_ptr_array_add(order, json_array_get(list, i));
		g_ptr_array_sort(order, compare_json_names);
		for (guint i = 0; i < order->len; i++)
			json_array_append_new(sorted,
					      json_deep_copy(order->pdata[i]));
		json_object_set_new(copy, sections[s], sorted);
	}
	return copy;
}

char *bsh_document_text(const bsh_document_t *doc)
{
	return bsh_json_text(doc->json, JSON_SORT_KEYS | JSON_COMPACT);
}

static void set_hash(bsh_document_t *doc)
{
	char *text = bsh_document_text(doc);
	XXH128_hash_t hash = XXH3_128bits(text, strlen(text));

	snprintf(doc->hash, sizeof(doc->hash), "%016llx%016llx",
		 (unsigned long long)hash.high64,
		 (unsigned long long)hash.low64);
	free(text);
}

static void init_arrays(bsh_document_t *doc)
{
	memset(doc, 0, sizeof(*doc));
	doc->pools = g_array_new(FALSE, TRUE, sizeof(bsh_doc_pool_t));
	doc->models = g_array_new(FALSE, TRUE, sizeof(bsh_doc_model_t));
	doc->services = g_array_new(FALSE, TRUE, sizeof(bsh_doc_service_t));
}

void bsh_document_finish(bsh_document_t *doc)
{
	g_array_free(doc->pools, TRUE);
	g_array_free(doc->models, TRUE);
	g_array_free(doc->services, TRUE);
	json_decref(doc->json);
	memset(doc, 0, sizeof(*doc));
}

bsh_error_t bsh_document_init_json(bsh_document_t *doc, const json_t *json,
				   GArray *problems)
{
	guint before = problems->len;

	init_arrays(doc);
	if (!json_is_object(json)) {
		add_problem(problems, json, "an object", "document");
		goto fail;
	}
	read_top(doc, json, problems);
	read_weight_store(doc, json, problems);
	read_section(doc, json, "pools", doc->pools, sizeof(bsh_doc_pool_t),
		     read_pool, problems);
	read_section(doc, json, "models", doc->models, sizeof(bsh_doc_model_t),
		     read_model, problems);
	read_section(doc, json, "services", doc->services,
		     sizeof(bsh_doc_service_t), read_service, problems);
	for (guint i = 0; i < doc->models->len; i++)
		check_model(doc,
			    &g_array_index(doc->models, bsh_doc_model_t, i),
			    problems);
	if (problems->len != before)
		goto fail;
	doc->json = canonical_copy(json);
	set_hash(doc);
	return BSH_OK;
fail:
	bsh_document_finish(doc);
	return BSH_ERR_INVALID;
}

bsh_error_t bsh_document_init(bsh_document_t *doc, const char *text,
			      size_t size_bytes, GArray *problems)
{
	json_error_t error;
	json_t *json;
	bsh_error_t err;

	if (size_bytes > BSH_DOC_TEXT_MAX_BYTES) {
		add_problem(problems, NULL, "at most 1000000 bytes",
			    "document");
		return BSH_ERR_TOO_LARGE;
	}
	json = json_loadb(text, size_bytes, JSON_REJECT_DUPLICATES, &error);
	if (json == NULL) {
		add_problem(problems, NULL, error.text, "line %d, column %d",
			    error.line, error.column);
		return BSH_ERR_INVALID;
	}
	err = bsh_document_init_json(doc, json, problems);
	json_decref(json);
	return err;
}

/*
 * Called for each difference.  from is NULL for an added entry, to for a
 * removed one; name is NULL for a key outside the lists.
 */
typedef void (*entry_change_fn_t)(void *ctx, const char *section,
				  const char *name, const json_t *from,
				  const json_t *to);

static const char *entry_name(const json_t *entry)
{
	return json_string_value(json_object_get(entry, "name"));
}

static void compare_section(const json_t *from, const json_t *to,
			    const char *section, entry_change_fn_t fn,
			    void *ctx)
{
	size_t i = 0;
	size_t j = 0;

	while (i < json_array_size(from) || j < json_array_size(to)) {
		const json_t *a = json_array_get(from, i);
		const json_t *b = json_array_get(to, j);
		int order = a == NULL ? 1 : -1;

		if (a != NULL && b != NULL)
			order = strcmp(entry_name(a), entry_name(b));
		if (order < 0) {
			fn(ctx, section, entry_name(a), a, NULL);
			i++;
		} else if (order > 0) {
			fn(ctx, section, entry_name(b), NULL, b);
			j++;
		} else {
			if (!json_equal(a, b))
				fn(ctx, section, entry_name(a), a, b);
			i++;
			j++;
		}
	}
}

static void compare_documents(const bsh_document_t *from,
			      const bsh_document_t *to, entry_change_fn_t fn,
			      void *ctx)
{
	for (size_t i = 0; i < G_N_ELEMENTS(top_keys); i++) {
		const json_t *a = json_object_get(from->json, top_keys[i]);
		const json_t *b = json_object_get(to->json, top_keys[i]);

		if (json_is_array(a) || json_is_array(b))
			compare_section(a, b, top_keys[i], fn, ctx);
		else if (!json_equal(a, b))
			fn(ctx, top_keys[i], NULL, a, b);
	}
}

typedef struct {
	GString *out;
	uint32_t count;
} diff_t;

static void print_change(diff_t *diff, const char *path, const char *key,
			 const json_t *from, const json_t *to)
{
	g_autofree char *old = format_value(from);
	g_autofree char *new = format_value(to);

	g_string_append_printf(diff->out, "~ %s%s%s: %s -> %s\n", path,
			       key != NULL ? "." : "", key != NULL ? key : "",
			       old, new);
	diff->count++;
}

static void print_entry_change(void *ctx, const char *section, const char *name,
			       const json_t *from, const json_t *to)
{
	g_autofree char *path = NULL;
	diff_t *diff = ctx;
	const char *key;
	json_t *value;

	if (name == NULL) {
		print_change(diff, section, NULL, from, to);
		return;
	}
	path = g_strdup_printf("%s/%s", section, name);
	if (from == NULL || to == NULL) {
		g_string_append_printf(diff->out, "%c %s\n",
				       from == NULL ? '+' : '-', path);
		diff->count++;
		return;
	}
	json_object_foreach((json_t *)from, key, value)
	{
		if (!json_equal(value, json_object_get(to, key)))
			print_change(diff, path, key, value,
				     json_object_get(to, key));
	}
	json_object_foreach((json_t *)to, key, value)
	{
		if (json_object_get(from, key) == NULL)
			print_change(diff, path, key, NULL, value);
	}
}

uint32_t bsh_document_diff(const bsh_document_t *from, const bsh_document_t *to,
			   GString *out)
{
	diff_t diff = { .out = out };

	compare_documents(from, to, print_entry_change, &diff);
	return diff.count;
}

static void add_to_delta(void *ctx, const char *section, const char *name,
			 const json_t *from, const json_t *to)
{
	json_t *delta = ctx;
	json_t *change = bsh_json_pack("{s:s, s:s?, s:O?}", "section", section,
				       "name", name, "value", (json_t *)to);

	(void)from;
	json_array_append_new(json_object_get(delta, "changes"), change);
}

json_t *bsh_document_delta(const bsh_document_t *from, const bsh_document_t *to)
{
	json_t *delta = bsh_json_pack("{s:s, s:s, s:[]}", "from", from->hash,
				      "to", to->hash, "changes");

	compare_documents(from, to, add_to_delta, delta);
	return delta;
}

static size_t find_json_entry(const json_t *list, const char *name)
{
	size_t index;
	json_t *entry;

	json_array_foreach((json_t *)list, index, entry)
	{
		if (strcmp(entry_name(entry), name) == 0)
			return index;
	}
	return SIZE_MAX;
}

static bool apply_change(json_t *top, const json_t *change)
{
	const char *section =
		json_string_value(json_object_get(change, "section"));
	const char *name = json_string_value(json_object_get(change, "name"));
	json_t *value = json_object_get(change, "value");
	json_t *list;
	size_t index;

	if (section == NULL || json_object_get(top, section) == NULL)
		return false;
	list = json_object_get(top, section);
	if (name == NULL) {
		if (json_is_array(list) || json_is_null(value))
			return false;
		return json_object_set(top, section, value) == 0;
	}
	if (!json_is_array(list))
		return false;
	index = find_json_entry(list, name);
	if (json_is_null(value))
		return index != SIZE_MAX && json_array_remove(list, index) == 0;
	if (g_strcmp0(entry_name(value), name) != 0)
		return false;
	if (index != SIZE_MAX)
		return json_array_set(list, index, value) == 0;
	return json_array_append(list, value) == 0;
}

bsh_error_t bsh_document_apply(bsh_document_t *doc, const bsh_document_t *from,
			       const json_t *delta)
{
	const char *from_hash =
		json_string_value(json_object_get(delta, "from"));
	const char *to_hash = json_string_value(json_object_get(delta, "to"));
	json_t *changes = json_object_get(delta, "changes");
	bsh_error_t err = BSH_ERR_INVALID;
	GArray *problems = NULL;
	json_t *top = NULL;
	json_t *change;
	size_t index;

	if (from_hash == NULL || to_hash == NULL || !json_is_array(changes))
		return BSH_ERR_INVALID;
	if (strcmp(from_hash, from->hash) != 0)
		return BSH_ERR_CONFLICT;
	top = json_deep_copy(from->json);
	problems = bsh_doc_problems_new();
	json_array_foreach(changes, index, change)
	{
		if (!apply_change(top, change))
			goto out;
	}
	err = bsh_document_init_json(doc, top, problems);
	if (err == BSH_OK && strcmp(doc->hash, to_hash) != 0) {
		bsh_document_finish(doc);
		err = BSH_ERR_CONFLICT;
	}
out:
	json_decref(top);
	g_array_free(problems, TRUE);
	return err;
}
