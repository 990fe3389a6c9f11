#!/bin/bash
# Builds the stand-ins of cases 9 to 13, after the build of the deploy file, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
gcc -std=gnu11 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -D_GNU_SOURCE -Isrc \
    review/stand-ins-3/*.c target/libridgepulley.a -o target/review-3/stage.new \
    $(pkg-config --cflags --libs jansson gsl libprotobuf-c libzstd) -lm
mv target/review-3/stage.new target/review-3/stage
