/* Configurations from and to other instances, for those that do not read the
 * store. */
#include "control.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "coordination/document_fetch.h"

struct catalog_exchange {
	control_t *control;
	bsh_document_fetch_t fetch;
	bsh_loop_timer_t timer;
	char teller[BSH_NAME_SIZE]; /* told of the wanted version */
};

static bsh_counter_t refused_documents = BSH_COUNTER(
	"bsh_documents_unusable_total",
	"Configurations of other instances that could not be read.");
static bsh_counter_t store_fallbacks = BSH_COUNTER(
	"bsh_document_store_reads_total",
	"Reads of the configuration from the store as no instance sent it.");

static void run(void *ctx);

catalog_exchange_t *catalog_exchange_new(control_t *control)
{
	catalog_exchange_t *exchange = g_new0(catalog_exchange_t, 1);

	bsh_counter_register(&refused_documents);
	bsh_counter_register(&store_fallbacks);
	exchange->control = control;
	bsh_document_fetch_init(&exchange->fetch);
	bsh_loop_timer_init(&exchange->timer, control->loop, run, exchange);
	return exchange;
}

void catalog_exchange_free(catalog_exchange_t *exchange)
{
	bsh_loop_timer_stop(&exchange->timer);
	bsh_document_fetch_finish(&exchange->fetch);
	g_free(exchange);
}

static void schedule(catalog_exchange_t *exchange)
{
	int64_t due_us = bsh_document_fetch_due_us(&exchange->fetch);

	if (due_us == INT64_MAX)
		bsh_loop_timer_stop(&exchange->timer);
	else
		bsh_loop_timer_after(
			&exchange->timer,
			MAX(due_us - control_now_us(exchange->control), 0));
}

static void send_query(const catalog_exchange_t *exchange, const char *instance,
		       uint32_t from)
{
	const bsh_document_fetch_t *fetch = &exchange->fetch;
	bsh_message_t message = {
		.type = BSH_MSG_DOCUMENT_QUERY,
		.document_query = { .known = fetch->known,
				    .version = fetch->version,
				    .from = from },
	};

	if (instance != NULL)
		peers_send(exchange->control->peers, instance, &message);
}

static const char *parent_of(const catalog_exchange_t *exchange)
{
	const peers_t *peers = exchange->control->peers;
	uint64_t version = exchange->fetch.wanted;
	uint32_t n;
	uint32_t parent = bsh_document_parent(peers_rank(peers, version, &n));

	return parent == UINT32_MAX ? exchange->teller
				    : peers_at_rank(peers, version, parent);
}

static void run(void *ctx)
{
	catalog_exchange_t *exchange = ctx;
	uint32_t from;

	switch (bsh_document_fetch_next(
		&exchange->fetch, control_now_us(exchange->control), &from)) {
	case BSH_DOCUMENT_NOTHING:
		break;
	case BSH_DOCUMENT_PARENT:
		send_query(exchange, parent_of(exchange), from);
		break;
	case BSH_DOCUMENT_TELLER:
		send_query(exchange, exchange->teller, from);
		break;
	case BSH_DOCUMENT_ANY:
		send_query(exchange, peers_any(exchange->control->peers), from);
		break;
	case BSH_DOCUMENT_STORE:
		bsh_counter_add(&store_fallbacks, 1);
		catalogs_read_once(exchange->control->catalogs);
		break;
	}
	schedule(exchange);
}

void catalog_exchange_tell(catalog_exchange_t *exchange)
{
	store_reading_tell(exchange->control->store_reading);
}

void catalog_exchange_adopted(catalog_exchange_t *exchange, uint64_t version)
{
	bsh_document_fetch_set_known(&exchange->fetch, version);
	schedule(exchange);
}

void catalog_exchange_store_read(catalog_exchange_t *exchange, int64_t age_us)
{
	uint64_t wanted = exchange->fetch.wanted;
	int64_t now_us = control_now_us(exchange->control);

	bsh_document_fetch_store_read(&exchange->fetch, now_us - age_us,
				      now_us);
	if (wanted > 0 && exchange->fetch.wanted == 0)
		bsh_log(BSH_LOG_WARNING,
			"configuration-absent version=%" G_GUINT64_FORMAT
			" told_by=%s",
			wanted, exchange->teller);
	schedule(exchange);
}

void catalog_exchange_note_version(catalog_exchange_t *exchange,
				   const char *instance, uint64_t version,
				   int64_t confirmed_us)
{
	uint64_t wanted = exchange->fetch.wanted;
	uint32_t n;

	bsh_document_fetch_confirmed(&exchange->fetch, version, confirmed_us);
	bsh_document_fetch_want(
		&exchange->fetch, version,
		peers_rank(exchange->control->peers, version, &n),
		control_now_us(exchange->control));
	if (exchange->fetch.wanted == wanted)
		return;
	g_strlcpy(exchange->teller, instance, sizeof(exchange->teller));
	bsh_log(BSH_LOG_INFO,
		"configuration-told version=%" G_GUINT64_FORMAT
		" before=%" G_GUINT64_FORMAT " told_by=%s",
		version, exchange->fetch.known, instance);
	schedule(exchange);
}

int64_t catalog_exchange_told_us(const catalog_exchange_t *exchange)
{
	return exchange->fetch.wanted > 0 ? control_now_us(exchange->control) -
						    exchange->fetch.told_us
					  : -1;
}

void catalog_exchange_receive_query(catalog_exchange_t *exchange,
				    const char *sender,
				    const bsh_msg_document_query_t *query)
{
	control_t *control = exchange->control;
	bsh_message_t message = { .type = BSH_MSG_DOCUMENT_PART };
	bsh_msg_document_part_t *part = &message.document_part;
	uint64_t version = 0;
	GBytes *packed = catalogs_packed(control->catalogs, query->known,
					 query->version, &version);
	const uint8_t *data;
	gsize size;

	if (packed == NULL) {
		peers_send(control->peers, sender, &message);
		return;
	}
	data = g_bytes_get_data(packed, &size);
	part->version = version;
	part->parts = (uint32_t)((size + BSH_DOCUMENT_PART_BYTES - 1) /
				 BSH_DOCUMENT_PART_BYTES);
	part->part = query->version == version ? query->from : 0;
	for (uint32_t i = 0;
	     i < BSH_DOCUMENT_WINDOW && part->part < part->parts;
	     i++, part->part++) {
		gsize at = (gsize)part->part * BSH_DOCUMENT_PART_BYTES;

		part->data = data + at;
		part->data_bytes =
			(uint32_t)MIN(size - at, BSH_DOCUMENT_PART_BYTES);
		peers_send(control->peers, sender, &message);
	}
}

void catalog_exchange_receive_part(catalog_exchange_t *exchange,
				   const bsh_msg_document_part_t *part)
{
	int64_t now_us = control_now_us(exchange->control);
	g_autoptr(GBytes) document = bsh_document_fetch_part(
		&exchange->fetch, part->version, part->part, part->parts,
		part->data, part->data_bytes, now_us);

	if (document != NULL &&
	    !catalogs_adopt_packed(exchange->control->catalogs, document)) {
		bsh_counter_add(&refused_documents, 1);
		bsh_log(BSH_LOG_ERROR,
			"configuration-unreadable version=%" G_GUINT64_FORMAT
			" bytes=%" G_GSIZE_FORMAT,
			part->version, g_bytes_get_size(document));
		bsh_document_fetch_refused(&exchange->fetch, now_us);
	}
	schedule(exchange);
}
