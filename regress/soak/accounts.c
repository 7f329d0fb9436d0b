/* Client accounts of the fault soak: their keys in the configurations, the keys of
 * callers, and the invariants of what workers see of them. */
#include <stdio.h>
#include <string.h>

#include "soak/soak.h"

/* Keys by their number: two of the limited account, of which one is removed at
 * times; those that move, one that is never changed, one that no configuration has,
 * and none at all. */
#define KEY_LIMITED	  0
#define KEY_LIMITED_SPARE 1
#define KEY_FIRST_MOVING  2
#define KEY_STEADY	  7
#define KEY_UNKNOWN	  SOAK_KEYS
#define KEY_NONE	  (SOAK_KEYS + 1)
#define ACCOUNT_LIMITED	  2
#define ACCOUNT_NONE	  (-1)
#define UNKNOWN_RATE	  8 /* one of so many requests has no known key */
#define LIMITED_RATE	  3 /* one of so many is of the limited account */
#define CHANGES_MAX	  3 /* of keys in a configuration */
#define US_PER_S	  INT64_C(1000000)
#define REVOKE_US	  (SOAK_REVOKE_MS * INT64_C(1000))
/* An instance denies an unknown key by a configuration that was confirmed within
 * 2 s; a process that has just been resumed learns the time late. */
#define DENIED_US (4 * US_PER_S)

static const char *const names[] = { "acme", "zinc", "lime" };

/* A request as its caller sent it. */
typedef struct {
	int64_t sent_us;
	uint32_t key;
	uint32_t cost;
	bool anonymous;
	bool counted; /* in the runs of the limited account */
	uint32_t entry;
} attempt_t;

typedef struct {
	int64_t since_us;
	int owner; /* index of names, or ACCOUNT_NONE */
} ownership_t;

typedef struct {
	int64_t at_us;
	int64_t sent_us;
	uint32_t cost;
	uint32_t entry; /* instance that its caller asked */
} limited_run_t;

static uint32_t below(soak_t *soak, uint32_t n)
{
	return bsh_rng_below(&soak->accounts.rng, n);
}

/* The configurations. */

static int owner_of(const soak_t *soak, uint32_t key)
{
	const GArray *owners = soak->accounts.owners[key];

	return g_array_index(owners, ownership_t, owners->len - 1).owner;
}

static void set_owner(soak_t *soak, uint32_t key, int owner, int64_t now_us)
{
	ownership_t ownership = { now_us, owner };

	g_array_append_val(soak->accounts.owners[key], ownership);
}

/* Adds, moves or removes a key. */
static void change_key(soak_t *soak, int64_t now_us)
{
	uint32_t key =
		KEY_LIMITED_SPARE + below(soak, KEY_STEADY - KEY_LIMITED_SPARE);
	int owner = (int)below(soak, ACCOUNT_LIMITED + 1);

	/* A request that waits while its key moves to the limited account was not
	 * counted when it came, so no key moves there. */
	if (key == KEY_LIMITED_SPARE)
		owner = owner_of(soak, key) == ACCOUNT_NONE ? ACCOUNT_LIMITED
							    : ACCOUNT_NONE;
	else if (owner == ACCOUNT_LIMITED)
		owner = ACCOUNT_NONE;
	set_owner(soak, key, owner, now_us);
}

void soak_accounts_remove_key(soak_t *soak)
{
	uint32_t first = below(soak, KEY_STEADY - KEY_FIRST_MOVING);

	for (uint32_t i = 0; i < KEY_STEADY - KEY_FIRST_MOVING; i++) {
		uint32_t key = KEY_FIRST_MOVING +
			       (first + i) % (KEY_STEADY - KEY_FIRST_MOVING);

		if (owner_of(soak, key) == ACCOUNT_NONE)
			continue;
		set_owner(soak, key, ACCOUNT_NONE, bsh_loop_clock_us());
		return;
	}
}

static void append_account(const soak_t *soak, int account, GString *text)
{
	const char *separator = "";

	g_string_append_printf(text, "%s{\"name\":\"%s\",\"apiKeys\":[",
			       account > 0 ? "," : "", names[account]);
	for (uint32_t key = 0; key < SOAK_KEYS; key++) {
		if (owner_of(soak, key) != account)
			continue;
		g_string_append_printf(text, "%s\"key-%u\"", separator, key);
		separator = ",";
	}
	g_string_append_c(text, ']');
	if (account == ACCOUNT_LIMITED)
		g_string_append_printf(
			text,
			",\"unit\":\"tokens\",\"plainTokens\":50,"
			"\"ratePerS\":%d,\"burst\":%d",
			SOAK_LIMIT_RATE, SOAK_LIMIT_BURST);
	g_string_append_c(text, '}');
}

void soak_accounts_configure(soak_t *soak)
{
	g_autoptr(GString) text = g_string_new("[");
	int64_t now_us = bsh_loop_clock_us();
	uint32_t changes;

	if (!soak->accounts.used)
		return;
	for (changes = below(soak, CHANGES_MAX + 1); changes > 0; changes--)
		change_key(soak, now_us);
	for (int i = 0; i < (int)G_N_ELEMENTS(names); i++)
		append_account(soak, i, text);
	g_string_append_c(text, ']');
	g_free(soak->accounts.text);
	soak->accounts.text = g_strdup(text->str);
	soak->rig.accounts = soak->accounts.text;
}

/* What is known of the keys. */

/* Returns true if the key was one of the account's, or of any for a negative one,
 * at a time between the two. */
static bool was_owned(const soak_t *soak, uint32_t key, int account,
		      int64_t from_us, int64_t to_us)
{
	const GArray *owners = soak->accounts.owners[key];

	for (guint i = 0; i < owners->len; i++) {
		const ownership_t *ownership =
			&g_array_index(owners, ownership_t, i);
		int64_t end_us =
			i + 1 < owners->len ? ownership[1].since_us : INT64_MAX;

		if (ownership->owner != ACCOUNT_NONE &&
		    (account < 0 || ownership->owner == account) &&
		    ownership->since_us <= to_us && end_us >= from_us)
			return true;
	}
	return false;
}

/* Returns true if the key had an account all the time since then. */
static bool is_owned_since(const soak_t *soak, uint32_t key, int64_t from_us)
{
	const GArray *owners = soak->accounts.owners[key];

	for (guint i = owners->len; i > 0; i--) {
		const ownership_t *ownership =
			&g_array_index(owners, ownership_t, i - 1);

		if (ownership->owner == ACCOUNT_NONE)
			return false;
		if (ownership->since_us < from_us)
			return true;
	}
	return true;
}

bool soak_accounts_owes(const soak_t *soak, const soak_caller_t *caller)
{
	if (!soak->accounts.used || caller->route->anonymous)
		return true;
	return caller->key < SOAK_KEYS &&
	       is_owned_since(soak, caller->key,
			      caller->started_us - DENIED_US);
}

bool soak_accounts_is_limited(const soak_t *soak, const soak_caller_t *caller)
{
	return soak->accounts.used && !caller->route->anonymous &&
	       caller->key <= KEY_LIMITED_SPARE;
}

/* Callers. */

static uint32_t choose_key(soak_t *soak)
{
	uint32_t key =
		KEY_FIRST_MOVING + below(soak, SOAK_KEYS - KEY_FIRST_MOVING);

	if (soak->settled)
		return owner_of(soak, key) != ACCOUNT_NONE ? key : KEY_STEADY;
	if (below(soak, UNKNOWN_RATE) == 0)
		return KEY_UNKNOWN + below(soak, 2);
	if (below(soak, LIMITED_RATE) == 0)
		return below(soak, KEY_FIRST_MOVING);
	return key;
}

void soak_accounts_choose_key(soak_t *soak, soak_caller_t *caller)
{
	if (soak->accounts.used)
		caller->key = choose_key(soak);
}

rig_entry_t *soak_accounts_choose_entry(soak_t *soak,
					const soak_caller_t *caller)
{
	if (!soak->accounts.used || caller->key >= SOAK_KEYS ||
	    was_owned(soak, caller->key, ACCOUNT_NONE,
		      bsh_loop_clock_us() - REVOKE_US, INT64_MAX))
		return NULL;
	for (uint32_t i = 0; i < soak->rig.n_entries; i++)
		if (soak->rig.entries[i].stopped)
			return &soak->rig.entries[i];
	return NULL;
}

void soak_accounts_sign(soak_t *soak, soak_caller_t *caller,
			rig_request_t *request)
{
	attempt_t *attempt;
	uint32_t answer;

	if (!soak->accounts.used)
		return;
	answer = SOAK_COST_MIN + below(soak, SOAK_COST_MAX - SOAK_COST_MIN);
	g_snprintf(caller->tokens, sizeof(caller->tokens), "2,%u", answer - 2);
	request->tokens = caller->tokens;
	request->claimed_account = names[below(soak, G_N_ELEMENTS(names))];
	if (caller->key != KEY_NONE) {
		g_snprintf(caller->authorization, sizeof(caller->authorization),
			   "Bearer key-%u", caller->key);
		request->authorization = caller->authorization;
	}
	attempt = g_new0(attempt_t, 1);
	attempt->sent_us = bsh_loop_clock_us();
	attempt->key = caller->key;
	attempt->cost = answer;
	attempt->anonymous = caller->route->anonymous;
	attempt->entry = (uint32_t)(caller->entry - soak->rig.entries);
	g_hash_table_replace(soak->accounts.attempts, g_strdup(caller->id),
			     attempt);
}

/* Workers. */

static void report_run(soak_t *soak, const char *violation,
		       const worker_t *worker, const char *id,
		       const attempt_t *attempt)
{
	int64_t now_us = bsh_loop_clock_us();

	soak->broken++;
	printf("BROKEN %s id=%s key=%u account=%s worker=%s "
	       "sent_before_ms=%d",
	       violation, id, attempt->key, worker->account, worker->id,
	       (int)((now_us - attempt->sent_us) / 1000));
	if (attempt->key < SOAK_KEYS) {
		const GArray *owners = soak->accounts.owners[attempt->key];
		const ownership_t *last =
			&g_array_index(owners, ownership_t, owners->len - 1);

		printf(" owner=%d changed_before_ms=%d", last->owner,
		       (int)((now_us - last->since_us) / 1000));
	}
	putchar('\n');
}

static int find_account(const char *name)
{
	for (int i = 0; i < (int)G_N_ELEMENTS(names); i++)
		if (strcmp(names[i], name) == 0)
			return i;
	return ACCOUNT_NONE;
}

/* Checks that the key had the account at a time that the instance may take for
 * the present: within the bound of removals before the request was sent, and
 * later, as the request may have waited. */
static const char *find_violation(const soak_t *soak, const worker_t *worker,
				  const attempt_t *attempt)
{
	int64_t now_us = bsh_loop_clock_us();
	int64_t from_us = attempt->sent_us - REVOKE_US;
	int account = find_account(worker->account);

	if (attempt->anonymous)
		return worker->account[0] != '\0' ? "account-of-anonymous"
						  : NULL;
	if (attempt->key >= SOAK_KEYS)
		return "unknown-key-ran";
	if (!was_owned(soak, attempt->key, ACCOUNT_NONE, from_us, now_us))
		return "removed-key-ran";
	if (account == ACCOUNT_NONE ||
	    !was_owned(soak, attempt->key, account, from_us, now_us))
		return "wrong-account";
	return NULL;
}

static void on_run(void *ctx, const worker_t *worker, const char *id)
{
	soak_t *soak = ctx;
	attempt_t *attempt = g_hash_table_lookup(soak->accounts.attempts, id);
	const char *violation;
	limited_run_t run;

	if (attempt == NULL)
		return;
	violation = find_violation(soak, worker, attempt);
	if (violation != NULL)
		report_run(soak, violation, worker, id, attempt);
	/* An attempt that runs again was admitted once. */
	if (attempt->counted ||
	    strcmp(worker->account, names[ACCOUNT_LIMITED]) != 0)
		return;
	attempt->counted = true;
	run = (limited_run_t){ bsh_loop_clock_us(), attempt->sent_us,
			       attempt->cost, attempt->entry };
	g_array_append_val(soak->accounts.runs, run);
}

/* Checks at the end. */

/* Most tokens of the limited account that ran in any window, and its last run. */
static uint32_t most_in_window(const soak_t *soak, guint *last)
{
	const GArray *runs = soak->accounts.runs;
	uint32_t sum = 0;
	uint32_t most = 0;
	guint first = 0;

	for (guint i = 0; i < runs->len; i++) {
		const limited_run_t *run =
			&g_array_index(runs, limited_run_t, i);

		sum += run->cost;
		while (run->at_us -
			       g_array_index(runs, limited_run_t, first).at_us >
		       SOAK_LIMIT_WINDOW_S * US_PER_S)
			sum -= g_array_index(runs, limited_run_t, first++).cost;
		if (sum > most)
			*last = i;
		most = MAX(most, sum);
	}
	return most;
}

/* Prints the runs of the window that ends with this one: the time before its end,
 * the instance, the tokens and the wait of each. */
static void print_window(const soak_t *soak, guint last)
{
	const limited_run_t *runs =
		&g_array_index(soak->accounts.runs, limited_run_t, 0);
	guint first = last;

	while (first > 0 && runs[last].at_us - runs[first - 1].at_us <=
				    SOAK_LIMIT_WINDOW_S * US_PER_S)
		first--;
	for (guint i = first; i <= last; i++)
		printf(" -%d:%s:%u:%d",
		       (int)((runs[last].at_us - runs[i].at_us) / 1000),
		       soak->rig.entries[runs[i].entry].name, runs[i].cost,
		       (int)((runs[i].at_us - runs[i].sent_us) / 1000));
	putchar('\n');
}

void soak_accounts_check(soak_t *soak)
{
	uint32_t bound = (uint32_t)((SOAK_LIMIT_RATE * SOAK_LIMIT_WINDOW_S +
				     SOAK_LIMIT_BURST) *
					    (1 + SOAK_LIMIT_OVERAGE) +
				    SOAK_LIMIT_SLACK);
	uint32_t most;
	guint last = 0;

	if (!soak->accounts.used)
		return;
	most = most_in_window(soak, &last);
	if (most > bound) {
		soak->broken++;
		printf("BROKEN limit most=%u bound=%u runs:", most, bound);
		print_window(soak, last);
	}
	for (uint32_t i = 0; i < soak->rig.n_workers; i++) {
		const worker_t *worker = &soak->rig.workers[i];

		if (worker->keys_seen == 0)
			continue;
		soak->broken++;
		printf("BROKEN key-at-worker worker=%s times=%u\n", worker->id,
		       worker->keys_seen);
	}
	printf("accounts denied=%u limited_runs=%u most=%u bound=%u\n",
	       soak->accounts.denied, soak->accounts.runs->len, most, bound);
}

void soak_accounts_init(soak_t *soak, uint32_t seed)
{
	static const int first_owners[SOAK_KEYS] = { 2, 2, 0, 0, 1, 1, -1, 0 };

	soak->accounts.used = true;
	bsh_rng_init(&soak->accounts.rng, seed);
	soak->accounts.attempts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	soak->accounts.runs = g_array_new(FALSE, FALSE, sizeof(limited_run_t));
	for (uint32_t key = 0; key < SOAK_KEYS; key++) {
		soak->accounts.owners[key] =
			g_array_new(FALSE, FALSE, sizeof(ownership_t));
		set_owner(soak, key, first_owners[key], 0);
	}
}

void soak_accounts_start(soak_t *soak)
{
	if (!soak->accounts.used)
		return;
	soak->rig.settings = "[accounts]\nrevoke_ms=" G_STRINGIFY(
		SOAK_REVOKE_MS) "\nlimit_slack=" G_STRINGIFY(SOAK_LIMIT_SLACK) "\n";
	soak->rig.on_run = on_run;
	soak->rig.on_run_ctx = soak;
}

void soak_accounts_finish(soak_t *soak)
{
	if (!soak->accounts.used)
		return;
	g_hash_table_destroy(soak->accounts.attempts);
	g_array_free(soak->accounts.runs, TRUE);
	for (uint32_t key = 0; key < SOAK_KEYS; key++)
		g_array_free(soak->accounts.owners[key], TRUE);
	g_free(soak->accounts.text);
	bsh_rng_finish(&soak->accounts.rng);
}
