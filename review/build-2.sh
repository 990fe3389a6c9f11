#!/bin/bash
# Builds the programs of the cases 4 to 8, with their stand-ins, into target/review-2/, after the build of the
# deploy file. Takes the HTTP library and the event loop of target/libridgepulley.a, nothing else of it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.c; do
    name=$(basename "$(dirname "$case")")
    gcc -std=c11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-missing-field-initializers -I src -I review/stand-ins-2 \
        "$case" review/stand-ins-2/world.c target/libridgepulley.a $(pkg-config --libs jansson) -lm \
        -o "target/review-2/$name"
done
