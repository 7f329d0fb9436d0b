#ifndef REVIEW_CASE2_H
#define REVIEW_CASE2_H

/*
 * NAME
 *	case2 - what the scripts of the cases 6 to 10 share
 *
 * DESCRIPTION
 *	A rig with three instances and settings like those of a small
 *	deployment, a record of what was sent, answered and run, and callers
 *	of streams that take them up again as PROTOCOL.md says.
 *
 *	TROUBLE=0 in the environment leaves the disruption out.
 */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "support/platform_rig.h"

#define CASE2_ENTRIES 3

/* Results of a case, and of its script. */
#define CASE2_HELD   0
#define CASE2_BROKEN 1

typedef struct {
	platform_rig_t rig;
	FILE *record;
	bool trouble;
	int64_t began_us;
} case2_t;

/* case2_init - open the record, which is the first argument, and prepare a rig
 * without workers and instances. */
void case2_init(case2_t *c, int argc, char **argv);
/* case2_start - write the configuration, with these further routes, start the
 * instances and run until all of them have known each other for some seconds. */
void case2_start(case2_t *c, const char *routes);
/* case2_note - write a line into the record, behind the time in ms. */
void case2_note(const case2_t *c, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* case2_end - write the result, end all processes and close the record. */
int case2_end(case2_t *c, bool broken);

/* A worker that is reached through a relay, so that its process can end. */
typedef struct {
	worker_t *worker;
	relay_t relay;
} case2_worker_t;

/* case2_add_worker - add a worker of this software version. */
void case2_add_worker(case2_t *c, case2_worker_t *w, const char *service,
		      const char *model, const char *version);
/* case2_crash - end the worker's process: its connections are reset, and new ones
 * refused.  Its entry is left as it is. */
void case2_crash(case2_t *c, case2_worker_t *w);
/* case2_restart - start its process again, with this version and, if it is not
 * NULL, this model. */
void case2_restart(case2_t *c, case2_worker_t *w, const char *version,
		   const char *model);

/* A caller of one stream: its first attempt and those that take it up again. */
typedef struct {
	const char *path;
	const char *model;
	char first[32]; /* id of the attempt that brought the first event */
	char id[40];	/* of the present attempt */
	rig_reply_t reply;
	uint32_t attempts;
	uint32_t entry;	      /* of the present attempt */
	uint32_t last;	      /* event that the caller has */
	uint32_t last_before; /* the same, when it took the stream up first */
	uint32_t from[8];     /* first event of each attempt */
	int64_t until_us;
	int64_t again_us; /* when it tries again; 0: an attempt runs */
	bool over;
	bool complete;
} case2_caller_t;

/* Attempts of a caller: the first one, and the one retry of the sheets. */
#define CASE2_ATTEMPTS_MAX 2U

void case2_caller_begin(case2_t *c, case2_caller_t *caller, const char *id,
			const char *path, const char *model, uint32_t entry,
			uint32_t deadline_ms);
/* case2_caller_leave - close the connection and take the stream up again. */
void case2_caller_leave(case2_t *c, case2_caller_t *caller);
/* case2_callers_run - run for some ms and let the callers act. */
void case2_callers_run(case2_t *c, case2_caller_t *callers, uint32_t n,
		       int64_t ms);
void case2_callers_clear(case2_caller_t *callers, uint32_t n);

#endif
