/*
 * NAME
 *	rows_store - keeps the hosts' rows in the platform's table
 *
 * DESCRIPTION
 *	Implements the store that member/rows needs with the platform client.
 *	The store argument of the functions is a struct rows_store. Destroy it
 *	after the rows and the platform; it then ends the calls that got no
 *	answer, reads as unavailable and writes as unknown.
 */
#ifndef COMFREYDOCKD_PLATFORM_ROWS_STORE_H
#define COMFREYDOCKD_PLATFORM_ROWS_STORE_H

#include "comfreydockd/member/rows.h"

struct platform;
struct rows_store;

extern const struct rows_store_ops rows_store_ops;

struct rows_store *rows_store_create(struct platform *platform);
void rows_store_destroy(struct rows_store *store);

#endif
