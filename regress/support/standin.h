#ifndef SUPPORT_STANDIN_H
#define SUPPORT_STANDIN_H

/*
 * NAME
 *	standin - common part of the stand-ins for outside systems
 *
 * DESCRIPTION
 *	Each stand-in is a process that serves HTTP on loopback, prints
 *	"ready PORT" and runs until SIGTERM or SIGINT.  All its state is under
 *	one lock, which the handler holds; standin_wait() releases it.
 *
 *	POST /control takes a JSON object.  Integer members set faults by
 *	name; other members go to the stand-in.  GET /records returns what the
 *	stand-in itself has counted.
 *
 *	Faults of all stand-ins: freeze (hold all requests while 1), delay_ms
 *	(before each request), outage (503 while 1).  Counted ones, each for
 *	the next N requests other than GET: refuse (503 before any effect),
 *	lose_answers (close after the effect), silent_before, silent_after
 *	(never answer, before or after the effect).
 *
 *	Times in records are microseconds of CLOCK_MONOTONIC, which all
 *	processes of a machine share.
 */

#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	const char *text;
	json_t *body; /* NULL if the body is not JSON */
} standin_request_t;

typedef struct {
	unsigned int status;
	json_t *json;		       /* taken */
	struct MHD_Response *response; /* instead of json; taken */
	const char *header;	       /* one header, or NULL */
	char value[128];
	bool drop;  /* close without an answer */
	char *text; /* json as text; set by the common part */
} standin_answer_t;

typedef struct {
	const char *program;
	void (*handle)(const standin_request_t *request,
		       standin_answer_t *answer);
	/* A member of POST /control that is not an integer. */
	void (*control)(const char *name, const json_t *value);
	json_t *(*records)(void);
} standin_t;

/* Serve on port (0: a free one) until a signal; the exit status. */
int standin_run(const standin_t *standin, int port);

int64_t standin_now_us(void);
void standin_lock(void);
void standin_unlock(void);
/* Wait under the lock for standin_wake(), at most max_ms. */
void standin_wait(int64_t max_ms);
/* Let ms pass with the lock released. */
void standin_sleep(int64_t ms);
void standin_wake(void);

/* Value of a fault; 0 when not set. */
int64_t standin_fault(const char *name);
void standin_set_fault(const char *name, int64_t value);
/* True and one less if the fault counts above zero. */
bool standin_consume_fault(const char *name);

const char *standin_query(const standin_request_t *request, const char *name);
const char *standin_header(const standin_request_t *request, const char *name);
int64_t standin_int(const json_t *object, const char *name);
const char *standin_text(const json_t *object, const char *name);
/* json is taken. */
void standin_answer(standin_answer_t *answer, unsigned int status,
		    json_t *json);

#endif
