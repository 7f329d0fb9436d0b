#ifndef BSH_COORDINATION_DRAIN_H
#define BSH_COORDINATION_DRAIN_H

/*
 * NAME
 *	drain - graceful shutdown of a process of an instance
 *
 * DESCRIPTION
 *	bsh_drain_begin() (SIGTERM or POST /v1/drain) gives all orders at
 *	once: readiness 503, no entry answer names this instance, membership
 *	is told, cells are handed over, idle connections are closed.  From
 *	then on bsh_drain_accepts() is false and the process refuses new
 *	requests as not-run with Retry-After 0 and another address.
 *
 *	The process ends (order exit) when no work is left.  The kinds
 *	REQUESTS and JOURNAL are waited for without limit: requests end by
 *	their own deadlines and idle timeouts, and the journal gives up its
 *	writes after its own limits.  CELLS, MEMBERSHIP and CONNECTIONS are
 *	waited for until drain_ms.  A second begin changes nothing; it never
 *	shortens the wait.
 *
 *	A connection counts as idle only when no byte of a request has been
 *	read since its last answer.  Connections that carry a request count
 *	as REQUESTS, get "Connection: close" with the answer, and are closed
 *	after it.
 */

#include <stdbool.h>
#include <stdint.h>

typedef enum {
	BSH_DRAIN_REQUESTS,    /* admitted, waiting or streaming */
	BSH_DRAIN_JOURNAL,     /* results not recorded yet */
	BSH_DRAIN_CELLS,       /* cells still owned */
	BSH_DRAIN_MEMBERSHIP,  /* leaving not yet passed to a peer: 0 or 1 */
	BSH_DRAIN_CONNECTIONS, /* idle callers' connections */
	BSH_DRAIN_KINDS
} bsh_drain_kind_t;

typedef enum {
	BSH_DRAIN_RUNNING = 0,
	BSH_DRAIN_DRAINING,
	BSH_DRAIN_ENDED
} bsh_drain_state_t;

/* Orders; any may be NULL when the process has no such part. */
typedef struct {
	void (*not_ready)(void *ctx);
	void (*withdraw_from_entry)(void *ctx);
	void (*announce_leaving)(void *ctx);
	void (*hand_over_cells)(void *ctx);
	void (*close_idle)(void *ctx);	     /* repeated on each tick */
	void (*exit)(void *ctx, bool clean); /* clean: nothing was left */
} bsh_drain_callbacks_t;

typedef struct {
	bsh_drain_callbacks_t orders;
	void *ctx;
	int64_t drain_us;
	int64_t begun_us;
	bsh_drain_state_t state;
	uint32_t left[BSH_DRAIN_KINDS];
	bool giving_orders;
} bsh_drain_t;

void bsh_drain_init(bsh_drain_t *drain, uint32_t drain_ms,
		    const bsh_drain_callbacks_t *orders, void *ctx);

/* bsh_drain_begin - start; repeated calls are ignored. */
void bsh_drain_begin(bsh_drain_t *drain, int64_t now_us);

/* bsh_drain_accepts - may new work be admitted? */
bool bsh_drain_accepts(const bsh_drain_t *drain);

/* bsh_drain_set - how much work of a kind is left now. */
void bsh_drain_set(bsh_drain_t *drain, bsh_drain_kind_t kind, uint32_t left,
		   int64_t now_us);

/*
 * bsh_drain_admit - count one admitted request.
 *
 * RETURN VALUE
 *	False when draining: the request must be refused as not-run.
 */
bool bsh_drain_admit(bsh_drain_t *drain);

/* bsh_drain_release - an admitted request ended and its answer was flushed. */
void bsh_drain_release(bsh_drain_t *drain, int64_t now_us);

/* bsh_drain_tick - to be called at bsh_drain_next_us(). */
void bsh_drain_tick(bsh_drain_t *drain, int64_t now_us);
int64_t bsh_drain_next_us(const bsh_drain_t *drain, int64_t now_us);

/* bsh_drain_left - name of the first kind with work left, or NULL. */
const char *bsh_drain_left(const bsh_drain_t *drain);

#endif
