#ifndef BSHENTRYD_CONTROL_H
#define BSHENTRYD_CONTROL_H

/*
 * NAME
 *	control - modules of the control thread of bshentryd
 *
 * DESCRIPTION
 *	control_t owns one object of each module below.  A module reports
 *	changes through the control_*() functions; control.c passes them on to
 *	the other modules.
 *
 *	All functions run on the control thread.
 *
 * UNITS
 *	Names ending in _us are microseconds of CLOCK_BOOTTIME
 *	(control_now_us()), unless a comment names the loop clock: that is
 *	CLOCK_MONOTONIC (bsh_loop_clock_us()).
 */

#include "coordination/announced.h"
#include "coordination/entry_choice.h"
#include "coordination/lease.h"
#include "coordination/member.h"
#include "account_keeper.h"
#include "config_proof.h"
#include "coordination/planner.h"
#include "entry.h"
#include "feed.h"
#include "platform/store.h"
#include "protocol/datagram.h"

typedef struct catalogs catalogs_t;
typedef struct targets targets_t;
typedef struct peers peers_t;
typedef struct orders orders_t;
typedef struct loads loads_t;
typedef struct inventory inventory_t;
typedef struct announcer announcer_t;
typedef struct directory directory_t;
typedef struct streams streams_t;
typedef struct versions versions_t;
typedef struct quarantine quarantine_t;
typedef struct limit_shares limit_shares_t;
typedef struct cut_peers cut_peers_t;
typedef struct place_keeper place_keeper_t;
typedef struct catalog_exchange catalog_exchange_t;
typedef struct store_reading store_reading_t;

struct control {
	entry_t *entry;
	bsh_loop_t *loop;
	bsh_http_client_t *client;
	platform_store_t store;
	catalogs_t *catalogs;
	targets_t *targets;
	peers_t *peers;
	orders_t *orders;
	loads_t *loads;
	inventory_t *inventory;
	announcer_t *announcer;
	directory_t *directory;
	streams_t *streams;
	versions_t *versions;
	quarantine_t *quarantine;
	limit_shares_t *limit_shares;
	cut_peers_t *cut_peers;
	place_keeper_t *place_keeper;
	catalog_exchange_t *catalog_exchange;
	store_reading_t *store_reading;
	config_proof_t config_proof;
	account_keeper_t account_keeper;
	bsh_loop_timer_t tick_timer;
	bsh_loop_timer_t drain_timer;
	bsh_loop_timer_t stop_timer;
	int64_t stop_deadline_us; /* latest end of the control loop */
	bsh_loop_task_t view_task;
	bool draining;
	int64_t relisted_us;	   /* last relist of all kinds */
	int64_t settings_mtime_ns; /* of the settings file; 0: not readable */
};

/* control_now_us - CLOCK_BOOTTIME, which also advances during suspend. */
int64_t control_now_us(const control_t *control);

/* control_schedule_view - build a new view for the traffic thread in this turn
 * of the loop; several calls build one view. */
void control_schedule_view(control_t *control);
/* control_catalog_changed - another configuration is in force. */
void control_catalog_changed(control_t *control, bsh_catalog_t *catalog);
/* control_target_changed - a target is new, or its object has changed. */
void control_target_changed(control_t *control, const bsh_target_t *target);
/* control_target_copies_changed - only its copies of models have changed, which
 * are not announced: only the instance that orders loads needs them. */
void control_target_copies_changed(control_t *control,
				   const bsh_target_t *target);
/* control_target_state_changed - besides, a target is new, has started again or
 * is leaving. */
void control_target_state_changed(control_t *control, const char *id);
/* control_target_missing - a target's object has vanished from the store; the
 * target is kept for a grace period. */
void control_target_missing(control_t *control, const char *id);
/* control_target_gone - a target has been removed from the list. */
void control_target_gone(control_t *control, const char *id);
/* control_relist - list all kinds again, as watches may have missed changes.
 * Further calls within a short time do nothing. */
void control_relist(control_t *control);
/* control_peer_message - handle a message from another instance, of any type
 * but MEMBER. */
void control_peer_message(control_t *control, const bsh_message_t *message);

/* catalogs.c: the configuration in force. */
catalogs_t *catalogs_new(control_t *control);
void catalogs_start(catalogs_t *catalogs);
void catalogs_relist(catalogs_t *catalogs);
void catalogs_free(catalogs_t *catalogs);
/* NULL before the first configuration has been read. */
bsh_catalog_t *catalogs_current(const catalogs_t *catalogs);
/* Time for which the store has shown no newer configuration than the one in force,
 * loop clock; 0: never, or what it has cannot be read. */
int64_t catalogs_complete_us(const catalogs_t *catalogs);
/* Reads the configuration from the store once, also while other instances are
 * the source. */
void catalogs_read_once(catalogs_t *catalogs);
/* Selects whether this instance follows the configuration in the store. */
void catalogs_set_source(catalogs_t *catalogs, bool from_store);
void catalogs_set_backoff_max(catalogs_t *catalogs, int64_t backoff_max_us);
/* The configuration to send to an instance that has known in force and parts of
 * partial, as catalogs_adopt_packed() takes it, and its version; NULL: none is
 * newer, or it is too large. */
GBytes *catalogs_packed(const catalogs_t *catalogs, uint64_t known,
			uint64_t partial, uint64_t *version);
/* Adopts the configuration of another instance if it is newer.  False if it
 * cannot be read. */
bool catalogs_adopt_packed(catalogs_t *catalogs, GBytes *packed);

/* catalog_exchange.c: configurations from and to other instances. */
catalog_exchange_t *catalog_exchange_new(control_t *control);
void catalog_exchange_free(catalog_exchange_t *exchange);
/* Tells all instances of a version that this one has read from the store. */
void catalog_exchange_tell(catalog_exchange_t *exchange);
/* Notes that the configuration in force has changed. */
void catalog_exchange_adopted(catalog_exchange_t *exchange, uint64_t version);
/* Notes that the store has nothing above what is in force, by a read that began
 * this long ago. */
void catalog_exchange_store_read(catalog_exchange_t *exchange, int64_t age_us);
/* Notes the version that an instance reports to have in force, and for which
 * moment it vouches for it, on the clock of control_now_us(); 0: for none. */
void catalog_exchange_note_version(catalog_exchange_t *exchange,
				   const char *instance, uint64_t version,
				   int64_t confirmed_us);
/* Time since an instance told of the newer version that is being fetched; -1:
 * none is. */
int64_t catalog_exchange_told_us(const catalog_exchange_t *exchange);
/* Handle DOCUMENT_QUERY and DOCUMENT_PART. */
void catalog_exchange_receive_query(catalog_exchange_t *exchange,
				    const char *sender,
				    const bsh_msg_document_query_t *query);
void catalog_exchange_receive_part(catalog_exchange_t *exchange,
				   const bsh_msg_document_part_t *part);

/* store_reading.c: whether this instance reads the store, for all. */
store_reading_t *store_reading_new(control_t *control);
void store_reading_free(store_reading_t *reading);
void store_reading_tick(store_reading_t *reading);
/* True if the list of targets is read from the store. */
bool store_reading_active(const store_reading_t *reading);
/* Notes that the lease holder's list was complete this long ago. */
void store_reading_note_holder_list(store_reading_t *reading, int64_t age_us);
/* Tells the other instances soon of a target that is new, has started again or
 * must get no new work. */
void store_reading_target_changed(store_reading_t *reading, const char *target);
/* Last time at which the store, or an instance that reads it, confirmed that the
 * configuration in force here is the newest, loop clock; 0: never. */
int64_t store_reading_config_us(const store_reading_t *reading);
/* Sends READER_CONFIG now, if this instance reads the configuration. */
void store_reading_tell_config(store_reading_t *reading);
/* A configuration is in force. */
void store_reading_adopted(store_reading_t *reading, uint64_t version);
/* Sends READER now. */
void store_reading_tell(store_reading_t *reading);
void store_reading_receive_config(store_reading_t *reading, const char *sender,
				  const bsh_msg_reader_config_t *message);
/* Handle READER and READER_TARGETS. */
void store_reading_receive(store_reading_t *reading, const char *sender,
			   const bsh_msg_reader_t *message);
void store_reading_receive_targets(store_reading_t *reading,
				   const bsh_msg_reader_targets_t *message);
/* The holder of the lease announces what its list has beyond its base, so what
 * a READER told is no reason to request the whole list. */
void store_reading_note_base(store_reading_t *reading);

/* targets.c: the list of targets and their holdings. */
targets_t *targets_new(control_t *control);
void targets_start(targets_t *targets);
void targets_relist(targets_t *targets);
void targets_free(targets_t *targets);
/* Notes that the store was restored from an older copy, in which the objects of
 * targets may be missing until they are written again. */
void targets_store_restored(targets_t *targets);
/* True once the list has been read from the store. */
bool targets_listed(const targets_t *targets);
/* Applies one entry of an announcement that the lease holder sent in `term`.
 * contact_age_us: since the store answered the holder; a target that was found
 * to have ended later than that stays so. */
void targets_apply_announcement(targets_t *targets,
				const bsh_placement_entry_t *entry,
				uint64_t term, int64_t contact_age_us);
/* True if the announcements of the lease holder are the source of the list: the
 * own watch is paused, or the store does not answer it. */
bool targets_follow_holder(const targets_t *targets);
/* Compares the targets with a complete list by the lease holder, of their keys
 * and last changes in its term, and drops those that it does not name.  False if
 * the state of a named target since its last change was not received. */
bool targets_apply_inventory(targets_t *targets, GHashTable *changes,
			     uint64_t term);
/* Applies the keys of targets that another instance, which reads the store, has
 * found leaving or missing; true if any was not known. */
bool targets_apply_reader(targets_t *targets, const bsh_msg_reader_t *message);
/* Adds the targets that another instance has found new, or started again, in the
 * store; true if any was not known. */
bool targets_apply_reader_targets(targets_t *targets,
				  const bsh_msg_reader_targets_t *message);
/* Appends the keys of the targets that are leaving, and of those whose entry is
 * missing, big-endian, as long as each list has fewer than max. */
void targets_collect_ended(const targets_t *targets, GArray *leaving,
			   GArray *missing, guint max);
/* Time of the last answer of the store to this instance's reading of the list,
 * loop clock; 0: none. */
int64_t targets_answered_us(const targets_t *targets);
/* Time for which the own list from the store was complete, loop clock; 0: never. */
int64_t targets_complete_us(const targets_t *targets);
void targets_set_backoff_max(targets_t *targets, int64_t backoff_max_us);
/* Lets the watches of this instance be answered at least this often; 0: as
 * usual. */
void targets_set_wait(targets_t *targets, uint32_t wait_ms);
/* True if the list has been read from the store since it became the source, and
 * the store answers. */
bool targets_are_current(const targets_t *targets);
/* Selects the source of updates: this instance's own watch on the store, or the
 * announcements of the lease holder. */
void targets_set_source(targets_t *targets, bool from_store);
/* Notes that all announcements of a lease holder have been applied, and the age
 * of the holder's contact with the store by its message. */
void targets_note_announced(targets_t *targets, int64_t contact_age_us);
/* True while the list is read from the store directly, and the last call to it
 * has failed. */
bool targets_store_fails(const targets_t *targets);
/* True while the list is read from the store directly and the store answers. */
bool targets_is_synced(const targets_t *targets);
/* Time by which the store should have answered the current watch on the list,
 * loop clock. */
int64_t targets_watch_due_us(const targets_t *targets);
/* Last time at which the store confirmed the list, to this instance or to the
 * lease holder that announces it; loop clock. */
int64_t targets_confirmed_us(const targets_t *targets);
/* Revision of the store up to which the table includes all changes; 0: the list is
 * not followed in the store. */
uint64_t targets_revision(const targets_t *targets);
/* Longest time between two such times while the list is followed. */
int64_t targets_confirm_interval_us(const targets_t *targets);
/* True while the target's object is missing from the store and the target is
 * kept; *grace_ms is then what is left of its grace period. */
bool targets_is_missing(const targets_t *targets, const char *id,
			uint32_t *grace_ms);
/* NULL: not listed. */
const bsh_target_t *targets_find(const targets_t *targets, const char *id);
/* Adds all targets that are not leaving to a view. */
void targets_fill(targets_t *targets, view_t *view);
/* Removes targets whose grace period is over, and drops outdated holdings. */
void targets_tick(targets_t *targets);
void targets_foreach(const targets_t *targets,
		     void (*fn)(void *ctx, const bsh_target_t *target),
		     void *ctx);

/* peers.c: membership, and messages between instances. */
peers_t *peers_new(control_t *control);
bsh_error_t peers_start(peers_t *peers);
void peers_relist(peers_t *peers);
void peers_free(peers_t *peers);
/* Gossips that this instance is leaving and deletes its object in the store. */
void peers_leave(peers_t *peers);
/* Writes or deletes the object of this instance again: the store was restored
 * from an older copy. */
void peers_store_restored(peers_t *peers);
/* Gossips the version of the configuration in force here. */
void peers_set_version(peers_t *peers, uint64_t version);
/* Number of instances that may be running: the larger of those alive by gossip
 * and those registered in the store, but at least three.  A failed instance
 * still counts while it is registered. */
uint32_t peers_instance_count(const peers_t *peers);
/* Start of this process if the store lists an earlier process of this instance,
 * by the clock of bsh_loop_clock_us(); 0: it does not. */
int64_t peers_replaced_us(const peers_t *peers);
typedef void (*peers_name_fn_t)(void *ctx, const char *name);
/* Calls fn for each instance that may be running: this one, those alive or
 * suspected, and those registered in the store; some are named twice. */
void peers_foreach_known(const peers_t *peers, peers_name_fn_t fn, void *ctx);
/* True if an instance with a larger CPU share, by the store, is alive. */
bool peers_has_larger(const peers_t *peers);
/* Sends one datagram, without acknowledgement; drops it if the instance's
 * address is not known. */
void peers_send(peers_t *peers, const char *instance,
		const bsh_message_t *message);
/* True once the instances have been read from the store. */
bool peers_listed(const peers_t *peers);
const bsh_members_t *peers_members(const peers_t *peers);
/* Name of this instance. */
const char *peers_self(const peers_t *peers);
/* True once this instance drains. */
bool peers_is_leaving(const peers_t *peers);
/* Sends to all other instances that are alive or suspected. */
void peers_broadcast(peers_t *peers, const bsh_message_t *message);
/* peers_choose_relays - append instances that reach targets, the nearest first,
 * to an array of bsh_relay_peer_t. */
void peers_choose_relays(const peers_t *peers, GArray *relays);
/* Collects the addresses of instances that accept requests, for callers. */
void peers_choose_entries(const peers_t *peers, bsh_entry_choice_t *choice);

/* peers_rank.c: choice of instances by rendezvous hashing.  All instances choose the
 * same ones for a key, as far as they know the same ones. */
/* Instances that keep the record of a stream, beside the one that forwards it. */
#define PEERS_KEEPERS 3U
typedef struct {
	char name[BSH_NAME_SIZE];
	uint64_t process; /* by peers_process_key() */
} peers_keeper_t;
/* Chooses the other instances that keep the record of a stream; returns their
 * number. */
uint32_t peers_choose_keepers(const peers_t *peers, uint64_t stream,
			      peers_keeper_t keepers[PEERS_KEEPERS]);
/* Hash of a process of an instance; each start is another one. */
uint64_t peers_process_key(const char *name, uint64_t incarnation);
/* Name of the instance at a rank by rendezvous hashing of a key, among those
 * alive, as peers_rank() counts; NULL: there is none. */
const char *peers_at_rank(const peers_t *peers, uint64_t key, uint32_t at);
/* Name of another instance that is alive, drawn at random; NULL: there is none. */
const char *peers_any(const peers_t *peers);
/* Rank of this instance among those alive by rendezvous hashing of a key, 0: the
 * first; *n is their number. */
uint32_t peers_rank(const peers_t *peers, uint64_t key, uint32_t *n);
/* The instance that rendezvous hashing of a key ranks first, of those that are
 * alive and not leaving, this one included; names in left_out, if it is not NULL,
 * are left out.  NULL: none is left. */
const char *peers_first(const peers_t *peers, uint64_t key,
			GHashTable *left_out);

/* orders.c: load and unload orders of the lease holder, demand, placements. */
orders_t *orders_new(control_t *control);
void orders_free(orders_t *orders);
/* Creates a planner for each new service that has an engine, and updates the
 * planners of the others. */
void orders_set_catalog(orders_t *orders, bsh_catalog_t *catalog);
void orders_update_target(orders_t *orders, const bsh_target_t *target);
void orders_remove_target(orders_t *orders, const char *id);
/* Handles DEMAND, also that of this instance itself. */
void orders_receive_demand(orders_t *orders, const char *instance,
			   const bsh_msg_demand_t *demand);
/* Reports this instance's demand to the lease holder, acknowledges its
 * announcements and supports its term. */
void orders_send_demand(orders_t *orders, const GArray *entries);
/* Handles PLACEMENT. */
void orders_receive_placement(orders_t *orders, const char *sender,
			      const bsh_msg_placement_t *placement);
/* Handles RELEASE: the lease holder gives no more orders. */
void orders_receive_release(orders_t *orders, const char *sender,
			    const bsh_msg_release_t *release);
/* Handles RELEASE_KEYS: its list of recent orders, by keys. */
void orders_receive_release_keys(orders_t *orders, const char *sender,
				 const bsh_msg_release_keys_t *release);
/* logged_orders.c: handle ORDER_LOG, ORDER_LOG_ACK, ORDER_LOG_QUERY and
 * ORDER_LOG_LIST. */
void logged_orders_receive(orders_t *orders, const char *sender,
			   const bsh_message_t *message);
/* Lets the lease holder send the whole list: it may differ from what this
 * instance has learned elsewhere. */
void orders_request_list(orders_t *orders);
/* orders_check_target - ask a target for a report, as an instance could not
 * connect to it. */
void orders_check_target(orders_t *orders, uint32_t key);
/* orders_note_loads - the work open at the targets, as bsh_load_entry_t. */
void orders_note_loads(orders_t *orders, const GArray *sums);
/* Adds the estimates of readiness, and whether there is a lease holder, to a
 * view. */
void orders_fill(const orders_t *orders, view_t *view);
void orders_tick(orders_t *orders);
/* Time since the store last answered the lease holder, by the holder's last
 * message; INT64_MAX: no message since the start or the last release. */
int64_t orders_holder_contact_age_us(const orders_t *orders);
/* Gives no more orders and releases the lease to another instance. */
void orders_release_lease(orders_t *orders);

bool orders_is_holder(const orders_t *orders);
/* Name of the last known lease holder; empty: none. */
const char *orders_holder(const orders_t *orders);
const bsh_lease_t *orders_lease(const orders_t *orders);
/* Estimates of when models are ready; view_ready_t. */
const GArray *orders_ready(const orders_t *orders);
/* Holdings of a target that requests may use, and their version; NULL: use
 * those of the target's object in the store. */
const bsh_holdings_t *orders_usable(const orders_t *orders,
				    const bsh_target_t *target,
				    uint64_t *version);

/* Notes that the list of targets includes all announcements of the term up to
 * this number. */
void orders_note_inventory(orders_t *orders, uint64_t term, uint64_t number);
/* Handles TERM_BASE. */
void orders_receive_term_base(orders_t *orders, const char *sender,
			      const bsh_msg_term_base_t *message);
/* On which announcements the list here is based. */
bsh_announced_base_t orders_announced_base(const orders_t *orders);

/* inventory.c: complete lists of targets from the lease holder. */
inventory_t *inventory_new(control_t *control);
void inventory_free(inventory_t *inventory);
/* Handles INVENTORY, of the current lease holder. */
void inventory_receive(inventory_t *inventory,
		       const bsh_msg_inventory_t *message);

/* loads.c: load of the targets, by this instance's requests and by all. */
loads_t *loads_new(control_t *control);
void loads_free(loads_t *loads);
/* Reports this instance's load, bsh_load_entry_t, to the lease holder. */
void loads_report(loads_t *loads, const GArray *entries);
/* Handles LOAD. */
void loads_receive(loads_t *loads, const char *sender,
		   const bsh_msg_load_t *load);
/* Sends the sums to all instances if this one holds the lease. */
void loads_tick(loads_t *loads);
/* Reports targets that have refused a connection, by their keys. */
void loads_report_refused(loads_t *loads, const GArray *keys);
/* Handles UNREACHABLE. */
void loads_receive_refused(loads_t *loads,
			   const bsh_msg_unreachable_t *message);

/* announce.c: announcements of the lease holder to the other instances. */
announcer_t *announcer_new(control_t *control);
void announcer_free(announcer_t *announcer);
/* Restarts the numbering of announcements for a new term of this instance. */
void announcer_begin_term(announcer_t *announcer);
/* Queues a target for the next announcement.  If another instance holds the
 * lease, the target is announced at the begin of a term here, unless the holder
 * announces it. */
void announcer_queue_target(announcer_t *announcer, const char *target);
/* Notes that the state of the target here is the one that the holder announced. */
void announcer_note_announced(announcer_t *announcer, const char *target);
/* Sends the state of targets to all instances, outside the announcements. */
void announcer_tell_targets(const announcer_t *announcer, const GPtrArray *ids);
/* Retransmits the announcements after number received_through to an instance
 * that has received all earlier ones of the term. */
void announcer_catch_up(announcer_t *announcer, const char *instance,
			uint64_t term, uint64_t received_through);
/* Broadcasts the state of the lease, the number of the last announcement and
 * the estimates of readiness. */
void announcer_send_heartbeat(announcer_t *announcer);

/* streams.c: software versions that began streams. */
streams_t *streams_new(control_t *control);
void streams_free(streams_t *streams);
/* Sends records of this instance, bsh_stream_record_t, to their keepers. */
void streams_record(streams_t *streams, const GArray *records);
/* Asks for the version of a stream; traffic_set_stream_version() gets it. */
void streams_query(streams_t *streams, uint64_t stream, uint64_t service);
/* Sends records to instances that keep them since a change of instances. */
void streams_tick(streams_t *streams);
/* Another instance has appeared or gone, or was started again: records get other
 * keepers. */
void streams_instances_changed(streams_t *streams);
/* Handle STREAM_RECORDS, STREAM_QUERY and STREAM_ANSWER. */
void streams_receive_records(streams_t *streams, const bsh_message_t *received);
void streams_receive_query(streams_t *streams, const char *sender,
			   const bsh_msg_stream_query_t *query);
void streams_receive_answer(streams_t *streams,
			    const bsh_msg_stream_answer_t *answer);
/* Notes that the store was restored from an older copy. */
void streams_store_was_restored(streams_t *streams);

/* versions.c: software versions that have served. */
versions_t *versions_new(control_t *control);
void versions_free(versions_t *versions);
/* Notes the versions of the targets in a view, and adds to it which service has
 * had one version only. */
void versions_fill(versions_t *versions, view_t *view);
/* Notes how long the list of targets has been known, and asks other instances and
 * the store for the versions before that. */
void versions_tick(versions_t *versions);
/* The only version of the service for BSH_STREAM_MEMORY_US; 0: there were others,
 * or this instance does not know. */
uint64_t versions_only(versions_t *versions, uint64_t service);
/* True if several versions of the service are known to have served recently. */
bool versions_several(const versions_t *versions, uint64_t service);
/* The same for any service.  Only then may a stream be of a version that its
 * service's list does not tell. */
bool versions_have_several(const versions_t *versions);
/* Time since this process has had a list of targets. */
int64_t versions_age_us(const versions_t *versions);
/* Handle VERSIONS_QUERY and VERSIONS_ANSWER. */
void versions_receive_query(versions_t *versions, const char *sender,
			    const bsh_msg_versions_query_t *query);
void versions_receive_answer(versions_t *versions, const char *sender,
			     const bsh_msg_versions_answer_t *answer);

/* cut_peers.c: instances that reach no target. */
cut_peers_t *cut_peers_new(control_t *control);
void cut_peers_free(cut_peers_t *cut);
/* Whether this instance reaches a target has changed. */
void cut_peers_set_self(cut_peers_t *cut, bool is_cut);
/* Handles REACH. */
void cut_peers_receive(cut_peers_t *cut, const char *sender,
		       const bsh_msg_reach_t *message);
bool cut_peers_is_cut(const cut_peers_t *cut, const char *instance);
void cut_peers_tick(cut_peers_t *cut);

/* quarantine.c: requests under which processes of targets end. */
quarantine_t *quarantine_new(control_t *control);
void quarantine_free(quarantine_t *quarantine);
/* Notes what this instance has seen, bsh_suspect_fact_t, and passes it on. */
void quarantine_record(quarantine_t *quarantine, const GArray *facts);
/* Handles SUSPECT_FACTS. */
void quarantine_receive(quarantine_t *quarantine, const char *sender,
			const bsh_msg_suspect_facts_t *message);
/* Passes on what is new, and asks the others after a start or a pause. */
void quarantine_tick(quarantine_t *quarantine);
/* Notes that the store was restored from an older copy. */
void quarantine_store_was_restored(quarantine_t *quarantine);

/* limit_shares.c: limits that targets name, shared by all instances. */
limit_shares_t *limit_shares_new(control_t *control);
void limit_shares_free(limit_shares_t *shares);
/* Notes what answers named to this instance, bsh_limit_entry_t. */
void limit_shares_record(limit_shares_t *shares, const GArray *entries);
/* Handles TARGET_LIMITS. */
void limit_shares_receive(limit_shares_t *shares, const char *sender,
			  const bsh_msg_target_limits_t *message);
void limit_shares_tick(limit_shares_t *shares);

/* place_keeper.c: places of targets, given out to all instances. */
place_keeper_t *place_keeper_new(control_t *control);
void place_keeper_free(place_keeper_t *keeper);
/* Tells the needs of this instance, place_ask_t, to the instances that keep the
 * ledgers. */
void place_keeper_ask(place_keeper_t *keeper, const GArray *asks);
/* Handle PLACE_NEEDS and PLACE_GRANTS. */
void place_keeper_receive_needs(place_keeper_t *keeper, const char *sender,
				uint64_t incarnation,
				const bsh_msg_place_needs_t *message);
void place_keeper_receive_grants(place_keeper_t *keeper, const char *sender,
				 const bsh_msg_place_grants_t *message);
void place_keeper_tick(place_keeper_t *keeper);

/* directory.c: HTTP endpoints for readiness probes, callers that look up
 * instances, and metrics. */
directory_t *directory_new(control_t *control);
/* Opens the listening sockets; an empty address opens none. */
bsh_error_t directory_start(directory_t *directory);
void directory_free(directory_t *directory);
bool directory_is_ready(const directory_t *directory);

#endif
