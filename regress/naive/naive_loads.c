#include "naive/naive_loads.h"

#include <stdio.h>
#include <string.h>

#define LEASE_US	INT64_C(6000000)
#define LOAD_TIMEOUT_US INT64_C(30000000)
#define IDLE_MAX_US	INT64_C(20000000)
#define IO_RETRY_US	INT64_C(500000)

void naive_loads_init(naive_loads_t *n, const bsh_loader_config_t *config,
		      const bsh_loader_ops_t *ops, void *ctx)
{
	memset(n, 0, sizeof(*n));
	n->config = *config;
	n->ops = ops;
	n->ctx = ctx;
	n->targets = g_array_new(FALSE, TRUE, sizeof(naive_target_t));
	n->next_order = 1;
	n->idle_max_us = IDLE_MAX_US;
	n->version_seen_us = -1;
}

void naive_loads_finish(naive_loads_t *n)
{
	g_array_free(n->targets, TRUE);
}

static naive_model_t *find_model(naive_loads_t *n, const char *name)
{
	for (size_t i = 0; i < n->model_count; i++) {
		if (strcmp(n->models[i].name, name) == 0)
			return &n->models[i];
	}
	return NULL;
}

void naive_loads_set_document(naive_loads_t *n, const bsh_loader_document_t *d,
			      int64_t now_us)
{
	(void)now_us;
	g_strlcpy(n->cell, d->pools[0].name, sizeof(n->cell));
	for (size_t i = 0; i < d->model_count; i++) {
		naive_model_t *m = find_model(n, d->models[i].name);

		if (m == NULL && n->model_count < NAIVE_MODELS_MAX) {
			m = &n->models[n->model_count++];
			g_strlcpy(m->name, d->models[i].name, sizeof(m->name));
		}
		if (m == NULL)
			continue;
		g_strlcpy(m->version, d->models[i].version, sizeof(m->version));
		m->memory_mib = d->models[i].memory_mib;
		m->max_replicas = d->models[i].max_replicas;
	}
}

void naive_loads_set_instances(naive_loads_t *n,
			       const bsh_loader_instance_t *items, size_t count,
			       int64_t now_us)
{
	(void)now_us;
	g_array_set_size(n->targets, 0);
	for (size_t i = 0; i < count; i++) {
		naive_target_t t = { .incarnation = items[i].incarnation,
				     .memory_mib = items[i].memory_mib,
				     .is_live = items[i].state ==
						BSH_INSTANCE_LIVE };

		if (!items[i].is_target)
			continue;
		g_strlcpy(t.name, items[i].name, sizeof(t.name));
		g_array_append_val(n->targets, t);
		for (size_t m = 0; m < n->model_count; m++) {
			/* Models of a dead target may be loaded elsewhere. */
			if (!t.is_live &&
			    strcmp(n->models[m].target, t.name) == 0)
				n->models[m].target[0] = '\0';
		}
	}
}

static void send_order(naive_loads_t *n, bsh_order_kind_t kind,
		       const naive_model_t *m, const char *target)
{
	bsh_loader_order_t order = { .id = n->next_order++,
				     .kind = kind,
				     .target = target,
				     .model = m->name,
				     .version = m->version,
				     .base = "",
				     .fence = n->version,
				     .memory_mib = m->memory_mib };

	n->ops->order(n->ctx, &order);
}

static uint32_t free_mib(const naive_loads_t *n, const naive_target_t *t)
{
	uint32_t used = 0;

	for (size_t i = 0; i < n->model_count; i++) {
		if (strcmp(n->models[i].target, t->name) == 0)
			used += n->models[i].memory_mib;
	}
	return used < t->memory_mib ? t->memory_mib - used : 0;
}

static void unload(naive_loads_t *n, naive_model_t *m)
{
	send_order(n, BSH_ORDER_UNLOAD, m, m->target);
	m->target[0] = '\0';
	m->is_ready = false;
}

/* Loads on the live target with the most free memory; if none has enough,
 * loads nothing and unloads the least recently used other model. */
static void load(naive_loads_t *n, naive_model_t *m, const char *avoid,
		 int64_t now_us)
{
	const naive_target_t *most_free = NULL;
	naive_model_t *least_recent = NULL;

	for (guint i = 0; i < n->targets->len; i++) {
		const naive_target_t *t =
			&g_array_index(n->targets, naive_target_t, i);

		if (t->is_live && strcmp(t->name, avoid) != 0 &&
		    free_mib(n, t) >= m->memory_mib &&
		    (most_free == NULL ||
		     free_mib(n, t) > free_mib(n, most_free)))
			most_free = t;
	}
	if (most_free != NULL) {
		g_strlcpy(m->target, most_free->name, sizeof(m->target));
		m->ordered_us = now_us;
		m->is_ready = false;
		send_order(n, BSH_ORDER_LOAD, m, most_free->name);
		return;
	}
	for (size_t i = 0; i < n->model_count; i++) {
		naive_model_t *other = &n->models[i];

		if (other != m && other->target[0] != '\0' &&
		    (least_recent == NULL ||
		     other->used_us < least_recent->used_us))
			least_recent = other;
	}
	if (least_recent != NULL)
		unload(n, least_recent);
}

static void decide(naive_loads_t *n, int64_t now_us)
{
	if (now_us >= n->lease_until_us)
		return;
	for (size_t i = 0; i < n->model_count; i++) {
		naive_model_t *m = &n->models[i];
		char avoid[BSH_CELL_NAME_SIZE];

		g_strlcpy(avoid, m->target, sizeof(avoid));
		if (m->target[0] != '\0' && !m->is_ready &&
		    now_us - m->ordered_us > LOAD_TIMEOUT_US)
			m->target[0] = '\0';
		if (m->is_wanted && m->target[0] == '\0' && m->max_replicas > 0)
			load(n, m, avoid, now_us);
		else if (m->target[0] != '\0' && m->is_ready &&
			 (now_us - m->used_us > n->idle_max_us ||
			  m->max_replicas == 0))
			unload(n, m);
	}
}

void naive_loads_update_status(naive_loads_t *n,
			       const bsh_target_status_t *status,
			       int64_t now_us)
{
	for (size_t i = 0; i < n->model_count; i++) {
		naive_model_t *m = &n->models[i];
		bool is_reported = false;

		for (size_t j = 0; j < status->model_count; j++) {
			if (strcmp(status->models[j].model, m->name) != 0 ||
			    status->models[j].state == BSH_SLOT_UNLOADING)
				continue;
			is_reported = true;
			/* Loaded by an earlier lease holder. */
			if (m->target[0] == '\0') {
				g_strlcpy(m->target, status->target,
					  sizeof(m->target));
				m->ordered_us = now_us;
			}
			if (strcmp(m->target, status->target) == 0 &&
			    status->models[j].state == BSH_SLOT_READY) {
				m->is_ready = true;
				m->is_wanted = false;
			}
		}
		if (!is_reported && m->is_ready &&
		    strcmp(m->target, status->target) == 0) {
			m->target[0] = '\0';
			m->is_ready = false;
		}
	}
}

void naive_loads_add_demand(naive_loads_t *n, const bsh_demand_t *demand,
			    int64_t now_us)
{
	naive_model_t *m = find_model(n, demand->model);

	if (m == NULL)
		return;
	m->used_us = now_us;
	m->is_wanted = !m->is_ready;
	decide(n, now_us);
}

static void write_lease(naive_loads_t *n, int64_t now_us)
{
	char value[2 * BSH_CELL_NAME_SIZE];

	snprintf(value, sizeof(value), "%s %" G_GINT64_FORMAT,
		 n->config.self.instance, now_us);
	n->is_busy = true;
	n->next_io_us = now_us;
	n->ops->update(n->ctx, n->cell, n->version, value);
}

void naive_loads_read_result(naive_loads_t *n, bsh_store_result_t result,
			     uint64_t version, const char *value,
			     int64_t now_us)
{
	n->is_busy = false;
	n->next_io_us = now_us + IO_RETRY_US;
	if (result != BSH_STORE_OK && result != BSH_STORE_NOT_FOUND)
		return;
	if (version != n->version || n->version_seen_us < 0)
		n->version_seen_us = now_us;
	n->version = version;
	if (result == BSH_STORE_NOT_FOUND ||
	    now_us - n->version_seen_us > LEASE_US ||
	    g_str_has_prefix(value, n->config.self.instance))
		write_lease(n, now_us);
}

void naive_loads_update_result(naive_loads_t *n, bsh_store_result_t result,
			       uint64_t version, int64_t now_us)
{
	n->is_busy = false;
	if (result == BSH_STORE_OK) {
		n->version = version;
		n->lease_until_us = n->next_io_us + LEASE_US;
	}
	n->next_io_us = now_us + LEASE_US / 3;
	decide(n, now_us);
}

void naive_loads_tick(naive_loads_t *n, int64_t now_us)
{
	if (!n->is_busy && now_us >= n->next_io_us && n->cell[0] != '\0') {
		n->is_busy = true;
		n->next_io_us = now_us;
		n->ops->read(n->ctx, n->cell);
	}
	decide(n, now_us);
}
