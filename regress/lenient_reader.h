/*
 * lenient_reader.h - reads a head of a request as an indulgent server does.
 *
 * It skips empty lines, takes any line end, joins folded lines, ignores blanks
 * and control bytes around names and values, and takes the first digits that
 * it finds.  A head that http/framing.h takes for clear must mean the same to
 * it.
 */
#ifndef REGRESS_LENIENT_READER_H
#define REGRESS_LENIENT_READER_H

#include <stdbool.h>
#include <stddef.h>

/* Returns whether both readers agree about a head, or it is refused. */
bool lenient_reader_agrees(const char *head, size_t count);

#endif
