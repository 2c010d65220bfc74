#!/usr/bin/env bash
# Plays the case against the built programs. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held and 2 if the case couldn't run; record.txt has what was sent, answered and run.
set -u
cd "$(dirname "$0")" || exit 2
root="$(cd ../.. && pwd)" || exit 2
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 110 "$root/target/review-2/cases2" refused "$root/target/geraniumladder" "$PWD"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
