#ifndef SUPPORT_LOOPBACK_H
#define SUPPORT_LOOPBACK_H

/*
 * NAME
 *	loopback - addresses for the servers of a test process
 *
 * DESCRIPTION
 *	Test processes that run at the same time use different addresses of
 *	127.0.0.0/8, so that none binds a port that another has just found
 *	free, and no connection from 127.0.0.1 occupies it meanwhile.
 */

#include <stdint.h>

/* loopback_ip - the address of this process. */
const char *loopback_ip(void);

/* loopback_free_port - a free port of it that was not returned before. */
uint16_t loopback_free_port(void);

#endif
