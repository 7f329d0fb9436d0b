#ifndef BSHENTRYD_WHERE_QUERY_H
#define BSHENTRYD_WHERE_QUERY_H

/*
 * NAME
 *	where_query - questions of operators where a request would be sent
 *
 * DESCRIPTION
 *	GET /where on the admin address describes a request in its arguments:
 *	host, path, model, tokens, prompt, account, service and software.  They
 *	are read on the control thread; the question is posted to the traffic
 *	thread, and its answer is posted back.
 *
 * ERRORS
 *	400 for an argument that is missing or malformed, 405 for another method
 *	than GET, with a JSON object of title and detail.
 */

#include <jansson.h>

#include "entry.h"
#include "protocol/request_info.h"

typedef struct {
	traffic_t *traffic;
	/* What is asked; NULL: not named. */
	char *host;
	char *path;
	char *account;
	char *service;		 /* of a route with several */
	char *software;		 /* version that began the stream */
	bsh_request_info_t info; /* without headers */
	/* The answer is posted to this loop. */
	bsh_loop_t *loop;
	bsh_loop_fn_t on_answer;
	/* Of the traffic thread until they are posted. */
	json_t *answer;
	const char *error; /* the question makes no sense; NULL: it does */
	/* Of the control thread. */
	bool answered;
	bsh_http_request_t *http; /* NULL: has ended */
} where_ask_t;

/* where_is_query - the request is one for /where. */
bool where_is_query(const bsh_http_request_t *request);
/* where_receive - answer such a request, now or later; fn is called on the traffic
 * thread with a where_ask_t. */
void where_receive(entry_t *entry, bsh_http_request_t *request,
		   bsh_loop_fn_t fn);

#endif
