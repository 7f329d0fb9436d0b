#include "coordination/member.h"

#include <math.h>
#include <string.h>

#include "coordination/member_view.h"

/* Timeout of a direct probe, as a fraction of a period. */
#define DIRECT_TIMEOUT_NUM 3
#define DIRECT_TIMEOUT_DEN 10
#define INDIRECT_RELAYS	   3

/* One probe in CROSS_ZONE_EVERY goes to another availability zone. */
#define CROSS_ZONE_EVERY 4

/*
 * Members that a new update is sent to at once, and rounds of it.  After one
 * round of 3 about 6 % of the members have not received it, after two about
 * 0.3 %; probes reach the rest.
 */
#define URGENT_FANOUT	   3
#define URGENT_ROUNDS	   1
#define URGENT_ROUNDS_MAX  2
#define URGENT_COALESCE_US INT64_C(10000)
#define URGENT_INTERVAL_US INT64_C(200000)

/*
 * Byte budget of urgent datagrams.  Together with four datagrams a second of
 * probes and acknowledgements it stays below half of 13 KB/s in each
 * direction.
 */
#define URGENT_BYTES_PER_S 1200
#define URGENT_BURST_BYTES 6000

/*
 * Byte budget of updates piggybacked on probes and acknowledgements.  Normally
 * four such datagrams are sent a second; while a partition heals many more.
 */
#define PIGGYBACK_BYTES_PER_S 1500
#define PIGGYBACK_BURST_BYTES 5000

/* Intervals in periods: seconds at the default period. */
#define SYNC_PERIODS	  10
#define SYNC_DATAGRAMS	  4  /* of one answer, at most */
#define SYNC_MANY_RECORDS 8  /* new in an answer: halves the wait */
#define HEAL_PERIODS	  30 /* after a dead member returned */

/*
 * Mean number of probes in a period that each dead member receives from all
 * live ones together, and upper bound of the mean number that each live member
 * sends.  In a large fleet a fixed rate per live member would flood the few
 * that return.
 */
#define DEAD_PROBES_PER_PERIOD	 1.0
#define DEAD_PROBES_PER_LIVE_MAX 0.5
#define DEAD_HEAL_FACTOR	 2.0 /* while a partition heals */

/* Byte budget of answers to digests, for the same reason. */
#define SYNC_BYTES_PER_S     2000
#define SYNC_BURST_BYTES     12000
#define SEED_PERIODS	     30
#define HEALTH_MAX	     8
#define HEALTH_LATE_STEP     2
#define DISPUTE_PINGS_MAX    2
#define SYNC_DISPUTE_PERIODS 2 /* until the next exchange */
#define SYNC_HEAL_PERIODS    1
#define LEAVING_SYNC_DIV     5 /* part of a period: the shortest wait */
#define HINT_PROBES_MAX	     3
#define RELAY_KEEP_PERIODS   2

/* Upper bound of a body's size without its updates and digests. */
#define HEAD_BYTES   (1 + 9 + 9 + 2 + BSH_NAME_SIZE + 9 + 9 + 9 + 5 + 5 + 3 + 3)
#define DIGEST_BYTES (5 * BSH_MEMBER_SYNC_BUCKETS)

typedef struct {
	char name[BSH_NAME_SIZE]; /* "" when no probe is pending */
	uint64_t sequence;
	int64_t sent_us;
	bool is_indirect;
	bool acked;
} probe_t;

/* An indirect probe made at the request of another member. */
typedef struct {
	char requester[BSH_NAME_SIZE];
	uint64_t requester_sequence;
	uint64_t sequence;
	int64_t until_us;
} relay_t;

/* A token bucket in bytes; may go below zero by one message. */
typedef struct {
	double bytes;
	double per_s;
	double burst;
	int64_t filled_us;
} bucket_t;

struct bsh_members {
	bsh_view_t view;
	bsh_rng_t rng;
	int64_t period_us;
	uint64_t next_sequence;
	uint64_t generation;
	uint64_t hash;
	uint32_t confirm_age_ms;
	uint32_t health;
	probe_t probe;
	GArray *relays;
	GPtrArray *seeds;
	/*
	 * The shuffled probe order, as names: indices into by_rank become
	 * invalid when members are added or removed.
	 */
	GPtrArray *same_zone;
	GPtrArray *other_zones;
	guint same_zone_next;
	guint other_zones_next;
	uint64_t probes_started;
	int64_t wake_us; /* result of the last tick */
	int64_t period_at_us;
	int64_t direct_timeout_at_us; /* of the pending probe, 0: none */
	int64_t sync_at_us;
	int64_t synced_us;	    /* last exchange of digests requested */
	uint64_t cursor;	    /* rank from which to request records */
	int64_t leaving_backoff_us; /* least wait while leaving flags differ */
	int64_t seed_at_us;
	int64_t heal_until_us; /* dead members are probed more often */
	int64_t urgent_at_us;  /* 0: none */
	uint32_t urgent_rounds;
	/* Byte budgets. */
	bucket_t urgent;
	bucket_t sync;
	bucket_t piggyback;
	bsh_member_message_t out; /* datagram being built */
};

static void reset_message(bsh_members_t *m, bsh_member_kind_t kind,
			  uint64_t sequence, const char *target)
{
	m->out.kind = kind;
	m->out.sequence = sequence;
	g_strlcpy(m->out.target, target, sizeof(m->out.target));
	m->out.generation = m->generation;
	m->out.hash = m->hash;
	m->out.confirm_age_ms = m->confirm_age_ms;
	m->out.leaving_digest = bsh_view_leaving_digest(&m->view);
	m->out.cursor = 0;
	m->out.n_updates = 0;
}

static size_t body_room(const bsh_member_message_t *msg)
{
	size_t used = HEAD_BYTES;

	if (msg->kind == BSH_MEMBER_SYNC_REQUEST)
		used += DIGEST_BYTES;
	for (uint32_t i = 0; i < msg->n_updates; i++)
		used += bsh_member_update_bytes(&msg->updates[i]);
	return used < BSH_MEMBER_BODY_MAX_BYTES
		       ? BSH_MEMBER_BODY_MAX_BYTES - used
		       : 0;
}

static bool add_record(bsh_members_t *m, int64_t now_us,
		       const bsh_record_t *record, bool with_place,
		       size_t *room)
{
	bsh_member_update_t *u;
	size_t bytes;

	if (m->out.n_updates >= BSH_MEMBER_UPDATES_MAX)
		return false;
	u = &m->out.updates[m->out.n_updates];
	bsh_view_make_update(record, now_us, with_place, u);
	bytes = bsh_member_update_bytes(u);
	if (bytes > *room)
		return false;
	*room -= bytes;
	m->out.n_updates++;
	return true;
}

/* Transmissions of each update; about log(n) suffice to reach n members. */
static int transmit_limit(const bsh_members_t *m)
{
	return 2 * (int)ceil(log10((double)m->view.live + 1.0)) + 2;
}

static void add_queued_updates(bsh_members_t *m, int64_t now_us, size_t *room)
{
	bsh_gossip_item_t *items[BSH_MEMBER_UPDATES_MAX];
	guint n = bsh_gossip_queue_peek(&m->view.gossip_queue, items,
					G_N_ELEMENTS(items));
	int limit = transmit_limit(m);

	for (guint i = 0; i < n; i++) {
		if (!add_record(m, now_us, items[i]->link.data, false, room))
			break;
		bsh_gossip_queue_mark_sent(&m->view.gossip_queue, items[i],
					   limit);
	}
}

static void send_datagram(bsh_members_t *m, const char *name,
			  const char *address)
{
	m->view.stats.sent++;
	m->view.ops->send(m->view.ctx, name, address, &m->out);
}

/* Refills the bucket; true unless it is overdrawn. */
static bool bucket_has_bytes(bucket_t *bucket, int64_t now_us)
{
	bucket->bytes +=
		(double)(now_us - bucket->filled_us) * bucket->per_s / 1e6;
	if (bucket->bytes > bucket->burst)
		bucket->bytes = bucket->burst;
	bucket->filled_us = now_us;
	return bucket->bytes >= 0;
}

static void bucket_charge(bucket_t *bucket, const bsh_member_message_t *msg)
{
	bucket->bytes -=
		(double)(BSH_MEMBER_DATAGRAM_MAX_BYTES - body_room(msg));
}

/*
 * Puts the receiver's record first when it is suspected or dead, so that it can
 * refute.  This instance's record lets a receiver that does not know it answer.
 */
static void finish_and_send(bsh_members_t *m, int64_t now_us,
			    const bsh_member_record_t *to, const char *address)
{
	size_t room = body_room(&m->out);

	if (to != NULL && !to->pub.is_hint &&
	    (to->pub.state == BSH_MEMBER_SUSPECT ||
	     to->pub.state == BSH_MEMBER_DEAD))
		add_record(m, now_us, &to->record, false, &room);
	if (m->out.kind != BSH_MEMBER_ACK && m->out.kind != BSH_MEMBER_SYNC)
		add_record(m, now_us, &m->view.self->record, true, &room);
	if (m->out.kind == BSH_MEMBER_GOSSIP) {
		add_queued_updates(m, now_us, &room);
	} else if (m->out.kind != BSH_MEMBER_SYNC &&
		   bucket_has_bytes(&m->piggyback, now_us)) {
		m->piggyback.bytes -= (double)room;
		add_queued_updates(m, now_us, &room);
		m->piggyback.bytes += (double)room;
	}
	send_datagram(m, to != NULL ? to->pub.name : "", address);
}

static void send_to(bsh_members_t *m, int64_t now_us,
		    const bsh_member_record_t *to)
{
	if (to->pub.has_place)
		finish_and_send(m, now_us, to, to->pub.place.gossip);
}

static uint64_t ping(bsh_members_t *m, int64_t now_us,
		     const bsh_member_record_t *to)
{
	reset_message(m, BSH_MEMBER_PING, ++m->next_sequence, to->pub.name);
	send_to(m, now_us, to);
	return m->next_sequence;
}

/* ---- member selection ---- */

static bool is_probeable(const bsh_members_t *m, const bsh_member_record_t *r)
{
	return r != m->view.self && bsh_member_is_live(&r->pub) &&
	       r->pub.has_place;
}

/*
 * Selects up to max different live members other than `excluded`.  Drawing
 * random indices of by_rank needs no extra memory.
 */
static guint sample(bsh_members_t *m, const bsh_member_record_t *excluded,
		    bsh_member_record_t **out, guint max)
{
	guint total = m->view.by_rank->len;
	guint n = 0;

	for (guint tries = 0; tries < 8 * max && n < max; tries++) {
		bsh_member_record_t *r =
			bsh_view_at(&m->view, bsh_rng_below(&m->rng, total));
		bool used = r == excluded || !is_probeable(m, r);

		for (guint i = 0; i < n && !used; i++)
			used = out[i] == r;
		if (!used)
			out[n++] = r;
	}
	/* With many dead members all random draws may miss. */
	for (guint i = 0; i < total && n == 0; i++) {
		bsh_member_record_t *r = bsh_view_at(&m->view, i);

		if (r != excluded && is_probeable(m, r))
			out[n++] = r;
	}
	return n;
}

static void shuffle(bsh_members_t *m, GPtrArray *names)
{
	for (guint i = names->len; i > 1; i--) {
		guint j = bsh_rng_below(&m->rng, i);
		gpointer copy = names->pdata[i - 1];

		names->pdata[i - 1] = names->pdata[j];
		names->pdata[j] = copy;
	}
}

static void refill_round(bsh_members_t *m, GPtrArray *names, bool same_zone)
{
	const char *zone = m->view.self->pub.place.zone;

	g_ptr_array_set_size(names, 0);
	for (guint i = 0; i < m->view.by_rank->len; i++) {
		const bsh_member_record_t *r = bsh_view_at(&m->view, i);

		if (is_probeable(m, r) &&
		    (strcmp(r->pub.place.zone, zone) == 0) == same_zone)
			g_ptr_array_add(names, g_strdup(r->pub.name));
	}
	shuffle(m, names);
}

static bsh_member_record_t *next_in_round(bsh_members_t *m, GPtrArray *names,
					  guint *next, bool same_zone)
{
	for (int pass = 0; pass < 2; pass++) {
		while (*next < names->len) {
			const char *name = g_ptr_array_index(names, (*next)++);
			bsh_member_record_t *r = bsh_view_find(&m->view, name);

			if (r != NULL && is_probeable(m, r))
				return r;
		}
		refill_round(m, names, same_zone);
		*next = 0;
	}
	return NULL;
}

/*
 * Each list is walked to its end before it is shuffled again, which bounds the
 * time until a member is probed.
 */
static bsh_member_record_t *next_probe_target(bsh_members_t *m)
{
	bool cross_zone = ++m->probes_started % CROSS_ZONE_EVERY == 0;
	bsh_member_record_t *r = NULL;

	if (!cross_zone)
		r = next_in_round(m, m->same_zone, &m->same_zone_next, true);
	if (r == NULL)
		r = next_in_round(m, m->other_zones, &m->other_zones_next,
				  false);
	if (r == NULL && cross_zone)
		r = next_in_round(m, m->same_zone, &m->same_zone_next, true);
	return r;
}

/* Inserts a new member at a random place in the rest of the round. */
static void insert_into_round(bsh_members_t *m, const bsh_member_record_t *r)
{
	bool same_zone =
		strcmp(r->pub.place.zone, m->view.self->pub.place.zone) == 0;
	GPtrArray *names = same_zone ? m->same_zone : m->other_zones;
	guint next = same_zone ? m->same_zone_next : m->other_zones_next;
	gpointer copy;
	guint i;

	g_ptr_array_add(names, g_strdup(r->pub.name));
	i = next + bsh_rng_below(&m->rng, names->len - next);
	copy = names->pdata[i];
	names->pdata[i] = names->pdata[names->len - 1];
	names->pdata[names->len - 1] = copy;
}

/* ---- urgent updates ---- */

static void schedule_urgent(bsh_members_t *m, int64_t now_us, uint32_t rounds)
{
	m->urgent_rounds = MAX(m->urgent_rounds, rounds);
	if (m->urgent_at_us == 0)
		m->urgent_at_us = now_us + URGENT_COALESCE_US;
}

/* Acts on the flags that merging has set in the view, and clears them. */
static void handle_view_changes(bsh_members_t *m, int64_t now_us)
{
	if (m->view.has_new_updates)
		schedule_urgent(m, now_us,
				m->view.has_leaving_updates ? URGENT_ROUNDS_MAX
							    : URGENT_ROUNDS);
	if (m->view.saw_false_death) {
		/*
		 * Not again while the partition heals, as a member may die
		 * and return often.
		 */
		if (now_us >= m->heal_until_us)
			bsh_view_drop_failure_reports(&m->view, now_us);
		m->heal_until_us = now_us + HEAL_PERIODS * m->period_us;
	}
	if (m->view.did_refute)
		m->health = MIN(m->health + 1, HEALTH_MAX);
	for (guint i = 0; i < m->view.joined->len; i++)
		insert_into_round(m, g_ptr_array_index(m->view.joined, i));
	g_ptr_array_set_size(m->view.joined, 0);
	m->view.has_new_updates = false;
	m->view.has_leaving_updates = false;
	m->view.saw_false_death = false;
	m->view.did_refute = false;
}

static void send_urgent(bsh_members_t *m, int64_t now_us)
{
	bsh_member_record_t *to[URGENT_FANOUT];
	guint n;

	if (!bucket_has_bytes(&m->urgent, now_us)) {
		m->view.stats.urgent_deferred++;
		m->urgent_at_us = now_us + URGENT_INTERVAL_US;
		return;
	}
	n = sample(m, NULL, to, URGENT_FANOUT);
	for (guint i = 0; i < n; i++) {
		reset_message(m, BSH_MEMBER_GOSSIP, 0, to[i]->pub.name);
		send_to(m, now_us, to[i]);
		m->view.stats.urgent++;
		bucket_charge(&m->urgent, &m->out);
	}
	m->urgent_rounds--;
	m->urgent_at_us =
		m->urgent_rounds > 0 ? now_us + URGENT_INTERVAL_US : 0;
}

/* ---- probes ---- */

static void send_indirect(bsh_members_t *m, int64_t now_us)
{
	bsh_member_record_t *target = bsh_view_find(&m->view, m->probe.name);
	bsh_member_record_t *relay_members[INDIRECT_RELAYS];
	guint n;

	m->direct_timeout_at_us = 0;
	if (m->probe.acked || target == NULL)
		return;
	m->probe.is_indirect = true;
	n = sample(m, target, relay_members, INDIRECT_RELAYS);
	for (guint i = 0; i < n; i++) {
		reset_message(m, BSH_MEMBER_PING_REQ, m->probe.sequence,
			      target->pub.name);
		send_to(m, now_us, relay_members[i]);
	}
}

static void finish_probe(bsh_members_t *m, int64_t now_us)
{
	bsh_member_record_t *r = bsh_view_find(&m->view, m->probe.name);

	if (m->probe.name[0] == '\0')
		return;
	if (m->probe.acked) {
		if (m->health > 0)
			m->health--;
	} else if (r != NULL && bsh_member_is_live(&r->pub)) {
		m->view.stats.probes_failed++;
		/*
		 * A health score above 0 (late wakeups, refuted suspicions)
		 * means that the fault may lie in this process: no member is
		 * suspected.
		 */
		if (m->health > 0)
			m->health--;
		else
			bsh_view_suspect(&m->view, now_us, r);
	}
	m->probe.name[0] = '\0';
}

static void start_probe(bsh_members_t *m, int64_t now_us)
{
	bsh_member_record_t *r = next_probe_target(m);

	if (r == NULL)
		return;
	m->view.stats.probes++;
	g_strlcpy(m->probe.name, r->pub.name, sizeof(m->probe.name));
	m->probe.sent_us = now_us;
	m->probe.acked = false;
	m->probe.is_indirect = false;
	m->probe.sequence = ping(m, now_us, r);
	m->direct_timeout_at_us =
		now_us + m->period_us * DIRECT_TIMEOUT_NUM / DIRECT_TIMEOUT_DEN;
}

static guint count_dead(const bsh_members_t *m)
{
	guint n = 0;

	for (guint i = 0; i < m->view.by_rank->len; i++) {
		const bsh_member_t *member = &bsh_view_at(&m->view, i)->pub;

		n += !member->is_hint && member->state == BSH_MEMBER_DEAD;
	}
	return n;
}

/* Probes the dead member retried longest ago; ties are broken at random. */
static void probe_one_dead(bsh_members_t *m, int64_t now_us)
{
	guint total = m->view.by_rank->len;
	guint start = bsh_rng_below(&m->rng, total);
	bsh_member_record_t *oldest = NULL;

	for (guint i = 0; i < total; i++) {
		bsh_member_record_t *r =
			bsh_view_at(&m->view, (start + i) % total);

		if (r->pub.is_hint || r->pub.state != BSH_MEMBER_DEAD ||
		    !r->pub.has_place)
			continue;
		if (oldest == NULL ||
		    r->pub.retried_us < oldest->pub.retried_us)
			oldest = r;
	}
	if (oldest == NULL)
		return;
	oldest->pub.retried_us = now_us;
	ping(m, now_us, oldest);
}

static void probe_dead(bsh_members_t *m, int64_t now_us)
{
	double expected = DEAD_PROBES_PER_PERIOD * count_dead(m) / m->view.live;

	if (expected > DEAD_PROBES_PER_LIVE_MAX)
		expected = DEAD_PROBES_PER_LIVE_MAX;
	if (now_us < m->heal_until_us)
		expected *= DEAD_HEAL_FACTOR;
	for (; expected > 0; expected--) {
		if (bsh_rng_unit(&m->rng) < expected)
			probe_one_dead(m, now_us);
	}
}

/*
 * Probes members known only as hints, from a random one on; more of them while
 * this instance knows no other live member.
 */
static void probe_hints(bsh_members_t *m, int64_t now_us)
{
	guint tries = m->view.live == 1 ? HINT_PROBES_MAX : 1;
	guint total = m->view.by_rank->len;
	guint start = bsh_rng_below(&m->rng, total);

	for (guint i = 0; i < total && tries > 0; i++) {
		bsh_member_record_t *r =
			bsh_view_at(&m->view, (start + i) % total);

		if (!r->pub.is_hint || !r->pub.has_place ||
		    r->pub.state != BSH_MEMBER_ALIVE ||
		    now_us - r->pub.retried_us < 3 * m->period_us)
			continue;
		r->pub.retried_us = now_us;
		ping(m, now_us, r);
		tries--;
	}
}

static void probe_seeds(bsh_members_t *m, int64_t now_us)
{
	guint n = m->seeds->len;
	guint start;

	if (n == 0 || (m->view.live > 1 && now_us < m->seed_at_us))
		return;
	m->seed_at_us = now_us + SEED_PERIODS * m->period_us;
	start = bsh_rng_below(&m->rng, n);
	for (guint i = 0; i < MIN(n, m->view.live > 1 ? 1 : HINT_PROBES_MAX);
	     i++) {
		reset_message(m, BSH_MEMBER_PING, ++m->next_sequence, "");
		finish_and_send(m, now_us, NULL,
				g_ptr_array_index(m->seeds, (start + i) % n));
	}
}

static void expire_relays(bsh_members_t *m, int64_t now_us)
{
	for (guint i = m->relays->len; i > 0; i--) {
		if (now_us >= g_array_index(m->relays, relay_t, i - 1).until_us)
			g_array_remove_index_fast(m->relays, i - 1);
	}
}

static void run_period(bsh_members_t *m, int64_t now_us)
{
	finish_probe(m, now_us);
	expire_relays(m, now_us);
	bsh_view_expire(&m->view, now_us);
	start_probe(m, now_us);
	probe_dead(m, now_us);
	probe_hints(m, now_us);
	probe_seeds(m, now_us);
	m->period_at_us += m->period_us;
	if (m->period_at_us <= now_us)
		m->period_at_us = now_us + m->period_us;
}

/* ---- digest exchange ---- */

static void request_sync_from(bsh_members_t *m, int64_t now_us,
			      const bsh_member_record_t *to)
{
	reset_message(m, BSH_MEMBER_SYNC_REQUEST, ++m->next_sequence,
		      to->pub.name);
	bsh_view_digests(&m->view, m->out.digests);
	m->out.cursor = m->cursor;
	m->view.records_added = 0;
	m->synced_us = now_us;
	send_to(m, now_us, to);
}

static void request_sync(bsh_members_t *m, int64_t now_us)
{
	bsh_member_record_t *to;

	m->sync_at_us = now_us + SYNC_PERIODS * m->period_us * 3 / 4 +
			bsh_rng_below(&m->rng, (uint32_t)(SYNC_PERIODS *
							  m->period_us / 2));
	if (sample(m, NULL, &to, 1) > 0)
		request_sync_from(m, now_us, to);
}

typedef struct {
	bsh_members_t *m;
	int64_t now_us;
	const bsh_member_record_t *to;
	const bool *differs;
	size_t room;
	guint datagrams_left;
} sync_answer_t;

static void flush_answer(sync_answer_t *answer)
{
	bsh_members_t *m = answer->m;

	finish_and_send(m, answer->now_us, answer->to,
			answer->to->pub.place.gossip);
	bucket_charge(&m->sync, &m->out);
	answer->datagrams_left--;
	reset_message(m, BSH_MEMBER_SYNC, m->out.sequence,
		      answer->to->pub.name);
	answer->room = body_room(&m->out);
}

static void answer_record(sync_answer_t *answer, const bsh_record_t *record)
{
	bsh_members_t *m = answer->m;

	if (answer->datagrams_left == 0 ||
	    !answer->differs[bsh_view_bucket(record)])
		return;
	if (!add_record(m, answer->now_us, record, true, &answer->room)) {
		flush_answer(answer);
		if (answer->datagrams_left > 0)
			add_record(m, answer->now_us, record, true,
				   &answer->room);
	}
}

static void answer_resources(sync_answer_t *answer, GHashTable *table)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		answer_record(answer, value);
}

/*
 * Sends the records of buckets that differ: leaving targets and cell owners
 * first, as they are few, then members from the requested rank on, so that
 * several requests return all of them.
 */
static void answer_sync(bsh_members_t *m, int64_t now_us,
			const bsh_member_record_t *to,
			const bsh_member_message_t *request)
{
	uint32_t own[BSH_MEMBER_SYNC_BUCKETS];
	bool differs[BSH_MEMBER_SYNC_BUCKETS];
	bool any = false;
	sync_answer_t answer = { .m = m,
				 .now_us = now_us,
				 .to = to,
				 .differs = differs,
				 .datagrams_left = SYNC_DATAGRAMS };
	guint total = m->view.by_rank->len;
	guint start = bsh_view_position(&m->view, request->cursor);

	bsh_view_digests(&m->view, own);
	for (guint i = 0; i < BSH_MEMBER_SYNC_BUCKETS; i++) {
		differs[i] = own[i] != request->digests[i];
		any |= differs[i];
	}
	if (!any || !bucket_has_bytes(&m->sync, now_us))
		return;
	reset_message(m, BSH_MEMBER_SYNC, request->sequence, to->pub.name);
	answer.room = body_room(&m->out);
	answer_resources(&answer, m->view.targets);
	answer_resources(&answer, m->view.cells);
	for (guint i = 0; i < total; i++) {
		const bsh_member_record_t *r =
			bsh_view_at(&m->view, (start + i) % total);

		if (bsh_member_is_live(&r->pub))
			answer_record(&answer, &r->record);
	}
	if (answer.datagrams_left > 0 && m->out.n_updates > 0)
		flush_answer(&answer);
}

/*
 * Pings members that the sender reports alive and this instance holds dead, as
 * after a partition.  The member's own acknowledgement decides.
 */
static void ping_disputed(bsh_members_t *m, int64_t now_us,
			  const bsh_member_message_t *msg)
{
	guint pings = DISPUTE_PINGS_MAX;

	for (uint32_t i = 0; i < msg->n_updates && pings > 0; i++) {
		const bsh_member_update_t *u = &msg->updates[i];
		bsh_member_record_t *r = bsh_view_find(&m->view, u->name);

		if (u->type != BSH_UPDATE_MEMBER || r == NULL ||
		    r->pub.state != BSH_MEMBER_DEAD ||
		    u->state != BSH_MEMBER_ALIVE ||
		    now_us - r->pub.retried_us < m->period_us)
			continue;
		r->pub.retried_us = now_us;
		ping(m, now_us, r);
		pings--;
		m->sync_at_us =
			MIN(m->sync_at_us,
			    now_us + SYNC_DISPUTE_PERIODS * m->period_us);
	}
}

/* ---- received messages ---- */

/*
 * Leaving flags must arrive within seconds, so each datagram has a digest of
 * the sender's flags, and a difference starts an exchange.  An exchange that
 * brings nothing new (the sender lacks flags, or the views differ for longer)
 * doubles the wait until the next one.
 */
static void compare_leaving_digests(bsh_members_t *m, int64_t now_us,
				    const bsh_member_record_t *from,
				    const bsh_member_message_t *msg)
{
	if (msg->kind == BSH_MEMBER_SYNC || !from->pub.has_place)
		return;
	if (msg->leaving_digest == bsh_view_leaving_digest(&m->view)) {
		m->leaving_backoff_us = 0;
		return;
	}
	if (now_us - m->synced_us <
	    MAX(m->leaving_backoff_us, m->period_us / LEAVING_SYNC_DIV))
		return;
	m->leaving_backoff_us =
		MIN(MAX(2 * m->leaving_backoff_us, m->period_us),
		    SYNC_PERIODS * m->period_us);
	request_sync_from(m, now_us, from);
}

static void acknowledge_ping(bsh_members_t *m, int64_t now_us,
			     const bsh_member_record_t *from,
			     const bsh_member_message_t *msg)
{
	reset_message(m, BSH_MEMBER_ACK, msg->sequence, m->view.self->pub.name);
	send_to(m, now_us, from);
}

static void relay_ping(bsh_members_t *m, int64_t now_us,
		       const bsh_member_record_t *from,
		       const bsh_member_message_t *msg)
{
	bsh_member_record_t *target = bsh_view_find(&m->view, msg->target);
	relay_t relay = { .requester_sequence = msg->sequence,
			  .until_us =
				  now_us + RELAY_KEEP_PERIODS * m->period_us };

	if (target == NULL || target == m->view.self) {
		m->view.stats.ignored++;
		return;
	}
	g_strlcpy(relay.requester, from->pub.name, sizeof(relay.requester));
	relay.sequence = ping(m, now_us, target);
	g_array_append_val(m->relays, relay);
}

static void receive_ack(bsh_members_t *m, int64_t now_us,
			const bsh_member_message_t *msg)
{
	if (m->probe.name[0] != '\0' && msg->sequence == m->probe.sequence &&
	    strcmp(msg->target, m->probe.name) == 0)
		m->probe.acked = true;
	for (guint i = 0; i < m->relays->len; i++) {
		relay_t relay = g_array_index(m->relays, relay_t, i);
		bsh_member_record_t *to;

		if (relay.sequence != msg->sequence)
			continue;
		g_array_remove_index_fast(m->relays, i);
		to = bsh_view_find(&m->view, relay.requester);
		if (to == NULL)
			return;
		reset_message(m, BSH_MEMBER_ACK, relay.requester_sequence,
			      msg->target);
		send_to(m, now_us, to);
		return;
	}
}

static void advance_cursor(bsh_members_t *m, const bsh_member_message_t *msg)
{
	for (uint32_t i = 0; i < msg->n_updates; i++) {
		const bsh_member_record_t *r =
			bsh_view_find(&m->view, msg->updates[i].name);

		if (msg->updates[i].type == BSH_UPDATE_MEMBER && r != NULL)
			m->cursor = r->pub.rank + 1;
	}
}

static void dispatch(bsh_members_t *m, int64_t now_us,
		     const bsh_member_record_t *from,
		     const bsh_member_message_t *msg)
{
	switch (msg->kind) {
	case BSH_MEMBER_PING:
		acknowledge_ping(m, now_us, from, msg);
		break;
	case BSH_MEMBER_PING_REQ:
		relay_ping(m, now_us, from, msg);
		break;
	case BSH_MEMBER_ACK:
		receive_ack(m, now_us, msg);
		break;
	case BSH_MEMBER_SYNC_REQUEST:
		if (from->pub.has_place)
			answer_sync(m, now_us, from, msg);
		break;
	case BSH_MEMBER_SYNC:
		advance_cursor(m, msg);
		if (m->view.records_added > 0)
			m->leaving_backoff_us = 0;
		ping_disputed(m, now_us, msg);
		/* Records were missing here: request the rest soon. */
		if (m->view.records_added > 0)
			m->sync_at_us =
				MIN(m->sync_at_us,
				    now_us + (m->view.records_added >=
							      SYNC_MANY_RECORDS
						      ? m->period_us / 2
						      : m->period_us));
		break;
	default:
		break;
	}
}

static void record_sender(bsh_members_t *m, int64_t now_us,
			  bsh_member_record_t *from,
			  const bsh_member_message_t *msg)
{
	from->pub.received_us = now_us;
	from->pub.generation = msg->generation;
	from->pub.confirm_age_ms = msg->confirm_age_ms;
	if (msg->generation > m->generation ||
	    (msg->generation == m->generation && msg->hash != m->hash))
		m->view.ops->generation(m->view.ctx, from->pub.name,
					msg->generation, msg->hash);
}

/*
 * After a late wakeup missing answers are attributed to this process, which may
 * not have read them yet, and not to the other members.
 */
static void check_late_wakeup(bsh_members_t *m, int64_t now_us)
{
	int64_t late_us = now_us - m->wake_us;

	if (late_us < m->period_us / 2)
		return;
	m->view.stats.late_wakeups++;
	m->health = MIN(m->health + HEALTH_LATE_STEP, HEALTH_MAX);
	m->probe.name[0] = '\0';
	m->direct_timeout_at_us = 0;
	g_array_set_size(m->relays, 0);
	bsh_view_extend_suspicions(&m->view, late_us);
	if (late_us >= 2 * m->period_us) {
		bsh_view_announce(&m->view, now_us, 0);
		m->sync_at_us = now_us;
	}
	m->period_at_us = now_us + m->period_us;
	m->wake_us = now_us;
	handle_view_changes(m, now_us);
}

void bsh_members_receive(bsh_members_t *m, int64_t now_us, const char *name,
			 uint64_t incarnation, const bsh_member_message_t *msg)
{
	const char *self = m->view.self->pub.name;
	bool forward = msg->kind != BSH_MEMBER_SYNC;
	bsh_member_record_t *from;
	guint live = m->view.live;
	bool was_dead;

	check_late_wakeup(m, now_us);
	m->view.stats.received++;
	/* An address may have been reused by another instance. */
	if (strcmp(name, self) == 0 ||
	    (msg->kind == BSH_MEMBER_PING && msg->target[0] != '\0' &&
	     strcmp(msg->target, self) != 0)) {
		m->view.stats.ignored++;
		return;
	}
	from = bsh_view_find(&m->view, name);
	if (from != NULL && !from->pub.is_hint &&
	    incarnation < from->pub.incarnation) {
		m->view.stats.ignored++;
		return;
	}
	was_dead = from != NULL && from->pub.state == BSH_MEMBER_DEAD;
	for (uint32_t i = 0; i < msg->n_updates; i++)
		bsh_view_merge(&m->view, now_us, from, &msg->updates[i],
			       forward);
	from = bsh_view_find(&m->view, name);
	/*
	 * An unknown sender cannot be answered without its addresses, which
	 * its pings contain.
	 */
	if (from == NULL || from->pub.incarnation != incarnation) {
		m->view.stats.ignored++;
		handle_view_changes(m, now_us);
		return;
	}
	record_sender(m, now_us, from, msg);
	if (live == 1 && m->view.live > 1)
		m->sync_at_us = now_us + m->period_us / 10;
	/* Failure reports that were dropped must not go out with the answer. */
	handle_view_changes(m, now_us);
	compare_leaving_digests(m, now_us, from, msg);
	/* The sender may have updates of the other side of a partition. */
	if (was_dead && bsh_member_is_live(&from->pub) &&
	    now_us - m->synced_us > SYNC_HEAL_PERIODS * m->period_us)
		request_sync_from(m, now_us, from);
	dispatch(m, now_us, from, msg);
	handle_view_changes(m, now_us);
}

/* ---- public functions ---- */

int64_t bsh_members_tick(bsh_members_t *m, int64_t now_us)
{
	int64_t wake_us;

	check_late_wakeup(m, now_us);
	if (m->direct_timeout_at_us != 0 && now_us >= m->direct_timeout_at_us)
		send_indirect(m, now_us);
	if (now_us >= m->period_at_us)
		run_period(m, now_us);
	if (now_us >= m->sync_at_us)
		request_sync(m, now_us);
	handle_view_changes(m, now_us);
	if (m->urgent_at_us != 0 && now_us >= m->urgent_at_us)
		send_urgent(m, now_us);
	wake_us = MIN(m->period_at_us, m->sync_at_us);
	if (m->direct_timeout_at_us != 0)
		wake_us = MIN(wake_us, m->direct_timeout_at_us);
	if (m->urgent_at_us != 0)
		wake_us = MIN(wake_us, m->urgent_at_us);
	m->wake_us = wake_us;
	return wake_us;
}

void bsh_members_add_seed(bsh_members_t *m, int64_t now_us, const char *address)
{
	if (strcmp(address, m->view.self->pub.place.gossip) == 0)
		return;
	g_ptr_array_add(m->seeds, g_strdup(address));
	m->seed_at_us = now_us;
}

void bsh_members_list_item(bsh_members_t *m, int64_t now_us, const char *name,
			   uint64_t incarnation,
			   const bsh_member_place_t *place,
			   bsh_list_state_t state)
{
	bsh_member_record_t *r = bsh_view_find(&m->view, name);
	bsh_member_update_t u = { .type = BSH_UPDATE_MEMBER,
				  .incarnation = incarnation };

	if (r == NULL && state == BSH_LIST_GONE)
		return;
	/* A record would be found under its first bytes only: it would be added
	 * again by each list, and its memory used after its end. */
	if (strlen(name) >= BSH_NAME_SIZE)
		return;
	if (r == NULL || r != m->view.self)
		r = bsh_view_add_hint(&m->view, now_us, name, incarnation,
				      place);
	if (incarnation != r->pub.incarnation)
		return;
	g_strlcpy(u.name, name, sizeof(u.name));
	u.revision = r->pub.revision;
	u.leaving = state == BSH_LIST_LEAVING;
	u.state = state == BSH_LIST_GONE ? BSH_MEMBER_GONE : BSH_MEMBER_ALIVE;
	if (r->pub.is_hint) {
		/* Kept in the hint until a message confirms the member. */
		r->pub.leaving |= u.leaving;
		r->pub.state = u.state;
	} else if (u.leaving || state == BSH_LIST_GONE) {
		bsh_view_merge(&m->view, now_us, NULL, &u, true);
	}
	handle_view_changes(m, now_us);
}

void bsh_members_leave(bsh_members_t *m, int64_t now_us)
{
	bsh_member_update_t u = { .type = BSH_UPDATE_MEMBER, .leaving = true };

	g_strlcpy(u.name, m->view.self->pub.name, sizeof(u.name));
	u.incarnation = m->view.self->pub.incarnation;
	bsh_view_merge(&m->view, now_us, NULL, &u, true);
	handle_view_changes(m, now_us);
}

static void merge_own_update(bsh_members_t *m, int64_t now_us,
			     bsh_update_type_t type, const char *name,
			     const char *owner, uint64_t incarnation)
{
	bsh_member_update_t u = { .type = type, .incarnation = incarnation };

	g_strlcpy(u.name, name, sizeof(u.name));
	g_strlcpy(u.owner, owner, sizeof(u.owner));
	bsh_view_merge(&m->view, now_us, NULL, &u, true);
	handle_view_changes(m, now_us);
}

void bsh_members_target_leaving(bsh_members_t *m, int64_t now_us,
				const char *target, uint64_t incarnation)
{
	merge_own_update(m, now_us, BSH_UPDATE_TARGET, target, "", incarnation);
}

bool bsh_members_is_target_leaving(const bsh_members_t *m, const char *target,
				   uint64_t incarnation)
{
	const bsh_resource_record_t *r =
		g_hash_table_lookup(m->view.targets, target);

	return r != NULL && incarnation <= r->incarnation;
}

void bsh_members_target_forget(bsh_members_t *m, const char *target)
{
	bsh_resource_record_t *r = g_hash_table_lookup(m->view.targets, target);

	if (r == NULL)
		return;
	m->view.is_leaving_digest_stale = true;
	bsh_gossip_queue_remove(&m->view.gossip_queue, &r->record.gossip_item);
	g_hash_table_remove(m->view.targets, target);
}

void bsh_members_set_cell_owner(bsh_members_t *m, int64_t now_us,
				const char *cell, const char *owner,
				uint64_t epoch)
{
	merge_own_update(m, now_us, BSH_UPDATE_CELL, cell, owner, epoch);
}

const char *bsh_members_cell_owner(const bsh_members_t *m, const char *cell,
				   uint64_t *epoch)
{
	const bsh_resource_record_t *r =
		g_hash_table_lookup(m->view.cells, cell);

	if (epoch != NULL)
		*epoch = r != NULL ? r->incarnation : 0;
	return r != NULL ? r->owner : NULL;
}

void bsh_members_set_generation(bsh_members_t *m, int64_t now_us,
				uint64_t generation, uint64_t hash,
				uint32_t confirm_age_ms)
{
	m->confirm_age_ms = confirm_age_ms;
	if (generation <= m->generation)
		return;
	m->generation = generation;
	m->hash = hash;
	m->view.self->pub.generation = generation;
	schedule_urgent(m, now_us, URGENT_ROUNDS_MAX);
}

const bsh_member_t *bsh_members_find(const bsh_members_t *m, const char *name)
{
	const bsh_member_record_t *r = bsh_view_find(&m->view, name);

	return r != NULL ? &r->pub : NULL;
}

void bsh_members_foreach(const bsh_members_t *m, bsh_member_fn_t fn, void *ctx)
{
	for (guint i = 0; i < m->view.by_rank->len; i++) {
		const bsh_member_record_t *r = bsh_view_at(&m->view, i);

		if (!r->pub.is_hint)
			fn(ctx, &r->pub);
	}
}

const bsh_member_t *bsh_members_self(const bsh_members_t *m)
{
	return &m->view.self->pub;
}

guint bsh_members_live(const bsh_members_t *m)
{
	return m->view.live;
}

uint64_t bsh_members_version(const bsh_members_t *m)
{
	return m->view.version;
}

uint32_t bsh_members_health(const bsh_members_t *m)
{
	return m->health;
}

const bsh_members_stats_t *bsh_members_stats(const bsh_members_t *m)
{
	return &m->view.stats;
}

guint bsh_members_queued(const bsh_members_t *m)
{
	return m->view.gossip_queue.length;
}

size_t bsh_members_bytes(const bsh_members_t *m)
{
	size_t resources = g_hash_table_size(m->view.targets) +
			   g_hash_table_size(m->view.cells);
	size_t names = m->same_zone->len + m->other_zones->len;

	/* A hash table entry takes three words and is at most half empty. */
	return sizeof(*m) +
	       m->view.by_rank->len *
		       (sizeof(bsh_member_record_t) + 7 * sizeof(void *)) +
	       resources *
		       (sizeof(bsh_resource_record_t) + 6 * sizeof(void *)) +
	       names * (BSH_NAME_SIZE + sizeof(void *)) +
	       m->relays->len * sizeof(relay_t);
}

bsh_members_t *bsh_members_new(const bsh_members_config_t *config,
			       const bsh_members_ops_t *ops, void *ctx,
			       int64_t now_us)
{
	bsh_members_t *m = g_new0(bsh_members_t, 1);

	bsh_rng_init(&m->rng, config->seed);
	bsh_view_init(&m->view, config, ops, ctx, now_us);
	m->period_us = (int64_t)config->period_ms * 1000;
	m->confirm_age_ms = BSH_MEMBER_AGE_NONE_MS;
	m->relays = g_array_new(FALSE, FALSE, sizeof(relay_t));
	m->seeds = g_ptr_array_new_with_free_func(g_free);
	m->same_zone = g_ptr_array_new_with_free_func(g_free);
	m->other_zones = g_ptr_array_new_with_free_func(g_free);
	/* Instances that start together must not probe in step. */
	m->period_at_us =
		now_us + bsh_rng_below(&m->rng, (uint32_t)m->period_us);
	m->sync_at_us = now_us + m->period_us;
	m->wake_us = now_us + m->period_us;
	m->cursor = m->view.self->pub.rank;
	m->urgent = (bucket_t){ URGENT_BURST_BYTES, URGENT_BYTES_PER_S,
				URGENT_BURST_BYTES, now_us };
	m->piggyback = (bucket_t){ PIGGYBACK_BURST_BYTES, PIGGYBACK_BYTES_PER_S,
				   PIGGYBACK_BURST_BYTES, now_us };
	m->sync = (bucket_t){ SYNC_BURST_BYTES, SYNC_BYTES_PER_S,
			      SYNC_BURST_BYTES, now_us };
	return m;
}

void bsh_members_free(bsh_members_t *m)
{
	if (m == NULL)
		return;
	bsh_view_finish(&m->view);
	g_array_free(m->relays, TRUE);
	g_ptr_array_free(m->seeds, TRUE);
	g_ptr_array_free(m->same_zone, TRUE);
	g_ptr_array_free(m->other_zones, TRUE);
	bsh_rng_finish(&m->rng);
	g_free(m);
}
