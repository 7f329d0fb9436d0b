#include <glib.h>

#include "coordination/departed_target.h"
#include "coordination/missing_target.h"
#include "coordination/target_inventory.h"

#define MS INT64_C(1000)

/* Guards against requests to a leaving target after the drain time: the grace
 * time of a missing target must end by the drain time counted from the last
 * moment at which its entry can have been removed unnoticed. */
static void test_grace_after_handover(void)
{
	/* The holder's last answer from the store came at 17,500 ms, another
	 * instance read the list at 18,690 ms. */
	int64_t until_us = bsh_missing_target_until_us(18690 * MS, 17500 * MS,
						       3000 * MS, 0);

	g_assert_cmpint(until_us, <, (17500 + 3000) * MS);
	g_assert_cmpint(until_us, >, 18690 * MS);
}

/* Guards against a target that is dropped although its entry may come back. */
static void test_grace_with_fresh_list(void)
{
	int64_t until_us = bsh_missing_target_until_us(10000 * MS, 9990 * MS,
						       2000 * MS, 0);

	g_assert_cmpint(until_us, >=, 11000 * MS);
	g_assert_cmpint(until_us, <, 11990 * MS);
	/* After an outage of the store entries come back within about 2 s. */
	g_assert_cmpint(bsh_missing_target_until_us(10000 * MS, 2000 * MS,
						    2000 * MS, 12500 * MS),
			==, 12500 * MS);
}

/* Guards against a time in the past when the list was complete long ago. */
static void test_grace_with_old_list(void)
{
	g_assert_cmpint(bsh_missing_target_until_us(10000 * MS, 1000 * MS,
						    2000 * MS, 0),
			==, 10000 * MS);
}

/* Guards against requests to a target that is leaving: its instance was cut off
 * when the target began to leave, and of the states that the lease holder sent
 * afterwards that of this target was lost. */
static void test_inventory_with_lost_state(void)
{
	bsh_target_mark_t marks[] = { { 1, 7, 900 }, { 2, 7, 120 } };
	g_autoptr(GHashTable) changes = g_hash_table_new(NULL, NULL);

	g_hash_table_insert(changes, GUINT_TO_POINTER(1), GUINT_TO_POINTER(30));
	g_hash_table_insert(changes, GUINT_TO_POINTER(2),
			    GUINT_TO_POINTER(121));
	g_assert_false(bsh_target_inventory_covered(changes, 7, marks, 2));
	marks[1].number = 121;
	g_assert_true(bsh_target_inventory_covered(changes, 7, marks, 2));
	/* A state of an earlier term says nothing, whatever its number. */
	marks[1].term = 6;
	g_assert_false(bsh_target_inventory_covered(changes, 7, marks, 2));
	/* Nor does a state of a target that the inventory does not name. */
	marks[1] = (bsh_target_mark_t){ 3, 7, 901 };
	g_assert_false(bsh_target_inventory_covered(changes, 7, marks, 2));
}

/* Guards against requests to a target that has left, as the store was restored
 * from a copy with its entry, and against a live one that is never used again. */
static void test_departed_target(void)
{
	bsh_departed_t departed;
	bsh_departed_entry_t entry = { .id = "i-1",
				       .started_ms = 7,
				       .epoch = 1,
				       .revision = 100,
				       .from_list = true };

	bsh_departed_init(&departed);
	g_assert_true(bsh_departed_accept(&departed, &entry, MS));
	bsh_departed_add(&departed, "i-1", 7, 0, MS);
	g_assert_false(bsh_departed_accept(&departed, &entry, 2 * MS));
	g_assert_false(bsh_departed_accept(&departed, &entry, 3 * MS));
	entry.revision = 101;
	g_assert_true(bsh_departed_accept(&departed, &entry, 4 * MS));
	/* The revisions of a later restore say nothing about those before. */
	bsh_departed_add(&departed, "i-1", 7, 0, MS);
	g_assert_false(bsh_departed_accept(&departed, &entry, 5 * MS));
	entry.epoch = 2;
	entry.revision = 200;
	g_assert_false(bsh_departed_accept(&departed, &entry, 6 * MS));
	/* A watch returns what has just been written. */
	entry.from_list = false;
	g_assert_true(bsh_departed_accept(&departed, &entry, 7 * MS));
	/* Entries of a new process, and those that were written without a
	 * restore since, are not of the copy. */
	entry.from_list = true;
	bsh_departed_add(&departed, "i-1", 7, 0, MS);
	entry.started_ms = 8;
	g_assert_true(bsh_departed_accept(&departed, &entry, 8 * MS));
	bsh_departed_add(&departed, "i-1", 8, 2, MS);
	g_assert_true(bsh_departed_accept(&departed, &entry, 9 * MS));
	bsh_departed_finish(&departed);
}

/* Guards against a live target that is never used again, as only a counter of its
 * entry changes, and against departures that are kept for good. */
static void test_departure_expires(void)
{
	bsh_departed_t departed;
	bsh_departed_entry_t entry = {
		.id = "i-1", .epoch = 1, .revision = 100, .from_list = true
	};
	int64_t found_us = 10 * MS;

	bsh_departed_init(&departed);
	bsh_departed_add(&departed, "i-1", 0, 0, MS);
	g_assert_false(bsh_departed_accept(&departed, &entry, found_us));
	g_assert_false(bsh_departed_expire(
		&departed, found_us + BSH_DEPARTED_CONFIRM_US - MS));
	g_assert_false(bsh_departed_accept(
		&departed, &entry, found_us + BSH_DEPARTED_CONFIRM_US - MS));
	g_assert_true(bsh_departed_expire(&departed,
					  found_us + BSH_DEPARTED_CONFIRM_US));
	g_assert_true(bsh_departed_accept(&departed, &entry,
					  found_us + BSH_DEPARTED_CONFIRM_US));
	bsh_departed_add(&departed, "i-1", 0, 0, MS);
	g_assert_false(
		bsh_departed_expire(&departed, MS + BSH_DEPARTED_KEEP_US));
	g_assert_true(bsh_departed_accept(&departed, &entry,
					  MS + BSH_DEPARTED_KEEP_US));
	bsh_departed_finish(&departed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/missing-target/handover", test_grace_after_handover);
	g_test_add_func("/missing-target/fresh-list",
			test_grace_with_fresh_list);
	g_test_add_func("/missing-target/old-list", test_grace_with_old_list);
	g_test_add_func("/target-inventory/lost-state",
			test_inventory_with_lost_state);
	g_test_add_func("/departed-target/restore", test_departed_target);
	g_test_add_func("/departed-target/expires", test_departure_expires);
	return g_test_run();
}
