#!/usr/bin/env bash
# Checks the formatting of all files, and runs clang-tidy: over the files that changed since the revision
# given as the argument, or over all of them without one.
set -euo pipefail
cd "$(dirname "$0")/.."

base=${1:-}
mapfile -t all < <(git ls-files '*.cpp' '*.h' | grep -v '\.pb\.')
clang-format --dry-run --Werror "${all[@]}"
echo "lint: ${#all[@]} files are formatted"

if [ -n "${base}" ]; then
    mapfile -t sources < <(git diff --name-only --diff-filter=d "${base}" -- '*.cpp')
else
    mapfile -t sources < <(git ls-files '*.cpp')
fi
if [ "${#sources[@]}" -eq 0 ]; then
    echo "lint: no source changed"
    exit 0
fi
cmake --preset default >/dev/null
printf '%s\0' "${sources[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy -p Build/default --quiet 2>/dev/null
echo "lint: clang-tidy finds nothing in ${#sources[@]} files"
