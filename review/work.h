#ifndef REVIEW_WORK_H
#define REVIEW_WORK_H

/*
 * NAME
 *	work - workers that record each request that reaches them
 *
 * DESCRIPTION
 *	A worker of a plain service, or of an engine that holds one model.  It
 *	runs as many requests at a time as it has slots and rejects the others
 *	with 503 and Berylshunt-Not-Executed.  A request runs for work_ms; a
 *	request with a model is answered with a stream of n_events events.  A
 *	run ends when its connection closes.  It writes its entry each
 *	heartbeat, as stand.h says.
 */

#include "stand.h"

typedef struct work work_t;

/* A request as it reached a worker. */
typedef struct {
	int64_t at_ms; /* since the start of the case */
	char id[40];   /* of the attempt */
	bool ran;
	int status; /* answered, or to be answered */
} work_arrival_t;

struct work {
	stand_t *stand;
	char id[32];
	char service[32];
	char address[32];
	char zone[16];
	const char *model; /* NULL: a plain service */
	bsh_http_server_t *server;
	uint32_t slots;
	uint32_t running;
	uint32_t work_ms;
	uint32_t n_events;
	uint32_t gap_ms;
	uint64_t started_ms;
	uint64_t beats;
	bool store_cut; /* it does not reach the store */
	bsh_loop_timer_t beat_timer;
	bsh_loop_timer_t lapse_timer;
	/* Value of Retry-After, in seconds, of the 503 with which it rejects
	 * all requests; NULL: it accepts them. */
	const char *pause;
	/* Status with which it fails a request that it ran; 0: none. */
	int failure;
	uint32_t fail_every; /* it fails each request of this number */
	uint32_t n_runs;
	GArray *arrivals; /* work_arrival_t */
};

/* work_add - start a worker; model: that it holds, or NULL. */
work_t *work_add(stand_t *stand, const char *service, const char *model,
		 uint32_t slots);
/* work_cut_store - the worker does not reach the store any more; its entry lapses
 * three heartbeats after its last one.  False: it reaches it again, and writes its
 * entry with its next heartbeat. */
void work_cut_store(work_t *work, bool cut);
void work_free(work_t *work);

#endif
