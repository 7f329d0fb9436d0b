#ifndef BSHENTRYD_CONFIG_PROOF_H
#define BSHENTRYD_CONFIG_PROOF_H

/*
 * NAME
 *	config_proof - exchange by which instances know that their configuration
 *	is the newest, for keys of client accounts that are removed
 *
 * DESCRIPTION
 *	Runs on the control thread; lib/coordination/config_proof decides.
 *
 * UNITS
 *	Times are microseconds of CLOCK_BOOTTIME.
 */

#include "base/settings.h"
#include "coordination/config_proof.h"
#include "protocol/message.h"

typedef struct {
	void (*send)(void *ctx, const char *instance,
		     const bsh_message_t *message);
	const char *(*any_instance)(void *ctx); /* NULL: there is no other */
	/* An instance has this version in force. */
	void (*note_version)(void *ctx, const char *instance, uint64_t version);
	void *ctx;
} config_proof_ops_t;

typedef struct {
	config_proof_ops_t ops;
	bsh_config_proof_t proof;
	uint64_t version;	    /* in force; 0: none */
	char reader[BSH_NAME_SIZE]; /* last heard to read the store; "": none */
} config_proof_t;

void config_proof_init(config_proof_t *proof, const config_proof_ops_t *ops);
/* config_proof_adopted - the version is in force. */
void config_proof_adopted(config_proof_t *proof, uint64_t version);
/* config_proof_read - a call to the store that began at began_us has shown no
 * newer configuration. */
void config_proof_read(config_proof_t *proof, int64_t began_us);
/* config_proof_note_reader - the instance reads the configuration. */
void config_proof_note_reader(config_proof_t *proof, const char *instance);
/* config_proof_tick - ask if it is due; instances: their number. */
void config_proof_tick(config_proof_t *proof, uint32_t instances,
		       int64_t now_us);
/* Handle CONFIG_QUERY and CONFIG_ANSWER. */
void config_proof_receive_query(const config_proof_t *proof, const char *sender,
				const bsh_msg_config_query_t *query,
				int64_t now_us);
void config_proof_receive_answer(config_proof_t *proof, const char *sender,
				 const bsh_msg_config_answer_t *answer,
				 int64_t now_us);

#endif
