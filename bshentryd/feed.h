#ifndef BSHENTRYD_FEED_H
#define BSHENTRYD_FEED_H

/*
 * NAME
 *	feed - follows the objects of one kind in the platform's store
 *
 * DESCRIPTION
 *	Lists the kind, then watches it; lists again when the store has
 *	dropped the history in between.  A failed call is repeated after a
 *	pause that grows to FEED_PAUSE_MAX_US.
 *
 *	Each object is told by on_object with its revision.  After a list,
 *	on_listed says which list it was, so that the consumer can drop
 *	objects that the list did not show.
 */

#include "platform/store.h"

#define FEED_BACKOFF_MIN_US INT64_C(100000)
#define FEED_BACKOFF_MAX_US INT64_C(800000)

typedef struct {
	/* list: number of the list that shows the object; 0: an event. */
	void (*on_object)(void *ctx, const platform_object_t *object,
			  uint64_t list);
	/* All objects of this list have been told. */
	void (*on_listed)(void *ctx, uint64_t list);
	/* The store answers again after a failure, or has dropped its history:
	 * watches of other kinds may have missed changes too. */
	void (*on_resync_needed)(void *ctx);
	void *ctx;
	/* A watch that hears nothing is asked again after this time: an answer
	 * that the store lost is missed for no longer.  0: no watch, the kind
	 * is listed again every relist_us. */
	uint32_t wait_ms;
	int64_t relist_us;
} feed_ops_t;

typedef struct {
	platform_store_t *store;
	bsh_loop_t *loop;
	platform_kind_t kind;
	feed_ops_t ops;
	bsh_loop_timer_t timer;
	uint64_t serial;	      /* of the last call */
	uint64_t revision;	      /* up to which changes are known */
	uint64_t list;		      /* number of the current list */
	char *next_after;	      /* name at which the list goes on */
	uint64_t first_page_revision; /* of the first page */
	bool listing;
	bool call_pending; /* a call is out */
	bool stopped;
	bool paused;
	bool reached;
	int64_t backoff_us;
	int64_t answered_us;  /* last answer of the store */
	int64_t failed_us;    /* last failure; 0: none */
	int64_t recovered_us; /* first answer after the last failure */
} feed_t;

void feed_init(feed_t *feed, platform_store_t *store, bsh_loop_t *loop,
	       platform_kind_t kind, const feed_ops_t *ops);
void feed_start(feed_t *feed);
void feed_stop(feed_t *feed);

/* feed_pause - stop following; feed_resume - list anew and follow. */
void feed_pause(feed_t *feed);
void feed_resume(feed_t *feed);

/* feed_relist - list the kind anew, without waiting for the current watch. */
void feed_relist(feed_t *feed);

#endif
