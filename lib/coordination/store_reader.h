#ifndef BSH_COORDINATION_STORE_READER_H
#define BSH_COORDINATION_STORE_READER_H

/*
 * NAME
 *	store_reader - whether an instance follows a kind of object in the
 *	platform's store itself
 *
 * DESCRIPTION
 *	Each call to the store is charged and counts toward a rate, and each
 *	change is answered to each instance that watches.  So the holder of the
 *	order lease reads the list of targets and the configuration for all, and
 *	the others follow its messages.
 *
 *	When those are too old, as the holder is cut off from the store, frozen
 *	or gone, a few other instances read the store and tell the rest, in the
 *	order of a rank that all instances compute alike: the first two, then
 *	the first eight, the first thirty-two, and only then all that have still
 *	heard nothing, so that the work is done by two instances unless those
 *	fail, too.  The last stage is within the time by which a change has to
 *	be known, so that an instance that hears no other one reads in time.
 *
 *	Each kind is decided on its own: the store may answer a reader about one
 *	kind and not about the other, and who vouches for both by the answers
 *	about one vouches for what it has not read.
 *
 *	An instance that reads and hears of another reader that does as well
 *	stops after a while.  The first two stop only for the holder: each would
 *	otherwise rely on the other, and neither would read.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Names ending in _us are microseconds of any one clock.
 */

#include <stdbool.h>
#include <stdint.h>

/* Instances that read first when the holder does not. */
#define BSH_STORE_READERS 2U

typedef enum {
	BSH_STORE_TARGETS,	/* the list of targets */
	BSH_STORE_CONFIGURATION /* the configuration */
} bsh_store_kind_t;

typedef struct {
	bsh_store_kind_t kind;
	int64_t drain_us;	/* drain time of a target */
	bool reading;		/* as last decided */
	bool started;		/* the first own list is complete */
	int64_t fresh_since_us; /* since when another reader serves; 0: none */
	/* Newest moments for which the lease holder has vouched, and any other
	 * instance, the holder included; 0: none. */
	int64_t holder_us;
	int64_t news_us;
} bsh_store_reader_t;

typedef struct {
	bool holder;   /* this instance holds the order lease */
	uint32_t rank; /* among the instances alive, 0: the first */
	/* Moment for which the own reading of the store vouches; 0: none. */
	int64_t own_us;
} bsh_store_reader_input_t;

/* bsh_store_reader_init - begins as one that reads, until its first list is
 * complete: it has nothing to follow. */
void bsh_store_reader_init(bsh_store_reader_t *reader, bsh_store_kind_t kind,
			   int64_t drain_us);

/* bsh_store_reader_note - another instance vouches for what it had of this kind
 * at that moment. */
void bsh_store_reader_note(bsh_store_reader_t *reader, bool from_holder,
			   int64_t at_us);

/* bsh_store_reader_holder_serves - true while what the holder has is recent. */
bool bsh_store_reader_holder_serves(const bsh_store_reader_t *reader,
				    int64_t now_us);

/* bsh_store_reader_decide - whether to read the store now. */
bool bsh_store_reader_decide(bsh_store_reader_t *reader,
			     const bsh_store_reader_input_t *input,
			     int64_t now_us);

/*
 * bsh_store_reader_backoff_max_us - longest wait of this instance between two
 * failing calls.  The first ranks notice the end of an outage for all; the
 * others together make no more calls than those.
 */
int64_t bsh_store_reader_backoff_max_us(uint32_t rank, uint32_t instances);

#endif
