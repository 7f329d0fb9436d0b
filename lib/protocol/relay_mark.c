#include "protocol/relay_mark.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* Separates this use of the secret from the others. */
#define MAC_LABEL "berylshunt relayed request"
#define MAC_BYTES crypto_generichash_BYTES_MIN

/* More sends than any route allows. */
#define SENDS_MAX 1000U

static void add_field(crypto_generichash_state *state, const char *text)
{
	/* With its terminator, so that no two lists of fields are the same
	 * bytes. */
	crypto_generichash_update(state, (const uint8_t *)text,
				  strlen(text) + 1);
}

static void make_mac(const uint8_t *secret, const bsh_relay_mark_t *mark,
		     char *text, size_t text_size)
{
	crypto_generichash_state state;
	uint8_t mac[MAC_BYTES];
	char sends[16];

	g_snprintf(sends, sizeof(sends), "%u", mark->sends);
	crypto_generichash_init(&state, secret, BSH_RELAY_SECRET_BYTES,
				sizeof(mac));
	add_field(&state, MAC_LABEL);
	add_field(&state, mark->id);
	add_field(&state, mark->method);
	add_field(&state, mark->path);
	add_field(&state, sends);
	/* Without a key the mark is that of builds without client accounts. */
	if (mark->key != NULL)
		add_field(&state, mark->key);
	crypto_generichash_final(&state, mac, sizeof(mac));
	sodium_bin2hex(text, text_size, mac, sizeof(mac));
}

void bsh_relay_mark_encode(const uint8_t *secret, const bsh_relay_mark_t *mark,
			   char *text, uint32_t text_size)
{
	char mac[2 * MAC_BYTES + 1];

	make_mac(secret, mark, mac, sizeof(mac));
	g_snprintf(text, text_size, "%u %s", mark->sends, mac);
}

bool bsh_relay_mark_decode(const uint8_t *secret, const char *text,
			   bsh_relay_mark_t *mark)
{
	char mac[2 * MAC_BYTES + 1];
	char *end;
	guint64 sends = g_ascii_strtoull(text, &end, 10);

	if (end == text || *end != ' ' || sends > SENDS_MAX)
		return false;
	mark->sends = (uint32_t)sends;
	make_mac(secret, mark, mac, sizeof(mac));
	return strlen(end + 1) == strlen(mac) &&
	       sodium_memcmp(end + 1, mac, strlen(mac)) == 0;
}
