/*
 * NAME
 *	doc_tables - the tables of replays in the documentation
 *
 * DESCRIPTION
 *	Replays each pattern for both deployments with each policy, and with
 *	the default policy without one module at a time. Writes all rows to
 *	docs/measurements/decisions.txt, and the tables between the markers in
 *	docs/design/decisions.md. Both paths are relative to the current folder.
 */
#ifndef BENCH_DECIDE_DOC_TABLES_H
#define BENCH_DECIDE_DOC_TABLES_H

#include <stdbool.h>

/* RETURN VALUE: false if a file can't be read or written; a message is printed
 * then. */
bool doc_tables_write(void);

#endif
