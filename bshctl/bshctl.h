#ifndef BSHCTL_H
#define BSHCTL_H

/*
 * NAME
 *	bshctl - shared parts of the operator's command line
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
	CTL_DIFFERS = 1,     /* differences exist, or no event matches */
	CTL_USAGE = 2,	     /* wrong arguments or an unreadable file */
	CTL_REJECTED = 3,    /* the document is not valid */
	CTL_CONFLICT = 4,    /* another generation is in force */
	CTL_UNREACHABLE = 5, /* no answer, or not from every instance */
	CTL_TIMED_OUT = 6,   /* the wait time passed */
	CTL_REFUSED = 7	     /* refused, or an answer that makes no sense */
} ctl_status_t;

typedef struct {
	char **servers; /* -s, or NULL */
	int timeout_ms;
	gboolean help;
	gboolean json;
	gboolean no_header;
	gint64 generation; /* -1: not given */
	int wait_s;
	/* timeline */
	char **files;
	char **processes;
	char *store;
	char *request;
	char *model;
	char *key;
	gint64 since_us;
	gint64 until_us;
	gboolean verdict;
	/* entry, counters, status */
	char *zone;
	gboolean all;
	gboolean targets;
	/* explain */
	char *instance;
	char *at;
} ctl_options_t;

typedef struct {
	ctl_options_t options;
	int argc; /* without the command's own name */
	char **argv;
	bsh_control_client_t client;
	bool connected;
} ctl_t;

/* ctl_connect - prepare the client; CTL_OK or CTL_USAGE with a message. */
ctl_status_t ctl_connect(ctl_t *ctl);

/*
 * ctl_request - a request that must be answered; on failure prints a message
 * and returns CTL_UNREACHABLE.
 */
ctl_status_t ctl_request(ctl_t *ctl, const char *method, const char *path,
			 const char *body, bsh_control_answer_t *answer);

/* ctl_get_json - GET with an object as answer and status 200. */
ctl_status_t ctl_get_json(ctl_t *ctl, const char *path,
			  bsh_control_answer_t *answer);

/* ctl_unexpected - print why an answer cannot be used; CTL_REFUSED. */
ctl_status_t ctl_unexpected(const bsh_control_answer_t *answer,
			    const char *what);

/* ctl_print_json - print and release value. */
void ctl_print_json(json_t *value);

/* ctl_print_field - one table cell: tabs and line ends become blanks. */
void ctl_print_field(const char *text, bool last);

/* ctl_print_lines - text of several lines, cleaned in the same way. */
void ctl_print_lines(const char *text);

/* ctl_sanitize - copy without control characters, to be freed with g_free(). */
char *ctl_sanitize(const char *text);

/* ctl_json_string - string member of an object, or fallback. */
const char *ctl_json_string(const json_t *object, const char *key,
			    const char *fallback);

/* ctl_is_present - an instance of the status that can be asked. */
bool ctl_is_present(const json_t *member);

/* The commands. */
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

#endif
