#ifndef BSHENTRYD_ACCOUNT_KEEPER_H
#define BSHENTRYD_ACCOUNT_KEEPER_H

/*
 * NAME
 *	account_keeper - exchange of what client accounts use
 *
 * DESCRIPTION
 *	Runs on the control thread; lib/coordination/account_limit decides.  The
 *	holder of the order lease is the keeper of the ledger.
 *
 * UNITS
 *	Times are microseconds of CLOCK_BOOTTIME.
 */

#include "coordination/account_limit.h"
#include "protocol/message.h"
#include "state/account.h"

typedef struct {
	void (*send)(void *ctx, const char *instance,
		     const bsh_message_t *message);
	/* What the keeper told in its answer to the report of asked_us. */
	void (*told)(void *ctx, const bsh_account_fraction_t *fractions,
		     uint32_t n, int64_t asked_us);
	void *ctx;
} account_keeper_ops_t;

typedef struct {
	account_keeper_ops_t ops;
	bsh_account_ledger_t *ledger; /* NULL: this is not the keeper */
	GArray *accounts;	      /* hashes of those with a limit */
	bsh_account_reporter_t reporter;
	GHashTable *totals; /* own ones: account to bsh_account_use_t */
	int64_t heard_us;   /* last answer of another keeper; 0: none */
	/* Keeper before this one, and since when; "": this instance was it. */
	char holder[BSH_NAME_SIZE];
	int64_t holder_us;
	uint32_t short_accounts;
	int64_t logged_us; /* last log of the accounts that are short */
} account_keeper_t;

/* What may pass beyond the limit of an account in a window. */
typedef struct {
	double overage; /* part of the limit */
	double slack;
	int64_t window_us;
} account_tolerance_t;

void account_keeper_register(void);
void account_keeper_init(account_keeper_t *keeper,
			 const account_keeper_ops_t *ops);
void account_keeper_finish(account_keeper_t *keeper);

/* account_keeper_update - the accounts in force (NULL: none), their tolerance, and
 * whether this instance is the keeper. */
void account_keeper_update(account_keeper_t *keeper,
			   const bsh_accounts_t *accounts,
			   const account_tolerance_t *tolerance, bool is_keeper,
			   int64_t now_us);

/* Who takes part in a report. */
typedef struct {
	const char *self;
	uint64_t incarnation;
	const char *holder; /* keeper; "": not known */
	uint32_t instances;
} account_parties_t;

/* account_keeper_report - send what this instance has used, or enter it into the
 * own ledger. */
void account_keeper_report(account_keeper_t *keeper,
			   const account_parties_t *parties,
			   const bsh_account_use_t *uses, uint32_t n,
			   int64_t now_us);
/* Handle ACCOUNT_USE and ACCOUNT_SHARES. */
void account_keeper_receive_use(account_keeper_t *keeper, const char *sender,
				uint64_t incarnation,
				const bsh_msg_account_use_t *message,
				uint32_t instances, int64_t now_us);
void account_keeper_receive_shares(account_keeper_t *keeper,
				   const bsh_msg_account_shares_t *message,
				   int64_t now_us);

#endif
