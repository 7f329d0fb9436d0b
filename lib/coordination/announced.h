#ifndef BSH_COORDINATION_ANNOUNCED_H
#define BSH_COORDINATION_ANNOUNCED_H

/*
 * NAME
 *	announced - which announcements of the lease holder an instance has
 *
 * DESCRIPTION
 *	The holder numbers its announcements from BSH_ANNOUNCED_BEGIN in each
 *	term.  An instance that lacks some asks for them, and one that has none of
 *	a term for the whole list of targets.
 *
 *	At the begin of a term nobody has its announcements, but the lists of most
 *	instances are as complete as that of the new holder.  So the new holder
 *	says on which announcements of the former term its list is based, and
 *	announces what it has changed in it since; an instance that has all of
 *	those, in its own list, needs no whole list.  1,000 targets in the lists of
 *	100 instances are 20 MB, which kept the store's answers from the holder.
 *
 *	Pure: no I/O and no clock.
 */

#include <stdbool.h>
#include <stdint.h>

/* Number of the list at the begin of a term, which no announcement repeats: an
 * instance that has neither received it nor read the store is behind. */
#define BSH_ANNOUNCED_BEGIN 1U

typedef struct {
	uint64_t term;
	uint64_t
		through; /* all up to this number have been received; 0: none */
	uint64_t last;	 /* the newest, by the holder's last message */
	uint64_t highest; /* the newest of which something was received */
	uint64_t first;	  /* sent before the first message of the term that was
			   * received; 0: a list of the store that is read after
			   * that has been taken for it already */
	/* All from BSH_ANNOUNCED_BEGIN up to this number have been received, while
	 * what the list is based on is not known; 0: none. */
	uint64_t early_through;
	/* Of the term before: 0: all of them were not received. */
	uint64_t former_term;
	uint64_t former_through;
} bsh_announced_t;

/* What the list of a new holder is based on. */
typedef struct {
	uint64_t term;	 /* 0: not known */
	uint64_t number; /* its list includes none after this one */
} bsh_announced_base_t;

/*
 * bsh_announced_note - the announcements from + 1 to `to` of a term were
 * received, or with from == to a message without any.
 *
 * follows: announced states are applied.  Otherwise the list is that of the
 * store, and current: it was read since this became so.
 */
void bsh_announced_note(bsh_announced_t *announced, uint64_t term,
			uint64_t from, uint64_t to, bool follows, bool current);
/* bsh_announced_note_state - the state of one target was received, with the
 * number of the last announcement at that time. */
void bsh_announced_note_state(bsh_announced_t *announced, uint64_t term,
			      uint64_t number);
/* bsh_announced_note_list - the whole list as of an announcement was received. */
void bsh_announced_note_list(bsh_announced_t *announced, uint64_t term,
			     uint64_t number);
/* bsh_announced_note_read - the list was read from the store since the first
 * message of the term. */
void bsh_announced_note_read(bsh_announced_t *announced);
/* bsh_announced_note_base - the holder's list at the begin of the term is based
 * on this one.  Returns true if no whole list is needed.  Only while announced
 * states are applied. */
bool bsh_announced_note_base(bsh_announced_t *announced, uint64_t term,
			     const bsh_announced_base_t *base);
/* bsh_announced_forget - ask for the whole list. */
void bsh_announced_forget(bsh_announced_t *announced);
bool bsh_announced_is_complete(const bsh_announced_t *announced);
/* bsh_announced_base - the base of the list here, for a term that this instance
 * begins. */
bsh_announced_base_t bsh_announced_base(const bsh_announced_t *announced);

#endif
