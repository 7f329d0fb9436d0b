#include <stdio.h>
#include <string.h>

#include "coordination/adoption.h"
#include "support/fleet.h"

/* Membership and configuration adoption of one simulated instance. */
typedef struct {
	fleet_t *fleet;
	guint node;
	bsh_members_t *members;
	bsh_adoption_t *adoption;
} app_t;

/* Type of the message, the first byte of a simulated frame. */
enum {
	FRAME_MEMBER,
	FRAME_ADOPTION
};

static void send_member(void *ctx, const char *name, const char *address,
			const bsh_member_message_t *msg)
{
	app_t *app = ctx;
	uint8_t buf[1 + BSH_MEMBER_BODY_MAX_BYTES] = { FRAME_MEMBER };
	size_t size = bsh_member_message_encode(
		msg, buf + 1, BSH_MEMBER_BODY_MAX_BYTES, NULL);
	gint to = fleet_find(app->fleet, address);

	(void)name;
	if (to >= 0)
		fleet_send(app->fleet, app->node, (guint)to, buf, size + 1,
			   true);
}

static void ignore_change(void *ctx, const bsh_member_t *member)
{
	(void)ctx;
	(void)member;
}

static void ignore_target_leaving(void *ctx, const char *target,
				  uint64_t incarnation)
{
	(void)ctx;
	(void)target;
	(void)incarnation;
}

static void ignore_cell_owner(void *ctx, const char *cell, const char *owner,
			      uint64_t epoch)
{
	(void)ctx;
	(void)cell;
	(void)owner;
	(void)epoch;
}

static void receive_generation(void *ctx, const char *from, uint64_t generation,
			       uint64_t hash)
{
	app_t *app = ctx;

	bsh_adoption_generation_reported(app->adoption, app->fleet->sim.now_us,
					 from, generation, hash);
}

static const bsh_members_ops_t member_ops = { .send = send_member,
					      .changed = ignore_change,
					      .target_leaving =
						      ignore_target_leaving,
					      .cell_owner = ignore_cell_owner,
					      .generation =
						      receive_generation };

static void send_adoption(void *ctx, const char *peer,
			  const bsh_adoption_message_t *msg)
{
	app_t *app = ctx;
	const bsh_member_t *m = bsh_members_find(app->members, peer);
	GBytes *body = bsh_adoption_message_encode(msg);
	gsize size;
	const uint8_t *data = g_bytes_get_data(body, &size);
	uint8_t *frame = g_malloc(size + 1);
	gint to = m != NULL ? fleet_find(app->fleet, m->place.gossip) : -1;

	frame[0] = FRAME_ADOPTION;
	memcpy(frame + 1, data, size);
	if (to >= 0)
		fleet_send(app->fleet, app->node, (guint)to, frame, size + 1,
			   msg->kind <= BSH_ADOPTION_FRESH);
	g_free(frame);
	g_bytes_unref(body);
}

static void read_store(void *ctx, uint64_t tag, uint64_t version,
		       uint32_t timeout_ms)
{
	app_t *app = ctx;

	fleet_store_read(app->fleet, app->node, tag, version, timeout_ms);
}

static void update_store(void *ctx, uint64_t tag,
			 const bsh_adoption_object_t *object)
{
	app_t *app = ctx;

	fleet_store_update(app->fleet, app->node, tag, object);
}

/* The adopted document must be the one that the store accepted for the
 * generation. */
static void check_adopted(void *ctx, const bsh_adoption_object_t *object)
{
	app_t *app = ctx;
	GArray *accepted = app->fleet->accepted;

	if (object->generation > accepted->len ||
	    g_array_index(accepted, fleet_accepted_t, object->generation - 1)
			    .hash != object->hash)
		app->fleet->bad.fork++;
}

static void record_apply_result(void *ctx, uint64_t request, bsh_error_t result,
				uint64_t generation)
{
	app_t *app = ctx;

	(void)request;
	(void)generation;
	app->fleet->results[result]++;
}

static void record_in_force(void *ctx, uint64_t request, uint64_t generation)
{
	app_t *app = ctx;

	(void)request;
	fleet_record_in_force(app->fleet, generation);
}

/* A delta is the length of the common prefix, at most 255 bytes, in one byte
 * and the rest of the new document. */
static GBytes *make_delta(void *ctx, GBytes *from, GBytes *to)
{
	gsize a, b;
	const char *x = g_bytes_get_data(from, &a);
	const char *y = g_bytes_get_data(to, &b);
	guint8 common = 0;
	GByteArray *out = g_byte_array_new();

	(void)ctx;
	while (common < a && common < b && common < 255 &&
	       x[common] == y[common])
		common++;
	g_byte_array_append(out, &common, 1);
	g_byte_array_append(out, (const guint8 *)y + common,
			    (guint)(b - common));
	return g_byte_array_free_to_bytes(out);
}

static GBytes *apply_delta(void *ctx, GBytes *from, GBytes *delta)
{
	gsize a, b;
	const guint8 *x = g_bytes_get_data(from, &a);
	const guint8 *y = g_bytes_get_data(delta, &b);
	GByteArray *out;

	(void)ctx;
	if (b == 0 || y[0] > a)
		return NULL;
	out = g_byte_array_new();
	g_byte_array_append(out, x, y[0]);
	g_byte_array_append(out, y + 1, (guint)(b - 1));
	return g_byte_array_free_to_bytes(out);
}

static uint64_t hash(void *ctx, GBytes *document)
{
	(void)ctx;
	return fleet_hash(document);
}

static const bsh_adoption_ops_t adoption_ops = { .send = send_adoption,
						 .store_read = read_store,
						 .store_update = update_store,
						 .adopted = check_adopted,
						 .apply_done =
							 record_apply_result,
						 .in_force = record_in_force,
						 .make_delta = make_delta,
						 .apply_delta = apply_delta,
						 .hash = hash };

static bsh_member_place_t make_place(const fleet_node_t *n)
{
	bsh_member_place_t place = { 0 };
	size_t host = strcspn(n->address, ":");

	g_strlcpy(place.zone, n->zone, sizeof(place.zone));
	g_strlcpy(place.gossip, n->address, sizeof(place.gossip));
	snprintf(place.link, sizeof(place.link), "%.*s:7004", (int)host,
		 n->address);
	snprintf(place.entry, sizeof(place.entry), "%.*s:7001", (int)host,
		 n->address);
	return place;
}

/* Each instance starts with the platform's list.  The list lags: it shows
 * instances as live under their first incarnation. */
static void *start(fleet_t *f, guint node)
{
	fleet_node_t *n = &f->nodes[node];
	app_t *app = g_new0(app_t, 1);
	bsh_members_config_t members = { .name = n->name,
					 .place = make_place(n),
					 .incarnation = n->incarnation,
					 .period_ms = 1000,
					 .seed = bsh_rng_below(&f->sim.rng,
							       UINT32_MAX) };
	bsh_adoption_config_t adoption = {
		.fresh_ms = 8000, .seed = bsh_rng_below(&f->sim.rng, UINT32_MAX)
	};

	app->fleet = f;
	app->node = node;
	app->members =
		bsh_members_new(&members, &member_ops, app, f->sim.now_us);
	app->adoption = bsh_adoption_new(&adoption, app->members, &adoption_ops,
					 app, f->sim.now_us);
	for (guint i = 0; i < f->n; i++) {
		bsh_member_place_t place = make_place(&f->nodes[i]);

		if (i != node && fleet_is_listed(f, i))
			bsh_members_list_item(app->members, f->sim.now_us,
					      f->nodes[i].name, 1, &place,
					      BSH_LIST_LIVE);
	}
	return app;
}

static void stop(void *ctx)
{
	app_t *app = ctx;

	bsh_adoption_free(app->adoption);
	bsh_members_free(app->members);
	g_free(app);
}

static int64_t tick(void *ctx, int64_t now_us)
{
	app_t *app = ctx;
	int64_t due_us = bsh_adoption_tick(app->adoption, now_us);

	return MIN(due_us, bsh_members_tick(app->members, now_us));
}

static void receive(void *ctx, int64_t now_us, guint from, uint64_t incarnation,
		    const uint8_t *data, size_t size, bool is_datagram)
{
	static bsh_member_message_t member;
	app_t *app = ctx;
	const char *name = app->fleet->nodes[from].name;
	bsh_adoption_message_t msg;

	(void)is_datagram;
	if (data[0] == FRAME_MEMBER) {
		if (bsh_member_message_decode(&member, data + 1, size - 1) ==
		    BSH_OK)
			bsh_members_receive(app->members, now_us, name,
					    incarnation, &member);
		return;
	}
	if (bsh_adoption_message_decode(&msg, data + 1, size - 1) != BSH_OK)
		return;
	bsh_adoption_receive(app->adoption, now_us, name, incarnation, &msg);
	bsh_adoption_message_finish(&msg);
}

static void read_done(void *ctx, int64_t now_us, uint64_t tag, bsh_error_t err,
		      const bsh_adoption_object_t *object)
{
	bsh_adoption_store_read_done(((app_t *)ctx)->adoption, now_us, tag, err,
				     object);
}

static void update_done(void *ctx, int64_t now_us, uint64_t tag,
			bsh_error_t err, uint64_t version)
{
	bsh_adoption_store_update_done(((app_t *)ctx)->adoption, now_us, tag,
				       err, version);
}

static void apply(void *ctx, int64_t now_us, uint64_t request, GBytes *document)
{
	app_t *app = ctx;
	uint64_t base = bsh_adoption_current(app->adoption)->generation;
	bsh_error_t err = bsh_adoption_apply(app->adoption, now_us, request,
					     base, document);

	if (err != BSH_OK)
		app->fleet->results[err]++;
}

static uint64_t generation(void *ctx)
{
	return bsh_adoption_current(((app_t *)ctx)->adoption)->generation;
}

static bool takes_work(void *ctx, int64_t now_us)
{
	return bsh_adoption_is_fresh(((app_t *)ctx)->adoption, now_us);
}

bsh_members_t *fleet_members(void *app)
{
	return ((app_t *)app)->members;
}

bsh_adoption_t *fleet_adoption(void *app)
{
	return ((app_t *)app)->adoption;
}

const fleet_app_t fleet_berylshunt = { .start = start,
				       .stop = stop,
				       .tick = tick,
				       .receive = receive,
				       .read_done = read_done,
				       .update_done = update_done,
				       .apply = apply,
				       .generation = generation,
				       .takes_work = takes_work };
