/* fuzz_framing.c - any bytes as the head of a request: two readers agree. */
#include <stdlib.h>

#include "regress/fuzz/fuzz.h"
#include "regress/lenient_reader.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (!lenient_reader_agrees((const char *)data, size)) {
        abort();
    }
    return 0;
}
