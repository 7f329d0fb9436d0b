#include "coordination/suspect_key.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

/* The kind is in the highest bits of a key. */
#define KIND_SHIFT 62
#define HASH_MASK  ((UINT64_C(1) << KIND_SHIFT) - 1)
/* Separates this use of the secret from the others. */
#define DIGEST_LABEL "berylshunt suspect request"

static uint64_t make_key(bsh_suspect_kind_t kind, uint64_t hash)
{
	hash &= HASH_MASK;
	return (uint64_t)kind << KIND_SHIFT | (hash != 0 ? hash : 1);
}

uint64_t bsh_suspect_part_key(const char *service, uint64_t part)
{
	return make_key(BSH_SUSPECT_PROMPT_PART,
			XXH64(service, strlen(service), part));
}

/* Adds a field with its size, so that no two lists of fields are the same
 * bytes. */
static void add_field(crypto_generichash_state *state, const void *data,
		      size_t size)
{
	uint64_t size_bytes = size;

	crypto_generichash_update(state, (const uint8_t *)&size_bytes,
				  sizeof(size_bytes));
	crypto_generichash_update(state, data, size);
}

static void add_text(crypto_generichash_state *state, const char *text)
{
	add_field(state, text != NULL ? text : "",
		  text != NULL ? strlen(text) : 0);
}

uint64_t bsh_suspect_request_key(const uint8_t *secret, const char *service,
				 const bsh_suspect_request_t *request)
{
	crypto_generichash_state state;
	uint8_t digest[crypto_generichash_BYTES_MIN];
	uint64_t hash;

	crypto_generichash_init(&state, secret, BSH_SUSPECT_SECRET_BYTES,
				sizeof(digest));
	add_text(&state, DIGEST_LABEL);
	add_text(&state, service);
	add_text(&state, request->method);
	add_text(&state, request->host);
	add_text(&state, request->path);
	add_text(&state, request->credential);
	add_text(&state, request->model);
	add_field(&state, request->parts,
		  request->n_parts * sizeof(request->parts[0]));
	add_field(&state, request->body, request->body_bytes);
	crypto_generichash_final(&state, digest, sizeof(digest));
	memcpy(&hash, digest, sizeof(hash));
	return make_key(BSH_SUSPECT_REQUEST, hash);
}

bsh_suspect_kind_t bsh_suspect_kind(uint64_t key)
{
	return (bsh_suspect_kind_t)(key >> KIND_SHIFT);
}

const char *bsh_suspect_kind_name(uint64_t key)
{
	switch (bsh_suspect_kind(key)) {
	case BSH_SUSPECT_PROMPT_PART:
		return "prompt-part";
	case BSH_SUSPECT_REQUEST:
		return "request";
	}
	return "unknown";
}
