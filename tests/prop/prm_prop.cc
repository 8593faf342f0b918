#include <glib.h>
#include <msgpack.h>
#include <rapidcheck.h>
#include <set>
#include <string>

extern "C" {
#include "../unit/jobs_make.h"
#include "prm.h"
}

namespace
{

const int64_t NOW_MS = 100000;
const uint32_t WORKER_CPU = 8000;
const int WORKERS = 3;

int randomInt(int from, int to)
{
	return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

struct Fixture {
	struct jtb *jtb = jtb_new(nullptr, nullptr);
	struct prm *prm = prm_new();
	GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
	int64_t now = NOW_MS;
	std::set<std::string> stopped;
	double thrown = 0;

	Fixture()
	{
		struct jtb_config *c = jtb_config_new();
		struct jtb_pool *p = g_new0(struct jtb_pool, 1);
		struct pk_out o;

		c->version = 1;
		c->document = g_bytes_new("doc", 3);
		p->name = g_strdup("p");
		jtb_config_add_pool(c, p);
		for (uint32_t i = 0; i < 3; i++)
			addQueue(c, i);
		pk_out_init(&o);
		jtb_put_config(&o, c);
		jobs_apply(jtb, &o);
		jtb_config_free(c);
		for (int i = 0; i < WORKERS; i++)
			jobs_worker(jtb, ("w" + std::to_string(i)).c_str(),
				    WORKER_CPU, false);
	}
	~Fixture()
	{
		jtb_free(jtb);
		prm_free(prm);
		g_hash_table_destroy(closed);
	}

	static void addQueue(struct jtb_config *c, uint32_t priority)
	{
		struct jtb_queue *q = g_new0(struct jtb_queue, 1);

		q->name = g_strdup_printf("q%u", priority);
		q->host = g_strdup("h");
		q->prefix = g_strdup_printf("/%u/", priority);
		q->pool = g_strdup("p");
		q->attempts = 3;
		q->stretch = 1.5;
		q->slack_ms = 500;
		q->priority = priority;
		jtb_config_add_queue(c, q);
	}

	/* Accepts a job of one task, which runs already or waits. */
	void submit(int no)
	{
		static const uint32_t flags[] = {0,
						 0,
						 JTB_CHECKPOINTS,
						 JTB_CHECKPOINTS,
						 JTB_GANG,
						 JTB_LONG_RUNNING};
		std::string id = "j" + std::to_string(no);
		std::string queue = "q" + std::to_string(randomInt(0, 3));
		std::string worker =
			"w" + std::to_string(randomInt(0, WORKERS));
		struct jtb_step s = {};
		struct jtb_spec spec = {};
		struct jtb_name n = {};
		struct pk_out o;
		struct jtb_run *run;
		uint32_t attempt = (uint32_t)randomInt(1, 3);

		s.count = 1;
		s.cpu = (uint32_t)randomInt(1, 9) * 500;
		s.estimate_ms = 1000;
		s.flags = flags[randomInt(0, 6)];
		spec.queue = (char *)queue.c_str();
		spec.text = (char *)"text";
		spec.steps = &s;
		spec.n_steps = 1;
		g_strlcpy(spec.id, id.c_str(), sizeof(spec.id));
		pk_out_init(&o);
		jtb_put_job(&o, &spec,
			    JOBS_WALL_MS + now - NOW_MS - randomInt(0, 2000));
		jobs_apply(jtb, &o);
		jobs_start(jtb, id.c_str(), 0, 0, attempt, worker.c_str());
		g_strlcpy(n.id, id.c_str(), sizeof(n.id));
		run = jtb_find_run(jtb, &n, attempt, worker.c_str());
		if (run)
			run->ordered_ms = now - randomInt(0, 1000);
	}

	static bool onUsable(void *arg, const struct jtb_worker *w)
	{
		return true;
	}

	/* What must hold of each run that is stopped. */
	static void onStop(void *arg, struct jtb_run *run, const char *why)
	{
		Fixture *f = (Fixture *)arg;
		const struct jtb_step *s = &run->job->spec.steps[run->step];

		RC_ASSERT(f->stopped.insert(run->job->spec.id).second);
		RC_ASSERT(!(s->flags & (JTB_LONG_RUNNING | JTB_GANG)));
		RC_ASSERT(run->attempt == 1);
		RC_ASSERT(strcmp(run->job->spec.queue, "q0") != 0);
		RC_ASSERT(!run->stop_wanted);
		run->stop_wanted = true;
	}

	static void onDecided(void *arg, const char *pool,
			      const struct prm_result *r)
	{
		Fixture *f = (Fixture *)arg;

		RC_ASSERT(r->served <= r->waiting);
		RC_ASSERT(r->stops == 0 || r->served > 0);
		RC_ASSERT(r->budget >= 0);
		f->thrown += r->thrown;
	}

	void decide()
	{
		struct prm_view v = {};

		v.jtb = jtb;
		v.closed = closed;
		v.now_ms = now;
		v.wall_ms = JOBS_WALL_MS + now - NOW_MS;
		v.arg = this;
		v.usable = onUsable;
		v.stop = onStop;
		v.decided = onDecided;
		prm_plan(prm, &v);
	}
};

/* Whatever runs and waits: stops are allowed ones, and within the budget. */
void stopsAreBounded()
{
	Fixture f;
	int steps = randomInt(1, 20);

	for (int i = 0, no = 0; i < steps; i++) {
		for (int n = randomInt(0, 6); n > 0; n--)
			f.submit(no++);
		f.decide();
		f.now += randomInt(0, 5000);
	}
	RC_ASSERT(f.thrown <= 0.02 * WORKERS * WORKER_CPU / 1000.0 *
					      (double)(f.now - NOW_MS) / 1000 +
				      1e-6);
}

} // namespace

int main()
{
	return rc::check("stops are bounded", stopsAreBounded) ? 0 : 1;
}
