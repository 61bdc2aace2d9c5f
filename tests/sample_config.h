/*
 * NAME
 *	sample_config - reads the operators' sample file of docs/operators
 */
#ifndef TESTS_SAMPLE_CONFIG_H
#define TESTS_SAMPLE_CONFIG_H

/* RETURN VALUE: the text of the file; free it with g_free(). */
char *sample_config_read(void);

#endif
