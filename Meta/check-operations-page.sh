#!/usr/bin/env bash
# Checks that each log event and each metric that the code can emit stands on the operators' page, and prints those
# that do not.
set -euo pipefail
cd "$(dirname "$0")/.."

page=docs/OPERATIONS.md
names=$(
    grep -rhoE 'LogEvent\("[a-z-]+"\)' Libraries platform Services | sed -E 's/.*"(.*)".*/\1/'
    grep -rhoE '"granitefield_[a-z_]+"' Libraries platform Services | tr -d '"'
)
count=0
missing=0
for name in $(sort -u <<<"${names}"); do
    count=$((count + 1))
    if ! grep -qF "\`${name}" "${page}"; then
        echo "check-operations-page: ${name} is not on ${page}"
        missing=$((missing + 1))
    fi
done
echo "check-operations-page: ${count} names, ${missing} missing"
[ "${count}" -gt 0 ] && [ "${missing}" -eq 0 ]
