#ifndef SUPPORT_RAW_CALLER_H
#define SUPPORT_RAW_CALLER_H

/*
 * NAME
 *	raw_caller - caller that sees the bytes of an answer
 *
 * DESCRIPTION
 *	A request on a connection of its own, in a thread, and a strict reader
 *	of its answer (RFC 9112): what is no answer of the protocol is invalid,
 *	and an answer that ends early is not complete.
 */

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
	GString *request; /* all its bytes */
	char address[32]; /* "host:port" */
	GString *bytes;	  /* of the answer */
	pthread_t thread;
	atomic_bool done;
	/* Filled in by raw_caller_read(). */
	bool valid;
	bool complete;
	int status;    /* 0: no status line */
	GString *head; /* up to the empty line */
	GString *body; /* without chunk framing */
} raw_caller_t;

/* raw_caller_start - send a request of body_bytes bytes to address.  fields:
 * lines of its head, each with its line end.  The answer is awaited for 5 s. */
void raw_caller_start(raw_caller_t *caller, const char *address,
		      const char *path, const char *fields, size_t body_bytes);

/* raw_caller_read - read the answer, once done is set. */
void raw_caller_read(raw_caller_t *caller);

/* raw_caller_clear - free the request and its answer. */
void raw_caller_clear(raw_caller_t *caller);

#endif
