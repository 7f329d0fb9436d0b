#include "console.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "assets.h"
#include "base/counter.h"
#include "base/json_text.h"
#include "base/log.h"
#include "draft.h"
#include "page.h"
#include "state/document.h"

#define COOKIE_NAME		"bsh_console"
#define SESSION_BYTES		16
#define SESSION_HEX_SIZE	(2 * SESSION_BYTES + 1)
#define TOKEN_BYTES		32
#define TOKEN_HEX_SIZE		(2 * TOKEN_BYTES + 1)
#define FORM_MEDIA_TYPE		"application/x-www-form-urlencoded"
#define HTML_MEDIA_TYPE		"text/html; charset=utf-8"
#define HTTP_OK			200
#define HTTP_SEE_OTHER		303
#define HTTP_INVALID		400
#define HTTP_FORBIDDEN		403
#define HTTP_NOT_FOUND		404
#define HTTP_METHOD_NOT_ALLOWED 405
#define HTTP_CONFLICT		409
#define HTTP_TOO_LARGE		413
#define HTTP_REJECTED		422
#define HTTP_BAD_GATEWAY	502
#define HTTP_UNAVAILABLE	503

static bsh_counter_t requests_total = BSH_COUNTER(
	"bsh_console_requests_total", "Requests for pages of the console.");
static bsh_counter_t forbidden_total =
	BSH_COUNTER("bsh_console_forbidden_total",
		    "Requests refused as forged or for another host.");
static bsh_counter_t submits_accepted = BSH_COUNTER_LABELS(
	"bsh_console_submits_total", "Documents submitted, by result.",
	"result=\"accepted\"");
static bsh_counter_t submits_conflict = BSH_COUNTER_LABELS(
	"bsh_console_submits_total", "Documents submitted, by result.",
	"result=\"conflict\"");
static bsh_counter_t submits_rejected = BSH_COUNTER_LABELS(
	"bsh_console_submits_total", "Documents submitted, by result.",
	"result=\"rejected\"");
static bsh_counter_t submits_failed = BSH_COUNTER_LABELS(
	"bsh_console_submits_total", "Documents submitted, by result.",
	"result=\"failed\"");

void console_register_counters(void)
{
	bsh_counter_register(&requests_total);
	bsh_counter_register(&forbidden_total);
	bsh_counter_register(&submits_accepted);
	bsh_counter_register(&submits_conflict);
	bsh_counter_register(&submits_rejected);
	bsh_counter_register(&submits_failed);
}

static void send_response(bsh_http_request_t *request, int status,
			  const char *type, const char *text, size_t size)
{
	bsh_http_response_add_header(request, "Content-Type", type);
	bsh_http_response_add_header(request, "Cache-Control", "no-store");
	bsh_http_response_add_header(request, "X-Content-Type-Options",
				     "nosniff");
	bsh_http_response_add_header(request, "Referrer-Policy", "same-origin");
	bsh_http_response_add_header(
		request, "Content-Security-Policy",
		"default-src 'none'; style-src 'self'; script-src 'self'; "
		"form-action 'self'; frame-ancestors 'none'; base-uri 'none'");
	bsh_http_response_send(request, status, text, size);
}

static void send_page(bsh_http_request_t *request, int status, GString *page)
{
	send_response(request, status, HTML_MEDIA_TYPE, page->str, page->len);
	g_string_free(page, TRUE);
}

static void send_message_page(bsh_http_request_t *request, int status,
			      const char *title, const char *text)
{
	GString *page = g_string_new(NULL);

	page_message(page, title, text);
	send_page(request, status, page);
}

void console_on_too_large(void *ctx, bsh_http_request_t *request)
{
	(void)ctx;
	send_message_page(
		request, HTTP_TOO_LARGE, "Too large",
		"The form is larger than 8 MiB. Nothing was changed; "
		"go back to continue with fewer changes at once, or use "
		"bshctl apply.");
}

/* Reads the session id from the cookie; false when there is none in the format
 * of start_session(). */
static bool read_session(const bsh_http_request_t *request, char *session)
{
	const char *header = bsh_http_request_header(request, "Cookie");
	char **parts = g_strsplit(header != NULL ? header : "", ";", -1);
	bool found = false;

	for (int i = 0; parts[i] != NULL && !found; i++) {
		const char *text = g_strstrip(parts[i]);

		if (!g_str_has_prefix(text, COOKIE_NAME "="))
			continue;
		text += strlen(COOKIE_NAME "=");
		found = strlen(text) == SESSION_HEX_SIZE - 1 &&
			strspn(text, "0123456789abcdef") ==
				SESSION_HEX_SIZE - 1;
		if (found)
			g_strlcpy(session, text, SESSION_HEX_SIZE);
	}
	g_strfreev(parts);
	return found;
}

static void start_session(bsh_http_request_t *request, char *session)
{
	uint8_t bytes[SESSION_BYTES];
	g_autofree char *cookie = NULL;

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(session, SESSION_HEX_SIZE, bytes, sizeof(bytes));
	cookie = g_strdup_printf(
		COOKIE_NAME "=%s; Path=/; HttpOnly; SameSite=Strict", session);
	bsh_http_response_add_header(request, "Set-Cookie", cookie);
}

/* The form token is a MAC of the session id under the key of the settings.  It
 * depends on nothing else, so a form stays valid across restarts of the
 * console. */
static void make_token(const console_t *console, const char *session,
		       char *token)
{
	static const char purpose[] = "bshconsoled form token";
	crypto_generichash_state state;
	uint8_t bytes[TOKEN_BYTES];

	crypto_generichash_init(&state, console->settings->key,
				BSH_KEY_SIZE_BYTES, sizeof(bytes));
	crypto_generichash_update(&state, (const uint8_t *)purpose,
				  sizeof(purpose));
	crypto_generichash_update(&state, (const uint8_t *)session,
				  strlen(session));
	crypto_generichash_final(&state, bytes, sizeof(bytes));
	sodium_bin2hex(token, TOKEN_HEX_SIZE, bytes, sizeof(bytes));
}

/* Protects against DNS rebinding: a foreign site whose name resolves to the
 * address of the console has the same origin for the browser.  So Host must be
 * an IP address or localhost. */
static bool is_host_allowed(const bsh_http_request_t *request)
{
	const char *header = bsh_http_request_header(request, "Host");
	char host[BSH_ADDRESS_SIZE];
	g_autofree char *with_port = NULL;
	uint16_t port;

	if (header == NULL)
		return false;
	if (strcmp(header, "localhost") == 0 ||
	    g_str_has_prefix(header, "localhost:"))
		return true;
	if (bsh_address_split(header, host, sizeof(host), &port) == BSH_OK)
		return true;
	with_port = g_strdup_printf("%s:80", header);
	return bsh_address_split(with_port, host, sizeof(host), &port) ==
	       BSH_OK;
}

static bool is_origin_same(const bsh_http_request_t *request)
{
	const char *origin = bsh_http_request_header(request, "Origin");
	const char *host = bsh_http_request_header(request, "Host");

	if (origin == NULL)
		return true;
	if (g_str_has_prefix(origin, "http://"))
		origin += strlen("http://");
	else if (g_str_has_prefix(origin, "https://"))
		origin += strlen("https://");
	return g_strcmp0(origin, host) == 0;
}

static bool is_token_valid(const console_t *console,
			   const bsh_http_request_t *request,
			   GHashTable *parameters)
{
	const char *form_token = g_hash_table_lookup(parameters, "token");
	char session[SESSION_HEX_SIZE];
	char token[TOKEN_HEX_SIZE];

	if (form_token == NULL || strlen(form_token) != TOKEN_HEX_SIZE - 1 ||
	    !read_session(request, session))
		return false;
	make_token(console, session, token);
	return sodium_memcmp(token, form_token, TOKEN_HEX_SIZE - 1) == 0;
}

/* Reads the document in force from the controller.  On success reply needs a
 * finish and owns *document; on failure *notice is the reason, to be freed. */
static bool fetch_document(console_t *console, bsh_control_answer_t *reply,
			   int64_t *generation, json_t **document,
			   char **notice)
{
	bsh_error_t err = bsh_control_request(&console->control, "GET",
					      "/v1/config", NULL, -1, reply);

	if (err != BSH_OK) {
		*notice = g_strdup_printf("The controller does not answer "
					  "(%s).",
					  console->control.failure);
		return false;
	}
	if ((reply->status == HTTP_OK || reply->status == HTTP_NOT_FOUND) &&
	    bsh_control_config(reply, generation, document) == BSH_OK)
		return true;
	*notice = g_strdup_printf("The controller returned an unexpected "
				  "response (status %ld).",
				  reply->status);
	bsh_control_answer_finish(reply);
	return false;
}

static void get_overview(console_t *console, bsh_http_request_t *request)
{
	const char *accepted = bsh_http_request_argument(request, "accepted");
	GString *page = g_string_new(NULL);
	bsh_control_answer_t reply;
	bsh_control_answer_t status;
	g_autofree char *notice = NULL;
	int64_t generation;
	json_t *document;
	bool has_status;

	if (!fetch_document(console, &reply, &generation, &document, &notice)) {
		page_message(page, "Not available", notice);
		send_page(request, HTTP_UNAVAILABLE, page);
		return;
	}
	has_status = bsh_control_request(&console->control, "GET", "/v1/status",
					 NULL, -1, &status) == BSH_OK;
	if (accepted != NULL &&
	    g_ascii_strtoll(accepted, NULL, 10) <= generation)
		notice = g_strdup("The document was accepted as a whole.");
	page_overview(page, document, generation,
		      has_status ? status.json : NULL, notice);
	if (has_status)
		bsh_control_answer_finish(&status);
	bsh_control_answer_finish(&reply);
	send_page(request, HTTP_OK, page);
}

static void get_document(console_t *console, bsh_http_request_t *request)
{
	GString *page = g_string_new(NULL);
	bsh_control_answer_t reply;
	g_autofree char *notice = NULL;
	int64_t generation;
	json_t *document;

	if (!fetch_document(console, &reply, &generation, &document, &notice)) {
		page_message(page, "Not available", notice);
		send_page(request, HTTP_UNAVAILABLE, page);
		return;
	}
	page_document(page, document, generation);
	bsh_control_answer_finish(&reply);
	send_page(request, HTTP_OK, page);
}

static void init_page(page_t *page, const char *token, draft_t *draft,
		      const json_t *document, int64_t generation)
{
	memset(page, 0, sizeof(*page));
	page->token = token;
	page->draft = draft;
	page->document = document;
	page->generation = generation;
	page->open_entries = g_ptr_array_new_with_free_func(g_free);
}

static void finish_page(page_t *page)
{
	g_ptr_array_free(page->open_entries, TRUE);
	if (page->problems != NULL)
		g_array_free(page->problems, TRUE);
	if (page->differences != NULL)
		g_string_free(page->differences, TRUE);
	g_free(page->notice);
}

static void get_edit(console_t *console, bsh_http_request_t *request)
{
	GString *out = g_string_new(NULL);
	char session[SESSION_HEX_SIZE];
	char token[TOKEN_HEX_SIZE];
	bsh_control_answer_t reply;
	g_autofree char *notice = NULL;
	int64_t generation;
	json_t *document;
	draft_t draft;
	page_t page;

	if (!fetch_document(console, &reply, &generation, &document, &notice)) {
		page_message(out, "Not available", notice);
		send_page(request, HTTP_UNAVAILABLE, out);
		return;
	}
	if (!read_session(request, session))
		start_session(request, session);
	make_token(console, session, token);
	draft_init(&draft, generation);
	init_page(&page, token, &draft, document, generation);
	page_edit(out, &page);
	finish_page(&page);
	draft_finish(&draft);
	bsh_control_answer_finish(&reply);
	send_page(request, HTTP_OK, out);
}

static guint find_open_entry(const page_t *page, const char *name)
{
	for (guint i = 0; i < page->open_entries->len; i++) {
		if (strcmp(g_ptr_array_index(page->open_entries, i), name) == 0)
			return i;
	}
	return G_MAXUINT;
}

static void open_entry(page_t *page, const char *section, const char *id)
{
	g_autofree char *name = g_strdup_printf("%s %s", section, id);

	if (page->open_entries->len < PAGE_OPEN_ENTRIES_MAX &&
	    find_open_entry(page, name) == G_MAXUINT)
		g_ptr_array_add(page->open_entries, g_steal_pointer(&name));
}

static void close_entry(page_t *page, const char *section, const char *id)
{
	g_autofree char *name = g_strdup_printf("%s %s", section, id);
	guint index = find_open_entry(page, name);

	if (index != G_MAXUINT)
		g_ptr_array_remove_index(page->open_entries, index);
}

/* Applies the fields of one entry form to the draft. */
static void apply_entry_form(page_t *page, GHashTable *parameters, guint number,
			     const draft_section_t *section, const char *id)
{
	json_t *before =
		draft_entry(page->draft, page->document, section->name, id);
	json_t *entry = before != NULL ? json_deep_copy(before) : json_object();

	for (size_t i = 0; i < section->field_count; i++) {
		g_autofree char *name = g_strdup_printf("f.%u.%s", number,
							section->fields[i].key);
		const char *text = g_hash_table_lookup(parameters, name);

		if (text != NULL)
			draft_parse_field(entry, &section->fields[i], text);
	}
	if (before == NULL || !json_equal(before, entry))
		draft_set_entry(page->draft, page->document, section->name, id,
				entry);
	json_decref(entry);
	json_decref(before);
}

static bool apply_entry_forms(page_t *page, GHashTable *parameters)
{
	for (guint i = 0; i < PAGE_OPEN_ENTRIES_MAX; i++) {
		g_autofree char *name = g_strdup_printf("open.%u", i);
		const char *entry_key = g_hash_table_lookup(parameters, name);
		char **parts;
		const draft_section_t *section;

		if (entry_key == NULL)
			return true;
		parts = g_strsplit(entry_key, " ", 2);
		section = draft_section(parts[0]);
		if (section == NULL || parts[1] == NULL ||
		    parts[1][0] == '\0') {
			g_strfreev(parts);
			return false;
		}
		apply_entry_form(page, parameters, i, section, parts[1]);
		open_entry(page, section->name, parts[1]);
		g_strfreev(parts);
	}
	return true;
}

/* Stores the reasons for a rejection and opens the entries concerned, so that
 * each reason is shown beside its field. */
static void set_problems(page_t *page, const json_t *problems)
{
	page->problems =
		draft_locate_problems(page->draft, page->document, problems);
	for (guint i = 0; i < page->problems->len; i++) {
		const draft_problem_t *problem =
			&g_array_index(page->problems, draft_problem_t, i);

		if (problem->section != NULL)
			open_entry(page, problem->section, problem->id);
	}
}

static bool parse_in_force(bsh_document_t *doc, const json_t *document)
{
	static const char empty[] = "{\"deployment\":\"none\",\"weight\":0,"
				    "\"weight_store\":{\"loads_per_s\":1,"
				    "\"concurrent\":1}}";
	GArray *problems = bsh_doc_problems_new();
	bsh_error_t err;

	if (document != NULL)
		err = bsh_document_init_json(doc, document, problems);
	else
		err = bsh_document_init(doc, empty, strlen(empty), problems);
	g_array_free(problems, TRUE);
	return err == BSH_OK;
}

static bsh_error_t parse_drafted(bsh_document_t *doc, const json_t *drafted,
				 GArray *problems)
{
	char *text = bsh_json_text(drafted, JSON_COMPACT | JSON_SORT_KEYS);
	bsh_error_t err = BSH_ERR_INVALID;

	if (text != NULL)
		err = bsh_document_init(doc, text, strlen(text), problems);
	free(text);
	return err;
}

/* Validates the drafted document and compares it with the one in force.
 * Returns true when it is valid; then doc needs a finish. */
static bool review_draft(page_t *page, bsh_document_t *doc)
{
	json_t *drafted = draft_build_document(page->draft, page->document);
	GArray *problems = bsh_doc_problems_new();
	bsh_document_t doc_in_force;
	bool valid = parse_drafted(doc, drafted, problems) == BSH_OK;

	if (!valid) {
		json_t *json = bsh_doc_problems_json(problems);

		set_problems(page, json);
		json_decref(json);
	} else if (parse_in_force(&doc_in_force, page->document)) {
		page->differences = g_string_new(NULL);
		bsh_document_diff(&doc_in_force, doc, page->differences);
		bsh_document_finish(&doc_in_force);
	}
	g_array_free(problems, TRUE);
	json_decref(drafted);
	return valid;
}

static void set_notice(page_t *page, page_notice_kind_t kind, char *notice)
{
	g_free(page->notice);
	page->notice_kind = kind;
	page->notice = notice;
}

static void set_conflict_notice(page_t *page)
{
	set_notice(page, PAGE_NOTICE_CONFLICT,
		   g_strdup_printf(
			   "Another operator was faster: generation "
			   "%" G_GINT64_FORMAT " is in force now. Nothing of "
			   "yours was submitted and nothing typed is lost. The "
			   "tables below show the newer document with your "
			   "changes; check them and submit again.",
			   (gint64)page->generation));
}

/* After a conflict, applies the draft to the newer document. */
static void rebase_draft(page_t *page, int64_t generation,
			 const json_t *document)
{
	bsh_document_t doc;

	page->generation = generation;
	page->document = document;
	page->draft->generation = generation;
	if (page->differences != NULL)
		g_string_free(page->differences, TRUE);
	page->differences = NULL;
	set_conflict_notice(page);
	if (review_draft(page, &doc))
		bsh_document_finish(&doc);
}

static void record_submit(console_t *console, const char *result,
			  int64_t generation, bsh_counter_t *counter)
{
	bsh_counter_add(counter, 1);
	bsh_timeline_add(&console->timeline, "console-submit", "{s:s, s:I}",
			 "result", result, "generation",
			 (json_int_t)generation);
}

static int show_conflict(console_t *console, page_t *page,
			 const bsh_control_answer_t *reply)
{
	int64_t generation;
	json_t *document;

	record_submit(console, "conflict", page->generation, &submits_conflict);
	if (bsh_control_config(reply, &generation, &document) != BSH_OK ||
	    document == NULL) {
		set_notice(page, PAGE_NOTICE_CONFLICT,
			   g_strdup("Another operator was faster. Nothing "
				    "typed is lost; check and review again to "
				    "see the newer document."));
		return HTTP_CONFLICT;
	}
	rebase_draft(page, generation, document);
	return HTTP_CONFLICT;
}

/* Sends the document to the controller.  Returns the HTTP status of the page;
 * HTTP_SEE_OTHER when the document was accepted. */
static int submit(console_t *console, page_t *page, const bsh_document_t *doc,
		  bsh_control_answer_t *reply)
{
	char *text = bsh_document_text(doc);
	json_t *problems;
	int64_t accepted;
	bsh_error_t err;

	err = bsh_control_put_config(&console->control, text, doc->hash,
				     page->generation, reply, &accepted);
	free(text);
	if (err != BSH_OK) {
		record_submit(console, "failed", page->generation,
			      &submits_failed);
		set_notice(page, PAGE_NOTICE_ERROR,
			   g_strdup_printf(
				   "The controller does not answer (%s). The "
				   "document may have been accepted. Nothing "
				   "typed is lost; submit again to find out.",
				   console->control.failure));
		return HTTP_UNAVAILABLE;
	}
	if (reply->status == HTTP_OK && accepted > 0) {
		record_submit(console, "accepted", accepted, &submits_accepted);
		page->generation = accepted;
		return HTTP_SEE_OTHER;
	}
	if (reply->status == HTTP_CONFLICT)
		return show_conflict(console, page, reply);
	problems = json_object_get(reply->json, "problems");
	if (reply->status == HTTP_REJECTED && json_is_array(problems)) {
		record_submit(console, "rejected", page->generation,
			      &submits_rejected);
		set_problems(page, problems);
		return HTTP_REJECTED;
	}
	record_submit(console, "failed", page->generation, &submits_failed);
	set_notice(page, PAGE_NOTICE_ERROR,
		   g_strdup_printf("The controller refused (status %ld). "
				   "Nothing typed is lost; submit again later.",
				   reply->status));
	return HTTP_BAD_GATEWAY;
}

static int check_and_submit(console_t *console, page_t *page, bool is_submit,
			    bsh_control_answer_t *reply)
{
	bsh_document_t doc;
	int status = HTTP_OK;

	if (!review_draft(page, &doc)) {
		if (is_submit)
			record_submit(console, "rejected", page->generation,
				      &submits_rejected);
		return HTTP_REJECTED;
	}
	if (is_submit && page->differences != NULL &&
	    page->differences->len == 0)
		set_notice(page, PAGE_NOTICE_INFO,
			   g_strdup("Nothing to submit: the document in force "
				    "is the same."));
	else if (is_submit)
		status = submit(console, page, &doc, reply);
	bsh_document_finish(&doc);
	return status;
}

static void edit_entry(page_t *page, const char *verb,
		       const draft_section_t *section, const char *id)
{
	if (strcmp(verb, "new") == 0) {
		g_autofree char *new_id =
			draft_new_id(page->draft, section->name);
		json_t *empty = json_object();

		draft_set_entry(page->draft, page->document, section->name,
				new_id, empty);
		json_decref(empty);
		open_entry(page, section->name, new_id);
	} else if (id == NULL || id[0] == '\0') {
		return;
	} else if (strcmp(verb, "open") == 0) {
		open_entry(page, section->name, id);
	} else if (strcmp(verb, "close") == 0) {
		close_entry(page, section->name, id);
	} else if (strcmp(verb, "revert") == 0) {
		draft_revert(page->draft, section->name, id);
		close_entry(page, section->name, id);
	} else if (strcmp(verb, "remove") == 0 &&
		   strcmp(section->name, DRAFT_SETTINGS) != 0) {
		draft_set_entry(page->draft, page->document, section->name, id,
				NULL);
		close_entry(page, section->name, id);
	}
}

/* action is "VERB", "VERB SECTION" or "VERB SECTION ID".  Returns the HTTP
 * status of the page. */
static int run_action(console_t *console, page_t *page, const char *action,
		      bool conflict, bsh_control_answer_t *reply)
{
	char **parts = g_strsplit(action != NULL ? action : "review", " ", 3);
	guint count = g_strv_length(parts);
	const draft_section_t *section =
		count > 1 ? draft_section(parts[1]) : NULL;
	int status = HTTP_OK;

	if (section != NULL)
		edit_entry(page, parts[0], section, parts[2]);
	/* Nothing is submitted before the operator has seen the newer
	 * document. */
	if (conflict) {
		rebase_draft(page, page->generation, page->document);
		status = HTTP_CONFLICT;
	} else if (count == 1) {
		status = check_and_submit(
			console, page, strcmp(parts[0], "submit") == 0, reply);
	}
	g_strfreev(parts);
	return status;
}

/* When the response to PUT /v1/config was lost, the document may have been
 * accepted.  Then the document in force equals the drafted one. */
static bool is_draft_in_force(const page_t *page)
{
	json_t *drafted = draft_build_document(page->draft, page->document);
	GArray *problems = bsh_doc_problems_new();
	bsh_document_t doc_drafted;
	bsh_document_t doc_in_force;
	bool already_accepted = false;

	if (parse_drafted(&doc_drafted, drafted, problems) == BSH_OK) {
		if (page->document != NULL &&
		    parse_in_force(&doc_in_force, page->document)) {
			already_accepted = strcmp(doc_drafted.hash,
						  doc_in_force.hash) == 0;
			bsh_document_finish(&doc_in_force);
		}
		bsh_document_finish(&doc_drafted);
	}
	g_array_free(problems, TRUE);
	json_decref(drafted);
	return already_accepted;
}

static void redirect_accepted(bsh_http_request_t *request, int64_t generation)
{
	g_autofree char *location = g_strdup_printf(
		"/?accepted=%" G_GINT64_FORMAT, (gint64)generation);

	bsh_http_response_add_header(request, "Location", location);
	send_response(request, HTTP_SEE_OTHER, HTML_MEDIA_TYPE, "", 0);
}

static void post_draft(console_t *console, bsh_http_request_t *request,
		       GHashTable *parameters, draft_t *draft,
		       const json_t *document, int64_t generation)
{
	const char *action = g_hash_table_lookup(parameters, "action");
	bsh_control_answer_t reply = { 0 };
	GString *out = NULL;
	bool conflict = draft->generation != generation;
	bool already_accepted;
	page_t page;
	int status;

	init_page(&page, g_hash_table_lookup(parameters, "token"), draft,
		  document, generation);
	if (!apply_entry_forms(&page, parameters)) {
		send_message_page(
			request, HTTP_INVALID, "Malformed form",
			"The form is malformed. Nothing was changed.");
		goto out;
	}
	already_accepted = conflict && g_strcmp0(action, "submit") == 0 &&
			   is_draft_in_force(&page);
	status = already_accepted
			 ? HTTP_SEE_OTHER
			 : run_action(console, &page, action, conflict, &reply);
	if (status == HTTP_SEE_OTHER) {
		redirect_accepted(request, page.generation);
		goto out;
	}
	out = g_string_new(NULL);
	page_edit(out, &page);
	send_page(request, status, out);
out:
	finish_page(&page);
	bsh_control_answer_finish(&reply);
}

static GHashTable *read_form(const bsh_http_request_t *request)
{
	const char *type = bsh_http_request_header(request, "Content-Type");
	size_t size;
	const char *body = bsh_http_request_body(request, &size);

	if (type == NULL || !g_str_has_prefix(type, FORM_MEDIA_TYPE) ||
	    body == NULL)
		return NULL;
	return g_uri_parse_params(body, (gssize)size, "&",
				  G_URI_PARAMS_WWW_FORM, NULL);
}

static void post_edit(console_t *console, bsh_http_request_t *request)
{
	GHashTable *parameters = read_form(request);
	bsh_control_answer_t reply;
	g_autofree char *notice = NULL;
	int64_t generation;
	json_t *document;
	draft_t draft;

	if (parameters == NULL) {
		send_message_page(
			request, HTTP_INVALID, "Malformed form",
			"The form is malformed. Nothing was changed.");
		return;
	}
	if (!is_origin_same(request) ||
	    !is_token_valid(console, request, parameters)) {
		bsh_counter_add(&forbidden_total, 1);
		send_message_page(
			request, HTTP_FORBIDDEN, "Refused",
			"The form does not come from this console. "
			"Nothing was changed; go back, reload the page "
			"and try again.");
		goto out;
	}
	if (!fetch_document(console, &reply, &generation, &document, &notice)) {
		GString *page = g_string_new(NULL);

		page_retry(page, parameters, notice);
		send_page(request, HTTP_UNAVAILABLE, page);
		goto out;
	}
	if (draft_parse(&draft, g_hash_table_lookup(parameters, "generation"),
			g_hash_table_lookup(parameters, "changes"))) {
		post_draft(console, request, parameters, &draft, document,
			   generation);
		draft_finish(&draft);
	} else {
		send_message_page(
			request, HTTP_INVALID, "Malformed form",
			"The form is malformed. Nothing was changed.");
	}
	bsh_control_answer_finish(&reply);
out:
	g_hash_table_destroy(parameters);
}

static void get_ready(const console_t *console, bsh_http_request_t *request)
{
	const char *text = console->draining ? "draining\n" : "ready\n";

	send_response(request, console->draining ? HTTP_UNAVAILABLE : HTTP_OK,
		      "text/plain", text, strlen(text));
}

static void send_text(bsh_http_request_t *request, const char *type,
		      GString *text)
{
	send_response(request, HTTP_OK, type, text->str, text->len);
	g_string_free(text, TRUE);
}

static void get_timeline(console_t *console, bsh_http_request_t *request)
{
	const char *since = bsh_http_request_argument(request, "since");
	GString *text = g_string_new(NULL);

	bsh_timeline_print(
		&console->timeline,
		since != NULL ? g_ascii_strtoull(since, NULL, 10) : 0, text);
	send_text(request, "application/x-ndjson", text);
}

/* Health, metrics and time line, for monitoring tools: no check of Host, no
 * cookie, and not counted in requests_total. */
static bool serve_admin(console_t *console, bsh_http_request_t *request,
			const char *path)
{
	GString *text;

	if (strcmp(path, "/healthz") == 0) {
		send_response(request, HTTP_OK, "text/plain", "ok\n", 3);
	} else if (strcmp(path, "/readyz") == 0) {
		get_ready(console, request);
	} else if (strcmp(path, "/metrics") == 0) {
		text = g_string_new(NULL);
		bsh_counter_print(text);
		send_text(request, "text/plain; version=0.0.4", text);
	} else if (strcmp(path, "/timeline") == 0) {
		get_timeline(console, request);
	} else {
		return false;
	}
	return true;
}

static void serve_page(console_t *console, bsh_http_request_t *request,
		       const char *path, bool is_get)
{
	if (strcmp(path, "/") == 0 && is_get)
		get_overview(console, request);
	else if (strcmp(path, "/document") == 0 && is_get)
		get_document(console, request);
	else if (strcmp(path, "/edit") == 0 && is_get)
		get_edit(console, request);
	else if (strcmp(path, "/edit") == 0)
		post_edit(console, request);
	else if (strcmp(path, "/console.css") == 0 && is_get)
		send_response(request, HTTP_OK, "text/css; charset=utf-8",
			      console_css, strlen(console_css));
	else if (strcmp(path, "/console.js") == 0 && is_get)
		send_response(request, HTTP_OK,
			      "text/javascript; charset=utf-8", console_js,
			      strlen(console_js));
	else
		send_message_page(request,
				  is_get ? HTTP_NOT_FOUND
					 : HTTP_METHOD_NOT_ALLOWED,
				  "Not found", "There is no such page.");
}

void console_on_request(void *ctx, bsh_http_request_t *request)
{
	console_t *console = ctx;
	const char *method = bsh_http_request_method(request);
	const char *path = bsh_http_request_path(request);
	bool is_get = strcmp(method, "GET") == 0;

	if (is_get && serve_admin(console, request, path))
		return;
	bsh_counter_add(&requests_total, 1);
	if (!is_get && strcmp(method, "POST") != 0) {
		bsh_http_response_add_header(request, "Allow", "GET, POST");
		send_message_page(request, HTTP_METHOD_NOT_ALLOWED,
				  "Method not allowed",
				  "Only GET and POST are allowed.");
		return;
	}
	if (!is_host_allowed(request)) {
		bsh_counter_add(&forbidden_total, 1);
		send_message_page(request, HTTP_FORBIDDEN, "Refused",
				  "Use the IP address of the console, or "
				  "localhost, in the URL.");
		return;
	}
	serve_page(console, request, path, is_get);
}
