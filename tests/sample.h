/*
 * NAME
 *	sample - the operators' sample file of docs/operators
 */
#ifndef TESTS_SAMPLE_H
#define TESTS_SAMPLE_H

/* RETURN VALUE: its text, to be freed with g_free(). */
char *sample_read(void);

#endif
