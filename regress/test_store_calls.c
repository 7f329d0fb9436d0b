/* Instances as processes that share the reading of the platform's store: the calls
 * that it gets, and that each instance still learns what has changed. */
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>

#include "protocol/datagram.h"
#include "state/target.h"
#include "support/loopback.h"
#include "support/platform_rig.h"

#define ENTRIES	   6
#define CHANGES_MS 20
#define MORE_ROUTE                                                             \
	"{\"name\":\"more\",\"host\":\"" RIG_HOST                              \
	"\",\"pathPrefix\":\"/more/\","                                        \
	"\"kind\":\"idempotent\",\"service\":\"desk\",\"maxAttempts\":2,"      \
	"\"resumable\":false,\"timeoutMs\":10000,\"targetLatencyMs\":500,"     \
	"\"priority\":0}"

/* Calls by all instances; the rig has no context for its hook. */
static uint32_t watches_of_targets;
static uint32_t calls;

static void count_call(platform_rig_t *rig, bsh_http_request_t *request)
{
	const char *url = bsh_http_request_target(request);

	(void)rig;
	calls++;
	if (strstr(url, "/servers") != NULL &&
	    (strstr(url, "?watch=") != NULL || strstr(url, "&watch=") != NULL))
		watches_of_targets++;
}

typedef struct {
	platform_rig_t rig;
	worker_t *engine;
	char liar[32]; /* gossip address of an instance that the test plays */
} fixture_t;

/* Registers the instance that the test plays before the others list them. */
static void register_liar(fixture_t *f)
{
	g_snprintf(f->liar, sizeof(f->liar), "%s:%u", loopback_ip(),
		   loopback_free_port());
	platform_rig_write(&f->rig, "berylshunt-instances", "liar",
			   json_pack("{s:s, s:s, s:s, s:i}", "gossip", f->liar,
				     "entry", f->liar, "zone", "z1",
				     "incarnation", 1));
}

static void set_up(fixture_t *f, gconstpointer data)
{
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	if (data != NULL)
		register_liar(f);
	f->engine = platform_rig_add_worker(&f->rig, "llm", "m0");
	platform_rig_add_worker(&f->rig, "desk", NULL);
	for (int i = 0; i < ENTRIES; i++)
		platform_rig_add_entry(&f->rig);
	for (int i = 0; i < ENTRIES; i++)
		platform_rig_wait_ready(&f->rig, &f->rig.entries[i]);
	platform_rig_run(&f->rig, 4000);
	calls = 0;
	watches_of_targets = 0;
	f->rig.before_call = count_call;
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_finish(&f->rig);
}

static int status_of(fixture_t *f, int entry, const char *path)
{
	static uint32_t n;
	g_autofree char *id = g_strdup_printf("s%u", n++);
	rig_reply_t reply;
	int status;

	platform_rig_send(&f->rig, f->rig.entries[entry].front, path, id, NULL,
			  1000, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	status = reply.status;
	platform_rig_reply_clear(&reply);
	return status;
}

/* Time until all instances but one (-1: none) serve the path, 10 s at most. */
static int64_t served_by_all_us(fixture_t *f, const char *path, int except)
{
	int64_t begin_us = bsh_loop_clock_us();

	for (int i = 0; i < (int)f->rig.n_entries; i++) {
		while (i != except && status_of(f, i, path) != 200) {
			if (bsh_loop_clock_us() - begin_us >= 10000000)
				return INT64_MAX;
			platform_rig_run(&f->rig, 20);
		}
	}
	return bsh_loop_clock_us() - begin_us;
}

/* Guards against a call for each change of a target, and one from each instance:
 * a list that changes all the time is read by one, some times a second. */
static void test_changing_targets(fixture_t *f, gconstpointer data)
{
	const int seconds = 4;

	(void)data;
	for (int i = 0; i < seconds * 1000 / CHANGES_MS; i++) {
		platform_rig_publish_worker(f->engine, "ready");
		platform_rig_run(&f->rig, CHANGES_MS);
	}
	g_test_message("watches=%u calls=%u", watches_of_targets, calls);
	/* A twentieth of the drain time of 2 s lies between two watches; two
	 * instances may read for a moment. */
	g_assert_cmpuint(watches_of_targets, <=, 2 * seconds * 10);
	/* Besides, the lease, the configuration and a list of instances. */
	g_assert_cmpuint(calls, <=, 2 * seconds * 10 + seconds * 4 + ENTRIES);
}

/* Guards against an instance that does not learn of a new configuration, as it
 * does not read the store and another one had to tell it. */
static void test_new_configuration(fixture_t *f, gconstpointer data)
{
	int64_t took_us;

	(void)data;
	g_assert_cmpint(status_of(f, 0, "/more/1"), ==, 404);
	platform_rig_configure(&f->rig, MORE_ROUTE);
	took_us = served_by_all_us(f, "/more/1", -1);
	g_test_message("took_us=%" G_GINT64_FORMAT " calls=%u", took_us, calls);
	g_assert_cmpint(took_us, <, 2000000);
	g_assert_cmpuint(calls, <, 40);
}

/* Name of the holder of the order lease, which reads for all; NULL: none. */
static const char *lease_holder(const fixture_t *f)
{
	return json_string_value(json_object_get(
		json_object_get(platform_rig_object(
					&f->rig, "berylshunt-leases", "orders"),
				"spec"),
		"holder"));
}

/* The same while the instance that reads for all stands still. */
static void test_frozen_reader(fixture_t *f, gconstpointer data)
{
	const char *holder;
	int frozen = 0;
	int64_t took_us;

	(void)data;
	holder = lease_holder(f);
	g_assert_nonnull(holder);
	for (int i = 0; i < ENTRIES; i++)
		if (strcmp(f->rig.entries[i].name, holder) == 0)
			frozen = i;
	platform_rig_signal(&f->rig.entries[frozen], SIGSTOP);
	platform_rig_configure(&f->rig, MORE_ROUTE);
	took_us = served_by_all_us(f, "/more/1", frozen);
	platform_rig_signal(&f->rig.entries[frozen], SIGCONT);
	g_test_message("took_us=%" G_GINT64_FORMAT " calls=%u", took_us, calls);
	g_assert_cmpint(took_us, <, 2000000);
	g_assert_cmpint(served_by_all_us(f, "/more/1", -1), <, 2000000);
}

/* The lease holder is a far entry, about whose calls the test decides; data: all
 * are. */
static void set_up_far_holder(fixture_t *f, gconstpointer data)
{
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	f->engine = platform_rig_add_worker(&f->rig, "llm", "m0");
	platform_rig_add_worker(&f->rig, "desk", NULL);
	platform_rig_add_far_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, &f->rig.entries[0]);
	for (int i = 0; i < 100 && g_strcmp0(lease_holder(f), "entry-1") != 0;
	     i++)
		platform_rig_run(&f->rig, 50);
	g_assert_cmpstr(lease_holder(f), ==, "entry-1");
	for (int i = 1; i < ENTRIES; i++) {
		if (data != NULL)
			platform_rig_add_far_entry(&f->rig);
		else
			platform_rig_add_entry(&f->rig);
	}
	for (int i = 1; i < ENTRIES; i++)
		platform_rig_wait_ready(&f->rig, &f->rig.entries[i]);
	platform_rig_run(&f->rig, 4000);
	calls = 0;
	f->rig.before_call = count_call;
}

/* Guards against an instance that vouches for a configuration that it does not
 * read: the store answers the lease holder about the targets, and no more about
 * the configuration. */
static void test_silent_configuration(fixture_t *f, gconstpointer data)
{
	int64_t took_us;

	(void)data;
	f->rig.far_silent_kind = "config";
	platform_rig_configure(&f->rig, MORE_ROUTE);
	took_us = served_by_all_us(f, "/more/1", -1);
	g_test_message("took_us=%" G_GINT64_FORMAT " calls=%u", took_us, calls);
	/* Smallest bound of a deployment. */
	g_assert_cmpint(took_us, <, 2000000);
}

/* Guards against a configuration that nobody reads as long as the store does not
 * answer about the targets: all entries are far ones here. */
static void test_silent_targets(fixture_t *f, gconstpointer data)
{
	int64_t took_us;

	(void)data;
	f->rig.far_silent_kind = "servers";
	platform_rig_run(&f->rig, 4000);
	platform_rig_configure(&f->rig, MORE_ROUTE);
	took_us = served_by_all_us(f, "/more/1", -1);
	g_test_message("took_us=%" G_GINT64_FORMAT " calls=%u", took_us, calls);
	g_assert_cmpint(took_us, <, 2000000);
}

/* Guards against a target that most instances use beyond its drain time, as it
 * leaves and its entry is removed between two answers to the instances that read
 * for all: they drop it at once and have to name it nevertheless. */
static void test_removed_at_once(fixture_t *f, gconstpointer data)
{
	worker_t *desk = &f->rig.workers[1];
	rig_reply_t replies[ENTRIES];

	(void)data;
	f->rig.far_silent_kind = "servers";
	platform_rig_run(&f->rig, 4000);
	for (int i = 0; i < ENTRIES; i++)
		g_assert_cmpint(status_of(f, i, "/look/1"), ==, 200);
	/* The second change answers a watch that has just begun, so that the
	 * next one begins a twentieth of the drain time after that one, and
	 * returns both of the following changes. */
	for (int i = 0; i < 2; i++) {
		platform_rig_publish_worker(f->engine, "ready");
		platform_rig_run(&f->rig, 20);
	}
	platform_rig_publish_worker(desk, "draining");
	platform_rig_remove_worker(desk);
	platform_rig_run(&f->rig, 2000);
	for (int i = 0; i < ENTRIES; i++) {
		g_autofree char *id = g_strdup_printf("removed-%d", i);

		platform_rig_send(&f->rig, f->rig.entries[i].front, "/look/1",
				  id, NULL, 1000, &replies[i]);
	}
	for (int i = 0; i < ENTRIES; i++) {
		g_autofree char *id = g_strdup_printf("removed-%d", i);

		platform_rig_wait(&f->rig, &replies[i].done);
		g_test_message("entry=%d status=%d", i, replies[i].status);
		g_assert_cmpuint(platform_rig_runs(&f->rig, id), ==, 0);
		platform_rig_reply_clear(&replies[i]);
	}
}

/* Guards against an outage of the store that costs calls of each instance. */
static void test_outage(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->rig.store_down = true;
	platform_rig_run(&f->rig, 6000);
	g_test_message("calls=%u", calls);
	/* One kind of call of each instance every 0.4 to 0.8 s, and four a
	 * second for the lease. */
	g_assert_cmpuint(calls, <, ENTRIES * 6000 / 400 + 6 * 4 + ENTRIES);
	f->rig.store_down = false;
	platform_rig_configure(&f->rig, MORE_ROUTE);
	g_assert_cmpint(served_by_all_us(f, "/more/1", -1), <, 3000000);
}

/* Guards against an instance that tells callers that a route does not exist while
 * nobody can have told it of a newer configuration. */
static void test_unknown_route(fixture_t *f, gconstpointer data)
{
	(void)data;
	g_assert_cmpint(status_of(f, 0, "/more/1"), ==, 404);
	f->rig.store_unresponsive = true;
	platform_rig_run(&f->rig, 3500);
	for (int i = 0; i < ENTRIES; i++) {
		g_assert_cmpint(status_of(f, i, "/more/1"), ==, 503);
		g_assert_cmpint(status_of(f, i, "/look/1"), ==, 200);
	}
	f->rig.store_unresponsive = false;
	platform_rig_run(&f->rig, 3000);
	for (int i = 0; i < ENTRIES; i++)
		g_assert_cmpint(status_of(f, i, "/more/1"), ==, 404);
}

/* An instance that is registered and gossips nothing, but tells of versions and
 * targets at will. */
typedef struct {
	bsh_datagram_socket_t sock;
	uint32_t queries; /* DOCUMENT_QUERY received */
	bool answers;	  /* with parts that are no configuration */
	char address[32]; /* of the instance that asks */
} liar_t;

static void send_to(liar_t *liar, const bsh_message_t *message)
{
	bsh_datagram_t datagram;

	g_assert_cmpint(
		bsh_datagram_socket_seal(&liar->sock, message, &datagram), ==,
		BSH_OK);
	bsh_datagram_socket_send(&liar->sock, liar->address, &datagram);
}

static void on_liar_message(void *ctx, const bsh_message_t *message)
{
	liar_t *liar = ctx;
	bsh_message_t part = {
		.type = BSH_MSG_DOCUMENT_PART,
		.document_part = { .version = UINT64_MAX,
				   .parts = 1,
				   .data = (const uint8_t *)"\xff\xff\xff\xff{",
				   .data_bytes = 5 },
	};

	if (message->type != BSH_MSG_DOCUMENT_QUERY)
		return;
	liar->queries++;
	if (!liar->answers)
		return;
	send_to(liar, &part);
	part.document_part.data = (const uint8_t *)"\0\0\0\5abcde";
	part.document_part.data_bytes = 9;
	send_to(liar, &part);
	part.document_part.parts = 0;
	send_to(liar, &part);
	part.document_part.part = BSH_DOCUMENT_PARTS_MAX;
	part.document_part.parts = 1;
	send_to(liar, &part);
}

/* Guards against a process that ends, refuses requests or asks the store without
 * end, as another instance tells of a version that does not exist, sends bytes
 * that are no configuration, or names absurd ages and targets. */
static void test_bad_peer(fixture_t *f, gconstpointer data)
{
	const json_t *object = platform_rig_object(
		&f->rig, "berylshunt-instances", f->rig.entries[0].name);
	uint8_t keys[4 * BSH_READER_TARGETS_MAX];
	bsh_message_t reader = { .type = BSH_MSG_READER };
	liar_t liar = { .answers = true };

	(void)data;
	g_strlcpy(liar.address,
		  json_string_value(json_object_get(
			  json_object_get(object, "spec"), "gossip")),
		  sizeof(liar.address));
	g_assert_cmpint(bsh_datagram_socket_init(&liar.sock, &f->rig.loop,
						 f->liar, platform_rig_key,
						 "liar", 1, on_liar_message,
						 &liar),
			==, BSH_OK);
	memset(keys, 0xff, sizeof(keys));
	for (int i = 0; i < 30; i++) {
		reader.reader = (bsh_msg_reader_t){
			.contact_age_ms = i % 2 == 0 ? 0 : UINT32_MAX,
			.config_version = i % 3 == 0 ? UINT64_MAX : 1000,
			.leaving = keys,
			.leaving_bytes = i % 5 == 0 ? 3 : sizeof(keys),
			.missing = keys,
			.missing_bytes = i % 5 == 0 ? 0 : sizeof(keys),
		};
		send_to(&liar, &reader);
		platform_rig_run(&f->rig, 200);
		g_assert_cmpint(status_of(f, 0, "/look/1"), ==, 200);
	}
	g_test_message("queries=%u calls=%u", liar.queries, calls);
	g_assert_cmpuint(liar.queries, >, 0);
	/* A version that the store does not have is asked for once in 10 s. */
	g_assert_cmpuint(calls, <, 120);
	platform_rig_configure(&f->rig, MORE_ROUTE);
	g_assert_cmpint(served_by_all_us(f, "/more/1", -1), <, 2000000);
	bsh_datagram_socket_finish(&liar.sock);
}

/* Guards against a target that an instance drops although its process has just been
 * replaced by another one: a reader whose last answer is older misses it still. */
static void test_replaced_process(fixture_t *f, gconstpointer data)
{
	worker_t *desk = &f->rig.workers[1];
	uint32_t key = GUINT32_TO_BE(bsh_target_key(desk->id));
	bsh_message_t reader = { .type = BSH_MSG_READER };
	liar_t liar = { 0 };
	int told = 0;

	(void)data;
	while (g_strcmp0(f->rig.entries[told].name, lease_holder(f)) == 0)
		told++;
	g_strlcpy(
		liar.address,
		json_string_value(json_object_get(
			json_object_get(platform_rig_object(
						&f->rig, "berylshunt-instances",
						f->rig.entries[told].name),
					"spec"),
			"gossip")),
		sizeof(liar.address));
	g_assert_cmpint(bsh_datagram_socket_init(&liar.sock, &f->rig.loop,
						 f->liar, platform_rig_key,
						 "liar", 1, on_liar_message,
						 &liar),
			==, BSH_OK);
	platform_rig_restart_worker(desk);
	platform_rig_run(&f->rig, 300);
	g_assert_cmpint(status_of(f, told, "/look/1"), ==, 200);
	reader.reader = (bsh_msg_reader_t){
		.contact_age_ms = 1000,
		.missing = (const uint8_t *)&key,
		.missing_bytes = sizeof(key),
	};
	send_to(&liar, &reader);
	/* A target that is taken for missing is dropped within this time. */
	platform_rig_run(&f->rig, 2000);
	g_assert_cmpint(status_of(f, told, "/look/1"), ==, 200);
	bsh_datagram_socket_finish(&liar.sock);
}

#define ADD(path, fn)                                                          \
	g_test_add("/store-calls/" path, fixture_t, NULL, set_up, fn, tear_down)

int main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return 1;
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	ADD("changing-targets", test_changing_targets);
	ADD("new-configuration", test_new_configuration);
	ADD("frozen-reader", test_frozen_reader);
	ADD("outage", test_outage);
	ADD("unknown-route", test_unknown_route);
	g_test_add("/store-calls/silent-configuration", fixture_t, NULL,
		   set_up_far_holder, test_silent_configuration, tear_down);
	g_test_add("/store-calls/silent-targets", fixture_t, "all",
		   set_up_far_holder, test_silent_targets, tear_down);
	g_test_add("/store-calls/removed-at-once", fixture_t, NULL,
		   set_up_far_holder, test_removed_at_once, tear_down);
	g_test_add("/store-calls/replaced-process", fixture_t, "liar", set_up,
		   test_replaced_process, tear_down);
	g_test_add("/store-calls/bad-peer", fixture_t, "liar", set_up,
		   test_bad_peer, tear_down);
	return g_test_run();
}
