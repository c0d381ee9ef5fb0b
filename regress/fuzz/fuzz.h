/*
 * fuzz.h - what the fuzz targets share.
 */
#ifndef REGRESS_FUZZ_FUZZ_H
#define REGRESS_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* libFuzzer's entry; returns 0.  A target that finds a fault aborts. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
