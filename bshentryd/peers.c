/* The other instances: discovery through the store, failure detection by
 * gossip, and messages to them by datagrams. */
#include "control.h"

#include <string.h>

#include "base/counter.h"
#include "base/json_text.h"
#include "base/log.h"
#include "base/name.h"

struct peers {
	control_t *control;
	feed_t feed;
	bsh_members_t *members;
	bsh_datagram_socket_t datagrams;
	bsh_loop_timer_t timer;
	bsh_loop_timer_t register_timer;
	uint64_t object_revision; /* of the object of this instance; 0: none */
	/* Instances that the store lists, to their CPU shares in thousandths; 0:
	 * not known, of an earlier version. */
	GHashTable *registered_names;
	bool registering; /* a call to the store is pending */
	bool registered;
	bool leaving;
	int64_t started_us;
	bool replaces; /* an earlier process has not deleted its object */
};

/* Interval of lists of the instances in the store.  Membership is spread by
 * gossip; the list serves an instance that has lost contact with all others. */
#define RELIST_INTERVAL_US INT64_C(30000000)
/* Lower bound of the number of instances by which the retry budget is shared, for
 * the time until the others are discovered.  An installation that tolerates the
 * loss of one instance has no fewer. */
#define INSTANCES_MIN 3U
/* Delay before a failed registration is retried. */
#define REGISTER_RETRY_US INT64_C(500000)
/* Longest delay before the registration is repeated after a restore of the
 * store: all instances learn of it at the same time, and share one limit of
 * calls with the updates of the lease. */
#define REGISTER_AGAIN_MAX_US 1000000

static bsh_counter_t clock_rejected = BSH_COUNTER(
	"bsh_clock_stamps_rejected_total",
	"Messages of instances whose clock is more than a minute ahead.");
static bsh_counter_t live_instances =
	BSH_GAUGE("bsh_instances_live", "Instances alive, this one included.");

static void run_members(peers_t *peers);

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

static void send_member_message(void *ctx, const char *name,
				const char *address,
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
	/* A failed send is treated like a lost datagram: the protocol sends it
	 * again, and the socket counts the failure. */
	if (message.body.body_bytes > 0 && seal(peers, &message, &datagram))
		bsh_datagram_socket_send(&peers->datagrams, address, &datagram);
}

static void on_member_changed(void *ctx, const bsh_member_t *member)
{
	static const char *const names[] = { "alive", "suspect", "dead",
					     "gone" };
	peers_t *peers = ctx;

	bsh_log(BSH_LOG_INFO, "instance name=%s state=%s", member->name,
		member->leaving ? "leaving" : names[member->state]);
	bsh_counter_set(&live_instances, bsh_members_live(peers->members));
	control_schedule_view(peers->control);
	streams_instances_changed(peers->control->streams);
}

static void ignore_target_leaving(void *ctx, const char *target,
				  uint64_t incarnation)
{
	/* Each instance receives this from the platform's list of targets or
	 * from the announcements of the lease holder. */
	(void)ctx;
	(void)target;
	(void)incarnation;
}

static void ignore_cell_owner(void *ctx, const char *cell, const char *owner,
			      uint64_t epoch)
{
	/* bshentryd has one lease for all targets and no cells. */
	(void)ctx;
	(void)cell;
	(void)owner;
	(void)epoch;
}

static void on_generation(void *ctx, const char *from, uint64_t version,
			  uint64_t hash)
{
	peers_t *peers = ctx;

	(void)hash;
	catalog_exchange_note_version(peers->control->catalog_exchange, from,
				      version, 0);
}

static const bsh_members_ops_t members_ops = {
	.send = send_member_message,
	.changed = on_member_changed,
	.target_leaving = ignore_target_leaving,
	.cell_owner = ignore_cell_owner,
	.generation = on_generation,
};

static void on_members_timer(void *ctx)
{
	run_members(ctx);
}

static void run_members(peers_t *peers)
{
	bsh_loop_timer_start(&peers->timer,
			     bsh_members_tick(peers->members, now_us(peers)));
}

/* Adopts the sender's logical clock.  If its stamp is rejected, the log lines
 * of the two instances are ordered only by the clocks of their machines. */
static void adopt_clock(const bsh_message_t *message)
{
	if (bsh_log_receive_stamp(message->stamp))
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

	adopt_clock(message);
	__atomic_store_n(&peers->control->entry->freshness.peers_us,
			 bsh_loop_clock_us(), __ATOMIC_RELAXED);
	if (message->type != BSH_MSG_MEMBER) {
		control_peer_message(peers->control, message);
		return;
	}
	if (bsh_member_message_decode(&msg, message->body.body,
				      message->body.body_bytes) != BSH_OK)
		return;
	bsh_members_receive(peers->members, now_us(peers), message->sender,
			    message->incarnation, &msg);
	run_members(peers);
}

/* Registration and discovery through objects in the store. */

static uint32_t own_cpu_milli(const peers_t *peers)
{
	return (uint32_t)(1000 *
			  peers->control->entry->settings.entry_cpu_share);
}

static json_t *own_spec(const peers_t *peers)
{
	const entry_t *entry = peers->control->entry;

	return bsh_json_pack("{s:s, s:s, s:s, s:I, s:I}", "gossip",
			     entry->settings.control_gossip, "entry",
			     entry->settings.router_listen, "zone",
			     entry->settings.zone, "incarnation",
			     (json_int_t)entry->incarnation, "cpu_milli",
			     (json_int_t)own_cpu_milli(peers));
}

static void on_unregistered(void *ctx, const platform_answer_t *answer)
{
	(void)ctx;
	bsh_log(BSH_LOG_INFO, "unregistered result=%s",
		platform_result_name(answer->result));
}

static void unregister_self(peers_t *peers)
{
	platform_store_delete(&peers->control->store, PLATFORM_KIND_INSTANCES,
			      peers->control->entry->settings.instance, 0,
			      on_unregistered, peers);
}

/* An object of this instance's name that this process has not written is that of
 * an earlier one, which was killed. */
static void note_own_object(peers_t *peers, const platform_object_t *object)
{
	uint64_t incarnation = (uint64_t)json_integer_value(
		json_object_get(object->spec, "incarnation"));

	if (object->deleted || peers->replaces ||
	    incarnation == peers->control->entry->incarnation)
		return;
	peers->replaces = true;
	control_schedule_view(peers->control);
}

static void on_registered(void *ctx, const platform_answer_t *answer)
{
	peers_t *peers = ctx;

	peers->registering = false;
	if (answer->result == PLATFORM_DONE) {
		peers->registered = true;
		peers->object_revision = answer->revision;
		bsh_log(BSH_LOG_INFO, "registered revision=%" G_GUINT64_FORMAT,
			answer->revision);
		if (peers->leaving)
			unregister_self(peers);
		return;
	}
	/* An earlier process of this instance has left its object: replace
	 * it. */
	if (answer->result == PLATFORM_CONFLICT && answer->n > 0) {
		note_own_object(peers, &answer->objects[0]);
		peers->object_revision = answer->objects[0].revision;
		bsh_loop_timer_after(&peers->register_timer, 0);
		return;
	}
	bsh_log(BSH_LOG_WARNING, "register-failed result=%s status=%d",
		platform_result_name(answer->result), answer->status);
	peers->object_revision = 0;
	bsh_loop_timer_after(&peers->register_timer, REGISTER_RETRY_US);
}

static void register_self(void *ctx)
{
	peers_t *peers = ctx;
	const char *name = peers->control->entry->settings.instance;

	if (peers->leaving || peers->registering)
		return;
	peers->registering = true;
	if (peers->object_revision > 0)
		platform_store_replace(&peers->control->store,
				       PLATFORM_KIND_INSTANCES, name,
				       peers->object_revision, own_spec(peers),
				       on_registered, peers);
	else
		platform_store_create(&peers->control->store,
				      PLATFORM_KIND_INSTANCES, name,
				      own_spec(peers), on_registered, peers);
}

static bool copy_address(const json_t *spec, const char *key, char *out)
{
	const char *text = json_string_value(json_object_get(spec, key));
	char host[BSH_ADDRESS_SIZE];
	uint16_t port;

	if (!bsh_is_name(text, BSH_ADDRESS_SIZE) ||
	    bsh_address_split(text, host, sizeof(host), &port) != BSH_OK)
		return false;
	g_strlcpy(out, text, BSH_ADDRESS_SIZE);
	return true;
}

/* Returns the first field that is unusable; NULL if there is none. */
static const char *decode_place(const char *name, const json_t *spec,
				bsh_member_place_t *place,
				uint64_t *incarnation)
{
	const char *zone = json_string_value(json_object_get(spec, "zone"));

	memset(place, 0, sizeof(*place));
	if (!bsh_is_name(name, BSH_NAME_SIZE))
		return "name";
	if (!copy_address(spec, "gossip", place->gossip))
		return "gossip";
	if (!copy_address(spec, "entry", place->entry))
		return "entry";
	if (!bsh_is_name(zone, sizeof(place->zone)))
		return "zone";
	g_strlcpy(place->link, place->gossip, sizeof(place->link));
	g_strlcpy(place->zone, zone, sizeof(place->zone));
	*incarnation = (uint64_t)json_integer_value(
		json_object_get(spec, "incarnation"));
	return NULL;
}

static void on_object(void *ctx, const platform_object_t *object, uint64_t list)
{
	peers_t *peers = ctx;
	char name[BSH_LOG_TEXT_SIZE];
	bsh_member_place_t place;
	uint64_t incarnation;
	const char *field;

	(void)list;
	if (object->deleted)
		g_hash_table_remove(peers->registered_names, object->name);
	else
		g_hash_table_replace(
			peers->registered_names, g_strdup(object->name),
			GUINT_TO_POINTER((guint)json_integer_value(
				json_object_get(object->spec, "cpu_milli"))));
	if (strcmp(object->name, peers->control->entry->settings.instance) ==
	    0) {
		note_own_object(peers, object);
		return;
	}
	/* An instance deletes its object when it stops; whether it is alive is
	 * decided by gossip alone. */
	if (object->deleted)
		return;
	field = decode_place(object->name, object->spec, &place, &incarnation);
	if (field != NULL) {
		bsh_log(BSH_LOG_WARNING,
			"instance-entry-unusable instance=%s field=%s",
			bsh_log_text(object->name, name), field);
		return;
	}
	bsh_members_list_item(peers->members, now_us(peers), object->name,
			      incarnation, &place, BSH_LIST_LIVE);
	run_members(peers);
}

static void on_listed(void *ctx, uint64_t list)
{
	(void)ctx;
	(void)list;
}

static void on_resync_needed(void *ctx)
{
	const peers_t *peers = ctx;

	control_relist(peers->control);
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
			   .on_resync_needed = on_resync_needed,
			   .ctx = peers,
			   .relist_us = RELIST_INTERVAL_US };

	bsh_counter_register(&live_instances);
	bsh_counter_register(&clock_rejected);
	g_strlcpy(config.place.zone, s->zone, sizeof(config.place.zone));
	g_strlcpy(config.place.gossip, s->control_gossip,
		  sizeof(config.place.gossip));
	g_strlcpy(config.place.link, s->control_gossip,
		  sizeof(config.place.link));
	g_strlcpy(config.place.entry, s->router_listen,
		  sizeof(config.place.entry));
	peers->control = control;
	peers->started_us = bsh_loop_clock_us();
	peers->members =
		bsh_members_new(&config, &members_ops, peers, now_us(peers));
	peers->registered_names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bsh_loop_timer_init(&peers->timer, control->loop, on_members_timer,
			    peers);
	bsh_loop_timer_init(&peers->register_timer, control->loop,
			    register_self, peers);
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
				       entry->settings.key,
				       entry->settings.instance,
				       entry->incarnation, on_message, peers);
	if (err != BSH_OK)
		return err;
	bsh_loop_timer_after(&peers->register_timer, 0);
	feed_start(&peers->feed);
	run_members(peers);
	return BSH_OK;
}

void peers_relist(peers_t *peers)
{
	feed_relist(&peers->feed);
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

void peers_store_restored(peers_t *peers)
{
	if (!peers->registered)
		return;
	/* The copy may contain the object that was deleted. */
	if (peers->leaving) {
		unregister_self(peers);
		return;
	}
	peers->object_revision = 0;
	bsh_loop_timer_after(&peers->register_timer,
			     g_random_int_range(0, REGISTER_AGAIN_MAX_US));
}

void peers_leave(peers_t *peers)
{
	if (peers->leaving)
		return;
	peers->leaving = true;
	bsh_members_leave(peers->members, now_us(peers));
	run_members(peers);
	if (peers->registered)
		unregister_self(peers);
}

void peers_set_version(peers_t *peers, uint64_t version)
{
	bsh_members_set_generation(peers->members, now_us(peers), version,
				   version, BSH_MEMBER_AGE_NONE_MS);
	run_members(peers);
}

int64_t peers_replaced_us(const peers_t *peers)
{
	return peers->replaces ? peers->started_us : 0;
}

uint32_t peers_instance_count(const peers_t *peers)
{
	return MAX(MAX(bsh_members_live(peers->members),
		       g_hash_table_size(peers->registered_names)),
		   INSTANCES_MIN);
}

typedef struct {
	peers_name_fn_t fn;
	void *ctx;
} known_t;

static void pass_live_name(void *ctx, const bsh_member_t *member)
{
	const known_t *known = ctx;

	if (member->state == BSH_MEMBER_ALIVE ||
	    member->state == BSH_MEMBER_SUSPECT)
		known->fn(known->ctx, member->name);
}

void peers_foreach_known(const peers_t *peers, peers_name_fn_t fn, void *ctx)
{
	known_t known = { fn, ctx };
	GHashTableIter iter;
	void *name;

	fn(ctx, peers->control->entry->settings.instance);
	bsh_members_foreach(peers->members, pass_live_name, &known);
	g_hash_table_iter_init(&iter, peers->registered_names);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		fn(ctx, name);
}

bool peers_has_larger(const peers_t *peers)
{
	uint32_t own_milli = own_cpu_milli(peers);
	GHashTableIter iter;
	void *name;
	void *milli;

	g_hash_table_iter_init(&iter, peers->registered_names);
	while (g_hash_table_iter_next(&iter, &name, &milli)) {
		const bsh_member_t *member =
			GPOINTER_TO_UINT(milli) > own_milli
				? bsh_members_find(peers->members, name)
				: NULL;

		if (member != NULL && member->state == BSH_MEMBER_ALIVE &&
		    !member->leaving)
			return true;
	}
	return false;
}

/* A lost datagram is made up for by the protocol of its message type. */
void peers_send(peers_t *peers, const char *instance,
		const bsh_message_t *message)
{
	const bsh_member_t *member = bsh_members_find(peers->members, instance);
	bsh_datagram_t datagram;

	if (member != NULL && member->has_place &&
	    seal(peers, message, &datagram))
		bsh_datagram_socket_send(&peers->datagrams,
					 member->place.gossip, &datagram);
}

typedef struct {
	peers_t *peers;
	const bsh_datagram_t *datagram;
} broadcast_t;

static void send_to_member(void *ctx, const bsh_member_t *member)
{
	broadcast_t *broadcast = ctx;
	const char *self = broadcast->peers->control->entry->settings.instance;

	if (strcmp(member->name, self) != 0 && member->has_place &&
	    (member->state == BSH_MEMBER_ALIVE ||
	     member->state == BSH_MEMBER_SUSPECT))
		bsh_datagram_socket_send(&broadcast->peers->datagrams,
					 member->place.gossip,
					 broadcast->datagram);
}

void peers_broadcast(peers_t *peers, const bsh_message_t *message)
{
	bsh_datagram_t datagram;
	broadcast_t broadcast = { peers, &datagram };

	if (seal(peers, message, &datagram))
		bsh_members_foreach(peers->members, send_to_member, &broadcast);
}

bool peers_listed(const peers_t *peers)
{
	return peers->feed.complete_us != 0;
}

const bsh_members_t *peers_members(const peers_t *peers)
{
	return peers->members;
}

const char *peers_self(const peers_t *peers)
{
	return peers->control->entry->settings.instance;
}

bool peers_is_leaving(const peers_t *peers)
{
	return peers->leaving;
}

typedef struct {
	const peers_t *peers;
	bsh_entry_choice_t *choice;
} choosing_t;

static void choose_member(void *ctx, const bsh_member_t *member)
{
	const choosing_t *choosing = ctx;

	bsh_entry_choice_add(
		choosing->choice, member,
		cut_peers_is_cut(choosing->peers->control->cut_peers,
				 member->name));
}

typedef struct {
	const peers_t *peers;
	GArray *relays;
} relays_choosing_t;

static void choose_relay(void *ctx, const bsh_member_t *member)
{
	const relays_choosing_t *choosing = ctx;
	const control_t *control = choosing->peers->control;
	const bsh_settings_t *settings = &control->entry->settings;

	bsh_relay_peers_add(choosing->relays, member,
			    cut_peers_is_cut(control->cut_peers, member->name),
			    settings->instance, settings->zone);
}

void peers_choose_relays(const peers_t *peers, GArray *relays)
{
	relays_choosing_t choosing = { peers, relays };

	bsh_members_foreach(peers->members, choose_relay, &choosing);
}

void peers_choose_entries(const peers_t *peers, bsh_entry_choice_t *choice)
{
	choosing_t choosing = { peers, choice };

	bsh_members_foreach(peers->members, choose_member, &choosing);
	bsh_entry_choice_finish(choice);
}
