#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into
# target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"

# Compiles each of its arguments, "SOURCE OUTPUT FLAGS...", at the same time.
compile_all() {
  local pids=() line
  for line in "$@"; do
    # shellcheck disable=SC2086
    g++ -std=c++20 -O2 -Wall -Wextra -pthread $line &
    pids+=("$!")
  done
  for line in "${pids[@]}"; do wait "$line"; done
}

objects=""
lines=()
for source in review/standins-2/*.cc; do
  object="$out/$(basename "$source" .cc).o"
  lines+=("$source -c -o $object")
  objects="$objects $object"
done
compile_all "${lines[@]}"
lines=()
for source in review/{6,7,8,9,10}/case.cc; do
  [ -e "$source" ] || continue
  lines+=("$source $objects -o $out/case-$(basename "$(dirname "$source")")")
done
compile_all "${lines[@]}"
