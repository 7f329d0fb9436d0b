#ifndef BSH_BASE_CRASH_H
#define BSH_BASE_CRASH_H

/*
 * NAME
 *	crash - last log lines of a process that a fatal signal ends
 *
 * DESCRIPTION
 *	After bsh_crash_init(), a process that SIGABRT, SIGSEGV, SIGBUS,
 *	SIGILL, SIGFPE or SIGTRAP ends writes two lines first, of level error:
 *
 *	process-ended signal=SIGABRT thread=control said="..." last="..."
 *	process-backtrace thread=control backtrace="MODULE+OFFSET,..."
 *
 *	said is what a library reported before: the C library's message of a
 *	failed check or assertion, or the text of bsh_crash_abort().  last is
 *	the last event that the thread logged.  An offset is what addr2line(1)
 *	takes for the module.  The default action of the signal follows, so
 *	that the status of the process names the signal.
 *
 *	A signal that already has a handler, such as that of a sanitizer,
 *	keeps it.
 *
 * SOURCE
 *	signal-safety(7), sigaltstack(2), backtrace(3).
 */

/* bsh_crash_init - install the handlers, and those of GLib and libsodium.
 * Called once, after bsh_log_init(), by the main thread. */
void bsh_crash_init(void);

/*
 * bsh_crash_init_thread - give the calling thread a stack for the handlers, so
 * that an overflow of its own stack is reported, and the name of its lines.
 * name must remain valid.  bsh_crash_init() does this for the main thread.
 * Without it, the thread's lines are written if its stack has room.
 */
void bsh_crash_init_thread(const char *name);

/* bsh_crash_abort - end the process by abort(3) with this message. */
void bsh_crash_abort(const char *fmt, ...)
	__attribute__((format(printf, 1, 2), noreturn));

#endif
