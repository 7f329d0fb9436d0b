/* Random days of a fleet that shares the reading of the platform's store, on a
 * virtual clock, beside one in which each instance reads for itself.  The load
 * pattern is a store that some instances cannot reach, or nobody. */
#include <glib.h>
#include <string.h>

#include "coordination/confirmation.h"
#include "coordination/document_fetch.h"
#include "coordination/store_reader.h"

#define MS	  INT64_C(1000)
#define SECOND	  (1000 * MS)
#define TICK_US	  (10 * MS)
#define DECIDE_US (50 * MS)
#define PACE_US	  (200 * MS)
/* A watch of the configuration without a change is answered after this time. */
#define CONFIG_WAIT_US (500 * MS)
/* Smallest bound of a deployment on the spread of a configuration. */
#define CONFIG_BOUND_US (2 * SECOND)
#define DAY_US		(40 * SECOND)
#define WARM_UP_US	(4 * SECOND)
#define CONTACT_US	(3 * SECOND)
#define NODES_MAX	60 /* bits of fault_t.struck */
#define FAULTS_MAX	6
#define CHANGES_MAX	24
#define MESSAGES_MAX	60000

typedef enum {
	FAULT_HOLDER_CUT,   /* the holder does not reach the store */
	FAULT_SOME_REFUSED, /* a share of the instances is refused */
	FAULT_STORE_DOWN,
	FAULT_FROZEN,  /* the holder stands still */
	FAULT_KILLED,  /* the holder ends and starts again */
	FAULT_APART,   /* two groups do not hear each other */
	FAULT_ONE_WAY, /* some hear nobody, but are heard */
	/* Calls of some about one kind get no answer. */
	FAULT_TARGETS_SILENT,
	FAULT_CONFIG_SILENT,
	FAULT_KINDS
} fault_kind_t;

typedef struct {
	fault_kind_t kind;
	int64_t from_us;
	int64_t to_us;
	uint64_t struck; /* bit N: instance N */
} fault_t;

/* Reading of one kind. */
typedef struct {
	bsh_store_reader_t reader;
	int64_t own_us;	 /* moment of the own reading; 0: none */
	int64_t call_us; /* of the next call */
	int64_t backoff_us;
} reading_t;

typedef struct {
	reading_t targets;
	reading_t configs;
	bsh_document_fetch_t fetch;
	bsh_confirmation_t confirmation;
	int64_t began_us;
	int64_t told_us;
	uint32_t left; /* targets known to have left */
	uint64_t config;
	uint32_t teller;      /* told of the wanted version */
	int64_t disturbed_us; /* last moment not in touch */
} node_t;

typedef enum {
	MESSAGE_READER,
	MESSAGE_READER_CONFIG,
	MESSAGE_QUERY,
	MESSAGE_PART
} message_kind_t;

typedef struct {
	message_kind_t kind;
	int64_t at_us;
	uint32_t from;
	uint32_t to;
	int64_t list_us;
	uint32_t left;
	uint64_t config;
	uint64_t known;
} message_t;

/* How the instances read the store. */
typedef enum {
	FORM_SHARED, /* few for all */
	FORM_ALONE,  /* each for itself */
	FORM_ONE_AGE /* few for all, with one age for both kinds */
} form_t;

typedef struct {
	GRand *rand;
	int64_t now_us;
	int64_t drain_us;
	uint32_t n;
	uint32_t holder;
	int64_t holder_until_us; /* a new one is found then; 0: not sought */
	node_t nodes[NODES_MAX];
	fault_t faults[FAULTS_MAX];
	uint32_t n_faults;
	int64_t leaving_us[CHANGES_MAX]; /* targets leave, in order */
	int64_t config_us[CHANGES_MAX];	 /* versions 1.. are accepted */
	uint32_t n_changes;
	bool naive; /* each instance reads for itself */
	/* An instance vouches for both kinds by the answers about targets. */
	bool one_age;
	GArray *messages;
	uint64_t calls;
	uint32_t late_targets;
	uint32_t late_configs;
	uint32_t went_back;
	uint32_t wrong_ages; /* confirmed while the store had a newer version */
} day_t;

static bool is_struck(const day_t *d, fault_kind_t kind, uint32_t node)
{
	for (uint32_t i = 0; i < d->n_faults; i++)
		if (d->faults[i].kind == kind &&
		    d->now_us >= d->faults[i].from_us &&
		    d->now_us < d->faults[i].to_us &&
		    (d->faults[i].struck >> node & 1) != 0)
			return true;
	return false;
}

static bool stands_still(const day_t *d, uint32_t node)
{
	return is_struck(d, FAULT_FROZEN, node) ||
	       is_struck(d, FAULT_KILLED, node);
}

static bool reaches_store(const day_t *d, uint32_t node)
{
	return !is_struck(d, FAULT_HOLDER_CUT, node) &&
	       !is_struck(d, FAULT_SOME_REFUSED, node) &&
	       !is_struck(d, FAULT_STORE_DOWN, node);
}

static bool hears(const day_t *d, uint32_t from, uint32_t to)
{
	return is_struck(d, FAULT_APART, from) ==
		       is_struck(d, FAULT_APART, to) &&
	       !is_struck(d, FAULT_ONE_WAY, to);
}

static void send(day_t *d, message_t message)
{
	if (!hears(d, message.from, message.to) ||
	    g_rand_int_range(d->rand, 0, 100) < 2)
		return;
	message.at_us = d->now_us + g_rand_int_range(d->rand, 1000, 12000);
	g_array_append_val(d->messages, message);
}

static uint32_t count_until(const int64_t *times, uint32_t n, int64_t now_us)
{
	uint32_t i = 0;

	while (i < n && times[i] <= now_us)
		i++;
	return i;
}

static void adopt(day_t *d, node_t *node, uint64_t config)
{
	d->went_back += config < node->config;
	node->config = MAX(node->config, config);
	bsh_confirmation_adopted(&node->confirmation, node->config);
	bsh_document_fetch_set_known(&node->fetch, node->config);
}

static void tell(day_t *d, uint32_t from)
{
	node_t *node = &d->nodes[from];

	node->told_us = d->now_us;
	for (uint32_t to = 0; to < d->n; to++)
		if (to != from)
			send(d, (message_t){ .kind = MESSAGE_READER,
					     .from = from,
					     .to = to,
					     .list_us = node->targets.own_us,
					     .left = node->left,
					     .config = node->config });
}

static void tell_config(day_t *d, uint32_t from)
{
	const node_t *node = &d->nodes[from];

	for (uint32_t to = 0; to < d->n; to++)
		if (to != from)
			send(d, (message_t){ .kind = MESSAGE_READER_CONFIG,
					     .from = from,
					     .to = to,
					     .list_us = node->configs.own_us,
					     .config = node->config });
}

/* True if the call is answered; a failed one is made again later. */
static bool call_store(day_t *d, uint32_t i, reading_t *reading,
		       fault_kind_t silent, int64_t pace_us)
{
	d->calls++;
	if (!reaches_store(d, i) || is_struck(d, silent, i)) {
		reading->backoff_us = CLAMP(reading->backoff_us * 2, 100 * MS,
					    bsh_store_reader_backoff_max_us(
						    d->naive ? 0 : i, d->n));
		reading->call_us = d->now_us + reading->backoff_us;
		return false;
	}
	reading->backoff_us = 50 * MS;
	reading->call_us = d->now_us + pace_us;
	reading->own_us = d->now_us;
	return true;
}

static void read_targets(day_t *d, uint32_t i)
{
	node_t *node = &d->nodes[i];
	uint32_t left = node->left;

	if (!call_store(d, i, &node->targets, FAULT_TARGETS_SILENT, PACE_US))
		return;
	node->left =
		MAX(left, count_until(d->leaving_us, d->n_changes, d->now_us));
	if (!d->naive && node->targets.reader.started && node->left > left)
		tell(d, i);
}

/* An instance that reads the configuration for others tells of each answer. */
static void read_config(day_t *d, uint32_t i)
{
	node_t *node = &d->nodes[i];

	if (!call_store(d, i, &node->configs, FAULT_CONFIG_SILENT,
			CONFIG_WAIT_US))
		return;
	adopt(d, node, count_until(d->config_us, d->n_changes, d->now_us));
	if (!d->naive && node->configs.reader.reading &&
	    node->configs.reader.started)
		tell_config(d, i);
}

/* The watch of the configuration is answered at once by a new version. */
static bool is_watch_due(const day_t *d, uint32_t i)
{
	const node_t *node = &d->nodes[i];

	return d->now_us >= node->configs.call_us ||
	       (node->configs.own_us > 0 &&
		node->configs.backoff_us == 50 * MS && reaches_store(d, i) &&
		!is_struck(d, FAULT_CONFIG_SILENT, i) &&
		count_until(d->config_us, d->n_changes, d->now_us) >
			node->config);
}

/* Rank is the number: the fleet is numbered in its order. */
static void run_fetch(day_t *d, uint32_t i)
{
	node_t *node = &d->nodes[i];
	uint32_t parent = bsh_document_parent(i);
	uint32_t from;
	uint32_t to = node->teller;

	switch (bsh_document_fetch_next(&node->fetch, d->now_us, &from)) {
	case BSH_DOCUMENT_NOTHING:
		return;
	case BSH_DOCUMENT_STORE:
		read_config(d, i);
		return;
	case BSH_DOCUMENT_PARENT:
		if (parent != UINT32_MAX)
			to = parent;
		break;
	case BSH_DOCUMENT_ANY:
		to = (uint32_t)g_rand_int_range(d->rand, 0, (gint32)d->n);
		break;
	case BSH_DOCUMENT_TELLER:
		break;
	}
	send(d, (message_t){ .kind = MESSAGE_QUERY,
			     .from = i,
			     .to = to,
			     .known = node->config });
}

static void note_version(const day_t *d, node_t *node, const message_t *message)
{
	if (message->config > MAX(node->fetch.wanted, node->config))
		node->teller = message->from;
	bsh_document_fetch_want(&node->fetch, message->config, message->to,
				d->now_us);
}

static void receive(day_t *d, const message_t *message)
{
	node_t *node = &d->nodes[message->to];
	g_autoptr(GBytes) whole = NULL;

	if (stands_still(d, message->to))
		return;
	switch (message->kind) {
	case MESSAGE_READER:
		bsh_store_reader_note(&node->targets.reader,
				      message->from == d->holder,
				      message->list_us);
		if (d->one_age)
			bsh_store_reader_note(&node->configs.reader,
					      message->from == d->holder,
					      message->list_us);
		node->left = MAX(node->left, message->left);
		note_version(d, node, message);
		return;
	case MESSAGE_READER_CONFIG:
		if (!d->one_age)
			bsh_store_reader_note(&node->configs.reader,
					      message->from == d->holder,
					      message->list_us);
		bsh_confirmation_note(&node->confirmation, message->config,
				      message->list_us);
		note_version(d, node, message);
		return;
	case MESSAGE_QUERY:
		if (node->config > message->known)
			send(d, (message_t){ .kind = MESSAGE_PART,
					     .from = message->to,
					     .to = message->from,
					     .config = node->config });
		return;
	case MESSAGE_PART:
		whole = bsh_document_fetch_part(&node->fetch, message->config,
						0, 1, "x", 1, d->now_us);
		if (whole != NULL)
			adopt(d, node, message->config);
		return;
	}
}

static void deliver(day_t *d)
{
	for (guint i = 0; i < d->messages->len;) {
		message_t message = g_array_index(d->messages, message_t, i);

		if (message.at_us > d->now_us) {
			i++;
			continue;
		}
		g_array_remove_index_fast(d->messages, i);
		receive(d, &message);
	}
}

/* The lease passes on as in coordination/lease: 1.2 s after the store has
 * stopped answering its holder, and some seconds after the holder's end. */
static void run_lease(day_t *d)
{
	bool lost = stands_still(d, d->holder) || !reaches_store(d, d->holder);

	if (!lost) {
		d->holder_until_us = 0;
		return;
	}
	if (d->holder_until_us == 0)
		d->holder_until_us =
			d->now_us +
			(stands_still(d, d->holder) ? 3 * SECOND : 1700 * MS);
	if (d->now_us < d->holder_until_us)
		return;
	for (uint32_t i = 0; i < d->n; i++)
		if (!stands_still(d, i) && reaches_store(d, i) &&
		    d->nodes[i].targets.reader.reading) {
			d->holder = i;
			d->holder_until_us = 0;
			return;
		}
}

static void init_node(const day_t *d, node_t *node)
{
	bsh_store_reader_init(&node->targets.reader, BSH_STORE_TARGETS,
			      d->drain_us);
	bsh_store_reader_init(&node->configs.reader, BSH_STORE_CONFIGURATION,
			      d->drain_us);
	bsh_document_fetch_init(&node->fetch);
	bsh_confirmation_init(&node->confirmation);
}

static void decide(day_t *d, uint32_t i)
{
	node_t *node = &d->nodes[i];
	bsh_store_reader_input_t input = { .holder = i == d->holder,
					   .rank = i };

	input.own_us = node->targets.own_us;
	bsh_store_reader_decide(&node->targets.reader, &input, d->now_us);
	input.own_us = node->configs.own_us;
	bsh_store_reader_decide(&node->configs.reader, &input, d->now_us);
}

static void run_node(day_t *d, uint32_t i)
{
	node_t *node = &d->nodes[i];

	if (is_struck(d, FAULT_KILLED, i)) {
		bsh_document_fetch_finish(&node->fetch);
		memset(node, 0, sizeof(*node));
		init_node(d, node);
		node->began_us = d->now_us;
		return;
	}
	if (is_struck(d, FAULT_FROZEN, i))
		return;
	if (d->now_us % DECIDE_US == 0 && !d->naive)
		decide(d, i);
	if ((node->targets.reader.reading || d->naive) &&
	    d->now_us >= node->targets.call_us)
		read_targets(d, i);
	if ((node->configs.reader.reading || d->naive) && is_watch_due(d, i))
		read_config(d, i);
	if (!d->naive && node->targets.reader.reading &&
	    node->targets.reader.started &&
	    d->now_us - node->targets.own_us < 1200 * MS &&
	    d->now_us - node->told_us >= 300 * MS)
		tell(d, i);
	run_fetch(d, i);
}

/* True if the store answers the instance about the kind, or one with which it
 * exchanges messages. */
static bool can_learn(const day_t *d, uint32_t i, fault_kind_t silent)
{
	for (uint32_t j = 0; j < d->n; j++)
		if (reaches_store(d, j) && !stands_still(d, j) &&
		    !is_struck(d, silent, j) &&
		    (j == i || (hears(d, i, j) && hears(d, j, i))))
			return true;
	return false;
}

/* An instance is in touch if neither it nor the store was disturbed lately. */
static void note_disturbance(day_t *d, uint32_t i)
{
	bool store_disturbed = false;

	for (uint32_t j = 0; j < d->n; j++)
		store_disturbed = store_disturbed ||
				  is_struck(d, FAULT_SOME_REFUSED, j) ||
				  is_struck(d, FAULT_STORE_DOWN, j);
	if (store_disturbed || stands_still(d, i) || !reaches_store(d, i) ||
	    is_struck(d, FAULT_ONE_WAY, i) ||
	    !can_learn(d, i, FAULT_TARGETS_SILENT) ||
	    !can_learn(d, i, FAULT_CONFIG_SILENT))
		d->nodes[i].disturbed_us = d->now_us;
}

static void check_node(day_t *d, uint32_t i)
{
	node_t *node = &d->nodes[i];

	note_disturbance(d, i);
	if (d->now_us - MAX(node->disturbed_us, node->began_us) < CONTACT_US ||
	    d->now_us < WARM_UP_US)
		return;
	d->late_targets += node->left < count_until(d->leaving_us, d->n_changes,
						    d->now_us - d->drain_us);
	d->late_configs +=
		node->config < count_until(d->config_us, d->n_changes,
					   d->now_us - CONFIG_BOUND_US);
	d->wrong_ages +=
		node->config < count_until(d->config_us, d->n_changes,
					   node->confirmation.confirmed_us);
}

static int compare_times(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

static void draw_fault(day_t *d, fault_t *fault, fault_kind_t kind)
{
	uint64_t all = (UINT64_C(1) << d->n) - 1;
	uint32_t served = (d->holder + (uint32_t)g_rand_int_range(
					       d->rand, 1, (gint32)d->n)) %
			  d->n;

	fault->kind = kind;
	fault->from_us = g_rand_int_range(d->rand, 5, 28) * SECOND +
			 g_rand_int_range(d->rand, 0, 100) * TICK_US;
	fault->to_us =
		fault->from_us + g_rand_int_range(d->rand, 10, 80) * 100 * MS;
	fault->struck = UINT64_C(1) << d->holder;
	if (kind == FAULT_STORE_DOWN)
		fault->struck = all;
	else if (kind == FAULT_SOME_REFUSED || kind == FAULT_APART)
		fault->struck = ((uint64_t)g_rand_int(d->rand) << 32 |
				 g_rand_int(d->rand)) &
				all;
	else if (kind == FAULT_TARGETS_SILENT || kind == FAULT_CONFIG_SILENT)
		/* The store answers one at least. */
		fault->struck =
			(fault->struck | ((uint64_t)g_rand_int(d->rand) << 32 |
					  g_rand_int(d->rand))) &
			all & ~(UINT64_C(1) << served);
	else if (kind == FAULT_ONE_WAY)
		fault->struck = UINT64_C(1)
				<< g_rand_int_range(d->rand, 0, (gint32)d->n);
}

static void init_day(day_t *d, uint32_t seed, form_t form, bool calm)
{
	memset(d, 0, sizeof(*d));
	d->rand = g_rand_new_with_seed(seed);
	d->naive = form == FORM_ALONE;
	d->one_age = form == FORM_ONE_AGE;
	d->n = (uint32_t)g_rand_int_range(d->rand, 3, NODES_MAX + 1);
	d->drain_us = g_rand_boolean(d->rand) ? 2 * SECOND : 4 * SECOND;
	d->holder = (uint32_t)g_rand_int_range(d->rand, 0, (gint32)d->n);
	d->messages = g_array_sized_new(FALSE, FALSE, sizeof(message_t),
					MESSAGES_MAX / 10);
	d->n_changes = CHANGES_MAX;
	for (uint32_t i = 0; i < CHANGES_MAX; i++) {
		d->leaving_us[i] = g_rand_int_range(d->rand, 0, 3600) * TICK_US;
		d->config_us[i] = g_rand_int_range(d->rand, 0, 3600) * TICK_US;
	}
	qsort(d->leaving_us, CHANGES_MAX, sizeof(int64_t), compare_times);
	qsort(d->config_us, CHANGES_MAX, sizeof(int64_t), compare_times);
	d->n_faults =
		calm ? 0 : (uint32_t)g_rand_int_range(d->rand, 1, FAULTS_MAX);
	for (uint32_t i = 0; i < d->n_faults; i++)
		draw_fault(d, &d->faults[i],
			   (fault_kind_t)g_rand_int_range(d->rand, 0,
							  FAULT_KINDS));
	for (uint32_t i = 0; i < d->n; i++) {
		init_node(d, &d->nodes[i]);
		d->nodes[i].disturbed_us = -DAY_US;
	}
}

static void play(day_t *d, uint32_t seed, form_t form, bool calm)
{
	init_day(d, seed, form, calm);
	for (d->now_us = TICK_US; d->now_us < DAY_US; d->now_us += TICK_US) {
		run_lease(d);
		deliver(d);
		for (uint32_t i = 0; i < d->n; i++)
			run_node(d, i);
		for (uint32_t i = 0; i < d->n; i++)
			check_node(d, i);
	}
	for (uint32_t i = 0; i < d->n; i++)
		bsh_document_fetch_finish(&d->nodes[i].fetch);
	g_array_free(d->messages, TRUE);
	g_rand_free(d->rand);
}

static uint32_t days(void)
{
	return g_test_thorough() ? 3000 : 250;
}

/* Guards against an instance in touch that goes on using a target past its drain
 * time, or an old configuration past its bound, as the instance on which it
 * relies was cut off, refused, frozen or killed, or got no answers about one of
 * the kinds; against one that goes back to an earlier configuration, and against
 * an age of the configuration that hides a newer one. */
static void check_bounds(uint32_t seed)
{
	day_t d;

	play(&d, seed, FORM_SHARED, false);
	g_test_message("seed=%u n=%u late targets=%u configs=%u", seed, d.n,
		       d.late_targets, d.late_configs);
	g_assert_cmpuint(d.late_targets, ==, 0);
	g_assert_cmpuint(d.late_configs, ==, 0);
	g_assert_cmpuint(d.went_back, ==, 0);
	g_assert_cmpuint(d.wrong_ages, ==, 0);
}

static void test_bounds(void)
{
	for (uint32_t seed = 1; seed <= days(); seed++)
		check_bounds(seed);
}

/* Guards against an instance that finds a version late, as it is parted from its
 * parent and the one that told, the store does not answer it, and most instances
 * that it asks at random are parted from it, too. */
static void test_bounds_parted(void)
{
	check_bounds(1596);
}

/* Guards against a test that would not show an instance that vouches for a
 * configuration by the answers of the store about targets. */
static void test_one_age(void)
{
	uint32_t late = 0;

	for (uint32_t seed = 1; seed <= days() / 3; seed++) {
		day_t d;

		play(&d, seed, FORM_ONE_AGE, false);
		late += d.late_configs > 0;
	}
	g_test_message("days with late configurations=%u of %u", late,
		       days() / 3);
	g_assert_cmpuint(late, >, 0);
}

/* Guards against calls that grow with the number of instances: beside two
 * readers and the start of each, none on a day without faults. */
static void test_calls_without_faults(void)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		uint64_t one_reader = DAY_US / PACE_US;
		day_t d;
		day_t naive;

		play(&d, seed, FORM_SHARED, true);
		play(&naive, seed, FORM_ALONE, true);
		g_test_message("seed=%u n=%u calls=%" G_GUINT64_FORMAT
			       " naive=%" G_GUINT64_FORMAT,
			       seed, d.n, d.calls, naive.calls);
		g_assert_cmpuint(d.calls, <=, 2 * one_reader + 2 * d.n);
		g_assert_cmpuint(naive.calls, >=, d.n * one_reader);
	}
}

/* The same while the store does not answer the holder, some of the instances, or
 * any: the first ranks ask for all, and the others seldom. */
static void test_calls_in_faults(void)
{
	uint64_t shared = 0;
	uint64_t alone = 0;

	for (uint32_t seed = 1; seed <= 40; seed++) {
		day_t d;
		day_t naive;

		play(&d, seed, FORM_SHARED, false);
		play(&naive, seed, FORM_ALONE, false);
		if (d.n < 30)
			continue;
		shared += d.calls;
		alone += naive.calls;
		g_assert_cmpuint(d.calls, <, naive.calls / 3);
	}
	g_test_message("calls=%" G_GUINT64_FORMAT " naive=%" G_GUINT64_FORMAT,
		       shared, alone);
	g_assert_cmpuint(shared, <, alone / 6);
}

/* Guards against a part of a document that is lost, repeated, of another version
 * or out of range and leaves the fetch without an end or with a wrong document. */
static void test_document_parts(void)
{
	bsh_document_fetch_t fetch;
	uint32_t from;
	GBytes *whole;

	bsh_document_fetch_init(&fetch);
	bsh_document_fetch_want(&fetch, 5, 0, 0);
	g_assert_cmpint(bsh_document_fetch_next(&fetch, 0, &from), ==,
			BSH_DOCUMENT_PARENT);
	g_assert_null(bsh_document_fetch_part(&fetch, 5, 3, 3, "x", 1, 0));
	g_assert_null(bsh_document_fetch_part(&fetch, 5, 2, 3, "c", 1, 0));
	g_assert_null(bsh_document_fetch_part(&fetch, 5, 2, 3, "x", 1, 0));
	g_assert_null(bsh_document_fetch_part(&fetch, 5, 0, 4, "x", 1, 0));
	g_assert_null(bsh_document_fetch_part(&fetch, 4, 0, 3, "x", 1, 0));
	g_assert_null(bsh_document_fetch_part(&fetch, 5, 0, 3, "a", 1, 0));
	g_assert_cmpint(bsh_document_fetch_next(&fetch, SECOND, &from), ==,
			BSH_DOCUMENT_PARENT);
	g_assert_cmpuint(from, ==, 1);
	whole = bsh_document_fetch_part(&fetch, 5, 1, 3, "b", 1, SECOND);
	g_assert_nonnull(whole);
	g_assert_cmpmem(g_bytes_get_data(whole, NULL), g_bytes_get_size(whole),
			"abc", 3);
	g_bytes_unref(whole);
	bsh_document_fetch_set_known(&fetch, 5);
	g_assert_cmpint(bsh_document_fetch_due_us(&fetch), ==, INT64_MAX);
	bsh_document_fetch_want(&fetch, 4, 0, 0);
	g_assert_cmpint(bsh_document_fetch_due_us(&fetch), ==, INT64_MAX);
	bsh_document_fetch_finish(&fetch);
}

/* Asks until the store is asked; returns when. */
static int64_t ask_all(bsh_document_fetch_t *fetch)
{
	uint32_t from;
	int64_t now_us;

	do {
		now_us = bsh_document_fetch_due_us(fetch);
		g_assert_cmpint(now_us, <, INT64_MAX);
	} while (bsh_document_fetch_next(fetch, now_us, &from) !=
		 BSH_DOCUMENT_STORE);
	return now_us;
}

/* Guards against an instance that asks too few others when most of them cannot
 * answer: one in four can, and the store is asked no earlier for that. */
static void test_document_few_answer(void)
{
	bsh_document_fetch_t fetch;
	uint32_t asked = 0;
	int64_t now_us = 0;
	bsh_document_source_t source;
	double none = 1;

	bsh_document_fetch_init(&fetch);
	bsh_document_fetch_want(&fetch, 9, 0, 0);
	do {
		uint32_t from;

		now_us = bsh_document_fetch_due_us(&fetch);
		source = bsh_document_fetch_next(&fetch, now_us, &from);
		asked += source == BSH_DOCUMENT_ANY;
	} while (source != BSH_DOCUMENT_STORE);
	for (uint32_t i = 0; i < asked; i++)
		none *= 0.75;
	g_test_message("asked=%u store_us=%" G_GINT64_FORMAT " none=%.3f",
		       asked, now_us, none);
	g_assert_cmpint(now_us, >=, 700 * MS);
	g_assert_cmpint(now_us, <=, 750 * MS);
	g_assert_cmpfloat(none, <, 0.02);
	bsh_document_fetch_finish(&fetch);
}

/* Guards against an instance that the store does not answer, and that asks no
 * other one while it waits for the store: the others have read it by then. */
static void test_document_store_silent(void)
{
	bsh_document_fetch_t fetch;
	uint32_t from;
	int64_t asked_us;
	int64_t due_us;

	bsh_document_fetch_init(&fetch);
	bsh_document_fetch_want(&fetch, 9, 0, 0);
	asked_us = ask_all(&fetch);
	for (int i = 0; i < 10; i++) {
		due_us = bsh_document_fetch_due_us(&fetch);
		g_assert_cmpint(due_us, <=, asked_us + (i + 1) * 100 * MS);
		g_assert_cmpint(bsh_document_fetch_next(&fetch, due_us, &from),
				==, BSH_DOCUMENT_ANY);
	}
	/* The store is asked again, and not much more often. */
	g_assert_cmpint(ask_all(&fetch), >=, asked_us + 2 * SECOND);
	bsh_document_fetch_finish(&fetch);
}

/* Guards against a version that nobody has and that is asked for without end, and
 * against one that instances have and that is left alone, as a list of the store
 * from an older copy did not show it. */
static void test_document_absent(void)
{
	bsh_document_fetch_t fetch;
	int64_t asked_us;
	int64_t due_us;

	bsh_document_fetch_init(&fetch);
	bsh_document_fetch_want(&fetch, 9, 0, SECOND / 2);
	/* The instances were not asked yet. */
	bsh_document_fetch_store_read(&fetch, SECOND, SECOND);
	g_assert_cmpint(bsh_document_fetch_due_us(&fetch), ==, SECOND / 2);
	asked_us = ask_all(&fetch);
	/* A read that began before the instance was told shows nothing. */
	due_us = bsh_document_fetch_due_us(&fetch);
	bsh_document_fetch_store_read(&fetch, SECOND / 4, asked_us);
	g_assert_cmpint(bsh_document_fetch_due_us(&fetch), ==, due_us);
	bsh_document_fetch_store_read(&fetch, asked_us, asked_us);
	bsh_document_fetch_want(&fetch, 9, 0, asked_us + SECOND);
	g_assert_cmpint(bsh_document_fetch_due_us(&fetch), ==, INT64_MAX);
	bsh_document_fetch_want(&fetch, 7, 0, asked_us + SECOND);
	g_assert_cmpint(bsh_document_fetch_due_us(&fetch), ==,
			asked_us + SECOND);
	bsh_document_fetch_set_known(&fetch, 7);
	/* It was vouched for before the store was read, and again later. */
	bsh_document_fetch_confirmed(&fetch, 9, asked_us);
	bsh_document_fetch_want(&fetch, 9, 0, asked_us + SECOND);
	g_assert_cmpint(bsh_document_fetch_due_us(&fetch), ==, INT64_MAX);
	bsh_document_fetch_confirmed(&fetch, 9, asked_us + SECOND);
	bsh_document_fetch_want(&fetch, 9, 0, asked_us + SECOND);
	g_assert_cmpint(bsh_document_fetch_due_us(&fetch), ==,
			asked_us + SECOND);
	bsh_document_fetch_finish(&fetch);
}

/* One instance sends documents to another: each answer takes answer_us, and its
 * version is accepted every change_us; 0: once. */
typedef struct {
	int64_t answer_us;
	int64_t change_us;
	uint32_t parts;
	uint32_t kept; /* versions that the sender keeps */
	uint32_t lost; /* part that is lost once; UINT32_MAX: none */
	int64_t end_us;
	/* Longest time for which an accepted version was not in force. */
	int64_t lag_us;
} transfer_t;

static uint64_t version_at(const transfer_t *transfer, int64_t now_us)
{
	return transfer->change_us > 0
		       ? 1 + (uint64_t)(now_us / transfer->change_us)
		       : 1;
}

/* Delivers the answer to a query. */
static void deliver_parts(transfer_t *transfer, bsh_document_fetch_t *fetch,
			  uint64_t version, uint32_t from, int64_t now_us)
{
	for (uint32_t i = 0;
	     i < BSH_DOCUMENT_WINDOW && from + i < transfer->parts; i++) {
		g_autoptr(GBytes) whole = NULL;

		if (from + i == transfer->lost) {
			transfer->lost = UINT32_MAX;
			continue;
		}
		whole = bsh_document_fetch_part(fetch, version, from + i,
						transfer->parts, "x", 1,
						now_us);
		if (whole != NULL)
			bsh_document_fetch_set_known(fetch, version);
	}
}

static void run_transfer(transfer_t *transfer)
{
	bsh_document_fetch_t fetch;
	uint64_t version = 0;
	int64_t answered_us = INT64_MAX;
	uint32_t begin = 0;

	bsh_document_fetch_init(&fetch);
	for (int64_t now_us = 0; now_us < transfer->end_us; now_us += MS) {
		uint64_t newest = version_at(transfer, now_us);
		uint64_t kept[BSH_DOCUMENT_KEPT] = { 0 };
		uint32_t from;

		bsh_document_fetch_want(&fetch, newest, 0, now_us);
		if (now_us >= answered_us) {
			answered_us = INT64_MAX;
			deliver_parts(transfer, &fetch, version, begin, now_us);
		}
		if (bsh_document_fetch_next(&fetch, now_us, &from) !=
		    BSH_DOCUMENT_NOTHING) {
			for (uint32_t i = 0; i < transfer->kept; i++)
				kept[i] = newest > i ? newest - i : 0;
			version = kept[bsh_document_choose(kept, transfer->kept,
							   fetch.known,
							   fetch.version)];
			begin = version == fetch.version ? from : 0;
			answered_us = now_us + transfer->answer_us;
		}
		if (fetch.known < newest)
			transfer->lag_us =
				MAX(transfer->lag_us,
				    now_us - (int64_t)fetch.known *
						     transfer->change_us);
	}
	bsh_document_fetch_finish(&fetch);
}

/* Guards against a document that is fetched from its beginning with each change
 * and so never arrives, as the changes follow each other faster than it is sent;
 * and against each window that costs a timeout after one lost part. */
static void test_document_transfer(void)
{
	transfer_t series = { .answer_us = 80 * MS,
			      .change_us = 250 * MS,
			      .parts = 120,
			      .kept = BSH_DOCUMENT_KEPT,
			      .lost = UINT32_MAX,
			      .end_us = 20 * SECOND };
	transfer_t newest_only = series;
	transfer_t lossy = { .answer_us = 5 * MS,
			     .parts = 240,
			     .kept = 1,
			     .lost = 5,
			     .end_us = SECOND };

	newest_only.kept = 1;
	run_transfer(&series);
	run_transfer(&newest_only);
	run_transfer(&lossy);
	g_test_message("lag_us=%" G_GINT64_FORMAT
		       " with the newest version only=%" G_GINT64_FORMAT
		       " with a lost part=%" G_GINT64_FORMAT,
		       series.lag_us, newest_only.lag_us, lossy.lag_us);
	g_assert_cmpint(series.lag_us, <, CONFIG_BOUND_US);
	g_assert_cmpint(newest_only.lag_us, >, CONFIG_BOUND_US);
	/* One repetition, and an answer for each window. */
	g_assert_cmpint(lossy.lag_us, <, 200 * MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store-reader/bounds", test_bounds);
	g_test_add_func("/store-reader/bounds-parted", test_bounds_parted);
	g_test_add_func("/store-reader/one-age", test_one_age);
	g_test_add_func("/store-reader/calls-without-faults",
			test_calls_without_faults);
	g_test_add_func("/store-reader/calls-in-faults", test_calls_in_faults);
	g_test_add_func("/store-reader/document-parts", test_document_parts);
	g_test_add_func("/store-reader/document-absent", test_document_absent);
	g_test_add_func("/store-reader/document-few-answer",
			test_document_few_answer);
	g_test_add_func("/store-reader/document-store-silent",
			test_document_store_silent);
	g_test_add_func("/store-reader/document-transfer",
			test_document_transfer);
	return g_test_run();
}
