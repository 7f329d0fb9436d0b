#include "account_keeper.h"

#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"

/* A successor that has heard of an earlier keeper begins with half of each burst:
 * what was used since is not known.  A process that has just started may follow
 * one that used all, and of several changes within the window of a limit only one
 * may add to the bursts: three within 5 s let 2,975 + 160 tokens pass in 8 s. */
#define FILLED_KNOWN   0.5
#define FILLED_UNKNOWN 0.0

/* Interval of log lines about accounts that are short. */
#define LOG_INTERVAL_US INT64_C(1000000)

static bsh_counter_t keeper_gauge =
	BSH_GAUGE("bsh_account_keeper",
		  "1 while this instance has the ledger of client accounts.");
static bsh_counter_t short_gauge = BSH_GAUGE(
	"bsh_accounts_short",
	"Client accounts at their limit, at the instance with the ledger.");

void account_keeper_register(void)
{
	bsh_counter_register(&keeper_gauge);
	bsh_counter_register(&short_gauge);
}

void account_keeper_init(account_keeper_t *keeper,
			 const account_keeper_ops_t *ops)
{
	memset(keeper, 0, sizeof(*keeper));
	keeper->ops = *ops;
	keeper->accounts = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	keeper->totals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	bsh_account_reporter_init(&keeper->reporter);
}

void account_keeper_finish(account_keeper_t *keeper)
{
	if (keeper->ledger != NULL)
		bsh_account_ledger_free(keeper->ledger);
	g_hash_table_destroy(keeper->totals);
	g_array_free(keeper->accounts, TRUE);
}

static bool has_limit(void *ctx, uint32_t account)
{
	const account_keeper_t *keeper = ctx;

	for (guint i = 0; i < keeper->accounts->len; i++)
		if (g_array_index(keeper->accounts, uint32_t, i) == account)
			return true;
	return false;
}

static void list_accounts(account_keeper_t *keeper,
			  const bsh_accounts_t *accounts)
{
	uint32_t n = accounts != NULL ? bsh_accounts_size(accounts) : 0;

	g_array_set_size(keeper->accounts, 0);
	for (uint32_t i = 0; i < n; i++) {
		const bsh_account_rule_t *account =
			bsh_accounts_at(accounts, i);

		if (account->rate_per_s > 0)
			g_array_append_val(keeper->accounts, account->hash);
	}
}

static void set_accounts(account_keeper_t *keeper,
			 const bsh_accounts_t *accounts,
			 const account_tolerance_t *tolerance, double filled,
			 int64_t now_us)
{
	for (guint i = 0; i < keeper->accounts->len; i++) {
		uint32_t hash = g_array_index(keeper->accounts, uint32_t, i);
		const bsh_account_rule_t *account =
			bsh_accounts_find(accounts, hash);
		bsh_account_bounds_t bounds = { account->rate_per_s,
						account->burst,
						tolerance->overage,
						tolerance->slack };

		bsh_account_ledger_set(keeper->ledger, hash, &bounds, filled,
				       now_us);
	}
	bsh_account_ledger_keep(keeper->ledger, has_limit, keeper);
}

/* Whether the keeper has been another, and the same, for a whole window. */
static bool is_settled(const account_keeper_t *keeper, int64_t window_us,
		       int64_t now_us)
{
	return keeper->heard_us > 0 && keeper->holder[0] != '\0' &&
	       now_us - keeper->holder_us >= window_us;
}

static void note_holder(account_keeper_t *keeper, const char *holder,
			int64_t now_us)
{
	if (holder[0] == '\0' || strcmp(holder, keeper->holder) == 0)
		return;
	g_strlcpy(keeper->holder, holder, sizeof(keeper->holder));
	keeper->holder_us = now_us;
	bsh_account_reporter_changed(&keeper->reporter, now_us);
}

static void end_ledger(account_keeper_t *keeper, int64_t now_us)
{
	bsh_account_ledger_free(keeper->ledger);
	keeper->ledger = NULL;
	keeper->holder[0] = '\0';
	keeper->holder_us = now_us;
}

void account_keeper_update(account_keeper_t *keeper,
			   const bsh_accounts_t *accounts,
			   const account_tolerance_t *tolerance, bool is_keeper,
			   int64_t now_us)
{
	bool keeps = is_keeper && accounts != NULL;
	double filled = is_settled(keeper, tolerance->window_us, now_us)
				? FILLED_KNOWN
				: FILLED_UNKNOWN;

	if (keeps != (keeper->ledger != NULL)) {
		bsh_log(BSH_LOG_INFO, "account-keeper active=%d", keeps);
		bsh_counter_set(&keeper_gauge, keeps);
		bsh_counter_set(&short_gauge, 0);
	}
	list_accounts(keeper, accounts);
	bsh_account_reporter_changed(&keeper->reporter, now_us);
	if (!keeps) {
		if (keeper->ledger != NULL)
			end_ledger(keeper, now_us);
		return;
	}
	if (keeper->ledger == NULL)
		keeper->ledger = bsh_account_ledger_new();
	set_accounts(keeper, accounts, tolerance, filled, now_us);
}

/* False if the report is one of a former process. */
static bool note_uses(const account_keeper_t *keeper, const char *instance,
		      uint64_t incarnation, bool first,
		      const bsh_account_use_t *uses, uint32_t n, int64_t now_us)
{
	uint64_t key = XXH64(instance, strlen(instance), 0);

	if (!bsh_account_ledger_hear(keeper->ledger, key, incarnation, first,
				     now_us))
		return false;
	for (uint32_t i = 0; i < n; i++) {
		bsh_account_totals_t totals = {
			.offered = uses[i].offered,
			.admitted = uses[i].admitted,
			.given_back = uses[i].given_back,
		};

		bsh_account_ledger_note(keeper->ledger, key, uses[i].account,
					&totals, now_us);
	}
	return true;
}

static void log_short(const account_keeper_t *keeper, const GArray *found,
		      uint32_t instances)
{
	for (guint i = 0; i < found->len; i++) {
		const bsh_account_fraction_t *entry =
			&g_array_index(found, bsh_account_fraction_t, i);

		bsh_log(BSH_LOG_INFO,
			"account-short account=%08x fraction=%.3f level=%.0f "
			"offered_per_s=%.0f instances=%u",
			entry->account, entry->millionths / 1e6,
			bsh_account_ledger_level(keeper->ledger,
						 entry->account),
			bsh_account_ledger_offered(keeper->ledger,
						   entry->account),
			instances);
	}
}

static bsh_account_fraction_t fraction_at(account_keeper_t *keeper, guint at,
					  uint32_t instances, int64_t now_us)
{
	bsh_account_fraction_t entry = {
		.account = g_array_index(keeper->accounts, uint32_t, at),
	};
	double fraction = bsh_account_ledger_fraction(
		keeper->ledger, entry.account, instances, now_us);

	entry.millionths = (uint32_t)(fraction * 1e6);
	entry.retry_ms =
		bsh_account_ledger_retry_ms(keeper->ledger, entry.account);
	return entry;
}

/* Accounts in turn, from a place that differs from answer to answer: more than an
 * answer can name are short. */
static void name_some(account_keeper_t *keeper, GArray *found,
		      uint32_t instances, int64_t now_us)
{
	guint n = MAX(keeper->accounts->len, 1);
	guint start = (guint)(XXH64(&now_us, sizeof(now_us), 0) % n);

	g_array_set_size(found, 0);
	for (guint i = 0; i < BSH_ACCOUNT_SHARES_MAX; i++) {
		bsh_account_fraction_t entry =
			fraction_at(keeper, (start + i) % n, instances, now_us);

		g_array_append_val(found, entry);
	}
}

/* The accounts of which not all is admitted. */
static GArray *find_short(account_keeper_t *keeper, uint32_t instances,
			  int64_t now_us)
{
	GArray *found =
		g_array_new(FALSE, FALSE, sizeof(bsh_account_fraction_t));

	for (guint i = 0; i < keeper->accounts->len; i++) {
		bsh_account_fraction_t entry =
			fraction_at(keeper, i, instances, now_us);

		if (entry.millionths < 1000000)
			g_array_append_val(found, entry);
	}
	keeper->short_accounts = found->len;
	bsh_counter_set(&short_gauge, found->len);
	if (found->len > 0 && now_us - keeper->logged_us >= LOG_INTERVAL_US) {
		keeper->logged_us = now_us;
		log_short(keeper, found, instances);
	}
	if (found->len >= BSH_ACCOUNT_SHARES_MAX)
		name_some(keeper, found, instances, now_us);
	return found;
}

static const bsh_account_fraction_t *fractions_of(const GArray *found)
{
	return &g_array_index(found, const bsh_account_fraction_t, 0);
}

static void send_uses(account_keeper_t *keeper,
		      const account_parties_t *parties, const GArray *uses,
		      int64_t now_us)
{
	bsh_message_t message = { .type = BSH_MSG_ACCOUNT_USE };
	uint32_t sent = 0;

	do {
		message.account_use.asked_us = (uint64_t)now_us;
		message.account_use.first = bsh_account_reporter_is_first(
			&keeper->reporter, now_us);
		message.account_use.uses =
			&g_array_index(uses, bsh_account_use_t, 0) + sent;
		message.account_use.use_count =
			MIN(uses->len - sent, BSH_ACCOUNT_USES_MAX);
		sent += message.account_use.use_count;
		keeper->ops.send(keeper->ops.ctx, parties->holder, &message);
	} while (sent < uses->len);
}

static bsh_account_use_t totals_of(const account_keeper_t *keeper,
				   uint32_t account)
{
	const bsh_account_use_t *use =
		g_hash_table_lookup(keeper->totals, GUINT_TO_POINTER(account));

	return use != NULL ? *use : (bsh_account_use_t){ .account = account };
}

/* What the report names: the accounts that were used lately, or all. */
static GArray *uses_to_report(account_keeper_t *keeper,
			      const bsh_account_use_t *uses, uint32_t n,
			      uint32_t instances, int64_t now_us)
{
	GArray *named = g_array_new(FALSE, FALSE, sizeof(bsh_account_use_t));

	for (uint32_t i = 0; i < n; i++)
		g_hash_table_replace(keeper->totals,
				     GUINT_TO_POINTER(uses[i].account),
				     g_memdup2(&uses[i], sizeof(uses[i])));
	if (!bsh_account_reporter_names_all(&keeper->reporter, instances,
					    now_us)) {
		g_array_append_vals(named, uses, n);
		return named;
	}
	for (guint i = 0; i < keeper->accounts->len; i++) {
		bsh_account_use_t use = totals_of(
			keeper, g_array_index(keeper->accounts, uint32_t, i));

		g_array_append_val(named, use);
	}
	return named;
}

/* Enters what this instance has used into its own ledger. */
static void report_to_self(account_keeper_t *keeper,
			   const account_parties_t *parties, const GArray *uses,
			   int64_t now_us)
{
	bool first = bsh_account_reporter_is_first(&keeper->reporter, now_us);
	g_autoptr(GArray) found = NULL;

	note_uses(keeper, parties->self, parties->incarnation, first,
		  &g_array_index(uses, const bsh_account_use_t, 0), uses->len,
		  now_us);
	found = find_short(keeper, parties->instances, now_us);
	keeper->ops.told(keeper->ops.ctx, fractions_of(found), found->len,
			 now_us);
	bsh_account_reporter_answered(&keeper->reporter, now_us);
}

void account_keeper_report(account_keeper_t *keeper,
			   const account_parties_t *parties,
			   const bsh_account_use_t *uses, uint32_t n,
			   int64_t now_us)
{
	g_autoptr(GArray) named = NULL;

	if (keeper->ledger == NULL)
		note_holder(keeper, parties->holder, now_us);
	named = uses_to_report(keeper, uses, n, parties->instances, now_us);
	if (keeper->ledger != NULL)
		report_to_self(keeper, parties, named, now_us);
	else if (parties->holder[0] != '\0')
		send_uses(keeper, parties, named, now_us);
}

void account_keeper_receive_use(account_keeper_t *keeper, const char *sender,
				uint64_t incarnation,
				const bsh_msg_account_use_t *message,
				uint32_t instances, int64_t now_us)
{
	bsh_message_t answer = { .type = BSH_MSG_ACCOUNT_SHARES };
	g_autoptr(GArray) found = NULL;

	if (keeper->ledger == NULL ||
	    !note_uses(keeper, sender, incarnation, message->first,
		       message->uses, message->use_count, now_us))
		return;
	found = find_short(keeper, instances, now_us);
	answer.account_shares.asked_us = message->asked_us;
	answer.account_shares.fractions = fractions_of(found);
	answer.account_shares.fraction_count = found->len;
	keeper->ops.send(keeper->ops.ctx, sender, &answer);
}

void account_keeper_receive_shares(account_keeper_t *keeper,
				   const bsh_msg_account_shares_t *message,
				   int64_t now_us)
{
	/* An earlier process of this machine may have asked, on a clock that
	 * began anew. */
	if ((int64_t)message->asked_us > now_us)
		return;
	keeper->heard_us = now_us;
	bsh_account_reporter_answered(&keeper->reporter,
				      (int64_t)message->asked_us);
	keeper->ops.told(keeper->ops.ctx, message->fractions,
			 message->fraction_count, (int64_t)message->asked_us);
}
