/*
 * Stand-in for the weight store.  GET /v1/weights/MODEL is answered when the
 * simulated transfer has ended.
 *
 *	standin_weights [PORT]
 *
 * Control, besides the faults of support/standin.h:
 *	loads_per_s	rate limit, 429 above (0: unlimited)
 *	concurrent	number of transfers at full speed; with more of them,
 *			all are slower in proportion (0: unlimited)
 *	transfer_ms	time of a transfer at full speed
 *	fail		503 for the next N requests
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "support/standin.h"

#define STEP_MS 20

static double tokens = 1;   /* of the rate limit, a token bucket */
static int64_t refilled_us; /* time of the last refill */
static int64_t running;	    /* transfers in progress */
static int64_t peak_running;
static int64_t refused; /* requests answered 429 */
static json_t *fetches;

/* Takes a token from the bucket; false if none is left. */
static bool take_token(void)
{
	double rate = (double)standin_fault("loads_per_s");
	int64_t now_us = standin_now_us();

	if (rate <= 0)
		return true;
	tokens = MIN(MAX(rate, 1),
		     tokens + (double)(now_us - refilled_us) * rate / 1e6);
	refilled_us = now_us;
	if (tokens < 1)
		return false;
	tokens -= 1;
	return true;
}

/* Simulates one transfer in short steps, because its speed depends on the
 * number of transfers in progress. */
static void transfer(void)
{
	double remaining_ms = (double)standin_fault("transfer_ms");

	running++;
	peak_running = MAX(peak_running, running);
	while (remaining_ms > 0) {
		int64_t full_speed_max = standin_fault("concurrent");
		double speed =
			full_speed_max > 0 && running > full_speed_max
				? (double)full_speed_max / (double)running
				: 1.0;
		int64_t began_us = standin_now_us();

		standin_sleep(
			MIN(STEP_MS, (int64_t)(remaining_ms / speed) + 1));
		remaining_ms -=
			(double)(standin_now_us() - began_us) / 1e3 * speed;
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
	if (!take_token()) {
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
			 (json_int_t)peak_running, "refused",
			 (json_int_t)refused);
}

int main(int argc, char **argv)
{
	static const standin_t weights = { "standin_weights", handle, NULL,
					   records };

	fetches = json_array();
	return standin_run(&weights, argc > 1 ? atoi(argv[1]) : 0);
}
