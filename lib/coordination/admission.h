#ifndef BSH_COORDINATION_ADMISSION_H
#define BSH_COORDINATION_ADMISSION_H

/*
 * NAME
 *	admission - one queue per model with deadlines and immediate refusal
 *
 * DESCRIPTION
 *	Each request is submitted once.  It is started at once when a target
 *	has room, queued when it can probably be started in time, or refused.
 *	A queue is ordered by priority, then deadline, then arrival.  All
 *	waiters of a cold model share one load: one NEED is outstanding per
 *	model, repeated only when it stays unanswered.
 *
 *	Deadline: the time by which the first byte of the answer must reach
 *	the caller.  The estimate for a request is
 *		time until the model is ready
 *		+ requests ahead of it / observed starting rate
 *		+ time from the send to the first byte.
 *	It is made at submission and again whenever an input changes it: an
 *	answer to NEED, loss of all targets, a measured service time, and at
 *	the latest start of each request.  As soon as it lies after the
 *	deadline, the request is refused with BSH_ERR_DEADLINE.
 *
 *	A NEED without an answer for BSH_ADMISSION_NEED_US counts as a load
 *	that has not begun: readiness is then estimated as now + load_us, so
 *	an absent controller does not hold requests up to their deadlines.
 *
 *	Fair shares: models with waiting requests get starts in proportion
 *	to their weight (10 - priority) by start-time fair queueing, so no
 *	model starves.  A caller that holds more than its share of a queue
 *	that is more than half full is refused with BSH_ERR_RATE.
 *
 *	Retry-After: each refusal takes the next free return time of its
 *	model, spaced by the observed starting rate, with up to half of the
 *	wait added at random; a burst of refused callers does not come back
 *	as a burst.
 *
 *	Memory is bounded by max_waiting, max_waiting_model and max_models.
 *	The request's memory (bsh_waiting_t) belongs to the caller.
 *
 *	Callbacks may call bsh_admission_submit() and bsh_admission_cancel()
 *	for other requests, but no other input.
 *
 *	Not thread-safe.  Pure: no I/O and no clock.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/rng.h"

#define BSH_ADMISSION_KEY_SIZE	   160
#define BSH_ADMISSION_MAX_RETRY_MS 60000
#define BSH_ADMISSION_NEED_TIMEOUT_US	   INT64_C(500000) /* repeat interval */
#define BSH_ADMISSION_TICK_US	   INT64_C(50000)  /* while any waits */

typedef struct {
	uint32_t max_waiting;	    /* over all models */
	uint32_t max_waiting_model; /* per model */
	uint32_t max_models;
	uint32_t seed;
} bsh_admission_config_t;

struct bsh_admission_model;

/* A submitted request.  Fill in the first group; the rest is internal. */
typedef struct bsh_waiting {
	void *user;	     /* of the owner */
	uint64_t caller;     /* hash that identifies the caller, 0: none */
	int64_t deadline_us; /* absolute */
	uint8_t priority;    /* 0 (highest) to 9 */
	/* Set by the order start with BSH_START_FULL when it is known that
	 * no target can take it earlier; 0: not known. */
	int64_t not_before_us;

	struct bsh_admission_model *model; /* not NULL while waiting */
	GSequenceIter *by_order;
	GSequenceIter *by_start;
	int64_t latest_start_us;
	uint64_t arrival;
} bsh_waiting_t;

/* What the document says about a model or service. */
typedef struct {
	uint8_t priority;
	bool always_warm;    /* a plain service: never asks for a load */
	int64_t load_us;     /* expected load time */
	int64_t first_us;    /* expected time from send to first byte */
	int64_t service_us;  /* expected time from send to end */
	uint32_t load_slots; /* requests at once on one loaded target */
} bsh_admission_model_config_t;

typedef enum {
	BSH_START_OK,	/* the request was sent */
	BSH_START_FULL, /* ready targets exist, none has room now */
	BSH_START_COLD	/* no usable target */
} bsh_start_t;

typedef struct {
	/*
	 * start - choose a target and send the request.  The request no
	 * longer waits when this returns BSH_START_OK.
	 */
	bsh_start_t (*start)(void *ctx, bsh_waiting_t *request);
	/* refuse - answer the request; it no longer waits. */
	void (*refuse)(void *ctx, bsh_waiting_t *request, bsh_error_t err,
		       uint32_t retry_after_ms);
	/* need - ask the controller for a ready target of a model. */
	void (*need)(void *ctx, const char *key, uint8_t priority,
		     int64_t deadline_us);
} bsh_admission_callbacks_t;

/* One model's queue.  Internal, public for memory measurement. */
typedef struct bsh_admission_model {
	char key[BSH_ADMISSION_KEY_SIZE];
	bsh_admission_model_config_t config;
	GSequence *queue;    /* bsh_waiting_t by priority, deadline, arrival */
	GHashTable *callers; /* caller -> waiting, when any waits */
	uint32_t slots;	     /* 0: cold */
	uint32_t running;
	int64_t need_us;	  /* last NEED without an answer, or 0 */
	int64_t need_first_us;	  /* first NEED without an answer, or 0 */
	int64_t ready_us;	  /* estimate of NEED_ANSWER, or 0 */
	int64_t refused_until_us; /* NEED was refused: no new one before */
	double first_us;	  /* moving average */
	double service_us;	  /* moving average */
	double interval_us;	  /* between starts while requests wait */
	int64_t sampled_us;	  /* last measured time to the first byte */
	int64_t last_start_us;
	int64_t next_return_us; /* next free return time of a refusal */
	double finish_tag;	/* fair queueing */
	bool blocked;		/* in this round of starts */
	bool listed; /* in the list of models with waiting requests */
} bsh_admission_model_t;

typedef struct {
	bsh_admission_config_t config;
	bsh_admission_callbacks_t orders;
	void *ctx;
	GHashTable *models;  /* key -> bsh_admission_model_t */
	GPtrArray *backlog;  /* models with waiting requests */
	GSequence *by_start; /* all waiting requests by latest start */
	uint32_t waiting;
	uint64_t next_arrival;
	double virtual_time;
	int64_t ticked_us;
	bool pumping;
	bsh_rng_t rng;
} bsh_admission_t;

void bsh_admission_config_default(bsh_admission_config_t *config);
void bsh_admission_init(bsh_admission_t *adm,
			const bsh_admission_config_t *config,
			const bsh_admission_callbacks_t *orders, void *ctx);

/* bsh_admission_finish - waiting requests must have been ended before. */
void bsh_admission_finish(bsh_admission_t *adm);

/*
 * bsh_admission_declare - a model of the document, or a change of one.
 *
 * ERRORS
 *	BSH_ERR_INVALID, BSH_ERR_CAPACITY (max_models)
 */
bsh_error_t bsh_admission_declare(bsh_admission_t *adm, const char *key,
				  const bsh_admission_model_config_t *config);

/* bsh_admission_remove - no longer declared: its waiters are refused with
 * BSH_ERR_NOT_FOUND. */
void bsh_admission_remove(bsh_admission_t *adm, const char *key,
			  int64_t now_us);

/*
 * bsh_admission_submit - start, queue or refuse a request.  The result is
 * always told through the start or refuse order, possibly before the return.
 *
 * ERRORS (also passed to refuse)
 *	BSH_ERR_NOT_FOUND, BSH_ERR_DEADLINE, BSH_ERR_CAPACITY, BSH_ERR_RATE
 */
bsh_error_t bsh_admission_submit(bsh_admission_t *adm, const char *key,
				 bsh_waiting_t *request, int64_t now_us);

/* bsh_admission_cancel - the caller went away; safe if it does not wait. */
void bsh_admission_cancel(bsh_admission_t *adm, bsh_waiting_t *request);

/*
 * bsh_admission_requeue - a started request must wait again: its target
 * refused it and it may be retried.  Like submit, without a new arrival.
 */
bsh_error_t bsh_admission_requeue(bsh_admission_t *adm, const char *key,
				  bsh_waiting_t *request, int64_t now_us);

/* bsh_admission_loading - NEED_ANSWER: ready at about ready_us. */
void bsh_admission_load_accepted(bsh_admission_t *adm, const char *key,
			   int64_t ready_us, int64_t now_us);

/* bsh_admission_refused - NEED_ANSWER: no load; every waiter is refused with
 * BSH_ERR_CAPACITY at once. */
void bsh_admission_load_refused(bsh_admission_t *adm, const char *key,
			   uint32_t retry_after_ms, int64_t now_us);

/*
 * bsh_admission_slots - routes changed: the model's usable targets take
 * this many requests at once (bsh_route_slots()); 0 makes it cold.
 */
void bsh_admission_set_slots(bsh_admission_t *adm, const char *key, uint32_t slots,
			 int64_t now_us);

/* bsh_admission_first_byte - measured from the send. */
void bsh_admission_first_byte(bsh_admission_t *adm, const char *key,
			      int64_t elapsed_us, int64_t now_us);

/* bsh_admission_ended - a started request ended; room may have come free.
 * elapsed_us is measured from the send, negative when it was not served.  A
 * request that is to be requeued has to be ended first. */
void bsh_admission_ended(bsh_admission_t *adm, const char *key,
			 int64_t elapsed_us, int64_t now_us);

/* bsh_admission_refuse_all - answer every waiter, for instance when the
 * configuration is no longer confirmed. */
void bsh_admission_refuse_all(bsh_admission_t *adm, bsh_error_t err,
			      int64_t now_us);

/* bsh_admission_tick - to be called at bsh_admission_next_us(). */
void bsh_admission_tick(bsh_admission_t *adm, int64_t now_us);

/* bsh_admission_next_us - time of the next tick, INT64_MAX for none. */
int64_t bsh_admission_next_us(const bsh_admission_t *adm);

/* bsh_admission_retry_after - time for a refusal decided elsewhere. */
uint32_t bsh_admission_retry_after(bsh_admission_t *adm, const char *key,
				   uint32_t base_ms, int64_t now_us);

/* bsh_admission_waiting - requests that wait for a model, for REPORT. */
uint32_t bsh_admission_waiting(const bsh_admission_t *adm, const char *key);

#endif
