#ifndef BSH_COORDINATION_DRAIN_H
#define BSH_COORDINATION_DRAIN_H

/*
 * NAME
 *	drain - graceful shutdown of one process of an instance
 *
 * DESCRIPTION
 *	bsh_drain_begin() (on SIGTERM or POST /v1/drain) runs all callbacks
 *	but exit at once: readiness answers 503, entry answers no longer name
 *	this instance, the membership announces that it is leaving, its cells
 *	are handed over and idle connections are closed.  From then on,
 *	bsh_drain_accepts() is false and the process refuses new requests as
 *	not-run with Retry-After 0 and another address.
 *
 *	The callback exit runs when no work is pending.  Work of the kinds
 *	REQUESTS and JOURNAL is waited for without a time limit, since
 *	requests end by their own deadlines and idle timeouts, and journal
 *	writes by their own limits.  CELLS, MEMBERSHIP and CONNECTIONS are
 *	waited for up to drain_ms.  A second bsh_drain_begin() has no effect
 *	and never shortens the wait.
 *
 *	A connection is idle if no byte of a request has been read since its
 *	last answer.  A connection that carries a request counts as REQUESTS,
 *	gets "Connection: close" with the answer and is closed after it.
 *
 *	Not thread-safe.  Pure: no I/O and no clock.
 */

#include <stdbool.h>
#include <stdint.h>

typedef enum {
	BSH_DRAIN_REQUESTS,    /* admitted, waiting or streaming */
	BSH_DRAIN_JOURNAL,     /* results not recorded yet */
	BSH_DRAIN_CELLS,       /* cells still owned */
	BSH_DRAIN_MEMBERSHIP,  /* leaving not announced to a peer yet: 0 or 1 */
	BSH_DRAIN_CONNECTIONS, /* idle connections of callers */
	BSH_DRAIN_KINDS
} bsh_drain_kind_t;

typedef enum {
	BSH_DRAIN_RUNNING = 0,
	BSH_DRAIN_DRAINING,
	BSH_DRAIN_ENDED
} bsh_drain_state_t;

/* Callbacks; NULL if the process does not need one. */
typedef struct {
	void (*not_ready)(void *ctx);
	void (*withdraw_from_entry)(void *ctx);
	void (*announce_leaving)(void *ctx);
	void (*hand_over_cells)(void *ctx);
	void (*close_idle)(void *ctx); /* also on ticks, while any remain */
	void (*exit)(void *ctx, bool clean); /* clean: no work is pending */
} bsh_drain_ops_t;

typedef struct {
	bsh_drain_ops_t ops;
	void *ctx;
	int64_t drain_us; /* time limit, from begun_us */
	int64_t begun_us;
	bsh_drain_state_t state;
	uint32_t left[BSH_DRAIN_KINDS]; /* pending work of each kind */
	bool in_callbacks;		/* guards against an early exit */
} bsh_drain_t;

void bsh_drain_init(bsh_drain_t *drain, uint32_t drain_ms,
		    const bsh_drain_ops_t *ops, void *ctx);

/* bsh_drain_begin - start the drain; repeated calls are ignored. */
void bsh_drain_begin(bsh_drain_t *drain, int64_t now_us);

/* bsh_drain_accepts - true if new work may be admitted. */
bool bsh_drain_accepts(const bsh_drain_t *drain);

/* bsh_drain_set - set the amount of pending work of a kind. */
void bsh_drain_set(bsh_drain_t *drain, bsh_drain_kind_t kind, uint32_t left,
		   int64_t now_us);

/*
 * bsh_drain_admit - count one admitted request.
 *
 * RETURN VALUE
 *	False while draining; the request must be refused as not-run.
 */
bool bsh_drain_admit(bsh_drain_t *drain);

/* bsh_drain_release - count an admitted request as ended, after its answer has
 * been flushed. */
void bsh_drain_release(bsh_drain_t *drain, int64_t now_us);

/* bsh_drain_tick - close idle connections and end the drain when due; to be
 * called at bsh_drain_next_us(). */
void bsh_drain_tick(bsh_drain_t *drain, int64_t now_us);

/* bsh_drain_next_us - time of the next tick; INT64_MAX unless draining. */
int64_t bsh_drain_next_us(const bsh_drain_t *drain, int64_t now_us);

/* bsh_drain_left - name of the first kind with pending work, or NULL. */
const char *bsh_drain_left(const bsh_drain_t *drain);

#endif
