#include <glib.h>
#include <string.h>

#include "coordination/entry_choice.h"
#include "coordination/retry_budget.h"
#include "coordination/target_choice.h"
#include "protocol/event_relay.h"

#define SECOND INT64_C(1000000)

/* Guards against the address of a suspected or leaving instance being returned
 * to callers, who use it for seconds. */
static void test_only_alive_instances_are_offered(void)
{
	bsh_member_t alive = { .state = BSH_MEMBER_ALIVE, .has_place = true };
	bsh_member_t suspect = alive;
	bsh_member_t leaving = alive;
	bsh_entry_choice_t choice = { .n = 0 };

	suspect.state = BSH_MEMBER_SUSPECT;
	leaving.leaving = true;
	g_strlcpy(alive.place.entry, "127.0.0.1:1", sizeof(alive.place.entry));
	bsh_entry_choice_add(&choice, &suspect, false);
	bsh_entry_choice_add(&choice, &leaving, false);
	bsh_entry_choice_add(&choice, &alive, false);
	g_assert_cmpuint(choice.n, ==, 1);
	g_assert_cmpstr(choice.addresses[0], ==, "127.0.0.1:1");
	for (int i = 0; i < 100; i++)
		bsh_entry_choice_add(&choice, &alive, false);
	g_assert_cmpuint(choice.n, ==, BSH_ENTRY_ADDRESSES_MAX);
}

/* Guards against callers that are sent to an instance that reaches no target, and
 * against an empty answer if none does. */
static void test_cut_instances_are_not_offered(void)
{
	bsh_member_t member = { .state = BSH_MEMBER_ALIVE, .has_place = true };
	bsh_entry_choice_t some = { .n = 0 };
	bsh_entry_choice_t none = { .n = 0 };

	bsh_entry_choice_add(&some, &member, true);
	bsh_entry_choice_add(&some, &member, false);
	bsh_entry_choice_finish(&some);
	g_assert_cmpuint(some.n, ==, 1);
	bsh_entry_choice_add(&none, &member, true);
	bsh_entry_choice_add(&none, &member, true);
	bsh_entry_choice_finish(&none);
	g_assert_cmpuint(none.n, ==, 2);
}

/* Guards against more retries by all instances together than the fleet's budget
 * allows in any window, while all targets fail and the instances exchange no
 * messages. */
static void test_fleet_retry_budget(void)
{
	enum {
		INSTANCES = 7,
		REQUESTS_PER_S = 15,
		WINDOW_S = 10
	};
	bsh_retry_budget_t budgets[INSTANCES];
	uint32_t repeats[60] = { 0 };
	uint32_t worst = 0;

	for (int i = 0; i < INSTANCES; i++) {
		bsh_retry_budget_init(&budgets[i], 0.2, WINDOW_S * 1000);
		bsh_retry_budget_set_slack(&budgets[i], 54, INSTANCES, 0);
	}
	for (int s = 0; s < 60; s++) {
		for (int r = 0; r < INSTANCES * REQUESTS_PER_S; r++) {
			bsh_retry_budget_t *b = &budgets[r % INSTANCES];

			bsh_retry_budget_add_request(b, s * SECOND);
			if (bsh_retry_budget_take(b, s * SECOND))
				repeats[s]++;
		}
	}
	for (int s = 0; s + WINDOW_S <= 60; s++) {
		uint32_t sum = 0;

		for (int w = 0; w < WINDOW_S; w++)
			sum += repeats[s + w];
		worst = MAX(worst, sum);
	}
	g_assert_cmpuint(
		worst, <=,
		(uint32_t)(0.2 * INSTANCES * REQUESTS_PER_S * WINDOW_S) + 54);
	g_assert_cmpuint(worst, >, 0);
}

/* Guards against an instance that uses only a small part of its retry budget
 * when a third of the targets fail at once. */
static void test_retry_budget_covers_a_burst(void)
{
	bsh_retry_budget_t budget;
	uint32_t repeats = 0;

	bsh_retry_budget_init(&budget, 0.2, 10000);
	bsh_retry_budget_set_slack(&budget, 54, 7, 0);
	for (int s = 0; s < 10; s++)
		for (int r = 0; r < 14; r++)
			bsh_retry_budget_add_request(&budget, s * SECOND);
	for (int r = 0; r < 100; r++)
		repeats += bsh_retry_budget_take(&budget, 9 * SECOND);
	/* Allowed: 0.2 * 140 + 54 / 7 = 35.7. */
	g_assert_cmpuint(repeats, <=, 35);
	g_assert_cmpuint(repeats, >=, 28);
	g_assert_false(bsh_retry_budget_take(&budget, 12 * SECOND));
	for (int r = 0; r < 14; r++)
		bsh_retry_budget_add_request(&budget, 21 * SECOND);
	g_assert_true(bsh_retry_budget_take(&budget, 21 * SECOND));
}

/* Guards against a slack that is used twice in a window, as all processes are
 * killed and those that replace them know nothing of what was sent. */
static void test_retry_budget_of_a_restart(void)
{
	uint32_t retries = 0;
	int64_t killed_us = 30 * SECOND;
	int64_t started_us = killed_us + SECOND / 2;
	bsh_retry_budget_t budget;

	/* The instance gets 14 requests a second, and retries all it may. */
	bsh_retry_budget_init(&budget, 0.2, 10000);
	bsh_retry_budget_set_slack(&budget, 54, 7, 0);
	for (int64_t t = 0; t < killed_us; t += SECOND / 14) {
		bsh_retry_budget_add_request(&budget, t);
		while (t > killed_us - 9 * SECOND &&
		       bsh_retry_budget_take(&budget, t))
			retries++;
	}
	bsh_retry_budget_init(&budget, 0.2, 10000);
	bsh_retry_budget_set_slack(&budget, 54, 7, started_us);
	for (int64_t t = started_us; t < killed_us + SECOND; t += SECOND / 14) {
		bsh_retry_budget_add_request(&budget, t);
		while (bsh_retry_budget_take(&budget, t))
			retries++;
	}
	/* Allowed in 10 s: 0.2 * 140 + 54 / 7 = 35.7. */
	g_assert_cmpuint(retries, <=, 35);
	bsh_retry_budget_set_slack(&budget, 54, 7, started_us);
	g_assert_true(bsh_retry_budget_left(&budget, started_us + 11 * SECOND) >
		      6);
}

static bsh_target_candidate_t candidate(const bsh_target_record_t *record,
					uint64_t hash)
{
	bsh_target_candidate_t c = { .record = record,
				     .slots = 10,
				     .target_hash = hash,
				     .same_zone = true };

	return c;
}

/* Guards against sending requests to a target that cannot be reached, and
 * against its permanent exclusion. */
static void test_unreachable_target_is_excluded(void)
{
	bsh_target_record_t down = { 0 };
	bsh_target_record_t up = { 0 };
	bsh_target_candidate_t list[] = { candidate(&down, 1),
					  candidate(&up, 2) };

	bsh_target_started(&down, 0, SECOND);
	bsh_target_unreachable(&down, SECOND);
	for (uint64_t affinity = 0; affinity < 32; affinity++)
		g_assert_cmpint(bsh_target_choose(list, 2, NULL, affinity,
						  SECOND + 1000),
				==, 1);
	g_assert_true(bsh_target_usable(&down, 10 * SECOND));
	bsh_target_started(&down, 0, 10 * SECOND);
	/* One request probes it; the others avoid it until that has ended. */
	g_assert_false(bsh_target_usable(&down, 10 * SECOND));
	bsh_target_ended(&down, false, 10 * SECOND + 1000);
	g_assert_true(bsh_target_usable(&down, 10 * SECOND + 1000));
}

/* Guards against a slow target that receives as many requests as the others
 * because it is reported healthy. */
static void test_slow_target_gets_less(void)
{
	bsh_target_record_t slow = { 0 };
	bsh_target_record_t fast = { 0 };
	bsh_target_candidate_t list[] = { candidate(&slow, 1),
					  candidate(&fast, 2) };
	int to_slow = 0;

	for (int i = 0; i < 10; i++) {
		bsh_target_first_byte(&slow, 200000, 0, SECOND);
		bsh_target_first_byte(&fast, 20000, 0, SECOND);
	}
	for (uint64_t affinity = 0; affinity < 64; affinity++)
		to_slow +=
			bsh_target_choose(list, 2, NULL, affinity, SECOND) == 0;
	g_assert_cmpint(to_slow, ==, 0);
}

/* Guards against preferring a target that fails part of its requests and, since
 * failures are fast, has the lowest time to the first byte. */
static void test_failing_target_gets_less(void)
{
	bsh_target_record_t failing = { 0 };
	bsh_target_record_t good = { 0 };
	bsh_target_candidate_t list[] = { candidate(&failing, 1),
					  candidate(&good, 2) };
	int to_failing = 0;

	for (int i = 0; i < 20; i++) {
		bsh_target_started(&failing, 0, SECOND);
		bsh_target_first_byte(&failing, 5000, 0, SECOND);
		bsh_target_ended(&failing, i % 2 == 0, SECOND);
		bsh_target_started(&good, 0, SECOND);
		bsh_target_first_byte(&good, 20000, 0, SECOND);
		bsh_target_ended(&good, false, SECOND);
	}
	for (uint64_t affinity = 0; affinity < 64; affinity++)
		to_failing +=
			bsh_target_choose(list, 2, NULL, affinity, SECOND) == 0;
	g_assert_cmpint(to_failing, ==, 0);
}

/* Guards against spreading requests with the same prompt prefix over equally
 * loaded targets, each of which would prefill it again. */
static void test_prompt_affinity(void)
{
	bsh_target_record_t records[4] = { 0 };
	bsh_target_candidate_t list[4];
	int32_t first;

	for (int i = 0; i < 4; i++)
		list[i] = candidate(&records[i], (uint64_t)i + 1);
	first = bsh_target_choose(list, 4, NULL, 77, SECOND);
	records[(first + 1) % 4].running = 0;
	g_assert_cmpint(bsh_target_choose(list, 4, NULL, 77, SECOND), ==,
			first);
	/* Load takes precedence over prompt affinity. */
	records[first].running = 10;
	g_assert_cmpint(bsh_target_choose(list, 4, NULL, 77, SECOND), !=,
			first);
}

static void feed(bsh_event_relay_t *relay, const char *text, GString *out)
{
	g_assert_cmpint(bsh_event_relay_feed(relay, text, strlen(text), out),
			==, BSH_OK);
}

/* Guards against a partial event, a repeated one or a gap when another target
 * resumes a stream. */
static void test_stream_resumes_without_gap(void)
{
	g_autoptr(GString) out = g_string_new(NULL);
	bsh_event_relay_t relay;

	bsh_event_relay_init(&relay, 0);
	feed(&relay, "id: 1\ndata: a\n\nid: 2\nda", out);
	feed(&relay, "ta: b\n\nid: 3\ndat", out);
	g_assert_cmpstr(out->str, ==, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	bsh_event_relay_restart(&relay);
	g_assert_cmpuint(relay.last_id, ==, 2);
	g_string_truncate(out, 0);
	feed(&relay, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", out);
	g_assert_cmpstr(out->str, ==, "id: 3\ndata: c\n\n");
	g_assert_cmpint(
		bsh_event_relay_feed(&relay, "id: 5\ndata: e\n\n", 15, out), ==,
		BSH_ERR_MISMATCH);
	bsh_event_relay_finish(&relay);
}

/* Guards against mishandled CRLF line ends, and against a stream that a caller
 * resumes after its last event. */
static void test_stream_resumes_after_last_event_id(void)
{
	g_autoptr(GString) out = g_string_new(NULL);
	bsh_event_relay_t relay;

	bsh_event_relay_init(&relay, 12);
	feed(&relay, "id: 13\r\ndata: x\r\n\r\n", out);
	g_assert_cmpstr(out->str, ==, "id: 13\r\ndata: x\r\n\r\n");
	g_assert_true(bsh_event_relay_is_between_events(&relay));
	feed(&relay, "id: 14\r\n", out);
	g_assert_false(bsh_event_relay_is_between_events(&relay));
	bsh_event_relay_finish(&relay);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entries/only-alive-instances",
			test_only_alive_instances_are_offered);
	g_test_add_func("/requests/cut-instances-are-not-offered",
			test_cut_instances_are_not_offered);
	g_test_add_func("/retries/fleet-budget", test_fleet_retry_budget);
	g_test_add_func("/retries/burst-of-failures",
			test_retry_budget_covers_a_burst);
	g_test_add_func("/retries/restart", test_retry_budget_of_a_restart);
	g_test_add_func("/targets/unreachable",
			test_unreachable_target_is_excluded);
	g_test_add_func("/targets/slow", test_slow_target_gets_less);
	g_test_add_func("/targets/failing", test_failing_target_gets_less);
	g_test_add_func("/targets/same-prompt", test_prompt_affinity);
	g_test_add_func("/stream/resume", test_stream_resumes_without_gap);
	g_test_add_func("/stream/last-event-id",
			test_stream_resumes_after_last_event_id);
	return g_test_run();
}
