#include <string.h>

#include "coordination/adoption_state.h"

#define MS_US INT64_C(1000)

#define PREPARE_RETRY_US   (300 * MS_US)
#define PREPARE_TIMEOUT_US (3000 * MS_US)
#define READ_RETRY_US	   (500 * MS_US)
#define RATE_RETRY_US	   (300 * MS_US)
#define UPDATE_TIMEOUT_US  (10000 * MS_US)

/* An attempt conflicts with rewrites by witnesses and competing proposals. */
#define ATTEMPTS_MAX 6

#define SETTLED_QUERY_INTERVAL_US (300 * MS_US)
#define SETTLED_QUERY_DELAY_US	  (600 * MS_US)

/*
 * The first live witness maintains the set: it replaces a witness that is gone,
 * leaving, or dead or unknown for WITNESS_DEAD_US, and fills vacant places.
 */
#define MAINTENANCE_INTERVAL_US (5000 * MS_US)
#define REPLACEMENT_DELAY_US	(10000 * MS_US)
#define WITNESS_DEAD_US		(600 * 1000 * MS_US)

static void start_read(bsh_adoption_t *a, int64_t now_us);

/* ---- witness set ---- */

static bool is_gone(const bsh_adoption_t *a, const char *name)
{
	const bsh_member_t *m = bsh_members_find(a->members, name);

	return m != NULL && m->state == BSH_MEMBER_GONE;
}

static bool must_be_replaced(const bsh_adoption_t *a, const char *name,
			     int64_t now_us)
{
	const bsh_member_t *m = bsh_members_find(a->members, name);
	int64_t since_us;

	if (m == NULL || m->is_hint)
		return now_us - a->started_us > WITNESS_DEAD_US;
	if (m->state == BSH_MEMBER_GONE || m->leaving)
		return true;
	since_us = MAX(m->changed_us, a->started_us);
	return m->state == BSH_MEMBER_DEAD &&
	       now_us - since_us > WITNESS_DEAD_US;
}

typedef struct {
	bsh_adoption_t *a;
	bsh_adoption_object_t *set;
	const bsh_member_t *best;
	guint best_in_zone;
	guint usable;
} zone_spread_t;

static guint count_zone(const zone_spread_t *s, const char *zone)
{
	guint n = 0;

	for (uint32_t i = 0; i < s->set->n_witnesses; i++) {
		const bsh_member_t *m =
			bsh_members_find(s->a->members, s->set->witnesses[i]);

		n += m != NULL && strcmp(m->place.zone, zone) == 0;
	}
	return n;
}

static void consider_candidate(void *ctx, const bsh_member_t *m)
{
	zone_spread_t *s = ctx;
	guint in_zone;

	if (m->state != BSH_MEMBER_ALIVE || m->leaving)
		return;
	s->usable++;
	if (bsh_adoption_has_witness(s->set, m->name))
		return;
	in_zone = count_zone(s, m->place.zone);
	if (s->best == NULL || in_zone < s->best_in_zone) {
		s->best = m;
		s->best_in_zone = in_zone;
	}
}

/* Keeps usable witnesses and fills up from the zones with the fewest. */
static void choose_witnesses(bsh_adoption_t *a, int64_t now_us,
			     bsh_adoption_object_t *set)
{
	set->n_witnesses = 0;
	memset(set->witnesses, 0, sizeof(set->witnesses));
	for (uint32_t i = 0; i < a->current.n_witnesses; i++) {
		if (!must_be_replaced(a, a->current.witnesses[i], now_us))
			g_strlcpy(set->witnesses[set->n_witnesses++],
				  a->current.witnesses[i], BSH_NAME_SIZE);
	}
	while (set->n_witnesses < BSH_WITNESSES_MAX) {
		zone_spread_t s = { .a = a, .set = set };

		bsh_members_foreach(a->members, consider_candidate, &s);
		if (s.best == NULL)
			break;
		g_strlcpy(set->witnesses[set->n_witnesses++], s.best->name,
			  BSH_NAME_SIZE);
	}
}

static void first_live(void *ctx, const bsh_member_t *m)
{
	const bsh_member_t **first = ctx;

	if (*first == NULL && m->state == BSH_MEMBER_ALIVE && !m->leaving)
		*first = m;
}

static bool is_maintainer(const bsh_adoption_t *a)
{
	const bsh_member_t *first = NULL;

	for (uint32_t i = 0; i < a->current.n_witnesses; i++) {
		const bsh_member_t *m =
			bsh_members_find(a->members, a->current.witnesses[i]);

		if (m == NULL || m->is_hint || m->leaving ||
		    m->state != BSH_MEMBER_ALIVE)
			continue;
		return m == bsh_members_self(a->members);
	}
	/* No live witness is left: the live member with the lowest rank. */
	bsh_members_foreach(a->members, first_live, &first);
	return first == bsh_members_self(a->members);
}

static bool set_differs(const bsh_adoption_object_t *a,
			const bsh_adoption_object_t *b)
{
	if (a->n_witnesses != b->n_witnesses)
		return true;
	for (uint32_t i = 0; i < a->n_witnesses; i++) {
		if (!bsh_adoption_has_witness(b, a->witnesses[i]))
			return true;
	}
	return false;
}

static void maintain_witnesses(bsh_adoption_t *a, int64_t now_us)
{
	bsh_adoption_object_t wanted;

	if (now_us < a->next_maintenance_us)
		return;
	a->next_maintenance_us = now_us + MAINTENANCE_INTERVAL_US;
	if (a->current.generation == 0 ||
	    a->proposal.state != BSH_PROPOSE_IDLE || !is_maintainer(a)) {
		a->replacement_due_since_us = 0;
		return;
	}
	choose_witnesses(a, now_us, &wanted);
	if (!set_differs(&wanted, &a->current)) {
		a->replacement_due_since_us = 0;
		return;
	}
	if (a->replacement_due_since_us == 0)
		a->replacement_due_since_us = now_us;
	if (now_us - a->replacement_due_since_us < REPLACEMENT_DELAY_US)
		return;
	a->replacement_due_since_us = 0;
	bsh_adoption_apply(a, now_us, 0, a->current.generation,
			   a->current.document);
}

/* ---- proposal ---- */

static void end_proposal(bsh_adoption_t *a, bsh_error_t result,
			 uint64_t generation)
{
	uint64_t request = a->proposal.request;

	bsh_adoption_object_clear(&a->proposal.object);
	memset(&a->proposal, 0, sizeof(a->proposal));
	if (request != 0)
		a->ops->apply_done(a->ctx, request, result, generation);
}

static void proposal_accepted(bsh_adoption_t *a, int64_t now_us,
			      uint64_t version)
{
	bsh_proposal_t *p = &a->proposal;
	bsh_pending_generation_t pending = { .request = p->request,
					     .generation = p->object.generation,
					     .accepted_us = now_us,
					     .waits_full_period =
						     p->witnesses_changed };

	p->object.version = version;
	bsh_adoption_observe_version(a, version);
	bsh_adoption_adopt(a, now_us, &p->object);
	if (p->request != 0)
		g_array_append_val(a->pending, pending);
	a->next_settled_query_us = now_us + SETTLED_QUERY_DELAY_US;
	end_proposal(a, BSH_OK, pending.generation);
}

static bool retry_proposal(bsh_adoption_t *a, int64_t now_us)
{
	if (++a->proposal.attempts >= ATTEMPTS_MAX)
		return false;
	start_read(a, now_us);
	return true;
}

static void start_read(bsh_adoption_t *a, int64_t now_us)
{
	a->proposal.state = BSH_PROPOSE_READ;
	bsh_fresh_read(a, now_us, BSH_READ_PROPOSE, a->current.version, 0);
}

static uint32_t count_prepared(bsh_adoption_t *a)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < a->current.n_witnesses; i++) {
		if (a->witnesses[i].prepared ||
		    is_gone(a, a->witnesses[i].name))
			n++;
	}
	return n;
}

static void send_update(bsh_adoption_t *a, int64_t now_us)
{
	bsh_proposal_t *p = &a->proposal;

	p->state = BSH_PROPOSE_UPDATE;
	p->tag = ++a->next_sequence;
	p->deadline_us = now_us + UPDATE_TIMEOUT_US;
	p->retry_at_us = INT64_MAX;
	a->stats.store_updates++;
	a->ops->store_update(a->ctx, p->tag, &p->object);
}

static void check_prepared(bsh_adoption_t *a, int64_t now_us)
{
	uint32_t n = a->current.n_witnesses;

	if (a->proposal.state != BSH_PROPOSE_PREPARE)
		return;
	if (n == 0 || count_prepared(a) >= n / 2 + 1)
		send_update(a, now_us);
}

static void send_prepares(bsh_adoption_t *a, int64_t now_us)
{
	bsh_proposal_t *p = &a->proposal;
	bsh_adoption_message_t msg = { .kind = BSH_ADOPTION_PREPARE,
				       .sequence = p->sequence,
				       .generation = p->object.generation,
				       .version = p->object.version };

	p->retry_at_us = now_us + PREPARE_RETRY_US;
	for (uint32_t i = 0; i < a->current.n_witnesses; i++) {
		bsh_witness_t *w = &a->witnesses[i];

		if (w->prepared)
			continue;
		if (strcmp(w->name, bsh_adoption_self(a)) == 0)
			w->prepared = bsh_fresh_prepare(
				a, now_us, msg.generation, msg.version);
		else
			a->ops->send(a->ctx, w->name, &msg);
	}
}

static void start_prepare(bsh_adoption_t *a, int64_t now_us, uint64_t version)
{
	bsh_proposal_t *p = &a->proposal;

	p->state = BSH_PROPOSE_PREPARE;
	p->object.version = version;
	p->object.generation = p->base + 1;
	choose_witnesses(a, now_us, &p->object);
	p->witnesses_changed = set_differs(&p->object, &a->current);
	p->sequence = ++a->next_sequence;
	p->deadline_us = now_us + PREPARE_TIMEOUT_US;
	for (uint32_t i = 0; i < BSH_WITNESSES_MAX; i++)
		a->witnesses[i].prepared = false;
	send_prepares(a, now_us);
	check_prepared(a, now_us);
}

static void base_read_done(bsh_adoption_t *a, int64_t now_us, bsh_error_t err,
			   const bsh_adoption_object_t *object)
{
	bsh_proposal_t *p = &a->proposal;
	uint64_t version = a->current.version;

	if (err == BSH_ERR_NOT_FOUND)
		version = 0;
	else if (err == BSH_OK && object != NULL)
		version = object->version;
	else if (err != BSH_ERR_TIMEOUT) {
		end_proposal(a, BSH_ERR_STORE, a->current.generation);
		return;
	}
	if (a->current.generation != p->base) {
		end_proposal(a, BSH_ERR_CONFLICT, a->current.generation);
		return;
	}
	start_prepare(a, now_us, version);
}

static void send_fence(bsh_adoption_t *a, int64_t now_us,
		       const bsh_adoption_object_t *object)
{
	bsh_proposal_t *p = &a->proposal;

	p->state = BSH_PROPOSE_FENCE;
	p->tag = ++a->next_sequence;
	p->deadline_us = now_us + UPDATE_TIMEOUT_US;
	p->retry_at_us = INT64_MAX;
	a->stats.store_updates++;
	a->stats.rewrites++;
	a->ops->store_update(a->ctx, p->tag, object);
}

static void retry_read_back(bsh_adoption_t *a, int64_t now_us)
{
	a->proposal.state = BSH_PROPOSE_READ_BACK;
	a->proposal.may_have_applied = true;
	a->proposal.retry_at_us = now_us + READ_RETRY_US;
	a->proposal.deadline_us = INT64_MAX;
}

/*
 * Concludes the outcome of an update whose result is unknown.  While the object
 * still has the version on which the update is conditional, the update may yet
 * take effect, so that version is first replaced by a rewrite.
 */
static void read_back(bsh_adoption_t *a, int64_t now_us, bsh_error_t err,
		      const bsh_adoption_object_t *object)
{
	bsh_proposal_t *p = &a->proposal;
	bool in_history = false;
	uint64_t hash;

	if (err != BSH_OK || object == NULL) {
		/* An absent object cannot be rewritten; repeat the creation. */
		if (err == BSH_ERR_NOT_FOUND && p->object.version == 0)
			send_update(a, now_us);
		else
			retry_read_back(a, now_us);
		return;
	}
	if (object->generation < p->object.generation) {
		if (object->version == p->object.version)
			send_fence(a, now_us, object);
		else
			end_proposal(a, BSH_ERR_STORE, object->generation);
		return;
	}
	if (object->generation == p->object.generation) {
		if (object->hash == p->object.hash)
			proposal_accepted(a, now_us, object->version);
		else
			end_proposal(a, BSH_ERR_CONFLICT, object->generation);
		return;
	}
	hash = bsh_adoption_history_hash(a, p->object.generation, &in_history);
	if (in_history && hash == p->object.hash)
		proposal_accepted(a, now_us, p->object.version + 1);
	else
		end_proposal(a,
			     in_history ? BSH_ERR_CONFLICT
					: BSH_ERR_OUTCOME_UNKNOWN,
			     object->generation);
}

void bsh_propose_read_done(bsh_adoption_t *a, int64_t now_us,
			   bsh_read_purpose_t purpose, bsh_error_t err,
			   const bsh_adoption_object_t *object)
{
	if (purpose == BSH_READ_PROPOSE &&
	    a->proposal.state == BSH_PROPOSE_READ)
		base_read_done(a, now_us, err, object);
	else if (purpose == BSH_READ_BACK &&
		 a->proposal.state == BSH_PROPOSE_READ_BACK)
		read_back(a, now_us, err, object);
}

static void update_done(bsh_adoption_t *a, int64_t now_us, bsh_error_t err,
			uint64_t version)
{
	bsh_proposal_t *p = &a->proposal;

	switch (err) {
	case BSH_OK:
		proposal_accepted(a, now_us, version);
		break;
	case BSH_ERR_CONFLICT:
		if (p->may_have_applied)
			retry_read_back(a, now_us);
		else if (!retry_proposal(a, now_us))
			end_proposal(a, BSH_ERR_CONFLICT,
				     a->current.generation);
		break;
	case BSH_ERR_RATE_LIMITED:
		if (++p->attempts < ATTEMPTS_MAX)
			p->retry_at_us = now_us + RATE_RETRY_US;
		else
			end_proposal(a, BSH_ERR_STORE, a->current.generation);
		break;
	case BSH_ERR_TOO_LARGE:
		end_proposal(a, BSH_ERR_TOO_LARGE, a->current.generation);
		break;
	case BSH_ERR_CONNECT:
		end_proposal(a, BSH_ERR_STORE, a->current.generation);
		break;
	default:
		retry_read_back(a, now_us);
		break;
	}
}

void bsh_propose_update_done(bsh_adoption_t *a, int64_t now_us, uint64_t tag,
			     bsh_error_t err, uint64_t version)
{
	bsh_proposal_t *p = &a->proposal;

	if (tag == 0 || tag != p->tag) {
		a->stats.obsolete++;
		return;
	}
	p->tag = 0;
	if (p->state == BSH_PROPOSE_UPDATE)
		update_done(a, now_us, err, version);
	else if (p->state == BSH_PROPOSE_FENCE && err == BSH_OK)
		end_proposal(a, BSH_ERR_STORE, a->current.generation);
	else if (p->state == BSH_PROPOSE_FENCE)
		retry_read_back(a, now_us);
}

void bsh_propose_receive(bsh_adoption_t *a, int64_t now_us, const char *from,
			 const bsh_adoption_message_t *msg)
{
	bsh_proposal_t *p = &a->proposal;
	bsh_witness_t *w = bsh_fresh_witness(a, from);

	if (w == NULL || p->state != BSH_PROPOSE_PREPARE ||
	    msg->sequence != p->sequence) {
		a->stats.obsolete++;
		return;
	}
	if (msg->accepted) {
		w->prepared = true;
		check_prepared(a, now_us);
	} else if (msg->version > p->object.version) {
		/* The base version has been rewritten or replaced. */
		bsh_adoption_observe_version(a, msg->version);
		if (!retry_proposal(a, now_us))
			end_proposal(a, BSH_ERR_CONFLICT,
				     a->current.generation);
	}
}

static int64_t prepare_tick(bsh_adoption_t *a, int64_t now_us)
{
	bsh_proposal_t *p = &a->proposal;

	/* The generation of a competing proposal has been adopted. */
	if (a->current.generation > p->base) {
		end_proposal(a, BSH_ERR_CONFLICT, a->current.generation);
		return now_us;
	}
	if (now_us >= p->deadline_us) {
		end_proposal(a, BSH_ERR_STALE_CONFIG, a->current.generation);
		return now_us;
	}
	if (now_us >= p->retry_at_us) {
		send_prepares(a, now_us);
		check_prepared(a, now_us);
	}
	return MIN(p->retry_at_us, p->deadline_us);
}

static int64_t proposal_tick(bsh_adoption_t *a, int64_t now_us)
{
	bsh_proposal_t *p = &a->proposal;

	switch (p->state) {
	case BSH_PROPOSE_PREPARE:
		return prepare_tick(a, now_us);
	case BSH_PROPOSE_UPDATE:
	case BSH_PROPOSE_FENCE:
		if (now_us >= p->deadline_us) {
			p->tag = 0;
			retry_read_back(a, now_us);
		} else if (now_us >= p->retry_at_us) {
			send_update(a, now_us);
		}
		return MIN(p->retry_at_us, p->deadline_us);
	case BSH_PROPOSE_READ_BACK:
		if (now_us < p->retry_at_us)
			return p->retry_at_us;
		p->retry_at_us = INT64_MAX;
		bsh_fresh_read(a, now_us, BSH_READ_BACK, 0, 0);
		return INT64_MAX;
	default:
		return INT64_MAX;
	}
}

/* ---- accepted generations that are not in force yet ---- */

/*
 * True if every witness reports that neither it nor an instance below it runs
 * an older generation.  Instances that confirm themselves by a store read are
 * not covered by these reports; their confirmations have expired
 * direct_fresh_us after the acceptance.
 */
static bool is_settled(bsh_adoption_t *a, int64_t now_us,
		       const bsh_pending_generation_t *pending)
{
	if (pending->waits_full_period ||
	    now_us <
		    pending->accepted_us + BSH_WITH_DRIFT(a->direct_fresh_us) ||
	    now_us < a->witnesses_changed_us + BSH_WITH_DRIFT(a->fresh_us))
		return false;
	for (uint32_t i = 0; i < a->current.n_witnesses; i++) {
		bsh_witness_t *w = &a->witnesses[i];

		if (strcmp(w->name, bsh_adoption_self(a)) == 0)
			w->settled = bsh_fresh_settled(a, now_us);
		if (w->settled < pending->generation)
			return false;
	}
	return true;
}

static void query_settled(bsh_adoption_t *a, int64_t now_us,
			  uint64_t generation)
{
	if (now_us < a->next_settled_query_us)
		return;
	a->next_settled_query_us = now_us + SETTLED_QUERY_INTERVAL_US;
	for (uint32_t i = 0; i < a->current.n_witnesses; i++) {
		bsh_witness_t *w = &a->witnesses[i];

		if (w->settled < generation &&
		    strcmp(w->name, bsh_adoption_self(a)) != 0)
			bsh_fresh_query_witness(a, now_us, w, false);
	}
}

static int64_t pending_tick(bsh_adoption_t *a, int64_t now_us)
{
	for (guint i = 0; i < a->pending->len;) {
		bsh_pending_generation_t p =
			g_array_index(a->pending, bsh_pending_generation_t, i);
		int64_t end_us = p.accepted_us + BSH_WITH_DRIFT(a->fresh_us);

		if (now_us < end_us && !is_settled(a, now_us, &p)) {
			i++;
			continue;
		}
		g_array_remove_index(a->pending, i);
		a->ops->in_force(a->ctx, p.request, p.generation);
	}
	if (a->pending->len == 0)
		return INT64_MAX;
	query_settled(a, now_us,
		      g_array_index(a->pending, bsh_pending_generation_t, 0)
			      .generation);
	/* Replies are evaluated by a later tick, so run again soon. */
	return now_us + SETTLED_QUERY_INTERVAL_US / 3;
}

int64_t bsh_propose_tick(bsh_adoption_t *a, int64_t now_us)
{
	int64_t due_us = proposal_tick(a, now_us);

	maintain_witnesses(a, now_us);
	due_us = MIN(due_us, pending_tick(a, now_us));
	return MIN(due_us, a->next_maintenance_us);
}

bsh_error_t bsh_adoption_apply(bsh_adoption_t *a, int64_t now_us,
			       uint64_t request, uint64_t base_generation,
			       GBytes *document)
{
	bsh_proposal_t *p = &a->proposal;

	if (p->state != BSH_PROPOSE_IDLE)
		return BSH_ERR_IN_PROGRESS;
	if (base_generation != MAX(a->highest_known, a->current.generation))
		return BSH_ERR_CONFLICT;
	if (g_bytes_get_size(document) > BSH_ADOPTION_DOCUMENT_MAX_BYTES)
		return BSH_ERR_TOO_LARGE;
	memset(p, 0, sizeof(*p));
	p->request = request;
	p->base = base_generation;
	p->object.document = g_bytes_ref(document);
	p->object.hash = a->ops->hash(a->ctx, document);
	start_read(a, now_us);
	return BSH_OK;
}

void bsh_propose_finish(bsh_adoption_t *a)
{
	bsh_adoption_object_clear(&a->proposal.object);
}
