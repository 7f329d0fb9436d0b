#ifndef BENCH_PATH_FORWARDER_H
#define BENCH_PATH_FORWARDER_H

/*
 * NAME
 *	forwarder - the least that any forwarder has to do
 *
 * DESCRIPTION
 *	Accepts connections, opens one to the target for each, and copies
 *	bytes both ways with epoll, read and write, without looking at them.
 *	Its rate is the limit of the machine for the router's job.
 */

#include <stdint.h>
#include <sys/types.h>

/* forwarder_start - in a child process; target is a loopback port.  Returns
 * the child and its listening port. */
pid_t forwarder_start(uint16_t target, uint16_t *port);

#endif
