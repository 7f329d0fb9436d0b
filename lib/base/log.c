#include "base/log.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024

static const char *const level_names[] = { "error", "warning", "info",
					   "debug" };
static char program_name[64] = "berylshunt";
static bsh_log_level_t max_level = BSH_LOG_INFO;

void bsh_log_init(const char *program, bsh_log_level_t level)
{
	g_strlcpy(program_name, program, sizeof(program_name));
	max_level = level;
}

int bsh_log_level_parse(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(name, level_names[i]) == 0)
			return (int)i;
	}
	return -1;
}

void bsh_log(bsh_log_level_t level, const char *fmt, ...)
{
	char line[LINE_MAX_BYTES];
	char stamp[32];
	struct timeval tv;
	struct tm tm;
	va_list ap;
	int n;
	int m;

	if (level > max_level)
		return;
	gettimeofday(&tv, NULL);
	gmtime_r(&tv.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(line, sizeof(line), "%s.%03dZ %s %s: ", stamp,
		     (int)(tv.tv_usec / 1000), level_names[level],
		     program_name);
	if (n < 0 || n >= LINE_MAX_BYTES - 1)
		return;
	va_start(ap, fmt);
	m = vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	va_end(ap);
	if (m < 0)
		return;
	n = MIN(n + m, LINE_MAX_BYTES - 2);
	line[n++] = '\n';
	/* A log line that cannot be written has nowhere else to go. */
	if (write(STDERR_FILENO, line, (size_t)n) < 0)
		return;
}
