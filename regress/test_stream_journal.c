/* Records of streams that outlive all instances: random days on which streams
 * begin, the store fails, and everything ends at once. */
#include <glib.h>

#include "base/rng.h"
#include "coordination/stream_journal.h"

#define DAYS	   200
#define STEP_US	   INT64_C(10000)
#define DAY_US	   INT64_C(45000000)
#define STORE_US   INT64_C(30000) /* longest answer of a store that is sound */
#define OUTAGES_S  3
#define VERSION	   UINT64_C(7)
#define OTHER	   UINT64_C(8)
#define RATE_S_MAX 400

/* The store as the instances leave it, and when each stream was told. */
typedef struct {
	char *objects[BSH_STREAM_SEGMENTS];
	GArray *told_us; /* int64_t, by number of the stream less 1 */
	uint32_t writes;
	int64_t outage_end_us;
} day_t;

static bool is_away(const day_t *day, int64_t now_us)
{
	return now_us < day->outage_end_us;
}

static GHashTable *read_store(const day_t *day)
{
	GHashTable *versions = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);

	for (uint32_t i = 0; i < BSH_STREAM_SEGMENTS; i++) {
		g_autoptr(GArray) records =
			g_array_new(FALSE, FALSE, sizeof(bsh_stream_record_t));

		if (day->objects[i] == NULL)
			continue;
		g_assert_true(
			bsh_stream_records_decode(day->objects[i], records));
		for (guint n = 0; n < records->len; n++) {
			const bsh_stream_record_t *record =
				&g_array_index(records, bsh_stream_record_t, n);

			g_hash_table_replace(
				versions,
				g_memdup2(&record->stream,
					  sizeof(record->stream)),
				g_memdup2(&record->software,
					  sizeof(record->software)));
		}
	}
	return versions;
}

static uint64_t version_of(uint64_t stream)
{
	return stream % 3 == 0 ? OTHER : VERSION;
}

/* Plays a day up to end_us, when all instances end. */
static void play(day_t *day, bsh_rng_t *rng, int64_t outage_us,
		 int64_t outage_end_us, int64_t end_us)
{
	uint32_t rate_s = 1 + (uint32_t)bsh_rng_below(rng, RATE_S_MAX);
	g_autofree char *pending = NULL;
	int64_t answer_us = 0;
	bsh_stream_journal_t journal;
	uint32_t number = 0;
	double due = 0.0;

	bsh_stream_journal_init(&journal);
	for (int64_t now_us = STEP_US; now_us < end_us; now_us += STEP_US) {
		const GArray *records;

		day->outage_end_us = now_us >= outage_us ? outage_end_us : 0;
		due += bsh_rng_exponential(rng, rate_s * (STEP_US / 1e6));
		for (; due >= 1.0; due -= 1.0) {
			uint64_t stream = day->told_us->len + 1;

			bsh_stream_journal_add(&journal, stream,
					       version_of(stream), now_us);
			g_array_append_val(day->told_us, now_us);
		}
		if (pending != NULL && now_us >= answer_us) {
			bool stored = !is_away(day, now_us);

			if (stored) {
				g_free(day->objects[number]);
				day->objects[number] =
					g_steal_pointer(&pending);
			}
			g_clear_pointer(&pending, g_free);
			bsh_stream_journal_end_write(&journal, stored, now_us);
		}
		records = bsh_stream_journal_begin_write(&journal, &number,
							 now_us);
		if (records == NULL)
			continue;
		g_assert_null(pending);
		pending = bsh_stream_records_encode(records);
		answer_us = now_us + (int64_t)bsh_rng_below(rng, STORE_US);
		day->writes++;
	}
	bsh_stream_journal_finish(&journal);
}

static void init_day(day_t *day)
{
	*day = (day_t){ .told_us = g_array_new(FALSE, FALSE, sizeof(int64_t)) };
}

static void finish_day(day_t *day)
{
	for (uint32_t i = 0; i < BSH_STREAM_SEGMENTS; i++)
		g_free(day->objects[i]);
	g_array_free(day->told_us, TRUE);
}

/* Every stream that was told between these times has its version in the store. */
static void check_stored(const day_t *day, int64_t from_us, int64_t to_us)
{
	g_autoptr(GHashTable) versions = read_store(day);

	for (guint i = 0; i < day->told_us->len; i++) {
		uint64_t stream = i + 1;
		const uint64_t *version =
			g_hash_table_lookup(versions, &stream);
		int64_t told_us = g_array_index(day->told_us, int64_t, i);

		if (version != NULL)
			g_assert_cmpuint(*version, ==, version_of(stream));
		if (told_us >= from_us && told_us < to_us)
			g_assert_nonnull(version);
	}
}

/* Guards against streams that cannot go on after the end of all instances
 * although they began some time before, at any moment of a day, and against
 * calls to the store for each stream. */
static void test_end_of_all(void)
{
	for (uint32_t seed = 1; seed <= DAYS; seed++) {
		int64_t end_us;
		bsh_rng_t rng;
		day_t day;

		bsh_rng_init(&rng, seed);
		end_us = 1000000 + (int64_t)bsh_rng_below(&rng, DAY_US);
		init_day(&day);
		play(&day, &rng, INT64_MAX, 0, end_us);
		check_stored(&day, end_us - BSH_STREAM_MEMORY_US,
			     end_us - BSH_STREAM_WRITE_INTERVAL_US -
				     BSH_STREAM_WRITE_DELAY_US - 2 * STORE_US);
		g_assert_cmpuint(day.writes, <=,
				 end_us / BSH_STREAM_WRITE_INTERVAL_US + 1 +
					 end_us / BSH_STREAM_SEGMENT_US);
		finish_day(&day);
		bsh_rng_finish(&rng);
	}
}

/* Guards against records that are lost because the store was away when they were
 * due, and against a store that is asked as often as before meanwhile. */
static void test_store_away(void)
{
	for (uint32_t seed = 1; seed <= DAYS; seed++) {
		int64_t outage_us;
		int64_t back_us;
		bsh_rng_t rng;
		day_t day;

		bsh_rng_init(&rng, seed);
		outage_us = (int64_t)bsh_rng_below(&rng, 20000000);
		back_us = outage_us +
			  (int64_t)bsh_rng_below(&rng, OUTAGES_S * 1000000);
		init_day(&day);
		play(&day, &rng, outage_us, back_us, back_us + 4000000);
		check_stored(&day, outage_us - 10000000, back_us);
		finish_day(&day);
		bsh_rng_finish(&rng);
	}
}

/* Guards against more than a bounded number of calls to a store that is away. */
static void test_backoff(void)
{
	bsh_rng_t rng;
	day_t day;

	bsh_rng_init(&rng, 1);
	init_day(&day);
	play(&day, &rng, 0, INT64_MAX, 20000000);
	g_assert_cmpuint(day.writes, <=,
			 20000000 / BSH_STREAM_WRITE_BACKOFF_MAX_US + 4);
	finish_day(&day);
	bsh_rng_finish(&rng);
}

/* Guards against records that are gone after the store was restored from an
 * older copy. */
static void test_store_restored(void)
{
	bsh_stream_journal_t journal;
	const GArray *records;
	uint32_t number;

	bsh_stream_journal_init(&journal);
	bsh_stream_journal_add(&journal, 1, VERSION, 1000);
	g_assert_nonnull(
		bsh_stream_journal_begin_write(&journal, &number, 1000000));
	bsh_stream_journal_end_write(&journal, true, 1010000);
	g_assert_cmpint(bsh_stream_journal_next_us(&journal), ==, INT64_MAX);
	bsh_stream_journal_lost(&journal, 1500000);
	records = bsh_stream_journal_begin_write(&journal, &number, 2000000);
	g_assert_nonnull(records);
	g_assert_cmpuint(records->len, ==, 1);
	bsh_stream_journal_finish(&journal);
}

/* Guards against an object of another writer, or a damaged one, that ends the
 * process or yields records. */
static void test_malformed(void)
{
	static const char *const texts[] = {
		"A",
		"AAAA",
		"!!!!",
		"====",
		"AAAAAAAAAAAAAAAAAAAAA===",
		"A A A ",
		"\xc3\xa4\xc3\xa4",
	};
	g_autoptr(GArray) records =
		g_array_new(FALSE, FALSE, sizeof(bsh_stream_record_t));
	bsh_rng_t rng;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		bsh_stream_records_decode(texts[i], records);
		g_assert_cmpuint(records->len, ==, 0);
	}
	g_assert_true(bsh_stream_records_decode("", records));
	bsh_rng_init(&rng, 1);
	for (int i = 0; i < 20000; i++) {
		char text[65] = "";
		size_t size = bsh_rng_below(&rng, sizeof(text));

		for (size_t at = 0; at < size; at++)
			text[at] = (char)(1 + bsh_rng_below(&rng, 255));
		bsh_stream_records_decode(text, records);
	}
	bsh_rng_finish(&rng);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stream-journal/end-of-all", test_end_of_all);
	g_test_add_func("/stream-journal/store-away", test_store_away);
	g_test_add_func("/stream-journal/backoff", test_backoff);
	g_test_add_func("/stream-journal/store-restored", test_store_restored);
	g_test_add_func("/stream-journal/malformed", test_malformed);
	return g_test_run();
}
