#include "support/standin.h"

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define THREAD_STACK_BYTES 262144

static const standin_t *self;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t wake;
static GHashTable *faults; /* name to int64_t */

int64_t standin_now_us(void)
{
	return g_get_monotonic_time();
}

void standin_lock(void)
{
	pthread_mutex_lock(&lock);
}

void standin_unlock(void)
{
	pthread_mutex_unlock(&lock);
}

void standin_wake(void)
{
	pthread_cond_broadcast(&wake);
}

void standin_wait(int64_t max_ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += max_ms / 1000;
	ts.tv_nsec += max_ms % 1000 * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	pthread_cond_timedwait(&wake, &lock, &ts);
}

void standin_sleep(int64_t ms)
{
	int64_t deadline_us = standin_now_us() + ms * 1000;
	int64_t remaining_us;

	while ((remaining_us = deadline_us - standin_now_us()) > 0)
		standin_wait((remaining_us + 999) / 1000);
}

int64_t standin_fault(const char *name)
{
	const int64_t *value =
		faults != NULL ? g_hash_table_lookup(faults, name) : NULL;

	return value != NULL ? *value : 0;
}

void standin_set_fault(const char *name, int64_t value)
{
	int64_t *stored = g_new(int64_t, 1);

	*stored = value;
	if (faults == NULL)
		faults = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       g_free);
	g_hash_table_replace(faults, g_strdup(name), stored);
	standin_wake();
}

bool standin_consume_fault(const char *name)
{
	int64_t value = standin_fault(name);

	if (value <= 0)
		return false;
	standin_set_fault(name, value - 1);
	return true;
}

const char *standin_query(const standin_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

const char *standin_header(const standin_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
					   name);
}

int64_t standin_int(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

const char *standin_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text != NULL ? text : "";
}

void standin_answer(standin_answer_t *answer, unsigned int status, json_t *json)
{
	answer->status = status;
	answer->json = json;
}

static void serve_control(const standin_request_t *request,
			  standin_answer_t *answer)
{
	const char *name;
	json_t *value;

	if (!json_is_object(request->body)) {
		standin_answer(answer, 400,
			       json_pack("{s:s}", "error", "not an object"));
		return;
	}
	json_object_foreach(request->body, name, value)
	{
		if (json_is_integer(value))
			standin_set_fault(name, json_integer_value(value));
		else if (self->control != NULL)
			self->control(name, value);
	}
	standin_answer(answer, 200, json_object());
}

/* Blocks the thread of the request, which is never answered. */
static void hang_forever(void)
{
	for (;;)
		standin_wait(1000);
}

static void serve_with_faults(const standin_request_t *request,
			      standin_answer_t *answer)
{
	bool is_counted = strcmp(request->method, "GET") != 0;

	standin_sleep(standin_fault("delay_ms"));
	while (standin_fault("freeze") != 0)
		standin_wait(1000);
	if (is_counted && standin_consume_fault("silent_before"))
		hang_forever();
	if (standin_fault("outage") != 0 ||
	    (is_counted && standin_consume_fault("refuse"))) {
		standin_answer(answer, 503,
			       json_pack("{s:s}", "error", "outage"));
		return;
	}
	self->handle(request, answer);
	if (is_counted && standin_consume_fault("silent_after"))
		hang_forever();
	if (is_counted && standin_consume_fault("lose_answers"))
		answer->drop = true;
}

static void serve(const standin_request_t *request, standin_answer_t *answer)
{
	standin_lock();
	if (strcmp(request->path, "/control") == 0)
		serve_control(request, answer);
	else if (strcmp(request->path, "/records") == 0)
		standin_answer(answer, 200, self->records());
	else
		serve_with_faults(request, answer);
	/* Serialise under the lock: the JSON may be part of the shared state. */
	if (answer->json != NULL)
		answer->text = json_dumps(answer->json, JSON_COMPACT);
	json_decref(answer->json);
	standin_unlock();
}

static enum MHD_Result send_answer(struct MHD_Connection *connection,
				   standin_answer_t *answer)
{
	struct MHD_Response *response = answer->response;
	enum MHD_Result result;

	if (response == NULL) {
		char *text = answer->text != NULL ? answer->text : strdup("");

		response = MHD_create_response_from_buffer(
			strlen(text), text, MHD_RESPMEM_MUST_FREE);
		MHD_add_response_header(response, "Content-Type",
					"application/json");
	}
	if (answer->header != NULL)
		MHD_add_response_header(response, answer->header,
					answer->value);
	result = answer->drop ? MHD_NO
			      : MHD_queue_response(connection, answer->status,
						   response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *connection,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *size, void **con_cls)
{
	GString *body = *con_cls;
	standin_answer_t answer = { .status = 404 };
	standin_request_t request = { connection, method, url, NULL, NULL };

	(void)cls;
	(void)version;
	if (body == NULL) {
		*con_cls = g_string_new(NULL);
		return MHD_YES;
	}
	if (*size > 0) {
		g_string_append_len(body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	request.text = body->str;
	request.body = json_loads(body->str, JSON_DECODE_ANY, NULL);
	serve(&request, &answer);
	standin_lock();
	json_decref(request.body);
	standin_unlock();
	return send_answer(connection, &answer);
}

static void on_completed(void *cls, struct MHD_Connection *connection,
			 void **con_cls, enum MHD_RequestTerminationCode code)
{
	(void)cls;
	(void)connection;
	(void)code;
	if (*con_cls != NULL)
		g_string_free(*con_cls, TRUE);
	*con_cls = NULL;
}

int standin_run(const standin_t *standin, int port)
{
	pthread_condattr_t attr;
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port),
				       .sin_addr.s_addr =
					       htonl(INADDR_LOOPBACK) };
	struct MHD_Daemon *daemon;
	sigset_t signals;
	int signal;

	self = standin;
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&wake, &attr);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		0, NULL, NULL, on_access, NULL, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_BYTES,
		MHD_OPTION_END);
	if (daemon == NULL) {
		fprintf(stderr, "%s: cannot listen on 127.0.0.1 port %d\n",
			standin->program, port);
		return 1;
	}
	printf("ready %d\n",
	       MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
	fflush(stdout);
	sigwait(&signals, &signal);
	/* No MHD_stop_daemon(): it waits for all threads, which faults may
	 * block forever. */
	_exit(0);
}
