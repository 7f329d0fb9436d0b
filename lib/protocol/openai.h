#ifndef BSH_PROTOCOL_OPENAI_H
#define BSH_PROTOCOL_OPENAI_H

/*
 * NAME
 *	openai - requests in the form of the OpenAI HTTP interface
 *
 * DESCRIPTION
 *	Reads from a body of /v1/chat/completions or /v1/completions what the
 *	router needs: model, stream, and the start of the prompt for prefix
 *	affinity.  The body itself goes to the engine unchanged, so members
 *	that the router does not use are left to the engine.
 *
 *	Duplicate members are an error: two readers could see two values.
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
