#!/bin/bash
# Checks that .ci/check-layers accepts the sources and reports each kind of violation in a changed copy.
# Usage: test_check_layers.sh CHECK LAYERS SRC CASE
set -euo pipefail
check=$1 layers=$2 src=$3 case=$4
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp -r "$src" "$work/src"

# expect_refusal TEXT: the check fails on the copy and prints the text.
expect_refusal() {
    if output=$("$check" "$layers" "$work/src"); then
        echo "the check passed, but should have failed"
        exit 1
    fi
    grep -qF "$1" <<<"$output" || { printf 'expected the text "%s", got:\n%s\n' "$1" "$output"; exit 1; }
}

case $case in
sources_keep_the_layers)
    "$check" "$layers" "$src"
    ;;
include_of_higher_layer_is_refused)
    echo '#include "controller/node.h"' >>"$work/src/base/log.c"
    expect_refusal "base/log.c: includes controller/node.h, a higher layer"
    ;;
circular_include_is_refused)
    echo '#include "base/first.h"' >"$work/src/base/second.h"
    echo '#include "base/second.h"' >"$work/src/base/first.c"
    expect_refusal "circular includes of modules"
    ;;
unlisted_directory_is_refused)
    mkdir "$work/src/misc"
    echo '#include "base/log.h"' >"$work/src/misc/extra.c"
    expect_refusal "misc/extra.c: its directory is not listed"
    ;;
*)
    echo "there is no case '$case'"
    exit 1
    ;;
esac
