#include "feed.h"

#include <string.h>
#include <time.h>

#include "base/counter.h"
#include "base/log.h"

static bsh_counter_t lists[] = {
#define LISTS(reason)                                                          \
	BSH_COUNTER_LABELS("bsh_feed_lists_total",                             \
			   "Lists of a kind of object by their reason.",       \
			   "reason=\"" reason "\"")
	[FEED_START] = LISTS("start"),
	[FEED_RESUMED] = LISTS("resumed"),
	[FEED_FAILED] = LISTS("failed"),
	[FEED_HISTORY_GONE] = LISTS("history-gone"),
	[FEED_PERIOD] = LISTS("period"),
	[FEED_BEHIND] = LISTS("behind"),
	[FEED_RELIST] = LISTS("relist"),
};

/* Context of one call.  The response is dropped when the serial is no longer
 * the one of the feed: a newer call has replaced this one. */
typedef struct {
	feed_t *feed;
	uint64_t serial;
} feed_call_t;

static void start_call(void *ctx);

static feed_call_t *new_call(feed_t *feed)
{
	feed_call_t *call = g_new0(feed_call_t, 1);

	call->feed = feed;
	call->serial = ++feed->serial;
	return call;
}

/* Frees the call; returns its feed, or NULL when the response is outdated. */
static feed_t *end_call(feed_call_t *call)
{
	feed_t *feed = call->feed;
	bool current = call->serial == feed->serial && !feed->stopped;

	g_free(call);
	if (!current)
		return NULL;
	feed->call_pending = false;
	return feed;
}

void feed_init(feed_t *feed, platform_store_t *store, bsh_loop_t *loop,
	       platform_kind_t kind, const feed_ops_t *ops)
{
	memset(feed, 0, sizeof(*feed));
	feed->store = store;
	feed->loop = loop;
	feed->kind = kind;
	feed->ops = *ops;
	feed->listing = true;
	feed->list = 1;
	feed->backoff_us = FEED_BACKOFF_MIN_US;
	feed->backoff_max_us = FEED_BACKOFF_MAX_US;
	bsh_loop_timer_init(&feed->timer, loop, start_call, feed);
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++)
		bsh_counter_register(&lists[i]);
}

static void schedule_call(feed_t *feed, int64_t delay_us)
{
	if (!feed->stopped && !feed->paused)
		bsh_loop_timer_after(&feed->timer, delay_us);
}

static void set_store_reached(feed_t *feed, bool reached,
			      const platform_answer_t *answer)
{
	int64_t now_us = bsh_loop_clock_us();

	if (reached)
		feed->answered_us = now_us;
	else
		feed->failed_us = now_us;
	if (feed->reached == reached)
		return;
	if (reached)
		feed->recovered_us = now_us;
	feed->reached = reached;
	bsh_log(reached ? BSH_LOG_INFO : BSH_LOG_WARNING,
		"store-%s kind=%s result=%s status=%d took_ms=%d detail=\"%s\"",
		reached ? "reached" : "lost", platform_kind_name(feed->kind),
		platform_result_name(answer->result), answer->status,
		(int)(answer->took_us / 1000),
		answer->detail != NULL ? answer->detail : "");
	if (reached && feed->failed_us > 0)
		feed->ops.on_resync_needed(feed->ops.ctx);
}

static void retry_later(feed_t *feed, const platform_answer_t *answer)
{
	set_store_reached(feed, false, answer);
	/* Not all instances that fail together try again together. */
	schedule_call(feed, g_random_int_range((gint32)(feed->backoff_us / 2),
					       (gint32)feed->backoff_us + 1));
	feed->backoff_us = MIN(feed->backoff_us * 2, feed->backoff_max_us);
}

static void begin_list(feed_t *feed, feed_reason_t reason)
{
	feed->reason = reason;
	feed->listing = true;
	feed->list++;
	g_clear_pointer(&feed->next_after, g_free);
}

static void deliver_objects(feed_t *feed, const platform_answer_t *answer,
			    uint64_t list)
{
	for (uint32_t i = 0; i < answer->n; i++)
		feed->ops.on_object(feed->ops.ctx, &answer->objects[i], list);
}

static void note_complete(feed_t *feed, int64_t at_us)
{
	feed->complete_us = at_us;
	if (feed->ops.on_complete != NULL)
		feed->ops.on_complete(feed->ops.ctx);
}

static void on_list(void *ctx, const platform_answer_t *answer)
{
	feed_t *feed = end_call(ctx);

	if (feed == NULL)
		return;
	if (answer->result != PLATFORM_DONE) {
		begin_list(feed, FEED_FAILED);
		retry_later(feed, answer);
		return;
	}
	set_store_reached(feed, true, answer);
	feed->backoff_us = FEED_BACKOFF_MIN_US;
	deliver_objects(feed, answer, feed->list);
	if (feed->next_after == NULL)
		feed->first_page_revision = answer->revision;
	g_clear_pointer(&feed->next_after, g_free);
	if (answer->truncated && answer->n > 0) {
		feed->next_after =
			g_strdup(answer->objects[answer->n - 1].name);
		schedule_call(feed, 0);
		return;
	}
	/* The watch starts at the revision of the first page: it then returns
	 * the changes that were made while later pages were read. */
	feed->revision = feed->first_page_revision;
	feed->listing = false;
	feed->ops.on_listed(feed->ops.ctx, feed->list);
	note_complete(feed, feed->list_began_us);
	if (feed->once) {
		feed_pause(feed);
		return;
	}
	if (feed->ops.wait_ms > 0) {
		schedule_call(feed, 0);
		return;
	}
	begin_list(feed, FEED_PERIOD);
	schedule_call(feed, feed->ops.relist_us);
}

static void on_watch(void *ctx, const platform_answer_t *answer)
{
	feed_t *feed = end_call(ctx);

	if (feed == NULL)
		return;
	if (answer->result == PLATFORM_HISTORY_GONE) {
		bsh_log(BSH_LOG_INFO,
			"store-history-gone kind=%s "
			"revision=%" G_GUINT64_FORMAT,
			platform_kind_name(feed->kind), feed->revision);
		begin_list(feed, FEED_HISTORY_GONE);
		schedule_call(feed, 0);
		feed->ops.on_resync_needed(feed->ops.ctx);
		return;
	}
	if (answer->result != PLATFORM_DONE) {
		/* The lost response may have contained a change, and the
		 * history may have been compacted: only a list returns the
		 * current state. */
		begin_list(feed, FEED_FAILED);
		retry_later(feed, answer);
		return;
	}
	set_store_reached(feed, true, answer);
	feed->backoff_us = FEED_BACKOFF_MIN_US;
	deliver_objects(feed, answer, 0);
	note_complete(feed, feed->answered_us);
	feed->revision = MAX(feed->revision, answer->revision);
	schedule_call(feed, MAX(feed->watch_began_us + feed->ops.pace_us -
					bsh_loop_clock_us(),
				0));
}

static int64_t boot_clock_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return now.tv_sec * INT64_C(1000000) + now.tv_nsec / 1000;
}

static void start_call(void *ctx)
{
	feed_t *feed = ctx;

	if (feed->call_pending || feed->stopped || feed->paused)
		return;
	feed->call_pending = true;
	if (feed->next_after == NULL)
		feed->began_boot_us = boot_clock_us();
	if (feed->listing && feed->next_after == NULL) {
		feed->list_began_us = bsh_loop_clock_us();
		bsh_counter_add(&lists[feed->reason], 1);
	}
	if (!feed->listing)
		feed->watch_began_us = bsh_loop_clock_us();
	if (feed->listing)
		platform_store_list(feed->store, feed->kind, feed->next_after,
				    feed->reason == FEED_PERIOD, on_list,
				    new_call(feed));
	else
		platform_store_watch(feed->store, feed->kind, feed->revision,
				     feed->ops.wait_ms, on_watch,
				     new_call(feed));
}

void feed_start(feed_t *feed)
{
	schedule_call(feed, 0);
}

void feed_start_once(feed_t *feed)
{
	feed->once = true;
	schedule_call(feed, 0);
}

void feed_stop(feed_t *feed)
{
	feed->stopped = true;
	bsh_loop_timer_stop(&feed->timer);
	g_clear_pointer(&feed->next_after, g_free);
}

void feed_pause(feed_t *feed)
{
	if (feed->paused)
		return;
	feed->paused = true;
	feed->once = false;
	/* The changes are received from elsewhere from now on, so an earlier
	 * failure of the store hides none of them. */
	feed->failed_us = 0;
	/* Drops the response to the pending call. */
	feed->serial++;
	feed->call_pending = false;
	bsh_loop_timer_stop(&feed->timer);
}

static void resume(feed_t *feed, feed_reason_t reason)
{
	feed->paused = false;
	feed->resumed_us = bsh_loop_clock_us();
	begin_list(feed, reason);
	schedule_call(feed, 0);
}

void feed_resume(feed_t *feed)
{
	if (feed->paused)
		resume(feed, FEED_RESUMED);
}

void feed_read_once(feed_t *feed)
{
	if (!feed->paused) {
		if (!feed->once)
			feed_relist(feed);
		return;
	}
	resume(feed, FEED_BEHIND);
	feed->once = true;
}

void feed_set_backoff_max(feed_t *feed, int64_t backoff_max_us)
{
	feed->backoff_max_us = MAX(backoff_max_us, FEED_BACKOFF_MIN_US);
}

void feed_set_wait(feed_t *feed, uint32_t wait_ms)
{
	feed->ops.wait_ms = wait_ms;
}

void feed_relist(feed_t *feed)
{
	if ((feed->listing && feed->call_pending) || feed->stopped ||
	    feed->paused)
		return;
	begin_list(feed, FEED_RELIST);
	/* The pending watch is not cancelled; its response is dropped. */
	feed->call_pending = false;
	schedule_call(feed, 0);
}
