#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/, after the build of the deploy
# file. Needs a C++20 compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for folder in 11 12 13 14 15; do
    for source in review/"$folder"/*.cpp; do
        [ -e "$source" ] || continue
        g++ -std=c++20 -O1 -pthread -o "target/review-3/$folder" "$source"
    done
done
