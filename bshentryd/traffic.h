#ifndef BSHENTRYD_TRAFFIC_H
#define BSHENTRYD_TRAFFIC_H

/*
 * NAME
 *	traffic - requests in the traffic thread
 *
 * DESCRIPTION
 *	A request is matched to a route, sent to a target or kept waiting for
 *	a model, and answered.  traffic.c owns the requests and decides where
 *	they go; forward.c runs one attempt and reports its end through
 *	traffic_attempt_ended().
 */

#include "coordination/retry_budget.h"
#include "coordination/target_choice.h"
#include "entry.h"
#include "platform/worker.h"
#include "protocol/call_info.h"
#include "protocol/event_relay.h"
#include "protocol/message.h"

/* Targets that one request has tried and is not sent to again. */
#define TRIED_MAX 6

typedef struct request request_t;

typedef struct {
	bsh_target_record_t record;
	char id[BSH_NAME_SIZE];
	uint64_t last_view; /* number of the last view that had the target */
} target_state_t;

typedef struct {
	uint32_t arrived;
	uint32_t running;
	uint32_t waiting;
} model_demand_t;

struct traffic {
	entry_t *entry;
	bsh_loop_t *loop;
	bsh_http_client_t *client;
	bsh_http_server_t *server;
	view_t *view; /* NULL until the first configuration */
	uint64_t view_number;
	GHashTable *targets; /* id to target_state_t */
	GHashTable *demand;  /* model and adapter to model_use_t */
	GHashTable *budgets; /* service to bsh_retry_budget_t */
	GArray *candidates;  /* bsh_candidate_t, of the request at hand */
	GPtrArray *candidate_targets; /* view_target_t, the same ones */
	GQueue waiting;		      /* request_t, in order of arrival */
	bsh_loop_timer_t demand_timer;
	bsh_loop_timer_t quit_timer;
	bool demand_urgent;
	bsh_loop_timer_t abort_timer; /* the end of the grace time */
	bool draining;
	int64_t abort_at_us; /* while draining: when what is left is cut */
	GQueue requests;     /* request_t, all */
};

typedef enum {
	REQUEST_WAITING, /* for a target that can take it */
	REQUEST_RUNNING, /* sent to a target */
	REQUEST_ENDED
} request_state_t;

struct request {
	traffic_t *traffic;
	bsh_http_request_t *http;
	bsh_call_info_t info;
	bsh_catalog_t *catalog; /* owner of route */
	const bsh_route_rule_t *route;
	const bsh_service_rule_t *service;
	char *method;
	char *path; /* with the query */
	char *body;
	size_t body_bytes;
	bool repeatable; /* may run more than once */
	bool is_stream;
	int64_t arrived_us;
	int64_t client_deadline_us; /* INT64_MAX: none */
	int64_t timeout_us;	    /* of the route */
	int64_t stream_deadline_us; /* when the caller of a stream leaves if no
				     * event has come; INT64_MAX: never */
	bsh_loop_timer_t timer;	    /* end of the time that it has */
	request_state_t state;
	GList link;	       /* in traffic.requests */
	int64_t wait_began_us; /* while it waits */
	int64_t waited_us;
	bool wait_logged;
	int64_t late_since_us; /* its model is expected too late; 0: it is not */
	uint32_t candidates;   /* targets to choose from, when last looked at */
	const char
		*retry_denial; /* why it was not sent again; "-": was not due */
	GList wait_link;

	/* Attempts. */
	uint64_t tried[TRIED_MAX]; /* hashes of targets */
	uint32_t n_tried;
	uint32_t sends;	   /* attempts that reached a target */
	bool may_have_run; /* some attempt has no proof that it did not run */
	target_state_t *target;
	bsh_http_call_t *call;
	bool call_sent;
	int64_t call_began_us;
	bsh_loop_timer_t inactivity_timer;
	int64_t last_active_us; /* the target was sent the request, or gave an event */

	/* The answer. */
	platform_head_t head;
	int status;
	bool head_received;
	bool answer_begun; /* the head has gone to the caller */
	bool paused;
	GString *held_body; /* body that is kept back */
	GString *events;    /* whole events to be written */
	bsh_event_relay_t relay;
	int64_t first_byte_us;
	bool detached; /* http is gone or answered */
};

/* How an attempt ended. */
typedef enum {
	ATTEMPT_ANSWERED,    /* the whole answer was passed on */
	ATTEMPT_NOT_REACHED, /* nothing was sent */
	ATTEMPT_REFUSED,     /* the target proved that it did not run */
	ATTEMPT_FAILED,	     /* an answer that says so, passed on if final */
	ATTEMPT_BROKEN	     /* no whole answer */
} attempt_end_t;

/* traffic.c */
void traffic_attempt_ended(request_t *r, attempt_end_t end, bsh_error_t err);
int64_t traffic_now_us(const traffic_t *traffic);
/* Shows what is left of the budgets of repeats. */
void traffic_update_budget_gauge(traffic_t *t);

/* demand.c */
/* True if the request is for a model of an engine. */
bool demand_is_counted(const request_t *r);
model_demand_t *demand_counters(traffic_t *t, const request_t *r);
/* Timer: tells the control thread, and starts itself again. */
void demand_send(void *traffic);
/* A request has begun to wait: it is told at once. */
void demand_send_soon(traffic_t *t);

/* forward.c */
bsh_error_t forward_start(request_t *r, const view_target_t *target);
/* forward_cancel - close the connection to the target. */
void forward_cancel(request_t *r);
/* forward_answer_failure - pass on the failure that the target answered. */
void forward_answer_failure(request_t *r);
void forward_resume(request_t *r);
/* forward_time_left_ms - what is left for the caller, at least 1. */
uint32_t forward_time_left_ms(const request_t *r);

#endif
