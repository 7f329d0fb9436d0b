#include "protocol/message.h"

#include <msgpack.h>
#include <string.h>

#include "transport/frame_link.h"

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

#define ENUM(t, f, lo, hi)                                                     \
	{                                                                      \
		.kind = FIELD_U32, .offset = offsetof(t, f), .low = (lo),      \
		.limit = (hi)                                                  \
	}
#define U32(t, f) ENUM(t, f, 0, UINT32_MAX)
#define FIELD(k, t, f)                                                         \
	{                                                                      \
		.kind = (k), .offset = offsetof(t, f)                          \
	}
#define U64(t, f)    FIELD(FIELD_U64, t, f)
#define BOOL(t, f)   FIELD(FIELD_BOOL, t, f)
#define STRING(t, f) FIELD(FIELD_STRING, t, f)
#define BYTES(t, f)                                                            \
	{                                                                      \
		.kind = FIELD_BYTES, .offset = offsetof(t, f),                 \
		.limit = sizeof(((t *)0)->f)                                   \
	}
#define BLOB(t, f, n, max)                                                     \
	{                                                                      \
		.kind = FIELD_BLOB, .offset = offsetof(t, f),                  \
		.count_offset = offsetof(t, n), .limit = (max)                 \
	}
#define LIST(t, f, n, e, et)                                                   \
	{                                                                      \
		.kind = FIELD_LIST, .offset = offsetof(t, f),                  \
		.count_offset = offsetof(t, n), .element = (e),                \
		.element_size = sizeof(et), .limit = BSH_MESSAGE_LIST_MAX      \
	}
#define END                                                                    \
	{                                                                      \
		.kind = FIELD_END                                              \
	}

static const field_t hello_fields[] = {
	BYTES(bsh_msg_hello_t, nonce),
	ENUM(bsh_msg_hello_t, role, BSH_ROLE_CONTROLLER, BSH_ROLE_ROUTER),
	STRING(bsh_msg_hello_t, address), END
};

static const field_t body_fields[] = {
	BLOB(bsh_msg_body_t, body, body_bytes, BSH_FRAME_MAX_BYTES), END
};

static const field_t config_fields[] = { U64(bsh_msg_config_t, generation),
					 U64(bsh_msg_config_t, hash),
					 STRING(bsh_msg_config_t, text), END };

static const field_t route_fields[] = { STRING(bsh_route_entry_t, name),
					BOOL(bsh_route_entry_t, is_service),
					STRING(bsh_route_entry_t, target),
					U64(bsh_route_entry_t,
					    target_incarnation),
					STRING(bsh_route_entry_t, address),
					STRING(bsh_route_entry_t, zone),
					BOOL(bsh_route_entry_t, leaving),
					U32(bsh_route_entry_t, max_running),
					END };

static const field_t routes_fields[] = { STRING(bsh_msg_routes_t, cell),
					 U64(bsh_msg_routes_t, epoch),
					 U64(bsh_msg_routes_t, sequence),
					 LIST(bsh_msg_routes_t, entries,
					      entry_count, route_fields,
					      bsh_route_entry_t),
					 END };

static const field_t need_fields[] = {
	U64(bsh_msg_need_t, id),	  STRING(bsh_msg_need_t, model),
	U64(bsh_msg_need_t, deadline_ms), ENUM(bsh_msg_need_t, priority, 0, 9),
	U32(bsh_msg_need_t, waiting),	  END
};

static const field_t need_answer_fields[] = {
	U64(bsh_msg_need_answer_t, id),
	STRING(bsh_msg_need_answer_t, model),
	ENUM(bsh_msg_need_answer_t, verdict, BSH_NEED_READY, BSH_NEED_END - 1),
	U64(bsh_msg_need_answer_t, estimate_ms),
	U64(bsh_msg_need_answer_t, retry_after_ms),
	ENUM(bsh_msg_need_answer_t, error, BSH_OK, BSH_ERR_COUNT - 1),
	END
};

static const field_t report_entry_fields[] = {
	STRING(bsh_report_entry_t, model),
	STRING(bsh_report_entry_t, target),
	U64(bsh_report_entry_t, target_incarnation),
	U32(bsh_report_entry_t, started),
	U32(bsh_report_entry_t, running),
	U32(bsh_report_entry_t, waiting),
	END
};

static const field_t report_fields[] = { LIST(bsh_msg_report_t, entries,
					      entry_count, report_entry_fields,
					      bsh_report_entry_t),
					 END };

static const field_t intent_fields[] = {
	U64(bsh_msg_intent_t, id),	  STRING(bsh_msg_intent_t, service),
	STRING(bsh_msg_intent_t, key),	  BYTES(bsh_msg_intent_t, digest),
	BYTES(bsh_msg_intent_t, attempt), END
};

static const field_t intent_answer_fields[] = {
	U64(bsh_msg_intent_answer_t, id),
	ENUM(bsh_msg_intent_answer_t, verdict, BSH_VERDICT_RUN,
	     BSH_VERDICT_END - 1),
	U64(bsh_msg_intent_answer_t, retry_after_ms),
	U32(bsh_msg_intent_answer_t, status),
	STRING(bsh_msg_intent_answer_t, content_type),
	BLOB(bsh_msg_intent_answer_t, body, body_bytes,
	     BSH_INTENT_BODY_MAX_BYTES),
	END
};

static const field_t intent_done_fields[] = {
	STRING(bsh_msg_intent_done_t, service),
	STRING(bsh_msg_intent_done_t, key),
	BYTES(bsh_msg_intent_done_t, digest),
	BYTES(bsh_msg_intent_done_t, attempt),
	ENUM(bsh_msg_intent_done_t, outcome, BSH_OUTCOME_NOT_RUN,
	     BSH_OUTCOME_UNKNOWN),
	U32(bsh_msg_intent_done_t, status),
	STRING(bsh_msg_intent_done_t, content_type),
	BLOB(bsh_msg_intent_done_t, body, body_bytes,
	     BSH_INTENT_BODY_MAX_BYTES),
	BOOL(bsh_msg_intent_done_t, body_too_large),
	END
};

static const field_t fresh_fields[] = { U64(bsh_msg_fresh_t, generation),
					BOOL(bsh_msg_fresh_t, confirmed),
					U64(bsh_msg_fresh_t, remaining_ms),
					END };

static const field_t drain_fields[] = {
	ENUM(bsh_msg_drain_t, phase, BSH_PHASE_BEGIN, BSH_PHASE_END - 1),
	STRING(bsh_msg_drain_t, alternative), U32(bsh_msg_drain_t, running), END
};

static const field_t handover_fields[] = { STRING(bsh_msg_handover_t, cell),
					   U64(bsh_msg_handover_t, epoch),
					   END };

static const field_t events_fields[] = { STRING(bsh_msg_events_t, lines), END };

static const field_t demand_entry_fields[] = { U32(bsh_demand_entry_t, model),
					       U32(bsh_demand_entry_t, adapter),
					       U32(bsh_demand_entry_t, arrived),
					       U32(bsh_demand_entry_t, running),
					       U32(bsh_demand_entry_t, waiting),
					       U32(bsh_demand_entry_t,
						   max_wait_left_ms),
					       END };

static const field_t demand_fields[] = {
	U64(bsh_msg_demand_t, term),
	U64(bsh_msg_demand_t, received_through),
	U64(bsh_msg_demand_t, supported_term),
	U64(bsh_msg_demand_t, echo_us),
	BOOL(bsh_msg_demand_t, reaches_store),
	LIST(bsh_msg_demand_t, entries, entry_count, demand_entry_fields,
	     bsh_demand_entry_t),
	END
};

static const field_t placement_entry_fields[] = {
	STRING(bsh_placement_entry_t, target),
	STRING(bsh_placement_entry_t, service),
	STRING(bsh_placement_entry_t, address),
	STRING(bsh_placement_entry_t, zone),
	U32(bsh_placement_entry_t, slots),
	ENUM(bsh_placement_entry_t, state, BSH_TARGET_LIVE,
	     BSH_TARGET_STATE_END - 1),
	U32(bsh_placement_entry_t, grace_ms),
	U64(bsh_placement_entry_t, number),
	U64(bsh_placement_entry_t, started_ms),
	STRING(bsh_placement_entry_t, software),
	U64(bsh_placement_entry_t, version),
	BLOB(bsh_placement_entry_t, holdings, holdings_bytes,
	     BSH_FRAME_MAX_BYTES),
	END
};

static const field_t ready_entry_fields[] = {
	U32(bsh_ready_entry_t, model), U32(bsh_ready_entry_t, adapter),
	U32(bsh_ready_entry_t, ready_in_ms), END
};

static const field_t placement_fields[] = {
	U64(bsh_msg_placement_t, term),
	U64(bsh_msg_placement_t, revision),
	BOOL(bsh_msg_placement_t, active),
	U64(bsh_msg_placement_t, sent_us),
	U32(bsh_msg_placement_t, contact_age_ms),
	U64(bsh_msg_placement_t, from),
	U64(bsh_msg_placement_t, to),
	LIST(bsh_msg_placement_t, entries, entry_count, placement_entry_fields,
	     bsh_placement_entry_t),
	LIST(bsh_msg_placement_t, ready, ready_count, ready_entry_fields,
	     bsh_ready_entry_t),
	END
};

static const field_t recent_order_fields[] = {
	STRING(bsh_recent_order_t, target), U32(bsh_recent_order_t, age_ms), END
};

static const field_t release_fields[] = {
	U64(bsh_msg_release_t, term),
	U64(bsh_msg_release_t, revision),
	BOOL(bsh_msg_release_t, active),
	BOOL(bsh_msg_release_t, has_order_list),
	LIST(bsh_msg_release_t, ordered, ordered_count, recent_order_fields,
	     bsh_recent_order_t),
	END
};

static const field_t load_entry_fields[] = { U32(bsh_load_entry_t, target),
					     U32(bsh_load_entry_t, work_ms),
					     U32(bsh_load_entry_t, running),
					     END };

static const field_t load_fields[] = { U64(bsh_msg_load_t, term),
				       LIST(bsh_msg_load_t, entries,
					    entry_count, load_entry_fields,
					    bsh_load_entry_t),
				       END };

static const field_t unreachable_fields[] = {
	BLOB(bsh_msg_unreachable_t, keys, keys_bytes,
	     4 * BSH_INVENTORY_TARGETS_MAX),
	END
};

static const field_t stream_fields[] = { U64(bsh_stream_record_t, stream),
					 U64(bsh_stream_record_t, software),
					 END };

static const field_t stream_records_fields[] = {
	LIST(bsh_msg_stream_records_t, records, record_count, stream_fields,
	     bsh_stream_record_t),
	END
};

static const field_t stream_query_fields[] = {
	U64(bsh_msg_stream_query_t, stream),
	U64(bsh_msg_stream_query_t, service), END
};

static const field_t stream_answer_fields[] = {
	U64(bsh_msg_stream_answer_t, stream),
	U64(bsh_msg_stream_answer_t, software),
	U64(bsh_msg_stream_answer_t, only),
	BOOL(bsh_msg_stream_answer_t, several), END
};

static const field_t suspect_fact_fields[] = {
	U64(bsh_suspect_fact_t, key),	   U64(bsh_suspect_fact_t, process),
	U32(bsh_suspect_fact_t, age_ms),   U32(bsh_suspect_fact_t, ran_ms),
	BOOL(bsh_suspect_fact_t, cleared), END
};

static const field_t suspect_facts_fields[] = {
	BOOL(bsh_msg_suspect_facts_t, wants_all),
	LIST(bsh_msg_suspect_facts_t, facts, fact_count, suspect_fact_fields,
	     bsh_suspect_fact_t),
	END
};

static const field_t reach_fields[] = { BOOL(bsh_msg_reach_t, cut), END };

static const field_t limit_fields[] = { U64(bsh_limit_entry_t, process),
					U32(bsh_limit_entry_t, limit_milli),
					U32(bsh_limit_entry_t, age_ms), END };

static const field_t target_limits_fields[] = {
	U64(bsh_msg_target_limits_t, term),
	LIST(bsh_msg_target_limits_t, entries, entry_count, limit_fields,
	     bsh_limit_entry_t),
	END
};

static const field_t place_need_fields[] = {
	U64(bsh_place_need_t, target),	       U32(bsh_place_need_t, sequence),
	U32(bsh_place_need_t, open),	       U32(bsh_place_need_t, wanted),
	U32(bsh_place_need_t, urgency),	       U32(bsh_place_need_t, slots),
	U32(bsh_place_need_t, run_ms),	       U32(bsh_place_need_t, rejected),
	U32(bsh_place_need_t, rejections_max), END
};

static const field_t place_needs_fields[] = {
	LIST(bsh_msg_place_needs_t, needs, need_count, place_need_fields,
	     bsh_place_need_t),
	END
};

static const field_t place_grant_fields[] = {
	U64(bsh_place_grant_t, target),	    U32(bsh_place_grant_t, sequence),
	U32(bsh_place_grant_t, places),	    U32(bsh_place_grant_t, wait_ms),
	BOOL(bsh_place_grant_t, contended), END
};

static const field_t place_grants_fields[] = {
	LIST(bsh_msg_place_grants_t, grants, grant_count, place_grant_fields,
	     bsh_place_grant_t),
	END
};

static const field_t inventory_fields[] = {
	U64(bsh_msg_inventory_t, term),
	U64(bsh_msg_inventory_t, number),
	U32(bsh_msg_inventory_t, part),
	ENUM(bsh_msg_inventory_t, parts, 1, BSH_MESSAGE_LIST_MAX),
	BLOB(bsh_msg_inventory_t, keys, keys_bytes,
	     4 * BSH_INVENTORY_TARGETS_MAX),
	BLOB(bsh_msg_inventory_t, changes, changes_bytes,
	     4 * BSH_INVENTORY_TARGETS_MAX),
	END
};

static const field_t release_keys_fields[] = {
	U64(bsh_msg_release_keys_t, term),
	U64(bsh_msg_release_keys_t, revision),
	BOOL(bsh_msg_release_keys_t, active),
	ENUM(bsh_msg_release_keys_t, part, 0, BSH_RELEASE_PARTS_MAX - 1),
	ENUM(bsh_msg_release_keys_t, parts, 1, BSH_RELEASE_PARTS_MAX),
	BLOB(bsh_msg_release_keys_t, keys, keys_bytes,
	     4 * BSH_RELEASE_KEYS_MAX),
	BLOB(bsh_msg_release_keys_t, ages, ages_bytes,
	     2 * BSH_RELEASE_KEYS_MAX),
	END
};

static const field_t reader_fields[] = {
	U64(bsh_msg_reader_t, revision),
	U32(bsh_msg_reader_t, contact_age_ms),
	U64(bsh_msg_reader_t, config_version),
	BLOB(bsh_msg_reader_t, leaving, leaving_bytes,
	     4 * BSH_READER_TARGETS_MAX),
	BLOB(bsh_msg_reader_t, missing, missing_bytes,
	     4 * BSH_READER_TARGETS_MAX),
	END
};

static const field_t reader_targets_fields[] = {
	LIST(bsh_msg_reader_targets_t, entries, entry_count,
	     placement_entry_fields, bsh_placement_entry_t),
	END
};

static const field_t reader_config_fields[] = {
	U64(bsh_msg_reader_config_t, version),
	U32(bsh_msg_reader_config_t, age_ms), END
};

static const field_t config_query_fields[] = {
	U64(bsh_msg_config_query_t, asked_us), END
};

static const field_t config_answer_fields[] = {
	U64(bsh_msg_config_answer_t, asked_us),
	U64(bsh_msg_config_answer_t, version),
	U32(bsh_msg_config_answer_t, age_ms), END
};

static const field_t account_use_entry_fields[] = {
	U32(bsh_account_use_t, account), U64(bsh_account_use_t, offered),
	U64(bsh_account_use_t, admitted), U64(bsh_account_use_t, given_back),
	END
};

static const field_t account_use_fields[] = {
	U64(bsh_msg_account_use_t, asked_us),
	BOOL(bsh_msg_account_use_t, first),
	LIST(bsh_msg_account_use_t, uses, use_count, account_use_entry_fields,
	     bsh_account_use_t),
	END
};

static const field_t account_fraction_fields[] = {
	U32(bsh_account_fraction_t, account),
	U32(bsh_account_fraction_t, millionths),
	U32(bsh_account_fraction_t, retry_ms), END
};

static const field_t account_shares_fields[] = {
	U64(bsh_msg_account_shares_t, asked_us),
	LIST(bsh_msg_account_shares_t, fractions, fraction_count,
	     account_fraction_fields, bsh_account_fraction_t),
	END
};

static const field_t document_query_fields[] = {
	U64(bsh_msg_document_query_t, known),
	U64(bsh_msg_document_query_t, version),
	ENUM(bsh_msg_document_query_t, from, 0, BSH_DOCUMENT_PARTS_MAX), END
};

static const field_t document_part_fields[] = {
	U64(bsh_msg_document_part_t, version),
	ENUM(bsh_msg_document_part_t, part, 0, BSH_DOCUMENT_PARTS_MAX),
	ENUM(bsh_msg_document_part_t, parts, 0, BSH_DOCUMENT_PARTS_MAX),
	BLOB(bsh_msg_document_part_t, data, data_bytes,
	     BSH_DOCUMENT_PART_BYTES),
	END
};

static const struct {
	const char *name;
	const field_t *fields;
} types[BSH_MSG_TYPE_END] = {
	[BSH_MSG_HELLO] = { "HELLO", hello_fields },
	[BSH_MSG_MEMBER] = { "MEMBER", body_fields },
	[BSH_MSG_ADOPTION] = { "ADOPTION", body_fields },
	[BSH_MSG_CONFIG] = { "CONFIG", config_fields },
	[BSH_MSG_ROUTES] = { "ROUTES", routes_fields },
	[BSH_MSG_NEED] = { "NEED", need_fields },
	[BSH_MSG_NEED_ANSWER] = { "NEED_ANSWER", need_answer_fields },
	[BSH_MSG_REPORT] = { "REPORT", report_fields },
	[BSH_MSG_INTENT] = { "INTENT", intent_fields },
	[BSH_MSG_INTENT_ANSWER] = { "INTENT_ANSWER", intent_answer_fields },
	[BSH_MSG_INTENT_DONE] = { "INTENT_DONE", intent_done_fields },
	[BSH_MSG_FRESH] = { "FRESH", fresh_fields },
	[BSH_MSG_DRAIN] = { "DRAIN", drain_fields },
	[BSH_MSG_HANDOVER] = { "HANDOVER", handover_fields },
	[BSH_MSG_EVENTS] = { "EVENTS", events_fields },
	[BSH_MSG_DEMAND] = { "DEMAND", demand_fields },
	[BSH_MSG_PLACEMENT] = { "PLACEMENT", placement_fields },
	[BSH_MSG_RELEASE] = { "RELEASE", release_fields },
	[BSH_MSG_RELEASE_KEYS] = { "RELEASE_KEYS", release_keys_fields },
	[BSH_MSG_LOAD] = { "LOAD", load_fields },
	[BSH_MSG_INVENTORY] = { "INVENTORY", inventory_fields },
	[BSH_MSG_UNREACHABLE] = { "UNREACHABLE", unreachable_fields },
	[BSH_MSG_STREAM_RECORDS] = { "STREAM_RECORDS", stream_records_fields },
	[BSH_MSG_STREAM_QUERY] = { "STREAM_QUERY", stream_query_fields },
	[BSH_MSG_STREAM_ANSWER] = { "STREAM_ANSWER", stream_answer_fields },
	[BSH_MSG_SUSPECT_FACTS] = { "SUSPECT_FACTS", suspect_facts_fields },
	[BSH_MSG_TARGET_LIMITS] = { "TARGET_LIMITS", target_limits_fields },
	[BSH_MSG_REACH] = { "REACH", reach_fields },
	[BSH_MSG_PLACE_NEEDS] = { "PLACE_NEEDS", place_needs_fields },
	[BSH_MSG_PLACE_GRANTS] = { "PLACE_GRANTS", place_grants_fields },
	[BSH_MSG_READER] = { "READER", reader_fields },
	[BSH_MSG_READER_TARGETS] = { "READER_TARGETS", reader_targets_fields },
	[BSH_MSG_READER_CONFIG] = { "READER_CONFIG", reader_config_fields },
	[BSH_MSG_CONFIG_QUERY] = { "CONFIG_QUERY", config_query_fields },
	[BSH_MSG_CONFIG_ANSWER] = { "CONFIG_ANSWER", config_answer_fields },
	[BSH_MSG_ACCOUNT_USE] = { "ACCOUNT_USE", account_use_fields },
	[BSH_MSG_ACCOUNT_SHARES] = { "ACCOUNT_SHARES", account_shares_fields },
	[BSH_MSG_DOCUMENT_QUERY] = { "DOCUMENT_QUERY", document_query_fields },
	[BSH_MSG_DOCUMENT_PART] = { "DOCUMENT_PART", document_part_fields },
};

const char *bsh_message_name(bsh_message_type_t type)
{
	if (type < BSH_MSG_HELLO || type >= BSH_MSG_TYPE_END)
		return "?";
	return types[type].name;
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
	const field_t *fields = types[message->type].fields;
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
	return read_fields(zone, types[type].fields, items + 5,
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
