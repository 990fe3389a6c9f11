#!/bin/bash
# Checks that the hashes of behaviour_digest are the same for two runs of one seed, and differ between
# seeds and after a change of the nodes' behaviour. Usage: test_behaviour_digest.sh PROGRAM CASE
set -euo pipefail
program=$1 case=$2

# digest SCENARIO SEED: prints the result line of one run.
digest() {
    "$program" --scenario "$1" --seed "$2"
}

# column N LINE: prints field N of a result line: 3 is the number of messages, 4 the hash of the messages,
# 5 the hash of the store.
column() {
    cut -d' ' -f"$1" <<<"$2"
}

# expect_different COLUMN FIRST SECOND: fails if two result lines have the same field.
expect_different() {
    if [ "$(column "$1" "$2")" = "$(column "$1" "$3")" ]; then
        printf 'field %s is the same in\n%s\n%s\n' "$1" "$2" "$3"
        exit 1
    fi
}

case $case in
same_seed_same_hash)
    for run in "everything 500" "services_with_standby 1120" "roll_in_trouble 1200"; do
        read -r scenario seed <<<"$run"
        first=$(digest "$scenario" "$seed")
        second=$(digest "$scenario" "$seed")
        if [ "$first" != "$second" ]; then
            printf 'the same run differs:\n%s\n%s\n' "$first" "$second"
            exit 1
        fi
        [ "$(column 3 "$first")" -gt 1000 ] || { echo "too few messages: $first"; exit 1; }
    done
    ;;
other_seed_other_hash)
    first=$(digest everything 500)
    second=$(digest everything 501)
    expect_different 4 "$first" "$second"
    expect_different 5 "$first" "$second"
    ;;
planted_change_changes_hash)
    for run in "everything 500" "quiet 1"; do
        read -r scenario seed <<<"$run"
        first=$(digest "$scenario" "$seed")
        second=$(RP_BEHAVIOUR_PLANTED_CHANGE=1 digest "$scenario" "$seed")
        expect_different 4 "$first" "$second"
        expect_different 5 "$first" "$second"
    done
    ;;
*)
    echo "there is no case '$case'"
    exit 1
    ;;
esac
