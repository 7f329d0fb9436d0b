/* Records of the software versions that began streams. */
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "coordination/rendezvous.h"
#include "coordination/stream_table.h"

#define V1 UINT64_C(11)
#define V2 UINT64_C(22)

/* Guards against a stream that is resumed at a version that it was not begun
 * with, because its record was lost, is too old or was contradicted. */
static void test_records(void)
{
	bsh_stream_table_t table;

	bsh_stream_table_init(&table, 3);
	g_assert_cmpuint(bsh_stream_table_find(&table, 1, 0), ==, 0);
	bsh_stream_table_set(&table, 1, V1, 0);
	bsh_stream_table_set(&table, 2, V2, 10);
	g_assert_cmpuint(bsh_stream_table_find(&table, 1, 20), ==, V1);
	g_assert_cmpuint(bsh_stream_table_find(&table, 2, 20), ==, V2);
	bsh_stream_table_set(&table, 1, V2, 30);
	g_assert_cmpuint(bsh_stream_table_find(&table, 1, 40), ==,
			 BSH_SOFTWARE_UNCERTAIN);
	/* A later record does not make it certain again. */
	bsh_stream_table_set(&table, 1, V2, 50);
	g_assert_cmpuint(bsh_stream_table_find(&table, 1, 60), ==,
			 BSH_SOFTWARE_UNCERTAIN);
	/* The table is full: the record that was set first is dropped. */
	bsh_stream_table_set(&table, 3, V1, 70);
	bsh_stream_table_set(&table, 4, V1, 80);
	g_assert_cmpuint(bsh_stream_table_size(&table), ==, 3);
	g_assert_cmpuint(bsh_stream_table_find(&table, 2, 90), ==, 0);
	g_assert_cmpuint(bsh_stream_table_find(&table, 3, 90), ==, V1);
	g_assert_cmpuint(
		bsh_stream_table_find(&table, 3, 70 + BSH_STREAM_MEMORY_US), ==,
		0);
	g_assert_cmpuint(bsh_stream_table_size(&table), ==, 1);
	/* Neither an unnamed stream nor an unknown version is recorded. */
	bsh_stream_table_set(&table, 0, V1, 100);
	bsh_stream_table_set(&table, 9, 0, 100);
	g_assert_cmpuint(bsh_stream_table_find(&table, 0, 100), ==, 0);
	g_assert_cmpuint(bsh_stream_table_find(&table, 9, 100), ==, 0);
	bsh_stream_table_finish(&table);
	g_assert_cmpuint(bsh_stream_key(""), ==, 0);
	g_assert_cmpuint(bsh_stream_key("a"), !=, bsh_stream_key("b"));
}

/* Guards against a record that a new process is not sent, as one before it had it,
 * and against one that is sent to the same process again and again. */
static void test_holders(void)
{
	bsh_stream_table_t table;

	bsh_stream_table_init(&table, 10);
	g_assert_false(bsh_stream_table_note_holder(&table, 1, 100));
	bsh_stream_table_set(&table, 1, V1, 0);
	bsh_stream_table_set(&table, 2, V1, 0);
	for (uint64_t holder = 100; holder < 100 + BSH_STREAM_HOLDERS;
	     holder++) {
		g_assert_true(bsh_stream_table_note_holder(&table, 1, holder));
		g_assert_false(bsh_stream_table_note_holder(&table, 1, holder));
	}
	g_assert_true(bsh_stream_table_note_holder(&table, 2, 100));
	/* A record that is set again is held by the same ones. */
	bsh_stream_table_set(&table, 1, V1, 10);
	g_assert_false(bsh_stream_table_note_holder(&table, 1, 100));
	/* The one noted first makes room. */
	g_assert_true(bsh_stream_table_note_holder(&table, 1, 200));
	g_assert_false(bsh_stream_table_note_holder(&table, 1, 101));
	g_assert_true(bsh_stream_table_note_holder(&table, 1, 100));
	bsh_stream_table_finish(&table);
}

/* Guards against records that are not sent to the other instances when a second
 * version comes. */
static void test_collect(void)
{
	g_autoptr(GArray) records =
		g_array_new(FALSE, FALSE, sizeof(bsh_stream_record_t));
	bsh_stream_table_t table;

	bsh_stream_table_init(&table, 10);
	for (uint64_t i = 1; i <= 5; i++)
		bsh_stream_table_set(&table, i, V1,
				     (int64_t)i * BSH_STREAM_MEMORY_US / 4);
	bsh_stream_table_collect(&table, records,
				 5 * BSH_STREAM_MEMORY_US / 4 + 1);
	g_assert_cmpuint(records->len, ==, 4);
	for (guint i = 0; i < records->len; i++)
		g_assert_cmpuint(
			g_array_index(records, bsh_stream_record_t, i).stream,
			==, i + 2);
	bsh_stream_table_finish(&table);
}

/* Guards against a version being taken for the only one while streams that
 * another one began may still be resumed. */
static void test_only_version(void)
{
	bsh_software_history_t history = { .n = 0 };

	g_assert_cmpuint(bsh_software_history_only(&history, 0), ==, 0);
	bsh_software_history_note(&history, V1, 0);
	g_assert_cmpuint(bsh_software_history_only(&history, 1), ==, V1);
	bsh_software_history_note(&history, V2, 10);
	g_assert_cmpuint(bsh_software_history_only(&history, 11), ==, 0);
	/* V1 has left, and then its last stream is over. */
	bsh_software_history_note(&history, V2, BSH_STREAM_MEMORY_US - 1);
	g_assert_cmpuint(
		bsh_software_history_only(&history, BSH_STREAM_MEMORY_US - 1),
		==, 0);
	g_assert_cmpuint(
		bsh_software_history_only(&history, BSH_STREAM_MEMORY_US), ==,
		V2);
	/* More versions at a time than can be kept. */
	for (uint64_t v = 100; v < 120; v++)
		bsh_software_history_note(&history, v,
					  2 * BSH_STREAM_MEMORY_US);
	g_assert_cmpuint(
		bsh_software_history_only(&history, 9 * BSH_STREAM_MEMORY_US),
		==, 0);
}

/* Guards against a version being taken for the only one beside targets whose
 * version cannot be read. */
static void test_unreadable_version(void)
{
	bsh_software_history_t history = { .n = 0 };

	bsh_software_history_note(&history, 0, 0);
	bsh_software_history_note(&history, V1, 0);
	g_assert_cmpuint(bsh_software_history_only(&history, 1), ==, 0);
}

#define INSTANCES 7
#define KEEPERS	  3
#define TARGETS	  6

/* One instance of the model: its records, and the versions that it has seen. */
typedef struct {
	bsh_stream_table_t table;
	bsh_software_history_t history;
	bool cut_off;
} model_instance_t;

typedef struct {
	model_instance_t instances[INSTANCES];
	uint64_t targets[TARGETS]; /* version of each target; 0: down */
	bsh_rng_t rng;
	int64_t now_us;
	uint32_t begun;
	uint32_t resumed;
	uint32_t went_on;
} model_t;

static void start_instance(model_instance_t *instance)
{
	memset(&instance->history, 0, sizeof(instance->history));
	bsh_stream_table_init(&instance->table, 1000);
	instance->cut_off = false;
}

static void see_targets(const model_t *model, model_instance_t *instance)
{
	if (instance->cut_off)
		return;
	for (size_t i = 0; i < TARGETS; i++)
		if (model->targets[i] != 0)
			bsh_software_history_note(&instance->history,
						  model->targets[i],
						  model->now_us);
}

/* The instances that keep the record of a stream, without the asking one. */
static void choose_keepers(const model_t *model, uint64_t stream, uint32_t self,
			   bool keeps[INSTANCES])
{
	memset(keeps, 0, INSTANCES * sizeof(keeps[0]));
	for (uint32_t n = 0; n < KEEPERS; n++) {
		uint64_t highest = 0;
		uint32_t best = INSTANCES;

		for (uint32_t i = 0; i < INSTANCES; i++) {
			uint64_t score = bsh_rendezvous_score(stream, i + 1);

			if (i == self || keeps[i] ||
			    model->instances[i].cut_off ||
			    (best < INSTANCES && score <= highest))
				continue;
			highest = score;
			best = i;
		}
		if (best < INSTANCES)
			keeps[best] = true;
	}
}

/* Returns false if the instance that was asked is cut off. */
static bool begin_stream(model_t *model, uint64_t stream, uint64_t software)
{
	uint32_t self = bsh_rng_below(&model->rng, INSTANCES);
	model_instance_t *instance = &model->instances[self];
	bool keeps[INSTANCES];

	if (instance->cut_off)
		return false;
	model->begun++;
	bsh_stream_table_set(&instance->table, stream, software, model->now_us);
	if (bsh_software_history_only(&instance->history, model->now_us) != 0)
		return true;
	choose_keepers(model, stream, self, keeps);
	for (uint32_t i = 0; i < INSTANCES; i++)
		if (keeps[i])
			bsh_stream_table_set(&model->instances[i].table, stream,
					     software, model->now_us);
	return true;
}

/* The version at which an instance lets the stream go on; 0: it refuses. */
static uint64_t resume_stream(model_t *model, uint64_t stream, uint32_t self)
{
	model_instance_t *instance = &model->instances[self];
	uint64_t software =
		bsh_stream_table_find(&instance->table, stream, model->now_us);
	bool keeps[INSTANCES];

	if (software != 0)
		return software;
	if (instance->cut_off)
		return 0;
	software = bsh_software_history_only(&instance->history, model->now_us);
	if (software != 0)
		return software;
	choose_keepers(model, stream, self, keeps);
	for (uint32_t i = 0; i < INSTANCES && software == 0; i++)
		if (keeps[i])
			software = bsh_stream_table_find(
				&model->instances[i].table, stream,
				model->now_us);
	return software;
}

/* One step: targets change their version, instances restart or are cut off. */
static void disturb(model_t *model)
{
	uint32_t what = bsh_rng_below(&model->rng, 100);
	model_instance_t *instance =
		&model->instances[bsh_rng_below(&model->rng, INSTANCES)];

	if (what < 10) {
		model->targets[bsh_rng_below(&model->rng, TARGETS)] =
			bsh_rng_below(&model->rng, 4);
	} else if (what < 15) {
		bsh_stream_table_finish(&instance->table);
		start_instance(instance);
	} else if (what < 20) {
		instance->cut_off = !instance->cut_off;
	}
	for (size_t i = 0; i < INSTANCES; i++)
		see_targets(model, &model->instances[i]);
}

/* Guards against a stream that goes on at another version after any series of
 * version changes, restarts and cuts of instances, at any instance, and against
 * refusing most of those whose version is known. */
static void test_model(void)
{
	model_t model = { .now_us = 1 };
	uint64_t software;
	uint32_t self;
	bool in_touch;

	bsh_rng_init(&model.rng, 23);
	for (size_t i = 0; i < INSTANCES; i++)
		start_instance(&model.instances[i]);
	for (size_t i = 0; i < TARGETS; i++)
		model.targets[i] = 1;
	for (uint64_t stream = 1; stream < 20000; stream++) {
		uint64_t began =
			model.targets[bsh_rng_below(&model.rng, TARGETS)];

		model.now_us += 100000;
		disturb(&model);
		if (began == 0 || !begin_stream(&model, stream, began))
			continue;
		for (uint32_t n = bsh_rng_below(&model.rng, 4); n > 0; n--)
			disturb(&model);
		self = bsh_rng_below(&model.rng, INSTANCES);
		in_touch = !model.instances[self].cut_off;
		software = resume_stream(&model, stream, self);
		model.resumed += in_touch;
		if (software != 0 && software != BSH_SOFTWARE_UNCERTAIN) {
			g_assert_cmpuint(software, ==, began);
			model.went_on += in_touch;
		}
	}
	g_assert_cmpuint(model.begun, >, 1000);
	g_assert_cmpuint(2 * model.went_on, >=, model.resumed);
	for (size_t i = 0; i < INSTANCES; i++)
		bsh_stream_table_finish(&model.instances[i].table);
	bsh_rng_finish(&model.rng);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stream-table/records", test_records);
	g_test_add_func("/stream-table/holders", test_holders);
	g_test_add_func("/stream-table/collect", test_collect);
	g_test_add_func("/stream-table/only-version", test_only_version);
	g_test_add_func("/stream-table/unreadable-version",
			test_unreadable_version);
	g_test_add_func("/stream-table/model", test_model);
	return g_test_run();
}
