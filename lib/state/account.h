#ifndef BSH_STATE_ACCOUNT_H
#define BSH_STATE_ACCOUNT_H

/*
 * NAME
 *	account - client accounts of a configuration, and their API keys
 *
 * DESCRIPTION
 *	A client account has a name, API keys, and optionally a priority and a
 *	limit of its use.  Keys are kept and compared only as digests under the
 *	secret of the deployment: a digest reveals nothing about its key, in
 *	memory, in a message or by the time of a comparison.
 *
 * UNITS
 *	Limits are tokens or requests a second, as counts_tokens says.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/settings.h"

#define BSH_ACCOUNT_KEY_BYTES	 16
#define BSH_ACCOUNT_KEY_HEX_SIZE (2 * BSH_ACCOUNT_KEY_BYTES + 1)

/* Digest of an API key. */
typedef struct {
	uint8_t bytes[BSH_ACCOUNT_KEY_BYTES];
} bsh_account_key_t;

typedef struct {
	char name[BSH_NAME_SIZE];
	uint32_t hash; /* bsh_catalog_hash() of the name */
	bool has_priority;
	uint32_t priority;     /* goes before that of the route */
	double rate_per_s;     /* over all instances; 0: no limit */
	double burst;	       /* besides, at once */
	bool counts_tokens;    /* false: requests */
	uint32_t plain_tokens; /* of a request that names no tokens */
} bsh_account_rule_t;

typedef struct bsh_accounts bsh_accounts_t;

bsh_accounts_t *bsh_accounts_new(void);
void bsh_accounts_free(bsh_accounts_t *accounts);

/* bsh_accounts_add - add an account, which the caller fills in; NULL if there is
 * one of this name. */
bsh_account_rule_t *bsh_accounts_add(bsh_accounts_t *accounts,
				     const char *name);
/* bsh_accounts_add_key - false if another account has the key. */
bool bsh_accounts_add_key(bsh_accounts_t *accounts,
			  const bsh_account_rule_t *account,
			  const bsh_account_key_t *key);

uint32_t bsh_accounts_size(const bsh_accounts_t *accounts);
const bsh_account_rule_t *bsh_accounts_at(const bsh_accounts_t *accounts,
					  uint32_t index);
/* bsh_accounts_find_key, bsh_accounts_find - the account with this key, or with
 * this hash of its name; NULL: there is none. */
const bsh_account_rule_t *bsh_accounts_find_key(const bsh_accounts_t *accounts,
						const bsh_account_key_t *key);
const bsh_account_rule_t *bsh_accounts_find(const bsh_accounts_t *accounts,
					    uint32_t hash);

/* bsh_account_key_digest - digest of a key under the secret of the deployment,
 * BSH_KEY_SIZE_BYTES; NULL: all zeros. */
void bsh_account_key_digest(const uint8_t *secret, const char *text,
			    size_t size, bsh_account_key_t *key);
void bsh_account_key_encode(const bsh_account_key_t *key,
			    char text[BSH_ACCOUNT_KEY_HEX_SIZE]);
/* bsh_account_key_decode - false unless text is a whole digest. */
bool bsh_account_key_decode(const char *text, bsh_account_key_t *key);

#endif
