/* Histories of software versions that are kept in the store for a start of all
 * instances. */
#include <glib.h>

#include "coordination/version_snapshot.h"

#define SERVICE	 UINT64_C(0xf000000000000001)
#define OTHER	 UINT64_C(2)
#define V1	 UINT64_C(0xfedcba9876543210)
#define V2	 UINT64_C(22)
#define SECOND	 INT64_C(1000000)
#define REVISION 4711
/* The histories of an instance before the end of all and of one after it. */
#define BEFORE_US (100 * SECOND)
#define AFTER_US  (5000 * SECOND)

/* A list that names V1 alone from at_us on for duration_us. */
static void list(bsh_version_history_t *history, int64_t at_us,
		 int64_t duration_us)
{
	for (int64_t t = at_us; t <= at_us + duration_us; t += SECOND) {
		bsh_version_history_note(history, SERVICE, V1, t);
		g_assert_cmpint(bsh_version_history_confirm(history, t), ==, 0);
	}
}

static json_t *snapshot_after(int64_t duration_us)
{
	const uint64_t services[] = { SERVICE };
	bsh_version_history_t history;
	json_t *object;

	bsh_version_history_init(&history, BSH_LIST_AGE_MAX_US);
	list(&history, BEFORE_US, duration_us);
	object = bsh_version_snapshot_encode(&history, services,
					     G_N_ELEMENTS(services), REVISION,
					     BEFORE_US + duration_us);
	bsh_version_history_finish(&history);
	return object;
}

static void decode(bsh_version_snapshot_t *snapshot)
{
	json_t *object = snapshot_after(31 * SECOND);

	bsh_version_snapshot_init(snapshot);
	g_assert_true(bsh_version_snapshot_decode(object, snapshot));
	g_assert_cmpuint(snapshot->revision, ==, REVISION);
	json_decref(object);
}

/* The only version by an instance that has just started and merged a snapshot,
 * which is finished. */
static uint64_t only_after(bsh_version_snapshot_t *snapshot, uint32_t merged)
{
	bsh_version_history_t history;
	uint64_t only;

	bsh_version_history_init(&history, BSH_LIST_AGE_MAX_US);
	list(&history, AFTER_US, 0);
	g_assert_cmpuint(bsh_version_history_only(&history, SERVICE, AFTER_US),
			 ==, 0);
	g_assert_cmpuint(bsh_version_snapshot_merge(snapshot, &history,
						    AFTER_US + SECOND,
						    AFTER_US + SECOND),
			 ==, merged);
	only = bsh_version_history_only(&history, SERVICE, AFTER_US + SECOND);
	bsh_version_history_finish(&history);
	bsh_version_snapshot_finish(snapshot);
	return only;
}

/* Guards against a history that is lost with the processes that know it. */
static void test_continued(void)
{
	bsh_version_snapshot_t snapshot;

	decode(&snapshot);
	g_assert_cmphex(only_after(&snapshot, 1), ==, V1);
	decode(&snapshot);
	bsh_version_snapshot_note(&snapshot, SERVICE, V1);
	bsh_version_snapshot_note(&snapshot, OTHER, V2);
	g_assert_cmphex(only_after(&snapshot, 1), ==, V1);
}

/* Guards against an instance that vouches for a version though a change of the
 * list since then names another one, or more than can be told. */
static void test_other_versions(void)
{
	bsh_version_snapshot_t snapshot;

	decode(&snapshot);
	bsh_version_snapshot_note(&snapshot, SERVICE, V2);
	g_assert_cmphex(only_after(&snapshot, 1), ==, 0);
	decode(&snapshot);
	for (uint64_t i = 0; i < 2 * BSH_SOFTWARE_VERSIONS_MAX; i++)
		bsh_version_snapshot_note(&snapshot, SERVICE, 100 + i);
	g_assert_cmphex(only_after(&snapshot, 0), ==, 0);
}

/* Guards against a snapshot that counts though its writer did not know the
 * versions of 30 s, or its reader has no list of its own yet. */
static void test_no_proof(void)
{
	bsh_version_history_t history;
	bsh_version_snapshot_t snapshot;

	g_assert_null(snapshot_after(29 * SECOND));
	decode(&snapshot);
	bsh_version_history_init(&history, BSH_LIST_AGE_MAX_US);
	g_assert_cmpuint(bsh_version_snapshot_merge(&snapshot, &history,
						    AFTER_US, AFTER_US),
			 ==, 0);
	/* The changes were asked for before the first own list. */
	list(&history, AFTER_US, 0);
	g_assert_cmpuint(bsh_version_snapshot_merge(&snapshot, &history,
						    AFTER_US - SECOND,
						    AFTER_US),
			 ==, 0);
	bsh_version_history_finish(&history);
	bsh_version_snapshot_finish(&snapshot);
}

/* Guards against an object of another writer that ends the process, or proves
 * anything. */
static void test_malformed(void)
{
	static const char *const texts[] = {
		"[]",
		"{}",
		"{\"revision\":0,\"services\":[]}",
		"{\"revision\":-1,\"services\":[]}",
		"{\"revision\":1.5,\"services\":[]}",
		"{\"revision\":\"1\",\"services\":[]}",
		"{\"revision\":1}",
		"{\"revision\":1,\"services\":{}}",
		"{\"revision\":1,\"services\":[1]}",
		"{\"revision\":1,\"services\":[{}]}",
		"{\"revision\":1,\"services\":[{\"service\":\"1\","
		"\"since_ms\":1,\"seen\":[]}]}",
		"{\"revision\":1,\"services\":[{\"service\":"
		"\"000000000000000g\",\"since_ms\":1,\"seen\":[]}]}",
		"{\"revision\":1,\"services\":[{\"service\":"
		"\"0000000000000001\",\"since_ms\":-1,\"seen\":[]}]}",
		"{\"revision\":1,\"services\":[{\"service\":"
		"\"0000000000000001\",\"since_ms\":4294967296,\"seen\":[]}]}",
		"{\"revision\":1,\"services\":[{\"service\":"
		"\"0000000000000001\",\"since_ms\":1}]}",
		"{\"revision\":1,\"services\":[{\"service\":"
		"\"0000000000000001\",\"since_ms\":1,\"seen\":[1]}]}",
		"{\"revision\":1,\"services\":[{\"service\":"
		"\"0000000000000001\",\"since_ms\":1,\"seen\":"
		"[[\"0000000000000001\"]]}]}",
		"{\"revision\":1,\"services\":[{\"service\":"
		"\"0000000000000001\",\"since_ms\":1,\"seen\":"
		"[[\"0000000000000001\",\"1\"]]}]}",
		"{\"revision\":1,\"services\":[{\"service\":"
		"\"0000000000000001\",\"since_ms\":1,\"seen\":"
		"[0,0,0,0,0,0,0,0,0]}]}",
	};
	bsh_version_snapshot_t snapshot;

	bsh_version_snapshot_init(&snapshot);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		json_t *object = json_loads(texts[i], 0, NULL);

		g_assert_nonnull(object);
		g_test_message("%s", texts[i]);
		g_assert_false(bsh_version_snapshot_decode(object, &snapshot));
		json_decref(object);
	}
	g_assert_false(bsh_version_snapshot_decode(NULL, &snapshot));
	bsh_version_snapshot_finish(&snapshot);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/version-snapshot/continued", test_continued);
	g_test_add_func("/version-snapshot/other-versions",
			test_other_versions);
	g_test_add_func("/version-snapshot/no-proof", test_no_proof);
	g_test_add_func("/version-snapshot/malformed", test_malformed);
	return g_test_run();
}
