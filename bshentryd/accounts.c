/* Client accounts of requests: whether a key may be used, and the priority. */
#include "traffic.h"

#include <time.h>

#include "base/counter.h"
#include "base/log.h"

static bsh_counter_t unknown =
	BSH_COUNTER("bsh_account_keys_unknown_total",
		    "Requests refused as no client account has their key.");
static bsh_counter_t unconfirmed =
	BSH_COUNTER("bsh_account_keys_unconfirmed_total",
		    "Requests with a key refused as it was not certain that "
		    "the configuration is the newest.");

void accounts_register(void)
{
	bsh_counter_register(&unknown);
	bsh_counter_register(&unconfirmed);
}

int64_t accounts_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return now.tv_sec * INT64_C(1000000) + now.tv_nsec / 1000;
}

static int64_t load_us(const int64_t *value)
{
	return __atomic_load_n(value, __ATOMIC_RELAXED);
}

static void set_account(request_t *r, const bsh_account_rule_t *account)
{
	r->account[0] = '\0';
	r->priority = r->route->priority;
	if (account == NULL)
		return;
	g_strlcpy(r->account, account->name, sizeof(r->account));
	if (account->has_priority)
		r->priority = account->priority;
}

static void note_refusal(const request_t *r, bsh_access_t access,
			 int64_t proven_us)
{
	bool is_unknown = access == BSH_ACCESS_KEY_UNKNOWN;

	bsh_counter_add(is_unknown ? &unknown : &unconfirmed, 1);
	bsh_log(BSH_LOG_INFO,
		"account-refused id=%s reason=%s has_key=%d proof_age_ms=%d",
		r->info.log_id, is_unknown ? "unknown" : "unconfirmed",
		r->info.has_key,
		proven_us > 0 ? (int)((accounts_now_us() - proven_us) / 1000)
			      : -1);
}

bsh_access_t accounts_check(request_t *r)
{
	const traffic_t *t = r->traffic;
	const freshness_t *freshness = &t->entry->freshness;
	const bsh_accounts_t *accounts = t->view->catalog->accounts;
	const bsh_account_rule_t *account = NULL;
	bsh_access_input_t input = {
		.needs_key = accounts != NULL && !r->route->anonymous,
		.confirmed_age_us =
			traffic_now_us(t) - load_us(&freshness->config_us),
		.arrived_us = r->arrived_boot_us,
		.proven_us = load_us(&freshness->config_proof_us),
		.bound_us =
			t->entry->settings.accounts_revoke_ms * INT64_C(1000),
	};
	bsh_access_t access;

	r->has_accounts = accounts != NULL;
	if (input.needs_key && r->info.has_key)
		account = bsh_accounts_find_key(accounts, &r->info.key);
	input.key_known = account != NULL;
	set_account(r, account);
	access = bsh_access_decide(&input);
	if (access != BSH_ACCESS_GRANTED)
		note_refusal(r, access, input.proven_us);
	return access;
}
