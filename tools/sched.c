#include "sched.h"

#include <math.h>

#include "lstr.h"

#define RATE_MAX 1000000
#define LEN_MAX_US (24LL * 3600 * G_USEC_PER_SEC)

static bool sched_read_len(struct lstr s, int64_t *len_us)
{
	int64_t unit = G_USEC_PER_SEC;
	unsigned long long n;

	if (s.len && s.p[s.len - 1] == 's')
		s.len--;
	if (s.len && s.p[s.len - 1] == 'm') {
		unit = 1000;
		s.len--;
	}
	if (!lstr_u64(s, &n) || n == 0 ||
	    n > (unsigned long long)(LEN_MAX_US / unit))
		return false;
	*len_us = (int64_t)n * unit;
	return true;
}

static bool sched_read_seg(struct sched *s, struct lstr text)
{
	struct sched_seg seg = {.start_us = sched_len_us(s)};
	unsigned long long rate;
	struct lstr len;

	if (!lstr_cut(text, '@', &len, &text))
		return false;
	if (!sched_read_len(len, &seg.len_us))
		return false;
	if (!lstr_u64(text, &rate) || rate > RATE_MAX)
		return false;
	seg.rate = (unsigned)rate;
	g_array_append_val(s->segs, seg);
	return true;
}

/*
 * Reads a schedule; false where the text is none. With poisson the distances
 * are exponential, from the seed, else even.
 */
bool sched_init(struct sched *s, const char *text, bool poisson, guint32 seed)
{
	struct lstr rest = lstr_from(text);
	struct lstr seg;

	*s = (struct sched){
		.segs = g_array_new(FALSE, FALSE, sizeof(struct sched_seg)),
		.rand = poisson ? g_rand_new_with_seed(seed) : NULL,
	};
	while (rest.len) {
		lstr_cut(rest, ',', &seg, &rest);
		if (!sched_read_seg(s, seg))
			return false;
	}
	return s->segs->len > 0;
}

/* Frees what sched_init made, also where it gave false. */
void sched_done(struct sched *s)
{
	g_array_free(s->segs, TRUE);
	if (s->rand)
		g_rand_free(s->rand);
}

/* The next due time since the start; false at the end of the schedule. */
bool sched_next(struct sched *s, int64_t *due_us, guint *seg)
{
	while (s->seg < s->segs->len) {
		const struct sched_seg *now = sched_seg(s, s->seg);
		double end = (double)(now->start_us + now->len_us);
		double gap;

		if (now->rate == 0 || s->next_us >= end) {
			s->next_us = end;
			s->seg++;
			continue;
		}
		*due_us = (int64_t)s->next_us;
		*seg = s->seg;
		gap = (double)G_USEC_PER_SEC / now->rate;
		if (s->rand)
			gap *= -log(1 - g_rand_double(s->rand));
		s->next_us += gap;
		return true;
	}
	return false;
}

/* How long the whole schedule is. */
int64_t sched_len_us(const struct sched *s)
{
	const struct sched_seg *last;

	if (s->segs->len == 0)
		return 0;
	last = sched_seg(s, s->segs->len - 1);
	return last->start_us + last->len_us;
}

/* Segment i, counted from 0. */
const struct sched_seg *sched_seg(const struct sched *s, guint i)
{
	return &g_array_index(s->segs, struct sched_seg, i);
}
