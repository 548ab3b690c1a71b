#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin/. Needs g++ only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "bin/case-$(dirname "$source")"
done
