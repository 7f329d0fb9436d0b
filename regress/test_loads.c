#include <glib.h>
#include <string.h>

#include "coordination/loader.h"
#include "state/cell.h"
#include "state/placement.h"

#define S INT64_C(1000000)

static const bsh_sender_t a = { "entry-a", 1 };
static const bsh_sender_t b = { "entry-b", 7 };
static const bsh_attempt_id_t id = { 1, 2 };

static void make_cell(bsh_cell_t *cell)
{
	bsh_cell_init(cell, "pool", 1);
	g_assert_cmpint(bsh_cell_set_target(cell, "t1", 3, 1000), ==, BSH_OK);
	g_assert_cmpint(bsh_cell_set_target(cell, "t0", 4, 500), ==, BSH_OK);
	g_assert_cmpint(bsh_cell_bind(cell, "m", 0, "t1", 600, &a, &id), ==,
			BSH_OK);
	g_assert_cmpint(bsh_cell_bind(cell, "n", 0, "t0", 100, &a, &id), ==,
			BSH_OK);
	g_assert_cmpint(
		bsh_cell_set_sender(cell, bsh_cell_slot(cell, "m", 0), &b), ==,
		BSH_OK);
	cell->owner = b;
}

/* Guards against a binding beyond the memory or the replicas of a target. */
static void test_cell_limits(void)
{
	bsh_cell_t cell;

	make_cell(&cell);
	g_assert_cmpint(bsh_cell_bind(&cell, "x", 0, "t1", 401, &a, &id), ==,
			BSH_ERR_CAPACITY);
	g_assert_cmpint(bsh_cell_bind(&cell, "m", 0, "t0", 1, &a, &id), ==,
			BSH_ERR_CONFLICT);
	g_assert_cmpint(bsh_cell_bind(&cell, "m", 1, "t1", 1, &a, &id), ==,
			BSH_ERR_CONFLICT);
	g_assert_cmpint(bsh_cell_bind(&cell, "x", 0, "t9", 1, &a, &id), ==,
			BSH_ERR_NOT_FOUND);
	g_assert_cmpint(bsh_cell_remove_target(&cell, "t1"), ==,
			BSH_ERR_CONFLICT);
	/* A smaller total must not make what is reserved vanish. */
	g_assert_cmpint(bsh_cell_set_target(&cell, "t1", 3, 10), ==, BSH_OK);
	g_assert_cmpuint(bsh_cell_free_mib(&cell, "t1"), ==, 0);
	g_assert_cmpint(bsh_cell_check(&cell, NULL), ==, BSH_OK);
	g_assert_cmpint(bsh_cell_remove(&cell, "m", 0), ==, BSH_OK);
	g_assert_cmpint(bsh_cell_check(&cell, NULL), ==, BSH_OK);
	bsh_cell_finish(&cell);
}

/* Guards against a field lost on the way through the store. */
static void test_cell_round_trip(void)
{
	g_autofree char *text = NULL;
	g_autofree char *again = NULL;
	const bsh_slot_t *slot;
	bsh_cell_t cell;
	bsh_cell_t copy;

	make_cell(&cell);
	g_assert_cmpint(bsh_cell_encode(&cell, &text), ==, BSH_OK);
	bsh_cell_init(&copy, "pool", 1);
	g_assert_cmpint(bsh_cell_decode(&copy, text, strlen(text), NULL), ==,
			BSH_OK);
	slot = bsh_cell_slot(&copy, "m", 0);
	g_assert_true(bsh_cell_is_holder(&copy, slot, &a));
	g_assert_true(bsh_cell_is_sender(&copy, slot, &b));
	g_assert_true(bsh_sender_equal(&copy.owner, &b));
	g_assert_cmpuint(slot->target_incarnation, ==, 3);
	g_assert_cmpint(bsh_cell_encode(&copy, &again), ==, BSH_OK);
	g_assert_cmpstr(text, ==, again);
	bsh_cell_finish(&copy);
	bsh_cell_finish(&cell);
}

/* Guards against a damaged value that is taken in part: every cut and every
 * changed digit either fails with the cell unchanged or passes the checks. */
static void test_cell_malformed(void)
{
	g_autofree char *text = NULL;
	g_autofree char *kept = NULL;
	bsh_cell_t cell;
	bsh_cell_t into;
	size_t rejected = 0;

	make_cell(&cell);
	make_cell(&into);
	g_assert_cmpint(bsh_cell_encode(&cell, &text), ==, BSH_OK);
	for (size_t i = 0; i < strlen(text); i++) {
		g_autofree char *damaged = g_strdup(text);
		g_autofree char *after = NULL;
		g_autofree char *reason = NULL;

		g_assert_cmpint(bsh_cell_decode(&into, text, i, NULL), !=,
				BSH_OK);
		damaged[i] = damaged[i] == '9' ? '1' : '9';
		g_clear_pointer(&kept, g_free);
		bsh_cell_encode(&into, &kept);
		if (bsh_cell_decode(&into, damaged, strlen(damaged), &reason) ==
		    BSH_OK) {
			g_assert_cmpint(bsh_cell_check(&into, NULL), ==,
					BSH_OK);
			continue;
		}
		rejected++;
		g_assert_nonnull(reason);
		bsh_cell_encode(&into, &after);
		g_assert_cmpstr(kept, ==, after);
	}
	g_assert_cmpuint(rejected, >, strlen(text) / 2);
	bsh_cell_finish(&into);
	bsh_cell_finish(&cell);
}

/* Guards against two cells that both claim a slot. */
static void test_slot_hash(void)
{
	uint32_t counts[4] = { 0 };

	for (uint32_t i = 0; i < 4000; i++) {
		uint32_t cell = bsh_cell_of_slot("model", i, 4);

		g_assert_cmpuint(cell, <, 4);
		g_assert_cmpuint(cell, ==, bsh_cell_of_slot("model", i, 4));
		counts[cell]++;
	}
	for (int i = 0; i < 4; i++)
		g_assert_cmpuint(counts[i], >, 800);
}

/* Guards against placement that ignores copies, room or the load order. */
static void test_placement(void)
{
	const bsh_placement_limits_t limits = { 0.5, 2, 2, 150, 400 };
	const bsh_candidate_t candidates[] = {
		{ .name = "x",
		  .zone = "",
		  .free_mib = 900,
		  .copy = BSH_COPY_REMOTE },
		{ .name = "y",
		  .zone = "",
		  .free_mib = 900,
		  .copy = BSH_COPY_DISK },
		{ .name = "z",
		  .zone = "",
		  .free_mib = 100,
		  .copy = BSH_COPY_MEMORY },
	};
	const bsh_victim_t victims[] = {
		{ .model = "often", .target = "x", .memory_mib = 500 },
		{ .model = "seldom", .target = "x", .memory_mib = 500 },
		{ .model = "seldom",
		  .target = "x",
		  .memory_mib = 500,
		  .running = 1 },
	};
	bsh_waiting_t waiting[] = {
		{ .model = "late",
		  .deadline_us = S,
		  .load_us = 9 * S,
		  .priority = 0,
		  .waiting = 1 },
		{ .model = "prefetch", .deadline_us = INT64_MAX },
		{ .model = "tight",
		  .deadline_us = 20 * S,
		  .load_us = 9 * S,
		  .priority = 5,
		  .waiting = 1 },
		{ .model = "first",
		  .deadline_us = 90 * S,
		  .load_us = 9 * S,
		  .priority = 1,
		  .waiting = 1 },
	};
	char reason[BSH_PLACEMENT_REASON_SIZE];
	bool chosen[3];
	bsh_choice_t choice;
	bsh_placement_t p;

	bsh_placement_init(&p, &limits);
	bsh_placement_set_model(&p, "often", NULL, 500, 10000, 5);
	bsh_placement_set_model(&p, "seldom", NULL, 500, 10000, 5);
	bsh_placement_choose_target(&p, "often", "", candidates, 3, &choice);
	g_assert_cmpuint(choice.index, ==, 1);
	g_assert_cmpint(choice.load_us, ==, 4 * S);
	for (int i = 0; i < 40; i++)
		bsh_placement_record_use(&p, "often", i * 60 * S, i * 60 * S);
	bsh_placement_record_use(&p, "seldom", S, S);
	g_assert_cmpuint(bsh_placement_choose_victims(&p, "x", 400, 5, victims, 3,
					     2400 * S, 2400 * S, chosen,
					     reason),
			 ==, 1);
	g_assert_true(chosen[1] && !chosen[0] && !chosen[2]);
	g_assert_cmpuint(bsh_placement_choose_victims(&p, "x", 1200, 5, victims, 3,
					     2400 * S, 2400 * S, chosen,
					     reason),
			 ==, 0);
	bsh_placement_sort_waiting(waiting, 4, 0);
	g_assert_cmpstr(waiting[0].model, ==, "first");
	g_assert_cmpstr(waiting[1].model, ==, "tight");
	g_assert_cmpstr(waiting[2].model, ==, "late");
	g_assert_true(bsh_placement_take_token(&p, 0, 0));
	g_assert_false(bsh_placement_take_token(&p, 0, 0));
	g_assert_false(bsh_placement_take_token(&p, 2, 9 * S));
	g_assert_cmpint(bsh_placement_next_token_us(&p, 0), ==, S / 2);
	bsh_placement_finish(&p);
}

typedef struct {
	bsh_loader_t loader;
	int64_t now_us;
	uint64_t version;
	bool is_down;
	int reads, updates;
	uint64_t order_id;
	int orders;
	bsh_demand_answer_t answer;
	int answers;
	size_t routed;
} rig_t;

static void op_read(void *ctx, const char *cell)
{
	(void)cell;
	((rig_t *)ctx)->reads++;
}

static void op_update(void *ctx, const char *cell, uint64_t base,
		      const char *value)
{
	(void)cell;
	(void)base;
	(void)value;
	((rig_t *)ctx)->updates++;
}

static void op_order(void *ctx, const bsh_loader_order_t *order)
{
	((rig_t *)ctx)->order_id = order->id;
	((rig_t *)ctx)->orders++;
}

static void op_answer(void *ctx, const bsh_demand_answer_t *answer)
{
	((rig_t *)ctx)->answer = *answer;
	((rig_t *)ctx)->answers++;
}

static void op_route(void *ctx, const bsh_loader_route_t *route)
{
	((rig_t *)ctx)->routed = route->count;
}

static const bsh_loader_ops_t ops = { .read = op_read,
				      .update = op_update,
				      .order = op_order,
				      .answer = op_answer,
				      .route = op_route };

static void settle(rig_t *r)
{
	while (r->reads > 0 || r->updates > 0) {
		if (r->reads > 0) {
			r->reads--;
			bsh_loader_read_result(&r->loader, "pool",
					       r->is_down
						       ? BSH_STORE_UNAVAILABLE
						       : BSH_STORE_NOT_FOUND,
					       0, NULL, 0, r->now_us);
		} else {
			r->updates--;
			bsh_loader_update_result(
				&r->loader, "pool",
				r->is_down ? BSH_STORE_UNAVAILABLE
					   : BSH_STORE_OK,
				r->is_down ? 0 : ++r->version, r->now_us);
		}
	}
}

static void pass(rig_t *r, int64_t for_us)
{
	int64_t end_us = r->now_us + for_us;

	while (r->now_us < end_us) {
		r->now_us += S / 10;
		bsh_loader_tick(&r->loader, r->now_us);
		settle(r);
	}
}

static void rig_init(rig_t *r, uint32_t memory_mib)
{
	const bsh_loader_config_t config = { .self = { "entry-a", 1 } };
	const bsh_loader_pool_t pool = { "pool", true, memory_mib, 4, 1 };
	const bsh_loader_model_t models[] = {
		{ "m", "1", "pool", NULL, 800, 1, 5, 10000 },
		{ "huge", "1", "pool", NULL, 5000, 1, 5, 10000 }
	};
	const bsh_loader_document_t d = { .generation = 1,
					  .weight = 0.5,
					  .loads_per_s = 1,
					  .concurrent = 1,
					  .pools = &pool,
					  .pool_count = 1,
					  .models = models,
					  .model_count = 2 };
	const bsh_loader_instance_t target = { .name = "t",
					       .incarnation = 1,
					       .is_target = true,
					       .pool = "pool",
					       .memory_mib = memory_mib };

	memset(r, 0, sizeof(*r));
	bsh_loader_init(&r->loader, &config, &ops, r);
	bsh_loader_platform(&r->loader, &target, 1, 0);
	bsh_loader_document(&r->loader, &d, 0);
	settle(r);
}

static void ask(rig_t *r, const char *model, int64_t in_us)
{
	const bsh_demand_t d = { .id = (uint64_t)r->now_us + 1,
				 .model = model,
				 .deadline_us = r->now_us + in_us,
				 .count = 1 };

	bsh_loader_demand(&r->loader, &d, r->now_us);
	settle(r);
}

/* Guards against an order before its binding is in the store, and against a
 * refusal that is certain but held back. */
static void test_loader_demand(void)
{
	const bsh_target_model_t loaded = { .model = "m",
					    .version = "1",
					    .state = BSH_SLOT_READY };
	bsh_target_status_t status = { .target = "t",
				       .incarnation = 1,
				       .models = &loaded,
				       .model_count = 1 };
	rig_t r;

	rig_init(&r, 1000);
	ask(&r, "m", 5 * S);
	g_assert_cmpint(r.answer.result, ==, BSH_DEMAND_REFUSED);
	g_assert_cmpint(r.answer.error, ==, BSH_ERR_DEADLINE);
	g_assert_cmpuint(r.answer.retry_after_ms, >=, 9000);
	ask(&r, "huge", 60 * S);
	pass(&r, 3 * S);
	g_assert_cmpint(r.answer.error, ==, BSH_ERR_CAPACITY);
	ask(&r, "none", 60 * S);
	g_assert_cmpint(r.answer.error, ==, BSH_ERR_NOT_FOUND);
	ask(&r, "m", 60 * S);
	g_assert_cmpint(r.answer.result, ==, BSH_DEMAND_LOADING);
	pass(&r, S);
	g_assert_cmpint(r.orders, ==, 1);
	bsh_loader_order_result(&r.loader, r.order_id, BSH_ORDER_ACCEPTED, 0,
				r.now_us);
	status.began_us = r.now_us;
	bsh_loader_status(&r.loader, &status, r.now_us);
	settle(&r);
	g_assert_cmpint(r.answer.result, ==, BSH_DEMAND_READY);
	g_assert_cmpuint(r.routed, ==, 1);
	bsh_loader_leaving(&r.loader, "t", 1, r.now_us);
	g_assert_cmpuint(r.routed, ==, 0);
	bsh_loader_finish(&r.loader);
}

/* Guards against binding while the store is down, and against refusing what
 * a standby binding could serve. */
static void test_loader_outage(void)
{
	rig_t r;

	rig_init(&r, 1000);
	r.is_down = true;
	pass(&r, 10 * S);
	ask(&r, "huge", 60 * S);
	g_assert_cmpint(r.answer.result, ==, BSH_DEMAND_REFUSED);
	g_assert_cmpint(r.answer.error, ==, BSH_ERR_STORE);
	/* "m" fits and was bound as standby before the outage. */
	ask(&r, "m", 60 * S);
	g_assert_cmpint(r.answer.result, ==, BSH_DEMAND_LOADING);
	g_assert_cmpint(r.orders, ==, 1);
	bsh_loader_finish(&r.loader);
}

/* Ticks at the times that the loader asks for, as the daemon does. */
static int count_ticks(rig_t *r, int64_t for_us, bool answers)
{
	int64_t end_us = r->now_us + for_us;
	int ticks = 0;

	while (r->now_us < end_us) {
		r->now_us = bsh_loader_next_us(&r->loader);
		bsh_loader_tick(&r->loader, r->now_us);
		if (answers)
			settle(r);
		ticks++;
	}
	return ticks;
}

/* Guards against a loader that asks to run each millisecond while nothing is
 * due, or while an overdue cell waits for the store: idle daemons took more
 * than 1 % of a core that way. */
static void test_loader_ticks(void)
{
	rig_t r;

	rig_init(&r, 1000);
	pass(&r, 5 * S);
	g_assert_cmpint(count_ticks(&r, 10 * S, true), <=, 200);
	r.is_down = true;
	g_assert_cmpint(count_ticks(&r, 10 * S, true), <=, 200);
	g_assert_cmpint(count_ticks(&r, 10 * S, false), <=, 200);
	bsh_loader_finish(&r.loader);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/limits", test_cell_limits);
	g_test_add_func("/cell/round-trip", test_cell_round_trip);
	g_test_add_func("/cell/malformed", test_cell_malformed);
	g_test_add_func("/cell/slot-hash", test_slot_hash);
	g_test_add_func("/placement/decisions", test_placement);
	g_test_add_func("/loader/demand", test_loader_demand);
	g_test_add_func("/loader/outage", test_loader_outage);
	g_test_add_func("/loader/ticks", test_loader_ticks);
	return g_test_run();
}
