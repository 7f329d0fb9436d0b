/* Places of targets: the ledgers that this instance keeps, and the needs of its
 * own requests, which go to the instances that keep the others. */
#include "control.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "coordination/place_ledger.h"

/* An instance that answers no need for this time does not keep the ledger: it
 * may run an earlier version of the software, or be cut off from this one. */
#define SILENT_US	 INT64_C(250000)
#define SILENT_MEMORY_US INT64_C(10000000)
/* It is asked again at this interval: it may have been paused, or not have known
 * this instance yet, and give out places to others meanwhile. */
#define PROBE_US INT64_C(100000)

/* The instance that was asked for the places of a target. */
typedef struct {
	uint64_t target;
	char keeper[BSH_NAME_SIZE];
	int64_t asked_us; /* first need that was not answered; 0: answered */
	int64_t used_us;
	int64_t probed_us; /* last need sent to a silent instance as well */
} asked_t;

struct place_keeper {
	control_t *control;
	bsh_place_ledger_t ledger;
	GHashTable *asked;  /* target to asked_t */
	GHashTable *silent; /* instance to the end of that, int64_t */
};

static bsh_counter_t kept_gauge = BSH_GAUGE(
	"bsh_place_ledgers", "Targets whose places this instance gives out.");
static bsh_counter_t needs_counter = BSH_COUNTER(
	"bsh_place_needs_total", "Needs of instances for places of targets.");

place_keeper_t *place_keeper_new(control_t *control)
{
	place_keeper_t *keeper = g_new0(place_keeper_t, 1);

	bsh_counter_register(&kept_gauge);
	bsh_counter_register(&needs_counter);
	keeper->control = control;
	bsh_place_ledger_init(&keeper->ledger);
	keeper->asked = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	keeper->silent =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return keeper;
}

void place_keeper_free(place_keeper_t *keeper)
{
	bsh_place_ledger_finish(&keeper->ledger);
	g_hash_table_destroy(keeper->asked);
	g_hash_table_destroy(keeper->silent);
	g_free(keeper);
}

static const char *self(const place_keeper_t *keeper)
{
	return keeper->control->entry->settings.instance;
}

/* Tells the traffic thread what this instance was granted. */
static void publish(const place_keeper_t *keeper,
		    const bsh_place_grant_t *grants, uint32_t n)
{
	entry_t *entry = keeper->control->entry;
	traffic_places_msg_t *message = g_new0(traffic_places_msg_t, 1);

	message->traffic = entry->traffic;
	message->grants = g_array_new(FALSE, FALSE, sizeof(bsh_place_grant_t));
	g_array_append_vals(message->grants, grants, n);
	bsh_loop_post(&entry->traffic_loop, traffic_set_places, message);
}

static void on_grant(void *ctx, const char *instance,
		     const bsh_place_grant_t *grant)
{
	const place_keeper_t *keeper = ctx;
	bsh_message_t message = { .type = BSH_MSG_PLACE_GRANTS };

	if (strcmp(instance, self(keeper)) == 0) {
		publish(keeper, grant, 1);
		return;
	}
	message.place_grants.grants = grant;
	message.place_grants.grant_count = 1;
	peers_send(keeper->control->peers, instance, &message);
}

static asked_t *find_asked(place_keeper_t *keeper, uint64_t target)
{
	asked_t *asked = g_hash_table_lookup(keeper->asked, &target);

	if (asked != NULL)
		return asked;
	asked = g_new0(asked_t, 1);
	asked->target = target;
	g_hash_table_insert(keeper->asked, &asked->target, asked);
	return asked;
}

static void note_silent(place_keeper_t *keeper, const char *instance,
			int64_t now_us)
{
	int64_t *until_us = g_new(int64_t, 1);

	*until_us = now_us + SILENT_MEMORY_US;
	bsh_log(BSH_LOG_INFO, "place-keeper-silent instance=%s", instance);
	g_hash_table_replace(keeper->silent, g_strdup(instance), until_us);
}

/* The instance that keeps the ledger of a target. */
static const char *choose_keeper(place_keeper_t *keeper, const place_ask_t *ask)
{
	asked_t *asked = find_asked(keeper, ask->need.target);
	int64_t now_us = control_now_us(keeper->control);
	const char *name;

	if (!ask->unanswered)
		asked->asked_us = now_us;
	else if (asked->asked_us != 0 &&
		 now_us - asked->asked_us >= SILENT_US &&
		 strcmp(asked->keeper, self(keeper)) != 0) {
		note_silent(keeper, asked->keeper, now_us);
		asked->asked_us = now_us;
	}
	asked->used_us = now_us;
	name = peers_first(keeper->control->peers, ask->need.target,
			   keeper->silent);
	if (name == NULL)
		name = self(keeper);
	if (strcmp(asked->keeper, name) != 0) {
		asked->asked_us = now_us;
		g_strlcpy(asked->keeper, name, sizeof(asked->keeper));
	}
	return asked->keeper;
}

static void send_need(place_keeper_t *keeper, const char *name,
		      const bsh_place_need_t *need)
{
	bsh_message_t message = { .type = BSH_MSG_PLACE_NEEDS };

	message.place_needs.needs = need;
	message.place_needs.need_count = 1;
	if (strcmp(name, self(keeper)) == 0)
		place_keeper_receive_needs(keeper, name,
					   keeper->control->entry->incarnation,
					   &message.place_needs);
	else
		peers_send(keeper->control->peers, name, &message);
}

/* Sends the need to the instance that ranks first, too, if it was left out as it
 * was silent.  Its answer ends that. */
static void probe_silent(place_keeper_t *keeper, const bsh_place_need_t *need)
{
	asked_t *asked = find_asked(keeper, need->target);
	int64_t now_us = control_now_us(keeper->control);
	const char *first;

	if (g_hash_table_size(keeper->silent) == 0 ||
	    now_us - asked->probed_us < PROBE_US)
		return;
	first = peers_first(keeper->control->peers, need->target, NULL);
	if (first == NULL || !g_hash_table_contains(keeper->silent, first))
		return;
	asked->probed_us = now_us;
	send_need(keeper, first, need);
}

void place_keeper_ask(place_keeper_t *keeper, const GArray *asks)
{
	for (guint i = 0; i < asks->len; i++) {
		const place_ask_t *ask = &g_array_index(asks, place_ask_t, i);

		send_need(keeper, choose_keeper(keeper, ask), &ask->need);
		probe_silent(keeper, &ask->need);
	}
}

void place_keeper_receive_needs(place_keeper_t *keeper, const char *sender,
				uint64_t incarnation,
				const bsh_msg_place_needs_t *message)
{
	bsh_counter_add(&needs_counter, message->need_count);
	for (uint32_t i = 0; i < message->need_count; i++)
		bsh_place_ledger_need(&keeper->ledger, sender, incarnation,
				      &message->needs[i],
				      control_now_us(keeper->control), on_grant,
				      keeper);
}

void place_keeper_receive_grants(place_keeper_t *keeper, const char *sender,
				 const bsh_msg_place_grants_t *message)
{
	g_hash_table_remove(keeper->silent, sender);
	if (message->grant_count > 0)
		publish(keeper, message->grants, message->grant_count);
}

static gboolean is_over(void *key, void *until_us, void *now_us)
{
	(void)key;
	return *(const int64_t *)now_us >= *(const int64_t *)until_us;
}

static gboolean is_unused(void *key, void *asked, void *now_us)
{
	(void)key;
	return *(const int64_t *)now_us - ((const asked_t *)asked)->used_us >
	       SILENT_MEMORY_US;
}

void place_keeper_tick(place_keeper_t *keeper)
{
	int64_t now_us = control_now_us(keeper->control);

	g_hash_table_foreach_remove(keeper->silent, is_over, &now_us);
	g_hash_table_foreach_remove(keeper->asked, is_unused, &now_us);
	bsh_place_ledger_run(&keeper->ledger, now_us, on_grant, keeper);
	bsh_counter_set(&kept_gauge, bsh_place_ledger_size(&keeper->ledger));
}
