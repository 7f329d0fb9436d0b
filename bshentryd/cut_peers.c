/* Which instances reach no target, as they say themselves. */
#include "control.h"

#include "base/log.h"

/* An instance that reaches no target repeats it at this interval. */
#define REPEAT_US INT64_C(200000)
/* Without a repetition an instance counts as one that reaches targets. */
#define VALID_US INT64_C(1000000)

struct cut_peers {
	control_t *control;
	GHashTable *heard; /* name to the time when it last said so */
	bool cut;	   /* this instance */
	int64_t said_us;
};

cut_peers_t *cut_peers_new(control_t *control)
{
	cut_peers_t *cut = g_new0(cut_peers_t, 1);

	cut->control = control;
	cut->heard =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return cut;
}

void cut_peers_free(cut_peers_t *cut)
{
	g_hash_table_destroy(cut->heard);
	g_free(cut);
}

static void say(cut_peers_t *cut)
{
	bsh_message_t message = { .type = BSH_MSG_REACH,
				  .reach = { .cut = cut->cut } };

	cut->said_us = control_now_us(cut->control);
	peers_broadcast(cut->control->peers, &message);
}

void cut_peers_set_self(cut_peers_t *cut, bool is_cut)
{
	cut->cut = is_cut;
	say(cut);
}

void cut_peers_receive(cut_peers_t *cut, const char *sender,
		       const bsh_msg_reach_t *message)
{
	int64_t now_us = control_now_us(cut->control);
	bool before = cut_peers_is_cut(cut, sender);

	if (message->cut)
		g_hash_table_replace(cut->heard, g_strdup(sender),
				     g_memdup2(&now_us, sizeof(now_us)));
	else
		g_hash_table_remove(cut->heard, sender);
	if (before == message->cut)
		return;
	bsh_log(BSH_LOG_INFO, "instance-cut instance=%s cut=%d", sender,
		message->cut);
	if (cut->cut)
		control_schedule_view(cut->control);
}

bool cut_peers_is_cut(const cut_peers_t *cut, const char *instance)
{
	const int64_t *heard_us;

	if (g_strcmp0(instance, cut->control->entry->settings.instance) == 0)
		return cut->cut;
	heard_us = g_hash_table_lookup(cut->heard, instance);
	return heard_us != NULL &&
	       control_now_us(cut->control) - *heard_us < VALID_US;
}

void cut_peers_tick(cut_peers_t *cut)
{
	if (cut->cut &&
	    control_now_us(cut->control) - cut->said_us >= REPEAT_US)
		say(cut);
}
