#include "coordination/entry_choice.h"

#include <string.h>

void bsh_entry_choice_add(bsh_entry_choice_t *choice,
			  const bsh_member_t *member, bool cut)
{
	if (member->leaving || !member->has_place ||
	    member->state != BSH_MEMBER_ALIVE)
		return;
	if (cut && choice->n_cut < BSH_ENTRY_ADDRESSES_MAX)
		choice->cut[choice->n_cut++] = member->place.entry;
	else if (!cut && choice->n < BSH_ENTRY_ADDRESSES_MAX)
		choice->addresses[choice->n++] = member->place.entry;
}

void bsh_entry_choice_finish(bsh_entry_choice_t *choice)
{
	if (choice->n > 0)
		return;
	memcpy(choice->addresses, choice->cut, sizeof(choice->addresses));
	choice->n = choice->n_cut;
}
