#include <errno.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "lstr.h"
#include "set.h"

#define PROGRAM "endive-fit"
#define LINE_MAX_BYTES 256

/* Points of one measure, and the line through them by least squares. */
struct fit {
	GArray *x; /* double */
	GArray *y;
	double slope;
	double intercept;
	double r2;
	double worst; /* largest distance from the line, part of the largest y */
	double power; /* exponent b of y = a x^b, where all are above 0 */
};

static long long at;

static const struct set_def settings[] = {
	{"at", SET_INT, &at, "0", 0, 1000000000, NULL,
	 "also tell what the line gives at this x; 0: don't"},
};

static double point(const GArray *values, guint i)
{
	return g_array_index(values, double, i);
}

/* Least squares through n points; false where all x are the same. */
static bool line_through(const GArray *x, const GArray *y, double *slope,
			 double *intercept)
{
	double mean_x = 0;
	double mean_y = 0;
	double xx = 0;
	double xy = 0;
	guint i;

	for (i = 0; i < x->len; i++) {
		mean_x += point(x, i) / x->len;
		mean_y += point(y, i) / x->len;
	}
	for (i = 0; i < x->len; i++) {
		double dx = point(x, i) - mean_x;

		xx += dx * dx;
		xy += dx * (point(y, i) - mean_y);
	}
	if (xx == 0)
		return false;
	*slope = xy / xx;
	*intercept = mean_y - *slope * mean_x;
	return true;
}

/*
 * How well the line fits. A measure that does not change at all is fitted
 * perfectly by a level line, though no variance is there to be explained.
 */
static void fit_judge(struct fit *f)
{
	double mean = 0;
	double left = 0;
	double total = 0;
	double largest = 0;
	guint i;

	for (i = 0; i < f->y->len; i++)
		mean += point(f->y, i) / f->y->len;
	for (i = 0; i < f->y->len; i++) {
		double y = point(f->y, i);
		double off = y - f->intercept - f->slope * point(f->x, i);

		left += off * off;
		total += (y - mean) * (y - mean);
		largest = fmax(largest, fabs(y));
		f->worst = fmax(f->worst, fabs(off));
	}
	f->r2 = total > 0 ? 1 - left / total : 1;
	if (largest > 0)
		f->worst /= largest;
}

/* The exponent tells a bend that R2 hides: 1 is a line through zero. */
static void fit_power(struct fit *f)
{
	GArray *log_x = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *log_y = g_array_new(FALSE, FALSE, sizeof(double));
	double unused;
	guint i;

	f->power = NAN;
	for (i = 0; i < f->x->len; i++) {
		double lx = log(point(f->x, i));
		double ly = log(point(f->y, i));

		if (!isfinite(lx) || !isfinite(ly))
			continue;
		g_array_append_val(log_x, lx);
		g_array_append_val(log_y, ly);
	}
	if (log_x->len > 1)
		line_through(log_x, log_y, &f->power, &unused);
	g_array_free(log_x, TRUE);
	g_array_free(log_y, TRUE);
}

/* Reads "x y" lines; "#" begins a comment. False, with a word, for others. */
static bool fit_read(struct fit *f, FILE *in)
{
	char line[LINE_MAX_BYTES];
	double x;
	double y;
	int no = 0;

	while (fgets(line, sizeof(line), in)) {
		struct lstr text = lstr_trim(lstr_from(line));
		char *end;

		no++;
		if (text.len == 0 || text.p[0] == '#')
			continue;
		x = g_ascii_strtod(text.p, &end);
		if (end == text.p)
			break;
		text.p = end;
		y = g_ascii_strtod(text.p, &end);
		if (end == text.p || !isfinite(x) || !isfinite(y))
			break;
		g_array_append_val(f->x, x);
		g_array_append_val(f->y, y);
	}
	if (feof(in))
		return true;
	fprintf(stderr, PROGRAM ": line %d: allowed: two numbers\n", no);
	return false;
}

static bool fit_open(struct fit *f, const char *path)
{
	FILE *in;
	bool ok;

	if (!path)
		return fit_read(f, stdin);
	in = fopen(path, "re");
	if (!in) {
		fprintf(stderr, PROGRAM ": %s: %s\n", path, g_strerror(errno));
		return false;
	}
	ok = fit_read(f, in);
	fclose(in);
	return ok;
}

static void fit_tell(const struct fit *f)
{
	printf("points\tslope\tintercept\tr2\tworst\tpower%s\n",
	       at ? "\tat" : "");
	printf("%u\t%.6g\t%.6g\t%.5f\t%.4f\t%.3f", f->x->len, f->slope,
	       f->intercept, f->r2, f->worst, f->power);
	if (at)
		printf("\t%.6g", f->intercept + f->slope * (double)at);
	printf("\n");
}

int main(int argc, char **argv)
{
	struct fit f = {
		.x = g_array_new(FALSE, FALSE, sizeof(double)),
		.y = g_array_new(FALSE, FALSE, sizeof(double)),
	};
	int rc = set_parse(PROGRAM,
			   "Fits a line through the points of a file or of "
			   "standard input, \"x y\" a line.",
			   settings, G_N_ELEMENTS(settings), &argc, &argv);
	bool ok;

	if (rc == -1) {
		ok = fit_open(&f, argc > 1 ? argv[1] : NULL);
		if (ok && !line_through(f.x, f.y, &f.slope, &f.intercept)) {
			fprintf(stderr, PROGRAM ": allowed: points of at least "
						"two different x\n");
			ok = false;
		}
		if (ok) {
			fit_judge(&f);
			fit_power(&f);
			fit_tell(&f);
		}
		rc = ok ? 0 : SET_EXIT_USAGE;
	}
	g_array_free(f.x, TRUE);
	g_array_free(f.y, TRUE);
	return rc;
}
