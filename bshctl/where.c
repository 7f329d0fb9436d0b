/* Where an instance would send a request now, and why. */
#include "bshctl.h"

#include <err.h>
#include <stdio.h>
#include <string.h>

static void add_argument(GString *target, const char *name, const char *value)
{
	g_autofree char *escaped = NULL;

	if (value == NULL)
		return;
	escaped = g_uri_escape_string(value, NULL, FALSE);
	g_string_append_printf(target, "%c%s=%s",
			       strchr(target->str, '?') == NULL ? '?' : '&',
			       name, escaped);
}

static char *make_target(const ctl_options_t *o)
{
	GString *target = g_string_new("/where");

	add_argument(target, "host", o->host);
	add_argument(target, "path", o->path);
	add_argument(target, "model", o->model);
	add_argument(target, "account", o->account);
	add_argument(target, "tokens", o->tokens);
	add_argument(target, "prompt", o->prompt);
	add_argument(target, "service", o->service);
	add_argument(target, "software", o->software);
	return g_string_free(target, FALSE);
}

/* Prints a name and a value of the answer. */
static void print_pair(const char *name, const char *value)
{
	ctl_print_field(name, false);
	ctl_print_field(value, true);
}

static void print_integer(const json_t *object, const char *key,
			  const char *name)
{
	g_autofree char *text = g_strdup_printf(
		"%" JSON_INTEGER_FORMAT,
		json_integer_value(json_object_get(object, key)));

	print_pair(name, text);
}

/* A time in milliseconds, or fallback if it is not known. */
static char *format_ms(const json_t *object, const char *key,
		       const char *fallback)
{
	const json_t *value = json_object_get(object, key);

	if (!json_is_number(value))
		return g_strdup(fallback);
	return g_strdup_printf("%.0f ms", json_number_value(value));
}

static void print_route(const json_t *answer)
{
	const json_t *route = json_object_get(answer, "route");
	const json_t *services = json_object_get(route, "services");
	const json_t *service;
	GString *text = g_string_new(NULL);
	size_t i;

	if (!json_is_object(route)) {
		print_pair("route", "none");
		g_string_free(text, TRUE);
		return;
	}
	g_string_append_printf(text, "%s%s",
			       ctl_json_string(route, "name", "?"),
			       json_is_true(json_object_get(route, "anonymous"))
				       ? ", needs no key"
				       : "");
	print_pair("route", text->str);
	g_string_assign(text, ctl_json_string(answer, "service", "none"));
	if (json_array_size(services) < 2)
		services = NULL;
	json_array_foreach(services, i, service)
	{
		g_string_append_printf(
			text, "%s %s:%" JSON_INTEGER_FORMAT,
			i == 0 ? ", of" : ",",
			ctl_json_string(service, "name", "?"),
			json_integer_value(json_object_get(service, "weight")));
	}
	print_pair("service", text->str);
	g_string_free(text, TRUE);
}

static void print_account(const json_t *answer)
{
	const json_t *account = json_object_get(answer, "account");
	const json_t *fraction = json_object_get(account, "fraction");
	g_autofree char *text = NULL;

	if (!json_is_object(account))
		return;
	if (!json_is_true(json_object_get(account, "known")))
		text = g_strdup_printf("%s, not known",
				       ctl_json_string(account, "name", "?"));
	else if (fraction == NULL)
		text = g_strdup_printf("%s, known",
				       ctl_json_string(account, "name", "?"));
	else
		text = g_strdup_printf(
			"%s, limit %.1f/s, fraction admitted %.3f, this one "
			"%s",
			ctl_json_string(account, "name", "?"),
			json_number_value(
				json_object_get(account, "limit_per_s")),
			json_number_value(fraction),
			json_is_true(json_object_get(account, "admitted"))
				? "is admitted"
				: "is not");
	print_pair("account", text);
}

static void print_decision(const json_t *decision)
{
	const char *action = ctl_json_string(decision, "action", "?");
	const char *target = ctl_json_string(decision, "target", NULL);
	g_autofree char *expected =
		format_ms(decision, "expected_ms", "an unknown time");
	g_autofree char *retry = format_ms(decision, "retry_after_ms", "none");
	g_autofree char *text = NULL;

	if (strcmp(action, "send") == 0)
		text = g_strdup_printf("send to %s, first byte in %s",
				       target != NULL ? target : "?", expected);
	else if (strcmp(action, "wait") == 0)
		text = g_strdup_printf("wait for %s%s%s, expected in %s",
				       ctl_json_string(decision, "for", "?"),
				       target != NULL ? " at " : "",
				       target != NULL ? target : "", expected);
	else if (strcmp(action, "refuse") == 0)
		text = g_strdup_printf(
			"refuse with %s, status %" JSON_INTEGER_FORMAT
			", Retry-After %s",
			ctl_json_string(decision, "error", "?"),
			json_integer_value(json_object_get(decision, "status")),
			retry);
	else
		text = g_strdup(action);
	print_pair("decision", text);
}

static void print_flag(const json_t *target, const char *key)
{
	ctl_print_field(json_is_true(json_object_get(target, key)) ? "yes"
								   : "no",
			false);
}

static void print_count(const json_t *target, const char *key)
{
	printf("%" JSON_INTEGER_FORMAT "\t",
	       json_integer_value(json_object_get(target, key)));
}

static void print_targets(const ctl_options_t *o, const json_t *targets)
{
	const json_t *target;
	size_t i;

	if (!o->no_header && json_array_size(targets) > 0)
		puts("TARGET\tZONE\tMODEL\tOPEN\tOTHERS\tSLOTS\tFIRST\t"
		     "EXCLUDED\tWAIT");
	json_array_foreach(targets, i, target)
	{
		g_autofree char *first = format_ms(target, "first_ms", "-");
		g_autofree char *wait = format_ms(target, "wait_ms", "-");

		ctl_print_field(ctl_json_string(target, "target", "?"), false);
		ctl_print_field(
			json_is_true(json_object_get(target, "same_zone"))
				? "same"
				: "other",
			false);
		print_flag(target, "has_model");
		print_count(target, "open");
		print_count(target, "open_others");
		print_count(target, "slots");
		ctl_print_field(first, false);
		ctl_print_field(ctl_json_string(target, "excluded", "-"),
				false);
		ctl_print_field(wait, true);
	}
}

static void print_answer(const ctl_options_t *o, const json_t *answer)
{
	json_int_t omitted =
		json_integer_value(json_object_get(answer, "omitted"));

	print_pair("instance", ctl_json_string(answer, "instance", "?"));
	print_integer(answer, "configuration", "configuration");
	print_route(answer);
	print_account(answer);
	print_decision(json_object_get(answer, "decision"));
	print_targets(o, json_object_get(answer, "candidates"));
	if (omitted > 0)
		printf("%" JSON_INTEGER_FORMAT " further targets\n", omitted);
}

static ctl_status_t connect_instance(ctl_t *ctl)
{
	bsh_error_t err = bsh_control_client_init(&ctl->client, ctl->argv[0],
						  ctl->options.timeout_ms);

	if (err != BSH_OK) {
		warnx("%s; give the admin address of an instance",
		      ctl->client.failure);
		return CTL_USAGE;
	}
	ctl->connected = true;
	return CTL_OK;
}

/* Asks the instance, which refuses what is malformed. */
static ctl_status_t ask(ctl_t *ctl, bsh_control_answer_t *answer)
{
	g_autofree char *target = make_target(&ctl->options);
	bsh_error_t err = bsh_control_request(&ctl->client, "GET", target, NULL,
					      -1, answer);
	ctl_status_t status = CTL_OK;

	if (err != BSH_OK) {
		warnx("no answer of the instance: %s (%s)", ctl->client.failure,
		      bsh_error_name(err));
		return CTL_UNREACHABLE;
	}
	if (answer->status != 200 ||
	    !json_is_object(json_object_get(answer->json, "decision"))) {
		ctl_unexpected(answer, "where");
		status = answer->status == 400 ? CTL_USAGE : CTL_REFUSED;
		bsh_control_answer_finish(answer);
	}
	return status;
}

int ctl_where(ctl_t *ctl)
{
	const ctl_options_t *o = &ctl->options;
	bsh_control_answer_t answer;
	const json_t *decision;
	ctl_status_t status;

	if (o->host == NULL || o->path == NULL) {
		warnx("--host and --path are needed");
		return CTL_USAGE;
	}
	status = connect_instance(ctl);
	if (status != CTL_OK)
		return status;
	status = ask(ctl, &answer);
	if (status != CTL_OK)
		return status;
	decision = json_object_get(answer.json, "decision");
	if (strcmp(ctl_json_string(decision, "action", ""), "refuse") == 0)
		status = CTL_DIFFERS;
	if (o->json)
		ctl_print_json(json_incref(answer.json));
	else
		print_answer(o, answer.json);
	bsh_control_answer_finish(&answer);
	return status;
}
