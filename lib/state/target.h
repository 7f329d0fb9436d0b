#ifndef BSH_STATE_TARGET_H
#define BSH_STATE_TARGET_H

/*
 * NAME
 *	target - what is known about one target
 *
 * DESCRIPTION
 *	A target is one incarnation of an engine or a plain service.  Its
 *	entry in the platform's list shows what it held about a second ago;
 *	the instance that gives it orders knows better.  A restart under the
 *	same id is told by started_ms.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"

#define BSH_TARGET_HOLDINGS_MAX 40
#define BSH_TARGET_COPIES_MAX	256

typedef struct {
	uint32_t model;
	uint32_t adapter; /* 0: the base model itself */
} bsh_holding_t;

typedef struct {
	uint32_t n;
	bsh_holding_t items[BSH_TARGET_HOLDINGS_MAX];
} bsh_holdings_t;

/* Models of which the target keeps a copy outside its accelerators. */
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
	char zone[BSH_NAME_SIZE];
	uint32_t slots;
	bool leaving;
	uint64_t started_ms; /* wall clock; 0: not told */
	bsh_holdings_t holdings;
	bsh_copies_t copies;
} bsh_target_t;

/* What a target says when it is asked directly. */
typedef struct {
	bool busy;	 /* an order is under way */
	uint64_t orders; /* number of orders that it has accepted */
	uint64_t started_ms;
	uint32_t queued;
	uint32_t in_flight;
	bsh_holdings_t holdings; /* adapters on their way included */
	bool has_copies;
	bsh_copies_t copies;
} bsh_target_report_t;

bool bsh_holdings_has(const bsh_holdings_t *holdings, uint32_t model,
		      uint32_t adapter);
/* bsh_holdings_add - false when there is no room; adding twice is safe. */
bool bsh_holdings_add(bsh_holdings_t *holdings, uint32_t model,
		      uint32_t adapter);
/* bsh_holdings_remove - adapter 0 removes the model and all its adapters. */
void bsh_holdings_remove(bsh_holdings_t *holdings, uint32_t model,
			 uint32_t adapter);
bool bsh_holdings_equal(const bsh_holdings_t *a, const bsh_holdings_t *b);

bool bsh_copies_in_memory(const bsh_copies_t *copies, uint32_t model);
bool bsh_copies_on_disk(const bsh_copies_t *copies, uint32_t model);

#endif
