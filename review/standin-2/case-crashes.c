/*
 * Workers crash, one after the other, each shortly after the one task of a job
 * began on it. No run of the task ends failed. Rule LOST: a job is shown as
 * failed without cause (only ends failed count as attempts).
 */
#include "drive.h"

#include <string.h>

#define JOB "00000000000000c1"

static struct worker *to_crash;
static int64_t crash_ms;
static int crashes;

static void begins(struct worker *w, const char *task, uint32_t attempt,
		   struct plan *out)
{
	out->ms = 200;
	if (!strstr(task, JOB))
		return;
	out->ms = 6000;
	if (trouble && crashes < 3) {
		crashes++;
		to_crash = w;
		crash_ms = now_ms() + 100;
	}
}

int main(int argc, char **argv)
{
	const char *state = "";
	int64_t until;
	int i;

	drive_init(argc, argv);
	queues[n_queues++] = (struct queue){"p", "p", false, 4, 16};
	pools[0] = "p";
	on_start = begins;
	for (i = 0; i < 24; i++)
		worker_add("p", 16000);
	fleet_start();
	if (!submit_until("p", "00000000000000a1", 1, 4, 500, 200, 8000) ||
	    strcmp(await_end("p", "00000000000000a1", 15000), "completed") != 0)
		could_not("the first job isn't completed");
	if (!submit_until("p", JOB, 1, 1, 1000, 6000, 8000))
		could_not("the job isn't accepted");
	until = now_ms() + 60000;
	while (now_ms() < until) {
		if (to_crash && now_ms() >= crash_ms) {
			record("worker %d crashes, for 4.5 s", to_crash->no);
			worker_end_process(to_crash);
			to_crash->state = "down";
			to_crash->ready_ms = now_ms() + 4500;
			to_crash = NULL;
		}
		pump(10);
		if (now_ms() / 10 % 20 == 0) {
			state = job_state("p", JOB);
			if (strcmp(state, "failed") == 0 ||
			    strcmp(state, "completed") == 0)
				break;
		}
	}
	record("GET /p/%s: %s; ends failed: %d; crashes: %d", JOB, state,
	       ends_failed, crashes);
	if (strcmp(state, "completed") != 0 && strcmp(state, "failed") != 0)
		could_not("the job doesn't end");
	drive_finish(strcmp(state, "failed") == 0 && !ends_failed ? 1 : 0);
}
