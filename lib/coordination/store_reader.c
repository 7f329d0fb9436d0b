#include "coordination/store_reader.h"

#include <glib.h>
#include <string.h>

/* Instances up to a rank read the store themselves from an age on.  For targets
 * that is a share of the drain time, in the first two stages no more than
 * limit_us.  For the configuration it does not depend on the drain time: readers
 * tell of it every half second, so that the first stage bears one lost message,
 * and after the last one there is time to read and to spread it within 2 s. */
static const struct {
	uint32_t ranks;
	int64_t drain_percent;
	int64_t limit_us;
	int64_t config_us;
} stages[] = {
	{ BSH_STORE_READERS, 50, INT64_C(1000000), INT64_C(1100000) },
	{ 8, 60, INT64_C(1200000), INT64_C(1250000) },
	{ 32, 70, INT64_MAX, INT64_C(1400000) },
	{ UINT32_MAX, 75, INT64_MAX, INT64_C(1500000) },
};

/* Time for which another reader must have served before this one stops. */
#define FIRST_READERS_HOLD_US INT64_C(1000000)
#define OTHERS_HOLD_US	      INT64_C(300000)

#define FIRST_READERS_BACKOFF_US INT64_C(800000)
#define FIRST_READERS_RANKS	 8U
/* One call of the other instances together in this time. */
#define OTHERS_CALL_INTERVAL_US INT64_C(50000)
#define OTHERS_BACKOFF_MAX_US	INT64_C(10000000)

void bsh_store_reader_init(bsh_store_reader_t *reader, bsh_store_kind_t kind,
			   int64_t drain_us)
{
	memset(reader, 0, sizeof(*reader));
	reader->kind = kind;
	reader->drain_us = drain_us;
	reader->reading = true;
}

void bsh_store_reader_note(bsh_store_reader_t *reader, bool from_holder,
			   int64_t at_us)
{
	reader->news_us = MAX(reader->news_us, at_us);
	if (from_holder)
		reader->holder_us = MAX(reader->holder_us, at_us);
}

static int64_t limit_us(const bsh_store_reader_t *reader, uint32_t rank)
{
	size_t stage = 0;

	while (rank >= stages[stage].ranks && stage + 1 < G_N_ELEMENTS(stages))
		stage++;
	if (reader->kind == BSH_STORE_CONFIGURATION)
		return stages[stage].config_us;
	return MIN(reader->drain_us * stages[stage].drain_percent / 100,
		   stages[stage].limit_us);
}

bool bsh_store_reader_holder_serves(const bsh_store_reader_t *reader,
				    int64_t now_us)
{
	return reader->holder_us > 0 &&
	       now_us - reader->holder_us < limit_us(reader, 0);
}

bool bsh_store_reader_decide(bsh_store_reader_t *reader,
			     const bsh_store_reader_input_t *input,
			     int64_t now_us)
{
	bool first = input->rank < BSH_STORE_READERS;
	int64_t news_us = first ? reader->holder_us : reader->news_us;
	int64_t limit = limit_us(reader, input->rank);
	int64_t hold_us = first ? FIRST_READERS_HOLD_US : OTHERS_HOLD_US;

	/* Something was heard, and it is recent without the own reading. */
	if (news_us == 0 || now_us - news_us >= limit)
		reader->fresh_since_us = 0;
	else if (reader->fresh_since_us == 0)
		reader->fresh_since_us = now_us;
	if (!reader->started && input->own_us > 0) {
		reader->started = true;
		reader->reading = false;
	}
	if (input->holder || !reader->started) {
		reader->reading = true;
	} else if (reader->reading) {
		reader->reading = reader->fresh_since_us == 0 ||
				  now_us - reader->fresh_since_us < hold_us;
	} else {
		reader->reading = now_us - MAX(news_us, input->own_us) >= limit;
	}
	return reader->reading;
}

int64_t bsh_store_reader_backoff_max_us(uint32_t rank, uint32_t instances)
{
	if (rank < FIRST_READERS_RANKS)
		return FIRST_READERS_BACKOFF_US;
	return CLAMP(instances * OTHERS_CALL_INTERVAL_US,
		     FIRST_READERS_BACKOFF_US, OTHERS_BACKOFF_MAX_US);
}
