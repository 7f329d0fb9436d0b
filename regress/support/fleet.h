#ifndef BSH_SUPPORT_FLEET_H
#define BSH_SUPPORT_FLEET_H

/*
 * NAME
 *	fleet - simulated instances, network and configuration store
 *
 * DESCRIPTION
 *	Discrete-event simulation under the virtual clock of support/sim.h.
 *	Each instance runs the same implementation, a fleet_app_t.  The
 *	network and the store keep their own records, and violations are
 *	counted from these: the checker queries the implementation only for
 *	its current generation and for whether it accepts new work.
 *
 * OWNERSHIP
 *	fleet_finish() stops all instances and frees what the fleet holds.
 *	Data passed to a callback is valid during the call.
 *
 * THREADS
 *	Single-threaded.
 *
 * UNITS
 *	Times are virtual microseconds.  Byte counts include the assumed
 *	overhead of frames and, for datagrams, of IP and UDP.
 */

#include "protocol/adoption_message.h"
#include "support/sim.h"

#define FLEET_SIDES		 4  /* sides of a network partition */
#define FLEET_UDP_OVERHEAD_BYTES 28 /* IP and UDP headers */

typedef struct fleet fleet_t;

/* Implementation under test; app is the state of one instance. */
typedef struct {
	/* Returns the state of a process started as instance node. */
	void *(*start)(fleet_t *fleet, guint node);
	/* Ends the process without a shutdown and frees its state. */
	void (*stop)(void *app);
	/* Runs the timers that are due; returns the time of the next one. */
	int64_t (*tick)(void *app, int64_t now_us);
	/* A message arrived; from and incarnation name its sender. */
	void (*receive)(void *app, int64_t now_us, guint from,
			uint64_t incarnation, const uint8_t *data, size_t size,
			bool is_datagram);
	/* Result of fleet_store_read(); object is NULL unless err is BSH_OK. */
	void (*read_done)(void *app, int64_t now_us, uint64_t tag,
			  bsh_error_t err, const bsh_adoption_object_t *object);
	/* Result of fleet_store_update().  version: current one of the store
	 * if err is BSH_OK or BSH_ERR_CONFLICT. */
	void (*update_done)(void *app, int64_t now_us, uint64_t tag,
			    bsh_error_t err, uint64_t version);
	/* An operator submits a document, based on the current generation. */
	void (*apply)(void *app, int64_t now_us, uint64_t request,
		      GBytes *document);
	/* Generation of the configuration that the instance runs. */
	uint64_t (*generation)(void *app);
	/* True if the instance accepts new work. */
	bool (*takes_work)(void *app, int64_t now_us);
} fleet_app_t;

/* One simulated instance. */
typedef struct {
	char name[BSH_NAME_SIZE];
	char address[BSH_ADDRESS_SIZE]; /* IP:port of the gossip socket */
	char zone[BSH_NAME_SIZE];
	void *app; /* state of the implementation, NULL: not running */
	uint64_t incarnation;
	int64_t started_us; /* time of the last start */
	/* Time of the first start, from which list_lag_us counts; 0: in the
	 * platform's list from the beginning, below 0: not started yet. */
	int64_t listed_us;
	int64_t frozen_until_us; /* end of a pause of the process */
	int64_t next_tick_us;	 /* INT64_MAX: none scheduled */
	guint side;		 /* of a partition, below FLEET_SIDES */
	/* Highest one with which this process has accepted work. */
	uint64_t highest_generation;
	/* Datagrams: bytes and counts. */
	uint64_t sent_bytes, sent, received_bytes, received;
	uint64_t stream_bytes; /* sent and received over streams */
	int64_t cpu_ns;	       /* CPU time, if measure_cpu is set */
} fleet_node_t;

/* One configuration generation that the store has accepted. */
typedef struct {
	uint64_t generation;
	uint64_t hash;	     /* of the document */
	int64_t accepted_us; /* time of the update at the store */
	/* Time of the last check at which an instance accepted work with an
	 * older generation; accepted_us if none did. */
	int64_t last_old_us;
	int64_t told_us; /* time first reported in force, 0: not reported */
} fleet_accepted_t;

/* Number of violations.  Those that last count again at every check. */
typedef struct {
	/* Accepted work with an older generation later than bound_us after
	 * a newer one was accepted. */
	uint64_t old;
	/* Accepted work with a lower generation than before. */
	uint64_t revert;
	/* Two different documents under one generation. */
	uint64_t fork;
	/* Accepted document was not based on the preceding generation. */
	uint64_t overwrite;
	/* Reported in force while an instance accepted work with an older
	 * generation. */
	uint64_t false_in_force;
	/* Refused work after serve_after_us and more than 15 s after its
	 * start. */
	uint64_t idle;
} fleet_violations_t;

struct fleet {
	sim_t sim;
	const fleet_app_t *app;
	guint n; /* number of nodes */
	fleet_node_t *nodes;
	GHashTable *by_address; /* address -> index of the node */
	bool verbose;		/* print each violation to stderr */
	bool measure_cpu;

	/* Network. */
	int64_t delay_min_us, delay_max_us; /* one way */
	/* Probability that a datagram is lost. */
	double loss;
	/* Probability that a message, also one of a stream, is delivered a
	 * second time, 2 to 40 s later. */
	double late;
	/* [from][to]: all messages in this direction are lost. */
	bool cut[FLEET_SIDES][FLEET_SIDES];
	/* Time from the first start of an instance until the platform's list
	 * shows it. */
	int64_t list_lag_us;

	/* Store. */
	bsh_adoption_object_t object;	    /* version 0: absent */
	bool store_down;		    /* every call fails */
	bool store_cut[FLEET_SIDES];	    /* the side has no connection */
	int64_t store_min_us, store_max_us; /* delay, one way */
	double store_response_loss;	    /* probability per call */
	/* Additional delay of updates from side 1 on the way to the store. */
	int64_t update_delay_us;
	uint64_t store_calls; /* requests sent by all instances */
	GPtrArray *watches;   /* reads that wait for a newer version */
	gsize last_watch_id;

	/* Records. */
	GArray *accepted; /* fleet_accepted_t; index 0 is generation 1 */
	fleet_violations_t bad;
	/* Longest time from the acceptance of a generation until no instance
	 * accepts work with an older one. */
	int64_t bound_us;
	int64_t serve_after_us; /* 0: idle instances are no violation */
	uint64_t results[BSH_ERR_COUNT]; /* number of apply results */
};

/* fleet_init - n instances, all down, spread over availability zones. */
void fleet_init(fleet_t *f, const fleet_app_t *app, guint n, guint zones,
		uint32_t seed);
void fleet_finish(fleet_t *f);

/* fleet_start - start a process with a new incarnation; it must be down. */
void fleet_start(fleet_t *f, guint node);

/* fleet_kill - end the process without a shutdown; nothing if it is down. */
void fleet_kill(fleet_t *f, guint node);

/* fleet_freeze - pause the process; its events wait until it resumes. */
void fleet_freeze(fleet_t *f, guint node, int64_t duration_us);

/*
 * fleet_apply - submit a new document, as an operator does, at this instance;
 * nothing if it is down or frozen.
 */
void fleet_apply(fleet_t *f, guint node);

/* fleet_run - run until a time and check all instances every 50 ms. */
void fleet_run(fleet_t *f, int64_t until_us);

/* ---- for implementations ---- */

/* fleet_is_listed - true if the platform's list shows the instance. */
bool fleet_is_listed(const fleet_t *f, guint node);

/* fleet_send - copy and send a message, subject to the network's faults. */
void fleet_send(fleet_t *f, guint from, guint to, const uint8_t *data,
		size_t size, bool is_datagram);

/* fleet_find - index of the node with this address, or -1. */
gint fleet_find(const fleet_t *f, const char *address);

/*
 * fleet_store_read - read the object; if its version is not above version,
 * wait up to timeout_ms for a change, then BSH_ERR_TIMEOUT.  Ends in
 * read_done() with this tag.
 */
void fleet_store_read(fleet_t *f, guint node, uint64_t tag, uint64_t version,
		      uint32_t timeout_ms);

/*
 * fleet_store_update - replace the object if its version is still
 * object->version.  Ends in update_done() with this tag.
 */
void fleet_store_update(fleet_t *f, guint node, uint64_t tag,
			const bsh_adoption_object_t *object);

/* fleet_record_in_force - an instance reported the generation in force. */
void fleet_record_in_force(fleet_t *f, uint64_t generation);

/* fleet_tick - run the instance's due timers and schedule the next tick. */
void fleet_tick(fleet_t *f, guint node);

uint64_t fleet_hash(GBytes *document);

/* ---- berylshunt's membership and adoption modules ---- */

extern const fleet_app_t fleet_berylshunt;

/* Modules of an instance that runs fleet_berylshunt; owned by app. */
struct bsh_members *fleet_members(void *app);
struct bsh_adoption *fleet_adoption(void *app);

#endif
