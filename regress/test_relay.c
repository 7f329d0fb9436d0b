/* Requests that instances without targets pass on to others. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "coordination/relay_choice.h"
#include "platform/target_client.h"
#include "protocol/relay_mark.h"

#define CUT_INSTANCES 60
#define PEERS	      40
#define REQUESTS      4000
#define OPEN_REQUESTS 400

static bsh_member_t make_member(uint32_t i, const char *zone)
{
	bsh_member_t member = { .has_place = true,
				.state = BSH_MEMBER_ALIVE,
				.rank = (i + 1) *
					UINT64_C(0x9e3779b97f4a7c15) };

	g_snprintf(member.name, sizeof(member.name), "instance-%u", i);
	g_strlcpy(member.place.zone, zone, sizeof(member.place.zone));
	g_snprintf(member.place.entry, sizeof(member.place.entry),
		   "10.0.0.%u:80", i);
	return member;
}

static GArray *new_peers(void)
{
	return g_array_new(FALSE, FALSE, sizeof(bsh_relay_peer_t));
}

/* Guards against requests that are passed on to an instance that cannot serve
 * them, or back to the one they came from. */
static void test_listed(void)
{
	g_autoptr(GArray) peers = new_peers();
	bsh_member_t members[7];

	for (uint32_t i = 0; i < G_N_ELEMENTS(members); i++)
		members[i] = make_member(i, i == 5 ? "z1" : "z2");
	members[1].leaving = true;
	members[2].state = BSH_MEMBER_SUSPECT;
	members[3].has_place = false;
	for (uint32_t i = 0; i < G_N_ELEMENTS(members); i++)
		bsh_relay_peers_add(peers, &members[i], i == 4, "instance-0",
				    "z1");
	g_assert_cmpuint(peers->len, ==, 2);
	g_assert_cmpstr(g_array_index(peers, bsh_relay_peer_t, 0).name, ==,
			"instance-5");
	g_assert_true(g_array_index(peers, bsh_relay_peer_t, 0).same_zone);
	g_assert_cmpstr(g_array_index(peers, bsh_relay_peer_t, 1).name, ==,
			"instance-6");
	g_assert_cmpstr(g_array_index(peers, bsh_relay_peer_t, 1).address, ==,
			"10.0.0.6:80");
}

/* Guards against many instances that are cut off together and all choose the
 * same few others, as they would with the first ones of a common order. */
static void test_lists_differ(void)
{
	uint32_t listed[PEERS] = { 0 };
	uint32_t most = 0;

	for (uint32_t own = 0; own < CUT_INSTANCES; own++) {
		g_autoptr(GArray) peers = new_peers();
		g_autofree char *name = g_strdup_printf("cut-%u", own);

		for (uint32_t i = 0; i < PEERS; i++) {
			bsh_member_t member = make_member(i, "z1");

			bsh_relay_peers_add(peers, &member, false, name, "z1");
		}
		g_assert_cmpuint(peers->len, ==, BSH_RELAY_PEERS_MAX);
		for (uint32_t i = 0; i < peers->len; i++)
			listed[atoi(
				g_array_index(peers, bsh_relay_peer_t, i).name +
				strlen("instance-"))]++;
	}
	for (uint32_t i = 0; i < PEERS; i++) {
		g_assert_cmpuint(listed[i], >, 0);
		most = MAX(most, listed[i]);
	}
	/* The naive way lists each of the first ones at all. */
	g_test_message("most=%u naive=%u", most, CUT_INSTANCES);
	g_assert_cmpuint(most, <, CUT_INSTANCES * 3 / 4);
}

/* Guards against requests that leave the availability zone without need, and
 * against a peer that was tried. */
static void test_choice(void)
{
	bsh_relay_candidate_t candidates[] = {
		{ .open = 9, .same_zone = true, .usable = true },
		{ .open = 1, .same_zone = true, .usable = false },
		{ .open = 0, .same_zone = false, .usable = true },
		{ .open = 3, .same_zone = true, .usable = true },
	};

	for (uint64_t i = 0; i < 64; i++)
		g_assert_cmpint(
			bsh_relay_choose(candidates, 4, i << 32 | (i * 7 % 64)),
			==, 3);
	candidates[0].usable = false;
	candidates[3].usable = false;
	g_assert_cmpint(bsh_relay_choose(candidates, 4, 5), ==, 2);
	candidates[2].usable = false;
	g_assert_cmpint(bsh_relay_choose(candidates, 4, 5), ==, -1);
	g_assert_cmpint(bsh_relay_choose(NULL, 0, 5), ==, -1);
}

/* Largest number of open requests at one peer; naive: a random peer. */
static uint32_t most_open(bool naive)
{
	bsh_relay_candidate_t candidates[BSH_RELAY_PEERS_MAX];
	uint32_t at[OPEN_REQUESTS];
	uint32_t most = 0;
	bsh_rng_t rng;

	bsh_rng_init(&rng, 7);
	for (uint32_t i = 0; i < G_N_ELEMENTS(candidates); i++)
		candidates[i] = (bsh_relay_candidate_t){ 0, true, true };
	for (uint32_t i = 0; i < REQUESTS; i++) {
		uint64_t random = (uint64_t)bsh_rng_below(&rng, UINT32_MAX)
					  << 32 |
				  bsh_rng_below(&rng, UINT32_MAX);
		int32_t chosen =
			naive ? (int32_t)(random % BSH_RELAY_PEERS_MAX)
			      : bsh_relay_choose(candidates,
						 BSH_RELAY_PEERS_MAX, random);

		if (i >= OPEN_REQUESTS)
			candidates[at[i % OPEN_REQUESTS]].open--;
		candidates[chosen].open++;
		at[i % OPEN_REQUESTS] = (uint32_t)chosen;
		most = MAX(most, candidates[chosen].open);
	}
	bsh_rng_finish(&rng);
	return most;
}

/* Guards against one peer that gets many more requests than the others. */
static void test_spread(void)
{
	uint32_t most = most_open(false);
	uint32_t naive = most_open(true);

	g_test_message("most=%u naive=%u even=%u", most, naive,
		       OPEN_REQUESTS / BSH_RELAY_PEERS_MAX);
	g_assert_cmpuint(most, <, naive);
	g_assert_cmpuint(most, <=, OPEN_REQUESTS / BSH_RELAY_PEERS_MAX * 3 / 2);
}

/* Guards against a caller that evades the count of its requests by a header, and
 * against a mark that is valid for another request. */
static void test_mark(void)
{
	static const uint8_t secret[BSH_RELAY_SECRET_BYTES] = { 1, 2, 3 };
	static const uint8_t other_secret[BSH_RELAY_SECRET_BYTES] = { 1, 2 };
	static const char *const bad[] = {
		"", "0", "2 ", "x y", "-1", "2 00", " ", "99999999999 a"
	};
	bsh_relay_mark_t mark = { "a1", "POST", "/book/1?x=1", 2, NULL };
	bsh_relay_mark_t read = { "a1", "POST", "/book/1?x=1", 0, NULL };
	char text[BSH_RELAY_MARK_SIZE];
	char *digit;

	bsh_relay_mark_encode(secret, &mark, text, sizeof(text));
	g_assert_true(bsh_relay_mark_decode(secret, text, &read));
	g_assert_cmpuint(read.sends, ==, 2);
	g_assert_false(bsh_relay_mark_decode(other_secret, text, &read));
	read.path = "/book/1?x=2";
	g_assert_false(bsh_relay_mark_decode(secret, text, &read));
	read.path = mark.path;
	read.id = "a2";
	g_assert_false(bsh_relay_mark_decode(secret, text, &read));
	read.id = mark.id;
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_false(bsh_relay_mark_decode(secret, bad[i], &read));
	digit = text;
	*digit = '1';
	g_assert_false(bsh_relay_mark_decode(secret, text, &read));
	*digit = '2';
	g_assert_true(bsh_relay_mark_decode(secret, text, &read));
	g_strlcat(text, "0", sizeof(text));
	g_assert_false(bsh_relay_mark_decode(secret, text, &read));
}

static bool has_header(const GPtrArray *headers, const char *text)
{
	for (guint i = 0; i + 1 < headers->len; i++)
		if (strcmp(g_ptr_array_index(headers, i), text) == 0)
			return true;
	return false;
}

/* Guards against a request that is passed on without the version by which it was
 * accepted, and against one to a target that shows it. */
static void test_version(void)
{
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	bsh_request_info_t info = { .headers = none, .credentials = none };
	platform_forward_t forward = { .relay_mark = "0 ab",
				       .relay_version = 18 };
	GPtrArray *headers = platform_forward_headers(&info, &forward);

	g_assert_true(has_header(headers, BSH_RELAY_HEADER ": 0 ab"));
	g_assert_true(has_header(headers, BSH_RELAY_VERSION_HEADER ": 18"));
	g_ptr_array_free(headers, TRUE);
	forward.relay_mark = NULL;
	headers = platform_forward_headers(&info, &forward);
	g_assert_false(has_header(headers, BSH_RELAY_VERSION_HEADER ": 18"));
	g_ptr_array_free(headers, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/relay/listed", test_listed);
	g_test_add_func("/relay/lists-differ", test_lists_differ);
	g_test_add_func("/relay/choice", test_choice);
	g_test_add_func("/relay/spread", test_spread);
	g_test_add_func("/relay/mark", test_mark);
	g_test_add_func("/relay/version", test_version);
	return g_test_run();
}
