#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/journal.h"
#include "support/sim.h"

/* A store with one journal or two on it; calls are answered by the test. */
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
	GArray *calls; /* ids, writes negative, when wanted */
} side_t;

static side_t a;
static side_t b;
static int64_t now_us;
static char *stored;
static uint64_t version;

static void on_read(void *ctx, uint64_t call, const char *name)
{
	side_t *s = ctx;

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
	side_t *s = ctx;

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
	side_t *s = ctx;

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
	side_t *s = ctx;

	(void)token;
	s->recorded += ok;
}

static bool on_gone(void *ctx, const char *instance, uint64_t incarnation)
{
	(void)instance;
	(void)incarnation;
	return ((side_t *)ctx)->gone;
}

static void open_side(side_t *s)
{
	static const bsh_journal_ops_t orders = { on_read, on_write,
						     on_answer, on_recorded,
						     on_gone };
	bsh_journal_config_t config;

	memset(s, 0, sizeof(*s));
	bsh_journal_config_default(&config);
	config.wall_offset_us = 1000 * SIM_S;
	bsh_journal_init(&s->j, &config, &orders, s);
}

static void setup(void)
{
	now_us = SIM_S;
	version = 0;
	stored = NULL;
	open_side(&a);
	open_side(&b);
}

static void teardown(void)
{
	bsh_journal_finish(&a.j);
	bsh_journal_finish(&b.j);
	g_free(a.written);
	g_free(b.written);
	g_free(stored);
}

static void apply(side_t *s)
{
	g_free(stored);
	stored = g_strdup(s->written);
	version++;
}

/* Answer the calls under way truthfully and run until nothing is left. */
static void settle(side_t *s)
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
				apply(s);
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

static void ask(side_t *s, const char *key, char attempt)
{
	bsh_intent_t i = intent(key, attempt);

	g_assert_cmpint(bsh_journal_intent(&s->j, &i, now_us), ==, BSH_OK);
}

static void done(side_t *s, const char *key, char attempt,
		 bsh_outcome_t outcome, const char *body, size_t size)
{
	bsh_intent_t i = intent(key, attempt);
	bsh_journal_result_t result = { outcome, 200, "text/plain",
					(const uint8_t *)body, size };

	g_assert_cmpint(bsh_journal_record_result(&s->j, &i, &result, now_us), ==,
			BSH_OK);
}

/* Guards against a call that is sent before its intent is committed, and
 * against each state of a record that is read wrongly. */
static void test_states(void)
{
	bsh_intent_t other;

	setup();
	ask(&a, "k", 'a');
	g_assert_cmpint(a.answers, ==, 0);
	settle(&a);
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_RUN);
	ask(&b, "k", 'x');
	settle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_IN_PROGRESS);
	b.gone = true;
	ask(&b, "k", 'y');
	settle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_UNKNOWN);
	done(&a, "k", 'a', BSH_OUTCOME_ANSWERED, "paid", 4);
	settle(&a);
	g_assert_cmpint(a.recorded, ==, 1);
	ask(&b, "k", 'z');
	settle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_ANSWERED);
	g_assert_cmpmem(b.body, b.body_size, "paid", 4);
	other = intent("k", 'w');
	other.digest[0] ^= 1;
	bsh_journal_intent(&b.j, &other, now_us);
	settle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_MISMATCH);
	/* Not-run removes the intent, so the caller's retry can run. */
	ask(&a, "k2", 'a');
	settle(&a);
	done(&a, "k2", 'a', BSH_OUTCOME_NOT_RUN, NULL, 0);
	settle(&a);
	ask(&b, "k2", 'x');
	settle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_RUN);
	done(&b, "k2", 'x', BSH_OUTCOME_UNKNOWN, NULL, 0);
	settle(&b);
	ask(&a, "k2", 'b');
	settle(&a);
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_UNKNOWN);
	teardown();
}

/* Guards against a truncated recorded answer and a lost empty one. */
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
		ask(&a, "k", 'a');
		settle(&a);
		done(&a, "k", 'a', BSH_OUTCOME_ANSWERED, body, sizes[i]);
		settle(&a);
		ask(&b, "k", 'x');
		settle(&b);
		g_assert_cmpint(b.verdict, ==, expected[i]);
		teardown();
	}
}

/* Distinct keys of one bucket. */
static GPtrArray *keys_of_bucket(guint count)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	char first[16] = "";

	for (int i = 0; keys->len < count; i++) {
		char *key = g_strdup_printf("k%d", i);
		side_t s;

		open_side(&s);
		ask(&s, key, 'a');
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

/* Guards against a store write per key. */
static void test_group_commit(void)
{
	g_autoptr(GPtrArray) keys = keys_of_bucket(200);

	setup();
	for (guint i = 0; i < keys->len; i++) {
		bsh_intent_t in = intent(g_ptr_array_index(keys, i), 'a');

		in.attempt[0] = (uint8_t)i;
		bsh_journal_intent(&a.j, &in, now_us);
	}
	settle(&a);
	g_assert_cmpint(a.verdicts[BSH_INTENT_RUN], ==, 200);
	g_assert_cmpint(a.reads, ==, 1);
	g_assert_cmpint(a.writes, ==, 1);
	teardown();
}

/* Guards against more store calls a second than allowed, and against an
 * intent that waits past its deadline for one. */
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

/* Guards against a lost update that arrives after its intent was refused: the
 * key must be free again, and the record of the refused call must go. */
static void test_lost_update_arrives_late(void)
{
	char *late;

	setup();
	ask(&a, "k", 'a');
	bsh_journal_read_done(&a.j, a.read_call, BSH_STORE_MISSING, 0, NULL, 0,
			      0, now_us);
	a.read_call = 0;
	g_assert_cmpint(a.writes, ==, 1);
	late = g_strdup(a.written);
	bsh_journal_write_done(&a.j, a.write_call, BSH_STORE_LOST, 0, 0,
			       now_us);
	a.write_call = 0;
	g_assert_cmpint(a.answers, ==, 0);
	/* The read back finds nothing, and the store goes down. */
	bsh_journal_read_done(&a.j, a.read_call, BSH_STORE_DOWN, 0, NULL, 0, 0,
			      now_us);
	a.read_call = 0;
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_UNAVAILABLE);
	g_assert_cmpuint(bsh_journal_pending(&a.j), ==, 1);
	stored = late;
	version = 1;
	settle(&a);
	g_assert_null(strstr(stored, "attempt"));
	ask(&b, "k", 'x');
	settle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_RUN);
	teardown();
}

/* Guards against a shutdown that waits for ever for a store that is down. */
static void test_gives_up(void)
{
	setup();
	ask(&a, "k", 'a');
	settle(&a);
	done(&a, "k", 'a', BSH_OUTCOME_ANSWERED, "x", 1);
	ask(&a, "k2", 'b');
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

/* Guards against a lost answer that is taken for a lost update. */
static void test_lost_answer(void)
{
	setup();
	ask(&a, "k", 'a');
	settle(&a);
	ask(&a, "k", 'b');
	settle(&a);
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_IN_PROGRESS);
	done(&a, "k", 'a', BSH_OUTCOME_NOT_RUN, NULL, 0);
	settle(&a);
	ask(&a, "k", 'c');
	bsh_journal_tick(&a.j, now_us = bsh_journal_next_us(&a.j));
	apply(&a);
	bsh_journal_write_done(&a.j, a.write_call, BSH_STORE_LOST, 0, 0,
			       now_us);
	a.write_call = 0;
	settle(&a);
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_RUN);
	g_assert_cmpuint(a.j.read_backs, ==, 1);
	teardown();
}

/* Guards against keys that are run again because their bucket cannot be read,
 * and against overwriting it. */
static void test_spoilt_bucket(void)
{
	setup();
	stored = g_strdup("{\"records\":[{\"key\":\"00\"}]}");
	version = 3;
	ask(&a, "k", 'a');
	settle(&a);
	g_assert_cmpint(a.verdict, ==, BSH_INTENT_UNAVAILABLE);
	g_assert_cmpint(a.writes, ==, 0);
	teardown();
}

/* Guards against records that stay for ever and against early removal. */
static void test_expiry(void)
{
	setup();
	ask(&a, "k", 'a');
	settle(&a);
	now_us += 90000 * SIM_S;
	ask(&b, "k", 'x');
	settle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_IN_PROGRESS);
	b.gone = true;
	ask(&b, "k", 'y');
	settle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_RUN);
	done(&b, "k", 'y', BSH_OUTCOME_ANSWERED, "x", 1);
	settle(&b);
	now_us += 86000 * SIM_S;
	ask(&b, "k", 'z');
	settle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_ANSWERED);
	teardown();
}

/* Guards against an object above the store's limit and against dropping a key
 * to make room. */
static void test_full_bucket(void)
{
	g_autofree char *body = g_strnfill(BSH_JOURNAL_BODY_MAX_BYTES, 'x');
	g_autoptr(GPtrArray) keys = keys_of_bucket(90);

	setup();
	a.j.config.writes_per_s = a.j.config.reads_per_s = 1000000;
	for (guint i = 0; i < keys->len; i++) {
		const char *key = g_ptr_array_index(keys, i);

		now_us += SIM_S;
		ask(&a, key, 'a');
		settle(&a);
		done(&a, key, 'a', BSH_OUTCOME_ANSWERED, body,
		     BSH_JOURNAL_BODY_MAX_BYTES);
		settle(&a);
	}
	g_assert_cmpuint(strlen(stored), <=, 1000000);
	g_assert_cmpuint(strlen(stored), >, 500000);
	ask(&b, g_ptr_array_index(keys, 0), 'x');
	settle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_NOT_KEPT);
	ask(&b, g_ptr_array_index(keys, keys->len - 1), 'x');
	settle(&b);
	g_assert_cmpint(b.verdict, ==, BSH_INTENT_ANSWERED);
	teardown();
}

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
	g_test_add_func("/journal/bodies", test_bodies);
	g_test_add_func("/journal/group-commit", test_group_commit);
	g_test_add_func("/journal/rates", test_rates);
	g_test_add_func("/journal/late-update", test_lost_update_arrives_late);
	g_test_add_func("/journal/gives-up", test_gives_up);
	g_test_add_func("/journal/lost-answer", test_lost_answer);
	g_test_add_func("/journal/spoilt", test_spoilt_bucket);
	g_test_add_func("/journal/expiry", test_expiry);
	g_test_add_func("/journal/full", test_full_bucket);
	g_test_add_func("/journal/invalid", test_invalid);
	return g_test_run();
}
