#include "view.h"

#include <string.h>

view_t *view_new(bsh_catalog_t *catalog)
{
	view_t *view = g_new0(view_t, 1);

	view->refs = 1;
	view->catalog = bsh_catalog_ref(catalog);
	view->targets = g_array_new(FALSE, TRUE, sizeof(view_target_t));
	view->software = g_array_new(FALSE, TRUE, sizeof(view_software_t));
	view->ready = g_array_new(FALSE, TRUE, sizeof(view_ready_t));
	view->peers = g_array_new(FALSE, TRUE, sizeof(bsh_relay_peer_t));
	return view;
}

view_t *view_ref(view_t *view)
{
	g_atomic_int_inc(&view->refs);
	return view;
}

void view_unref(view_t *view)
{
	if (view == NULL || !g_atomic_int_dec_and_test(&view->refs))
		return;
	g_array_free(view->targets, TRUE);
	g_array_free(view->software, TRUE);
	g_array_free(view->ready, TRUE);
	g_array_free(view->peers, TRUE);
	bsh_catalog_unref(view->catalog);
	g_free(view);
}

const view_ready_t *view_find_ready(const view_t *view, uint32_t model,
				    uint32_t adapter)
{
	for (guint i = 0; i < view->ready->len; i++) {
		const view_ready_t *ready =
			&g_array_index(view->ready, view_ready_t, i);

		if (ready->model == model && ready->adapter == adapter)
			return ready;
	}
	return NULL;
}

const view_software_t *view_find_software(const view_t *view,
					  const char *service)
{
	for (guint i = 0; i < view->software->len; i++) {
		const view_software_t *software =
			&g_array_index(view->software, view_software_t, i);

		if (strcmp(software->service, service) == 0)
			return software;
	}
	return NULL;
}
