#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
for source in review/standin/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
wait
for source in review/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" "$out"/{http,store,fleet,cluster}.o -o "$out/case-$name" &
done
wait
