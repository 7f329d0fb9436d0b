#include "support/rig.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support/loopback.h"

#define KEY		"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define STEP_US		INT64_C(20000)
#define WAIT_TIMEOUT_US INT64_C(30000000)
#define FRESH_PERIOD_US INT64_C(500000)
#define FRESH_MS	8000 /* validity sent in FRESH */

void rig_send(rig_t *rig, bsh_message_t *message)
{
	if (rig->channel != NULL)
		bsh_channel_send(rig->channel, message);
}

void rig_send_fresh(rig_t *rig)
{
	bsh_message_t message = { .type = BSH_MSG_FRESH };

	message.fresh.generation = rig->generation;
	message.fresh.confirmed = rig->fresh_ms > 0;
	message.fresh.remaining_ms = rig->fresh_ms;
	rig_send(rig, &message);
}

static void on_fresh_timer(void *ctx)
{
	rig_t *rig = ctx;

	rig_send_fresh(rig);
	bsh_loop_timer_after(&rig->fresh_timer, FRESH_PERIOD_US);
}

static void on_link_up(void *ctx, bsh_channel_t *channel)
{
	rig_t *rig = ctx;

	rig->channel = channel;
	rig->links_established++;
}

static void on_link_down(void *ctx, bsh_channel_t *channel)
{
	rig_t *rig = ctx;

	if (rig->channel == channel)
		rig->channel = NULL;
}

static void on_message(void *ctx, bsh_channel_t *channel,
		       const bsh_message_t *message)
{
	rig_t *rig = ctx;

	(void)channel;
	if (rig->on_message != NULL)
		rig->on_message(rig->ctx, message);
}

static const bsh_channel_ops_t channel_ops = { on_link_up, on_message,
					       on_link_down };

static void write_settings(rig_t *rig, const char *extra)
{
	g_autofree char *text = g_strdup_printf(
		"[instance]\nname=entry-1\nzone=a\n[security]\nkey=" KEY
		"\n[store]\naddress=127.0.0.1:1\n"
		"[control]\nlisten=127.0.0.1:1\nlink=127.0.0.1:%u\n"
		"gossip=127.0.0.1:1\n%s\n[router]\nlisten=%s\nadmin=%s\n",
		bsh_channel_listener_port(rig->listener),
		extra != NULL ? extra : "", rig->listen, rig->admin);
	int fd = g_file_open_tmp("bsh-rig-XXXXXX", &rig->settings_path, NULL);

	if (fd < 0 || write(fd, text, strlen(text)) != (ssize_t)strlen(text))
		g_error("cannot write the settings file");
	close(fd);
}

/* Kills the router when the test process dies, so that an aborted test leaves
 * no router behind. */
static void die_with_parent(void *ctx)
{
	(void)ctx;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void start_router(rig_t *rig)
{
	const char *build = g_getenv("BSH_BUILD");
	g_autofree char *program = g_build_filename(
		build != NULL ? build : "build", "bshrouterd", NULL);
	char *argv[] = { program, (char *)"-c", rig->settings_path, NULL };
	GError *error = NULL;

	if (!g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
			   die_with_parent, NULL, &rig->pid, &error))
		g_error("%s", error->message);
}

void rig_init(rig_t *rig, const char *extra)
{
	static uint8_t key[BSH_KEY_SIZE_BYTES];

	memset(rig, 0, sizeof(*rig));
	apr_initialize();
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0 || bsh_loop_init(&rig->loop) != BSH_OK)
		g_error("cannot initialise libsodium or the event loop");
	for (size_t i = 0; i < sizeof(key); i++)
		key[i] = (uint8_t)i;
	bsh_hlc_init(&rig->clock);
	bsh_timeline_init(&rig->timeline, &rig->clock, "rig", "controller", 1,
			  64);
	rig->identity = (bsh_identity_t){
		.key = key,
		.instance = "entry-1",
		.incarnation = 1,
		.role = BSH_ROLE_CONTROLLER,
		.address = "",
		.timeline = &rig->timeline,
	};
	rig->fresh_ms = FRESH_MS;
	g_snprintf(rig->listen, sizeof(rig->listen), "%s:%u", loopback_ip(),
		   loopback_free_port());
	g_snprintf(rig->admin, sizeof(rig->admin), "%s:%u", loopback_ip(),
		   loopback_free_port());
	rig->client = bsh_http_client_new(&rig->loop, 64);
	rig->listener = bsh_channel_listen(&rig->loop, &rig->identity,
					   "127.0.0.1:0", &channel_ops, rig);
	write_settings(rig, extra);
	start_router(rig);
	bsh_loop_timer_init(&rig->fresh_timer, &rig->loop, on_fresh_timer, rig);
	on_fresh_timer(rig);
	rig_wait(rig, &rig->links_established, 1);
}

void rig_step(rig_t *rig)
{
	bsh_loop_step(&rig->loop, STEP_US);
}

void rig_wait(rig_t *rig, const int *counter, int value)
{
	int64_t end_us = bsh_loop_clock_us() + WAIT_TIMEOUT_US;

	while (*counter < value) {
		if (bsh_loop_clock_us() > end_us)
			g_error("expected a count of %d within 30 s, got %d",
				value, *counter);
		rig_step(rig);
	}
}

void rig_send_config(rig_t *rig, const char *document)
{
	bsh_message_t message = { .type = BSH_MSG_CONFIG };

	message.config.generation = ++rig->generation;
	message.config.text = document;
	rig_send(rig, &message);
	rig_send_fresh(rig);
}

void rig_set_targets(rig_t *rig, const char *name, bool is_service,
		     const char *const *targets)
{
	g_autofree char *scope =
		g_strconcat(is_service ? "service/" : "cell/", name, NULL);
	bsh_route_entry_t entries[16] = { 0 };
	bsh_message_t message = { .type = BSH_MSG_ROUTES };
	uint32_t count = 0;

	for (; targets[2 * count] != NULL; count++)
		entries[count] = (bsh_route_entry_t){
			.name = name,
			.is_service = is_service,
			.target = targets[2 * count],
			.target_incarnation = 1,
			.address = targets[2 * count + 1],
			.zone = "a",
			.max_running = 1000,
		};
	message.routes.cell = scope;
	message.routes.epoch = 1;
	message.routes.sequence = ++rig->sequence;
	message.routes.entries = entries;
	message.routes.entry_count = count;
	rig_send(rig, &message);
	/* Requests use other connections and could arrive before the frame. */
	while (rig_counter(rig, "bsh_router_routes_total") <
	       (int64_t)rig->sequence)
		rig_step(rig);
}

typedef struct {
	int done;
	int status;
	char *body;
} admin_answer_t;

static void on_admin_answer(void *ctx, const bsh_http_result_t *result)
{
	admin_answer_t *answer = ctx;

	answer->status = result->status;
	answer->body = g_strdup(result->body);
	answer->done = 1;
}

char *rig_get(rig_t *rig, const char *path, int *status)
{
	static const bsh_http_handler_t handler = { .on_end = on_admin_answer };
	g_autofree char *url = g_strconcat("http://", rig->admin, path, NULL);
	bsh_http_call_spec_t spec = { .method = "GET",
				      .url = url,
				      .body_max_bytes = 16 << 20 };
	bsh_http_call_t *call;
	admin_answer_t answer = { 0 };

	if (bsh_http_client_start(rig->client, &spec, &handler, &answer,
				  &call) != BSH_OK)
		g_error("cannot start a request to %s", url);
	rig_wait(rig, &answer.done, 1);
	if (status != NULL)
		*status = answer.status;
	return answer.body;
}

void rig_wait_ready(rig_t *rig)
{
	int64_t end_us = bsh_loop_clock_us() + WAIT_TIMEOUT_US;
	int status = 0;

	while (status != 200) {
		if (bsh_loop_clock_us() > end_us)
			g_error("/readyz did not answer 200 within 30 s");
		g_free(rig_get(rig, "/readyz", &status));
	}
}

int64_t rig_counter(rig_t *rig, const char *name)
{
	g_autofree char *text = rig_get(rig, "/metrics", NULL);
	g_autofree char *start = g_strdup_printf("\n%s ", name);
	const char *at = strstr(text, start);

	return at != NULL ? g_ascii_strtoll(at + strlen(start), NULL, 10) : -1;
}

int rig_wait_exit(rig_t *rig)
{
	int64_t end_us = bsh_loop_clock_us() + WAIT_TIMEOUT_US;

	while (rig->pid != 0) {
		if (waitpid(rig->pid, &rig->status, WNOHANG) == rig->pid)
			rig->pid = 0;
		else if (bsh_loop_clock_us() > end_us)
			g_error("the router did not exit within 30 s");
		else
			rig_step(rig);
	}
	return rig->status;
}

void rig_finish(rig_t *rig)
{
	if (rig->pid != 0) {
		kill(rig->pid, SIGTERM);
		rig_wait_exit(rig);
	}
	bsh_loop_timer_stop(&rig->fresh_timer);
	bsh_channel_listener_close(rig->listener);
	bsh_http_client_free(rig->client);
	bsh_loop_step(&rig->loop, 0);
	bsh_loop_finish(&rig->loop);
	bsh_timeline_finish(&rig->timeline);
	g_unlink(rig->settings_path);
	g_free(rig->settings_path);
}
