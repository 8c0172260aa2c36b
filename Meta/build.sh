#!/usr/bin/env bash
# Builds everything with a CMake preset: default, address (address and undefined-behaviour sanitizers) or
# thread (thread sanitizer).
set -euo pipefail
cd "$(dirname "$0")/.."

preset=${1:-default}
Meta/install-dependencies.sh
cmake --preset "${preset}" >/dev/null
cmake --build "Build/${preset}" -- --quiet
