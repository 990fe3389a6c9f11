#!/bin/bash
# .ci/check-layers accepts the sources as they are, and refuses what it is there to refuse.
# Usage: test_check_layers.sh CHECK LAYERS SRC CASE
set -euo pipefail
check=$1 layers=$2 src=$3 case=$4
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp -r "$src" "$work/src"

# refused TEXT: the check fails on the copy, and says so.
refused() {
    if output=$("$check" "$layers" "$work/src"); then
        echo "accepted, though it should be refused"
        exit 1
    fi
    grep -qF "$1" <<<"$output" || { printf 'another text than "%s":\n%s\n' "$1" "$output"; exit 1; }
}

case $case in
sources_keep_the_layers)
    "$check" "$layers" "$src"
    ;;
include_of_higher_layer_is_refused)
    echo '#include "controller/node.h"' >>"$work/src/base/log.c"
    refused "base/log.c: includes controller/node.h, a higher layer"
    ;;
circular_include_is_refused)
    echo '#include "base/first.h"' >"$work/src/base/second.h"
    echo '#include "base/second.h"' >"$work/src/base/first.c"
    refused "circle of modules"
    ;;
unlisted_directory_is_refused)
    mkdir "$work/src/misc"
    echo '#include "base/log.h"' >"$work/src/misc/extra.c"
    refused "misc/extra.c: its directory is not listed"
    ;;
*)
    echo "there is no case '$case'"
    exit 1
    ;;
esac
