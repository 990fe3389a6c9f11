#!/bin/bash
# Checks that .ci/check-pages accepts the pages and reports each kind of violation in a changed copy.
# Usage: test_check_pages.sh CHECK ROOT CASE
set -euo pipefail
check=$1 root=$2 case=$3
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp -r "$root/.ci" "$root/src" "$root/docs" "$root/README.md" "$root/CONTRIBUTING.md" "$work"

# expect_refusal TEXT: the check fails on the copy and prints the text.
expect_refusal() {
    if output=$("$check" "$work"); then
        echo "the check passed, but should have failed"
        exit 1
    fi
    grep -qF "$1" <<<"$output" || { printf 'expected the text "%s", got:\n%s\n' "$1" "$output"; exit 1; }
}

case $case in
pages_name_what_exists)
    "$check" "$work"
    ;;
missing_function_is_refused)
    echo 'See `rp_no_such_function()`.' >>"$work/docs/architecture.md"
    expect_refusal 'docs/architecture.md: `rp_no_such_function()` is not in src/'
    ;;
missing_file_is_refused)
    echo 'See `jobs/no_such_file`.' >>"$work/README.md"
    expect_refusal 'README.md: there is no src/jobs/no_such_file'
    ;;
stale_layers_are_refused)
    sed -i '/^| `jobs\/`/d' "$work/docs/architecture.md"
    expect_refusal "the table of layers differs from .ci/layers"
    ;;
*)
    echo "there is no case '$case'"
    exit 1
    ;;
esac
