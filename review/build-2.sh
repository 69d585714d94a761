#!/bin/sh
# Builds what the scripts of the second review start, after the build of the deploy file. The
# results are under target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for number in 6 7 8 9 10; do
    source=review/$number/case.cpp
    if [ -f "$source" ]; then
        g++ -std=c++17 -O1 -o "$out/case$number" "$source" -pthread
    fi
done
