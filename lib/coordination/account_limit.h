#ifndef BSH_COORDINATION_ACCOUNT_LIMIT_H
#define BSH_COORDINATION_ACCOUNT_LIMIT_H

/*
 * NAME
 *	account_limit - limits of client accounts over all instances
 *
 * DESCRIPTION
 *	One instance, the keeper, has the ledger: a token bucket for each account
 *	with a limit.  The others report the totals of what they were asked for,
 *	admitted and gave back, and are told for each account that is short which
 *	fraction of its requests to admit.  So the use of all instances is pooled,
 *	and no request waits for a message.
 *
 *	The fraction follows from the level of the bucket, the rate and what is
 *	offered a second: it settles where the level stays just above 0.  An
 *	instance admits by error diffusion, so that what it admits is even.
 *
 *	An instance that the keeper does not answer admits from a bucket of its
 *	own, at the rate at which it has admitted before, but half of its equal
 *	part at least and all of it at most; the keeper reserves half of that
 *	part for each instance that does not report.
 *
 *	A part of what may pass beyond the limit in a window is given out, too,
 *	as a request that is refused within that bound is a loss to its caller;
 *	the rest is for what passes until all instances know of a change, which
 *	is more with more instances.
 *
 *	Totals are cumulative, so that a lost report only delays the next one.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Costs are tokens or requests, as the account's limit.  Names ending in _us
 *	are microseconds of CLOCK_BOOTTIME.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Reports of an instance; longer with more instances, as one of them answers
 * all. */
#define BSH_ACCOUNT_REPORT_US		   INT64_C(200000)
#define BSH_ACCOUNT_REPORT_PER_INSTANCE_US INT64_C(2500)
/* What the keeper told is not used for longer. */
#define BSH_ACCOUNT_SHARE_MAX_AGE_US INT64_C(1000000)
/* An instance that has not reported for longer is silent. */
#define BSH_ACCOUNT_SILENT_US INT64_C(1500000)
/* Both are at least this number of reports, as one may be lost. */
#define BSH_ACCOUNT_REPORTS_MISSED 2.5
/* A process whose use no keeper knows says so for this time after its begin.  It
 * learns the keeper within about a second, and a report may be lost. */
#define BSH_ACCOUNT_NEW_US INT64_C(3000000)

typedef struct {
	double rate_per_s; /* 0: no limit */
	double burst;
	/* What may pass beyond the limit in a window: a part of it, and this. */
	double overage;
	double slack;
} bsh_account_bounds_t;

/* Totals of one account at one instance since the start of its process. */
typedef struct {
	uint64_t offered;
	uint64_t admitted;
	uint64_t given_back; /* admitted, and has not run */
} bsh_account_totals_t;

/* One account at an instance. */
typedef struct {
	bsh_account_totals_t totals;
	double fraction;   /* of what is offered, to admit */
	uint32_t retry_ms; /* told besides, for callers that are not admitted */
	double credit;	   /* not yet admitted of the fraction */
	double admitted_per_s; /* smoothed */
	int64_t admitted_us;
	double own_level; /* of the own bucket */
	int64_t own_us;	  /* when it was filled; 0: not in use */
} bsh_account_share_t;

void bsh_account_share_init(bsh_account_share_t *share);
/*
 * bsh_account_share_admit - whether a request of this cost is admitted; counts
 * it.  heard_us: when the report was sent whose answer set the fraction;
 * instances: their number.
 */
bool bsh_account_share_admit(bsh_account_share_t *share,
			     const bsh_account_bounds_t *bounds, uint32_t cost,
			     int64_t heard_us, uint32_t instances,
			     int64_t now_us);
/* bsh_account_share_give_back - an admitted request has not run. */
void bsh_account_share_give_back(bsh_account_share_t *share, uint32_t cost);
/* bsh_account_share_retry_ms - when a caller that was not admitted may expect to
 * be, as things are. */
int64_t bsh_account_share_retry_ms(const bsh_account_share_t *share,
				   const bsh_account_bounds_t *bounds,
				   uint32_t cost, int64_t heard_us,
				   uint32_t instances, int64_t now_us);

/* bsh_account_report_us - interval of reports. */
int64_t bsh_account_report_us(uint32_t instances);

/*
 * Whether the keeper knows from where it counts what an instance uses.  A report
 * leaves out accounts that were not used lately, and the keeper counts an account
 * from the first report that names it: until the keeper has answered, reports name
 * all accounts, as any of them may be lost.
 */
typedef struct {
	int64_t begun_us;    /* first report of the process; 0: none yet */
	int64_t changed_us;  /* another keeper, or other accounts, since */
	int64_t answered_us; /* last report answered since then; 0: none */
	bool known;	     /* a keeper has answered this process */
} bsh_account_reporter_t;

void bsh_account_reporter_init(bsh_account_reporter_t *reporter);
/* bsh_account_reporter_changed - there is another keeper, or other accounts. */
void bsh_account_reporter_changed(bsh_account_reporter_t *reporter,
				  int64_t now_us);
/* bsh_account_reporter_names_all - whether the report that is due names all
 * accounts. */
bool bsh_account_reporter_names_all(bsh_account_reporter_t *reporter,
				    uint32_t instances, int64_t now_us);
/* bsh_account_reporter_is_first - whether it is marked as one of a process whose
 * use no keeper knows. */
bool bsh_account_reporter_is_first(const bsh_account_reporter_t *reporter,
				   int64_t now_us);
/* bsh_account_reporter_answered - a keeper has answered the report of asked_us. */
void bsh_account_reporter_answered(bsh_account_reporter_t *reporter,
				   int64_t asked_us);

/* Ledger of the keeper. */
typedef struct bsh_account_ledger bsh_account_ledger_t;

bsh_account_ledger_t *bsh_account_ledger_new(void);
void bsh_account_ledger_free(bsh_account_ledger_t *ledger);

/* bsh_account_ledger_set - the bounds of an account; one that is new here has a
 * bucket filled to this part of its burst, 0 to 1. */
void bsh_account_ledger_set(bsh_account_ledger_t *ledger, uint32_t account,
			    const bsh_account_bounds_t *bounds, double filled,
			    int64_t now_us);
/* bsh_account_ledger_keep - drop the accounts for which keep returns false. */
void bsh_account_ledger_keep(bsh_account_ledger_t *ledger,
			     bool (*keep)(void *ctx, uint32_t account),
			     void *ctx);

/*
 * bsh_account_ledger_hear - an instance has reported; first: no keeper has answered
 * its process, which has just begun.  incarnation rises with each process.
 * bsh_account_ledger_note() follows for each account in the report.  What an
 * instance has used before its first report to this ledger is not known, unless
 * its process is younger than the ledger.
 *
 * RETURN VALUE
 *	False if the report is one of a former process and is to be ignored.
 */
bool bsh_account_ledger_hear(bsh_account_ledger_t *ledger, uint64_t instance,
			     uint64_t incarnation, bool first, int64_t now_us);
void bsh_account_ledger_note(bsh_account_ledger_t *ledger, uint64_t instance,
			     uint32_t account,
			     const bsh_account_totals_t *totals,
			     int64_t now_us);

/* bsh_account_ledger_fraction - the fraction of an account, 1: all.  instances:
 * those that are known, reporting or not. */
double bsh_account_ledger_fraction(bsh_account_ledger_t *ledger,
				   uint32_t account, uint32_t instances,
				   int64_t now_us);
/* bsh_account_ledger_retry_ms - when a caller that was not admitted by that
 * fraction may expect to be, as things are. */
uint32_t bsh_account_ledger_retry_ms(const bsh_account_ledger_t *ledger,
				     uint32_t account);
/* bsh_account_ledger_level - what is left in the bucket; below 0: overdrawn. */
double bsh_account_ledger_level(const bsh_account_ledger_t *ledger,
				uint32_t account);
/* bsh_account_ledger_offered - what is offered a second. */
double bsh_account_ledger_offered(const bsh_account_ledger_t *ledger,
				  uint32_t account);

#endif
