#ifndef BSH_PROTOCOL_STREAM_MESSAGE_H
#define BSH_PROTOCOL_STREAM_MESSAGE_H

/*
 * NAME
 *	stream_message - messages on the software versions that began streams
 *
 * DESCRIPTION
 *	Bodies of STREAM_RECORDS, STREAM_QUERY, STREAM_ANSWER, VERSIONS_QUERY
 *	and VERSIONS_ANSWER of protocol/message.h, which says who owns their
 *	arrays.
 */

#include <stdbool.h>
#include <stdint.h>

/* Software version that began a stream; see coordination/stream_table.h. */
typedef struct {
	uint64_t stream; /* hash of the attempt that brought its first event */
	uint64_t software; /* hash of the version */
} bsh_stream_record_t;

/* Most entries of a STREAM_RECORDS that fit a datagram. */
#define BSH_STREAM_RECORDS_MAX 50

/*
 * STREAM_RECORDS: the software versions that began streams, from the instance
 * that forwards them to those that keep the records for the others.
 */
typedef struct {
	const bsh_stream_record_t *records;
	uint32_t record_count;
} bsh_msg_stream_records_t;

/* STREAM_QUERY: asks for the version of a stream that a caller resumes. */
typedef struct {
	uint64_t stream;
	uint64_t service; /* hash of the name of its service; 0: may be one of
			   * several */
} bsh_msg_stream_query_t;

/* STREAM_ANSWER: the reply to STREAM_QUERY. */
typedef struct {
	uint64_t stream;
	uint64_t software; /* 0: not known */
	uint64_t only;	   /* the only version of the service recently; 0: the
			    * sender cannot tell */
	bool several;	   /* the service has had several versions recently */
} bsh_msg_stream_answer_t;

/*
 * VERSIONS_QUERY: asks for the software versions of a service, from an instance
 * that has not known the list of targets for long enough.
 */
typedef struct {
	uint64_t service;  /* hash of its name */
	uint64_t asked_us; /* on the clock of the one that asks */
} bsh_msg_versions_query_t;

/* Software version that a list of targets has named. */
typedef struct {
	uint64_t software;
	uint32_t age_ms; /* of the last such list */
} bsh_version_seen_t;

/* VERSIONS_ANSWER: the reply; see coordination/version_history.h. */
typedef struct {
	uint64_t service;
	uint64_t asked_us; /* of the query */
	/* The sender has known the list without a gap from since to until. */
	uint32_t since_age_ms;
	uint32_t until_age_ms;
	const bsh_version_seen_t *seen;
	uint32_t seen_count;
} bsh_msg_versions_answer_t;

#endif
