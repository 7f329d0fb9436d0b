#ifndef BSHCONSOLED_PAGE_H
#define BSHCONSOLED_PAGE_H

/*
 * NAME
 *	page - HTML of the console
 *
 * DESCRIPTION
 *	All text that is not a constant of this program is escaped.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "draft.h"

/* Entry forms on one page.  More are opened one by one. */
#define PAGE_OPEN_ENTRIES_MAX 50

typedef enum {
	PAGE_NOTICE_INFO,
	PAGE_NOTICE_ERROR,
	PAGE_NOTICE_CONFLICT
} page_notice_kind_t;

typedef struct {
	const char *token;	/* against cross-site request forgery */
	const json_t *document; /* in force; NULL: none accepted yet */
	int64_t generation;
	draft_t *draft;
	GPtrArray *open;  /* "section id" of each entry form */
	GArray *problems; /* draft_problem_t, or NULL */
	page_notice_kind_t kind;
	char *notice;	      /* or NULL */
	GString *differences; /* NULL: not reviewed */
} page_t;

/* page_overview - status is the controller's, or NULL. */
void page_overview(GString *out, const json_t *document, int64_t generation,
		   const json_t *status, const char *notice);

/* page_document - the document in force as text. */
void page_document(GString *out, const json_t *document, int64_t generation);

/* page_edit - the form. */
void page_edit(GString *out, const page_t *page);

/* page_retry - what was posted, to be sent again; nothing typed is lost. */
void page_retry(GString *out, GHashTable *parameters, const char *notice);

/* page_message - a page of one sentence. */
void page_message(GString *out, const char *title, const char *text);

#endif
