#ifndef BSH_TRANSPORT_LOOP_H
#define BSH_TRANSPORT_LOOP_H

/*
 * NAME
 *	loop - event loop of one thread: descriptors, timers, tasks
 *
 * DESCRIPTION
 *	One loop belongs to one thread, over an APR poll set (epoll, level
 *	triggered).  Only bsh_loop_post() and bsh_loop_stop() may be called
 *	from other threads.  Callbacks may add and remove watches, timers and
 *	tasks, including their own.
 *
 *	Times are microseconds of the monotonic clock (bsh_loop_now_us()).
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
/* Error or hang-up; always reported, never asked for. */
#define BSH_LOOP_ERROR 0x4U

typedef struct bsh_loop bsh_loop_t;
typedef struct bsh_loop_watch bsh_loop_watch_t;

typedef void (*bsh_loop_watch_fn_t)(void *ctx, int fd, unsigned int events);
typedef void (*bsh_loop_fn_t)(void *ctx);

/* Timer in the owner's memory. */
typedef struct {
	bsh_loop_t *loop;
	bsh_loop_fn_t fn;
	void *ctx;
	int64_t at_us;
	uint64_t order;
	int32_t position; /* in the heap; -1 when stopped */
} bsh_loop_timer_t;

/* Task in the owner's memory: runs once, before the loop polls again. */
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
	bsh_loop_watch_t *retired_watches; /* freed after the dispatch */
	GPtrArray *timers;		   /* binary heap */
	uint64_t next_order;
	bsh_loop_task_t *tasks;
	bsh_loop_task_t **tasks_tail;
	pthread_mutex_t posted_lock;
	GArray *posted;
	int64_t now_us;
	int stopped;
};

/*
 * bsh_loop_init - APR must be initialised (apr_initialize()).
 *
 * RETURN VALUE
 *	BSH_OK or BSH_ERR_SYSTEM.
 */
bsh_error_t bsh_loop_init(bsh_loop_t *loop);
void bsh_loop_finish(bsh_loop_t *loop);

/* bsh_loop_run - until bsh_loop_stop(). */
void bsh_loop_run(bsh_loop_t *loop);

/*
 * bsh_loop_step - one round: poll for at most max_wait_us (negative: until
 * something happens), then run what is due.
 */
void bsh_loop_step(bsh_loop_t *loop, int64_t max_wait_us);

/* bsh_loop_stop - end bsh_loop_run(); any thread. */
void bsh_loop_stop(bsh_loop_t *loop);

/* bsh_loop_post - run fn(ctx) in the loop's thread; any thread. */
void bsh_loop_post(bsh_loop_t *loop, bsh_loop_fn_t fn, void *ctx);

/* bsh_loop_now_us - time at the start of this round's callbacks. */
int64_t bsh_loop_now_us(const bsh_loop_t *loop);

/* bsh_loop_clock_us - the monotonic clock, read now. */
int64_t bsh_loop_clock_us(void);

/*
 * bsh_loop_watch - call fn when fd is ready for one of events.  A descriptor
 * has at most one watch, and the watch is removed before fd is closed.
 *
 * RETURN VALUE
 *	The watch, owned by the loop until bsh_loop_unwatch(), or NULL.
 */
bsh_loop_watch_t *bsh_loop_watch(bsh_loop_t *loop, int fd, unsigned int events,
				 bsh_loop_watch_fn_t fn, void *ctx);

/* bsh_loop_watch_set - change the events; 0 reports errors only. */
bsh_error_t bsh_loop_watch_set(bsh_loop_watch_t *watch, unsigned int events);
void bsh_loop_unwatch(bsh_loop_watch_t *watch);

void bsh_loop_timer_init(bsh_loop_timer_t *timer, bsh_loop_t *loop,
			 bsh_loop_fn_t fn, void *ctx);

/* bsh_loop_timer_start - run once at at_us; moves a timer that runs already. */
void bsh_loop_timer_start(bsh_loop_timer_t *timer, int64_t at_us);
void bsh_loop_timer_after(bsh_loop_timer_t *timer, int64_t delay_us);
void bsh_loop_timer_stop(bsh_loop_timer_t *timer);
bool bsh_loop_timer_is_running(const bsh_loop_timer_t *timer);

void bsh_loop_task_init(bsh_loop_task_t *task, bsh_loop_t *loop,
			bsh_loop_fn_t fn, void *ctx);
void bsh_loop_task_schedule(bsh_loop_task_t *task);
void bsh_loop_task_cancel(bsh_loop_task_t *task);

#endif
