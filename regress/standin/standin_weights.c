/*
 * The weight store: GET /v1/weights/MODEL answers when the transfer is over.
 * Faults: loads_per_s (429 above), concurrent (at full speed; more are slower
 * in proportion), transfer_ms (at full speed), fail (503 for the next N).
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "support/standin.h"

static double tokens = 1;
static int64_t tokens_us;
static int64_t running;
static int64_t most_running;
static int64_t refused;
static json_t *fetches;

static bool is_within_rate(void)
{
	double rate = (double)standin_fault("loads_per_s");
	int64_t now_us = standin_now_us();

	if (rate <= 0)
		return true;
	tokens = MIN(MAX(rate, 1),
		     tokens + (double)(now_us - tokens_us) * rate / 1e6);
	tokens_us = now_us;
	if (tokens < 1)
		return false;
	tokens -= 1;
	return true;
}

/* Advance one transfer in small steps; its speed follows the others. */
static void transfer(void)
{
	double left_ms = (double)standin_fault("transfer_ms");

	running++;
	most_running = MAX(most_running, running);
	while (left_ms > 0) {
		int64_t full = standin_fault("concurrent");
		double speed = full > 0 && running > full
				       ? (double)full / (double)running
				       : 1.0;
		int64_t began_us = standin_now_us();

		standin_sleep(MIN(20, (int64_t)(left_ms / speed) + 1));
		left_ms -= (double)(standin_now_us() - began_us) / 1e3 * speed;
	}
	running--;
}

static void handle(const standin_request_t *request, standin_answer_t *answer)
{
	if (!g_str_has_prefix(request->path, "/v1/weights/")) {
		standin_answer(answer, 404, NULL);
		return;
	}
	if (standin_consume_fault("fail")) {
		standin_answer(answer, 503, NULL);
		return;
	}
	if (!is_within_rate()) {
		refused++;
		standin_answer(answer, 429, NULL);
		answer->header = "Retry-After";
		g_strlcpy(answer->value, "1", sizeof(answer->value));
		return;
	}
	json_array_append_new(
		fetches, json_pack("{s:s, s:I}", "model",
				   request->path + strlen("/v1/weights/"),
				   "began_us", (json_int_t)standin_now_us()));
	transfer();
	standin_answer(answer, 200, json_object());
}

static json_t *records(void)
{
	return json_pack("{s:O, s:I, s:I}", "fetches", fetches, "most_running",
			 (json_int_t)most_running, "refused",
			 (json_int_t)refused);
}

int main(int argc, char **argv)
{
	static const standin_t weights = { "standin_weights", handle, NULL,
					   records };

	fetches = json_array();
	return standin_run(&weights, argc > 1 ? atoi(argv[1]) : 0);
}
