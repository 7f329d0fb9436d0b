#ifndef BSHENTRYD_WHERE_H
#define BSHENTRYD_WHERE_H

/*
 * NAME
 *	where - where a request would be sent now, and why
 *
 * DESCRIPTION
 *	Follows the way of a request that arrives now, on the traffic thread.
 *	Nothing is sent or counted, and no state changes.
 *
 *	The parts of the traffic thread are called through where_ops_t only, so
 *	that where.c is not one of the files that call one another.
 *
 *	Not considered: the body, earlier attempts of the request, and isolated
 *	prompts, whose requests may wait for one another.
 */

#include "traffic.h"
#include "where_query.h"

/* Parts of the traffic thread that decide on a request. */
typedef struct {
	bsh_error_t (*unknown_error)(const traffic_t *t);
	void (*follow_route)(request_t *r, uint32_t service);
	int64_t (*boot_now_us)(void);
	bsh_access_t (*access)(const request_t *r, bool key_known);
	bool (*drain_takes)(request_t *r, int64_t wait_us);
	bool (*is_cut)(const traffic_t *t);
	GPtrArray *(*survey)(request_t *r, pick_finding_t **chosen);
	void (*outlook)(request_t *r, outlook_t *outlook);
} where_ops_t;

/* where_answer - set the answer and post it back. */
void where_answer(where_ask_t *ask, const where_ops_t *ops);

#endif
