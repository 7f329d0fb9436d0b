#ifndef BSHENTRYD_ENTRY_H
#define BSHENTRYD_ENTRY_H

/*
 * NAME
 *	entry - the parts of bshentryd and how they call each other
 *
 * DESCRIPTION
 *	Control thread:
 *	catalogs.c	the configuration in force
 *	targets.c	the list of targets and what they hold
 *	peers.c		membership, and messages between instances
 *	orders.c	the orders of the holder of the lease
 *	order_lease.c	who holds the lease
 *	announce.c	what the holder tells the other instances
 *	directory.c	readiness, addresses for callers, metrics
 *	control.c	owns the parts above, builds views, reloads, drains
 *
 *	Traffic thread:
 *	traffic.c	requests as they come, and which wait
 *	forward.c	one request at a target
 *	demand.c	what requests ask of models
 *
 *	A part reports changes to control.c through the functions named
 *	control_*; control.c calls the parts.  The threads talk only by
 *	bsh_loop_post(): views and drain to the traffic thread, demand and
 *	what was learnt about targets back to the control thread.
 */

#include <signal.h>

#include "base/settings.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/loop.h"
#include "view.h"

typedef struct control control_t;
typedef struct traffic traffic_t;

/*
 * When the platform last confirmed what decisions rest on, by the clock of the
 * loops; 0: never.  Written by the control thread, read by both.
 */
typedef struct {
	int64_t config_us;
	int64_t targets_us;
} freshness_t;

typedef struct {
	bsh_settings_t settings;
	char settings_path[512];
	uint64_t incarnation; /* rises with each start of the process */
	freshness_t freshness;
	bsh_loop_t control_loop;
	bsh_loop_t traffic_loop;
	control_t *control;
	traffic_t *traffic;
} entry_t;

/* control.c */
bsh_error_t control_start(entry_t *entry);
void control_stop(control_t *control);
void control_drain(control_t *control, uint32_t signal_number);
/* control_traffic_ended - the last request has ended; by bsh_loop_post().  The loop ends
 * when the lease is given up. */
void control_traffic_ended(void *control);
/* control_reload - read the settings file again. */
void control_reload(control_t *control, const char *reason);
/* From the traffic thread, by bsh_loop_post(). */
typedef struct {
	control_t *control;
	GArray *entries; /* bsh_demand_entry_t */
} control_demand_msg_t;
void control_demand(void *demand);

/* traffic.c */
bsh_error_t traffic_start(entry_t *entry);
void traffic_stop(traffic_t *traffic);
/* By bsh_loop_post() to the traffic thread. */
typedef struct {
	traffic_t *traffic;
	view_t *view;
} traffic_view_msg_t;
void traffic_set_view(void *view);
/* traffic_drain - answers close their connections from now on, and requests
 * wait only for what comes within the grace time. */
void traffic_drain(void *traffic);
/* traffic_quit - close what is idle; the loop ends with the last request. */
void traffic_quit(void *traffic);

#endif
