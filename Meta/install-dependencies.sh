#!/usr/bin/env bash
# Installs the Debian packages that granitefield builds with. Does nothing when all of them are there.
set -euo pipefail

packages=(
    # Build and checks.
    g++ cmake ninja-build pkg-config clang-format clang-tidy curl
    # Libraries of the product.
    libabsl-dev libzmq3-dev cppzmq-dev libprotobuf-dev libboost-dev libmicrohttpd-dev
    libcurl4-openssl-dev libssl-dev libtclap-dev libgoogle-glog-dev nlohmann-json3-dev libxxhash-dev libzstd-dev
    # Libraries of the tests and benchmarks.
    libgtest-dev librapidcheck-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "${package}" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("${package}")
    fi
done

if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi

echo "install-dependencies: installing ${missing[*]}"
elevate=()
if [ "$(id -u)" -ne 0 ]; then
    elevate=(sudo)
fi
"${elevate[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${elevate[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
