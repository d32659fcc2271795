#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review/. Needs the build of the deploy file and its compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/scenario.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins "$source" -o "target/review/scenario-$number"
done
