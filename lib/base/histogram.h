#ifndef BSH_BASE_HISTOGRAM_H
#define BSH_BASE_HISTOGRAM_H

/*
 * NAME
 *	histogram - latency histograms in Prometheus text format
 *
 * DESCRIPTION
 *	Fixed buckets from 1 ms to 16 s, each twice the one before.
 *	Histograms are declared statically, registered once at start and
 *	changed with relaxed atomics from any thread.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define BSH_HISTOGRAM_BUCKETS 15

typedef struct bsh_histogram {
	const char *name; /* bsh_..._seconds */
	const char *help; /* one sentence */
	const char *labels;
	int64_t counts[BSH_HISTOGRAM_BUCKETS + 1]; /* the last one: above */
	int64_t sum_us;
	struct bsh_histogram *next;
} bsh_histogram_t;

#define BSH_HISTOGRAM(n, h, l)                                                 \
	{                                                                      \
		.name = (n), .help = (h), .labels = (l)                        \
	}

/* bsh_histogram_register - add to the list printed; twice is safe. */
void bsh_histogram_register(bsh_histogram_t *histogram);
void bsh_histogram_observe(bsh_histogram_t *histogram, int64_t value_us);
/* bsh_histogram_print - append all registered histograms to out. */
void bsh_histogram_print(GString *out);

#endif
