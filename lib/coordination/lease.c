#include "coordination/lease.h"

#include <string.h>
#include <xxhash.h>

/* Renewals in one lease time: some may fail before the term ends, and each one
 * shows that the holder reaches the store. */
#define RENEWALS_PER_LEASE 6
/* A holder tells of itself several times a second; one that has not for this
 * time is down, cut off or slow. */
#define SILENT_US INT64_C(1200000)
/* Share of the lease time after which a silent holder's lease is taken: short
 * pauses end before, and the wait for the last order goes on anyway. */
#define TAKEOVER_PERCENT 66
/* The store answers again for this time before a holder that lives is taken for
 * one that is cut off from it. */
#define REACHED_MIN_US INT64_C(1000000)
/* After a handover the others try first. */
#define HANDED_OVER_US INT64_C(1500000)
/* A released lease is taken in this part of the usual spread: its former holder
 * has told all others at once. */
#define RELEASED_SPREAD 4
/* Delay of an instance with a whole core, and the part that its name decides:
 * less than what half of a share adds. */
#define SHARE_DELAY_US 60000.0
#define SHARE_MIN      0.05
#define SPREAD_US      60000U
/* Pause after a call that failed. */
#define RETRY_US INT64_C(250000)

uint32_t bsh_lease_takeover_delay_us(const char *instance, double cpu_share)
{
	double share = CLAMP(cpu_share, SHARE_MIN, 1.0);

	return XXH32(instance, strlen(instance), 0) % SPREAD_US +
	       (uint32_t)(SHARE_DELAY_US / share);
}

void bsh_lease_init(bsh_lease_t *lease, const char *self, uint32_t lease_ms,
		    uint32_t jitter_us, int64_t now_us)
{
	memset(lease, 0, sizeof(*lease));
	g_strlcpy(lease->self, self, sizeof(lease->self));
	lease->lease_us = INT64_C(1000) * lease_ms;
	lease->jitter_us = jitter_us;
	lease->since_us = now_us;
	lease->retry_us = now_us + jitter_us;
}

static int64_t valid_us(const bsh_lease_t *lease)
{
	return lease->lease_us * BSH_LEASE_VALID_PERCENT / 100;
}

static void set_known(bsh_lease_t *lease, const char *holder, bool active,
		      uint64_t revision, int64_t now_us)
{
	if (lease->known && revision <= lease->revision)
		return;
	lease->known = true;
	lease->revision = revision;
	lease->active = active;
	lease->was_read = false;
	lease->clean = false;
	lease->since_us = now_us;
	g_strlcpy(lease->holder, holder, sizeof(lease->holder));
	if (lease->holding && strcmp(holder, lease->self) != 0)
		lease->holding = false;
}

static void set_read(bsh_lease_t *lease, const char *holder, bool active,
		     uint64_t revision, int64_t now_us)
{
	set_known(lease, holder, active, revision, now_us);
	if (lease->revision == revision) {
		lease->active = active;
		lease->was_read = true;
	}
}

static int64_t until_us(const bsh_lease_t *lease)
{
	return MAX(lease->renewed_us + valid_us(lease),
		   MIN(lease->extended_us,
		       lease->renewed_us + BSH_LEASE_EXTENSION_US));
}

bool bsh_lease_is_holder(const bsh_lease_t *lease, int64_t now_us)
{
	return lease->holding && now_us < until_us(lease);
}

bool bsh_lease_may_order(const bsh_lease_t *lease, int64_t now_us)
{
	return bsh_lease_is_holder(lease, now_us) && !lease->releasing &&
	       now_us >= lease->first_order_us;
}

/* When the last order of the former holder is a lease time old.  Noted before
 * the update is sent: its answer may be lost, and a later read shows only that
 * this instance holds the lease. */
static void note_former_holder(bsh_lease_t *lease, int64_t now_us)
{
	int64_t wait_us = lease->lease_us + BSH_LEASE_MARGIN_US;
	bool own = strcmp(lease->holder, lease->self) == 0;
	bool released = lease->holder[0] == '\0';
	int64_t ordered_until_us = now_us;
	/* Of a holder that had not waited, the one before it may still be
	 * extended. */
	int64_t extended_until_us =
		lease->active ? 0 : lease->since_us + BSH_LEASE_EXTENSION_US;

	if (!lease->known)
		return;
	if (own && lease->term == 0)
		lease->restarted_us = now_us + wait_us;
	if (!released && !own) {
		/* It was renewed at the latest when this revision became
		 * known. */
		ordered_until_us = lease->since_us + valid_us(lease);
		extended_until_us = lease->since_us + BSH_LEASE_EXTENSION_US;
	} else if (own ? lease->active || lease->others_until_us > 0
		       : lease->clean && lease->active) {
		/* Only the process before this one, which did not say that it
		 * had waited, and a release without the list have to be waited
		 * for. */
		ordered_until_us -= wait_us;
		extended_until_us = 0;
	}
	lease->others_until_us =
		MAX(lease->others_until_us, ordered_until_us + wait_us);
	if (extended_until_us > 0)
		lease->others_extended_us = MAX(lease->others_extended_us,
						extended_until_us + wait_us);
}

/* A majority for the own term means that the former holder has none. */
static void set_first_order(bsh_lease_t *lease)
{
	int64_t extended_us = lease->others_extended_us;

	if (lease->majority_us > 0)
		extended_us =
			MIN(extended_us, lease->majority_us + lease->lease_us +
						 BSH_LEASE_MARGIN_US);
	lease->first_order_us =
		MAX(MAX(lease->others_until_us, extended_us), lease->taken_us);
}

static bsh_lease_call_t begin(bsh_lease_t *lease, bsh_lease_call_t call,
			      int64_t now_us)
{
	if (call == BSH_LEASE_REPLACE && !lease->holding)
		note_former_holder(lease, now_us);
	lease->running = call;
	lease->call_began_us = now_us;
	/* The process after this one knows nothing of the list that it was
	 * left; a release passes it on. */
	lease->update_active =
		lease->holding && now_us >= lease->first_order_us &&
		(lease->releasing || now_us >= lease->inherited_until_us);
	return call;
}

static bool may_take_over(const bsh_lease_t *lease, int64_t now_us)
{
	int64_t age_us = now_us - lease->since_us - lease->jitter_us;
	bool is_silent = now_us - lease->heard_us >= SILENT_US;
	bool is_reached = lease->reached_us > 0 &&
			  now_us - lease->reached_us >= REACHED_MIN_US;

	if (lease->holder[0] == '\0')
		return now_us - lease->since_us >=
		       lease->jitter_us / RELEASED_SPREAD;
	if (strcmp(lease->holder, lease->self) == 0)
		return age_us >= 0;
	if (is_silent)
		return age_us >= lease->lease_us * TAKEOVER_PERCENT / 100;
	return is_reached && age_us >= lease->lease_us;
}

bsh_lease_call_t bsh_lease_next(bsh_lease_t *lease, int64_t now_us)
{
	if (lease->running != BSH_LEASE_NOTHING || now_us < lease->retry_us)
		return BSH_LEASE_NOTHING;
	if (lease->check)
		return begin(lease, BSH_LEASE_READ, now_us);
	if (lease->holding && now_us >= until_us(lease))
		lease->holding = false;
	if (lease->holding) {
		if (lease->releasing ||
		    now_us >= lease->renewed_us +
				      lease->lease_us / RENEWALS_PER_LEASE)
			return begin(lease, BSH_LEASE_REPLACE, now_us);
		return BSH_LEASE_NOTHING;
	}
	if (lease->releasing)
		return BSH_LEASE_NOTHING;
	if (!lease->known)
		return begin(lease, BSH_LEASE_CREATE, now_us);
	if (!may_take_over(lease, now_us))
		return BSH_LEASE_NOTHING;
	/* What a former holder left is not told by datagrams. */
	if (lease->holder[0] == '\0' && !lease->was_read)
		return begin(lease, BSH_LEASE_READ, now_us);
	return begin(lease, BSH_LEASE_REPLACE, now_us);
}

static void take(bsh_lease_t *lease, uint64_t revision, int64_t now_us)
{
	if (!lease->holding) {
		lease->taken_us = now_us;
		lease->majority_us = 0;
		lease->extended_us = 0;
		lease->inherited_until_us =
			now_us + lease->lease_us + BSH_LEASE_MARGIN_US;
		set_first_order(lease);
		lease->term = revision;
	}
	lease->holding = true;
	lease->renewed_us = lease->call_began_us;
	lease->known = true;
	lease->active = lease->update_active;
	lease->revision = revision;
	lease->since_us = now_us;
	g_strlcpy(lease->holder, lease->self, sizeof(lease->holder));
}

static void updated(bsh_lease_t *lease, uint64_t revision, int64_t now_us)
{
	if (lease->releasing) {
		lease->holding = false;
		lease->revision = revision;
		lease->active = lease->update_active;
		lease->holder[0] = '\0';
		return;
	}
	take(lease, revision, now_us);
}

void bsh_lease_done(bsh_lease_t *lease, bsh_lease_result_t result,
		    const char *holder, bool active, uint64_t revision,
		    int64_t now_us)
{
	bsh_lease_call_t call = lease->running;

	lease->running = BSH_LEASE_NOTHING;
	switch (result) {
	case BSH_LEASE_DONE:
		lease->check = false;
		if (call != BSH_LEASE_READ)
			updated(lease, revision, now_us);
		else if (holder != NULL)
			set_read(lease, holder, active, revision, now_us);
		return;
	case BSH_LEASE_CONFLICT:
		lease->holding = false;
		if (holder != NULL)
			set_read(lease, holder, active, revision, now_us);
		else
			lease->check = true;
		break;
	case BSH_LEASE_ABSENT:
		lease->holding = false;
		lease->known = false;
		lease->check = false;
		break;
	case BSH_LEASE_UNKNOWN:
		if (call != BSH_LEASE_READ)
			lease->check = true;
		break;
	case BSH_LEASE_FAILED:
		break;
	}
	lease->retry_us = now_us + RETRY_US;
}

void bsh_lease_announced(bsh_lease_t *lease, const char *holder, bool active,
			 uint64_t revision, int64_t now_us)
{
	set_known(lease, holder, active, revision, now_us);
	if (strcmp(lease->holder, holder) == 0)
		lease->heard_us = now_us;
}

bool bsh_lease_is_order_list_complete(const bsh_lease_t *lease, int64_t now_us)
{
	return now_us >= lease->restarted_us;
}

static void set_released(bsh_lease_t *lease, bool active, bool listed,
			 int64_t now_us)
{
	lease->holding = false;
	lease->holder[0] = '\0';
	lease->active = active;
	lease->was_read = listed;
	lease->clean = listed;
	lease->since_us = now_us;
}

static bool is_outdated(const bsh_lease_t *lease, const char *holder,
			uint64_t revision)
{
	if (!lease->known || revision > lease->revision)
		return false;
	return revision < lease->revision ||
	       (lease->holder[0] != '\0' && strcmp(lease->holder, holder) != 0);
}

bool bsh_lease_released(bsh_lease_t *lease, const char *holder, bool active,
			bool listed, uint64_t revision, int64_t now_us)
{
	if (lease->holding || is_outdated(lease, holder, revision))
		return false;
	lease->known = true;
	lease->revision = revision;
	set_released(lease, active, listed, now_us);
	return true;
}

bool bsh_lease_hand_over(bsh_lease_t *lease, int64_t now_us)
{
	/* The answer to a running update would begin the term anew.  One that is
	 * carried out late only keeps the others from taking this revision. */
	if (!bsh_lease_may_order(lease, now_us) ||
	    !bsh_lease_is_order_list_complete(lease, now_us) ||
	    lease->running != BSH_LEASE_NOTHING)
		return false;
	set_released(lease, true, true, now_us);
	lease->retry_us = now_us + HANDED_OVER_US;
	return true;
}

void bsh_lease_set_has_order_list(bsh_lease_t *lease, uint64_t revision)
{
	lease->clean = lease->was_read && lease->revision == revision &&
		       lease->holder[0] == '\0';
}

void bsh_lease_set_store_reachable(bsh_lease_t *lease, bool reached,
				   int64_t now_us)
{
	if (!reached)
		lease->reached_us = 0;
	else if (lease->reached_us == 0)
		lease->reached_us = now_us;
}

void bsh_lease_supported(bsh_lease_t *lease, int64_t until_us, int64_t now_us)
{
	if (!lease->holding || now_us >= until_us)
		return;
	lease->extended_us = until_us;
	if (lease->majority_us > 0)
		return;
	lease->majority_us = now_us;
	set_first_order(lease);
}

void bsh_lease_release(bsh_lease_t *lease)
{
	lease->releasing = true;
}
