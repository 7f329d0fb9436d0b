#ifndef BSH_COORDINATION_ADMISSION_H
#define BSH_COORDINATION_ADMISSION_H

/*
 * NAME
 *	admission - deadline-aware admission queue, one per model
 *
 * DESCRIPTION
 *	A request is submitted once.  It is started at once if a target has a
 *	free slot, queued if it is expected to start in time, or refused.  A
 *	queue is ordered by priority, then deadline, then arrival.  A model is
 *	cold while it has no usable target.  All requests that wait for a cold
 *	model share one load: at most one NEED is outstanding per model, and
 *	it is repeated only after a timeout.
 *
 *	Deadline: the time by which the first byte of the answer must reach
 *	the caller.  The estimated time of the first byte is the sum of
 *		the time until the model is ready,
 *		the requests ahead in the queue / observed start rate, and
 *		the time from the send to the first byte.
 *	It is computed on submission and again on every NEED_ANSWER, when
 *	the model loses slots, and on every tick, which takes newly measured
 *	times into account.  A request with an estimate after its deadline is
 *	refused with BSH_ERR_DEADLINE at once, and no request is kept past its
 *	latest start time.
 *
 *	A NEED without an answer for BSH_ADMISSION_NEED_TIMEOUT_US counts as
 *	a load that has not begun: the model is then expected to be ready at
 *	now + load_us, so that requests are not held up to their deadlines
 *	while no controller answers.
 *
 *	Fair shares: models with waiting requests are started in proportion
 *	to their weight (10 - priority) by start-time fair queueing, so that
 *	no model starves.  When a queue is more than half full, a caller that
 *	has its share of it waiting already is refused with
 *	BSH_ERR_RATE_LIMITED.
 *
 *	Retry-After: every refusal reserves the next free retry time of its
 *	model.  Retry times are spaced by the observed start interval, plus a
 *	random jitter of up to half the wait, so that callers refused in a
 *	burst do not retry in a burst.
 *
 *	Memory is bounded by max_waiting, max_waiting_model and max_models.
 *	The caller owns the memory of a request (bsh_admission_request_t) and
 *	keeps it until the request is started, refused or cancelled.
 *
 *	Callbacks may call bsh_admission_submit() and bsh_admission_cancel()
 *	for other requests, and no other function that changes the state.
 *
 *	Not thread-safe.  Pure: no I/O and no clock.
 *
 * UNITS
 *	_us: microseconds, _ms: milliseconds.  Points in time (now_us,
 *	deadline_us, ready_us) are read from one monotonic clock.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/rng.h"

#define BSH_ADMISSION_KEY_SIZE	      160
#define BSH_ADMISSION_MAX_RETRY_MS    60000
#define BSH_ADMISSION_NEED_TIMEOUT_US INT64_C(500000) /* then repeated */
#define BSH_ADMISSION_TICK_US	      INT64_C(50000)  /* while requests wait */

typedef struct {
	uint32_t max_waiting;	    /* requests, all models */
	uint32_t max_waiting_model; /* requests per model */
	uint32_t max_models;
	uint32_t seed; /* of the random generator */
} bsh_admission_config_t;

struct bsh_admission_model;

/* A submitted request.  The caller sets the first four fields. */
typedef struct bsh_admission_request {
	void *user;	     /* opaque, for the callbacks */
	uint64_t caller;     /* hash of the caller; 0: unknown */
	int64_t deadline_us; /* latest time of the first byte */
	uint8_t priority;    /* 0 (highest) to 9 */
	/* Earliest possible start, 0 if unknown.  Set by the start callback
	 * together with BSH_START_FULL. */
	int64_t not_before_us;

	struct bsh_admission_model *model; /* NULL unless waiting */
	GSequenceIter *queue_iter;	   /* in model->queue */
	GSequenceIter *latest_start_iter;  /* in by_latest_start */
	int64_t latest_start_us;	   /* to meet the deadline */
	uint64_t arrival; /* sequence number of the submission */
} bsh_admission_request_t;

/* Settings of a model or service, from the configuration document. */
typedef struct {
	uint8_t priority;    /* 0 (highest) to 9 */
	bool always_warm;    /* a service, which is never loaded on demand */
	int64_t load_us;     /* expected load time */
	int64_t first_us;    /* expected time from the send to first byte */
	int64_t service_us;  /* expected time from the send to the end */
	uint32_t load_slots; /* expected slots of one loaded target */
} bsh_admission_model_config_t;

typedef enum {
	BSH_START_OK,	/* the request was sent */
	BSH_START_FULL, /* ready targets exist, none accepts it now */
	BSH_START_COLD, /* no usable target */
	/* no target for this request, which need not wait for one */
	BSH_START_NONE
} bsh_start_t;

typedef struct {
	/*
	 * start - choose a target and send the request.  BSH_START_OK
	 * removes the request from the queue; so does BSH_START_NONE, after
	 * which it is refused with BSH_ERR_CAPACITY.
	 */
	bsh_start_t (*start)(void *ctx, bsh_admission_request_t *request);
	/* refuse - send the refusal; the request has left the queue. */
	void (*refuse)(void *ctx, bsh_admission_request_t *request,
		       bsh_error_t err, uint32_t retry_after_ms);
	/* need - send NEED, a request to load the model, to the controller.
	 * deadline_us is that of the first request in the queue. */
	void (*need)(void *ctx, const char *key, uint8_t priority,
		     int64_t deadline_us);
} bsh_admission_ops_t;

/* Queue and estimates of one model.  Internal; public so that its memory can
 * be measured. */
typedef struct bsh_admission_model {
	char key[BSH_ADMISSION_KEY_SIZE];
	bsh_admission_model_config_t config;
	GSequence *queue;	  /* requests by priority, deadline, arrival */
	GHashTable *callers;	  /* caller -> requests waiting; may be NULL */
	uint32_t slots;		  /* of all usable targets; 0: cold */
	uint32_t running;	  /* requests started and not ended */
	int64_t need_us;	  /* time of the last unanswered NEED, or 0 */
	int64_t need_first_us;	  /* time of the first unanswered NEED, or 0 */
	int64_t ready_us;	  /* expected, from NEED_ANSWER, or 0 */
	int64_t refused_until_us; /* end of the last NEED refusal */
	double first_us;	  /* send to first byte, moving average */
	double service_us;	  /* send to end, moving average */
	double interval_us;	  /* between starts while waiting, average */
	int64_t sampled_us;	  /* time of the last sample of first_us */
	int64_t last_start_us;
	int64_t next_retry_us; /* next free retry time, absolute */
	double finish_tag;     /* of start-time fair queueing */
	bool blocked;	       /* a start failed in this dispatch */
	bool in_backlog;
} bsh_admission_model_t;

typedef struct {
	bsh_admission_config_t config;
	bsh_admission_ops_t ops;
	void *ctx;
	GHashTable *models;	    /* key -> bsh_admission_model_t */
	GPtrArray *backlog;	    /* models with waiting requests */
	GSequence *by_latest_start; /* all waiting requests */
	uint32_t waiting;	    /* requests, all models */
	uint64_t next_arrival;
	double virtual_time; /* of start-time fair queueing */
	int64_t ticked_us;   /* time of the last tick */
	bool dispatching;    /* guards against recursion */
	bsh_rng_t rng;
} bsh_admission_t;

void bsh_admission_config_default(bsh_admission_config_t *config);
void bsh_admission_init(bsh_admission_t *adm,
			const bsh_admission_config_t *config,
			const bsh_admission_ops_t *ops, void *ctx);

/* bsh_admission_finish - free all memory.  No request may be waiting. */
void bsh_admission_finish(bsh_admission_t *adm);

/*
 * bsh_admission_declare - add a model or service, or change its settings.
 *
 * ERRORS
 *	BSH_ERR_INVALID, BSH_ERR_CAPACITY (max_models)
 */
bsh_error_t bsh_admission_declare(bsh_admission_t *adm, const char *key,
				  const bsh_admission_model_config_t *config);

/* bsh_admission_remove - remove a model or service and refuse its waiting
 * requests with BSH_ERR_NOT_FOUND. */
void bsh_admission_remove(bsh_admission_t *adm, const char *key,
			  int64_t now_us);

/*
 * bsh_admission_submit - start, queue or refuse a request.  Every request
 * that is not cancelled ends in the callback start (BSH_START_OK) or refuse,
 * possibly before this returns.
 *
 * ERRORS (also passed to refuse)
 *	BSH_ERR_NOT_FOUND, BSH_ERR_DEADLINE, BSH_ERR_CAPACITY,
 *	BSH_ERR_RATE_LIMITED
 */
bsh_error_t bsh_admission_submit(bsh_admission_t *adm, const char *key,
				 bsh_admission_request_t *request,
				 int64_t now_us);

/* bsh_admission_cancel - remove a request from its queue without an answer.
 * No effect on a request that is not waiting. */
void bsh_admission_cancel(bsh_admission_t *adm,
			  bsh_admission_request_t *request);

/*
 * bsh_admission_requeue - submit a started request again after its target
 * refused it, or while its target is silent.  It keeps its arrival number.
 */
bsh_error_t bsh_admission_requeue(bsh_admission_t *adm, const char *key,
				  bsh_admission_request_t *request,
				  int64_t now_us);

/* bsh_admission_load_accepted - NEED_ANSWER: the model is being loaded and
 * expected to be ready at ready_us. */
void bsh_admission_load_accepted(bsh_admission_t *adm, const char *key,
				 int64_t ready_us, int64_t now_us);

/* bsh_admission_load_refused - NEED_ANSWER: the model is not loaded.  Its
 * waiting requests are refused with BSH_ERR_CAPACITY.  No effect on a model
 * with usable targets. */
void bsh_admission_load_refused(bsh_admission_t *adm, const char *key,
				uint32_t retry_after_ms, int64_t now_us);

/*
 * bsh_admission_set_slots - set the number of requests that the usable targets
 * of a model take at once, see bsh_route_slots(); 0 makes it cold.
 */
void bsh_admission_set_slots(bsh_admission_t *adm, const char *key,
			     uint32_t slots, int64_t now_us);

/* bsh_admission_first_byte - report the time from the send of a request to the
 * first byte of its answer. */
void bsh_admission_first_byte(bsh_admission_t *adm, const char *key,
			      int64_t elapsed_us, int64_t now_us);

/* bsh_admission_ended - report the end of a started request, which frees its
 * slot.  elapsed_us is the time since the send, or negative if the request was
 * not served.  To be called before bsh_admission_requeue(), except while the
 * target is silent; the request then occupies a slot until this call. */
void bsh_admission_ended(bsh_admission_t *adm, const char *key,
			 int64_t elapsed_us, int64_t now_us);

/* bsh_admission_refuse_all - refuse every waiting request with err, for
 * instance when the configuration is no longer confirmed. */
void bsh_admission_refuse_all(bsh_admission_t *adm, bsh_error_t err,
			      int64_t now_us);

/* bsh_admission_tick - refuse late requests, repeat unanswered NEEDs and start
 * requests; to be called at bsh_admission_next_us(). */
void bsh_admission_tick(bsh_admission_t *adm, int64_t now_us);

/* bsh_admission_next_us - time of the next tick; INT64_MAX if none is due. */
int64_t bsh_admission_next_us(const bsh_admission_t *adm);

/* bsh_admission_retry_after - Retry-After in milliseconds for a refusal decided
 * outside this module.  base_ms is the least wait; key may be NULL. */
uint32_t bsh_admission_retry_after(bsh_admission_t *adm, const char *key,
				   uint32_t base_ms, int64_t now_us);

/* bsh_admission_waiting - number of waiting requests of a model, for REPORT. */
uint32_t bsh_admission_waiting(const bsh_admission_t *adm, const char *key);

#endif
