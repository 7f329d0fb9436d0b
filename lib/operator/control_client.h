#ifndef BSH_OPERATOR_CONTROL_CLIENT_H
#define BSH_OPERATOR_CONTROL_CLIENT_H

/*
 * NAME
 *	control_client - blocking client of the controllers' HTTP interface
 *
 * DESCRIPTION
 *	For programs that do one thing at a time (bshctl, bshconsoled).  A
 *	request goes to the first address; when that one does not answer, or
 *	answers with 5xx, it goes to the next.  This is safe for all requests
 *	of the interface: reads change nothing, a change of configuration is
 *	conditional on a generation, and a second drain order has no effect.
 *
 *	Not safe for use from several threads.
 *
 * SOURCE
 *	docs/design.md, section 5.4.
 */

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "base/error.h"
#include "base/settings.h"

/* An answer to /v1/config holds a document of at most 1 MB and little more;
 * a time line of the largest ring is several times that. */
#define BSH_CONTROL_ANSWER_MAX_BYTES (64 * 1024 * 1024)

typedef struct {
	long status;			/* HTTP status */
	char address[BSH_ADDRESS_SIZE]; /* who answered */
	GString *body;
	json_t *json; /* parsed body, or NULL when it is not JSON */
} bsh_control_answer_t;

typedef struct {
	CURL *curl;
	GPtrArray *addresses; /* char *, each IP:port */
	long timeout_ms;      /* for each address */
	char failure[512];    /* why the last request got no answer */
} bsh_control_client_t;

/*
 * bsh_control_client_init - addresses is a list of IP:port, separated by
 * commas or white space.
 *
 * RETURN VALUE
 *	BSH_OK; BSH_ERR_INVALID when an address is malformed or the list is
 *	empty (the text is in client->failure and no finish is needed);
 *	BSH_ERR_SYSTEM.
 */
bsh_error_t bsh_control_client_init(bsh_control_client_t *client,
				    const char *addresses, long timeout_ms);
void bsh_control_client_finish(bsh_control_client_t *client);

/*
 * bsh_control_request - method is GET, PUT or POST; body may be NULL.
 * generation is sent as If-Match when it is not negative.
 *
 * RETURN VALUE
 *	BSH_OK when some controller answered, whatever the status;
 *	BSH_ERR_CONNECT when nothing was sent to any of them; BSH_ERR_TIMEOUT
 *	when an answer was lost; BSH_ERR_TOO_LARGE when an answer is above
 *	BSH_CONTROL_ANSWER_MAX_BYTES.  On success the answer needs a
 *	bsh_control_answer_finish().
 */
bsh_error_t bsh_control_request(bsh_control_client_t *client,
				const char *method, const char *path,
				const char *body, int64_t generation,
				bsh_control_answer_t *answer);
void bsh_control_answer_finish(bsh_control_answer_t *answer);

/*
 * bsh_control_config - check the shape of an answer to /v1/config, or of a
 * conflict's body.
 *
 * RETURN VALUE
 *	BSH_OK with the generation and a borrowed document; generation 0 and
 *	NULL when no document was accepted yet (status 404); BSH_ERR_INVALID.
 */
bsh_error_t bsh_control_config(const bsh_control_answer_t *answer,
			       int64_t *generation, json_t **document);

/*
 * bsh_control_put_config - submit a document on condition of generation.
 *
 * A conflict with an equal document is reported as status 200 and is how a
 * lost answer is resolved: a conditional update that reached the store cannot
 * succeed twice.
 *
 * RETURN VALUE
 *	As bsh_control_request().  *accepted is the new generation when the
 *	status is 200, otherwise 0.
 */
bsh_error_t bsh_control_put_config(bsh_control_client_t *client,
				   const char *text, const char *hash,
				   int64_t generation,
				   bsh_control_answer_t *answer,
				   int64_t *accepted);

#endif
