/* Entries in the platform's store that were written by others, and cannot be read
 * or name no target. */
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "platform/read_json.h"
#include "support/platform_rig.h"

#define DEEP_LEVELS 5000
#define MUTATIONS   20000

typedef struct {
	platform_rig_t rig;
	rig_entry_t *entry;
	char *odd;
} fixture_t;

static char *deep_text(void)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < DEEP_LEVELS; i++)
		g_string_append(text, i % 2 == 0 ? "[" : "{\"a\":");
	g_string_append_c(text, '1');
	for (int i = DEEP_LEVELS - 1; i >= 0; i--)
		g_string_append_c(text, i % 2 == 0 ? ']' : '}');
	return g_string_free(text, FALSE);
}

static void set_up(fixture_t *f, gconstpointer odd)
{
	f->odd = strcmp(odd, "deep") == 0 ? deep_text() : g_strdup(odd);
	platform_rig_init(&f->rig);
	f->rig.odd_text = f->odd;
	platform_rig_configure(&f->rig, NULL);
	platform_rig_add_worker(&f->rig, "desk", NULL);
	f->entry = platform_rig_add_entry(&f->rig);
	platform_rig_add_entry(&f->rig);
	for (int i = 0; i < 2; i++)
		platform_rig_wait_ready(&f->rig, &f->rig.entries[i]);
}

static void tear_down(fixture_t *f, gconstpointer odd)
{
	(void)odd;
	platform_rig_finish(&f->rig);
	g_free(f->odd);
}

/* An entry that would be usable but for one value. */
static void write_odd_entry(fixture_t *f)
{
	platform_rig_write(&f->rig, "servers", "i-0-odd",
			   json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:s}",
				     "service", "desk", "zone", "z1", "version",
				     "v1", "state", "ready", "address", "@odd@",
				     "slots", 4, "seq", 1, "note", "@odd@"));
	platform_rig_write(
		&f->rig, "berylshunt-instances", "odd",
		json_pack("{s:s, s:s}", "gossip", "@odd@", "zone", "@odd@"));
}

static int status_of(fixture_t *f, const rig_entry_t *entry, const char *id)
{
	rig_reply_t reply = { 0 };
	int status;

	platform_rig_send(&f->rig, entry->front, "/look/1", id, NULL, 2000,
			  &reply);
	platform_rig_wait(&f->rig, &reply.done);
	status = reply.status;
	platform_rig_reply_clear(&reply);
	return status;
}

/* Guards against instances that end, or no longer follow the list of targets, as
 * one of its entries cannot be read. */
static void test_list_is_followed(fixture_t *f, gconstpointer odd)
{
	worker_t *second;

	(void)odd;
	write_odd_entry(f);
	platform_rig_run(&f->rig, 300);
	second = platform_rig_add_worker(&f->rig, "desk", NULL);
	platform_rig_publish_worker(&f->rig.workers[0], "draining");
	platform_rig_run(&f->rig, 1500);
	for (int i = 0; i < 2; i++) {
		g_autofree char *id = g_strdup_printf("follow%d", i);

		g_assert_cmpint(status_of(f, &f->rig.entries[i], id), ==, 200);
	}
	g_assert_cmpuint(second->runs, ==, 2);
	/* An instance that starts reads all of it at once. */
	platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, &f->rig.entries[2]);
	g_assert_cmpint(status_of(f, &f->rig.entries[2], "start"), ==, 200);
	platform_rig_reap(&f->rig);
	for (int i = 0; i < 3; i++)
		g_assert_true(f->rig.entries[i].alive);
}

static const char list_text[] =
	"{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":3},"
	"\"spec\":{\"x\":%s}},{\"metadata\":{\"name\":\"b\",\"revision\":4},"
	"\"spec\":{\"x\":2}}],\"truncated\":false,\"currentRev\":9}";

static void check_list(const char *odd)
{
	g_autofree char *text = g_strdup_printf(list_text, odd);
	uint32_t skipped;
	json_t *root = platform_read_json(text, strlen(text), &skipped);
	const json_t *items = json_object_get(root, "items");
	const json_t *first = json_array_get(items, 0);
	const json_t *second = json_array_get(items, 1);

	g_assert_cmpuint(skipped, ==, 1);
	g_assert_cmpuint(json_array_size(items), ==, 2);
	g_assert_cmpstr(json_string_value(json_object_get(
				json_object_get(first, "metadata"), "name")),
			==, "a");
	g_assert_null(json_object_get(first, "spec"));
	g_assert_cmpint(json_integer_value(json_object_get(
				json_object_get(second, "spec"), "x")),
			==, 2);
	g_assert_cmpint(json_integer_value(json_object_get(root, "currentRev")),
			==, 9);
	json_decref(root);
}

/* Guards against a value that hides the objects beside its own one, and against
 * the use of an object without the value. */
static void test_values(void)
{
	g_autofree char *deep = deep_text();

	check_list(deep);
	check_list("123456789012345678901234567890");
	check_list("-1e999");
	check_list("\"\xff\xfe\"");
	check_list("\"\\u0000\"");
	check_list("\"\\ud800\"");
	check_list("{\"y\":[1,{\"z\":\"}]\\\"\"},1e400]}");
}

/* Guards against texts that end a process, or are read past their end. */
static void test_mutations(void)
{
	g_autofree char *good = g_strdup_printf(list_text, "[1,\"s\",{}]");
	static const char alphabet[] = "{}[]\",:\\0e9.-\xff tn";
	size_t size = strlen(good);
	bsh_rng_t rng;

	bsh_rng_init(&rng, 7);
	for (int i = 0; i < MUTATIONS; i++) {
		uint32_t changes = 1 + bsh_rng_below(&rng, 6);
		uint32_t cut = bsh_rng_below(&rng, 4) == 0
				       ? bsh_rng_below(&rng, (uint32_t)size)
				       : 0;
		/* Of the exact size, so that a checker sees a read past it. */
		g_autofree char *text = g_memdup2(good, size - cut);
		uint32_t skipped;

		for (uint32_t c = 0; c < changes && size > cut; c++)
			text[bsh_rng_below(&rng, (uint32_t)(size - cut))] =
				alphabet[bsh_rng_below(&rng,
						       sizeof(alphabet) - 1)];
		json_decref(platform_read_json(text, size - cut, &skipped));
	}
	bsh_rng_finish(&rng);
}

static void start_pair(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	platform_rig_add_worker(&f->rig, "desk", NULL);
	for (int i = 0; i < 2; i++)
		platform_rig_add_entry(&f->rig);
	for (int i = 0; i < 2; i++)
		platform_rig_wait_ready(&f->rig, &f->rig.entries[i]);
}

static void stop_pair(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_finish(&f->rig);
}

static json_t *usable_entry(const fixture_t *f)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i}", "service",
			 "desk", "zone", "z1", "version", "v1", "state",
			 "ready", "address", f->rig.workers[0].address, "slots",
			 4, "seq", 1);
}

static gint64 metric(fixture_t *f, const rig_entry_t *entry, const char *name)
{
	g_autofree char *begin = g_strdup_printf("\n%s ", name);
	rig_reply_t reply = { 0 };
	const char *line;
	gint64 value = -1;

	platform_rig_send(&f->rig, entry->metrics, "/metrics", "metrics", NULL,
			  2000, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	line = reply.body != NULL ? strstr(reply.body, begin) : NULL;
	if (line != NULL)
		value = g_ascii_strtoll(line + strlen(begin), NULL, 10);
	platform_rig_reply_clear(&reply);
	return value;
}

/* Guards against an entry whose address is none and that is used as a target: each
 * request that is sent there fails. */
static void test_addresses(fixture_t *f, gconstpointer data)
{
	static const char *const hosts[] = {
		"%1$s:0",
		"",
		"%1$s :%2$s",
		":%2$s",
		"http://%1$s:%2$s/",
		"%1$s:%2$s:%2$s",
		"::1:%2$s",
		"7c1e13172c1e",
		"127..1:%2$s",
		"\303\274\304\260\364\217\277\277:%2$s",
		"%1$s:%2$s%2$s%2$s",
		"%1$s:-1",
		"[%1$s]:%2$s",
		"%1$s:%2$s\n"
	};
	g_auto(GStrv) parts = g_strsplit(f->rig.workers[0].address, ":", 2);

	(void)data;
	for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++) {
		g_autofree char *name = g_strdup_printf("h%zu-d67c48", i);
		g_autoptr(GString) address = g_string_new(hosts[i]);
		json_t *spec = usable_entry(f);

		g_string_replace(address, "%1$s", parts[0], 0);
		g_string_replace(address, "%2$s", parts[1], 0);
		json_object_set_new(spec, "address", json_string(address->str));
		platform_rig_write(&f->rig, "servers", name, spec);
	}
	platform_rig_run(&f->rig, 700);
	for (int i = 0; i < 2; i++) {
		g_autofree char *id = g_strdup_printf("address%d", i);

		g_assert_cmpint(metric(f, &f->rig.entries[i], "bsh_targets"),
				==, 1);
		g_assert_cmpint(status_of(f, &f->rig.entries[i], id), ==, 200);
	}
}

/* A stream that is taken up with texts that are no id. */
static void resume_forged(fixture_t *f)
{
	rig_request_t request = { .address = f->rig.entries[0].front,
				  .path = "/stream/1",
				  .id = "id2",
				  .deadline_ms = 1000,
				  .last_event_id = 1,
				  .began_by = "a end=forged" };
	rig_reply_t reply = { 0 };

	platform_rig_start(&f->rig, &request, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	platform_rig_reply_clear(&reply);
}

/* Guards against log lines, and fields of lines, that another writer of the store
 * or a caller has made up. */
static void test_forged_lines(fixture_t *f, gconstpointer data)
{
	static const char *const names[] = {
		"h1\n2026-01-01T00:00:00.000Z error bshentryd/entry-1: forged",
		"h2=a target=forged",
		"h3\tx",
		"h4 end=forged",
		"h5\"forged",
		"h6\302\233forged",
	};
	static const char *const fields[] = { "service", "zone", "version" };

	(void)data;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		json_t *spec = usable_entry(f);

		platform_rig_write(&f->rig, "servers", names[i], spec);
		for (size_t j = 0; j < G_N_ELEMENTS(fields); j++) {
			g_autofree char *name =
				g_strdup_printf("f%zu-%zu", i, j);

			spec = usable_entry(f);
			json_object_set_new(spec, fields[j],
					    json_string(names[i]));
			platform_rig_write(&f->rig, "servers", name, spec);
		}
		platform_rig_write(&f->rig, "berylshunt-suspects", names[i],
				   json_pack("{s:[s]}", "ends", "x"));
		platform_rig_write(&f->rig, "berylshunt-instances", names[i],
				   json_pack("{s:s, s:s, s:s}", "gossip",
					     "127.0.0.1:9", "entry",
					     "127.0.0.1:9", "zone", "z1"));
	}
	platform_rig_run(&f->rig, 700);
	status_of(f, f->rig.entries, "id1 end=forged status=forged");
	resume_forged(f);
	/* An instance that starts reads all of it at once. */
	platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, &f->rig.entries[2]);
	for (int i = 0; i < 3; i++) {
		g_autofree char *text = NULL;

		g_assert_true(g_file_get_contents(f->rig.entries[i].log_path,
						  &text, NULL, NULL));
		g_assert_null(strstr(text, "\nforged"));
		g_assert_null(strstr(text, " forged"));
		g_assert_null(strstr(text, "=forged"));
		g_assert_null(strstr(text, "\"forged"));
		g_assert_null(strstr(text, "\302\233"));
		g_assert_null(strchr(text, '\t'));
	}
}

int main(int argc, char **argv)
{
	static const char *const odd[][2] = {
		{ "deep", "deep" },
		{ "integer", "123456789012345678901234567890" },
		{ "real", "1e999" },
		{ "bytes", "\"\xff\xfe\"" },
		{ "port-too-high", "\"127.0.0.1:65536\"" },
		{ "port-zero", "\"127.0.0.1:0\"" },
	};

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/odd-entry/values", test_values);
	g_test_add_func("/odd-entry/mutations", test_mutations);
	g_test_add("/odd-entry/addresses", fixture_t, NULL, start_pair,
		   test_addresses, stop_pair);
	/* The log must go to a file. */
	g_unsetenv("BSH_RIG_LOG");
	g_test_add("/odd-entry/forged-lines", fixture_t, NULL, start_pair,
		   test_forged_lines, stop_pair);
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		g_autofree char *path =
			g_strconcat("/odd-entry/list/", odd[i][0], NULL);

		g_test_add(path, fixture_t, odd[i][1], set_up,
			   test_list_is_followed, tear_down);
	}
	return g_test_run();
}
