#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Needs only packages that deploy/system.toml names.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]/case.cc; do
    number=${source%/case.cc}
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "${source}" -o "build/case${number}"
done
