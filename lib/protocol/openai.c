#include "protocol/openai.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static bsh_error_t fail(char *detail, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static bsh_error_t fail(char *detail, const char *format, ...)
{
	va_list ap;

	va_start(ap, format);
	vsnprintf(detail, BSH_OPENAI_DETAIL_SIZE, format, ap);
	va_end(ap);
	return BSH_ERR_INVALID;
}

static void append_prompt(bsh_openai_request_t *request, const json_t *text)
{
	size_t room = BSH_OPENAI_PROMPT_MAX_BYTES - request->prompt->len;

	if (json_is_string(text))
		g_string_append_len(
			request->prompt, json_string_value(text),
			(gssize)MIN(room, json_string_length(text)));
}

static bsh_error_t read_model(bsh_openai_request_t *request, const json_t *json,
			      char *detail)
{
	const json_t *model = json_object_get(json, "model");

	if (model == NULL)
		return fail(detail, "model: is missing");
	if (!json_is_string(model) || json_string_length(model) == 0)
		return fail(detail, "model: must be a non-empty string");
	if (strlen(json_string_value(model)) != json_string_length(model))
		return fail(detail, "model: must not hold a NUL character");
	if (g_strlcpy(request->model, json_string_value(model),
		      sizeof(request->model)) >= sizeof(request->model))
		return fail(detail, "model: is longer than %zu bytes",
			    sizeof(request->model) - 1);
	return BSH_OK;
}

static bsh_error_t read_stream(bsh_openai_request_t *request,
			       const json_t *json, char *detail)
{
	const json_t *stream = json_object_get(json, "stream");

	if (stream != NULL && !json_is_boolean(stream) && !json_is_null(stream))
		return fail(detail, "stream: must be true or false");
	request->stream = json_is_true(stream);
	return BSH_OK;
}

static bsh_error_t read_content(bsh_openai_request_t *request,
				const json_t *content, size_t index,
				char *detail)
{
	if (content == NULL || json_is_null(content))
		return BSH_OK;
	if (json_is_string(content)) {
		append_prompt(request, content);
		return BSH_OK;
	}
	if (!json_is_array(content))
		return fail(detail,
			    "messages[%zu].content: must be a string or an "
			    "array of parts",
			    index);
	for (size_t i = 0; i < json_array_size(content); i++)
		append_prompt(
			request,
			json_object_get(json_array_get(content, i), "text"));
	return BSH_OK;
}

static bsh_error_t read_messages(bsh_openai_request_t *request,
				 const json_t *json, char *detail)
{
	const json_t *messages = json_object_get(json, "messages");
	bsh_error_t err;

	if (messages == NULL)
		return fail(detail, "messages: is missing");
	if (!json_is_array(messages) || json_array_size(messages) == 0)
		return fail(detail, "messages: must be a non-empty array");
	if (json_array_size(messages) > BSH_OPENAI_MESSAGES_MAX) {
		fail(detail, "messages: has more than %d elements",
		     BSH_OPENAI_MESSAGES_MAX);
		return BSH_ERR_TOO_LARGE;
	}
	for (size_t i = 0; i < json_array_size(messages); i++) {
		const json_t *message = json_array_get(messages, i);
		const json_t *role = json_object_get(message, "role");

		if (!json_is_object(message))
			return fail(detail, "messages[%zu]: must be an object",
				    i);
		if (!json_is_string(role) || json_string_length(role) == 0)
			return fail(detail,
				    "messages[%zu].role: must be a non-empty "
				    "string",
				    i);
		append_prompt(request, role);
		err = read_content(request, json_object_get(message, "content"),
				   i, detail);
		if (err != BSH_OK)
			return err;
	}
	return BSH_OK;
}

static bsh_error_t read_prompt(bsh_openai_request_t *request,
			       const json_t *json, char *detail)
{
	const json_t *prompt = json_object_get(json, "prompt");

	if (prompt == NULL)
		return fail(detail, "prompt: is missing");
	if (!json_is_string(prompt) && !json_is_array(prompt))
		return fail(detail, "prompt: must be a string or an array");
	append_prompt(request, prompt);
	for (size_t i = 0; i < json_array_size(prompt); i++)
		append_prompt(request, json_array_get(prompt, i));
	return BSH_OK;
}

static bsh_error_t read_object(bsh_openai_request_t *request,
			       bsh_openai_kind_t kind, const json_t *json,
			       char *detail)
{
	bsh_error_t err = read_model(request, json, detail);

	if (err == BSH_OK)
		err = read_stream(request, json, detail);
	if (err != BSH_OK)
		return err;
	if (kind == BSH_OPENAI_CHAT)
		return read_messages(request, json, detail);
	return read_prompt(request, json, detail);
}

bsh_error_t bsh_openai_parse(bsh_openai_request_t *request,
			     bsh_openai_kind_t kind, const char *body,
			     size_t size, char *detail)
{
	json_error_t error;
	bsh_error_t err;
	json_t *json;

	memset(request, 0, sizeof(*request));
	if (size == 0)
		return fail(detail, "body: is empty");
	json = json_loadb(body, size, JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL,
			  &error);
	if (json == NULL)
		return fail(detail, "body: not JSON, byte %d: %.100s",
			    error.position, error.text);
	request->prompt = g_string_new(NULL);
	if (json_is_object(json))
		err = read_object(request, kind, json, detail);
	else
		err = fail(detail, "body: must be a JSON object");
	json_decref(json);
	if (err != BSH_OK)
		bsh_openai_finish(request);
	return err;
}

void bsh_openai_finish(bsh_openai_request_t *request)
{
	if (request->prompt != NULL)
		g_string_free(request->prompt, TRUE);
	request->prompt = NULL;
}
