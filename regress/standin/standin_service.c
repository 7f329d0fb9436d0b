/*
 * Stand-in for a service without models.  Counts the executions of each
 * Idempotency-Key, or X-Request-Id where that is absent.
 *
 *	standin_service [PORT]
 *
 * Control, besides the faults of support/standin.h: work_ms (time before the
 * effect), answer_bytes (size of the text in the answer; 0: a short answer).
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "support/standin.h"

static json_t *executions; /* key to count */
static json_t *answers;	   /* one record for each execution */

static void handle(const standin_request_t *request, standin_answer_t *answer)
{
	const char *key = standin_header(request, "Idempotency-Key");
	int64_t n;

	if (key == NULL)
		key = standin_header(request, "X-Request-Id");
	if (key == NULL)
		key = "";
	standin_sleep(standin_fault("work_ms"));
	n = standin_int(executions, key) + 1;
	json_object_set_new(executions, key, json_integer(n));
	json_array_append_new(
		answers, json_pack("{s:s, s:s, s:s, s:I, s:I}", "key", key,
				   "method", request->method, "path",
				   request->path, "execution", (json_int_t)n,
				   "at_us", (json_int_t)standin_now_us()));
	if (standin_fault("answer_bytes") > 0) {
		g_autofree char *text =
			g_strnfill((gsize)standin_fault("answer_bytes"), 'x');

		standin_answer(answer, 200, json_pack("{s:s}", "text", text));
		return;
	}
	standin_answer(answer, 201,
		       json_pack("{s:s, s:I, s:s}", "key", key, "execution",
				 (json_int_t)n, "path", request->path));
}

static json_t *records(void)
{
	return json_pack("{s:O, s:O}", "executions", executions, "answers",
			 answers);
}

int main(int argc, char **argv)
{
	static const standin_t service = { "standin_service", handle, NULL,
					   records };

	executions = json_object();
	answers = json_array();
	return standin_run(&service, argc > 1 ? atoi(argv[1]) : 0);
}
