/*
 * NAME
 *	heap - intrusive pairing heap
 *
 * DESCRIPTION
 *	A priority queue whose nodes are embedded in the user's structs. It
 *	allocates no memory. Insertion takes constant time, and removal of the
 *	first or any other node takes O(log n) amortised time. Equal nodes come
 *	out in no particular order, so the comparison must break ties.
 *
 * SOURCE
 *	Fredman, Sedgewick, Sleator, Tarjan, "The Pairing Heap", 1986.
 */
#ifndef COMFREYDOCKD_DECIDE_HEAP_H
#define COMFREYDOCKD_DECIDE_HEAP_H

#include <stdbool.h>
#include <stddef.h>

struct heap_node {
	struct heap_node *child;
	struct heap_node *next;
	struct heap_node *prev; /* the parent, for a first child */
};

/* Returns the struct in which a node is embedded. */
#define heap_entry(node, type, member) \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

typedef bool (*heap_is_before)(const struct heap_node *a,
			       const struct heap_node *b);

struct heap {
	struct heap_node *root;
	heap_is_before is_before;
};

void heap_init(struct heap *heap, heap_is_before is_before);
void heap_insert(struct heap *heap, struct heap_node *node);

/* The node must be in this heap. */
void heap_remove(struct heap *heap, struct heap_node *node);

/* RETURN VALUE: the first node, which is not removed, or NULL. */
struct heap_node *heap_first(const struct heap *heap);

#endif
