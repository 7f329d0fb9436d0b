#include "operator/log_cut.h"

#include <string.h>

/* Time within which the cuts of one target belong together. */
#define SAME_TARGET_WINDOW_US INT64_C(1000000)

static bool is_near(const bsh_log_line_t *a, const bsh_log_line_t *b)
{
	return ABS(a->stamp.physical_us - b->stamp.physical_us) <=
	       SAME_TARGET_WINDOW_US;
}

/* What the instance knew of the request when it took it during its drain. */
static void append_drain(GString *text, const bsh_log_t *log,
			 const bsh_log_line_t *cut)
{
	g_autofree char *id = bsh_log_value(cut, "id");

	for (guint i = 0; i < log->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(log->lines, i);

		if (strcmp(line->event, "drain-cut") != 0 ||
		    !is_near(line, cut) || !bsh_log_value_is(line, "id", id))
			continue;
		g_string_append_printf(
			text,
			"; that was %" G_GINT64_FORMAT
			" ms after its drain began, and the request was "
			"received at %" G_GINT64_FORMAT " ms and sent at "
			"%" G_GINT64_FORMAT " ms of it",
			(gint64)bsh_log_number(line, "drain_ms", -1),
			(gint64)bsh_log_number(line, "received_ms", -1),
			(gint64)bsh_log_number(line, "sent_ms", -1));
		if (bsh_log_number(line, "expected_ms", -1) < 0)
			return;
		g_string_append_printf(
			text,
			" (expected to last %" G_GINT64_FORMAT
			" ms by %" G_GINT64_FORMAT " requests)",
			(gint64)bsh_log_number(line, "expected_ms", -1),
			(gint64)bsh_log_number(line, "expected_from", 0));
		return;
	}
}

/* Other responses of the target that were cut at about the same time. */
static void append_others(GString *text, const bsh_log_t *log,
			  const bsh_log_line_t *cut)
{
	g_autofree char *target = bsh_log_value(cut, "target");
	g_autoptr(GHashTable) instances =
		g_hash_table_new(g_str_hash, g_str_equal);
	uint32_t by_target = 0;
	uint32_t by_instance = 0;

	g_hash_table_add(instances, (gpointer)cut->instance);
	for (guint i = 0; i < log->lines->len; i++) {
		const bsh_log_line_t *line = g_ptr_array_index(log->lines, i);

		if (line == cut || strcmp(line->event, "response-cut") != 0 ||
		    !is_near(line, cut) ||
		    !bsh_log_value_is(line, "target", target))
			continue;
		if (bsh_log_value_is(line, "closed_by", "target"))
			by_target++;
		else
			by_instance++;
		g_hash_table_add(instances, (gpointer)line->instance);
	}
	g_string_append_printf(
		text,
		"; within %d s %u other responses of that target "
		"were cut by the target and %u by instances, on "
		"%u instances with this one",
		(int)(SAME_TARGET_WINDOW_US / G_USEC_PER_SEC), by_target,
		by_instance, g_hash_table_size(instances));
}

char *bsh_log_cut_text(const bsh_log_t *log, const bsh_log_line_t *cut)
{
	g_autofree char *target = bsh_log_value(cut, "target");
	g_autofree char *cause = bsh_log_value(cut, "cause");
	g_autofree char *side = bsh_log_value(cut, "closed_by");
	GString *text = g_string_new(NULL);

	g_string_append_printf(
		text, "the response of %s was cut by the %s (%s)",
		target != NULL ? target : "?", side != NULL ? side : "?",
		cause != NULL ? cause : "?");
	append_drain(text, log, cut);
	append_others(text, log, cut);
	return g_string_free(text, FALSE);
}
