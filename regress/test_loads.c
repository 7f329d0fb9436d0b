#include <glib.h>
#include <string.h>

#include "coordination/loader.h"
#include "state/cell.h"
#include "state/placement.h"

#define SECOND_US INT64_C(1000000)

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

/* Guards against a binding that exceeds a target's memory, repeats a slot or
 * puts a model on the same target twice. */
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
	/* A total below the reserved memory must not discard reservations. */
	g_assert_cmpint(bsh_cell_set_target(&cell, "t1", 3, 10), ==, BSH_OK);
	g_assert_cmpuint(bsh_cell_free_mib(&cell, "t1"), ==, 0);
	g_assert_cmpint(bsh_cell_check(&cell, NULL), ==, BSH_OK);
	g_assert_cmpint(bsh_cell_remove(&cell, "m", 0), ==, BSH_OK);
	g_assert_cmpint(bsh_cell_check(&cell, NULL), ==, BSH_OK);
	bsh_cell_finish(&cell);
}

/* Guards against a field that is lost by encoding and decoding a cell. */
static void test_cell_round_trip(void)
{
	g_autofree char *text = NULL;
	g_autofree char *encoded_copy = NULL;
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
	g_assert_cmpint(bsh_cell_encode(&copy, &encoded_copy), ==, BSH_OK);
	g_assert_cmpstr(text, ==, encoded_copy);
	bsh_cell_finish(&copy);
	bsh_cell_finish(&cell);
}

/* Guards against a malformed value that is decoded in part.  Each truncated
 * value must be rejected; one with a changed byte must either be rejected with
 * the cell unchanged or pass the checks. */
static void test_cell_malformed(void)
{
	g_autofree char *text = NULL;
	g_autofree char *before = NULL;
	bsh_cell_t cell;
	bsh_cell_t decoded;
	size_t rejected = 0;

	make_cell(&cell);
	make_cell(&decoded);
	g_assert_cmpint(bsh_cell_encode(&cell, &text), ==, BSH_OK);
	for (size_t i = 0; i < strlen(text); i++) {
		g_autofree char *damaged = g_strdup(text);
		g_autofree char *after = NULL;
		g_autofree char *reason = NULL;

		g_assert_cmpint(bsh_cell_decode(&decoded, text, i, NULL), !=,
				BSH_OK);
		damaged[i] = damaged[i] == '9' ? '1' : '9';
		g_clear_pointer(&before, g_free);
		bsh_cell_encode(&decoded, &before);
		if (bsh_cell_decode(&decoded, damaged, strlen(damaged),
				    &reason) == BSH_OK) {
			g_assert_cmpint(bsh_cell_check(&decoded, NULL), ==,
					BSH_OK);
			continue;
		}
		rejected++;
		g_assert_nonnull(reason);
		bsh_cell_encode(&decoded, &after);
		g_assert_cmpstr(before, ==, after);
	}
	g_assert_cmpuint(rejected, >, strlen(text) / 2);
	bsh_cell_finish(&decoded);
	bsh_cell_finish(&cell);
}

/* Guards against a slot that belongs to more than one cell, and against cells
 * with an uneven number of slots. */
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

/* Guards against placement that ignores copies of a model, free memory, running
 * requests, deadlines, priorities or the weight store's rate. */
static void test_placement_decisions(void)
{
	const bsh_placement_limits_t limits = { 0.5, 2, 2, 150, 400 };
	const bsh_placement_candidate_t candidates[] = {
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
	bsh_placement_waiting_t waiting[] = {
		{ .model = "late",
		  .deadline_us = SECOND_US,
		  .load_us = 9 * SECOND_US,
		  .priority = 0,
		  .waiting = 1 },
		{ .model = "prefetch", .deadline_us = INT64_MAX },
		{ .model = "tight",
		  .deadline_us = 20 * SECOND_US,
		  .load_us = 9 * SECOND_US,
		  .priority = 5,
		  .waiting = 1 },
		{ .model = "first",
		  .deadline_us = 90 * SECOND_US,
		  .load_us = 9 * SECOND_US,
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
	g_assert_cmpint(choice.load_us, ==, 4 * SECOND_US);
	for (int i = 0; i < 40; i++)
		bsh_placement_record_use(&p, "often", i * 60 * SECOND_US,
					 i * 60 * SECOND_US);
	bsh_placement_record_use(&p, "seldom", SECOND_US, SECOND_US);
	g_assert_cmpuint(bsh_placement_choose_victims(
				 &p, "x", 400, 5, victims, 3, 2400 * SECOND_US,
				 2400 * SECOND_US, chosen, reason),
			 ==, 1);
	g_assert_true(chosen[1] && !chosen[0] && !chosen[2]);
	g_assert_cmpuint(bsh_placement_choose_victims(
				 &p, "x", 1200, 5, victims, 3, 2400 * SECOND_US,
				 2400 * SECOND_US, chosen, reason),
			 ==, 0);
	bsh_placement_sort_waiting(waiting, 4, 0);
	g_assert_cmpstr(waiting[0].model, ==, "first");
	g_assert_cmpstr(waiting[1].model, ==, "tight");
	g_assert_cmpstr(waiting[2].model, ==, "late");
	g_assert_true(bsh_placement_take_token(&p, 0, 0));
	g_assert_false(bsh_placement_take_token(&p, 0, 0));
	g_assert_false(bsh_placement_take_token(&p, 2, 9 * SECOND_US));
	g_assert_cmpint(bsh_placement_next_token_us(&p, 0), ==, SECOND_US / 2);
	bsh_placement_finish(&p);
}

typedef struct {
	bsh_loader_t loader;
	int64_t now_us;
	uint64_t version;
	bool is_store_down;
	int reads, updates;
	uint64_t order_id;
	int orders;
	bsh_demand_answer_t answer;
	int answers;
	size_t routed;
} fixture_t;

static void op_read(void *ctx, const char *cell)
{
	(void)cell;
	((fixture_t *)ctx)->reads++;
}

static void op_update(void *ctx, const char *cell, uint64_t base,
		      const char *value)
{
	(void)cell;
	(void)base;
	(void)value;
	((fixture_t *)ctx)->updates++;
}

static void op_order(void *ctx, const bsh_loader_order_t *order)
{
	((fixture_t *)ctx)->order_id = order->id;
	((fixture_t *)ctx)->orders++;
}

static void op_answer(void *ctx, const bsh_demand_answer_t *answer)
{
	((fixture_t *)ctx)->answer = *answer;
	((fixture_t *)ctx)->answers++;
}

static void op_route(void *ctx, const bsh_loader_route_t *route)
{
	((fixture_t *)ctx)->routed = route->count;
}

static const bsh_loader_ops_t ops = { .read = op_read,
				      .update = op_update,
				      .order = op_order,
				      .answer = op_answer,
				      .route = op_route };

static void answer_store_calls(fixture_t *fx)
{
	while (fx->reads > 0 || fx->updates > 0) {
		if (fx->reads > 0) {
			fx->reads--;
			bsh_loader_read_result(&fx->loader, "pool",
					       fx->is_store_down
						       ? BSH_STORE_UNAVAILABLE
						       : BSH_STORE_NOT_FOUND,
					       0, NULL, 0, fx->now_us);
		} else {
			fx->updates--;
			bsh_loader_update_result(
				&fx->loader, "pool",
				fx->is_store_down ? BSH_STORE_UNAVAILABLE
						  : BSH_STORE_OK,
				fx->is_store_down ? 0 : ++fx->version,
				fx->now_us);
		}
	}
}

static void advance(fixture_t *fx, int64_t for_us)
{
	int64_t end_us = fx->now_us + for_us;

	while (fx->now_us < end_us) {
		fx->now_us += SECOND_US / 10;
		bsh_loader_tick(&fx->loader, fx->now_us);
		answer_store_calls(fx);
	}
}

static void fixture_init(fixture_t *fx, uint32_t memory_mib)
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

	memset(fx, 0, sizeof(*fx));
	bsh_loader_init(&fx->loader, &config, &ops, fx);
	bsh_loader_set_instances(&fx->loader, &target, 1, 0);
	bsh_loader_set_document(&fx->loader, &d, 0);
	answer_store_calls(fx);
}

static void add_demand(fixture_t *fx, const char *model, int64_t in_us)
{
	const bsh_demand_t d = { .id = (uint64_t)fx->now_us + 1,
				 .model = model,
				 .deadline_us = fx->now_us + in_us,
				 .count = 1 };

	bsh_loader_add_demand(&fx->loader, &d, fx->now_us);
	answer_store_calls(fx);
}

/* Guards against an order that is sent before its binding is in the store, and
 * against a refusal that is delayed although it is certain. */
static void test_loader_demand(void)
{
	const bsh_target_model_t loaded = { .model = "m",
					    .version = "1",
					    .state = BSH_SLOT_READY };
	bsh_target_status_t status = { .target = "t",
				       .incarnation = 1,
				       .models = &loaded,
				       .model_count = 1 };
	fixture_t fx;

	fixture_init(&fx, 1000);
	add_demand(&fx, "m", 5 * SECOND_US);
	g_assert_cmpint(fx.answer.result, ==, BSH_DEMAND_REFUSED);
	g_assert_cmpint(fx.answer.error, ==, BSH_ERR_DEADLINE);
	g_assert_cmpuint(fx.answer.retry_after_ms, >=, 9000);
	add_demand(&fx, "huge", 60 * SECOND_US);
	advance(&fx, 3 * SECOND_US);
	g_assert_cmpint(fx.answer.error, ==, BSH_ERR_CAPACITY);
	add_demand(&fx, "none", 60 * SECOND_US);
	g_assert_cmpint(fx.answer.error, ==, BSH_ERR_NOT_FOUND);
	add_demand(&fx, "m", 60 * SECOND_US);
	g_assert_cmpint(fx.answer.result, ==, BSH_DEMAND_LOADING);
	advance(&fx, SECOND_US);
	g_assert_cmpint(fx.orders, ==, 1);
	bsh_loader_order_result(&fx.loader, fx.order_id, BSH_ORDER_ACCEPTED, 0,
				fx.now_us);
	status.began_us = fx.now_us;
	bsh_loader_update_status(&fx.loader, &status, fx.now_us);
	answer_store_calls(&fx);
	g_assert_cmpint(fx.answer.result, ==, BSH_DEMAND_READY);
	g_assert_cmpuint(fx.routed, ==, 1);
	bsh_loader_set_leaving(&fx.loader, "t", 1, fx.now_us);
	g_assert_cmpuint(fx.routed, ==, 0);
	bsh_loader_finish(&fx.loader);
}

/* Guards against a binding while the store is unavailable, and against refusing
 * a demand that a standby binding could serve. */
static void test_loader_outage(void)
{
	fixture_t fx;

	fixture_init(&fx, 1000);
	fx.is_store_down = true;
	advance(&fx, 10 * SECOND_US);
	add_demand(&fx, "huge", 60 * SECOND_US);
	g_assert_cmpint(fx.answer.result, ==, BSH_DEMAND_REFUSED);
	g_assert_cmpint(fx.answer.error, ==, BSH_ERR_STORE);
	/* "m" fits on the target and was bound as standby earlier. */
	add_demand(&fx, "m", 60 * SECOND_US);
	g_assert_cmpint(fx.answer.result, ==, BSH_DEMAND_LOADING);
	g_assert_cmpint(fx.orders, ==, 1);
	bsh_loader_finish(&fx.loader);
}

/* Ticks at the times from bsh_loader_next_us(), as the daemon does.  Store
 * calls are answered only if answers is set. */
static int count_ticks(fixture_t *fx, int64_t for_us, bool answers)
{
	int64_t end_us = fx->now_us + for_us;
	int ticks = 0;

	while (fx->now_us < end_us) {
		fx->now_us = bsh_loader_next_us(&fx->loader);
		bsh_loader_tick(&fx->loader, fx->now_us);
		if (answers)
			answer_store_calls(fx);
		ticks++;
	}
	return ticks;
}

/* Guards against a tick each millisecond while nothing is due, or while an
 * overdue cell waits for the store; idle daemons used more than 1 % of a core
 * that way. */
static void test_loader_tick_rate(void)
{
	fixture_t fx;

	fixture_init(&fx, 1000);
	advance(&fx, 5 * SECOND_US);
	g_assert_cmpint(count_ticks(&fx, 10 * SECOND_US, true), <=, 200);
	fx.is_store_down = true;
	g_assert_cmpint(count_ticks(&fx, 10 * SECOND_US, true), <=, 200);
	g_assert_cmpint(count_ticks(&fx, 10 * SECOND_US, false), <=, 200);
	bsh_loader_finish(&fx.loader);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/limits", test_cell_limits);
	g_test_add_func("/cell/round-trip", test_cell_round_trip);
	g_test_add_func("/cell/malformed", test_cell_malformed);
	g_test_add_func("/cell/slot-hash", test_slot_hash);
	g_test_add_func("/placement/decisions", test_placement_decisions);
	g_test_add_func("/loader/demand", test_loader_demand);
	g_test_add_func("/loader/outage", test_loader_outage);
	g_test_add_func("/loader/ticks", test_loader_tick_rate);
	return g_test_run();
}
