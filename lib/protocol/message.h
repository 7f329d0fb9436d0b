#ifndef BSH_PROTOCOL_MESSAGE_H
#define BSH_PROTOCOL_MESSAGE_H

/*
 * NAME
 *	message - typed messages between the processes of the system
 *
 * DESCRIPTION
 *	One struct for each message type (design, section 5.1), and its
 *	encoding as the msgpack array
 *	[type, hlc_us, hlc_logical, sender, incarnation, fields...].
 *
 *	Strings and arrays are borrowed.  On encoding they belong to the
 *	caller.  After decoding they belong to the bsh_message_t and are valid
 *	until bsh_message_finish().  A decoded string is never NULL and is
 *	terminated by a NUL byte; an embedded NUL byte makes the message
 *	malformed.  Times are sent as durations or ages, because clocks
 *	differ.
 *
 * LIMITS
 *	An encoded message has at most BSH_FRAME_MAX_BYTES bytes with its
 *	seal; arrays have at most BSH_MESSAGE_LIST_MAX elements.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/hlc.h"
#include "protocol/stream_message.h"

#define BSH_MESSAGE_LIST_MAX	  65536
#define BSH_NONCE_SIZE_BYTES	  16
#define BSH_ATTEMPT_SIZE_BYTES	  16
#define BSH_DIGEST_SIZE_BYTES	  16
#define BSH_INTENT_BODY_MAX_BYTES 8192

typedef enum {
	BSH_MSG_HELLO = 1,
	BSH_MSG_MEMBER,	  /* body: protocol/member_message.h */
	BSH_MSG_ADOPTION, /* body: protocol/adoption_message.h */
	BSH_MSG_CONFIG,
	BSH_MSG_ROUTES,
	BSH_MSG_NEED,
	BSH_MSG_NEED_ANSWER,
	BSH_MSG_REPORT,
	BSH_MSG_INTENT,
	BSH_MSG_INTENT_ANSWER,
	BSH_MSG_INTENT_DONE,
	BSH_MSG_FRESH,
	BSH_MSG_DRAIN,
	BSH_MSG_HANDOVER,
	BSH_MSG_EVENTS,
	BSH_MSG_DEMAND,
	BSH_MSG_PLACEMENT,
	BSH_MSG_RELEASE,
	BSH_MSG_LOAD,
	BSH_MSG_INVENTORY,
	BSH_MSG_UNREACHABLE,
	BSH_MSG_STREAM_RECORDS,
	BSH_MSG_STREAM_QUERY,
	BSH_MSG_STREAM_ANSWER,
	BSH_MSG_SUSPECT_FACTS,
	BSH_MSG_TARGET_LIMITS,
	BSH_MSG_REACH,
	BSH_MSG_PLACE_NEEDS,
	BSH_MSG_PLACE_GRANTS,
	BSH_MSG_READER,
	BSH_MSG_READER_TARGETS,
	BSH_MSG_DOCUMENT_QUERY,
	BSH_MSG_DOCUMENT_PART,
	BSH_MSG_TERM_BASE,
	BSH_MSG_READER_CONFIG,
	BSH_MSG_CONFIG_QUERY,
	BSH_MSG_CONFIG_ANSWER,
	BSH_MSG_ACCOUNT_USE,
	BSH_MSG_ACCOUNT_SHARES,
	BSH_MSG_RELEASE_KEYS,
	BSH_MSG_ORDER_LOG,
	BSH_MSG_ORDER_LOG_ACK,
	BSH_MSG_ORDER_LOG_QUERY,
	BSH_MSG_ORDER_LOG_LIST, /* body: release_keys */
	BSH_MSG_VERSIONS_QUERY,
	BSH_MSG_VERSIONS_ANSWER,
	BSH_MSG_TYPE_END
} bsh_message_type_t;

typedef enum {
	BSH_ROLE_CONTROLLER = 1,
	BSH_ROLE_ROUTER
} bsh_role_t;

/* HELLO: first frame of each side of a session. */
typedef struct {
	uint8_t nonce[BSH_NONCE_SIZE_BYTES];
	uint32_t role;	     /* bsh_role_t */
	const char *address; /* ROUTER: IP:port that callers connect to */
} bsh_msg_hello_t;

/* MEMBER and ADOPTION: body encoded by member_message or adoption_message. */
typedef struct {
	const uint8_t *body;
	uint32_t body_bytes;
} bsh_msg_body_t;

/* CONFIG: accepted configuration document, from a controller to its router. */
typedef struct {
	uint64_t generation;
	uint64_t hash;	  /* of the document */
	const char *text; /* JSON document */
} bsh_msg_config_t;

/* Target with a ready model, or live target of a service. */
typedef struct {
	const char *name; /* model or service */
	bool is_service;
	const char *target;
	uint64_t target_incarnation;
	const char *address;
	const char *zone;
	bool leaving;
	uint32_t max_running; /* concurrent requests, 0: no limit declared */
} bsh_route_entry_t;

/*
 * ROUTES: replaces all entries of a scope if (epoch, sequence) is higher than
 * that of the last message.  A scope is "<cell>/<model>", so that a change of
 * one model needs only one short message, or "service/<name>".  Without entries
 * the scope has no target (cold).
 */
typedef struct {
	const char *cell;  /* scope */
	uint64_t epoch;	   /* of the cell's ownership */
	uint64_t sequence; /* within the epoch */
	const bsh_route_entry_t *entries;
	uint32_t entry_count;
} bsh_msg_routes_t;

/* NEED: request to load a model, for which requests are waiting. */
typedef struct {
	uint64_t id; /* chosen by the sender, repeated by NEED_ANSWER */
	const char *model;
	uint64_t deadline_ms; /* time to the latest deadline among them */
	uint32_t priority;    /* 0 (highest) to 9 */
	uint32_t waiting;     /* number of waiting requests */
} bsh_msg_need_t;

typedef enum {
	BSH_NEED_READY = 1, /* loaded, its routes have been sent */
	BSH_NEED_LOADING,   /* estimate_ms is set */
	BSH_NEED_REFUSED,   /* error and retry_after_ms are set */
	BSH_NEED_END
} bsh_need_verdict_t;

/* NEED_ANSWER: sent in reply to NEED and again when the verdict changes. */
typedef struct {
	uint64_t id;
	const char *model;
	uint32_t verdict;     /* bsh_need_verdict_t */
	uint64_t estimate_ms; /* until the model is ready */
	uint64_t retry_after_ms;
	uint32_t error; /* bsh_error_t, BSH_OK unless refused */
} bsh_msg_need_answer_t;

/* Requests of one model or service at one target. */
typedef struct {
	const char *model; /* or service */
	const char *target;
	uint64_t target_incarnation;
	uint32_t started; /* since the last report */
	uint32_t running;
	uint32_t waiting;
} bsh_report_entry_t;

/*
 * REPORT: from a router, its use of models; from a controller, with an empty
 * model, the load that targets have reported.
 */
typedef struct {
	const bsh_report_entry_t *entries;
	uint32_t entry_count;
} bsh_msg_report_t;

/* INTENT: request to record a call in the journal before it is sent. */
typedef struct {
	uint64_t id; /* chosen by the sender, repeated by INTENT_ANSWER */
	const char *service;
	const char *key;			 /* idempotency key */
	uint8_t digest[BSH_DIGEST_SIZE_BYTES];	 /* of the request */
	uint8_t attempt[BSH_ATTEMPT_SIZE_BYTES]; /* attempt id */
} bsh_msg_intent_t;

typedef enum {
	BSH_VERDICT_RUN = 1,	 /* in the store, the call may be sent */
	BSH_VERDICT_ANSWERED,	 /* status, content_type and body are set */
	BSH_VERDICT_IN_PROGRESS, /* retry_after_ms is set */
	BSH_VERDICT_UNKNOWN,	 /* outcome unknown, must not run again */
	BSH_VERDICT_MISMATCH,	 /* the key was used for another request */
	BSH_VERDICT_UNAVAILABLE, /* store down, nothing recorded */
	BSH_VERDICT_NOT_KEPT,	 /* answered, body too large to be recorded */
	BSH_VERDICT_END
} bsh_msg_verdict_t;

/* INTENT_ANSWER: reply to INTENT. */
typedef struct {
	uint64_t id;
	uint32_t verdict; /* bsh_msg_verdict_t */
	uint64_t retry_after_ms;
	uint32_t status;
	const char *content_type;
	const uint8_t *body;
	uint32_t body_bytes;
} bsh_msg_intent_answer_t;

/* INTENT_DONE: outcome of a call that was recorded with INTENT. */
typedef struct {
	const char *service;
	const char *key;
	uint8_t digest[BSH_DIGEST_SIZE_BYTES];
	uint8_t attempt[BSH_ATTEMPT_SIZE_BYTES];
	uint32_t outcome; /* bsh_outcome_t */
	uint32_t status;
	const char *content_type;
	const uint8_t *body; /* at most BSH_INTENT_BODY_MAX_BYTES bytes */
	uint32_t body_bytes;
	bool body_too_large; /* answered, but the body is omitted */
} bsh_msg_intent_done_t;

/*
 * FRESH: whether the configuration is confirmed to be current, from a
 * controller to its router.
 */
typedef struct {
	uint64_t generation;
	bool confirmed;	       /* false: accept no new work */
	uint64_t remaining_ms; /* until the confirmation expires */
} bsh_msg_fresh_t;

typedef enum {
	BSH_PHASE_BEGIN = 1, /* the drain begins; sent by either side */
	BSH_PHASE_ENDED,     /* router: the last request has ended */
	BSH_PHASE_END
} bsh_drain_phase_t;

/* DRAIN: begin or end of a router's drain. */
typedef struct {
	uint32_t phase;		 /* bsh_drain_phase_t */
	const char *alternative; /* IP:port for refused callers, may be "" */
	uint32_t running;	 /* requests in progress */
} bsh_msg_drain_t;

/* HANDOVER: the sender has released the cell; the receiver may take it over. */
typedef struct {
	const char *cell;
	uint64_t epoch; /* of the cell's ownership */
} bsh_msg_handover_t;

/*
 * EVENTS: timeline events of a router, to be written to the store.  The whole
 * ring buffer is sent again after a reconnection; the receiver drops duplicates
 * by their sequence number.
 */
typedef struct {
	const char *lines; /* one JSON object per line */
} bsh_msg_events_t;

/* Demand for one model or adapter at one instance. */
typedef struct {
	uint32_t model;		   /* hash of the name */
	uint32_t adapter;	   /* hash of the name, 0: the base model */
	uint32_t arrived;	   /* requests since the last message */
	uint32_t running;	   /* requests at targets */
	uint32_t waiting;	   /* requests that no target can accept yet */
	uint32_t max_wait_left_ms; /* longest time left of a waiting request */
} bsh_demand_entry_t;

/*
 * DEMAND: from each instance to the holder of the order lease.  It acknowledges
 * announcements (PLACEMENT) and, by the echo, supports the holder's term
 * (coordination/quorum.h).
 */
typedef struct {
	uint64_t term;		   /* of the announcements */
	uint64_t received_through; /* last announcement received without a gap,
				    * 0: none */
	uint64_t supported_term;   /* 0: none */
	uint64_t echo_us;   /* highest sent_us of the holder of that term */
	bool reaches_store; /* the store has answered the sender recently */
	const bsh_demand_entry_t *entries;
	uint32_t entry_count;
} bsh_msg_demand_t;

typedef enum {
	BSH_TARGET_LIVE = 1,
	BSH_TARGET_LEAVING,
	BSH_TARGET_MISSING, /* its list entry is missing; gone after grace_ms */
	BSH_TARGET_GONE,
	BSH_TARGET_STATE_END
} bsh_target_state_t;

/* State of one target at the holder of the order lease. */
typedef struct {
	const char *target;
	const char *service;
	const char *address;
	const char *zone;
	uint32_t slots;	      /* concurrent requests */
	uint32_t state;	      /* bsh_target_state_t */
	uint32_t grace_ms;    /* MISSING: time left */
	uint64_t number;      /* last announcement at the time of this state */
	uint64_t started_ms;  /* start of its process, wall clock, 0: unknown */
	const char *software; /* version of its software, "": unknown */
	uint64_t version;     /* of the holdings, increases within a term; 0: as
			      * in the platform's list */
	const uint8_t *holdings; /* loaded models: pairs of model and adapter
				  * hashes, big-endian, 4 bytes each */
	uint32_t holdings_bytes;
} bsh_placement_entry_t;

/* Estimated time until a model with waiting requests is ready. */
typedef struct {
	uint32_t model;
	uint32_t adapter;
	uint32_t ready_in_ms; /* UINT32_MAX: no target for it at present */
} bsh_ready_entry_t;

/*
 * PLACEMENT: announcement of changed targets, from the holder of the order
 * lease to all other instances; without entries it is a heartbeat.  The
 * announcements of a term are numbered from 1: a receiver that has all up to
 * `from` has, with this message, all up to `to`.
 */
typedef struct {
	uint64_t term;		 /* fencing token of the lease */
	uint64_t revision;	 /* of the lease after its last renewal */
	bool active;		 /* its wait for the former holder is over */
	uint64_t sent_us;	 /* sender's clock, echoed by DEMAND */
	uint32_t contact_age_ms; /* since the store last answered the sender */
	uint64_t from; /* UINT64_MAX: part of a full list, unnumbered */
	uint64_t to;
	const bsh_placement_entry_t *entries;
	uint32_t entry_count;
	const bsh_ready_entry_t *ready;
	uint32_t ready_count;
} bsh_msg_placement_t;

/* Recent load or unload order. */
typedef struct {
	const char *target;
	uint32_t age_ms; /* since the last order to the target */
} bsh_recent_order_t;

/*
 * RELEASE: the holder has released the order lease and gives no more orders in
 * this term.  From the holder to all others.
 */
typedef struct {
	uint64_t term;
	uint64_t revision;   /* of the lease that may be acquired now */
	bool active;	     /* as in PLACEMENT */
	bool has_order_list; /* `ordered` has all recent orders; else empty */
	const bsh_recent_order_t *ordered;
	uint32_t ordered_count;
} bsh_msg_release_t;

/* Targets in one RELEASE_KEYS, so that it fits a datagram, and parts of one
 * list at most. */
#define BSH_RELEASE_KEYS_MAX  150
#define BSH_RELEASE_PARTS_MAX 8

/*
 * RELEASE_KEYS: one part of the list of recent orders, if a RELEASE cannot name
 * all targets.  All parts are sent several times, the last times with a RELEASE
 * without a list: a receiver that lacks a part, or does not know this message,
 * waits for all targets then.
 */
typedef struct {
	uint64_t term;
	uint64_t revision; /* as in RELEASE */
	bool active;	   /* as in RELEASE */
	uint32_t part;	   /* from 0 */
	uint32_t parts;
	const uint8_t *keys; /* bsh_target_key(), big-endian, 4 bytes each */
	uint32_t keys_bytes;
	/* In the same order the milliseconds since each target's last order, or
	 * fewer, big-endian, 2 bytes each. */
	const uint8_t *ages;
	uint32_t ages_bytes;
} bsh_msg_release_keys_t;

/*
 * ORDER_LOG: the targets that the holder is about to order
 * (coordination/order_log.h).  From the holder to each voter, which acknowledges
 * it.
 */
typedef struct {
	uint64_t term;
	uint64_t sent_us;    /* the holder's clock */
	const uint8_t *keys; /* bsh_target_key(), big-endian, 4 bytes each */
	uint32_t keys_bytes;
} bsh_msg_order_log_t;

/*
 * ORDER_LOG_ACK: from a voter to the holder, with the values of the ORDER_LOG.
 * ORDER_LOG_QUERY: from a new holder to each voter, with its own clock.  The
 * voter answers with ORDER_LOG_LIST, of the structure of RELEASE_KEYS: term is
 * that of the query, revision its sent_us, and ages count from the receipt of
 * the entries.
 */
typedef struct {
	uint64_t term;
	uint64_t sent_us;
} bsh_msg_order_log_time_t;

/* Targets in one INVENTORY, so that it fits a datagram. */
#define BSH_INVENTORY_TARGETS_MAX 125

/*
 * INVENTORY: from the holder of the order lease to an instance that has missed
 * too many announcements, beside the state of each target: the targets of the
 * list.  A target that no part names is gone.
 */
typedef struct {
	uint64_t term;
	uint64_t number; /* last announcement at the time of the list */
	uint32_t part;	 /* from 0 */
	uint32_t parts;
	const uint8_t *keys; /* low 32 bits of the hashes of the targets' ids,
			      * big-endian, 4 bytes each */
	uint32_t keys_bytes;
	/* In the same order the announcement of each target's last change, or
	 * 0, likewise. */
	const uint8_t *changes;
	uint32_t changes_bytes;
} bsh_msg_inventory_t;

/* TERM_BASE: the list of a new holder has no announcement of the former term
 * after this one; what it has changed since is announced.  Earlier versions drop
 * it, and get the whole list. */
typedef struct {
	uint64_t term;
	uint64_t former_term;
	uint64_t number;
} bsh_msg_term_base_t;

/*
 * UNREACHABLE: from an instance to the holder of the order lease: targets that
 * have refused a connection, so that the holder asks them for a report.
 */
typedef struct {
	const uint8_t *keys; /* as in INVENTORY, so many at most */
	uint32_t keys_bytes;
} bsh_msg_unreachable_t;

/* A process of a target ended while a request with this key was beginning there
 * (coordination/quarantine.h). */
typedef struct {
	uint64_t key;	  /* coordination/suspect_key.h */
	uint64_t process; /* bsh_process_key() */
	uint32_t age_ms;  /* since the end */
	uint32_t ran_ms;  /* from the send of the attempt to the end */
	bool cleared;	  /* a later answer has cleared the key of this end */
} bsh_suspect_fact_t;

/* Most entries of a SUSPECT_FACTS that fit a datagram. */
#define BSH_SUSPECT_FACTS_MAX 32

/*
 * SUSPECT_FACTS: what the sender has learnt of requests under which processes
 * end.  Facts are sent more than once, by several instances.
 */
typedef struct {
	bool wants_all; /* the sender asks for all that the receiver knows */
	const bsh_suspect_fact_t *facts;
	uint32_t fact_count;
} bsh_msg_suspect_facts_t;

/* REACH: whether the sender reaches any target (coordination/reach.h); repeated
 * while it reaches none. */
typedef struct {
	bool cut;
} bsh_msg_reach_t;

#define BSH_LIMIT_MILLI_NONE UINT32_MAX

/* What the last answer of a target's process named. */
typedef struct {
	uint64_t process;     /* bsh_process_key() */
	uint32_t limit_milli; /* requests in 1,000 s, or BSH_LIMIT_MILLI_NONE */
	uint32_t age_ms;      /* since that answer */
} bsh_limit_entry_t;

/* Most entries of a TARGET_LIMITS that fit a datagram. */
#define BSH_LIMIT_ENTRIES_MAX 50

/*
 * TARGET_LIMITS: from an instance to the holder of the order lease, what answers
 * named to itself; from the holder to all, what they named to any.
 */
typedef struct {
	uint64_t term; /* of the lease, 0: from an instance to the holder */
	const bsh_limit_entry_t *entries;
	uint32_t entry_count;
} bsh_msg_target_limits_t;

/* The target has not named how many rejections it bears. */
#define BSH_REJECTIONS_ANY UINT32_MAX
/* Most entries of a PLACE_NEEDS or PLACE_GRANTS that fit a datagram. */
#define BSH_PLACE_ENTRIES_MAX 20

/* What an instance needs of a target (coordination/place_ledger.h). */
typedef struct {
	uint64_t target;   /* bsh_process_key() of its id alone */
	uint32_t sequence; /* rises with each need of the instance for it */
	uint32_t open;	   /* requests of the instance at the target */
	uint32_t wanted;   /* requests that wait for a place */
	uint32_t urgency;  /* of the most urgent of these, 0 first */
	uint32_t slots;	   /* requests that the target runs at a time */
	uint32_t run_ms; /* usual time of a request at the target; 0: unknown */
	uint32_t rejected; /* requests that it rejected, in all */
	/* That it bears in a second, or BSH_REJECTIONS_ANY. */
	uint32_t rejections_max;
} bsh_place_need_t;

typedef struct {
	uint64_t target;
	uint32_t sequence; /* of the need that it answers */
	uint32_t places;   /* requests that the instance may have open */
	uint32_t
		wait_ms; /* until a further place is expected; 0: none wanted */
	bool contended;	 /* requests wait for a place, here or elsewhere */
} bsh_place_grant_t;

/* PLACE_NEEDS: from an instance to the one that keeps the ledger of targets. */
typedef struct {
	const bsh_place_need_t *needs;
	uint32_t need_count;
} bsh_msg_place_needs_t;

/* PLACE_GRANTS: the answer, and again whenever a place becomes free. */
typedef struct {
	const bsh_place_grant_t *grants;
	uint32_t grant_count;
} bsh_msg_place_grants_t;

/* Targets in each list of a READER, so that it fits a datagram. */
#define BSH_READER_TARGETS_MAX 110

/*
 * READER: from an instance that reads the store to all others: how recent its
 * list of targets is, which targets must get no new work, and the version of the
 * configuration that it has in force.
 */
typedef struct {
	uint64_t revision;	 /* newest one received from the store */
	uint32_t contact_age_ms; /* since the store answered about the list */
	/* 0: none.  It does not vouch for being the newest one: READER_CONFIG
	 * does. */
	uint64_t config_version;
	/* Targets that are leaving, and those whose entry is missing, by the
	 * low 32 bits of the hashes of their ids, big-endian, 4 bytes each. */
	const uint8_t *leaving;
	uint32_t leaving_bytes;
	const uint8_t *missing;
	uint32_t missing_bytes;
} bsh_msg_reader_t;

/* READER_TARGETS: likewise, targets that are new in the store or have started
 * again. */
typedef struct {
	const bsh_placement_entry_t *entries;
	uint32_t entry_count;
} bsh_msg_reader_targets_t;

/* READER_CONFIG: from an instance that reads the configuration to all others,
 * after each answer of the store about it. */
typedef struct {
	uint64_t
		version; /* in force at the sender; the store has no newer one */
	uint32_t age_ms; /* since the store showed that */
} bsh_msg_reader_config_t;

/* DOCUMENT_QUERY: to an instance that may have a newer configuration. */
typedef struct {
	uint64_t known;	  /* version in force at the sender; 0: none */
	uint64_t version; /* of the parts received so far; 0: none */
	uint32_t from;	  /* first part that is missing */
} bsh_msg_document_query_t;

/* Bytes of a document in one DOCUMENT_PART, so that it fits a datagram, and
 * parts of one document at most. */
#define BSH_DOCUMENT_PART_BYTES 1024
#define BSH_DOCUMENT_PARTS_MAX	4096

/*
 * DOCUMENT_PART: the answer, one of several; without parts if the sender has no
 * configuration above the known version.
 */
typedef struct {
	uint64_t version;
	uint32_t part;	/* from 0 */
	uint32_t parts; /* 0: nothing newer */
	const uint8_t *data;
	uint32_t data_bytes;
} bsh_msg_document_part_t;

/* Most entries of a LOAD that fit a datagram if no value exceeds the bound. */
#define BSH_LOAD_ENTRIES_MAX 72
#define BSH_LOAD_VALUE_MAX   65535U

/* What one instance, or all of them, have open at a target. */
typedef struct {
	uint32_t target;  /* low 32 bits of the hash of its id */
	uint32_t work_ms; /* estimated prefill time of the requests whose
			   * answer has not begun */
	uint32_t running; /* requests at the target */
} bsh_load_entry_t;

/*
 * LOAD: from each instance to the holder of the order lease, with its own
 * requests; from the holder to all instances, with the sums by target.
 */
typedef struct {
	uint64_t term; /* of the lease, 0: from an instance to the holder */
	const bsh_load_entry_t *entries;
	uint32_t entry_count;
} bsh_msg_load_t;

/* CONFIG_QUERY: asks an instance for how long its configuration is known to be
 * the newest. */
typedef struct {
	uint64_t asked_us; /* clock of the sender, repeated by CONFIG_ANSWER */
} bsh_msg_config_query_t;

/* CONFIG_ANSWER: reply to CONFIG_QUERY. */
typedef struct {
	uint64_t asked_us;
	uint64_t version; /* in force at the sender */
	uint32_t age_ms;  /* it was the newest this long ago */
} bsh_msg_config_answer_t;

/* Most entries of an ACCOUNT_USE and of an ACCOUNT_SHARES that fit a datagram. */
#define BSH_ACCOUNT_USES_MAX   30
#define BSH_ACCOUNT_SHARES_MAX 60

/* What one account has used at an instance since the start of its process
 * (coordination/account_limit.h). */
typedef struct {
	uint32_t account; /* hash of the name */
	uint64_t offered;
	uint64_t admitted;
	uint64_t given_back;
} bsh_account_use_t;

/* ACCOUNT_USE: from an instance to the one with the ledger of client accounts;
 * accounts that were not used lately are left out, unless that one may not know
 * them. */
typedef struct {
	uint64_t asked_us; /* clock of the sender, repeated by ACCOUNT_SHARES */
	bool first;	   /* no keeper has answered the process yet */
	const bsh_account_use_t *uses;
	uint32_t use_count;
} bsh_msg_account_use_t;

typedef struct {
	uint32_t account;
	uint32_t millionths; /* of what is offered, to admit */
	uint32_t retry_ms;   /* for callers that are not admitted */
} bsh_account_fraction_t;

/* ACCOUNT_SHARES: reply to ACCOUNT_USE; all is admitted of other accounts, unless
 * the list is full: then theirs is as before. */
typedef struct {
	uint64_t asked_us;
	const bsh_account_fraction_t *fractions;
	uint32_t fraction_count;
} bsh_msg_account_shares_t;

typedef struct {
	bsh_message_type_t type;
	bsh_hlc_stamp_t stamp;
	const char *sender;   /* name of the sending instance */
	uint64_t incarnation; /* of the sending process */
	union {
		bsh_msg_hello_t hello;
		bsh_msg_body_t body; /* MEMBER, ADOPTION */
		bsh_msg_config_t config;
		bsh_msg_routes_t routes;
		bsh_msg_need_t need;
		bsh_msg_need_answer_t need_answer;
		bsh_msg_report_t report;
		bsh_msg_intent_t intent;
		bsh_msg_intent_answer_t intent_answer;
		bsh_msg_intent_done_t intent_done;
		bsh_msg_fresh_t fresh;
		bsh_msg_drain_t drain;
		bsh_msg_handover_t handover;
		bsh_msg_events_t events;
		bsh_msg_demand_t demand;
		bsh_msg_placement_t placement;
		bsh_msg_release_t release;
		bsh_msg_release_keys_t release_keys; /* and ORDER_LOG_LIST */
		bsh_msg_order_log_t order_log;
		bsh_msg_order_log_time_t order_log_time; /* _ACK, _QUERY */
		bsh_msg_load_t load;
		bsh_msg_inventory_t inventory;
		bsh_msg_unreachable_t unreachable;
		bsh_msg_stream_records_t stream_records;
		bsh_msg_stream_query_t stream_query;
		bsh_msg_stream_answer_t stream_answer;
		bsh_msg_versions_query_t versions_query;
		bsh_msg_versions_answer_t versions_answer;
		bsh_msg_suspect_facts_t suspect_facts;
		bsh_msg_reach_t reach;
		bsh_msg_target_limits_t target_limits;
		bsh_msg_place_needs_t place_needs;
		bsh_msg_place_grants_t place_grants;
		bsh_msg_reader_t reader;
		bsh_msg_reader_targets_t reader_targets;
		bsh_msg_reader_config_t reader_config;
		bsh_msg_config_query_t config_query;
		bsh_msg_config_answer_t config_answer;
		bsh_msg_account_use_t account_use;
		bsh_msg_account_shares_t account_shares;
		bsh_msg_document_query_t document_query;
		bsh_msg_document_part_t document_part;
		bsh_msg_term_base_t term_base;
	};
	void *memory; /* owner of decoded strings and arrays */
} bsh_message_t;

/*
 * bsh_message_encode - encode a message as msgpack.
 *
 * RETURN VALUE
 *	BSH_OK with *data, to be freed with free(), and *size_bytes; or
 *	BSH_ERR_TOO_LARGE if the message does not fit into a frame or a field
 *	exceeds its limit.
 */
bsh_error_t bsh_message_encode(const bsh_message_t *message, char **data,
			       size_t *size_bytes);

/*
 * bsh_message_decode - decode data, which must be exactly one message.
 *
 * RETURN VALUE
 *	BSH_OK; the message must be released with bsh_message_finish().
 *	BSH_ERR_INVALID for truncated, surplus or malformed data; nothing has
 *	to be released.
 */
bsh_error_t bsh_message_decode(bsh_message_t *message, const char *data,
			       size_t size_bytes);
void bsh_message_finish(bsh_message_t *message);

/* bsh_message_name - "HELLO", "CONFIG", ...; "?" for an invalid type. */
const char *bsh_message_name(bsh_message_type_t type);

#endif
