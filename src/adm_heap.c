#include "adm_int.h"

static void adm_heap_store(struct adm_heap *h, int at, struct adm_heap_node *n);
static void adm_heap_sift(struct adm_heap *h, int at);

static void adm_heap_store(struct adm_heap *h, int at, struct adm_heap_node *n)
{
	h->nodes[at] = n;
	n->pos = at;
}

/* Moves the member at a place up or down to where its key belongs. */
static void adm_heap_sift(struct adm_heap *h, int at)
{
	struct adm_heap_node *n = h->nodes[at];
	int child;

	while (at > 0 && h->nodes[(at - 1) / 2]->key > n->key) {
		adm_heap_store(h, at, h->nodes[(at - 1) / 2]);
		at = (at - 1) / 2;
	}
	while ((child = 2 * at + 1) < h->len) {
		if (child + 1 < h->len &&
		    h->nodes[child + 1]->key < h->nodes[child]->key)
			child++;
		if (h->nodes[child]->key >= n->key)
			break;
		adm_heap_store(h, at, h->nodes[child]);
		at = child;
	}
	adm_heap_store(h, at, n);
}

/* Adds a member, or moves it where it is in the heap already. */
void adm_heap_put(struct adm_heap *h, struct adm_heap_node *n, int64_t key)
{
	if (n->pos >= 0 && n->key == key)
		return;
	n->key = key;
	if (n->pos < 0) {
		if (h->len == h->cap) {
			h->cap = h->cap ? 2 * h->cap : 16;
			h->nodes = g_renew(struct adm_heap_node *, h->nodes,
					   h->cap);
		}
		adm_heap_store(h, h->len, n);
		h->len++;
	}
	adm_heap_sift(h, n->pos);
}

/* Takes a member out; one that is in no heap is let pass. */
void adm_heap_remove(struct adm_heap *h, struct adm_heap_node *n)
{
	int at = n->pos;

	if (at < 0)
		return;
	n->pos = -1;
	h->len--;
	if (at == h->len)
		return;
	adm_heap_store(h, at, h->nodes[h->len]);
	adm_heap_sift(h, at);
}

/* Frees the heap's own memory, not its members. */
void adm_heap_clear(struct adm_heap *h)
{
	g_free(h->nodes);
	h->nodes = NULL;
	h->len = 0;
	h->cap = 0;
}
