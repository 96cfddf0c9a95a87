#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
compile=(g++ -std=c++20 -O2 -Wall -Wextra -pthread)
jobs=()
wait_all() {
    for job in "${jobs[@]}"; do
        wait "$job"
    done
    jobs=()
}
for source in review/standin/*.cpp; do
    "${compile[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
    jobs+=($!)
done
wait_all
for source in review/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    "${compile[@]}" "$source" "$out"/{http,store,fleet,cluster}.o -o "$out/case-$name" &
    jobs+=($!)
done
wait_all
