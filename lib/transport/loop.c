#include "transport/loop.h"

#include <apr_portable.h>
#include <string.h>
#include <time.h>

#include "base/crash.h"

/* Bound of the events that one poll returns. */
#define POLL_EVENTS_MAX 512
/* Longest poll timeout; the bound keeps the conversion to APR's interval type
 * from overflowing. */
#define POLL_TIMEOUT_MAX_US INT64_C(60000000)

struct bsh_loop_watch {
	bsh_loop_t *loop;
	apr_pollfd_t pfd; /* its APR socket wraps fd and is reused */
	int fd;
	bool active;
	bsh_loop_watch_fn_t fn;
	void *ctx;
	bsh_loop_watch_t *next;
};

typedef struct {
	bsh_loop_fn_t fn;
	void *ctx;
} posted_call_t;

int64_t bsh_loop_clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t bsh_loop_now_us(const bsh_loop_t *loop)
{
	return loop->now_us;
}

static int on_out_of_memory(int status)
{
	bsh_crash_abort("APR: a pool cannot be extended, status %d", status);
}

bsh_error_t bsh_loop_init(bsh_loop_t *loop)
{
	memset(loop, 0, sizeof(*loop));
	if (apr_pool_create(&loop->pool, NULL) != APR_SUCCESS)
		return BSH_ERR_SYSTEM;
	apr_pool_abort_set(on_out_of_memory, loop->pool);
	if (apr_pollset_create_ex(
		    &loop->pollset, POLL_EVENTS_MAX, loop->pool,
		    /* NOCOPY avoids a linear search on removal. */
		    APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY |
			    APR_POLLSET_NODEFAULT,
		    APR_POLLSET_EPOLL) != APR_SUCCESS) {
		apr_pool_destroy(loop->pool);
		return BSH_ERR_SYSTEM;
	}
	loop->timers = g_ptr_array_new();
	loop->posted = g_array_new(FALSE, FALSE, sizeof(posted_call_t));
	loop->tasks_tail = &loop->tasks;
	pthread_mutex_init(&loop->posted_lock, NULL);
	loop->now_us = bsh_loop_clock_us();
	return BSH_OK;
}

void bsh_loop_finish(bsh_loop_t *loop)
{
	apr_pollset_destroy(loop->pollset);
	apr_pool_destroy(loop->pool);
	g_ptr_array_free(loop->timers, TRUE);
	g_array_free(loop->posted, TRUE);
	pthread_mutex_destroy(&loop->posted_lock);
}

static apr_int16_t events_to_apr(unsigned int events)
{
	apr_int16_t requested = 0;

	if (events & BSH_LOOP_READ)
		requested |= APR_POLLIN;
	if (events & BSH_LOOP_WRITE)
		requested |= APR_POLLOUT;
	return requested;
}

static unsigned int events_from_apr(apr_int16_t reported)
{
	unsigned int events = 0;

	if (reported & APR_POLLIN)
		events |= BSH_LOOP_READ;
	if (reported & APR_POLLOUT)
		events |= BSH_LOOP_WRITE;
	if (reported & (APR_POLLERR | APR_POLLHUP | APR_POLLNVAL))
		events |= BSH_LOOP_ERROR;
	return events;
}

bsh_loop_watch_t *bsh_loop_watch(bsh_loop_t *loop, int fd, unsigned int events,
				 bsh_loop_watch_fn_t fn, void *ctx)
{
	bsh_loop_watch_t *watch = loop->free_watches;

	if (watch != NULL)
		loop->free_watches = watch->next;
	else
		watch = apr_pcalloc(loop->pool, sizeof(*watch));
	watch->loop = loop;
	watch->fd = fd;
	watch->fn = fn;
	watch->ctx = ctx;
	if (apr_os_sock_put(&watch->pfd.desc.s, &fd, loop->pool) != APR_SUCCESS)
		goto fail;
	watch->pfd.p = loop->pool;
	watch->pfd.desc_type = APR_POLL_SOCKET;
	watch->pfd.reqevents = events_to_apr(events);
	watch->pfd.client_data = watch;
	if (apr_pollset_add(loop->pollset, &watch->pfd) != APR_SUCCESS)
		goto fail;
	watch->active = true;
	return watch;
fail:
	watch->next = loop->free_watches;
	loop->free_watches = watch;
	return NULL;
}

bsh_error_t bsh_loop_watch_set(bsh_loop_watch_t *watch, unsigned int events)
{
	apr_int16_t requested = events_to_apr(events);

	if (requested == watch->pfd.reqevents)
		return BSH_OK;
	/* APR cannot modify an entry of a poll set. */
	apr_pollset_remove(watch->loop->pollset, &watch->pfd);
	watch->pfd.reqevents = requested;
	if (apr_pollset_add(watch->loop->pollset, &watch->pfd) != APR_SUCCESS)
		return BSH_ERR_SYSTEM;
	return BSH_OK;
}

void bsh_loop_unwatch(bsh_loop_watch_t *watch)
{
	apr_pollset_remove(watch->loop->pollset, &watch->pfd);
	watch->active = false;
	/* Events already polled in this round may still refer to the watch. */
	watch->next = watch->loop->retired_watches;
	watch->loop->retired_watches = watch;
}

static void release_retired_watches(bsh_loop_t *loop)
{
	while (loop->retired_watches != NULL) {
		bsh_loop_watch_t *watch = loop->retired_watches;

		loop->retired_watches = watch->next;
		watch->next = loop->free_watches;
		loop->free_watches = watch;
	}
}

static bool expires_before(const bsh_loop_timer_t *a, const bsh_loop_timer_t *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static bsh_loop_timer_t *timer_at(const bsh_loop_t *loop, guint i)
{
	return g_ptr_array_index(loop->timers, i);
}

static void set_timer_at(bsh_loop_t *loop, guint i, bsh_loop_timer_t *timer)
{
	g_ptr_array_index(loop->timers, i) = timer;
	timer->position = (int32_t)i;
}

static void sift_up(bsh_loop_t *loop, guint i)
{
	bsh_loop_timer_t *timer = timer_at(loop, i);

	while (i > 0 && expires_before(timer, timer_at(loop, (i - 1) / 2))) {
		set_timer_at(loop, i, timer_at(loop, (i - 1) / 2));
		i = (i - 1) / 2;
	}
	set_timer_at(loop, i, timer);
}

static void sift_down(bsh_loop_t *loop, guint i)
{
	bsh_loop_timer_t *timer = timer_at(loop, i);
	guint child;

	for (; (child = 2 * i + 1) < loop->timers->len; i = child) {
		if (child + 1 < loop->timers->len &&
		    expires_before(timer_at(loop, child + 1),
				   timer_at(loop, child)))
			child++;
		if (!expires_before(timer_at(loop, child), timer))
			break;
		set_timer_at(loop, i, timer_at(loop, child));
	}
	set_timer_at(loop, i, timer);
}

void bsh_loop_timer_init(bsh_loop_timer_t *timer, bsh_loop_t *loop,
			 bsh_loop_fn_t fn, void *ctx)
{
	memset(timer, 0, sizeof(*timer));
	timer->loop = loop;
	timer->fn = fn;
	timer->ctx = ctx;
	timer->position = -1;
}

void bsh_loop_timer_start(bsh_loop_timer_t *timer, int64_t at_us)
{
	bsh_loop_t *loop = timer->loop;

	bsh_loop_timer_stop(timer);
	timer->at_us = at_us;
	timer->order = loop->next_order++;
	g_ptr_array_add(loop->timers, timer);
	sift_up(loop, loop->timers->len - 1);
}

void bsh_loop_timer_after(bsh_loop_timer_t *timer, int64_t delay_us)
{
	bsh_loop_timer_start(timer, bsh_loop_clock_us() + delay_us);
}

void bsh_loop_timer_stop(bsh_loop_timer_t *timer)
{
	bsh_loop_t *loop = timer->loop;
	bsh_loop_timer_t *last;
	guint i = (guint)timer->position;

	if (timer->position < 0)
		return;
	timer->position = -1;
	last = timer_at(loop, loop->timers->len - 1);
	g_ptr_array_set_size(loop->timers, (gint)loop->timers->len - 1);
	if (last == timer)
		return;
	set_timer_at(loop, i, last);
	sift_up(loop, i);
	sift_down(loop, (guint)last->position);
}

bool bsh_loop_timer_is_running(const bsh_loop_timer_t *timer)
{
	return timer->position >= 0;
}

void bsh_loop_task_init(bsh_loop_task_t *task, bsh_loop_t *loop,
			bsh_loop_fn_t fn, void *ctx)
{
	memset(task, 0, sizeof(*task));
	task->loop = loop;
	task->fn = fn;
	task->ctx = ctx;
}

void bsh_loop_task_schedule(bsh_loop_task_t *task)
{
	if (task->queued)
		return;
	task->queued = true;
	task->next = NULL;
	*task->loop->tasks_tail = task;
	task->loop->tasks_tail = &task->next;
}

void bsh_loop_task_cancel(bsh_loop_task_t *task)
{
	bsh_loop_t *loop = task->loop;

	if (!task->queued)
		return;
	task->queued = false;
	for (bsh_loop_task_t **p = &loop->tasks; *p != NULL; p = &(*p)->next) {
		if (*p != task)
			continue;
		*p = task->next;
		if (loop->tasks_tail == &task->next)
			loop->tasks_tail = p;
		return;
	}
}

static void run_tasks(bsh_loop_t *loop)
{
	while (loop->tasks != NULL) {
		bsh_loop_task_t *task = loop->tasks;

		loop->tasks = task->next;
		if (loop->tasks == NULL)
			loop->tasks_tail = &loop->tasks;
		task->queued = false;
		task->fn(task->ctx);
	}
}

static void run_timers(bsh_loop_t *loop)
{
	/* Timers started by these callbacks run in the next round, so that a
	 * timer that restarts itself without delay cannot starve the
	 * descriptors. */
	uint64_t end_order = loop->next_order;

	while (loop->timers->len > 0) {
		bsh_loop_timer_t *timer = timer_at(loop, 0);

		if (timer->at_us > loop->now_us || timer->order >= end_order)
			return;
		bsh_loop_timer_stop(timer);
		timer->fn(timer->ctx);
	}
}

/* Returns the calls posted so far, or NULL if there are none.  Without the lock,
 * the list must not even be looked at. */
static GArray *take_posted(bsh_loop_t *loop)
{
	GArray *batch = NULL;

	pthread_mutex_lock(&loop->posted_lock);
	if (loop->posted->len > 0) {
		batch = loop->posted;
		loop->posted = g_array_new(FALSE, FALSE, sizeof(posted_call_t));
	}
	pthread_mutex_unlock(&loop->posted_lock);
	return batch;
}

static void run_posted(bsh_loop_t *loop)
{
	GArray *batch = take_posted(loop);

	if (batch == NULL)
		return;
	for (guint i = 0; i < batch->len; i++) {
		posted_call_t *p = &g_array_index(batch, posted_call_t, i);

		p->fn(p->ctx);
	}
	g_array_free(batch, TRUE);
}

void bsh_loop_post(bsh_loop_t *loop, bsh_loop_fn_t fn, void *ctx)
{
	posted_call_t p = { fn, ctx };
	bool was_empty;

	pthread_mutex_lock(&loop->posted_lock);
	was_empty = loop->posted->len == 0;
	g_array_append_val(loop->posted, p);
	pthread_mutex_unlock(&loop->posted_lock);
	if (was_empty)
		apr_pollset_wakeup(loop->pollset);
}

static int64_t poll_timeout_us(const bsh_loop_t *loop, int64_t max_wait_us)
{
	int64_t wait = POLL_TIMEOUT_MAX_US;

	if (max_wait_us >= 0)
		wait = MIN(wait, max_wait_us);
	if (loop->timers->len > 0)
		wait = MIN(wait,
			   timer_at(loop, 0)->at_us - bsh_loop_clock_us());
	if (wait <= 0)
		return 0;
	/* epoll_wait(2) takes milliseconds and APR rounds down; without
	 * rounding up, the loop would poll repeatedly with a timeout of 0
	 * during the last millisecond before a timer expires. */
	return (wait + 999) / 1000 * 1000;
}

void bsh_loop_step(bsh_loop_t *loop, int64_t max_wait_us)
{
	const apr_pollfd_t *ready = NULL;
	apr_int32_t count = 0;
	apr_status_t status;

	run_tasks(loop);
	status = apr_pollset_poll(loop->pollset,
				  poll_timeout_us(loop, max_wait_us), &count,
				  &ready);
	loop->now_us = bsh_loop_clock_us();
	if (status != APR_SUCCESS)
		count = 0;
	for (apr_int32_t i = 0; i < count; i++) {
		bsh_loop_watch_t *watch = ready[i].client_data;

		if (watch->active)
			watch->fn(watch->ctx, watch->fd,
				  events_from_apr(ready[i].rtnevents));
	}
	release_retired_watches(loop);
	run_posted(loop);
	run_timers(loop);
	run_tasks(loop);
}

void bsh_loop_run(bsh_loop_t *loop)
{
	while (!__atomic_load_n(&loop->stopped, __ATOMIC_ACQUIRE))
		bsh_loop_step(loop, -1);
}

void bsh_loop_stop(bsh_loop_t *loop)
{
	__atomic_store_n(&loop->stopped, 1, __ATOMIC_RELEASE);
	apr_pollset_wakeup(loop->pollset);
}
