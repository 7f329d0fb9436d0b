#include <glib.h>
#include <glib/gstdio.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/error.h"
#include "base/hlc.h"
#include "base/settings.h"
#include "base/timeline.h"

#define KEY "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

static const char valid_text[] = "[instance]\nname=entry-1\nzone=ishikari-a\n"
				 "[security]\nkey=" KEY "\n"
				 "[store]\naddress=127.0.0.1:7000\n"
				 "[router]\nlisten=127.0.0.1:7001\n"
				 "admin=127.0.0.1:7002\n"
				 "[control]\nlisten=127.0.0.1:7003\n"
				 "link=127.0.0.1:7004\ngossip=127.0.0.1:7005\n";

static bsh_error_t load_text(const char *text, bsh_settings_t *settings,
			     GString *problems)
{
	g_autofree char *path = NULL;
	int fd = g_file_open_tmp("bsh-settings-XXXXXX", &path, NULL);
	bsh_error_t err;

	g_assert_cmpint(fd, >=, 0);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	err = bsh_settings_load(settings, path, problems);
	close(fd);
	g_unlink(path);
	return err;
}

static void test_settings_valid(void)
{
	bsh_settings_t settings;
	g_autoptr(GString) problems = g_string_new(NULL);

	g_assert_cmpint(load_text(valid_text, &settings, problems), ==, BSH_OK);
	g_assert_cmpstr(settings.instance, ==, "entry-1");
	g_assert_cmpuint(settings.fresh_ms, ==, 8000);
	g_assert_cmpuint(settings.key[31], ==, 0x1f);
}

/* Guards against a misspelled key that is ignored, so that the default stays in
 * effect, and against a report that omits some of the problems. */
static void test_settings_every_problem(void)
{
	g_autofree char *text =
		g_strconcat(valid_text,
			    "listne=127.0.0.1:1\n[timing]\nfresh_ms=99999\n"
			    "lease_ms=soon\n[colour]\na=b\n"
			    "[console]\nlisten=localhost:1\n"
			    "[log]\nlevel=loud\n",
			    NULL);
	bsh_settings_t settings;
	g_autoptr(GString) problems = g_string_new(NULL);

	g_assert_cmpint(load_text(text, &settings, problems), ==,
			BSH_ERR_INVALID);
	g_assert_nonnull(
		strstr(problems->str, ":15: control.listne: unknown key\n"));
	g_assert_nonnull(strstr(problems->str,
				":17: timing.fresh_ms: 99999 is out of "
				"range, allowed: 500 to 11000 ms\n"));
	g_assert_nonnull(
		strstr(problems->str,
		       ":18: timing.lease_ms: 'soon' is not a number\n"));
	g_assert_nonnull(
		strstr(problems->str, ":19: unknown group [colour]\n"));
	g_assert_nonnull(strstr(problems->str, ":22: console.listen: "
					       "'localhost:1' is not "
					       "IP:port\n"));
	g_assert_nonnull(strstr(problems->str, ":24: log.level: 'loud' is not "
					       "error, warning, info or "
					       "debug\n"));
}

/* Guards against a daemon that starts although a required key is missing. */
static void test_settings_missing(void)
{
	bsh_settings_t settings;
	g_autoptr(GString) problems = g_string_new(NULL);

	g_assert_cmpint(load_text("[instance]\nname=a\n", &settings, problems),
			==, BSH_ERR_INVALID);
	g_assert_nonnull(strstr(problems->str,
				"store.address: required key is missing"));
	g_string_truncate(problems, 0);
	g_assert_cmpint(load_text("not an ini file", &settings, problems), ==,
			BSH_ERR_INVALID);
	g_assert_cmpuint(problems->len, >, 0);
}

/* The valid settings with one more key, or with another value of a key that they
 * have; *line is the line of the key. */
static char *text_with(const bsh_setting_t *setting, const char *value,
		       int *line)
{
	GString *text = g_string_new(NULL);
	g_autofree char *header = g_strdup_printf("[%s]", setting->group);
	g_autofree char *prefix = g_strdup_printf("%s=", setting->key);
	g_auto(GStrv) lines = g_strsplit(valid_text, "\n", -1);
	bool in_group = false;
	int n = 0;

	*line = 0;
	for (guint i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++) {
		if (lines[i][0] == '[')
			in_group = strcmp(lines[i], header) == 0;
		if (in_group && g_str_has_prefix(lines[i], prefix))
			continue;
		g_string_append_printf(text, "%s\n", lines[i]);
		n++;
		if (lines[i][0] != '[' || !in_group)
			continue;
		g_string_append_printf(text, "%s%s\n", prefix, value);
		*line = ++n;
	}
	if (*line == 0) {
		g_string_append_printf(text, "%s\n%s%s\n", header, prefix,
				       value);
		*line = n + 2;
	}
	return g_string_free(text, FALSE);
}

/* Loads the settings with that value; returns the problems, empty: none. */
static char *load_value(const bsh_setting_t *setting, const char *value,
			bsh_settings_t *settings, int *line)
{
	g_autofree char *text = text_with(setting, value, line);
	GString *problems = g_string_new(NULL);

	load_text(text, settings, problems);
	return g_string_free(problems, FALSE);
}

static void assert_refused(const bsh_setting_t *setting, const char *value)
{
	bsh_settings_t settings;
	int line;
	g_autofree char *problems =
		load_value(setting, value, &settings, &line);
	g_autofree char *place = g_strdup_printf(":%d: %s.%s: ", line,
						 setting->group, setting->key);
	const char *end = strchr(problems, '\n');

	g_test_message("%s.%s=%s: %s", setting->group, setting->key, value,
		       problems);
	g_assert_nonnull(strstr(problems, place));
	/* One line, so that one fault is one problem. */
	g_assert_nonnull(end);
	g_assert_cmpstr(end, ==, "\n");
}

static double loaded_number(const bsh_setting_t *setting, const char *value)
{
	bsh_settings_t settings;
	int line;
	g_autofree char *problems =
		load_value(setting, value, &settings, &line);
	const char *field = (const char *)&settings + setting->offset;

	g_assert_cmpstr(problems, ==, "");
	if (setting->type == BSH_SETTING_REAL)
		return *(const double *)(const void *)field;
	return *(const uint32_t *)(const void *)field;
}

static void check_fraction(const bsh_setting_t *setting, double number)
{
	char value[G_ASCII_DTOSTR_BUF_SIZE];
	double loaded;

	g_ascii_dtostr(value, sizeof(value), number);
	loaded = loaded_number(setting, value);
	if (setting->type == BSH_SETTING_REAL) {
		g_assert_cmpfloat(loaded, ==, number);
		return;
	}
	g_assert_cmpfloat(fabs(loaded - number), <, 1);
	if (setting->rounding == BSH_ROUND_DOWN)
		g_assert_cmpfloat(loaded, <=, number);
	else
		g_assert_cmpfloat(loaded, >=, number);
}

/* Guards against a process that does not start on a deployment whose bounds are
 * not whole, and against one that starts with a bound that is looser than the
 * given one. */
static void test_settings_fractions(void)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(1);
	const bsh_setting_t *table;
	size_t n;

	table = bsh_settings_table(&n);
	for (size_t i = 0; i < n; i++) {
		const bsh_setting_t *s = &table[i];
		char value[G_ASCII_DTOSTR_BUF_SIZE];

		if (s->type != BSH_SETTING_UINT && s->type != BSH_SETTING_REAL)
			continue;
		for (int j = 0; j < 50; j++)
			check_fraction(
				s, g_rand_double_range(rand, s->min, s->max));
		check_fraction(s, s->min);
		check_fraction(s, s->max);
		g_ascii_formatd(value, sizeof(value), "%.17e", s->max);
		g_assert_cmpfloat(loaded_number(s, value), ==, s->max);
	}
}

/* Guards against a value that is no number, or an absurd one, that is read as
 * some other number, and against a message that does not name line and key. */
static void test_settings_unusable_values(void)
{
	static const char *const numbers[] = {
		"",
		"true",
		"-1",
		"nan",
		"inf",
		"0x10",
		"1e300",
		"-0.5",
		"1e-",
		"5,5",
		"5 5",
		"--1",
		"{{bounds.x}}",
		"[1]",
		"1e10",
		"null",
		"5ms",
		".",
		"1.2.3",
		"99999999999999999999999999999999999999"
	};
	static const char *const addresses[] = {
		"true", "5", "a:b", ":1", "10.0.0.1:99999", "10.0.0.1:-1"
	};
	static const char *const others[] = { "zz", "1.5", "true" };
	const bsh_setting_t *table;
	size_t n;

	table = bsh_settings_table(&n);
	for (size_t i = 0; i < n; i++) {
		const bsh_setting_t *s = &table[i];

		switch (s->type) {
		case BSH_SETTING_UINT:
		case BSH_SETTING_REAL:
			for (guint j = 0; j < G_N_ELEMENTS(numbers); j++)
				assert_refused(s, numbers[j]);
			break;
		case BSH_SETTING_ADDRESS:
			for (guint j = 0; j < G_N_ELEMENTS(addresses); j++)
				assert_refused(s, addresses[j]);
			break;
		case BSH_SETTING_KEY:
		case BSH_SETTING_LEVEL:
			for (guint j = 0; j < G_N_ELEMENTS(others); j++)
				assert_refused(s, others[j]);
			break;
		case BSH_SETTING_STRING:
			if (s->min > 0)
				assert_refused(s, "");
			break;
		}
	}
}

/* Guards against addresses that are read in another way by what connects to them,
 * and against texts that are none. */
static void test_address(void)
{
	static const char *const unusable[] = {
		"localhost:80",
		"127.0.0.1:70000",
		"127.0.0.1",
		"::1:80",
		"[127.0.0.1]:80",
		"[::1:80",
		"::1]:80",
		"[]:80",
		":80",
		"",
		"127.0.0.1 :80",
		"127.0.0.1:80 ",
		"127.0.0.1:+80",
		"127.0.0.1:0x50",
		"127..1:80",
		"127.1:80",
		"0x7f.0.0.1:80",
		"http://127.0.0.1:80/",
		"127.0.0.1:80:80",
		"fe80::1%lo:80",
		"[fe80::1%lo]:80",
		"127.0.0.1:80\n",
	};
	char host[BSH_ADDRESS_SIZE];
	uint16_t port;

	g_assert_cmpint(
		bsh_address_split("[::1]:80", host, sizeof(host), &port), ==,
		BSH_OK);
	g_assert_cmpstr(host, ==, "::1");
	g_assert_cmpuint(port, ==, 80);
	g_assert_cmpint(
		bsh_address_split("10.1.0.38:8149", host, sizeof(host), &port),
		==, BSH_OK);
	g_assert_cmpstr(host, ==, "10.1.0.38");
	g_assert_cmpuint(port, ==, 8149);
	for (size_t i = 0; i < G_N_ELEMENTS(unusable); i++) {
		if (bsh_address_split(unusable[i], host, sizeof(host), &port) ==
		    BSH_OK)
			g_test_message("%s", unusable[i]);
		g_assert_cmpint(bsh_address_split(unusable[i], host,
						  sizeof(host), &port),
				==, BSH_ERR_INVALID);
	}
}

/* Guards against a receive that is ordered before its send, and against a
 * timestamp far ahead in the future that advances the local clock. */
static void test_hlc(void)
{
	bsh_hlc_t sender;
	bsh_hlc_t receiver;
	bsh_hlc_stamp_t sent;
	bsh_hlc_stamp_t far_ahead = { .physical_us = INT64_MAX / 2 };

	bsh_hlc_init(&sender);
	bsh_hlc_init(&receiver);
	sent = bsh_hlc_tick(&sender, 1000);
	g_assert_true(bsh_hlc_receive(&receiver, 500, sent));
	g_assert_cmpint(bsh_hlc_compare(receiver.last, sent), >, 0);
	/* The wall clock steps back; timestamps still increase. */
	g_assert_cmpint(bsh_hlc_compare(bsh_hlc_tick(&receiver, 10), sent), >,
			0);
	g_assert_false(bsh_hlc_receive(&receiver, 600, far_ahead));
	g_assert_cmpint(receiver.last.physical_us, <, 2000);
}

/* Guards against a full ring that repeats, reorders or keeps overwritten
 * events. */
static void test_timeline_ring(void)
{
	bsh_timeline_t tl;
	bsh_hlc_t hlc;
	g_autoptr(GString) out = g_string_new(NULL);
	uint64_t last;

	bsh_hlc_init(&hlc);
	bsh_timeline_init(&tl, &hlc, "entry-1", "test", 7, 4);
	for (int i = 0; i < 10; i++)
		bsh_timeline_add(&tl, "step", "{s:i}", "i", i);
	last = bsh_timeline_print(&tl, 0, out);
	g_assert_cmpuint(last, ==, 10);
	g_assert_nonnull(strstr(out->str, "{\"i\":6}"));
	g_assert_null(strstr(out->str, "{\"i\":5}"));
	g_string_truncate(out, 0);
	g_assert_cmpuint(bsh_timeline_print(&tl, last, out), ==, 10);
	g_assert_cmpuint(out->len, ==, 0);
	bsh_timeline_finish(&tl);
}

static void test_error_table(void)
{
	for (int i = 0; i < BSH_ERR_COUNT; i++) {
		const bsh_error_info_t *info = bsh_error_info((bsh_error_t)i);

		g_assert_nonnull(info->name);
		g_assert_cmpuint(info->http_status, >=, 200);
	}
	g_assert_cmpstr(bsh_error_name((bsh_error_t)9999), ==, "internal");
}

static void test_counter_print(void)
{
	static bsh_counter_t a = BSH_COUNTER("bsh_test_total", "Test.");
	static bsh_counter_t b = BSH_COUNTER_LABELS("bsh_test_labels_total",
						    "Test.", "kind=\"x\"");
	g_autoptr(GString) out = g_string_new(NULL);

	bsh_counter_register(&a);
	bsh_counter_register(&a);
	bsh_counter_register(&b);
	bsh_counter_add(&a, 3);
	bsh_counter_print(out);
	g_assert_nonnull(strstr(out->str, "bsh_test_total 3\n"));
	g_assert_nonnull(
		strstr(out->str, "bsh_test_labels_total{kind=\"x\"} 0\n"));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/settings/valid", test_settings_valid);
	g_test_add_func("/base/settings/every-problem",
			test_settings_every_problem);
	g_test_add_func("/base/settings/missing", test_settings_missing);
	g_test_add_func("/base/settings/fractions", test_settings_fractions);
	g_test_add_func("/base/settings/unusable-values",
			test_settings_unusable_values);
	g_test_add_func("/base/address", test_address);
	g_test_add_func("/base/hlc", test_hlc);
	g_test_add_func("/base/timeline/ring", test_timeline_ring);
	g_test_add_func("/base/error/table", test_error_table);
	g_test_add_func("/base/counter/print", test_counter_print);
	return g_test_run();
}
