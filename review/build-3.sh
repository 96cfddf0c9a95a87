#!/bin/sh
# Builds the scenarios of the cases in review/11 to review/15, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -include utility -DBOOST_ASIO_NO_DEPRECATED review/world-3/*.cpp \
    -o target/review-3/scenario -pthread
