#include "coordination/gossip_queue.h"

void bsh_gossip_queue_init(bsh_gossip_queue_t *queue)
{
	for (int i = 0; i < BSH_GOSSIP_LEVELS; i++)
		g_queue_init(&queue->levels[i]);
	queue->length = 0;
}

void bsh_gossip_item_init(bsh_gossip_item_t *item, gpointer record)
{
	item->link = (GList){ .data = record };
	item->level = -1;
}

void bsh_gossip_queue_remove(bsh_gossip_queue_t *queue, bsh_gossip_item_t *item)
{
	if (item->level < 0)
		return;
	g_queue_unlink(&queue->levels[item->level], &item->link);
	item->level = -1;
	queue->length--;
}

static void enqueue(bsh_gossip_queue_t *queue, bsh_gossip_item_t *item,
		    int level)
{
	item->level = level;
	g_queue_push_tail_link(&queue->levels[level], &item->link);
	queue->length++;
}

void bsh_gossip_queue_add(bsh_gossip_queue_t *queue, bsh_gossip_item_t *item)
{
	bsh_gossip_queue_remove(queue, item);
	enqueue(queue, item, 0);
}

guint bsh_gossip_queue_peek(const bsh_gossip_queue_t *queue,
			    bsh_gossip_item_t **out, guint max)
{
	guint n = 0;

	for (int i = 0; i < BSH_GOSSIP_LEVELS && n < max; i++) {
		for (GList *l = queue->levels[i].head; l != NULL && n < max;
		     l = l->next)
			out[n++] =
				(bsh_gossip_item_t
					 *)(void *)((char *)l -
						    offsetof(bsh_gossip_item_t,
							     link));
	}
	return n;
}

void bsh_gossip_queue_mark_sent(bsh_gossip_queue_t *queue,
				bsh_gossip_item_t *item, int limit)
{
	int level = item->level + 1;

	bsh_gossip_queue_remove(queue, item);
	if (level < MIN(limit, BSH_GOSSIP_LEVELS))
		enqueue(queue, item, level);
}
