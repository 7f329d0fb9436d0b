/* Whether this instance reads the list of targets and the configuration from the
 * store, and what those that do tell the others. */
#include "control.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "coordination/confirmation.h"
#include "coordination/store_reader.h"

/* Interval of READER while this instance reads without holding the order lease,
 * and of the holder, whose announcements tell of the list already. */
#define TELL_INTERVAL_US	INT64_C(300000)
#define HOLDER_TELL_INTERVAL_US INT64_C(600000)
/* Delay of READER after a change, so that several share one. */
#define CHANGE_DELAY_US INT64_C(15000)
/* The store has to answer an instance that reads for others this often, as they
 * count on the age of its last answer. */
#define WATCH_WAIT_MS 500U
/* An instance that the store has not answered for longer vouches for nothing. */
#define CONTACT_MAX_AGE_US INT64_C(1200000)
/* While calls about targets fail, those about the configuration are this much
 * rarer. */
#define CONFIG_BACKOFF_FACTOR 2
/* Key of the rank by which instances read. */
#define RANK_KEY UINT64_C(0x53746f7265526561)

struct store_reading {
	control_t *control;
	bsh_store_reader_t targets;
	bsh_store_reader_t config;
	bsh_confirmation_t confirmation; /* loop clock */
	bsh_loop_timer_t change_timer;
	GPtrArray *changed; /* ids of targets whose state has changed */
	int64_t told_us;    /* last READER sent */
	bool has_applied;   /* what a READER told, since the last full list */
	/* At the last tick. */
	bool read_targets;
	bool read_config;
};

static bsh_counter_t reading_gauge =
	BSH_GAUGE("bsh_store_reading",
		  "1 while this instance follows the list of targets in the "
		  "store itself.");
static bsh_counter_t reading_config_gauge =
	BSH_GAUGE("bsh_store_reading_configuration",
		  "1 while this instance follows the configuration in the "
		  "store itself.");

static void on_change(void *ctx)
{
	store_reading_t *reading = ctx;

	store_reading_tell(reading);
	if (reading->targets.reading)
		announcer_tell_targets(reading->control->announcer,
				       reading->changed);
	g_ptr_array_set_size(reading->changed, 0);
}

store_reading_t *store_reading_new(control_t *control)
{
	store_reading_t *reading = g_new0(store_reading_t, 1);
	int64_t drain_us =
		control->entry->settings.entry_drain_ms * INT64_C(1000);

	bsh_counter_register(&reading_gauge);
	bsh_counter_register(&reading_config_gauge);
	reading->control = control;
	bsh_store_reader_init(&reading->targets, BSH_STORE_TARGETS, drain_us);
	bsh_store_reader_init(&reading->config, BSH_STORE_CONFIGURATION,
			      drain_us);
	bsh_confirmation_init(&reading->confirmation);
	reading->changed = g_ptr_array_new_with_free_func(g_free);
	bsh_loop_timer_init(&reading->change_timer, control->loop, on_change,
			    reading);
	return reading;
}

void store_reading_free(store_reading_t *reading)
{
	bsh_loop_timer_stop(&reading->change_timer);
	g_ptr_array_free(reading->changed, TRUE);
	g_free(reading);
}

bool store_reading_active(const store_reading_t *reading)
{
	return reading->targets.reading;
}

int64_t store_reading_config_us(const store_reading_t *reading)
{
	return MAX(reading->confirmation.confirmed_us,
		   catalogs_complete_us(reading->control->catalogs));
}

void store_reading_adopted(store_reading_t *reading, uint64_t version)
{
	bsh_confirmation_adopted(&reading->confirmation, version);
}

void store_reading_tell_config(store_reading_t *reading)
{
	const control_t *control = reading->control;
	const bsh_catalog_t *catalog = catalogs_current(control->catalogs);
	int64_t complete_us = catalogs_complete_us(control->catalogs);
	int64_t age_us = bsh_loop_clock_us() - complete_us;
	bsh_message_t message = { .type = BSH_MSG_READER_CONFIG };

	if (!reading->config.reading || !reading->config.started ||
	    catalog == NULL || complete_us == 0)
		return;
	message.reader_config.version = catalog->version;
	message.reader_config.age_ms =
		(uint32_t)CLAMP(age_us / 1000, 0, UINT32_MAX);
	peers_broadcast(control->peers, &message);
}

/* True if this instance may vouch for the list of targets that it reads. */
static bool reads_for_others(const store_reading_t *reading)
{
	const control_t *control = reading->control;

	return reading->targets.reading && reading->targets.started &&
	       targets_is_synced(control->targets) &&
	       bsh_loop_clock_us() - targets_answered_us(control->targets) <
		       CONTACT_MAX_AGE_US;
}

void store_reading_tell(store_reading_t *reading)
{
	control_t *control = reading->control;
	g_autoptr(GArray) leaving = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_autoptr(GArray) missing = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	const bsh_catalog_t *catalog = catalogs_current(control->catalogs);
	int64_t age_us =
		bsh_loop_clock_us() - targets_answered_us(control->targets);
	bsh_message_t message = { .type = BSH_MSG_READER };
	bsh_msg_reader_t *told = &message.reader;

	if (!reads_for_others(reading))
		return;
	targets_collect_ended(control->targets, leaving, missing,
			      BSH_READER_TARGETS_MAX);
	/* A list that may not have all of them vouches for nothing. */
	if (leaving->len == BSH_READER_TARGETS_MAX ||
	    missing->len == BSH_READER_TARGETS_MAX)
		age_us = CONTACT_MAX_AGE_US;
	reading->told_us = control_now_us(control);
	told->revision = (uint64_t)control->store.epoch << PLATFORM_EPOCH_SHIFT;
	told->contact_age_ms = (uint32_t)CLAMP(age_us / 1000, 0, UINT32_MAX);
	told->config_version = catalog != NULL ? catalog->version : 0;
	told->leaving = (const uint8_t *)leaving->data;
	told->leaving_bytes = leaving->len * (uint32_t)sizeof(uint32_t);
	told->missing = (const uint8_t *)missing->data;
	told->missing_bytes = missing->len * (uint32_t)sizeof(uint32_t);
	peers_broadcast(control->peers, &message);
}

void store_reading_target_changed(store_reading_t *reading, const char *target)
{
	/* The holder announces the target. */
	if (orders_is_holder(reading->control->orders) ||
	    !reads_for_others(reading))
		return;
	for (guint i = 0; i < reading->changed->len; i++)
		if (strcmp(g_ptr_array_index(reading->changed, i), target) == 0)
			return;
	g_ptr_array_add(reading->changed, g_strdup(target));
	if (!bsh_loop_timer_is_running(&reading->change_timer))
		bsh_loop_timer_after(&reading->change_timer, CHANGE_DELAY_US);
}

void store_reading_note_holder_list(store_reading_t *reading, int64_t age_us)
{
	bsh_store_reader_note(&reading->targets, true,
			      control_now_us(reading->control) - age_us);
}

void store_reading_receive(store_reading_t *reading, const char *sender,
			   const bsh_msg_reader_t *message)
{
	control_t *control = reading->control;
	int64_t at_us = control_now_us(control) -
			message->contact_age_ms * INT64_C(1000);
	bool from_holder = strcmp(sender, orders_holder(control->orders)) == 0;

	platform_store_note_revision(&control->store, message->revision);
	catalog_exchange_note_version(control->catalog_exchange, sender,
				      message->config_version, 0);
	bsh_store_reader_note(&reading->targets, from_holder, at_us);
	if (targets_apply_reader(control->targets, message))
		reading->has_applied = true;
}

void store_reading_receive_config(store_reading_t *reading, const char *sender,
				  const bsh_msg_reader_config_t *message)
{
	control_t *control = reading->control;
	int64_t age_us = message->age_ms * INT64_C(1000);
	bool from_holder = strcmp(sender, orders_holder(control->orders)) == 0;

	catalog_exchange_note_version(control->catalog_exchange, sender,
				      message->version,
				      control_now_us(control) - age_us);
	bsh_confirmation_note(&reading->confirmation, message->version,
			      bsh_loop_clock_us() - age_us);
	bsh_store_reader_note(&reading->config, from_holder,
			      control_now_us(control) - age_us);
}

void store_reading_receive_targets(store_reading_t *reading,
				   const bsh_msg_reader_targets_t *message)
{
	if (targets_apply_reader_targets(reading->control->targets, message))
		reading->has_applied = true;
}

/* What a READER told has no number among the holder's announcements, and the
 * holder may not have seen it. */
static void request_list_if_applied(store_reading_t *reading)
{
	if (!reading->has_applied ||
	    !bsh_store_reader_holder_serves(&reading->targets,
					    control_now_us(reading->control)))
		return;
	reading->has_applied = false;
	orders_request_list(reading->control->orders);
}

void store_reading_note_base(store_reading_t *reading)
{
	reading->has_applied = false;
}

/* A time of the loop clock on that of control_now_us(); 0: never. */
static int64_t to_control_us(const control_t *control, int64_t loop_us)
{
	return loop_us > 0 ? control_now_us(control) -
				     (bsh_loop_clock_us() - loop_us)
			   : 0;
}

static void set_sources(store_reading_t *reading, uint32_t rank,
			uint32_t instances)
{
	control_t *control = reading->control;
	bool targets = reading->targets.reading;
	bool config = reading->config.reading;
	bool holder = orders_is_holder(control->orders);
	bool fails = targets_store_fails(control->targets);
	int64_t backoff_max_us =
		bsh_store_reader_backoff_max_us(rank, instances);

	targets_set_backoff_max(control->targets, backoff_max_us);
	catalogs_set_backoff_max(control->catalogs,
				 fails ? CONFIG_BACKOFF_FACTOR * backoff_max_us
				       : backoff_max_us);
	targets_set_wait(control->targets,
			 targets && !holder ? WATCH_WAIT_MS : 0);
	/* While the store does not answer, one kind of call shows when it does
	 * again.  The first reader makes both, the second one less often, as the
	 * store may fail to answer about targets alone. */
	catalogs_set_source(control->catalogs,
			    !reading->config.started ||
				    (config && (rank == 0 || !fails)));
	if (targets == reading->read_targets && config == reading->read_config)
		return;
	reading->read_targets = targets;
	reading->read_config = config;
	bsh_counter_set(&reading_gauge, targets);
	bsh_counter_set(&reading_config_gauge, config);
	bsh_log(BSH_LOG_INFO,
		"store-reading active=%d config=%d rank=%u instances=%u",
		targets, config, rank, instances);
}

void store_reading_tick(store_reading_t *reading)
{
	control_t *control = reading->control;
	int64_t now_us = control_now_us(control);
	uint32_t instances;
	bsh_store_reader_input_t input = {
		.holder = orders_is_holder(control->orders),
		.rank = peers_rank(control->peers, RANK_KEY, &instances),
	};

	input.own_us =
		to_control_us(control, targets_complete_us(control->targets));
	bsh_store_reader_decide(&reading->targets, &input, now_us);
	input.own_us =
		to_control_us(control, catalogs_complete_us(control->catalogs));
	bsh_store_reader_decide(&reading->config, &input, now_us);
	set_sources(reading, input.rank, instances);
	if (now_us - reading->told_us >=
	    (input.holder ? HOLDER_TELL_INTERVAL_US : TELL_INTERVAL_US))
		store_reading_tell(reading);
	if (!reading->targets.reading)
		request_list_if_applied(reading);
}
