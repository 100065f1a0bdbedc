#!/bin/sh
# Runs the check PROGRAM of the case in the folder DIR: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# Ends the processes that it has started, also after a failure.
program=$1
dir=$2
cd "$(dirname "$0")/.." || exit 2
for file in "target/release/$program" target/release/jasmine-entry; do
    [ -x "$file" ] || { echo "not built: $file"; exit 2; }
done
tmp=$(mktemp -d) || exit 2
: > "$tmp/children"
TMPDIR=$tmp CHILDREN=$tmp/children CASE_DIR=review/$dir timeout -k 2 112 "target/release/$program"
status=$?
while read -r pid; do kill -9 "$pid" 2> /dev/null; done < "$tmp/children"
rm -rf "$tmp"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
