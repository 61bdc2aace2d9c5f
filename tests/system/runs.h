/*
 * NAME
 *	runs - what upstreams wrote down of the requests that they ran
 *
 * DESCRIPTION
 *	Each upstream of a test appends the id of a request to its file before
 *	it runs it, so that the list outlives a SIGKILL.
 */
#ifndef TESTS_SYSTEM_RUNS_H
#define TESTS_SYSTEM_RUNS_H

#include <glib.h>

/* RETURN VALUE: a table for runs_read_file(), freed with g_hash_table_unref(). */
GHashTable *runs_create(void);

/* Adds the ids of a file. */
void runs_read_file(GHashTable *runs, const char *path);

/* RETURN VALUE: how often the request ran. */
unsigned int runs_count_id(GHashTable *runs, const char *id);

/* RETURN VALUE: how many ids of a file begin with the prefix. */
unsigned int runs_count_prefix(const char *path, const char *prefix);

#endif
