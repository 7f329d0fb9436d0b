#ifndef BSHCONSOLED_DRAFT_H
#define BSHCONSOLED_DRAFT_H

/*
 * NAME
 *	draft - unsubmitted changes of an operator to the document in force
 *
 * DESCRIPTION
 *	A draft is a list of changed entries.  It is stored in a hidden field
 *	of the form, so the console is stateless: a restarted console, or that
 *	of another instance, continues with the draft.  Its size grows with
 *	the number of changes and not with the document.
 *
 *	An entry is named by section and id.  The id is the entry's name in
 *	the document, or "+1", "+2", ... for a new one (no name begins with a
 *	plus sign).  The section "settings" has one entry, which holds the
 *	members of the document that are not lists.
 *
 *	A change includes the entry it was made from (its base).  When the
 *	entry in force differs from the base, another operator changed it too.
 *
 *	A document is NULL while none has been accepted.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DRAFT_SETTINGS	  "settings"
#define DRAFT_CHANGES_MAX 10000 /* in a received draft */

typedef enum {
	DRAFT_FIELD_TEXT,
	DRAFT_FIELD_NUMBER,
	DRAFT_FIELD_BOOL,
	DRAFT_FIELD_POOL_KIND, /* "engine" or "service" */
	DRAFT_FIELD_POOL_NAME  /* name of a pool of the document */
} draft_field_type_t;

typedef struct {
	const char *key;   /* member of the entry */
	const char *label; /* title in the form and the table */
	draft_field_type_t type;
	const char *hint; /* explanation beside the input */
} draft_field_t;

typedef struct {
	const char *name;     /* member of the document, or DRAFT_SETTINGS */
	const char *title;    /* heading of the table */
	const char *singular; /* name of one entry in texts */
	const draft_field_t *fields;
	size_t field_count;
} draft_section_t;

typedef struct {
	int64_t generation; /* of the document that the changes apply to */
	json_t *changes;    /* [{"section","id","base","value"}] */
} draft_t;

/* One reason for a rejection, and the field beside which it is shown. */
typedef struct {
	const char *section; /* NULL: no single entry is concerned */
	char *id;	     /* NULL if section is NULL */
	char *field;   /* key; empty: whole entry; NULL if section is NULL */
	char *path;    /* of the value in the document */
	char *value;   /* rejected value; empty: missing */
	char *allowed; /* description of the allowed values */
} draft_problem_t;

/* draft_sections - all sections in the order of the page; stores their number
 * in *count. */
const draft_section_t *draft_sections(size_t *count);

/* draft_section - the section of that name, or NULL. */
const draft_section_t *draft_section(const char *name);

/* draft_init - an empty draft on the document of that generation. */
void draft_init(draft_t *draft, int64_t generation);
void draft_finish(draft_t *draft);

/*
 * draft_parse - initialise a draft from the hidden fields of the form.
 *
 * RETURN VALUE
 *	false when a field is missing or malformed; then no finish is needed.
 */
bool draft_parse(draft_t *draft, const char *generation, const char *changes);

/* draft_text - the changes as JSON, to be freed with free(). */
char *draft_text(const draft_t *draft);

/* draft_document_entry - new reference to an entry of document, or NULL. */
json_t *draft_document_entry(const json_t *document, const char *section,
			     const char *id);

/* draft_entry - new reference to the entry as drafted; NULL when there is
 * none or it is removed. */
json_t *draft_entry(const draft_t *draft, const json_t *document,
		    const char *section, const char *id);

/* draft_change - borrowed reference to the change of an entry, or NULL. */
json_t *draft_change(const draft_t *draft, const char *section, const char *id);

/*
 * draft_set_entry - add, replace or remove an entry in the draft.  value NULL
 * removes it.  The change is dropped when value equals the entry of document.
 */
void draft_set_entry(draft_t *draft, const json_t *document,
		     const char *section, const char *id, json_t *value);

/* draft_revert - drop the change of an entry. */
void draft_revert(draft_t *draft, const char *section, const char *id);

/* draft_new_id - an unused id for a new entry, to be freed with g_free(). */
char *draft_new_id(const draft_t *draft, const char *section);

/*
 * draft_parse_field - set a member of an entry from the text typed into the
 * form.  Empty text removes the member.  Text that is not of the field's type
 * is stored as a string, so that the form shows it again with the reason for
 * its rejection.
 */
void draft_parse_field(json_t *entry, const draft_field_t *field,
		       const char *text);

/* draft_format_field - the text of a member for the form, to be freed with
 * g_free(). */
char *draft_format_field(const json_t *entry, const draft_field_t *field);

/* draft_entry_ids - ids of the drafted entries of a section, in the order of
 * draft_build_document(). */
GPtrArray *draft_entry_ids(const draft_t *draft, const json_t *document,
			   const char *section);

/* draft_build_document - new reference to document with the changes applied. */
json_t *draft_build_document(const draft_t *draft, const json_t *document);

/* draft_change_conflicts - true when the entry of document differs from the
 * base of the change, that is, another operator changed it too. */
bool draft_change_conflicts(const json_t *change, const json_t *document);

/*
 * draft_locate_problems - find the entry and the field of each problem.
 * problems is [{"path","value","allowed"}] about the document of
 * draft_build_document().
 *
 * RETURN VALUE
 *	An array of draft_problem_t in the order of problems, to be freed with
 *	g_array_free().
 */
GArray *draft_locate_problems(const draft_t *draft, const json_t *document,
			      const json_t *problems);

#endif
