#include "coordination/adoption.h"

#include <string.h>

#include "coordination/adoption_state.h"

/* One second is ample: most fetches transfer a small delta, and only the first
 * needs a full document. */
#define FETCH_TIMEOUT_US INT64_C(1000000)

/* Each third attempt of a fetch reads the store instead of a peer. */
#define FETCH_STORE_EVERY 3

/*
 * Lifetime of a confirmation by the store read of an instance that is not a
 * witness.  No witness reports such an instance to a proposer, which therefore
 * waits this long before it declares a generation in force.
 */
#define DIRECT_FRESH_MS 1500

const char *bsh_adoption_self(const bsh_adoption_t *a)
{
	return bsh_members_self(a->members)->name;
}

void bsh_adoption_object_clear(bsh_adoption_object_t *object)
{
	bsh_bytes_clear(&object->document);
	memset(object, 0, sizeof(*object));
}

void bsh_adoption_object_copy(bsh_adoption_object_t *to,
			      const bsh_adoption_object_t *from)
{
	GBytes *document =
		from->document != NULL ? g_bytes_ref(from->document) : NULL;

	bsh_bytes_clear(&to->document);
	*to = *from;
	to->document = document;
}

bool bsh_adoption_has_witness(const bsh_adoption_object_t *object,
			      const char *name)
{
	for (uint32_t i = 0; i < object->n_witnesses; i++) {
		if (strcmp(object->witnesses[i], name) == 0)
			return true;
	}
	return false;
}

void bsh_adoption_observe_version(bsh_adoption_t *a, uint64_t version)
{
	a->max_version = MAX(a->max_version, version);
}

static void publish_generation(bsh_adoption_t *a, int64_t now_us)
{
	bsh_members_set_generation(a->members, now_us, a->current.generation,
				   a->current.hash,
				   bsh_adoption_age_ms(a, now_us));
}

static GBytes *history_document(const bsh_adoption_t *a, uint64_t generation)
{
	for (uint32_t i = 0; i < BSH_HISTORY_MAX; i++) {
		if (a->history[i].document != NULL &&
		    a->history[i].generation == generation)
			return a->history[i].document;
	}
	return NULL;
}

uint64_t bsh_adoption_history_hash(const bsh_adoption_t *a, uint64_t generation,
				   bool *found)
{
	for (uint32_t i = 0; i < BSH_HISTORY_MAX; i++) {
		*found = a->history[i].document != NULL &&
			 a->history[i].generation == generation;
		if (*found)
			return a->history[i].hash;
	}
	return 0;
}

static void add_to_history(bsh_adoption_t *a)
{
	uint32_t i = a->history_next++ % BSH_HISTORY_MAX;

	bsh_bytes_clear(&a->history[i].document);
	a->history[i].generation = a->current.generation;
	a->history[i].hash = a->current.hash;
	a->history[i].document = g_bytes_ref(a->current.document);
}

static bool same_witnesses(const bsh_adoption_object_t *a,
			   const bsh_adoption_object_t *b)
{
	if (a->n_witnesses != b->n_witnesses)
		return false;
	for (uint32_t i = 0; i < a->n_witnesses; i++) {
		if (!bsh_adoption_has_witness(b, a->witnesses[i]))
			return false;
	}
	return true;
}

/*
 * The generation in the store never decreases.  A higher version of the same
 * generation is a rewrite; only later conditional updates need its version.
 */
void bsh_adoption_adopt(bsh_adoption_t *a, int64_t now_us,
			const bsh_adoption_object_t *object)
{
	bsh_adoption_observe_version(a, object->version);
	if (object->generation == a->current.generation) {
		if (object->generation > 0 && object->hash != a->current.hash)
			a->stats.forked++;
		else
			a->current.version =
				MAX(a->current.version, object->version);
		return;
	}
	if (object->generation < a->current.generation ||
	    object->document == NULL)
		return;
	if (!same_witnesses(object, &a->current))
		a->witnesses_changed_us = now_us;
	bsh_adoption_object_copy(&a->current, object);
	add_to_history(a);
	a->highest_known = MAX(a->highest_known, object->generation);
	if (a->highest_known == a->current.generation) {
		a->fetch_sequence = 0;
		a->fetch_attempts = 0;
		a->fetch_full = false;
	}
	bsh_fresh_adopted(a, now_us);
	publish_generation(a, now_us);
	a->ops->adopted(a->ctx, &a->current);
}

/* ---- fetching ---- */

static void fetch(bsh_adoption_t *a, int64_t now_us)
{
	bsh_adoption_message_t msg = { .kind = BSH_ADOPTION_CONFIG_FETCH };

	a->fetch_sequence = ++a->next_sequence;
	a->fetch_deadline_us = now_us + FETCH_TIMEOUT_US;
	msg.sequence = a->fetch_sequence;
	msg.generation = a->fetch_full ? 0 : a->current.generation;
	a->stats.fetches++;
	a->ops->send(a->ctx, a->fetch_source, &msg);
}

void bsh_adoption_generation_reported(bsh_adoption_t *a, int64_t now_us,
				      const char *from, uint64_t generation,
				      uint64_t hash)
{
	bool is_newer = generation > a->highest_known;

	if (generation == a->current.generation && generation > 0 &&
	    hash != a->current.hash)
		a->stats.forked++;
	if (generation <= a->current.generation ||
	    generation < a->highest_known)
		return;
	/* The most recent sender is the most likely to be reachable. */
	g_strlcpy(a->fetch_source, from, sizeof(a->fetch_source));
	a->highest_known = generation;
	if (is_newer || a->fetch_sequence == 0) {
		a->fetch_attempts = 0;
		fetch(a, now_us);
	}
}

/* Retries a fetch that timed out, at another peer or from the store. */
static int64_t fetch_tick(bsh_adoption_t *a, int64_t now_us)
{
	if (a->highest_known <= a->current.generation)
		return INT64_MAX;
	if (now_us < a->fetch_deadline_us)
		return a->fetch_deadline_us;
	if (++a->fetch_attempts % FETCH_STORE_EVERY == 0 && a->read.tag == 0) {
		a->fetch_deadline_us = now_us + FETCH_TIMEOUT_US;
		bsh_fresh_read(a, now_us, BSH_READ_POLL, 0, 0);
		return a->fetch_deadline_us;
	}
	if (a->fetch_attempts % 2 == 1 && a->n_parents > 0)
		g_strlcpy(a->fetch_source,
			  a->parents[bsh_rng_below(&a->rng, a->n_parents)],
			  sizeof(a->fetch_source));
	fetch(a, now_us);
	return a->fetch_deadline_us;
}

static void receive_fetch(bsh_adoption_t *a, const char *from,
			  const bsh_adoption_message_t *request)
{
	bsh_adoption_message_t msg = { .kind = BSH_ADOPTION_CONFIG,
				       .sequence = request->sequence };
	GBytes *base = history_document(a, request->generation);

	if (request->generation >= a->current.generation) {
		a->stats.obsolete++;
		return;
	}
	msg.generation = a->current.generation;
	msg.version = a->current.version;
	msg.hash = a->current.hash;
	msg.n_witnesses = a->current.n_witnesses;
	memcpy(msg.witnesses, a->current.witnesses, sizeof(msg.witnesses));
	if (base != NULL)
		msg.body =
			a->ops->make_delta(a->ctx, base, a->current.document);
	if (msg.body != NULL) {
		msg.from = request->generation;
		a->stats.deltas++;
	} else {
		msg.body = g_bytes_ref(a->current.document);
		a->stats.fulls++;
	}
	a->ops->send(a->ctx, from, &msg);
	g_bytes_unref(msg.body);
}

static GBytes *resulting_document(bsh_adoption_t *a,
				  const bsh_adoption_message_t *msg)
{
	GBytes *base;

	if (msg->body == NULL)
		return NULL;
	if (msg->from == 0)
		return g_bytes_ref(msg->body);
	base = history_document(a, msg->from);
	return base != NULL ? a->ops->apply_delta(a->ctx, base, msg->body)
			    : NULL;
}

static void receive_config(bsh_adoption_t *a, int64_t now_us, const char *from,
			   const bsh_adoption_message_t *msg)
{
	bsh_adoption_object_t object = { .version = msg->version,
					 .generation = msg->generation,
					 .n_witnesses = msg->n_witnesses,
					 .hash = msg->hash };

	if (msg->generation <= a->current.generation) {
		a->stats.obsolete++;
		return;
	}
	memcpy(object.witnesses, msg->witnesses, sizeof(object.witnesses));
	object.document = resulting_document(a, msg);
	if (object.document != NULL &&
	    a->ops->hash(a->ctx, object.document) == msg->hash) {
		bsh_adoption_adopt(a, now_us, &object);
	} else {
		a->stats.bad_deltas++;
		a->fetch_full = true;
		g_strlcpy(a->fetch_source, from, sizeof(a->fetch_source));
		a->highest_known = MAX(a->highest_known, msg->generation);
		a->fetch_deadline_us = now_us;
	}
	bsh_bytes_clear(&object.document);
}

/* ---- public interface ---- */

void bsh_adoption_receive(bsh_adoption_t *a, int64_t now_us, const char *from,
			  uint64_t incarnation,
			  const bsh_adoption_message_t *msg)
{
	switch (msg->kind) {
	case BSH_ADOPTION_FRESH_REQUEST:
		bsh_fresh_receive_query(a, now_us, from, incarnation, msg);
		break;
	case BSH_ADOPTION_FRESH:
		bsh_fresh_receive_reply(a, now_us, from, msg);
		break;
	case BSH_ADOPTION_PREPARE:
		bsh_fresh_receive_prepare(a, now_us, from, msg);
		break;
	case BSH_ADOPTION_PREPARED:
		bsh_propose_receive(a, now_us, from, msg);
		break;
	case BSH_ADOPTION_CONFIG_FETCH:
		receive_fetch(a, from, msg);
		break;
	case BSH_ADOPTION_CONFIG:
		receive_config(a, now_us, from, msg);
		break;
	default:
		break;
	}
}

int64_t bsh_adoption_tick(bsh_adoption_t *a, int64_t now_us)
{
	int64_t due_us = bsh_fresh_tick(a, now_us);

	due_us = MIN(due_us, fetch_tick(a, now_us));
	due_us = MIN(due_us, bsh_propose_tick(a, now_us));
	publish_generation(a, now_us);
	/* publish_generation() may make the members due before due_us. */
	return MAX(due_us, now_us + 1);
}

void bsh_adoption_store_read_done(bsh_adoption_t *a, int64_t now_us,
				  uint64_t tag, bsh_error_t err,
				  const bsh_adoption_object_t *object)
{
	bsh_read_t read = a->read;
	bool is_witness;

	if (tag == 0 || tag != read.tag) {
		a->stats.obsolete++;
		return;
	}
	a->read.tag = 0;
	a->next_read_us = now_us;
	if (err == BSH_OK && object != NULL) {
		bsh_adoption_adopt(a, now_us, object);
		if (!a->has_read)
			a->first_version = object->version;
		a->has_read = true;
	} else if (err == BSH_ERR_NOT_FOUND) {
		a->has_read = true;
	}
	is_witness = bsh_adoption_is_witness(a);
	if (err == BSH_OK || err == BSH_ERR_TIMEOUT) {
		int64_t *confirmed =
			is_witness ? &a->confirmed_us : &a->direct_confirmed_us;

		*confirmed = MAX(*confirmed, read.start_us);
	} else {
		a->next_read_us = now_us + 500000;
	}
	if (read.purpose != BSH_READ_POLL)
		bsh_propose_read_done(a, now_us, read.purpose, err, object);
}

void bsh_adoption_store_update_done(bsh_adoption_t *a, int64_t now_us,
				    uint64_t tag, bsh_error_t err,
				    uint64_t version)
{
	if (err == BSH_OK)
		bsh_adoption_observe_version(a, version);
	if (!bsh_fresh_rewrite_done(a, now_us, tag, err, version))
		bsh_propose_update_done(a, now_us, tag, err, version);
}

int64_t bsh_adoption_fresh_until_us(const bsh_adoption_t *a)
{
	if (a->current.generation == 0)
		return BSH_NEVER_US;
	return MAX(a->confirmed_us + a->fresh_us,
		   a->direct_confirmed_us + a->direct_fresh_us);
}

bool bsh_adoption_is_fresh(const bsh_adoption_t *a, int64_t now_us)
{
	return now_us < bsh_adoption_fresh_until_us(a);
}

uint32_t bsh_adoption_age_ms(const bsh_adoption_t *a, int64_t now_us)
{
	int64_t age_us = now_us - a->confirmed_us;

	if (a->current.generation == 0 || age_us > a->fresh_us)
		return BSH_MEMBER_AGE_NONE_MS;
	return (uint32_t)((age_us + 999) / 1000);
}

const bsh_adoption_object_t *bsh_adoption_current(const bsh_adoption_t *a)
{
	return &a->current;
}

uint64_t bsh_adoption_known_generation(const bsh_adoption_t *a)
{
	return a->highest_known;
}

bool bsh_adoption_is_witness(const bsh_adoption_t *a)
{
	return bsh_adoption_has_witness(&a->current, bsh_adoption_self(a));
}

const bsh_adoption_stats_t *bsh_adoption_stats(const bsh_adoption_t *a)
{
	return &a->stats;
}

bsh_adoption_t *bsh_adoption_new(const bsh_adoption_config_t *config,
				 bsh_members_t *members,
				 const bsh_adoption_ops_t *ops, void *ctx,
				 int64_t now_us)
{
	bsh_adoption_t *a = g_new0(bsh_adoption_t, 1);

	a->config = *config;
	a->members = members;
	a->ops = ops;
	a->ctx = ctx;
	a->started_us = now_us;
	a->fresh_us = (int64_t)config->fresh_ms * 1000;
	a->direct_fresh_us =
		(int64_t)MIN(DIRECT_FRESH_MS, config->fresh_ms / 4) * 1000;
	a->confirmed_us = BSH_NEVER_US;
	a->direct_confirmed_us = BSH_NEVER_US;
	a->witnesses_changed_us = now_us;
	bsh_rng_init(&a->rng, config->seed);
	bsh_fresh_init(a, now_us);
	a->pending =
		g_array_new(FALSE, FALSE, sizeof(bsh_pending_generation_t));
	a->next_maintenance_us = now_us;
	return a;
}

void bsh_adoption_free(bsh_adoption_t *a)
{
	if (a == NULL)
		return;
	bsh_propose_finish(a);
	bsh_fresh_finish(a);
	for (uint32_t i = 0; i < BSH_HISTORY_MAX; i++)
		bsh_bytes_clear(&a->history[i].document);
	bsh_adoption_object_clear(&a->current);
	g_array_free(a->pending, TRUE);
	bsh_rng_finish(&a->rng);
	g_free(a);
}
