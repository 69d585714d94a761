#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
directory=$(mktemp -d) || exit 2
"target/review/case$(basename "$here")" target/radishpulley/daemon/radishpulleyd "$directory" \
    "$here/record.txt"
status=$?
rm -rf "$directory"
[ "$status" -le 1 ] || status=2
exit "$status"
