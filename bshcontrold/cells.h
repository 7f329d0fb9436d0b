#ifndef BSHCONTROLD_CELLS_H
#define BSHCONTROLD_CELLS_H

/*
 * NAME
 *	cells - what the parts cells, demands and targets exchange
 */

#include "control.h"
#include "coordination/loader.h"

/* cells */
void cells_platform_list(control_t *control, const bsh_loader_instance_t *items,
			 size_t count);
void cells_target_status(control_t *control, const bsh_target_status_t *status);
void cells_order_result(control_t *control, uint64_t id,
			bsh_order_result_t result, uint64_t fence);

/* Owner as last seen, or the preferred one. */
bool cells_owner(const control_t *control, const char *model,
		 bsh_sender_t *owner);
bool cells_is_self(const control_t *control, const bsh_sender_t *owner);
void cells_add_demand(control_t *control, const bsh_demand_t *demand);
void cells_cancel_demand(control_t *control, uint64_t id);
void cells_add_subscriber(control_t *control, const char *instance);
/* Routes of a model to an instance; NULL: to the router of this one. */
void cells_send_model(control_t *control, const char *model,
		      const char *instance);

/* demands */
void demands_loader_answer(control_t *control,
			   const bsh_demand_answer_t *answer);

/* targets */
void targets_order(control_t *control, const bsh_loader_order_t *order);

#endif
