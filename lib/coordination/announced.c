#include "coordination/announced.h"

#include <glib.h>

static void begin_term(bsh_announced_t *announced, uint64_t term, uint64_t from,
		       bool current)
{
	announced->former_term = announced->term;
	announced->former_through = announced->through;
	announced->term = term;
	/* A list that was read from the store just now includes the earlier
	 * announcements. */
	announced->through = current ? from : 0;
	announced->first = current ? 0 : from;
	announced->last = 0;
	announced->highest = 0;
	announced->early_through = 0;
}

void bsh_announced_note(bsh_announced_t *announced, uint64_t term,
			uint64_t from, uint64_t to, bool follows, bool current)
{
	if (announced->term != term)
		begin_term(announced, term, from, current);
	announced->last = MAX(to, announced->through);
	/* While the own watch is the source, announced states are not applied:
	 * they count as received only if that list includes them. */
	if (!follows && !current)
		return;
	announced->highest = MAX(announced->highest, to);
	if (from <= announced->through)
		announced->through = MAX(announced->through, to);
	else if (announced->through == 0 &&
		 from <= MAX(announced->early_through, BSH_ANNOUNCED_BEGIN))
		announced->early_through = MAX(announced->early_through, to);
}

void bsh_announced_note_state(bsh_announced_t *announced, uint64_t term,
			      uint64_t number)
{
	if (announced->term == term)
		announced->highest = MAX(announced->highest, number);
}

void bsh_announced_note_list(bsh_announced_t *announced, uint64_t term,
			     uint64_t number)
{
	if (announced->term == term)
		announced->through = MAX(announced->through, number);
}

void bsh_announced_note_read(bsh_announced_t *announced)
{
	announced->through = MAX(announced->through, announced->first);
	announced->first = 0;
}

bool bsh_announced_note_base(bsh_announced_t *announced, uint64_t term,
			     const bsh_announced_base_t *base)
{
	if (announced->term != term || announced->through > 0 ||
	    base->term == 0 || announced->former_term != base->term ||
	    announced->former_through < base->number)
		return false;
	announced->through = MAX(announced->early_through, BSH_ANNOUNCED_BEGIN);
	return true;
}

void bsh_announced_forget(bsh_announced_t *announced)
{
	if (announced->through == 0)
		return;
	announced->through = 0;
	announced->early_through = 0;
	announced->former_term = 0;
}

bool bsh_announced_is_complete(const bsh_announced_t *announced)
{
	return announced->through >= announced->last;
}

bsh_announced_base_t bsh_announced_base(const bsh_announced_t *announced)
{
	bsh_announced_base_t base = { 0 };

	if (announced->through == 0)
		return base;
	base.term = announced->term;
	base.number = MAX(announced->highest, announced->through);
	return base;
}
