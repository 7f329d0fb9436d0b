#include "account_limits.h"

#include "base/counter.h"
#include "base/log.h"

typedef struct {
	bsh_account_share_t share;
	bsh_account_totals_t reported;
	char labels[2 * BSH_NAME_SIZE]; /* "": counters are not registered */
	bsh_counter_t allowance;
	bsh_counter_t admitted;
	bsh_counter_t refused;
	bsh_counter_t given_back;
} use_t;

static void free_use(void *data)
{
	use_t *use = data;

	bsh_counter_unregister(&use->allowance);
	bsh_counter_unregister(&use->admitted);
	bsh_counter_unregister(&use->refused);
	bsh_counter_unregister(&use->given_back);
	g_free(use);
}

void account_limits_init(account_limits_t *limits, double slack)
{
	limits->slack = slack;
	limits->heard_us = 0;
	limits->accounts = g_hash_table_new_full(NULL, NULL, NULL, free_use);
}

void account_limits_finish(account_limits_t *limits)
{
	g_hash_table_destroy(limits->accounts);
}

static use_t *use_of(const account_limits_t *limits, uint32_t account)
{
	use_t *use = g_hash_table_lookup(limits->accounts,
					 GUINT_TO_POINTER(account));

	if (use != NULL)
		return use;
	use = g_new0(use_t, 1);
	bsh_account_share_init(&use->share);
	g_hash_table_insert(limits->accounts, GUINT_TO_POINTER(account), use);
	return use;
}

static void register_counters(use_t *use, const bsh_account_rule_t *account)
{
	bsh_counter_set(&use->allowance, (int64_t)account->rate_per_s);
	if (use->labels[0] != '\0')
		return;
	g_snprintf(use->labels, sizeof(use->labels), "account=\"%s\"",
		   account->name);
	use->allowance = (bsh_counter_t){
		.name = "bsh_account_allowance_per_s",
		.help = "Limit of the client account over all instances, in "
			"tokens or requests.",
		.labels = use->labels,
		.is_gauge = 1,
		.value = (int64_t)account->rate_per_s,
	};
	use->admitted = (bsh_counter_t){
		.name = "bsh_account_admitted_total",
		.help = "Tokens or requests of the account that were admitted.",
		.labels = use->labels,
	};
	use->refused = (bsh_counter_t){
		.name = "bsh_account_refused_total",
		.help = "Tokens or requests refused as they exceed the limit "
			"of the account.",
		.labels = use->labels,
	};
	use->given_back = (bsh_counter_t){
		.name = "bsh_account_given_back_total",
		.help = "Tokens or requests that were admitted and have not "
			"run.",
		.labels = use->labels,
	};
	bsh_counter_register(&use->allowance);
	bsh_counter_register(&use->admitted);
	bsh_counter_register(&use->refused);
	bsh_counter_register(&use->given_back);
}

static bsh_account_bounds_t bounds_of(const account_limits_t *limits,
				      const bsh_account_rule_t *account)
{
	/* The overage is given out by the keeper alone. */
	return (bsh_account_bounds_t){ account->rate_per_s, account->burst, 0,
				       limits->slack };
}

uint32_t account_limits_cost(const bsh_account_rule_t *account, uint64_t tokens)
{
	if (!account->counts_tokens)
		return 1;
	if (tokens == 0)
		return account->plain_tokens;
	return (uint32_t)MIN(tokens, UINT32_MAX);
}

bool account_limits_admit(account_limits_t *limits,
			  const bsh_account_rule_t *account, uint32_t cost,
			  uint32_t instances, int64_t now_us)
{
	bsh_account_bounds_t bounds = bounds_of(limits, account);
	use_t *use = use_of(limits, account->hash);
	bool admitted =
		bsh_account_share_admit(&use->share, &bounds, cost,
					limits->heard_us, instances, now_us);

	register_counters(use, account);
	bsh_counter_add(admitted ? &use->admitted : &use->refused, cost);
	return admitted;
}

void account_limits_give_back(account_limits_t *limits, uint32_t account,
			      uint32_t cost)
{
	use_t *use = use_of(limits, account);

	bsh_account_share_give_back(&use->share, cost);
	bsh_counter_add(&use->given_back, cost);
}

int64_t account_limits_retry_ms(account_limits_t *limits,
				const bsh_account_rule_t *account,
				uint32_t cost, uint32_t instances,
				int64_t now_us)
{
	bsh_account_bounds_t bounds = bounds_of(limits, account);

	return bsh_account_share_retry_ms(&use_of(limits, account->hash)->share,
					  &bounds, cost, limits->heard_us,
					  instances, now_us);
}

void account_limits_standing(const account_limits_t *limits,
			     const bsh_account_rule_t *account, uint32_t cost,
			     uint32_t instances, int64_t now_us,
			     account_standing_t *standing)
{
	bsh_account_bounds_t bounds = bounds_of(limits, account);
	const use_t *use = g_hash_table_lookup(limits->accounts,
					       GUINT_TO_POINTER(account->hash));
	bsh_account_share_t share;

	if (use != NULL)
		share = use->share;
	else
		bsh_account_share_init(&share);
	standing->fraction = share.fraction;
	standing->admits = bsh_account_share_admit(
		&share, &bounds, cost, limits->heard_us, instances, now_us);
	standing->retry_ms = bsh_account_share_retry_ms(
		&share, &bounds, cost, limits->heard_us, instances, now_us);
}

GArray *account_limits_collect(account_limits_t *limits)
{
	GArray *uses = g_array_new(FALSE, FALSE, sizeof(bsh_account_use_t));
	GHashTableIter iter;
	void *account;
	void *value;

	g_hash_table_iter_init(&iter, limits->accounts);
	while (g_hash_table_iter_next(&iter, &account, &value)) {
		use_t *use = value;
		const bsh_account_totals_t *totals = &use->share.totals;
		bsh_account_use_t entry = {
			.account = GPOINTER_TO_UINT(account),
			.offered = totals->offered,
			.admitted = totals->admitted,
			.given_back = totals->given_back,
		};

		if (totals->offered == use->reported.offered &&
		    totals->given_back == use->reported.given_back)
			continue;
		use->reported = *totals;
		g_array_append_val(uses, entry);
	}
	return uses;
}

void account_limits_told(account_limits_t *limits,
			 const bsh_account_fraction_t *fractions, uint32_t n,
			 int64_t asked_us)
{
	GHashTableIter iter;
	void *use;

	if (asked_us < limits->heard_us)
		return;
	limits->heard_us = asked_us;
	g_hash_table_iter_init(&iter, limits->accounts);
	/* A full list does not name all accounts that are short. */
	while (n < BSH_ACCOUNT_SHARES_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &use))
		((use_t *)use)->share.fraction = 1.0;
	for (uint32_t i = 0; i < n; i++) {
		bsh_account_share_t *share =
			&use_of(limits, fractions[i].account)->share;

		share->fraction = fractions[i].millionths / 1e6;
		share->retry_ms = fractions[i].retry_ms;
	}
}
