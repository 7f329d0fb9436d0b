#ifndef BSH_BASE_SETTINGS_H
#define BSH_BASE_SETTINGS_H

/*
 * NAME
 *	settings - reader of the settings file shared by the daemons
 *
 * DESCRIPTION
 *	The settings are an INI file.  Every key is checked: an unknown group
 *	or key, a missing required key, a wrong type and a value out of range
 *	are errors.  All errors of a file are reported at once, each with file
 *	and line.
 *
 *	One table in settings.c has the type, range, unit, rounding and default
 *	of each key; bsh_settings_table() returns it.  A number may have a
 *	fraction or an exponent for each key: a platform may fill in bounds that
 *	are not whole.  The value of a whole setting is rounded, and has to be in
 *	the range before and after.
 *
 * UNITS
 *	The suffix of a field gives its unit: _ms milliseconds, _s seconds,
 *	_bytes bytes.
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
	char zone[BSH_NAME_SIZE];	 /* availability zone */
	uint8_t key[BSH_KEY_SIZE_BYTES]; /* authenticates internal frames */

	char store_address[BSH_ADDRESS_SIZE];

	char router_listen[BSH_ADDRESS_SIZE];
	char router_admin[BSH_ADDRESS_SIZE];
	uint32_t router_max_requests; /* bound of requests in progress */
	uint32_t router_body_max_bytes;

	char control_listen[BSH_ADDRESS_SIZE];	  /* HTTP: entry lookups, API */
	char control_link[BSH_ADDRESS_SIZE];	  /* TCP frames */
	char control_gossip[BSH_ADDRESS_SIZE];	  /* UDP datagrams */
	char control_seeds[BSH_SEEDS_SIZE_BYTES]; /* gossip addresses, comma
						   * separated, may be empty */

	char console_listen[BSH_ADDRESS_SIZE]; /* empty: no console */

	/* Interval of failure detector probes. */
	uint32_t probe_period_ms;
	/* Age up to which a confirmation of the configuration permits new
	 * requests. */
	uint32_t fresh_ms;
	/* Lease of a cell's owner (coordination/loader.h). */
	uint32_t lease_ms;
	/* Time after which no order of a failed instance can still arrive. */
	uint32_t settle_ms;
	/* Bound of the handover and of the wait for idle connections during a
	 * graceful stop. */
	uint32_t drain_ms;
	uint32_t entry_keep_s;	    /* cache time of an entry lookup */
	uint32_t journal_keep_s;    /* retention of request journal records */
	uint32_t timeline_events;   /* capacity of the event ring */
	uint32_t timeline_flush_ms; /* interval of writes to the store */

	/* Limits and requirements of the platform; see docs/platform.md. */
	char entry_ready[BSH_ADDRESS_SIZE]; /* readiness probes; empty: none */
	char entry_region[BSH_NAME_SIZE];
	uint32_t entry_resolve_keep_s; /* cache time of a resolved address */
	double entry_grace_s;	       /* time from SIGTERM to SIGKILL */
	/* Minimum time between the last order of a lease holder and the first
	 * order of its successor. */
	uint32_t entry_order_lease_ms;
	/* Share of a CPU core; an instance with a larger share, up to one core,
	 * tries to take the order lease earlier. */
	double entry_cpu_share;
	/* Delay of the first attempt to take the order lease. */
	uint32_t entry_order_start_ms;
	/* Orders are logged at the voters of the order lease first, once there
	 * are this many targets; 0: they are not. */
	uint32_t entry_order_log_targets;
	/* Bound of concurrent loads from the weight store. */
	uint32_t entry_store_loads;
	/* Bound of those loads that no request is waiting for. */
	uint32_t entry_seed_loads;
	/* Bound of the time between the first sign that a target is leaving
	 * and the last new request to it. */
	uint32_t entry_drain_ms;
	double retry_ratio;    /* retries per request, whole fleet */
	uint32_t retry_slack;  /* retries beyond the ratio, whole fleet */
	double retry_window_s; /* window of retry_ratio and retry_slack */

	/* Bound on the use of a key of a client account after the store has
	 * accepted its removal, at any instance; 0: there is none. */
	uint32_t accounts_revoke_ms;
	/* Over all instances: window of the limits of client accounts, what may
	 * pass beyond them in it as a part, and as tokens or requests. */
	double accounts_limit_window_s;
	double accounts_limit_overage;
	uint32_t accounts_limit_slack;
	/* Of the machine; 0: not bounded. */
	uint32_t instance_memory_mb;
	uint32_t instance_max_descriptors;
	/* 1: targets that have just started get requests at a pace found from
	 * their answers. */
	uint32_t routing_pace;

	char log_level[16];
	uint32_t log_lines_per_s; /* of level info and debug; 0: no bound */
} bsh_settings_t;

typedef enum {
	BSH_SETTING_STRING,
	BSH_SETTING_ADDRESS, /* "IP:port"; may be empty only if the default is */
	BSH_SETTING_UINT,    /* uint32_t */
	BSH_SETTING_REAL,    /* double */
	BSH_SETTING_KEY,     /* hexadecimal digits */
	BSH_SETTING_LEVEL    /* log level */
} bsh_setting_type_t;

typedef enum {
	BSH_ROUND_NONE,
	BSH_ROUND_DOWN,
	BSH_ROUND_UP
} bsh_rounding_t;

typedef struct {
	const char *group;
	const char *key;
	bsh_setting_type_t type;
	size_t offset; /* of the field in bsh_settings_t */
	size_t size_bytes;
	double min;	  /* smallest number, or length of a string */
	double max;	  /* largest number */
	const char *unit; /* of a number */
	bsh_rounding_t rounding;
	const char *default_value; /* NULL: required */
} bsh_setting_t;

/* bsh_settings_table - the keys of the settings file; *n is their number. */
const bsh_setting_t *bsh_settings_table(size_t *n);

/*
 * bsh_settings_load - read and check the settings file at path.  Each problem
 * is appended to problems as one line "file:line: text", or "file: text" if
 * the file cannot be read or parsed.
 *
 * RETURN VALUE
 *	BSH_OK, or BSH_ERR_INVALID with at least one line in problems.
 */
bsh_error_t bsh_settings_load(bsh_settings_t *settings, const char *path,
			      GString *problems);

/*
 * bsh_address_split - split "IP:port" into its parts.  IPv6 addresses, and no
 * others, are in brackets.  Host names are rejected: processes communicate by IP address.
 *
 * RETURN VALUE
 *	BSH_OK or BSH_ERR_INVALID.
 */
bsh_error_t bsh_address_split(const char *address, char *host, size_t host_size,
			      uint16_t *port);

#endif
