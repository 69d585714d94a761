#!/bin/sh
# Builds what the scripts of the review start; run after the build of the deploy file, whose
# libraries it uses. The results are under target/review.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags="-std=c++17 -O1 -Ireview/standins -Iplatform/include -Iplatform/standins/include"
for it in libs/*/include; do
    flags="$flags -I$it"
done
objects=""
for source in platform/standins/src/*.cpp libs/standins/src/child_process.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    # shellcheck disable=SC2086
    g++ $flags -c -o "$object" "$source" &
    objects="$objects $object"
done
wait
libs=$(find target -name 'librp_*.a' | sort)
for source in review/*/case.cpp; do
    name="case$(basename "$(dirname "$source")")"
    # shellcheck disable=SC2086
    g++ $flags -o "$out/$name" "$source" $objects -Wl,--start-group $libs -Wl,--end-group \
        $(pkg-config --libs libglog openssl) -pthread
done
