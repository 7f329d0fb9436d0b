#ifndef BSHCONSOLED_CONSOLE_H
#define BSHCONSOLED_CONSOLE_H

/*
 * NAME
 *	console - HTTP request handlers of the console
 *
 * DESCRIPTION
 *	A handler sends blocking requests to the controller of its instance,
 *	one thread for all: a deployment has few operators, and each request
 *	to the controller times out after CONSOLE_TIMEOUT_MS.
 */

#include "base/hlc.h"
#include "base/settings.h"
#include "base/timeline.h"
#include "operator/control_client.h"
#include "transport/http_server.h"

/* Enough for a document of 1 MB, the largest accepted, in which every entry is
 * changed: the form holds each entry before and after the change,
 * percent-encoded, and the fields of the open entries. */
#define CONSOLE_BODY_MAX_BYTES (8 * 1024 * 1024)
#define CONSOLE_TIMEOUT_MS     3000

typedef struct {
	const bsh_settings_t *settings; /* borrowed */
	bsh_control_client_t control;
	bsh_hlc_t clock;
	bsh_timeline_t timeline;
	bool draining; /* a termination signal was received */
} console_t;

/* console_register_counters - register the metrics of the console; called once,
 * before the first request. */
void console_register_counters(void);

/* console_on_request, console_on_too_large - callbacks for
 * bsh_http_server_config_t; ctx is the console_t. */
void console_on_request(void *ctx, bsh_http_request_t *request);
void console_on_too_large(void *ctx, bsh_http_request_t *request);

#endif
