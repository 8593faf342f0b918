#include "lgl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *lgl_word(const char *p);
static char *lgl_before(const char *line, const char *end);
static char *lgl_facts(const char *p);
static const char *lgl_value_end(const char *p);

/*
 * Hands each line of a log file on, with the file's name for where it came from
 * if nothing else tells. False, with errno, if the file can't be opened.
 */
bool lgl_file(const char *path, lgl_take take, void *arg)
{
	FILE *f = fopen(path, "re");
	char *line = NULL;
	size_t size = 0;
	char *base;

	if (!f)
		return false;
	base = g_path_get_basename(path);
	while (getline(&line, &size, f) >= 0) {
		struct lgl *l = lgl_read(line);

		if (!l)
			continue;
		if (!l->where)
			l->where = g_strdup(base);
		take(arg, l);
	}
	free(line);
	fclose(f);
	g_free(base);
	return true;
}

/* A line, to be freed by lgl_free; NULL if it is none of ours. */
struct lgl *lgl_read(const char *line)
{
	const char *time = strstr(line, "time=");
	const char *msg = time ? strstr(time, " msg=") : NULL;
	GDateTime *at;
	struct lgl *l;
	char *text;

	if (!msg)
		return NULL;
	text = lgl_word(time + strlen("time="));
	at = g_date_time_new_from_iso8601(text, NULL);
	g_free(text);
	if (!at)
		return NULL;
	l = g_new0(struct lgl, 1);
	l->at_ms = g_date_time_to_unix(at) * 1000 +
		   g_date_time_get_microsecond(at) / 1000;
	g_date_time_unref(at);
	msg += strlen(" msg=");
	l->where = lgl_before(line, time);
	l->msg = lgl_word(msg);
	l->facts = lgl_facts(msg + strlen(l->msg));
	return l;
}

/* Frees a line. */
void lgl_free(gpointer p)
{
	struct lgl *l = p;

	if (!l)
		return;
	g_free(l->where);
	g_free(l->msg);
	g_free(l->facts);
	g_free(l);
}

/* The value of a fact, without quotes, to be freed; NULL if it isn't told. */
char *lgl_fact(const struct lgl *l, const char *key)
{
	size_t len = strlen(key);
	const char *p = l->facts;

	while (*p) {
		const char *end = lgl_value_end(p);

		if (strncmp(p, key, len) == 0 && p[len] == '=') {
			p += len + 1;
			if (*p == '"' && end > p + 1)
				return g_strndup(p + 1, (gsize)(end - p - 2));
			return g_strndup(p, (gsize)(end - p));
		}
		p = end + strspn(end, " ");
	}
	return NULL;
}

/* A fact that is a number; 0 where it isn't told. */
int64_t lgl_number(const struct lgl *l, const char *key)
{
	char *text = lgl_fact(l, key);
	int64_t n = text ? g_ascii_strtoll(text, NULL, 10) : 0;

	g_free(text);
	return n;
}

/* A copy of what stands up to the next space or end of the line. */
static char *lgl_word(const char *p)
{
	return g_strndup(p, strcspn(p, " \r\n"));
}

/* The last word before a place of the line, or NULL. */
static char *lgl_before(const char *line, const char *end)
{
	const char *p;

	while (end > line && end[-1] == ' ')
		end--;
	for (p = end; p > line && p[-1] != ' '; p--)
		continue;
	return p < end ? g_strndup(p, (gsize)(end - p)) : NULL;
}

/* The facts, without the place in the code that ends them. */
static char *lgl_facts(const char *p)
{
	const char *end;

	p += strspn(p, " ");
	end = g_strrstr(p, " at=");
	if (!end)
		end = p + strcspn(p, "\r\n");
	return g_strndup(p, (gsize)(end - p));
}

/* Where the fact that begins at p ends; spaces in quotes belong to it. */
static const char *lgl_value_end(const char *p)
{
	bool quoted = false;

	while (*p && (quoted || *p != ' ')) {
		quoted ^= *p == '"';
		p++;
	}
	return p;
}
