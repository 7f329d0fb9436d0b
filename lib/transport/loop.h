#ifndef BSH_TRANSPORT_LOOP_H
#define BSH_TRANSPORT_LOOP_H

/*
 * NAME
 *	loop - event loop of one thread: descriptors, timers, tasks
 *
 * DESCRIPTION
 *	A loop runs on one thread and uses an APR poll set (epoll, level
 *	triggered).  Only bsh_loop_post() and bsh_loop_stop() may be called
 *	from other threads.  Callbacks may add and remove watches, timers and
 *	tasks, including their own.
 *
 * UNITS
 *	Microseconds of the monotonic clock.
 */

#include <apr_poll.h>
#include <apr_pools.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

#define BSH_LOOP_READ  0x1U
#define BSH_LOOP_WRITE 0x2U
/* Error or hang-up; reported whether requested or not. */
#define BSH_LOOP_ERROR 0x4U

typedef struct bsh_loop bsh_loop_t;
typedef struct bsh_loop_watch bsh_loop_watch_t;

typedef void (*bsh_loop_watch_fn_t)(void *ctx, int fd, unsigned int events);
typedef void (*bsh_loop_fn_t)(void *ctx);

/* One-shot timer, allocated by the caller. */
typedef struct {
	bsh_loop_t *loop;
	bsh_loop_fn_t fn;
	void *ctx;
	int64_t at_us;	  /* expiry time */
	uint64_t order;	  /* start order; breaks ties of at_us */
	int32_t position; /* index in the heap; -1 if stopped */
} bsh_loop_timer_t;

/* Deferred call, allocated by the caller.  Runs once after it is scheduled,
 * before the loop polls again. */
typedef struct bsh_loop_task {
	bsh_loop_t *loop;
	bsh_loop_fn_t fn;
	void *ctx;
	bool queued;
	struct bsh_loop_task *next;
} bsh_loop_task_t;

struct bsh_loop {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	bsh_loop_watch_t *free_watches;
	bsh_loop_watch_t *retired_watches; /* reusable after this round */
	GPtrArray *timers;		   /* binary heap by expiry time */
	uint64_t next_order;
	bsh_loop_task_t *tasks; /* scheduled, singly linked */
	bsh_loop_task_t **tasks_tail;
	pthread_mutex_t posted_lock; /* protects posted */
	GArray *posted;		     /* calls from bsh_loop_post() */
	int64_t now_us;
	int stopped; /* atomic */
};

/*
 * bsh_loop_init - initialise a loop.  APR must have been initialised by
 * apr_initialize().
 *
 * RETURN VALUE
 *	BSH_OK or BSH_ERR_SYSTEM.
 */
bsh_error_t bsh_loop_init(bsh_loop_t *loop);
void bsh_loop_finish(bsh_loop_t *loop);

/* bsh_loop_run - run the loop until bsh_loop_stop() is called. */
void bsh_loop_run(bsh_loop_t *loop);

/*
 * bsh_loop_step - run one round: poll for at most max_wait_us (negative: until
 * an event arrives or a timer expires), then call the callbacks that are due.
 */
void bsh_loop_step(bsh_loop_t *loop, int64_t max_wait_us);

/* bsh_loop_stop - make bsh_loop_run() return; may be called from any thread. */
void bsh_loop_stop(bsh_loop_t *loop);

/* bsh_loop_post - call fn(ctx) on the loop's thread; may be called from any
 * thread. */
void bsh_loop_post(bsh_loop_t *loop, bsh_loop_fn_t fn, void *ctx);

/* bsh_loop_now_us - monotonic time at which the current round's callbacks
 * began. */
int64_t bsh_loop_now_us(const bsh_loop_t *loop);

/* bsh_loop_clock_us - current time of the monotonic clock. */
int64_t bsh_loop_clock_us(void);

/*
 * bsh_loop_watch - call fn when fd is ready for one of events.  A descriptor
 * has at most one watch, which must be removed before fd is closed.
 *
 * RETURN VALUE
 *	The watch, owned by the loop until bsh_loop_unwatch(), or NULL.
 */
bsh_loop_watch_t *bsh_loop_watch(bsh_loop_t *loop, int fd, unsigned int events,
				 bsh_loop_watch_fn_t fn, void *ctx);

/* bsh_loop_watch_set - replace the events of a watch; with 0, only errors are
 * reported.  BSH_OK or BSH_ERR_SYSTEM. */
bsh_error_t bsh_loop_watch_set(bsh_loop_watch_t *watch, unsigned int events);

/* bsh_loop_unwatch - remove a watch; fn is not called again. */
void bsh_loop_unwatch(bsh_loop_watch_t *watch);

void bsh_loop_timer_init(bsh_loop_timer_t *timer, bsh_loop_t *loop,
			 bsh_loop_fn_t fn, void *ctx);

/* bsh_loop_timer_start - call fn once at at_us; a running timer is restarted.
 */
void bsh_loop_timer_start(bsh_loop_timer_t *timer, int64_t at_us);

/* bsh_loop_timer_after - as bsh_loop_timer_start(), delay_us from now. */
void bsh_loop_timer_after(bsh_loop_timer_t *timer, int64_t delay_us);
void bsh_loop_timer_stop(bsh_loop_timer_t *timer);
bool bsh_loop_timer_is_running(const bsh_loop_timer_t *timer);

void bsh_loop_task_init(bsh_loop_task_t *task, bsh_loop_t *loop,
			bsh_loop_fn_t fn, void *ctx);
/* bsh_loop_task_schedule - queue a task; no effect if it is queued already. */
void bsh_loop_task_schedule(bsh_loop_task_t *task);
void bsh_loop_task_cancel(bsh_loop_task_t *task);

#endif
