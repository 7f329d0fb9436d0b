#ifndef BSHROUTERD_ROUTER_H
#define BSHROUTERD_ROUTER_H

/*
 * NAME
 *	router - process state and thread interface of bshrouterd
 *
 * DESCRIPTION
 *	bshrouterd is a reverse proxy with two threads.  The control thread
 *	handles signals, the admin server and the link to the controller.  The
 *	traffic thread accepts, queues and forwards requests.  They exchange
 *	messages by bsh_loop_post().  They share the fields of router_t that
 *	are not marked with a thread, router_counters, and the immutable
 *	router_config_t, but no other state.
 *
 *	router_send_*() post a message for the controller to the control
 *	thread.  router_on_*() handle a message of the controller and run in
 *	the traffic thread.  Both copy what they keep, unless noted.
 *
 * UNITS
 *	_us: microseconds, _ms: milliseconds.  Points in time are read from
 *	the monotonic clock of the loops.
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

/* Adopted configuration document; immutable, reference-counted. */
typedef struct {
	gatomicrefcount refs;
	uint64_t generation;
	bsh_document_t doc;
} router_config_t;

typedef struct router_link router_link_t;
typedef struct router_traffic router_traffic_t;

router_config_t *router_config_ref(router_config_t *config);
void router_config_unref(router_config_t *config);

/* Bits of router_t.not_ready: reasons for which /readyz answers 503. */
#define ROUTER_NO_CONFIG    0x1U
#define ROUTER_CONFIG_STALE 0x2U
#define ROUTER_DRAINING	    0x4U

typedef struct {
	bsh_settings_t settings;
	uint64_t incarnation;
	bsh_hlc_t clock;
	bsh_timeline_t timeline; /* thread-safe */
	bsh_loop_t control_loop;
	bsh_loop_t traffic_loop;
	router_link_t *link;	      /* control thread */
	router_traffic_t *traffic;    /* traffic thread */
	unsigned int not_ready;	      /* atomic: ROUTER_* bits; 0: ready */
	int64_t traffic_heartbeat_us; /* atomic: last run of the report timer */
	int64_t generation;	      /* unused */
} router_t;

/* router_set_not_ready - set or clear one bit; any thread. */
void router_set_not_ready(router_t *router, unsigned int bit, bool on);

/* Counters and gauges of the process, for /metrics. */
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
	bsh_counter_t errors[BSH_ERR_COUNT]; /* requests, by error kind */
} router_counters_t;

extern router_counters_t router_counters;
void router_counters_register(void);

/* Admin server; control thread. */
bsh_error_t router_admin_start(router_t *router);
void router_admin_stop(void);

/* Link to the controller; control thread. */
void router_link_start(router_t *router);
void router_link_stop(router_t *router);

/* Messages to the controller; called in the traffic thread. */

/*
 * router_send_need - send NEED: requests wait for a model without a target.
 * deadline_ms is the time left to the deadline of the first of them in the
 * queue, or 0.
 */
void router_send_need(router_t *router, uint64_t id, const char *model,
		      uint64_t deadline_ms, uint32_t priority,
		      uint32_t waiting);

/* Load of one model or service, as reported by this router or by a target. */
typedef struct {
	const char *name;
	const char *target; /* empty: none yet, the requests wait here */
	uint64_t target_incarnation;
	uint32_t started; /* attempts of this router since its last report */
	uint32_t running; /* requests in progress at the target */
	uint32_t waiting; /* requests queued by the sender */
} router_report_t;

/* router_send_report - send REPORT with the load of this router. */
void router_send_report(router_t *router, const router_report_t *entries,
			uint32_t count);

/* Intent to send a non-repeatable call that has an idempotency key. */
typedef struct {
	uint64_t id; /* sequence number of the request */
	const char *service;
	const char *key;		      /* Idempotency-Key */
	uint8_t digest[ROUTER_DIGEST_BYTES];  /* of method, path, body */
	uint8_t attempt[ROUTER_DIGEST_BYTES]; /* incarnation, sequence */
} router_intent_t;

/* router_send_intent - send INTENT, which asks the journal to commit it. */
void router_send_intent(router_t *router, const router_intent_t *intent);

/* Outcome of a call and its recorded response. */
typedef struct {
	bsh_outcome_t outcome;
	uint32_t status; /* HTTP */
	const char *content_type;
	const uint8_t *body;
	uint32_t body_bytes;
	bool body_too_large; /* the body is left out */
} router_result_t;

/* router_send_intent_done - send INTENT_DONE with the result to record. */
void router_send_intent_done(router_t *router, const router_intent_t *intent,
			     const router_result_t *result);

/* router_send_drain - send DRAIN: the drain has begun with running requests,
 * or (ended) has ended. */
void router_send_drain(router_t *router, bool ended, uint32_t running);

/* Messages from the controller; called in the traffic thread. */

/* Verdict of the journal on an intent. */
typedef enum {
	ROUTER_INTENT_RUN,	   /* committed: send the request */
	ROUTER_INTENT_ANSWERED,	   /* a recorded response exists */
	ROUTER_INTENT_NOT_KEPT,	   /* answered, body too large to record */
	ROUTER_INTENT_IN_PROGRESS, /* another attempt with the key runs */
	ROUTER_INTENT_UNKNOWN,	   /* outcome unknown, must not run again */
	ROUTER_INTENT_MISMATCH,	   /* the key has another request digest */
	ROUTER_INTENT_UNAVAILABLE  /* journal or controller unreachable */
} router_intent_verdict_t;

/* One target of a model or service. */
typedef struct {
	const char *name; /* of the model or service */
	bool is_service;
	const char *target;
	uint64_t target_incarnation;
	const char *address;
	const char *zone;
	bool leaving; /* gets no new requests */
	uint32_t
		max_running; /* request limit; 0: undeclared, default applies */
} router_route_t;

/* router_on_config - replace the document; takes over the reference. */
void router_on_config(router_t *router, router_config_t *config);

/* router_on_routes - replace the targets of a scope, unless (epoch, sequence)
 * is not newer than that of the scope. */
void router_on_routes(router_t *router, const char *scope_name, uint64_t epoch,
		      uint64_t sequence, const router_route_t *routes,
		      uint32_t count);

/* router_on_report - record the load that a target reported. */
void router_on_report(router_t *router, const router_report_t *report);

/* router_on_fresh - generation is confirmed as current until until_us. */
void router_on_fresh(router_t *router, uint64_t generation, int64_t until_us);

/* router_on_load_accepted - the controller loads the model; it is expected to
 * be ready in estimate_ms. */
void router_on_load_accepted(router_t *router, const char *model,
			     uint64_t estimate_ms);

/* router_on_load_refused - the controller does not load the model now. */
void router_on_load_refused(router_t *router, const char *model,
			    uint32_t retry_after_ms);

/* router_on_intent_answer - verdict on the intent with this id; result is the
 * recorded response of ROUTER_INTENT_ANSWERED. */
void router_on_intent_answer(router_t *router, uint64_t id,
			     router_intent_verdict_t verdict,
			     uint32_t retry_after_ms,
			     const router_result_t *result);

/* router_on_drain - begin the drain; alternative is the address that refused
 * callers are referred to, or empty. */
void router_on_drain(router_t *router, const char *alternative);

/* router_on_results_dequeued - count results were sent to the controller, or
 * dropped, since the last call. */
void router_on_results_dequeued(router_t *router, uint32_t count);

/* Traffic thread; _init and _finish run while it does not exist. */
bsh_error_t router_traffic_init(router_t *router);
void *router_traffic_main(void *router);
void router_traffic_finish(router_t *router);

/* router_begin_drain - begin the drain, on SIGTERM; any thread. */
void router_begin_drain(router_t *router);

#endif
