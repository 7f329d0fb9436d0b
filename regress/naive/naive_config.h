#ifndef BSH_NAIVE_CONFIG_H
#define BSH_NAIVE_CONFIG_H

/*
 * NAME
 *	naive_config - straightforward distribution of the configuration
 *
 * DESCRIPTION
 *	The baseline of prove_configuration, as one writes it first.
 *	Each instance polls the store and adopts what it returns.  An update
 *	is conditional on the version of a read just before it; the new
 *	document is then sent to all known peers, which adopt it.  Heartbeats
 *	go from all to all and have a fixed timeout; a change is reported in
 *	force once every peer with a heartbeat within the timeout has
 *	reported its generation.
 */

#include "support/fleet.h"

extern const fleet_app_t fleet_naive_config;

#endif
