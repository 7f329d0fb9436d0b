#ifndef BSH_BASE_HISTOGRAM_H
#define BSH_BASE_HISTOGRAM_H

/*
 * NAME
 *	histogram - latency histograms in Prometheus text format
 *
 * DESCRIPTION
 *	The upper bounds of the buckets are fixed: 1 ms to 16.384 s, each
 *	twice the previous one, and +Inf.  Histograms are declared statically
 *	and registered once at start.  The list of registered histograms
 *	refers to them and never releases them.
 *
 *	All functions may be called from any thread; values are read and
 *	changed with relaxed atomics.  Observations are in microseconds,
 *	the output is in seconds.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Buckets with a finite upper bound. */
#define BSH_HISTOGRAM_BUCKETS 15

typedef struct bsh_histogram {
	const char *name;   /* metric name, bsh_..._seconds */
	const char *help;   /* HELP text, one sentence */
	const char *labels; /* label pairs such as "kind=\"x\"", or NULL */
	/* Observations of each bucket, not cumulative; the last bucket has no
	 * upper bound. */
	int64_t counts[BSH_HISTOGRAM_BUCKETS + 1];
	int64_t sum_us;
	struct bsh_histogram *next;
} bsh_histogram_t;

#define BSH_HISTOGRAM(n, h, l)                                                 \
	{                                                                      \
		.name = (n), .help = (h), .labels = (l)                        \
	}

/*
 * bsh_histogram_register - add a histogram to the metrics output.  Registering
 * a histogram again has no effect.  Histograms that share a name and differ in
 * their labels must be registered consecutively, because HELP and TYPE are
 * printed once for each run of equal names.
 */
void bsh_histogram_register(bsh_histogram_t *histogram);

/* bsh_histogram_observe - record one duration. */
void bsh_histogram_observe(bsh_histogram_t *histogram, int64_t value_us);
/* bsh_histogram_print - append all registered histograms to out. */
void bsh_histogram_print(GString *out);

#endif
