#!/bin/bash
# Builds the stand-ins and the programs of the cases from 9 on, after the build of the deploy file, into
# target/review-3/. A program is moved into place when it is complete, since several cases may call this at once.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
read -r -a libraries <<<"$(pkg-config --cflags --libs jansson gsl libprotobuf-c libzstd | tr '\n' ' ')"
# build NAME ARGUMENTS...: compiles and links target/review-3/NAME.
build() {
    local program=target/review-3/$1
    shift
    gcc -std=gnu11 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -D_GNU_SOURCE -Isrc "$@" -o "$program.$$"
    mv "$program.$$" "$program"
}
build stage review/stand-ins-3/*.c target/libridgepulley.a "${libraries[@]}" -lm
for n in 9 10 11 12 13; do
    [ ! -f "review/$n/case.c" ] || build "case-$n" "review/$n/case.c"
done
