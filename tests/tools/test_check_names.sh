#!/bin/bash
# Checks that .ci/check-names finds every external name in the sources, and fails if one is removed or
# renamed. Usage: test_check_names.sh CHECK LIST ROOT CASE
set -euo pipefail
check=$1 list=$2 root=$3 case=$4
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp -r "$root/src" "$root/deploy" "$work"

# expect_refusal TEXT: the check fails on the changed copy and prints exactly this text.
expect_refusal() {
    local output
    if output=$("$check" "$list" "$work"); then
        echo "the check passed, but should have failed"
        exit 1
    fi
    [ "$output" = "$1" ] || { printf 'expected the text "%s", got:\n%s\n' "$1" "$output"; exit 1; }
}

# change FILE EXPRESSION: edits the copy of a file with sed; fails if the expression changes nothing.
change() {
    sed -i "$2" "$work/$1"
    ! cmp -s "$root/$1" "$work/$1" || { echo "$1: nothing was changed"; exit 1; }
}

case $case in
every_name_is_found)
    "$check" "$list" "$root"
    ;;
renamed_field_is_refused)
    change src/protocol/worker_codec.c 's/"stint"/"incarnation"/'
    expect_refusal "workers: 'stint' is missing"
    ;;
removed_status_field_is_refused)
    change src/api/status.c '/"unreadable"/d'
    expect_refusal "status: 'unreadable' is missing"
    ;;
renamed_setting_is_refused)
    change src/config/operator.proto 's/service_reserve/service_headroom/'
    expect_refusal "operators' settings: 'service_reserve' is missing"
    ;;
name_in_a_comment_or_log_line_is_refused)
    change src/store/records.c 's|"deposed"|"fenced" /* "deposed" */|'
    printf '\nvoid log_it(void);\nvoid log_it(void) {\n    rp_info("deposed", 1);\n}\n' \
        >>"$work/src/store/records.c"
    expect_refusal "stored fields: 'deposed' is missing"
    ;;
renamed_part_of_a_target_is_refused)
    change src/store/kv_client.c 's/hold_ms=/wait_ms=/'
    expect_refusal "key-value store, messages: '~hold_ms' is missing"
    ;;
removed_deploy_key_is_refused)
    change deploy/service.toml '/^production/d'
    expect_refusal "deploy file: 'production' is missing"
    ;;
missing_file_is_refused)
    rm "$work/src/base/metrics.c"
    if output=$("$check" "$list" "$work"); then
        echo "the check passed, but should have failed"
        exit 1
    fi
    grep -qF "there is no src/base/metrics.c" <<<"$output" || { printf 'unexpected text:\n%s\n' "$output"; exit 1; }
    ;;
*)
    echo "there is no case '$case'"
    exit 1
    ;;
esac
