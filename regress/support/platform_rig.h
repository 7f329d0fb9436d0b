#ifndef SUPPORT_PLATFORM_RIG_H
#define SUPPORT_PLATFORM_RIG_H

/*
 * NAME
 *	platform_rig - test harness for bshentryd processes on a simulated
 *	platform
 *
 * DESCRIPTION
 *	The entry daemons are processes; the platform's store and the workers
 *	are HTTP servers in the loop of the calling thread.  These servers
 *	record what was executed and where, so that tests need not rely on what
 *	the daemons report.
 *
 *	BSH_BUILD names the folder of the daemons.  BSH_OTHER_BUILD, if it is
 *	set, that of an earlier build, of which every second one is.
 *
 * ERRORS
 *	A failed start, too many workers or entries and a wait of more than
 *	15 s fail the test.  An instance that ends by itself ends the test
 *	program in platform_rig_finish(); its log is kept.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "support/relay.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/loop.h"

#define RIG_WORKERS_MAX 12
#define RIG_ENTRIES_MAX 40
#define RIG_HOST	"rig.example"

typedef enum {
	WORKER_ANSWERS,		 /* runs and answers each request */
	WORKER_IS_FULL,		 /* answers 503 with Berylshunt-Not-Executed */
	WORKER_FAILS,		 /* runs and answers 500 */
	WORKER_CLOSES_AFTER_RUN, /* runs, then closes without an answer */
	WORKER_BREAKS_STREAM,	 /* closes a stream after two events */
	WORKER_NEVER_ANSWERS,	 /* runs and never answers */
	WORKER_SENDS_HEAD_ONLY,	 /* runs, sends the header of a stream only */
	WORKER_STALLS, /* stops a stream after two events, keeps it open */
	WORKER_DRIPS   /* the same, and sends a byte now and then */
} worker_mode_t;

typedef struct platform_rig platform_rig_t;

/* An instance of a service, with its own HTTP server. */
typedef struct {
	platform_rig_t *rig;
	char id[32];
	char service[32];
	char address[32]; /* "host:port" */
	bsh_http_server_t *server;
	json_t *models;	     /* loaded models: name to list of adapters */
	uint64_t orders;     /* orders executed since its start */
	uint64_t started_ms; /* start time reported as "born" */
	worker_mode_t mode;
	char version[16];	 /* of its software */
	int64_t silent_until_us; /* sends nothing before; loop clock */
	uint32_t work_ms; /* from the request to its answer or first event */
	uint32_t events;  /* of streams, sent */
	uint32_t stream_events; /* of each stream; 0: 6 */
	uint32_t runs;		/* requests executed */
	uint32_t aborted;	/* runs whose caller closed before the end */
	uint32_t refused;	/* requests refused because it was full */
	bsh_loop_timer_t process_timer; /* end or start, see crash_part */
	bool has_ended;			/* its process, not yet started again */
	uint32_t loads;			/* load orders executed */
	const char *limit; /* requests a second, named in answers; or NULL */
	bool leaving;	   /* named in answers */
	/* Requests that may be open at the worker, whose others are rejected; 0:
	 * any number. */
	uint32_t places;
	/* Named in answers: the process ends if it has to reject more requests
	 * than this in a second; 0: not named. */
	uint32_t brittle;
	GArray *rejected_us;   /* int64_t, of requests beyond its places */
	uint32_t falls;	       /* ends of its process by rejections */
	uint32_t answer_bytes; /* of calls; 0: 4 */
	uint32_t delivered;    /* answers */
	int64_t delivered_us;  /* sum of the times of their runs */
	const char *pause;     /* Retry-After of its refusals; or NULL */
	GArray *arrivals_us;   /* int64_t, of all requests that reached it */
	char account[64];      /* named by the last request; "": none */
	uint32_t keys_seen;    /* requests that had an Authorization */
	uint64_t fence;	       /* highest fencing token of an order */
	/* Orders with a lower fencing token than an earlier one, or with that
	 * of another holder. */
	uint32_t fence_reuses;
	uint32_t overloads; /* orders that led to more than weights_mb */
	char holder[64];    /* lease holder that sent the last order */
	int64_t order_us;   /* time of the last order */
	/* Orders less than lease_ms after an order of another holder. */
	uint32_t lease_overlaps;
} worker_t;

typedef struct {
	GPid pid;   /* 0 after its exit */
	int status; /* of waitpid(2), after its exit */
	bool alive; /* started and not reaped */
	char name[32];
	/* Addresses "host:port". */
	char front[32];	    /* requests */
	char ready[32];	    /* readiness probe */
	char directory[32]; /* lookups of instance addresses */
	char metrics[32];   /* /metrics */
	char *settings_path;
	/* Output of its processes, unless BSH_RIG_LOG is set; kept after an end
	 * that is not expected.  NULL: an entry of the caller's own, whose output
	 * is dropped and whose ends are not checked. */
	char *log_path;
	bool keep_log;
	bool stopped; /* by SIGSTOP */
	/* Bit n: signal n was sent to its process by platform_rig_signal(). */
	uint64_t sent_signals;
} rig_entry_t;

typedef struct {
	int status; /* 0: the connection ended without an answer */
	char *body;
	char *retry_after;     /* value of Retry-After, or NULL */
	GString *received;     /* body so far; NULL after the end */
	bool sent;	       /* a byte may have reached the instance */
	bool complete;	       /* the whole answer was received */
	bool done;	       /* the request has ended */
	int64_t took_us;       /* duration; before the end: start time */
	bsh_http_call_t *call; /* NULL after the end */
} rig_reply_t;

/* A request of a caller. */
typedef struct {
	const char *address; /* "host:port" */
	const char *path;
	const char *id;	   /* of the attempt */
	const char *model; /* or NULL */
	uint32_t deadline_ms;
	uint32_t last_event_id; /* the stream goes on after it; 0: none */
	/* Id of the attempt that brought the stream's first event, or NULL. */
	const char *began_by;
	/* Client that keeps its connections open; NULL: a new connection. */
	bsh_http_client_t *client;
	const char *prompt; /* parts of its prompt as ID:TOKENS,..., or NULL */
	/* As another instance passes it on: its mark, and the version of its
	 * configuration; or NULL. */
	const char *relay_mark;
	const char *relay_version;
	const char *authorization;   /* or NULL */
	const char *claimed_account; /* in the header of targets; or NULL */
	const char *tokens;	     /* "PROMPT,ANSWER", or NULL */
} rig_request_t;

/* Key of the deployment in the settings of the daemons. */
extern const uint8_t platform_rig_key[32];

struct platform_rig {
	bsh_loop_t loop;
	bsh_http_client_t *client;
	bsh_http_server_t *store;
	char store_address[32];
	GHashTable *objects; /* "KIND/NAME" to json_t of metadata and spec */
	GArray *events;	     /* change history in order of revision */
	GPtrArray *watches;  /* pending watch requests */
	int64_t revision;    /* of the last change */
	uint32_t era;	     /* times that the store was set back */
	bool store_down;     /* answers 503 to each request */
	bool store_unresponsive;    /* answers no request */
	bool store_watches_stalled; /* answers no watch request */
	/* The watches that wait for a change outlive platform_rig_set_back(). */
	bool store_keeps_watches;
	uint32_t store_page_items; /* of a list in one answer; 0: all */
	/* Called before the store executes a call; NULL: not called. */
	void (*before_call)(platform_rig_t *rig, bsh_http_request_t *request);
	int64_t compacted_revision; /* history up to it was removed */
	uint32_t lease_ms;	    /* duration of the order lease */
	uint32_t grace_s;	    /* from SIGTERM to the end; 0: 3 */
	const char *settings; /* further groups of later entries; or NULL */
	const char *accounts; /* client accounts as a JSON array; or NULL */
	worker_t workers[RIG_WORKERS_MAX];
	uint32_t n_workers;
	rig_entry_t entries[RIG_ENTRIES_MAX];
	uint32_t n_entries;
	/* Called at the begin of each execution of an attempt; NULL: not called. */
	void (*on_run)(void *ctx, const worker_t *worker, const char *attempt);
	void *on_run_ctx;
	/* Processes that ended otherwise than by platform_rig_signal(). */
	uint32_t unexpected_ends;
	/* Number of events of an attempt's stream; NULL: as the worker's. */
	uint32_t (*stream_length)(const char *attempt);
	/* Time between two events of an attempt's stream; NULL: 10 ms. */
	int64_t (*stream_gap_us)(const char *attempt);
	GHashTable *runs; /* attempt id to number of executions */
	/* Attempt id to the workers that executed it: bit N for workers[N]. */
	GHashTable *run_workers;
	/* Id of the attempt that began a stream to the software version of the
	 * workers that wrote its events. */
	GHashTable *stream_versions;
	/* "ATTEMPT/EVENT" to the software versions that wrote the event: bit N
	 * for the Nth one in versions. */
	GHashTable *event_versions;
	GPtrArray *versions;	 /* names, in the order of their first event */
	uint32_t mixed_streams;	 /* with events of several versions */
	GPtrArray *pending_runs; /* executions without a complete answer */
	uint32_t version;	 /* of the configuration; 0: none */
	uint32_t weights_mb;	 /* memory of a worker; a model takes 100 */
	/* Part of a prompt under which a worker's process ends as it is about to
	 * write the first event; NULL: none.  The process starts again
	 * restart_ms later, with the models that it had. */
	const char *crash_part;
	/* Path of requests under which a worker's process ends as it is about to
	 * answer; NULL: none.  It starts again in the same way. */
	const char *crash_path;
	uint32_t restart_ms;
	/* Requests that end a process and have reached a worker. */
	uint32_t crash_part_runs;
	uint32_t crashes; /* ends of processes, of all workers */
	/* Entries behind platform_rig_add_far_entry() reach the workers through
	 * these, by the addresses that this listener of the store gives them. */
	bsh_http_server_t *far_store;
	char far_store_address[32];
	char far_host[32]; /* at which they call it, if through a relay */
	/* Kind of objects about which the store does not answer far entries, as
	 * on a connection that hangs; NULL: none. */
	const char *far_silent_kind;
	relay_t far_relays[RIG_WORKERS_MAX];
	uint32_t n_far_relays;
	/* Text in place of each string "@odd@" in what the store answers, as
	 * another writer may have written it; NULL: none. */
	const char *odd_text;
	bool has_second_engine; /* the configuration has a service "llm2" */
};

void platform_rig_init(platform_rig_t *rig);
/* platform_rig_finish - kill the entry daemons with SIGKILL and free all. */
void platform_rig_finish(platform_rig_t *rig);

/* platform_rig_configure - write the next version of the configuration to the
 * store.  Its routes are /stream/ (resumable stream), /once/ (stream that is
 * not resumable, one attempt), /book/ (call that is not idempotent, one
 * attempt) and /look/ (idempotent call).  extra: further routes as JSON, or
 * NULL. */
void platform_rig_configure(platform_rig_t *rig, const char *extra);

/* platform_rig_add_worker - start a worker and publish it.  model: the model
 * that it has loaded, or NULL for a service without models. */
worker_t *platform_rig_add_worker(platform_rig_t *rig, const char *service,
				  const char *model);
/* platform_rig_publish_worker - write the worker's record to the store. */
void platform_rig_publish_worker(worker_t *worker, const char *state);
/* platform_rig_remove_worker - delete the worker's record, as when its
 * registration expires; its server keeps running. */
void platform_rig_remove_worker(worker_t *worker);
/* platform_rig_silence_worker - the worker sends nothing for this time, keeps its
 * connections, and then goes on where it was. */
void platform_rig_silence_worker(worker_t *worker, uint32_t ms);
/* platform_rig_restart_worker - restart a worker: its runs are aborted, its
 * models unloaded and its count of orders is 0. */
void platform_rig_restart_worker(worker_t *worker);

/* platform_rig_compact - discard the change history of the store, so that a
 * watch from an earlier revision receives 410, and abort the pending watches
 * except those of spared_kind. */
void platform_rig_compact(platform_rig_t *rig, const char *spared_kind);

/* platform_rig_set_back - return the store to its state at an earlier revision,
 * as after a restart from an older copy: the later changes are lost, their
 * revisions are given out again, and a watch from one of them receives 410
 * until then. */
void platform_rig_set_back(platform_rig_t *rig, int64_t revision);
/* platform_rig_object - the object of this kind and name, or NULL; valid until
 * its next change. */
const json_t *platform_rig_object(const platform_rig_t *rig, const char *kind,
				  const char *name);

/* platform_rig_write - write an object of another writer; spec is released. */
void platform_rig_write(platform_rig_t *rig, const char *kind, const char *name,
			json_t *spec);

/* platform_rig_count - number of objects of this kind. */
uint32_t platform_rig_count(const platform_rig_t *rig, const char *kind);

/* platform_rig_add_entry - start a further entry daemon. */
rig_entry_t *platform_rig_add_entry(platform_rig_t *rig);
/* platform_rig_start_far_store - start the store of far entries, for the workers
 * that there are, and return its port. */
uint16_t platform_rig_start_far_store(platform_rig_t *rig);
/* platform_rig_add_far_entry - start an entry daemon whose connections to workers,
 * all of which exist already, can be cut by platform_rig_cut(). */
rig_entry_t *platform_rig_add_far_entry(platform_rig_t *rig);
/* How the connections between far entries and workers behave. */
typedef enum {
	RIG_CUT_NONE,
	RIG_CUT_REFUSES, /* open ones are reset, new ones refused */
	RIG_CUT_HANGS	 /* open ones are silent, new ones not established */
} rig_cut_t;

/* platform_rig_cut - cut the connections between far entries and workers. */
void platform_rig_cut(platform_rig_t *rig, rig_cut_t cut);
/* platform_rig_spawn - start the entry's process, also after its exit. */
void platform_rig_spawn(platform_rig_t *rig, rig_entry_t *entry);
/* platform_rig_signal - send a signal to the entry's process.  An end that none
 * of these signals explains is counted in unexpected_ends. */
void platform_rig_signal(rig_entry_t *entry, int number);
/* platform_rig_reap - collect the status of processes that have exited. */
void platform_rig_reap(platform_rig_t *rig);

/* platform_rig_send - start a request; model may be NULL.  The reply is filled
 * in while the loop runs and must stay valid until it is done or cleared. */
void platform_rig_send(platform_rig_t *rig, const char *address,
		       const char *path, const char *id, const char *model,
		       uint32_t deadline_ms, rig_reply_t *reply);
/* platform_rig_start - start a request, like platform_rig_send(). */
void platform_rig_start(platform_rig_t *rig, const rig_request_t *request,
			rig_reply_t *reply);
/* platform_rig_resume - like platform_rig_send() for a stream that goes on after
 * the event last_event_id; began_by is the id of the attempt that brought its
 * first event, or NULL. */
void platform_rig_resume(platform_rig_t *rig, const char *address,
			 const char *path, const char *id, const char *model,
			 uint32_t deadline_ms, uint32_t last_event_id,
			 const char *began_by, rig_reply_t *reply);
/* platform_rig_reply_clear - cancel a pending request and free the reply. */
void platform_rig_reply_clear(rig_reply_t *reply);

/* platform_rig_run - run the loop for a number of milliseconds. */
void platform_rig_run(platform_rig_t *rig, int64_t ms);
/* platform_rig_wait - run the loop until *flag is set, at most 15 s. */
void platform_rig_wait(platform_rig_t *rig, const bool *flag);
/* platform_rig_wait_ready - run the loop until /api/ready of the entry answers
 * 200, at most 15 s. */
void platform_rig_wait_ready(platform_rig_t *rig, rig_entry_t *entry);

/* platform_rig_runs - number of executions of an attempt id at all workers. */
uint32_t platform_rig_runs(const platform_rig_t *rig, const char *id);
/* platform_rig_run_workers - workers that have executed an attempt id: bit N
 * for workers[N]. */
uint32_t platform_rig_run_workers(const platform_rig_t *rig, const char *id);

/* platform_rig_event_versions - software versions that wrote an event of an
 * attempt, of which a caller gets one: a bit for each. */
uint32_t platform_rig_event_versions(const platform_rig_t *rig,
				     const char *attempt, uint32_t event);

#endif
