/*
 * NAME
 *	raw - bytes to a port, for what no HTTP library would send
 *
 * DESCRIPTION
 *	All waits are bounded. Reads collect in a string that the caller owns.
 */
#ifndef TESTS_SYSTEM_RAW_H
#define TESTS_SYSTEM_RAW_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* RETURN VALUE: a connected socket on the loopback address. */
int raw_connect(uint16_t port);

/* A caller that the far end cuts off in the middle of a send is no failure. */
void raw_send(int fd, const void *bytes, size_t size);
void raw_send_text(int fd, const char *text);

/* Reads once. RETURN VALUE: whether bytes came in time. */
bool raw_read_some(int fd, GString *out, size_t most, int timeout_ms);

/* RETURN VALUE: whether the far end closed in time. */
bool raw_read_until_close(int fd, GString *out, int timeout_ms);

/* RETURN VALUE: whether what was read so far has the mark so often. */
bool raw_read_until_found(int fd, GString *out, const char *mark,
			  unsigned int count, int timeout_ms);

unsigned int raw_count(const char *text, const char *mark);

#endif
