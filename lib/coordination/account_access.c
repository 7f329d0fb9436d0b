#include "coordination/account_access.h"

bsh_access_t bsh_access_decide(const bsh_access_input_t *input)
{
	int64_t bound_us = input->bound_us / 100 * BSH_ACCESS_BOUND_PERCENT;

	if (!input->needs_key)
		return BSH_ACCESS_GRANTED;
	if (!input->key_known)
		return input->key_omitted || input->confirmed_age_us >
						     BSH_ACCESS_CONFIRMED_MAX_US
			       ? BSH_ACCESS_UNCONFIRMED
			       : BSH_ACCESS_KEY_UNKNOWN;
	if (input->bound_us > 0 &&
	    (input->proven_us == 0 ||
	     input->arrived_us - input->proven_us > bound_us))
		return BSH_ACCESS_UNCONFIRMED;
	return BSH_ACCESS_GRANTED;
}
