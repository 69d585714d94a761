#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review. They need a C++17 compiler and nlohmann-json3-dev,
# which deploy/system.toml lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++17 -O2 -Wall -Wextra -pthread "$case" -o "target/review-3/case-$number"
done
