#include "support/fleet.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#define CHECK_INTERVAL_US    (50 * SIM_MS)
#define FRAME_OVERHEAD_BYTES 128 /* assumed per message */

uint64_t fleet_hash(GBytes *document)
{
	gsize size;
	const void *data = g_bytes_get_data(document, &size);

	return XXH3_64bits(data, size);
}

static int64_t cpu_now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return ts.tv_sec * INT64_C(1000000000) + ts.tv_nsec;
}

/* Adds the CPU time of call to that of the node if it is to be measured. */
#define TIMED(f, node, call)                                                   \
	do {                                                                   \
		int64_t begun_ns = (f)->measure_cpu ? cpu_now_ns() : 0;        \
		call;                                                          \
		if ((f)->measure_cpu)                                          \
			(node)->cpu_ns += cpu_now_ns() - begun_ns;             \
	} while (0)

/* Postpones an event of a frozen process until it resumes; false if the process
 * is not frozen. */
static bool defer(fleet_t *f, guint node, sim_event_fn_t fn, void *data)
{
	int64_t wait_us = f->nodes[node].frozen_until_us - f->sim.now_us;

	if (wait_us <= 0)
		return false;
	sim_after(&f->sim, wait_us, fn, f, data);
	return true;
}

/* ---- ticks ---- */

/* A scheduled tick; not run if the process has restarted or at_us has been
 * replaced as the node's next_tick_us. */
typedef struct {
	guint node;
	uint64_t incarnation;
	int64_t at_us;
} tick_event_t;

static void on_tick(void *ctx, void *data)
{
	fleet_t *f = ctx;
	tick_event_t *event = data;
	fleet_node_t *n = &f->nodes[event->node];

	if (n->app != NULL && n->incarnation == event->incarnation &&
	    n->next_tick_us == event->at_us) {
		if (defer(f, event->node, on_tick, data))
			return;
		n->next_tick_us = INT64_MAX;
		fleet_tick(f, event->node);
	}
	g_free(event);
}

void fleet_tick(fleet_t *f, guint node)
{
	fleet_node_t *n = &f->nodes[node];
	int64_t next_us;
	tick_event_t *event;

	if (n->app == NULL)
		return;
	TIMED(f, n, next_us = f->app->tick(n->app, f->sim.now_us));
	if (next_us == n->next_tick_us)
		return;
	n->next_tick_us = MAX(next_us, f->sim.now_us + 1);
	event = g_new(tick_event_t, 1);
	*event = (tick_event_t){ node, n->incarnation, n->next_tick_us };
	sim_after(&f->sim, n->next_tick_us - f->sim.now_us, on_tick, f, event);
}

/* ---- network ---- */

/* A message in flight.  A datagram is also delivered to a restarted receiver,
 * a message of a stream only to the incarnation it was sent to. */
typedef struct {
	guint from, to;
	uint64_t from_incarnation, to_incarnation;
	bool is_datagram;
	size_t size;
	uint8_t data[];
} packet_t;

static void on_packet(void *ctx, void *data)
{
	fleet_t *f = ctx;
	packet_t *p = data;
	fleet_node_t *n = &f->nodes[p->to];

	if (n->app != NULL &&
	    (p->is_datagram || n->incarnation == p->to_incarnation)) {
		if (defer(f, p->to, on_packet, data))
			return;
		if (p->is_datagram) {
			n->received++;
			n->received_bytes += p->size + FRAME_OVERHEAD_BYTES +
					     FLEET_UDP_OVERHEAD_BYTES;
		} else {
			n->stream_bytes += p->size + FRAME_OVERHEAD_BYTES;
		}
		TIMED(f, n,
		      f->app->receive(n->app, f->sim.now_us, p->from,
				      p->from_incarnation, p->data, p->size,
				      p->is_datagram));
		fleet_tick(f, p->to);
	}
	g_free(p);
}

static void deliver(fleet_t *f, packet_t *p, int64_t extra_us)
{
	sim_after(&f->sim,
		  extra_us +
			  sim_delay(&f->sim, f->delay_min_us, f->delay_max_us),
		  on_packet, f, p);
}

void fleet_send(fleet_t *f, guint from, guint to, const uint8_t *data,
		size_t size, bool is_datagram)
{
	fleet_node_t *n = &f->nodes[from];
	size_t packet_size = sizeof(packet_t) + size;
	packet_t *p;

	if (is_datagram) {
		n->sent++;
		n->sent_bytes +=
			size + FRAME_OVERHEAD_BYTES + FLEET_UDP_OVERHEAD_BYTES;
	} else {
		n->stream_bytes += size + FRAME_OVERHEAD_BYTES;
	}
	if (f->cut[n->side][f->nodes[to].side] ||
	    (is_datagram && sim_chance(&f->sim, f->loss)))
		return;
	p = g_malloc(packet_size);
	*p = (packet_t){ .from = from,
			 .to = to,
			 .from_incarnation = n->incarnation,
			 .to_incarnation = f->nodes[to].incarnation,
			 .is_datagram = is_datagram,
			 .size = size };
	memcpy(p->data, data, size);
	deliver(f, p, 0);
	if (sim_chance(&f->sim, f->late))
		deliver(f, g_memdup2(p, packet_size),
			sim_delay(&f->sim, 2 * SIM_S, 40 * SIM_S));
}

gint fleet_find(const fleet_t *f, const char *address)
{
	gpointer found;

	return g_hash_table_lookup_extended(f->by_address, address, NULL,
					    &found)
		       ? GPOINTER_TO_INT(found)
		       : -1;
}

/* ---- store ---- */

/* A call to the store and its response. */
typedef struct {
	guint node;
	uint64_t incarnation;
	uint64_t tag;
	gsize id; /* of a watch; its address may be reused after a free */
	bool is_update;
	/* Read: version known to the caller.  Update: current version of the
	 * store, set for the response. */
	uint64_t version;
	int64_t until_us; /* longest duration of a watch */
	bsh_error_t err;
	bsh_adoption_object_t object; /* to store, or that was read */
} store_call_t;

static void free_store_call(store_call_t *call)
{
	bsh_bytes_clear(&call->object.document);
	g_free(call);
}

static void on_response(void *ctx, void *data)
{
	fleet_t *f = ctx;
	store_call_t *c = data;
	fleet_node_t *n = &f->nodes[c->node];

	if (n->app != NULL && n->incarnation == c->incarnation) {
		if (defer(f, c->node, on_response, data))
			return;
		if (c->is_update)
			f->app->update_done(n->app, f->sim.now_us, c->tag,
					    c->err, c->version);
		else
			f->app->read_done(n->app, f->sim.now_us, c->tag, c->err,
					  c->err == BSH_OK ? &c->object : NULL);
		fleet_tick(f, c->node);
	}
	free_store_call(c);
}

/* Sends the response.  If it is lost or the side is cut off, the call ends with
 * BSH_ERR_CONNECTION_LOST after 2 s. */
static void respond(fleet_t *f, store_call_t *c, bsh_error_t err)
{
	int64_t delay_us = sim_delay(&f->sim, f->store_min_us, f->store_max_us);

	c->err = err;
	if (f->store_cut[f->nodes[c->node].side] ||
	    sim_chance(&f->sim, f->store_response_loss)) {
		c->err = BSH_ERR_CONNECTION_LOST;
		delay_us = 2 * SIM_S;
	} else if (err == BSH_OK && !c->is_update) {
		c->object = f->object;
		g_bytes_ref(c->object.document);
	}
	sim_after(&f->sim, delay_us, on_response, f, c);
}

static void end_watches(fleet_t *f)
{
	while (f->watches->len > 0)
		respond(f, g_ptr_array_steal_index(f->watches, 0),
			f->store_down ? BSH_ERR_STORE : BSH_OK);
}

static void on_watch_end(void *ctx, void *data)
{
	fleet_t *f = ctx;

	for (guint i = 0; i < f->watches->len; i++) {
		store_call_t *c = g_ptr_array_index(f->watches, i);

		if (c->id != GPOINTER_TO_SIZE(data))
			continue;
		g_ptr_array_remove_index(f->watches, i);
		respond(f, c, f->store_down ? BSH_ERR_STORE : BSH_ERR_TIMEOUT);
		return;
	}
}

/*
 * A document begins with the number of the generation that its operator
 * edited, see fleet_apply().  A change of the witnesses creates a generation
 * with the same document, which is no overwrite.
 */
static void check_base(fleet_t *f)
{
	gsize size;
	const char *text = g_bytes_get_data(f->object.document, &size);
	uint64_t base = g_ascii_strtoull(text, NULL, 10);
	guint n = f->accepted->len;

	if (base + 1 != f->object.generation &&
	    (n == 0 ||
	     g_array_index(f->accepted, fleet_accepted_t, n - 1).hash !=
		     f->object.hash))
		f->bad.overwrite++;
}

/* Records an accepted generation and its time. */
static void record_accepted(fleet_t *f)
{
	fleet_accepted_t a = { .generation = f->object.generation,
			       .hash = f->object.hash,
			       .accepted_us = f->sim.now_us,
			       .last_old_us = f->sim.now_us };

	if (f->object.generation == f->accepted->len + 1) {
		check_base(f);
		g_array_append_val(f->accepted, a);
	} else if (f->object.generation != f->accepted->len ||
		   g_array_index(f->accepted, fleet_accepted_t,
				 f->accepted->len - 1)
				   .hash != f->object.hash) {
		f->bad.fork++;
	}
}

static bsh_error_t update_object(fleet_t *f, store_call_t *c)
{
	if (c->object.version != f->object.version) {
		c->version = f->object.version;
		return BSH_ERR_CONFLICT;
	}
	bsh_bytes_clear(&f->object.document);
	f->object = c->object;
	g_bytes_ref(f->object.document);
	f->object.version++;
	c->version = f->object.version;
	record_accepted(f);
	end_watches(f);
	return BSH_OK;
}

static void on_store_call(void *ctx, void *data)
{
	fleet_t *f = ctx;
	store_call_t *c = data;

	if (f->store_down) {
		respond(f, c, BSH_ERR_STORE);
	} else if (c->is_update) {
		respond(f, c, update_object(f, c));
	} else if (f->object.version == 0) {
		respond(f, c, BSH_ERR_NOT_FOUND);
	} else if (f->object.version > c->version) {
		respond(f, c, BSH_OK);
	} else {
		c->id = ++f->last_watch_id;
		g_ptr_array_add(f->watches, c);
		sim_after(&f->sim, c->until_us, on_watch_end, f,
			  GSIZE_TO_POINTER(c->id));
	}
}

static void send_store_call(fleet_t *f, store_call_t *c)
{
	const fleet_node_t *n = &f->nodes[c->node];
	int64_t delay_us = sim_delay(&f->sim, f->store_min_us, f->store_max_us);

	c->incarnation = n->incarnation;
	f->store_calls++;
	if (c->is_update && n->side == 1)
		delay_us += f->update_delay_us;
	if (f->store_cut[f->nodes[c->node].side])
		respond(f, c, BSH_ERR_CONNECTION_LOST);
	else
		sim_after(&f->sim, delay_us, on_store_call, f, c);
}

void fleet_store_read(fleet_t *f, guint node, uint64_t tag, uint64_t version,
		      uint32_t timeout_ms)
{
	store_call_t *c = g_new0(store_call_t, 1);

	c->node = node;
	c->tag = tag;
	c->version = version;
	c->until_us = timeout_ms * SIM_MS;
	send_store_call(f, c);
}

void fleet_store_update(fleet_t *f, guint node, uint64_t tag,
			const bsh_adoption_object_t *object)
{
	store_call_t *c = g_new0(store_call_t, 1);

	c->node = node;
	c->tag = tag;
	c->is_update = true;
	c->object = *object;
	g_bytes_ref(c->object.document);
	send_store_call(f, c);
}

/* ---- records and checks ---- */

static fleet_accepted_t *accepted_at(fleet_t *f, guint index)
{
	return &g_array_index(f->accepted, fleet_accepted_t, index);
}

void fleet_record_in_force(fleet_t *f, uint64_t generation)
{
	if (generation >= 1 && generation <= f->accepted->len &&
	    accepted_at(f, (guint)generation - 1)->told_us == 0)
		accepted_at(f, (guint)generation - 1)->told_us = f->sim.now_us;
}

static void count_violation(fleet_t *f, const fleet_node_t *n, const char *what,
			    uint64_t *count)
{
	if (f->verbose)
		fprintf(stderr, "%.3f s %s: %s, generation %" PRIu64 "\n",
			(double)f->sim.now_us / 1e6, n->name, what,
			f->app->generation(n->app));
	(*count)++;
}

static void check_node(fleet_t *f, fleet_node_t *n)
{
	int64_t now_us = f->sim.now_us;
	uint64_t generation;

	if (n->app == NULL || now_us < n->frozen_until_us)
		return;
	if (!f->app->takes_work(n->app, now_us)) {
		if (f->serve_after_us != 0 && now_us > f->serve_after_us &&
		    now_us > n->started_us + 15 * SIM_S)
			count_violation(f, n, "accepts no work", &f->bad.idle);
		return;
	}
	generation = f->app->generation(n->app);
	if (generation < n->highest_generation)
		count_violation(f, n, "reverted to a lower generation",
				&f->bad.revert);
	n->highest_generation = MAX(n->highest_generation, generation);
	for (guint i = (guint)generation; i < f->accepted->len; i++) {
		fleet_accepted_t *a = accepted_at(f, i);

		a->last_old_us = now_us;
		if (now_us > a->accepted_us + f->bound_us)
			count_violation(f, n,
					"accepts work with an old generation "
					"after the bound",
					&f->bad.old);
		if (a->told_us != 0 && now_us > a->told_us)
			count_violation(
				f, n,
				"accepts work with an old generation although "
				"a newer one was reported in force",
				&f->bad.false_in_force);
	}
}

void fleet_run(fleet_t *f, int64_t until_us)
{
	while (f->sim.now_us < until_us) {
		sim_run(&f->sim,
			MIN(until_us, f->sim.now_us + CHECK_INTERVAL_US));
		for (guint i = 0; i < f->n; i++)
			check_node(f, &f->nodes[i]);
	}
}

/* ---- instances ---- */

bool fleet_is_listed(const fleet_t *f, guint node)
{
	const fleet_node_t *n = &f->nodes[node];

	return n->listed_us == 0 ||
	       f->sim.now_us - n->listed_us >= f->list_lag_us;
}

void fleet_start(fleet_t *f, guint node)
{
	fleet_node_t *n = &f->nodes[node];

	n->incarnation = (uint64_t)f->sim.now_us + 1;
	n->started_us = f->sim.now_us;
	if (n->listed_us < 0)
		n->listed_us = f->sim.now_us;
	n->next_tick_us = INT64_MAX;
	n->highest_generation = 0;
	n->app = f->app->start(f, node);
	fleet_tick(f, node);
}

void fleet_kill(fleet_t *f, guint node)
{
	if (f->nodes[node].app != NULL)
		f->app->stop(f->nodes[node].app);
	f->nodes[node].app = NULL;
	f->nodes[node].frozen_until_us = 0;
}

/* Checks before the postponed events run: the process may accept work as soon
 * as it resumes. */
static void on_resume(void *ctx, void *data)
{
	fleet_t *f = ctx;

	check_node(f, &f->nodes[GPOINTER_TO_UINT(data)]);
}

void fleet_freeze(fleet_t *f, guint node, int64_t duration_us)
{
	sim_after(&f->sim, duration_us, on_resume, f, GUINT_TO_POINTER(node));
	f->nodes[node].frozen_until_us = f->sim.now_us + duration_us;
}

void fleet_apply(fleet_t *f, guint node)
{
	fleet_node_t *n = &f->nodes[node];
	char text[128];
	GBytes *document;

	if (n->app == NULL || f->sim.now_us < n->frozen_until_us)
		return;
	snprintf(text, sizeof(text), "%" PRIu64 " edited at %s at %" PRId64,
		 f->app->generation(n->app), n->name, f->sim.now_us);
	document = g_bytes_new(text, strlen(text));
	f->app->apply(n->app, f->sim.now_us, (uint64_t)f->sim.now_us + 1,
		      document);
	g_bytes_unref(document);
	fleet_tick(f, node);
}

void fleet_init(fleet_t *f, const fleet_app_t *app, guint n, guint zones,
		uint32_t seed)
{
	memset(f, 0, sizeof(*f));
	sim_init(&f->sim, seed);
	f->app = app;
	f->n = n;
	f->nodes = g_new0(fleet_node_t, n);
	f->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	f->delay_min_us = 200;
	f->delay_max_us = 1500;
	f->store_min_us = 1 * SIM_MS;
	f->store_max_us = 4 * SIM_MS;
	f->bound_us = 11 * SIM_S;
	f->watches = g_ptr_array_new();
	f->accepted = g_array_new(FALSE, FALSE, sizeof(fleet_accepted_t));
	for (guint i = 0; i < n; i++) {
		fleet_node_t *node = &f->nodes[i];

		snprintf(node->name, sizeof(node->name), "entry-%04u", i);
		snprintf(node->zone, sizeof(node->zone), "zone-%u", i % zones);
		snprintf(node->address, sizeof(node->address),
			 "10.%u.%u.%u:7005", i % zones, i / 250, i % 250);
		g_hash_table_insert(f->by_address, node->address,
				    GINT_TO_POINTER((gint)i));
	}
}

void fleet_finish(fleet_t *f)
{
	for (guint i = 0; i < f->n; i++)
		fleet_kill(f, i);
	/* Events still queued own their data; nothing else refers to it. */
	bsh_bytes_clear(&f->object.document);
	g_ptr_array_free(f->watches, TRUE);
	g_array_free(f->accepted, TRUE);
	g_hash_table_destroy(f->by_address);
	sim_finish(&f->sim);
	g_free(f->nodes);
}
