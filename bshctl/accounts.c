/* Client accounts, from the metrics of bshentryd instances. */
#include "bshctl.h"

#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/json_text.h"

#define HTTP_OK 200

/* Metrics with the label account, as bshentryd names them. */
enum {
	ADMITTED,
	REFUSED,
	GIVEN_BACK,
	SUMS
};

static const char *const sum_names[SUMS] = {
	[ADMITTED] = "bsh_account_admitted_total",
	[REFUSED] = "bsh_account_refused_total",
	[GIVEN_BACK] = "bsh_account_given_back_total",
};
static const char allowance_name[] = "bsh_account_allowance_per_s";
static const char keeper_name[] = "bsh_account_keeper";

typedef struct {
	bool has_allowance;
	/* Instances with different configurations have different ones. */
	int64_t allowance_low;
	int64_t allowance_high;
	int64_t sums[SUMS];
} account_t;

typedef struct {
	GTree *accounts; /* name to account_t */
	GPtrArray
		*ledgers; /* addresses of the instances that have the ledger */
} accounts_t;

static int compare_names(const void *a, const void *b, void *ctx)
{
	(void)ctx;
	return strcmp(a, b);
}

static void accounts_init(accounts_t *accounts)
{
	accounts->accounts =
		g_tree_new_full(compare_names, NULL, g_free, g_free);
	accounts->ledgers = g_ptr_array_new_with_free_func(g_free);
}

static void accounts_finish(accounts_t *accounts)
{
	g_tree_destroy(accounts->accounts);
	g_ptr_array_free(accounts->ledgers, TRUE);
}

static account_t *account_of(const accounts_t *accounts, const char *name)
{
	account_t *account = g_tree_lookup(accounts->accounts, name);

	if (account == NULL) {
		account = g_new0(account_t, 1);
		g_tree_insert(accounts->accounts, g_strdup(name), account);
	}
	return account;
}

/* Returns the account of a metric NAME{account="ACCOUNT"}, or NULL if it is
 * another one. */
static char *account_in(const char *metric, const char *name)
{
	static const char label[] = "{account=\"";
	const char *at = metric + strlen(name);

	if (!g_str_has_prefix(metric, name) || !g_str_has_prefix(at, label) ||
	    !g_str_has_suffix(at, "\"}"))
		return NULL;
	at += strlen(label);
	return g_strndup(at, strlen(at) - strlen("\"}"));
}

static void add_allowance(account_t *account, int64_t value)
{
	if (!account->has_allowance || value < account->allowance_low)
		account->allowance_low = value;
	if (!account->has_allowance || value > account->allowance_high)
		account->allowance_high = value;
	account->has_allowance = true;
}

static void add_metric(const accounts_t *accounts, const char *metric,
		       int64_t value)
{
	g_autofree char *allowed = account_in(metric, allowance_name);

	if (allowed != NULL)
		add_allowance(account_of(accounts, allowed), value);
	for (int i = 0; i < SUMS; i++) {
		g_autofree char *name = account_in(metric, sum_names[i]);

		if (name != NULL)
			account_of(accounts, name)->sums[i] += value;
	}
}

/* Each instance has the metric that tells whether it has the ledger, so that an
 * answer without it is none of bshentryd. */
static ctl_status_t add_answer(const accounts_t *accounts, const char *address,
			       const bsh_control_answer_t *answer)
{
	char **lines = g_strsplit(answer->body->str, "\n", -1);
	bool is_instance = false;

	for (int i = 0; answer->status == HTTP_OK && lines[i] != NULL; i++) {
		char *space = strrchr(lines[i], ' ');
		int64_t value;

		if (lines[i][0] == '#' || space == NULL)
			continue;
		*space = '\0';
		value = g_ascii_strtoll(space + 1, NULL, 10);
		add_metric(accounts, lines[i], value);
		if (strcmp(lines[i], keeper_name) != 0)
			continue;
		is_instance = true;
		if (value != 0)
			g_ptr_array_add(accounts->ledgers, g_strdup(address));
	}
	g_strfreev(lines);
	return is_instance ? CTL_OK : ctl_unexpected(answer, "/metrics");
}

static ctl_status_t read_instance(const ctl_t *ctl, const accounts_t *accounts,
				  const char *address)
{
	bsh_control_client_t client;
	bsh_control_answer_t answer;
	ctl_status_t status = CTL_UNREACHABLE;

	if (bsh_control_client_init(&client, address,
				    ctl->options.timeout_ms) != BSH_OK) {
		warnx("%s", client.failure);
		return CTL_USAGE;
	}
	if (bsh_control_request(&client, "GET", "/metrics", NULL, -1,
				&answer) == BSH_OK) {
		status = add_answer(accounts, address, &answer);
		bsh_control_answer_finish(&answer);
	} else {
		warnx("no answer to /metrics: %s", client.failure);
	}
	bsh_control_client_finish(&client);
	return status;
}

static gboolean print_account(void *key, void *value, void *ctx)
{
	const account_t *account = value;

	(void)ctx;
	ctl_print_field(key, false);
	if (account->allowance_low != account->allowance_high)
		printf("%" PRId64 "-%" PRId64 "\t", account->allowance_low,
		       account->allowance_high);
	else
		printf("%" PRId64 "\t", account->allowance_low);
	printf("%" PRId64 "\t%" PRId64 "\t%" PRId64 "\n",
	       account->sums[ADMITTED], account->sums[REFUSED],
	       account->sums[GIVEN_BACK]);
	return FALSE;
}

static gboolean append_account(void *key, void *value, void *ctx)
{
	const account_t *account = value;

	json_array_append_new(
		ctx,
		bsh_json_pack(
			"{s:s, s:I, s:I, s:I, s:I, s:I}", "account", key,
			"allowance_low", (json_int_t)account->allowance_low,
			"allowance_high", (json_int_t)account->allowance_high,
			"admitted", (json_int_t)account->sums[ADMITTED],
			"refused", (json_int_t)account->sums[REFUSED],
			"given_back", (json_int_t)account->sums[GIVEN_BACK]));
	return FALSE;
}

static void print_json(const accounts_t *accounts)
{
	json_t *list = json_array();
	json_t *ledgers = json_array();

	g_tree_foreach(accounts->accounts, append_account, list);
	for (guint i = 0; i < accounts->ledgers->len; i++)
		json_array_append_new(ledgers,
				      bsh_json_string(g_ptr_array_index(
					      accounts->ledgers, i)));
	ctl_print_json(bsh_json_pack("{s:o, s:o}", "accounts", list, "ledger",
				     ledgers));
}

static void print_table(const ctl_t *ctl, const accounts_t *accounts)
{
	if (!ctl->options.no_header)
		puts("ACCOUNT\tALLOWANCE\tADMITTED\tREFUSED\tGIVEN-BACK");
	g_tree_foreach(accounts->accounts, print_account, NULL);
	for (guint i = 0; i < accounts->ledgers->len; i++)
		printf("ledger\t%s\n",
		       (char *)g_ptr_array_index(accounts->ledgers, i));
	if (accounts->ledgers->len == 0)
		puts("ledger\t-");
}

int ctl_accounts(ctl_t *ctl)
{
	accounts_t accounts;
	ctl_status_t result = CTL_OK;

	accounts_init(&accounts);
	for (int i = 0; i < ctl->argc; i++) {
		ctl_status_t status =
			read_instance(ctl, &accounts, ctl->argv[i]);

		if (status != CTL_OK)
			result = status;
	}
	if (ctl->options.json)
		print_json(&accounts);
	else
		print_table(ctl, &accounts);
	accounts_finish(&accounts);
	return result;
}
