#!/usr/bin/env bash
# Builds and runs radishpulley. See ./build.sh help.
set -euo pipefail
cd "$(dirname "$0")"
readonly build_dir=out/release

usage() {
    cat <<'TEXT'
usage: ./build.sh <command> [arguments]

  deps      install the Debian packages that the build needs
  build     build everything into out/release
  test      build, then run every test
  demo      build, then run three daemons and all stand-ins on loopback, step by step
  bench     build, then time one daemon on loopback against its stand-in asked directly;
            with a number: the cost of that many daemons without requests
  measure   build, then print the measurements of the decisions; arguments go to each
  faults    build, then run the fault matrix; arguments go to it
  soak      build, then run the real daemons under faults; arguments go to it
  overload  build, then measure a daemon short of processor time; arguments go to it
  bench-day play a day of the users' bench, which USERS_BENCH names: SITE-FILE DAY [arguments]
  format    rewrite all sources with clang-format
  check     check format and lint without changing anything
  clean     remove out/
TEXT
}

sources() {
    git ls-files -co --exclude-standard '*.h' '*.cpp'
}

install_deps() {
    local missing=()
    local name
    while read -r name; do
        dpkg -s "$name" >/dev/null 2>&1 || missing+=("$name")
    done <cmake/apt-packages.txt
    if ((${#missing[@]} == 0)); then
        return
    fi
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
}

configure() {
    install_deps
    cmake -S . -B "$build_dir" -G Ninja >/dev/null
}

build() {
    configure
    cmake --build "$build_dir" --parallel "${JOBS:-10}"
}

demo() {
    build
    "$build_dir/tools/demo/rp_demo" "$build_dir/radishpulley/daemon/radishpulleyd"
}

bench() {
    build
    "$build_dir/tools/bench/rp_bench" "$build_dir/radishpulley/daemon/radishpulleyd" "$@"
}

measure() {
    build
    local status=0
    local program
    for program in "$build_dir"/tools/{measure_*/measure_*,requests_measure/requests_measure}; do
        if [[ -f "$program" && -x "$program" ]]; then
            echo "== $(basename "$program") $*"
            "$program" "$@" || status=1
        fi
    done
    return "$status"
}

# Prints an expression that matches the tests of KNOWN-RED.txt, listed there as "ctest NAME ...".
known_red_tests() {
    local names
    names=$(sed -n 's/^ctest \([a-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|')
    echo "^(${names:-none})\$"
}

bench_day() {
    if [[ ! -x "${USERS_BENCH:-}" ]]; then
        echo "not run: USERS_BENCH must name the users' bench" >&2
        return 3
    fi
    local site=${1:?site file} day=${2:?day}
    shift 2
    "$USERS_BENCH" run "$site" "$day" --jobs 3 --why "build.sh bench-day" "$@"
}

check() {
    sources | xargs clang-format --dry-run --Werror
    configure
    sources | grep '\.cpp$' | xargs -P "${JOBS:-10}" -n 2 \
        clang-tidy --quiet -p "$build_dir" 2> >(grep -v 'warnings generated\|^Suppressed\|^Use -header' >&2)
}

case "${1:-help}" in
    deps) install_deps ;;
    build) build ;;
    test)
        build
        ctest --test-dir "$build_dir" --output-on-failure --parallel 4 \
            --exclude-regex "$(known_red_tests)"
        ;;
    demo) demo ;;
    bench) shift && bench "$@" ;;
    measure) shift && measure "$@" ;;
    faults)
        shift
        build
        "$build_dir/tools/faults/faults" "$@"
        ;;
    soak)
        shift
        build
        "$build_dir/tools/soak/soak" --daemon="$build_dir/radishpulley/daemon/radishpulleyd" "$@"
        ;;
    overload)
        shift
        build
        "$build_dir/tools/overload/overload" --daemon="$build_dir/radishpulley/daemon/radishpulleyd" "$@"
        ;;
    bench-day) shift && bench_day "$@" ;;
    format) sources | xargs clang-format -i ;;
    check) check ;;
    clean) rm -rf out ;;
    help | --help | -h) usage ;;
    *)
        usage >&2
        exit 2
        ;;
esac
