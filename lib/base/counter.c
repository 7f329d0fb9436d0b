#include "base/counter.h"

#include <pthread.h>
#include <string.h>

static pthread_mutex_t list_lock = PTHREAD_MUTEX_INITIALIZER;
static bsh_counter_t *first;
static bsh_counter_t *last;

/* The last counter of this name, or else the last one of all. */
static bsh_counter_t *find_predecessor(const char *name)
{
	bsh_counter_t *found = NULL;

	for (bsh_counter_t *c = first; c != NULL; c = c->next)
		if (strcmp(c->name, name) == 0)
			found = c;
	return found != NULL ? found : last;
}

void bsh_counter_register(bsh_counter_t *counter)
{
	bsh_counter_t *previous;

	pthread_mutex_lock(&list_lock);
	if (counter->next != NULL || counter == last)
		goto out;
	/* HELP and TYPE are printed once for each run of equal names. */
	previous = find_predecessor(counter->name);
	counter->next = previous != NULL ? previous->next : NULL;
	if (previous != NULL)
		previous->next = counter;
	else
		first = counter;
	if (counter->next == NULL)
		last = counter;
out:
	pthread_mutex_unlock(&list_lock);
}

void bsh_counter_unregister(bsh_counter_t *counter)
{
	bsh_counter_t *previous = NULL;
	bsh_counter_t *c;

	pthread_mutex_lock(&list_lock);
	for (c = first; c != NULL && c != counter; c = c->next)
		previous = c;
	if (c == NULL)
		goto out;
	if (previous != NULL)
		previous->next = counter->next;
	else
		first = counter->next;
	if (last == counter)
		last = previous;
	counter->next = NULL;
out:
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
