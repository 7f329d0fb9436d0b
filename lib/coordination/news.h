#ifndef BSH_COORDINATION_NEWS_H
#define BSH_COORDINATION_NEWS_H

/*
 * NAME
 *	news - queue of updates that are passed on a bounded number of times
 *
 * DESCRIPTION
 *	Each item is embedded in the record that it tells about.  Items that
 *	were sent least often come first; an item that was sent `limit` times
 *	leaves the queue.  All operations take constant time.
 */

#include <glib.h>
#include <stdbool.h>

/* Enough for 10^7 members: see bsh_members' limit. */
#define BSH_NEWS_LEVELS 32

typedef struct {
	GList link; /* data is the record */
	int level;  /* times sent; -1: not queued */
} bsh_news_item_t;

typedef struct {
	GQueue levels[BSH_NEWS_LEVELS];
	guint length;
} bsh_news_t;

void bsh_news_init(bsh_news_t *news);
void bsh_news_item_init(bsh_news_item_t *item, gpointer record);

/* bsh_news_add - queue as never sent, whatever was sent of it before. */
void bsh_news_add(bsh_news_t *news, bsh_news_item_t *item);
void bsh_news_remove(bsh_news_t *news, bsh_news_item_t *item);

/*
 * bsh_news_take - the items sent least often, up to max, in out.  They stay
 * queued until bsh_news_sent().
 */
guint bsh_news_take(const bsh_news_t *news, bsh_news_item_t **out, guint max);

/* bsh_news_sent - count one transmission. */
void bsh_news_sent(bsh_news_t *news, bsh_news_item_t *item, int limit);

#endif
