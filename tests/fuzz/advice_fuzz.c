#include "fuzz.h"
#include "plt.h"

/*
 * A decoded answer has complete rows, and a validity of the tickets within its
 * range.
 */
static void check(struct lstr input)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(adv_row_free);
	int64_t valid_ms = 7;
	enum adv_result result =
		plt_advice_codec.answer(200, input, rows, &valid_ms);
	guint i;

	g_assert_true(result == ADV_OK || result == ADV_MALFORMED);
	g_assert_true(valid_ms >= 0 && valid_ms <= INT32_MAX);
	for (i = 0; i < rows->len; i++) {
		const struct adv_row *row = g_ptr_array_index(rows, i);

		g_assert_nonnull(row->worker);
		g_assert_nonnull(row->ticket);
	}
	g_ptr_array_free(rows, TRUE);
}

FUZZ_MAIN("advice", check, 60000)
