#!/usr/bin/env bash
# Installs, builds and runs every test: those of the parts, then those of whole
# fleets of processes on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/run_tests.sh build/unit_tests
scripts/run_tests.sh build/system_tests
