#include "protocol/member_message.h"

#include <glib.h>
#include <string.h>

#include "base/counter.h"
#include "protocol/body.h"

#define FLAG_LEAVING 0x08u
#define FLAG_PLACE   0x10u
#define STATE_MASK   0x07u
#define FLAGS_MAX    0x1fu

/* Size of a packed array header of up to 65,535 elements. */
#define ARRAY_HEADER_BYTES 3

static bsh_counter_t malformed =
	BSH_COUNTER("bsh_member_message_malformed_total",
		    "Membership datagrams that could not be decoded.");

/*
 * The addresses of an instance usually have the same IP address; the second and
 * third are then encoded as ":port".
 */
static size_t host_length(const char *address)
{
	const char *colon = strrchr(address, ':');

	return colon != NULL ? (size_t)(colon - address) : 0;
}

static const char *short_address(const char *address, const char *base)
{
	size_t length = host_length(base);

	if (length > 0 && host_length(address) == length &&
	    strncmp(address, base, length) == 0)
		return address + length;
	return address;
}

static void put_place(bsh_body_writer_t *w, const bsh_member_place_t *place)
{
	bsh_body_put_string(w, place->zone);
	bsh_body_put_string(w, place->gossip);
	bsh_body_put_string(w, short_address(place->link, place->gossip));
	bsh_body_put_string(w, short_address(place->entry, place->gossip));
}

static void put_update(bsh_body_writer_t *w, const bsh_member_update_t *u)
{
	uint32_t flags;

	switch (u->type) {
	case BSH_UPDATE_TARGET:
	case BSH_UPDATE_CELL:
		bsh_body_put_array(w, 4);
		break;
	default:
		bsh_body_put_array(w, u->has_place ? 9 : 5);
		break;
	}
	bsh_body_put_uint(w, u->type);
	bsh_body_put_string(w, u->name);
	bsh_body_put_uint(w, u->incarnation);
	if (u->type == BSH_UPDATE_CELL)
		bsh_body_put_string(w, u->owner);
	if (u->type == BSH_UPDATE_TARGET)
		bsh_body_put_uint(w, u->revision);
	if (u->type != BSH_UPDATE_MEMBER)
		return;
	flags = (uint32_t)u->state | (u->leaving ? FLAG_LEAVING : 0) |
		(u->has_place ? FLAG_PLACE : 0);
	bsh_body_put_uint(w, u->revision);
	bsh_body_put_uint(w, flags);
	if (u->has_place)
		put_place(w, &u->place);
}

size_t bsh_member_update_bytes(const bsh_member_update_t *u)
{
	/* Array header 1, type 1, incarnation 9; each string has a header of
	 * two bytes. */
	size_t n = 1 + 1 + 2 + strlen(u->name) + 9;

	if (u->type == BSH_UPDATE_CELL)
		n += 2 + strlen(u->owner);
	n += 5 + 1; /* revision 5, flags 1 */
	if (u->type != BSH_UPDATE_MEMBER)
		return n;
	if (u->has_place)
		n += 8 + strlen(u->place.zone) + strlen(u->place.gossip) +
		     strlen(short_address(u->place.link, u->place.gossip)) +
		     strlen(short_address(u->place.entry, u->place.gossip));
	return n;
}

static void put_header(bsh_body_writer_t *w, const bsh_member_message_t *msg)
{
	uint32_t n_digests = msg->kind == BSH_MEMBER_SYNC_REQUEST
				     ? BSH_MEMBER_SYNC_BUCKETS
				     : 0;

	bsh_body_put_array(w, 10);
	bsh_body_put_uint(w, msg->kind);
	bsh_body_put_uint(w, msg->sequence);
	bsh_body_put_string(w, msg->target);
	bsh_body_put_uint(w, msg->generation);
	bsh_body_put_uint(w, msg->hash);
	bsh_body_put_uint(w, msg->confirm_age_ms);
	bsh_body_put_uint(w, msg->leaving_digest);
	bsh_body_put_uint(w, msg->cursor);
	bsh_body_put_array(w, n_digests);
	for (uint32_t i = 0; i < n_digests; i++)
		bsh_body_put_uint(w, msg->digests[i]);
}

size_t bsh_member_message_encode(const bsh_member_message_t *msg, uint8_t *buf,
				 size_t size, uint32_t *n_written)
{
	uint8_t packed[BSH_MEMBER_DATAGRAM_MAX_BYTES];
	bsh_body_writer_t writer;
	bsh_body_writer_t updates;
	uint32_t n = 0;
	size_t used = 0;
	size_t space_bytes;

	if (n_written != NULL)
		*n_written = 0;
	bsh_body_writer_init(&writer, buf, size);
	put_header(&writer, msg);
	if (writer.overflow || size - writer.used < ARRAY_HEADER_BYTES)
		return 0;
	space_bytes =
		MIN(size - writer.used - ARRAY_HEADER_BYTES, sizeof(packed));
	bsh_body_writer_init(&updates, packed, space_bytes);
	while (n < MIN(msg->n_updates, BSH_MEMBER_UPDATES_MAX)) {
		put_update(&updates, &msg->updates[n]);
		if (updates.overflow)
			break;
		used = updates.used;
		n++;
	}
	bsh_body_put_array(&writer, n);
	memcpy(buf + writer.used, packed, used);
	if (n_written != NULL)
		*n_written = n;
	return writer.used + used;
}

static void get_address(bsh_body_reader_t *r, char *out, const char *base)
{
	char text[BSH_ADDRESS_SIZE];
	size_t length = 0;

	bsh_body_string(r, text, sizeof(text));
	if (text[0] == ':')
		length = host_length(base);
	if (length + strlen(text) >= BSH_ADDRESS_SIZE) {
		r->bad = true;
		out[0] = '\0';
		return;
	}
	memcpy(out, base, length);
	g_strlcpy(out + length, text, BSH_ADDRESS_SIZE - length);
}

static void get_member(bsh_body_reader_t *r, bsh_member_update_t *u)
{
	uint32_t flags;

	u->revision = (uint32_t)bsh_body_uint(r, UINT32_MAX);
	flags = (uint32_t)bsh_body_uint(r, FLAGS_MAX);
	if ((flags & STATE_MASK) >= BSH_MEMBER_STATES)
		r->bad = true;
	u->state = (bsh_member_state_t)(flags & STATE_MASK);
	u->leaving = (flags & FLAG_LEAVING) != 0;
	u->has_place = (flags & FLAG_PLACE) != 0;
	if (!u->has_place)
		return;
	bsh_body_string(r, u->place.zone, sizeof(u->place.zone));
	bsh_body_string(r, u->place.gossip, sizeof(u->place.gossip));
	get_address(r, u->place.link, u->place.gossip);
	get_address(r, u->place.entry, u->place.gossip);
}

static bool get_update(bsh_body_reader_t *outer, bsh_member_update_t *u)
{
	bsh_body_reader_t r = bsh_body_array(outer, 9);

	memset(u, 0, sizeof(*u));
	u->type = (bsh_update_type_t)bsh_body_uint(&r, BSH_UPDATE_TYPES - 1);
	bsh_body_string(&r, u->name, sizeof(u->name));
	u->incarnation = bsh_body_uint(&r, UINT64_MAX);
	if (u->type == BSH_UPDATE_CELL)
		bsh_body_string(&r, u->owner, sizeof(u->owner));
	if (u->type == BSH_UPDATE_TARGET)
		u->revision = (uint32_t)bsh_body_uint(&r, UINT32_MAX);
	if (u->type == BSH_UPDATE_MEMBER)
		get_member(&r, u);
	return bsh_body_is_complete(&r) && u->name[0] != '\0';
}

static bool get_message(bsh_body_reader_t *r, bsh_member_message_t *msg)
{
	bsh_body_reader_t list;

	msg->kind = (bsh_member_kind_t)bsh_body_uint(r, BSH_MEMBER_KINDS - 1);
	msg->sequence = bsh_body_uint(r, UINT64_MAX);
	bsh_body_string(r, msg->target, sizeof(msg->target));
	msg->generation = bsh_body_uint(r, UINT64_MAX);
	msg->hash = bsh_body_uint(r, UINT64_MAX);
	msg->confirm_age_ms = (uint32_t)bsh_body_uint(r, UINT32_MAX);
	msg->leaving_digest = (uint32_t)bsh_body_uint(r, UINT32_MAX);
	msg->cursor = bsh_body_uint(r, UINT64_MAX);
	list = bsh_body_array(r, BSH_MEMBER_SYNC_BUCKETS);
	if (list.n != (msg->kind == BSH_MEMBER_SYNC_REQUEST
			       ? BSH_MEMBER_SYNC_BUCKETS
			       : 0))
		return false;
	for (uint32_t i = 0; i < list.n; i++)
		msg->digests[i] = (uint32_t)bsh_body_uint(&list, UINT32_MAX);
	if (!bsh_body_is_complete(&list))
		return false;
	list = bsh_body_array(r, BSH_MEMBER_UPDATES_MAX);
	for (uint32_t i = 0; i < list.n; i++) {
		if (!get_update(&list, &msg->updates[i]))
			return false;
	}
	msg->n_updates = list.n;
	return bsh_body_is_complete(&list) && bsh_body_is_complete(r);
}

bsh_error_t bsh_member_message_decode(bsh_member_message_t *msg,
				      const uint8_t *buf, size_t size)
{
	bsh_body_reader_t reader;
	msgpack_zone zone;
	bsh_error_t err = BSH_ERR_INVALID;

	bsh_counter_register(&malformed);
	msg->n_updates = 0;
	if (size > BSH_MEMBER_BODY_MAX_BYTES) {
		bsh_counter_add(&malformed, 1);
		return BSH_ERR_TOO_LARGE;
	}
	if (!msgpack_zone_init(&zone, 2048))
		return BSH_ERR_SYSTEM;
	if (bsh_body_open(&reader, &zone, buf, size) &&
	    get_message(&reader, msg))
		err = BSH_OK;
	msgpack_zone_destroy(&zone);
	if (err != BSH_OK)
		bsh_counter_add(&malformed, 1);
	return err;
}
