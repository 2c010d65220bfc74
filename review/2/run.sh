#!/usr/bin/env bash
# Plays the case. It needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x ../bin/standin ] && [ -x ../../target/geraniumladder ] || exit 2
exec ../bin/standin left-replica ../../target/geraniumladder record.txt
