/*
 * One of eight workers is cut off from all machines of the system while a job is
 * placed on it, and the leader is killed. Rule MIXED: a machine in touch gives as pending
 * under half of the jobs that were accepted over visible_ms + 2 s before and
 * haven't begun.
 */
#include "drive.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define JOBS 8 /* one for each worker */
#define VISIBLE_MS 3000
#define CUT_MS 5500

static bool begun[JOBS];
static int64_t accepted_ms[JOBS];

static void job_id(int i, char *out, size_t size)
{
	snprintf(out, size, "%016x", 0xe0 + i);
}

static void begins(struct worker *w, const char *task, uint32_t attempt,
		   struct plan *out)
{
	char id[24];
	int i;

	out->ms = 400;
	for (i = 0; i < JOBS; i++) {
		job_id(i, id, sizeof(id));
		begun[i] |= g_str_has_prefix(task, id);
	}
}

int main(int argc, char **argv)
{
	struct worker *cut;
	bool broken = false;
	int64_t from;
	int64_t killed;
	int leader;
	char id[24];
	int i;

	drive_init(argc, argv);
	queues[n_queues++] = (struct queue){"p", "p", false, 4, 16};
	pools[0] = "p";
	on_start = begins;
	for (i = 0; i < JOBS; i++)
		worker_add("p", 16000);
	fleet_start();
	cut = &workers[3];
	leader = core_leader();
	if (!leader)
		could_not("no leader");
	from = now_ms();
	if (trouble) {
		cut->cut = true;
		record("worker %d is cut off, for %d ms", cut->no, CUT_MS);
	}
	for (i = 0; i < JOBS; i++) {
		job_id(i, id, sizeof(id));
		if (submit("p", id, 1, 1, 16000, 400) != 200)
			could_not("a job isn't accepted at once");
		accepted_ms[i] = now_ms();
	}
	pump(100);
	if (trouble)
		core_signal(leader, SIGKILL);
	killed = now_ms();
	while (now_ms() - from < CUT_MS + 3000) {
		int64_t asked = now_ms();
		int64_t n;
		int old = 0;

		if (trouble && !core_runs(leader) && now_ms() - killed > 500) {
			core_start(leader);
			killed = now_ms();
		}
		if (cut->cut && now_ms() - from >= CUT_MS) {
			cut->cut = false;
			record("worker %d is reached again", cut->no);
		}
		n = pending("p");
		for (i = 0; i < JOBS; i++)
			old += !begun[i] &&
			       asked - accepted_ms[i] > VISIBLE_MS + 2000;
		if (old)
			record("GET /p/: pending %" PRId64 "; accepted over 5 s "
			       "before and not begun: %d; core calm for %" PRId64
			       " ms",
			       n, old, asked - killed);
		/* in touch: nothing befell the core for contact-ms */
		if (old && n >= 0 && 2 * n < old &&
		    (!trouble || asked - killed > 3000))
			broken = true;
		pump(50);
	}
	for (i = 0; i < JOBS; i++) {
		job_id(i, id, sizeof(id));
		await_end("p", id, 10000);
	}
	drive_finish(broken ? 1 : 0);
}
