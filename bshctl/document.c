/* Commands on the operator's document: check, diff, apply. */
#include "bshctl.h"

#include <err.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL_INTERVAL_US (200 * 1000)
#define HTTP_OK		 200
#define HTTP_NOT_FOUND	 404
#define HTTP_CONFLICT	 409
#define HTTP_REJECTED	 422

/* Reads one byte more than a document may have, so that the size check of
 * the document sees that it is too large. */
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

static ctl_status_t reject(const ctl_t *ctl, const char *source,
			   json_t *problems)
{
	if (ctl->options.json) {
		ctl_print_json(json_pack("{s:s, s:s, s:o}", "result",
					 "rejected", "source", source,
					 "problems", problems));
		return CTL_REJECTED;
	}
	print_problems(source, problems);
	json_decref(problems);
	return CTL_REJECTED;
}

/* Reads and validates a file; on success the document needs a finish. */
static ctl_status_t load(const ctl_t *ctl, const char *path,
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
		status = reject(ctl, shown, bsh_doc_problems_json(problems));
	g_string_free(text, TRUE);
out:
	g_array_free(problems, TRUE);
	return status;
}

int ctl_check(ctl_t *ctl)
{
	bsh_document_t doc;
	ctl_status_t status = load(ctl, ctl->argv[0], &doc);

	if (status != CTL_OK)
		return status;
	if (ctl->options.json)
		ctl_print_json(json_pack("{s:s, s:s, s:i, s:i, s:i}", "result",
					 "valid", "hash", doc.hash, "pools",
					 (int)doc.pools->len, "models",
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

/* Parses the document of an answer; without one, the empty document. */
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

static ctl_status_t fetch(ctl_t *ctl, int64_t *generation, bsh_document_t *doc)
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
			json_array_append_new(list, json_string(parts[i]));
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

	status = load(ctl, ctl->argv[ctl->argc - 1], &to);
	if (status != CTL_OK)
		goto out;
	if (ctl->argc == 2)
		status = load(ctl, ctl->argv[0], &from);
	else if ((status = ctl_connect(ctl)) == CTL_OK)
		status = fetch(ctl, &generation, &from);
	if (status != CTL_OK)
		goto finish_to;
	count = bsh_document_diff(&from, &to, lines);
	if (ctl->options.json)
		ctl_print_json(json_pack(
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
		ctl_print_json(json_pack("{s:s, s:I}", "result", result,
					 "generation", (json_int_t)generation));
	else
		printf("%s\tgeneration %" G_GINT64_FORMAT "\n", result,
		       (gint64)generation);
	fflush(stdout);
}

/* Asks until the generation is in force or the wait time has passed. */
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

/* With --json one object is printed: the last state that was reached. */
static ctl_status_t report(ctl_t *ctl, const char *result, int64_t generation)
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

static ctl_status_t conflict(const ctl_t *ctl, int64_t generation,
			     const bsh_document_t *read,
			     const bsh_document_t *newer,
			     const bsh_document_t *mine)
{
	GString *theirs = g_string_new(NULL);
	GString *ours = g_string_new(NULL);

	if (read != NULL)
		bsh_document_diff(read, newer, theirs);
	bsh_document_diff(newer, mine, ours);
	warnx("conflict: generation %" G_GINT64_FORMAT
	      " is newer than the one your document is based on; "
	      "nothing was changed",
	      (gint64)generation);
	if (ctl->options.json) {
		ctl_print_json(json_pack(
			"{s:s, s:I, s:o, s:o}", "result", "conflict",
			"generation", (json_int_t)generation, "theirs",
			lines_json(theirs), "yours", lines_json(ours)));
	} else {
		if (read != NULL)
			puts("# changed by the other operator");
		ctl_print_lines(theirs->str);
		printf("# your document against generation %" G_GINT64_FORMAT
		       "\n",
		       (gint64)generation);
		ctl_print_lines(ours->str);
	}
	g_string_free(theirs, TRUE);
	g_string_free(ours, TRUE);
	return CTL_CONFLICT;
}

/* A conflict whose answer does not hold the newer document is resolved by
 * reading it. */
static ctl_status_t answer_conflict(ctl_t *ctl,
				    const bsh_control_answer_t *answer,
				    const bsh_document_t *read,
				    const bsh_document_t *mine)
{
	bsh_document_t newer;
	int64_t generation;
	ctl_status_t status;

	if (json_object_get(answer->json, "document") != NULL)
		status = parse_config(answer, &generation, &newer);
	else
		status = fetch(ctl, &generation, &newer);
	if (status != CTL_OK)
		return status;
	status = conflict(ctl, generation, read, &newer, mine);
	bsh_document_finish(&newer);
	return status;
}

static ctl_status_t submit(ctl_t *ctl, const bsh_document_t *mine,
			   const bsh_document_t *read, int64_t generation)
{
	char *text = bsh_document_text(mine);
	bsh_control_answer_t answer;
	int64_t accepted;
	json_t *problems;
	bsh_error_t err;
	ctl_status_t status;

	err = bsh_control_put_config(&ctl->client, text, mine->hash, generation,
				     &answer, &accepted);
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
		status = report(ctl, "accepted", accepted);
	else if (answer.status == HTTP_CONFLICT)
		status = answer_conflict(ctl, &answer, read, mine);
	else if (answer.status == HTTP_REJECTED && json_is_array(problems))
		status = reject(ctl, answer.address, json_incref(problems));
	else
		status = ctl_unexpected(&answer, "/v1/config");
	bsh_control_answer_finish(&answer);
	return status;
}

int ctl_apply(ctl_t *ctl)
{
	const int64_t expected = ctl->options.generation;
	int64_t generation;
	bsh_document_t mine;
	bsh_document_t read;
	ctl_status_t status;

	status = load(ctl, ctl->argv[0], &mine);
	if (status != CTL_OK)
		return status;
	status = ctl_connect(ctl);
	if (status != CTL_OK)
		goto finish_mine;
	status = fetch(ctl, &generation, &read);
	if (status != CTL_OK)
		goto finish_mine;
	if (generation > 0 && strcmp(mine.hash, read.hash) == 0)
		status = report(ctl, "unchanged", generation);
	else if (expected >= 0 && expected != generation)
		status = conflict(ctl, generation, NULL, &read, &mine);
	else
		status = submit(ctl, &mine, &read, generation);
	bsh_document_finish(&read);
finish_mine:
	bsh_document_finish(&mine);
	return status;
}
