#ifndef BSH_PROTOCOL_RELAY_MARK_H
#define BSH_PROTOCOL_RELAY_MARK_H

/*
 * NAME
 *	relay_mark - header of a request that one instance passes on to another
 *
 * DESCRIPTION
 *	The mark says that the request was read by another instance, which has
 *	counted it for the retry budget, and how often that one has sent it to
 *	a target.  It is authenticated with the key of the deployment, for this
 *	request, so a caller cannot set it.
 *
 *	SENDS MAC	decimal number, space, 32 hexadecimal digits
 *
 *	A second header names the version of the configuration by which the
 *	request was accepted, in decimal digits.  It counts only beside a mark
 *	that is authentic.
 *
 *	A third header has the digest of the key of the caller's client account,
 *	in hexadecimal digits.  The mark covers it.
 */

#include <stdbool.h>
#include <stdint.h>

#define BSH_RELAY_HEADER	 "Berylshunt-Relay"
#define BSH_RELAY_VERSION_HEADER "Berylshunt-Relay-Configuration"
#define BSH_RELAY_KEY_HEADER	 "Berylshunt-Relay-Key"

#define BSH_RELAY_SECRET_BYTES 32
#define BSH_RELAY_MARK_SIZE    64 /* of the text */

typedef struct {
	const char *id; /* of the attempt */
	const char *method;
	const char *path; /* with the query */
	uint32_t sends;
	const char *key; /* value of the third header; NULL: there is none */
} bsh_relay_mark_t;

/* bsh_relay_mark_encode - write the value of the header.  The secret has
 * BSH_RELAY_SECRET_BYTES. */
void bsh_relay_mark_encode(const uint8_t *secret, const bsh_relay_mark_t *mark,
			   char *text, uint32_t text_size);

/* bsh_relay_mark_decode - set mark->sends, and check the value for the request
 * that the other fields name.  Returns false if it is not authentic. */
bool bsh_relay_mark_decode(const uint8_t *secret, const char *text,
			   bsh_relay_mark_t *mark);

#endif
