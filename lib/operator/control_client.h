#ifndef BSH_OPERATOR_CONTROL_CLIENT_H
#define BSH_OPERATOR_CONTROL_CLIENT_H

/*
 * NAME
 *	control_client - blocking HTTP client for the controllers, with failover
 *
 * DESCRIPTION
 *	For programs that run one request at a time (bshctl, bshconsoled).  A
 *	request is sent to the first address, and to the next one when no
 *	response arrives or its status is 5xx.  This is safe because all
 *	requests of the interface can be repeated: reads change nothing, a
 *	change of configuration is conditional on a generation, and a second
 *	drain order has no effect.
 *
 *	Not safe for use from several threads.
 *
 * SOURCE
 *	docs/design.md, section 5.4.
 */

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "base/error.h"
#include "base/settings.h"

/* The response to /v1/config holds a document of at most 1 MB and little more;
 * the time line of the largest ring buffer is several times as large. */
#define BSH_CONTROL_ANSWER_MAX_BYTES (64 * 1024 * 1024)

typedef struct {
	long status;			/* HTTP status */
	char address[BSH_ADDRESS_SIZE]; /* of the responding controller */
	GString *body;
	json_t *json; /* parsed body; NULL: not JSON */
} bsh_control_answer_t;

typedef struct {
	GPtrArray *addresses; /* char *, each IP:port */
	long timeout_ms;      /* of a request to one address */
	char failure[512];    /* error text of the last failed attempt */
} bsh_control_client_t;

/*
 * bsh_control_client_init - create a client; addresses is a list of IP:port,
 * separated by commas or white space.
 *
 * RETURN VALUE
 *	BSH_OK; BSH_ERR_INVALID when an address is malformed or the list is
 *	empty.  On error the text is in client->failure and no finish is
 *	needed.
 */
bsh_error_t bsh_control_client_init(bsh_control_client_t *client,
				    const char *addresses, long timeout_ms);
void bsh_control_client_finish(bsh_control_client_t *client);

/*
 * bsh_control_request - send a request and wait for its response.  method is
 * GET, PUT or POST; body may be NULL.  generation is sent as If-Match when it
 * is not negative.
 *
 * RETURN VALUE
 *	BSH_OK when a controller responded, whatever the status;
 *	BSH_ERR_CONNECT when no connection to any controller could be opened,
 *	so that none received the request; BSH_ERR_TIMEOUT when the request
 *	may have been received but no complete response arrived;
 *	BSH_ERR_MALFORMED when a response is no answer of the protocol;
 *	BSH_ERR_TOO_LARGE when a response exceeds
 *	BSH_CONTROL_ANSWER_MAX_BYTES; BSH_ERR_SYSTEM when libcurl fails.  On
 *	success the answer needs a
 *	bsh_control_answer_finish().
 */
bsh_error_t bsh_control_request(bsh_control_client_t *client,
				const char *method, const char *path,
				const char *body, int64_t generation,
				bsh_control_answer_t *answer);
void bsh_control_answer_finish(bsh_control_answer_t *answer);

/*
 * bsh_control_config - extract generation and document from a response to
 * /v1/config, or from the body of a conflict (409).
 *
 * RETURN VALUE
 *	BSH_OK with the generation and a document borrowed from the answer;
 *	generation 0 and NULL when no document was accepted yet (status 404);
 *	BSH_ERR_INVALID when a member is missing or of another type.
 */
bsh_error_t bsh_control_config(const bsh_control_answer_t *answer,
			       int64_t *generation, json_t **document);

/*
 * bsh_control_put_config - replace the document if generation is the one that
 * was accepted last.
 *
 * A conflict with an equal document is reported as status 200.  This resolves
 * a lost response: a conditional update that reached the store cannot succeed
 * twice, and its repetition conflicts with its own result.
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
