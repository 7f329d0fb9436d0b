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
/* Fits " hlc=", 16 digits, a point and 10 digits. */
#define STAMP_MAX_BYTES 40

static const char *const level_names[] = { "error", "warning", "info",
					   "debug" };
static char program_name[64] = "berylshunt";
static char instance_name[96]; /* with a leading slash; "": not set */
static bsh_log_level_t max_level = BSH_LOG_INFO;
static pthread_mutex_t limit_lock = PTHREAD_MUTEX_INITIALIZER;
static uint32_t limit_per_s;
static int64_t limit_second; /* second that lines_in_second refers to */
static uint32_t lines_in_second;
static uint64_t dropped;
static uint64_t dropped_reported;
static pthread_mutex_t clock_lock = PTHREAD_MUTEX_INITIALIZER;
static bsh_hlc_t clock_hlc;

void bsh_log_init(const char *program, bsh_log_level_t level)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	g_strlcpy(program_name, program, sizeof(program_name));
	max_level = level;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void bsh_log_set_instance(const char *instance)
{
	g_snprintf(instance_name, sizeof(instance_name), "/%s", instance);
}

bsh_hlc_stamp_t bsh_log_stamp(void)
{
	bsh_hlc_stamp_t stamp;

	pthread_mutex_lock(&clock_lock);
	stamp = bsh_hlc_tick(&clock_hlc, g_get_real_time());
	pthread_mutex_unlock(&clock_lock);
	return stamp;
}

bool bsh_log_receive_stamp(bsh_hlc_stamp_t stamp)
{
	bool adopted;

	pthread_mutex_lock(&clock_lock);
	adopted = bsh_hlc_receive(&clock_hlc, g_get_real_time(), stamp);
	pthread_mutex_unlock(&clock_lock);
	return adopted;
}

void bsh_log_set_rate_limit(uint32_t lines_per_s)
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

/* Apply the rate limit.  False if the line must be dropped; it is then counted
 * as dropped. */
static bool apply_rate_limit(bsh_log_level_t level, int64_t second)
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

/* Write a line.  False if the pipe is full: a write of at most PIPE_BUF bytes
 * is atomic, so the line is written whole or not at all. */
static bool write_line(char *line, int size)
{
	line[size++] = '\n';
	return write(STDOUT_FILENO, line, (size_t)size) == size;
}

static void count_dropped(void)
{
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
	n = snprintf(line, line_size, "%s.%03dZ %s %s%s: ", stamp,
		     (int)(now->tv_usec / 1000), level_names[level],
		     program_name, instance_name);
	return n < 0 || (size_t)n >= line_size ? -1 : n;
}

static int append_stamp(char *line, int n)
{
	bsh_hlc_stamp_t stamp;

	if (instance_name[0] == '\0')
		return n;
	stamp = bsh_log_stamp();
	return n + snprintf(line + n, STAMP_MAX_BYTES,
			    " hlc=%" G_GINT64_FORMAT ".%u", stamp.physical_us,
			    stamp.logical);
}

static void report_dropped(const struct timeval *now)
{
	char line[LINE_MAX_BYTES + STAMP_MAX_BYTES];
	uint64_t lines = dropped - dropped_reported;
	int n;

	if (lines == 0)
		return;
	n = start_line(line, LINE_MAX_BYTES, BSH_LOG_WARNING, now);
	if (n < 0)
		return;
	n += snprintf(line + n, LINE_MAX_BYTES - (size_t)n,
		      "log-dropped lines=%" G_GUINT64_FORMAT, lines);
	/* If this line is dropped too, the next report includes its count. */
	if (write_line(line, append_stamp(line, n)))
		dropped_reported += lines;
}

void bsh_log(bsh_log_level_t level, const char *fmt, ...)
{
	char line[LINE_MAX_BYTES + STAMP_MAX_BYTES];
	struct timeval now;
	va_list ap;
	int n;
	int text_size;

	if (level > max_level)
		return;
	gettimeofday(&now, NULL);
	if (!apply_rate_limit(level, now.tv_sec))
		return;
	report_dropped(&now);
	n = start_line(line, LINE_MAX_BYTES - 1, level, &now);
	if (n < 0)
		return;
	va_start(ap, fmt);
	text_size =
		vsnprintf(line + n, LINE_MAX_BYTES - (size_t)n - 1, fmt, ap);
	va_end(ap);
	if (text_size < 0 ||
	    !write_line(line, append_stamp(line, MIN(n + text_size,
						     LINE_MAX_BYTES - 2))))
		count_dropped();
}
