#include "base/counter.h"

#include <pthread.h>
#include <string.h>

static pthread_mutex_t list_lock = PTHREAD_MUTEX_INITIALIZER;
static bsh_counter_t *first;
static bsh_counter_t *last;

void bsh_counter_register(bsh_counter_t *counter)
{
	pthread_mutex_lock(&list_lock);
	if (counter->next == NULL && counter != last) {
		if (last == NULL)
			first = counter;
		else
			last->next = counter;
		last = counter;
	}
	pthread_mutex_unlock(&list_lock);
}

void bsh_counter_print(GString *out)
{
	const char *previous_name = "";

	pthread_mutex_lock(&list_lock);
	for (const bsh_counter_t *c = first; c != NULL; c = c->next) {
		if (strcmp(previous_name, c->name) != 0) {
			g_string_append_printf(
				out, "# HELP %s %s\n# TYPE %s %s\n", c->name,
				c->help, c->name,
				c->is_gauge ? "gauge" : "counter");
		}
		previous_name = c->name;
		g_string_append(out, c->name);
		if (c->labels != NULL)
			g_string_append_printf(out, "{%s}", c->labels);
		g_string_append_printf(out, " %" G_GINT64_FORMAT "\n",
				       (gint64)bsh_counter_get(c));
	}
	pthread_mutex_unlock(&list_lock);
}
