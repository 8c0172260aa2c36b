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
protoc --proto_path=Libraries/LibProtocol --cpp_out="${output}" Messages.proto

if [ "${1:-}" = "--check" ]; then
    diff -q "${output}/Messages.pb.h" Libraries/LibProtocol/Generated/Messages.pb.h
    diff -q "${output}/Messages.pb.cc" Libraries/LibProtocol/Generated/Messages.pb.cc
    echo "generate-protobuf: the committed code is current"
fi
