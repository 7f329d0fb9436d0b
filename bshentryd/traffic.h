#ifndef BSHENTRYD_TRAFFIC_H
#define BSHENTRYD_TRAFFIC_H

/*
 * NAME
 *	traffic - request queue, routing and retries in the traffic thread
 *
 * DESCRIPTION
 *	A request is matched to a route, and is sent to a target or queued
 *	until a target holds its model.  traffic.c owns the requests and
 *	drives them; waiting.c decides what those do that no target takes; target_pick.c chooses targets and retry.c decides on
 *	retries; attempts.c has the one or two attempts of a request that run
 *	at a time, forward.c runs one of them and reports its outcome through
 *	attempts_ended(); demand.c counts the demand for models, engine_load.c
 *	the load of engines; target_end.c notices when the process of a target
 *	has ended, and suspects.c keeps the requests that were there; notices.c
 *	keeps what targets say of themselves; request_log.c logs and counts.
 *
 *	A target that sends nothing may be down, or may pause and go on.  A
 *	repeatable request is then handed over: it is sent to a second target
 *	while the first attempt goes on, and the attempt that sends something
 *	first continues the response.  The first attempt is given up earlier
 *	only if it stays silent for much longer than a target may pause, and
 *	the second target has the request and has not refused it.
 *
 * UNITS
 *	Times named *_us are microseconds on the clock of the traffic loop.
 */

#include "coordination/account_access.h"
#include "coordination/confirmation.h"
#include "coordination/fair_order.h"
#include "coordination/load_table.h"
#include "coordination/memory_budget.h"
#include "coordination/place_hold.h"
#include "coordination/prefill.h"
#include "coordination/quarantine.h"
#include "coordination/reach.h"
#include "coordination/retry_budget.h"
#include "coordination/service_pressure.h"
#include "coordination/run_time.h"
#include "coordination/stream_table.h"
#include "coordination/target_choice.h"
#include "coordination/target_limit.h"
#include "coordination/target_notice.h"
#include "account_limits.h"
#include "entry.h"
#include "pace.h"
#include "platform/target_client.h"
#include "protocol/event_relay.h"
#include "protocol/message.h"
#include "protocol/request_info.h"

/* Targets that one request may try between two waits for a model.  Until the
 * next wait it is not sent again to a target that it has tried. */
#define TRIED_MAX 6
/* A stream of which the caller has a part asks so many targets at most. */
#define TRIED_BEGUN_MAX 32

/* Retry-After while draining: another instance can serve the caller at once. */
#define RETRY_ELSEWHERE_MS 20

/* Retry-After without an estimate. */
#define RETRY_DEFAULT_MS 300
/* Least time that a request needs at a target, apart from the wait. */
#define RUN_MIN_US INT64_C(60000)

/* The parts of its prompt that other requests share, all but the last one, and
 * the request as a whole. */
#define SUSPECT_KEYS_MAX BSH_PROMPT_PARTS_MAX

typedef struct request request_t;
typedef struct service_state service_state_t; /* of places.c */

typedef struct {
	bsh_target_record_t record;
	char id[BSH_NAME_SIZE];
	uint32_t key;	       /* low bits of the hash of the id, in LOAD */
	uint64_t last_view;    /* number of the last view with the target */
	uint64_t software_key; /* version in that view */
	uint64_t started_ms;   /* of its process in that view; 0: unknown */
	bsh_target_limit_t limit;
	int64_t limit_reported_us; /* to the control thread */
	bsh_target_notice_t notice;
	int64_t rejections_max; /* a second, named in its last answer; or -1 */
	service_state_t *service; /* NULL: it is an instance */
	uint32_t slots;		  /* requests that it runs at a time */
	bsh_place_hold_t hold;
	int64_t rejected_us; /* last rejection for want of room; 0: none */
	/* The process with this start time refused a connection at refused_us:
	 * it has ended, and with it what it held.  0: none. */
	uint64_t refused_started_ms;
	int64_t refused_us;
	/* The same, until it is known whether this instance is cut off. */
	bool refusal_pending;
	uint64_t refusal_started_ms;
	pace_target_t pace;
} target_state_t;

/* Demand for one model or adapter, in requests. */
typedef struct {
	uint32_t arrived; /* since the last report */
	uint32_t running;
	uint32_t waiting;
} model_demand_t;

struct traffic {
	entry_t *entry;
	bsh_loop_t *loop;
	bsh_http_client_t *client;
	bsh_http_server_t *server;
	view_t *view; /* NULL until the first configuration */
	uint64_t view_number;
	GHashTable *targets; /* id to target_state_t */
	/* Targets that have left the view: id to bsh_target_notice_t. */
	GHashTable *notices;
	bsh_prefill_t prefill;
	pace_t pace;
	GHashTable *demand;   /* model and adapter to model_demand_t */
	GHashTable *services; /* name to service_state_t */
	bsh_loop_timer_t places_timer;
	bsh_loop_task_t places_task;
	GHashTable *budgets;	    /* service to bsh_retry_budget_t */
	bsh_stream_table_t streams; /* that this instance forwards */
	GArray *new_streams; /* bsh_stream_record_t, not yet sent to others */
	/* Keys of the services of which streams have no record elsewhere. */
	GHashTable *unrecorded;
	GHashTable *ends; /* key of a process to end_t, of target_end.c */
	bsh_quarantine_t quarantine; /* of all instances */
	GHashTable *isolated;	     /* key to the request_t that is sent */
	GHashTable *probes; /* quarantined keys for which one is sent */
	bsh_loop_task_t recheck_task;
	bsh_reach_t reach;
	GPtrArray *reach_checks; /* check_t, of reach.c */
	GHashTable *peers;	 /* instance to target_state_t, of relays.c */
	bsh_loop_timer_t reach_timer;
	/* The configuration of the view was certainly the newest one then, on
	 * CLOCK_BOOTTIME; 0: never. */
	int64_t config_proof_us;
	/* The same as heard of, on the clock of the loops. */
	bsh_confirmation_t config_confirmation;
	account_limits_t account_limits;
	bsh_fair_order_t fair_order;
	bsh_memory_budget_t memory;
	bsh_loop_timer_t accounts_timer; /* reports */
	bsh_loop_task_t streams_task;
	/* bsh_target_candidate_t, scratch of choose_target(). */
	GArray *candidates;
	GPtrArray *candidate_targets; /* view_target_t, same order */
	GQueue waiting;		      /* request_t, in order of queueing */
	bsh_loop_timer_t demand_timer;
	bsh_loop_timer_t quit_timer;
	bsh_loop_timer_t upload_timer; /* while draining */
	bool demand_urgent;	       /* a report is due without delay */
	int64_t load_reported_us;      /* last report of the load */
	bsh_loop_timer_t abort_timer;  /* at abort_at_us */
	bool draining;
	int64_t drain_began_us;
	int64_t abort_at_us; /* when the drain aborts the remaining requests */
	GHashTable *run_times; /* route to bsh_run_time_t */
	GQueue requests;       /* request_t, all */
};

typedef enum {
	REQUEST_WAITING, /* queued for a target that can serve it */
	REQUEST_RUNNING, /* sent to a target */
	REQUEST_ENDED	 /* also before the first dispatch */
} request_state_t;

/* Outcome of an attempt. */
typedef enum {
	ATTEMPT_ANSWERED,    /* the complete response was passed on */
	ATTEMPT_NOT_REACHED, /* nothing was sent */
	ATTEMPT_WITHHELD,    /* not sent, as the caller no longer waits */
	ATTEMPT_REFUSED,     /* the target confirmed that it did not run */
	ATTEMPT_FAILED,	     /* complete 5xx response; passed on if final */
	ATTEMPT_BROKEN,	     /* no complete or no valid response */
	ATTEMPT_CANCELLED    /* by this instance, the target is not at fault */
} attempt_end_t;

/* An attempt of a request at a target. */
typedef struct {
	request_t *request;
	bool active;		       /* started and not ended */
	bool at_peer;		       /* the target is an instance */
	target_state_t *target;	       /* NULL unless active */
	char target_id[BSH_NAME_SIZE]; /* "": never started */
	uint64_t target_started_ms;
	/* Version of the target when it was sent. */
	char software[BSH_SOFTWARE_SIZE];
	uint64_t software_key;
	uint32_t open;	/* of this instance at the target, itself included */
	double work_us; /* estimated prefill, until the answer begins */
	double expected_us; /* estimated time to the first byte; 0: none */
	uint32_t uncached_tokens; /* of the prompt, by the estimate */
	bsh_http_call_t *call;	  /* NULL: no call is running */
	bool sent;		  /* a byte may have reached the target */
	bool withheld;		  /* not sent, as the caller no longer waits */
	bool refused;		  /* the connection was refused */
	int64_t began_us;
	platform_head_t head;
	int status;
	bool head_received;
	int64_t spoke_us;   /* first byte, of a stream: first event; 0: none */
	bool cleared;	    /* suspects_clear() was called */
	GString *held_body; /* buffered until the response is complete */
	int64_t body_bytes; /* received */
} attempt_t;

struct request {
	traffic_t *traffic;
	bsh_http_request_t *http;
	bsh_request_info_t info;
	bsh_catalog_t *catalog; /* reference; owns route and service */
	const bsh_route_rule_t *route;
	const bsh_service_rule_t *service;
	/* By the configuration in force at the last check of its key. */
	bool has_accounts;	     /* of the configuration */
	char account[BSH_NAME_SIZE]; /* "": none */
	uint32_t priority;	     /* of the account, or of the route */
	/* What it counts of the limit of an account, until it is known whether it
	 * has run; 0: nothing. */
	uint32_t charged;
	uint32_t charged_account; /* hash of the name; 0: none */
	double fair_tag; /* among waiting requests of accounts; 0: none */
	int64_t arrived_boot_us; /* CLOCK_BOOTTIME */
	char *method;
	char *path; /* with the query */
	char *body;
	size_t body_bytes;
	size_t held_bytes; /* accounted for it */
	bool repeatable;   /* may run more than once */
	bool is_stream;
	int64_t arrived_us;
	int64_t client_deadline_us; /* INT64_MAX: none */
	int64_t timeout_us;	    /* when the route's timeout ends */
	/* When the caller of a stream disconnects if no further event has
	 * arrived; INT64_MAX: never. */
	int64_t stream_deadline_us;
	int64_t patience_us; /* longest time without an event for its caller */
	bsh_loop_timer_t timer; /* client deadline or timeout_us, the earlier */
	request_state_t state;
	GList link; /* in traffic.requests */
	/* When it was last taken by an instance that is being stopped: how long
	 * requests of its route last, -1: not known, and how many that rests
	 * on. */
	int64_t expected_us;
	uint32_t expected_from;
	int64_t wait_began_us; /* of the current wait */
	int64_t waited_us;     /* sum of the earlier waits */
	bool wait_logged;
	bool wait_counted;     /* as demand for its model */
	int64_t late_since_us; /* estimate over the deadline since; 0: is not */
	/* Stream: key, and version to which it is bound; 0: no event yet. */
	uint64_t stream;
	uint64_t software;
	bool awaits_software; /* other instances are asked for the version */
	uint32_t candidates;  /* number of targets at the last choice */
	/* Target left out at the last choice for its limit that takes a request
	 * first, and the time until then; NULL: none. */
	target_state_t *limited_by;
	int64_t limit_wait_us;
	/* Least time until the end of the pause of a target that was left out at
	 * the last choice; 0: none was. */
	int64_t pause_wait_us;
	/* Target at which the request waits for a place; NULL: none. */
	target_state_t *wants;
	bool asks_place;	  /* for it, and has no answer yet */
	uint32_t place_turns;	  /* targets that were asked for one */
	const char *retry_denial; /* logged reason for no retry; "-": none */
	GList wait_link;	  /* in traffic.waiting */

	/* Attempts. */
	uint64_t tried[TRIED_BEGUN_MAX]; /* hashes of target ids */
	uint32_t n_tried;
	uint32_t sends;	   /* attempts that reached a target and have ended */
	uint32_t runs;	   /* of these, those that may have run */
	bool may_have_run; /* some attempt has no proof that it did not run */
	/* From an instance that reaches no target; sends includes its own. */
	bool from_peer;
	uint64_t peer_version; /* of that one's configuration; 0: not named */
	attempt_t attempts[2];
	attempt_t *attempt;  /* whose response is passed on; the last one */
	attempt_t *handover; /* at a second target; NULL: none */
	bool cancelled; /* this instance ended the last attempt as it ran */
	bsh_loop_timer_t handover_timer;
	bsh_loop_timer_t inactivity_timer;
	int64_t last_active_us; /* last send, or last events from the target */
	/* A stream of which the caller has a part waits for the retry budget,
	 * too, before it is sent again. */
	bool awaits_budget;
	int64_t resume_us; /* while it waits: not sent again before */
	uint32_t refusals; /* by targets that were to continue it */
	/* Computed when they are first needed. */
	uint64_t suspect_keys[SUSPECT_KEYS_MAX];
	uint32_t n_suspect_keys;
	const bsh_service_rule_t *suspect_service; /* that they are for */
	/* Keys for which requests are sent one at a time. */
	uint64_t isolated[SUSPECT_KEYS_MAX];
	uint32_t n_isolated;
	int64_t held_since_us; /* for such a key; 0: was not held */
	/* Wait for the others that may send an isolated request first, from
	 * turn_since_us on; 0: a target is not known yet. */
	int64_t turn_us;
	int64_t turn_since_us;
	/* Until then it is not known whether a process ended under it. */
	int64_t verdict_us;

	/* Response. */
	int status;	   /* passed to the caller */
	bool answer_begun; /* the head was passed to the caller */
	bool paused;	   /* reading from the target waits for the caller */
	GString *events;   /* complete events, scratch of one read */
	bsh_event_relay_t relay;
	int64_t first_byte_us;
	bool detached;	    /* on_done was called: http must not be used */
	bool refused_early; /* its caller was told, and may still be sending */
};

/* What may be to blame if a process ends under an attempt. */
typedef struct {
	int64_t sent_us; /* when the attempt was sent */
	uint32_t n;
	uint64_t keys[SUSPECT_KEYS_MAX]; /* coordination/suspect_key.h */
} suspects_t;

typedef enum {
	END_ANSWERED,
	END_FAILED,
	END_REFUSED,
	END_UNKNOWN,
	END_GONE,
	END_NO_ROUTE,
	ENDS
} request_end_t;

/* traffic.c */
/* traffic_attempt_ended - finish, retry or fail a request after its last
 * attempt; the attempt is closed. */
void traffic_attempt_ended(request_t *r, attempt_end_t end, bsh_error_t err);
/* traffic_resume_is_due - timer: try again to continue a stream that waits. */
void traffic_resume_is_due(request_t *r);
/* traffic_unknown_error - why a route, model or adapter that the configuration in
 * force lacks is refused: BSH_ERR_NOT_FOUND, which is final for the caller, or
 * BSH_ERR_STALE_CONFIG while a newer configuration may have it. */
bsh_error_t traffic_unknown_error(const traffic_t *t);
/* traffic_is_begun_stream - the caller has a part of a stream that another
 * target can continue. */
bool traffic_is_begun_stream(const request_t *r);
int64_t traffic_now_us(const traffic_t *traffic);
/* traffic_time_left_us - time until the caller no longer waits. */
int64_t traffic_time_left_us(const request_t *r);

/* traffic_fail - end the request with a problem document, or abort the response
 * if it has begun; retry_ms: Retry-After, -1: none. */
void traffic_fail(request_t *r, bsh_error_t err, int64_t retry_ms);
/* traffic_retry_waiting - look for targets for all waiting requests. */
void traffic_retry_waiting(traffic_t *t);

/* traffic_set_state - change the state of a request, and the counts of its
 * model. */
void traffic_set_state(request_t *r, request_state_t state);

/* traffic_waiting - the waiting requests, the most urgent first; to be freed. */
GPtrArray *traffic_waiting(const traffic_t *t);

/* waiting.c */
/* waiting_or_fail - no usable target can take the request now: it waits, or is
 * refused at once if it cannot be served in time. */
void waiting_or_fail(request_t *r);
typedef enum {
	WAITS_FOR_NOTHING,
	WAITS_FOR_MODEL,
	WAITS_FOR_VERSION, /* of software, that began its stream */
	WAITS_FOR_LIMIT,
	WAITS_FOR_PAUSE
} waits_for_t;
/* What becomes of a request that no usable target can take now. */
typedef struct {
	bsh_error_t err;	   /* it is refused; BSH_OK: it waits */
	int64_t retry_ms;	   /* unless a limit or a pause keeps it away */
	waits_for_t waits_for;	   /* also if that is too late for it */
	const view_ready_t *ready; /* of its model; NULL: no estimate */
} outlook_t;
/* waiting_outlook - what waiting_or_fail() would do with a request of which the
 * caller has nothing yet; changes nothing but times of the request. */
void waiting_outlook(request_t *r, outlook_t *outlook);
/* waiting_resume_later - a stream of which the caller has a part looks for a
 * target again after a while. */
void waiting_resume_later(request_t *r);
/* waiting_pause_resume - the same after a target has refused to continue it. */
void waiting_pause_resume(request_t *r);
/* waiting_for_place - the request waits for a place at a target. */
void waiting_for_place(request_t *r);
/* waiting_hold - look at a waiting request again only after this time. */
void waiting_hold(request_t *r, int64_t wait_us);

/* answer.c */
/* answer_problem - answer with the problem document of the error; retry_ms:
 * Retry-After, -1: none. */
void answer_problem(request_t *r, bsh_error_t err, int64_t retry_ms);

/* drain.c: traffic_drain() and traffic_quit() of entry.h. */
void drain_init(traffic_t *t);
void drain_finish(traffic_t *t);
/* drain_note_run - a request has ended. */
void drain_note_run(const request_t *r);
/* drain_takes - false if this instance is being stopped and is not to send the
 * request after wait_us: it is refused, or ended if it may have run. */
bool drain_takes(request_t *r, int64_t wait_us);
/* drain_takes_upload - the same for a request of which only the head was
 * received. */
bool drain_takes_upload(const traffic_t *t, const bsh_http_request_t *http);
/* drain_log_cut - log what was known of a request, whose response was cut, when
 * it was taken. */
void drain_log_cut(const request_t *r);

/* memory.c */
/* memory_init - the budget of what is held for callers; sets the part of the
 * server's configuration that is bounded by it. */
void memory_init(traffic_t *t, bsh_http_server_config_t *config);
/* memory_refresh - set the metrics, and hand freed memory back. */
void memory_refresh(traffic_t *t);
/* memory_request_taken, memory_request_freed - a request has its body. */
void memory_request_taken(request_t *r);
void memory_request_freed(const request_t *r);
/* memory_held_changed - the bytes of a response that are held back have grown, or
 * shrunk. */
void memory_held_changed(traffic_t *t, int64_t bytes);
/* traffic_refuse_upload - answer a request of which the body is not whole. */
void traffic_refuse_upload(traffic_t *t, bsh_http_request_t *http,
			   bsh_error_t err);

/* accounts.c */
void accounts_init(traffic_t *t);
void accounts_finish(traffic_t *t);
/* accounts_now_us - CLOCK_BOOTTIME now. */
int64_t accounts_now_us(void);
/* accounts_check - whether the request may be sent now, by the configuration in
 * force: BSH_OK or why not, and when its caller may come back (-1: it is not
 * told).  Sets its account and priority; a request whose key has moved to another
 * account is charged to that one instead. */
bsh_error_t accounts_check(request_t *r, int64_t *retry_ms);
/* accounts_are_unchanged - the last accounts_check() would end as it did. */
bool accounts_are_unchanged(request_t *r);
/* accounts_access - the same decision for a key that is known or not; counts and
 * logs nothing. */
bsh_access_t accounts_access(const request_t *r, bool key_known);
/* accounts_admit - false if the request exceeds the limit of its account; its
 * caller may come back after *retry_ms. */
bool accounts_admit(request_t *r, int64_t *retry_ms);
/* accounts_sent - the request is sent to a target. */
void accounts_sent(const request_t *r);
/* accounts_settle - the request has ended: what has not run is given back. */
void accounts_settle(request_t *r);

/* request_log.c */
void request_log_register(void);
/* request_log_begin - count a request that was read. */
void request_log_begin(void);
/* request_log_end - log and count the end of a request. */
void request_log_end(const request_t *r, request_end_t end, int status,
		     const char *reason);
/* request_log_wait - log that a request waits, once for each request; ready is
 * NULL without an estimate. */
void request_log_wait(request_t *r, const view_ready_t *ready);
/* request_log_cut - log that a response that has begun is cut off: the caller
 * gets neither a complete answer nor a refusal.  cause: why, before err was
 * chosen by what may have run. */
void request_log_cut(const request_t *r, bsh_error_t err, bsh_error_t cause);
/* request_log_silence - log what is done about a target that sends nothing. */
void request_log_silence(const request_t *r, const char *action);
/* request_log_attempt - log an attempt that did not answer the request. */
void request_log_attempt(const attempt_t *a, attempt_end_t end, bsh_error_t err,
			 bool again);

/* target_pick.c */
/* target_pick - the best target that can serve the request and was not tried,
 * or NULL; *chosen, unless NULL, is what was known of it. */
const view_target_t *target_pick(request_t *r, bsh_target_candidate_t *chosen);
/* Why a target is no candidate. */
typedef enum {
	PICK_CANDIDATE,
	PICK_OTHER_SERVICE,
	PICK_OTHER_SOFTWARE, /* than began the stream */
	PICK_NO_MODEL,
	PICK_ENDED, /* its process has refused a connection */
	PICK_LEFT,  /* it said that it leaves, and its drain time is over */
	PICK_PAUSED,
	PICK_LIMITED
} pick_t;
/* What is known of a target for a request. */
typedef struct {
	const view_target_t *target;
	target_state_t state; /* a copy */
	pick_t pick;
	bool holds_model;
	bsh_target_candidate_t candidate; /* its record is that of the copy */
	double expected_us; /* time to the first byte; -1: no candidate */
} pick_finding_t;
/* target_pick_survey - what target_pick() would choose for a new request, and what
 * it goes by: an array of pick_finding_t, which is to be freed.  Changes nothing
 * but the request, which may then refer to a copied state. */
GPtrArray *target_pick_survey(request_t *r, pick_finding_t **chosen);
/* target_pick_was_tried - true if the request was sent to the target or instance
 * with this hash. */
bool target_pick_was_tried(const request_t *r, uint64_t hash);
/* target_pick_state - the state of a target, created if needed. */
target_state_t *target_pick_state(traffic_t *t, const char *id);
/* target_pick_view_changed - drop the states of targets that are not in the new
 * view and have no request. */
void target_pick_view_changed(traffic_t *t);

/* relays.c */
typedef enum {
	RELAY_NONE,	  /* the request is not passed on */
	RELAY_NOT_LISTED, /* the next view names the instances */
	RELAY_PEER
} relay_t;

void relays_init(traffic_t *t);
void relays_finish(traffic_t *t);
/* relays_choose - whether the request is passed on to another instance, and to
 * which one. */
relay_t relays_choose(const request_t *r, const bsh_relay_peer_t **peer);
/* relays_mark - the header of a request that is passed on.  key: digest of the
 * key that goes along; NULL: none. */
void relays_mark(const request_t *r, const char *key, char *text,
		 uint32_t text_size);
/* relays_sent - log and count a request that is passed on. */
void relays_sent(const attempt_t *a);
/* relays_receive - notice that a request comes from another instance. */
void relays_receive(request_t *r);
/* relays_peer_state - what is known of an instance; created if needed. */
target_state_t *relays_peer_state(traffic_t *t, const char *name);
void relays_view_changed(traffic_t *t);

/* retry.c */
void retry_register(void);
/* retry_is_allowed - true if a request with this many sends may be sent again;
 * takes a token from the retry budget then.  Sets r->retry_denial. */
bool retry_is_allowed(request_t *r, uint32_t sends);
/* retry_count_request - a new request raises the retry budget. */
void retry_count_request(request_t *r);
/* retry_count - the request is sent again. */
void retry_count(void);
/* retry_update_gauge - set bsh_retry_budget_left. */
void retry_update_gauge(traffic_t *t);

/* demand.c */
/* demand_is_counted - true if the request names a model of an engine. */
bool demand_is_counted(const request_t *r);
/* demand_counters - counters of the request's model, created if needed. */
model_demand_t *demand_counters(traffic_t *t, const request_t *r);
/* demand_send - timer: report to the control thread and restart the timer. */
void demand_send(void *traffic);
/* demand_send_soon - report before the end of the interval, as a request has
 * begun to wait. */
void demand_send_soon(traffic_t *t);

/* engine_load.c */
/* engine_load_work - estimate what the request takes of an engine; all 0 for a
 * plain service. */
void engine_load_work(const request_t *r, bsh_target_work_t *work);
/* engine_load_started - an attempt at the target of the candidate begins. */
void engine_load_started(attempt_t *a, const bsh_target_candidate_t *candidate);
/* engine_load_began - the answer has begun: its work is done, and its time is a
 * sample of the target's speed. */
void engine_load_began(attempt_t *a, int64_t took_us);
/* engine_load_ended - the attempt has ended, perhaps before its answer. */
void engine_load_ended(attempt_t *a);
/* engine_load_collect - what this instance has open at the engines, as
 * bsh_load_entry_t; notes it as reported. */
GArray *engine_load_collect(traffic_t *t);

/* engine_load_refused - keys of the engines whose processes have ended, to be
 * reported now; NULL: none. */
GArray *engine_load_refused(traffic_t *t);
/* engine_load_has_ended - the target's process has refused a connection, and
 * the list still shows that process. */
bool engine_load_has_ended(const target_state_t *state, uint64_t started_ms,
			   int64_t now_us);

/* stream_origin.c */
void stream_origin_init(traffic_t *t);
void stream_origin_finish(traffic_t *t);
/* stream_origin_bind - an event of the attempt is about to be passed on: the
 * stream is bound to the version of its target unless it is bound already.
 * False: the target may have another version than the stream. */
bool stream_origin_bind(request_t *r, const attempt_t *a);
/* stream_origin_find - bind a stream that a caller resumes to the version that
 * began it.  False: other instances are asked for it, and the request waits for
 * stream_origin_answer(). */
bool stream_origin_find(request_t *r);
/* stream_origin_answer - true if the request has waited for this answer. */
bool stream_origin_answer(request_t *r, const traffic_stream_msg_t *answer);
/* stream_origin_serves - false if the request is bound to a version of which no
 * target serves, or it is not certain that the listed ones do.  A request whose
 * route has several services gets the one with the version. */
bool stream_origin_serves(request_t *r);
/* stream_origin_may_move - false if the versions that this instance knows of
 * targets may be out of date, and the request is bound to one. */
bool stream_origin_may_move(const request_t *r);
/* stream_origin_is_constrained - the request is bound to a version, and other
 * versions serve beside it. */
bool stream_origin_is_constrained(const request_t *r);
/* stream_origin_view_changed - before: the view that was replaced, or NULL. */
void stream_origin_view_changed(traffic_t *t, const view_t *before);
/* stream_origin_check - send the records that only this instance has, if others
 * may no longer know the versions of these streams without them. */
void stream_origin_check(traffic_t *t);
/* stream_origin_send - task: send new records to other instances. */
void stream_origin_send(void *traffic);

/* target_end.c */
void target_end_init(traffic_t *t);
void target_end_finish(traffic_t *t);
/* target_end_attempt_cut - the connection of an attempt was lost after it was
 * sent.  Whether the target's process has ended is found out by a connection to
 * it; nothing is sent there. */
void target_end_attempt_cut(attempt_t *a);
/* target_end_refused - a process has refused a connection: it has ended, unless
 * this instance reaches no target at all. */
void target_end_refused(traffic_t *t, target_state_t *state,
			uint64_t started_ms);
/* target_end_judge - refusals so far are those of targets, or show nothing, as
 * this instance is cut off. */
void target_end_judge(traffic_t *t, bool is_reached);
/* target_end_view_changed - targets may have other processes than before. */
void target_end_view_changed(traffic_t *t);

/* target_end_verify - a response without a length has ended with its connection,
 * and its request has an accused part: clears it if the process lives. */
void target_end_verify(attempt_t *a);

/* reach.c */
void reach_init(traffic_t *t);
void reach_finish(traffic_t *t);
/* reach_failed - a connection to a target was lost or could not be made: finds
 * out whether this instance reaches any, and calls target_end_judge() then. */
void reach_failed(traffic_t *t);
/* reach_is_certain - another target has just accepted a connection. */
bool reach_is_certain(const traffic_t *t);
/* reach_is_cut - no target can be connected to. */
bool reach_is_cut(const traffic_t *t);

/* suspects.c */
typedef enum {
	SUSPECT_NONE,	 /* may be sent; alone if r->n_isolated is not 0 */
	SUSPECT_HELD,	 /* must wait for the end of another request */
	SUSPECT_EXPIRED, /* has waited for too long */
	SUSPECT_QUARANTINED
} suspect_t;

void suspects_init(traffic_t *t);
void suspects_finish(traffic_t *t);
/* suspects_check - whether the request may be sent. */
suspect_t suspects_check(request_t *r);
/* suspects_has_turn - a target was found for the request: false if other instances
 * are to send an isolated one first. */
bool suspects_has_turn(request_t *r);
/* suspects_sent - the request is sent to a target: others with its isolated
 * keys have to wait. */
void suspects_sent(request_t *r);
void suspects_release(const request_t *r);
/* suspects_await_verdict - the connection to a target was lost while the answer
 * was beginning: an accused request is not repeated at once. */
void suspects_await_verdict(request_t *r);
bool suspects_are_accused(request_t *r);
/* suspects_risk_second - a second process would be at risk if the request were
 * handed over. */
bool suspects_risk_second(request_t *r);
/* suspects_of - what may be to blame if a process ends under the attempt. */
void suspects_of(const attempt_t *a, suspects_t *suspects);
/* suspects_accuse - an attempt was beginning at a process when it ended. */
void suspects_accuse(traffic_t *t, const suspects_t *suspects, uint64_t process,
		     int64_t end_us);
/* suspects_clear - the answer to an attempt is past its beginning. */
void suspects_clear(traffic_t *t, const suspects_t *suspects);

/* limits.c */
void limits_register(void);
/* limits_note_answer - the head of a response of the attempt's target was
 * received: it names a limit, or none. */
void limits_note_answer(attempt_t *a);
/* limits_wait_us - time until the target's process takes a request of this
 * instance, 0: now, INT64_MAX: other instances use it. */
int64_t limits_wait_us(const traffic_t *t, target_state_t *state,
		       uint64_t started_ms);
/* limits_take - an attempt is sent. */
void limits_take(const attempt_t *a);
/* limits_may_wait - the limit lets the request pass within its latency
 * objective. */
bool limits_may_wait(const request_t *r);
/* limits_retry_ms - Retry-After of a request that only a limit keeps away; each
 * one is given a later time. */
int64_t limits_retry_ms(request_t *r);

/* places.c: traffic_set_places() of entry.h. */
void places_init(traffic_t *t);
void places_finish(traffic_t *t);
/* places_set_target - the state of a target in a new view. */
void places_set_target(traffic_t *t, target_state_t *state,
		       const view_target_t *target);
/* places_note_answer - the head of a response of the attempt's target was
 * received. */
void places_note_answer(attempt_t *a);
/* places_are_brittle - the targets of the service may end under rejections. */
bool places_are_brittle(const traffic_t *t, const target_state_t *state);
/* places_are_counted - a request to the target needs a place. */
bool places_are_counted(const traffic_t *t, const target_state_t *state);
/* places_are_free - a request may be sent to the target now. */
bool places_are_free(const traffic_t *t, target_state_t *state);
/* places_delay_us - expected wait for a place at the target. */
int64_t places_delay_us(const traffic_t *t, target_state_t *state);
typedef enum {
	PLACE_FREE, /* the request may be sent */
	PLACE_WAIT, /* it waits for a place */
	PLACE_NONE  /* none is expected within its latency objective */
} place_t;

/* places_claim - whether the request may be sent to the target now. */
place_t places_claim(request_t *r, const view_target_t *target);
/* places_unwant - the request waits for no place any more. */
void places_unwant(request_t *r);
/* places_retry_ms - Retry-After of a request for which the target, the one with
 * the shortest wait, has no place. */
int64_t places_retry_ms(const request_t *r, const view_target_t *target);
/* places_recheck_us - time after which a waiting request looks for another
 * target. */
int64_t places_recheck_us(void);
/* places_released - an attempt has ended, and its target's record knows it. */
void places_released(attempt_t *a, bool cancelled);

/* notices.c */
/* notices_note_answer - the head of a response of the attempt's target was
 * received. */
void notices_note_answer(const attempt_t *a);
/* notices_is_leaving - the target's process has said that it leaves: it is used
 * only if no other target is usable. */
bool notices_is_leaving(const target_state_t *state, uint64_t started_ms);
/* notices_forbid - nothing may be sent to the target's process. */
bool notices_forbid(const traffic_t *t, const target_state_t *state,
		    uint64_t started_ms);
/* notices_are_paused - the target's process wants no request at present; keeps
 * the least wait in r->pause_wait_us. */
bool notices_are_paused(request_t *r, const target_state_t *state,
			uint64_t started_ms);
/* notices_may_wait - the first pause ends within its latency objective. */
bool notices_may_wait(const request_t *r);
/* notices_retry_ms - Retry-After of a request that only pauses keep away. */
int64_t notices_retry_ms(const request_t *r);

/* attempts.c */
void attempts_init(request_t *r);
void attempts_finish(request_t *r);
/* attempts_pass_on - send the request to another instance; no attempt is
 * active. */
void attempts_pass_on(request_t *r, const bsh_relay_peer_t *peer);
/* attempts_send - send the request to a target; no attempt is active. */
void attempts_send(request_t *r, const view_target_t *target,
		   const bsh_target_candidate_t *candidate);
/* attempts_ended - an attempt has ended by itself; its call has, too. */
void attempts_ended(attempt_t *a, attempt_end_t end, bsh_error_t err);
/* attempts_abort - cancel an attempt whose response cannot be used. */
void attempts_abort(attempt_t *a, bsh_error_t err);
/* attempts_spoke - the attempt has sent a part of its response: it becomes the
 * one that continues the response, and a second one is cancelled. */
void attempts_spoke(attempt_t *a);
/* attempts_cancel_all - cancel what runs.  A target that has answered nothing
 * within the inactivity timeout counts as failed, and so does one without a
 * response head if the request has timed out. */
void attempts_cancel_all(request_t *r, bool timed_out);

/* forward.c */
/* forward_start - start an attempt; on an error none of its callbacks runs. */
bsh_error_t forward_start(attempt_t *a, const char *address);
/* forward_cancel - close the connection to the target. */
void forward_cancel(attempt_t *a);
/* forward_drop_held - drop what is held back of its response. */
void forward_drop_held(attempt_t *a);
/* forward_answer_failure - pass on the 5xx response of the target. */
void forward_answer_failure(attempt_t *a);
/* forward_resume - read from the target again after the caller caught up. */
void forward_resume(request_t *r);
/* forward_is_abandoned - the caller has disconnected or its deadline has passed:
 * nothing may be sent for the request. */
bool forward_is_abandoned(const request_t *r);
/* forward_time_left_ms - time until the deadline or timeout, at least 1. */
uint32_t forward_time_left_ms(const request_t *r);

#endif
