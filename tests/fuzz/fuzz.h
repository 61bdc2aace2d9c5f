/*
 * NAME
 *	fuzz - one function that must hold for any bytes
 *
 * DESCRIPTION
 *	Each fuzz_*.c is linked twice: with replay.c as a test that reads the
 *	files of tests/fuzz/corpus, and by tools/fuzz with the fuzzer, which
 *	looks for further ones. What that finds becomes a file of the corpus.
 */
#ifndef TESTS_FUZZ_FUZZ_H
#define TESTS_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* RETURN VALUE: 0. Aborts where something doesn't hold. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size);

#endif
