#ifndef BSH_PROTOCOL_OPENAI_H
#define BSH_PROTOCOL_OPENAI_H

/*
 * NAME
 *	openai - parser of OpenAI-compatible request bodies
 *
 * DESCRIPTION
 *	Extracts from a body of /v1/chat/completions or /v1/completions what
 *	the router needs: model, stream, and the start of the prompt for
 *	prefix affinity.  The body is forwarded to the engine unchanged, and
 *	members that the router does not use are not checked.
 *
 *	Duplicate members are an error, because the router and the engine
 *	could use different values.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/error.h"

#define BSH_OPENAI_MODEL_SIZE	    96
#define BSH_OPENAI_PROMPT_MAX_BYTES 16384 /* kept for prefix affinity */
#define BSH_OPENAI_MESSAGES_MAX	    16384
#define BSH_OPENAI_DETAIL_SIZE	    160

typedef enum {
	BSH_OPENAI_CHAT,
	BSH_OPENAI_COMPLETION
} bsh_openai_kind_t;

typedef struct {
	char model[BSH_OPENAI_MODEL_SIZE];
	bool stream;
	GString *prompt; /* first BSH_OPENAI_PROMPT_MAX_BYTES of the prompt */
} bsh_openai_request_t;

/*
 * bsh_openai_parse - read a request body.
 *
 * RETURN VALUE
 *	BSH_OK, and request needs bsh_openai_finish(); BSH_ERR_INVALID or
 *	BSH_ERR_TOO_LARGE with the reason in detail (of
 *	BSH_OPENAI_DETAIL_SIZE bytes), and request needs no finish.
 */
bsh_error_t bsh_openai_parse(bsh_openai_request_t *request,
			     bsh_openai_kind_t kind, const char *body,
			     size_t size, char *detail);
void bsh_openai_finish(bsh_openai_request_t *request);

#endif
