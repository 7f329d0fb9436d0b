#include "base/error.h"

#define NOT_RUN BSH_OUTCOME_NOT_RUN
#define UNKNOWN BSH_OUTCOME_UNKNOWN

static const bsh_error_info_t error_table[BSH_ERR_COUNT] = {
	[BSH_OK] = { "ok", "Success.", 200, BSH_OUTCOME_ANSWERED, false },
	[BSH_ERR_INVALID] = { "invalid", "The input is malformed.", 400,
			      NOT_RUN, false },
	[BSH_ERR_TOO_LARGE] = { "too-large", "The input is too large.", 413,
				NOT_RUN, false },
	[BSH_ERR_NOT_FOUND] = { "not-found", "No such resource.", 404, NOT_RUN,
				false },
	[BSH_ERR_CONFLICT] = { "conflict", "The version is out of date.", 409,
			       NOT_RUN, false },
	[BSH_ERR_KEY_REUSED] = { "key-reused",
				 "The idempotency key belongs to a different "
				 "request.",
				 422, NOT_RUN, false },
	[BSH_ERR_IN_PROGRESS] = { "in-progress",
				  "A request with this idempotency key is "
				  "running.",
				  409, UNKNOWN, true },
	[BSH_ERR_DEADLINE] = { "deadline", "The deadline cannot be met.", 503,
			       NOT_RUN, true },
	[BSH_ERR_CAPACITY] = { "capacity", "No capacity is available.", 503,
			       NOT_RUN, true },
	[BSH_ERR_DRAINING] = { "draining", "The instance is shutting down.",
			       503, NOT_RUN, true },
	[BSH_ERR_STALE_CONFIG] = { "stale-configuration",
				   "The configuration is not confirmed.", 503,
				   NOT_RUN, true },
	[BSH_ERR_STORE] = { "store-unavailable",
			    "The platform store is unavailable.", 503, NOT_RUN,
			    true },
	[BSH_ERR_RATE_LIMITED] = { "rate-limited", "A rate limit was reached.",
				   429, NOT_RUN, true },
	[BSH_ERR_CONNECT] = { "target-unreachable",
			      "No target could be reached.", 503, NOT_RUN,
			      true },
	[BSH_ERR_REFUSED] = { "target-refused",
			      "The target refused the request.", 503, NOT_RUN,
			      true },
	[BSH_ERR_CONNECTION_LOST] = { "connection-lost",
				      "The connection to the target was lost "
				      "after "
				      "the request was sent.",
				      502, UNKNOWN, false },
	[BSH_ERR_TIMEOUT] = { "timeout", "The target did not answer in time.",
			      504, UNKNOWN, false },
	[BSH_ERR_MISMATCH] = { "answer-mismatch",
			       "The answer does not belong to the request.",
			       502, UNKNOWN, false },
	[BSH_ERR_ANSWER_NOT_KEPT] = { "answer-not-kept",
				      "The request was answered before; its "
				      "answer was too large to keep.",
				      409, BSH_OUTCOME_ANSWERED, false },
	[BSH_ERR_OUTCOME_UNKNOWN] = { "outcome-unknown",
				      "An earlier attempt has an unknown "
				      "outcome; it was not run again.",
				      409, UNKNOWN, false },
	[BSH_ERR_CANCELLED] = { "cancelled", "The caller disconnected.", 499,
				UNKNOWN, false },
	[BSH_ERR_AUTH] = { "unauthenticated", "Authentication failed.", 403,
			   NOT_RUN, false },
	[BSH_ERR_STALE_FENCE] = { "stale-fence",
				  "The order has an old fencing number.", 409,
				  NOT_RUN, false },
	[BSH_ERR_UNSUPPORTED] = { "unsupported",
				  "The operation is not supported.", 405,
				  NOT_RUN, false },
	[BSH_ERR_SYSTEM] = { "system", "A system call failed.", 500, UNKNOWN,
			     false },
	[BSH_ERR_INTERNAL] = { "internal", "An invariant was violated.", 500,
			       UNKNOWN, false },
	[BSH_ERR_NOT_RESUMABLE] = { "not-resumable",
				    "No target can continue the stream.", 503,
				    NOT_RUN, true },
	/* No Retry-After: the same request is refused for a long time. */
	[BSH_ERR_QUARANTINED] = { "quarantined",
				  "Targets failed repeatedly on this request "
				  "or "
				  "on a part of its prompt; this time it has "
				  "not run.",
				  503, NOT_RUN, false },
	[BSH_ERR_MALFORMED] = { "answer-malformed",
				"The answer of the target is malformed.", 502,
				UNKNOWN, false },
	[BSH_ERR_KEY_UNKNOWN] = { "key-unknown",
				  "No client account has the key.", 401,
				  NOT_RUN, false },
};

const bsh_error_info_t *bsh_error_info(bsh_error_t err)
{
	if ((unsigned int)err >= BSH_ERR_COUNT)
		err = BSH_ERR_INTERNAL;
	return &error_table[err];
}

const char *bsh_error_name(bsh_error_t err)
{
	return bsh_error_info(err)->name;
}

const char *bsh_outcome_name(bsh_outcome_t outcome)
{
	switch (outcome) {
	case BSH_OUTCOME_NOT_RUN:
		return "not-run";
	case BSH_OUTCOME_ANSWERED:
		return "answered";
	case BSH_OUTCOME_UNKNOWN:
		break;
	}
	return "unknown";
}
