#!/usr/bin/env bash
# Checks the format of every source file, then lints the files given as
# arguments, or all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cc' | xargs clang-format --dry-run --Werror
if [ $# -eq 0 ]; then
  mapfile -t files < <(git ls-files '*.cc')
else
  files=("$@")
fi
# This file is C++17.
cxx17=sapphirebank/transport/websocket_link.cc
files_per_unit=12
units=$(mktemp -d)
trap 'rm -rf "$units"' EXIT

# Clang 15 reads the coroutines of C++20 but does not say so to the headers.
export LINT_FLAGS="-std=c++20 -I$PWD -include utility \
  -DBOOST_BEAST_USE_STD_STRING_VIEW -DTEST_SOURCE_DIR=\"\" -DPROGRAM_FOLDER=\"\" \
  -D__cpp_impl_coroutine=201902L -D__cpp_lib_coroutine=201902L \
  -DBOOST_ASIO_HAS_CO_AWAIT=1 -DBOOST_ASIO_HAS_STD_COROUTINE=1"

# Lints one file.
lint() {
  # shellcheck disable=SC2086
  clang-tidy-15 --quiet "$1" -- $LINT_FLAGS 2>/dev/null
}
# Lints a unit; where it fails the verdict is that of its files one by one.
lint_unit() {
  local unit=$1 file status=0
  if lint "$unit" >/dev/null; then return 0; fi
  while IFS= read -r file; do
    lint "$file" || status=1
  done < <(sed -n 's/^#include "\(.*\)".*/\1/p' "$unit")
  return "$status"
}
export -f lint lint_unit

clang-tidy-15 --quiet "$cxx17" -- -std=c++17 "-I$PWD" 2>/dev/null
number=0
while IFS= read -r members; do
  number=$((number + 1))
  # shellcheck disable=SC2086
  printf '#include "%s"  // NOLINT(bugprone-suspicious-include)\n' $members \
    >"$units/unit_$number.cc"
done < <(printf '%s\n' "${files[@]}" | grep -vx "$cxx17" |
  xargs awk -v most="$files_per_unit" -f scripts/lint_units.awk)
cp .clang-tidy "$units/"
find "$units" -name '*.cc' | sort -V |
  xargs -P "$(nproc)" -I{} bash -c 'lint_unit {}'
echo "format and lint: ${#files[@]} files are clean"
