#ifndef SUPPORT_RAW_TARGET_H
#define SUPPORT_RAW_TARGET_H

/*
 * NAME
 *	raw_target - target that answers requests with given bytes
 *
 * DESCRIPTION
 *	The bytes need not be an answer of the protocol.  Each connection has
 *	a thread of its own; raw_target_set() and the counters are for the
 *	thread of the test.
 *
 *	Reports and orders (paths that begin with /api/) are refused with 503.
 */

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bound of what is written on one connection by raw_answer_t.repeat. */
#define RAW_REPEAT_MAX_BYTES (320LL << 20)

typedef enum {
	RAW_CLOSE,  /* close the connection, which is a reset if bytes of the
		    * request are unread */
	RAW_RESET,  /* reset it 100 ms later, so that the bytes can be read */
	RAW_FINISH, /* shut down the sending side, and read on to the end */
	RAW_KEEP    /* keep it and answer the next request */
} raw_end_t;

typedef struct {
	const char *text; /* written once; valid until it is replaced */
	size_t size;
	/* Written after it until the connection is closed; NULL: nothing. */
	const char *repeat;
	raw_end_t end;
	/* Bytes that are sent at a time, one packet each; 0: all. */
	size_t piece_bytes;
	/* Length of the request's body, if it is read before the answer. */
	size_t request_bytes;
	/* Bytes of the request that are read between the answer and the end. */
	size_t read_bytes;
	const char *later; /* written later_us after the text, or NULL */
	uint32_t later_us;
} raw_answer_t;

typedef struct {
	int fd;		      /* listening */
	GMutex mutex;	      /* of answer */
	raw_answer_t answer;  /* to the next request */
	atomic_llong written; /* most bytes of one connection */
	atomic_int open;      /* connections */
	atomic_int served;    /* requests answered */
	atomic_bool stopped;  /* kept connections are closed */
	pthread_t thread;
} raw_target_t;

/* raw_target_start - listen at a free port of the loopback address, which is
 * written to address as "host:port". */
void raw_target_start(raw_target_t *target, char *address, size_t size);

/* raw_target_set - answer the next requests with these bytes. */
void raw_target_set(raw_target_t *target, const raw_answer_t *answer);

/* raw_target_stop - stop listening.  Connections at which an answer is written
 * go on until their peers close them: wait until target->open is 0 before the
 * memory is released. */
void raw_target_stop(raw_target_t *target);

#endif
