#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/journal.h"
#include "support/sim.h"

/* One of two journals on the same store.  The test completes their store calls,
 * so it decides the result and the order of each. */
typedef struct {
	bsh_journal_t j;
	uint64_t read_call;
	uint64_t write_call;
	uint64_t write_version;
	char name[16];
	char *written;
	int reads;
	int writes;
	int answers;
	bsh_intent_verdict_t verdict;
	int verdicts[8];
	char body[64];
	size_t body_size;
	int recorded;
	bool gone;
	GArray *calls; /* if not NULL: ids, negative for writes */
} journal_client_t;

static journal_client_t a;
static journal_client_t b;
static int64_t now_us;
static char *stored;
static uint64_t version;

static void on_read(void *ctx, uint64_t call, const char *name)
{
	journal_client_t *s = ctx;

	int64_t id = (int64_t)call;

	s->read_call = call;
	if (s->calls != NULL)
		g_array_append_val(s->calls, id);
	s->reads++;
	g_strlcpy(s->name, name, sizeof(s->name));
}

static void on_write(void *ctx, uint64_t call, const char *name, uint64_t at,
		     const char *value, size_t size)
{
	journal_client_t *s = ctx;

	int64_t id = -(int64_t)call;

	(void)name;
	s->write_call = call;
	if (s->calls != NULL)
		g_array_append_val(s->calls, id);
	s->write_version = at;
	s->writes++;
	g_free(s->written);
	s->written = g_strndup(value, size);
}

static void on_answer(void *ctx, uint64_t token, bsh_intent_verdict_t verdict,
		      const bsh_journal_result_t *result, uint32_t retry_ms)
{
	journal_client_t *s = ctx;

	(void)token;
	(void)retry_ms;
	s->answers++;
	s->verdict = verdict;
	s->verdicts[verdict]++;
	if (result != NULL && result->body_size < sizeof(s->body)) {
		s->body_size = result->body_size;
		memcpy(s->body, result->body, result->body_size);
	}
}

static void on_recorded(void *ctx, uint64_t token, bool ok)
{
	journal_client_t *s = ctx;

	(void)token;
	s->recorded += ok;
}

static bool on_is_gone(void *ctx, const char *instance, uint64_t incarnation)
{
	(void)instance;
	(void)incarnation;
	return ((journal_client_t *)ctx)->gone;
}

static void init_client(journal_client_t *s)
{
	static const bsh_journal_ops_t ops = { on_read, on_write, on_answer,
					       on_recorded, on_is_gone };
	bsh_journal_config_t config;

	memset(s, 0, sizeof(*s));
	bsh_journal_config_default(&config);
	config.wall_offset_us = 1000 * SIM_S;
	bsh_journal_init(&s->j, &config, &ops, s);
}

static void setup(void)
{
	now_us = SIM_S;
	version = 0;
	stored = NULL;
	init_client(&a);
	init_client(&b);
}

static void teardown(void)
{
	bsh_journal_finish(&a.j);
	bsh_journal_finish(&b.j);
	g_free(a.written);
	g_free(b.written);
	g_free(stored);
}

static void apply_write(journal_client_t *s)
{
	g_free(stored);
	stored = g_strdup(s->written);
	version++;
}

/* Completes each call as a correct store would, until no timer is left. */
static void run_until_idle(journal_client_t *s)
{
	for (int i = 0; i < 200; i++) {
		if (s->read_call != 0) {
			uint64_t call = s->read_call;

			s->read_call = 0;
			bsh_journal_read_done(
				&s->j, call,
				stored ? BSH_STORE_OK : BSH_STORE_MISSING,
				version, stored, stored ? strlen(stored) : 0, 0,
				now_us);
		} else if (s->write_call != 0) {
			uint64_t call = s->write_call;
			bool ok = s->write_version == version;

			s->write_call = 0;
			if (ok)
				apply_write(s);
			bsh_journal_write_done(&s->j, call,
					       ok ? BSH_STORE_OK
						  : BSH_STORE_CONFLICT,
					       version, 0, now_us);
		} else {
			int64_t next_us = bsh_journal_next_us(&s->j);

			if (next_us == INT64_MAX)
				return;
			now_us = MAX(now_us, next_us);
			bsh_journal_tick(&s->j, now_us);
		}
	}
	g_assert_not_reached();
}

static bsh_intent_t intent(const char *key, char attempt)
{
	bsh_intent_t i = { .service = "deposits",
			   .key = key,
			   .instance = attempt < 'm' ? "i1" : "i2",
			   .incarnation = 1,
			   .deadline_us = now_us + 2 * SIM_S,
			   .token = 7 };

	bsh_journal_digest("POST", "/x", "body", 4, i.digest);
	memset(i.attempt, attempt, sizeof(i.attempt));
	return i;
}

static void submit_intent(journal_client_t *s, const char *key, char attempt)
{
	bsh_intent_t i = intent(key, attempt);

	g_assert_cmpint(bsh_journal_intent(&s->j, &i, now_us), ==, BSH_OK);
}

static void record_result(journal_client_t *s, const char *key, char attempt,
			  bsh_outcome_t outcome, const char *body, size_t size)
{
	bsh_intent_t i = intent(key, attempt);
	bsh_journal_result_t result = { outcome, 200, "text/plain",
					(const uint8_t *)body, size };

	g_assert_cmpint(bsh_journal_record_result(&s->j, &i, &result, now_us),
			==, BSH_OK);
}

/* Guards against a call that is sent before its intent is committed, and
 * against a wrong verdict for any state of a record. */
static void test_states(void)
{
	bsh_intent_t other;

	setup();
	submit_intent(&a, "k", 'a');
	g_assert_cmpint(a.answers, ==, 0);
	run_until_idle(&a);
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_RUN);
	submit_intent(&b, "k", 'x');
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_IN_PROGRESS);
	b.gone = true;
	submit_intent(&b, "k", 'y');
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_UNKNOWN);
	record_result(&a, "k", 'a', BSH_OUTCOME_ANSWERED, "paid", 4);
	run_until_idle(&a);
	g_assert_cmpint(a.recorded, ==, 1);
	submit_intent(&b, "k", 'z');
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_ANSWERED);
	g_assert_cmpmem(b.body, b.body_size, "paid", 4);
	other = intent("k", 'w');
	other.digest[0] ^= 1;
	bsh_journal_intent(&b.j, &other, now_us);
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_MISMATCH);
	/* Not-run removes the intent, so that a retry of the caller can run. */
	submit_intent(&a, "k2", 'a');
	run_until_idle(&a);
	record_result(&a, "k2", 'a', BSH_OUTCOME_NOT_RUN, NULL, 0);
	run_until_idle(&a);
	submit_intent(&b, "k2", 'x');
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_RUN);
	record_result(&b, "k2", 'x', BSH_OUTCOME_UNKNOWN, NULL, 0);
	run_until_idle(&b);
	submit_intent(&a, "k2", 'b');
	run_until_idle(&a);
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_UNKNOWN);
	teardown();
}

/* Guards against a second execution, and against a result of another attempt,
 * where the routers of two instances have started in the same microsecond and
 * give out the same attempt ids. */
static void test_same_id_of_two_instances(void)
{
	bsh_intent_t first = intent("k", 'a');
	bsh_intent_t second = first;
	bsh_journal_result_t result = { .outcome = BSH_OUTCOME_NOT_RUN };

	second.instance = "i2";
	setup();
	bsh_journal_intent(&a.j, &first, now_us);
	run_until_idle(&a);
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_RUN);
	bsh_journal_intent(&b.j, &second, now_us);
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_IN_PROGRESS);
	bsh_journal_record_result(&b.j, &second, &result, now_us);
	run_until_idle(&b);
	bsh_journal_intent(&b.j, &second, now_us);
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_IN_PROGRESS);
	b.gone = true;
	bsh_journal_intent(&b.j, &second, now_us);
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_UNKNOWN);
	teardown();
}

/* Guards against a recorded answer that is truncated at the size limit, and
 * against the loss of an empty one. */
static void test_bodies(void)
{
	static const size_t sizes[] = { 0, BSH_JOURNAL_BODY_MAX_BYTES,
					BSH_JOURNAL_BODY_MAX_BYTES + 1 };
	static const bsh_intent_verdict_t expected[] = { BSH_INTENT_ANSWERED,
							 BSH_INTENT_ANSWERED,
							 BSH_INTENT_NOT_KEPT };
	g_autofree char *body = g_strnfill(BSH_JOURNAL_BODY_MAX_BYTES + 1, 'x');

	for (int i = 0; i < 3; i++) {
		setup();
		submit_intent(&a, "k", 'a');
		run_until_idle(&a);
		record_result(&a, "k", 'a', BSH_OUTCOME_ANSWERED, body,
			      sizes[i]);
		run_until_idle(&a);
		submit_intent(&b, "k", 'x');
		run_until_idle(&b);
		g_assert_cmpint(b.verdict, ==, expected[i]);
		teardown();
	}
}

/* Returns distinct keys of one bucket. */
static GPtrArray *keys_of_bucket(guint count)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	char first[16] = "";

	for (int i = 0; keys->len < count; i++) {
		char *key = g_strdup_printf("k%d", i);
		journal_client_t s;

		init_client(&s);
		submit_intent(&s, key, 'a');
		if (i == 0)
			g_strlcpy(first, s.name, sizeof(first));
		if (strcmp(s.name, first) == 0)
			g_ptr_array_add(keys, key);
		else
			g_free(key);
		bsh_journal_finish(&s.j);
	}
	return keys;
}

/* Guards against one store write per key when many intents arrive together. */
static void test_group_commit(void)
{
	g_autoptr(GPtrArray) keys = keys_of_bucket(200);

	setup();
	for (guint i = 0; i < keys->len; i++) {
		bsh_intent_t in = intent(g_ptr_array_index(keys, i), 'a');

		in.attempt[0] = (uint8_t)i;
		bsh_journal_intent(&a.j, &in, now_us);
	}
	run_until_idle(&a);
	g_assert_cmpint(a.verdicts[BSH_INTENT_RUN], ==, 200);
	g_assert_cmpint(a.reads, ==, 1);
	g_assert_cmpint(a.writes, ==, 1);
	teardown();
}

/* Guards against more store writes per second than allowed, and against an
 * intent that waits for a write past its deadline. */
static void test_rates(void)
{
	char key[16];

	setup();
	a.calls = g_array_new(FALSE, FALSE, sizeof(int64_t));
	a.j.config.writes_per_s = 5;
	a.j.write_tokens = 5;
	for (int i = 0; i < 100; i++) {
		bsh_intent_t in = intent(key, 'a');

		g_snprintf(key, sizeof(key), "k%d", i);
		in.attempt[0] = (uint8_t)i;
		bsh_journal_intent(&a.j, &in, now_us);
	}
	while (bsh_journal_pending(&a.j) > 0) {
		now_us = MAX(now_us, bsh_journal_next_us(&a.j));
		for (guint i = 0; i < a.calls->len; i++) {
			int64_t id = g_array_index(a.calls, int64_t, i);

			if (id > 0)
				bsh_journal_read_done(&a.j, (uint64_t)id,
						      BSH_STORE_MISSING, 0,
						      NULL, 0, 0, now_us);
			else
				bsh_journal_write_done(&a.j, (uint64_t)-id,
						       BSH_STORE_OK, 1, 0,
						       now_us);
		}
		g_array_set_size(a.calls, 0);
		bsh_journal_tick(&a.j, now_us);
	}
	g_array_free(a.calls, TRUE);
	g_assert_cmpint(a.answers, ==, 100);
	g_assert_cmpint(a.writes, <=, 5 + 5 * 3);
	g_assert_cmpint(a.verdicts[BSH_INTENT_UNAVAILABLE], >, 0);
	teardown();
}

/* Guards against a lost update that takes effect after its intent was refused:
 * the record must be removed, so that the key can be used again. */
static void test_lost_update_arrives_late(void)
{
	char *late;

	setup();
	submit_intent(&a, "k", 'a');
	bsh_journal_read_done(&a.j, a.read_call, BSH_STORE_MISSING, 0, NULL, 0,
			      0, now_us);
	a.read_call = 0;
	g_assert_cmpint(a.writes, ==, 1);
	late = g_strdup(a.written);
	bsh_journal_write_done(&a.j, a.write_call, BSH_STORE_LOST, 0, 0,
			       now_us);
	a.write_call = 0;
	g_assert_cmpint(a.answers, ==, 0);
	/* The read back fails because the store is down. */
	bsh_journal_read_done(&a.j, a.read_call, BSH_STORE_DOWN, 0, NULL, 0, 0,
			      now_us);
	a.read_call = 0;
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_UNAVAILABLE);
	g_assert_cmpuint(bsh_journal_pending(&a.j), ==, 1);
	stored = late;
	version = 1;
	run_until_idle(&a);
	g_assert_null(strstr(stored, "attempt"));
	submit_intent(&b, "k", 'x');
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_RUN);
	teardown();
}

/* Guards against a shutdown that never ends while the store is down: pending
 * results must be abandoned. */
static void test_store_stays_down(void)
{
	setup();
	submit_intent(&a, "k", 'a');
	run_until_idle(&a);
	record_result(&a, "k", 'a', BSH_OUTCOME_ANSWERED, "x", 1);
	submit_intent(&a, "k2", 'b');
	while (bsh_journal_pending(&a.j) > 0 && now_us < 100 * SIM_S) {
		if (a.read_call != 0)
			bsh_journal_read_done(&a.j, a.read_call, BSH_STORE_DOWN,
					      0, NULL, 0, 0, now_us);
		if (a.write_call != 0)
			bsh_journal_write_done(&a.j, a.write_call,
					       BSH_STORE_LOST, 0, 0, now_us);
		a.read_call = a.write_call = 0;
		now_us = MAX(now_us, bsh_journal_next_us(&a.j));
		bsh_journal_tick(&a.j, now_us);
	}
	g_assert_cmpint(now_us, <, 70 * SIM_S);
	g_assert_cmpint(a.recorded, ==, 0);
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_UNAVAILABLE);
	teardown();
}

/* Guards against treating an update as not applied because only the reply to it
 * was lost. */
static void test_lost_answer(void)
{
	setup();
	submit_intent(&a, "k", 'a');
	run_until_idle(&a);
	submit_intent(&a, "k", 'b');
	run_until_idle(&a);
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_IN_PROGRESS);
	record_result(&a, "k", 'a', BSH_OUTCOME_NOT_RUN, NULL, 0);
	run_until_idle(&a);
	submit_intent(&a, "k", 'c');
	bsh_journal_tick(&a.j, now_us = bsh_journal_next_us(&a.j));
	apply_write(&a);
	bsh_journal_write_done(&a.j, a.write_call, BSH_STORE_LOST, 0, 0,
			       now_us);
	a.write_call = 0;
	run_until_idle(&a);
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_RUN);
	g_assert_cmpuint(a.j.read_backs, ==, 1);
	teardown();
}

/* Guards against calls that run again because their bucket cannot be parsed,
 * and against overwriting such a bucket. */
static void test_malformed_bucket(void)
{
	setup();
	stored = g_strdup("{\"records\":[{\"key\":\"00\"}]}");
	version = 3;
	submit_intent(&a, "k", 'a');
	run_until_idle(&a);
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_UNAVAILABLE);
	g_assert_cmpint(a.writes, ==, 0);
	teardown();
}

/* Guards against records that never expire, against their early removal, and
 * against the expiry of an open record of a live instance. */
static void test_expiry(void)
{
	setup();
	submit_intent(&a, "k", 'a');
	run_until_idle(&a);
	now_us += 90000 * SIM_S;
	submit_intent(&b, "k", 'x');
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_IN_PROGRESS);
	b.gone = true;
	submit_intent(&b, "k", 'y');
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_RUN);
	record_result(&b, "k", 'y', BSH_OUTCOME_ANSWERED, "x", 1);
	run_until_idle(&b);
	now_us += 86000 * SIM_S;
	submit_intent(&b, "k", 'z');
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_ANSWERED);
	teardown();
}

/* Guards against an object above the size limit of the store, and against
 * removing a key instead of a recorded body to stay below it. */
static void test_full_bucket(void)
{
	g_autofree char *body = g_strnfill(BSH_JOURNAL_BODY_MAX_BYTES, 'x');
	g_autoptr(GPtrArray) keys = keys_of_bucket(90);

	setup();
	a.j.config.writes_per_s = a.j.config.reads_per_s = 1000000;
	for (guint i = 0; i < keys->len; i++) {
		const char *key = g_ptr_array_index(keys, i);

		now_us += SIM_S;
		submit_intent(&a, key, 'a');
		run_until_idle(&a);
		record_result(&a, key, 'a', BSH_OUTCOME_ANSWERED, body,
			      BSH_JOURNAL_BODY_MAX_BYTES);
		run_until_idle(&a);
	}
	g_assert_cmpuint(strlen(stored), <=, 1000000);
	g_assert_cmpuint(strlen(stored), >, 500000);
	submit_intent(&b, g_ptr_array_index(keys, 0), 'x');
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_NOT_KEPT);
	submit_intent(&b, g_ptr_array_index(keys, keys->len - 1), 'x');
	run_until_idle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_ANSWERED);
	teardown();
}

/* Guards against accepting an empty key or an instance name that is not UTF-8,
 * which JSON cannot hold. */
static void test_invalid(void)
{
	bsh_intent_t i;

	setup();
	i = intent("", 'a');
	g_assert_cmpint(bsh_journal_intent(&a.j, &i, 0), ==, BSH_ERR_INVALID);
	i = intent("k", 'a');
	i.instance = "\xff";
	g_assert_cmpint(bsh_journal_intent(&a.j, &i, 0), ==, BSH_ERR_INVALID);
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/journal/states", test_states);
	g_test_add_func("/journal/same-id-of-two-instances",
			test_same_id_of_two_instances);
	g_test_add_func("/journal/bodies", test_bodies);
	g_test_add_func("/journal/group-commit", test_group_commit);
	g_test_add_func("/journal/rates", test_rates);
	g_test_add_func("/journal/late-update", test_lost_update_arrives_late);
	g_test_add_func("/journal/store-down", test_store_stays_down);
	g_test_add_func("/journal/lost-answer", test_lost_answer);
	g_test_add_func("/journal/malformed", test_malformed_bucket);
	g_test_add_func("/journal/expiry", test_expiry);
	g_test_add_func("/journal/full", test_full_bucket);
	g_test_add_func("/journal/invalid", test_invalid);
	return g_test_run();
}
