#include "protocol/adoption_message.h"

#include <string.h>

#include "base/counter.h"
#include "protocol/body.h"

/* All fields but the body: 12 numbers of 9 bytes each and the witness names. */
#define HEADER_MAX_BYTES (128 + BSH_WITNESSES_MAX * (BSH_NAME_SIZE + 1))

static bsh_counter_t malformed =
	BSH_COUNTER("bsh_adoption_message_malformed_total",
		    "Configuration messages that could not be decoded.");

static void put_config(bsh_body_writer_t *w, const bsh_adoption_message_t *msg)
{
	gsize size = 0;
	const void *data =
		msg->body != NULL ? g_bytes_get_data(msg->body, &size) : NULL;

	bsh_body_put_uint(w, msg->from);
	bsh_body_put_uint(w, msg->hash);
	bsh_body_put_array(w, msg->n_witnesses);
	for (uint32_t i = 0; i < msg->n_witnesses; i++)
		bsh_body_put_string(w, msg->witnesses[i]);
	bsh_body_put_bytes(w, data != NULL ? data : "", size);
}

GBytes *bsh_adoption_message_encode(const bsh_adoption_message_t *msg)
{
	gsize body = msg->body != NULL ? g_bytes_get_size(msg->body) : 0;
	size_t size = HEADER_MAX_BYTES + body;
	bool is_config = msg->kind == BSH_ADOPTION_CONFIG;
	bsh_body_writer_t w;
	uint8_t *data;

	if (body > BSH_ADOPTION_DOCUMENT_MAX_BYTES ||
	    msg->n_witnesses > BSH_WITNESSES_MAX)
		return NULL;
	data = g_malloc(size);
	bsh_body_writer_init(&w, data, size);
	bsh_body_put_array(&w, is_config ? 13 : 9);
	bsh_body_put_uint(&w, msg->kind);
	bsh_body_put_uint(&w, msg->sequence);
	bsh_body_put_uint(&w, msg->generation);
	bsh_body_put_uint(&w, msg->settled);
	bsh_body_put_uint(&w, msg->confirm_age_ms);
	bsh_body_put_uint(&w, msg->vote);
	bsh_body_put_uint(&w, msg->confirm);
	bsh_body_put_uint(&w, msg->accepted);
	bsh_body_put_uint(&w, msg->version);
	if (is_config)
		put_config(&w, msg);
	if (w.overflow) {
		g_free(data);
		return NULL;
	}
	return g_bytes_new_take(data, w.used);
}

static void get_config(bsh_body_reader_t *r, bsh_adoption_message_t *msg)
{
	bsh_body_reader_t names;
	const void *data;
	size_t size;

	msg->from = bsh_body_uint(r, UINT64_MAX);
	msg->hash = bsh_body_uint(r, UINT64_MAX);
	names = bsh_body_array(r, BSH_WITNESSES_MAX);
	for (uint32_t i = 0; i < names.n; i++)
		bsh_body_string(&names, msg->witnesses[i], BSH_NAME_SIZE);
	msg->n_witnesses = names.n;
	if (!bsh_body_is_complete(&names))
		r->bad = true;
	data = bsh_body_bytes(r, &size);
	if (size > BSH_ADOPTION_DOCUMENT_MAX_BYTES)
		r->bad = true;
	if (!r->bad)
		msg->body = g_bytes_new(data, size);
}

bsh_error_t bsh_adoption_message_decode(bsh_adoption_message_t *msg,
					const uint8_t *buf, size_t size)
{
	bsh_body_reader_t r;
	msgpack_zone zone;
	bsh_error_t err = BSH_ERR_INVALID;

	bsh_counter_register(&malformed);
	memset(msg, 0, sizeof(*msg));
	if (size > HEADER_MAX_BYTES + BSH_ADOPTION_DOCUMENT_MAX_BYTES) {
		bsh_counter_add(&malformed, 1);
		return BSH_ERR_TOO_LARGE;
	}
	if (!msgpack_zone_init(&zone, 1024))
		return BSH_ERR_SYSTEM;
	if (!bsh_body_open(&r, &zone, buf, size))
		goto out;
	msg->kind =
		(bsh_adoption_kind_t)bsh_body_uint(&r, BSH_ADOPTION_KINDS - 1);
	msg->sequence = bsh_body_uint(&r, UINT64_MAX);
	msg->generation = bsh_body_uint(&r, UINT64_MAX);
	msg->settled = bsh_body_uint(&r, UINT64_MAX);
	msg->confirm_age_ms = (uint32_t)bsh_body_uint(&r, UINT32_MAX);
	msg->vote = bsh_body_uint(&r, 1) != 0;
	msg->confirm = bsh_body_uint(&r, 1) != 0;
	msg->accepted = bsh_body_uint(&r, 1) != 0;
	msg->version = bsh_body_uint(&r, UINT64_MAX);
	if (!r.bad && msg->kind == BSH_ADOPTION_CONFIG)
		get_config(&r, msg);
	if (bsh_body_is_complete(&r))
		err = BSH_OK;
out:
	msgpack_zone_destroy(&zone);
	if (err != BSH_OK) {
		bsh_adoption_message_finish(msg);
		bsh_counter_add(&malformed, 1);
	}
	return err;
}

void bsh_adoption_message_finish(bsh_adoption_message_t *msg)
{
	bsh_bytes_clear(&msg->body);
}
