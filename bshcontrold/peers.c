/*
 * Membership: sends and receives the datagrams of the failure detector, and
 * keeps connections to other controllers for frames.
 */
#include "control.h"

#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "coordination/member.h"
#include "protocol/datagram.h"

/* Frames queued for a peer while it is not connected.  When the queue is full
 * the oldest frame is dropped: the protocols that use frames repeat what is
 * lost. */
#define QUEUED_FRAMES_MAX 64

/* Another controller with its outgoing channel. */
typedef struct {
	control_t *control;
	char *name;    /* of the instance */
	char *address; /* place.link that the channel connects to */
	bsh_channel_t *channel;
	GQueue queue; /* GBytes: encoded messages */
} peer_t;

struct peers {
	bsh_members_t *members;
	bsh_datagram_socket_t datagrams;
	GHashTable *table;		  /* instance to peer_t */
	bsh_channel_listener_t *listener; /* routers and other controllers */
	bsh_loop_timer_t timer;
};

void peers_send_datagram(control_t *control, const char *address,
			 bsh_message_t *message)
{
	bsh_datagram_t datagram;

	message->stamp = bsh_timeline_stamp(&control->timeline);
	/* Errors are ignored: the protocols tolerate lost datagrams. */
	if (bsh_datagram_socket_seal(&control->peers->datagrams, message,
				     &datagram) == BSH_OK)
		bsh_datagram_socket_send(&control->peers->datagrams, address,
					 &datagram);
}

static void send_member(void *ctx, const char *name, const char *address,
			const bsh_member_message_t *msg)
{
	uint8_t body[BSH_MEMBER_BODY_MAX_BYTES];
	bsh_message_t message = { .type = BSH_MSG_MEMBER };

	(void)name;
	message.body.body = body;
	message.body.body_bytes = (uint32_t)bsh_member_message_encode(
		msg, body, sizeof(body), NULL);
	if (message.body.body_bytes > 0)
		peers_send_datagram(ctx, address, &message);
}

static void free_peer(void *data)
{
	peer_t *peer = data;

	if (peer->channel != NULL)
		bsh_channel_close(peer->channel);
	g_queue_clear_full(&peer->queue, (GDestroyNotify)g_bytes_unref);
	g_free(peer->name);
	g_free(peer->address);
	g_free(peer);
}

static const char *state_name(const bsh_member_t *member)
{
	static const char *const names[] = { "alive", "suspect", "dead",
					     "gone" };

	return member->leaving ? "leaving" : names[member->state];
}

static void on_member_changed(void *ctx, const bsh_member_t *member)
{
	control_t *control = ctx;

	bsh_log(BSH_LOG_INFO, "member name=%s state=%s", member->name,
		state_name(member));
	bsh_timeline_add(&control->timeline, "member", "{s:s, s:s, s:I}",
			 "name", member->name, "state", state_name(member),
			 "incarnation", (json_int_t)member->incarnation);
	if (member->state == BSH_MEMBER_DEAD ||
	    member->state == BSH_MEMBER_GONE) {
		g_hash_table_remove(control->peers->table, member->name);
		demands_peer_down(control, member->name);
	}
	cells_members_changed(control);
}

static void on_target_leaving(void *ctx, const char *target,
			      uint64_t incarnation)
{
	targets_peer_leaving(ctx, target, incarnation);
}

static void on_cell_owner(void *ctx, const char *cell, const char *owner,
			  uint64_t epoch)
{
	/* Hints are not used: the owner is read from the cell object. */
	(void)ctx;
	(void)cell;
	(void)owner;
	(void)epoch;
}

static void on_peer_generation(void *ctx, const char *from, uint64_t number,
			       uint64_t hash)
{
	config_peer_generation(ctx, from, number, hash);
}

static const bsh_members_ops_t members_ops = {
	.send = send_member,
	.changed = on_member_changed,
	.target_leaving = on_target_leaving,
	.cell_owner = on_cell_owner,
	.generation = on_peer_generation,
};

static void run(control_t *control)
{
	struct peers *peers = control->peers;

	control_timer_at(&peers->timer,
			 bsh_members_tick(peers->members, control_now_us()));
}

static void on_timer(void *ctx)
{
	run(ctx);
}

/* Uses the timer, because this may run within a callback of the module. */
void peers_tick_soon(control_t *control)
{
	bsh_loop_timer_after(&control->peers->timer, 0);
}

static void receive_member(control_t *control, const bsh_message_t *message)
{
	bsh_member_message_t msg;

	if (bsh_member_message_decode(&msg, message->body.body,
				      message->body.body_bytes) != BSH_OK)
		return;
	bsh_members_receive(control->peers->members, control_now_us(),
			    message->sender, message->incarnation, &msg);
	run(control);
}

static void on_datagram(void *ctx, const bsh_message_t *message)
{
	control_t *control = ctx;

	bsh_timeline_receive(&control->timeline, message->stamp);
	if (message->type == BSH_MSG_MEMBER)
		receive_member(control, message);
	else if (message->type == BSH_MSG_ADOPTION)
		config_receive(control, message);
}

static void receive_from_peer(control_t *control, const bsh_message_t *message)
{
	switch (message->type) {
	case BSH_MSG_ADOPTION:
		config_receive(control, message);
		break;
	case BSH_MSG_NEED:
	case BSH_MSG_NEED_ANSWER:
		demands_receive(control, message);
		break;
	case BSH_MSG_ROUTES:
	case BSH_MSG_HANDOVER:
		cells_receive(control, message);
		break;
	case BSH_MSG_REPORT:
		cells_report(control, message);
		break;
	default:
		break;
	}
}

static void on_accepted_up(void *ctx, bsh_channel_t *channel)
{
	if (bsh_channel_peer_role(channel) == BSH_ROLE_ROUTER)
		routers_up(ctx, channel);
}

static void on_accepted_down(void *ctx, bsh_channel_t *channel)
{
	if (bsh_channel_peer_role(channel) == BSH_ROLE_ROUTER)
		routers_down(ctx, channel);
}

static void on_accepted_message(void *ctx, bsh_channel_t *channel,
				const bsh_message_t *message)
{
	if (bsh_channel_peer_role(channel) == BSH_ROLE_ROUTER)
		routers_receive(ctx, channel, message);
	else
		receive_from_peer(ctx, message);
}

static const bsh_channel_ops_t accepted_ops = { on_accepted_up,
						on_accepted_message,
						on_accepted_down };

static void on_peer_up(void *ctx, bsh_channel_t *channel)
{
	peer_t *peer = ctx;
	GBytes *bytes;

	while ((bytes = g_queue_pop_head(&peer->queue)) != NULL) {
		bsh_message_t message;
		gsize size;
		const char *data = g_bytes_get_data(bytes, &size);

		if (bsh_message_decode(&message, data, size) == BSH_OK) {
			bsh_channel_send(channel, &message);
			bsh_message_finish(&message);
		}
		g_bytes_unref(bytes);
	}
}

static void on_peer_down(void *ctx, bsh_channel_t *channel)
{
	peer_t *peer = ctx;

	(void)channel;
	demands_peer_down(peer->control, peer->name);
}

static void on_peer_frame(void *ctx, bsh_channel_t *channel,
			  const bsh_message_t *message)
{
	peer_t *peer = ctx;

	(void)channel;
	receive_from_peer(peer->control, message);
}

static const bsh_channel_ops_t peer_ops = { on_peer_up, on_peer_frame,
					    on_peer_down };

/* The peer of an instance, connected on first use and again when its address
 * changes.  NULL for this instance or if the address is not known. */
static peer_t *get_peer(control_t *control, const char *name)
{
	struct peers *peers = control->peers;
	const bsh_member_t *member = bsh_members_find(peers->members, name);
	peer_t *peer = g_hash_table_lookup(peers->table, name);

	if (member == NULL || !member->has_place ||
	    strcmp(name, control->settings.instance) == 0)
		return NULL;
	if (peer != NULL && strcmp(peer->address, member->place.link) == 0)
		return peer;
	peer = g_new0(peer_t, 1);
	peer->control = control;
	peer->name = g_strdup(name);
	peer->address = g_strdup(member->place.link);
	g_queue_init(&peer->queue);
	g_hash_table_replace(peers->table, g_strdup(name), peer);
	peer->channel = bsh_channel_connect(&control->loop, &control->identity,
					    peer->address, &peer_ops, peer);
	return peer;
}

static void enqueue(peer_t *peer, const bsh_message_t *message)
{
	bsh_message_t copy = *message;
	char *data;
	size_t size;

	copy.sender = peer->control->settings.instance;
	if (bsh_message_encode(&copy, &data, &size) != BSH_OK)
		return;
	if (g_queue_get_length(&peer->queue) >= QUEUED_FRAMES_MAX)
		g_bytes_unref(g_queue_pop_head(&peer->queue));
	g_queue_push_tail(&peer->queue,
			  g_bytes_new_with_free_func(data, size, free, data));
}

void peers_send(control_t *control, const char *instance,
		bsh_message_t *message)
{
	peer_t *peer = get_peer(control, instance);

	if (peer == NULL)
		return;
	if (bsh_channel_is_up(peer->channel))
		bsh_channel_send(peer->channel, message);
	else
		enqueue(peer, message);
}

typedef struct {
	control_t *control;
	const bsh_message_t *message;
} broadcast_t;

static void send_to_member(void *ctx, const bsh_member_t *member)
{
	broadcast_t *broadcast = ctx;
	bsh_message_t copy = *broadcast->message;

	if (member->state == BSH_MEMBER_ALIVE ||
	    member->state == BSH_MEMBER_SUSPECT)
		peers_send(broadcast->control, member->name, &copy);
}

void peers_broadcast(control_t *control, const bsh_message_t *message)
{
	broadcast_t broadcast = { control, message };

	bsh_members_foreach(control->peers->members, send_to_member,
			    &broadcast);
}

void peers_leave(control_t *control)
{
	bsh_members_leave(control->peers->members, control_now_us());
	run(control);
}

struct bsh_members *peers_members(const control_t *control)
{
	return control->peers->members;
}

static void add_seeds(control_t *control)
{
	char **seeds =
		g_strsplit_set(control->settings.control_seeds, ", ", -1);

	for (int i = 0; seeds[i] != NULL; i++) {
		if (seeds[i][0] != '\0')
			bsh_members_add_seed(control->peers->members,
					     control_now_us(), seeds[i]);
	}
	g_strfreev(seeds);
}

static void make_members(control_t *control)
{
	const bsh_settings_t *s = &control->settings;
	bsh_members_config_t config = { .name = s->instance,
					.incarnation = control->incarnation,
					.period_ms = s->probe_period_ms,
					.seed = control_seed() };

	g_strlcpy(config.place.zone, s->zone, sizeof(config.place.zone));
	g_strlcpy(config.place.gossip, s->control_gossip,
		  sizeof(config.place.gossip));
	g_strlcpy(config.place.link, s->control_link,
		  sizeof(config.place.link));
	g_strlcpy(config.place.entry, s->router_listen,
		  sizeof(config.place.entry));
	control->peers->members = bsh_members_new(&config, &members_ops,
						  control, control_now_us());
}

void peers_start(control_t *control)
{
	struct peers *peers = g_new0(struct peers, 1);

	control->peers = peers;
	peers->table = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_peer);
	make_members(control);
	if (bsh_datagram_socket_init(
		    &peers->datagrams, &control->loop,
		    control->settings.control_gossip, control->settings.key,
		    control->settings.instance, control->incarnation,
		    on_datagram, control) != BSH_OK)
		errx(1, "cannot bind the UDP socket to %s (control.gossip)",
		     control->settings.control_gossip);
	peers->listener = bsh_channel_listen(&control->loop, &control->identity,
					     control->settings.control_link,
					     &accepted_ops, control);
	if (peers->listener == NULL)
		errx(1, "cannot listen on %s (control.link)",
		     control->settings.control_link);
	bsh_loop_timer_init(&peers->timer, &control->loop, on_timer, control);
	add_seeds(control);
	bsh_loop_timer_after(&peers->timer, 0);
}

void peers_stop(control_t *control)
{
	struct peers *peers = control->peers;

	bsh_loop_timer_stop(&peers->timer);
	bsh_channel_listener_close(peers->listener);
	g_hash_table_destroy(peers->table);
	bsh_datagram_socket_finish(&peers->datagrams);
	bsh_members_free(peers->members);
	g_free(peers);
}
