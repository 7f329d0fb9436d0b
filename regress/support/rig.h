#ifndef SUPPORT_RIG_H
#define SUPPORT_RIG_H

/*
 * NAME
 *	rig - a real bshrouterd between a scripted controller and callers
 *
 * DESCRIPTION
 *	Starts build/bshrouterd as a process.  The rig is its controller: it
 *	sends CONFIG, ROUTES and FRESH and hands every frame of the router to
 *	on_message.  All runs in one loop of the calling thread.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/frame.h"
#include "transport/http_client.h"
#include "transport/loop.h"

typedef struct {
	bsh_loop_t loop;
	bsh_http_client_t *client;
	bsh_identity_t identity;
	bsh_hlc_t clock;
	bsh_timeline_t timeline;
	bsh_channel_listener_t *listener;
	bsh_channel_t *channel;
	bsh_loop_timer_t fresh_timer;
	uint32_t fresh_ms; /* remaining time told; 0: not confirmed */
	uint64_t generation;
	uint64_t sequence;
	char *settings_path;
	char listen[32]; /* router, for callers */
	char admin[32];
	GPid pid; /* 0 after its end */
	int status;
	int up; /* links established so far */
	void (*on_message)(void *ctx, const bsh_message_t *message);
	void *ctx;
} rig_t;

/* rig_init - start the router; extra: further lines of its settings. */
void rig_init(rig_t *rig, const char *extra);

/* rig_finish - ends the router (SIGTERM, then waits for it). */
void rig_finish(rig_t *rig);

/* rig_step - one round of the loop. */
void rig_step(rig_t *rig);

/* rig_wait - step until *counter is at least value; aborts after 30 s. */
void rig_wait(rig_t *rig, const int *counter, int value);

/* rig_config - the next generation of the document. */
void rig_send_config(rig_t *rig, const char *document);
void rig_send_fresh(rig_t *rig);

/* rig_route - the targets of a model or service: pairs of name and address,
 * ended by NULL.  Returns when the router has taken them. */
void rig_set_targets(rig_t *rig, const char *name, bool is_service,
		     const char *const *targets);
void rig_send(rig_t *rig, bsh_message_t *message);

/* rig_ready - wait until /readyz answers 200. */
void rig_wait_ready(rig_t *rig);

/* rig_get - body of an admin path; to be freed. */
char *rig_get(rig_t *rig, const char *path, int *status);

/* rig_counter - value of a counter in /metrics. */
int64_t rig_counter(rig_t *rig, const char *name);

/* rig_wait_exit - wait for the router's end; its exit status. */
int rig_wait_exit(rig_t *rig);

#endif
