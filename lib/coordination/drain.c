#include "coordination/drain.h"

#include <stddef.h>
#include <string.h>

#define TICK_US INT64_C(100000)

static const char *const kind_names[BSH_DRAIN_KINDS] = {
	[BSH_DRAIN_REQUESTS] = "requests",
	[BSH_DRAIN_JOURNAL] = "journal",
	[BSH_DRAIN_CELLS] = "cells",
	[BSH_DRAIN_MEMBERSHIP] = "membership",
	[BSH_DRAIN_CONNECTIONS] = "connections",
};

void bsh_drain_init(bsh_drain_t *drain, uint32_t drain_ms,
		    const bsh_drain_ops_t *ops, void *ctx)
{
	memset(drain, 0, sizeof(*drain));
	drain->ops = *ops;
	drain->ctx = ctx;
	drain->drain_us = (int64_t)drain_ms * 1000;
}

static bool has_time_limit(bsh_drain_kind_t kind)
{
	return kind != BSH_DRAIN_REQUESTS && kind != BSH_DRAIN_JOURNAL;
}

static void check_end(bsh_drain_t *drain, int64_t now_us)
{
	bool late = now_us - drain->begun_us >= drain->drain_us;
	bool clean = true;

	if (drain->state != BSH_DRAIN_DRAINING || drain->in_callbacks)
		return;
	for (int kind = 0; kind < BSH_DRAIN_KINDS; kind++) {
		if (drain->left[kind] == 0)
			continue;
		clean = false;
		if (!late || !has_time_limit((bsh_drain_kind_t)kind))
			return;
	}
	drain->state = BSH_DRAIN_ENDED;
	if (drain->ops.exit != NULL)
		drain->ops.exit(drain->ctx, clean);
}

static void call(bsh_drain_t *drain, void (*fn)(void *ctx))
{
	if (fn != NULL)
		fn(drain->ctx);
}

void bsh_drain_begin(bsh_drain_t *drain, int64_t now_us)
{
	if (drain->state != BSH_DRAIN_RUNNING)
		return;
	drain->state = BSH_DRAIN_DRAINING;
	drain->begun_us = now_us;
	/* A callback may call bsh_drain_set(), which must not end the drain
	 * before all callbacks have run. */
	drain->in_callbacks = true;
	call(drain, drain->ops.not_ready);
	call(drain, drain->ops.withdraw_from_entry);
	call(drain, drain->ops.announce_leaving);
	call(drain, drain->ops.hand_over_cells);
	call(drain, drain->ops.close_idle);
	drain->in_callbacks = false;
	check_end(drain, now_us);
}

bool bsh_drain_accepts(const bsh_drain_t *drain)
{
	return drain->state == BSH_DRAIN_RUNNING;
}

void bsh_drain_set(bsh_drain_t *drain, bsh_drain_kind_t kind, uint32_t left,
		   int64_t now_us)
{
	if ((unsigned int)kind >= BSH_DRAIN_KINDS)
		return;
	drain->left[kind] = left;
	check_end(drain, now_us);
}

bool bsh_drain_admit(bsh_drain_t *drain)
{
	if (!bsh_drain_accepts(drain))
		return false;
	drain->left[BSH_DRAIN_REQUESTS]++;
	return true;
}

void bsh_drain_release(bsh_drain_t *drain, int64_t now_us)
{
	if (drain->left[BSH_DRAIN_REQUESTS] > 0)
		drain->left[BSH_DRAIN_REQUESTS]--;
	check_end(drain, now_us);
}

void bsh_drain_tick(bsh_drain_t *drain, int64_t now_us)
{
	if (drain->state != BSH_DRAIN_DRAINING)
		return;
	/* Connections become idle as their requests end. */
	if (drain->left[BSH_DRAIN_CONNECTIONS] > 0)
		call(drain, drain->ops.close_idle);
	check_end(drain, now_us);
}

int64_t bsh_drain_next_us(const bsh_drain_t *drain, int64_t now_us)
{
	if (drain->state != BSH_DRAIN_DRAINING)
		return INT64_MAX;
	return now_us + TICK_US;
}

const char *bsh_drain_left(const bsh_drain_t *drain)
{
	for (int kind = 0; kind < BSH_DRAIN_KINDS; kind++) {
		if (drain->left[kind] > 0)
			return kind_names[kind];
	}
	return NULL;
}
