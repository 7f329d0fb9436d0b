#ifndef BSHCONTROLD_CELLS_H
#define BSHCONTROLD_CELLS_H

/*
 * NAME
 *	cells - interfaces of placement between cells, demands and targets
 *
 * DESCRIPTION
 *	cells runs the loader, which decides about loads and routes.  demands
 *	submits requests for a model to it and receives the answers; targets
 *	reports the state of targets to it and sends its orders.
 */

#include "control.h"
#include "coordination/loader.h"

/* cells */
/* A complete list of instances from the platform. */
void cells_platform_list(control_t *control, const bsh_loader_instance_t *items,
			 size_t count);
void cells_target_status(control_t *control, const bsh_target_status_t *status);
/* Outcome of the order id; fence is the target's, for BSH_ORDER_STALE_FENCE. */
void cells_order_result(control_t *control, uint64_t id,
			bsh_order_result_t result, uint64_t fence);

/* Owner of a model's cell by the last value read from the store; without one,
 * the controller preferred for it.  False if neither is known. */
bool cells_owner(const control_t *control, const char *model,
		 bsh_sender_t *owner);
bool cells_is_self(const control_t *control, const bsh_sender_t *owner);
/* Submit a demand to the loader, which answers by demands_loader_answer(). */
void cells_add_demand(control_t *control, const bsh_demand_t *demand);
void cells_cancel_demand(control_t *control, uint64_t id);
/* Send later routes to this instance also when routes are not broadcast. */
void cells_add_subscriber(control_t *control, const char *instance);
/* Send the routes of a model to an instance; NULL: to the local router. */
void cells_send_model(control_t *control, const char *model,
		      const char *instance);

/* demands */
void demands_loader_answer(control_t *control,
			   const bsh_demand_answer_t *answer);

/* targets */
/* Send an order to an engine; its outcome goes to cells_order_result(). */
void targets_order(control_t *control, const bsh_loader_order_t *order);

#endif
