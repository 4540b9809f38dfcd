#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into review/bin, after the
# build of the deploy file. Needs g++ and nlohmann-json only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -I.)
g++ "${flags[@]}" -c review/standins/standins.cc -o review/bin/standins.o
for it in review/[1-5]/case.cc; do
  n=$(basename "$(dirname "$it")")
  g++ "${flags[@]}" "$it" review/bin/standins.o -o "review/bin/case$n" &
done
status=0
for pid in $(jobs -p); do wait "$pid" || status=1; done
exit $status
