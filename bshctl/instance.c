/* Commands on instances: status, drain, counters, entry. */
#include "bshctl.h"

#include <err.h>
#include <stdio.h>
#include <string.h>

#include "base/json_text.h"

#define POLL_INTERVAL_US (200 * 1000)
#define HTTP_OK		 200
#define HTTP_ACCEPTED	 202

static void print_number(const json_t *object, const char *key, bool last)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_integer(value))
		printf("%" JSON_INTEGER_FORMAT "%c", json_integer_value(value),
		       last ? '\n' : '\t');
	else
		ctl_print_field("-", last);
}

static void print_status(const ctl_t *ctl, const json_t *json)
{
	const json_t *members = json_object_get(json, "members");
	size_t index;
	json_t *member;

	if (!ctl->options.no_header)
		puts("INSTANCE\tZONE\tSTATE\tGENERATION\tIN-FORCE\tINCARNATION"
		     "\tCONTROL");
	json_array_foreach((json_t *)members, index, member)
	{
		ctl_print_field(ctl_json_string(member, "name", "-"), false);
		ctl_print_field(ctl_json_string(member, "zone", "-"), false);
		ctl_print_field(ctl_json_string(member, "state", "-"), false);
		print_number(member, "generation", false);
		print_number(json, "in_force", false);
		print_number(member, "incarnation", false);
		ctl_print_field(ctl_json_string(member, "control", "-"), true);
	}
}

static void print_targets(const ctl_t *ctl, const json_t *json)
{
	size_t index;
	json_t *target;

	if (!ctl->options.no_header)
		puts("TARGET\tPOOL\tZONE\tSTATE\tINCARNATION\tADDRESS");
	json_array_foreach(json_object_get(json, "targets"), index, target)
	{
		ctl_print_field(ctl_json_string(target, "name", "-"), false);
		ctl_print_field(ctl_json_string(target, "pool", "-"), false);
		ctl_print_field(ctl_json_string(target, "zone", "-"), false);
		ctl_print_field(ctl_json_string(target, "state", "-"), false);
		print_number(target, "incarnation", false);
		ctl_print_field(ctl_json_string(target, "address", "-"), true);
	}
}

static ctl_status_t get_status(ctl_t *ctl, bsh_control_answer_t *answer)
{
	ctl_status_t status = ctl_get_json(ctl, "/v1/status", answer);

	if (status != CTL_OK)
		return status;
	if (json_is_array(json_object_get(answer->json, "members")) &&
	    json_is_integer(json_object_get(answer->json, "generation")))
		return CTL_OK;
	status = ctl_unexpected(answer, "/v1/status");
	bsh_control_answer_finish(answer);
	return status;
}

int ctl_status(ctl_t *ctl)
{
	bsh_control_answer_t answer;
	ctl_status_t status = ctl_connect(ctl);

	if (status == CTL_OK)
		status = get_status(ctl, &answer);
	if (status != CTL_OK)
		return status;
	if (ctl->options.json)
		ctl_print_json(json_incref(answer.json));
	else if (ctl->options.targets)
		print_targets(ctl, answer.json);
	else
		print_status(ctl, answer.json);
	bsh_control_answer_finish(&answer);
	return CTL_OK;
}

static json_t *find_member(const json_t *status, const char *name)
{
	size_t index;
	json_t *member;

	json_array_foreach(json_object_get(status, "members"), index, member)
	{
		if (strcmp(ctl_json_string(member, "name", ""), name) == 0)
			return member;
	}
	return NULL;
}

static bool is_state(const json_t *member, const char *state)
{
	return strcmp(ctl_json_string(member, "state", ""), state) == 0;
}

bool ctl_is_present(const json_t *member)
{
	return !is_state(member, "dead") && !is_state(member, "gone");
}

/* A suspected instance counts as live: the suspicion can be wrong. */
static bool has_left(const json_t *status, const char *name)
{
	const json_t *member = find_member(status, name);

	return member == NULL || is_state(member, "leaving") ||
	       !ctl_is_present(member);
}

static ctl_status_t wait_until_left(ctl_t *ctl, const char *name)
{
	int64_t end_us = g_get_monotonic_time() +
			 (int64_t)ctl->options.wait_s * G_USEC_PER_SEC;
	bsh_control_answer_t answer;
	ctl_status_t status;

	do {
		bool left;

		status = get_status(ctl, &answer);
		if (status != CTL_OK)
			return status;
		left = has_left(answer.json, name);
		bsh_control_answer_finish(&answer);
		if (left)
			return CTL_OK;
		g_usleep(POLL_INTERVAL_US);
	} while (g_get_monotonic_time() < end_us);
	warnx("%s is still live after %d s", name, ctl->options.wait_s);
	return CTL_TIMED_OUT;
}

/* Sends the drain order to the instance itself, because no other instance can
 * drain it; its address comes from the status of any controller. */
static ctl_status_t request_drain(ctl_t *ctl, const char *name,
				  const char *address)
{
	json_t *json = bsh_json_pack("{s:s}", "instance", name);
	char *body = bsh_json_text(json, JSON_COMPACT);
	bsh_control_client_t client;
	bsh_control_answer_t answer;
	ctl_status_t status = CTL_OK;

	json_decref(json);
	if (bsh_control_client_init(&client, address,
				    ctl->options.timeout_ms) != BSH_OK) {
		warnx("%s: no usable control address in the status: %s", name,
		      client.failure);
		free(body);
		return CTL_REFUSED;
	}
	if (bsh_control_request(&client, "POST", "/v1/drain", body, -1,
				&answer) != BSH_OK) {
		warnx("%s: no answer to the drain order: %s", name,
		      client.failure);
		status = CTL_UNREACHABLE;
	} else {
		if (answer.status != HTTP_OK && answer.status != HTTP_ACCEPTED)
			status = ctl_unexpected(&answer, "/v1/drain");
		bsh_control_answer_finish(&answer);
	}
	bsh_control_client_finish(&client);
	free(body);
	return status;
}

int ctl_drain(ctl_t *ctl)
{
	const char *name = ctl->argv[0];
	bsh_control_answer_t answer;
	const json_t *member;
	ctl_status_t status = ctl_connect(ctl);

	if (status == CTL_OK)
		status = get_status(ctl, &answer);
	if (status != CTL_OK)
		return status;
	member = find_member(answer.json, name);
	if (member == NULL) {
		warnx("%s: no such instance in the status of %s", name,
		      answer.address);
		status = CTL_REFUSED;
	} else {
		status = request_drain(ctl, name,
				       ctl_json_string(member, "control", ""));
	}
	bsh_control_answer_finish(&answer);
	if (status == CTL_OK && ctl->options.wait_s > 0)
		status = wait_until_left(ctl, name);
	if (status != CTL_OK)
		return status;
	if (ctl->options.json)
		ctl_print_json(bsh_json_pack("{s:s, s:s}", "result", "draining",
					     "instance", name));
	else
		printf("draining\t%s\n", name);
	return CTL_OK;
}

typedef struct {
	bool json;
	json_t *list;
} counter_output_t;

static void add_counter(const counter_output_t *out, const char *instance,
			const char *name, const char *value)
{
	if (out->json) {
		json_array_append_new(
			out->list,
			bsh_json_pack("{s:s, s:s, s:s}", "instance", instance,
				      "counter", name, "value", value));
		return;
	}
	ctl_print_field(instance, false);
	ctl_print_field(name, false);
	ctl_print_field(value, true);
}

/* Parses the Prometheus text format, "NAME{LABELS} VALUE", where labels may
 * hold blanks. */
static ctl_status_t parse_counters(const counter_output_t *out,
				   const char *instance,
				   const bsh_control_answer_t *answer)
{
	char **lines = g_strsplit(answer->body->str, "\n", -1);
	ctl_status_t status = CTL_OK;

	for (int i = 0; lines[i] != NULL; i++) {
		char *space = strrchr(lines[i], ' ');

		if (lines[i][0] == '#' || lines[i][0] == '\0')
			continue;
		if (space == NULL || space == lines[i]) {
			status = CTL_REFUSED;
			break;
		}
		*space = '\0';
		add_counter(out, instance, lines[i], space + 1);
	}
	g_strfreev(lines);
	if (answer->status != HTTP_OK || status != CTL_OK)
		return ctl_unexpected(answer, "/metrics");
	return CTL_OK;
}

static ctl_status_t read_instance_counters(const ctl_t *ctl,
					   const counter_output_t *out,
					   const char *instance,
					   const char *address)
{
	bsh_control_client_t client;
	bsh_control_answer_t answer;
	ctl_status_t status = CTL_UNREACHABLE;

	if (bsh_control_client_init(&client, address,
				    ctl->options.timeout_ms) != BSH_OK) {
		warnx("%s: %s", instance, client.failure);
		return CTL_REFUSED;
	}
	if (bsh_control_request(&client, "GET", "/metrics", NULL, -1,
				&answer) == BSH_OK) {
		status = parse_counters(out, instance, &answer);
		bsh_control_answer_finish(&answer);
	} else {
		warnx("no answer to /metrics: %s", client.failure);
	}
	bsh_control_client_finish(&client);
	return status;
}

static ctl_status_t read_all_counters(ctl_t *ctl, const counter_output_t *out)
{
	bsh_control_answer_t answer;
	ctl_status_t result = get_status(ctl, &answer);
	size_t index;
	json_t *member;

	if (result != CTL_OK)
		return result;
	json_array_foreach(json_object_get(answer.json, "members"), index,
			   member)
	{
		ctl_status_t status;

		if (!ctl_is_present(member))
			continue;
		status = read_instance_counters(
			ctl, out, ctl_json_string(member, "name", "?"),
			ctl_json_string(member, "control", ""));
		if (status != CTL_OK)
			result = status;
	}
	bsh_control_answer_finish(&answer);
	return result;
}

int ctl_counters(ctl_t *ctl)
{
	counter_output_t out = { .json = ctl->options.json };
	bsh_control_answer_t answer;
	ctl_status_t status = ctl_connect(ctl);

	if (status != CTL_OK)
		return status;
	out.list = json_array();
	if (!out.json && !ctl->options.no_header)
		puts("INSTANCE\tCOUNTER\tVALUE");
	if (ctl->options.all) {
		status = read_all_counters(ctl, &out);
	} else {
		status = ctl_request(ctl, "GET", "/metrics", NULL, &answer);
		if (status == CTL_OK) {
			status = parse_counters(&out, answer.address, &answer);
			bsh_control_answer_finish(&answer);
		}
	}
	if (out.json)
		ctl_print_json(out.list);
	else
		json_decref(out.list);
	return status;
}

int ctl_entry(ctl_t *ctl)
{
	bsh_control_answer_t answer;
	g_autofree char *path = g_strdup("/v1/entry");
	ctl_status_t status = ctl_connect(ctl);

	if (ctl->options.zone != NULL) {
		g_autofree char *zone =
			g_uri_escape_string(ctl->options.zone, NULL, FALSE);

		g_free(path);
		path = g_strdup_printf("/v1/entry?zone=%s", zone);
	}
	if (status == CTL_OK)
		status = ctl_get_json(ctl, path, &answer);
	if (status != CTL_OK)
		return status;
	if (!json_is_string(json_object_get(answer.json, "address"))) {
		status = ctl_unexpected(&answer, path);
	} else if (ctl->options.json) {
		ctl_print_json(json_incref(answer.json));
	} else {
		if (!ctl->options.no_header)
			puts("ADDRESS\tZONE\tKEEP-S");
		ctl_print_field(ctl_json_string(answer.json, "address", "-"),
				false);
		ctl_print_field(ctl_json_string(answer.json, "zone", "-"),
				false);
		print_number(answer.json, "keep_s", true);
	}
	bsh_control_answer_finish(&answer);
	return status;
}
