#!/bin/bash
# Builds the stand-ins and the programs of the cases from 9 on, after the build of the deploy file, into
# target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
read -r -a libraries <<<"$(pkg-config --cflags --libs jansson gsl libprotobuf-c libzstd | tr '\n' ' ')"
options=(-std=gnu11 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -D_GNU_SOURCE -Isrc)
gcc "${options[@]}" review/stand-ins-3/*.c target/libridgepulley.a "${libraries[@]}" -lm -o target/review-3/stage
for n in 9 10 11 12 13; do
    [ ! -f "review/$n/case.c" ] || gcc "${options[@]}" "review/$n/case.c" -o "target/review-3/case-$n"
done
