#include "coordination/news.h"

void bsh_news_init(bsh_news_t *news)
{
	for (int i = 0; i < BSH_NEWS_LEVELS; i++)
		g_queue_init(&news->levels[i]);
	news->length = 0;
}

void bsh_news_item_init(bsh_news_item_t *item, gpointer record)
{
	item->link = (GList){ .data = record };
	item->level = -1;
}

void bsh_news_remove(bsh_news_t *news, bsh_news_item_t *item)
{
	if (item->level < 0)
		return;
	g_queue_unlink(&news->levels[item->level], &item->link);
	item->level = -1;
	news->length--;
}

static void enqueue(bsh_news_t *news, bsh_news_item_t *item, int level)
{
	item->level = level;
	g_queue_push_tail_link(&news->levels[level], &item->link);
	news->length++;
}

void bsh_news_add(bsh_news_t *news, bsh_news_item_t *item)
{
	bsh_news_remove(news, item);
	enqueue(news, item, 0);
}

guint bsh_news_take(const bsh_news_t *news, bsh_news_item_t **out, guint max)
{
	guint n = 0;

	for (int i = 0; i < BSH_NEWS_LEVELS && n < max; i++) {
		for (GList *l = news->levels[i].head; l != NULL && n < max;
		     l = l->next)
			out[n++] = (bsh_news_item_t
					    *)(void *)((char *)l -
						       offsetof(bsh_news_item_t,
								link));
	}
	return n;
}

void bsh_news_sent(bsh_news_t *news, bsh_news_item_t *item, int limit)
{
	int level = item->level + 1;

	bsh_news_remove(news, item);
	if (level < MIN(limit, BSH_NEWS_LEVELS))
		enqueue(news, item, level);
}
