#include <string.h>

#include "coordination/adoption.h"
#include "support/fleet.h"

#define INSTANCES 7
#define ZONES	  3

static void start_fleet(fleet_t *f, uint32_t seed)
{
	fleet_init(f, &fleet_berylshunt, INSTANCES, ZONES, seed);
	for (guint i = 0; i < f->n; i++)
		fleet_start(f, i);
	fleet_run(f, 3 * SIM_S);
	fleet_apply(f, 0);
	fleet_run(f, 20 * SIM_S);
}

static void run_for(fleet_t *f, int64_t duration_us)
{
	fleet_run(f, f->sim.now_us + duration_us);
}

static bsh_members_t *members(fleet_t *f, guint node)
{
	return fleet_members(f->nodes[node].app);
}

static const bsh_member_t *view(fleet_t *f, guint node, guint of)
{
	return bsh_members_find(members(f, node), f->nodes[of].name);
}

static void assert_no_violations(const fleet_t *f)
{
	g_assert_cmpuint(f->bad.old, ==, 0);
	g_assert_cmpuint(f->bad.revert, ==, 0);
	g_assert_cmpuint(f->bad.fork, ==, 0);
	g_assert_cmpuint(f->bad.overwrite, ==, 0);
	g_assert_cmpuint(f->bad.false_in_force, ==, 0);
}

/* ---- codecs ---- */

static bsh_member_message_t sample_message(bsh_member_kind_t kind)
{
	bsh_member_message_t msg = { .kind = kind,
				     .sequence = UINT64_MAX,
				     .target = "entry-1",
				     .generation = 7,
				     .hash = 8,
				     .confirm_age_ms = 9,
				     .leaving_digest = 10,
				     .cursor = UINT64_MAX,
				     .n_updates = 3 };

	for (int i = 0; i < BSH_MEMBER_SYNC_BUCKETS; i++)
		msg.digests[i] =
			kind == BSH_MEMBER_SYNC_REQUEST ? UINT32_MAX : 0;
	msg.updates[0] = (bsh_member_update_t){
		.type = BSH_UPDATE_MEMBER,
		.name = "entry-2",
		.incarnation = 5,
		.revision = 6,
		.state = BSH_MEMBER_SUSPECT,
		.leaving = true,
		.has_place = true,
		.place = { "zone-a", "10.0.0.2:1", "10.0.0.2:2", "10.0.0.3:3" }
	};
	msg.updates[1] = (bsh_member_update_t){ .type = BSH_UPDATE_TARGET,
						.name = "engine-1",
						.incarnation = 2,
						.revision = 3 };
	msg.updates[2] = (bsh_member_update_t){ .type = BSH_UPDATE_CELL,
						.name = "cell-1",
						.owner = "entry-3",
						.incarnation = 4 };
	return msg;
}

/* Guards against a field that is lost or truncated by encoding. */
static void test_codec_round_trip(void)
{
	for (int kind = 0; kind < BSH_MEMBER_KINDS; kind++) {
		bsh_member_message_t in =
			sample_message((bsh_member_kind_t)kind);
		bsh_member_message_t out = { 0 };
		uint8_t buf[BSH_MEMBER_BODY_MAX_BYTES];
		uint8_t again[BSH_MEMBER_BODY_MAX_BYTES];
		uint32_t n;
		size_t size =
			bsh_member_message_encode(&in, buf, sizeof(buf), &n);

		g_assert_cmpuint(n, ==, 3);
		g_assert_cmpint(bsh_member_message_decode(&out, buf, size), ==,
				BSH_OK);
		g_assert_cmpmem(again,
				bsh_member_message_encode(&out, again,
							  sizeof(again), &n),
				buf, size);
		g_assert_cmpuint(out.cursor, ==, in.cursor);
		g_assert_cmpuint(out.confirm_age_ms, ==, 9);
		g_assert_cmpuint(out.digests[63], ==, in.digests[63]);
		g_assert_true(out.updates[0].leaving);
		g_assert_cmpuint(out.updates[0].revision, ==, 6);
		g_assert_cmpstr(out.updates[0].place.link, ==, "10.0.0.2:2");
		g_assert_cmpstr(out.updates[0].place.entry, ==, "10.0.0.3:3");
		g_assert_cmpuint(out.updates[1].revision, ==, 3);
		g_assert_cmpstr(out.updates[2].owner, ==, "entry-3");
	}
}

/*
 * Guards against a datagram above 1,200 bytes, and against a truncated update
 * when not all of them fit.
 */
static void test_codec_size_limit(void)
{
	bsh_member_message_t in = sample_message(BSH_MEMBER_SYNC_REQUEST);
	bsh_member_message_t out;
	uint8_t buf[BSH_MEMBER_BODY_MAX_BYTES];
	uint32_t n;
	size_t size;

	in.n_updates = BSH_MEMBER_UPDATES_MAX;
	for (uint32_t i = 0; i < in.n_updates; i++) {
		in.updates[i] = in.updates[0];
		memset(in.updates[i].name, 'n', BSH_NAME_SIZE - 1);
		memset(in.updates[i].place.zone, 'z', BSH_NAME_SIZE - 1);
		memset(in.updates[i].place.link, 'l', BSH_ADDRESS_SIZE - 1);
	}
	size = bsh_member_message_encode(&in, buf, sizeof(buf), &n);
	g_assert_cmpuint(size, <=, BSH_MEMBER_BODY_MAX_BYTES);
	g_assert_cmpuint(n, >, 0);
	g_assert_cmpuint(n, <, BSH_MEMBER_UPDATES_MAX);
	g_assert_cmpint(bsh_member_message_decode(&out, buf, size), ==, BSH_OK);
	g_assert_cmpuint(out.n_updates, ==, n);
	g_assert_cmpuint(bsh_member_message_encode(&in, buf, 16, &n), ==, 0);
}

/* Guards against malformed input partly applied or read out of bounds. */
static void test_codec_malformed(void)
{
	bsh_member_message_t in = sample_message(BSH_MEMBER_PING);
	static const uint8_t huge[] = { 0xdd, 0x0f, 0xff, 0xff, 0xff, 0 };
	uint8_t *buf = g_malloc(BSH_MEMBER_BODY_MAX_BYTES + 1);
	size_t size = bsh_member_message_encode(
		&in, buf, BSH_MEMBER_BODY_MAX_BYTES, NULL);
	bsh_member_message_t out;
	bsh_rng_t rng;

	for (size_t n = 0; n < size; n++)
		g_assert_cmpint(bsh_member_message_decode(&out, buf, n), ==,
				BSH_ERR_INVALID);
	g_assert_cmpint(bsh_member_message_decode(
				&out, buf, BSH_MEMBER_BODY_MAX_BYTES + 1),
			==, BSH_ERR_TOO_LARGE);
	g_assert_cmpint(bsh_member_message_decode(&out, huge, sizeof(huge)), ==,
			BSH_ERR_INVALID);
	bsh_rng_init(&rng, 1);
	for (int i = 0; i < 20000; i++) {
		uint32_t at = bsh_rng_below(&rng, (uint32_t)size);
		uint8_t old = buf[at];

		buf[at] = (uint8_t)bsh_rng_below(&rng, 256);
		if (bsh_member_message_decode(&out, buf, size) == BSH_OK) {
			g_assert_cmpuint(out.n_updates, <=,
					 BSH_MEMBER_UPDATES_MAX);
			for (uint32_t u = 0; u < out.n_updates; u++)
				g_assert_cmpint(out.updates[u].state, <,
						BSH_MEMBER_STATES);
		}
		buf[at] = old;
	}
	bsh_rng_finish(&rng);
	g_free(buf);
}

/* Guards against a document that is changed or truncated by encoding. */
static void test_codec_adoption(void)
{
	bsh_adoption_message_t in = { .kind = BSH_ADOPTION_CONFIG,
				      .generation = 3,
				      .hash = 4,
				      .from = 2,
				      .version = 9,
				      .n_witnesses = 2,
				      .witnesses = { "a", "b" } };
	bsh_adoption_message_t out;
	GBytes *bytes;
	gsize size;
	const uint8_t *data;

	in.body = g_bytes_new_static("document", 8);
	bytes = bsh_adoption_message_encode(&in);
	data = g_bytes_get_data(bytes, &size);
	g_assert_cmpint(bsh_adoption_message_decode(&out, data, size), ==,
			BSH_OK);
	g_assert_true(g_bytes_equal(in.body, out.body));
	g_assert_cmpstr(out.witnesses[1], ==, "b");
	g_assert_cmpuint(out.from, ==, 2);
	bsh_adoption_message_finish(&out);
	for (gsize n = 0; n < size; n++)
		g_assert_cmpint(bsh_adoption_message_decode(&out, data, n), ==,
				BSH_ERR_INVALID);
	g_bytes_unref(bytes);
	g_bytes_unref(in.body);
}

/* ---- membership ---- */

/* Guards against instances that do not find each other or take no work. */
static void test_all_join(void)
{
	fleet_t f;

	start_fleet(&f, 1);
	for (guint i = 0; i < f.n; i++) {
		g_assert_cmpuint(bsh_members_live(members(&f, i)), ==, 7);
		g_assert_true(f.app->takes_work(f.nodes[i].app, f.sim.now_us));
	}
	fleet_finish(&f);
}

/*
 * Guards against a killed member that is not declared dead and keeps getting
 * work, and against a restarted one that is not accepted as alive.
 */
static void test_death_and_restart(void)
{
	fleet_t f;

	start_fleet(&f, 2);
	fleet_kill(&f, 3);
	run_for(&f, 15 * SIM_S);
	for (guint i = 0; i < f.n; i++) {
		if (i != 3)
			g_assert_cmpint(view(&f, i, 3)->state, ==,
					BSH_MEMBER_DEAD);
	}
	fleet_start(&f, 3);
	run_for(&f, 5 * SIM_S);
	for (guint i = 0; i < f.n; i++) {
		g_assert_cmpint(view(&f, i, 3)->state, ==, BSH_MEMBER_ALIVE);
		g_assert_cmpuint(view(&f, i, 3)->incarnation, ==,
				 f.nodes[3].incarnation);
	}
	fleet_finish(&f);
}

/*
 * Guards against a process that was frozen and suspects the other members when
 * it resumes, because their answers are missing.
 */
static void test_frozen_process_suspects_nobody(void)
{
	const bsh_members_stats_t *stats;
	fleet_t f;

	start_fleet(&f, 3);
	fleet_freeze(&f, 2, 40 * SIM_S);
	run_for(&f, 30 * SIM_S);
	g_assert_cmpint(view(&f, 0, 2)->state, ==, BSH_MEMBER_DEAD);
	run_for(&f, 20 * SIM_S);
	stats = bsh_members_stats(members(&f, 2));
	g_assert_cmpuint(stats->late_wakeups, >, 0);
	g_assert_cmpuint(stats->suspicions, ==, 0);
	g_assert_cmpuint(stats->deaths, ==, 0);
	for (guint i = 0; i < f.n; i++)
		g_assert_cmpint(view(&f, i, 2)->state, ==, BSH_MEMBER_ALIVE);
	fleet_finish(&f);
}

/* Guards against two sides of a healed partition that stay separate. */
static void test_partition_heals(void)
{
	fleet_t f;

	start_fleet(&f, 4);
	for (guint i = 0; i < f.n; i++)
		f.nodes[i].side = i % 2;
	f.cut[0][1] = f.cut[1][0] = true;
	run_for(&f, 3600 * SIM_S);
	g_assert_cmpuint(bsh_members_live(members(&f, 0)), ==, 4);
	g_assert_cmpuint(bsh_members_live(members(&f, 1)), ==, 3);
	memset(f.cut, 0, sizeof(f.cut));
	run_for(&f, 20 * SIM_S);
	for (guint i = 0; i < f.n; i++)
		g_assert_cmpuint(bsh_members_live(members(&f, i)), ==, 7);
	assert_no_violations(&f);
	fleet_finish(&f);
}

/* Guards against a leaving flag cleared by a lagging list or a late update. */
static void test_leaving_stays(void)
{
	fleet_t f;

	start_fleet(&f, 5);
	f.late = 0.5;
	bsh_members_leave(members(&f, 1), f.sim.now_us);
	bsh_members_target_leaving(members(&f, 1), f.sim.now_us, "engine-1", 5);
	fleet_tick(&f, 1);
	run_for(&f, 3 * SIM_S);
	for (int second = 0; second < 60; second++) {
		run_for(&f, SIM_S);
		for (guint i = 0; i < f.n; i++) {
			bsh_members_list_item(
				members(&f, i), f.sim.now_us, f.nodes[1].name,
				f.nodes[1].incarnation, NULL, BSH_LIST_LIVE);
			g_assert_true(view(&f, i, 1)->leaving);
			g_assert_true(bsh_members_is_target_leaving(
				members(&f, i), "engine-1", 5));
			g_assert_false(bsh_members_is_target_leaving(
				members(&f, i), "engine-1", 6));
		}
	}
	fleet_kill(&f, 1);
	fleet_start(&f, 1);
	f.late = 0;
	run_for(&f, 5 * SIM_S);
	g_assert_false(view(&f, 0, 1)->leaving);
	fleet_finish(&f);
}

/* Guards against memory that is used after its end: a name that does not fit a
 * record was added again by each list, under one key. */
static void test_long_name(void)
{
	g_autofree char *name = g_strnfill(BSH_NAME_SIZE + 4, 'n');
	bsh_member_place_t place = { .zone = "z1" };
	fleet_t f;

	start_fleet(&f, 2);
	for (int i = 0; i < 3; i++) {
		bsh_members_list_item(members(&f, 0), f.sim.now_us, name, 1,
				      &place, BSH_LIST_LIVE);
		run_for(&f, SIM_S);
	}
	/* Longer than a name from a list is kept. */
	run_for(&f, 3700 * SIM_S);
	assert_no_violations(&f);
	fleet_finish(&f);
}

/* Guards against a cell owner of an old epoch that replaces a newer one. */
static void test_cell_owner(void)
{
	uint64_t epoch;
	fleet_t f;

	start_fleet(&f, 6);
	bsh_members_set_cell_owner(members(&f, 0), f.sim.now_us, "pool",
				   "entry-0002", 4);
	bsh_members_set_cell_owner(members(&f, 5), f.sim.now_us, "pool",
				   "entry-0003", 3);
	run_for(&f, 12 * SIM_S);
	for (guint i = 0; i < f.n; i++) {
		g_assert_cmpstr(
			bsh_members_cell_owner(members(&f, i), "pool", &epoch),
			==, "entry-0002");
		g_assert_cmpuint(epoch, ==, 4);
	}
	fleet_finish(&f);
}

/* Guards against a gone member that is taken for dead and probed further. */
static void test_gone_is_final(void)
{
	fleet_t f;

	start_fleet(&f, 7);
	fleet_kill(&f, 4);
	bsh_members_list_item(members(&f, 0), f.sim.now_us, f.nodes[4].name,
			      f.nodes[4].incarnation, NULL, BSH_LIST_GONE);
	fleet_tick(&f, 0);
	run_for(&f, 3 * SIM_S);
	for (guint i = 0; i < f.n; i++) {
		if (i != 4)
			g_assert_cmpint(view(&f, i, 4)->state, ==,
					BSH_MEMBER_GONE);
	}
	fleet_finish(&f);
}

/* ---- configuration ---- */

/*
 * Guards against a change that lost to a concurrent one and is reported as
 * accepted.
 */
static void test_concurrent_applies(void)
{
	fleet_t f;

	start_fleet(&f, 8);
	f.results[BSH_OK] = 0;
	for (guint i = 0; i < 4; i++)
		fleet_apply(&f, i);
	run_for(&f, 15 * SIM_S);
	g_assert_cmpuint(f.results[BSH_OK], ==, 1);
	g_assert_cmpuint(f.results[BSH_ERR_CONFLICT], ==, 3);
	assert_no_violations(&f);
	fleet_finish(&f);
}

/* Guards against a lost store answer that is reported as a failed change. */
static void test_lost_store_answer(void)
{
	fleet_t f;
	guint before;

	start_fleet(&f, 9);
	before = f.accepted->len;
	f.results[BSH_OK] = 0;
	fleet_apply(&f, 2);
	sim_run(&f.sim, f.sim.now_us + 4 * SIM_MS);
	f.store_response_loss = 1;
	run_for(&f, SIM_S);
	f.store_response_loss = 0;
	g_assert_cmpuint(f.results[BSH_OK], ==, 0);
	run_for(&f, 15 * SIM_S);
	g_assert_cmpuint(f.accepted->len, ==, before + 1);
	g_assert_cmpuint(f.results[BSH_OK], ==, 1);
	assert_no_violations(&f);
	fleet_finish(&f);
}

/* Guards against a small change sent as the full document to all instances. */
static void test_delta(void)
{
	uint64_t deltas = 0;
	uint64_t fulls = 0;
	fleet_t f;

	start_fleet(&f, 10);
	for (guint i = 0; i < f.n; i++)
		fulls += bsh_adoption_stats(fleet_adoption(f.nodes[i].app))
				 ->fulls;
	/* Without a store watch all but the proposer fetch it from a peer. */
	for (guint i = 0; i < f.n; i++)
		f.nodes[i].side = i == 0 ? 0 : 1;
	f.store_cut[1] = true;
	fleet_apply(&f, 0);
	run_for(&f, 3 * SIM_S);
	for (guint i = 0; i < f.n; i++) {
		const bsh_adoption_stats_t *s =
			bsh_adoption_stats(fleet_adoption(f.nodes[i].app));

		deltas += s->deltas;
		fulls -= s->fulls;
		g_assert_cmpuint(f.app->generation(f.nodes[i].app), ==,
				 f.accepted->len);
	}
	g_assert_cmpuint(deltas, >=, 6);
	g_assert_cmpuint(fulls, ==, 0);
	fleet_finish(&f);
}

/* Guards against an apply that hangs or succeeds while the store is down. */
static void test_apply_in_outage(void)
{
	fleet_t f;

	start_fleet(&f, 11);
	f.store_down = true;
	f.results[BSH_OK] = 0;
	fleet_apply(&f, 0);
	run_for(&f, 15 * SIM_S);
	g_assert_cmpuint(f.results[BSH_ERR_STORE], ==, 1);
	g_assert_cmpuint(f.results[BSH_OK], ==, 0);
	fleet_finish(&f);
}

/* Guards against a witness that is gone and stays in the configuration. */
static void test_witness_replaced(void)
{
	const bsh_adoption_object_t *object;
	fleet_t f;

	start_fleet(&f, 12);
	fleet_kill(&f, 6);
	for (guint i = 0; i < 6; i++)
		bsh_members_list_item(members(&f, i), f.sim.now_us,
				      f.nodes[6].name, f.nodes[6].incarnation,
				      NULL, BSH_LIST_GONE);
	run_for(&f, 40 * SIM_S);
	object = bsh_adoption_current(fleet_adoption(f.nodes[0].app));
	g_assert_cmpuint(object->n_witnesses, ==, 6);
	assert_no_violations(&f);
	fleet_finish(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/members/codec/round-trip", test_codec_round_trip);
	g_test_add_func("/members/codec/bound", test_codec_size_limit);
	g_test_add_func("/members/codec/malformed", test_codec_malformed);
	g_test_add_func("/members/codec/adoption", test_codec_adoption);
	g_test_add_func("/members/assemble", test_all_join);
	g_test_add_func("/members/death-and-restart", test_death_and_restart);
	g_test_add_func("/members/frozen", test_frozen_process_suspects_nobody);
	g_test_add_func("/members/partition", test_partition_heals);
	g_test_add_func("/members/leaving", test_leaving_stays);
	g_test_add_func("/members/long-name", test_long_name);
	g_test_add_func("/members/cell-owner", test_cell_owner);
	g_test_add_func("/members/gone", test_gone_is_final);
	g_test_add_func("/adoption/racing-operators", test_concurrent_applies);
	g_test_add_func("/adoption/lost-answer", test_lost_store_answer);
	g_test_add_func("/adoption/delta", test_delta);
	g_test_add_func("/adoption/outage", test_apply_in_outage);
	g_test_add_func("/adoption/witness-replaced", test_witness_replaced);
	return g_test_run();
}
