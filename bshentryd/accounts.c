/* Client accounts of requests: whether a key may be used, and the priority. */
#include "traffic.h"

#include <string.h>
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

static void report(void *ctx)
{
	traffic_t *t = ctx;
	control_account_use_msg_t *message;
	uint32_t instances = t->view != NULL ? t->view->instances : 1;

	bsh_loop_timer_after(&t->accounts_timer,
			     bsh_account_report_us(instances));
	if (t->view == NULL || t->view->catalog->accounts == NULL)
		return;
	message = g_new0(control_account_use_msg_t, 1);
	message->control = t->entry->control;
	message->uses = account_limits_collect(&t->account_limits);
	bsh_loop_post(&t->entry->control_loop, control_account_use, message);
}

void accounts_init(traffic_t *t)
{
	bsh_counter_register(&unknown);
	bsh_counter_register(&unconfirmed);
	account_limits_init(&t->account_limits,
			    t->entry->settings.accounts_limit_slack);
	bsh_fair_order_init(&t->fair_order);
	bsh_confirmation_init(&t->config_confirmation);
	bsh_loop_timer_init(&t->accounts_timer, t->loop, report, t);
	bsh_loop_timer_after(&t->accounts_timer, 0);
}

void accounts_finish(traffic_t *t)
{
	bsh_loop_timer_stop(&t->accounts_timer);
	bsh_fair_order_finish(&t->fair_order);
	account_limits_finish(&t->account_limits);
}

void traffic_set_account_shares(void *data)
{
	traffic_account_shares_msg_t *message = data;

	account_limits_told(&message->traffic->account_limits,
			    &g_array_index(message->fractions,
					   const bsh_account_fraction_t, 0),
			    message->fractions->len, message->asked_us);
	g_array_free(message->fractions, TRUE);
	g_free(message);
}

int64_t accounts_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return now.tv_sec * INT64_C(1000000) + now.tv_nsec / 1000;
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

/* The moment at which the configuration of the view was the newest.  The control
 * thread may have adopted a newer one: its moment says nothing about this one. */
static int64_t update_proof(traffic_t *t)
{
	const freshness_t *freshness = &t->entry->freshness;
	int64_t proven_us =
		__atomic_load_n(&freshness->config_proof_us, __ATOMIC_ACQUIRE);
	uint64_t version =
		__atomic_load_n(&freshness->config_version, __ATOMIC_RELAXED);

	if (version <= t->view->catalog->version)
		t->config_proof_us = proven_us;
	return t->config_proof_us;
}

/* When the configuration of the view was last confirmed.  The moment of a newer one
 * is published before its view: it does not make a key unknown that only the newer
 * one has. */
static int64_t confirmed_us(traffic_t *t)
{
	const freshness_t *freshness = &t->entry->freshness;
	int64_t at_us =
		__atomic_load_n(&freshness->config_us, __ATOMIC_ACQUIRE);
	uint64_t version =
		__atomic_load_n(&freshness->config_version, __ATOMIC_RELAXED);

	bsh_confirmation_follow(&t->config_confirmation,
				t->view->catalog->version, version, at_us);
	return t->config_confirmation.confirmed_us;
}

/* Whether the route is anonymous in the configuration in force: a request that
 * runs, or whose answer has begun, keeps the route of an earlier one. */
static bool is_anonymous(const request_t *r)
{
	const bsh_catalog_t *catalog = r->traffic->view->catalog;
	const bsh_route_rule_t *route = NULL;

	if (r->catalog != catalog)
		route = bsh_catalog_match(
			catalog, bsh_http_request_header(r->http, "Host"),
			bsh_http_request_path(r->http));
	return route != NULL ? route->anonymous : r->route->anonymous;
}

static bool needs_key(const request_t *r)
{
	return r->traffic->view->catalog->accounts != NULL && !is_anonymous(r);
}

/* Whether the request was passed on without a digest of a key as the
 * configuration of that instance, an earlier one, may have no accounts.  Its caller
 * may have sent a key: what it sent is not used, as a key is not to travel between
 * instances. */
static bool is_key_omitted(const request_t *r)
{
	return r->from_peer && !r->info.has_key &&
	       r->peer_version < r->traffic->view->catalog->version;
}

static bsh_access_t decide(const request_t *r, bool key_needed, bool key_known,
			   int64_t proven_us)
{
	traffic_t *t = r->traffic;
	bsh_access_input_t input = {
		.needs_key = key_needed,
		.key_known = key_known,
		.key_omitted = is_key_omitted(r),
		.confirmed_age_us = traffic_now_us(t) - confirmed_us(t),
		.arrived_us = r->arrived_boot_us,
		.proven_us = proven_us,
		.bound_us =
			t->entry->settings.accounts_revoke_ms * INT64_C(1000),
	};

	return bsh_access_decide(&input);
}

bsh_access_t accounts_access(const request_t *r, bool key_known)
{
	return decide(r, needs_key(r), key_known, update_proof(r->traffic));
}

static bsh_access_t check(request_t *r, int64_t *proven_us)
{
	const bsh_accounts_t *accounts = r->traffic->view->catalog->accounts;
	const bsh_account_rule_t *account = NULL;
	bool key_needed = needs_key(r);

	*proven_us = update_proof(r->traffic);
	r->has_accounts = accounts != NULL;
	if (key_needed && r->info.has_key)
		account = bsh_accounts_find_key(accounts, &r->info.key);
	set_account(r, account);
	return decide(r, key_needed, account != NULL, *proven_us);
}

bool accounts_are_unchanged(request_t *r)
{
	bool has_accounts = r->has_accounts;
	char account[BSH_NAME_SIZE];
	int64_t proven_us;

	g_strlcpy(account, r->account, sizeof(account));
	return check(r, &proven_us) == BSH_ACCESS_GRANTED &&
	       r->has_accounts == has_accounts &&
	       strcmp(r->account, account) == 0;
}

/* The account whose limit counts the request, by the configuration in force;
 * NULL: none. */
static const bsh_account_rule_t *limited_account(const request_t *r)
{
	const bsh_accounts_t *accounts = r->traffic->view->catalog->accounts;
	const bsh_account_rule_t *account;

	/* The instance that read the request first has counted it. */
	if (accounts == NULL || r->from_peer || !r->info.has_key ||
	    is_anonymous(r))
		return NULL;
	account = bsh_accounts_find_key(accounts, &r->info.key);
	return account != NULL && account->rate_per_s > 0 ? account : NULL;
}

/* Ends the charge of a request whose key is no longer of the account that it was
 * charged to.  What may have run stays charged. */
static void end_charge(request_t *r)
{
	if (r->charged > 0 && r->runs == 0 && !r->may_have_run &&
	    !r->attempt->active)
		account_limits_give_back(&r->traffic->account_limits,
					 r->charged_account, r->charged);
	r->charged = 0;
	r->charged_account = 0;
}

static bool charge(request_t *r, const bsh_account_rule_t *account,
		   int64_t *retry_ms)
{
	traffic_t *t = r->traffic;
	uint32_t instances = t->view->instances;
	int64_t now_us = accounts_now_us();
	uint32_t cost =
		account_limits_cost(account, (uint64_t)r->info.prompt_tokens +
						     r->info.answer_tokens);

	if (account_limits_admit(&t->account_limits, account, cost, instances,
				 now_us)) {
		r->charged = cost;
		r->charged_account = account->hash;
		r->fair_tag = bsh_fair_order_tag(&t->fair_order, account->hash,
						 cost, account->rate_per_s);
		return true;
	}
	*retry_ms = account_limits_retry_ms(&t->account_limits, account, cost,
					    instances, now_us);
	bsh_log(BSH_LOG_INFO,
		"account-limited id=%s account=%s cost=%u retry_ms=%d",
		r->info.log_id, account->name, cost, (int)*retry_ms);
	return false;
}

/* Charges the request to the account that its key is of now.  False if it exceeds
 * the limit of that one. */
static bool follow_key(request_t *r, int64_t *retry_ms)
{
	const bsh_account_rule_t *account = limited_account(r);

	*retry_ms = 0;
	if (r->charged_account == (account != NULL ? account->hash : 0))
		return true;
	end_charge(r);
	/* Requests without a limit go in the order of their arrival. */
	r->fair_tag = r->traffic->fair_order.virtual_time;
	return account == NULL || charge(r, account, retry_ms);
}

bool accounts_admit(request_t *r, int64_t *retry_ms)
{
	r->fair_tag = r->traffic->fair_order.virtual_time;
	return follow_key(r, retry_ms);
}

bsh_error_t accounts_check(request_t *r, int64_t *retry_ms)
{
	int64_t proven_us;
	bsh_access_t access = check(r, &proven_us);

	if (access == BSH_ACCESS_GRANTED)
		return follow_key(r, retry_ms) ? BSH_OK : BSH_ERR_RATE_LIMITED;
	note_refusal(r, access, proven_us);
	*retry_ms = access == BSH_ACCESS_KEY_UNKNOWN ? -1 : RETRY_DEFAULT_MS;
	return access == BSH_ACCESS_KEY_UNKNOWN ? BSH_ERR_KEY_UNKNOWN
						: BSH_ERR_STALE_CONFIG;
}

void accounts_sent(const request_t *r)
{
	bsh_fair_order_sent(&r->traffic->fair_order, r->fair_tag);
}

void accounts_settle(request_t *r)
{
	if (r->charged > 0 && r->runs == 0 && !r->may_have_run)
		account_limits_give_back(&r->traffic->account_limits,
					 r->charged_account, r->charged);
	r->charged = 0;
}
