#ifndef BSHENTRYD_FEED_H
#define BSHENTRYD_FEED_H

/*
 * NAME
 *	feed - list-and-watch client for one kind of object in the store
 *
 * DESCRIPTION
 *	Lists the objects of a kind and then watches for changes.  Lists again
 *	when the store has compacted the history since the last known revision,
 *	or was restored from an older copy.  A failed call is retried with exponential backoff between
 *	FEED_BACKOFF_MIN_US and FEED_BACKOFF_MAX_US.
 *
 *	A kind that is not watched is listed each relist_us, from a copy that
 *	may be some seconds old and costs less.
 *
 *	Each object that a list or a watch returns is passed to on_object.
 *	on_listed then ends a list: the consumer drops the objects that did
 *	not appear in the list of that number.
 *
 * THREADS
 *	All calls and callbacks belong to the thread of the loop.
 */

#include "platform/store.h"

#define FEED_BACKOFF_MIN_US INT64_C(100000)
#define FEED_BACKOFF_MAX_US INT64_C(800000)

typedef struct {
	/* list: number of the list that contains the object; 0: the object
	 * comes from a watch. */
	void (*on_object)(void *ctx, const platform_object_t *object,
			  uint64_t list);
	/* All objects of this list were passed to on_object. */
	void (*on_listed)(void *ctx, uint64_t list);
	/* The store answers again after a failure, or has compacted its
	 * history: the watches of other kinds may have missed changes too. */
	void (*on_resync_needed)(void *ctx);
	/* complete_us has advanced: all changes up to then were passed on; or
	 * NULL. */
	void (*on_complete)(void *ctx);
	void *ctx;
	/* Longest duration of a watch without a change.  It also bounds the
	 * time for which a change goes unnoticed when the store has lost the
	 * watch.  0: no watch, the kind is listed every relist_us. */
	uint32_t wait_ms;
	int64_t relist_us;
	/* Shortest time between the begins of two watches.  A watch returns
	 * with the first change; the next one returns all that were made since
	 * in one answer. */
	int64_t pace_us;
} feed_ops_t;

/* Why the objects are listed. */
typedef enum {
	FEED_START,
	FEED_RESUMED,	   /* feed_resume() */
	FEED_FAILED,	   /* a call failed: the next change is not known */
	FEED_HISTORY_GONE, /* of the store */
	FEED_PERIOD,	   /* of a kind that is not watched */
	FEED_BEHIND,	   /* feed_read_once() */
	FEED_RELIST	   /* feed_relist() */
} feed_reason_t;

typedef struct {
	platform_store_t *store;
	bsh_loop_t *loop;
	platform_kind_t kind;
	feed_ops_t ops;
	bsh_loop_timer_t timer;
	uint64_t serial;   /* of the last call; other responses are dropped */
	uint64_t revision; /* all changes up to this one were delivered */
	uint64_t list;	   /* number of the current list, from 1 */
	char *next_after;  /* last name of the previous page; NULL: none */
	uint64_t first_page_revision; /* of the current list */
	feed_reason_t reason;	      /* of the current list */
	bool listing;		      /* the next or pending call is a list */
	bool call_pending;	      /* a call awaits its response */
	bool stopped;
	bool paused;
	bool once; /* pauses again when the current list is complete */
	int64_t backoff_max_us;
	bool reached;	     /* the last call succeeded */
	int64_t backoff_us;  /* delay of the next retry */
	int64_t answered_us; /* time of the last successful call */
	/* The delivered objects include all changes made before this time; 0:
	 * no list was completed. */
	int64_t complete_us;
	int64_t watch_began_us; /* last watch; 0: none */
	int64_t list_began_us;	/* first call of the current list */
	/* Begin of the last watch or list, on CLOCK_BOOTTIME. */
	int64_t began_boot_us;
	int64_t resumed_us;   /* last feed_resume(); 0: none */
	int64_t failed_us;    /* time of the last failed call; 0: none */
	int64_t recovered_us; /* first success after the last failure */
} feed_t;

void feed_init(feed_t *feed, platform_store_t *store, bsh_loop_t *loop,
	       platform_kind_t kind, const feed_ops_t *ops);
void feed_start(feed_t *feed);
/* feed_start_once - list once, then pause as if by feed_pause(). */
void feed_start_once(feed_t *feed);
void feed_stop(feed_t *feed);

/* feed_pause - stop following changes, until feed_resume(). */
void feed_pause(feed_t *feed);
/* feed_resume - list again and follow changes. */
void feed_resume(feed_t *feed);

/* feed_read_once - list once while paused; does nothing more while such a list is
 * under way, and lists again if the feed is not paused. */
void feed_read_once(feed_t *feed);

/* feed_set_backoff_max - longest delay of a retry. */
void feed_set_backoff_max(feed_t *feed, int64_t backoff_max_us);

/* feed_set_wait - longest duration of the next watches without a change. */
void feed_set_wait(feed_t *feed, uint32_t wait_ms);

/* feed_relist - list again without waiting for the current watch to end. */
void feed_relist(feed_t *feed);

#endif
