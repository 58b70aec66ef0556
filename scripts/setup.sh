#!/usr/bin/env bash
# Installs the Debian packages that the build needs (as root) and builds.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=$(xargs -a scripts/packages.txt dpkg-query -W -f '${Status} ${Package}\n' 2>&1 |
  grep -v '^install ok installed' || true)
if [ -n "$missing" ]; then
  apt-get update -q
  xargs -a scripts/packages.txt env DEBIAN_FRONTEND=noninteractive \
    apt-get install -y -q --no-install-recommends
fi
cmake -S . -B build -G Ninja >/dev/null
cmake --build build | tail -n 3
