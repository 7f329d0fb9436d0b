/* JSON from text that may hold any bytes. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/json_text.h"
#include "base/rng.h"

#define ROUNDS	      20000
#define TEXT_MAX_SIZE 40

static json_t *const no_value;
static const char *const no_text;

/* Any bytes, with parts of characters among them. */
static void draw_text(bsh_rng_t *rng, char *text)
{
	static const char *const pieces[] = {
		"a",
		"\303\251",
		"\303",
		"\251",
		"\360\237\230\200",
		"\360\237",
		"\355\240\200",
		"\300\200",
		"\364\220\200\200",
		"\"",
		"\\",
		"\n",
	};
	uint32_t n = bsh_rng_below(rng, 8);

	text[0] = '\0';
	for (uint32_t i = 0; i < n; i++) {
		const char any[] = { (char)(1 + bsh_rng_below(rng, 255)),
				     '\0' };
		const char *piece =
			bsh_rng_below(rng, 2) == 0
				? any
				: pieces[bsh_rng_below(rng,
						       G_N_ELEMENTS(pieces))];

		g_strlcat(text, piece, TEXT_MAX_SIZE);
	}
}

/* Guards against text that ends the process or is lost as it is not UTF-8. */
static void test_any_text(void)
{
	bsh_rng_t rng;

	bsh_rng_init(&rng, 66);
	for (int i = 0; i < ROUNDS; i++) {
		char text[TEXT_MAX_SIZE];
		json_t *json;
		json_t *read;
		char *written;

		draw_text(&rng, text);
		json = bsh_json_pack("{s:s, s:[s, i]}", "id", text, "list",
				     text, i);
		g_assert_nonnull(json);
		written = bsh_json_text(json, JSON_COMPACT);
		read = json_loads(written, 0, NULL);
		g_assert_nonnull(read);
		g_assert_true(json_equal(json, read));
		if (g_utf8_validate(text, -1, NULL))
			g_assert_cmpstr(
				json_string_value(json_object_get(read, "id")),
				==, text);
		free(written);
		json_decref(json);
		json_decref(read);
	}
	bsh_rng_finish(&rng);
}

/* Guards against an id in an answer that differs from that of its log lines. */
static void test_replaced_bytes(void)
{
	static const char *const cases[][2] = {
		{ "caf\351-1", "caf?-1" },
		{ "\303\251\303", "\303\251?" },
		{ "\360\237\230", "???" },
		{ "\377a\376", "?a?" },
		{ "", "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *json = bsh_json_string(cases[i][0]);

		g_assert_cmpstr(json_string_value(json), ==, cases[i][1]);
		json_decref(json);
	}
	g_assert_null(bsh_json_string(NULL));
}

/* Guards against a value that differs from what json_pack() makes of a format. */
static void test_same_as_jansson(void)
{
	json_t *value = json_pack("[i]", 1);
	json_t *expected;
	json_t *packed;

#define FORMAT                                                                 \
	"{s:s, s:i, s:I, s:f, s:b, s:b, s:n, s:O, s:O?, s:s?, s:[], s:{}, "    \
	"s:[s, {s:i}, [I]], s : o}"
#define VALUES                                                                 \
	"s", "text", "i", -5, "I", (json_int_t)1 << 40, "f", 1.5, "t", 1, "u", \
		0, "n", "O", value, "N", no_value, "S", no_text, "a", "o",     \
		"l", "x", "y", 3, (json_int_t)7, "last"
	expected = json_pack(FORMAT, VALUES, json_incref(value));
	packed = bsh_json_pack(FORMAT, VALUES, json_incref(value));
	g_assert_nonnull(expected);
	g_assert_true(json_equal(expected, packed));
	json_decref(expected);
	json_decref(packed);
	g_assert_cmpuint(value->refcount, ==, 1);
	json_decref(value);
}

/* Guards against a value without a part, or a reference that is lost, if a part
 * cannot be made; and against a result that is NULL. */
static void test_failures(void)
{
	json_t *value = json_integer(5);
	char *text;

	g_assert_null(bsh_json_pack("{s:s, s:o}", "a", no_text, "b",
				    json_incref(value)));
	g_assert_null(bsh_json_pack("[o, o]", json_incref(value), no_value));
	g_assert_null(bsh_json_pack("[o", json_incref(value)));
	g_assert_null(bsh_json_pack("{i:i}", 1, 1));
	g_assert_null(bsh_json_pack("q"));
	g_assert_null(bsh_json_pack(""));
	g_assert_cmpuint(value->refcount, ==, 1);
	json_decref(value);
	text = bsh_json_text(NULL, JSON_COMPACT);
	g_assert_cmpstr(text, ==, "null");
	free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/json-text/any-text", test_any_text);
	g_test_add_func("/json-text/replaced-bytes", test_replaced_bytes);
	g_test_add_func("/json-text/same-as-jansson", test_same_as_jansson);
	g_test_add_func("/json-text/failures", test_failures);
	return g_test_run();
}
