#include <glib.h>
#include <string.h>
#include <time.h>

#include "base/rng.h"
#include "coordination/planner.h"

/* A planner and the orders and report requests that it has issued; the tests
 * supply the results. */
typedef struct {
	bsh_planner_t *planner;
	bsh_catalog_t *catalog;
	int64_t now_us;
	bool drops_orders; /* orders are not recorded */
	bool cannot_send;
	uint32_t n_orders;
	char order_target[64][BSH_NAME_SIZE];
	bsh_order_t orders[64];
	uint32_t n_reports;
	char report_target[64][BSH_NAME_SIZE];
} rig_t;

#define MB_MODEL   70000U
#define MB_ADAPTER 60U

static bool on_order(void *ctx, const bsh_target_t *target,
		     const bsh_order_t *order)
{
	rig_t *rig = ctx;

	if (rig->cannot_send)
		return false;
	if (rig->drops_orders)
		return true;
	g_assert_cmpuint(rig->n_orders, <, 64);
	g_strlcpy(rig->order_target[rig->n_orders], target->id, BSH_NAME_SIZE);
	rig->orders[rig->n_orders++] = *order;
	return true;
}

static void on_report(void *ctx, const bsh_target_t *target)
{
	rig_t *rig = ctx;

	g_assert_cmpuint(rig->n_reports, <, 64);
	g_strlcpy(rig->report_target[rig->n_reports++], target->id,
		  BSH_NAME_SIZE);
}

static void on_placed(void *ctx, const bsh_target_t *target,
		      const bsh_holdings_t *usable, uint64_t version)
{
	(void)ctx;
	(void)target;
	(void)usable;
	(void)version;
}

static uint32_t hash(const char *name)
{
	return bsh_catalog_hash(name, strlen(name));
}

/* A service whose targets have room for two models and two adapters each. */
static bsh_service_rule_t *add_service(bsh_catalog_t *catalog)
{
	bsh_service_rule_t *service =
		bsh_catalog_add_service(catalog, "engine");

	service->has_engine = true;
	service->slots = 10;
	service->weights_mb = 2 * MB_MODEL + 4 * MB_ADAPTER;
	service->adapter_slots = 2;
	return service;
}

static void add_model(bsh_service_rule_t *service, const char *name,
		      uint32_t adapters)
{
	bsh_model_rule_t model = { .weights_mb = MB_MODEL,
				   .adapters = adapters,
				   .adapter_mb = MB_ADAPTER,
				   .load_ms = 6000,
				   .disk_load_ms = 800,
				   .memory_load_ms = 600 };

	bsh_service_add_model(service, name, &model);
}

static void rig_init_seeding(rig_t *rig, const char *const *models,
			     uint32_t adapters, uint32_t seed_loads)
{
	static const bsh_planner_ops_t ops = { on_order, on_report, on_placed,
					       NULL };
	const bsh_planner_config_t config = { .concurrent_loads = 2,
					      .seed_loads = seed_loads };
	bsh_service_rule_t *service;

	memset(rig, 0, sizeof(*rig));
	rig->now_us = 1000000;
	rig->catalog = bsh_catalog_new();
	service = add_service(rig->catalog);
	for (uint32_t i = 0; models[i] != NULL; i++)
		add_model(service, models[i], adapters);
	bsh_catalog_build_index(rig->catalog);
	rig->planner = bsh_planner_new(&config, &ops, rig);
	bsh_planner_set_service(rig->planner, rig->catalog, service);
}

static void rig_init(rig_t *rig, const char *const *models, uint32_t adapters)
{
	rig_init_seeding(rig, models, adapters, 0);
}

/* Puts a configuration with these models in force. */
static void configure(rig_t *rig, const char *const *models, uint32_t adapters)
{
	bsh_catalog_t *catalog = bsh_catalog_new();
	bsh_service_rule_t *service = add_service(catalog);

	for (uint32_t i = 0; models[i] != NULL; i++)
		add_model(service, models[i], adapters);
	bsh_catalog_build_index(catalog);
	bsh_planner_set_service(rig->planner, catalog, service);
	bsh_catalog_unref(rig->catalog);
	rig->catalog = catalog;
}

static void rig_finish(rig_t *rig)
{
	bsh_planner_free(rig->planner);
	bsh_catalog_unref(rig->catalog);
}

static bsh_target_t make_target(const char *id, const char *const *holds)
{
	bsh_target_t target = { .slots = 10, .started_ms = 5 };

	g_strlcpy(target.id, id, sizeof(target.id));
	g_strlcpy(target.service, "engine", sizeof(target.service));
	g_strlcpy(target.address, "127.0.0.1:9", sizeof(target.address));
	for (uint32_t i = 0; holds[i] != NULL; i++)
		bsh_holdings_add(&target.holdings, hash(holds[i]), 0);
	return target;
}

static void report(rig_t *rig, const char *id, uint64_t orders, bool busy,
		   const bsh_holdings_t *holds)
{
	bsh_target_report_t r = { .busy = busy,
				  .orders = orders,
				  .started_ms = 5,
				  .holdings = *holds };

	bsh_planner_report_result(rig->planner, id, &r, rig->now_us);
}

static void add_target(rig_t *rig, const bsh_target_t *target, uint64_t orders)
{
	bsh_planner_update_target(rig->planner, target, rig->now_us);
	report(rig, target->id, orders, false, &target->holdings);
}

static void demand(rig_t *rig, const char *model, const char *adapter,
		   uint32_t arrived, uint32_t waiting)
{
	bsh_demand_entry_t entry = { .model = hash(model),
				     .adapter = adapter != NULL ? hash(adapter)
								: 0,
				     .arrived = arrived,
				     .waiting = waiting,
				     .max_wait_left_ms = 9000 };

	bsh_planner_update_demand(rig->planner, "entry-1", &entry, 1,
				  rig->now_us);
}

static void tick(rig_t *rig, int64_t after_us)
{
	rig->now_us += after_us;
	bsh_planner_tick(rig->planner, rig->now_us);
}

/* Guards against an order before the target has reported its count of orders:
 * after a takeover, orders of the former holder may still take effect. */
static void test_report_before_first_order(void)
{
	static const char *const models[] = { "a", "b", "c", NULL };
	static const char *const holds[] = { "a", NULL };
	bsh_target_t target = make_target("t1", holds);
	rig_t rig;

	rig_init(&rig, models, 0);
	bsh_planner_update_target(rig.planner, &target, rig.now_us);
	bsh_planner_begin_term(rig.planner);
	demand(&rig, "b", NULL, 1, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 0);
	g_assert_cmpuint(rig.n_reports, ==, 1);
	report(&rig, "t1", 7, false, &target.holdings);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	g_assert_true(rig.orders[0].load);
	g_assert_cmpuint(rig.orders[0].model, ==, hash("b"));
	g_assert_cmpuint(rig.orders[0].expected, ==, 7);
	rig_finish(&rig);
}

/* Guards against a load on a full target, which crashes the target: the model
 * without demand must be evicted first. */
static void test_evicts_before_load(void)
{
	static const char *const models[] = { "a", "b", "c", NULL };
	static const char *const holds[] = { "a", "b", NULL };
	bsh_target_t target = make_target("t1", holds);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 0);
	demand(&rig, "a", NULL, 5, 0);
	tick(&rig, 1000);
	demand(&rig, "c", NULL, 1, 1);
	tick(&rig, 1000);
	/* The model is withdrawn from the usable holdings first. */
	g_assert_cmpuint(rig.n_orders, ==, 0);
	g_assert_false(bsh_holdings_has(
		bsh_planner_usable(rig.planner, "t1", NULL), hash("b"), 0));
	tick(&rig, 50000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	g_assert_false(rig.orders[0].load);
	g_assert_cmpuint(rig.orders[0].model, ==, hash("b"));
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_ACCEPTED,
				 rig.now_us);
	tick(&rig, 100000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	g_assert_true(rig.orders[1].load);
	g_assert_cmpuint(rig.orders[1].model, ==, hash("c"));
	g_assert_cmpuint(rig.orders[1].expected, ==, 1);
	rig_finish(&rig);
}

/* Guards against new requests for a model that is being unloaded: until its
 * running requests end, the target is busy and still reports the model. */
static void test_unloading_model_stays_withdrawn(void)
{
	static const char *const models[] = { "a", "b", "c", NULL };
	static const char *const holds[] = { "a", "b", NULL };
	bsh_target_t target = make_target("t1", holds);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 0);
	demand(&rig, "a", NULL, 5, 0);
	tick(&rig, 1000);
	demand(&rig, "c", NULL, 1, 1);
	tick(&rig, 1000);
	tick(&rig, 50000);
	g_assert_cmpuint(rig.orders[0].model, ==, hash("b"));
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_ACCEPTED,
				 rig.now_us);
	tick(&rig, 100000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	/* The load is tried again for a while. */
	for (uint32_t i = 0; i < 2; i++) {
		bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_BUSY,
					 rig.now_us);
		tick(&rig, 60000);
		g_assert_cmpuint(rig.n_orders, ==, 3 + i);
	}
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_BUSY, rig.now_us);
	/* A report from before the unload order, then one from during it. */
	report(&rig, "t1", 0, false, &target.holdings);
	g_assert_false(bsh_holdings_has(
		bsh_planner_usable(rig.planner, "t1", NULL), hash("b"), 0));
	report(&rig, "t1", 1, true, &target.holdings);
	g_assert_false(bsh_holdings_has(
		bsh_planner_usable(rig.planner, "t1", NULL), hash("b"), 0));
	/* The target still holds the model after the order has ended. */
	report(&rig, "t1", 1, false, &target.holdings);
	g_assert_true(bsh_holdings_has(
		bsh_planner_usable(rig.planner, "t1", NULL), hash("b"), 0));
	rig_finish(&rig);
}

/* Guards against a second try of a load while another holder of the lease may have
 * given the target an order: it was named as such after the first try was sent. */
static void test_second_try_is_deferred(void)
{
	static const char *const models[] = { "a", "b", "c", NULL };
	static const char *const holds[] = { "a", "b", NULL };
	bsh_target_t target = make_target("t1", holds);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 0);
	demand(&rig, "a", NULL, 5, 0);
	tick(&rig, 1000);
	demand(&rig, "c", NULL, 1, 1);
	tick(&rig, 1000);
	tick(&rig, 50000);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_ACCEPTED,
				 rig.now_us);
	tick(&rig, 100000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	bsh_planner_defer_orders(rig.planner, bsh_target_key("t1"),
				 rig.now_us + 1000000, rig.now_us);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_BUSY, rig.now_us);
	tick(&rig, 900000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	tick(&rig, 200000);
	g_assert_cmpuint(rig.n_orders, ==, 3);
	rig_finish(&rig);
}

/* Guards against a load that goes elsewhere, or waits for a report, when the unload
 * before it waits for the last request of its model: each model of the fleet is
 * replaced once a second, and half a second of a target is lost each time. */
static void test_planned_load_waits_for_unload(void)
{
	static const char *const models[] = { "a", "b", "c", NULL };
	static const char *const holds[] = { "a", "b", NULL };
	bsh_target_t target = make_target("t1", holds);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 0);
	demand(&rig, "a", NULL, 5, 0);
	tick(&rig, 1000);
	demand(&rig, "c", NULL, 1, 1);
	tick(&rig, 1000);
	tick(&rig, 50000);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_ACCEPTED,
				 rig.now_us);
	tick(&rig, 100000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_BUSY, rig.now_us);
	tick(&rig, 10000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	tick(&rig, 50000);
	g_assert_cmpuint(rig.n_orders, ==, 3);
	g_assert_true(rig.orders[2].load);
	g_assert_cmpuint(rig.orders[2].model, ==, hash("c"));
	g_assert_cmpuint(rig.orders[2].expected, ==, 1);
	rig_finish(&rig);
}

/* Guards against a model that is loaded from a copy and is not used until a report
 * shows it, a third of the load's time later. */
static void test_load_from_copy_ends_without_report(void)
{
	static const char *const models[] = { "a", "b", NULL };
	static const char *const holds[] = { "a", NULL };
	bsh_target_t target = make_target("t1", holds);
	uint32_t reports;
	rig_t rig;

	target.copies.n_memory = 1;
	target.copies.memory[0] = hash("b");
	rig_init(&rig, models, 0);
	add_target(&rig, &target, 0);
	demand(&rig, "b", NULL, 1, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_ACCEPTED,
				 rig.now_us);
	reports = rig.n_reports;
	tick(&rig, 600000);
	g_assert_false(bsh_holdings_has(
		bsh_planner_usable(rig.planner, "t1", NULL), hash("b"), 0));
	tick(&rig, 30000);
	g_assert_true(bsh_holdings_has(
		bsh_planner_usable(rig.planner, "t1", NULL), hash("b"), 0));
	g_assert_cmpuint(rig.n_reports, ==, reports);
	rig_finish(&rig);
}

/* Loads b from a copy at t1; the known time of the load passes. */
static void load_b_from_copy(rig_t *rig, bsh_target_t *target)
{
	static const char *const models[] = { "a", "b", NULL };
	static const char *const holds[] = { "a", NULL };

	*target = make_target("t1", holds);
	target->copies.n_memory = 1;
	target->copies.memory[0] = hash("b");
	rig_init(rig, models, 0);
	add_target(rig, target, 0);
	demand(rig, "b", NULL, 1, 1);
	tick(rig, 1000);
	g_assert_cmpuint(rig->n_orders, ==, 1);
	bsh_planner_order_result(rig->planner, "t1", BSH_ORDER_ACCEPTED,
				 rig->now_us);
	tick(rig, 630000);
	g_assert_true(bsh_holdings_has(
		bsh_planner_usable(rig->planner, "t1", NULL), hash("b"), 0));
}

/* Guards against a load from a copy that the target accepted and that then failed,
 * and whose model counts as held, so that requests for it wait in vain. */
static void test_failed_load_from_copy(void)
{
	bsh_target_t target;
	uint32_t reports;
	rig_t rig;

	load_b_from_copy(&rig, &target);
	reports = rig.n_reports;
	demand(&rig, "b", NULL, 0, 1);
	tick(&rig, 200000);
	/* Requests may still be on their way. */
	g_assert_cmpuint(rig.n_reports, ==, reports);
	tick(&rig, 300000);
	g_assert_cmpuint(rig.n_reports, ==, reports + 1);
	report(&rig, "t1", 1, false, &target.holdings);
	g_assert_false(bsh_holdings_has(
		bsh_planner_usable(rig.planner, "t1", NULL), hash("b"), 0));
	g_assert_cmpuint(bsh_planner_stats(rig.planner)->failed_loads, ==, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	g_assert_cmpuint(rig.orders[1].model, ==, hash("b"));
	rig_finish(&rig);
}

/* Guards against a report for each load, also if no request waits for its model,
 * or after a report has shown that it is held. */
static void test_load_from_copy_is_verified_once(void)
{
	bsh_target_t target;
	uint32_t reports;
	rig_t rig;

	load_b_from_copy(&rig, &target);
	reports = rig.n_reports;
	demand(&rig, "b", NULL, 0, 0);
	tick(&rig, 600000);
	g_assert_cmpuint(rig.n_reports, ==, reports);
	demand(&rig, "b", NULL, 1, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_reports, ==, reports + 1);
	bsh_holdings_add(&target.holdings, hash("b"), 0);
	report(&rig, "t1", 1, false, &target.holdings);
	tick(&rig, 600000);
	g_assert_cmpuint(rig.n_reports, ==, reports + 1);
	g_assert_true(bsh_holdings_has(
		bsh_planner_usable(rig.planner, "t1", NULL), hash("b"), 0));
	rig_finish(&rig);
}

/* Guards against a different order after a lost answer: the same order must be
 * repeated with the same count until the target's count changes. */
static void test_unknown_order_is_repeated(void)
{
	static const char *const models[] = { "a", "b", "c", NULL };
	static const char *const holds[] = { "a", NULL };
	bsh_target_t target = make_target("t1", holds);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 3);
	demand(&rig, "b", NULL, 1, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_UNKNOWN,
				 rig.now_us);
	demand(&rig, "c", NULL, 9, 9);
	tick(&rig, 200000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	report(&rig, "t1", 3, false, &target.holdings);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	g_assert_cmpmem(&rig.orders[0], sizeof(rig.orders[0]), &rig.orders[1],
			sizeof(rig.orders[1]));
	/* The delayed copy was carried out: the count has changed. */
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_BUSY, rig.now_us);
	report(&rig, "t1", 4, true, &target.holdings);
	tick(&rig, 200000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	rig_finish(&rig);
}

/* Guards against more adapters than a target has slots: it accepts other orders
 * while it waits to unload an adapter that is in use. */
static void test_adapter_slot_in_use_until_unloaded(void)
{
	static const char *const models[] = { "a", NULL };
	static const char *const holds[] = { "a", NULL };
	bsh_target_t target = make_target("t1", holds);
	bsh_holdings_t full;
	rig_t rig;

	bsh_holdings_add(&target.holdings, hash("a"), hash("a1"));
	bsh_holdings_add(&target.holdings, hash("a"), hash("a2"));
	full = target.holdings;
	rig_init(&rig, models, 3);
	add_target(&rig, &target, 0);
	demand(&rig, "a", "a3", 1, 1);
	tick(&rig, 1000);
	tick(&rig, 50000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	g_assert_false(rig.orders[0].load);
	g_assert_cmpuint(rig.orders[0].adapter, !=, 0);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_ACCEPTED,
				 rig.now_us);
	tick(&rig, 400000);
	report(&rig, "t1", 1, false, &full);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	bsh_holdings_remove(&full, hash("a"), rig.orders[0].adapter);
	tick(&rig, 400000);
	report(&rig, "t1", 1, false, &full);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	g_assert_true(rig.orders[1].load);
	g_assert_cmpuint(rig.orders[1].adapter, ==, hash("a3"));
	rig_finish(&rig);
}

/* Guards against use of memory that an unanswered order from before a restart
 * may still fill. */
static void test_unacked_order_reserves_memory_after_restart(void)
{
	static const char *const models[] = { "a", "b", "c", NULL };
	static const char *const none[] = { NULL };
	bsh_target_t target = make_target("t1", none);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 0);
	demand(&rig, "a", NULL, 1, 1);
	tick(&rig, 1000);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_UNKNOWN,
				 rig.now_us);
	target.started_ms = 6;
	bsh_planner_update_target(rig.planner, &target, rig.now_us);
	for (uint64_t orders = 0; orders < 2; orders++) {
		bsh_target_report_t r = { .orders = orders, .started_ms = 6 };

		if (orders == 1)
			bsh_holdings_add(&r.holdings, hash("b"), 0);
		demand(&rig, orders == 0 ? "b" : "c", NULL, 1, 1);
		bsh_planner_report_result(rig.planner, "t1", &r, rig.now_us);
		tick(&rig, 1000);
		if (orders == 0) {
			g_assert_cmpuint(rig.n_orders, ==, 2);
			bsh_planner_order_result(rig.planner, "t1",
						 BSH_ORDER_ACCEPTED,
						 rig.now_us);
		}
	}
	tick(&rig, 1000);
	/* "b" and the reservation for "a" fill the target, so "c" cannot be
	 * loaded without an eviction. */
	for (uint32_t i = 2; i < rig.n_orders; i++)
		g_assert_false(rig.orders[i].load);
	rig_finish(&rig);
}

/* Guards against the same failure for an order that was repeated and carried
 * out: its first copy may arrive after the target has restarted. */
static void test_unacked_copy_reserves_memory_after_restart(void)
{
	static const char *const models[] = { "a", "b", "c", NULL };
	static const char *const none[] = { NULL };
	bsh_target_t target = make_target("t1", none);
	bsh_target_report_t empty = { .started_ms = 6 };
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 0);
	demand(&rig, "a", NULL, 1, 1);
	tick(&rig, 1000);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_UNKNOWN,
				 rig.now_us);
	report(&rig, "t1", 0, false, &target.holdings);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_ACCEPTED,
				 rig.now_us);
	bsh_holdings_add(&target.holdings, hash("a"), 0);
	bsh_planner_update_target(rig.planner, &target, rig.now_us);
	target = make_target("t1", none);
	target.started_ms = 6;
	bsh_planner_update_target(rig.planner, &target, rig.now_us);
	bsh_planner_report_result(rig.planner, "t1", &empty, rig.now_us);
	demand(&rig, "b", NULL, 1, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 3);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_ACCEPTED,
				 rig.now_us);
	bsh_holdings_add(&target.holdings, hash("b"), 0);
	bsh_planner_update_target(rig.planner, &target, rig.now_us);
	demand(&rig, "c", NULL, 1, 1);
	tick(&rig, 1000);
	tick(&rig, 100000);
	for (uint32_t i = 3; i < rig.n_orders; i++)
		g_assert_false(rig.orders[i].load);
	rig_finish(&rig);
}

/* Guards against a load from the weight store while a free target has a copy of
 * the model on its disk. */
static void test_copy_on_disk_is_preferred(void)
{
	static const char *const models[] = { "a", "b", NULL };
	static const char *const none[] = { NULL };
	bsh_target_t first = make_target("t1", none);
	bsh_target_t second = make_target("t2", none);
	rig_t rig;

	second.copies.n_disk = 1;
	second.copies.disk[0] = hash("a");
	rig_init(&rig, models, 0);
	add_target(&rig, &first, 0);
	add_target(&rig, &second, 0);
	demand(&rig, "a", NULL, 1, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	g_assert_cmpstr(rig.order_target[0], ==, "t2");
	rig_finish(&rig);
}

/* Guards against too many concurrent loads from the weight store, each of which
 * slows the others, when many rare models are requested at once. */
static void test_store_limits_concurrent_loads(void)
{
	static const char *const models[] = { "a", "b", "c", "d", NULL };
	static const char *const none[] = { NULL };
	rig_t rig;

	rig_init(&rig, models, 0);
	for (int i = 0; i < 4; i++) {
		g_autofree char *id = g_strdup_printf("t%d", i);
		bsh_target_t target = make_target(id, none);
		bsh_demand_entry_t entries[4];

		add_target(&rig, &target, 0);
		for (int m = 0; m < 4; m++)
			entries[m] =
				(bsh_demand_entry_t){ .model = hash(models[m]),
						      .waiting = 1 };
		bsh_planner_update_demand(rig.planner, "entry-1", entries, 4,
					  rig.now_us);
	}
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	g_assert_cmpuint(rig.orders[0].model, !=, rig.orders[1].model);
	rig_finish(&rig);
}

#define CROWDED_TARGETS 12

/* Guards against more loads from the weight store at once than allowed when
 * requests for many models wait and each load has to evict a model first, as
 * after some seconds without a lease holder: each load then takes as long as all
 * of them, and its target can do nothing else. */
static void test_store_limits_loads_after_evictions(void)
{
	const char *models[2 * CROWDED_TARGETS + 3] = { "a", "b" };
	static const char *const holds[] = { "a", "b", NULL };
	bsh_demand_entry_t entries[2 * CROWDED_TARGETS];
	uint32_t loads = 0;
	rig_t rig;

	for (uint32_t m = 0; m < 2 * CROWDED_TARGETS; m++)
		models[m + 2] = g_strdup_printf("rare-%u", m);
	rig_init(&rig, models, 0);
	for (uint32_t i = 0; i < CROWDED_TARGETS; i++) {
		g_autofree char *id = g_strdup_printf("t%u", i);
		bsh_target_t target = make_target(id, holds);

		add_target(&rig, &target, 0);
	}
	for (uint32_t m = 0; m < 2 * CROWDED_TARGETS; m++)
		entries[m] = (bsh_demand_entry_t){ .model = hash(models[m + 2]),
						   .waiting = 3 };
	bsh_planner_update_demand(rig.planner, "entry-1", entries,
				  2 * CROWDED_TARGETS, rig.now_us);
	for (uint32_t answered = 0, i = 0; i < 10; i++) {
		tick(&rig, 50000);
		for (; answered < rig.n_orders; answered++) {
			loads += rig.orders[answered].load;
			bsh_planner_order_result(
				rig.planner, rig.order_target[answered],
				BSH_ORDER_ACCEPTED, rig.now_us);
		}
	}
	g_assert_cmpuint(loads, ==, 2);
	rig_finish(&rig);
	for (uint32_t m = 0; m < 2 * CROWDED_TARGETS; m++)
		g_free((char *)models[m + 2]);
}

/* Guards against a load limit that stays too high for a slow weight store: the
 * estimates would make clients wait for models that load too late. */
static void test_slow_store_lowers_concurrency(void)
{
	static const char *const models[] = { "a", "b", "c", "d", NULL };
	static const char *const none[] = { NULL };
	static const char *const first[] = { "a", NULL };
	bsh_target_t done;
	rig_t rig;

	rig_init(&rig, models, 0);
	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("t%d", i);
		bsh_target_t target = make_target(id, none);

		add_target(&rig, &target, 0);
	}
	demand(&rig, "a", NULL, 1, 1);
	tick(&rig, 1000);
	demand(&rig, "b", NULL, 1, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	for (int i = 0; i < 2; i++)
		bsh_planner_order_result(rig.planner, rig.order_target[i],
					 BSH_ORDER_ACCEPTED, rig.now_us);
	/* Both loads have exceeded their expected duration. */
	tick(&rig, 9000000);
	done = make_target(rig.order_target[0], first);
	bsh_planner_update_target(rig.planner, &done, rig.now_us);
	/* One load still runs: the next has to wait. */
	demand(&rig, "c", NULL, 1, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	rig_finish(&rig);
}

/* Guards against a new holder that announces holdings from an earlier term.
 * They are unknown until the target has reported in this term. */
static void test_new_term_discards_holdings(void)
{
	static const char *const models[] = { "a", "b", NULL };
	static const char *const first[] = { "a", NULL };
	static const char *const later[] = { "b", NULL };
	bsh_target_t target = make_target("t1", first);
	const bsh_holdings_t *usable;
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 0);
	g_assert_nonnull(bsh_planner_usable(rig.planner, "t1", NULL));
	bsh_planner_begin_term(rig.planner);
	g_assert_null(bsh_planner_usable(rig.planner, "t1", NULL));
	target = make_target("t1", later);
	report(&rig, "t1", 4, false, &target.holdings);
	usable = bsh_planner_usable(rig.planner, "t1", NULL);
	g_assert_nonnull(usable);
	g_assert_false(bsh_holdings_has(usable, hash("a"), 0));
	g_assert_true(bsh_holdings_has(usable, hash("b"), 0));
	rig_finish(&rig);
}

/* Guards against a report from before the end of a load that arrives after the
 * list entry with the loaded model, so that the target appears to have room. */
static void test_stale_report_is_ignored(void)
{
	static const char *const models[] = { "a", "b", "c", NULL };
	static const char *const holds[] = { "a", NULL };
	bsh_target_t target = make_target("t1", holds);
	bsh_holdings_t before = target.holdings;
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 0);
	demand(&rig, "b", NULL, 1, 1);
	tick(&rig, 1000);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_ACCEPTED,
				 rig.now_us);
	demand(&rig, "b", NULL, 9, 0);
	tick(&rig, 6500000);
	g_assert_cmpuint(rig.n_reports, ==, 1);
	bsh_holdings_add(&target.holdings, hash("b"), 0);
	bsh_planner_update_target(rig.planner, &target, rig.now_us);
	report(&rig, "t1", 1, false, &before);
	demand(&rig, "c", NULL, 1, 1);
	tick(&rig, 1000);
	tick(&rig, 100000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	g_assert_false(rig.orders[1].load);
	rig_finish(&rig);
}

static void store_estimate(void *ctx, const bsh_ready_entry_t *entry)
{
	uint32_t *ready_in_ms = ctx;

	*ready_in_ms = entry->ready_in_ms;
}

static uint32_t estimate(rig_t *rig)
{
	uint32_t ready_in_ms = UINT32_MAX;

	bsh_planner_estimate_ready(rig->planner, rig->now_us, store_estimate,
				   &ready_in_ms);
	return ready_in_ms;
}

/* Guards against a load that is treated as overdue before its expected end, so
 * that requests are refused shortly before the model is ready, and against an
 * overdue load that is always expected to end immediately. */
static void test_estimate_near_end_of_load(void)
{
	static const char *const models[] = { "a", "b", NULL };
	static const char *const holds[] = { "a", NULL };
	bsh_target_t target = make_target("t1", holds);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 0);
	demand(&rig, "b", NULL, 1, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_ACCEPTED,
				 rig.now_us);
	rig.now_us += 5500000;
	demand(&rig, "b", NULL, 1, 1);
	g_assert_cmpuint(estimate(&rig), >=, 500);
	g_assert_cmpuint(estimate(&rig), <=, 900);
	rig.now_us += 2500000;
	demand(&rig, "b", NULL, 1, 1);
	g_assert_cmpuint(estimate(&rig), >=, 1500);
	rig_finish(&rig);
}

/* Guards against models that nobody asks for, which take the store's time just
 * after a change of the lease holder or the begin of the traffic, when few
 * requests are known yet, from those that are asked for a moment later. */
static void test_unasked_models_wait_for_demand(void)
{
	static const char *const models[] = { "m0", "m1", "m2", "m3", NULL };
	static const char *const holds[] = { "m0", NULL };
	bsh_target_t a = make_target("a", holds);
	rig_t rig;

	rig_init_seeding(&rig, models, 0, 1);
	bsh_planner_begin_term(rig.planner);
	add_target(&rig, &a, 0);
	tick(&rig, 50000);
	tick(&rig, 200000);
	g_assert_cmpuint(rig.n_orders, ==, 0);
	demand(&rig, "m0", NULL, 40, 0);
	for (int i = 0; i < 40; i++) {
		demand(&rig, "m0", NULL, 5, 0);
		tick(&rig, 100000);
		g_assert_cmpuint(rig.n_orders, ==, 0);
	}
	demand(&rig, "m3", NULL, 1, 0);
	tick(&rig, 50000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	g_assert_true(rig.orders[0].load);
	g_assert_cmpuint(rig.orders[0].model, ==, hash("m3"));
	rig_finish(&rig);
}

/* Guards against models that are never loaded although they are asked for: the
 * store's time goes to models that nobody asks for, which come earlier in the
 * list, while requests are refused because a load would take too long. */
static void test_asked_models_are_seeded_first(void)
{
	static const char *const models[] = { "m0", "m1", "m2", "m3", NULL };
	static const char *const full[] = { "m0", "m1", NULL };
	bsh_target_t a = make_target("a", full);
	rig_t rig;

	rig_init_seeding(&rig, models, 0, 1);
	add_target(&rig, &a, 0);
	demand(&rig, "m3", NULL, 1, 0);
	/* The rate is by now too low for an eviction on its account. */
	tick(&rig, 60000000);
	tick(&rig, 50000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	g_assert_false(rig.orders[0].load);
	bsh_planner_order_result(rig.planner, "a", BSH_ORDER_ACCEPTED,
				 rig.now_us);
	tick(&rig, 50000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	g_assert_true(rig.orders[1].load);
	g_assert_cmpuint(rig.orders[1].model, ==, hash("m3"));
	rig_finish(&rig);
}

static void add_disk_copy(bsh_target_t *target, const char *model)
{
	target->copies.disk[target->copies.n_disk++] = hash(model);
}

/* Guards against a waiting request that an unload delays, because the evicted
 * model's requests still run, while another target has idle models. */
static void test_idle_models_are_evicted_first(void)
{
	static const char *const models[] = {
		"m0", "m1", "m2", "m3", "n", NULL
	};
	static const char *const busy[] = { "m0", "m1", NULL };
	static const char *const idle[] = { "m2", "m3", NULL };
	bsh_demand_entry_t entries[] = {
		{ .model = hash("m0"), .running = 3 },
		{ .model = hash("m1"), .running = 3 },
		{ .model = hash("n"), .waiting = 1, .max_wait_left_ms = 9000 },
	};
	const bsh_load_entry_t load = { bsh_target_key("a"), .running = 6 };
	bsh_target_t a = make_target("a", busy);
	bsh_target_t b = make_target("b", idle);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_disk_copy(&a, "n");
	add_disk_copy(&b, "n");
	add_target(&rig, &a, 0);
	add_target(&rig, &b, 0);
	bsh_planner_update_demand(rig.planner, "entry-1", entries,
				  G_N_ELEMENTS(entries), rig.now_us);
	bsh_planner_update_loads(rig.planner, &load, 1);
	tick(&rig, 1000);
	tick(&rig, 50000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	g_assert_cmpstr(rig.order_target[0], ==, "b");
	rig_finish(&rig);
}

/* Guards against a model that nobody serves for many seconds: the target that
 * was to load it is busy with an unload that waits for running requests, while
 * another target could load it. */
static void test_busy_target_does_not_hold_a_load(void)
{
	static const char *const models[] = {
		"m0", "m1", "m2", "m3", "n", NULL
	};
	static const char *const first[] = { "m0", "m1", NULL };
	static const char *const second[] = { "m2", "m3", NULL };
	bsh_target_t a = make_target("a", first);
	bsh_target_t b = make_target("b", second);
	const char *busy;
	rig_t rig;

	rig_init(&rig, models, 0);
	add_disk_copy(&a, "n");
	add_disk_copy(&b, "n");
	add_target(&rig, &a, 0);
	add_target(&rig, &b, 0);
	demand(&rig, "n", NULL, 0, 1);
	tick(&rig, 1000);
	tick(&rig, 50000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	busy = rig.order_target[0];
	bsh_planner_order_result(rig.planner, busy, BSH_ORDER_ACCEPTED,
				 rig.now_us);
	tick(&rig, 50000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	g_assert_true(rig.orders[1].load);
	/* Two more tries take less time than an unload elsewhere. */
	for (uint32_t i = 0; i < 2; i++) {
		bsh_planner_order_result(rig.planner, busy, BSH_ORDER_BUSY,
					 rig.now_us);
		tick(&rig, 60000);
		g_assert_cmpuint(rig.n_orders, ==, 3 + i);
		g_assert_cmpstr(rig.order_target[2 + i], ==, busy);
	}
	bsh_planner_order_result(rig.planner, busy, BSH_ORDER_BUSY, rig.now_us);
	demand(&rig, "n", NULL, 0, 1);
	tick(&rig, 50000);
	tick(&rig, 50000);
	g_assert_cmpuint(rig.n_orders, ==, 5);
	g_assert_cmpstr(rig.order_target[4], !=, busy);
	rig_finish(&rig);
}

/* Guards against requests for a model that all instances keep sending to a
 * target whose process has ended, and that no other target loads, until the
 * platform's list shows it some seconds later. */
static void test_unreachable_target_is_withdrawn(void)
{
	static const char *const models[] = { "n", "m1", NULL };
	static const char *const first[] = { "n", NULL };
	static const char *const second[] = { "m1", NULL };
	const bsh_target_report_t other = { .started_ms = 6 };
	bsh_target_t a = make_target("a", first);
	bsh_target_t b = make_target("b", second);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_disk_copy(&b, "n");
	add_target(&rig, &a, 0);
	add_target(&rig, &b, 0);
	rig.n_reports = 0;
	bsh_planner_check_target(rig.planner, bsh_target_key("a"), rig.now_us);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_reports, ==, 1);
	/* It answers: the one instance that could not connect is cut off. */
	report(&rig, "a", 0, false, &a.holdings);
	g_assert_cmpuint(bsh_planner_usable(rig.planner, "a", NULL)->n, ==, 1);
	/* Another process answers, which the list does not show yet. */
	bsh_planner_check_target(rig.planner, bsh_target_key("a"), rig.now_us);
	tick(&rig, 1000);
	bsh_planner_report_result(rig.planner, "a", &other, rig.now_us);
	g_assert_cmpuint(bsh_planner_usable(rig.planner, "a", NULL)->n, ==, 0);
	tick(&rig, 400000);
	report(&rig, "a", 0, false, &a.holdings);
	g_assert_cmpuint(bsh_planner_usable(rig.planner, "a", NULL)->n, ==, 1);
	rig.n_reports = 1;

	bsh_planner_check_target(rig.planner, bsh_target_key("a"), rig.now_us);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_reports, ==, 2);
	bsh_planner_report_result(rig.planner, "a", NULL, rig.now_us);
	g_assert_cmpuint(bsh_planner_usable(rig.planner, "a", NULL)->n, ==, 0);
	demand(&rig, "n", NULL, 0, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	g_assert_cmpstr(rig.order_target[0], ==, "b");
	rig_finish(&rig);
}

/* Guards against an order to a target within a lease time of the order of another
 * holder that was known by the target's key only: to a target that is learned of
 * later, and after an order of this instance that was not sent. */
static void test_deferred_by_key(void)
{
	static const char *const models[] = { "a", "b", NULL };
	static const char *const holds[] = { "a", NULL };
	bsh_target_t target = make_target("t1", holds);
	const int64_t gap_us = 3400000;
	rig_t rig;

	for (int late = 0; late < 2; late++) {
		rig_init(&rig, models, 0);
		if (!late) {
			add_target(&rig, &target, 0);
			demand(&rig, "b", NULL, 1, 1);
			tick(&rig, 1000);
			g_assert_cmpuint(rig.n_orders, ==, 1);
		}
		bsh_planner_defer_orders(rig.planner, bsh_target_key("t1"),
					 rig.now_us + gap_us, rig.now_us);
		/* A repeated list may be a little older. */
		bsh_planner_defer_orders(rig.planner, bsh_target_key("t1"),
					 rig.now_us + gap_us / 2, rig.now_us);
		if (late)
			add_target(&rig, &target, 0);
		else
			bsh_planner_order_result(rig.planner, "t1",
						 BSH_ORDER_NOT_SENT,
						 rig.now_us);
		rig.n_orders = 0;
		for (int64_t us = 0; us < gap_us; us += 100000) {
			g_assert_cmpuint(rig.n_orders, ==, 0);
			demand(&rig, "b", NULL, 1, 1);
			report(&rig, "t1", 0, false, &target.holdings);
			tick(&rig, 100000);
			rig.n_reports = 0;
		}
		g_assert_cmpuint(rig.n_orders, ==, 1);
		rig_finish(&rig);
	}
}

#define MANY_MODELS  600U
#define MANY_TARGETS 120U
#define MANY_COPIES  100U /* on the disk of each target */

static int64_t thread_time_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return now.tv_sec * INT64_C(1000000) + now.tv_nsec / 1000;
}

static void add_many_targets(rig_t *rig, const char *const *models)
{
	for (uint32_t i = 0; i < MANY_TARGETS; i++) {
		const char *holds[] = { models[(2 * i) % MANY_MODELS],
					models[(2 * i + 1) % MANY_MODELS],
					NULL };
		g_autofree char *id = g_strdup_printf("t%u", i);
		bsh_target_t target = make_target(id, holds);

		for (uint32_t j = 0; j < MANY_COPIES; j++)
			target.copies.disk[target.copies.n_disk++] =
				hash(models[(7 * i + j) % MANY_MODELS]);
		add_target(rig, &target, 0);
	}
}

static void demand_many(rig_t *rig, const char *const *models)
{
	bsh_demand_entry_t entries[MANY_MODELS / 2];

	for (uint32_t i = 0; i < G_N_ELEMENTS(entries); i++)
		entries[i] = (bsh_demand_entry_t){ .model = hash(models[2 * i]),
						   .arrived = 1 + i % 5,
						   .waiting = i % 3 == 0,
						   .max_wait_left_ms = 9000 };
	bsh_planner_update_demand(rig->planner, "entry-1", entries,
				  G_N_ELEMENTS(entries), rig->now_us);
}

/* Guards against orders that are late because the planner uses up the processor
 * of a small instance: many models, many of them asked for at once, on many
 * targets.  Of the 6 ms in 50 ms that an instance with 0.12 of a processor has,
 * the planner may use a quarter. */
static void test_many_models_on_small_instance(void)
{
	const char *models[MANY_MODELS + 1] = { NULL };
	int64_t least_us = INT64_MAX;
	rig_t rig;

	for (uint32_t i = 0; i < MANY_MODELS; i++)
		models[i] = g_strdup_printf("m%u", i);
	rig_init(&rig, models, 2);
	rig.drops_orders = true;
	add_many_targets(&rig, models);
	for (int i = 0; i < 10; i++) {
		int64_t began_us;

		demand_many(&rig, models);
		began_us = thread_time_us();
		tick(&rig, 50000);
		least_us = MIN(least_us, thread_time_us() - began_us);
	}
	g_test_message("a tick takes %d us", (int)least_us);
	g_assert_cmpint(least_us, <, 1500);
	rig_finish(&rig);
	for (uint32_t i = 0; i < MANY_MODELS; i++)
		g_free((char *)models[i]);
}

/* Guards against orders of a service that has left the configuration, and
 * against a planner that forgets an unanswered order while it is away. */
static void test_service_leaves(void)
{
	static const char *const models[] = { "a", "b", "c", NULL };
	static const char *const holds[] = { "a", NULL };
	bsh_target_t target = make_target("t1", holds);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 3);
	demand(&rig, "b", NULL, 1, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	bsh_planner_end_service(rig.planner);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_UNKNOWN,
				 rig.now_us);
	demand(&rig, "c", NULL, 9, 9);
	tick(&rig, 500000);
	report(&rig, "t1", 3, false, &target.holdings);
	tick(&rig, 500000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	/* The model that the order loaded before it was known to have failed
	 * is not wanted by the new configuration either. */
	configure(&rig, models + 1, 0);
	demand(&rig, "c", NULL, 9, 9);
	tick(&rig, 500000);
	report(&rig, "t1", 3, false, &target.holdings);
	tick(&rig, 500000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	g_assert_true(rig.orders[1].load);
	g_assert_cmpuint(rig.orders[1].model, ==, hash("c"));
	g_assert_cmpuint(rig.orders[1].expected, ==, 3);
	rig_finish(&rig);
}

/* Guards against a load of a model that has left the configuration, repeated as
 * its answer was lost, and against a target that gets no orders any more because
 * it holds such a model. */
static void test_model_leaves(void)
{
	static const char *const models[] = { "a", "b", "c", NULL };
	static const char *const rest[] = { "c", NULL };
	static const char *const holds[] = { "a", "b", NULL };
	bsh_target_t target = make_target("t1", holds);
	bsh_target_t other = make_target("t2", holds + 1);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &other, 5);
	demand(&rig, "a", NULL, 1, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	g_assert_cmpuint(rig.orders[0].model, ==, hash("a"));
	bsh_planner_order_result(rig.planner, "t2", BSH_ORDER_UNKNOWN,
				 rig.now_us);
	add_target(&rig, &target, 3);
	configure(&rig, rest, 0);
	g_assert_nonnull(bsh_planner_model(rig.planner, hash("a")));
	report(&rig, "t2", 5, false, &other.holdings);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	bsh_planner_remove_target(rig.planner, "t2", rig.now_us);
	demand(&rig, "c", NULL, 1, 1);
	tick(&rig, 1000);
	tick(&rig, 50000);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	g_assert_false(rig.orders[1].load);
	g_assert_cmpuint(rig.orders[1].model, !=, hash("c"));
	rig_finish(&rig);
}

/* Guards against an order for a whole model in place of an adapter that has left
 * the configuration, and against a load of such an adapter. */
static void test_adapter_leaves(void)
{
	static const char *const models[] = { "a", NULL };
	bsh_target_t target = make_target("t1", models);
	char name[BSH_ADAPTER_NAME_SIZE];
	rig_t rig;

	bsh_holdings_add(&target.holdings, hash("a"), hash("a3"));
	rig_init(&rig, models, 3);
	add_target(&rig, &target, 3);
	configure(&rig, models, 1);
	g_assert_true(bsh_planner_adapter_name(rig.planner, hash("a"),
					       hash("a3"), name));
	g_assert_cmpstr(name, ==, "a3");
	g_assert_false(bsh_planner_adapter_name(rig.planner, hash("a"),
						hash("a9"), name));
	demand(&rig, "a", "a2", 1, 1);
	tick(&rig, 1000);
	for (uint32_t i = 0; i < rig.n_orders; i++)
		g_assert_cmpuint(rig.orders[i].adapter, !=, hash("a2"));
	rig_finish(&rig);
}

/* Guards against a target that waits for the result of an order that could not
 * be sent. */
static void test_order_not_sent(void)
{
	static const char *const models[] = { "a", "b", NULL };
	static const char *const holds[] = { "a", NULL };
	bsh_target_t target = make_target("t1", holds);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 3);
	rig.cannot_send = true;
	demand(&rig, "b", NULL, 1, 1);
	tick(&rig, 1000);
	rig.cannot_send = false;
	tick(&rig, 1000000);
	report(&rig, "t1", 3, false, &target.holdings);
	demand(&rig, "b", NULL, 1, 1);
	tick(&rig, 1000000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	rig_finish(&rig);
}

/* Guards against a target that is overloaded by a late order of before its crash,
 * as its reservation was forgotten while it was not in the list. */
static void test_reservation_outlives_entry(void)
{
	static const char *const models[] = { "a", "b", "c", NULL };
	static const char *const none[] = { NULL };
	bsh_target_t target = make_target("t1", none);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 0);
	demand(&rig, "a", NULL, 1, 1);
	tick(&rig, 1000);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	bsh_planner_remove_target(rig.planner, "t1", rig.now_us);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_UNKNOWN,
				 rig.now_us);
	tick(&rig, 4 * 1000000);
	target.started_ms = 6;
	bsh_planner_update_target(rig.planner, &target, rig.now_us);
	for (uint64_t orders = 0; orders < 2; orders++) {
		bsh_target_report_t r = { .orders = orders, .started_ms = 6 };

		if (orders == 1)
			bsh_holdings_add(&r.holdings, hash("b"), 0);
		demand(&rig, orders == 0 ? "b" : "c", NULL, 1, 1);
		bsh_planner_report_result(rig.planner, "t1", &r, rig.now_us);
		tick(&rig, 1000);
		if (orders == 0)
			bsh_planner_order_result(rig.planner, "t1",
						 BSH_ORDER_ACCEPTED,
						 rig.now_us);
	}
	g_assert_cmpuint(rig.n_orders, >=, 2);
	for (uint32_t i = 2; i < rig.n_orders; i++)
		g_assert_false(rig.orders[i].load);
	rig_finish(&rig);
}

/* Guards against a holder that repeats an unanswered order after it has released
 * the lease, and against one that forgets the order while it may not send. */
static void test_repeated_order_not_sent(void)
{
	static const char *const models[] = { "a", "b", NULL };
	static const char *const holds[] = { "a", NULL };
	bsh_target_t target = make_target("t1", holds);
	rig_t rig;

	rig_init(&rig, models, 0);
	add_target(&rig, &target, 3);
	demand(&rig, "b", NULL, 1, 1);
	tick(&rig, 1000);
	bsh_planner_order_result(rig.planner, "t1", BSH_ORDER_UNKNOWN,
				 rig.now_us);
	rig.cannot_send = true;
	tick(&rig, 200000);
	report(&rig, "t1", 3, false, &target.holdings);
	g_assert_cmpuint(rig.n_orders, ==, 1);
	rig.cannot_send = false;
	tick(&rig, 400000);
	report(&rig, "t1", 3, false, &target.holdings);
	g_assert_cmpuint(rig.n_orders, ==, 2);
	g_assert_cmpmem(&rig.orders[0], sizeof(rig.orders[0]), &rig.orders[1],
			sizeof(rig.orders[1]));
	rig_finish(&rig);
}

/* Random configurations beside orders that are lost, late or unanswered. */

#define WALK_TARGETS	  3
#define WALK_MODELS	  6
#define WALK_ADAPTERS_MAX 3
#define WALK_STEP_US	  INT64_C(50000)
#define WALK_US		  INT64_C(60000000)
#define WALK_SEEDS	  200
#define WALK_EVENTS_MAX	  4096
#define WALK_LATE_MAX_MS  4000

typedef struct {
	bsh_target_t entry;
	uint64_t orders;
	bsh_holdings_t held;
	int64_t busy_until_us;
} walk_target_t;

typedef enum {
	WALK_ORDER,
	WALK_RESULT,
	WALK_REPORT
} walk_event_kind_t;

typedef struct {
	int64_t at_us;
	walk_event_kind_t kind;
	int target;
	bsh_order_t order;
	bsh_order_result_t result;
	bool answers;
} walk_event_t;

typedef struct {
	bsh_rng_t rng;
	bsh_planner_t *planner;
	bsh_catalog_t *catalog;
	int64_t now_us;
	bool listed;
	bool has_model[WALK_MODELS];
	uint32_t adapters[WALK_MODELS];
	walk_target_t targets[WALK_TARGETS];
	walk_event_t events[WALK_EVENTS_MAX];
	int n_events;
	uint64_t orders;
	uint64_t former_unloads; /* of models that had left */
} walk_t;

static walk_target_t *walk_find(walk_t *walk, const char *id)
{
	return &walk->targets[id[1] - '0'];
}

static int walk_model(uint32_t model)
{
	for (int i = 0; i < WALK_MODELS; i++)
		if (model == hash((char[]){ 'm', (char)('0' + i), 0 }))
			return i;
	g_assert_not_reached();
}

static void walk_add_event(walk_t *walk, walk_event_t event, int64_t delay_us)
{
	g_assert_cmpint(walk->n_events, <, WALK_EVENTS_MAX);
	event.at_us = walk->now_us + delay_us;
	walk->events[walk->n_events++] = event;
}

static bool walk_on_order(void *ctx, const bsh_target_t *target,
			  const bsh_order_t *order)
{
	walk_t *walk = ctx;
	walk_event_t event = { .kind = WALK_ORDER,
			       .target = target->id[1] - '0',
			       .order = *order,
			       .answers = bsh_rng_below(&walk->rng, 4) > 0 };
	int model = walk_model(order->model);
	char name[BSH_ADAPTER_NAME_SIZE];

	g_assert_true(walk->listed);
	g_assert_nonnull(bsh_planner_model(walk->planner, order->model));
	if (order->adapter != 0)
		g_assert_true(bsh_planner_adapter_name(
			walk->planner, order->model, order->adapter, name));
	if (order->load) {
		g_assert_true(walk->has_model[model]);
		if (order->adapter != 0)
			g_assert_cmpuint(
				bsh_adapter_number(order->adapter,
						   walk->adapters[model]),
				!=, 0);
	}
	if (bsh_rng_below(&walk->rng, 12) == 0)
		return false;
	walk->orders++;
	walk->former_unloads += !order->load && !walk->has_model[model];
	if (bsh_rng_below(&walk->rng, 10) > 0)
		walk_add_event(
			walk, event,
			1000 * bsh_rng_below(&walk->rng,
					     event.answers ? 20
							   : WALK_LATE_MAX_MS));
	if (!event.answers || bsh_rng_below(&walk->rng, 10) == 0) {
		event.kind = WALK_RESULT;
		event.result = BSH_ORDER_UNKNOWN;
		walk_add_event(walk, event, 300000);
	}
	return true;
}

static void walk_on_report(void *ctx, const bsh_target_t *target)
{
	walk_t *walk = ctx;

	walk_add_event(walk,
		       (walk_event_t){ .kind = WALK_REPORT,
				       .target = target->id[1] - '0' },
		       1000 * bsh_rng_below(&walk->rng, 100));
}

/* The target carries out the order, or refuses it by its number. */
static bsh_order_result_t walk_carry_out(walk_t *walk, walk_target_t *t,
					 const bsh_order_t *order)
{
	uint32_t used = 0;

	if (order->expected != t->orders || walk->now_us < t->busy_until_us)
		return BSH_ORDER_BUSY;
	t->orders++;
	if (!order->load && order->adapter != 0) {
		bsh_holdings_remove(&t->held, order->model, order->adapter);
		return BSH_ORDER_ACCEPTED;
	}
	if (!order->load) {
		for (uint32_t n = 1; n <= WALK_ADAPTERS_MAX; n++)
			bsh_holdings_remove(&t->held, order->model,
					    bsh_adapter_hash(n));
		bsh_holdings_remove(&t->held, order->model, 0);
		return BSH_ORDER_ACCEPTED;
	}
	if (order->adapter != 0 && !bsh_holdings_has(&t->held, order->model, 0))
		return BSH_ORDER_ACCEPTED;
	bsh_holdings_add(&t->held, order->model, order->adapter);
	for (uint32_t i = 0; i < t->held.n; i++)
		used += t->held.items[i].adapter != 0 ? MB_ADAPTER : MB_MODEL;
	g_assert_cmpuint(used, <=, 2 * MB_MODEL + 4 * MB_ADAPTER);
	t->busy_until_us =
		walk->now_us + (order->adapter != 0 ? 10000 : 600000);
	return BSH_ORDER_ACCEPTED;
}

static void walk_handle(walk_t *walk, const walk_event_t *event)
{
	walk_target_t *t = &walk->targets[event->target];
	bsh_target_report_t r = { .busy = walk->now_us < t->busy_until_us,
				  .orders = t->orders,
				  .started_ms = t->entry.started_ms,
				  .holdings = t->held };
	bsh_order_result_t result = event->result;

	if (event->kind == WALK_REPORT) {
		bsh_planner_report_result(
			walk->planner, t->entry.id,
			bsh_rng_below(&walk->rng, 6) > 0 ? &r : NULL,
			walk->now_us);
		return;
	}
	if (event->kind == WALK_ORDER) {
		result = walk_carry_out(walk, t, &event->order);
		if (!event->answers)
			return;
	}
	bsh_planner_order_result(walk->planner, t->entry.id, result,
				 walk->now_us);
}

static void walk_deliver(walk_t *walk)
{
	for (int i = 0; i < walk->n_events; i++) {
		walk_event_t event = walk->events[i];

		if (event.at_us > walk->now_us)
			continue;
		walk->events[i--] = walk->events[--walk->n_events];
		walk_handle(walk, &event);
	}
}

static void walk_configure(walk_t *walk)
{
	bsh_catalog_t *catalog;
	bsh_service_rule_t *service;

	if (bsh_rng_below(&walk->rng, 5) == 0) {
		bsh_planner_end_service(walk->planner);
		walk->listed = false;
		return;
	}
	catalog = bsh_catalog_new();
	service = add_service(catalog);
	for (int i = 0; i < WALK_MODELS; i++) {
		walk->has_model[i] = bsh_rng_below(&walk->rng, 3) > 0;
		walk->adapters[i] =
			bsh_rng_below(&walk->rng, WALK_ADAPTERS_MAX + 1);
		if (walk->has_model[i])
			add_model(service, (char[]){ 'm', (char)('0' + i), 0 },
				  walk->adapters[i]);
	}
	bsh_catalog_build_index(catalog);
	walk->listed = true;
	bsh_planner_set_service(walk->planner, catalog, service);
	bsh_catalog_unref(walk->catalog);
	walk->catalog = catalog;
}

/* The target's entry shows what it holds; it may have been started again. */
static void walk_update_target(walk_t *walk, bool restarts)
{
	walk_target_t *t =
		&walk->targets[bsh_rng_below(&walk->rng, WALK_TARGETS)];

	if (restarts) {
		t->entry.started_ms++;
		t->orders = 0;
		t->held.n = 0;
		t->busy_until_us = 0;
	}
	t->entry.holdings = t->held;
	if (bsh_rng_below(&walk->rng, 10) == 0)
		bsh_planner_remove_target(walk->planner, t->entry.id,
					  walk->now_us);
	else
		bsh_planner_update_target(walk->planner, &t->entry,
					  walk->now_us);
}

static void walk_demand(walk_t *walk)
{
	bsh_demand_entry_t entries[2] = { 0 };

	for (int i = 0; i < 2; i++) {
		uint32_t number = bsh_rng_below(&walk->rng, 5);

		entries[i].model = hash((char[]){
			'm',
			(char)('0' + bsh_rng_below(&walk->rng, WALK_MODELS)),
			0 });
		if (number > 0)
			entries[i].adapter = bsh_adapter_hash(number);
		entries[i].arrived = 2;
		entries[i].waiting = 1;
		entries[i].max_wait_left_ms = 9000;
	}
	bsh_planner_update_demand(walk->planner, "entry-1", entries, 2,
				  walk->now_us);
}

static void walk_run(walk_t *walk, uint32_t seed)
{
	static const bsh_planner_ops_t ops = { walk_on_order, walk_on_report,
					       on_placed, NULL };
	const bsh_planner_config_t config = { .concurrent_loads = 2,
					      .seed_loads = 1 };

	memset(walk, 0, sizeof(*walk));
	bsh_rng_init(&walk->rng, seed);
	walk->planner = bsh_planner_new(&config, &ops, walk);
	walk->now_us = 1000000;
	for (int i = 0; i < WALK_TARGETS; i++) {
		walk->targets[i].entry =
			make_target((char[]){ 't', (char)('0' + i), 0 },
				    (const char *const[]){ NULL });
		bsh_planner_update_target(
			walk->planner,
			&walk_find(walk, (char[]){ 't', (char)('0' + i), 0 })
				 ->entry,
			walk->now_us);
	}
	for (; walk->now_us < WALK_US; walk->now_us += WALK_STEP_US) {
		if (bsh_rng_below(&walk->rng, 20) == 0)
			walk_configure(walk);
		if (bsh_rng_below(&walk->rng, 3) == 0)
			walk_update_target(walk,
					   bsh_rng_below(&walk->rng, 40) == 0);
		if (bsh_rng_below(&walk->rng, 200) == 0)
			bsh_planner_begin_term(walk->planner);
		if (bsh_rng_below(&walk->rng, 4) == 0)
			walk_demand(walk);
		walk_deliver(walk);
		bsh_planner_tick(walk->planner, walk->now_us);
	}
	bsh_planner_free(walk->planner);
	bsh_catalog_unref(walk->catalog);
	bsh_rng_finish(&walk->rng);
}

/* Guards against orders that name what the configuration no longer has, or that
 * cannot be named, and against an overloaded target, while services, models and
 * adapters leave and return with orders under way. */
static void test_random_configurations(void)
{
	static walk_t walk;
	uint64_t orders = 0;
	uint64_t former_unloads = 0;

	for (uint32_t seed = 1; seed <= WALK_SEEDS; seed++) {
		g_test_message("seed %u", seed);
		walk_run(&walk, seed);
		orders += walk.orders;
		former_unloads += walk.former_unloads;
	}
	g_test_message("%" G_GUINT64_FORMAT " orders, %" G_GUINT64_FORMAT
		       " to unload models that had left",
		       orders, former_unloads);
	g_assert_cmpuint(orders, >, WALK_SEEDS * 10);
	g_assert_cmpuint(former_unloads, >, WALK_SEEDS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/planner/asks-before-first-order",
			test_report_before_first_order);
	g_test_add_func("/planner/evicts-before-load", test_evicts_before_load);
	g_test_add_func("/planner/deferred-by-key", test_deferred_by_key);
	g_test_add_func("/planner/service-leaves", test_service_leaves);
	g_test_add_func("/planner/model-leaves", test_model_leaves);
	g_test_add_func("/planner/adapter-leaves", test_adapter_leaves);
	g_test_add_func("/planner/order-not-sent", test_order_not_sent);
	g_test_add_func("/planner/repeated-order-not-sent",
			test_repeated_order_not_sent);
	g_test_add_func("/planner/reservation-outlives-entry",
			test_reservation_outlives_entry);
	g_test_add_func("/planner/random-configurations",
			test_random_configurations);
	g_test_add_func("/planner/unknown-order-is-repeated",
			test_unknown_order_is_repeated);
	g_test_add_func("/planner/adapter-place-kept",
			test_adapter_slot_in_use_until_unloaded);
	g_test_add_func("/planner/late-order-after-restart",
			test_unacked_order_reserves_memory_after_restart);
	g_test_add_func("/planner/unacked-copy-after-restart",
			test_unacked_copy_reserves_memory_after_restart);
	g_test_add_func("/planner/copy-on-disk",
			test_copy_on_disk_is_preferred);
	g_test_add_func("/planner/rare-models-at-once",
			test_store_limits_concurrent_loads);
	g_test_add_func("/planner/rare-models-after-evictions",
			test_store_limits_loads_after_evictions);
	g_test_add_func("/planner/late-report", test_stale_report_is_ignored);
	g_test_add_func("/planner/slow-store",
			test_slow_store_lowers_concurrency);
	g_test_add_func("/planner/new-term", test_new_term_discards_holdings);
	g_test_add_func("/planner/unloading",
			test_unloading_model_stays_withdrawn);
	g_test_add_func("/planner/planned-load-waits-for-unload",
			test_planned_load_waits_for_unload);
	g_test_add_func("/planner/second-try-is-deferred",
			test_second_try_is_deferred);
	g_test_add_func("/planner/load-from-copy-ends-without-report",
			test_load_from_copy_ends_without_report);
	g_test_add_func("/planner/failed-load-from-copy",
			test_failed_load_from_copy);
	g_test_add_func("/planner/load-from-copy-is-verified-once",
			test_load_from_copy_is_verified_once);
	g_test_add_func("/planner/asked-models-are-seeded-first",
			test_asked_models_are_seeded_first);
	g_test_add_func("/planner/unasked-models-wait-for-demand",
			test_unasked_models_wait_for_demand);
	g_test_add_func("/planner/idle-models-are-evicted-first",
			test_idle_models_are_evicted_first);
	g_test_add_func("/planner/busy-target-does-not-hold-a-load",
			test_busy_target_does_not_hold_a_load);
	g_test_add_func("/planner/unreachable-target-is-withdrawn",
			test_unreachable_target_is_withdrawn);
	g_test_add_func("/planner/many-models-on-small-instance",
			test_many_models_on_small_instance);
	g_test_add_func("/planner/estimate-near-the-end",
			test_estimate_near_end_of_load);
	return g_test_run();
}
