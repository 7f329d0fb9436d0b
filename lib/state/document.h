#ifndef BSH_STATE_DOCUMENT_H
#define BSH_STATE_DOCUMENT_H

/*
 * NAME
 *	document - declarative configuration of a deployment: parser,
 *	validation, diff and delta
 *
 * DESCRIPTION
 *	A document declares the pools, models and services of a deployment
 *	and the limits of the weight store.  It is accepted as a whole or
 *	rejected with a list of all its problems.
 *
 *	A parsed document is immutable.  Its canonical text has sorted keys
 *	and entries sorted by name, so that documents of the same content
 *	have the same hash, whatever their layout.
 *
 *	A delta carries the entries that differ between two generations and
 *	the hashes of both documents, so that a receiver detects a delta
 *	that was made against another document.
 *
 * UNITS
 *	Memory in MiB, times in milliseconds, sizes of text in bytes.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

#define BSH_DOC_NAME_SIZE      96 /* bytes, with the terminating NUL */
#define BSH_DOC_HASH_SIZE      33 /* 128 bits in hexadecimal, and NUL */
#define BSH_DOC_TEXT_MAX_BYTES 1000000

typedef enum {
	BSH_DOC_ENGINE,
	BSH_DOC_SERVICE
} bsh_doc_kind_t;

typedef struct {
	char name[BSH_DOC_NAME_SIZE];
	bsh_doc_kind_t kind;
	bool fencing;	      /* targets refuse orders with an old fence */
	uint32_t memory_mib;  /* accelerator memory of each target */
	uint32_t max_running; /* limit of concurrent requests of a target */
	uint32_t cells;	      /* number of cells of the pool's placement */
} bsh_doc_pool_t;

typedef struct {
	char name[BSH_DOC_NAME_SIZE];
	char version[BSH_DOC_NAME_SIZE];
	char base[BSH_DOC_NAME_SIZE]; /* of an adapter; otherwise empty */
	uint32_t pool;		      /* index in pools */
	uint32_t memory_mib;
	uint32_t max_replicas;
	uint32_t load_ms;     /* expected load time from the weight store */
	uint32_t deadline_ms; /* default deadline of a request */
	uint32_t priority;    /* 0 (highest) to 9 */
	bool repeatable;      /* requests may be executed more than once */
} bsh_doc_model_t;

typedef struct {
	char name[BSH_DOC_NAME_SIZE];
	uint32_t pool;	      /* index in pools */
	uint32_t deadline_ms; /* default deadline of a request */
	bool repeatable;      /* requests may be executed more than once */
} bsh_doc_service_t;

typedef struct {
	char deployment[BSH_DOC_NAME_SIZE];
	double weight;	    /* 0: only cold-start time counts; 1: idle hours */
	double loads_per_s; /* rate limit of the weight store */
	uint32_t load_concurrent; /* loads at once from the weight store */
	GArray *pools;		  /* bsh_doc_pool_t, sorted by name */
	GArray *models;		  /* bsh_doc_model_t, sorted by name */
	GArray *services;	  /* bsh_doc_service_t, sorted by name */
	json_t *json;		  /* canonical form */
	char hash[BSH_DOC_HASH_SIZE];
} bsh_document_t;

/* One violation in a rejected document. */
typedef struct {
	char *path;    /* "models/chat-a.max_replicas" */
	char *value;   /* value found, as shortened JSON; empty if missing */
	char *allowed; /* description of the allowed values */
} bsh_doc_problem_t;

/* bsh_doc_problems_new - array of bsh_doc_problem_t that owns its strings. */
GArray *bsh_doc_problems_new(void);

/* bsh_doc_problems_json - new reference to [{"path","value","allowed"}]. */
json_t *bsh_doc_problems_json(const GArray *problems);

/*
 * bsh_document_init - parse and validate text of size_bytes.
 *
 * RETURN VALUE
 *	BSH_OK; BSH_ERR_TOO_LARGE above BSH_DOC_TEXT_MAX_BYTES;
 *	BSH_ERR_INVALID.  On error all violations are appended to problems
 *	and doc must not be passed to bsh_document_finish().
 */
bsh_error_t bsh_document_init(bsh_document_t *doc, const char *text,
			      size_t size_bytes, GArray *problems);

/* bsh_document_init_json - the same for a JSON value, which is copied. */
bsh_error_t bsh_document_init_json(bsh_document_t *doc, const json_t *json,
				   GArray *problems);
void bsh_document_finish(bsh_document_t *doc);

/*
 * bsh_document_model, bsh_document_service, bsh_document_pool - look up an
 * entry by name; NULL when there is none.
 */
const bsh_doc_model_t *bsh_document_model(const bsh_document_t *doc,
					  const char *name);
const bsh_doc_service_t *bsh_document_service(const bsh_document_t *doc,
					      const char *name);
const bsh_doc_pool_t *bsh_document_pool(const bsh_document_t *doc,
					const char *name);

static inline const bsh_doc_pool_t *
bsh_document_pool_at(const bsh_document_t *doc, uint32_t index)
{
	return &g_array_index(doc->pools, bsh_doc_pool_t, index);
}

/* bsh_document_text - canonical text, to be released with free(). */
char *bsh_document_text(const bsh_document_t *doc);

/*
 * bsh_document_diff - append one line for each difference: "+ models/NAME",
 * "- models/NAME" or "~ models/NAME.key: OLD -> NEW".
 *
 * RETURN VALUE
 *	The number of differences.
 */
uint32_t bsh_document_diff(const bsh_document_t *from, const bsh_document_t *to,
			   GString *out);

/* bsh_document_delta - new reference to the delta that turns from into to. */
json_t *bsh_document_delta(const bsh_document_t *from,
			   const bsh_document_t *to);

/*
 * bsh_document_apply - initialize doc with the result of applying delta to
 * from.
 *
 * RETURN VALUE
 *	BSH_OK; BSH_ERR_CONFLICT if the delta was made against another
 *	document or its result has another hash; BSH_ERR_INVALID if it is
 *	malformed or its result is not a valid document.  On error doc must
 *	not be passed to bsh_document_finish().
 */
bsh_error_t bsh_document_apply(bsh_document_t *doc, const bsh_document_t *from,
			       const json_t *delta);

#endif
