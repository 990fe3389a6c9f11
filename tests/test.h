/* Headers and assertions used by every test file. */
#ifndef RP_TEST_H
#define RP_TEST_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* cmocka.h requires that the headers above are included before it. */
#include <cmocka.h>

/* Comparisons that print the compared value on failure. Their names follow cmocka's. */
// NOLINTBEGIN(readability-identifier-naming)
#define assert_compared(value, relation, bound, relation_text)                                     \
    do {                                                                                           \
        const __typeof__(value) compared = (value);                                                \
        if (!(compared relation(bound)))                                                           \
            fail_msg("%s is %g, expected " relation_text " %s", #value, (double)compared, #bound); \
    } while (0)
#define assert_at_least(value, bound) assert_compared(value, >=, bound, "at least")
#define assert_at_most(value, bound) assert_compared(value, <=, bound, "at most")
#define assert_more_than(value, bound) assert_compared(value, >, bound, "more than")
#define assert_less_than(value, bound) assert_compared(value, <, bound, "less than")
// NOLINTEND(readability-identifier-naming)

/* Selects the test to run by the first argument, if there is one; without it, all tests run. ctest
 * registers each test separately and runs it by its name. */
static inline void choose_test(int argc, char **argv) {
    if (argc > 1)
        cmocka_set_test_filter(argv[1]);
}

#endif
