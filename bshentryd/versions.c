/* Software versions that have served, as far as this instance and others know. */
#include "control.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "coordination/stream_table.h"
#include "coordination/version_history.h"
#include "version_store.h"

/* An instance whose coverage is short asks this many others at a time, as some of
 * them may have started with it, in intervals that double from the first to the
 * longest. */
#define ASKED		    2
#define ASK_INTERVAL_US	    INT64_C(100000)
#define ASK_INTERVAL_MAX_US INT64_C(2000000)
/* An instance to which the others have told nothing by then reads the history from
 * the store.  At most this many do, the first ones by rendezvous hashing of
 * READERS_KEY; they tell the others. */
#define HISTORY_STORE_US INT64_C(400000)
#define READERS		 2U
#define READERS_KEY	 UINT64_C(0x56657273696f6e73)
/* Beyond the interval of confirmations: a round trip to a slow store. */
#define GAP_MARGIN_US INT64_C(1000000)
/* CLOCK_BOOTTIME gains less than this on CLOCK_MONOTONIC unless the machine is
 * suspended. */
#define SUSPENDED_MIN_US INT64_C(50000)

typedef struct {
	uint64_t service;
	uint64_t software;
} listed_version_t;

struct versions {
	control_t *control;
	bsh_version_history_t history;
	version_store_t store;
	GArray *listed;		 /* listed_version_t, of the last view */
	int64_t ask_us;		 /* next question to others */
	int64_t ask_interval_us; /* and the one after it */
	int64_t clock_lead_us;	 /* of CLOCK_BOOTTIME over CLOCK_MONOTONIC */
	int64_t resumed_us; /* end of a suspension was noticed; loop clock */
};

static bsh_counter_t history_gaps =
	BSH_COUNTER("bsh_version_history_gaps_total",
		    "Times in which the list of targets was not known for so "
		    "long that earlier versions are not known, either.");
static bsh_counter_t history_queries =
	BSH_COUNTER("bsh_version_history_queries_total",
		    "Messages that asked other instances for the versions that "
		    "have served.");

static int64_t clock_lead_us(const control_t *control)
{
	return control_now_us(control) - bsh_loop_clock_us();
}

static void on_snapshot_read(void *ctx, const bsh_version_snapshot_t *snapshot,
			     int64_t asked_us);

static int64_t versions_now_us(void *ctx)
{
	const versions_t *versions = ctx;

	return control_now_us(versions->control);
}

versions_t *versions_new(control_t *control)
{
	versions_t *versions = g_new0(versions_t, 1);

	bsh_counter_register(&history_gaps);
	bsh_counter_register(&history_queries);
	versions->control = control;
	version_store_init(&versions->store, &control->store, on_snapshot_read,
			   versions_now_us, versions);
	versions->listed = g_array_new(FALSE, FALSE, sizeof(listed_version_t));
	versions->ask_interval_us = ASK_INTERVAL_US;
	versions->clock_lead_us = clock_lead_us(control);
	bsh_version_history_init(
		&versions->history,
		MAX(BSH_LIST_AGE_MAX_US,
		    targets_confirm_interval_us(control->targets) +
			    GAP_MARGIN_US));
	return versions;
}

void versions_free(versions_t *versions)
{
	version_store_finish(&versions->store);
	bsh_version_history_finish(&versions->history);
	g_array_free(versions->listed, TRUE);
	g_free(versions);
}

static void add_service(view_t *view, const char *service)
{
	view_software_t item = { .only = 0 };

	for (guint i = 0; i < view->software->len; i++)
		if (strcmp(g_array_index(view->software, view_software_t, i)
				   .service,
			   service) == 0)
			return;
	g_strlcpy(item.service, service, sizeof(item.service));
	g_array_append_val(view->software, item);
}

/* Notes until when the list of targets is known.  The time that the machine was
 * suspended does not show in the age of the list, so a list from before that
 * confirms nothing. */
static void confirm_list(versions_t *versions)
{
	int64_t lead_us = clock_lead_us(versions->control);
	int64_t confirmed_us = targets_confirmed_us(versions->control->targets);
	int64_t gap_us;

	if (lead_us - versions->clock_lead_us >= SUSPENDED_MIN_US)
		versions->resumed_us = bsh_loop_clock_us();
	versions->clock_lead_us = lead_us;
	if (!targets_listed(versions->control->targets) ||
	    confirmed_us <= versions->resumed_us)
		return;
	gap_us = bsh_version_history_confirm(&versions->history,
					     confirmed_us + lead_us);
	if (gap_us == 0)
		return;
	bsh_counter_add(&history_gaps, 1);
	bsh_log(BSH_LOG_WARNING, "version-history-gap gap_ms=%d",
		(int)(gap_us / 1000));
	versions->ask_us = 0;
	versions->ask_interval_us = ASK_INTERVAL_US;
	version_store_reset(&versions->store);
	control_schedule_view(versions->control);
}

uint64_t versions_only(versions_t *versions, uint64_t service)
{
	confirm_list(versions);
	return bsh_version_history_only(&versions->history, service,
					control_now_us(versions->control));
}

bool versions_several(const versions_t *versions, uint64_t service)
{
	return bsh_version_history_several(&versions->history, service,
					   control_now_us(versions->control));
}

bool versions_have_several(const versions_t *versions)
{
	return bsh_version_history_have_several(
		&versions->history, control_now_us(versions->control));
}

int64_t versions_age_us(const versions_t *versions)
{
	return control_now_us(versions->control) - versions->history.since_us;
}

/* The versions of the last view have served until now. */
static void note_listed(versions_t *versions, int64_t now_us)
{
	for (guint i = 0; i < versions->listed->len; i++) {
		const listed_version_t *item =
			&g_array_index(versions->listed, listed_version_t, i);

		bsh_version_history_note(&versions->history, item->service,
					 item->software, now_us);
	}
}

static void list_version(versions_t *versions, uint64_t service,
			 uint64_t software)
{
	listed_version_t item = { service, software };

	for (guint i = 0; i < versions->listed->len; i++) {
		const listed_version_t *other =
			&g_array_index(versions->listed, listed_version_t, i);

		if (other->service == service && other->software == software)
			return;
	}
	g_array_append_val(versions->listed, item);
}

void versions_fill(versions_t *versions, view_t *view)
{
	int64_t now_us = control_now_us(versions->control);

	note_listed(versions, now_us);
	g_array_set_size(versions->listed, 0);
	for (guint i = 0; i < view->targets->len; i++) {
		const view_target_t *target =
			&g_array_index(view->targets, view_target_t, i);

		list_version(versions, bsh_service_key(target->service),
			     target->software_key);
		add_service(view, target->service);
	}
	note_listed(versions, now_us);
	for (guint i = 0; i < view->software->len; i++) {
		view_software_t *item =
			&g_array_index(view->software, view_software_t, i);
		uint64_t service = bsh_service_key(item->service);

		item->only = versions_only(versions, service);
		item->several = versions_several(versions, service);
	}
}

/* Returns false if no other instance is known. */
static bool ask_for_history(const versions_t *versions, uint64_t service,
			    int64_t now_us)
{
	peers_t *peers = versions->control->peers;
	bsh_message_t message = { .type = BSH_MSG_VERSIONS_QUERY };
	const char *instance = NULL;

	message.versions_query.service = service;
	message.versions_query.asked_us = (uint64_t)now_us;
	for (int i = 0; i < ASKED; i++) {
		instance = peers_any(peers);
		if (instance == NULL)
			continue;
		peers_send(peers, instance, &message);
		bsh_counter_add(&history_queries, 1);
	}
	return instance != NULL;
}

/* True if no earlier item of the list is of the same service. */
static bool is_first_of_service(const versions_t *versions, guint at)
{
	const listed_version_t *items =
		(const listed_version_t *)versions->listed->data;

	for (guint i = 0; i < at; i++)
		if (items[i].service == items[at].service)
			return false;
	return true;
}

static bool is_covered(const versions_t *versions, int64_t now_us)
{
	for (guint i = 0; i < versions->listed->len; i++) {
		uint64_t service =
			g_array_index(versions->listed, listed_version_t, i)
				.service;

		if (!bsh_version_history_is_covered(&versions->history, service,
						    now_us))
			return false;
	}
	return true;
}

static void read_snapshot(versions_t *versions, int64_t now_us)
{
	int64_t since_us = versions->history.since_us;
	uint32_t n;

	if (since_us != 0 && now_us - since_us >= HISTORY_STORE_US &&
	    now_us - since_us < BSH_STREAM_MEMORY_US &&
	    !is_covered(versions, now_us) &&
	    peers_rank(versions->control->peers, READERS_KEY, &n) < READERS)
		version_store_read(&versions->store, now_us);
}

static void note_target(void *ctx, const bsh_target_t *target)
{
	versions_t *versions = ctx;

	if (!target->leaving)
		bsh_version_history_note(
			&versions->history, bsh_service_key(target->service),
			bsh_software_key(target->service, target->software),
			control_now_us(versions->control));
}

static void write_snapshot(versions_t *versions, int64_t now_us)
{
	const control_t *control = versions->control;
	uint64_t revision = targets_revision(control->targets);
	g_autoptr(GArray) services =
		g_array_new(FALSE, FALSE, sizeof(uint64_t));
	json_t *spec;

	if (revision == 0 || !orders_is_holder(control->orders) ||
	    !version_store_is_due(&versions->store, now_us))
		return;
	/* The last view may be older than the revision. */
	targets_foreach(control->targets, note_target, versions);
	for (guint i = 0; i < versions->listed->len; i++)
		if (is_first_of_service(versions, i))
			g_array_append_val(services,
					   g_array_index(versions->listed,
							 listed_version_t, i)
						   .service);
	spec = bsh_version_snapshot_encode(
		&versions->history,
		(const uint64_t *)(const void *)services->data, services->len,
		revision, now_us);
	if (spec != NULL)
		version_store_write(&versions->store, spec, now_us);
}

static void on_snapshot_read(void *ctx, const bsh_version_snapshot_t *snapshot,
			     int64_t asked_us)
{
	versions_t *versions = ctx;
	uint32_t n;

	confirm_list(versions);
	n = bsh_version_snapshot_merge(snapshot, &versions->history, asked_us,
				       control_now_us(versions->control));
	bsh_log(BSH_LOG_INFO,
		"version-history-continued source=store services=%u", n);
	control_schedule_view(versions->control);
}

void versions_tick(versions_t *versions)
{
	int64_t now_us = control_now_us(versions->control);
	bool asked = false;

	confirm_list(versions);
	note_listed(versions, now_us);
	read_snapshot(versions, now_us);
	write_snapshot(versions, now_us);
	if (versions->history.since_us == 0 || now_us < versions->ask_us)
		return;
	for (guint i = 0; i < versions->listed->len; i++) {
		uint64_t service =
			g_array_index(versions->listed, listed_version_t, i)
				.service;

		if (is_first_of_service(versions, i) &&
		    !bsh_version_history_is_covered(&versions->history, service,
						    now_us) &&
		    ask_for_history(versions, service, now_us))
			asked = true;
	}
	versions->ask_us = now_us + versions->ask_interval_us;
	versions->ask_interval_us =
		asked ? MIN(versions->ask_interval_us * 2, ASK_INTERVAL_MAX_US)
		      : ASK_INTERVAL_US;
}

void versions_receive_query(versions_t *versions, const char *sender,
			    const bsh_msg_versions_query_t *query)
{
	bsh_version_seen_t seen[BSH_SOFTWARE_VERSIONS_MAX];
	bsh_message_t message = { .type = BSH_MSG_VERSIONS_ANSWER };

	confirm_list(versions);
	if (bsh_version_history_report(&versions->history, query, seen,
				       &message.versions_answer,
				       control_now_us(versions->control)))
		peers_send(versions->control->peers, sender, &message);
}

void versions_receive_answer(versions_t *versions, const char *sender,
			     const bsh_msg_versions_answer_t *answer)
{
	int64_t now_us = control_now_us(versions->control);

	confirm_list(versions);
	if (!bsh_version_history_merge(&versions->history, answer, now_us))
		return;
	bsh_log(BSH_LOG_INFO,
		"version-history-continued instance=%s since_ms=%u versions=%u",
		sender, answer->since_age_ms, answer->seen_count);
	control_schedule_view(versions->control);
}
