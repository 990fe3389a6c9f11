/* What every test file needs. */
#ifndef RP_TEST_H
#define RP_TEST_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Needs the headers above. */
#include <cmocka.h>

/* Comparisons that tell both values when they fail. */
#define assert_compared(value, relation, bound, words)                                             \
    do {                                                                                           \
        const __typeof__(value) compared = (value);                                                \
        if (!(compared relation(bound)))                                                           \
            fail_msg("%s is %g, expected " words " %g (%s)", #value, (double)compared,             \
                     (double)(bound), #bound);                                                     \
    } while (0)
#define assert_at_least(value, bound) assert_compared(value, >=, bound, "at least")
#define assert_at_most(value, bound) assert_compared(value, <=, bound, "at most")
#define assert_more_than(value, bound) assert_compared(value, >, bound, "more than")
#define assert_less_than(value, bound) assert_compared(value, <, bound, "less than")

/* Each test has a name of its own for ctest: the first argument chooses one. */
static inline void choose_test(int argc, char **argv) {
    if (argc > 1)
        cmocka_set_test_filter(argv[1]);
}

#endif
