#ifndef BSH_SUPPORT_FLEET_H
#define BSH_SUPPORT_FLEET_H

/*
 * NAME
 *	fleet - instances, a network and a store under the virtual clock
 *
 * DESCRIPTION
 *	Runs any implementation of fleet_app_t.  The network and the store
 *	keep their own records, from which the checker counts: a checker
 *	never asks the implementation about anything but the generation that
 *	it runs and whether it takes new work.
 */

#include "protocol/adoption_message.h"
#include "support/sim.h"

#define FLEET_SIDES	4
#define FLEET_UDP_OVERHEAD_BYTES 28 /* IP and UDP headers */

typedef struct fleet fleet_t;

/* One instance as the implementation sees it. */
typedef struct {
	void *(*start)(fleet_t *fleet, guint node);
	void (*stop)(void *app);
	int64_t (*tick)(void *app, int64_t now_us);
	void (*receive)(void *app, int64_t now_us, guint from,
			uint64_t incarnation, const uint8_t *data, size_t size,
			bool is_datagram);
	void (*read_done)(void *app, int64_t now_us, uint64_t tag,
			  bsh_error_t err, const bsh_adoption_object_t *object);
	void (*update_done)(void *app, int64_t now_us, uint64_t tag,
			    bsh_error_t err, uint64_t version);
	void (*apply)(void *app, int64_t now_us, uint64_t request,
		      GBytes *document);
	uint64_t (*generation)(void *app);
	bool (*takes_work)(void *app, int64_t now_us);
} fleet_app_t;

typedef struct {
	char name[BSH_NAME_SIZE];
	char address[BSH_ADDRESS_SIZE];
	char zone[BSH_NAME_SIZE];
	void *app; /* NULL: down */
	uint64_t incarnation;
	int64_t started_us;
	int64_t listed_us; /* first start */
	int64_t frozen_until_us;
	int64_t next_tick_us;
	guint side;
	uint64_t highest_generation; /* generation it took work with */
	uint64_t sent_bytes, sent, received_bytes, received;
	uint64_t stream_bytes;
	int64_t cpu_ns;
} fleet_node_t;

typedef struct {
	uint64_t generation;
	uint64_t hash;
	int64_t accepted_us;
	int64_t last_old_us; /* last time someone took work without it */
	int64_t told_us;     /* in force, 0: not told */
} fleet_accepted_t;

typedef struct {
	uint64_t old;	    /* ran an older generation after the bound */
	uint64_t revert;    /* took work with a lower one than before */
	uint64_t fork;	    /* two documents of one generation */
	uint64_t overwrite; /* accepted, but based on another generation */
	uint64_t false_in_force;    /* "in force" although someone ran an older one */
	uint64_t idle;	    /* took no work though it should */
} fleet_violations_t;

struct fleet {
	sim_t sim;
	const fleet_app_t *app;
	guint n;
	fleet_node_t *nodes;
	GHashTable *by_address;
	bool verbose;
	bool measure_cpu;

	/* Network. */
	int64_t delay_min_us, delay_max_us;
	double loss, late; /* of datagrams; late: share repeated later */
	bool cut[FLEET_SIDES][FLEET_SIDES];
	int64_t list_lag_us;

	/* Store. */
	bsh_adoption_object_t object;
	bool store_down;
	bool store_cut[FLEET_SIDES];
	int64_t store_min_us, store_max_us;
	double store_response_loss;
	int64_t update_delay_us; /* updates from side 1 are under way longer */
	uint64_t store_calls;
	GPtrArray *watches;
	gsize last_watch_id;

	/* Records. */
	GArray *accepted; /* fleet_accepted_t, by generation from 1 */
	fleet_violations_t bad;
	int64_t bound_us;
	int64_t serve_after_us; /* 0: idle instances are no violation */
	uint64_t results[BSH_ERR_COUNT];
};

void fleet_init(fleet_t *f, const fleet_app_t *app, guint n, guint zones,
		uint32_t seed);
void fleet_finish(fleet_t *f);

void fleet_start(fleet_t *f, guint node);
void fleet_kill(fleet_t *f, guint node);
void fleet_freeze(fleet_t *f, guint node, int64_t duration_us);

/* fleet_apply - an operator puts a new document at this instance. */
void fleet_apply(fleet_t *f, guint node);

/* fleet_run - until a time, checking every 50 ms. */
void fleet_run(fleet_t *f, int64_t until_us);

/* ---- for implementations ---- */

/* fleet_is_listed - the platform's list, which lags, shows the instance. */
bool fleet_is_listed(const fleet_t *f, guint node);

void fleet_send(fleet_t *f, guint from, guint to, const uint8_t *data,
		size_t size, bool is_datagram);
gint fleet_find(const fleet_t *f, const char *address);
void fleet_store_read(fleet_t *f, guint node, uint64_t tag, uint64_t version,
		      uint32_t timeout_ms);
void fleet_store_update(fleet_t *f, guint node, uint64_t tag,
			const bsh_adoption_object_t *object);
void fleet_record_in_force(fleet_t *f, uint64_t generation);
void fleet_tick(fleet_t *f, guint node);
uint64_t fleet_hash(GBytes *document);

/* ---- the two implementations ---- */

extern const fleet_app_t fleet_berylshunt;

struct bsh_members *fleet_members(void *app);
struct bsh_adoption *fleet_adoption(void *app);

#endif
