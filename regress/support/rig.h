#ifndef SUPPORT_RIG_H
#define SUPPORT_RIG_H

/*
 * NAME
 *	rig - test harness for a bshrouterd process
 *
 * DESCRIPTION
 *	Starts bshrouterd of the build directory and acts as its controller:
 *	sends CONFIG, ROUTES and, every 500 ms, FRESH, and passes each frame of
 *	the router to on_message.  Runs in one loop of the calling thread.
 *
 * ERRORS
 *	A failed start and a wait of more than 30 s abort the test.
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
	bsh_channel_t *channel; /* to the router; NULL: not connected */
	bsh_loop_timer_t fresh_timer;
	uint32_t fresh_ms;   /* remaining_ms of FRESH; 0: not confirmed */
	uint64_t generation; /* of the last CONFIG; 0: none */
	uint64_t sequence;   /* of the last ROUTES; 0: none */
	char *settings_path;
	char listen[32]; /* address of the router for clients, "host:port" */
	char admin[32];	 /* its admin address, "host:port" */
	GPid pid;	 /* of the router; 0 after its exit */
	int status;	 /* from waitpid(2), after its exit */
	int links_established; /* count since rig_init() */
	void (*on_message)(void *ctx, const bsh_message_t *message);
	void *ctx;
} rig_t;

/* rig_init - start the router and wait for its link.  extra: further lines of
 * its settings, or NULL. */
void rig_init(rig_t *rig, const char *extra);

/* rig_finish - send SIGTERM to the router, wait for its exit and free all. */
void rig_finish(rig_t *rig);

/* rig_step - run one iteration of the loop, which waits at most 20 ms. */
void rig_step(rig_t *rig);

/* rig_wait - run the loop until *counter is at least value. */
void rig_wait(rig_t *rig, const int *counter, int value);

/* rig_send_config - send document as the next generation, then FRESH. */
void rig_send_config(rig_t *rig, const char *document);
/* rig_send_fresh - send FRESH for the last generation. */
void rig_send_fresh(rig_t *rig);

/* rig_set_targets - replace the targets of a model or service.  targets: pairs
 * of name and address, at most 16, ended by NULL.  Returns when the router has
 * applied them. */
void rig_set_targets(rig_t *rig, const char *name, bool is_service,
		     const char *const *targets);
/* rig_send - send a message to the router; dropped without a link. */
void rig_send(rig_t *rig, bsh_message_t *message);

/* rig_wait_ready - wait until /readyz answers 200. */
void rig_wait_ready(rig_t *rig);

/* rig_get - GET an admin path.  Returns the body, which the caller frees;
 * *status is the HTTP status, 0 without an answer (status may be NULL). */
char *rig_get(rig_t *rig, const char *path, int *status);

/* rig_counter - value of a counter in /metrics; -1 if it is absent. */
int64_t rig_counter(rig_t *rig, const char *name);

/* rig_wait_exit - wait until the router exits; its status of waitpid(2). */
int rig_wait_exit(rig_t *rig);

#endif
