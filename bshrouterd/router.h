#ifndef BSHROUTERD_ROUTER_H
#define BSHROUTERD_ROUTER_H

/*
 * NAME
 *	router - what the two threads of bshrouterd share
 *
 * DESCRIPTION
 *	The control thread runs the signals, the admin server and the link to
 *	the controller.  The traffic thread runs everything about requests.
 *	They share the fields of router_t that are marked so and talk by
 *	bsh_loop_post(); no other state is touched by both.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counter.h"
#include "base/hlc.h"
#include "base/settings.h"
#include "base/timeline.h"
#include "state/document.h"
#include "transport/loop.h"

#define ROUTER_DIGEST_BYTES 16

/* A document in force; immutable, shared by reference. */
typedef struct {
	gatomicrefcount refs;
	uint64_t generation;
	bsh_document_t doc;
} router_config_t;

typedef struct router_link router_link_t;
typedef struct router_traffic router_traffic_t;

router_config_t *router_config_ref(router_config_t *config);
void router_config_unref(router_config_t *config);

/* Why /readyz says no; bits of router_t.not_ready. */
#define ROUTER_NO_CONFIG    0x1U
#define ROUTER_CONFIG_STALE 0x2U
#define ROUTER_DRAINING	    0x4U

typedef struct {
	bsh_settings_t settings;
	uint64_t incarnation;
	bsh_hlc_t clock;
	bsh_timeline_t timeline; /* any thread */
	bsh_loop_t control_loop;
	bsh_loop_t traffic_loop;
	router_link_t *link;	      /* control thread */
	router_traffic_t *traffic;    /* traffic thread */
	unsigned int not_ready;	      /* atomic */
	int64_t traffic_heartbeat_us; /* atomic: last round's time */
	int64_t generation;	      /* atomic */
} router_t;

void router_set_not_ready(router_t *router, unsigned int bit, bool on);

/* Counters of the whole process. */
typedef struct {
	bsh_counter_t requests;
	bsh_counter_t answered;
	bsh_counter_t not_run;
	bsh_counter_t unknown;
	bsh_counter_t caller_gone;
	bsh_counter_t attempts;
	bsh_counter_t retries;
	bsh_counter_t late;
	bsh_counter_t mismatched;
	bsh_counter_t events;
	bsh_counter_t body_bytes;
	bsh_counter_t open;
	bsh_counter_t waiting;
	bsh_counter_t connections;
	bsh_counter_t generation;
	bsh_counter_t routes;
	bsh_counter_t link_up;
	bsh_counter_t refused[BSH_ERR_COUNT]; /* by error kind */
} router_counters_t;

extern router_counters_t router_counters;
void router_counters_register(void);

/* Admin server; control thread. */
bsh_error_t router_admin_start(router_t *router);
void router_admin_stop(void);

/*
 * Link to the controller.  The functions of this group are called in the
 * control thread.
 */
void router_link_start(router_t *router);
void router_link_stop(router_t *router);

/* To the controller; called in the traffic thread. */
void router_send_need(router_t *router, uint64_t id, const char *model,
		      uint64_t deadline_ms, uint32_t priority,
		      uint32_t waiting);

typedef struct {
	const char *name;
	const char *target;
	uint64_t target_incarnation;
	uint32_t started; /* since the last report */
	uint32_t running;
	uint32_t waiting;
} router_report_t;

void router_send_report(router_t *router, const router_report_t *entries,
			uint32_t count);

typedef struct {
	uint64_t id;
	const char *service;
	const char *key;
	uint8_t digest[ROUTER_DIGEST_BYTES];
	uint8_t attempt[ROUTER_DIGEST_BYTES];
} router_intent_t;

void router_send_intent(router_t *router, const router_intent_t *intent);

typedef struct {
	bsh_outcome_t outcome;
	uint32_t status;
	const char *content_type;
	const uint8_t *body;
	uint32_t body_bytes;
	bool body_too_large;
} router_result_t;

void router_send_intent_done(router_t *router, const router_intent_t *intent,
			     const router_result_t *result);

/* router_send_drain - begin, or (ended) the last request has ended. */
void router_send_drain(router_t *router, bool ended, uint32_t running);

/* From the controller; called in the traffic thread. */
typedef enum {
	ROUTER_INTENT_RUN,
	ROUTER_INTENT_ANSWERED,
	ROUTER_INTENT_NOT_KEPT,
	ROUTER_INTENT_IN_PROGRESS,
	ROUTER_INTENT_UNKNOWN,
	ROUTER_INTENT_MISMATCH,
	ROUTER_INTENT_UNAVAILABLE
} router_intent_verdict_t;

typedef struct {
	const char *name;
	bool is_service;
	const char *target;
	uint64_t target_incarnation;
	const char *address;
	const char *zone;
	bool leaving;
	uint32_t max_running;
} router_route_t;

void router_on_config(router_t *router, router_config_t *config); /* taken */
void router_on_routes(router_t *router, const char *scope, uint64_t epoch,
		      uint64_t sequence, const router_route_t *routes,
		      uint32_t count);
void router_on_report(router_t *router, const router_report_t *report);
/* until_us: monotonic time at which the confirmation ends. */
void router_on_fresh(router_t *router, uint64_t generation, int64_t until_us);
void router_on_load_accepted(router_t *router, const char *model,
			     uint64_t estimate_ms);
void router_on_load_refused(router_t *router, const char *model,
			    uint32_t retry_after_ms);
void router_on_intent_answer(router_t *router, uint64_t id,
			     router_intent_verdict_t verdict,
			     uint32_t retry_after_ms,
			     const router_result_t *result);
void router_on_drain(router_t *router, const char *alternative);

/* sent: results for the journal that have left since the last call. */
void router_on_results_dequeued(router_t *router, uint32_t sent);

/* Traffic thread. */
bsh_error_t router_traffic_init(router_t *router);
void *router_traffic_main(void *router);
void router_traffic_finish(router_t *router);

/* router_begin_drain - SIGTERM; any thread. */
void router_begin_drain(router_t *router);

#endif
