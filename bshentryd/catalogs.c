/* Follows the configuration, in the store or as other instances have it, and
 * adopts each newer version; never goes back to an older one. */
#include "control.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

#include "base/counter.h"
#include "base/json_text.h"
#include "base/log.h"
#include "coordination/document_fetch.h"
#include "platform/decode.h"

/* Longest wait of one watch.  A watch that the store has lost returns no change
 * until it is renewed, and the other instances read for themselves once no answer
 * has come for twice this time. */
#define WATCH_TIMEOUT_MS 500U
/* Largest configuration as text, and the size of the number of its bytes in
 * front of the packed one. */
#define TEXT_MAX_BYTES	  (8U << 20)
#define PACK_HEADER_BYTES 4U

struct catalogs {
	control_t *control;
	feed_t feed;
	bsh_catalog_t *current;
	/* For other instances, the current one first. */
	GBytes *packed[BSH_DOCUMENT_KEPT]; /* NULL: none, or too large */
	uint64_t packed_versions[BSH_DOCUMENT_KEPT];
	uint32_t n_packed;
	bool unusable; /* what the store has cannot be read */
};

static bsh_counter_t adopted = BSH_COUNTER("bsh_configurations_adopted_total",
					   "Configurations put in force here.");
static bsh_counter_t rejected =
	BSH_COUNTER("bsh_configurations_unusable_total",
		    "Configurations that could not be read.");
static bsh_counter_t version_gauge = BSH_GAUGE(
	"bsh_configuration_version", "Version of the configuration in force.");

/* Text of the configuration without the keys of client accounts, compressed,
 * behind the number of its bytes. */
static GBytes *pack(const json_t *spec, const uint8_t *secret)
{
	json_t *shared = platform_hide_keys(spec, secret);
	char *text = bsh_json_text(shared, JSON_COMPACT);
	uLong size = text != NULL ? strlen(text) : 0;
	uLongf packed_size = compressBound(size);
	guint32 header = GUINT32_TO_BE((guint32)size);
	guint8 *buffer = NULL;
	GBytes *packed = NULL;

	if (text == NULL || size > TEXT_MAX_BYTES)
		goto out;
	buffer = g_malloc(PACK_HEADER_BYTES + packed_size);
	memcpy(buffer, &header, sizeof(header));
	if (compress2(buffer + PACK_HEADER_BYTES, &packed_size,
		      (const Bytef *)text, size, Z_BEST_SPEED) == Z_OK)
		packed = g_bytes_new(buffer, PACK_HEADER_BYTES + packed_size);
out:
	g_free(buffer);
	free(text);
	json_decref(shared);
	return packed;
}

/* NULL if the bytes are no packed configuration. */
static json_t *unpack(GBytes *packed)
{
	gsize size;
	const guint8 *data = g_bytes_get_data(packed, &size);
	json_t *spec = NULL;
	guint32 header;
	uLongf text_size;
	Bytef *text;

	if (size <= PACK_HEADER_BYTES)
		return NULL;
	memcpy(&header, data, sizeof(header));
	text_size = GUINT32_FROM_BE(header);
	if (text_size == 0 || text_size > TEXT_MAX_BYTES)
		return NULL;
	text = malloc(text_size);
	if (text != NULL &&
	    uncompress(text, &text_size, data + PACK_HEADER_BYTES,
		       size - PACK_HEADER_BYTES) == Z_OK &&
	    text_size == GUINT32_FROM_BE(header))
		spec = json_loadb((const char *)text, text_size, 0, NULL);
	free(text);
	return spec;
}

static void drop_last_packed(catalogs_t *catalogs)
{
	GBytes *packed = catalogs->packed[--catalogs->n_packed];

	if (packed != NULL)
		g_bytes_unref(packed);
}

static bool is_too_large(GBytes *packed)
{
	return g_bytes_get_size(packed) >
	       (gsize)BSH_DOCUMENT_PARTS_MAX * BSH_DOCUMENT_PART_BYTES;
}

static void add_packed(catalogs_t *catalogs, uint64_t version, GBytes *packed)
{
	if (catalogs->n_packed == BSH_DOCUMENT_KEPT)
		drop_last_packed(catalogs);
	for (uint32_t i = catalogs->n_packed; i > 0; i--) {
		catalogs->packed[i] = catalogs->packed[i - 1];
		catalogs->packed_versions[i] = catalogs->packed_versions[i - 1];
	}
	if (packed != NULL && is_too_large(packed)) {
		bsh_log(BSH_LOG_WARNING,
			"configuration-too-large version=%" G_GUINT64_FORMAT
			" bytes=%" G_GSIZE_FORMAT,
			version, g_bytes_get_size(packed));
		g_bytes_unref(packed);
		packed = NULL;
	}
	catalogs->packed[0] = packed;
	catalogs->packed_versions[0] = version;
	catalogs->n_packed++;
}

static void adopt(catalogs_t *catalogs, bsh_catalog_t *catalog, GBytes *packed,
		  const char *source)
{
	uint64_t old =
		catalogs->current != NULL ? catalogs->current->version : 0;
	int64_t told_us =
		catalog_exchange_told_us(catalogs->control->catalog_exchange);

	bsh_log(BSH_LOG_INFO,
		"configuration-adopted version=%" G_GUINT64_FORMAT
		" before=%" G_GUINT64_FORMAT
		" routes=%u services=%u source=%s told_ms=%d",
		catalog->version, old, catalog->routes->len,
		catalog->services->len, source,
		told_us >= 0 ? (int)(told_us / 1000) : -1);
	bsh_counter_add(&adopted, 1);
	bsh_counter_set(&version_gauge, (int64_t)catalog->version);
	bsh_catalog_unref(catalogs->current);
	catalogs->current = catalog;
	add_packed(catalogs, catalog->version, packed);
	control_catalog_changed(catalogs->control, catalog);
}

/* Returns the configuration if it is newer than the one in force; logs one that
 * cannot be read, of this revision or from an instance, and sets *unusable. */
static bsh_catalog_t *decode_newer(const catalogs_t *catalogs,
				   const json_t *spec, uint64_t revision,
				   bool *unusable)
{
	g_autoptr(GString) problem = g_string_new(NULL);
	bsh_catalog_t *catalog = platform_decode_catalog(
		spec, catalogs->control->entry->settings.key, problem);

	*unusable = catalog == NULL;
	if (*unusable) {
		bsh_counter_add(&rejected, 1);
		bsh_log(BSH_LOG_ERROR,
			"configuration-unusable revision=%" G_GUINT64_FORMAT
			" problem=\"%s\"",
			revision, problem->str);
		return NULL;
	}
	if (catalogs->current != NULL &&
	    catalog->version <= catalogs->current->version) {
		bsh_catalog_unref(catalog);
		return NULL;
	}
	return catalog;
}

static void on_object(void *ctx, const platform_object_t *object, uint64_t list)
{
	catalogs_t *catalogs = ctx;
	bsh_catalog_t *catalog;

	(void)list;
	if (object->deleted || g_strcmp0(object->name, "main") != 0)
		return;
	catalog = decode_newer(catalogs, object->spec, object->revision,
			       &catalogs->unusable);
	if (catalog == NULL)
		return;
	adopt(catalogs, catalog,
	      pack(object->spec, catalogs->control->entry->settings.key),
	      "store");
	catalog_exchange_tell(catalogs->control->catalog_exchange);
}

bool catalogs_adopt_packed(catalogs_t *catalogs, GBytes *packed)
{
	json_t *spec = unpack(packed);
	bsh_catalog_t *catalog;
	bool readable = spec != NULL;
	bool unusable;

	if (readable) {
		catalog = decode_newer(catalogs, spec, 0, &unusable);
		if (catalog != NULL)
			adopt(catalogs, catalog, g_bytes_ref(packed),
			      "instance");
	}
	json_decref(spec);
	return readable;
}

GBytes *catalogs_packed(const catalogs_t *catalogs, uint64_t known,
			uint64_t partial, uint64_t *version)
{
	uint32_t i = bsh_document_choose(catalogs->packed_versions,
					 catalogs->n_packed, known, partial);

	if (i == catalogs->n_packed)
		return NULL;
	*version = catalogs->packed_versions[i];
	return catalogs->packed[i];
}

static void on_listed(void *ctx, uint64_t list)
{
	const catalogs_t *catalogs = ctx;

	(void)list;
	catalog_exchange_store_read(catalogs->control->catalog_exchange,
				    bsh_loop_clock_us() -
					    catalogs->feed.list_began_us);
}

static void on_complete(void *ctx)
{
	const catalogs_t *catalogs = ctx;

	if (!catalogs->unusable)
		config_proof_read(&catalogs->control->config_proof,
				  catalogs->feed.began_boot_us);
	store_reading_tell_config(catalogs->control->store_reading);
}

static void on_resync_needed(void *ctx)
{
	const catalogs_t *catalogs = ctx;

	control_relist(catalogs->control);
}

catalogs_t *catalogs_new(control_t *control)
{
	catalogs_t *catalogs = g_new0(catalogs_t, 1);
	feed_ops_t ops = { .on_object = on_object,
			   .on_listed = on_listed,
			   .on_resync_needed = on_resync_needed,
			   .on_complete = on_complete,
			   .ctx = catalogs,
			   .wait_ms = WATCH_TIMEOUT_MS };

	bsh_counter_register(&adopted);
	bsh_counter_register(&rejected);
	bsh_counter_register(&version_gauge);
	catalogs->control = control;
	feed_init(&catalogs->feed, &control->store, control->loop,
		  PLATFORM_KIND_CONFIG, &ops);
	return catalogs;
}

void catalogs_start(catalogs_t *catalogs)
{
	feed_start_once(&catalogs->feed);
}

void catalogs_relist(catalogs_t *catalogs)
{
	feed_relist(&catalogs->feed);
}

void catalogs_free(catalogs_t *catalogs)
{
	feed_stop(&catalogs->feed);
	while (catalogs->n_packed > 0)
		drop_last_packed(catalogs);
	bsh_catalog_unref(catalogs->current);
	g_free(catalogs);
}

void catalogs_read_once(catalogs_t *catalogs)
{
	feed_read_once(&catalogs->feed);
}

void catalogs_set_source(catalogs_t *catalogs, bool from_store)
{
	if (from_store)
		feed_resume(&catalogs->feed);
	else if (!catalogs->feed.once)
		feed_pause(&catalogs->feed);
}

void catalogs_set_backoff_max(catalogs_t *catalogs, int64_t backoff_max_us)
{
	feed_set_backoff_max(&catalogs->feed, backoff_max_us);
}

int64_t catalogs_complete_us(const catalogs_t *catalogs)
{
	return catalogs->unusable ? 0 : catalogs->feed.complete_us;
}

bsh_catalog_t *catalogs_current(const catalogs_t *catalogs)
{
	return catalogs->current;
}
