#!/bin/sh
# Builds the programs of the cases 6 to 10, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
folder=target/review-2
mkdir -p "$folder"
g++ -std=c++20 -O2 -c review/standin-2/Standin.cpp -o "$folder/Standin.o"
for case in 6 7 8 9 10; do
    source="review/$case/Case.cpp"
    [ ! -f "$source" ] || g++ -std=c++20 -O2 "$source" "$folder/Standin.o" -pthread -o "$folder/case-$case"
done
