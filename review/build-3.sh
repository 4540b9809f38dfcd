#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3.
# Runs after the build of deploy/system.toml, with the same packages.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O2 -Wall -Wextra -pthread -I."
# shellcheck disable=SC2086
g++ $flags -c review/standins-3/standins.cc -o "$out/standins.o"
for it in review/*/case-3.cc; do
  n=$(basename "$(dirname "$it")")
  # shellcheck disable=SC2086
  g++ $flags "$it" "$out/standins.o" -o "$out/case-$n"
done
