#include "coordination/config_proof.h"

#include <glib.h>
#include <string.h>

void bsh_config_proof_init(bsh_config_proof_t *proof)
{
	memset(proof, 0, sizeof(*proof));
	bsh_confirmation_init(&proof->confirmation);
}

void bsh_config_proof_read(bsh_config_proof_t *proof, uint64_t version,
			   int64_t began_us)
{
	bsh_confirmation_note(&proof->confirmation, version, began_us);
}

void bsh_config_proof_adopted(bsh_config_proof_t *proof, uint64_t version)
{
	bsh_confirmation_adopted(&proof->confirmation, version);
}

void bsh_config_proof_answered(bsh_config_proof_t *proof, uint64_t version,
			       int64_t asked_us, int64_t age_us, int64_t now_us)
{
	/* An earlier process of this machine may have asked before a restart,
	 * on a clock that began anew. */
	if (asked_us > now_us || age_us < 0 || age_us >= asked_us)
		return;
	/* A version below the one in force was not the newest. */
	if (version < proof->confirmation.known)
		return;
	bsh_confirmation_note(&proof->confirmation, version, asked_us - age_us);
}

bool bsh_config_proof_due(bsh_config_proof_t *proof, uint32_t instances,
			  int64_t now_us)
{
	int64_t interval_us =
		CLAMP(instances * BSH_CONFIG_PROOF_PER_INSTANCE_US,
		      BSH_CONFIG_PROOF_INTERVAL_MIN_US,
		      BSH_CONFIG_PROOF_INTERVAL_MAX_US);

	if (now_us - proof->asked_us < interval_us ||
	    now_us - proof->confirmation.confirmed_us < interval_us)
		return false;
	proof->asked_us = now_us;
	return true;
}

int64_t bsh_config_proof_us(const bsh_config_proof_t *proof)
{
	return proof->confirmation.confirmed_us;
}
