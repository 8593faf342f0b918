#ifndef DRIVE_H
#define DRIVE_H

/*
 * Stand-ins for a small deployment, in one process: workers, the platform's
 * machine service, an operator and callers. The daemons run as separate
 * processes on loopback. A scenario is written as plain sequential code; every
 * wait runs the event loop.
 */

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <inttypes.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#define CORES 3 /* control daemons */
#define MAX_WORKERS 64
#define MAX_QUEUES 4

/* Bounds of the small sites, as deploy/settings.conf.in takes them. */
#define MAX_HOLD_MS 10000
#define LEASE_MS 3000
#define STATUS_S 120
#define GRACE_S 6
#define MIGRATE_MS 1500
#define BEAT_MS 1500
#define CHECKPOINT_MS 2000

struct run {
	char task[80];
	uint32_t attempt;
	int64_t began_ms;
	int64_t ends_ms;
	bool fails;
};

struct end {
	uint64_t no;
	char task[80];
	uint32_t attempt;
	const char *how;
	bool saved;
	int64_t at_ms;
};

struct hold {
	struct evhttp_request *req;
	int64_t until_ms;
};

/* A machine and the worker that lives on it. */
struct worker {
	int no;
	char machine[16];
	char rack[16];
	char zone[8];
	char pool[16];
	char id[40];
	char addr[32];
	char ip[20];
	const char *state; /* up, moving or down */
	struct evhttp *http; /* NULL: no process */
	uint32_t life; /* lifetimes so far */
	int64_t born_ms; /* Unix ms; sent only if with_born */
	bool with_born;
	int64_t clock_from_ms; /* the clock of this lifetime began then */
	uint64_t sequence;
	uint64_t fence;
	uint64_t end_no;
	int64_t lease_ms; /* on its own clock; 0: none */
	int64_t lapsed_ms; /* the lease was last seen to be over; 0: never */
	GArray *runs; /* struct run */
	GArray *ends; /* struct end */
	GArray *holds; /* struct hold */
	GHashTable *never; /* task: highest attempt that was stopped or ended */
	int64_t next_beat_ms;
	char *beat_to; /* heartbeat-addr, or NULL */
	int slow; /* runs take so many tenths as long; 0: as usual */
	uint32_t cpu;
	bool cut; /* nothing gets through, either way; its runs go on */
	int64_t ready_ms; /* a new lifetime begins then; 0: not planned */
};

struct queue {
	const char *name;
	const char *pool;
	bool dropped; /* not in the configuration */
	int attempts;
	int stretch10;
};

/* What a scenario decides about a run that a worker begins. */
struct plan {
	int64_t ms; /* how long it takes at usual speed */
	bool fails;
	int64_t answer_after_ms; /* delay of the answer to this start */
};

extern struct worker workers[MAX_WORKERS];
extern int n_workers;
extern struct queue queues[MAX_QUEUES];
extern int n_queues;
extern const char *pools[MAX_QUEUES + 1];
extern bool trouble;
/* Length of each checkpoint; jobs are submitted as checkpointing. 0: none. */
extern int saved_bytes;
extern int ends_failed; /* runs that workers have ended as failed */
extern void (*on_start)(struct worker *w, const char *task, uint32_t attempt,
			struct plan *out);
extern void (*on_ack)(struct worker *w, const struct end *e, uint64_t cursor);

int64_t now_ms(void);
int64_t wall_ms(void);
void record(const char *fmt, ...) G_GNUC_PRINTF(1, 2);
void pump(int64_t ms);
void drive_init(int argc, char **argv);
void drive_finish(int rc) G_GNUC_NORETURN;
void could_not(const char *why) G_GNUC_NORETURN;

/* The daemons. */
void fleet_start(void);
void core_start(int no);
void core_signal(int no, int sig);
int core_own_ends(int no); /* times its process ended by itself */
bool core_runs(int no);
int core_leader(void); /* 0: none */
void cores_restart_ended(void); /* as the platform does, after a short delay */

/* Workers and their machines. */
struct worker *worker_add(const char *pool, uint32_t cpu);
void worker_begin(struct worker *w);
void worker_end_process(struct worker *w);
struct worker *worker_of(const char *task);

/* Callers and the operator. */
int call(const char *addr, enum evhttp_cmd_type method, const char *path,
	 const void *body, size_t len, int64_t timeout_ms, char *out,
	 size_t out_size, size_t *out_len);
bool apply_config(uint64_t version, int64_t within_ms);
/* A job of steps of n tasks each; the later steps wait for the earlier. */
int submit(const char *queue, const char *id, int steps, int tasks, int cpu,
	   int estimate_ms);
bool submit_until(const char *queue, const char *id, int steps, int tasks,
		  int cpu, int estimate_ms, int64_t within_ms);
int cancel(const char *queue, const char *id);
/* "": no answer */
/* A queue's pending jobs; -1: no answer. */
int64_t pending(const char *queue);
const char *job_state(const char *queue, const char *id);
const char *await_end(const char *queue, const char *id, int64_t within_ms);

#endif
