#include "base/settings.h"

#include <arpa/inet.h>
#include <math.h>
#include <sodium.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"

#define FIELD(f) offsetof(bsh_settings_t, f), sizeof(((bsh_settings_t *)0)->f)

/* A bound is rounded to the side on which it holds for the exact value, too:
 * what may be used at most is rounded down, what must have passed up. */
static const bsh_setting_t settings_table[] = {
	{ "instance", "name", BSH_SETTING_STRING, FIELD(instance), 1, 0, NULL,
	  BSH_ROUND_NONE, NULL },
	{ "instance", "zone", BSH_SETTING_STRING, FIELD(zone), 1, 0, NULL,
	  BSH_ROUND_NONE, NULL },
	{ "security", "key", BSH_SETTING_KEY, FIELD(key), 0, 0, NULL,
	  BSH_ROUND_NONE, NULL },
	{ "store", "address", BSH_SETTING_ADDRESS, FIELD(store_address), 0, 0,
	  NULL, BSH_ROUND_NONE, NULL },
	{ "router", "listen", BSH_SETTING_ADDRESS, FIELD(router_listen), 0, 0,
	  NULL, BSH_ROUND_NONE, NULL },
	{ "router", "admin", BSH_SETTING_ADDRESS, FIELD(router_admin), 0, 0,
	  NULL, BSH_ROUND_NONE, NULL },
	{ "router", "max_requests", BSH_SETTING_UINT,
	  FIELD(router_max_requests), 1, 1000000, "requests", BSH_ROUND_DOWN,
	  "4096" },
	{ "router", "body_max_bytes", BSH_SETTING_UINT,
	  FIELD(router_body_max_bytes), 1024, 1073741824, "bytes",
	  BSH_ROUND_DOWN, "4194304" },
	{ "control", "listen", BSH_SETTING_ADDRESS, FIELD(control_listen), 0, 0,
	  NULL, BSH_ROUND_NONE, NULL },
	{ "control", "link", BSH_SETTING_ADDRESS, FIELD(control_link), 0, 0,
	  NULL, BSH_ROUND_NONE, NULL },
	{ "control", "gossip", BSH_SETTING_ADDRESS, FIELD(control_gossip), 0, 0,
	  NULL, BSH_ROUND_NONE, NULL },
	{ "control", "seeds", BSH_SETTING_STRING, FIELD(control_seeds), 0, 0,
	  NULL, BSH_ROUND_NONE, "" },
	{ "console", "listen", BSH_SETTING_ADDRESS, FIELD(console_listen), 0, 0,
	  NULL, BSH_ROUND_NONE, "" },
	{ "timing", "probe_period_ms", BSH_SETTING_UINT, FIELD(probe_period_ms),
	  50, 60000, "ms", BSH_ROUND_DOWN, "1000" },
	{ "timing", "fresh_ms", BSH_SETTING_UINT, FIELD(fresh_ms), 500, 11000,
	  "ms", BSH_ROUND_DOWN, "8000" },
	{ "timing", "lease_ms", BSH_SETTING_UINT, FIELD(lease_ms), 500, 600000,
	  "ms", BSH_ROUND_UP, "6000" },
	{ "timing", "settle_ms", BSH_SETTING_UINT, FIELD(settle_ms), 0, 3600000,
	  "ms", BSH_ROUND_UP, "30000" },
	{ "timing", "drain_ms", BSH_SETTING_UINT, FIELD(drain_ms), 0, 3600000,
	  "ms", BSH_ROUND_DOWN, "60000" },
	{ "timing", "entry_keep_s", BSH_SETTING_UINT, FIELD(entry_keep_s), 1,
	  86400, "s", BSH_ROUND_DOWN, "30" },
	{ "timing", "journal_keep_s", BSH_SETTING_UINT, FIELD(journal_keep_s),
	  60, 31536000, "s", BSH_ROUND_UP, "86400" },
	{ "timeline", "events", BSH_SETTING_UINT, FIELD(timeline_events), 16,
	  10000000, "events", BSH_ROUND_DOWN, "4096" },
	{ "timeline", "flush_ms", BSH_SETTING_UINT, FIELD(timeline_flush_ms),
	  100, 600000, "ms", BSH_ROUND_DOWN, "10000" },
	{ "entry", "ready", BSH_SETTING_ADDRESS, FIELD(entry_ready), 0, 0, NULL,
	  BSH_ROUND_NONE, "" },
	{ "entry", "region", BSH_SETTING_STRING, FIELD(entry_region), 0, 0,
	  NULL, BSH_ROUND_NONE, "" },
	{ "entry", "resolve_keep_s", BSH_SETTING_UINT,
	  FIELD(entry_resolve_keep_s), 1, 3600, "s", BSH_ROUND_DOWN, "1" },
	{ "entry", "grace_s", BSH_SETTING_REAL, FIELD(entry_grace_s), 0, 86400,
	  "s", BSH_ROUND_NONE, "8" },
	{ "entry", "order_lease_ms", BSH_SETTING_UINT,
	  FIELD(entry_order_lease_ms), 500, 600000, "ms", BSH_ROUND_UP,
	  "3000" },
	{ "entry", "cpu_share", BSH_SETTING_REAL, FIELD(entry_cpu_share), 0,
	  1024, "cores", BSH_ROUND_NONE, "1" },
	{ "entry", "order_start_ms", BSH_SETTING_UINT,
	  FIELD(entry_order_start_ms), 0, 600000, "ms", BSH_ROUND_UP, "300" },
	{ "entry", "order_log_targets", BSH_SETTING_UINT,
	  FIELD(entry_order_log_targets), 0, 1000000, "", BSH_ROUND_DOWN, "0" },
	{ "entry", "store_loads", BSH_SETTING_UINT, FIELD(entry_store_loads), 1,
	  1000, "loads", BSH_ROUND_DOWN, "4" },
	{ "entry", "seed_loads", BSH_SETTING_UINT, FIELD(entry_seed_loads), 0,
	  1000, "loads", BSH_ROUND_DOWN, "3" },
	{ "entry", "drain_ms", BSH_SETTING_UINT, FIELD(entry_drain_ms), 0,
	  3600000, "ms", BSH_ROUND_DOWN, "2000" },
	{ "retry", "ratio", BSH_SETTING_REAL, FIELD(retry_ratio), 0, 1000,
	  "retries per request", BSH_ROUND_NONE, "0.2" },
	{ "retry", "slack", BSH_SETTING_UINT, FIELD(retry_slack), 0, 1000000000,
	  "retries", BSH_ROUND_DOWN, "50" },
	{ "retry", "window_s", BSH_SETTING_REAL, FIELD(retry_window_s), 0.001,
	  86400, "s", BSH_ROUND_NONE, "10" },
	{ "accounts", "revoke_ms", BSH_SETTING_UINT, FIELD(accounts_revoke_ms),
	  0, 3600000, "ms", BSH_ROUND_DOWN, "0" },
	{ "accounts", "limit_window_s", BSH_SETTING_REAL,
	  FIELD(accounts_limit_window_s), 0.1, 86400, "s", BSH_ROUND_NONE,
	  "8" },
	{ "accounts", "limit_overage", BSH_SETTING_REAL,
	  FIELD(accounts_limit_overage), 0, 100, "of the limit", BSH_ROUND_NONE,
	  "0.1" },
	{ "accounts", "limit_slack", BSH_SETTING_UINT,
	  FIELD(accounts_limit_slack), 0, 4000000000.0, "tokens or requests",
	  BSH_ROUND_DOWN, "0" },
	{ "instance", "memory_mb", BSH_SETTING_UINT, FIELD(instance_memory_mb),
	  0, 16777216, "MB", BSH_ROUND_DOWN, "0" },
	{ "instance", "max_descriptors", BSH_SETTING_UINT,
	  FIELD(instance_max_descriptors), 0, 16777216, "descriptors",
	  BSH_ROUND_DOWN, "0" },
	{ "routing", "pace", BSH_SETTING_UINT, FIELD(routing_pace), 0, 1, "",
	  BSH_ROUND_DOWN, "0" },
	{ "log", "level", BSH_SETTING_LEVEL, FIELD(log_level), 1, 0, NULL,
	  BSH_ROUND_NONE, "info" },
	{ "log", "lines_per_s", BSH_SETTING_UINT, FIELD(log_lines_per_s), 0,
	  1000000, "lines", BSH_ROUND_UP, "500" },
};

typedef struct {
	const char *path;
	char *text;
	GString *problems;
} report_t;

/* Line of a key, of its group if the key is absent, or 1.  GKeyFile does not
 * record line numbers, so the text is searched. */
static int find_line(const char *text, const char *group, const char *key)
{
	char **lines = g_strsplit(text, "\n", -1);
	g_autofree char *header = g_strdup_printf("[%s]", group);
	size_t key_length = key != NULL ? strlen(key) : 0;
	bool in_group = false;
	int found = 1;

	for (int i = 0; lines[i] != NULL; i++) {
		char *line = g_strstrip(lines[i]);

		if (line[0] == '[') {
			in_group = strcmp(line, header) == 0;
			if (in_group)
				found = i + 1;
		} else if (in_group && key != NULL &&
			   strncmp(line, key, key_length) == 0 &&
			   strchr(" \t=", line[key_length]) != NULL) {
			found = i + 1;
			break;
		}
	}
	g_strfreev(lines);
	return found;
}

static void report_problem(const report_t *report, const char *group,
			   const char *key, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

static void report_problem(const report_t *report, const char *group,
			   const char *key, const char *fmt, ...)
{
	va_list ap;

	g_string_append_printf(report->problems, "%s:%d: ", report->path,
			       find_line(report->text, group, key));
	if (key != NULL)
		g_string_append_printf(report->problems, "%s.%s: ", group, key);
	va_start(ap, fmt);
	g_string_append_vprintf(report->problems, fmt, ap);
	va_end(ap);
	g_string_append_c(report->problems, '\n');
}

bsh_error_t bsh_address_split(const char *address, char *host, size_t host_size,
			      uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	struct in6_addr parsed;
	char *end;
	guint64 number;
	size_t length;
	int family = AF_INET;

	if (colon == NULL || colon[1] < '0' || colon[1] > '9')
		return BSH_ERR_INVALID;
	number = g_ascii_strtoull(colon + 1, &end, 10);
	if (*end != '\0' || number > UINT16_MAX)
		return BSH_ERR_INVALID;
	length = (size_t)(colon - address);
	/* Without brackets, the port would be read as a part of the address by
	 * others. */
	if (length >= 2 && address[0] == '[' && address[length - 1] == ']') {
		family = AF_INET6;
		address++;
		length -= 2;
	}
	if (length == 0 || length >= host_size)
		return BSH_ERR_INVALID;
	memcpy(host, address, length);
	host[length] = '\0';
	if (inet_pton(family, host, &parsed) != 1)
		return BSH_ERR_INVALID;
	*port = (uint16_t)number;
	return BSH_OK;
}

/* Reads a decimal number, with a fraction or an exponent or without.  The forms
 * that only the C library takes (hexadecimal, infinities) are no numbers. */
static bool read_number(const char *value, double *number)
{
	char *end;

	if (value[0] == '\0' || value[strspn(value, "0123456789+-.eE")] != '\0')
		return false;
	*number = g_ascii_strtod(value, &end);
	return *end == '\0' && isfinite(*number);
}

static double round_setting(const bsh_setting_t *s, double number)
{
	switch (s->rounding) {
	case BSH_ROUND_DOWN:
		return floor(number);
	case BSH_ROUND_UP:
		return ceil(number);
	case BSH_ROUND_NONE:
		break;
	}
	return number;
}

static bool set_number(const report_t *report, const bsh_setting_t *s,
		       double *out, const char *value)
{
	double number;

	if (value[0] == '\0') {
		report_problem(report, s->group, s->key,
			       "is empty, a number is required");
		return false;
	}
	if (!read_number(value, &number)) {
		report_problem(report, s->group, s->key, "'%s' is not a number",
			       value);
		return false;
	}
	*out = round_setting(s, number);
	if (number < s->min || *out < s->min || *out > s->max) {
		report_problem(report, s->group, s->key,
			       "%s is out of range, allowed: %.10g to %.10g %s",
			       value, s->min, s->max, s->unit);
		return false;
	}
	return true;
}

static void set_key(const report_t *report, const bsh_setting_t *s,
		    uint8_t *out, const char *value)
{
	size_t length;
	const char *end;

	if (sodium_hex2bin(out, BSH_KEY_SIZE_BYTES, value, strlen(value), NULL,
			   &length, &end) != 0 ||
	    *end != '\0' || length != BSH_KEY_SIZE_BYTES)
		report_problem(report, s->group, s->key,
			       "must be %d hexadecimal digits",
			       2 * BSH_KEY_SIZE_BYTES);
}

static void set_value(const report_t *report, const bsh_setting_t *s,
		      char *field, const char *value)
{
	char host[BSH_ADDRESS_SIZE];
	uint16_t port;

	double number;

	switch (s->type) {
	case BSH_SETTING_UINT:
		if (set_number(report, s, &number, value))
			*(uint32_t *)(void *)field = (uint32_t)number;
		return;
	case BSH_SETTING_REAL:
		if (set_number(report, s, &number, value))
			*(double *)(void *)field = number;
		return;
	case BSH_SETTING_KEY:
		set_key(report, s, (uint8_t *)field, value);
		return;
	case BSH_SETTING_ADDRESS:
		if (value[0] == '\0' && s->default_value != NULL)
			break;
		if (bsh_address_split(value, host, sizeof(host), &port) !=
		    BSH_OK) {
			report_problem(report, s->group, s->key,
				       "'%s' is not IP:port", value);
			return;
		}
		break;
	case BSH_SETTING_LEVEL:
		if (bsh_log_level_parse(value) < 0) {
			report_problem(
				report, s->group, s->key,
				"'%s' is not error, warning, info or debug",
				value);
			return;
		}
		break;
	case BSH_SETTING_STRING:
		if (strlen(value) < (size_t)s->min) {
			report_problem(report, s->group, s->key,
				       "must not be empty");
			return;
		}
		break;
	}
	if (g_strlcpy(field, value, s->size_bytes) >= s->size_bytes)
		report_problem(report, s->group, s->key,
			       "is longer than %zu bytes", s->size_bytes - 1);
}

static bool is_known(const char *group, const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(settings_table); i++) {
		if (strcmp(settings_table[i].group, group) == 0 &&
		    (key == NULL || strcmp(settings_table[i].key, key) == 0))
			return true;
	}
	return false;
}

static void check_names(const report_t *report, GKeyFile *file)
{
	char **groups = g_key_file_get_groups(file, NULL);

	for (int i = 0; groups[i] != NULL; i++) {
		char **keys;

		if (!is_known(groups[i], NULL)) {
			report_problem(report, groups[i], NULL,
				       "unknown group [%s]", groups[i]);
			continue;
		}
		keys = g_key_file_get_keys(file, groups[i], NULL, NULL);
		for (int j = 0; keys != NULL && keys[j] != NULL; j++) {
			if (!is_known(groups[i], keys[j]))
				report_problem(report, groups[i], keys[j],
					       "unknown key");
		}
		g_strfreev(keys);
	}
	g_strfreev(groups);
}

static void read_values(const report_t *report, GKeyFile *file,
			bsh_settings_t *settings)
{
	for (size_t i = 0; i < G_N_ELEMENTS(settings_table); i++) {
		const bsh_setting_t *s = &settings_table[i];
		char *field = (char *)settings + s->offset;
		char *value =
			g_key_file_get_string(file, s->group, s->key, NULL);

		if (value == NULL && s->default_value == NULL)
			report_problem(report, s->group, s->key,
				       "required key is missing");
		else
			set_value(report, s, field,
				  value != NULL ? g_strstrip(value)
						: s->default_value);
		g_free(value);
	}
}

const bsh_setting_t *bsh_settings_table(size_t *n)
{
	*n = G_N_ELEMENTS(settings_table);
	return settings_table;
}

bsh_error_t bsh_settings_load(bsh_settings_t *settings, const char *path,
			      GString *problems)
{
	report_t report = { .path = path, .problems = problems };
	size_t old_length = problems->len;
	GKeyFile *file = g_key_file_new();
	GError *error = NULL;

	memset(settings, 0, sizeof(*settings));
	if (!g_file_get_contents(path, &report.text, NULL, &error) ||
	    !g_key_file_load_from_data(file, report.text, (gsize)-1,
				       G_KEY_FILE_NONE, &error)) {
		g_string_append_printf(problems, "%s: %s\n", path,
				       error->message);
		goto out;
	}
	check_names(&report, file);
	read_values(&report, file, settings);
out:
	g_clear_error(&error);
	g_key_file_free(file);
	g_free(report.text);
	return problems->len == old_length ? BSH_OK : BSH_ERR_INVALID;
}
