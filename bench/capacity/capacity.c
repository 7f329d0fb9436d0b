#include "capacity.h"

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define REFERENCE_STEPS	     1000
#define REFERENCE_ITERATIONS 20000

static void usage(void)
{
	fprintf(stderr, "usage: capacity [document | instances ...]\n");
	exit(1);
}

void capacity_row(const char *part, const char *measure, guint instances,
		  double value, const char *unit, double limit)
{
	printf("%s\t%s\t%u\t%.3f\t%s\t", part, measure, instances, value, unit);
	if (limit > 0)
		printf("%.0f%s", limit, value > limit ? "\tOVER" : "");
	printf("\n");
	fflush(stdout);
}

/* An iteration is 1,000 dependent steps of xorshift64, without memory access. */
double capacity_reference_ns(void)
{
	volatile uint64_t sink;
	struct timespec a;
	struct timespec b;
	uint64_t x = 88172645463325252u;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &a);
	for (int i = 0; i < REFERENCE_ITERATIONS * REFERENCE_STEPS; i++) {
		x ^= x << 13;
		x ^= x >> 7;
		x ^= x << 17;
	}
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &b);
	sink = x;
	(void)sink;
	return ((double)(b.tv_sec - a.tv_sec) * 1e9 +
		(double)(b.tv_nsec - a.tv_nsec)) /
	       REFERENCE_ITERATIONS;
}

int main(int argc, char **argv)
{
	static const guint sizes[] = { 6, 50, 200, 1100 };
	static const guint entries[] = { 90, 870, 2000, 5270 };

	if (argc == 1 || (argc == 2 && strcmp(argv[1], "document") == 0)) {
		for (size_t i = 0; i < G_N_ELEMENTS(entries); i++)
			capacity_document(entries[i]);
		if (argc == 2)
			return 0;
		for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
			capacity_members(sizes[i]);
		return 0;
	}
	for (int i = 1; i < argc; i++) {
		char *end;
		unsigned long n = strtoul(argv[i], &end, 10);

		if (*end != '\0' || n < 3 || n > 5000)
			usage();
		capacity_members((guint)n);
	}
	return 0;
}
