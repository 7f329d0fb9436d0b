#include "base/histogram.h"

#include <pthread.h>
#include <string.h>

#define FIRST_BUCKET_US INT64_C(1000)

static pthread_mutex_t list_lock = PTHREAD_MUTEX_INITIALIZER;
static bsh_histogram_t *first;
static bsh_histogram_t *last;

void bsh_histogram_register(bsh_histogram_t *histogram)
{
	pthread_mutex_lock(&list_lock);
	if (histogram->next == NULL && histogram != last) {
		if (last == NULL)
			first = histogram;
		else
			last->next = histogram;
		last = histogram;
	}
	pthread_mutex_unlock(&list_lock);
}

void bsh_histogram_observe(bsh_histogram_t *histogram, int64_t value_us)
{
	int64_t bound_us = FIRST_BUCKET_US;
	int bucket = 0;

	while (bucket < BSH_HISTOGRAM_BUCKETS && value_us > bound_us) {
		bound_us *= 2;
		bucket++;
	}
	__atomic_fetch_add(&histogram->counts[bucket], 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&histogram->sum_us, value_us, __ATOMIC_RELAXED);
}

static void print_sample(GString *out, const bsh_histogram_t *histogram,
			 const char *suffix, const char *bound, double value)
{
	bool has_labels = histogram->labels != NULL;

	g_string_append_printf(out, "%s%s", histogram->name, suffix);
	if (has_labels || bound != NULL)
		g_string_append_printf(out, "{%s%s",
				       has_labels ? histogram->labels : "",
				       has_labels && bound != NULL ? "," : "");
	if (bound != NULL)
		g_string_append_printf(out, "le=\"%s\"", bound);
	if (has_labels || bound != NULL)
		g_string_append_c(out, '}');
	g_string_append_printf(out, " %.15g\n", value);
}

static void print_histogram(GString *out, const bsh_histogram_t *histogram)
{
	int64_t bound_us = FIRST_BUCKET_US;
	int64_t total = 0;
	char bound[32];

	for (int i = 0; i <= BSH_HISTOGRAM_BUCKETS; i++) {
		total += __atomic_load_n(&histogram->counts[i],
					 __ATOMIC_RELAXED);
		g_snprintf(bound, sizeof(bound), "%g", (double)bound_us / 1e6);
		print_sample(out, histogram, "_bucket",
			     i < BSH_HISTOGRAM_BUCKETS ? bound : "+Inf",
			     (double)total);
		bound_us *= 2;
	}
	print_sample(
		out, histogram, "_sum", NULL,
		(double)__atomic_load_n(&histogram->sum_us, __ATOMIC_RELAXED) /
			1e6);
	print_sample(out, histogram, "_count", NULL, (double)total);
}

void bsh_histogram_print(GString *out)
{
	const char *previous_name = "";

	pthread_mutex_lock(&list_lock);
	for (const bsh_histogram_t *h = first; h != NULL; h = h->next) {
		if (strcmp(previous_name, h->name) != 0)
			g_string_append_printf(
				out, "# HELP %s %s\n# TYPE %s histogram\n",
				h->name, h->help, h->name);
		previous_name = h->name;
		print_histogram(out, h);
	}
	pthread_mutex_unlock(&list_lock);
}
