/*
 * A worker starts again under the id that it had, while it is idle. The leader,
 * which hasn't heard of that yet, gives it a job of two tasks. The answer to the
 * second start comes late. Rule TWICE: a start after a run has ended done, if
 * that end is taken note of.
 */
#include "drive.h"

#include <string.h>

#define DOWN_MS 500 /* until its next process is there */

struct seen {
	char task[80];
	int64_t done_ms;
	bool noted;
	int starts_after_done;
	int starts;
};

static struct seen seen[64];
static int n_seen;
static struct worker *restarted;
static int starts_there;

static struct seen *find(const char *task)
{
	int i;

	for (i = 0; i < n_seen; i++)
		if (strcmp(seen[i].task, task) == 0)
			return &seen[i];
	g_strlcpy(seen[n_seen].task, task, sizeof(seen[0].task));
	return &seen[n_seen++];
}

static void begins(struct worker *w, const char *task, uint32_t attempt,
		   struct plan *out)
{
	struct seen *s = find(task);
	bool job_b = strstr(task, "00000000000000b1") != NULL;
	int i;

	s->starts++;
	for (i = 0; i < n_workers; i++) {
		struct worker *o = &workers[i];
		guint k;

		for (k = 0; o->http && k < o->ends->len; k++) {
			const struct end *e =
				&g_array_index(o->ends, struct end, k);

			if (strcmp(e->task, task) == 0 &&
			    strcmp(e->how, "done") == 0)
				s->done_ms = now_ms();
		}
	}
	if (s->done_ms) {
		s->starts_after_done++;
		record("START AFTER DONE: %s attempt %u on worker %d", task,
		       attempt, w->no);
	}
	out->ms = 150;
	/* the second start there: its answer is long on its way */
	if (job_b && w == restarted && ++starts_there == 2) {
		out->ms = 4000;
		out->answer_after_ms = 330;
	}
}

static void noted(struct worker *w, const struct end *e, uint64_t cursor)
{
	struct seen *s = find(e->task);

	/* nor if the lease lapsed between the end and its acknowledgement */
	if (strcmp(e->how, "done") != 0 || w->lapsed_ms >= e->at_ms)
		return;
	s->noted = true;
	if (!s->done_ms)
		s->done_ms = now_ms();
}

int main(int argc, char **argv)
{
	bool broken = false;
	int i;

	drive_init(argc, argv);
	queues[n_queues++] = (struct queue){"p", "p", false, 4, 16};
	pools[0] = "p";
	on_start = begins;
	on_ack = noted;
	for (i = 0; i < 4; i++)
		worker_add("p", 16000)->with_born = true;
	fleet_start();
	/* work for all, so that ends have been numbered and noted */
	if (!submit_until("p", "00000000000000a1", 1, 16, 4000, 200, 8000) ||
	    strcmp(await_end("p", "00000000000000a1", 15000), "completed") != 0)
		could_not("the first job isn't completed");
	restarted = &workers[2];
	if (restarted->end_no < 2)
		could_not("the worker has had no work");
	pump(1200);
	record("worker %d has ended %" PRIu64 " runs", restarted->no,
	       restarted->end_no);
	if (trouble) {
		record("worker %d starts again under its id %s", restarted->no,
		       restarted->id);
		worker_end_process(restarted);
		pump(DOWN_MS);
		worker_begin(restarted);
		/* a beat each heartbeat-ms */
		restarted->next_beat_ms = now_ms() + BEAT_MS;
	}
	if (!submit_until("p", "00000000000000b1", 1, 8, 8000, 300, 8000))
		could_not("the second job isn't accepted");
	await_end("p", "00000000000000b1", 30000);
	pump(1000);
	for (i = 0; i < n_seen; i++) {
		record("task %s: %d starts, done %d, noted %d, started after "
		       "done %d",
		       seen[i].task, seen[i].starts, seen[i].done_ms != 0,
		       seen[i].noted, seen[i].starts_after_done);
		broken |= seen[i].noted && seen[i].starts_after_done;
	}
	drive_finish(broken ? 1 : 0);
}
