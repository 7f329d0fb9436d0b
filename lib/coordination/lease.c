#include "coordination/lease.h"

#include <string.h>
#include <xxhash.h>

#include "coordination/order_log.h"

/* Renewals in one lease time: several may fail before the term ends, and each
 * success shows that the holder reaches the store. */
#define RENEWALS_PER_LEASE 6
/* A holder sends announcements several times a second; one that has sent none
 * for this time is down, partitioned or slow. */
#define HOLDER_TIMEOUT_US INT64_C(1200000)
/* After this long without an announcement the object is read, once: a holder that
 * ended as its renewal was carried out has announced an earlier revision, and its
 * successors waited for its term twice.  It has not renewed the lease again within
 * two intervals of renewals after that. */
#define SILENT_READ_US INT64_C(800000)
/* Share of the lease time after which the lease of a timed-out holder is taken
 * over: short pauses end earlier, and the new holder waits for the last order
 * of the former one in any case. */
#define TAKEOVER_PERCENT 66
/* The store must have answered for this time before a holder that announces but
 * does not renew is considered cut off from the store. */
#define STORE_REACHABLE_MIN_US INT64_C(1000000)
/* Delay after a handover, so that other instances try first. */
#define HANDOVER_BACKOFF_US INT64_C(1500000)
/* Takeover delay of an instance with a whole core, and upper bound of the part
 * derived from its name.  Half of any CPU share adds at least the former, so a
 * name never puts an instance before one with twice its CPU share. */
#define FULL_CORE_DELAY_US 60000.0
#define CPU_SHARE_MIN	   0.05
#define NAME_DELAY_MAX_US  60000U
/* The same for a released lease, of which all instances are informed at the same
 * time.  Sizes that differ are apart by more than the interval of 50 ms at which
 * instances try: with less, one of 0.3 cores took the lease before all of 0.5,
 * and its link could not carry what the holder sends. */
#define RELEASED_NAME_DELAY_MAX_US 8000U
#define RELEASED_SIZE_DELAY_MAX_US 250000U
/* Time after the last renewal of an own term for which its voters were those of
 * all later terms, until their extensions are over too. */
#define OWN_VOTERS_MAX_AGE_US                                                  \
	(BSH_LEASE_FORMER_VOTERS_US - BSH_LEASE_EXTENSION_US)
/* Delay after a failed call. */
#define CALL_RETRY_US INT64_C(250000)

static uint32_t size_delay_us(double cpu_share)
{
	double share = CLAMP(cpu_share, CPU_SHARE_MIN, 1.0);

	return (uint32_t)(FULL_CORE_DELAY_US / share);
}

static uint32_t name_delay_us(const char *instance, uint32_t max_us)
{
	return XXH32(instance, strlen(instance), 0) % max_us;
}

uint32_t bsh_lease_takeover_delay_us(const char *instance, double cpu_share)
{
	return name_delay_us(instance, NAME_DELAY_MAX_US) +
	       size_delay_us(cpu_share);
}

uint32_t bsh_lease_released_delay_us(const char *instance, double cpu_share)
{
	return name_delay_us(instance, RELEASED_NAME_DELAY_MAX_US) +
	       MIN(size_delay_us(cpu_share), RELEASED_SIZE_DELAY_MAX_US);
}

void bsh_lease_init(bsh_lease_t *lease, const char *self, uint32_t lease_ms,
		    uint32_t jitter_us, int64_t now_us)
{
	memset(lease, 0, sizeof(*lease));
	g_strlcpy(lease->self, self, sizeof(lease->self));
	lease->lease_us = INT64_C(1000) * lease_ms;
	lease->jitter_us = jitter_us;
	lease->observed_us = now_us;
	lease->next_call_us = now_us + jitter_us;
}

void bsh_lease_set_released_delay(bsh_lease_t *lease, uint32_t delay_us)
{
	lease->released_delay_us = delay_us;
}

void bsh_lease_set_yields(bsh_lease_t *lease, bool yields)
{
	lease->yields = yields;
}

static int64_t renewal_validity_us(const bsh_lease_t *lease)
{
	return lease->lease_us * BSH_LEASE_VALID_PERCENT / 100;
}

static void observe_revision(bsh_lease_t *lease, const char *holder,
			     bool active, uint64_t revision, int64_t now_us)
{
	if (lease->known && revision <= lease->revision)
		return;
	lease->known = true;
	lease->revision = revision;
	lease->active = active;
	lease->was_read = false;
	lease->has_order_list = false;
	lease->restored = false;
	lease->voters_known = false;
	lease->logged = false;
	lease->observed_us = now_us;
	g_strlcpy(lease->holder, holder, sizeof(lease->holder));
	if (lease->holding && strcmp(holder, lease->self) != 0)
		lease->holding = false;
}

static void observe_read_revision(bsh_lease_t *lease, const char *holder,
				  bool active, uint64_t revision,
				  int64_t now_us)
{
	observe_revision(lease, holder, active, revision, now_us);
	if (lease->revision != revision)
		return;
	/* The holder of this revision may have handed it over since, by a
	 * message that says more than the object. */
	if (lease->holder[0] != '\0' || !lease->has_order_list)
		lease->active = active;
	lease->was_read = true;
	/* The own update may have been carried out or not: the sets that it
	 * names include those of the object before it. */
	if (lease->holding)
		return;
	lease->voters_known = true;
	lease->logged = false;
	lease->voters.n = 0;
	lease->former_voters.n = 0;
}

static int64_t term_end_us(const bsh_lease_t *lease)
{
	return MAX(lease->renewed_us + renewal_validity_us(lease),
		   MIN(lease->supported_until_us,
		       lease->renewed_us + BSH_LEASE_EXTENSION_US));
}

bool bsh_lease_is_holder(const bsh_lease_t *lease, int64_t now_us)
{
	return lease->holding && now_us < term_end_us(lease);
}

bool bsh_lease_may_order(const bsh_lease_t *lease, int64_t now_us)
{
	return bsh_lease_is_holder(lease, now_us) && !lease->releasing &&
	       now_us >= lease->first_order_us;
}

/* Records the wait for orders given until then. */
static void wait_for_orders(bsh_lease_t *lease, int64_t until_us)
{
	lease->former_wait_until_us =
		MAX(lease->former_wait_until_us,
		    until_us + lease->lease_us + BSH_LEASE_MARGIN_US);
}

/* Records the wait for the extension of a term that was renewed by then. */
static void wait_for_extension(bsh_lease_t *lease, int64_t renewed_us)
{
	lease->former_extended_wait_until_us =
		MAX(lease->former_extended_wait_until_us,
		    renewed_us + BSH_LEASE_EXTENSION_US + lease->lease_us +
			    BSH_LEASE_MARGIN_US);
}

/* Records the wait for a holder that renewed by then. */
static void wait_for_holder(bsh_lease_t *lease, int64_t renewed_us)
{
	wait_for_orders(lease, renewed_us + renewal_validity_us(lease));
	wait_for_extension(lease, renewed_us);
}

/* Records the wait for a holder whose orders may be logged, so that it ends once
 * the log is read.  A holder that had not finished its own wait does not count:
 * the orders of the one before it need not be logged. */
static void wait_for_logged_holder(bsh_lease_t *lease)
{
	bool logged = lease->voters_known && lease->logged && lease->active;

	/* A further try to replace one object adds nothing. */
	if (!lease->former_logged || !logged ||
	    lease->former_logged_revision != lease->revision) {
		lease->unlogged_wait_until_us = lease->former_wait_until_us;
		lease->unlogged_extended_wait_until_us =
			lease->former_extended_wait_until_us;
	}
	lease->former_logged = logged;
	lease->former_logged_revision = lease->revision;
	wait_for_holder(lease, lease->observed_us);
}

/* Records when the last order of the former holder will be a lease time old.
 * This happens before the update is sent: its answer may be lost, and a later
 * read shows only that this instance holds the lease. */
static void note_former_holder(bsh_lease_t *lease, int64_t now_us)
{
	bool own = strcmp(lease->holder, lease->self) == 0;
	bool released = lease->holder[0] == '\0';
	bool uncertain =
		lease->known ? lease->restored : lease->store_restored_us > 0;

	lease->former_uncertain = uncertain;
	if (!lease->known)
		lease->former_logged = false;
	if (!lease->known && !uncertain)
		return;
	if ((own || uncertain) && lease->term == 0)
		lease->previous_process_until_us =
			now_us + lease->lease_us + BSH_LEASE_MARGIN_US;
	if (!released && !own && !uncertain) {
		/* The renewal started before this revision was observed. */
		wait_for_logged_holder(lease);
		return;
	}
	/* An own update without an answer leaves the wait as recorded. */
	if (!own || uncertain)
		lease->former_logged = false;
	if (uncertain) {
		/* Any instance may have held the lease before the restore. */
		wait_for_holder(lease, lease->known ? lease->observed_us
						    : lease->store_restored_us);
		return;
	}
	/* After a term of this instance, its holder had finished its own wait
	 * or this process still has that wait recorded; after a release, the
	 * holder had finished its wait and left an order list. */
	if (own ? lease->active || lease->former_wait_until_us > 0
		: lease->has_order_list && lease->active)
		return;
	wait_for_orders(lease, now_us);
	/* If the last holder had not finished its wait, the holder before it
	 * may still give orders. */
	if (!lease->active)
		wait_for_holder(lease, lease->observed_us);
}

/* Sets the earliest time of an order.  Once a majority of the voters supports
 * the own term, no former holder has one, so its extension has ended. */
static void set_first_order(bsh_lease_t *lease)
{
	int64_t extended_wait_us = lease->former_extended_wait_until_us;

	if (lease->majority_since_us > 0)
		extended_wait_us =
			MIN(extended_wait_us, lease->majority_since_us +
						      lease->lease_us +
						      BSH_LEASE_MARGIN_US);
	lease->first_order_us =
		MAX(MAX(lease->former_wait_until_us, extended_wait_us),
		    lease->acquired_us);
}

/* Sets the voters of the next update. */
static void choose_voters(bsh_lease_t *lease, bsh_lease_call_t call,
			  int64_t now_us)
{
	if (call == BSH_LEASE_CREATE) {
		/* Whoever may have held an object that was lost in a restore
		 * needed the voters of a recent own term. */
		if (lease->store_restored_us > 0 && lease->term != 0 &&
		    now_us - lease->renewed_us < OWN_VOTERS_MAX_AGE_US)
			return;
		lease->former_voters.n = 0;
		lease->voters.n = 0;
		if (lease->store_restored_us == 0)
			lease->voters = lease->candidates;
		return;
	}
	if (!lease->holding || lease->releasing ||
	    now_us < lease->first_order_us)
		return;
	if (lease->former_voters.n > 0) {
		if (lease->voters_changed_us > 0 &&
		    now_us - lease->voters_changed_us >=
			    BSH_LEASE_FORMER_VOTERS_US) {
			lease->former_voters.n = 0;
			lease->voters_known = false;
		}
		return;
	}
	if (lease->candidates.n == 0 ||
	    bsh_voters_equal(&lease->candidates, &lease->voters))
		return;
	/* Where the holder is the only voter, its own promise keeps others from
	 * an early start.  It must not stay needed when the holder is lost. */
	lease->former_voters.n = 0;
	if (lease->voters.n > 1)
		lease->former_voters = lease->voters;
	lease->voters = lease->candidates;
	lease->voters_known = false;
	lease->supported_until_us = 0;
	lease->voters_changed_us = 0;
}

static bsh_lease_call_t begin_call(bsh_lease_t *lease, bsh_lease_call_t call,
				   int64_t now_us)
{
	if (call != BSH_LEASE_READ && !lease->holding)
		note_former_holder(lease, now_us);
	if (call != BSH_LEASE_READ)
		choose_voters(lease, call, now_us);
	lease->pending_call = call;
	lease->call_began_us = now_us;
	/* A restarted process would not have the inherited order list, so
	 * renewals do not set `active` while that list is needed.  A release
	 * includes the list. */
	lease->update_active =
		lease->holding && now_us >= lease->first_order_us &&
		now_us >= lease->former_orders_until_us &&
		(lease->releasing || now_us >= lease->inherited_list_until_us);
	if (call != BSH_LEASE_READ) {
		lease->update_logged =
			lease->holding && !lease->releasing && lease->may_log &&
			lease->voters.n >= BSH_LEASE_LOG_VOTERS_MIN;
		/* The update may be carried out without an answer. */
		lease->must_log = lease->must_log || lease->update_logged;
	}
	return call;
}

/* Whether the revision that the silent holder may have written last is to be read:
 * by the instances that try first. */
static bool may_read_silent(const bsh_lease_t *lease, int64_t now_us)
{
	return !lease->yields && lease->holder[0] != '\0' &&
	       strcmp(lease->holder, lease->self) != 0 &&
	       lease->announced_us > 0 &&
	       lease->silent_read_us < lease->announced_us &&
	       now_us - lease->announced_us >=
		       SILENT_READ_US + lease->jitter_us;
}

/* When the holder was last known to be active. */
static int64_t active_us(const bsh_lease_t *lease)
{
	int64_t wait_us = lease->lease_us * TAKEOVER_PERCENT / 100;
	int64_t renewals_us = 2 * lease->lease_us / RENEWALS_PER_LEASE;

	if (lease->revision != lease->silent_revision)
		return lease->observed_us;
	return MAX(lease->announced_us,
		   lease->observed_us - (wait_us - renewals_us));
}

static bool may_take_over(const bsh_lease_t *lease, int64_t now_us)
{
	int64_t yield_us = lease->yields ? BSH_LEASE_YIELD_US : 0;
	int64_t age_us =
		now_us - active_us(lease) - lease->jitter_us - yield_us;
	bool holder_timed_out =
		now_us - lease->announced_us >= HOLDER_TIMEOUT_US;
	bool store_reachable = lease->store_reachable_since_us > 0 &&
			       now_us - lease->store_reachable_since_us >=
				       STORE_REACHABLE_MIN_US;

	if (lease->holder[0] == '\0')
		return now_us - lease->observed_us >=
		       lease->released_delay_us + yield_us;
	if (strcmp(lease->holder, lease->self) == 0)
		return age_us + yield_us >= 0;
	if (holder_timed_out)
		return age_us >= lease->lease_us * TAKEOVER_PERCENT / 100;
	return store_reachable && age_us >= lease->lease_us;
}

/* True if the object was lost in a restore and its holder is alive: that one
 * knows the voters of the object, and creates it as soon as it learns of the
 * restore. */
static bool awaits_former_holder(const bsh_lease_t *lease, int64_t now_us)
{
	return lease->store_restored_us > 0 && lease->announced_us > 0 &&
	       now_us - lease->announced_us < HOLDER_TIMEOUT_US &&
	       now_us - lease->store_restored_us < lease->lease_us &&
	       strcmp(lease->holder, lease->self) != 0;
}

bsh_lease_call_t bsh_lease_next(bsh_lease_t *lease, int64_t now_us)
{
	if (lease->pending_call != BSH_LEASE_NOTHING ||
	    now_us < lease->next_call_us)
		return BSH_LEASE_NOTHING;
	if (lease->must_read)
		return begin_call(lease, BSH_LEASE_READ, now_us);
	if (lease->holding && now_us >= term_end_us(lease))
		lease->holding = false;
	if (lease->holding) {
		if (lease->releasing || (lease->must_log && !lease->may_log) ||
		    now_us >= lease->renewed_us +
				      lease->lease_us / RENEWALS_PER_LEASE)
			return begin_call(lease, BSH_LEASE_REPLACE, now_us);
		return BSH_LEASE_NOTHING;
	}
	if (lease->releasing)
		return BSH_LEASE_NOTHING;
	if (!lease->known && awaits_former_holder(lease, now_us))
		return BSH_LEASE_NOTHING;
	if (!lease->known)
		return begin_call(lease, BSH_LEASE_CREATE, now_us);
	if (may_read_silent(lease, now_us)) {
		lease->silent_read_us = now_us;
		return begin_call(lease, BSH_LEASE_READ, now_us);
	}
	if (!may_take_over(lease, now_us))
		return BSH_LEASE_NOTHING;
	/* The voters of the object are kept.  A release message may have had no
	 * order list, while the stored object has one. */
	if (!lease->voters_known ||
	    (lease->holder[0] == '\0' && !lease->was_read))
		return begin_call(lease, BSH_LEASE_READ, now_us);
	return begin_call(lease, BSH_LEASE_REPLACE, now_us);
}

static void acquire(bsh_lease_t *lease, uint64_t revision, int64_t now_us)
{
	if (!lease->holding) {
		lease->acquired_us = now_us;
		lease->majority_since_us = 0;
		lease->supported_until_us = 0;
		lease->voters_changed_us = 0;
		lease->inherited_list_until_us =
			now_us + lease->lease_us + BSH_LEASE_MARGIN_US;
		set_first_order(lease);
		/* Chosen before this term, maybe at the start, when only this
		 * instance was known. */
		lease->candidates.n = 0;
		lease->term = revision;
	}
	lease->must_log = lease->update_logged;
	lease->logged = false;
	lease->holding = true;
	lease->own_voters = lease->voters;
	lease->own_former_voters = lease->former_voters;
	lease->voters_known = true;
	if (lease->former_voters.n > 0 && lease->voters_changed_us == 0)
		lease->voters_changed_us = now_us;
	lease->renewed_us = lease->call_began_us;
	lease->known = true;
	lease->active = lease->update_active;
	lease->restored = false;
	lease->revision = revision;
	lease->observed_us = now_us;
	g_strlcpy(lease->holder, lease->self, sizeof(lease->holder));
}

static void update_succeeded(bsh_lease_t *lease, uint64_t revision,
			     int64_t now_us)
{
	if (lease->releasing) {
		lease->holding = false;
		lease->revision = revision;
		lease->voters_known = false;
		lease->active = lease->update_active;
		lease->restored = false;
		lease->holder[0] = '\0';
		return;
	}
	acquire(lease, revision, now_us);
}

static void read_succeeded(bsh_lease_t *lease, const char *holder, bool active,
			   uint64_t revision, int64_t now_us)
{
	observe_read_revision(lease, holder, active, revision, now_us);
	if (lease->silent_read_us == lease->call_began_us)
		lease->silent_revision = revision;
}

void bsh_lease_done(bsh_lease_t *lease, bsh_lease_result_t result,
		    const char *holder, bool active, uint64_t revision,
		    int64_t now_us)
{
	bsh_lease_call_t call = lease->pending_call;

	lease->pending_call = BSH_LEASE_NOTHING;
	switch (result) {
	case BSH_LEASE_DONE:
		lease->must_read = false;
		if (call != BSH_LEASE_READ)
			update_succeeded(lease, revision, now_us);
		else if (holder != NULL)
			read_succeeded(lease, holder, active, revision, now_us);
		/* The object that was read is older than the known revision. */
		if (call == BSH_LEASE_READ && !lease->holding &&
		    !lease->voters_known)
			break;
		return;
	case BSH_LEASE_CONFLICT:
		lease->holding = false;
		if (holder != NULL)
			observe_read_revision(lease, holder, active, revision,
					      now_us);
		else
			lease->must_read = true;
		break;
	case BSH_LEASE_ABSENT:
		lease->holding = false;
		lease->known = false;
		lease->must_read = false;
		break;
	case BSH_LEASE_UNKNOWN:
		if (call != BSH_LEASE_READ)
			lease->must_read = true;
		break;
	case BSH_LEASE_FAILED:
		break;
	}
	lease->next_call_us = now_us + CALL_RETRY_US;
}

void bsh_lease_announced(bsh_lease_t *lease, const char *holder, bool active,
			 uint64_t revision, int64_t now_us)
{
	observe_revision(lease, holder, active, revision, now_us);
	if (strcmp(lease->holder, holder) == 0)
		lease->announced_us = now_us;
}

bool bsh_lease_is_order_list_complete(const bsh_lease_t *lease, int64_t now_us)
{
	return now_us >= lease->previous_process_until_us;
}

static void set_released(bsh_lease_t *lease, bool active, bool has_order_list,
			 int64_t now_us)
{
	lease->holding = false;
	lease->holder[0] = '\0';
	lease->active = active;
	lease->was_read = has_order_list;
	lease->has_order_list = has_order_list;
	lease->restored = false;
	lease->observed_us = now_us;
}

/* True if this release of the lease is known already. */
static bool is_released(const bsh_lease_t *lease, uint64_t revision)
{
	return lease->known && lease->revision == revision &&
	       lease->holder[0] == '\0';
}

static bool is_stale(const bsh_lease_t *lease, const char *holder,
		     uint64_t revision)
{
	if (!lease->known || revision > lease->revision)
		return false;
	return revision < lease->revision ||
	       (lease->holder[0] != '\0' && strcmp(lease->holder, holder) != 0);
}

bool bsh_lease_released(bsh_lease_t *lease, const char *holder, bool active,
			bool has_order_list, uint64_t revision, int64_t now_us)
{
	int64_t observed_us = lease->observed_us;

	if (lease->holding || is_stale(lease, holder, revision))
		return false;
	/* A release is sent several times, some of them without the list. */
	if (is_released(lease, revision)) {
		if (has_order_list && !lease->has_order_list)
			set_released(lease, active, true, observed_us);
		return true;
	}
	if (lease->revision != revision)
		lease->voters_known = false;
	lease->known = true;
	lease->revision = revision;
	set_released(lease, active, has_order_list, now_us);
	return true;
}

bool bsh_lease_hand_over(bsh_lease_t *lease, int64_t now_us)
{
	/* The result of a pending update would start the term again.  An
	 * earlier update that the store carries out late only makes updates of
	 * other instances conflict, as it changes the revision. */
	if (!bsh_lease_may_order(lease, now_us) ||
	    !bsh_lease_is_order_list_complete(lease, now_us) ||
	    now_us < lease->former_orders_until_us ||
	    lease->pending_call != BSH_LEASE_NOTHING)
		return false;
	set_released(lease, true, true, now_us);
	lease->next_call_us = now_us + HANDOVER_BACKOFF_US;
	return true;
}

bsh_handover_t bsh_lease_handover_step(const bsh_lease_t *lease,
				       int64_t store_age_us,
				       int64_t peer_age_us, bool withholds,
				       uint32_t listed, uint32_t listed_max,
				       int64_t now_us)
{
	int64_t peer_age_max_us =
		withholds ? lease->lease_us + BSH_LEASE_MARGIN_US
			  : BSH_LEASE_STORE_REACHED_MAX_AGE_US;

	if (store_age_us < BSH_LEASE_HANDOVER_AFTER_US ||
	    peer_age_us > peer_age_max_us ||
	    !bsh_lease_may_order(lease, now_us) ||
	    !bsh_lease_is_order_list_complete(lease, now_us))
		return BSH_HANDOVER_NONE;
	return listed > listed_max ? BSH_HANDOVER_WITHHOLD : BSH_HANDOVER_NOW;
}

void bsh_lease_set_has_order_list(bsh_lease_t *lease, uint64_t revision)
{
	lease->has_order_list = lease->was_read &&
				lease->revision == revision &&
				lease->holder[0] == '\0';
}

void bsh_lease_set_voters(bsh_lease_t *lease, uint64_t revision,
			  const bsh_voters_t *voters,
			  const bsh_voters_t *former_voters)
{
	if (!lease->voters_known || lease->revision != revision)
		return;
	lease->voters = *voters;
	lease->former_voters = *former_voters;
	if (!lease->restored || voters->n > 1)
		return;
	/* A later state may have named others, and not this one as former.
	 * Those of a recent own term are known. */
	lease->voters.n = 0;
	if (lease->term == 0 ||
	    lease->observed_us - lease->renewed_us >= OWN_VOTERS_MAX_AGE_US)
		return;
	lease->voters = lease->own_voters;
	lease->former_voters = lease->own_former_voters;
}

void bsh_lease_set_logged(bsh_lease_t *lease, uint64_t revision, bool logged)
{
	if (lease->voters_known && lease->revision == revision &&
	    !lease->holding)
		lease->logged = logged;
}

void bsh_lease_set_may_log(bsh_lease_t *lease, bool may_log)
{
	lease->may_log = may_log;
}

bool bsh_lease_must_log(const bsh_lease_t *lease)
{
	return lease->must_log;
}

bool bsh_lease_awaits_log(const bsh_lease_t *lease, int64_t now_us)
{
	return lease->former_logged && bsh_lease_is_holder(lease, now_us) &&
	       now_us < lease->first_order_us;
}

void bsh_lease_log_read(bsh_lease_t *lease, int64_t now_us)
{
	if (!bsh_lease_awaits_log(lease, now_us))
		return;
	lease->former_logged = false;
	lease->former_wait_until_us =
		MAX(lease->unlogged_wait_until_us, now_us);
	lease->former_extended_wait_until_us =
		lease->unlogged_extended_wait_until_us;
	/* Entries that voters have just told count from now on. */
	lease->former_orders_until_us = now_us + BSH_ORDER_LOG_VALID_US;
	lease->inherited_list_until_us = lease->former_orders_until_us +
					 lease->lease_us + BSH_LEASE_MARGIN_US;
	set_first_order(lease);
}

void bsh_lease_set_candidates(bsh_lease_t *lease,
			      const bsh_voters_t *candidates)
{
	lease->candidates = *candidates;
}

void bsh_lease_set_restored(bsh_lease_t *lease, uint64_t revision)
{
	if (!lease->known || lease->revision != revision)
		return;
	lease->restored = true;
	if (lease->holding) {
		lease->voters_known = lease->was_read;
		lease->voters.n = 0;
		lease->former_voters.n = 0;
	}
	lease->holding = false;
}

void bsh_lease_store_restored(bsh_lease_t *lease, int64_t now_us)
{
	lease->store_restored_us = now_us;
}

void bsh_lease_set_store_reachable(bsh_lease_t *lease, bool reachable,
				   int64_t now_us)
{
	if (!reachable)
		lease->store_reachable_since_us = 0;
	else if (lease->store_reachable_since_us == 0)
		lease->store_reachable_since_us = now_us;
}

static void begin_majority(bsh_lease_t *lease, int64_t now_us)
{
	if (lease->majority_since_us > 0)
		return;
	lease->majority_since_us = now_us;
	set_first_order(lease);
}

void bsh_lease_supported(bsh_lease_t *lease, int64_t until_us, int64_t now_us)
{
	if (!lease->holding || now_us >= until_us)
		return;
	lease->supported_until_us = until_us;
	begin_majority(lease, now_us);
}

void bsh_lease_voters_supported(bsh_lease_t *lease, int64_t until_us,
				int64_t now_us)
{
	if (lease->holding && now_us < until_us && !lease->former_uncertain)
		begin_majority(lease, now_us);
}

void bsh_lease_release(bsh_lease_t *lease)
{
	lease->releasing = true;
}
