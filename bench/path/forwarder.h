#ifndef BENCH_PATH_FORWARDER_H
#define BENCH_PATH_FORWARDER_H

/*
 * NAME
 *	forwarder - minimal TCP proxy, the baseline of the router
 *
 * DESCRIPTION
 *	Opens a connection to the target for each accepted one and copies
 *	bytes in both directions in one epoll loop, without parsing them.  Its
 *	rate is the bound that the machine sets for a router.
 */

#include <stdint.h>
#include <sys/types.h>

/*
 * forwarder_start - starts a forwarder to a loopback port in a child process,
 * which ends with its parent.  Returns the child and its listening port; exits
 * on error.
 */
pid_t forwarder_start(uint16_t target, uint16_t *port);

#endif
