#include "router.h"

router_counters_t router_counters = {
	.requests =
		BSH_COUNTER("bsh_router_requests_total", "Requests received."),
	.answered = BSH_COUNTER_LABELS("bsh_router_outcomes_total",
				       "Requests ended, by outcome.",
				       "outcome=\"answered\""),
	.not_run = BSH_COUNTER_LABELS("bsh_router_outcomes_total",
				      "Requests ended, by outcome.",
				      "outcome=\"not-run\""),
	.unknown = BSH_COUNTER_LABELS("bsh_router_outcomes_total",
				      "Requests ended, by outcome.",
				      "outcome=\"unknown\""),
	.caller_gone = BSH_COUNTER("bsh_router_callers_gone_total",
				   "Requests whose caller disconnected."),
	.attempts = BSH_COUNTER("bsh_router_attempts_total",
				"Attempts started at a target."),
	.retries = BSH_COUNTER("bsh_router_retries_total",
			       "Attempts after the first of a request."),
	.late = BSH_COUNTER("bsh_router_late_events_total",
			    "Events of ended attempts, dropped."),
	.mismatched = BSH_COUNTER("bsh_router_mismatched_answers_total",
				  "Answers of other requests, dropped."),
	.events = BSH_COUNTER("bsh_router_stream_events_total",
			      "Events of streams forwarded to callers."),
	.body_bytes = BSH_COUNTER("bsh_router_body_bytes_total",
				  "Bytes of answer bodies from targets."),
	.open = BSH_GAUGE("bsh_router_open_requests", "Requests in progress."),
	.waiting = BSH_GAUGE("bsh_router_waiting_requests",
			     "Requests that wait for a target."),
	.connections =
		BSH_GAUGE("bsh_router_connections", "Callers' connections."),
	.generation = BSH_GAUGE("bsh_router_configuration_generation",
				"Generation of the document in force."),
	.routes = BSH_COUNTER("bsh_router_routes_total",
			      "Changes of ready targets taken."),
	.link_up = BSH_GAUGE("bsh_router_link_up",
			     "1 while the controller is connected."),
};

void router_counters_register(void)
{
	router_counters_t *c = &router_counters;
	bsh_counter_t *const all[] = {
		&c->requests,	 &c->answered,	  &c->not_run,	  &c->unknown,
		&c->caller_gone, &c->attempts,	  &c->retries,	  &c->late,
		&c->mismatched,	 &c->events,	  &c->body_bytes, &c->open,
		&c->waiting,	 &c->connections, &c->generation, &c->routes,
		&c->link_up,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		bsh_counter_register(all[i]);
	for (int err = BSH_OK + 1; err < BSH_ERR_COUNT; err++) {
		c->errors[err] = (bsh_counter_t)BSH_COUNTER_LABELS(
			"bsh_router_errors_total",
			"Requests ended with an error, by kind.",
			g_strdup_printf("kind=\"%s\"",
					bsh_error_name((bsh_error_t)err)));
		bsh_counter_register(&c->errors[err]);
	}
}

router_config_t *router_config_ref(router_config_t *config)
{
	g_atomic_ref_count_inc(&config->refs);
	return config;
}

void router_config_unref(router_config_t *config)
{
	if (config == NULL || !g_atomic_ref_count_dec(&config->refs))
		return;
	bsh_document_finish(&config->doc);
	g_free(config);
}

void router_set_not_ready(router_t *router, unsigned int bit, bool on)
{
	if (on)
		__atomic_fetch_or(&router->not_ready, bit, __ATOMIC_RELAXED);
	else
		__atomic_fetch_and(&router->not_ready, ~bit, __ATOMIC_RELAXED);
}
