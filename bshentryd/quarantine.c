/* Exchange of what the instances have learnt of requests under which processes of
 * targets end. */
#include "control.h"
#include "quarantine_store.h"

#include "base/counter.h"
#include "base/log.h"
#include "coordination/quarantine.h"

/* Interval at which an instance that knows of accused keys sends all facts to
 * another one: it may have lost a message, or been cut off. */
#define REPAIR_INTERVAL_US INT64_C(500000)
/* A process that did not run for this long may have missed facts. */
#define PAUSE_MIN_US INT64_C(1000000)
/* Others are asked for their facts at this interval until one answers, and no
 * longer than ASK_MAX_US: there may be no other instance. */
#define ASK_INTERVAL_US INT64_C(100000)
#define ASK_MAX_US	INT64_C(1000000)
/* Interval at which one quarantined key is written to the store. */
#define STORE_INTERVAL_US INT64_C(200000)
/* Datagrams of a repair, and of the answer to an instance that asks. */
#define REPAIR_DATAGRAMS_MAX 2U
#define ANSWER_DATAGRAMS_MAX 16U

struct quarantine {
	control_t *control;
	bsh_quarantine_t table;
	GArray *news; /* bsh_suspect_fact_t, not yet passed on */
	int64_t repaired_us;
	int64_t ticked_us;
	int64_t asks_since_us; /* 0: does not ask */
	int64_t asked_us;
	quarantine_store_t store;
	bool asked;  /* others have answered, or none has for long */
	bool listed; /* the store has answered */
	int64_t started_us;
	int64_t kept_us;    /* last tick of the store */
	GHashTable *probed; /* key to the last end after which it was probed */
};

static bsh_counter_t facts_sent =
	BSH_COUNTER("bsh_suspect_facts_sent_total",
		    "Facts about suspects sent to other instances.");
static bsh_counter_t known_gauge =
	BSH_GAUGE("bsh_suspects_known",
		  "Requests and prompt parts that were at an end of a target's "
		  "process.");

/* Requests wait until both the others and the store have told what they know:
 * after a restart of all instances only the store knows. */
static void update_known(quarantine_t *quarantine)
{
	entry_t *entry = quarantine->control->entry;
	bool late =
		control_now_us(quarantine->control) - quarantine->started_us >
		ASK_MAX_US;

	if (quarantine->asked && (quarantine->listed || late))
		__atomic_store_n(&entry->suspects_known, true,
				 __ATOMIC_RELEASE);
}

static void post_to_traffic(const quarantine_t *quarantine, GArray *facts);
static bool merge(quarantine_t *quarantine, const bsh_suspect_fact_t *fact);

static void on_listed(void *ctx, const GArray *facts)
{
	quarantine_t *quarantine = ctx;
	GArray *fresh = g_array_new(FALSE, FALSE, sizeof(bsh_suspect_fact_t));

	for (guint i = 0; i < facts->len; i++) {
		const bsh_suspect_fact_t *fact =
			&g_array_index(facts, bsh_suspect_fact_t, i);

		if (merge(quarantine, fact))
			g_array_append_vals(fresh, fact, 1);
	}
	post_to_traffic(quarantine, fresh);
	quarantine->listed = true;
	update_known(quarantine);
}

static bool owns_object(void *ctx, uint64_t key)
{
	const quarantine_t *quarantine = ctx;
	uint32_t n;

	return peers_rank(quarantine->control->peers, key, &n) == 0;
}

quarantine_t *quarantine_new(control_t *control)
{
	quarantine_t *quarantine = g_new0(quarantine_t, 1);

	bsh_counter_register(&facts_sent);
	bsh_counter_register(&known_gauge);
	quarantine->control = control;
	quarantine->started_us = control_now_us(control);
	quarantine_store_init(&quarantine->store, &control->store, on_listed,
			      owns_object, quarantine);
	bsh_quarantine_init(&quarantine->table, BSH_SUSPECTS_MAX);
	quarantine->news =
		g_array_new(FALSE, FALSE, sizeof(bsh_suspect_fact_t));
	quarantine->probed = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, g_free);
	return quarantine;
}

void quarantine_free(quarantine_t *quarantine)
{
	quarantine_store_finish(&quarantine->store);
	bsh_quarantine_finish(&quarantine->table);
	g_array_free(quarantine->news, TRUE);
	g_hash_table_destroy(quarantine->probed);
	g_free(quarantine);
}

static void send_facts(const quarantine_t *quarantine, const char *instance,
		       const GArray *facts, guint from, guint n, bool wants_all)
{
	bsh_message_t message = { .type = BSH_MSG_SUSPECT_FACTS };

	message.suspect_facts.wants_all = wants_all;
	message.suspect_facts.facts =
		n > 0 ? &g_array_index(facts, const bsh_suspect_fact_t, from)
		      : NULL;
	message.suspect_facts.fact_count = n;
	bsh_counter_add(&facts_sent, n);
	peers_send(quarantine->control->peers, instance, &message);
}

/* Sends facts in at most this many datagrams.  If there are more, the first ones
 * are sent and a random part of the others. */
static void send_all(const quarantine_t *quarantine, const char *instance,
		     const GArray *facts, guint datagrams_max)
{
	guint from = 0;
	guint sent = 0;

	do {
		guint n = MIN(facts->len - from, BSH_SUSPECT_FACTS_MAX);

		send_facts(quarantine, instance, facts, from, n, false);
		from = from + n < facts->len ? from + n : 0;
		sent++;
		if (sent == datagrams_max / 2 &&
		    facts->len > datagrams_max * BSH_SUSPECT_FACTS_MAX)
			from = (guint)g_random_int_range((gint32)from,
							 (gint32)facts->len);
	} while (sent < datagrams_max &&
		 sent * BSH_SUSPECT_FACTS_MAX < facts->len);
}

/* Passes new facts on to some other instances, which do the same. */
static void pass_on(quarantine_t *quarantine)
{
	peers_keeper_t others[PEERS_KEEPERS];
	uint64_t random = (uint64_t)g_random_int() << 32 | g_random_int();
	uint32_t n;

	if (quarantine->news->len == 0)
		return;
	n = peers_choose_keepers(quarantine->control->peers, random, others);
	for (uint32_t i = 0; i < n; i++)
		send_all(quarantine, others[i].name, quarantine->news,
			 ANSWER_DATAGRAMS_MAX);
	g_array_set_size(quarantine->news, 0);
}

static GArray *all_facts(const quarantine_t *quarantine)
{
	GArray *facts = g_array_new(FALSE, FALSE, sizeof(bsh_suspect_fact_t));

	bsh_quarantine_collect(&quarantine->table, facts,
			       control_now_us(quarantine->control));
	return facts;
}

static bool merge(quarantine_t *quarantine, const bsh_suspect_fact_t *fact)
{
	int64_t now_us = control_now_us(quarantine->control);

	if (!bsh_quarantine_merge(&quarantine->table, fact, now_us))
		return false;
	g_array_append_vals(quarantine->news, fact, 1);
	return true;
}

void quarantine_record(quarantine_t *quarantine, const GArray *facts)
{
	for (guint i = 0; i < facts->len; i++)
		merge(quarantine, &g_array_index(facts, bsh_suspect_fact_t, i));
	pass_on(quarantine);
}

static void post_to_traffic(const quarantine_t *quarantine, GArray *facts)
{
	entry_t *entry = quarantine->control->entry;
	traffic_suspect_facts_msg_t *message =
		g_new0(traffic_suspect_facts_msg_t, 1);

	message->traffic = entry->traffic;
	message->facts = facts;
	bsh_loop_post(&entry->traffic_loop, traffic_merge_suspect_facts,
		      message);
}

static void stop_asking(quarantine_t *quarantine, const char *result)
{
	int64_t took_us =
		control_now_us(quarantine->control) - quarantine->asks_since_us;

	bsh_log(BSH_LOG_INFO, "suspects-asked result=%s known=%u took_ms=%d",
		result, bsh_quarantine_size(&quarantine->table),
		(int)(took_us / 1000));
	quarantine->asks_since_us = 0;
	quarantine->asked = true;
	update_known(quarantine);
}

void quarantine_receive(quarantine_t *quarantine, const char *sender,
			const bsh_msg_suspect_facts_t *message)
{
	GArray *fresh = g_array_new(FALSE, FALSE, sizeof(bsh_suspect_fact_t));

	for (uint32_t i = 0; i < message->fact_count; i++)
		if (merge(quarantine, &message->facts[i]))
			g_array_append_val(fresh, message->facts[i]);
	if (fresh->len > 0)
		post_to_traffic(quarantine, fresh);
	else
		g_array_free(fresh, TRUE);
	if (message->wants_all) {
		g_autoptr(GArray) facts = all_facts(quarantine);

		send_all(quarantine, sender, facts, ANSWER_DATAGRAMS_MAX);
	} else if (quarantine->asks_since_us != 0) {
		stop_asking(quarantine, "answered");
	}
}

static void ask_others(quarantine_t *quarantine, int64_t now_us)
{
	peers_keeper_t others[PEERS_KEEPERS];
	uint32_t n;

	if (quarantine->asks_since_us == 0)
		return;
	n = peers_choose_keepers(quarantine->control->peers, g_random_int(),
				 others);
	if (n == 0 && peers_listed(quarantine->control->peers)) {
		stop_asking(quarantine, "alone");
		return;
	}
	if (now_us - quarantine->asked_us < ASK_INTERVAL_US)
		return;
	if (now_us - quarantine->asks_since_us > ASK_MAX_US) {
		stop_asking(quarantine, "no-answer");
		return;
	}
	quarantine->asked_us = now_us;
	for (uint32_t i = 0; i < n; i++)
		send_facts(quarantine, others[i].name, NULL, 0, 0, true);
}

/* Lets this instance send one request with a quarantined key, if it is the one
 * of all that does so. */
static void allow_probe(void *ctx, uint64_t key, int64_t end_us)
{
	quarantine_t *quarantine = ctx;
	entry_t *entry = quarantine->control->entry;
	const int64_t *before = g_hash_table_lookup(quarantine->probed, &key);
	traffic_probe_msg_t *message;
	uint32_t n;

	if (peers_rank(quarantine->control->peers, key, &n) != 0 ||
	    (before != NULL && *before == end_us))
		return;
	g_hash_table_replace(quarantine->probed, g_memdup2(&key, sizeof(key)),
			     g_memdup2(&end_us, sizeof(end_us)));
	message = g_new0(traffic_probe_msg_t, 1);
	message->traffic = entry->traffic;
	message->key = key;
	bsh_loop_post(&entry->traffic_loop, traffic_probe_suspect, message);
}

static void repair_one(quarantine_t *quarantine, int64_t now_us)
{
	peers_keeper_t others[PEERS_KEEPERS];

	if (now_us - quarantine->repaired_us < REPAIR_INTERVAL_US)
		return;
	quarantine->repaired_us = now_us;
	bsh_quarantine_expire(&quarantine->table, now_us);
	bsh_counter_set(&known_gauge, bsh_quarantine_size(&quarantine->table));
	if (bsh_quarantine_size(&quarantine->table) == 0) {
		g_hash_table_remove_all(quarantine->probed);
		return;
	}
	bsh_quarantine_foreach_probe(&quarantine->table, now_us, allow_probe,
				     quarantine);
	if (peers_choose_keepers(quarantine->control->peers, g_random_int(),
				 others) > 0) {
		g_autoptr(GArray) facts = all_facts(quarantine);

		send_all(quarantine, others[0].name, facts,
			 REPAIR_DATAGRAMS_MAX);
	}
}

static void keep_in_store(quarantine_t *quarantine, int64_t now_us)
{
	if (now_us - quarantine->kept_us < STORE_INTERVAL_US)
		return;
	quarantine->kept_us = now_us;
	quarantine_store_tick(&quarantine->store, &quarantine->table, now_us);
	update_known(quarantine);
}

void quarantine_tick(quarantine_t *quarantine)
{
	int64_t now_us = control_now_us(quarantine->control);

	/* The first call, or the first one after a pause of the process. */
	if (now_us - quarantine->ticked_us > PAUSE_MIN_US)
		quarantine->asks_since_us = now_us;
	quarantine->ticked_us = now_us;
	pass_on(quarantine);
	ask_others(quarantine, now_us);
	repair_one(quarantine, now_us);
	keep_in_store(quarantine, now_us);
}

void quarantine_store_was_restored(quarantine_t *quarantine)
{
	quarantine_store_restored(&quarantine->store);
}
