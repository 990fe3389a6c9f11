#!/bin/bash
# Builds the stand-ins of all cases into target/review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
read -r -a libraries <<<"$(pkg-config --cflags --libs jansson | tr '\n' ' ')"
sources=(review/standin/*.c src/http/*.c src/base/{log,loop,memory,string_copy}.c)
for directory in review/[0-9]*/; do
    number=$(basename "$directory")
    cc -std=c11 -D_GNU_SOURCE -O1 -Wall -Wextra -Wno-missing-field-initializers -Isrc -Ireview/standin \
        "$directory"case.c "${sources[@]}" "${libraries[@]}" -lm -o "target/review/case-$number"
done
