#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "adv.h"
#include "fake_advice.h"
#include "jobs_make.h"

#define CALL_MS 200
#define EACH_MS 5
#define VALID_MS 20000
/* Longer than any backoff and the validity of any ticket. */
#define LONG_MS 100000

struct fixture {
	struct jtb *jtb;
	struct adv *adv;
	GHashTable *closed;
	struct fake_advice service;
	struct adv_query query;
	int64_t now;
	int64_t wall;
};

static bool is_usable(void *arg, const struct jtb_worker *w)
{
	return !w->info.draining;
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct jtb_queue *q;

	f->jtb = jtb_new(NULL, NULL);
	f->adv = adv_new(f->jtb);
	f->closed = g_hash_table_new(g_str_hash, g_str_equal);
	f->service.approved_prefix = 'a';
	f->now = LONG_MS;
	f->wall = JOBS_WALL_MS;
	jobs_config(f->jtb, 1, "p", 3);
	q = (struct jtb_queue *)jtb_queue(jtb_config(f->jtb), "q");
	q->advised = true;
	q->advice_ms = CALL_MS;
	q->advice_each_ms = EACH_MS;
	q->advice_valid_ms = VALID_MS;
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	adv_query_clear(&f->query);
	adv_free(f->adv);
	jtb_free(f->jtb);
	g_hash_table_destroy(f->closed);
	g_free(f);
	return 0;
}

/* Longer than the time for which a step that needs no query is skipped. */
#define SKIP_MS 250

/* Sets f->query to the next query; returns false if none is needed. */
static bool next_query(struct fixture *f)
{
	struct sch_view v = {
		.jtb = f->jtb,
		.closed = f->closed,
		.now_ms = f->now,
		.wall_ms = f->wall,
		.arg = f,
		.usable = is_usable,
	};

	adv_query_clear(&f->query);
	return adv_next_query(f->adv, &v, &f->query);
}

/* As next_query(), after SKIP_MS. */
static bool next_query_later(struct fixture *f)
{
	f->now += SKIP_MS;
	return next_query(f);
}

/* Answers f->query as the fake service does, after the expected time. */
static void answer_query(struct fixture *f)
{
	GPtrArray *rows = fake_advice_rows(&f->service, &f->query);
	int64_t sent_ms = f->now;

	f->now += f->query.takes_ms;
	f->wall += f->query.takes_ms;
	adv_accept_answer(f->adv, &f->query, rows, sent_ms, f->now);
	g_ptr_array_free(rows, TRUE);
}

/* Queries until no query is needed; returns the number of calls. */
static int query_all(struct fixture *f)
{
	int n = 0;

	while (next_query(f) && n < 1000) {
		answer_query(f);
		n++;
	}
	return n;
}

static void add_workers(struct fixture *f, const char *prefix, int n,
			uint32_t cpu)
{
	int i;

	for (i = 0; i < n; i++) {
		char *id = g_strdup_printf("%s%03d", prefix, i);

		jobs_worker(f->jtb, id, cpu, false);
		g_free(id);
	}
}

static struct jtb_job *add_job(struct fixture *f, const char *id,
			       uint32_t count, uint32_t flags)
{
	struct jtb_step s = {
		.count = count, .cpu = 1000, .guess_ms = 3000, .flags = flags};

	jobs_job(f->jtb, id, &s, 1, f->wall);
	return jtb_job(f->jtb, id);
}

static bool has_ticket(struct fixture *f, const struct jtb_job *j,
		       const char *worker)
{
	return adv_has_ticket(f->adv, j, 0, 0, jtb_worker(f->jtb, worker),
			      f->now);
}

static bool query_lists(const struct fixture *f, const char *worker)
{
	return g_ptr_array_find_with_equal_func(f->query.workers, worker,
						g_str_equal, NULL);
}

/*
 * Guards against an accepted job that never runs: its start is ordered without
 * a ticket, and the worker refuses it again and again.
 */
static void step_is_queried_and_gets_tickets(void **state)
{
	struct fixture *f = *state;
	struct jtb_job *j;

	add_workers(f, "a", 1, 4000);
	add_workers(f, "n", 1, 4000);
	assert_false(next_query(f));
	j = add_job(f, "j", 1, 0);
	assert_true(next_query(f));
	assert_int_equal(adv_waiting(f->adv, f->now, f->wall), 1);
	assert_string_equal(f->query.step.id, "j");
	assert_int_equal(f->query.workers->len, 2);
	assert_int_equal(f->query.takes_ms, CALL_MS + 2 * EACH_MS);
	assert_false(has_ticket(f, j, "a000"));
	answer_query(f);
	assert_true(has_ticket(f, j, "a000"));
	assert_false(has_ticket(f, j, "n000"));
	assert_string_equal(adv_ticket(f->adv, j, 0, 0,
				       jtb_worker(f->jtb, "a000"), f->now),
			    "a000/1");
	assert_false(next_query(f));
	assert_int_equal(adv_waiting(f->adv, f->now, f->wall), 0);
}

/*
 * Guards against queries with more workers than needed: each worker lengthens
 * the call, and all other queries wait behind it.
 */
static void query_lists_only_needed_workers(void **state)
{
	struct fixture *f = *state;

	add_workers(f, "a", 150, 4000);
	add_job(f, "one", 1, 0);
	assert_true(next_query(f));
	/* half of two approved for the task, half of four approved to spare */
	assert_int_equal(f->query.workers->len, 6);
	answer_query(f);
	add_job(f, "many", 600, 0);
	assert_true(next_query(f));
	assert_int_equal(f->query.workers->len, ADV_NAMES_MAX);
}

/*
 * Guards against tasks without capacity where the service approves few workers:
 * further workers must be queried, none twice, and more in each call.
 */
static void more_workers_are_queried_if_few_are_approved(void **state)
{
	struct fixture *f = *state;
	struct jtb_job *j = add_job(f, "j", 2, 0);

	add_workers(f, "n", 60, 9000);
	add_workers(f, "a", 2, 1000);
	/* 6 at one half, 24 at one eighth, then all that are left */
	assert_int_equal(query_all(f), 3);
	assert_int_equal(f->service.queried, 62);
	assert_true(has_ticket(f, j, "a000"));
	assert_true(has_ticket(f, j, "a001"));
}

/*
 * Guards against endless queries of a step that no worker may run; the step
 * must be counted as waiting.
 */
static void step_without_approved_worker_counts_as_waiting(void **state)
{
	struct fixture *f = *state;

	add_workers(f, "n", 5, 9000);
	add_job(f, "j", 1, 0);
	query_all(f);
	assert_int_equal(f->service.queried, 5);
	f->now += LONG_MS;
	assert_false(next_query(f));
	assert_int_equal(adv_waiting(f->adv, f->now, f->wall), 1);
	/* after an upkeep the VM has a worker with a new lifetime */
	add_workers(f, "a", 1, 9000);
	assert_true(next_query_later(f));
	assert_int_equal(f->query.workers->len, 1);
	answer_query(f);
	assert_false(next_query(f));
	assert_int_equal(adv_waiting(f->adv, f->now, f->wall), 0);
}

/*
 * Guards against tasks that wait although workers have free capacity: each
 * worker with a ticket is full, or runs its limit of the step's tasks.
 */
static void workers_with_free_capacity_are_queried(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {
		.count = 2, .cpu = 1000, .guess_ms = 3000, .per_worker = 1};

	add_workers(f, "a", 1, 4000);
	jobs_job(f->jtb, "j", &s, 1, f->wall);
	assert_int_equal(query_all(f), 1);
	jobs_start(f->jtb, "j", 0, 0, 1, "a000");
	assert_false(next_query_later(f));
	add_workers(f, "b", 1, 500);
	assert_false(next_query_later(f));
	add_workers(f, "c", 1, 4000);
	assert_true(next_query_later(f));
	assert_true(query_lists(f, "c000"));
	assert_false(query_lists(f, "b000"));
	answer_query(f);
	/* the tasks of another job fill the only worker that k may run on */
	jobs_start(f->jtb, "j", 0, 1, 1, "c000");
	add_job(f, "k", 1, 0);
	jobs_gone(f->jtb, "c000", true);
	query_all(f);
	assert_true(has_ticket(f, jtb_job(f->jtb, "k"), "a000"));
	add_job(f, "full", 3, 0);
	jobs_start(f->jtb, "full", 0, 0, 1, "a000");
	jobs_start(f->jtb, "full", 0, 1, 1, "a000");
	jobs_start(f->jtb, "full", 0, 2, 1, "a000");
	jobs_cancel(f->jtb, "j");
	assert_false(next_query_later(f));
	add_workers(f, "d", 1, 4000);
	assert_true(next_query_later(f));
	assert_string_equal(f->query.step.id, "k");
	assert_true(query_lists(f, "d000"));
}

/*
 * Guards against a wrong order of the queries, which are answered one at a
 * time: a blocked step must precede steps that need tickets only later.
 */
static void most_urgent_step_is_queried_first(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s[] = {
		{.count = 1, .cpu = 1000, .guess_ms = 1000},
		{.count = 1, .cpu = 1000, .guess_ms = 1000, .after = 1},
	};

	add_workers(f, "a", 20, 4000);
	jobs_job(f->jtb, "first", s, 2, f->wall);
	assert_true(next_query(f));
	answer_query(f);
	/* steps that follow others are not queried before those start */
	assert_false(next_query(f));
	jobs_start(f->jtb, "first", 0, 0, 1, "a000");
	add_job(f, "overdue", 1, 0);
	jtb_job(f->jtb, "overdue")->accepted_ms -= LONG_MS;
	add_job(f, "new", 1, 0);
	assert_true(next_query(f));
	assert_string_equal(f->query.step.id, "new");
	answer_query(f);
	/* the second step of the first job, while its first step runs */
	assert_true(next_query(f));
	assert_string_equal(f->query.step.id, "first");
	assert_int_equal(f->query.step.step, 1);
	answer_query(f);
	assert_true(next_query(f));
	assert_string_equal(f->query.step.id, "overdue");
	answer_query(f);
	assert_false(next_query(f));
}

/*
 * Guards against tickets for a distant repeat, which would expire before it is
 * due.
 */
static void repeat_is_queried_shortly_before_it_is_due(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {.count = 1, .cpu = 1000, .guess_ms = 1000};
	struct jtb_spec spec = {
		.id = "r",
		.queue = (char *)"q",
		.text = (char *)"t",
		.steps = &s,
		.n_steps = 1,
		.repeats = 3,
		.first_ms = JOBS_WALL_MS + 60000,
		.every_ms = 60000,
	};
	struct pk_out o;

	add_workers(f, "a", 4, 4000);
	pk_out_init(&o);
	jtb_put_job(&o, &spec, f->wall);
	jobs_apply(f->jtb, &o);
	assert_false(next_query(f));
	f->wall = spec.first_ms - VALID_MS / 2;
	assert_true(next_query(f));
	assert_int_equal(f->query.step.turn, 0);
	answer_query(f);
	assert_false(next_query(f));
	f->wall = spec.first_ms + spec.every_ms - 1000;
	f->now += 60000;
	/* the first repeat is due and not done, and its tickets have expired */
	assert_true(next_query(f));
	assert_int_equal(f->query.step.turn, 0);
	answer_query(f);
	assert_true(next_query(f));
	assert_int_equal(f->query.step.turn, 1);
}

/*
 * Guards against a start with a ticket that expires on the way to the worker,
 * which refuses the start.
 */
static void tickets_are_renewed_before_they_expire(void **state)
{
	struct fixture *f = *state;
	struct jtb_job *j = add_job(f, "j", 2, 0);
	int64_t issued_ms = f->now;

	add_workers(f, "a", 1, 1000);
	assert_int_equal(query_all(f), 1);
	jobs_start(f->jtb, "j", 0, 0, 1, "a000");
	/* one task waits for the other; its ticket is renewed meanwhile */
	f->now = issued_ms + VALID_MS / 2;
	assert_false(next_query(f));
	f->now = issued_ms + VALID_MS - 1;
	assert_false(has_ticket(f, j, "a000"));
	jobs_end(f->jtb, "j", 0, 0, 1, "a000", JTB_DONE);
	f->now = issued_ms + VALID_MS - 1000;
	assert_true(has_ticket(f, j, "a000"));
	assert_true(next_query(f));
	answer_query(f);
	assert_true(has_ticket(f, j, "a000"));
	f->now = issued_ms + VALID_MS + 1000;
	assert_true(has_ticket(f, j, "a000"));
	/* no renewal once no task is left to start */
	jobs_start(f->jtb, "j", 0, 1, 1, "a000");
	f->now += LONG_MS;
	assert_false(next_query(f));
}

/*
 * Guards against a long-running task that ends and must wait for a call before
 * its next start.
 */
static void long_running_step_keeps_a_ticket(void **state)
{
	struct fixture *f = *state;

	add_job(f, "l", 1, JTB_LASTS);
	add_workers(f, "a", 2, 4000);
	query_all(f);
	jobs_start(f->jtb, "l", 0, 0, 1, "a000");
	f->now += LONG_MS;
	assert_true(next_query(f));
}

/*
 * Guards against reuse of a refused ticket, and against a new query without
 * delay.
 */
static void refused_ticket_is_dropped(void **state)
{
	struct fixture *f = *state;
	struct jtb_job *j = add_job(f, "j", 1, 0);
	struct jtb_run run = {.job = j};

	add_workers(f, "a", 1, 4000);
	query_all(f);
	run.worker = jtb_worker(f->jtb, "a000");
	adv_drop_ticket(f->adv, &run, f->now);
	assert_false(has_ticket(f, j, "a000"));
	assert_false(next_query(f));
	f->now += 1000;
	assert_true(next_query(f));
	answer_query(f);
	assert_true(has_ticket(f, j, "a000"));
	/* the delay is longer the second time */
	adv_drop_ticket(f->adv, &run, f->now);
	f->now += 600;
	assert_false(next_query(f));
	f->now += 1000;
	assert_true(next_query(f));
}

/*
 * Guards against a query that the service always rejects: other steps must get
 * their turn, and the rejected query must be retried for ever.
 */
static void rejected_query_is_retried(void **state)
{
	struct fixture *f = *state;
	int i;

	add_workers(f, "a", 4, 4000);
	add_job(f, "other", 1, 0);
	add_job(f, "rejected", 1, 0);
	for (i = 0; i < 20; i++) {
		assert_true(next_query(f));
		assert_string_equal(f->query.step.id, "rejected");
		adv_reject_query(f->adv, &f->query, f->now);
		if (i == 0) {
			assert_true(next_query(f));
			assert_string_equal(f->query.step.id, "other");
			answer_query(f);
		}
		assert_false(next_query(f));
		/* takes effect once; the tickets of "other" would expire */
		jobs_cancel(f->jtb, "other");
		f->now += 16000;
	}
}

/*
 * Guards against a step that never runs because its tickets have expired on
 * arrival each time: they are valid for less time than the call took, as it had
 * to wait.
 */
static void short_tickets_are_usable(void **state)
{
	struct fixture *f = *state;
	struct jtb_job *j = add_job(f, "j", 100, 0);
	struct jtb_queue *q =
		(struct jtb_queue *)jtb_queue(jtb_config(f->jtb), "q");

	q->advice_valid_ms = 1000;
	add_workers(f, "a", 100, 1000);
	assert_true(next_query(f));
	/* limited to half of the tickets' validity */
	assert_int_equal(f->query.takes_ms, 500);
	f->query.takes_ms = 5000;
	answer_query(f);
	assert_true(has_ticket(f, j, "a000"));
	f->now += 400;
	assert_true(has_ticket(f, j, "a000"));
	f->now += 400;
	assert_false(has_ticket(f, j, "a000"));
}

/* Guards against a new leader that uses tickets it has not obtained itself. */
static void new_leader_starts_without_tickets(void **state)
{
	struct fixture *f = *state;
	struct jtb_job *j = add_job(f, "j", 1, 0);

	add_workers(f, "a", 1, 4000);
	query_all(f);
	assert_true(has_ticket(f, j, "a000"));
	adv_clear(f->adv);
	assert_false(has_ticket(f, j, "a000"));
	assert_int_equal(query_all(f), 1);
	assert_true(has_ticket(f, j, "a000"));
}

/* Guards against queries for workers that may not be given work. */
static void unusable_workers_are_not_queried(void **state)
{
	struct fixture *f = *state;

	add_job(f, "j", 1, 0);
	add_workers(f, "a", 2, 4000);
	jobs_worker(f->jtb, "a000", 4000, true);
	g_hash_table_add(f->closed, (gpointer) "a001");
	assert_false(next_query(f));
	g_hash_table_remove(f->closed, "a001");
	assert_true(next_query_later(f));
	assert_int_equal(f->query.workers->len, 1);
}

/*
 * Guards against growth of the collection: what is stored goes with its job and
 * its worker.
 */
static void ended_jobs_and_workers_are_removed(void **state)
{
	struct fixture *f = *state;

	add_workers(f, "a", 3, 4000);
	add_job(f, "j", 1, 0);
	add_job(f, "k", 1, 0);
	query_all(f);
	assert_int_equal(adv_step_count(f->adv), 2);
	jobs_gone(f->jtb, "a000", true);
	jobs_cancel(f->jtb, "j");
	f->now += 2000;
	next_query(f);
	assert_int_equal(adv_step_count(f->adv), 1);
}

/*
 * Guards against a gang that is treated as able to start with tickets for some
 * of its members.
 */
static void gang_needs_tickets_for_all_members(void **state)
{
	struct fixture *f = *state;

	add_workers(f, "a", 1, 1000);
	add_workers(f, "n", 30, 9000);
	add_job(f, "g", 2, JTB_GANG);
	query_all(f);
	assert_int_equal(f->service.queried, 31);
	/* the worker with a ticket is not queried again once two more exist */
	add_workers(f, "a1", 2, 1000);
	f->now += 1000;
	assert_int_equal(query_all(f), 1);
	assert_int_equal(f->service.queried, 33);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(step_is_queried_and_gets_tickets),
		T(query_lists_only_needed_workers),
		T(more_workers_are_queried_if_few_are_approved),
		T(step_without_approved_worker_counts_as_waiting),
		T(workers_with_free_capacity_are_queried),
		T(most_urgent_step_is_queried_first),
		T(repeat_is_queried_shortly_before_it_is_due),
		T(tickets_are_renewed_before_they_expire),
		T(long_running_step_keeps_a_ticket),
		T(refused_ticket_is_dropped),
		T(rejected_query_is_retried),
		T(short_tickets_are_usable),
		T(new_leader_starts_without_tickets),
		T(unusable_workers_are_not_queried),
		T(ended_jobs_and_workers_are_removed),
		T(gang_needs_tickets_for_all_members),
	};

	return cmocka_run_group_tests_name("adv", tests, NULL, NULL);
}
