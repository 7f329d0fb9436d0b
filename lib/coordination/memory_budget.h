#ifndef BSH_COORDINATION_MEMORY_BUDGET_H
#define BSH_COORDINATION_MEMORY_BUDGET_H

/*
 * NAME
 *	memory_budget - what a process may hold for callers
 *
 * DESCRIPTION
 *	One account of the bytes that are held for callers, by kind, with a bound
 *	that follows the memory of the machine.  Uploads reserve before they are
 *	received, so that what does not fit is refused while nothing has run.
 *	What is held for requests that run is added in any case: it is bounded by
 *	the number of connections, and its producers slow down while the budget
 *	is short.
 *
 *	Large uploads use only a part of the bound, so that the small requests of
 *	ordinary callers still fit beside a crowd of them.
 *
 *	The limit of connections follows the descriptors, of which a part is kept
 *	for targets, other instances and the store, and the memory, as the head of
 *	a request may take as much as a connection may hold.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Memory in bytes, unless a name ends in _mb; times in microseconds.
 */

#include <stdbool.h>
#include <stdint.h>

/* What the process needs without callers, at the largest configuration. */
#define BSH_MEMORY_BASE_BYTES (UINT64_C(18) << 20)
/* Part of the rest that callers may use: the allocator and the sockets need more
 * than what is counted. */
#define BSH_MEMORY_PART 0.7
/* A larger upload is a large one. */
#define BSH_MEMORY_LARGE_BYTES (UINT64_C(64) << 10)
/* Part of the bound that large uploads may use. */
#define BSH_MEMORY_LARGE_PART 0.75
/* Part of the bound from which on the budget is short. */
#define BSH_MEMORY_SHORT_PART 0.8
/* Descriptors for files. */
#define BSH_MEMORY_FILES 200U
/* Part of the other descriptors for connections of callers. */
#define BSH_MEMORY_CALLERS_PART 0.5
/* Part of the memory for the heads of requests, and what one may take, with those
 * of connections that are accepted beyond the limit. */
#define BSH_MEMORY_HEADS_PART  0.4
#define BSH_MEMORY_HEAD_BYTES  73728U
#define BSH_MEMORY_CALLERS_MIN 16U
/* Memory is handed back to the system after so much was freed. */
#define BSH_MEMORY_TRIM_BYTES (UINT64_C(4) << 20)

typedef enum {
	BSH_MEMORY_UPLOADS,   /* bodies being received */
	BSH_MEMORY_REQUESTS,  /* bodies of requests that wait or run */
	BSH_MEMORY_RESPONSES, /* not yet passed to the kernel */
	BSH_MEMORY_KINDS
} bsh_memory_kind_t;

typedef struct {
	uint64_t bound; /* 0: there is none */
	uint64_t held[BSH_MEMORY_KINDS];
	uint64_t large; /* of the uploads */
	uint64_t freed; /* since the last trim */
} bsh_memory_budget_t;

/* bsh_memory_budget_init - memory_mb: of the machine; 0: no bound. */
void bsh_memory_budget_init(bsh_memory_budget_t *budget, uint32_t memory_mb);

uint64_t bsh_memory_budget_held(const bsh_memory_budget_t *budget);

/* bsh_memory_budget_grow - an upload grows from one size to another; false if
 * there is no room, and nothing changes. */
bool bsh_memory_budget_grow(bsh_memory_budget_t *budget, uint64_t from,
			    uint64_t to);
/* bsh_memory_budget_end - an upload of this size is whole, or was dropped. */
void bsh_memory_budget_end(bsh_memory_budget_t *budget, uint64_t size);

void bsh_memory_budget_add(bsh_memory_budget_t *budget, bsh_memory_kind_t kind,
			   uint64_t bytes);
void bsh_memory_budget_release(bsh_memory_budget_t *budget,
			       bsh_memory_kind_t kind, uint64_t bytes);

/* bsh_memory_budget_is_short - producers are to hold less. */
bool bsh_memory_budget_is_short(const bsh_memory_budget_t *budget);
/* bsh_memory_budget_wants_trim - whether to hand freed memory back to the system
 * now; notes it as done. */
bool bsh_memory_budget_wants_trim(bsh_memory_budget_t *budget);

/* bsh_memory_connections - connections of callers, most is the limit without
 * these bounds; 0 MB or descriptors: not bounded by them. */
uint32_t bsh_memory_connections(uint32_t memory_mb, uint32_t descriptors,
				uint32_t most);

#endif
