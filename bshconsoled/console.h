#ifndef BSHCONSOLED_CONSOLE_H
#define BSHCONSOLED_CONSOLE_H

/*
 * NAME
 *	console - requests of the console
 *
 * DESCRIPTION
 *	The console asks the controller of its instance and waits for the
 *	answer: one thread serves the few operators of a deployment, and each
 *	wait is bounded by CONSOLE_TIMEOUT_MS.
 */

#include "base/hlc.h"
#include "base/settings.h"
#include "base/timeline.h"
#include "operator/control_client.h"
#include "transport/http_server.h"

/* A document of at most 1 MB, of which each entry is changed: the entry
 * before and after it, percent-encoded, and the open forms. */
#define CONSOLE_BODY_MAX_BYTES (8 * 1024 * 1024)
#define CONSOLE_TIMEOUT_MS     3000

typedef struct {
	const bsh_settings_t *settings;
	bsh_control_client_t control;
	bsh_hlc_t clock;
	bsh_timeline_t timeline;
	bool draining;
} console_t;

/* console_register_counters - before the first request. */
void console_register_counters(void);

/* console_on_request, console_on_too_large - for bsh_http_server_config_t;
 * ctx is the console_t. */
void console_on_request(void *ctx, bsh_http_request_t *request);
void console_on_too_large(void *ctx, bsh_http_request_t *request);

#endif
