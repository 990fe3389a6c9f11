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

/* Each test has a name of its own for ctest: the first argument chooses one. */
static inline void choose_test(int argc, char **argv) {
    if (argc > 1)
        cmocka_set_test_filter(argv[1]);
}

#endif
