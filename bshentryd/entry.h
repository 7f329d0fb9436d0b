#ifndef BSHENTRYD_ENTRY_H
#define BSHENTRYD_ENTRY_H

/*
 * NAME
 *	entry - process state of bshentryd and the interfaces of its threads
 *
 * DESCRIPTION
 *	Control thread:
 *	catalogs.c	configuration in force
 *	targets.c	list of targets and the models that they hold
 *	peers.c		membership, and messages between instances
 *	inventory.c	complete lists of targets from the lease holder
 *	loads.c		load of the targets, by this instance and by all
 *	orders.c	load and unload orders of the lease holder
 *	order_lease.c	acquisition and release of the lease
 *	announce.c	announcements of the lease holder to other instances
 *	streams.c	software versions that began streams, kept for others
 *	quarantine.c	exchange of suspects, requests that end processes
 *	quarantine_store.c	the same in the platform's store
 *	cut_peers.c	instances that reach no target
 *	config_proof.c	whether the configuration in force is the newest
 *	account_keeper.c	what client accounts use, over all instances
 *	directory.c	readiness, addresses for callers, metrics
 *	where_query.c	questions where a request would be sent
 *	control.c	owns the parts above, builds views, reloads, drains
 *
 *	Traffic thread:
 *	traffic.c	requests from their arrival to their end
 *	target_pick.c	choice of the target of an attempt
 *	retry.c		whether a request may be sent again
 *	attempts.c	the attempts of a request that run at a time
 *	stream_origin.c	the software version to which a stream is bound
 *	forward.c	one attempt of a request at a target
 *	target_end.c	ends of the processes of targets
 *	suspects.c	whether a request may be sent, by such ends
 *	notices.c	what targets say of themselves in answers
 *	limits.c	limits of requests that targets name
 *	memory.c	what is held for callers
 *	accounts.c	client accounts of requests
 *	account_limits.c	limits of client accounts
 *	places.c	places of requests at targets that may be full
 *	reach.c		whether this instance reaches any target
 *	demand.c	demand for models, by the requests of this instance
 *	engine_load.c	open work of the requests of this instance at engines
 *	request_log.c	log lines, counters and times of requests
 *	where.c		where a request would be sent, for operators
 *
 *	The parts of the control thread report changes to control.c through
 *	the functions named control_*; control.c calls the parts.
 *
 * THREADS
 *	The threads exchange messages by bsh_loop_post(): views and the drain
 *	go to the traffic thread, demand goes to the control thread.
 *	freshness_t is shared and accessed atomically.
 */

#include <signal.h>

#include "base/settings.h"
#include "protocol/message.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/loop.h"
#include "view.h"

typedef struct control control_t;
typedef struct traffic traffic_t;

/*
 * Times when the store last confirmed the state that requests are routed by, and
 * when another instance was last heard, in microseconds on the clock of the
 * loops; 0: never.  Written by the control thread and read by both, by atomic
 * loads and stores.
 */
typedef struct {
	/* To which config_us and config_proof_us belong.  It is stored before
	 * both, and may be newer than the one of the view. */
	uint64_t config_version;
	int64_t config_us;
	int64_t targets_us;
	int64_t peers_us;
	/* This version of the configuration was certainly the newest one then,
	 * on CLOCK_BOOTTIME. */
	int64_t config_proof_us;
} freshness_t;

typedef struct {
	bsh_settings_t settings;
	char settings_path[512];
	uint64_t incarnation; /* start time in us; rises with each start */
	freshness_t freshness;
	/* The traffic thread has a view with targets.  Written by it and read by
	 * the control thread, by atomic store and load. */
	bool serving;
	/* Another instance has sent the suspects under which processes ended,
	 * or none has answered for long.  Written by the control thread and read
	 * by the traffic thread, by atomic store and load. */
	bool suspects_known;
	bsh_loop_t control_loop;
	bsh_loop_t traffic_loop;
	control_t *control;
	traffic_t *traffic;
} entry_t;

/* control.c */
bsh_error_t control_start(entry_t *entry);
void control_stop(control_t *control);
void control_drain(control_t *control, uint32_t signal_number);
/* control_traffic_ended - called by bsh_loop_post() after the end of the
 * traffic loop.  The control loop stops when the lease is released. */
void control_traffic_ended(void *control);
/* control_reload - read the settings file again. */
void control_reload(control_t *control, const char *reason);
/* Message from the traffic thread to control_demand(), which frees it. */
typedef struct {
	control_t *control;
	GArray *entries; /* bsh_demand_entry_t */
	GArray *loads;	 /* bsh_load_entry_t; NULL: not due */
	GArray *refused; /* keys of targets, big-endian; NULL: none */
} control_demand_msg_t;
/* Message from the traffic thread to control_stream_records(), which frees it. */
typedef struct {
	control_t *control;
	GArray *records; /* bsh_stream_record_t */
} control_stream_records_msg_t;
/* control_stream_records - called by bsh_loop_post(): streams that this instance
 * forwards, to be recorded at other instances. */
void control_stream_records(void *records);
/* Message from the traffic thread to control_stream_query(), which frees it. */
typedef struct {
	control_t *control;
	uint64_t stream;
	uint64_t service; /* key of its name; 0: may be one of several */
} control_stream_query_msg_t;
/* control_stream_query - called by bsh_loop_post(): ask for the software version
 * that began a stream. */
void control_stream_query(void *query);
/* Message from the traffic thread to control_reach(), which frees it. */
typedef struct {
	control_t *control;
	bool cut; /* this instance reaches no target */
} control_reach_msg_t;
/* control_reach - called by bsh_loop_post(). */
void control_reach(void *reach);
/* Message from the traffic thread to control_suspect_facts(), which frees it. */
typedef struct {
	control_t *control;
	GArray *facts; /* bsh_suspect_fact_t */
} control_suspect_facts_msg_t;
/* control_suspect_facts - called by bsh_loop_post(): suspects that were at the
 * end of a target's process, or are cleared of it. */
void control_suspect_facts(void *facts);
/* Message from the traffic thread to control_limits(), which frees it. */
typedef struct {
	control_t *control;
	GArray *entries; /* bsh_limit_entry_t, named to this instance */
} control_limits_msg_t;
/* control_limits - called by bsh_loop_post(): limits that targets named. */
void control_limits(void *limits);
/* Message from the traffic thread to control_account_use(), which frees it. */
typedef struct {
	control_t *control;
	GArray *uses; /* bsh_account_use_t */
} control_account_use_msg_t;
/* control_account_use - called by bsh_loop_post(): what client accounts have used
 * at this instance, in total. */
void control_account_use(void *use);
/* A need of this instance, and whether earlier ones were not answered. */
typedef struct {
	bsh_place_need_t need;
	bool unanswered;
} place_ask_t;
/* Message from the traffic thread to control_ask_places(), which frees it. */
typedef struct {
	control_t *control;
	GArray *asks; /* place_ask_t */
} control_places_msg_t;
/* control_ask_places - called by bsh_loop_post(). */
void control_ask_places(void *places);
/* control_demand - called by bsh_loop_post() with a control_demand_msg_t. */
void control_demand(void *demand);

/* traffic.c */
bsh_error_t traffic_start(entry_t *entry);
void traffic_stop(traffic_t *traffic);
/* Message from the control thread to traffic_set_view(), which frees it and
 * takes over the reference to the view. */
typedef struct {
	traffic_t *traffic;
	view_t *view;
	int64_t built_us; /* loop clock */
} traffic_view_msg_t;
/* traffic_set_view - called by bsh_loop_post() with a traffic_view_msg_t. */
void traffic_set_view(void *view);
/* Message from the control thread to traffic_set_loads(), which frees it. */
typedef struct {
	traffic_t *traffic;
	GArray *entries; /* bsh_load_entry_t, sums of all instances */
} traffic_loads_msg_t;
/* traffic_set_loads - called by bsh_loop_post() with a traffic_loads_msg_t. */
void traffic_set_loads(void *loads);
/* Message from the control thread to traffic_set_stream_version(), which frees
 * it. */
typedef struct {
	traffic_t *traffic;
	uint64_t stream;
	uint64_t software; /* 0: no instance knows it */
} traffic_stream_msg_t;
/* traffic_set_stream_version - called by bsh_loop_post(): answer to
 * control_stream_query(). */
void traffic_set_stream_version(void *answer);
/* Message from the control thread to traffic_merge_suspect_facts(), which frees
 * it. */
typedef struct {
	traffic_t *traffic;
	GArray *facts; /* bsh_suspect_fact_t, of other instances */
} traffic_suspect_facts_msg_t;
/* Message from the control thread to traffic_probe_suspect(), which frees it. */
typedef struct {
	traffic_t *traffic;
	uint64_t key; /* coordination/suspect_key.h */
} traffic_probe_msg_t;
/* traffic_probe_suspect - called by bsh_loop_post(): the next request with this
 * quarantined key is sent. */
void traffic_probe_suspect(void *probe);
/* traffic_merge_suspect_facts - called by bsh_loop_post(). */
void traffic_merge_suspect_facts(void *facts);
/* A limit that a target's process named, and the part of this instance. */
typedef struct {
	uint64_t process; /* bsh_process_key() */
	double per_s;	  /* BSH_LIMIT_NONE: none any more */
	int64_t age_us;	  /* since the answer that named it */
	double share;	  /* 0 to 1 */
} limit_share_t;
/* Message from the control thread to traffic_set_limits(), which frees it. */
typedef struct {
	traffic_t *traffic;
	GArray *shares; /* limit_share_t */
} traffic_limits_msg_t;
/* traffic_set_limits - called by bsh_loop_post(). */
void traffic_set_limits(void *limits);
/* Message from the control thread to traffic_set_account_shares(), which frees
 * it. */
typedef struct {
	traffic_t *traffic;
	GArray *fractions; /* bsh_account_fraction_t */
	int64_t asked_us;  /* CLOCK_BOOTTIME */
} traffic_account_shares_msg_t;
/* traffic_set_account_shares - called by bsh_loop_post(). */
void traffic_set_account_shares(void *shares);
/* Message from the control thread to traffic_set_places(), which frees it. */
typedef struct {
	traffic_t *traffic;
	GArray *grants; /* bsh_place_grant_t */
} traffic_places_msg_t;
/* traffic_set_places - called by bsh_loop_post(). */
void traffic_set_places(void *places);
/* traffic_where - called by bsh_loop_post() with a where_ask_t of where.h: a
 * question where a request would be sent. */
void traffic_where(void *ask);
/* traffic_drain - from now on each response closes its connection, and requests
 * wait only for models that are expected within the grace time. */
void traffic_drain(void *traffic);
/* traffic_quit - stop listening and close idle connections; the loop stops
 * after the last request. */
void traffic_quit(void *traffic);

#endif
