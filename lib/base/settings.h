#ifndef BSH_BASE_SETTINGS_H
#define BSH_BASE_SETTINGS_H

/*
 * NAME
 *	settings - the INI file that all programs of an instance share
 *
 * DESCRIPTION
 *	Every key is checked: an unknown group or key, a missing required
 *	key, a wrong type and a value out of range are errors.  All errors of
 *	a file are reported at once, each with file and line.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

#define BSH_NAME_SIZE	     64
#define BSH_ADDRESS_SIZE     64
#define BSH_KEY_SIZE_BYTES   32
#define BSH_SEEDS_SIZE_BYTES 1024

typedef struct {
	char instance[BSH_NAME_SIZE];
	char zone[BSH_NAME_SIZE];
	uint8_t key[BSH_KEY_SIZE_BYTES]; /* authenticates internal frames */

	char store_address[BSH_ADDRESS_SIZE];

	char router_listen[BSH_ADDRESS_SIZE];
	char router_admin[BSH_ADDRESS_SIZE];
	uint32_t router_max_requests; /* requests in progress at most */
	uint32_t router_body_max_bytes;

	char control_listen[BSH_ADDRESS_SIZE];	  /* entry answers, operators */
	char control_link[BSH_ADDRESS_SIZE];	  /* TCP frames */
	char control_gossip[BSH_ADDRESS_SIZE];	  /* UDP datagrams */
	char control_seeds[BSH_SEEDS_SIZE_BYTES]; /* gossip addresses, comma
						   * separated, may be empty */

	char console_listen[BSH_ADDRESS_SIZE]; /* empty: no console */

	uint32_t probe_period_ms;
	uint32_t fresh_ms;
	uint32_t lease_ms;
	uint32_t settle_ms;
	uint32_t drain_ms;
	uint32_t entry_keep_s;
	uint32_t journal_keep_s;
	uint32_t timeline_events;
	uint32_t timeline_flush_ms;

	/* What the platform grants and asks; see docs/platform.md. */
	char entry_ready[BSH_ADDRESS_SIZE]; /* readiness probes; empty: none */
	char entry_region[BSH_NAME_SIZE];
	uint32_t entry_resolve_keep_s; /* how long callers keep an address */
	double entry_grace_s;	       /* from SIGTERM to the kill */
	uint32_t entry_order_lease_ms; /* one holder's orders end this long
					 * before those of the next begin */
	double entry_cpu_share; /* of a core; more makes a better lease holder */
	uint32_t entry_order_start_ms; /* first try to take the lease */
	uint32_t entry_store_loads;    /* at once, from the weight store */
	uint32_t entry_seed_loads;     /* of them ahead of requests */
	uint32_t entry_drain_ms; /* no new work for a target this long after it
				  * was seen to leave */
	double retry_ratio;	 /* repeats for each request, whole fleet */
	uint32_t retry_slack;	 /* repeats besides, in any window */
	double retry_window_s;

	char log_level[16];
	uint32_t log_lines_per_s; /* of level info and debug; 0: no bound */
} bsh_settings_t;

/*
 * bsh_settings_load - read and check path.
 *
 * Each problem is appended to problems as one line "file:line: text".
 *
 * RETURN VALUE
 *	BSH_OK, or BSH_ERR_INVALID with at least one line in problems.
 */
bsh_error_t bsh_settings_load(bsh_settings_t *settings, const char *path,
			      GString *problems);

/*
 * bsh_address_split - split "IP:port" into its parts.  IPv6 addresses stand in
 * brackets.  Host names are not accepted: processes talk by IP address.
 */
bsh_error_t bsh_address_split(const char *address, char *host, size_t host_size,
			      uint16_t *port);

#endif
