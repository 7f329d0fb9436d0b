#include "coordination/admission.h"

#include <math.h>
#include <string.h>

#define EWMA_WEIGHT 0.1
/*
 * Older samples are ignored in favour of the configured value.  Otherwise an
 * estimate above all deadlines would refuse every request, and without requests
 * there would be no sample to correct it.
 */
#define SAMPLE_MAX_AGE_US  INT64_C(5000000)
#define RETRY_MIN_MS	   100
#define CALLER_SHARE_MIN   4
#define DEFAULT_FIRST_US   INT64_C(200000)
#define DEFAULT_SERVICE_US INT64_C(1000000)
#define DEFAULT_SLOTS	   8
/* Longest time after a refused NEED in which no new NEED is sent and requests
 * for the cold model are refused. */
#define REFUSAL_HOLD_MAX_US INT64_C(1000000)

void bsh_admission_config_default(bsh_admission_config_t *config)
{
	config->max_waiting = 16384;
	config->max_waiting_model = 4096;
	config->max_models = 8192;
	config->seed = 1;
}

static void free_model(void *data)
{
	bsh_admission_model_t *m = data;

	if (m->queue != NULL)
		g_sequence_free(m->queue);
	if (m->callers != NULL)
		g_hash_table_destroy(m->callers);
	g_free(m);
}

void bsh_admission_init(bsh_admission_t *adm,
			const bsh_admission_config_t *config,
			const bsh_admission_ops_t *ops, void *ctx)
{
	memset(adm, 0, sizeof(*adm));
	adm->config = *config;
	adm->ops = *ops;
	adm->ctx = ctx;
	adm->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_model);
	adm->backlog = g_ptr_array_new();
	adm->by_latest_start = g_sequence_new(NULL);
	bsh_rng_init(&adm->rng, config->seed);
}

void bsh_admission_finish(bsh_admission_t *adm)
{
	g_sequence_free(adm->by_latest_start);
	g_ptr_array_free(adm->backlog, TRUE);
	g_hash_table_destroy(adm->models);
	bsh_rng_finish(&adm->rng);
}

static bsh_admission_model_t *find(const bsh_admission_t *adm, const char *key)
{
	return g_hash_table_lookup(adm->models, key);
}

static uint32_t queue_length(const bsh_admission_model_t *m)
{
	return m->queue == NULL ? 0 : (uint32_t)g_sequence_get_length(m->queue);
}

uint32_t bsh_admission_waiting(const bsh_admission_t *adm, const char *key)
{
	const bsh_admission_model_t *m = find(adm, key);

	return m == NULL ? 0 : queue_length(m);
}

bsh_error_t bsh_admission_declare(bsh_admission_t *adm, const char *key,
				  const bsh_admission_model_config_t *config)
{
	bsh_admission_model_t *m;

	if (key == NULL || *key == '\0' ||
	    strlen(key) >= BSH_ADMISSION_KEY_SIZE || config->priority > 9)
		return BSH_ERR_INVALID;
	m = find(adm, key);
	if (m == NULL) {
		if (g_hash_table_size(adm->models) >= adm->config.max_models)
			return BSH_ERR_CAPACITY;
		m = g_new0(bsh_admission_model_t, 1);
		g_strlcpy(m->key, key, sizeof(m->key));
		g_hash_table_insert(adm->models, m->key, m);
	}
	m->config = *config;
	if (m->config.first_us <= 0)
		m->config.first_us = DEFAULT_FIRST_US;
	if (m->config.service_us <= 0)
		m->config.service_us = DEFAULT_SERVICE_US;
	if (m->config.load_slots == 0)
		m->config.load_slots = DEFAULT_SLOTS;
	return BSH_OK;
}

/* Estimates. */

static int64_t expected_first_byte_us(const bsh_admission_model_t *m,
				      int64_t now_us)
{
	if (m->first_us <= 0.0 || now_us - m->sampled_us > SAMPLE_MAX_AGE_US)
		return m->config.first_us;
	return (int64_t)m->first_us;
}

static uint32_t slots_of(const bsh_admission_model_t *m)
{
	return m->slots > 0 ? m->slots : m->config.load_slots;
}

/* Expected time between two starts while requests wait: the larger of service
 * time per slot and observed interval. */
static double expected_interval_us(const bsh_admission_model_t *m,
				   int64_t now_us)
{
	double service = m->service_us;
	double interval;

	if (service <= 0.0 || now_us - m->sampled_us > SAMPLE_MAX_AGE_US)
		service = (double)m->config.service_us;
	interval = service / slots_of(m);
	if (m->interval_us > interval &&
	    now_us - m->last_start_us < SAMPLE_MAX_AGE_US)
		interval = m->interval_us;
	return interval;
}

static bool is_cold(const bsh_admission_model_t *m)
{
	return m->slots == 0;
}

/* Estimated start time of the request at a queue position (0: first). */
static int64_t start_estimate(const bsh_admission_model_t *m, uint32_t position,
			      int64_t now_us)
{
	uint32_t free = slots_of(m);
	int64_t base = now_us;

	if (is_cold(m)) {
		if (m->ready_us > 0)
			base = MAX(now_us, m->ready_us);
		else if (m->need_first_us > 0 &&
			 now_us - m->need_first_us >=
				 BSH_ADMISSION_NEED_TIMEOUT_US)
			base = now_us + m->config.load_us;
	} else {
		free -= MIN(free, m->running);
	}
	if (position < free)
		return base;
	return base + (int64_t)((position - free + 1) *
				expected_interval_us(m, now_us));
}

static bool misses_deadline(const bsh_admission_model_t *m,
			    const bsh_admission_request_t *request,
			    uint32_t position, int64_t now_us)
{
	int64_t start_us = start_estimate(m, position, now_us);

	start_us = MAX(start_us, request->not_before_us);
	return start_us + expected_first_byte_us(m, now_us) >
	       request->deadline_us;
}

/* Retry-After. */

static uint32_t reserve_retry_ms(bsh_admission_t *adm, bsh_admission_model_t *m,
				 int64_t base_us, int64_t now_us)
{
	const int64_t max_us = BSH_ADMISSION_MAX_RETRY_MS * INT64_C(1000);
	double interval = expected_interval_us(m, now_us);
	int64_t wait_us;

	base_us = CLAMP(base_us, RETRY_MIN_MS * 1000, max_us / 2);
	wait_us = MAX(m->next_retry_us - now_us, base_us);
	if (wait_us > max_us) {
		/* More callers than free retry times within the maximum: spread
		 * them uniformly at random. */
		wait_us = base_us + (int64_t)((double)(max_us - base_us) *
					      bsh_rng_unit(&adm->rng));
	} else {
		m->next_retry_us = now_us + wait_us + (int64_t)interval;
		wait_us +=
			(int64_t)((double)MIN(wait_us / 2, max_us - wait_us) *
				  bsh_rng_unit(&adm->rng));
	}
	return (uint32_t)(MIN(wait_us, max_us) / 1000);
}

uint32_t bsh_admission_retry_after(bsh_admission_t *adm, const char *key,
				   uint32_t base_ms, int64_t now_us)
{
	bsh_admission_model_t *m = key == NULL ? NULL : find(adm, key);

	if (m != NULL)
		return reserve_retry_ms(adm, m, base_ms * INT64_C(1000),
					now_us);
	base_ms = CLAMP(base_ms, RETRY_MIN_MS, BSH_ADMISSION_MAX_RETRY_MS / 2);
	return base_ms + bsh_rng_below(&adm->rng, base_ms);
}

/* Queue. */

static int compare_queue_order(const void *a, const void *b, void *data)
{
	const bsh_admission_request_t *x = a;
	const bsh_admission_request_t *y = b;

	(void)data;
	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->deadline_us != y->deadline_us)
		return x->deadline_us < y->deadline_us ? -1 : 1;
	return x->arrival < y->arrival ? -1 : x->arrival > y->arrival;
}

static int compare_latest_start(const void *a, const void *b, void *data)
{
	const bsh_admission_request_t *x = a;
	const bsh_admission_request_t *y = b;

	(void)data;
	if (x->latest_start_us != y->latest_start_us)
		return x->latest_start_us < y->latest_start_us ? -1 : 1;
	return x->arrival < y->arrival ? -1 : x->arrival > y->arrival;
}

static uint32_t waiting_of_caller(const bsh_admission_model_t *m,
				  uint64_t caller)
{
	if (m->callers == NULL)
		return 0;
	return GPOINTER_TO_UINT(g_hash_table_lookup(m->callers, &caller));
}

static void count_caller(bsh_admission_model_t *m, uint64_t caller, int change)
{
	uint32_t waiting = waiting_of_caller(m, caller) + (uint32_t)change;
	uint64_t *key;

	if (m->callers == NULL)
		m->callers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, NULL);
	if (waiting == 0) {
		g_hash_table_remove(m->callers, &caller);
		return;
	}
	key = g_new(uint64_t, 1);
	*key = caller;
	g_hash_table_replace(m->callers, key, GUINT_TO_POINTER(waiting));
}

static void enqueue(bsh_admission_t *adm, bsh_admission_model_t *m,
		    bsh_admission_request_t *request, int64_t now_us)
{
	request->model = m;
	request->latest_start_us =
		request->deadline_us - expected_first_byte_us(m, now_us);
	if (m->queue == NULL)
		m->queue = g_sequence_new(NULL);
	request->queue_iter = g_sequence_insert_sorted(
		m->queue, request, compare_queue_order, NULL);
	request->latest_start_iter = g_sequence_insert_sorted(
		adm->by_latest_start, request, compare_latest_start, NULL);
	count_caller(m, request->caller, 1);
	adm->waiting++;
	if (!m->in_backlog) {
		m->in_backlog = true;
		m->interval_us = 0.0;
		m->last_start_us = now_us;
		/* An idle model accumulates no credit. */
		m->finish_tag = MAX(m->finish_tag, adm->virtual_time);
		g_ptr_array_add(adm->backlog, m);
	}
}

static void dequeue(bsh_admission_t *adm, bsh_admission_request_t *request)
{
	bsh_admission_model_t *m = request->model;

	g_sequence_remove(request->queue_iter);
	g_sequence_remove(request->latest_start_iter);
	request->queue_iter = NULL;
	request->latest_start_iter = NULL;
	request->model = NULL;
	count_caller(m, request->caller, -1);
	adm->waiting--;
	if (queue_length(m) > 0)
		return;
	/* Most models are idle: free the queue to save memory. */
	g_sequence_free(m->queue);
	g_hash_table_destroy(m->callers);
	m->queue = NULL;
	m->callers = NULL;
	m->in_backlog = false;
	g_ptr_array_remove_fast(adm->backlog, m);
}

static bsh_admission_request_t *first_of(const bsh_admission_model_t *m)
{
	if (queue_length(m) == 0)
		return NULL;
	return g_sequence_get(g_sequence_get_begin_iter(m->queue));
}

static void refuse_waiting(bsh_admission_t *adm,
			   bsh_admission_request_t *request, bsh_error_t err,
			   int64_t base_us, int64_t now_us)
{
	bsh_admission_model_t *m = request->model;
	uint32_t retry_ms = reserve_retry_ms(adm, m, base_us, now_us);

	dequeue(adm, request);
	adm->ops.refuse(adm->ctx, request, err, retry_ms);
}

/* Time after which a new request would probably start. */
static int64_t expected_wait_us(const bsh_admission_model_t *m, int64_t now_us)
{
	return start_estimate(m, queue_length(m), now_us) - now_us;
}

/* Refuse every waiting request that is expected to miss its deadline. */
static void shed_late(bsh_admission_t *adm, bsh_admission_model_t *m,
		      int64_t now_us)
{
	GPtrArray *late = NULL;
	GSequenceIter *iter;
	uint32_t position = 0;

	if (queue_length(m) == 0)
		return;
	iter = g_sequence_get_begin_iter(m->queue);
	for (; !g_sequence_iter_is_end(iter);
	     iter = g_sequence_iter_next(iter)) {
		bsh_admission_request_t *request = g_sequence_get(iter);

		if (!misses_deadline(m, request, position, now_us)) {
			position++;
			continue;
		}
		if (late == NULL)
			late = g_ptr_array_new();
		g_ptr_array_add(late, request);
	}
	for (guint i = 0; late != NULL && i < late->len; i++) {
		bsh_admission_request_t *request = g_ptr_array_index(late, i);

		/* The refuse callback may have cancelled this request. */
		if (request->model == m)
			refuse_waiting(adm, request, BSH_ERR_DEADLINE,
				       expected_wait_us(m, now_us), now_us);
	}
	if (late != NULL)
		g_ptr_array_free(late, TRUE);
}

/* Starts. */

static void request_load(bsh_admission_t *adm, bsh_admission_model_t *m,
			 int64_t now_us)
{
	const bsh_admission_request_t *first = first_of(m);

	if (m->config.always_warm || first == NULL || m->ready_us > 0)
		return;
	if (m->need_us > 0 &&
	    now_us - m->need_us < BSH_ADMISSION_NEED_TIMEOUT_US)
		return;
	if (m->need_first_us == 0)
		m->need_first_us = MAX(now_us, 1);
	m->need_us = MAX(now_us, 1);
	adm->ops.need(adm->ctx, m->key,
		      MIN(first->priority, m->config.priority),
		      first->deadline_us);
}

static void record_start(bsh_admission_t *adm, bsh_admission_model_t *m,
			 bool was_waiting, int64_t now_us)
{
	double weight = 10.0 - m->config.priority;
	double interval;

	m->running++;
	m->finish_tag = MAX(m->finish_tag, adm->virtual_time) + 1.0 / weight;
	if (was_waiting) {
		interval = (double)(now_us - m->last_start_us);
		if (m->interval_us <= 0.0)
			m->interval_us = interval;
		else
			m->interval_us +=
				EWMA_WEIGHT * (interval - m->interval_us);
	}
	m->last_start_us = now_us;
}

static void mark_cold(bsh_admission_t *adm, bsh_admission_model_t *m,
		      int64_t now_us)
{
	m->slots = 0;
	request_load(adm, m, now_us);
}

static bool start_first(bsh_admission_t *adm, bsh_admission_model_t *m,
			int64_t now_us)
{
	bsh_admission_request_t *request = first_of(m);
	bsh_start_t result;

	request->not_before_us = 0;
	result = adm->ops.start(adm->ctx, request);
	if (result == BSH_START_OK) {
		dequeue(adm, request);
		record_start(adm, m, m->in_backlog, now_us);
		return true;
	}
	if (result == BSH_START_NONE) {
		dequeue(adm, request);
		adm->ops.refuse(adm->ctx, request, BSH_ERR_CAPACITY, 0);
		return true;
	}
	if (result == BSH_START_COLD)
		mark_cold(adm, m, now_us);
	return false;
}

/* The model with the smallest finish tag that may start a request, or NULL. */
static bsh_admission_model_t *next_model(const bsh_admission_t *adm)
{
	bsh_admission_model_t *next = NULL;

	for (guint i = 0; i < adm->backlog->len; i++) {
		bsh_admission_model_t *m = g_ptr_array_index(adm->backlog, i);

		if (m->blocked || is_cold(m))
			continue;
		if (next == NULL || m->finish_tag < next->finish_tag)
			next = m;
	}
	return next;
}

/* Start waiting requests until no model can start one. */
static void dispatch(bsh_admission_t *adm, int64_t now_us)
{
	bsh_admission_model_t *m;

	if (adm->dispatching || adm->backlog->len == 0)
		return;
	adm->dispatching = true;
	for (guint i = 0; i < adm->backlog->len; i++) {
		m = g_ptr_array_index(adm->backlog, i);
		m->blocked = false;
	}
	while ((m = next_model(adm)) != NULL) {
		adm->virtual_time = MAX(adm->virtual_time, m->finish_tag);
		if (!start_first(adm, m, now_us))
			m->blocked = true;
	}
	adm->dispatching = false;
}

/* Admission of one request. */

static bsh_error_t refuse_new(bsh_admission_t *adm, bsh_admission_model_t *m,
			      bsh_admission_request_t *request, bsh_error_t err,
			      int64_t base_us, int64_t now_us)
{
	uint32_t retry_ms = 0;

	if (m != NULL)
		retry_ms = reserve_retry_ms(adm, m, base_us, now_us);
	adm->ops.refuse(adm->ctx, request, err, retry_ms);
	return err;
}

/* Refuse the last request of a full queue if it has a lower priority. */
static bool displace(bsh_admission_t *adm, bsh_admission_model_t *m,
		     const bsh_admission_request_t *request, int64_t now_us)
{
	bsh_admission_request_t *last;

	if (queue_length(m) == 0)
		return false;
	last = g_sequence_get(
		g_sequence_iter_prev(g_sequence_get_end_iter(m->queue)));
	if (last->priority <= request->priority)
		return false;
	refuse_waiting(adm, last, BSH_ERR_CAPACITY, expected_wait_us(m, now_us),
		       now_us);
	return true;
}

static bool is_over_share(const bsh_admission_t *adm,
			  const bsh_admission_model_t *m,
			  const bsh_admission_request_t *request)
{
	uint32_t limit = adm->config.max_waiting_model;
	uint32_t waiting;
	uint32_t callers;

	if (request->caller == 0 || queue_length(m) * 2 <= limit)
		return false;
	waiting = waiting_of_caller(m, request->caller);
	callers = g_hash_table_size(m->callers) + (waiting == 0 ? 1 : 0);
	return waiting >= MAX(limit / callers, CALLER_SHARE_MIN);
}

/* Number of waiting requests ahead of a new one. */
static uint32_t queue_position(const bsh_admission_model_t *m,
			       bsh_admission_request_t *request)
{
	if (queue_length(m) == 0)
		return 0;
	return (uint32_t)g_sequence_iter_get_position(g_sequence_search(
		m->queue, request, compare_queue_order, NULL));
}

static bsh_error_t queue_or_refuse(bsh_admission_t *adm,
				   bsh_admission_model_t *m,
				   bsh_admission_request_t *request,
				   int64_t now_us)
{
	uint32_t position = queue_position(m, request);

	if (is_cold(m) && now_us < m->refused_until_us)
		return refuse_new(adm, m, request, BSH_ERR_CAPACITY,
				  m->refused_until_us - now_us, now_us);
	if (misses_deadline(m, request, position, now_us))
		return refuse_new(adm, m, request, BSH_ERR_DEADLINE,
				  expected_wait_us(m, now_us), now_us);
	if (is_over_share(adm, m, request))
		return refuse_new(adm, m, request, BSH_ERR_RATE_LIMITED,
				  expected_wait_us(m, now_us), now_us);
	if ((queue_length(m) >= adm->config.max_waiting_model ||
	     adm->waiting >= adm->config.max_waiting) &&
	    !displace(adm, m, request, now_us))
		return refuse_new(adm, m, request, BSH_ERR_CAPACITY,
				  expected_wait_us(m, now_us), now_us);
	enqueue(adm, m, request, now_us);
	if (is_cold(m))
		request_load(adm, m, now_us);
	/*
	 * The new first request may start although the previous one could
	 * not.  The requests behind it are delayed; they are re-evaluated on
	 * the next tick, since doing so on each insertion would be quadratic.
	 */
	if (position == 0)
		dispatch(adm, now_us);
	return BSH_OK;
}

static bsh_error_t admit(bsh_admission_t *adm, const char *key,
			 bsh_admission_request_t *request, int64_t now_us)
{
	bsh_admission_model_t *m = find(adm, key);
	bsh_start_t result;

	if (m == NULL)
		return refuse_new(adm, NULL, request, BSH_ERR_NOT_FOUND, 0,
				  now_us);
	if (request->deadline_us <= now_us)
		return refuse_new(adm, m, request, BSH_ERR_DEADLINE,
				  expected_wait_us(m, now_us), now_us);
	if (queue_length(m) > 0)
		return queue_or_refuse(adm, m, request, now_us);
	if (now_us + expected_first_byte_us(m, now_us) > request->deadline_us)
		return refuse_new(adm, m, request, BSH_ERR_DEADLINE,
				  expected_wait_us(m, now_us), now_us);
	result = adm->ops.start(adm->ctx, request);
	if (result == BSH_START_OK) {
		record_start(adm, m, false, now_us);
		return BSH_OK;
	}
	if (result == BSH_START_NONE) {
		adm->ops.refuse(adm->ctx, request, BSH_ERR_CAPACITY, 0);
		return BSH_ERR_CAPACITY;
	}
	if (result == BSH_START_COLD)
		m->slots = 0;
	else if (m->slots == 0)
		m->slots = m->config.load_slots;
	return queue_or_refuse(adm, m, request, now_us);
}

bsh_error_t bsh_admission_submit(bsh_admission_t *adm, const char *key,
				 bsh_admission_request_t *request,
				 int64_t now_us)
{
	request->model = NULL;
	request->not_before_us = 0;
	request->arrival = adm->next_arrival++;
	return admit(adm, key, request, now_us);
}

bsh_error_t bsh_admission_requeue(bsh_admission_t *adm, const char *key,
				  bsh_admission_request_t *request,
				  int64_t now_us)
{
	request->model = NULL;
	request->not_before_us = 0;
	return admit(adm, key, request, now_us);
}

void bsh_admission_cancel(bsh_admission_t *adm,
			  bsh_admission_request_t *request)
{
	if (request->model != NULL)
		dequeue(adm, request);
}

static void refuse_queue(bsh_admission_t *adm, bsh_admission_model_t *m,
			 bsh_error_t err, int64_t base_us, int64_t now_us)
{
	bsh_admission_request_t *request;

	while ((request = first_of(m)) != NULL)
		refuse_waiting(adm, request, err, base_us, now_us);
}

void bsh_admission_remove(bsh_admission_t *adm, const char *key, int64_t now_us)
{
	bsh_admission_model_t *m = find(adm, key);

	if (m == NULL)
		return;
	refuse_queue(adm, m, BSH_ERR_NOT_FOUND, 0, now_us);
	g_hash_table_remove(adm->models, key);
}

void bsh_admission_refuse_all(bsh_admission_t *adm, bsh_error_t err,
			      int64_t now_us)
{
	while (adm->backlog->len > 0)
		refuse_queue(adm, g_ptr_array_index(adm->backlog, 0), err,
			     1000000, now_us);
}

void bsh_admission_load_accepted(bsh_admission_t *adm, const char *key,
				 int64_t ready_us, int64_t now_us)
{
	bsh_admission_model_t *m = find(adm, key);

	if (m == NULL)
		return;
	m->need_us = 0;
	m->need_first_us = 0;
	m->refused_until_us = 0;
	m->ready_us = MAX(ready_us, 1);
	if (is_cold(m))
		shed_late(adm, m, now_us);
}

void bsh_admission_load_refused(bsh_admission_t *adm, const char *key,
				uint32_t retry_after_ms, int64_t now_us)
{
	bsh_admission_model_t *m = find(adm, key);
	int64_t base_us = retry_after_ms * INT64_C(1000);

	if (m == NULL || !is_cold(m))
		return;
	m->need_us = 0;
	m->need_first_us = 0;
	m->ready_us = 0;
	m->refused_until_us = now_us + MIN(base_us, REFUSAL_HOLD_MAX_US);
	refuse_queue(adm, m, BSH_ERR_CAPACITY, base_us, now_us);
}

void bsh_admission_set_slots(bsh_admission_t *adm, const char *key,
			     uint32_t slots, int64_t now_us)
{
	bsh_admission_model_t *m = find(adm, key);
	uint32_t before;

	if (m == NULL)
		return;
	before = m->slots;
	m->slots = slots;
	m->ready_us = 0;
	if (slots > 0) {
		m->need_us = 0;
		m->need_first_us = 0;
		m->refused_until_us = 0;
		dispatch(adm, now_us);
	} else {
		request_load(adm, m, now_us);
	}
	if (slots < before)
		shed_late(adm, m, now_us);
}

static void update_average(double *value, int64_t sample)
{
	if (*value <= 0.0)
		*value = (double)sample;
	else
		*value += EWMA_WEIGHT * ((double)sample - *value);
}

void bsh_admission_first_byte(bsh_admission_t *adm, const char *key,
			      int64_t elapsed_us, int64_t now_us)
{
	bsh_admission_model_t *m = find(adm, key);

	if (m == NULL || elapsed_us < 0)
		return;
	if (now_us - m->sampled_us > SAMPLE_MAX_AGE_US)
		m->first_us = 0.0;
	update_average(&m->first_us, elapsed_us);
	m->sampled_us = now_us;
}

void bsh_admission_ended(bsh_admission_t *adm, const char *key,
			 int64_t elapsed_us, int64_t now_us)
{
	bsh_admission_model_t *m = find(adm, key);

	if (m != NULL) {
		if (m->running > 0)
			m->running--;
		if (elapsed_us >= 0)
			update_average(&m->service_us, elapsed_us);
	}
	dispatch(adm, now_us);
}

/*
 * Repeat unanswered NEEDs and refuse late requests.  Works on a copy, since a
 * refusal may remove a model from the backlog.
 */
static void check_backlog(bsh_admission_t *adm, int64_t now_us)
{
	GPtrArray *models = g_ptr_array_copy(adm->backlog, NULL, NULL);

	for (guint i = 0; i < models->len; i++) {
		bsh_admission_model_t *m = g_ptr_array_index(models, i);

		/* The load is late: drop its estimate, so that NEED is sent. */
		if (is_cold(m) && m->ready_us > 0 && now_us > m->ready_us)
			m->ready_us = 0;
		if (is_cold(m))
			request_load(adm, m, now_us);
		shed_late(adm, m, now_us);
	}
	g_ptr_array_free(models, TRUE);
}

void bsh_admission_tick(bsh_admission_t *adm, int64_t now_us)
{
	if (adm->waiting == 0)
		return;
	while (adm->waiting > 0) {
		bsh_admission_request_t *request = g_sequence_get(
			g_sequence_get_begin_iter(adm->by_latest_start));

		if (request->latest_start_us >= now_us)
			break;
		refuse_waiting(adm, request, BSH_ERR_DEADLINE,
			       expected_wait_us(request->model, now_us),
			       now_us);
	}
	if (now_us - adm->ticked_us < BSH_ADMISSION_TICK_US)
		return;
	adm->ticked_us = now_us;
	check_backlog(adm, now_us);
	dispatch(adm, now_us);
}

int64_t bsh_admission_next_us(const bsh_admission_t *adm)
{
	const bsh_admission_request_t *request;

	if (adm->waiting == 0)
		return INT64_MAX;
	request =
		g_sequence_get(g_sequence_get_begin_iter(adm->by_latest_start));
	return MIN(request->latest_start_us + 1,
		   adm->ticked_us + BSH_ADMISSION_TICK_US);
}
