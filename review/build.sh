#!/bin/sh
# Builds the stand-ins and the scenario of each script into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for scenario in review/[1-5]/Scenario.cpp; do
    [ -e "$scenario" ] || continue
    number=$(basename "$(dirname "$scenario")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread review/Standin/*.cpp "$scenario" \
        -o "target/review/scenario-$number"
done
