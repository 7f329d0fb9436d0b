/*
 * Adoption of the configuration: connects the adoption protocol with the store
 * and the other controllers, queues proposals, and sends the adopted document
 * and its freshness to the router.
 */
#include "control.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/json_text.h"
#include "base/log.h"
#include "coordination/adoption.h"
#include "protocol/adoption_message.h"

#define OBJECT_KIND "config"
/* Name of the object and of the member of its value with the document. */
#define DOCUMENT_NAME "document"
/* Queued proposals, with the running one; further ones are refused. */
#define QUEUED_PROPOSALS_MAX 16

typedef struct {
	control_t *control;
	uint64_t tag; /* of the adoption module, returned with the answer */
	bool is_update;
} store_call_t;

typedef struct {
	uint64_t request;
	uint64_t base_generation;
	GBytes *document;
	config_apply_fn_t fn;
	void *ctx;
} proposal_t;

struct config {
	bsh_adoption_t *adoption;
	bsh_loop_timer_t timer;
	bsh_document_t document;
	bool has_document;
	bool was_fresh;
	int64_t sent_until_us; /* end of freshness last sent to the router */
	uint64_t in_force;     /* highest own generation in force */
	uint64_t next_request; /* id of the newest proposal */
	GQueue proposals;      /* proposal_t, oldest first */
	bool is_proposing;     /* the oldest one is running */
};

static bsh_counter_t generation_gauge =
	BSH_GAUGE("bsh_control_generation", "Adopted configuration.");
static bsh_counter_t fresh_gauge =
	BSH_GAUGE("bsh_control_fresh", "Configuration is confirmed: 1.");

static void send_to_peer(void *ctx, const char *peer,
			 const bsh_adoption_message_t *msg)
{
	control_t *control = ctx;
	GBytes *body = bsh_adoption_message_encode(msg);
	bsh_message_t message = { .type = BSH_MSG_ADOPTION };
	const bsh_member_t *member =
		bsh_members_find(peers_members(control), peer);
	gsize size;

	if (body == NULL)
		return;
	message.body.body = g_bytes_get_data(body, &size);
	message.body.body_bytes = (uint32_t)size;
	if (msg->kind != BSH_ADOPTION_FRESH_REQUEST &&
	    msg->kind != BSH_ADOPTION_FRESH)
		peers_send(control, peer, &message);
	else if (member != NULL && member->has_place)
		peers_send_datagram(control, member->place.gossip, &message);
	g_bytes_unref(body);
}

/* Decode the stored value; false if it is malformed. */
static bool read_object(const json_t *value, uint64_t version,
			bsh_adoption_object_t *object)
{
	const json_t *list = json_object_get(value, "witnesses");
	const json_t *generation = json_object_get(value, "generation");
	GArray *problems = bsh_doc_problems_new();
	bsh_document_t doc;
	bool ok = json_is_integer(generation) &&
		  json_integer_value(generation) > 0 &&
		  json_array_size(list) <= BSH_WITNESSES_MAX;

	memset(object, 0, sizeof(*object));
	object->version = version;
	object->generation = (uint64_t)json_integer_value(generation);
	object->n_witnesses = (uint32_t)json_array_size(list);
	for (uint32_t i = 0; ok && i < object->n_witnesses; i++) {
		const char *name = json_string_value(json_array_get(list, i));

		ok = name != NULL && g_strlcpy(object->witnesses[i], name,
					       BSH_NAME_SIZE) < BSH_NAME_SIZE;
	}
	if (ok &&
	    bsh_document_init_json(&doc, json_object_get(value, DOCUMENT_NAME),
				   problems) == BSH_OK) {
		char *text = bsh_document_text(&doc);

		object->document = g_bytes_new_with_free_func(
			text, strlen(text), free, text);
		object->hash = XXH3_64bits(text, strlen(text));
		bsh_document_finish(&doc);
	}
	g_array_free(problems, TRUE);
	return object->document != NULL;
}

static bsh_error_t read_error(const bsh_store_answer_t *answer)
{
	switch (answer->result) {
	case BSH_CALL_DONE:
		return BSH_OK;
	case BSH_CALL_UNCHANGED:
		return BSH_ERR_TIMEOUT;
	case BSH_CALL_NOT_FOUND:
		return BSH_ERR_NOT_FOUND;
	default:
		return BSH_ERR_STORE;
	}
}

static void run(control_t *control);

static void on_read(void *ctx, const bsh_store_answer_t *answer)
{
	store_call_t *call = ctx;
	control_t *control = call->control;
	bsh_adoption_object_t object = { 0 };
	bsh_error_t err = read_error(answer);

	if (err == BSH_OK &&
	    !read_object(answer->value, answer->version, &object)) {
		bsh_log(BSH_LOG_ERROR,
			"config-unreadable version=%" G_GUINT64_FORMAT,
			(guint64)answer->version);
		err = BSH_ERR_INVALID;
	}
	bsh_adoption_store_read_done(control->config->adoption,
				     control_now_us(), call->tag, err,
				     err == BSH_OK ? &object : NULL);
	if (object.document != NULL)
		g_bytes_unref(object.document);
	g_free(call);
	run(control);
}

static store_call_t *make_call(control_t *control, uint64_t tag)
{
	store_call_t *call = g_new0(store_call_t, 1);

	call->control = control;
	call->tag = tag;
	return call;
}

static void store_read(void *ctx, uint64_t tag, uint64_t watch_version,
		       uint32_t timeout_ms)
{
	control_t *control = ctx;

	if (watch_version > 0)
		bsh_store_watch(&control->store, OBJECT_KIND, DOCUMENT_NAME,
				watch_version, timeout_ms, on_read,
				make_call(control, tag));
	else
		bsh_store_get(&control->store, OBJECT_KIND, DOCUMENT_NAME,
			      on_read, make_call(control, tag));
}

static bsh_error_t update_error(const bsh_store_answer_t *answer)
{
	switch (answer->result) {
	case BSH_CALL_DONE:
		return BSH_OK;
	case BSH_CALL_CONFLICT:
		return BSH_ERR_CONFLICT;
	case BSH_CALL_REFUSED:
		return answer->status == 413 ? BSH_ERR_TOO_LARGE
					     : BSH_ERR_RATE_LIMITED;
	case BSH_CALL_UNAVAILABLE:
		return BSH_ERR_CONNECT;
	default:
		return BSH_ERR_OUTCOME_UNKNOWN;
	}
}

static void on_update(void *ctx, const bsh_store_answer_t *answer)
{
	store_call_t *call = ctx;
	control_t *control = call->control;

	bsh_adoption_store_update_done(control->config->adoption,
				       control_now_us(), call->tag,
				       update_error(answer), answer->version);
	g_free(call);
	run(control);
}

static void store_update(void *ctx, uint64_t tag,
			 const bsh_adoption_object_t *object)
{
	control_t *control = ctx;
	json_t *witnesses = json_array();
	json_t *value;
	gsize size;
	const char *document = g_bytes_get_data(object->document, &size);
	char *text;

	for (uint32_t i = 0; i < object->n_witnesses; i++)
		json_array_append_new(witnesses,
				      bsh_json_string(object->witnesses[i]));
	value = bsh_json_pack("{s:I, s:o, s:o}", "generation",
			      (json_int_t)object->generation, "witnesses",
			      witnesses, DOCUMENT_NAME,
			      json_loadb(document, size, 0, NULL));
	text = bsh_json_text(value, JSON_COMPACT);
	bsh_store_put(&control->store, OBJECT_KIND, DOCUMENT_NAME,
		      object->version, text, strlen(text), on_update,
		      make_call(control, tag));
	free(text);
	json_decref(value);
}

static void send_config(control_t *control)
{
	const bsh_adoption_object_t *current =
		bsh_adoption_current(control->config->adoption);
	bsh_message_t message = { .type = BSH_MSG_CONFIG };
	g_autofree char *text = NULL;
	gsize size;
	const char *data;

	if (current->generation == 0)
		return;
	data = g_bytes_get_data(current->document, &size);
	text = g_strndup(data, size);
	message.config.generation = current->generation;
	message.config.hash = current->hash;
	message.config.text = text;
	routers_send(control, &message);
}

static void on_adopted(void *ctx, const bsh_adoption_object_t *object)
{
	control_t *control = ctx;
	struct config *config = control->config;
	GArray *problems = bsh_doc_problems_new();
	bsh_document_t doc;
	gsize size;
	const char *text = g_bytes_get_data(object->document, &size);

	if (bsh_document_init(&doc, text, size, problems) == BSH_OK) {
		if (config->has_document)
			bsh_document_finish(&config->document);
		config->document = doc;
		config->has_document = true;
	} else {
		bsh_log(BSH_LOG_ERROR,
			"config-invalid generation=%" G_GUINT64_FORMAT,
			(guint64)object->generation);
	}
	g_array_free(problems, TRUE);
	bsh_counter_set(&generation_gauge, (int64_t)object->generation);
	bsh_log(BSH_LOG_INFO, "config-adopted generation=%" G_GUINT64_FORMAT,
		(guint64)object->generation);
	bsh_timeline_add(&control->timeline, "config-adopted", "{s:I, s:I}",
			 "generation", (json_int_t)object->generation,
			 "version", (json_int_t)object->version);
	cells_document_changed(control);
	targets_document_changed(control);
	send_config(control);
	peers_tick_soon(control);
}

/* The next proposal is started from the timer, because this may run within a
 * callback of the adoption module. */
static void finish_proposal(control_t *control, bsh_error_t result,
			    uint64_t generation)
{
	struct config *config = control->config;
	proposal_t *proposal = g_queue_pop_head(&config->proposals);

	config->is_proposing = false;
	bsh_timeline_add(&control->timeline, "config-apply", "{s:s, s:I}",
			 "result", bsh_error_name(result), "generation",
			 (json_int_t)generation);
	proposal->fn(proposal->ctx, result, generation);
	g_bytes_unref(proposal->document);
	g_free(proposal);
	bsh_loop_timer_after(&config->timer, 0);
}

static void on_proposal_ended(void *ctx, uint64_t request, bsh_error_t result,
			      uint64_t generation)
{
	control_t *control = ctx;
	const proposal_t *proposal =
		g_queue_peek_head(&control->config->proposals);

	if (proposal != NULL && proposal->request == request)
		finish_proposal(control, result, generation);
}

static void on_in_force(void *ctx, uint64_t request, uint64_t generation)
{
	control_t *control = ctx;

	(void)request;
	control->config->in_force = MAX(control->config->in_force, generation);
	bsh_timeline_add(&control->timeline, "config-in-force", "{s:I}",
			 "generation", (json_int_t)generation);
}

static bool parse_document(bsh_document_t *doc, GBytes *bytes)
{
	GArray *problems = bsh_doc_problems_new();
	gsize size;
	const char *text = g_bytes_get_data(bytes, &size);
	bool ok = bsh_document_init(doc, text, size, problems) == BSH_OK;

	g_array_free(problems, TRUE);
	return ok;
}

/* Takes ownership of text. */
static GBytes *bytes_take_text(char *text)
{
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

static GBytes *make_delta(void *ctx, GBytes *from, GBytes *to)
{
	bsh_document_t a;
	bsh_document_t b;
	GBytes *result = NULL;
	json_t *delta;

	(void)ctx;
	if (!parse_document(&a, from))
		return NULL;
	if (parse_document(&b, to)) {
		delta = bsh_document_delta(&a, &b);
		if (delta != NULL)
			result = bytes_take_text(
				bsh_json_text(delta, JSON_COMPACT));
		json_decref(delta);
		bsh_document_finish(&b);
	}
	bsh_document_finish(&a);
	return result;
}

static GBytes *apply_delta(void *ctx, GBytes *from, GBytes *delta)
{
	bsh_document_t a;
	bsh_document_t b;
	GBytes *result = NULL;
	gsize size;
	const char *text = g_bytes_get_data(delta, &size);
	json_t *json = json_loadb(text, size, 0, NULL);

	(void)ctx;
	if (json != NULL && parse_document(&a, from)) {
		if (bsh_document_apply(&b, &a, json) == BSH_OK) {
			result = bytes_take_text(bsh_document_text(&b));
			bsh_document_finish(&b);
		}
		bsh_document_finish(&a);
	}
	json_decref(json);
	return result;
}

static uint64_t hash_document(void *ctx, GBytes *document)
{
	gsize size;
	const void *data = g_bytes_get_data(document, &size);

	(void)ctx;
	return XXH3_64bits(data, size);
}

static const bsh_adoption_ops_t ops = {
	.send = send_to_peer,
	.store_read = store_read,
	.store_update = store_update,
	.adopted = on_adopted,
	.apply_done = on_proposal_ended,
	.in_force = on_in_force,
	.make_delta = make_delta,
	.apply_delta = apply_delta,
	.hash = hash_document,
};

static void send_fresh(control_t *control)
{
	struct config *config = control->config;
	int64_t now_us = control_now_us();
	int64_t until_us = bsh_adoption_fresh_until_us(config->adoption);
	bsh_message_t message = { .type = BSH_MSG_FRESH };

	message.fresh.generation = config_generation(control);
	message.fresh.confirmed =
		bsh_adoption_is_fresh(config->adoption, now_us);
	message.fresh.remaining_ms =
		until_us > now_us ? (uint64_t)(until_us - now_us) / 1000 : 0;
	config->sent_until_us = until_us;
	routers_send(control, &message);
}

/* Report the state after a tick to membership and, if it has changed, to the
 * router and the loader. */
static void publish_changes(control_t *control)
{
	struct config *config = control->config;
	const bsh_adoption_object_t *current =
		bsh_adoption_current(config->adoption);
	int64_t now_us = control_now_us();
	bool is_fresh = bsh_adoption_is_fresh(config->adoption, now_us);

	bsh_members_set_generation(
		peers_members(control), now_us, current->generation,
		current->hash, bsh_adoption_age_ms(config->adoption, now_us));
	if (bsh_adoption_fresh_until_us(config->adoption) !=
	    config->sent_until_us)
		send_fresh(control);
	if (is_fresh == config->was_fresh)
		return;
	config->was_fresh = is_fresh;
	bsh_counter_set(&fresh_gauge, is_fresh);
	bsh_log(BSH_LOG_INFO, "config-%s", is_fresh ? "confirmed" : "stale");
	bsh_timeline_add(&control->timeline, "config-fresh", "{s:b}", "fresh",
			 is_fresh);
	cells_set_fresh(control, is_fresh);
}

static void start_proposal(control_t *control)
{
	struct config *config = control->config;
	const proposal_t *proposal = g_queue_peek_head(&config->proposals);
	uint64_t request;
	bsh_error_t err;

	if (proposal == NULL || config->is_proposing)
		return;
	config->is_proposing = true;
	request = proposal->request;
	err = bsh_adoption_apply(config->adoption, control_now_us(), request,
				 proposal->base_generation, proposal->document);
	if (err != BSH_OK)
		on_proposal_ended(
			control, request, err,
			bsh_adoption_known_generation(config->adoption));
}

static void run(control_t *control)
{
	struct config *config = control->config;
	int64_t next_us;

	start_proposal(control);
	next_us = bsh_adoption_tick(config->adoption, control_now_us());
	publish_changes(control);
	/* Without a running proposal the next one starts at once. */
	if (config->is_proposing || g_queue_is_empty(&config->proposals))
		control_timer_at(&config->timer, next_us);
	else
		bsh_loop_timer_after(&config->timer, 0);
}

static void on_timer(void *ctx)
{
	run(ctx);
}

void config_start(control_t *control)
{
	struct config *config = g_new0(struct config, 1);
	bsh_adoption_config_t settings = { .fresh_ms =
						   control->settings.fresh_ms,
					   .seed = control_seed() };

	bsh_counter_register(&generation_gauge);
	bsh_counter_register(&fresh_gauge);
	control->config = config;
	g_queue_init(&config->proposals);
	bsh_loop_timer_init(&config->timer, &control->loop, on_timer, control);
	config->adoption = bsh_adoption_new(&settings, peers_members(control),
					    &ops, control, control_now_us());
	bsh_loop_timer_after(&config->timer, 0);
}

void config_stop(control_t *control)
{
	struct config *config = control->config;

	bsh_loop_timer_stop(&config->timer);
	bsh_adoption_free(config->adoption);
	if (config->has_document)
		bsh_document_finish(&config->document);
	g_free(config);
}

bool config_is_fresh(const control_t *control)
{
	return bsh_adoption_is_fresh(control->config->adoption,
				     control_now_us());
}

bool config_is_witness(const control_t *control)
{
	return bsh_adoption_is_witness(control->config->adoption);
}

const bsh_document_t *config_document(const control_t *control)
{
	return control->config->has_document ? &control->config->document
					     : NULL;
}

uint64_t config_generation(const control_t *control)
{
	return bsh_adoption_current(control->config->adoption)->generation;
}

uint64_t config_in_force(const control_t *control)
{
	return control->config->in_force;
}

uint32_t config_age_ms(const control_t *control)
{
	return bsh_adoption_age_ms(control->config->adoption, control_now_us());
}

void config_peer_generation(control_t *control, const char *from,
			    uint64_t generation, uint64_t document_hash)
{
	bsh_adoption_generation_reported(control->config->adoption,
					 control_now_us(), from, generation,
					 document_hash);
	bsh_loop_timer_after(&control->config->timer, 0);
}

void config_receive(control_t *control, const bsh_message_t *message)
{
	bsh_adoption_message_t msg;

	if (bsh_adoption_message_decode(&msg, message->body.body,
					message->body.body_bytes) != BSH_OK)
		return;
	bsh_adoption_receive(control->config->adoption, control_now_us(),
			     message->sender, message->incarnation, &msg);
	bsh_adoption_message_finish(&msg);
	run(control);
}

void config_apply(control_t *control, uint64_t base_generation,
		  const bsh_document_t *document, config_apply_fn_t fn,
		  void *ctx)
{
	struct config *config = control->config;
	proposal_t *proposal;

	if (g_queue_get_length(&config->proposals) >= QUEUED_PROPOSALS_MAX) {
		fn(ctx, BSH_ERR_RATE_LIMITED, 0);
		return;
	}
	proposal = g_new0(proposal_t, 1);
	proposal->request = ++config->next_request;
	proposal->base_generation = base_generation;
	proposal->document = bytes_take_text(bsh_document_text(document));
	proposal->fn = fn;
	proposal->ctx = ctx;
	g_queue_push_tail(&config->proposals, proposal);
	run(control);
}

void config_sync_router(control_t *control)
{
	send_config(control);
	send_fresh(control);
}
