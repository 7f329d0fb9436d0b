#include "base/log.h"

#include <fcntl.h>
#include <glib.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
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
static pthread_mutex_t limit_lock = PTHREAD_MUTEX_INITIALIZER;
static uint32_t limit_per_s;
static int64_t limit_second;
static uint32_t lines_in_second;
static uint64_t dropped;
static uint64_t dropped_told;

void bsh_log_init(const char *program, bsh_log_level_t level)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	g_strlcpy(program_name, program, sizeof(program_name));
	max_level = level;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void bsh_log_limit(uint32_t lines_per_s)
{
	limit_per_s = lines_per_s;
}

uint64_t bsh_log_dropped(void)
{
	return dropped;
}

int bsh_log_level_parse(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(name, level_names[i]) == 0)
			return (int)i;
	}
	return -1;
}

/* True if the line may be written; counts it as left out otherwise. */
static bool take(bsh_log_level_t level, int64_t second)
{
	bool allowed = true;

	pthread_mutex_lock(&limit_lock);
	if (second != limit_second) {
		limit_second = second;
		lines_in_second = 0;
	}
	if (level >= BSH_LOG_INFO && limit_per_s > 0 &&
	    lines_in_second >= limit_per_s) {
		dropped++;
		allowed = false;
	} else {
		lines_in_second++;
	}
	pthread_mutex_unlock(&limit_lock);
	return allowed;
}

static void put(char *line, int size)
{
	bool lost;

	line[size++] = '\n';
	lost = write(STDOUT_FILENO, line, (size_t)size) != size;
	if (!lost)
		return;
	pthread_mutex_lock(&limit_lock);
	dropped++;
	pthread_mutex_unlock(&limit_lock);
}

static int start_line(char *line, size_t line_size, bsh_log_level_t level,
		      const struct timeval *now)
{
	char stamp[32];
	struct tm tm;
	int n;

	gmtime_r(&now->tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(line, line_size, "%s.%03dZ %s %s: ", stamp,
		     (int)(now->tv_usec / 1000), level_names[level],
		     program_name);
	return n < 0 || (size_t)n >= line_size ? -1 : n;
}

static void tell_dropped(const struct timeval *now)
{
	char line[LINE_MAX_BYTES];
	uint64_t lines = dropped - dropped_told;
	int n;

	if (lines == 0)
		return;
	n = start_line(line, sizeof(line), BSH_LOG_WARNING, now);
	if (n < 0)
		return;
	dropped_told += lines;
	n += snprintf(line + n, sizeof(line) - (size_t)n,
		      "log-dropped lines=%" G_GUINT64_FORMAT, lines);
	put(line, n);
}

void bsh_log(bsh_log_level_t level, const char *fmt, ...)
{
	char line[LINE_MAX_BYTES];
	struct timeval now;
	va_list ap;
	int n;
	int m;

	if (level > max_level)
		return;
	gettimeofday(&now, NULL);
	if (!take(level, now.tv_sec))
		return;
	tell_dropped(&now);
	n = start_line(line, sizeof(line) - 1, level, &now);
	if (n < 0)
		return;
	va_start(ap, fmt);
	m = vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	va_end(ap);
	if (m >= 0)
		put(line, MIN(n + m, LINE_MAX_BYTES - 2));
}
