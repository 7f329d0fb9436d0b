#ifndef SUPPORT_STANDIN_H
#define SUPPORT_STANDIN_H

/*
 * NAME
 *	standin - common part of the fake external services for tests
 *
 * DESCRIPTION
 *	A stand-in is a process that replaces an external service: it serves
 *	HTTP on loopback, prints "ready PORT" and runs until SIGTERM or SIGINT.
 *
 *	POST /control takes a JSON object.  Integer members set faults by
 *	name; other members are passed to the control callback.  GET /records
 *	returns the requests and effects that the stand-in has recorded.
 *
 *	Faults of all stand-ins: freeze (hold all requests while 1), delay_ms
 *	(before each request), outage (503 while 1).  Counted ones, each for
 *	the next N requests other than GET: refuse (503 before any effect),
 *	lose_answers (close after the effect), silent_before, silent_after
 *	(never answer, before or after the effect).  /control and /records are
 *	exempt from faults.
 *
 * THREADS
 *	Each connection has its own thread.  All state is under one lock, which
 *	the callbacks hold; standin_wait() and standin_sleep() release it while
 *	they wait.
 *
 * UNITS
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
	const char *text; /* body */
	json_t *body;	  /* body as JSON; NULL if it is not JSON */
} standin_request_t;

typedef struct {
	unsigned int status;
	json_t *json; /* body; reference passed to the common part */
	struct MHD_Response *response; /* instead of json; passed likewise */
	const char *header;	       /* name of a further header, or NULL */
	char value[128];	       /* of header */
	bool drop;  /* close the connection without an answer */
	char *text; /* serialised json; set by the common part */
} standin_answer_t;

typedef struct {
	const char *program; /* name in error messages */
	/* Serves a request; the status is 404 unless it sets another. */
	void (*handle)(const standin_request_t *request,
		       standin_answer_t *answer);
	/* Applies a member of POST /control that is not an integer; or NULL. */
	void (*control)(const char *name, const json_t *value);
	/* Returns a new reference to the body of GET /records. */
	json_t *(*records)(void);
} standin_t;

/* standin_run - serve on a loopback port (0: any free one) until a signal.
 * Returns the exit status. */
int standin_run(const standin_t *standin, int port);

/* standin_now_us - time of CLOCK_MONOTONIC. */
int64_t standin_now_us(void);
void standin_lock(void);
void standin_unlock(void);
/* standin_wait - wait for standin_wake(), at most max_ms; the lock is released
 * meanwhile. */
void standin_wait(int64_t max_ms);
/* standin_sleep - sleep for ms milliseconds; the lock is released meanwhile. */
void standin_sleep(int64_t ms);
/* standin_wake - end all waits of standin_wait(). */
void standin_wake(void);

/* standin_fault - value of a fault; 0 if it is not set. */
int64_t standin_fault(const char *name);
void standin_set_fault(const char *name, int64_t value);
/* standin_consume_fault - decrement a counted fault; false if it is not
 * positive. */
bool standin_consume_fault(const char *name);

/* standin_query, standin_header - value of a query argument or header; NULL if
 * it is absent. */
const char *standin_query(const standin_request_t *request, const char *name);
const char *standin_header(const standin_request_t *request, const char *name);
/* standin_int, standin_text - value of a member; 0 or "" if it is absent or of
 * another type. */
int64_t standin_int(const json_t *object, const char *name);
const char *standin_text(const json_t *object, const char *name);
/* standin_answer - set status and body; takes the reference to json, which may
 * be NULL for an empty body. */
void standin_answer(standin_answer_t *answer, unsigned int status,
		    json_t *json);

#endif
