/* Limits that targets name: the instances tell each other, by way of the lease
 * holder, and each works out its share. */
#include "control.h"

#include <string.h>

#include "coordination/target_limit.h"

#define SEND_INTERVAL_US INT64_C(250000)
/* An instance reports what answers named to itself within this time, and the
 * holder passes on what was named within RELAY_US: also that a limit ended. */
#define REPORT_US INT64_C(1000000)
#define RELAY_US  INT64_C(5000000)
/* A target that answers nothing any more is forgotten. */
#define MEMORY_US     INT64_C(60000000)
#define PROCESSES_MAX 512U

typedef struct {
	uint64_t process;
	uint32_t limit_milli; /* BSH_LIMIT_MILLI_NONE: none */
	int64_t named_us;
	int64_t own_us; /* last named to this instance; 0: never */
} known_t;

struct limit_shares {
	control_t *control;
	GHashTable *known; /* process to known_t */
	int64_t sent_us;
};

limit_shares_t *limit_shares_new(control_t *control)
{
	limit_shares_t *shares = g_new0(limit_shares_t, 1);

	shares->control = control;
	shares->known = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	return shares;
}

void limit_shares_free(limit_shares_t *shares)
{
	g_hash_table_destroy(shares->known);
	g_free(shares);
}

/* Notes what an answer named, unless a later one is known; NULL then. */
static known_t *note(limit_shares_t *shares, const bsh_limit_entry_t *entry)
{
	int64_t named_us =
		control_now_us(shares->control) - entry->age_ms * INT64_C(1000);
	known_t *known = g_hash_table_lookup(shares->known, &entry->process);

	if (known == NULL) {
		if (g_hash_table_size(shares->known) >= PROCESSES_MAX)
			return NULL;
		known = g_new0(known_t, 1);
		known->process = entry->process;
		g_hash_table_insert(shares->known, &known->process, known);
	} else if (named_us < known->named_us) {
		return NULL;
	}
	known->limit_milli = entry->limit_milli;
	known->named_us = named_us;
	return known;
}

void limit_shares_record(limit_shares_t *shares, const GArray *entries)
{
	for (guint i = 0; i < entries->len; i++) {
		known_t *known = note(
			shares, &g_array_index(entries, bsh_limit_entry_t, i));

		if (known != NULL)
			known->own_us = known->named_us;
	}
}

static double per_s(const known_t *known)
{
	return known->limit_milli == BSH_LIMIT_MILLI_NONE
		       ? BSH_LIMIT_NONE
		       : known->limit_milli / 1e3;
}

/* Tells the traffic thread the limits and the share of this instance. */
static void publish(const limit_shares_t *shares)
{
	entry_t *entry = shares->control->entry;
	traffic_limits_msg_t *message;
	GHashTableIter iter;
	void *value;

	if (g_hash_table_size(shares->known) == 0)
		return;
	message = g_new0(traffic_limits_msg_t, 1);
	message->traffic = entry->traffic;
	message->shares = g_array_new(FALSE, FALSE, sizeof(limit_share_t));
	g_hash_table_iter_init(&iter, shares->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const known_t *known = value;
		limit_share_t share = { .process = known->process,
					.per_s = per_s(known) };
		uint32_t n;
		uint32_t rank =
			peers_rank(shares->control->peers, known->process, &n);

		share.age_us =
			control_now_us(shares->control) - known->named_us;
		share.share = bsh_limit_share(MAX(share.per_s, 0), rank, n);
		g_array_append_val(message->shares, share);
	}
	bsh_loop_post(&entry->traffic_loop, traffic_set_limits, message);
}

void limit_shares_receive(limit_shares_t *shares, const char *sender,
			  const bsh_msg_target_limits_t *message)
{
	const orders_t *orders = shares->control->orders;

	if (message->term != 0 && strcmp(sender, orders_holder(orders)) != 0)
		return;
	for (uint32_t i = 0; i < message->entry_count; i++)
		note(shares, &message->entries[i]);
	publish(shares);
}

static gboolean is_forgotten(void *key, void *value, void *now_us)
{
	(void)key;
	return *(const int64_t *)now_us - ((const known_t *)value)->named_us >
	       MEMORY_US;
}

/* What was named to this instance, or to any, recently. */
static GArray *collect(const limit_shares_t *shares, bool own, int64_t now_us)
{
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(bsh_limit_entry_t));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shares->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const known_t *known = value;
		bsh_limit_entry_t entry = {
			.process = known->process,
			.limit_milli = known->limit_milli,
			.age_ms = (uint32_t)((now_us - known->named_us) / 1000),
		};

		if (own ? known->own_us == known->named_us &&
				    now_us - known->own_us <= REPORT_US
			: now_us - known->named_us <= RELAY_US)
			g_array_append_val(entries, entry);
	}
	return entries;
}

void limit_shares_tick(limit_shares_t *shares)
{
	control_t *control = shares->control;
	int64_t now_us = control_now_us(control);
	bool is_holder = orders_is_holder(control->orders);
	const char *holder = orders_holder(control->orders);
	bsh_message_t message = { .type = BSH_MSG_TARGET_LIMITS };
	g_autoptr(GArray) entries = NULL;

	if (now_us - shares->sent_us < SEND_INTERVAL_US)
		return;
	shares->sent_us = now_us;
	g_hash_table_foreach_remove(shares->known, is_forgotten, &now_us);
	publish(shares);
	entries = collect(shares, !is_holder, now_us);
	if (entries->len == 0)
		return;
	message.target_limits.entries =
		&g_array_index(entries, const bsh_limit_entry_t, 0);
	message.target_limits.entry_count =
		MIN(entries->len, BSH_LIMIT_ENTRIES_MAX);
	if (is_holder) {
		message.target_limits.term =
			orders_lease(control->orders)->term;
		peers_broadcast(control->peers, &message);
	} else if (holder[0] != '\0') {
		peers_send(control->peers, holder, &message);
	}
}
