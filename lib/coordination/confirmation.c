#include "coordination/confirmation.h"

#include <glib.h>
#include <string.h>

void bsh_confirmation_init(bsh_confirmation_t *confirmation)
{
	memset(confirmation, 0, sizeof(*confirmation));
}

void bsh_confirmation_note(bsh_confirmation_t *confirmation, uint64_t version,
			   int64_t at_us)
{
	if (version <= confirmation->known) {
		confirmation->confirmed_us =
			MAX(confirmation->confirmed_us, at_us);
	} else if (version > confirmation->told) {
		confirmation->told = version;
		confirmation->told_us = at_us;
	} else if (version == confirmation->told) {
		confirmation->told_us = MAX(confirmation->told_us, at_us);
	}
}

void bsh_confirmation_adopted(bsh_confirmation_t *confirmation,
			      uint64_t version)
{
	confirmation->known = MAX(confirmation->known, version);
	if (confirmation->told == 0 || confirmation->told > confirmation->known)
		return;
	confirmation->confirmed_us =
		MAX(confirmation->confirmed_us, confirmation->told_us);
	confirmation->told = 0;
}

void bsh_confirmation_follow(bsh_confirmation_t *confirmation,
			     uint64_t in_force, uint64_t version, int64_t at_us)
{
	bsh_confirmation_adopted(confirmation, in_force);
	bsh_confirmation_note(confirmation, version, at_us);
}
