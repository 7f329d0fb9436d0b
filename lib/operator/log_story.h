#ifndef BSH_OPERATOR_LOG_STORY_H
#define BSH_OPERATOR_LOG_STORY_H

/*
 * NAME
 *	log_story - what the logs say of one request, and why it ended so
 *
 * DESCRIPTION
 *	A story has the lines that name the request, and the lines of all
 *	instances that its decisions rest on: the configuration and the list
 *	of targets in force, the targets that it was sent to, orders for its
 *	model, who held the lease for orders, and the store.  Findings say in
 *	sentences what follows from them.  A finding is made from lines only;
 *	where lines are missing it says so.
 *
 * SEE ALSO
 *	bshentryd(8) for the events and their keys.
 */

#include "operator/log_read.h"

typedef struct {
	char *code; /* for programs, such as "model-not-loaded" */
	char *text;
} bsh_finding_t;

typedef struct {
	char *id;
	const bsh_log_line_t *end; /* its line "request"; NULL: there is none */
	const char *instance;	   /* that took it; NULL: not known */
	int64_t begin_us;	   /* of the order of the lines */
	int64_t end_us;
	GPtrArray *lines;    /* const bsh_log_line_t, in order */
	GPtrArray *findings; /* bsh_finding_t */
} bsh_story_t;

/* bsh_story_init - find the request with this attempt id in an ordered log,
 * which must outlive the story. */
void bsh_story_init(bsh_story_t *story, const bsh_log_t *log, const char *id);

/* bsh_story_init_at - what an instance went through around a time, for a
 * request that no line names. */
void bsh_story_init_at(bsh_story_t *story, const bsh_log_t *log, const char *id,
		       const char *instance, int64_t at_us);
void bsh_story_finish(bsh_story_t *story);

#endif
