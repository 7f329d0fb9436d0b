#include "state/cell.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/json_text.h"

#define CELL_FORMAT_VERSION 1
#define POOL_CELLS_MAX	    4096
#define SENDERS_MAX	    UINT16_MAX
/* Lengths of the encoded arrays. */
#define SLOT_FIELDS   10
#define TARGET_FIELDS 4
#define OWNER_FIELDS  3
#define SENDER_FIELDS 2

#define SLOT_INDEX_MAX 100000
#define OWNER_NONE     (-1) /* encoded position of the owner, if none */
/* Seeds of the rendezvous hashes, one for each kind of key. */
#define HASH_SEED_SLOT	 UINT64_C(0x736c6f74)
#define HASH_SEED_TARGET UINT64_C(0x74617267)
#define HASH_SEED_OWNER	 UINT64_C(0x6f776e72)

void bsh_cell_init(bsh_cell_t *cell, const char *name, uint32_t cells)
{
	memset(cell, 0, sizeof(*cell));
	g_strlcpy(cell->name, name, sizeof(cell->name));
	cell->cells = MAX(cells, 1);
	cell->senders = g_array_new(FALSE, TRUE, sizeof(bsh_sender_t));
	cell->slots = g_array_new(FALSE, TRUE, sizeof(bsh_slot_t));
	cell->targets = g_array_new(FALSE, TRUE, sizeof(bsh_cell_target_t));
}

void bsh_cell_finish(bsh_cell_t *cell)
{
	g_array_free(cell->senders, TRUE);
	g_array_free(cell->slots, TRUE);
	g_array_free(cell->targets, TRUE);
	memset(cell, 0, sizeof(*cell));
}

static void copy_array(GArray *to, const GArray *from)
{
	g_array_set_size(to, 0);
	if (from->len > 0)
		g_array_append_vals(to, from->data, from->len);
}

void bsh_cell_copy(bsh_cell_t *to, const bsh_cell_t *from)
{
	GArray *senders = to->senders;
	GArray *slots = to->slots;
	GArray *targets = to->targets;

	copy_array(senders, from->senders);
	copy_array(slots, from->slots);
	copy_array(targets, from->targets);
	*to = *from;
	to->senders = senders;
	to->slots = slots;
	to->targets = targets;
}

static bsh_slot_t *slot_at(const bsh_cell_t *cell, guint i)
{
	return &g_array_index(cell->slots, bsh_slot_t, i);
}

static bsh_cell_target_t *target_at(const bsh_cell_t *cell, guint i)
{
	return &g_array_index(cell->targets, bsh_cell_target_t, i);
}

/* Position of the first slot at or after (model, index). */
static guint slot_position(const bsh_cell_t *cell, const char *model,
			   uint32_t index)
{
	guint low = 0;
	guint high = cell->slots->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		const bsh_slot_t *slot = slot_at(cell, middle);
		int order = strcmp(slot->model, model);

		if (order < 0 || (order == 0 && slot->index < index))
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Position of the first target at or after name. */
static guint target_position(const bsh_cell_t *cell, const char *name)
{
	guint low = 0;
	guint high = cell->targets->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (strcmp(target_at(cell, middle)->name, name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

bsh_cell_target_t *bsh_cell_target(const bsh_cell_t *cell, const char *name)
{
	guint i = target_position(cell, name);

	if (i < cell->targets->len &&
	    strcmp(target_at(cell, i)->name, name) == 0)
		return target_at(cell, i);
	return NULL;
}

bsh_slot_t *bsh_cell_slot(const bsh_cell_t *cell, const char *model,
			  uint32_t index)
{
	guint i = slot_position(cell, model, index);
	bsh_slot_t *slot;

	if (i >= cell->slots->len)
		return NULL;
	slot = slot_at(cell, i);
	if (slot->index != index || strcmp(slot->model, model) != 0)
		return NULL;
	return slot;
}

bsh_slot_t *bsh_cell_slot_on(const bsh_cell_t *cell, const char *model,
			     const char *target)
{
	for (guint i = slot_position(cell, model, 0); i < cell->slots->len;
	     i++) {
		bsh_slot_t *slot = slot_at(cell, i);

		if (strcmp(slot->model, model) != 0)
			break;
		if (strcmp(slot->target, target) == 0)
			return slot;
	}
	return NULL;
}

bool bsh_cell_has_model(const bsh_cell_t *cell, const char *model)
{
	guint i = slot_position(cell, model, 0);

	return i < cell->slots->len &&
	       strcmp(slot_at(cell, i)->model, model) == 0;
}

const bsh_slot_t *bsh_cell_slots(const bsh_cell_t *cell, const char *model,
				 guint *count)
{
	guint first = slot_position(cell, model, 0);

	*count = 0;
	while (first + *count < cell->slots->len &&
	       strcmp(slot_at(cell, first + *count)->model, model) == 0)
		(*count)++;
	return *count > 0 ? slot_at(cell, first) : NULL;
}

uint32_t bsh_cell_free_mib(const bsh_cell_t *cell, const char *target)
{
	const bsh_cell_target_t *t = bsh_cell_target(cell, target);

	return t == NULL ? 0 : t->memory_mib - t->reserved_mib;
}

static bool is_valid_name(const char *name)
{
	return name[0] != '\0' && strlen(name) < BSH_CELL_NAME_SIZE;
}

bsh_error_t bsh_cell_set_target(bsh_cell_t *cell, const char *name,
				uint64_t incarnation, uint32_t memory_mib)
{
	bsh_cell_target_t *found = bsh_cell_target(cell, name);

	if (!is_valid_name(name) || memory_mib > BSH_CELL_MEMORY_MAX_MIB ||
	    incarnation > INT64_MAX)
		return BSH_ERR_INVALID;
	if (found == NULL) {
		bsh_cell_target_t target = { .incarnation = incarnation,
					     .memory_mib = memory_mib };

		if (cell->targets->len >= BSH_CELL_TARGETS_MAX)
			return BSH_ERR_CAPACITY;
		g_strlcpy(target.name, name, sizeof(target.name));
		g_array_insert_val(cell->targets, target_position(cell, name),
				   target);
		return BSH_OK;
	}
	found->incarnation = incarnation;
	found->memory_mib = MAX(memory_mib, found->reserved_mib);
	return BSH_OK;
}

bsh_error_t bsh_cell_remove_target(bsh_cell_t *cell, const char *name)
{
	if (bsh_cell_target(cell, name) == NULL)
		return BSH_ERR_NOT_FOUND;
	for (guint i = 0; i < cell->slots->len; i++) {
		if (strcmp(slot_at(cell, i)->target, name) == 0)
			return BSH_ERR_CONFLICT;
	}
	g_array_remove_index(cell->targets, target_position(cell, name));
	return BSH_OK;
}

bool bsh_sender_equal(const bsh_sender_t *a, const bsh_sender_t *b)
{
	return a->incarnation == b->incarnation &&
	       strcmp(a->instance, b->instance) == 0;
}

bool bsh_attempt_equal(const bsh_attempt_id_t *a, const bsh_attempt_id_t *b)
{
	return a->high == b->high && a->low == b->low;
}

const bsh_sender_t *bsh_cell_sender(const bsh_cell_t *cell, uint16_t position)
{
	return &g_array_index(cell->senders, bsh_sender_t, position);
}

/*
 * Position of the sender in the table, to which it is added if missing.
 * SENDERS_MAX if the table is full.
 */
static uint16_t sender_position(bsh_cell_t *cell, const bsh_sender_t *sender)
{
	for (guint i = 0; i < cell->senders->len; i++) {
		if (bsh_sender_equal(bsh_cell_sender(cell, (uint16_t)i),
				     sender))
			return (uint16_t)i;
	}
	if (cell->senders->len >= SENDERS_MAX)
		return SENDERS_MAX;
	g_array_append_val(cell->senders, *sender);
	return (uint16_t)(cell->senders->len - 1);
}

bool bsh_cell_is_sender(const bsh_cell_t *cell, const bsh_slot_t *slot,
			const bsh_sender_t *sender)
{
	return bsh_sender_equal(bsh_cell_sender(cell, slot->sender), sender);
}

bool bsh_cell_is_holder(const bsh_cell_t *cell, const bsh_slot_t *slot,
			const bsh_sender_t *holder)
{
	for (uint16_t i = 0; i < slot->holder_count; i++) {
		if (bsh_sender_equal(bsh_cell_sender(cell, slot->holders[i]),
				     holder))
			return true;
	}
	return false;
}

bsh_error_t bsh_cell_set_sender(bsh_cell_t *cell, bsh_slot_t *slot,
				const bsh_sender_t *sender)
{
	uint16_t position;

	if (!is_valid_name(sender->instance) || sender->incarnation > INT64_MAX)
		return BSH_ERR_INVALID;
	position = sender_position(cell, sender);
	if (position == SENDERS_MAX)
		return BSH_ERR_CAPACITY;
	if (!bsh_cell_is_holder(cell, slot, sender)) {
		if (slot->holder_count >= BSH_CELL_HOLDERS_MAX)
			return BSH_ERR_CAPACITY;
		slot->holders[slot->holder_count++] = position;
	}
	slot->sender = position;
	return BSH_OK;
}

bool bsh_cell_remove_holder(const bsh_cell_t *cell, bsh_slot_t *slot,
			    const bsh_sender_t *holder)
{
	for (uint16_t i = 0; i < slot->holder_count; i++) {
		if (!bsh_sender_equal(bsh_cell_sender(cell, slot->holders[i]),
				      holder))
			continue;
		slot->holders[i] = slot->holders[--slot->holder_count];
		return true;
	}
	return false;
}

bsh_error_t bsh_cell_bind(bsh_cell_t *cell, const char *model, uint32_t index,
			  const char *target, uint32_t memory_mib,
			  const bsh_sender_t *sender,
			  const bsh_attempt_id_t *attempt)
{
	bsh_cell_target_t *entry = bsh_cell_target(cell, target);
	bsh_slot_t slot = { .index = index,
			    .state = BSH_SLOT_BOUND,
			    .attempt = *attempt,
			    .memory_mib = memory_mib };
	bsh_error_t err;

	if (!is_valid_name(model) || index > SLOT_INDEX_MAX)
		return BSH_ERR_INVALID;
	if (entry == NULL)
		return BSH_ERR_NOT_FOUND;
	if (bsh_cell_slot(cell, model, index) != NULL ||
	    bsh_cell_slot_on(cell, model, target) != NULL)
		return BSH_ERR_CONFLICT;
	if (memory_mib > entry->memory_mib - entry->reserved_mib)
		return BSH_ERR_CAPACITY;
	err = bsh_cell_set_sender(cell, &slot, sender);
	if (err != BSH_OK)
		return err;
	g_strlcpy(slot.model, model, sizeof(slot.model));
	g_strlcpy(slot.target, target, sizeof(slot.target));
	slot.target_incarnation = entry->incarnation;
	slot.fence = ++cell->fence;
	entry->reserved_mib += memory_mib;
	g_array_insert_val(cell->slots, slot_position(cell, model, index),
			   slot);
	return BSH_OK;
}

bsh_error_t bsh_cell_set_state(bsh_cell_t *cell, bsh_slot_t *slot,
			       bsh_slot_state_t state, bool new_fence)
{
	if (state > BSH_SLOT_QUARANTINED)
		return BSH_ERR_INVALID;
	slot->state = state;
	if (new_fence)
		slot->fence = ++cell->fence;
	return BSH_OK;
}

bsh_error_t bsh_cell_remove(bsh_cell_t *cell, const char *model, uint32_t index)
{
	bsh_slot_t *slot = bsh_cell_slot(cell, model, index);
	bsh_cell_target_t *entry;

	if (slot == NULL)
		return BSH_ERR_NOT_FOUND;
	entry = bsh_cell_target(cell, slot->target);
	if (entry != NULL)
		entry->reserved_mib -= slot->memory_mib;
	g_array_remove_index(cell->slots, slot_position(cell, model, index));
	return BSH_OK;
}

static bsh_error_t reject(char **reason, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static bsh_error_t reject(char **reason, const char *format, ...)
{
	va_list ap;

	if (reason != NULL) {
		va_start(ap, format);
		*reason = g_strdup_vprintf(format, ap);
		va_end(ap);
	}
	return BSH_ERR_INVALID;
}

/* Checks a slot, the sort order, and that no target holds a model twice. */
static bsh_error_t check_slot(const bsh_cell_t *cell, guint i, char **reason)
{
	const bsh_slot_t *slot = slot_at(cell, i);

	if (!is_valid_name(slot->model) || slot->index > SLOT_INDEX_MAX ||
	    slot->memory_mib > BSH_CELL_MEMORY_MAX_MIB)
		return reject(
			reason,
			"slot %u: model name, index or memory out of range", i);
	if (slot->state > BSH_SLOT_QUARANTINED)
		return reject(reason, "slot %u: unknown state", i);
	if (slot->fence == 0 || slot->fence > cell->fence)
		return reject(reason,
			      "slot %u: fence 0 or above the fence of the cell",
			      i);
	if (slot->sender >= cell->senders->len ||
	    slot->holder_count > BSH_CELL_HOLDERS_MAX)
		return reject(reason,
			      "slot %u: unknown sender or too many holders", i);
	for (uint16_t h = 0; h < slot->holder_count; h++) {
		if (slot->holders[h] >= cell->senders->len)
			return reject(reason, "slot %u: unknown holder", i);
	}
	if (i > 0) {
		const bsh_slot_t *before = slot_at(cell, i - 1);
		int order = strcmp(before->model, slot->model);

		if (order > 0 || (order == 0 && before->index >= slot->index))
			return reject(reason,
				      "slot %u: not sorted by model and index",
				      i);
	}
	if (bsh_cell_slot_on(cell, slot->model, slot->target) != slot)
		return reject(reason, "slot %u: target holds the model twice",
			      i);
	return BSH_OK;
}

static bsh_error_t check_target(const bsh_cell_t *cell, guint i, uint64_t sum,
				char **reason)
{
	const bsh_cell_target_t *target = target_at(cell, i);

	if (!is_valid_name(target->name) ||
	    target->memory_mib > BSH_CELL_MEMORY_MAX_MIB)
		return reject(reason, "target %u: name or memory out of range",
			      i);
	if (i > 0 && strcmp(target_at(cell, i - 1)->name, target->name) >= 0)
		return reject(reason, "target %u: not sorted by name", i);
	if (sum != target->reserved_mib)
		return reject(reason,
			      "target %s: reserved memory differs from the sum "
			      "of its slots",
			      target->name);
	if (sum > target->memory_mib)
		return reject(reason, "target %s: memory overcommitted",
			      target->name);
	return BSH_OK;
}

/* Checks the reserved memory of each target against its slots. */
static bsh_error_t check_ledger(const bsh_cell_t *cell, char **reason)
{
	uint64_t *sums = g_new0(uint64_t, cell->targets->len + 1);
	bsh_error_t err = BSH_OK;

	for (guint i = 0; i < cell->slots->len && err == BSH_OK; i++) {
		const bsh_slot_t *slot = slot_at(cell, i);
		const bsh_cell_target_t *entry =
			bsh_cell_target(cell, slot->target);

		if (entry == NULL)
			err = reject(reason, "slot %u: unknown target", i);
		else
			sums[entry - target_at(cell, 0)] += slot->memory_mib;
	}
	for (guint i = 0; i < cell->targets->len && err == BSH_OK; i++)
		err = check_target(cell, i, sums[i], reason);
	g_free(sums);
	return err;
}

bsh_error_t bsh_cell_check(const bsh_cell_t *cell, char **reason)
{
	bsh_error_t err = BSH_OK;

	if (!is_valid_name(cell->name) || cell->cells == 0 ||
	    cell->cells > POOL_CELLS_MAX ||
	    cell->targets->len > BSH_CELL_TARGETS_MAX)
		return reject(reason, "cell: name, number of cells or of "
				      "targets out of range");
	for (guint i = 0; i < cell->senders->len; i++) {
		if (!is_valid_name(
			    bsh_cell_sender(cell, (uint16_t)i)->instance))
			return reject(reason,
				      "sender %u: invalid instance name", i);
	}
	for (guint i = 0; i < cell->slots->len && err == BSH_OK; i++)
		err = check_slot(cell, i, reason);
	if (err == BSH_OK)
		err = check_ledger(cell, reason);
	return err;
}

/*
 * Encodes the senders that the slots use, and the owner.  positions receives
 * the encoded position of each sender in the cell's table, -1 if not used;
 * *owner that of the owner.
 */
static json_t *pack_senders(const bsh_cell_t *cell, int *positions, int *owner)
{
	json_t *senders = json_array();
	int next = 0;

	for (guint i = 0; i < cell->senders->len; i++)
		positions[i] = -1;
	for (guint i = 0; i < cell->slots->len; i++) {
		const bsh_slot_t *slot = slot_at(cell, i);

		positions[slot->sender] = 0;
		for (uint16_t h = 0; h < slot->holder_count; h++)
			positions[slot->holders[h]] = 0;
	}
	*owner = OWNER_NONE;
	for (guint i = 0; i < cell->senders->len; i++) {
		const bsh_sender_t *sender = bsh_cell_sender(cell, (uint16_t)i);

		if (positions[i] < 0)
			continue;
		positions[i] = next++;
		if (bsh_sender_equal(sender, &cell->owner))
			*owner = positions[i];
		json_array_append_new(
			senders,
			bsh_json_pack("[s, I]", sender->instance,
				      (json_int_t)sender->incarnation));
	}
	if (*owner == OWNER_NONE && cell->owner.instance[0] != '\0') {
		*owner = next;
		json_array_append_new(
			senders,
			bsh_json_pack("[s, I]", cell->owner.instance,
				      (json_int_t)cell->owner.incarnation));
	}
	return senders;
}

/*
 * Encodes a slot as [model, index, target, target incarnation, state, attempt,
 * fence, sender, memory_mib, [holder, ...]].  Models, targets and senders are
 * positions in the encoded lists.
 */
static json_t *pack_slot(const bsh_cell_t *cell, const bsh_slot_t *slot,
			 int model, const int *positions)
{
	const bsh_cell_target_t *entry = bsh_cell_target(cell, slot->target);
	char attempt[BSH_ATTEMPT_TEXT_SIZE];
	json_t *holders = json_array();

	bsh_attempt_text(&slot->attempt, attempt);
	for (uint16_t h = 0; h < slot->holder_count; h++)
		json_array_append_new(
			holders, json_integer(positions[slot->holders[h]]));
	return bsh_json_pack(
		"[i, i, i, I, i, s, I, i, i, o]", model, (int)slot->index,
		(int)(entry - target_at(cell, 0)),
		(json_int_t)slot->target_incarnation, (int)slot->state, attempt,
		(json_int_t)slot->fence, positions[slot->sender],
		(int)slot->memory_mib, holders);
}

/* Encodes the slots; appends the name of each model that has one to models. */
static json_t *pack_slots(const bsh_cell_t *cell, const int *positions,
			  json_t *models)
{
	json_t *slots = json_array();

	for (guint i = 0; i < cell->slots->len; i++) {
		const bsh_slot_t *slot = slot_at(cell, i);

		if (i == 0 ||
		    strcmp(slot_at(cell, i - 1)->model, slot->model) != 0)
			json_array_append_new(models,
					      bsh_json_string(slot->model));
		json_array_append_new(
			slots,
			pack_slot(cell, slot, (int)json_array_size(models) - 1,
				  positions));
	}
	return slots;
}

bsh_error_t bsh_cell_encode(const bsh_cell_t *cell, char **text)
{
	int *positions = g_new(int, cell->senders->len + 1);
	char update_attempt[BSH_ATTEMPT_TEXT_SIZE];
	json_t *models = json_array();
	json_t *targets = json_array();
	json_t *senders;
	json_t *slots;
	json_t *root;
	char *dump;
	int owner;

	*text = NULL;
	senders = pack_senders(cell, positions, &owner);
	slots = pack_slots(cell, positions, models);
	g_free(positions);
	for (guint i = 0; i < cell->targets->len; i++) {
		const bsh_cell_target_t *t = target_at(cell, i);

		json_array_append_new(targets,
				      bsh_json_pack("[s, I, i, i]", t->name,
						    (json_int_t)t->incarnation,
						    (int)t->memory_mib,
						    (int)t->reserved_mib));
	}
	bsh_attempt_text(&cell->update_attempt, update_attempt);
	root = bsh_json_pack(
		"{s:i, s:s, s:i, s:I, s:[i, I, I], s:I, s:s, s:o, s:o, s:o, "
		"s:o}",
		"v", CELL_FORMAT_VERSION, "n", cell->name, "c",
		(int)cell->cells, "g", (json_int_t)cell->generation, "o", owner,
		(json_int_t)cell->epoch, (json_int_t)cell->renewal, "f",
		(json_int_t)cell->fence, "w", update_attempt, "i", senders, "t",
		targets, "m", models, "s", slots);
	if (root == NULL)
		return BSH_ERR_INVALID;
	dump = bsh_json_text(root, JSON_COMPACT);
	json_decref(root);
	if (dump == NULL)
		return BSH_ERR_INVALID;
	if (strlen(dump) > BSH_CELL_VALUE_MAX_BYTES) {
		free(dump);
		return BSH_ERR_TOO_LARGE;
	}
	*text = g_strdup(dump);
	free(dump);
	return BSH_OK;
}

/* Reads an integer from 0 to max; false if value is not one. */
static bool get_number(const json_t *value, uint64_t max, uint64_t *number)
{
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    (uint64_t)json_integer_value(value) > max)
		return false;
	*number = (uint64_t)json_integer_value(value);
	return true;
}

static bool get_name(const json_t *value, char name[BSH_CELL_NAME_SIZE])
{
	if (!json_is_string(value) ||
	    !is_valid_name(json_string_value(value)) ||
	    json_string_length(value) != strlen(json_string_value(value)))
		return false;
	g_strlcpy(name, json_string_value(value), BSH_CELL_NAME_SIZE);
	return true;
}

static bool is_list(const json_t *value, size_t size)
{
	return json_is_array(value) && json_array_size(value) == size;
}

static bool read_senders(bsh_cell_t *cell, const json_t *list)
{
	if (!json_is_array(list) || json_array_size(list) >= SENDERS_MAX)
		return false;
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *item = json_array_get(list, i);
		bsh_sender_t sender = { 0 };

		if (!is_list(item, SENDER_FIELDS) ||
		    !get_name(json_array_get(item, 0), sender.instance) ||
		    !get_number(json_array_get(item, 1), INT64_MAX,
				&sender.incarnation))
			return false;
		g_array_append_val(cell->senders, sender);
	}
	return true;
}

static bool read_targets(bsh_cell_t *cell, const json_t *list)
{
	if (!json_is_array(list) ||
	    json_array_size(list) > BSH_CELL_TARGETS_MAX)
		return false;
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *item = json_array_get(list, i);
		bsh_cell_target_t target = { 0 };
		uint64_t memory;
		uint64_t reserved;

		if (!is_list(item, TARGET_FIELDS) ||
		    !get_name(json_array_get(item, 0), target.name) ||
		    !get_number(json_array_get(item, 1), INT64_MAX,
				&target.incarnation) ||
		    !get_number(json_array_get(item, 2),
				BSH_CELL_MEMORY_MAX_MIB, &memory) ||
		    !get_number(json_array_get(item, 3),
				BSH_CELL_MEMORY_MAX_MIB, &reserved))
			return false;
		target.memory_mib = (uint32_t)memory;
		target.reserved_mib = (uint32_t)reserved;
		g_array_append_val(cell->targets, target);
	}
	return true;
}

static bool read_holders(const bsh_cell_t *cell, const json_t *list,
			 bsh_slot_t *slot)
{
	if (!json_is_array(list) ||
	    json_array_size(list) > BSH_CELL_HOLDERS_MAX)
		return false;
	for (size_t i = 0; i < json_array_size(list); i++) {
		uint64_t position;

		if (!get_number(json_array_get(list, i), SENDERS_MAX,
				&position) ||
		    position >= cell->senders->len)
			return false;
		slot->holders[slot->holder_count++] = (uint16_t)position;
	}
	return true;
}

/* Reads a slot; pack_slot() lists the fields. */
static bool read_slot(bsh_cell_t *cell, const json_t *item,
		      const json_t *models)
{
	uint64_t n[SLOT_FIELDS] = { 0 };
	bsh_slot_t slot = { 0 };

	if (!is_list(item, SLOT_FIELDS))
		return false;
	for (size_t i = 0; i < SLOT_FIELDS - 1; i++) {
		if (i != 5 &&
		    !get_number(json_array_get(item, i),
				i == 3 || i == 6 ? INT64_MAX : INT32_MAX,
				&n[i]))
			return false;
	}
	if (n[0] >= json_array_size(models) || n[2] >= cell->targets->len ||
	    n[4] > BSH_SLOT_QUARANTINED || n[7] >= cell->senders->len ||
	    !get_name(json_array_get(models, n[0]), slot.model) ||
	    !json_is_string(json_array_get(item, 5)) ||
	    !bsh_attempt_parse(json_string_value(json_array_get(item, 5)),
			       &slot.attempt))
		return false;
	slot.index = (uint32_t)n[1];
	g_strlcpy(slot.target, target_at(cell, (guint)n[2])->name,
		  sizeof(slot.target));
	slot.target_incarnation = n[3];
	slot.state = (bsh_slot_state_t)n[4];
	slot.fence = n[6];
	slot.sender = (uint16_t)n[7];
	slot.memory_mib = (uint32_t)n[8];
	if (!read_holders(cell, json_array_get(item, 9), &slot))
		return false;
	g_array_append_val(cell->slots, slot);
	return true;
}

/* Reads the scalar keys and the owner.  The senders must be read before. */
static bool read_header(bsh_cell_t *cell, const json_t *root)
{
	const json_t *owner = json_object_get(root, "o");
	const json_t *update_attempt = json_object_get(root, "w");
	const json_t *owner_position;
	uint64_t format;
	uint64_t cells;
	uint64_t position;

	if (!get_number(json_object_get(root, "v"), CELL_FORMAT_VERSION,
			&format) ||
	    format != CELL_FORMAT_VERSION || !is_list(owner, OWNER_FIELDS) ||
	    !get_name(json_object_get(root, "n"), cell->name) ||
	    !get_number(json_object_get(root, "c"), POOL_CELLS_MAX, &cells) ||
	    !get_number(json_object_get(root, "g"), INT64_MAX,
			&cell->generation) ||
	    !get_number(json_object_get(root, "f"), INT64_MAX, &cell->fence) ||
	    !get_number(json_array_get(owner, 1), INT64_MAX, &cell->epoch) ||
	    !get_number(json_array_get(owner, 2), INT64_MAX, &cell->renewal) ||
	    !json_is_string(update_attempt) ||
	    !bsh_attempt_parse(json_string_value(update_attempt),
			       &cell->update_attempt))
		return false;
	cell->cells = (uint32_t)cells;
	owner_position = json_array_get(owner, 0);
	if (!json_is_integer(owner_position))
		return false;
	if (json_integer_value(owner_position) == OWNER_NONE)
		return true;
	if (!get_number(owner_position, SENDERS_MAX, &position) ||
	    position >= cell->senders->len)
		return false;
	cell->owner = *bsh_cell_sender(cell, (uint16_t)position);
	return true;
}

static bsh_error_t read_cell(bsh_cell_t *cell, const json_t *root,
			     char **reason)
{
	const json_t *models = json_object_get(root, "m");
	const json_t *slots = json_object_get(root, "s");

	if (json_object_size(root) != 11 || !json_is_array(models) ||
	    !json_is_array(slots))
		return reject(reason, "cell: missing or unknown keys");
	if (!read_senders(cell, json_object_get(root, "i")))
		return reject(reason, "cell: malformed senders");
	if (!read_header(cell, root))
		return reject(
			reason,
			"cell: malformed format, name, owner or counters");
	if (!read_targets(cell, json_object_get(root, "t")))
		return reject(reason, "cell: malformed targets");
	for (size_t i = 0; i < json_array_size(slots); i++) {
		if (!read_slot(cell, json_array_get(slots, i), models))
			return reject(reason, "slot %zu: malformed", i);
	}
	return bsh_cell_check(cell, reason);
}

bsh_error_t bsh_cell_decode(bsh_cell_t *cell, const char *text, size_t length,
			    char **reason)
{
	json_error_t error;
	json_t *root;
	bsh_cell_t fresh;
	bsh_cell_t old;
	bsh_error_t err;

	if (reason != NULL)
		*reason = NULL;
	if (length > BSH_CELL_VALUE_MAX_BYTES) {
		reject(reason, "cell: value exceeds %d bytes",
		       BSH_CELL_VALUE_MAX_BYTES);
		return BSH_ERR_TOO_LARGE;
	}
	root = json_loadb(text, length, JSON_REJECT_DUPLICATES, &error);
	if (root == NULL)
		return reject(reason, "cell: not JSON: %s", error.text);
	bsh_cell_init(&fresh, cell->name, 1);
	err = read_cell(&fresh, root, reason);
	json_decref(root);
	if (err == BSH_OK) {
		old = *cell;
		*cell = fresh;
		fresh = old;
	}
	bsh_cell_finish(&fresh);
	return err;
}

void bsh_attempt_text(const bsh_attempt_id_t *attempt,
		      char text[BSH_ATTEMPT_TEXT_SIZE])
{
	snprintf(text, BSH_ATTEMPT_TEXT_SIZE, "%016" PRIx64 "%016" PRIx64,
		 attempt->high, attempt->low);
}

bool bsh_attempt_parse(const char *text, bsh_attempt_id_t *attempt)
{
	char part[17];

	if (strlen(text) != BSH_ATTEMPT_TEXT_SIZE - 1)
		return false;
	for (const char *c = text; *c != '\0'; c++) {
		if (!g_ascii_isxdigit(*c))
			return false;
	}
	g_strlcpy(part, text, sizeof(part));
	attempt->high = g_ascii_strtoull(part, NULL, 16);
	attempt->low = g_ascii_strtoull(text + 16, NULL, 16);
	return true;
}

const char *bsh_slot_state_name(bsh_slot_state_t state)
{
	static const char *const names[] = { "bound", "loading", "ready",
					     "unloading", "quarantined" };

	return (unsigned int)state < G_N_ELEMENTS(names) ? names[state]
							 : "unknown";
}

static uint64_t hash_name(uint64_t seed, const char *name)
{
	return XXH64(name, strlen(name), seed);
}

/* Cell with the highest rendezvous weight for key. */
static uint32_t rendezvous_winner(uint64_t seed, const char *key,
				  uint32_t cells)
{
	uint64_t base = hash_name(seed, key);
	uint64_t best = 0;
	uint32_t winner = 0;

	for (uint32_t i = 0; i < cells; i++) {
		uint64_t weight = XXH64(&i, sizeof(i), base);

		if (i == 0 || weight > best) {
			best = weight;
			winner = i;
		}
	}
	return winner;
}

uint32_t bsh_cell_of_slot(const char *model, uint32_t index, uint32_t cells)
{
	return rendezvous_winner(HASH_SEED_SLOT + ((uint64_t)index << 32),
				 model, cells);
}

uint32_t bsh_cell_of_target(const char *target, uint32_t cells)
{
	return rendezvous_winner(HASH_SEED_TARGET, target, cells);
}

void bsh_cell_name(const char *pool, uint32_t number, uint32_t cells,
		   char name[BSH_CELL_NAME_SIZE])
{
	if (cells <= 1)
		g_strlcpy(name, pool, BSH_CELL_NAME_SIZE);
	else
		snprintf(name, BSH_CELL_NAME_SIZE, "%s.%u", pool, number);
}

uint64_t bsh_cell_affinity(const char *cell, const char *instance)
{
	return hash_name(hash_name(HASH_SEED_OWNER, cell), instance);
}
