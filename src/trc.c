#include "trc.h"

#include <stdio.h>

#include "err.h"

#define TRC_TIME_PARTS 3

static void trc_clear(gpointer line);
static char **trc_words(struct lstr line);
static bool trc_time(const char *word, int64_t *out_ms);

/* Reads a trace, struct trc_line; NULL with ERR_INPUT and the line at fault. */
GArray *trc_read(struct lstr text, GError **err)
{
	GArray *lines = g_array_new(FALSE, TRUE, sizeof(struct trc_line));
	struct trc_line l = {0};
	struct lstr line;
	struct lstr comment;
	int64_t last = 0;
	char **words;

	g_array_set_clear_func(lines, trc_clear);
	while (text.len) {
		lstr_cut(text, '\n', &line, &text);
		l.line++;
		lstr_cut(line, '#', &line, &comment);
		line = lstr_trim(line);
		if (line.len == 0)
			continue;
		words = trc_words(line);
		if (!words[1] || !trc_time(words[0], &l.at_ms) ||
		    l.at_ms < last) {
			err_set(err, ERR_INPUT, "read trace", NULL,
				"line %d: HH:MM:SS VERB is wanted, and times "
				"that don't go back",
				l.line);
			g_strfreev(words);
			trc_free(lines);
			return NULL;
		}
		last = l.at_ms;
		l.words = g_strdupv(words + 1);
		l.n = (int)g_strv_length(l.words);
		g_strfreev(words);
		g_array_append_val(lines, l);
	}
	return lines;
}

/* Reads a trace from a file; ERR_IO if that can't be read. */
GArray *trc_load(const char *path, GError **err)
{
	GArray *lines;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, NULL)) {
		err_set(err, ERR_IO, "read trace", NULL, "can't read %s", path);
		return NULL;
	}
	lines = trc_read(lstr_n(text, len), err);
	g_free(text);
	return lines;
}

/* Frees a trace. */
void trc_free(GArray *lines)
{
	if (lines)
		g_array_free(lines, TRUE);
}

static void trc_clear(gpointer line)
{
	g_strfreev(((struct trc_line *)line)->words);
}

/* Words between blanks, without the empty ones that runs of blanks leave. */
static char **trc_words(struct lstr line)
{
	char *text = lstr_dup(line);
	char **all = g_strsplit_set(text, " \t", -1);
	GPtrArray *words = g_ptr_array_new();
	int i;

	for (i = 0; all[i]; i++) {
		if (*all[i])
			g_ptr_array_add(words, all[i]);
		else
			g_free(all[i]);
	}
	g_ptr_array_add(words, NULL);
	g_free(all);
	g_free(text);
	return (char **)g_ptr_array_free(words, FALSE);
}

static bool trc_time(const char *word, int64_t *out_ms)
{
	struct lstr rest = lstr_from(word);
	struct lstr part;
	unsigned long long n;
	int64_t seconds = 0;
	int i;

	for (i = 0; i < TRC_TIME_PARTS; i++) {
		if (i > 0 && rest.len == 0)
			return false;
		lstr_cut(rest, ':', &part, &rest);
		if (!lstr_u64(part, &n) || n > 9999 || (i > 0 && n > 59))
			return false;
		seconds = seconds * 60 + (int64_t)n;
	}
	*out_ms = seconds * 1000;
	return rest.len == 0;
}
