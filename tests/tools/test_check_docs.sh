#!/bin/bash
# Checks that .ci/check-docs fails if a public function has no doc comment, and that it runs without graphviz.
# Usage: test_check_docs.sh CHECK CASE
set -euo pipefail
check=$1 case=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat >"$work/sound.h" <<'END'
/** @file
 * A header as it should be. */
#ifndef RP_SOUND_H
#define RP_SOUND_H

/** Seconds since the start. */
double rp_sound(void);

#endif
END

case $case in
commented_header_is_accepted)
    "$check" "$work"
    ;;
missing_comment_is_refused)
    sed -i 's|^/\*\* Seconds.*||' "$work/sound.h"
    if output=$("$check" "$work"); then
        echo "the check passed, although a function has no comment"
        exit 1
    fi
    grep -qF "rp_sound" <<<"$output" || { printf 'unexpected text:\n%s\n' "$output"; exit 1; }
    ;;
graphviz_is_not_needed)
    # The PATH contains only the tools that the check itself uses. In the second run it also contains a
    # program named dot, which must not be run.
    printf '/** @file\n * Includes another header, which doxygen could draw. */\n#include "sound.h"\n' \
        >"$work/including.h"
    mkdir "$work/bin"
    for tool in bash cat dirname doxygen grep mktemp rm; do
        ln -s "$(command -v "$tool")" "$work/bin/$tool"
    done
    PATH=$work/bin "$check" "$work"
    printf '#!%s\n: >"%s/dot-was-run"\n' "$(command -v bash)" "$work" >"$work/bin/dot"
    chmod +x "$work/bin/dot"
    PATH=$work/bin "$check" "$work"
    [ ! -e "$work/dot-was-run" ] || { echo "dot was run"; exit 1; }
    ;;
*)
    echo "there is no case '$case'"
    exit 1
    ;;
esac
