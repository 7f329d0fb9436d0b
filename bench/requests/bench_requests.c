#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "coordination/admission.h"
#include "coordination/attempt.h"
#include "coordination/journal.h"

/*
 * bench-requests: measures memory and wall time per declared model, queued
 * request, open attempt and journal key, for the capacity page.
 */

#define S      INT64_C(1000000)
#define ROUNDS 5

typedef struct {
	double bytes;
	double ns;
} cost_t;

static int64_t clock_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * INT64_C(1000000000) + t.tv_nsec;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void print_cost(const char *name, cost_t cost)
{
	if (cost.ns > 0.0)
		printf("%s\t%.0f\t%.0f\n", name, cost.bytes, cost.ns);
	else
		printf("%s\t%.0f\t-\n", name, cost.bytes);
}

/* ---- admission queue ---- */

static bool is_start_allowed; /* result of on_start() */

static bsh_start_t on_start(void *ctx, bsh_admission_request_t *request)
{
	(void)ctx;
	(void)request;
	return is_start_allowed ? BSH_START_OK : BSH_START_FULL;
}

static void on_refuse(void *ctx, bsh_admission_request_t *request,
		      bsh_error_t err, uint32_t retry_ms)
{
	(void)ctx;
	(void)request;
	(void)err;
	(void)retry_ms;
}

static void on_need(void *ctx, const char *key, uint8_t priority,
		    int64_t deadline_us)
{
	(void)ctx;
	(void)key;
	(void)priority;
	(void)deadline_us;
}

enum {
	MODELS = 5270,
	QUEUED_REQUESTS = 10000
};

static void declare_models(bsh_admission_t *adm)
{
	bsh_admission_model_config_t config = { .load_us = 5 * S,
						.load_slots = 32 };

	for (int i = 0; i < MODELS; i++) {
		g_autofree char *key = g_strdup_printf("model-%d@1", i);

		bsh_admission_declare(adm, key, &config);
	}
}

/*
 * Queues QUEUED_REQUESTS requests, spread over some models, then starts them.
 * Returns the cost of a request and updates that of a declared model.
 */
static cost_t measure_queue(int models, cost_t *model)
{
	static const bsh_admission_ops_t ops = { on_start, on_refuse, on_need };
	cost_t cost = { .ns = 1e18 };
	bsh_admission_request_t *waiting =
		g_new0(bsh_admission_request_t, QUEUED_REQUESTS);

	for (int round = 0; round < ROUNDS; round++) {
		bsh_admission_config_t config;
		bsh_admission_t adm;
		size_t before = heap_bytes();
		size_t declared;
		int64_t begin_ns;

		bsh_admission_config_default(&config);
		config.max_waiting_model = QUEUED_REQUESTS;
		bsh_admission_init(&adm, &config, &ops, NULL);
		declare_models(&adm);
		declared = heap_bytes();
		model->bytes =
			MAX(model->bytes, (double)(declared - before) / MODELS);
		for (int m = 0; m < models; m++) {
			g_autofree char *key = g_strdup_printf("model-%d@1", m);

			bsh_admission_set_slots(&adm, key, 100000, 0);
		}
		is_start_allowed = false;
		begin_ns = clock_ns();
		for (int i = 0; i < QUEUED_REQUESTS; i++) {
			char key[32];

			g_snprintf(key, sizeof(key), "model-%d@1", i % models);
			waiting[i] = (bsh_admission_request_t){
				.deadline_us = 60 * S + i * 7919 % 1000,
				.priority = (uint8_t)(i % 3),
				.caller = (uint64_t)(i % 100)
			};
			bsh_admission_submit(&adm, key, &waiting[i], 0);
		}
		/* GLib reuses nodes of earlier rounds, so the maximum counts. */
		cost.bytes = MAX(cost.bytes,
				 (double)(heap_bytes() - declared) /
						 QUEUED_REQUESTS +
					 sizeof(bsh_admission_request_t));
		is_start_allowed = true;
		bsh_admission_ended(&adm, "model-0@1", -1, 1000);
		cost.ns = MIN(cost.ns, (double)(clock_ns() - begin_ns) /
					       QUEUED_REQUESTS);
		if (adm.waiting != 0)
			fprintf(stderr, "%u requests are still queued\n",
				adm.waiting);
		bsh_admission_finish(&adm);
	}
	g_free(waiting);
	return cost;
}

/* ---- attempts ---- */

static void on_attempt(void *ctx, bsh_attempt_t *a)
{
	(void)ctx;
	(void)a;
}

static void on_enqueue(void *ctx, bsh_attempt_t *a, bool retry)
{
	(void)ctx;
	(void)a;
	(void)retry;
}

static void on_result(void *ctx, bsh_attempt_t *a, bsh_route_result_t result)
{
	(void)ctx;
	(void)a;
	(void)result;
}

static void on_detach(void *ctx, bsh_attempt_t *a, bsh_error_t err,
		      bsh_outcome_t outcome)
{
	(void)ctx;
	(void)a;
	(void)err;
	(void)outcome;
}

static void on_record(void *ctx, bsh_attempt_t *a, bsh_outcome_t outcome)
{
	(void)ctx;
	(void)a;
	(void)outcome;
}

static void on_finish(void *ctx, bsh_attempt_t *a, bsh_error_t err,
		      bsh_outcome_t outcome, uint32_t retry_ms)
{
	(void)ctx;
	(void)a;
	(void)err;
	(void)outcome;
	(void)retry_ms;
}

enum {
	OPEN_ATTEMPTS = 10000,
	CHUNKS = 100
};

static void complete_attempt(bsh_attempts_t *set, const bsh_attempt_t *a,
			     int chunks, int64_t now_us)
{
	char text[BSH_ATTEMPT_ID_SIZE];
	bsh_request_id_t id = a->id;
	bsh_answer_head_t head = { .status = 200,
				   .request_id = text,
				   .length = -1,
				   .chunked = true,
				   .event_stream = true };

	bsh_request_id_print(&id, text);
	bsh_attempt_head(set, &id, &head, now_us);
	for (int c = 0; c < chunks; c++)
		bsh_attempt_body(set, &id, 50, c == chunks - 1, now_us);
	bsh_attempt_end(set, &id, now_us);
}

/* Begins OPEN_ATTEMPTS streams, all open at once, then completes them. */
static cost_t measure_attempts(int chunks)
{
	static const bsh_attempt_ops_t ops = { .intent = on_attempt,
					       .enqueue = on_enqueue,
					       .dequeue = on_attempt,
					       .cancel = on_attempt,
					       .release = on_attempt,
					       .target_result = on_result,
					       .detach = on_detach,
					       .record = on_record,
					       .finish = on_finish };
	bsh_attempt_spec_t spec = { .deadline_us = 30 * S,
				    .first_us = 200000,
				    .repeatable = true,
				    .stream = true,
				    .engine = true };
	bsh_route_choice_t target = { .target = 1, .incarnation = 1 };
	bsh_attempt_t *open = g_new0(bsh_attempt_t, OPEN_ATTEMPTS);
	cost_t cost = { .ns = 1e18 };

	for (int round = 0; round < ROUNDS; round++) {
		bsh_attempts_config_t config;
		bsh_attempts_t set;
		size_t before = heap_bytes();
		int64_t begin_ns = clock_ns();

		bsh_attempts_config_default(&config);
		bsh_attempts_init(&set, &config, 1, &ops, NULL);
		for (int i = 0; i < OPEN_ATTEMPTS; i++) {
			bsh_attempt_begin(&set, &open[i], &spec, i);
			bsh_attempt_start(&set, &open[i], &target, i);
			bsh_attempt_sent(&set, &open[i].id, i);
		}
		cost.bytes = MAX(cost.bytes, (double)(heap_bytes() - before) /
							     OPEN_ATTEMPTS +
						     sizeof(bsh_attempt_t));
		for (int i = 0; i < OPEN_ATTEMPTS; i++)
			complete_attempt(&set, &open[i], chunks, S + i);
		cost.ns = MIN(cost.ns,
			      (double)(clock_ns() - begin_ns) / OPEN_ATTEMPTS);
		bsh_attempts_finish(&set);
	}
	g_free(open);
	return cost;
}

/* ---- journal, on a store that completes each call at once ---- */

enum {
	STORE_CALLS = 1024
};

static struct {
	uint64_t version[BSH_JOURNAL_BUCKETS];
	char *value[BSH_JOURNAL_BUCKETS];
	struct {
		uint64_t call;
		int bucket;
		bool writing;
	} calls[STORE_CALLS];
	int count;
	int answered;
	int recorded;
	uint64_t bytes_written;
} store;

static void on_read(void *ctx, uint64_t call, const char *name)
{
	(void)ctx;
	store.calls[store.count].call = call;
	store.calls[store.count].bucket = (int)g_ascii_strtoll(name, NULL, 10);
	store.calls[store.count++].writing = false;
}

static void on_write(void *ctx, uint64_t call, const char *name,
		     uint64_t version, const char *value, size_t size)
{
	int bucket = (int)g_ascii_strtoll(name, NULL, 10);

	(void)ctx;
	(void)version;
	g_free(store.value[bucket]);
	store.value[bucket] = g_strndup(value, size);
	store.version[bucket]++;
	store.bytes_written += size;
	store.calls[store.count].call = call;
	store.calls[store.count].bucket = bucket;
	store.calls[store.count++].writing = true;
}

static void on_intent_answer(void *ctx, uint64_t token,
			     bsh_intent_verdict_t verdict,
			     const bsh_journal_result_t *result,
			     uint32_t retry_ms)
{
	(void)ctx;
	(void)token;
	(void)result;
	(void)retry_ms;
	store.answered += verdict == BSH_INTENT_RUN;
}

static void on_recorded(void *ctx, uint64_t token, bool ok)
{
	(void)ctx;
	(void)token;
	store.recorded += ok;
}

static bool on_is_gone(void *ctx, const char *instance, uint64_t incarnation)
{
	(void)ctx;
	(void)instance;
	(void)incarnation;
	return false;
}

static void complete_store_calls(bsh_journal_t *j, int64_t *now_us)
{
	while (bsh_journal_pending(j) > 0) {
		int count = store.count;

		*now_us = MAX(*now_us, bsh_journal_next_us(j));
		store.count = 0;
		for (int i = 0; i < count; i++) {
			uint64_t call = store.calls[i].call;
			int b = store.calls[i].bucket;

			*now_us += 20;
			if (store.calls[i].writing)
				bsh_journal_write_done(j, call, BSH_STORE_OK,
						       store.version[b], 0,
						       *now_us);
			else
				bsh_journal_read_done(
					j, call,
					store.value[b] ? BSH_STORE_OK
						       : BSH_STORE_MISSING,
					store.version[b], store.value[b],
					store.value[b] ? strlen(store.value[b])
						       : 0,
					0, *now_us);
		}
		bsh_journal_tick(j, *now_us);
	}
}

static void add_keys(bsh_journal_t *j, int from, int count, bool done,
		     int64_t *now_us)
{
	static const uint8_t body[200];
	bsh_journal_result_t result = { BSH_OUTCOME_ANSWERED, 200,
					"application/json", body,
					sizeof(body) };

	for (int i = from; i < from + count; i++) {
		char key[32];
		bsh_intent_t intent = { .service = "deposits",
					.key = key,
					.instance = "entry-1",
					.incarnation = 1,
					.deadline_us = *now_us + 30 * S };

		g_snprintf(key, sizeof(key), "key-%d", i);
		memcpy(intent.attempt, &i, sizeof(i));
		if (done)
			bsh_journal_record_result(j, &intent, &result, *now_us);
		else
			bsh_journal_intent(j, &intent, *now_us);
	}
	complete_store_calls(j, now_us);
}

/* Commits and records keys in groups; each result has 200 bytes. */
static void measure_journal(int keys, int group)
{
	static const bsh_journal_ops_t ops = { on_read, on_write,
					       on_intent_answer, on_recorded,
					       on_is_gone };
	bsh_journal_config_t config;
	bsh_journal_t j;
	size_t before = heap_bytes();
	size_t in_store = 0;
	int64_t now_us = S;
	int64_t begin_ns;

	memset(&store, 0, sizeof(store));
	bsh_journal_config_default(&config);
	config.writes_per_s = 100000;
	config.reads_per_s = 100000;
	config.cache_bytes = 256 * 1024 * 1024;
	bsh_journal_init(&j, &config, &ops, NULL);
	begin_ns = clock_ns();
	for (int from = 0; from < keys; from += group) {
		add_keys(&j, from, group, false, &now_us);
		add_keys(&j, from, group, true, &now_us);
	}
	for (int i = 0; i < BSH_JOURNAL_BUCKETS; i++) {
		if (store.value[i] != NULL)
			in_store += strlen(store.value[i]);
	}
	printf("%d\t%d\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t%d\t%d\n", keys, group,
	       (double)(heap_bytes() - before - in_store) / keys,
	       (double)in_store / keys,
	       (double)(clock_ns() - begin_ns) / 1e3 / keys,
	       (double)j.writes / keys, (double)store.bytes_written / keys,
	       store.answered, store.recorded);
	bsh_journal_finish(&j);
	for (int i = 0; i < BSH_JOURNAL_BUCKETS; i++)
		g_free(store.value[i]);
}

int main(void)
{
	cost_t model = { 0 };
	cost_t one = measure_queue(1, &model);
	cost_t many = measure_queue(100, &model);

	printf("object\tbytes\tns\n");
	print_cost("declared model, idle", model);
	print_cost("queued request, 10000 in 1 model", one);
	print_cost("queued request, 10000 in 100 models", many);
	print_cost("open attempt, 1 part", measure_attempts(1));
	print_cost("open attempt, 100 parts", measure_attempts(CHUNKS));
	printf("\nkeys\tgroup\tmemory_bytes_per_key\tstore_bytes_per_key\t"
	       "us_per_key\twrites_per_key\twritten_bytes_per_key\t"
	       "committed\trecorded\n");
	measure_journal(1000, 1);
	measure_journal(10000, 1);
	measure_journal(10000, 100);
	measure_journal(10000, 1000);
	return 0;
}
