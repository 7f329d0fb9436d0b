#include "state/account.h"

#include <sodium.h>
#include <string.h>

#include "state/catalog.h"

/* Separates this use of the secret from the others. */
#define KEY_LABEL "berylshunt account key"

struct bsh_accounts {
	GPtrArray *list;     /* bsh_account_rule_t */
	GHashTable *by_key;  /* bsh_account_key_t to bsh_account_rule_t */
	GHashTable *by_hash; /* of the name */
};

/* Digests are evenly distributed. */
static guint hash_key(gconstpointer key)
{
	guint hash;

	memcpy(&hash, ((const bsh_account_key_t *)key)->bytes, sizeof(hash));
	return hash;
}

static gboolean equal_keys(gconstpointer a, gconstpointer b)
{
	return sodium_memcmp(a, b, sizeof(bsh_account_key_t)) == 0;
}

bsh_accounts_t *bsh_accounts_new(void)
{
	bsh_accounts_t *accounts = g_new0(bsh_accounts_t, 1);

	accounts->list = g_ptr_array_new_with_free_func(g_free);
	accounts->by_key =
		g_hash_table_new_full(hash_key, equal_keys, g_free, NULL);
	accounts->by_hash = g_hash_table_new(NULL, NULL);
	return accounts;
}

void bsh_accounts_free(bsh_accounts_t *accounts)
{
	if (accounts == NULL)
		return;
	g_hash_table_destroy(accounts->by_hash);
	g_hash_table_destroy(accounts->by_key);
	g_ptr_array_free(accounts->list, TRUE);
	g_free(accounts);
}

bsh_account_rule_t *bsh_accounts_add(bsh_accounts_t *accounts, const char *name)
{
	uint32_t hash = bsh_catalog_hash(name, strlen(name));
	bsh_account_rule_t *account;

	if (bsh_accounts_find(accounts, hash) != NULL)
		return NULL;
	account = g_new0(bsh_account_rule_t, 1);
	g_strlcpy(account->name, name, sizeof(account->name));
	account->hash = hash;
	g_ptr_array_add(accounts->list, account);
	g_hash_table_insert(accounts->by_hash, GUINT_TO_POINTER(hash), account);
	return account;
}

bool bsh_accounts_add_key(bsh_accounts_t *accounts,
			  const bsh_account_rule_t *account,
			  const bsh_account_key_t *key)
{
	const bsh_account_rule_t *owner = bsh_accounts_find_key(accounts, key);

	if (owner != NULL)
		return owner == account;
	g_hash_table_insert(accounts->by_key, g_memdup2(key, sizeof(*key)),
			    (void *)(uintptr_t)account);
	return true;
}

uint32_t bsh_accounts_size(const bsh_accounts_t *accounts)
{
	return accounts->list->len;
}

const bsh_account_rule_t *bsh_accounts_at(const bsh_accounts_t *accounts,
					  uint32_t index)
{
	return g_ptr_array_index(accounts->list, index);
}

const bsh_account_rule_t *bsh_accounts_find_key(const bsh_accounts_t *accounts,
						const bsh_account_key_t *key)
{
	return g_hash_table_lookup(accounts->by_key, key);
}

const bsh_account_rule_t *bsh_accounts_find(const bsh_accounts_t *accounts,
					    uint32_t hash)
{
	return g_hash_table_lookup(accounts->by_hash, GUINT_TO_POINTER(hash));
}

void bsh_account_key_digest(const uint8_t *secret, const char *text,
			    size_t size, bsh_account_key_t *key)
{
	static const uint8_t no_secret[BSH_KEY_SIZE_BYTES];
	crypto_generichash_state state;

	crypto_generichash_init(&state, secret != NULL ? secret : no_secret,
				BSH_KEY_SIZE_BYTES, sizeof(key->bytes));
	crypto_generichash_update(&state, (const uint8_t *)KEY_LABEL,
				  sizeof(KEY_LABEL));
	crypto_generichash_update(&state, (const uint8_t *)text, size);
	crypto_generichash_final(&state, key->bytes, sizeof(key->bytes));
}

void bsh_account_key_encode(const bsh_account_key_t *key,
			    char text[BSH_ACCOUNT_KEY_HEX_SIZE])
{
	sodium_bin2hex(text, BSH_ACCOUNT_KEY_HEX_SIZE, key->bytes,
		       sizeof(key->bytes));
}

bool bsh_account_key_decode(const char *text, bsh_account_key_t *key)
{
	size_t size;
	const char *end;

	return sodium_hex2bin(key->bytes, sizeof(key->bytes), text,
			      strlen(text), NULL, &size, &end) == 0 &&
	       *end == '\0' && size == sizeof(key->bytes);
}
