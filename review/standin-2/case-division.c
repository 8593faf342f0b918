/*
 * Two queues ask for the machines by turns. Six of 36 workers of the busy pool
 * are slow for some seconds; then the other pool's burst comes. The leader ends
 * by a failed assertion. Its process is started again, and the next turn comes.
 * Rule Fault: on half of the core, processes end by themselves three times.
 */
#include "drive.h"

#include <stdio.h>
#include <string.h>

#define WORKERS 36
#define SLOW 6
#define SLOW_FACTOR 65 /* tenths */
#define TAUGHT 2
#define LARGE 4
#define JOB_TASKS 24

static int64_t task_ms = 200;
static int job; /* number of the last job handed in */
static int first_job; /* and of the first of these handed in together */

static void begins(struct worker *w, const char *task, uint32_t attempt,
		   struct plan *out)
{
	out->ms = task_ms;
}

static int count(const char *pool)
{
	int n = 0;
	int i;

	for (i = 0; i < n_workers; i++)
		n += workers[i].http && strcmp(workers[i].pool, pool) == 0;
	return n;
}

static void wait_ms(int64_t ms)
{
	int64_t until = now_ms() + ms;

	while (now_ms() < until) {
		pump(50);
		cores_restart_ended();
	}
}

static bool finish_job(const char *queue, const char *id, int64_t within)
{
	int64_t until = now_ms() + within;
	const char *state = "";

	while (now_ms() < until) {
		state = job_state(queue, id);
		if (strcmp(state, "completed") == 0 ||
		    strcmp(state, "failed") == 0)
			break;
		wait_ms(50);
	}
	record("GET /%s/%s: %s", queue, id, state);
	return strcmp(state, "completed") == 0;
}

/* Hands in jobs of 24 tasks at most, which make n tasks together. */
static void hand_in(const char *queue, int n, int cpu, int estimate_ms)
{
	char id[24];

	for (first_job = job + 1; n > 0; n -= JOB_TASKS) {
		snprintf(id, sizeof(id), "%016x", ++job);
		if (!submit_until(queue, id, 1, MIN(n, JOB_TASKS), cpu,
				  estimate_ms, 8000))
			could_not("a job isn't accepted");
	}
}

static int often(void)
{
	int n = 0;
	int i;

	for (i = 1; i <= CORES; i++)
		n += core_own_ends(i) >= 3;
	return n;
}

int main(int argc, char **argv)
{
	const char *big = "a";
	const char *other = "b";
	int64_t from;
	char id[24];
	int i;

	drive_init(argc, argv);
	queues[n_queues++] = (struct queue){"a", "a", false, 4, 16};
	queues[n_queues++] = (struct queue){"b", "b", false, 4, 16};
	pools[0] = "a";
	pools[1] = "b";
	on_start = begins;
	for (i = 0; i < WORKERS + 3; i++)
		worker_add(i < WORKERS ? "a" : "b", 4000);
	fleet_start();
	from = now_ms();
	while (now_ms() - from < 95000 && often() < 2) {
		int slow = 0;
		int k;

		record("turn of %s: %d workers there, %d in %s", big,
		       count(big), count(other), other);
		task_ms = 200;
		for (k = 0; k < TAUGHT + LARGE; k++) {
			int j;

			hand_in(big, 2 * count(big), 2000, 200);
			for (j = first_job; j <= job; j++) {
				snprintf(id, sizeof(id), "%016x", j);
				finish_job(big, id, 8000);
			}
			if (k != TAUGHT - 1)
				continue;
			for (i = n_workers - 1; trouble && i >= 0 && slow < SLOW;
			     i--)
				if (workers[i].http &&
				    strcmp(workers[i].pool, big) == 0) {
					workers[i].slow = SLOW_FACTOR;
					slow++;
				}
			record("%d of %d workers turn slow", slow, count(big));
		}
		for (i = 0; i < n_workers; i++)
			workers[i].slow = 0;
		record("they are as fast as before; the turn of %s comes",
		       other);
		task_ms = 1000;
		hand_in(other, 72, 4000, 1000);
		wait_ms(1500);
		for (i = first_job; i <= job; i++) {
			snprintf(id, sizeof(id), "%016x", i);
			finish_job(other, id, 8000);
		}
		if (count(other) > count(big)) {
			const char *t = big;

			big = other;
			other = t;
		}
	}
	for (i = 1; i <= CORES; i++)
		record("core %d: ended by itself %d times", i,
		       core_own_ends(i));
	drive_finish(often() >= 2 ? 1 : 0);
}
