/*
 * HTTP interface: entry addresses for callers; configuration, status, drain,
 * metrics and time line for operators.
 */
#include "control.h"

#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/json_text.h"
#include "base/rng.h"
#include "coordination/member.h"
#include "protocol/problem.h"
#include "transport/http_server.h"

#define IDLE_TIMEOUT_S	30
#define CONNECTIONS_MAX 1024
/* One byte more than a document may have, so that a document that is too large
 * is reported by the document check and not by the HTTP server. */
#define BODY_MAX_BYTES (BSH_DOC_TEXT_MAX_BYTES + 1)

/* A conflict is answered with the newer document, which may not have reached
 * this instance yet.  After the longest wait the one held here is sent. */
#define CONFLICT_CHECK_PERIOD_US INT64_C(20000)
#define CONFLICT_WAIT_MAX_US	 INT64_C(2000000)

struct api {
	bsh_http_server_t *server;
	bsh_rng_t rng;
};

static bsh_counter_t entry_answers = BSH_COUNTER(
	"bsh_control_entry_answers_total", "Answers to GET /v1/entry.");

static void answer_json(bsh_http_request_t *request, int status, json_t *json)
{
	char *text = bsh_json_text(json, JSON_COMPACT);

	bsh_http_response_add_header(request, "Content-Type",
				     "application/json");
	bsh_http_response_send(request, status, text, strlen(text));
	free(text);
	json_decref(json);
}

static void answer_problem(bsh_http_request_t *request, bsh_error_t error,
			   const char *detail)
{
	bsh_problem_t problem;
	char *text;

	bsh_problem_init(&problem, error);
	problem.detail = detail;
	if (bsh_error_info(error)->retry_after)
		problem.retry_after_ms = 1000;
	text = bsh_problem_body(&problem);
	bsh_http_response_add_header(request, "Content-Type",
				     BSH_PROBLEM_MEDIA_TYPE);
	if (problem.retry_after_ms >= 0)
		bsh_http_response_add_header(request, "Retry-After", "1");
	bsh_http_response_send(request, bsh_error_info(error)->http_status,
			       text, strlen(text));
	free(text);
}

/* Random choice of an entry instance. */
typedef struct {
	control_t *control;
	const char *zone;
	api_entry_t *entry;
	uint32_t same_zone;   /* candidates seen so far in the zone */
	uint32_t other_zones; /* candidates seen so far elsewhere */
} choice_t;

static void consider_member(void *ctx, const bsh_member_t *member)
{
	choice_t *choice = ctx;
	bsh_rng_t *rng = &choice->control->api->rng;
	bool is_same = strcmp(member->place.zone, choice->zone) == 0;

	/* Membership does not report whether a router is connected, so only
	 * this instance can be excluded for that reason. */
	if (strcmp(member->name, choice->control->settings.instance) == 0 &&
	    !routers_is_up(choice->control))
		return;
	if (!member->has_place || member->leaving ||
	    member->state != BSH_MEMBER_ALIVE ||
	    member->place.entry[0] == '\0' ||
	    (!is_same && choice->same_zone > 0))
		return;
	/* Reservoir sampling: replacing the choice by the n-th candidate with
	 * probability 1/n chooses all candidates with equal probability. */
	if (bsh_rng_below(rng, is_same ? ++choice->same_zone
				       : ++choice->other_zones) > 0)
		return;
	g_strlcpy(choice->entry->address, member->place.entry,
		  sizeof(choice->entry->address));
	g_strlcpy(choice->entry->zone, member->place.zone,
		  sizeof(choice->entry->zone));
}

bool api_choose_entry(control_t *control, const char *zone, api_entry_t *entry)
{
	choice_t choice = { control, zone, entry, 0, 0 };

	bsh_members_foreach(peers_members(control), consider_member, &choice);
	return choice.same_zone + choice.other_zones > 0;
}

static void get_entry(control_t *control, bsh_http_request_t *request)
{
	const char *zone = bsh_http_request_argument(request, "zone");
	api_entry_t entry = { .address = "" };

	bsh_counter_add(&entry_answers, 1);
	if (!api_choose_entry(control,
			      zone != NULL ? zone : control->settings.zone,
			      &entry)) {
		answer_problem(request, BSH_ERR_DRAINING,
			       "no instance takes new work");
		return;
	}
	answer_json(request, 200,
		    bsh_json_pack("{s:s, s:s, s:i}", "address", entry.address,
				  "zone", entry.zone, "keep_s",
				  (int)control->settings.entry_keep_s));
}

static json_t *config_json(const control_t *control)
{
	const bsh_document_t *doc = config_document(control);

	return bsh_json_pack("{s:I, s:O?}", "generation",
			     (json_int_t)config_generation(control), "document",
			     doc != NULL ? doc->json : NULL);
}

static void get_config(control_t *control, bsh_http_request_t *request)
{
	g_autofree char *tag =
		g_strdup_printf("\"%" G_GUINT64_FORMAT "\"",
				(guint64)config_generation(control));

	if (config_document(control) == NULL) {
		answer_problem(request, BSH_ERR_NOT_FOUND,
			       "no document was accepted yet");
		return;
	}
	bsh_http_response_add_header(request, "ETag", tag);
	answer_json(request, 200, config_json(control));
}

/* A proposed document; freed when it has ended and the request is closed. */
typedef struct {
	control_t *control;
	bsh_http_request_t *request; /* NULL: answered or disconnected */
	bool has_ended;
	uint64_t conflict_generation; /* newer one to wait for */
	bsh_loop_timer_t timer;
	int64_t conflict_deadline_us;
} proposal_t;

static void free_proposal(proposal_t *proposal)
{
	if (proposal->request != NULL || !proposal->has_ended)
		return;
	bsh_loop_timer_stop(&proposal->timer);
	g_free(proposal);
}

static void on_answered(void *ctx, bool delivered)
{
	proposal_t *proposal = ctx;

	(void)delivered;
	proposal->request = NULL;
	free_proposal(proposal);
}

/* Answer with the document held here, once it is the newer one or the wait has
 * ended. */
static void answer_conflict(void *ctx)
{
	proposal_t *proposal = ctx;

	if (config_generation(proposal->control) <
		    proposal->conflict_generation &&
	    control_now_us() < proposal->conflict_deadline_us)
		bsh_loop_timer_after(&proposal->timer,
				     CONFLICT_CHECK_PERIOD_US);
	else
		answer_json(proposal->request, 409,
			    config_json(proposal->control));
}

static void on_proposal_ended(void *ctx, bsh_error_t result,
			      uint64_t generation)
{
	proposal_t *proposal = ctx;
	bsh_http_request_t *request = proposal->request;

	proposal->has_ended = true;
	if (request == NULL) {
		free_proposal(proposal);
	} else if (result == BSH_OK) {
		answer_json(request, 200,
			    bsh_json_pack("{s:I, s:s}", "generation",
					  (json_int_t)generation, "state",
					  "accepted"));
	} else if (result == BSH_ERR_CONFLICT) {
		proposal->conflict_generation = generation;
		proposal->conflict_deadline_us =
			control_now_us() + CONFLICT_WAIT_MAX_US;
		answer_conflict(proposal);
	} else {
		answer_problem(request, result, "the change was not applied");
	}
}

static void start_proposal(control_t *control, bsh_http_request_t *request,
			   uint64_t base, const bsh_document_t *doc)
{
	static const bsh_http_request_handler_t handler = {
		.on_done = on_answered
	};
	proposal_t *proposal = g_new0(proposal_t, 1);

	proposal->control = control;
	proposal->request = request;
	bsh_loop_timer_init(&proposal->timer, &control->loop, answer_conflict,
			    proposal);
	bsh_http_request_set_handler(request, &handler, proposal);
	config_apply(control, base, doc, on_proposal_ended, proposal);
}

/* Parse the generation in If-Match, with or without quotes; false if it is
 * absent or malformed. */
static bool parse_if_match(bsh_http_request_t *request, uint64_t *generation)
{
	const char *match = bsh_http_request_header(request, "If-Match");
	char *end;

	if (match == NULL)
		return false;
	if (match[0] == '"')
		match++;
	if (!g_ascii_isdigit(match[0]))
		return false;
	*generation = g_ascii_strtoull(match, &end, 10);
	return *end == '\0' || strcmp(end, "\"") == 0;
}

static void put_config(control_t *control, bsh_http_request_t *request)
{
	GArray *problems = bsh_doc_problems_new();
	bsh_document_t doc;
	uint64_t base;
	size_t size;
	const char *text = bsh_http_request_body(request, &size);

	if (!parse_if_match(request, &base)) {
		answer_problem(request, BSH_ERR_INVALID,
			       "If-Match: \"GENERATION\" is required");
	} else if (bsh_document_init(&doc, text, size, problems) != BSH_OK) {
		answer_json(request, 422,
			    bsh_json_pack("{s:o}", "problems",
					  bsh_doc_problems_json(problems)));
	} else {
		start_proposal(control, request, base, &doc);
		bsh_document_finish(&doc);
	}
	g_array_free(problems, TRUE);
}

typedef struct {
	const control_t *control;
	json_t *list;
	uint64_t lowest; /* lowest generation among live members */
} member_list_t;

static const char *member_state(const bsh_member_t *member)
{
	static const char *const names[] = { "live", "suspect", "dead",
					     "gone" };

	if (member->leaving && member->state < BSH_MEMBER_DEAD)
		return "leaving";
	return names[member->state];
}

static void add_member(void *ctx, const bsh_member_t *member)
{
	member_list_t *out = ctx;
	const char *address =
		targets_entry_control_address(out->control, member->name);
	bool is_self =
		strcmp(member->name, out->control->settings.instance) == 0;
	uint64_t generation =
		is_self ? config_generation(out->control) : member->generation;

	if (member->state == BSH_MEMBER_ALIVE ||
	    member->state == BSH_MEMBER_SUSPECT)
		out->lowest = MIN(out->lowest, generation);
	json_array_append_new(
		out->list,
		bsh_json_pack("{s:s, s:s, s:s, s:I, s:I, s:s, s:s}", "name",
			      member->name, "zone", member->place.zone, "state",
			      member_state(member), "generation",
			      (json_int_t)generation, "incarnation",
			      (json_int_t)member->incarnation, "control",
			      address != NULL ? address : "", "entry",
			      member->place.entry));
}

static void get_status(control_t *control, bsh_http_request_t *request)
{
	const bsh_settings_t *s = &control->settings;
	member_list_t members = { control, json_array(), UINT64_MAX };
	uint64_t in_force = config_in_force(control);

	/* A generation is in force if the adoption module has found it so, or
	 * if all live members report it or a higher one. */
	bsh_members_foreach(peers_members(control), add_member, &members);
	in_force = MAX(in_force, members.lowest);
	answer_json(
		request, 200,
		bsh_json_pack(
			"{s:s, s:I, s:s, s:s, s:s, s:s, s:I, s:I, s:b, s:b, "
			"s:b, s:o, s:o, s:o}",
			"instance", s->instance, "incarnation",
			(json_int_t)control->incarnation, "zone", s->zone,
			"gossip", s->control_gossip, "link", s->control_link,
			"entry", s->router_listen, "generation",
			(json_int_t)config_generation(control), "in_force",
			(json_int_t)in_force, "fresh", config_is_fresh(control),
			"witness", config_is_witness(control), "draining",
			shutdown_is_draining(control), "members", members.list,
			"cells", cells_status(control), "targets",
			targets_status(control)));
}

static void post_drain(control_t *control, bsh_http_request_t *request)
{
	size_t size;
	const char *text = bsh_http_request_body(request, &size);
	json_t *json = json_loadb(text, size, 0, NULL);
	const char *name = json_string_value(json_object_get(json, "instance"));

	if (name != NULL && strcmp(name, control->settings.instance) != 0) {
		answer_problem(request, BSH_ERR_INVALID,
			       "the order names another instance");
	} else {
		answer_json(request, 202,
			    bsh_json_pack("{s:s}", "state", "draining"));
		shutdown_begin(control);
	}
	json_decref(json);
}

static void get_health(control_t *control, bsh_http_request_t *request)
{
	(void)control;
	bsh_http_response_send(request, 200, "ok\n", 3);
}

static void get_ready(control_t *control, bsh_http_request_t *request)
{
	const char *reason = NULL;

	if (shutdown_is_draining(control))
		reason = "draining\n";
	else if (config_document(control) == NULL)
		reason = "no configuration\n";
	else if (!config_is_fresh(control))
		reason = "configuration not confirmed\n";
	bsh_http_response_send(request, reason != NULL ? 503 : 200,
			       reason != NULL ? reason : "ready\n",
			       strlen(reason != NULL ? reason : "ready\n"));
}

static void get_metrics(control_t *control, bsh_http_request_t *request)
{
	g_autoptr(GString) out = g_string_new(NULL);

	cells_update_counters(control);
	bsh_counter_print(out);
	bsh_http_response_add_header(request, "Content-Type",
				     "text/plain; version=0.0.4");
	bsh_http_response_send(request, 200, out->str, out->len);
}

static void get_timeline(control_t *control, bsh_http_request_t *request)
{
	const char *since = bsh_http_request_argument(request, "since");
	g_autoptr(GString) out = g_string_new(NULL);

	bsh_timeline_print(
		&control->timeline,
		since != NULL ? g_ascii_strtoull(since, NULL, 10) : 0, out);
	/* since counts events of the controller only, so events of the router
	 * are left out. */
	if (since == NULL)
		events_print(control, out);
	bsh_http_response_add_header(request, "Content-Type",
				     "application/jsonl");
	bsh_http_response_send(request, 200, out->str, out->len);
}

static const struct {
	const char *method;
	const char *path;
	void (*fn)(control_t *control, bsh_http_request_t *request);
} routes[] = {
	{ "GET", "/v1/entry", get_entry },
	{ "GET", "/v1/config", get_config },
	{ "PUT", "/v1/config", put_config },
	{ "GET", "/v1/status", get_status },
	{ "POST", "/v1/drain", post_drain },
	{ "GET", "/healthz", get_health },
	{ "GET", "/readyz", get_ready },
	{ "GET", "/metrics", get_metrics },
	{ "GET", "/timeline", get_timeline },
};

static void on_request(void *ctx, bsh_http_request_t *request)
{
	const char *path = bsh_http_request_path(request);
	bool has_path = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (strcmp(path, routes[i].path) != 0)
			continue;
		has_path = true;
		if (strcmp(bsh_http_request_method(request),
			   routes[i].method) == 0) {
			routes[i].fn(ctx, request);
			return;
		}
	}
	answer_problem(request,
		       has_path ? BSH_ERR_UNSUPPORTED : BSH_ERR_NOT_FOUND,
		       NULL);
}

void api_start(control_t *control)
{
	bsh_http_server_config_t config = {
		.address = control->settings.control_listen,
		.max_connections = CONNECTIONS_MAX,
		.idle_timeout_s = IDLE_TIMEOUT_S,
		.body_max_bytes = BODY_MAX_BYTES,
		.on_request = on_request,
		.ctx = control
	};

	bsh_counter_register(&entry_answers);
	control->api = g_new0(struct api, 1);
	bsh_rng_init(&control->api->rng, control_seed());
	if (bsh_http_server_new(&control->api->server, &control->loop,
				&config) != BSH_OK)
		errx(1, "cannot listen on %s (control.listen)", config.address);
}

void api_stop(control_t *control)
{
	bsh_http_server_free(control->api->server);
	bsh_rng_finish(&control->api->rng);
	g_free(control->api);
}
