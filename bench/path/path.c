/*
 * bench_path: measures the data path of one router: added latency at 200
 * requests/s, tokens/s with 400 streams, and memory per open stream.  The same
 * load goes to a simulated engine directly, through a minimal TCP forwarder and
 * through bshrouterd.
 */
#include <err.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "forwarder.h"
#include "support/rig.h"

#define RATE	       "200"
#define LATENCY_S      "10"
#define LATENCY_ROUNDS 3
#define LATENCY_PATHS  3
#define STREAMS	       400
#define STREAM_S       "8"
#define TOKEN_MS       30
#define PACED_TOKENS   "100"
#define FAST_TOKENS    "400"
#define MODEL	       "m"
#define LINE_BYTES     65536

static const char document[] =
	"{\"deployment\":\"bench\",\"weight\":0.5,\"weight_store\":"
	"{\"loads_per_s\":3,\"concurrent\":4},\"pools\":[{\"name\":\"e\","
	"\"kind\":\"engine\",\"fencing\":true,\"memory_mib\":1000,"
	"\"max_running\":1000}],\"models\":[{\"name\":\"" MODEL "\","
	"\"version\":\"1\",\"pool\":\"e\",\"memory_mib\":100,"
	"\"max_replicas\":1,\"priority\":5,\"load_ms\":200,"
	"\"deadline_ms\":60000,\"repeatable\":true}],\"services\":[]}";

typedef struct {
	GPid pid;
	uint16_t port;
} process_t;

typedef struct {
	double events_per_s;
	double cpu_share; /* of one core */
	double per_core;  /* events per CPU second */
	double gap_p99;	  /* between tokens, ms */
	int64_t broken;	  /* incomplete or refused */
} stream_row_t;

static rig_t rig;
static char *build;

static void kill_with_parent(void *ctx)
{
	(void)ctx;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static GPid spawn(const char *program, char **args, int *out_fd)
{
	g_autofree char *path = g_build_filename(build, program, NULL);
	GPtrArray *argv = g_ptr_array_new();
	GError *error = NULL;
	GPid pid;

	g_ptr_array_add(argv, path);
	for (; *args != NULL; args++)
		g_ptr_array_add(argv, *args);
	g_ptr_array_add(argv, NULL);
	if (!g_spawn_async_with_pipes(
		    NULL, (char **)argv->pdata, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
		    kill_with_parent, NULL, &pid, NULL, out_fd, NULL, &error))
		errx(1, "%s", error->message);
	g_ptr_array_free(argv, TRUE);
	return pid;
}

static process_t start_standin(const char *program, char **args)
{
	process_t process;
	char line[64] = "";
	unsigned int port;
	ssize_t n;
	int fd;

	process.pid = spawn(program, args, &fd);
	n = read(fd, line, sizeof(line) - 1);
	if (n <= 0 || sscanf(line, "ready %u", &port) != 1)
		errx(1, "%s did not report its port", program);
	process.port = (uint16_t)port;
	return process;
}

/*
 * Runs a program and returns its output.  Meanwhile the rig renews the
 * router's configuration.
 */
static char *run_program(const char *program, char **args)
{
	GString *out = g_string_new(NULL);
	char buffer[LINE_BYTES];
	ssize_t n;
	int status;
	int fd;
	GPid pid = spawn(program, args, &fd);

	fcntl(fd, F_SETFL, O_NONBLOCK);
	while ((n = read(fd, buffer, sizeof(buffer))) != 0) {
		if (n > 0)
			g_string_append_len(out, buffer, n);
		else
			rig_step(&rig);
	}
	close(fd);
	if (waitpid(pid, &status, 0) != pid || status != 0)
		errx(1, "%s exited with an error", program);
	return g_string_free(out, FALSE);
}

static json_t *run_bshload(uint16_t port, const char *mode, const char *amount,
			   const char *duration, const char *tokens,
			   bool streaming)
{
	g_autofree char *url = g_strdup_printf(
		"http://127.0.0.1:%u/v1/chat/completions", port);
	char *args[] = { (char *)"--json",
			 (char *)"-u",
			 url,
			 (char *)"-m",
			 (char *)MODEL,
			 (char *)mode,
			 (char *)amount,
			 (char *)"-t",
			 (char *)duration,
			 (char *)"-k",
			 (char *)tokens,
			 (char *)"-j",
			 (char *)(streaming ? "3" : "1"),
			 (char *)(streaming ? "-s" : NULL),
			 NULL };
	g_autofree char *text = run_program("bshload", args);
	json_t *json = json_loads(text, 0, NULL);

	if (json == NULL)
		errx(1, "output of bshload is not valid JSON");
	return json;
}

static double number(const json_t *json, const char *group, const char *key)
{
	if (group != NULL)
		json = json_object_get(json, group);
	return json_number_value(json_object_get(json, key));
}

static void post(uint16_t port, const char *path, const char *body)
{
	g_autofree char *url =
		g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	g_autofree char *command = g_strdup_printf(
		"curl -sS -o /dev/null -H 'Content-Type: application/json' "
		"-d '%s' %s",
		body, url);

	if (system(command) != 0)
		errx(1, "POST %s failed", url);
}

static void load_model(uint16_t engine)
{
	g_autofree char *status = g_strdup_printf(
		"until curl -sS http://127.0.0.1:%u/v1/status | grep -q "
		"'\"ready\"'; do :; done",
		engine);

	post(engine, "/v1/models/load",
	     "{\"model\":\"" MODEL "\",\"version\":\"1\",\"base\":\"\","
	     "\"attempt\":\"a\",\"fence\":1,\"memory_mib\":100}");
	if (system(status) != 0)
		errx(1, "cannot wait for the engine to load model " MODEL);
}

static void set_token_ms(uint16_t engine, int ms)
{
	g_autofree char *body = g_strdup_printf("{\"token_ms\":%d}", ms);

	post(engine, "/control", body);
}

/* User and system time of a process with all threads. */
static double cpu_s(GPid pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/stat", pid);
	g_autofree char *text = NULL;
	unsigned long user;
	unsigned long kernel;

	if (!g_file_get_contents(path, &text, NULL, NULL) ||
	    sscanf(strrchr(text, ')') + 2,
		   "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
		   &kernel) != 2)
		errx(1, "cannot read %s", path);
	return (double)(user + kernel) / (double)sysconf(_SC_CLK_TCK);
}

typedef struct {
	double ran_us;
	double run_queue_us; /* runnable, waiting for a processor */
} sched_times_t;

/* Sums over the present threads of a process. */
static sched_times_t read_sched_times(GPid pid)
{
	g_autofree char *dir_path = g_strdup_printf("/proc/%d/task", pid);
	GDir *dir = g_dir_open(dir_path, 0, NULL);
	sched_times_t sum = { 0.0, 0.0 };
	const char *task;

	while (dir != NULL && (task = g_dir_read_name(dir)) != NULL) {
		g_autofree char *path =
			g_build_filename(dir_path, task, "schedstat", NULL);
		g_autofree char *text = NULL;
		unsigned long ran_ns;
		unsigned long waited_ns;

		if (g_file_get_contents(path, &text, NULL, NULL) &&
		    sscanf(text, "%lu %lu", &ran_ns, &waited_ns) == 2) {
			sum.ran_us += (double)ran_ns / 1000.0;
			sum.run_queue_us += (double)waited_ns / 1000.0;
		}
	}
	if (dir != NULL)
		g_dir_close(dir);
	return sum;
}

static double status_kib(GPid pid, const char *field)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", pid);
	g_autofree char *text = NULL;
	const char *at;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		errx(1, "cannot read %s", path);
	at = strstr(text, field);
	return at != NULL ? g_ascii_strtod(at + strlen(field), NULL) : 0.0;
}

static uint16_t port_of(const char *address)
{
	return (uint16_t)atoi(strchr(address, ':') + 1);
}

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* Prints the time in the router, from admission to send, from its time line. */
static void print_router_time(void)
{
	g_autofree char *text = rig_get(&rig, "/timeline", NULL);
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t admitted_us = 0;
	char *save = NULL;

	/* Requests that overlap, which are rare at this rate, are left out. */
	for (char *line = strtok_r(text, "\n", &save); line != NULL;
	     line = strtok_r(NULL, "\n", &save)) {
		json_t *event = json_loads(line, 0, NULL);
		const char *kind =
			json_string_value(json_object_get(event, "event"));
		int64_t at_us =
			json_integer_value(json_object_get(event, "hlc_us"));

		if (g_strcmp0(kind, "sent") == 0 && admitted_us > 0) {
			at_us -= admitted_us;
			g_array_append_val(times, at_us);
			admitted_us = 0;
		} else {
			admitted_us =
				g_strcmp0(kind, "admitted") == 0 ? at_us : 0;
		}
		json_decref(event);
	}
	g_array_sort(times, compare_int64);
	if (times->len > 0) {
		guint middle = times->len / 2;
		guint high = times->len * 99 / 100;
		int64_t p50_us = g_array_index(times, int64_t, middle);
		int64_t p99_us = g_array_index(times, int64_t, high);

		printf("- router, from admission to send (%u requests of the "
		       "last round): p50 %.3f ms, p99 %.3f ms\n",
		       times->len, (double)p50_us / 1000.0,
		       (double)p99_us / 1000.0);
	}
	g_array_free(times, TRUE);
}

static void measure_latency(const uint16_t ports[LATENCY_PATHS],
			    const GPid pids[LATENCY_PATHS])
{
	static const char *const names[] = { "direct", "bare forwarder",
					     "router" };
	double p50[LATENCY_PATHS] = { 0.0 };
	double p99[LATENCY_PATHS] = { 0.0 };

	printf("## Latency of a warm request at " RATE " requests/s\n\n"
	       "| round | path | answered | p50 ms | p95 ms | p99 ms | "
	       "processor us per request | run queue us per request |\n"
	       "|---|---|---|---|---|---|---|---|\n");
	for (int i = 0; i < LATENCY_PATHS * LATENCY_ROUNDS; i++) {
		int path = i % LATENCY_PATHS;
		sched_times_t before = read_sched_times(pids[path]);
		json_t *json = run_bshload(ports[path], "-r", RATE, LATENCY_S,
					   "1", false);
		sched_times_t after = read_sched_times(pids[path]);
		double answered = number(json, NULL, "answered");

		printf("| %d | %s | %.0f of %.0f | %.3f | %.3f | %.3f |",
		       i / LATENCY_PATHS + 1, names[path], answered,
		       number(json, NULL, "started"),
		       number(json, "whole_ms", "p50"),
		       number(json, "whole_ms", "p95"),
		       number(json, "whole_ms", "p99"));
		/* The engine has a thread per connection, and the times of a
		 * thread are lost when it ends. */
		if (path == 0)
			printf(" | |\n");
		else
			printf(" %.0f | %.0f |\n",
			       (after.ran_us - before.ran_us) / answered,
			       (after.run_queue_us - before.run_queue_us) /
				       answered);
		fflush(stdout);
		p50[path] += number(json, "whole_ms", "p50") / LATENCY_ROUNDS;
		p99[path] += number(json, "whole_ms", "p99") / LATENCY_ROUNDS;
		json_decref(json);
	}
	printf("\nAdded to the direct path, means of the rounds:\n\n");
	for (int path = 1; path < LATENCY_PATHS; path++)
		printf("- %s: p50 %.3f ms, p99 %.3f ms\n", names[path],
		       p50[path] - p50[0], p99[path] - p99[0]);
	print_router_time();
}

static void print_load(const char *when)
{
	double load[1];

	if (getloadavg(load, 1) == 1)
		printf("Machine %s: %ld processors, load average %.1f.\n", when,
		       sysconf(_SC_NPROCESSORS_ONLN), load[0]);
}

static stream_row_t measure_streams(uint16_t port, GPid pid, const char *tokens)
{
	g_autofree char *streams = g_strdup_printf("%d", STREAMS);
	double before_s = cpu_s(pid);
	json_t *json = run_bshload(port, "-c", streams, STREAM_S, tokens, true);
	double used_s = cpu_s(pid) - before_s;
	stream_row_t row = {
		.events_per_s = number(json, NULL, "events_per_s"),
		.cpu_share = used_s / number(json, NULL, "elapsed_s"),
		.per_core = number(json, NULL, "events") / used_s,
		.gap_p99 = number(json, "gap_ms", "p99"),
		.broken = (int64_t)(number(json, NULL, "broken") +
				    number(json, NULL, "refused")),
	};

	json_decref(json);
	return row;
}

static void print_stream_row(const char *speed, const char *path,
			     const stream_row_t *row)
{
	printf("| %s | %s | %.0f | %.2f | %.0f | %.1f | %d |\n", speed, path,
	       row->events_per_s, row->cpu_share, row->per_core, row->gap_p99,
	       (int)row->broken);
	fflush(stdout);
}

static void measure_stream_paths(const char *speed, const char *tokens,
				 GPid forwarder, uint16_t forwarder_port)
{
	stream_row_t bare = measure_streams(forwarder_port, forwarder, tokens);
	stream_row_t routed;

	print_stream_row(speed, "bare forwarder", &bare);
	routed = measure_streams(port_of(rig.listen), rig.pid, tokens);
	print_stream_row(speed, "router", &routed);
	printf("| %s | router/forwarder | %.2f | | %.2f | | |\n", speed,
	       routed.events_per_s / bare.events_per_s,
	       routed.per_core / bare.per_core);
	fflush(stdout);
}

int main(int argc, char **argv)
{
	char *weights_args[] = { (char *)"0", NULL };
	char *engine_args[] = { (char *)"e1", (char *)"0",	 (char *)"1000",
				NULL,	      (char *)"fencing", NULL };
	process_t weights;
	process_t engine;
	uint16_t forwarder_port;
	pid_t forwarder;
	double idle_kib;
	double peak_kib;

	if (argc != 2)
		errx(1, "usage: bench_path BUILD");
	build = argv[1];
	g_setenv("BSH_BUILD", build, TRUE);
	weights =
		start_standin("regress/standin/standin_weights", weights_args);
	engine_args[3] = g_strdup_printf("127.0.0.1:%u", weights.port);
	engine = start_standin("regress/standin/standin_engine", engine_args);
	load_model(engine.port);
	forwarder = forwarder_start(engine.port, &forwarder_port);
	rig_init(&rig, "[log]\nlevel=error");
	{
		g_autofree char *address =
			g_strdup_printf("127.0.0.1:%u", engine.port);
		const char *const targets[] = { "e1", address, NULL };

		rig_send_config(&rig, document);
		rig_set_targets(&rig, MODEL, false, targets);
		rig_wait_ready(&rig);
	}
	print_load("before");
	printf("\n");
	set_token_ms(engine.port, 0);
	measure_latency((const uint16_t[]){ engine.port, forwarder_port,
					    port_of(rig.listen) },
			(const GPid[]){ engine.pid, forwarder, rig.pid });
	idle_kib = status_kib(rig.pid, "VmHWM:");
	printf("\n## %d streams\n\n"
	       "| speed | path | tokens/s | cores used | tokens/s per core | "
	       "p99 gap ms | not whole |\n|---|---|---|---|---|---|---|\n",
	       STREAMS);
	set_token_ms(engine.port, TOKEN_MS);
	measure_stream_paths("30 ms between tokens", PACED_TOKENS, forwarder,
			     forwarder_port);
	peak_kib = status_kib(rig.pid, "VmHWM:");
	set_token_ms(engine.port, 0);
	measure_stream_paths("full", FAST_TOKENS, forwarder, forwarder_port);
	printf("\nMemory of the router: %.0f KiB before, %.0f KiB peak with "
	       "%d paced streams: %.1f KiB per stream.\n",
	       idle_kib, peak_kib, STREAMS, (peak_kib - idle_kib) / STREAMS);
	print_load("after");
	kill(forwarder, SIGTERM);
	kill(engine.pid, SIGTERM);
	kill(weights.pid, SIGTERM);
	rig_finish(&rig);
	return 0;
}
