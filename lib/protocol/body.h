#ifndef BSH_PROTOCOL_BODY_H
#define BSH_PROTOCOL_BODY_H

/*
 * NAME
 *	body - bounded msgpack writer and checked msgpack reader
 *
 * DESCRIPTION
 *	The writer packs into memory of the caller and remembers an
 *	overflow.  The reader walks over the elements of one array; the first
 *	element of a wrong type or size, or a missing one, marks it as bad,
 *	and every later read gives zero.
 */

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
	uint8_t *data;
	size_t size;
	size_t used;
	bool overflow;
	msgpack_packer packer;
} bsh_body_writer_t;

void bsh_body_writer_init(bsh_body_writer_t *w, uint8_t *data, size_t size);
void bsh_body_put_uint(bsh_body_writer_t *w, uint64_t value);
void bsh_body_put_string(bsh_body_writer_t *w, const char *text);
void bsh_body_put_bytes(bsh_body_writer_t *w, const void *data, size_t size);
void bsh_body_put_array(bsh_body_writer_t *w, size_t n);

typedef struct {
	const msgpack_object *items;
	uint32_t n;
	uint32_t next;
	bool bad;
} bsh_body_reader_t;

/*
 * bsh_body_open - unpack one array that fills data exactly.  zone is
 * initialised by the caller and holds the objects.
 */
bool bsh_body_open(bsh_body_reader_t *r, msgpack_zone *zone,
		   const uint8_t *data, size_t size);

/* bsh_body_uint - next element; bad when above max. */
uint64_t bsh_body_uint(bsh_body_reader_t *r, uint64_t max);

/* bsh_body_string - next element; bad when it has a NUL or does not fit. */
void bsh_body_string(bsh_body_reader_t *r, char *out, size_t size);

/* bsh_body_bytes - next element, pointing into the unpacked data. */
const void *bsh_body_bytes(bsh_body_reader_t *r, size_t *size);

/* bsh_body_array - next element; bad when longer than max. */
bsh_body_reader_t bsh_body_array(bsh_body_reader_t *r, uint32_t max);

/* bsh_body_is_complete - true if all elements were read and none was bad. */
bool bsh_body_is_complete(const bsh_body_reader_t *r);

#endif
