#ifndef BSHROUTERD_TRAFFIC_H
#define BSHROUTERD_TRAFFIC_H

/*
 * NAME
 *	traffic - request path of bshrouterd: accept, queue, forward, respond
 *
 * DESCRIPTION
 *	accept.c	parses and validates a caller's request
 *	glue.c		callbacks of admission, attempt and drain; jobs, timer
 *			and load reports
 *	forward.c	the call to the target and the response to the caller
 *	routes.c	ready targets by scope, configuration and whether it is
 *			confirmed
 *
 *	All functions run in the traffic thread.
 *
 *	A request is freed by a task at the end of a loop round, once its
 *	attempt has finished and its HTTP request has ended; until then every
 *	callback may use it.
 */

#include "coordination/admission.h"
#include "coordination/attempt.h"
#include "coordination/drain.h"
#include "coordination/route.h"
#include "protocol/problem.h"
#include "protocol/sse.h"
#include "router.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#define TRAFFIC_KEY_SIZE BSH_ADMISSION_KEY_SIZE

/* Calls deferred because the module called may be on the stack. */
typedef enum {
	TRAFFIC_JOB_ATTEMPT_ENDED, /* report an ended attempt to admission */
	TRAFFIC_JOB_SUBMIT,	   /* submit the request to admission */
	TRAFFIC_JOB_REQUEUE,	   /* requeue it in admission for a retry */
	TRAFFIC_JOB_CALL_FAILED	   /* report a call that failed to start */
} traffic_job_kind_t;

struct traffic_request;

typedef struct {
	traffic_job_kind_t kind;
	struct traffic_request *request; /* SUBMIT, REQUEUE */
	bsh_request_id_t id;		 /* CALL_FAILED */
	int64_t elapsed_us;		 /* ATTEMPT_ENDED; -1: no success */
	char key[TRAFFIC_KEY_SIZE];	 /* ATTEMPT_ENDED */
} traffic_job_t;

/* Load of one model or service at one target, for REPORT. */
typedef struct {
	char name[BSH_DOC_NAME_SIZE];
	uint32_t target;  /* index in the route module */
	uint32_t started; /* attempts since the last report */
	uint32_t running; /* attempts in progress */
} traffic_load_t;

struct router_traffic {
	router_t *router;
	bsh_loop_t *loop;
	bsh_http_server_t *server;
	bsh_http_client_t *client;
	bsh_admission_t admission;
	bsh_attempts_t attempts;
	bsh_route_t route;
	bsh_drain_t drain;
	router_config_t *config;
	GString *models_body;	   /* response to GET /v1/models */
	uint64_t fresh_generation; /* generation of the last FRESH */
	int64_t fresh_until_us;	   /* end of the confirmation */
	bool was_fresh;		   /* result of the last check */
	GHashTable *scopes;	   /* scope of ROUTES -> scope_t */
	GHashTable *intents;	   /* sequence -> request without a verdict */
	GHashTable *loads;	   /* "name target" -> traffic_load_t */
	GQueue jobs;		   /* traffic_job_t */
	bsh_loop_task_t task;	   /* runs jobs, frees requests, sets timer */
	bsh_loop_timer_t timer;	   /* next module tick or fresh_until_us */
	bsh_loop_timer_t report_timer;
	bool reported;	    /* the last REPORT had entries */
	GPtrArray *to_free; /* traffic_request_t, freed by task */
	uint64_t last_need_id;
	uint32_t results_pending; /* INTENT_DONE not sent or dropped yet */
	char alternative[BSH_ADDRESS_SIZE]; /* for callers refused in a drain */
	bool ended;			    /* the drain has ended */
};

/* The call of one attempt and its response. */
typedef struct {
	struct traffic_request *request;
	bsh_http_call_t *call; /* NULL: it has ended */
	bsh_request_id_t id;   /* of the attempt */
	char id_text[BSH_ATTEMPT_ID_SIZE];
	traffic_load_t *load;
	int64_t sent_us; /* start of the call */
	bool first_byte_seen;
	bool paused; /* the caller reads too slowly */
	int status;
	int64_t length; /* Content-Length, -1: absent */
	bool chunked;
	bool event_stream;
	bool not_run; /* Berylshunt-Outcome: not-run */
	char response_request_id[BSH_ATTEMPT_ID_SIZE];
	char content_type[256];
	GPtrArray *response_headers; /* name, value, ... for the caller */
	bsh_sse_t sse;
	GString *held_body;    /* not sent to the caller yet */
	GString *journal_body; /* to be recorded; NULL: none */
} traffic_call_t;

typedef struct traffic_request {
	router_traffic_t *traffic;
	bsh_http_request_t *http; /* NULL once it has ended */
	bsh_attempt_t attempt;
	bsh_admission_request_t waiting;
	bool begun;		    /* accepted by the attempt module */
	bool finished;		    /* the attempt module called finish */
	bool free_pending;	    /* in to_free */
	char key[TRAFFIC_KEY_SIZE]; /* in admission and route */
	char name[BSH_DOC_NAME_SIZE];
	bool is_service;
	uint8_t priority; /* 0 (highest) to 9 */
	char method[16];
	char *path; /* at the target, including the query */
	char *body;
	size_t body_size;
	GPtrArray *headers;    /* for the target, "Name: value" */
	char *idempotency_key; /* NULL: none, or the call is repeatable */
	uint8_t digest[ROUTER_DIGEST_BYTES];   /* if idempotency_key is set */
	uint64_t prefix[BSH_ROUTE_MAX_PREFIX]; /* hashed prompt blocks */
	uint32_t prefix_count;
	traffic_call_t calls[2]; /* two while an attempt is kept */

	/* The response to the caller. */
	bool head_sent;
	bool detached; /* error sent; the attempt runs on for the journal */
} traffic_request_t;

/* accept.c */
/* Callbacks of the HTTP server. */
void traffic_on_request(void *ctx, bsh_http_request_t *http);
void traffic_on_too_large(void *ctx, bsh_http_request_t *http);
/* traffic_send_problem - respond with problem details. */
void traffic_send_problem(bsh_http_request_t *http,
			  const bsh_problem_t *problem);
void traffic_free_request(traffic_request_t *request);

/* glue.c */
bsh_error_t traffic_modules_init(router_traffic_t *t);
void traffic_modules_finish(router_traffic_t *t);
/* traffic_schedule_task - to be called after each use of a module, which may
 * have queued jobs or changed the time of its next tick. */
void traffic_schedule_task(router_traffic_t *t);
/* traffic_begin_request - pass a request to the attempt module.  Fails with
 * BSH_ERR_CAPACITY or BSH_ERR_DEADLINE. */
bsh_error_t traffic_begin_request(traffic_request_t *request,
				  int64_t deadline_us, bool repeatable,
				  bool stream);
/* traffic_note_sent - record in the timeline that the running attempt is being
 * sent. */
void traffic_note_sent(const traffic_call_t *call);
/* traffic_http_done - the HTTP request has ended; delivered: the caller got the
 * whole response. */
void traffic_http_done(traffic_request_t *request, bool delivered);

/* forward.c */
void traffic_calls_init(traffic_request_t *request);
void traffic_calls_finish(traffic_request_t *request);
/* traffic_call - the call of the attempt request->attempt.id, whose response is
 * for the caller; before the first attempt, an unused one. */
traffic_call_t *traffic_call(traffic_request_t *request);
/* traffic_prepare_call - reset a call for the attempt that begins.  The call of
 * a kept attempt is left alone. */
traffic_call_t *traffic_prepare_call(traffic_request_t *request);
/* traffic_start_call - send the request to the target at address. */
bsh_error_t traffic_start_call(traffic_call_t *call, const char *address);
/* traffic_cancel_call - close the call and discard the held body. */
void traffic_cancel_call(traffic_call_t *call);
/* traffic_flush_body - send the held body to the caller; no effect on an event
 * stream, of which only whole events are sent. */
void traffic_flush_body(traffic_request_t *request);
/* traffic_resume_call - read on from the target once the caller's buffer has
 * drained. */
void traffic_resume_call(traffic_request_t *request);
/* traffic_set_response - use the recorded response of an earlier call. */
void traffic_set_response(traffic_request_t *request,
			  const router_result_t *result);
/* traffic_finish_response - send what is left of the response and end it. */
void traffic_finish_response(traffic_request_t *request);
/* traffic_finish_error - respond with an error, or end a begun response with an
 * error event (stream) or by closing the connection. */
void traffic_finish_error(traffic_request_t *request, bsh_error_t err,
			  bsh_outcome_t outcome, int64_t retry_after_ms);

/* routes.c */
void traffic_routes_init(router_traffic_t *t);
void traffic_routes_finish(router_traffic_t *t);
/* traffic_is_fresh - true if the adopted configuration is confirmed as current;
 * refuses all waiting requests when it no longer is. */
bool traffic_is_fresh(router_traffic_t *t, int64_t now_us);
/* traffic_make_key - key of a model or service in admission and route. */
void traffic_make_key(char key[TRAFFIC_KEY_SIZE], const char *name,
		      bool is_service);
/* traffic_key_name - name of the model or service, a part of key. */
const char *traffic_key_name(const char *key);

#endif
