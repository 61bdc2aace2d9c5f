/*
 * NAME
 *	runs - counts the requests that upstreams ran
 *
 * DESCRIPTION
 *	Each upstream of a test appends the id of a request to its file before
 *	it runs the request, so that the record survives a SIGKILL.
 */
#ifndef TESTS_SYSTEM_RUNS_H
#define TESTS_SYSTEM_RUNS_H

#include <glib.h>

/* RETURN VALUE: an empty table for runs_read_file(). The caller frees it with
 * g_hash_table_unref(). */
GHashTable *runs_create(void);

/* Adds the ids of a file to the table. */
void runs_read_file(GHashTable *runs, const char *path);

/* RETURN VALUE: how often the request with this id ran. */
unsigned int runs_count_id(GHashTable *runs, const char *id);

/* RETURN VALUE: how many runs of a file have an id that begins with the
 * prefix. */
unsigned int runs_count_prefix(const char *path, const char *prefix);

#endif
