#include "operator/control_client.h"

#include <curl/curl.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "state/document.h"
#include "transport/http_check.h"

#define CONNECT_TIMEOUT_MS 1000L
#define HTTP_OK		   200
#define HTTP_NOT_FOUND	   404
#define HTTP_CONFLICT	   409
#define HTTP_SERVER_ERROR  500

static bool parse_addresses(bsh_control_client_t *client, const char *list)
{
	char **parts = g_strsplit_set(list, ", \t\n", -1);
	char host[BSH_ADDRESS_SIZE];
	uint16_t port;
	bool valid = true;

	for (int i = 0; parts[i] != NULL && valid; i++) {
		if (parts[i][0] == '\0')
			continue;
		valid = strlen(parts[i]) < BSH_ADDRESS_SIZE &&
			bsh_address_split(parts[i], host, sizeof(host),
					  &port) == BSH_OK &&
			port != 0;
		if (valid)
			g_ptr_array_add(client->addresses, g_strdup(parts[i]));
		else
			snprintf(client->failure, sizeof(client->failure),
				 "'%.100s' is not IP:port", parts[i]);
	}
	g_strfreev(parts);
	if (valid && client->addresses->len == 0) {
		g_strlcpy(client->failure, "no controller address is given",
			  sizeof(client->failure));
		valid = false;
	}
	return valid;
}

bsh_error_t bsh_control_client_init(bsh_control_client_t *client,
				    const char *addresses, long timeout_ms)
{
	memset(client, 0, sizeof(*client));
	client->timeout_ms = timeout_ms;
	client->addresses = g_ptr_array_new_with_free_func(g_free);
	if (!parse_addresses(client, addresses)) {
		g_ptr_array_free(client->addresses, TRUE);
		return BSH_ERR_INVALID;
	}
	return BSH_OK;
}

void bsh_control_client_finish(bsh_control_client_t *client)
{
	g_ptr_array_free(client->addresses, TRUE);
	memset(client, 0, sizeof(*client));
}

void bsh_control_answer_finish(bsh_control_answer_t *answer)
{
	if (answer->body != NULL)
		g_string_free(answer->body, TRUE);
	json_decref(answer->json);
	memset(answer, 0, sizeof(*answer));
}

typedef struct {
	CURL *curl;
	GString *body;
	bsh_http_check_t check;
	const char *fault; /* why it is no answer of the protocol; or NULL */
} response_t;

static size_t append_body(char *data, size_t size, size_t count, void *ctx)
{
	response_t *response = ctx;
	GString *body = response->body;
	size_t size_bytes = size * count;

	if (response->fault != NULL ||
	    body->len + size_bytes > BSH_CONTROL_ANSWER_MAX_BYTES)
		return 0;
	g_string_append_len(body, data, (gssize)size_bytes);
	return size_bytes;
}

/* Trailers come behind the head; check_body() has seen them. */
static size_t check_header(char *data, size_t size, size_t count, void *ctx)
{
	response_t *response = ctx;
	size_t size_bytes = size * count;

	if (response->fault == NULL && !response->check.head_complete)
		response->fault =
			bsh_http_check_line(&response->check, data, size_bytes);
	/* libcurl then passes the body before it decodes chunks. */
	if (response->check.head_complete)
		curl_easy_setopt(response->curl, CURLOPT_VERBOSE, 1L);
	return response->fault == NULL ? size_bytes : 0;
}

static int check_body(CURL *curl, curl_infotype type, char *data, size_t size,
		      void *ctx)
{
	response_t *response = ctx;

	(void)curl;
	if (type == CURLINFO_DATA_IN && response->fault == NULL)
		response->fault =
			bsh_http_check_body(&response->check, data, size);
	return 0;
}

static bsh_error_t error_of(const response_t *response, CURLcode code)
{
	if (response->fault != NULL)
		return BSH_ERR_MALFORMED;
	switch (code) {
	case CURLE_OK:
		/* libcurl takes a lost connection for the end of a response
		 * that does not tell its length; controllers tell it. */
		return bsh_http_check_is_complete(&response->check)
			       ? BSH_OK
			       : BSH_ERR_TIMEOUT;
	case CURLE_COULDNT_CONNECT:
		return BSH_ERR_CONNECT;
	case CURLE_WRITE_ERROR:
		return BSH_ERR_TOO_LARGE;
	default:
		return BSH_ERR_TIMEOUT;
	}
}

static struct curl_slist *make_headers(const char *body, int64_t generation)
{
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");

	if (body != NULL)
		headers = curl_slist_append(headers,
					    "Content-Type: application/json");
	if (generation >= 0) {
		g_autofree char *match =
			g_strdup_printf("If-Match: \"%" G_GINT64_FORMAT "\"",
					(gint64)generation);

		headers = curl_slist_append(headers, match);
	}
	return headers;
}

static CURLcode perform(const bsh_control_client_t *client, const char *method,
			const char *url, const char *body,
			struct curl_slist *headers, response_t *response)
{
	CURL *curl = response->curl;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	/* The addresses are internal to the cluster: an HTTP proxy configured
	 * in the operator's environment cannot reach them. */
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	/* One connection for each request: a kept connection can stop
	 * responding while new ones work, and libcurl silently repeats a
	 * request when the peer has closed a kept connection. */
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, client->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, check_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, response);
	curl_easy_setopt(curl, CURLOPT_DEBUGFUNCTION, check_body);
	curl_easy_setopt(curl, CURLOPT_DEBUGDATA, response);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
	if (body != NULL) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)strlen(body));
	}
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	return curl_easy_perform(curl);
}

static const char *failure_text(const response_t *response, CURLcode code)
{
	if (response->fault != NULL)
		return response->fault;
	return code == CURLE_OK ? "the response is not complete"
				: curl_easy_strerror(code);
}

static bsh_error_t request_address(bsh_control_client_t *client,
				   const char *address, const char *method,
				   const char *path, const char *body,
				   int64_t generation,
				   bsh_control_answer_t *answer)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", address, path);
	struct curl_slist *headers = make_headers(body, generation);
	/* A new handle, see bsh_http_client_start(). */
	response_t response = { .curl = curl_easy_init() };
	CURLcode code = CURLE_FAILED_INIT;
	bsh_error_t err = BSH_ERR_SYSTEM;

	memset(answer, 0, sizeof(*answer));
	g_strlcpy(answer->address, address, sizeof(answer->address));
	answer->body = g_string_new(NULL);
	response.body = answer->body;
	bsh_http_check_init(&response.check);
	if (response.curl != NULL) {
		code = perform(client, method, url, body, headers, &response);
		err = error_of(&response, code);
	}
	curl_easy_cleanup(response.curl);
	curl_slist_free_all(headers);
	if (err != BSH_OK) {
		snprintf(client->failure, sizeof(client->failure), "%s: %s",
			 address, failure_text(&response, code));
		bsh_control_answer_finish(answer);
		return err;
	}
	answer->status = response.check.status;
	answer->json = json_loadb(answer->body->str, answer->body->len,
				  JSON_REJECT_DUPLICATES, NULL);
	return BSH_OK;
}

bsh_error_t bsh_control_request(bsh_control_client_t *client,
				const char *method, const char *path,
				const char *body, int64_t generation,
				bsh_control_answer_t *answer)
{
	bsh_control_answer_t error_answer = { 0 };
	bsh_error_t err_result = BSH_ERR_CONNECT;

	for (guint i = 0; i < client->addresses->len; i++) {
		bsh_error_t err = request_address(
			client, g_ptr_array_index(client->addresses, i), method,
			path, body, generation, answer);

		if (err != BSH_OK) {
			if (err != BSH_ERR_CONNECT)
				err_result = err;
			continue;
		}
		bsh_control_answer_finish(&error_answer);
		if (answer->status < HTTP_SERVER_ERROR)
			return BSH_OK;
		error_answer = *answer;
	}
	*answer = error_answer;
	return error_answer.body != NULL ? BSH_OK : err_result;
}

bsh_error_t bsh_control_config(const bsh_control_answer_t *answer,
			       int64_t *generation, json_t **document)
{
	const json_t *number = json_object_get(answer->json, "generation");
	json_t *value = json_object_get(answer->json, "document");

	*generation = 0;
	*document = NULL;
	if (answer->status == HTTP_NOT_FOUND)
		return BSH_OK;
	if (!json_is_integer(number) || json_integer_value(number) < 0)
		return BSH_ERR_INVALID;
	*generation = json_integer_value(number);
	if (json_is_object(value))
		*document = value;
	else if (*generation != 0)
		return BSH_ERR_INVALID;
	return BSH_OK;
}

static bool is_same_document(json_t *json, const char *hash)
{
	GArray *problems = bsh_doc_problems_new();
	bsh_document_t doc;
	bool same = false;

	if (bsh_document_init_json(&doc, json, problems) == BSH_OK) {
		same = strcmp(doc.hash, hash) == 0;
		bsh_document_finish(&doc);
	}
	g_array_free(problems, TRUE);
	return same;
}

bsh_error_t bsh_control_put_config(bsh_control_client_t *client,
				   const char *text, const char *hash,
				   int64_t generation,
				   bsh_control_answer_t *answer,
				   int64_t *accepted)
{
	int64_t current;
	json_t *document;
	bsh_error_t err;

	*accepted = 0;
	err = bsh_control_request(client, "PUT", "/v1/config", text, generation,
				  answer);
	if (err != BSH_OK)
		return err;
	if (answer->status == HTTP_OK) {
		json_t *number = json_object_get(answer->json, "generation");

		*accepted = json_integer_value(number);
	} else if (answer->status == HTTP_CONFLICT &&
		   bsh_control_config(answer, &current, &document) == BSH_OK &&
		   document != NULL && is_same_document(document, hash)) {
		answer->status = HTTP_OK;
		*accepted = current;
	}
	return BSH_OK;
}
