/* Costs of the document, a delta and the messages of routes, by model count. */
#include "capacity.h"

#include <err.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "protocol/message.h"
#include "state/document.h"

#define ROUNDS		20
#define MODELS_PER_BASE 6 /* 1 base and 5 adapters, as 870:4400 */

static double cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static json_t *make_model(guint i)
{
	json_t *model;
	char name[32];
	char base[32];

	g_snprintf(name, sizeof(name), "model-%05u", i);
	g_snprintf(base, sizeof(base), "model-%05u", i - i % MODELS_PER_BASE);
	model = json_pack("{s:s, s:s, s:s, s:i, s:i, s:i}", "name", name,
			  "version", "2026-12-01", "pool", "gpu", "memory_mib",
			  200, "max_replicas", 4, "priority", 5);
	if (i % MODELS_PER_BASE != 0)
		json_object_set_new(model, "base", json_string(base));
	return model;
}

static json_t *make_document(guint entries)
{
	json_t *models = json_array();

	for (guint i = 0; i < entries; i++)
		json_array_append_new(models, make_model(i));
	return json_pack("{s:s, s:f, s:{s:f, s:i}, s:[{s:s, s:s, s:b, s:i}], "
			 "s:o}",
			 "deployment", "capacity", "weight", 0.5,
			 "weight_store", "loads_per_s", 6.0, "concurrent", 4,
			 "pools", "name", "gpu", "kind", "engine", "fencing", 1,
			 "memory_mib", 640000, "models", models);
}

static void parse(bsh_document_t *doc, const char *text)
{
	GArray *problems = bsh_doc_problems_new();

	if (bsh_document_init(doc, text, strlen(text), problems) != BSH_OK)
		errx(1, "invalid document: %s: allowed is %s",
		     g_array_index(problems, bsh_doc_problem_t, 0).path,
		     g_array_index(problems, bsh_doc_problem_t, 0).allowed);
	g_array_free(problems, TRUE);
}

static void measure_parse(guint entries, const char *text, double reference_us)
{
	bsh_document_t docs[ROUNDS];
	size_t heap = mallinfo2().uordblks;
	double start_us = cpu_us();
	double us;

	for (int i = 0; i < ROUNDS; i++)
		parse(&docs[i], text);
	us = (cpu_us() - start_us) / ROUNDS;
	capacity_row("document", "parse-cpu", entries, us / 1e3, "ms", 0);
	capacity_row("document", "parse-cpu/reference", entries,
		     us / reference_us, "", 0);
	capacity_row("document", "heap", entries,
		     (double)(mallinfo2().uordblks - heap) / ROUNDS / 1048576,
		     "MiB", LIMIT_MEMORY_MIB);
	for (int i = 0; i < ROUNDS; i++)
		bsh_document_finish(&docs[i]);
}

/* Measures a delta that changes max_replicas of one model. */
static void measure_delta(guint entries, json_t *json, const char *text)
{
	json_t *model =
		json_array_get(json_object_get(json, "models"), entries / 2);
	bsh_document_t from;
	bsh_document_t to;
	bsh_document_t got;
	json_t *delta;
	char *changed;
	char *bytes;
	double start_us;

	json_object_set_new(model, "max_replicas", json_integer(3));
	changed = json_dumps(json, JSON_COMPACT);
	parse(&from, text);
	parse(&to, changed);
	delta = bsh_document_delta(&from, &to);
	bytes = json_dumps(delta, JSON_COMPACT);
	capacity_row("document", "delta-size", entries, (double)strlen(bytes),
		     "B", 0);
	start_us = cpu_us();
	for (int i = 0; i < ROUNDS; i++) {
		if (bsh_document_apply(&got, &from, delta) != BSH_OK)
			errx(1, "cannot apply the delta to its base document");
		bsh_document_finish(&got);
	}
	capacity_row("document", "delta-apply-cpu", entries,
		     (cpu_us() - start_us) / ROUNDS / 1e3, "ms", 0);
	json_decref(delta);
	free(bytes);
	free(changed);
	bsh_document_finish(&from);
	bsh_document_finish(&to);
}

static size_t encoded_size(const bsh_message_t *message)
{
	size_t size;
	char *data;

	if (bsh_message_encode(message, &data, &size) != BSH_OK)
		errx(1, "message exceeds the frame or a field limit");
	free(data);
	return size;
}

static void measure_messages(void)
{
	static const bsh_route_entry_t entries[] = {
		{ "model-00001", false, "worker-0001", 1700000000000000,
		  "10.1.2.3:8000", "region-1-a", false, 64 },
		{ "model-00001", false, "worker-0002", 1700000000000000,
		  "10.1.2.4:8000", "region-1-b", false, 64 }
	};
	bsh_message_t message = { .type = BSH_MSG_ROUTES,
				  .stamp = { 1700000000000000, 1 },
				  .sender = "entry-0001",
				  .incarnation = 1700000000000000 };

	message.routes = (bsh_msg_routes_t){ "gpu.12/model-00001", 17, 123456,
					     entries, 2 };
	capacity_row("message", "routes-2-replicas", 1,
		     (double)encoded_size(&message), "B", 0);
	message.type = BSH_MSG_NEED;
	message.need = (bsh_msg_need_t){ 123456, "model-00001", 30000, 5, 12 };
	capacity_row("message", "need", 1, (double)encoded_size(&message), "B",
		     0);
	message.type = BSH_MSG_NEED_ANSWER;
	message.need_answer = (bsh_msg_need_answer_t){
		123456, "model-00001", BSH_NEED_LOADING, 12000, 0, BSH_OK
	};
	capacity_row("message", "need-answer", 1,
		     (double)encoded_size(&message), "B", 0);
}

void capacity_document(guint entries)
{
	double reference_us = capacity_reference_ns() / 1e3;
	json_t *json = make_document(entries);
	char *text = json_dumps(json, JSON_COMPACT);

	capacity_row("document", "size", entries, (double)strlen(text), "B",
		     BSH_DOC_TEXT_MAX_BYTES);
	measure_parse(entries, text, reference_us);
	measure_delta(entries, json, text);
	if (entries == 90)
		measure_messages();
	free(text);
	json_decref(json);
}
