#include <glib.h>
#include <string.h>

#include "coordination/entry_choice.h"
#include "coordination/retry_budget.h"
#include "coordination/target_choice.h"
#include "protocol/event_relay.h"

#define SECOND INT64_C(1000000)

/* Guards against an instance that may be down being named to callers, who keep
 * the address for seconds. */
static void test_entries_leave_out_doubtful_instances(void)
{
	bsh_member_t alive = { .state = BSH_MEMBER_ALIVE, .has_place = true };
	bsh_member_t suspect = alive;
	bsh_member_t leaving = alive;
	bsh_entry_choice_t choice = { .n = 0 };

	suspect.state = BSH_MEMBER_SUSPECT;
	leaving.leaving = true;
	g_strlcpy(alive.place.entry, "127.0.0.1:1", sizeof(alive.place.entry));
	bsh_entry_choice_add(&choice, &suspect);
	bsh_entry_choice_add(&choice, &leaving);
	bsh_entry_choice_add(&choice, &alive);
	g_assert_cmpuint(choice.n, ==, 1);
	g_assert_cmpstr(choice.addresses[0], ==, "127.0.0.1:1");
	for (int i = 0; i < 100; i++)
		bsh_entry_choice_add(&choice, &alive);
	g_assert_cmpuint(choice.n, ==, BSH_ENTRY_ADDRESSES_MAX);
}

/* Guards against instances that together repeat more than the fleet may, in
 * the worst window, when all targets fail and nobody is asked. */
static void test_budget_holds_over_all_instances(void)
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
		bsh_retry_budget_share(&budgets[i], 54, INSTANCES);
	}
	for (int s = 0; s < 60; s++) {
		for (int r = 0; r < INSTANCES * REQUESTS_PER_S; r++) {
			bsh_retry_budget_t *b = &budgets[r % INSTANCES];

			bsh_retry_budget_request(b, s * SECOND);
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

/* Guards against an instance that leaves most of what it may repeat unused when
 * a third of the targets are gone at once. */
static void test_budget_bears_a_burst_of_failures(void)
{
	bsh_retry_budget_t budget;
	uint32_t repeats = 0;

	bsh_retry_budget_init(&budget, 0.2, 10000);
	bsh_retry_budget_share(&budget, 54, 7);
	for (int s = 0; s < 10; s++)
		for (int r = 0; r < 14; r++)
			bsh_retry_budget_request(&budget, s * SECOND);
	for (int r = 0; r < 100; r++)
		repeats += bsh_retry_budget_take(&budget, 9 * SECOND);
	/* 0.2 * 140 + 54 / 7 = 35.7 are allowed. */
	g_assert_cmpuint(repeats, <=, 35);
	g_assert_cmpuint(repeats, >=, 28);
	g_assert_false(bsh_retry_budget_take(&budget, 12 * SECOND));
	for (int r = 0; r < 14; r++)
		bsh_retry_budget_request(&budget, 21 * SECOND);
	g_assert_true(bsh_retry_budget_take(&budget, 21 * SECOND));
}

static bsh_candidate_t candidate(const bsh_target_record_t *record,
				 uint64_t hash)
{
	bsh_candidate_t c = { .record = record,
			      .slots = 10,
			      .target_hash = hash,
			      .same_zone = true };

	return c;
}

/* Guards against work for a target that cannot be reached, and against one
 * that is left out for ever. */
static void test_unreachable_target_is_left_out(void)
{
	bsh_target_record_t down = { 0 };
	bsh_target_record_t up = { 0 };
	bsh_candidate_t list[] = { candidate(&down, 1), candidate(&up, 2) };

	bsh_target_started(&down, SECOND);
	bsh_target_unreachable(&down, SECOND);
	for (uint64_t affinity = 0; affinity < 32; affinity++)
		g_assert_cmpint(
			bsh_target_choose(list, 2, affinity, SECOND + 1000), ==,
			1);
	g_assert_true(bsh_target_usable(&down, 10 * SECOND));
	bsh_target_started(&down, 10 * SECOND);
	/* One request tries it, the others wait for its result. */
	g_assert_false(bsh_target_usable(&down, 10 * SECOND));
	bsh_target_ended(&down, false, 10 * SECOND + 1000);
	g_assert_true(bsh_target_usable(&down, 10 * SECOND + 1000));
}

/* Guards against a slow target that gets as much work as the others while its
 * health looks good. */
static void test_slow_target_gets_less(void)
{
	bsh_target_record_t slow = { 0 };
	bsh_target_record_t fast = { 0 };
	bsh_candidate_t list[] = { candidate(&slow, 1), candidate(&fast, 2) };
	int to_slow = 0;

	for (int i = 0; i < 10; i++) {
		bsh_target_first_byte(&slow, 200000, SECOND);
		bsh_target_first_byte(&fast, 20000, SECOND);
	}
	for (uint64_t affinity = 0; affinity < 64; affinity++)
		to_slow += bsh_target_choose(list, 2, affinity, SECOND) == 0;
	g_assert_cmpint(to_slow, ==, 0);
}

/* Guards against a target that fails part of its requests and, because it
 * fails fast, looks like the quickest one. */
static void test_failing_target_gets_less(void)
{
	bsh_target_record_t failing = { 0 };
	bsh_target_record_t good = { 0 };
	bsh_candidate_t list[] = { candidate(&failing, 1),
				   candidate(&good, 2) };
	int to_failing = 0;

	for (int i = 0; i < 20; i++) {
		bsh_target_started(&failing, SECOND);
		bsh_target_first_byte(&failing, 5000, SECOND);
		bsh_target_ended(&failing, i % 2 == 0, SECOND);
		bsh_target_started(&good, SECOND);
		bsh_target_first_byte(&good, 20000, SECOND);
		bsh_target_ended(&good, false, SECOND);
	}
	for (uint64_t affinity = 0; affinity < 64; affinity++)
		to_failing += bsh_target_choose(list, 2, affinity, SECOND) == 0;
	g_assert_cmpint(to_failing, ==, 0);
}

/* Guards against requests with the same prompt part being spread over targets
 * that are equally loaded, each of which would read it again. */
static void test_same_prompt_meets_on_one_target(void)
{
	bsh_target_record_t records[4] = { 0 };
	bsh_candidate_t list[4];
	int32_t first;

	for (int i = 0; i < 4; i++)
		list[i] = candidate(&records[i], (uint64_t)i + 1);
	first = bsh_target_choose(list, 4, 77, SECOND);
	records[(first + 1) % 4].running = 0;
	g_assert_cmpint(bsh_target_choose(list, 4, 77, SECOND), ==, first);
	/* Load wins over the prompt. */
	records[first].running = 10;
	g_assert_cmpint(bsh_target_choose(list, 4, 77, SECOND), !=, first);
}

static void feed(bsh_event_relay_t *relay, const char *text, GString *out)
{
	g_assert_cmpint(bsh_event_relay_feed(relay, text, strlen(text), out),
			==, BSH_OK);
}

/* Guards against a torn event, a repeated one or a gap when another target
 * goes on with a stream. */
static void test_stream_goes_on_without_gap(void)
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

/* Guards against line ends of another kind, and a caller that itself goes on
 * after an event. */
static void test_stream_after_callers_event(void)
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
	g_test_add_func("/entries/doubtful-instances",
			test_entries_leave_out_doubtful_instances);
	g_test_add_func("/retries/fleet-budget",
			test_budget_holds_over_all_instances);
	g_test_add_func("/retries/burst-of-failures",
			test_budget_bears_a_burst_of_failures);
	g_test_add_func("/targets/unreachable",
			test_unreachable_target_is_left_out);
	g_test_add_func("/targets/slow", test_slow_target_gets_less);
	g_test_add_func("/targets/failing", test_failing_target_gets_less);
	g_test_add_func("/targets/same-prompt",
			test_same_prompt_meets_on_one_target);
	g_test_add_func("/stream/goes-on", test_stream_goes_on_without_gap);
	g_test_add_func("/stream/callers-event",
			test_stream_after_callers_event);
	return g_test_run();
}
