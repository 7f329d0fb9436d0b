/* Creates the modules of the control thread and connects them: publishes views,
 * dispatches changes and messages, reloads settings, drains and stops. */
#include "control.h"

#include <string.h>
#include <sys/stat.h>
#include <time.h>

#include "base/log.h"

/* Interval at which the lease, the planners and the target list are run. */
#define TICK_INTERVAL_US INT64_C(50000)
/* Shortest time between relists of all kinds: a fault of the store that breaks
 * the watches of several kinds causes one relist. */
#define RELIST_INTERVAL_MIN_US INT64_C(500000)
/* Interval of checks of the settings file for changes made without a SIGHUP. */
#define SETTINGS_CHECK_INTERVAL_US INT64_C(1000000)
/* Interval of the log lines that count the calls to the store. */
#define STORE_CALLS_LOG_INTERVAL_US INT64_C(1000000)
/* Idle connections that this thread keeps to the store and the targets. */
#define IDLE_CONNECTIONS_MAX 32U
/* Callers cache an address for up to three times the TTL that they get. */
#define RESOLVE_TTL_FACTOR 3
/* Longest wait at the stop for the store to accept the release of the lease.
 * If it does not, the next holder only has to wait longer. */
#define RELEASE_TIMEOUT_US INT64_C(200000)
#define STOP_POLL_US	   INT64_C(5000)
/* Idle connections are closed at the latest this long before the end of the
 * grace time. */
#define DRAIN_MARGIN_US INT64_C(1000000)

/* CLOCK_BOOTTIME also advances while the machine is suspended, so that a lease
 * expires then too. */
int64_t control_now_us(const control_t *control)
{
	struct timespec now;

	(void)control;
	clock_gettime(CLOCK_BOOTTIME, &now);
	return now.tv_sec * INT64_C(1000000) + now.tv_nsec / 1000;
}

static void publish_freshness(control_t *control)
{
	freshness_t *freshness = &control->entry->freshness;

	/* Before the moments: the view with this version follows later. */
	__atomic_store_n(&freshness->config_version,
			 control->config_proof.version, __ATOMIC_RELAXED);
	__atomic_store_n(&freshness->config_us,
			 store_reading_config_us(control->store_reading),
			 __ATOMIC_RELEASE);
	__atomic_store_n(&freshness->targets_us,
			 targets_confirmed_us(control->targets),
			 __ATOMIC_RELAXED);
	__atomic_store_n(&freshness->config_proof_us,
			 bsh_config_proof_us(&control->config_proof.proof),
			 __ATOMIC_RELEASE);
}

static void publish_view(void *ctx)
{
	control_t *control = ctx;
	bsh_catalog_t *catalog = catalogs_current(control->catalogs);
	traffic_view_msg_t *message;

	if (catalog == NULL)
		return;
	/* The traffic thread judges the view by its age. */
	publish_freshness(control);
	message = g_new0(traffic_view_msg_t, 1);
	message->traffic = control->entry->traffic;
	message->view = view_new(catalog);
	message->built_us = bsh_loop_clock_us();
	message->view->instances = peers_instance_count(control->peers);
	message->view->replaced_us = peers_replaced_us(control->peers);
	message->view->listed = targets_listed(control->targets);
	message->view->cut = cut_peers_is_cut(
		control->cut_peers, control->entry->settings.instance);
	if (message->view->cut)
		peers_choose_relays(control->peers, message->view->peers);
	targets_fill(control->targets, message->view);
	versions_fill(control->versions, message->view);
	orders_fill(control->orders, message->view);
	bsh_loop_post(&control->entry->traffic_loop, traffic_set_view, message);
}

void control_schedule_view(control_t *control)
{
	bsh_loop_task_schedule(&control->view_task);
}

static void update_account_keeper(control_t *control)
{
	const bsh_catalog_t *catalog = catalogs_current(control->catalogs);
	const bsh_settings_t *settings = &control->entry->settings;
	account_tolerance_t tolerance = {
		.overage = settings->accounts_limit_overage,
		.slack = settings->accounts_limit_slack,
		.window_us = (int64_t)(settings->accounts_limit_window_s * 1e6),
	};

	account_keeper_update(&control->account_keeper,
			      catalog != NULL ? catalog->accounts : NULL,
			      &tolerance, orders_is_holder(control->orders),
			      control_now_us(control));
}

void control_catalog_changed(control_t *control, bsh_catalog_t *catalog)
{
	orders_set_catalog(control->orders, catalog);
	peers_set_version(control->peers, catalog->version);
	catalog_exchange_adopted(control->catalog_exchange, catalog->version);
	store_reading_adopted(control->store_reading, catalog->version);
	config_proof_adopted(&control->config_proof, catalog->version);
	update_account_keeper(control);
	control_schedule_view(control);
}

void control_target_changed(control_t *control, const bsh_target_t *target)
{
	orders_update_target(control->orders, target);
	announcer_queue_target(control->announcer, target->id);
	control_schedule_view(control);
}

void control_target_copies_changed(control_t *control,
				   const bsh_target_t *target)
{
	orders_update_target(control->orders, target);
	control_schedule_view(control);
}

void control_target_state_changed(control_t *control, const char *id)
{
	store_reading_target_changed(control->store_reading, id);
}

void control_target_missing(control_t *control, const char *id)
{
	store_reading_target_changed(control->store_reading, id);
	announcer_queue_target(control->announcer, id);
	control_schedule_view(control);
}

void control_target_gone(control_t *control, const char *id)
{
	orders_remove_target(control->orders, id);
	announcer_queue_target(control->announcer, id);
	control_schedule_view(control);
}

static void relist_all(control_t *control)
{
	control->relisted_us = control_now_us(control);
	catalogs_relist(control->catalogs);
	targets_relist(control->targets);
	peers_relist(control->peers);
}

void control_relist(control_t *control)
{
	int64_t now_us = control_now_us(control);

	if (now_us - control->relisted_us < RELIST_INTERVAL_MIN_US)
		return;
	relist_all(control);
}

void control_peer_message(control_t *control, const bsh_message_t *message)
{
	if (message->type == BSH_MSG_DEMAND) {
		orders_receive_demand(control->orders, message->sender,
				      &message->demand);
		announcer_catch_up(control->announcer, message->sender,
				   message->demand.term,
				   message->demand.received_through);
	} else if (message->type == BSH_MSG_PLACEMENT) {
		/* The pending watches of this instance may not show for long
		 * that the store was restored. */
		platform_store_note_revision(&control->store,
					     message->placement.revision);
		orders_receive_placement(control->orders, message->sender,
					 &message->placement);
	} else if (message->type == BSH_MSG_RELEASE) {
		orders_receive_release(control->orders, message->sender,
				       &message->release);
	} else if (message->type == BSH_MSG_RELEASE_KEYS) {
		orders_receive_release_keys(control->orders, message->sender,
					    &message->release_keys);
	} else if (message->type >= BSH_MSG_ORDER_LOG &&
		   message->type <= BSH_MSG_ORDER_LOG_LIST) {
		logged_orders_receive(control->orders, message->sender,
				      message);
	} else if (message->type == BSH_MSG_LOAD) {
		loads_receive(control->loads, message->sender, &message->load);
	} else if (message->type == BSH_MSG_UNREACHABLE) {
		loads_receive_refused(control->loads, &message->unreachable);
	} else if (message->type == BSH_MSG_STREAM_RECORDS) {
		streams_receive_records(control->streams, message);
	} else if (message->type == BSH_MSG_STREAM_QUERY) {
		streams_receive_query(control->streams, message->sender,
				      &message->stream_query);
	} else if (message->type == BSH_MSG_STREAM_ANSWER) {
		streams_receive_answer(control->streams,
				       &message->stream_answer);
	} else if (message->type == BSH_MSG_VERSIONS_QUERY) {
		versions_receive_query(control->versions, message->sender,
				       &message->versions_query);
	} else if (message->type == BSH_MSG_VERSIONS_ANSWER) {
		versions_receive_answer(control->versions, message->sender,
					&message->versions_answer);
	} else if (message->type == BSH_MSG_SUSPECT_FACTS) {
		quarantine_receive(control->quarantine, message->sender,
				   &message->suspect_facts);
	} else if (message->type == BSH_MSG_REACH) {
		cut_peers_receive(control->cut_peers, message->sender,
				  &message->reach);
	} else if (message->type == BSH_MSG_TARGET_LIMITS) {
		limit_shares_receive(control->limit_shares, message->sender,
				     &message->target_limits);
	} else if (message->type == BSH_MSG_PLACE_NEEDS) {
		place_keeper_receive_needs(
			control->place_keeper, message->sender,
			message->incarnation, &message->place_needs);
	} else if (message->type == BSH_MSG_PLACE_GRANTS) {
		place_keeper_receive_grants(control->place_keeper,
					    message->sender,
					    &message->place_grants);
	} else if (message->type == BSH_MSG_READER) {
		store_reading_receive(control->store_reading, message->sender,
				      &message->reader);
	} else if (message->type == BSH_MSG_READER_CONFIG) {
		store_reading_receive_config(control->store_reading,
					     message->sender,
					     &message->reader_config);
		config_proof_note_reader(&control->config_proof,
					 message->sender);
	} else if (message->type == BSH_MSG_ACCOUNT_USE) {
		account_keeper_receive_use(
			&control->account_keeper, message->sender,
			message->incarnation, &message->account_use,
			peers_instance_count(control->peers),
			control_now_us(control));
	} else if (message->type == BSH_MSG_ACCOUNT_SHARES) {
		account_keeper_receive_shares(&control->account_keeper,
					      &message->account_shares,
					      control_now_us(control));
	} else if (message->type == BSH_MSG_CONFIG_QUERY) {
		config_proof_receive_query(
			&control->config_proof, message->sender,
			&message->config_query, control_now_us(control));
	} else if (message->type == BSH_MSG_CONFIG_ANSWER) {
		config_proof_receive_answer(
			&control->config_proof, message->sender,
			&message->config_answer, control_now_us(control));
	} else if (message->type == BSH_MSG_READER_TARGETS) {
		store_reading_receive_targets(control->store_reading,
					      &message->reader_targets);
	} else if (message->type == BSH_MSG_DOCUMENT_QUERY) {
		catalog_exchange_receive_query(control->catalog_exchange,
					       message->sender,
					       &message->document_query);
	} else if (message->type == BSH_MSG_DOCUMENT_PART) {
		catalog_exchange_receive_part(control->catalog_exchange,
					      &message->document_part);
	} else if (message->type == BSH_MSG_INVENTORY) {
		if (strcmp(message->sender, orders_holder(control->orders)) ==
		    0)
			inventory_receive(control->inventory,
					  &message->inventory);
	} else if (message->type == BSH_MSG_TERM_BASE) {
		orders_receive_term_base(control->orders, message->sender,
					 &message->term_base);
	}
}

void control_demand(void *data)
{
	control_demand_msg_t *demand = data;

	orders_send_demand(demand->control->orders, demand->entries);
	if (demand->loads != NULL) {
		loads_report(demand->control->loads, demand->loads);
		g_array_free(demand->loads, TRUE);
	}
	if (demand->refused != NULL) {
		loads_report_refused(demand->control->loads, demand->refused);
		g_array_free(demand->refused, TRUE);
	}
	g_array_free(demand->entries, TRUE);
	g_free(demand);
}

void control_stream_records(void *data)
{
	control_stream_records_msg_t *message = data;

	streams_record(message->control->streams, message->records);
	g_array_free(message->records, TRUE);
	g_free(message);
}

void control_stream_query(void *data)
{
	control_stream_query_msg_t *message = data;

	streams_query(message->control->streams, message->stream,
		      message->service);
	g_free(message);
}

void control_suspect_facts(void *data)
{
	control_suspect_facts_msg_t *message = data;

	quarantine_record(message->control->quarantine, message->facts);
	g_array_free(message->facts, TRUE);
	g_free(message);
}

void control_reach(void *data)
{
	control_reach_msg_t *message = data;

	cut_peers_set_self(message->control->cut_peers, message->cut);
	control_schedule_view(message->control);
	g_free(message);
}

void control_limits(void *data)
{
	control_limits_msg_t *message = data;

	limit_shares_record(message->control->limit_shares, message->entries);
	g_array_free(message->entries, TRUE);
	g_free(message);
}

void control_account_use(void *data)
{
	control_account_use_msg_t *message = data;
	control_t *control = message->control;
	account_parties_t parties = {
		.self = control->entry->settings.instance,
		.incarnation = control->entry->incarnation,
		.holder = orders_holder(control->orders),
		.instances = peers_instance_count(control->peers),
	};

	/* The order lease may have been taken or lost. */
	if (orders_is_holder(control->orders) !=
	    (control->account_keeper.ledger != NULL))
		update_account_keeper(control);
	account_keeper_report(
		&control->account_keeper, &parties,
		&g_array_index(message->uses, const bsh_account_use_t, 0),
		message->uses->len, control_now_us(control));
	g_array_free(message->uses, TRUE);
	g_free(message);
}

void control_ask_places(void *data)
{
	control_places_msg_t *message = data;

	place_keeper_ask(message->control->place_keeper, message->asks);
	g_array_free(message->asks, TRUE);
	g_free(message);
}

static int64_t read_settings_mtime_ns(const control_t *control)
{
	struct stat info;

	if (stat(control->entry->settings_path, &info) != 0)
		return 0;
	return info.st_mtim.tv_sec * INT64_C(1000000000) + info.st_mtim.tv_nsec;
}

/* Copies the settings that take effect without a restart. */
static void apply_settings(bsh_settings_t *current,
			   const bsh_settings_t *settings)
{
	current->entry_resolve_keep_s = settings->entry_resolve_keep_s;
	current->entry_grace_s = settings->entry_grace_s;
	current->entry_drain_ms = settings->entry_drain_ms;
	g_strlcpy(current->log_level, settings->log_level,
		  sizeof(current->log_level));
	current->log_lines_per_s = settings->log_lines_per_s;
	bsh_log_init("bshentryd",
		     (bsh_log_level_t)bsh_log_level_parse(settings->log_level));
	bsh_log_set_rate_limit(settings->log_lines_per_s);
}

static bool needs_restart(const bsh_settings_t *a, const bsh_settings_t *b)
{
	return strcmp(a->instance, b->instance) != 0 ||
	       strcmp(a->zone, b->zone) != 0 ||
	       strcmp(a->store_address, b->store_address) != 0 ||
	       strcmp(a->router_listen, b->router_listen) != 0 ||
	       strcmp(a->control_listen, b->control_listen) != 0 ||
	       strcmp(a->control_gossip, b->control_gossip) != 0 ||
	       strcmp(a->entry_ready, b->entry_ready) != 0;
}

void control_reload(control_t *control, const char *reason)
{
	g_autoptr(GString) problems = g_string_new(NULL);
	bsh_settings_t settings;

	control->settings_mtime_ns = read_settings_mtime_ns(control);
	if (bsh_settings_load(&settings, control->entry->settings_path,
			      problems) != BSH_OK) {
		g_strdelimit(problems->str, "\n", ' ');
		bsh_log(BSH_LOG_ERROR,
			"reload-refused reason=%s problems=\"%s\"", reason,
			problems->str);
		return;
	}
	bsh_log(BSH_LOG_INFO, "reload reason=%s needs_restart=%d", reason,
		needs_restart(&settings, &control->entry->settings));
	apply_settings(&control->entry->settings, &settings);
}

static void reload_changed_settings(void *ctx)
{
	control_t *control = ctx;
	int64_t mtime_ns = read_settings_mtime_ns(control);

	if (mtime_ns != 0 && mtime_ns != control->settings_mtime_ns)
		control_reload(control, "file-changed");
}

static void send_to_instance(void *ctx, const char *instance,
			     const bsh_message_t *message)
{
	const control_t *control = ctx;

	peers_send(control->peers, instance, message);
}

static const char *choose_any_instance(void *ctx)
{
	const control_t *control = ctx;

	return peers_any(control->peers);
}

static void note_version(void *ctx, const char *instance, uint64_t version)
{
	const control_t *control = ctx;

	catalog_exchange_note_version(control->catalog_exchange, instance,
				      version, 0);
}

/* Only where keys of client accounts can be removed at short notice does an
 * instance have to know that its configuration is the newest. */
static void prove_configuration(control_t *control)
{
	const bsh_catalog_t *catalog = catalogs_current(control->catalogs);

	if (control->entry->settings.accounts_revoke_ms > 0 &&
	    catalog != NULL && catalog->accounts != NULL)
		config_proof_tick(&control->config_proof,
				  peers_instance_count(control->peers),
				  control_now_us(control));
}

static void tell_account_shares(void *ctx,
				const bsh_account_fraction_t *fractions,
				uint32_t n, int64_t asked_us)
{
	const control_t *control = ctx;
	traffic_account_shares_msg_t *message =
		g_new0(traffic_account_shares_msg_t, 1);

	message->traffic = control->entry->traffic;
	message->asked_us = asked_us;
	message->fractions =
		g_array_new(FALSE, FALSE, sizeof(bsh_account_fraction_t));
	g_array_append_vals(message->fractions, fractions, n);
	bsh_loop_post(&control->entry->traffic_loop, traffic_set_account_shares,
		      message);
}

static void init_account_keeper(control_t *control)
{
	const account_keeper_ops_t ops = {
		.send = send_to_instance,
		.told = tell_account_shares,
		.ctx = control,
	};

	account_keeper_register();
	account_keeper_init(&control->account_keeper, &ops);
}

static void init_config_proof(control_t *control)
{
	const config_proof_ops_t ops = {
		.send = send_to_instance,
		.any_instance = choose_any_instance,
		.note_version = note_version,
		.ctx = control,
	};

	config_proof_init(&control->config_proof, &ops);
}

static void on_tick(void *ctx)
{
	control_t *control = ctx;
	static uint32_t ticks;

	targets_tick(control->targets);
	store_reading_tick(control->store_reading);
	orders_tick(control->orders);
	loads_tick(control->loads);
	versions_tick(control->versions);
	streams_tick(control->streams);
	quarantine_tick(control->quarantine);
	limit_shares_tick(control->limit_shares);
	place_keeper_tick(control->place_keeper);
	cut_peers_tick(control->cut_peers);
	prove_configuration(control);
	publish_freshness(control);
	if (ticks % (STORE_CALLS_LOG_INTERVAL_US / TICK_INTERVAL_US) == 0)
		platform_store_log_calls(&control->store);
	if (++ticks % (SETTINGS_CHECK_INTERVAL_US / TICK_INTERVAL_US) == 0)
		reload_changed_settings(control);
	bsh_loop_timer_after(&control->tick_timer, TICK_INTERVAL_US);
}

static void stop_when_released(void *ctx)
{
	control_t *control = ctx;

	if (!orders_is_holder(control->orders) ||
	    control_now_us(control) >= control->stop_deadline_us)
		bsh_loop_stop(control->loop);
	else
		bsh_loop_timer_after(&control->stop_timer, STOP_POLL_US);
}

void control_traffic_ended(void *data)
{
	control_t *control = data;

	orders_release_lease(control->orders);
	control->stop_deadline_us =
		control_now_us(control) + RELEASE_TIMEOUT_US;
	stop_when_released(control);
}

static void on_drain_timer(void *ctx)
{
	control_t *control = ctx;

	/* The lease is kept until now: its next holder has to wait for a lease
	 * time, and may be the next instance to be stopped. */
	orders_release_lease(control->orders);
	bsh_loop_post(&control->entry->traffic_loop, traffic_quit,
		      control->entry->traffic);
}

void control_drain(control_t *control, uint32_t signal_number)
{
	const bsh_settings_t *s = &control->entry->settings;
	int64_t ttl_us = (RESOLVE_TTL_FACTOR * s->entry_resolve_keep_s + 1) *
			 INT64_C(1000000);
	int64_t grace_us = (int64_t)(s->entry_grace_s * 1e6) - DRAIN_MARGIN_US;

	if (control->draining)
		return;
	control->draining = true;
	bsh_log(BSH_LOG_INFO, "drain-begin signal=%u", signal_number);
	peers_leave(control->peers);
	bsh_loop_post(&control->entry->traffic_loop, traffic_drain,
		      control->entry->traffic);
	bsh_loop_timer_after(&control->drain_timer,
			     MAX(MIN(ttl_us, grace_us), 0));
}

/* The store was restored from an older copy.  The lease ends with its next
 * update: the store knows no revision of it. */
static void on_store_restored(void *ctx, uint32_t before)
{
	control_t *control = ctx;

	bsh_log(BSH_LOG_WARNING, "store-restored epoch=%u before=%u dropped=%s",
		control->store.epoch, before,
		orders_is_holder(control->orders) ? "watches,registration,lease"
						  : "watches,registration");
	targets_store_restored(control->targets);
	peers_store_restored(control->peers);
	quarantine_store_was_restored(control->quarantine);
	streams_store_was_restored(control->streams);
	relist_all(control);
}

static void init_client(control_t *control)
{
	control->client =
		bsh_http_client_new(control->loop, IDLE_CONNECTIONS_MAX);
	platform_store_init(&control->store, control->client, control->loop,
			    control->entry->settings.store_address,
			    on_store_restored, control);
}

bsh_error_t control_start(entry_t *entry)
{
	control_t *control = g_new0(control_t, 1);
	bsh_error_t err;

	entry->control = control;
	control->entry = entry;
	control->loop = &entry->control_loop;
	control->settings_mtime_ns = read_settings_mtime_ns(control);
	bsh_loop_timer_init(&control->tick_timer, control->loop, on_tick,
			    control);
	bsh_loop_timer_init(&control->drain_timer, control->loop,
			    on_drain_timer, control);
	bsh_loop_timer_init(&control->stop_timer, control->loop,
			    stop_when_released, control);
	bsh_loop_task_init(&control->view_task, control->loop, publish_view,
			   control);
	init_client(control);
	if (control->client == NULL)
		return BSH_ERR_SYSTEM;
	init_config_proof(control);
	init_account_keeper(control);
	control->catalogs = catalogs_new(control);
	control->targets = targets_new(control);
	/* The first instances may appear in peers_new(). */
	control->versions = versions_new(control);
	control->streams = streams_new(control);
	control->peers = peers_new(control);
	control->announcer = announcer_new(control);
	control->orders = orders_new(control);
	control->loads = loads_new(control);
	control->inventory = inventory_new(control);
	control->quarantine = quarantine_new(control);
	control->limit_shares = limit_shares_new(control);
	control->cut_peers = cut_peers_new(control);
	control->place_keeper = place_keeper_new(control);
	control->catalog_exchange = catalog_exchange_new(control);
	control->store_reading = store_reading_new(control);
	control->directory = directory_new(control);
	err = directory_start(control->directory);
	if (err == BSH_OK)
		err = peers_start(control->peers);
	if (err != BSH_OK)
		return err;
	catalogs_start(control->catalogs);
	targets_start(control->targets);
	bsh_loop_timer_after(&control->tick_timer, 0);
	return BSH_OK;
}

void control_stop(control_t *control)
{
	bsh_loop_timer_stop(&control->tick_timer);
	bsh_loop_timer_stop(&control->drain_timer);
	bsh_loop_timer_stop(&control->stop_timer);
	bsh_loop_task_cancel(&control->view_task);
	directory_free(control->directory);
	store_reading_free(control->store_reading);
	catalog_exchange_free(control->catalog_exchange);
	place_keeper_free(control->place_keeper);
	cut_peers_free(control->cut_peers);
	limit_shares_free(control->limit_shares);
	quarantine_free(control->quarantine);
	streams_free(control->streams);
	versions_free(control->versions);
	inventory_free(control->inventory);
	loads_free(control->loads);
	account_keeper_finish(&control->account_keeper);
	orders_free(control->orders);
	announcer_free(control->announcer);
	targets_free(control->targets);
	catalogs_free(control->catalogs);
	peers_free(control->peers);
	bsh_http_client_free(control->client);
	g_free(control);
}
