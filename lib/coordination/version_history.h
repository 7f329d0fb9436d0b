#ifndef BSH_COORDINATION_VERSION_HISTORY_H
#define BSH_COORDINATION_VERSION_HISTORY_H

/*
 * NAME
 *	version_history - software versions of all services, and since when this
 *	instance knows them without a gap
 *
 * DESCRIPTION
 *	A stream that nobody has recorded goes on only if an instance can vouch
 *	that one version alone has served its service for BSH_STREAM_MEMORY_US.
 *	An instance can if it has known the list of targets for that time
 *	without a gap.  The list is known at the times given to
 *	bsh_version_history_confirm(); two of them further apart than gap_max_us
 *	leave a gap, and the coverage begins anew.
 *
 *	An instance that has just started, or had a gap, continues the history
 *	of another one: bsh_version_history_report() at that one,
 *	bsh_version_history_merge() here.  A report counts if its sender knew
 *	the list without a gap until this instance's own coverage had begun.
 *	Ages in a report are relative to a moment between the question and its
 *	answer; each one is taken at the end of that interval at which it proves
 *	less.  Versions in a report are noted even if its coverage does not
 *	count.
 *
 *	Pure: no I/O and no clock.
 *
 * LIMITS
 *	A version that was listed for less than gap_max_us, at an instance that
 *	was cut off for that time, is not known.  Streams that began at it have
 *	records, as it was not the only one where it was listed.
 *
 * UNITS
 *	Microseconds of a clock that also advances while the machine is
 *	suspended; ages in messages are milliseconds.
 *
 * ERRORS
 *	A report that is malformed proves no coverage.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/stream_table.h"
#include "protocol/message.h"

/* An instance that is cut off notices it within this time; its list of targets
 * may then lack a new version. */
#define BSH_LIST_AGE_MAX_US INT64_C(3000000)

typedef struct {
	GHashTable *services; /* key of a service to service_t */
	int64_t gap_max_us;
	int64_t since_us; /* start of the coverage; 0: no list yet */
	int64_t until_us; /* last time at which the list was known */
} bsh_version_history_t;

/* bsh_version_history_init - gap_max_us: longest time between two confirmations
 * of a list that is followed without interruption. */
void bsh_version_history_init(bsh_version_history_t *history,
			      int64_t gap_max_us);
void bsh_version_history_finish(bsh_version_history_t *history);

/*
 * bsh_version_history_confirm - the list that has been noted was complete at
 * at_us.
 *
 * RETURN VALUE
 *	Length of the gap if there was one, which ends all coverage; 0 if there
 *	was none.
 */
int64_t bsh_version_history_confirm(bsh_version_history_t *history,
				    int64_t at_us);

/* bsh_version_history_note - a list names a target of the service with this
 * version; 0: one that cannot be read, which is never the only one. */
void bsh_version_history_note(bsh_version_history_t *history, uint64_t service,
			      uint64_t software, int64_t now_us);

/* bsh_version_history_only - the one version that has served for
 * BSH_STREAM_MEMORY_US; 0: there were several or none, or this instance does not
 * know. */
uint64_t bsh_version_history_only(const bsh_version_history_t *history,
				  uint64_t service, int64_t now_us);
/* bsh_version_history_several - true if several versions are known to have served
 * within BSH_STREAM_MEMORY_US. */
bool bsh_version_history_several(const bsh_version_history_t *history,
				 uint64_t service, int64_t now_us);
/* bsh_version_history_have_several - the same for any service. */
bool bsh_version_history_have_several(const bsh_version_history_t *history,
				      int64_t now_us);
/* bsh_version_history_is_covered - true if the versions of the last
 * BSH_STREAM_MEMORY_US are known. */
bool bsh_version_history_is_covered(const bsh_version_history_t *history,
				    uint64_t service, int64_t now_us);

/*
 * bsh_version_history_report - answer an instance that asks for the history of a
 * service.
 *
 * RETURN VALUE
 *	False if there is nothing to report.  The versions of the answer are in
 *	seen, of BSH_SOFTWARE_VERSIONS_MAX entries.
 */
bool bsh_version_history_report(const bsh_version_history_t *history,
				const bsh_msg_versions_query_t *query,
				bsh_version_seen_t *seen,
				bsh_msg_versions_answer_t *answer,
				int64_t now_us);
/*
 * bsh_version_history_merge - continue the history of another instance.
 *
 * RETURN VALUE
 *	True if this instance's coverage of the service is longer than before.
 */
bool bsh_version_history_merge(bsh_version_history_t *history,
			       const bsh_msg_versions_answer_t *answer,
			       int64_t now_us);

#endif
