#ifndef BSHCONSOLED_DRAFT_H
#define BSHCONSOLED_DRAFT_H

/*
 * NAME
 *	draft - what an operator has changed and not submitted yet
 *
 * DESCRIPTION
 *	A draft is a list of changed entries.  It travels in the form, so the
 *	console keeps nothing: a restarted console, or that of another
 *	instance, continues with it.  Its size grows with the changes and not
 *	with the document.
 *
 *	An entry is named by section and id.  The id is the entry's name in
 *	the document, or "+1", "+2", ... for a new one (no name begins with a
 *	plus sign).  The section "settings" has one entry, which holds the
 *	members of the document that are not lists.
 *
 *	A change remembers the entry it was made from.  When the document in
 *	force has another one, two operators changed the same entry.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DRAFT_SETTINGS	  "settings"
#define DRAFT_CHANGES_MAX 10000

typedef enum {
	DRAFT_FIELD_TEXT,
	DRAFT_FIELD_NUMBER,
	DRAFT_FIELD_BOOL,
	DRAFT_FIELD_POOL_KIND, /* engine or service */
	DRAFT_FIELD_POOL_NAME  /* name of a pool */
} draft_field_type_t;

typedef struct {
	const char *key;
	const char *label;
	draft_field_type_t type;
	const char *hint;
} draft_field_t;

typedef struct {
	const char *name;
	const char *title;
	const char *singular;
	const draft_field_t *fields;
	size_t field_count;
} draft_section_t;

typedef struct {
	int64_t generation; /* that the operator has seen */
	json_t *changes;    /* [{"section","id","base","value"}] */
} draft_t;

/* One reason for a rejection, placed beside the field it is about. */
typedef struct {
	const char *section; /* NULL: not about one entry */
	char *id;
	char *field; /* empty: about the whole entry */
	char *path;
	char *value;
	char *allowed;
} draft_problem_t;

/* draft_sections - the sections in the order of the page; *count of them. */
const draft_section_t *draft_sections(size_t *count);
const draft_section_t *draft_section(const char *name);

void draft_init(draft_t *draft, int64_t generation);
void draft_finish(draft_t *draft);

/*
 * draft_parse - from the text of the form.
 *
 * RETURN VALUE
 *	false when it is malformed; then no finish is needed.
 */
bool draft_parse(draft_t *draft, const char *generation, const char *changes);

/* draft_text - changes as JSON, to be freed with free(). */
char *draft_text(const draft_t *draft);

/* draft_base - new reference to an entry of the document, or NULL. */
json_t *draft_document_entry(const json_t *document, const char *section,
			     const char *id);

/* draft_entry - new reference to the entry as drafted; NULL when there is
 * none or it is removed. */
json_t *draft_entry(const draft_t *draft, const json_t *document,
		    const char *section, const char *id);

/* draft_change - the change of an entry, borrowed, or NULL. */
json_t *draft_change(const draft_t *draft, const char *section, const char *id);

/*
 * draft_set - value NULL removes the entry.  A value equal to the document's
 * is no change.
 */
void draft_set_entry(draft_t *draft, const json_t *document,
		     const char *section, const char *id, json_t *value);

/* draft_revert - forget the change of an entry. */
void draft_revert(draft_t *draft, const char *section, const char *id);

/* draft_new_id - unused id for a new entry, to be freed with g_free(). */
char *draft_new_id(const draft_t *draft, const char *section);

/*
 * draft_read_field - a member of an entry from the text typed into the form.
 * Text that is not of the field's type is kept as a string, so that it is
 * shown again with the reason for its rejection.
 */
void draft_parse_field(json_t *entry, const draft_field_t *field,
		       const char *text);

/* draft_show_field - the text of a member for the form, to be freed with
 * g_free(). */
char *draft_format_field(const json_t *entry, const draft_field_t *field);

/* draft_ids - ids of a section in the order of draft_build(). */
GPtrArray *draft_entry_ids(const draft_t *draft, const json_t *document,
			   const char *section);

/* draft_build - new reference to the whole document with the changes. */
json_t *draft_build_document(const draft_t *draft, const json_t *document);

/* draft_overlaps - true when another operator changed this entry too. */
bool draft_change_conflicts(const json_t *change, const json_t *document);

/*
 * draft_place_problems - problems is [{"path","value","allowed"}] about the
 * document of draft_build().
 */
GArray *draft_locate_problems(const draft_t *draft, const json_t *document,
			      const json_t *problems);

#endif
