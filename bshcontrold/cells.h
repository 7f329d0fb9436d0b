#ifndef BSHCONTROLD_CELLS_H
#define BSHCONTROLD_CELLS_H

/*
 * NAME
 *	cells - what the parts cells and targets exchange for the loader
 */

#include "control.h"
#include "coordination/loader.h"

/* cells */
void cells_platform(control_t *control, const bsh_loader_instance_t *items,
		    size_t count);
void cells_target_status(control_t *control, const bsh_target_status_t *status);
void cells_order_result(control_t *control, uint64_t id,
			bsh_order_result_t result, uint64_t fence);

/* targets */
void targets_order(control_t *control, const bsh_loader_order_t *order);

#endif
