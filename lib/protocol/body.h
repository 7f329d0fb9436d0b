#ifndef BSH_PROTOCOL_BODY_H
#define BSH_PROTOCOL_BODY_H

/*
 * NAME
 *	body - bounded msgpack writer and validating msgpack reader
 *
 * DESCRIPTION
 *	The writer packs into a buffer of the caller and sets `overflow` if
 *	something does not fit.  The reader returns the elements of one array
 *	in order.  An element that is missing or has the wrong type or size
 *	sets `bad`; this and every later read return zero or an empty value,
 *	so that errors need to be checked only once, at the end.
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
 * bsh_body_open - unpack data, which must be exactly one array; false if it is
 * not.  zone is initialised by the caller and must outlive the reader.
 */
bool bsh_body_open(bsh_body_reader_t *r, msgpack_zone *zone,
		   const uint8_t *data, size_t size);

/* bsh_body_uint - next element, an integer; bad if above max. */
uint64_t bsh_body_uint(bsh_body_reader_t *r, uint64_t max);

/* bsh_body_string - next element, a string; bad if it contains a NUL byte or
 * does not fit. */
void bsh_body_string(bsh_body_reader_t *r, char *out, size_t size);

/* bsh_body_bytes - next element, binary; points into the unpacked data. */
const void *bsh_body_bytes(bsh_body_reader_t *r, size_t *size);

/* bsh_body_array - next element, an array; bad if longer than max. */
bsh_body_reader_t bsh_body_array(bsh_body_reader_t *r, uint32_t max);

/* bsh_body_is_complete - true if all elements were read and none was bad. */
bool bsh_body_is_complete(const bsh_body_reader_t *r);

#endif
