#include "protocol/body.h"

#include <string.h>

static int append(void *ctx, const char *data, size_t size)
{
	bsh_body_writer_t *w = ctx;

	if (w->overflow || size > w->size - w->used) {
		w->overflow = true;
		return -1;
	}
	memcpy(w->data + w->used, data, size);
	w->used += size;
	return 0;
}

void bsh_body_writer_init(bsh_body_writer_t *w, uint8_t *data, size_t size)
{
	w->data = data;
	w->size = size;
	w->used = 0;
	w->overflow = false;
	msgpack_packer_init(&w->packer, w, append);
}

void bsh_body_put_uint(bsh_body_writer_t *w, uint64_t value)
{
	msgpack_pack_uint64(&w->packer, value);
}

void bsh_body_put_string(bsh_body_writer_t *w, const char *text)
{
	size_t length = strlen(text);

	msgpack_pack_str(&w->packer, length);
	msgpack_pack_str_body(&w->packer, text, length);
}

void bsh_body_put_bytes(bsh_body_writer_t *w, const void *data, size_t size)
{
	msgpack_pack_bin(&w->packer, size);
	msgpack_pack_bin_body(&w->packer, data, size);
}

void bsh_body_put_array(bsh_body_writer_t *w, size_t n)
{
	msgpack_pack_array(&w->packer, n);
}

static size_t big_endian(const uint8_t *data, size_t size)
{
	size_t value = 0;

	for (size_t i = 0; i < size; i++)
		value = value << 8 | data[i];
	return value;
}

/*
 * Size of the token at the start of data, or 0 if its type is not one that the
 * writer uses or its header is truncated.  For an array this is the size of the
 * header, and *elements is the number of elements that follow.
 */
static size_t token_size(const uint8_t *data, size_t size, size_t *elements)
{
	size_t width;

	*elements = 0;
	if (data[0] <= 0x7f) /* positive fixint */
		return 1;
	if (data[0] >= 0xcc && data[0] <= 0xcf) /* uint 8 to 64 */
		return 1 + ((size_t)1 << (data[0] - 0xcc));
	if ((data[0] & 0xf0) == 0x90) { /* fixarray */
		*elements = data[0] & 0x0f;
		return 1;
	}
	if ((data[0] & 0xe0) == 0xa0) /* fixstr */
		return 1 + (size_t)(data[0] & 0x1f);
	if (data[0] >= 0xc4 && data[0] <= 0xc6) /* bin 8 to 32 */
		width = (size_t)1 << (data[0] - 0xc4);
	else if (data[0] >= 0xd9 && data[0] <= 0xdb) /* str 8 to 32 */
		width = (size_t)1 << (data[0] - 0xd9);
	else if (data[0] == 0xdc || data[0] == 0xdd) /* array 16, 32 */
		width = data[0] == 0xdc ? 2 : 4;
	else
		return 0;
	if (size < 1 + width)
		return 0;
	if (data[0] >= 0xdc) {
		*elements = big_endian(data + 1, width);
		return 1 + width;
	}
	return 1 + width + big_endian(data + 1, width);
}

/*
 * Checks the lengths before unpacking: msgpack-c allocates all elements of an
 * array before it reads them, so a few malformed bytes could make it allocate
 * gigabytes.  Each element takes at least one byte of the input.
 */
static bool has_valid_lengths(const uint8_t *data, size_t size)
{
	size_t expected = 1;

	while (expected > 0) {
		size_t elements;
		size_t token;

		if (expected > size)
			return false;
		token = token_size(data, size, &elements);
		if (token == 0 || token > size)
			return false;
		data += token;
		size -= token;
		expected += elements - 1;
	}
	return size == 0;
}

bool bsh_body_open(bsh_body_reader_t *r, msgpack_zone *zone,
		   const uint8_t *data, size_t size)
{
	msgpack_object object;
	size_t offset = 0;

	memset(r, 0, sizeof(*r));
	r->bad = true;
	if (!has_valid_lengths(data, size))
		return false;
	if (msgpack_unpack((const char *)data, size, &offset, zone, &object) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    offset != size || object.type != MSGPACK_OBJECT_ARRAY)
		return false;
	r->items = object.via.array.ptr;
	r->n = object.via.array.size;
	r->bad = false;
	return true;
}

static const msgpack_object *next_element(bsh_body_reader_t *r,
					  msgpack_object_type type)
{
	const msgpack_object *object;

	if (r->bad || r->next >= r->n) {
		r->bad = true;
		return NULL;
	}
	object = &r->items[r->next++];
	if (object->type != type) {
		r->bad = true;
		return NULL;
	}
	return object;
}

uint64_t bsh_body_uint(bsh_body_reader_t *r, uint64_t max)
{
	const msgpack_object *object =
		next_element(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (object == NULL)
		return 0;
	if (object->via.u64 > max) {
		r->bad = true;
		return 0;
	}
	return object->via.u64;
}

void bsh_body_string(bsh_body_reader_t *r, char *out, size_t size)
{
	const msgpack_object *object = next_element(r, MSGPACK_OBJECT_STR);

	out[0] = '\0';
	if (object == NULL)
		return;
	if (object->via.str.size >= size ||
	    memchr(object->via.str.ptr, '\0', object->via.str.size) != NULL) {
		r->bad = true;
		return;
	}
	memcpy(out, object->via.str.ptr, object->via.str.size);
	out[object->via.str.size] = '\0';
}

const void *bsh_body_bytes(bsh_body_reader_t *r, size_t *size)
{
	const msgpack_object *object = next_element(r, MSGPACK_OBJECT_BIN);

	*size = object != NULL ? object->via.bin.size : 0;
	return object != NULL ? object->via.bin.ptr : NULL;
}

bsh_body_reader_t bsh_body_array(bsh_body_reader_t *r, uint32_t max)
{
	const msgpack_object *object = next_element(r, MSGPACK_OBJECT_ARRAY);
	bsh_body_reader_t inner = { .bad = true };

	if (object == NULL)
		return inner;
	if (object->via.array.size > max) {
		r->bad = true;
		return inner;
	}
	inner.items = object->via.array.ptr;
	inner.n = object->via.array.size;
	inner.bad = false;
	return inner;
}

bool bsh_body_is_complete(const bsh_body_reader_t *r)
{
	return !r->bad && r->next == r->n;
}
