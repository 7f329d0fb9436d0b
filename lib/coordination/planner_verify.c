/* Loads that were taken for ended without a report: whether the target holds the
 * model. */
#include "coordination/planner_private.h"

/* The requests that waited for the model are sent within 0.1 s of the end of its
 * load, and the instances report their demand 0.25 s later. */
#define VERIFY_DELAY_US INT64_C(400000)

void planner_verify_add(planner_target_t *t, uint32_t model, int64_t now_us)
{
	bsh_holdings_add(&t->unverified, model, 0);
	t->verify_us = now_us + VERIFY_DELAY_US;
}

bool planner_verify_is_due(const bsh_planner_t *planner,
			   const planner_target_t *t, int64_t now_us)
{
	if (t->state != PLANNER_IDLE || now_us < t->verify_us)
		return false;
	for (uint32_t i = 0; i < t->unverified.n; i++) {
		uint32_t model = t->unverified.items[i].model;
		const planner_demand_t *demand =
			planner_demand_of(planner, model, 0);

		if (demand != NULL && demand->waiting > 0 &&
		    bsh_holdings_has(&t->held, model, 0))
			return true;
	}
	return false;
}

uint32_t planner_verify_absent(planner_target_t *t,
			       const bsh_target_report_t *report)
{
	bool verifies = t->verifying;
	uint32_t absent = 0;

	t->verifying = false;
	/* A later order, or a report from before the last one. */
	if (!verifies || t->state != PLANNER_IDLE || report->orders < t->orders)
		return 0;
	for (uint32_t i = 0; i < t->unverified.n; i++) {
		uint32_t model = t->unverified.items[i].model;

		absent += bsh_holdings_has(&t->held, model, 0) &&
			  !bsh_holdings_has(&report->holdings, model, 0);
	}
	t->unverified.n = 0;
	return absent;
}
