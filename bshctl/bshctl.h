#ifndef BSHCTL_H
#define BSHCTL_H

/*
 * NAME
 *	bshctl - options, requests and output shared by bshctl's commands
 *
 * DESCRIPTION
 *	Functions that return ctl_status_t have printed a message on standard
 *	error when they return another value than CTL_OK.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "operator/control_client.h"
#include "state/document.h"

/* Exit statuses, documented in bshctl.1. */
typedef enum {
	CTL_OK = 0,
	CTL_DIFFERS = 1,     /* differences exist, or nothing matches */
	CTL_USAGE = 2,	     /* invalid arguments or an unreadable file */
	CTL_REJECTED = 3,    /* the document is invalid */
	CTL_CONFLICT = 4,    /* another generation is in force */
	CTL_UNREACHABLE = 5, /* no answer, missing events, unreadable log */
	CTL_TIMED_OUT = 6,   /* the time of --wait passed */
	CTL_REFUSED = 7	     /* request refused, or malformed answer */
} ctl_status_t;

typedef struct {
	char **servers; /* IP:port; NULL: not given */
	int timeout_ms; /* of a request to one controller */
	gboolean help;
	gboolean json;
	gboolean no_header;
	gint64 generation; /* -1: not given */
	int wait_s;	   /* 0: do not wait */
	/* timeline; strings are NULL and times 0 when not given */
	char **files;
	char **processes; /* IP:port of routers and consoles */
	char *store;	  /* IP:port */
	char *request;
	char *model;
	char *key; /* idempotency key */
	gint64 since_us;
	gint64 until_us;
	gboolean verdict;
	/* entry, counters and summary, status */
	char *zone; /* availability zone */
	gboolean all;
	gboolean targets;
	/* explain */
	char *instance;
	char *at; /* time in the format of the logs */
	/* where, besides model */
	char *host;
	char *path;
	char *account;
	char *tokens; /* "PROMPT,ANSWER" */
	char *prompt; /* "ID:TOKENS,..." */
	char *service;
	char *software;
} ctl_options_t;

typedef struct {
	ctl_options_t options;
	int argc; /* arguments after the command's name and options */
	char **argv;
	bsh_control_client_t client;
	bool connected; /* client is initialized */
} ctl_t;

/* ctl_connect - initialize the client; CTL_OK or CTL_USAGE. */
ctl_status_t ctl_connect(ctl_t *ctl);

/* ctl_request - send a request; CTL_OK whatever the HTTP status of the answer,
 * CTL_UNREACHABLE when no controller answered. */
ctl_status_t ctl_request(ctl_t *ctl, const char *method, const char *path,
			 const char *body, bsh_control_answer_t *answer);

/* ctl_get_json - GET that must be answered with status 200 and a JSON object;
 * CTL_OK, CTL_UNREACHABLE or CTL_REFUSED. */
ctl_status_t ctl_get_json(ctl_t *ctl, const char *path,
			  bsh_control_answer_t *answer);

/* ctl_unexpected - print why an answer to a request for what cannot be used;
 * CTL_REFUSED. */
ctl_status_t ctl_unexpected(const bsh_control_answer_t *answer,
			    const char *what);

/* ctl_print_json - print and release value. */
void ctl_print_json(json_t *value);

/* ctl_print_field - print one table cell; control characters become blanks. */
void ctl_print_field(const char *text, bool last);

/* ctl_print_lines - print text of several lines, each as by ctl_print_field().
 */
void ctl_print_lines(const char *text);

/* ctl_sanitize - copy with control characters replaced by blanks, to be freed
 * with g_free(). */
char *ctl_sanitize(const char *text);

/* ctl_json_string - string member of an object; fallback when it is missing or
 * no string. */
const char *ctl_json_string(const json_t *object, const char *key,
			    const char *fallback);

/* ctl_is_present - whether an instance of the status can receive requests: its
 * state is neither dead nor gone. */
bool ctl_is_present(const json_t *member);

/* Commands; each returns an exit status. */
int ctl_check(ctl_t *ctl);
int ctl_diff(ctl_t *ctl);
int ctl_apply(ctl_t *ctl);
int ctl_status(ctl_t *ctl);
int ctl_drain(ctl_t *ctl);
int ctl_counters(ctl_t *ctl);
int ctl_entry(ctl_t *ctl);
int ctl_timeline(ctl_t *ctl);
int ctl_explain(ctl_t *ctl);
int ctl_summary(ctl_t *ctl);
int ctl_where(ctl_t *ctl);
int ctl_accounts(ctl_t *ctl);

#endif
