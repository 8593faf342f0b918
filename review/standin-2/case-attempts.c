/*
 * A route is removed by a new configuration while a task has its last attempt,
 * and comes back with the next. Rule BUDGET: a start after `attempts` runs of
 * the task have ended failed.
 */
#include "drive.h"

#include <string.h>

#define JOB "00000000000000d1"
#define ATTEMPTS 3

static int starts;
static int failed;
static int late_starts;

static void begins(struct worker *w, const char *task, uint32_t attempt,
		   struct plan *out)
{
	out->ms = 200;
	if (!strstr(task, JOB))
		return;
	starts++;
	out->fails = true;
	out->ms = starts == ATTEMPTS ? 3000 : 300;
	if (failed >= ATTEMPTS) {
		late_starts++;
		record("START AFTER %d FAILED RUNS: attempt %u", failed,
		       attempt);
	}
}

static void noted(struct worker *w, const struct end *e, uint64_t cursor)
{
	if (strstr(e->task, JOB) && strcmp(e->how, "failed") == 0)
		failed++;
}

int main(int argc, char **argv)
{
	const char *state;
	int64_t until;
	int i;

	drive_init(argc, argv);
	queues[n_queues++] = (struct queue){"p", "p", false, ATTEMPTS, 16};
	queues[n_queues++] = (struct queue){"q", "p", false, ATTEMPTS, 16};
	pools[0] = "p";
	on_start = begins;
	on_ack = noted;
	for (i = 0; i < 6; i++)
		worker_add("p", 16000);
	fleet_start();
	if (!submit_until("p", JOB, 1, 1, 1000, 500, 8000))
		could_not("the job isn't accepted");
	until = now_ms() + 20000;
	while (starts < ATTEMPTS && now_ms() < until)
		pump(20);
	if (starts < ATTEMPTS)
		could_not("the last attempt doesn't begin");
	pump(300);
	if (trouble) {
		queues[0].dropped = true;
		if (!apply_config(2, 5000))
			could_not("configuration 2");
	}
	until = now_ms() + 20000;
	while (failed < ATTEMPTS && now_ms() < until)
		pump(20);
	if (failed < ATTEMPTS)
		could_not("the last failed end isn't taken note of");
	pump(1000);
	if (trouble) {
		queues[0].dropped = false;
		if (!apply_config(3, 5000))
			could_not("configuration 3");
	}
	pump(6000);
	state = job_state("p", JOB);
	record("GET /p/%s: %s; runs failed and noted: %d; starts: %d; starts "
	       "after %d failed: %d",
	       JOB, state, failed, starts, ATTEMPTS, late_starts);
	drive_finish(late_starts ? 1 : 0);
}
