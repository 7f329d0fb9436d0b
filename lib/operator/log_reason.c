#include "operator/log_reason.h"

#include <string.h>

const char *bsh_log_repeat_text(const char *repeat)
{
	static const struct {
		const char *name;
		const char *text;
	} reasons[] = {
		{ "attempts-used", "its route allows no more attempts" },
		{ "no-time", "too little time was left before its deadline" },
		{ "may-have-run", "it may have run and must not run twice" },
		{ "answer-begun",
		  "the caller had received part of an answer that no other "
		  "target can continue" },
		{ "budget-empty", "the budget of repeats was used up" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++)
		if (strcmp(reasons[i].name, repeat) == 0)
			return reasons[i].text;
	return repeat;
}

bool bsh_log_ended_under(const bsh_log_line_t *line, const char *key)
{
	g_autofree char *keys = NULL;
	g_auto(GStrv) list = NULL;

	if (strcmp(line->event, "target-ended-under") != 0 ||
	    !bsh_log_value_is(line, "beginning", "1"))
		return false;
	keys = bsh_log_value(line, "keys");
	list = g_strsplit(keys != NULL ? keys : "", ",", -1);
	return g_strv_contains((const char *const *)list, key);
}

bool bsh_log_is_instance_state(const bsh_log_line_t *line)
{
	static const char *const events[] = {
		"configuration-adopted",
		"targets-source",
		"order-holder",
		"order-lease",
		"store-lost",
		"store-reached",
		"readiness",
		"drain-begin",
		"start",
		"stop",
		"process-ended",
		"reload",
		"log-dropped",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
		if (strcmp(line->event, events[i]) == 0)
			return true;
	return false;
}
