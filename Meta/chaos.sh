#!/usr/bin/env bash
# The long run of faults: several seeds with many rounds each. Usage: Meta/chaos.sh [SEEDS] [ROUNDS].
set -euo pipefail
cd "$(dirname "$0")/.."

seeds=${1:-10}
rounds=${2:-60}
Meta/build.sh
for seed in $(seq 1 "${seeds}"); do
    echo "chaos: seed ${seed}"
    GRANITEFIELD_CHAOS_SEED=${seed} GRANITEFIELD_CHAOS_ROUNDS=${rounds} Build/default/Tests/ChaosTest
done
