#ifndef BSHENTRYD_CONTROL_H
#define BSHENTRYD_CONTROL_H

/*
 * NAME
 *	control - parts of the control thread
 */

#include "coordination/entry_choice.h"
#include "coordination/lease.h"
#include "coordination/member.h"
#include "coordination/planner.h"
#include "entry.h"
#include "feed.h"
#include "platform/store.h"
#include "protocol/datagram.h"

typedef struct catalogs catalogs_t;
typedef struct targets targets_t;
typedef struct peers peers_t;
typedef struct orders orders_t;
typedef struct announcer announcer_t;
typedef struct directory directory_t;

struct control {
	entry_t *entry;
	bsh_loop_t *loop;
	bsh_http_client_t *client;
	platform_store_t store;
	catalogs_t *catalogs;
	targets_t *targets;
	peers_t *peers;
	orders_t *orders;
	announcer_t *announcer;
	directory_t *directory;
	bsh_loop_timer_t tick_timer;
	bsh_loop_timer_t drain_timer;
	bsh_loop_timer_t end_timer;
	int64_t end_us; /* when the process ends at the latest */
	bsh_loop_task_t view_task;
	bool draining;
	int64_t relisted_us;
	int64_t settings_mtime_ns; /* time stamp of the settings file */
};

int64_t control_now_us(const control_t *control);

/* control_changed - a new view is due; several changes make one view. */
void control_schedule_view(control_t *control);
/* control_catalog_changed - another configuration is in force. */
void control_catalog_changed(control_t *control, bsh_catalog_t *catalog);
/* control_target_changed - an entry of the list is new or has changed. */
void control_target_changed(control_t *control, const bsh_target_t *target);
/* control_target_missing - its entry has vanished. */
void control_target_missing(control_t *control, const char *id);
void control_target_gone(control_t *control, const char *id);
/* control_store_doubtful - watches may have missed changes. */
void control_relist(control_t *control);
/* control_peer_message - a message of another instance that is not about
 * membership. */
void control_peer_message(control_t *control, const bsh_message_t *message);

/* catalogs.c */
catalogs_t *catalogs_new(control_t *control);
void catalogs_start(catalogs_t *catalogs);
void catalogs_relist(catalogs_t *catalogs);
void catalogs_free(catalogs_t *catalogs);
/* NULL while there is none. */
bsh_catalog_t *catalogs_current(const catalogs_t *catalogs);
/* When the store last confirmed it, by the clock of the loops. */
int64_t catalogs_confirmed_us(const catalogs_t *catalogs);
/* A peer has this version in force. */
void catalogs_note_peer_version(catalogs_t *catalogs, uint64_t version);

/* targets.c */
targets_t *targets_new(control_t *control);
void targets_start(targets_t *targets);
void targets_relist(targets_t *targets);
void targets_free(targets_t *targets);
bool targets_listed(const targets_t *targets);
/* What the holder of the lease says about a target. */
void targets_apply_announcement(targets_t *targets,
				const bsh_placement_entry_t *entry,
				uint64_t term);
/* Whether to follow the store, or what the holder of the lease tells. */
void targets_set_source(targets_t *targets, bool own);
/* The list is known from the store and up to date. */
bool targets_is_synced(const targets_t *targets);
/* When the own watch on the list was due at the latest, by the clock of the
 * loops. */
int64_t targets_watch_due_us(const targets_t *targets);
/* When the store last confirmed the list to this instance, by the clock of the
 * loops. */
int64_t targets_confirmed_us(const targets_t *targets);
/* True with the time that is left until it is taken as gone. */
bool targets_is_missing(const targets_t *targets, const char *id,
			uint32_t *grace_ms);
/* NULL: not listed. */
const bsh_target_t *targets_find(const targets_t *targets, const char *id);
void targets_fill(targets_t *targets, view_t *view);
void targets_tick(targets_t *targets);
void targets_foreach(const targets_t *targets,
		     void (*fn)(void *ctx, const bsh_target_t *target),
		     void *ctx);

/* peers.c */
peers_t *peers_new(control_t *control);
bsh_error_t peers_start(peers_t *peers);
void peers_relist(peers_t *peers);
void peers_free(peers_t *peers);
void peers_leave(peers_t *peers);
void peers_set_version(peers_t *peers, uint64_t version);
/* Instances that may be at work: alive, or registered and not seen dead yet. */
uint32_t peers_instance_count(const peers_t *peers);
void peers_send(peers_t *peers, const char *instance,
		const bsh_message_t *message);
void peers_broadcast(peers_t *peers, const bsh_message_t *message);
/* Addresses for callers, of instances that take requests. */
void peers_choose_entries(const peers_t *peers, bsh_entry_choice_t *choice);

/* orders.c */
orders_t *orders_new(control_t *control);
void orders_free(orders_t *orders);
void orders_set_catalog(orders_t *orders, bsh_catalog_t *catalog);
void orders_update_target(orders_t *orders, const bsh_target_t *target);
void orders_remove_target(orders_t *orders, const char *id);
void orders_receive_demand(orders_t *orders, const char *instance,
			   const bsh_msg_demand_t *demand);
/* Sends the own demand to the holder, with what is known of its targets. */
void orders_send_demand(orders_t *orders, const GArray *entries);
void orders_receive_placement(orders_t *orders, const char *sender,
			      const bsh_msg_placement_t *placement);
/* The holder of the lease gives no more orders. */
void orders_receive_release(orders_t *orders, const char *sender,
			    const bsh_msg_release_t *release);
void orders_fill(const orders_t *orders, view_t *view);
void orders_tick(orders_t *orders);
/* Age of what the holder last told, as the store confirmed it to the holder;
 * INT64_MAX: nothing was told. */
int64_t orders_holder_contact_age_us(const orders_t *orders);
/* Give no more orders and let another instance take over. */
void orders_release_lease(orders_t *orders);

bool orders_is_holder(const orders_t *orders);
const bsh_lease_t *orders_lease(const orders_t *orders);
/* Estimates of when models are ready; view_ready_t. */
const GArray *orders_ready(const orders_t *orders);
/* What requests may use at a target; NULL: as listed. */
const bsh_holdings_t *orders_usable(const orders_t *orders,
				    const bsh_target_t *target,
				    uint64_t *version);

/* announce.c: what the holder of the lease tells the other instances. */
announcer_t *announcer_new(control_t *control);
void announcer_free(announcer_t *announcer);
/* A term of this instance begins. */
void announcer_begin_term(announcer_t *announcer);
void announcer_queue_target(announcer_t *announcer, const char *target);
/* An instance knows all up to `have`. */
void announcer_catch_up(announcer_t *announcer, const char *instance,
			uint64_t term, uint64_t have);
void announcer_send_heartbeat(announcer_t *announcer);

/* directory.c */
directory_t *directory_new(control_t *control);
bsh_error_t directory_start(directory_t *directory);
void directory_free(directory_t *directory);
bool directory_is_ready(const directory_t *directory);

#endif
