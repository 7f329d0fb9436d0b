#ifndef BSH_COORDINATION_CONFIG_PROOF_H
#define BSH_COORDINATION_CONFIG_PROOF_H

/*
 * NAME
 *	config_proof - last moment at which the configuration in force was
 *	certainly the newest
 *
 * DESCRIPTION
 *	The age that another instance names in a message counts from when the
 *	message was sent.  How long it was on its way, or in a socket while this
 *	process was suspended, is not known.  So this instance asks, with the
 *	time of its own clock in the query: the answer was written later, and
 *	what it vouches for is not older than that time less the named age.
 *	Answers of instances that were answered themselves count as well.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Names ending in _us are microseconds of CLOCK_BOOTTIME.
 */

#include <stdbool.h>
#include <stdint.h>

#include "coordination/confirmation.h"

/* Bounds of the interval of queries.  It grows with the number of instances, as
 * one of them answers most. */
#define BSH_CONFIG_PROOF_INTERVAL_MIN_US INT64_C(300000)
#define BSH_CONFIG_PROOF_INTERVAL_MAX_US INT64_C(1000000)
#define BSH_CONFIG_PROOF_PER_INSTANCE_US INT64_C(4000)
/* With an older proof any instance is asked, too. */
#define BSH_CONFIG_PROOF_OLD_US INT64_C(1200000)

typedef struct {
	bsh_confirmation_t confirmation;
	int64_t asked_us;
} bsh_config_proof_t;

void bsh_config_proof_init(bsh_config_proof_t *proof);

/* bsh_config_proof_read - a call to the store that began at began_us showed no
 * version above this one. */
void bsh_config_proof_read(bsh_config_proof_t *proof, uint64_t version,
			   int64_t began_us);
/* bsh_config_proof_adopted - the version is in force. */
void bsh_config_proof_adopted(bsh_config_proof_t *proof, uint64_t version);
/* bsh_config_proof_answered - an answer to a query of asked_us vouches for the
 * version as of age_us before it. */
void bsh_config_proof_answered(bsh_config_proof_t *proof, uint64_t version,
			       int64_t asked_us, int64_t age_us,
			       int64_t now_us);

/* bsh_config_proof_due - whether to send a query now; notes it as sent. */
bool bsh_config_proof_due(bsh_config_proof_t *proof, uint32_t instances,
			  int64_t now_us);
/* bsh_config_proof_us - the moment; 0: none is known. */
int64_t bsh_config_proof_us(const bsh_config_proof_t *proof);

#endif
