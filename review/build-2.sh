#!/bin/sh
# Builds the stand-ins and cases of the scripts in review/6 to review/10 to target/review-2/cases.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra review/harness-2/*.cpp -pthread -o target/review-2/cases
