#ifndef BSHCONTROLD_CONTROL_H
#define BSHCONTROLD_CONTROL_H

/*
 * NAME
 *	control - state and internal interfaces of the controller, bshcontrold
 *
 * DESCRIPTION
 *	The controller consists of parts, each with its own state and a file
 *	of the same name:
 *
 *	config	 adoption of the configuration document and its freshness
 *	peers	 membership and connections to other controllers
 *	cells	 placement: cell ownership, loads and routes of models
 *	demands	 requests of routers to load a model, sent to the cell's owner
 *	targets	 the platform's list, status polls and orders to engines
 *	intents	 journal of idempotency keys
 *	routers	 connection to the router of this instance
 *	events	 time line events received from that router
 *	api	 HTTP interface for callers and operators
 *	flush	 copies the time line to the store
 *	shutdown drain of the instance
 *
 *	Parts are started and stopped in the order given in bshcontrold.c and
 *	may be called only while they run.  Functions that can be reached
 *	before their part has started check for that.
 *
 * THREADS
 *	All parts run on one event loop in one thread.
 *
 * UNITS
 *	control_now_us() is CLOCK_BOOTTIME in microseconds.  It continues
 *	while the machine is suspended, so a confirmation of the
 *	configuration ages during that time as well.
 */

#include <stdbool.h>
#include <stdint.h>

#include "base/hlc.h"
#include "base/settings.h"
#include "base/timeline.h"
#include "protocol/call.h"
#include "protocol/frame.h"
#include "protocol/message.h"
#include "protocol/store_client.h"
#include "state/document.h"
#include "transport/http_client.h"
#include "transport/loop.h"

typedef struct control {
	bsh_settings_t settings;
	uint64_t incarnation; /* start of this process, wall clock, us */
	bsh_loop_t loop;
	bsh_hlc_t clock;
	bsh_timeline_t timeline;
	bsh_identity_t identity;
	bsh_http_client_t *http;
	bsh_json_client_t caller;
	bsh_store_client_t store;
	struct config *config;
	struct peers *peers;
	struct cells *cells;
	struct demands *demands;
	struct targets *targets;
	struct intents *intents;
	struct routers *routers;
	struct events *events;
	struct api *api;
	struct flush *flush;
	struct shutdown *shutdown;
} control_t;

int64_t control_now_us(void);

/* control_timer_at - set a timer to expire at at_us; INT64_MAX stops it. */
void control_timer_at(bsh_loop_timer_t *timer, int64_t at_us);

/* control_seed - a random seed from libsodium. */
uint32_t control_seed(void);

/* config */
void config_start(control_t *control);
void config_stop(control_t *control);
/* The confirmation of the configuration is recent enough for new work. */
bool config_is_fresh(const control_t *control);
/* This instance polls the store and votes on proposals. */
bool config_is_witness(const control_t *control);
/* NULL until the first document is adopted. */
const bsh_document_t *config_document(const control_t *control);
uint64_t config_generation(const control_t *control);
/* Highest generation that was proposed here and has come into force: no live
 * instance runs an older one. */
uint64_t config_in_force(const control_t *control);
/* Age of the confirmation; BSH_MEMBER_AGE_NONE_MS without one. */
uint32_t config_age_ms(const control_t *control);
/* A membership message reports the generation adopted by an instance. */
void config_peer_generation(control_t *control, const char *from,
			    uint64_t generation, uint64_t hash);
/* ADOPTION of another controller. */
void config_receive(control_t *control, const bsh_message_t *message);
/*
 * config_apply - queue a proposal of a document on top of base_generation.
 * fn is called once, possibly before the return; BSH_ERR_RATE_LIMITED means
 * that the queue is full.
 */
typedef void (*config_apply_fn_t)(void *ctx, bsh_error_t result,
				  uint64_t generation);
void config_apply(control_t *control, uint64_t base_generation,
		  const bsh_document_t *document, config_apply_fn_t fn,
		  void *ctx);
/* Send CONFIG and FRESH to a router that has just connected. */
void config_sync_router(control_t *control);

/* peers */
void peers_start(control_t *control);
void peers_stop(control_t *control);
struct bsh_members *peers_members(const control_t *control);
/* Send a frame to the controller of an instance; queued while connecting,
 * dropped if its address is unknown. */
void peers_send(control_t *control, const char *instance,
		bsh_message_t *message);
/* Send a datagram to a gossip address; may be lost. */
void peers_send_datagram(control_t *control, const char *address,
			 bsh_message_t *message);
/* Send a frame to every other live controller. */
void peers_broadcast(control_t *control, const bsh_message_t *message);
/* Announce to the membership that this instance is leaving. */
void peers_leave(control_t *control);
/* Send pending membership updates now instead of in the next period. */
void peers_tick_soon(control_t *control);

/* cells */
void cells_start(control_t *control);
void cells_stop(control_t *control);
/* Pass the adopted document to the loader. */
void cells_document_changed(control_t *control);
void cells_set_fresh(control_t *control, bool is_fresh);
/* Pass the live members to the loader. */
void cells_members_changed(control_t *control);
void cells_target_leaving(control_t *control, const char *target,
			  uint64_t incarnation);
/* Whether this process owns the cell of a target. */
bool cells_owns_target(const control_t *control, const char *pool,
		       const char *target);
/* ROUTES and HANDOVER from another controller. */
void cells_receive(control_t *control, const bsh_message_t *message);
/* REPORT of the router of this instance or of another controller. */
void cells_report(control_t *control, const bsh_message_t *message);
/* Send all known routes to a router that has just connected. */
void cells_sync_router(control_t *control);
/* Begin to hand over all cells of this process. */
void cells_drain(control_t *control);
/* No cell is owned and no order is in flight. */
bool cells_drained(const control_t *control);
/* Copy the counts of the loader and of store calls to the metrics. */
void cells_update_counters(control_t *control);
json_t *cells_status(const control_t *control);

/* demands */
void demands_start(control_t *control);
void demands_stop(control_t *control);
/* NEED from the router of this instance. */
void demands_need(control_t *control, const bsh_message_t *message);
/* NEED and NEED_ANSWER from another controller. */
void demands_receive(control_t *control, const bsh_message_t *message);
/* Drop the demands of the router of this instance. */
void demands_router_down(control_t *control);
/* The connection to a controller has ended and frames may have been lost: the
 * demands forwarded to it are dispatched again. */
void demands_peer_down(control_t *control, const char *instance);

/* targets */
void targets_start(control_t *control);
void targets_stop(control_t *control);
void targets_document_changed(control_t *control);
/* Poll the status of a target now. */
void targets_poll(control_t *control, const char *name);
/* Another controller reports by gossip that a target is leaving. */
void targets_peer_leaving(control_t *control, const char *name,
			  uint64_t incarnation);
/* Fill in the target of a route entry: name, incarnation, address, zone,
 * max_running and leaving.  False if this incarnation is not known. */
bool targets_fill_route_entry(const control_t *control, const char *name,
			      uint64_t incarnation, bsh_route_entry_t *entry);
/* The platform's list reports an entry instance as gone, and membership does
 * not report it as alive. */
bool targets_is_entry_gone(const control_t *control, const char *instance);
/* Address of the operator interface of an entry instance; NULL if unknown. */
const char *targets_entry_control_address(const control_t *control,
					  const char *instance);
/* Send services and leaving targets to a router that has just connected. */
void targets_sync_router(control_t *control);
json_t *targets_status(const control_t *control);

/* intents */
void intents_start(control_t *control);
void intents_stop(control_t *control);
/* INTENT and INTENT_DONE from the router of this instance. */
void intents_receive(control_t *control, bsh_channel_t *router,
		     const bsh_message_t *message);
/* Drop the answers that are still due on this channel. */
void intents_router_down(control_t *control, bsh_channel_t *router);
/* Number of intents and results that are not in the store yet. */
uint32_t intents_pending(const control_t *control);

/* routers */
void routers_start(control_t *control);
void routers_stop(control_t *control);
void routers_up(control_t *control, bsh_channel_t *channel);
void routers_down(control_t *control, bsh_channel_t *channel);
void routers_receive(control_t *control, bsh_channel_t *channel,
		     const bsh_message_t *message);
/* Send a frame to the router of this instance; dropped if not connected. */
void routers_send(control_t *control, bsh_message_t *message);
/* Highest incarnation of the router seen so far; 0: none. */
uint64_t routers_incarnation(const control_t *control);
/* Order the router to drain and to refer callers to the address alternative;
 * it may be empty. */
void routers_drain(control_t *control, const char *alternative);
bool routers_is_up(const control_t *control);
/* A router is connected and has not reported the end of its drain. */
bool routers_busy(const control_t *control);

/* events */
void events_start(control_t *control);
void events_stop(control_t *control);
/* EVENTS from the router of this instance. */
void events_receive(control_t *control, const bsh_message_t *message);
/*
 * events_append - append the events with an arrival number above since to
 * list, until their size reaches limit_bytes.  *overwritten receives the
 * number of events that were dropped before they could be appended.
 *
 * RETURN VALUE
 *	Arrival number of the last event appended, or since if there is none.
 */
uint64_t events_append(const control_t *control, json_t *list, uint64_t since,
		       size_t limit_bytes, uint64_t *overwritten);
/* Append all events held in memory as lines of JSON. */
void events_print(const control_t *control, GString *out);

/* api */
void api_start(control_t *control);
void api_stop(control_t *control);
typedef struct {
	char address[BSH_ADDRESS_SIZE];
	char zone[BSH_NAME_SIZE];
} api_entry_t;
/* Choose a live instance at random, in the availability zone if it has one;
 * false if no instance accepts new requests. */
bool api_choose_entry(control_t *control, const char *zone, api_entry_t *entry);

/* flush */
void flush_start(control_t *control);
void flush_stop(control_t *control);
/* Write the remaining events once; true when that write has ended, whether or
 * not it succeeded.  To be called until it returns true. */
bool flush_finish(control_t *control);

/* shutdown */
void shutdown_start(control_t *control);
void shutdown_stop(control_t *control);
/* Begin the drain; repeated calls have no effect. */
void shutdown_begin(control_t *control);
bool shutdown_is_draining(const control_t *control);

#endif
