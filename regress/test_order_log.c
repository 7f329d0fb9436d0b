/* The log of orders at the voters of the order lease. */
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "coordination/lease.h"
#include "coordination/order_log.h"

#define MS	     INT64_C(1000)
#define SECOND	     INT64_C(1000000)
#define EXCLUSION_US (3 * SECOND + BSH_LEASE_MARGIN_US)
#define KEEP_US	     (BSH_ORDER_LOG_VALID_US + EXCLUSION_US)
#define VOTERS	     5U
#define TARGETS	     40U

static const bsh_voters_t no_voters;

static bsh_voters_t make_voters(char first, uint32_t n)
{
	bsh_voters_t voters = { 0 };

	for (uint32_t i = 0; i < n; i++) {
		char name[2] = { (char)(first + (char)i), '\0' };

		bsh_voters_add(&voters, name);
	}
	return voters;
}

/* Guards against an order whose entry a minority has, or none of the voters that
 * have answered, and against one that is given after its entry counts. */
static void test_entries(void)
{
	bsh_voters_t voters = make_voters('a', 3);
	bsh_voters_t former = make_voters('x', 3);
	uint32_t keys[BSH_ORDER_LOG_KEYS_MAX];
	bsh_order_log_writer_t writer;
	int64_t written_us;
	int64_t sent_us;
	int64_t early_us;

	bsh_order_log_writer_init(&writer);
	bsh_order_log_writer_begin(&writer, 7);
	g_assert_cmpuint(
		bsh_order_log_message(&writer, keys, &early_us, 10 * SECOND),
		==, 0);
	written_us = bsh_order_log_write(&writer, 5, 10 * SECOND);
	bsh_order_log_acknowledge(&writer, "a", early_us);
	bsh_order_log_acknowledge(&writer, "b", early_us);
	/* A message of the same microsecond without the entry. */
	g_assert_false(bsh_order_log_permits(
		written_us,
		bsh_order_log_acknowledged(&writer, &voters, &no_voters),
		10 * SECOND));
	g_assert_cmpuint(
		bsh_order_log_message(&writer, keys, &sent_us, 10 * SECOND), ==,
		1);
	g_assert_cmpuint(keys[0], ==, 5);
	bsh_order_log_acknowledge(&writer, "a", sent_us);
	bsh_order_log_acknowledge(&writer, "x", sent_us);
	g_assert_false(bsh_order_log_permits(
		written_us,
		bsh_order_log_acknowledged(&writer, &voters, &no_voters),
		10 * SECOND + MS));
	bsh_order_log_acknowledge(&writer, "b", sent_us);
	g_assert_true(bsh_order_log_permits(
		written_us,
		bsh_order_log_acknowledged(&writer, &voters, &no_voters),
		10 * SECOND + MS));
	g_assert_false(bsh_order_log_permits(
		written_us,
		bsh_order_log_acknowledged(&writer, &voters, &former),
		10 * SECOND + MS));
	g_assert_false(bsh_order_log_permits(
		written_us,
		bsh_order_log_acknowledged(&writer, &voters, &no_voters),
		10 * SECOND + BSH_ORDER_LOG_VALID_US));
	g_assert_cmpuint(
		bsh_order_log_message(&writer, keys, &sent_us,
				      10 * SECOND + BSH_ORDER_LOG_VALID_US),
		==, 0);
	for (uint32_t i = 0; i < BSH_ORDER_LOG_KEYS_MAX; i++)
		g_assert_cmpint(bsh_order_log_write(&writer, i, 20 * SECOND), >,
				0);
	g_assert_cmpint(bsh_order_log_write(&writer, 1, 20 * SECOND), ==, 0);
	bsh_order_log_writer_begin(&writer, 8);
	g_assert_cmpint(
		bsh_order_log_acknowledged(&writer, &voters, &no_voters), ==,
		0);
	bsh_order_log_writer_finish(&writer);
}

/* Guards against a voter that accepts entries after it has told them, or that
 * answers without those of before its restart. */
static void test_voter(void)
{
	g_autoptr(GArray) list =
		g_array_new(FALSE, FALSE, sizeof(bsh_order_time_t));
	uint32_t keys[] = { 3, 4 };
	bsh_order_log_t log;

	bsh_order_log_init(&log, 10 * SECOND, EXCLUSION_US, 0);
	g_assert_false(bsh_order_log_append(&log, 5, keys, 2, SECOND));
	g_assert_false(bsh_order_log_read(&log, 6, list, SECOND));
	g_assert_true(bsh_order_log_append(&log, 5, keys, 2, 10 * SECOND));
	g_assert_true(bsh_order_log_append(&log, 5, keys, 1, 12 * SECOND));
	g_assert_false(bsh_order_log_read(&log, 4, list, 12 * SECOND));
	g_assert_true(bsh_order_log_read(&log, 6, list, 10 * SECOND + KEEP_US));
	g_assert_cmpuint(list->len, ==, 1);
	g_assert_cmpuint(g_array_index(list, bsh_order_time_t, 0).key, ==, 3);
	g_assert_cmpint(g_array_index(list, bsh_order_time_t, 0).ordered_us, ==,
			12 * SECOND);
	g_assert_false(bsh_order_log_append(&log, 5, keys, 2, 14 * SECOND));
	g_assert_true(bsh_order_log_append(&log, 6, keys, 2, 14 * SECOND));
	bsh_order_log_finish(&log);
}

/* Guards against an answer that counts without one of its parts, or with parts of
 * two answers. */
static void test_answer_in_parts(void)
{
	g_autoptr(GArray) list =
		g_array_new(FALSE, FALSE, sizeof(bsh_order_time_t));
	bsh_voters_t voters = make_voters('a', 1);
	bsh_order_log_reader_t reader;
	bsh_order_list_part_t memory;
	bsh_msg_release_keys_t part = { .term = 9, .revision = 1 };

	for (uint32_t i = 0; i <= BSH_RELEASE_KEYS_MAX; i++) {
		bsh_order_time_t entry = { i, 0 };

		g_array_append_val(list, entry);
	}
	bsh_order_log_reader_init(&reader);
	bsh_order_list_encode((const bsh_order_time_t *)(void *)list->data,
			      list->len, 0, SECOND, &memory, &part);
	g_assert_null(bsh_order_log_receive(&reader, "a", &part, SECOND));
	bsh_order_log_reader_begin(&reader, 9);
	g_assert_null(bsh_order_log_receive(&reader, "a", &part, SECOND));
	part.revision = 2;
	bsh_order_list_encode((const bsh_order_time_t *)(void *)list->data,
			      list->len, 1, SECOND, &memory, &part);
	g_assert_null(bsh_order_log_receive(&reader, "a", &part, SECOND));
	g_assert_false(bsh_order_log_is_read(&reader, &voters, &no_voters));
	bsh_order_list_encode((const bsh_order_time_t *)(void *)list->data,
			      list->len, 0, SECOND, &memory, &part);
	g_assert_nonnull(bsh_order_log_receive(&reader, "a", &part, SECOND));
	g_assert_true(bsh_order_log_is_read(&reader, &voters, &no_voters));
	bsh_order_log_reader_finish(&reader);
}

typedef enum {
	ENTRIES,
	ACKNOWLEDGEMENT,
	QUESTION
} kind_t;

typedef struct {
	kind_t kind;
	uint32_t voter;
	int64_t arrives_us;
	int64_t sent_us;
	uint32_t n;
	uint32_t keys[BSH_ORDER_LOG_KEYS_MAX];
} datagram_t;

typedef struct {
	uint32_t key;
	int64_t written_us;
} waiting_t;

/* A holder, its voters and a successor; messages are lost and delayed. */
typedef struct {
	bsh_rng_t rng;
	bsh_voters_t voters;
	bsh_order_log_t logs[VOTERS];
	bsh_order_log_writer_t writer;
	GArray *waiting;   /* waiting_t */
	GArray *datagrams; /* datagram_t */
	bool answered[VOTERS];
	int64_t ordered_us[TARGETS];  /* last order of the holder */
	int64_t excluded_us[TARGETS]; /* until when the successor waits */
	int64_t read_us; /* when the successor knows all; 0: not yet */
	uint32_t late;	 /* orders after that */
} world_t;

static void post(world_t *w, datagram_t *datagram, int64_t now_us)
{
	if (bsh_rng_below(&w->rng, 4) == 0)
		return;
	datagram->arrives_us =
		now_us + MS + (int64_t)bsh_rng_below(&w->rng, 150) * MS;
	g_array_append_vals(w->datagrams, datagram, 1);
}

static void answer(world_t *w, uint32_t voter, int64_t now_us)
{
	g_autoptr(GArray) list =
		g_array_new(FALSE, FALSE, sizeof(bsh_order_time_t));
	uint32_t n = 0;

	if (w->read_us > 0 ||
	    !bsh_order_log_read(&w->logs[voter], 2, list, now_us))
		return;
	w->answered[voter] = true;
	for (guint i = 0; i < list->len; i++) {
		const bsh_order_time_t *entry =
			&g_array_index(list, bsh_order_time_t, i);

		w->excluded_us[entry->key] =
			MAX(w->excluded_us[entry->key],
			    entry->ordered_us + BSH_ORDER_LOG_VALID_US +
				    EXCLUSION_US);
	}
	for (uint32_t i = 0; i < VOTERS; i++)
		n += w->answered[i];
	if (n > VOTERS / 2)
		w->read_us = now_us;
}

static void deliver(world_t *w, datagram_t *d, int64_t now_us)
{
	datagram_t reply = *d;

	reply.kind = ACKNOWLEDGEMENT;
	if (d->kind == QUESTION)
		answer(w, d->voter, now_us);
	else if (d->kind == ACKNOWLEDGEMENT)
		bsh_order_log_acknowledge(&w->writer, w->voters.names[d->voter],
					  d->sent_us);
	else if (bsh_order_log_append(&w->logs[d->voter], 1, d->keys, d->n,
				      now_us))
		post(w, &reply, now_us);
}

static void deliver_due(world_t *w, int64_t now_us)
{
	for (guint i = 0; i < w->datagrams->len;) {
		datagram_t d = g_array_index(w->datagrams, datagram_t, i);

		if (d.arrives_us > now_us) {
			i++;
			continue;
		}
		g_array_remove_index_fast(w->datagrams, i);
		deliver(w, &d, now_us);
	}
}

static void work_as_holder(world_t *w, int64_t now_us)
{
	int64_t acknowledged_us =
		bsh_order_log_acknowledged(&w->writer, &w->voters, &no_voters);
	datagram_t entries = { .kind = ENTRIES };

	for (guint i = 0; i < w->waiting->len;) {
		waiting_t order = g_array_index(w->waiting, waiting_t, i);

		if (bsh_order_log_permits(order.written_us, acknowledged_us,
					  now_us)) {
			w->ordered_us[order.key] = now_us;
			if (w->read_us > 0)
				w->late++;
		} else if (bsh_order_log_is_valid(order.written_us, now_us)) {
			i++;
			continue;
		}
		g_array_remove_index_fast(w->waiting, i);
	}
	if (bsh_rng_below(&w->rng, 8) == 0) {
		waiting_t order = { bsh_rng_below(&w->rng, TARGETS), 0 };

		order.written_us =
			bsh_order_log_write(&w->writer, order.key, now_us);
		if (order.written_us > 0)
			g_array_append_val(w->waiting, order);
	}
	if (now_us % (20 * MS) != 0)
		return;
	entries.n = bsh_order_log_message(&w->writer, entries.keys,
					  &entries.sent_us, now_us);
	for (entries.voter = 0; entries.voter < VOTERS; entries.voter++)
		post(w, &entries, now_us);
}

static void run_pattern(uint32_t seed, uint32_t *read, uint32_t *orders,
			uint32_t *late)
{
	world_t w = { 0 };
	int64_t freeze_us;
	int64_t thaw_us;
	int64_t takeover_us;

	bsh_rng_init(&w.rng, seed);
	w.voters = make_voters('a', VOTERS);
	w.waiting = g_array_new(FALSE, FALSE, sizeof(waiting_t));
	w.datagrams = g_array_new(FALSE, FALSE, sizeof(datagram_t));
	for (uint32_t i = 0; i < VOTERS; i++)
		bsh_order_log_init(&w.logs[i], 0, EXCLUSION_US, 0);
	bsh_order_log_writer_init(&w.writer);
	bsh_order_log_writer_begin(&w.writer, 1);
	freeze_us = SECOND + (int64_t)bsh_rng_below(&w.rng, 3000) * MS;
	thaw_us = freeze_us + (int64_t)bsh_rng_below(&w.rng, 3000) * MS;
	/* Also while the holder works. */
	takeover_us = 2 * SECOND + (int64_t)bsh_rng_below(&w.rng, 3000) * MS;
	for (int64_t now_us = MS; now_us < 8 * SECOND; now_us += MS) {
		datagram_t question = { .kind = QUESTION };

		deliver_due(&w, now_us);
		if (now_us < freeze_us || now_us >= thaw_us)
			work_as_holder(&w, now_us);
		if (now_us < takeover_us || now_us % (40 * MS) != 0)
			continue;
		for (uint32_t i = 0; i < VOTERS; i++) {
			question.voter = i;
			post(&w, &question, now_us);
		}
	}
	*read += w.read_us > 0;
	*late += w.late;
	for (uint32_t i = 0; i < TARGETS; i++) {
		*orders += w.ordered_us[i] > 0;
		if (w.ordered_us[i] > 0 && w.read_us > 0 &&
		    MAX(w.read_us, w.excluded_us[i]) <
			    w.ordered_us[i] + EXCLUSION_US)
			g_error("seed %u"
				": target %u was ordered at %" G_GINT64_FORMAT
				" and may be ordered at %" G_GINT64_FORMAT,
				seed, i, w.ordered_us[i],
				MAX(w.read_us, w.excluded_us[i]));
	}
	for (uint32_t i = 0; i < VOTERS; i++)
		bsh_order_log_finish(&w.logs[i]);
	bsh_order_log_writer_finish(&w.writer);
	bsh_rng_finish(&w.rng);
	g_array_free(w.waiting, TRUE);
	g_array_free(w.datagrams, TRUE);
}

/* Guards against a target that two holders order within the exclusion time, as
 * the successor does not know of an order: messages are lost and delayed, and the
 * former holder is frozen for a time or works on. */
static void test_patterns(void)
{
	uint32_t read = 0;
	uint32_t orders = 0;
	uint32_t late = 0;

	for (uint32_t seed = 1; seed <= 300; seed++)
		run_pattern(seed, &read, &orders, &late);
	g_assert_cmpuint(read, ==, 300);
	g_assert_cmpuint(orders, >, 300 * TARGETS / 2);
	/* Some patterns have orders after the log was read. */
	g_assert_cmpuint(late, >, 0);
}

/* An instance that replaces the lease of a silent holder at revision 10. */
static bsh_lease_t take_over(bool logged, bool active, int64_t *now_us)
{
	bsh_voters_t voters = make_voters('a', 3);
	bsh_lease_t lease;

	bsh_lease_init(&lease, "b", 3000, 0, 0);
	bsh_lease_announced(&lease, "a", active, 10, 10 * SECOND);
	*now_us = 10 * SECOND + SECOND;
	while (bsh_lease_next(&lease, *now_us) != BSH_LEASE_REPLACE) {
		if (lease.pending_call == BSH_LEASE_READ) {
			bsh_lease_done(&lease, BSH_LEASE_DONE, "a", active, 10,
				       *now_us);
			bsh_lease_set_voters(&lease, 10, &voters, &no_voters);
			bsh_lease_set_logged(&lease, 10, logged);
		}
		*now_us += 10 * MS;
	}
	return lease;
}

/* Guards against seconds without orders after a holder was killed, and against a
 * shorter wait where the log does not have all orders. */
static void test_lease_of_logged_holder(void)
{
	const struct {
		bool logged;
		bool active;
		bool failed; /* the first update */
		bool lost;   /* its answer */
		bool early;  /* the first order is at once */
	} cases[] = { { true, true, false, false, true },
		      { true, true, true, false, true },
		      { true, true, false, true, true },
		      { false, true, false, false, false },
		      { true, false, false, false, false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bool logged = cases[i].logged;
		int64_t now_us;
		bsh_lease_t lease = take_over(logged, cases[i].active, &now_us);

		if (cases[i].failed) {
			bsh_lease_done(&lease, BSH_LEASE_FAILED, NULL, false, 0,
				       now_us);
			now_us += SECOND / 2;
			g_assert_cmpint(bsh_lease_next(&lease, now_us), ==,
					BSH_LEASE_REPLACE);
		}
		if (cases[i].lost) {
			bsh_voters_t voters = make_voters('a', 3);

			bsh_lease_done(&lease, BSH_LEASE_UNKNOWN, NULL, false,
				       0, now_us);
			now_us += SECOND / 2;
			g_assert_cmpint(bsh_lease_next(&lease, now_us), ==,
					BSH_LEASE_READ);
			bsh_lease_done(&lease, BSH_LEASE_DONE, "b", false, 11,
				       now_us);
			bsh_lease_set_voters(&lease, 11, &voters, &no_voters);
			bsh_lease_set_logged(&lease, 11, false);
			now_us += SECOND / 10;
			g_assert_cmpint(bsh_lease_next(&lease, now_us), ==,
					BSH_LEASE_REPLACE);
		}
		bsh_lease_done(&lease, BSH_LEASE_DONE, "b", false, 12, now_us);
		g_assert_cmpint(lease.first_order_us - now_us, >, 2 * SECOND);
		g_assert_true(bsh_lease_awaits_log(&lease, now_us) ==
			      cases[i].early);
		bsh_lease_log_read(&lease, now_us + 10 * MS);
		g_assert_true(bsh_lease_may_order(&lease, now_us + 10 * MS) ==
			      cases[i].early);
	}
}

/* Guards against a process that replaces a successor, or its own successor after a
 * release, and does not wait for orders that the successor has learned of late. */
static void test_log_read_late(void)
{
	int64_t now_us;
	bsh_lease_t lease = take_over(true, true, &now_us);
	int64_t read_us;

	bsh_lease_done(&lease, BSH_LEASE_DONE, "b", false, 11, now_us);
	read_us = now_us + 3300 * MS;
	while (now_us < read_us) {
		now_us += 100 * MS;
		if (bsh_lease_next(&lease, now_us) == BSH_LEASE_REPLACE)
			bsh_lease_done(&lease, BSH_LEASE_DONE, "b",
				       lease.update_active, lease.revision + 1,
				       now_us);
	}
	bsh_lease_log_read(&lease, now_us);
	g_assert_true(bsh_lease_may_order(&lease, now_us));
	g_assert_false(bsh_lease_hand_over(&lease, now_us));
	while (now_us < read_us + EXCLUSION_US) {
		now_us += 100 * MS;
		if (bsh_lease_next(&lease, now_us) != BSH_LEASE_REPLACE)
			continue;
		g_assert_false(lease.update_active);
		bsh_lease_done(&lease, BSH_LEASE_DONE, "b", false,
			       lease.revision + 1, now_us);
	}
	g_assert_true(bsh_lease_hand_over(&lease, now_us));
}

/* Guards against voters that the new holder chose before it held the lease: its
 * first object named itself alone, without which no other one had a majority. */
static void test_voters_are_kept(void)
{
	bsh_voters_t voters = make_voters('a', 3);
	bsh_voters_t own = make_voters('b', 1);
	int64_t now_us;
	bsh_lease_t lease = take_over(true, true, &now_us);

	bsh_lease_set_candidates(&lease, &own);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "b", false, 11, now_us);
	bsh_lease_log_read(&lease, now_us);
	g_assert_true(bsh_lease_may_order(&lease, now_us));
	now_us += SECOND;
	g_assert_cmpint(bsh_lease_next(&lease, now_us), ==, BSH_LEASE_REPLACE);
	g_assert_true(bsh_voters_equal(&lease.voters, &voters));
	g_assert_cmpuint(lease.former_voters.n, ==, 0);
}

/* Guards against orders that are not logged while the lease object may say that
 * all are, and against an object that keeps saying so. */
static void test_lease_says_logged(void)
{
	bsh_voters_t voters = make_voters('a', 3);
	bsh_lease_t lease;
	int64_t now_us = 0;

	bsh_lease_init(&lease, "a", 3000, 0, 0);
	bsh_lease_set_candidates(&lease, &voters);
	g_assert_cmpint(bsh_lease_next(&lease, 0), ==, BSH_LEASE_CREATE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "a", true, 1, now_us);
	bsh_lease_set_may_log(&lease, true);
	now_us += SECOND;
	g_assert_cmpint(bsh_lease_next(&lease, now_us), ==, BSH_LEASE_REPLACE);
	g_assert_true(lease.update_logged);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "a", true, 2, now_us);
	g_assert_true(bsh_lease_must_log(&lease));
	now_us += SECOND;
	g_assert_cmpint(bsh_lease_next(&lease, now_us), ==, BSH_LEASE_REPLACE);
	g_assert_true(lease.update_logged);
	g_assert_true(bsh_lease_must_log(&lease));
	bsh_lease_done(&lease, BSH_LEASE_UNKNOWN, NULL, false, 0, now_us);
	bsh_lease_set_may_log(&lease, false);
	now_us += SECOND / 2;
	g_assert_cmpint(bsh_lease_next(&lease, now_us), ==, BSH_LEASE_READ);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "a", true, 3, now_us);
	g_assert_true(bsh_lease_must_log(&lease));
	/* Due at once, before the next renewal. */
	g_assert_cmpint(bsh_lease_next(&lease, now_us), ==, BSH_LEASE_REPLACE);
	g_assert_false(lease.update_logged);
	bsh_lease_done(&lease, BSH_LEASE_FAILED, NULL, false, 0, now_us);
	g_assert_true(bsh_lease_must_log(&lease));
	now_us += SECOND / 2;
	g_assert_cmpint(bsh_lease_next(&lease, now_us), ==, BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "a", true, 4, now_us);
	g_assert_false(bsh_lease_must_log(&lease));
	g_assert_cmpint(bsh_lease_next(&lease, now_us), ==, BSH_LEASE_NOTHING);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/order-log/entries", test_entries);
	g_test_add_func("/order-log/voter", test_voter);
	g_test_add_func("/order-log/answer-in-parts", test_answer_in_parts);
	g_test_add_func("/order-log/patterns", test_patterns);
	g_test_add_func("/order-log/lease-of-logged-holder",
			test_lease_of_logged_holder);
	g_test_add_func("/order-log/log-read-late", test_log_read_late);
	g_test_add_func("/order-log/voters-are-kept", test_voters_are_kept);
	g_test_add_func("/order-log/lease-says-logged", test_lease_says_logged);
	return g_test_run();
}
