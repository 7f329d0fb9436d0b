#include "page.h"

#include <stdlib.h>
#include <string.h>

#include "base/json_text.h"

static void put_escaped(GString *out, const char *text)
{
	g_autofree char *escaped = g_markup_escape_text(text, -1);

	g_string_append(out, escaped);
}

/* Appends template with its "%s" replaced by the escaped text. */
static void put_template(GString *out, const char *template, const char *text)
{
	const char *placeholder = strstr(template, "%s");

	g_string_append_len(out, template, placeholder - template);
	put_escaped(out, text);
	g_string_append(out, placeholder + 2);
}

static void put_hidden(GString *out, const char *name, const char *value)
{
	put_template(out, "<input type=\"hidden\" name=\"%s\"", name);
	put_template(out, " value=\"%s\">\n", value);
}

static void put_number(GString *out, const char *template, int64_t number)
{
	g_autofree char *text =
		g_strdup_printf("%" G_GINT64_FORMAT, (gint64)number);

	put_template(out, template, text);
}

static void begin_page(GString *out, const char *title)
{
	put_template(out,
		     "<!DOCTYPE html>\n<html lang=\"en\"><head>"
		     "<meta charset=\"utf-8\"><title>%s - berylshunt</title>",
		     title);
	g_string_append(
		out,
		"<meta name=\"viewport\" content=\"width=device-width\">"
		"<link rel=\"stylesheet\" href=\"/console.css\">"
		"<script src=\"/console.js\" defer></script></head><body>\n"
		"<header><strong>berylshunt</strong><a href=\"/\">In force</a>"
		"<a href=\"/edit\">Edit</a><a href=\"/document\">Document</a>"
		"</header>\n<main>\n");
	put_template(out, "<h1>%s</h1>\n", title);
}

static void end_page(GString *out)
{
	g_string_append(out, "</main></body></html>\n");
}

static void put_notice(GString *out, page_notice_kind_t kind,
		       const char *notice)
{
	static const char *const templates[] = {
		[PAGE_NOTICE_INFO] =
			"<p class=\"notice\" role=\"status\">%s</p>\n",
		[PAGE_NOTICE_ERROR] =
			"<p class=\"notice error\" role=\"alert\">%s</p>\n",
		[PAGE_NOTICE_CONFLICT] =
			"<p class=\"notice conflict\" role=\"alert\">%s</p>\n",
	};

	if (notice != NULL)
		put_template(out, templates[kind], notice);
}

static const char *get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL ? text : "";
}

static void put_table_head(GString *out, const draft_section_t *section,
			   bool buttons)
{
	put_template(out, "<h2>%s</h2>\n", section->title);
	g_string_append(out, "<div class=\"scroll\"><table class=\"entries\">"
			     "<thead><tr>");
	for (size_t i = 0; i < section->field_count; i++)
		put_template(out, "<th>%s</th>", section->fields[i].label);
	if (buttons)
		g_string_append(out, "<th></th>");
	g_string_append(out, "</tr></thead><tbody>\n");
}

static void put_cells(GString *out, const draft_section_t *section,
		      const json_t *entry)
{
	for (size_t i = 0; i < section->field_count; i++) {
		g_autofree char *text =
			draft_format_field(entry, &section->fields[i]);

		put_template(out, "<td>%s</td>", text);
	}
}

static void put_section(GString *out, const draft_section_t *section,
			const json_t *document)
{
	json_t *settings = NULL;
	json_t *entry;
	size_t index;

	put_table_head(out, section, false);
	if (strcmp(section->name, DRAFT_SETTINGS) == 0) {
		settings = draft_document_entry(document, section->name, "");
		g_string_append(out, "<tr>");
		put_cells(out, section, settings);
		g_string_append(out, "</tr>\n");
		json_decref(settings);
	}
	json_array_foreach(json_object_get(document, section->name), index,
			   entry)
	{
		g_string_append(out, "<tr>");
		put_cells(out, section, entry);
		g_string_append(out, "</tr>\n");
	}
	g_string_append(out, "</tbody></table></div>\n");
}

static void put_integer_cell(GString *out, const json_t *object,
			     const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_integer(value))
		put_number(out, "<td>%s</td>", json_integer_value(value));
	else
		g_string_append(out, "<td>-</td>");
}

static void put_instances(GString *out, const json_t *status)
{
	size_t index;
	json_t *member;

	g_string_append(out, "<h2>Instances</h2>\n<div class=\"scroll\">"
			     "<table><thead><tr><th>Instance</th><th>Zone</th>"
			     "<th>State</th><th>Generation</th></tr></thead>"
			     "<tbody>\n");
	json_array_foreach(json_object_get(status, "members"), index, member)
	{
		put_template(out, "<tr><td>%s</td>",
			     get_string(member, "name"));
		put_template(out, "<td>%s</td>", get_string(member, "zone"));
		put_template(out, "<td>%s</td>", get_string(member, "state"));
		put_integer_cell(out, member, "generation");
		g_string_append(out, "</tr>\n");
	}
	g_string_append(out, "</tbody></table></div>\n");
}

void page_overview(GString *out, const json_t *document, int64_t generation,
		   const json_t *status, const char *notice)
{
	const json_t *in_force = json_object_get(status, "in_force");
	const draft_section_t *section;
	size_t count;

	begin_page(out, "In force");
	put_notice(out, PAGE_NOTICE_INFO, notice);
	if (document == NULL) {
		g_string_append(out, "<p>No document is accepted yet.</p>\n");
	} else {
		put_number(out, "<p>Generation <strong>%s</strong> is accepted",
			   generation);
		if (!json_is_integer(in_force))
			g_string_append(out,
					"; whether it is in force everywhere "
					"is unknown");
		else if (json_integer_value(in_force) >= generation)
			g_string_append(out, " and in force everywhere");
		else
			put_number(out,
				   "; generation <strong>%s</strong> is in "
				   "force everywhere",
				   json_integer_value(in_force));
		g_string_append(out, ".</p>\n");
	}
	section = draft_sections(&count);
	for (size_t i = 0; document != NULL && i < count; i++)
		put_section(out, &section[i], document);
	if (status != NULL)
		put_instances(out, status);
	end_page(out);
}

void page_document(GString *out, const json_t *document, int64_t generation)
{
	char *text = bsh_json_text(document, JSON_INDENT(2) | JSON_SORT_KEYS);

	begin_page(out, "Document");
	put_number(out, "<p>Generation %s</p>\n", generation);
	put_template(out, "<pre>%s</pre>\n", text != NULL ? text : "none");
	end_page(out);
	free(text);
}

static void put_button(GString *out, const char *class, const char *action,
		       const char *section, const char *id, const char *label)
{
	g_autofree char *value =
		g_strdup_printf("%s%s%s%s%s", action, section[0] ? " " : "",
				section, id[0] ? " " : "", id);

	put_template(out, "<button class=\"%s\" name=\"action\"", class);
	put_template(out, " value=\"%s\">", value);
	put_escaped(out, label);
	g_string_append(out, "</button>\n");
}

static void put_reason(GString *out, const draft_problem_t *problem)
{
	g_string_append(out, "<span class=\"reason\">");
	if (problem->value[0] != '\0')
		put_template(out, "<code>%s</code> is not allowed; ",
			     problem->value);
	put_template(out, "allowed: %s</span>\n", problem->allowed);
}

static bool is_problem_of_field(const draft_problem_t *problem,
				const char *section, const char *id,
				const char *field)
{
	return problem->section != NULL &&
	       strcmp(problem->section, section) == 0 &&
	       strcmp(problem->id, id) == 0 &&
	       strcmp(problem->field, field) == 0;
}

static uint32_t put_reasons(GString *out, const page_t *page,
			    const char *section, const char *id,
			    const char *field)
{
	uint32_t count = 0;

	for (guint i = 0; page->problems != NULL && i < page->problems->len;
	     i++) {
		const draft_problem_t *problem =
			&g_array_index(page->problems, draft_problem_t, i);

		if (is_problem_of_field(problem, section, id, field)) {
			put_reason(out, problem);
			count++;
		}
	}
	return count;
}

static void put_option(GString *out, const char *value, const char *label,
		       const char *chosen, bool *found)
{
	bool selected = strcmp(value, chosen) == 0;

	put_template(out, "<option value=\"%s\"", value);
	if (selected)
		g_string_append(out, " selected");
	*found = *found || selected;
	put_template(out, ">%s</option>", label);
}

static void put_select(GString *out, const json_t *drafted,
		       const draft_field_t *field, const char *name,
		       const char *value)
{
	bool found = false;

	put_template(out, "<select id=\"%s\"", name);
	put_template(out, " name=\"%s\">", name);
	put_option(out, "", "(not set)", value, &found);
	if (field->type == DRAFT_FIELD_BOOL) {
		put_option(out, "true", "true", value, &found);
		put_option(out, "false", "false", value, &found);
	} else if (field->type == DRAFT_FIELD_POOL_KIND) {
		put_option(out, "engine", "engine", value, &found);
		put_option(out, "service", "service", value, &found);
	} else {
		size_t index;
		json_t *pool;

		json_array_foreach(json_object_get(drafted, "pools"), index,
				   pool)
		{
			put_option(out, get_string(pool, "name"),
				   get_string(pool, "name"), value, &found);
		}
	}
	/* A value that is not allowed is offered unchanged, so that the form
	 * shows it beside the reason for its rejection. */
	if (!found)
		put_option(out, value, value, value, &found);
	g_string_append(out, "</select>");
}

static void put_field(GString *out, const page_t *page, const json_t *drafted,
		      guint number, const draft_section_t *section,
		      const char *id, const draft_field_t *field,
		      const json_t *entry)
{
	g_autofree char *name = g_strdup_printf("f.%u.%s", number, field->key);
	g_autofree char *value = draft_format_field(entry, field);
	json_t *base = draft_document_entry(page->document, section->name, id);
	GString *reasons = g_string_new(NULL);

	put_reasons(reasons, page, section->name, id, field->key);
	g_string_append(out, reasons->len > 0 ? "<div class=\"field wrong\">"
					      : "<div class=\"field\">");
	put_template(out, "<label for=\"%s\">", name);
	put_template(out, "%s</label><span>", field->label);
	if (field->type == DRAFT_FIELD_TEXT ||
	    field->type == DRAFT_FIELD_NUMBER) {
		put_template(out, "<input id=\"%s\"", name);
		put_template(out, " name=\"%s\"", name);
		put_template(out, " autocomplete=\"off\" value=\"%s\">", value);
	} else {
		put_select(out, drafted, field, name, value);
	}
	put_template(out, "</span><span><span class=\"hint\">%s</span>\n",
		     field->hint);
	if (base != NULL) {
		g_autofree char *before = draft_format_field(base, field);

		if (strcmp(before, value) != 0)
			put_template(out,
				     "<em>in force: <code>%s</code></em>\n",
				     before[0] != '\0' ? before : "not set");
	}
	g_string_append(out, reasons->str);
	g_string_append(out, "</span></div>\n");
	g_string_free(reasons, TRUE);
	json_decref(base);
}

static void put_entry_form(GString *out, const page_t *page,
			   const json_t *drafted, guint number)
{
	const char *entry_key = g_ptr_array_index(page->open_entries, number);
	char **parts = g_strsplit(entry_key, " ", 2);
	const draft_section_t *section = draft_section(parts[0]);
	const char *id = parts[1];
	g_autofree char *name = g_strdup_printf("open.%u", number);
	json_t *entry =
		draft_entry(page->draft, page->document, section->name, id);
	const json_t *change = draft_change(page->draft, section->name, id);

	put_template(out, "<fieldset><legend>%s ", section->singular);
	put_escaped(out, strcmp(section->name, DRAFT_SETTINGS) == 0 ? ""
			 : id[0] == '+'				    ? "(new)"
								    : id);
	g_string_append(out, "</legend>\n");
	put_hidden(out, name, entry_key);
	if (change != NULL && draft_change_conflicts(change, page->document))
		put_notice(out, PAGE_NOTICE_CONFLICT,
			   "Another operator changed this entry too. The "
			   "values in force are shown beside yours.");
	put_reasons(out, page, section->name, id, "");
	for (size_t i = 0; i < section->field_count; i++)
		put_field(out, page, drafted, number, section, id,
			  &section->fields[i], entry);
	put_button(out, "", "close", section->name, id, "Keep and close");
	put_button(out, "", "revert", section->name, id, "Undo changes");
	g_string_append(out, "</fieldset>\n");
	json_decref(entry);
	g_strfreev(parts);
}

static const char *describe_change(const json_t *change)
{
	if (json_is_null(json_object_get(change, "value")))
		return "removed";
	if (json_is_null(json_object_get(change, "base")))
		return "added";
	return "changed";
}

static void put_changes(GString *out, const page_t *page)
{
	size_t index;
	json_t *change;

	g_string_append(out, "<h2>Your changes</h2>\n");
	if (json_array_size(page->draft->changes) == 0) {
		g_string_append(out, "<p>None yet.</p>\n");
		return;
	}
	g_string_append(out, "<div class=\"scroll\"><table><tbody>\n");
	json_array_foreach(page->draft->changes, index, change)
	{
		const char *section = get_string(change, "section");
		const char *id = get_string(change, "id");
		const char *name =
			get_string(json_object_get(change, "value"), "name");

		put_template(out, "<tr><td>%s</td>", section);
		put_template(out, "<td>%s</td>", id[0] == '+' ? name : id);
		put_template(out, "<td>%s</td><td>", describe_change(change));
		if (draft_change_conflicts(change, page->document))
			g_string_append(out, "<span class=\"reason\">another "
					     "operator changed it too</span>");
		g_string_append(out, "</td><td>");
		put_button(out, "", "open", section, id, "Open");
		put_button(out, "", "revert", section, id, "Undo");
		g_string_append(out, "</td></tr>\n");
	}
	g_string_append(out, "</tbody></table></div>\n");
}

static void put_problems(GString *out, const page_t *page)
{
	if (page->problems == NULL || page->problems->len == 0)
		return;
	put_number(out,
		   "<div class=\"notice error\" role=\"alert\"><p>Not "
		   "submitted. Reasons: %s</p><ul>\n",
		   page->problems->len);
	for (guint i = 0; i < page->problems->len; i++) {
		const draft_problem_t *problem =
			&g_array_index(page->problems, draft_problem_t, i);

		put_template(out, "<li><code>%s</code> ", problem->path);
		put_reason(out, problem);
		if (problem->section != NULL)
			put_button(out, "", "open", problem->section,
				   problem->id, "Open");
		g_string_append(out, "</li>\n");
	}
	g_string_append(out, "</ul></div>\n");
}

static void put_differences(GString *out, const page_t *page)
{
	if (page->notice_kind == PAGE_NOTICE_CONFLICT &&
	    page->document != NULL) {
		char *text = bsh_json_text(page->document,
					   JSON_INDENT(2) | JSON_SORT_KEYS);

		put_number(out,
			   "<details><summary>The newer document, generation "
			   "%s</summary>",
			   page->generation);
		put_template(out, "<pre>%s</pre></details>\n",
			     text != NULL ? text : "");
		free(text);
	}
	if (page->differences == NULL)
		return;
	put_number(out, "<h2>Difference from generation %s</h2>\n",
		   page->generation);
	put_template(out, "<pre>%s</pre>\n",
		     page->differences->len > 0 ? page->differences->str
						: "none");
	if (page->differences->len > 0 &&
	    (page->problems == NULL || page->problems->len == 0))
		put_button(out, "main", "submit", "", "",
			   "Submit the whole document");
}

static const char *row_class(const page_t *page, const char *section,
			     const char *id)
{
	const json_t *change = draft_change(page->draft, section, id);

	if (change == NULL)
		return "";
	return json_is_null(json_object_get(change, "base")) ? "added"
							     : "changed";
}

static void put_edit_section(GString *out, const page_t *page,
			     const draft_section_t *section,
			     const json_t *drafted)
{
	GPtrArray *ids;
	bool is_list = strcmp(section->name, DRAFT_SETTINGS) != 0;

	put_table_head(out, section, true);
	if (!is_list) {
		json_t *entry =
			draft_document_entry(drafted, section->name, "");

		g_string_append(out, "<tr>");
		put_cells(out, section, entry);
		g_string_append(out, "<td>");
		put_button(out, "", "open", section->name, DRAFT_SETTINGS,
			   "Edit");
		g_string_append(out, "</td></tr></tbody></table></div>\n");
		json_decref(entry);
		return;
	}
	ids = draft_entry_ids(page->draft, page->document, section->name);
	for (guint i = 0; i < ids->len; i++) {
		const char *id = g_ptr_array_index(ids, i);

		put_template(out, "<tr class=\"%s\">",
			     row_class(page, section->name, id));
		put_cells(out, section,
			  json_array_get(
				  json_object_get(drafted, section->name), i));
		g_string_append(out, "<td>");
		put_button(out, "", "open", section->name, id, "Edit");
		put_button(out, "", "remove", section->name, id, "Remove");
		g_string_append(out, "</td></tr>\n");
	}
	g_string_append(out, "</tbody></table></div>\n<p>");
	put_button(out, "", "new", section->name, "", "Add");
	put_template(out, "a %s</p>\n", section->singular);
	g_ptr_array_free(ids, TRUE);
}

void page_edit(GString *out, const page_t *page)
{
	json_t *drafted = draft_build_document(page->draft, page->document);
	char *changes = draft_text(page->draft);
	g_autofree char *generation =
		g_strdup_printf("%" G_GINT64_FORMAT, (gint64)page->generation);
	const draft_section_t *section;
	size_t count;

	begin_page(out, "Edit");
	put_notice(out, page->notice_kind, page->notice);
	g_string_append(out, "<form method=\"post\" action=\"/edit\">\n");
	put_hidden(out, "token", page->token);
	put_hidden(out, "generation", generation);
	put_hidden(out, "changes", changes != NULL ? changes : "[]");
	put_problems(out, page);
	put_changes(out, page);
	/* Browsers activate the first submit button of a form on Enter. */
	put_button(out, "main", "review", "", "", "Check and review");
	put_differences(out, page);
	for (guint i = 0; i < page->open_entries->len; i++)
		put_entry_form(out, page, drafted, i);
	section = draft_sections(&count);
	for (size_t i = 0; i < count; i++)
		put_edit_section(out, page, &section[i], drafted);
	g_string_append(out, "</form>\n");
	end_page(out);
	free(changes);
	json_decref(drafted);
}

void page_retry(GString *out, GHashTable *parameters, const char *notice)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	begin_page(out, "Request not processed");
	put_notice(out, PAGE_NOTICE_ERROR, notice);
	g_string_append(out, "<form method=\"post\" action=\"/edit\">\n");
	g_hash_table_iter_init(&iter, parameters);
	while (g_hash_table_iter_next(&iter, &name, &value))
		put_hidden(out, name, value);
	g_string_append(out, "<p>Your input is kept in this page.</p>"
			     "<button class=\"main\">Try again</button>"
			     "</form>\n");
	end_page(out);
}

void page_message(GString *out, const char *title, const char *text)
{
	begin_page(out, title);
	put_template(out, "<p>%s</p>\n", text);
	end_page(out);
}
