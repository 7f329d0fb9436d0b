#ifndef BSH_COORDINATION_ACCOUNT_ACCESS_H
#define BSH_COORDINATION_ACCOUNT_ACCESS_H

/*
 * NAME
 *	account_access - whether a request may be sent, by its client account
 *
 * DESCRIPTION
 *	Decided by the configuration in force at each send, as keys are added and
 *	removed while requests wait.
 *
 *	A key that was removed must not be used later than a bound, also at an
 *	instance that does not hear of it.  A request that arrived within the
 *	bound after a moment at which the configuration here was the newest was
 *	sent within the bound of any removal that is not known here.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Names ending in _us are microseconds; moments are on CLOCK_BOOTTIME, which
 *	counts the time for which the machine was suspended.
 */

#include <stdbool.h>
#include <stdint.h>

/* A key that is not known may be in a newer configuration if this one was last
 * confirmed longer ago. */
#define BSH_ACCESS_CONFIRMED_MAX_US INT64_C(2000000)
/* Part of the bound that is used, in percent: clocks differ in rate. */
#define BSH_ACCESS_BOUND_PERCENT 90

typedef enum {
	BSH_ACCESS_GRANTED,
	BSH_ACCESS_KEY_UNKNOWN, /* final for the caller */
	BSH_ACCESS_UNCONFIRMED	/* a newer configuration may differ */
} bsh_access_t;

typedef struct {
	bool needs_key;
	bool key_known;
	/* An instance passed the request on without a key, by a configuration
	 * that may have no accounts. */
	bool key_omitted;
	int64_t confirmed_age_us; /* of the configuration, as heard of */
	int64_t arrived_us;	  /* the request */
	int64_t proven_us; /* the configuration was the newest; 0: never known */
	int64_t bound_us;  /* on the use of removed keys; 0: there is none */
} bsh_access_input_t;

bsh_access_t bsh_access_decide(const bsh_access_input_t *input);

#endif
