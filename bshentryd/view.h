#ifndef BSHENTRYD_VIEW_H
#define BSHENTRYD_VIEW_H

/*
 * NAME
 *	view - what the traffic thread knows of the rest of the system
 *
 * DESCRIPTION
 *	The control thread builds a view after each change and hands it to the
 *	traffic thread.  A view is immutable and shared by counted references.
 */

#include "state/catalog.h"
#include "state/target.h"

typedef struct {
	char id[BSH_NAME_SIZE];
	char address[BSH_ADDRESS_SIZE];
	char service[BSH_NAME_SIZE];
	uint64_t hash; /* of the id */
	uint32_t slots;
	bool same_zone;
	bool doubtful; /* its entry has vanished a moment ago */
	bsh_holdings_t holdings;
} view_target_t;

typedef struct {
	uint32_t model;
	uint32_t adapter;
	int64_t ready_us; /* INT64_MAX: no place for it at present */
	int64_t told_us;
} view_ready_t;

typedef struct {
	gint refs;
	bsh_catalog_t *catalog;
	GArray *targets;    /* view_target_t; none that is leaving */
	GArray *ready;	    /* view_ready_t, of models that requests wait for */
	bool has_holder;    /* some instance gives orders to targets */
	uint32_t instances; /* live ones, this one included */
} view_t;

view_t *view_new(bsh_catalog_t *catalog);
view_t *view_ref(view_t *view);
void view_unref(view_t *view);

/* view_ready - when the model or adapter can be used; NULL: nothing told. */
const view_ready_t *view_find_ready(const view_t *view, uint32_t model,
				    uint32_t adapter);

#endif
