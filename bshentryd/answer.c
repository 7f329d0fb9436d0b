/* Answers that an instance gives itself: problem documents. */
#include "traffic.h"

#include <string.h>

#include "platform/ingress.h"
#include "protocol/problem.h"

void answer_problem(request_t *r, bsh_error_t err, int64_t retry_ms)
{
	const bsh_error_info_t *answer = bsh_error_info(err);
	bsh_problem_t problem;
	char *body;
	char seconds[32];

	bsh_problem_init(&problem, err);
	if (answer->retry_after && retry_ms >= 0) {
		problem.retry_after_ms = retry_ms;
		g_snprintf(seconds, sizeof(seconds), "%d.%03d",
			   (int)(retry_ms / 1000), (int)(retry_ms % 1000));
		bsh_http_response_add_header(r->http, "Retry-After", seconds);
	}
	problem.request_id = r->info.attempt_id;
	body = bsh_problem_body(&problem);
	bsh_http_response_add_header(r->http, "Content-Type",
				     BSH_PROBLEM_MEDIA_TYPE);
	platform_answer_attempt_id(r->http, &r->info);
	if (r->from_peer && answer->outcome == BSH_OUTCOME_NOT_RUN)
		platform_answer_not_run(r->http);
	bsh_http_response_send(r->http, answer->http_status, body,
			       strlen(body));
	free(body);
}
