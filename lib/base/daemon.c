#include "base/daemon.h"

#include <err.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/crash.h"
#include "base/log.h"

typedef struct {
	char *settings_path;
	gboolean check_only;
	gboolean show_version;
} options_t;

static char settings_path[512];

static void usage(const char *name)
{
	fprintf(stderr, "usage: %s -c file [--check-config]\n", name);
	exit(1);
}

static void parse_options(options_t *options, const char *name,
			  const char *summary, int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME,
		  &options->settings_path, "Settings file", "FILE" },
		{ "check-config", 0, 0, G_OPTION_ARG_NONE, &options->check_only,
		  "Check the settings file and exit", NULL },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &options->show_version,
		  "Print the version and exit", NULL },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_set_summary(context, summary);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		warnx("%s", error->message);
		usage(name);
	}
	g_option_context_free(context);
	if (options->show_version) {
		printf("%s %s\n", name, BSH_VERSION);
		exit(0);
	}
	if (options->settings_path == NULL || argc > 1)
		usage(name);
}

void bsh_daemon_start(bsh_settings_t *settings, const char *name,
		      const char *summary, int argc, char **argv)
{
	options_t options = { 0 };
	GString *problems = g_string_new(NULL);

	parse_options(&options, name, summary, argc, argv);
	if (bsh_settings_load(settings, options.settings_path, problems) !=
	    BSH_OK) {
		fputs(problems->str, stderr);
		exit(1);
	}
	if (options.check_only)
		exit(0);
	bsh_log_init(name,
		     (bsh_log_level_t)bsh_log_level_parse(settings->log_level));
	bsh_crash_init();
	g_strlcpy(settings_path, options.settings_path, sizeof(settings_path));
	g_string_free(problems, TRUE);
	g_free(options.settings_path);
}

const char *bsh_daemon_settings_path(void)
{
	return settings_path;
}

int bsh_daemon_open_signals(bool with_hangup)
{
	sigset_t set;
	int fd;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	if (with_hangup)
		sigaddset(&set, SIGHUP);
	if (pthread_sigmask(SIG_BLOCK, &set, NULL) != 0)
		errx(1, "cannot block signals");
	fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (fd < 0)
		err(1, "signalfd");
	return fd;
}

uint32_t bsh_daemon_read_signal(int fd)
{
	struct signalfd_siginfo info;

	if (read(fd, &info, sizeof(info)) != (ssize_t)sizeof(info))
		return 0;
	return info.ssi_signo;
}
