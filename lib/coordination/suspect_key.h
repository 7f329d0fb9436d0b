#ifndef BSH_COORDINATION_SUSPECT_KEY_H
#define BSH_COORDINATION_SUSPECT_KEY_H

/*
 * NAME
 *	suspect_key - keys of what a request may end processes by
 *
 * DESCRIPTION
 *	A part of its prompt may end a process, whatever else the request
 *	holds, or the request as a whole.  Both are known by a 64-bit key that
 *	is equal at all instances of a deployment and holds its kind.
 *
 *	The key of a whole request is a digest under the secret of the
 *	deployment.  Two requests with the same key would both be refused, so
 *	callers must not be able to find such a pair.
 */

#include <stddef.h>
#include <stdint.h>

typedef enum {
	BSH_SUSPECT_PROMPT_PART,
	BSH_SUSPECT_REQUEST
} bsh_suspect_kind_t;

#define BSH_SUSPECT_SECRET_BYTES 32

/* A request as its caller sent it; the id of the attempt and the time that the
 * caller waits are left out, as they differ when the request is sent again. */
typedef struct {
	const char *method;
	const char *host;
	const char *path;	/* with the query */
	const char *credential; /* of the client account; NULL: none */
	const char *model;	/* NULL: none */
	/* Of its prompt, which the body may not tell; the last one is left out,
	 * as it may be drawn for each attempt. */
	const uint64_t *parts;
	uint32_t n_parts;
	const void *body;
	size_t body_bytes;
} bsh_suspect_request_t;

/* bsh_suspect_part_key - key of a part of prompts of a service; never 0. */
uint64_t bsh_suspect_part_key(const char *service, uint64_t part);

/* bsh_suspect_request_key - key of a request to a service; never 0.  The secret
 * has BSH_SUSPECT_SECRET_BYTES. */
uint64_t bsh_suspect_request_key(const uint8_t *secret, const char *service,
				 const bsh_suspect_request_t *request);

bsh_suspect_kind_t bsh_suspect_kind(uint64_t key);
const char *bsh_suspect_kind_name(uint64_t key);

#endif
