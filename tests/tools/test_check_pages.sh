#!/bin/bash
# .ci/check-pages accepts the pages as they are, and refuses what it is there to refuse.
# Usage: test_check_pages.sh CHECK ROOT CASE
set -euo pipefail
check=$1 root=$2 case=$3
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp -r "$root/.ci" "$root/src" "$root/docs" "$root/README.md" "$root/CONTRIBUTING.md" "$work"

# refused TEXT: the check fails on the copy, and says so.
refused() {
    if output=$("$check" "$work"); then
        echo "accepted, though it should be refused"
        exit 1
    fi
    grep -qF "$1" <<<"$output" || { printf 'another text than "%s":\n%s\n' "$1" "$output"; exit 1; }
}

case $case in
pages_name_what_exists)
    "$check" "$work"
    ;;
missing_function_is_refused)
    echo 'See `rp_no_such_function()`.' >>"$work/docs/architecture.md"
    refused 'docs/architecture.md: `rp_no_such_function()` isn'"'"'t in src/'
    ;;
missing_file_is_refused)
    echo 'See `jobs/no_such_file`.' >>"$work/README.md"
    refused 'README.md: there is no src/jobs/no_such_file'
    ;;
stale_layers_are_refused)
    sed -i '/^| `jobs\/`/d' "$work/docs/architecture.md"
    refused "the table of layers isn't that of .ci/layers"
    ;;
*)
    echo "there is no case '$case'"
    exit 1
    ;;
esac
