#include "base/settings.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"

typedef enum {
	TYPE_STRING,
	TYPE_ADDRESS, /* "IP:port"; may be empty only if the default is */
	TYPE_UINT,
	TYPE_REAL, /* zero or positive */
	TYPE_KEY,  /* hexadecimal digits */
	TYPE_LEVEL /* log level */
} setting_type_t;

typedef struct {
	const char *group;
	const char *key;
	setting_type_t type;
	size_t offset; /* of the field in bsh_settings_t */
	size_t size_bytes;
	int64_t min; /* smallest TYPE_UINT value or TYPE_STRING length */
	int64_t max; /* largest TYPE_UINT value */
	const char *default_value; /* NULL: required */
} setting_t;

#define FIELD(f) offsetof(bsh_settings_t, f), sizeof(((bsh_settings_t *)0)->f)

static const setting_t settings_table[] = {
	{ "instance", "name", TYPE_STRING, FIELD(instance), 1, 0, NULL },
	{ "instance", "zone", TYPE_STRING, FIELD(zone), 1, 0, NULL },
	{ "security", "key", TYPE_KEY, FIELD(key), 0, 0, NULL },
	{ "store", "address", TYPE_ADDRESS, FIELD(store_address), 0, 0, NULL },
	{ "router", "listen", TYPE_ADDRESS, FIELD(router_listen), 0, 0, NULL },
	{ "router", "admin", TYPE_ADDRESS, FIELD(router_admin), 0, 0, NULL },
	{ "router", "max_requests", TYPE_UINT, FIELD(router_max_requests), 1,
	  1000000, "4096" },
	{ "router", "body_max_bytes", TYPE_UINT, FIELD(router_body_max_bytes),
	  1024, 1 << 30, "4194304" },
	{ "control", "listen", TYPE_ADDRESS, FIELD(control_listen), 0, 0,
	  NULL },
	{ "control", "link", TYPE_ADDRESS, FIELD(control_link), 0, 0, NULL },
	{ "control", "gossip", TYPE_ADDRESS, FIELD(control_gossip), 0, 0,
	  NULL },
	{ "control", "seeds", TYPE_STRING, FIELD(control_seeds), 0, 0, "" },
	{ "console", "listen", TYPE_ADDRESS, FIELD(console_listen), 0, 0, "" },
	{ "timing", "probe_period_ms", TYPE_UINT, FIELD(probe_period_ms), 50,
	  60000, "1000" },
	{ "timing", "fresh_ms", TYPE_UINT, FIELD(fresh_ms), 500, 11000,
	  "8000" },
	{ "timing", "lease_ms", TYPE_UINT, FIELD(lease_ms), 500, 600000,
	  "6000" },
	{ "timing", "settle_ms", TYPE_UINT, FIELD(settle_ms), 0, 3600000,
	  "30000" },
	{ "timing", "drain_ms", TYPE_UINT, FIELD(drain_ms), 0, 3600000,
	  "60000" },
	{ "timing", "entry_keep_s", TYPE_UINT, FIELD(entry_keep_s), 1, 86400,
	  "30" },
	{ "timing", "journal_keep_s", TYPE_UINT, FIELD(journal_keep_s), 60,
	  31536000, "86400" },
	{ "timeline", "events", TYPE_UINT, FIELD(timeline_events), 16, 10000000,
	  "4096" },
	{ "timeline", "flush_ms", TYPE_UINT, FIELD(timeline_flush_ms), 100,
	  600000, "10000" },
	{ "entry", "ready", TYPE_ADDRESS, FIELD(entry_ready), 0, 0, "" },
	{ "entry", "region", TYPE_STRING, FIELD(entry_region), 0, 0, "" },
	{ "entry", "resolve_keep_s", TYPE_UINT, FIELD(entry_resolve_keep_s), 1,
	  3600, "1" },
	{ "entry", "grace_s", TYPE_REAL, FIELD(entry_grace_s), 0, 0, "8" },
	{ "entry", "order_lease_ms", TYPE_UINT, FIELD(entry_order_lease_ms),
	  500, 600000, "3000" },
	{ "entry", "cpu_share", TYPE_REAL, FIELD(entry_cpu_share), 0, 0, "1" },
	{ "entry", "order_start_ms", TYPE_UINT, FIELD(entry_order_start_ms), 0,
	  600000, "300" },
	{ "entry", "store_loads", TYPE_UINT, FIELD(entry_store_loads), 1, 1000,
	  "4" },
	{ "entry", "seed_loads", TYPE_UINT, FIELD(entry_seed_loads), 0, 1000,
	  "3" },
	{ "entry", "drain_ms", TYPE_UINT, FIELD(entry_drain_ms), 0, 60000,
	  "2000" },
	{ "retry", "ratio", TYPE_REAL, FIELD(retry_ratio), 0, 0, "0.2" },
	{ "retry", "slack", TYPE_UINT, FIELD(retry_slack), 0, 1000000, "50" },
	{ "retry", "window_s", TYPE_REAL, FIELD(retry_window_s), 0, 0, "10" },
	{ "log", "level", TYPE_LEVEL, FIELD(log_level), 1, 0, "info" },
	{ "log", "lines_per_s", TYPE_UINT, FIELD(log_lines_per_s), 0, 1000000,
	  "500" },
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

	if (colon == NULL || colon[1] < '0' || colon[1] > '9')
		return BSH_ERR_INVALID;
	number = g_ascii_strtoull(colon + 1, &end, 10);
	if (*end != '\0' || number > UINT16_MAX)
		return BSH_ERR_INVALID;
	length = (size_t)(colon - address);
	if (length >= 2 && address[0] == '[' && address[length - 1] == ']') {
		address++;
		length -= 2;
	}
	if (length == 0 || length >= host_size)
		return BSH_ERR_INVALID;
	memcpy(host, address, length);
	host[length] = '\0';
	if (inet_pton(AF_INET, host, &parsed) != 1 &&
	    inet_pton(AF_INET6, host, &parsed) != 1)
		return BSH_ERR_INVALID;
	*port = (uint16_t)number;
	return BSH_OK;
}

static void set_uint(const report_t *report, const setting_t *s, uint32_t *out,
		     const char *value)
{
	char *end;
	gint64 number = g_ascii_strtoll(value, &end, 10);

	if (value[0] == '\0' || *end != '\0') {
		report_problem(report, s->group, s->key,
			       "'%s' is not a whole number", value);
		return;
	}
	if (number < s->min || number > s->max) {
		report_problem(report, s->group, s->key,
			       "%" G_GINT64_FORMAT " is out of range, allowed: "
			       "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
			       number, (gint64)s->min, (gint64)s->max);
		return;
	}
	*out = (uint32_t)number;
}

static void set_real(const report_t *report, const setting_t *s, double *out,
		     const char *value)
{
	char *end;
	double number = g_ascii_strtod(value, &end);

	if (value[0] == '\0' || *end != '\0' || !(number >= 0) ||
	    number > G_MAXUINT32) {
		report_problem(report, s->group, s->key,
			       "'%s' is not a number of 0 or more", value);
		return;
	}
	*out = number;
}

static void set_key(const report_t *report, const setting_t *s, uint8_t *out,
		    const char *value)
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

static void set_value(const report_t *report, const setting_t *s, char *field,
		      const char *value)
{
	char host[BSH_ADDRESS_SIZE];
	uint16_t port;

	switch (s->type) {
	case TYPE_UINT:
		set_uint(report, s, (uint32_t *)(void *)field, value);
		return;
	case TYPE_REAL:
		set_real(report, s, (double *)(void *)field, value);
		return;
	case TYPE_KEY:
		set_key(report, s, (uint8_t *)field, value);
		return;
	case TYPE_ADDRESS:
		if (value[0] == '\0' && s->default_value != NULL)
			break;
		if (bsh_address_split(value, host, sizeof(host), &port) !=
		    BSH_OK) {
			report_problem(report, s->group, s->key,
				       "'%s' is not IP:port", value);
			return;
		}
		break;
	case TYPE_LEVEL:
		if (bsh_log_level_parse(value) < 0) {
			report_problem(
				report, s->group, s->key,
				"'%s' is not error, warning, info or debug",
				value);
			return;
		}
		break;
	case TYPE_STRING:
		if ((int64_t)strlen(value) < s->min) {
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
		const setting_t *s = &settings_table[i];
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
