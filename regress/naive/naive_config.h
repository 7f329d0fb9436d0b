#ifndef BSH_NAIVE_CONFIG_H
#define BSH_NAIVE_CONFIG_H

#include "support/fleet.h"

extern const fleet_app_t fleet_naive_config;

#endif
