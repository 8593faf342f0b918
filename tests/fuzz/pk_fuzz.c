#include "fuzz.h"
#include "pk.h"

#define DEPTH_MAX 8

/* Whether s lies in the memory of some message; touches all of it. */
static void touch(struct lstr s)
{
	volatile char sum = 0;
	size_t i;

	for (i = 0; i < s.len; i++)
		sum ^= s.p[i];
}

/* Reads every field, as some other type first when the choice says so. */
static void walk(struct pk_in *in, unsigned choice, int depth)
{
	struct pk_in inner;

	while (pk_in_left(in) && pk_in_ok(in)) {
		uint32_t before = pk_in_left(in);

		switch (choice++ % 6) {
		case 0:
			pk_get_u(in);
			break;
		case 1:
			pk_get_i(in);
			break;
		case 2:
			touch(pk_get_str(in));
			break;
		case 3:
			pk_get_bool(in);
			break;
		case 4:
			pk_get_f(in);
			break;
		default:
			inner = pk_get_arr(in);
			if (depth < DEPTH_MAX && pk_in_ok(&inner))
				walk(&inner, choice, depth + 1);
			break;
		}
		g_assert_true(!pk_in_ok(in) || pk_in_left(in) == before - 1);
	}
}

/* A spoilt place gives zero and stays spoilt. */
static void check_spoilt(struct pk_in *in)
{
	if (pk_in_ok(in))
		return;
	g_assert_cmpuint(pk_get_u(in), ==, 0);
	g_assert_cmpint(pk_get_i(in), ==, 0);
	g_assert_cmpuint(pk_get_str(in).len, ==, 0);
	g_assert_false(pk_in_ok(in));
}

static void one(struct lstr input)
{
	unsigned choice;
	struct pk_in in;

	for (choice = 0; choice < 6; choice++) {
		if (!pk_in_init(&in, input))
			return;
		walk(&in, choice, 0);
		check_spoilt(&in);
		pk_in_done(&in);
	}
}

FUZZ_MAIN("pk", one, 20000)
