#include "base/daemon.h"
#include "base/json_text.h"
#include "bshctl.h"

#include <curl/curl.h>
#include <err.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_DEFAULT_MS 5000
#define TIMEOUT_MAX_MS	   600000

typedef struct {
	const char *name;
	const char *arguments;
	const char *summary; /* one line of help */
	int min_args;
	int max_args;
	const char *options; /* groups of accepted options, one letter each */
	int (*run)(ctl_t *ctl);
} command_t;

static const command_t commands[] = {
	{ "check", "FILE", "validate a document without a controller", 1, 1, "",
	  ctl_check },
	{ "diff", "[OLD] NEW",
	  "compare with the document in force, or two files", 1, 2, "ms",
	  ctl_diff },
	{ "apply", "FILE", "put a document in force", 1, 1, "msgw", ctl_apply },
	{ "status", "", "instances and the generation in force", 0, 0, "msHT",
	  ctl_status },
	{ "drain", "INSTANCE", "order an instance to finish its work and leave",
	  1, 1, "msw", ctl_drain },
	{ "timeline", "", "merged time line of all instances", 0, 0, "msHgft",
	  ctl_timeline },
	{ "counters", "", "counters of the controllers", 0, 0, "msHa",
	  ctl_counters },
	{ "entry", "", "request an entry address", 0, 0, "msHz", ctl_entry },
	{ "explain", "ID [FILE...]",
	  "why a request ended as it did, from the logs of bshentryd", 1,
	  INT_MAX, "Hx", ctl_explain },
	{ "summary", "[FILE...]",
	  "how requests ended, from the logs of bshentryd", 0, INT_MAX, "Ha",
	  ctl_summary },
	{ "where", "ADDRESS", "where an instance would send a request now", 1,
	  1, "HW", ctl_where },
	{ "accounts", "METRICS-ADDRESS...",
	  "use of client accounts, from the metrics of bshentryd", 1, INT_MAX,
	  "Hm", ctl_accounts },
};

static void print_commands(FILE *out)
{
	fprintf(out, "usage: bshctl COMMAND [OPTION...] [ARGUMENT...]\n\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-9s %-12s %s\n", commands[i].name,
			commands[i].arguments, commands[i].summary);
	fprintf(out, "\nbshctl COMMAND --help lists the command's options.\n");
}

static ctl_status_t usage(void)
{
	print_commands(stderr);
	return CTL_USAGE;
}

const char *ctl_json_string(const json_t *object, const char *key,
			    const char *fallback)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL ? text : fallback;
}

void ctl_print_json(json_t *value)
{
	char *text = bsh_json_text(value, JSON_INDENT(2));

	if (text != NULL)
		puts(text);
	free(text);
	json_decref(value);
}

/* Control characters in a response must not reach the operator's terminal,
 * including those that UTF-8 encodes in two bytes (U+0080 to U+009F). */
char *ctl_sanitize(const char *text)
{
	char *clean = g_utf8_make_valid(text, -1);

	for (unsigned char *at = (unsigned char *)clean; *at != '\0'; at++) {
		if (at[0] < ' ' || at[0] == 0x7f) {
			at[0] = ' ';
		} else if (at[0] == 0xc2 && at[1] >= 0x80 && at[1] < 0xa0) {
			at[0] = ' ';
			at[1] = ' ';
		}
	}
	return clean;
}

void ctl_print_field(const char *text, bool last)
{
	g_autofree char *clean = ctl_sanitize(text);

	printf("%s%c", clean, last ? '\n' : '\t');
}

void ctl_print_lines(const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);

	for (int i = 0; lines[i] != NULL; i++) {
		if (lines[i][0] != '\0')
			ctl_print_field(lines[i], true);
	}
	g_strfreev(lines);
}

ctl_status_t ctl_connect(ctl_t *ctl)
{
	const char *environment = getenv("BERYLSHUNT_SERVER");
	g_autofree char *list = NULL;
	bsh_error_t err;

	if (ctl->options.servers != NULL)
		list = g_strjoinv(",", ctl->options.servers);
	else
		list = g_strdup(environment != NULL ? environment : "");
	err = bsh_control_client_init(&ctl->client, list,
				      ctl->options.timeout_ms);
	if (err != BSH_OK) {
		warnx("%s; use -s IP:port or BERYLSHUNT_SERVER",
		      ctl->client.failure);
		return CTL_USAGE;
	}
	ctl->connected = true;
	return CTL_OK;
}

ctl_status_t ctl_request(ctl_t *ctl, const char *method, const char *path,
			 const char *body, bsh_control_answer_t *answer)
{
	bsh_error_t err = bsh_control_request(&ctl->client, method, path, body,
					      -1, answer);

	if (err == BSH_OK)
		return CTL_OK;
	warnx("no controller answered: %s (%s)", ctl->client.failure,
	      bsh_error_name(err));
	return CTL_UNREACHABLE;
}

ctl_status_t ctl_unexpected(const bsh_control_answer_t *answer,
			    const char *what)
{
	g_autofree char *title =
		ctl_sanitize(ctl_json_string(answer->json, "title", ""));
	g_autofree char *detail =
		ctl_sanitize(ctl_json_string(answer->json, "detail", ""));

	if (answer->status == 200)
		warnx("%s: %s: the answer is malformed", answer->address, what);
	else
		warnx("%s: %s: status %ld%s%s%s%s", answer->address, what,
		      answer->status, title[0] != '\0' ? ": " : "", title,
		      detail[0] != '\0' ? " " : "", detail);
	return CTL_REFUSED;
}

ctl_status_t ctl_get_json(ctl_t *ctl, const char *path,
			  bsh_control_answer_t *answer)
{
	ctl_status_t status = ctl_request(ctl, "GET", path, NULL, answer);

	if (status != CTL_OK)
		return status;
	if (answer->status == 200 && json_is_object(answer->json))
		return CTL_OK;
	status = ctl_unexpected(answer, path);
	bsh_control_answer_finish(answer);
	return status;
}

static void add_option(GArray *option_entries, const char *accepted, char group,
		       const GOptionEntry *entry)
{
	if (group == '\0' || strchr(accepted, group) != NULL)
		g_array_append_val(option_entries, *entry);
}

static GArray *make_options(ctl_options_t *o, const char *accepted)
{
	GArray *option_entries = g_array_new(TRUE, TRUE, sizeof(GOptionEntry));
	const struct {
		char group;
		GOptionEntry entry;
	} all[] = {
		{ '\0',
		  { "help", 'h', 0, G_OPTION_ARG_NONE, &o->help,
		    "Show the options of this command", NULL } },
		{ '\0',
		  { "json", 'j', 0, G_OPTION_ARG_NONE, &o->json, "Print JSON",
		    NULL } },
		{ 's',
		  { "server", 's', 0, G_OPTION_ARG_STRING_ARRAY, &o->servers,
		    "Controller; may be repeated", "IP:PORT" } },
		{ 'm',
		  { "timeout-ms", 0, 0, G_OPTION_ARG_INT, &o->timeout_ms,
		    "Timeout for one controller or instance (5000)", "MS" } },
		{ 'H',
		  { "no-header", 'H', 0, G_OPTION_ARG_NONE, &o->no_header,
		    "Omit the line of column names", NULL } },
		{ 'g',
		  { "generation", 'g', 0, G_OPTION_ARG_INT64, &o->generation,
		    "Act only if this generation is in force, or print only "
		    "its events",
		    "N" } },
		{ 'w',
		  { "wait", 'w', 0, G_OPTION_ARG_INT, &o->wait_s,
		    "Wait until the document is in force, or the instance left",
		    "SECONDS" } },
		{ 'f',
		  { "file", 'f', 0, G_OPTION_ARG_FILENAME_ARRAY, &o->files,
		    "Read events from a file; may be repeated", "FILE" } },
		{ 'f',
		  { "process", 'p', 0, G_OPTION_ARG_STRING_ARRAY, &o->processes,
		    "Also read this router or console; may be repeated",
		    "IP:PORT" } },
		{ 'f',
		  { "store", 0, 0, G_OPTION_ARG_STRING, &o->store,
		    "Also read the events flushed to the store", "IP:PORT" } },
		{ 't',
		  { "request", 'r', 0, G_OPTION_ARG_STRING, &o->request,
		    "Only events of this request", "ID" } },
		{ 't',
		  { "model", 'm', 0, G_OPTION_ARG_STRING, &o->model,
		    "Only events of this model", "NAME" } },
		{ 't',
		  { "key", 'k', 0, G_OPTION_ARG_STRING, &o->key,
		    "Only events of this idempotency key", "KEY" } },
		{ 't',
		  { "since-us", 0, 0, G_OPTION_ARG_INT64, &o->since_us,
		    "Only events at or after this time", "US" } },
		{ 't',
		  { "until-us", 0, 0, G_OPTION_ARG_INT64, &o->until_us,
		    "Only events before this time", "US" } },
		{ 't',
		  { "verdict", 0, 0, G_OPTION_ARG_NONE, &o->verdict,
		    "Report whether it was run, by whom, under which document",
		    NULL } },
		{ 'z',
		  { "zone", 'z', 0, G_OPTION_ARG_STRING, &o->zone,
		    "Prefer this availability zone", "NAME" } },
		{ 'T',
		  { "targets", 'T', 0, G_OPTION_ARG_NONE, &o->targets,
		    "Print the targets instead of the instances", NULL } },
		{ 'a',
		  { "all", 'a', 0, G_OPTION_ARG_NONE, &o->all,
		    "Query all live instances; also count answered requests",
		    NULL } },
		{ 'W',
		  { "host", 0, 0, G_OPTION_ARG_STRING, &o->host,
		    "Host of the request", "NAME" } },
		{ 'W',
		  { "path", 0, 0, G_OPTION_ARG_STRING, &o->path,
		    "Path of the request", "PATH" } },
		{ 'W',
		  { "model", 'm', 0, G_OPTION_ARG_STRING, &o->model,
		    "Model that it names", "MODEL[/ADAPTER]" } },
		{ 'W',
		  { "account", 0, 0, G_OPTION_ARG_STRING, &o->account,
		    "Client account whose key it has", "NAME" } },
		{ 'W',
		  { "tokens", 0, 0, G_OPTION_ARG_STRING, &o->tokens,
		    "Tokens of its prompt and of its answer", "P,A" } },
		{ 'W',
		  { "prompt", 0, 0, G_OPTION_ARG_STRING, &o->prompt,
		    "Parts of its prompt, ids in hexadecimal",
		    "ID:TOKENS,..." } },
		{ 'W',
		  { "service", 0, 0, G_OPTION_ARG_STRING, &o->service,
		    "Service, if the route has several", "NAME" } },
		{ 'W',
		  { "software", 0, 0, G_OPTION_ARG_STRING, &o->software,
		    "Version that began the stream that it resumes",
		    "VERSION" } },
		{ 'W',
		  { "timeout-ms", 0, 0, G_OPTION_ARG_INT, &o->timeout_ms,
		    "Timeout of the question (5000)", "MS" } },
		{ 'x',
		  { "instance", 'i', 0, G_OPTION_ARG_STRING, &o->instance,
		    "Report on this instance if no line names the request",
		    "NAME" } },
		{ 'x',
		  { "at", 0, 0, G_OPTION_ARG_STRING, &o->at,
		    "The time to report on, as the logs print it", "TIME" } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		add_option(option_entries, accepted, all[i].group,
			   &all[i].entry);
	return option_entries;
}

static ctl_status_t check_options(const command_t *command, ctl_t *ctl)
{
	const ctl_options_t *o = &ctl->options;

	if (ctl->argc < command->min_args || ctl->argc > command->max_args) {
		fprintf(stderr, "usage: bshctl %s [OPTION...] %s\n",
			command->name, command->arguments);
		return CTL_USAGE;
	}
	if (o->timeout_ms < 1 || o->timeout_ms > TIMEOUT_MAX_MS) {
		warnx("--timeout-ms must be 1 to %d", TIMEOUT_MAX_MS);
		return CTL_USAGE;
	}
	if (o->generation < -1 || o->wait_s < 0) {
		warnx("--generation and --wait must not be negative");
		return CTL_USAGE;
	}
	return CTL_OK;
}

/* Prints the help text with ASCII dots for the ellipsis that GLib writes, which
 * not every locale can display. */
static void print_help(GOptionContext *context)
{
	g_autofree char *text = g_option_context_get_help(context, TRUE, NULL);
	char **parts = g_strsplit(text, "\xe2\x80\xa6", -1);
	g_autofree char *plain = g_strjoinv("...", parts);

	fputs(plain, stdout);
	g_strfreev(parts);
}

static int run_command(const command_t *command, ctl_t *ctl, int argc,
		       char **argv)
{
	g_autofree char *name = g_strdup_printf("bshctl %s", command->name);
	g_autofree char *text = g_strdup_printf("%s - %s", command->arguments,
						command->summary);
	GOptionContext *context = g_option_context_new(text);
	GArray *option_entries = make_options(&ctl->options, command->options);
	GError *error = NULL;
	int status = CTL_USAGE;

	g_set_prgname(name);
	g_option_context_set_help_enabled(context, FALSE);
	g_option_context_add_main_entries(
		context, (GOptionEntry *)(void *)option_entries->data, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		warnx("%s: %s", command->name, error->message);
		goto out;
	}
	if (ctl->options.help) {
		print_help(context);
		status = CTL_OK;
		goto out;
	}
	/* A file name that begins with a dash follows "--". */
	if (argc > 1 && strcmp(argv[1], "--") == 0) {
		argc--;
		argv++;
	}
	ctl->argc = argc - 1;
	ctl->argv = argv + 1;
	status = check_options(command, ctl);
	if (status == CTL_OK)
		status = command->run(ctl);
out:
	g_clear_error(&error);
	g_array_free(option_entries, TRUE);
	g_option_context_free(context);
	return status;
}

static void options_finish(ctl_options_t *o)
{
	g_strfreev(o->servers);
	g_strfreev(o->files);
	g_strfreev(o->processes);
	g_free(o->store);
	g_free(o->request);
	g_free(o->model);
	g_free(o->key);
	g_free(o->zone);
	g_free(o->instance);
	g_free(o->at);
	g_free(o->host);
	g_free(o->path);
	g_free(o->account);
	g_free(o->tokens);
	g_free(o->prompt);
	g_free(o->service);
	g_free(o->software);
}

int main(int argc, char **argv)
{
	ctl_t ctl = { .options = { .timeout_ms = TIMEOUT_DEFAULT_MS,
				   .generation = -1 } };
	const command_t *command = NULL;
	int status;

	if (argc < 2)
		return usage();
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
		print_commands(stdout);
		return CTL_OK;
	}
	if (strcmp(argv[1], "--version") == 0) {
		puts("bshctl " BSH_VERSION);
		return CTL_OK;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			command = &commands[i];
	}
	if (command == NULL) {
		warnx("unknown command '%s'", argv[1]);
		return usage();
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	status = run_command(command, &ctl, argc - 1, argv + 1);
	if (ctl.connected)
		bsh_control_client_finish(&ctl.client);
	options_finish(&ctl.options);
	curl_global_cleanup();
	if (fflush(stdout) != 0 && status == CTL_OK) {
		warn("standard output");
		status = CTL_USAGE;
	}
	return status;
}
