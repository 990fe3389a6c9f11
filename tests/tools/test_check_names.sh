#!/bin/bash
# .ci/check-names finds every external name in the sources, and refuses one that is removed or renamed.
# Usage: test_check_names.sh CHECK LIST ROOT CASE
set -euo pipefail
check=$1 list=$2 root=$3 case=$4
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp -r "$root/src" "$root/deploy" "$work"

# expect_refusal TEXT: the check of the changed copy fails and prints exactly this.
expect_refusal() {
    local output
    if output=$("$check" "$list" "$work"); then
        echo "accepted"
        exit 1
    fi
    [ "$output" = "$1" ] || { printf 'another text:\n%s\n' "$output"; exit 1; }
}

# change FILE EXPRESSION: changes the copy of a file; fails if nothing changes.
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
    expect_refusal "workers: 'stint' isn't there any more"
    ;;
removed_status_field_is_refused)
    change src/api/status.c '/"unreadable"/d'
    expect_refusal "status: 'unreadable' isn't there any more"
    ;;
renamed_setting_is_refused)
    change src/config/operator.proto 's/service_reserve/service_headroom/'
    expect_refusal "operators' settings: 'service_reserve' isn't there any more"
    ;;
name_in_a_comment_or_log_line_is_refused)
    change src/store/records.c 's|"deposed"|"fenced" /* "deposed" */|'
    printf '\nvoid log_it(void);\nvoid log_it(void) {\n    rp_info("deposed", 1);\n}\n' \
        >>"$work/src/store/records.c"
    expect_refusal "stored fields: 'deposed' isn't there any more"
    ;;
renamed_part_of_a_target_is_refused)
    change src/store/kv_client.c 's/hold_ms=/wait_ms=/'
    expect_refusal "key-value store, messages: '~hold_ms' isn't there any more"
    ;;
removed_deploy_key_is_refused)
    change deploy/service.toml '/^production/d'
    expect_refusal "deploy file: 'production' isn't there any more"
    ;;
missing_file_is_refused)
    rm "$work/src/base/metrics.c"
    if output=$("$check" "$list" "$work"); then
        echo "accepted"
        exit 1
    fi
    grep -qF "there is no src/base/metrics.c" <<<"$output" || { printf 'another text:\n%s\n' "$output"; exit 1; }
    ;;
*)
    echo "there is no case '$case'"
    exit 1
    ;;
esac
