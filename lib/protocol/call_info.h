#ifndef BSH_PROTOCOL_CALL_INFO_H
#define BSH_PROTOCOL_CALL_INFO_H

/*
 * NAME
 *	call_info - what a caller's request says about itself
 *
 * DESCRIPTION
 *	Decoded once, where the request enters the system.
 *
 * UNITS
 *	Times are milliseconds, sizes of prompts and answers tokens.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define BSH_ATTEMPT_ID_SIZE    80
#define BSH_EVENT_ID_SIZE      24
#define BSH_PROMPT_PARTS_MAX   8
#define BSH_CALL_DEADLINE_NONE 0

/* A part of a prompt that several requests may share. */
typedef struct {
	uint64_t id;
	uint32_t tokens;
} bsh_prompt_part_t;

typedef struct {
	char attempt_id[BSH_ATTEMPT_ID_SIZE];
	uint32_t deadline_ms; /* from arrival; BSH_CALL_DEADLINE_NONE */
	char *model_name;     /* "model" or "model/adapter"; NULL */
	uint32_t model;	      /* hash; 0: names no model */
	uint32_t adapter;     /* hash; 0: the base model */
	uint32_t prompt_tokens;
	uint32_t answer_tokens;	  /* at most */
	uint32_t expected_tokens; /* the caller's estimate; 0: none */
	uint32_t n_parts;
	bsh_prompt_part_t parts[BSH_PROMPT_PARTS_MAX]; /* in order */
	char last_event_id[BSH_EVENT_ID_SIZE];	       /* "": from the start */
	GPtrArray *headers; /* to pass on: "Name: value" */
} bsh_call_info_t;

#endif
