#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

/*
 * NAME
 *	soak - state of the fault soak, shared by its callers and its faults
 *
 * DESCRIPTION
 *	The callers (callers.c) send requests and check what they get.  The
 *	faults (soak_entry.c) record when they disturb an instance or a worker,
 *	so that the callers can tell which answers a fault excuses.
 */

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "support/platform_rig.h"
#include "support/relay.h"

/* Part of a prompt under which workers end, as it stands in the header. */
#define SOAK_BAD_PART	 "bad1:"
#define SOAK_CALLERS_MIN 24
#define SOAK_CALLERS_MAX (2 * RIG_ENTRIES_MAX)
/* Each third caller keeps one connection. */
#define SOAK_KEPT_INTERVAL 3
#define SOAK_DEADLINE_MS   3000
#define SOAK_LATE_MS	   600 /* tolerated after the deadline */
#define SOAK_MODELS	   6

/* Client accounts.  The limit is a third of what the callers of the limited
 * account send; the slack has room for a few requests at each instance. */
#define SOAK_KEYS	    8 /* that configurations may have */
#define SOAK_REVOKE_MS	    1500
#define SOAK_LIMIT_RATE	    250
#define SOAK_LIMIT_BURST    250
#define SOAK_LIMIT_WINDOW_S 8
#define SOAK_LIMIT_OVERAGE  0.1
#define SOAK_LIMIT_SLACK    500
#define SOAK_COST_MIN	    10 /* tokens of a request */
#define SOAK_COST_MAX	    90

/* A route; only its service and its presence change with the configuration. */
typedef struct {
	const char *path;
	const char *service;
	const char *moves_to; /* by some configurations; NULL: never */
	bool once;	      /* runs at most once */
	bool stream;	      /* the answer is a stream of events */
	bool resumable;
	bool added;	/* some configurations do not have it */
	bool anonymous; /* served without a key */
} soak_route_t;

/* A caller sends one request after the other.  A resumable stream that ends
 * early is taken up again by further attempts. */
typedef struct {
	rig_reply_t reply;
	rig_entry_t *entry;	   /* instance of the request; may be kept */
	bsh_http_client_t *client; /* keeps the connection; NULL: none kept */
	const soak_route_t *route;
	char id[32]; /* attempt id */
	char model[8];
	bool busy;	 /* a request is pending */
	bool keeps;	 /* the next request goes to the same instance */
	bool comparable; /* counts for the shares of streams */
	bool bad;	 /* its prompt has the part under which workers end */
	/* Of a client account, if there are some. */
	uint32_t key;
	char authorization[32];
	char tokens[16];
	int64_t started_us;   /* of the attempt */
	uint32_t leave_after; /* leaves after so many events; 0: stays */
	/* The stream, over all its attempts. */
	char began_by[32]; /* attempt that brought its first event, or "" */
	uint32_t events;   /* received */
	uint32_t versions; /* software versions that wrote all of them */
	uint32_t attempts; /* to go on */
	int64_t resume_us; /* time of the next one; 0: none */
	int64_t begun_us;  /* first attempt */
	int64_t event_us;  /* first event; 0: none yet */
	bool recorded;	   /* its version has had the time to reach the store */
	bool lost;	   /* all instances were killed before that */
} soak_caller_t;

/* Times are of the loop clock; 0: never. */
typedef struct {
	relay_t store;	   /* its connections to the store */
	int64_t fault_us;  /* last fault of any kind, or start */
	int64_t crash_us;  /* last SIGKILL, SIGSTOP or SIGCONT */
	int64_t term_us;   /* last SIGTERM */
	int64_t spawn_us;  /* last start of the process */
	int64_t resume_us; /* of a stopped process */
	int64_t follow_us; /* next signal of a series; 0: none */
} soak_entry_t;

typedef enum {
	PHASE_SERVES,
	PHASE_LAPSED, /* registration expired, the process goes on */
	PHASE_DRAINS, /* reports that it leaves */
	PHASE_GONE    /* has left; a new incarnation follows */
} soak_phase_t;

typedef struct {
	soak_phase_t phase;
	int64_t phase_us;     /* end of the phase, unless it serves */
	int64_t harm_us;      /* last time that it broke requests off */
	uint32_t incarnation; /* number of its starts */
} soak_worker_t;

/* Client accounts, whose keys are added, moved and removed by configurations. */
typedef struct {
	bool used;
	bsh_rng_t rng;
	char *text;		   /* of the configuration in force */
	GArray *owners[SOAK_KEYS]; /* all that each key has had */
	GHashTable *attempts;	   /* by their ids */
	GArray *runs;		   /* of the limited account */
	uint32_t denied;	   /* answers 401 */
	int64_t freeze_us;	   /* next instance to stand still */
} soak_accounts_t;

typedef struct {
	platform_rig_t rig;
	soak_entry_t entries[RIG_ENTRIES_MAX];
	soak_worker_t workers[RIG_WORKERS_MAX];
	soak_caller_t callers[SOAK_CALLERS_MAX];
	uint32_t n_callers;
	bsh_rng_t rng;
	/* Requests have prompts, one part ends workers, and workers name limits.
	 * These have random numbers of their own, so that the other faults of a
	 * seed stay the same. */
	bool prompts;
	bsh_rng_t prompt_rng;
	/* Streams are of unequal lengths, most short and a few about as long as
	 * their deadline. */
	bool lengths;
	/* The last instance is cut off from all workers at times. */
	bool cuts;
	bsh_rng_t cut_rng;
	rig_cut_t cut;	     /* in force */
	int64_t cut_next_us; /* its begin or end */
	/* Another writer of the store writes what is no entry, and all instances
	 * are killed at a time. */
	bool writers;
	bsh_rng_t writer_rng;
	int64_t write_us; /* next object */
	int64_t kill_us;  /* next kill of all instances */
	/* From then on the instances write to the store; INT64_MAX while it or
	 * their connections to it have a fault. */
	int64_t store_writes_us;
	soak_accounts_t accounts;
	uint64_t sequence;
	int64_t clear_us;     /* next time to clear the faults */
	int64_t configure_us; /* next configuration of a series */
	uint32_t configurations_left;
	/* Of the configuration in force: */
	bool has_moved; /* routes that move are at their second service */
	bool has_added; /* the added route is there */
	bool settled;	/* no fault or configuration is recent */
	uint32_t sent;
	uint32_t answered; /* whole answers 200 */
	uint32_t refused;  /* answers 429 and 503 */
	uint32_t unknown;  /* other or incomplete answers: may have run */
	uint32_t closed;   /* no answer */
	uint32_t left;	   /* by their callers, midway in a stream */
	uint32_t dropped;  /* answers 404 of the added route */
	/* Attempts to begin a stream and to go on, while two workers of a
	 * software version serve with its model, and those that brought an
	 * event. */
	uint32_t begins;
	uint32_t begun;
	uint32_t resumes;
	uint32_t resumed;
	uint32_t mixed;	 /* streams with events of several versions */
	uint32_t faults; /* injected */
	uint32_t broken; /* violated invariants */
} soak_t;

/* soak_callers_init, soak_callers_finish - set up the callers, two for each
 * instance or SOAK_CALLERS_MIN, and free them. */
void soak_callers_init(soak_t *soak);
void soak_callers_finish(soak_t *soak);
/* soak_callers_step - check the answers that are complete; send: start further
 * requests. */
void soak_callers_step(soak_t *soak, bool send);
/* soak_callers_killed_all - all instances are killed now: streams whose versions
 * the store cannot have yet may be refused from now on. */
void soak_callers_killed_all(soak_t *soak);

/* soak_worker_breaks - true if the worker breaks off or holds what it runs, for
 * longer than a silence. */
bool soak_worker_breaks(const worker_t *worker);

/* soak_accounts_init, soak_accounts_finish - client accounts are used; without the
 * former, the functions below do nothing. */
void soak_accounts_init(soak_t *soak, uint32_t seed);
void soak_accounts_finish(soak_t *soak);
/* soak_accounts_start - settings of the instances, and checks at the workers. */
void soak_accounts_start(soak_t *soak);
/* soak_accounts_configure - change some keys, for the next configuration. */
void soak_accounts_configure(soak_t *soak);
/* soak_accounts_remove_key - remove a key with the next configuration. */
void soak_accounts_remove_key(soak_t *soak);
/* soak_accounts_choose_key - key of the caller's next request or stream. */
void soak_accounts_choose_key(soak_t *soak, soak_caller_t *caller);
/* soak_accounts_choose_entry - instance that stands still, for a request with a key
 * whose removal is binding; NULL: any. */
rig_entry_t *soak_accounts_choose_entry(soak_t *soak,
					const soak_caller_t *caller);
/* soak_accounts_sign - add the caller's key to a request, and note it. */
void soak_accounts_sign(soak_t *soak, soak_caller_t *caller,
			rig_request_t *request);
/* soak_accounts_owes - false if an instance may know no account with the key of
 * the caller's request. */
bool soak_accounts_owes(const soak_t *soak, const soak_caller_t *caller);
/* soak_accounts_is_limited - true if the request may exceed a limit. */
bool soak_accounts_is_limited(const soak_t *soak, const soak_caller_t *caller);
/* soak_accounts_check - check the limit, and that no worker has seen a key. */
void soak_accounts_check(soak_t *soak);

/* soak_writers_step - objects of another writer and kills that are due. */
void soak_writers_step(soak_t *soak);

#endif
