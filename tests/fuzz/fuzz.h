/*
 * NAME
 *	fuzz - the entry point of a fuzz target
 *
 * DESCRIPTION
 *	Each fuzz_*.c is linked twice: with replay.c as a test that runs the
 *	files of tests/fuzz/corpus, and by tools/fuzz with libFuzzer, which
 *	searches for new failing inputs. Inputs that it finds are added to the
 *	corpus.
 */
#ifndef TESTS_FUZZ_FUZZ_H
#define TESTS_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* Runs the target on any bytes. RETURN VALUE: 0. Aborts if a check fails. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size);

#endif
