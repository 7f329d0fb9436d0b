#include <apr_general.h>
#include <err.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/daemon.h"
#include "protocol/sse.h"
#include "transport/http_client.h"

/*
 * bshload: HTTP load generator for chat completions, with open or closed loop.
 * Each thread has its own event loop, client and samples.
 */

#define THREADS_MAX	64
#define CLIENTS_MAX	100000
#define IDLE_TIMEOUT_MS 120000
#define DRAIN_MAX_US	INT64_C(120000000) /* wait for open requests */
#define DEFAULT_TOKENS	16

#define THREADS_MAX_TEXT G_STRINGIFY(THREADS_MAX)
#define CLIENTS_MAX_TEXT G_STRINGIFY(CLIENTS_MAX)

/* Options. */
static char *url;
static char *model;
static double rate;
static int clients;
static int threads = 1;
static double seconds = 10.0;
static int total;
static int tokens = DEFAULT_TOKENS;
static gboolean stream;
static gboolean as_json;
static gboolean show_version;

static const GOptionEntry options[] = {
	{ "url", 'u', 0, G_OPTION_ARG_STRING, &url, "URL of the endpoint",
	  "URL" },
	{ "model", 'm', 0, G_OPTION_ARG_STRING, &model, "Requested model",
	  "NAME" },
	{ "rate", 'r', 0, G_OPTION_ARG_DOUBLE, &rate,
	  "Open loop: requests per second, independent of responses", "N" },
	{ "clients", 'c', 0, G_OPTION_ARG_INT, &clients,
	  "Closed loop: clients with one outstanding request each", "N" },
	{ "seconds", 't', 0, G_OPTION_ARG_DOUBLE, &seconds,
	  "Time during which requests are started (10)", "S" },
	{ "requests", 'n', 0, G_OPTION_ARG_INT, &total,
	  "Stop after this many requests", "N" },
	{ "stream", 's', 0, G_OPTION_ARG_NONE, &stream,
	  "Request streaming responses", NULL },
	{ "tokens", 'k', 0, G_OPTION_ARG_INT, &tokens,
	  "Maximum tokens per response (16)", "N" },
	{ "threads", 'j', 0, G_OPTION_ARG_INT, &threads,
	  "Number of threads (1)", "N" },
	{ "json", 0, 0, G_OPTION_ARG_NONE, &as_json, "Print JSON", NULL },
	{ "version", 0, 0, G_OPTION_ARG_NONE, &show_version,
	  "Print the version and exit", NULL },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

/* Samples are microseconds. */
typedef struct {
	GArray *first; /* from scheduled start to first byte of the body */
	GArray *whole; /* from scheduled start to end of response */
	GArray *gaps;  /* between received parts of a stream */
	uint64_t started;
	uint64_t answered;
	uint64_t refused; /* complete responses with a status other than 200 */
	uint64_t broken;  /* transport errors and incomplete streams */
	uint64_t events;  /* of streams */
	int64_t begun_us;
	int64_t ended_us;
} stats_t;

typedef struct {
	bsh_loop_t loop;
	bsh_http_client_t *client;
	bsh_loop_timer_t timer;
	stats_t stats;
	char *body;
	double rate;
	int limit; /* requests of this thread; 0: no limit */
	int clients;
	int open; /* requests without an end yet */
	int64_t start_us;
	int64_t stop_us;
	uint64_t scheduled;
} worker_t;

typedef struct {
	worker_t *worker;
	bsh_sse_t sse;
	int64_t scheduled_us;
	int64_t last_us;
	bool done; /* the stream has sent its final event */
} request_t;

static void start_request(worker_t *w, int64_t scheduled_us);

static void add_sample(GArray *samples, int64_t value_us)
{
	uint32_t sample = (uint32_t)CLAMP(value_us, 0, UINT32_MAX);

	g_array_append_val(samples, sample);
}

static void on_data(void *ctx, const char *data, size_t size)
{
	request_t *request = ctx;
	stats_t *f = &request->worker->stats;
	int64_t now_us = bsh_loop_clock_us();
	bsh_sse_result_t result;

	if (request->last_us == 0)
		add_sample(f->first, now_us - request->scheduled_us);
	else if (stream)
		add_sample(f->gaps, now_us - request->last_us);
	request->last_us = now_us;
	if (stream &&
	    bsh_sse_feed(&request->sse, data, size, &result) == BSH_OK) {
		f->events += result.events;
		request->done |= result.done;
	}
}

static bool may_start(const worker_t *w)
{
	return bsh_loop_clock_us() < w->stop_us &&
	       (w->limit == 0 || w->stats.started < (uint64_t)w->limit);
}

static void stop_if_finished(worker_t *w)
{
	if (w->open == 0 && !may_start(w))
		bsh_loop_stop(&w->loop);
}

static void on_end(void *ctx, const bsh_http_result_t *result)
{
	request_t *request = ctx;
	worker_t *w = request->worker;
	stats_t *f = &w->stats;

	f->ended_us = bsh_loop_clock_us();
	if (result->err != BSH_OK ||
	    (result->status == 200 && stream && !request->done))
		f->broken++;
	else if (result->status != 200)
		f->refused++;
	else
		f->answered++;
	if (result->err == BSH_OK && result->status == 200)
		add_sample(f->whole, f->ended_us - request->scheduled_us);
	bsh_sse_finish(&request->sse);
	g_free(request);
	w->open--;
	if (w->rate <= 0.0 && may_start(w))
		start_request(w, bsh_loop_clock_us());
	else
		stop_if_finished(w);
}

static void start_request(worker_t *w, int64_t scheduled_us)
{
	static const char *const headers[] = { "Content-Type: application/json",
					       NULL };
	static const bsh_http_handler_t handler = { .on_data = on_data,
						    .on_end = on_end };
	bsh_http_call_spec_t spec = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = w->body,
		.body_size = strlen(w->body),
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.body_is_static = true,
	};
	request_t *request = g_new0(request_t, 1);
	bsh_http_call_t *call;

	request->worker = w;
	request->scheduled_us = scheduled_us;
	bsh_sse_init(&request->sse, NULL, NULL);
	if (bsh_http_client_start(w->client, &spec, &handler, request, &call) !=
	    BSH_OK)
		errx(1, "cannot start a request to %s", url);
	w->stats.started++;
	w->open++;
}

/* Open loop: latency counts from the scheduled start, so that a slow server
 * does not hide its queueing delay (coordinated omission). */
static void on_timer(void *ctx)
{
	worker_t *w = ctx;
	int64_t due_us;

	for (;;) {
		due_us = w->start_us +
			 (int64_t)((double)w->scheduled * 1e6 / w->rate);
		if (!may_start(w)) {
			stop_if_finished(w);
			return;
		}
		if (due_us > bsh_loop_clock_us())
			break;
		w->scheduled++;
		start_request(w, due_us);
	}
	bsh_loop_timer_start(&w->timer, due_us);
}

static void *run_worker(void *ctx)
{
	worker_t *w = ctx;
	int64_t deadline_us;

	w->start_us = bsh_loop_clock_us();
	w->stop_us = w->start_us + (int64_t)(seconds * 1e6);
	deadline_us = w->stop_us + DRAIN_MAX_US;
	w->stats.begun_us = w->start_us;
	if (w->rate > 0.0)
		on_timer(w);
	for (int i = 0; w->rate <= 0.0 && i < w->clients && may_start(w); i++)
		start_request(w, bsh_loop_clock_us());
	while (!w->loop.stopped && bsh_loop_clock_us() < deadline_us)
		bsh_loop_step(&w->loop, 100000);
	return NULL;
}

static char *make_body(void)
{
	json_t *json = json_pack("{s:s, s:b, s:i, s:[{s:s, s:s}]}", "model",
				 model, "stream", stream, "max_tokens", tokens,
				 "messages", "role", "user", "content",
				 "one two three four five six seven eight");
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return text;
}

static void init_worker(worker_t *w, int index)
{
	stats_t *f = &w->stats;

	if (bsh_loop_init(&w->loop) != BSH_OK)
		errx(1, "cannot create an event loop");
	w->client = bsh_http_client_new(&w->loop, CLIENTS_MAX);
	if (w->client == NULL)
		errx(1, "cannot create an HTTP client");
	bsh_loop_timer_init(&w->timer, &w->loop, on_timer, w);
	f->first = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	f->whole = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	f->gaps = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	w->body = make_body();
	w->rate = rate / threads;
	w->limit = total / threads + (index < total % threads);
	w->clients = clients / threads + (index < clients % threads);
}

static void finish_worker(worker_t *w)
{
	bsh_http_client_free(w->client);
	bsh_loop_finish(&w->loop);
	g_array_free(w->stats.first, TRUE);
	g_array_free(w->stats.whole, TRUE);
	g_array_free(w->stats.gaps, TRUE);
	free(w->body);
}

static void merge(stats_t *sum, const stats_t *part)
{
	g_array_append_vals(sum->first, part->first->data, part->first->len);
	g_array_append_vals(sum->whole, part->whole->data, part->whole->len);
	g_array_append_vals(sum->gaps, part->gaps->data, part->gaps->len);
	sum->started += part->started;
	sum->answered += part->answered;
	sum->refused += part->refused;
	sum->broken += part->broken;
	sum->events += part->events;
	sum->begun_us = MIN(sum->begun_us, part->begun_us);
	sum->ended_us = MAX(sum->ended_us, part->ended_us);
}

static int compare(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/* Quantile of sorted samples in milliseconds. */
static double quantile(const GArray *samples, double q)
{
	guint i = (guint)(q * samples->len);

	if (samples->len == 0)
		return 0.0;
	return g_array_index(samples, uint32_t, MIN(i, samples->len - 1)) /
	       1000.0;
}

static json_t *quantiles(const GArray *samples)
{
	return json_pack(
		"{s:i, s:f, s:f, s:f, s:f}", "samples", (int)samples->len,
		"p50", quantile(samples, 0.5), "p95", quantile(samples, 0.95),
		"p99", quantile(samples, 0.99), "max", quantile(samples, 1.0));
}

static double elapsed_s(const stats_t *f)
{
	return (double)MAX(f->ended_us - f->begun_us, 1) / 1e6;
}

static void print_json(const stats_t *f)
{
	json_t *json = json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:o, s:o, s:o}",
		"started", (json_int_t)f->started, "answered",
		(json_int_t)f->answered, "refused", (json_int_t)f->refused,
		"broken", (json_int_t)f->broken, "events",
		(json_int_t)f->events, "elapsed_s", elapsed_s(f),
		"requests_per_s", (double)f->answered / elapsed_s(f),
		"events_per_s", (double)f->events / elapsed_s(f),
		"first_byte_ms", quantiles(f->first), "whole_ms",
		quantiles(f->whole), "gap_ms", quantiles(f->gaps));

	json_dumpf(json, stdout, JSON_COMPACT);
	putchar('\n');
	json_decref(json);
}

static void print_row(const char *name, const GArray *samples)
{
	printf("%-14s %9u %9.3f %9.3f %9.3f %9.3f\n", name, samples->len,
	       quantile(samples, 0.5), quantile(samples, 0.95),
	       quantile(samples, 0.99), quantile(samples, 1.0));
}

static void print_table(const stats_t *f)
{
	printf("started %" G_GUINT64_FORMAT ", answered %" G_GUINT64_FORMAT
	       ", refused %" G_GUINT64_FORMAT ", broken %" G_GUINT64_FORMAT
	       "\n",
	       f->started, f->answered, f->refused, f->broken);
	printf("%.1f s, %.1f requests/s, %.0f events/s\n", elapsed_s(f),
	       (double)f->answered / elapsed_s(f),
	       (double)f->events / elapsed_s(f));
	printf("%-14s %9s %9s %9s %9s %9s\n", "ms", "samples", "p50", "p95",
	       "p99", "max");
	print_row("first byte", f->first);
	print_row("whole answer", f->whole);
	if (stream)
		print_row("gap", f->gaps);
}

static void usage(void)
{
	fprintf(stderr, "usage: bshload -u URL -m model {-r rate | -c clients} "
			"[-t seconds] [-n requests]\n"
			"               [-s] [-k tokens] [-j threads] "
			"[--json]\n");
	exit(1);
}

static void parse_options(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_add_main_entries(context, options, NULL);
	g_option_context_set_summary(context,
				     "Sends chat completion requests and "
				     "measures the responses.");
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		warnx("%s", error->message);
		usage();
	}
	g_option_context_free(context);
	if (show_version) {
		printf("bshload %s\n", BSH_VERSION);
		exit(0);
	}
	if (argc > 1 || url == NULL || model == NULL ||
	    (rate > 0.0) == (clients > 0))
		usage();
	if (threads < 1 || threads > THREADS_MAX || clients > CLIENTS_MAX ||
	    seconds <= 0.0 || tokens < 1 || total < 0)
		errx(1, "option out of range; threads: 1 to " THREADS_MAX_TEXT
			", clients: at most " CLIENTS_MAX_TEXT
			", seconds: above 0, tokens: at least 1, "
			"requests: at least 0");
}

int main(int argc, char **argv)
{
	static worker_t workers[THREADS_MAX];
	pthread_t ids[THREADS_MAX];
	stats_t *sum = &workers[0].stats;

	parse_options(argc, argv);
	signal(SIGPIPE, SIG_IGN);
	if (apr_initialize() != APR_SUCCESS)
		errx(1, "cannot initialise APR");
	for (int i = 0; i < threads; i++)
		init_worker(&workers[i], i);
	for (int i = 1; i < threads; i++)
		if (pthread_create(&ids[i], NULL, run_worker, &workers[i]) != 0)
			errx(1, "cannot create a thread");
	run_worker(&workers[0]);
	for (int i = 1; i < threads; i++) {
		pthread_join(ids[i], NULL);
		merge(sum, &workers[i].stats);
	}
	g_array_sort(sum->first, compare);
	g_array_sort(sum->whole, compare);
	g_array_sort(sum->gaps, compare);
	if (as_json)
		print_json(sum);
	else
		print_table(sum);
	for (int i = 0; i < threads; i++)
		finish_worker(&workers[i]);
	return 0;
}
