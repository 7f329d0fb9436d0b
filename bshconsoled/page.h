#ifndef BSHCONSOLED_PAGE_H
#define BSHCONSOLED_PAGE_H

/*
 * NAME
 *	page - HTML pages of the console
 *
 * DESCRIPTION
 *	Each function appends one complete page to out.  All text that is not
 *	a constant of this program is escaped.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "draft.h"

/* Entry forms on one page; further entries are not opened. */
#define PAGE_OPEN_ENTRIES_MAX 50

typedef enum {
	PAGE_NOTICE_INFO,
	PAGE_NOTICE_ERROR,
	PAGE_NOTICE_CONFLICT
} page_notice_kind_t;

typedef struct {
	const char *token; /* protects against cross-site request forgery */
	const json_t *document; /* document in force; NULL: none */
	int64_t generation;	/* of document */
	draft_t *draft;
	GPtrArray *open_entries; /* char *, "section id" of each entry form */
	GArray *problems; /* draft_problem_t; NULL: not validated or valid */
	page_notice_kind_t notice_kind;
	char *notice;	      /* text without markup; NULL: none */
	GString *differences; /* document to draft; NULL: not compared */
} page_t;

/* page_overview - page of the document in force and of the instances.  status
 * is the response of the controller to /v1/status, or NULL when there is none.
 * document and notice may be NULL. */
void page_overview(GString *out, const json_t *document, int64_t generation,
		   const json_t *status, const char *notice);

/* page_document - page of the document in force as JSON. */
void page_document(GString *out, const json_t *document, int64_t generation);

/* page_edit - page of the form that edits a draft. */
void page_edit(GString *out, const page_t *page);

/* page_retry - page with a form that repeats a request which could not be
 * processed.  parameters are the fields of that request, so that no input is
 * lost. */
void page_retry(GString *out, GHashTable *parameters, const char *notice);

/* page_message - page of a title and one paragraph. */
void page_message(GString *out, const char *title, const char *text);

#endif
