#ifndef BSH_PROTOCOL_REQUEST_INFO_H
#define BSH_PROTOCOL_REQUEST_INFO_H

/*
 * NAME
 *	request_info - metadata of a caller's request
 *
 * DESCRIPTION
 *	Decoded once, where the request enters the system.
 *
 * UNITS
 *	Times are milliseconds; prompts and answers are measured in tokens.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/name.h"
#include "state/account.h"

#define BSH_ATTEMPT_ID_SIZE    80
#define BSH_EVENT_ID_SIZE      24
#define BSH_PROMPT_PARTS_MAX   8
#define BSH_CALL_DEADLINE_NONE 0

/* Prompt segment that several requests may share, for prefix affinity. */
typedef struct {
	uint64_t id; /* chosen by the caller, equal for equal text */
	uint32_t tokens;
} bsh_prompt_part_t;

typedef struct {
	char attempt_id[BSH_ATTEMPT_ID_SIZE];
	uint32_t deadline_ms; /* after arrival, or BSH_CALL_DEADLINE_NONE */
	char *model_name;     /* "model" or "model/adapter", NULL: none */
	uint32_t model;	      /* hash of the model name, 0: none */
	uint32_t adapter;     /* hash of the adapter name, 0: the base model */
	uint32_t prompt_tokens;
	uint32_t answer_tokens;	  /* maximum length of the answer */
	uint32_t expected_tokens; /* the caller's estimate of it, 0: none */
	uint32_t n_parts;
	bsh_prompt_part_t parts[BSH_PROMPT_PARTS_MAX]; /* in prompt order */
	char last_event_id[BSH_EVENT_ID_SIZE];	       /* resume after, or "" */
	/* Attempt that brought the first event of the stream that is resumed,
	 * or "". */
	char began_by[BSH_ATTEMPT_ID_SIZE];
	/* Texts of the caller as log lines have them. */
	char log_id[BSH_LOG_TEXT_SIZE];
	char log_began_by[BSH_LOG_TEXT_SIZE];
	char log_event_id[BSH_LOG_TEXT_SIZE];
	char log_model[BSH_LOG_TEXT_SIZE];
	GPtrArray *headers; /* "Name: value" strings to forward */
	/* Headers that are forwarded only where the configuration has no client
	 * accounts. */
	GPtrArray *credentials;
	bool has_key; /* of a client account */
	bsh_account_key_t key;
} bsh_request_info_t;

#endif
