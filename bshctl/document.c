/* Commands on the configuration document: check, diff, apply. */
#include "bshctl.h"

#include <err.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json_text.h"

#define POLL_INTERVAL_US (200 * 1000)
#define HTTP_OK		 200
#define HTTP_NOT_FOUND	 404
#define HTTP_CONFLICT	 409
#define HTTP_REJECTED	 422

/* Reads a file, and stops once it exceeds the size limit of a document: the
 * parser then rejects the text as too large. */
static GString *read_file(const char *path)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	GString *text;
	char buffer[65536];
	size_t n;

	if (file == NULL) {
		warn("%s", path);
		return NULL;
	}
	text = g_string_new(NULL);
	while (text->len <= BSH_DOC_TEXT_MAX_BYTES &&
	       (n = fread(buffer, 1, sizeof(buffer), file)) > 0)
		g_string_append_len(text, buffer, (gssize)n);
	if (ferror(file)) {
		warn("%s", path);
		g_string_free(text, TRUE);
		text = NULL;
	}
	if (file != stdin)
		fclose(file);
	return text;
}

static void print_problems(const char *source, const json_t *problems)
{
	size_t index;
	json_t *problem;

	warnx("%s: rejected for %zu reason%s", source,
	      json_array_size(problems),
	      json_array_size(problems) == 1 ? "" : "s");
	json_array_foreach((json_t *)problems, index, problem)
	{
		ctl_print_field(ctl_json_string(problem, "path", "?"), false);
		ctl_print_field(ctl_json_string(problem, "value", ""), false);
		ctl_print_field(ctl_json_string(problem, "allowed", "?"), true);
	}
}

static ctl_status_t report_rejection(const ctl_t *ctl, const char *source,
				     json_t *problems)
{
	if (ctl->options.json) {
		ctl_print_json(bsh_json_pack("{s:s, s:s, s:o}", "result",
					     "rejected", "source", source,
					     "problems", problems));
		return CTL_REJECTED;
	}
	print_problems(source, problems);
	json_decref(problems);
	return CTL_REJECTED;
}

/* Reads and validates a file; on success the document needs a
 * bsh_document_finish(). */
static ctl_status_t load_document(const ctl_t *ctl, const char *path,
				  bsh_document_t *doc)
{
	GArray *problems = bsh_doc_problems_new();
	g_autofree char *shown = g_filename_display_name(path);
	GString *text = read_file(path);
	ctl_status_t status = CTL_USAGE;

	if (text == NULL)
		goto out;
	status = CTL_OK;
	if (bsh_document_init(doc, text->str, text->len, problems) != BSH_OK)
		status = report_rejection(ctl, shown,
					  bsh_doc_problems_json(problems));
	g_string_free(text, TRUE);
out:
	g_array_free(problems, TRUE);
	return status;
}

int ctl_check(ctl_t *ctl)
{
	bsh_document_t doc;
	ctl_status_t status = load_document(ctl, ctl->argv[0], &doc);

	if (status != CTL_OK)
		return status;
	if (ctl->options.json)
		ctl_print_json(bsh_json_pack(
			"{s:s, s:s, s:i, s:i, s:i}", "result", "valid", "hash",
			doc.hash, "pools", (int)doc.pools->len, "models",
			(int)doc.models->len, "services",
			(int)doc.services->len));
	else
		printf("valid\t%s\t%u pools\t%u models\t%u services\n",
		       doc.hash, doc.pools->len, doc.models->len,
		       doc.services->len);
	bsh_document_finish(&doc);
	return CTL_OK;
}

static const char empty_document[] =
	"{\"deployment\":\"none\",\"weight\":0,\"weight_store\":"
	"{\"loads_per_s\":1,\"concurrent\":1}}";

/* Parses the document of a response; without one, doc is the empty document. */
static ctl_status_t parse_config(const bsh_control_answer_t *answer,
				 int64_t *generation, bsh_document_t *doc)
{
	GArray *problems = bsh_doc_problems_new();
	json_t *json;
	ctl_status_t status = CTL_OK;

	if (bsh_control_config(answer, generation, &json) != BSH_OK ||
	    (json != NULL ? bsh_document_init_json(doc, json, problems)
			  : bsh_document_init(doc, empty_document,
					      strlen(empty_document),
					      problems)) != BSH_OK)
		status = ctl_unexpected(answer, "/v1/config");
	g_array_free(problems, TRUE);
	return status;
}

static ctl_status_t fetch_config(ctl_t *ctl, int64_t *generation,
				 bsh_document_t *doc)
{
	bsh_control_answer_t answer;
	ctl_status_t status;

	*generation = 0;
	status = ctl_request(ctl, "GET", "/v1/config", NULL, &answer);
	if (status != CTL_OK)
		return status;
	if (answer.status == HTTP_OK || answer.status == HTTP_NOT_FOUND)
		status = parse_config(&answer, generation, doc);
	else
		status = ctl_unexpected(&answer, "/v1/config");
	bsh_control_answer_finish(&answer);
	return status;
}

static json_t *lines_json(const GString *lines)
{
	char **parts = g_strsplit(lines->str, "\n", -1);
	json_t *list = json_array();

	for (int i = 0; parts[i] != NULL; i++) {
		if (parts[i][0] != '\0')
			json_array_append_new(list, bsh_json_string(parts[i]));
	}
	g_strfreev(parts);
	return list;
}

int ctl_diff(ctl_t *ctl)
{
	GString *lines = g_string_new(NULL);
	int64_t generation = -1;
	bsh_document_t from;
	bsh_document_t to;
	uint32_t count;
	ctl_status_t status;

	status = load_document(ctl, ctl->argv[ctl->argc - 1], &to);
	if (status != CTL_OK)
		goto out;
	if (ctl->argc == 2)
		status = load_document(ctl, ctl->argv[0], &from);
	else if ((status = ctl_connect(ctl)) == CTL_OK)
		status = fetch_config(ctl, &generation, &from);
	if (status != CTL_OK)
		goto finish_to;
	count = bsh_document_diff(&from, &to, lines);
	if (ctl->options.json)
		ctl_print_json(bsh_json_pack(
			"{s:I, s:i, s:o}", "generation", (json_int_t)generation,
			"count", (int)count, "differences", lines_json(lines)));
	else if (generation == 0)
		puts("# no document is accepted yet");
	if (!ctl->options.json)
		ctl_print_lines(lines->str);
	status = count == 0 ? CTL_OK : CTL_DIFFERS;
	bsh_document_finish(&from);
finish_to:
	bsh_document_finish(&to);
out:
	g_string_free(lines, TRUE);
	return status;
}

static void print_result(const ctl_t *ctl, const char *result,
			 int64_t generation)
{
	if (ctl->options.json)
		ctl_print_json(bsh_json_pack("{s:s, s:I}", "result", result,
					     "generation",
					     (json_int_t)generation));
	else
		printf("%s\tgeneration %" G_GINT64_FORMAT "\n", result,
		       (gint64)generation);
	fflush(stdout);
}

/* Polls the status until the generation is in force on all instances or the
 * wait time has passed. */
static ctl_status_t wait_in_force(ctl_t *ctl, int64_t generation)
{
	int64_t end_us = g_get_monotonic_time() +
			 (int64_t)ctl->options.wait_s * G_USEC_PER_SEC;
	bsh_control_answer_t answer;
	ctl_status_t status;

	do {
		json_t *number;
		bool done;

		status = ctl_get_json(ctl, "/v1/status", &answer);
		if (status != CTL_OK)
			return status;
		number = json_object_get(answer.json, "in_force");
		done = json_is_integer(number) &&
		       json_integer_value(number) >= generation;
		if (!json_is_integer(number))
			status = ctl_unexpected(&answer, "/v1/status");
		bsh_control_answer_finish(&answer);
		if (status != CTL_OK)
			return status;
		if (done) {
			print_result(ctl, "in force", generation);
			return CTL_OK;
		}
		g_usleep(POLL_INTERVAL_US);
	} while (g_get_monotonic_time() < end_us);
	warnx("generation %" G_GINT64_FORMAT
	      " is accepted but not in force after %d s",
	      (gint64)generation, ctl->options.wait_s);
	return CTL_TIMED_OUT;
}

/* Prints the result of an accepted document and waits if --wait is given.  With
 * --json one object is printed: the last state that was reached. */
static ctl_status_t finish_apply(ctl_t *ctl, const char *result,
				 int64_t generation)
{
	ctl_status_t status = CTL_OK;

	if (!ctl->options.json)
		print_result(ctl, result, generation);
	if (ctl->options.wait_s > 0)
		status = wait_in_force(ctl, generation);
	if (ctl->options.json && (status != CTL_OK || ctl->options.wait_s == 0))
		print_result(ctl, result, generation);
	return status;
}

static ctl_status_t report_conflict(const ctl_t *ctl, int64_t generation,
				    const bsh_document_t *base,
				    const bsh_document_t *current,
				    const bsh_document_t *submitted)
{
	GString *their_changes = g_string_new(NULL);
	GString *our_changes = g_string_new(NULL);

	if (base != NULL)
		bsh_document_diff(base, current, their_changes);
	bsh_document_diff(current, submitted, our_changes);
	warnx("conflict: generation %" G_GINT64_FORMAT
	      " is newer than the one your document is based on; "
	      "nothing was changed",
	      (gint64)generation);
	if (ctl->options.json) {
		ctl_print_json(bsh_json_pack("{s:s, s:I, s:o, s:o}", "result",
					     "conflict", "generation",
					     (json_int_t)generation, "theirs",
					     lines_json(their_changes), "yours",
					     lines_json(our_changes)));
	} else {
		if (base != NULL)
			puts("# changed by the other operator");
		ctl_print_lines(their_changes->str);
		printf("# your document against generation %" G_GINT64_FORMAT
		       "\n",
		       (gint64)generation);
		ctl_print_lines(our_changes->str);
	}
	g_string_free(their_changes, TRUE);
	g_string_free(our_changes, TRUE);
	return CTL_CONFLICT;
}

/* Reports a conflict; a response without the document in force is completed by
 * reading it. */
static ctl_status_t handle_conflict(ctl_t *ctl,
				    const bsh_control_answer_t *answer,
				    const bsh_document_t *base,
				    const bsh_document_t *submitted)
{
	bsh_document_t current;
	int64_t generation;
	ctl_status_t status;

	if (json_object_get(answer->json, "document") != NULL)
		status = parse_config(answer, &generation, &current);
	else
		status = fetch_config(ctl, &generation, &current);
	if (status != CTL_OK)
		return status;
	status = report_conflict(ctl, generation, base, &current, submitted);
	bsh_document_finish(&current);
	return status;
}

static ctl_status_t submit_document(ctl_t *ctl, const bsh_document_t *submitted,
				    const bsh_document_t *base,
				    int64_t generation)
{
	char *text = bsh_document_text(submitted);
	bsh_control_answer_t answer;
	int64_t accepted;
	json_t *problems;
	bsh_error_t err;
	ctl_status_t status;

	err = bsh_control_put_config(&ctl->client, text, submitted->hash,
				     generation, &answer, &accepted);
	free(text);
	if (err != BSH_OK) {
		warnx("no controller answered: %s (%s)%s", ctl->client.failure,
		      bsh_error_name(err),
		      err == BSH_ERR_CONNECT
			      ? "; nothing was changed"
			      : "; the document may have been accepted, "
				"run the same command again");
		return CTL_UNREACHABLE;
	}
	problems = json_object_get(answer.json, "problems");
	if (answer.status == HTTP_OK && accepted > 0)
		status = finish_apply(ctl, "accepted", accepted);
	else if (answer.status == HTTP_CONFLICT)
		status = handle_conflict(ctl, &answer, base, submitted);
	else if (answer.status == HTTP_REJECTED && json_is_array(problems))
		status = report_rejection(ctl, answer.address,
					  json_incref(problems));
	else
		status = ctl_unexpected(&answer, "/v1/config");
	bsh_control_answer_finish(&answer);
	return status;
}

int ctl_apply(ctl_t *ctl)
{
	const int64_t expected = ctl->options.generation;
	int64_t generation;
	bsh_document_t submitted;
	bsh_document_t base;
	ctl_status_t status;

	status = load_document(ctl, ctl->argv[0], &submitted);
	if (status != CTL_OK)
		return status;
	status = ctl_connect(ctl);
	if (status != CTL_OK)
		goto finish_mine;
	status = fetch_config(ctl, &generation, &base);
	if (status != CTL_OK)
		goto finish_mine;
	if (generation > 0 && strcmp(submitted.hash, base.hash) == 0)
		status = finish_apply(ctl, "unchanged", generation);
	else if (expected >= 0 && expected != generation)
		status = report_conflict(ctl, generation, NULL, &base,
					 &submitted);
	else
		status = submit_document(ctl, &submitted, &base, generation);
	bsh_document_finish(&base);
finish_mine:
	bsh_document_finish(&submitted);
	return status;
}
