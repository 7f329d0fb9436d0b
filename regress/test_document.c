#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "state/document.h"

static const char valid[] =
	"{\"deployment\":\"shikotsu\",\"weight\":0.2,"
	"\"weight_store\":{\"loads_per_s\":3,\"concurrent\":4},"
	"\"pools\":[{\"name\":\"assistant\",\"kind\":\"engine\","
	"\"fencing\":true,\"memory_mib\":80000},"
	"{\"name\":\"dock-app\",\"kind\":\"service\"}],"
	"\"models\":[{\"name\":\"reply\",\"pool\":\"assistant\","
	"\"memory_mib\":16000,\"max_replicas\":2},"
	"{\"name\":\"reply-kiosk\",\"pool\":\"assistant\",\"base\":\"reply\","
	"\"memory_mib\":200,\"max_replicas\":1}],"
	"\"services\":[{\"name\":\"deposits\",\"pool\":\"dock-app\","
	"\"repeatable\":false}]}";

static void init_valid(bsh_document_t *doc, const char *text)
{
	GArray *problems = bsh_doc_problems_new();

	g_assert_cmpint(bsh_document_init(doc, text, strlen(text), problems),
			==, BSH_OK);
	g_assert_cmpuint(problems->len, ==, 0);
	g_array_free(problems, TRUE);
}

static void test_valid(void)
{
	bsh_document_t doc;
	const bsh_doc_model_t *model;

	init_valid(&doc, valid);
	model = bsh_document_model(&doc, "reply-kiosk");
	g_assert_nonnull(model);
	g_assert_cmpstr(model->base, ==, "reply");
	g_assert_cmpuint(model->deadline_ms, ==, 30000);
	g_assert_cmpstr(bsh_document_pool_at(&doc, model->pool)->name, ==,
			"assistant");
	g_assert_false(bsh_document_service(&doc, "deposits")->repeatable);
	g_assert_null(bsh_document_model(&doc, "deposits"));
	bsh_document_finish(&doc);
}

static bool has_problem(const GArray *problems, const char *path)
{
	for (guint i = 0; i < problems->len; i++) {
		if (strcmp(g_array_index(problems, bsh_doc_problem_t, i).path,
			   path) == 0)
			return true;
	}
	return false;
}

/* Guards against a parser that stops at the first problem: an operator would
 * have to submit the document once for each of its errors. */
static void test_every_reason(void)
{
	static const char text[] =
		"{\"deployment\":7,\"weight\":1.5,\"colour\":1,"
		"\"weight_store\":{\"loads_per_s\":3},"
		"\"pools\":[{\"name\":\"a\",\"kind\":\"engine\","
		"\"memory_mib\":100}],"
		"\"models\":[{\"name\":\"m\",\"pool\":\"a\","
		"\"memory_mib\":200,\"max_replicas\":-1,\"replicas\":2},"
		"{\"name\":\"m\",\"pool\":\"b\",\"memory_mib\":1,"
		"\"max_replicas\":1,\"priority\":10},"
		"{\"name\":\"n\",\"pool\":\"a\",\"memory_mib\":1,"
		"\"max_replicas\":1,\"base\":\"gone\"},3],"
		"\"services\":[{\"name\":\"a/b\",\"pool\":\"a\"}]}";
	static const char *const expected[] = {
		"deployment",
		"weight",
		"colour",
		"weight_store.concurrent",
		"pools/a.fencing",
		"models/m.memory_mib",
		"models/m.max_replicas",
		"models/m.replicas",
		"models/m",
		"models/m.pool",
		"models/m.priority",
		"models/n.base",
		"models[3]",
		"services/a/b.name",
		"services/a/b.pool",
		"services/a/b.repeatable",
	};
	GArray *problems = bsh_doc_problems_new();
	bsh_document_t doc;

	g_assert_cmpint(bsh_document_init(&doc, text, strlen(text), problems),
			==, BSH_ERR_INVALID);
	for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
		if (!has_problem(problems, expected[i]))
			g_error("missing problem: %s", expected[i]);
	}
	g_assert_cmpuint(problems->len, ==, G_N_ELEMENTS(expected));
	g_array_free(problems, TRUE);
}

/* Guards against pools whose names are cut off where they are keys: placements used
 * memory after its end as a second document named such a pool. */
static void test_long_pool_name(void)
{
	for (size_t length = 52; length <= 95; length++) {
		g_autofree char *name = g_strnfill(length, 'p');
		g_autofree char *quoted = g_strdup_printf("\"%s\"", name);
		g_autoptr(GString) text = g_string_new(valid);
		GArray *problems = bsh_doc_problems_new();
		bsh_document_t doc;

		g_string_replace(text, "\"assistant\"", quoted, 0);
		if (bsh_document_init(&doc, text->str, text->len, problems) ==
		    BSH_OK)
			bsh_document_finish(&doc);
		g_assert_cmpuint(problems->len, ==, length > 52 ? 1 : 0);
		g_array_free(problems, TRUE);
	}
}

/* Guards against a truncated document that is accepted in part: every proper
 * prefix of a valid document must be rejected. */
static void test_truncated(void)
{
	bsh_document_t doc;

	for (size_t n = 0; n < strlen(valid); n++) {
		GArray *problems = bsh_doc_problems_new();

		g_assert_cmpint(bsh_document_init(&doc, valid, n, problems), ==,
				BSH_ERR_INVALID);
		g_assert_cmpuint(problems->len, >, 0);
		g_array_free(problems, TRUE);
	}
}

/* Guards against a document above the size limit that is parsed. */
static void test_too_large(void)
{
	g_autofree char *text = g_strnfill(BSH_DOC_TEXT_MAX_BYTES + 1, ' ');
	GArray *problems = bsh_doc_problems_new();
	bsh_document_t doc;

	g_assert_cmpint(bsh_document_init(&doc, text, strlen(text), problems),
			==, BSH_ERR_TOO_LARGE);
	g_array_free(problems, TRUE);
}

/* Guards against a hash that depends on the layout: the same content, with
 * white space added or keys sorted, would count as a change. */
static void test_hash_ignores_layout(void)
{
	g_autofree char *spaced = g_strconcat("  ", valid, "\n", NULL);
	bsh_document_t a;
	bsh_document_t b;
	char *text;

	init_valid(&a, valid);
	text = bsh_document_text(&a);
	init_valid(&b, spaced);
	g_assert_cmpstr(a.hash, ==, b.hash);
	bsh_document_finish(&b);
	init_valid(&b, text);
	g_assert_cmpstr(a.hash, ==, b.hash);
	free(text);
	bsh_document_finish(&a);
	bsh_document_finish(&b);
}

static json_t *random_document(bsh_rng_t *rng)
{
	json_t *top = json_loads(valid, 0, NULL);
	json_t *models = json_object_get(top, "models");

	json_object_set_new(top, "weight", json_real(bsh_rng_unit(rng)));
	for (int i = 0; i < 12; i++) {
		char name[16];

		if (bsh_rng_below(rng, 2) == 0)
			continue;
		g_snprintf(name, sizeof(name), "m%d", i);
		json_array_append_new(
			models,
			json_pack("{s:s, s:s, s:i, s:i}", "name", name, "pool",
				  "assistant", "memory_mib", 100,
				  "max_replicas", (int)bsh_rng_below(rng, 3)));
	}
	return top;
}

/* Guards against a delta whose result differs from the document in the store,
 * and against one that is applied to another generation than its own. */
static void test_delta(void)
{
	GArray *problems = bsh_doc_problems_new();
	bsh_rng_t rng;

	bsh_rng_init(&rng, 7);
	for (int round = 0; round < 200; round++) {
		json_t *from_json = random_document(&rng);
		json_t *to_json = random_document(&rng);
		g_autoptr(GString) diff = g_string_new(NULL);
		bsh_document_t from;
		bsh_document_t to;
		bsh_document_t result;
		json_t *delta;

		g_assert_cmpint(
			bsh_document_init_json(&from, from_json, problems), ==,
			BSH_OK);
		g_assert_cmpint(bsh_document_init_json(&to, to_json, problems),
				==, BSH_OK);
		delta = bsh_document_delta(&from, &to);
		g_assert_cmpint(bsh_document_apply(&result, &from, delta), ==,
				BSH_OK);
		g_assert_cmpstr(result.hash, ==, to.hash);
		g_assert_cmpuint(bsh_document_diff(&result, &to, diff), ==, 0);
		bsh_document_finish(&result);
		if (strcmp(from.hash, to.hash) != 0) {
			g_assert_cmpint(bsh_document_apply(&result, &to, delta),
					==, BSH_ERR_CONFLICT);
			g_assert_cmpuint(bsh_document_diff(&from, &to, diff), >,
					 0);
		}
		json_decref(delta);
		json_decref(from_json);
		json_decref(to_json);
		bsh_document_finish(&from);
		bsh_document_finish(&to);
	}
	bsh_rng_finish(&rng);
	g_array_free(problems, TRUE);
}

/* Guards against a malformed delta that is applied: a missing or mistyped
 * key, an unknown entry, or a value of another name. */
static void test_malformed_delta(void)
{
	static const char *const deltas[] = {
		"{}",
		"{\"from\":1,\"to\":2,\"changes\":[]}",
		"{\"from\":\"%s\",\"to\":\"x\",\"changes\":[1]}",
		"{\"from\":\"%s\",\"to\":\"x\",\"changes\":[{\"section\":"
		"\"models\",\"name\":\"gone\",\"value\":null}]}",
		"{\"from\":\"%s\",\"to\":\"x\",\"changes\":[{\"section\":"
		"\"models\",\"name\":\"a\",\"value\":{\"name\":\"b\"}}]}",
		"{\"from\":\"%s\",\"to\":\"x\",\"changes\":[{\"section\":"
		"\"models\",\"name\":null,\"value\":[]}]}",
	};
	bsh_document_t from;
	bsh_document_t result;

	init_valid(&from, valid);
	for (size_t i = 0; i < G_N_ELEMENTS(deltas); i++) {
		char **parts = g_strsplit(deltas[i], "%s", 2);
		g_autofree char *text = g_strjoinv(from.hash, parts);
		json_t *delta = json_loads(text, 0, NULL);

		g_assert_nonnull(delta);
		g_assert_cmpint(bsh_document_apply(&result, &from, delta), ==,
				BSH_ERR_INVALID);
		json_decref(delta);
		g_strfreev(parts);
	}
	bsh_document_finish(&from);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/document/valid", test_valid);
	g_test_add_func("/document/every-reason", test_every_reason);
	g_test_add_func("/document/long-pool-name", test_long_pool_name);
	g_test_add_func("/document/truncated", test_truncated);
	g_test_add_func("/document/too-large", test_too_large);
	g_test_add_func("/document/hash-ignores-layout",
			test_hash_ignores_layout);
	g_test_add_func("/document/delta", test_delta);
	g_test_add_func("/document/malformed-delta", test_malformed_delta);
	return g_test_run();
}
