#include "base/crash.h"

#include <dlfcn.h>
#include <errno.h>
#include <execinfo.h>
#include <glib.h>
#include <link.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/log.h"

#define STACK_BYTES    65536
#define FRAMES_MAX     24
#define MODULES_MAX    64
#define MODULE_NAME    32
#define MESSAGE_MAX    160
#define LINE_MAX_BYTES 960
/* Time that another thread has to write its line before the process ends. */
#define OTHER_THREAD_WAIT_NS 500000000L

typedef struct {
	uintptr_t base;
	uintptr_t begin; /* of its executable part */
	uintptr_t end;
	char name[MODULE_NAME];
} module_t;

/* What the C library keeps for debuggers of the message of a failed check. */
typedef struct {
	unsigned int bytes;
	char text[];
} abort_message_t;

static const struct {
	int number;
	const char *name;
} signals[] = {
	{ SIGABRT, "SIGABRT" }, { SIGSEGV, "SIGSEGV" }, { SIGBUS, "SIGBUS" },
	{ SIGILL, "SIGILL" },	{ SIGFPE, "SIGFPE" },	{ SIGTRAP, "SIGTRAP" },
};

/* Found at the start: in a handler, a lock of the dynamic linker may be held. */
static module_t modules[MODULES_MAX];
static size_t n_modules;
static abort_message_t *const *c_library_message;
static char message[MESSAGE_MAX];
static volatile sig_atomic_t reporting;
static _Thread_local const char *thread_name = "other";

static int add_module(struct dl_phdr_info *info, size_t size, void *ctx)
{
	const char *slash = strrchr(info->dlpi_name, '/');
	const char *name = slash != NULL ? slash + 1 : info->dlpi_name;

	(void)size;
	(void)ctx;
	for (int i = 0; i < info->dlpi_phnum; i++) {
		const ElfW(Phdr) *part = &info->dlpi_phdr[i];
		module_t *module = &modules[n_modules];

		if (part->p_type != PT_LOAD || (part->p_flags & PF_X) == 0 ||
		    n_modules == MODULES_MAX)
			continue;
		module->base = info->dlpi_addr;
		module->begin = info->dlpi_addr + part->p_vaddr;
		module->end = module->begin + part->p_memsz;
		/* The program itself has no name here. */
		g_strlcpy(module->name,
			  *name != '\0' ? name : program_invocation_short_name,
			  sizeof(module->name));
		n_modules++;
	}
	return 0;
}

/* Printing of integers and strings neither allocates nor locks in glibc. */
static void append(char *line, size_t *at, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

static void append(char *line, size_t *at, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(line + *at, LINE_MAX_BYTES - *at, fmt, ap);
	va_end(ap);
	if (n > 0)
		*at = MIN(*at + (size_t)n, LINE_MAX_BYTES - 1);
}

/* Appends a text that ends a quoted value. */
static void append_quoted(char *line, size_t *at, const char *text)
{
	for (size_t i = 0; i < MESSAGE_MAX && text[i] != '\0'; i++)
		append(line, at, "%c",
		       (unsigned char)text[i] < ' ' ? ' '
		       : text[i] == '"'		    ? '\''
						    : text[i]);
	append(line, at, "\"");
}

static void append_frame(char *line, size_t *at, uintptr_t address)
{
	for (size_t i = 0; i < n_modules; i++) {
		if (address < modules[i].begin || address >= modules[i].end)
			continue;
		append(line, at, "%s+0x%lx", modules[i].name,
		       (unsigned long)(address - modules[i].base));
		return;
	}
	append(line, at, "0x%lx", (unsigned long)address);
}

static const char *said(void)
{
	if (message[0] != '\0')
		return message;
	if (c_library_message != NULL && *c_library_message != NULL)
		return (*c_library_message)->text;
	return "";
}

static void report(int number)
{
	char line[LINE_MAX_BYTES];
	size_t at = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++)
		if (signals[i].number == number)
			append(line, &at, "process-ended signal=%s thread=%s",
			       signals[i].name, thread_name);
	append(line, &at, " said=\"");
	append_quoted(line, &at, said());
	append(line, &at, " last=\"");
	append_quoted(line, &at, bsh_log_last_event());
	bsh_log_from_handler(line);
}

/* A line of its own, as the unwinder may fail on a stack that was overwritten. */
static void report_backtrace(void)
{
	char line[LINE_MAX_BYTES];
	void *frames[FRAMES_MAX];
	int n_frames = backtrace(frames, FRAMES_MAX);
	size_t at = 0;

	append(line, &at, "process-backtrace thread=%s", thread_name);
	append(line, &at, " backtrace=\"");
	for (int i = 0; i < n_frames; i++) {
		append(line, &at, "%s", i == 0 ? "" : ",");
		append_frame(line, &at, (uintptr_t)frames[i]);
	}
	append(line, &at, "\"");
	bsh_log_from_handler(line);
}

static void on_fatal_signal(int number)
{
	static const struct timespec wait = { .tv_nsec = OTHER_THREAD_WAIT_NS };
	static _Thread_local volatile sig_atomic_t reported;

	if (reported != 0) {
		/* The backtrace has failed: the process ends by the signal
		 * that was reported. */
		number = reported;
	} else if (__atomic_exchange_n(&reporting, 1, __ATOMIC_SEQ_CST) == 0) {
		reported = number;
		report(number);
		report_backtrace();
	} else {
		/* Of two threads that fail at a time, the first one reports. */
		nanosleep(&wait, NULL);
	}
	signal(number, SIG_DFL);
	raise(number);
}

static void install_handlers(void)
{
	struct sigaction action = { .sa_handler = on_fatal_signal,
				    .sa_flags =
					    (int)(SA_ONSTACK | SA_NODEFER) };
	struct sigaction present;

	sigemptyset(&action.sa_mask);
	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++)
		if (sigaction(signals[i].number, NULL, &present) == 0 &&
		    present.sa_handler == SIG_DFL &&
		    sigaction(signals[i].number, &action, NULL) != 0)
			bsh_log(BSH_LOG_WARNING,
				"handler-not-installed signal=%s",
				signals[i].name);
}

static void on_glib_message(const gchar *domain, GLogLevelFlags level,
			    const gchar *text, gpointer ctx)
{
	g_autofree char *quoted = g_strdelimit(g_strdup(text), "\"", '\'');

	(void)ctx;
	if ((level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_DEBUG)) != 0)
		return;
	bsh_log(BSH_LOG_WARNING, "library-message library=%s text=\"%s\"",
		domain != NULL ? domain : "GLib", quoted);
	/* GLib ends the process after this handler. */
	if ((level & (G_LOG_FLAG_FATAL | G_LOG_LEVEL_ERROR)) != 0)
		g_strlcpy(message, text, sizeof(message));
}

/* Failed assertions of GLib are printed, and end the process then. */
static void on_glib_print(const gchar *text)
{
	g_strlcpy(message, text, sizeof(message));
	fputs(text, stderr);
}

static void on_sodium_misuse(void)
{
	bsh_crash_abort(
		"libsodium: a function was called with wrong arguments");
}

void bsh_crash_init(void)
{
	void *frame;

	/* The first call loads the unwinder. */
	backtrace(&frame, 1);
	dl_iterate_phdr(add_module, NULL);
	c_library_message =
		dlvsym(RTLD_DEFAULT, "__abort_msg", "GLIBC_PRIVATE");
	bsh_crash_init_thread("control");
	install_handlers();
	g_log_set_default_handler(on_glib_message, NULL);
	g_set_printerr_handler(on_glib_print);
	sodium_set_misuse_handler(on_sodium_misuse);
}

void bsh_crash_init_thread(const char *name)
{
	static _Thread_local char stack[STACK_BYTES];
	stack_t alternate = { .ss_sp = stack, .ss_size = sizeof(stack) };
	stack_t present;

	thread_name = name;
	/* A sanitizer frees the stack that it has set at the thread's end. */
	if (sigaltstack(NULL, &present) == 0 &&
	    (present.ss_flags & SS_DISABLE) == 0)
		return;
	if (sigaltstack(&alternate, NULL) != 0)
		bsh_log(BSH_LOG_WARNING, "handler-stack-not-set thread=%s",
			name);
}

void bsh_crash_abort(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);
	abort();
}
