#ifndef BSH_BASE_COUNTER_H
#define BSH_BASE_COUNTER_H

/*
 * NAME
 *	counter - process-wide counters and gauges in Prometheus text format
 *
 * DESCRIPTION
 *	Counters are declared statically and registered once at start.  The
 *	list of registered counters refers to them and never releases them.
 *
 *	All functions may be called from any thread; values are read and
 *	changed with relaxed atomics.
 */

#include <glib.h>
#include <stdint.h>

typedef struct bsh_counter {
	const char *name;   /* metric name, bsh_..., ending in the unit */
	const char *help;   /* HELP text, one sentence */
	const char *labels; /* label pairs such as "kind=\"x\"", or NULL */
	int is_gauge;
	int64_t value;
	struct bsh_counter *next;
} bsh_counter_t;

#define BSH_COUNTER(n, h)                                                      \
	{                                                                      \
		.name = (n), .help = (h)                                       \
	}
#define BSH_COUNTER_LABELS(n, h, l)                                            \
	{                                                                      \
		.name = (n), .help = (h), .labels = (l)                        \
	}
#define BSH_GAUGE(n, h)                                                        \
	{                                                                      \
		.name = (n), .help = (h), .is_gauge = 1                        \
	}

/*
 * bsh_counter_register - add a counter to the metrics output, after those of the
 * same name.  Registering a counter again has no effect.
 */
void bsh_counter_register(bsh_counter_t *counter);
/* bsh_counter_unregister - remove a counter, which may be freed then. */
void bsh_counter_unregister(bsh_counter_t *counter);

static inline void bsh_counter_add(bsh_counter_t *counter, int64_t n)
{
	__atomic_fetch_add(&counter->value, n, __ATOMIC_RELAXED);
}

static inline void bsh_counter_set(bsh_counter_t *counter, int64_t value)
{
	__atomic_store_n(&counter->value, value, __ATOMIC_RELAXED);
}

static inline int64_t bsh_counter_get(const bsh_counter_t *counter)
{
	return __atomic_load_n(&counter->value, __ATOMIC_RELAXED);
}

/* bsh_counter_print - append all registered counters and gauges to out. */
void bsh_counter_print(GString *out);

#endif
