#ifndef BSHROUTERD_TRAFFIC_H
#define BSHROUTERD_TRAFFIC_H

/*
 * NAME
 *	traffic - the parts of the traffic thread
 *
 * DESCRIPTION
 *	accept.c	reads and checks a caller's request
 *	glue.c		the orders of admission, attempt, route and drain
 *	forward.c	the call to the target and the answer to the caller
 *	routes.c	ready sets by cell, configuration, freshness
 *
 *	A request is freed by a task at the end of a round, when its attempt
 *	has finished and its HTTP request is done; until then every callback
 *	may use it.
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

typedef enum {
	TRAFFIC_JOB_ATTEMPT_ENDED, /* a started attempt ended: tell admission */
	TRAFFIC_JOB_SUBMIT,	   /* wait for a target */
	TRAFFIC_JOB_REQUEUE,
	TRAFFIC_JOB_CALL_FAILED /* the call could not be started */
} traffic_job_kind_t;

struct traffic_request;

typedef struct {
	traffic_job_kind_t kind;
	struct traffic_request *request;
	bsh_request_id_t id;	    /* FAILED */
	int64_t elapsed_us;	    /* ENDED */
	char key[TRAFFIC_KEY_SIZE]; /* ENDED */
} traffic_job_t;

/* Load of one model or service at one target, for REPORT. */
typedef struct {
	char name[BSH_DOC_NAME_SIZE];
	uint32_t target; /* BSH_ROUTE_NONE: waiting in this router */
	uint32_t started;
	uint32_t running;
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
	GString *models_body; /* answer to GET /v1/models */
	uint64_t fresh_generation;
	int64_t fresh_until_us;
	bool was_fresh;
	GHashTable *scopes;   /* of ROUTES -> keys with their targets */
	GHashTable *intents;  /* sequence -> traffic_request_t */
	GHashTable *loads;    /* "name target" -> traffic_load_t */
	GQueue jobs;	      /* traffic_job_t */
	bsh_loop_task_t task; /* works off jobs, sets the timer */
	bsh_loop_timer_t timer;
	bsh_loop_timer_t report_timer;
	bool reported; /* the last REPORT had entries */
	GPtrArray *dead;
	uint64_t last_need_id;
	uint32_t journal_left;
	char alternative[BSH_ADDRESS_SIZE];
	bool ended;
};

typedef struct traffic_request {
	router_traffic_t *traffic;
	bsh_http_request_t *http; /* NULL when the caller is done */
	bsh_attempt_t attempt;
	bsh_waiting_t waiting;
	bool begun;    /* the attempt module knows it */
	bool finished; /* its order finish was given */
	bool dead;
	char key[TRAFFIC_KEY_SIZE]; /* of admission and route */
	char name[BSH_DOC_NAME_SIZE];
	bool is_service;
	uint8_t priority;
	char method[16];
	char *path; /* at the target, with query */
	char *body;
	size_t body_size;
	GPtrArray *headers; /* to the target, "Name: value" */
	char *idempotency_key;
	uint8_t digest[ROUTER_DIGEST_BYTES];
	uint64_t prefix[BSH_ROUTE_MAX_PREFIX];
	uint32_t prefix_count;
	traffic_load_t *load; /* of the running attempt */

	/* The running call. */
	bsh_http_call_t *call;
	bsh_request_id_t id;
	char id_text[BSH_ATTEMPT_ID_SIZE];
	int64_t sent_us;
	bool heard;
	bool paused;
	int status;
	int64_t length;
	bool chunked;
	bool event_stream;
	bool not_run;
	char response_request_id[BSH_ATTEMPT_ID_SIZE];
	char content_type[256];
	GPtrArray *response_headers; /* name, value, ... for the caller */
	bsh_sse_t sse;
	GString *held; /* body not sent to the caller yet */
	GString *kept; /* body for the journal */

	/* The answer to the caller. */
	bool head_sent; /* the head was sent */
	bool detached;	/* answered with an error; only the record follows */
} traffic_request_t;

/* accept.c */
void traffic_on_request(void *ctx, bsh_http_request_t *http);
void traffic_on_too_large(void *ctx, bsh_http_request_t *http);
void traffic_send_problem(bsh_http_request_t *http,
			  const bsh_problem_t *problem);
void traffic_free_request(traffic_request_t *request);

/* glue.c */
bsh_error_t traffic_modules_init(router_traffic_t *t);
void traffic_modules_finish(router_traffic_t *t);
/* Modules were used: jobs may be queued and the next time may differ. */
void traffic_schedule_task(router_traffic_t *t);
bsh_error_t traffic_begin_request(traffic_request_t *request,
				  int64_t deadline_us, bool repeatable,
				  bool stream);
/* The first byte of the running attempt leaves. */
void traffic_note_sent(traffic_request_t *request);
/* The HTTP side of the request is over. */
void traffic_http_done(traffic_request_t *request, bool delivered);

/* forward.c */
bsh_error_t traffic_start_call(traffic_request_t *request, const char *address);
void traffic_cancel_call(traffic_request_t *request);
void traffic_flush_body(traffic_request_t *request);
void traffic_resume_call(traffic_request_t *request);
/* Recorded answer of an earlier call. */
void traffic_set_response(traffic_request_t *request,
			  const router_result_t *result);
void traffic_finish_response(traffic_request_t *request);
void traffic_finish_error(traffic_request_t *request, bsh_error_t err,
			  bsh_outcome_t outcome, int64_t retry_after_ms);

/* routes.c */
void traffic_routes_init(router_traffic_t *t);
void traffic_routes_finish(router_traffic_t *t);
bool traffic_is_fresh(router_traffic_t *t, int64_t now_us);
void traffic_make_key(char key[TRAFFIC_KEY_SIZE], const char *name,
		      bool is_service);
/* Name in a key. */
const char *traffic_key_name(const char *key);

#endif
