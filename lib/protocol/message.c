#include "protocol/message.h"

#include <msgpack.h>
#include <string.h>

#include "protocol/message_fields.h"
#include "transport/frame_link.h"

const char *bsh_message_name(bsh_message_type_t type)
{
	if (type < BSH_MSG_HELLO || type >= BSH_MSG_TYPE_END)
		return "?";
	return bsh_message_types[type].name;
}

static uint32_t field_count(const field_t *fields)
{
	uint32_t n = 0;

	while (fields[n].kind != FIELD_END)
		n++;
	return n;
}

static void pack_string(msgpack_packer *packer, const char *text)
{
	size_t length = text != NULL ? strlen(text) : 0;

	msgpack_pack_str(packer, length);
	if (length > 0)
		msgpack_pack_str_body(packer, text, length);
}

static void pack_bytes(msgpack_packer *packer, const void *data, size_t n)
{
	msgpack_pack_bin(packer, n);
	if (n > 0)
		msgpack_pack_bin_body(packer, data, n);
}

static bsh_error_t pack_fields(msgpack_packer *packer, const field_t *fields,
			       const char *base);

static bsh_error_t pack_list(msgpack_packer *packer, const field_t *field,
			     const char *elements, uint32_t count)
{
	uint32_t width = field_count(field->element);
	bsh_error_t err = BSH_OK;

	msgpack_pack_array(packer, count);
	for (uint32_t i = 0; i < count && err == BSH_OK; i++) {
		msgpack_pack_array(packer, width);
		err = pack_fields(packer, field->element,
				  elements + (size_t)i * field->element_size);
	}
	return err;
}

static bsh_error_t pack_counted(msgpack_packer *packer, const field_t *field,
				const char *base)
{
	const char *data = *(const char *const *)(base + field->offset);
	uint32_t count = *(const uint32_t *)(base + field->count_offset);

	if (count > field->limit)
		return BSH_ERR_TOO_LARGE;
	if (field->kind == FIELD_LIST)
		return pack_list(packer, field, data, count);
	pack_bytes(packer, data, count);
	return BSH_OK;
}

static bsh_error_t pack_field(msgpack_packer *packer, const field_t *field,
			      const char *base)
{
	const char *at = base + field->offset;

	switch (field->kind) {
	case FIELD_U32:
		msgpack_pack_uint32(packer, *(const uint32_t *)at);
		break;
	case FIELD_U64:
		msgpack_pack_uint64(packer, *(const uint64_t *)at);
		break;
	case FIELD_BOOL:
		if (*(const bool *)at)
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		break;
	case FIELD_STRING:
		pack_string(packer, *(const char *const *)at);
		break;
	case FIELD_BYTES:
		pack_bytes(packer, at, field->limit);
		break;
	case FIELD_BLOB:
	case FIELD_LIST:
		return pack_counted(packer, field, base);
	case FIELD_END:
		return BSH_ERR_INTERNAL;
	}
	return BSH_OK;
}

static bsh_error_t pack_fields(msgpack_packer *packer, const field_t *fields,
			       const char *base)
{
	bsh_error_t err = BSH_OK;

	for (; fields->kind != FIELD_END && err == BSH_OK; fields++)
		err = pack_field(packer, fields, base);
	return err;
}

bsh_error_t bsh_message_encode(const bsh_message_t *message, char **data,
			       size_t *size_bytes)
{
	const field_t *fields = bsh_message_types[message->type].fields;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	bsh_error_t err;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 5 + field_count(fields));
	msgpack_pack_uint32(&packer, message->type);
	msgpack_pack_int64(&packer, message->stamp.physical_us);
	msgpack_pack_uint32(&packer, message->stamp.logical);
	pack_string(&packer, message->sender);
	msgpack_pack_uint64(&packer, message->incarnation);
	err = pack_fields(&packer, fields, (const char *)&message->hello);
	/* A seal of 24 bytes precedes the message in a frame. */
	if (err == BSH_OK && buffer.size + 24 > BSH_FRAME_MAX_BYTES)
		err = BSH_ERR_TOO_LARGE;
	if (err != BSH_OK) {
		msgpack_sbuffer_destroy(&buffer);
		return err;
	}
	*size_bytes = buffer.size;
	*data = msgpack_sbuffer_release(&buffer);
	return BSH_OK;
}

static bool read_string(msgpack_zone *zone, const msgpack_object *o,
			const char **out)
{
	char *copy;

	if (o->type != MSGPACK_OBJECT_STR ||
	    (o->via.str.size > 0 &&
	     memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL))
		return false;
	copy = msgpack_zone_malloc(zone, (size_t)o->via.str.size + 1);
	if (copy == NULL)
		return false;
	if (o->via.str.size > 0)
		memcpy(copy, o->via.str.ptr, o->via.str.size);
	copy[o->via.str.size] = '\0';
	*out = copy;
	return true;
}

static bool read_fields(msgpack_zone *zone, const field_t *fields,
			const msgpack_object *objects, uint32_t count,
			char *base);

static bool read_list(msgpack_zone *zone, const field_t *field,
		      const msgpack_object *o, char *base)
{
	uint32_t count;
	char *elements;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > field->limit)
		return false;
	count = o->via.array.size;
	elements = msgpack_zone_malloc(zone,
				       (size_t)count * field->element_size + 1);
	if (elements == NULL)
		return false;
	memset(elements, 0, (size_t)count * field->element_size);
	for (uint32_t i = 0; i < count; i++) {
		const msgpack_object *e = &o->via.array.ptr[i];

		if (e->type != MSGPACK_OBJECT_ARRAY ||
		    !read_fields(zone, field->element, e->via.array.ptr,
				 e->via.array.size,
				 elements + (size_t)i * field->element_size))
			return false;
	}
	*(char **)(base + field->offset) = elements;
	*(uint32_t *)(base + field->count_offset) = count;
	return true;
}

static bool read_u64(const msgpack_object *o, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
	return true;
}

static bool read_u32(const msgpack_object *o, uint64_t low, uint64_t high,
		     uint32_t *out)
{
	uint64_t value;

	if (!read_u64(o, &value) || value < low || value > high)
		return false;
	*out = (uint32_t)value;
	return true;
}

static bool read_blob(msgpack_zone *zone, const field_t *field,
		      const msgpack_object *o, char *base)
{
	char *copy;

	if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size > field->limit)
		return false;
	copy = msgpack_zone_malloc(zone, (size_t)o->via.bin.size + 1);
	if (copy == NULL)
		return false;
	if (o->via.bin.size > 0)
		memcpy(copy, o->via.bin.ptr, o->via.bin.size);
	*(const char **)(base + field->offset) = copy;
	*(uint32_t *)(base + field->count_offset) = o->via.bin.size;
	return true;
}

static bool read_field(msgpack_zone *zone, const field_t *field,
		       const msgpack_object *o, char *base)
{
	char *at = base + field->offset;

	switch (field->kind) {
	case FIELD_U32:
		return read_u32(o, field->low, field->limit, (uint32_t *)at);
	case FIELD_U64:
		return read_u64(o, (uint64_t *)at);
	case FIELD_BOOL:
		if (o->type != MSGPACK_OBJECT_BOOLEAN)
			return false;
		*(bool *)at = o->via.boolean;
		return true;
	case FIELD_STRING:
		return read_string(zone, o, (const char **)at);
	case FIELD_BYTES:
		if (o->type != MSGPACK_OBJECT_BIN ||
		    o->via.bin.size != field->limit)
			return false;
		memcpy(at, o->via.bin.ptr, field->limit);
		return true;
	case FIELD_BLOB:
		return read_blob(zone, field, o, base);
	case FIELD_LIST:
		return read_list(zone, field, o, base);
	case FIELD_END:
		break;
	}
	return false;
}

static bool read_fields(msgpack_zone *zone, const field_t *fields,
			const msgpack_object *objects, uint32_t count,
			char *base)
{
	if (count != field_count(fields))
		return false;
	for (uint32_t i = 0; i < count; i++) {
		if (!read_field(zone, &fields[i], &objects[i], base))
			return false;
	}
	return true;
}

static bool read_message(msgpack_zone *zone, const msgpack_object *o,
			 bsh_message_t *message)
{
	const msgpack_object *items = o->via.array.ptr;
	uint32_t type;
	uint64_t physical;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 5 ||
	    !read_u32(&items[0], BSH_MSG_HELLO, BSH_MSG_TYPE_END - 1, &type) ||
	    !read_u64(&items[1], &physical) || physical > INT64_MAX ||
	    !read_u32(&items[2], 0, UINT32_MAX, &message->stamp.logical) ||
	    !read_string(zone, &items[3], &message->sender) ||
	    !read_u64(&items[4], &message->incarnation))
		return false;
	message->type = (bsh_message_type_t)type;
	message->stamp.physical_us = (int64_t)physical;
	return read_fields(zone, bsh_message_types[type].fields, items + 5,
			   o->via.array.size - 5, (char *)&message->hello);
}

bsh_error_t bsh_message_decode(bsh_message_t *message, const char *data,
			       size_t size_bytes)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bsh_error_t err = BSH_ERR_INVALID;

	memset(message, 0, sizeof(*message));
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, size_bytes, &offset) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    offset == size_bytes && unpacked.zone != NULL &&
	    read_message(unpacked.zone, &unpacked.data, message)) {
		message->memory = msgpack_unpacked_release_zone(&unpacked);
		err = BSH_OK;
	}
	msgpack_unpacked_destroy(&unpacked);
	return err;
}

void bsh_message_finish(bsh_message_t *message)
{
	if (message->memory != NULL)
		msgpack_zone_free(message->memory);
	message->memory = NULL;
}
