#include "cht.h"
#include "err.h"
#include "fuzz.h"

static const char *const states[] = {"absent", "serving", "leaving", "lapsed",
				     "drained"};
static const char *const events[] = {"announce", "leave",   "lapse",
				     "drain",	 "undrain", "restart"};
static const char *const actions[] = {"join", "renew", "stop-placing",
				      "forget"};

static const struct cht_names names = {
	.states = states,
	.n_states = G_N_ELEMENTS(states),
	.events = events,
	.n_events = G_N_ELEMENTS(events),
	.actions = actions,
	.n_actions = G_N_ELEMENTS(actions),
};

/* Each step of a chart that was taken leads to a state and action it has. */
static void check_steps(const struct cht *c)
{
	struct cht_step step;
	int s;
	int e;

	g_assert_cmpint(cht_start(c), >=, 0);
	g_assert_cmpint(cht_start(c), <, names.n_states);
	for (s = 0; s < names.n_states; s++) {
		for (e = 0; e < names.n_events; e++) {
			if (!cht_step(c, s, e, &step))
				continue;
			g_assert_cmpint(step.next, >=, 0);
			g_assert_cmpint(step.next, <, names.n_states);
			g_assert_cmpint(step.action, >=, CHT_NONE);
			g_assert_cmpint(step.action, <, names.n_actions);
		}
	}
}

static void one(struct lstr input)
{
	GError *err = NULL;
	struct cht *c = cht_load(input, &names, &err);

	if (!c) {
		g_assert_nonnull(err);
		g_error_free(err);
		return;
	}
	g_assert_null(err);
	check_steps(c);
	cht_free(c);
}

FUZZ_MAIN("cht", one, 20000)
