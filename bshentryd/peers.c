/* Other instances: found in the store, watched by gossip, told by datagrams. */
#include "control.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"

struct peers {
	control_t *control;
	feed_t feed;
	bsh_members_t *members;
	bsh_datagram_socket_t datagrams;
	bsh_loop_timer_t timer;
	bsh_loop_timer_t register_timer;
	uint64_t entry_revision; /* of the own object in the store; 0: none */
	GHashTable *registered_names; /* of all instances, from the store */
	bool registering;
	bool registered;
	bool leaving;
};

/* Instances find each other by gossip; the list is for those that have lost
 * all others. */
#define RELIST_US INT64_C(30000000)
/* Until the others are known, the slack of the repeats is shared as by so many:
 * fewer are not run where an instance may be lost. */
#define KNOWN_MIN 3U
/* Pause before the own object is written again after a failure. */
#define REGISTER_AGAIN_US INT64_C(500000)

static bsh_counter_t clock_rejected = BSH_COUNTER(
	"bsh_clock_stamps_rejected_total",
	"Messages of instances whose clock is more than a minute ahead.");
static bsh_counter_t live =
	BSH_GAUGE("bsh_instances_live", "Instances alive, this one included.");

static void run(peers_t *peers);

static int64_t now_us(const peers_t *peers)
{
	return control_now_us(peers->control);
}

static bool seal(peers_t *peers, const bsh_message_t *message,
		 bsh_datagram_t *datagram)
{
	bsh_message_t stamped = *message;
	bsh_error_t err;

	stamped.stamp = bsh_log_stamp();
	err = bsh_datagram_socket_seal(&peers->datagrams, &stamped, datagram);
	if (err != BSH_OK)
		bsh_log(BSH_LOG_ERROR, "message-not-sent type=%s error=%s",
			bsh_message_name(message->type), bsh_error_name(err));
	return err == BSH_OK;
}

static void send_member(void *ctx, const char *name, const char *address,
			const bsh_member_message_t *msg)
{
	peers_t *peers = ctx;
	uint8_t body[BSH_MEMBER_BODY_MAX_BYTES];
	bsh_message_t message = { .type = BSH_MSG_MEMBER };
	bsh_datagram_t datagram;

	(void)name;
	message.body.body = body;
	message.body.body_bytes = (uint32_t)bsh_member_message_encode(
		msg, body, sizeof(body), NULL);
	/* A datagram that is not sent is like one that is lost: the protocol
	 * repeats it, and the socket counts it. */
	if (message.body.body_bytes > 0 && seal(peers, &message, &datagram))
		bsh_datagram_socket_send(&peers->datagrams, address, &datagram);
}

static void changed(void *ctx, const bsh_member_t *member)
{
	static const char *const names[] = { "alive", "suspect", "dead",
					     "gone" };
	peers_t *peers = ctx;

	bsh_log(BSH_LOG_INFO, "instance name=%s state=%s", member->name,
		member->leaving ? "leaving" : names[member->state]);
	bsh_counter_set(&live, bsh_members_live(peers->members));
	control_changed(peers->control);
}

static void target_leaving(void *ctx, const char *target, uint64_t incarnation)
{
	/* The platform's list tells it to each instance. */
	(void)ctx;
	(void)target;
	(void)incarnation;
}

static void cell_owner(void *ctx, const char *cell, const char *owner,
		       uint64_t epoch)
{
	/* There is one lease and no cells. */
	(void)ctx;
	(void)cell;
	(void)owner;
	(void)epoch;
}

static void generation(void *ctx, const char *from, uint64_t version,
		       uint64_t hash)
{
	peers_t *peers = ctx;

	(void)from;
	(void)hash;
	catalogs_heard(peers->control->catalogs, version);
}

static const bsh_members_ops_t members_ops = {
	.send = send_member,
	.changed = changed,
	.target_leaving = target_leaving,
	.cell_owner = cell_owner,
	.generation = generation,
};

static void on_timer(void *ctx)
{
	run(ctx);
}

static void run(peers_t *peers)
{
	bsh_loop_timer_start(&peers->timer,
			     bsh_members_tick(peers->members, now_us(peers)));
}

/* Without its stamps the lines of the logs are in order only by the clocks. */
static void note_clock(const bsh_message_t *message)
{
	if (bsh_log_received(message->stamp))
		return;
	if (bsh_counter_get(&clock_rejected) == 0)
		bsh_log(BSH_LOG_WARNING,
			"clock-ahead instance=%s ahead_ms=%" G_GINT64_FORMAT,
			message->sender,
			(message->stamp.physical_us - g_get_real_time()) /
				1000);
	bsh_counter_add(&clock_rejected, 1);
}

static void on_message(void *ctx, const bsh_message_t *message)
{
	peers_t *peers = ctx;
	bsh_member_message_t msg;

	note_clock(message);
	if (message->type != BSH_MSG_MEMBER) {
		control_peer_message(peers->control, message);
		return;
	}
	if (bsh_member_message_decode(&msg, message->body.body,
				      message->body.body_bytes) != BSH_OK)
		return;
	bsh_members_receive(peers->members, now_us(peers), message->sender,
			    message->incarnation, &msg);
	run(peers);
}

/* The objects by which instances find each other. */

static json_t *own_entry(const peers_t *peers)
{
	const entry_t *entry = peers->control->entry;

	return json_pack("{s:s, s:s, s:s, s:I}", "gossip",
			 entry->settings.control_gossip, "entry",
			 entry->settings.router_listen, "zone",
			 entry->settings.zone, "incarnation",
			 (json_int_t)entry->incarnation);
}

static void on_registered(void *ctx, const platform_answer_t *answer)
{
	peers_t *peers = ctx;

	peers->registering = false;
	if (answer->result == PLATFORM_DONE) {
		peers->registered = true;
		peers->entry_revision = answer->revision;
		bsh_log(BSH_LOG_INFO, "registered revision=%" G_GUINT64_FORMAT,
			answer->revision);
		return;
	}
	/* An object of an earlier start is replaced. */
	if (answer->result == PLATFORM_CONFLICT && answer->n > 0) {
		peers->entry_revision = answer->objects[0].revision;
		bsh_loop_timer_after(&peers->register_timer, 0);
		return;
	}
	bsh_log(BSH_LOG_WARNING, "register-failed result=%s status=%d",
		platform_result_name(answer->result), answer->status);
	peers->entry_revision = 0;
	bsh_loop_timer_after(&peers->register_timer, REGISTER_AGAIN_US);
}

static void on_register(void *ctx)
{
	peers_t *peers = ctx;
	const char *name = peers->control->entry->settings.instance;

	if (peers->leaving || peers->registering)
		return;
	peers->registering = true;
	if (peers->entry_revision > 0)
		platform_store_replace(&peers->control->store,
				       PLATFORM_KIND_INSTANCES, name,
				       peers->entry_revision, own_entry(peers),
				       on_registered, peers);
	else
		platform_store_create(&peers->control->store,
				      PLATFORM_KIND_INSTANCES, name,
				      own_entry(peers), on_registered, peers);
}

static void on_removed(void *ctx, const platform_answer_t *answer)
{
	(void)ctx;
	bsh_log(BSH_LOG_INFO, "unregistered result=%s",
		platform_result_name(answer->result));
}

static bool decode_place(const json_t *spec, bsh_member_place_t *place,
			 uint64_t *incarnation)
{
	const char *gossip = json_string_value(json_object_get(spec, "gossip"));
	const char *entry = json_string_value(json_object_get(spec, "entry"));
	const char *zone = json_string_value(json_object_get(spec, "zone"));

	memset(place, 0, sizeof(*place));
	if (gossip == NULL || entry == NULL || zone == NULL)
		return false;
	g_strlcpy(place->gossip, gossip, sizeof(place->gossip));
	g_strlcpy(place->link, gossip, sizeof(place->link));
	g_strlcpy(place->entry, entry, sizeof(place->entry));
	g_strlcpy(place->zone, zone, sizeof(place->zone));
	*incarnation = (uint64_t)json_integer_value(
		json_object_get(spec, "incarnation"));
	return true;
}

static void on_object(void *ctx, const platform_object_t *object, uint64_t list)
{
	peers_t *peers = ctx;
	bsh_member_place_t place;
	uint64_t incarnation;

	(void)list;
	if (object->deleted)
		g_hash_table_remove(peers->registered_names, object->name);
	else
		g_hash_table_add(peers->registered_names,
				 g_strdup(object->name));
	if (strcmp(object->name, peers->control->entry->settings.instance) == 0)
		return;
	/* An instance deletes its object when it stops; whether it is alive is
	 * for the gossip to say. */
	if (object->deleted ||
	    !decode_place(object->spec, &place, &incarnation))
		return;
	bsh_members_list_item(peers->members, now_us(peers), object->name,
			      incarnation, &place, BSH_LIST_LIVE);
	run(peers);
}

static void on_listed(void *ctx, uint64_t list)
{
	(void)ctx;
	(void)list;
}

static void on_doubt(void *ctx)
{
	const peers_t *peers = ctx;

	control_store_doubtful(peers->control);
}

peers_t *peers_new(control_t *control)
{
	const entry_t *entry = control->entry;
	const bsh_settings_t *s = &entry->settings;
	peers_t *peers = g_new0(peers_t, 1);
	bsh_members_config_t config = { .name = s->instance,
					.incarnation = entry->incarnation,
					.period_ms = s->probe_period_ms,
					.seed = g_random_int() };
	feed_ops_t ops = { .on_object = on_object,
			   .on_listed = on_listed,
			   .on_doubt = on_doubt,
			   .ctx = peers,
			   .relist_us = RELIST_US };

	bsh_counter_register(&live);
	bsh_counter_register(&clock_rejected);
	g_strlcpy(config.place.zone, s->zone, sizeof(config.place.zone));
	g_strlcpy(config.place.gossip, s->control_gossip,
		  sizeof(config.place.gossip));
	g_strlcpy(config.place.link, s->control_gossip,
		  sizeof(config.place.link));
	g_strlcpy(config.place.entry, s->router_listen,
		  sizeof(config.place.entry));
	peers->control = control;
	peers->members =
		bsh_members_new(&config, &members_ops, peers, now_us(peers));
	peers->registered_names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bsh_loop_timer_init(&peers->timer, control->loop, on_timer, peers);
	bsh_loop_timer_init(&peers->register_timer, control->loop, on_register,
			    peers);
	feed_init(&peers->feed, &control->store, control->loop,
		  PLATFORM_KIND_INSTANCES, &ops);
	return peers;
}

bsh_error_t peers_start(peers_t *peers)
{
	const entry_t *entry = peers->control->entry;
	bsh_error_t err;

	err = bsh_datagram_socket_init(&peers->datagrams, peers->control->loop,
				 entry->settings.control_gossip,
				 entry->settings.key, entry->settings.instance,
				 entry->incarnation, on_message, peers);
	if (err != BSH_OK)
		return err;
	bsh_loop_timer_after(&peers->register_timer, 0);
	feed_start(&peers->feed);
	run(peers);
	return BSH_OK;
}

void peers_list_again(peers_t *peers)
{
	feed_again(&peers->feed);
}

void peers_free(peers_t *peers)
{
	feed_stop(&peers->feed);
	bsh_loop_timer_stop(&peers->timer);
	bsh_loop_timer_stop(&peers->register_timer);
	bsh_datagram_socket_finish(&peers->datagrams);
	bsh_members_free(peers->members);
	g_hash_table_destroy(peers->registered_names);
	g_free(peers);
}

void peers_leave(peers_t *peers)
{
	if (peers->leaving)
		return;
	peers->leaving = true;
	bsh_members_leave(peers->members, now_us(peers));
	run(peers);
	if (peers->registered)
		platform_store_delete(&peers->control->store,
				      PLATFORM_KIND_INSTANCES,
				      peers->control->entry->settings.instance,
				      0, on_removed, peers);
}

void peers_set_version(peers_t *peers, uint64_t version)
{
	bsh_members_set_generation(peers->members, now_us(peers), version,
				   version, BSH_MEMBER_AGE_NONE_MS);
	run(peers);
}

uint32_t peers_known(const peers_t *peers)
{
	return MAX(MAX(bsh_members_live(peers->members),
		       g_hash_table_size(peers->registered_names)),
		   KNOWN_MIN);
}

/* A datagram that the network loses is made up for by its protocol. */
void peers_send(peers_t *peers, const char *instance,
		const bsh_message_t *message)
{
	const bsh_member_t *member = bsh_members_find(peers->members, instance);
	bsh_datagram_t datagram;

	if (member != NULL && member->has_place &&
	    seal(peers, message, &datagram))
		bsh_datagram_socket_send(&peers->datagrams, member->place.gossip,
				   &datagram);
}

typedef struct {
	peers_t *peers;
	const bsh_datagram_t *datagram;
} broadcast_t;

static void send_one(void *ctx, const bsh_member_t *member)
{
	broadcast_t *broadcast = ctx;
	const char *self = broadcast->peers->control->entry->settings.instance;

	if (strcmp(member->name, self) != 0 && member->has_place &&
	    (member->state == BSH_MEMBER_ALIVE ||
	     member->state == BSH_MEMBER_SUSPECT))
		bsh_datagram_socket_send(&broadcast->peers->datagrams,
				   member->place.gossip, broadcast->datagram);
}

void peers_broadcast(peers_t *peers, const bsh_message_t *message)
{
	bsh_datagram_t datagram;
	broadcast_t broadcast = { peers, &datagram };

	if (seal(peers, message, &datagram))
		bsh_members_foreach(peers->members, send_one, &broadcast);
}

static void choose_member(void *ctx, const bsh_member_t *member)
{
	bsh_entry_choice_add(ctx, member);
}

void peers_choose_entries(const peers_t *peers, bsh_entry_choice_t *choice)
{
	bsh_members_foreach(peers->members, choose_member, choice);
}
