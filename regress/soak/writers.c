/* Another writer of the platform's store, whose objects are none of the protocol,
 * and kills of all instances at a time. */
#include "soak/soak.h"

#include <signal.h>
#include <string.h>

#define WRITE_MAX_MS 80
#define KILL_MIN_MS  1500
#define KILL_MAX_MS  2500
#define NAMES	     16
#define TEXT_MAX     400

static uint32_t below(soak_t *soak, uint32_t n)
{
	return bsh_rng_below(&soak->writer_rng, n);
}

/* Texts that are no address, made of the address of a worker. */
static char *odd_address(soak_t *soak)
{
	const worker_t *worker =
		&soak->rig.workers[below(soak, soak->rig.n_workers)];
	g_auto(GStrv) parts = g_strsplit(worker->address, ":", 2);
	const char *h = parts[0];
	const char *p = parts[1];

	switch (below(soak, 18)) {
	case 0:
		return g_strdup_printf("%s:0", h);
	case 1:
		return g_strdup("");
	case 2:
		return g_strdup_printf("%s :%s", h, p);
	case 3:
		return g_strdup_printf(":%s", p);
	case 4:
		return g_strdup_printf("http://%s:%s/", h, p);
	case 5:
		return g_strdup_printf("%s:%s:%s", h, p, p);
	case 6:
		return g_strdup_printf("::1:%s", p);
	case 7:
		return g_strdup("7c1e13172c1e");
	case 8:
		return g_strdup_printf("127..1:%s", p);
	case 9:
		return g_strdup_printf("\303\274\304\260\364\217\277\277:%s",
				       p);
	case 10:
		return g_strdup_printf("%s:%s%s%s", h, p, p, p);
	case 11:
		return g_strdup_printf("%s:-1", h);
	case 12:
		return g_strdup_printf("[%s]:%s", h, p);
	case 13:
		return g_strdup_printf("%s:%s\n", h, p);
	case 14:
		return g_strdup_printf("%s:%s x", h, p);
	case 15:
		return g_strdup_printf("[::1:%s", p);
	case 16:
		return g_strdup_printf("fe80::1%%lo:%s", p);
	default:
		return g_strnfill(TEXT_MAX, ':');
	}
}

static json_t *odd_value(soak_t *soak)
{
	g_autofree char *address = odd_address(soak);

	switch (below(soak, 8)) {
	case 0:
		return json_null();
	case 1:
		return json_integer(-1);
	case 2:
		return json_real(1e300);
	case 3:
		return json_array();
	case 4:
		return json_pack("[[], {}, {s:n}, {s:s}]", "name", "name", "x");
	case 5:
		return json_string("a b=c\td\ne");
	default:
		return json_string(address);
	}
}

/* An entry whose address is none; other fields may be odd, too. */
static json_t *odd_entry(soak_t *soak)
{
	static const char *const fields[] = { "service", "zone",  "version",
					      "state",	 "slots", "seq",
					      "models",	 "born",  "atHand" };
	g_autofree char *address = odd_address(soak);
	json_t *spec = json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:[]}",
				 "service", "llm", "zone", "z1", "version",
				 "v1", "state", "ready", "address", address,
				 "slots", 4, "seq", 1, "models");

	if (below(soak, 2) == 0)
		json_object_set_new(spec,
				    fields[below(soak, G_N_ELEMENTS(fields))],
				    odd_value(soak));
	if (below(soak, 4) == 0)
		json_object_set_new(spec, "state", json_string("draining"));
	return spec;
}

static void write_odd_object(soak_t *soak)
{
	g_autofree char *name =
		g_strdup_printf("h%u=a b\tc", below(soak, NAMES));
	json_t *spec;

	if (below(soak, 8) != 0) {
		platform_rig_write(&soak->rig, "servers", name,
				   odd_entry(soak));
		return;
	}
	spec = json_object();
	json_object_set_new(spec, "gossip", odd_value(soak));
	json_object_set_new(spec, "entry", odd_value(soak));
	json_object_set_new(spec, "zone", odd_value(soak));
	platform_rig_write(&soak->rig, "berylshunt-instances", name, spec);
}

static void kill_all(soak_t *soak)
{
	int64_t now_us = bsh_loop_clock_us();

	soak_callers_killed_all(soak);
	for (uint32_t i = 0; i < soak->rig.n_entries; i++) {
		if (!soak->rig.entries[i].alive)
			continue;
		soak->entries[i].fault_us = now_us;
		soak->entries[i].crash_us = now_us;
		platform_rig_signal(&soak->rig.entries[i], SIGKILL);
	}
}

void soak_writers_step(soak_t *soak)
{
	int64_t now_us = bsh_loop_clock_us();

	if (!soak->writers)
		return;
	if (now_us >= soak->write_us) {
		write_odd_object(soak);
		soak->write_us = now_us + 1000LL * below(soak, WRITE_MAX_MS);
	}
	if (now_us < soak->kill_us)
		return;
	if (soak->kill_us > 0)
		kill_all(soak);
	soak->kill_us =
		now_us +
		1000LL * (KILL_MIN_MS + below(soak, KILL_MAX_MS - KILL_MIN_MS));
}
