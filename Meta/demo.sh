#!/usr/bin/env bash
# Installs what is missing, builds, and shows a chat request and a plain service's call served by separate
# processes on this machine: stand-ins for the platform and the backend servers, side processes, an entry.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/build.sh
bin=Build/default
directory=$(mktemp -d)
processes=()
stop() {
    for process in "${processes[@]}"; do
        kill "${process}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "${directory}"
}
trap stop EXIT

# Starts a program and puts the port that it announces under the given name into `port`.
start() {
    local name=$1 key=$2
    shift 2
    "$@" >"${directory}/${name}.out" 2>"${directory}/${name}.log" &
    processes+=($!)
    until grep -q listening "${directory}/${name}.out"; do
        kill -0 $! 2>/dev/null || { cat "${directory}/${name}.log"; exit 1; }
    done
    port=$(sed -E "s/.*\"${key}\":([0-9]+).*/\1/" "${directory}/${name}.out")
}

start platform http "${bin}/Tests/standin-platform"
platform=127.0.0.1:${port}
tool() { "${bin}/Utilities/granitefield" --platform "${platform}" --author demo "$@"; }

start_side() {
    local name=$1 service=$2 engine=$3 slots=$4
    cat >"${directory}/${name}.json" <<JSON
{"role": "side", "name": "${name}-side", "failure-domain": "ba-hall-a", "region": "sk-west",
 "operator-address": "127.0.0.1:0", "link-address": "127.0.0.1:0",
 "backend-server": {"name": "${name}", "service": "${service}", "address": "${engine}", "slots": ${slots}}}
JSON
    start "${name}" link "${bin}/Services/granitefieldd" --settings "${directory}/${name}.json"
    tool table set backend-servers "${name}" "service=${service}" "side=127.0.0.1:${port}" "failure-domain=ba-hall-a"
}

echo "demo: the table, cell by cell"
tool table set services granite-llm kind=model model=granite
tool table set services paygate kind=plain
tool table set classes clerk tier=1 first-token=340ms token-gap=59ms
tool table set classes fraud-note tier=4 first-token=5s floor=10
tool table set workspaces hrubec "key-hash=$(echo demo-key | "${bin}/Utilities/granitefield" hash-key)"
for number in 1 2; do
    start "engine-${number}" http "${bin}/Tests/standin-model-engine" --slots 4
    start_side "granite-${number}" granite-llm "127.0.0.1:${port}" 4
done
start paygate http "${bin}/Tests/standin-plain-service"
start_side paygate-1 paygate "127.0.0.1:${port}" 4

cat >"${directory}/entry.json" <<JSON
{"role": "entry", "name": "entry-1", "failure-domain": "ba-hall-a", "region": "sk-west",
 "operator-address": "127.0.0.1:0", "callers": {"address": "127.0.0.1:0"}, "peers": {"address": "127.0.0.1:0"}, "platform": {"address": "${platform}"}}
JSON
start entry callers "${bin}/Services/granitefieldd" --settings "${directory}/entry.json"
entry=http://127.0.0.1:${port}
operator=127.0.0.1:$(sed -E 's/.*"operator":([0-9]+).*/\1/' "${directory}/entry.out")
until curl -sf "http://${operator}/readyz" >/dev/null; do :; done
until [ "$("${bin}/Utilities/granitefield" --daemon "${operator}" status | grep -c 'true ')" -eq 3 ]; do :; done

echo
echo "demo: a clerk's question, streamed"
curl -sN -D "${directory}/headers" "${entry}/v1/chat/completions" -H 'Authorization: Bearer demo-key' -H 'Granitefield-Class: clerk' \
    -d '{"model": "granite", "stream": true, "messages": [{"role": "user", "content": "Why has the transfer stalled? tag=word tokens=5"}]}'
echo "demo: a payment confirmation, which may run at most once, sent twice with one ticket"
ticket=$(curl -s "${entry}/v1/tickets" -H 'Authorization: Bearer demo-key' -d '{"service": "paygate"}' | sed -E 's/.*"ticket":"([^"]+)".*/\1/')
for _ in 1 2; do
    curl -s "${entry}/services/paygate/confirm" -H 'Authorization: Bearer demo-key' -H 'Granitefield-Class: clerk' \
        -H "Idempotency-Key: ${ticket}" -d 'payment-1'
    echo
done
echo
echo "demo: why the clerk's question ran where it did"
request=$(sed -nE 's/^Granitefield-Request: ([0-9a-f]+).*/\1/p' "${directory}/headers")
"${bin}/Utilities/granitefield" --daemon "${operator}" explain "${request}"
echo
tool table show classes
echo
"${bin}/Utilities/granitefield" --daemon "${operator}" status
