#include "coordination/adoption.h"
#include "support/fleet.h"

static void start_all(fleet_t *f)
{
	for (guint i = 0; i < f->n; i++)
		fleet_start(f, i);
	fleet_run(f, f->sim.now_us + 3 * SIM_S);
	fleet_apply(f, 0);
	fleet_run(f, f->sim.now_us + 15 * SIM_S);
}

static guint live_at(fleet_t *f, guint node)
{
	return bsh_members_live(fleet_members(f->nodes[node].app));
}

/* Guards against a fleet that never assembles or never serves. */
static void test_assemble(void)
{
	fleet_t f;

	fleet_init(&f, &fleet_berylshunt, 7, 3, 1);
	start_all(&f);
	for (guint i = 0; i < f.n; i++) {
		g_assert_cmpuint(live_at(&f, i), ==, 7);
		g_assert_cmpuint(f.app->generation(f.nodes[i].app), >=, 1);
		g_assert_true(f.app->takes_work(f.nodes[i].app, f.sim.now_us));
	}
	fleet_finish(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/members/assemble", test_assemble);
	return g_test_run();
}
