#ifndef BSH_COORDINATION_USE_H
#define BSH_COORDINATION_USE_H

/*
 * NAME
 *	use - requests in progress for each model, over all routers
 *
 * DESCRIPTION
 *	Each router reports its own number for each model and target about
 *	once a second, and leaves out what it has none of.  The loader needs
 *	the total: a router that has none must not end the use of a model on
 *	which another router has streams.
 *
 *	A report counts for BSH_USE_KEEP_US, so a router that has gone does
 *	not keep a model in use.
 */

#include <glib.h>
#include <stdint.h>

#define BSH_USE_KEEP_US INT64_C(3500000)

typedef struct {
	GHashTable *models; /* name to table of sources */
} bsh_use_t;

void bsh_use_init(bsh_use_t *use);
void bsh_use_finish(bsh_use_t *use);

/*
 * bsh_use_report - an instance's router has running requests of the model, in
 * progress or waiting, on a target.
 *
 * RETURN VALUE
 *	The model's requests over all routers and targets.
 */
uint32_t bsh_use_report(bsh_use_t *use, const char *model, const char *instance,
			const char *target, uint32_t running, int64_t now_us);

#endif
