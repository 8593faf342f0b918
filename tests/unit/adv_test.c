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
/* Beyond any pause of ours, and any ticket. */
#define LONG_MS 100000

struct bed {
	struct jtb *jtb;
	struct adv *adv;
	GHashTable *closed;
	struct fake_advice service;
	struct adv_ask ask;
	int64_t now;
	int64_t wall;
};

static bool bed_usable(void *arg, const struct jtb_worker *w)
{
	return !w->info.draining;
}

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);
	struct jtb_queue *q;

	b->jtb = jtb_new(NULL, NULL);
	b->adv = adv_new(b->jtb);
	b->closed = g_hash_table_new(g_str_hash, g_str_equal);
	b->service.yes = 'a';
	b->now = LONG_MS;
	b->wall = JOBS_WALL_MS;
	jobs_config(b->jtb, 1, "p", 3);
	q = (struct jtb_queue *)jtb_queue(jtb_config(b->jtb), "q");
	q->advised = true;
	q->advice_ms = CALL_MS;
	q->advice_each_ms = EACH_MS;
	q->advice_valid_ms = VALID_MS;
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;

	adv_ask_clear(&b->ask);
	adv_free(b->adv);
	jtb_free(b->jtb);
	g_hash_table_destroy(b->closed);
	g_free(b);
	return 0;
}

/* Longer than a step that wanted nothing isn't looked at. */
#define QUIET_MS 250

/* What is asked next is in b->ask; false: nothing is. */
static bool next(struct bed *b)
{
	struct sch_view v = {
		.jtb = b->jtb,
		.closed = b->closed,
		.now_ms = b->now,
		.wall_ms = b->wall,
		.arg = b,
		.usable = bed_usable,
	};

	adv_ask_clear(&b->ask);
	return adv_next(b->adv, &v, &b->ask);
}

/* The same, a moment later. */
static bool next_later(struct bed *b)
{
	b->now += QUIET_MS;
	return next(b);
}

/* The service answers what was asked, after the time that takes. */
static void answer(struct bed *b)
{
	GPtrArray *rows = fake_advice_rows(&b->service, &b->ask);
	int64_t asked = b->now;

	b->now += b->ask.takes_ms;
	b->wall += b->ask.takes_ms;
	adv_answered(b->adv, &b->ask, rows, asked, b->now);
	g_ptr_array_free(rows, TRUE);
}

/* Asks until nothing is left to be asked; returns how many calls that took. */
static int ask_all(struct bed *b)
{
	int n = 0;

	while (next(b) && n < 1000) {
		answer(b);
		n++;
	}
	return n;
}

static void workers(struct bed *b, const char *prefix, int n, uint32_t cpu)
{
	int i;

	for (i = 0; i < n; i++) {
		char *id = g_strdup_printf("%s%03d", prefix, i);

		jobs_worker(b->jtb, id, cpu, false);
		g_free(id);
	}
}

static struct jtb_job *job(struct bed *b, const char *id, uint32_t count,
			   uint32_t flags)
{
	struct jtb_step s = {.count = count,
			     .cpu = 1000,
			     .estimate_ms = 3000,
			     .flags = flags};

	jobs_job(b->jtb, id, &s, 1, b->wall);
	return jtb_job(b->jtb, id);
}

static bool ticketed(struct bed *b, const struct jtb_job *j, const char *worker)
{
	return adv_ticketed(b->adv, j, 0, 0, jtb_worker(b->jtb, worker),
			    b->now);
}

static bool names(const struct bed *b, const char *worker)
{
	return g_ptr_array_find_with_equal_func(b->ask.workers, worker,
						g_str_equal, NULL);
}

/*
 * A job that was accepted never runs: its workers refuse what has no ticket,
 * over and over. A ticket is asked for before anything is started.
 */
static void a_step_is_asked_for_and_gets_tickets(void **state)
{
	struct bed *b = *state;
	struct jtb_job *j;

	workers(b, "a", 1, 4000);
	workers(b, "n", 1, 4000);
	assert_false(next(b));
	j = job(b, "j", 1, 0);
	assert_true(next(b));
	assert_int_equal(adv_waiting(b->adv, b->now, b->wall), 1);
	assert_string_equal(b->ask.step.id, "j");
	assert_int_equal(b->ask.workers->len, 2);
	assert_int_equal(b->ask.takes_ms, CALL_MS + 2 * EACH_MS);
	assert_false(ticketed(b, j, "a000"));
	answer(b);
	assert_true(ticketed(b, j, "a000"));
	assert_false(ticketed(b, j, "n000"));
	assert_string_equal(adv_ticket(b->adv, j, 0, 0,
				       jtb_worker(b->jtb, "a000"), b->now),
			    "a000/1");
	assert_false(next(b));
	assert_int_equal(adv_waiting(b->adv, b->now, b->wall), 0);
}

/* Each worker named makes the answer later, and all others wait behind it. */
static void no_more_are_named_than_are_needed(void **state)
{
	struct bed *b = *state;

	workers(b, "a", 150, 4000);
	job(b, "one", 1, 0);
	assert_true(next(b));
	/* half of two for the task, half of four others to spare */
	assert_int_equal(b->ask.workers->len, 6);
	answer(b);
	job(b, "many", 600, 0);
	assert_true(next(b));
	assert_int_equal(b->ask.workers->len, ADV_NAMES_MAX);
}

/*
 * The queue's policy approves few. More workers are asked for until the tasks
 * have room, nobody twice, and ever more at once.
 */
static void more_are_asked_for_where_few_are_approved(void **state)
{
	struct bed *b = *state;
	struct jtb_job *j = job(b, "j", 2, 0);

	workers(b, "n", 60, 9000);
	workers(b, "a", 2, 1000);
	/* 6 by half, 24 by an eighth, then all that are left */
	assert_int_equal(ask_all(b), 3);
	assert_int_equal(b->service.named, 62);
	assert_true(ticketed(b, j, "a000"));
	assert_true(ticketed(b, j, "a001"));
}

/* Where nobody is approved nothing is asked again, and it shows. */
static void a_step_that_nobody_may_run_is_shown(void **state)
{
	struct bed *b = *state;

	workers(b, "n", 5, 9000);
	job(b, "j", 1, 0);
	ask_all(b);
	assert_int_equal(b->service.named, 5);
	b->now += LONG_MS;
	assert_false(next(b));
	assert_int_equal(adv_waiting(b->adv, b->now, b->wall), 1);
	/* the lifetime that comes after an upkeep is another worker */
	workers(b, "a", 1, 9000);
	assert_true(next_later(b));
	assert_int_equal(b->ask.workers->len, 1);
	answer(b);
	assert_false(next(b));
	assert_int_equal(adv_waiting(b->adv, b->now, b->wall), 0);
}

/*
 * Tasks wait though others have room: each worker with a ticket is full, or
 * runs as many of the step as it may.
 */
static void workers_with_room_are_asked_for(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {.count = 2,
			     .cpu = 1000,
			     .estimate_ms = 3000,
			     .max_per_worker = 1};

	workers(b, "a", 1, 4000);
	jobs_job(b->jtb, "j", &s, 1, b->wall);
	assert_int_equal(ask_all(b), 1);
	jobs_start(b->jtb, "j", 0, 0, 1, "a000");
	assert_false(next_later(b));
	workers(b, "b", 1, 500);
	assert_false(next_later(b));
	workers(b, "c", 1, 4000);
	assert_true(next_later(b));
	assert_true(names(b, "c000"));
	assert_false(names(b, "b000"));
	answer(b);
	/* another job's tasks fill the only worker that k may run on */
	jobs_start(b->jtb, "j", 0, 1, 1, "c000");
	job(b, "k", 1, 0);
	jobs_worker_lost(b->jtb, "c000", true);
	ask_all(b);
	assert_true(ticketed(b, jtb_job(b->jtb, "k"), "a000"));
	job(b, "full", 3, 0);
	jobs_start(b->jtb, "full", 0, 0, 1, "a000");
	jobs_start(b->jtb, "full", 0, 1, 1, "a000");
	jobs_start(b->jtb, "full", 0, 2, 1, "a000");
	jobs_cancel(b->jtb, "j");
	assert_false(next_later(b));
	workers(b, "d", 1, 4000);
	assert_true(next_later(b));
	assert_string_equal(b->ask.step.id, "k");
	assert_true(names(b, "d000"));
}

/* One call at a time: what stands still goes before what may be needed later. */
static void the_most_urgent_step_goes_first(void **state)
{
	struct bed *b = *state;
	struct jtb_step s[] = {
		{.count = 1, .cpu = 1000, .estimate_ms = 1000},
		{.count = 1, .cpu = 1000, .estimate_ms = 1000, .after = 1},
	};

	workers(b, "a", 20, 4000);
	jobs_job(b->jtb, "first", s, 2, b->wall);
	assert_true(next(b));
	answer(b);
	/* what waits for others isn't asked for before they begin */
	assert_false(next(b));
	jobs_start(b->jtb, "first", 0, 0, 1, "a000");
	job(b, "late", 1, 0);
	jtb_job(b->jtb, "late")->accepted_ms -= LONG_MS;
	job(b, "new", 1, 0);
	assert_true(next(b));
	assert_string_equal(b->ask.step.id, "new");
	answer(b);
	/* the second step of the first, while its first has yet to run */
	assert_true(next(b));
	assert_string_equal(b->ask.step.id, "first");
	assert_int_equal(b->ask.step.step, 1);
	answer(b);
	assert_true(next(b));
	assert_string_equal(b->ask.step.id, "late");
	answer(b);
	assert_false(next(b));
}

/* Tickets of a turn that is far away would end before it. */
static void a_repeat_is_asked_for_shortly_before(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {.count = 1, .cpu = 1000, .estimate_ms = 1000};
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

	workers(b, "a", 4, 4000);
	pk_out_init(&o);
	jtb_put_job(&o, &spec, b->wall);
	jobs_apply(b->jtb, &o);
	assert_false(next(b));
	b->wall = spec.first_ms - VALID_MS / 2;
	assert_true(next(b));
	assert_int_equal(b->ask.step.turn, 0);
	answer(b);
	assert_false(next(b));
	b->wall = spec.first_ms + spec.every_ms - 1000;
	b->now += 60000;
	/* the first is due and still open, its tickets are over */
	assert_true(next(b));
	assert_int_equal(b->ask.step.turn, 0);
	answer(b);
	assert_true(next(b));
	assert_int_equal(b->ask.step.turn, 1);
}

/* A task is started by a ticket that ends on the way, and refused. */
static void tickets_are_renewed_before_they_end(void **state)
{
	struct bed *b = *state;
	struct jtb_job *j = job(b, "j", 2, 0);
	int64_t given = b->now;

	workers(b, "a", 1, 1000);
	assert_int_equal(ask_all(b), 1);
	jobs_start(b->jtb, "j", 0, 0, 1, "a000");
	/* one waits for the other: its ticket is kept fresh meanwhile */
	b->now = given + VALID_MS / 2;
	assert_false(next(b));
	b->now = given + VALID_MS - 1;
	assert_false(ticketed(b, j, "a000"));
	jobs_end(b->jtb, "j", 0, 0, 1, "a000", JTB_DONE);
	b->now = given + VALID_MS - 1000;
	assert_true(ticketed(b, j, "a000"));
	assert_true(next(b));
	answer(b);
	assert_true(ticketed(b, j, "a000"));
	b->now = given + VALID_MS + 1000;
	assert_true(ticketed(b, j, "a000"));
	/* and once nothing is left to start, no more */
	jobs_start(b->jtb, "j", 0, 1, 1, "a000");
	b->now += LONG_MS;
	assert_false(next(b));
}

/* Work that lasts may end at any moment, and would then wait for a call. */
static void work_that_lasts_keeps_a_ticket(void **state)
{
	struct bed *b = *state;

	job(b, "l", 1, JTB_LONG_RUNNING);
	workers(b, "a", 2, 4000);
	ask_all(b);
	jobs_start(b->jtb, "l", 0, 0, 1, "a000");
	b->now += LONG_MS;
	assert_true(next(b));
}

/* A worker refuses a ticket: it isn't used again, and asked for after a pause. */
static void a_refused_ticket_is_dropped(void **state)
{
	struct bed *b = *state;
	struct jtb_job *j = job(b, "j", 1, 0);
	struct jtb_run run = {.job = j};

	workers(b, "a", 1, 4000);
	ask_all(b);
	run.worker = jtb_worker(b->jtb, "a000");
	adv_drop(b->adv, &run, b->now);
	assert_false(ticketed(b, j, "a000"));
	assert_false(next(b));
	b->now += 1000;
	assert_true(next(b));
	answer(b);
	assert_true(ticketed(b, j, "a000"));
	/* the second time the pause is longer */
	adv_drop(b->adv, &run, b->now);
	b->now += 600;
	assert_false(next(b));
	b->now += 1000;
	assert_true(next(b));
}

/*
 * The service turns one question down each time. Others have their turn
 * meanwhile, and that one is tried for ever.
 */
static void a_question_turned_down_is_asked_again(void **state)
{
	struct bed *b = *state;
	int i;

	workers(b, "a", 4, 4000);
	job(b, "other", 1, 0);
	job(b, "odd", 1, 0);
	for (i = 0; i < 20; i++) {
		assert_true(next(b));
		assert_string_equal(b->ask.step.id, "odd");
		adv_turned_down(b->adv, &b->ask, b->now);
		if (i == 0) {
			assert_true(next(b));
			assert_string_equal(b->ask.step.id, "other");
			answer(b);
		}
		assert_false(next(b));
		/* once, as its tickets end meanwhile */
		jobs_cancel(b->jtb, "other");
		b->now += 16000;
	}
}

/*
 * Tickets are over when they come, each time, and the step never runs: they
 * hold for less than the answer took, since the call had to wait.
 */
static void short_tickets_are_of_use(void **state)
{
	struct bed *b = *state;
	struct jtb_job *j = job(b, "j", 100, 0);
	struct jtb_queue *q =
		(struct jtb_queue *)jtb_queue(jtb_config(b->jtb), "q");

	q->advice_valid_ms = 1000;
	workers(b, "a", 100, 1000);
	assert_true(next(b));
	/* half of the time that tickets hold, and not more */
	assert_int_equal(b->ask.takes_ms, 500);
	b->ask.takes_ms = 5000;
	answer(b);
	assert_true(ticketed(b, j, "a000"));
	b->now += 400;
	assert_true(ticketed(b, j, "a000"));
	b->now += 400;
	assert_false(ticketed(b, j, "a000"));
}

/* The next leader knows no ticket, and starts nothing before it has some. */
static void a_new_leader_asks_anew(void **state)
{
	struct bed *b = *state;
	struct jtb_job *j = job(b, "j", 1, 0);

	workers(b, "a", 1, 4000);
	ask_all(b);
	assert_true(ticketed(b, j, "a000"));
	adv_clear(b->adv);
	assert_false(ticketed(b, j, "a000"));
	assert_int_equal(ask_all(b), 1);
	assert_true(ticketed(b, j, "a000"));
}

/* Those that may not be given work are asked for by nobody. */
static void workers_that_get_nothing_arent_named(void **state)
{
	struct bed *b = *state;

	job(b, "j", 1, 0);
	workers(b, "a", 2, 4000);
	jobs_worker(b->jtb, "a000", 4000, true);
	g_hash_table_add(b->closed, (gpointer) "a001");
	assert_false(next(b));
	g_hash_table_remove(b->closed, "a001");
	assert_true(next_later(b));
	assert_int_equal(b->ask.workers->len, 1);
}

/* What is kept goes with its job and its worker. */
static void what_is_over_is_forgotten(void **state)
{
	struct bed *b = *state;

	workers(b, "a", 3, 4000);
	job(b, "j", 1, 0);
	job(b, "k", 1, 0);
	ask_all(b);
	assert_int_equal(adv_kept(b->adv), 2);
	jobs_worker_lost(b->jtb, "a000", true);
	jobs_cancel(b->jtb, "j");
	b->now += 2000;
	next(b);
	assert_int_equal(adv_kept(b->adv), 1);
}

/* A gang starts whole, so that tickets for half of it are none. */
static void a_gang_needs_tickets_for_all(void **state)
{
	struct bed *b = *state;

	workers(b, "a", 1, 1000);
	workers(b, "n", 30, 9000);
	job(b, "g", 2, JTB_GANG);
	ask_all(b);
	assert_int_equal(b->service.named, 31);
	/* one that may run is no more asked for once there are two */
	workers(b, "a1", 2, 1000);
	b->now += 1000;
	assert_int_equal(ask_all(b), 1);
	assert_int_equal(b->service.named, 33);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(a_step_is_asked_for_and_gets_tickets),
		T(no_more_are_named_than_are_needed),
		T(more_are_asked_for_where_few_are_approved),
		T(a_step_that_nobody_may_run_is_shown),
		T(workers_with_room_are_asked_for),
		T(the_most_urgent_step_goes_first),
		T(a_repeat_is_asked_for_shortly_before),
		T(tickets_are_renewed_before_they_end),
		T(work_that_lasts_keeps_a_ticket),
		T(a_refused_ticket_is_dropped),
		T(a_question_turned_down_is_asked_again),
		T(short_tickets_are_of_use),
		T(a_new_leader_asks_anew),
		T(workers_that_get_nothing_arent_named),
		T(what_is_over_is_forgotten),
		T(a_gang_needs_tickets_for_all),
	};

	return cmocka_run_group_tests_name("adv", tests, NULL, NULL);
}
