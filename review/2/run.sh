#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/ibisladder-entry ] && [ -x review/bin/case2 ] || exit 2
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
TMPDIR=$tmp timeout -k 1 115 review/bin/case2
status=$?
[ $status -le 1 ] && exit $status
exit 2
