#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, after the build of the deploy file.
# They need a C++ compiler and the headers of nlohmann-json and xxhash, which the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/scenario.cpp; do
    case_number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/support-2 "$source" \
        -o "target/review-2/case-$case_number"
done
