#!/bin/sh
# Builds what the scripts of the review start; run after the build of the deploy file, whose
# libraries it uses. The results are under target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
includes="-Ireview/standins -Iplatform/include -Iplatform/standins/include"
for it in libs/*/include; do
    includes="$includes -I$it"
done
libs=$(find target -name 'librp_*.a' | sort)
for case in review/*/case.cpp; do
    name=$(basename "$(dirname "$case")")
    # shellcheck disable=SC2086
    g++ -std=c++17 -O1 $includes -o "target/review/case$name" "$case" \
        platform/standins/src/*.cpp libs/standins/src/child_process.cpp \
        -Wl,--start-group $libs -Wl,--end-group \
        $(pkg-config --libs libglog openssl) -pthread
done
