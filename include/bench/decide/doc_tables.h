/*
 * NAME
 *	table - the tables of the documentation
 *
 * DESCRIPTION
 *	Replays each pattern for both deployments with each policy, and with
 *	the chosen one less a module at a time. Writes all rows to
 *	docs/measurements/decisions.txt, and the table between the markers in
 *	docs/design/decisions.md; both below the current folder.
 */
#ifndef BENCH_DECIDE_DOC_TABLES_H
#define BENCH_DECIDE_DOC_TABLES_H

#include <stdbool.h>

/* RETURN VALUE: false, with a message, if a file can't be read or written. */
bool doc_tables_write(void);

#endif
