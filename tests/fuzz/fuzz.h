#ifndef FUZZ_H
#define FUZZ_H

#include <glib.h>
#include <sanitizer/common_interface_defs.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lstr.h"

/*
 * Bad input against a parser: every file of tests/fuzz/corpus/NAME as it is,
 * then fixed-seed mutations of them. The sanitizers and the assertions of the
 * function say what is wrong; the input that found it is then written to
 * build/fuzz-NAME.found, to be mended and kept in the corpus.
 *
 * A fuzz program defines a function that takes one input, and names it and
 * the corpus by FUZZ_MAIN. FUZZ_ROUNDS and FUZZ_SEED are taken from the
 * environment for longer runs.
 */
typedef void (*fuzz_fn)(struct lstr input);

#define FUZZ_SEED_DEFAULT 20261202
#define FUZZ_INPUT_MAX 8192
#define FUZZ_EDITS_MAX 6

#define FUZZ_MAIN(name, fn, rounds)                      \
	int main(void)                                   \
	{                                                \
		return fuzz_run((name), (fn), (rounds)); \
	}

static const char *fuzz_name;
static GByteArray *fuzz_input;
static bool fuzz_over;

static inline void fuzz_save(void)
{
	char *path = g_strdup_printf("build/fuzz-%s.found", fuzz_name);
	FILE *f = fopen(path, "we");

	if (f) {
		fwrite(fuzz_input->data, 1, fuzz_input->len, f);
		fclose(f);
	}
	g_free(path);
}

static inline void fuzz_aborted(int sig)
{
	fuzz_save();
	_exit(1);
}

/* A parser that ends the process would otherwise look like success. */
static inline void fuzz_check_over(void)
{
	if (fuzz_over)
		return;
	fuzz_save();
	_exit(1);
}

static inline gint fuzz_by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static inline GPtrArray *fuzz_corpus(const char *name)
{
	GPtrArray *corpus =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	char *dir = g_build_filename("tests/fuzz/corpus", name, NULL);
	GDir *d = g_dir_open(dir, 0, NULL);
	const char *file;
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	guint i;

	while (d && (file = g_dir_read_name(d)))
		g_ptr_array_add(names, g_build_filename(dir, file, NULL));
	/* The order of a folder is not the same on each machine. */
	g_ptr_array_sort(names, fuzz_by_name);
	for (i = 0; i < names->len; i++) {
		char *text;
		gsize len;

		if (g_file_get_contents(g_ptr_array_index(names, i), &text,
					&len, NULL))
			g_ptr_array_add(corpus, g_bytes_new_take(text, len));
	}
	g_ptr_array_free(names, TRUE);
	if (d)
		g_dir_close(d);
	g_free(dir);
	return corpus;
}

static inline guint fuzz_below(GRand *rand, guint n)
{
	return n ? (guint)g_rand_int_range(rand, 0, (gint32)n) : 0;
}

static inline void fuzz_insert(guint at, const guint8 *p, guint len)
{
	guint tail = fuzz_input->len - at;

	if (fuzz_input->len + len > FUZZ_INPUT_MAX)
		return;
	g_byte_array_set_size(fuzz_input, fuzz_input->len + len);
	memmove(fuzz_input->data + at + len, fuzz_input->data + at, tail);
	memcpy(fuzz_input->data + at, p, len);
}

/* One edit: flip, set, cut out, double, splice in, or a nasty number. */
static inline void fuzz_edit(GRand *rand, GPtrArray *corpus)
{
	static const char *const nasty[] = {
		"0",	"-1", "4294967296", "18446744073709551616", "\xff\xff",
		"\xdd", "%s", "\n",	    "\xc7\xff\xff\xff\xff", "=",
	};
	guint len = fuzz_input->len;
	guint at = fuzz_below(rand, len);
	guint span = fuzz_below(rand, MIN(len - at, 64u));
	gconstpointer other;
	guint8 copy[64];
	gsize n;

	switch (fuzz_below(rand, 6)) {
	case 0:
		if (len)
			fuzz_input->data[at] ^= 1u << fuzz_below(rand, 8);
		break;
	case 1:
		if (len)
			fuzz_input->data[at] = (guint8)fuzz_below(rand, 256);
		break;
	case 2:
		g_byte_array_remove_range(fuzz_input, at, span);
		break;
	case 3:
		memcpy(copy, fuzz_input->data + at, span);
		fuzz_insert(at, copy, span);
		break;
	case 4:
		other = g_bytes_get_data(
			corpus->pdata[fuzz_below(rand, corpus->len)], &n);
		fuzz_insert(at, other, fuzz_below(rand, (guint)MIN(n, 256)));
		break;
	default:
		other = nasty[fuzz_below(rand, G_N_ELEMENTS(nasty))];
		fuzz_insert(at, other, (guint)strlen(other));
		break;
	}
}

static inline void fuzz_take(const GBytes *from)
{
	gsize len;
	gconstpointer data = g_bytes_get_data((GBytes *)from, &len);

	g_byte_array_set_size(fuzz_input, 0);
	g_byte_array_append(fuzz_input, data,
			    (guint)MIN(len, (gsize)FUZZ_INPUT_MAX));
}

static inline unsigned long fuzz_setting(const char *name, unsigned long dflt)
{
	const char *text = g_getenv(name);
	unsigned long long v;

	return text && lstr_u64(lstr_from(text), &v) ? (unsigned long)v : dflt;
}

/* A copy of the exact size, so that the sanitizer sees a read beyond it. */
static inline void fuzz_call(fuzz_fn fn)
{
	char *exact = g_memdup2(fuzz_input->data, fuzz_input->len);

	fn(lstr_n(exact, fuzz_input->len));
	g_free(exact);
}

/* Runs over inputs made by the program itself; takes the corpus over. */
static inline int fuzz_run_on(const char *name, GPtrArray *corpus, fuzz_fn fn,
			      unsigned long rounds)
{
	GRand *rand = g_rand_new_with_seed(
		(guint32)fuzz_setting("FUZZ_SEED", FUZZ_SEED_DEFAULT));
	unsigned long i;
	guint edits;

	fuzz_over = false;
	fuzz_name = name;
	fuzz_input = g_byte_array_new();
	__sanitizer_set_death_callback(fuzz_save);
	signal(SIGABRT, fuzz_aborted);
	atexit(fuzz_check_over);
	if (corpus->len == 0) {
		fprintf(stderr, "no corpus for %s\n", name);
		return 1;
	}
	for (i = 0; i < corpus->len; i++) {
		fuzz_take(corpus->pdata[i]);
		fuzz_call(fn);
	}
	rounds = fuzz_setting("FUZZ_ROUNDS", rounds);
	for (i = 0; i < rounds; i++) {
		fuzz_take(corpus->pdata[fuzz_below(rand, corpus->len)]);
		for (edits = fuzz_below(rand, FUZZ_EDITS_MAX) + 1; edits;
		     edits--)
			fuzz_edit(rand, corpus);
		fuzz_call(fn);
	}
	g_rand_free(rand);
	g_byte_array_free(fuzz_input, TRUE);
	g_ptr_array_free(corpus, TRUE);
	fuzz_over = true;
	return 0;
}

static inline int fuzz_run(const char *name, fuzz_fn fn, unsigned long rounds)
{
	return fuzz_run_on(name, fuzz_corpus(name), fn, rounds);
}

#endif
