#!/usr/bin/env bash
# Builds the cases of the third review and their stand-ins into target/review-3.
# Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
jobs=()
build() {
  local name=$1
  shift
  g++ -std=c++20 -O2 -Wall -I. "review/harness-3/$name.cc" "$@" \
    -lfmt -lcpp-httplib -lpthread -o "target/review-3/$name" &
  jobs+=($!)
}
fleet=(review/harness-3/small_fleet.cc)
servers=("${fleet[@]}" review/harness-3/stand_in_server.cc)
build growing_log "${fleet[@]}"
build late_order "${servers[@]}" review/harness-3/held_call.cc
build long_grace "${servers[@]}"
build many_lookups "${fleet[@]}"
build odd_ping "${servers[@]}"
for job in "${jobs[@]}"; do wait "$job"; done
