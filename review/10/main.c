/* All instances but one are restarted in turn; the last one is killed before its
 * turn.  Callers take its streams up at the others. */
#include <signal.h>
#include <string.h>

#include "stand.h"

#define INSTANCES 3
#define STREAMS	  16
/* Tries of a caller to take its stream up. */
#define TRIES_MAX   3
#define DEADLINE_MS 6000
#define CONTACT_MS  3000
/* The rule counts from this many streams on. */
#define STREAMS_MIN 12

typedef struct {
	char id[32];
	rig_reply_t reply;
	rig_reply_t again;
	uint32_t tries;
	int64_t next_ms;
	int64_t until_ms;
	uint32_t last_event;
	bool goes_on;
} stream_t;

typedef struct {
	stand_t stand;
	stream_t streams[STREAMS];
	rig_reply_t news[STREAMS];
	uint32_t n_new;
} case_t;

static void configure(case_t *c)
{
	g_autofree char *route = stand_route("reply", "stream", "llm", 2, true,
					     DEADLINE_MS, 300);
	g_autofree char *service = stand_service(&c->stand, "llm", 0, 1);

	stand_configure(&c->stand, route, service);
}

/* Number of the last whole event. */
static uint32_t last_event(const rig_reply_t *reply)
{
	const char *text =
		reply->received != NULL ? reply->received->str : reply->body;
	uint32_t last = 0;

	for (const char *at = text; at != NULL && (at = strstr(at, "id: "));) {
		const char *end = strstr(at, "\n\n");

		if (end == NULL)
			break;
		last = (uint32_t)g_ascii_strtoull(at + 4, NULL, 10);
		at = end;
	}
	return last;
}

static void wait_exit(case_t *c, rig_entry_t *entry)
{
	for (int i = 0; i < 500 && stand_is_running(&c->stand, entry); i++)
		platform_rig_run(&c->stand.rig, 20);
	if (stand_is_running(&c->stand, entry))
		kill(entry->pid, SIGKILL);
}

static void restart(case_t *c, rig_entry_t *entry)
{
	stand_log(&c->stand, "SIGTERM to %s", entry->name);
	kill(entry->pid, SIGTERM);
	wait_exit(c, entry);
	platform_rig_run(&c->stand.rig, 200);
	platform_rig_spawn(&c->stand.rig, entry);
	platform_rig_wait_ready(&c->stand.rig, entry);
	stand_log(&c->stand, "%s has been restarted and is ready", entry->name);
}

static void take_up(case_t *c, uint32_t i)
{
	stream_t *stream = &c->streams[i];
	rig_entry_t *entry =
		&c->stand.rig
			 .entries[1 + (i + stream->tries) % (INSTANCES - 1)];
	int64_t left_ms = stream->until_ms - stand_now_ms(&c->stand);
	char id[48];

	g_snprintf(id, sizeof(id), "%s-again-%u", stream->id, ++stream->tries);
	platform_rig_reply_clear(&stream->again);
	platform_rig_resume(&c->stand.rig, entry->front, "/reply/1", id, "m0",
			    (uint32_t)MAX(left_ms, 1), stream->last_event,
			    stream->id, &stream->again);
	stream->next_ms = INT64_MAX;
	stand_log(&c->stand, "caller takes %s up after event %u at %s as %s",
		  stream->id, stream->last_event, entry->name, id);
}

/* Reads the end of a try; the next one follows after Retry-After. */
static void check_try(case_t *c, uint32_t i)
{
	stream_t *stream = &c->streams[i];
	const rig_reply_t *again = &stream->again;
	double wait_s;

	if (!stream->goes_on && again->received != NULL &&
	    again->received->len > 0 && last_event(again) > 0)
		stream->goes_on = true;
	if (stream->next_ms != INT64_MAX || !again->done)
		return;
	stand_log(&c->stand, "answer to %s, try %u: status %d%s%s%s",
		  stream->id, stream->tries, again->status,
		  again->retry_after != NULL ? ", Retry-After " : "",
		  again->retry_after != NULL ? again->retry_after : "",
		  stream->goes_on ? ", goes on" : "");
	wait_s = again->retry_after != NULL
			 ? g_ascii_strtod(again->retry_after, NULL)
			 : 0.05;
	stream->next_ms =
		stream->goes_on || stream->tries == TRIES_MAX
			? INT64_MAX - 1
			: stand_now_ms(&c->stand) + (int64_t)(wait_s * 1000);
}

static void follow_streams(case_t *c, int64_t until_ms)
{
	int64_t next_new_ms = 0;

	while (stand_now_ms(&c->stand) < until_ms) {
		int64_t now_ms;

		platform_rig_run(&c->stand.rig, 10);
		now_ms = stand_now_ms(&c->stand);
		for (uint32_t i = 0; i < STREAMS; i++) {
			stream_t *stream = &c->streams[i];

			if (!stream->reply.done)
				continue;
			if (stream->tries == 0 && stream->reply.complete)
				continue;
			if (stream->tries == 0) {
				stream->last_event = last_event(&stream->reply);
				take_up(c, i);
			} else if (now_ms >= stream->next_ms) {
				take_up(c, i);
			}
			check_try(c, i);
		}
		/* New streams at the same instances. */
		if (now_ms >= next_new_ms && c->n_new < STREAMS) {
			rig_entry_t *entry =
				&c->stand.rig
					 .entries[1 +
						  c->n_new % (INSTANCES - 1)];
			char id[32];

			g_snprintf(id, sizeof(id), "new-%u", c->n_new);
			platform_rig_send(&c->stand.rig, entry->front,
					  "/reply/1", id, "m0", DEADLINE_MS,
					  &c->news[c->n_new++]);
			next_new_ms = now_ms + 60;
		}
	}
}

static int judge(case_t *c)
{
	uint32_t taken = 0;
	uint32_t on = 0;
	uint32_t whole = 0;
	uint32_t begun = 0;
	bool broken;

	for (uint32_t i = 0; i < STREAMS; i++) {
		taken += c->streams[i].tries > 0;
		on += c->streams[i].goes_on;
		whole += c->streams[i].reply.complete;
	}
	for (uint32_t i = 0; i < c->n_new; i++)
		begun += c->news[i].status == 200;
	broken = taken >= STREAMS_MIN && on * c->n_new * 2 < begun * taken;
	stand_log(&c->stand,
		  "%sstreams=%u whole=%u taken up=%u go on=%u new=%u begun=%u",
		  broken ? "BROKEN: " : "", STREAMS, whole, taken, on, c->n_new,
		  begun);
	printf("streams=%u whole=%u taken_up=%u go_on=%u new=%u begun=%u\n",
	       STREAMS, whole, taken, on, c->n_new, begun);
	return broken;
}

int main(int argc, char **argv)
{
	static const char *const models[] = { "m0", NULL };
	static case_t c;
	rig_entry_t *entries = c.stand.rig.entries;
	int64_t now_ms;
	int broken;

	stand_init(&c.stand, argc > 1 ? argv[1] : "record.txt");
	configure(&c);
	for (int i = 0; i < 3; i++) {
		stand_engine_t *engine =
			stand_add_engine(&c.stand, "llm", models);

		engine->n_events = 40;
		engine->gap_ms = 100;
	}
	for (int i = 0; i < INSTANCES; i++)
		stand_add_instance(&c.stand, NULL);
	stand_wait_ready(&c.stand, INSTANCES);
	platform_rig_run(&c.stand.rig, 36000);
	for (int i = 1; i < INSTANCES; i++) {
		restart(&c, &entries[i]);
		/* The next one follows when this one is in touch. */
		platform_rig_run(&c.stand.rig, CONTACT_MS + 500);
	}
	now_ms = stand_now_ms(&c.stand);
	for (uint32_t i = 0; i < STREAMS; i++) {
		stream_t *stream = &c.streams[i];

		g_snprintf(stream->id, sizeof(stream->id), "stream-%u", i);
		stream->next_ms = INT64_MAX;
		stream->until_ms = now_ms + DEADLINE_MS;
		platform_rig_send(&c.stand.rig, entries[0].front, "/reply/1",
				  stream->id, "m0", DEADLINE_MS,
				  &stream->reply);
	}
	platform_rig_run(&c.stand.rig, 1200);
	if (c.stand.trouble) {
		stand_log(&c.stand, "%s is killed", entries[0].name);
		kill(entries[0].pid, SIGKILL);
	}
	follow_streams(&c, now_ms + DEADLINE_MS + 500);
	broken = judge(&c);
	for (uint32_t i = 0; i < STREAMS; i++) {
		platform_rig_reply_clear(&c.streams[i].reply);
		platform_rig_reply_clear(&c.streams[i].again);
	}
	for (uint32_t i = 0; i < c.n_new; i++)
		platform_rig_reply_clear(&c.news[i]);
	stand_finish(&c.stand);
	return broken;
}
