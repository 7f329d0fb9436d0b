#ifndef FAKE_CONTROL_H
#define FAKE_CONTROL_H

/*
 * NAME
 *	fake_control - controller for tests of the operator's programs
 *
 * DESCRIPTION
 *	Serves the HTTP interface of section 5.4 on a loopback port, from a
 *	thread of libmicrohttpd.  PUT is conditional like the real one.  Set
 *	members only while no request is running.
 */

#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
	struct MHD_Daemon *daemon;
	GMutex lock;
	char address[64];
	char *document; /* NULL: none accepted */
	int64_t generation;
	int64_t in_force;	   /* rises by one with each status request */
	uint32_t puts;		   /* PUT requests with a body */
	uint32_t drains;	   /* drain orders */
	char *drain_body;	   /* of the last drain order */
	bool lose_put_answer;	   /* the change takes effect, no answer */
	char *concurrent_document; /* accepted right after the next read */
	/* Canned answer for a path (prefix), instead of the real one. */
	const char *canned_path;
	const char *canned_method; /* NULL: any */
	unsigned int canned_status;
	const char *canned_body;
	const char *timeline; /* JSON lines */
	const char *metrics;
	const char *store_items; /* value of "items" */
	const char *extra_members;
} fake_control_t;

void fake_control_init(fake_control_t *fake);
void fake_control_finish(fake_control_t *fake);

/* fake_control_accept - put document in force as the next generation. */
void fake_control_accept(fake_control_t *fake, const char *document);

/* run_program - run a program of the build directory with arguments that end
 * with NULL; the exit status, with what it wrote in out and err (to be freed).
 */
int run_program(char **out, char **err, const char *program,
		const char *const *arguments);

/* program_path - path of a program of the build directory; to be freed. */
char *program_path(const char *program);

#endif
