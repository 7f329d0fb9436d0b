#ifndef SUPPORT_PLATFORM_RIG_H
#define SUPPORT_PLATFORM_RIG_H

/*
 * NAME
 *	platform_rig - real bshentryd processes before a stand-in platform
 *
 * DESCRIPTION
 *	The store and the workers are served by the calling thread's loop; the
 *	entry daemons are processes.  The stand-ins keep their own records,
 *	from which tests judge: what was run, and where.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/loop.h"

#define RIG_WORKERS_MAX 12
#define RIG_ENTRIES_MAX 40
#define RIG_HOST	"rig.example"

typedef enum {
	WORKER_ANSWERS,
	WORKER_IS_FULL,		 /* 503 that says "not run" */
	WORKER_CLOSES_AFTER_RUN, /* runs, then closes the connection */
	WORKER_BREAKS_STREAM,	 /* closes after two events */
	WORKER_NEVER_ANSWERS,	 /* runs and never answers */
	WORKER_SENDS_HEAD_ONLY, /* runs, and sends the head of its answer only */
	WORKER_STALLS		/* sends nothing more after two events */
} worker_mode_t;

typedef struct platform_rig platform_rig_t;

typedef struct {
	platform_rig_t *rig;
	char id[32];
	char service[32];
	char address[32];
	bsh_http_server_t *server;
	json_t *models; /* names held, each with its list of adapters */
	uint64_t orders;
	uint64_t started_ms;
	worker_mode_t mode;
	uint32_t work_ms;
	uint32_t runs;
	uint32_t aborted; /* runs whose caller left before their end */
	uint32_t loads;
	uint32_t overloads; /* orders beyond its memory */
	char holder[64];    /* of the last order */
	int64_t order_us;
	uint32_t
		lease_overlaps; /* holders that took turns within the lease time */
} worker_t;

typedef struct {
	GPid pid; /* 0 after its end */
	int status;
	bool alive;
	char name[32];
	char front[32];
	char ready[32];
	char directory[32];
	char metrics[32];
	char *settings_path;
	bool stopped; /* by SIGSTOP */
} rig_entry_t;

typedef struct {
	int status; /* 0: the connection ended without an answer */
	char *body;
	char *retry_after;
	bool complete;
	bool done;
	int64_t took_us;
	bsh_http_call_t *call;
} rig_reply_t;

struct platform_rig {
	bsh_loop_t loop;
	bsh_http_client_t *client;
	bsh_http_server_t *store;
	char store_address[32];
	GHashTable *objects; /* "KIND/NAME" to json_t, whole objects */
	GArray *events;	     /* what was changed, in order */
	GPtrArray *watches;  /* requests that wait for a change */
	int64_t revision;
	bool store_down;	    /* 503 to everything */
	bool store_unresponsive;    /* never answers */
	bool store_watches_stalled; /* watches hear of no change */
	int64_t oldest; /* changes up to this revision are forgotten */
	uint32_t lease_ms;
	worker_t workers[RIG_WORKERS_MAX];
	uint32_t n_workers;
	rig_entry_t entries[RIG_ENTRIES_MAX];
	uint32_t n_entries;
	GHashTable *runs;  /* attempt id to number of runs */
	GPtrArray *timers; /* answers that are to come */
	uint32_t version;
	uint32_t weights_mb; /* of one worker; each model takes 100 */
};

void platform_rig_init(platform_rig_t *rig);
/* platform_rig_finish - ends the entry daemons by their process ids. */
void platform_rig_finish(platform_rig_t *rig);

/* platform_rig_configure - the next version of the configuration: a resumable
 * stream /stream/, one that is not /once/, a call /book/ that may run once and
 * an idempotent one /look/.  extra: further routes, or NULL. */
void platform_rig_configure(platform_rig_t *rig, const char *extra);

/* platform_rig_worker - model: what it holds, or NULL for a plain service. */
worker_t *platform_rig_add_worker(platform_rig_t *rig, const char *service,
				  const char *model);
/* platform_rig_beat - the worker writes its entry to the store. */
void platform_rig_publish_worker(worker_t *worker, const char *state);
void platform_rig_remove_worker(worker_t *worker);
/* platform_rig_restart_worker - empty, with its count of orders set back. */
void platform_rig_restart_worker(worker_t *worker);

/* platform_rig_compact - forget the history and cut all watches but those of
 * this kind, which go on waiting. */
void platform_rig_compact(platform_rig_t *rig, const char *spared_kind);

rig_entry_t *platform_rig_add_entry(platform_rig_t *rig);
/* platform_rig_spawn - start the entry's process (again). */
void platform_rig_spawn(platform_rig_t *rig, rig_entry_t *entry);
/* platform_rig_reap - notes processes that have ended. */
void platform_rig_reap(platform_rig_t *rig);

/* platform_rig_send - a request; model may be NULL.  The reply is filled in
 * while the loop runs. */
void platform_rig_send(platform_rig_t *rig, const char *address,
		       const char *path, const char *id, const char *model,
		       uint32_t deadline_ms, rig_reply_t *reply);
void platform_rig_reply_clear(rig_reply_t *reply);

/* platform_rig_run - let this time pass. */
void platform_rig_run(platform_rig_t *rig, int64_t ms);
/* platform_rig_wait - until *flag; fails the test after 15 s. */
void platform_rig_wait(platform_rig_t *rig, const bool *flag);
/* platform_rig_wait_ready - until the entry says that it is ready. */
void platform_rig_wait_ready(platform_rig_t *rig, rig_entry_t *entry);

uint32_t platform_rig_runs(const platform_rig_t *rig, const char *id);

#endif
