#include "config_proof.h"

#include <string.h>

void config_proof_init(config_proof_t *proof, const config_proof_ops_t *ops)
{
	memset(proof, 0, sizeof(*proof));
	proof->ops = *ops;
	bsh_config_proof_init(&proof->proof);
}

void config_proof_adopted(config_proof_t *proof, uint64_t version)
{
	proof->version = version;
	bsh_config_proof_adopted(&proof->proof, version);
}

void config_proof_read(config_proof_t *proof, int64_t began_us)
{
	if (proof->version > 0)
		bsh_config_proof_read(&proof->proof, proof->version, began_us);
}

void config_proof_note_reader(config_proof_t *proof, const char *instance)
{
	g_strlcpy(proof->reader, instance, sizeof(proof->reader));
}

void config_proof_tick(config_proof_t *proof, uint32_t instances,
		       int64_t now_us)
{
	bsh_message_t query = { .type = BSH_MSG_CONFIG_QUERY };
	const char *any;

	if (!bsh_config_proof_due(&proof->proof, instances, now_us))
		return;
	query.config_query.asked_us = (uint64_t)now_us;
	if (proof->reader[0] != '\0')
		proof->ops.send(proof->ops.ctx, proof->reader, &query);
	if (proof->reader[0] != '\0' &&
	    now_us - bsh_config_proof_us(&proof->proof) <
		    BSH_CONFIG_PROOF_OLD_US)
		return;
	any = proof->ops.any_instance(proof->ops.ctx);
	if (any != NULL)
		proof->ops.send(proof->ops.ctx, any, &query);
}

void config_proof_receive_query(const config_proof_t *proof, const char *sender,
				const bsh_msg_config_query_t *query,
				int64_t now_us)
{
	bsh_message_t answer = { .type = BSH_MSG_CONFIG_ANSWER };
	int64_t proven_us = bsh_config_proof_us(&proof->proof);

	if (proof->version == 0 || proven_us == 0)
		return;
	answer.config_answer.asked_us = query->asked_us;
	answer.config_answer.version = proof->version;
	/* Rounded up, as the age must not be understated. */
	answer.config_answer.age_ms =
		(uint32_t)MIN((now_us - proven_us) / 1000 + 1, UINT32_MAX);
	proof->ops.send(proof->ops.ctx, sender, &answer);
}

void config_proof_receive_answer(config_proof_t *proof, const char *sender,
				 const bsh_msg_config_answer_t *answer,
				 int64_t now_us)
{
	bsh_config_proof_answered(&proof->proof, answer->version,
				  (int64_t)answer->asked_us,
				  answer->age_ms * INT64_C(1000), now_us);
	if (answer->version > proof->version)
		proof->ops.note_version(proof->ops.ctx, sender,
					answer->version);
}
