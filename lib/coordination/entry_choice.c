#include "coordination/entry_choice.h"

void bsh_entry_choice_add(bsh_entry_choice_t *choice,
			  const bsh_member_t *member)
{
	if (member->leaving || !member->has_place ||
	    member->state != BSH_MEMBER_ALIVE ||
	    choice->n == BSH_ENTRY_ADDRESSES_MAX)
		return;
	choice->addresses[choice->n++] = member->place.entry;
}
