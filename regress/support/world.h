#ifndef BSH_SUPPORT_WORLD_H
#define BSH_SUPPORT_WORLD_H

/*
 * NAME
 *	world - simulated environment of the routers, with fault injection
 *
 * DESCRIPTION
 *	Discrete-event simulation under the virtual clock of support/sim.h.
 *	It fakes callers, targets, network, platform list, store and the
 *	controller's answers to NEED, and injects faults into them.  The
 *	routers are an adapter_t: either berylshunt's modules
 *	(berylshunt_adapter) or the naive version that the proofs compare
 *	them with.  The fakes keep their own records (calls executed, chunks
 *	received, times of answers), and violations are counted from these
 *	only.
 *
 * OWNERSHIP
 *	The world owns submissions, connections and store objects until
 *	world_finish().  Data passed to an adapter is valid during the call,
 *	except submissions and connections.
 *
 * THREADS
 *	Single-threaded.
 *
 * UNITS
 *	Times are virtual microseconds; 0 means not yet, unless noted.
 *	Routers, targets and models are named by their index.
 */

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "coordination/attempt.h"
#include "coordination/journal.h"
#include "support/sim.h"

#define WORLD_ROUTERS 3
#define WORLD_TARGETS 9 /* 0-3 chat, 4-5 cold, 6-8 deposits */
#define WORLD_MODELS  3 /* chat, cold (not loaded at first), deposits */
#define WORLD_END_US  (110 * SIM_S)

/* Classes of faults, a bit mask.  A fault strikes some of the events while it
 * is active. */
enum {
	FAULT_SILENT = 1 << 0,	     /* target stops sending for good */
	FAULT_LATE = 1 << 1,	     /* late, on a newer connection */
	FAULT_CROSSED = 1 << 2,	     /* two connections' answers swapped */
	FAULT_BREAK = 1 << 3,	     /* connection lost in the answer */
	FAULT_KILL = 1 << 4,	     /* target killed and restarted */
	FAULT_CUT = 1 << 5,	     /* no connection, or answer lost */
	FAULT_REFUSE = 1 << 6,	     /* engine refuses with status 429 */
	FAULT_SLOW_LOAD = 1 << 7,    /* weight store slow */
	FAULT_NO_CONTROL = 1 << 8,   /* controller does not answer NEED */
	FAULT_NO_LOAD = 1 << 9,	     /* NEED refused, weight store down */
	FAULT_STORE_DOWN = 1 << 10,  /* every store call fails */
	FAULT_STORE_LOST = 1 << 11,  /* responses of store writes lost */
	FAULT_STORE_SLOW = 1 << 12,  /* store calls take up to 4 s */
	FAULT_LEAVING = 1 << 13,     /* targets announce leaving */
	FAULT_LIST_LAG = 1 << 14,    /* list lags and repeats old states */
	FAULT_SHUTDOWN = 1 << 15,    /* router receives SIGTERM */
	FAULT_ROUTER_KILL = 1 << 16, /* router killed and replaced */
	FAULT_FREEZE = 1 << 17,	     /* router process pauses */
	FAULT_RACE = 1 << 18,	     /* same key at two routers at once */
	FAULT_OVERLOAD = 1 << 19,    /* half of the requests in a burst */
	FAULT_CALLER_GONE = 1 << 20  /* callers disconnect early */
};

typedef enum {
	KIND_STREAM, /* chat, streamed answer */
	KIND_PLAIN,  /* chat, answer with a length */
	KIND_COLD,   /* for the model that must be loaded first */
	KIND_DEPOSIT /* not repeatable, at most one execution */
} request_kind_t;

struct world;
struct conn;

/* One try of a caller: a request submitted to a router. */
typedef struct submission {
	struct world *world;
	int number; /* index in world_t.submissions */
	int call;   /* the same for all tries with one idempotency key */
	int tries;  /* earlier tries of the call */
	request_kind_t kind;
	bool keyed; /* has an idempotency key */
	int router;
	int64_t submitted_us;
	int64_t deadline_us;
	/* Recorded by the caller. */
	int64_t first_us; /* head of the answer, or its first chunk */
	int64_t ended_us;
	int64_t gone_us;  /* the caller disconnected */
	int ends;	  /* final results received; more than 1: violation */
	int chunks;	  /* received */
	int expected;	  /* chunks of the whole answer */
	bool wrong_chunk; /* received one of another call or out of order */
	bool ok;	  /* ended with BSH_OK */
	bool cut;	  /* the router's process ended first */
	bsh_error_t err;
	bsh_outcome_t outcome;
	uint32_t retry_ms; /* Retry-After of the refusal, 0: none */
	/* Recorded by the targets. */
	int executions;
	/* Time at which the router received a load estimate after the
	 * deadline, or a refusal of the load. */
	int64_t unmeetable_us;
	void *request; /* state of the adapter; NULL: not open */
} submission_t;

/* A part of the body of an answer. */
typedef struct {
	int call;  /* that is answered */
	int index; /* from 0 */
	bool done; /* last chunk of a stream */
} chunk_t;

/* Connection of a router to a target for one request. */
typedef struct conn {
	struct world *world;
	struct conn *next; /* opened before this one */
	submission_t *sub;
	int router;
	uint64_t router_incarnation;
	int target;
	uint64_t target_incarnation;
	char request_id[BSH_ATTEMPT_ID_SIZE];
	struct conn *deliver_to; /* itself unless crossed */
	bool closed;		 /* by the router, or has failed */
	bool sent;		 /* the router has sent the request */
	bool head_delivered;
	bool ended; /* receives no more events */
	int stage;  /* next one */
	/* Stage at which the target stops sending; -1: none. */
	int stop_at;
	/* Stage at which the connection is lost; -1: none. */
	int break_at;
	int64_t late_us;     /* additional delay of the head */
	bsh_request_id_t id; /* set and used by the adapter */
	void *request;	     /* set and used by the adapter */
} conn_t;

/* Implementation of the routers; self is the state of one router process. */
typedef struct {
	const char *name;
	void *(*create)(struct world *w, int router);
	void (*destroy)(void *self);
	/* The adapter ends the request with world_end(). */
	void (*submit)(void *self, submission_t *sub);
	void (*caller_gone)(void *self, submission_t *sub);
	/* The connection is established; false: the router does not send the
	 * request on it. */
	bool (*connected)(void *self, conn_t *conn);
	/* Head, chunk and end of the answer, or loss of the connection. */
	void (*head)(void *self, conn_t *conn, const bsh_answer_head_t *head);
	void (*body)(void *self, conn_t *conn, const chunk_t *chunk);
	void (*end)(void *self, conn_t *conn);
	void (*failed)(void *self, conn_t *conn);
	/* Answer to NEED.  ready_us: estimated time at which the model is
	 * ready; 0: the load is refused, retry after retry_ms. */
	void (*need_answer)(void *self, int model, int64_t ready_us,
			    uint32_t retry_ms);
	/* The model is ready at its targets. */
	void (*ready)(void *self, int model);
	/* Entry of the platform's list. */
	void (*list)(void *self, int target, uint64_t incarnation,
		     bool leaving);
	/* The target is leaving, by a peer's datagram or its own status. */
	void (*leaving_reported)(void *self, int target, uint64_t incarnation);
	/* Result of world_store_read() or, if writing, world_store_write(). */
	void (*store_done)(void *self, uint64_t call, bool writing,
			   bsh_store_status_t status, uint64_t version,
			   const char *value);
	/* SIGTERM: the router drains, then calls world_exit(). */
	void (*terminate)(void *self);
	/* Runs the timers that are due. */
	void (*tick)(void *self);
} adapter_t;

typedef struct {
	uint64_t incarnation;
	bool up;
	bool leaving;
	/* Time at which the first router received that this incarnation is
	 * leaving. */
	int64_t leaving_known_us;
	int running;	   /* requests in execution */
	int late_requests; /* received more than 3 s after leaving_known_us */
	int arrivals;	   /* requests received */
} target_t;

typedef struct {
	void *self; /* state of the adapter, NULL: not running */
	uint64_t incarnation;
	bool alive;
	int64_t frozen_until_us; /* end of a pause of the process */
	/* By incarnation: time from which the platform's list shows it gone.
	 * The last incarnation is neither killed nor frozen. */
	int64_t gone_us[8];
	int64_t terminated_us; /* SIGTERM received */
	int64_t exited_us;     /* exit of the drained process */
	int64_t armed_us;      /* next tick; INT64_MAX: none */
} router_t;

typedef struct world {
	sim_t sim;
	const adapter_t *adapter;
	uint32_t faults; /* mask of those that occur */
	int rounds;	 /* occurrences of each fault */
	int weights[4];	 /* share of each request_kind_t */
	int requests;	 /* calls, that is first tries */
	int64_t span_us; /* period in which the first tries are submitted */
	int64_t fault_duration_max_us;
	int64_t chunk_interval_max_us; /* of streams */
	bool verbose;		       /* print the events to stderr */
	uint32_t active;	       /* mask of the faults active now */
	uint32_t dead_targets;	       /* bit mask: each answer breaks */
	GPtrArray *submissions;
	GArray *executions; /* int, number of executions of each call */
	conn_t *conns;	    /* all connections, the newest first */
	int opened;	    /* number of connections */
	target_t targets[WORLD_TARGETS];
	router_t routers[WORLD_ROUTERS];
	GHashTable *store;     /* name -> object */
	int64_t load_ready_us; /* of the cold model; 0: no load started */
	bool loaded;	       /* the cold model is ready */
} world_t;

/* world_init - set the defaults, which may be changed before world_run(). */
void world_init(world_t *w, const adapter_t *adapter, uint32_t seed,
		uint32_t faults, int rounds);

/* world_run - run one schedule; its records stay until world_finish(). */
void world_run(world_t *w);
void world_finish(world_t *w);

/* For adapters. */

/* world_is_active - true if the fault is active now. */
bool world_is_active(const world_t *w, uint32_t fault);
const char *world_target_name(int target);
const char *world_router_name(int router);
const char *world_model_name(int model);
int world_model_of(request_kind_t kind);

/* world_model_targets - range of targets that serve the model. */
void world_model_targets(int model, int *first, int *count);

/*
 * world_open - connect to the target for this request.  The adapter's
 * connected() is called later; if the connection fails, failed() is called, or
 * nothing if the network loses it.
 */
conn_t *world_open(world_t *w, int router, int target, submission_t *sub,
		   const char *request_id);

/* world_close - the router closes the connection. */
void world_close(conn_t *conn);

/* world_chunk - a chunk of the answer was sent to the caller. */
void world_chunk(submission_t *sub, const chunk_t *chunk);

/* world_head - the head of the answer was sent to the caller. */
void world_head(submission_t *sub);

/* world_end - the caller received the final result. */
void world_end(submission_t *sub, bsh_error_t err, bsh_outcome_t outcome,
	       uint32_t retry_ms);

/* world_need - send NEED for the model to the controller. */
void world_need(world_t *w, int router, int model);

/* world_store_read - read an object.  Ends in store_done() with this call. */
void world_store_read(world_t *w, int router, uint64_t call, const char *name);

/*
 * world_store_write - write an object if its version is still version (0: it
 * does not exist).  Ends in store_done() with this call.
 */
void world_store_write(world_t *w, int router, uint64_t call, const char *name,
		       uint64_t version, const char *value, size_t size);

/* world_is_gone - true if the platform's list shows the incarnation as gone. */
bool world_is_gone(world_t *w, const char *router, uint64_t incarnation);

/* world_exit - the router's process exits after the current event. */
void world_exit(world_t *w, int router);

/* world_arm - call tick() at at_us unless an earlier tick is scheduled. */
void world_arm(world_t *w, int router, int64_t at_us);

extern const adapter_t berylshunt_adapter;
extern const adapter_t naive_adapter;

/* Proof programs. */

/* One row of a proof. */
typedef struct {
	const char *name;
	uint32_t faults; /* mask */
	int rounds;	 /* occurrences of each fault */
} world_case_t;

typedef struct {
	const char *promise;	   /* first column of the rows */
	const world_case_t *cases; /* ends with a NULL name */
	int seeds;		   /* per case */
	/* Sets the load, after world_init(). */
	void (*prepare)(world_t *w);
	/* Number of violations in the records, after world_run(). */
	int (*violations)(const world_t *w);
} world_proof_t;

/*
 * world_prove - run the cases with both adapters and print a row for each, see
 * run_proofs.sh.  Options: --seeds N, --seed N, --case NAME, --verbose.
 *
 * RETURN VALUE
 *	Exit status: 0, also with violations; 2 for a wrong option.
 */
int world_prove(const world_proof_t *proof, int argc, char **argv);

#endif
