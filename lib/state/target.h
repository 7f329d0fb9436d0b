#ifndef BSH_STATE_TARGET_H
#define BSH_STATE_TARGET_H

/*
 * NAME
 *	target - description of a target: address, models held, weight copies
 *
 * DESCRIPTION
 *	A target is one incarnation of an engine or of a plain service.  A
 *	change of started_ms reveals a restart under the same id.
 *
 *	The platform's list of targets is about a second old; the instance
 *	that sends a target its orders has newer holdings.
 *
 *	Models and adapters are given by their hash (bsh_catalog_hash()).
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"

#define BSH_TARGET_HOLDINGS_MAX 40
#define BSH_TARGET_COPIES_MAX	256
#define BSH_SOFTWARE_SIZE	32

/* Model or adapter loaded on a target. */
typedef struct {
	uint32_t model;
	uint32_t adapter; /* 0: the base model itself */
} bsh_holding_t;

typedef struct {
	uint32_t n;
	bsh_holding_t items[BSH_TARGET_HOLDINGS_MAX];
} bsh_holdings_t;

/* Models whose weights a target keeps in host memory or on its disk. */
typedef struct {
	uint32_t n_memory;
	uint32_t n_disk;
	uint32_t memory[BSH_TARGET_COPIES_MAX];
	uint32_t disk[BSH_TARGET_COPIES_MAX];
} bsh_copies_t;

typedef struct {
	char id[BSH_NAME_SIZE];
	char service[BSH_NAME_SIZE];
	char address[BSH_ADDRESS_SIZE];
	char zone[BSH_NAME_SIZE]; /* availability zone */
	uint32_t slots;		  /* concurrent requests, at least 1 */
	bool leaving;		  /* draining */
	uint64_t started_ms;	  /* wall clock; 0: not reported */
	/* Version of its software; "": not reported.  What two versions write
	 * in one stream does not fit together. */
	char software[BSH_SOFTWARE_SIZE];
	bsh_holdings_t holdings;
	bsh_copies_t copies;
} bsh_target_t;

/* Answer of a target to a status request. */
typedef struct {
	bool busy;		 /* an order is being executed */
	uint64_t orders;	 /* number of orders accepted since the start */
	uint64_t started_ms;	 /* wall clock; 0: not reported */
	uint32_t queued;	 /* requests waiting at the target */
	uint32_t in_flight;	 /* requests running on the target */
	bsh_holdings_t holdings; /* includes adapters that are being loaded */
	bool has_copies;	 /* copies was reported */
	bsh_copies_t copies;
} bsh_target_report_t;

/* bsh_software_key - hash of a software version of a service that stands for it
 * in messages and comparisons; 0 if the version is "". */
uint64_t bsh_software_key(const char *service, const char *software);

/* bsh_target_key - low 32 bits of the hash of a target's id, which stand for it
 * in messages that name many targets. */
uint32_t bsh_target_key(const char *id);

/* bsh_process_key - hash that stands for one process of a target; never 0. */
uint64_t bsh_process_key(const char *id, uint64_t started_ms);

bool bsh_holdings_has(const bsh_holdings_t *holdings, uint32_t model,
		      uint32_t adapter);
/* bsh_holdings_add - false if full; true if added or already present. */
bool bsh_holdings_add(bsh_holdings_t *holdings, uint32_t model,
		      uint32_t adapter);
/*
 * bsh_holdings_remove - remove an adapter or, if adapter is 0, the model and
 * all its adapters.
 */
void bsh_holdings_remove(bsh_holdings_t *holdings, uint32_t model,
			 uint32_t adapter);
/* bsh_holdings_equal - comparison as sets, without regard to order. */
bool bsh_holdings_equal(const bsh_holdings_t *a, const bsh_holdings_t *b);
/* bsh_target_equal - equal but for their ids and their copies of models. */
bool bsh_target_equal(const bsh_target_t *a, const bsh_target_t *b);

bool bsh_copies_in_memory(const bsh_copies_t *copies, uint32_t model);
bool bsh_copies_on_disk(const bsh_copies_t *copies, uint32_t model);

#endif
