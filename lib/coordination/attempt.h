#ifndef BSH_COORDINATION_ATTEMPT_H
#define BSH_COORDINATION_ATTEMPT_H

/*
 * NAME
 *	attempt - state machine of a request: attempts, retries, outcome
 *
 * DESCRIPTION
 *	A router has one bsh_attempts_t.  Each accepted request has one
 *	bsh_attempt_t, whose memory is owned by the router.
 *
 *	For a request that is not repeatable and has an idempotency key,
 *	bsh_attempt_begin() first requests the commit of an intent (callback
 *	intent).  The callback enqueue then submits the request to admission.
 *	When admission starts it, the router calls bsh_attempt_start() with
 *	the chosen target and sends the request with the id a->id.  Transport
 *	events are reported with that id.  An event whose id is not that of a
 *	running attempt is dropped and counted, so the late answer of a
 *	replaced attempt reaches no caller.
 *
 *	Outcome: an attempt that ended before any byte of the request may
 *	have been sent, or with a proved refusal, is not-run.  An attempt
 *	that ended with a matching, complete answer is answered.  Any other
 *	is unknown.  The outcome of a request is not-run only if none of its
 *	attempts may have run.
 *
 *	Retries: only after a not-run attempt or, for repeatable requests,
 *	before a byte was sent to the caller; at most
 *	BSH_ATTEMPT_RETRIES_MAX; only within the retry budget; never after
 *	the deadline or after the caller has disconnected.
 *
 *	Silent targets: an attempt of a repeatable request that has received
 *	nothing within the first-byte timeout is kept, and the request is
 *	enqueued for an attempt at another target if a retry is allowed.  The
 *	kept attempt is given up when the second target has accepted the
 *	request: it has sent an answer that is no refusal, or it has not
 *	refused within the first-byte timeout either.  If admission refuses
 *	the request or the second attempt fails, the kept one continues, and
 *	another retry may follow.  If the kept one is answered first, the
 *	second is cancelled or dequeued.  The end of the request ends both.
 *	Only a repeatable request has two attempts at a time, so an intent
 *	always stands for one.
 *
 *	Deadline: either the first byte is sent to the caller by the
 *	deadline, or the request is then answered with an error.  After the
 *	first byte, idle_us bounds the time between two bytes and
 *	BSH_ATTEMPT_DURATION_MAX_US the total time.
 *
 *	Completeness: an answer is complete when its content length was
 *	received or its chunked body ended and, for streams of an engine,
 *	the [DONE] event was received.  A body that is delimited only by the
 *	end of the connection may be truncated and counts as broken.
 *
 *	Buffering: the body of an answer that is not a stream is held
 *	(verdict HOLD) until it is complete, up to hold_bytes, so that a
 *	broken answer can still be replaced by a retry or an error response.
 *	At the deadline, or above hold_bytes, the held bytes are sent to the
 *	caller.
 *
 *	When a caller disconnects, its request is cancelled at the target.  A
 *	call with a committed intent is not cancelled; it runs to its end, so
 *	that its result is recorded for the caller's next attempt.  When the
 *	deadline of such a call passes, the caller is answered (callback
 *	detach), and the call also runs to its end for the record.
 *
 *	Callbacks must not call into this module for the same request, except
 *	that enqueue may call bsh_attempt_start() or bsh_attempt_refused()
 *	before it returns.  finish is the last callback of a request; its
 *	memory may be reused from then on.
 *
 *	Not thread-safe.  No I/O and no clock.
 *
 * UNITS
 *	now_us and times that end in _us are microseconds of one monotonic
 *	clock; deadline_us is a time, the _us fields of the configuration are
 *	durations.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "coordination/route.h"

#define BSH_ATTEMPT_RETRIES_MAX	    2
#define BSH_ATTEMPT_BUDGET_RATIO    0.1
#define BSH_ATTEMPT_BUDGET_MAX	    100.0 /* capacity of the token bucket */
#define BSH_ATTEMPT_DURATION_MAX_US INT64_C(3600000000)
#define BSH_ATTEMPT_ID_SIZE	    48 /* text of a request id with NUL */

/* A longer body of an answer is not recorded in the journal. */
#define BSH_ATTEMPT_RECORDED_BODY_MAX_BYTES 8192

/* Identifies one attempt; unique over all routers. */
typedef struct {
	uint64_t incarnation; /* of the router process */
	uint64_t sequence;    /* of the request in that process, from 1 */
	uint32_t attempt;     /* from 1; 0 before the first */
} bsh_request_id_t;

/*
 * bsh_request_id_print, _parse - convert to and from the value of X-Request-Id.
 *
 * ERRORS
 *	BSH_ERR_INVALID (parse): not exactly the printed form of an id.
 */
void bsh_request_id_print(const bsh_request_id_t *id,
			  char out[BSH_ATTEMPT_ID_SIZE]);
bsh_error_t bsh_request_id_parse(const char *text, bsh_request_id_t *id);

/*
 * Token bucket for retries.  It starts empty and gains BSH_ATTEMPT_BUDGET_RATIO
 * per request, so at any time the retries do not exceed that share of the
 * requests.
 */
typedef struct {
	double tokens;	   /* one per retry */
	uint64_t requests; /* whose first attempt was started */
	uint64_t retries;
} bsh_attempt_budget_t;

typedef struct {
	int64_t connect_us; /* timeout of the connection set-up */
	int64_t idle_us;    /* limit between two bytes, after the first */
	int64_t first_byte_timeout_min_us; /* lower bound of the timeout */
	uint32_t hold_bytes;		   /* maximum of held body bytes */
	uint32_t max_open;		   /* maximum of unfinished requests */
} bsh_attempts_config_t;

typedef enum {
	BSH_ATTEMPT_NEW = 0,
	BSH_ATTEMPT_INTENT,    /* waiting for the commit of the intent */
	BSH_ATTEMPT_QUEUED,    /* waiting in admission */
	BSH_ATTEMPT_OPEN,      /* passed to the transport, nothing sent yet */
	BSH_ATTEMPT_SENT,      /* bytes may have reached the target */
	BSH_ATTEMPT_ANSWERING, /* matching answer head received */
	BSH_ATTEMPT_ENDED
} bsh_attempt_state_t;

typedef struct {
	void *user;	     /* of the router, not used by the module */
	int64_t deadline_us; /* for the first byte to the caller */
	int64_t first_us;    /* expected time to the first byte, 0: unknown */
	bool repeatable;     /* may be executed more than once */
	bool has_key;	     /* non-repeatable with an Idempotency-Key */
	bool stream;	     /* server-sent events were requested */
	bool engine; /* the target returns X-Request-Id and sends [DONE] */
} bsh_attempt_spec_t;

/* The part of the state of an attempt that differs while two overlap. */
typedef struct {
	uint32_t attempt;	   /* its number */
	bsh_attempt_state_t state; /* BSH_ATTEMPT_NEW: there is no attempt */
	bsh_route_choice_t target;
	int64_t started_us;
	int64_t last_byte_us;
} bsh_attempt_other_t;

typedef struct {
	bsh_attempt_spec_t spec;
	bsh_request_id_t id;
	bsh_attempt_state_t state;
	bsh_route_choice_t target;		/* of the running attempt */
	bsh_attempt_other_t other;		/* kept beside it */
	uint32_t attempts;			/* started so far */
	uint32_t tried[BSH_ROUTE_MAX_EXCLUDED]; /* targets that failed */
	uint32_t tried_count;
	bool may_have_run; /* at least one attempt may have run */
	bool committed;	   /* its intent is committed */
	bool forwarded;	   /* a byte was sent to the caller */
	bool holding;	   /* body bytes are held back from the caller */
	bool caller_gone;  /* the caller disconnected or was detached */
	bool framed;	   /* the answer has a content length or is chunked */
	bool event_stream; /* the answer is text/event-stream */
	bool done_seen;	   /* the [DONE] event was received */

	uint16_t status;      /* HTTP status of the answer */
	int64_t length;	      /* content length, -1 unknown */
	int64_t received;     /* body bytes */
	int64_t started_us;   /* of the running attempt */
	int64_t last_byte_us; /* last byte from the target, or start */
	int64_t accepted_us;
	int64_t timer_us;     /* key in the timer queue */
	GSequenceIter *timer; /* NULL: not in the queue */
	bsh_error_t last_err; /* of the latest attempt that may have run;
			       * if there is none, of the latest */
} bsh_attempt_t;

/* What the router does with the head or a part of the body of an answer. */
typedef enum {
	BSH_ANSWER_DROP,   /* discard */
	BSH_ANSWER_HOLD,   /* keep until the callback release or finish */
	BSH_ANSWER_FORWARD /* send to the caller, after the held bytes */
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
	/* intent - request the commit of the intent from the controller. */
	void (*intent)(void *ctx, bsh_attempt_t *a);
	/* enqueue - submit to admission; resubmit if retry is set.  The first
	 * attempt may be running still, see bsh_attempt_kept_target(). */
	void (*enqueue)(void *ctx, bsh_attempt_t *a, bool retry);
	/* dequeue - remove from admission. */
	void (*dequeue)(void *ctx, bsh_attempt_t *a);
	/*
	 * cancel - close the attempt a->id at a->target (it may have failed
	 * already) and discard its held bytes.  Later events with its id have
	 * no effect.  Another attempt of the request may continue.
	 */
	void (*cancel)(void *ctx, bsh_attempt_t *a);
	/* release - send the held bytes to the caller now. */
	void (*release)(void *ctx, bsh_attempt_t *a);
	/*
	 * first_byte - the first body byte of a matching answer was received;
	 * for bsh_route_first_byte().  May be NULL.
	 */
	void (*first_byte)(void *ctx, bsh_attempt_t *a);
	/*
	 * target_result - result of the attempt a->id for bsh_route_end();
	 * called once per started attempt.
	 */
	void (*target_result)(void *ctx, bsh_attempt_t *a,
			      bsh_route_result_t result);
	/*
	 * detach - answer the caller with the error now.  The request keeps
	 * running; only record and finish follow.
	 */
	void (*detach)(void *ctx, bsh_attempt_t *a, bsh_error_t err,
		       bsh_outcome_t outcome);
	/*
	 * record - send the result of a committed intent to the journal, or
	 * withdraw an undecided intent (outcome not-run).  The held bytes are
	 * the body when outcome is answered.
	 */
	void (*record)(void *ctx, bsh_attempt_t *a, bsh_outcome_t outcome);
	/*
	 * finish - last callback.  With BSH_OK the answer is complete: send the
	 * held bytes and end the response.  Otherwise answer with the error or,
	 * if a->forwarded, end the response with an error event (stream) or by
	 * closing the connection.  Send nothing if a->caller_gone.
	 */
	void (*finish)(void *ctx, bsh_attempt_t *a, bsh_error_t err,
		       bsh_outcome_t outcome, uint32_t retry_after_ms);
} bsh_attempt_ops_t;

typedef struct {
	bsh_attempts_config_t config;
	bsh_attempt_ops_t ops;
	void *ctx;
	uint64_t incarnation;
	uint64_t next_sequence;
	GHashTable *open;  /* sequence -> bsh_attempt_t, until finished */
	GSequence *timers; /* bsh_attempt_t by timer_us */
	bsh_attempt_budget_t budget;
	uint64_t late;	     /* events of ended attempts, dropped */
	uint64_t mismatched; /* answers of other requests, dropped */
} bsh_attempts_t;

void bsh_attempts_config_default(bsh_attempts_config_t *config);
void bsh_attempts_init(bsh_attempts_t *set, const bsh_attempts_config_t *config,
		       uint64_t incarnation, const bsh_attempt_ops_t *ops,
		       void *ctx);

/*
 * bsh_attempts_finish - release the set.  Unfinished requests are dropped
 * without a callback.
 */
void bsh_attempts_finish(bsh_attempts_t *set);

/*
 * bsh_attempt_begin - accept a request.  Calls intent or enqueue.
 *
 * ERRORS (no callback is called)
 *	BSH_ERR_CAPACITY	max_open requests are unfinished
 *	BSH_ERR_DEADLINE	the deadline has passed
 */
bsh_error_t bsh_attempt_begin(bsh_attempts_t *set, bsh_attempt_t *a,
			      const bsh_attempt_spec_t *spec, int64_t now_us);

/* Decision of the journal on an intent. */
typedef enum {
	BSH_INTENT_RUN,		/* committed: send the request */
	BSH_INTENT_ANSWERED,	/* a recorded answer exists */
	BSH_INTENT_NOT_KEPT,	/* answered, body too large or dropped */
	BSH_INTENT_IN_PROGRESS, /* in progress at a live instance */
	BSH_INTENT_UNKNOWN,	/* outcome unknown, not run again */
	BSH_INTENT_MISMATCH,	/* key reused with another digest */
	BSH_INTENT_UNAVAILABLE	/* not decided: store down or too slow */
} bsh_intent_verdict_t;

/*
 * bsh_attempt_intent - INTENT_ANSWER was received for the request with this id.
 * On BSH_INTENT_ANSWERED the request finishes with BSH_OK, and the caller of
 * this function supplies the recorded answer as the held bytes.  A
 * BSH_INTENT_RUN that arrives after the request ended needs no reply: record
 * (not-run) was called when it ended.
 *
 * RETURN VALUE
 *	False if no request waits for this answer.
 */
bool bsh_attempt_intent(bsh_attempts_t *set, const bsh_request_id_t *id,
			bsh_intent_verdict_t verdict, uint32_t retry_after_ms,
			int64_t now_us);

/*
 * bsh_attempt_start - admission started the request, and target was chosen.
 * Counts the attempt and sets a->id, with which the router sends the request
 * next.
 *
 * RETURN VALUE
 *	False if the request is not queued or its deadline has passed; it must
 *	not be sent.
 */
bool bsh_attempt_start(bsh_attempts_t *set, bsh_attempt_t *a,
		       const bsh_route_choice_t *target, int64_t now_us);

/*
 * bsh_attempt_kept_target - index of the target of the attempt that is kept
 * while a second one is started, or BSH_ROUTE_NONE.  It must not be chosen for
 * the second attempt.
 */
uint32_t bsh_attempt_kept_target(const bsh_attempt_t *a);

/*
 * bsh_attempt_refused - admission refused the request with this error.  The
 * request finishes unless an attempt is kept.
 */
void bsh_attempt_refused(bsh_attempts_t *set, bsh_attempt_t *a, bsh_error_t err,
			 uint32_t retry_after_ms, int64_t now_us);

/* bsh_attempt_sent - the first byte of the request is about to be sent. */
void bsh_attempt_sent(bsh_attempts_t *set, const bsh_request_id_t *id,
		      int64_t now_us);

/*
 * bsh_attempt_target_leaving - the target became leaving after it was chosen
 * and before anything was sent (bsh_route_may_send() is false when the
 * connection is established).  The request is queued again.  This costs no
 * retry budget, because no target has received anything.
 */
void bsh_attempt_target_leaving(bsh_attempts_t *set, const bsh_request_id_t *id,
				int64_t now_us);

/*
 * bsh_attempt_head - the status line and headers of an answer were received on
 * the connection of id.
 */
bsh_answer_verdict_t bsh_attempt_head(bsh_attempts_t *set,
				      const bsh_request_id_t *id,
				      const bsh_answer_head_t *head,
				      int64_t now_us);

/*
 * bsh_attempt_body - size bytes of the body were received; done_event is true
 * when they contain the [DONE] event.
 */
bsh_answer_verdict_t bsh_attempt_body(bsh_attempts_t *set,
				      const bsh_request_id_t *id, size_t size,
				      bool done_event, int64_t now_us);

/* bsh_attempt_end - the transport received the end of the message. */
void bsh_attempt_end(bsh_attempts_t *set, const bsh_request_id_t *id,
		     int64_t now_us);

/*
 * bsh_attempt_failed - the connection could not be established or was lost.
 * Without an earlier bsh_attempt_sent(), nothing was sent.
 */
void bsh_attempt_failed(bsh_attempts_t *set, const bsh_request_id_t *id,
			int64_t now_us);

/* bsh_attempt_caller_gone - the caller disconnected. */
void bsh_attempt_caller_gone(bsh_attempts_t *set, bsh_attempt_t *a,
			     int64_t now_us);

/* bsh_attempts_tick - run due timers; call at bsh_attempts_next_us(). */
void bsh_attempts_tick(bsh_attempts_t *set, int64_t now_us);
int64_t bsh_attempts_next_us(const bsh_attempts_t *set);

#endif
