#ifndef BSH_NAIVE_LEAVING_H
#define BSH_NAIVE_LEAVING_H

#include "support/fleet.h"

extern const fleet_app_t fleet_naive_leaving;

/* Targets are numbered below 64. */
void naive_leaving_mark_target(void *app, guint target);
bool naive_leaving_is_target_leaving(void *app, guint target, int64_t now_us);

#endif
