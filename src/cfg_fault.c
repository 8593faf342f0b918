#include "cfg_in.h"

static void cfg_fault_add(GPtrArray *faults, bool remark,
			  const struct cfg_place *at, const char *fmt,
			  va_list ap) G_GNUC_PRINTF(4, 0);
static void cfg_fault_free(gpointer p);

/* An empty list of faults. */
GPtrArray *cfg_faults_new(void)
{
	return g_ptr_array_new_with_free_func(cfg_fault_free);
}

static void cfg_fault_free(gpointer p)
{
	struct cfg_fault *f = p;

	g_free(f->file);
	g_free(f->group);
	g_free(f->key);
	g_free(f->value);
	g_free(f->allowed);
	g_free(f);
}

/* Notes what keeps a text from being accepted; the rest says what may be. */
void cfg_fault(GPtrArray *faults, const struct cfg_place *at, const char *fmt,
	       ...)
{
	va_list ap;

	va_start(ap, fmt);
	cfg_fault_add(faults, false, at, fmt, ap);
	va_end(ap);
}

/* Notes what is worth pointing out in a text that may be accepted. */
void cfg_remark(GPtrArray *faults, const struct cfg_place *at, const char *fmt,
		...)
{
	va_list ap;

	va_start(ap, fmt);
	cfg_fault_add(faults, true, at, fmt, ap);
	va_end(ap);
}

static void cfg_fault_add(GPtrArray *faults, bool remark,
			  const struct cfg_place *at, const char *fmt,
			  va_list ap)
{
	struct cfg_fault *f;

	/*
	 * A file in a wrong format faults on every line; the first hundred
	 * tell as much. The first hard fault always finds room, so that a
	 * text full of remarks is not taken for a sound one.
	 */
	if (faults->len >= CFG_FAULTS_MAX &&
	    (remark || cfg_faults_hard(faults) > 0))
		return;
	f = g_new0(struct cfg_fault, 1);
	f->remark = remark;
	f->file = g_strdup(at->file);
	f->line = at->line;
	f->group = g_strdup(at->group ? at->group : "");
	f->key = g_strdup(at->key ? at->key : "");
	f->value = g_strdup(at->value ? at->value : "");
	f->allowed = g_strdup_vprintf(fmt, ap);
	g_ptr_array_add(faults, f);
}

/* How many of the faults keep the text from being accepted. */
guint cfg_faults_hard(const GPtrArray *faults)
{
	guint n = 0;
	guint i;

	for (i = 0; i < faults->len; i++)
		n += !((struct cfg_fault *)g_ptr_array_index(faults, i))
			      ->remark;
	return n;
}

/*
 * "FILE:LINE: [SECTION] KEY = VALUE: what is allowed", parts that do not
 * apply left out; freed with g_free.
 */
char *cfg_fault_text(const struct cfg_fault *f)
{
	GString *s = g_string_new(f->file);
	char *text;

	if (f->line)
		g_string_append_printf(s, ":%d", f->line);
	g_string_append(s, f->remark ? ": note: " : ": ");
	if (*f->group)
		g_string_append_printf(s, "[%s]", f->group);
	if (*f->key)
		g_string_append_printf(s, " %s", f->key);
	if (*f->value)
		g_string_append_printf(s, "%s%s", *f->key ? " = " : "",
				       f->value);
	if (*f->group || *f->key || *f->value)
		g_string_append(s, ": ");
	g_string_append(s, f->allowed);
	/* Input may hold any byte; a terminal gets printable text only. */
	text = g_utf8_make_valid(s->str, (gssize)s->len);
	g_string_free(s, TRUE);
	g_strdelimit(text,
		     "\001\002\003\004\005\006\007\010\011\012\013\014"
		     "\015\016\017\020\021\022\023\024\025\026\027\030"
		     "\031\032\033\034\035\036\037\177",
		     '?');
	return text;
}
