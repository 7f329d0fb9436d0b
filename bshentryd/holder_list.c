/* The list of targets that the holder of the order lease announces: what of it
 * this instance has, and when the store is read instead. */
#include "orders_private.h"

#include <string.h>

#include "base/log.h"

/* After this long without a message of the holder, what is missing of its
 * announcements is no longer expected from it. */
#define HOLDER_MESSAGE_MAX_AGE_US INT64_C(1000000)
/* If a lost announcement has not been retransmitted within this time, the
 * instance watches the target list in the store itself. */
#define GAP_TIMEOUT_US INT64_C(900000)
/* After this long the holder's list is tried again. */
#define GAP_READ_US INT64_C(2000000)
/* Time after the start in which a holder is heard, if there is one. */
#define HOLDER_WAIT_US INT64_C(1500000)

static void set_announced_ready(orders_t *orders,
				const bsh_msg_placement_t *placement)
{
	int64_t now = now_us(orders);

	if (placement->ready_count == 0)
		return;
	g_array_set_size(orders->ready, 0);
	for (uint32_t i = 0; i < placement->ready_count; i++) {
		const bsh_ready_entry_t *entry = &placement->ready[i];
		view_ready_t ready = { .model = entry->model,
				       .adapter = entry->adapter,
				       .ready_us = INT64_MAX,
				       .estimated_us = now };

		if (entry->ready_in_ms != UINT32_MAX)
			ready.ready_us = now + entry->ready_in_ms * 1000LL;
		g_array_append_val(orders->ready, ready);
	}
	control_schedule_view(orders->control);
}

static void record_announcements(orders_t *orders,
				 const bsh_msg_placement_t *placement)
{
	const targets_t *targets = orders->control->targets;

	for (uint32_t i = 0; i < placement->entry_count; i++)
		bsh_announced_note_state(&orders->announced, placement->term,
					 placement->entries[i].number);
	/* Part of a retransmission in several datagrams, of which only the last
	 * one carries the numbers. */
	if (placement->from == UINT64_MAX)
		return;
	bsh_announced_note(&orders->announced, placement->term, placement->from,
			   placement->to, targets_follow_holder(targets),
			   targets_are_current(targets));
}

/* Records the newest message of the holder: the next demand echoes its time as
 * this instance's support of the term. */
static void record_echo(orders_t *orders, const bsh_msg_placement_t *placement)
{
	if (placement->term == orders->echo_term &&
	    placement->sent_us <= orders->echo_us)
		return;
	orders->echo_term = placement->term;
	orders->echo_us = placement->sent_us;
	orders->echo_received_us = now_us(orders);
}

void orders_receive_placement(orders_t *orders, const char *sender,
			      const bsh_msg_placement_t *placement)
{
	int64_t now = now_us(orders);

	if (orders->lease.known && placement->revision < orders->lease.revision)
		return;
	bsh_lease_announced(&orders->lease, sender, placement->active,
			    placement->revision, now);
	record_echo(orders, placement);
	if (strcmp(orders->holder, sender) != 0) {
		bsh_log(BSH_LOG_INFO,
			"order-holder name=%s term=%" G_GUINT64_FORMAT, sender,
			placement->term);
		g_strlcpy(orders->holder, sender, sizeof(orders->holder));
	}
	orders->holder_seen_us = now;
	orders->holder_contact_us = now - placement->contact_age_ms * 1000LL;
	store_reading_note_holder_list(orders->control->store_reading,
				       placement->contact_age_ms * 1000LL);
	for (uint32_t i = 0; i < placement->entry_count; i++) {
		targets_apply_announcement(
			orders->control->targets, &placement->entries[i],
			placement->term, placement->contact_age_ms * 1000LL);
		announcer_note_announced(orders->control->announcer,
					 placement->entries[i].target);
	}
	record_announcements(orders, placement);
	if (targets_follow_holder(orders->control->targets) &&
	    bsh_announced_is_complete(&orders->announced))
		targets_note_announced(orders->control->targets,
				       placement->contact_age_ms * 1000LL);
	set_announced_ready(orders, placement);
}

void orders_note_inventory(orders_t *orders, uint64_t term, uint64_t number)
{
	if (targets_follow_holder(orders->control->targets))
		bsh_announced_note_list(&orders->announced, term, number);
}

void orders_receive_term_base(orders_t *orders, const char *sender,
			      const bsh_msg_term_base_t *message)
{
	bsh_announced_base_t base = { message->former_term, message->number };

	if (strcmp(orders->holder, sender) == 0 &&
	    targets_follow_holder(orders->control->targets) &&
	    bsh_announced_note_base(&orders->announced, message->term, &base))
		store_reading_note_base(orders->control->store_reading);
}

bsh_announced_base_t orders_announced_base(const orders_t *orders)
{
	return bsh_announced_base(&orders->announced);
}

/* True while announcements of the holder have been missing for too long: one
 * that a retransmission brings in time has no effect. */
static bool has_gap(orders_t *orders)
{
	int64_t now = now_us(orders);

	if (orders_is_holder(orders) || orders->announced.term == 0 ||
	    now - orders->holder_seen_us > HOLDER_MESSAGE_MAX_AGE_US ||
	    bsh_announced_is_complete(&orders->announced)) {
		orders->gap_since_us = 0;
		return false;
	}
	if (orders->gap_since_us == 0)
		orders->gap_since_us = now;
	if (now - orders->gap_since_us > GAP_TIMEOUT_US + GAP_READ_US) {
		/* While the store is the source, a whole list of the holder is
		 * not applied, and the gap would last for its term. */
		orders->gap_since_us = now;
		orders_request_list(orders);
	}
	return now - orders->gap_since_us > GAP_TIMEOUT_US;
}

/* A list that is followed in the store until the first message of a holder needs
 * none of its announcements before that. */
static bool awaits_holder(const orders_t *orders)
{
	return orders->announced.term == 0 && !orders_is_holder(orders) &&
	       now_us(orders) - orders->started_us < HOLDER_WAIT_US;
}

void holder_list_choose_source(orders_t *orders)
{
	control_t *control = orders->control;
	bool gap;

	if (!targets_follow_holder(control->targets) &&
	    targets_are_current(control->targets))
		bsh_announced_note_read(&orders->announced);
	gap = has_gap(orders);

	targets_set_source(
		control->targets,
		gap || awaits_holder(orders) ||
			!targets_listed(control->targets) ||
			store_reading_active(control->store_reading));
}

void orders_request_list(orders_t *orders)
{
	bsh_announced_forget(&orders->announced);
}
