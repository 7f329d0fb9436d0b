/* Watches the configuration in the store and adopts each newer version; never
 * goes back to an older one. */
#include "control.h"

#include "base/counter.h"
#include "base/log.h"
#include "platform/decode.h"

/* Longest wait of one watch.  It may be long: a change that the watch misses is
 * detected by the version that peers gossip. */
#define WATCH_TIMEOUT_MS 20000U
/* After a peer has reported a newer version, the watch has this time to deliver
 * it before the store is listed again. */
#define PEER_VERSION_GRACE_US INT64_C(250000)

struct catalogs {
	control_t *control;
	feed_t feed;
	bsh_catalog_t *current;
	uint64_t peer_version; /* highest version reported by a peer */
	bsh_loop_timer_t behind_timer;
};

static bsh_counter_t adopted = BSH_COUNTER("bsh_configurations_adopted_total",
					   "Configurations put in force here.");
static bsh_counter_t rejected =
	BSH_COUNTER("bsh_configurations_unusable_total",
		    "Configurations that could not be read.");
static bsh_counter_t version_gauge = BSH_GAUGE(
	"bsh_configuration_version", "Version of the configuration in force.");

static void adopt(catalogs_t *catalogs, bsh_catalog_t *catalog)
{
	uint64_t old =
		catalogs->current != NULL ? catalogs->current->version : 0;

	bsh_log(BSH_LOG_INFO,
		"configuration-adopted version=%" G_GUINT64_FORMAT
		" before=%" G_GUINT64_FORMAT " routes=%u services=%u",
		catalog->version, old, catalog->routes->len,
		catalog->services->len);
	bsh_counter_add(&adopted, 1);
	bsh_counter_set(&version_gauge, (int64_t)catalog->version);
	bsh_catalog_unref(catalogs->current);
	catalogs->current = catalog;
	control_catalog_changed(catalogs->control, catalog);
}

static void on_object(void *ctx, const platform_object_t *object, uint64_t list)
{
	catalogs_t *catalogs = ctx;
	g_autoptr(GString) problem = g_string_new(NULL);
	bsh_catalog_t *catalog;

	(void)list;
	if (object->deleted || g_strcmp0(object->name, "main") != 0)
		return;
	catalog = platform_decode_catalog(object->spec, problem);
	if (catalog == NULL) {
		bsh_counter_add(&rejected, 1);
		bsh_log(BSH_LOG_ERROR,
			"configuration-unusable revision=%" G_GUINT64_FORMAT
			" problem=\"%s\"",
			object->revision, problem->str);
		return;
	}
	if (catalogs->current != NULL &&
	    catalog->version <= catalogs->current->version)
		bsh_catalog_unref(catalog);
	else
		adopt(catalogs, catalog);
}

static void on_listed(void *ctx, uint64_t list)
{
	(void)ctx;
	(void)list;
}

static void on_resync_needed(void *ctx)
{
	const catalogs_t *catalogs = ctx;

	control_relist(catalogs->control);
}

static bool is_behind(const catalogs_t *catalogs)
{
	return catalogs->current == NULL ||
	       catalogs->current->version < catalogs->peer_version;
}

static void on_behind_timer(void *ctx)
{
	catalogs_t *catalogs = ctx;

	if (is_behind(catalogs))
		feed_relist(&catalogs->feed);
}

void catalogs_note_peer_version(catalogs_t *catalogs, uint64_t version)
{
	if (version <= catalogs->peer_version)
		return;
	catalogs->peer_version = version;
	if (is_behind(catalogs) &&
	    !bsh_loop_timer_is_running(&catalogs->behind_timer))
		bsh_loop_timer_after(&catalogs->behind_timer,
				     PEER_VERSION_GRACE_US);
}

catalogs_t *catalogs_new(control_t *control)
{
	catalogs_t *catalogs = g_new0(catalogs_t, 1);
	feed_ops_t ops = { .on_object = on_object,
			   .on_listed = on_listed,
			   .on_resync_needed = on_resync_needed,
			   .ctx = catalogs,
			   .wait_ms = WATCH_TIMEOUT_MS };

	bsh_counter_register(&adopted);
	bsh_counter_register(&rejected);
	bsh_counter_register(&version_gauge);
	catalogs->control = control;
	bsh_loop_timer_init(&catalogs->behind_timer, control->loop,
			    on_behind_timer, catalogs);
	feed_init(&catalogs->feed, &control->store, control->loop,
		  PLATFORM_KIND_CONFIG, &ops);
	return catalogs;
}

void catalogs_start(catalogs_t *catalogs)
{
	feed_start(&catalogs->feed);
}

void catalogs_relist(catalogs_t *catalogs)
{
	feed_relist(&catalogs->feed);
}

void catalogs_free(catalogs_t *catalogs)
{
	feed_stop(&catalogs->feed);
	bsh_loop_timer_stop(&catalogs->behind_timer);
	bsh_catalog_unref(catalogs->current);
	g_free(catalogs);
}

int64_t catalogs_confirmed_us(const catalogs_t *catalogs)
{
	return catalogs->feed.answered_us;
}

bsh_catalog_t *catalogs_current(const catalogs_t *catalogs)
{
	return catalogs->current;
}
