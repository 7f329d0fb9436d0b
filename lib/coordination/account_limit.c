#include "coordination/account_limit.h"

#include <math.h>
#include <string.h>

/* Time constant of what is offered a second: reports come a few times a second
 * from each instance. */
#define OFFERED_TAU_US 250000.0
/* Time within which the level is to settle.  What passes until a change is known
 * everywhere, about 0.4 s, has to stay within the slack and the burst. */
#define SETTLE_S 0.5
/* Level at which it settles, as a part of what the rate gives in a second. */
#define SETTLED_PART 0.1
/* A bucket is not overdrawn further than its burst times this. */
#define OVERDRAWN_MAX 1.0
/* Part of the overage and of the slack that is given out, with this number of
 * instances or fewer. */
#define TOLERANCE_PART	    0.6
#define TOLERANCE_INSTANCES 100.0
/* What instances use which hear no keeper, as parts of their equal part of the
 * rate and of the slack, and what the keeper reserves for them. */
#define ALONE_RATE_LEAST 0.5
#define ALONE_RATE_MOST	 1.0
#define ALONE_RESERVED	 0.5
#define ALONE_SLACK_PART 0.25
/* Time constant of what an instance admits a second: long enough for a few
 * requests of each account. */
#define ADMITTED_TAU_US 5e6
/* The own bucket holds what its rate gives in this time, besides. */
#define ALONE_FILL_S 2.0
/* Mean wait for a returning caller that would be admitted for certain; a keeper
 * that is silent has a successor within about 2 s. */
#define RETRY_BASE_MS	   500.0
#define RETRY_MAX_MS	   8000.0
#define RETRY_ALONE_MAX_MS 2000.0
#define US_PER_S	   1e6

/* The share of an instance. */

void bsh_account_share_init(bsh_account_share_t *share)
{
	memset(share, 0, sizeof(*share));
	share->fraction = 1.0;
}

static void note_admitted(bsh_account_share_t *share, double cost,
			  int64_t now_us)
{
	double elapsed_us = (double)(now_us - share->admitted_us);

	share->admitted_per_s =
		share->admitted_per_s * exp(-elapsed_us / ADMITTED_TAU_US) +
		cost * US_PER_S / ADMITTED_TAU_US;
	share->admitted_us = now_us;
}

static double own_rate(const bsh_account_share_t *share,
		       const bsh_account_bounds_t *bounds, uint32_t instances)
{
	double part = bounds->rate_per_s / MAX(instances, 1);

	return CLAMP(share->admitted_per_s, ALONE_RATE_LEAST * part,
		     ALONE_RATE_MOST * part);
}

static double own_slack(const bsh_account_bounds_t *bounds, uint32_t instances)
{
	return bounds->slack * ALONE_SLACK_PART / MAX(instances, 1);
}

static void fill_own(bsh_account_share_t *share,
		     const bsh_account_bounds_t *bounds, uint32_t instances,
		     int64_t now_us)
{
	double rate = own_rate(share, bounds, instances);
	double most = own_slack(bounds, instances) + rate * ALONE_FILL_S;

	if (share->own_us == 0)
		share->own_level = most;
	else
		share->own_level = MIN(
			share->own_level + (double)(now_us - share->own_us) /
						   US_PER_S * rate,
			most);
	share->own_us = now_us;
}

static bool admit_alone(bsh_account_share_t *share,
			const bsh_account_bounds_t *bounds, uint32_t cost,
			uint32_t instances, int64_t now_us)
{
	fill_own(share, bounds, instances, now_us);
	if (share->own_level < cost)
		return false;
	share->own_level -= cost;
	return true;
}

static bool admit_fraction(bsh_account_share_t *share, uint32_t cost)
{
	if (share->fraction >= 1.0) {
		share->credit = 0;
		return true;
	}
	share->credit += share->fraction * cost;
	if (share->credit < cost / 2.0)
		return false;
	share->credit -= cost;
	return true;
}

/* Age up to which what another instance sent is used. */
static int64_t max_age_us(int64_t least_us, uint32_t instances)
{
	return MAX(least_us,
		   (int64_t)(BSH_ACCOUNT_REPORTS_MISSED *
			     (double)bsh_account_report_us(instances)));
}

static bool is_alone(int64_t heard_us, uint32_t instances, int64_t now_us)
{
	return heard_us == 0 ||
	       now_us - heard_us >
		       max_age_us(BSH_ACCOUNT_SHARE_MAX_AGE_US, instances);
}

bool bsh_account_share_admit(bsh_account_share_t *share,
			     const bsh_account_bounds_t *bounds, uint32_t cost,
			     int64_t heard_us, uint32_t instances,
			     int64_t now_us)
{
	bool admitted;

	if (bounds->rate_per_s <= 0)
		return true;
	share->totals.offered += cost;
	if (is_alone(heard_us, instances, now_us)) {
		admitted = admit_alone(share, bounds, cost, instances, now_us);
	} else {
		admitted = admit_fraction(share, cost);
		/* The own bucket is filled anew only after it was not needed
		 * for a while. */
		if (share->own_us != 0)
			fill_own(share, bounds, instances, now_us);
	}
	note_admitted(share, admitted ? cost : 0, now_us);
	if (admitted)
		share->totals.admitted += cost;
	return admitted;
}

void bsh_account_share_give_back(bsh_account_share_t *share, uint32_t cost)
{
	share->totals.given_back += cost;
}

int64_t bsh_account_share_retry_ms(const bsh_account_share_t *share,
				   const bsh_account_bounds_t *bounds,
				   uint32_t cost, int64_t heard_us,
				   uint32_t instances, int64_t now_us)
{
	double rate = own_rate(share, bounds, instances);
	double ms = RETRY_ALONE_MAX_MS;

	if (!is_alone(heard_us, instances, now_us))
		return share->retry_ms;
	if (rate > 0)
		ms = (cost - share->own_level) / rate * 1e3;
	return (int64_t)CLAMP(ms, 0, RETRY_ALONE_MAX_MS);
}

int64_t bsh_account_report_us(uint32_t instances)
{
	return MAX(BSH_ACCOUNT_REPORT_US,
		   instances * BSH_ACCOUNT_REPORT_PER_INSTANCE_US);
}

/* The reports of an instance. */

void bsh_account_reporter_init(bsh_account_reporter_t *reporter)
{
	memset(reporter, 0, sizeof(*reporter));
}

void bsh_account_reporter_changed(bsh_account_reporter_t *reporter,
				  int64_t now_us)
{
	reporter->changed_us = now_us;
	reporter->answered_us = 0;
}

bool bsh_account_reporter_names_all(bsh_account_reporter_t *reporter,
				    uint32_t instances, int64_t now_us)
{
	if (reporter->begun_us == 0)
		reporter->begun_us = now_us;
	/* A keeper that does not answer for long may have begun anew. */
	return is_alone(reporter->answered_us, instances, now_us);
}

bool bsh_account_reporter_is_first(const bsh_account_reporter_t *reporter,
				   int64_t now_us)
{
	return !reporter->known &&
	       now_us - reporter->begun_us < BSH_ACCOUNT_NEW_US;
}

void bsh_account_reporter_answered(bsh_account_reporter_t *reporter,
				   int64_t asked_us)
{
	reporter->known = true;
	if (asked_us >= reporter->changed_us)
		reporter->answered_us = MAX(reporter->answered_us, asked_us);
}

/* The ledger. */

typedef struct {
	bsh_account_bounds_t bounds;
	double rate; /* given out, with what is used of the tolerance */
	double burst;
	double level;
	int64_t level_us;
	double offered_per_s;
	int64_t offered_us;
} account_t;

typedef struct {
	uint64_t incarnation;
	int64_t heard_us;
	bool counts_all;    /* nothing of its process is unknown */
	GHashTable *totals; /* account to bsh_account_totals_t */
} instance_t;

struct bsh_account_ledger {
	GHashTable *accounts;  /* hash of the name to account_t */
	GHashTable *instances; /* key to instance_t */
	int64_t begun_us;      /* first account; 0: none yet */
};

static void free_instance(void *data)
{
	instance_t *instance = data;

	g_hash_table_destroy(instance->totals);
	g_free(instance);
}

bsh_account_ledger_t *bsh_account_ledger_new(void)
{
	bsh_account_ledger_t *ledger = g_new0(bsh_account_ledger_t, 1);

	ledger->accounts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	ledger->instances = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, free_instance);
	return ledger;
}

void bsh_account_ledger_free(bsh_account_ledger_t *ledger)
{
	g_hash_table_destroy(ledger->instances);
	g_hash_table_destroy(ledger->accounts);
	g_free(ledger);
}

static account_t *find_account(const bsh_account_ledger_t *ledger,
			       uint32_t account)
{
	return g_hash_table_lookup(ledger->accounts, GUINT_TO_POINTER(account));
}

static void set_tolerance(account_t *entry, uint32_t instances)
{
	const bsh_account_bounds_t *bounds = &entry->bounds;
	double part = TOLERANCE_PART *
		      MIN(1.0, TOLERANCE_INSTANCES / MAX(instances, 1));

	entry->rate = bounds->rate_per_s * (1 + part * bounds->overage);
	entry->burst = bounds->burst * (1 + part * bounds->overage) +
		       part * bounds->slack;
}

void bsh_account_ledger_set(bsh_account_ledger_t *ledger, uint32_t account,
			    const bsh_account_bounds_t *bounds, double filled,
			    int64_t now_us)
{
	account_t *entry = find_account(ledger, account);

	if (ledger->begun_us == 0)
		ledger->begun_us = now_us;
	if (entry == NULL) {
		entry = g_new0(account_t, 1);
		entry->level = bounds->burst * filled;
		entry->level_us = now_us;
		entry->offered_us = now_us;
		g_hash_table_insert(ledger->accounts, GUINT_TO_POINTER(account),
				    entry);
	}
	entry->bounds = *bounds;
	set_tolerance(entry, 1);
	entry->level = MIN(entry->level, entry->burst);
}

typedef struct {
	bool (*keep)(void *ctx, uint32_t account);
	void *ctx;
} keeping_t;

static gboolean is_dropped(void *key, void *value, void *data)
{
	const keeping_t *keeping = data;

	(void)value;
	return !keeping->keep(keeping->ctx, GPOINTER_TO_UINT(key));
}

void bsh_account_ledger_keep(bsh_account_ledger_t *ledger,
			     bool (*keep)(void *ctx, uint32_t account),
			     void *ctx)
{
	keeping_t keeping = { keep, ctx };

	g_hash_table_foreach_remove(ledger->accounts, is_dropped, &keeping);
}

bool bsh_account_ledger_hear(bsh_account_ledger_t *ledger, uint64_t instance,
			     uint64_t incarnation, bool first, int64_t now_us)
{
	instance_t *entry = g_hash_table_lookup(ledger->instances, &instance);

	if (entry != NULL && incarnation < entry->incarnation)
		return false;
	if (entry == NULL) {
		entry = g_new0(instance_t, 1);
		entry->totals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		/* What was used before the ledger is in its first levels. */
		entry->counts_all = first && now_us - ledger->begun_us >=
						     BSH_ACCOUNT_NEW_US;
		g_hash_table_insert(ledger->instances,
				    g_memdup2(&instance, sizeof(instance)),
				    entry);
	} else if (entry->incarnation != incarnation) {
		g_hash_table_remove_all(entry->totals);
		entry->counts_all = true;
	}
	entry->incarnation = incarnation;
	entry->heard_us = now_us;
	return true;
}

static void note_offered(account_t *account, double offered, int64_t now_us)
{
	double elapsed_us = (double)MAX(now_us - account->offered_us, 0);
	double kept = exp(-elapsed_us / OFFERED_TAU_US);

	/* Sum of impulses that decay: its mean is the rate. */
	account->offered_per_s = account->offered_per_s * kept +
				 offered / (OFFERED_TAU_US / US_PER_S);
	account->offered_us = now_us;
}

void bsh_account_ledger_note(bsh_account_ledger_t *ledger, uint64_t instance,
			     uint32_t account,
			     const bsh_account_totals_t *totals, int64_t now_us)
{
	instance_t *from = g_hash_table_lookup(ledger->instances, &instance);
	account_t *entry = find_account(ledger, account);
	bsh_account_totals_t *last;
	double used;

	if (from == NULL)
		return;
	last = g_hash_table_lookup(from->totals, GUINT_TO_POINTER(account));
	if (last == NULL) {
		last = g_new0(bsh_account_totals_t, 1);
		if (!from->counts_all)
			*last = *totals;
		g_hash_table_insert(from->totals, GUINT_TO_POINTER(account),
				    last);
	}
	/* Reports may overtake one another. */
	if (totals->offered < last->offered ||
	    totals->given_back < last->given_back)
		return;
	if (entry != NULL) {
		used = (double)(totals->admitted - last->admitted) -
		       (double)(totals->given_back - last->given_back);
		entry->level =
			CLAMP(entry->level - used,
			      -entry->burst * OVERDRAWN_MAX, entry->burst);
		note_offered(entry, (double)(totals->offered - last->offered),
			     now_us);
	}
	*last = *totals;
}

static uint32_t count_reporting(const bsh_account_ledger_t *ledger,
				uint32_t instances, int64_t now_us)
{
	int64_t silent_us = max_age_us(BSH_ACCOUNT_SILENT_US, instances);
	GHashTableIter iter;
	void *value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, ledger->instances);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += now_us - ((const instance_t *)value)->heard_us <=
		     silent_us;
	return n;
}

double bsh_account_ledger_fraction(bsh_account_ledger_t *ledger,
				   uint32_t account, uint32_t instances,
				   int64_t now_us)
{
	account_t *entry = find_account(ledger, account);
	uint32_t reporting;
	double rate;
	double offered;
	double allowed;

	if (entry == NULL || entry->bounds.rate_per_s <= 0)
		return 1.0;
	reporting = MIN(count_reporting(ledger, instances, now_us), instances);
	set_tolerance(entry, instances);
	rate = entry->rate * (1.0 - ALONE_RESERVED * (instances - reporting) /
					    MAX(instances, 1));
	entry->level = MIN(entry->level + (double)(now_us - entry->level_us) /
						  US_PER_S * rate,
			   entry->burst);
	entry->level_us = now_us;
	note_offered(entry, 0, now_us);
	offered = entry->offered_per_s;
	allowed = rate + (entry->level - SETTLED_PART * rate) / SETTLE_S;
	if (allowed >= offered)
		return 1.0;
	return MAX(allowed, 0) / offered;
}

uint32_t bsh_account_ledger_retry_ms(const bsh_account_ledger_t *ledger,
				     uint32_t account)
{
	const account_t *entry = find_account(ledger, account);
	double rate;
	double ms;

	if (entry == NULL || entry->bounds.rate_per_s <= 0)
		return 0;
	rate = entry->bounds.rate_per_s;
	/* Until the bucket is at its settled level, and from then on one of so
	 * many callers is admitted. */
	ms = MAX(SETTLED_PART - entry->level / rate, 0) * 1e3 +
	     RETRY_BASE_MS * MAX(entry->offered_per_s / rate, 1.0);
	return (uint32_t)MIN(ms, RETRY_MAX_MS);
}

double bsh_account_ledger_level(const bsh_account_ledger_t *ledger,
				uint32_t account)
{
	const account_t *entry = find_account(ledger, account);

	return entry != NULL ? entry->level : 0;
}

double bsh_account_ledger_offered(const bsh_account_ledger_t *ledger,
				  uint32_t account)
{
	const account_t *entry = find_account(ledger, account);

	return entry != NULL ? entry->offered_per_s : 0;
}
