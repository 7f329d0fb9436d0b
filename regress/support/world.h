#ifndef BSH_SUPPORT_WORLD_H
#define BSH_SUPPORT_WORLD_H

/*
 * NAME
 *	world - fakes around the routers for proofs under the virtual clock
 *
 * DESCRIPTION
 *	Callers, targets, network, platform list, store and the controller's
 *	answers to NEED, with faults.  The routers are an adapter_t: either
 *	berylshunt's modules (shunt_adapter) or the naive version.  The fakes
 *	keep their own records (calls executed, chunks received, times of
 *	answers), and the checkers count from these only.
 */

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "coordination/attempt.h"
#include "coordination/journal.h"
#include "support/sim.h"

#define WORLD_ROUTERS 3
#define WORLD_TARGETS 9 /* 0-3 chat, 4-5 cold, 6-8 deposits */
#define WORLD_MODELS  3
#define WORLD_END_US  (110 * SIM_S)

/* Fault classes, a bit mask. */
enum {
	FAULT_SILENT = 1 << 0,	   /* connection silent for good */
	FAULT_LATE = 1 << 1,	   /* answers late, on a later connection */
	FAULT_CROSSED = 1 << 2,	   /* answer on another connection */
	FAULT_BREAK = 1 << 3,	   /* connection lost within the answer */
	FAULT_KILL = 1 << 4,	   /* target killed and restarted */
	FAULT_CUT = 1 << 5,	   /* one direction lost, or no connection */
	FAULT_REFUSE = 1 << 6,	   /* engine refuses (429) */
	FAULT_SLOW_LOAD = 1 << 7,  /* weight store slow */
	FAULT_NO_CONTROL = 1 << 8, /* NEED is not answered */
	FAULT_NO_LOAD = 1 << 9,	   /* NEED is refused (store down) */
	FAULT_STORE_DOWN = 1 << 10,
	FAULT_STORE_LOST = 1 << 11, /* answers of updates lost */
	FAULT_STORE_SLOW = 1 << 12,
	FAULT_LEAVING = 1 << 13, /* targets leave */
	FAULT_LIST_LAG = 1 << 14,	 /* list lags and repeats old states */
	FAULT_SHUTDOWN = 1 << 15,
	FAULT_ROUTER_KILL = 1 << 16,
	FAULT_FREEZE = 1 << 17, /* router stops and resumes */
	FAULT_RACE = 1 << 18,	/* same key at two instances */
	FAULT_OVERLOAD = 1 << 19,
	FAULT_CALLER_GONE = 1 << 20
};

typedef enum {
	KIND_STREAM,
	KIND_PLAIN,
	KIND_COLD,
	KIND_DEPOSIT
} request_kind_t;

struct world;
struct conn;

/* One request of a caller. */
typedef struct submission {
	struct world *world;
	int number;
	int call; /* the same for all tries with one key */
	int tries;
	request_kind_t kind;
	bool keyed;
	int router;
	int64_t submitted_us;
	int64_t deadline_us;
	/* The caller's record. */
	int64_t first_us;
	int64_t ended_us;
	int64_t gone_us;
	int ends;
	int chunks;
	int expected; /* chunks of the whole answer */
	bool wrong_chunk; /* a chunk of another request, or out of order */
	bool ok;
	bool cut; /* the router's process ended first */
	bsh_error_t err;
	bsh_outcome_t outcome;
	uint32_t retry_ms;
	/* The targets' record. */
	int executions;
	/* When the router was told that the deadline cannot be met. */
	int64_t unmeetable_us;
	void *request; /* of the adapter */
} submission_t;

/* A part of an answer. */
typedef struct {
	int call; /* that it answers */
	int index;
	bool done;
} chunk_t;

typedef struct conn {
	struct world *world;
	struct conn *next; /* of all */
	submission_t *sub;
	int router;
	uint64_t router_incarnation;
	int target;
	uint64_t target_incarnation;
	char request_id[BSH_ATTEMPT_ID_SIZE];
	struct conn *deliver_to; /* itself, or another if crossed */
	bool closed;		 /* by the router */
	bool sent;
	bool head_delivered; /* got a head */
	bool ended;
	int stage;
	int stop_at; /* stage after which it is silent */
	int break_at;
	int64_t late_us;
	bsh_request_id_t id; /* of the adapter */
	void *request;	     /* of the adapter */
} conn_t;

typedef struct {
	const char *name;
	void *(*create)(struct world *w, int router);
	void (*destroy)(void *self);
	void (*submit)(void *self, submission_t *sub);
	void (*caller_gone)(void *self, submission_t *sub);
	/* false: the request is not sent on this connection */
	bool (*connected)(void *self, conn_t *conn);
	void (*head)(void *self, conn_t *conn, const bsh_answer_head_t *head);
	void (*body)(void *self, conn_t *conn, const chunk_t *chunk);
	void (*end)(void *self, conn_t *conn);
	void (*failed)(void *self, conn_t *conn);
	/* ready_us: estimate; 0 and refused: no load */
	void (*need_answer)(void *self, int model, int64_t ready_us,
			    uint32_t retry_ms);
	void (*ready)(void *self, int model);
	/* platform's list */
	void (*list)(void *self, int target, uint64_t incarnation,
		     bool leaving);
	/* a peer's datagram or the target's status */
	void (*leaving_reported)(void *self, int target, uint64_t incarnation);
	void (*store_done)(void *self, uint64_t call, bool writing,
			   bsh_store_status_t status, uint64_t version,
			   const char *value);
	void (*terminate)(void *self);
	void (*tick)(void *self);
} adapter_t;

typedef struct {
	uint64_t incarnation;
	bool up;
	bool leaving;
	int64_t leaving_known_us; /* leaving: first told to any router; or 0 */
	int running;
	int late_requests; /* requests got more than 3 s after knowable_us */
	int arrivals;
} target_t;

typedef struct {
	void *self;
	uint64_t incarnation;
	bool alive;
	int64_t frozen_until_us;
	int64_t gone_us[8]; /* by incarnation: the list says gone */
	int64_t terminated_us;
	int64_t exited_us;
	int64_t armed_us; /* tick */
} router_t;

typedef struct world {
	sim_t sim;
	const adapter_t *adapter;
	uint32_t faults;
	int rounds;
	int weights[4]; /* of the kinds */
	int requests;	/* first tries */
	int64_t span_us;
	int64_t fault_duration_max_us; /* longest time of a fault */
	int64_t chunk_interval_max_us; /* longest pause of a stream */
	bool verbose;
	uint32_t active;       /* faults now */
	uint32_t dead_targets; /* bit mask: each answer breaks */
	GPtrArray *submissions;
	GArray *executions; /* per call */
	conn_t *conns;
	int opened; /* connections */
	target_t targets[WORLD_TARGETS];
	router_t routers[WORLD_ROUTERS];
	GHashTable *store;     /* name -> object */
	int64_t load_ready_us; /* 0: not loading, cold model */
	bool loaded;
} world_t;

/* world_run - one schedule; the records stay until world_finish(). */
void world_init(world_t *w, const adapter_t *adapter, uint32_t seed,
		uint32_t faults, int rounds);
void world_run(world_t *w);
void world_finish(world_t *w);

/* For adapters. */
bool world_is_active(const world_t *w, uint32_t fault);
const char *world_target_name(int target);
const char *world_router_name(int router);
const char *world_model_name(int model);
int world_model_of(request_kind_t kind);
void world_model_targets(int model, int *first, int *count);
conn_t *world_open(world_t *w, int router, int target, submission_t *sub,
		   const char *request_id);
void world_close(conn_t *conn);
void world_chunk(submission_t *sub, const chunk_t *chunk);
void world_head(submission_t *sub); /* the head went to the caller */
void world_end(submission_t *sub, bsh_error_t err, bsh_outcome_t outcome,
	       uint32_t retry_ms);
void world_need(world_t *w, int router, int model);
void world_store_read(world_t *w, int router, uint64_t call, const char *name);
void world_store_write(world_t *w, int router, uint64_t call, const char *name,
		       uint64_t version, const char *value, size_t size);
bool world_is_gone(world_t *w, const char *router, uint64_t incarnation);
void world_exit(world_t *w, int router);
/* world_arm - call tick at at_us (the earliest wins). */
void world_arm(world_t *w, int router, int64_t at_us);

extern const adapter_t berylshunt_adapter;
extern const adapter_t naive_adapter;

/* Proof programs. */
typedef struct {
	const char *name;
	uint32_t faults;
	int rounds;
} world_case_t;

typedef struct {
	const char *promise;
	const world_case_t *cases;
	int seeds; /* per case */
	void (*prepare)(world_t *w);
	int (*violations)(const world_t *w);
} world_proof_t;

/* world_prove - run the cases with both adapters, print the rows.  Arguments:
 * --seeds N, --seed N [--case NAME] --verbose. */
int world_prove(const world_proof_t *proof, int argc, char **argv);

#endif
