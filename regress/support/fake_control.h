#ifndef FAKE_CONTROL_H
#define FAKE_CONTROL_H

/*
 * NAME
 *	fake_control - fake control plane server for tests of the operator's
 *	programs
 *
 * DESCRIPTION
 *	Serves the operator's HTTP interface (/v1/config, /v1/status,
 *	/v1/drain, /v1/entry, /timeline and /metrics; section 5.4) on a
 *	loopback port.  PUT /v1/config is conditional as in bshcontrold: it
 *	answers 409 unless If-Match names the current generation.
 *
 *	Requests run in a thread of libmicrohttpd and hold lock.  Set members
 *	only while no request is running.
 */

#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
	struct MHD_Daemon *daemon;
	GMutex lock;
	char address[64];
	char *document;	    /* accepted document; NULL: none */
	int64_t generation; /* of document; 0: none */
	/* Generation in force: each status request adds 1, up to generation. */
	int64_t in_force;
	uint32_t puts;	      /* number of PUT /v1/config requests */
	uint32_t drains;      /* number of drain requests */
	char *drain_body;     /* body of the last drain request */
	bool lose_put_answer; /* the next PUT is accepted, not answered */
	/* Accepted directly after the next GET /v1/config; owned by fake. */
	char *concurrent_document;
	/* Fixed answer that overrides the handlers. */
	const char *canned_path;   /* prefix of the path; NULL: no override */
	const char *canned_method; /* NULL: any method */
	unsigned int canned_status;
	const char *canned_body;
	const char *timeline;	   /* body of /timeline, JSON lines */
	const char *metrics;	   /* body of /metrics */
	const char *store_items;   /* JSON array of /v1/objects/timeline */
	const char *extra_members; /* further JSON members, or NULL */
} fake_control_t;

void fake_control_init(fake_control_t *fake);
void fake_control_finish(fake_control_t *fake);

/* fake_control_accept - store a copy of document as the next generation. */
void fake_control_accept(fake_control_t *fake, const char *document);

/* run_program - run a program of the build directory and wait for its end.
 * arguments ends with NULL.  Returns the exit status; the caller frees out and
 * err, its standard output and standard error. */
int run_program(char **out, char **err, const char *program,
		const char *const *arguments);

/* program_path - path of a program of the build directory ($BSH_BUILD, else
 * "build"); the caller frees it. */
char *program_path(const char *program);

#endif
