#include "version_store.h"

#include "base/log.h"
#include "platform/decode.h"

#define OBJECT_NAME "targets"
/* The store answers a watch at once if there were changes, else after this. */
#define CHANGES_WAIT_MS 1U

void version_store_init(version_store_t *vs, platform_store_t *store,
			version_store_read_fn_t on_read,
			version_store_now_fn_t now, void *ctx)
{
	*vs = (version_store_t){
		.store = store,
		.on_read = on_read,
		.now = now,
		.ctx = ctx,
	};
	bsh_version_snapshot_init(&vs->snapshot);
}

void version_store_finish(version_store_t *vs)
{
	bsh_version_snapshot_finish(&vs->snapshot);
}

bool version_store_is_due(const version_store_t *vs, int64_t now_us)
{
	return !vs->is_calling &&
	       (vs->written_us == 0 ||
		now_us - vs->written_us >= VERSION_STORE_WRITE_INTERVAL_US);
}

static void on_written(void *ctx, const platform_answer_t *answer)
{
	version_store_t *vs = ctx;

	vs->is_calling = false;
	if (answer->result == PLATFORM_CONFLICT)
		vs->exists = true;
	else if (answer->result == PLATFORM_ABSENT)
		vs->exists = false;
	else
		vs->exists = vs->exists || answer->result == PLATFORM_DONE;
	/* The other way is tried at once. */
	if (answer->result == PLATFORM_CONFLICT ||
	    answer->result == PLATFORM_ABSENT)
		vs->written_us = 0;
	else if (answer->result != PLATFORM_DONE)
		bsh_log(BSH_LOG_WARNING,
			"version-snapshot-not-stored result=%s status=%d",
			platform_result_name(answer->result), answer->status);
}

void version_store_write(version_store_t *vs, json_t *spec, int64_t now_us)
{
	vs->is_calling = true;
	vs->written_us = now_us;
	if (vs->exists)
		platform_store_replace(vs->store, PLATFORM_KIND_VERSIONS,
				       OBJECT_NAME, 0, spec, on_written, vs);
	else
		platform_store_create(vs->store, PLATFORM_KIND_VERSIONS,
				      OBJECT_NAME, spec, on_written, vs);
}

/* The result of a call that cannot be used: one that may be given another time is
 * asked for again. */
static void end_read(version_store_t *vs, const platform_answer_t *answer,
		     const char *what)
{
	vs->is_calling = false;
	vs->is_read = answer->result != PLATFORM_REFUSED &&
		      answer->result != PLATFORM_UNKNOWN;
	bsh_log(BSH_LOG_INFO,
		"version-snapshot-not-read call=%s result=%s status=%d", what,
		platform_result_name(answer->result), answer->status);
}

/* Notes the version in a change of the list, also in the entry of a target that was
 * removed: the store may name only the last change of each.  Returns false if it
 * cannot be read, so that the version is not known. */
static bool note_change(version_store_t *vs, const platform_object_t *object)
{
	bsh_target_t target;
	const char *field;

	if (platform_decode_target(object->name, object->spec, &target,
				   &field) != BSH_OK)
		return false;
	bsh_version_snapshot_note(
		&vs->snapshot, bsh_service_key(target.service),
		bsh_software_key(target.service, target.software));
	return true;
}

static void on_changes(void *ctx, const platform_answer_t *answer)
{
	version_store_t *vs = ctx;

	if (answer->result != PLATFORM_DONE) {
		end_read(vs, answer, "changes");
		return;
	}
	vs->is_calling = false;
	vs->is_read = true;
	for (uint32_t i = 0; i < answer->n; i++)
		if (!note_change(vs, &answer->objects[i])) {
			bsh_log(BSH_LOG_INFO,
				"version-snapshot-not-read call=changes "
				"result=malformed status=%d",
				answer->status);
			return;
		}
	vs->on_read(vs->ctx, &vs->snapshot, vs->asked_us);
}

static void on_object(void *ctx, const platform_answer_t *answer)
{
	version_store_t *vs = ctx;

	if (answer->result != PLATFORM_DONE || answer->n == 0) {
		end_read(vs, answer, "object");
		return;
	}
	vs->exists = true;
	if (!bsh_version_snapshot_decode(answer->objects[0].spec,
					 &vs->snapshot)) {
		bsh_log(BSH_LOG_WARNING,
			"version-snapshot-not-read call=object "
			"result=malformed status=%d",
			answer->status);
		vs->is_calling = false;
		vs->is_read = true;
		return;
	}
	vs->asked_us = vs->now(vs->ctx);
	platform_store_watch(vs->store, PLATFORM_KIND_TARGETS,
			     vs->snapshot.revision, CHANGES_WAIT_MS, on_changes,
			     vs);
}

void version_store_read(version_store_t *vs, int64_t now_us)
{
	if (vs->is_calling || vs->is_read ||
	    (vs->read_us != 0 &&
	     now_us - vs->read_us < VERSION_STORE_READ_INTERVAL_US))
		return;
	vs->is_calling = true;
	vs->read_us = now_us;
	platform_store_get(vs->store, PLATFORM_KIND_VERSIONS, OBJECT_NAME,
			   on_object, vs);
}

void version_store_reset(version_store_t *vs)
{
	vs->is_read = false;
}
