#ifndef BSH_STATE_CELL_H
#define BSH_STATE_CELL_H

/*
 * NAME
 *	cell - placement record of one shard of a pool: slots, memory ledger,
 *	owner lease and fencing tokens
 *
 * DESCRIPTION
 *	A cell is one object of the store.  A slot is one replica of a model,
 *	bound to a target.  The cell holds the slots of the shard and the
 *	memory reserved on each of its targets, so that one conditional
 *	update checks and changes both the replica and the memory limit.
 *
 *	A slot exists from its binding until its unload is confirmed.  Its
 *	memory is reserved for the whole of that time, whatever its state.
 *	A target holds a model at most once.
 *
 *	The sender of a slot is the process that may send load and unload
 *	orders for it.  Its holders are all processes whose orders may still
 *	be unsent or undelivered; a holder stays until it is released or has
 *	ended.  Each order carries the slot's fence, a fencing token.
 *
 *	Slots are added and removed, and their fence, sender and holders
 *	changed, only by the functions of this module.  A caller may also set
 *	the target's incarnation and a state that needs no new fence directly
 *	in the slot.  bsh_cell_bind() refuses a slot that would break an
 *	invariant; bsh_cell_decode() checks all invariants and rejects a
 *	stored value as a whole.
 *
 *	Not thread-safe.
 *
 * UNITS
 *	Memory in MiB.
 *
 * ERRORS
 *	BSH_ERR_INVALID: malformed value or broken invariant.
 *	BSH_ERR_TOO_LARGE: the encoded value exceeds
 *	BSH_CELL_VALUE_MAX_BYTES.
 *	BSH_ERR_CAPACITY: not enough memory on the target, or a full list of
 *	targets, senders or holders.
 *	BSH_ERR_CONFLICT: the slot is bound already, the target already
 *	holds the model, or the target still has slots.
 *	BSH_ERR_NOT_FOUND: no such target or slot.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

#define BSH_CELL_NAME_SIZE 64 /* bytes, with the terminating NUL */
/* A cell's name is that of its pool, a point and a number of up to 10 digits. */
#define BSH_CELL_POOL_NAME_MAX	 (BSH_CELL_NAME_SIZE - 12)
#define BSH_CELL_VALUE_MAX_BYTES 1000000   /* the store's limit is 1 MB */
#define BSH_CELL_HOLDERS_MAX	 16	   /* per slot */
#define BSH_CELL_TARGETS_MAX	 1024	   /* per cell; about 64 are usual */
#define BSH_CELL_MEMORY_MAX_MIB	 (1 << 30) /* per target or slot */

/* Process that may send orders: an instance and its incarnation. */
typedef struct {
	char instance[BSH_CELL_NAME_SIZE];
	uint64_t incarnation;
} bsh_sender_t;

/* 128 random bits that identify one binding or one update of the store. */
typedef struct {
	uint64_t high;
	uint64_t low;
} bsh_attempt_id_t;

typedef enum {
	BSH_SLOT_BOUND = 0,  /* memory reserved; the sender may load it */
	BSH_SLOT_LOADING,    /* load order sent */
	BSH_SLOT_READY,	     /* the target reported the model as ready */
	BSH_SLOT_UNLOADING,  /* unload decided, not yet confirmed */
	BSH_SLOT_QUARANTINED /* unloaded, but an old order may still arrive */
} bsh_slot_state_t;

typedef struct {
	char model[BSH_CELL_NAME_SIZE];
	uint32_t index; /* number of the replica, 0 to max replicas - 1 */
	char target[BSH_CELL_NAME_SIZE];
	uint64_t target_incarnation;
	bsh_slot_state_t state;
	bsh_attempt_id_t attempt; /* of the binding; kept until removal */
	uint64_t fence;		  /* fencing token of the orders; only rises */
	uint32_t memory_mib;	  /* reserved on the target */
	/* Sender and holders, as positions in the cell's table of senders. */
	uint16_t sender;
	uint16_t holder_count;
	uint16_t holders[BSH_CELL_HOLDERS_MAX];
} bsh_slot_t;

/* Entry of the memory ledger. */
typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	uint64_t incarnation;
	uint32_t memory_mib;   /* accelerator memory of the target */
	uint32_t reserved_mib; /* sum over its slots */
} bsh_cell_target_t;

typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	uint32_t cells;	     /* number of cells of the pool, at least 1 */
	uint64_t generation; /* highest document generation applied */
	bsh_sender_t owner;  /* lease holder; instance "" if none */
	uint64_t epoch;	     /* rises with each change of the owner */
	uint64_t renewal;    /* rises with each update by the owner */
	uint64_t fence;	     /* highest fence issued for a slot */
	bsh_attempt_id_t update_attempt; /* of the latest update */
	GArray *senders; /* bsh_sender_t; the unused ones are not encoded */
	GArray *slots;	 /* bsh_slot_t, by model and index */
	GArray *targets; /* bsh_cell_target_t, by name */
} bsh_cell_t;

/* bsh_cell_init - an empty cell.  name is copied; cells is at least 1. */
void bsh_cell_init(bsh_cell_t *cell, const char *name, uint32_t cells);
void bsh_cell_finish(bsh_cell_t *cell);

/* bsh_cell_copy - replace the content of to, an initialized cell. */
void bsh_cell_copy(bsh_cell_t *to, const bsh_cell_t *from);

/*
 * bsh_cell_encode - encode the cell as compact JSON, the value in the store.
 *
 * RETURN VALUE
 *	BSH_OK with *text to be released with g_free(); otherwise *text is
 *	NULL.
 */
bsh_error_t bsh_cell_encode(const bsh_cell_t *cell, char **text);

/*
 * bsh_cell_decode - replace the content of cell by a stored value.  On error
 * the cell is unchanged and *reason, unless reason is NULL, describes the
 * first violation; release it with g_free().
 */
bsh_error_t bsh_cell_decode(bsh_cell_t *cell, const char *text, size_t length,
			    char **reason);

/*
 * bsh_cell_check - verify all invariants: names present and within limits,
 * slots unique, one slot per model and target, targets known, ledger equal
 * to the sum of the slots and within the target's memory, fences within the
 * cell's fence.  *reason as for bsh_cell_decode().
 */
bsh_error_t bsh_cell_check(const bsh_cell_t *cell, char **reason);

/*
 * bsh_cell_set_target - add a target or change its incarnation and memory.
 * A memory size below the reserved memory is raised to it.
 */
bsh_error_t bsh_cell_set_target(bsh_cell_t *cell, const char *name,
				uint64_t incarnation, uint32_t memory_mib);

/* bsh_cell_remove_target - BSH_ERR_CONFLICT while it has slots. */
bsh_error_t bsh_cell_remove_target(bsh_cell_t *cell, const char *name);

/*
 * bsh_cell_target, bsh_cell_slot, bsh_cell_slot_on - look up a target, a slot
 * by its index, or a slot by its target.  NULL when absent; the pointer is
 * valid until the next change of the cell.
 */
bsh_cell_target_t *bsh_cell_target(const bsh_cell_t *cell, const char *name);
bsh_slot_t *bsh_cell_slot(const bsh_cell_t *cell, const char *model,
			  uint32_t index);
bsh_slot_t *bsh_cell_slot_on(const bsh_cell_t *cell, const char *model,
			     const char *target);

/* bsh_cell_has_model - whether any slot of the model exists. */
bool bsh_cell_has_model(const bsh_cell_t *cell, const char *model);

/*
 * bsh_cell_slots - the slots of a model, sorted by index; NULL when *count
 * is 0.
 */
const bsh_slot_t *bsh_cell_slots(const bsh_cell_t *cell, const char *model,
				 guint *count);

/* bsh_cell_free_mib - memory of the target that is not reserved. */
uint32_t bsh_cell_free_mib(const bsh_cell_t *cell, const char *target);

/*
 * bsh_cell_bind - add a slot in state BSH_SLOT_BOUND with a new fence; the
 * sender is also its first holder.
 */
bsh_error_t bsh_cell_bind(bsh_cell_t *cell, const char *model, uint32_t index,
			  const char *target, uint32_t memory_mib,
			  const bsh_sender_t *sender,
			  const bsh_attempt_id_t *attempt);

/*
 * bsh_cell_set_state - set the slot's state and, if new_fence, give it a new
 * fence.  The states LOADING and READY need none: a repeated load order is
 * the same order.
 */
bsh_error_t bsh_cell_set_state(bsh_cell_t *cell, bsh_slot_t *slot,
			       bsh_slot_state_t state, bool new_fence);

/* bsh_cell_sender - the sender at a position of the table. */
const bsh_sender_t *bsh_cell_sender(const bsh_cell_t *cell, uint16_t position);

/*
 * bsh_cell_set_sender - make sender the sender of the slot and one of its
 * holders.  BSH_ERR_CAPACITY when the holder list is full.
 */
bsh_error_t bsh_cell_set_sender(bsh_cell_t *cell, bsh_slot_t *slot,
				const bsh_sender_t *sender);

/* bsh_cell_remove_holder - remove a holder; true if it was one. */
bool bsh_cell_remove_holder(const bsh_cell_t *cell, bsh_slot_t *slot,
			    const bsh_sender_t *holder);
bool bsh_cell_is_sender(const bsh_cell_t *cell, const bsh_slot_t *slot,
			const bsh_sender_t *sender);
bool bsh_cell_is_holder(const bsh_cell_t *cell, const bsh_slot_t *slot,
			const bsh_sender_t *holder);

/* bsh_cell_remove - remove the slot and its memory reservation. */
bsh_error_t bsh_cell_remove(bsh_cell_t *cell, const char *model,
			    uint32_t index);

/* bsh_sender_equal, bsh_attempt_equal - comparison by value. */
bool bsh_sender_equal(const bsh_sender_t *a, const bsh_sender_t *b);
bool bsh_attempt_equal(const bsh_attempt_id_t *a, const bsh_attempt_id_t *b);

/* bsh_attempt_text - 32 hexadecimal digits. */
#define BSH_ATTEMPT_TEXT_SIZE 33
void bsh_attempt_text(const bsh_attempt_id_t *attempt,
		      char text[BSH_ATTEMPT_TEXT_SIZE]);
bool bsh_attempt_parse(const char *text, bsh_attempt_id_t *attempt);

const char *bsh_slot_state_name(bsh_slot_state_t state);

/*
 * bsh_cell_of_slot - number (0 to cells - 1) of the only cell that may bind
 * the slot (model, index), by rendezvous hashing.
 */
uint32_t bsh_cell_of_slot(const char *model, uint32_t index, uint32_t cells);

/* bsh_cell_of_target - number of the target's cell, by rendezvous hashing. */
uint32_t bsh_cell_of_target(const char *target, uint32_t cells);

/* bsh_cell_name - "<pool>" for a pool of one cell, else "<pool>.<n>". */
void bsh_cell_name(const char *pool, uint32_t number, uint32_t cells,
		   char name[BSH_CELL_NAME_SIZE]);

/*
 * bsh_cell_affinity - rendezvous weight of an instance for a cell.  The live
 * instance with the highest weight is the preferred owner.
 */
uint64_t bsh_cell_affinity(const char *cell, const char *instance);

#endif
