#include "adm_int.h"

static void adm_heap_set(struct adm_heap *h, int at, struct adm_node *n);
static void adm_heap_settle(struct adm_heap *h, int at);

static void adm_heap_set(struct adm_heap *h, int at, struct adm_node *n)
{
	h->v[at] = n;
	n->at = at;
}

/* Moves the member at a place up or down to where its key belongs. */
static void adm_heap_settle(struct adm_heap *h, int at)
{
	struct adm_node *n = h->v[at];
	int child;

	while (at > 0 && h->v[(at - 1) / 2]->key > n->key) {
		adm_heap_set(h, at, h->v[(at - 1) / 2]);
		at = (at - 1) / 2;
	}
	while ((child = 2 * at + 1) < h->n) {
		if (child + 1 < h->n && h->v[child + 1]->key < h->v[child]->key)
			child++;
		if (h->v[child]->key >= n->key)
			break;
		adm_heap_set(h, at, h->v[child]);
		at = child;
	}
	adm_heap_set(h, at, n);
}

/* Adds a member, or moves it where it is in the heap already. */
void adm_heap_put(struct adm_heap *h, struct adm_node *n, int64_t key)
{
	if (n->at >= 0 && n->key == key)
		return;
	n->key = key;
	if (n->at < 0) {
		if (h->n == h->cap) {
			h->cap = h->cap ? 2 * h->cap : 16;
			h->v = g_renew(struct adm_node *, h->v, h->cap);
		}
		adm_heap_set(h, h->n, n);
		h->n++;
	}
	adm_heap_settle(h, n->at);
}

/* Takes a member out; one that is in no heap is let pass. */
void adm_heap_drop(struct adm_heap *h, struct adm_node *n)
{
	int at = n->at;

	if (at < 0)
		return;
	n->at = -1;
	h->n--;
	if (at == h->n)
		return;
	adm_heap_set(h, at, h->v[h->n]);
	adm_heap_settle(h, at);
}

/* Frees the heap's own memory, not its members. */
void adm_heap_done(struct adm_heap *h)
{
	g_free(h->v);
	h->v = NULL;
	h->n = 0;
	h->cap = 0;
}
