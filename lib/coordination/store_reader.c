#include "coordination/store_reader.h"

#include <glib.h>
#include <string.h>

/* Age of the list, in per cent of the drain time, from which the instances up to
 * a rank read the store; the first two stages begin no later than limit_us. */
static const struct {
	uint32_t ranks;
	int64_t drain_percent;
	int64_t limit_us;
} stages[] = {
	{ BSH_STORE_READERS, 50, INT64_C(1000000) },
	{ 8, 60, INT64_C(1200000) },
	{ 32, 70, INT64_MAX },
	{ UINT32_MAX, 75, INT64_MAX },
};

/* The holder tells about the configuration less often than about the list. */
#define CONFIG_ALLOWANCE_US INT64_C(600000)
/* Time for which another reader must have served before this one stops. */
#define FIRST_READERS_HOLD_US INT64_C(1000000)
#define OTHERS_HOLD_US	      INT64_C(300000)

#define FIRST_READERS_BACKOFF_US INT64_C(800000)
#define FIRST_READERS_RANKS	 8U
/* One call of the other instances together in this time. */
#define OTHERS_CALL_INTERVAL_US INT64_C(50000)
#define OTHERS_BACKOFF_MAX_US	INT64_C(10000000)

void bsh_store_reader_init(bsh_store_reader_t *reader, int64_t drain_us)
{
	memset(reader, 0, sizeof(*reader));
	reader->drain_us = drain_us;
	reader->reading = true;
}

void bsh_store_reader_note_list(bsh_store_reader_t *reader, bool from_holder,
				int64_t complete_us)
{
	reader->news.list_us = MAX(reader->news.list_us, complete_us);
	if (from_holder)
		reader->holder_news.list_us =
			MAX(reader->holder_news.list_us, complete_us);
}

void bsh_store_reader_note_config(bsh_store_reader_t *reader, bool from_holder,
				  int64_t at_us)
{
	reader->news.config_us = MAX(reader->news.config_us, at_us);
	if (from_holder)
		reader->holder_news.config_us =
			MAX(reader->holder_news.config_us, at_us);
}

static int64_t limit_us(const bsh_store_reader_t *reader, uint32_t rank)
{
	size_t stage = 0;

	while (rank >= stages[stage].ranks && stage + 1 < G_N_ELEMENTS(stages))
		stage++;
	return MIN(reader->drain_us * stages[stage].drain_percent / 100,
		   stages[stage].limit_us);
}

static int64_t age_us(const bsh_store_reader_news_t *news, int64_t now_us)
{
	return MAX(now_us - news->list_us,
		   now_us - news->config_us - CONFIG_ALLOWANCE_US);
}

bool bsh_store_reader_holder_serves(const bsh_store_reader_t *reader,
				    int64_t now_us)
{
	return reader->holder_news.list_us > 0 &&
	       now_us - reader->holder_news.list_us < limit_us(reader, 0);
}

bool bsh_store_reader_decide(bsh_store_reader_t *reader,
			     const bsh_store_reader_input_t *input,
			     int64_t now_us)
{
	bool first = input->rank < BSH_STORE_READERS;
	bsh_store_reader_news_t news =
		first ? reader->holder_news : reader->news;
	int64_t limit = limit_us(reader, input->rank);
	int64_t hold_us = first ? FIRST_READERS_HOLD_US : OTHERS_HOLD_US;

	/* Something was heard, and it is recent without the own reading. */
	if (news.list_us == 0 || news.config_us == 0 ||
	    age_us(&news, now_us) >= limit)
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
		news.list_us = MAX(news.list_us, input->own_us);
		news.config_us = MAX(news.config_us, input->own_us);
		reader->reading = age_us(&news, now_us) >= limit;
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
