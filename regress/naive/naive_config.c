#include "naive/naive_config.h"

#include <string.h>

#define POLL_US	     (5 * SIM_S)
#define HEARTBEAT_US SIM_S
#define TIMEOUT_US   (3 * SIM_S)

typedef struct {
	fleet_t *fleet;
	guint node;
	bsh_adoption_object_t object;
	bsh_adoption_object_t proposed;
	/* Tags of store calls: the latest poll, the read and update of the
	 * latest change, and the highest tag in use. */
	uint64_t read_tag, update_tag, next_tag;
	/* Accepted here and not yet in force, 0: none. */
	uint64_t pending_generation;
	int64_t poll_at_us, heartbeat_at_us;
	int64_t *received_us; /* latest message, by node; 0: unknown node */
	uint64_t *reported_generation; /* in that message, by node */
} naive_t;

static void set_object(bsh_adoption_object_t *to,
		       const bsh_adoption_object_t *from)
{
	g_bytes_ref(from->document);
	bsh_bytes_clear(&to->document);
	*to = *from;
}

static void send_message(naive_t *a, guint to, bsh_adoption_kind_t kind)
{
	bsh_adoption_message_t msg = { .kind = kind,
				       .generation = a->object.generation,
				       .version = a->object.version,
				       .hash = a->object.hash };
	GBytes *body;
	gsize size;
	const uint8_t *data;

	if (kind == BSH_ADOPTION_CONFIG)
		msg.body = a->object.document;
	body = bsh_adoption_message_encode(&msg);
	data = g_bytes_get_data(body, &size);
	fleet_send(a->fleet, a->node, to, data, size,
		   kind != BSH_ADOPTION_CONFIG);
	g_bytes_unref(body);
}

static void send_to_peers(naive_t *a, bsh_adoption_kind_t kind)
{
	for (guint i = 0; i < a->fleet->n; i++) {
		if (i != a->node && a->received_us[i] != 0)
			send_message(a, i, kind);
	}
}

static void *start(fleet_t *f, guint node)
{
	naive_t *a = g_new0(naive_t, 1);

	a->fleet = f;
	a->node = node;
	a->received_us = g_new0(int64_t, f->n);
	a->reported_generation = g_new0(uint64_t, f->n);
	for (guint i = 0; i < f->n; i++)
		a->received_us[i] =
			fleet_is_listed(f, i) ? f->sim.now_us + 1 : 0;
	a->poll_at_us = f->sim.now_us;
	a->heartbeat_at_us = f->sim.now_us;
	return a;
}

static void stop(void *ctx)
{
	naive_t *a = ctx;

	bsh_bytes_clear(&a->object.document);
	bsh_bytes_clear(&a->proposed.document);
	g_free(a->received_us);
	g_free(a->reported_generation);
	g_free(a);
}

/* Reports the pending generation as in force once every peer with a recent
 * heartbeat has reported it or a later one. */
static void check_in_force(naive_t *a, int64_t now_us)
{
	if (a->pending_generation == 0)
		return;
	for (guint i = 0; i < a->fleet->n; i++) {
		if (i != a->node && a->received_us[i] != 0 &&
		    now_us - a->received_us[i] < TIMEOUT_US &&
		    a->reported_generation[i] < a->pending_generation)
			return;
	}
	fleet_record_in_force(a->fleet, a->pending_generation);
	a->pending_generation = 0;
}

static int64_t tick(void *ctx, int64_t now_us)
{
	naive_t *a = ctx;

	if (now_us >= a->poll_at_us) {
		a->poll_at_us = now_us + POLL_US;
		a->read_tag = ++a->next_tag;
		fleet_store_read(a->fleet, a->node, a->read_tag, 0, 0);
	}
	if (now_us >= a->heartbeat_at_us) {
		a->heartbeat_at_us = now_us + HEARTBEAT_US;
		send_to_peers(a, BSH_ADOPTION_PREPARED);
		check_in_force(a, now_us);
	}
	return MIN(a->poll_at_us, a->heartbeat_at_us);
}

static void receive(void *ctx, int64_t now_us, guint from, uint64_t incarnation,
		    const uint8_t *data, size_t size, bool is_datagram)
{
	naive_t *a = ctx;
	bsh_adoption_message_t msg;

	(void)incarnation;
	(void)is_datagram;
	if (bsh_adoption_message_decode(&msg, data, size) != BSH_OK)
		return;
	a->received_us[from] = now_us;
	a->reported_generation[from] = msg.generation;
	if (msg.kind == BSH_ADOPTION_CONFIG) {
		bsh_adoption_object_t object = { .version = msg.version,
						 .generation = msg.generation,
						 .hash = msg.hash,
						 .document = msg.body };

		set_object(&a->object, &object);
		send_message(a, from, BSH_ADOPTION_PREPARED);
	}
	bsh_adoption_message_finish(&msg);
	check_in_force(a, now_us);
}

static void read_done(void *ctx, int64_t now_us, uint64_t tag, bsh_error_t err,
		      const bsh_adoption_object_t *object)
{
	naive_t *a = ctx;

	(void)now_us;
	if (tag == a->read_tag && err == BSH_OK) {
		set_object(&a->object, object);
	} else if (tag == a->update_tag &&
		   (err == BSH_OK || err == BSH_ERR_NOT_FOUND)) {
		a->proposed.version = object != NULL ? object->version : 0;
		a->proposed.generation =
			object != NULL ? object->generation + 1 : 1;
		fleet_store_update(a->fleet, a->node, a->update_tag,
				   &a->proposed);
	}
}

static void update_done(void *ctx, int64_t now_us, uint64_t tag,
			bsh_error_t err, uint64_t version)
{
	naive_t *a = ctx;

	(void)now_us;
	if (tag != a->update_tag)
		return;
	a->fleet->results[err]++;
	if (err != BSH_OK)
		return;
	set_object(&a->object, &a->proposed);
	a->object.version = version;
	a->pending_generation = a->object.generation;
	send_to_peers(a, BSH_ADOPTION_CONFIG);
}

static void apply(void *ctx, int64_t now_us, uint64_t request, GBytes *document)
{
	naive_t *a = ctx;
	bsh_adoption_object_t object = { .hash = fleet_hash(document),
					 .document = document };

	(void)now_us;
	(void)request;
	set_object(&a->proposed, &object);
	a->update_tag = ++a->next_tag;
	fleet_store_read(a->fleet, a->node, a->update_tag, 0, 0);
}

static uint64_t generation(void *ctx)
{
	return ((naive_t *)ctx)->object.generation;
}

static bool takes_work(void *ctx, int64_t now_us)
{
	(void)now_us;
	return generation(ctx) > 0;
}

const fleet_app_t fleet_naive_config = { .start = start,
					 .stop = stop,
					 .tick = tick,
					 .receive = receive,
					 .read_done = read_done,
					 .update_done = update_done,
					 .apply = apply,
					 .generation = generation,
					 .takes_work = takes_work };
