/*
 * Connection to the router of this instance: dispatches its messages to the
 * other parts and sends it configuration, targets and routes when it connects.
 */
#include "control.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"

struct routers {
	bsh_channel_t *channel; /* NULL: not connected */
	uint64_t incarnation;	/* highest one that has connected, 0: none */
	bool drain_ended;	/* reported by the connected router */
};

static bsh_counter_t up_gauge =
	BSH_GAUGE("bsh_control_router_up", "The router is connected: 1.");

void routers_up(control_t *control, bsh_channel_t *channel)
{
	struct routers *routers = control->routers;

	if (strcmp(bsh_channel_peer_name(channel),
		   control->settings.instance) != 0) {
		bsh_log(BSH_LOG_WARNING, "router-refused instance=%s",
			bsh_channel_peer_name(channel));
		return;
	}
	routers->channel = channel;
	routers->drain_ended = false;
	routers->incarnation = MAX(routers->incarnation,
				   bsh_channel_peer_incarnation(channel));
	bsh_counter_set(&up_gauge, 1);
	bsh_log(BSH_LOG_INFO, "router-up");
	config_sync_router(control);
	targets_sync_router(control);
	cells_sync_router(control);
	if (shutdown_is_draining(control))
		routers_drain(control, "");
}

void routers_down(control_t *control, bsh_channel_t *channel)
{
	struct routers *routers = control->routers;

	intents_router_down(control, channel);
	if (routers->channel != channel)
		return;
	routers->channel = NULL;
	bsh_counter_set(&up_gauge, 0);
	bsh_log(BSH_LOG_INFO, "router-down");
	demands_router_down(control);
}

void routers_receive(control_t *control, bsh_channel_t *channel,
		     const bsh_message_t *message)
{
	if (control->routers->channel != channel)
		return;
	switch (message->type) {
	case BSH_MSG_NEED:
		demands_need(control, message);
		break;
	case BSH_MSG_REPORT:
		cells_report(control, message);
		break;
	case BSH_MSG_INTENT:
	case BSH_MSG_INTENT_DONE:
		intents_receive(control, channel, message);
		break;
	case BSH_MSG_EVENTS:
		events_receive(control, message);
		break;
	case BSH_MSG_DRAIN:
		control->routers->drain_ended =
			message->drain.phase == BSH_PHASE_ENDED;
		shutdown_begin(control);
		break;
	default:
		break;
	}
}

void routers_send(control_t *control, bsh_message_t *message)
{
	if (control->routers != NULL && control->routers->channel != NULL)
		bsh_channel_send(control->routers->channel, message);
}

uint64_t routers_incarnation(const control_t *control)
{
	return control->routers->incarnation;
}

void routers_drain(control_t *control, const char *alternative)
{
	bsh_message_t message = { .type = BSH_MSG_DRAIN };

	message.drain.phase = BSH_PHASE_BEGIN;
	message.drain.alternative = alternative;
	routers_send(control, &message);
}

bool routers_is_up(const control_t *control)
{
	return control->routers->channel != NULL;
}

bool routers_busy(const control_t *control)
{
	return control->routers->channel != NULL &&
	       !control->routers->drain_ended;
}

void routers_start(control_t *control)
{
	bsh_counter_register(&up_gauge);
	control->routers = g_new0(struct routers, 1);
}

void routers_stop(control_t *control)
{
	g_free(control->routers);
	control->routers = NULL;
}
