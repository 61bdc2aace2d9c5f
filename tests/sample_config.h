/*
 * NAME
 *	sample - the operators' sample file of docs/operators
 */
#ifndef TESTS_SAMPLE_CONFIG_H
#define TESTS_SAMPLE_CONFIG_H

/* RETURN VALUE: its text, to be freed with g_free(). */
char *sample_config_read(void);

#endif
