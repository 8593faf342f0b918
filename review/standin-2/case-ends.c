/*
 * All control daemons lose power for longer than a lease, while work that saves
 * its progress runs on all workers. Its runs lapse, and the next leader is told
 * all their ends at once. Rule LOST: for 3 s nothing of a job runs, with capacity
 * for it twice over; a job gets no answer in time.
 */
#include "drive.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define JOBS 108
#define TASKS 8
#define WORK_MS 7000
#define OFF_MS 6000

static int starts;

static void begins(struct worker *w, const char *task, uint32_t attempt,
		   struct plan *out)
{
	starts++;
	out->ms = strstr(task, "00000000000000a") ? 200 : WORK_MS;
}

static int running(void)
{
	int n = 0;
	int i;

	for (i = 0; i < n_workers; i++)
		n += workers[i].http ? (int)workers[i].runs->len : 0;
	return n;
}

int main(int argc, char **argv)
{
	char ids[JOBS][17];
	int64_t until;
	int64_t busy_ms;
	int completed = 0;
	int n;
	int i;

	drive_init(argc, argv);
	queues[n_queues++] = (struct queue){"p", "p", false, 4, 16};
	pools[0] = "p";
	on_start = begins;
	saved_bytes = getenv("SAVED") ? atoi(getenv("SAVED")) : 24000;
	for (i = 0; i < 48; i++)
		worker_add("p", 16000);
	fleet_start();
	if (!submit_until("p", "00000000000000a1", 1, 4, 880, 200, 8000) ||
	    strcmp(await_end("p", "00000000000000a1", 15000), "completed") != 0)
		could_not("the first job isn't completed");
	for (i = 0; i < JOBS; i++) {
		snprintf(ids[i], sizeof(ids[i]), "00000000000e%04x", i);
		if (!submit_until("p", ids[i], 1, TASKS, 880, WORK_MS, 8000))
			could_not("a job isn't accepted");
		pump(10); /* under 72 jobs a second: the sheet's 27.8, x 2.6 */
	}
	until = now_ms() + 15000;
	while (running() < JOBS * TASKS && now_ms() < until)
		pump(50);
	record("%d tasks run", running());
	if (running() < JOBS * TASKS)
		could_not("not all tasks run");
	pump(500);
	if (trouble) {
		record("the control daemons lose power for %d ms", OFF_MS);
		for (i = 1; i <= CORES; i++)
			core_signal(i, SIGKILL);
		pump(OFF_MS);
		for (i = 1; i <= CORES; i++)
			core_start(i);
	}
	until = now_ms() + 30000;
	busy_ms = now_ms();
	while (completed < JOBS && now_ms() < until) {
		pump(1000);
		n = running();
		if (n)
			busy_ms = now_ms();
		record("%d tasks run, leader %d, %d starts so far", n,
		       core_leader(), starts);
		while (completed < JOBS &&
		       strcmp(job_state("p", ids[completed]), "completed") == 0)
			completed++;
	}
	record("%d of %d jobs are completed", completed, JOBS);
	for (i = completed; i < JOBS; i++)
		record("GET /p/%s: %s", ids[i], job_state("p", ids[i]));
	record("a new job: %d",
	       submit("p", "00000000000000a2", 1, 1, 880, 200));
	if (completed == JOBS)
		drive_finish(0);
	/* 3 s in which nothing runs, all workers in touch and empty */
	if (now_ms() - busy_ms < 3000)
		could_not("the jobs aren't completed, but work runs");
	drive_finish(1);
}
