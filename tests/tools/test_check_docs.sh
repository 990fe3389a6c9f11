#!/bin/bash
# .ci/check-docs refuses a public function without a comment. Usage: test_check_docs.sh CHECK CASE
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
        echo "accepted, though a function has no comment"
        exit 1
    fi
    grep -qF "rp_sound" <<<"$output" || { printf 'another text:\n%s\n' "$output"; exit 1; }
    ;;
*)
    echo "there is no case '$case'"
    exit 1
    ;;
esac
