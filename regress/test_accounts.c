/* Client accounts: keys in the configuration, at targets, between instances, and
 * after their removal. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "coordination/account_access.h"
#include "coordination/config_proof.h"
#include "coordination/confirmation.h"
#include "platform/decode.h"
#include "platform/target_client.h"
#include "protocol/relay_mark.h"
#include "support/platform_rig.h"

#define SECOND_US   INT64_C(1000000)
#define REVOKE_MS   "1500"
#define DEADLINE_MS 3000

/* Guards against a key that is used although it may have been removed, and
 * against 401 for one that a newer configuration may have. */
static void test_access(void)
{
	static const struct {
		bsh_access_input_t input;
		bsh_access_t expected;
	} cases[] = {
		{ { .needs_key = false }, BSH_ACCESS_GRANTED },
		{ { .needs_key = true }, BSH_ACCESS_KEY_UNKNOWN },
		{ { .needs_key = true, .confirmed_age_us = 3 * SECOND_US },
		  BSH_ACCESS_UNCONFIRMED },
		/* Passed on by a configuration that may have had no accounts. */
		{ { .needs_key = true, .key_omitted = true },
		  BSH_ACCESS_UNCONFIRMED },
		{ { .needs_key = true,
		    .key_known = true,
		    .confirmed_age_us = 60 * SECOND_US },
		  BSH_ACCESS_GRANTED },
		/* Never proven; just within the bound; beyond it. */
		{ { .needs_key = true,
		    .key_known = true,
		    .arrived_us = 10 * SECOND_US,
		    .bound_us = 5 * SECOND_US },
		  BSH_ACCESS_UNCONFIRMED },
		{ { .needs_key = true,
		    .key_known = true,
		    .arrived_us = 14 * SECOND_US,
		    .proven_us = 10 * SECOND_US,
		    .bound_us = 5 * SECOND_US },
		  BSH_ACCESS_GRANTED },
		{ { .needs_key = true,
		    .key_known = true,
		    .arrived_us = 15 * SECOND_US,
		    .proven_us = 10 * SECOND_US,
		    .bound_us = 5 * SECOND_US },
		  BSH_ACCESS_UNCONFIRMED },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(bsh_access_decide(&cases[i].input), ==,
				cases[i].expected);
}

/* Guards against an answer that is taken for newer than its query, as after a
 * freeze between the two, and against one about an older version. */
static void test_proof(void)
{
	bsh_config_proof_t proof;
	int64_t now_us = 100 * SECOND_US;

	bsh_config_proof_init(&proof);
	bsh_config_proof_adopted(&proof, 5);
	g_assert_true(bsh_config_proof_due(&proof, 3, now_us));
	g_assert_false(bsh_config_proof_due(&proof, 3, now_us + 1000));
	/* The answer is read 7 s after the query. */
	bsh_config_proof_answered(&proof, 5, now_us, SECOND_US / 2,
				  now_us + 7 * SECOND_US);
	g_assert_cmpint(bsh_config_proof_us(&proof), ==,
			now_us - SECOND_US / 2);
	/* A version below the one in force, and a query from the future. */
	bsh_config_proof_answered(&proof, 4, now_us + SECOND_US, 0,
				  now_us + 2 * SECOND_US);
	bsh_config_proof_answered(&proof, 5, now_us + 9 * SECOND_US, 0,
				  now_us + 8 * SECOND_US);
	g_assert_cmpint(bsh_config_proof_us(&proof), ==,
			now_us - SECOND_US / 2);
	/* A newer version counts once it is in force here. */
	bsh_config_proof_answered(&proof, 6, now_us + 2 * SECOND_US, 0,
				  now_us + 3 * SECOND_US);
	g_assert_cmpint(bsh_config_proof_us(&proof), ==,
			now_us - SECOND_US / 2);
	bsh_config_proof_adopted(&proof, 6);
	g_assert_cmpint(bsh_config_proof_us(&proof), ==,
			now_us + 2 * SECOND_US);
}

/* Guards against a confirmation of a newer configuration that counts for the one in
 * force before it. */
static void test_confirmation_of_newer(void)
{
	bsh_confirmation_t confirmation;

	bsh_confirmation_init(&confirmation);
	bsh_confirmation_follow(&confirmation, 5, 5, 10 * SECOND_US);
	bsh_confirmation_follow(&confirmation, 5, 6, 20 * SECOND_US);
	g_assert_cmpint(confirmation.confirmed_us, ==, 10 * SECOND_US);
	bsh_confirmation_follow(&confirmation, 6, 6, 20 * SECOND_US);
	g_assert_cmpint(confirmation.confirmed_us, ==, 20 * SECOND_US);
}

#define CONFIGURATION(accounts)                                                \
	"{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":" accounts "}"

/* Guards against two accounts with one key, against limits that are no limits,
 * against accounts or keys of another form, without which all would be served or
 * none, and against a message that shows a key. */
static void test_refused_accounts(void)
{
	static const char *const texts[] = {
		CONFIGURATION("[{\"apiKeys\":[\"k\"]}]"),
		CONFIGURATION("[{\"name\":\"a\"},{\"name\":\"a\"}]"),
		CONFIGURATION("[{\"name\":\"a\",\"apiKeys\":[\"secret\"]},"
			      "{\"name\":\"b\",\"apiKeys\":[\"secret\"]}]"),
		CONFIGURATION("[{\"name\":\"a\",\"ratePerS\":-1}]"),
		CONFIGURATION("[{\"name\":\"a\",\"burst\":\"much\"}]"),
		CONFIGURATION("[{\"name\":\"a\",\"apiKeys\":[7]}]"),
		CONFIGURATION("[{\"name\":\"a\",\"apiKeys\":\"secret\"}]"),
		CONFIGURATION("{\"a\":{\"apiKeys\":[\"secret\"]}}"),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		g_autoptr(GString) problem = g_string_new(NULL);
		json_t *spec = json_loads(texts[i], 0, NULL);

		g_assert_null(platform_decode_catalog(spec, platform_rig_key,
						      problem));
		g_assert_nonnull(strstr(problem->str, "tenant"));
		g_assert_null(strstr(problem->str, "secret"));
		json_decref(spec);
	}
}

/* Guards against a configuration that shows keys to other instances, or is of no
 * use to them without. */
static void test_shared_configuration(void)
{
	g_autoptr(GString) problem = g_string_new(NULL);
	json_t *spec = json_loads(
		CONFIGURATION("[{\"name\":\"a\",\"apiKeys\":[\"k1\",\"k2\"],"
			      "\"priority\":3,\"ratePerS\":10.5,"
			      "\"burst\":20,\"unit\":\"tokens\","
			      "\"plainTokens\":200},{\"name\":\"b\"}]"),
		0, NULL);
	json_t *shared = platform_hide_keys(spec, platform_rig_key);
	char *text = json_dumps(shared, JSON_COMPACT);
	bsh_catalog_t *catalog =
		platform_decode_catalog(shared, platform_rig_key, problem);
	const bsh_account_rule_t *account;
	bsh_account_key_t key;

	g_assert_null(strstr(text, "k1"));
	g_assert_nonnull(catalog);
	g_assert_cmpuint(bsh_accounts_size(catalog->accounts), ==, 2);
	bsh_account_key_digest(platform_rig_key, "k2", 2, &key);
	account = bsh_accounts_find_key(catalog->accounts, &key);
	g_assert_nonnull(account);
	g_assert_cmpstr(account->name, ==, "a");
	g_assert_true(account->has_priority && account->counts_tokens);
	g_assert_cmpuint(account->priority, ==, 3);
	g_assert_cmpfloat(account->rate_per_s, ==, 10.5);
	g_assert_cmpuint(account->plain_tokens, ==, 200);
	bsh_account_key_digest(platform_rig_key, "k3", 2, &key);
	g_assert_null(bsh_accounts_find_key(catalog->accounts, &key));
	bsh_catalog_unref(catalog);
	json_decref(shared);
	json_decref(spec);
	free(text);
}

/* Guards against requests without a number of tokens that a limit in tokens does
 * not count, as the account names no number for them, or none above 0. */
static void test_plain_tokens(void)
{
	static const char *const names[] = { "absent", "zero", "named" };
	static const uint32_t expected[] = { 1, 1, 200 };
	g_autoptr(GString) problem = g_string_new(NULL);
	json_t *spec = json_loads(
		CONFIGURATION("[{\"name\":\"absent\",\"unit\":\"tokens\"},"
			      "{\"name\":\"zero\",\"unit\":\"tokens\","
			      "\"plainTokens\":0},"
			      "{\"name\":\"named\",\"unit\":\"tokens\","
			      "\"plainTokens\":200}]"),
		0, NULL);
	bsh_catalog_t *catalog =
		platform_decode_catalog(spec, platform_rig_key, problem);

	g_assert_nonnull(catalog);
	for (uint32_t i = 0; i < G_N_ELEMENTS(names); i++) {
		const bsh_account_rule_t *account =
			bsh_accounts_at(catalog->accounts, i);

		g_assert_cmpstr(account->name, ==, names[i]);
		g_assert_cmpuint(account->plain_tokens, ==, expected[i]);
	}
	bsh_catalog_unref(catalog);
	json_decref(spec);
}

static bool has_name(const GPtrArray *headers, const char *name)
{
	for (guint i = 0; i + 1 < headers->len; i++)
		if (g_str_has_prefix(g_ptr_array_index(headers, i), name))
			return true;
	return false;
}

/* Guards against credentials that reach a target of a deployment with accounts,
 * or no longer reach those of one without. */
static void test_headers(void)
{
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	g_autoptr(GPtrArray) credentials = g_ptr_array_new();
	bsh_request_info_t info = { .headers = none,
				    .credentials = credentials };
	platform_forward_t forward = { .target = "t" };
	GPtrArray *headers;

	g_ptr_array_add(credentials, "Authorization: Bearer k");
	g_ptr_array_add(credentials, "Berylshunt-Tenant: other");
	headers = platform_forward_headers(&info, &forward);
	g_assert_true(has_name(headers, "Authorization: Bearer k"));
	g_assert_true(has_name(headers, "Berylshunt-Tenant: other"));
	g_ptr_array_free(headers, TRUE);
	forward.has_accounts = true;
	forward.account = "own";
	headers = platform_forward_headers(&info, &forward);
	g_assert_false(has_name(headers, "Authorization"));
	g_assert_false(has_name(headers, "Berylshunt-Tenant: other"));
	g_assert_true(has_name(headers, "Berylshunt-Tenant: own"));
	g_ptr_array_free(headers, TRUE);
}

/* Guards against a caller that sends the digest of another account's key as if it
 * were passed on by an instance. */
static void test_mark(void)
{
	bsh_relay_mark_t mark = { "id", "GET", "/look/1", 0, "00ff" };
	char text[BSH_RELAY_MARK_SIZE];

	bsh_relay_mark_encode(platform_rig_key, &mark, text, sizeof(text));
	g_assert_true(bsh_relay_mark_decode(platform_rig_key, text, &mark));
	mark.key = "00fe";
	g_assert_false(bsh_relay_mark_decode(platform_rig_key, text, &mark));
	mark.key = NULL;
	g_assert_false(bsh_relay_mark_decode(platform_rig_key, text, &mark));
}

/* With processes. */

#define OPEN_ROUTE                                                             \
	"{\"name\":\"open\",\"host\":\"" RIG_HOST "\",\"pathPrefix\":\"/open/" \
	"\",\"kind\":\"idempotent\",\"service\":\"desk\",\"maxAttempts\":2,"   \
	"\"anonymous\":true,\"timeoutMs\":3000,\"targetLatencyMs\":500,"       \
	"\"priority\":0}"

typedef struct {
	platform_rig_t rig;
	worker_t *worker;
	uint32_t sent;
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
	platform_rig_init(&f->rig);
	f->rig.settings = data;
	f->rig.accounts = "[{\"name\":\"acme\",\"apiKeys\":[\"k1\"]},"
			  "{\"name\":\"zinc\",\"apiKeys\":[\"k2\",\"k3\"]}]";
	platform_rig_configure(&f->rig, OPEN_ROUTE);
	f->worker = platform_rig_add_worker(&f->rig, "desk", NULL);
	for (int i = 0; i < 2; i++)
		platform_rig_wait_ready(&f->rig,
					platform_rig_add_entry(&f->rig));
	/* Until the instances know each other. */
	platform_rig_run(&f->rig, 1000);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_finish(&f->rig);
}

/* Status of a call with this key at an instance; the caller claims to be of
 * another account. */
static int call_status(fixture_t *f, uint32_t entry, const char *path,
		       const char *authorization)
{
	g_autofree char *id = g_strdup_printf("a%u", f->sent++);
	rig_request_t request = { .address = f->rig.entries[entry].front,
				  .path = path,
				  .id = id,
				  .deadline_ms = DEADLINE_MS,
				  .authorization = authorization,
				  .claimed_account = "other" };
	rig_reply_t reply;
	int status;

	f->worker->account[0] = '\0';
	platform_rig_start(&f->rig, &request, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	status = reply.status;
	g_assert_cmpuint(platform_rig_runs(&f->rig, id), ==, status == 200);
	platform_rig_reply_clear(&reply);
	return status;
}

static void expect_status(fixture_t *f, uint32_t entry, const char *path,
			  const char *authorization, int expected)
{
	int status = call_status(f, entry, path, authorization);

	g_assert_cmpint(status, ==, expected);
}

static void expect_account(fixture_t *f, const char *authorization,
			   const char *account)
{
	expect_status(f, 0, "/book/1", authorization, 200);
	g_assert_cmpstr(f->worker->account, ==, account);
}

/* Guards against requests of unknown callers that run, names of accounts that
 * callers choose, and keys that targets see. */
static void test_keys(fixture_t *f, gconstpointer data)
{
	(void)data;
	expect_account(f, "Bearer k1", "acme");
	expect_account(f, "bearer k3", "zinc");
	expect_status(f, 0, "/book/1", NULL, 401);
	expect_status(f, 0, "/book/1", "Bearer k9", 401);
	expect_status(f, 0, "/book/1", "Basic k1", 401);
	expect_status(f, 0, "/open/1", NULL, 200);
	expect_status(f, 0, "/open/1", "Bearer k9", 200);
	g_assert_cmpstr(f->worker->account, ==, "");
	g_assert_cmpuint(f->worker->keys_seen, ==, 0);
}

/* Guards against keys that keep their account, or none, after a newer
 * configuration. */
static void test_changed_keys(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->rig.accounts = "[{\"name\":\"acme\",\"apiKeys\":[\"k2\",\"k4\"]},"
			  "{\"name\":\"zinc\",\"apiKeys\":[\"k3\"]}]";
	platform_rig_configure(&f->rig, OPEN_ROUTE);
	platform_rig_run(&f->rig, 1000);
	expect_account(f, "Bearer k2", "acme");
	expect_account(f, "Bearer k4", "acme");
	for (uint32_t i = 0; i < 2; i++)
		expect_status(f, i, "/book/1", "Bearer k1", 401);
}

/* Guards against a request that waits for a model and runs after its key was
 * removed. */
static void test_removed_while_waiting(fixture_t *f, gconstpointer data)
{
	rig_request_t request = { .address = f->rig.entries[0].front,
				  .path = "/stream/1",
				  .id = "late",
				  .model = "m0",
				  .deadline_ms = DEADLINE_MS,
				  .authorization = "Bearer k1" };
	rig_reply_t reply;

	(void)data;
	platform_rig_start(&f->rig, &request, &reply);
	platform_rig_run(&f->rig, 300);
	g_assert_false(reply.done);
	f->rig.accounts = "[{\"name\":\"zinc\",\"apiKeys\":[\"k2\"]}]";
	platform_rig_configure(&f->rig, OPEN_ROUTE);
	platform_rig_wait(&f->rig, &reply.done);
	g_assert_cmpint(reply.status, ==, 401);
	platform_rig_reply_clear(&reply);
}

#define CLOSED_ROUTE                                                           \
	"{\"name\":\"open\",\"host\":\"" RIG_HOST "\",\"pathPrefix\":\"/open/" \
	"\",\"kind\":\"idempotent\",\"service\":\"desk\",\"maxAttempts\":2,"   \
	"\"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":0}"

/* Guards against a request that is sent a second time without a key after its
 * route has ceased to be anonymous: it was running then. */
static void test_closed_while_running(fixture_t *f, gconstpointer data)
{
	rig_request_t request = { .address = f->rig.entries[0].front,
				  .path = "/open/1",
				  .id = "closed",
				  .deadline_ms = DEADLINE_MS };
	worker_t *workers[] = { f->worker, platform_rig_add_worker(
						   &f->rig, "desk", NULL) };
	rig_reply_t reply;

	(void)data;
	platform_rig_run(&f->rig, 1000);
	for (size_t i = 0; i < G_N_ELEMENTS(workers); i++) {
		workers[i]->mode = WORKER_CLOSES_AFTER_RUN;
		workers[i]->silent_until_us =
			bsh_loop_clock_us() + SECOND_US * 2 / 5;
	}
	platform_rig_start(&f->rig, &request, &reply);
	platform_rig_run(&f->rig, 100);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "closed"), ==, 1);
	platform_rig_configure(&f->rig, CLOSED_ROUTE);
	platform_rig_wait(&f->rig, &reply.done);
	g_assert_cmpint(reply.status, !=, 200);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "closed"), ==, 1);
	platform_rig_reply_clear(&reply);
}

/* Guards against an instance that hears neither the store nor others, and uses a
 * key that was removed. */
static void test_out_of_touch(fixture_t *f, gconstpointer data)
{
	(void)data;
	expect_account(f, "Bearer k1", "acme");
	f->rig.store_unresponsive = true;
	platform_rig_run(&f->rig, 2000);
	expect_status(f, 0, "/book/1", "Bearer k1", 503);
	expect_status(f, 1, "/book/1", "Bearer k1", 503);
	expect_status(f, 0, "/open/1", NULL, 200);
}

/* Guards against an instance that wakes from a freeze and takes the messages that
 * came before for new ones. */
static void test_frozen(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_signal(&f->rig.entries[0], SIGSTOP);
	platform_rig_run(&f->rig, 1000);
	platform_rig_signal(&f->rig.entries[1], SIGSTOP);
	f->rig.store_unresponsive = true;
	f->rig.accounts = "[{\"name\":\"zinc\",\"apiKeys\":[\"k2\"]}]";
	platform_rig_configure(&f->rig, OPEN_ROUTE);
	platform_rig_run(&f->rig, 2000);
	platform_rig_signal(&f->rig.entries[0], SIGCONT);
	expect_status(f, 0, "/book/1", "Bearer k1", 503);
	platform_rig_signal(&f->rig.entries[1], SIGCONT);
}

/* Guards against an instance that the store does not answer, and that does not
 * learn from the others that its configuration is the newest. */
static void test_told_by_others(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (int i = 0; i < 20; i++) {
		platform_rig_run(&f->rig, 200);
		expect_account(f, "Bearer k1", "acme");
		expect_status(f, 1, "/book/1", "Bearer k1", 200);
	}
}

#define LIMIT_CALLS 400
#define LIMIT_COST  10
#define LIMITED                                                                \
	"[{\"name\":\"acme\",\"apiKeys\":[\"k1\"],\"unit\":\"tokens\","        \
	"\"plainTokens\":200,\"ratePerS\":100,\"burst\":300}]"
/* (100 tokens a second in 8 s, and the burst) and a tenth, and the slack. */
#define LIMIT_BOUND ((100 * 8 + 300) * 1.1 + 200)

typedef struct {
	uint32_t ran;
	uint32_t limited;
	uint32_t other;
} outcome_t;

/* Calls of one account at both instances, one after the other. */
static void call_often(fixture_t *f, outcome_t *outcome)
{
	memset(outcome, 0, sizeof(*outcome));
	for (uint32_t i = 0; i < LIMIT_CALLS; i++) {
		g_autofree char *id = g_strdup_printf("limit-%u", f->sent++);
		rig_request_t request = {
			.address = f->rig.entries[i % 2].front,
			.path = "/book/1",
			.id = id,
			.deadline_ms = DEADLINE_MS,
			.authorization = "Bearer k1",
			.tokens = "8,2",
		};
		rig_reply_t reply;

		platform_rig_start(&f->rig, &request, &reply);
		platform_rig_wait(&f->rig, &reply.done);
		if (reply.status == 429) {
			g_assert_nonnull(reply.retry_after);
			g_assert_cmpuint(platform_rig_runs(&f->rig, id), ==, 0);
		}
		outcome->ran += platform_rig_runs(&f->rig, id);
		outcome->limited += reply.status == 429;
		outcome->other += reply.status != 429 && reply.status != 200;
		platform_rig_reply_clear(&reply);
	}
}

static void limit_account(fixture_t *f)
{
	f->rig.accounts = LIMITED;
	platform_rig_configure(&f->rig, OPEN_ROUTE);
	platform_rig_run(&f->rig, 1000);
}

/* Guards against instances that let more of an account pass together than its
 * limit, and against refusals of another kind. */
static void test_limit(fixture_t *f, gconstpointer data)
{
	outcome_t outcome;

	(void)data;
	limit_account(f);
	call_often(f, &outcome);
	g_assert_cmpuint(outcome.ran * LIMIT_COST, <=, LIMIT_BOUND);
	g_assert_cmpuint(outcome.ran, >, 0);
	g_assert_cmpuint(outcome.limited, >, 0);
	g_assert_cmpuint(outcome.other, ==, 0);
}

/* Guards against more than the limit at an instance that hears no keeper. */
static void test_limit_alone(fixture_t *f, gconstpointer data)
{
	outcome_t outcome;

	(void)data;
	limit_account(f);
	f->rig.store_unresponsive = true;
	platform_rig_signal(&f->rig.entries[1], SIGSTOP);
	platform_rig_run(&f->rig, 2000);
	g_strlcpy(f->rig.entries[1].front, f->rig.entries[0].front,
		  sizeof(f->rig.entries[1].front));
	call_often(f, &outcome);
	g_assert_cmpuint(outcome.ran * LIMIT_COST, <=, LIMIT_BOUND);
	platform_rig_signal(&f->rig.entries[1], SIGCONT);
}

/* Guards against requests that never ran and use up the limit of their account:
 * the target rejects them all. */
static void test_given_back(fixture_t *f, gconstpointer data)
{
	outcome_t outcome;

	(void)data;
	limit_account(f);
	f->worker->mode = WORKER_IS_FULL;
	call_often(f, &outcome);
	g_assert_cmpuint(outcome.ran, ==, 0);
	f->worker->mode = WORKER_ANSWERS;
	platform_rig_run(&f->rig, 1500);
	expect_status(f, 0, "/book/1", "Bearer k1", 200);
}

/* Status of a call that an instance has accepted by this version and passed on,
 * with what its caller sent but without a digest of the key. */
static int passed_on_status(fixture_t *f, uint64_t version)
{
	g_autofree char *text = g_strdup_printf("%" G_GUINT64_FORMAT, version);
	g_autofree char *id = g_strdup_printf("passed-%u", f->sent++);
	bsh_relay_mark_t mark = { id, "POST", "/book/1", 0, NULL };
	char mark_text[BSH_RELAY_MARK_SIZE];
	rig_request_t request = { .address = f->rig.entries[0].front,
				  .path = mark.path,
				  .id = id,
				  .deadline_ms = DEADLINE_MS,
				  .authorization = "Bearer k1",
				  .relay_mark = mark_text,
				  .relay_version = text };
	rig_reply_t reply;
	int status;

	bsh_relay_mark_encode(platform_rig_key, &mark, mark_text,
			      sizeof(mark_text));
	platform_rig_start(&f->rig, &request, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	status = reply.status;
	g_assert_cmpuint(platform_rig_runs(&f->rig, id), ==, 0);
	platform_rig_reply_clear(&reply);
	return status;
}

/* Guards against a final refusal of a key that the instance that passes a request
 * on does not send, as its configuration has no accounts yet.  By the same
 * version as here, the caller has sent none. */
static void test_passed_on_without_key(fixture_t *f, gconstpointer data)
{
	int earlier = passed_on_status(f, f->rig.version - 1);
	int same = passed_on_status(f, f->rig.version);

	(void)data;
	g_assert_cmpint(earlier, ==, 503);
	g_assert_cmpint(same, ==, 401);
}

/* Value of a metric of an instance, with its labels. */
static int64_t metric(fixture_t *f, uint32_t entry, const char *name)
{
	g_autofree char *start = g_strdup_printf("\n%s ", name);
	rig_reply_t reply;
	const char *line;
	int64_t value = -1;

	platform_rig_send(&f->rig, f->rig.entries[entry].metrics, "/metrics",
			  "m", NULL, 1000, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	line = strstr(reply.body, start);
	if (line != NULL)
		value = g_ascii_strtoll(line + strlen(start), NULL, 10);
	platform_rig_reply_clear(&reply);
	return value;
}

#define MOVING_LIMITS(acme_keys, zinc_keys, zinc_cost)                         \
	"[{\"name\":\"acme\",\"apiKeys\":[" acme_keys "],"                     \
	"\"unit\":\"tokens\",\"plainTokens\":10,\"ratePerS\":1000,"            \
	"\"burst\":1000},{\"name\":\"zinc\",\"apiKeys\":[" zinc_keys "],"      \
	"\"unit\":\"tokens\",\"plainTokens\":" zinc_cost ","                   \
	"\"ratePerS\":1,\"burst\":1}]"

static void set_accounts(fixture_t *f, const char *accounts)
{
	f->rig.accounts = accounts;
	platform_rig_configure(&f->rig, OPEN_ROUTE);
}

/* Sends a request with the key k1 that waits for a model, and puts these accounts
 * in force meanwhile. */
static void send_and_set_accounts(fixture_t *f, const char *accounts,
				  rig_reply_t *reply)
{
	rig_request_t request = { .address = f->rig.entries[0].front,
				  .path = "/stream/1",
				  .id = "moved",
				  .model = "m0",
				  .deadline_ms = DEADLINE_MS,
				  .authorization = "Bearer k1" };

	platform_rig_start(&f->rig, &request, reply);
	platform_rig_run(&f->rig, 300);
	g_assert_false(reply->done);
	set_accounts(f, accounts);
	platform_rig_wait(&f->rig, &reply->done);
}

/* Guards against a request that counts for the account that had its key when it
 * came, and is sent for another one. */
static void test_moved_while_waiting(fixture_t *f, gconstpointer data)
{
	static const char *const names[] = { "admitted", "given_back" };
	static const char *const accounts[] = { "acme", "zinc" };
	rig_reply_t reply;

	(void)data;
	set_accounts(f, MOVING_LIMITS("\"k1\"", "\"k2\"", "10"));
	platform_rig_run(&f->rig, 1000);
	send_and_set_accounts(f, MOVING_LIMITS("\"k3\"", "\"k1\",\"k2\"", "10"),
			      &reply);
	g_assert_cmpint(reply.status, ==, 503);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(accounts); j++) {
			g_autofree char *name = g_strdup_printf(
				"bsh_account_%s_total{account=\"%s\"}",
				names[i], accounts[j]);

			g_assert_cmpint(metric(f, 0, name), ==, 10);
		}
	platform_rig_reply_clear(&reply);
}

/* Guards against a request of an account beyond its limit that is sent as it was
 * admitted for another one.  A request counts more than an instance that hears no
 * keeper would admit. */
static void test_moved_beyond_limit(fixture_t *f, gconstpointer data)
{
	rig_reply_t reply;

	(void)data;
	set_accounts(f, MOVING_LIMITS("\"k1\"", "\"k2\"", "200"));
	platform_rig_run(&f->rig, 1000);
	while (call_status(f, 0, "/book/1", "Bearer k2") == 200)
		platform_rig_run(&f->rig, 10);
	send_and_set_accounts(
		f, MOVING_LIMITS("\"k3\"", "\"k1\",\"k2\"", "200"), &reply);
	g_assert_cmpint(reply.status, ==, 429);
	g_assert_nonnull(reply.retry_after);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "moved"), ==, 0);
	platform_rig_reply_clear(&reply);
}

/* Guards against a document that cannot be used and that takes the certainty that
 * keys were not removed for granted, and against a loss of anonymous routes. */
static void test_unusable_configuration(fixture_t *f, gconstpointer data)
{
	(void)data;
	expect_account(f, "Bearer k1", "acme");
	set_accounts(f, "{}");
	platform_rig_run(&f->rig, 2000);
	for (uint32_t i = 0; i < 2; i++)
		expect_status(f, i, "/book/1", "Bearer k1", 503);
	expect_status(f, 0, "/open/1", NULL, 200);
	set_accounts(f, "[{\"name\":\"acme\",\"apiKeys\":[\"k1\"]}]");
	platform_rig_run(&f->rig, 1000);
	expect_account(f, "Bearer k1", "acme");
}

#define ADDED_CALLERS 16

/* Guards against 401 for a key that was just added, at an instance that has the
 * confirmation of the newer configuration but does not route by it yet. */
static void test_added_key(fixture_t *f, gconstpointer data)
{
	char ids[ADDED_CALLERS][32];
	rig_reply_t replies[ADDED_CALLERS] = { 0 };
	uint32_t unknown = 0;
	uint32_t served = 0;
	int64_t until_us;

	(void)data;
	f->rig.store_unresponsive = true;
	platform_rig_run(&f->rig, 2500);
	expect_status(f, 0, "/book/1", "Bearer k9", 503);
	set_accounts(f, "[{\"name\":\"acme\",\"apiKeys\":[\"k1\",\"k9\"]}]");
	f->rig.store_unresponsive = false;
	until_us = bsh_loop_clock_us() + 15 * SECOND_US;
	for (uint32_t i = 0; served < ADDED_CALLERS; i++) {
		uint32_t at = i % ADDED_CALLERS;
		rig_reply_t *reply = &replies[at];
		rig_request_t request = { .address =
						  f->rig.entries[i % 2].front,
					  .path = "/look/1",
					  .id = ids[at],
					  .deadline_ms = DEADLINE_MS,
					  .authorization = "Bearer k9" };

		if (i >= ADDED_CALLERS) {
			platform_rig_wait(&f->rig, &reply->done);
			unknown += reply->status == 401;
			served += reply->status == 200;
			platform_rig_reply_clear(reply);
			g_assert_true(bsh_loop_clock_us() < until_us);
		}
		g_snprintf(ids[at], sizeof(ids[at]), "added-%u", f->sent++);
		platform_rig_start(&f->rig, &request, reply);
	}
	for (uint32_t i = 0; i < ADDED_CALLERS; i++)
		platform_rig_reply_clear(&replies[i]);
	g_test_message("requests=%u unknown=%u", f->sent, unknown);
	g_assert_cmpuint(unknown, ==, 0);
}

#define STRICT "[accounts]\nrevoke_ms=" REVOKE_MS "\n"
#define SLACK  "[accounts]\nlimit_slack=200\n"
#define ADD(path, settings, fn)                                                \
	g_test_add("/accounts/" path, fixture_t, settings, set_up, fn,         \
		   tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/accounts/access", test_access);
	g_test_add_func("/accounts/proof", test_proof);
	g_test_add_func("/accounts/confirmation-of-newer",
			test_confirmation_of_newer);
	g_test_add_func("/accounts/refused", test_refused_accounts);
	g_test_add_func("/accounts/shared-configuration",
			test_shared_configuration);
	g_test_add_func("/accounts/plain-tokens", test_plain_tokens);
	g_test_add_func("/accounts/headers", test_headers);
	g_test_add_func("/accounts/mark", test_mark);
	ADD("keys", NULL, test_keys);
	ADD("changed-keys", NULL, test_changed_keys);
	ADD("removed-while-waiting", NULL, test_removed_while_waiting);
	ADD("closed-while-running", NULL, test_closed_while_running);
	ADD("out-of-touch", STRICT, test_out_of_touch);
	ADD("frozen", STRICT, test_frozen);
	ADD("unusable-configuration", STRICT, test_unusable_configuration);
	ADD("told-by-others", STRICT, test_told_by_others);
	ADD("limit", SLACK, test_limit);
	ADD("limit-alone", SLACK, test_limit_alone);
	ADD("added-key", NULL, test_added_key);
	ADD("given-back", SLACK, test_given_back);
	ADD("passed-on-without-key", NULL, test_passed_on_without_key);
	ADD("moved-while-waiting", SLACK, test_moved_while_waiting);
	ADD("moved-beyond-limit", SLACK, test_moved_beyond_limit);
	return g_test_run();
}
