/* Tests bshconsoled with a fake controller: forms, rejections, conflicts, lost
 * responses, forged, malformed and oversized forms. */
#include <curl/curl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support/fake_control.h"

#define DOC(version, replicas)                                                 \
	"{\"deployment\":\"fahrstart\",\"weight\":0.8,"                        \
	"\"weight_store\":{\"loads_per_s\":6,\"concurrent\":4},"               \
	"\"pools\":[{\"name\":\"review\",\"kind\":\"engine\","                 \
	"\"fencing\":true,\"memory_mib\":80000}],"                             \
	"\"models\":[{\"name\":\"contract\",\"version\":\"" version            \
	"\",\"pool\":\"review\",\"memory_mib\":16000,\"max_"                   \
	"replicas\":" replicas "}]}"

#define ASSERT_CONTAINS(text, part)	g_assert_nonnull(strstr((text), (part)))
#define ASSERT_NOT_CONTAINS(text, part) g_assert_null(strstr((text), (part)))

typedef struct {
	fake_control_t fake;
	char *settings; /* path of the settings file */
	GPid pid;	/* of bshconsoled */
	char base_url[64];
	char *cookie; /* sent with each request; NULL: none */
	char *token;  /* hidden fields of the last page with a form */
	char *changes;
	char *generation;
	GString *body;	  /* of the last response */
	char *set_cookie; /* last cookie received */
} fixture_t;

/* Reads the port from the log line that the daemon writes when it listens. */
static void wait_listening(fixture_t *f, int fd)
{
	FILE *log = fdopen(fd, "r");
	char line[1024];

	while (fgets(line, sizeof(line), log) != NULL) {
		const char *port = strstr(line, "port=");

		if (strstr(line, "listening ") != NULL && port != NULL) {
			g_snprintf(f->base_url, sizeof(f->base_url),
				   "http://127.0.0.1:%d", atoi(port + 5));
			break;
		}
	}
	fclose(log);
	g_assert_cmpstr(f->base_url, !=, "");
}

/* Ends the daemon also when the test aborts. */
static void kill_with_parent(gpointer ctx)
{
	(void)ctx;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void write_settings(fixture_t *f, const char *listen)
{
	g_autofree char *text = g_strdup_printf(
		"[instance]\nname=entry-1\nzone=a\n[security]\nkey=%s\n"
		"[store]\naddress=127.0.0.1:1\n[router]\nlisten=127.0.0.1:0\n"
		"admin=127.0.0.1:0\n[control]\nlisten=%s\nlink=127.0.0.1:0\n"
		"gossip=127.0.0.1:0\n[console]\nlisten=%s\n",
		"000102030405060708090a0b0c0d0e0f"
		"101112131415161718191a1b1c1d1e1f",
		f->fake.address, listen);

	g_assert_true(g_file_set_contents(f->settings, text, -1, NULL));
}

static void set_up(fixture_t *f, gconstpointer data)
{
	g_autofree char *path = program_path("bshconsoled");
	char *argv[] = { path, (char *)"-c", NULL, NULL };
	GError *error = NULL;
	int fd = g_file_open_tmp("bshconsoled-XXXXXX", &f->settings, NULL);

	(void)data;
	g_assert_cmpint(fd, >=, 0);
	close(fd);
	fake_control_init(&f->fake);
	fake_control_accept(&f->fake, DOC("v<b>&amp;", "1"));
	write_settings(f, "127.0.0.1:0");
	argv[2] = f->settings;
	/* The daemon logs to its standard output, a pipe that is closed once it
	 * listens; it ignores SIGPIPE. */
	g_spawn_async_with_pipes(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
				 kill_with_parent, NULL, &f->pid, NULL, &fd,
				 NULL, &error);
	g_assert_no_error(error);
	wait_listening(f, fd);
	f->body = g_string_new(NULL);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	int status;

	(void)data;
	g_assert_cmpint(kill(f->pid, SIGTERM), ==, 0);
	g_assert_cmpint(waitpid(f->pid, &status, 0), ==, f->pid);
	g_assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	g_unlink(f->settings);
	g_free(f->settings);
	g_free(f->cookie);
	g_free(f->set_cookie);
	g_free(f->token);
	g_free(f->changes);
	g_free(f->generation);
	g_string_free(f->body, TRUE);
	if (f->fake.daemon != NULL)
		fake_control_finish(&f->fake);
}

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

static size_t on_header(char *data, size_t size, size_t count, void *ctx)
{
	static const char name[] = "Set-Cookie: ";
	fixture_t *f = ctx;
	size_t length = size * count;

	if (length > strlen(name) &&
	    g_ascii_strncasecmp(data, name, strlen(name)) == 0) {
		g_free(f->set_cookie);
		f->set_cookie = g_strndup(data + strlen(name),
					  strcspn(data, ";") - strlen(name));
	}
	return length;
}

/* Sends one request and returns its HTTP status.  form NULL: GET, else POST;
 * header is an additional header or NULL. */
static long send_request(fixture_t *f, const char *path, const char *form,
			 const char *header)
{
	g_autofree char *url = g_strconcat(f->base_url, path, NULL);
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	CURL *curl = curl_easy_init();
	long status = 0;

	g_string_truncate(f->body, 0);
	if (header != NULL)
		headers = curl_slist_append(headers, header);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, f->body);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, f);
	if (f->cookie != NULL)
		curl_easy_setopt(curl, CURLOPT_COOKIE, f->cookie);
	if (form != NULL) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, form);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)strlen(form));
	}
	g_assert_cmpint(curl_easy_perform(curl), ==, CURLE_OK);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return status;
}

static void read_hidden_field(const fixture_t *f, const char *name,
			      char **value)
{
	static const char *const entities[][2] = { { "&quot;", "\"" },
						   { "&lt;", "<" },
						   { "&gt;", ">" },
						   { "&#39;", "'" },
						   { "&amp;", "&" } };
	g_autofree char *prefix = g_strdup_printf("name=\"%s\" value=\"", name);
	const char *start = strstr(f->body->str, prefix);
	GString *text;

	if (start == NULL)
		return;
	start += strlen(prefix);
	text = g_string_new_len(start, strchr(start, '"') - start);
	for (size_t i = 0; i < G_N_ELEMENTS(entities); i++)
		g_string_replace(text, entities[i][0], entities[i][1], 0);
	g_free(*value);
	*value = g_string_free(text, FALSE);
}

static void read_form(fixture_t *f)
{
	read_hidden_field(f, "token", &f->token);
	read_hidden_field(f, "changes", &f->changes);
	read_hidden_field(f, "generation", &f->generation);
}

static void get_edit_form(fixture_t *f)
{
	g_assert_cmpint(send_request(f, "/edit", NULL, NULL), ==, 200);
	g_assert_nonnull(f->set_cookie);
	f->cookie = g_strdup(f->set_cookie);
	read_form(f);
}

/* Posts the form of the last page with an action and further fields, as a
 * browser does. */
static long post_form(fixture_t *f, const char *action, const char *fields)
{
	g_autofree char *changes = g_uri_escape_string(f->changes, NULL, FALSE);
	g_autofree char *escaped_action =
		g_uri_escape_string(action, NULL, FALSE);
	g_autofree char *form = g_strdup_printf(
		"token=%s&generation=%s&changes=%s&action=%s%s", f->token,
		f->generation, changes, escaped_action, fields);
	long status = send_request(f, "/edit", form, NULL);

	read_form(f);
	return status;
}

#define OPEN_CONTRACT "&open.0=models+contract"

/* Guards against script injection: text of the document that is not escaped in
 * a page is run by the browser as markup. */
static void test_view(fixture_t *f, gconstpointer data)
{
	(void)data;
	g_assert_cmpint(send_request(f, "/", NULL, NULL), ==, 200);
	ASSERT_CONTAINS(f->body->str, "Generation <strong>1</strong>");
	ASSERT_CONTAINS(f->body->str, "v&lt;b&gt;&amp;amp;");
	ASSERT_NOT_CONTAINS(f->body->str, "v<b>");
	ASSERT_CONTAINS(f->body->str, "entry-1");
	g_assert_cmpint(send_request(f, "/document", NULL, NULL), ==, 200);
	ASSERT_CONTAINS(f->body->str, "v&lt;b&gt;&amp;amp;");
	g_assert_cmpint(send_request(f, "/console.js", NULL, NULL), ==, 200);
	g_assert_cmpint(send_request(f, "/console.css", NULL, NULL), ==, 200);
	g_assert_cmpint(send_request(f, "/readyz", NULL, NULL), ==, 200);
	g_assert_cmpint(send_request(f, "/metrics", NULL, NULL), ==, 200);
	ASSERT_CONTAINS(f->body->str, "bsh_console_requests_total 4\n");
	g_assert_cmpint(send_request(f, "/timeline", NULL, NULL), ==, 200);
	ASSERT_CONTAINS(f->body->str, "\"event\":\"start\"");
	g_assert_cmpint(send_request(f, "/nothing", NULL, NULL), ==, 404);
	g_assert_cmpint(send_request(f, "/", NULL, "X-Long: a"), ==, 200);
}

/* Guards against a draft that loses changes between two posts, or is submitted
 * before the operator asks for it. */
static void test_submit(fixture_t *f, gconstpointer data)
{
	json_t *json;

	(void)data;
	get_edit_form(f);
	g_assert_cmpstr(f->changes, ==, "[]");
	g_assert_cmpint(post_form(f, "open models contract", ""), ==, 200);
	ASSERT_CONTAINS(f->body->str, "name=\"f.0.max_replicas\"");
	g_assert_cmpint(post_form(f, "review",
				  OPEN_CONTRACT
				  "&f.0.max_replicas=3&f.0.priority=1"),
			==, 200);
	ASSERT_CONTAINS(f->body->str,
			"models/contract.max_replicas: 1 -&gt; 3");
	g_assert_cmpuint(f->fake.puts, ==, 0);
	g_assert_cmpint(post_form(f, "new services", ""), ==, 200);
	g_assert_cmpint(post_form(f, "remove services +1", ""), ==, 200);
	g_assert_cmpint(post_form(f, "new pools", ""), ==, 200);
	g_assert_cmpint(post_form(f, "submit",
				  "&open.0=pools+%2B1&f.0.name=portal&"
				  "f.0.kind=service"),
			==, 303);
	json = json_loads(f->fake.document, 0, NULL);
	g_assert_cmpint(f->fake.generation, ==, 2);
	g_assert_cmpuint(json_array_size(json_object_get(json, "pools")), ==,
			 2);
	ASSERT_CONTAINS(f->fake.document, "\"max_replicas\":3");
	ASSERT_CONTAINS(f->fake.document, "v<b>&amp;");
	json_decref(json);
	g_assert_cmpint(send_request(f, "/?accepted=2", NULL, NULL), ==, 200);
	ASSERT_CONTAINS(f->body->str, "accepted as a whole");
}

/* Guards against a rejected form that shows only the first reason, loses input,
 * or sends an invalid document to the controller. */
static void test_rejected_document(fixture_t *f, gconstpointer data)
{
	(void)data;
	get_edit_form(f);
	g_assert_cmpint(post_form(f, "new models", ""), ==, 200);
	g_assert_cmpint(post_form(f, "submit",
				  OPEN_CONTRACT
				  "&f.0.max_replicas=%22many%3E&"
				  "f.0.priority=17&open.1=models+%2B1"),
			==, 422);
	ASSERT_CONTAINS(f->body->str,
			"<code>models/contract.max_replicas</code>");
	ASSERT_CONTAINS(f->body->str, "value=\"&quot;many&gt;\"></span><span>"
				      "<span class=\"hint\"></span>\n"
				      "<em>in force: <code>1</code></em>\n"
				      "<span class=\"reason\">");
	ASSERT_CONTAINS(f->body->str,
			"<code>17</code> is not allowed; allowed: a "
			"whole number from 0 to 9");
	ASSERT_CONTAINS(f->body->str, "<code>models[1].name</code>");
	ASSERT_CONTAINS(f->body->str, "id=\"f.1.name\"");
	/* A name with a dot is not parsed as another entry and its field. */
	g_assert_cmpint(post_form(f, "submit",
				  "&open.0=models+%2B1&f.0.name=contract.x&"
				  "f.0.priority=99"),
			==, 422);
	ASSERT_CONTAINS(f->body->str,
			"value=\"99\"></span><span><span "
			"class=\"hint\">0 is the highest, 9 the lowest"
			"</span>\n<span class=\"reason\">");
	g_assert_cmpuint(f->fake.puts, ==, 0);
	f->fake.canned_path = "/v1/config";
	f->fake.canned_method = "PUT";
	f->fake.canned_status = 422;
	f->fake.canned_body =
		"{\"problems\":[{\"path\":\"models/contract.memory_mib\","
		"\"value\":\"16000\",\"allowed\":\"less <here>\"}]}";
	g_assert_cmpint(post_form(f, "revert models +1", ""), ==, 200);
	g_assert_cmpint(post_form(f, "submit",
				  OPEN_CONTRACT
				  "&f.0.max_replicas=2&f.0.priority=7"),
			==, 422);
	ASSERT_CONTAINS(f->body->str, "allowed: less &lt;here&gt;");
	ASSERT_CONTAINS(f->body->str, "name=\"f.0.priority\"");
	f->fake.canned_status = 500;
	g_assert_cmpint(post_form(f, "submit", ""), ==, 502);
	ASSERT_CONTAINS(f->changes, "\"priority\":7");
	g_assert_cmpint(f->fake.generation, ==, 1);
}

/* Guards against a silent merge and lost input when another operator submits a
 * document, before or after the console reads the one in force. */
static void test_conflict(fixture_t *f, gconstpointer data)
{
	(void)data;
	get_edit_form(f);
	f->fake.concurrent_document = g_strdup(DOC("v2", "5"));
	g_assert_cmpint(
		post_form(f, "submit", OPEN_CONTRACT "&f.0.max_replicas=2"), ==,
		409);
	ASSERT_CONTAINS(f->body->str, "generation 2 is in force now");
	ASSERT_CONTAINS(f->body->str, "max_replicas: 5 -&gt; 2");
	ASSERT_CONTAINS(f->body->str, "another operator changed it too");
	ASSERT_CONTAINS(f->body->str, "The newer document, generation 2");
	ASSERT_CONTAINS(f->changes, "\"max_replicas\":2");
	g_assert_cmpstr(f->generation, ==, "2");
	g_assert_cmpstr(f->fake.document, ==, DOC("v2", "5"));
	fake_control_accept(&f->fake, DOC("v3", "6"));
	g_assert_cmpint(post_form(f, "submit", OPEN_CONTRACT "&f.0.priority=4"),
			==, 409);
	ASSERT_CONTAINS(f->changes, "\"priority\":4");
	ASSERT_CONTAINS(f->body->str, "in force: <code>6</code>");
	g_assert_cmpint(f->fake.generation, ==, 3);
	g_assert_cmpint(post_form(f, "submit", ""), ==, 303);
	g_assert_cmpint(f->fake.generation, ==, 4);
	ASSERT_CONTAINS(f->fake.document, "\"max_replicas\":2");
}

/* Guards against a second change when the response to the first is lost and the
 * operator submits again. */
static void test_lost_answer(fixture_t *f, gconstpointer data)
{
	(void)data;
	get_edit_form(f);
	f->fake.lose_put_answer = true;
	g_assert_cmpint(
		post_form(f, "submit", OPEN_CONTRACT "&f.0.max_replicas=2"), ==,
		503);
	ASSERT_CONTAINS(f->body->str, "may have been accepted");
	g_assert_cmpint(post_form(f, "submit", ""), ==, 303);
	g_assert_cmpint(f->fake.generation, ==, 2);
	g_assert_cmpuint(f->fake.puts, ==, 1);
}

/* Guards against cross-site request forgery and DNS rebinding: a form with a
 * wrong Origin, Host, token or cookie is refused. */
static void test_forged_form(fixture_t *f, gconstpointer data)
{
	g_autofree char *token = NULL;
	g_autofree char *form = NULL;
	const char *valid = "&generation=1&changes=%5B%5D&action=submit"
			    "&open.0=models+contract&f.0.max_replicas=2";

	(void)data;
	get_edit_form(f);
	form = g_strconcat("token=", f->token, valid, NULL);
	g_assert_cmpint(
		send_request(f, "/edit", form, "Origin: http://a.example"), ==,
		403);
	g_assert_cmpint(send_request(f, "/edit", form, "Origin: null"), ==,
			403);
	g_assert_cmpint(send_request(f, "/edit", form, "Host: a.example"), ==,
			403);
	g_assert_cmpint(send_request(f, "/", NULL, "Host: a.example"), ==, 403);
	g_assert_cmpint(send_request(f, "/edit", valid + 1, NULL), ==, 403);
	f->cookie[strlen(f->cookie) - 1] ^= 1;
	g_assert_cmpint(send_request(f, "/edit", form, NULL), ==, 403);
	g_clear_pointer(&f->cookie, g_free);
	g_assert_cmpint(send_request(f, "/edit", form, NULL), ==, 403);
	g_assert_cmpuint(f->fake.puts, ==, 0);
	f->cookie = g_strdup(f->set_cookie);
	g_assert_cmpint(send_request(f, "/edit", form, NULL), ==, 303);
}

/* Guards against a malformed or oversized form that crashes the console or is
 * submitted to the controller. */
static void test_malformed_form(fixture_t *f, gconstpointer data)
{
	static const char *const forms[] = {
		"&generation=x&changes=%5B%5D",
		"&generation=1",
		"&generation=1&changes=%7B%7D",
		"&generation=1&changes=%5B1%5D",
		"&generation=1&changes=%5B%7B%22section%22%3A%22x%22%7D%5D",
		"&generation=1&changes=%5B%5D&open.0=nowhere+x",
		"&generation=1&changes=%5B%5D&open.0=models",
		"&generation=1&changes=%FF",
		"&generation=1&changes=%5",
	};
	g_autofree char *large = g_strnfill(8 * 1024 * 1024 + 1, 'a');

	(void)data;
	get_edit_form(f);
	for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
		g_autofree char *form =
			g_strconcat("token=", f->token, forms[i], NULL);

		g_assert_cmpint(send_request(f, "/edit", form, NULL), ==, 400);
	}
	g_assert_cmpint(send_request(f, "/edit", "{}",
				     "Content-Type: application/json"),
			==, 400);
	g_assert_cmpint(send_request(f, "/edit", large, NULL), ==, 413);
	ASSERT_CONTAINS(f->body->str, "larger than 8 MiB");
	g_assert_cmpint(send_request(f, "/", "a=b", NULL), ==, 405);
	g_assert_cmpuint(f->fake.puts, ==, 0);
}

/* Guards against input that is lost when it is posted while the controller is
 * down. */
static void test_controller_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	get_edit_form(f);
	f->fake.canned_path = "/v1/config";
	f->fake.canned_status = 200;
	f->fake.canned_body = "{\"generation\":\"one\"}";
	g_assert_cmpint(send_request(f, "/", NULL, NULL), ==, 503);
	fake_control_finish(&f->fake);
	f->fake.daemon = NULL;
	g_assert_cmpint(
		post_form(f, "submit", OPEN_CONTRACT "&f.0.version=%3Cv9%3E"),
		==, 503);
	ASSERT_CONTAINS(f->body->str,
			"name=\"f.0.version\" value=\"&lt;v9&gt;\"");
	ASSERT_CONTAINS(f->body->str, "name=\"action\" value=\"submit\"");
	g_assert_cmpint(send_request(f, "/", NULL, NULL), ==, 503);
	g_assert_cmpint(send_request(f, "/edit", NULL, NULL), ==, 503);
	g_assert_cmpint(send_request(f, "/document", NULL, NULL), ==, 503);
}

static void check_config(fixture_t *f, int expected, const char *reason)
{
	g_autofree char *out = NULL;
	g_autofree char *err = NULL;
	const char *const arguments[] = { "--check-config", "-c", f->settings,
					  NULL };

	g_assert_cmpint(run_program(&out, &err, "bshconsoled", arguments), ==,
			expected);
	ASSERT_CONTAINS(err, reason);
}

static void test_check_config(fixture_t *f, gconstpointer data)
{
	(void)data;
	check_config(f, 0, "");
	write_settings(f, "");
	check_config(f, 0, "");
	write_settings(f, "example.org:80");
	check_config(f, 1, "console.listen: 'example.org:80' is not IP:port");
	write_settings(f, "\n[nowhere]\na=b");
	check_config(f, 1, "unknown group [nowhere]");
}

#define ADD(path, function)                                                    \
	g_test_add(path, fixture_t, NULL, set_up, function, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	ADD("/bshconsoled/view", test_view);
	ADD("/bshconsoled/submit", test_submit);
	ADD("/bshconsoled/rejected", test_rejected_document);
	ADD("/bshconsoled/conflict", test_conflict);
	ADD("/bshconsoled/lost-answer", test_lost_answer);
	ADD("/bshconsoled/forged", test_forged_form);
	ADD("/bshconsoled/malformed", test_malformed_form);
	ADD("/bshconsoled/controller-down", test_controller_down);
	ADD("/bshconsoled/check-config", test_check_config);
	return g_test_run();
}
