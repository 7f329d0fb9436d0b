#ifndef BSH_COORDINATION_ATTEMPT_H
#define BSH_COORDINATION_ATTEMPT_H

/*
 * NAME
 *	attempt - life cycle of a request from its acceptance to its answer
 *
 * DESCRIPTION
 *	A router has one bsh_attempts_t; each accepted request has one
 *	bsh_attempt_t, whose memory belongs to the caller of the module.
 *
 *	bsh_attempt_begin() asks for an intent first when the request is not
 *	repeatable and has an idempotency key; then it gives the order
 *	enqueue, which the router passes to admission.  When admission
 *	starts it, the router calls bsh_attempt_start() with the chosen
 *	target and sends the request with the id a->id.  Transport events
 *	are then reported by id.  An event whose id is not that of a running
 *	attempt is dropped and counted, so late answers reach no one.
 *
 *	Outcome classes.  An attempt that ended before any byte of the
 *	request may have left, or with a proved refusal, has not run.  One
 *	that ended with a matching, complete answer is answered.  Everything
 *	else is unknown.  A request's outcome is not-run only if none of its
 *	attempts may have run.
 *
 *	Retries: only after not-run, or for repeatable requests before the
 *	first byte went to the caller; at most BSH_ATTEMPT_RETRIES; only
 *	within the retry budget; never when the deadline has passed or the
 *	caller has gone.  For a repeatable request a silent attempt is
 *	replaced after a while, if a retry is possible; otherwise it
 *	continues until the deadline.
 *
 *	Deadline: the first byte reaches the caller by the deadline, or the
 *	request is answered with an error then.  After the first byte,
 *	idle_us bounds the silence and BSH_ATTEMPT_MAX_US the whole.
 *
 *	Completeness: an answer is whole when its content length was
 *	received, or its chunked body ended, and (for streams of an engine)
 *	the [DONE] event was seen.  A body that ends with the connection has
 *	no proof and counts as broken.
 *
 *	Holding: the body of an answer that is not a stream is held (verdict
 *	HOLD) until it is whole, up to hold_bytes, so that a broken answer
 *	can still be replaced by a retry or a clean error.  At the deadline,
 *	or above hold_bytes, what is held is released to the caller.
 *
 *	A caller that disconnects cancels its request at the target.  A call
 *	with a committed intent is not cancelled; it runs to its end, so
 *	that its result is recorded for the caller's next try.
 *
  *	A call with a committed intent whose deadline passes is answered
 *	(order detach) and also runs to its end for the record.
 *
 *	Callbacks must not call into this module for the same request, except
 *	that enqueue may call bsh_attempt_start() or bsh_attempt_refused()
 *	before it returns.  The order finish is the last one of a request; its
 *	memory may be reused from then on.
 *
 *	Not thread-safe.  Pure: no I/O and no clock.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "coordination/route.h"

#define BSH_ATTEMPT_RETRIES_MAX	 2
#define BSH_ATTEMPT_BUDGET_RATIO 0.1
#define BSH_ATTEMPT_BUDGET_MAX	 100.0 /* tokens kept at most */
#define BSH_ATTEMPT_DURATION_MAX_US	 INT64_C(3600000000)
#define BSH_ATTEMPT_ID_SIZE	 48   /* text of a request id with NUL */
#define BSH_ATTEMPT_RECORDED_BODY_MAX_BYTES	 8192 /* of an answer in the journal */

/* Unique over all routers: incarnation is that of this router process. */
typedef struct {
	uint64_t incarnation;
	uint64_t sequence;
	uint32_t attempt; /* 1, 2, 3 */
} bsh_request_id_t;

/*
 * bsh_request_id_print, _parse - the form used in X-Request-Id.
 *
 * ERRORS
 *	BSH_ERR_INVALID (parse): not an id in this form.
 */
void bsh_request_id_print(const bsh_request_id_t *id,
			  char out[BSH_ATTEMPT_ID_SIZE]);
bsh_error_t bsh_request_id_parse(const char *text, bsh_request_id_t *id);

/*
 * Retry budget.  Starts empty and earns BSH_ATTEMPT_BUDGET_RATIO per request
 * sent first, so retries never exceed that share of the requests at any time.
 */
typedef struct {
	double tokens;
	uint64_t requests; /* first attempts sent */
	uint64_t retries;
} bsh_retry_budget_t;

typedef struct {
	int64_t connect_us;    /* until the connection is made */
	int64_t idle_us;       /* silence after the first byte */
	int64_t silent_min_us; /* silence before it, lower bound */
	uint32_t hold_bytes;
	uint32_t max_open;
} bsh_attempts_config_t;

typedef enum {
	BSH_ATTEMPT_NEW = 0,
	BSH_ATTEMPT_INTENT,    /* waits for the commit of the intent */
	BSH_ATTEMPT_QUEUED,    /* waits in admission */
	BSH_ATTEMPT_OPEN,      /* given to the transport, nothing sent yet */
	BSH_ATTEMPT_SENT,      /* bytes may have reached the target */
	BSH_ATTEMPT_ANSWERING, /* matching head received */
	BSH_ATTEMPT_ENDED
} bsh_attempt_state_t;

typedef struct {
	void *user;
	int64_t deadline_us;
	int64_t first_us; /* expected time to the first byte, 0: unknown */
	bool repeatable;
	bool has_key; /* non-repeatable with an Idempotency-Key */
	bool stream;  /* server-sent events were asked for */
	bool engine;  /* the target repeats X-Request-Id, sends [DONE] */
} bsh_attempt_spec_t;

typedef struct {
	bsh_attempt_spec_t spec;
	bsh_request_id_t id;
	bsh_attempt_state_t state;
	bsh_route_choice_t target;		/* of the running attempt */
	uint32_t tried[BSH_ROUTE_MAX_EXCLUDED]; /* targets that failed */
	uint32_t tried_count;
	bool may_have_run; /* some attempt may have run */
	bool committed;	   /* an intent is recorded for it */
	bool forwarded;	   /* a byte went to the caller */
	bool holding;	   /* body bytes are held */
	bool caller_gone;
	bool framed; /* content length or chunked */
	bool event_stream;
	bool done_seen;

	uint16_t status;
	int64_t length;	    /* content length, -1 unknown */
	int64_t received;   /* body bytes */
	int64_t started_us; /* of the running attempt */
	int64_t heard_us;   /* last byte from the target */
	int64_t begun_us;
	int64_t timer_us; /* entry in the timer queue */
	GSequenceIter *timer;
	bsh_error_t last_err;
} bsh_attempt_t;

/* Verdict on a head or a part of a body. */
typedef enum {
	BSH_ANSWER_DROP,   /* not for any caller */
	BSH_ANSWER_HOLD,   /* keep until the order finish or release */
	BSH_ANSWER_FORWARD /* send to the caller, after what is held */
} bsh_answer_verdict_t;

typedef struct {
	uint16_t status;
	const char *request_id; /* X-Request-Id of the answer, or NULL */
	int64_t length;		/* content length, -1 when absent */
	bool chunked;
	bool event_stream; /* Content-Type: text/event-stream */
	bool not_run;	   /* Berylshunt-Outcome: not-run of the target */
} bsh_answer_head_t;

typedef struct {
	/* intent - ask the controller to commit the intent. */
	void (*intent)(void *ctx, bsh_attempt_t *a);
	/* enqueue - submit to admission; on a retry, requeue. */
	void (*enqueue)(void *ctx, bsh_attempt_t *a, bool retry);
	/* dequeue - no longer wait in admission. */
	void (*dequeue)(void *ctx, bsh_attempt_t *a);
	/* cancel - close the running attempt at the target (it may have
	 * failed already) and drop what is held.  No event with its id has
	 * an effect afterwards. */
	void (*cancel)(void *ctx, bsh_attempt_t *a);
	/* release - send what is held to the caller now. */
	void (*release)(void *ctx, bsh_attempt_t *a);
	/* first_byte - the first byte of a matching answer's body came; for
	 * bsh_route_first().  May be NULL. */
	void (*first_byte)(void *ctx, bsh_attempt_t *a);
	/* target_result - for bsh_route_end(); once per started attempt. */
	void (*target_result)(void *ctx, bsh_attempt_t *a,
			      bsh_route_result_t result);
	/* detach - answer the caller with the error now; the request runs
	 * on and only its record and finish follow. */
	void (*detach)(void *ctx, bsh_attempt_t *a, bsh_error_t err,
		       bsh_outcome_t outcome);
	/* record - tell the journal the result of a committed intent; held
	 * bytes are the body when outcome is answered. */
	void (*record)(void *ctx, bsh_attempt_t *a, bsh_outcome_t outcome);
	/*
	 * finish - last order.  BSH_OK: the answer is whole; send what is
	 * held and end the response.  Otherwise answer with the error, or,
	 * when a->forwarded, end the response with an error event (stream)
	 * or by closing the connection.  Nothing is sent if a->caller_gone.
	 */
	void (*finish)(void *ctx, bsh_attempt_t *a, bsh_error_t err,
		       bsh_outcome_t outcome, uint32_t retry_after_ms);
} bsh_attempt_ops_t;

typedef struct {
	bsh_attempts_config_t config;
	bsh_attempt_ops_t orders;
	void *ctx;
	uint64_t incarnation;
	uint64_t next_sequence;
	GHashTable *open;  /* sequence -> bsh_attempt_t */
	GSequence *timers; /* bsh_attempt_t by timer_us */
	bsh_retry_budget_t budget;
	uint64_t late;	     /* events of ended attempts, dropped */
	uint64_t mismatched; /* answers of other requests, dropped */
} bsh_attempts_t;

void bsh_attempts_config_default(bsh_attempts_config_t *config);
void bsh_attempts_init(bsh_attempts_t *set, const bsh_attempts_config_t *config,
		       uint64_t incarnation, const bsh_attempt_ops_t *orders,
		       void *ctx);

/* bsh_attempts_finish - running requests are forgotten without an order. */
void bsh_attempts_finish(bsh_attempts_t *set);

/*
 * bsh_attempt_begin - accept a request.  Gives intent or enqueue.
 *
 * ERRORS (no order is given)
 *	BSH_ERR_CAPACITY	max_open requests are running
 *	BSH_ERR_DEADLINE	the deadline has passed
 */
bsh_error_t bsh_attempt_begin(bsh_attempts_t *set, bsh_attempt_t *a,
			      const bsh_attempt_spec_t *spec, int64_t now_us);

/* Verdict of the journal on an intent. */
typedef enum {
	BSH_INTENT_RUN,		/* committed: send */
	BSH_INTENT_ANSWERED,	/* a recorded answer exists */
	BSH_INTENT_NOT_KEPT,	/* answered, the body was too large to keep */
	BSH_INTENT_IN_PROGRESS, /* open on a live instance */
	BSH_INTENT_UNKNOWN,	/* outcome unknown, not run again */
	BSH_INTENT_MISMATCH,	/* the digest differs */
	BSH_INTENT_UNAVAILABLE	/* the store is down or too slow */
} bsh_intent_verdict_t;

/*
 * bsh_attempt_intent - INTENT_ANSWER for the request with this id.  On
 * BSH_INTENT_ANSWERED the request finishes with BSH_OK and the caller of
  * this function supplies the recorded answer as what is held.  A RUN that
 * comes after the request ended needs no reply: the order record (not-run)
 * was given when it ended.
 *
 * RETURN VALUE
 *	False if no request waits for this answer.
 */
bool bsh_attempt_intent(bsh_attempts_t *set, const bsh_request_id_t *id,
			bsh_intent_verdict_t verdict, uint32_t retry_after_ms,
			int64_t now_us);

/*
 * bsh_attempt_start - admission started it and target was chosen.  Counts the
 * attempt, sets a->id.  The router sends the request with that id now.
 *
 * RETURN VALUE
 *	False if the request does not wait; it must not be sent.
 */
bool bsh_attempt_start(bsh_attempts_t *set, bsh_attempt_t *a,
		       const bsh_route_choice_t *target, int64_t now_us);

/* bsh_attempt_refused - admission refused it. */
void bsh_attempt_refused(bsh_attempts_t *set, bsh_attempt_t *a, bsh_error_t err,
			 uint32_t retry_after_ms, int64_t now_us);

/* bsh_attempt_sent - the first byte of the request is about to leave. */
void bsh_attempt_sent(bsh_attempts_t *set, const bsh_request_id_t *id,
		      int64_t now_us);

/*
 * bsh_attempt_recalled - the target became leaving after it was chosen and
 * before anything was sent (bsh_route_may_send() is false when the connection
 * is made).  The request waits again; this costs no retry budget, because no
 * target got anything.
 */
void bsh_attempt_target_leaving(bsh_attempts_t *set, const bsh_request_id_t *id,
			  int64_t now_us);

/* bsh_attempt_head - status line and headers of an answer have arrived on
 * the connection of id. */
bsh_answer_verdict_t bsh_attempt_head(bsh_attempts_t *set,
				      const bsh_request_id_t *id,
				      const bsh_answer_head_t *head,
				      int64_t now_us);

/* bsh_attempt_body - size bytes of the body have arrived; done_event is true
 * when they hold the [DONE] event. */
bsh_answer_verdict_t bsh_attempt_body(bsh_attempts_t *set,
				      const bsh_request_id_t *id, size_t size,
				      bool done_event, int64_t now_us);

/* bsh_attempt_end - the transport read the message to its end. */
void bsh_attempt_end(bsh_attempts_t *set, const bsh_request_id_t *id,
		     int64_t now_us);

/* bsh_attempt_failed - connecting failed, or the connection was lost.  If
 * bsh_attempt_sent() was not called before, nothing was sent. */
void bsh_attempt_failed(bsh_attempts_t *set, const bsh_request_id_t *id,
			int64_t now_us);

/* bsh_attempt_caller_gone - the caller disconnected. */
void bsh_attempt_caller_gone(bsh_attempts_t *set, bsh_attempt_t *a,
			     int64_t now_us);

/* bsh_attempts_tick - to be called at bsh_attempts_next_us(). */
void bsh_attempts_tick(bsh_attempts_t *set, int64_t now_us);
int64_t bsh_attempts_next_us(const bsh_attempts_t *set);

#endif
