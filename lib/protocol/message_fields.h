#ifndef BSH_PROTOCOL_MESSAGE_FIELDS_H
#define BSH_PROTOCOL_MESSAGE_FIELDS_H

#include "protocol/message.h"

/* Tables that describe the fields of each message in wire order; encoder and
 * decoder are both driven by them. */
typedef enum {
	FIELD_END = 0,
	FIELD_U32,
	FIELD_U64,
	FIELD_BOOL,
	FIELD_STRING,
	FIELD_BYTES, /* array of exactly `limit` bytes */
	FIELD_BLOB,  /* pointer, and uint32_t size at count_offset */
	FIELD_LIST   /* pointer, and uint32_t count at count_offset */
} field_kind_t;

typedef struct field {
	field_kind_t kind;
	uint16_t offset;
	uint16_t count_offset;
	uint32_t low;		     /* FIELD_U32: lowest value allowed */
	uint32_t limit;		     /* highest value, size or count allowed */
	const struct field *element; /* FIELD_LIST: fields of an element */
	uint16_t element_size;	     /* FIELD_LIST: bytes of its struct */
} field_t;

/* Name of a type of message, and the fields of its body. */
typedef struct {
	const char *name;
	const field_t *fields;
} message_type_t;

extern const message_type_t bsh_message_types[BSH_MSG_TYPE_END];

#endif
