#ifndef BSH_PROTOCOL_MESSAGE_H
#define BSH_PROTOCOL_MESSAGE_H

/*
 * NAME
 *	message - typed messages between routers and controllers
 *
 * DESCRIPTION
 *	One struct for each message type of the design, section 5.1, and the
 *	conversion to and from the msgpack array
 *	[type, hlc_us, hlc_logical, sender, incarnation, fields...].
 *
 *	Strings and arrays are borrowed.  On encoding they belong to the
 *	caller.  After decoding they belong to the bsh_message_t and are valid
 *	until bsh_message_finish().  A decoded string is never NULL and is
 *	terminated by a zero byte; an embedded zero byte makes the frame
 *	malformed.  Durations are relative, because clocks differ.
 *
 * LIMITS
 *	An encoded message has at most BSH_FRAME_MAX_BYTES bytes with its
 *	header, arrays have at most BSH_MESSAGE_LIST_MAX elements.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/hlc.h"

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
	BSH_MSG_TYPE_END
} bsh_message_type_t;

typedef enum {
	BSH_ROLE_CONTROLLER = 1,
	BSH_ROLE_ROUTER
} bsh_role_t;

/* First frame of each side of a connection. */
typedef struct {
	uint8_t nonce[BSH_NONCE_SIZE_BYTES];
	uint32_t role;	     /* bsh_role_t */
	const char *address; /* of a router: where callers reach it */
} bsh_msg_hello_t;

/* MEMBER and ADOPTION: a body that the module of that name encodes. */
typedef struct {
	const uint8_t *body;
	uint32_t body_bytes;
} bsh_msg_body_t;

/* CONFIG: the accepted document, from a controller to its router. */
typedef struct {
	uint64_t generation;
	uint64_t hash;
	const char *text; /* JSON, the whole document */
} bsh_msg_config_t;

/* One ready target of a model, or one live target of a service. */
typedef struct {
	const char *name; /* model or service */
	bool is_service;
	const char *target;
	uint64_t target_incarnation;
	const char *address;
	const char *zone;
	bool leaving;
	uint32_t max_running; /* 0: no limit declared */
} bsh_route_entry_t;

/*
 * ROUTES: replaces all entries of the scope if (epoch, sequence) is newer.  A
 * scope is "<cell>/<model>", so that a change of one model costs one short
 * message, or "service/<name>".  Without entries the scope is empty (cold).
 */
typedef struct {
	const char *cell; /* scope */
	uint64_t epoch;
	uint64_t sequence;
	const bsh_route_entry_t *entries;
	uint32_t entry_count;
} bsh_msg_routes_t;

/* NEED: requests wait for a model. */
typedef struct {
	uint64_t id; /* chosen by the asking side, repeated by the answer */
	const char *model;
	uint64_t deadline_ms; /* time left of the most patient request */
	uint32_t priority;    /* 0 (highest) to 9 */
	uint32_t waiting;
} bsh_msg_need_t;

typedef enum {
	BSH_NEED_READY = 1, /* routes have been sent */
	BSH_NEED_LOADING,   /* estimate_ms until ready */
	BSH_NEED_REFUSED,   /* error and retry_after_ms */
	BSH_NEED_END
} bsh_need_verdict_t;

/* NEED_ANSWER: sent once at first, and again when the verdict changes. */
typedef struct {
	uint64_t id;
	const char *model;
	uint32_t verdict; /* bsh_need_verdict_t */
	uint64_t estimate_ms;
	uint64_t retry_after_ms;
	uint32_t error; /* bsh_error_t; BSH_OK unless refused */
} bsh_msg_need_answer_t;

typedef struct {
	const char *model; /* or service */
	const char *target;
	uint64_t target_incarnation;
	uint32_t started; /* since the last report */
	uint32_t running;
	uint32_t waiting;
} bsh_report_entry_t;

/*
 * REPORT: from a router, the use of models; from a controller, with an empty
 * model, the load that targets reported.
 */
typedef struct {
	const bsh_report_entry_t *entries;
	uint32_t entry_count;
} bsh_msg_report_t;

typedef struct {
	uint64_t id;
	const char *service;
	const char *key;
	uint8_t digest[BSH_DIGEST_SIZE_BYTES]; /* of the request */
	uint8_t attempt[BSH_ATTEMPT_SIZE_BYTES];
} bsh_msg_intent_t;

typedef enum {
	BSH_VERDICT_RUN = 1,	 /* committed, the call may be sent */
	BSH_VERDICT_ANSWERED,	 /* status, content_type and body follow */
	BSH_VERDICT_IN_PROGRESS, /* retry_after_ms */
	BSH_VERDICT_UNKNOWN,	 /* not run again */
	BSH_VERDICT_MISMATCH,	 /* key of another request */
	BSH_VERDICT_UNAVAILABLE, /* store down, nothing recorded */
	BSH_VERDICT_NOT_KEPT,	 /* answered, body too large to keep */
	BSH_VERDICT_END
} bsh_msg_verdict_t;

typedef struct {
	uint64_t id;
	uint32_t verdict; /* bsh_msg_verdict_t */
	uint64_t retry_after_ms;
	uint32_t status;
	const char *content_type;
	const uint8_t *body;
	uint32_t body_bytes;
} bsh_msg_intent_answer_t;

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
	bool body_too_large; /* answered, but the body is not attached */
} bsh_msg_intent_done_t;

/* FRESH: the confirmation of a generation, from a controller to its router. */
typedef struct {
	uint64_t generation;
	bool confirmed;	       /* false: no new work */
	uint64_t remaining_ms; /* until the confirmation is too old */
} bsh_msg_fresh_t;

typedef enum {
	BSH_PHASE_BEGIN = 1, /* controller to router, or router to controller */
	BSH_PHASE_ENDED,     /* router: the last request has ended */
	BSH_PHASE_END
} bsh_drain_phase_t;

typedef struct {
	uint32_t phase;		 /* bsh_drain_phase_t */
	const char *alternative; /* entry address for refused callers */
	uint32_t running;	 /* requests in progress */
} bsh_msg_drain_t;

/* HANDOVER: the sender has released the cell; the receiver may own it. */
typedef struct {
	const char *cell;
	uint64_t epoch;
} bsh_msg_handover_t;

/*
 * EVENTS: time line of a router, for the store.  After a new connection the
 * whole ring is sent again; the receiver drops what it has by sequence.
 */
typedef struct {
	const char *lines; /* one JSON object a line */
} bsh_msg_events_t;

/* Use of one model or adapter at one instance; names are hashes. */
typedef struct {
	uint32_t model;
	uint32_t adapter;     /* 0: the base model */
	uint32_t arrived;     /* requests since the last message */
	uint32_t running;     /* requests at targets now */
	uint32_t waiting;     /* requests that no target can take now */
	uint32_t patience_ms; /* time left of the most patient of them */
} bsh_demand_entry_t;

/*
 * DEMAND: from each instance to the one that gives orders.  have is the number
 * of the announcement up to which it knows the targets; 0: it knows none.
 * supports is the term that it supports (coordination/quorum.h), 0 for none, and
 * echo_us the newest sent_us of that term's holder.
 */
typedef struct {
	uint64_t term;
	uint64_t have;
	uint64_t supports;
	uint64_t echo_us;
	bool reaches_store; /* the store has answered it a moment ago */
	const bsh_demand_entry_t *entries;
	uint32_t entry_count;
} bsh_msg_demand_t;

typedef enum {
	BSH_TARGET_LIVE = 1,
	BSH_TARGET_LEAVING,
	BSH_TARGET_MISSING, /* its entry has vanished; gone after grace_ms */
	BSH_TARGET_GONE,
	BSH_TARGET_STATE_END
} bsh_target_state_t;

/* One target, as known to the instance that gives orders. */
typedef struct {
	const char *target;
	const char *service;
	const char *address;
	const char *zone;
	uint32_t slots;
	uint32_t state; /* bsh_target_state_t */
	uint32_t grace_ms;
	uint64_t number; /* of the last announcement when this was so */
	uint64_t started_ms;
	uint64_t version; /* of the holdings, rises during a term; 0: they are
			   * as listed */
	const uint8_t *holdings; /* pairs of model and adapter, 4 bytes each */
	uint32_t holdings_bytes;
} bsh_placement_entry_t;

/* When a model that requests wait for will be ready. */
typedef struct {
	uint32_t model;
	uint32_t adapter;
	uint32_t ready_in_ms; /* UINT32_MAX: no place for it at present */
} bsh_ready_entry_t;

/*
 * PLACEMENT: from the instance that gives orders to all others; without
 * entries it only says that this instance is alive and holds the lease.  The
 * announcements of a term are numbered: who knows all up to `from` knows, with
 * this message, all up to `to`.
 */
typedef struct {
	uint64_t term;		 /* fencing number of the lease */
	uint64_t revision;	 /* of the lease after its last renewal */
	bool active;		 /* it has waited for the former holder */
	uint64_t sent_us;	 /* by the sender's clock, to be echoed */
	uint32_t contact_age_ms; /* since the store last answered the sender */
	uint64_t from;
	uint64_t to;
	const bsh_placement_entry_t *entries;
	uint32_t entry_count;
	const bsh_ready_entry_t *ready;
	uint32_t ready_count;
} bsh_msg_placement_t;

/* A target that was ordered so long ago. */
typedef struct {
	const char *target;
	uint32_t age_ms;
} bsh_recent_order_t;

/*
 * RELEASE: from the holder to all others: it gives no more orders in this term.
 * The list has all targets that it ordered lately, unless listed is false.
 */
typedef struct {
	uint64_t term;
	uint64_t revision; /* of the lease, which another one may take */
	bool active;	   /* as in PLACEMENT */
	bool listed;
	const bsh_recent_order_t *ordered;
	uint32_t ordered_count;
} bsh_msg_release_t;

typedef struct {
	bsh_message_type_t type;
	bsh_hlc_stamp_t stamp;
	const char *sender; /* instance */
	uint64_t incarnation;
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
	};
	void *memory; /* owner of decoded strings and arrays */
} bsh_message_t;

/*
 * bsh_message_encode - append the msgpack form.
 *
 * RETURN VALUE
 *	BSH_OK with *data (free with free()) and *size_bytes, or
 *	BSH_ERR_TOO_LARGE over the limit of a frame.
 */
bsh_error_t bsh_message_encode(const bsh_message_t *message, char **data,
			       size_t *size_bytes);

/*
 * bsh_message_decode - read one message that fills data exactly.
 *
 * RETURN VALUE
 *	BSH_OK; the message needs bsh_message_finish().  BSH_ERR_INVALID for
 *	truncated, surplus or malformed data; the message needs no finish.
 */
bsh_error_t bsh_message_decode(bsh_message_t *message, const char *data,
			       size_t size_bytes);
void bsh_message_finish(bsh_message_t *message);

/* bsh_message_name - "HELLO", "CONFIG", ...; "?" outside the list. */
const char *bsh_message_name(bsh_message_type_t type);

#endif
