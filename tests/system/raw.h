/*
 * NAME
 *	raw - sends bytes over a TCP connection that no HTTP library would send
 *
 * DESCRIPTION
 *	Every read has a timeout and appends to a string that the caller owns.
 */
#ifndef TESTS_SYSTEM_RAW_H
#define TESTS_SYSTEM_RAW_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* RETURN VALUE: a connected socket on the loopback address. */
int raw_connect(uint16_t port);

/* Sends all bytes. A send that the remote end interrupts by closing the
 * connection does not fail the test. */
void raw_send(int fd, const void *bytes, size_t size);
void raw_send_text(int fd, const char *text);

/* Reads once. RETURN VALUE: whether bytes arrived before the timeout. */
bool raw_read_some(int fd, GString *out, size_t most, int timeout_ms);

/* Reads until the remote end closes the connection. RETURN VALUE: whether it
 * closed before the timeout. */
bool raw_read_until_close(int fd, GString *out, int timeout_ms);

/* Reads until out contains the mark at least count times. RETURN VALUE: whether
 * it did before the timeout and before the connection ended. */
bool raw_read_until_found(int fd, GString *out, const char *mark,
			  unsigned int count, int timeout_ms);

/* RETURN VALUE: how often the mark occurs in the text, without overlaps. */
unsigned int raw_count(const char *text, const char *mark);

#endif
