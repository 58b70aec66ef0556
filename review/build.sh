#!/usr/bin/env bash
# Builds the programs of the cases that have a script, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  c++ -std=c++20 -O1 -Wall -Wextra -pthread -I . "$source" \
    -o "target/review/case-$number"
done
