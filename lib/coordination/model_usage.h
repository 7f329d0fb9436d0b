#ifndef BSH_COORDINATION_MODEL_USAGE_H
#define BSH_COORDINATION_MODEL_USAGE_H

/*
 * NAME
 *	model_usage - number of requests for each model, summed over all routers
 *
 * DESCRIPTION
 *	Each router reports its own number for each model and target about
 *	once a second and omits those without requests.  The loader needs the
 *	total: a model without requests at one router is still in use while
 *	another router has streams on it.
 *
 *	A report expires after BSH_USE_KEEP_US, so a router that has stopped
 *	does not keep a model in use.
 *
 * UNITS
 *	Microseconds of a monotonic clock.
 */

#include <glib.h>
#include <stdint.h>

/* Several times the interval of the routers' reports. */
#define BSH_USE_KEEP_US INT64_C(3500000)

typedef struct {
	GHashTable *models; /* name to table of reports by router and target */
} bsh_use_t;

void bsh_use_init(bsh_use_t *use);
void bsh_use_finish(bsh_use_t *use);

/*
 * bsh_use_report - replace the report of an instance's router: the number of
 * requests for the model that run on, or wait for, the target.
 *
 * RETURN VALUE
 *	Total for the model over all routers and targets.
 */
uint32_t bsh_use_report(bsh_use_t *use, const char *model, const char *instance,
			const char *target, uint32_t running, int64_t now_us);

#endif
