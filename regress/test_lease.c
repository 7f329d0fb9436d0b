#include <glib.h>

#include <string.h>

#include "base/rng.h"
#include "coordination/lease.h"
#include "coordination/quorum.h"

#define LEASE_MS 3000U
#define SECOND	 INT64_C(1000000)

/* Guards against two holders that give orders within one lease time, whatever
 * the first one's process was doing. */
static void test_terms_do_not_overlap(void)
{
	bsh_lease_t first;
	bsh_lease_t second;
	int64_t last_order_us = 0;
	int64_t now_us;

	bsh_lease_init(&first, "entry-1", LEASE_MS, 0, 0);
	bsh_lease_init(&second, "entry-2", LEASE_MS, 0, 0);
	g_assert_cmpint(bsh_lease_next(&first, 0), ==, BSH_LEASE_CREATE);
	bsh_lease_done(&first, BSH_LEASE_DONE, "entry-1", true, 10, 1000);
	g_assert_cmpint(bsh_lease_next(&second, 2000), ==, BSH_LEASE_CREATE);
	bsh_lease_done(&second, BSH_LEASE_CONFLICT, "entry-1", true, 10, 3000);
	/* The first one is cut off from the store and renews no more. */
	for (now_us = 4000; now_us < 20 * SECOND; now_us += 10000) {
		if (bsh_lease_next(&first, now_us) != BSH_LEASE_NOTHING)
			bsh_lease_done(&first, BSH_LEASE_UNKNOWN, NULL, true, 0,
				       now_us);
		if (bsh_lease_may_order(&first, now_us))
			last_order_us = now_us;
		if (bsh_lease_next(&second, now_us) == BSH_LEASE_REPLACE)
			bsh_lease_done(&second, BSH_LEASE_DONE, "entry-2", true,
				       11, now_us + 1000);
		if (bsh_lease_may_order(&second, now_us))
			break;
	}
	g_assert_cmpint(last_order_us, >, 0);
	g_assert_cmpint(now_us, <, 20 * SECOND);
	g_assert_cmpint(now_us - last_order_us, >, LEASE_MS * 1000);
	g_assert_cmpuint(second.term, >, first.term);
}

/* Guards against a holder that was paused past its term and then goes on. */
static void test_paused_holder_stops(void)
{
	bsh_lease_t lease;

	bsh_lease_init(&lease, "entry-1", LEASE_MS, 0, 0);
	bsh_lease_next(&lease, 0);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-1", true, 10, 1000);
	g_assert_true(bsh_lease_may_order(&lease, 2000));
	g_assert_false(bsh_lease_may_order(&lease, 3 * SECOND));
	/* Another one has taken it over meanwhile. */
	g_assert_cmpint(bsh_lease_next(&lease, 3 * SECOND), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_CONFLICT, "entry-2", true, 12,
		       3 * SECOND + 1000);
	g_assert_false(bsh_lease_may_order(&lease, 3 * SECOND + 2000));
	g_assert_cmpstr(lease.holder, ==, "entry-2");
}

/* Guards against an update that is taken as failed although it was, or will
 * be, carried out. */
static void test_lost_answer_is_read_back(void)
{
	bsh_lease_t lease;

	bsh_lease_init(&lease, "entry-1", LEASE_MS, 0, 0);
	bsh_lease_next(&lease, 0);
	bsh_lease_done(&lease, BSH_LEASE_UNKNOWN, NULL, true, 0, 1000);
	g_assert_false(bsh_lease_may_order(&lease, SECOND));
	g_assert_cmpint(bsh_lease_next(&lease, SECOND), ==, BSH_LEASE_READ);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-1", true, 10,
		       SECOND + 1000);
	g_assert_cmpint(bsh_lease_next(&lease, SECOND + 2000), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-1", true, 11,
		       SECOND + 3000);
	g_assert_true(bsh_lease_may_order(&lease, SECOND + 4000));
	g_assert_cmpuint(lease.term, ==, 11);
}

/* Guards against a renewal whose lost answer ends the term although nobody
 * else has taken it. */
static void test_lost_renewal_goes_on(void)
{
	bsh_lease_t lease;

	bsh_lease_init(&lease, "entry-1", LEASE_MS, 0, 0);
	bsh_lease_next(&lease, 0);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-1", true, 10, 1000);
	g_assert_cmpint(bsh_lease_next(&lease, SECOND + 1000), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_UNKNOWN, NULL, true, 0,
		       SECOND + 10000);
	g_assert_cmpint(bsh_lease_next(&lease, SECOND + 300000), ==,
			BSH_LEASE_READ);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-1", true, 12,
		       SECOND + 301000);
	g_assert_true(bsh_lease_may_order(&lease, SECOND + 302000));
	g_assert_cmpint(bsh_lease_next(&lease, SECOND + 302000), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-1", true, 13,
		       SECOND + 303000);
	g_assert_true(bsh_lease_may_order(&lease, 2 * SECOND));
	g_assert_cmpuint(lease.term, ==, 10);
}

/* Guards against a takeover whose lost answer makes the new holder forget that
 * it has to wait for the former one. */
static void test_lost_takeover_still_waits(void)
{
	bsh_lease_t lease;

	bsh_lease_init(&lease, "entry-2", LEASE_MS, 0, 0);
	bsh_lease_announced(&lease, "entry-1", true, 10, SECOND);
	g_assert_cmpint(bsh_lease_next(&lease, 4 * SECOND), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_UNKNOWN, NULL, true, 0,
		       4 * SECOND + 1000);
	g_assert_cmpint(bsh_lease_next(&lease, 5 * SECOND), ==, BSH_LEASE_READ);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-2", false, 11,
		       5 * SECOND + 1000);
	g_assert_cmpint(bsh_lease_next(&lease, 5 * SECOND + 2000), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-2", false, 12,
		       5 * SECOND + 3000);
	g_assert_false(bsh_lease_may_order(&lease, 6 * SECOND));
}

/* Guards against a restarted process that goes on with a term whose wait its
 * predecessor had not finished. */
static void test_restart_during_wait(void)
{
	bsh_lease_t lease;

	bsh_lease_init(&lease, "entry-2", LEASE_MS, 0, 0);
	bsh_lease_next(&lease, 0);
	bsh_lease_done(&lease, BSH_LEASE_CONFLICT, "entry-2", false, 11, 1000);
	g_assert_cmpint(bsh_lease_next(&lease, 300000), ==, BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-2", false, 12, 301000);
	g_assert_false(bsh_lease_may_order(&lease, 2 * SECOND));
	bsh_lease_init(&lease, "entry-2", LEASE_MS, 0, 0);
	bsh_lease_next(&lease, 0);
	bsh_lease_done(&lease, BSH_LEASE_CONFLICT, "entry-2", true, 12, 1000);
	g_assert_cmpint(bsh_lease_next(&lease, 300000), ==, BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-2", true, 13, 301000);
	g_assert_true(bsh_lease_may_order(&lease, 302000));
}

/* Guards against a graceful stop that leaves the targets without orders for
 * the whole lease time, and against a successor that does not wait. */
static void test_release_hands_over(void)
{
	bsh_lease_t first;
	bsh_lease_t second;

	bsh_lease_init(&first, "entry-1", LEASE_MS, 0, 0);
	bsh_lease_init(&second, "entry-2", LEASE_MS, 0, 0);
	bsh_lease_next(&first, 0);
	bsh_lease_done(&first, BSH_LEASE_DONE, "entry-1", true, 10, 1000);
	bsh_lease_announced(&second, "entry-1", true, 10, 2000);
	bsh_lease_release(&first);
	g_assert_false(bsh_lease_may_order(&first, 3000));
	g_assert_cmpint(bsh_lease_next(&first, 3000), ==, BSH_LEASE_REPLACE);
	bsh_lease_done(&first, BSH_LEASE_DONE, "", true, 11, 4000);
	bsh_lease_released(&second, "entry-1", true, false, 11, 5000);
	g_assert_cmpint(bsh_lease_next(&second, 6000), ==, BSH_LEASE_READ);
	bsh_lease_done(&second, BSH_LEASE_DONE, "", true, 11, 6500);
	g_assert_cmpint(bsh_lease_next(&second, 6600), ==, BSH_LEASE_REPLACE);
	bsh_lease_done(&second, BSH_LEASE_DONE, "entry-2", true, 12, 7000);
	g_assert_false(bsh_lease_may_order(&second, 8000));
	g_assert_cmpint(second.first_order_us, >, LEASE_MS * 1000);
	g_assert_cmpint(second.first_order_us, <, 4 * SECOND);
}

/* Guards against a holder that is too small for the work of a large fleet while
 * larger instances live: it tells all others too late of what changes. */
static void test_larger_instances_first(void)
{
	static const double shares[] = { 0.06, 0.12, 0.25, 0.5, 1.0 };

	for (size_t s = 1; s < G_N_ELEMENTS(shares); s++) {
		uint32_t slowest_us = 0;
		uint32_t fastest_us = UINT32_MAX;

		for (int i = 0; i < 200; i++) {
			g_autofree char *name = g_strdup_printf("front-%d", i);

			slowest_us = MAX(
				slowest_us,
				bsh_lease_takeover_delay_us(name, shares[s]));
			fastest_us =
				MIN(fastest_us, bsh_lease_takeover_delay_us(
							name, shares[s - 1]));
		}
		g_assert_cmpuint(slowest_us, <, fastest_us);
	}
}

/* A holder that renewed at 1 ms and waits for nobody. */
static void hold(bsh_lease_t *lease)
{
	bsh_lease_init(lease, "entry-1", LEASE_MS, 0, 0);
	bsh_lease_next(lease, 0);
	bsh_lease_done(lease, BSH_LEASE_DONE, "entry-1", true, 10, 1000);
}

/* Guards against targets without orders while the store is away: a holder that
 * a majority supports goes on, and no longer than its successor waits. */
static void test_majority_extends(void)
{
	bsh_lease_t lease;

	hold(&lease);
	bsh_lease_supported(&lease, 4 * SECOND, 2 * SECOND);
	g_assert_true(bsh_lease_may_order(&lease, 3 * SECOND));
	g_assert_false(bsh_lease_may_order(&lease, 4 * SECOND));
	bsh_lease_supported(&lease, 60 * SECOND, 3 * SECOND);
	g_assert_true(bsh_lease_may_order(&lease, 9 * SECOND));
	g_assert_false(bsh_lease_may_order(&lease, 11 * SECOND));
}

/* Guards against a successor that does not wait for a holder that may be
 * extended, and one that waits for it although a majority has left it. */
static void test_successor_of_extended(void)
{
	bsh_lease_t lease;

	bsh_lease_init(&lease, "entry-2", LEASE_MS, 0, 0);
	bsh_lease_announced(&lease, "entry-1", true, 10, SECOND);
	g_assert_cmpint(bsh_lease_next(&lease, 2 * SECOND), ==,
			BSH_LEASE_NOTHING);
	g_assert_cmpint(bsh_lease_next(&lease, 4 * SECOND), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-2", false, 11,
		       4 * SECOND + 1000);
	g_assert_cmpint(lease.first_order_us, >=,
			SECOND + BSH_LEASE_EXTENSION_US + LEASE_MS * 1000);
	bsh_lease_supported(&lease, 6 * SECOND, 5 * SECOND);
	g_assert_cmpint(lease.first_order_us, >=, 5 * SECOND + LEASE_MS * 1000);
	g_assert_cmpint(lease.first_order_us, <, 9 * SECOND);
}

/* Guards against a lease that is taken from a holder that lives, because the
 * store is away for all, or has just come back. */
static void test_living_holder_keeps(void)
{
	bsh_lease_t lease;
	int64_t now_us;

	bsh_lease_init(&lease, "entry-2", LEASE_MS, 0, 0);
	for (now_us = SECOND; now_us < 9 * SECOND; now_us += 300000) {
		bsh_lease_announced(&lease, "entry-1", true, 10, now_us);
		bsh_lease_set_store_reachable(&lease, false, now_us);
		g_assert_cmpint(bsh_lease_next(&lease, now_us), ==,
				BSH_LEASE_NOTHING);
	}
	bsh_lease_set_store_reachable(&lease, true, now_us);
	bsh_lease_announced(&lease, "entry-1", true, 10, now_us);
	g_assert_cmpint(bsh_lease_next(&lease, now_us + SECOND / 2), ==,
			BSH_LEASE_NOTHING);
	/* Only the holder is cut off from the store. */
	bsh_lease_announced(&lease, "entry-1", true, 10, now_us + SECOND);
	g_assert_cmpint(bsh_lease_next(&lease, now_us + SECOND + 1000), ==,
			BSH_LEASE_REPLACE);
}

/* Guards against a successor that waits for all targets although its
 * predecessor has left the list of those ordered lately. */
static void test_clean_release(void)
{
	bsh_lease_t lease;

	bsh_lease_init(&lease, "entry-2", LEASE_MS, 0, 0);
	bsh_lease_released(&lease, "entry-1", true, false, 11, 5000);
	g_assert_cmpint(bsh_lease_next(&lease, 6000), ==, BSH_LEASE_READ);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "", true, 11, 7000);
	bsh_lease_set_has_order_list(&lease, 11);
	g_assert_cmpint(bsh_lease_next(&lease, 8000), ==, BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-2", true, 12, 9000);
	g_assert_true(bsh_lease_may_order(&lease, 10000));

	/* One that had not waited itself leaves nothing that counts. */
	bsh_lease_init(&lease, "entry-2", LEASE_MS, 0, 0);
	bsh_lease_released(&lease, "entry-1", false, false, 11, 5000);
	bsh_lease_next(&lease, 6000);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "", false, 11, 7000);
	bsh_lease_set_has_order_list(&lease, 11);
	g_assert_cmpint(bsh_lease_next(&lease, 8000), ==, BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-2", false, 12, 9000);
	g_assert_cmpint(lease.first_order_us, >, BSH_LEASE_EXTENSION_US);
}

/* Guards against targets without orders while only the holder cannot reach the
 * store, and against two holders when it reaches it again. */
static void test_handover(void)
{
	bsh_lease_t first;
	bsh_lease_t second;

	hold(&first);
	bsh_lease_init(&second, "entry-2", LEASE_MS, 0, 0);
	bsh_lease_announced(&second, "entry-1", true, 10, 2000);
	g_assert_cmpint(bsh_lease_next(&first, SECOND), ==, BSH_LEASE_REPLACE);
	/* Its update may still be carried out. */
	g_assert_false(bsh_lease_hand_over(&first, SECOND));
	bsh_lease_done(&first, BSH_LEASE_FAILED, NULL, false, 0, SECOND + 1000);
	g_assert_true(bsh_lease_hand_over(&first, SECOND + 2000));
	g_assert_false(bsh_lease_may_order(&first, SECOND + 2000));
	bsh_lease_released(&second, "entry-1", true, true, 10, SECOND + 3000);
	g_assert_cmpint(bsh_lease_next(&second, SECOND + 4000), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&second, BSH_LEASE_DONE, "entry-2", true, 11,
		       SECOND + 5000);
	g_assert_true(bsh_lease_may_order(&second, SECOND + 6000));
	g_assert_cmpint(bsh_lease_next(&first, 3 * SECOND), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&first, BSH_LEASE_CONFLICT, "entry-2", true, 11,
		       3 * SECOND + 1000);
	g_assert_false(bsh_lease_may_order(&first, 3 * SECOND + 2000));
	/* What is told late of an older revision changes nothing, nor what the
	 * former holder tells of the new one. */
	g_assert_false(bsh_lease_released(&first, "entry-1", true, true, 10,
					  4 * SECOND));
	g_assert_false(bsh_lease_released(&first, "entry-1", true, true, 11,
					  4 * SECOND));
	g_assert_cmpstr(first.holder, ==, "entry-2");
}

/* Guards against a promise that is broken, forgotten at a restart, or counted
 * for longer than it is kept. */
static void test_promise(void)
{
	bsh_promise_t promise;
	bsh_quorum_t quorum;

	bsh_promise_init(&promise, 0);
	g_assert_false(bsh_promise_give(&promise, 5, SECOND, SECOND));
	g_assert_true(bsh_promise_give(&promise, 5, 2 * SECOND, 2 * SECOND));
	g_assert_false(bsh_promise_give(&promise, 6, 3 * SECOND, 3 * SECOND));
	g_assert_true(bsh_promise_give(&promise, 6, 4 * SECOND, 4 * SECOND));
	g_assert_false(bsh_promise_give(&promise, 5, 9 * SECOND, 9 * SECOND));
	/* The holder's last message is old. */
	g_assert_false(bsh_promise_give(&promise, 6, 4 * SECOND, 9 * SECOND));
	bsh_promise_end(&promise, 6, 4 * SECOND);
	g_assert_true(bsh_promise_give(&promise, 7, 4 * SECOND, 4 * SECOND));

	bsh_quorum_init(&quorum);
	bsh_quorum_set_instances(&quorum, 5, 0);
	bsh_quorum_set_instances(&quorum, 2, SECOND);
	bsh_quorum_add(&quorum, "a", 3 * SECOND);
	bsh_quorum_add(&quorum, "b", 2 * SECOND);
	g_assert_cmpint(bsh_quorum_support_until(&quorum), ==, 0);
	bsh_quorum_add(&quorum, "c", SECOND);
	bsh_quorum_add(&quorum, "d", SECOND / 2);
	g_assert_cmpint(bsh_quorum_support_until(&quorum), ==,
			SECOND + BSH_QUORUM_PROMISE_US);
	bsh_quorum_finish(&quorum);
}

/* Several instances with a store and a network that fail at random. */

#define NODES	  5
#define TARGETS	  6
#define STEP_US	  INT64_C(20000)
#define BEACON_US INT64_C(300000)
#define REPORT_US INT64_C(250000)
#define SIM_US	  (120 * SECOND)
#define SIM_SEEDS 500
#define MAIL_MAX  4096
#define DELAY_MAX 60

typedef struct {
	char name[16];
	bsh_lease_t lease;
	bsh_promise_t promise;
	bsh_quorum_t quorum;
	uint64_t quorum_term;
	uint64_t echo_term;
	int64_t echo_us;
	int64_t echo_heard_us;
	int holder; /* as last heard; -1: none */
	int64_t beacon_us;
	int64_t report_us;
	int64_t ordered_us[TARGETS];
	int64_t hold_us[TARGETS]; /* no order before */
	int64_t peer_reached_us;
	int64_t answered_us; /* last answer of the store */
	uint32_t tell_release;
	uint64_t released_revision;
	bool was_holder;
	int64_t frozen_until_us;
	int64_t down_until_us;
	bool has_call;
	bsh_lease_call_t call;
	int64_t call_at_us; /* when its outcome is decided */
	bool update_active;
	bool began_release;
	bool began_listed;
	uint64_t call_revision;
} node_t;

typedef struct {
	int from;
	int to;
	int64_t at_us;
	bool beacon;
	uint64_t term;
	uint64_t revision;
	bool active;
	bool release;
	bool listed;
	bool reaches;
	int64_t sent_us; /* or the echo */
	int64_t age_us[TARGETS];
} mail_t;

typedef struct {
	bsh_rng_t rng;
	node_t nodes[NODES];
	mail_t mail[MAIL_MAX];
	int n_mail;
	bool exists;
	uint64_t revision;
	char holder[16];
	bool active;
	bool listed;
	int64_t ordered_us[TARGETS]; /* as a release left it */
	int64_t away_until_us;
	bool cut[NODES][NODES]; /* from one to another */
	int64_t cut_until_us;
	bool store_cut[NODES];
	int64_t store_cut_until_us;
	/* What is checked. */
	int last_by[TARGETS];
	int64_t last_us[TARGETS];
	uint64_t orders;
	uint64_t orders_away; /* while the store was away for 3 s */
	int64_t away_since_us;
	uint64_t handovers;
} sim_t;

static uint32_t draw(sim_t *sim, uint32_t n)
{
	return bsh_rng_below(&sim->rng, n);
}

static void start_node(node_t *node, int number, int64_t now_us)
{
	g_snprintf(node->name, sizeof(node->name), "entry-%d", number);
	bsh_lease_init(&node->lease, node->name, LEASE_MS,
		       (uint32_t)number * 90000U, now_us);
	bsh_promise_init(&node->promise, now_us);
	bsh_quorum_init(&node->quorum);
	bsh_quorum_set_instances(&node->quorum, NODES, now_us);
	node->quorum_term = 0;
	node->echo_term = 0;
	node->echo_us = 0;
	node->holder = -1;
	node->has_call = false;
	node->frozen_until_us = 0;
	node->peer_reached_us = 0;
	node->answered_us = 0;
	node->tell_release = 0;
	node->was_holder = false;
	memset(node->ordered_us, 0, sizeof(node->ordered_us));
	memset(node->hold_us, 0, sizeof(node->hold_us));
}

static bool reaches_store(const sim_t *sim, int n, int64_t now_us)
{
	return now_us >= sim->away_until_us && !sim->store_cut[n];
}

static void send(sim_t *sim, mail_t mail, int64_t now_us)
{
	if (sim->n_mail == MAIL_MAX || draw(sim, 20) == 0 ||
	    sim->cut[mail.from][mail.to])
		return;
	mail.at_us = now_us + 1000 * (1 + draw(sim, DELAY_MAX));
	sim->mail[sim->n_mail++] = mail;
}

static void broadcast(sim_t *sim, mail_t mail, int64_t now_us)
{
	for (mail.to = 0; mail.to < NODES; mail.to++)
		if (mail.to != mail.from)
			send(sim, mail, now_us);
}

static void beacon(sim_t *sim, int n, int64_t now_us)
{
	const bsh_lease_t *lease = &sim->nodes[n].lease;

	broadcast(sim,
		  (mail_t){ .from = n,
			    .beacon = true,
			    .term = lease->term,
			    .revision = lease->revision,
			    .active = lease->active,
			    .sent_us = now_us },
		  now_us);
}

static void tell_release(sim_t *sim, int n, int64_t now_us)
{
	node_t *node = &sim->nodes[n];
	mail_t mail = { .from = n,
			.release = true,
			.listed = bsh_lease_is_order_list_complete(&node->lease,
								   now_us),
			.term = node->lease.term,
			.revision = node->lease.revision,
			.active = node->lease.active };

	for (int t = 0; t < TARGETS; t++)
		mail.age_us[t] = now_us - node->ordered_us[t];
	broadcast(sim, mail, now_us);
	node->tell_release--;
}

static void hold_targets(node_t *node, const int64_t *age_us, int64_t now_us)
{
	int64_t gap_us = LEASE_MS * 1000 + BSH_LEASE_MARGIN_US;

	for (int t = 0; t < TARGETS; t++) {
		int64_t ordered_us = now_us - age_us[t];

		node->hold_us[t] = MAX(node->hold_us[t], ordered_us + gap_us);
		/* Passed on with the own list. */
		node->ordered_us[t] = MAX(node->ordered_us[t], ordered_us);
	}
}

static void receive(sim_t *sim, const mail_t *mail, int64_t now_us)
{
	node_t *node = &sim->nodes[mail->to];

	if (mail->release) {
		if (!bsh_lease_released(
			    &node->lease, sim->nodes[mail->from].name,
			    mail->active, mail->listed, mail->revision, now_us))
			return;
		if (mail->listed)
			hold_targets(node, mail->age_us, now_us);
		bsh_promise_end(&node->promise, mail->term, now_us);
		return;
	}
	if (!mail->beacon) {
		if (mail->term != 0 && mail->term == node->quorum_term)
			bsh_quorum_add(&node->quorum,
				       sim->nodes[mail->from].name,
				       mail->sent_us);
		if (mail->reaches)
			node->peer_reached_us = now_us;
		return;
	}
	if (node->lease.known && mail->revision < node->lease.revision)
		return;
	bsh_lease_announced(&node->lease, sim->nodes[mail->from].name,
			    mail->active, mail->revision, now_us);
	node->holder = mail->from;
	if (mail->term != node->echo_term || mail->sent_us > node->echo_us) {
		node->echo_term = mail->term;
		node->echo_us = mail->sent_us;
		node->echo_heard_us = now_us;
	}
}

static void deliver(sim_t *sim, int64_t now_us)
{
	int kept = 0;

	for (int i = 0; i < sim->n_mail; i++) {
		mail_t mail = sim->mail[i];
		const node_t *to = &sim->nodes[mail.to];

		/* The socket of a frozen process keeps what comes. */
		if (mail.at_us > now_us || now_us < to->frozen_until_us)
			sim->mail[kept++] = mail;
		else if (now_us >= to->down_until_us)
			receive(sim, &mail, now_us);
	}
	sim->n_mail = kept;
}

static bool carry_out(sim_t *sim, const node_t *node)
{
	bool wanted =
		node->call == BSH_LEASE_CREATE
			? !sim->exists
			: sim->exists && sim->revision == node->call_revision;

	if (node->call == BSH_LEASE_READ || !wanted)
		return false;
	sim->exists = true;
	sim->revision += 1 + draw(sim, 3);
	sim->active = node->update_active;
	sim->listed = node->began_release && node->began_listed;
	if (node->began_release)
		memcpy(sim->ordered_us, node->ordered_us,
		       sizeof(sim->ordered_us));
	g_strlcpy(sim->holder, node->began_release ? "" : node->name,
		  sizeof(sim->holder));
	return true;
}

/* The store gets the call, answers it or not, before or after it is done. */
static void finish_call(sim_t *sim, int n, int64_t now_us)
{
	node_t *node = &sim->nodes[n];
	bsh_lease_result_t result = BSH_LEASE_FAILED;
	bool done = false;

	node->has_call = false;
	if (reaches_store(sim, n, now_us)) {
		done = carry_out(sim, node);
		result = done || node->call == BSH_LEASE_READ
				 ? BSH_LEASE_DONE
				 : BSH_LEASE_CONFLICT;
		if (!sim->exists)
			result = BSH_LEASE_ABSENT;
		if (draw(sim, 12) == 0)
			result = BSH_LEASE_UNKNOWN;
	} else if (draw(sim, 2) == 0) {
		result = BSH_LEASE_UNKNOWN;
	}
	if (result != BSH_LEASE_UNKNOWN && result != BSH_LEASE_FAILED)
		node->answered_us = now_us;
	if (result != BSH_LEASE_DONE && result != BSH_LEASE_CONFLICT) {
		bsh_lease_done(&node->lease, result, NULL, false, 0, now_us);
		return;
	}
	bsh_lease_done(&node->lease, result, sim->holder, sim->active,
		       sim->revision, now_us);
	if (sim->holder[0] == '\0' && sim->listed) {
		int64_t age_us[TARGETS];

		for (int t = 0; t < TARGETS; t++)
			age_us[t] = now_us - sim->ordered_us[t];
		hold_targets(node, age_us, now_us);
		bsh_lease_set_has_order_list(&node->lease, sim->revision);
	}
}

static void order(sim_t *sim, int n, int64_t now_us)
{
	node_t *node = &sim->nodes[n];
	int t = (int)draw(sim, TARGETS);

	if (now_us < node->hold_us[t])
		return;
	sim->orders++;
	if (now_us < sim->away_until_us &&
	    now_us - sim->away_since_us > 3 * SECOND)
		sim->orders_away++;
	if (sim->last_by[t] != n && sim->last_us[t] > 0)
		g_assert_cmpint(now_us - sim->last_us[t], >=, LEASE_MS * 1000);
	sim->last_by[t] = n;
	sim->last_us[t] = now_us;
	node->ordered_us[t] = now_us;
}

static void run_holder(sim_t *sim, int n, int64_t now_us)
{
	node_t *node = &sim->nodes[n];
	bsh_lease_t *lease = &node->lease;

	if (node->quorum_term != lease->term) {
		node->quorum_term = lease->term;
		bsh_quorum_begin(&node->quorum);
	}
	if (bsh_promise_give(&node->promise, lease->term, now_us, now_us))
		bsh_quorum_add(&node->quorum, node->name, now_us);
	bsh_lease_supported(lease, bsh_quorum_support_until(&node->quorum),
			    now_us);
	node->holder = n;
	if (now_us - node->answered_us > 6 * SECOND / 5 &&
	    now_us - node->peer_reached_us < SECOND &&
	    bsh_lease_hand_over(lease, now_us)) {
		sim->handovers++;
		return;
	}
	if (now_us - node->beacon_us >= BEACON_US) {
		node->beacon_us = now_us;
		beacon(sim, n, now_us);
	}
}

static void report(sim_t *sim, int n, int64_t now_us)
{
	node_t *node = &sim->nodes[n];
	mail_t mail = { .from = n,
			.to = node->holder,
			.reaches = reaches_store(sim, n, now_us) };

	if (node->holder < 0 || node->holder == n ||
	    now_us - node->report_us < REPORT_US)
		return;
	node->report_us = now_us;
	if (bsh_promise_give(&node->promise, node->echo_term,
			     node->echo_heard_us, now_us)) {
		mail.term = node->echo_term;
		mail.sent_us = node->echo_us;
	}
	send(sim, mail, now_us);
}

static void run_node(sim_t *sim, int n, int64_t now_us)
{
	node_t *node = &sim->nodes[n];
	bsh_lease_t *lease = &node->lease;
	bool holds;

	bsh_lease_set_store_reachable(lease, reaches_store(sim, n, now_us),
				      now_us);
	if (node->has_call && now_us >= node->call_at_us)
		finish_call(sim, n, now_us);
	if (!node->has_call) {
		node->call = bsh_lease_next(lease, now_us);
		node->has_call = node->call != BSH_LEASE_NOTHING;
		node->call_at_us = now_us + 1000 * (1 + draw(sim, 60));
		node->update_active = lease->update_active;
		node->began_release = lease->releasing;
		node->began_listed =
			bsh_lease_is_order_list_complete(lease, now_us);
		node->call_revision = lease->revision;
	}
	if (bsh_lease_is_holder(lease, now_us))
		run_holder(sim, n, now_us);
	holds = bsh_lease_is_holder(lease, now_us);
	if (holds && !node->was_holder)
		beacon(sim, n, now_us);
	if (node->was_holder && !holds && lease->holder[0] == '\0') {
		node->released_revision = lease->revision;
		node->tell_release = 6; /* for 100 ms, as the program */
	}
	if (holds)
		node->tell_release = 0;
	node->was_holder = holds;
	if (lease->revision != node->released_revision)
		node->tell_release = 0;
	if (node->tell_release > 0)
		tell_release(sim, n, now_us);
	report(sim, n, now_us);
	if (bsh_lease_may_order(lease, now_us))
		order(sim, n, now_us);
}

/* Parts the instances in two, or cuts some links both ways. */
static void cut_links(sim_t *sim, bool parted)
{
	int side[NODES];

	for (int i = 0; i < NODES; i++)
		side[i] = (int)draw(sim, 2);
	for (int i = 0; i < NODES; i++)
		for (int j = 0; j < i; j++) {
			sim->cut[i][j] =
				parted ? side[i] != side[j] : draw(sim, 3) == 0;
			sim->cut[j][i] = sim->cut[i][j];
		}
}

/* Mostly the holder, whose trouble matters most. */
static int draw_node(sim_t *sim, int64_t now_us)
{
	for (int n = 0; n < NODES; n++)
		if (bsh_lease_is_holder(&sim->nodes[n].lease, now_us) &&
		    draw(sim, 3) > 0)
			return n;
	return (int)draw(sim, NODES);
}

static void disturb(sim_t *sim, int64_t now_us)
{
	int n = draw_node(sim, now_us);
	node_t *node = &sim->nodes[n];

	switch (draw(sim, 6)) {
	case 0:
		sim->away_since_us = now_us;
		sim->away_until_us = now_us + draw(sim, 14) * SECOND;
		break;
	case 1:
		cut_links(sim, draw(sim, 2) == 0);
		sim->cut_until_us = now_us + draw(sim, 16) * SECOND;
		break;
	case 2:
		for (int i = 0; i < NODES; i++)
			sim->store_cut[i] = i == n || draw(sim, 4) == 0;
		sim->store_cut_until_us = now_us + draw(sim, 16) * SECOND;
		break;
	case 3:
		node->frozen_until_us = now_us + draw(sim, 12000) * 1000;
		break;
	case 4:
		node->down_until_us = now_us + draw(sim, 2000) * 1000;
		bsh_quorum_finish(&node->quorum);
		start_node(node, n, node->down_until_us);
		break;
	case 5:
		if (now_us >= node->frozen_until_us)
			bsh_lease_release(&node->lease);
		break;
	}
}

/* A holder that was told to release ends and starts again. */
static void restart_released(sim_t *sim, int64_t now_us)
{
	for (int n = 0; n < NODES; n++) {
		node_t *node = &sim->nodes[n];

		if (!node->lease.releasing || node->lease.holding ||
		    node->has_call || node->tell_release > 0)
			continue;
		node->down_until_us = now_us + SECOND;
		bsh_quorum_finish(&node->quorum);
		start_node(node, n, node->down_until_us);
	}
}

static void simulate(sim_t *sim, uint32_t seed)
{
	memset(sim, 0, sizeof(*sim));
	bsh_rng_init(&sim->rng, seed);
	for (int n = 0; n < NODES; n++)
		start_node(&sim->nodes[n], n, 0);
	for (int64_t now_us = 0; now_us < SIM_US; now_us += STEP_US) {
		if (draw(sim, 150) == 0)
			disturb(sim, now_us);
		if (now_us >= sim->cut_until_us)
			memset(sim->cut, 0, sizeof(sim->cut));
		if (now_us >= sim->store_cut_until_us)
			memset(sim->store_cut, 0, sizeof(sim->store_cut));
		deliver(sim, now_us);
		for (int n = 0; n < NODES; n++)
			if (now_us >= sim->nodes[n].frozen_until_us &&
			    now_us >= sim->nodes[n].down_until_us)
				run_node(sim, n, now_us);
		restart_released(sim, now_us);
	}
	for (int n = 0; n < NODES; n++)
		bsh_quorum_finish(&sim->nodes[n].quorum);
	bsh_rng_finish(&sim->rng);
}

/* Guards against two holders that order within one lease time, under any mix of
 * outages of the store, cuts, freezes, kills and releases, and against an
 * extension that never takes place. */
static void test_random_faults(void)
{
	static sim_t sim;
	uint64_t orders = 0;
	uint64_t orders_away = 0;
	uint64_t handovers = 0;

	for (uint32_t seed = 1; seed <= SIM_SEEDS; seed++) {
		g_test_message("seed %u", seed);
		simulate(&sim, seed);
		orders += sim.orders;
		orders_away += sim.orders_away;
		handovers += sim.handovers;
	}
	g_test_message("%" G_GUINT64_FORMAT " orders, %" G_GUINT64_FORMAT
		       " of them while the store was away, "
		       "%" G_GUINT64_FORMAT " handovers",
		       orders, orders_away, handovers);
	g_assert_cmpuint(handovers, >, SIM_SEEDS / 4);
	g_assert_cmpuint(orders_away, >, SIM_SEEDS);
	g_assert_cmpuint(orders, >, SIM_SEEDS * (SIM_US / STEP_US) / 4);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lease/terms-do-not-overlap",
			test_terms_do_not_overlap);
	g_test_add_func("/lease/paused-holder", test_paused_holder_stops);
	g_test_add_func("/lease/lost-answer", test_lost_answer_is_read_back);
	g_test_add_func("/lease/lost-renewal", test_lost_renewal_goes_on);
	g_test_add_func("/lease/lost-takeover", test_lost_takeover_still_waits);
	g_test_add_func("/lease/restart-during-wait", test_restart_during_wait);
	g_test_add_func("/lease/release", test_release_hands_over);
	g_test_add_func("/lease/larger-first", test_larger_instances_first);
	g_test_add_func("/lease/majority-extends", test_majority_extends);
	g_test_add_func("/lease/successor-of-extended",
			test_successor_of_extended);
	g_test_add_func("/lease/living-holder", test_living_holder_keeps);
	g_test_add_func("/lease/clean-release", test_clean_release);
	g_test_add_func("/lease/handover", test_handover);
	g_test_add_func("/quorum/promise", test_promise);
	g_test_add_func("/lease/random-faults", test_random_faults);
	return g_test_run();
}
