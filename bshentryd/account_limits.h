#ifndef BSHENTRYD_ACCOUNT_LIMITS_H
#define BSHENTRYD_ACCOUNT_LIMITS_H

/*
 * NAME
 *	account_limits - limits of client accounts in the traffic thread
 *
 * DESCRIPTION
 *	Knows accounts and costs, not requests.  What is used is reported and
 *	the answers come through account_limits_told().
 *
 * UNITS
 *	Costs are tokens or requests, as the account's limit.  Times are
 *	microseconds of CLOCK_BOOTTIME.
 */

#include "coordination/account_limit.h"
#include "protocol/message.h"
#include "state/account.h"

typedef struct {
	GHashTable *accounts; /* hash of the name to its use at this instance */
	double slack;
	int64_t heard_us; /* report whose answer came last; 0: none */
} account_limits_t;

void account_limits_init(account_limits_t *limits, double slack);
void account_limits_finish(account_limits_t *limits);

/* account_limits_cost - what a request of so many tokens counts; 0 tokens: it
 * names none. */
uint32_t account_limits_cost(const bsh_account_rule_t *account,
			     uint64_t tokens);
/* account_limits_admit - whether a request is within the limit; counts it. */
bool account_limits_admit(account_limits_t *limits,
			  const bsh_account_rule_t *account, uint32_t cost,
			  uint32_t instances, int64_t now_us);
/* account_limits_give_back - an admitted request has not run. */
void account_limits_give_back(account_limits_t *limits, uint32_t account,
			      uint32_t cost);
/* account_limits_retry_ms - when a caller that was refused may come back. */
int64_t account_limits_retry_ms(account_limits_t *limits,
				const bsh_account_rule_t *account,
				uint32_t cost, uint32_t instances,
				int64_t now_us);

/* account_limits_collect - bsh_account_use_t of accounts that were used since the
 * last call. */
GArray *account_limits_collect(account_limits_t *limits);
/* account_limits_told - the answer to the report of asked_us: the fractions of
 * all accounts of which not all is admitted. */
void account_limits_told(account_limits_t *limits,
			 const bsh_account_fraction_t *fractions, uint32_t n,
			 int64_t asked_us);

/* What an account may use at present, as far as this instance knows. */
typedef struct {
	double fraction; /* of what is offered, that is admitted; 1: all */
	bool admits;	 /* the request would be admitted now */
	int64_t retry_ms;
} account_standing_t;

/* account_limits_standing - whether a request would be admitted; counts
 * nothing. */
void account_limits_standing(const account_limits_t *limits,
			     const bsh_account_rule_t *account, uint32_t cost,
			     uint32_t instances, int64_t now_us,
			     account_standing_t *standing);

#endif
