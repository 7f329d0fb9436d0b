#ifndef BSH_OPERATOR_LOG_DIAGNOSIS_H
#define BSH_OPERATOR_LOG_DIAGNOSIS_H

/*
 * NAME
 *	log_diagnosis - diagnosis of one request from the merged logs
 *
 * DESCRIPTION
 *	A diagnosis holds the log lines that carry the id of the request and
 *	the lines of all instances that affected its handling: the
 *	configuration and the list of targets in force, the targets that it
 *	was sent to, load orders for its model, changes of the lease for
 *	orders, and the availability of the store.  Findings state the
 *	conclusions drawn from these lines as sentences.  A finding is based
 *	on log lines only, and states when lines that it needs are missing.
 *
 * SEE ALSO
 *	bshentryd(8) for the events and their keys.
 */

#include "operator/log_read.h"

typedef struct {
	char *code; /* machine-readable, such as "model-not-ordered" */
	char *text;
} bsh_finding_t;

typedef struct {
	char *id;
	const bsh_log_line_t *end; /* final "request" line; NULL: none found */
	const char *instance;	   /* that handled it; NULL: not known */
	int64_t begin_us;	   /* on the clock that orders the lines */
	int64_t end_us;		   /* on the same clock */
	GPtrArray *lines;	   /* const bsh_log_line_t, sorted; not owned */
	GPtrArray *findings;	   /* bsh_finding_t */
} bsh_diagnosis_t;

/*
 * bsh_diagnosis_init - diagnose the request with this attempt id.  The log
 * must be sorted and outlive the diagnosis.
 */
void bsh_diagnosis_init(bsh_diagnosis_t *diag, const bsh_log_t *log,
			const char *id);

/*
 * bsh_diagnosis_init_at - describe the state of an instance around a time,
 * for a request whose id no line carries.
 */
void bsh_diagnosis_init_at(bsh_diagnosis_t *diag, const bsh_log_t *log,
			   const char *id, const char *instance, int64_t at_us);
void bsh_diagnosis_finish(bsh_diagnosis_t *diag);

#endif
