#include "naive/naive_leaving.h"

#include <string.h>

#define HEARTBEAT_US SIM_S
#define TIMEOUT_US   (3 * SIM_S)

typedef struct {
	fleet_t *fleet;
	guint node;
	uint64_t observed;    /* bit set of targets observed leaving here */
	uint64_t *reported;   /* bit set of the latest heartbeat, by node */
	int64_t *received_us; /* time of that heartbeat, by node */
	int64_t heartbeat_at_us;
} naive_t;

static void *start(fleet_t *f, guint node)
{
	naive_t *a = g_new0(naive_t, 1);

	a->fleet = f;
	a->node = node;
	a->reported = g_new0(uint64_t, f->n);
	a->received_us = g_new0(int64_t, f->n);
	a->heartbeat_at_us = f->sim.now_us;
	return a;
}

static void stop(void *ctx)
{
	naive_t *a = ctx;

	g_free(a->reported);
	g_free(a->received_us);
	g_free(a);
}

static int64_t tick(void *ctx, int64_t now_us)
{
	naive_t *a = ctx;

	if (now_us >= a->heartbeat_at_us) {
		a->heartbeat_at_us = now_us + HEARTBEAT_US;
		for (guint i = 0; i < a->fleet->n; i++) {
			if (i != a->node)
				fleet_send(a->fleet, a->node, i,
					   (const uint8_t *)&a->observed,
					   sizeof(a->observed), true);
		}
	}
	return a->heartbeat_at_us;
}

static void receive(void *ctx, int64_t now_us, guint from, uint64_t incarnation,
		    const uint8_t *data, size_t size, bool is_datagram)
{
	naive_t *a = ctx;

	(void)incarnation;
	(void)is_datagram;
	if (size != sizeof(a->observed))
		return;
	memcpy(&a->reported[from], data, size);
	a->received_us[from] = now_us;
}

static uint64_t generation(void *ctx)
{
	(void)ctx;
	return 0;
}

static bool takes_work(void *ctx, int64_t now_us)
{
	(void)ctx;
	(void)now_us;
	return false;
}

const fleet_app_t fleet_naive_leaving = { .start = start,
					  .stop = stop,
					  .tick = tick,
					  .receive = receive,
					  .generation = generation,
					  .takes_work = takes_work };

void naive_leaving_mark_target(void *ctx, guint target)
{
	((naive_t *)ctx)->observed |= UINT64_C(1) << target;
}

bool naive_leaving_is_target_leaving(void *ctx, guint target, int64_t now_us)
{
	naive_t *a = ctx;
	uint64_t all = a->observed;

	for (guint i = 0; i < a->fleet->n; i++) {
		if (now_us - a->received_us[i] < TIMEOUT_US)
			all |= a->reported[i];
	}
	return (all >> target) & 1;
}
