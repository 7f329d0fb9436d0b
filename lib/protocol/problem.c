#include "protocol/problem.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/json_text.h"

void bsh_problem_init(bsh_problem_t *problem, bsh_error_t err)
{
	memset(problem, 0, sizeof(*problem));
	problem->err = err;
	problem->outcome = bsh_error_info(err)->outcome;
	problem->retry_after_ms = -1;
}

static void set_text(json_t *json, const char *key, const char *value)
{
	if (value != NULL && value[0] != '\0')
		json_object_set_new(json, key, bsh_json_string(value));
}

char *bsh_problem_body(const bsh_problem_t *problem)
{
	const bsh_error_info_t *answer = bsh_error_info(problem->err);
	g_autofree char *type =
		g_strconcat(BSH_PROBLEM_TYPE_PREFIX, answer->name, NULL);
	json_t *json =
		bsh_json_pack("{s:s, s:s, s:i, s:s}", "type", type, "title",
			      answer->title, "status", (int)answer->http_status,
			      "outcome", bsh_outcome_name(problem->outcome));
	char *text;

	set_text(json, "detail", problem->detail);
	set_text(json, "request_id", problem->request_id);
	set_text(json, "entry", problem->entry);
	if (problem->retry_after_ms >= 0)
		json_object_set_new(json, "retry_after_ms",
				    json_integer(problem->retry_after_ms));
	text = bsh_json_text(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

int64_t bsh_problem_retry_after_s(const bsh_problem_t *problem)
{
	if (problem->retry_after_ms < 0)
		return -1;
	return (problem->retry_after_ms + 999) / 1000;
}

void bsh_problem_event(const bsh_problem_t *problem, GString *out)
{
	char *body = bsh_problem_body(problem);

	g_string_append_printf(out, "event: error\ndata: %s\n\n", body);
	free(body);
}
