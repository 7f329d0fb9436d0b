#include "coordination/lease.h"

#include <string.h>

/* Renewals in one lease time: some may fail before the term ends, and each one
 * shows that the holder reaches the store. */
#define RENEWALS_PER_LEASE 6
/* Pause after a call that failed. */
#define RETRY_US INT64_C(250000)

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
	lease->since_us = now_us;
	g_strlcpy(lease->holder, holder, sizeof(lease->holder));
	if (lease->holding && strcmp(holder, lease->self) != 0)
		lease->holding = false;
}

bool bsh_lease_is_holder(const bsh_lease_t *lease, int64_t now_us)
{
	return lease->holding && now_us < lease->renewed_us + valid_us(lease);
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
	int64_t until_us = now_us;
	bool own = strcmp(lease->holder, lease->self) == 0;

	if (!lease->known)
		return;
	if (lease->holder[0] != '\0' && !own)
		/* It was renewed at the latest when this revision became
		 * known. */
		until_us = lease->since_us + valid_us(lease) + lease->lease_us +
			   BSH_LEASE_MARGIN_US;
	else if (!own || (!lease->active && lease->others_until_us == 0))
		/* Released a moment ago, or taken by the process before this
		 * one, which did not say that it had waited. */
		until_us += lease->lease_us + BSH_LEASE_MARGIN_US;
	lease->others_until_us = MAX(lease->others_until_us, until_us);
}

static bsh_lease_call_t begin(bsh_lease_t *lease, bsh_lease_call_t call,
			      int64_t now_us)
{
	if (call == BSH_LEASE_REPLACE && !lease->holding)
		note_former_holder(lease, now_us);
	lease->running = call;
	lease->call_began_us = now_us;
	return call;
}

static bool may_take_over(const bsh_lease_t *lease, int64_t now_us)
{
	int64_t age_us = now_us - lease->since_us;

	if (lease->holder[0] == '\0' || strcmp(lease->holder, lease->self) == 0)
		return age_us >= lease->jitter_us;
	return age_us >= lease->lease_us + lease->jitter_us;
}

bsh_lease_call_t bsh_lease_next(bsh_lease_t *lease, int64_t now_us)
{
	if (lease->running != BSH_LEASE_NOTHING || now_us < lease->retry_us)
		return BSH_LEASE_NOTHING;
	if (lease->check)
		return begin(lease, BSH_LEASE_READ, now_us);
	if (lease->holding && now_us >= lease->renewed_us + valid_us(lease))
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
	if (may_take_over(lease, now_us))
		return begin(lease, BSH_LEASE_REPLACE, now_us);
	return BSH_LEASE_NOTHING;
}

static void take(bsh_lease_t *lease, uint64_t revision, int64_t now_us)
{
	if (!lease->holding) {
		lease->first_order_us = MAX(lease->others_until_us, now_us);
		lease->term = revision;
	}
	lease->holding = true;
	lease->renewed_us = lease->call_began_us;
	lease->known = true;
	lease->revision = revision;
	lease->since_us = now_us;
	g_strlcpy(lease->holder, lease->self, sizeof(lease->holder));
}

static void updated(bsh_lease_t *lease, uint64_t revision, int64_t now_us)
{
	if (lease->releasing) {
		lease->holding = false;
		lease->revision = revision;
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
			set_known(lease, holder, active, revision, now_us);
		return;
	case BSH_LEASE_CONFLICT:
		lease->holding = false;
		if (holder != NULL)
			set_known(lease, holder, active, revision, now_us);
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

void bsh_lease_heard(bsh_lease_t *lease, const char *holder, uint64_t revision,
		     int64_t now_us)
{
	set_known(lease, holder, true, revision, now_us);
}

void bsh_lease_release(bsh_lease_t *lease)
{
	lease->releasing = true;
}
