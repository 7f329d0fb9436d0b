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
#define LAST_EVENT_MAX	160
#define ESCAPE_BYTES	4 /* of "\\x0a" */
#define SECONDS_PER_DAY 86400

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
static _Thread_local char last_event[LAST_EVENT_MAX];

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

/* Escapes control characters, of which a line break in a text of another program
 * would begin a line of its own.  Returns the length; what does not fit is cut
 * off. */
static int escape_controls(char *line, int from, int length, int size)
{
	char escaped[LINE_MAX_BYTES];
	int n = from;

	for (int i = from; i < length && n < size; i++) {
		unsigned char c = (unsigned char)line[i];

		if (c >= ' ' && c != 0x7f)
			escaped[n++] = line[i];
		else if (n + ESCAPE_BYTES <= size)
			n += snprintf(escaped + n, ESCAPE_BYTES + 1, "\\x%02x",
				      c);
		else
			break;
	}
	memcpy(line + from, escaped + from, (size_t)(n - from));
	return n;
}

static bool has_control(const char *text, int length)
{
	for (int i = 0; i < length; i++)
		if ((unsigned char)text[i] < ' ' || text[i] == 0x7f)
			return true;
	return false;
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
	int length;

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
	if (text_size < 0) {
		count_dropped();
		return;
	}
	length = MIN(n + text_size, LINE_MAX_BYTES - 2);
	if (has_control(line + n, length - n))
		length = escape_controls(line, n, length, LINE_MAX_BYTES - 2);
	line[length] = '\0';
	g_strlcpy(last_event, line + n, sizeof(last_event));
	if (!write_line(line, append_stamp(line, length)))
		count_dropped();
}

const char *bsh_log_last_event(void)
{
	return last_event;
}

/* Date of a day since 1970-01-01; gmtime_r(3) takes a lock.  Years begin in March
 * here, so that a leap day is the last of its year. */
static void date_of(int64_t day, int *year, int *month, int *mday)
{
	int64_t shifted = day + 719468; /* since 0000-03-01 */
	int64_t era = shifted / 146097; /* of 400 years */
	int64_t of_era = shifted % 146097;
	int64_t y =
		(of_era - of_era / 1460 + of_era / 36524 - of_era / 146096) /
		365;
	int64_t of_year = of_era - (365 * y + y / 4 - y / 100);
	int64_t m = (5 * of_year + 2) / 153;

	*mday = (int)(of_year - (153 * m + 2) / 5 + 1);
	*month = (int)(m < 10 ? m + 3 : m - 9);
	*year = (int)(y + era * 400 + (*month <= 2));
}

void bsh_log_from_handler(const char *text)
{
	char line[LINE_MAX_BYTES + STAMP_MAX_BYTES];
	bsh_hlc_stamp_t stamp = clock_hlc.last;
	struct timespec now;
	int64_t now_us;
	int second;
	int year;
	int month;
	int mday;
	int n;

	clock_gettime(CLOCK_REALTIME, &now);
	now_us = now.tv_sec * INT64_C(1000000) + now.tv_nsec / 1000;
	second = (int)(now.tv_sec % SECONDS_PER_DAY);
	date_of(now.tv_sec / SECONDS_PER_DAY, &year, &month, &mday);
	n = snprintf(line, LINE_MAX_BYTES,
		     "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ error %s%s: %s", year,
		     month, mday, second / 3600, second / 60 % 60, second % 60,
		     (int)(now.tv_nsec / 1000000), program_name, instance_name,
		     text);
	if (n < 0)
		return;
	n = MIN(n, LINE_MAX_BYTES - 2);
	/* The clock is read without its lock, which this thread may hold. */
	if (stamp.physical_us < now_us)
		stamp = (bsh_hlc_stamp_t){ .physical_us = now_us };
	else
		stamp.logical++;
	if (instance_name[0] != '\0')
		n += snprintf(line + n, STAMP_MAX_BYTES,
			      " hlc=%" G_GINT64_FORMAT ".%u", stamp.physical_us,
			      stamp.logical);
	write_line(line, n);
}
