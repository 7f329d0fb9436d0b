#ifndef BSHENTRYD_VIEW_H
#define BSHENTRYD_VIEW_H

/*
 * NAME
 *	view - immutable snapshot of the cluster state for the traffic thread
 *
 * DESCRIPTION
 *	The control thread builds a new view after each change and posts it to
 *	the traffic thread.  A view is shared by counted references.
 */

#include "coordination/relay_choice.h"
#include "state/catalog.h"
#include "state/target.h"

typedef struct {
	char id[BSH_NAME_SIZE];
	char address[BSH_ADDRESS_SIZE];
	char service[BSH_NAME_SIZE];
	char software[BSH_SOFTWARE_SIZE]; /* version; "": unknown */
	uint64_t software_key;		  /* bsh_software_key() of it */
	uint64_t hash;			  /* of the id */
	uint64_t started_ms;		  /* of its process; 0: unknown */
	uint32_t slots;			  /* concurrent requests, at least 1 */
	bool same_zone;
	bool entry_removed; /* from the platform's list; its grace time runs */
	bsh_holdings_t holdings;
} view_target_t;

/* Estimate of when a model or adapter can be used, in microseconds on the clock
 * of the control thread. */
typedef struct {
	uint32_t model;
	uint32_t adapter;
	int64_t ready_us;     /* INT64_MAX: no target for it at present */
	int64_t estimated_us; /* time of the estimate */
} view_ready_t;

/* Software versions of the targets of a service. */
typedef struct {
	char service[BSH_NAME_SIZE];
	/* Key of the only one that has served recently; 0: there were several,
	 * or this instance has not run for long enough to know. */
	uint64_t only;
	bool several; /* have served recently */
} view_software_t;

typedef struct {
	gint refs;
	bsh_catalog_t *catalog;
	GArray *targets;    /* view_target_t, without those leaving */
	GArray *software;   /* view_software_t, by service */
	GArray *ready;	    /* view_ready_t, of models with waiting requests */
	GArray *peers;	    /* bsh_relay_peer_t, empty unless cut */
	bool cut;	    /* this instance reaches no target */
	bool listed;	    /* the list of targets has been read */
	bool has_holder;    /* a lease holder was active recently */
	uint32_t instances; /* that may be running, including this one */
	/* Start of this process, if it replaces one that did not stop in an
	 * orderly way; 0: it does not. */
	int64_t replaced_us;
} view_t;

view_t *view_new(bsh_catalog_t *catalog);
view_t *view_ref(view_t *view);
void view_unref(view_t *view);

/* view_find_ready - the estimate for a model or adapter, or NULL. */
const view_ready_t *view_find_ready(const view_t *view, uint32_t model,
				    uint32_t adapter);

/* view_find_software - the versions of a service, or NULL. */
const view_software_t *view_find_software(const view_t *view,
					  const char *service);

#endif
