#!/usr/bin/env bash
# Regenerates the committed protobuf code. With --check it only compares, and does nothing where protoc
# is not at hand. The build itself calls no generator.
set -euo pipefail
cd "$(dirname "$0")/.."

if ! command -v protoc >/dev/null; then
    echo "generate-protobuf: protoc is not installed; not checked"
    exit 0
fi

output=Libraries/LibProtocol/Generated
if [ "${1:-}" = "--check" ]; then
    output=$(mktemp -d)
    trap 'rm -rf "${output}"' EXIT
fi
protoc --proto_path=Libraries/LibProtocol --cpp_out="${output}" Messages.proto Peers.proto

if [ "${1:-}" = "--check" ]; then
    for file in Messages Peers; do
        diff -q "${output}/${file}.pb.h" "Libraries/LibProtocol/Generated/${file}.pb.h"
        diff -q "${output}/${file}.pb.cc" "Libraries/LibProtocol/Generated/${file}.pb.cc"
    done
    echo "generate-protobuf: the committed code is current"
fi
