#ifndef BSHCONTROLD_CONTROL_H
#define BSHCONTROLD_CONTROL_H

/*
 * NAME
 *	control - the parts of bshcontrold and what they call of each other
 *
 * DESCRIPTION
 *	Everything runs on one loop in one thread.  Each part owns its state
 *	and is a file of the same name:
 *
 *	config	 adoption, the accepted document, freshness
 *	peers	 membership datagrams, frames to and from other controllers
 *	cells	 loader, routes of models
 *	demands	 questions of routers for cold models, to the cell's owner
 *	targets	 the platform's list, status polls, orders to engines
 *	intents	 idempotency journal
 *	routers	 the router of this instance
 *	events	 time line of that router
 *	api	 HTTP interface
 *	flush	 time line to the store
 *	shutdown drain of the instance
 *
 *	Parts are started and stopped in the order of control.c and may
 *	call each other only while all are running.
 *
 * UNITS
 *	now_us is CLOCK_BOOTTIME: it continues while a machine is suspended,
 *	so that a confirmation ages then too.
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
	uint64_t incarnation; /* start of this process, wall clock */
	bsh_loop_t loop;
	bsh_hlc_t clock;
	bsh_timeline_t timeline;
	bsh_identity_t identity;
	bsh_http_client_t *http;
	bsh_caller_t caller;
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

/* control_timer_at - start a timer for at_us of control_now_us(). */
void control_timer_at(bsh_loop_timer_t *timer, int64_t at_us);

uint32_t control_seed(void);

/* config */
void config_start(control_t *control);
void config_stop(control_t *control);
bool config_is_fresh(const control_t *control);
bool config_is_witness(const control_t *control);
/* NULL before the first document. */
const bsh_document_t *config_document(const control_t *control);
uint64_t config_generation(const control_t *control);
/* Highest generation that this instance proposed and saw in force. */
uint64_t config_in_force(const control_t *control);
uint32_t config_age_ms(const control_t *control);
void config_peer_generation(control_t *control, const char *from,
			    uint64_t generation, uint64_t hash);
void config_receive(control_t *control, const bsh_message_t *message);
/* config_apply - fn is called once, perhaps before the return. */
typedef void (*config_apply_fn_t)(void *ctx, bsh_error_t result,
				  uint64_t generation);
void config_apply(control_t *control, uint64_t base_generation,
		  const bsh_document_t *document, config_apply_fn_t fn,
		  void *ctx);
/* CONFIG and FRESH to a router whose link has come up. */
void config_sync_router(control_t *control);

/* peers */
void peers_start(control_t *control);
void peers_stop(control_t *control);
struct bsh_members *peers_members(const control_t *control);
/* Frame to the controller of an instance; queued while connecting. */
void peers_send(control_t *control, const char *instance,
		bsh_message_t *message);
void peers_send_datagram(control_t *control, const char *address,
			 bsh_message_t *message);
/* Frame to every live controller but this one. */
void peers_broadcast(control_t *control, const bsh_message_t *message);
void peers_leave(control_t *control);
/* Membership has news that must not wait for its next period. */
void peers_tick_soon(control_t *control);

/* cells */
void cells_start(control_t *control);
void cells_stop(control_t *control);
void cells_document_changed(control_t *control);
void cells_set_fresh(control_t *control, bool is_fresh);
void cells_members_changed(control_t *control);
void cells_target_leaving(control_t *control, const char *target,
			  uint64_t incarnation);
bool cells_owns_target(const control_t *control, const char *pool,
		       const char *target);
/* ROUTES and HANDOVER of another controller. */
void cells_receive(control_t *control, const bsh_message_t *message);
void cells_report(control_t *control, const bsh_message_t *message);
void cells_sync_router(control_t *control);
void cells_drain(control_t *control);
bool cells_drained(const control_t *control);
/* Bring the exported counters up to date. */
void cells_update_counters(control_t *control);
json_t *cells_status(const control_t *control);

/* demands */
void demands_start(control_t *control);
void demands_stop(control_t *control);
/* NEED of the router of this instance. */
void demands_need(control_t *control, const bsh_message_t *message);
/* NEED and NEED_ANSWER of another controller. */
void demands_receive(control_t *control, const bsh_message_t *message);
void demands_router_down(control_t *control);
void demands_peer_down(control_t *control, const char *instance);

/* targets */
void targets_start(control_t *control);
void targets_stop(control_t *control);
void targets_document_changed(control_t *control);
void targets_poll(control_t *control, const char *name);
/* Leaving, heard from a peer. */
void targets_peer_leaving(control_t *control, const char *name,
			  uint64_t incarnation);
/* Fill in address, zone, limit and leaving of a route entry; false if this
 * incarnation is not known. */
bool targets_fill_route_entry(const control_t *control, const char *name,
			      uint64_t incarnation, bsh_route_entry_t *entry);
/* The platform's list says that an entry instance is gone. */
bool targets_is_entry_gone(const control_t *control, const char *instance);
/* Address of an entry instance's operator interface, or NULL. */
const char *targets_entry_control_address(const control_t *control,
					  const char *instance);
void targets_sync_router(control_t *control);
json_t *targets_status(const control_t *control);

/* intents */
void intents_start(control_t *control);
void intents_stop(control_t *control);
void intents_receive(control_t *control, bsh_channel_t *router,
		     const bsh_message_t *message);
void intents_router_down(control_t *control, bsh_channel_t *router);
uint32_t intents_pending(const control_t *control);

/* routers */
void routers_start(control_t *control);
void routers_stop(control_t *control);
void routers_up(control_t *control, bsh_channel_t *channel);
void routers_down(control_t *control, bsh_channel_t *channel);
void routers_receive(control_t *control, bsh_channel_t *channel,
		     const bsh_message_t *message);
/* To the router of this instance, if it is connected. */
void routers_send(control_t *control, bsh_message_t *message);
uint64_t routers_incarnation(const control_t *control);
void routers_drain(control_t *control, const char *alternative);
bool routers_is_up(const control_t *control);
/* A router is connected and has not ended its drain. */
bool routers_busy(const control_t *control);

/* events */
void events_start(control_t *control);
void events_stop(control_t *control);
/* EVENTS of the router of this instance. */
void events_receive(control_t *control, const bsh_message_t *message);
/*
 * events_append - add kept events that arrived after since to list, until
 * they have limit_bytes; *overwritten is the number that were lost before.
 * Returns the arrival of the last one added, or since.
 */
uint64_t events_append(const control_t *control, json_t *list, uint64_t since,
		       size_t limit_bytes, uint64_t *overwritten);
/* Append all kept events as lines of JSON. */
void events_print(const control_t *control, GString *out);

/* api */
void api_start(control_t *control);
void api_stop(control_t *control);
/* Choose the entry address of a live instance, in the zone if possible. */
typedef struct {
	char address[BSH_ADDRESS_SIZE];
	char zone[BSH_NAME_SIZE];
} api_entry_t;
bool api_choose_entry(control_t *control, const char *zone, api_entry_t *entry);

/* flush */
void flush_start(control_t *control);
void flush_stop(control_t *control);
/* Write what is left once; true when that has ended, well or not. */
bool flush_finish(control_t *control);

/* shutdown */
void shutdown_start(control_t *control);
void shutdown_stop(control_t *control);
void shutdown_begin(control_t *control);
bool shutdown_is_draining(const control_t *control);

#endif
