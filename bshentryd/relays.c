/* Requests that an instance without targets passes on to another instance, and
 * those that it gets this way. */
#include "traffic.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "platform/ingress.h"
#include "protocol/relay_mark.h"

static bsh_counter_t passed_on =
	BSH_COUNTER("bsh_requests_passed_on_total",
		    "Requests sent to another instance, as this one reached no "
		    "target.");
static bsh_counter_t from_peers =
	BSH_COUNTER("bsh_requests_from_peers_total",
		    "Requests from instances that reached no target.");

void relays_init(traffic_t *t)
{
	bsh_counter_register(&passed_on);
	bsh_counter_register(&from_peers);
	t->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void relays_finish(traffic_t *t)
{
	g_hash_table_destroy(t->peers);
}

target_state_t *relays_peer_state(traffic_t *t, const char *name)
{
	target_state_t *state = g_hash_table_lookup(t->peers, name);

	if (state != NULL)
		return state;
	state = g_new0(target_state_t, 1);
	g_strlcpy(state->id, name, sizeof(state->id));
	g_hash_table_insert(t->peers, state->id, state);
	return state;
}

static bool is_listed(const view_t *view, const char *name)
{
	for (guint i = 0; i < view->peers->len; i++)
		if (strcmp(g_array_index(view->peers, bsh_relay_peer_t, i).name,
			   name) == 0)
			return true;
	return false;
}

/* True if the state is not needed any more. */
static gboolean is_unused(void *key, void *value, void *ctx)
{
	const traffic_t *t = ctx;
	const target_state_t *state = value;

	return state->record.running == 0 && !is_listed(t->view, key);
}

void relays_view_changed(traffic_t *t)
{
	g_hash_table_foreach_remove(t->peers, is_unused, t);
}

static const bsh_relay_peer_t *pick_peer(const request_t *r)
{
	traffic_t *t = r->traffic;
	const GArray *peers = t->view->peers;
	bsh_relay_candidate_t candidates[BSH_RELAY_PEERS_MAX];
	uint64_t random = (uint64_t)g_random_int() << 32 | g_random_int();
	uint32_t n = MIN(peers->len, BSH_RELAY_PEERS_MAX);
	int32_t chosen;

	for (uint32_t i = 0; i < n; i++) {
		const bsh_relay_peer_t *peer =
			&g_array_index(peers, bsh_relay_peer_t, i);
		const target_state_t *state = relays_peer_state(t, peer->name);

		candidates[i] = (bsh_relay_candidate_t){
			.open = state->record.running,
			.same_zone = peer->same_zone,
			.usable = !target_pick_was_tried(r, peer->hash) &&
				  bsh_target_usable(&state->record,
						    traffic_now_us(t)),
		};
	}
	chosen = bsh_relay_choose(candidates, n, random);
	return chosen >= 0 ? &g_array_index(peers, bsh_relay_peer_t, chosen)
			   : NULL;
}

relay_t relays_choose(const request_t *r, const bsh_relay_peer_t **peer)
{
	const traffic_t *t = r->traffic;

	*peer = NULL;
	if (r->from_peer || !reach_is_cut(t))
		return RELAY_NONE;
	/* The control thread adds the peers as soon as it knows of the cut. */
	if (!t->view->cut)
		return RELAY_NOT_LISTED;
	*peer = pick_peer(r);
	return *peer != NULL ? RELAY_PEER : RELAY_NONE;
}

static bsh_relay_mark_t mark_of(const request_t *r, const char *key)
{
	return (bsh_relay_mark_t){
		.key = key,
		.id = r->info.attempt_id,
		.method = r->method,
		.path = r->path,
		.sends = r->sends,
	};
}

void relays_mark(const request_t *r, const char *key, char *text,
		 uint32_t text_size)
{
	bsh_relay_mark_t mark = mark_of(r, key);

	bsh_relay_mark_encode(r->traffic->entry->settings.key, &mark, text,
			      text_size);
}

void relays_sent(const attempt_t *a)
{
	const request_t *r = a->request;

	bsh_counter_add(&passed_on, 1);
	bsh_log(BSH_LOG_INFO,
		"request-passed-on id=%s instance=%s sends=%u left_ms=%u",
		r->info.log_id, a->target_id, r->sends,
		forward_time_left_ms(r));
}

void relays_receive(request_t *r)
{
	const char *text = bsh_http_request_header(r->http, BSH_RELAY_HEADER);
	const char *version =
		bsh_http_request_header(r->http, BSH_RELAY_VERSION_HEADER);
	const char *key =
		bsh_http_request_header(r->http, BSH_RELAY_KEY_HEADER);
	bsh_relay_mark_t mark = mark_of(r, key);

	if (text == NULL)
		return;
	if (!bsh_relay_mark_decode(r->traffic->entry->settings.key, text,
				   &mark)) {
		bsh_log(BSH_LOG_INFO, "relay-mark-invalid id=%s",
			r->info.log_id);
		return;
	}
	r->from_peer = true;
	r->info.has_key =
		key != NULL && bsh_account_key_decode(key, &r->info.key);
	r->sends = mark.sends;
	/* An earlier build names no version. */
	if (version != NULL)
		r->peer_version = g_ascii_strtoull(version, NULL, 10);
	bsh_counter_add(&from_peers, 1);
	bsh_log(BSH_LOG_INFO,
		"request-from-peer id=%s sends=%u config=%" G_GUINT64_FORMAT,
		r->info.log_id, r->sends, r->peer_version);
}
