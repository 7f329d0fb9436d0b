#include "protocol/message_fields.h"

#include "transport/frame_link.h"

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

static const field_t versions_query_fields[] = {
	U64(bsh_msg_versions_query_t, service),
	U64(bsh_msg_versions_query_t, asked_us), END
};

static const field_t version_seen_fields[] = {
	U64(bsh_version_seen_t, software), U32(bsh_version_seen_t, age_ms), END
};

static const field_t versions_answer_fields[] = {
	U64(bsh_msg_versions_answer_t, service),
	U64(bsh_msg_versions_answer_t, asked_us),
	U32(bsh_msg_versions_answer_t, since_age_ms),
	U32(bsh_msg_versions_answer_t, until_age_ms),
	LIST(bsh_msg_versions_answer_t, seen, seen_count, version_seen_fields,
	     bsh_version_seen_t),
	END
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

static const field_t term_base_fields[] = {
	U64(bsh_msg_term_base_t, term), U64(bsh_msg_term_base_t, former_term),
	U64(bsh_msg_term_base_t, number), END
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

static const field_t order_log_fields[] = {
	U64(bsh_msg_order_log_t, term), U64(bsh_msg_order_log_t, sent_us),
	BLOB(bsh_msg_order_log_t, keys, keys_bytes, 4 * BSH_RELEASE_KEYS_MAX),
	END
};

static const field_t order_log_time_fields[] = {
	U64(bsh_msg_order_log_time_t, term),
	U64(bsh_msg_order_log_time_t, sent_us), END
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

const message_type_t bsh_message_types[BSH_MSG_TYPE_END] = {
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
	[BSH_MSG_ORDER_LOG] = { "ORDER_LOG", order_log_fields },
	[BSH_MSG_ORDER_LOG_ACK] = { "ORDER_LOG_ACK", order_log_time_fields },
	[BSH_MSG_ORDER_LOG_QUERY] = { "ORDER_LOG_QUERY",
				      order_log_time_fields },
	[BSH_MSG_ORDER_LOG_LIST] = { "ORDER_LOG_LIST", release_keys_fields },
	[BSH_MSG_LOAD] = { "LOAD", load_fields },
	[BSH_MSG_INVENTORY] = { "INVENTORY", inventory_fields },
	[BSH_MSG_UNREACHABLE] = { "UNREACHABLE", unreachable_fields },
	[BSH_MSG_STREAM_RECORDS] = { "STREAM_RECORDS", stream_records_fields },
	[BSH_MSG_STREAM_QUERY] = { "STREAM_QUERY", stream_query_fields },
	[BSH_MSG_STREAM_ANSWER] = { "STREAM_ANSWER", stream_answer_fields },
	[BSH_MSG_VERSIONS_QUERY] = { "VERSIONS_QUERY", versions_query_fields },
	[BSH_MSG_VERSIONS_ANSWER] = { "VERSIONS_ANSWER",
				      versions_answer_fields },
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
	[BSH_MSG_TERM_BASE] = { "TERM_BASE", term_base_fields },
};
