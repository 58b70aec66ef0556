#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They need the
# packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/{6,7,8,9,10}/case.cc; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -Wall -Wextra -I. "$case" \
    -o "target/review-2/case_$number" -lfmt -pthread &
done
wait
