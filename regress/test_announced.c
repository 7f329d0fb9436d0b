/* Tests of lib/coordination/announced: which instances need the whole list of
 * targets at the begin of a term.  No network, no clock. */
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "coordination/announced.h"

#define INSTANCES 30U
#define TARGETS	  40U
#define CHANGES	  60U
#define DAYS	  300U

static const bsh_announced_base_t first_term = { 1, 5 };

/* An instance that has received the announcements up to a number of term 1. */
static bsh_announced_t received_through(uint64_t number)
{
	bsh_announced_t announced = { 0 };

	bsh_announced_note(&announced, 1, BSH_ANNOUNCED_BEGIN,
			   BSH_ANNOUNCED_BEGIN, true, true);
	for (uint64_t i = BSH_ANNOUNCED_BEGIN; i < number; i++)
		bsh_announced_note(&announced, 1, i, i + 1, true, false);
	return announced;
}

/* Guards against whole lists for all instances at the begin of a term: for 100
 * instances with 1,000 targets they kept the store's answers from the holder. */
static void test_no_list_after_handover(void)
{
	bsh_announced_t announced = received_through(5);

	bsh_announced_note(&announced, 2, 1, 1, true, false);
	g_assert_false(bsh_announced_is_complete(&announced));
	g_assert_true(bsh_announced_note_base(&announced, 2, &first_term));
	g_assert_true(bsh_announced_is_complete(&announced));
	bsh_announced_note(&announced, 2, 1, 2, true, false);
	g_assert_true(bsh_announced_is_complete(&announced));
}

/* Guards against announcements of the new term that count as lost, as they came
 * before the base of its list: all instances read the store after a holder that
 * gave orders at once. */
static void test_announcements_before_base(void)
{
	bsh_announced_t announced = received_through(5);

	bsh_announced_note(&announced, 2, 1, 2, true, false);
	bsh_announced_note(&announced, 2, 2, 5, true, false);
	g_assert_false(bsh_announced_is_complete(&announced));
	g_assert_true(bsh_announced_note_base(&announced, 2, &first_term));
	g_assert_true(bsh_announced_is_complete(&announced));
	g_assert_cmpuint(announced.through, ==, 5);

	announced = received_through(5);
	bsh_announced_note(&announced, 2, 2, 4, true, false);
	bsh_announced_note(&announced, 2, 4, 5, true, false);
	g_assert_true(bsh_announced_note_base(&announced, 2, &first_term));
	g_assert_false(bsh_announced_is_complete(&announced));
	g_assert_cmpuint(announced.through, ==, BSH_ANNOUNCED_BEGIN);
}

/* Guards against an old list that counts as that of the new holder. */
static void test_list_is_needed(void)
{
	bsh_announced_t announced = received_through(4);
	bsh_announced_base_t unknown = { 0 };

	bsh_announced_note(&announced, 2, 1, 1, true, false);
	g_assert_false(bsh_announced_note_base(&announced, 2, &first_term));
	g_assert_false(bsh_announced_note_base(&announced, 2, &unknown));

	announced = received_through(5);
	bsh_announced_note(&announced, 2, 1, 1, true, false);
	bsh_announced_note(&announced, 3, 1, 1, true, false);
	g_assert_false(bsh_announced_note_base(&announced, 3, &first_term));

	announced = received_through(5);
	bsh_announced_forget(&announced);
	bsh_announced_note(&announced, 2, 1, 1, true, false);
	g_assert_false(bsh_announced_note_base(&announced, 2, &first_term));
}

/* Guards against a base that leaves out an announcement of which the new holder
 * has a state, but not all before it. */
static void test_base_has_later_states(void)
{
	bsh_announced_t announced = received_through(5);

	bsh_announced_note(&announced, 1, 6, 7, true, false);
	g_assert_cmpuint(bsh_announced_base(&announced).number, ==, 7);
	bsh_announced_note_state(&announced, 1, 9);
	g_assert_cmpuint(bsh_announced_base(&announced).number, ==, 9);
	g_assert_cmpuint(bsh_announced_base(&announced).term, ==, 1);
}

/* Guards against a whole list for an instance that has read the store since the
 * begin of the term, and against a list of the store that counts again when the
 * whole list was requested. */
static void test_read_from_store(void)
{
	bsh_announced_t announced = { 0 };

	bsh_announced_note(&announced, 1, 4, 4, false, false);
	g_assert_false(bsh_announced_is_complete(&announced));
	bsh_announced_note_read(&announced);
	g_assert_true(bsh_announced_is_complete(&announced));
	bsh_announced_forget(&announced);
	bsh_announced_note_read(&announced);
	g_assert_false(bsh_announced_is_complete(&announced));
}

/* One instance of a fleet: the last change of each target that it knows. */
typedef struct {
	bsh_announced_t announced;
	uint32_t states[TARGETS];
	bool unannounced[TARGETS]; /* learned from the store */
} instance_t;

static void receive(instance_t *instance, uint64_t term, uint64_t number,
		    uint32_t target, uint32_t state)
{
	instance->states[target] = state;
	instance->unannounced[target] = false;
	bsh_announced_note(&instance->announced, term, number - 1, number, true,
			   false);
}

/* One day: the holder of term 1 announces changes, of which each instance loses
 * some; some instances learn of later changes from the store; one of them begins
 * term 2.  Returns how many need no whole list. */
static uint32_t play(uint32_t seed)
{
	instance_t *fleet = g_new0(instance_t, INSTANCES);
	uint32_t store[TARGETS] = { 0 };
	instance_t *holder;
	bsh_announced_base_t base;
	uint64_t number = BSH_ANNOUNCED_BEGIN;
	uint32_t n = 0;
	bsh_rng_t rng;

	bsh_rng_init(&rng, seed);
	for (uint32_t i = 0; i < INSTANCES; i++)
		bsh_announced_note(&fleet[i].announced, 1, number, number, true,
				   true);
	for (uint32_t c = 1; c <= CHANGES; c++) {
		uint32_t target = bsh_rng_below(&rng, TARGETS);

		store[target] = c;
		if (c <= CHANGES / 2)
			number++;
		for (uint32_t i = 0; i < INSTANCES; i++) {
			if (c <= CHANGES / 2 && bsh_rng_below(&rng, 40) > 0) {
				receive(&fleet[i], 1, number, target, c);
			} else if (c > CHANGES / 2 &&
				   bsh_rng_below(&rng, 3) == 0) {
				/* The holder is cut off; a reader tells. */
				fleet[i].states[target] = c;
				fleet[i].unannounced[target] = true;
			}
		}
	}
	holder = &fleet[bsh_rng_below(&rng, INSTANCES)];
	base = bsh_announced_base(&holder->announced);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		bsh_announced_note(&fleet[i].announced, 2, 1, 1, true, false);
		bsh_announced_note_base(&fleet[i].announced, 2, &base);
	}
	/* It reads the store, and announces what has changed by that or is not
	 * known to be announced. */
	number = BSH_ANNOUNCED_BEGIN;
	for (uint32_t t = 0; t < TARGETS; t++) {
		if (holder->states[t] == store[t] && !holder->unannounced[t])
			continue;
		number++;
		for (uint32_t i = 0; i < INSTANCES; i++)
			receive(&fleet[i], 2, number, t, store[t]);
	}
	for (uint32_t i = 0; i < INSTANCES; i++) {
		if (!bsh_announced_is_complete(&fleet[i].announced))
			continue;
		n++;
		g_assert_cmpmem(fleet[i].states, sizeof(store), store,
				sizeof(store));
	}
	g_free(fleet);
	return n;
}

/* Guards against an instance that counts its list as whole while it differs from
 * that of the new holder: it would send requests to a target that has left. */
static void test_lists_are_the_same(void)
{
	uint32_t n = 0;

	for (uint32_t seed = 1; seed <= DAYS; seed++)
		n += play(seed);
	g_assert_cmpuint(n, >, DAYS * INSTANCES / 4);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/announced/no-list-after-handover",
			test_no_list_after_handover);
	g_test_add_func("/announced/announcements-before-base",
			test_announcements_before_base);
	g_test_add_func("/announced/list-is-needed", test_list_is_needed);
	g_test_add_func("/announced/base-has-later-states",
			test_base_has_later_states);
	g_test_add_func("/announced/read-from-store", test_read_from_store);
	g_test_add_func("/announced/lists-are-the-same",
			test_lists_are_the_same);
	return g_test_run();
}
